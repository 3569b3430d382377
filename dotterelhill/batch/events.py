"""Events and actions of the holder's decision code."""

from __future__ import annotations

from dataclasses import dataclass

from dotterelhill.batch.interface import Assignment
from dotterelhill.ledger import ControlRecord
from dotterelhill.manifest import Resources


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class EvidenceRead:
    """How far the streams are known.

    :param read_offset: newest folded control record
    :param control_at: loop time up to which control records are known
    :param config_at: loop time up to which manifests are known
    :param domains_in: failure domains that take part by the newest manifest
    """

    read_offset: int
    control_at: float
    config_at: float
    domains_in: frozenset[str]
    autonomy_seconds: float


@dataclass(frozen=True, slots=True)
class WorkerHeld:
    """This process holds a worker, or its fence has changed."""

    worker: str
    failure_domain: str
    token: int
    is_fenced: bool


@dataclass(frozen=True, slots=True)
class WorkerUnheld:
    """This process does not hold the worker any more."""

    worker: str


@dataclass(frozen=True, slots=True)
class AssignmentRead:
    """The ledger places a task on a held worker, or its job was cancelled."""

    assignment: Assignment


@dataclass(frozen=True, slots=True)
class AssignmentEnded:
    """The ledger does not show this token as the task's current one any more."""

    worker: str
    task: str
    token: int


@dataclass(frozen=True, slots=True)
class StopWanted:
    """A task shall be moved off its worker."""

    worker: str
    task: str
    token: int


@dataclass(frozen=True, slots=True)
class RunObserved:
    """State of one run at its worker."""

    task: str
    token: int
    state: str
    done_seconds: float = 0.0
    checkpoint: str = ""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class ClockRead:
    """A worker told its clock.

    :param token: holder's token when it asked
    """

    worker: str
    token: int
    boot: str
    clock: float
    received_at: float


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """A worker took the renewal and reported its runs."""

    worker: str
    token: int
    sent_at: float
    received_at: float
    boot: str
    clock: float
    runs: tuple[RunObserved, ...]


@dataclass(frozen=True, slots=True)
class LeaseRefused:
    """A worker refused the renewal.

    :param highest: highest holder token that it has seen
    """

    worker: str
    token: int
    received_at: float
    highest: int


@dataclass(frozen=True, slots=True)
class LeaseFailed:
    """A renewal got no usable answer; it may have taken effect."""

    worker: str
    token: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class RunAnswered:
    """A start or stop was answered."""

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
    """Ask a worker for its clock; changes nothing there."""

    worker: str
    token: int


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Extend a worker's lease.

    :param not_after: end of the lease at the latest, in the worker's clock
    """

    worker: str
    token: int
    seconds: float
    not_after: float
    boot: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start a task; the worker refuses it after ``not_after`` of its clock."""

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
    """Stop a task, with a checkpoint when its work is kept."""

    worker: str
    task: str
    token: int
    keeps_work: bool


@dataclass(frozen=True, slots=True)
class ForgetTask:
    """Let the worker drop an ended run."""

    worker: str
    task: str
    token: int


@dataclass(frozen=True, slots=True)
class Append:
    """Append a control record."""

    record: ControlRecord


ExecutionAction = ReadClock | RenewLease | StartTask | StopTask | ForgetTask | Append
