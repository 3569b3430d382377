"""What the batch slice needs from the ledger and the log."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from dotterelhill.manifest import Resources


@dataclass(frozen=True, slots=True)
class WorkerFacts:
    """A worker as the ledger knows it.

    :param capacity: everything that it has
    :param is_fenced: whether its lease may not be renewed
    """

    name: str
    rack: str
    failure_domain: str
    capacity: Resources
    is_fenced: bool = False


@dataclass(frozen=True, slots=True)
class Assignment:
    """A task that the ledger places on a worker.

    :param token: offset of its ``Assign``, the fencing token
    :param checkpoint: checkpoint to resume from; empty for none
    :param resources: what the ledger reserves for it
    :param is_cancelled: whether its job is cancelled
    """

    task: str
    worker: str
    token: int
    attempt: int
    checkpoint: str
    resources: Resources
    run_seconds: float
    is_urgent: bool = False
    is_cancelled: bool = False


@dataclass(frozen=True, slots=True)
class PendingTask:
    """A task that waits for a worker.

    :param job: name of its job in the adopted manifest
    :param attempt: number of its next run, from 1
    """

    task: str
    job: str
    attempt: int = 1
    checkpoint: str = ""


class BatchLedger(Protocol):
    """Queries of the ledger that this slice uses."""

    @property
    def read_offset(self) -> int:
        """Return the offset of the newest record that was folded."""
        ...

    @property
    def evidence_at(self) -> float:
        """Return the loop time up to which every control record is known."""
        ...

    @property
    def workers(self) -> Mapping[str, WorkerFacts]:
        """Return the known workers by name."""
        ...

    @property
    def assignments(self) -> Mapping[str, Assignment]:
        """Return the current assignments by task."""
        ...

    def pending_tasks(self) -> Iterable[PendingTask]:
        """Return the pending tasks of jobs that are not cancelled, oldest job first."""
        ...


class Appender(Protocol):
    """Queue of records for the ``control`` stream."""

    def submit(self, record: bytes) -> object:
        """Queue a record; its verdict is read back from the ledger."""
        ...
