"""One entry process: the shipped decision code and services, driven without an event loop.

The composition follows ``entry/process.py``. Only the loops that wait for time are written anew.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from random import Random
from typing import Any

import mode

from dotterelhill.batch.service import Batch
from dotterelhill.entry.process import CONTROL_STREAM, SCHEDULER_EVIDENCE_SECONDS
from dotterelhill.entry.relaying import RelayingAppender
from dotterelhill.entry.wiring import FeedWiring, PresentHolders, preferred_scheduler
from dotterelhill.holdings import Holdings
from dotterelhill.holdings.events import MinionDrained, StopRequested, Tick
from dotterelhill.ledger import ControlFeed, FeedUpdate
from dotterelhill.ledger.feed import ADOPT_JITTER_SECONDS, SnapshotReader
from dotterelhill.log.appender import BatchedAppender
from dotterelhill.log.tail import LogTail
from dotterelhill.manifest import AcceptedManifest
from dotterelhill.manifest.feed import ConfigFeed
from dotterelhill.membership.heartbeats import PeerMessage
from dotterelhill.membership.service import Membership, MembershipHooks, MembershipSettings
from dotterelhill.membership.view import OwnState, VmListRead
from dotterelhill.membership.view import Tick as MembershipTick
from dotterelhill.membership.vm_list import Vm
from dotterelhill.requests.slots import Slot, SlotTable
from explorer.calls import Call, Sleep
from explorer.keyed_model import KeyedModel
from explorer.log_model import LogAdapter, LogModel
from explorer.minion_model import MinionModel
from explorer.network import Network
from explorer.observer import Observer
from explorer.timeline import Timeline
from explorer.worker_model import WorkerAdapter, WorkerModel

BATCH_TICK_SECONDS = 0.25
HOLDINGS_TICK_SECONDS = 0.5
HEARTBEAT_SECONDS = 1.0
CONTROL_SPACING_SECONDS = 0.25
QUEUE_POLL_SECONDS = 0.2
STATE_POLL_SECONDS = 1.0
# A request is over this long after its dispatch, by the clock of its process.
LONGEST_REQUEST_SECONDS = 30.0
ABANDONED_PART = 0.2

Driven = Coroutine[Any, Any, Any]


@dataclass(frozen=True, slots=True)
class Place:
    """Where a process runs.

    :param address: peer address; it stays with the entry VM
    """

    entry: str
    failure_domain: str
    region: str
    address: str


@dataclass(frozen=True, slots=True)
class Surroundings:
    """Everything outside of a process that it can reach."""

    timeline: Timeline
    network: Network
    log: LogModel
    workers: dict[str, WorkerModel]
    minions: dict[str, MinionModel]
    observer: Observer
    vms: tuple[Vm, ...]
    send_to_peer: Callable[[str, str, PeerMessage], None]


class ProcessLoop:
    """What the services use of an event loop: its clock.

    :param rate: seconds of this clock in a true second
    """

    def __init__(self, timeline: Timeline, rate: float, shift: float) -> None:
        self._timeline = timeline
        self.rate = rate
        self._shift = shift

    def time(self) -> float:
        """Return the process's monotonic clock in seconds."""
        return self._timeline.now * self.rate + self._shift


