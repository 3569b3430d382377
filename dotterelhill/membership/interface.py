"""Interface of membership for other slices: a view of the other entry processes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Peer:
    """Last known state of another entry process; it may be outdated.

    :param incarnation: id of the current start of the process
    :param forward_address: ``host:port`` for forwarded requests
    :param is_ready: whether the process accepts forwarded requests
    :param heard_at: local loop time, in seconds, as of which the state was known
    :param free_slots: free slots by service name, from the newest heartbeat
    """

    incarnation: str
    failure_domain: str
    region: str
    forward_address: str
    is_ready: bool
    heard_at: float
    free_slots: Mapping[str, int] = field(default_factory=dict)


class PeerView(Protocol):
    """View of the live entry processes other than this one."""

    @property
    def incarnation(self) -> str:
        """Return this process's incarnation id."""
        ...

    def live_peers(self, now: float) -> tuple[Peer, ...]:
        """Return the peers that count as alive at loop time ``now``.

        A peer in the own failure domain counts as alive for 3 s after it was last heard.
        """
        ...

    def leaving_vms(self) -> frozenset[str]:
        """Return the names of the VMs that the VM list marks as leaving."""
        ...
