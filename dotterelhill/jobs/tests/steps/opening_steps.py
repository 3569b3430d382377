from __future__ import annotations

import gc
import tracemalloc
from collections import Counter

from behave import then, use_step_matcher, when

from dotterelhill.jobs.fleet import EndKind
from dotterelhill.jobs.model import JobState, Step
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tests.fleet_world import schedule

DAY_MS = 24 * 3600 * 1000
MINUTE_MS = 60_000
MAX_ROUNDS = 400
SMALL = ResourceVector(500, 1)

use_step_matcher("re")


def traced_bytes() -> int:
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


@when(r"(?P<count>\d+) jobs are accepted that run (?P<times>\d+) times from tomorrow on")
def accept_scheduled(context, count, times):
    fleet = context.fleet
    fleet.run_round()
    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)
    context.bytes_before, context.accepted_count = traced_bytes(), int(count)
    for number in range(int(count)):
        first_ms = fleet.unix_ms + DAY_MS + number
        plan = schedule(int(times), first_ms, MINUTE_MS)
        fleet.submit(f"s{number}", (Step(1, SMALL, 1.0),), schedule=plan)


@then(r"the accepted jobs take at most (?P<size>\d+) KB each")
def check_job_bytes(context, size):
    bytes_each = (traced_bytes() - context.bytes_before) / context.accepted_count
    assert bytes_each <= 1024 * int(size), bytes_each


@when(
    r"a job of (?P<steps>\d+) steps of (?P<count>\d+) tasks that runs (?P<times>\d+) times is "
    r"accepted, all of them due"
)
def accept_due(context, steps, count, times):
    fleet = context.fleet
    row = []
    for number in range(int(steps)):
        after = (number - 1,) if number else ()
        row.append(Step(int(count), SMALL, 1.0, after=after))
    plan = None
    if int(times) > 1:
        plan = schedule(int(times), fleet.unix_ms - DAY_MS, 1)
    fleet.submit("j", tuple(row), schedule=plan)
    context.task_count = int(steps) * int(count) * int(times)


@when(r"a gang of (?P<count>\d+) tasks is accepted")
def accept_gang(context, count):
    context.fleet.submit("g", (Step(int(count), SMALL, 1.0, is_gang=True),))


@when(r"rounds pass in which each run ends, with a new leader after (?P<rounds>\d+) of them")
def end_runs(context, rounds):
    fleet = context.fleet
    context.open_counts, context.known_counts = [], []
    for number in range(MAX_ROUNDS):
        fleet.run_round()
        context.open_counts.append(fleet.scheduler.waiting_tasks)
        job = fleet.scheduler.jobs["j"]
        context.known_counts.append(max(len(job.tasks), len(job.done_bits)))
        if fleet.scheduler.state_of("j") is JobState.COMPLETED:
            return
        for name, runs in fleet.running.items():
            for key in list(runs):
                fleet.end(name, key, EndKind.DONE)
        if number + 1 == int(rounds):
            fleet.take_over()
    raise AssertionError("the job has not ended")


@then(r"each task of the job was started once, and the job is completed")
def check_starts(context):
    starts = Counter(order.run.key for order in context.fleet.sent)
    assert len(starts) == context.task_count, len(starts)
    assert set(starts.values()) == {1}, [key for key, count in starts.items() if count > 1][:3]
    assert context.fleet.scheduler.state_of("j") is JobState.COMPLETED


@then(r"at most (?P<most>\d+) tasks were open at a time")
def check_open(context, most):
    assert max(context.open_counts) <= min(int(most), 2100), max(context.open_counts)


@then(r"the leader remembers at most (?P<most>\d+) tasks of the job at a time")
def check_known(context, most):
    assert max(context.known_counts) <= int(most), max(context.known_counts)


@when(r"the removal of all jobs succeeds after their retention")
def remove_jobs(context):
    fleet = context.fleet
    assert fleet.scheduler.known_bytes > 0
    fleet.now += fleet.settings.retention_seconds
    fleet.plan()
    assert fleet.changes.expired == ["j"], fleet.changes
    fleet.scheduler.remove_jobs(fleet.changes.expired, fleet.now)


@then(r"no memory of jobs is counted")
def check_no_bytes(context):
    assert context.fleet.scheduler.known_bytes == 0, context.fleet.scheduler.known_bytes
