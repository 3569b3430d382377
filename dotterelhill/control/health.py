"""Whether the store answers this process, so that what can't be stored is refused at once."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from dotterelhill.control.interface import (
    Batch,
    Fence,
    HistoryDroppedError,
    Record,
    Store,
    StoreConflictError,
    StoreError,
    StoreFencedError,
    StoreSequenceError,
    Stream,
)
from dotterelhill.entry.logs import logger_of

# The store counts as away after two failed calls and this time without a success. Some call is
# always under way: every process follows the configuration.
AWAY_SECONDS = 1.0
AWAY_FAILURES = 2

_ANSWERS = (StoreConflictError, StoreFencedError, StoreSequenceError, HistoryDroppedError)

_log = logger_of("store")


class ObservedStore:
    """A store whose calls tell whether it can be used.

    :param clock: seconds
    """

    def __init__(self, store: Store, clock: Callable[[], float]) -> None:
        self._store = store
        self._clock = clock
        self._answered_at = clock()
        self._failures = 0
        self._was_away = False

    @property
    def is_away(self) -> bool:
        """Return whether a new call can be expected to fail."""
        if self._failures < AWAY_FAILURES:
            return False
        return self._clock() - self._answered_at > AWAY_SECONDS

    def _note_answer(self) -> None:
        self._answered_at = self._clock()
        self._failures = 0
        if self._was_away:
            self._was_away = False
            _log.notice("store is back")

    def _note_failure(self, error: StoreError) -> None:
        if isinstance(error, _ANSWERS):
            self._note_answer()
            return
        self._failures += 1
        if self.is_away and not self._was_away:
            self._was_away = True
            age = round(self._clock() - self._answered_at, 2)
            _log.warning("store is away", extra={"reason": str(error), "silent_seconds": age})

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
        """Append as the observed store does."""
        try:
            end = await self._store.append(stream, records, partition=partition, at=at, fence=fence)
        except StoreError as error:
            self._note_failure(error)
            raise
        self._note_answer()
        return end

    async def newest(self, stream: Stream, partition: int = 0) -> Batch:
        """Return the newest records as the observed store does."""
        try:
            batch = await self._store.newest(stream, partition)
        except StoreError as error:
            self._note_failure(error)
            raise
        self._note_answer()
        return batch

    async def read(
        self, stream: Stream, start: int, wait_seconds: float, partition: int = 0
    ) -> Batch:
        """Return records as the observed store does."""
        try:
            batch = await self._store.read(stream, start, wait_seconds, partition)
        except StoreError as error:
            self._note_failure(error)
            raise
        self._note_answer()
        return batch
