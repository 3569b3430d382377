"""What a slice states about itself so that its events can be recorded and replayed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from dotterelhill.core.decisions import DecisionCode


@dataclass(frozen=True, slots=True)
class Step:
    """One event of a replay and what the decision class made of it.

    :param decision: the decision object after the event
    :param at: recorded loop time in seconds
    """

    decision: Any
    event: Any
    actions: tuple[Any, ...]
    at: float


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
class ReplayableSlice:
    """Registration of one slice.

    :param name: name in the header of traces
    :param arguments_type: frozen data class or msgspec struct with all that ``build`` needs,
        seeds of random generators included
    :param build: returns a new decision object for the arguments
    :param event_types: every type of event that the decision class takes
    :param outcomes: conditions that a replay can check
    :raises ValueError: when two event types or two outcomes share a name
    """

    name: str
    arguments_type: type[Any]
    build: Callable[[Any], DecisionCode[Any, Any]]
    event_types: tuple[type[Any], ...]
    outcomes: tuple[Outcome, ...] = ()

    def __post_init__(self) -> None:
        for names in (
            [item.__name__ for item in self.event_types],
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
