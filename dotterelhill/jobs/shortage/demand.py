"""Work that the waiting jobs still need."""

from __future__ import annotations

from dataclasses import dataclass, field

from dotterelhill.jobs.durations.model import DurationModel
from dotterelhill.jobs.model import TOO_LATE_FACTOR, Job, Timeliness
from dotterelhill.jobs.placement.waiting import WaitingJob
from dotterelhill.jobs.queues import Queue


@dataclass(slots=True)
class TrackedJob:
    """Job whose end is estimated; work is in processor seconds.

    :param queue: queue of the job as configured at the newest update
    :param total_work: expected work of all its tasks
    :param waiting_work: expected work of its tasks that do not run yet, by whether they are fillers
    :param left_work: expected work of its tasks that are not done
    :param path_seconds: expected duration of the critical path through all steps
    :param remaining_seconds: expected duration of that through the unfinished steps
    :param objective_seconds: time from its acceptance within which the job should end
    :param end_seconds: expected time until its end
    :param is_late: whether it is expected to end after its objective
    :param is_decided: whether it was counted as served in time or not
    """

    job: Job
    queue: Queue
    total_work: float
    waiting_work: dict[bool, float] = field(default_factory=dict)
    left_work: float = 0.0
    path_seconds: float = 0.0
    remaining_seconds: float = 0.0
    objective_seconds: float = 0.0
    end_seconds: float = 0.0
    is_late: bool = False
    is_decided: bool = False

    def timeliness(self, age_seconds: float) -> Timeliness:
        """Return whether the job can still be in time if all its tasks start without a wait."""
        end_seconds = age_seconds + self.remaining_seconds
        if end_seconds > TOO_LATE_FACTOR * self.objective_seconds:
            return Timeliness.TOO_LATE
        return Timeliness.LATE if end_seconds > self.objective_seconds else Timeliness.IN_TIME

    def refresh(self, waiting: WaitingJob, durations: DurationModel) -> None:
        """Compute the work that is left, and take over the paths that placement has computed."""
        self.path_seconds, self.remaining_seconds = waiting.path_seconds, waiting.remaining_seconds
        self.objective_seconds = self.queue.stretch * self.path_seconds + self.queue.target_seconds
        self.waiting_work, self.left_work = {}, 0.0
        name, job = self.queue.name, self.job
        for index, step in enumerate(job.submission.steps):
            left_count = step.count - job.done_counts.get((0, index), 0)
            if not left_count:
                continue
            work = durations.expected(name, step) * step.room.cpu / 1000.0
            self.left_work += left_count * work
            keys = waiting.pending.get((0, index))
            if keys is not None:
                left_count = len(keys)
            elif job.is_step_ready(0, index):
                continue
            known = self.waiting_work.get(step.is_filler, 0.0)
            self.waiting_work[step.is_filler] = known + left_count * work


def track(waiting: WaitingJob, queue: Queue, durations: DurationModel) -> TrackedJob | None:
    """Return the state of a job that ends by itself after one occurrence; None for other jobs."""
    submission = waiting.job.submission
    if submission.schedule is not None or queue.needs_advice:
        return None
    total_work = 0.0
    for step in submission.steps:
        if step.is_lasting:
            return None
        total_work += step.count * durations.expected(queue.name, step) * step.room.cpu / 1000.0
    return TrackedJob(waiting.job, queue, total_work)
