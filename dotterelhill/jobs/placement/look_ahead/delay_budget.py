"""Bound on how much reservations may delay smaller tasks."""

from __future__ import annotations

# Share of the waiting of smaller tasks that reservations may cause. Room that is kept free also
# delays the tasks behind those that it keeps out, so it is well below the intended tenth.
MAX_DELAY_SHARE = 0.04
# Budget that a service may save up, as seconds of all its processors.
MAX_SAVED_SECONDS = 0.05


class DelayBudget:
    """Budget of one service for keeping smaller tasks out.

    Waiting smaller tasks add to it, and those that are kept out use it up. So reservations keep
    nobody out where small tasks don't wait, and may do so in a shortage, where all tasks wait.
    """

    def __init__(self) -> None:
        self._saved = 0.0
        self._at: float | None = None

    @property
    def is_left(self) -> bool:
        """Return whether reservations may keep out smaller tasks."""
        return self._saved > 0.0

    def record(self, waiting_cpu: int, kept_cpu: int, capacity_cpu: int, now: float) -> None:
        """Record the state of the service since the previous call.

        :param waiting_cpu: thousandths of a processor that waiting smaller tasks need
        :param kept_cpu: thousandths of a processor that are free, but kept for reservations
        :param capacity_cpu: thousandths of a processor of the minions of the service
        """
        seconds = 0.0 if self._at is None else now - self._at
        self._at = now
        change = MAX_DELAY_SHARE * waiting_cpu - min(waiting_cpu, kept_cpu)
        self._saved = min(MAX_SAVED_SECONDS * capacity_cpu, self._saved + change * seconds)
