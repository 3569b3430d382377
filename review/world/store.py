"""Stand-in of the platform's store, after the section on the metadata store of PROTOCOL.md."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from collections.abc import Callable
from typing import Any

from net import Answer, Request, Server


class Log:
    """One partition of a topic."""

    def __init__(self, is_keyed: bool) -> None:
        self.is_keyed = is_keyed
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[bytes, int]] = {}
        self.producers: dict[str, dict[str, Any]] = {}
        self.grown = asyncio.Event()

    def append(self, records: list[bytes]) -> None:
        """Append records and wake the readers."""
        for record in records:
            if self.is_keyed:
                key = record[1 : 1 + record[0]].decode("utf-8", "replace")
                value = record[1 + record[0] :]
                if value:
                    self.newest[key] = (value, len(self.records))
                else:
                    self.newest.pop(key, None)
            self.records.append(record)
        if records:
            self.grown.set()
            self.grown = asyncio.Event()


def parse(data: bytes) -> list[bytes]:
    """Return the records of the body of an append."""
    records, position = [], 0
    while position + 4 <= len(data):
        (length,) = struct.unpack_from(">I", data, position)
        records.append(data[position + 4 : position + 4 + length])
        position += 4 + length
    return records


class Store:
    """The store: topics with partitions, and what the operator and the minions write.

    :param host: loopback address to listen on
    :param append_seconds: time that an append takes
    """

    def __init__(self, host: str, append_seconds: float = 0.002) -> None:
        self.server = Server(host, 0, self.answer)
        self._append_seconds = append_seconds
        self._logs: dict[tuple[str, int], Log] = {}
        self._locks: dict[tuple[str, int], asyncio.Lock] = {}
        # Returns the status with which a call is refused, or 0 to serve it.
        self.fault: Callable[[Request], int] = lambda request: 0

    def log(self, topic: str, part: int = 0) -> Log:
        """Return a partition, which is created on first use."""
        log = self._logs.get((topic, part))
        if log is None:
            log = self._logs[topic, part] = Log(topic.startswith("keyed."))
            self._locks[topic, part] = asyncio.Lock()
        return log

    def put(self, topic: str, key: str, value: object) -> None:
        """Write the record of a key; None removes it."""
        name = key.encode()
        data = b"" if value is None else json.dumps(value).encode()
        self.log(topic).append([bytes([len(name)]) + name + data])

    async def answer(self, request: Request) -> Answer:
        """Answer one call."""
        status = self.fault(request)
        if status:
            return Answer.of(status, {})
        topic = request.query.get("topic", "")
        part = int(request.query.get("part", "0"))
        log = self.log(topic, part)
        match request.path:
            case "/log-append":
                async with self._locks[topic, part]:
                    await asyncio.sleep(self._append_seconds)
                    return self._append(log, topic, request)
            case "/log-read":
                return await self._read(log, request)
            case "/log-newest":
                return self._newest(log, request)
        return Answer.of(404, {})

    def _append(self, log: Log, topic: str, request: Request) -> Answer:
        if topic in ("keyed.op", "keyed.servers"):
            return Answer.of(403, {})
        query, records = request.query, parse(request.body)
        end = len(log.records)
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query.get("sequence", "0"))
            state = log.producers.get(query["producer"])
            if state is None or epoch > state["epoch"]:
                state = {"epoch": epoch, "next": None, "recent": {}}
                log.producers[query["producer"]] = state
            elif epoch < state["epoch"]:
                return Answer.of(409, {"reason": "fenced"})
            if not records:
                return Answer.of(200, {"offset": end, "end": end})
            if sequence in state["recent"]:
                return Answer.of(200, state["recent"][sequence])
            if state["next"] is not None and sequence != state["next"]:
                return Answer.of(409, {"reason": "seq", "sequence": state["next"]})
            answer = {"offset": end, "end": end + len(records)}
            state["next"] = sequence + 1
            state["recent"][sequence] = answer
            state["recent"] = dict(list(state["recent"].items())[-5:])
            log.append(records)
            return Answer.of(200, answer)
        if "at" in query and int(query["at"]) != end:
            return Answer.of(412, {"end": end})
        log.append(records)
        return Answer.of(200, {"offset": end, "end": end + len(records)})

    async def _read(self, log: Log, request: Request) -> Answer:
        start = int(request.query.get("from", "0"))
        wait_seconds = int(request.query.get("waitMs", "0")) / 1000.0
        if start >= len(log.records) and wait_seconds:
            grown = log.grown
            try:
                async with asyncio.timeout(wait_seconds):
                    await grown.wait()
            except TimeoutError:
                pass
        parts, size = [struct.pack(">QQ", len(log.records), 0)], 0
        for record in log.records[start:]:
            if size + len(record) > 1_000_000:
                break
            parts.append(struct.pack(">I", len(record)) + record)
            size += len(record) + 4
        return Answer(200, b"".join(parts))

    def _newest(self, log: Log, request: Request) -> Answer:
        after = request.query.get("after", "")
        keys = sorted(key for key in log.newest if key > after)
        items = []
        for key in keys[:500]:
            value, offset = log.newest[key]
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        answer = {"items": items, "hasMore": len(keys) > 500, "end": len(log.records)}
        return Answer.of(200, answer)
