"""Decision code of holdings; docs/design.md, section 3.4.

Why no minion is used beyond its size
=====================================

Let P hold a resource with token h, and let s be the offset of a ``Hold`` that supersedes h. Z is
the holder that wants to use the resource; it read s at its time r, after s was appended.

1. P dispatches while it has evidence of at most 10 s. A read that is sent after s was appended
   shows s, and P uses evidence only once it has folded all that the evidence showed. So P's newest
   evidence that does not show s is older than r, and P stops by r + 10 s.
2. Without evidence P dispatches beyond its base share only with promises of at most 10 s from every
   joined incarnation of its domain. A promise is counted from the stamp that the promiser echoed,
   which P took before the promiser sent it, so delay only shortens it. P uses a promise only once
   it has folded all that the promiser had folded. If Z promised after r, P would have to fold s
   first. So the last promise of Z that P can use was sent before r, and P stops by r + 10 s.
3. Point 2 needs P to know that Z has joined: a process that joins while P is cut off from the log
   is not asked for a promise. Z therefore starts its wait only when it is sure that P has folded
   Z's ``Join``: P's token is above it, or P's heartbeat showed a higher offset. Until then it uses
   nothing, and it appends no ``Hold`` on P's resources.
4. A request is over 30 s after its dispatch. Z waits 40 s with drift from r (or from point 3), so
   what P dispatched before is over, except P's base share.
5. P's base share ends when P has left, has been replaced (its VM's ports belong to a newer start,
   so it runs no more), has shown by a heartbeat that it folded s, or when ``autonomy_seconds``
   since its last evidence have passed. Z leaves the base share of each such predecessor unused
   until then, plus 30 s for requests in flight. P appends ``Release`` only when nothing is in
   flight.
6. Points 1 to 5 hold for each predecessor by itself, and Z subtracts the base shares of all of
   them. A holder on its own base share uses the smaller of that and what is left, so the sum over
   a chain of takeovers stays within the minion.

The promise not to append a ``Hold`` is kept too, counted longer by the drift. It keeps a log outage
from causing takeovers; the bound above does not rest on it.

Limits: a process that is paused between the check of its permit and the write of a request, or
that has connections open while it is paused, can't be stopped by any other. After a start from a
snapshot only the predecessors that the snapshot names are known.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from dotterelhill.core import waited_seconds
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
    unreserved,
)

MINION_PREFIX = "minion:"
WORKER_PREFIX = "worker:"
# Silence after which a live holder's resources are taken over, on top of the 3 s of the live view.
TAKEOVER_AFTER_SECONDS = 2.0
# Two processes that reach the log but not each other would take a resource from each other without
# end. After each takeover the next one waits for longer.
QUIET_AFTER_TAKEOVER_SECONDS = 60.0
LONGEST_QUIET_SECONDS = 960.0
# A peer whose evidence is older than this gets promises. Promising earlier would delay a takeover
# by the 10 s of the promise in normal operation.
PROMISE_FROM_AGE_SECONDS = 4.0
# Records are appended only with evidence this fresh, so that an outage fills no queue. A log that
# answers after 5 s gives evidence of up to 10 s.
APPEND_EVIDENCE_SECONDS = 10.0
# Ended incarnations whose requests in flight may still matter.
REPLACED_MEMORY_SECONDS = 3600.0
# An append without a visible effect is repeated; the log's order makes a repeat harmless.
APPEND_RETRY_SECONDS = 5.0
# Processes that start together join within this; without it the first would take everything.
HOLD_AFTER_JOIN_SECONDS = 3.0
# A minion moves to a new preferred holder only after the live view was stable for this long.
REBALANCE_AFTER_SECONDS = 10.0


@dataclass(slots=True)
class _Resource:
    """Newest holding of a resource and the earlier holders that may still use it.

    :param held_at: loop time at which the newest ``Hold`` was read
    :param takeovers: how often it was taken over since it was last released
    """

    holder: str = ""
    token: int = 0
    is_released: bool = True
    held_at: float = float("-inf")
    takeovers: int = 0
    predecessors: dict[str, Predecessor] = field(default_factory=dict)


@dataclass(slots=True)
class _Drain:
    """End of an own holding; ``released_at`` is set when ``Release`` was first appended."""

    token: int
    is_empty: bool
    released_at: float | None = None


def _quiet_seconds(takeovers: int) -> float:
    """Return how long a holding lasts at least, after so many takeovers without a release.

    >>> [_quiet_seconds(count) for count in (0, 1, 2, 9)]
    [0.0, 60.0, 120.0, 960.0]
    """
    if not takeovers:
        return 0.0
    return min(QUIET_AFTER_TAKEOVER_SECONDS * 2.0 ** min(takeovers - 1, 10), LONGEST_QUIET_SECONDS)


class HoldingsDecision:
    """Decision code of holdings; see the module's explanation.

    :param incarnation: id of this process
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
        self._largest: dict[str, Permit] = {}
        self._workers: frozenset[str] = frozenset()
        self._autonomy_seconds = 0.0
        self._earlier_autonomy: list[tuple[float, float]] = []
        self._live: frozenset[str] = frozenset({incarnation})
        self._live_changed_at = float("-inf")
        self._missing_since: dict[str, float] = {}
        self._knows_me_at: dict[str, float] = {}
        self._ages: dict[str, float] = {}
        self._promised_until: dict[str, float] = {}
        self._preferred: dict[str, str] = {}
        self._drains: dict[str, _Drain] = {}
        self._appended_at: dict[str, float] = {}
        self._joined_at = float("inf")
        self._is_stopping = False
        self._has_left = False

    @property
    def through(self) -> int:
        """Return the offset up to which ``control`` is folded here."""
        return self._authority.through

    @property
    def evidence_at(self) -> float:
        """Return the loop time of the newest usable evidence of ``control``."""
        return self._authority.evidence_at

    @property
    def is_joined(self) -> bool:
        """Return whether this process may hold things."""
        return self._incarnation in self._joined

    @property
    def draining_minions(self) -> tuple[str, ...]:
        """Return the minions that are drained and not yet empty."""
        return tuple(
            resource.removeprefix(MINION_PREFIX)
            for resource, drain in self._drains.items()
            if not drain.is_empty
        )

    def holder_of(self, resource: str) -> str | None:
        """Return the incarnation that holds a resource, or None."""
        state = self._resources.get(resource)
        return state.holder if state is not None and not state.is_released else None

    def worker_token(self, worker: str) -> int | None:
        """Return this process's fencing token for a worker, or None when another holds it."""
        resource = WORKER_PREFIX + worker
        if not self._is_mine(resource) or resource in self._drains:
            return None
        return self._resources[resource].token

    def permit_for(self, minion: str, now: float) -> Permit:
        """Return what this process may use of a minion at loop time ``now``."""
        resource = MINION_PREFIX + minion
        share = self._minions.get(minion)
        if share is None or share.is_leaving or self._is_stopping:
            return NO_PERMIT
        if not self._is_mine(resource) or resource in self._drains:
            return NO_PERMIT
        if not self._authority.has_evidence(now, self._autonomy_seconds):
            return NO_PERMIT
        left = unreserved(
            share.whole,
            self._largest[minion],
            self._resources[resource].predecessors.values(),
            now,
            self._longest_autonomy(now),
        )
        if self._has_full_authority(now):
            return left
        return smaller_permit(left, base_share(share.whole))

    def promise_to(self, incarnation: str, now: float) -> bool:
        """Return whether a promise is made to an incarnation, and remember it."""
        joined = self._joined.get(incarnation)
        if joined is None or joined.failure_domain != self._failure_domain:
            return False
        # A promise to a silent peer would put off the takeover for as long as it is silent.
        if incarnation not in self._live:
            return False
        if self._ages.get(incarnation, 0.0) <= PROMISE_FROM_AGE_SECONDS:
            return False
        self._promised_until[incarnation] = now + waited_seconds(PROMISE_SECONDS)
        return True

    def decide(self, event: HoldingsEvent, now: float) -> list[HoldingsAction]:
        """Return the actions that ``event`` calls for."""
        match event:
            case JoinSeen() | LeaveSeen() | HoldSeen() | ReleaseSeen() | LedgerLoaded():
                return self._on_ledger(event, now)
            case Folded(through):
                self._authority.fold(through)
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

    def _is_mine(self, resource: str) -> bool:
        return self.is_joined and self.holder_of(resource) == self._incarnation

    def _has_full_authority(self, now: float) -> bool:
        if self._authority.has_evidence(now):
            return True
        others = [
            one
            for one, joined in self._joined.items()
            if one != self._incarnation and joined.failure_domain == self._failure_domain
        ]
        return self._authority.has_promises_of(others, now)

    def _longest_autonomy(self, now: float) -> float:
        # A holder that is cut off counts by the manifest it has, which may be an earlier one.
        earlier = [
            seconds
            for seconds, replaced_at in self._earlier_autonomy
            if now < replaced_at + waited_seconds(seconds)
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
        for one, joined in list(self._joined.items()):
            if joined.entry == event.entry:
                self._replace(one, now)
        self._joined[event.incarnation] = event
        if event.incarnation == self._incarnation:
            self._joined_at = now
        self._refresh_preferred()

    def _replace(self, incarnation: str, now: float) -> None:
        self._forget(incarnation)
        oldest = now - REPLACED_MEMORY_SECONDS
        self._replaced_at = {one: at for one, at in self._replaced_at.items() if at > oldest}
        self._replaced_at[incarnation] = now
        for state in self._resources.values():
            predecessor = state.predecessors.get(incarnation)
            if predecessor is not None:
                state.predecessors[incarnation] = replace(predecessor, replaced_at=now)

    def _forget(self, incarnation: str) -> None:
        self._joined.pop(incarnation, None)
        self._authority.forget(incarnation)
        for times in (self._knows_me_at, self._ages, self._promised_until, self._missing_since):
            times.pop(incarnation, None)

    def _on_leave(self, incarnation: str, now: float) -> list[HoldingsAction]:
        self._forget(incarnation)
        for resource, state in self._resources.items():
            predecessor = state.predecessors.get(incarnation)
            if predecessor is not None and predecessor.informed_at is None:
                # Only its present holdings were drained before it left.
                state.predecessors[incarnation] = replace(predecessor, informed_at=now)
            if state.holder == incarnation:
                state.is_released = True
                self._drains.pop(resource, None)
        self._refresh_preferred()
        if incarnation != self._incarnation or self._has_left:
            return []
        self._has_left = True
        return [StopFinished()]

    def _on_hold(self, event: HoldSeen, now: float) -> list[HoldingsAction]:
        state = self._resources.setdefault(event.resource, _Resource())
        self._appended_at.pop(event.resource, None)
        self._drains.pop(event.resource, None)
        is_lost = self._is_mine(event.resource) and event.holder != self._incarnation
        # The new holder is no predecessor of itself: it counts its own requests in flight.
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
            knows_joiner_at=self._knows_joiner_at(holder, token, now),
            replaced_at=replaced_at,
        )

    def _knows_joiner_at(self, holder: str, token: int, now: float) -> float | None:
        own, other = self._joined.get(self._incarnation), self._joined.get(holder)
        if own is None or other is None or other.failure_domain != self._failure_domain:
            return None
        if token > own.offset:
            return now
        return self._knows_me_at.get(holder)

    def _on_loaded(self, event: LedgerLoaded, now: float) -> None:
        self._joined = {joined.incarnation: joined for joined in event.joined}
        self._replaced_at = dict.fromkeys(event.replaced, now)
        self._resources = {}
        for holding in event.holdings:
            self._resources[holding.resource] = self._loaded_resource(holding, now)
        self._authority.fold(event.through)
        self._refresh_preferred()

    def _loaded_resource(self, holding: LoadedHolding, now: float) -> _Resource:
        state = _Resource(holding.holder, holding.token, holding.is_released)
        earlier = holding.previous_holder
        if earlier != holding.holder and (earlier in self._joined or earlier in self._replaced_at):
            self._add_predecessor(state, earlier, holding.previous_token, holding.token, now)
        return state

    def _on_peer(self, event: PeerHeard, now: float) -> None:
        self._ages[event.sender] = event.control_age
        own = self._joined.get(self._incarnation)
        if own is not None and event.control_offset >= own.offset:
            self._knows_me_at.setdefault(event.sender, now)
        for state in self._resources.values():
            predecessor = state.predecessors.get(event.sender)
            if predecessor is None:
                continue
            state.predecessors[event.sender] = self._informed(predecessor, event, now)
        if event.echo <= 0.0:
            return
        age = waited_seconds(max(0.0, event.control_age))
        self._authority.add_evidence(event.echo - age, event.control_through)
        if event.is_promise:
            self._authority.add_promise(event.sender, event.echo, event.control_offset)

    def _informed(self, predecessor: Predecessor, event: PeerHeard, now: float) -> Predecessor:
        if predecessor.knows_joiner_at is None:
            known_at = self._knows_joiner_at(event.sender, predecessor.token, now)
            predecessor = replace(predecessor, knows_joiner_at=known_at)
        if predecessor.informed_at is None and event.control_offset >= predecessor.superseded_by:
            predecessor = replace(predecessor, informed_at=now)
        return predecessor

    def _on_live(self, incarnations: frozenset[str], now: float) -> None:
        for one in self._live - incarnations:
            self._missing_since[one] = now
        for one in incarnations:
            self._missing_since.pop(one, None)
        self._live = incarnations | {self._incarnation}
        self._live_changed_at = now
        self._refresh_preferred()

    def _on_resources(self, event: ResourcesSeen, now: float) -> None:
        if event.autonomy_seconds != self._autonomy_seconds:
            self._earlier_autonomy = [
                *((s, at) for s, at in self._earlier_autonomy if now < at + waited_seconds(s)),
                (self._autonomy_seconds, now),
            ]
        self._autonomy_seconds = event.autonomy_seconds
        self._minions = event.minions
        self._workers = event.workers
        for minion, share in event.minions.items():
            before = self._largest.get(minion, NO_PERMIT)
            self._largest[minion] = Permit(
                max(before.slots, share.whole.slots),
                max(before.connections, share.whole.connections),
            )
        self._refresh_preferred()

    def _refresh_preferred(self) -> None:
        able = [
            one
            for one in self._live
            if one in self._joined and self._joined[one].failure_domain == self._failure_domain
        ]
        minions = [
            MINION_PREFIX + name for name, share in self._minions.items() if not share.is_leaving
        ]
        workers = [WORKER_PREFIX + name for name in self._workers]
        self._preferred = preferred_holders(minions, able) | preferred_holders(workers, able)

    def _next_actions(self, now: float) -> list[HoldingsAction]:
        if self._has_left:
            return []
        actions = self._started_drains(now)
        if not self._authority.has_evidence(now, APPEND_EVIDENCE_SECONDS):
            return actions
        if not self.is_joined:
            return actions + self._joins(now)
        actions += self._releases(now)
        if self._is_stopping:
            return actions + self._leaves(now)
        return actions + self._holds(now)

    def _joins(self, now: float) -> list[HoldingsAction]:
        # A process that was replaced by a newer start of its VM must not join again.
        if self._is_stopping or self._incarnation in self._replaced_at:
            return []
        return [AppendJoin()] if self._is_due("join", now) else []

    def _leaves(self, now: float) -> list[HoldingsAction]:
        if any(self._is_mine(resource) for resource in self._resources):
            return []
        return [AppendLeave()] if self._is_due("leave", now) else []

    def _is_due(self, key: str, now: float) -> bool:
        if now - self._appended_at.get(key, float("-inf")) < APPEND_RETRY_SECONDS:
            return False
        self._appended_at[key] = now
        return True

    def _started_drains(self, now: float) -> list[HoldingsAction]:
        actions: list[HoldingsAction] = []
        self._cancel_drains()
        is_moving = bool(self._drains)
        for resource, state in self._resources.items():
            if not self._is_mine(resource) or resource in self._drains:
                continue
            if self._has_to_go(resource):
                pass
            elif self._may_move(resource, now) and not is_moving:
                # One at a time, so that a change of the live view idles few slots at once.
                is_moving = True
            else:
                continue
            is_minion = resource.startswith(MINION_PREFIX)
            self._drains[resource] = _Drain(state.token, is_empty=not is_minion)
            if is_minion:
                actions.append(DrainMinion(resource.removeprefix(MINION_PREFIX)))
        return actions

    def _cancel_drains(self) -> None:
        # Once Release was appended it may take effect at any time, so the drain stays.
        for resource, drain in list(self._drains.items()):
            if drain.released_at is not None or self._has_to_go(resource):
                continue
            if self._preferred.get(resource, self._incarnation) == self._incarnation:
                del self._drains[resource]

    def _has_to_go(self, resource: str) -> bool:
        if self._is_stopping:
            return True
        if resource.startswith(WORKER_PREFIX):
            return resource.removeprefix(WORKER_PREFIX) not in self._workers
        share = self._minions.get(resource.removeprefix(MINION_PREFIX))
        return share is None or share.is_leaving

    def _may_move(self, resource: str, now: float) -> bool:
        if now - self._live_changed_at < REBALANCE_AFTER_SECONDS:
            return False
        if not self._authority.has_evidence(now, APPEND_EVIDENCE_SECONDS):
            return False
        preferred = self._preferred.get(resource, self._incarnation)
        return preferred != self._incarnation

    def _releases(self, now: float) -> list[HoldingsAction]:
        actions: list[HoldingsAction] = []
        for resource, drain in self._drains.items():
            if not drain.is_empty:
                continue
            if drain.released_at is not None and now - drain.released_at < APPEND_RETRY_SECONDS:
                continue
            drain.released_at = now
            actions.append(AppendRelease(resource, drain.token))
        return actions

    def _holds(self, now: float) -> list[HoldingsAction]:
        actions: list[HoldingsAction] = []
        if now - self._joined_at < HOLD_AFTER_JOIN_SECONDS:
            return actions
        for resource, preferred in self._preferred.items():
            if preferred != self._incarnation or self._is_mine(resource):
                continue
            state = self._resources.get(resource)
            if state is not None and not self._may_follow(resource, state, now):
                continue
            if self._is_due(resource, now):
                actions.append(AppendHold(resource))
        return actions

    def _may_follow(self, resource: str, state: _Resource, now: float) -> bool:
        if state.is_released or state.holder not in self._joined:
            return True
        if state.holder in self._live:
            return False
        missing_since = self._missing_since.setdefault(state.holder, now)
        if now - missing_since < TAKEOVER_AFTER_SECONDS:
            return False
        if now <= self._promised_until.get(state.holder, float("-inf")):
            return False
        if now - state.held_at < _quiet_seconds(state.takeovers):
            return False
        if resource.startswith(WORKER_PREFIX):
            return True
        return self._knows_joiner_at(state.holder, state.token, now) is not None
