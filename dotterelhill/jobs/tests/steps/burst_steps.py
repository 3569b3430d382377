from __future__ import annotations

from unittest.mock import patch

from behave import given, then, use_step_matcher, when

from dotterelhill.jobs.interference.sharing import InterferenceControl
from dotterelhill.jobs.model import Step
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tests.fleet_world import FleetWorld

use_step_matcher("re")


@given(
    r"a fleet of (?P<minions>\d+) minions "
    r"with (?P<tasks>\d+) serving tasks of (?P<images>\d+) images"
)
def new_large_fleet(context, minions, tasks, images):
    context.fleet = FleetWorld()
    for number in range(int(minions)):
        context.fleet.list_minion(f"m{number}", 32000)
    for number in range(int(tasks) // 14):
        image = f"web{number % int(images)}"
        step = Step(
            14, ResourceVector(5000, 1000), 1.0, is_lasting=True, image=image, target_tail_ms=50
        )
        context.fleet.submit(f"s{number}", (step,))
    for _ in range(3):
        context.fleet.run_round()
    for runs in context.fleet.running.values():
        for key in runs:
            context.fleet.tails[key] = 18.0
    context.fleet.run_round()


@when(
    r"(?P<jobs>\d+) jobs of (?P<count>\d+) fillers of (?P<images>\d+) images are submitted at once"
)
def submit_fillers(context, jobs, count, images):
    for number in range(int(jobs)):
        image = f"print{number % int(images)}"
        step = Step(int(count), ResourceVector(3500, 640), 2.0, is_filler=True, image=image)
        context.fleet.submit(f"f{number}", (step,), "long")


@then(r"(?P<count>\d+) or more fillers start within (?P<rounds>\d+) rounds")
def check_filler_starts(context, count, rounds):
    with patch.object(
        InterferenceControl,
        "filler_interference",
        autospec=True,
        side_effect=InterferenceControl.filler_interference,
    ) as cost_function:
        started = sum(len(context.fleet.run_round()) for _ in range(int(rounds)))
    context.cost_count = cost_function.call_count
    assert started >= int(count), started


@then(r"the filler cost of a minion is computed at most (?P<maximum>\d+) times on average")
def check_cost_count(context, maximum):
    minions = len(context.fleet.facts)
    assert context.cost_count <= int(maximum) * minions, context.cost_count / minions
