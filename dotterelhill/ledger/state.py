"""State of the ledger: incarnations, holdings, workers, jobs and tasks.

Only the fold modifies classes that are not frozen; readers use their properties.
"""

from __future__ import annotations

from collections.abc import Mapping, Set
from dataclasses import dataclass, field
from enum import StrEnum

from dotterelhill.ledger.amounts import ZERO_AMOUNTS, Amounts, needed_amounts
from dotterelhill.ledger.records import StopOutcome
from dotterelhill.manifest.document import Job, Resources

WORKER_PREFIX = "worker:"
MINION_PREFIX = "minion:"


class EndReason(StrEnum):
    """Reason for the end of an incarnation."""

    LEFT = "left"
    REPLACED = "replaced"


@dataclass(frozen=True, slots=True)
class Incarnation:
    """An entry incarnation that has joined.

    :param joined_at: offset of its ``Join``
    """

    incarnation: str
    entry: str
    failure_domain: str
    joined_at: int


@dataclass(frozen=True, slots=True)
class Ended:
    """An entry incarnation that has left or was replaced.

    :param ended_at: offset of its ``Leave``, or of the ``Join`` of the incarnation that replaced it
    """

    incarnation: str
    reason: EndReason
    ended_at: int


@dataclass(frozen=True, slots=True)
class Holding:
    """Newest holding of a minion or worker.

    :param resource: ``minion:NAME`` or ``worker:NAME``
    :param holder: incarnation of the newest accepted ``Hold``; it may have ended since
    :param token: offset of that ``Hold``; the next ``Hold`` names it as ``previous``, also after a
        release
    :param is_released: whether the holder has released it, by ``Release`` or ``Leave``
    :param follows_release: whether the previous holding was released or did not exist
    :param previous_holder: holder of the previous holding; empty for none
    :param previous_token: token of the previous holding; 0 for none
    """

    resource: str
    holder: str
    token: int
    is_released: bool
    follows_release: bool
    previous_holder: str
    previous_token: int


class TaskState(StrEnum):
    """State of a task of a declared job."""

    PENDING = "pending"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Task:
    """State of one task in the ledger.

    :param index: index of the task within its job, from 0
    :param attempt: number of the run in progress, or of the next run
    :param checkpoint: checkpoint that this run resumes from; empty for none
    :param worker: worker of the run; empty when the task does not run
    :param token: fencing token of the run; 0 when the task does not run
    """

    task: str
    job: str
    index: int
    state: TaskState
    attempt: int
    checkpoint: str
    worker: str = ""
    token: int = 0


@dataclass(frozen=True, slots=True)
class Run:
    """A run in progress: an accepted assignment whose end is not recorded yet.

    :param job: key of the job, ``name@version-of-first-declaration``
    :param token: offset of the ``Assign``
    :param amounts: amounts that the run reserves; a later change of the job does not affect them
    """

    task: str
    job: str
    index: int
    worker: str
    token: int
    attempt: int
    checkpoint: str
    amounts: Amounts
    member: str
    team: str


@dataclass(slots=True)
class Worker:
    """A worker with its capacity, its reservations and its runs.

    :param amounts: capacity of the worker
    :param fence: token of the holding under which it was fenced; 0 when it is not fenced
    :param runs: runs on the worker, by task
    """

    name: str
    rack: str
    failure_domain: str
    amounts: Amounts
    reserved_amounts: Amounts = ZERO_AMOUNTS
    fence: int = 0
    runs: dict[str, Run] = field(default_factory=dict)

    @property
    def capacity(self) -> Resources:
        """Return the capacity of the worker."""
        return self.amounts.resources

    @property
    def reserved(self) -> Resources:
        """Return the resources that its runs reserve."""
        return self.reserved_amounts.resources

    @property
    def free_amounts(self) -> Amounts:
        """Return the unreserved amounts; negative after the capacity shrank below them."""
        return self.amounts.minus(self.reserved_amounts)

    @property
    def free(self) -> Resources:
        """Return the unreserved resources, at least 0."""
        free = self.free_amounts
        return Amounts(max(0, free[0]), max(0, free[1]), max(0, free[2])).resources

    @property
    def is_fenced(self) -> bool:
        """Return whether leases of the worker must not be renewed."""
        return self.fence != 0


