"""Interface of the platform's append-only log."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a stream.

    :param offset: position in the stream, from 1, rising but not always by 1
    :param data: bytes as they were appended
    """

    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ReadResult:
    """Part of a stream.

    :param records: records from the wanted offset on, in order
    :param next_offset: offset that the next append would get when the log answered
    :param earliest_offset: first offset that is still kept
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    earliest_offset: int


class LogError(Exception):
    """The log could not be used.

    :param is_effect_unknown: whether an append may have taken effect all the same
    """

    def __init__(self, message: str, *, is_effect_unknown: bool = False) -> None:
        super().__init__(message)
        self.is_effect_unknown = is_effect_unknown


class LogTrimmedError(LogError):
    """The wanted offset is older than what the log keeps.

    :param earliest_offset: first offset that can still be read
    """

    def __init__(self, earliest_offset: int) -> None:
        super().__init__(f"records before offset {earliest_offset} are past retention")
        self.earliest_offset = earliest_offset


class Log(Protocol):
    """Append-only streams with offsets; see docs/design.md, section 3.1."""

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append the records next to each other and return the offset of the first.

        :raises LogError: with ``is_effect_unknown`` when the answer was lost
        """
        ...

    async def read(
        self, stream: str, start: int, *, limit: int = 1000, wait_seconds: float = 0.0
    ) -> ReadResult:
        """Return records from offset ``start`` on; wait for one up to ``wait_seconds``.

        :raises LogTrimmedError: when ``start`` is past retention
        :raises LogError: when the log can't be reached
        """
        ...
