"""Deadline of a request, carried as seconds left so that no wall clocks are compared."""

from __future__ import annotations

import math
from dataclasses import dataclass

from dotterelhill.core import ErrorKind, RequestError

DEADLINE_HEADER = "Dotterelhill-Deadline"
# A request that waits longer than this part of its deadline is refused as overloaded.
QUEUE_SHARE = 0.5
# A minion that sends no byte for this part of the service's deadline counts as silent.
SILENCE_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class Deadline:
    """When a request has to be settled, in loop time.

    :param started_at: loop time at which the head was read
    :param seconds: time that the request has in all
    :param service_seconds: deadline of its service, the base of the silence bound
    """

    started_at: float
    seconds: float
    service_seconds: float

    @property
    def expires_at(self) -> float:
        """Return the loop time after which the caller no longer waits."""
        return self.started_at + self.seconds

    @property
    def queue_expires_at(self) -> float:
        """Return the loop time up to which the request may wait for a slot."""
        return self.started_at + self.seconds * QUEUE_SHARE

    @property
    def silence_seconds(self) -> float:
        """Return how long a minion may send nothing."""
        return self.service_seconds * SILENCE_SHARE

    @property
    def peer_silence_seconds(self) -> float:
        """Return how long a peer may send nothing; the request may wait in its queue too."""
        return self.seconds * QUEUE_SHARE + self.silence_seconds

    def remaining_seconds(self, now: float) -> float:
        """Return the seconds left, never below 0."""
        return max(0.0, self.expires_at - now)


def parse_deadline(header: str | None, service_seconds: float, now: float) -> Deadline:
    """Return the deadline of a request: the caller's seconds, at most the service's.

    :raises RequestError: when the header is no positive finite number

    >>> parse_deadline("2.5", 10.0, 100.0).expires_at
    102.5
    >>> parse_deadline("60", 10.0, 100.0).expires_at
    110.0
    """
    if header is None:
        return Deadline(now, service_seconds, service_seconds)
    try:
        seconds = float(header)
    except ValueError:
        seconds = math.nan
    if not math.isfinite(seconds) or seconds < 0:
        raise RequestError(
            ErrorKind.BAD_REQUEST, f"{DEADLINE_HEADER} must be seconds left, got {header[:40]!r}"
        )
    if seconds == 0:
        raise RequestError(ErrorKind.DEADLINE_BEFORE_DISPATCH, "no time was left on arrival")
    return Deadline(now, min(seconds, service_seconds), service_seconds)
