"""Speed of one minion, as the ratio of observed to expected durations of its runs."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp, log, sqrt

# Minions become slow for some tens of seconds. Older observations have less than 37 % of the
# weight of new ones.
DECAY_SECONDS = 30.0
# With fewer observations, a single straggler would make its minion look slow.
MIN_OBSERVATIONS = 4.0
# The mean logarithm of the ratio is certain when it differs from 0 by this many standard errors.
CERTAIN_STANDARD_ERRORS = 3.0
# A minion with a certain ratio above this one is slow. Slow machines work at an eighth of their
# speed, and interference with other tasks stays well below a factor of 2.
SLOW_RATIO = 2.0
# Spread of the logarithm that a few equal observations can't rule out.
MIN_DEVIATION = 0.1


@dataclass(slots=True)
class MinionSpeed:
    """Decayed mean of the logarithm of observed to expected durations on one minion.

    :param ratio: observed to expected duration; 1.0 while it is not certain
    :param is_slow: whether the ratio is certain and above ``SLOW_RATIO``
    :param updated_at: loop time of the newest observation
    :param decay_seconds: age at which an observation has 37 % of the weight of a new one
    """

    ratio: float = 1.0
    is_slow: bool = False
    updated_at: float = 0.0
    decay_seconds: float = DECAY_SECONDS
    _weight: float = 0.0
    _log_sum: float = 0.0
    _log_square_sum: float = 0.0

    @property
    def observations(self) -> float:
        """Return the decayed number of observations."""
        return self._weight

    def record(self, observed_seconds: float, expected_seconds: float, now: float) -> None:
        """Record the duration of a run that ended done."""
        decay = exp((self.updated_at - now) / self.decay_seconds) if self._weight else 0.0
        value = log(observed_seconds / expected_seconds)
        self._weight = 1.0 + decay * self._weight
        self._log_sum = value + decay * self._log_sum
        self._log_square_sum = value * value + decay * self._log_square_sum
        self.updated_at = now
        mean = self._log_sum / self._weight
        variance = max(0.0, self._log_square_sum / self._weight - mean * mean)
        error = max(MIN_DEVIATION, sqrt(variance)) / sqrt(self._weight)
        is_certain = (
            self._weight >= MIN_OBSERVATIONS and abs(mean) > CERTAIN_STANDARD_ERRORS * error
        )
        self.ratio = exp(mean) if is_certain else 1.0
        self.is_slow = self.ratio > SLOW_RATIO

    def expire(self, now: float) -> None:
        """Forget what is too old: nothing starts on a slow minion that could show its recovery."""
        if self._weight and now - self.updated_at > self.decay_seconds:
            self.forget()

    def forget(self) -> None:
        """Forget all observations."""
        self._weight = self._log_sum = self._log_square_sum = 0.0
        self.ratio, self.is_slow = 1.0, False
