"""Waiting tasks of jobs, and the questions that placement and its reservations ask about them."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.model import Job, Step, TaskKey, Timeliness
from dotterelhill.jobs.queues import Queue

OccurrenceStep = tuple[int, int]


@dataclass(slots=True)
class WaitingJob:
    """Waiting tasks of one job, by occurrence and step.

    :param pending: keys of the tasks that can start
    :param round_number: newest round in which tasks of the job could start
    :param path_at: loop time at which the critical paths were computed
    :param path_seconds: expected duration of the critical path through all steps
    :param remaining_seconds: expected duration of that through the unfinished steps
    :param timeliness: expected end of the job in the newest round in which its tasks could start
    """

    job: Job
    pending: dict[OccurrenceStep, list[TaskKey]] = field(default_factory=dict)
    round_number: int = 0
    path_at: float = float("-inf")
    path_seconds: float = 0.0
    remaining_seconds: float = 0.0
    timeliness: Timeliness = Timeliness.IN_TIME


# Sort key, current queue and waiting tasks of a job.
RankedJob = tuple[tuple[int, int, float], Queue, WaitingJob]


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
    for (occurrence, index), keys in waiting.pending.items():
        if keys and unix_ms >= submission.due_ms(occurrence):
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
