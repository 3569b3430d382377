"""Decision code of a worker's holder: leases, starts, stops, and moves (a) to (d).

Explanation
===========

The ledger says which tasks belong on a worker; the worker says what it runs. Each tick compares
the two and repeats what is not done yet. Every message can be repeated, because the worker
arbitrates by token and the ledger accepts one ``Stopped`` for each token. A message or an answer
that was lost is therefore repeated, and nothing is concluded from silence alone.
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
from dotterelhill.core import usable_seconds, waited_seconds
from dotterelhill.ledger import Fence, StopOutcome, Stopped, Unfence

LEASE_SECONDS = 20.0
RENEWAL_SECONDS = 5.0
# Failed renewals are repeated sooner, so that one lost message leaves the lease far from its end.
RENEWAL_RETRY_SECONDS = 1.0
SILENCE_SECONDS = 10.0
# A start needs knowledge of both streams that is at most this old.
START_EVIDENCE_SECONDS = 3.0
MESSAGE_RETRY_SECONDS = 1.0
# A record that the ledger does not show is appended again when the log was read this much later.
# It is above the time that a slow log takes for an append (5 s).
APPEND_RETRY_SECONDS = 8.0
# Bounds the loop time of one tick in a burst of cancellations.
STOPS_PER_TICK = 100


class Phase(StrEnum):
    """How far a task's run is, as far as its holder knows."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"


@dataclass(slots=True)
class _Task:
    assignment: Assignment
    phase: Phase = Phase.WAITING
    sent_at: float = float("-inf")
    confirmed_at: float = float("-inf")
    appended_at: float = float("-inf")
    done_seconds: float = 0.0
    stopped: Stopped | None = None


@dataclass(slots=True)
class _Worker:
    name: str
    failure_domain: str
    token: int
    is_fenced: bool
    held_at: float
    boot: str = ""
    clock: float = 0.0
    clock_at: float | None = None
    renewed_at: float = float("-inf")
    asked_at: float = float("-inf")
    heard_at: float = float("-inf")
    reached_at: float | None = None
    fence_read_at: float | None = None
    fence_appended_at: float = float("-inf")
    unfence_appended_at: float = float("-inf")
    is_superseded: bool = False
    is_losing: bool = False
    tasks: dict[str, _Task] = field(default_factory=dict)
    unsettled: dict[str, None] = field(default_factory=dict)


