from __future__ import annotations

from unittest.mock import patch

from behave import given, then, use_step_matcher, when

from dotterelhill.jobs.model import Room, Step
from dotterelhill.jobs.sharing import InterferenceControl
from dotterelhill.jobs.tests.fleet_world import FleetWorld

use_step_matcher("re")


@given(
    r"a fleet of (?P<minions>\d+) minions "
    r"with (?P<tasks>\d+) serving tasks of (?P<images>\d+) images"
)
def large_fleet(context, minions, tasks, images):
    context.fleet = FleetWorld()
    for number in range(int(minions)):
        context.fleet.list_minion(f"m{number}", 32000)
    for number in range(int(tasks) // 14):
        image = f"web{number % int(images)}"
        step = Step(14, Room(5000, 1000), 1.0, is_lasting=True, image=image, target_tail_ms=50)
        context.fleet.submit(f"s{number}", (step,))
    for _ in range(3):
        context.fleet.turn()
    for runs in context.fleet.running.values():
        for key in runs:
            context.fleet.tails[key] = 18.0
    context.fleet.turn()


@when(
    r"(?P<jobs>\d+) jobs of (?P<count>\d+) fillers of (?P<images>\d+) images are submitted at once"
)
def burst(context, jobs, count, images):
    for number in range(int(jobs)):
        image = f"print{number % int(images)}"
        step = Step(int(count), Room(3500, 640), 2.0, is_filler=True, image=image)
        context.fleet.submit(f"f{number}", (step,), "long")


@then(r"(?P<count>\d+) or more fillers start within (?P<turns>\d+) turns")
def fillers_start(context, count, turns):
    with patch.object(
        InterferenceControl,
        "filler_interference",
        autospec=True,
        side_effect=InterferenceControl.filler_interference,
    ) as asked:
        started = sum(len(context.fleet.turn()) for _ in range(int(turns)))
    context.asked = asked.call_count
    assert started >= int(count), started


@then(r"each minion was asked for its cost at most (?P<most>\d+) times")
def asked_little(context, most):
    minions = len(context.fleet.facts)
    assert context.asked <= int(most) * minions, context.asked / minions
