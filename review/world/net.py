"""Small HTTP/1.1 server and client for the stand-ins, without keep-alive on the client's side."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from random import SystemRandom
from typing import Any
from urllib.parse import parse_qsl, urlsplit


@dataclass
class Request:
    """One HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body) if self.body else {}


@dataclass
class Answer:
    """One HTTP answer; ``status`` 0 breaks the connection without an answer."""

    status: int
    body: bytes = b""

    @staticmethod
    def of(status: int, value: object) -> Answer:
        """Return an answer with a JSON body."""
        return Answer(status, json.dumps(value, separators=(",", ":")).encode())


Handler = Callable[[Request], Awaitable[Answer]]


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; return None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0") or 0)
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    parts = urlsplit(target)
    return Request(method, parts.path, dict(parse_qsl(parts.query)), headers, body)


class Server:
    """HTTP server that can be cut off like a process that is killed."""

    def __init__(self, host: str, port: int, handler: Handler) -> None:
        self.host, self.port = host, port
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Open the port unless it is open; a port of 0 is replaced by a free one."""
        if self._server is not None:
            return
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 22, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def kill(self) -> None:
        """Close the port and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                answer = await self._handler(request)
                if answer.status == 0:
                    writer.transport.abort()
                    return
                head = (
                    f"HTTP/1.1 {answer.status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(answer.body)}\r\n\r\n"
                )
                writer.write(head.encode() + answer.body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            with suppress(Exception):
                writer.close()


async def call(
    address: str,
    method: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    timeout_seconds: float = 3.0,
) -> tuple[int, Any]:
    """Send a request over a connection of its own; status 0 stands for no answer."""
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}", "Connection: close"]
    given = {"Host": host, "Content-Type": "application/json", **(headers or {})}
    lines += [f"{name}: {value}" for name, value in given.items()]
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            length = 0
            for line in head.decode("latin-1").split("\r\n")[1:]:
                name, _, value = line.partition(":")
                if name.lower() == "content-length":
                    length = int(value)
            payload = await reader.readexactly(length) if length else b""
            try:
                return status, json.loads(payload) if payload else None
            except ValueError:
                return status, None
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None
    finally:
        if writer is not None:
            with suppress(Exception):
                writer.close()


def free_host(used: set[str]) -> str:
    """Return a loopback address on which the fixed port of the metrics is free."""
    random = SystemRandom()
    while True:
        host = f"127.{random.randint(20, 240)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        if host in used:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((host, 9464))
            except OSError:
                continue
        used.add(host)
        return host
