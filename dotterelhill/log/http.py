"""HTTP client of the log with msgpack bodies; docs/design.md, section 3.1, has the protocol."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, TypeVar

import aiohttp
import msgspec

from dotterelhill.log.interface import LogError, LogRecord, LogTrimmedError, ReadResult

CONNECT_TIMEOUT_SECONDS = 2.0
# Exceeds the 5 s by which the log may delay an answer.
APPEND_TIMEOUT_SECONDS = 10.0
# Added to the wait of a long poll. It exceeds the 5 s by which the log may delay an answer. If a
# connection stops responding, 1 s of wait, this timeout and one repeated read take less than the
# 10 s for which evidence is valid.
READ_TIMEOUT_SECONDS = 6.0
KEEPALIVE_SECONDS = 10.0

_CONTENT_TYPE = {"Content-Type": "application/msgpack"}

AnswerT = TypeVar("AnswerT")


class _AppendAnswer(msgspec.Struct, frozen=True):
    first: int
    next: int


class _ReadAnswer(msgspec.Struct, frozen=True):
    records: list[tuple[int, bytes]]
    next: int
    earliest: int


class _TrimmedAnswer(msgspec.Struct, frozen=True):
    earliest: int


_APPEND_DECODER = msgspec.msgpack.Decoder(_AppendAnswer)
_READ_DECODER = msgspec.msgpack.Decoder(_ReadAnswer)
_TRIMMED_DECODER = msgspec.msgpack.Decoder(_TrimmedAnswer)


def _is_refused_before_send(error: Exception) -> bool:
    return isinstance(error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError)


def _is_refused_by_log(status: int) -> bool:
    # The log answers 503 and 4xx before it changes anything; any other status leaves the effect
    # of an append unknown.
    return status == 503 or 400 <= status < 500


def _decode_answer(
    decoder: msgspec.msgpack.Decoder[AnswerT], body: bytes, is_append: bool
) -> AnswerT:
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as error:
        message = f"the log's answer could not be decoded: {error}"
        raise LogError(message, is_effect_unknown=is_append) from error


class HttpLog:
    """HTTP client of one log service.

    :param base_url: ``http://host:port``
    :param append_timeout_seconds: time limit of an append
    :param read_timeout_seconds: time limit of a read, added to the wait of a long poll
    """

    def __init__(
        self,
        base_url: str,
        *,
        append_timeout_seconds: float = APPEND_TIMEOUT_SECONDS,
        read_timeout_seconds: float = READ_TIMEOUT_SECONDS,
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._append_timeout_seconds = append_timeout_seconds
        self._read_timeout_seconds = read_timeout_seconds
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append the records consecutively and return the offset of the first one.

        :raises LogError: when the append fails; with ``is_effect_unknown`` unless the log
            certainly did not append the records
        """
        body = msgspec.msgpack.encode(list(records))
        timeout = _client_timeout(self._append_timeout_seconds)
        _, answer = await self._exchange("POST", stream, timeout, data=body, headers=_CONTENT_TYPE)
        return _decode_answer(_APPEND_DECODER, answer, is_append=True).first

    async def read(
        self, stream: str, start: int, *, limit: int = 1000, wait_seconds: float = 0.0
    ) -> ReadResult:
        """Return records from offset ``start`` on; wait up to ``wait_seconds`` for the first one.

        :param limit: maximum number of records
        :raises LogTrimmedError: when ``start`` is older than the retained records
        :raises LogError: when the log can't be reached
        """
        params = {"from": str(start), "limit": str(limit), "wait": f"{wait_seconds:g}"}
        timeout = _client_timeout(self._read_timeout_seconds + wait_seconds)
        status, body = await self._exchange("GET", stream, timeout, params=params)
        if status == 410:
            raise LogTrimmedError(_decode_answer(_TRIMMED_DECODER, body, is_append=False).earliest)
        answer = _decode_answer(_READ_DECODER, body, is_append=False)
        records = tuple(LogRecord(offset, data) for offset, data in answer.records)
        return ReadResult(records, answer.next, answer.earliest)

    async def _exchange(
        self, method: str, stream: str, timeout: aiohttp.ClientTimeout, **options: Any
    ) -> tuple[int, bytes]:
        is_append = method == "POST"
        url = f"{self._base_url}/streams/{stream}/records"
        try:
            async with self._open_session().request(
                method, url, timeout=timeout, allow_redirects=False, **options
            ) as response:
                status, body = response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            is_unknown = is_append and not _is_refused_before_send(error)
            message = f"{method} {stream}: {type(error).__name__}: {error}"
            raise LogError(message, is_effect_unknown=is_unknown) from error
        if status == 200 or (status == 410 and not is_append):
            return status, body
        is_unknown = is_append and not _is_refused_by_log(status)
        raise LogError(f"{method} {stream}: status {status}", is_effect_unknown=is_unknown)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_SECONDS)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session


def _client_timeout(seconds: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=seconds, connect=CONNECT_TIMEOUT_SECONDS)
