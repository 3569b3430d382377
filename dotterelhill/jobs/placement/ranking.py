"""Waiting jobs in the order in which they may start tasks, kept between scheduling rounds.

Explanation
===========

A job is ranked by priority, timeliness and slack. Slack falls at the same rate for all jobs, so the
slack at a common origin orders them alike at all times. The rank of a job is computed again when
its waiting tasks or its queue change, when its expected durations are out of date, and when its
timeliness changes, which happens at a known time. A round therefore costs little for jobs of which
nothing has changed.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from heapq import heapify, heappop, heappush
from itertools import count
from math import inf
from operator import itemgetter

from dotterelhill.jobs.durations.model import DurationModel
from dotterelhill.jobs.model import TOO_LATE_FACTOR, Job, Timeliness
from dotterelhill.jobs.placement.waiting import JobOrder, RankedJob, RankKey, WaitingJob
from dotterelhill.jobs.queues import Queue

# Learned durations change slowly, and thousands of jobs are ranked. A step that is done changes the
# remaining path at once.
PATH_VALID_SECONDS = 0.5
# Jobs that arrive together are ranked together, and would take milliseconds of one round each time
# their durations are out of date. A leader runs 10 to 40 rounds in a second.
MAX_RENEWED_PATHS = 250
# The computed time of a change of timeliness is rounded, so it is checked this much earlier.
TIMELINESS_MARGIN_MS = 1.0
# Heaps are built anew when they have this many entries for each job that they are needed for.
MAX_HEAP_RATIO = 4
MIN_HEAP_SIZE = 64

QueueLookup = Callable[[Job], Queue]


class Ranking:
    """Order of the jobs with waiting tasks, and sums over them.

    :param durations: learned durations of tasks
    :param job_order: order of jobs that replaces the usual one; None for the usual one
    """

    def __init__(self, durations: DurationModel, job_order: JobOrder | None = None) -> None:
        self._durations = durations
        self._job_order = job_order
        self._jobs: dict[str, WaitingJob] = {}
        self._lasting_jobs: dict[str, WaitingJob] = {}
        self._touched: dict[str, WaitingJob] = {}
        self._sequence = count()
        self._ranked: list[RankedJob] = []
        self._ranked_lasting: list[RankedJob] = []
        self._ranked_fillers: list[RankedJob] = []
        self._added: list[WaitingJob] = []
        self._is_order_outdated = False
        self._needed_cpu: dict[str, int] = {}
        # Times at which something is due, a number that makes entries unique, and the job.
        self._path_times: list[tuple[float, int, WaitingJob]] = []
        self._timeliness_times: list[tuple[float, int, WaitingJob]] = []
        self._accepted_times: list[tuple[int, int, WaitingJob]] = []
        self._entry_numbers = count()
        self._origin_ms: int | None = None
        self._unix_ms: int = 0

    @property
    def ranked(self) -> Sequence[RankedJob]:
        """Return the jobs whose tasks waited at the newest update, the first to start first."""
        return self._ranked

    @property
    def ranked_lasting(self) -> Sequence[RankedJob]:
        """Return those ranked jobs that have lasting steps."""
        return self._ranked_lasting

    @property
    def ranked_fillers(self) -> Sequence[RankedJob]:
        """Return those ranked jobs that have steps of fillers."""
        return self._ranked_fillers

    @property
    def lasting_jobs(self) -> Sequence[WaitingJob]:
        """Return all active jobs that have lasting steps, the first to become active first."""
        return list(self._lasting_jobs.values())

    @property
    def needed_cpu(self) -> Mapping[str, int]:
        """Return the thousandths of a processor that waiting tasks reserve, by tenant.

        Lasting tasks don't count. The name of the tenant is empty for jobs without one.
        """
        return self._needed_cpu

    def newest_accepted_ms(self) -> int:
        """Return the Unix ms at which the newest of the active jobs was accepted; 0 for none."""
        times = self._accepted_times
        while times and self._jobs.get(times[0][2].job.job_id) is not times[0][2]:
            heappop(times)
        return -times[0][0] if times else 0

    def add(self, waiting: WaitingJob) -> None:
        """Add a job that became active."""
        job = waiting.job
        waiting.sequence = next(self._sequence)
        self._jobs[job.job_id] = waiting
        if waiting.has_lasting_steps:
            self._lasting_jobs[job.job_id] = waiting
        accepted_ms = job.submission.accepted_ms
        if self._origin_ms is None:
            self._origin_ms = accepted_ms
        heappush(self._accepted_times, (-accepted_ms, waiting.sequence, waiting))
        if len(self._accepted_times) > MAX_HEAP_RATIO * len(self._jobs) + MIN_HEAP_SIZE:
            self._accepted_times = [
                (-known.job.submission.accepted_ms, known.sequence, known)
                for known in self._jobs.values()
            ]
            heapify(self._accepted_times)
        self.touch(waiting)

    def remove(self, waiting: WaitingJob) -> None:
        """Remove a job that has ended."""
        job_id = waiting.job.job_id
        self._jobs.pop(job_id, None)
        self._lasting_jobs.pop(job_id, None)
        self._touched.pop(job_id, None)
        self._count_needed_cpu(waiting, 0)
        self._drop(waiting)

    def touch(self, waiting: WaitingJob) -> None:
        """Record that the waiting tasks of a job, or its remaining path, have changed."""
        self._touched[waiting.job.job_id] = waiting

    def touch_all(self) -> None:
        """Record that queues have changed."""
        self._touched.update(self._jobs)

    def update(self, queue_of: QueueLookup, now: float, unix_ms: int) -> None:
        """Bring the order and the sums up to date at the beginning of a round.

        :param queue_of: returns the current queue configuration of a job
        :param unix_ms: wall-clock time in Unix ms, for the objectives of jobs
        """
        if unix_ms < self._unix_ms:
            self.touch_all()
        self._unix_ms = unix_ms
        touched, self._touched = self._touched, {}
        for waiting in touched.values():
            waiting.sizes = None
            if waiting.pending:
                self._count_needed_cpu(waiting, _needed_cpu(waiting))
                self._rank(waiting, queue_of, now)
            else:
                self._count_needed_cpu(waiting, 0)
                self._drop(waiting)
        times = self._path_times
        renewed_count = 0
        while times and now - times[0][0] >= PATH_VALID_SECONDS:
            at, _, waiting = heappop(times)
            if waiting.entry is not None and waiting.path_at == at:
                self._rank(waiting, queue_of, now)
                renewed_count += 1
                if renewed_count >= MAX_RENEWED_PATHS:
                    break
        times = self._timeliness_times
        while times and times[0][0] <= unix_ms:
            due_ms, _, waiting = heappop(times)
            if waiting.timeliness_due_ms == due_ms:
                waiting.timeliness_due_ms = inf
                if waiting.entry is not None:
                    self._rank(waiting, queue_of, now)
        if self._is_order_outdated:
            self._sort()

    def _rank(self, waiting: WaitingJob, queue_of: QueueLookup, now: float) -> None:
        """Compute the rank of a job."""
        queue = queue_of(waiting.job)
        key = self._key(waiting, queue, now)
        entry = waiting.entry
        if entry is None:
            self._added.append(waiting)
        elif entry[0] == key and entry[1] is queue:
            return
        waiting.entry = (key, queue, waiting)
        self._is_order_outdated = True

    def _drop(self, waiting: WaitingJob) -> None:
        """Remove a job from the order."""
        if waiting.entry is not None:
            waiting.entry = None
            self._is_order_outdated = True

    def _key(self, waiting: WaitingJob, queue: Queue, now: float) -> RankKey:
        """Return the sort key of a job: priority, timeliness, slack and sequence number."""
        job = waiting.job
        if now - waiting.path_at >= PATH_VALID_SECONDS:
            waiting.path_at = now
            waiting.path_seconds, waiting.remaining_seconds = _path_seconds(job, self._durations)
            heappush(self._path_times, (now, next(self._entry_numbers), waiting))
        remaining = waiting.remaining_seconds
        accepted_ms = job.submission.accepted_ms
        age_seconds = (self._unix_ms - accepted_ms) / 1000.0
        objective = queue.stretch * waiting.path_seconds + queue.target_seconds
        timeliness = Timeliness.IN_TIME
        until_seconds = objective - remaining
        if age_seconds + remaining > TOO_LATE_FACTOR * objective:
            timeliness = Timeliness.TOO_LATE
            until_seconds = inf
        elif age_seconds + remaining > objective:
            timeliness = Timeliness.LATE
            until_seconds = TOO_LATE_FACTOR * objective - remaining
        self._check_timeliness_at(waiting, accepted_ms + 1000.0 * until_seconds)
        origin_ms = self._origin_ms or 0
        rank_seconds = (accepted_ms - origin_ms) / 1000.0 + objective - remaining
        key = (queue.priority, timeliness, rank_seconds, waiting.sequence)
        return key if self._job_order is None else self._job_order.rank(waiting, queue, key)

    def _check_timeliness_at(self, waiting: WaitingJob, unix_ms: float) -> None:
        """Compute the rank of a job again at a time, or earlier if that is already planned."""
        due_ms = max(unix_ms - TIMELINESS_MARGIN_MS, self._unix_ms + TIMELINESS_MARGIN_MS)
        if due_ms < waiting.timeliness_due_ms:
            waiting.timeliness_due_ms = due_ms
            heappush(self._timeliness_times, (due_ms, next(self._entry_numbers), waiting))

    def _sort(self) -> None:
        """Bring the jobs in order; sorting a list that is almost in order costs little."""
        entries = [entry[2].entry for entry in self._ranked]
        entries += [waiting.entry for waiting in self._added]
        ranked = [entry for entry in entries if entry is not None]
        ranked.sort(key=itemgetter(0))
        self._ranked = ranked
        self._ranked_lasting = [entry for entry in ranked if entry[2].has_lasting_steps]
        self._ranked_fillers = [entry for entry in ranked if entry[2].has_filler_steps]
        self._added = []
        self._is_order_outdated = False
        if len(self._timeliness_times) > MAX_HEAP_RATIO * len(ranked) + MIN_HEAP_SIZE:
            self._timeliness_times = [
                (entry[2].timeliness_due_ms, next(self._entry_numbers), entry[2])
                for entry in ranked
                if entry[2].timeliness_due_ms < inf
            ]
            heapify(self._timeliness_times)

    def _count_needed_cpu(self, waiting: WaitingJob, needed_cpu: int) -> None:
        """Replace what a job contributes to the sum of its tenant."""
        change = needed_cpu - waiting.needed_cpu
        if not change:
            return
        waiting.needed_cpu = needed_cpu
        tenant = waiting.job.submission.tenant
        total = self._needed_cpu.get(tenant, 0) + change
        if total:
            self._needed_cpu[tenant] = total
        else:
            del self._needed_cpu[tenant]


def _needed_cpu(waiting: WaitingJob) -> int:
    """Return the thousandths of a processor that waiting tasks reserve that are not lasting."""
    needed_cpu = 0
    for (_, index), keys in waiting.pending.items():
        step = waiting.job.submission.steps[index]
        if not step.is_lasting and not step.is_filler:
            needed_cpu += len(keys) * step.room.cpu
    return needed_cpu


def _path_seconds(job: Job, durations: DurationModel) -> tuple[float, float]:
    """Return the expected durations in seconds of two critical paths of a job.

    :returns: path through all steps, and path through the unfinished steps
    """
    queue = job.submission.queue.name
    ends: list[float] = []
    remaining_ends: list[float] = []
    for number, step in enumerate(job.submission.steps):
        seconds = durations.expected(queue, step)
        is_done = job.is_step_done(0, number)
        start = max((ends[index] for index in step.after), default=0.0)
        ends.append(start + seconds)
        start = max((remaining_ends[index] for index in step.after), default=0.0)
        remaining_ends.append(start if is_done else start + seconds)
    return max(ends, default=0.0), max(remaining_ends, default=0.0)
