"""Events and actions of :class:`~dotterelhill.batch.execution.Execution`.

A replay reads them from a trace by their class and field names.
"""

from __future__ import annotations

from dataclasses import dataclass

from dotterelhill.batch.interface import Assignment
from dotterelhill.ledger import ControlRecord
from dotterelhill.manifest import Resources


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic event at which messages and records that are due are sent."""


@dataclass(frozen=True, slots=True)
class EvidenceRead:
    """Evidence: up to when the streams of the log are known.

    :param read_offset: offset of the newest folded control record
    :param control_at: loop time up to which control records are known
    :param config_at: loop time up to which manifests are known
    :param domains_in: failure domains whose state is "in" in the newest manifest
    :param autonomy_seconds: autonomy time of the newest manifest, in seconds
    """

    read_offset: int
    control_at: float
    config_at: float
    domains_in: frozenset[str]
    autonomy_seconds: float


@dataclass(frozen=True, slots=True)
class WorkerHeld:
    """This process has begun to hold a worker, or the worker was fenced or unfenced.

    :param token: fencing token of this holding
    """

    worker: str
    failure_domain: str
    token: int
    is_fenced: bool


@dataclass(frozen=True, slots=True)
class WorkerUnheld:
    """This process no longer holds the worker."""

    worker: str


@dataclass(frozen=True, slots=True)
class AssignmentRead:
    """The ledger assigns a task to a held worker, or the job of an assigned task was cancelled."""

    assignment: Assignment


@dataclass(frozen=True, slots=True)
class AssignmentEnded:
    """The ledger no longer shows this token as the current one of the task."""

    worker: str
    task: str
    token: int


@dataclass(frozen=True, slots=True)
class StopWanted:
    """Request to move a task off its worker."""

    worker: str
    task: str
    token: int


@dataclass(frozen=True, slots=True)
class RunObserved:
    """State of one run as its worker reported it.

    :param state: running, finished, failed, stopped, refused or never_started
    :param done_seconds: work done, including that of the checkpoint it resumed from, in seconds
    """

    task: str
    token: int
    state: str
    done_seconds: float = 0.0
    checkpoint: str = ""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class ClockRead:
    """A worker answered a request for its clock.

    :param token: holder's token when the request was sent
    :param clock: the worker's monotonic clock in seconds
    :param received_at: loop time in seconds
    """

    worker: str
    token: int
    boot: str
    clock: float
    received_at: float


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """A worker accepted a lease renewal and reported its runs.

    :param clock: the worker's monotonic clock in seconds
    """

    worker: str
    token: int
    sent_at: float
    received_at: float
    boot: str
    clock: float
    runs: tuple[RunObserved, ...]


@dataclass(frozen=True, slots=True)
class LeaseRefused:
    """A worker refused a lease renewal.

    :param highest: highest holder token that the worker has seen
    """

    worker: str
    token: int
    received_at: float
    highest: int


@dataclass(frozen=True, slots=True)
class LeaseFailed:
    """A lease renewal got no usable answer; it may have taken effect."""

    worker: str
    token: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class RunAnswered:
    """A worker answered a start or a stop."""

    worker: str
    run: RunObserved


@dataclass(frozen=True, slots=True)
class RunUnanswered:
    """A start or stop got no usable answer; it may have taken effect."""

    worker: str
    task: str
    token: int


WorkerEvent = WorkerHeld | WorkerUnheld | ClockRead | LeaseRenewed | LeaseRefused | LeaseFailed
TaskEvent = AssignmentRead | AssignmentEnded | StopWanted | RunAnswered | RunUnanswered
ExecutionEvent = Tick | EvidenceRead | WorkerEvent | TaskEvent


@dataclass(frozen=True, slots=True)
class ReadClock:
    """Ask a worker for its clock, without an effect on the worker."""

    worker: str
    token: int


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renew a worker's lease.

    :param seconds: duration of the lease
    :param not_after: latest end of the lease, in seconds of the worker's clock
    """

    worker: str
    token: int
    seconds: float
    not_after: float
    boot: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start a task.

    :param not_after: time of the worker's clock in seconds after which it refuses the start
    """

    worker: str
    task: str
    token: int
    not_after: float
    boot: str
    resources: Resources
    run_seconds: float
    checkpoint: str


@dataclass(frozen=True, slots=True)
class StopTask:
    """Stop a task.

    :param keeps_work: whether the worker takes a checkpoint
    """

    worker: str
    task: str
    token: int
    keeps_work: bool


@dataclass(frozen=True, slots=True)
class ForgetTask:
    """Allow the worker to delete its record of an ended run."""

    worker: str
    task: str
    token: int


@dataclass(frozen=True, slots=True)
class Append:
    """Append a record to the ``control`` stream."""

    record: ControlRecord


ExecutionAction = ReadClock | RenewLease | StartTask | StopTask | ForgetTask | Append
