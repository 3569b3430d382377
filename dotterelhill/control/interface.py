"""Interfaces of the platform that control processes use: stream store and minion calls."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

import msgspec

from dotterelhill.jobs.fleet import Minion, MinionReport
from dotterelhill.jobs.orders import PaceOrder, StartOrder, StartOutcome, StopOrder

# Bytes of the length of a key, which a record holds before its key.
KEY_LENGTH_BYTES = 1


class Stream(StrEnum):
    """Keyed streams of the store, which retains the newest record of each key.

    LEADERSHIP: claims and renewals. SUBMISSIONS: jobs and cancellations submitted by clients.
    PROGRESS: progress of jobs, written by the leader only. CONFIGURATION: written by operators.
    MINIONS: written by minions.
    """

    LEADERSHIP = "leadership"
    SUBMISSIONS = "submissions"
    PROGRESS = "progress"
    CONFIGURATION = "configuration"
    MINIONS = "minions"


@dataclass(frozen=True, slots=True)
class Record:
    """One record of a stream.

    :param value: encoded value; None when the key was removed
    """

    key: str
    value: bytes | None

    @property
    def content_bytes(self) -> int:
        """Return the size of the record as the store limits it."""
        return KEY_LENGTH_BYTES + len(self.key.encode()) + len(self.value or b"")


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Sizes that the store accepts.

    :param record_bytes: largest size of the key and the value of a record
    :param call_bytes: largest size of all records of one append
    """

    record_bytes: int = 262_144
    call_bytes: int = 2_097_152

    def value_bytes(self, key: str) -> int:
        """Return the largest size of the value of a record."""
        return self.record_bytes - KEY_LENGTH_BYTES - len(key.encode())


@dataclass(frozen=True, slots=True)
class Batch:
    """Consecutive records of a stream.

    :param next_offset: offset after the last record, from which to read on
    :param is_at_end: whether the batch reaches the end of the stream
    """

    records: tuple[Record, ...]
    next_offset: int
    is_at_end: bool = True


@dataclass(slots=True)
class PartialRead:
    """Pages of the newest records that were read so far, so that a failed read can be resumed.

    :param next_offset: offset from which to read on after the last page; None before the first page
    :param after: key after which the next page begins; empty for the first page
    """

    records: list[Record] = field(default_factory=list)
    next_offset: int | None = None
    after: str = ""


@dataclass(frozen=True, slots=True)
class Fence:
    """Fencing epoch and sequence number of one writer's append.

    :param writer: name that all epochs of the writer share
    :param epoch: once the store has accepted an append of this epoch, it refuses lower epochs
    :param sequence: number of the append within the epoch, from 0; a repeated append has no effect
    """

    writer: str
    epoch: int
    sequence: int


class StoreError(Exception):
    """Raised when a call to the store failed.

    :param is_effect_unknown: whether an append may have taken effect or may still do so
    """

    def __init__(self, message: str, *, is_effect_unknown: bool = False) -> None:
        super().__init__(message)
        self.is_effect_unknown = is_effect_unknown


class StoreRefusedError(StoreError):
    """Raised when the store will never accept an append, whenever it is repeated."""


class StoreConflictError(StoreError):
    """Raised when the partition does not end at the offset that the append requires."""


class StoreFencedError(StoreError):
    """Raised when a writer with a higher epoch has appended."""


class StoreSequenceError(StoreError):
    """Raised when an append is out of sequence.

    :param expected: sequence number that the store expects
    """

    def __init__(self, expected: int) -> None:
        super().__init__(f"the store expects sequence {expected}")
        self.expected = expected


class HistoryDroppedError(StoreError):
    """Raised when the requested offset is older than the retained history."""


class Store(Protocol):
    """Durable, partitioned streams of the platform."""

    def partitions(self, stream: Stream) -> int:
        """Return the number of partitions of a stream; a partition serializes its appends."""
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

        :param at: offset at which the partition must end; None for any
        :param fence: epoch and sequence number of the append; None for an unfenced append
        :raises StoreError: when the append fails; subclasses give the reason
        """
        ...

    async def newest(
        self, stream: Stream, partition: int = 0, partial: PartialRead | None = None
    ) -> Batch:
        """Return the newest record of each key and the offset from which to read on.

        :param partial: pages that an earlier attempt has read, to which this one adds
        :raises StoreError: when the store can't be reached
        """
        ...

    async def read(
        self, stream: Stream, start: int, wait_seconds: float, partition: int = 0
    ) -> Batch:
        """Return records from offset ``start`` on; wait up to ``wait_seconds`` for the first one.

        :raises HistoryDroppedError: when ``start`` is older than the retained history
        """
        ...


class MinionError(Exception):
    """Raised when a call to a minion got no usable answer."""


class RelayError(MinionError):
    """Raised when a call through a relay failed, which tells nothing about the minion itself."""


class MinionNotReachedError(MinionError):
    """Raised when a call certainly did not reach the minion."""


class RelayNotReachedError(RelayError, MinionNotReachedError):
    """Raised when a relay certainly did not send a call to the minion."""


class FencedByMinionError(MinionError):
    """Raised when a minion has carried out a call with a higher fencing token."""


class OtherIncarnationError(MinionError):
    """Raised when another incarnation answers at the minion's address."""


