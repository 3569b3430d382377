"""Detection of workers on which every task fails, and of jobs that fail on every worker."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from dotterelhill.batch.resume import MAX_FAILED_WORKERS

CONSECUTIVE_FAILURE_LIMIT = 3
INITIAL_QUARANTINE_SECONDS = 60.0
MAX_QUARANTINE_SECONDS = 3600.0


# Default for lookups in a dict whose values are None.
_ABSENT = object()


@dataclass(slots=True)
class _FailureHistory:
    """Failures on one worker since its last success.

    :param failed_jobs: jobs whose tasks have failed, used as an ordered set
    :param quarantined_until: loop time in seconds; None if the worker is not quarantined
    :param quarantine_seconds: duration of the latest quarantine, or of the first if there was none
    :param probe_task: task that runs as a probe after a quarantine; None for none
    """

    failed_jobs: dict[str, None] = field(default_factory=dict)
    quarantined_until: float | None = None
    quarantine_seconds: float = INITIAL_QUARANTINE_SECONDS
    probe_task: str | None = None


class FaultyWorkers:
    """Tracks failures to quarantine faulty workers and to end faulty jobs.

    A worker is quarantined after three different jobs have failed on it without a success in
    between. After the quarantine it gets one task as a probe: a success ends the suspicion, a
    failure starts a quarantine of twice the duration.
    """

    def __init__(self) -> None:
        self._workers: dict[str, _FailureHistory] = {}
        self._failed_workers_by_job: dict[str, dict[str, None]] = {}
        self._failed_jobs: set[str] = set()

    @property
    def failed_jobs(self) -> frozenset[str]:
        """Return the jobs that have failed on ``MAX_FAILED_WORKERS`` different workers."""
        return frozenset(self._failed_jobs)

    @property
    def suspected_workers(self) -> Iterable[str]:
        """Return the workers with failures since their last success."""
        return self._workers.keys()

    def quarantined_workers(self, now: float) -> dict[str, float]:
        """Return the workers in quarantine with the loop time at which it ends."""
        found = {}
        for name, worker in self._workers.items():
            if worker.quarantined_until is not None and now < worker.quarantined_until:
                found[name] = worker.quarantined_until
        return found

    def is_usable(self, worker: str, now: float) -> bool:
        """Return whether the worker may get a task.

        After a quarantine it may run one task at a time until one succeeds.
        """
        state = self._workers.get(worker)
        if state is None or state.quarantined_until is None:
            return True
        return now >= state.quarantined_until and state.probe_task is None

    def is_suspected(self, worker: str) -> bool:
        """Return whether the worker has failures since its last success."""
        return worker in self._workers

    def is_job_failed(self, job: str) -> bool:
        """Return whether the job has failed on ``MAX_FAILED_WORKERS`` different workers."""
        return job in self._failed_jobs

    def record_start(self, worker: str, task: str) -> None:
        """Record the start of a task; the first one after a quarantine is the probe."""
        state = self._workers.get(worker)
        if state is not None and state.quarantined_until is not None:
            state.probe_task = task

    def record_inconclusive_end(self, worker: str, task: str) -> None:
        """Record a run that ended without success or failure, such as an eviction."""
        state = self._workers.get(worker)
        if state is not None and state.probe_task == task:
            state.probe_task = None

    def record_success(self, worker: str, job: str) -> None:
        """Record a finished task; it clears the failures of its worker and of its job."""
        self._workers.pop(worker, None)
        self._failed_workers_by_job.pop(job, None)

    def record_failure(self, worker: str, job: str, now: float) -> None:
        """Record a failed run.

        :param now: loop time in seconds
        """
        state = self._workers.setdefault(worker, _FailureHistory())
        # A failure on a worker that has been quarantined is no evidence against the job.
        if state.quarantined_until is None:
            self._count_job_failure(worker, job)
        if job in self._failed_jobs:
            state.probe_task = None
            return
        state.failed_jobs[job] = None
        if state.quarantined_until is not None:
            state.quarantine_seconds = min(2 * state.quarantine_seconds, MAX_QUARANTINE_SECONDS)
            self._quarantine(state, now)
        elif len(state.failed_jobs) >= CONSECUTIVE_FAILURE_LIMIT:
            self._quarantine(state, now)

    def _quarantine(self, state: _FailureHistory, now: float) -> None:
        state.quarantined_until = now + state.quarantine_seconds
        state.probe_task = None

    def _count_job_failure(self, worker: str, job: str) -> None:
        workers = self._failed_workers_by_job.setdefault(job, {})
        workers[worker] = None
        if len(workers) < MAX_FAILED_WORKERS:
            return
        self._failed_jobs.add(job)
        del self._failed_workers_by_job[job]
        for name in tuple(self._workers):
            self._discount_failed_job(name, job)

    def _discount_failed_job(self, worker: str, job: str) -> None:
        """Remove a failed job from a worker's failures.

        The quarantine ends if the remaining failures are below the limit.
        """
        state = self._workers[worker]
        if state.failed_jobs.pop(job, _ABSENT) is _ABSENT:
            return
        if len(state.failed_jobs) < CONSECUTIVE_FAILURE_LIMIT:
            state.quarantined_until = None
            state.probe_task = None

    def forget_job(self, job: str) -> None:
        """Delete the failures of a job that was removed from the manifest."""
        self._failed_jobs.discard(job)
        self._failed_workers_by_job.pop(job, None)
