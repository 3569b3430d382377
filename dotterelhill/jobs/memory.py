"""Memory that accepted jobs take in a leader, and how much of it jobs may take.

Each process may become the leader and then holds all accepted jobs. So a submission is refused
before the jobs take more than a share of the memory of the smallest process.
"""

from __future__ import annotations

from dotterelhill.jobs.model import Submission

# Slopes of docs/CAPACITY.md, rounded up.
JOB_BYTES = 3_000
STEP_BYTES = 900
OPEN_TASK_BYTES = 140
# Tasks of one step that wait for a minion at a time. A leader starts several hundred tasks a
# second, and rounds are at most 0.1 s apart.
MAX_OPEN_TASKS = 1024
# Share of the memory of a process that jobs may take. The rest is for the process itself, minions
# and runs, and for what a leader holds twice while it loads.
MAX_JOBS_SHARE = 0.25
# Submissions are accepted again below this share of the bound, so that the verdict does not change
# with each job.
RESUME_SHARE = 0.9
BYTES_PER_MB = 1 << 20


def job_bytes(submission: Submission, *, is_ended: bool) -> int:
    """Return the bytes that a job takes in a leader, besides its runs.

    :param is_ended: whether the job is only kept for its clients
    """
    size = JOB_BYTES + STEP_BYTES * len(submission.steps) + len(submission.payload)
    if is_ended:
        return size
    if submission.schedule is not None:
        # All of its occurrences may be due at once, after a pause.
        return size + OPEN_TASK_BYTES * MAX_OPEN_TASKS
    for step in submission.steps:
        size += OPEN_TASK_BYTES * (step.count if step.count < MAX_OPEN_TASKS else MAX_OPEN_TASKS)
    return size


class JobMemory:
    """Decision whether further jobs may be accepted."""

    def __init__(self) -> None:
        self._is_full = False

    @property
    def is_full(self) -> bool:
        """Return whether no further job may be accepted."""
        return self._is_full

    def update(self, known_bytes: int, memory_mb: float) -> None:
        """Decide anew whether further jobs may be accepted.

        :param known_bytes: bytes that the known jobs take
        :param memory_mb: memory of the smallest process in MB; 0 if it is not limited
        """
        limit = MAX_JOBS_SHARE * memory_mb * BYTES_PER_MB
        reached = limit * (RESUME_SHARE if self._is_full else 1.0)
        self._is_full = limit > 0.0 and known_bytes >= reached
