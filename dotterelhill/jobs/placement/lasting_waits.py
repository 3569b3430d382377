"""Waiting times of lasting tasks that do not run, and the reasons why no minion takes them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.minions.health import Exclusion
from dotterelhill.jobs.model import Job, Step, TaskKey
from dotterelhill.jobs.placement.waiting import misfit

# The platform allows a lasting task to be idle for 9 s while there is room for it.
REPORT_AFTER_SECONDS = 4.0
REPORT_INTERVAL_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class WaitingStep:
    """Lasting tasks of one step that wait for a minion.

    :param service: pool whose minions run the tasks
    :param keys: keys of the waiting tasks; not empty
    """

    job: Job
    step: Step
    service: str
    keys: Sequence[TaskKey]


@dataclass(frozen=True, slots=True)
class WaitReport:
    """Long wait of the lasting tasks of one step, for the log.

    :param fields: numbers of waiting tasks and of minions by what excludes them
    """

    job_id: str
    fields: dict[str, object]


class LastingWaits:
    """Waiting times of the lasting tasks that do not run."""

    def __init__(self) -> None:
        self._task_count = 0
        self._longest_seconds = 0.0
        self._reported_at: dict[tuple[str, int, int], float] = {}

    @property
    def task_count(self) -> int:
        """Return the number of waiting lasting tasks."""
        return self._task_count

    @property
    def longest_seconds(self) -> float:
        """Return the longest time for which a waiting lasting task has not run, in seconds."""
        return self._longest_seconds

    def update(self, steps: Iterable[WaitingStep], now: float) -> list[WaitingStep]:
        """Update the waiting times and return the steps whose wait has to be reported."""
        self._task_count = 0
        self._longest_seconds = 0.0
        earlier, self._reported_at = self._reported_at, {}
        overdue = []
        for waiting in steps:
            idle_seconds = 0.0
            for key in waiting.keys:
                task = waiting.job.task(key)
                if task.idle_since is None:
                    task.idle_since = now
                idle_seconds = max(idle_seconds, now - task.idle_since)
            self._task_count += len(waiting.keys)
            self._longest_seconds = max(self._longest_seconds, idle_seconds)
            if idle_seconds < REPORT_AFTER_SECONDS:
                continue
            first = waiting.keys[0]
            identity = (first.job_id, first.occurrence, first.step)
            self._reported_at[identity] = earlier.get(identity, float("-inf"))
            if now - self._reported_at[identity] >= REPORT_INTERVAL_SECONDS:
                self._reported_at[identity] = now
                overdue.append(waiting)
        return overdue


def explain_wait(
    waiting: WaitingStep,
    minions: Iterable[tuple[Minion, Exclusion | None]],
    room_seconds: float,
    now: float,
) -> WaitReport:
    """Return the waiting time of a step and the number of minions by what excludes them.

    A minion counts for the first reason that excludes it, and for the reason why no run may start
    on it only if the tasks would fit. ``fits`` counts the minions that are left: their room is
    reserved for other tasks, or there are no start orders left.

    :param minions: minions, each with the reason why no run may start on it
    :param room_seconds: time for which the step has waited beside room for two of its tasks
    """
    reasons: Counter[str] = Counter()
    for minion, exclusion in minions:
        if minion.facts.service == waiting.service:
            reason = misfit(minion, waiting.step, waiting.keys[0])
            reasons[reason or exclusion or "fits"] += 1
    idle_since = [waiting.job.task(key).idle_since or now for key in waiting.keys]
    step = waiting.step
    fields: dict[str, object] = {
        "task": str(waiting.keys[0]),
        "tasks": len(waiting.keys),
        "idle_ms": round(1000 * (now - min(idle_since))),
        "room_ms": round(1000 * room_seconds),
        "cpu": step.room.cpu,
        "memory_mb": step.room.memory_mb,
        "minions": sum(reasons.values()),
    }
    for reason, count in sorted(reasons.items()):
        fields[reason] = count
    return WaitReport(waiting.job.job_id, fields)
