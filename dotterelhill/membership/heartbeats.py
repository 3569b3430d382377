"""Messages between entry processes and their codec."""

from __future__ import annotations

from dataclasses import dataclass
from typing import get_args

import msgspec

MESSAGE_VERSION = 1


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True, kw_only=True):
    """Base of all messages; a reader ignores fields that it doesn't know.

    Messages are arrays, which are half as long as maps; new fields are only added at the end.

    :param sender: incarnation that sent the message
    """

    version: int = MESSAGE_VERSION
    sender: str


class PeerSummary(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a delegate passes on about one process.

    :param age: seconds since the delegate, or its source, heard the process
    """

    incarnation: str
    failure_domain: str
    region: str
    peer_address: str
    forward_address: str
    is_ready: bool
    manifest_version: int
    control_offset: int
    age: float
    free_slots: dict[str, int] = {}


class Heartbeat(Message, frozen=True, tag=True):
    """State of one process, sent to one peer.

    A receiver can't know how long a message was under way. It therefore counts a promise and the
    age of evidence from ``echo``, a time of its own clock before the sender sent the message.

    :param stamp: loop time of the sender, returned by the receiver as ``echo``
    :param echo: newest stamp that the sender heard from the receiver; 0 for none
    :param is_promise: the sender appends no ``Hold`` for the receiver's resources for 10 s
    :param config_age: seconds since the sender's newest evidence of ``config``
    :param control_age: seconds since the sender's newest evidence of ``control``
    :param control_offset: offset up to which the sender has folded ``control``
    :param control_through: offset up to which the evidence of ``control`` reaches
    :param summary: processes of other domains (inside a domain) or of the sender's (between)
    """

    entry: str
    failure_domain: str
    region: str
    peer_address: str
    forward_address: str
    is_ready: bool
    manifest_version: int
    control_offset: int
    control_through: int
    config_age: float
    control_age: float
    stamp: float
    echo: float = 0.0
    is_promise: bool = False
    free_slots: dict[str, int] = {}
    summary: list[PeerSummary] = []


class ManifestRecord(Message, frozen=True, tag=True):
    """An accepted manifest: its version and the whole record of ``config``."""

    manifest_version: int
    record: bytes


class RecordsWanted(Message, frozen=True, tag=True):
    """Request of a process that can't read the log for ``control`` records from ``start`` on.

    :param reply_to: peer address of the requester
    """

    start: int
    reply_to: str


class Records(Message, frozen=True, tag=True):
    """A bounded batch of ``control`` records.

    :param start: offset that was asked for
    :param through: every record from ``start`` up to this offset is in the batch
    """

    start: int
    through: int
    records: list[tuple[int, bytes]]


class AppendWanted(Message, frozen=True, tag=True):
    """Records for ``control`` of a process that can't reach the log.

    The message may be lost or repeated: the verdict of each record makes a repeat harmless, and the
    sender reads the stream, relayed if need be, to learn what became of them.
    """

    records: list[bytes]


class StateWanted(Message, frozen=True, tag=True):
    """Request of a process that has no ledger and can't read the log.

    :param reply_to: peer address of the requester
    """

    reply_to: str


class State(Message, frozen=True, tag=True):
    """Ledger and manifest of the sender, encoded as a snapshot."""

    data: bytes


class UsageSummary(Message, frozen=True, tag=True):
    """Usage of the workers that the sender holds, for the preferred scheduler.

    :param data: summary as the batch slice encodes it
    """

    data: bytes


PeerMessage = (
    Heartbeat
    | ManifestRecord
    | RecordsWanted
    | Records
    | AppendWanted
    | StateWanted
    | State
    | UsageSummary
)

_MESSAGES = msgspec.msgpack.Decoder(PeerMessage)
_KNOWN_TYPES = frozenset(kind.__name__ for kind in get_args(PeerMessage))


@dataclass(frozen=True, slots=True)
class UnknownMessage:
    """A message of a type that this program doesn't know."""

    type: str


@dataclass(frozen=True, slots=True)
class MalformedMessage:
    """Bytes that are no message, or a message of a known type without what it needs."""

    reason: str


def encoded(message: PeerMessage) -> bytes:
    """Return the bytes of a message."""
    return msgspec.msgpack.encode(message)


def decoded(data: bytes) -> PeerMessage | UnknownMessage | MalformedMessage:
    """Return the message in ``data``, or what is wrong with it.

    >>> decoded(msgspec.msgpack.encode(["Later", 2, "caxias-1/0"]))
    UnknownMessage(type='Later')
    """
    try:
        return _MESSAGES.decode(data)
    except msgspec.DecodeError as error:
        reason = str(error)
    try:
        name, *_ = msgspec.msgpack.decode(data, type=list)
    except (msgspec.DecodeError, ValueError):
        return MalformedMessage(reason)
    if not isinstance(name, str) or name in _KNOWN_TYPES:
        return MalformedMessage(reason)
    return UnknownMessage(name)
