from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

import looptime
from behave import given, then, use_step_matcher, when

from dotterelhill.control.config_exchange import ConfigurationExchange
from dotterelhill.control.currency import ConfigurationCurrency
from dotterelhill.control.feeds import CONFIGURATION_WAIT_SECONDS, Follower
from dotterelhill.control.health import ObservedStore
from dotterelhill.control.interface import Batch, Record, StoreError, Stream
from dotterelhill.control.peers import PeerUnreachableError
from dotterelhill.control.tests.cluster_world import cancel_other_tasks
from dotterelhill.control.tests.currency_world import CurrencyFleet
from dotterelhill.jobs.tenants.access import Granted, Refusal

use_step_matcher("re")

ANSWER_TIMEOUT_SECONDS = 1.2
STEP_SECONDS = 0.01


class OneStreamStore:
    """Store of configuration versions; a connection may go silent, and a new one is opened."""

    def __init__(self, world) -> None:
        self._world = world
        self.versions = [1]
        self.latency_seconds = 0.0
        self.is_away = False
        # Whether an empty answer comes before the wait of the poll is over.
        self.is_answering_early = False
        # Time in which the parts of an answer with records arrive.
        self.arrival_seconds = 0.0
        self.connection = self.silent_connection = 0
        self.aborted = 0

    async def newest(self, stream, partition=0, partial=None):
        return await self.read(stream, 0, 0.0)

    async def read(self, stream, start, wait_seconds, partition=0):
        connection = self.connection
        self._world.read_began_at = self._world.now()
        try:
            await asyncio.sleep(self.latency_seconds)
            waited = 0.0
            while len(self.versions) <= start and waited < wait_seconds:
                if self.is_answering_early:
                    break
                await asyncio.sleep(STEP_SECONDS)
                waited += STEP_SECONDS
            if self.versions[start:]:
                await self._arrive()
            if self.is_away or connection < self.silent_connection:
                await asyncio.sleep(ANSWER_TIMEOUT_SECONDS + wait_seconds - waited)
                self.connection += 1
                raise StoreError("no answer")
        except asyncio.CancelledError:
            self.connection += 1
            self.aborted += 1
            raise
        records = tuple(Record("config", b"%d" % version) for version in self.versions[start:])
        return Batch(records, len(self.versions))

    async def _arrive(self) -> None:
        until = self._world.now() + self.arrival_seconds
        while self._world.now() < until:
            await asyncio.sleep(0.1)
            self._world.follower.record_progress()


class World:
    """One process with its follower, in virtual time."""

    def __init__(self, latency_seconds: float) -> None:
        self.loop = looptime.new_event_loop()
        self.suspended_seconds = 0.0
        self.version = 0
        self.read_began_at = 0.0
        self.stored_at = 0.0
        self.store = OneStreamStore(self)
        self.store.latency_seconds = latency_seconds
        observed = ObservedStore(self.store, self.now)
        self.follower = Follower(
            observed,
            Stream.CONFIGURATION,
            self._apply,
            self.now,
            random.Random(3),
            wait_seconds=CONFIGURATION_WAIT_SECONDS,
        )
        self.currency = ConfigurationCurrency(
            self.now,
            lambda: self.follower.age_seconds,
            lambda: self.version,
            self.follower.refresh,
            lambda: observed.is_unavailable,
            lambda: self.follower.is_receiving,
        )
        self.asked = 0
        feed = SimpleNamespace(config=SimpleNamespace(version=1))
        exchange = ConfigurationExchange(
            self.currency, feed, self, lambda: "leader:1", self.now, random.Random(4)
        )
        self.services = (self.follower, exchange)
        for service in self.services:
            self.run(service.start())
        self.advance(10.0)

    def now(self) -> float:
        return self.loop.time() + self.suspended_seconds

    async def configuration(self, address, held):
        """Count a call to the leader, which does not answer it."""
        self.asked += 1
        raise PeerUnreachableError("no answer")

    def _apply(self, records, is_snapshot) -> None:
        self.version = int(records[-1].value)

    def run(self, awaitable):
        return self.loop.run_until_complete(awaitable)

    def advance(self, seconds: float) -> None:
        self.run(asyncio.sleep(seconds))

    async def name_versions(self) -> None:
        while True:
            await asyncio.sleep(0.5)
            self.currency.record(self.store.versions[-1], 0.3)

    def close(self) -> None:
        async def finish() -> None:
            for service in self.services:
                await service.stop()
            await cancel_other_tasks()

        self.run(finish())
        self.loop.close()


