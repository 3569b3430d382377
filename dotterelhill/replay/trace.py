"""Format of a trace: JSON Lines, a header and then one line for each event."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

import msgspec

TRACE_VERSION = 1
FULL_LINE = b'{"full":true}\n'

# JSON has no such numbers; msgspec would write null and the event could not be read back.
_NON_FINITE = {"Infinity": math.inf, "-Infinity": -math.inf, "NaN": math.nan}


class TraceError(ValueError):
    """A trace can't be replayed."""


class TraceHeader(msgspec.Struct, frozen=True):
    """First line of a trace.

    :param trace: version of the format
    :param slice: name of the registered slice
    :param arguments: construction arguments of the decision class
    :param incarnation: process that wrote the trace
    """

    trace: int
    slice: str
    arguments: Any
    incarnation: str = ""


class TraceLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event, or the mark that the recorder stopped at its bound of bytes.

    :param at: loop time in seconds
    :param type: name of the event type
    """

    at: float = 0.0
    type: str = ""
    event: Any = None
    full: bool = False


@dataclass(frozen=True, slots=True)
class _NumberRules:
    """Replaces numbers that JSON lacks, in both directions."""

    is_reading: bool

    def applied(self, value: Any) -> Any:
        match value:
            case float() if not self.is_reading and not math.isfinite(value):
                return {"$number": "NaN" if math.isnan(value) else _infinity_name(value)}
            case {"$number": name} if self.is_reading:
                return _NON_FINITE[name]
            case dict():
                return {key: self.applied(item) for key, item in value.items()}
            case list() | tuple():
                return [self.applied(item) for item in value]
        return value


def _infinity_name(value: float) -> str:
    return "Infinity" if value > 0 else "-Infinity"


def plain_value(value: Any) -> Any:
    """Return ``value`` in types that JSON has.

    >>> plain_value((1.0, float("-inf")))
    [1.0, {'$number': '-Infinity'}]
    """
    plain = msgspec.to_builtins(value, str_keys=True, order="deterministic")
    return _NumberRules(is_reading=False).applied(plain)


def typed_value(plain: Any, wanted: type[Any]) -> Any:
    """Return the value of type ``wanted`` that :func:`plain_value` made plain.

    :raises TraceError: when the value doesn't have this type
    """
    try:
        read = _NumberRules(is_reading=True).applied(plain)
        return msgspec.convert(read, wanted, str_keys=True)
    except (msgspec.ValidationError, KeyError, TypeError) as error:
        raise TraceError(f"not a {wanted.__name__}: {error}") from None


def encoded_line(value: TraceHeader | TraceLine) -> bytes:
    """Return one line of a trace."""
    return msgspec.json.encode(value) + b"\n"


def event_line(event: Any, at: float) -> bytes:
    """Return the line of one event.

    :param at: loop time in seconds
    :raises TypeError: when the event holds a type that JSON can't express
    """
    data = msgspec.json.encode(event)
    # msgspec writes numbers that JSON lacks as null; only such events need the slower way.
    plain = plain_value(event) if b"null" in data else msgspec.Raw(data)
    return encoded_line(TraceLine(at, type(event).__name__, plain))
