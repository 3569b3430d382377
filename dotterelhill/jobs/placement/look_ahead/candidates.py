"""Large tasks that have waited long enough to hold reservations."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from heapq import nsmallest
from operator import itemgetter

from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.model import Job, Step, TaskKey
from dotterelhill.jobs.placement.waiting import RankedJob, WaitingJob, startable_steps
from dotterelhill.jobs.queues import Queue
from dotterelhill.jobs.resources import ResourceVector

# A fleet on which tasks start within some rounds gets no reservations.
MIN_WAIT_SECONDS = 0.3
# Share of the processors or memory of the largest minion of a service above which a task is large.
LARGE_SHARE = 0.25
# The longest waiting steps of a service get reservations first from this time on, and keep out
# others.
OVERDUE_SECONDS = 8.0
MAX_OVERDUE_SHARE = 1 / 64
# Steps of a service that are considered, and that are tried for the first places when overdue.
MAX_CANDIDATES = 32
MAX_OVERDUE_TRIED = 16

StepId = tuple[str, int, int]
# Priority, whether it holds no reservation, whether it is no gang, and the rank of its job; and the
# loop times of its newest start and from which it waits.
_Row = tuple[
    tuple[int, bool, bool, int, float, int], float, float, WaitingJob, Step, Queue, list[TaskKey]
]
OpenTasks = Callable[[Job, list[TaskKey]], list[TaskKey]]


@dataclass(slots=True)
class Candidate:
    """Step with large tasks that wait for capacity.

    :param since: loop time from which tasks of the step wait
    :param task_count: number of its waiting tasks
    """

    step_id: StepId
    waiting: WaitingJob
    step: Step
    queue: Queue
    since: float
    task_count: int

    @property
    def is_whole(self) -> bool:
        """Return whether the waiting tasks hold a reservation together or not at all."""
        return self.step.is_gang or bool(self.step.anti_affinity)


class Candidates:
    """Waiting times of large tasks, and their order for reservations."""

    def __init__(self) -> None:
        # Loop time from which a step waits, that of its newest start, and its waiting tasks.
        self._since: dict[StepId, tuple[float, float, int]] = {}
        # Changes when it changes which tasks are large.
        self._generation = 1
        self._capacities: dict[str, ResourceVector] = {}

    @property
    def step_count(self) -> int:
        """Return the number of waiting large steps that the newest search found."""
        return len(self._since)

    def find(
        self,
        ranked: Iterable[RankedJob],
        by_service: Mapping[str, Sequence[Minion]],
        held: Collection[StepId],
        open_tasks: OpenTasks,
        now: float,
        unix_ms: int,
    ) -> dict[str, list[Candidate]]:
        """Return the steps that may hold reservations, by service, in the order to get them.

        The longest waiting ones come first once they are overdue. The others are ordered by
        priority, and within a priority those with a reservation keep it, and gangs precede others:
        they rarely start without one. Overdue steps go behind each other with each start.

        :param held: steps that hold reservations
        :param open_tasks: returns those of a step's tasks that may start beside other tasks
        """
        self._update_capacities(by_service)
        since, self._since = self._since, {}
        rows: dict[str, list[_Row]] = {}
        for key, queue, waiting in ranked:
            if waiting.small_generation == self._generation:
                continue
            job = waiting.job
            capacity = self._capacities.get(queue.service)
            if capacity is None:
                continue
            if not any(_is_large(step, capacity) for step in job.submission.steps):
                waiting.small_generation = self._generation
                continue
            for step, keys in startable_steps(waiting, queue, unix_ms):
                if not _is_large(step, capacity):
                    continue
                step_id = (job.job_id, keys[0].occurrence, keys[0].step)
                began, turn_at, count = since.get(step_id, (now, now, 0))
                if len(keys) < count:
                    turn_at = now
                self._since[step_id] = (began, turn_at, len(keys))
                if now - began < MIN_WAIT_SECONDS or (step.is_gang and len(keys) < step.count):
                    continue
                rank = (queue.priority, step_id not in held, not step.is_gang, *key[1:])
                rows.setdefault(queue.service, []).append(
                    (rank, turn_at, began, waiting, step, queue, keys)
                )
        found = {
            service: _first_candidates(
                some, open_tasks, max_overdue_steps(by_service.get(service, ())), now
            )
            for service, some in rows.items()
        }
        return {service: candidates for service, candidates in found.items() if candidates}

    def is_large(self, step: Step, service: str) -> bool:
        """Return whether the tasks of a step may hold reservations."""
        capacity = self._capacities.get(service)
        return capacity is not None and _is_large(step, capacity)

    def _update_capacities(self, by_service: Mapping[str, Sequence[Minion]]) -> None:
        """Update the largest capacity of each service, on which it depends which tasks are large.

        A service that is unusable for a moment keeps its largest capacity.
        """
        for service, pool in by_service.items():
            if not pool:
                continue
            largest = ResourceVector(
                max(minion.facts.capacity.cpu for minion in pool),
                max(minion.facts.capacity.memory_mb for minion in pool),
                max(minion.facts.capacity.gpu for minion in pool),
            )
            if self._capacities.get(service) != largest:
                self._capacities[service] = largest
                self._generation += 1


def max_overdue_steps(pool: Sequence[Minion]) -> int:
    """Return how many overdue steps of a service come first."""
    return max(1, int(MAX_OVERDUE_SHARE * len(pool)))


def _first_candidates(
    rows: list[_Row], open_tasks: OpenTasks, max_overdue: int, now: float
) -> list[Candidate]:
    """Return the candidates of one service that come first in the order for reservations.

    :param max_overdue: number of overdue steps that come first
    """
    candidates: list[Candidate] = []
    for row in nsmallest(MAX_OVERDUE_TRIED, rows, key=itemgetter(1)):
        if now - row[2] >= OVERDUE_SECONDS and len(candidates) < max_overdue:
            candidates += _open_candidates(row, open_tasks)
    overdue = {candidate.step_id for candidate in candidates}
    for row in nsmallest(MAX_CANDIDATES, rows, key=itemgetter(0)):
        candidates += [
            one for one in _open_candidates(row, open_tasks) if one.step_id not in overdue
        ]
    return candidates


def _open_candidates(row: _Row, open_tasks: OpenTasks) -> list[Candidate]:
    """Return the candidate of a step; none if its tasks may not start beside other tasks."""
    _, _, since, waiting, step, queue, keys = row
    count = len(open_tasks(waiting.job, keys))
    if count < (step.count if step.is_gang else 1):
        return []
    step_id = (waiting.job.job_id, keys[0].occurrence, keys[0].step)
    return [Candidate(step_id, waiting, step, queue, since, count)]


def _is_large(step: Step, capacity: ResourceVector) -> bool:
    """Return whether a step may hold a reservation on minions of a size.

    Fillers and lasting tasks have claims instead.
    """
    if step.is_lasting or step.is_filler:
        return False
    if step.is_gang or step.anti_affinity or step.room.gpu:
        return True
    return (
        step.room.cpu > LARGE_SHARE * capacity.cpu
        or step.room.memory_mb > LARGE_SHARE * capacity.memory_mb
    )
