from __future__ import annotations

import asyncio
from collections import Counter
from itertools import pairwise

import looptime
import msgspec
from behave import given, then, use_step_matcher, when

from dotterelhill.control.interface import (
    FencedByMinionError,
    MinionAnswer,
    MinionCall,
    MinionError,
)
from dotterelhill.control.leadership import (
    LeaderCondition,
    Leadership,
    LeadershipState,
    Witness,
)
from dotterelhill.control.loop_lag import LoopLag
from dotterelhill.control.relay_client import RelaySession
from dotterelhill.control.relay_messages import (
    ENCODER,
    LEADER_DECODER,
    SILENCE_SECONDS,
    Hello,
    RelayMessage,
)
from dotterelhill.control.relay_pool import RelayPool
from dotterelhill.control.tests.cluster_world import MemoryStore, StoreView
from dotterelhill.jobs.fleet import Minion, MinionFacts, Run, RunState
from dotterelhill.jobs.model import Step, TaskKey
from dotterelhill.jobs.orders import PaceOrder, StartOrder, StartOutcome, StopOrder
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.platform.minions import PlatformMinions

use_step_matcher("re")

DOMAIN = "caxias"
LEADER = "leader/1"
# Data in the buffers of a connection, as time on its link.
BUFFERED_SECONDS = 0.25
POLL_INTERVAL_SECONDS = 1.2


class FakeCaller:
    """Caller of one process that counts the calls to each minion."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.bodies: list[bytes] = []
        self.failing_minion = ""
        self.unreachable_minion = ""
        self.answer_seconds = 0.002
        self.answers: dict[str, MinionAnswer] = {}

    async def call(self, call: MinionCall) -> MinionAnswer:
        self.calls[call.minion_id] += 1
        self.bodies.append(call.body)
        if call.minion_id == self.failing_minion:
            raise ValueError("unexpected")
        if call.minion_id == self.unreachable_minion:
            raise MinionError("no answer")
        await asyncio.sleep(self.answer_seconds + call.wait_seconds)
        return self.answers.get(call.minion_id) or MinionAnswer(200, call.minion_id.encode())


class SlowLink:
    """Link of the leader's VM, on which the messages to all relays follow each other."""

    def __init__(self, loop, bytes_per_second: float) -> None:
        self._loop = loop
        self._bytes_per_second = bytes_per_second
        self._free_at = 0.0

    def occupy(self, data: bytes) -> float:
        """Return the time until which the link is occupied when it has carried a message."""
        begins_at = max(self._free_at, self._loop.time())
        self._free_at = begins_at + len(data) / self._bytes_per_second
        return self._free_at


class FakeSocket:
    """One direction of a connection, whose messages can be delayed or lost."""

    def __init__(self, receive) -> None:
        self.receive = receive
        self.delay_seconds = 0.001
        self.link: SlowLink | None = None
        self.is_cut = False
        self.closing_seconds = 0.0
        self.is_closed = False
        self.messages: list[bytes] = []
        self.delivered_at: list[float] = []

    async def send_bytes(self, data: bytes) -> None:
        self.messages.append(data)
        loop = asyncio.get_running_loop()
        sent_at = loop.time() if self.link is None else self.link.occupy(data)
        loop.call_at(sent_at + self.delay_seconds, self._deliver, data)
        # What fits into the buffers of the connection does not keep the sender waiting.
        await asyncio.sleep(sent_at - loop.time() - BUFFERED_SECONDS)

    def _deliver(self, data: bytes) -> None:
        if not self.is_cut and not self.is_closed:
            self.delivered_at.append(asyncio.get_running_loop().time())
            self.receive(data)

    async def close(self) -> None:
        await asyncio.sleep(self.closing_seconds)
        self.is_closed = True


class FakeRelay:
    """Relay process that is connected to the leader by two fake sockets."""

    def __init__(
        self, world: RelayWorld, name: str, processors: float, *, keeps_prefixes: bool = True
    ) -> None:
        self.name = name
        self.caller = FakeCaller()
        self.to_leader = FakeSocket(lambda data: self.link.receive(data))
        self.to_relay = FakeSocket(lambda data: self.session.receive(data))
        self.clock_rate = 1.0
        self.session = RelaySession(
            self.caller, self.to_leader, lambda: self.clock_rate * world.loop.time()
        )
        self.hello = Hello(name, DOMAIN, processors, keeps_prefixes)
        self.link = None

    async def connect(self, pool: RelayPool) -> None:
        self.link = pool.serve(self.hello, self.to_relay)
        self.tasks = [
            asyncio.create_task(self.link.send()),
            asyncio.create_task(self.session.send()),
        ]


