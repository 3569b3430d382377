"""Model of an entry process: the shipped decision code and services, run without an event loop.

The composition of the services follows ``entry/process.py``. Only the loops that wait for time are
reimplemented here.
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
from dotterelhill.entry.wiring import CurrentHolders, FeedWiring, preferred_scheduler
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
# Every request ends within this time of its dispatch, by the clock of its process.
LONGEST_REQUEST_SECONDS = 30.0
ABANDONED_FRACTION = 0.2

AnyCoroutine = Coroutine[Any, Any, Any]


@dataclass(frozen=True, slots=True)
class EntryVm:
    """Entry VM on which successive incarnations of an entry process run.

    :param entry: name of the VM
    :param address: peer address, the same for all incarnations
    """

    entry: str
    failure_domain: str
    region: str
    address: str


@dataclass(frozen=True, slots=True)
class Environment:
    """Simulated environment that all processes share.

    :param workers: workers by name
    :param minions: minions by name
    :param vms: the VM list
    :param send_to_peer: sends a message from a process, given by name, to a peer address
    """

    timeline: Timeline
    network: Network
    log: LogModel
    workers: dict[str, WorkerModel]
    minions: dict[str, MinionModel]
    observer: Observer
    vms: tuple[Vm, ...]
    send_to_peer: Callable[[str, str, PeerMessage], None]


class ProcessLoop:
    """Substitute for an event loop that provides only a clock.

    :param rate: seconds of this clock in a second of true time
    :param offset_seconds: time of this clock at the start of the walk, in seconds
    """

    def __init__(self, timeline: Timeline, rate: float, offset_seconds: float) -> None:
        self._timeline = timeline
        self.rate = rate
        self._offset_seconds = offset_seconds

    def time(self) -> float:
        """Return the time of the monotonic clock in seconds."""
        return self._timeline.now * self.rate + self._offset_seconds


class ProcessModel:
    """Incarnation of an entry process.

    ``healthy_since`` is the true time in seconds since which the process can obtain new manifests.
    It is infinite while the process can't, and lies in the future while the process recovers.

    :param loop: clock of the process
    :param random: source of the random choices of the process and of its services
    """

    def __init__(
        self,
        incarnation: str,
        entry_vm: EntryVm,
        loop: ProcessLoop,
        environment: Environment,
        random: Random,
    ) -> None:
        self.incarnation = incarnation
        self.entry_vm = entry_vm
        self.is_dead = False
        self.is_paused = False
        self.healthy_since = environment.timeline.now
        self._loop = loop
        self._environment = environment
        self._random = random
        self._deferred_events: list[Callable[[], None]] = []
        self._slots = SlotTable()
        self._is_stopping = False
        self._log = LogAdapter(environment.log)
        self._workers = {
            name: WorkerAdapter(model)
            for name, model in environment.workers.items()
            if model.failure_domain == entry_vm.failure_domain
        }
        self._create_services()
        self._connect_services()
        self._start_loops()

    @property
    def name(self) -> str:
        """Return the name of the process in the network, which is its incarnation."""
        return self.incarnation

    @property
    def version(self) -> int:
        """Return the manifest version that is in force in this process."""
        return self._config.version

    def run_event(self, event: Callable[[], None]) -> None:
        """Run an event now, or on resumption if the process is paused; a dead process runs none."""
        if self.is_dead:
            return
        if self.is_paused:
            self._deferred_events.append(event)
            return
        previous_loop = asyncio._get_running_loop()
        asyncio._set_running_loop(self._loop)  # type: ignore[arg-type]
        try:
            event()
        finally:
            asyncio._set_running_loop(previous_loop)

    def crash(self) -> None:
        """End the process at once; messages that it has sent are still delivered."""
        self.is_dead = True
        self._deferred_events.clear()

    def resume(self, random: Random) -> None:
        """End a pause and run the events that came due during it, in random order."""
        self.is_paused = False
        events, self._deferred_events = self._deferred_events, []
        random.shuffle(events)
        for event in events:
            self.run_event(event)

    def leave(self) -> None:
        """Begin a planned stop of the process."""
        self._is_stopping = True
        self.run_event(lambda: self._holdings._decide(StopRequested()))

    def receive(self, message: PeerMessage) -> None:
        """Process a message from a peer."""
        self.run_event(lambda: self._membership.receive(message))

    def dispatch(self, minion: str, count: int) -> None:
        """Send requests to a minion, at most ``count`` and no more than there are free slots."""
        self.run_event(lambda: self._dispatch_requests(minion, count))

    def handle_keyed_request(self, key: bytes) -> None:
        """Process a request with an idempotency key that its caller chose."""
        self.run_event(lambda: self._keyed.request(key))

    def _create_services(self) -> None:
        self._appender = BatchedAppender(
            self._log, CONTROL_STREAM, spacing_seconds=CONTROL_SPACING_SECONDS, rng=self._random
        )
        self._relaying = RelayingAppender(self._appender, self._random)
        self._config = ConfigFeed(self._log, rng=self._random)
        self._control = ControlFeed(
            self._log, self._config, append=self._appender.submit, rng=self._random
        )
        entry_vm = self.entry_vm
        settings = MembershipSettings(
            incarnation=self.incarnation,
            entry=entry_vm.entry,
            failure_domain=entry_vm.failure_domain,
            region=entry_vm.region,
            peer_address=entry_vm.address,
            forward_address=entry_vm.address,
        )
        hooks = MembershipHooks(
            own_state=self._own_state,
            promise_to=self._promise_to,
            manifest_record=lambda: self._wiring.manifest_record(),
            control_records=lambda start, limit: self._wiring.control_records(start, limit),
            on_heartbeat=lambda heartbeat: self._wiring.handle_heartbeat(heartbeat),
            on_live_changed=lambda live: self._holdings.on_live_changed(live),
            on_manifest=self._config.accept_relayed,
            on_records=lambda start, through, records: self._wiring.handle_relayed_records(
                start, through, records
            ),
            on_append_wanted=self._relaying.append_for_peer,
        )
        self._membership = Membership(settings, self, self, hooks)
        self._relaying.connect(self._membership)
        self._holdings = Holdings(
            entry_vm.entry,
            entry_vm.failure_domain,
            CurrentHolders(self._control),
            self._appender,
            self._membership,
            lambda minion: self._slots.in_flight.get(minion, 0),
        )
        self._batch = Batch(
            incarnation=self.incarnation,
            failure_domain=entry_vm.failure_domain,
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
            lambda key: self._environment.observer.on_keyed_dispatch(self.name, key),
        )

    def _connect_services(self) -> None:
        services = (self._appender, self._config, self._control, self._holdings, self._batch)
        for service in services:
            self._adapt_service(service)
        self._config.add_listener(self._on_manifest)
        self._control.add_listener(self._on_update)
        self._wiring.connect()

    def _adapt_service(self, service: mode.Service) -> None:
        """Replace the event loop of a service by the clock and the coroutines of this process."""
        service.loop = self._loop  # type: ignore[assignment]
        service.add_future = self._spawn  # type: ignore[method-assign, assignment]
        service.sleep = Sleep  # type: ignore[method-assign, assignment]
        service.add_runtime_dependency = self._start_tail  # type: ignore[method-assign, assignment]

    async def _start_tail(self, tail: LogTail) -> None:
        self._adapt_service(tail)
        self._spawn(_follow(tail))

    def _start_loops(self) -> None:
        self.run_event(lambda: self._holdings.on_workers(self._workers))
        self.run_event(
            lambda: self._membership.hooks.on_live_changed(frozenset({self.incarnation}))
        )
        self._spawn(self._start_tail(self._keyed.tail))
        self._spawn(self._keep_state())
        self._spawn(self._adopt())
        self._spawn(self._append_batches())
        self._spawn(self._keyed.append_claims())
        self._schedule_periodic(BATCH_TICK_SECONDS, lambda: self._batch.step(self._loop.time()))
        self._schedule_periodic(HOLDINGS_TICK_SECONDS, self._tick_holdings)
        self._schedule_periodic(HEARTBEAT_SECONDS, self._tick_membership)

    # Implementation of the transport and of the VM list for membership.

    def send(self, address: str, message: PeerMessage) -> bool:
        """Send a message to a peer address and return True, whether or not it will arrive."""
        self._environment.send_to_peer(self.name, address, message)
        return True

    async def read(self) -> tuple[Vm, ...] | None:
        """Return the VM list, which is always available and correct in this model."""
        return self._environment.vms

    # Coroutines.

    def _spawn(self, coroutine: AnyCoroutine) -> None:
        self.run_event(lambda: self._resume_coroutine(coroutine, None, None))

    def _resume_coroutine(
        self, coroutine: AnyCoroutine, value: Any, error: Exception | None
    ) -> None:
        try:
            awaited = coroutine.throw(error) if error is not None else coroutine.send(value)
        except StopIteration:
            return
        match awaited:
            case Sleep(seconds):
                self._schedule(seconds, lambda: self._resume_coroutine(coroutine, None, None))
            case Call():
                self._send_call(coroutine, awaited)

    def _send_call(self, coroutine: AnyCoroutine, call: Call) -> None:
        network, is_settled = self._environment.network, False

        def settle(value: Any, error: Exception | None) -> None:
            nonlocal is_settled
            if not is_settled:
                is_settled = True
                self._resume_coroutine(coroutine, value, error)

        def answer(value: Any, error: Exception | None) -> None:
            deliver = lambda: self.run_event(lambda: settle(value, error))  # noqa: E731
            network.send(f"{call.kind} answer", call.target, self.name, deliver)

        network.send(call.kind, self.name, call.target, lambda: call.perform(answer))
        self._schedule(call.timeout_seconds, lambda: settle(None, call.on_timeout()))

    def _schedule(self, seconds: float, event: Callable[[], None]) -> None:
        self._environment.timeline.schedule(
            seconds / self._loop.rate, lambda: self.run_event(event)
        )

    def _schedule_periodic(self, seconds: float, event: Callable[[], None]) -> None:
        def repeat() -> None:
            event()
            self._schedule(seconds, repeat)

        self._schedule(self._random.uniform(0.0, seconds), repeat)

    async def _append_batches(self) -> None:
        """Do the work of ``BatchedAppender._append_batches``, polling the queue of the appender."""
        appender = self._appender
        while True:
            appender._fill_batch()
            if not appender._batch:
                await Sleep(QUEUE_POLL_SECONDS)
                continue
            started_at = self._loop.time()
            if await appender._try_append():
                delay_seconds = started_at + CONTROL_SPACING_SECONDS - self._loop.time()
            else:
                delay_seconds = appender._backoff.next_seconds()
            await Sleep(max(0.0, delay_seconds))

    async def _keep_state(self) -> None:
        """Do the work of ``ControlFeed._keep_state``, polling whether a state must be restored."""
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
        """Do the work of ``ControlFeed._adopt``, polling whether an ``Adopt`` is needed."""
        feed = self._control
        while True:
            if feed._adopt_needed.is_set():
                await Sleep(self._random.uniform(0.0, ADOPT_JITTER_SECONDS))
                feed._adopt_needed.clear()
                feed._append_adopts()
            await Sleep(QUEUE_POLL_SECONDS)

    # Periodic work.

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
        for minion in self._environment.minions:
            self._dispatch_requests(minion, 1)

    def _tick_membership(self) -> None:
        if not self._membership.vms:
            self._spawn(self._read_vms())
        self._membership._decide(MembershipTick(self._own_state()))

    async def _read_vms(self) -> None:
        vms = await self.read()
        if vms is not None:
            self._membership._decide(VmListRead(vms))

    def _dispatch_requests(self, minion: str, count: int) -> None:
        now = self._loop.time()
        for _ in range(count):
            permit = self._holdings.permit_for(minion, now)
            if self._is_stopping or self._slots.free_count(minion, permit) <= 0:
                return
            self._send_request(minion, now)

    def _send_request(self, minion: str, now: float) -> None:
        slot = self._slots.take(minion)
        self._environment.observer.on_dispatch(self.name, minion, self.healthy_since)
        seconds = self._random.uniform(0.5, LONGEST_REQUEST_SECONDS)
        if self._random.random() < ABANDONED_FRACTION:
            abandoned_after = self._random.uniform(0.0, seconds)
            self._schedule(abandoned_after, lambda: self._slots.abandon(slot, self._loop.time()))

        def release() -> None:
            self.run_event(lambda: self._release_slot(slot))

        self._environment.minions[minion].start_request(
            self.name, seconds / self._loop.rate, release
        )

    def _release_slot(self, slot: Slot) -> None:
        self._slots.release(slot)

    # Callbacks from the services.

    def _on_manifest(self, accepted: AcceptedManifest) -> None:
        self._environment.observer.on_manifest(self.name, accepted)

    def _on_update(self, update: FeedUpdate) -> None:
        for verdict in update.verdicts:
            self._environment.observer.on_verdict(self.name, verdict)

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
    """Do the work of ``LogTail._follow``."""
    while True:
        if await tail._try_read():
            tail._backoff.reset()
            continue
        await Sleep(tail._backoff.next_seconds())
