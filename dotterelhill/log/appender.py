"""Appends records to one stream in batches."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from dataclasses import dataclass

import mode

from dotterelhill.log.backoff import Backoff
from dotterelhill.log.interface import Log, LogError

LARGEST_BATCH_RECORDS = 500
QUEUE_RECORDS = 5000


class AppendQueueFullError(Exception):
    """The appender holds as many records as it may; the record was not taken.

    :param limit: number of records that the queue holds
    """

    def __init__(self, stream: str, limit: int) -> None:
        super().__init__(f"queue for stream {stream!r} is full: {limit} records wait for the log")
        self.limit = limit


@dataclass(frozen=True, slots=True)
class _Entry:
    data: bytes
    not_after: float


class BatchedAppender(mode.Service):
    """Appender with one append in flight.

    A batch whose effect is unknown is appended again, so a record may be in the stream more than
    once and also after a later one. Every record must therefore have a verdict that makes a repeat
    harmless.

    :param spacing_seconds: least time between the starts of two appends
    :param queue_records: most records that wait, those of the batch in flight included
    """

    def __init__(
        self,
        log: Log,
        stream: str,
        *,
        spacing_seconds: float,
        queue_records: int = QUEUE_RECORDS,
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
        self._submitted = asyncio.Event()
        self._drained = asyncio.Event()
        self._drained.set()
        self._last_error = ""
        self._counts = {"appended": 0, "repeated_batches": 0, "expired": 0}

    @property
    def pending(self) -> int:
        """Return the number of records that wait or may still take effect."""
        return len(self._queue) + len(self._batch)

    @property
    def last_error(self) -> str:
        """Return the error of the newest append; empty when it succeeded."""
        return self._last_error

    @property
    def counts(self) -> dict[str, int]:
        """Return counters since the start: appended, repeated_batches, expired."""
        return dict(self._counts)

    def submit(self, data: bytes, *, not_after: float = float("inf")) -> None:
        """Queue a record.

        :param not_after: loop time after which the record is not sent any more. One that was sent
            before with unknown effect may still be in the stream
        :raises AppendQueueFullError: when too many records wait
        """
        if self.pending >= self._queue_records:
            raise AppendQueueFullError(self._stream, self._queue_records)
        self._queue.append(_Entry(data, not_after))
        self._submitted.set()
        self._drained.clear()

    async def drain(self, timeout_seconds: float) -> bool:
        """Return whether every record was appended within ``timeout_seconds``."""
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._drained.wait()
        except TimeoutError:
            return False
        return True

    @mode.Service.task
    async def _append_batches(self) -> None:
        while not self.should_stop:
            await self._submitted.wait()
            self._fill_batch()
            if not self._batch:
                self._submitted.clear()
                self._note_drained()
                continue
            started_at = self.loop.time()
            if await self._is_appended():
                rest = started_at + self._spacing_seconds - self.loop.time()
            else:
                rest = self._backoff.next_seconds()
            if rest > 0:
                await self.sleep(rest)

    def _fill_batch(self) -> None:
        now = self.loop.time()
        if self._batch:
            # A batch that is sent again keeps its records together, without newer ones.
            kept = [entry for entry in self._batch if entry.not_after >= now]
            self._counts["expired"] += len(self._batch) - len(kept)
            self._batch = kept
        while not self._batch and self._queue:
            self._batch = self._next_entries(now)

    def _next_entries(self, now: float) -> list[_Entry]:
        taken = [self._queue.popleft() for _ in range(min(len(self._queue), LARGEST_BATCH_RECORDS))]
        entries = [entry for entry in taken if entry.not_after >= now]
        self._counts["expired"] += len(taken) - len(entries)
        return entries

    async def _is_appended(self) -> bool:
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
        self._note_drained()
        return True

    def _note_drained(self) -> None:
        if not self.pending:
            self._drained.set()
