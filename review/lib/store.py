"""Stand-in of the platform's store: a log with keyed topics, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import base64
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from aiohttp import web

LENGTH_BYTES = 4
APPEND_SECONDS = 0.002
ANSWER_SECONDS = 0.004
WRITES_PER_SECOND = 800
READS_PER_SECOND = 2000
NEWEST_PAGE = 500
MAX_NEWEST_BYTES = 1_000_000
MAX_READ_BYTES = 1024 * 1024

# Called with topic, partition and call ("append", "read" or "newest"). Returns None to serve the
# call, or "reset" to reset its connection and do nothing.
Fault = Callable[[str, int, str], str | None]


@dataclass
class _Producer:
    epoch: int
    sequence: int | None = None
    # Answers of the last five appends by sequence number.
    answers: dict[int, dict[str, object]] = field(default_factory=dict)


class _Partition:
    """Records of one partition and, for a keyed topic, the newest one of each key."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[bytes, int]] = {}
        self.producers: dict[str, _Producer] = {}
        self.grown = asyncio.Condition()
        self.lock = asyncio.Lock()


class Store:
    """HTTP server of the store.

    :param record_bytes: largest record
    :param call_bytes: largest total size of the records of one append
    """

    def __init__(self, record_bytes: int = 262144, call_bytes: int = 2097152) -> None:
        self.fault: Fault = lambda topic, part, call: None
        # Appends that were refused because a record or the call was too large.
        self.oversized: list[tuple[str, int]] = []
        self._record_bytes = record_bytes
        self._call_bytes = call_bytes
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self._runner: web.ServerRunner | None = None
        # Times of the calls of the last second, and the number of those beyond the rate.
        self._calls: dict[bool, deque[float]] = {True: deque(), False: deque()}
        self.beyond_rate = 0
        self.address = ""

    async def start(self, host: str) -> None:
        """Listen on a free port of a host."""
        self._runner = web.ServerRunner(web.Server(self._answer, access_log=None))
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]  # type: ignore[union-attr]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    def partition(self, topic: str, part: int = 0) -> _Partition:
        """Return a partition, which is created on first use."""
        return self._partitions.setdefault((topic, part), _Partition())

    async def put(self, topic: str, key: str, value: bytes) -> int:
        """Write a record of the operator or of a minion; an empty value drops the key."""
        name = key.encode()
        return await self._append(self.partition(topic), topic, [bytes([len(name)]) + name + value])

    async def _append(self, partition: _Partition, topic: str, records: list[bytes]) -> int:
        async with partition.grown:
            first = len(partition.records)
            for record in records:
                offset = len(partition.records)
                partition.records.append(record)
                if topic.startswith("keyed."):
                    key = record[1 : 1 + record[0]].decode()
                    value = record[1 + record[0] :]
                    if value:
                        partition.newest[key] = (value, offset)
                    else:
                        partition.newest.pop(key, None)
            partition.grown.notify_all()
        return first

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        query = request.query
        topic, part = query.get("topic", ""), int(query.get("part", "0"))
        partition = self.partition(topic, part)
        call = request.path.removeprefix("/log-")
        if self.fault(topic, part, call) == "reset":
            if request.transport is not None:
                request.transport.abort()
            raise ConnectionResetError("the partition is down")
        if self._is_beyond_rate(is_write=call == "append"):
            return web.json_response({"reason": "rate"}, status=429)
        await asyncio.sleep(ANSWER_SECONDS - (APPEND_SECONDS if call == "append" else 0.0))
        match call:
            case "append":
                answer = await self._serve_append(request, topic, partition)
            case "read":
                answer = await self._serve_read(request, partition)
            case "newest":
                answer = self._serve_newest(request, partition)
            case _:
                return web.Response(status=404)
        return answer

    def _is_beyond_rate(self, *, is_write: bool) -> bool:
        """Count a call of a process, and return whether it exceeds the rate of all processes."""
        calls, now = self._calls[is_write], time.monotonic()
        while calls and now - calls[0] > 1.0:
            calls.popleft()
        if len(calls) >= (WRITES_PER_SECOND if is_write else READS_PER_SECOND):
            self.beyond_rate += 1
            return True
        calls.append(now)
        return False

    async def _serve_append(
        self, request: web.BaseRequest, topic: str, partition: _Partition
    ) -> web.StreamResponse:
        if topic in ("keyed.op", "keyed.servers"):
            return web.json_response({"reason": "forbidden"}, status=403)
        body = b""
        async for chunk in request.content.iter_any():
            body += chunk
        records, position = [], 0
        while position + LENGTH_BYTES <= len(body):
            length = int.from_bytes(body[position : position + LENGTH_BYTES], "big")
            position += LENGTH_BYTES
            records.append(body[position : position + length])
            position += length
        sizes = [len(record) for record in records]
        if max(sizes, default=0) > self._record_bytes or sum(sizes) > self._call_bytes:
            self.oversized.append((topic, max(sizes)))
            return web.json_response({"reason": "size"}, status=400)
        query = request.query
        async with partition.lock:
            await asyncio.sleep(APPEND_SECONDS)
            end = len(partition.records)
            if "at" in query and int(query["at"]) != end:
                return web.json_response({"end": end}, status=412)
            if "producer" not in query:
                first = await self._append(partition, topic, records)
                return web.json_response({"offset": first, "end": first + len(records)})
            epoch, sequence = int(query["epoch"]), int(query.get("sequence", "0"))
            producer = partition.producers.setdefault(query["producer"], _Producer(epoch))
            if epoch < producer.epoch:
                return web.json_response({"reason": "fenced"}, status=409)
            if epoch > producer.epoch:
                producer.epoch, producer.sequence, producer.answers = epoch, None, {}
            if not records:
                return web.json_response({"offset": end, "end": end})
            if sequence in producer.answers:
                return web.json_response(producer.answers[sequence])
            if producer.sequence is not None and sequence != producer.sequence + 1:
                expected = {"reason": "seq", "sequence": producer.sequence + 1}
                return web.json_response(expected, status=409)
            first = await self._append(partition, topic, records)
            answer: dict[str, object] = {"offset": first, "end": first + len(records)}
            producer.sequence = sequence
            producer.answers[sequence] = answer
            for old in sorted(producer.answers)[:-5]:
                del producer.answers[old]
            return web.json_response(answer)

    async def _serve_read(
        self, request: web.BaseRequest, partition: _Partition
    ) -> web.StreamResponse:
        start, wait_ms = int(request.query["from"]), int(request.query.get("waitMs", "0"))
        async with partition.grown:
            if wait_ms and len(partition.records) <= start:
                try:
                    async with asyncio.timeout(wait_ms / 1000.0):
                        await partition.grown.wait_for(lambda: len(partition.records) > start)
                except TimeoutError:
                    pass
        parts = [len(partition.records).to_bytes(8, "big"), (0).to_bytes(8, "big")]
        size = 0
        for record in partition.records[start:]:
            size += LENGTH_BYTES + len(record)
            if size > MAX_READ_BYTES:
                break
            parts.append(len(record).to_bytes(LENGTH_BYTES, "big") + record)
        return web.Response(body=b"".join(parts))

    def _serve_newest(self, request: web.BaseRequest, partition: _Partition) -> web.StreamResponse:
        after = request.query.get("after", "")
        keys = sorted(key for key in partition.newest if key > after)
        items: list[dict[str, object]] = []
        size = 0
        for key in keys[:NEWEST_PAGE]:
            value, offset = partition.newest[key]
            size += len(value)
            if items and size > MAX_NEWEST_BYTES:
                break
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        answer = {
            "items": items,
            "hasMore": len(keys) > len(items),
            "end": len(partition.records),
        }
        return web.json_response(answer)
