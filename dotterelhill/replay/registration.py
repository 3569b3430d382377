"""What a slice states about itself so that its events can be recorded and replayed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any

from dotterelhill.core.decisions import DecisionCode


@dataclass(frozen=True, slots=True)
class Step:
    """One event of a replay and what the decision class made of it.

    :param decision: the decision object after the event
    :param at: recorded loop time in seconds
    :param arguments: construction arguments of the decision object
    """

    decision: Any
    event: Any
    actions: tuple[Any, ...]
    at: float
    arguments: Any = None


# Returns what is broken after a step, or None.
Check = Callable[[Step], str | None]


@dataclass(frozen=True, slots=True)
class Outcome:
    """Named condition that must hold after every event of a trace.

    :param name: name for ``--expect``
    :param meaning: condition in one sentence; with the tag of its invariant, if it has one
    :param new_check: gives a check with a memory of its own for each replay
    """

    name: str
    meaning: str
    new_check: Callable[[], Check]


@dataclass(frozen=True, slots=True)
class RecordedCall:
    """Method besides ``decide`` that changes the state of the decision object.

    It is recorded as an event, since a replay without it would decide otherwise.

    :param method: name; it takes the fields of ``event_type`` and then the loop time
    :param event_type: frozen data class that stands for the call in a trace
    """

    method: str
    event_type: type[Any]


@dataclass(frozen=True, slots=True)
class ReplayableSlice:
    """Registration of one slice.

    :param name: name in the header of traces
    :param arguments_type: frozen data class or msgspec struct with all that ``build`` needs,
        seeds of random generators included
    :param build: returns a new decision object for the arguments
    :param event_types: every type of event that the decision class takes
    :param outcomes: conditions that a replay can check
    :param calls: methods that are recorded like events; a step has their result as its one action
    :raises ValueError: when two event types or two outcomes share a name
    """

    name: str
    arguments_type: type[Any]
    build: Callable[[Any], DecisionCode[Any, Any]]
    event_types: tuple[type[Any], ...]
    outcomes: tuple[Outcome, ...] = ()
    calls: tuple[RecordedCall, ...] = ()

    @property
    def all_event_types(self) -> tuple[type[Any], ...]:
        """Return the types of events, with those that stand for calls."""
        return self.event_types + tuple(call.event_type for call in self.calls)

    def __post_init__(self) -> None:
        for names in (
            [item.__name__ for item in self.all_event_types],
            [item.name for item in self.outcomes],
        ):
            if len(set(names)) != len(names):
                raise ValueError(f"names of slice {self.name!r} must differ, got {names}")


def condition(name: str, meaning: str, is_kept: Callable[[Step], bool]) -> Outcome:
    """Return an outcome without memory.

    :param is_kept: whether the condition holds after a step

    >>> condition("few", "at most 2 actions", lambda step: len(step.actions) <= 2).name
    'few'
    """

    def check(step: Step) -> str | None:
        return None if is_kept(step) else meaning

    return Outcome(name, meaning, lambda: check)


def applied(
    replayable: ReplayableSlice, decision: DecisionCode[Any, Any], event: Any, at: float
) -> tuple[Any, ...]:
    """Return the actions of an event, or the result of the call that it stands for."""
    for call in replayable.calls:
        if type(event) is call.event_type:
            values = [getattr(event, item.name) for item in fields(event)]
            return (getattr(decision, call.method)(*values, at),)
    return tuple(decision.decide(event, at))
