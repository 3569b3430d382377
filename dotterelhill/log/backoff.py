"""Exponential backoff between attempts to reach the log."""

from __future__ import annotations

import random

MIN_DELAY_SECONDS = 0.2
MAX_DELAY_SECONDS = 5.0


class Backoff:
    """Exponential backoff with jitter, so that processes don't retry at the same time.

    :param rng: random source of the jitter
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._ceiling = MIN_DELAY_SECONDS

    def reset(self) -> None:
        """Restart with the shortest delay after a success."""
        self._ceiling = MIN_DELAY_SECONDS

    def next_seconds(self) -> float:
        """Return the next delay in seconds, between 0.2 and 5.

        >>> backoff = Backoff(random.Random(1))
        >>> delays = [backoff.next_seconds() for _ in range(20)]
        >>> min(delays) >= 0.2, max(delays) <= 5.0
        (True, True)
        """
        self._ceiling = min(MAX_DELAY_SECONDS, self._ceiling * 2)
        return self._rng.uniform(MIN_DELAY_SECONDS, self._ceiling)
