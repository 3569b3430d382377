import os
import re
import subprocess
import sys
from pathlib import Path

from behave import given, then, when

from explorer.steps import Advance, Cut
from explorer.world import World

ROOT = Path(__file__).resolve().parents[3]
TIMEOUT_SECONDS = 120


def _run_explorer(*arguments):
    command = [sys.executable, "-m", "explorer", *arguments]
    environment = {**os.environ, "PYTHONHASHSEED": "0"}
    result = subprocess.run(
        command,
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
    )
    assert not result.stderr, result.stderr[-2000:]
    return result


@given('code with the injected fault "{fault}"')
def step_fault(context, fault):
    context.fault = ("--fault", fault)


@given("code without an injected fault")
def step_no_fault(context):
    context.fault = ()


@when("walks of seeds {first:d} to {last:d} are run with {steps:d} steps each")
def step_run_walks(context, first, last, steps):
    context.arguments = (
        *context.fault,
        f"--seed={first}",
        f"--walks={last - first + 1}",
        f"--steps={steps}",
    )
    context.result = _run_explorer(*context.arguments, "--shrink-seconds=0")


@when("the walk of seed {seed:d} is run with {steps:d} steps and shortened for {seconds:g} seconds")
def step_shorten_walk(context, seed, steps, seconds):
    context.arguments = (*context.fault, f"--seed={seed}", "--walks=1", f"--steps={steps}")
    context.result = _run_explorer(*context.arguments, f"--shrink-seconds={seconds}")


@then("no invariant is broken")
def step_no_invariant_broken(context):
    assert context.result.returncode == 0, context.result.stdout[-2000:]
    assert "no invariant was broken" in context.result.stdout


@then(
    "at least {count:d} task starts, {manifests:d} manifests and {keyed:d} keyed dispatches occur"
)
def step_event_counts(context, count, manifests, keyed):
    for name, minimum in (("task starts", count), ("manifests", manifests)):
        assert _count(context, name) >= minimum, context.result.stdout
    assert _count(context, "keyed dispatches") >= keyed, context.result.stdout


@then('the invariant "{invariant}" is broken')
def step_invariant_broken(context, invariant):
    assert context.result.returncode == 1, context.result.stdout[-2000:]
    broken = re.findall(r"^broken: ([a-z-]+): ", context.result.stdout, re.MULTILINE)
    assert broken and set(broken) == {invariant}, broken


@then("a second run prints the same result")
def step_same_result(context):
    again = _run_explorer(*context.arguments, "--shrink-seconds=0")
    assert _without_durations(again.stdout) == _without_durations(context.result.stdout)


@then("the shortened trace has fewer than {count:d} steps")
def step_trace_is_short(context, count):
    found = re.search(r"^shortened: seed \d+, (\d+) steps", context.result.stdout, re.MULTILINE)
    assert found and int(found[1]) < count, context.result.stdout[-2000:]


def _count(context, name):
    found = re.search(rf"{name} (\d+)", context.result.stdout)
    return int(found[1]) if found else 0


def _without_durations(text):
    return re.sub(r"[\d.]+ s \(", "(", text)


@given("a failure domain with two entry processes that hold its minion and its workers")
def step_domain_with_two_processes(context):
    context.world = World(2)
    context.world.apply(Advance(60.0))


@when("the two are cut off from each other for {seconds:g} seconds, while both reach the log")
def step_cut_peers(context, seconds):
    before = context.world.observer.counts["accepted"]
    context.world.apply(Cut(0, "peers"))
    context.world.apply(Advance(seconds))
    context.accepted = context.world.observer.counts["accepted"] - before


@then("fewer than {count:d} records are accepted in that time")
def step_few_records_accepted(context, count):
    assert context.accepted < count, context.accepted
