"""Durations that stay safe when two monotonic clocks run at different rates."""

from __future__ import annotations

# Largest relative difference in rate between two VMs' monotonic clocks.
CLOCK_DRIFT = 0.002


def waited_seconds(seconds: float) -> float:
    """Return how long to wait here so that ``seconds`` have passed on any other VM.

    >>> waited_seconds(10.0)
    10.02
    """
    return seconds * (1.0 + CLOCK_DRIFT)


def usable_seconds(seconds: float) -> float:
    """Return how long a grant of ``seconds``, measured by another VM, may be used here.

    >>> usable_seconds(10.0)
    9.98
    """
    return seconds * (1.0 - CLOCK_DRIFT)
