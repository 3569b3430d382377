from __future__ import annotations

from contextlib import suppress

import logbook
from behave import given, then, use_step_matcher, when

from dotterelhill.control.interface import StoreError, Stream
from dotterelhill.control.leadership import (
    FENCES_PER_TERM,
    LEASE_SECONDS,
    RENEWAL_GRACE_SECONDS,
    Claim,
    LeaderCondition,
    Leadership,
    Settlement,
    Witness,
    WitnessAnswer,
)
from dotterelhill.control.tests.cluster_world import Cluster, MemoryStore, StoreView

use_step_matcher("re")


@when(r"reads of the newest submissions take (?P<seconds>[\d.]+) seconds")
def slow_newest(context, seconds):
    for process in context.cluster.processes.values():
        process.store.newest_seconds[Stream.SUBMISSIONS] = float(seconds)


def loading_process(context):
    """Return the process that loads, and record what leaders log from now on."""
    process = context.cluster.processes[context.cluster.leaders[0]]
    context.loader, context.term = process, process.election.leader
    assert not context.term._is_loaded
    context.leader_log = logbook.TestHandler()
    context.leader_log.push_application()
    context.add_cleanup(context.leader_log.pop_application)
    return process


@when(r"the process that loads is told of a newer claim")
def supersede_loader(context):
    process = loading_process(context)
    process.election.accept_claim(Claim(process.leadership.epoch + 1, "x/9", "x"))


@when(r"the process that loads can't renew its claim")
def stop_renewals(context):
    process = loading_process(context)
    process.store.silent_streams.add(Stream.LEADERSHIP)
    # No other process takes over, since that would end the claim.
    for other in context.cluster.processes.values():
        other.election.stop_claiming()


@then(r"it has ended its term within (?P<seconds>[\d.]+) seconds")
def check_term_ended(context, seconds):
    context.cluster.advance(float(seconds))
    assert context.loader.election.leader is not context.term


@then(r"it has not reported that it leads")
def check_not_led(context):
    leading = [record for record in context.leader_log.records if record.message == "leading"]
    assert context.term._epoch not in [record.extra["epoch"] for record in leading], leading


@when(r"(?P<count>\d+) jobs of 1 task are submitted")
def submit_jobs(context, count):
    context.cluster.submit_many(int(count), 0.01)


@when(
    r"the newest submissions are read in pages of (?P<size>\d+) record, and (?P<count>\d+) of "
    r"these reads fail"
)
def fail_pages(context, size, count):
    for process in context.cluster.processes.values():
        process.store.page_records[Stream.SUBMISSIONS] = int(size)
        process.store.failing_pages = int(count)


@then(r"the leader has read at most (?P<count>\d+) pages of submissions")
def check_pages(context, count):
    process = context.cluster.processes[context.cluster.leaders[0]]
    assert process.election.leader._is_loaded
    assert process.store.pages_read[Stream.SUBMISSIONS] <= int(count), process.store.pages_read


@given(
    r'processes "(?P<names>[^"]*)" with clocks of different origin that have run for '
    r"(?P<seconds>\d+) seconds"
)
def new_cluster_with_clocks(context, names, seconds):
    context.cluster.close()
    context.cluster = Cluster(names.split(), clock_spacing_seconds=1000.0)
    context.cluster.advance(int(seconds))
    context.first_leader = context.cluster.leaders[0]


@when(r"the clock of the leader runs (?P<percent>-?\d+) percent slow")
def slow_clock(context, percent):
    context.cluster.processes[context.first_leader].clock.set_rate(1.0 - int(percent) / 100.0)


@when(r"messages of the leader take (?P<seconds>[\d.]+) seconds")
def delay_messages(context, seconds):
    context.cluster.message_seconds = float(seconds)


@then(r"the earlier leader renewed nothing after the time that the next one assumed")
def check_assumed_end(context):
    cluster = context.cluster
    earlier = cluster.processes[context.first_leader]
    newest = cluster.processes[cluster.leaders[0]]
    # The claim that the earlier leader can't know to be superseded still holds its deadline.
    last = earlier.leadership._valid_until + RENEWAL_GRACE_SECONDS
    ended_at = earlier.clock.time_of(last)
    assumed_at = newest.clock.time_of(newest.assumed_renewals_end)
    assert ended_at <= assumed_at, (ended_at, assumed_at)


@when(r"each job takes (?P<ms>\d+) ms to load")
def slow_jobs(context, ms):
    context.cluster.seconds_per_job = int(ms) / 1000.0


@when(r"renewals of the process that loads are lost")
def lose_renewals(context):
    context.loading_epoch = loading_process(context).leadership.epoch
    context.loader.store.silent_streams.add(Stream.LEADERSHIP)


@then(r"(?P<count>\d+) processes have claimed since")
def check_claims_since(context, count):
    epochs = [process.leadership.epoch for process in context.cluster.processes.values()]
    later_epochs = max(epochs) - context.loading_epoch
    assert later_epochs == FENCES_PER_TERM * (int(count) - 1), epochs


@when(r"its clock runs (?P<percent>-?\d+) percent slow")
def slow_clock_without_store(context, percent):
    process = context.cluster.processes[context.silenced_leader]
    process.clock.set_rate(1.0 - int(percent) / 100.0)


@when(r"the others take it for unable at once")
def take_for_unable(context):
    """Let the next process claim early; a premature claim must be safe."""

    async def unable(address, incarnation, epoch):
        return LeaderCondition.UNABLE

    for name, process in context.cluster.processes.items():
        if name not in (context.first_leader, context.silenced_leader):
            process.election._condition_of = unable


