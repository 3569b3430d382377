"""HTTP client that sends requests to minions and peers and reads the answers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from contextvars import ContextVar
from dataclasses import dataclass
from typing import Protocol

import aiohttp
from aiohttp.client_reqrep import ClientRequest
from aiohttp.connector import Connection
from aiohttp.tracing import Trace
from multidict import CIMultiDict
from yarl import URL

from dotterelhill.core import ErrorKind, RequestError
from dotterelhill.requests.messages import CHUNK_BYTES, AnswerHead, Headers, is_valid_utf8
from dotterelhill.requests.slots import RESERVED_SECONDS

CONNECT_TIMEOUT_SECONDS = 2.0
# Below the idle timeout of common servers, so that a server rarely closes a kept connection just
# as a request that must not be repeated is sent on it.
KEEPALIVE_SECONDS = 10.0
# How often the silence timeout is recomputed while an exchange connects or uploads.
SILENCE_CHECK_SECONDS = 0.1
_AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
_BODILESS_STATUSES = frozenset({204, 304})


class Body(Protocol):
    """Body of a request, read in chunks of at most ``CHUNK_BYTES``."""

    async def read(self) -> bytes:
        """Return the next bytes; empty at the end.

        :raises RequestError: ``upload_aborted`` when the caller ended the upload early
        """
        ...


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """One attempt to send a request to one address.

    :param address: ``host:port``
    :param method: HTTP method
    :param raw_path: request target (path and query)
    :param headers: complete headers to send
    :param body_start: bytes of the body that were read before the dispatch
    :param body_rest: body after ``body_start``, or None when that is the whole body
    :param connections: most open connections to the address
    :param silence_seconds: longest time without a byte from the minion or peer
    """

    address: str
    method: str
    raw_path: str
    headers: Headers
    body_start: bytes
    body_rest: Body | None
    connections: int
    silence_seconds: float


class _NotPermittedError(Exception):
    """The permit for the minion ended during connect; nothing was sent."""


class Exchange:
    """One attempt in progress: a request on its way to a minion or peer, and its answer.

    :param session: pool of connections to the address
    :param request: what to send and where
    :param may_send: returns whether the request may be sent; called on the open connection right
        before the first byte
    :param on_end: called once when the exchange ends: the answer is complete, the attempt failed,
        or the time after ``abandon`` has passed; the minion then counts as done with the request
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        request: OutgoingRequest,
        may_send: Callable[[], bool],
        on_end: Callable[[], None],
    ) -> None:
        self._session = session
        self._request = request
        self._may_send = may_send
        self._on_end = on_end
        self._connection: Connection | None = None
        self._response: aiohttp.ClientResponse | None = None
        self._upload_error: RequestError | None = None
        self._silent_since: float | None = None
        self._is_dispatched = False
        self._is_ended = False
        self._is_upload_done = request.body_rest is None
        self._abandoned = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._task = self._loop.create_task(self._send())
        self._task.add_done_callback(self._end_on_failure)

    @property
    def is_dispatched(self) -> bool:
        """Return whether a byte of the request may have reached the minion."""
        return self._is_dispatched

    async def head(self, seconds_left: float) -> AnswerHead:
        """Return the head of the answer.

        :param seconds_left: seconds until the request's deadline
        :raises RequestError: when no valid answer arrives in time
        """
        expires_at = self._loop.time() + seconds_left
        while not self._task.done() and self._upload_error is None:
            now = self._loop.time()
            wait_until = expires_at
            if self._silent_since is not None:
                wait_until = min(expires_at, self._silent_since + self._request.silence_seconds)
            if now >= wait_until:
                raise self._timeout_error(is_silent=wait_until < expires_at)
            is_timeout_fixed = self._is_upload_done and self._silent_since is not None
            wait_seconds = (
                wait_until - now
                if is_timeout_fixed
                else min(wait_until - now, SILENCE_CHECK_SECONDS)
            )
            await asyncio.wait({self._task}, timeout=wait_seconds)
        if self._upload_error is not None:
            raise self._error(self._upload_error.kind, self._upload_error.detail)
        return self._validated_head(self._task_response())

    async def read(self, seconds_left: float) -> bytes:
        """Return the next bytes of the answer, at most ``CHUNK_BYTES``; empty at its end.

        :param seconds_left: seconds until the request's deadline
        :raises RequestError: when the answer is truncated, stalls or passes the deadline
        """
        assert self._response is not None
        seconds = min(seconds_left, self._request.silence_seconds)
        content = self._response.content
        try:
            chunk = content.read_nowait(CHUNK_BYTES)
            if not chunk and not content.at_eof():
                async with asyncio.timeout(seconds):
                    chunk = await content.read(CHUNK_BYTES)
        except TimeoutError as error:
            raise self._timeout_error(is_silent=seconds < seconds_left) from error
        except (aiohttp.ClientError, OSError) as error:
            raise self._error(ErrorKind.ANSWER_TRUNCATED, "the answer broke off") from error
        if not chunk:
            self._finish()
        return chunk

    def abandon(self) -> None:
        """Stop reading the answer and end the exchange without reuse of its connection.

        The exchange ends at once when it was not dispatched or its answer has begun. Otherwise it
        ends when the answer begins or the attempt fails, at the latest after ``RESERVED_SECONDS``.
        """
        if self._is_ended or self._abandoned.is_set():
            return
        self._abandoned.set()
        if not self._is_dispatched or self._task.done():
            self._close()
            return
        if not self._is_upload_done and self._connection is not None:
            _half_close(self._connection)
        self._loop.call_later(RESERVED_SECONDS, self._close)
        self._task.add_done_callback(lambda _: self._close())

    async def _send(self) -> aiohttp.ClientResponse:
        _CURRENT_EXCHANGE.set(self)
        request = self._request
        host, _, port = request.address.rpartition(":")
        # The whole target is passed as an encoded path, which keeps even an empty query.
        url = URL.build(
            scheme="http", host=host, port=int(port), path=request.raw_path, encoded=True
        )
        self._response = await self._session.request(
            request.method,
            url,
            headers=_merge_header_names(request.headers),
            data=self._body(),
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=min(CONNECT_TIMEOUT_SECONDS, request.silence_seconds)
            ),
            skip_auto_headers=_AUTO_HEADERS,
        )
        return self._response

    def _body(self) -> bytes | AsyncIterator[bytes] | None:
        if self._request.body_rest is not None:
            return self._upload()
        return self._request.body_start or None

    async def _upload(self) -> AsyncIterator[bytes]:
        assert self._request.body_rest is not None
        chunk = self._request.body_start
        try:
            while True:
                if chunk:
                    self._silent_since = self._loop.time()
                    yield chunk
                self._silent_since = None
                chunk = await self._request.body_rest.read()
                if not chunk:
                    break
        except RequestError as error:
            # ``head`` raises the error and its caller abandons the exchange. That half-closes the
            # connection, on which the minion ends the incomplete request.
            self._upload_error = error
            await asyncio.sleep(RESERVED_SECONDS)
            raise
        self._is_upload_done = True
        self._silent_since = self._loop.time()

    def confirm_dispatch(self, connection: Connection) -> None:
        """Mark the request as dispatched on ``connection``, right before its first byte.

        :raises _NotPermittedError: when the exchange was abandoned or its permit has ended
        """
        if self._abandoned.is_set() or not self._may_send():
            raise _NotPermittedError
        self._connection = connection
        self._is_dispatched = True
        if self._is_upload_done:
            self._silent_since = self._loop.time()

    def _task_response(self) -> aiohttp.ClientResponse:
        try:
            return self._task.result()
        except _NotPermittedError as error:
            raise self._error(ErrorKind.CONNECT_FAILED, "the permit for it ended") from error
        except (aiohttp.ClientError, OSError, asyncio.CancelledError) as error:
            if self._is_dispatched:
                detail = "the connection ended before an answer"
                raise self._error(ErrorKind.MINION_CONNECTION_LOST, detail) from error
            raise self._error(ErrorKind.CONNECT_FAILED, "no connection") from error

    def _validated_head(self, response: aiohttp.ClientResponse) -> AnswerHead:
        headers = tuple(
            (name.decode("utf-8", "surrogateescape"), value.decode("utf-8", "surrogateescape"))
            for name, value in response.raw_headers
        )
        if not is_valid_utf8(headers):
            raise self._error(ErrorKind.ANSWER_TRUNCATED, "a header is not valid UTF-8")
        is_framed = "Content-Length" in response.headers or "chunked" in response.headers.get(
            "Transfer-Encoding", ""
        )
        has_body = self._request.method != "HEAD" and response.status not in _BODILESS_STATUSES
        if has_body and not is_framed:
            # The end of such an answer can't be told from a minion that crashed while sending it.
            raise self._error(ErrorKind.ANSWER_TRUNCATED, "the answer states no length")
        return AnswerHead(response.status, response.reason or "", headers)

    def _timeout_error(self, *, is_silent: bool) -> RequestError:
        if not self._is_dispatched:
            return self._error(ErrorKind.DEADLINE_BEFORE_DISPATCH, "while connecting")
        if not self._is_upload_done and self._silent_since is None:
            return self._error(ErrorKind.UPLOAD_ABORTED, "the body arrived too slowly")
        if is_silent:
            return self._error(ErrorKind.MINION_SILENT, "no byte arrived in time")
        return self._error(ErrorKind.DEADLINE_AFTER_DISPATCH, "no complete answer in time")

    def _error(self, kind: ErrorKind, detail: str) -> RequestError:
        return RequestError(kind, detail, is_dispatched=self._is_dispatched)

    def _finish(self) -> None:
        """End an exchange whose answer is complete and release its connection for reuse."""
        assert self._response is not None
        if not self._is_upload_done:
            # The minion would read the rest of the upload as the start of another request.
            self._response.close()
        self._response.release()
        self._notify_end()

    def _close(self) -> None:
        if self._is_ended:
            return
        if not self._task.done():
            self._task.cancel()
        if self._response is not None:
            self._response.close()
        self._notify_end()

    def _end_on_failure(self, task: asyncio.Task[aiohttp.ClientResponse]) -> None:
        if task.cancelled() or task.exception() is not None:
            self._notify_end()

    def _notify_end(self) -> None:
        if not self._is_ended:
            self._is_ended = True
            self._on_end()


