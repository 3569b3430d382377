"""Sharing of a minion between serving tasks and fillers.

Explanation
===========

Fillers use the processors that other tasks leave idle and slow serving tasks down, by amounts
that differ by pair of images. The slow-down of each pair is learned from the reported tails of all
minions. A filler is placed where the predicted tails stay under their targets, and paced down
where a measured tail comes near its target.
"""

from __future__ import annotations

from dataclasses import dataclass

from dotterelhill.jobs.interference import Interference
from dotterelhill.jobs.fleet import Minion, Run, RunState
from dotterelhill.jobs.model import Step
from dotterelhill.jobs.orders import PaceOrder

# Share of its processors that a serving task is taken to use; the rest is left to fillers.
SERVING_USE = 0.6
# Predicted tails may reach this share of the target: measured ones swing by a third.
PLANNED_TAIL_SHARE = 0.7
# Tails above this share of the target slow fillers down; below the lower one they speed up.
HIGH_TAIL_SHARE = 0.85
LOW_TAIL_SHARE = 0.6
# A tail covers half a second and a report is up to half a second old.
PACE_SETTLE_SECONDS = 1.0
LEAST_PACE = 10
# Weight of the newest tail without fillers in the base tail of an image.
BASE_WEIGHT = 0.05
# Expected tail without fillers before any was measured, as a share of the target.
FIRST_BASE_SHARE = 0.4


@dataclass(slots=True)
class _Base:
    tail_ms: float
    count: int = 0


class Sharing:
    """Estimates of interference and the pace of fillers.

    :param harm_seconds: time for which a serving task may be over its target
    """

    def __init__(self, harm_seconds: float) -> None:
        self._harm_seconds = harm_seconds
        self._interference = Interference()
        self._bases: dict[str, _Base] = {}

    @property
    def interference(self) -> Interference:
        """Return the estimates by pair of images."""
        return self._interference

    def begin_round(self, now: float) -> None:
        """Prepare for a round of placements."""

    def has_serving(self, minion: Minion) -> bool:
        """Return whether a serving task is on the minion."""
        return any(run.step.is_lasting for run in minion.runs.values())

    def filler_pressure(self, minion: Minion) -> float:
        """Return the processors that fillers on the minion may use."""
        pressure = 0.0
        for run in minion.runs.values():
            if run.step.is_filler:
                pressure += run.step.room.cpu * run.pace / 100.0
        return pressure

    def idle_cpu(self, minion: Minion) -> float:
        """Return the thousandths of a processor that nothing on the minion uses."""
        idle = float(minion.facts.capacity.cpu)
        for run in minion.runs.values():
            share = run.pace / 100.0
            if run.step.is_lasting:
                share = SERVING_USE
            idle -= run.step.room.cpu * share
        return idle

    def predicted_harm(self, minion: Minion, step: Step, now: float) -> float | None:
        """Return the highest predicted tail as a share of its target with one more filler.

        :returns: 0 without serving tasks; None when a target would be missed
        """
        worst = 0.0
        images = self._filler_images(minion)
        images[step.image] = images.get(step.image, 0.0) + 1.0
        for run in minion.runs.values():
            target = run.step.target_tail_ms
            if not run.step.is_lasting or not target:
                continue
            share = self._predicted_tail(run, images, now) / target
            if share > PLANNED_TAIL_SHARE:
                return None
            worst = max(worst, share)
        return worst

    def _predicted_tail(self, run: Run, images: dict[str, float], now: float) -> float:
        exponent = 0.0
        for image, weight in images.items():
            exponent += weight * self._interference.planned_effect(run.step.image, image, now)
        return self._base_tail(run.step) * 2.718281828 ** min(exponent, 5.0)

    def _base_tail(self, step: Step) -> float:
        base = self._bases.get(step.image)
        return base.tail_ms if base else FIRST_BASE_SHARE * step.target_tail_ms

    def _filler_images(self, minion: Minion) -> dict[str, float]:
        images: dict[str, float] = {}
        for run in minion.runs.values():
            if run.step.is_filler:
                images[run.step.image] = images.get(run.step.image, 0.0) + run.pace / 100.0
        return images

    def observe(self, minion: Minion, now: float) -> None:
        """Learn from the tails that a minion has just reported."""
        images = self._filler_images(minion)
        for run in minion.runs.values():
            if not run.step.is_lasting or not run.tail_ms or run.percent < 100:
                continue
            if not images:
                base = self._bases.setdefault(run.step.image, _Base(run.tail_ms))
                base.count += 1
                weight = max(BASE_WEIGHT, 1.0 / base.count)
                base.tail_ms += weight * (run.tail_ms - base.tail_ms)
                continue
            slow_down = run.tail_ms / self._base_tail(run.step)
            self._interference.observe(run.step.image, 1.0, slow_down, images, now)

    def pace_orders(self, minion: Minion, now: float) -> list[PaceOrder]:
        """Return the changes of pace that the minion's newest report calls for."""
        worst = 0.0
        fillers = []
        for run in minion.runs.values():
            if run.step.is_filler and run.state is RunState.PRESENT:
                fillers.append(run)
            if run.step.is_lasting and run.step.target_tail_ms and run.tail_ms:
                worst = max(worst, run.tail_ms / run.step.target_tail_ms)
        if not fillers or not worst:
            return []
        if now - max(run.paced_at for run in fillers) < PACE_SETTLE_SECONDS:
            return []
        if worst > HIGH_TAIL_SHARE:
            return self._set_pace(minion, fillers, 0.5 if worst < 1.0 else 0.25, now)
        if worst < LOW_TAIL_SHARE:
            return self._set_pace(minion, fillers, 1.6, now)
        return []

    def _set_pace(
        self, minion: Minion, fillers: list[Run], factor: float, now: float
    ) -> list[PaceOrder]:
        orders = []
        for run in fillers:
            pace = int(min(100.0, max(LEAST_PACE if factor > 1.0 else 0.0, run.pace * factor)))
            if factor < 1.0 and pace < LEAST_PACE:
                pace = 0
            if pace == run.pace:
                continue
            run.pace, run.paced_at = pace, now
            orders.append(PaceOrder(minion, run, pace))
        return orders
