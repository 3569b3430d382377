from __future__ import annotations

from math import e
from random import Random

from behave import given, then, use_step_matcher, when

from dotterelhill.jobs.durations.model import DurationModel
from dotterelhill.jobs.durations.speed import MinionSpeed
from dotterelhill.jobs.fleet import EndKind
from dotterelhill.jobs.model import JobState, Step, TaskKey
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tests.fleet_world import FleetWorld

use_step_matcher("re")

RUNS_PER_SECOND = 4
TAIL_SHARE, TAIL_FACTOR = 0.03, 7.0
SEED = 20261204


def step_of(estimate: float, image: str = "print") -> Step:
    return Step(1, ResourceVector(1000, 100), estimate, image=image)


def duration(kind: str, estimate: float, rng: Random) -> float:
    match kind:
        case "2.0/e":
            return 2.0 * rng.uniform(1 / e**0.1, e**0.1)
        case "tail":
            factor = TAIL_FACTOR if rng.random() < TAIL_SHARE else 1.0
            return estimate * factor * rng.uniform(0.8, 1.2)
    return float(kind) * estimate


@given(
    r'runs of "(?P<kind>\S+)" times the estimates "(?P<estimates>[^"]+)" '
    r"that end done for (?P<seconds>\d+) seconds"
)
def learn(context, kind, estimates, seconds):
    context.rng = Random(SEED)
    context.model, context.now = DurationModel(), 1000.0
    learn_more(context, kind, estimates, seconds)


@when(
    r'runs of "(?P<kind>\S+)" times the estimates "(?P<estimates>[^"]+)" '
    r"end done for (?P<seconds>\d+) seconds"
)
def learn_more(context, kind, estimates, seconds):
    for _ in range(int(seconds) * RUNS_PER_SECOND):
        context.now += 1.0 / RUNS_PER_SECOND
        context.model.advance(context.now)
        estimate = float(context.rng.choice(estimates.split()))
        taken = duration(kind, estimate, context.rng)
        context.model.record("q", step_of(estimate), taken)


@when(r"(?P<seconds>\d+) seconds pass")
def wait(context, seconds):
    context.now += int(seconds)
    context.model.advance(context.now)


@then(
    r"the expected duration of a task estimated at (?P<estimate>\d+) seconds is between "
    r"(?P<low>\S+) and (?P<high>\S+) seconds"
)
def check_expected(context, estimate, low, high):
    expected = context.model.expected("q", step_of(float(estimate)))
    assert float(low) <= expected <= float(high), expected


@then(
    r"the (?P<q>[\d.]+) quantile of a task estimated at (?P<estimate>\d+) seconds is between "
    r"(?P<low>\S+) and (?P<high>\S+) seconds"
)
def check_quantile(context, q, estimate, low, high):
    value = context.model.quantile("q", step_of(float(estimate)), float(q))
    assert float(low) <= value <= float(high), value


@then(r"the confidence is between (?P<low>\S+) and (?P<high>\S+)")
def check_confidence(context, low, high):
    confidence = context.model.confidence("q", step_of(2.0))
    assert float(low) <= confidence <= float(high), confidence


@given(r"runs of (?P<count>\d+) images end done")
def learn_images(context, count):
    context.model, context.count = DurationModel(), int(count)
    for number in range(int(count)):
        context.model.record("q", step_of(1.0, f"image{number}"), 2.0)


@then(r"at most (?P<maximum>\d+) families are kept, the newest among them")
def check_families(context, maximum):
    known = []
    for number in range(context.count):
        known.append(context.model.confidence("q", step_of(1.0, f"image{number}")) > 0.0)
    assert sum(known) == int(maximum) and known[-1], sum(known)


@given(r'a minion whose runs took "(?P<ratios>[^"]+)" times as long as expected')
def record_speed(context, ratios):
    context.speed = MinionSpeed()
    for number, ratio in enumerate(ratios.split()):
        context.speed.record(2.0 * float(ratio), 2.0, 1000.0 + number)


