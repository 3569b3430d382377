"""Protocol of decision code, which maps typed events to typed actions without I/O."""

from __future__ import annotations

from typing import Protocol, TypeVar

EventT = TypeVar("EventT", contravariant=True)
ActionT = TypeVar("ActionT")


class DecisionCode(Protocol[EventT, ActionT]):
    """Deterministic state machine of one slice.

    It owns its state and uses no socket, log, clock or random source of its own, so that a
    recorded sequence of events always produces the same actions.
    """

    def decide(self, event: EventT, now: float) -> list[ActionT]:
        """Process an event and return the resulting actions.

        :param event: instance of one of the slice's frozen data classes
        :param now: event loop time in seconds; never lower than in the previous call
        """
        ...
