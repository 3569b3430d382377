"""Limit of the start orders in flight, which follows how soon they are answered."""

from __future__ import annotations

from collections.abc import Callable

from dotterelhill.control.loop_lag import LoopLag

INITIAL_STARTS = 128.0
MIN_STARTS = 8.0
MAX_STARTS = 1024.0
# An answer that takes longer shows that orders queue up: the round trip between regions is 40 ms.
TIMELY_SECONDS = 0.35
# Longest delay of the event loop at which the limit may grow.
TIMELY_LAG_SECONDS = 0.15
DECREASE_FACTOR = 0.7
# Answers of one congested period arrive together and count once.
DECREASE_INTERVAL_SECONDS = 0.3


class StartWindow:
    """Adaptive limit of the start orders that have no answer yet.

    Explanation
    ===========

    An order that waits in a queue of this process was planned with old knowledge and delays the
    renewals of leases behind it. So the limit shrinks by ``DECREASE_FACTOR`` when answers are late
    or the event loop is, and grows by one with each timely answer while it is in use.

    :param clock: returns seconds
    :param lag: delay of this process's event loop
    """

    def __init__(self, clock: Callable[[], float], lag: LoopLag) -> None:
        self._clock = clock
        self._lag = lag
        self._limit = INITIAL_STARTS
        self._in_flight = 0
        self._decreased_at = float("-inf")

    @property
    def available(self) -> int:
        """Return the number of start orders that may be planned now."""
        return max(0, int(self._limit) - self._in_flight)

    @property
    def limit(self) -> int:
        """Return the current limit of start orders in flight."""
        return int(self._limit)

    def begin(self) -> None:
        """Count a start order as in flight."""
        self._in_flight += 1

    def end(self, seconds: float) -> None:
        """Count a start order as answered.

        :param seconds: time from sending the order to its answer, or to giving up on it
        """
        is_in_use = 2 * self._in_flight >= self._limit
        self._in_flight -= 1
        if seconds <= TIMELY_SECONDS and self._lag.seconds <= TIMELY_LAG_SECONDS:
            if is_in_use:
                self._limit = min(MAX_STARTS, self._limit + 1.0)
            return
        now = self._clock()
        if now - self._decreased_at >= DECREASE_INTERVAL_SECONDS:
            self._decreased_at = now
            self._limit = max(MIN_STARTS, DECREASE_FACTOR * self._limit)
