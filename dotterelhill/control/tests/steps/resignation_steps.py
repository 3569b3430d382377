from __future__ import annotations

import asyncio

import msgspec
from behave import given, then, use_step_matcher, when

from dotterelhill.control.interface import Stream
from dotterelhill.control.leadership import LEADER_KEY, Claim
from dotterelhill.control.tests.cluster_world import CALL_SECONDS, Cluster

use_step_matcher("re")

STEP_SECONDS = 0.01
MAX_STEPS = 500


@given(
    r"(?P<count>\d+) processes with (?P<minions>\d+) minions, "
    r"with processor time of (?P<ms>\d+) ms for each message"
)
def new_cluster(context, count, minions, ms):
    names = [chr(ord("a") + number) for number in range(int(count))]
    minion_names = tuple(f"m{number}" for number in range(int(minions)))
    context.cluster = cluster = Cluster(names, minion_names=minion_names)
    cluster.advance(3.0)
    cluster.seconds_per_message = int(ms) / 1000.0
    cluster.is_polling_long = True
    cluster.advance(1.0)
    context.job_count = 0
    context.first_leader = cluster.leaders[0]
    record_resignations(context)


def record_resignations(context) -> None:
    """Record when each claim and each resignation is stored."""
    cluster = context.cluster
    append = cluster.store.append
    context.resignations, context.claims = [], []

    def append_and_record(stream_partition, records, at, fence):
        end = append(stream_partition, records, at, fence)
        for record in records:
            if record.key != LEADER_KEY:
                continue
            claim = msgspec.msgpack.decode(record.value, type=Claim)
            stored = context.resignations if claim.is_resigned else context.claims
            stored.append((cluster.loop.time(), claim))
        return end

    cluster.store.append = append_and_record


def record_orders(context, name) -> None:
    """Record when each call of a process to a minion is sent."""
    cluster = context.cluster
    client = cluster.processes[name].minions
    reach = client._reach
    context.sent_orders = []

    async def reach_and_record(known, epoch):
        minion = await reach(known, epoch)
        context.sent_orders.append(cluster.loop.time() - CALL_SECONDS)
        return minion

    client._reach = reach_and_record


@when(r"each read that is cancelled takes (?P<seconds>[\d.]+) seconds to end")
def slow_cancelled_reads(context, seconds):
    for process in context.cluster.processes.values():
        process.store.cancelled_read_seconds = float(seconds)


def stop_by_plan(context, name) -> None:
    """Begin the resignation of a process, which goes on while time passes."""
    record_orders(context, name)
    context.stopped, context.stopped_at = name, context.cluster.loop.time()
    election = context.cluster.processes[name].election

    async def begin() -> None:
        context.resigning = asyncio.create_task(election.resign())

    context.cluster.run(begin())


@when(r"the leader stops by plan")
def stop_leader(context):
    stop_by_plan(context, context.first_leader)


def advance_until_append(context, name) -> None:
    """Let time pass until an append of a process to the leadership stream is on its way."""
    cluster = context.cluster
    store = cluster.processes[name].store
    append = store.append
    is_sent = False

    async def append_and_tell(stream, records, **options):
        nonlocal is_sent
        is_sent = is_sent or stream is Stream.LEADERSHIP
        return await append(stream, records, **options)

    store.append = append_and_tell
    for _ in range(MAX_STEPS):
        cluster.advance(STEP_SECONDS)
        if is_sent:
            store.append = append
            return
    raise AssertionError("no append")


@when(r"the leader stops by plan while its renewal is on its way")
def stop_renewing_leader(context):
    context.cluster.processes[context.first_leader].store.latency_seconds = 0.1
    advance_until_append(context, context.first_leader)
    stop_by_plan(context, context.first_leader)


@when(r"the leader is killed and the next one stops by plan while its claim is on its way")
def stop_claiming_process(context):
    cluster = context.cluster
    others = [name for name in cluster.processes if name != context.first_leader]
    for name in others:
        cluster.processes[name].store.latency_seconds = 0.1
    cluster.processes[others[1]].election.stop_claiming()
    cluster.kill(context.first_leader)
    advance_until_append(context, others[0])
    assert not cluster.leaders, cluster.leaders
    cluster.processes[others[1]].election._has_stopped_claiming = False
    stop_by_plan(context, others[0])


@when(r"no process reaches the leader")
def isolate_leader(context):
    cluster = context.cluster
    cluster.has_path = lambda caller, address: address != context.first_leader


@when(
    r"for (?P<seconds>[\d.]+) seconds each append of the leader "
    r"(?P<fate>is refused|is stored, but its answer is lost)"
)
def fail_appends(context, seconds, fate):
    cluster = context.cluster
    store = cluster.processes[context.first_leader].store
    if fate == "is refused":
        store.is_down = True
    else:
        store.lost_answers = 1000

    def end() -> None:
        store.is_down, store.lost_answers = False, 0

    cluster.loop.call_later(float(seconds), end)


@then(r"its resignation was stored(?P<once> once)? within (?P<seconds>[\d.]+) seconds")
def check_resignation(context, once, seconds):
    stored = [(at, claim) for at, claim in context.resignations if claim.address == context.stopped]
    assert stored, "no resignation is stored"
    waited = stored[0][0] - context.stopped_at
    assert waited <= float(seconds), waited
    assert not once or len(stored) == 1, stored


@then(r"the term of the process that stopped has ended")
def check_term_ended(context):
    election = context.cluster.processes[context.stopped].election
    assert election.leader is None
    assert election._term_task.done()


def handed_over_at(context) -> float:
    """Return when the resignation of the process that stopped, or a later claim, was stored.

    Processes that learn of the end of its term from its messages may claim before the resignation
    is stored, which then fails.
    """
    later = [at for at, claim in context.claims if at > context.stopped_at]
    resigned = [at for at, claim in context.resignations if claim.address == context.stopped]
    assert later or resigned, "neither a resignation nor a later claim is stored"
    return min(later + resigned)


@then(r"its resignation or a later claim was stored within (?P<seconds>[\d.]+) seconds")
def check_handover(context, seconds):
    waited = handed_over_at(context) - context.stopped_at
    assert waited <= float(seconds), waited


@then(r"it sent no order after its resignation or a later claim was stored")
def check_orders(context):
    stored_at = handed_over_at(context)
    late = [at - stored_at for at in context.sent_orders if at > stored_at]
    assert not late, late


@then(r"all submitted tasks are done")
def check_all_done(context):
    cluster = context.cluster
    done = {key for minion in cluster.minions.values() for key, _, _ in minion.spans}
    assert len(done) == 20 * context.job_count, (len(done), 20 * context.job_count)


@then(r"the claim of the process that stopped is resigned")
def check_claim_resigned(context):
    claims = [claim for _, claim in context.resignations if claim.address == context.stopped]
    assert claims, context.cluster.store.newest((Stream.LEADERSHIP, 0))
