"""Membership service: sends heartbeats, polls the VM list, relays manifests and records."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import mode
from logbook import Logger

from dotterelhill.log.interface import LogRecord
from dotterelhill.membership.heartbeats import (
    AppendWanted,
    Heartbeat,
    ManifestRecord,
    PeerMessage,
    Records,
    RecordsWanted,
    State,
    StateWanted,
    UsageSummary,
)
from dotterelhill.membership.interface import Peer
from dotterelhill.membership.transport import PeerTransport
from dotterelhill.membership.view import (
    HEARTBEAT_SECONDS,
    AskForRecords,
    HeartbeatHeard,
    LiveChanged,
    MembershipAction,
    MembershipDecision,
    MembershipEvent,
    OwnState,
    RelayManifest,
    SendHeartbeat,
    Tick,
    VmListRead,
)
from dotterelhill.membership.vm_list import POLL_SECONDS, Vm, VmList, VmListError

# Limits of one batch, so that requests of a lagging peer can't fill the message queues.
MAX_BATCH_RECORDS = 500
MAX_BATCH_BYTES = 60_000

log = Logger("membership.service")


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Identity, location and addresses of this process.

    :param incarnation: incarnation id of this process
    :param entry: name of the entry VM
    :param peer_address: ``host:port`` at which peers reach this process
    :param forward_address: ``host:port`` at which this process accepts forwarded requests
    :param seeds: peer addresses of the own domain to try in addition to the VM list
    """

    incarnation: str
    entry: str
    failure_domain: str
    region: str
    peer_address: str
    forward_address: str
    seeds: tuple[str, ...] = ()


@dataclass(slots=True)
class MembershipHooks:
    """Callbacks that connect membership with other slices; the entry process sets them.

    :param own_state: returns the state of this process; called each second and for each heartbeat
    :param promise_to: returns whether this process promises an incarnation to append no ``Hold``
        for that incarnation's resources for 10 s; the callee records the promise
    :param manifest_record: returns version and record of the manifest in force, or None
    :param control_records: returns ``control`` records from an offset on, at most ``limit``
    :param on_heartbeat: called with each received heartbeat
    :param on_live_changed: called with the new set of live incarnations of the own domain,
        including this process
    :param on_manifest: called with version and record of a manifest that a peer relayed
    :param on_records: called with relayed records, their start offset and their last offset
    :param on_append_wanted: called with records to append to ``control`` for a peer that can't
        reach the log
    :param encoded_state: returns the ledger as a snapshot, or None when the ledger is incomplete
    :param on_state: called with the ledger snapshot of a peer
    :param on_usage_summary: called with the usage of a peer's workers
    :param on_vms: called with the VMs of a changed VM list
    """

    own_state: Callable[[], OwnState] = OwnState
    promise_to: Callable[[str], bool] = lambda incarnation: False
    manifest_record: Callable[[], tuple[int, bytes] | None] = lambda: None
    control_records: Callable[[int, int], Sequence[LogRecord]] = lambda start, limit: ()
    on_heartbeat: Callable[[Heartbeat], None] = lambda heartbeat: None
    on_live_changed: Callable[[frozenset[str]], None] = lambda incarnations: None
    on_manifest: Callable[[int, bytes], object] = lambda version, record: None
    on_records: Callable[[int, int, Sequence[LogRecord]], None] = lambda start, through, records: (
        None
    )
    on_append_wanted: Callable[[Sequence[bytes]], None] = lambda records: None
    encoded_state: Callable[[], bytes | None] = lambda: None
    on_state: Callable[[bytes], object] = lambda data: None
    on_usage_summary: Callable[[bytes], None] = lambda data: None
    on_vms: Callable[[tuple[Vm, ...]], None] = lambda vms: None


