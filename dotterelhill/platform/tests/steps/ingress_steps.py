from __future__ import annotations

import asyncio
import json
import logging
import random
from types import SimpleNamespace
from unittest import mock

import logbook
from aiohttp import streams
from aiohttp.http_exceptions import InvalidHeader
from aiohttp.test_utils import make_mocked_request
from behave import given, then, use_step_matcher, when

from dotterelhill.control.interface import StoreError, StoreRefusedError
from dotterelhill.control.job_service import JobService
from dotterelhill.entry.metrics import LocalMetrics
from dotterelhill.jobs.progress import decode_submission
from dotterelhill.jobs.queues import FleetConfig, Queue, Tenant
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.shortage.entry import QueueAdmission
from dotterelhill.jobs.shortage.refusal import QueueVerdict
from dotterelhill.jobs.tenants.access import AccessSettings, Freshness
from dotterelhill.jobs.tenants.admission import EntryAdmission
from dotterelhill.jobs.tenants.keys import ApiKeys
from dotterelhill.platform.ingress import Ingress, _server_log
from dotterelhill.platform.settings import Address

use_step_matcher("re")

BODY = json.dumps({"spec": "x", "steps": [{"count": 1, "cpu": 500}]}).encode()
QUEUES = {
    "q": Queue("q", "h", "/q/", "pool"),
    "open": Queue("open", "h", "/open/", "pool", is_anonymous=True),
}


class FakeStore:
    """Store that stores all records, or fails and calls ``on_append``."""

    is_unavailable = False

    def __init__(self) -> None:
        self.records = []
        self.on_append = lambda: None
        self.error = None
        self.appends = 0

    def partitions(self, stream) -> int:
        return 1

    async def append(self, stream, records, **more) -> int:
        self.appends += 1
        self.on_append()
        if self.error is not None:
            raise self.error
        self.records += records
        return len(self.records)


class EntryWorld:
    """Entry process without sockets, whose leader is another object in this process."""

    def __init__(self, tenants: dict[str, list[str]]) -> None:
        self.loop = asyncio.new_event_loop()
        self.tenants = tenants
        self.version = 1
        self.added: dict[str, Queue] = {}
        self.store = FakeStore()
        self.freshness = Freshness()
        self.leader = SimpleNamespace(
            state_of=lambda job_id, tenant: None, waiting_by_queue=lambda: {"q": 2}
        )
        self.election = SimpleNamespace(leader=self.leader, leader_address="", has_claim=True)
        self.jobs = JobService(self.store, self.election, None, self.loop.time, random.Random(1))
        self.metrics = LocalMetrics()
        self.admission = EntryAdmission(random.Random(2))
        self.queue_admission = QueueAdmission(random.Random(3))
        self.limit = ResourceVector()
        self.log = logbook.TestHandler(level="DEBUG")
        address = Address("127.0.0.1", 1)
        self.ingress = Ingress(
            self.jobs,
            self.config,
            address,
            address,
            self.metrics,
            self,
            AccessSettings(),
            lambda: self.admission,
            self.loop.time,
            lambda: self.queue_admission,
            "caxias",
        )

    async def settle(self, current_seconds: float) -> None:
        if not self.tenants:
            await asyncio.sleep(0.3)

    def config(self) -> FleetConfig:
        keys = ApiKeys.from_tenants(self.tenants.items())
        tenants = {name: Tenant(name, 1.0, self.limit) for name in self.tenants}
        return FleetConfig(self.version, {**QUEUES, **self.added}, tenants=tenants, keys=keys)

    def add_queue(self, name: str) -> None:
        self.version += 1
        self.added[name] = Queue(name, "h", f"/{name}/", "pool", is_anonymous=True)
        self.freshness = Freshness()

    def revoke(self, key: str) -> None:
        self.version += 1
        self.tenants = {
            name: [other for other in keys if other != key] for name, keys in self.tenants.items()
        }

    def send(self, method: str, path: str, key: str, on_body=lambda: None):
        headers = {"Host": "h"}
        if key:
            headers["Api-Key"] = key

        async def respond():
            protocol = mock.Mock(_reading_paused=False)
            content = streams.StreamReader(protocol, 2**16, loop=self.loop)
            request = make_mocked_request(method, path, headers, payload=content)

            def finish_body() -> None:
                on_body()
                content.feed_data(BODY)
                content.feed_eof()

            self.loop.call_later(0.01, finish_body)
            return await self.ingress._answer_client(request)

        with self.log.applicationbound():
            return self.loop.run_until_complete(respond())


@given(r'an entry process with tenant "(?P<tenant>\w+)" and keys "(?P<keys>[^"]+)" on queue "q"')
def new_world(context, tenant, keys):
    context.world = EntryWorld({tenant: keys.split()})
    context.add_cleanup(context.world.loop.close)
    context.keys = keys.split()


@given(r"a deployment without tenants")
def remove_tenants(context):
    context.world.tenants = {}


@given(r"its configuration was last confirmed (?P<seconds>[\d.]+) seconds ago")
def set_age(context, seconds):
    context.world.freshness = Freshness(float(seconds))


@when(r'(?P<method>[A-Z]+) "(?P<path>[^"]+)" is sent with key "(?P<key>[^"]*)"')
def send(context, method, path, key):
    context.keys.append(key or "good")
    context.response = context.world.send(method, path, key)


