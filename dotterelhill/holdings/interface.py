"""What other slices may ask about the use of minions and workers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Permit:
    """How much of a minion this process may use at this moment.

    :param slots: most requests in progress at the minion; 0 forbids a new dispatch
    :param connections: most open connections to the minion
    """

    slots: int
    connections: int


NO_PERMIT = Permit(0, 0)


class HoldingsView(Protocol):
    """Who uses which minion and worker."""

    def permit_for(self, minion: str, now: float) -> Permit:
        """Return what this process may use of a minion at loop time ``now``.

        Callers ask again before each dispatch, since a permit ends by the passing of time.
        """
        ...

    def holder_of(self, resource: str) -> str | None:
        """Return the incarnation that holds ``minion:NAME`` or ``worker:NAME``, or None."""
        ...

    def worker_token(self, worker: str) -> int | None:
        """Return this process's fencing token for a worker, or None when another holds it."""
        ...
