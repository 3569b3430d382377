"""Interfaces of the ledger and the log that the batch package uses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from dotterelhill.ledger import Ledger
from dotterelhill.manifest import Resources


@dataclass(frozen=True, slots=True)
class WorkerFacts:
    """The ledger's entry of a worker.

    :param capacity: total resources of the worker
    :param is_fenced: whether renewals of its lease are forbidden
    """

    name: str
    rack: str
    failure_domain: str
    capacity: Resources
    is_fenced: bool = False


@dataclass(frozen=True, slots=True)
class Assignment:
    """A task that the ledger assigns to a worker.

    :param token: offset of its ``Assign`` record, used as the fencing token
    :param attempt: number of the run, from 1
    :param checkpoint: encoded resume point; empty for none
    :param resources: amounts that the ledger reserves for the task
    :param run_seconds: run time declared by the job, in seconds
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
    :param checkpoint: encoded resume point; empty for none
    """

    task: str
    job: str
    attempt: int = 1
    checkpoint: str = ""


class LedgerView(Protocol):
    """The ledger and the age of its state."""

    @property
    def ledger(self) -> Ledger:
        """Return the ledger folded from the ``control`` stream."""
        ...

    @property
    def evidence_at(self) -> float:
        """Return the loop time up to which every control record is known."""
        ...


class Appender(Protocol):
    """Queue of records for the ``control`` stream."""

    def submit(self, data: bytes, *, not_after: float = float("inf")) -> None:
        """Queue a record for the log; the ledger shows its verdict after it was read back.

        :param not_after: loop time in seconds after which the record is no longer sent
        :raises AppendQueueFullError: if the queue is full
        """
        ...
