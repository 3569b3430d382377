"""Queue of pending tasks, ordered by priority, fair share and age."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush

from dotterelhill.batch.interface import PendingTask
from dotterelhill.batch.quotas import Quotas
from dotterelhill.manifest import Job, Priority, Resources

PRIORITIES = (Priority.URGENT, Priority.NORMAL, Priority.LOW)


@dataclass(slots=True)
class JobQueue:
    """Pending tasks of one job.

    :param sequence_number: position in the order in which jobs were added; lower is older
    :param waiting_since: loop time in seconds since which it has pending tasks
    :param needed: resources that the ledger reserves for one task
    """

    name: str
    job: Job
    sequence_number: int
    waiting_since: float
    pending: dict[str, PendingTask] = field(default_factory=dict)
    needed: Resources = field(init=False)

    def __post_init__(self) -> None:
        self.needed = self.job.resources

    def next_task(self) -> PendingTask:
        """Return the first pending task."""
        return next(iter(self.pending.values()))


Team = tuple[str, str]


class RoundOrder:
    """Order of jobs in one placement round: lowest dominant shares first, then oldest job.

    Shares are read again at each step, because each placed task raises them.
    """

    def __init__(self, quotas: Quotas, teams: dict[Team, dict[str, JobQueue]]) -> None:
        self._quotas = quotas
        self._remaining_jobs: dict[Team, Iterator[JobQueue]] = {}
        self._heap: list[tuple[tuple[float, float], int, Team, JobQueue]] = []
        for team, jobs in teams.items():
            self._remaining_jobs[team] = iter(tuple(jobs.values()))
            self._push_next_job(team)

    def pop(self) -> JobQueue | None:
        """Return the job whose first pending task is placed next, or None if no job is left."""
        while self._heap:
            shares, sequence_number, team, queue = heappop(self._heap)
            current_shares = self._quotas.shares(*team)
            if shares < current_shares and self._heap and self._heap[0][0] < current_shares:
                heappush(self._heap, (current_shares, sequence_number, team, queue))
                continue
            return queue
        return None

    def requeue_job(self, queue: JobQueue) -> None:
        """Insert a job again after one of its tasks was placed, or the team's next job."""
        team = (queue.job.member, queue.job.team)
        if not queue.pending:
            self._push_next_job(team)
            return
        heappush(self._heap, (self._quotas.shares(*team), queue.sequence_number, team, queue))

    def skip_job(self, queue: JobQueue) -> None:
        """Insert the team's next job, because no task of ``queue`` can be placed now."""
        self._push_next_job((queue.job.member, queue.job.team))

    def _push_next_job(self, team: Team) -> None:
        for queue in self._remaining_jobs[team]:
            if queue.pending:
                heappush(
                    self._heap, (self._quotas.shares(*team), queue.sequence_number, team, queue)
                )
                return


class PendingQueue:
    """Jobs with pending tasks, by priority and team."""

    def __init__(self, quotas: Quotas) -> None:
        self._quotas = quotas
        self._jobs: dict[str, JobQueue] = {}
        self._teams: dict[Priority, dict[Team, dict[str, JobQueue]]] = {
            priority: {} for priority in PRIORITIES
        }
        self._added_count = 0

    def job(self, name: str) -> JobQueue | None:
        """Return the queue of a job, or None if it has no pending tasks."""
        return self._jobs.get(name)

    def jobs(self) -> Iterator[JobQueue]:
        """Yield the queues of all jobs with pending tasks."""
        yield from self._jobs.values()

    def add(self, task: PendingTask, job: Job, now: float) -> None:
        """Add a task; a job that is queued already keeps its position."""
        queue = self._jobs.get(task.job)
        if queue is not None and queue.job is not job:
            self._detach(queue)
            queue.job = job
            queue.needed = job.resources
            self._attach(queue)
        if queue is None:
            self._added_count += 1
            queue = self._jobs[task.job] = JobQueue(task.job, job, self._added_count, now)
            self._attach(queue)
        queue.pending[task.task] = task

    def remove(self, task: str, job: str) -> PendingTask | None:
        """Remove a task and return it, or None if it was not queued."""
        queue = self._jobs.get(job)
        found = queue.pending.pop(task, None) if queue else None
        if queue is not None and not queue.pending:
            del self._jobs[job]
            self._detach(queue)
        return found

    def round_order(self, priority: Priority) -> RoundOrder:
        """Return the order of the jobs of one priority for a placement round."""
        return RoundOrder(self._quotas, self._teams[priority])

    def _attach(self, queue: JobQueue) -> None:
        team = (queue.job.member, queue.job.team)
        self._teams[queue.job.priority].setdefault(team, {})[queue.name] = queue

    def _detach(self, queue: JobQueue) -> None:
        teams = self._teams[queue.job.priority]
        team = (queue.job.member, queue.job.team)
        del teams[team][queue.name]
        if not teams[team]:
            del teams[team]
