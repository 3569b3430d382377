"""Ledger of incarnations, holdings, workers and tasks: a deterministic fold of ``control``."""

from dotterelhill.ledger.amounts import Amounts
from dotterelhill.ledger.feed import ControlFeed, ControlRelay, FeedUpdate
from dotterelhill.ledger.fold import Ledger, VersionNotAcceptedError
from dotterelhill.ledger.holders import Holders
from dotterelhill.ledger.placements import Placements
from dotterelhill.ledger.records import (
    RECORD_VERSION,
    Adopt,
    Assign,
    Capacity,
    ControlRecord,
    Fence,
    Hold,
    Join,
    Leave,
    NewerVersionError,
    Release,
    StopOutcome,
    Stopped,
    Unfence,
    decode_record,
    encode_record,
)
from dotterelhill.ledger.snapshot_writer import SnapshotWriter
from dotterelhill.ledger.state import (
    Ended,
    EndReason,
    Holding,
    Incarnation,
    JobLedger,
    Run,
    Task,
    TaskState,
    Worker,
)
from dotterelhill.ledger.verdict import RecordVerdict, Refusal, VerdictKind

__all__ = [
    "RECORD_VERSION",
    "Adopt",
    "Amounts",
    "Assign",
    "Capacity",
    "ControlFeed",
    "ControlRecord",
    "ControlRelay",
    "EndReason",
    "Ended",
    "FeedUpdate",
    "Fence",
    "Hold",
    "Holders",
    "Holding",
    "Incarnation",
    "JobLedger",
    "Join",
    "Leave",
    "Ledger",
    "NewerVersionError",
    "Placements",
    "RecordVerdict",
    "Refusal",
    "Release",
    "Run",
    "SnapshotWriter",
    "StopOutcome",
    "Stopped",
    "Task",
    "TaskState",
    "Unfence",
    "VerdictKind",
    "VersionNotAcceptedError",
    "Worker",
    "decode_record",
    "encode_record",
]
