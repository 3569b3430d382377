"""A worker's own rules: tokens, ``not_after``, lease and checkpoints; and the adapter to it."""

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
    """One run of a task at a worker.

    :param ends_at: work that finishes it, in seconds
    """

    task: str
    token: int
    state: str
    resources: Resources = field(default_factory=Resources)
    ends_at: float = 0.0
    done_seconds: float = 0.0
    checkpoint: str = ""
    reason: str = ""

    @property
    def is_running(self) -> bool:
        """Return whether it uses the worker now."""
        return self.state == "running"

    @property
    def report(self) -> RunReport:
        """Return it as the worker reports it."""
        return RunReport(
            task=self.task,
            token=self.token,
            state=self.state,
            done_seconds=self.done_seconds,
            checkpoint=self.checkpoint,
            reason=self.reason,
        )


class WorkerModel:
    """One worker.

    :param clock: the worker's own monotonic clock in seconds
    :param on_start: told of each run when it begins, with the checkpoint it resumes from
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
        self._boots = 0
        self._highest_tokens: dict[str, int] = {}
        self._holder_token = 0
        self._lease_until = float("-inf")
        self._advanced_to = clock()

    @property
    def boot(self) -> str:
        """Return what changes when the worker restarts."""
        return f"boot-{self._boots}"

    def running(self) -> Iterable[Run]:
        """Return the runs that use the worker now."""
        self.advance()
        return [run for run in self.runs.values() if run.is_running]

    def restart(self) -> None:
        """Lose all runs and tokens."""
        self.runs.clear()
        self._highest_tokens.clear()
        self._holder_token = 0
        self._lease_until = float("-inf")
        self._boots += 1

    def advance(self) -> None:
        """Apply the passing of time: work done, ends of tasks, end of the lease."""
        now = self._clock()
        elapsed = max(0.0, min(now, self._lease_until) - self._advanced_to)
        self._advanced_to = now
        for run in self.runs.values():
            if not run.is_running:
                continue
            run.done_seconds = min(run.ends_at, run.done_seconds + elapsed)
            if run.done_seconds >= run.ends_at:
                run.state = "finished"
            elif self._is_lease_over(now):
                self._stop(run, "lease lapsed", keeps_work=True)

    def read_clock(self) -> WorkerClock:
        """Return identity, capacity and clock."""
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
        """Return the report after a renewal, or its refusal."""
        self.advance()
        if not self._accepts_holder(token):
            return Refusal("holder_token", self._holder_token)
        if boot != self.boot:
            return Refusal("boot", self._holder_token)
        self._holder_token = token
        now = self._clock()
        until = min(now + seconds, not_after)
        if until > now:
            self._lease_until = max(self._lease_until, until)
        left = max(0.0, self._lease_until - now)
        return WorkerReport(now, self.boot, left, [run.report for run in self.runs.values()])

    def start(
        self, task: str, token: int, not_after: float, boot: str, run: Run
    ) -> RunReport | Refusal:
        """Return the run after a start, or its refusal; the same token gets the same answer."""
        self.advance()
        known = self.runs.get(task)
        if known is not None and known.token == token:
            return self._start_answer(known)
        if not self._accepts_start(task, token):
            return Refusal("token", self._highest_tokens[task])
        self._highest_tokens[task] = token
        if known is not None:
            self._stop(known, "superseded", keeps_work=True)
        self.runs[task] = run
        run.reason = self._start_refusal(not_after, boot)
        run.state = "refused" if run.reason else "running"
        if run.is_running:
            self._on_start(self, run)
        return self._start_answer(run)

    def stop(self, task: str, token: int, *, keeps_work: bool) -> RunReport | Refusal:
        """Return the run after a stop; a token that was never seen can't start any more."""
        self.advance()
        known = self.runs.get(task)
        if known is not None and known.token == token:
            self._stop(known, "stop", keeps_work=keeps_work)
            return known.report
        if not self._accepts_start(task, token):
            return Refusal("token", self._highest_tokens[task])
        self._highest_tokens[task] = token
        if known is not None:
            self._stop(known, "superseded", keeps_work=True)
        self.runs[task] = Run(task, token, "never_started")
        return self.runs[task].report

    def forget(self, task: str, token: int) -> None:
        """Drop an ended run; its token stays known."""
        self.advance()
        run = self.runs.get(task)
        if run is not None and run.token == token and not run.is_running:
            del self.runs[task]

    def _accepts_holder(self, token: int) -> bool:
        return token >= self._holder_token

    def _accepts_start(self, task: str, token: int) -> bool:
        return token > self._highest_tokens.get(task, 0)

    def _is_lease_over(self, now: float) -> bool:
        return now >= self._lease_until

    def _start_refusal(self, not_after: float, boot: str) -> str:
        now = self._clock()
        if boot != self.boot:
            return "boot"
        if now > not_after:
            return "expired"
        return "no_lease" if self._is_lease_over(now) else ""

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


def work_of(checkpoint: str) -> float:
    """Return the seconds of work that a checkpoint holds.

    >>> work_of("sync@1/0#12:4.500"), work_of("")
    (4.5, 0.0)
    """
    return float(checkpoint.rpartition(":")[2]) if checkpoint else 0.0


class WorkerAdapter:
    """Implements ``Worker`` for the batch service of one process."""

    def __init__(self, model: WorkerModel) -> None:
        self._model = model

    async def read_clock(self) -> WorkerClock:
        """Return identity and clock."""
        answer: WorkerClock = await self._call("clock", self._model.read_clock)
        return answer

    async def renew_lease(
        self, holder_token: int, seconds: float, not_after: float, boot: str, failure_domain: str
    ) -> WorkerReport | Refusal:
        """Return the report after extending the lease."""
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
        """Return the run after starting it."""

        def new_run() -> Run:
            done = work_of(checkpoint)
            return Run(task, token, "running", resources, run_seconds, done, checkpoint)

        answer: RunReport | Refusal = await self._call(
            "start", lambda: self._model.start(task, token, not_after, boot, new_run())
        )
        return answer

    async def stop(self, task: str, token: int, *, keeps_work: bool) -> RunReport | Refusal:
        """Return the run after stopping it."""
        answer: RunReport | Refusal = await self._call(
            "stop", lambda: self._model.stop(task, token, keeps_work=keeps_work)
        )
        return answer

    async def throttle(self, task: str, token: int, speed: float) -> RunReport | Refusal:
        """Refuse: workers report no usage here, so nothing is throttled."""
        return Refusal("token")

    async def forget(self, task: str, token: int) -> None:
        """Let the worker drop an ended run."""
        await self._call("forget", lambda: self._model.forget(task, token))

    def _call(self, kind: str, action: Callable[[], Any]) -> Call:
        return Call(
            kind,
            f"worker:{self._model.name}",
            lambda reply: reply(action(), None),
            WORKER_TIMEOUT_SECONDS,
            lambda: WorkerError(f"{kind}: no answer"),
        )