class RelayWorld:
    """Leader and relays in virtual time."""

    def __init__(self, minions: int) -> None:
        self.loop = looptime.new_event_loop()
        self.lag = LoopLag(self.loop.time)
        self.direct = FakeCaller()
        store = StoreView(MemoryStore())
        self.leadership = Leadership(store, LEADER, "leader:1", self.loop.time)
        self.run(self.leadership.claim(LeadershipState(None, 0)))
        self.pool = RelayPool(self.direct, self.leadership, self.loop.time, self.lag)
        self.minions = [f"m{number}" for number in range(minions)]
        self.pool.set_minion_counts({DOMAIN: minions})
        self.relays: list[FakeRelay] = []
        self.results: list[tuple[str, object, float]] = []
        self.watcher = self.loop.create_task(self.pool.watch())

    def run(self, awaitable):
        return self.loop.run_until_complete(awaitable)

    def add_relays(
        self, count: int, processors: float = 1.0, *, keeps_prefixes: bool = True
    ) -> None:
        async def add() -> None:
            for _ in range(count):
                name = f"relay{len(self.relays)}"
                relay = FakeRelay(self, name, processors, keeps_prefixes=keeps_prefixes)
                self.relays.append(relay)
                await relay.connect(self.pool)
            await asyncio.sleep(0.1)

        self.run(add())

    async def call(self, minion_id: str, wait_seconds: float = 0.0) -> None:
        started_at = self.loop.time()
        request = MinionCall("h:1", minion_id, DOMAIN, "/hold", b"{}", wait_seconds)
        try:
            result: object = await self.pool.call(request)
        except MinionError as error:
            result = error
        self.results.append((minion_id, result, self.loop.time() - started_at))

    def call_all(self, wait_seconds: float = 0.0, meanwhile=None) -> None:
        async def call_all() -> None:
            calls = (self.call(minion_id, wait_seconds) for minion_id in self.minions)
            tasks = [asyncio.create_task(call) for call in calls]
            if meanwhile is not None:
                await asyncio.sleep(0.1)
                await meanwhile()
            await asyncio.gather(*tasks)

        self.results = []
        self.run(call_all())

    def close(self) -> None:
        async def finish() -> None:
            self.pool.close()
            pending = asyncio.all_tasks() - {asyncio.current_task()}
            for task in pending:
                task.cancel()
            await asyncio.gather(*pending, return_exceptions=True)

        self.run(finish())
        self.loop.close()


@given(r"a leader with (?P<minions>\d+) minions and (?P<relays>\d+) relays in their failure domain")
def new_world(context, minions, relays):
    context.relay_world = RelayWorld(int(minions))
    context.add_cleanup(context.relay_world.close)
    context.relay_world.add_relays(int(relays))


@given(r"(?P<relays>\d+) more relays in their failure domain")
def more_relays(context, relays):
    context.relay_world.add_relays(int(relays))


@given(r"(?P<relays>\d+) more relays with (?P<processors>\d+) processors in their failure domain")
def stronger_relays(context, relays, processors):
    context.relay_world.add_relays(int(relays), float(processors))


@when(r"every minion is called once")
def call_all(context):
    context.relay_world.call_all()


@when(r"all relays freeze, and closing a connection takes (?P<seconds>[\d.]+) seconds")
def freeze_all(context, seconds):
    for relay in context.relay_world.relays:
        relay.to_leader.is_cut = relay.to_relay.is_cut = True
        relay.to_relay.closing_seconds = float(seconds)


@when(r"a relay freezes")
def freeze_relay(context):
    relay = context.relay_world.relays[0]
    relay.to_leader.is_cut = relay.to_relay.is_cut = True


@when(r"every minion is called with a wait of (?P<seconds>\d+) seconds and a relay dies meanwhile")
def call_and_kill(context, seconds):
    world = context.relay_world

    async def kill() -> None:
        world.pool.remove(world.relays[0].link, "connection reset")

    world.call_all(float(seconds), kill)


