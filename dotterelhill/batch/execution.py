"""Decisions of a worker's holder: lease renewals, starts, stops, and moves (a) to (d).

Explanation
===========

The ledger defines which tasks belong on a worker; the worker reports which tasks it runs. Each
tick compares the two and sends the messages and records that are missing. Every message is
idempotent, because the worker rejects outdated tokens and the ledger accepts one ``Stopped`` for
each token. A message or an answer that was lost is therefore repeated, and silence alone never
counts as proof that a task has stopped.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from dotterelhill.batch.events import (
    Append,
    AssignmentEnded,
    AssignmentRead,
    ClockRead,
    EvidenceRead,
    ExecutionAction,
    ExecutionEvent,
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
    WorkerEvent,
    WorkerHeld,
    WorkerUnheld,
)
from dotterelhill.batch.interface import Assignment
from dotterelhill.batch.resume import (
    ResumePoint,
    decoded_resume_point,
    encoded_resume_point,
)
from dotterelhill.core import safe_wait_seconds, usable_seconds
from dotterelhill.ledger import Fence, StopOutcome, Stopped, Unfence

LEASE_SECONDS = 20.0
RENEWAL_SECONDS = 5.0
# A failed renewal is repeated sooner, so that one lost message leaves much of the lease.
RENEWAL_RETRY_SECONDS = 1.0
SILENCE_SECONDS = 10.0
# A task is started only if the evidence of both streams is at most this old.
START_EVIDENCE_SECONDS = 3.0
MESSAGE_RETRY_SECONDS = 1.0
# A record that the ledger does not show is appended again once the log has been read up to this
# long after the append. The delay exceeds the duration of an append to a slow log (5 s).
APPEND_RETRY_SECONDS = 8.0
# Bounds the duration of one tick when many tasks are cancelled at once.
STOPS_PER_TICK = 100


class Phase(StrEnum):
    """Phase of a task's run as its holder has last observed it."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"


@dataclass(slots=True)
class _TaskState:
    """State of a task that the ledger assigns to a held worker; times are loop times in seconds.

    :param sent_at: time of the last start or stop message
    :param confirmed_at: latest time as of which the worker has reported the task as running
    :param appended_at: time of the last append of a ``Stopped`` record
    :param stopped: record of the end that the worker has reported
    """

    assignment: Assignment
    phase: Phase = Phase.WAITING
    sent_at: float = float("-inf")
    confirmed_at: float = float("-inf")
    appended_at: float = float("-inf")
    done_seconds: float = 0.0
    stopped: Stopped | None = None


@dataclass(slots=True)
class _WorkerState:
    """State of a held worker; times other than ``clock`` are loop times in seconds.

    :param held_at: when this process began to hold the worker
    :param clock: the worker's clock in its last answer, in seconds
    :param clock_at: time of that answer; None if the clock must be read before a renewal
    :param renewed_at: when the last renewal was sent
    :param requested_at: when the last renewal or clock request was sent, moved back for a retry
    :param heard_at: time of the last answer
    :param first_renewed_at: time of the first answered renewal of this holding
    :param has_declared_losses: whether ``Stopped(lost)`` records were appended under this fence
    :param unsettled_tasks: tasks that wait for a message or a record, used as an ordered set
    """

    name: str
    failure_domain: str
    token: int
    is_fenced: bool
    held_at: float
    boot: str = ""
    clock: float = 0.0
    clock_at: float | None = None
    renewed_at: float = float("-inf")
    requested_at: float = float("-inf")
    heard_at: float = float("-inf")
    first_renewed_at: float | None = None
    fence_read_at: float | None = None
    fence_appended_at: float = float("-inf")
    unfence_appended_at: float = float("-inf")
    is_superseded: bool = False
    has_declared_losses: bool = False
    tasks: dict[str, _TaskState] = field(default_factory=dict)
    unsettled_tasks: dict[str, None] = field(default_factory=dict)


