"""Delays between attempts to reach the log."""

from __future__ import annotations

import random

SHORTEST_SECONDS = 0.2
LONGEST_SECONDS = 5.0


class Backoff:
    """Doubling delays with jitter, so that processes don't return to the log at the same time.

    :param rng: source of the jitter
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._ceiling = SHORTEST_SECONDS

    def reset(self) -> None:
        """Start again from the shortest delay, after a success."""
        self._ceiling = SHORTEST_SECONDS

    def next_seconds(self) -> float:
        """Return the next delay, between 0.2 and 5 s.

        >>> backoff = Backoff(random.Random(1))
        >>> delays = [backoff.next_seconds() for _ in range(20)]
        >>> min(delays) >= 0.2, max(delays) <= 5.0
        (True, True)
        """
        self._ceiling = min(LONGEST_SECONDS, self._ceiling * 2)
        return self._rng.uniform(SHORTEST_SECONDS, self._ceiling)
