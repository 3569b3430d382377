from __future__ import annotations

from behave import given, then, use_step_matcher, when

from dotterelhill.control.interface import Record, Stream
from dotterelhill.jobs.queues import Pool

use_step_matcher("re")

STREAMS = {
    "minions": Stream.MINIONS,
    "submissions": Stream.SUBMISSIONS,
    "progress": Stream.PROGRESS,
    "claims": Stream.LEADERSHIP,
}


@given(r"the minions guard their capacity")
def guard_capacity(context):
    context.cluster.pools["pool"] = Pool("pool", is_guarded=True)


@when(r"the partitions? of the (?P<name>minions|submissions|progress|claims) gives? no answer")
def silence_stream(context, name):
    for process in context.cluster.processes.values():
        process.store.silent_streams.add(STREAMS[name])


@when(r"the partitions? of the (?P<name>minions|submissions|progress|claims) answers? again")
def restore_stream(context, name):
    for process in context.cluster.processes.values():
        process.store.silent_streams.discard(STREAMS[name])


def decision_count(context, kind: str) -> int:
    count = 0
    for process in context.cluster.processes.values():
        counters = process.metrics.state.counters
        count += counters.get(f"jobs.decisions.{kind.replace(' ', '_')}", 0)
    return count


@then(r"starts were held back (?P<count>\d+) times")
def check_holds(context, count):
    assert decision_count(context, "starts held back") == int(count)


@then(r"the end of a hold was recorded (?P<count>\d+) times")
def check_hold_ends(context, count):
    assert decision_count(context, "starts no longer held back") == int(count)


@when(r"each record of the minions fails to be processed")
def break_records(context):
    process = context.cluster.processes[context.first_leader]
    process.decoder.is_broken = True
    context.cluster.store.streams[Stream.MINIONS, 0].append(Record("m1", b"1000"))


@when(r"(?P<count>\d+) entries of minions take one read each")
def write_many_entries(context, count):
    context.cluster.store.records_per_read[Stream.MINIONS] = 1
    for _ in range(int(count)):
        context.cluster.store.streams[Stream.MINIONS, 0].append(Record("m1", b"8000"))


@when(r"the history of the minions is dropped and the whole list can't be read")
def drop_history(context):
    context.cluster.store.first_offsets[Stream.MINIONS, 0] = 1000
    for process in context.cluster.processes.values():
        process.store.streams_without_newest.add(Stream.MINIONS)


@when(r"the whole list of minions can be read again")
def restore_newest(context):
    context.cluster.store.first_offsets[Stream.MINIONS, 0] = 0
    for process in context.cluster.processes.values():
        process.store.streams_without_newest.clear()
