from __future__ import annotations

import asyncio

from behave import given, then, when

from dotterelhill.ledger import Capacity, Leave
from dotterelhill.ledger.feed import ControlRelay
from dotterelhill.ledger.tests.fleet import Fleet


def capacity(name, cpu=8.0):
    return Capacity(
        worker=name, rack="r", failure_domain="kbh-nord", cpu=cpu, memory_gb=1.0, accelerators=0
    )


def relay_evidence(fleet, sender, receiver):
    feed, now = fleet.processes[sender].feed, fleet.loop.time()
    age = now - feed.evidence_at
    fleet.processes[receiver].feed.accept_evidence(feed.ledger.read_offset, age, now)


@given('a log whose config stream declares job "{name}"')
def start_log(context, name):
    context.fleet = Fleet()
    context.add_cleanup(context.fleet.close)
    context.fleet.publish(0, [name])


@given("{count:d} processes that follow the log")
def start_processes(context, count):
    for number in range(len(context.fleet.processes) + 1, count + 1):
        context.fleet.start(number)


@when("process {number:d} starts")
def start_process(context, number):
    context.fleet.start(number)


@given("process {number:d} starts without the log")
def start_cut(context, number):
    context.fleet.start(number, is_cut=True)


@given("{seconds:g} seconds pass")
@when("{seconds:g} seconds pass")
def pass_time(context, seconds):
    context.fleet.run(asyncio.sleep(seconds))


@given("the log loses {count:d} answers")
def lose_answers(context, count):
    context.fleet.log.lost_answers = count


@given("the log answers appends after {seconds:g} seconds")
def delay_appends(context, seconds):
    context.fleet.log.append_delay_seconds = seconds


@given("the log is down")
def stop_log(context):
    context.fleet.log.is_down = True


@when("the log comes back")
def resume_log(context):
    context.fleet.log.is_down = False


@given("process {number:d} is cut off from the log")
@when("process {number:d} is cut off from the log")
def cut_off(context, number):
    context.fleet.processes[number].link.is_cut = True


@when("process {number:d} reaches the log again")
def reconnect(context, number):
    context.fleet.processes[number].link.is_cut = False


@when('version {version:d} is published on base {base:d} with jobs "{names}"')
def publish(context, version, base, names):
    context.fleet.publish(base, names.split())
    assert context.fleet.log.stream("config").next_offset == version + 1


@when('worker "{name}" is recorded')
def record_worker(context, name):
    context.fleet.put(capacity(name))


@when("{count:d} capacity records are recorded")
def record_many(context, count):
    for number in range(count):
        context.fleet.put(capacity("w1", 1.0 + number % 2))


@when("a record of a newer version is recorded")
def record_newer(context):
    context.fleet.put(Leave(version=2, incarnation="x"))


@when('only {count:d} record of "{stream}" is kept')
def trim(context, count, stream):
    context.fleet.log.keep_last(stream, count)


@when("process {sender:d} relays its records to process {receiver:d}")
def relay_records(context, sender, receiver):
    feed = context.fleet.processes[receiver].feed
    relay = context.fleet.processes[sender].feed.relay_after(feed.ledger.read_offset)
    assert feed.accept_relay(relay)


@when("process {sender:d} relays its manifest to process {receiver:d}")
def relay_manifest(context, sender, receiver):
    manifest = context.fleet.processes[sender].config.current
    config = context.fleet.processes[receiver].config
    assert config.accept_relayed(manifest.version, manifest.record)


@when("process {sender:d} relays its evidence to process {receiver:d}")
def relay_all_evidence(context, sender, receiver):
    relay_evidence(context.fleet, sender, receiver)


@when("process {receiver:d} gets the state of process {sender:d}")
def transfer_state(context, receiver, sender):
    data = context.fleet.processes[sender].feed.encoded_state()
    assert context.fleet.processes[receiver].feed.accept_state(data)


