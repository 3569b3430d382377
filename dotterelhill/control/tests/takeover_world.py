"""Seeded search for work that changes of the leader lose, with minions that follow the protocol.

By hand: ``python -m dotterelhill.control.tests.takeover_world FIRST_SEED LAST_SEED``.
"""

from __future__ import annotations

import asyncio
import logging
import sys
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import pairwise
from random import Random

from dotterelhill.control.interface import (
    FencedByMinionError,
    MinionError,
    OtherIncarnationError,
    Record,
    Stream,
)
from dotterelhill.control.leader import NotReadyError
from dotterelhill.control.tests.cluster_world import (
    CALL_SECONDS,
    CALL_TIMEOUT_SECONDS,
    MEMORY_MB,
    QUEUE,
    Cluster,
    FakeMinions,
)
from dotterelhill.jobs.fleet import EndKind, EndReport, MinionReport, RunReport
from dotterelhill.jobs.model import JobState, Step, Submission, TaskKey
from dotterelhill.jobs.orders import StartOutcome
from dotterelhill.jobs.queues import FleetConfig, Pool
from dotterelhill.jobs.resources import ResourceVector

CPU = 16000
STEP_SECONDS = 0.1
STOP_SECONDS = 0.15
# Three heartbeats, after which the entry of a silent minion is removed.
ENTRY_SECONDS = 3.3
# The platform's rule: a lasting task runs again when there is room for two of its size for 3 s,
# from 6 s after its last run, and these 3 s and the 4 s before them are calm.
IDLE_SECONDS = 6.0
ROOM_SECONDS = 3.0
CALM_SECONDS = 7.0
TROUBLE_SECONDS = 30.0
# Time after the end of troubles and submissions from which the rule for other jobs counts.
FINISH_SECONDS = 14.0
END_SECONDS = 10.0
# The platform allows a job to be given up once this many minions have crashed under a task.
MIN_CRASHES_TO_GIVE_UP = 2


@dataclass
class FleetRun:
    run_id: int
    step: Step
    begun_at: float
    ends_at: float
    stops_at: float = float("inf")


