"""What the control processes need of the platform: a store of streams and calls to minions."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from dotterelhill.jobs.fleet import Minion, MinionReport
from dotterelhill.jobs.orders import PaceOrder, StartOrder, StartOutcome, StopOrder


class Stream(StrEnum):
    """Streams of records by key; the store keeps the newest record of each key.

    LEADERSHIP: claims and renewals. SUBMISSIONS: jobs and cancellations as clients sent them.
    PROGRESS: progress of jobs, written by the leader only. CONFIGURATION and MINIONS are written
    by operators and minions.
    """

    LEADERSHIP = "leadership"
    SUBMISSIONS = "submissions"
    PROGRESS = "progress"
    CONFIGURATION = "configuration"
    MINIONS = "minions"


@dataclass(frozen=True, slots=True)
class Record:
    """One record of a stream.

    :param value: None when the key was removed
    """

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Batch:
    """Records of a stream in order, and the offset after the last one."""

    records: tuple[Record, ...]
    next_offset: int


@dataclass(frozen=True, slots=True)
class Fence:
    """Order of one writer's appends.

    :param epoch: appends of lower epochs are refused from the first append of this one on
    :param sequence: number of the append within the epoch, from 0; a repeat changes nothing
    """

    writer: str
    epoch: int
    sequence: int


class StoreError(Exception):
    """The store could not be used.

    :param is_effect_unknown: whether an append may have taken effect, or may do so later
    """

    def __init__(self, message: str, *, is_effect_unknown: bool = False) -> None:
        super().__init__(message)
        self.is_effect_unknown = is_effect_unknown


class StoreConflictError(StoreError):
    """The partition did not end where the append expected."""


class StoreFencedError(StoreError):
    """A writer of a higher epoch has appended."""


class StoreSequenceError(StoreError):
    """The append is not the next of its writer.

    :param expected: sequence number that the store expects
    """

    def __init__(self, expected: int) -> None:
        super().__init__(f"the store expects sequence {expected}")
        self.expected = expected


class HistoryDroppedError(StoreError):
    """The wanted offset is older than what the store keeps."""


class Store(Protocol):
    """Durable streams of the platform."""

    def partitions(self, stream: Stream) -> int:
        """Return the number of partitions of a stream; each takes one append at a time."""
        ...

    async def append(
        self,
        stream: Stream,
        records: Sequence[Record],
        *,
        partition: int = 0,
        at: int | None = None,
        fence: Fence | None = None,
    ) -> int:
        """Append all records or none and return the offset after them.

        :param at: offset at which the partition must end
        :raises StoreError: see the subclasses
        """
        ...

    async def newest(self, stream: Stream, partition: int = 0) -> Batch:
        """Return the newest record of each key, and the offset from which to read on."""
        ...

    async def read(
        self, stream: Stream, start: int, wait_seconds: float, partition: int = 0
    ) -> Batch:
        """Return records from offset ``start`` on; wait for one up to ``wait_seconds``.

        :raises HistoryDroppedError: when ``start`` is past retention
        """
        ...


class MinionError(Exception):
    """A call to a minion got no usable answer."""


class FencedByMinionError(MinionError):
    """A minion has seen the orders of a later leader."""


class OtherIncarnationError(MinionError):
    """Another incarnation answers at the minion's address."""


class Minions(Protocol):
    """Calls to minions."""

    async def start(
        self, order: StartOrder, epoch: int, deadline_ms: int
    ) -> tuple[StartOutcome, int | None]:
        """Return the outcome and the minion's clock in ms, if it answered.

        :param deadline_ms: end of the lease on the minion's clock
        :raises FencedByMinionError: when a later leader has sent orders
        """
        ...

    async def stop(self, order: StopOrder, epoch: int) -> None:
        """Stop a run.

        :raises MinionError: when there was no answer
        """
        ...

    async def set_pace(self, order: PaceOrder, epoch: int) -> None:
        """Set the pace of a run.

        :raises MinionError: when there was no answer
        """
        ...

    async def renew(
        self, minion: Minion, epoch: int, deadline_ms: int | None, wait_seconds: float
    ) -> MinionReport:
        """Extend the lease of all runs, acknowledge durable ends, and return the lists.

        :param wait_seconds: longest time to wait for an end
        :raises MinionError: when there was no answer
        """
        ...
