"""Slots and connections that a holder leaves unused because earlier holders may use them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from dotterelhill.core import safe_wait_seconds
from dotterelhill.holdings.authority import EVIDENCE_SECONDS
from dotterelhill.holdings.interface import NO_PERMIT, Permit

# Maximum deadline of a request, and the time for which an abandoned request keeps its slot.
IN_FLIGHT_SECONDS = 30.0
IN_FLIGHT_WAIT_SECONDS = safe_wait_seconds(IN_FLIGHT_SECONDS)
# Evidence and requests in flight both run on the previous holder's clock, so the drift applies to
# both terms.
TAKEOVER_WAIT_SECONDS = safe_wait_seconds(EVIDENCE_SECONDS + IN_FLIGHT_SECONDS)
BASE_SHARE_DIVISOR = 4


@dataclass(frozen=True, slots=True)
class Predecessor:
    """An earlier holder of a resource that has neither released it nor left.

    :param token: token of its newest holding of the resource
    :param superseded_by: token of the ``Hold`` that superseded that holding
    :param superseded_at: loop time at which this process read that ``Hold``
    :param join_read_at: loop time from which the predecessor is certain to have read this
        process's ``Join``; None while that is uncertain
    :param hold_read_at: loop time of a heartbeat that showed that the predecessor had read the
        ``Hold``; None for none
    :param replaced_at: loop time at which this process read the ``Join`` of a newer start of the
        predecessor's VM; None for none
    """

    incarnation: str
    token: int
    superseded_by: int
    superseded_at: float
    join_read_at: float | None = None
    hold_read_at: float | None = None
    replaced_at: float | None = None

    def has_ended(self, now: float, autonomy_seconds: float) -> bool:
        """Return whether the predecessor can no longer use any part of the resource.

        :param autonomy_seconds: longest time that a holder may continue without evidence
        """
        max_use_seconds = autonomy_seconds + EVIDENCE_SECONDS + IN_FLIGHT_SECONDS
        if now >= self.superseded_at + safe_wait_seconds(max_use_seconds):
            return True
        if self.replaced_at is not None and now >= self.replaced_at + TAKEOVER_WAIT_SECONDS:
            return True
        return self.hold_read_at is not None and now >= self.hold_read_at + IN_FLIGHT_WAIT_SECONDS

    def is_on_base_share(self, now: float) -> bool:
        """Return whether the predecessor can use at most its base share."""
        if self.join_read_at is None:
            return False
        wait_started_at = max(self.superseded_at, self.join_read_at)
        return now >= wait_started_at + TAKEOVER_WAIT_SECONDS


def base_share(size: Permit) -> Permit:
    """Return the quarter of a minion that its holder may use while a takeover is possible.

    >>> base_share(Permit(slots=8, connections=64))
    Permit(slots=2, connections=16)
    """
    return Permit(
        max(1, size.slots // BASE_SHARE_DIVISOR), max(1, size.connections // BASE_SHARE_DIVISOR)
    )


def smaller_permit(first: Permit, second: Permit) -> Permit:
    """Return the minimum of both slot counts and of both connection counts."""
    return Permit(min(first.slots, second.slots), min(first.connections, second.connections))


def unreserved_permit(
    size: Permit,
    largest_size: Permit,
    predecessors: Iterable[Predecessor],
    now: float,
    autonomy_seconds: float,
) -> Permit:
    """Return the part of a minion that no earlier holder may still use.

    :param size: all slots and connections of the minion
    :param largest_size: maximum size of the minion over all manifests seen by this process; a
        predecessor with an outdated manifest computes its base share from such a size
    :param now: event loop time in seconds
    :param autonomy_seconds: longest time that a holder may continue without evidence
    """
    slots, connections = size.slots, size.connections
    base = base_share(largest_size)
    for predecessor in predecessors:
        if predecessor.has_ended(now, autonomy_seconds):
            continue
        if not predecessor.is_on_base_share(now):
            return NO_PERMIT
        slots -= base.slots
        connections -= base.connections
    if slots <= 0 or connections <= 0:
        return NO_PERMIT
    return Permit(slots, connections)