@when(
    r'POST "(?P<path>[^"]+)" is sent with key "(?P<key>[^"]*)", which is revoked while '
    r"(?P<moment>.+)"
)
def send_and_revoke(context, path, key, moment):
    world = context.world

    def revoke() -> None:
        world.revoke(key)

    on_body = revoke if moment == "the body arrives" else lambda: None
    if moment != "the body arrives":
        world.store.on_append = revoke
        unknown = moment == "an append gets no answer"
        world.store.error = StoreError("failed", is_effect_unknown=unknown)
    context.response = world.send("POST", path, key, on_body)


@when(r"a request with a malformed key header arrives at the server")
def log_malformed(context):
    context.lines = []
    handler = logging.Handler()
    handler.emit = lambda record: context.lines.append(handler.format(record))
    _server_log.addHandler(handler)
    try:
        raise InvalidHeader("Api-Key: good\0")
    except InvalidHeader as error:
        _server_log.error("Error handling request from %s", "h", exc_info=error)
    _server_log.removeHandler(handler)


@then(r"the answer is (?P<status>\d+)(?P<retry> with Retry-After)?")
def check_answer(context, status, retry):
    assert context.response.status == int(status), (context.response.status, context.response.body)
    assert not retry or int(context.response.headers["Retry-After"]) >= 1


@given(r"no leader's message, and (?P<count>\d+) jobs that were just accepted")
def accept_jobs(context, count):
    for number in range(int(count)):
        response = context.world.send("POST", f"/q/{number:016x}", "good")
        assert response.status == 200, response.body


@given(r"queues that admit few submissions, and a job that each of them has accepted")
def limit_queues(context):
    world = context.world
    world.queue_admission.receive(
        {name: QueueVerdict(0.4, 3.0) for name in QUEUES}, world.loop.time()
    )
    for queue in QUEUES:
        assert world.send("POST", f"/{queue}/{0:016x}", "good").status == 200


@given(r"the store (?P<failure>refuses each record for good|stores nothing)")
def fail_appends(context, failure):
    error = StoreRefusedError if failure.startswith("refuses") else StoreError
    context.world.store.error = error("append answered with an error")


@given(r"a leader without memory for further jobs, and a job that was accepted before")
def fill_memory(context):
    world = context.world
    assert world.send("POST", f"/q/{0:016x}", "good").status == 200
    world.queue_admission.receive_fullness(True, world.loop.time())


@when(r"the leader has memory again")
def free_memory(context):
    context.world.queue_admission.receive_fullness(False, context.world.loop.time())


@then(r"each stored submission names the failure domain of the process")
def check_domains(context):
    for record in context.world.store.records:
        assert decode_submission(record.value).domain == "caxias", record


@given(r"a limit of (?P<cpu>\d+) thousandths of a processor")
def set_limit(context, cpu):
    context.world.limit = ResourceVector(int(cpu))


@given(r"(?P<count>\d+) appends of the tenant that wait")
def occupy_appends(context, count):
    for _ in range(int(count)):
        assert context.world.admission.begin_append(Tenant("t"), context.world.loop.time()) is None


@then(r'the refusals are counted as "(?P<name>[\w.]+)"')
def check_refusals(context, name):
    counters = context.world.metrics.state.counters
    assert counters.get(name) == 1, counters


@when(r"60 tenants are refused a job")
def refuse_many(context):
    world = context.world
    world.limit = ResourceVector(1)
    world.tenants = {f"t{number}": [f"k{number}"] for number in range(60)}
    for number in range(60):
        assert world.send("POST", f"/q/{number:016x}", f"k{number}").status == 429


@then(r"50 tenants and the others together have a metric")
def check_tenant_metrics(context):
    counters = context.world.metrics.state.counters
    counts = {name: n for name, n in counters.items() if name.startswith("tenants.refused.")}
    assert len(counts) == 51 and counts["tenants.refused.other"] == 10, counts


@then(r"(?P<count>\d+) appends were tried")
def check_appends(context, count):
    assert context.world.store.appends == int(count), context.world.store.appends


@then(r"no line of the log holds a key")
def check_log(context):
    lines = getattr(context, "lines", None)
    if lines is None:
        lines = [f"{record.message} {record.extra}" for record in context.world.log.records]
    assert lines
    for line in lines:
        for key in context.keys:
            assert key not in line, line


@then(r"a line of the log names the tenant, a reason and when to retry")
def check_refusal_line(context):
    lines = [record.extra for record in context.world.log.records if "tenant" in record.extra]
    assert len(lines) == 1, lines
    assert lines[0]["tenant"] == "t" and lines[0]["reason"] and lines[0]["retry_after"] >= 1, lines


@then(r"a line of the log names the version held, the newest one known and how old they are")
def check_version_line(context):
    lines = [
        record.extra for record in context.world.log.records if "newest_config" in record.extra
    ]
    assert len(lines) == 1, lines
    expected = {"config": 1, "newest_config": 0, "config_age_ms": 500, "behind_ms": 0}
    assert {name: lines[0][name] for name in expected} == expected, lines
    assert lines[0]["path"] == "/none/", lines


@given(
    r'the configuration with queue "(?P<name>\w+)" arrives (?P<seconds>[\d.]+) seconds after the '
    r"request"
)
def plan_queue(context, name, seconds):
    context.world.loop.call_later(float(seconds), context.world.add_queue, name)
