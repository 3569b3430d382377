"""Log lines with structured fields, as JSON Lines on standard error.

Counters come first; a line is written only for a change of state, see docs/design.md, section 7.
"""

from __future__ import annotations

import logging
import sys
from typing import TextIO

import logbook
import msgspec
from logbook.compat import RedirectLoggingHandler

# Keys of a line that a field of the caller must not replace.
_RESERVED_FIELDS = frozenset({"time", "level", "channel", "message", "process", "exception"})


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


def json_lines_handler(process: str, level: str, stream: TextIO | None = None) -> logbook.Handler:
    """Return a handler that writes records of ``level`` and above.

    :param process: name of this entry process
    :param level: ``debug``, ``info``, ``notice``, ``warning`` or ``error``
    :param stream: standard error when None
    """
    handler = logbook.StreamHandler(stream or sys.stderr, level=level.upper())
    handler.formatter = JsonLinesFormatter(process)
    return handler


def start_logging(process: str, level: str, stream: TextIO | None = None) -> logbook.Handler:
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
