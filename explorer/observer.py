"""Checks of the invariants of docs/design.md, section 1.3, on the events of a walk.

The observer folds each record when it is appended to the log, and so has the order of records with
which every process must agree. It has no effect on any process.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from dotterelhill.batch.resume import decoded_resume_point
from dotterelhill.ledger import (
    Assign,
    Ledger,
    RecordVerdict,
    StopOutcome,
    Stopped,
    VersionNotAcceptedError,
)
from dotterelhill.log.interface import LogRecord
from dotterelhill.manifest import (
    AcceptedManifest,
    DomainState,
    Manifest,
    ManifestHistory,
    MinionState,
    Resources,
    Verdict,
)
from explorer.timeline import Timeline
from explorer.violation import InvariantBrokenError
from explorer.worker_model import Run, WorkerModel

# A change by operators is in force everywhere after this time; docs/design.md, section 1.3.
IN_FORCE_SECONDS = 5.0

_FINAL_OUTCOMES = (StopOutcome.FINISHED, StopOutcome.FAILED, StopOutcome.CANCELLED)


@dataclass(slots=True)
class _TaskState:
    """State of a task that follows from the accepted records alone.

    :param attempts: number of accepted assignments so far
    :param token: fencing token of the current assignment; 0 for none
    :param checkpoint: newest checkpoint in the records; empty for none
    :param is_ended: whether the task has finished, failed or been cancelled
    """

    attempts: int = 0
    token: int = 0
    checkpoint: str = ""
    is_ended: bool = False


@dataclass(slots=True)
class _StateEntryTimes:
    """True times in seconds at which domains, minions and jobs entered their present states.

    :param out_domains: failure domains that are out by the newest accepted manifest
    :param leaving_minions: minions that are leaving by the newest accepted manifest
    :param closed_jobs: jobs that are no longer open by the accepted control records
    """

    out_domains: dict[str, float] = field(default_factory=dict)
    leaving_minions: dict[str, float] = field(default_factory=dict)
    closed_jobs: dict[str, float] = field(default_factory=dict)


class Observer:
    """Checks each event of a walk and raises ``InvariantBrokenError`` if it breaks an invariant."""

    def __init__(self, timeline: Timeline) -> None:
        self._timeline = timeline
        self._history = ManifestHistory()
        self._accepted: dict[int, AcceptedManifest] = {}
        self._accepted_at: dict[int, float] = {}
        self._ledger = Ledger(self._accepted_manifest)
        self._verdicts: dict[int, RecordVerdict] = {}
        self._tasks: dict[str, _TaskState] = {}
        # By fencing token: the checkpoint to resume from, and the worker and boot id of the start.
        self._checkpoints: dict[int, str] = {}
        self._run_starts: dict[int, tuple[str, str]] = {}
        self._entered_at = _StateEntryTimes()
        self._manifest_versions: dict[str, int] = {}
        self._keyed_dispatches: Counter[bytes] = Counter()

    @property
    def current(self) -> AcceptedManifest | None:
        """Return the accepted manifest of the highest version."""
        return self._history.current

    @property
    def counts(self) -> dict[str, int]:
        """Return the number of events by kind, which shows what a walk has covered."""
        return {
            **self._ledger.counts,
            "manifests": len(self._accepted),
            "task starts": len(self._run_starts),
            "keyed dispatches": sum(self._keyed_dispatches.values()),
        }

    def on_record(self, stream: str, record: LogRecord) -> None:
        """Fold a record at the time of its append to the log.

        :raises InvariantBrokenError: if an accepted control record breaks an invariant
        """
        if stream == "config":
            self._on_publication(record)
        elif stream == "control":
            self._on_control(record)

    def on_verdict(self, process: str, verdict: RecordVerdict) -> None:
        """Check the verdict of a process on a control record.

        :raises InvariantBrokenError: if the verdict differs from that of the observer
        """
        expected = self._verdicts[verdict.offset]
        if (verdict.kind, verdict.refusal) != (expected.kind, expected.refusal):
            detail = (
                f"{process} folds record {verdict.offset} ({expected.record}) as {verdict.kind} "
                f"{verdict.refusal or ''}, but the order of the log makes it {expected.kind} "
                f"{expected.refusal or ''}"
            )
            raise InvariantBrokenError("same-verdict", detail)

    def on_manifest(self, process: str, accepted: AcceptedManifest) -> None:
        """Check a manifest that comes into force in a process.

        :raises InvariantBrokenError: if the version decreases, or the log has another document
        """
        previous = self._manifest_versions.get(process, 0)
        self._manifest_versions[process] = accepted.version
        if accepted.version < previous:
            detail = f"{process} goes back from version {previous} to {accepted.version}"
            raise InvariantBrokenError("manifest", detail)
        expected = self._accepted.get(accepted.version)
        if expected is None or expected.record != accepted.record:
            detail = (
                f"{process} has a document for version {accepted.version} not accepted by the log"
            )
            raise InvariantBrokenError("manifest", detail)

    def check_manifest_in_force(self, process: str, version: int, healthy_since: float) -> None:
        """Check that a process that can obtain new manifests has the newest accepted one.

        :param version: manifest version in force in the process
        :param healthy_since: true time in seconds since which it can obtain manifests
        :raises InvariantBrokenError: if it has had an older version for too long
        """
        current = self._history.current
        if current is None or version >= current.version:
            return
        since = max(healthy_since, self._accepted_at[current.version])
        if self._timeline.now - since > IN_FORCE_SECONDS:
            detail = (
                f"{process} has version {version}, but {current.version} was accepted at {since}"
            )
            raise InvariantBrokenError("manifest", detail)

    def on_dispatch(self, process: str, minion: str, healthy_since: float) -> None:
        """Check a request that a process sends to a minion.

        :param healthy_since: true time in seconds since which the process can obtain manifests
        :raises InvariantBrokenError: if the minion has been leaving for too long
        """
        leaving_since = self._entered_at.leaving_minions.get(minion)
        if leaving_since is None:
            return
        elapsed = self._timeline.now - max(leaving_since, healthy_since)
        if elapsed > IN_FORCE_SECONDS:
            detail = f"{process} dispatches to {minion}, which has been leaving for {elapsed:.1f} s"
            raise InvariantBrokenError("leaving", detail)

    def on_keyed_dispatch(self, process: str, key: bytes) -> None:
        """Check the dispatch of a request with an idempotency key that its caller chose.

        :raises InvariantBrokenError: if a request with this key was dispatched before
        """
        self._keyed_dispatches[key] += 1
        if self._keyed_dispatches[key] > 1:
            raise InvariantBrokenError("at-most-once", f"{process} dispatches {key!r} again")

    def on_run(self, worker: WorkerModel, run: Run, workers: Iterable[WorkerModel]) -> None:
        """Check a run that begins on a worker.

        :param workers: all workers
        :raises InvariantBrokenError: if the run breaks an invariant
        """
        description = f"{run.task} with token {run.token} on {worker.name}"
        self._check_single_place(worker, run, description, workers)
        self._check_domain_in(worker, description)
        self._check_assignment(run, description)
        self._check_single_start(worker, run, description)
        _check_capacity(worker, description)

    def _check_single_place(
        self, worker: WorkerModel, run: Run, description: str, workers: Iterable[WorkerModel]
    ) -> None:
        for other in workers:
            if other is worker:
                continue
            for other_run in other.active_runs():
                if other_run.task == run.task:
                    detail = (
                        f"{description} starts while token {other_run.token} runs on {other.name}"
                    )
                    raise InvariantBrokenError("single-place", detail)

    def _check_domain_in(self, worker: WorkerModel, description: str) -> None:
        since = self._entered_at.out_domains.get(worker.failure_domain)
        if since is not None and self._timeline.now - since > IN_FORCE_SECONDS:
            elapsed = self._timeline.now - since
            detail = (
                f"{description} starts {elapsed:.1f} s after {worker.failure_domain} was taken out"
            )
            raise InvariantBrokenError("domain-out", detail)

    def _check_assignment(self, run: Run, description: str) -> None:
        task = self._tasks.get(run.task)
        if task is None or run.token not in self._checkpoints:
            raise InvariantBrokenError("single-place", f"{description} has no accepted assignment")
        if task.is_ended:
            raise InvariantBrokenError(
                "ended-task", f"{description} starts although the task has ended"
            )
        closed_since = self._entered_at.closed_jobs.get(run.task.rpartition("/")[0])
        if closed_since is not None and self._timeline.now - closed_since > IN_FORCE_SECONDS:
            raise InvariantBrokenError(
                "ended-task", f"{description} starts although its job is closed"
            )
        expected = self._checkpoints[run.token]
        if run.checkpoint != expected:
            detail = f"{description} resumes from {run.checkpoint!r}, expected {expected!r}"
            raise InvariantBrokenError("resume-once", detail)

    def _check_single_start(self, worker: WorkerModel, run: Run, description: str) -> None:
        # A restarted worker has lost the run, and its holder may start the same token there again
        # before it learns of the restart.
        previous = self._run_starts.get(run.token)
        if previous is not None and (previous[0] != worker.name or previous[1] == worker.boot):
            raise InvariantBrokenError("resume-once", f"{description} starts a second time")
        self._run_starts[run.token] = (worker.name, worker.boot)

    def _on_publication(self, record: LogRecord) -> None:
        verdict = self._history.apply(record.offset, record.data)
        if verdict is None or verdict.verdict is not Verdict.ACCEPTED:
            return
        current = self._history.current
        assert current is not None
        self._accepted[record.offset] = current
        self._accepted_at[record.offset] = self._timeline.now
        manifest, now = current.manifest, self._timeline.now
        out_domains = [
            name
            for name, domain in manifest.failure_domains.items()
            if domain.state is not DomainState.IN
        ]
        leaving_minions = [
            name
            for service in manifest.services.values()
            for name, minion in service.minions.items()
            if minion.state is MinionState.LEAVING
        ]
        self._entered_at.out_domains = {
            name: self._entered_at.out_domains.get(name, now) for name in out_domains
        }
        self._entered_at.leaving_minions = {
            name: self._entered_at.leaving_minions.get(name, now) for name in leaving_minions
        }

    def _on_control(self, record: LogRecord) -> None:
        verdict = self._ledger.apply(record.offset, record.data)
        self._verdicts[record.offset] = verdict
        if not verdict.is_accepted:
            return
        match verdict.record:
            case Assign():
                self._on_assign(record.offset, verdict.record)
            case Stopped():
                self._on_stopped(verdict.record)
        self._update_closed_jobs()

    def _on_assign(self, offset: int, record: Assign) -> None:
        task = self._tasks.setdefault(record.task, _TaskState())
        if task.token or task.is_ended:
            detail = f"{record.task} is assigned again by record {offset}"
            raise InvariantBrokenError("ended-task" if task.is_ended else "single-place", detail)
        task.attempts += 1
        task.token = offset
        self._checkpoints[offset] = task.checkpoint
        if record.attempt != task.attempts:
            detail = f"{record.task} gets attempt {record.attempt}, expected {task.attempts}"
            raise InvariantBrokenError("resume-once", detail)

    def _on_stopped(self, record: Stopped) -> None:
        task = self._tasks[record.task]
        if task.token != record.token:
            detail = (
                f"{record.task}: token {record.token} ends, but the current token is {task.token}"
            )
            raise InvariantBrokenError("resume-once", detail)
        task.token = 0
        task.is_ended = record.outcome in _FINAL_OUTCOMES
        task.checkpoint = decoded_resume_point(record.checkpoint).checkpoint or task.checkpoint

    def _update_closed_jobs(self) -> None:
        closed_jobs = {
            task.rpartition("/")[0]
            for task in self._tasks
            if not self._is_job_open(task.rpartition("/")[0])
        }
        now = self._timeline.now
        self._entered_at.closed_jobs = {
            key: self._entered_at.closed_jobs.get(key, now) for key in sorted(closed_jobs)
        }

    def _is_job_open(self, key: str) -> bool:
        job = self._ledger.placements.jobs.get(key)
        return job is not None and job.is_open

    def _accepted_manifest(self, version: int) -> Manifest | None:
        if version not in self._accepted:
            raise VersionNotAcceptedError(version)
        return self._accepted[version].manifest


def _check_capacity(worker: WorkerModel, description: str) -> None:
    used = Resources()
    for run in worker.active_runs():
        used = used + run.resources
    if not used.is_within(worker.capacity):
        raise InvariantBrokenError(
            "capacity", f"{description} raises the use to {used} of {worker.capacity}"
        )
