"""What this slice reports about its requests."""

from __future__ import annotations

from typing import Protocol


class RequestMetrics(Protocol):
    """Counters and distributions; names are those of ``dotterelhill.entry.metrics.METRICS``."""

    def count(self, name: str, amount: int = 1, label: str = "") -> None:
        """Add ``amount`` to a counter."""
        ...

    def observe(self, name: str, value: float, label: str = "") -> None:
        """Add a value to a distribution."""
        ...


class NoMetrics:
    """Metrics that are not kept."""

    def count(self, name: str, amount: int = 1, label: str = "") -> None:
        """Drop the amount."""

    def observe(self, name: str, value: float, label: str = "") -> None:
        """Drop the value."""
