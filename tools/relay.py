"""TCP relay on loopback that counts bytes, and can reset or stall its connections."""

from __future__ import annotations

import asyncio
from enum import StrEnum

CHUNK_BYTES = 65536


class RelayMode(StrEnum):
    """How the relay treats connections."""

    PASS = "pass"
    CUT = "cut"
    SILENT = "silent"


class Relay:
    """TCP relay to one address; use as an asynchronous context manager.

    ``CUT`` resets open and new connections. ``SILENT`` keeps open connections without forwarding a
    byte, as when a device on the path has lost their state, and accepts new ones without answering.

    :param target: ``host:port`` behind the relay
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._mode = RelayMode.PASS
        self._forwarding_allowed = asyncio.Event()
        self._forwarding_allowed.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._bytes_passed = 0

    async def __aenter__(self) -> Relay:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *exception: object) -> None:
        assert self._server is not None
        self._server.close()
        self._abort_all()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def address(self) -> str:
        """Return the relay's own ``host:port``."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    @property
    def bytes_passed(self) -> int:
        """Return the bytes forwarded in both directions, without TCP and IP headers."""
        return self._bytes_passed

    def set_mode(self, mode: RelayMode) -> None:
        """Set how connections are treated from now on."""
        self._mode = mode
        if mode is RelayMode.CUT:
            self._abort_all()
        if mode is RelayMode.SILENT:
            self._forwarding_allowed.clear()
        else:
            self._forwarding_allowed.set()

    def _abort_all(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._track_writer(writer)
        if self._mode is RelayMode.CUT:
            writer.transport.abort()
            return
        await self._forwarding_allowed.wait()
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._track_writer(target_writer)
        await asyncio.gather(self._copy(reader, target_writer), self._copy(target_reader, writer))

    def _track_writer(self, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._writers.add(writer)
        task.add_done_callback(lambda done: self._writers.discard(writer))

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await self._forwarding_allowed.wait()
                self._bytes_passed += len(chunk)
                writer.write(chunk)
                await writer.drain()
            writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()
