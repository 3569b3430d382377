"""Interface for other slices: holders of minions and workers, and dispatch permits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Permit:
    """Limits on this process's use of a minion at one moment.

    :param slots: maximum number of requests in flight at the minion; 0 forbids a new dispatch
    :param connections: maximum number of open connections to the minion
    """

    slots: int
    connections: int


NO_PERMIT = Permit(0, 0)


class HoldingsView(Protocol):
    """Read access to the holders of minions and workers."""

    def permit_for(self, minion: str, now: float) -> Permit:
        """Return the slots and connections of a minion that this process may use.

        A permit expires without notice, so callers request a new one before each dispatch.

        :param now: event loop time in seconds
        """
        ...

    def holder_of(self, resource: str) -> str | None:
        """Return the incarnation that holds ``minion:NAME`` or ``worker:NAME``; None for none."""
        ...

    def worker_token(self, worker: str) -> int | None:
        """Return this process's fencing token for a worker; None if it does not hold the worker."""
        ...
