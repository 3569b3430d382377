"""Follows one stream of the log from an offset on."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import mode

from dotterelhill.log.backoff import Backoff
from dotterelhill.log.interface import Log, LogError, LogRecord, LogTrimmedError, ReadResult

LONG_POLL_SECONDS = 1.0
READ_RECORDS = 1000


@dataclass(frozen=True, slots=True)
class TailRead:
    """One successful read of a stream.

    :param records: records that follow those of the read before
    :param evidence_at: loop time before the read was sent; every record that was in the stream
        then has an offset below ``next_offset``
    :param next_offset: end of the stream when the log answered
    :param is_complete: whether all records below ``next_offset`` have now been delivered
    """

    records: tuple[LogRecord, ...]
    evidence_at: float
    next_offset: int
    is_complete: bool


class LogTail(mode.Service):
    """Reader of one stream with long polls.

    The callbacks run on the loop between two reads and must not block.

    :param start: offset of the first wanted record
    :param on_read: called with each successful read, also with one that brought no record
    :param on_trimmed: called with the earliest offset that is kept when the wanted one is past
        retention; the tail waits until :meth:`seek` is called
    :param spacing_seconds: least time between the starts of two reads
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
        """Return the offset of the next wanted record."""
        return self._position

    @property
    def is_trimmed(self) -> bool:
        """Return whether the wanted record is past retention."""
        return self._is_trimmed

    @property
    def last_error(self) -> str:
        """Return the error of the newest read; empty when it succeeded."""
        return self._last_error

    @property
    def failures(self) -> int:
        """Return the number of failed reads since the start."""
        return self._failures

    def seek(self, start: int) -> None:
        """Go on at another offset, for example after a snapshot was taken from a peer.

        The answer of a read that is in progress is dropped.
        """
        self._position = start
        self._is_trimmed = False

    @mode.Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            started_at = self.loop.time()
            if await self._is_read():
                self._backoff.reset()
                rest = started_at + self._spacing_seconds - self.loop.time()
            else:
                rest = self._backoff.next_seconds()
            if rest > 0:
                await self.sleep(rest)

    async def _is_read(self) -> bool:
        if self._is_trimmed:
            return False
        position = self._position
        # The first read after a failure doesn't wait, to have evidence again as soon as possible.
        wait_seconds = 0.0 if self._last_error else LONG_POLL_SECONDS
        evidence_at = self.loop.time()
        try:
            result = await self._log.read(
                self._stream, position, limit=READ_RECORDS, wait_seconds=wait_seconds
            )
        except LogError as error:
            if position == self._position:
                self._note_failure(error)
            return False
        if position != self._position:
            return True
        if result.next_offset < position:
            # A log that lost its end gives no evidence: its answer doesn't cover what was read.
            self._note_failure(LogError(f"stream ends at {result.next_offset} before {position}"))
            return False
        self._last_error = ""
        self._deliver(result, evidence_at)
        return True

    def _note_failure(self, error: LogError) -> None:
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
