from __future__ import annotations

import asyncio
import copy
import json
from contextlib import suppress

import msgspec
from behave import then, use_step_matcher, when
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from dotterelhill.control.interface import MinionAnswer, MinionError, Record, StoreError, Stream
from dotterelhill.control.leadership import Claim, Settlement
from dotterelhill.control.peers import PeerClient, PeerUnreachableError
from dotterelhill.control.relay_messages import (
    ENCODER,
    LEADER_DECODER,
    RELAY_DECODER,
    LeaderMessage,
    RelayedAnswer,
    RelayedCall,
    RelayMessage,
)
from dotterelhill.jobs.changes import SchedulerSettings
from dotterelhill.jobs.fleet import Minion, MinionFacts, MinionReport, Run, RunReport, RunState
from dotterelhill.jobs.model import Step, Submission, TaskKey
from dotterelhill.jobs.orders import StartOrder, StopOrder
from dotterelhill.jobs.queues import Queue
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.scheduler import Scheduler
from dotterelhill.platform.ingress import BadJobError, decode_job
from dotterelhill.platform.minions import PlatformMinions
from dotterelhill.platform.records import PlatformRecords
from dotterelhill.platform.store import PlatformStore

use_step_matcher("re")

JOB_ID = "5c0e7a21d94b36f8"
TASK = f"{JOB_ID}.0.0.0"
REPORT = {
    "clockMs": 482113,
    "born": 1,
    "running": [[TASK, 2, "00000bb87a21d94b", 41, 18.5]],
    "ended": [[58, f"{JOB_ID}.0.0.1", 1, "done", ""]],
}
ENTRY = {
    "service": "pool",
    "address": "10.0.0.1:8160",
    "zone": "caxias",
    "state": "ready",
    "capacity": {"cpu": 32000, "memMb": 128000, "gpu": 0},
    "labels": ["a", "r1"],
    "born": 1,
    "remainingMs": 0,
    "sequence": 4,
}
CONFIG = {
    "version": 3,
    "routes": [
        {"name": "q", "host": "h", "pathPrefix": "/q/", "service": "pool", "maxAttempts": 2}
    ],
    "services": [{"name": "pool", "admissionCheck": False}],
    "limits": {"maxBodyBytes": 4096},
    "tenants": [
        {"name": "t", "apiKeys": ["k"], "priority": 1, "weight": 2, "maxCount": {"cpu": 1}}
    ],
}
JOB = {
    "spec": "text",
    "steps": [
        {"count": 4, "cpu": 500, "memMb": 256, "estimateMs": 900},
        {"count": 2, "cpu": 500, "after": [0], "checkpointing": True, "image": "web"},
    ],
}
NEWEST = {"items": [{"key": "k", "value": "eHk=", "offset": 3}], "end": 4, "hasMore": False}
EXTREME_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from([0, -1, 2**63, -(2**63), 2**64, 1e308, "", "x", "9" * 5000, [], {}, [[]]]),
    st.text(max_size=8),
)


def paths_of(value, path=()):
    """Return the paths of all values inside a JSON value."""
    found = [path]
    if isinstance(value, dict):
        for key, inner in value.items():
            found += paths_of(inner, (*path, key))
    if isinstance(value, list):
        for index, inner in enumerate(value):
            found += paths_of(inner, (*path, index))
    return found


@st.composite
def mutated_json(draw, message) -> bytes:
    """Draw the message with one to three values replaced or removed, or with damaged bytes."""
    value = copy.deepcopy(message)
    for _ in range(draw(st.integers(1, 3))):
        path = draw(st.sampled_from(paths_of(value)))
        if not path:
            value = draw(EXTREME_VALUES)
            break
        inner = value
        for part in path[:-1]:
            inner = inner[part]
        if draw(st.booleans()):
            inner[path[-1]] = draw(EXTREME_VALUES)
        else:
            del inner[path[-1]]
        if not isinstance(value, dict | list) or not value:
            break
    return draw(damaged(json.dumps(value).encode()))


@st.composite
def damaged(draw, data: bytes) -> bytes:
    """Draw the bytes as they are, truncated, or with one byte replaced."""
    kind = draw(st.integers(0, 3))
    if kind == 1:
        return data[: draw(st.integers(0, len(data)))]
    if kind == 2 and data:
        position = draw(st.integers(0, len(data) - 1))
        return data[:position] + bytes([draw(st.integers(0, 255))]) + data[position + 1 :]
    return data


