"""Pending tasks in the order of priority, fair share and age."""

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

    :param age: rises with each job that is added
    :param waiting_since: loop time since which it has pending tasks
    :param needed: what one task reserves
    """

    name: str
    job: Job
    age: int
    waiting_since: float
    pending: dict[str, PendingTask] = field(default_factory=dict)
    needed: Resources = field(init=False)

    def __post_init__(self) -> None:
        self.needed = self.job.resources

    def next_task(self) -> PendingTask:
        """Return the task that starts next."""
        return next(iter(self.pending.values()))


Team = tuple[str, str]


class RoundOrder:
    """Order of one round: the team with the lowest shares first, within it the oldest job.

    Shares are read anew after each step, because each placed task raises them.
    """

    def __init__(self, quotas: Quotas, teams: dict[Team, dict[str, JobQueue]]) -> None:
        self._quotas = quotas
        self._following: dict[Team, Iterator[JobQueue]] = {}
        self._heap: list[tuple[tuple[float, float], int, Team, JobQueue]] = []
        for team, jobs in teams.items():
            self._following[team] = iter(tuple(jobs.values()))
            self._push_following(team)

    def pop(self) -> JobQueue | None:
        """Return the job whose next task should start, or None at the end of the round."""
        while self._heap:
            shares, age, team, queue = heappop(self._heap)
            actual = self._quotas.shares(*team)
            if shares < actual and self._heap and self._heap[0][0] < actual:
                heappush(self._heap, (actual, age, team, queue))
                continue
            return queue
        return None

    def put_back(self, queue: JobQueue) -> None:
        """Go on with this job after one of its tasks was placed."""
        team = (queue.job.member, queue.job.team)
        if not queue.pending:
            self._push_following(team)
            return
        heappush(self._heap, (self._quotas.shares(*team), queue.age, team, queue))

    def leave_out(self, queue: JobQueue) -> None:
        """Go on with the team's next job, because no task of this one can start now."""
        self._push_following((queue.job.member, queue.job.team))

    def _push_following(self, team: Team) -> None:
        for queue in self._following[team]:
            if queue.pending:
                heappush(self._heap, (self._quotas.shares(*team), queue.age, team, queue))
                return


class PendingQueue:
    """Jobs with pending tasks, by priority and team."""

    def __init__(self, quotas: Quotas) -> None:
        self._quotas = quotas
        self._jobs: dict[str, JobQueue] = {}
        self._teams: dict[Priority, dict[Team, dict[str, JobQueue]]] = {
            priority: {} for priority in PRIORITIES
        }
        self._added = 0

    def job(self, name: str) -> JobQueue | None:
        """Return the queue of a job that has pending tasks."""
        return self._jobs.get(name)

    def jobs(self) -> Iterator[JobQueue]:
        """Yield the jobs with pending tasks."""
        yield from self._jobs.values()

    def add(self, task: PendingTask, job: Job, now: float) -> None:
        """Queue a task; its job keeps its place."""
        queue = self._jobs.get(task.job)
        if queue is not None and queue.job is not job:
            self._detach(queue)
            queue.job = job
            queue.needed = job.resources
            self._attach(queue)
        if queue is None:
            self._added += 1
            queue = self._jobs[task.job] = JobQueue(task.job, job, self._added, now)
            self._attach(queue)
        queue.pending[task.task] = task

    def remove(self, task: str, job: str) -> PendingTask | None:
        """Return the task that is not queued any more."""
        queue = self._jobs.get(job)
        found = queue.pending.pop(task, None) if queue else None
        if queue is not None and not queue.pending:
            del self._jobs[job]
            self._detach(queue)
        return found

    def round_order(self, priority: Priority) -> RoundOrder:
        """Return the order in which the jobs of one priority start tasks in this round."""
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
