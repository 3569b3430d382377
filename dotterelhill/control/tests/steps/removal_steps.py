from __future__ import annotations

import asyncio

from behave import then, use_step_matcher, when

from dotterelhill.control.interface import Record, StoreError, Stream
from dotterelhill.control.submissions import owner_of
from dotterelhill.control.tests.cluster_world import SUBMISSION_PARTITIONS
from dotterelhill.jobs.model import JobState

FAILING_PARTITIONS = (1, 2)

use_step_matcher("re")


def job_ids(count):
    return [f"{number:016x}" for number in range(int(count))]


def stored_records(context, stream):
    partitions = SUBMISSION_PARTITIONS if stream is Stream.SUBMISSIONS else 1
    store = context.cluster.store
    return [one for part in range(partitions) for one in store.newest((stream, part)).records]


def removal_failure(trouble, partition, number):
    """Return whether an append takes effect, and whether its answer arrives."""
    match trouble:
        case "some partitions refuse appends":
            is_working = partition not in FAILING_PARTITIONS
            return is_working, is_working
        case "some partitions give no answer":
            is_working = partition not in FAILING_PARTITIONS
            return is_working, is_working
        case "all partitions refuse appends":
            return False, False
        case "appends are carried out, and their answers are lost":
            return True, False
        case "the leader ends after the first append":
            return number == 1, number == 1
        case "the leader ends after the second append":
            return number <= 2, number <= 2
    raise AssertionError(trouble)


@when(r"submissions can't be removed: (?P<trouble>[\w ,']+)")
def fail_removals(context, trouble):
    # A leader that ends fails in all streams once the first removal begins, and only that process.
    context.is_removal_failing, counted = True, []
    is_ending = trouble.startswith("the leader ends")
    processes = context.cluster.processes
    affected = context.cluster.leaders if is_ending else list(processes)

    def wrap(append):
        async def append_or_fail(stream, records, *, partition=0, **more):
            is_removal = stream is Stream.SUBMISSIONS and all(one.value is None for one in records)
            is_affected = is_removal or (is_ending and stream is Stream.PROGRESS)
            removes = any(one.value is None for one in records)
            if not context.is_removal_failing or not is_affected or not (counted or removes):
                return await append(stream, records, partition=partition, **more)
            counted.append(stream)
            is_carried_out, is_answered = removal_failure(trouble, partition, len(counted))
            if is_carried_out:
                end = await append(stream, records, partition=partition, **more)
                if is_answered:
                    return end
            await asyncio.sleep(0.0 if "refuse" in trouble else 1.2)
            raise StoreError("status 503", is_effect_unknown="refuse" not in trouble)

        return append_or_fail

    for name in affected:
        processes[name].store.append = wrap(processes[name].store.append)


@when(r"the store accepts removals again")
def accept_removals(context):
    context.is_removal_failing = False


@when(r"a snapshot of the submissions takes (?P<seconds>\d+) seconds to be processed")
def process_late_snapshot(context, seconds):
    cluster = context.cluster
    leader = cluster.processes[cluster.leaders[0]].election.leader
    batches = [
        cluster.store.newest((Stream.SUBMISSIONS, part)) for part in range(SUBMISSION_PARTITIONS)
    ]

    def apply_all():
        for batch in batches:
            leader._apply_submissions(batch.records, True)

    cluster.loop.call_later(float(seconds), apply_all)


@when(r"the (?P<count>\d+) jobs are cancelled")
def cancel_jobs(context, count):
    process = context.cluster.processes[context.cluster.leaders[0]]
    for job_id in job_ids(count):
        context.cluster.run(process.job_service.cancel(job_id, 3.0))


@when(r"the submissions of the (?P<count>\d+) jobs are those of a later build")
def replace_submissions(context, count):
    for part in range(SUBMISSION_PARTITIONS):
        stored = context.cluster.store.streams[Stream.SUBMISSIONS, part]
        stored[:] = [Record(one.key, b"\xc1") for one in stored]


@then(
    r'every reachable process shows the (?P<count>\d+) jobs as "(?P<state>\w+)"'
    r"(?P<more> or removed)?"
)
def check_states(context, count, state, more):
    allowed = {JobState(state), None} if more else {JobState(state)}
    check_shown(context, count, allowed)


@then(r"every reachable process does not know the (?P<count>\d+) jobs")
def check_unknown(context, count):
    check_shown(context, count, {None})


def check_shown(context, count, allowed):
    for name, process in context.cluster.processes.items():
        if not process.is_running:
            continue
        for job_id in job_ids(count):
            shown = context.cluster.run(process.job_service.state_of(job_id))
            assert shown in allowed, (name, job_id, shown)


@then(r"the leader tells once that it can't remove ended jobs")
def check_warning(context):
    message = "ended jobs can't be removed; retrying"
    lines = [one for one in context.leader_log.records if one.message == message]
    assert len(lines) == 1, lines
    leader = context.cluster.processes[context.cluster.leaders[0]].election.leader
    assert leader.gauges()["jobs.pending_removals"] == 8, leader.gauges()


@then(r"the store holds no record of the (?P<count>\d+) jobs")
def check_removed(context, count):
    expected = set(job_ids(count))
    for stream in (Stream.SUBMISSIONS, Stream.PROGRESS):
        left = [one.key for one in stored_records(context, stream)]
        assert not expected & {owner_of(key)[0] for key in left}, (stream, left)


@then(r"the store holds the (?P<stream>submissions|progress) of the (?P<count>\d+) jobs")
def check_kept(context, stream, count):
    left = {owner_of(one.key)[0] for one in stored_records(context, Stream(stream))}
    assert set(job_ids(count)) <= left, left
