"""Decision code of membership: failure detection and selection of message recipients.

Explanation
===========

The view combines three sources, each of which may be wrong:

- Heartbeats. A received heartbeat shows that its sender was alive a moment ago. Message loss,
  delay and network partitions hide live processes, and a process that has just died still counts
  as alive for a while.
- VM list. It lags behind the actual state: it contains dead VMs, lacks new ones, and can be
  unreachable. It supplies addresses for heartbeats and names of leaving VMs. A listed process
  does not count as alive until a heartbeat or a summary reports it.
- Seed addresses in the settings. They may be outdated and serve only as additional addresses to
  try.

A process counts as alive for 3 s after its last heartbeat. Safety does not depend on this view: it
only influences which process tries to hold a resource and where requests are forwarded.

Within a failure domain every process sends a heartbeat to every other one each second. Between
domains only two delegates of each domain send heartbeats, every 2 s, with a summary of the
processes of their domain; they include the summaries of other domains in the heartbeats within
their own domain. The age of the data in a summary accumulates over the hops (at most 1 s to the
delegate, 2 s between domains and 1 s within the domain), so processes of other domains count as
alive for 7 s.
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
PEER_RETENTION_SECONDS = 60.0
HEARTBEAT_SECONDS = 1.0
# Delegates send to other domains once in this many ticks of 1 s.
INTER_DOMAIN_HEARTBEAT_TICKS = 2
DELEGATES_PER_DOMAIN = 2
# Relaying a manifest takes much less time than this. Without the interval, each heartbeat of a
# lagging peer would trigger another relay.
RELAY_INTERVAL_SECONDS = 2.0
# Number of processes of the domain that relay a newer manifest to a lagging peer at first. All
# processes relay it if the peer still lags after RELAY_INTERVAL_SECONDS.
MANIFEST_RELAYERS = 2
# Age of the evidence of the log after which records are requested from peers.
LOG_CUT_OFF_SECONDS = 3.0
RECORDS_REQUEST_INTERVAL_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class OwnState:
    """State of this process, which heartbeats report and decisions use.

    :param is_ready: whether this process accepts forwarded requests
    :param control_offset: offset up to which this process has folded ``control``
    :param control_through: offset up to which the evidence of ``control`` reaches
    :param config_age: seconds since the newest evidence of ``config``; infinity for none
    :param control_age: seconds since the newest evidence of ``control``; infinity for none
    :param free_slots: free slots by service name
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
    """Event: one second has passed.

    :param own: current state of this process
    """

    own: OwnState


@dataclass(frozen=True, slots=True)
class HeartbeatHeard:
    """Event: a heartbeat was received."""

    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class VmListRead:
    """Event: a changed VM list was read."""

    vms: tuple[Vm, ...]


MembershipEvent = Tick | HeartbeatHeard | VmListRead


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Action: send the state of this process to an address.

    :param receiver: incarnation that last sent a heartbeat from the address; empty when unknown
    :param echo: newest stamp received from the receiver; 0 for none
    :param summary: states of other processes to include
    """

    address: str
    receiver: str
    echo: float
    summary: tuple[PeerSummary, ...]


@dataclass(frozen=True, slots=True)
class RelayManifest:
    """Action: send the manifest in force to a peer that has a lower version."""

    address: str


@dataclass(frozen=True, slots=True)
class AskForRecords:
    """Action: request ``control`` records from offset ``start`` on from a peer."""

    address: str
    start: int


@dataclass(frozen=True, slots=True)
class LiveChanged:
    """Action: report a changed set of live incarnations of the own domain.

    :param incarnations: live incarnations, including this process
    """

    incarnations: frozenset[str]


MembershipAction = SendHeartbeat | RelayManifest | AskForRecords | LiveChanged


@dataclass(frozen=True, slots=True)
class _PeerRecord:
    """Last known state of one process.

    :param heard_at: loop time at which the state was current; for a state from a summary, the
        time of receipt minus the age
    :param stamp: stamp of the newest heartbeat; 0 for none
    :param is_direct: whether the state comes from a heartbeat instead of a summary
    """

    summary: PeerSummary
    heard_at: float
    stamp: float = 0.0
    is_direct: bool = False


def rendezvous_order(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates in descending order of their rendezvous hash for ``key``.

    >>> rendezvous_order("caxias", ["a", "b", "c"]) == rendezvous_order("caxias", ["c", "a", "b"])
    True
    """
    return sorted(candidates, key=lambda name: (_score(key, name), name), reverse=True)


