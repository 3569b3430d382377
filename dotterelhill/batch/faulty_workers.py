"""Workers that fail everything they start, and jobs that fail everywhere."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from dotterelhill.batch.resume import FAILED_WORKERS

FAILURES_IN_A_ROW = 3
SET_ASIDE_SECONDS = 60.0
LONGEST_SET_ASIDE_SECONDS = 3600.0


# Default of a lookup whose stored values are None.
_ABSENT = object()


@dataclass(slots=True)
class _Worker:
    """Failures in a row, by job, since the last success."""

    failed_jobs: dict[str, None] = field(default_factory=dict)
    set_aside_until: float | None = None
    set_aside_seconds: float = SET_ASIDE_SECONDS
    probing: str | None = None


class FaultyWorkers:
    """Which workers get no tasks and which jobs are failed.

    A worker is set aside after failures of three different jobs in a row. After that time it
    gets one task as a probe; a success clears it, a failure sets it aside for twice as long.
    """

    def __init__(self) -> None:
        self._workers: dict[str, _Worker] = {}
        self._failed_on: dict[str, dict[str, None]] = {}
        self._failed_jobs: set[str] = set()

    @property
    def failed_jobs(self) -> frozenset[str]:
        """Return the jobs that failed on three different workers."""
        return frozenset(self._failed_jobs)

    @property
    def suspects(self) -> Iterable[str]:
        """Return the workers with failures since their last success."""
        return self._workers.keys()

    def set_aside(self, now: float) -> dict[str, float]:
        """Return the workers that get no task now, with the loop time of their return."""
        found = {}
        for name, worker in self._workers.items():
            if worker.set_aside_until is not None and now < worker.set_aside_until:
                found[name] = worker.set_aside_until
        return found

    def is_usable(self, worker: str, now: float) -> bool:
        """Return whether the worker may get a task; one that is on probation gets one at once."""
        state = self._workers.get(worker)
        if state is None or state.set_aside_until is None:
            return True
        return now >= state.set_aside_until and state.probing is None

    def is_suspected(self, worker: str) -> bool:
        """Return whether the worker has failures since its last success."""
        return worker in self._workers

    def is_job_failed(self, job: str) -> bool:
        """Return whether the job failed on three different workers."""
        return job in self._failed_jobs

    def started(self, worker: str, task: str) -> None:
        """Note a start; on a worker that returns from being set aside it is the probe."""
        state = self._workers.get(worker)
        if state is not None and state.set_aside_until is not None:
            state.probing = task

    def withdrawn(self, worker: str, task: str) -> None:
        """Note a run that ended without telling anything, such as an eviction."""
        state = self._workers.get(worker)
        if state is not None and state.probing == task:
            state.probing = None

    def succeeded(self, worker: str, job: str) -> None:
        """Note a finished task: neither the worker nor the job fails everything."""
        self._workers.pop(worker, None)
        self._failed_on.pop(job, None)

    def failed(self, worker: str, job: str, now: float) -> None:
        """Note a failed run."""
        state = self._workers.setdefault(worker, _Worker())
        # A worker under suspicion says nothing about the job.
        if state.set_aside_until is None:
            self._blame_job(worker, job)
        if job in self._failed_jobs:
            state.probing = None
            return
        state.failed_jobs[job] = None
        if state.set_aside_until is not None:
            state.set_aside_seconds = min(2 * state.set_aside_seconds, LONGEST_SET_ASIDE_SECONDS)
            self._set_aside(state, now)
        elif len(state.failed_jobs) >= FAILURES_IN_A_ROW:
            self._set_aside(state, now)

    def _set_aside(self, state: _Worker, now: float) -> None:
        state.set_aside_until = now + state.set_aside_seconds
        state.probing = None

    def _blame_job(self, worker: str, job: str) -> None:
        workers = self._failed_on.setdefault(job, {})
        workers[worker] = None
        if len(workers) < FAILED_WORKERS:
            return
        self._failed_jobs.add(job)
        del self._failed_on[job]
        for name in tuple(self._workers):
            self._absolve(name, job)

    def _absolve(self, worker: str, job: str) -> None:
        """Take a failed job off a worker's failures; it returns when too few are left."""
        state = self._workers[worker]
        if state.failed_jobs.pop(job, _ABSENT) is _ABSENT:
            return
        if len(state.failed_jobs) < FAILURES_IN_A_ROW:
            state.set_aside_until = None
            state.probing = None

    def forget_job(self, job: str) -> None:
        """Drop what is known of a job that was removed from the manifest."""
        self._failed_jobs.discard(job)
        self._failed_on.pop(job, None)
