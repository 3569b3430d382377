"""Live view of the other entry processes."""

from dotterelhill.membership.interface import Peer, PeerView

__all__ = ["Peer", "PeerView"]
