"""Workers, jobs and tasks, with the runs and reservations on each worker."""

from __future__ import annotations

from collections.abc import Mapping, Set

from dotterelhill.ledger.amounts import ZERO_AMOUNTS, Amounts, needed_amounts, offered_amounts
from dotterelhill.ledger.records import Assign, Capacity, StopOutcome, Stopped
from dotterelhill.ledger.state import JobLedger, Run, Task, Worker, parse_task_id
from dotterelhill.ledger.verdict import Refusal
from dotterelhill.manifest.document import DomainState, Manifest

# Bounds far above any real machine; a larger capacity is a fault of its writer.
MAX_CPU = 1e6
MAX_MEMORY_GB = 1e9
MAX_ACCELERATORS = 10**6

_NO_DOMAINS: frozenset[str] = frozenset()


class Placements:
    """Fold of ``Adopt``, ``Assign``, ``Stopped``, ``Fence``, ``Unfence`` and ``Capacity``."""

    def __init__(self) -> None:
        self._manifest: Manifest | None = None
        self._domains_in: frozenset[str] = _NO_DOMAINS
        self._domains_lost: frozenset[str] = _NO_DOMAINS
        self._lost_workers: frozenset[str] = frozenset()
        self._limits: dict[tuple[str, str], Amounts] = {}
        self._reserved_amounts: dict[tuple[str, str], Amounts] = {}
        self._workers: dict[str, Worker] = {}
        self._jobs: dict[str, JobLedger] = {}
        self._declared: dict[str, JobLedger] = {}
        self._runs: dict[str, Run] = {}
        self._unwanted_runs: set[str] = set()

    @property
    def manifest(self) -> Manifest | None:
        """Return the adopted manifest."""
        return self._manifest

    @property
    def workers(self) -> Mapping[str, Worker]:
        """Return the workers by name."""
        return self._workers

    @property
    def jobs(self) -> Mapping[str, JobLedger]:
        """Return the jobs by key: all declared jobs, and others that still have runs."""
        return self._jobs

    @property
    def declared_jobs(self) -> Mapping[str, JobLedger]:
        """Return the declared jobs by name."""
        return self._declared

    @property
    def runs(self) -> Mapping[str, Run]:
        """Return the runs in progress, by task."""
        return self._runs

    @property
    def unwanted_runs(self) -> Set[str]:
        """Return the running tasks that their job no longer needs.

        Their job is cancelled, has fewer tasks now or is no longer declared.
        """
        return self._unwanted_runs

    def task(self, task: str) -> Task | None:
        """Return the state of a task; None if the ledger has no such task."""
        parsed = parse_task_id(task)
        job = self._jobs.get(parsed[0]) if parsed else None
        return job.task(parsed[1]) if job and parsed else None

    def used(self, member: str, team: str = "") -> Amounts:
        """Return the amounts reserved by the runs of a team; or of a member without ``team``."""
        return self._reserved_amounts.get((member, team), ZERO_AMOUNTS)

    def is_domain_in(self, failure_domain: str) -> bool:
        """Return whether the adopted manifest allows tasks to start in a failure domain."""
        return failure_domain in self._domains_in

    def is_attested_lost(self, worker: Worker) -> bool:
        """Return whether the manifest attests that a worker or its domain is switched off."""
        return worker.name in self._lost_workers or worker.failure_domain in self._domains_lost

    def adopt(self, version: int, manifest: Manifest) -> None:
        """Apply a manifest to jobs and workers."""
        self._set_manifest(manifest)
        for name in [name for name in self._declared if name not in manifest.jobs]:
            job = self._declared.pop(name)
            job.withdraw()
            self._remove_if_ended(job)
        for name, declaration in manifest.jobs.items():
            existing = self._declared.get(name)
            if existing is None:
                self.add_job(JobLedger(name, version, declaration))
            elif existing.job != declaration:
                existing.redeclare(declaration)
        for job in self._jobs.values():
            self._update_unwanted_runs(job)
        self._remove_lost_workers()

    def assign(self, offset: int, record: Assign) -> Refusal | None:
        """Fold an ``Assign``; ``offset`` becomes the fencing token of the run."""
        parsed = parse_task_id(record.task)
        job = self._jobs.get(parsed[0]) if parsed else None
        if parsed is None or job is None or not job.is_open:
            return Refusal.JOB_NOT_OPEN
        index = parsed[1]
        refusal = _task_refusal(job, index, record) or self._place_refusal(job, record.worker)
        if refusal is not None:
            return refusal
        self.add_run(
            Run(
                task=record.task,
                job=job.key,
                index=index,
                worker=record.worker,
                token=offset,
                attempt=record.attempt,
                checkpoint=record.checkpoint,
                amounts=job.amounts,
                member=job.job.member,
                team=job.job.team,
            )
        )
        return None

    def stopped(self, record: Stopped) -> Refusal | None:
        """Fold a ``Stopped``, which ends a run and its reservation."""
        run = self._runs.get(record.task)
        if run is None or run.token != record.token:
            return Refusal.TOKEN_OUTDATED
        worker = self._workers[run.worker]
        if record.outcome is StopOutcome.LOST and not self._is_loss_certain(worker, record.fence):
            return Refusal.LOSS_NOT_CERTAIN
        job = self._jobs[run.job]
        del self._runs[run.task]
        del worker.runs[run.task]
        self._unwanted_runs.discard(run.task)
        worker.reserved_amounts = worker.reserved_amounts.minus(run.amounts)
        for key in ((run.member, run.team), (run.member, "")):
            self._add_reserved(key, ZERO_AMOUNTS.minus(run.amounts))
        job.stop(run, record.outcome, record.checkpoint)
        self._remove_if_ended(job)
        return None

    def fence(self, worker: str, token: int) -> Refusal | None:
        """Fold a ``Fence`` with the current token; a new holder may fence a fenced worker again."""
        existing = self._workers.get(worker)
        if existing is None:
            return Refusal.WORKER_UNKNOWN
        if existing.fence == token:
            return Refusal.WORKER_FENCED
        existing.fence = token
        return None

    def unfence(self, worker: str) -> Refusal | None:
        """Fold an ``Unfence`` with the current token."""
        existing = self._workers.get(worker)
        if existing is None:
            return Refusal.WORKER_UNKNOWN
        if not existing.is_fenced:
            return Refusal.WORKER_NOT_FENCED
        existing.fence = 0
        return None

    def set_capacity(self, record: Capacity) -> Refusal | None:
        """Fold a ``Capacity``, which adds or updates a worker."""
        if not _is_plausible(record):
            return Refusal.CAPACITY_INVALID
        amounts = offered_amounts(record.cpu, record.memory_gb, record.accelerators)
        existing = self._workers.get(record.worker)
        if existing is None:
            self.add_worker(Worker(record.worker, record.rack, record.failure_domain, amounts))
            return None
        existing.rack = record.rack
        existing.failure_domain = record.failure_domain
        existing.amounts = amounts
        return None

    def restore_manifest(self, manifest: Manifest) -> None:
        """Restore the adopted manifest of a snapshot; the caller adds its jobs separately."""
        self._set_manifest(manifest)

    def add_worker(self, worker: Worker) -> None:
        """Add a worker without runs."""
        self._workers[worker.name] = worker

    def add_job(self, job: JobLedger) -> None:
        """Add a job without runs."""
        self._jobs[job.key] = job
        if job.is_declared:
            self._declared[job.name] = job

    def add_run(self, run: Run) -> None:
        """Add a run and reserve its amounts."""
        job = self._jobs[run.job]
        worker = self._workers[run.worker]
        self._runs[run.task] = run
        worker.runs[run.task] = run
        worker.reserved_amounts = worker.reserved_amounts.plus(run.amounts)
        for key in ((run.member, run.team), (run.member, "")):
            self._add_reserved(key, run.amounts)
        job.start(run)
        if not job.is_run_needed(run.index):
            self._unwanted_runs.add(run.task)

    def _set_manifest(self, manifest: Manifest) -> None:
        domains = manifest.failure_domains.items()
        self._manifest = manifest
        self._domains_in = frozenset(
            name for name, domain in domains if domain.state is DomainState.IN
        )
        self._domains_lost = frozenset(
            name for name, domain in domains if domain.state is DomainState.LOST
        )
        self._lost_workers = frozenset(manifest.lost_workers)
        self._limits = {}
        for name, member in manifest.members.items():
            self._limits[name, ""] = needed_amounts(member.limits.resources)
            for team, quota in member.teams.items():
                self._limits[name, team] = needed_amounts(quota)

    def _place_refusal(self, job: JobLedger, worker_name: str) -> Refusal | None:
        worker = self._workers.get(worker_name)
        if worker is None:
            return Refusal.WORKER_UNKNOWN
        if worker.is_fenced:
            return Refusal.WORKER_FENCED
        if worker.name in self._lost_workers:
            return Refusal.WORKER_ATTESTED_LOST
        if worker.failure_domain not in self._domains_in:
            return Refusal.DOMAIN_NOT_IN
        if not worker.reserved_amounts.plus(job.amounts).is_within(worker.amounts):
            return Refusal.CAPACITY_EXCEEDED
        member, team = job.job.member, job.job.team
        for key in ((member, team), (member, "")):
            limit = self._limits.get(key, ZERO_AMOUNTS)
            if not self._reserved_amounts.get(key, ZERO_AMOUNTS).plus(job.amounts).is_within(limit):
                return Refusal.QUOTA_EXCEEDED
        return None

    def _is_loss_certain(self, worker: Worker, fence: int) -> bool:
        # A delayed Stopped of an earlier holder must not be accepted under the fence of its
        # successor, which has not waited yet for the lease to expire.
        return (worker.is_fenced and worker.fence == fence) or self.is_attested_lost(worker)

    def _add_reserved(self, key: tuple[str, str], amounts: Amounts) -> None:
        total = self._reserved_amounts.get(key, ZERO_AMOUNTS).plus(amounts)
        if total == ZERO_AMOUNTS:
            self._reserved_amounts.pop(key, None)
            return
        self._reserved_amounts[key] = total

    def _update_unwanted_runs(self, job: JobLedger) -> None:
        for index, run in job.runs.items():
            if job.is_run_needed(index):
                self._unwanted_runs.discard(run.task)
            else:
                self._unwanted_runs.add(run.task)

    def _remove_if_ended(self, job: JobLedger) -> None:
        if not job.is_declared and not job.runs:
            del self._jobs[job.key]

    def _remove_lost_workers(self) -> None:
        for name in self._lost_workers & self._workers.keys():
            if not self._workers[name].runs:
                del self._workers[name]


def _is_plausible(record: Capacity) -> bool:
    # Also refuses NaN and infinity, whose conversion to integers would raise in every reader.
    return (
        0 <= record.cpu <= MAX_CPU
        and 0 <= record.memory_gb <= MAX_MEMORY_GB
        and 0 <= record.accelerators <= MAX_ACCELERATORS
    )


def _task_refusal(job: JobLedger, index: int, record: Assign) -> Refusal | None:
    if index not in job.pending:
        return Refusal.TASK_NOT_PENDING
    attempt, checkpoint = job.next_attempt(index)
    if record.attempt != attempt:
        return Refusal.ATTEMPT_OUTDATED
    if record.checkpoint != checkpoint:
        return Refusal.CHECKPOINT_DIFFERS
    return None
