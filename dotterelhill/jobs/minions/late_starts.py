"""Start orders without an answer, which a later incarnation of their minion may still carry out."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from dotterelhill.jobs.model import TaskKey

# A start order is not carried out later than this after its answer was due. The platform delays
# orders by up to 12 s.
LATE_SECONDS = 12.0
MAX_STARTS = 4096


@dataclass(frozen=True, slots=True)
class _LateStart:
    minion_id: str
    key: TaskKey
    run_id: int
    at: float


class LateStarts:
    """Recent start orders without an answer.

    An answered stop excludes such a start only until its minion starts again under its id: the next
    incarnation knows nothing of that stop, and takes calls that were meant for the earlier one.
    """

    def __init__(self) -> None:
        self._starts: deque[_LateStart] = deque(maxlen=MAX_STARTS)

    def add(self, minion_id: str, key: TaskKey, run_id: int, now: float) -> None:
        """Add a start order whose answer is overdue."""
        self._starts.append(_LateStart(minion_id, key, run_id, now))

    def on_minion(self, minion_id: str, now: float) -> Iterator[tuple[TaskKey, int]]:
        """Yield task and run of each order that a minion may still carry out."""
        while self._starts and now - self._starts[0].at > LATE_SECONDS:
            self._starts.popleft()
        for start in self._starts:
            if start.minion_id == minion_id:
                yield start.key, start.run_id
