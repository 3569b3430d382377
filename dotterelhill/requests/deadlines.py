"""Request deadlines, sent between hosts as remaining seconds so that clocks needn't agree."""

from __future__ import annotations

import math
from dataclasses import dataclass

from dotterelhill.core import ErrorKind, RequestError

DEADLINE_HEADER = "Dotterelhill-Deadline"
# Share of its deadline that a request may wait for a slot before it is refused as overloaded.
QUEUE_SHARE = 0.5
# Share of the service's deadline after which a minion that sends no byte counts as silent.
SILENCE_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class Deadline:
    """Deadline of one request, in seconds of loop time.

    :param started_at: loop time at which the head was read
    :param seconds: total time for the request
    :param service_seconds: deadline of its service, from which the silence timeout is derived
    """

    started_at: float
    seconds: float
    service_seconds: float

    @property
    def expires_at(self) -> float:
        """Return the loop time at which the deadline passes."""
        return self.started_at + self.seconds

    @property
    def queue_expires_at(self) -> float:
        """Return the loop time until which the request may wait for a slot."""
        return self.started_at + self.seconds * QUEUE_SHARE

    @property
    def silence_seconds(self) -> float:
        """Return the longest time in seconds without a byte from the minion."""
        return self.service_seconds * SILENCE_SHARE

    @property
    def peer_silence_seconds(self) -> float:
        """Return the silence timeout of a peer, which includes the wait in the peer's queue."""
        return self.seconds * QUEUE_SHARE + self.silence_seconds

    def remaining_seconds(self, now: float) -> float:
        """Return the seconds until the deadline, 0 once it has passed."""
        return max(0.0, self.expires_at - now)


def parse_deadline(header: str | None, service_seconds: float, now: float) -> Deadline:
    """Return the deadline that a header states, capped at the deadline of the service.

    :param header: remaining seconds as text; None uses the deadline of the service
    :param service_seconds: deadline of the service
    :param now: loop time at which the head was read
    :raises RequestError: ``bad_request`` when the header is not a finite number or is negative,
        ``deadline_before_dispatch`` when it is 0

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
