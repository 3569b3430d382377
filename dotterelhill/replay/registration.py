"""Registration of a slice, by which its events can be recorded and replayed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any

from dotterelhill.core.decisions import DecisionCode


@dataclass(frozen=True, slots=True)
class Step:
    """One event of a replay and the resulting actions.

    :param decision: the decision object after the event
    :param at: recorded loop time in seconds
    :param arguments: construction arguments of the decision object
    """

    decision: Any
    event: Any
    actions: tuple[Any, ...]
    at: float
    arguments: Any = None


# Returns a description of the violation after a step, or None.
Check = Callable[[Step], str | None]


@dataclass(frozen=True, slots=True)
class Outcome:
    """Named condition that must hold after every event of a trace.

    :param name: name for ``--expect``
    :param meaning: the condition in one sentence, with the tag of its invariant if there is one
    :param new_check: returns a new check with its own state; called once for each replay
    """

    name: str
    meaning: str
    new_check: Callable[[], Check]


@dataclass(frozen=True, slots=True)
class RecordedCall:
    """Method other than ``decide`` that changes the state of the decision object.

    Its calls are recorded as events, because a replay without them would produce other actions.

    :param method: name of the method, whose arguments are the fields of ``event_type`` and then
        the loop time
    :param event_type: frozen data class that represents the call in a trace
    """

    method: str
    event_type: type[Any]


@dataclass(frozen=True, slots=True)
class ReplayableSlice:
    """Registration of one slice.

    :param name: name in the header of traces
    :param arguments_type: frozen data class or msgspec struct with all inputs of ``build``,
        including the seeds of random generators
    :param build: returns a new decision object for the arguments
    :param event_types: all types of events that the decision class accepts
    :param outcomes: conditions that a replay can check
    :param calls: methods whose calls are recorded like events; the result of the call is the only
        action of the step
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
        """Return all types of events, including those that represent calls."""
        return self.event_types + tuple(call.event_type for call in self.calls)

    def __post_init__(self) -> None:
        for names in (
            [item.__name__ for item in self.all_event_types],
            [item.name for item in self.outcomes],
        ):
            if len(set(names)) != len(names):
                raise ValueError(f"names of slice {self.name!r} must differ, got {names}")


def stateless_outcome(name: str, meaning: str, is_satisfied: Callable[[Step], bool]) -> Outcome:
    """Return an outcome whose check keeps no state between steps.

    :param is_satisfied: returns whether the condition holds after a step

    >>> stateless_outcome("few", "at most 2 actions", lambda step: len(step.actions) <= 2).name
    'few'
    """

    def check(step: Step) -> str | None:
        return None if is_satisfied(step) else meaning

    return Outcome(name, meaning, lambda: check)


def apply_event(
    replayable: ReplayableSlice, decision: DecisionCode[Any, Any], event: Any, at: float
) -> tuple[Any, ...]:
    """Apply an event to a decision object and return the resulting actions.

    The result of a call that the event represents counts as its only action.
    """
    for call in replayable.calls:
        if type(event) is call.event_type:
            values = [getattr(event, item.name) for item in fields(event)]
            return (getattr(decision, call.method)(*values, at),)
    return tuple(decision.decide(event, at))