class Execution:
    """Decisions of one process about the workers that it holds and the tasks on them."""

    def __init__(self) -> None:
        self._workers: dict[str, _WorkerState] = {}
        self._evidence = EvidenceRead(0, float("-inf"), float("-inf"), frozenset(), 3600.0)

    def phase_of(self, worker: str, task: str) -> Phase | None:
        """Return the phase of a task, or None if it is not on a held worker."""
        state = self._workers.get(worker)
        task_state = state.tasks.get(task) if state else None
        return task_state.phase if task_state else None

    @property
    def is_settled(self) -> bool:
        """Return whether every task is running and no worker is fenced."""
        return not any(
            worker.is_fenced
            or worker.unsettled_tasks
            or any(task.phase is not Phase.RUNNING for task in worker.tasks.values())
            for worker in self._workers.values()
        )

    def state(self) -> dict[str, object]:
        """Return the state of all held workers for a dump, by worker name."""
        return {
            worker.name: {
                "token": worker.token,
                "is_fenced": worker.is_fenced,
                "is_superseded": worker.is_superseded,
                "heard_at": worker.heard_at,
                "renewed_at": worker.renewed_at,
                "tasks": {name: str(task.phase) for name, task in worker.tasks.items()},
            }
            for worker in self._workers.values()
        }

    def decide(self, event: ExecutionEvent, now: float) -> list[ExecutionAction]:
        """Update the state with ``event`` and return the resulting actions.

        :param now: loop time in seconds
        """
        match event:
            case Tick():
                return self._tick(now)
            case EvidenceRead():
                self._update_evidence(event)
            case AssignmentRead():
                self._update_assignment(event.assignment)
            case AssignmentEnded():
                return self._end_assignment(event)
            case StopWanted():
                self._request_stop(event)
            case RunAnswered():
                self._record_run_answer(event, now)
            case RunUnanswered():
                pass
            case _:
                return self._decide_worker_event(event, now)
        return []

    def _decide_worker_event(self, event: WorkerEvent, now: float) -> list[ExecutionAction]:
        match event:
            case WorkerHeld():
                self._update_held_worker(event, now)
            case WorkerUnheld():
                self._workers.pop(event.worker, None)
            case ClockRead():
                return self._record_clock(event, now)
            case LeaseRenewed():
                return self._record_lease_renewal(event)
            case LeaseRefused():
                self._record_lease_refusal(event)
            case LeaseFailed():
                self._record_lease_failure(event)
        return []

    def _update_evidence(self, event: EvidenceRead) -> None:
        has_domain_change = event.domains_in != self._evidence.domains_in
        self._evidence = event
        if not has_domain_change:
            return
        for worker in self._workers.values():
            if worker.failure_domain in event.domains_in:
                continue
            for name, task in worker.tasks.items():
                if task.phase is Phase.RUNNING:
                    task.phase = Phase.STOPPING
                    worker.unsettled_tasks[name] = None

    def _update_held_worker(self, event: WorkerHeld, now: float) -> None:
        worker = self._workers.get(event.worker)
        if worker is None or worker.token != event.token:
            worker = _WorkerState(event.worker, event.failure_domain, event.token, False, now)
            self._workers[event.worker] = worker
        if event.is_fenced and not worker.is_fenced:
            worker.fence_read_at = now
        if worker.is_fenced and not event.is_fenced:
            # Silence is measured from now on: the worker answered before Unfence was appended.
            worker.heard_at = max(worker.heard_at, now)
            worker.has_declared_losses = False
            worker.unfence_appended_at = float("-inf")
        worker.is_fenced = event.is_fenced

    def _update_assignment(self, assignment: Assignment) -> None:
        worker = self._workers.get(assignment.worker)
        if worker is None:
            return
        task_state = worker.tasks.get(assignment.task)
        if task_state is None or task_state.assignment.token < assignment.token:
            task_state = _TaskState(assignment)
            worker.tasks[assignment.task] = task_state
            worker.unsettled_tasks[assignment.task] = None
        task_state.assignment = assignment
        if assignment.is_cancelled and task_state.phase is not Phase.ENDED:
            task_state.phase = Phase.STOPPING
            worker.unsettled_tasks[assignment.task] = None

    def _end_assignment(self, event: AssignmentEnded) -> list[ExecutionAction]:
        worker = self._workers.get(event.worker)
        task_state = worker.tasks.get(event.task) if worker else None
        if worker is None or task_state is None or task_state.assignment.token != event.token:
            return []
        del worker.tasks[event.task]
        worker.unsettled_tasks.pop(event.task, None)
        if task_state.phase is Phase.ENDED and not worker.is_fenced:
            return [ForgetTask(event.worker, event.task, event.token)]
        return []

    def _request_stop(self, event: StopWanted) -> None:
        worker = self._workers.get(event.worker)
        task_state = worker.tasks.get(event.task) if worker else None
        if worker is None or task_state is None or task_state.assignment.token != event.token:
            return
        if task_state.phase is not Phase.ENDED:
            task_state.phase = Phase.STOPPING
            worker.unsettled_tasks[event.task] = None

    def _record_clock(self, event: ClockRead, now: float) -> list[ExecutionAction]:
        worker = self._workers.get(event.worker)
        if worker is None or event.token != worker.token:
            return []
        worker.boot = event.boot
        worker.clock = event.clock
        worker.clock_at = event.received_at
        worker.heard_at = max(worker.heard_at, event.received_at)
        if not worker.is_fenced or worker.has_declared_losses:
            return []
        if not self._may_append(worker.unfence_appended_at, now):
            return []
        worker.unfence_appended_at = now
        return [Append(Unfence(worker=worker.name, token=worker.token))]

    def _record_lease_refusal(self, event: LeaseRefused) -> None:
        worker = self._workers.get(event.worker)
        if worker is None or event.token != worker.token:
            return
        worker.clock_at = None
        worker.heard_at = max(worker.heard_at, event.received_at)
        worker.is_superseded = event.highest > worker.token

    def _record_lease_failure(self, event: LeaseFailed) -> None:
        worker = self._workers.get(event.worker)
        if worker is not None and event.token == worker.token:
            retry_shift = RENEWAL_SECONDS - RENEWAL_RETRY_SECONDS
            worker.requested_at = min(worker.requested_at, event.sent_at - retry_shift)

    def _record_lease_renewal(self, event: LeaseRenewed) -> list[ExecutionAction]:
        worker = self._workers.get(event.worker)
        if worker is None or event.token != worker.token:
            return []
        if worker.first_renewed_at is None:
            worker.first_renewed_at = event.received_at
        worker.boot = event.boot
        worker.clock = event.clock
        worker.clock_at = event.received_at
        worker.heard_at = max(worker.heard_at, event.received_at)
        actions: list[ExecutionAction] = []
        reported = set()
        for run in event.runs:
            task_state = worker.tasks.get(run.task)
            if task_state is not None and task_state.assignment.token == run.token:
                reported.add(run.task)
                self._observe(worker, task_state, run, event.sent_at)
                continue
            if run.token <= self._evidence.read_offset:
                actions.append(_cleanup_action(worker.name, run))
        for name, task_state in worker.tasks.items():
            if name in reported or task_state.phase is not Phase.RUNNING:
                continue
            if event.sent_at > task_state.confirmed_at:
                # The worker has restarted. A stop makes it refuse a late start of this token.
                task_state.phase = Phase.STOPPING
                worker.unsettled_tasks[name] = None
        return actions

    def _observe(
        self, worker: _WorkerState, task_state: _TaskState, run: RunObserved, sent_at: float
    ) -> None:
        if task_state.phase is Phase.ENDED:
            return
        task_state.done_seconds = run.done_seconds
        if run.state == "running":
            if task_state.phase in (Phase.WAITING, Phase.STARTING):
                task_state.phase = Phase.RUNNING
                worker.unsettled_tasks.pop(run.task, None)
            task_state.confirmed_at = max(task_state.confirmed_at, sent_at)
            return
        task_state.stopped = stopped_record(task_state.assignment, run)
        task_state.phase = Phase.ENDED
        worker.unsettled_tasks[run.task] = None

    def _record_run_answer(self, event: RunAnswered, now: float) -> None:
        worker = self._workers.get(event.worker)
        task_state = worker.tasks.get(event.run.task) if worker else None
        if worker is None or task_state is None or task_state.assignment.token != event.run.token:
            return
        self._observe(worker, task_state, event.run, now)

    def _tick(self, now: float) -> list[ExecutionAction]:
        lease_actions: list[ExecutionAction] = []
        urgent_starts: list[ExecutionAction] = []
        other_actions: list[ExecutionAction] = []
        stop_actions: list[ExecutionAction] = []
        for worker in self._workers.values():
            lease_actions.extend(self._lease_actions(worker, now))
            for name in tuple(worker.unsettled_tasks):
                task = worker.tasks[name]
                match task.phase:
                    case Phase.WAITING | Phase.STARTING:
                        target = urgent_starts if task.assignment.is_urgent else other_actions
                        target.extend(self._start_actions(worker, task, now))
                    case Phase.STOPPING if len(stop_actions) < STOPS_PER_TICK:
                        stop_actions.extend(_stop_actions(worker, task, now))
                    case Phase.ENDED:
                        other_actions.extend(self._report_actions(task, now))
        return lease_actions + urgent_starts + other_actions + stop_actions

    def _lease_actions(self, worker: _WorkerState, now: float) -> Iterator[ExecutionAction]:
        if worker.is_superseded:
            return
        if worker.is_fenced:
            yield from self._fenced_actions(worker, now)
            return
        last_heard = max(worker.heard_at, worker.held_at)
        if now - last_heard >= SILENCE_SECONDS:
            if self._may_append(worker.fence_appended_at, now):
                worker.fence_appended_at = now
                yield Append(Fence(worker=worker.name, token=worker.token))
        if now - worker.requested_at < RENEWAL_SECONDS:
            return
        if worker.clock_at is None:
            worker.requested_at = now - RENEWAL_SECONDS + RENEWAL_RETRY_SECONDS
            yield ReadClock(worker.name, worker.token)
            return
        autonomy = usable_seconds(self._evidence.autonomy_seconds)
        if now >= self._evidence.control_at + autonomy:
            return
        worker.requested_at = worker.renewed_at = now
        lease_seconds = usable_seconds(now + LEASE_SECONDS - worker.clock_at)
        not_after = worker.clock + lease_seconds
        yield RenewLease(
            worker.name, worker.token, LEASE_SECONDS, not_after, worker.boot, worker.failure_domain
        )

    def _fenced_actions(self, worker: _WorkerState, now: float) -> Iterator[ExecutionAction]:
        if now - worker.requested_at >= MESSAGE_RETRY_SECONDS:
            worker.requested_at = now
            yield ReadClock(worker.name, worker.token)
        if now < self._lease_expiry(worker):
            return
        # While this process was paused, another holder may have unfenced and fenced the worker.
        if now - self._evidence.control_at > START_EVIDENCE_SECONDS:
            return
        # If an Unfence of this process is in flight, a later Stopped(lost) would refer to the
        # next fence.
        if not worker.has_declared_losses and not self._may_append(worker.unfence_appended_at, now):
            return
        if not worker.has_declared_losses and now - worker.heard_at < SILENCE_SECONDS:
            return
        for task in worker.tasks.values():
            if not self._may_append(task.appended_at, now):
                continue
            worker.has_declared_losses = True
            task.appended_at = now
            yield Append(_stopped_as_lost(task, worker.token))

    def _lease_expiry(self, worker: _WorkerState) -> float:
        if worker.first_renewed_at is not None:
            # The last lease of an earlier holder was granted before the first answer to this one.
            last_renewal_at = max(worker.renewed_at, worker.first_renewed_at)
            return last_renewal_at + safe_wait_seconds(LEASE_SECONDS)
        fenced_at = worker.fence_read_at if worker.fence_read_at is not None else float("inf")
        return fenced_at + safe_wait_seconds(self._evidence.autonomy_seconds + LEASE_SECONDS)

    def _start_actions(
        self, worker: _WorkerState, task: _TaskState, now: float
    ) -> Iterator[ExecutionAction]:
        if now - task.sent_at < MESSAGE_RETRY_SECONDS or worker.is_superseded:
            return
        # Before the first answered renewal the worker may be unreachable or have another holder.
        if worker.is_fenced or worker.first_renewed_at is None or worker.clock_at is None:
            return
        if now >= worker.renewed_at + usable_seconds(LEASE_SECONDS):
            return
        if worker.failure_domain not in self._evidence.domains_in:
            task.phase = Phase.STOPPING
            return
        evidence_at = min(self._evidence.config_at, self._evidence.control_at)
        start_deadline = evidence_at + START_EVIDENCE_SECONDS
        if now >= start_deadline:
            return
        task.phase = Phase.STARTING
        task.sent_at = now
        assignment = task.assignment
        yield StartTask(
            worker=worker.name,
            task=assignment.task,
            token=assignment.token,
            not_after=worker.clock + usable_seconds(start_deadline - worker.clock_at),
            boot=worker.boot,
            resources=assignment.resources,
            run_seconds=assignment.run_seconds,
            checkpoint=decoded_resume_point(assignment.checkpoint).checkpoint,
        )

    def _report_actions(self, task: _TaskState, now: float) -> Iterator[ExecutionAction]:
        if task.stopped is None or not self._may_append(task.appended_at, now):
            return
        task.appended_at = now
        yield Append(task.stopped)

    def _may_append(self, appended_at: float, now: float) -> bool:
        if appended_at == float("-inf"):
            return True
        if now - appended_at < APPEND_RETRY_SECONDS:
            return False
        return self._evidence.control_at >= appended_at + APPEND_RETRY_SECONDS


