"""Simulated time of a walk and its event queue."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count


class Timeline:
    """Event queue ordered by time; events with the same time run in the order of scheduling."""

    def __init__(self) -> None:
        self._now = 0.0
        self._sequence_numbers = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    @property
    def now(self) -> float:
        """Return the true time in seconds; processes and workers only read clocks of their own."""
        return self._now

    def schedule(self, seconds: float, event: Callable[[], None]) -> None:
        """Run ``event`` after ``seconds`` of simulated time; a negative delay counts as zero."""
        heapq.heappush(
            self._events, (self._now + max(0.0, seconds), next(self._sequence_numbers), event)
        )

    def advance(self, seconds: float) -> None:
        """Advance the time by ``seconds`` and run the events that are due until then."""
        end = self._now + seconds
        while self._events and self._events[0][0] <= end:
            self._now, _, event = heapq.heappop(self._events)
            event()
        self._now = end
