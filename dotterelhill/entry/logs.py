"""Structured logging as JSON Lines on standard error.

Repeated events are counted as metrics; a line is written only for a change of state, see
docs/design.md, section 7.
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

# Keys that a caller's field must not overwrite; such a field gets a trailing underscore.
_RESERVED_FIELDS = frozenset({"time", "level", "channel", "message", "process", "exception"})

# Above the rate of decisions at the target size; a line takes about 50 us of processor time.
LINES_PER_SECOND = 1000.0


def _field_text(value: object) -> str:
    return str(value)


class JsonLinesFormatter:
    """Formatter that writes each log record as one JSON object on one line.

    :param process: name of this process, a field of every line
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
    """Rate-limited, non-blocking writer of lines to a file descriptor.

    A line that exceeds the rate, or that finds the buffer of the descriptor full, is dropped and
    counted; the next line that can be written is preceded by one that reports the count.

    :param descriptor: file descriptor, such as that of standard output; it is set to non-blocking
    :param lines_per_second: largest rate, and largest burst of lines
    :param clock: returns the time in seconds
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_second: float = LINES_PER_SECOND,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._descriptor = descriptor
        self._lines_per_second = lines_per_second
        self._clock = clock
        self._available_lines = lines_per_second
        self._refilled_at = clock()
        self._dropped_count = 0
        self._is_last_line_incomplete = False
        os.set_blocking(descriptor, False)

    @property
    def dropped_count(self) -> int:
        """Return the number of dropped lines that no line has reported yet."""
        return self._dropped_count

    def write(self, text: str) -> None:
        """Write one line, or drop and count it."""
        now = self._clock()
        self._available_lines = min(
            self._lines_per_second,
            self._available_lines + self._lines_per_second * (now - self._refilled_at),
        )
        self._refilled_at = now
        if self._available_lines < 1.0:
            self._dropped_count += 1
            return
        self._available_lines -= 1.0
        if self._dropped_count:
            text = f'{{"message":"log lines dropped","lines":{self._dropped_count}}}\n{text}'
        data = ("\n" if self._is_last_line_incomplete else "").encode() + text.encode()
        try:
            written = os.write(self._descriptor, data)
        except (BlockingIOError, BrokenPipeError):
            # A reader that stalls or has exited must not delay or end the process.
            self._dropped_count += 1
            return
        self._dropped_count = 0
        self._is_last_line_incomplete = written < len(data)

    def flush(self) -> None:
        """Do nothing; lines are not buffered here."""


def json_lines_handler(
    process: str, level: str, stream: TextIO | BoundedStream | None = None
) -> logbook.Handler:
    """Return a handler that writes records of ``level`` and above as JSON Lines.

    :param process: name of this process, a field of every line
    :param level: ``debug``, ``info``, ``notice``, ``warning`` or ``error``
    :param stream: standard error when None
    """
    handler = logbook.StreamHandler(stream or sys.stderr, level=level.upper())
    handler.formatter = JsonLinesFormatter(process)
    return handler


def start_logging(
    process: str, level: str, stream: TextIO | BoundedStream | None = None
) -> logbook.Handler:
    """Install and return a handler for all log records, including those of libraries.

    :param process: name of this process, a field of every line
    :param level: lowest level that is written
    :param stream: standard error when None
    """
    handler = json_lines_handler(process, level, stream)
    handler.push_application()
    root = logging.getLogger()
    root.handlers[:] = [RedirectLoggingHandler()]
    # Below this level, libraries log every connection.
    root.setLevel(logging.WARNING)
    return handler


def logger_of(slice_name: str) -> logbook.Logger:
    """Return the logger of a slice; structured fields are passed in ``extra``.

    For example ``logger_of("membership").notice("peer lost", extra={"peer": name})``.
    """
    return logbook.Logger(slice_name)