@dataclass
class FleetMinion:
    """Incarnation of a minion as the protocol describes it; its clock may run 2 % slow."""

    minion_id: str
    address: str
    born_at: float
    rate: float
    is_guarded: bool
    is_alive: bool = True
    is_draining: bool = False
    is_listed: bool = False
    # Difference of its wall clock from the time of the cluster.
    wall_offset: float = 0.0
    # First reading of its clock, in seconds.
    first_clock: float = 0.0
    max_hold_ms: float = float("inf")
    fence: int = 0
    lease_ms: int = 0
    count: int = 0
    running: dict[TaskKey, FleetRun] = field(default_factory=dict)
    ended: list[EndReport] = field(default_factory=list)
    closed: dict[TaskKey, int] = field(default_factory=dict)
    # Key, run, begin, end and kind of each run that has ended; None for one that was terminated.
    spans: list[tuple[TaskKey, int, float, float, EndKind | None]] = field(default_factory=list)
    # Newest time at which an expired lease was renewed.
    lapsed_at: float = float("-inf")
    # Number, key and time of each end as done that is not acknowledged.
    done: list[tuple[int, TaskKey, float]] = field(default_factory=list)
    # Key and time of each end as done that counts as acknowledged by the rule TWICE.
    acknowledged: list[tuple[TaskKey, float]] = field(default_factory=list)

    @property
    def born_ms(self) -> int:
        return int(1000 * (self.born_at + self.wall_offset)) + 1

    def clock_ms(self, now: float) -> int:
        return int(1000 * (self.first_clock + self.rate * (now - self.born_at)))

    def free(self) -> ResourceVector:
        free = ResourceVector(CPU, MEMORY_MB)
        for run in self.running.values():
            free = free.minus(run.step.reserved_resources)
        return free

    def advance(self, now: float) -> None:
        lapses_at = self.born_at + (self.lease_ms / 1000 - self.first_clock) / self.rate
        for key, run in list(self.running.items()):
            kinds = (
                (run.ends_at, EndKind.DONE),
                (run.stops_at, EndKind.STOPPED),
                (lapses_at, EndKind.LAPSED),
            )
            ended_at, kind = min(kinds, key=lambda each: each[0])
            if ended_at <= now:
                self.end(key, ended_at, kind)

    def end(self, key: TaskKey, ended_at: float, kind: EndKind | None) -> None:
        run = self.running.pop(key)
        self.spans.append((key, run.run_id, run.begun_at, ended_at, kind))
        self.closed[key] = max(self.closed.get(key, 0), run.run_id)
        if kind is not None:
            self.count += 1
            self.ended.append(EndReport(self.count, key, run.run_id, kind, ""))
        if kind is EndKind.DONE:
            self.done.append((self.count, key, ended_at))

    def terminate(self, now: float) -> None:
        self.advance(now)
        for key in list(self.running):
            self.end(key, now, None)
        self.is_alive = False

    def accept(self, now: float, epoch: int, minion_id: str) -> None:
        """Check a call that has arrived."""
        self.advance(now)
        if not self.is_alive:
            raise MinionError("refused")
        if minion_id != self.minion_id:
            raise OtherIncarnationError("421")
        if epoch < self.fence:
            raise FencedByMinionError("fence")
        self.fence = epoch

    def extend_lease(self, now: float, deadline_ms: int) -> None:
        if self.clock_ms(now) > self.lease_ms:
            self.lapsed_at = now
        longest_ms = int(min(deadline_ms, self.clock_ms(now) + self.max_hold_ms))
        self.lease_ms = max(self.lease_ms, longest_ms)

    def start(self, now: float, order, deadline_ms: int, seconds: float) -> StartOutcome:
        key, run_id, step = order.run.key, order.run.run_id, order.run.step
        if deadline_ms <= self.clock_ms(now):
            return StartOutcome.LATE
        self.extend_lease(now, deadline_ms)
        known = self.running.get(key)
        if known is not None and known.run_id == run_id:
            return StartOutcome.STARTED
        if known is not None or run_id <= self.closed.get(key, 0):
            return StartOutcome.OUTDATED
        if self.is_guarded and not self.free().is_enough_for(step.reserved_resources):
            return StartOutcome.NO_ROOM
        self.running[key] = FleetRun(run_id, step, now, now + seconds)
        return StartOutcome.STARTED

    def stop(self, now: float, key: TaskKey, run_id: int) -> None:
        self.closed[key] = max(self.closed.get(key, 0), run_id)
        run = self.running.get(key)
        if run is not None and run.run_id <= run_id:
            run.stops_at = min(run.stops_at, now + STOP_SECONDS)

    def acknowledge(self, now: float, acked_upto: int) -> None:
        """Forget ends; those before the newest lapse of the lease don't count as acknowledged."""
        self.ended = [end for end in self.ended if end.number > acked_upto]
        for number, key, ended_at in self.done:
            if number <= acked_upto and self.clock_ms(now) <= self.lease_ms:
                if ended_at > self.lapsed_at:
                    self.acknowledged.append((key, ended_at))
        self.done = [item for item in self.done if item[0] > acked_upto]

    def report(self, now: float, durable_end: int) -> MinionReport:
        self.acknowledge(now, durable_end)
        rows = []
        for key, run in self.running.items():
            measure = 5.0 if run.step.is_lasting else 500.0
            rows.append(RunReport(key, run.run_id, "", 100, measure))
        return MinionReport(self.born_ms, self.clock_ms(now), tuple(rows), tuple(self.ended))


