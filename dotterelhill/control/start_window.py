"""Limit of the start orders in flight, which follows how long they wait in queues."""

from __future__ import annotations

from collections.abc import Callable
from statistics import median

import msgspec

INITIAL_STARTS = 32.0
MIN_STARTS = 8.0
MAX_STARTS = 1024.0
# The orders of a round queue up behind each other, so the last one waits twice as long as the
# median. A call to a minion is given up after 1 s.
MAX_QUEUEING_SECONDS = 0.3
# Answers that arrive within this time are judged together, since those of one round do.
PERIOD_SECONDS = 0.3
# Fewer answers say little; they are judged together with those of the next period.
MIN_ANSWERS = 8
MIN_DECREASE_FACTOR = 0.5
INCREASE_FACTOR = 1.25
# Until orders queue up for the first time, the limit is far below what the process can send.
FIRST_INCREASE_FACTOR = 2.0
# The limit stays below this multiple of the orders that were in flight and answered in time.
MAX_LIMIT_RATIO = 2.0
# The least time to an answer counts for one to two of these windows, since paths change.
LEAST_WINDOW_SECONDS = 10.0
# Longer answers than this are due to queues, however long the queues last.
MAX_LEAST_SECONDS = 0.45


class SentOrder(msgspec.Struct, frozen=True):
    """Start order in flight.

    :param sent_at: time at which it was sent, in seconds
    :param planning_seconds: time that the process had spent on planning until then
    """

    sent_at: float
    planning_seconds: float


class StartWindow:
    """Adaptive limit of the start orders that have no answer yet.

    Explanation
    ===========

    An order that waits in a queue of this process was planned with old knowledge and delays the
    renewals of leases behind it. How long orders wait is estimated as in congestion control by
    delay [1]_: the median time to an answer, less the least one of late, which is that of an order
    that met no queue. While orders wait longer than ``MAX_QUEUEING_SECONDS``, the limit shrinks by
    the ratio of the two; otherwise it grows where more than half of it was in use.

    A queue of this process delays all orders, so slow answers of single minions, of a relay or of
    a failure domain, which leave the median as it is, do not count. Neither does the time in which
    the leader plans, when it reads no answers: fewer starts would not make that shorter.

    References
    ==========

    .. [1] L. Brakmo, L. Peterson: TCP Vegas: End to End Congestion Avoidance on a Global
       Internet. IEEE Journal on Selected Areas in Communications 13(8), 1995.

    :param clock: returns seconds
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._limit = INITIAL_STARTS
        self._in_flight = 0
        # Largest number in flight in the present period, and times to its answers, but for those
        # of orders that were sent before the limit shrank.
        self._most_in_flight = 0
        self._answer_seconds: list[float] = []
        self._first_answer_at = clock()
        self._decreased_at = float("-inf")
        self._increase_factor = FIRST_INCREASE_FACTOR
        self._least_seconds = self._earlier_least_seconds = MAX_LEAST_SECONDS
        self._least_window_began_at = clock()
        self._planning_seconds = 0.0

    @property
    def available(self) -> int:
        """Return the number of start orders that may be planned now."""
        return max(0, int(self._limit) - self._in_flight)

    @property
    def limit(self) -> int:
        """Return the current limit of start orders in flight."""
        return int(self._limit)

    @property
    def in_flight(self) -> int:
        """Return the number of start orders without an answer."""
        return self._in_flight

    def record_planning(self, seconds: float) -> None:
        """Count time in which the process planned and read no answers."""
        self._planning_seconds += seconds

    def begin(self) -> SentOrder:
        """Count a start order as in flight.

        :returns: what ``end`` has to know of it
        """
        self._in_flight += 1
        self._most_in_flight = max(self._most_in_flight, self._in_flight)
        return SentOrder(self._clock(), self._planning_seconds)

    def end(self, order: SentOrder, *, is_sent: bool = True) -> None:
        """Count a start order as answered, or given up.

        :param is_sent: whether it was sent; otherwise it says nothing about queues
        """
        self._in_flight -= 1
        if not is_sent:
            return
        now = self._clock()
        planning_seconds = self._planning_seconds - order.planning_seconds
        seconds = max(0.0, now - order.sent_at - planning_seconds)
        self._record_least(seconds, now)
        if order.sent_at < self._decreased_at:
            # Sent under a larger limit: it would count against the present one as well.
            return
        if not self._answer_seconds:
            self._first_answer_at = now
        self._answer_seconds.append(seconds)
        is_period_over = now - self._first_answer_at >= PERIOD_SECONDS
        if is_period_over and len(self._answer_seconds) >= MIN_ANSWERS:
            self._adapt(now)

    def _record_least(self, seconds: float, now: float) -> None:
        """Record the time to an answer for the least time seen lately."""
        if now - self._least_window_began_at >= LEAST_WINDOW_SECONDS:
            self._least_window_began_at = now
            self._earlier_least_seconds = self._least_seconds
            self._least_seconds = MAX_LEAST_SECONDS
        self._least_seconds = min(self._least_seconds, seconds)

    def _adapt(self, now: float) -> None:
        """Adapt the limit to the answers of a period."""
        least_seconds = min(self._least_seconds, self._earlier_least_seconds)
        queueing_seconds = median(self._answer_seconds) - least_seconds
        proven_limit = min(MAX_STARTS, MAX_LIMIT_RATIO * self._most_in_flight)
        self._answer_seconds, self._most_in_flight = [], self._in_flight
        if queueing_seconds > MAX_QUEUEING_SECONDS:
            factor = max(MIN_DECREASE_FACTOR, MAX_QUEUEING_SECONDS / queueing_seconds)
            self._limit = max(MIN_STARTS, factor * self._limit)
            self._increase_factor = INCREASE_FACTOR
            self._decreased_at = now
        elif proven_limit > self._limit:
            # The closer the queue is to its bound, the less the limit grows.
            share = 1.0 - queueing_seconds / MAX_QUEUEING_SECONDS
            factor = 1.0 + share * (self._increase_factor - 1.0)
            self._limit = min(proven_limit, factor * self._limit)
