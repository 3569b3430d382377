from __future__ import annotations

import asyncio
from dataclasses import replace
from types import SimpleNamespace

import msgspec
from aiohttp.test_utils import make_mocked_request
from behave import given, then, use_step_matcher, when

from dotterelhill.control.interface import Record, Stream
from dotterelhill.control.leader import NotReadyError
from dotterelhill.control.peers import PeerClient, PeerServer
from dotterelhill.control.relay_messages import (
    ENCODER,
    LEADER_DECODER,
    EntryNotice,
    LeaderMessage,
)
from dotterelhill.control.submissions import partition_of, submission_key
from dotterelhill.control.tests.cluster_world import QUEUE, SUBMISSION_PARTITIONS, Cluster
from dotterelhill.jobs.model import Step, Submission
from dotterelhill.jobs.progress import encode_submission
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tenants.admission import AdmittedRate

use_step_matcher("re")


def submission_of(tenant: str, job: str, count: int, accepted_ms: int) -> Submission:
    step = Step(count, ResourceVector(1000, 100), 1.0)
    return Submission(job, QUEUE, accepted_ms, "spec", (step,), tenant=tenant)


def submit(context, name, tenant, job, count, accepted_ms):
    service = context.cluster.processes[name].job_service
    context.cluster.run(service.submit(submission_of(tenant, job, count, accepted_ms), 3.0))


@when(
    r'tenant "(?P<tenant>\w*)" submits job "(?P<job>\w+)" of (?P<count>\d+) tasks '
    r"(?P<how>at each process in turn|with an earlier time)"
)
def submit_as_tenant(context, tenant, job, count, how):
    for name in list(context.cluster.processes):
        accepted_ms = 0 if how == "with an earlier time" else 2000
        submit(context, name, tenant, job, int(count), accepted_ms)


@when(r'tenant "(?P<tenant>\w*)" cancels job "(?P<job>\w+)"')
def cancel_as_tenant(context, tenant, job):
    service = next(iter(context.cluster.processes.values())).job_service
    context.cluster.run(service.cancel(job, 3.0, tenant=tenant))


@given(r"the fleet has no room for tasks")
def remove_room(context):
    for name in context.cluster.minions:
        context.cluster.store.streams[Stream.MINIONS, 0].append(Record(name, b"0"))
    context.cluster.advance(1.0)


@when(r"the fleet has room again")
def add_room(context):
    for name in context.cluster.minions:
        context.cluster.store.streams[Stream.MINIONS, 0].append(Record(name, b"8000"))


@given(
    r'tenants "(?P<tenants>[^"]+)" have stored job "(?P<job>\w+)" of 2 tasks at '
    r"(?P<times>[\d ]+) ms while nobody led"
)
def store_while_nobody_led(context, tenants, job, times):
    context.cluster.close()
    context.cluster = Cluster([])
    for tenant, time in zip(tenants.split(), times.split(), strict=True):
        submission = submission_of(tenant, job, 2, int(time))
        record = Record(submission_key(job, tenant), encode_submission(submission))
        partition = partition_of(record.key, SUBMISSION_PARTITIONS)
        context.cluster.store.streams[Stream.SUBMISSIONS, partition].append(record)
    for name in "ab":
        context.cluster.start(name)


@then(r'each process shows job "(?P<job>\w+)" to tenant "(?P<tenant>\w*)" as "(?P<state>\w+)"')
def check_state(context, job, tenant, state):
    for process in context.cluster.processes.values():
        if process.is_running:
            try:
                found = context.cluster.run(process.job_service.state_of(job, tenant))
            except NotReadyError:
                # Shortly before the end of a long poll, no job is known to be unknown.
                context.cluster.advance(0.2)
                found = context.cluster.run(process.job_service.state_of(job, tenant))
            assert str(found or "none") == state, (process.name, found)


@then(r'no record of job "(?P<job>\w+)" is stored')
def check_no_records(context, job):
    store = context.cluster.store
    for partition in range(SUBMISSION_PARTITIONS):
        records = store.newest((Stream.SUBMISSIONS, partition)).records
        assert not records, records


@when(r'the leader is asked over HTTP for job "(?P<job>\w+)" of tenant "(?P<tenant>[^"]+)"')
def ask_over_http(context, job, tenant):
    context.asked = []
    leader = SimpleNamespace(state_of=lambda *names: context.asked.append(names))
    server = PeerServer(SimpleNamespace(leader=leader), None, "h", 1)

    class LoopbackClient(PeerClient):
        """Client whose calls reach the server without a network."""

        async def _call(self, method, address, path, body=None):
            response = await server._answer(make_mocked_request(method, path))
            return response.status, response.body or b""

    asyncio.run(LoopbackClient(lambda: None).state_of("h:1", job, tenant))


@then(r'it looks up job "(?P<job>\w+)" of tenant "(?P<tenant>[^"]+)"')
def check_asked(context, job, tenant):
    assert context.asked == [(job, tenant)], context.asked


@given(r"a message of the leader that names a version and rates")
def encode_message(context):
    notice = EntryNotice(7, 0.5, {"t": AdmittedRate(1.0, 9.0, 4.0)}, 3)
    context.message = LeaderMessage("a/1", 1.0, True, True, [], 2, entry=notice)
    context.data = ENCODER.encode(context.message)
    assert LEADER_DECODER.decode(context.data) == context.message


class EarlierMessage(msgspec.Struct, array_like=True):
    incarnation: str
    sent_at: float
    has_claim: bool
    is_able: bool
    calls: list
    ended_epoch: int = 0


@then(r"an earlier build reads its first fields")
def read_as_earlier(context):
    assert msgspec.msgpack.decode(context.data, type=EarlierMessage).ended_epoch == 2


@then(r"a later build reads it without the newest fields")
def read_earlier_message(context):
    known_fields = LeaderMessage.__struct_fields__.index("entry")
    data = ENCODER.encode(msgspec.msgpack.decode(context.data)[:known_fields])
    message = LEADER_DECODER.decode(data)
    assert message.ended_epoch == 2 and message.entry.rates is None, message


@given(
    r'the leader measures (?P<arrivals>\d+) arrivals per second of tenant "(?P<tenant>\w+)", whose '
    r"work takes (?P<drain>\d+) s to drain"
)
def measure_load(context, arrivals, tenant, drain):
    load = SimpleNamespace(
        waiting_jobs=9,
        arrivals_per_second=float(arrivals),
        starts_per_second=3.0,
        drain_seconds=float(drain),
        is_short=False,
    )
    context.leader = context.cluster.processes[context.first_leader].election.leader
    context.leader._parts = replace(
        context.leader._parts, tenant_loads=lambda scheduler, now: {tenant: load}
    )
    context.cluster.advance(0.5)


@then(
    r'the leader names a rate of (?P<rate>[\d.]+) jobs per second for tenant "(?P<tenant>\w+)" only'
)
def check_named_rate(context, rate, tenant):
    rates = context.leader.admitted_rates()
    assert {name: found.jobs_per_second for name, found in rates.items()} == {tenant: float(rate)}


@then(r"it names no rates, not even an empty list")
def check_no_rates(context):
    assert context.leader.admitted_rates() is None
