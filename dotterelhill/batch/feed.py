"""Changes of the ledger since the last tick, converted to the types of this package."""

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
    """Collects the tasks and workers that control records change between two ticks."""

    def __init__(self, view: LedgerView) -> None:
        self._view = view
        self._tasks: dict[str, None] = {}
        self._workers: dict[str, None] = {}
        self._ended: list[Stopped] = []
        self._refused: list[Assign] = []
        self._is_all_changed = True

    @property
    def ledger(self) -> Ledger:
        """Return the ledger folded from the ``control`` stream."""
        return self._view.ledger

    @property
    def evidence_at(self) -> float:
        """Return the loop time up to which every control record is known."""
        return self._view.evidence_at

    def record_verdict(self, verdict: RecordVerdict) -> None:
        """Record which task or worker a folded record has changed."""
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

    def mark_all_changed(self) -> None:
        """Mark the whole ledger as changed, after a snapshot was restored."""
        self._is_all_changed = True

    def take_all_changed(self) -> bool:
        """Return whether the whole ledger has changed since the last call."""
        is_all_changed = self._is_all_changed
        self._is_all_changed = False
        return is_all_changed

    def take_ended(self) -> list[Stopped]:
        """Return the ``Stopped`` records accepted since the last call."""
        ended = self._ended
        self._ended = []
        return ended

    def take_refused(self) -> list[Assign]:
        """Return the ``Assign`` records of all writers refused since the last call."""
        refused = self._refused
        self._refused = []
        return refused

    def take_tasks(self) -> list[str]:
        """Return the tasks changed since the last call."""
        tasks = list(self._tasks)
        self._tasks.clear()
        return tasks

    def take_workers(self) -> list[str]:
        """Return the workers changed since the last call."""
        workers = list(self._workers)
        self._workers.clear()
        return workers

    def worker_facts(self, worker: str) -> WorkerFacts | None:
        """Return the ledger's entry of a worker, or None if it has none."""
        worker_state = self.ledger.placements.workers.get(worker)
        return _worker_facts(worker_state) if worker_state is not None else None

    def all_worker_facts(self) -> Iterator[WorkerFacts]:
        """Yield the ledger's entries of all workers."""
        for worker in self.ledger.placements.workers.values():
            yield _worker_facts(worker)

    def assignment(self, task: str) -> Assignment | None:
        """Return the current assignment of a task, or None if it has none."""
        run = self.ledger.placements.runs.get(task)
        return self._assignment(run) if run is not None else None

    def all_assignments(self) -> Iterator[Assignment]:
        """Yield every current assignment."""
        for run in self.ledger.placements.runs.values():
            yield self._assignment(run)

    def assignments_on(self, worker: str) -> Iterator[Assignment]:
        """Yield the current assignments on a worker."""
        worker_state = self.ledger.placements.workers.get(worker)
        for run in worker_state.runs.values() if worker_state is not None else ():
            yield self._assignment(run)

    def pending(self, task: str) -> PendingTask | None:
        """Return a task if it is pending and its job is open, otherwise None."""
        key, _, index = task.rpartition("/")
        job = self.ledger.placements.jobs.get(key)
        if job is None or not job.is_open or int(index) not in job.pending:
            return None
        return _pending(job, int(index))

    def all_pending(self) -> Iterator[PendingTask]:
        """Yield the pending tasks of open jobs in the order in which the jobs were declared."""
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


def _worker_facts(worker: Worker) -> WorkerFacts:
    return WorkerFacts(
        worker.name, worker.rack, worker.failure_domain, worker.capacity, worker.is_fenced
    )


def _pending(job: JobLedger, index: int) -> PendingTask:
    attempt, checkpoint = job.next_attempt(index)
    return PendingTask(f"{job.key}/{index}", job.name, attempt, checkpoint)
