"""Client of the platform's store."""

from __future__ import annotations

import base64
from collections.abc import Callable, Sequence
from typing import TypeVar

import aiohttp
import msgspec

from dotterelhill.control.interface import (
    Batch,
    Fence,
    HistoryDroppedError,
    Record,
    StoreConflictError,
    StoreError,
    StoreFencedError,
    StoreSequenceError,
    Stream,
)

# A slow store answers within about 0.3 s; without a byte for this time the answer is lost.
CALL_TIMEOUT_SECONDS = 1.2
WHOLE_CALL_SECONDS = 12.0
CONNECT_TIMEOUT_SECONDS = 0.6
LENGTH_BYTES = 4
READ_HEADER_BYTES = 16

_TOPICS = {
    Stream.LEADERSHIP: "keyed.leadership",
    Stream.SUBMISSIONS: "keyed.submissions",
    Stream.PROGRESS: "keyed.progress",
    Stream.CONFIGURATION: "keyed.op",
    Stream.MINIONS: "keyed.servers",
}


class _Item(msgspec.Struct, frozen=True):
    key: str
    # In base64; absent for a removed key.
    value: str | None = None


class _NewestAnswer(msgspec.Struct, frozen=True):
    items: list[_Item]
    end: int
    # Whether further pages follow.
    hasMore: bool = False


class _AppendAnswer(msgspec.Struct, frozen=True):
    # Offset after the last record of the partition.
    end: int


class _Refusal(msgspec.Struct, frozen=True):
    reason: str = ""
    # The sequence number that the store expects.
    sequence: int = -1
    expected: int = -1


AnswerT = TypeVar("AnswerT")

_NEWEST_DECODER = msgspec.json.Decoder(_NewestAnswer)
_APPEND_DECODER = msgspec.json.Decoder(_AppendAnswer)
_REFUSAL_DECODER = msgspec.json.Decoder(_Refusal)


def encode_records(records: Sequence[Record]) -> bytes:
    """Return records in the format of an append.

    >>> encode_records([Record("k", b"v")])
    b'\\x00\\x00\\x00\\x03\\x01kv'
    """
    parts = []
    for record in records:
        key = record.key.encode()
        content = bytes([len(key)]) + key + (record.value or b"")
        parts.append(len(content).to_bytes(LENGTH_BYTES, "big") + content)
    return b"".join(parts)


def decode_records(data: bytes) -> tuple[Record, ...]:
    """Return the whole records at the start of ``data``; records that can't be read are left out.

    >>> decode_records(b"\\x00\\x00\\x00\\x03\\x01kv")
    (Record(key='k', value=b'v'),)
    """
    records, _ = _parsed(data)
    return records


def _parsed(data: bytes) -> tuple[tuple[Record, ...], int]:
    """Return the readable records and the number of all whole records."""
    records = []
    count = position = 0
    while position + LENGTH_BYTES <= len(data):
        start = position + LENGTH_BYTES
        end = start + int.from_bytes(data[position:start], "big")
        if end > len(data):
            break
        position = end
        count += 1
        key_end = start + 1 + data[start] if end > start else end + 1
        if key_end > end:
            continue
        try:
            key = data[start + 1 : key_end].decode()
        except UnicodeDecodeError:
            continue
        records.append(Record(key, data[key_end:end] or None))
    return tuple(records), count


