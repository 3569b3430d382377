"""Large tasks that have waited long enough to hold reservations."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.model import Job, Step, TaskKey
from dotterelhill.jobs.placement.waiting import RankedJob, WaitingJob, startable_steps
from dotterelhill.jobs.queues import Queue
from dotterelhill.jobs.resources import ResourceVector

# A fleet on which tasks start within some rounds gets no reservations.
MIN_WAIT_SECONDS = 0.3
# Share of the processors or memory of the largest minion of a service above which a task is large.
LARGE_SHARE = 0.25
# The longest waiting step of a service gets a reservation first from this time on.
OVERDUE_SECONDS = 5.0
# A service with more waiting jobs has a shortage, whatever their exact number.
MAX_COUNTED_JOBS = 200

StepId = tuple[str, int, int]
OpenTasks = Callable[[Job, list[TaskKey]], list[TaskKey]]


@dataclass(slots=True)
class Candidate:
    """Step with large tasks that wait for capacity.

    :param since: loop time from which it waits
    :param rank: timeliness and slack of its job
    :param task_count: number of its waiting tasks
    """

    step_id: StepId
    waiting: WaitingJob
    step: Step
    queue: Queue
    since: float
    rank: tuple[int, float]
    task_count: int

    @property
    def is_whole(self) -> bool:
        """Return whether the waiting tasks hold a reservation together or not at all."""
        return self.step.is_gang or bool(self.step.anti_affinity)


class Candidates:
    """Waiting times of large tasks, and their order for reservations."""

    def __init__(self) -> None:
        self._since: dict[StepId, float] = {}
        self._small_job_ids: set[str] = set()
        self._capacities: dict[str, ResourceVector] = {}
        self._waiting_small_cpu: dict[str, int] = {}

    @property
    def waiting_small_cpu(self) -> Mapping[str, int]:
        """Return the thousandths of a processor for which jobs without large tasks wait.

        Jobs that waited in the previous search as well count, up to ``MAX_COUNTED_JOBS`` of them.

        :returns: by service
        """
        return self._waiting_small_cpu

    def find(
        self,
        ranked: Iterable[RankedJob],
        by_service: Mapping[str, Sequence[Minion]],
        open_tasks: OpenTasks,
        now: float,
        unix_ms: int,
    ) -> dict[str, list[Candidate]]:
        """Return the steps that may hold reservations, by service.

        :param open_tasks: returns those of a step's tasks that may start beside other tasks
        """
        self._update_capacities(by_service)
        since, self._since = self._since, {}
        earlier_small, self._small_job_ids = self._small_job_ids, set()
        self._waiting_small_cpu = {}
        found: dict[str, list[Candidate]] = {}
        for key, queue, waiting in ranked:
            job = waiting.job
            if job.job_id in earlier_small:
                self._small_job_ids.add(job.job_id)
                if len(self._small_job_ids) <= MAX_COUNTED_JOBS:
                    self._count_small(waiting, queue, unix_ms)
                continue
            capacity = self._capacities.get(queue.service)
            if capacity is None:
                continue
            if not any(_is_large(step, capacity) for step in job.submission.steps):
                self._small_job_ids.add(job.job_id)
                continue
            for step, keys in startable_steps(waiting, queue, unix_ms):
                if not _is_large(step, capacity):
                    continue
                step_id = (job.job_id, keys[0].occurrence, keys[0].step)
                began = self._since[step_id] = since.get(step_id, now)
                if now - began < MIN_WAIT_SECONDS or (step.is_gang and len(keys) < step.count):
                    continue
                open_keys = open_tasks(job, keys)
                if not open_keys or (step.is_gang and len(open_keys) < step.count):
                    continue
                found.setdefault(queue.service, []).append(
                    Candidate(step_id, waiting, step, queue, began, key[1:], len(open_keys))
                )
        return found

    def _count_small(self, waiting: WaitingJob, queue: Queue, unix_ms: int) -> None:
        cpu = 0
        for step, keys in startable_steps(waiting, queue, unix_ms):
            cpu += len(keys) * step.reserved_resources.cpu
        self._waiting_small_cpu[queue.service] = self._waiting_small_cpu.get(queue.service, 0) + cpu

    def _update_capacities(self, by_service: Mapping[str, Sequence[Minion]]) -> None:
        """Update the largest capacity of each service, on which it depends which tasks are large.

        A service that is unusable for a moment keeps its largest capacity.
        """
        for service, pool in by_service.items():
            largest = ResourceVector(
                max(minion.facts.capacity.cpu for minion in pool),
                max(minion.facts.capacity.memory_mb for minion in pool),
                max(minion.facts.capacity.gpu for minion in pool),
            )
            if self._capacities.get(service) != largest:
                self._capacities[service] = largest
                self._small_job_ids.clear()


def order_candidates(
    candidates: Sequence[Candidate], held: set[StepId], now: float
) -> list[Candidate]:
    """Return candidates of one service in the order in which they get reservations.

    The longest waiting one comes first once it is overdue. Then they are ordered by priority, and
    within a priority those with a reservation keep it, and gangs precede others: they rarely start
    without one.

    :param held: steps that hold reservations
    """

    def rank(candidate: Candidate) -> tuple[int, bool, bool, int, float]:
        is_held, is_gang = candidate.step_id in held, candidate.step.is_gang
        return (candidate.queue.priority, not is_held, not is_gang, *candidate.rank)

    ordered = sorted(candidates, key=rank)
    longest = min(candidates, key=lambda candidate: candidate.since)
    if now - longest.since >= OVERDUE_SECONDS:
        ordered.remove(longest)
        ordered.insert(0, longest)
    return ordered


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