class FleetMinions(FakeMinions):
    """Minion client of one process, whose calls get lost or are carried out late."""

    def __init__(self, cluster: Fleet, process_name: str) -> None:
        super().__init__(cluster)
        self._process_name = process_name

    def _is_lost(self, address: str) -> bool:
        """Return whether no call or answer passes between the process and a minion."""
        return self.is_cut_off or not self._cluster.has_path(self._process_name, address)

    async def _send(self, known, epoch, carry_out):
        """Carry out a call at the address of a minion, or lose it; return its result."""
        cluster = self._cluster
        await asyncio.sleep(CALL_SECONDS)

        def arrive():
            minion = cluster.by_address.get(known.facts.address)
            if minion is None or address in cluster.cut_addresses:
                raise MinionError("refused")
            minion.accept(cluster.loop.time(), epoch, known.minion_id)
            cluster.counts["calls to a former life"] += minion.born_ms != known.facts.born_ms
            return carry_out(minion)

        def arrive_late() -> None:
            try:
                arrive()
            except MinionError:
                cluster.counts["late calls without effect"] += 1

        address = known.facts.address
        if self._is_lost(address) or address in cluster.cut_addresses:
            if not self.is_cut_off:
                cluster.hold_call(address, arrive_late)
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)
            raise MinionError("no answer")
        await self._wait_for_next_life(address, arrive_late)
        # The order of calls at one moment varies, so each minion has its own sequence of faults.
        random = cluster.call_random(known.minion_id)
        if random.random() >= cluster.call_fault_share:
            result = arrive()
            await asyncio.sleep(CALL_SECONDS)
            if self._is_lost(address):
                raise MinionError("no answer")
            return result
        fate = random.randrange(3)
        match 1 if cluster.is_always_late else fate:
            case 0:
                arrive()
            case 1:
                cluster.loop.call_later(random.uniform(*cluster.late_seconds), arrive_late)
        cluster.counts["calls without an answer"] += 1
        await asyncio.sleep(CALL_TIMEOUT_SECONDS)
        raise MinionError("no answer")

    async def _wait_for_next_life(self, address, arrive_late):
        """Wait while a minion is down that sends nothing, until the call times out."""
        cluster = self._cluster
        ends_at = cluster.loop.time() + CALL_TIMEOUT_SECONDS
        while cluster.are_crashes_silent and not cluster.by_address[address].is_alive:
            await asyncio.sleep(CALL_SECONDS)
            if cluster.loop.time() > ends_at:
                cluster.hold_call(address, arrive_late)
                raise MinionError("no answer")

    async def start(self, order, epoch, deadline_ms):
        cluster = self._cluster

        def carry_out(minion):
            now = cluster.loop.time()
            seconds = cluster.duration_of(order.run.key, order.run.step)
            outcome = minion.start(now, order, deadline_ms, seconds)
            return outcome, minion.clock_ms(now)

        try:
            return await self._send(order.minion, epoch, carry_out)
        except FencedByMinionError:
            raise
        except OtherIncarnationError:
            return StartOutcome.OTHER_INCARNATION, None
        except MinionError as error:
            is_refused = str(error) == "refused"
            return StartOutcome.NOT_SENT if is_refused else StartOutcome.UNKNOWN, None

    async def stop(self, order, epoch):
        def carry_out(minion):
            minion.stop(self._cluster.loop.time(), order.key, order.run_id)

        await self._send(order.minion, epoch, carry_out)

    async def set_pace(self, order, epoch):
        await self._send(order.minion, epoch, lambda minion: None)

    async def renew(self, minion, epoch, deadline_ms, wait_seconds):
        cluster = self._cluster

        def carry_out(fleet_minion):
            if deadline_ms is not None:
                fleet_minion.extend_lease(cluster.loop.time(), deadline_ms)
            if cluster.has_late_acknowledgements:
                fleet_minion.acknowledge(cluster.loop.time(), durable_end)
            return fleet_minion

        durable_end = minion.durable_end
        if cluster.are_crashes_silent:
            # As PlatformMinions.renew does, which these clients replace.
            durable_end = minion.acknowledged_end
        fleet_minion = await self._send(minion, epoch, carry_out)
        answer_at = cluster.loop.time() + wait_seconds
        while True:
            now = cluster.loop.time()
            fleet_minion.advance(now)
            is_gone = not fleet_minion.is_alive
            if self.is_cut_off or (is_gone and not cluster.are_crashes_silent):
                raise MinionError("connection reset")
            is_cut = cluster.are_crashes_silent and fleet_minion.address in cluster.cut_addresses
            if is_gone or is_cut or self._is_lost(fleet_minion.address):
                await asyncio.sleep(answer_at + CALL_TIMEOUT_SECONDS - now)
                raise MinionError("no answer")
            has_end = any(end.number > durable_end for end in fleet_minion.ended)
            if has_end or now >= answer_at:
                is_acknowledged = cluster.are_crashes_silent
                report = fleet_minion.report(now, 0 if is_acknowledged else durable_end)
                await asyncio.sleep(CALL_SECONDS)
                return report
            await asyncio.sleep(max(CALL_SECONDS, min(STEP_SECONDS, answer_at - now)))


