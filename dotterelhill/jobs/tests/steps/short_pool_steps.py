from __future__ import annotations

from behave import given, then, use_step_matcher, when

from dotterelhill.jobs.fleet import EndKind
from dotterelhill.jobs.model import Step, TaskKey
from dotterelhill.jobs.resources import ResourceVector

use_step_matcher("re")

STOP_SECONDS = 0.3
ROUND_SECONDS = 0.1


def pass_rounds(context, seconds, stop_seconds):
    """Run rounds in which each stopped run ends ``stop_seconds`` after its first stop order."""
    fleet = context.fleet
    ends_at = context.stop_ends = getattr(context, "stop_ends", {})
    for _ in range(round(10 * float(seconds))):
        for stop in fleet.stops:
            end_at = ends_at.setdefault((stop.key, stop.run_id), fleet.now + stop_seconds)
            is_running = fleet.running[stop.minion.minion_id].get(stop.key) == stop.run_id
            if is_running and fleet.now >= end_at:
                fleet.end(stop.minion.minion_id, stop.key, EndKind.STOPPED)
        fleet.run_round()


@given(
    r'job "(?P<job>\w+)" of (?P<count>\d+) lasting tasks of (?P<cpu>\d+) processors '
    r"of which (?P<missing>\d+) may be missing"
)
def submit_with_may_miss(context, job, count, cpu, missing):
    room = ResourceVector(1000 * int(cpu), 100)
    step = Step(int(count), room, 1.0, is_lasting=True, may_miss=int(missing))
    context.fleet.submit(job, (step,))


@when(
    r"(?P<seconds>[\d.]+) seconds? pass(?:es)? in rounds in which stopped runs end "
    r"after (?P<stop_seconds>[\d.]+) seconds"
)
def run_rounds_with_stops(context, seconds, stop_seconds):
    pass_rounds(context, seconds, float(stop_seconds))


@when(
    r"short tasks of (?P<cpu>\d+) processors come every (?P<interval>\d+) seconds "
    r"for (?P<seconds>\d+) seconds"
)
def run_short_tasks(context, cpu, interval, seconds):
    fleet = context.fleet
    for number in range(int(seconds) // int(interval)):
        fleet.submit(f"b{number}", (Step(1, ResourceVector(1000 * int(cpu), 100), 1.0),))
        pass_rounds(context, 2, STOP_SECONDS)
        key = TaskKey(f"b{number}", 0, 0, 0)
        if (name := fleet.minion_running(key)) is not None:
            fleet.end(name, key, EndKind.DONE)
        pass_rounds(context, int(interval) - 2, STOP_SECONDS)


@when(
    r"short tasks of (?P<cpu>\d+) processors run for (?P<seconds>[\d.]+) seconds each, "
    r"with a pause of (?P<pause>[\d.]+) seconds between them, for (?P<total>\d+) seconds"
)
def pass_slot_on(context, cpu, seconds, pause, total):
    fleet = context.fleet
    step = Step(1, ResourceVector(1000 * int(cpu), 100), float(seconds))
    begin = fleet.now
    while fleet.now - begin < float(total):
        name = f"p{len(fleet.submitted)}"
        fleet.submit(name, (step,))
        key = TaskKey(name, 0, 0, 0)
        while (minion := fleet.minion_running(key)) is None and fleet.now - begin < float(total):
            pass_rounds(context, ROUND_SECONDS, STOP_SECONDS)
        pass_rounds(context, float(seconds), STOP_SECONDS)
        if minion is not None:
            fleet.end(minion, key, EndKind.DONE)
        pass_rounds(context, float(pause), STOP_SECONDS)


@when(r"(?P<count>\d+) rounds pass that are (?P<seconds>[\d.]+) seconds apart")
def run_slow_rounds(context, count, seconds):
    for _ in range(int(count)):
        context.fleet.run_round()
        context.fleet.now += float(seconds) - ROUND_SECONDS


@then(r'(?P<count>\d+) stops of job "(?P<job>\w+)" were ordered')
def check_stop_count(context, count, job):
    stopped = {(one.key, one.run_id) for one in context.fleet.stops if one.key.job_id == job}
    assert len(stopped) == int(count), stopped


@then(r'all (?P<count>\d+) tasks of job "(?P<job>\w+)" run')
def check_running_count(context, count, job):
    keys = [key for runs in context.fleet.running.values() for key in runs if key.job_id == job]
    assert len(keys) == int(count), keys
