"""Stand-in for the platform's append-only log, with the protocol of docs/design.md, section 3.1."""

from __future__ import annotations

import asyncio
from bisect import bisect_left
from dataclasses import dataclass, field

import defopt
import msgspec
from aiohttp import web

from standins.faults import add_faults, run_stand_in

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_READ_RECORDS = 10_000
MAX_WAIT_SECONDS = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Retention:
    """Retention limits of each stream.

    :param records: maximum number of records in a stream; 0 for no limit
    :param seconds: age at which a record is removed; 0 for no limit
    """

    records: int = 0
    seconds: float = 0.0


@dataclass(slots=True)
class Stream:
    """Records of one stream, oldest first, with their offsets and append times in seconds."""

    next_offset: int = 1
    offsets: list[int] = field(default_factory=list)
    times: list[float] = field(default_factory=list)
    data: list[bytes] = field(default_factory=list)
    records_added: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def earliest_offset(self) -> int:
        """Return the offset of the oldest record, or the next offset of an empty stream."""
        return self.offsets[0] if self.offsets else self.next_offset

    def append(self, records: list[bytes], now: float, gap: int) -> int:
        """Append records and return the offset of the first one.

        :param now: append time in seconds
        :param gap: number of offsets to skip after the records
        """
        first_offset = self.next_offset
        self.offsets.extend(range(first_offset, first_offset + len(records)))
        self.times.extend([now] * len(records))
        self.data.extend(records)
        self.next_offset = first_offset + len(records) + gap
        self.records_added.set()
        self.records_added = asyncio.Event()
        return first_offset

    def trim(self, retention: Retention, now: float) -> None:
        """Remove the records that exceed the retention limits."""
        expired_count = max(0, len(self.offsets) - retention.records) if retention.records else 0
        if retention.seconds:
            expired_count = max(expired_count, bisect_left(self.times, now - retention.seconds))
        del self.offsets[:expired_count]
        del self.times[:expired_count]
        del self.data[:expired_count]

    def read(self, start: int, limit: int) -> list[tuple[int, bytes]]:
        """Return up to ``limit`` pairs of offset and record, from offset ``start`` on."""
        index = bisect_left(self.offsets, start)
        stop = index + limit
        return list(zip(self.offsets[index:stop], self.data[index:stop], strict=True))


def _msgpack_response(content: object, status: int = 200) -> web.Response:
    body = msgspec.msgpack.encode(content)
    return web.Response(body=body, status=status, content_type="application/msgpack")


class LogService:
    """Streams of the log and the HTTP handlers of its protocol.

    :param offset_gap: number of offsets to skip after each append; the protocol only guarantees
        that offsets rise, not that they rise by 1
    """

    def __init__(self, retention: Retention | None = None, offset_gap: int = 0) -> None:
        self._retention = retention or Retention()
        self._offset_gap = offset_gap
        self._streams: dict[str, Stream] = {}

    def stream(self, name: str) -> Stream:
        """Return a stream after removing its expired records; create it if it does not exist."""
        stream = self._streams.setdefault(name, Stream())
        stream.trim(self._retention, asyncio.get_running_loop().time())
        return stream

    async def append_records(self, request: web.Request) -> web.Response:
        """Handle ``POST /streams/{stream}/records``."""
        try:
            records = msgspec.msgpack.decode(await request.read(), type=list[bytes])
        except msgspec.DecodeError as error:
            raise web.HTTPBadRequest(text=str(error)) from None
        stream = self.stream(request.match_info["stream"])
        now = asyncio.get_running_loop().time()
        first_offset = stream.append(records, now, self._offset_gap)
        return _msgpack_response({"first": first_offset, "next": stream.next_offset})

    async def read_records(self, request: web.Request) -> web.Response:
        """Handle ``GET /streams/{stream}/records?from=N&limit=K&wait=S``."""
        name = request.match_info["stream"]
        try:
            start = int(request.query["from"])
            limit = min(int(request.query.get("limit", 1000)), MAX_READ_RECORDS)
            wait_seconds = min(float(request.query.get("wait", 0.0)), MAX_WAIT_SECONDS)
        except (KeyError, ValueError) as error:
            raise web.HTTPBadRequest(text=f"query: {error}") from None
        await self._wait_for_record(name, start, wait_seconds)
        stream = self.stream(name)
        earliest = stream.earliest_offset
        if start < earliest:
            return _msgpack_response({"earliest": earliest}, status=410)
        records = stream.read(start, limit)
        content = {"records": records, "next": stream.next_offset, "earliest": earliest}
        return _msgpack_response(content)

    async def _wait_for_record(self, name: str, start: int, seconds: float) -> None:
        deadline = asyncio.get_running_loop().time() + seconds
        try:
            async with asyncio.timeout_at(deadline):
                while self.stream(name).next_offset <= start:
                    await self.stream(name).records_added.wait()
        except TimeoutError:
            return


def log_app(service: LogService) -> web.Application:
    """Return the application of the stand-in, with fault injection."""
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    add_faults(app)
    app.router.add_post("/streams/{stream}/records", service.append_records)
    app.router.add_get("/streams/{stream}/records", service.read_records)
    return app


def main(
    *,
    host: str = "127.0.0.1",
    port: int = 0,
    retention_records: int = 0,
    retention_seconds: float = 0.0,
    offset_gap: int = 0,
) -> None:
    """Serve an append-only log from memory.

    :param host: address to listen on
    :param port: port to listen on; 0 for a free one
    :param retention_records: maximum number of records in a stream; 0 for no limit
    :param retention_seconds: age in seconds at which records are removed; 0 for no limit
    :param offset_gap: number of offsets to skip after each append
    """
    retention = Retention(records=retention_records, seconds=retention_seconds)
    run_stand_in(log_app(LogService(retention, offset_gap)), host, port)


if __name__ == "__main__":
    defopt.run(main)
