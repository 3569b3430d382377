"""Followers of store streams, and the feed of the fleet configuration."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Protocol

import mode

from dotterelhill.control.interface import (
    Batch,
    HistoryDroppedError,
    PartialRead,
    Record,
    Store,
    StoreError,
    Stream,
)
from dotterelhill.control.leadership import MAX_CLOCK_DRIFT
from dotterelhill.entry.logs import logger_of
from dotterelhill.jobs.fleet import MinionFacts
from dotterelhill.jobs.queues import FleetConfig

# Duration of a long poll. It is short, so that a connection that stops responding is detected soon.
FOLLOW_WAIT_SECONDS = 1.5
# Wait of the long poll of the configuration. Together with the time limit of an answer, the pause
# before the next attempt and that attempt on a slow store, a dead connection delays a new version
# by up to 1.0 + 1.2 + 0.4 + 0.4 s, of the 4 s within which it must be in force.
CONFIGURATION_WAIT_SECONDS = 1.0
RETRY_SECONDS = (0.1, 0.4)
# An answer of which a part has arrived within this time is still arriving.
RECEIVING_SECONDS = 0.4

_log = logger_of("feeds")


@dataclass(frozen=True, slots=True)
class Evacuation:
    """Operator's order to evacuate a failure domain, in which nothing may start, or its end.

    :param is_active: False when the evacuation has ended
    """

    failure_domain: str
    is_active: bool


@dataclass(frozen=True, slots=True)
class UnreadableConfiguration:
    """Configuration that this build can't decode."""


class RecordDecoder(Protocol):
    """Decoder of records that operators and minions write."""

    def operator_record(
        self, record: Record
    ) -> FleetConfig | Evacuation | UnreadableConfiguration | None:
        """Decode a record of the configuration stream; return None when it is of another kind."""
        ...

    def minion_record(self, record: Record) -> MinionFacts | None:
        """Decode a record of the minion stream; return None when it is invalid."""
        ...


class Follower(mode.Service):
    """Service that follows one partition of a stream, starting with the newest record of each key.

    :param on_records: called with records in order, and with whether they are a snapshot: the
        newest record of every key
    :param clock: returns seconds
    :param wait_seconds: maximum duration of one read
    :param pause_seconds: pause between reads, which batches records
    :param start_delay_seconds: longest random delay of the first read
    """

    def __init__(
        self,
        store: Store,
        stream: Stream,
        on_records: Callable[[tuple[Record, ...], bool], None],
        clock: Callable[[], float],
        random: Random,
        wait_seconds: float = FOLLOW_WAIT_SECONDS,
        pause_seconds: float = 0.0,
        partition: int = 0,
        start_delay_seconds: float = 0.0,
    ) -> None:
        super().__init__()
        self._store = store
        self._stream = stream
        self._on_records = on_records
        self._clock = clock
        self._random = random
        self._wait_seconds = wait_seconds
        self._pause_seconds = pause_seconds
        self._partition = partition
        self._start_delay_seconds = start_delay_seconds
        self._offset: int | None = None
        self._partial_snapshot = PartialRead()
        self._snapshot_sent_at = float("-inf")
        self._last_read_at = float("-inf")
        self._progress_at = float("-inf")
        self._is_at_end = True
        self._is_failing = False
        # Task that reads, while it does.
        self._reading: asyncio.Task[None] | None = None
        self._is_refreshing = False
        self.loaded = asyncio.Event()

    @property
    def age_seconds(self) -> float:
        """Return the seconds since this follower was last known to be at the end of the stream."""
        return self._clock() - self._last_read_at

    @property
    def is_receiving(self) -> bool:
        """Return whether parts of an answer have arrived lately."""
        return self._clock() - self._progress_at < RECEIVING_SECONDS

    def record_progress(self) -> None:
        """Record that a part of an answer has arrived."""
        self._progress_at = self._clock()

    def refresh(self) -> None:
        """Abort the read in progress, whose connection may be dead, and read again at once."""
        if self._reading is not None and not self._is_refreshing:
            self._is_refreshing = True
            self._reading.cancel()

    async def read_once(self) -> None:
        """Read the next records, or a snapshot when no offset is known, and pass them on.

        :raises StoreError: when the store can't be reached
        """
        if self._offset is None:
            batch = await self._read_snapshot()
            self._on_records(batch.records, True)
            self._record_position(batch, self._snapshot_sent_at)
            return
        sent_at = self._clock()
        try:
            batch = await self._store.read(
                self._stream, self._offset, self._wait_seconds, self._partition
            )
        except HistoryDroppedError:
            _log.notice("history dropped; reading every key", extra={"stream": str(self._stream)})
            self._offset = None
            return
        if batch.records:
            self._on_records(batch.records, False)
        # The store answers without a record only once it has waited for one.
        waited_seconds = self._wait_seconds * (1.0 - MAX_CLOCK_DRIFT)
        has_waited = not batch.records and self._clock() - sent_at >= self._wait_seconds
        self._record_position(batch, sent_at + waited_seconds if has_waited else sent_at)

    async def load(self, process: Callable[[tuple[Record, ...]], Awaitable[None]]) -> None:
        """Read a snapshot and have it processed by work that may yield to the event loop.

        :param process: called with the newest record of every key
        :raises StoreError: when the store can't be reached; the next call resumes the read
        """
        batch = await self._read_snapshot()
        await process(batch.records)
        self._record_position(batch, self._snapshot_sent_at)

    async def _read_snapshot(self) -> Batch:
        # A read that failed is resumed, and the age counts from the first page.
        if self._partial_snapshot.next_offset is None:
            self._snapshot_sent_at = self._clock()
        batch = await self._store.newest(self._stream, self._partition, self._partial_snapshot)
        self._partial_snapshot = PartialRead()
        return batch

    def _record_position(self, batch: Batch, known_at: float) -> None:
        """Record a batch that was read.

        :param known_at: time from which on the batch was known to be the newest one
        """
        self._offset = batch.next_offset
        # Records that can't be processed, or that others follow, leave the age as it was.
        self._is_at_end = batch.is_at_end
        if batch.is_at_end:
            self._last_read_at = known_at
        self.loaded.set()

    async def _read_unless_refreshed(self) -> bool:
        """Read once; return whether the read was not aborted by :meth:`refresh`."""
        task = asyncio.current_task()
        assert task is not None
        self._reading = task
        try:
            await self.read_once()
        except asyncio.CancelledError:
            # More than one cancellation means that the service stops at the same time.
            if not self._is_refreshing or task.cancelling() > 1:
                raise
            return False
        finally:
            self._reading = None
            if self._is_refreshing:
                self._is_refreshing = False
                task.uncancel()
        return True

    @mode.Service.task
    async def _follow(self) -> None:
        if self._start_delay_seconds:
            await asyncio.sleep(self._random.uniform(0.0, self._start_delay_seconds))
        while not self.should_stop:
            try:
                is_read = await self._read_unless_refreshed()
            except StoreError as error:
                if not self._is_failing:
                    self._is_failing = True
                    fields = {"stream": str(self._stream), "reason": str(error)}
                    _log.warning("store does not answer", extra=fields)
                await asyncio.sleep(self._random.uniform(*RETRY_SECONDS))
                continue
            except Exception as error:
                # A record that can't be processed must not end the process. The newest records are
                # read again, since some of this batch may not have been processed.
                fields = {"stream": str(self._stream), "reason": repr(error)}
                _log.error("records can't be processed; reading every key", extra=fields)
                self._offset = None
                await asyncio.sleep(self._random.uniform(*RETRY_SECONDS))
                continue
            if not is_read:
                continue
            if self._is_failing:
                self._is_failing = False
                _log.notice("store answers again", extra={"stream": str(self._stream)})
            if self._pause_seconds and self._is_at_end:
                await asyncio.sleep(self._pause_seconds)


