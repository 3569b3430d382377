"""Recording and replay of decision events."""

from dotterelhill.replay.player import OutcomeViolation, Player, ReplayReport
from dotterelhill.replay.recorder import Recorder, open_recorder, trace_path
from dotterelhill.replay.registration import (
    Check,
    Outcome,
    RecordedCall,
    ReplayableSlice,
    Step,
    stateless_outcome,
)
from dotterelhill.replay.slices import registered_slice
from dotterelhill.replay.trace import TRACE_VERSION, TraceError

__all__ = [
    "TRACE_VERSION",
    "Check",
    "Outcome",
    "OutcomeViolation",
    "Player",
    "RecordedCall",
    "Recorder",
    "ReplayReport",
    "ReplayableSlice",
    "Step",
    "TraceError",
    "open_recorder",
    "registered_slice",
    "stateless_outcome",
    "trace_path",
]
