"""Recorder and player of decision events."""

from dotterelhill.replay.player import Break, Player, ReplayReport
from dotterelhill.replay.recorder import Recorder, open_recorder, trace_path
from dotterelhill.replay.registration import Check, Outcome, ReplayableSlice, Step, condition
from dotterelhill.replay.slices import replayable_slices
from dotterelhill.replay.trace import TRACE_VERSION, TraceError

__all__ = [
    "TRACE_VERSION",
    "Break",
    "Check",
    "Outcome",
    "Player",
    "Recorder",
    "ReplayReport",
    "ReplayableSlice",
    "Step",
    "TraceError",
    "condition",
    "open_recorder",
    "replayable_slices",
    "trace_path",
]
