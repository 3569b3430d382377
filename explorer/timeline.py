"""True time of a walk and the events that are due at it."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count


class Timeline:
    """Events in the order of their times; events of one time keep the order of their addition."""

    def __init__(self) -> None:
        self._now = 0.0
        self._order = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    @property
    def now(self) -> float:
        """Return the true time in seconds; no process or worker ever reads it."""
        return self._now

    def after(self, seconds: float, event: Callable[[], None]) -> None:
        """Run ``event`` when ``seconds`` have passed."""
        heapq.heappush(self._events, (self._now + max(0.0, seconds), next(self._order), event))

    def advance(self, seconds: float) -> None:
        """Run every event of the next ``seconds``."""
        end = self._now + seconds
        while self._events and self._events[0][0] <= end:
            self._now, _, event = heapq.heappop(self._events)
            event()
        self._now = end
