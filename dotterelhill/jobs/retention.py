"""Jobs that have ended and are kept for some time, so that clients can ask for their state."""

from __future__ import annotations

from collections import deque

from dotterelhill.jobs.model import Job


class EndedJobs:
    """Ended jobs in the order of their ends, so that a round looks only at those that are due.

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
        """Return and forget the jobs whose time is over and of which no run may be present."""
        jobs = self._jobs
        while jobs and now - jobs[0].ended_at >= self._retention_seconds:
            self._due.append(jobs.popleft())
        if not self._due:
            return []
        expired: list[Job] = []
        kept: list[Job] = []
        for job in self._due:
            is_present = job.has_assigned_task
            (kept if is_present else expired).append(job)
        self._due = kept
        return expired
