"""Registration of the membership slice for replays."""

from __future__ import annotations

from dataclasses import dataclass

from dotterelhill.membership.view import (
    HeartbeatHeard,
    LiveChanged,
    MembershipDecision,
    SendHeartbeat,
    Tick,
    VmListRead,
)
from dotterelhill.replay.registration import ReplayableSlice, Step, stateless_outcome


@dataclass(frozen=True, slots=True)
class MembershipArguments:
    """Construction arguments of ``MembershipDecision``."""

    incarnation: str
    failure_domain: str
    region: str
    peer_address: str
    forward_address: str
    seeds: tuple[str, ...] = ()


def _new_decision(arguments: MembershipArguments) -> MembershipDecision:
    return MembershipDecision(
        arguments.incarnation,
        arguments.failure_domain,
        arguments.region,
        arguments.peer_address,
        arguments.forward_address,
        arguments.seeds,
    )


def _has_own_incarnation_live(step: Step) -> bool:
    for action in step.actions:
        if (
            isinstance(action, LiveChanged)
            and step.arguments.incarnation not in action.incarnations
        ):
            return False
    return True


def _has_unique_destinations(step: Step) -> bool:
    addresses = [item.address for item in step.actions if isinstance(item, SendHeartbeat)]
    return len(set(addresses)) == len(addresses)


REGISTRATION = ReplayableSlice(
    name="membership",
    arguments_type=MembershipArguments,
    build=_new_decision,
    event_types=(Tick, HeartbeatHeard, VmListRead),
    outcomes=(
        stateless_outcome(
            "self-is-live",
            "a process is in its own list of live incarnations of its failure domain",
            _has_own_incarnation_live,
        ),
        stateless_outcome(
            "one-heartbeat",
            "one step sends at most one heartbeat to an address",
            _has_unique_destinations,
        ),
    ),
)
