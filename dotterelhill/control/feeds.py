"""Followers of the streams that operators and minions write."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

import mode

from dotterelhill.control.interface import (
    Batch,
    HistoryDroppedError,
    Record,
    Store,
    StoreError,
    Stream,
)
from dotterelhill.entry.logs import logger_of
from dotterelhill.jobs.fleet import MinionFacts
from dotterelhill.jobs.queues import FleetConfig

# A long poll; short, so that a connection that stops responding is noticed within the bound on
# changes of the configuration.
FOLLOW_WAIT_SECONDS = 1.5
RETRY_SECONDS = (0.1, 0.4)

_log = logger_of("feeds")


@dataclass(frozen=True, slots=True)
class Evacuation:
    """Order to start nothing in a failure domain, or its end.

    :param is_wanted: False when the failure domain is taken back
    """

    failure_domain: str
    is_wanted: bool


class RecordDecoder(Protocol):
    """Decoders of records that others write."""

    def operator_record(self, record: Record) -> FleetConfig | Evacuation | None:
        """Return what an operator asks for; None when the record can't be used."""
        ...

    def minion_record(self, record: Record) -> MinionFacts | None:
        """Return what a minion says of itself; None when the record can't be used."""
        ...


class Follower(mode.Service):
    """Follows one partition of a stream from its newest records on.

    :param on_records: called with records in order; ``is_whole`` says that they are all keys
    :param wait_seconds: longest wait of a read
    :param pause_seconds: pause between reads, which joins several records into one
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
        self._offset: int | None = None
        self._read_at = float("-inf")
        self._is_failing = False
        self.loaded = asyncio.Event()

    @property
    def age_seconds(self) -> float:
        """Return the time since the stream was last known up to its end."""
        return self._clock() - self._read_at

    async def step(self) -> None:
        """Read once.

        :raises StoreError: when the store can't be used
        """
        sent_at = self._clock()
        if self._offset is None:
            batch = await self._store.newest(self._stream, self._partition)
            self._take(batch, sent_at, is_whole=True)
            return
        try:
            batch = await self._store.read(
                self._stream, self._offset, self._wait_seconds, self._partition
            )
        except HistoryDroppedError:
            _log.notice("history dropped; reading all keys", extra={"stream": str(self._stream)})
            self._offset = None
            return
        self._take(batch, sent_at, is_whole=False)

    def _take(self, batch: Batch, sent_at: float, *, is_whole: bool) -> None:
        self._offset = batch.next_offset
        self._read_at = sent_at
        if is_whole or batch.records:
            self._on_records(batch.records, is_whole)
        self.loaded.set()

    @mode.Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            try:
                await self.step()
            except StoreError as error:
                if not self._is_failing:
                    self._is_failing = True
                    fields = {"stream": str(self._stream), "reason": str(error)}
                    _log.warning("store does not answer", extra=fields)
                await asyncio.sleep(self._random.uniform(*RETRY_SECONDS))
                continue
            if self._is_failing:
                self._is_failing = False
                _log.notice("store answers again", extra={"stream": str(self._stream)})
            await asyncio.sleep(self._pause_seconds)


class ConfigurationFeed:
    """Newest configuration and evacuated failure domains.

    :param on_change: called after each change
    """

    def __init__(self, decoder: RecordDecoder, on_change: Callable[[], None]) -> None:
        self._decoder = decoder
        self._on_change = on_change
        self._config = FleetConfig()
        self._evacuated: frozenset[str] = frozenset()

    @property
    def config(self) -> FleetConfig:
        """Return the newest configuration; version 0 before the first."""
        return self._config

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the failure domains in which nothing may start."""
        return self._evacuated

    def take(self, records: tuple[Record, ...], is_whole: bool) -> None:
        """Take over records of the configuration stream."""
        evacuated = set() if is_whole else set(self._evacuated)
        for record in records:
            decoded = self._decoder.operator_record(record)
            match decoded:
                case FleetConfig():
                    self._take_config(decoded)
                case Evacuation(domain, True):
                    evacuated.add(domain)
                case Evacuation(domain, False):
                    evacuated.discard(domain)
        if evacuated != self._evacuated:
            _log.notice("evacuation changed", extra={"domains": sorted(evacuated)})
        self._evacuated = frozenset(evacuated)
        self._on_change()

    def _take_config(self, config: FleetConfig) -> None:
        if config.version <= self._config.version:
            return
        _log.notice(
            "configuration in force",
            extra={"version": config.version, "earlier": self._config.version},
        )
        self._config = config