class PlatformStore:
    """Streams of the control processes as topics of the store.

    :param address: ``host:port``
    :param partitions: partitions of each topic that the system keeps
    """

    def __init__(
        self, session: Callable[[], aiohttp.ClientSession], address: str, partitions: int
    ) -> None:
        self._session = session
        self._base_url = f"http://{address}"
        self._partitions = partitions

    def partitions(self, stream: Stream) -> int:
        """Return the number of partitions of a stream.

        Only submissions use more than one. They are appended one by one, by all processes, and one
        partition of a store that is slowed 50 times takes 10 appends a second. The other streams
        have one writer, whose records need one order.
        """
        return self._partitions if stream is Stream.SUBMISSIONS else 1

    async def append(
        self,
        stream: Stream,
        records: Sequence[Record],
        *,
        partition: int = 0,
        at: int | None = None,
        fence: Fence | None = None,
    ) -> int:
        """Append all records or none and return the offset after them."""
        params = {"topic": _TOPICS[stream], "part": str(partition)}
        if at is not None:
            params["at"] = str(at)
        if fence is not None:
            params["producer"] = fence.writer
            params["epoch"] = str(fence.epoch)
            params["sequence"] = str(fence.sequence)
        status, body = await self._call("POST", "/log-append", params, encode_records(records))
        if status == 200:
            return _decoded(_APPEND_DECODER, body, is_append=True).end
        if status == 412:
            raise StoreConflictError("the stream has grown")
        if status == 409:
            refusal = _decoded(_REFUSAL_DECODER, body, is_append=True)
            if refusal.reason == "fenced":
                raise StoreFencedError("a later leader has written")
            if refusal.reason == "seq":
                raise StoreSequenceError(max(refusal.sequence, refusal.expected))
        is_refused = 400 <= status < 500 or status in (503, 507)
        raise StoreError(f"append: status {status}", is_effect_unknown=not is_refused)

    async def newest(self, stream: Stream, partition: int = 0) -> Batch:
        """Return the newest record of each key; pages are not a snapshot, so read on from it."""
        records: list[Record] = []
        params = {"topic": _TOPICS[stream], "part": str(partition)}
        next_offset: int | None = None
        while True:
            status, body = await self._call("GET", "/log-newest", params)
            if status != 200:
                raise StoreError(f"newest records: status {status}")
            answer = _decoded(_NEWEST_DECODER, body)
            if next_offset is None:
                next_offset = answer.end
            for item in answer.items:
                records.append(Record(item.key, _decoded_value(item)))
            if not answer.hasMore or not answer.items:
                return Batch(tuple(records), next_offset)
            params["after"] = answer.items[-1].key

    async def read(
        self, stream: Stream, start: int, wait_seconds: float, partition: int = 0
    ) -> Batch:
        """Return records from offset ``start`` on; wait for one up to ``wait_seconds``."""
        params = {"topic": _TOPICS[stream], "part": str(partition), "from": str(start)}
        if wait_seconds:
            params["waitMs"] = str(int(1000 * wait_seconds))
        status, body = await self._call("GET", "/log-read", params, wait_seconds=wait_seconds)
        if status == 410:
            raise HistoryDroppedError(f"offset {start} is past retention")
        if status != 200 or len(body) < READ_HEADER_BYTES:
            raise StoreError(f"read: status {status}")
        records, count = _parsed(body[READ_HEADER_BYTES:])
        return Batch(records, start + count)

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, str],
        body: bytes | None = None,
        wait_seconds: float = 0.0,
    ) -> tuple[int, bytes]:
        # An answer that keeps coming is not cut short: a large configuration takes seconds on a
        # link between regions that all processes share, and a new attempt would start over.
        timeout = aiohttp.ClientTimeout(
            total=WHOLE_CALL_SECONDS,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
            sock_read=CALL_TIMEOUT_SECONDS + wait_seconds,
        )
        try:
            async with self._session().request(
                method, self._base_url + path, params=params, data=body, timeout=timeout
            ) as answer:
                return answer.status, await answer.read()
        except aiohttp.ClientConnectorError as error:
            raise StoreError(f"{path}: {error}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            message = f"{path}: {type(error).__name__}: {error}"
            raise StoreError(message, is_effect_unknown=method == "POST") from error


def _decoded(
    decoder: msgspec.json.Decoder[AnswerT], body: bytes, is_append: bool = False
) -> AnswerT:
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError as error:
        message = f"the store's answer can't be read: {error}"
        raise StoreError(message, is_effect_unknown=is_append) from error


def _decoded_value(item: _Item) -> bytes | None:
    if item.value is None:
        return None
    try:
        return base64.b64decode(item.value) or None
    except ValueError:
        return b""