@when("process {number:d} becomes the writer of snapshots")
def become_writer(context, number):
    context.fleet.processes[number].writer.set_active(True)


@then("records after the first new one are refused by process {number:d}")
def check_gap(context, number):
    feed = context.fleet.processes[number].feed
    known = feed.ledger.read_offset
    relay = context.fleet.processes[1].feed.relay_after(known + 1)
    assert relay.records and not feed.accept_relay(ControlRelay(known + 1, relay.records))


@then("the ledger of process {number:d} has adopted version {version:d}")
def check_adopted(context, number, version):
    found = context.fleet.processes[number].feed.ledger.adopted_version
    assert found == version, found


@then("version {version:d} is adopted by at most {count:d} records")
def check_adopts(context, version, count):
    found = context.fleet.adopted_versions().count(version)
    assert 1 <= found <= count, found
    for process in context.fleet.processes.values():
        assert process.feed.ledger.adopted_version == version


@then("version {version:d} is in force in process {number:d}")
def check_in_force(context, version, number):
    assert context.fleet.processes[number].config.version == version


@then('the jobs of process {number:d} are "{keys}"')
def check_jobs(context, number, keys):
    found = set(context.fleet.processes[number].feed.ledger.placements.jobs)
    assert found == set(keys.split()), found


@then('the workers of process {number:d} are "{names}"')
def check_workers(context, number, names):
    found = set(context.fleet.processes[number].feed.ledger.placements.workers)
    assert found == set(names.split()), found


@then('process {number:d} is not deciding because "{problem}"')
def check_not_deciding(context, number, problem):
    feed = context.fleet.processes[number].feed
    assert not feed.is_deciding and feed.problem == problem, feed.problem


@then('process {number:d} is not restored because "{problem}"')
def check_not_restored(context, number, problem):
    feed = context.fleet.processes[number].feed
    assert not feed.is_restored and problem in feed.problem, feed.problem


@then("process {number:d} was restored from a snapshot")
def check_restored(context, number):
    first = context.fleet.processes[number].updates[0]
    feed = context.fleet.processes[number].feed
    assert first.is_restored and feed.ledger.counts.get("accepted", 0) == 0, feed.ledger.counts
    assert feed.ledger.adopted_version == 1


@then("process {number:d} has written between {minimum:d} and {maximum:d} snapshots")
def check_written(context, number, minimum, maximum):
    found = context.fleet.processes[number].writer.written_count
    assert minimum <= found <= maximum, found


@then('the evidence of processes "{numbers}" is at most {seconds:g} seconds old')
def check_evidence_fresh(context, numbers, seconds):
    for number in map(int, numbers.split()):
        age = context.fleet.loop.time() - context.fleet.processes[number].feed.evidence_at
        assert age <= seconds, (number, age)
        assert context.fleet.processes[number].feed.problem == ""


@then("the evidence of process {number:d} is at least {seconds:g} seconds old")
def check_evidence_stale(context, number, seconds):
    age = context.fleet.loop.time() - context.fleet.processes[number].feed.evidence_at
    assert age >= seconds - 1.2, age


@then("process {number:d} was notified of {count:d} accepted workers")
def check_notified(context, number, count):
    verdicts = [v for u in context.fleet.processes[number].updates for v in u.verdicts]
    notified = [v for v in verdicts if v.is_accepted and isinstance(v.record, Capacity)]
    assert len(notified) == count, notified
    kept = context.fleet.processes[number].feed.relay_after(0).records
    assert len(kept) == len({record.offset for record in kept}), kept


@then("process {number:d} was restored {count:d} time")
def check_restores(context, number, count):
    found = [update for update in context.fleet.processes[number].updates if update.is_restored]
    assert len(found) == count, found


@then("the snapshot was read at most {count:d} times")
def check_snapshot_reads(context, count):
    found = context.fleet.log.delivered["snapshots"]
    assert 1 <= found <= count, found
