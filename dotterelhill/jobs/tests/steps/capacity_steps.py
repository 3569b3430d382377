from __future__ import annotations

import os

from behave import given, then, use_step_matcher, when

from dotterelhill.jobs.model import Step
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tests.capacity_world import run_history

use_step_matcher("re")


@given(r'minions? "(?P<names>[^"]*)" (?:has|have) (?P<cpu>\d+) processors')
@when(r'minions? "(?P<names>[^"]*)" (?:has|have) (?P<cpu>\d+) processors')
def resize_processors(context, names, cpu):
    for name in names.split():
        context.fleet.list_minion(name, 1000 * int(cpu))


@given(r'minion "(?P<name>\w+)" is in failure domain "(?P<domain>\w+)"')
def move_minion(context, name, domain):
    context.fleet.list_minion(name, domain=domain)


@given(r'job "(?P<job>\w+)" of (?P<count>\d+) fillers? of (?P<cpu>\d+) thousandths .* submitted')
@when(r'job "(?P<job>\w+)" of (?P<count>\d+) fillers? of (?P<cpu>\d+) thousandths .* submitted')
def submit_small_fillers(context, job, count, cpu):
    room = ResourceVector(int(cpu), 100)
    step = Step(int(count), room, 1.0, is_filler=True, image="print")
    context.fleet.submit(job, (step,), "long")


@then(r'the known effect of "(?P<filler>\w+)" on "(?P<image>\w+)" is still at least (?P<least>\d+)')
def check_effect(context, filler, image, least):
    effect = context.fleet.scheduler.sharing.model.effect(image, filler)
    assert effect >= float(least), effect


@then(r"no plan was withheld")
def check_no_withheld_plan(context):
    decisions = context.fleet.scheduler.take_decisions()
    assert not [decision for decision in decisions if decision.kind == "run lost"], decisions


@when(r"the list of minions can(?P<negation>'t)? be read(?: again)?")
def silence_list(context, negation):
    context.fleet.is_list_silent = bool(negation)


@when(r"the writing of the plan takes (?P<seconds>[\d.]+) seconds")
def pass_time(context, seconds):
    context.fleet.now += float(seconds)


@given(r'minions "(?P<names>[^"]*)" have (?P<cpu>\d+) processors and (?P<gpu>\d+) accelerators')
def resize_accelerators(context, names, cpu, gpu):
    for name in names.split():
        context.fleet.list_minion(name, 1000 * int(cpu), gpu=int(gpu))


@when(
    r'job "(?P<job>\w+)" of 1 lasting task of (?P<cpu>\d+) processors and (?P<gpu>\d+) '
    r"accelerators is submitted"
)
def submit_lasting_with_accelerators(context, job, cpu, gpu):
    room = ResourceVector(1000 * int(cpu), 100, int(gpu))
    context.fleet.submit(job, (Step(1, room, 1.0, is_lasting=True),))


def claimed_minion(context) -> str:
    (minion,) = context.fleet.scheduler._placement._lasting_claims.minions.values()
    return minion.minion_id


@when(r"the claimed minion loses its accelerators")
def remove_accelerators(context):
    context.fleet.list_minion(claimed_minion(context), 4000, gpu=0)


@when(r"the claimed minion shrinks to (?P<cpu>\d+) processors")
def shrink_claimed_minion(context, cpu):
    context.fleet.list_minion(claimed_minion(context), 1000 * int(cpu))


@then(r'these changes of the capacity of "(?P<name>\w+)" were recorded: (?P<changes>.+)')
def check_recorded_changes(context, name, changes):
    recorded = []
    for decision in context.fleet.scheduler.take_decisions():
        if decision.kind != "minion capacity changed":
            continue
        fields = decision.fields
        assert fields["minion"] == name, decision
        assert fields["reserved"] == context.fleet.scheduler.minions[name].used.as_list(), decision
        recorded.append(f"{fields['old_capacity'][0]} to {fields['capacity'][0]}")
    assert recorded == changes.split(", "), recorded


@when(r'minion "(?P<name>\w+)" with label "(?P<label>\w+)" has (?P<cpu>\d+) processors')
def resize_labelled(context, name, label, cpu):
    context.fleet.list_minion(name, 1000 * int(cpu), labels=(label, "r1"))


@when(r"(?P<count>\d+) random histories of (?P<seconds>\d+) seconds are played, .+")
def play_histories(context, count, seconds):
    first_seed = int(os.environ.get("CAPACITY_SEED", "0"))
    context.failures, context.starts, context.shrinks, context.waits = [], 0, 0, {}
    for seed in range(first_seed, first_seed + int(count)):
        try:
            world = run_history(seed, float(seconds))
        except AssertionError as error:
            context.failures.append((seed, str(error)))
            continue
        context.starts += world.start_count
        context.shrinks += world.shrink_count
        context.waits[seed] = world.longest_wait_seconds


@then(r"no start went beyond the room of its minion")
def check_histories(context):
    assert not context.failures, context.failures[0]


@then(
    r"at least (?P<starts>\d+) starts were carried out and minions shrank at least "
    r"(?P<shrinks>\d+) times"
)
def check_history_sizes(context, starts, shrinks):
    counts = (context.starts, context.shrinks)
    assert counts[0] >= int(starts) and counts[1] >= int(shrinks), counts


@then(r"in the calm no lasting task was away for (?P<limit>\d+) seconds while two .+ fitted")
def check_waits(context, limit):
    long_waits = {seed: waited for seed, waited in context.waits.items() if waited >= int(limit)}
    assert not long_waits, long_waits
