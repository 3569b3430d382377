"""Service that feeds events to the holdings decision code and appends the records it asks for."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

import mode
import msgspec
from logbook import Logger

from dotterelhill.holdings.decision import HoldingsDecision
from dotterelhill.holdings.events import (
    AppendHold,
    AppendJoin,
    AppendLeave,
    AppendRelease,
    DrainMinion,
    EvidenceSeen,
    Folded,
    HoldingsAction,
    HoldingsEvent,
    HoldSeen,
    JoinSeen,
    LeaveSeen,
    LedgerLoaded,
    LiveSeen,
    LoadedHolding,
    MinionDrained,
    MinionShare,
    PeerHeard,
    ReleaseSeen,
    ResourcesSeen,
    StopFinished,
    StopRequested,
    Tick,
)
from dotterelhill.holdings.interface import Permit
from dotterelhill.ledger import ControlRecord, Hold, Join, Leave, Release
from dotterelhill.manifest import Manifest, MinionState
from dotterelhill.membership.heartbeats import Heartbeat
from dotterelhill.membership.interface import PeerView

TICK_SECONDS = 0.5

log = Logger("holdings.service")


class LedgerIncarnation(Protocol):
    """A joined incarnation in the ledger."""

    @property
    def incarnation(self) -> str: ...  # noqa: D102
    @property
    def entry(self) -> str: ...  # noqa: D102
    @property
    def failure_domain(self) -> str: ...  # noqa: D102
    @property
    def joined_at(self) -> int: ...  # noqa: D102


class LedgerEnded(Protocol):
    """An ended incarnation in the ledger; ``reason`` is ``left`` or ``replaced``."""

    @property
    def reason(self) -> str: ...  # noqa: D102


class LedgerHolding(Protocol):
    """The newest holding of a resource in the ledger."""

    @property
    def holder(self) -> str: ...  # noqa: D102
    @property
    def token(self) -> int: ...  # noqa: D102
    @property
    def is_released(self) -> bool: ...  # noqa: D102
    @property
    def follows_release(self) -> bool: ...  # noqa: D102
    @property
    def previous_holder(self) -> str: ...  # noqa: D102
    @property
    def previous_token(self) -> int: ...  # noqa: D102


class LedgerView(Protocol):
    """Read access to the incarnations and holdings of the ledger."""

    @property
    def joined(self) -> Mapping[str, LedgerIncarnation]:
        """Return the joined incarnations."""
        ...

    @property
    def ended(self) -> Mapping[str, LedgerEnded]:
        """Return the most recently ended incarnations."""
        ...

    @property
    def holdings(self) -> Mapping[str, LedgerHolding]:
        """Return the newest holding of each resource, including released ones."""
        ...

    def previous_token(self, resource: str) -> int:
        """Return the token that the next ``Hold`` of a resource must name as ``previous``."""
        ...


class Appender(Protocol):
    """Batched appends to the ``control`` stream."""

    def submit(self, record: bytes) -> object:
        """Queue a record; callers learn its effect by reading the stream."""
        ...


class Holdings(mode.Service):
    """Service that holds minions and workers for this process; implements ``HoldingsView``.

    :param entry: name of this entry VM
    :param failure_domain: failure domain of this process
    :param ledger: incarnations and holdings folded so far
    :param appender: appends to ``control``
    :param peers: source of this process's incarnation and of the VMs that are leaving
    :param in_flight_count: returns the number of requests in flight at a minion, including
        abandoned ones
    :param on_drain: closes a minion's idle connections; called repeatedly until no request is in
        flight
    :param decision: decision code to use; None for a new one
    """

    def __init__(
        self,
        entry: str,
        failure_domain: str,
        ledger: LedgerView,
        appender: Appender,
        peers: PeerView,
        in_flight_count: Callable[[str], int],
        on_drain: Callable[[str], None] = lambda minion: None,
        decision: HoldingsDecision | None = None,
    ) -> None:
        super().__init__()
        self._entry = entry
        self._failure_domain = failure_domain
        self._ledger = ledger
        self._appender = appender
        self._peers = peers
        self._in_flight_count = in_flight_count
        self._on_drain = on_drain
        self._manifest: Manifest | None = None
        self._workers: frozenset[str] = frozenset()
        self._resources: ResourcesSeen | None = None
        self._leave_recorded = asyncio.Event()
        self._counts: Counter[str] = Counter()
        self._decision = decision or HoldingsDecision(peers.incarnation, entry, failure_domain)

    @property
    def folded_control_offset(self) -> int:
        """Return the offset up to which ``control`` is folded, for heartbeats."""
        return self._decision.folded_offset

    @property
    def evidence_at(self) -> float:
        """Return the loop time of the newest evidence of ``control``, read here or relayed."""
        return self._decision.evidence_at

    @property
    def is_joined(self) -> bool:
        """Return whether this process has joined and may hold resources."""
        return self._decision.is_joined

    @property
    def counts(self) -> Counter[str]:
        """Return the counters of holdings ``taken`` from and ``lost`` to another holder."""
        return self._counts

    def permit_for(self, minion: str, now: float) -> Permit:
        """Return the slots and connections of a minion that this process may use.

        :param now: event loop time in seconds
        """
        return self._decision.permit_for(minion, now)

    def holder_of(self, resource: str) -> str | None:
        """Return the incarnation that holds ``minion:NAME`` or ``worker:NAME``; None for none."""
        return self._decision.holder_of(resource)

    def worker_token(self, worker: str) -> int | None:
        """Return this process's fencing token for a worker; None if it does not hold the worker."""
        return self._decision.worker_token(worker)

    def promise_to(self, incarnation: str) -> bool:
        """Return whether a promise is made to a peer; the caller must send it at once."""
        return self._decision.promise_to(incarnation, self._now())

    def on_accepted(self, offset: int, record: ControlRecord) -> None:
        """Process a record that the ledger accepted; called in the order of the log."""
        match record:
            case Join():
                self._decide(
                    JoinSeen(offset, record.incarnation, record.entry, record.failure_domain)
                )
            case Leave():
                self._decide(LeaveSeen(record.incarnation))
            case Hold():
                self._count_hold(record)
                self._decide(HoldSeen(offset, record.resource, record.holder))
            case Release():
                self._decide(ReleaseSeen(record.resource, record.token))

    def on_folded(self, folded_offset: int) -> None:
        """Process the ledger's progress: it has folded every record up to ``folded_offset``."""
        self._decide(Folded(folded_offset))

    def on_loaded(self, folded_offset: int) -> None:
        """Replace all state by the ledger's after a snapshot up to ``folded_offset`` was loaded."""
        joined = tuple(
            JoinSeen(item.joined_at, item.incarnation, item.entry, item.failure_domain)
            for item in self._ledger.joined.values()
        )
        replaced = tuple(
            name for name, ended in self._ledger.ended.items() if ended.reason == "replaced"
        )
        holdings = tuple(
            _loaded_holding(resource, holding)
            for resource, holding in self._ledger.holdings.items()
        )
        self._decide(LedgerLoaded(folded_offset, joined, replaced, holdings))

    def on_evidence(self, sent_at: float, last_offset: int) -> None:
        """Process a successful read of ``control``.

        :param sent_at: loop time before the read was sent
        :param last_offset: offset of the last record in the log when it answered
        """
        self._decide(EvidenceSeen(sent_at, last_offset))

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Process a heartbeat of a peer."""
        self._decide(
            PeerHeard(
                heartbeat.sender,
                heartbeat.control_offset,
                heartbeat.control_through,
                heartbeat.control_age,
                heartbeat.echo,
                heartbeat.is_promise,
            )
        )

    def on_live_changed(self, incarnations: frozenset[str]) -> None:
        """Process a new set of live incarnations of this domain, including this one."""
        self._decide(LiveSeen(incarnations))

    def on_manifest(self, manifest: Manifest) -> None:
        """Process a new manifest in force."""
        self._manifest = manifest
        self._refresh_resources()

    def on_workers(self, workers: Iterable[str]) -> None:
        """Process a new set of workers that the processes of this domain must hold."""
        self._workers = frozenset(workers)
        self._refresh_resources()

    async def leave(self) -> None:
        """Drain and release all resources, append ``Leave`` and wait until it is read back."""
        self._decide(StopRequested())
        await self._leave_recorded.wait()

    @mode.Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            self._refresh_resources()
            for minion in self._decision.draining_minions:
                # Requests that ended since the last tick left idle connections open.
                self._on_drain(minion)
                if self._in_flight_count(minion) == 0:
                    self._decide(MinionDrained(minion))
            self._decide(Tick())
            await self.sleep(TICK_SECONDS)

    def _count_hold(self, record: Hold) -> None:
        previous_holder = self._decision.holder_of(record.resource)
        if previous_holder is None or previous_holder == record.holder:
            return
        if record.holder == self._peers.incarnation:
            self._counts["taken"] += 1
        elif previous_holder == self._peers.incarnation:
            self._counts["lost"] += 1

    def _refresh_resources(self) -> None:
        if self._manifest is None:
            return
        leaving = self._peers.leaving_vms()
        minions = {
            name: MinionShare(
                Permit(minion.slots, minion.connections),
                is_leaving=minion.state is MinionState.LEAVING or name in leaving,
            )
            for service in self._manifest.services.values()
            for name, minion in service.minions.items()
            if minion.failure_domain == self._failure_domain
        }
        resources = ResourcesSeen(minions, self._workers, self._manifest.autonomy_seconds)
        if resources == self._resources:
            return
        self._resources = resources
        self._decide(resources)

    def _decide(self, event: HoldingsEvent) -> None:
        for action in self._decision.decide(event, self._now()):
            self._perform(action)

    def _perform(self, action: HoldingsAction) -> None:
        incarnation = self._peers.incarnation
        match action:
            case AppendJoin():
                self._submit(
                    Join(
                        incarnation=incarnation,
                        entry=self._entry,
                        failure_domain=self._failure_domain,
                    )
                )
            case AppendHold(resource):
                previous = self._ledger.previous_token(resource)
                self._submit(Hold(resource=resource, holder=incarnation, previous=previous))
            case AppendRelease(resource, token):
                self._submit(Release(resource=resource, token=token))
            case AppendLeave():
                self._submit(Leave(incarnation=incarnation))
            case DrainMinion(minion):
                self._on_drain(minion)
            case StopFinished():
                log.info("left: all holdings are released and Leave was read back from the log")
                self._leave_recorded.set()

    def _submit(self, record: ControlRecord) -> None:
        self._appender.submit(msgspec.msgpack.encode(record))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _loaded_holding(resource: str, holding: LedgerHolding) -> LoadedHolding:
    is_followed = not holding.follows_release
    return LoadedHolding(
        resource,
        holding.holder,
        holding.token,
        holding.is_released,
        holding.previous_holder if is_followed else "",
        holding.previous_token if is_followed else 0,
    )
