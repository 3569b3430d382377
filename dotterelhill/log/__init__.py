"""Access to the platform's append-only log."""

from dotterelhill.log.interface import Log, LogError, LogRecord, LogTrimmedError, ReadResult

__all__ = ["Log", "LogError", "LogRecord", "LogTrimmedError", "ReadResult"]
