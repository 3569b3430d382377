"""Batched appends to one stream of the log."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from dataclasses import dataclass

import mode

from dotterelhill.log.backoff import Backoff
from dotterelhill.log.interface import Log, LogError

MAX_BATCH_RECORDS = 500
MAX_QUEUED_RECORDS = 5000


class AppendQueueFullError(Exception):
    """Raised when the queue of an appender is full; the record is not queued.

    :param stream: name of the stream
    :param limit: capacity of the queue in records
    """

    def __init__(self, stream: str, limit: int) -> None:
        super().__init__(f"queue for stream {stream!r} is full: {limit} records wait for the log")
        self.limit = limit


@dataclass(frozen=True, slots=True)
class _Entry:
    data: bytes
    not_after: float


class BatchedAppender(mode.Service):
    """Service that appends records in batches, with at most one append in flight.

    A batch whose effect is unknown is appended again, so a record may occur in the stream more
    than once, and a repetition may follow a later record. Readers must therefore be able to
    detect repeated records of every kind, and process them without effect.

    :param spacing_seconds: minimum time between the starts of two appends
    :param queue_records: maximum number of pending records, including the batch in flight
    """

    def __init__(
        self,
        log: Log,
        stream: str,
        *,
        spacing_seconds: float,
        queue_records: int = MAX_QUEUED_RECORDS,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__()
        self._log = log
        self._stream = stream
        self._spacing_seconds = spacing_seconds
        self._queue_records = queue_records
        self._backoff = Backoff(rng or random.Random())
        self._queue: deque[_Entry] = deque()
        self._batch: list[_Entry] = []
        self._records_queued = asyncio.Event()
        self._all_appended = asyncio.Event()
        self._all_appended.set()
        self._last_error = ""
        self._counts = {"appended": 0, "repeated_batches": 0, "expired": 0}

    @property
    def pending(self) -> int:
        """Return the number of records that are queued or whose append may still take effect."""
        return len(self._queue) + len(self._batch)

    @property
    def last_error(self) -> str:
        """Return the error of the latest append; empty if it succeeded."""
        return self._last_error

    @property
    def counts(self) -> dict[str, int]:
        """Return the counters since the start: appended, repeated_batches, expired."""
        return dict(self._counts)

    def submit(self, data: bytes, *, not_after: float = float("inf")) -> None:
        """Queue a record.

        :param not_after: loop time after which the record is no longer sent; if an earlier append
            of it had an unknown effect, the stream may still contain it
        :raises AppendQueueFullError: when too many records are pending
        """
        if self.pending >= self._queue_records:
            raise AppendQueueFullError(self._stream, self._queue_records)
        self._queue.append(_Entry(data, not_after))
        self._records_queued.set()
        self._all_appended.clear()

    async def drain(self, timeout_seconds: float) -> bool:
        """Wait until every record is appended; return False after ``timeout_seconds``."""
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._all_appended.wait()
        except TimeoutError:
            return False
        return True

    @mode.Service.task
    async def _append_batches(self) -> None:
        while not self.should_stop:
            await self._records_queued.wait()
            self._fill_batch()
            if not self._batch:
                self._records_queued.clear()
                self._update_all_appended()
                continue
            started_at = self.loop.time()
            if await self._try_append():
                delay_seconds = started_at + self._spacing_seconds - self.loop.time()
            else:
                delay_seconds = self._backoff.next_seconds()
            if delay_seconds > 0:
                await self.sleep(delay_seconds)

    def _fill_batch(self) -> None:
        now = self.loop.time()
        if self._batch:
            # A repeated batch consists of its own unexpired records, without newer ones.
            unexpired = [entry for entry in self._batch if entry.not_after >= now]
            self._counts["expired"] += len(self._batch) - len(unexpired)
            self._batch = unexpired
        while not self._batch and self._queue:
            self._batch = self._next_entries(now)

    def _next_entries(self, now: float) -> list[_Entry]:
        dequeued = [self._queue.popleft() for _ in range(min(len(self._queue), MAX_BATCH_RECORDS))]
        entries = [entry for entry in dequeued if entry.not_after >= now]
        self._counts["expired"] += len(dequeued) - len(entries)
        return entries

    async def _try_append(self) -> bool:
        try:
            await self._log.append(self._stream, [entry.data for entry in self._batch])
        except LogError as error:
            self._last_error = str(error)
            self._counts["repeated_batches"] += error.is_effect_unknown
            return False
        self._counts["appended"] += len(self._batch)
        self._batch = []
        self._last_error = ""
        self._backoff.reset()
        self._update_all_appended()
        return True

    def _update_all_appended(self) -> None:
        if not self.pending:
            self._all_appended.set()