class JobLedger:
    """Tasks of a job from its declaration until a manifest no longer declares it.

    :param declared_at: first manifest version since which every version declares the job
    """

    def __init__(self, name: str, declared_at: int, job: Job) -> None:
        self._name = name
        self._declared_at = declared_at
        self._key = f"{name}@{declared_at}"
        self._job = job
        self._amounts = needed_amounts(job.resources)
        self._is_declared = True
        self._pending = set(range(job.tasks))
        self._runs: dict[int, Run] = {}
        self._ended: dict[int, StopOutcome] = {}
        # Next attempt and checkpoint of tasks that were evicted or lost.
        self._resume_points: dict[int, tuple[int, str]] = {}

    @property
    def name(self) -> str:
        """Return the name of the job in the manifest."""
        return self._name

    @property
    def declared_at(self) -> int:
        """Return the manifest version that first declared the job."""
        return self._declared_at

    @property
    def key(self) -> str:
        """Return the key ``name@declared_at``, the part of a task's id before the slash."""
        return self._key

    @property
    def job(self) -> Job:
        """Return the newest declaration of the job."""
        return self._job

    @property
    def amounts(self) -> Amounts:
        """Return the amounts that a new run of a task reserves."""
        return self._amounts

    @property
    def is_declared(self) -> bool:
        """Return whether the adopted manifest declares the job."""
        return self._is_declared

    @property
    def is_open(self) -> bool:
        """Return whether pending tasks of the job may be assigned."""
        return self._is_declared and not self._job.cancelled

    @property
    def pending(self) -> Set[int]:
        """Return the indices of tasks that neither run nor have a final outcome."""
        return self._pending

    @property
    def runs(self) -> Mapping[int, Run]:
        """Return the runs by task index."""
        return self._runs

    @property
    def ended(self) -> Mapping[int, StopOutcome]:
        """Return the final outcomes of tasks, by index."""
        return self._ended

    @property
    def resume_points(self) -> Mapping[int, tuple[int, str]]:
        """Return next attempt and checkpoint of evicted or lost tasks, by index."""
        return self._resume_points

    def next_attempt(self, index: int) -> tuple[int, str]:
        """Return attempt number and checkpoint of the next run of a pending task."""
        return self._resume_points.get(index, (1, ""))

    def is_run_needed(self, index: int) -> bool:
        """Return whether the job still needs a run of this task."""
        return self.is_open and index < self._job.tasks

    def task(self, index: int) -> Task | None:
        """Return the task at an index; None if the job has no such task."""
        task = f"{self._key}/{index}"
        run = self._runs.get(index)
        if run is not None:
            state = TaskState.RUNNING
            return Task(
                task, self._key, index, state, run.attempt, run.checkpoint, run.worker, run.token
            )
        attempt, checkpoint = self.next_attempt(index)
        if index in self._ended:
            state = TaskState(self._ended[index].value)
            return Task(task, self._key, index, state, attempt, checkpoint)
        if index not in self._pending:
            return None
        return Task(task, self._key, index, TaskState.PENDING, attempt, checkpoint)

    def redeclare(self, job: Job) -> None:
        """Apply a newer declaration; final outcomes of tasks are kept."""
        is_resized = job.tasks != self._job.tasks
        self._job = job
        self._amounts = needed_amounts(job.resources)
        if is_resized:
            self._pending = set(range(job.tasks)) - self._runs.keys() - self._ended.keys()

    def withdraw(self) -> None:
        """Remove everything but the runs, after a manifest no longer declares the job."""
        self._is_declared = False
        self._pending = set()
        self._ended = {}
        self._resume_points = {}

    def start(self, run: Run) -> None:
        """Record the start of a run of a pending task."""
        self._pending.discard(run.index)
        self._resume_points.pop(run.index, None)
        self._runs[run.index] = run

    def stop(self, run: Run, outcome: StopOutcome, checkpoint: str) -> None:
        """Record the end of a run and its outcome."""
        del self._runs[run.index]
        if not self._is_declared:
            return
        if outcome in (StopOutcome.EVICTED, StopOutcome.LOST):
            self._resume_points[run.index] = (run.attempt + 1, checkpoint or run.checkpoint)
            if run.index < self._job.tasks:
                self._pending.add(run.index)
            return
        self._ended[run.index] = outcome

    def restore(
        self, ended: Mapping[int, StopOutcome], resume_points: Mapping[int, tuple[int, str]]
    ) -> None:
        """Restore outcomes and resumable tasks from a snapshot; call it before adding runs."""
        self._ended = dict(ended)
        self._resume_points = dict(resume_points)
        self._pending.difference_update(self._ended)


def parse_task_id(task: str) -> tuple[str, int] | None:
    """Return the job key and index in a task id; None if the id is malformed.

    >>> parse_task_id("register-sync@12/3")
    ('register-sync@12', 3)
    """
    key, slash, index = task.rpartition("/")
    if not slash or not index.isdecimal() or len(index) > 6:
        return None
    # Each task has exactly one id: "07" or non-ASCII digits would be a second id of a task.
    number = int(index)
    return (key, number) if str(number) == index else None
