"""Entry processes that learn new configurations from the store and from each other.

Seeded search for processes that refuse a published queue for good, or lack a version for too long.
By hand: ``python -m dotterelhill.control.tests.currency_world FIRST LAST``.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import sys
from collections import Counter

import looptime

from dotterelhill.control.config_exchange import ConfigurationExchange, entry_notice
from dotterelhill.control.currency import ConfigurationCurrency
from dotterelhill.control.feeds import (
    CONFIGURATION_WAIT_SECONDS,
    ConfigurationFeed,
    Follower,
)
from dotterelhill.control.health import ObservedStore
from dotterelhill.control.interface import Record, StoreError, Stream
from dotterelhill.control.leadership import Leadership, LeadershipState
from dotterelhill.control.loop_lag import LoopLag
from dotterelhill.control.peers import PEER_TIMEOUT_SECONDS, PeerUnreachableError
from dotterelhill.control.relay_client import RelaySession
from dotterelhill.control.relay_messages import SILENCE_SECONDS, Hello
from dotterelhill.control.relay_pool import RelayPool
from dotterelhill.control.tests.cluster_world import (
    MemoryStore,
    NoCaller,
    StoreView,
    cancel_other_tasks,
)
from dotterelhill.jobs.queues import FleetConfig, Queue
from dotterelhill.jobs.tenants.access import AccessSettings, Refusal, check_access

SETTINGS = AccessSettings(apply_seconds=4.0)
DOMAINS = ("z0", "z1", "z2")
MESSAGE_SECONDS = 0.02
RECONNECT_SECONDS = 0.4
TAKEOVER_SECONDS = 2.0
ANSWER_TIMEOUT_SECONDS = 1.2
CHECK_SECONDS = 0.05
STORE_TROUBLES = ("silent", "down", "cut off", "dead connection")


class PathToStore(StoreView):
    """Path of one process to the store, whose open connection may be dead."""

    def __init__(self, store: MemoryStore) -> None:
        super().__init__(store)
        self.connection = self.dead_connection = 0

    @property
    def is_sound(self) -> bool:
        """Return whether new connections work."""
        return not (self.is_silent or self.is_down or self.is_cut_off)

    def lose_connection(self) -> None:
        """Let the open connection go silent; a new one works."""
        self.dead_connection = self.connection + 1

    def set_trouble(self, trouble: str) -> None:
        """Begin a trouble, or end all of them."""
        self.is_silent = trouble == "silent"
        self.is_down = trouble == "down"
        self.is_cut_off = trouble == "cut off"
        if trouble == "dead connection":
            self.lose_connection()

    async def read(self, stream, start, wait_seconds, partition=0):
        connection = self.connection
        try:
            batch = await super().read(stream, start, wait_seconds, partition)
            if connection < self.dead_connection:
                await asyncio.sleep(ANSWER_TIMEOUT_SECONDS)
                self.connection += 1
                raise StoreError("no answer")
        except asyncio.CancelledError:
            self.connection += 1
            raise
        return batch


class ConfigDecoder:
    """Decoder of the configurations of this world."""

    def operator_record(self, record):
        content = json.loads(record.value)
        queues = {name: Queue(name, "h", f"/{name}/", "pool") for name in content["queues"]}
        return FleetConfig(content["version"], queues)


class Socket:
    """One direction of the connection between two processes."""

    def __init__(self, fleet: CurrencyFleet, names: tuple[str, str], receive) -> None:
        self._fleet, self._names, self._receive = fleet, names, receive

    async def send_bytes(self, data: bytes) -> None:
        self._fleet.loop.call_later(MESSAGE_SECONDS, self._deliver, data)

    def _deliver(self, data: bytes) -> None:
        if self._fleet.has_link(*self._names):
            self._receive(data)

    async def close(self) -> None:
        return None


class EntryProcess:
    """Entry process with its follower, and with its connection to the leader."""

    def __init__(self, fleet: CurrencyFleet, name: str, number: int) -> None:
        self.fleet, self.name = fleet, name
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.has_links = True
        self.is_running = True
        self.path = PathToStore(fleet.store)
        now, rng = fleet.loop.time, random.Random(number)
        observed = ObservedStore(self.path, now)
        self.feed = ConfigurationFeed(ConfigDecoder(), lambda: None)
        self.follower = Follower(
            observed,
            Stream.CONFIGURATION,
            self.feed.apply_records,
            now,
            rng,
            wait_seconds=CONFIGURATION_WAIT_SECONDS,
        )
        self.currency = ConfigurationCurrency(
            now,
            lambda: self.follower.age_seconds,
            lambda: self.feed.config.version,
            self.follower.refresh,
            lambda: observed.is_unavailable,
            lambda: self.follower.is_receiving,
        )
        self.exchange = ConfigurationExchange(
            self.currency, self.feed, self, self._leader_address, now, rng
        )
        self.leadership = Leadership(observed, f"{name}/1", name, now)
        self.pool: RelayPool | None = None
        self.session: RelaySession | None = None
        self.link = None
        self.copies_sent = 0
        self._tasks: list[asyncio.Task[None]] = []
        # Since when it had a path by which versions reach it; infinite while it has none.
        self.reached_since = 0.0

    def _leader_address(self) -> str:
        leader = self.fleet.leader
        return "" if leader in (None, self) else leader.name

    async def start(self) -> None:
        await self.follower.start()
        await self.exchange.start()

    def lead(self) -> None:
        """Begin to lead; the others connect."""
        self.disconnect()
        self.pool = RelayPool(
            NoCaller(),
            self.leadership,
            self.fleet.loop.time,
            LoopLag(self.fleet.loop.time),
            lambda: entry_notice(self.feed, self.follower.age_seconds, None),
            self.domain,
            self.currency.record_version,
        )
        self._tasks.append(self.fleet.loop.create_task(self.pool.watch()))

    def connect(self, leader: EntryProcess) -> None:
        """Connect to the leader as its relay."""
        hello = Hello(f"{self.name}/1", self.domain, 1.0, address=self.name)
        to_leader = Socket(self.fleet, (self.name, leader.name), lambda data: link.receive(data))
        to_relay = Socket(self.fleet, (leader.name, self.name), lambda data: session.receive(data))
        session = self.session = RelaySession(
            NoCaller(), to_leader, self.fleet.loop.time, self._receive_notice, self._version
        )
        link = self.link = leader.pool.serve(hello, to_relay)
        self._tasks = [
            self.fleet.loop.create_task(link.send()),
            self.fleet.loop.create_task(session.send()),
        ]

    def disconnect(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._tasks = []
        if self.link is not None and self.fleet.leader is not None:
            self.fleet.leader.pool.remove(self.link, "lost")
        self.session = self.link = None

    def _version(self) -> int:
        return self.feed.config.version

    def _receive_notice(self, notice, transit_seconds) -> None:
        age_seconds = notice.config_age_seconds + transit_seconds
        self.currency.record(notice.config_version, age_seconds, notice.config_holder)

    async def configuration(self, address: str, held: int) -> Record:
        """Ask another process for its configuration, as ``PeerClient`` does."""
        await asyncio.sleep(2 * MESSAGE_SECONDS)
        other = self.fleet.processes[address]
        if not self.fleet.has_link(self.name, address):
            await asyncio.sleep(PEER_TIMEOUT_SECONDS)
            raise PeerUnreachableError("no answer")
        if other.feed.record is None or other.feed.config.version <= held:
            raise PeerUnreachableError("status 404")
        other.copies_sent += 1
        return other.feed.record

    def decide(self, queue: str) -> object:
        """Decide about a request for a queue."""
        return check_access(
            self.feed.config, "h", f"/{queue}/1", "", self.currency.freshness, SETTINGS
        )

    async def stop(self) -> None:
        self.disconnect()
        self.is_running = False
        await self.exchange.stop()
        await self.follower.stop()


class CurrencyFleet:
    """Entry processes of three failure domains, one of which leads, in virtual time."""

    def __init__(self, count: int, seed: int = 0) -> None:
        self.loop = looptime.new_event_loop()
        self.store = MemoryStore()
        self.random = random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.faults: dict[str, str] = {}
        # Time of each published version.
        self.published: dict[int, float] = {}
        self.leader: EntryProcess | None = None
        self.publish()
        self.processes = {f"p{i}": EntryProcess(self, f"p{i}", i) for i in range(count)}
        for process in self.processes.values():
            self.run(process.start())
        self.run(self.begin_lead(self.processes["p0"]))
        self.connecting = self.loop.create_task(self._keep_connected())
        self.advance(5.0)

    def run(self, awaitable):
        return self.loop.run_until_complete(awaitable)

    def advance(self, seconds: float) -> None:
        self.run(asyncio.sleep(seconds))

    @property
    def now(self) -> float:
        return self.loop.time()

    def publish(self) -> int:
        """Publish a version with one more queue and return its number."""
        version = len(self.published) + 1
        queues = [f"q{number}" for number in range(1, version + 1)]
        value = json.dumps({"version": version, "queues": queues}).encode()
        self.store.append((Stream.CONFIGURATION, 0), [Record("config", value)], None, None)
        self.published[version] = self.now
        return version

    def has_link(self, first: str, second: str) -> bool:
        ends = (self.processes[first], self.processes[second])
        return all(end.has_links and end.is_running for end in ends)

    async def begin_lead(self, process: EntryProcess) -> None:
        """Let a process claim, or another one if it can't, and lead."""
        # Claims are tested elsewhere; here only that messages tell of one matters.
        state = LeadershipState(None, len(self.store.streams[Stream.LEADERSHIP, 0]))
        while not await process.leadership.claim(state):
            process = self.random.choice([one for one in self.processes.values() if one.is_running])
            state = LeadershipState(None, len(self.store.streams[Stream.LEADERSHIP, 0]))
        self.leader = process
        process.lead()

    async def _keep_connected(self) -> None:
        silent_since: dict[str, float] = {}
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            leader = self.leader
            for name, process in self.processes.items():
                if leader is None or process is leader or not process.is_running:
                    process.session = None
                    continue
                if self.has_link(name, leader.name):
                    lost_at = silent_since.pop(name, None)
                    if process.session is None or lost_at is not None:
                        process.disconnect()
                        await asyncio.sleep(0.0)
                        process.connect(leader)
                    continue
                since = silent_since.setdefault(name, self.now)
                if self.now - since > SILENCE_SECONDS:
                    process.disconnect()

    def close(self) -> None:
        async def finish() -> None:
            self.connecting.cancel()
            for process in self.processes.values():
                if process.is_running:
                    await process.stop()
            await cancel_other_tasks()

        self.run(finish())
        self.loop.close()

    # Promise

    def update_reach(self) -> None:
        """Record since when each process has a path by which versions reach it."""
        leader = self.leader
        knows_leader = leader is not None and any(
            other.path.is_sound and (other is leader or self.has_link(other.name, leader.name))
            for other in self.processes.values()
            if other.is_running
        )
        for process in self.processes.values():
            by_leader = (
                knows_leader
                and leader is not None
                and (process is leader or self.has_link(process.name, leader.name))
            )
            if not (process.path.is_sound or by_leader):
                process.reached_since = float("inf")
            elif process.reached_since == float("inf"):
                process.reached_since = self.now

    def check(self) -> None:
        """Check the promise about each version and each process."""
        self.update_reach()
        for process in self.processes.values():
            if not process.is_running:
                continue
            for version, published_at in self.published.items():
                if self.now - published_at <= SETTINGS.apply_seconds:
                    continue
                if process.decide(f"q{version}") is Refusal.NO_QUEUE:
                    self.fault(process, version, "refuses a published queue for good")
                late_since = max(published_at, process.reached_since)
                is_late = self.now - late_since > SETTINGS.apply_seconds
                if is_late and process.feed.config.version < version:
                    self.fault(process, version, "lacks a version that could reach it")

    def fault(self, process: EntryProcess, version: int, text: str) -> None:
        key = f"{process.name} {text}"
        self.faults.setdefault(key, f"{self.now:.2f} s: {key} (version {version})")

    def advance_checked(self, seconds: float) -> None:
        """Let time pass and check the promise all the while."""
        until = self.now + seconds
        while self.now < until:
            self.advance(CHECK_SECONDS)
            self.check()

    # Search

    def play(self) -> dict[str, str]:
        """Play troubles of single paths and return the faults found."""
        for _ in range(self.random.randint(6, 12)):
            self.advance_checked(self.random.uniform(0.2, 5.0))
            self._begin_trouble()
        self.advance_checked(12.0)
        return self.faults

    def _begin_trouble(self) -> None:
        rng = self.random
        seconds = rng.choice([rng.uniform(0.5, 3.0), *[rng.uniform(3.0, 12.0)] * 2])
        running = [process for process in self.processes.values() if process.is_running]
        share = rng.choice([0.0, 0.4, 0.8])
        chosen = [process for process in running if rng.random() < share] or [rng.choice(running)]
        kind = rng.choice(["publish", "store", "store", "store", "links", "leader"])
        self.counts[kind] += 1
        match kind:
            case "publish":
                self.publish()
            case "store":
                trouble = rng.choice(STORE_TROUBLES)
                for process in chosen:
                    process.path.set_trouble(trouble)
                    self.loop.call_later(seconds, process.path.set_trouble, "")
                if rng.random() < 0.8:
                    self.loop.call_later(rng.uniform(0.0, seconds / 2), self.publish)
            case "links":
                for process in chosen:
                    process.has_links = False
                    self.loop.call_later(seconds, setattr, process, "has_links", True)
            case "leader":
                self.run(self._replace_leader())

    async def _replace_leader(self) -> None:
        earlier = self.leader
        sound = [
            process
            for process in self.processes.values()
            if process.is_running and process is not earlier and process.path.is_sound
        ]
        if earlier is None or len(sound) < 2:
            return
        for process in self.processes.values():
            process.disconnect()
        self.leader = None
        await earlier.stop()
        successor = self.random.choice(sound)

        async def take_over() -> None:
            await asyncio.sleep(TAKEOVER_SECONDS)
            await self.begin_lead(successor)

        self.takeover = self.loop.create_task(take_over())


def main() -> None:
    logging.disable()
    for seed in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        fleet = CurrencyFleet(7, seed)
        faults = fleet.play()
        print(f"seed {seed}: {len(faults)} faults, {dict(fleet.counts)}")
        for text in faults.values():
            print(f"  {text}", flush=True)
        fleet.close()


if __name__ == "__main__":
    main()
