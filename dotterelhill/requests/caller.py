"""HTTP server that reads requests of callers or peers and writes the answers."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web
from aiohttp.http_exceptions import LineTooLong
from aiohttp.web_protocol import RequestHandler
from multidict import CIMultiDict

from dotterelhill.core import ErrorKind, RequestError
from dotterelhill.requests.messages import (
    CHUNK_BYTES,
    ERROR_HEADER,
    MAX_HEADERS,
    OUTCOME_HEADER,
    AnswerHead,
    Headers,
    RequestHead,
)

# A connection that hasn't sent its first request head by then is aborted.
HEAD_TIMEOUT_SECONDS = 10.0
IDLE_TIMEOUT_SECONDS = 75.0
# How long the rest of a refused upload is read, so that the caller receives the answer.
LINGER_SECONDS = 2.0
# How long connections that are still open after the drain may take to close.
CLOSE_TIMEOUT_SECONDS = 0.2
DEFAULT_CONNECTIONS_PER_CALLER = 512


class _Answer(web.StreamResponse):
    """Response without the default headers that aiohttp adds."""

    async def _prepare_headers(self) -> None:
        names = {name.lower() for name in self.headers}
        await super()._prepare_headers()
        for name in ("Content-Type", "Server"):
            if name.lower() not in names:
                self.headers.popall(name, None)


class Call:
    """One request of a caller or peer and the answer to it.

    :param request: parsed head and body stream
    :param may_keep_alive: returns whether the connection stays open after the answer
    """

    def __init__(self, request: web.BaseRequest, may_keep_alive: Callable[[], bool]) -> None:
        self._request = request
        self._may_keep_alive = may_keep_alive
        self._answer: _Answer | None = None
        self._is_continue_sent = False
        self._head = _request_head(request)

    @property
    def head(self) -> RequestHead:
        """Return the head of the request."""
        return self._head

    @property
    def is_answer_started(self) -> bool:
        """Return whether sending the answer has begun."""
        return self._answer is not None

    @property
    def response(self) -> web.StreamResponse:
        """Return the aiohttp response of the answer; only valid once it was started."""
        assert self._answer is not None
        return self._answer

    async def read(self) -> bytes:
        """Return the next bytes of the body, at most ``CHUNK_BYTES``; empty at its end.

        :raises RequestError: ``upload_aborted`` when the caller ends the upload early
        """
        self._send_continue()
        try:
            return await self._request.content.read(CHUNK_BYTES)
        except (web.RequestPayloadError, ConnectionError, OSError) as error:
            raise RequestError(ErrorKind.UPLOAD_ABORTED, "the body ended early") from error
        except Exception as error:
            raise RequestError(ErrorKind.UPLOAD_ABORTED, "the body can't be read") from error

    async def send_head(self, head: AnswerHead) -> None:
        """Send the head of an answer, which may hold end-to-end headers only."""
        answer = _Answer(status=head.status, reason=head.reason, headers=CIMultiDict(head.headers))
        self._answer = answer
        if not self._may_keep_alive() or not self._request.content.is_eof():
            answer.force_close()
        await answer.prepare(self._request)

    async def send(self, data: bytes) -> None:
        """Send a part of the answer; blocks while the caller's receive buffer is full."""
        assert self._answer is not None
        await self._answer.write(data)

    async def finish(self) -> None:
        """Complete the answer."""
        assert self._answer is not None
        await self._answer.write_eof()

    def abort(self) -> None:
        """Abort the connection, so that the caller sees that the answer is incomplete."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def send_error(self, error: RequestError) -> None:
        """Send the error as the complete answer."""
        await self.send_head(error_head(error, body := error_body(error)))
        await self.send(body)
        await self.finish()

    def _send_continue(self) -> None:
        if self._is_continue_sent:
            return
        self._is_continue_sent = True
        is_continue_expected = self._request.headers.get("Expect", "").lower() == "100-continue"
        if is_continue_expected and self._request.transport is not None:
            self._request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")


def _request_head(request: web.BaseRequest) -> RequestHead:
    headers = tuple(
        (name.decode("utf-8", "surrogateescape"), value.decode("utf-8", "surrogateescape"))
        for name, value in request.raw_headers
    )
    length: int | None = request.content_length
    if length is None and "Transfer-Encoding" not in request.headers:
        length = 0
    return RequestHead(request.method, request.raw_path, headers, length)


def error_body(error: RequestError) -> bytes:
    """Return the JSON body of an error answer."""
    return msgspec.json.encode(
        {"error": error.kind, "outcome": error.outcome, "detail": error.detail}
    )


def error_head(error: RequestError, body: bytes) -> AnswerHead:
    """Return the head of an error answer."""
    headers: Headers = (
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        (OUTCOME_HEADER, str(error.outcome)),
        (ERROR_HEADER, str(error.kind)),
    )
    if error.answer.retry_after_seconds:
        headers += (("Retry-After", str(error.answer.retry_after_seconds)),)
    return AnswerHead(error.answer.status, "", headers)


class _CallerProtocol(RequestHandler):
    """Connection of one caller, with a timeout for the first request head."""

    __slots__ = ("_head_timer", "_server", "caller")

    def __init__(self, server: CallerServer, **options: Any) -> None:
        super().__init__(server, **options)
        self._server = server
        self._head_timer: asyncio.TimerHandle | None = None
        self.caller = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection and abort it when its caller has too many."""
        super().connection_made(transport)
        self.caller = str((transport.get_extra_info("peername") or ("",))[0])
        if not self._server.admit_connection(self.caller):
            transport.abort()  # type: ignore[attr-defined]
            return
        loop = asyncio.get_running_loop()
        self._head_timer = loop.call_later(
            self._server.head_timeout_seconds, self._abort_on_timeout
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the head timer and release the connection's count."""
        self.cancel_head_timer()
        self._server.release_connection(self.caller)
        super().connection_lost(exc)

    def cancel_head_timer(self) -> None:
        """Cancel the head timeout, once a whole head has arrived."""
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the error answer for a request that can't be parsed.

        :raises ConnectionError: when an answer was already started on the connection
        """
        if request.writer.output_size > 0:
            raise ConnectionError("can't send an error answer: an answer was already started")
        error = _parse_error(status, exc, message)
        self._server.count_refused(error.kind)
        body = error_body(error)
        head = error_head(error, body)
        answer = web.Response(status=head.status, headers=CIMultiDict(head.headers), body=body)
        answer.force_close()
        return answer

    def _abort_on_timeout(self) -> None:
        self._server.count_head_timeout()
        if self.transport is not None:
            self.transport.abort()


def _parse_error(status: int, exc: BaseException | None, message: str | None) -> RequestError:
    if status >= 500:
        return RequestError(ErrorKind.INTERNAL, "see the counters of the process")
    text = str(message or exc or "")
    if isinstance(exc, LineTooLong) or "too many headers" in text.lower():
        return RequestError(ErrorKind.HEAD_TOO_LARGE, "a line or the number of headers")
    return RequestError(ErrorKind.BAD_REQUEST, "the request is not valid HTTP")


class CallerServer(web.Server):
    """HTTP server of one port.

    :param answer: coroutine function that answers one request through its ``Call``
    :param may_keep_alive: returns whether connections stay open after an answer
    :param connections_per_caller: most open connections from one address
    :param head_timeout_seconds: timeout for the first request head of a connection
    :param max_headers: most headers of a request
    """

    def __init__(
        self,
        answer: Callable[[Call], Awaitable[None]],
        may_keep_alive: Callable[[], bool],
        *,
        connections_per_caller: int = DEFAULT_CONNECTIONS_PER_CALLER,
        head_timeout_seconds: float = HEAD_TIMEOUT_SECONDS,
        max_headers: int = MAX_HEADERS,
    ) -> None:
        super().__init__(self._serve, handler_cancellation=True)
        self._answer = answer
        self._may_keep_alive = may_keep_alive
        self._connections_per_caller = connections_per_caller
        self.head_timeout_seconds = head_timeout_seconds
        self._max_headers = max_headers
        self._connection_counts: Counter[str] = Counter()
        self._counters: Counter[str] = Counter()
        self._runner: web.ServerRunner | None = None
        self._site: web.TCPSite | None = None

    @property
    def counters(self) -> Counter[str]:
        """Return counts of connections and requests refused before a head was read, by reason."""
        return self._counters

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return self._connection_counts.total()

    def __call__(self) -> RequestHandler:
        """Return a protocol for a new connection."""
        return _CallerProtocol(
            self,
            loop=asyncio.get_running_loop(),
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=IDLE_TIMEOUT_SECONDS,
            lingering_time=LINGER_SECONDS,
            read_bufsize=CHUNK_BYTES,
            max_headers=self._max_headers,
        )

    def admit_connection(self, caller: str) -> bool:
        """Count a new connection and return whether its caller may have it."""
        self._connection_counts[caller] += 1
        if self._connection_counts[caller] <= self._connections_per_caller:
            return True
        self._counters["connections_refused"] += 1
        return False

    def release_connection(self, caller: str) -> None:
        """Remove a closed connection from its caller's count."""
        self._connection_counts[caller] -= 1
        if self._connection_counts[caller] <= 0:
            del self._connection_counts[caller]

    def count_refused(self, kind: ErrorKind) -> None:
        """Count a request that couldn't be parsed, by error kind."""
        self._counters[str(kind)] += 1

    def count_head_timeout(self) -> None:
        """Count a connection that sent no request head in time."""
        self._counters["head_timeouts"] += 1

    async def listen(self, host: str, port: int) -> str:
        """Start to listen and return the bound ``host:port``."""
        self._runner = web.ServerRunner(self, shutdown_timeout=CLOSE_TIMEOUT_SECONDS)
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, host, port, backlog=1024)
        await self._site.start()
        bound_host, bound_port = self._runner.addresses[0][:2]
        return f"{bound_host}:{bound_port}"

    async def stop_listening(self) -> None:
        """Stop accepting connections; open ones stay open."""
        if self._site is not None:
            await self._site.stop()
            self._site = None
        self.pre_shutdown()

    async def close(self) -> None:
        """Close every connection."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        protocol = request.protocol
        if isinstance(protocol, _CallerProtocol):
            protocol.cancel_head_timer()
        call = Call(request, self._may_keep_alive)
        await self._answer(call)
        return call.response