@then(r"its ratio is between (?P<low>\S+) and (?P<high>\S+)")
def check_ratio(context, low, high):
    assert float(low) <= context.speed.ratio <= float(high), context.speed


@given(
    r"a fleet whose only minion runs tasks for (?P<taken>\d+) seconds that were estimated at "
    r"(?P<estimate>\d+) second"
)
def new_fleet(context, taken, estimate):
    context.fleet = FleetWorld()
    context.fleet.list_minion("m1")
    context.taken, context.step = int(taken), step_of(float(estimate))


@when(r'(?P<count>\d+) runs end as "(?P<kind>\w+)" (?P<condition>.+)')
def end_runs(context, count, kind, condition):
    fleet = context.fleet
    for number in range(int(count)):
        job = f"a{number}"
        key = TaskKey(job, 0, 0, 0)
        fleet.submit(job, (context.step,))
        if condition == "after a checkpoint":
            fleet.scheduler.jobs[job].task(key).checkpoint = "c"
        fleet.run_round()
        minion = fleet.scheduler.minions["m1"]
        if condition == "after a throttled period":
            minion.set_pace(minion.runs[key], 50, fleet.now)
            minion.set_pace(minion.runs[key], 100, fleet.now)
        if condition == "under a later leader":
            fleet.take_over()
        for _ in range(10 * context.taken - 1):
            fleet.run_round()
        fleet.end("m1", key, EndKind(kind))
        fleet.run_round()
        fleet.scheduler.cancel(job, fleet.now)
        fleet.running["m1"].clear()
        fleet.take_orders()
        for stop in fleet.stops:
            fleet.scheduler.stop_answered(stop.minion, stop.key, stop.run_id, fleet.now)
        fleet.now += 0.1
        fleet.run_round()


@then(r"the expected duration is (?P<seconds>\d+) seconds")
def check_scheduler_expected(context, seconds):
    expected = context.fleet.scheduler.durations.expected("short", context.step)
    assert abs(expected - int(seconds)) < 0.2, expected


@given(r"tasks estimated at 8 seconds of which (?P<count>\d+) took (?P<taken>\d+) seconds")
def learn_wrong_estimates(context, count, taken):
    context.fleet = FleetWorld()
    context.fleet.list_minion("m1", 1000)
    context.fleet.run_round()
    for _ in range(int(count)):
        context.fleet.scheduler.durations.record("short", step_of(8.0), float(taken))


@when(r"a job of such a task and one of a task estimated at 4 seconds wait for one processor")
def submit_both(context):
    context.fleet.submit("e8", (step_of(8.0),))
    context.fleet.submit("e4", (step_of(4.0, "scan"),))
    context.fleet.run_round()


@then(r"the job with the estimate of (?P<estimate>\d+) seconds starts first")
def check_first(context, estimate):
    assert context.fleet.sent[0].run.key.job_id == f"e{estimate}", context.fleet.sent


def end_all(fleet):
    for key in list(fleet.running["m1"]):
        fleet.end("m1", key, EndKind.DONE)
    fleet.poll()


@given(r"a minion that has ended (?P<count>\d+) runs of a queue")
def end_runs(context, count):
    context.fleet = fleet = FleetWorld()
    fleet.list_minion("m1", 1000 * int(count))
    fleet.submit("first", (Step(int(count), ResourceVector(1000, 100), 1.0),))
    fleet.run_round()
    fleet.run_round()
    fleet.now += 1.0
    end_all(fleet)


@when(r"another run ends in the millisecond in which it was started")
def end_at_once(context):
    fleet = context.fleet
    fleet.submit("second", (Step(1, ResourceVector(1000, 100), 1.0),))
    started_at = fleet.now
    fleet.run_round()
    fleet.now = started_at
    end_all(fleet)


@then(r"its job is completed")
def check_completed(context):
    context.fleet.run_round()
    state = context.fleet.scheduler.state_of("second")
    assert state is JobState.COMPLETED, state
