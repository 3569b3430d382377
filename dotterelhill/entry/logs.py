"""Structured logging as JSON Lines on standard error.

Repeated events are counted as metrics; a line is written only for a change of state, see
docs/design.md, section 7.
"""

from __future__ import annotations

import asyncio
import atexit
import logging
import os
import sys
import time
from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from functools import cache
from typing import Any, TextIO

import logbook
import msgspec
from logbook.compat import RedirectLoggingHandler

# Keys that a caller's field must not overwrite; such a field gets a trailing underscore.
_RESERVED_FIELDS = frozenset({"time", "level", "channel", "message", "process", "exception"})

# Above the rate of decisions at the target size.
LINES_PER_SECOND = 1000.0
# Lines that are written within this time share one system call.
FLUSH_SECONDS = 0.05
# A line that has waited for this time is written with the next one, however late the event loop is.
MAX_FLUSH_SECONDS = 0.1
FLUSH_BYTES = 1 << 14
# Default capacity of a pipe on Linux.
MAX_BUFFERED_BYTES = 1 << 16


def _field_text(value: object) -> str:
    return str(value)


@cache
def _level_text(level: int) -> str:
    name: str = logbook.get_level_name(level)
    return name.lower()


_ENCODER = msgspec.json.Encoder(enc_hook=_field_text)


class _TimeText:
    """Present time in UTC as ISO 8601 text with milliseconds."""

    def __init__(self) -> None:
        self._unix_ms = -1
        self._text = ""
        self._second = -1
        self._second_text = ""

    def now(self) -> str:
        """Return the present time."""
        unix_ms = time.time_ns() // 1_000_000
        if unix_ms == self._unix_ms:
            return self._text
        self._unix_ms = unix_ms
        second, milliseconds = divmod(unix_ms, 1000)
        if second != self._second:
            self._second = second
            moment = datetime.fromtimestamp(second, UTC).replace(tzinfo=None)
            self._second_text = moment.isoformat(timespec="seconds")
        self._text = f"{self._second_text}.{milliseconds:03d}"
        return self._text


