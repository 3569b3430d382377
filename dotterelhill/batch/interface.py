"""What the batch slice needs from the ledger and the log."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from dotterelhill.ledger import Ledger
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


class LedgerView(Protocol):
    """The ledger and how fresh it is."""

    @property
    def ledger(self) -> Ledger:
        """Return the fold of the ``control`` stream."""
        ...

    @property
    def evidence_at(self) -> float:
        """Return the loop time up to which every control record is known."""
        ...


class Appender(Protocol):
    """Queue of records for the ``control`` stream."""

    def submit(self, data: bytes, *, not_after: float = float("inf")) -> None:
        """Queue a record; its verdict is read back from the ledger.

        :param not_after: loop time after which the record is not sent any more
        """
        ...