def stopped_record(assignment: Assignment, run: RunObserved) -> Stopped:
    """Return the ``Stopped`` record of a run that its worker reports as ended.

    A failed run ends as evicted, to be repeated on another worker, until the task has failed on
    ``MAX_FAILED_WORKERS`` workers.
    """
    point = decoded_resume_point(assignment.checkpoint)
    if run.checkpoint:
        point = ResumePoint(run.checkpoint, point.failed_on)
    match run.state:
        case "finished":
            outcome = StopOutcome.FINISHED
        case _ if assignment.is_cancelled:
            outcome = StopOutcome.CANCELLED
        case "failed":
            point = point.after_failure_on(assignment.worker)
            outcome = StopOutcome.FAILED if point.has_reached_failure_limit else StopOutcome.EVICTED
        case _:
            outcome = StopOutcome.EVICTED
    checkpoint = encoded_resume_point(point)
    return Stopped(task=run.task, token=run.token, outcome=outcome, checkpoint=checkpoint)


def _cleanup_action(worker: str, run: RunObserved) -> ExecutionAction:
    if run.state == "running":
        return StopTask(worker, run.task, run.token, keeps_work=True)
    return ForgetTask(worker, run.task, run.token)


def _stop_actions(worker: _WorkerState, task: _TaskState, now: float) -> Iterator[ExecutionAction]:
    if worker.is_fenced or worker.is_superseded or now - task.sent_at < MESSAGE_RETRY_SECONDS:
        return
    task.sent_at = now
    assignment = task.assignment
    keeps_work = not assignment.is_cancelled
    yield StopTask(worker.name, assignment.task, assignment.token, keeps_work=keeps_work)


def _stopped_as_lost(task: _TaskState, fence: int) -> Stopped:
    if task.stopped is not None:
        return task.stopped
    assignment = task.assignment
    return Stopped(
        task=assignment.task,
        token=assignment.token,
        outcome=StopOutcome.LOST,
        checkpoint=assignment.checkpoint,
        fence=fence,
    )
