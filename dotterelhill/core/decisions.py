"""Protocol of decision code: typed events in, typed actions out, no I/O."""

from __future__ import annotations

from typing import Protocol, TypeVar

EventT = TypeVar("EventT", contravariant=True)
ActionT = TypeVar("ActionT")


class DecisionCode(Protocol[EventT, ActionT]):
    """State machine of one slice.

    It owns its state and touches no socket, log, clock or random source of its own, so that a
    recorded sequence of events always gives the same actions.
    """

    def decide(self, event: EventT, now: float) -> list[ActionT]:
        """Return the actions that ``event`` calls for.

        :param event: frozen data class of the slice
        :param now: time of the event loop in seconds; never lower than in the call before
        """
        ...
