"""Service that connects the batch decision code to the ledger, the workers and the log."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine, Iterable, Mapping
from typing import Any

import mode
from logbook import Logger

from dotterelhill.batch.events import (
    Append,
    AssignmentEnded,
    AssignmentRead,
    ClockRead,
    EvidenceRead,
    ExecutionAction,
    ForgetTask,
    LeaseFailed,
    LeaseRefused,
    LeaseRenewed,
    ReadClock,
    RenewLease,
    RunAnswered,
    RunObserved,
    RunUnanswered,
    StartTask,
    StopTask,
    StopWanted,
    Tick,
    WorkerHeld,
    WorkerUnheld,
)
from dotterelhill.batch.execution import Execution, stopped_record
from dotterelhill.batch.feed import LedgerFeed
from dotterelhill.batch.interface import Appender, Assignment, LedgerView
from dotterelhill.batch.placement import EvictTask, MeasuredWorker, Placement, job_of
from dotterelhill.batch.sharing import SummaryEncoder, decoded_summary, effects_from_summary
from dotterelhill.batch.throttling import ThrottleTask, Throttling
from dotterelhill.batch.worker import (
    Refusal,
    RunReport,
    Worker,
    WorkerClock,
    WorkerError,
    WorkerReport,
)
from dotterelhill.holdings import HoldingsView
from dotterelhill.ledger import (
    Capacity,
    ControlRecord,
    RecordVerdict,
    encode_record,
)
from dotterelhill.log.appender import AppendQueueFullError
from dotterelhill.manifest import DomainState, ManifestView

TICK_SECONDS = 0.1
# Additional time between ticks while no task waits, starts or stops and no record is folded.
IDLE_WAIT_SECONDS = 0.4
HOLDINGS_INTERVAL_SECONDS = 0.5
# Limits concurrent stops and forgets. Lease renewals and starts are not limited, so that a burst
# of stops does not delay them.
MAX_CONCURRENT_STOPS = 64
# A record that the log has not accepted within this time is dropped and decided again. The time
# exceeds two appends to a slow log (5 s each), because only one append is in flight at a time.
APPEND_TIMEOUT_SECONDS = 15.0

_log = Logger(__name__)


class Batch(mode.Service):
    """Placement and execution of batch tasks in one entry process.

    The process that folds the ``control`` stream passes in the verdict on each record, and calls
    :meth:`note_snapshot_restored` after a snapshot was restored.

    :param incarnation: id of this process, written into each ``Assign``
    :param failure_domain: failure domain of this process
    :param worker_names: returns the names of the workers on the VM list
    :param worker_of: returns the adapter for a worker's name; raises LookupError for an unknown one
    :param is_scheduler: returns whether this process is the preferred scheduler now
    :param execution: the holder's decision code, or a recorder around it
    """

    def __init__(
        self,
        *,
        incarnation: str,
        failure_domain: str,
        ledger: LedgerView,
        manifests: ManifestView,
        holdings: HoldingsView,
        appender: Appender,
        worker_names: Callable[[], Iterable[str]],
        worker_of: Callable[[str], Worker],
        is_scheduler: Callable[[], bool],
        execution: Execution | None = None,
    ) -> None:
        super().__init__()
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._feed = LedgerFeed(ledger)
        self._manifests = manifests
        self._holdings = holdings
        self._appender = appender
        self._worker_names = worker_names
        self._worker_of = worker_of
        self._is_scheduler = is_scheduler
        self._execution = execution or Execution()
        self._placement = Placement(incarnation)
        self._throttling = Throttling(self._placement.interference)
        self._held_tokens: dict[str, int] = {}
        self._change_event = asyncio.Event()
        self._holdings_at = float("-inf")
        self._versions_read: tuple[int, int] = (-1, -1)
        self._domains_in: frozenset[str] = frozenset()
        self._in_progress: set[tuple[object, ...]] = set()
        self._stop_semaphore: asyncio.Semaphore | None = None
        self._capacity_retry_at: dict[str, float] = {}
        self._adapters: dict[str, Worker] = {}
        self._loads: dict[str, Mapping[str, float]] = {}
        self._summary_encoder = SummaryEncoder()
        self._counts = {"starts": 0, "stops": 0, "evictions": 0, "records_not_taken": 0}

    @property
    def placement(self) -> Placement:
        """Return the scheduler's decision code, for explanations and dumps."""
        return self._placement

    @property
    def execution(self) -> Execution:
        """Return the holder's decision code, for dumps."""
        return self._execution

    @property
    def counts(self) -> Mapping[str, int]:
        """Return counters since the start."""
        return self._counts

    def dump(self) -> dict[str, object]:
        """Return the state of the service for a dump."""
        return {
            "counts": dict(self._counts),
            "held_workers": dict(self._held_tokens),
            "execution": self._execution.state(),
            "placement": self._placement.state(),
        }

    def note_verdict(self, verdict: RecordVerdict) -> None:
        """Record the verdict on a control record; the next tick handles it."""
        self._feed.record_verdict(verdict)
        self._change_event.set()

    def note_snapshot_restored(self) -> None:
        """Read the whole ledger at the next tick, after a snapshot was restored."""
        self._feed.mark_all_changed()
        self._change_event.set()

    def usage_summary(self) -> bytes:
        """Return a summary of loads and effects for the peers, to be sent about every 5 s."""
        effects = self._placement.interference.effects
        return self._summary_encoder.encoded_summary(self._loads, effects, self.loop.time())

    def merge_usage_summary(self, data: bytes) -> None:
        """Merge a peer's usage summary; one that can't be decoded is ignored."""
        summary = decoded_summary(data)
        if summary is None:
            return
        now = self.loop.time()
        self._placement.interference.merge(effects_from_summary(summary, now), now)
        for worker, loads in summary.loads.items():
            if worker not in self._held_tokens:
                self._placement.set_loads(worker, loads, now)

    @mode.Service.task
    async def _tick_until_stopped(self) -> None:
        self._stop_semaphore = asyncio.Semaphore(MAX_CONCURRENT_STOPS)
        while not self.should_stop:
            self.step(self.loop.time())
            await self.sleep(TICK_SECONDS)
            if self._is_idle():
                await self._wait_for_change()

    def _is_idle(self) -> bool:
        return not self._placement.has_pending and self._execution.is_settled

    async def _wait_for_change(self) -> None:
        self._change_event.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_WAIT_SECONDS):
                await self._change_event.wait()

    def step(self, now: float) -> None:
        """Run one tick: read changes, then send messages and records that are due.

        :param now: loop time in seconds
        """
        self._read_evidence(now)
        self._read_manifest(now)
        self._read_ledger(now)
        self._read_holdings(now)
        for action in self._execution.decide(Tick(), self.loop.time()):
            self._perform(action, now)
        if not self._is_scheduler() or self._feed.ledger.is_stopped:
            return
        for placement_action in self._placement.tick(now, self._feed.evidence_at):
            match placement_action:
                case Append():
                    self._submit(placement_action.record, now)
                case EvictTask():
                    self._evict(placement_action, now)

    def _read_evidence(self, now: float) -> None:
        current = self._manifests.current
        if current is None:
            return
        domains = current.manifest.failure_domains.items()
        self._domains_in = frozenset(n for n, d in domains if d.state is DomainState.IN)
        event = EvidenceRead(
            read_offset=self._feed.ledger.read_offset,
            control_at=self._feed.evidence_at,
            config_at=self._manifests.evidence_at,
            domains_in=self._domains_in,
            autonomy_seconds=current.manifest.autonomy_seconds,
        )
        self._execution.decide(event, self.loop.time())

    def _read_manifest(self, now: float) -> None:
        current = self._manifests.current
        adopted = self._feed.ledger.placements.manifest
        if current is None or adopted is None:
            return
        versions = (current.version, self._feed.ledger.adopted_version)
        if versions != self._versions_read:
            self._versions_read = versions
            self._placement.set_manifest(current.manifest, adopted, now)

    def _read_ledger(self, now: float) -> None:
        for stopped in self._feed.take_ended():
            previous = self._placement.running(stopped.task)
            if previous is not None and previous.token == stopped.token:
                self._end_assignment(previous)
            self._placement.end_running(
                stopped.task, stopped.token, stopped.outcome, stopped.checkpoint, now
            )
        for refused in self._feed.take_refused():
            if refused.writer == self._incarnation:
                self._placement.expire_refused_proposal(refused.task, refused.worker, now)
        if self._feed.take_all_changed():
            self._feed.take_tasks()
            self._feed.take_workers()
            self._read_all(now)
            return
        for name in self._feed.take_workers():
            facts = self._feed.worker_facts(name)
            if facts is not None:
                self._placement.set_worker(facts, now)
                self._read_held_worker(name)
        for task in self._feed.take_tasks():
            self._read_task(task, now)

    def _read_all(self, now: float) -> None:
        for facts in self._feed.all_worker_facts():
            self._placement.set_worker(facts, now)
            self._read_held_worker(facts.name)
        assignments = {item.task: item for item in self._feed.all_assignments()}
        for task, previous in self._placement.running_tasks():
            current = assignments.get(task)
            if current is None or current.token != previous.token:
                self._end_assignment(previous)
                self._placement.drop_running(task)
        for assignment in assignments.values():
            self._read_assignment(assignment, now)
        pending = {item.task: item for item in self._feed.all_pending()}
        self._placement.replace_pending(pending, now)

    def _read_task(self, task: str, now: float) -> None:
        previous = self._placement.running(task)
        assignment = self._feed.assignment(task)
        if previous is not None and (assignment is None or assignment.token != previous.token):
            self._end_assignment(previous)
            self._placement.drop_running(task)
        if assignment is not None:
            self._read_assignment(assignment, now)
            return
        pending = self._feed.pending(task)
        if pending is not None:
            self._placement.add_pending(pending, now)
        else:
            self._placement.drop_pending(task)

    def _read_assignment(self, assignment: Assignment, now: float) -> None:
        self._placement.add_running(assignment, now)
        if assignment.worker in self._held_tokens:
            self._execution.decide(AssignmentRead(assignment), self.loop.time())

    def _end_assignment(self, assignment: Assignment) -> None:
        if assignment.worker in self._held_tokens:
            event = AssignmentEnded(assignment.worker, assignment.task, assignment.token)
            for action in self._execution.decide(event, self.loop.time()):
                self._perform(action, self.loop.time())

    def _read_holdings(self, now: float) -> None:
        if now - self._holdings_at < HOLDINGS_INTERVAL_SECONDS:
            return
        self._holdings_at = now
        held = {}
        # A held worker that disappears from the VM list keeps its lease.
        workers = self._feed.ledger.placements.workers
        for name in {*self._worker_names(), *workers, *self._held_tokens}:
            token = self._holdings.worker_token(name)
            if token is not None:
                held[name] = token
        for name in self._held_tokens.keys() - held.keys():
            self._execution.decide(WorkerUnheld(name), self.loop.time())
            self._throttling.forget_worker(name)
            self._loads.pop(name, None)
        newly_held = [name for name, token in held.items() if self._held_tokens.get(name) != token]
        self._held_tokens = held
        for name in newly_held:
            self._read_held_worker(name)
            for assignment in self._feed.assignments_on(name):
                self._execution.decide(AssignmentRead(assignment), self.loop.time())

    def _read_held_worker(self, name: str) -> None:
        token = self._held_tokens.get(name)
        if token is None:
            return
        facts = self._feed.worker_facts(name)
        is_fenced = facts is not None and facts.is_fenced
        # A process of another domain holds the workers of a domain in which no process has joined.
        failure_domain = facts.failure_domain if facts is not None else self._failure_domain
        event = WorkerHeld(name, failure_domain, token, is_fenced)
        self._execution.decide(event, self.loop.time())

    def _submit(self, record: ControlRecord, now: float) -> None:
        try:
            self._appender.submit(encode_record(record), not_after=now + APPEND_TIMEOUT_SECONDS)
        except AppendQueueFullError:
            self._counts["records_not_taken"] += 1

    def _perform(self, action: ExecutionAction | ThrottleTask, now: float) -> None:
        match action:
            case Append():
                self._submit(action.record, now)
            case ReadClock():
                self._send(("lease", action.worker), self._read_clock(action))
            case RenewLease():
                self._send(("lease", action.worker), self._renew_lease(action))
            case StartTask():
                self._counts["starts"] += 1
                self._send(("start", action.task, action.token), self._start(action))
            case StopTask():
                self._counts["stops"] += 1
                self._send(("stop", action.task, action.token), self._stop(action))
            case ForgetTask():
                self._send(("forget", action.task, action.token), self._forget(action))
            case ThrottleTask():
                self._send(("throttle", action.task, action.token), self._throttle(action))

    def _send(self, key: tuple[object, ...], message: Coroutine[Any, Any, None]) -> None:
        if key in self._in_progress:
            message.close()
            return
        self._in_progress.add(key)
        self.add_future(self._deliver(key, message))

    async def _deliver(self, key: tuple[object, ...], message: Coroutine[Any, Any, None]) -> None:
        try:
            if key[0] not in ("stop", "forget") or self._stop_semaphore is None:
                await message
                return
            async with self._stop_semaphore:
                await message
        finally:
            self._in_progress.discard(key)

    def _adapter(self, name: str) -> Worker:
        """Return a worker's adapter, or the last one if the VM list no longer names the worker.

        :raises WorkerError: if the worker was never on the VM list
        """
        try:
            self._adapters[name] = self._worker_of(name)
        except LookupError:
            if name not in self._adapters:
                raise WorkerError(f"no address known for worker {name}") from None
        return self._adapters[name]

    async def _read_clock(self, action: ReadClock) -> None:
        try:
            answer = await self._adapter(action.worker).read_clock()
        except WorkerError:
            return
        now = self.loop.time()
        self._declare_capacity(answer, now)
        event = ClockRead(action.worker, action.token, answer.boot, answer.clock, now)
        self._decide(event, now)

    def _declare_capacity(self, answer: WorkerClock, now: float) -> None:
        """Append a ``Capacity`` record if the ledger does not show what the worker reports."""
        facts = self._feed.worker_facts(answer.name)
        is_declared = (
            facts is not None
            and facts.rack == answer.rack
            and facts.failure_domain == answer.failure_domain
            and facts.capacity == answer.capacity
        )
        if is_declared or self._feed.evidence_at < self._capacity_retry_at.get(
            answer.name, -APPEND_TIMEOUT_SECONDS
        ):
            return
        self._capacity_retry_at[answer.name] = now + APPEND_TIMEOUT_SECONDS
        record = Capacity(
            worker=answer.name,
            rack=answer.rack,
            failure_domain=answer.failure_domain,
            cpu=answer.cpu,
            memory_gb=answer.memory_gb,
            accelerators=answer.accelerators,
        )
        self._submit(record, now)

    async def _renew_lease(self, action: RenewLease) -> None:
        sent_at = self.loop.time()
        try:
            answer = await self._adapter(action.worker).renew_lease(
                action.token, action.seconds, action.not_after, action.boot, action.failure_domain
            )
        except WorkerError:
            self._decide(LeaseFailed(action.worker, action.token, sent_at), self.loop.time())
            return
        now = self.loop.time()
        if isinstance(answer, Refusal):
            self._decide(LeaseRefused(action.worker, action.token, now, answer.highest), now)
            return
        runs = tuple(_run_observation(run) for run in answer.runs)
        event = LeaseRenewed(
            action.worker, action.token, sent_at, now, answer.boot, answer.clock, runs
        )
        self._decide(event, now)
        self._record_usage(action.worker, answer, now)

    def _record_usage(self, worker: str, report: WorkerReport, now: float) -> None:
        self._throttling.adopt_speeds(worker, {run.task: run.speed for run in report.runs})
        weights: dict[str, float] = {}
        for task, use in report.usage.tasks.items():
            job = job_of(task)
            speed = self._throttling.speed_of(worker, task)
            weights[job] = weights.get(job, 0.0) + speed
            self._placement.sizes.observe_use(job, use.cpu, use.memory_gb)
        services = report.usage.services
        measured = MeasuredWorker(
            worker,
            {name: service.load for name, service in services.items()},
            {name: service.slow_down for name, service in services.items()},
            weights,
        )
        self._placement.measure(measured, now)
        self._loads[worker] = measured.loads
        running = {
            run.task: assignment
            for run in report.runs
            if run.state == "running"
            and (assignment := self._placement.running(run.task)) is not None
            and assignment.token == run.token
        }
        for action in self._throttling.decide(measured, running, now):
            match action:
                case StopWanted():
                    self._counts["evictions"] += 1
                    self._execution.decide(action, self.loop.time())
                case ThrottleTask():
                    self._perform(action, now)

    async def _start(self, action: StartTask) -> None:
        try:
            answer = await self._adapter(action.worker).start(
                action.task,
                action.token,
                action.not_after,
                action.boot,
                action.resources,
                action.run_seconds,
                action.checkpoint,
            )
        except WorkerError:
            event = RunUnanswered(action.worker, action.task, action.token)
            self._decide(event, self.loop.time())
            return
        self._handle_run_answer(action.worker, action.task, action.token, answer)

    async def _stop(self, action: StopTask) -> None:
        try:
            answer = await self._adapter(action.worker).stop(
                action.task, action.token, keeps_work=action.keeps_work
            )
        except WorkerError:
            event = RunUnanswered(action.worker, action.task, action.token)
            self._decide(event, self.loop.time())
            return
        self._handle_run_answer(action.worker, action.task, action.token, answer)

    def _handle_run_answer(
        self, worker: str, task: str, token: int, answer: RunReport | Refusal
    ) -> None:
        match answer:
            case RunReport():
                self._decide(RunAnswered(worker, _run_observation(answer)), self.loop.time())
            case Refusal(refused="token"):
                # The worker has seen a newer token; the ledger will show it to this process.
                return
            case Refusal():
                refused = RunObserved(task, token, "refused", reason=answer.refused)
                self._decide(RunAnswered(worker, refused), self.loop.time())

    async def _forget(self, action: ForgetTask) -> None:
        try:
            await self._adapter(action.worker).forget(action.task, action.token)
        except WorkerError:
            return

    async def _throttle(self, action: ThrottleTask) -> None:
        try:
            await self._adapter(action.worker).throttle(action.task, action.token, action.speed)
        except WorkerError:
            return

    def _evict(self, action: EvictTask, now: float) -> None:
        self._counts["evictions"] += 1
        if action.worker in self._held_tokens:
            self._execution.decide(
                StopWanted(action.worker, action.task, action.token), self.loop.time()
            )
            return
        self._send(("stop", action.task, action.token), self._evict_at(action))

    async def _evict_at(self, action: EvictTask) -> None:
        """Stop a task on a worker that another process holds, and append its end.

        The worker's answer proves that the task has stopped.
        """
        try:
            answer = await self._adapter(action.worker).stop(
                action.task, action.token, keeps_work=True
            )
        except WorkerError:
            return
        assignment = self._feed.assignment(action.task)
        if isinstance(answer, Refusal) or answer.state == "running":
            return
        if assignment is not None and assignment.token == action.token:
            self._submit(stopped_record(assignment, _run_observation(answer)), self.loop.time())

    def _decide(self, event: Any, now: float) -> None:
        for action in self._execution.decide(event, self.loop.time()):
            self._perform(action, now)


def _run_observation(run: RunReport) -> RunObserved:
    return RunObserved(run.task, run.token, run.state, run.done_seconds, run.checkpoint, run.reason)
