"""Test fixture: processes that follow one in-memory log in virtual time."""

from __future__ import annotations

import json
import random
from typing import Any

import looptime

from dotterelhill.ledger import Adopt, decode_record, encode_record
from dotterelhill.ledger.feed import CONTROL_STREAM, ControlFeed
from dotterelhill.ledger.snapshot_writer import SnapshotWriter
from dotterelhill.ledger.tests.bench import document, job
from dotterelhill.log import BatchedAppender
from dotterelhill.log.tests.memory_log import Link, MemoryLog
from dotterelhill.manifest.feed import CONFIG_STREAM, ConfigFeed

RETENTION_SECONDS = 3600.0


class Process:
    """Feeds and snapshot writer of one entry process."""

    def __init__(self, log: MemoryLog, seed: int) -> None:
        rng = random.Random(seed)
        self.link = Link(log)
        self.appender = BatchedAppender(self.link, CONTROL_STREAM, spacing_seconds=0.1, rng=rng)
        self.config = ConfigFeed(self.link, rng=rng)
        self.feed = ControlFeed(self.link, self.config, append=self.appender.submit, rng=rng)
        self.writer = SnapshotWriter(
            self.link, self.feed, retention_seconds=RETENTION_SECONDS, rng=rng
        )
        self.updates: list[Any] = []
        self.feed.add_listener(self.updates.append)

    async def start(self) -> None:
        for service in (self.appender, self.feed, self.writer):
            await service.start()

    async def stop(self) -> None:
        for service in (self.writer, self.feed, self.appender):
            await service.stop()


class Fleet:
    """Processes on one event loop with a virtual clock."""

    def __init__(self) -> None:
        self.loop = looptime.new_event_loop()
        self.log = MemoryLog()
        self.processes: dict[int, Process] = {}

    def run(self, awaitable: Any) -> Any:
        return self.loop.run_until_complete(awaitable)

    def start(self, number: int, *, is_cut: bool = False) -> None:
        async def start() -> None:
            process = self.processes[number] = Process(self.log, number)
            process.link.is_cut = is_cut
            await process.start()

        self.run(start())

    def close(self) -> None:
        for process in self.processes.values():
            self.run(process.stop())
        self.loop.close()

    def publish(self, base: int, jobs: list[str]) -> None:
        content = document({name: job(2) for name in jobs}, {"kbh-nord": "in"})
        record = {"id": f"p{random.random()}", "base": base, "document": content}
        self.log.put(CONFIG_STREAM, json.dumps(record).encode())

    def put(self, record: Any) -> int:
        return self.log.put(CONTROL_STREAM, encode_record(record))

    def adopted_versions(self) -> list[int]:
        records = [decode_record(data) for data in self.log.stream(CONTROL_STREAM).data]
        return [record.manifest_version for record in records if isinstance(record, Adopt)]