class Membership(mode.Service):
    """Service that exchanges messages with peers; implements ``PeerView``.

    The transport must pass each received message to :meth:`receive`.

    :param settings: identity and addresses of this process
    :param transport: sends messages to peers
    :param vm_list: source of the VM list
    :param hooks: callbacks to other slices
    :param decision: decision code, or a recorder that wraps it
    """

    def __init__(
        self,
        settings: MembershipSettings,
        transport: PeerTransport,
        vm_list: VmList,
        hooks: MembershipHooks | None = None,
        decision: MembershipDecision | None = None,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._transport = transport
        self._vm_list = vm_list
        self._hooks = hooks or MembershipHooks()
        self._counts: Counter[str] = Counter()
        self._is_list_readable = True
        self._decision = decision or MembershipDecision(
            settings.incarnation,
            settings.failure_domain,
            settings.region,
            settings.peer_address,
            settings.forward_address,
            settings.seeds,
        )

    @property
    def incarnation(self) -> str:
        """Return the incarnation id of this process."""
        return self._decision.incarnation

    @property
    def counts(self) -> Counter[str]:
        """Return the counters ``vm_list_failed``, ``heartbeats``, ``manifests``, ``records`` and
        ``appends``."""
        return self._counts

    @property
    def hooks(self) -> MembershipHooks:
        """Return the callbacks, which may be replaced until the service starts."""
        return self._hooks

    @property
    def vms(self) -> tuple[Vm, ...]:
        """Return the VMs of the last VM list that was read."""
        return self._decision.vms

    def live_peers(self, now: float) -> tuple[Peer, ...]:
        """Return the peers that count as alive: 3 s in the own domain, 7 s in others.

        :param now: loop time in seconds
        """
        return self._decision.live_peers(now)

    def addresses_in_other_domains(self, now: float) -> tuple[str, ...]:
        """Return the peer addresses of live processes in other failure domains."""
        return self._decision.addresses_in_other_domains(now)

    def leaving_vms(self) -> frozenset[str]:
        """Return the names of the VMs that the VM list marks as leaving."""
        return self._decision.leaving_vms()

    def receive(self, message: PeerMessage) -> None:
        """Handle a message from a peer."""
        match message:
            case Heartbeat():
                self._counts["heartbeats"] += 1
                self._hooks.on_heartbeat(message)
                self._decide(HeartbeatHeard(message))
            case ManifestRecord():
                self._counts["manifests"] += 1
                self._hooks.on_manifest(message.manifest_version, message.record)
            case RecordsWanted():
                self._send_records(message)
            case StateWanted():
                self._send_state(message)
            case State():
                self._hooks.on_state(message.data)
            case UsageSummary():
                self._hooks.on_usage_summary(message.data)
            case AppendWanted():
                self._counts["appends"] += len(message.records)
                self._hooks.on_append_wanted(message.records)
            case Records():
                self._counts["records"] += len(message.records)
                records = [LogRecord(offset, data) for offset, data in message.records]
                self._hooks.on_records(message.start, message.through, records)

    def ask_for_state(self, incarnation: str) -> None:
        """Request the ledger snapshot of a peer; do nothing when its address is unknown."""
        address = self._decision.address_of(incarnation)
        if address:
            request = StateWanted(sender=self.incarnation, reply_to=self._settings.peer_address)
            self._transport.send(address, request)

    def send_usage_summary(self, incarnation: str, data: bytes) -> None:
        """Send the usage of the held workers to a peer; do nothing when its address is unknown.

        :param data: summary encoded by the batch slice
        """
        address = self._decision.address_of(incarnation)
        if address:
            self._transport.send(address, UsageSummary(sender=self.incarnation, data=data))

    def ask_to_append(self, address: str, records: Sequence[bytes]) -> bool:
        """Request that a peer append records to ``control``.

        :returns: whether the request was queued
        """
        request = AppendWanted(sender=self.incarnation, records=list(records))
        return self._transport.send(address, request)

    def ask_for_records(self, address: str, start: int) -> bool:
        """Request ``control`` records from offset ``start`` on from a peer.

        :returns: whether the request was queued
        """
        request = RecordsWanted(
            sender=self.incarnation, start=start, reply_to=self._settings.peer_address
        )
        return self._transport.send(address, request)

    @mode.Service.task
    async def _send_heartbeats(self) -> None:
        while not self.should_stop:
            self._decide(Tick(self._hooks.own_state()))
            await self.sleep(HEARTBEAT_SECONDS)

    @mode.Service.task
    async def _poll_vm_list(self) -> None:
        while not self.should_stop:
            try:
                vms = await self._vm_list.read()
            except VmListError as error:
                self._counts["vm_list_failed"] += 1
                self._set_list_readable(False, str(error))
            else:
                self._set_list_readable(True, "")
                if vms is not None:
                    self._decide(VmListRead(vms))
                    self._hooks.on_vms(vms)
            await self.sleep(POLL_SECONDS)

    def _set_list_readable(self, is_readable: bool, reason: str) -> None:
        if is_readable == self._is_list_readable:
            return
        self._is_list_readable = is_readable
        if is_readable:
            log.info("VM list is readable again")
            return
        log.warning("VM list can't be read, using the last one: {}", reason)

    def _decide(self, event: MembershipEvent) -> None:
        now = asyncio.get_running_loop().time()
        for action in self._decision.decide(event, now):
            self._perform(action, now)

    def _perform(self, action: MembershipAction, now: float) -> None:
        match action:
            case SendHeartbeat():
                self._transport.send(action.address, self._heartbeat(action, now))
            case RelayManifest(address):
                current = self._hooks.manifest_record()
                if current is not None:
                    version, record = current
                    message = ManifestRecord(
                        sender=self.incarnation, manifest_version=version, record=record
                    )
                    self._transport.send(address, message)
            case AskForRecords(address, start):
                self.ask_for_records(address, start)
            case LiveChanged(incarnations):
                self._hooks.on_live_changed(incarnations)

    def _heartbeat(self, action: SendHeartbeat, now: float) -> Heartbeat:
        own = self._hooks.own_state()
        is_promise = bool(action.receiver) and self._hooks.promise_to(action.receiver)
        return Heartbeat(
            sender=self.incarnation,
            entry=self._settings.entry,
            failure_domain=self._settings.failure_domain,
            region=self._settings.region,
            peer_address=self._settings.peer_address,
            forward_address=self._settings.forward_address,
            is_ready=own.is_ready,
            manifest_version=own.manifest_version,
            control_offset=own.control_offset,
            control_through=own.control_through,
            config_age=own.config_age,
            control_age=own.control_age,
            stamp=now,
            echo=action.echo,
            is_promise=is_promise,
            free_slots=own.free_slots,
            summary=list(action.summary),
        )

    def _send_state(self, request: StateWanted) -> None:
        data = self._hooks.encoded_state()
        if data is not None:
            self._transport.send(request.reply_to, State(sender=self.incarnation, data=data))

    def _send_records(self, request: RecordsWanted) -> None:
        records = self._hooks.control_records(request.start, MAX_BATCH_RECORDS)
        batch = bounded_batch(records)
        if not batch:
            return
        answer = Records(
            sender=self.incarnation,
            start=request.start,
            through=batch[-1].offset,
            records=[(record.offset, record.data) for record in batch],
        )
        self._transport.send(request.reply_to, answer)


def bounded_batch(records: Iterable[LogRecord]) -> list[LogRecord]:
    """Return the leading records that fit into one batch, at least one unless there is none.

    >>> len(bounded_batch([LogRecord(n, bytes(40_000)) for n in range(1, 4)]))
    1
    """
    batch: list[LogRecord] = []
    size = 0
    for record in records:
        size += len(record.data)
        if batch and (size > MAX_BATCH_BYTES or len(batch) >= MAX_BATCH_RECORDS):
            break
        batch.append(record)
    return batch
