"""Interface through which the requests slice reports metrics."""

from __future__ import annotations

from typing import Protocol


class RequestMetrics(Protocol):
    """Counters and distributions, named as in ``dotterelhill.entry.metrics.METRICS``."""

    def count(self, name: str, amount: int = 1, label: str = "") -> None:
        """Add ``amount`` to a counter."""
        ...

    def observe(self, name: str, value: float, label: str = "") -> None:
        """Add a value to a distribution."""
        ...


class NoMetrics:
    """Implementation of ``RequestMetrics`` that discards all values."""

    def count(self, name: str, amount: int = 1, label: str = "") -> None:
        """Discard the amount."""

    def observe(self, name: str, value: float, label: str = "") -> None:
        """Discard the value."""
