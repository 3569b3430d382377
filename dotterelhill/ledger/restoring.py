"""Reader of the newest snapshot, and a check whether the log still has the start of a stream."""

from __future__ import annotations

from dotterelhill.ledger.snapshot import SNAPSHOT_STREAM, SnapshotAssembler, SnapshotContent
from dotterelhill.log import Log, LogTrimmedError

# With chunks of at most 64 KB, one read takes at most 1 MB of memory.
CHUNKS_PER_READ = 16


class SnapshotReader:
    """Reader of the ``snapshots`` stream that reads each chunk only once.

    A process that waits for a newer snapshot polls every few seconds; reading the whole stream on
    each poll would load the network between regions.
    """

    def __init__(self, log: Log) -> None:
        self._log = log
        self._assembler = SnapshotAssembler()
        self._next_offset = 1

    async def newest(self) -> SnapshotContent | None:
        """Return the newest complete snapshot in the log; None for none.

        :raises LogError: if the log cannot be read; chunks that were read before are kept
        """
        while True:
            try:
                result = await self._log.read(
                    SNAPSHOT_STREAM, self._next_offset, limit=CHUNKS_PER_READ
                )
            except LogTrimmedError as error:
                self._next_offset = error.earliest_offset
                continue
            for record in result.records:
                self._assembler.add(record.data)
            if not result.records:
                return self._assembler.best
            self._next_offset = result.records[-1].offset + 1


async def is_beginning_trimmed(log: Log, stream: str) -> bool:
    """Return whether the log has deleted the first records of a stream.

    :raises LogError: if the log cannot be read
    """
    try:
        await log.read(stream, 1, limit=1)
    except LogTrimmedError:
        return True
    return False
