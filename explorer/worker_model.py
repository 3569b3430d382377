"""Model of a worker, with tokens, ``not_after``, lease and checkpoints, and its adapter."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from dotterelhill.batch.worker import Refusal, RunReport, WorkerClock, WorkerError, WorkerReport
from dotterelhill.manifest import Resources
from explorer.calls import Call

WORKER_TIMEOUT_SECONDS = 4.0


@dataclass(slots=True)
class Run:
    """Run of a task on a worker.

    :param token: fencing token of the assignment
    :param state: a state of ``RunReport``
    :param work_seconds: total work of the task in seconds, after which the run finishes
    :param done_seconds: work done, including that of the checkpoint it resumed from, in seconds
    :param checkpoint: checkpoint from which the run resumed, or the one saved when it stopped
    :param reason: reason for a stop or a refusal
    """

    task: str
    token: int
    state: str
    resources: Resources = field(default_factory=Resources)
    work_seconds: float = 0.0
    done_seconds: float = 0.0
    checkpoint: str = ""
    reason: str = ""

    @property
    def is_running(self) -> bool:
        """Return whether the run uses resources of the worker now."""
        return self.state == "running"

    @property
    def report(self) -> RunReport:
        """Return the report of the worker on the run."""
        return RunReport(
            task=self.task,
            token=self.token,
            state=self.state,
            done_seconds=self.done_seconds,
            checkpoint=self.checkpoint,
            reason=self.reason,
        )


class WorkerModel:
    """Worker that runs tasks under a lease.

    :param capacity: total resources
    :param clock: returns the time of the worker's monotonic clock in seconds
    :param on_start: called with the worker and the run for each run that begins
    """

    def __init__(
        self,
        name: str,
        failure_domain: str,
        capacity: Resources,
        clock: Callable[[], float],
        on_start: Callable[[WorkerModel, Run], None],
    ) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.capacity = capacity
        self.runs: dict[str, Run] = {}
        self._clock = clock
        self._on_start = on_start
        self._boot_count = 0
        self._highest_tokens: dict[str, int] = {}
        self._holder_token = 0
        self._lease_expires_at = float("-inf")
        self._advanced_to = clock()

    @property
    def boot(self) -> str:
        """Return the boot id, which changes when the worker restarts."""
        return f"boot-{self._boot_count}"

    def active_runs(self) -> Iterable[Run]:
        """Return the runs that use resources of the worker now."""
        self.advance()
        return [run for run in self.runs.values() if run.is_running]

    def restart(self) -> None:
        """Delete all runs and tokens, and change the boot id."""
        self.runs.clear()
        self._highest_tokens.clear()
        self._holder_token = 0
        self._lease_expires_at = float("-inf")
        self._boot_count += 1

    def advance(self) -> None:
        """Bring the runs up to date: work done, finished tasks and the end of the lease."""
        now = self._clock()
        elapsed = max(0.0, min(now, self._lease_expires_at) - self._advanced_to)
        self._advanced_to = now
        for run in self.runs.values():
            if not run.is_running:
                continue
            run.done_seconds = min(run.work_seconds, run.done_seconds + elapsed)
            if run.done_seconds >= run.work_seconds:
                run.state = "finished"
            elif self._has_lease_ended(now):
                self._stop(run, "lease lapsed", keeps_work=True)

    def read_clock(self) -> WorkerClock:
        """Return the identity, the capacity and the clock of the worker."""
        capacity = self.capacity
        return WorkerClock(
            self.name,
            "rack",
            self.failure_domain,
            capacity.cpu,
            capacity.memory_gb,
            capacity.accelerators,
            self._clock(),
            self.boot,
        )

    def renew(
        self, token: int, seconds: float, not_after: float, boot: str
    ) -> WorkerReport | Refusal:
        """Extend the lease and return the report of the worker, or the refusal.

        :param token: fencing token of the holder
        :param seconds: duration of the lease in seconds, from the arrival of the renewal
        :param not_after: latest end of the lease, by the worker's clock
        :param boot: boot id to which the renewal applies
        """
        self.advance()
        if not self._is_holder_token_current(token):
            return Refusal("holder_token", self._holder_token)
        if boot != self.boot:
            return Refusal("boot", self._holder_token)
        self._holder_token = token
        now = self._clock()
        expires_at = min(now + seconds, not_after)
        if expires_at > now:
            self._lease_expires_at = max(self._lease_expires_at, expires_at)
        remaining_seconds = max(0.0, self._lease_expires_at - now)
        return WorkerReport(
            now, self.boot, remaining_seconds, [run.report for run in self.runs.values()]
        )

    def start(
        self, task: str, token: int, not_after: float, boot: str, run: Run
    ) -> RunReport | Refusal:
        """Start a run and return its report, or the refusal; a repeated token gets the same answer.

        :param token: fencing token of the assignment
        :param not_after: latest time of the start, by the worker's clock
        :param boot: boot id to which the start applies
        """
        self.advance()
        existing = self.runs.get(task)
        if existing is not None and existing.token == token:
            return self._start_answer(existing)
        if not self._is_start_token_new(task, token):
            return Refusal("token", self._highest_tokens[task])
        self._highest_tokens[task] = token
        if existing is not None:
            self._stop(existing, "superseded", keeps_work=True)
        self.runs[task] = run
        run.reason = self._start_refusal(not_after, boot)
        run.state = "refused" if run.reason else "running"
        if run.is_running:
            self._on_start(self, run)
        return self._start_answer(run)

    def stop(self, task: str, token: int, *, keeps_work: bool) -> RunReport | Refusal:
        """Stop a run and return its report, or the refusal.

        A token that the worker has not seen before can't start a run afterwards.

        :param keeps_work: whether a checkpoint is saved
        """
        self.advance()
        existing = self.runs.get(task)
        if existing is not None and existing.token == token:
            self._stop(existing, "stop", keeps_work=keeps_work)
            return existing.report
        if not self._is_start_token_new(task, token):
            return Refusal("token", self._highest_tokens[task])
        self._highest_tokens[task] = token
        if existing is not None:
            self._stop(existing, "superseded", keeps_work=True)
        self.runs[task] = Run(task, token, "never_started")
        return self.runs[task].report

    def forget(self, task: str, token: int) -> None:
        """Delete the report of an ended run; its token stays outdated."""
        self.advance()
        run = self.runs.get(task)
        if run is not None and run.token == token and not run.is_running:
            del self.runs[task]

    def _is_holder_token_current(self, token: int) -> bool:
        return token >= self._holder_token

    def _is_start_token_new(self, task: str, token: int) -> bool:
        return token > self._highest_tokens.get(task, 0)

    def _has_lease_ended(self, now: float) -> bool:
        return now >= self._lease_expires_at

    def _start_refusal(self, not_after: float, boot: str) -> str:
        now = self._clock()
        if boot != self.boot:
            return "boot"
        if now > not_after:
            return "expired"
        return "no_lease" if self._has_lease_ended(now) else ""

    def _start_answer(self, run: Run) -> RunReport | Refusal:
        if run.state in ("refused", "never_started"):
            return Refusal(run.reason or run.state)
        return run.report

    def _stop(self, run: Run, reason: str, *, keeps_work: bool) -> None:
        if not run.is_running:
            return
        run.state, run.reason = "stopped", reason
        if keeps_work:
            run.checkpoint = f"{run.task}#{run.token}:{run.done_seconds:.3f}"


def checkpointed_seconds(checkpoint: str) -> float:
    """Return the work in seconds that a checkpoint contains; 0 for an empty one.

    >>> checkpointed_seconds("sync@1/0#12:4.500"), checkpointed_seconds("")
    (4.5, 0.0)
    """
    return float(checkpoint.rpartition(":")[2]) if checkpoint else 0.0


class WorkerAdapter:
    """Implementation of ``Worker`` for the batch service of one process."""

    def __init__(self, model: WorkerModel) -> None:
        self._model = model

    async def read_clock(self) -> WorkerClock:
        """Return the identity, the capacity and the clock of the worker."""
        answer: WorkerClock = await self._call("clock", self._model.read_clock)
        return answer

    async def renew_lease(
        self, holder_token: int, seconds: float, not_after: float, boot: str, failure_domain: str
    ) -> WorkerReport | Refusal:
        """Extend the lease and return the report of the worker, or the refusal."""
        answer: WorkerReport | Refusal = await self._call(
            "lease", lambda: self._model.renew(holder_token, seconds, not_after, boot)
        )
        return answer

    async def start(
        self,
        task: str,
        token: int,
        not_after: float,
        boot: str,
        resources: Resources,
        run_seconds: float,
        checkpoint: str,
    ) -> RunReport | Refusal:
        """Start a run and return its report, or the refusal."""

        def new_run() -> Run:
            done = checkpointed_seconds(checkpoint)
            return Run(task, token, "running", resources, run_seconds, done, checkpoint)

        answer: RunReport | Refusal = await self._call(
            "start", lambda: self._model.start(task, token, not_after, boot, new_run())
        )
        return answer

    async def stop(self, task: str, token: int, *, keeps_work: bool) -> RunReport | Refusal:
        """Stop a run and return its report, or the refusal."""
        answer: RunReport | Refusal = await self._call(
            "stop", lambda: self._model.stop(task, token, keeps_work=keeps_work)
        )
        return answer

    async def throttle(self, task: str, token: int, speed: float) -> RunReport | Refusal:
        """Return a refusal, as the modelled workers report no usage and no task is throttled."""
        return Refusal("token")

    async def forget(self, task: str, token: int) -> None:
        """Delete the worker's report of an ended run."""
        await self._call("forget", lambda: self._model.forget(task, token))

    def _call(self, kind: str, action: Callable[[], Any]) -> Call:
        return Call(
            kind,
            f"worker:{self._model.name}",
            lambda reply: reply(action(), None),
            WORKER_TIMEOUT_SECONDS,
            lambda: WorkerError(f"{kind}: no answer"),
        )
