"""Interface of the platform's append-only log."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a stream.

    :param offset: position in the stream, from 1; offsets increase, but not always by 1
    :param data: the appended bytes
    """

    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ReadResult:
    """Result of one read of a stream.

    :param records: records from the requested offset on, in order
    :param next_offset: offset that the next append would have got when the log answered
    :param earliest_offset: first offset that the log retains
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    earliest_offset: int


class LogError(Exception):
    """Raised when a call to the log fails.

    :param is_effect_unknown: whether an append may have taken effect despite the error
    """

    def __init__(self, message: str, *, is_effect_unknown: bool = False) -> None:
        super().__init__(message)
        self.is_effect_unknown = is_effect_unknown


class LogTrimmedError(LogError):
    """Raised when the requested offset is older than the retained records.

    :param earliest_offset: first offset that can still be read
    """

    def __init__(self, earliest_offset: int) -> None:
        super().__init__(f"records before offset {earliest_offset} are past retention")
        self.earliest_offset = earliest_offset


class Log(Protocol):
    """Append-only streams of records with offsets; see docs/design.md, section 3.1."""

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append the records consecutively and return the offset of the first one.

        :raises LogError: when the append fails; with ``is_effect_unknown`` when the answer was lost
        """
        ...

    async def read(
        self, stream: str, start: int, *, limit: int = 1000, wait_seconds: float = 0.0
    ) -> ReadResult:
        """Return records from offset ``start`` on; wait up to ``wait_seconds`` for the first one.

        :param limit: maximum number of records
        :raises LogTrimmedError: when ``start`` is older than the retained records
        :raises LogError: when the log can't be reached
        """
        ...