@when(r"a process that has led claims again and does not know until when earlier leaders renew")
def claim_again(context):
    cluster = context.cluster
    context.leadership = Leadership(StoreView(MemoryStore()), "x/1", "x", cluster.loop.time)
    for _ in range(2):
        state = cluster.run(context.leadership.read())
        assert cluster.run(context.leadership.claim(state))
        if not context.leadership.ended_epoch:
            context.leadership.settle_at(cluster.loop.time())
            context.leadership.drop("test")


@then(r"it tells nothing about leaders before its new term")
def check_no_settlement(context):
    assert context.leadership.settlement is None, context.leadership.settlement


@when(r"it learns that they renew for (?P<seconds>[\d.]+) more seconds")
def learn_settlement(context, seconds):
    context.leadership.settle_at(context.cluster.loop.time() + float(seconds))


@then(
    r"it tells (?P<later>[\d.]+) seconds later that they renew for (?P<seconds>[\d.]+) more seconds"
)
def check_settlement(context, later, seconds):
    context.cluster.advance(float(later))
    told = context.leadership.settlement
    assert told.epoch == context.leadership.epoch, told
    assert abs(told.left_seconds - float(seconds)) < 1e-6, told


@when(r"answers to claims take (?P<seconds>[\d.]+) seconds")
def delay_claim_answers(context, seconds):
    context.cluster.claim_answer_seconds = float(seconds)


@when(r"leaders have no witness")
def have_no_witness(context):
    context.cluster.has_witnesses = False


@when(r"leaders have a witness")
def have_witness(context):
    assert context.cluster.has_witnesses


@when(
    r"the leader is cut off from the store, and nobody but it reaches the minions with tasks of "
    r'job "(?P<job>\w+)"'
)
def cut_off_with_witness(context, job):
    """Leave only the calls of the leader to other processes, as to its witness."""
    context.execute_steps(
        f'When the leader and the minions with tasks of job "{job}" are cut off from the store and '
        "from all others"
    )
    context.cluster.processes[context.first_leader].is_cut_off = False


@when(r"no other process claims for (?P<seconds>[\d.]+) seconds")
def hold_claims(context, seconds):
    cluster = context.cluster
    others = [process for name, process in cluster.processes.items() if name not in cluster.leaders]
    for process in others:
        process.election._has_stopped_claiming = True
    cluster.advance(float(seconds))
    for process in others:
        process.election._has_stopped_claiming = False


@when(r"the leader and its witness are killed")
def kill_with_witness(context):
    leadership = context.cluster.processes[context.first_leader].leadership
    context.cluster.kill(leadership.witness.address)
    context.cluster.kill(context.first_leader)


@when(r"the answer to a renewal that names witness \"c\" instead of \"b\" is lost")
def change_witness(context):
    cluster = context.cluster
    view = StoreView(MemoryStore())
    context.leadership = leadership = Leadership(view, "a/1", "a", cluster.loop.time)
    assert cluster.run(leadership.claim(cluster.run(leadership.read())))
    cluster.run(leadership.renew(Witness("b/1", "b")))
    view.lost_answers = 1
    with suppress(StoreError):
        cluster.run(leadership.renew(Witness("c/1", "c")))
    cluster.advance(LEASE_SECONDS + 0.1)
    asked = {witness.address for witness in leadership.witnesses_to_ask}
    assert asked == {"b", "c"}, asked


@when(r'witness "(?P<name>\w)" answers that it knows of no later claim')
def answer_as_witness(context, name):
    now, answer = context.cluster.loop.time(), WitnessAnswer(f"{name}/1", 1, None)
    context.leadership.record_answer(Witness(f"{name}/1", name), answer, now)


@then(r"the leader may(?P<no> not|) renew leases")
def check_permission(context, no):
    assert context.leadership.is_lease_renewal_allowed is not bool(no)


@when(r"answer (?P<number>\d+) of the witness is lost")
def lose_witness_answer(context, number):
    context.cluster.lost_witness_answer = int(number)


@then(r"the leader may renew leases for (?P<seconds>[\d.]+) seconds after its newest renewal")
def check_permission_lasts(context, seconds):
    cluster = context.cluster
    leadership = cluster.processes[cluster.leaders[0]].leadership
    end = leadership._valid_until - LEASE_SECONDS + float(seconds)
    while cluster.loop.time() < end:
        assert leadership.is_lease_renewal_allowed, end - cluster.loop.time()
        cluster.advance(0.02)


@when(r"the first (?P<count>\d+) answers to claims are lost")
def lose_claim_answers(context, count):
    context.cluster.lost_claim_answers = int(count)


@when(
    r"claims are answered as by (?P<process>an earlier build|a process that tells of an old term)"
)
def change_claim_answers(context, process):
    answer = None
    if process == "a process that tells of an old term":
        epoch = context.cluster.processes[context.first_leader].leadership.epoch
        answer = Settlement(epoch, 0.0)
    context.cluster.settlement_of = lambda election: answer


@then(r"the first leader renewed nothing after the time that the newest one learned")
def check_learned_end(context):
    cluster = context.cluster
    first = cluster.processes[context.first_leader]
    newest = cluster.processes[cluster.leaders[0]]
    learned = newest.leadership._settled_at
    assert learned < newest.assumed_renewals_end, "no earlier time was learned"
    # The claim that the first leader can't know to be superseded still holds its deadline.
    ended_at = first.clock.time_of(first.leadership.renewals_end)
    learned_at = newest.clock.time_of(learned)
    assert ended_at <= learned_at, (ended_at, learned_at)
