"""Client of the platform's append-only log."""

from dotterelhill.log.appender import AppendQueueFullError, BatchedAppender
from dotterelhill.log.http import HttpLog
from dotterelhill.log.interface import Log, LogError, LogRecord, LogTrimmedError, ReadResult
from dotterelhill.log.tail import LogTail, TailRead

__all__ = [
    "AppendQueueFullError",
    "BatchedAppender",
    "HttpLog",
    "Log",
    "LogError",
    "LogRecord",
    "LogTail",
    "LogTrimmedError",
    "ReadResult",
    "TailRead",
]
