"""Reader that follows one stream of the log."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import mode

from dotterelhill.log.backoff import Backoff
from dotterelhill.log.interface import Log, LogError, LogRecord, LogTrimmedError, ReadResult

LONG_POLL_SECONDS = 1.0
MAX_READ_RECORDS = 1000


@dataclass(frozen=True, slots=True)
class TailRead:
    """Result of one successful read of a stream.

    :param records: records that follow those of the previous read
    :param evidence_at: loop time just before the read was sent; every record that was in the
        stream at that time has an offset below ``next_offset``
    :param next_offset: end of the stream when the log answered
    :param is_complete: whether all records below ``next_offset`` have now been delivered
    """

    records: tuple[LogRecord, ...]
    evidence_at: float
    next_offset: int
    is_complete: bool


class LogTail(mode.Service):
    """Service that follows one stream with long polls.

    The callbacks run on the event loop between two reads and must not block.

    :param start: offset of the first record to read
    :param on_read: called with each successful read, including one without records
    :param on_trimmed: called with the earliest retained offset when the next record to read is
        no longer retained; the tail then waits until :meth:`seek` is called
    :param spacing_seconds: minimum time between the starts of two reads
    """

    def __init__(
        self,
        log: Log,
        stream: str,
        start: int,
        *,
        on_read: Callable[[TailRead], None],
        on_trimmed: Callable[[int], None],
        spacing_seconds: float = 0.0,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__()
        self._log = log
        self._stream = stream
        self._position = start
        self._on_read = on_read
        self._on_trimmed = on_trimmed
        self._spacing_seconds = spacing_seconds
        self._backoff = Backoff(rng or random.Random())
        self._is_trimmed = False
        self._last_error = ""
        self._failures = 0

    @property
    def position(self) -> int:
        """Return the offset of the next record to read."""
        return self._position

    @property
    def is_trimmed(self) -> bool:
        """Return whether the next record to read is no longer retained."""
        return self._is_trimmed

    @property
    def last_error(self) -> str:
        """Return the error of the latest read; empty if it succeeded."""
        return self._last_error

    @property
    def failures(self) -> int:
        """Return the number of failed reads since the start."""
        return self._failures

    def seek(self, start: int) -> None:
        """Continue at another offset, for example after a snapshot of a peer was restored.

        The answer of a read in progress is discarded.
        """
        self._position = start
        self._is_trimmed = False

    @mode.Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            started_at = self.loop.time()
            if await self._try_read():
                self._backoff.reset()
                delay_seconds = started_at + self._spacing_seconds - self.loop.time()
            else:
                delay_seconds = self._backoff.next_seconds()
            if delay_seconds > 0:
                await self.sleep(delay_seconds)

    async def _try_read(self) -> bool:
        if self._is_trimmed:
            return False
        position = self._position
        # The first read after a failure doesn't wait for records, so that evidence is renewed soon.
        wait_seconds = 0.0 if self._last_error else LONG_POLL_SECONDS
        evidence_at = self.loop.time()
        try:
            result = await self._log.read(
                self._stream, position, limit=MAX_READ_RECORDS, wait_seconds=wait_seconds
            )
        except LogError as error:
            if position == self._position:
                self._record_failure(error)
            return False
        if position != self._position:
            return True
        if result.next_offset < position:
            # A log that lost its last records gives no evidence: its answer does not cover the
            # records that were already read.
            self._record_failure(LogError(f"stream ends at {result.next_offset} before {position}"))
            return False
        self._last_error = ""
        self._deliver(result, evidence_at)
        return True

    def _record_failure(self, error: LogError) -> None:
        self._failures += 1
        self._last_error = str(error)
        if isinstance(error, LogTrimmedError):
            self._is_trimmed = True
            self._on_trimmed(error.earliest_offset)

    def _deliver(self, result: ReadResult, evidence_at: float) -> None:
        if result.records:
            self._position = result.records[-1].offset + 1
        else:
            self._position = result.next_offset
        is_complete = self._position >= result.next_offset
        self._on_read(TailRead(result.records, evidence_at, result.next_offset, is_complete))
