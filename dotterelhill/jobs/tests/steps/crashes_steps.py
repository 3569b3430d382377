from __future__ import annotations

from behave import given, then, use_step_matcher, when

from dotterelhill.jobs.model import ResourceVector, Step, TaskKey
from dotterelhill.jobs.tests.crash_world import MAX_STARTS_AFTER_CRASHES, CrashWorld

use_step_matcher("re")


def crashing_step(count: int, cpu: int, kind: str) -> Step:
    return Step(
        int(count),
        ResourceVector(1000 * int(cpu), 100),
        1.0,
        is_lasting=kind.startswith("lasting"),
        is_gang=kind.startswith("gang"),
    )


@given(
    r'a fleet with minions "(?P<names>[^"]*)" of (?P<cpu>\d+) processors, '
    r"on which deadly tasks crash their minion"
)
def new_crash_world(context, names, cpu):
    context.fleet = CrashWorld()
    for name in names.split():
        context.fleet.list_minion(name, 1000 * int(cpu))


@given(
    r'(?P<sort>deadly|innocent) job "(?P<job>\w+)" of (?P<count>\d+) '
    r"(?P<kind>tasks?|lasting tasks?|gang members) of (?P<cpu>\d+) processors"
)
@when(
    r'(?P<sort>deadly|innocent) job "(?P<job>\w+)" of (?P<count>\d+) '
    r"(?P<kind>tasks?|lasting tasks?|gang members) of (?P<cpu>\d+) processors comes"
)
def submit_job(context, sort, job, count, kind, cpu):
    context.fleet.submit(job, (crashing_step(count, cpu, kind),))
    if sort == "deadly":
        context.fleet.deadly_jobs.add(job)


@given(r'task (?P<index>\d+) of job "(?P<job>\w+)" is deadly')
def make_task_deadly(context, index, job):
    context.fleet.deadly.add(TaskKey(job, 0, 0, int(index)))


@when(r"(?P<seconds>[\d.]+) seconds? pass(?:es)? with crashes")
def pass_seconds_with_crashes(context, seconds):
    context.fleet.run_seconds(float(seconds))


@then(r"no deadly task was started more than twice after 3 crashes")
def check_starts_after_crashes(context):
    excess = {
        str(key): count
        for key, count in context.fleet.starts_after_crashes.items()
        if count > MAX_STARTS_AFTER_CRASHES and context.fleet.is_deadly(key)
    }
    assert not excess, excess
