"""Lasting tasks that fail wherever they run, as opposed to minions on which tasks fail."""

from __future__ import annotations

from dataclasses import dataclass, field

from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.model import TaskKey

# Failures on this many minions in a row, without work in between, are held against the task rather
# than against the minions.
FAILED_MINIONS_TO_BLAME = 2
# A failure is forgotten after this time. Several times the time for which a minion is set aside.
MEMORY_SECONDS = 20.0
# A task that fails on every minion is started once in this time, as on a minion that is set aside.
# In between it claims no minion, so that short tasks can start.
RETRY_INTERVAL_SECONDS = 1.0


@dataclass(slots=True)
class _FailureRecord:
    """Failed runs of one task since it last worked.

    :param failed_at: loop time of the newest failure by minion id
    :param retry_at: loop time from which the task may start again
    """

    failed_at: dict[str, float] = field(default_factory=dict)
    retry_at: float = float("-inf")


class FailingTasks:
    """Failures of lasting tasks by minion, to tell failing tasks from failing minions."""

    def __init__(self) -> None:
        self._records: dict[TaskKey, _FailureRecord] = {}

    def record_failure(self, key: TaskKey, minion: Minion, now: float) -> bool:
        """Record a failed run and return whether the task fails on every minion."""
        record = self._records.setdefault(key, _FailureRecord())
        for minion_id, failed_at in list(record.failed_at.items()):
            if now - failed_at >= MEMORY_SECONDS:
                del record.failed_at[minion_id]
        record.failed_at[minion.minion_id] = now
        if len(record.failed_at) < FAILED_MINIONS_TO_BLAME:
            return False
        record.retry_at = now + RETRY_INTERVAL_SECONDS
        return True

    def forget(self, key: TaskKey) -> None:
        """Forget the failures of a task that works or whose job has ended."""
        self._records.pop(key, None)

    def due_tasks(self, keys: list[TaskKey], now: float) -> list[TaskKey]:
        """Return the waiting tasks that may start now."""
        if not self._records:
            return keys
        due = [key for key in keys if not self._is_delayed(key, now)]
        return keys if len(due) == len(keys) else due

    def avoidance(self, key: TaskKey, minion: Minion, now: float) -> float:
        """Return the cost of a start on a minion where the task failed lately.

        :returns: 0 without a failure there, otherwise 1 to 2, the most for the newest failure
        """
        record = self._records.get(key)
        failed_at = record.failed_at.get(minion.minion_id) if record is not None else None
        if failed_at is None or now - failed_at >= MEMORY_SECONDS:
            return 0.0
        return 2.0 - (now - failed_at) / MEMORY_SECONDS

    def _is_delayed(self, key: TaskKey, now: float) -> bool:
        """Return whether a task has failed on several minions and waits before its next run."""
        record = self._records.get(key)
        return record is not None and now < record.retry_at
