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


class Record(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of all control records."""

    version: int = RECORD_VERSION


class Join(Record, frozen=True, tag=True):
    """An entry incarnation that may hold minions and workers of its failure domain."""

    incarnation: str
    entry: str
    failure_domain: str


class Leave(Record, frozen=True, tag=True):
    """An entry incarnation that holds nothing any more."""

    incarnation: str


class Adopt(Record, frozen=True, tag=True):
    """The manifest that applies to jobs from here on.

    :param digest: hex SHA-256 of the manifest's record
    """

    manifest_version: int
    digest: str


class Hold(Record, frozen=True, tag=True):
    """Claim to be the one user of a minion or worker.

    :param resource: ``minion:NAME`` or ``worker:NAME``
    :param previous: token of the holding that this one follows; 0 for none
    """

    resource: str
    holder: str
    previous: int


class Release(Record, frozen=True, tag=True):
    """End of a holding, after which the holder does not use the resource."""

    resource: str
    token: int


class Assign(Record, frozen=True, tag=True):
    """Assignment of a task to a worker; its offset is the fencing token.

    :param attempt: number of this run of the task, from 1
    :param checkpoint: checkpoint to resume from; empty for none
    """

    task: str
    worker: str
    attempt: int
    checkpoint: str
    writer: str


class Stopped(Record, frozen=True, tag=True):
    """End of one run of a task."""

    task: str
    token: int
    outcome: StopOutcome
    checkpoint: str = ""


class Fence(Record, frozen=True, tag=True):
    """No lease of this worker is renewed from here on."""

    worker: str
    token: int


class Unfence(Record, frozen=True, tag=True):
    """The fenced worker answers again and its lease may be renewed."""

    worker: str
    token: int


class Capacity(Record, frozen=True, tag=True):
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
