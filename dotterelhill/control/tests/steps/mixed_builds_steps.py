from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import replace
from types import SimpleNamespace

import aiohttp
import msgspec
from aiohttp import web
from behave import given, then, use_step_matcher, when

from dotterelhill.control import leadership, peers, relay_messages
from dotterelhill.control.interface import Record, Stream
from dotterelhill.control.submissions import partition_of
from dotterelhill.control.tests import earlier_build as earlier
from dotterelhill.control.tests.cluster_world import (
    HOLD_SECONDS,
    QUEUE,
    SUBMISSION_PARTITIONS,
    Cluster,
)
from dotterelhill.jobs import model, progress
from dotterelhill.jobs.queues import Tenant
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tenants.admission import AdmittedRate

use_step_matcher("re")

CALL = (1, "m:1", "m1", "/x", b"{}", 0.5)


def present_submission(tenant):
    step = model.Step(2, ResourceVector(1000, 100), 1.0, after=(), is_speculative=True)
    schedule = model.Schedule(2, 7, 9)
    return model.Submission("j", QUEUE, 5, "spec", (step,), schedule, tenant)


def present_progress():
    job = model.Job(present_submission("t"), state=model.JobState.RUNNING, has_begun=True)
    done = job.task(model.TaskKey("j", 0, 0, 0))
    job.mark_done(done)
    running = job.task(model.TaskKey("j", 0, 0, 1))
    running.assign("m1", 3)
    running.assign_copy("m2", 4)
    running.checkpoint, running.failures, running.is_restarted = "c", 1, True
    return job


def present_samples():
    """Return the encoded form of the newest definitions, with each new field in use."""
    rates = {"t": AdmittedRate(1.0, 9.0, 4.0)}
    notice = relay_messages.EntryNotice(7, 0.5, rates, 3, config_holder="b:1")
    calls = [relay_messages.RelayedCall(*CALL)]
    claim = leadership.Claim(4, "a/1", "a:1")
    pack, answer = msgspec.msgpack.encode, relay_messages.RelayedAnswer(1, 200, b"x")
    return {
        "claim": pack(claim),
        "renewal": pack(
            leadership.Renewal(
                4, True, 8.5, 1.0, leadership.Witness("b/1", "b:1"), {"m1@1": 900}, 1.0
            )
        ),
        "peer status": msgspec.json.encode(peers.PeerStatus("a/1", True, True, 3, 12, claim)),
        "hello": pack(relay_messages.Hello("a/1", "d", 2.0, True, "a:1")),
        "leader message": pack(
            relay_messages.LeaderMessage(
                "a/1", 1.0, True, True, calls, 2, 5, notice, witness_address="b:1"
            )
        ),
        "relay message": pack(relay_messages.RelayMessage(False, [answer], 7)),
        "submission": progress.encode_submission(present_submission("t")),
        "progress": progress.encode_progress(present_progress()),
    }


def earlier_samples():
    """Return the values of the earlier definitions, whose types also decode the newest form."""
    step = earlier.Step(2, earlier.Resources(1000, 100), 1.0, is_speculative=True)
    tasks = [earlier.TaskRecord(0, 0, 1, 1, 1, "m1", 3, "c")]
    return {
        "claim": earlier.Claim(4, "a/1", "a:1"),
        "renewal": earlier.Renewal(4, True),
        "peer status": earlier.PeerStatus("a/1", True, True, 3),
        "hello": earlier.Hello("a/1", "d", 2.0),
        "leader message": earlier.LeaderMessage(
            "a/1", 1.0, True, True, [earlier.RelayedCall(*CALL)], 2
        ),
        "relay message": earlier.RelayMessage(False, [earlier.RelayedAnswer(1, 200, b"x")]),
        "submission": earlier.Submission(
            "j", earlier.QUEUE, 5, "spec", (step,), earlier.Schedule(2, 7, 9)
        ),
        "progress": earlier.ProgressRecord(
            earlier.RUNNING, tasks, [earlier.DoneRecord(0, 0, b"\x01")]
        ),
    }


