"""Placement cost of a minion by the expected duration of a task there."""

from __future__ import annotations

from dotterelhill.jobs.durations.model import DurationModel
from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.model import Step

# A slow minion costs more than a rack without the data: it takes several times as long.
SLOW_MINION_COST = 2.0
# Durations of equal tasks differ by about this share, also where the learned spread is smaller.
MIN_SPREAD = 0.25
# The learned spread changes slowly, and each waiting task asks for it for each minion.
SPREAD_VALID_SECONDS = 0.5


class ExpectedFinish:
    """Cost of a minion in expected durations of the task on a usual minion.

    :param durations: learned durations of tasks
    """

    def __init__(self, durations: DurationModel) -> None:
        self._durations = durations
        self._spreads: dict[tuple[str, str, str], float] = {}
        self._spreads_at = float("-inf")

    def begin_round(self, now: float) -> None:
        """Forget spreads that may be out of date."""
        if now - self._spreads_at >= SPREAD_VALID_SECONDS:
            self._spreads.clear()
            self._spreads_at = now

    def cost(self, queue: str, step: Step, minion: Minion) -> float:
        """Return how much later a task ends than on a usual minion, in its expected durations.

        The difference is rounded to multiples of the spread of the durations, so that a faster
        minion is preferred only if the task ends sooner by more than that.

        :param queue: name of the queue
        """
        excess = minion.speed.ratio - 1.0
        if -MIN_SPREAD / 2.0 < excess < MIN_SPREAD / 2.0:
            return 0.0
        if step.is_lasting or step.is_filler:
            # Their duration on a minion depends on the tasks beside them.
            return SLOW_MINION_COST if minion.speed.is_slow else 0.0
        spread = self._spread(queue, step)
        return spread * round(excess / spread)

    def _spread(self, queue: str, step: Step) -> float:
        """Return the spread of the durations of a task as a share of their median."""
        key = (queue, step.image, step.kind)
        spread = self._spreads.get(key)
        if spread is None:
            low, median, high = (self._durations.quantile(queue, step, q) for q in (0.1, 0.5, 0.9))
            spread = max(MIN_SPREAD, (high - low) / 2.0 / median if median > 0.0 else 1.0)
            self._spreads[key] = spread
        return spread