@when(
    r"every minion is called with a wait of (?P<seconds>\d+) seconds and a relay leaves meanwhile"
)
def call_and_leave(context, seconds):
    world = context.relay_world

    async def leave() -> None:
        world.relays[0].session.leave()

    world.call_all(float(seconds), leave)
    context.calls_before = sum(world.relays[0].caller.calls.values())


async def connect_witness(context, name, domain=DOMAIN, processors=1.0):
    pool = context.relay_world.pool
    hello = Hello(name, domain, processors, address=f"{name}:1" if name != "earlier" else "")
    context.links[name] = pool.serve(hello, FakeSocket(lambda data: None))


@when(r'a relay of an earlier build and relays "(?P<names>[^"]*)" that answer as witnesses connect')
def connect_witnesses(context, names):
    context.links, context.witness = {}, None
    for name in ["earlier", *names.split()]:
        context.relay_world.run(connect_witness(context, name))


@when(r"relays connect that can be witnesses")
def connect_unlike_witnesses(context):
    context.links, context.witness = {}, None
    context.relay_world.pool._failure_domain = "own"
    for row in context.table:
        processors = float(row["processors"])
        context.relay_world.run(connect_witness(context, row["name"], row["domain"], processors))


@when(r'relay "(?P<name>\w+)" connects as a witness beside the others, and then one more relay')
def connect_beside(context, name):
    world = context.relay_world
    context.links = {}
    world.run(connect_witness(context, name))
    world.pool.choose_witness(None)
    world.add_relays(1)
    context.witness_address = f"{name}:1"


@when(r"(?P<seconds>\d+) seconds pass on the links")
def pass_link_time(context, seconds):
    context.relay_world.run(asyncio.sleep(float(seconds)))


@then(r"each relay knows the address of the witness")
def check_told(context):
    for relay in context.relay_world.relays:
        assert relay.session.witness_address == context.witness_address, relay.name


@then(r"each link has carried that address once")
def check_told_once(context):
    for relay in context.relay_world.relays:
        told = [LEADER_DECODER.decode(data).witness_address for data in relay.to_relay.messages]
        assert len(told) > 2 and sum(map(bool, told)) == 1, told


@when(r'relay "(?P<name>\w+)" leaves and connects again at once')
def reconnect_witness(context, name):
    context.links[name].receive(ENCODER.encode(RelayMessage(True, [])))
    assert context.relay_world.pool.choose_witness(context.witness).incarnation != name
    context.witness = context.relay_world.pool.choose_witness(context.witness)
    context.relay_world.run(connect_witness(context, name))


@then(r'the witness of the leader is "(?P<name>\w+)"')
def check_witness(context, name):
    context.witness = context.relay_world.pool.choose_witness(context.witness)
    assert context.witness == Witness(name, f"{name}:1"), context.witness


@when(r"messages to a relay are delayed by (?P<seconds>[\d.]+) seconds")
def delay_to_relay(context, seconds):
    context.relay_world.relays[0].to_relay.delay_seconds = float(seconds)


@when(r"messages from the relays are delayed by (?P<seconds>[\d.]+) seconds")
def delay_from_relays(context, seconds):
    for relay in context.relay_world.relays:
        relay.to_leader.delay_seconds = float(seconds)


@when(r"the event loop of the leader has been late by (?P<seconds>[\d.]+) seconds")
def record_lag(context, seconds):
    context.relay_world.lag.record(float(seconds))


@when(r'a call to minion "(?P<name>\w+)" raises an unexpected error at its relay')
def fail_call(context, name):
    for relay in context.relay_world.relays:
        relay.caller.failing_minion = name


@when(r"the leader drops its claim")
def drop_claim(context):
    context.relay_world.leadership.drop("another process has claimed leadership")


@when(r"every minion is called and the leader resigns before it has sent the calls")
def call_and_resign(context):
    world = context.relay_world

    async def call_and_resign() -> None:
        calls = [asyncio.create_task(world.call(minion_id)) for minion_id in world.minions]
        await asyncio.sleep(0)
        assert all(relay.link._outbox for relay in world.relays)
        await world.leadership.resign(world.pool.discard_calls)
        await asyncio.gather(*calls)

    world.results = []
    world.run(call_and_resign())


