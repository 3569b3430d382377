"""Recording of the events of a decision object to a trace of limited size."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, BinaryIO

from dotterelhill.core.decisions import DecisionCode
from dotterelhill.replay.registration import RecordedCall, ReplayableSlice
from dotterelhill.replay.trace import (
    FULL_LINE,
    TRACE_VERSION,
    TraceHeader,
    encode_event_line,
    encode_line,
    plain_value,
)


def trace_path(trace_file: str, slice_name: str) -> Path:
    """Return the path of the trace of one slice.

    >>> trace_path("/run/dotterelhill/trace", "holdings").name
    'trace.holdings'
    """
    return Path(f"{trace_file}.{slice_name}")


class Recorder:
    """Decision object that writes each event to a trace before it passes the event on.

    Attributes other than ``decide`` are those of the recorded decision object, so that a service
    can use the recorder in its place. An error in writing the trace stops the recording, but never
    the decisions.

    :param replayable: registration of the slice
    :param decision: object made by ``replayable.build(arguments)``, before its first event
    :param arguments: construction arguments, an instance of the slice's ``arguments_type``
    :param output: unbuffered binary file, so that no event is lost when the process is killed
    :param largest_bytes: maximum size of the trace
    :param incarnation: id of this process for the header
    :param on_count: called for each event with the name of the counter to increase:
        ``trace.events`` or ``trace.dropped``
    """

    def __init__(
        self,
        replayable: ReplayableSlice,
        decision: DecisionCode[Any, Any],
        arguments: Any,
        output: BinaryIO,
        largest_bytes: int,
        *,
        incarnation: str = "",
        on_count: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._decision = decision
        self._event_types = frozenset(replayable.all_event_types)
        self._calls = {call.method: call for call in replayable.calls}
        self._output = output
        self._bytes_left = largest_bytes - len(FULL_LINE)
        self._on_count = on_count
        self._events = 0
        self._dropped = 0
        self._stop_reason = ""
        header = TraceHeader(TRACE_VERSION, replayable.name, plain_value(arguments), incarnation)
        self._write(encode_line(header))

    @property
    def decision(self) -> DecisionCode[Any, Any]:
        """Return the recorded decision object."""
        return self._decision

    @property
    def recorded_events(self) -> int:
        """Return the number of events in the trace."""
        return self._events

    @property
    def dropped_events(self) -> int:
        """Return the number of events that were not recorded because the recording had stopped."""
        return self._dropped

    @property
    def stop_reason(self) -> str:
        """Return the reason why the recording stopped; empty while it continues."""
        return self._stop_reason

    def __getattr__(self, name: str) -> Any:
        call = self._calls.get(name)
        if call is not None:
            return partial(self._record_call, call)
        return getattr(self._decision, name)

    def decide(self, event: Any, now: float) -> list[Any]:
        """Record the event and return the actions of the recorded decision object."""
        self._record(event, now)
        return self._decision.decide(event, now)

    def _record_call(self, call: RecordedCall, *arguments: Any) -> Any:
        *values, now = arguments
        self._record(call.event_type(*values), now)
        return getattr(self._decision, call.method)(*arguments)

    def close(self) -> None:
        """Stop the recording and close the file of the trace."""
        self._stop("closed")
        self._output.close()

    def _record(self, event: Any, now: float) -> None:
        if not self._stop_reason:
            self._write_event(event, now)
        if self._stop_reason:
            self._dropped += 1
            self._on_count("trace.dropped")
            return
        self._events += 1
        self._on_count("trace.events")

    def _write_event(self, event: Any, now: float) -> None:
        if type(event) not in self._event_types:
            self._stop(f"event type {type(event).__name__} is not registered")
            return
        try:
            line = encode_event_line(event, now)
        except (TypeError, ValueError, RecursionError) as error:
            self._stop(f"{type(event).__name__}: {error}")
            return
        self._write(line)

    def _write(self, line: bytes) -> None:
        try:
            if len(line) > self._bytes_left:
                self._stop("full")
                self._output.write(FULL_LINE)
                return
            self._output.write(line)
        except OSError as error:
            self._stop(f"file: {error.strerror}")
            return
        self._bytes_left -= len(line)

    def _stop(self, reason: str) -> None:
        self._stop_reason = self._stop_reason or reason


def open_recorder(
    replayable: ReplayableSlice,
    arguments: Any,
    trace_file: str,
    trace_bytes: int,
    *,
    decision: DecisionCode[Any, Any] | None = None,
    incarnation: str = "",
    on_count: Callable[[str], None] = lambda name: None,
) -> Recorder:
    """Open the trace file of a slice and return a recorder around its decision object.

    An earlier file is overwritten, because the clock of the event loop restarts with the process.

    :param trace_file: value of the setting ``trace_file``; the name of the slice is appended to it
    :param trace_bytes: value of the setting ``trace_bytes``: maximum size of the trace
    :param decision: decision object before its first event; a new one if None
    :raises OSError: when the file can't be opened
    """
    path = trace_path(trace_file, replayable.name)
    output: BinaryIO = path.open("wb", buffering=0)
    return Recorder(
        replayable,
        replayable.build(arguments) if decision is None else decision,
        arguments,
        output,
        trace_bytes,
        incarnation=incarnation,
        on_count=on_count,
    )
