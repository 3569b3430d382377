"""TCP relay on loopback that counts bytes and can cut or silence what passes through it."""

from __future__ import annotations

import asyncio
from enum import StrEnum

CHUNK_BYTES = 65536


class RelayMode(StrEnum):
    """What the relay does with connections."""

    PASS = "pass"
    CUT = "cut"
    SILENT = "silent"


class Relay:
    """Relay to one address; use as an asynchronous context manager.

    ``CUT`` resets open connections and refuses new ones. ``SILENT`` keeps open connections without
    passing a byte, as when something between the ends has lost track of them, and never answers
    new ones.

    :param target: ``host:port`` behind the relay
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._mode = RelayMode.PASS
        self._passing = asyncio.Event()
        self._passing.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._bytes = 0

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
        """Return the bytes passed in both directions, without TCP and IP headers."""
        return self._bytes

    def set_mode(self, mode: RelayMode) -> None:
        """Change what happens to connections from now on."""
        self._mode = mode
        if mode is RelayMode.CUT:
            self._abort_all()
        if mode is RelayMode.SILENT:
            self._passing.clear()
        else:
            self._passing.set()

    def _abort_all(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._track(writer)
        if self._mode is RelayMode.CUT:
            writer.transport.abort()
            return
        await self._passing.wait()
        host, _, port = self._target.rpartition(":")
        try:
            behind, onward = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._track(onward)
        await asyncio.gather(self._copy(reader, onward), self._copy(behind, writer))

    def _track(self, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._writers.add(writer)
        task.add_done_callback(lambda done: self._writers.discard(writer))

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await self._passing.wait()
                self._bytes += len(chunk)
                writer.write(chunk)
                await writer.drain()
            writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()