@then(r"no relay was sent a call")
def check_no_call(context):
    world = context.relay_world
    assert not any(relay.caller.calls for relay in world.relays)
    assert len(world.results) == len(world.minions)
    assert all(isinstance(result, MinionError) for _, result, _ in world.results)


@when(r"the connections stay open for (?P<seconds>[\d.]+) seconds")
def pass_time(context, seconds):
    context.relay_world.run(asyncio.sleep(float(seconds)))


@then(r"every minion was called once")
def check_called_once(context):
    world = context.relay_world
    calls = sum((relay.caller.calls for relay in world.relays), Counter())
    assert calls == Counter(world.minions), calls


@then(r"(?P<count>\d+) calls were sent directly")
def check_direct(context, count):
    assert sum(context.relay_world.direct.calls.values()) == int(count)


@then(r"each relay sent at least (?P<count>\d+) calls")
def check_each_relay(context, count):
    for relay in context.relay_world.relays:
        assert sum(relay.caller.calls.values()) >= int(count), relay.caller.calls


@then(r"the leader sent at most (?P<count>\d+) messages with calls")
def check_messages(context, count):
    sent = 0
    for relay in context.relay_world.relays:
        sent += sum(bool(LEADER_DECODER.decode(data).calls) for data in relay.to_relay.messages)
    assert 0 < sent <= int(count), sent


@then(r"(?P<count>\d+) relays sent calls")
def check_relay_count(context, count):
    used = [relay.name for relay in context.relay_world.relays if relay.caller.calls]
    assert len(used) == int(count), used


@then(r"the strongest relay sent calls")
def check_strongest(context):
    strongest = max(context.relay_world.relays, key=lambda relay: relay.hello.processors)
    assert strongest.caller.calls


@then(r"every call ends within (?P<seconds>[\d.]+) seconds")
def check_durations(context, seconds):
    longest = max(took for _, _, took in context.relay_world.results)
    assert longest <= float(seconds), longest


@then(r"every failed call ends within (?P<seconds>[\d.]+) seconds")
def check_failed_durations(context, seconds):
    failed = [
        took
        for _, result, took in context.relay_world.results
        if not isinstance(result, MinionAnswer)
    ]
    assert failed and max(failed) <= float(seconds), failed


@then(r"every call is answered")
def check_all_answered(context):
    check_answered(context, len(context.relay_world.minions))


@then(r"(?P<count>\d+) calls are answered")
def check_answered(context, count):
    results = context.relay_world.results
    answered = [name for name, result, _ in results if isinstance(result, MinionAnswer)]
    assert len(answered) == int(count), results


@then(r"no minion was called by that relay")
def check_not_called(context):
    assert not context.relay_world.relays[0].caller.calls


@then(r"the relay that left sent no further call")
def check_no_further(context):
    relay = context.relay_world.relays[0]
    assert sum(relay.caller.calls.values()) == context.calls_before


@then(r"(?P<count>\d+) relays are connected")
def check_connected(context, count):
    assert context.relay_world.pool.link_count == int(count)


@then(r"the relays find the leader (?P<condition>\w+)")
def check_condition(context, condition):
    for relay in context.relay_world.relays:
        found = relay.session.condition(LEADER, 1)
        assert found is LeaderCondition[condition.upper()], found


@when(r'no relay reaches minion "(?P<name>\w+)" any more')
def cut_off_minion(context, name):
    for relay in context.relay_world.relays:
        relay.caller.unreachable_minion = name


@when(r"every minion is called each second for (?P<seconds>\d+) seconds")
def call_for(context, seconds):
    for _ in range(int(seconds)):
        context.relay_world.call_all()
        context.relay_world.run(asyncio.sleep(1.0))


@then(r'at most (?P<count>\d+) calls to minion "(?P<name>\w+)" were relayed')
def check_relayed_to(context, count, name):
    relayed = sum(relay.caller.calls[name] for relay in context.relay_world.relays)
    assert 0 < relayed <= int(count), relayed


@when(r"the term ends while each relay takes (?P<seconds>[\d.]+) seconds to close its connection")
def end_term(context, seconds):
    world = context.relay_world

    async def end() -> float:
        for relay in world.relays:
            relay.to_relay.closing_seconds = float(seconds)
        started_at = world.loop.time()
        world.pool.close()
        await asyncio.sleep(0)
        return world.loop.time() - started_at

    context.ending_seconds = world.run(end())


