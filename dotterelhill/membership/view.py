"""Decision code of membership: who is alive, and whom to send which message.

Explanation
===========

Three sources are combined, and each may be wrong:

- Heartbeats. A process that was heard is alive as of a moment ago. Loss, delay and cuts hide
  processes that are alive; a process that died was heard until a moment ago.
- VM list. It lags: it lists VMs that are dead, lacks new ones, and can be out of reach. It gives
  addresses to send heartbeats to and names of leaving VMs, and never makes a process alive.
- Seeds of the settings. They may be outdated; they are only addresses to try.

A process is alive when it was heard within 3 s. Nothing that must be certain rests on this view:
it steers which process tries to hold a resource and where requests are forwarded.

Inside a domain every process sends to every other each second. Between domains only two delegates
of each domain do, each 2 s, with a summary of their domain's processes, and they pass the summaries
of other domains on to their own. The age of what a summary tells is added up on the way (at most 1
s to the delegate, 2 s between domains and 1 s inside the domain), so that processes of other
domains count as alive for 7 s.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

from dotterelhill.core import entry_name_of
from dotterelhill.membership.heartbeats import Heartbeat, PeerSummary
from dotterelhill.membership.interface import Peer
from dotterelhill.membership.vm_list import Vm, VmRole, VmState

ALIVE_SECONDS = 3.0
# 3 s plus the three hops of a summary: 1 s + 2 s + 1 s.
OTHER_DOMAIN_ALIVE_SECONDS = 7.0
FORGET_SECONDS = 60.0
HEARTBEAT_SECONDS = 1.0
# Every how many ticks of 1 s delegates send to other domains.
TICKS_BETWEEN_DOMAINS = 2
DELEGATES = 2
# A relayed manifest takes well under this; without the pause each heartbeat would repeat it.
RELAY_PAUSE_SECONDS = 2.0
# Processes of the domain that send a newer manifest to the same lagging peer at first; all do when
# it still lags after the pause.
RELAYING_PEERS = 2
# Without evidence of the log for this long, records are asked of peers.
CUT_OFF_SECONDS = 3.0
RECORDS_PAUSE_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class OwnState:
    """What this process tells about itself and decides by.

    :param config_age: seconds since the newest evidence of ``config``; infinity for none
    :param control_age: seconds since the newest evidence of ``control``
    :param control_through: offset up to which that evidence reaches
    """

    is_ready: bool = False
    manifest_version: int = 0
    control_offset: int = 0
    control_through: int = 0
    config_age: float = float("inf")
    control_age: float = float("inf")
    free_slots: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Tick:
    """One second has passed."""

    own: OwnState


@dataclass(frozen=True, slots=True)
class HeartbeatHeard:
    """A heartbeat arrived."""

    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class VmListRead:
    """The VM list gave a new answer."""

    vms: tuple[Vm, ...]


MembershipEvent = Tick | HeartbeatHeard | VmListRead


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Send this process's state to an address.

    :param receiver: incarnation last heard from the address; empty when unknown
    :param echo: newest stamp heard from the receiver
    """

    address: str
    receiver: str
    echo: float
    summary: tuple[PeerSummary, ...]


@dataclass(frozen=True, slots=True)
class RelayManifest:
    """Send the manifest in force to a peer with a lower version."""

    address: str


@dataclass(frozen=True, slots=True)
class AskForRecords:
    """Ask a peer for ``control`` records from ``start`` on."""

    address: str
    start: int


@dataclass(frozen=True, slots=True)
class LiveChanged:
    """The live incarnations of the own domain, this one included, changed."""

    incarnations: frozenset[str]


MembershipAction = SendHeartbeat | RelayManifest | AskForRecords | LiveChanged


@dataclass(frozen=True, slots=True)
class _Known:
    """What is known about one process; ``heard_at`` is lower for a summary by its age."""

    summary: PeerSummary
    heard_at: float
    stamp: float = 0.0
    is_direct: bool = False