class Execution:
    """Holder's side of its workers and their tasks."""

    def __init__(self) -> None:
        self._workers: dict[str, _Worker] = {}
        self._evidence = EvidenceRead(0, float("-inf"), float("-inf"), frozenset(), 3600.0)

    def phase_of(self, worker: str, task: str) -> Phase | None:
        """Return how far a task is, or None when it is not known here."""
        state = self._workers.get(worker)
        known = state.tasks.get(task) if state else None
        return known.phase if known else None

    @property
    def is_settled(self) -> bool:
        """Return whether no task waits for a start or stop and no worker is fenced."""
        return not any(
            worker.is_fenced
            or worker.unsettled
            or any(task.phase is not Phase.RUNNING for task in worker.tasks.values())
            for worker in self._workers.values()
        )

    def state(self) -> dict[str, object]:
        """Return the whole state for a dump."""
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
        """Return the actions that ``event`` calls for."""
        match event:
            case Tick():
                return self._tick(now)
            case EvidenceRead():
                self._read_evidence(event)
            case AssignmentRead():
                self._read_assignment(event.assignment)
            case AssignmentEnded():
                return self._end_assignment(event)
            case StopWanted():
                self._want_stop(event)
            case RunAnswered():
                self._run_answered(event, now)
            case RunUnanswered():
                pass
            case _:
                return self._decide_on_worker(event, now)
        return []

    def _decide_on_worker(self, event: WorkerEvent, now: float) -> list[ExecutionAction]:
        match event:
            case WorkerHeld():
                self._hold(event, now)
            case WorkerUnheld():
                self._workers.pop(event.worker, None)
            case ClockRead():
                return self._read_clock(event, now)
            case LeaseRenewed():
                return self._lease_renewed(event)
            case LeaseRefused():
                self._lease_refused(event)
            case LeaseFailed():
                self._lease_failed(event)
        return []

    def _read_evidence(self, event: EvidenceRead) -> None:
        is_changed = event.domains_in != self._evidence.domains_in
        self._evidence = event
        if not is_changed:
            return
        for worker in self._workers.values():
            if worker.failure_domain in event.domains_in:
                continue
            for name, task in worker.tasks.items():
                if task.phase is Phase.RUNNING:
                    task.phase = Phase.STOPPING
                    worker.unsettled[name] = None

    def _hold(self, event: WorkerHeld, now: float) -> None:
        known = self._workers.get(event.worker)
        if known is None or known.token != event.token:
            known = _Worker(event.worker, event.failure_domain, event.token, False, now)
            self._workers[event.worker] = known
        if event.is_fenced and not known.is_fenced:
            known.fence_read_at = now
        if known.is_fenced and not event.is_fenced:
            # Silence is counted anew; the worker answered before its holder appended Unfence.
            known.heard_at = max(known.heard_at, now)
            known.is_losing = False
            known.unfence_appended_at = float("-inf")
        known.is_fenced = event.is_fenced

    def _read_assignment(self, assignment: Assignment) -> None:
        worker = self._workers.get(assignment.worker)
        if worker is None:
            return
        known = worker.tasks.get(assignment.task)
        if known is None or known.assignment.token < assignment.token:
            known = _Task(assignment)
            worker.tasks[assignment.task] = known
            worker.unsettled[assignment.task] = None
        known.assignment = assignment
        if assignment.is_cancelled and known.phase is not Phase.ENDED:
            known.phase = Phase.STOPPING
            worker.unsettled[assignment.task] = None

    def _end_assignment(self, event: AssignmentEnded) -> list[ExecutionAction]:
        worker = self._workers.get(event.worker)
        known = worker.tasks.get(event.task) if worker else None
        if worker is None or known is None or known.assignment.token != event.token:
            return []
        del worker.tasks[event.task]
        worker.unsettled.pop(event.task, None)
        if known.phase is Phase.ENDED and not worker.is_fenced:
            return [ForgetTask(event.worker, event.task, event.token)]
        return []

    def _want_stop(self, event: StopWanted) -> None:
        worker = self._workers.get(event.worker)
        known = worker.tasks.get(event.task) if worker else None
        if worker is None or known is None or known.assignment.token != event.token:
            return
        if known.phase is not Phase.ENDED:
            known.phase = Phase.STOPPING
            worker.unsettled[event.task] = None

    def _read_clock(self, event: ClockRead, now: float) -> list[ExecutionAction]:
        worker = self._workers.get(event.worker)
        if worker is None or event.token != worker.token:
            return []
        worker.boot = event.boot
        worker.clock = event.clock
        worker.clock_at = event.received_at
        worker.heard_at = max(worker.heard_at, event.received_at)
        if not worker.is_fenced or worker.is_losing:
            return []
        if not self._may_append(worker.unfence_appended_at, now):
            return []
        worker.unfence_appended_at = now
        return [Append(Unfence(worker=worker.name, token=worker.token))]

    def _lease_refused(self, event: LeaseRefused) -> None:
        worker = self._workers.get(event.worker)
        if worker is None or event.token != worker.token:
            return
        worker.clock_at = None
        worker.heard_at = max(worker.heard_at, event.received_at)
        worker.is_superseded = event.highest > worker.token

    def _lease_failed(self, event: LeaseFailed) -> None:
        worker = self._workers.get(event.worker)
        if worker is not None and event.token == worker.token:
            early = RENEWAL_SECONDS - RENEWAL_RETRY_SECONDS
            worker.asked_at = min(worker.asked_at, event.sent_at - early)

    def _lease_renewed(self, event: LeaseRenewed) -> list[ExecutionAction]:
        worker = self._workers.get(event.worker)
        if worker is None or event.token != worker.token:
            return []
        if worker.reached_at is None:
            worker.reached_at = event.received_at
        worker.boot = event.boot
        worker.clock = event.clock
        worker.clock_at = event.received_at
        worker.heard_at = max(worker.heard_at, event.received_at)
        actions: list[ExecutionAction] = []
        reported = set()
        for run in event.runs:
            known = worker.tasks.get(run.task)
            if known is not None and known.assignment.token == run.token:
                reported.add(run.task)
                self._observe(worker, known, run, event.sent_at)
                continue
            if run.token <= self._evidence.read_offset:
                actions.append(_cleanup(worker.name, run))
        for name, known in worker.tasks.items():
            if name in reported or known.phase is not Phase.RUNNING:
                continue
            if event.sent_at > known.confirmed_at:
                # The worker has restarted; a stop makes it refuse a delayed start of this token.
                known.phase = Phase.STOPPING
                worker.unsettled[name] = None
        return actions

    def _observe(self, worker: _Worker, known: _Task, run: RunObserved, sent_at: float) -> None:
        if known.phase is Phase.ENDED:
            return
        known.done_seconds = run.done_seconds
        if run.state == "running":
            if known.phase in (Phase.WAITING, Phase.STARTING):
                known.phase = Phase.RUNNING
                worker.unsettled.pop(run.task, None)
            known.confirmed_at = max(known.confirmed_at, sent_at)
            return
        known.stopped = stopped_record(known.assignment, run)
        known.phase = Phase.ENDED
        worker.unsettled[run.task] = None

    def _run_answered(self, event: RunAnswered, now: float) -> None:
        worker = self._workers.get(event.worker)
        known = worker.tasks.get(event.run.task) if worker else None
        if worker is None or known is None or known.assignment.token != event.run.token:
            return
        self._observe(worker, known, event.run, now)

    def _tick(self, now: float) -> list[ExecutionAction]:
        leases: list[ExecutionAction] = []
        urgent: list[ExecutionAction] = []
        others: list[ExecutionAction] = []
        stops: list[ExecutionAction] = []
        for worker in self._workers.values():
            leases.extend(self._lease_actions(worker, now))
            for name in tuple(worker.unsettled):
                task = worker.tasks[name]
                match task.phase:
                    case Phase.WAITING | Phase.STARTING:
                        target = urgent if task.assignment.is_urgent else others
                        target.extend(self._start_actions(worker, task, now))
                    case Phase.STOPPING if len(stops) < STOPS_PER_TICK:
                        stops.extend(_stop_actions(worker, task, now))
                    case Phase.ENDED:
                        others.extend(self._report_actions(task, now))
        return leases + urgent + others + stops

    def _lease_actions(self, worker: _Worker, now: float) -> Iterator[ExecutionAction]:
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
        if now - worker.asked_at < RENEWAL_SECONDS:
            return
        if worker.clock_at is None:
            worker.asked_at = now - RENEWAL_SECONDS + RENEWAL_RETRY_SECONDS
            yield ReadClock(worker.name, worker.token)
            return
        autonomy = usable_seconds(self._evidence.autonomy_seconds)
        if now >= self._evidence.control_at + autonomy:
            return
        worker.asked_at = worker.renewed_at = now
        lease = usable_seconds(now + LEASE_SECONDS - worker.clock_at)
        not_after = worker.clock + lease
        yield RenewLease(
            worker.name, worker.token, LEASE_SECONDS, not_after, worker.boot, worker.failure_domain
        )

    def _fenced_actions(self, worker: _Worker, now: float) -> Iterator[ExecutionAction]:
        if now - worker.asked_at >= MESSAGE_RETRY_SECONDS:
            worker.asked_at = now
            yield ReadClock(worker.name, worker.token)
        if now < self._lease_over_at(worker):
            return
        # After a pause another holder may have unfenced the worker and fenced it again.
        if now - self._evidence.control_at > START_EVIDENCE_SECONDS:
            return
        # An Unfence on its way would let a later Stopped(lost) refer to the next fence.
        if not worker.is_losing and not self._may_append(worker.unfence_appended_at, now):
            return
        if not worker.is_losing and now - worker.heard_at < SILENCE_SECONDS:
            return
        for task in worker.tasks.values():
            if not self._may_append(task.appended_at, now):
                continue
            worker.is_losing = True
            task.appended_at = now
            yield Append(_stopped_as_lost(task, worker.token))

    def _lease_over_at(self, worker: _Worker) -> float:
        if worker.reached_at is not None:
            # An earlier holder's lease was given before the first answer to this holder.
            last = max(worker.renewed_at, worker.reached_at)
            return last + waited_seconds(LEASE_SECONDS)
        fenced_at = worker.fence_read_at if worker.fence_read_at is not None else float("inf")
        return fenced_at + waited_seconds(self._evidence.autonomy_seconds + LEASE_SECONDS)

    def _start_actions(self, worker: _Worker, task: _Task, now: float) -> Iterator[ExecutionAction]:
        if now - task.sent_at < MESSAGE_RETRY_SECONDS or worker.is_superseded:
            return
        # Without an answered renewal the worker may be unreachable or used by another holder.
        if worker.is_fenced or worker.reached_at is None or worker.clock_at is None:
            return
        if now >= worker.renewed_at + usable_seconds(LEASE_SECONDS):
            return
        if worker.failure_domain not in self._evidence.domains_in:
            task.phase = Phase.STOPPING
            return
        evidence_at = min(self._evidence.config_at, self._evidence.control_at)
        ends_at = evidence_at + START_EVIDENCE_SECONDS
        if now >= ends_at:
            return
        task.phase = Phase.STARTING
        task.sent_at = now
        assignment = task.assignment
        yield StartTask(
            worker=worker.name,
            task=assignment.task,
            token=assignment.token,
            not_after=worker.clock + usable_seconds(ends_at - worker.clock_at),
            boot=worker.boot,
            resources=assignment.resources,
            run_seconds=assignment.run_seconds,
            checkpoint=decoded_resume_point(assignment.checkpoint).checkpoint,
        )

    def _report_actions(self, task: _Task, now: float) -> Iterator[ExecutionAction]:
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
    """Return the record for a run that its worker reports as ended."""
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
            outcome = StopOutcome.FAILED if point.is_given_up else StopOutcome.EVICTED
        case _:
            outcome = StopOutcome.EVICTED
    checkpoint = encoded_resume_point(point)
    return Stopped(task=run.task, token=run.token, outcome=outcome, checkpoint=checkpoint)


def _cleanup(worker: str, run: RunObserved) -> ExecutionAction:
    if run.state == "running":
        return StopTask(worker, run.task, run.token, keeps_work=True)
    return ForgetTask(worker, run.task, run.token)


def _stop_actions(worker: _Worker, task: _Task, now: float) -> Iterator[ExecutionAction]:
    if worker.is_fenced or worker.is_superseded or now - task.sent_at < MESSAGE_RETRY_SECONDS:
        return
    task.sent_at = now
    assignment = task.assignment
    keeps_work = not assignment.is_cancelled
    yield StopTask(worker.name, assignment.task, assignment.token, keeps_work=keeps_work)


def _stopped_as_lost(task: _Task, fence: int) -> Stopped:
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