@then(r"the leader can resign within (?P<seconds>[\d.]+) seconds")
def check_ending(context, seconds):
    assert context.ending_seconds <= float(seconds), context.ending_seconds


@then(r"after (?P<seconds>[\d.]+) seconds all connections are closed")
def check_closed(context, seconds):
    context.relay_world.run(asyncio.sleep(float(seconds)))
    assert all(relay.to_relay.is_closed for relay in context.relay_world.relays)


@given(r"the clock of a relay runs (?P<percent>[\d.]+) percent fast")
def drift(context, percent):
    context.relay_world.relays[0].clock_rate = 1.0 + float(percent) / 100.0


@then(r"no further minion was called by that relay")
def check_not_called_again(context):
    calls = context.relay_world.relays[0].caller.calls
    assert calls and max(calls.values()) == 1, calls


@then(
    r"each relay knows the clock of the leader to within (?P<limit>[\d.]+) seconds, and never too "
    r"early"
)
def check_clock_reading(context, limit):
    now = context.relay_world.loop.time()
    for relay in context.relay_world.relays:
        late_seconds = relay.session.leader_clock.latest_time_of(now) - now
        assert 0.0 <= late_seconds <= float(limit), late_seconds


def start_order(world: RelayWorld, job: int, index: int, size: int) -> StartOrder:
    """Return a start order of one task, on one of the minions."""
    minion_id = world.minions[index % len(world.minions)]
    facts = MinionFacts(minion_id, 1, "pool", "h:1", DOMAIN, (), ResourceVector(1000, 100, 0))
    step = Step(index + 1, ResourceVector(100, 10, 0), 1.0)
    run = Run(TaskKey(f"j{job}", 0, 0, index), 1, step, minion_id, RunState.SENT, 0.0)
    payload = f'"job {job}" '.ljust(size, "x")
    return StartOrder(Minion(facts, lease_until=9.0), run, payload, "")


def start_all(context, orders: list[list[StartOrder]]) -> None:
    """Start groups of tasks one after the other, each group at once."""
    world = context.relay_world
    context.start_orders = [order for group in orders for order in group]
    minions = PlatformMinions(world.pool)

    async def start() -> None:
        for group in orders:
            await asyncio.gather(*(minions.start(order, 1, 9000) for order in group))

    context.sent_before = leader_bytes(world)
    world.run(start())


def submit_all(context, orders: list[StartOrder], meanwhile=None) -> None:
    """Submit start orders without waiting for their answers, and record each answer."""
    world = context.relay_world
    context.start_orders = orders
    context.submitted = []
    context.not_taken = set()
    minions = PlatformMinions(world.pool, world.pool.submit)

    async def submit() -> None:
        began_at = world.loop.time()
        for order in orders:
            minion_id = order.minion.minion_id

            def record(answer, minion_id=minion_id) -> None:
                is_fenced = isinstance(answer, FencedByMinionError)
                outcome = "fenced" if is_fenced else str(answer.outcome)
                context.submitted.append((minion_id, outcome, world.loop.time() - began_at))

            if not minions.submit_start(order, 1, 9000, record):
                context.not_taken.add(minion_id)
        if meanwhile is not None:
            meanwhile()
        await asyncio.sleep(4.0)

    context.sent_before = leader_bytes(world)
    world.run(submit())


@when(
    r"(?P<count>\d+) tasks of a job with a payload of (?P<size>\d+) bytes are started by submitted "
    r"orders"
)
def submit_job(context, count, size):
    world = context.relay_world
    context.unknown = {name for name, outcome, _ in outcomes(context) if outcome == "unknown"}
    submit_all(context, [start_order(world, 0, index, int(size)) for index in range(int(count))])


@when(
    r"(?P<count>\d+) tasks of a job with a payload of (?P<size>\d+) bytes are submitted and all "
    r"relays fail at once"
)
def submit_and_fail(context, count, size):
    world = context.relay_world

    def fail() -> None:
        for relay in world.relays:
            world.pool.remove(relay.link, "connection reset")

    orders = [start_order(world, 0, index, int(size)) for index in range(int(count))]
    submit_all(context, orders, fail)


