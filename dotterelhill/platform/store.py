"""HTTP client of the platform's store."""

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
    PartialRead,
    Record,
    StoreConflictError,
    StoreError,
    StoreFencedError,
    StoreLimits,
    StoreRefusedError,
    StoreSequenceError,
    Stream,
)

# A slow store answers within about 0.3 s; an answer of which no byte arrives for longer than this
# is treated as lost.
READ_TIMEOUT_SECONDS = 1.2
TOTAL_TIMEOUT_SECONDS = 12.0
CONNECT_TIMEOUT_SECONDS = 0.6
# Statuses with which the store refuses records whenever they are sent again.
REFUSED_STATUSES = frozenset({400, 413, 422})
LENGTH_BYTES = 4
READ_HEADER_BYTES = 16
# One read returns up to 1,024 KB, and a record takes up to 256 KB. So a shorter answer than this
# was not cut short at that limit.
COMPLETE_READ_BYTES = 512_000

_TOPICS = {
    Stream.LEADERSHIP: "keyed.leadership",
    Stream.SUBMISSIONS: "keyed.submissions",
    Stream.PROGRESS: "keyed.progress",
    Stream.CONFIGURATION: "keyed.op",
    Stream.MINIONS: "keyed.servers",
}


class _Item(msgspec.Struct, frozen=True):
    key: str
    # Base64; absent for a removed key.
    value: str | None = None


class _NewestAnswer(msgspec.Struct, frozen=True):
    items: list[_Item]
    end: int
    # Whether more pages follow.
    hasMore: bool = False


class _AppendAnswer(msgspec.Struct, frozen=True):
    # Offset after the last record of the partition.
    end: int


class _Refusal(msgspec.Struct, frozen=True):
    reason: str = ""
    # Sequence number that the store expects, in one of the two fields.
    sequence: int = -1
    expected: int = -1


AnswerT = TypeVar("AnswerT")

_NEWEST_DECODER = msgspec.json.Decoder(_NewestAnswer)
_APPEND_DECODER = msgspec.json.Decoder(_AppendAnswer)
_REFUSAL_DECODER = msgspec.json.Decoder(_Refusal)


