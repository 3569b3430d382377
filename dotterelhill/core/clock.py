"""Durations that remain safe when two monotonic clocks run at different rates."""

from __future__ import annotations

# Upper bound of the relative rate difference between the monotonic clocks of two VMs.
CLOCK_DRIFT = 0.002


def safe_wait_seconds(seconds: float) -> float:
    """Return the local wait after which ``seconds`` have passed on every other VM.

    >>> safe_wait_seconds(10.0)
    10.02
    """
    return seconds * (1.0 + CLOCK_DRIFT)


def usable_seconds(seconds: float) -> float:
    """Return for how long a grant of ``seconds``, timed by another VM, is valid here.

    >>> usable_seconds(10.0)
    9.98
    """
    return seconds * (1.0 - CLOCK_DRIFT)