class ConfigurationSource(StrEnum):
    """Where a process got a version of the configuration from."""

    STORE = "store"
    PEER = "peer"


class ConfigurationFeed:
    """Current fleet configuration and evacuated failure domains.

    :param decoder: decodes records of the configuration stream
    :param on_change: called after each batch of records
    """

    def __init__(self, decoder: RecordDecoder, on_change: Callable[[], None]) -> None:
        self._decoder = decoder
        self._on_change = on_change
        self._config = FleetConfig()
        self._record: Record | None = None
        self._is_outdated = False
        self._evacuated: frozenset[str] = frozenset()

    @property
    def config(self) -> FleetConfig:
        """Return the newest configuration; it has version 0 until one is read."""
        return self._config

    @property
    def is_outdated(self) -> bool:
        """Return whether a record that can't be decoded has followed the newest configuration."""
        return self._is_outdated

    @property
    def record(self) -> Record | None:
        """Return the record of the newest configuration, for other processes; None before it."""
        return self._record

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the evacuated failure domains, in which nothing may start."""
        return self._evacuated

    def apply_records(self, records: tuple[Record, ...], is_snapshot: bool) -> None:
        """Apply records of the configuration stream.

        :param is_snapshot: whether the records contain the newest record of every key
        """
        evacuated = set() if is_snapshot else set(self._evacuated)
        for record in records:
            decoded = self._decoder.operator_record(record)
            match decoded:
                case FleetConfig():
                    self._apply_config(decoded, record, ConfigurationSource.STORE)
                case UnreadableConfiguration():
                    self._is_outdated = True
                case Evacuation(domain, True):
                    evacuated.add(domain)
                case Evacuation(domain, False):
                    evacuated.discard(domain)
        if evacuated != self._evacuated:
            _log.notice("evacuation changed", extra={"domains": sorted(evacuated)})
        self._evacuated = frozenset(evacuated)
        self._on_change()

    def apply_record_of_peer(self, record: Record) -> None:
        """Apply a configuration that another process has read from the stream."""
        decoded = self._decoder.operator_record(record)
        if isinstance(decoded, FleetConfig):
            self._apply_config(decoded, record, ConfigurationSource.PEER)
            self._on_change()

    def _apply_config(
        self, config: FleetConfig, record: Record, source: ConfigurationSource
    ) -> None:
        if config.version <= self._config.version:
            return
        _log.notice(
            "configuration in force",
            extra={
                "version": config.version,
                "earlier": self._config.version,
                "source": str(source),
            },
        )
        self._config, self._record, self._is_outdated = config, record, False
