"""Claims of minions by lasting tasks that have not run for long."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.model import Job, Step, TaskKey
from dotterelhill.jobs.placement.failing_tasks import FailingTasks
from dotterelhill.jobs.placement.filler_claims import StepId, step_id
from dotterelhill.jobs.placement.room_waits import RoomWaits
from dotterelhill.jobs.placement.waiting import (
    LASTING_OVERDUE_SECONDS,
    RankedJob,
    WaitingJob,
    has_required_label,
    is_anti_affinity_met,
    longest_idle_seconds,
    startable_lasting_steps,
)
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tenants.limits import TenantLimits


class LastingClaims:
    """Processors of minions that are kept free of short tasks for overdue lasting tasks.

    Without claims, a steady sequence of short tasks would fragment the free processors, so that a
    lasting task never fits.

    :param limits: limits of tenants
    :param room_waits: waits of lasting steps beside room
    :param is_closed: returns whether a minion is kept for short tasks, so that no task of a lasting
        step may claim it
    """

    def __init__(
        self,
        limits: TenantLimits,
        room_waits: RoomWaits,
        is_closed: Callable[[Minion, StepId], bool],
    ) -> None:
        self._limits = limits
        self._room_waits = room_waits
        self._is_closed = is_closed
        self._claimed_cpu: dict[Minion, int] = {}
        self._minions: dict[TaskKey, Minion] = {}

    @property
    def minions(self) -> Mapping[TaskKey, Minion]:
        """Return the claimed minions by task."""
        return self._minions

    def update(
        self,
        ranked: Sequence[RankedJob],
        by_service: Mapping[str, Sequence[Minion]],
        failing: FailingTasks,
        now: float,
        unix_ms: int,
    ) -> None:
        """Claim minions for lasting tasks that have waited longer than ``LASTING_OVERDUE_SECONDS``.

        :param ranked: jobs with lasting steps, in the order in which these may claim minions
        :param failing: tasks that fail on every minion; they claim none until their next run
        """
        earlier, self._minions = self._minions, {}
        self._claimed_cpu = {}
        # Smallest rooms that found no minion in this update, by service.
        failed: dict[str, list[ResourceVector]] = {}
        for _, queue, waiting in ranked:
            tenant = waiting.job.submission.tenant
            for step, keys in startable_lasting_steps(waiting, queue, unix_ms):
                if longest_idle_seconds(waiting.job, keys, now) < LASTING_OVERDUE_SECONDS:
                    continue
                identity = step_id(keys[0])
                is_due = self._room_waits.is_due(identity)
                # Minions that are closed to other steps may be open to a due one.
                if not is_due and any(map(step.room.is_enough_for, failed.get(queue.service, ()))):
                    continue
                pool = by_service.get(queue.service, [])
                claiming = failing.due_tasks(keys, now)
                count = self._limits.allowed_count(tenant, step, len(claiming))
                if is_due:
                    count = min(count, self._room_waits.claim_limit(identity))
                for key in claiming[:count]:
                    minion = self.claimable_minion(key, step, pool, earlier.get(key))
                    if minion is None:
                        if not step.required_label and not step.anti_affinity:
                            failed.setdefault(queue.service, []).append(step.room)
                        break
                    self._minions[key] = minion
                    self._claimed_cpu[minion] = self._claimed_cpu.get(minion, 0) + step.room.cpu

    def claimed_cpu(self, minion: Minion) -> int:
        """Return the thousandths of a processor of a minion that lasting tasks have claimed."""
        return self._claimed_cpu.get(minion, 0)

    def claimable_minion(
        self, key: TaskKey, step: Step, pool: Sequence[Minion], earlier: Minion | None
    ) -> Minion | None:
        """Return the minion that needs the fewest short tasks to end before a lasting task fits.

        :param earlier: minion claimed in the previous round; stays claimed if it still qualifies
        """
        if earlier is not None and earlier in pool and self._is_claimable(earlier, key, step):
            return earlier
        best: Minion | None = None
        smallest_shortfall = 0
        for minion in pool:
            if not self._is_claimable(minion, key, step):
                continue
            shortfall = step.room.cpu + self.claimed_cpu(minion) - minion.free_cpu
            if best is None or shortfall < smallest_shortfall:
                best, smallest_shortfall = minion, shortfall
        return best

    def _is_claimable(self, minion: Minion, key: TaskKey, step: Step) -> bool:
        """Return whether a task fits on a minion once all its short tasks have ended."""
        capacity, used, room = minion.facts.capacity, minion.used, step.room
        if capacity.cpu - minion.lasting_cpu - self.claimed_cpu(minion) < room.cpu:
            return False
        if capacity.memory_mb - used.memory_mb < room.memory_mb:
            return False
        if capacity.gpu - used.gpu < room.gpu or self._is_closed(minion, step_id(key)):
            return False
        return has_required_label(minion, step) and is_anti_affinity_met(minion, step, key)


def has_overdue_task(waiting: WaitingJob, now: float) -> bool:
    """Return whether a lasting task of a job has not run for ``LASTING_OVERDUE_SECONDS``."""
    for (_, index), keys in waiting.pending.items():
        if waiting.job.submission.steps[index].is_lasting:
            if longest_idle_seconds(waiting.job, keys, now) >= LASTING_OVERDUE_SECONDS:
                return True
    return False


def is_overdue(job: Job, key: TaskKey, now: float) -> bool:
    """Return whether a waiting lasting task has not run for ``LASTING_OVERDUE_SECONDS``."""
    return longest_idle_seconds(job, [key], now) >= LASTING_OVERDUE_SECONDS