def restored(data):
    job = model.Job(present_submission(""))
    progress.apply_progress(job, data)
    return job


PRESENT_DECODERS = {
    "claim": leadership._CLAIM_DECODER.decode,
    "renewal": leadership._RENEWAL_DECODER.decode,
    "peer status": peers._STATUS_DECODER.decode,
    "hello": relay_messages.HELLO_DECODER.decode,
    "leader message": relay_messages.LEADER_DECODER.decode,
    "relay message": relay_messages.RELAY_DECODER.decode,
    "submission": progress.decode_submission,
    "progress": restored,
}


def codec_of(kind):
    return msgspec.json if kind == "peer status" else msgspec.msgpack


@then(r"a (?P<kind>[\w ]+) of the present build is read by the earlier one")
def read_by_earlier(context, kind):
    expected = earlier_samples()[kind]
    found = codec_of(kind).decode(present_samples()[kind], type=type(expected))
    assert found == expected, found


@then(r"a (?P<kind>[\w ]+) of the earlier build is read by the present one")
def read_by_present(context, kind):
    value = earlier_samples()[kind]
    found = PRESENT_DECODERS[kind](codec_of(kind).encode(value))
    if kind == "progress":
        tasks = sorted(found.tasks.values(), key=lambda task: task.key)
        assert [task.is_done for task in tasks] == [True, False], tasks
        (assignment,) = tasks[1].assignments
        assert assignment == model.Assignment("m1", 3, 1), assignment
        assert (tasks[1].checkpoint, tasks[1].failures) == ("c", 1), tasks[1]
        return
    # Fields that the earlier build lacks have their defaults, all others what it has written.
    earlier_form = codec_of(kind).decode(codec_of(kind).encode(found), type=type(value))
    assert earlier_form == value, found
    added = set(dir(found)) - set(dir(value))
    defaults = {
        "sent_at": None,
        "witness": None,
        "closed_ms": {},
        "unwitnessed_seconds": None,
        "address": "",
        "loading_progress": None,
        "entry": relay_messages.EntryNotice(),
        "config_version": 0,
        "newest_claim": None,
        "witness_address": "",
        "tenant": "",
    }
    for name in added & set(defaults):
        assert getattr(found, name) == defaults[name], (name, found)


# Bodies with which processes of other builds accept a claim.
OTHER_ANSWERS = {
    "an earlier build": b"",
    "a later build that tells more": msgspec.msgpack.encode([3, 2.5, "more"]),
    "a build that tells no number": msgspec.msgpack.encode([3, float("nan")]),
    "a build that tells of a time before": msgspec.msgpack.encode([3, -1.0]),
    "a later build that answers in another way": msgspec.msgpack.encode({"left_seconds": 0.0}),
}


@when(r"a claim is announced over HTTP to a process of (?P<build>.+)")
def announce_over_http(context, build):
    context.accepted = []
    settlement = leadership.Settlement(3, 2.5) if build.endswith("has led") else None
    source = SimpleNamespace(accept_claim=context.accepted.append, settlement=settlement)
    server = peers.PeerServer(source, None, "127.0.0.1", 0)

    async def accept(request):
        context.accepted.append(peers._CLAIM_DECODER.decode(await request.read()))
        return web.Response(body=OTHER_ANSWERS[build])

    if build in OTHER_ANSWERS:
        server._answer = accept

    async def announce() -> None:
        await server.on_start()
        host, port = server._runner.addresses[0][:2]
        async with aiohttp.ClientSession() as session:
            client = peers.PeerClient(lambda: session)
            claim = leadership.Claim(4, "a/1", "a:1")
            context.told = await client.announce_claim(f"{host}:{port}", claim)
        await server.on_stop()

    asyncio.run(announce())


