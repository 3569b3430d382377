"""Jobs that have ended: how long they are kept, and which ones are removed."""

from __future__ import annotations

from collections import deque

from dotterelhill.jobs.model import Job, Submission


class EndedJobs:
    """Ended jobs, which are kept so that clients can ask for their state.

    They are in the order of their ends, so that a round looks only at those that are due.

    :param retention_seconds: time for which an ended job is kept
    """

    def __init__(self, retention_seconds: float) -> None:
        self._retention_seconds = retention_seconds
        self._jobs: deque[Job] = deque()
        self._due: list[Job] = []

    def add(self, job: Job) -> None:
        """Add a job that has ended."""
        self._jobs.append(job)

    def take_expired(self, now: float) -> list[Job]:
        """Return and forget the jobs whose time is over and of which no run may be present.

        A job whose end is not stored is kept: to a later leader it has not ended.
        """
        jobs = self._jobs
        while jobs and now - jobs[0].ended_at >= self._retention_seconds:
            self._due.append(jobs.popleft())
        if not self._due:
            return []
        expired: list[Job] = []
        kept: list[Job] = []
        for job in self._due:
            is_kept = job.has_assigned_task or job.stored_state is not job.state
            (kept if is_kept else expired).append(job)
        self._due = kept
        return expired


class RemovedSubmissions:
    """Submissions that were removed from the store lately.

    A snapshot of the stored submissions whose read began before a removal still contains the
    removed one, whose job would run again.

    :param keep_seconds: time for which a removal is remembered
    """

    def __init__(self, keep_seconds: float) -> None:
        self._keep_seconds = keep_seconds
        # Time of acceptance in Unix ms and loop time of the removal, by job id.
        self._removals: dict[str, tuple[int, float]] = {}

    def add(self, submission: Submission, now: float) -> None:
        """Record that a submission was removed."""
        self._removals.pop(submission.job_id, None)
        self._removals[submission.job_id] = (submission.accepted_ms, now)

    def has(self, submission: Submission) -> bool:
        """Return whether a submission is a removed one, and not a later one with its id."""
        removal = self._removals.get(submission.job_id)
        return removal is not None and removal[0] == submission.accepted_ms

    def expire(self, now: float) -> None:
        """Forget the removals whose time is over."""
        for job_id, (_, removed_at) in list(self._removals.items()):
            if now - removed_at < self._keep_seconds:
                break
            del self._removals[job_id]
