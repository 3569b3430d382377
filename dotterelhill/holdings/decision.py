"""Decision code of holdings: takes, uses and releases minions and workers.

Section 3.4 of docs/design.md describes the protocol.

Why no minion is used beyond its size
=====================================

Let P hold a resource with token h, and let s be the offset of a ``Hold`` that supersedes h. Z is
the new holder; it read s at its local time r, after s was appended.

1. P dispatches while its evidence is at most 10 s old. A read that is sent after s was appended
   shows s, and P uses evidence only after it has folded every record that the evidence showed. So
   P's newest evidence that does not show s is older than r, and P stops by r + 10 s.
2. Without evidence P dispatches beyond its base share only with promises that are at most 10 s old
   from every joined incarnation of its domain. The age of a promise is counted from the timestamp
   that the sender echoed. P took that timestamp before the promise was sent, so a network delay
   only shortens the promise. P uses a promise only after it has folded every record that the
   sender had folded. If Z promised after r, P would have to fold s first. So the last promise of Z
   that P can use was sent before r, and P stops by r + 10 s.
3. Point 2 requires that P has folded the ``Join`` of Z: P needs no promise from a process that
   joins while P is cut off from the log. Z therefore starts its wait only when P is certain to have
   folded that ``Join``: P's token is above it, or P's heartbeat showed an offset at or above it.
   Until then Z uses nothing, and it appends no ``Hold`` on P's resources.
4. A request ends at most 30 s after its dispatch. Z waits 40 s plus clock drift from r, or from the
   time of point 3 if that is later. By then every request that P dispatched beyond its base share
   has ended.
5. P stops using its base share when it has left, when it has been replaced (a newer start owns the
   ports of its VM, so P no longer runs), when its heartbeat shows that it has folded s, or when
   ``autonomy_seconds`` have passed since its last evidence. Z leaves the base share of each such
   predecessor unused until then, plus 30 s for requests in flight. P appends ``Release`` only when
   nothing is in flight.
6. Points 1 to 5 apply to each predecessor separately, and Z subtracts the base shares of all of
   them. A holder that is limited to its own base share uses the minimum of that share and the
   remainder, so the total use over a chain of takeovers does not exceed the minion's size.

A process also appends no ``Hold`` while its promise to the holder is valid; it counts the promise
longer by the clock drift. This prevents takeovers during a log outage. The bound above does not
depend on it.

Limits: no other process can stop one that is paused between the check of its permit and the write
of a request, or one that is paused with open connections. After a start from a snapshot, only the
predecessors named in the snapshot are known.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from dotterelhill.core import safe_wait_seconds
from dotterelhill.holdings.authority import PROMISE_SECONDS, Authority
from dotterelhill.holdings.balance import preferred_holders
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
from dotterelhill.holdings.interface import NO_PERMIT, Permit
from dotterelhill.holdings.reservation import (
    Predecessor,
    base_share,
    smaller_permit,
    unreserved_permit,
)

MINION_PREFIX = "minion:"
WORKER_PREFIX = "worker:"
# Time for which a holder must be missing from the live view before its resources are taken over.
# The live view itself removes a peer after 3 s of silence.
TAKEOVER_AFTER_SECONDS = 2.0
# Two processes that reach the log but not each other would take a resource from each other without
# end. The minimum time between takeovers therefore doubles with each one.
TAKEOVER_BACKOFF_SECONDS = 60.0
MAX_TAKEOVER_BACKOFF_SECONDS = 960.0
# Promises go only to peers whose evidence is older than this. Promises to other peers would delay
# each takeover by the 10 s of a promise in normal operation.
PROMISE_EVIDENCE_AGE_SECONDS = 4.0
# Records are appended only while the evidence is at most this old, so that the append queue does
# not fill up during a log outage. The evidence of a log that answers after 5 s is up to 10 s old.
APPEND_EVIDENCE_SECONDS = 10.0
# Replaced incarnations are kept this long because their requests may still be in flight.
REPLACED_RETENTION_SECONDS = 3600.0
# A record that was not read back by then is appended again; the log orders the two copies and only
# the first one is accepted.
APPEND_RETRY_SECONDS = 5.0
# Processes that start together join within this time. Without it the first one would hold every
# resource.
HOLD_AFTER_JOIN_SECONDS = 3.0
# A resource moves to a new preferred holder only after the live view was unchanged for this long.
REBALANCE_AFTER_SECONDS = 10.0


@dataclass(slots=True)
class _Resource:
    """Newest holding of a resource and the earlier holders that may still use it.

    :param held_at: loop time at which the newest ``Hold`` was read
    :param takeovers: number of takeovers since the last release
    """

    holder: str = ""
    token: int = 0
    is_released: bool = True
    held_at: float = float("-inf")
    takeovers: int = 0
    predecessors: dict[str, Predecessor] = field(default_factory=dict)


@dataclass(slots=True)
class _Drain:
    """Drain of a resource that this process holds.

    :param token: fencing token of the holding
    :param is_empty: whether no request is in flight
    :param released_at: loop time of the last append of ``Release``; None before the first
    """

    token: int
    is_empty: bool
    released_at: float | None = None


def _takeover_backoff_seconds(takeovers: int) -> float:
    """Return the minimum duration of a holding after ``takeovers`` without a release, in seconds.

    >>> [_takeover_backoff_seconds(count) for count in (0, 1, 2, 9)]
    [0.0, 60.0, 120.0, 960.0]
    """
    if not takeovers:
        return 0.0
    return min(
        TAKEOVER_BACKOFF_SECONDS * 2.0 ** min(takeovers - 1, 10), MAX_TAKEOVER_BACKOFF_SECONDS
    )


class HoldingsDecision:
    """State machine that decides on joins, holds, releases and permits; the module explains it.

    :param incarnation: incarnation id of this process
    :param entry: name of this entry VM
    :param failure_domain: failure domain of this process
    """

    def __init__(self, incarnation: str, entry: str, failure_domain: str) -> None:
        self._incarnation = incarnation
        self._entry = entry
        self._failure_domain = failure_domain
        self._authority = Authority()
        self._joined: dict[str, JoinSeen] = {}
        self._replaced_at: dict[str, float] = {}
        self._resources: dict[str, _Resource] = {}
        self._minions: Mapping[str, MinionShare] = {}
        self._largest_sizes: dict[str, Permit] = {}
        self._workers: frozenset[str] = frozenset()
        self._autonomy_seconds = 0.0
        self._earlier_autonomy: list[tuple[float, float]] = []
        self._live: frozenset[str] = frozenset({incarnation})
        self._live_changed_at = float("-inf")
        self._missing_since: dict[str, float] = {}
        self._own_join_read_at: dict[str, float] = {}
        self._evidence_ages: dict[str, float] = {}
        self._promised_until: dict[str, float] = {}
        self._preferred_holders: dict[str, str] = {}
        self._drains: dict[str, _Drain] = {}
        self._appended_at: dict[str, float] = {}
        self._joined_at = float("inf")
        self._is_stopping = False
        self._has_left = False

    @property
    def folded_offset(self) -> int:
        """Return the offset up to which this process has folded ``control``."""
        return self._authority.folded_offset

    @property
    def evidence_at(self) -> float:
        """Return the loop time of the newest usable evidence of ``control``."""
        return self._authority.evidence_at

    @property
    def is_joined(self) -> bool:
        """Return whether this process has joined and may hold resources."""
        return self._incarnation in self._joined

    @property
    def draining_minions(self) -> tuple[str, ...]:
        """Return the minions that are being drained and are not empty yet."""
        return tuple(
            resource.removeprefix(MINION_PREFIX)
            for resource, drain in self._drains.items()
            if not drain.is_empty
        )

    def holder_of(self, resource: str) -> str | None:
        """Return the incarnation that holds a resource; None for none."""
        state = self._resources.get(resource)
        return state.holder if state is not None and not state.is_released else None

    def worker_token(self, worker: str) -> int | None:
        """Return this process's fencing token for a worker; None if it does not hold the worker."""
        resource = WORKER_PREFIX + worker
        if not self._is_held_here(resource) or resource in self._drains:
            return None
        return self._resources[resource].token

    def permit_for(self, minion: str, now: float) -> Permit:
        """Return the slots and connections of a minion that this process may use.

        :param now: event loop time in seconds
        """
        resource = MINION_PREFIX + minion
        minion_share = self._minions.get(minion)
        if minion_share is None or minion_share.is_leaving or self._is_stopping:
            return NO_PERMIT
        if not self._is_held_here(resource) or resource in self._drains:
            return NO_PERMIT
        if not self._authority.has_evidence(now, self._autonomy_seconds):
            return NO_PERMIT
        remaining = unreserved_permit(
            minion_share.whole,
            self._largest_sizes[minion],
            self._resources[resource].predecessors.values(),
            now,
            self._longest_autonomy(now),
        )
        if self._has_full_authority(now):
            return remaining
        return smaller_permit(remaining, base_share(minion_share.whole))

    def promise_to(self, incarnation: str, now: float) -> bool:
        """Return whether a promise is made to an incarnation, and record it.

        The promise is not to append a ``Hold`` on the incarnation's resources.
        """
        joined = self._joined.get(incarnation)
        if joined is None or joined.failure_domain != self._failure_domain:
            return False
        # Promises to a silent peer would delay the takeover until it is heard again.
        if incarnation not in self._live:
            return False
        if self._evidence_ages.get(incarnation, 0.0) <= PROMISE_EVIDENCE_AGE_SECONDS:
            return False
        self._promised_until[incarnation] = now + safe_wait_seconds(PROMISE_SECONDS)
        return True

    def decide(self, event: HoldingsEvent, now: float) -> list[HoldingsAction]:
        """Process an event and return the actions to perform.

        :param now: event loop time in seconds
        """
        match event:
            case JoinSeen() | LeaveSeen() | HoldSeen() | ReleaseSeen() | LedgerLoaded():
                return self._on_ledger(event, now)
            case Folded(through):
                self._authority.set_folded_offset(through)
            case EvidenceSeen(at, through):
                self._authority.add_evidence(at, through)
            case PeerHeard():
                self._on_peer(event, now)
            case LiveSeen(incarnations):
                self._on_live(incarnations, now)
                return self._next_actions(now)
            case ResourcesSeen():
                self._on_resources(event, now)
                return self._next_actions(now)
            case MinionDrained(minion):
                drain = self._drains.get(MINION_PREFIX + minion)
                if drain is not None:
                    drain.is_empty = True
                return self._next_actions(now)
            case StopRequested():
                self._is_stopping = True
                return self._next_actions(now)
            case Tick():
                return self._next_actions(now)
        return []

    def _is_held_here(self, resource: str) -> bool:
        return self.is_joined and self.holder_of(resource) == self._incarnation

    def _has_full_authority(self, now: float) -> bool:
        if self._authority.has_evidence(now):
            return True
        others = [
            incarnation
            for incarnation, joined in self._joined.items()
            if incarnation != self._incarnation and joined.failure_domain == self._failure_domain
        ]
        return self._authority.has_promises_of(others, now)

    def _longest_autonomy(self, now: float) -> float:
        # A holder that is cut off from the log may use the autonomy of an earlier manifest.
        earlier = [
            seconds
            for seconds, replaced_at in self._earlier_autonomy
            if now < replaced_at + safe_wait_seconds(seconds)
        ]
        return max([self._autonomy_seconds, *earlier])

    def _on_ledger(
        self, event: JoinSeen | LeaveSeen | HoldSeen | ReleaseSeen | LedgerLoaded, now: float
    ) -> list[HoldingsAction]:
        match event:
            case JoinSeen():
                self._on_join(event, now)
            case LeaveSeen(incarnation):
                return self._on_leave(incarnation, now)
            case HoldSeen():
                return self._on_hold(event, now)
            case ReleaseSeen(resource, token):
                state = self._resources.get(resource)
                if state is not None and state.token == token:
                    state.is_released = True
                    self._drains.pop(resource, None)
            case LedgerLoaded():
                self._on_loaded(event, now)
        return []

    def _on_join(self, event: JoinSeen, now: float) -> None:
        for incarnation, joined in list(self._joined.items()):
            if joined.entry == event.entry:
                self._mark_replaced(incarnation, now)
        self._joined[event.incarnation] = event
        if event.incarnation == self._incarnation:
            self._joined_at = now
        self._update_preferred_holders()

    def _mark_replaced(self, incarnation: str, now: float) -> None:
        self._remove_incarnation(incarnation)
        oldest = now - REPLACED_RETENTION_SECONDS
        self._replaced_at = {ended: at for ended, at in self._replaced_at.items() if at > oldest}
        self._replaced_at[incarnation] = now
        for state in self._resources.values():
            predecessor = state.predecessors.get(incarnation)
            if predecessor is not None:
                state.predecessors[incarnation] = replace(predecessor, replaced_at=now)

    def _remove_incarnation(self, incarnation: str) -> None:
        self._joined.pop(incarnation, None)
        self._authority.remove_promise(incarnation)
        for times in (
            self._own_join_read_at,
            self._evidence_ages,
            self._promised_until,
            self._missing_since,
        ):
            times.pop(incarnation, None)

    def _on_leave(self, incarnation: str, now: float) -> list[HoldingsAction]:
        self._remove_incarnation(incarnation)
        for resource, state in self._resources.items():
            predecessor = state.predecessors.get(incarnation)
            if predecessor is not None and predecessor.hold_read_at is None:
                # It drained only the resources that it held when it left, not this earlier holding.
                state.predecessors[incarnation] = replace(predecessor, hold_read_at=now)
            if state.holder == incarnation:
                state.is_released = True
                self._drains.pop(resource, None)
        self._update_preferred_holders()
        if incarnation != self._incarnation or self._has_left:
            return []
        self._has_left = True
        return [StopFinished()]

    def _on_hold(self, event: HoldSeen, now: float) -> list[HoldingsAction]:
        state = self._resources.setdefault(event.resource, _Resource())
        self._appended_at.pop(event.resource, None)
        self._drains.pop(event.resource, None)
        is_lost = self._is_held_here(event.resource) and event.holder != self._incarnation
        # The new holder is not its own predecessor: it already counts its own requests in flight.
        if state.is_released:
            state.takeovers = 0
        elif state.holder != event.holder:
            state.takeovers += 1
            self._add_predecessor(state, state.holder, state.token, event.offset, now)
        state.predecessors.pop(event.holder, None)
        state.holder, state.token, state.is_released = event.holder, event.offset, False
        state.held_at = now
        if is_lost and event.resource.startswith(MINION_PREFIX):
            return [DrainMinion(event.resource.removeprefix(MINION_PREFIX))]
        return []

    def _add_predecessor(
        self, state: _Resource, holder: str, token: int, superseded_by: int, now: float
    ) -> None:
        replaced_at = self._replaced_at.get(holder)
        if replaced_at is None and holder not in self._joined:
            replaced_at = now
        state.predecessors[holder] = Predecessor(
            incarnation=holder,
            token=token,
            superseded_by=superseded_by,
            superseded_at=now,
            join_read_at=self._join_read_at(holder, token, now),
            replaced_at=replaced_at,
        )

    def _join_read_at(self, holder: str, token: int, now: float) -> float | None:
        own, other = self._joined.get(self._incarnation), self._joined.get(holder)
        if own is None or other is None or other.failure_domain != self._failure_domain:
            return None
        if token > own.offset:
            return now
        return self._own_join_read_at.get(holder)

    def _on_loaded(self, event: LedgerLoaded, now: float) -> None:
        self._joined = {joined.incarnation: joined for joined in event.joined}
        self._replaced_at = dict.fromkeys(event.replaced, now)
        self._resources = {}
        for holding in event.holdings:
            self._resources[holding.resource] = self._loaded_resource(holding, now)
        self._authority.set_folded_offset(event.through)
        self._update_preferred_holders()

    def _loaded_resource(self, holding: LoadedHolding, now: float) -> _Resource:
        state = _Resource(holding.holder, holding.token, holding.is_released)
        earlier = holding.previous_holder
        if earlier != holding.holder and (earlier in self._joined or earlier in self._replaced_at):
            self._add_predecessor(state, earlier, holding.previous_token, holding.token, now)
        return state

    def _on_peer(self, event: PeerHeard, now: float) -> None:
        self._evidence_ages[event.sender] = event.control_age
        own = self._joined.get(self._incarnation)
        if own is not None and event.control_offset >= own.offset:
            self._own_join_read_at.setdefault(event.sender, now)
        for state in self._resources.values():
            predecessor = state.predecessors.get(event.sender)
            if predecessor is None:
                continue
            state.predecessors[event.sender] = self._updated_predecessor(predecessor, event, now)
        if event.echo <= 0.0:
            return
        age = safe_wait_seconds(max(0.0, event.control_age))
        self._authority.add_evidence(event.echo - age, event.control_through)
        if event.is_promise:
            self._authority.add_promise(event.sender, event.echo, event.control_offset)

    def _updated_predecessor(
        self, predecessor: Predecessor, event: PeerHeard, now: float
    ) -> Predecessor:
        if predecessor.join_read_at is None:
            join_read_at = self._join_read_at(event.sender, predecessor.token, now)
            predecessor = replace(predecessor, join_read_at=join_read_at)
        if predecessor.hold_read_at is None and event.control_offset >= predecessor.superseded_by:
            predecessor = replace(predecessor, hold_read_at=now)
        return predecessor

    def _on_live(self, incarnations: frozenset[str], now: float) -> None:
        for incarnation in self._live - incarnations:
            self._missing_since[incarnation] = now
        for incarnation in incarnations:
            self._missing_since.pop(incarnation, None)
        self._live = incarnations | {self._incarnation}
        self._live_changed_at = now
        self._update_preferred_holders()

    def _on_resources(self, event: ResourcesSeen, now: float) -> None:
        if event.autonomy_seconds != self._autonomy_seconds:
            self._earlier_autonomy = [
                *((s, at) for s, at in self._earlier_autonomy if now < at + safe_wait_seconds(s)),
                (self._autonomy_seconds, now),
            ]
        self._autonomy_seconds = event.autonomy_seconds
        self._minions = event.minions
        self._workers = event.workers
        for minion, share in event.minions.items():
            largest_size = self._largest_sizes.get(minion, NO_PERMIT)
            self._largest_sizes[minion] = Permit(
                max(largest_size.slots, share.whole.slots),
                max(largest_size.connections, share.whole.connections),
            )
        self._update_preferred_holders()

    def _update_preferred_holders(self) -> None:
        eligible = [
            incarnation
            for incarnation in self._live
            if incarnation in self._joined
            and self._joined[incarnation].failure_domain == self._failure_domain
        ]
        minions = [
            MINION_PREFIX + name for name, share in self._minions.items() if not share.is_leaving
        ]
        workers = [WORKER_PREFIX + name for name in self._workers]
        self._preferred_holders = preferred_holders(minions, eligible) | preferred_holders(
            workers, eligible
        )

    def _next_actions(self, now: float) -> list[HoldingsAction]:
        if self._has_left:
            return []
        actions = self._drain_actions(now)
        if not self._authority.has_evidence(now, APPEND_EVIDENCE_SECONDS):
            return actions
        if not self.is_joined:
            return actions + self._join_actions(now)
        actions += self._release_actions(now)
        if self._is_stopping:
            return actions + self._leave_actions(now)
        return actions + self._hold_actions(now)

    def _join_actions(self, now: float) -> list[HoldingsAction]:
        # A process that was replaced by a newer start of its VM must not join again.
        if self._is_stopping or self._incarnation in self._replaced_at:
            return []
        return [AppendJoin()] if self._record_append_if_due("join", now) else []

    def _leave_actions(self, now: float) -> list[HoldingsAction]:
        if any(self._is_held_here(resource) for resource in self._resources):
            return []
        return [AppendLeave()] if self._record_append_if_due("leave", now) else []

    def _record_append_if_due(self, key: str, now: float) -> bool:
        if now - self._appended_at.get(key, float("-inf")) < APPEND_RETRY_SECONDS:
            return False
        self._appended_at[key] = now
        return True

    def _drain_actions(self, now: float) -> list[HoldingsAction]:
        actions: list[HoldingsAction] = []
        self._cancel_drains()
        has_drain = bool(self._drains)
        for resource, state in self._resources.items():
            if not self._is_held_here(resource) or resource in self._drains:
                continue
            if self._is_release_required(resource):
                pass
            elif self._is_rebalance_allowed(resource, now) and not has_drain:
                # Only one resource moves at a time, so that a change of the live view leaves few
                # slots idle.
                has_drain = True
            else:
                continue
            is_minion = resource.startswith(MINION_PREFIX)
            self._drains[resource] = _Drain(state.token, is_empty=not is_minion)
            if is_minion:
                actions.append(DrainMinion(resource.removeprefix(MINION_PREFIX)))
        return actions

    def _cancel_drains(self) -> None:
        # An appended Release may take effect at any time, so its drain is not cancelled.
        for resource, drain in list(self._drains.items()):
            if drain.released_at is not None or self._is_release_required(resource):
                continue
            if self._preferred_holders.get(resource, self._incarnation) == self._incarnation:
                del self._drains[resource]

    def _is_release_required(self, resource: str) -> bool:
        if self._is_stopping:
            return True
        if resource.startswith(WORKER_PREFIX):
            return resource.removeprefix(WORKER_PREFIX) not in self._workers
        share = self._minions.get(resource.removeprefix(MINION_PREFIX))
        return share is None or share.is_leaving

    def _is_rebalance_allowed(self, resource: str, now: float) -> bool:
        if now - self._live_changed_at < REBALANCE_AFTER_SECONDS:
            return False
        if not self._authority.has_evidence(now, APPEND_EVIDENCE_SECONDS):
            return False
        preferred = self._preferred_holders.get(resource, self._incarnation)
        return preferred != self._incarnation

    def _release_actions(self, now: float) -> list[HoldingsAction]:
        actions: list[HoldingsAction] = []
        for resource, drain in self._drains.items():
            if not drain.is_empty:
                continue
            if drain.released_at is not None and now - drain.released_at < APPEND_RETRY_SECONDS:
                continue
            drain.released_at = now
            actions.append(AppendRelease(resource, drain.token))
        return actions

    def _hold_actions(self, now: float) -> list[HoldingsAction]:
        actions: list[HoldingsAction] = []
        if now - self._joined_at < HOLD_AFTER_JOIN_SECONDS:
            return actions
        for resource, preferred in self._preferred_holders.items():
            if preferred != self._incarnation or self._is_held_here(resource):
                continue
            state = self._resources.get(resource)
            if state is not None and not self._is_hold_allowed(resource, state, now):
                continue
            if self._record_append_if_due(resource, now):
                actions.append(AppendHold(resource))
        return actions

    def _is_hold_allowed(self, resource: str, state: _Resource, now: float) -> bool:
        if state.is_released or state.holder not in self._joined:
            return True
        if state.holder in self._live:
            return False
        missing_since = self._missing_since.setdefault(state.holder, now)
        if now - missing_since < TAKEOVER_AFTER_SECONDS:
            return False
        if now <= self._promised_until.get(state.holder, float("-inf")):
            return False
        if now - state.held_at < _takeover_backoff_seconds(state.takeovers):
            return False
        if resource.startswith(WORKER_PREFIX):
            return True
        return self._join_read_at(state.holder, state.token, now) is not None
