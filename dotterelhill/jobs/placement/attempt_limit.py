"""Limit of the costly attempts of one round, which all that wait get in turn."""

from __future__ import annotations

from collections.abc import Hashable


class AttemptLimit:
    """Number of attempts in one round, shared fairly among those that wait.

    One that was tried is passed over until a round had attempts left for all others. So those that
    can never start do not take the attempts of those that can.

    :param attempts_per_round: number of attempts allowed in each round

    >>> limit = AttemptLimit(1)
    >>> limit.begin_round()
    >>> limit.record("a")
    >>> limit.allows("b")
    False
    >>> limit.begin_round()
    >>> limit.allows("a"), limit.allows("b")
    (False, True)
    """

    def __init__(self, attempts_per_round: int) -> None:
        self._attempts_per_round = attempts_per_round
        self._left = attempts_per_round
        self._tried: set[Hashable] = set()

    def begin_round(self) -> None:
        """Allow the attempts of the round that begins."""
        if self._left > 0:
            self._tried.clear()
        self._left = self._attempts_per_round

    def allows(self, identity: Hashable) -> bool:
        """Return whether one that waits may be tried now."""
        return self._left > 0 and identity not in self._tried

    def record(self, identity: Hashable) -> None:
        """Count an attempt of one that waits."""
        self._left -= 1
        self._tried.add(identity)
