"""Records of the ``control`` stream; docs/design.md, section 3.3, states their verdicts."""

from __future__ import annotations

from enum import StrEnum

import msgspec

# Version of the meaning of records; a reader stops deciding at a higher one.
RECORD_VERSION = 1


class StopOutcome(StrEnum):
    """How one run of a task ended."""

    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    EVICTED = "evicted"
    LOST = "lost"


class Record(msgspec.Struct, frozen=True, tag=True, kw_only=True, array_like=True):
    """Base of all control records.

    On the wire a record is the array ``[type, version, field...]``, which takes half the bytes of
    a map. A later version of a record may add fields only at its end. All fields are keyword-only,
    because msgspec would otherwise put the version after them, where a reader can't find it.
    """

    version: int = RECORD_VERSION


class Join(Record, frozen=True, tag=True, kw_only=True, array_like=True):
    """An entry incarnation that may hold minions and workers of its failure domain."""

    incarnation: str
    entry: str
    failure_domain: str


class Leave(Record, frozen=True, tag=True, kw_only=True, array_like=True):
    """An entry incarnation that holds nothing any more."""

    incarnation: str


class Adopt(Record, frozen=True, tag=True, kw_only=True, array_like=True):
    """The manifest that applies to jobs from here on.

    :param digest: hex SHA-256 of the manifest's record
    """

    manifest_version: int
    digest: str


class Hold(Record, frozen=True, tag=True, kw_only=True, array_like=True):
    """Claim to be the one user of a minion or worker.

    :param resource: ``minion:NAME`` or ``worker:NAME``
    :param previous: token of the holding that this one follows; 0 for none
    """

    resource: str
    holder: str
    previous: int


class Release(Record, frozen=True, tag=True, kw_only=True, array_like=True):
    """End of a holding, after which the holder does not use the resource."""

    resource: str
    token: int


class Assign(Record, frozen=True, tag=True, kw_only=True, array_like=True):
    """Assignment of a task to a worker; its offset is the fencing token.

    :param attempt: number of this run of the task, from 1
    :param checkpoint: checkpoint to resume from; empty for none
    """

    task: str
    worker: str
    attempt: int
    checkpoint: str
    writer: str


class Stopped(Record, frozen=True, tag=True, kw_only=True, array_like=True):
    """End of one run of a task."""

    task: str
    token: int
    outcome: StopOutcome
    checkpoint: str = ""


class Fence(Record, frozen=True, tag=True, kw_only=True, array_like=True):
    """No lease of this worker is renewed from here on."""

    worker: str
    token: int


class Unfence(Record, frozen=True, tag=True, kw_only=True, array_like=True):
    """The fenced worker answers again and its lease may be renewed."""

    worker: str
    token: int


class Capacity(Record, frozen=True, tag=True, kw_only=True, array_like=True):
    """What a worker has."""

    worker: str
    rack: str
    failure_domain: str
    cpu: float
    memory_gb: float
    accelerators: int


ControlRecord = (
    Join | Leave | Adopt | Hold | Release | Assign | Stopped | Fence | Unfence | Capacity
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ControlRecord)


class NewerVersionError(ValueError):
    """A record has a version that this program does not know.

    :param version: version of the record
    """

    def __init__(self, version: int) -> None:
        super().__init__(f"record of version {version}, this program knows {RECORD_VERSION}")
        self.version = version


def encode_record(record: ControlRecord) -> bytes:
    """Return the bytes of a record for the ``control`` stream.

    >>> msgspec.msgpack.decode(encode_record(Leave(incarnation="caxias-1/00")))
    ['Leave', 1, 'caxias-1/00']
    """
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> ControlRecord | None:
    """Return the record, or None when it is torn or not a control record.

    :raises NewerVersionError: when its verdict can't be known here
    """
    try:
        record = _DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError):
        _raise_if_newer(data)
        return None
    if record.version > RECORD_VERSION:
        raise NewerVersionError(record.version)
    return record


def _raise_if_newer(data: bytes) -> None:
    try:
        content = msgspec.msgpack.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return
    match content:
        case [str(), int(version), *_] if version > RECORD_VERSION:
            raise NewerVersionError(version)
