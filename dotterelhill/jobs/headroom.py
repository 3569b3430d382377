"""Headroom of serving tasks below their targets, and what each filler takes of it.

Explanation
===========

The response times of a serving task grow as in a queue: their tail is inversely proportional to
the share of its capacity that is left. So the ratio of target to tail, called headroom here, falls
linearly with the task's own load and with the processors that fillers use beside it. A headroom of
1 means that the tail is at its target.

One reported tail measures the own headroom of the task minus the sum of the effects of the fillers
on its minion. A scalar Kalman update assigns the surprise to the own headroom, which drifts with
the load, and to the effects of the pairs of images, which do not, in proportion to their variance.
Between reports the own headroom follows the wave of its step's load, once that is known.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import sqrt

import msgspec

from dotterelhill.jobs.cycles import LoadCycles
from dotterelhill.jobs.model import TaskKey

# Own headroom before the first report: a task at half load whose target is five times its tail
# without load.
FIRST_HEADROOM = 2.5
HEADROOM_VARIANCE = 0.64
# The load of a serving task swings by half within some seconds.
HEADROOM_DRIFT_PER_SECOND = 0.5
# What the wave of the load does not explain.
WAVE_DRIFT_PER_SECOND = 0.05
# Effect of a filler image that uses all processors of a minion; most pairs take little, some five
# times the first estimate.
FIRST_EFFECT = 2.0
FIRST_EFFECT_VARIANCE = 6.0
LEAST_EFFECT_VARIANCE = 0.02
EFFECT_DRIFT_PER_SECOND = 0.02
# Reported tails are rough: the relative error of one report.
REPORT_ERROR = 0.12
# Without a known wave, own headroom may fall by this much a second when the load of a serving task
# rises, and a filler works for about the other number of seconds.
FALL_PER_SECOND = 0.25
FALL_SECONDS = 2.0
# Times for which a wave is looked ahead; most fillers end within the last.
FORECAST_SECONDS = (1.0, 2.0)
# The lowest own headroom of an image is tracked as this quantile of its tasks' reports.
TROUGH_QUANTILE = 0.05
TROUGH_STEP = 0.03
FIRST_TROUGH = 1.5
# Headroom above this says only that the task is idle.
LARGEST_HEADROOM = 10.0

Pair = tuple[str, str]


@dataclass(slots=True)
class Estimate:
    """Mean and variance of a value at loop time ``at``."""

    mean: float
    variance: float
    at: float


@dataclass(slots=True)
class _Image:
    trough: float = FIRST_TROUGH


class _Stored(msgspec.Struct, frozen=True):
    effects: list[tuple[str, str, float, float]]
    troughs: dict[str, float]
    period_seconds: float | None = None


_STORED_DECODER = msgspec.msgpack.Decoder(_Stored)


@dataclass(slots=True)
class HeadroomModel:
    """Estimates for all serving tasks and pairs of images."""

    own: dict[TaskKey, Estimate] = field(default_factory=dict)
    effects: dict[Pair, Estimate] = field(default_factory=dict)
    images: dict[str, _Image] = field(default_factory=dict)
    cycles: LoadCycles = field(default_factory=LoadCycles)

    def own_headroom(self, key: TaskKey, now: float) -> float:
        """Return the headroom that a serving task would have without fillers."""
        own = self.own.get(key)
        if own is None:
            return FIRST_HEADROOM
        return own.mean + (self.cycles.change(key, own.at, now) or 0.0)

    def lowest_headroom(self, key: TaskKey, image: str, now: float) -> float:
        """Return the least own headroom to expect of a serving task while a new filler works."""
        own = self.own.get(key)
        mean, at = (own.mean, own.at) if own else (FIRST_HEADROOM, now)
        change = self.cycles.change(key, at, now, *(now + ahead for ahead in FORECAST_SECONDS))
        if change is None:
            return max(mean - FALL_PER_SECOND * FALL_SECONDS, self.trough(image))
        return mean + change

    def trough(self, image: str) -> float:
        """Return the lowest own headroom that tasks of an image come to at their peak load."""
        known = self.images.get(image)
        return known.trough if known else FIRST_TROUGH

    def effect(self, serving_image: str, filler_image: str, caution: float = 0.0) -> float:
        """Return the headroom that a filler takes per share of the minion's processors it uses.

        :param caution: number of standard deviations added to the estimate
        """
        known = self.effects.get((serving_image, filler_image))
        if known is None:
            return FIRST_EFFECT + caution * sqrt(FIRST_EFFECT_VARIANCE)
        return max(0.0, known.mean + caution * sqrt(known.variance))

    def observe(
        self, key: TaskKey, image: str, headroom: float, use: Mapping[str, float], now: float
    ) -> None:
        """Take over one report of a serving task.

        :param headroom: target divided by the reported tail
        :param use: share of the minion's processors that fillers use, by image
        """
        headroom = min(LARGEST_HEADROOM, headroom)
        own = self.own.get(key)
        if own is None:
            own = self.own[key] = Estimate(FIRST_HEADROOM, HEADROOM_VARIANCE, now)
        change = self.cycles.change(key, own.at, now)
        drift = HEADROOM_DRIFT_PER_SECOND if change is None else WAVE_DRIFT_PER_SECOND
        own.mean += change or 0.0
        own.variance = min(HEADROOM_VARIANCE, own.variance + drift * (now - own.at))
        own.at = now
        pairs = []
        expected = own.mean
        spread = own.variance
        for filler, share in use.items():
            estimate = self._pair(image, filler, now)
            pairs.append((estimate, share))
            expected -= share * estimate.mean
            spread += share * share * estimate.variance
        noise = (REPORT_ERROR * max(1.0, headroom)) ** 2
        surprise = headroom - expected
        gain = own.variance / (spread + noise)
        own.mean += gain * surprise
        own.variance *= 1.0 - gain
        for estimate, share in pairs:
            gain = -share * estimate.variance / (spread + noise)
            estimate.mean = max(0.0, estimate.mean + gain * surprise)
            estimate.variance *= 1.0 + gain * share
            estimate.variance = max(LEAST_EFFECT_VARIANCE, estimate.variance)
        taken = sum(share * estimate.mean for estimate, share in pairs)
        self.cycles.observe(key, headroom + taken, now)
        self._track_trough(image, own.mean)

    def forget(self, key: TaskKey) -> None:
        """Drop a serving task that has ended."""
        self.own.pop(key, None)

    def to_record(self) -> bytes:
        """Return the effects and troughs for a later leader; own headrooms are out of date soon."""
        effects = [(*pair, value.mean, value.variance) for pair, value in self.effects.items()]
        troughs = {name: image.trough for name, image in self.images.items()}
        return msgspec.msgpack.encode(_Stored(effects, troughs, self.cycles.period_seconds))

    def load_record(self, data: bytes, now: float) -> None:
        """Take over what an earlier leader has learned.

        :raises msgspec.ValidationError: when the record is not one of a model
        """
        stored = _STORED_DECODER.decode(data)
        for serving, filler, mean, variance in stored.effects:
            self.effects[serving, filler] = Estimate(mean, variance, now)
        for name, trough in stored.troughs.items():
            self.images[name] = _Image(trough)
        if stored.period_seconds is not None:
            self.cycles.assume_period(stored.period_seconds)

    def _pair(self, image: str, filler: str, now: float) -> Estimate:
        estimate = self.effects.get((image, filler))
        if estimate is None:
            estimate = Estimate(FIRST_EFFECT, FIRST_EFFECT_VARIANCE, now)
            self.effects[image, filler] = estimate
            return estimate
        drift = EFFECT_DRIFT_PER_SECOND * (now - estimate.at)
        estimate.variance = min(FIRST_EFFECT_VARIANCE, estimate.variance + drift)
        estimate.at = now
        return estimate

    def _track_trough(self, image: str, headroom: float) -> None:
        known = self.images.setdefault(image, _Image())
        if headroom < known.trough:
            known.trough -= TROUGH_STEP * (1.0 - TROUGH_QUANTILE)
        else:
            known.trough += TROUGH_STEP * TROUGH_QUANTILE
