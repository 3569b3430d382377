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
from dotterelhill.replay.registration import ReplayableSlice, Step, condition


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


def _counts_itself_live(step: Step) -> bool:
    for action in step.actions:
        if (
            isinstance(action, LiveChanged)
            and step.arguments.incarnation not in action.incarnations
        ):
            return False
    return True


def _sends_once_to_an_address(step: Step) -> bool:
    addresses = [item.address for item in step.actions if isinstance(item, SendHeartbeat)]
    return len(set(addresses)) == len(addresses)


REGISTRATION = ReplayableSlice(
    name="membership",
    arguments_type=MembershipArguments,
    build=_new_decision,
    event_types=(Tick, HeartbeatHeard, VmListRead),
    outcomes=(
        condition(
            "self-is-live",
            "a process counts itself among the live incarnations of its domain",
            _counts_itself_live,
        ),
        condition(
            "one-heartbeat",
            "no address is sent two heartbeats at once",
            _sends_once_to_an_address,
        ),
    ),
)