class FixedCaller:
    """Caller whose minion always gives the same answer."""

    def __init__(self, status: int, body: bytes) -> None:
        self._answer = MinionAnswer(status, body)

    async def call(self, call):
        return self._answer


class FixedStore(PlatformStore):
    """Client of a store that always gives the same answer."""

    def __init__(self, body: bytes) -> None:
        super().__init__(lambda: None, "h:1", 1)
        self._body = body

    async def _call(self, *args, **kwargs):
        return 200, self._body


class FixedPeer(PeerClient):
    """Client of a peer that always gives the same answer."""

    def __init__(self, body: bytes) -> None:
        super().__init__(lambda: None)
        self._body = body

    async def _call(self, *args, **kwargs):
        return 200, self._body


def new_minion() -> Minion:
    room = ResourceVector(32000, 128000)
    facts = MinionFacts("m1", 1, "pool", "10.0.0.1:1", "caxias", ("a", "r1"), room)
    return Minion(facts, 100.0)


def read_report(data: bytes) -> None:
    """Decode a report and let a scheduler process it."""
    scheduler = Scheduler(SchedulerSettings(6.0, 120.0, 4.0), 0.0)
    minion = new_minion()
    scheduler.update_minion(minion.facts, 0.0)
    minion = scheduler.minions["m1"]
    step = Step(1, ResourceVector(2000, 10), is_lasting=True, image="web", target_tail_ms=50)
    run = Run(TaskKey.parse(TASK), 2, step, "m1", RunState.PRESENT, 0.0, settled_at=0.0)
    minion.attach(run)
    with suppress(MinionError):
        report = asyncio.run(PlatformMinions(FixedCaller(200, data)).renew(minion, 1, None, 0.0))
        scheduler.report(minion, report, 1.0, 1.0)
        scheduler.plan(1.0, 0)


def read_answer(data: bytes) -> None:
    minion = new_minion()
    run = Run(TaskKey.parse(TASK), 1, Step(1, ResourceVector()), "m1", RunState.SENT, 0.0)
    for status in (200, 409, 503):
        client = PlatformMinions(FixedCaller(status, data))
        with suppress(MinionError):
            asyncio.run(client.start(StartOrder(minion, run, "text", ""), 1, 1))
        with suppress(MinionError):
            asyncio.run(client.stop(StopOrder(minion, run.key, 1), 1))


def read_entry(data: bytes) -> None:
    facts = PlatformRecords().minion_record(Record("m1", data))
    if facts is not None:
        scheduler = Scheduler(SchedulerSettings(6.0, 120.0, 4.0), 0.0)
        scheduler.update_minion(facts, 0.0)
        scheduler.plan(1.0, 0)


def read_operator(data: bytes) -> None:
    PlatformRecords().operator_record(Record("config", data))


def read_job(data: bytes) -> None:
    with suppress(BadJobError):
        decode_job(data, JOB_ID, Queue("q", "h", "/q/", "pool"), 0)


def read_newest(data: bytes) -> None:
    with suppress(StoreError):
        asyncio.run(FixedStore(data).newest(Stream.PROGRESS))


def read_records(data: bytes) -> None:
    with suppress(StoreError):
        asyncio.run(FixedStore(data).read(Stream.PROGRESS, 0, 0.0))


def read_append(data: bytes) -> None:
    with suppress(StoreError):
        asyncio.run(FixedStore(data).append(Stream.PROGRESS, []))


def read_status(data: bytes) -> None:
    client = FixedPeer(data)
    for call in (client.status("h:1"), client.waiting_by_queue("h:1"), client.state_of("h:1", "j")):
        with suppress(PeerUnreachableError):
            asyncio.run(call)


def read_settlement(data: bytes) -> None:
    settlement = asyncio.run(FixedPeer(data).announce_claim("h:1", Claim(6, "a/1", "a:1")))
    assert settlement is None or settlement.latest_time(900.0) >= 900.0, settlement


def read_leader_message(data: bytes) -> None:
    with suppress(msgspec.MsgspecError):
        LEADER_DECODER.decode(data)


def read_relay_message(data: bytes) -> None:
    with suppress(msgspec.MsgspecError):
        RELAY_DECODER.decode(data)


