from __future__ import annotations

from dataclasses import replace
from math import inf, isclose

from behave import given, then, use_step_matcher, when

from dotterelhill.jobs.durations.model import DurationModel
from dotterelhill.jobs.fleet import Minion, MinionFacts, Run, RunState
from dotterelhill.jobs.model import Step, TaskKey
from dotterelhill.jobs.placement.look_ahead.profile import CapacityProfiles
from dotterelhill.jobs.resources import ResourceVector

use_step_matcher("re")

SLOW_RATIO = 8.0


@given(r"a minion of (?P<cpu>\d+) processors at (?P<now>[\d.]+) s")
def new_minion(context, cpu, now):
    room = ResourceVector(1000 * int(cpu), 1000)
    context.minion = Minion(MinionFacts("m", 1, "pool", "m:1", "d", (), room), float("inf"))
    context.now = float(now)
    context.profiles = CapacityProfiles(DurationModel(), lambda job_id: "queue")


@given(
    r"a run of (?P<cpu>\d+) processors(?: estimated at (?P<estimate>[\d.]+) s)?"
    r"(?P<kind> on a slow minion| that is [a-z ]+)? planned at (?P<planned>[\d.]+) s"
)
def add_run(context, cpu, estimate, kind, planned):
    step = Step(1, ResourceVector(1000 * int(cpu), 100), float(estimate or 0.0))
    state = RunState.PRESENT
    match (kind or "").strip():
        case "on a slow minion":
            context.minion.speed.ratio = SLOW_RATIO
        case "that is stopped":
            state = RunState.STOPPING
        case "that is lasting":
            step = replace(step, is_lasting=True)
        case "that is a filler":
            step = replace(step, is_filler=True)
        case "that is overdue" | "":
            pass
        case _:
            raise AssertionError(kind)
    context.run = Run(TaskKey("job", 0, 0, 0), 1, step, "m", state, float(planned))
    context.minion.attach(context.run)


@when(r"the run ends")
def end_run(context):
    context.minion.detach(context.run)


@when(r"the minion shrinks to (?P<cpu>\d+) processors")
def shrink(context, cpu):
    capacity = ResourceVector(1000 * int(cpu), 1000)
    context.minion.facts = replace(context.minion.facts, capacity=capacity)


@then(r"a task of (?P<cpu>\d+) processors fits from (?P<time>[\d.]+|inf) s on")
def check_time(context, cpu, time):
    profile = context.profiles.of(context.minion, context.now)
    times = profile.fit_times(ResourceVector(1000 * int(cpu), 100), 1)
    assert isclose(times[0] if times else inf, float(time), abs_tol=0.01), times