class ProcessModel:
    """One start of an entry process."""

    def __init__(
        self,
        incarnation: str,
        place: Place,
        loop: ProcessLoop,
        surroundings: Surroundings,
        random: Random,
    ) -> None:
        self.incarnation = incarnation
        self.place = place
        self.is_dead = False
        self.is_paused = False
        self.well_since = surroundings.timeline.now
        self._loop = loop
        self._around = surroundings
        self._random = random
        self._inbox: list[Callable[[], None]] = []
        self._slots = SlotTable()
        self._is_stopping = False
        self._log = LogAdapter(surroundings.log)
        self._workers = {
            name: WorkerAdapter(model)
            for name, model in surroundings.workers.items()
            if model.failure_domain == place.failure_domain
        }
        self._compose()
        self._connect()
        self._begin()

    @property
    def name(self) -> str:
        """Return the incarnation, its name in the network."""
        return self.incarnation

    @property
    def version(self) -> int:
        """Return the manifest version in force here."""
        return self._config.version

    def run(self, event: Callable[[], None]) -> None:
        """Run an event now, or when the process is resumed."""
        if self.is_dead:
            return
        if self.is_paused:
            self._inbox.append(event)
            return
        before = asyncio._get_running_loop()
        asyncio._set_running_loop(self._loop)  # type: ignore[arg-type]
        try:
            event()
        finally:
            asyncio._set_running_loop(before)

    def crash(self) -> None:
        """End at once; what was sent stays on its way."""
        self.is_dead = True
        self._inbox.clear()

    def resume(self, random: Random) -> None:
        """Go on after a pause with what has come due meanwhile, in any order."""
        self.is_paused = False
        events, self._inbox = self._inbox, []
        random.shuffle(events)
        for event in events:
            self.run(event)

    def leave(self) -> None:
        """Begin a planned stop."""
        self._is_stopping = True
        self.run(lambda: self._holdings._decide(StopRequested()))

    def receive(self, message: PeerMessage) -> None:
        """Take a message of a peer."""
        self.run(lambda: self._membership.receive(message))

    def dispatch(self, minion: str, count: int) -> None:
        """Send as many requests to a minion as the process may, at most ``count``."""
        self.run(lambda: self._dispatch(minion, count))

    def request_key(self, key: bytes) -> None:
        """Take a request with a key that its caller chose."""
        self.run(lambda: self._keyed.request(key))

    def _compose(self) -> None:
        self._appender = BatchedAppender(
            self._log, CONTROL_STREAM, spacing_seconds=CONTROL_SPACING_SECONDS, rng=self._random
        )
        self._relaying = RelayingAppender(self._appender, self._random)
        self._config = ConfigFeed(self._log, rng=self._random)
        self._control = ControlFeed(
            self._log, self._config, append=self._appender.submit, rng=self._random
        )
        place = self.place
        settings = MembershipSettings(
            incarnation=self.incarnation,
            entry=place.entry,
            failure_domain=place.failure_domain,
            region=place.region,
            peer_address=place.address,
            forward_address=place.address,
        )
        hooks = MembershipHooks(
            own_state=self._own_state,
            promise_to=self._promise_to,
            manifest_record=lambda: self._wiring.manifest_record(),
            control_records=lambda start, limit: self._wiring.control_records(start, limit),
            on_heartbeat=lambda heartbeat: self._wiring.take_heartbeat(heartbeat),
            on_live_changed=lambda live: self._holdings.on_live_changed(live),
            on_manifest=self._config.accept_relayed,
            on_records=lambda start, folded_control_offset, records: self._wiring.take_records(
                start, folded_control_offset, records
            ),
            on_append_wanted=self._relaying.append_for_peer,
        )
        self._membership = Membership(settings, self, self, hooks)
        self._relaying.connect(self._membership)
        self._holdings = Holdings(
            place.entry,
            place.failure_domain,
            PresentHolders(self._control),
            self._appender,
            self._membership,
            lambda minion: self._slots.in_flight.get(minion, 0),
        )
        self._batch = Batch(
            incarnation=self.incarnation,
            failure_domain=place.failure_domain,
            ledger=self._control,
            manifests=self._config,
            holdings=self._holdings,
            appender=self._relaying,
            worker_names=lambda: tuple(self._workers),
            worker_of=lambda name: self._workers[name],
            is_scheduler=self._is_scheduler,
        )
        self._wiring = FeedWiring(
            self._config, self._control, self._holdings, self._batch, self._relaying
        )
        self._keyed = KeyedModel(
            self._log,
            self.incarnation,
            self._random,
            self._loop.time,
            lambda key: self._around.observer.on_keyed_dispatch(self.name, key),
        )

    def _connect(self) -> None:
        services = (self._appender, self._config, self._control, self._holdings, self._batch)
        for service in services:
            self._drive(service)
        self._config.add_listener(self._on_manifest)
        self._control.add_listener(self._on_update)
        self._wiring.connect()

    def _drive(self, service: mode.Service) -> None:
        """Let a service use this process's clock and coroutines in place of an event loop."""
        service.loop = self._loop  # type: ignore[assignment]
        service.add_future = self._spawn  # type: ignore[method-assign, assignment]
        service.sleep = Sleep  # type: ignore[method-assign, assignment]
        service.add_runtime_dependency = self._start_tail  # type: ignore[method-assign, assignment]

    async def _start_tail(self, tail: LogTail) -> None:
        self._drive(tail)
        self._spawn(_follow(tail))

    def _begin(self) -> None:
        self.run(lambda: self._holdings.on_workers(self._workers))
        self.run(lambda: self._membership.hooks.on_live_changed(frozenset({self.incarnation})))
        self._spawn(self._start_tail(self._keyed.tail))
        self._spawn(self._keep_state())
        self._spawn(self._adopt())
        self._spawn(self._append_batches())
        self._spawn(self._keyed.append_claims())
        self._every(BATCH_TICK_SECONDS, lambda: self._batch.step(self._loop.time()))
        self._every(HOLDINGS_TICK_SECONDS, self._tick_holdings)
        self._every(HEARTBEAT_SECONDS, self._beat)

    # Transport and VM list of membership.

    def send(self, address: str, message: PeerMessage) -> bool:
        """Return True; whether the message arrives is never told."""
        self._around.send_to_peer(self.name, address, message)
        return True

    async def read(self) -> tuple[Vm, ...] | None:
        """Return the VM list, which is always right here."""
        return self._around.vms

    # Coroutines.

    def _spawn(self, coroutine: Driven) -> None:
        self.run(lambda: self._go_on(coroutine, None, None))

    def _go_on(self, coroutine: Driven, value: Any, error: Exception | None) -> None:
        try:
            waited = coroutine.throw(error) if error is not None else coroutine.send(value)
        except StopIteration:
            return
        match waited:
            case Sleep(seconds):
                self._after(seconds, lambda: self._go_on(coroutine, None, None))
            case Call():
                self._call(coroutine, waited)

    def _call(self, coroutine: Driven, call: Call) -> None:
        network, is_settled = self._around.network, False

        def settle(value: Any, error: Exception | None) -> None:
            nonlocal is_settled
            if not is_settled:
                is_settled = True
                self._go_on(coroutine, value, error)

        def answer(value: Any, error: Exception | None) -> None:
            deliver = lambda: self.run(lambda: settle(value, error))  # noqa: E731
            network.send(f"{call.kind} answer", call.target, self.name, deliver)

        network.send(call.kind, self.name, call.target, lambda: call.perform(answer))
        self._after(call.timeout_seconds, lambda: settle(None, call.on_timeout()))

    def _after(self, seconds: float, event: Callable[[], None]) -> None:
        self._around.timeline.after(seconds / self._loop.rate, lambda: self.run(event))

    def _every(self, seconds: float, event: Callable[[], None]) -> None:
        def repeat() -> None:
            event()
            self._after(seconds, repeat)

        self._after(self._random.uniform(0.0, seconds), repeat)

    async def _append_batches(self) -> None:
        """Repeat what ``BatchedAppender._append_batches`` does, polling its queue."""
        appender = self._appender
        while True:
            appender._fill_batch()
            if not appender._batch:
                await Sleep(QUEUE_POLL_SECONDS)
                continue
            started_at = self._loop.time()
            if await appender._is_appended():
                rest = started_at + CONTROL_SPACING_SECONDS - self._loop.time()
            else:
                rest = appender._backoff.next_seconds()
            await Sleep(max(0.0, rest))

    async def _keep_state(self) -> None:
        """Repeat what ``ControlFeed._keep_state`` does, polling whether a state is wanted."""
        feed = self._control
        while True:
            if feed._needs_state():
                await feed._try_restore()
            if feed._needs_state():
                await Sleep(feed._backoff.next_seconds())
                continue
            feed._backoff.reset()
            feed._snapshots = SnapshotReader(self._log)
            await feed._follow()
            await Sleep(STATE_POLL_SECONDS)

    async def _adopt(self) -> None:
        """Repeat what ``ControlFeed._adopt`` does, polling whether it is wanted."""
        feed = self._control
        while True:
            if feed._adopt_needed.is_set():
                await Sleep(self._random.uniform(0.0, ADOPT_JITTER_SECONDS))
                feed._adopt_needed.clear()
                feed._append_adopts()
            await Sleep(QUEUE_POLL_SECONDS)

    # Ticks.

    def _tick_holdings(self) -> None:
        self._slots.expire(self._loop.time())
        self._holdings._refresh_resources()
        for minion in self._holdings._decision.draining_minions:
            if self._slots.in_flight.get(minion, 0) == 0:
                self._holdings._decide(MinionDrained(minion))
        self._holdings._decide(Tick())
        if self._holdings._leave_recorded.is_set():
            self.crash()
            return
        for minion in self._around.minions:
            self._dispatch(minion, 1)

    def _beat(self) -> None:
        if not self._membership.vms:
            self._spawn(self._read_vms())
        self._membership._decide(MembershipTick(self._own_state()))

    async def _read_vms(self) -> None:
        vms = await self.read()
        if vms is not None:
            self._membership._decide(VmListRead(vms))

    def _dispatch(self, minion: str, count: int) -> None:
        now = self._loop.time()
        for _ in range(count):
            permit = self._holdings.permit_for(minion, now)
            if self._is_stopping or self._slots.free_count(minion, permit) <= 0:
                return
            self._send_request(minion, now)

    def _send_request(self, minion: str, now: float) -> None:
        slot = self._slots.take(minion)
        self._around.observer.on_dispatch(self.name, minion, self.well_since)
        seconds = self._random.uniform(0.5, LONGEST_REQUEST_SECONDS)
        if self._random.random() < ABANDONED_PART:
            abandoned_after = self._random.uniform(0.0, seconds)
            self._after(abandoned_after, lambda: self._slots.abandon(slot, self._loop.time()))

        def release() -> None:
            self.run(lambda: self._release(slot))

        self._around.minions[minion].take(self.name, seconds / self._loop.rate, release)

    def _release(self, slot: Slot) -> None:
        self._slots.release(slot)

    # Callbacks of the services.

    def _on_manifest(self, accepted: AcceptedManifest) -> None:
        self._around.observer.on_manifest(self.name, accepted)

    def _on_update(self, update: FeedUpdate) -> None:
        for verdict in update.verdicts:
            self._around.observer.on_verdict(self.name, verdict)

    def _promise_to(self, incarnation: str) -> bool:
        return self._holdings.promise_to(incarnation)

    def _is_scheduler(self) -> bool:
        now = self._loop.time()
        if now - self._control.evidence_at > SCHEDULER_EVIDENCE_SECONDS or self._is_stopping:
            return False
        peers = self._membership.live_peers(now)
        return preferred_scheduler(self.incarnation, peers) == self.incarnation

    def _own_state(self) -> OwnState:
        now = self._loop.time()
        is_ready = not self._is_stopping and self._config.current is not None
        return OwnState(
            is_ready=is_ready and self._control.is_restored,
            manifest_version=self._config.version,
            control_offset=self._holdings.folded_control_offset,
            control_through=self._holdings.folded_control_offset,
            config_age=now - self._config.evidence_at,
            control_age=now - self._control.evidence_at,
        )


async def _follow(tail: LogTail) -> None:
    """Repeat what ``LogTail._follow`` does."""
    while True:
        if await tail._is_read():
            tail._backoff.reset()
            continue
        await Sleep(tail._backoff.next_seconds())
