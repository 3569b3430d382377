"""Checks of the invariants of docs/design.md, section 1.3, on what really happens.

The observer folds each record when it takes its place in the log, so it knows the order that every
process has to agree with. It tells no process anything.
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

# Time after which a change that operators make is in force everywhere; section 1.3.
IN_FORCE_SECONDS = 5.0

_FINAL = (StopOutcome.FINISHED, StopOutcome.FAILED, StopOutcome.CANCELLED)


@dataclass(slots=True)
class _TaskRecord:
    """A task as the accepted records alone show it.

    :param attempts: accepted assignments so far
    :param token: the current assignment; 0 for none
    """

    attempts: int = 0
    token: int = 0
    checkpoint: str = ""
    is_ended: bool = False


@dataclass(slots=True)
class _Since:
    """True times since which things hold by the newest accepted manifest."""

    out: dict[str, float] = field(default_factory=dict)
    leaving: dict[str, float] = field(default_factory=dict)
    closed: dict[str, float] = field(default_factory=dict)


class Observer:
    """Raises :class:`InvariantBrokenError` when something happens that must not."""

    def __init__(self, timeline: Timeline) -> None:
        self._timeline = timeline
        self._history = ManifestHistory()
        self._accepted: dict[int, AcceptedManifest] = {}
        self._accepted_at: dict[int, float] = {}
        self._ledger = Ledger(self._manifest_at)
        self._verdicts: dict[int, RecordVerdict] = {}
        self._tasks: dict[str, _TaskRecord] = {}
        self._checkpoints: dict[int, str] = {}
        self._started: dict[int, tuple[str, str]] = {}
        self._since = _Since()
        self._versions: dict[str, int] = {}
        self._dispatches: Counter[bytes] = Counter()

    @property
    def current(self) -> AcceptedManifest | None:
        """Return the accepted manifest of the highest version."""
        return self._history.current

    @property
    def counts(self) -> dict[str, int]:
        """Return how much has happened, to judge what a walk has covered."""
        return {
            **self._ledger.counts,
            "manifests": len(self._accepted),
            "task starts": len(self._started),
            "keyed dispatches": sum(self._dispatches.values()),
        }

    def on_record(self, stream: str, record: LogRecord) -> None:
        """Take a record at the moment when it takes its place in the log."""
        if stream == "config":
            self._on_publication(record)
        elif stream == "control":
            self._on_control(record)

    def on_verdict(self, process: str, verdict: RecordVerdict) -> None:
        """Take the verdict of a process on a control record."""
        expected = self._verdicts[verdict.offset]
        if (verdict.kind, verdict.refusal) != (expected.kind, expected.refusal):
            detail = (
                f"{process} judges record {verdict.offset} ({expected.record}) as {verdict.kind} "
                f"{verdict.refusal or ''}, its place in the log makes it {expected.kind} "
                f"{expected.refusal or ''}"
            )
            raise InvariantBrokenError("same-verdict", detail)

    def on_manifest(self, process: str, accepted: AcceptedManifest) -> None:
        """Take a manifest that comes into force in a process."""
        before = self._versions.get(process, 0)
        self._versions[process] = accepted.version
        if accepted.version < before:
            detail = f"{process} goes from version {before} back to {accepted.version}"
            raise InvariantBrokenError("manifest", detail)
        known = self._accepted.get(accepted.version)
        if known is None or known.record != accepted.record:
            detail = f"{process} has another document than the log for version {accepted.version}"
            raise InvariantBrokenError("manifest", detail)

    def check_in_force(self, process: str, version: int, well_since: float) -> None:
        """Check that a process that can read the log has the accepted manifest.

        :param well_since: true time since which it can
        """
        current = self._history.current
        if current is None or version >= current.version:
            return
        since = max(well_since, self._accepted_at[current.version])
        if self._timeline.now - since > IN_FORCE_SECONDS:
            detail = f"{process} has version {version}, {current.version} was accepted at {since}"
            raise InvariantBrokenError("manifest", detail)

    def on_dispatch(self, process: str, minion: str, well_since: float) -> None:
        """Take a request that a process sends to a minion."""
        leaving_since = self._since.leaving.get(minion)
        if leaving_since is None:
            return
        elapsed = self._timeline.now - max(leaving_since, well_since)
        if elapsed > IN_FORCE_SECONDS:
            detail = f"{process} dispatches to {minion}, which is leaving for {elapsed:.1f} s"
            raise InvariantBrokenError("leaving", detail)

    def on_keyed_dispatch(self, process: str, key: bytes) -> None:
        """Take the dispatch of a request with a key that its caller chose."""
        self._dispatches[key] += 1
        if self._dispatches[key] > 1:
            raise InvariantBrokenError("at-most-once", f"{process} dispatches {key!r} again")

    def on_run(self, worker: WorkerModel, run: Run, workers: Iterable[WorkerModel]) -> None:
        """Take a run that begins at a worker."""
        place = f"{run.task} with token {run.token} at {worker.name}"
        self._check_place(worker, run, place, workers)
        self._check_domain(worker, place)
        self._check_task(run, place)
        self._check_repeat(worker, run, place)
        _check_capacity(worker, place)

    def _check_place(
        self, worker: WorkerModel, run: Run, place: str, workers: Iterable[WorkerModel]
    ) -> None:
        for other in workers:
            if other is worker:
                continue
            for known in other.running():
                if known.task == run.task:
                    detail = f"{place} starts while token {known.token} runs at {other.name}"
                    raise InvariantBrokenError("single-place", detail)

    def _check_domain(self, worker: WorkerModel, place: str) -> None:
        since = self._since.out.get(worker.failure_domain)
        if since is not None and self._timeline.now - since > IN_FORCE_SECONDS:
            elapsed = self._timeline.now - since
            detail = f"{place} starts {elapsed:.1f} s after {worker.failure_domain} was taken out"
            raise InvariantBrokenError("domain-out", detail)

    def _check_task(self, run: Run, place: str) -> None:
        known = self._tasks.get(run.task)
        if known is None or run.token not in self._checkpoints:
            raise InvariantBrokenError("single-place", f"{place} has no accepted assignment")
        if known.is_ended:
            raise InvariantBrokenError("ended-task", f"{place} starts after its final end")
        closed_since = self._since.closed.get(run.task.rpartition("/")[0])
        if closed_since is not None and self._timeline.now - closed_since > IN_FORCE_SECONDS:
            raise InvariantBrokenError("ended-task", f"{place} starts after its job was cancelled")
        expected = self._checkpoints[run.token]
        if run.checkpoint != expected:
            detail = f"{place} resumes from {run.checkpoint!r}, the last one is {expected!r}"
            raise InvariantBrokenError("resume-once", detail)

    def _check_repeat(self, worker: WorkerModel, run: Run, place: str) -> None:
        # A worker that has restarted has lost the run, and its holder may not have heard of it.
        before = self._started.get(run.token)
        if before is not None and (before[0] != worker.name or before[1] == worker.boot):
            raise InvariantBrokenError("resume-once", f"{place} starts a second time")
        self._started[run.token] = (worker.name, worker.boot)

    def _on_publication(self, record: LogRecord) -> None:
        verdict = self._history.apply(record.offset, record.data)
        if verdict is None or verdict.verdict is not Verdict.ACCEPTED:
            return
        current = self._history.current
        assert current is not None
        self._accepted[record.offset] = current
        self._accepted_at[record.offset] = self._timeline.now
        manifest, now = current.manifest, self._timeline.now
        out = [n for n, d in manifest.failure_domains.items() if d.state is not DomainState.IN]
        leaving = [
            name
            for service in manifest.services.values()
            for name, minion in service.minions.items()
            if minion.state is MinionState.LEAVING
        ]
        self._since.out = {name: self._since.out.get(name, now) for name in out}
        self._since.leaving = {name: self._since.leaving.get(name, now) for name in leaving}

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
        self._note_closed_jobs()

    def _on_assign(self, offset: int, record: Assign) -> None:
        task = self._tasks.setdefault(record.task, _TaskRecord())
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
            detail = f"{record.task}: token {record.token} ends, {task.token} is the current one"
            raise InvariantBrokenError("resume-once", detail)
        task.token = 0
        task.is_ended = record.outcome in _FINAL
        task.checkpoint = decoded_resume_point(record.checkpoint).checkpoint or task.checkpoint

    def _note_closed_jobs(self) -> None:
        closed = {
            task.rpartition("/")[0]
            for task in self._tasks
            if not self._is_open(task.rpartition("/")[0])
        }
        now = self._timeline.now
        self._since.closed = {key: self._since.closed.get(key, now) for key in sorted(closed)}

    def _is_open(self, key: str) -> bool:
        job = self._ledger.placements.jobs.get(key)
        return job is not None and job.is_open

    def _manifest_at(self, version: int) -> Manifest | None:
        if version not in self._accepted:
            raise VersionNotAcceptedError(version)
        return self._accepted[version].manifest


def _check_capacity(worker: WorkerModel, place: str) -> None:
    used = Resources()
    for run in worker.running():
        used = used + run.resources
    if not used.is_within(worker.capacity):
        raise InvariantBrokenError("capacity", f"{place} makes {used} of {worker.capacity} used")