@then(
    r"the claim is accepted and the answer tells (?:nothing|that earlier leaders end in "
    r"(?P<seconds>[\d.]+) seconds)"
)
def check_told(context, seconds):
    assert context.accepted == [leadership.Claim(4, "a/1", "a:1")], context.accepted
    expected = leadership.Settlement(3, float(seconds)) if seconds else None
    assert context.told == expected, context.told


@when(r"a witness of (?P<build>the present|an earlier) build is asked over HTTP")
def ask_over_http(context, build):
    context.accepted = []

    def answer(claim):
        context.accepted.append(claim)
        return leadership.WitnessAnswer("b/1", 4, 0.25)

    source = SimpleNamespace(answer_as_witness=answer, leader=None)
    server = peers.PeerServer(source, None, "127.0.0.1", 0)

    async def refuse(request):
        return web.Response(status=503, text="not leading")

    if build == "an earlier":
        server._answer = refuse

    async def ask() -> None:
        await server.on_start()
        host, port = server._runner.addresses[0][:2]
        async with aiohttp.ClientSession() as session:
            client = peers.PeerClient(lambda: session)
            claim = leadership.Claim(4, "a/1", "a:1")
            context.told = await client.ask_witness(f"{host}:{port}", claim)
        await server.on_stop()

    context.told = None
    with suppress(peers.PeerUnreachableError):
        asyncio.run(ask())


@then(r"it has answered")
def check_witness_answer(context):
    assert context.accepted == [leadership.Claim(4, "a/1", "a:1")], context.accepted
    assert context.told == leadership.WitnessAnswer("b/1", 4, 0.25), context.told


@then(r"there is no answer")
def check_no_witness_answer(context):
    assert context.told is None and not context.accepted, context.told


def append(cluster, stream, key, value):
    partition = partition_of(key, SUBMISSION_PARTITIONS) if stream is Stream.SUBMISSIONS else 0
    cluster.store.streams[stream, partition].append(Record(key, value))


def store_submission(cluster, job, count):
    data = msgspec.msgpack.encode(earlier.submission(job, count))
    append(cluster, Stream.SUBMISSIONS, job, data)


@given(
    r'an earlier build has stored job "(?P<job>\w+)" of (?P<count>\d+) tasks'
    r"(?P<more>| and its cancellation|, of which 0 is done, 1 runs and 2 has failed)"
)
def store_as_earlier(context, job, count, more):
    if getattr(context, "cluster", None) is None:
        context.cluster = Cluster([])
    cluster = context.cluster
    store_submission(cluster, job, int(count))
    if "cancellation" in more:
        append(cluster, Stream.SUBMISSIONS, earlier.CANCELLATION_PREFIX + job, b"1")
    if "runs" not in more:
        return
    leader = earlier.EarlierLeader(lambda *record: append(cluster, *record))
    epoch = leader.claim(cluster.store.streams[Stream.LEADERSHIP, 0])
    tasks = [
        earlier.TaskRecord(0, 0, 1, 2, 0, "m1", 1, "", is_proven=True),
        earlier.TaskRecord(0, 0, 2, 3, 1, "", 0, "c3"),
    ]
    leader.progress[job] = earlier.ProgressRecord(
        earlier.RUNNING, tasks, [earlier.DoneRecord(0, 0, b"\x01")]
    )
    leader.write_progress()
    minion, now = cluster.minions["m1"], cluster.loop.time()
    minion.fence, minion.lease_until = epoch, now + HOLD_SECONDS
    minion.running[model.TaskKey(job, 0, 0, 1)] = (2, now + 4.0)


@then(r'the runs that were started are "(?P<runs>[^"]*)"')
def check_started_runs(context, runs):
    started = sorted(
        f"{key.job_id}{key.index}:{run_id}" for _, key, run_id in context.cluster.starts
    )
    assert started == runs.split(), started


