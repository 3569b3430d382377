"""Replay of a trace with its decision class, and check of outcomes after each event."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from dotterelhill.replay.registration import Check, ReplayableSlice, Step, apply_event
from dotterelhill.replay.slices import SLICE_NAMES, registered_slice
from dotterelhill.replay.trace import (
    TRACE_VERSION,
    TraceError,
    TraceHeader,
    TraceLine,
    plain_value,
    typed_value,
)


@dataclass(frozen=True, slots=True)
class OutcomeViolation:
    """Violation of an outcome, at the first event after which it did not hold.

    :param outcome: name of the outcome
    :param reason: description of the violation
    :param number: number of the event in the trace, from 1
    :param at: recorded loop time in seconds
    :param event: the event in JSON types, as in the trace
    """

    outcome: str
    reason: str
    number: int
    at: float
    event_type: str
    event: Any


@dataclass(frozen=True, slots=True)
class ReplayReport:
    """Result of one replay.

    :param events: number of replayed events
    :param actions: number of resulting actions
    :param checked: names of the outcomes that were checked
    :param breaks: first violation of each violated outcome
    :param is_full: whether the recorder had stopped at its size limit
    :param is_torn: whether the last line was incomplete, as a killed process leaves it, and was
        skipped
    """

    slice: str
    events: int
    actions: int
    checked: tuple[str, ...]
    breaks: tuple[OutcomeViolation, ...]
    is_full: bool
    is_torn: bool


def decode_header(lines: Sequence[bytes]) -> TraceHeader:
    """Decode the header of a trace.

    :raises TraceError: when the first line is not a header of a known version
    """
    try:
        first = msgspec.json.decode(lines[0]) if lines else None
    except msgspec.DecodeError as error:
        raise TraceError(f"line 1 is not a trace header: {error}") from None
    # The version is checked before the rest: a later format may have another header.
    version = first.get("trace") if isinstance(first, dict) else None
    if version is None:
        raise TraceError("line 1 is not a trace header")
    if version != TRACE_VERSION:
        raise TraceError(f"unknown trace version {version!r}; this program reads {TRACE_VERSION}")
    try:
        return msgspec.convert(first, TraceHeader)
    except msgspec.ValidationError as error:
        raise TraceError(f"header: {error}") from None


class Player:
    """Player of one trace.

    :param content: bytes of the trace
    :param find_slice: returns the registration of a slice by name, or None
    :raises TraceError: when the trace has no known version or slice
    """

    def __init__(
        self,
        content: bytes,
        find_slice: Callable[[str], ReplayableSlice | None] = registered_slice,
    ) -> None:
        *lines, incomplete_line = content.split(b"\n")
        self._header = decode_header(lines)
        registration = find_slice(self._header.slice)
        if registration is None:
            known = ", ".join(SLICE_NAMES)
            raise TraceError(f"unknown slice {self._header.slice!r}; known: {known}")
        self._is_torn = bool(incomplete_line)
        self._is_full = False
        self._lines = lines[1:]
        self._slice = registration
        self._types = {item.__name__: item for item in self._slice.all_event_types}

    @property
    def header(self) -> TraceHeader:
        """Return the header of the trace."""
        return self._header

    @property
    def outcome_names(self) -> tuple[str, ...]:
        """Return the names of all outcomes of the slice."""
        return tuple(item.name for item in self._slice.outcomes)

    def play(self, expected: Sequence[str] | None = None) -> ReplayReport:
        """Replay the trace with a new decision object and return the result.

        :param expected: names of the outcomes to check; all when None
        :raises TraceError: when an outcome is unknown or a line can't be read
        """
        names = self.outcome_names if expected is None else tuple(expected)
        checks = self._new_checks(names)
        arguments = typed_value(self._header.arguments, self._slice.arguments_type)
        decision = self._slice.build(arguments)
        breaks: dict[str, OutcomeViolation] = {}
        events = actions = 0
        for number, line, event in self._events():
            events = number
            result = apply_event(self._slice, decision, event, line.at)
            actions += len(result)
            step = Step(decision, event, result, line.at, arguments)
            for name, reason in _violations(checks, step):
                # Only the first violation is reported; later ones may be consequences of it.
                breaks.setdefault(
                    name,
                    OutcomeViolation(name, reason, number, line.at, line.type, plain_value(event)),
                )
        return ReplayReport(
            self._slice.name,
            events,
            actions,
            names,
            tuple(breaks.values()),
            self._is_full,
            self._is_torn,
        )

    def _new_checks(self, names: Sequence[str]) -> dict[str, Check]:
        outcomes = {item.name: item for item in self._slice.outcomes}
        for name in names:
            if name in outcomes:
                continue
            known = ", ".join(outcomes) or "none"
            raise TraceError(
                f"unknown outcome {name!r} of slice {self._slice.name}; known: {known}"
            )
        return {name: outcomes[name].new_check() for name in names}

    def _events(self) -> Iterator[tuple[int, TraceLine, Any]]:
        previous_at = float("-inf")
        for number, data in enumerate(self._lines, start=1):
            try:
                line = msgspec.json.decode(data, type=TraceLine)
                if line.full:
                    self._is_full = True
                    return
                event = typed_value(line.event, self._event_type(line.type))
            except (msgspec.DecodeError, TraceError) as error:
                raise TraceError(f"event {number}: {error}") from None
            if line.at < previous_at:
                raise TraceError(f"event {number}: time {line.at:g} is before {previous_at:g}")
            previous_at = line.at
            yield number, line, event

    def _event_type(self, name: str) -> type[Any]:
        if name not in self._types:
            raise TraceError(f"slice {self._slice.name} has no event type {name!r}")
        return self._types[name]


def _violations(checks: Mapping[str, Check], step: Step) -> Iterator[tuple[str, str]]:
    for name, check in checks.items():
        reason = check(step)
        if reason is not None:
            yield name, reason
