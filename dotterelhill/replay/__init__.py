"""Recorder and player of decision events."""

from dotterelhill.replay.player import Break, Player, ReplayReport
from dotterelhill.replay.recorder import Recorder, open_recorder, trace_path
from dotterelhill.replay.registration import (
    Check,
    Outcome,
    RecordedCall,
    ReplayableSlice,
    Step,
    condition,
)
from dotterelhill.replay.slices import registered_slice
from dotterelhill.replay.trace import TRACE_VERSION, TraceError

__all__ = [
    "TRACE_VERSION",
    "Break",
    "Check",
    "Outcome",
    "Player",
    "RecordedCall",
    "Recorder",
    "ReplayReport",
    "ReplayableSlice",
    "Step",
    "TraceError",
    "condition",
    "open_recorder",
    "registered_slice",
    "trace_path",
]
