"""Service that writes snapshots of the ledger to the log."""

from __future__ import annotations

import asyncio
import random

import logbook
import mode

from dotterelhill.ledger.feed import ControlFeed
from dotterelhill.ledger.snapshot import SNAPSHOT_STREAM, snapshot_chunks
from dotterelhill.log import Log, LogError
from dotterelhill.log.backoff import Backoff

SNAPSHOT_INTERVAL_RECORDS = 20_000
# Relative jitter; keeps two processes that are both active from writing at the same time.
JITTER_FRACTION = 0.2
CHECK_SECONDS = 1.0

_logger = logbook.Logger("snapshots")


class SnapshotWriter(mode.Service):
    """Service that writes snapshots while its process is the preferred scheduler.

    :param retention_seconds: how long the log keeps records; a snapshot is written at least every
        eighth of it, so that the log always has the newest snapshot and the records after it
    """

    def __init__(
        self,
        log: Log,
        feed: ControlFeed,
        *,
        retention_seconds: float,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__()
        self._log = log
        self._feed = feed
        self._retention_seconds = retention_seconds
        self._rng = rng or random.Random()
        self._backoff = Backoff(self._rng)
        self._is_active = False
        self._activated = asyncio.Event()
        self._written_count = 0
        self._due_at = float("-inf")
        self._due_offset = 0.0

    @property
    def written_count(self) -> int:
        """Return the number of snapshots written by this process."""
        return self._written_count

    def set_active(self, is_active: bool) -> None:
        """Start or stop writing."""
        self._is_active = is_active
        if is_active:
            self._activated.set()
        else:
            self._activated.clear()

    @mode.Service.task
    async def _write_regularly(self) -> None:
        while not self.should_stop:
            await self._activated.wait()
            if not self._is_due() or not await self._write_snapshot():
                await self.sleep(CHECK_SECONDS)

    def _is_due(self) -> bool:
        offset = self._feed.ledger.read_offset
        return self.loop.time() >= self._due_at or offset >= self._due_offset

    def _set_due(self) -> None:
        jitter_factor = 1.0 - self._rng.uniform(0, JITTER_FRACTION)
        self._due_at = self.loop.time() + self._retention_seconds / 8 * jitter_factor
        self._due_offset = self._feed.ledger.read_offset + SNAPSHOT_INTERVAL_RECORDS * jitter_factor

    async def _write_snapshot(self) -> bool:
        data = self._feed.encoded_state()
        if data is None:
            return False
        chunks = snapshot_chunks(self._feed.ledger.read_offset, data)
        for chunk in chunks:
            while not await self._append_chunk(chunk):
                if self.should_stop or not self._is_active:
                    return False
        self._written_count += 1
        self._set_due()
        _logger.info("snapshot written: bytes={} chunks={}", len(data), len(chunks))
        return True

    async def _append_chunk(self, chunk: bytes) -> bool:
        # One chunk per append keeps requests small; a duplicate chunk has no effect.
        try:
            await self._log.append(SNAPSHOT_STREAM, [chunk])
        except LogError:
            await self.sleep(self._backoff.next_seconds())
            return False
        self._backoff.reset()
        return True