@when(r"all processes are killed and an earlier build leads")
def lead_as_earlier(context):
    cluster = context.cluster
    for name, process in cluster.processes.items():
        if process.is_running:
            cluster.kill(name)
    leader = earlier.EarlierLeader(lambda *record: append(cluster, *record))
    epoch = leader.claim(cluster.store.streams[Stream.LEADERSHIP, 0])
    for partition in range(SUBMISSION_PARTITIONS):
        leader.read_submissions(cluster.store.streams[Stream.SUBMISSIONS, partition])
    leader.read_progress(cluster.store.streams[Stream.PROGRESS, 0])
    for minion in cluster.minions.values():
        minion.fence = epoch
        minion.lease_until = cluster.loop.time() + HOLD_SECONDS
    context.earlier_leader = leader


@then(r'it knows (?P<count>\d+) running tasks of jobs "(?P<jobs>[^"]*)"')
def check_known_runs(context, count, jobs):
    known = set()
    for job in jobs.split():
        for task in context.earlier_leader.progress[job].tasks:
            if task.minion_id:
                known.add((job, task.index, task.run_id, task.minion_id))
    actual = set()
    for name, minion in context.cluster.minions.items():
        for key, (run_id, _) in minion.running.items():
            actual.add((key.job_id, key.index, run_id, name))
    assert known == actual and len(known) == int(count), (known, actual)


@then(r'it runs job "(?P<job>\w+)" of tenant "(?P<tenant>\w+)", which is cancelled')
def check_not_cancelled(context, job, tenant):
    leader = context.earlier_leader
    assert job in leader.submissions and job not in leader.cancelled, leader.cancelled
    assert f"{job}/{tenant}" in leader.cancelled, leader.cancelled
    leader.progress[job] = earlier.ProgressRecord(
        earlier.RUNNING, [earlier.TaskRecord(0, 0, 0, 1, 0, "m1", 1)], []
    )
    minion = context.cluster.minions["m1"]
    minion.running[model.TaskKey(job, 0, 0, 0)] = (1, context.cluster.loop.time() + 60.0)


@when(r"the leader is of a build that needs no witness while its own lease lasts")
def lead_without_witness(context):
    process = context.cluster.processes[context.first_leader]
    append_records = process.store.append

    async def append_earlier(stream, records, **options):
        earlier_form = []
        for record in records:
            value = record.value
            if record.key == leadership.RENEWAL_KEY:
                value = msgspec.msgpack.encode(msgspec.msgpack.decode(value)[:6])
            earlier_form.append(Record(record.key, value))
        return await append_records(stream, earlier_form, **options)

    class EarlierLeadership(leadership.Leadership):
        _unwitnessed_until = property(lambda self: self._valid_until)

    process.store.append = append_earlier
    process.leadership.__class__ = EarlierLeadership


@when(r"the earlier build stores what it knows and ends")
def end_earlier(context):
    context.earlier_leader.write_progress()


@given(r'the leader has tenant "(?P<tenant>\w+)" with a limit of (?P<cpu>\d+) processors')
def set_tenant(context, tenant, cpu):
    leader = context.cluster.processes[context.first_leader].election.leader
    feed = leader._parts.configuration
    limited = Tenant(tenant, limit=ResourceVector(1000 * int(cpu)))
    feed._config = replace(feed._config, version=2, tenants={tenant: limited})
    leader.apply_configuration()


@when(
    r'an earlier entry process, which checks no keys, stores job "(?P<job>\w+)" of (?P<count>\d+) '
    r"tasks"
)
def store_by_entry(context, job, count):
    store_submission(context.cluster, job, int(count))


@then(r'job "(?P<job>\w+)" has (?P<count>\d+) runs beside the limit of tenant "(?P<tenant>\w+)"')
def check_beside_limit(context, job, count, tenant):
    cluster = context.cluster
    running = [key for minion in cluster.minions.values() for key in minion.running]
    assert len([key for key in running if key.job_id == job]) == int(count), running
    scheduler = cluster.processes[context.first_leader].election.leader._scheduler
    assert scheduler.tenant_usage.of(tenant) == ResourceVector()
