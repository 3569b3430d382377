"""Changes of the ledger, as the decision code of this slice needs them."""

from __future__ import annotations

from collections.abc import Iterator

from dotterelhill.batch.interface import Assignment, LedgerView, PendingTask, WorkerFacts
from dotterelhill.ledger import (
    Adopt,
    Assign,
    Capacity,
    Fence,
    JobLedger,
    Ledger,
    RecordVerdict,
    Run,
    Stopped,
    Unfence,
    Worker,
)
from dotterelhill.manifest import Priority


class LedgerFeed:
    """Collects what records have touched until the next tick."""

    def __init__(self, view: LedgerView) -> None:
        self._view = view
        self._tasks: dict[str, None] = {}
        self._workers: dict[str, None] = {}
        self._ended: list[Stopped] = []
        self._refused: list[Assign] = []
        self._is_all_changed = True

    @property
    def ledger(self) -> Ledger:
        """Return the fold."""
        return self._view.ledger

    @property
    def evidence_at(self) -> float:
        """Return the loop time up to which every control record is known."""
        return self._view.evidence_at

    def note(self, verdict: RecordVerdict) -> None:
        """Remember what a folded record has touched."""
        if not verdict.is_accepted:
            if isinstance(verdict.record, Assign):
                self._refused.append(verdict.record)
            return
        match verdict.record:
            case Assign(task=task):
                self._tasks[task] = None
            case Stopped(task=task) as stopped:
                self._ended.append(stopped)
                self._tasks[task] = None
            case Fence(worker=worker) | Unfence(worker=worker) | Capacity(worker=worker):
                self._workers[worker] = None
            case Adopt():
                self._is_all_changed = True

    def note_all(self) -> None:
        """Read everything anew, after a snapshot was restored."""
        self._is_all_changed = True

    def take_all_changed(self) -> bool:
        """Return whether everything is to be read anew."""
        is_all_changed = self._is_all_changed
        self._is_all_changed = False
        return is_all_changed

    def take_ended(self) -> list[Stopped]:
        """Return the accepted ends of runs since the last call."""
        ended = self._ended
        self._ended = []
        return ended

    def take_refused(self) -> list[Assign]:
        """Return the refused assignments of all writers since the last call."""
        refused = self._refused
        self._refused = []
        return refused

    def take_tasks(self) -> list[str]:
        """Return the touched tasks since the last call."""
        tasks = list(self._tasks)
        self._tasks.clear()
        return tasks

    def take_workers(self) -> list[str]:
        """Return the touched workers since the last call."""
        workers = list(self._workers)
        self._workers.clear()
        return workers

    def facts(self, worker: str) -> WorkerFacts | None:
        """Return what the ledger knows of a worker."""
        known = self.ledger.placements.workers.get(worker)
        return _facts(known) if known is not None else None

    def all_facts(self) -> Iterator[WorkerFacts]:
        """Yield what the ledger knows of every worker."""
        for worker in self.ledger.placements.workers.values():
            yield _facts(worker)

    def assignment(self, task: str) -> Assignment | None:
        """Return the current assignment of a task."""
        run = self.ledger.placements.runs.get(task)
        return self._assignment(run) if run is not None else None

    def all_assignments(self) -> Iterator[Assignment]:
        """Yield every current assignment."""
        for run in self.ledger.placements.runs.values():
            yield self._assignment(run)

    def assignments_on(self, worker: str) -> Iterator[Assignment]:
        """Yield the current assignments on a worker."""
        known = self.ledger.placements.workers.get(worker)
        for run in known.runs.values() if known is not None else ():
            yield self._assignment(run)

    def pending(self, task: str) -> PendingTask | None:
        """Return a task when it is pending and its job open."""
        key, _, index = task.rpartition("/")
        job = self.ledger.placements.jobs.get(key)
        if job is None or not job.is_open or int(index) not in job.pending:
            return None
        return _pending(job, int(index))

    def all_pending(self) -> Iterator[PendingTask]:
        """Yield the pending tasks of open jobs, the first declared job first."""
        for job in self.ledger.placements.declared_jobs.values():
            if not job.is_open:
                continue
            for index in sorted(job.pending):
                yield _pending(job, index)

    def _assignment(self, run: Run) -> Assignment:
        placements = self.ledger.placements
        job = placements.jobs[run.job].job
        return Assignment(
            task=run.task,
            worker=run.worker,
            token=run.token,
            attempt=run.attempt,
            checkpoint=run.checkpoint,
            resources=run.amounts.resources,
            run_seconds=job.run_seconds,
            is_urgent=job.priority is Priority.URGENT,
            is_cancelled=run.task in placements.unwanted_runs,
        )


def _facts(worker: Worker) -> WorkerFacts:
    return WorkerFacts(
        worker.name, worker.rack, worker.failure_domain, worker.capacity, worker.is_fenced
    )


def _pending(job: JobLedger, index: int) -> PendingTask:
    attempt, checkpoint = job.attempt_of(index)
    return PendingTask(f"{job.key}/{index}", job.name, attempt, checkpoint)
