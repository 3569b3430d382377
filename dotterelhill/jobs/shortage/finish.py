"""Expected ends of waiting jobs, and of jobs that would arrive now.

Explanation
===========

A job waits until the work is done that ranks before it on its service, and then takes the time of
its critical path. Work is worked off at the throughput of its kind. Runs that have started are not
counted as work ahead: when the last waiting task before a job starts, about as much work is
running as now. Order, admission and ``Retry-After`` use these estimates.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from dotterelhill.jobs.model import TOO_LATE_FACTOR, Timeliness
from dotterelhill.jobs.queues import Queue
from dotterelhill.jobs.shortage.demand import TrackedJob
from dotterelhill.jobs.shortage.throughput import Supply, Throughput

# Weight of a new job in the typical work and path of its queue.
TYPICAL_WEIGHT = 0.05


@dataclass(slots=True)
class QueueOutlook:
    """Estimates for one queue, in seconds.

    :param waiting: number of jobs with waiting tasks
    :param late: number of those that are expected to end after their objective
    :param end_seconds: expected time until the end of a job that arrives now
    :param next_end_seconds: the same if it were the next of its priority and class to start
    :param useful_seconds: time after which a job of the queue has no value
    :param service: pool of minions that runs its tasks
    """

    waiting: int = 0
    late: int = 0
    end_seconds: float = 0.0
    next_end_seconds: float = 0.0
    useful_seconds: float = inf
    service: str = ""


@dataclass(slots=True)
class TypicalJob:
    """Decayed means over the jobs of a queue that arrived lately.

    :param is_filler: whether the newest job has fillers
    """

    queue: Queue
    work: float
    path_seconds: float
    is_filler: bool

    def learn(self, job: TrackedJob) -> None:
        """Take in a job that has just arrived."""
        self.queue, self.is_filler = job.queue, True in job.waiting_work
        self.work += TYPICAL_WEIGHT * (job.total_work - self.work)
        self.path_seconds += TYPICAL_WEIGHT * (job.path_seconds - self.path_seconds)

    @property
    def useful_seconds(self) -> float:
        """Return the time after which such a job has no value."""
        queue = self.queue
        return TOO_LATE_FACTOR * (queue.stretch * self.path_seconds + queue.target_seconds)


@dataclass(slots=True)
class _Ahead:
    """Waiting work of one supply.

    :param by_class: by priority and timeliness
    """

    total: float = 0.0
    by_class: dict[tuple[int, int], float] = field(default_factory=dict)

    def add(self, job: TrackedJob, timeliness: Timeliness, work: float) -> None:
        """Add the work of the job that ranks next."""
        self.total += work
        job_class = (job.queue.priority, timeliness)
        self.by_class[job_class] = self.by_class.get(job_class, 0.0) + work

    def before(self, priority: int, timeliness: Timeliness) -> float:
        """Return the work of the jobs that rank before a class."""
        bound = (priority, timeliness)
        return sum(work for job_class, work in self.by_class.items() if job_class < bound)


class FinishEstimate:
    """Expected ends of jobs, by queue.

    :param throughput: throughput of the services
    """

    def __init__(self, throughput: Throughput) -> None:
        self._throughput = throughput
        self._typical: dict[str, TypicalJob] = {}
        self.outlooks: dict[str, QueueOutlook] = {}
        self._next_outlooks: dict[str, QueueOutlook] = {}
        self._ahead: dict[Supply, _Ahead] = {}
        self._rates: dict[Supply, float] = {}

    def learn(self, job: TrackedJob) -> None:
        """Take in a job that has just arrived."""
        typical = self._typical.get(job.queue.name)
        if typical is None:
            typical = TypicalJob(job.queue, job.total_work, job.path_seconds, False)
            self._typical[job.queue.name] = typical
        typical.learn(job)

    def mean_work(self, queue: str) -> float:
        """Return the mean work of the jobs of a queue in processor seconds; 0 if not known."""
        typical = self._typical.get(queue)
        return 0.0 if typical is None else typical.work

    @property
    def queues(self) -> Iterable[Queue]:
        """Return the queues of which jobs have arrived."""
        return (typical.queue for typical in self._typical.values())

    def begin(self) -> None:
        """Begin to estimate the ends of all waiting jobs anew."""
        self._next_outlooks, self._ahead, self._rates = {}, {}, {}

    def add(self, jobs: Iterable[tuple[TrackedJob, float]], now: float) -> None:
        """Estimate the ends of the jobs that rank next.

        :param jobs: jobs with waiting tasks, as ranked, each with its age in seconds
        """
        outlooks, ahead, rates = self._next_outlooks, self._ahead, self._rates
        for job, age_seconds in jobs:
            timeliness = job.timeliness(age_seconds)
            wait_seconds = 0.0
            for is_filler, work in job.waiting_work.items():
                supply = Supply(job.queue.service, is_filler)
                if supply not in rates:
                    rates[supply] = self._throughput.rate(supply, now)
                    ahead[supply] = _Ahead()
                ahead[supply].add(job, timeliness, work)
                wait_seconds = max(wait_seconds, _seconds(ahead[supply].total, rates[supply]))
            job.end_seconds = wait_seconds + job.remaining_seconds
            job.is_late = age_seconds + job.end_seconds > job.objective_seconds
            name = job.queue.name
            outlook = outlooks.get(name)
            if outlook is None:
                outlook = outlooks[name] = QueueOutlook()
            outlook.waiting += 1
            outlook.late += job.is_late

    def finish(self, now: float) -> None:
        """Replace the estimates by those of the jobs that were added."""
        self.outlooks = self._next_outlooks
        for name, typical in self._typical.items():
            supply = Supply(typical.queue.service, typical.is_filler)
            rate = self._throughput.rate(supply, now)
            self._look_out(name, typical, self._ahead.get(supply, _Ahead()), rate)

    def _look_out(self, name: str, typical: TypicalJob, ahead: _Ahead, rate: float) -> None:
        """Estimate the end of a job of a queue that arrives now."""
        outlook = self.outlooks.setdefault(name, QueueOutlook())
        priority = typical.queue.priority
        higher = ahead.before(priority, Timeliness.IN_TIME)
        same = ahead.before(priority, Timeliness.LATE)
        outlook.next_end_seconds = _seconds(higher, rate) + typical.path_seconds
        outlook.end_seconds = _seconds(same, rate) + typical.path_seconds
        outlook.useful_seconds = typical.useful_seconds
        outlook.service = typical.queue.service


def _seconds(work: float, rate: float) -> float:
    """Return the time in which work is worked off; infinite without throughput."""
    if not work:
        return 0.0
    return work / rate if rate > 0.0 else inf
