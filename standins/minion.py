"""Stand-in for a back end: echoes requests, counts the runs of each one, and injects faults.

Run it with ``python -m standins.minion --port 0 --slots 8 --connections 64``; it prints one line
``listening HOST:PORT`` when it is ready.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import hashlib
from collections import Counter
from dataclasses import asdict, dataclass
from enum import StrEnum

from aiohttp import web

MAX_ECHO_BYTES = 64 * 1024
CHUNK_BYTES = 64 * 1024


class FaultMode(StrEnum):
    """How the stand-in answers requests."""

    OK = "ok"
    DOWN = "down"
    SLOW = "slow"
    SILENT = "silent"
    LOSE_ANSWERS = "lose_answers"
    TRUNCATE = "truncate"


@dataclass(slots=True)
class LoadCounters:
    """Request and connection counters since the start, as ``/stats`` returns them.

    :param over_slots: requests that raised the number in flight above the slots
    :param over_connections: requests that came while more connections were open than allowed
    """

    requests: int = 0
    in_flight: int = 0
    most_in_flight: int = 0
    connections: int = 0
    most_connections: int = 0
    opened_connections: int = 0
    over_slots: int = 0
    over_connections: int = 0


UNLIMITED_SLOTS = 1_000_000


class StandInMinion:
    """HTTP server that echoes requests and injects faults.

    :param slots: number of concurrent requests above which ``over_slots`` counts
    :param connections: number of open connections above which ``over_connections`` counts
    :param work_seconds: duration of each request; the header ``X-Work-Seconds`` overrides it
    :param is_queueing: whether requests beyond the slots wait, as in a thread pool of that size

    If ``is_dropping_reused`` is set, the server drops a connection on its second request without
    reading it, like a server whose idle timeout has just expired.
    """

    def __init__(
        self,
        slots: int = 8,
        connections: int = 64,
        work_seconds: float = 0.0,
        *,
        is_queueing: bool = False,
    ) -> None:
        self.slots = slots
        self._work_slots = asyncio.Semaphore(slots if is_queueing else UNLIMITED_SLOTS)
        self.connections = connections
        self.work_seconds = work_seconds
        self.mode = FaultMode.OK
        self.fault_seconds = 0.0
        self.is_dropping_reused = False
        self.load = LoadCounters()
        self.runs: Counter[str] = Counter()
        self.address = ""
        self._runner: web.ServerRunner | None = None
        self._open_transports: set[asyncio.BaseTransport] = set()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start listening and set ``address``."""
        server = web.Server(
            self._handle, handler_cancellation=False, auto_decompress=False, access_log=None
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        bound_host, bound_port = self._runner.addresses[0][:2]
        self.address = f"{bound_host}:{bound_port}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._runner:
            await self._runner.cleanup()

    def set_faults(self, mode: str, seconds: float = 0.0) -> None:
        """Set the fault mode of requests that arrive from now on.

        :param mode: value of a ``FaultMode``
        :param seconds: delay before an answer in modes ``slow`` and ``silent``; 0 means 3600 s in
            ``silent``
        """
        self.mode = FaultMode(mode)
        self.fault_seconds = seconds

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if self._count_connection(request) and self.is_dropping_reused:
            return _drop_connection(request)
        if request.path == "/faults" and request.method == "POST":
            fault = await request.json()
            self.set_faults(fault["mode"], float(fault.get("seconds", 0.0)))
            return web.json_response({"mode": self.mode})
        if request.path == "/work" and request.method == "POST":
            self.work_seconds = float((await request.json())["seconds"])
            return web.json_response({"seconds": self.work_seconds})
        if request.path == "/stats":
            return web.json_response({**asdict(self.load), "runs": dict(self.runs)})
        return await self._process(request)

    def _count_connection(self, request: web.BaseRequest) -> bool:
        """Count the request's connection; return whether an earlier request used it."""
        transport = request.transport
        is_reused = transport in self._open_transports
        if transport is not None and not is_reused:
            self._open_transports.add(transport)
            self.load.opened_connections += 1
        self._open_transports = {item for item in self._open_transports if not item.is_closing()}
        self.load.connections = len(self._open_transports)
        self.load.most_connections = max(self.load.most_connections, len(self._open_transports))
        self.load.over_connections += len(self._open_transports) > self.connections
        return is_reused

    async def _process(self, request: web.BaseRequest) -> web.StreamResponse:
        if self.mode is FaultMode.DOWN:
            return _drop_connection(request)
        load = self.load
        load.requests += 1
        load.in_flight += 1
        load.most_in_flight = max(load.most_in_flight, load.in_flight)
        load.over_slots += load.in_flight > self.slots
        try:
            async with self._work_slots:
                return await self._respond(request)
        finally:
            load.in_flight -= 1

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        if "X-Run-Id" in request.headers:
            self.runs[request.headers["X-Run-Id"]] += 1
        mode, seconds = self.mode, self.fault_seconds
        digest, size, body_start = hashlib.sha256(), 0, b""
        async for chunk in request.content.iter_chunked(CHUNK_BYTES):
            digest.update(chunk)
            size += len(chunk)
            body_start = (body_start + chunk)[:MAX_ECHO_BYTES]
        await asyncio.sleep(float(request.headers.get("X-Work-Seconds", self.work_seconds)))
        match mode:
            case FaultMode.SLOW:
                await asyncio.sleep(seconds)
            case FaultMode.SILENT:
                await asyncio.sleep(seconds or 3600.0)
            case FaultMode.LOSE_ANSWERS:
                return _drop_connection(request)
        echo = {
            "minion": self.address,
            "method": request.method,
            "raw_path": request.raw_path,
            "headers": [[n.decode("latin-1"), v.decode("latin-1")] for n, v in request.raw_headers],
            "body": base64.b64encode(body_start).decode(),
            "body_bytes": size,
            "body_sha256": digest.hexdigest(),
        }
        if "X-Answer-Bytes" in request.headers:
            return await self._send_generated_body(
                request, int(request.headers["X-Answer-Bytes"]), mode
            )
        answer = web.json_response(echo)
        answer.headers.add("X-Repeated", "first")
        answer.headers.add("X-Repeated", "second")
        if mode is FaultMode.TRUNCATE:
            return await self._send_generated_body(request, 1000, mode)
        return answer

    async def _send_generated_body(
        self, request: web.BaseRequest, size: int, mode: FaultMode
    ) -> web.StreamResponse:
        answer = web.StreamResponse(headers={"Content-Type": "application/octet-stream"})
        if "X-Answer-Chunked" not in request.headers:
            answer.content_length = size
        await answer.prepare(request)
        is_truncated = mode is FaultMode.TRUNCATE
        remaining_bytes = size // 2 if is_truncated else size
        while remaining_bytes > 0:
            await answer.write(b"x" * min(remaining_bytes, CHUNK_BYTES))
            remaining_bytes -= CHUNK_BYTES
        if is_truncated:
            await asyncio.sleep(0.05)
            if request.transport is not None:
                request.transport.close()
        else:
            await answer.write_eof()
        return answer


def _drop_connection(request: web.BaseRequest) -> web.StreamResponse:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


async def _serve(arguments: argparse.Namespace) -> None:
    standin = StandInMinion(
        arguments.slots,
        arguments.connections,
        arguments.work_seconds,
        is_queueing=arguments.queueing,
    )
    await standin.start(arguments.host, arguments.port)
    print(f"listening {standin.address}", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Serve until the process is interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--work-seconds", type=float, default=0.0)
    parser.add_argument("--queueing", action="store_true")
    try:
        asyncio.run(_serve(parser.parse_args()))
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
