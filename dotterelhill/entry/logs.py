"""Log lines with structured fields, as JSON Lines on standard error.

Counters come first; a line is written only for a change of state, see docs/design.md, section 7.
"""

from __future__ import annotations

import logging
import os
import sys
import time
from collections.abc import Callable
from typing import TextIO

import logbook
import msgspec
from logbook.compat import RedirectLoggingHandler

# Keys of a line that a field of the caller must not replace.
_RESERVED_FIELDS = frozenset({"time", "level", "channel", "message", "process", "exception"})

# Above the rate of decisions at the target size; the processor time of a line is about 50 us.
LINES_PER_SECOND = 1000.0


def _field_text(value: object) -> str:
    return str(value)


class JsonLinesFormatter:
    """Formats one record as one JSON object on one line.

    :param process: name of this entry process in each line
    """

    def __init__(self, process: str) -> None:
        self._process = process

    def __call__(self, record: logbook.LogRecord, handler: logbook.Handler) -> str:
        """Return the line of one record."""
        line: dict[str, object] = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "channel": record.channel,
            "message": record.message,
            "process": self._process,
        }
        for name, value in record.extra.items():
            line[f"{name}_" if name in _RESERVED_FIELDS else name] = value
        if record.exc_info:
            line["exception"] = record.formatted_exception
        return msgspec.json.encode(line, enc_hook=_field_text).decode()


class BoundedStream:
    """Writes lines to a file descriptor without ever waiting for its reader.

    Lines beyond the rate and lines that the reader leaves no room for are dropped and counted; the
    count goes out with the next line that fits.

    :param descriptor: such as that of standard output
    :param clock: seconds
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_second: float = LINES_PER_SECOND,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._descriptor = descriptor
        self._rate = lines_per_second
        self._clock = clock
        self._allowed = lines_per_second
        self._filled_at = clock()
        self._dropped = 0
        self._is_line_cut = False
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Return the number of dropped lines that no line has told of yet."""
        return self._dropped

    def write(self, text: str) -> None:
        """Write one line, or drop it."""
        now = self._clock()
        self._allowed = min(self._rate, self._allowed + self._rate * (now - self._filled_at))
        self._filled_at = now
        if self._allowed < 1.0:
            self._dropped += 1
            return
        self._allowed -= 1.0
        if self._dropped:
            text = f'{{"message":"log lines dropped","lines":{self._dropped}}}\n{text}'
        data = ("\n" if self._is_line_cut else "").encode() + text.encode()
        try:
            written = os.write(self._descriptor, data)
        except (BlockingIOError, BrokenPipeError):
            # A log that can't be read must not end or delay the process.
            self._dropped += 1
            return
        self._dropped = 0
        self._is_line_cut = written < len(data)

    def flush(self) -> None:
        """Do nothing; lines are not buffered here."""


def json_lines_handler(
    process: str, level: str, stream: TextIO | BoundedStream | None = None
) -> logbook.Handler:
    """Return a handler that writes records of ``level`` and above.

    :param process: name of this entry process
    :param level: ``debug``, ``info``, ``notice``, ``warning`` or ``error``
    :param stream: standard error when None
    """
    handler = logbook.StreamHandler(stream or sys.stderr, level=level.upper())
    handler.formatter = JsonLinesFormatter(process)
    return handler


def start_logging(
    process: str, level: str, stream: TextIO | BoundedStream | None = None
) -> logbook.Handler:
    """Return the handler that now gets every record, also those of libraries.

    :param process: name of this entry process
    :param level: least level that is written
    :param stream: standard error when None
    """
    handler = json_lines_handler(process, level, stream)
    handler.push_application()
    root = logging.getLogger()
    root.handlers[:] = [RedirectLoggingHandler()]
    # Libraries log each connection at lower levels.
    root.setLevel(logging.WARNING)
    return handler


def logger_of(slice_name: str) -> logbook.Logger:
    """Return the logger of a slice; fields go in ``extra``.

    For example ``logger_of("membership").notice("peer lost", extra={"peer": name})``.
    """
    return logbook.Logger(slice_name)
