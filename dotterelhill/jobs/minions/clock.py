"""Clock of one incarnation of a minion, which tells its answers from those of others."""

from __future__ import annotations

from math import inf

# A minion's monotonic clock may run this much slower than true time: a limit of the platform.
MINION_CLOCK_DRIFT = 0.02


class MinionClock:
    """Bounds of the difference between a minion's clock and the clock of this process.

    Explanation
    ===========

    A reading was taken between the time at which its call was sent and the time at which it was
    answered, so it bounds the difference from both sides. The clock of each incarnation begins at
    a value of its own: a reading outside the bounds of the earlier ones is of another incarnation.

    Examples
    ========

    >>> clock = MinionClock()
    >>> clock.accepts(500_000, 9.9, 10.0)
    True
    >>> clock.accepts(501_000, 10.9, 11.0), clock.accepts(504_000, 11.9, 12.0)
    (True, False)
    """

    __slots__ = ("_at", "_least_ms", "_most_ms")

    def __init__(self) -> None:
        self._least_ms, self._most_ms = -inf, inf
        self._at = 0.0

    def accepts(self, clock_ms: int, sent_at: float, now: float) -> bool:
        """Return whether a reading can be one of this clock, and narrow the bounds by it if so.

        :param clock_ms: reading in ms
        :param sent_at: loop time in seconds at which the call was sent
        :param now: loop time in seconds at which its answer was processed
        """
        # Both clocks have drifted since the newest reading.
        drift_ms = 1000.0 * MINION_CLOCK_DRIFT * max(0.0, now - self._at)
        known_least_ms, known_most_ms = self._least_ms - 2.0 * drift_ms, self._most_ms + drift_ms
        least_ms, most_ms = clock_ms - 1000.0 * now, clock_ms + 1 - 1000.0 * sent_at
        if least_ms > known_most_ms or most_ms < known_least_ms:
            return False
        self._least_ms, self._most_ms = max(least_ms, known_least_ms), min(most_ms, known_most_ms)
        self._at = now
        return True

    def reset(self, clock_ms: int, sent_at: float, now: float) -> None:
        """Replace the bounds by those of a reading that is known to be one of this clock."""
        self._least_ms, self._most_ms = -inf, inf
        self.accepts(clock_ms, sent_at, now)
