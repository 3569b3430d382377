"""Which entry incarnation may use which minion or worker."""

from dotterelhill.holdings.interface import NO_PERMIT, HoldingsView, Permit

__all__ = ["NO_PERMIT", "HoldingsView", "Permit"]
