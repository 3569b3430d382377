"""In-memory log with injected faults, for tests in virtual time; sockets need real time."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence

from dotterelhill.log import LogError, LogRecord, LogTrimmedError, ReadResult
from standins.log import Stream


class MemoryLog:
    def __init__(self) -> None:
        self.streams: dict[str, Stream] = {}
        self.is_down = False
        self.lost_answers = 0
        self.delay_seconds = 0.0
        self.append_delay_seconds = 0.0
        self.reads = 0
        self.delivered: Counter[str] = Counter()
        self.appends: list[tuple[float, int]] = []
        self.in_flight = 0
        self.most_in_flight = 0

    def stream(self, name: str) -> Stream:
        return self.streams.setdefault(name, Stream())

    def put(self, name: str, *records: bytes) -> int:
        return self.stream(name).append(list(records), 0.0, 0)

    def keep_last(self, name: str, count: int) -> None:
        stream = self.stream(name)
        surplus = max(0, len(stream.offsets) - count)
        for items in (stream.offsets, stream.times, stream.data):
            del items[:surplus]

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        self.appends.append((asyncio.get_running_loop().time(), len(records)))
        try:
            await asyncio.sleep(self.delay_seconds + self.append_delay_seconds)
            if self.is_down:
                raise LogError("refused")
            first = self.put(stream, *records)
            if self.lost_answers:
                self.lost_answers -= 1
                raise LogError("answer lost", is_effect_unknown=True)
            return first
        finally:
            self.in_flight -= 1

    async def read(
        self, stream: str, start: int, *, limit: int = 1000, wait_seconds: float = 0.0
    ) -> ReadResult:
        self.reads += 1
        if self.is_down:
            raise LogError("refused")
        content = self.stream(stream)
        try:
            async with asyncio.timeout(wait_seconds):
                while content.next_offset <= start:
                    await content.records_added.wait()
        except TimeoutError:
            pass
        await asyncio.sleep(self.delay_seconds)
        if start < content.earliest_offset:
            raise LogTrimmedError(content.earliest_offset)
        records = tuple(LogRecord(offset, data) for offset, data in content.read(start, limit))
        self.delivered[stream] += len(records)
        return ReadResult(records, content.next_offset, content.earliest_offset)


class Link:
    """Connection of one process to a shared log; a cut link refuses every call."""

    def __init__(self, log: MemoryLog) -> None:
        self.log = log
        self.is_cut = False

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        if self.is_cut:
            raise LogError("link is cut")
        return await self.log.append(stream, records)

    async def read(
        self, stream: str, start: int, *, limit: int = 1000, wait_seconds: float = 0.0
    ) -> ReadResult:
        if self.is_cut:
            raise LogError("link is cut")
        result = await self.log.read(stream, start, limit=limit, wait_seconds=wait_seconds)
        if self.is_cut:
            raise LogError("link was cut")
        return result
