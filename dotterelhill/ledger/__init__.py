"""Deterministic fold of the ``control`` stream."""

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
    Release,
    StopOutcome,
    Stopped,
    Unfence,
)

__all__ = [
    "RECORD_VERSION",
    "Adopt",
    "Assign",
    "Capacity",
    "ControlRecord",
    "Fence",
    "Hold",
    "Join",
    "Leave",
    "Release",
    "StopOutcome",
    "Stopped",
    "Unfence",
]