_CURRENT_EXCHANGE: ContextVar[Exchange] = ContextVar("current_exchange")


def _merge_header_names(headers: Headers) -> CIMultiDict[str]:
    """Return the headers with the same spelling for each occurrence of a name.

    aiohttp keeps only the last value of a header that is repeated in another letter case.
    """
    spelling: dict[str, str] = {}
    return CIMultiDict((spelling.setdefault(name.lower(), name), value) for name, value in headers)


def _half_close(connection: Connection) -> None:
    transport = connection.transport
    if transport is not None and not transport.is_closing() and transport.can_write_eof():
        with contextlib.suppress(OSError, RuntimeError):
            transport.write_eof()


class _GuardedConnector(aiohttp.TCPConnector):
    """Connector that provides at most one connection for each exchange.

    When a kept connection turns out to be closed, the aiohttp session would send a GET or PUT again
    on a second one. Retries are decided in the ``retries`` module only.
    """

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        exchange = _CURRENT_EXCHANGE.get()
        if exchange.is_dispatched:
            raise aiohttp.ClientConnectionError(
                "the request was already sent on another connection"
            )
        connection = await super().connect(req, traces, timeout)
        while connection.protocol is not None and connection.protocol.should_close:
            # Bytes that arrived while the connection was idle would be read as the answer to this
            # request.
            connection.close()
            connection = await super().connect(req, traces, timeout)
        try:
            exchange.confirm_dispatch(connection)
        except _NotPermittedError:
            connection.release()
            raise
        return connection


