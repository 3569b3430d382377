"""The log: one list of records for each stream, and the adapter of one process."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from dotterelhill.log.interface import LogError, LogRecord, ReadResult
from explorer.calls import Call, Reply
from explorer.timeline import Timeline

LOG = "log"
APPEND_TIMEOUT_SECONDS = 5.0
READ_TIMEOUT_SECONDS = 4.0


class LogMode(StrEnum):
    """How the log behaves."""

    OK = "ok"
    DOWN = "down"
    SILENT = "silent"
    LOSE_ANSWERS = "lose_answers"


@dataclass(slots=True)
class _Poll:
    start: int
    reply: Reply
    is_answered: bool = False


@dataclass(slots=True)
class _Stream:
    records: list[LogRecord] = field(default_factory=list)
    polls: list[_Poll] = field(default_factory=list)

    def result(self, start: int, limit: int) -> ReadResult:
        records = tuple(self.records[max(0, start - 1) : max(0, start - 1) + limit])
        return ReadResult(records, len(self.records) + 1, 1)


class LogModel:
    """Streams of records with offsets from 1.

    :param on_append: told every appended record, at the moment when it takes its place
    """

    def __init__(self, timeline: Timeline, on_append: Callable[[str, LogRecord], None]) -> None:
        self._timeline = timeline
        self._on_append = on_append
        self._streams: dict[str, _Stream] = {}
        self.mode = LogMode.OK

    def records(self, stream: str) -> list[LogRecord]:
        """Return the records of a stream in their order."""
        return self._stream(stream).records

    def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append records next to each other and return the offset of the first."""
        known = self._stream(stream)
        first = len(known.records) + 1
        for data in records:
            record = LogRecord(len(known.records) + 1, data)
            known.records.append(record)
            self._on_append(stream, record)
        polls, known.polls = known.polls, []
        for poll in polls:
            self._answer(known, poll)
        return first

    def serve_append(self, stream: str, records: Sequence[bytes], reply: Reply) -> None:
        """Answer an append that has arrived."""
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

    def serve_read(self, stream: str, start: int, limit: int, wait: float, reply: Reply) -> None:
        """Answer a read that has arrived, or keep it until there is a record."""
        if self.mode in (LogMode.DOWN, LogMode.LOSE_ANSWERS):
            reply(None, LogError("the log can't be read"))
            return
        if self.mode is LogMode.SILENT:
            return
        known = self._stream(stream)
        if wait <= 0 or start <= len(known.records):
            reply(known.result(start, limit), None)
            return
        poll = _Poll(start, reply)
        known.polls.append(poll)
        self._timeline.after(wait, lambda: self._answer(known, poll))

    def _answer(self, stream: _Stream, poll: _Poll) -> None:
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
    """Implements ``Log`` for the services of one process."""

    def __init__(self, model: LogModel) -> None:
        self._model = model

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append records and return the first offset."""
        kept = tuple(records)
        first: int = await Call(
            f"append {stream}",
            LOG,
            lambda reply: self._model.serve_append(stream, kept, reply),
            APPEND_TIMEOUT_SECONDS,
            lambda: LogError("no answer", is_effect_unknown=True),
        )
        return first

    async def read(
        self, stream: str, start: int, *, limit: int = 1000, wait_seconds: float = 0.0
    ) -> ReadResult:
        """Return records from ``start`` on."""
        result: ReadResult = await Call(
            f"read {stream}",
            LOG,
            lambda reply: self._model.serve_read(stream, start, limit, wait_seconds, reply),
            READ_TIMEOUT_SECONDS,
            lambda: LogError("no answer"),
        )
        return result