class MinionCall(msgspec.Struct, frozen=True):
    """One encoded call to a minion, which any process can send.

    Calls and answers are created for each poll and order, which a struct does in native code.

    :param address: ``host:port`` of the minion
    :param minion_id: incarnation that may carry out the call
    :param failure_domain: failure domain of the minion
    :param path: path of the call
    :param body: encoded body, without its prefix
    :param wait_seconds: time for which the minion may hold back its answer
    :param allowance_seconds: time for which an answer may wait unread in the calling process
    :param prefix: beginning of the body that is the same in many calls; empty for none
    """

    address: str
    minion_id: str
    failure_domain: str
    path: str
    body: bytes
    wait_seconds: float = 0.0
    allowance_seconds: float = 0.0
    prefix: bytes = b""


class MinionAnswer(msgspec.Struct, frozen=True):
    """Answer to one call, not decoded yet."""

    status: int
    body: bytes


class MinionCaller(Protocol):
    """Sends encoded calls to minions."""

    async def call(self, call: MinionCall) -> MinionAnswer:
        """Send a call and return the answer.

        :raises MinionNotReachedError: when the call certainly did not reach the minion
        :raises MinionError: when there is no answer, so that the effect is unknown
        """
        ...


class StartAnswer(msgspec.Struct, frozen=True):
    """Outcome of a start order.

    :param clock_ms: clock of the minion in ms; None without an answer
    """

    outcome: StartOutcome
    clock_ms: int | None = None


StartAnswerHandler = Callable[[StartAnswer | FencedByMinionError], None]
# Called with None when the minion has confirmed the order, and with the error otherwise.
OrderAnswerHandler = Callable[[MinionError | None], None]


class Minions(Protocol):
    """Client for calls to minions.

    Each call carries a fencing token: the epoch of the leader plus the fence of the minion.
    """

    def submit_start(
        self,
        order: StartOrder,
        token: int,
        deadline_ms: int,
        on_answer: StartAnswerHandler,
    ) -> bool:
        """Start a run through a relay, without a task that waits for the answer.

        :param deadline_ms: end of the lease on the minion's clock
        :param on_answer: called once with the outcome, or with the error when the minion has
            carried out a call with a higher token
        :returns: False when no relay takes the order, so that it has to be sent by ``start``
        """
        ...

    async def start(
        self, order: StartOrder, token: int, deadline_ms: int
    ) -> tuple[StartOutcome, int | None]:
        """Start a run.

        :param deadline_ms: end of the lease on the minion's clock
        :returns: outcome, and the minion's clock in ms if the minion answered
        :raises FencedByMinionError: when the minion has carried out a call with a higher token
        """
        ...

    def submit_order(
        self, order: StopOrder | PaceOrder, token: int, on_answer: OrderAnswerHandler
    ) -> bool:
        """Stop a run or set its pace through a relay, without a task that waits for the answer.

        :param on_answer: called once with the error, or None when the minion confirmed the order
        :returns: False when no relay takes the order, so that ``stop`` or ``set_pace`` has to
            send it
        """
        ...

    async def stop(self, order: StopOrder, token: int) -> None:
        """Stop a run.

        :raises MinionError: when the minion gave no usable answer
        """
        ...

    async def set_pace(self, order: PaceOrder, token: int) -> None:
        """Set the pace of a run.

        :raises MinionError: when the minion gave no usable answer
        """
        ...

    async def renew(
        self, minion: Minion, token: int, deadline_ms: int | None, wait_seconds: float
    ) -> MinionReport:
        """Renew the lease of all runs, acknowledge stored ends of runs, and return the report.

        :param deadline_ms: new end of the lease on the minion's clock; None to leave it
        :param wait_seconds: longest time to wait for a run to end
        :raises MinionError: when the minion gave no usable answer
        """
        ...