def encode_records(records: Sequence[Record]) -> bytes:
    """Encode records in the format of an append.

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
    """Decode the complete records at the start of ``data``; skip those that can't be decoded.

    >>> decode_records(b"\\x00\\x00\\x00\\x03\\x01kv")
    (Record(key='k', value=b'v'),)
    """
    records, _ = _parse_records(data)
    return records


def _parse_records(data: bytes) -> tuple[tuple[Record, ...], int]:
    """Return the records that can be decoded and the number of all complete records."""
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


def _ignore_progress() -> None:
    """Ignore that a part of an answer has arrived."""


class PlatformStore:
    """HTTP client that maps the streams of the control processes to topics of the store.

    :param session: returns the HTTP session to use
    :param address: ``host:port`` of the store
    :param partitions: number of partitions of each topic that belongs to the system
    :param config_session: returns the HTTP session for reads of the configuration; the first one if
        None
    :param on_config_bytes: called when a part of an answer about the configuration has arrived
    :param limits: sizes that the store accepts
    """

    def __init__(
        self,
        session: Callable[[], aiohttp.ClientSession],
        address: str,
        partitions: int,
        config_session: Callable[[], aiohttp.ClientSession] | None = None,
        on_config_bytes: Callable[[], None] = _ignore_progress,
        limits: StoreLimits | None = None,
    ) -> None:
        self._limits = limits or StoreLimits()
        self._on_config_bytes = on_config_bytes
        self._session = session
        self._config_session = config_session or session
        self._base_url = f"http://{address}"
        self._partitions = partitions

    def partitions(self, stream: Stream) -> int:
        """Return the number of partitions of a stream.

        Only submissions use more than one. All processes append them one by one, and one partition
        of a store that is slowed down 50 times accepts 10 appends per second. Each other stream has
        a single writer, whose records must stay in order.
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
        """Append all records or none and return the offset after them.

        :param at: offset at which the partition must end; None for any
        :param fence: epoch and sequence number of the append; None for an unfenced append
        :raises StoreError: when the append fails; subclasses give the reason
        """
        params = {"topic": _TOPICS[stream], "part": str(partition)}
        if at is not None:
            params["at"] = str(at)
        if fence is not None:
            params["producer"] = fence.writer
            params["epoch"] = str(fence.epoch)
            params["sequence"] = str(fence.sequence)
        data = encode_records(records)
        largest = max((record.content_bytes for record in records), default=0)
        if largest > self._limits.record_bytes or len(data) > self._limits.call_bytes:
            raise StoreRefusedError(f"append: {len(data)} bytes, largest record {largest}")
        status, body = await self._call("POST", "/log-append", params, data)
        if status == 200:
            return _decode_answer(_APPEND_DECODER, body, is_append=True).end
        if status == 412:
            raise StoreConflictError("the stream has grown")
        if status == 409:
            refusal = _decode_answer(_REFUSAL_DECODER, body, is_append=True)
            if refusal.reason == "fenced":
                raise StoreFencedError("a later leader has written")
            if refusal.reason == "seq":
                raise StoreSequenceError(max(refusal.sequence, refusal.expected))
        if status in REFUSED_STATUSES:
            raise StoreRefusedError(f"append: status {status}")
        is_refused = 400 <= status < 500 or status in (503, 507)
        raise StoreError(f"append: status {status}", is_effect_unknown=not is_refused)

    async def newest(
        self, stream: Stream, partition: int = 0, partial: PartialRead | None = None
    ) -> Batch:
        """Return the newest record of each key and the offset from which to read on.

        The pages of the answer are not a consistent snapshot; the offset is that of the first page,
        so that reading on from it returns every change made since.

        :param partial: pages that an earlier attempt has read, to which this one adds
        :raises StoreError: when the store can't be reached
        """
        pages = PartialRead() if partial is None else partial
        params = {"topic": _TOPICS[stream], "part": str(partition)}
        while True:
            if pages.after:
                params["after"] = pages.after
            status, body = await self._call("GET", "/log-newest", params)
            if status != 200:
                raise StoreError(f"newest records: status {status}")
            answer = _decode_answer(_NEWEST_DECODER, body)
            if pages.next_offset is None:
                pages.next_offset = answer.end
            for item in answer.items:
                pages.records.append(Record(item.key, _decode_value(item)))
            if not answer.hasMore or not answer.items:
                return Batch(tuple(pages.records), pages.next_offset)
            pages.after = answer.items[-1].key

    async def read(
        self, stream: Stream, start: int, wait_seconds: float, partition: int = 0
    ) -> Batch:
        """Return records from offset ``start`` on; wait up to ``wait_seconds`` for the first one.

        :raises HistoryDroppedError: when ``start`` is older than the retained history
        """
        params = {"topic": _TOPICS[stream], "part": str(partition), "from": str(start)}
        if wait_seconds:
            params["waitMs"] = str(int(1000 * wait_seconds))
        status, body = await self._call("GET", "/log-read", params, wait_seconds=wait_seconds)
        if status == 410:
            raise HistoryDroppedError(f"offset {start} is past retention")
        if status != 200 or len(body) < READ_HEADER_BYTES:
            raise StoreError(f"read: status {status}")
        records, count = _parse_records(body[READ_HEADER_BYTES:])
        return Batch(records, start + count, len(body) < COMPLETE_READ_BYTES)

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, str],
        body: bytes | None = None,
        wait_seconds: float = 0.0,
    ) -> tuple[int, bytes]:
        # An answer that is still arriving is not aborted: a large configuration takes seconds over
        # the link between regions, which all processes share, and a new attempt would start over.
        timeout = aiohttp.ClientTimeout(
            total=TOTAL_TIMEOUT_SECONDS,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
            sock_read=READ_TIMEOUT_SECONDS + wait_seconds,
        )
        is_config = params.get("topic") == _TOPICS[Stream.CONFIGURATION]
        session = self._config_session() if is_config else self._session()
        try:
            async with session.request(
                method, self._base_url + path, params=params, data=body, timeout=timeout
            ) as answer:
                if not is_config:
                    return answer.status, await answer.read()
                parts = []
                async for part in answer.content.iter_any():
                    parts.append(part)
                    self._on_config_bytes()
                return answer.status, b"".join(parts)
        except aiohttp.ClientConnectorError as error:
            raise StoreError(f"{path}: {error}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            message = f"{path}: {type(error).__name__}: {error}"
            raise StoreError(message, is_effect_unknown=method == "POST") from error


def _decode_answer(
    decoder: msgspec.json.Decoder[AnswerT], body: bytes, is_append: bool = False
) -> AnswerT:
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError as error:
        message = f"the store's answer can't be read: {error}"
        raise StoreError(message, is_effect_unknown=is_append) from error


def _decode_value(item: _Item) -> bytes | None:
    if item.value is None:
        return None
    try:
        return base64.b64decode(item.value) or None
    except ValueError:
        return b""
