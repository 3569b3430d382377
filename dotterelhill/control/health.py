"""Availability of the store, so that requests which can't be stored are refused immediately."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from dotterelhill.control.interface import (
    Batch,
    Fence,
    HistoryDroppedError,
    PartialRead,
    Record,
    Store,
    StoreConflictError,
    StoreError,
    StoreFencedError,
    StoreRefusedError,
    StoreSequenceError,
    Stream,
)
from dotterelhill.entry.logs import logger_of

# The store counts as unavailable after two failed calls and this time without an answer. Every
# process follows the configuration stream, so a call is always in progress.
UNAVAILABLE_SECONDS = 1.0
UNAVAILABLE_FAILURES = 2

_ANSWER_ERRORS = (
    StoreConflictError,
    StoreFencedError,
    StoreRefusedError,
    StoreSequenceError,
    HistoryDroppedError,
)

_log = logger_of("store")


class ObservedStore:
    """Store wrapper that derives the store's availability from the outcome of its calls.

    :param store: wrapped store
    :param clock: returns seconds
    """

    def __init__(self, store: Store, clock: Callable[[], float]) -> None:
        self._store = store
        self._clock = clock
        self._answered_at = clock()
        self._failures = 0
        self._was_unavailable = False

    @property
    def is_unavailable(self) -> bool:
        """Return whether the store counts as unavailable, so that new calls are likely to fail."""
        if self._failures < UNAVAILABLE_FAILURES:
            return False
        return self._clock() - self._answered_at > UNAVAILABLE_SECONDS

    def _record_answer(self) -> None:
        self._answered_at = self._clock()
        self._failures = 0
        if self._was_unavailable:
            self._was_unavailable = False
            _log.notice("store is available again")

    def _record_failure(self, error: StoreError) -> None:
        if isinstance(error, _ANSWER_ERRORS):
            self._record_answer()
            return
        self._failures += 1
        if self.is_unavailable and not self._was_unavailable:
            self._was_unavailable = True
            age = round(self._clock() - self._answered_at, 2)
            _log.warning(
                "store is unavailable", extra={"reason": str(error), "silent_seconds": age}
            )

    def partitions(self, stream: Stream) -> int:
        """Return the number of partitions of a stream."""
        return self._store.partitions(stream)

    async def append(
        self,
        stream: Stream,
        records: Sequence[Record],
        *,
        partition: int = 0,
        at: int | None = None,
        fence: Fence | None = None,
    ) -> int:
        """Append records; see :meth:`Store.append`."""
        try:
            end = await self._store.append(stream, records, partition=partition, at=at, fence=fence)
        except StoreError as error:
            self._record_failure(error)
            raise
        self._record_answer()
        return end

    async def newest(
        self, stream: Stream, partition: int = 0, partial: PartialRead | None = None
    ) -> Batch:
        """Return the newest record of each key; see :meth:`Store.newest`."""
        try:
            batch = await self._store.newest(stream, partition, partial)
        except StoreError as error:
            self._record_failure(error)
            raise
        self._record_answer()
        return batch

    async def read(
        self, stream: Stream, start: int, wait_seconds: float, partition: int = 0
    ) -> Batch:
        """Return records from an offset on; see :meth:`Store.read`."""
        try:
            batch = await self._store.read(stream, start, wait_seconds, partition)
        except StoreError as error:
            self._record_failure(error)
            raise
        self._record_answer()
        return batch