RECORDS = bytes(16) + b"\x00\x00\x00\x03\x01kv" + b"\x00\x00\x00\x05\x02klmn"
LEADER_MESSAGE = LeaderMessage("a/1", 1.0, True, True, [RelayedCall(1, "h", "m", "/", b"{}", 1.0)])
RELAY_MESSAGE = RelayMessage(False, [RelayedAnswer(1, 200, b"{}")])
SOURCES = {
    "a minion's report": (read_report, mutated_json(REPORT)),
    "a minion's answer": (read_answer, mutated_json({"clockMs": 1, "reason": "fence"})),
    "a minion's entry": (read_entry, mutated_json(ENTRY)),
    "the operator": (read_operator, mutated_json(CONFIG)),
    "a client's job": (read_job, mutated_json(JOB)),
    "the store's newest": (read_newest, mutated_json(NEWEST)),
    "the store's records": (read_records, damaged(RECORDS)),
    "the store's append": (read_append, mutated_json({"offset": 1, "end": 2})),
    "a peer's status": (
        read_status,
        mutated_json({"incarnation": "a/1", "has_claim": True, "is_able": True}),
    ),
    "a peer told of a claim": (
        read_settlement,
        damaged(msgspec.msgpack.encode(Settlement(5, 2.25))),
    ),
    "the leader to a relay": (read_leader_message, damaged(ENCODER.encode(LEADER_MESSAGE))),
    "a relay to the leader": (read_relay_message, damaged(ENCODER.encode(RELAY_MESSAGE))),
}


@when(r"(?P<count>\d+) mutations of a message of (?P<source>.+) are decoded")
def decode_mutations(context, count, source):
    read, messages = SOURCES[source]

    @settings(
        max_examples=int(count),
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(messages)
    def decode(data: bytes) -> None:
        read(data)

    context.error = None
    try:
        decode()
    except Exception as error:
        context.error = error


@then(r"only errors that its reader handles were raised")
def check_errors(context):
    assert context.error is None, repr(context.error)


@when(r"a task name with (?P<digits>\d+) digits is parsed")
def parse_long_name(context, digits):
    context.key = TaskKey.parse(f"{JOB_ID}.0.0.{'9' * int(digits)}")


@then(r"it names no task")
def check_no_task(context):
    assert context.key is None


@when(r"a minion's entry with 0 processors is decoded")
def decode_empty_entry(context):
    entry = {**ENTRY, "capacity": {"cpu": 0, "memMb": 1}}
    context.facts = PlatformRecords().minion_record(Record("m1", json.dumps(entry).encode()))


@when(r"a minion's entry with (?P<depth>\d+) nested lists is decoded")
def decode_nested_entry(context, depth):
    data = b'{"more":' + b"[" * int(depth) + b"]" * int(depth) + b"}"
    context.facts = PlatformRecords().minion_record(Record("m1", data))


@then(r"it names a minion with 0 processors")
def check_empty_minion(context):
    assert context.facts.capacity == ResourceVector(0, 1), context.facts


@then(r"a leader plans with its tasks and reports, and starts nothing on it")
def plan_on_empty_minion(context):
    scheduler = Scheduler(SchedulerSettings(6.0, 120.0, 4.0), 0.0)
    scheduler.update_minion(context.facts, 0.0)
    minion = scheduler.minions["m1"]
    serving = Step(1, ResourceVector(2000, 0), is_lasting=True, image="web", target_tail_ms=50)
    filler = Step(1, ResourceVector(2000, 0), is_filler=True, image="print")
    rows = []
    for index, (step, measure) in enumerate([(serving, 40.0), (filler, 1500.0)]):
        key = TaskKey(JOB_ID, 0, index, 0)
        minion.attach(Run(key, 1, step, "m1", RunState.PRESENT, 0.0, settled_at=0.0))
        rows.append(RunReport(key, 1, "", 100, measure))
    queue = Queue("q", "h", "/q/", "pool")
    scheduler.submit(Submission("more", queue, 0, "", (serving, filler)), 0.0)
    for now in (0.5, 1.0, 1.5):
        minion.extend_lease(now, 6.0)
        scheduler.report(minion, MinionReport(1, 1, tuple(rows), ()), now, now)
        scheduler.plan(now, 1)
    assert not scheduler.take_changes().starts


@then(r"it names no minion")
def check_no_minion(context):
    assert context.facts is None
