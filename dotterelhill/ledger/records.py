"""Records of the ``control`` stream.

Section 3.3 of docs/design.md lists the verdicts on them.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

# Version of the format and meaning of records; a reader stops at a record of a higher version.
RECORD_VERSION = 1


class StopOutcome(StrEnum):
    """Outcome of one run of a task."""

    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    EVICTED = "evicted"
    LOST = "lost"


class Record(msgspec.Struct, frozen=True, tag=True, kw_only=True, array_like=True):
    """Base of all control records.

    A record is encoded as the array ``[type, version, field...]``, which takes half the bytes of a
    map. A later version of a record may add fields only at its end. All fields are keyword-only:
    msgspec would otherwise encode the version after them, where a reader cannot find it.
    """

    version: int = RECORD_VERSION


class Join(Record, frozen=True, tag=True, kw_only=True, array_like=True):
    """Start of an entry incarnation, which may then hold minions and workers of its domain."""

    incarnation: str
    entry: str
    failure_domain: str


class Leave(Record, frozen=True, tag=True, kw_only=True, array_like=True):
    """End of an entry incarnation; releases all that it held."""

    incarnation: str


class Adopt(Record, frozen=True, tag=True, kw_only=True, array_like=True):
    """Adoption of a manifest, which applies to jobs from this record on.

    :param digest: hex SHA-256 of the manifest's record
    """

    manifest_version: int
    digest: str


class Hold(Record, frozen=True, tag=True, kw_only=True, array_like=True):
    """Claim to exclusive use of a minion or worker; its offset is the fencing token.

    :param resource: ``minion:NAME`` or ``worker:NAME``
    :param previous: token of the holding before this one; 0 for none
    """

    resource: str
    holder: str
    previous: int


class Release(Record, frozen=True, tag=True, kw_only=True, array_like=True):
    """End of a holding; the holder no longer uses the resource."""

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
    """End of one run of a task.

    :param fence: for a lost run, token of the fence under which the writer waited for the lease to
        expire; else 0
    """

    task: str
    token: int
    outcome: StopOutcome
    checkpoint: str = ""
    fence: int = 0


class Fence(Record, frozen=True, tag=True, kw_only=True, array_like=True):
    """Fence of a worker: no lease of it is renewed from this record on."""

    worker: str
    token: int


class Unfence(Record, frozen=True, tag=True, kw_only=True, array_like=True):
    """End of a fence: the worker answers again and its lease may be renewed."""

    worker: str
    token: int


class Capacity(Record, frozen=True, tag=True, kw_only=True, array_like=True):
    """Capacity of a worker.

    :param cpu: number of processors
    :param memory_gb: memory in GB
    """

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
    """Raised for a record of a newer version than this program supports.

    :param version: version of the record
    """

    def __init__(self, version: int) -> None:
        super().__init__(f"record version {version} is above the supported {RECORD_VERSION}")
        self.version = version


def encode_record(record: ControlRecord) -> bytes:
    """Return the bytes of a record for the ``control`` stream.

    >>> msgspec.msgpack.decode(encode_record(Leave(incarnation="caxias-1/00")))
    ['Leave', 1, 'caxias-1/00']
    """
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> ControlRecord | None:
    """Return the decoded record; None if it is torn or not a control record.

    :raises NewerVersionError: if its version is higher than ``RECORD_VERSION``
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
