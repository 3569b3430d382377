"""Model of the log, with one list of records for each stream, and its adapter for a process."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from dotterelhill.log.interface import LogError, LogRecord, ReadResult
from explorer.calls import Call, Reply
from explorer.timeline import Timeline

LOG_ENDPOINT = "log"
APPEND_TIMEOUT_SECONDS = 5.0
READ_TIMEOUT_SECONDS = 4.0


class LogMode(StrEnum):
    """Failure mode of the log.

    ``DOWN`` refuses requests and ``SILENT`` never answers them. ``LOSE_ANSWERS`` refuses reads, and
    appends records but reports an error with unknown effect.
    """

    OK = "ok"
    DOWN = "down"
    SILENT = "silent"
    LOSE_ANSWERS = "lose_answers"


@dataclass(slots=True)
class _Poll:
    """Read that waits for a record.

    :param start: offset of the first record that is read
    """

    start: int
    reply: Reply
    is_answered: bool = False


@dataclass(slots=True)
class _Stream:
    """Records of a stream and the reads that wait for more."""

    records: list[LogRecord] = field(default_factory=list)
    polls: list[_Poll] = field(default_factory=list)

    def result(self, start: int, limit: int) -> ReadResult:
        records = tuple(self.records[max(0, start - 1) : max(0, start - 1) + limit])
        return ReadResult(records, len(self.records) + 1, 1)


class LogModel:
    """Log with streams of records, whose offsets begin at 1.

    :param timeline: event queue in which the ends of waiting reads are scheduled
    :param on_append: called with the stream and the record for each record that is appended
    """

    def __init__(self, timeline: Timeline, on_append: Callable[[str, LogRecord], None]) -> None:
        self._timeline = timeline
        self._on_append = on_append
        self._streams: dict[str, _Stream] = {}
        self.mode = LogMode.OK

    def records(self, stream: str) -> list[LogRecord]:
        """Return the records of a stream in the order of their offsets."""
        return self._stream(stream).records

    def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append records at consecutive offsets and return the offset of the first."""
        stored_stream = self._stream(stream)
        first = len(stored_stream.records) + 1
        for data in records:
            record = LogRecord(len(stored_stream.records) + 1, data)
            stored_stream.records.append(record)
            self._on_append(stream, record)
        polls, stored_stream.polls = stored_stream.polls, []
        for poll in polls:
            self._answer_poll(stored_stream, poll)
        return first

    def serve_append(self, stream: str, records: Sequence[bytes], reply: Reply) -> None:
        """Process an append request, as the failure mode allows."""
        if self.mode is LogMode.DOWN:
            reply(None, LogError("the log refuses connections"))
            return
        if self.mode is LogMode.SILENT:
            return
        first = self.append(stream, records)
        if self.mode is LogMode.LOSE_ANSWERS:
            reply(None, LogError("the answer was lost", is_effect_unknown=True))
            return
        reply(first, None)

    def serve_read(
        self, stream: str, start: int, limit: int, wait_seconds: float, reply: Reply
    ) -> None:
        """Process a read request, as the failure mode allows.

        :param start: offset of the first record that is read
        :param limit: largest number of records in the answer
        :param wait_seconds: time in seconds for which the read waits if there is no record yet
        """
        if self.mode in (LogMode.DOWN, LogMode.LOSE_ANSWERS):
            reply(None, LogError("the log can't be read"))
            return
        if self.mode is LogMode.SILENT:
            return
        stored_stream = self._stream(stream)
        if wait_seconds <= 0 or start <= len(stored_stream.records):
            reply(stored_stream.result(start, limit), None)
            return
        poll = _Poll(start, reply)
        stored_stream.polls.append(poll)
        self._timeline.schedule(wait_seconds, lambda: self._answer_poll(stored_stream, poll))

    def _answer_poll(self, stream: _Stream, poll: _Poll) -> None:
        if poll.is_answered:
            return
        poll.is_answered = True
        if poll in stream.polls:
            stream.polls.remove(poll)
        if self.mode is LogMode.OK:
            poll.reply(stream.result(poll.start, 1000), None)

    def _stream(self, stream: str) -> _Stream:
        return self._streams.setdefault(stream, _Stream())


class LogAdapter:
    """Implementation of ``Log`` for the services of one process."""

    def __init__(self, model: LogModel) -> None:
        self._model = model

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append records and return the offset of the first.

        :raises LogError: if the log refuses the append, or no answer arrives in time
        """
        batch = tuple(records)
        first: int = await Call(
            f"append {stream}",
            LOG_ENDPOINT,
            lambda reply: self._model.serve_append(stream, batch, reply),
            APPEND_TIMEOUT_SECONDS,
            lambda: LogError("no answer", is_effect_unknown=True),
        )
        return first

    async def read(
        self, stream: str, start: int, *, limit: int = 1000, wait_seconds: float = 0.0
    ) -> ReadResult:
        """Return the records from offset ``start`` on.

        :raises LogError: if the log refuses the read, or no answer arrives in time
        """
        result: ReadResult = await Call(
            f"read {stream}",
            LOG_ENDPOINT,
            lambda reply: self._model.serve_read(stream, start, limit, wait_seconds, reply),
            READ_TIMEOUT_SECONDS,
            lambda: LogError("no answer"),
        )
        return result