class Fleet(Cluster):
    """Cluster with minions that follow the protocol, played with troubles drawn from a seed."""

    # Empty cycles before each step of time, which are most of the cost of a play.
    loop_options = {"noop_cycles": 1}
    # Whether each call without an answer is carried out late, not only a third of them.
    is_always_late = False
    # Least and longest time after which a call without an answer is carried out.
    late_seconds = (0.2, 3.0)
    # Whether a poll that is carried out late acknowledges ends.
    has_late_acknowledgements = False
    # Whether a minion that crashes resets no connection, so that calls to it wait for its next
    # life, and polls for their time-out.
    are_crashes_silent = False
    # Share of the calls which time out while no path leads to the minion, or it is down, that are
    # carried out when it can be reached.
    held_share = 0.0

    def __init__(self, seed: int, minion_count: int = 12) -> None:
        self.random = Random(seed)
        self.counts: Counter[str] = Counter()
        self.call_fault_share = 0.0
        self.by_address: dict[str, FleetMinion] = {}
        self.cut_addresses: set[str] = set()
        # Calls that are carried out when a minion can be reached, by address.
        self.held_calls: defaultdict[str, list[Callable[[], None]]] = defaultdict(list)
        self.every_minion: list[FleetMinion] = []
        self.is_guarded = self.random.random() < 0.5
        self.seed = seed
        self._call_randoms: dict[str, Random] = {}
        self._agenda: list[tuple[float, int, object]] = []
        self._order = 0
        self._store_away_until = 0.0
        self.troubled_at = float("-inf")
        # Accepted submissions, and the times at which they were accepted, by job.
        self.accepted: dict[str, tuple[Submission, float]] = {}
        self._ran_at: dict[TaskKey, float] = {}
        self._room_since: dict[object, float] = {}
        self._done: set[TaskKey] = set()
        self._crashes_under: Counter[TaskKey] = Counter()
        self.faults: dict[str, str] = {}
        super().__init__(["a", "b", "c", "d"], minion_names=())
        self.pools = {"pool": Pool("pool", self.is_guarded)}
        self.version = 1
        self.configure()
        for number in range(minion_count):
            self.add_minion(f"h{number}")
        self.advance(3.0)

    def new_minion_client(self, name: str) -> FakeMinions:
        return FleetMinions(self, name)

    @property
    def now(self) -> float:
        return self.loop.time()

    def call_random(self, minion_id: str) -> Random:
        return self._call_randoms.setdefault(minion_id, Random(f"{self.seed}{minion_id}"))

    def duration_of(self, key: TaskKey, step: Step) -> float:
        if step.is_lasting:
            return float("inf")
        return step.estimate_seconds * Random(f"{self.seed}{key}").uniform(0.6, 1.6)

    # Minions

    def add_minion(self, address: str) -> None:
        self.begin_minion(f"i{len(self.every_minion)}", address)

    def begin_minion(self, name: str, address: str) -> None:
        rate = self.random.uniform(0.98, 1.0)
        minion = FleetMinion(name, address, self.now, rate, self.is_guarded)
        self.prepare_minion(minion)
        self.every_minion.append(minion)
        self.by_address[address] = minion
        self.announce(minion)
        self.deliver_held_calls(address)

    def announce(self, minion: FleetMinion) -> None:
        """List a minion that has begun."""
        self.write_entry(minion)

    def prepare_minion(self, minion: FleetMinion) -> None:
        """Set what depends on the kind of fleet, before the minion is listed."""

    def entry_of(self, minion: FleetMinion) -> str:
        state = "draining" if minion.is_draining else "ready"
        return f"{CPU}@{minion.born_ms}@{minion.address}@{state}"

    def write_entry(self, minion: FleetMinion) -> None:
        """Write the entry of a minion, or remove it, when the store can be reached."""
        if self.now < self._store_away_until:
            self.at(self._store_away_until - self.now + 0.2, lambda: self.write_entry(minion))
            return
        minion.is_listed = minion.is_alive
        value = self.entry_of(minion).encode() if minion.is_alive else None
        self.store.streams[Stream.MINIONS, 0].append(Record(minion.minion_id, value))

    def drain(self, minion: FleetMinion, seconds: float) -> None:
        minion.is_draining = True
        self.write_entry(minion)

        def leave() -> None:
            minion.terminate(self.now)
            self.at(self.random.uniform(0.0, 1.0), lambda: self.write_entry(minion))

        self.at(seconds, leave)

    def crash_minion(self, minion: FleetMinion, down_seconds: float | None) -> None:
        """Crash a minion; another one starts at its address after a time, if one is given."""
        if not minion.is_alive:
            return
        self.note_trouble()
        for key in minion.running:
            self._crashes_under[key] += 1
        minion.terminate(self.now)
        self.at(ENTRY_SECONDS, lambda: self.write_entry(minion))
        if down_seconds is not None:
            self.at(down_seconds, lambda: self.replace_crashed(minion))

    def replace_crashed(self, minion: FleetMinion) -> None:
        self.add_minion(minion.address)

    def cut_off(self, minion: FleetMinion, seconds: float) -> None:
        """Lose all calls to a minion for a time, in which its entry may be removed."""
        self.note_trouble()
        self.cut_addresses.add(minion.address)

        def end() -> None:
            self.note_trouble()
            self.cut_addresses.discard(minion.address)
            if minion.is_alive:
                self.write_entry(minion)
            self.deliver_held_calls(minion.address)

        self.at(seconds, end)

    def hold_call(self, address: str, arrive: Callable[[], None]) -> None:
        """Keep a call that has timed out until its minion can be reached, or lose it."""
        if self.held_share and self.call_random(address).random() < self.held_share:
            self.held_calls[address].append(arrive)

    def deliver_held_calls(self, address: str) -> None:
        minion = self.by_address[address]
        if minion.is_alive and self.is_reached(minion):
            for arrive in self.held_calls.pop(address, ()):
                arrive()

    def is_reached(self, minion: FleetMinion) -> bool:
        return minion.address not in self.cut_addresses

    @property
    def usable(self) -> list[FleetMinion]:
        found = []
        for minion in self.every_minion:
            is_ready = minion.is_alive and minion.is_listed and not minion.is_draining
            if is_ready and self.is_reached(minion):
                found.append(minion)
        return found

    # Troubles

    def at(self, seconds: float, action) -> None:
        """Plan an action, which runs outside the event loop."""
        self._order += 1
        self._agenda.append((self.now + seconds, self._order, action))

    def note_trouble(self) -> None:
        self.troubled_at = self.now

    def configure(self) -> None:
        self.version += 1
        config = FleetConfig(self.version, {"q": QUEUE}, self.pools)
        for process in self.processes.values():
            process.configuration._config = config
            if process.election.leader is not None:
                process.election.leader.apply_configuration()

    def kill_leader(self, down_seconds: float) -> None:
        self.note_trouble()
        for name in self.leaders:
            self.kill_process(name, down_seconds)

    def kill_process(self, name: str, down_seconds: float) -> None:
        if not self.processes[name].is_running:
            return
        self.counts["kills"] += 1
        self.kill(name)

        def begin() -> None:
            self.note_trouble()
            self.start(name)
            self.configure()

        self.at(down_seconds, begin)

    def isolate_leader(self, seconds: float) -> None:
        """Cut a leader off from everything, as when its process is suspended."""
        self.note_trouble()
        for name in self.leaders:
            process = self.processes[name]
            process.store.is_silent = process.minions.is_cut_off = True
            process.is_running, process.gone_at = False, self.now

            def end(process=process) -> None:
                self.note_trouble()
                if process.store.is_down:
                    # It was killed meanwhile.
                    return
                process.store.is_silent = process.minions.is_cut_off = False
                process.is_running, process.gone_at = True, float("inf")

            self.at(seconds, end)

    def silence_store(self, seconds: float, share: float) -> None:
        """Let calls of the leader, and of a share of the other processes, time out."""
        self.note_trouble()
        if share >= 1.0:
            self._store_away_until = max(self._store_away_until, self.now + seconds)
        chosen = []
        for name, process in self.processes.items():
            if name in self.leaders or self.random.random() < share:
                chosen.append(process)
                process.store.is_silent = True

        def end() -> None:
            self.note_trouble()
            for process in chosen:
                process.store.is_silent = False

        self.at(seconds, end)

    def plan_takeovers(self) -> None:
        """Plan pairs of kills of the leader, store faults, minions that leave, configurations."""
        random = self.random
        for pair_at in (3.0, 16.0 + random.uniform(0.0, 4.0)):
            gap = random.choice([3.0, random.uniform(0.8, 3.5)])
            for at in (pair_at, pair_at + gap):
                self.at(at, lambda: self.kill_leader(random.choice([1.0, 1.0, 4.0])))
            if random.random() < 0.7:
                at, seconds = pair_at + random.uniform(-1.0, gap + 1.0), random.uniform(0.5, 3.0)
                share = random.choice([0.0, 0.5, 1.0])
                self.at(at, lambda seconds=seconds, share=share: self.silence_store(seconds, share))
            if random.random() < 0.3:
                at, seconds = pair_at + gap + random.uniform(0.5, 3.0), random.uniform(1.0, 5.0)
                self.at(at, lambda seconds=seconds: self.isolate_leader(seconds))
            begin = pair_at + random.uniform(-2.0, 3.0)
            for number in range(random.randint(3, 6)):
                self.at(begin + number, self.replace_minion)
        for number in range(int(TROUBLE_SECONDS / 2.0)):
            self.at(2.0 * number, self.configure)
        if random.random() < 0.5:
            self.at(TROUBLE_SECONDS, self.lose_power)

    def plan_pairs(self) -> None:
        """Plan kills of the leader near the loss of minions, with calm times in between."""
        random = self.random
        for pair_at in (5.0, 21.0):
            gap = random.choice([0.0, 3.0, random.uniform(0.8, 3.5)])
            for at in {pair_at, pair_at + gap}:
                down_seconds = random.choice([1.0, 4.0, 12.0])
                self.at(at, lambda seconds=down_seconds: self.kill_leader(seconds))
            if random.random() < 0.4:
                at, share = pair_at + random.uniform(-0.5, gap), random.choice([0.0, 0.5, 1.0])
                self.at(at, lambda share=share: self.silence_store(random.uniform(0.5, 2.0), share))
            for _ in range(random.randint(1, 2)):
                at = pair_at + random.uniform(-4.0, gap + 0.5)
                self.at(at, random.choice([self.crash_for_good, self.replace_minion]))

    def replace_minion(self) -> None:
        if len(self.usable) > 6:
            self.drain(self.random.choice(self.usable), self.random.uniform(1.5, 5.0))
        self.at(
            self.random.uniform(0.0, 1.0), lambda: self.add_minion(f"n{len(self.every_minion)}")
        )

    def lose_power(self) -> None:
        for name in list(self.processes):
            self.kill_process(name, self.random.uniform(0.8, 1.2))

    def plan_crash_waves(self, begin: float, count: int, gap: float) -> None:
        for number in range(count):
            share = self.random.choice([1 / 3, 1 / 2])
            self.at(begin + gap * number, lambda share=share: self.crash_share(share))

    def crash_share(self, share: float) -> None:
        usable = self.usable
        for minion in self.random.sample(usable, int(share * len(usable))):
            delay = self.random.uniform(0.0, 0.3)
            down_seconds = self.random.uniform(0.9, 1.3)
            self.at(delay, lambda m=minion, d=down_seconds: self.crash_minion(m, d))

    def crash_for_good(self) -> None:
        """Crash minions together with the leader, without a return."""
        if len(self.usable) > 8:
            for minion in self.random.sample(self.usable, 2):
                self.crash_minion(minion, None)

    def cut_some(self) -> None:
        if len(self.usable) > 8:
            for minion in self.random.sample(self.usable, 2):
                self.cut_off(minion, self.random.uniform(1.0, 9.0))

    def plan(self, kind: str) -> None:
        """Plan the troubles of a kind of day and the submissions beside it."""
        random = self.random
        self.call_fault_share = 0.0 if kind == "pairs" else random.choice([0.0, 0.02, 0.1])
        if kind == "pairs":
            self.plan_pairs()
        self.at(TROUBLE_SECONDS + 2.0, self.end_call_faults)
        if kind in ("takeovers", "mix"):
            self.plan_takeovers()
        if kind in ("waves", "mix"):
            gap = random.choice([6.0, random.uniform(3.0, 8.0)])
            self.plan_crash_waves(random.uniform(1.0, 5.0), 4, gap)
        if kind == "waves" and random.random() < 0.5:
            at = random.uniform(4.0, TROUBLE_SECONDS)
            self.at(at, lambda: self.kill_leader(1.0))
        if kind == "mix":
            for _ in range(random.randint(0, 2)):
                self.at(random.uniform(2.0, 25.0), self.cut_some)
                self.at(random.uniform(2.0, 25.0), self.crash_for_good)
        self.plan_submissions()

    def plan_submissions(self) -> None:
        random = self.random
        for number in range(40):
            seconds = 0.2 if number < 12 else random.uniform(0.0, TROUBLE_SECONDS)
            self.at(seconds, self.submit_random)

    def end_call_faults(self) -> None:
        self.call_fault_share = 0.0

    def submit_random(self) -> None:
        random = self.random
        job_id = f"{random.getrandbits(64):016x}"
        cpu, count = random.randrange(1000, 7000), random.randint(1, 4)
        room = ResourceVector(cpu, random.randrange(500, 5000))
        # The last ones are to end before the play, even if a late takeover starts them again.
        longest = 12.0 if self.now < TROUBLE_SECONDS / 2 else 5.0
        match random.randrange(3):
            case 0:
                room = ResourceVector(cpu // 2, 2000)
                steps = (Step(min(count, 3), room, is_lasting=True, image="w", may_miss=1),)
            case 1:
                first = Step(count, room, random.uniform(1.0, longest), is_filler=True)
                second = Step(1, room, 1.0, after=(0,), is_filler=True, is_checkpointing=True)
                steps = (first, second)[: random.randint(1, 2)]
            case _:
                first = Step(count, room, random.uniform(0.3, 2.0))
                steps = (first, Step(2, room, 0.5, after=(0,)))[: random.randint(1, 2)]
        running = [process for process in self.processes.values() if process.is_running]
        if not running:
            return
        process = random.choice(running)
        submission = Submission(job_id, QUEUE, self.unix_ms(process.name), "spec", steps)

        async def send() -> None:
            try:
                await process.job_service.submit(submission, 3.0)
            except Exception:
                self.counts["not accepted"] += 1
                return
            if process.is_running:
                self.accepted[job_id] = (submission, self.now)

        async def begin() -> None:
            task = asyncio.create_task(send())
            self._sending.add(task)
            task.add_done_callback(self._sending.discard)

        self.run(begin())

    # Play

    def play(self, kind: str) -> dict[str, str]:
        """Play a day and return the faults found, by what they concern."""
        self._sending: set[asyncio.Task[None]] = set()
        begun_at = self.now
        self.plan(kind)
        finished_at = begun_at + TROUBLE_SECONDS + FINISH_SECONDS
        while self.now < finished_at + END_SECONDS:
            self.advance(STEP_SECONDS)
            for due in sorted(item[:2] for item in self._agenda if item[0] <= self.now):
                item = next(item for item in self._agenda if item[:2] == due)
                self._agenda.remove(item)
                item[2]()
            self.observe(is_finishing=self.now >= finished_at)
        self.check_end()
        return self.faults

    def fault(self, subject: object, text: str) -> None:
        self.faults.setdefault(str(subject), f"{self.now:.1f} s: {subject} {text}")

    def observe(self, *, is_finishing: bool) -> None:
        now = self.now
        if self.call_fault_share:
            self.note_trouble()
        places = self.record_runs()
        usable = self.usable
        has_calm = now - self.troubled_at >= CALM_SECONDS
        in_use = sum(CPU - minion.free().cpu for minion in usable)
        is_light = in_use < 0.5 * CPU * len(usable)
        for job_id, (submission, accepted_at) in self.accepted.items():
            if self.may_be_given_up(job_id):
                continue
            is_running = any(key.job_id == job_id for key in places)
            for key in self.waiting_tasks(submission):
                step = submission.steps[key.step]
                subject = key if step.is_lasting else job_id
                is_idle = key not in places if step.is_lasting else not is_running
                is_due = step.is_lasting or (is_finishing and is_light)
                if not is_idle or not is_due or not self.has_room_for_two(usable, step):
                    self._room_since.pop(subject, None)
                    continue
                room_since = self._room_since.setdefault(subject, now)
                idle_since = max(self._ran_at.get(key, 0.0), accepted_at)
                limit = idle_since + IDLE_SECONDS if step.is_lasting else 0.0
                is_late = now - max(room_since, limit) > ROOM_SECONDS
                if is_late and (has_calm or not step.is_lasting):
                    self.fault(subject, f"has not run since {idle_since:.2f} s, has room")

    def record_runs(self) -> dict[TaskKey, list[str]]:
        """Return the minions on which each task runs, and record the ends of runs."""
        now = self.now
        places: defaultdict[TaskKey, list[str]] = defaultdict(list)
        for minion in self.every_minion:
            minion.advance(now)
            for key in minion.running:
                places[key].append(minion.minion_id)
            for key, _, _, ended_at, kind in minion.spans:
                self._ran_at[key] = max(self._ran_at.get(key, 0.0), ended_at)
                if kind is EndKind.DONE:
                    self._done.add(key)
        for key, names in places.items():
            self._ran_at[key] = now
            if len(names) > 1:
                self.fault(key, f"runs on {names} at once")
        return places

    def may_be_given_up(self, job_id: str) -> bool:
        """Return whether the job has failed and the platform allows it, after crashes under it."""
        crashes = [count for key, count in self._crashes_under.items() if key.job_id == job_id]
        if max(crashes, default=0) < MIN_CRASHES_TO_GIVE_UP:
            return False
        for process in self.processes.values():
            leader = process.election.leader
            if leader is not None and job_id in leader.scheduler.jobs:
                return leader.scheduler.jobs[job_id].state is JobState.FAILED
        return False

    def waiting_tasks(self, submission: Submission) -> list[TaskKey]:
        """Return the keys of tasks that are not done and whose turn has come."""
        keys = []
        for number, step in enumerate(submission.steps):
            if any(not self.is_step_done(submission, earlier) for earlier in step.after):
                continue
            for index in range(step.count):
                key = TaskKey(submission.job_id, 0, number, index)
                if key not in self._done:
                    keys.append(key)
        return keys

    def is_step_done(self, submission: Submission, number: int) -> bool:
        count = submission.steps[number].count
        keys = [TaskKey(submission.job_id, 0, number, index) for index in range(count)]
        return all(key in self._done for key in keys)

    @staticmethod
    def has_room_for_two(usable: list[FleetMinion], step: Step) -> bool:
        count = 0
        for minion in usable:
            free, room = minion.free(), step.reserved_resources
            fits = free.memory_mb // room.memory_mb
            count += min(fits, free.cpu // room.cpu) if room.cpu else fits
        return count >= 2

    def check_end(self) -> None:
        self.check_overlaps()
        leaders = self.leaders
        if len(leaders) != 1:
            self.fault("fleet", f"has leaders {leaders}")
            return
        leader = self.processes[leaders[0]].election.leader
        for job_id, (submission, _) in self.accepted.items():
            try:
                state = leader.state_of(job_id)
            except NotReadyError as error:
                self.fault(job_id, f"has no state: {error}")
                continue
            is_given_up = self.may_be_given_up(job_id)
            if state is None:
                self.fault(job_id, "is forgotten")
            elif submission.steps[0].is_lasting:
                if state is not JobState.RUNNING and not is_given_up:
                    self.fault(job_id, f"is {state}")
            elif state is JobState.COMPLETED:
                if not all(self.is_step_done(submission, n) for n in range(len(submission.steps))):
                    self.fault(job_id, "is completed without all its work")
            elif not is_given_up:
                self.fault(job_id, f"is {state} at the end")
            self.counts["given up"] += is_given_up

    def check_overlaps(self) -> None:
        spans = []
        done_at: dict[TaskKey, float] = {}
        for minion in self.every_minion:
            spans.extend(minion.spans)
            for key, run in minion.running.items():
                spans.append((key, run.run_id, run.begun_at, self.now, None))
            for key, ended_at in minion.acknowledged:
                done_at[key] = min(ended_at, done_at.get(key, ended_at))
        spans.sort(key=lambda span: (span[0], span[2]))
        self.counts["runs"] = len(spans)
        for earlier, later in pairwise(spans):
            if earlier[0] == later[0] and later[2] < earlier[3]:
                self.fault(earlier[0], f"ran twice at once: {earlier[1:]}, {later[1:]}")
        for key, *run in spans:
            if key in done_at and run[1] > done_at[key]:
                self.fault(key, f"began after its end at {done_at[key]:.2f} s: {run}")


KINDS = ("takeovers", "waves", "mix", "pairs")


def play(seed: int) -> tuple[dict[str, str], Counter[str]]:
    """Play the day of a seed; return its faults and counts."""
    fleet = Fleet(seed)
    try:
        return fleet.play(KINDS[seed % len(KINDS)]), fleet.counts
    finally:
        fleet.close()


def main() -> None:
    logging.disable()
    for seed in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        faults, counts = play(seed)
        print(f"seed {seed} {KINDS[seed % len(KINDS)]}: {len(faults)} faults, {dict(counts)}")
        for text in faults.values():
            print(f"  {text}", flush=True)


if __name__ == "__main__":
    main()