@given(r"a process that follows the configuration over a store with (?P<delay>[\d.]+) s latency")
def new_world(context, delay):
    context.world = World(float(delay))
    context.add_cleanup(context.world.close)


@given(
    r"a process that follows the configuration over a store whose answers arrive for "
    r"(?P<seconds>[\d.]+) s"
)
def new_slow_world(context, seconds):
    new_world(context, "0.005")
    context.world.store.arrival_seconds = float(seconds)


@given(r"the leader names versions to it: (?P<link>yes|no)")
def link_leader(context, link):
    if link == "yes":
        context.messages = context.world.loop.create_task(context.world.name_versions())


@when(r"its connection to the store goes silent (?P<after>[\d.]+) s after a read began")
def silence_connection(context, after):
    world = context.world
    began_at = world.read_began_at
    while world.read_began_at == began_at:
        world.advance(STEP_SECONDS / 2)
    world.advance(float(after))
    world.store.silent_connection = world.store.connection + 1


@when(r"version 2 is stored at the same moment")
def store_version(context):
    context.world.store.versions.append(2)
    context.world.stored_at = context.world.now()


@when(r"the store answers this process no more")
def stop_store(context):
    context.world.store.is_away = True


@when(r"(?P<seconds>\d+) seconds pass in the process")
def pass_time(context, seconds):
    context.world.advance(float(seconds))


@when(r"it is suspended for (?P<seconds>\d+) s while version 2 is stored")
def suspend(context, seconds):
    context.world.suspended_seconds += float(seconds)
    store_version(context)


@when(r"a request waits for a current configuration")
def wait_until_current(context):
    world = context.world
    began_at = world.now()
    world.run(world.currency.settle(3.5))
    context.waited_seconds = world.now() - began_at
    context.version = world.version


@then(r"it was decided with version (?P<version>\d+)")
def check_decided(context, version):
    assert context.version == int(version), context.version


@then(r"it has waited for (?P<seconds>\d+) s")
def check_waited(context, seconds):
    assert context.waited_seconds <= float(seconds), context.waited_seconds


@then(r"version 2 is in force within (?P<seconds>[\d.]+) s")
def check_in_force(context, seconds):
    world = context.world
    while world.version != 2 and world.now() - world.stored_at <= float(seconds):
        world.advance(STEP_SECONDS)
    assert world.version == 2, f"not after {world.now() - world.stored_at:.2f} s"


@then(r"at most (?P<count>\d+) read was aborted")
def check_aborted(context, count):
    assert context.world.store.aborted <= int(count), context.world.store.aborted


@then(r"its configuration was confirmed within the last (?P<seconds>[\d.]+) s")
def check_confirmed(context, seconds):
    assert context.world.currency.age_seconds <= float(seconds), context.world.currency.age_seconds


@then(r"its configuration was confirmed more than (?P<seconds>[\d.]+) s ago")
def check_not_confirmed(context, seconds):
    assert context.world.currency.age_seconds > float(seconds), context.world.currency.age_seconds


@when(r"the leader names (?P<count>\d+) versions to it, one each (?P<seconds>[\d.]+) s")
def name_burst(context, count, seconds):
    world = context.world
    for number in range(int(count)):
        world.currency.record(world.version + 1 + number, 0.0)
        world.advance(float(seconds))


@then(r"it has known of a newer version for (?P<least>[\d.]+) to (?P<most>[\d.]+) s")
def check_behind(context, least, most):
    behind_seconds = context.world.currency.freshness.behind_seconds
    assert float(least) <= behind_seconds <= float(most), behind_seconds


