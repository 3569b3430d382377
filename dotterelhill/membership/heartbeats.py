"""Messages between entry processes, and their MessagePack encoding."""

from __future__ import annotations

from dataclasses import dataclass
from typing import get_args

import msgspec

MESSAGE_VERSION = 1


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True, kw_only=True):
    """Base class of all messages between entry processes.

    Messages are encoded as arrays, which are half as long as maps. New fields may only be added
    at the end; decoders ignore additional fields.

    :param sender: incarnation that sent the message
    """

    version: int = MESSAGE_VERSION
    sender: str


class PeerSummary(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State of one process as a delegate relays it to other peers.

    :param incarnation: incarnation id of the described process
    :param control_offset: offset up to which the process has folded ``control``
    :param age: seconds since the delegate, or its source, received a heartbeat of the process
    :param free_slots: free slots by service name
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
    """State of the sending process, addressed to one peer.

    The transit time of a message is unknown to its receiver. The receiver therefore measures the
    duration of a promise and the age of evidence from ``echo``, which is a time on the receiver's
    own clock before the message was sent.

    :param entry: name of the sender's entry VM
    :param stamp: loop time of the sender, which the receiver returns as ``echo``
    :param echo: newest ``stamp`` that the sender received from the receiver; 0 for none
    :param is_promise: whether the sender promises to append no ``Hold`` for the receiver's
        resources for 10 s
    :param config_age: seconds since the sender's newest evidence of ``config``
    :param control_age: seconds since the sender's newest evidence of ``control``
    :param control_offset: offset up to which the sender has folded ``control``
    :param control_through: offset up to which the evidence of ``control`` reaches
    :param free_slots: free slots by service name
    :param summary: state of processes in other failure domains, if the receiver is in the
        sender's domain; state of processes in the sender's domain otherwise
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
    """An accepted manifest.

    :param manifest_version: version of the manifest
    :param record: complete encoded record of the ``config`` stream
    """

    manifest_version: int
    record: bytes


class RecordsWanted(Message, frozen=True, tag=True):
    """Request for ``control`` records, sent by a process that can't read the log.

    :param start: offset of the first requested record
    :param reply_to: peer address of the requester
    """

    start: int
    reply_to: str


class Records(Message, frozen=True, tag=True):
    """Bounded batch of ``control`` records, sent in reply to ``RecordsWanted``.

    :param start: requested offset
    :param through: last offset of the batch, which holds every record from ``start`` on
    :param records: pairs of offset and encoded record
    """

    start: int
    through: int
    records: list[tuple[int, bytes]]


class AppendWanted(Message, frozen=True, tag=True):
    """Request to append records to ``control``, sent by a process that can't reach the log.

    The message may be lost or duplicated. Duplicates are harmless, because each record
    gets a verdict when the stream is folded. The sender learns the outcome by reading the stream,
    directly or through a relay.
    """

    records: list[bytes]


class StateWanted(Message, frozen=True, tag=True):
    """Request for a ledger snapshot, sent by a process without a ledger that can't read the log.

    :param reply_to: peer address of the requester
    """

    reply_to: str


class State(Message, frozen=True, tag=True):
    """Ledger and manifest of the sender, encoded as a snapshot."""

    data: bytes


class UsageSummary(Message, frozen=True, tag=True):
    """Resource usage of the workers that the sender holds, sent to the preferred scheduler.

    :param data: summary encoded by the batch slice
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

_MESSAGE_DECODER = msgspec.msgpack.Decoder(PeerMessage)
_KNOWN_TYPES = frozenset(kind.__name__ for kind in get_args(PeerMessage))


@dataclass(frozen=True, slots=True)
class UnknownMessage:
    """Decoding result for a message of an unknown type.

    :param type: tag of the message
    """

    type: str


@dataclass(frozen=True, slots=True)
class MalformedMessage:
    """Decoding result for bytes that are not a valid message.

    This includes messages of a known type with missing or mistyped fields.

    :param reason: message of the decoding error
    """

    reason: str


def encode_message(message: PeerMessage) -> bytes:
    """Return a message encoded as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode_message(data: bytes) -> PeerMessage | UnknownMessage | MalformedMessage:
    """Decode a message; return ``UnknownMessage`` or ``MalformedMessage`` if that fails.

    >>> decode_message(msgspec.msgpack.encode(["Later", 2, "caxias-1/0"]))
    UnknownMessage(type='Later')
    """
    try:
        return _MESSAGE_DECODER.decode(data)
    except msgspec.DecodeError as error:
        reason = str(error)
    try:
        name, *_ = msgspec.msgpack.decode(data, type=list)
    except (msgspec.DecodeError, ValueError):
        return MalformedMessage(reason)
    if not isinstance(name, str) or name in _KNOWN_TYPES:
        return MalformedMessage(reason)
    return UnknownMessage(name)
