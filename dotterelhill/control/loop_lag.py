"""Delay of this process's own event loop, so that it is not taken for the silence of others."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

SAMPLE_SECONDS = 0.05
# The largest delay of the current and the previous window counts.
WINDOW_SECONDS = 1.0


class LoopLag:
    """Largest recent delay of the event loop.

    :param clock: returns seconds; keeps counting while the process is suspended
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._window_started_at = clock()
        self._window_seconds = 0.0
        self._previous_window_seconds = 0.0
        self._newest_unplanned_seconds = 0.0
        self._planning_seconds = 0.0

    @property
    def seconds(self) -> float:
        """Return the largest delay of a timer within the last one to two seconds."""
        return max(self._window_seconds, self._previous_window_seconds)

    @property
    def newest_unplanned_seconds(self) -> float:
        """Return the delay of the newest timer, without the time of plans."""
        return self._newest_unplanned_seconds

    @property
    def planning_seconds(self) -> float:
        """Return the time that this process has spent on planning."""
        return self._planning_seconds

    def record_planning(self, seconds: float) -> None:
        """Count time in which the event loop waited for a plan."""
        self._planning_seconds += seconds

    def record(self, delay_seconds: float, planning_seconds: float = 0.0) -> None:
        """Record the delay of one timer of the event loop.

        :param planning_seconds: time spent on planning while the timer ran
        """
        now = self._clock()
        self._newest_unplanned_seconds = max(0.0, delay_seconds - planning_seconds)
        if now - self._window_started_at >= WINDOW_SECONDS:
            self._previous_window_seconds = self._window_seconds
            self._window_seconds = 0.0
            self._window_started_at = now
        self._window_seconds = max(self._window_seconds, delay_seconds)

    async def measure(self) -> None:
        """Sample the delay of the event loop until the task is cancelled."""
        while True:
            due_at = self._clock() + SAMPLE_SECONDS
            planned_before = self._planning_seconds
            await asyncio.sleep(SAMPLE_SECONDS)
            planning_seconds = self._planning_seconds - planned_before
            self.record(max(0.0, self._clock() - due_at), planning_seconds)
