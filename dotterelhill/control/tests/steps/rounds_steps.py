from __future__ import annotations

from unittest.mock import patch

import msgspec
from behave import given, then, use_step_matcher, when

from dotterelhill.control import leader as leader_module
from dotterelhill.control.interface import Record, Stream
from dotterelhill.control.leadership import LEADER_KEY, Claim
from dotterelhill.control.tests.cluster_world import FakeMinion

use_step_matcher("re")


def present_leader(context):
    return context.cluster.processes["a"].election.leader


@given(r"rounds of the leader are (?P<seconds>\d+) seconds apart if nothing begins one")
def set_tick(context, seconds):
    patched = patch.object(leader_module, "TICK_SECONDS", float(seconds))
    patched.start()
    context.add_cleanup(patched.stop)


@given(r"the leader has at most (?P<count>\d+) starts in progress")
def set_start_limit(context, count):
    window = present_leader(context)._start_window
    limited = property(lambda self: max(0, int(count) - self._in_flight))
    patched = patch.object(type(window), "available", limited)
    patched.start()
    context.add_cleanup(patched.stop)


@when(
    r"(?P<count>\d+) tasks of (?P<length>\d+) seconds are submitted and run for "
    r"(?P<seconds>[\d.]+) seconds?"
)
def submit_tasks(context, count, length, seconds):
    for minion in context.cluster.minions.values():
        minion.run_seconds = float(length)
    context.submitted_count = int(count)
    context.cluster.submit("a", "first", int(count))
    context.cluster.advance(float(seconds))


@when(r"(?P<seconds>\d+) seconds pass while rounds are counted")
def count_rounds(context, seconds):
    scheduler = present_leader(context).scheduler
    with (
        patch.object(scheduler, "plan", wraps=scheduler.plan) as plan,
        patch.object(scheduler, "report", wraps=scheduler.report) as report,
    ):
        context.cluster.advance(float(seconds))
    context.round_count, context.report_count = plan.call_count, report.call_count


@then(r"at least (?P<reports>\d+) reports and at most (?P<rounds>\d+) round were counted")
def check_rounds(context, reports, rounds):
    assert context.report_count >= int(reports), context.report_count
    assert context.round_count <= int(rounds), (context.round_count, context.report_count)


@when(r"nothing happens")
def do_nothing(context):
    pass


@when(r"a start is refused")
def refuse_start(context):
    context.cluster.processes["a"].minions.refused_starts = 1


@when(r"1 task is submitted")
def submit_one(context):
    context.cluster.submit("a", "second", 1)


@when(r"a minion is listed")
def list_minion(context):
    context.cluster.minions["new"] = FakeMinion("new")
    context.cluster.store.streams[Stream.MINIONS, 0].append(Record("new", b"8000"))


@then(r"the task starts within (?P<seconds>[\d.]+) seconds")
def check_start(context, seconds):
    context.cluster.advance(float(seconds))
    assert "second" in {key.job_id for _, key, _ in context.cluster.starts}
    assert not context.cluster.processes["a"].minions.refused_starts


@then(r"all of them have started")
def check_all_started(context):
    assert len(context.cluster.starts) == context.submitted_count, len(context.cluster.starts)


@when(r"the leader is told to stop at the moment when something begins a round")
def stop_leader(context):
    process = context.cluster.processes["a"]

    async def stop() -> None:
        process.election.leader._wake_event.set()
        await process.election.resign()

    context.stopping = context.cluster.loop.create_task(stop())


@then(r"its resignation is stored within (?P<seconds>[\d.]+) seconds")
def check_resignation(context, seconds):
    context.cluster.advance(float(seconds))
    records = context.cluster.store.streams[Stream.LEADERSHIP, 0]
    newest = [record for record in records if record.key == LEADER_KEY][-1]
    assert msgspec.msgpack.decode(newest.value, type=Claim).is_resigned
    assert context.stopping.done()
