"""Start orders without an answer, which a later incarnation of their minion may still carry out."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from math import inf

from dotterelhill.jobs.model import TaskKey

# A start order is not carried out later than this after its answer was due. The platform delays
# orders by up to 12 s.
LATE_SECONDS = 12.0
# Orders are kept for longer than the lease that a run has which begins at the last moment.
KEPT_SECONDS = 20.0
MAX_STARTS = 4096


@dataclass(frozen=True, slots=True)
class _LateStart:
    minion_id: str
    key: TaskKey
    run_id: int
    at: float


class LateStarts:
    """Recent start orders without an answer.

    A fence or an answered stop excludes such a start only until its minion starts again under its
    id: the next incarnation knows nothing of them, and takes calls that were meant for the earlier
    one.
    """

    def __init__(self) -> None:
        self._starts: deque[_LateStart] = deque()
        self._by_task: dict[TaskKey, list[_LateStart]] = {}

    def __len__(self) -> int:
        """Return the number of orders."""
        return len(self._starts)

    def add(self, minion_id: str, key: TaskKey, run_id: int, now: float) -> None:
        """Add a start order whose answer is overdue, unless it is known."""
        for known in self._by_task.get(key, ()):
            if (known.minion_id, known.run_id) == (minion_id, run_id):
                return
        start = _LateStart(minion_id, key, run_id, now)
        self._starts.append(start)
        self._by_task.setdefault(key, []).append(start)
        if len(self._starts) > MAX_STARTS:
            self._forget(self._starts.popleft())

    def withdraw(self, minion_id: str, key: TaskKey, run_id: int) -> None:
        """Remove a start order that has been carried out."""
        for start in self._by_task.get(key, ()):
            if (start.minion_id, start.run_id) == (minion_id, run_id):
                self._starts.remove(start)
                self._forget(start)
                return

    def expire(self, now: float) -> list[TaskKey]:
        """Remove orders that are not carried out any more, nor hold a lease if they were.

        :returns: the tasks of these orders
        """
        expired = []
        while self._starts and now - self._starts[0].at > KEPT_SECONDS:
            start = self._starts.popleft()
            self._forget(start)
            expired.append(start.key)
        return expired

    def withdraw_minion(self, minion_id: str) -> list[TaskKey]:
        """Remove the orders to a minion that is gone for good, and return their tasks."""
        gone = [start for start in self._starts if start.minion_id == minion_id]
        for start in gone:
            self._starts.remove(start)
            self._forget(start)
        return [start.key for start in gone]

    def known(self, key: TaskKey) -> tuple[tuple[str, int], ...]:
        """Return minion id and number of the run of each known order of a task."""
        return tuple((start.minion_id, start.run_id) for start in self._by_task.get(key, ()))

    def on_minion(self, minion_id: str, now: float) -> Iterator[tuple[TaskKey, int]]:
        """Yield task and run of each order that a minion may still carry out."""
        for start in self._starts:
            if start.minion_id == minion_id and now < start.at + LATE_SECONDS:
                yield start.key, start.run_id

    def has_any(self, key: TaskKey) -> bool:
        """Return whether an order of a task is known that has come late or may do so."""
        return key in self._by_task

    def of_task(self, key: TaskKey, now: float) -> list[str]:
        """Return the minion id of each order of a task that may still be carried out."""
        starts = self._by_task.get(key, ())
        return [start.minion_id for start in starts if now < start.at + LATE_SECONDS]

    def until(self, minion_id: str, key: TaskKey) -> float:
        """Return until when a minion may carry out an order of a task; -inf for none."""
        times = [one.at for one in self._by_task.get(key, ()) if one.minion_id == minion_id]
        return max(times, default=-inf) + LATE_SECONDS

    def last_until(self, key: TaskKey) -> float:
        """Return until when any minion may carry out an order of a task; -inf for none."""
        return max((one.at for one in self._by_task.get(key, ())), default=-inf) + LATE_SECONDS

    def _forget(self, start: _LateStart) -> None:
        starts = self._by_task[start.key]
        starts.remove(start)
        if not starts:
            del self._by_task[start.key]