class BoundedStream:
    """Rate-limited, non-blocking writer of lines to a file descriptor.

    Lines are buffered for up to ``FLUSH_SECONDS`` while an event loop runs. A line that exceeds the
    rate, or that finds the buffer full because the reader stalls, is dropped and counted; the next
    line that can be written is preceded by one that reports the count.

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
        self._buffer = bytearray()
        self._buffered_at = clock()
        # Event loop with a timer that will flush the buffer; None without one.
        self._flushing_loop: asyncio.AbstractEventLoop | None = None
        os.set_blocking(descriptor, False)

    @property
    def dropped_count(self) -> int:
        """Return the number of dropped lines that no line has reported yet."""
        return self._dropped_count

    def write(self, line: bytes) -> None:
        """Buffer one line, or drop and count it.

        :param line: line with its end
        """
        now = self._clock()
        self._available_lines = min(
            self._lines_per_second,
            self._available_lines + self._lines_per_second * (now - self._refilled_at),
        )
        self._refilled_at = now
        if self._available_lines < 1.0 or len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self._dropped_count += 1
            return
        self._available_lines -= 1.0
        if not self._buffer:
            self._buffered_at = now
        if self._dropped_count:
            self._buffer += b'{"message":"log lines dropped","lines":%d}\n' % self._dropped_count
            self._dropped_count = 0
        self._buffer += line
        is_late = now - self._buffered_at >= MAX_FLUSH_SECONDS
        if is_late or len(self._buffer) >= FLUSH_BYTES:
            self.flush()
        elif self._flushing_loop is None:
            self._flush_soon()

    def flush(self) -> None:
        """Write the buffered lines as far as the descriptor takes them."""
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            # A reader that stalls must not delay the process.
            written = 0
        except OSError:
            # A reader that has exited, or a full disk, must not end the process.
            self._dropped_count += self._buffer.count(b"\n")
            self._buffer.clear()
            return
        del self._buffer[:written]
        if self._buffer:
            self._buffered_at = self._clock()
            self._flush_soon(is_retry=True)

    def _flush_soon(self, *, is_retry: bool = False) -> None:
        """Let the running event loop flush the buffer; without one, flush it now.

        :param is_retry: whether the descriptor has just refused to take more
        """
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            if not is_retry:
                self.flush()
            return
        # A line that is written at once needs no second timer: each of them would begin another
        # one for as long as the reader stalls. A loop that is closed leaves the flush to the next
        # line after MAX_FLUSH_SECONDS.
        if self._flushing_loop is not loop:
            self._flushing_loop = loop
            loop.call_later(FLUSH_SECONDS, self._flush_now, loop)

    def _flush_now(self, loop: asyncio.AbstractEventLoop) -> None:
        """Write the buffered lines when the timer of a loop is due."""
        if self._flushing_loop is loop:
            self._flushing_loop = None
        self.flush()


class JsonLinesHandler(logbook.Handler):
    """Handler that writes each log record as one JSON object on one line.

    :param process: name of this process, a field of every line
    :param level: lowest level that is written
    :param stream: destination of the lines
    """

    def __init__(self, process: str, level: str, stream: TextIO | BoundedStream) -> None:
        super().__init__(level)
        self._process = process
        self._stream = stream
        self._time_text = _TimeText()

    def emit(self, record: logbook.LogRecord) -> None:
        """Write the line of one record."""
        exception = record.formatted_exception if record.exc_info else None
        self.write_line(record.level, record.channel, record.message, record.extra, exception)

    def write_line(
        self,
        level: int,
        channel: str | None,
        message: str,
        fields: Mapping[str, object] | None = None,
        exception: str | None = None,
    ) -> None:
        """Write one line.

        :param fields: further fields of the line
        :param exception: traceback; None without one
        """
        line: dict[str, object] = {
            "time": self._time_text.now(),
            "level": _level_text(level),
            "channel": channel,
            "message": message,
            "process": self._process,
        }
        if fields:
            if _RESERVED_FIELDS.isdisjoint(fields):
                line.update(fields)
            else:
                for name, value in fields.items():
                    line[f"{name}_" if name in _RESERVED_FIELDS else name] = value
        if exception is not None:
            line["exception"] = exception
        data = _ENCODER.encode(line) + b"\n"
        if isinstance(self._stream, BoundedStream):
            self._stream.write(data)
            # Lines of these levels are rare, and may be the last ones of a process that crashes.
            if level >= logbook.NOTICE:
                self._stream.flush()
            return
        self._stream.write(data.decode())
        self._stream.flush()

    def flush(self) -> None:
        """Write what the stream has buffered."""
        self._stream.flush()


class _Logger(logbook.Logger):
    """Logger that passes lines to :class:`JsonLinesHandler` without a record.

    A record costs several times the processor time of its line.
    """

    def info(self, *args: Any, **kwargs: Any) -> None:
        """Log a line; unlike in the base class, loggers have no level of their own."""
        self._log(logbook.INFO, args, kwargs)

    def _log(self, level: int, args: tuple[Any, ...], kwargs: dict[str, Any]) -> None:
        extra = kwargs.get("extra")
        is_plain = len(args) == 1 and len(kwargs) == (extra is not None)
        if is_plain and not self.handlers:
            handler = next(iter(logbook.Handler.stack_manager.iter_context_objects()), None)
            if isinstance(handler, JsonLinesHandler) and level >= handler.level:
                try:
                    handler.write_line(level, self.name, args[0], extra)
                except Exception:
                    # A handler reports its errors with the record and never raises them.
                    super()._log(level, args, kwargs)
                return
        super()._log(level, args, kwargs)


def json_lines_handler(
    process: str, level: str, stream: TextIO | BoundedStream | None = None
) -> logbook.Handler:
    """Return a handler that writes records of ``level`` and above as JSON Lines.

    :param process: name of this process, a field of every line
    :param level: ``debug``, ``info``, ``notice``, ``warning`` or ``error``
    :param stream: standard error when None
    """
    return JsonLinesHandler(process, level.upper(), stream or sys.stderr)


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
    if isinstance(stream, BoundedStream):
        atexit.register(stream.flush)
    root = logging.getLogger()
    root.handlers[:] = [RedirectLoggingHandler()]
    # Below this level, libraries log every connection.
    root.setLevel(logging.WARNING)
    return handler


def logger_of(slice_name: str) -> logbook.Logger:
    """Return the logger of a slice; structured fields are passed in ``extra``.

    For example ``logger_of("membership").notice("peer lost", extra={"peer": name})``.
    """
    return _Logger(slice_name)
