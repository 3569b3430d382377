"""Ownership of minions and workers: which entry incarnation may use each of them."""

from dotterelhill.holdings.decision import HoldingsDecision
from dotterelhill.holdings.interface import NO_PERMIT, HoldingsView, Permit
from dotterelhill.holdings.service import Appender, Holdings, LedgerView

__all__ = [
    "NO_PERMIT",
    "Appender",
    "Holdings",
    "HoldingsDecision",
    "HoldingsView",
    "LedgerView",
    "Permit",
]
