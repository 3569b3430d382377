"""Waiting tasks of jobs, and the questions that placement and its reservations ask about them."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.model import Job, Step, TaskKey
from dotterelhill.jobs.placement.task_size import TaskSize
from dotterelhill.jobs.queues import Queue

OccurrenceStep = tuple[int, int]

# Short tasks have to leave a minion to a lasting task that has not run for this time. The platform
# counts it from 6 s after its last run, which may be over when its run is known to be lost.
LASTING_OVERDUE_SECONDS = 5.0


@dataclass(slots=True, eq=False)
class WaitingJob:
    """Waiting tasks of one job, by occurrence and step.

    :param has_lasting_steps: whether tasks of the job run until they are stopped
    :param has_filler_steps: whether tasks of the job use idle processors
    :param sequence: number of the job in the order in which jobs became active
    :param pending: keys of the tasks that can start; of a large step, the first ones of them
    :param next_indices: index of the next task to open, of steps of which some are not pending
    :param next_occurrence: next occurrence to open, of a scheduled job
    :param is_removed: whether the job has ended
    :param entry: the job as ranked in the newest round; None if none of its tasks waited then
    :param needed_cpu: thousandths of a processor that its waiting tasks reserve, without lasting
        ones, as of the newest round
    :param sizes: sizes of the waiting tasks; None when they have to be looked up again
    :param sizes_generation: generation of ``Attempts`` to which the sizes belong
    :param path_at: loop time at which the critical paths were computed
    :param path_seconds: expected duration of the critical path through all steps
    :param remaining_seconds: expected duration of that through the unfinished steps
    :param small_generation: generation of ``Candidates`` in which none of its tasks is large
    :param timeliness_due_ms: Unix ms at which its timeliness is checked next; infinite for never
    """

    job: Job
    has_lasting_steps: bool
    has_filler_steps: bool
    sequence: int = 0
    pending: dict[OccurrenceStep, list[TaskKey]] = field(default_factory=dict)
    next_indices: dict[OccurrenceStep, int] = field(default_factory=dict)
    next_occurrence: int = 0
    is_removed: bool = False
    entry: RankedJob | None = None
    needed_cpu: int = 0
    sizes: tuple[TaskSize, ...] | None = None
    sizes_generation: int = 0
    path_at: float = float("-inf")
    path_seconds: float = 0.0
    remaining_seconds: float = 0.0
    timeliness_due_ms: float = float("inf")
    small_generation: int = 0

    @classmethod
    def of(cls, job: Job) -> WaitingJob:
        """Return a job without waiting tasks yet."""
        steps = job.submission.steps
        return cls(
            job,
            has_lasting_steps=any(step.is_lasting for step in steps),
            has_filler_steps=any(step.is_filler for step in steps),
        )


# Priority, timeliness, slack in seconds before an origin that all jobs share, and sequence number.
RankKey = tuple[int, int, float, int]
# Rank, current queue and waiting tasks of a job.
RankedJob = tuple[RankKey, Queue, WaitingJob]


class JobOrder(Protocol):
    """Order of jobs that replaces that by priority, timeliness and slack."""

    def rank(self, waiting: WaitingJob, queue: Queue, key: RankKey) -> RankKey:
        """Return the rank of a job.

        :param key: its rank by priority, timeliness and slack
        """


def startable_lasting_steps(
    waiting: WaitingJob, queue: Queue, unix_ms: int
) -> Iterator[tuple[Step, list[TaskKey]]]:
    """Yield the steps of a job with lasting tasks that may start, with the keys of the tasks."""
    for step, keys in startable_steps(waiting, queue, unix_ms):
        if step.is_lasting:
            yield step, keys


def startable_steps(
    waiting: WaitingJob, queue: Queue, unix_ms: int
) -> Iterator[tuple[Step, list[TaskKey]]]:
    """Yield the steps of a job of which tasks may start, with the keys of the tasks."""
    if queue.needs_advice:
        return
    submission = waiting.job.submission
    is_scheduled = submission.schedule is not None
    for (occurrence, index), keys in waiting.pending.items():
        if keys and not (is_scheduled and unix_ms < submission.due_ms(occurrence)):
            yield submission.steps[index], keys


def longest_idle_seconds(job: Job, keys: Sequence[TaskKey], now: float) -> float:
    """Return the longest time in seconds for which one of the waiting tasks has not run."""
    idle_seconds = 0.0
    for key in keys:
        idle_since = job.task(key).idle_since
        if idle_since is not None:
            idle_seconds = max(idle_seconds, now - idle_since)
    return idle_seconds


def has_required_label(minion: Minion, step: Step) -> bool:
    """Return whether a minion has the label that a step requires, if any."""
    return not step.required_label or step.required_label in minion.facts.labels


def is_anti_affinity_met(minion: Minion, step: Step, key: TaskKey) -> bool:
    """Return whether one more task of a step may run on a minion."""
    if not step.anti_affinity:
        return True
    return minion.run_count(key.job_id, key.occurrence, key.step) < step.anti_affinity


def misfit(minion: Minion, step: Step, key: TaskKey) -> str:
    """Return why the tasks of a step do not fit on a minion, for the log; empty when they fit."""
    capacity, used, room = minion.facts.capacity, minion.used, step.room
    if not has_required_label(minion, step):
        return "no_label"
    if not is_anti_affinity_met(minion, step, key):
        return "anti_affinity"
    if capacity.cpu - used.cpu < (0 if step.is_filler else room.cpu):
        return "no_cpu"
    if capacity.memory_mb - used.memory_mb < room.memory_mb:
        return "no_memory"
    return "no_gpu" if capacity.gpu - used.gpu < room.gpu else ""