def _score(key: str, name: str) -> bytes:
    return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


class MembershipDecision:
    """Tracks live peers and decides which messages to send; see the module docstring.

    :param incarnation: incarnation id of this process
    :param peer_address: own peer address, which is excluded from the recipients of heartbeats
    :param seeds: peer addresses of the own domain to try in addition to the VM list
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
        self._peers: dict[str, _PeerRecord] = {}
        self._own = OwnState()
        self._live: frozenset[str] = frozenset()
        self._ticks = 0
        self._relayed_at: dict[str, float] = {}
        self._lagging_since: dict[str, float] = {}
        self._records_requested_at = float("-inf")

    @property
    def incarnation(self) -> str:
        """Return the incarnation id of this process."""
        return self._incarnation

    @property
    def vms(self) -> tuple[Vm, ...]:
        """Return the VMs of the last VM list that was read."""
        return self._vms

    def live_peers(self, now: float) -> tuple[Peer, ...]:
        """Return the peers that count as alive: 3 s in the own domain, 7 s in others."""
        return tuple(
            Peer(
                name,
                peer.summary.failure_domain,
                peer.summary.region,
                peer.summary.forward_address,
                peer.summary.is_ready,
                peer.heard_at,
                peer.summary.free_slots,
            )
            for name, peer in self._peers.items()
            if self._is_alive(peer, now)
        )

    def address_of(self, incarnation: str) -> str:
        """Return the peer address of an incarnation; empty when the incarnation is unknown."""
        peer = self._peers.get(incarnation)
        return peer.summary.peer_address if peer else ""

    def addresses_in_other_domains(self, now: float) -> tuple[str, ...]:
        """Return the peer addresses of live processes in other failure domains.

        Those processes may be able to reach the log when the own domain is cut off from it.
        """
        return tuple(
            peer.summary.peer_address
            for peer in self._peers.values()
            if peer.summary.failure_domain != self._failure_domain and self._is_alive(peer, now)
        )

    def live_in_domain(self, now: float) -> frozenset[str]:
        """Return the live incarnations of the own domain, including this process."""
        return frozenset(self._live_incarnations(self._failure_domain, now))

    def leaving_vms(self) -> frozenset[str]:
        """Return the names of the VMs that the VM list marks as leaving."""
        return frozenset(vm.name for vm in self._vms if vm.state is VmState.LEAVING)

    def decide(self, event: MembershipEvent, now: float) -> list[MembershipAction]:
        """Process an event and return the resulting actions.

        :param now: loop time in seconds
        """
        match event:
            case VmListRead(vms):
                self._vms = vms
                return []
            case HeartbeatHeard(heartbeat):
                return self._on_heartbeat(heartbeat, now)
            case Tick(own):
                self._own = own
                return self._on_tick(now)

    def _is_alive(self, peer: _PeerRecord, now: float) -> bool:
        is_near = peer.summary.failure_domain == self._failure_domain
        limit = ALIVE_SECONDS if is_near else OTHER_DOMAIN_ALIVE_SECONDS
        return now - peer.heard_at <= limit

    def _live_incarnations(self, failure_domain: str, now: float) -> list[str]:
        names = [
            name
            for name, peer in self._peers.items()
            if peer.summary.failure_domain == failure_domain and self._is_alive(peer, now)
        ]
        if failure_domain == self._failure_domain:
            names.append(self._incarnation)
        return names

    def _on_heartbeat(self, heartbeat: Heartbeat, now: float) -> list[MembershipAction]:
        if heartbeat.sender == self._incarnation:
            return []
        previous = self._peers.get(heartbeat.sender)
        # Messages are ordered within one connection, but not across a reconnect.
        if previous is not None and previous.is_direct and heartbeat.stamp <= previous.stamp:
            return []
        peer = _PeerRecord(_summary_of(heartbeat), now, heartbeat.stamp, is_direct=True)
        self._peers[heartbeat.sender] = peer
        self._remove_earlier_incarnations(heartbeat.sender, now)
        for summary in heartbeat.summary:
            self._merge_summary(summary, heartbeat.failure_domain, now)
        actions = self._live_set_changes(now)
        if self._is_relay_due(heartbeat, now):
            self._relayed_at[heartbeat.peer_address] = now
            actions.append(RelayManifest(heartbeat.peer_address))
        if self._is_records_request_due(heartbeat, now):
            self._records_requested_at = now
            actions.append(AskForRecords(heartbeat.peer_address, self._own.control_offset + 1))
        return actions

    def _merge_summary(self, summary: PeerSummary, source_domain: str, now: float) -> None:
        # Processes of the own domain count as alive only by their own heartbeats.
        if summary.failure_domain == self._failure_domain:
            return
        peer = self._peers.get(summary.incarnation)
        heard_at = now - max(0.0, summary.age)
        if peer is not None and peer.heard_at >= heard_at:
            return
        stamp = peer.stamp if peer is not None else 0.0
        self._peers[summary.incarnation] = _PeerRecord(summary, heard_at, stamp)

    def _remove_earlier_incarnations(self, incarnation: str, now: float) -> None:
        # Only one process at a time uses the addresses of a VM, so earlier incarnations of the
        # entry process have ended.
        entry = entry_name_of(incarnation)
        for name, peer in list(self._peers.items()):
            if name != incarnation and entry_name_of(name) == entry and peer.heard_at < now:
                del self._peers[name]

    def _is_relay_due(self, heartbeat: Heartbeat, now: float) -> bool:
        if heartbeat.manifest_version >= self._own.manifest_version:
            self._lagging_since.pop(heartbeat.peer_address, None)
            return False
        lagging_since = self._lagging_since.setdefault(heartbeat.peer_address, now)
        if (
            now - self._relayed_at.get(heartbeat.peer_address, float("-inf"))
            < RELAY_INTERVAL_SECONDS
        ):
            return False
        if heartbeat.failure_domain != self._failure_domain:
            return True
        if now - lagging_since >= RELAY_INTERVAL_SECONDS:
            # The processes chosen as relayers may be unable to reach the lagging peer.
            return True
        relayers = [self._incarnation]
        for name in self._live_incarnations(self._failure_domain, now):
            peer = self._peers.get(name)
            if peer is None or name == heartbeat.sender:
                continue
            if peer.summary.manifest_version >= self._own.manifest_version:
                relayers.append(name)
        return self._incarnation in rendezvous_order(heartbeat.sender, relayers)[:MANIFEST_RELAYERS]

    def _is_records_request_due(self, heartbeat: Heartbeat, now: float) -> bool:
        return (
            self._own.control_age > LOG_CUT_OFF_SECONDS
            and heartbeat.control_offset > self._own.control_offset
            and now - self._records_requested_at >= RECORDS_REQUEST_INTERVAL_SECONDS
        )

    def _on_tick(self, now: float) -> list[MembershipAction]:
        self._ticks += 1
        for name, peer in list(self._peers.items()):
            if now - peer.heard_at > PEER_RETENTION_SECONDS:
                del self._peers[name]
        addresses = {peer.summary.peer_address for peer in self._peers.values()}
        for times in (self._relayed_at, self._lagging_since):
            for address in times.keys() - addresses:
                del times[address]
        actions = self._live_set_changes(now)
        actions += self._heartbeats_within_domain(now)
        if self._ticks % INTER_DOMAIN_HEARTBEAT_TICKS == 0 and self._is_delegate(now):
            actions += self._heartbeats_to_other_domains(now)
        return actions

    def _live_set_changes(self, now: float) -> list[MembershipAction]:
        live = self.live_in_domain(now)
        if live == self._live:
            return []
        self._live = live
        return [LiveChanged(live)]

    def _is_delegate(self, now: float) -> bool:
        order = rendezvous_order(
            self._failure_domain, self._live_incarnations(self._failure_domain, now)
        )
        return self._incarnation in order[:DELEGATES_PER_DOMAIN]

    def _heartbeats_within_domain(self, now: float) -> list[MembershipAction]:
        addresses = {
            vm.address
            for vm in self._vms
            if vm.role is VmRole.ENTRY and vm.failure_domain == self._failure_domain
        }
        addresses.update(self._seeds)
        for peer in self._peers.values():
            if peer.summary.failure_domain == self._failure_domain:
                addresses.add(peer.summary.peer_address)
        summary: tuple[PeerSummary, ...] = ()
        if self._is_delegate(now):
            summary = self._summaries(now, is_own_domain=False)
        return [self._heartbeat_to(address, summary) for address in self._exclude_own(addresses)]

    def _heartbeats_to_other_domains(self, now: float) -> list[MembershipAction]:
        summary = self._summaries(now, is_own_domain=True)
        addresses: list[str] = []
        for failure_domain in self._other_domains():
            live = self._live_incarnations(failure_domain, now)
            delegates = rendezvous_order(failure_domain, live)[:DELEGATES_PER_DOMAIN]
            addresses += [self._peers[name].summary.peer_address for name in delegates]
            if len(delegates) < DELEGATES_PER_DOMAIN:
                addresses += self._rotated_addresses(
                    failure_domain, DELEGATES_PER_DOMAIN - len(delegates)
                )
        return [self._heartbeat_to(address, summary) for address in self._exclude_own(addresses)]

    def _other_domains(self) -> list[str]:
        names = {vm.failure_domain for vm in self._vms if vm.role is VmRole.ENTRY}
        names.update(peer.summary.failure_domain for peer in self._peers.values())
        return sorted(names - {self._failure_domain})

    def _rotated_addresses(self, failure_domain: str, count: int) -> list[str]:
        # Listed VMs may be dead, so successive rounds try different addresses.
        listed = sorted(
            vm.address
            for vm in self._vms
            if vm.role is VmRole.ENTRY and vm.failure_domain == failure_domain
        )
        start = self._ticks // INTER_DOMAIN_HEARTBEAT_TICKS
        return [listed[(start + index) % len(listed)] for index in range(min(count, len(listed)))]

    def _exclude_own(self, addresses: Iterable[str]) -> list[str]:
        return sorted(set(addresses) - {self._peer_address, ""})

    def _heartbeat_to(self, address: str, summary: tuple[PeerSummary, ...]) -> SendHeartbeat:
        receiver, newest = "", None
        for name, peer in self._peers.items():
            if peer.summary.peer_address != address or not peer.is_direct:
                continue
            if newest is None or peer.heard_at > newest.heard_at:
                receiver, newest = name, peer
        return SendHeartbeat(address, receiver, newest.stamp if newest else 0.0, summary)

    def _summaries(self, now: float, *, is_own_domain: bool) -> tuple[PeerSummary, ...]:
        summaries = []
        for peer in self._peers.values():
            if (peer.summary.failure_domain == self._failure_domain) != is_own_domain:
                continue
            if self._is_alive(peer, now):
                summaries.append(_summary_with_age(peer.summary, now - peer.heard_at))
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


def _summary_with_age(summary: PeerSummary, age: float) -> PeerSummary:
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