def rendezvous_order(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates by descending rendezvous score for ``key``.

    >>> rendezvous_order("caxias", ["a", "b", "c"]) == rendezvous_order("caxias", ["c", "a", "b"])
    True
    """
    return sorted(candidates, key=lambda name: (_score(key, name), name), reverse=True)


def _score(key: str, name: str) -> bytes:
    return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


class MembershipDecision:
    """Decision code of membership; see the module's explanation.

    :param incarnation: id of this process
    :param peer_address: own peer address, to which no heartbeat is sent
    :param seeds: peer addresses of the own domain to try besides the VM list
    """

    def __init__(
        self,
        incarnation: str,
        failure_domain: str,
        region: str,
        peer_address: str,
        forward_address: str,
        seeds: Iterable[str] = (),
    ) -> None:
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._region = region
        self._peer_address = peer_address
        self._forward_address = forward_address
        self._seeds = tuple(seeds)
        self._vms: tuple[Vm, ...] = ()
        self._known: dict[str, _Known] = {}
        self._own = OwnState()
        self._live: frozenset[str] = frozenset()
        self._ticks = 0
        self._relayed_at: dict[str, float] = {}
        self._lagging_since: dict[str, float] = {}
        self._asked_at = float("-inf")

    @property
    def incarnation(self) -> str:
        """Return this process's incarnation id."""
        return self._incarnation

    @property
    def vms(self) -> tuple[Vm, ...]:
        """Return the listed VMs as last read."""
        return self._vms

    def live_peers(self, now: float) -> tuple[Peer, ...]:
        """Return the peers that count as alive; see the module's explanation."""
        return tuple(
            Peer(
                name,
                known.summary.failure_domain,
                known.summary.region,
                known.summary.forward_address,
                known.summary.is_ready,
                known.heard_at,
                known.summary.free_slots,
            )
            for name, known in self._known.items()
            if self._is_alive(known, now)
        )

    def addresses_outside(self, now: float) -> tuple[str, ...]:
        """Return the peer addresses of live processes in other failure domains.

        They may reach the log when the own domain can't.
        """
        return tuple(
            known.summary.peer_address
            for known in self._known.values()
            if known.summary.failure_domain != self._failure_domain and self._is_alive(known, now)
        )

    def live_in_domain(self, now: float) -> frozenset[str]:
        """Return the live incarnations of the own domain, this one included."""
        return frozenset(self._live_of(self._failure_domain, now))

    def leaving_vms(self) -> frozenset[str]:
        """Return the names that the VM list marks as leaving."""
        return frozenset(vm.name for vm in self._vms if vm.state is VmState.LEAVING)

    def decide(self, event: MembershipEvent, now: float) -> list[MembershipAction]:
        """Return the actions that ``event`` calls for."""
        match event:
            case VmListRead(vms):
                self._vms = vms
                return []
            case HeartbeatHeard(heartbeat):
                return self._on_heartbeat(heartbeat, now)
            case Tick(own):
                self._own = own
                return self._on_tick(now)

    def _is_alive(self, known: _Known, now: float) -> bool:
        is_near = known.summary.failure_domain == self._failure_domain
        limit = ALIVE_SECONDS if is_near else OTHER_DOMAIN_ALIVE_SECONDS
        return now - known.heard_at <= limit

    def _live_of(self, failure_domain: str, now: float) -> list[str]:
        names = [
            name
            for name, known in self._known.items()
            if known.summary.failure_domain == failure_domain and self._is_alive(known, now)
        ]
        if failure_domain == self._failure_domain:
            names.append(self._incarnation)
        return names

    def _on_heartbeat(self, heartbeat: Heartbeat, now: float) -> list[MembershipAction]:
        if heartbeat.sender == self._incarnation:
            return []
        before = self._known.get(heartbeat.sender)
        # Messages of one connection are in order, those of an old and a new one need not be.
        if before is not None and before.is_direct and heartbeat.stamp <= before.stamp:
            return []
        known = _Known(_summary_of(heartbeat), now, heartbeat.stamp, is_direct=True)
        self._known[heartbeat.sender] = known
        self._forget_older_starts(heartbeat.sender, now)
        for summary in heartbeat.summary:
            self._learn(summary, heartbeat.failure_domain, now)
        actions = self._live_changes(now)
        if self._has_to_relay(heartbeat, now):
            self._relayed_at[heartbeat.peer_address] = now
            actions.append(RelayManifest(heartbeat.peer_address))
        if self._has_to_ask(heartbeat, now):
            self._asked_at = now
            actions.append(AskForRecords(heartbeat.peer_address, self._own.control_offset + 1))
        return actions

    def _learn(self, summary: PeerSummary, told_by_domain: str, now: float) -> None:
        # Processes of the own domain are only believed when heard directly.
        if summary.failure_domain == self._failure_domain:
            return
        known = self._known.get(summary.incarnation)
        heard_at = now - max(0.0, summary.age)
        if known is not None and known.heard_at >= heard_at:
            return
        stamp = known.stamp if known is not None else 0.0
        self._known[summary.incarnation] = _Known(summary, heard_at, stamp)

    def _forget_older_starts(self, incarnation: str, now: float) -> None:
        # One process at a time has a VM's addresses, so an older start of the entry is gone.
        entry = entry_name_of(incarnation)
        for name, known in list(self._known.items()):
            if name != incarnation and entry_name_of(name) == entry and known.heard_at < now:
                del self._known[name]

    def _has_to_relay(self, heartbeat: Heartbeat, now: float) -> bool:
        if heartbeat.manifest_version >= self._own.manifest_version:
            self._lagging_since.pop(heartbeat.peer_address, None)
            return False
        lagging_since = self._lagging_since.setdefault(heartbeat.peer_address, now)
        if now - self._relayed_at.get(heartbeat.peer_address, float("-inf")) < RELAY_PAUSE_SECONDS:
            return False
        if heartbeat.failure_domain != self._failure_domain:
            return True
        if now - lagging_since >= RELAY_PAUSE_SECONDS:
            # The preferred senders may be cut off from the lagging peer.
            return True
        able = [self._incarnation]
        for name in self._live_of(self._failure_domain, now):
            known = self._known.get(name)
            if known is None or name == heartbeat.sender:
                continue
            if known.summary.manifest_version >= self._own.manifest_version:
                able.append(name)
        return self._incarnation in rendezvous_order(heartbeat.sender, able)[:RELAYING_PEERS]

    def _has_to_ask(self, heartbeat: Heartbeat, now: float) -> bool:
        return (
            self._own.control_age > CUT_OFF_SECONDS
            and heartbeat.control_offset > self._own.control_offset
            and now - self._asked_at >= RECORDS_PAUSE_SECONDS
        )

    def _on_tick(self, now: float) -> list[MembershipAction]:
        self._ticks += 1
        for name, known in list(self._known.items()):
            if now - known.heard_at > FORGET_SECONDS:
                del self._known[name]
        addresses = {known.summary.peer_address for known in self._known.values()}
        for times in (self._relayed_at, self._lagging_since):
            for address in times.keys() - addresses:
                del times[address]
        actions = self._live_changes(now)
        actions += self._heartbeats_inside(now)
        if self._ticks % TICKS_BETWEEN_DOMAINS == 0 and self._is_delegate(now):
            actions += self._heartbeats_between(now)
        return actions

    def _live_changes(self, now: float) -> list[MembershipAction]:
        live = self.live_in_domain(now)
        if live == self._live:
            return []
        self._live = live
        return [LiveChanged(live)]

    def _is_delegate(self, now: float) -> bool:
        order = rendezvous_order(self._failure_domain, self._live_of(self._failure_domain, now))
        return self._incarnation in order[:DELEGATES]

    def _heartbeats_inside(self, now: float) -> list[MembershipAction]:
        addresses = {
            vm.address
            for vm in self._vms
            if vm.role is VmRole.ENTRY and vm.failure_domain == self._failure_domain
        }
        addresses.update(self._seeds)
        for known in self._known.values():
            if known.summary.failure_domain == self._failure_domain:
                addresses.add(known.summary.peer_address)
        summary: tuple[PeerSummary, ...] = ()
        if self._is_delegate(now):
            summary = self._summaries(now, is_own_domain=False)
        return [self._heartbeat_to(address, summary) for address in self._without_own(addresses)]

    def _heartbeats_between(self, now: float) -> list[MembershipAction]:
        summary = self._summaries(now, is_own_domain=True)
        addresses: list[str] = []
        for failure_domain in self._other_domains():
            live = self._live_of(failure_domain, now)
            delegates = rendezvous_order(failure_domain, live)[:DELEGATES]
            addresses += [self._known[name].summary.peer_address for name in delegates]
            if len(delegates) < DELEGATES:
                addresses += self._listed_in_turn(failure_domain, DELEGATES - len(delegates))
        return [self._heartbeat_to(address, summary) for address in self._without_own(addresses)]

    def _other_domains(self) -> list[str]:
        names = {vm.failure_domain for vm in self._vms if vm.role is VmRole.ENTRY}
        names.update(known.summary.failure_domain for known in self._known.values())
        return sorted(names - {self._failure_domain})

    def _listed_in_turn(self, failure_domain: str, count: int) -> list[str]:
        # Listed VMs may be dead, so different ones are tried until some are heard.
        listed = sorted(
            vm.address
            for vm in self._vms
            if vm.role is VmRole.ENTRY and vm.failure_domain == failure_domain
        )
        start = self._ticks // TICKS_BETWEEN_DOMAINS
        return [listed[(start + index) % len(listed)] for index in range(min(count, len(listed)))]

    def _without_own(self, addresses: Iterable[str]) -> list[str]:
        return sorted(set(addresses) - {self._peer_address, ""})

    def _heartbeat_to(self, address: str, summary: tuple[PeerSummary, ...]) -> SendHeartbeat:
        receiver, newest = "", None
        for name, known in self._known.items():
            if known.summary.peer_address != address or not known.is_direct:
                continue
            if newest is None or known.heard_at > newest.heard_at:
                receiver, newest = name, known
        return SendHeartbeat(address, receiver, newest.stamp if newest else 0.0, summary)

    def _summaries(self, now: float, *, is_own_domain: bool) -> tuple[PeerSummary, ...]:
        summaries = []
        for known in self._known.values():
            if (known.summary.failure_domain == self._failure_domain) != is_own_domain:
                continue
            if self._is_alive(known, now):
                summaries.append(_with_age(known.summary, now - known.heard_at))
        return tuple(summaries)


def _summary_of(heartbeat: Heartbeat) -> PeerSummary:
    return PeerSummary(
        incarnation=heartbeat.sender,
        failure_domain=heartbeat.failure_domain,
        region=heartbeat.region,
        peer_address=heartbeat.peer_address,
        forward_address=heartbeat.forward_address,
        is_ready=heartbeat.is_ready,
        manifest_version=heartbeat.manifest_version,
        control_offset=heartbeat.control_offset,
        age=0.0,
        free_slots=heartbeat.free_slots,
    )


def _with_age(summary: PeerSummary, age: float) -> PeerSummary:
    return PeerSummary(
        incarnation=summary.incarnation,
        failure_domain=summary.failure_domain,
        region=summary.region,
        peer_address=summary.peer_address,
        forward_address=summary.forward_address,
        is_ready=summary.is_ready,
        manifest_version=summary.manifest_version,
        control_offset=summary.control_offset,
        age=age,
        free_slots=summary.free_slots,
    )
