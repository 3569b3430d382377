"""What other slices may ask about the other entry processes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Peer:
    """Another entry process as this one sees it; a view that may be wrong.

    :param incarnation: id of its present start
    :param forward_address: ``host:port`` for forwarded requests
    :param is_ready: whether it takes forwarded requests
    :param free_slots: free slots by service name, from its newest heartbeat
    :param heard_at: loop time of its newest heartbeat here
    """

    incarnation: str
    failure_domain: str
    region: str
    forward_address: str
    is_ready: bool
    heard_at: float
    free_slots: Mapping[str, int] = field(default_factory=dict)


class PeerView(Protocol):
    """The live entry processes, without this one."""

    @property
    def incarnation(self) -> str:
        """Return this process's incarnation id."""
        ...

    def live_peers(self, now: float) -> tuple[Peer, ...]:
        """Return the peers that were heard within the last 3 s."""
        ...

    def leaving_vms(self) -> frozenset[str]:
        """Return the names that the VM list marks as leaving."""
        ...