@when(r"it follows the configuration for (?P<seconds>\d+) s")
def follow(context, seconds):
    world = context.world
    context.oldest_seconds = 0.0
    for _ in range(int(float(seconds) / STEP_SECONDS)):
        world.advance(STEP_SECONDS)
        context.oldest_seconds = max(context.oldest_seconds, world.currency.age_seconds)


@then(r"its configuration was never older than (?P<seconds>[\d.]+) s")
def check_oldest(context, seconds):
    assert context.oldest_seconds <= float(seconds), context.oldest_seconds


@when(
    r"the store answers polls at once for (?P<seconds>\d+) s and the process is silent after "
    r"the last one"
)
def answer_early(context, seconds):
    world = context.world
    world.store.is_answering_early = True
    world.advance(float(seconds))
    context.last_read_at = world.read_began_at
    world.store.is_away = True
    world.advance(2 * STEP_SECONDS)


@then(r"its configuration is as old as that poll")
def check_early(context):
    world = context.world
    least_seconds = world.now() - context.last_read_at - 2 * STEP_SECONDS
    assert world.currency.age_seconds >= least_seconds, (world.currency.age_seconds, least_seconds)


@given(r"(?P<count>\d+) entry processes of 3 failure domains that are connected to a leader")
def new_fleet(context, count):
    context.fleet = CurrencyFleet(int(count))
    context.add_cleanup(context.fleet.close)


@when(r'the store is (?P<trouble>[\w ]+) for processes "(?P<names>[^"]+)"')
def trouble_store(context, trouble, names):
    for name in names.split():
        context.fleet.processes[name].path.set_trouble(trouble)


@when(r'process "(?P<name>\w+)" reaches no other one')
def cut_links(context, name):
    context.fleet.processes[name].has_links = False


@when(r"(?P<seconds>\d+) seconds later a version with a new queue is published")
def publish_later(context, seconds):
    context.fleet.advance(float(seconds))
    context.new_queue = f"q{context.fleet.publish()}"


@when(r"(?P<seconds>\d+) seconds pass in the fleet")
def pass_fleet_time(context, seconds):
    context.fleet.advance_checked(float(seconds))


@when(r"all troubles of the fleet end")
def end_troubles(context):
    for process in context.fleet.processes.values():
        process.path.set_trouble("")
        process.has_links = True


@then(r"all processes have it in force within (?P<seconds>\d+) s")
def check_fleet(context, seconds):
    fleet = context.fleet
    fleet.advance_checked(float(seconds))
    newest = max(fleet.published)
    versions = {name: one.feed.config.version for name, one in fleet.processes.items()}
    assert set(versions.values()) == {newest}, versions


@then(r"no process has refused the new queue for good")
def check_no_fault(context):
    context.fleet.advance_checked(3.0)
    assert not context.fleet.faults, context.fleet.faults


@then(r'process "(?P<name>\w+)" says of the new queue "(?P<text>[^"]+)"')
def check_says(context, name, text):
    decision = context.fleet.processes[name].decide(context.new_queue)
    assert decision == Refusal(text), decision


@then(r'process "(?P<name>\w+)" handles requests for the queues that it knows')
def check_known_queues(context, name):
    decision = context.fleet.processes[name].decide("q1")
    assert isinstance(decision, Granted), decision


@then(r"the leader has sent (?P<count>\d+) copies")
def check_copies(context, count):
    sent = {name: one.copies_sent for name, one in context.fleet.processes.items()}
    assert sent[context.fleet.leader.name] == int(count) and sum(sent.values()) == 4, sent


@when(r"troubles of single paths are played with seeds (?P<first>\d+) to (?P<last>\d+)")
def search(context, first, last):
    context.found = {}
    for seed in range(int(first), int(last) + 1):
        fleet = CurrencyFleet(7, seed)
        try:
            context.found |= {(seed, key): text for key, text in fleet.play().items()}
        finally:
            fleet.close()


@then(r"no fault was found")
def check_search(context):
    assert not context.found, context.found


@then(r"it has asked the leader for (?P<count>\d+) versions")
def check_asked(context, count):
    assert context.world.asked == int(count), context.world.asked
