"""Reads the best snapshot and finds out whether the log still has a stream's beginning."""

from __future__ import annotations

from dotterelhill.ledger.snapshot import SNAPSHOT_STREAM, SnapshotAssembler, SnapshotContent
from dotterelhill.log import Log, LogTrimmedError

# One read of chunks of 64 KB takes at most 1 MB of memory.
CHUNKS_PER_READ = 16


class SnapshotReader:
    """Reader of ``snapshots`` that reads each chunk once, however often it is asked.

    A process that waits for a newer snapshot asks every few seconds; reading the whole stream each
    time would load the link between regions.
    """

    def __init__(self, log: Log) -> None:
        self._log = log
        self._assembler = SnapshotAssembler()
        self._start = 1

    async def newest(self) -> SnapshotContent | None:
        """Return the best snapshot in the log, or None when there is no complete one.

        :raises LogError: when the log can't be read; what was read before is kept
        """
        while True:
            try:
                result = await self._log.read(SNAPSHOT_STREAM, self._start, limit=CHUNKS_PER_READ)
            except LogTrimmedError as error:
                self._start = error.earliest_offset
                continue
            for record in result.records:
                self._assembler.add(record.data)
            if not result.records:
                return self._assembler.best
            self._start = result.records[-1].offset + 1


async def is_beginning_trimmed(log: Log, stream: str) -> bool:
    """Return whether the first records of a stream are past retention.

    :raises LogError: when the log can't be read
    """
    try:
        await log.read(stream, 1, limit=1)
    except LogTrimmedError:
        return True
    return False
