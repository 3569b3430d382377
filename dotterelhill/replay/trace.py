"""Trace format: JSON Lines with a header and then one line for each event."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

import msgspec

TRACE_VERSION = 1
FULL_LINE = b'{"full":true}\n'

# JSON lacks these numbers; msgspec would write null, and the event could not be read back.
_NON_FINITE = {"Infinity": math.inf, "-Infinity": -math.inf, "NaN": math.nan}


class TraceError(ValueError):
    """Raised when a trace can't be replayed."""


class TraceHeader(msgspec.Struct, frozen=True):
    """First line of a trace.

    :param trace: version of the trace format
    :param slice: name of the registered slice
    :param arguments: construction arguments of the decision class
    :param incarnation: id of the process that wrote the trace
    """

    trace: int
    slice: str
    arguments: Any
    incarnation: str = ""


class TraceLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event, or the mark that the recorder stopped at its size limit.

    :param at: loop time of the event in seconds
    :param type: name of the event type
    :param event: the event in JSON types
    :param full: True for the mark, which has no event
    """

    at: float = 0.0
    type: str = ""
    event: Any = None
    full: bool = False


@dataclass(frozen=True, slots=True)
class _NumberRules:
    """Conversion between numbers that JSON lacks and objects that represent them.

    :param is_reading: True from objects to numbers, False from numbers to objects
    """

    is_reading: bool

    def replace_numbers(self, value: Any) -> Any:
        match value:
            case float() if not self.is_reading and not math.isfinite(value):
                return {"$number": "NaN" if math.isnan(value) else _infinity_name(value)}
            case {"$number": name} if self.is_reading:
                return _NON_FINITE[name]
            case dict():
                return {key: self.replace_numbers(item) for key, item in value.items()}
            case list() | tuple():
                return [self.replace_numbers(item) for item in value]
        return value


def _infinity_name(value: float) -> str:
    return "Infinity" if value > 0 else "-Infinity"


def plain_value(value: Any) -> Any:
    """Return ``value`` converted to types that JSON has.

    >>> plain_value((1.0, float("-inf")))
    [1.0, {'$number': '-Infinity'}]
    """
    plain = msgspec.to_builtins(value, str_keys=True, order="deterministic")
    return _NumberRules(is_reading=False).replace_numbers(plain)


def typed_value(plain: Any, wanted: type[Any]) -> Any:
    """Convert the result of :func:`plain_value` back to a value of type ``wanted``.

    :raises TraceError: when the result is not a value of this type
    """
    try:
        read = _NumberRules(is_reading=True).replace_numbers(plain)
        return msgspec.convert(read, wanted, str_keys=True)
    except (msgspec.ValidationError, KeyError, TypeError) as error:
        raise TraceError(f"not a {wanted.__name__}: {error}") from None


def encode_line(value: TraceHeader | TraceLine) -> bytes:
    """Encode one line of a trace."""
    return msgspec.json.encode(value) + b"\n"


def encode_event_line(event: Any, at: float) -> bytes:
    """Encode one event as a line of a trace.

    :param at: loop time in seconds
    :raises TypeError: when the event contains a type that JSON can't represent
    """
    data = msgspec.json.encode(event)
    # msgspec writes numbers that JSON lacks as null; only such events need the slower conversion.
    plain = plain_value(event) if b"null" in data else msgspec.Raw(data)
    return encode_line(TraceLine(at, type(event).__name__, plain))
