"""Writes snapshots of the ledger to the log."""

from __future__ import annotations

import asyncio
import random

import logbook
import mode

from dotterelhill.ledger.feed import ControlFeed
from dotterelhill.ledger.snapshot import SNAPSHOT_STREAM, snapshot_chunks
from dotterelhill.log import Log, LogError
from dotterelhill.log.backoff import Backoff

SNAPSHOT_RECORDS = 20_000
# The relative jitter keeps two processes that are both the writer from writing together.
JITTER = 0.2
CHECK_SECONDS = 1.0

_logger = logbook.Logger("snapshots")


class SnapshotWriter(mode.Service):
    """Writer that is active while its process is the preferred scheduler.

    :param retention_seconds: how long the log keeps records; a snapshot is written at least every
        eighth of it, so that the newest one and the tail after it are always kept
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
        self._written = 0
        self._due_at = float("-inf")
        self._due_offset = 0.0

    @property
    def written(self) -> int:
        """Return the number of snapshots that were written."""
        return self._written

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
            if not self._is_due() or not await self._is_written():
                await self.sleep(CHECK_SECONDS)

    def _is_due(self) -> bool:
        offset = self._feed.ledger.read_offset
        return self.loop.time() >= self._due_at or offset >= self._due_offset

    def _set_due(self) -> None:
        factor = 1.0 - self._rng.uniform(0, JITTER)
        self._due_at = self.loop.time() + self._retention_seconds / 8 * factor
        self._due_offset = self._feed.ledger.read_offset + SNAPSHOT_RECORDS * factor

    async def _is_written(self) -> bool:
        data = self._feed.encoded_state()
        if data is None:
            return False
        chunks = snapshot_chunks(self._feed.ledger.read_offset, data)
        for chunk in chunks:
            while not await self._is_appended(chunk):
                if self.should_stop or not self._is_active:
                    return False
        self._written += 1
        self._set_due()
        _logger.info("snapshot written: bytes={} chunks={}", len(data), len(chunks))
        return True

    async def _is_appended(self, chunk: bytes) -> bool:
        # One chunk an append: a request stays small, and a repeated chunk changes nothing.
        try:
            await self._log.append(SNAPSHOT_STREAM, [chunk])
        except LogError:
            await self.sleep(self._backoff.next_seconds())
            return False
        self._backoff.reset()
        return True
