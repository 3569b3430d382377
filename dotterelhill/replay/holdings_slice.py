"""Registration of the holdings slice for replays.

The checks derive the holders from the events, so that they do not depend on the state that they
check.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from dotterelhill.core import entry_name_of
from dotterelhill.holdings.decision import MINION_PREFIX, HoldingsDecision
from dotterelhill.holdings.events import (
    AppendHold,
    AppendJoin,
    EvidenceSeen,
    Folded,
    HoldSeen,
    JoinSeen,
    LeaveSeen,
    LedgerLoaded,
    LiveSeen,
    MinionDrained,
    MinionShare,
    PeerHeard,
    ReleaseSeen,
    ResourcesSeen,
    StopRequested,
    Tick,
)
from dotterelhill.replay.registration import Check, Outcome, RecordedCall, ReplayableSlice, Step

# Limit of docs/design.md, section 3.4; repeated here so that a change of the code is detected.
PROMISE_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class HoldingsArguments:
    """Construction arguments of ``HoldingsDecision``."""

    incarnation: str
    entry: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class PromiseAsked:
    """Event that stands for a call of ``promise_to``, which stores the promise."""

    incarnation: str


def _new_decision(arguments: HoldingsArguments) -> HoldingsDecision:
    return HoldingsDecision(arguments.incarnation, arguments.entry, arguments.failure_domain)


@dataclass(slots=True)
class _Holders:
    """Holder and token of each resource, derived only from events."""

    holders: dict[str, tuple[str, int]] = field(default_factory=dict)

    def apply(self, event: Any) -> None:
        match event:
            case HoldSeen(offset, resource, holder):
                self.holders[resource] = (holder, offset)
            case ReleaseSeen(resource, token):
                if self.holders.get(resource, ("", 0))[1] == token:
                    del self.holders[resource]
            case LeaveSeen(incarnation):
                held = self.holders.items()
                self.holders = {name: item for name, item in held if item[0] != incarnation}
            case LedgerLoaded(holdings=holdings):
                self.holders = {
                    item.resource: (item.holder, item.token)
                    for item in holdings
                    if not item.is_released
                }

    def holder_of(self, resource: str) -> str:
        return self.holders.get(resource, ("", 0))[0]


def _new_usage_check() -> Check:
    holders = _Holders()
    minions: dict[str, MinionShare] = {}

    def check(step: Step) -> str | None:
        holders.apply(step.event)
        if isinstance(step.event, ResourcesSeen):
            minions.clear()
            minions.update(step.event.minions)
        return _usage_fault(step, holders, minions)

    return check


def _usage_fault(step: Step, holders: _Holders, minions: Mapping[str, MinionShare]) -> str | None:
    own_incarnation = step.arguments.incarnation
    for name, share in minions.items():
        permit = step.decision.permit_for(name, step.at)
        if permit.slots <= 0 and permit.connections <= 0:
            continue
        if holders.holder_of(MINION_PREFIX + name) != own_incarnation:
            return f"minion {name} may be used although this process does not hold it"
        if permit.slots > share.whole.slots or permit.connections > share.whole.connections:
            return f"minion {name} may be used beyond its size"
        if share.is_leaving:
            return f"minion {name} may be used although it is leaving"
    return None


def _new_promise_check() -> Check:
    holders = _Holders()
    promised_at: dict[str, float] = {}

    def check(step: Step) -> str | None:
        holders.apply(step.event)
        if isinstance(step.event, PromiseAsked):
            if step.actions[0]:
                promised_at[step.event.incarnation] = step.at
            return None
        if isinstance(step.event, JoinSeen):
            # A new incarnation of the entry VM ends the earlier one and the promise to it.
            for name in [name for name in promised_at if entry_name_of(name) == step.event.entry]:
                del promised_at[name]
        for action in step.actions:
            if not isinstance(action, AppendHold):
                continue
            holder = holders.holder_of(action.resource)
            if step.at < promised_at.get(holder, float("-inf")) + PROMISE_SECONDS:
                return f"Hold of {action.resource} breaks the promise to {holder}"
        return None

    return check


def _new_stop_check() -> Check:
    has_stopped = [False]

    def check(step: Step) -> str | None:
        has_stopped[0] |= isinstance(step.event, StopRequested)
        if has_stopped[0] and any(
            isinstance(item, AppendHold | AppendJoin) for item in step.actions
        ):
            return "a stopping process requested a resource"
        return None

    return check


REGISTRATION = ReplayableSlice(
    name="holdings",
    arguments_type=HoldingsArguments,
    build=_new_decision,
    event_types=(
        JoinSeen,
        LeaveSeen,
        HoldSeen,
        ReleaseSeen,
        LedgerLoaded,
        Folded,
        EvidenceSeen,
        PeerHeard,
        LiveSeen,
        ResourcesSeen,
        MinionDrained,
        Tick,
        StopRequested,
    ),
    outcomes=(
        Outcome(
            "use-what-is-held",
            "only held minions that are not leaving are used, within their size (@leaving)",
            _new_usage_check,
        ),
        Outcome(
            "keep-promises",
            "no Hold is appended for resources of a holder within 10 s of a promise",
            _new_promise_check,
        ),
        Outcome(
            "no-hold-when-stopping", "a stopping process requests no resource", _new_stop_check
        ),
    ),
    calls=(RecordedCall("promise_to", PromiseAsked),),
)
