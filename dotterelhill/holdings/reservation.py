"""What a holder leaves unused because earlier holders may still use it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from dotterelhill.core import waited_seconds
from dotterelhill.holdings.authority import EVIDENCE_SECONDS
from dotterelhill.holdings.interface import NO_PERMIT, Permit

# Largest deadline of a request, and the time that an abandoned one keeps its slot.
IN_FLIGHT_SECONDS = 30.0
IN_FLIGHT_WAIT_SECONDS = waited_seconds(IN_FLIGHT_SECONDS)
# The requests in flight run on the old holder's clock too, so the drift applies to both parts.
TAKEOVER_WAIT_SECONDS = waited_seconds(EVIDENCE_SECONDS + IN_FLIGHT_SECONDS)
BASE_SHARE_DIVISOR = 4


@dataclass(frozen=True, slots=True)
class Predecessor:
    """An earlier holder of a resource that has neither released it nor left.

    :param token: its newest holding of the resource
    :param superseded_by: token of the ``Hold`` that ended it
    :param superseded_at: loop time at which that ``Hold`` was read here
    :param knows_joiner_at: loop time from which it is sure that the predecessor has read this
        process's ``Join``; None when it isn't
    :param informed_at: loop time of a heartbeat that showed that it has read the ``Hold``
    :param replaced_at: loop time at which the ``Join`` of a newer start of its VM was read
    """

    incarnation: str
    token: int
    superseded_by: int
    superseded_at: float
    knows_joiner_at: float | None = None
    informed_at: float | None = None
    replaced_at: float | None = None

    def is_over(self, now: float, autonomy_seconds: float) -> bool:
        """Return whether it can use nothing any more."""
        longest = autonomy_seconds + EVIDENCE_SECONDS + IN_FLIGHT_SECONDS
        if now >= self.superseded_at + waited_seconds(longest):
            return True
        if self.replaced_at is not None and now >= self.replaced_at + TAKEOVER_WAIT_SECONDS:
            return True
        return self.informed_at is not None and now >= self.informed_at + IN_FLIGHT_WAIT_SECONDS

    def is_on_base_share(self, now: float) -> bool:
        """Return whether it can use no more than its base share."""
        if self.knows_joiner_at is None:
            return False
        started = max(self.superseded_at, self.knows_joiner_at)
        return now >= started + TAKEOVER_WAIT_SECONDS


def base_share(whole: Permit) -> Permit:
    """Return the quarter that a holder keeps while it can't rule out a takeover.

    >>> base_share(Permit(slots=8, connections=64))
    Permit(slots=2, connections=16)
    """
    return Permit(
        max(1, whole.slots // BASE_SHARE_DIVISOR), max(1, whole.connections // BASE_SHARE_DIVISOR)
    )


def smaller_permit(one: Permit, other: Permit) -> Permit:
    """Return the smaller of each amount."""
    return Permit(min(one.slots, other.slots), min(one.connections, other.connections))


def unreserved(
    whole: Permit,
    largest: Permit,
    predecessors: Iterable[Predecessor],
    now: float,
    autonomy_seconds: float,
) -> Permit:
    """Return what is left of a minion beside what earlier holders may still use.

    :param largest: largest size that the minion had in any manifest seen here, by which a
        predecessor with an outdated manifest counts its base share
    """
    slots, connections = whole.slots, whole.connections
    base = base_share(largest)
    for predecessor in predecessors:
        if predecessor.is_over(now, autonomy_seconds):
            continue
        if not predecessor.is_on_base_share(now):
            return NO_PERMIT
        slots -= base.slots
        connections -= base.connections
    if slots <= 0 or connections <= 0:
        return NO_PERMIT
    return Permit(slots, connections)