@when(
    r"(?P<count>\d+) orders are submitted whose answers can't be processed, and all relays are "
    r"silent for (?P<seconds>\d+) s"
)
def submit_unprocessable(context, count, seconds):
    world = context.relay_world
    context.tried = 0

    def fail(answer) -> None:
        context.tried += 1
        raise ValueError("an answer that can't be processed")

    async def submit() -> None:
        for relay in world.relays:
            for index in range(int(count) // len(world.relays)):
                call = MinionCall("m:1", f"{relay.link.hello.incarnation}-{index}", "", "/x", b"{}")
                relay.link.submit(call, fail)
        checks = asyncio.create_task(world.pool.watch())
        for relay in world.relays:
            relay.link._outbox.clear()
        await asyncio.sleep(float(seconds))
        checks.cancel()

    context.expected_count = int(count) // len(world.relays) * len(world.relays)
    world.run(submit())


@then(r"each of the (?P<count>\d+) answers was tried")
def check_tried(context, count):
    assert context.expected_count == int(count)
    assert context.tried == int(count), context.tried


@given(r'minion "(?P<name>\w+)" answers with status (?P<status>\d+) and (?P<body>.+)')
def answer_with(context, name, status, body):
    for relay in context.relay_world.relays:
        relay.caller.answers[name] = MinionAnswer(int(status), body.encode())


def outcomes(context) -> list[tuple[str, str, float]]:
    """Return minion, outcome and seconds of each submitted order that has an outcome."""
    return getattr(context, "submitted", [])


@then(r'the outcome of each submitted order is "(?P<outcome>[\w ]+)"(?: or "(?P<other>[\w ]+)")?')
def check_all_outcomes(context, outcome, other):
    expected = {name for name in (outcome, other) if name}
    assert len(outcomes(context)) == len(context.start_orders), len(outcomes(context))
    assert {found for _, found, _ in outcomes(context)} == expected, outcomes(context)


@then(r'the outcome of the order to minion "(?P<name>\w+)" is "(?P<outcome>[\w ]+)"')
def check_outcome(context, name, outcome):
    assert [found for minion, found, _ in outcomes(context) if minion == name] == [outcome]


@then(r"each submitted order had its outcome within (?P<seconds>[\d.]+) seconds")
def check_outcome_times(context, seconds):
    assert max(time for _, _, time in outcomes(context)) <= float(seconds), outcomes(context)


@then(r'no relay takes the orders to minions whose outcome was "unknown"')
def check_not_taken(context):
    assert context.unknown and context.not_taken == context.unknown, context.not_taken


@when(
    r"the runs of all minions are stopped and paced by submitted orders(?P<fail> and all relays "
    r"fail)?"
)
def submit_orders(context, fail):
    world = context.relay_world
    minions = PlatformMinions(world.pool, world.pool.submit)
    context.order_results = []

    async def submit() -> None:
        for index, minion_id in enumerate(world.minions):
            start = start_order(world, 0, index, 0)
            stop = StopOrder(start.minion, start.run.key, 1)
            for order in (stop, PaceOrder(start.minion, start.run, 40)):

                def record(error, minion_id=minion_id) -> None:
                    result = "confirmed" if error is None else "unconfirmed"
                    if isinstance(error, FencedByMinionError):
                        result = "fenced"
                    context.order_results.append((minion_id, result))

                assert minions.submit_order(order, 1, record)
        if fail:
            for relay in world.relays:
                world.pool.remove(relay.link, "connection reset")
        await asyncio.sleep(1.0)

    world.run(submit())
    assert len(context.order_results) == 2 * len(world.minions), len(context.order_results)
    bodies = [body for relay in world.relays for body in relay.caller.bodies]
    tasks = Counter(msgspec.json.decode(body)["task"] for body in bodies)
    assert set(tasks.values()) == (set() if fail else {2}), tasks


@then(r'both orders to minion "(?P<name>\w+)" are (?P<result>\w+)')
def check_order_results(context, name, result):
    found = [found for minion_id, found in context.order_results if minion_id == name]
    assert found == [result, result], found


@then(r"all other submitted orders are confirmed")
def check_other_results(context):
    others = {result for name, result in context.order_results if name != "m1"}
    assert others == {"confirmed"}, others


@then(r"all submitted orders are unconfirmed")
def check_no_result(context):
    assert {result for _, result in context.order_results} == {"unconfirmed"}


def leader_bytes(world: RelayWorld) -> int:
    return sum(len(data) for relay in world.relays for data in relay.to_relay.messages)


@given(r"(?P<count>\d+) relays of the build before prefixes in their failure domain")
def add_earlier_relays(context, count):
    context.relay_world.add_relays(int(count), 4.0, keeps_prefixes=False)


@when(r"(?P<count>\d+) tasks of a job with a payload of (?P<size>\d+) bytes are started")
def start_job(context, count, size):
    world = context.relay_world
    start_all(context, [[start_order(world, 0, index, int(size)) for index in range(int(count))]])


@when(
    r"(?P<count>\d+) tasks of each of (?P<jobs>\d+) jobs with a payload of (?P<size>\d+) bytes are "
    r"started in turn"
)
def start_jobs(context, count, jobs, size):
    world, groups = context.relay_world, []
    for index in range(int(count)):
        groups.append([start_order(world, job, index, int(size)) for job in range(int(jobs))])
    start_all(context, groups)


@then(r"each minion got its start order with that payload")
def check_payloads(context):
    relays = context.relay_world.relays
    bodies = [msgspec.json.decode(body) for relay in relays for body in relay.caller.bodies]
    got = sorted((body["task"], body["spec"]) for body in bodies)
    expected = sorted((str(order.run.key), order.payload) for order in context.start_orders)
    assert got == expected, (len(got), len(expected))


@then(r"the leader sent at most (?P<limit>\d+) bytes to the relays")
def check_leader_bytes(context, limit):
    sent = leader_bytes(context.relay_world) - context.sent_before
    assert sent <= int(limit), sent


@given(r"a link of the leader that carries (?P<rate>\d+) bytes a second")
def slow_link(context, rate):
    world = context.relay_world
    link = SlowLink(world.loop, int(rate))
    for relay in world.relays:
        relay.to_relay.link = link


@given(r"minions that answer after (?P<seconds>[\d.]+) seconds")
def slow_minions(context, seconds):
    for relay in context.relay_world.relays:
        relay.caller.answer_seconds = float(seconds)


@when(
    r"(?P<count>\d+) jobs with a payload of (?P<size>\d+) bytes start a task each, and every "
    r"minion is polled for (?P<seconds>\d+) seconds"
)
def start_and_poll(context, count, size, seconds):
    world = context.relay_world
    minions = PlatformMinions(world.pool)
    orders = [start_order(world, index, index, int(size)) for index in range(int(count))]
    interval = POLL_INTERVAL_SECONDS / len(world.minions)
    polls = round(int(seconds) / interval)

    async def play() -> None:
        began_at = world.loop.time()
        starts = [asyncio.create_task(minions.start(order, 1, 9000)) for order in orders]
        tasks = []
        for number in range(polls):
            minion_id = world.minions[number % len(world.minions)]
            tasks.append(asyncio.create_task(world.call(minion_id)))
            await asyncio.sleep(interval)
        await asyncio.gather(*tasks)
        context.outcomes = Counter([outcome for outcome, _ in await asyncio.gather(*starts)])
        context.began_at = began_at

    world.results = []
    world.run(play())


@then(r"each poll is answered within (?P<seconds>[\d.]+) seconds")
def check_polls(context, seconds):
    results = context.relay_world.results
    failed = [result for _, result, _ in results if not isinstance(result, MinionAnswer)]
    assert not failed, (len(failed), failed[0])
    answer_seconds = context.relay_world.relays[0].caller.answer_seconds
    check_durations(context, answer_seconds + float(seconds))


@then(r"no relay takes the leader for silent")
def check_heard(context):
    for relay in context.relay_world.relays:
        times = [context.began_at, *relay.to_relay.delivered_at]
        gaps = [later - earlier for earlier, later in pairwise(times)]
        assert max(gaps) <= SILENCE_SECONDS, max(gaps)


@then(r"at least (?P<count>\d+) tasks have started, and the other orders were not sent")
def check_outcomes(context, count):
    started = context.outcomes.pop(StartOutcome.STARTED, 0)
    assert started >= int(count), (started, context.outcomes)
    assert not context.outcomes.keys() - {StartOutcome.NOT_SENT}, context.outcomes