class _Pool:
    """Connection pool of one address."""

    def __init__(self) -> None:
        self.in_use = 0
        self.peak_in_use = 0
        self.session = aiohttp.ClientSession(
            connector=_GuardedConnector(limit=0, keepalive_timeout=KEEPALIVE_SECONDS),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            read_bufsize=CHUNK_BYTES,
        )


class MinionClient:
    """HTTP client for minions and peers with one connection pool for each address."""

    def __init__(self) -> None:
        self._pools: dict[str, _Pool] = {}
        self._retired: set[_Pool] = set()
        self._closing: set[asyncio.Task[None]] = set()

    @property
    def in_use(self) -> dict[str, int]:
        """Return the number of connections in use by address."""
        return {address: pool.in_use for address, pool in self._pools.items()}

    def exchange(
        self,
        request: OutgoingRequest,
        may_send: Callable[[], bool],
        on_end: Callable[[], None],
    ) -> Exchange:
        """Start one attempt and return its exchange; see ``Exchange`` for the callbacks."""
        pool = self._pool_for(request)
        pool.in_use += 1
        pool.peak_in_use = max(pool.peak_in_use, pool.in_use)

        def on_exchange_end() -> None:
            pool.in_use -= 1
            if pool in self._retired and not pool.in_use:
                self._retired.discard(pool)
                self._close_in_background(pool)
            on_end()

        return Exchange(pool.session, request, may_send, on_exchange_end)

    def retain(self, addresses: frozenset[str]) -> None:
        """Close the connections to all other addresses, busy ones when their exchange ends."""
        for address in [item for item in self._pools if item not in addresses]:
            self._retire(address)

    def close_idle(self, address: str) -> None:
        """Close the connections to one address, busy ones when their exchange ends."""
        if address in self._pools:
            self._retire(address)

    async def close(self) -> None:
        """Close every connection."""
        pools = [*self._pools.values(), *self._retired]
        self._pools.clear()
        self._retired.clear()
        for pool in pools:
            await pool.session.close()
        for task in list(self._closing):
            await task

    def _pool_for(self, request: OutgoingRequest) -> _Pool:
        pool = self._pools.get(request.address)
        # A pool never holds more open connections than were in use at once. When the permit falls
        # below that number, the pool is replaced and its idle connections are closed.
        if pool is not None and pool.peak_in_use > request.connections:
            self._retire(request.address)
            pool = None
        if pool is None:
            pool = self._pools[request.address] = _Pool()
        return pool

    def _retire(self, address: str) -> None:
        pool = self._pools.pop(address)
        if pool.in_use:
            self._retired.add(pool)
        else:
            self._close_in_background(pool)

    def _close_in_background(self, pool: _Pool) -> None:
        task = asyncio.get_running_loop().create_task(pool.session.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
