"""Estimates of the latency headroom of serving tasks and of the interference by fillers.

Explanation
===========

The response times of a serving task behave as in a queue: the tail is inversely proportional to the
unused share of its capacity. The headroom is the ratio of the target to the tail. It falls linearly
with the load of the task and with the processors that fillers use on the same minion. A headroom of
1 means that the tail is at its target.

The baseline headroom of a task is its headroom without fillers. One reported tail measures the
baseline headroom minus the sum of the effects of the fillers on the minion. A scalar Kalman update
distributes the innovation, in proportion to their variances, over the baseline headroom, which
changes with the load, and the effects of the pairs of images, which do not. Between reports the
baseline headroom follows the sinusoid of its step, once the period is known.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from heapq import nsmallest
from math import sqrt
from typing import Protocol, TypeVar

import msgspec

from dotterelhill.jobs.interference.cycles import LoadCycles
from dotterelhill.jobs.model import TaskKey

# Baseline headroom before the first report: that of a task at half load whose target is five times
# its tail without load.
INITIAL_HEADROOM = 2.5
HEADROOM_VARIANCE = 0.64
# The load of a serving task may change by half within a few seconds.
HEADROOM_VARIANCE_PER_SECOND = 0.5
# Change of the baseline headroom that the sinusoid of the load does not explain.
RESIDUAL_VARIANCE_PER_SECOND = 0.05
# Effect of a filler image that uses all processors of a minion. Most pairs of images have a small
# effect; some have five times the initial estimate.
INITIAL_EFFECT = 2.0
INITIAL_EFFECT_VARIANCE = 6.0
MIN_EFFECT_VARIANCE = 0.02
EFFECT_VARIANCE_PER_SECOND = 0.02
# Relative standard error of one reported tail.
REPORT_RELATIVE_ERROR = 0.12
# While no period is known, placement allows for a rise of the load: the baseline headroom may fall
# at this rate for about the duration of a filler.
HEADROOM_FALL_PER_SECOND = 0.25
FALL_SECONDS = 2.0
# Forecast horizons of the baseline headroom. Most fillers end within the longest one.
FORECAST_SECONDS = (1.0, 2.0)
# The trough of an image is tracked as this quantile of the baseline headroom of its tasks.
TROUGH_QUANTILE = 0.05
TROUGH_STEP = 0.03
TROUGH_FALL = TROUGH_STEP * (1.0 - TROUGH_QUANTILE)
TROUGH_RISE = TROUGH_STEP * TROUGH_QUANTILE
INITIAL_TROUGH = 1.5
# Headroom above this is cut off: it shows only that the task is idle.
MAX_HEADROOM = 10.0
# Clients choose the names of images; the limits bound the memory that estimates use.
MAX_EFFECTS = 4096
MAX_TROUGHS = 1024
# Bytes that the stored form of an effect or a trough takes besides the names of its images.
STORED_EFFECT_BYTES = 29
STORED_TROUGH_BYTES = 14
STORED_HEADER_BYTES = 32

ImagePair = tuple[str, str]


@dataclass(slots=True)
class Estimate:
    """Mean and variance of a quantity at loop time ``at`` in seconds."""

    mean: float
    variance: float
    at: float


EffectShare = tuple[Estimate, float]


class _Dated(Protocol):
    """An estimate with the loop time of its newest use."""

    at: float


KeyT = TypeVar("KeyT")
DatedT = TypeVar("DatedT", bound=_Dated)


def _newest_first(estimates: Mapping[KeyT, DatedT]) -> list[tuple[KeyT, DatedT]]:
    """Return estimates in the order of their newest use."""
    return sorted(estimates.items(), key=lambda entry: -entry[1].at)


def _make_room(estimates: dict[KeyT, DatedT], limit: int) -> None:
    """Drop the eighth of the estimates that was not used for longest where the limit is reached."""
    if len(estimates) < limit:
        return
    for key, _ in nsmallest(limit // 8, estimates.items(), key=lambda entry: entry[1].at):
        del estimates[key]


@dataclass(slots=True)
class _ImageTrough:
    """Estimate of the lowest baseline headroom of an image, reached at its peak load.

    :param at: loop time of the newest report of a task of the image, in seconds
    """

    trough: float = INITIAL_TROUGH
    at: float = float("-inf")


class _StoredModel(msgspec.Struct, frozen=True):
    """Stored form of the model.

    :param effects: serving image, filler image, mean and variance of each effect
    :param troughs: trough by image
    """

    effects: list[tuple[str, str, float, float]]
    troughs: dict[str, float]
    period_seconds: float | None = None


_MODEL_DECODER = msgspec.msgpack.Decoder(_StoredModel)


@dataclass(slots=True)
class HeadroomModel:
    """Estimates of the headroom of serving tasks and the effects of fillers on it.

    :param baselines: baseline headroom by serving task
    :param effects: effect by serving image and filler image
    :param troughs: trough by serving image
    :param cycles: periodic model of the baseline headroom
    """

    baselines: dict[TaskKey, Estimate] = field(default_factory=dict)
    effects: dict[ImagePair, Estimate] = field(default_factory=dict)
    troughs: dict[str, _ImageTrough] = field(default_factory=dict)
    cycles: LoadCycles = field(default_factory=LoadCycles)

    def baseline_headroom(self, key: TaskKey, now: float) -> float:
        """Return the headroom that a serving task would have at ``now`` without fillers."""
        baseline = self.baselines.get(key)
        if baseline is None:
            return INITIAL_HEADROOM
        change = self.cycles.forecast_change(key, baseline.at, now)
        return baseline.mean if change is None else baseline.mean + change

    def min_baseline_headroom(self, key: TaskKey, image: str, now: float) -> float:
        """Return the lowest baseline headroom expected of a task while a new filler runs."""
        baseline = self.baselines.get(key)
        mean, at = (baseline.mean, baseline.at) if baseline else (INITIAL_HEADROOM, now)
        change = self.cycles.forecast_change(
            key, at, now, *[now + ahead for ahead in FORECAST_SECONDS]
        )
        if change is None:
            return max(mean - HEADROOM_FALL_PER_SECOND * FALL_SECONDS, self.trough(image))
        return mean + change

    def trough(self, image: str) -> float:
        """Return the baseline headroom that tasks of an image have at their peak load."""
        known = self.troughs.get(image)
        return known.trough if known else INITIAL_TROUGH

    def effect(self, serving_image: str, filler_image: str, deviations: float = 0.0) -> float:
        """Return the headroom that a filler takes when it uses all processors of the minion.

        :param deviations: number of standard deviations added to the mean
        """
        known = self.effects.get((serving_image, filler_image))
        if known is None:
            return INITIAL_EFFECT + deviations * sqrt(INITIAL_EFFECT_VARIANCE)
        effect = known.mean
        if deviations:
            effect += deviations * sqrt(known.variance)
        return effect if effect > 0.0 else 0.0

    def effect_shares(
        self, image: str, filler_shares: Mapping[str, float], now: float
    ) -> list[EffectShare]:
        """Return the estimated effects of the fillers on a minion on one serving image.

        All tasks of the image in one report share the result, since it costs more than the update
        of one task.

        :param filler_shares: share of the minion's processors that fillers use, by image
        """
        return [
            (self._effect_estimate(image, filler, now), share)
            for filler, share in filler_shares.items()
        ]

    def observe(
        self,
        key: TaskKey,
        image: str,
        headroom: float,
        effect_shares: list[EffectShare],
        now: float,
    ) -> None:
        """Update the estimates with one report of a serving task.

        The trough of the image takes a stochastic quantile step.

        :param headroom: target divided by the reported tail latency
        :param effect_shares: result of ``effect_shares`` for the report and the image
        """
        # This runs for each serving task in each report, so it calls few functions.
        headroom = MAX_HEADROOM if headroom > MAX_HEADROOM else headroom
        baseline = self.baselines.get(key)
        if baseline is None:
            baseline = self.baselines[key] = Estimate(INITIAL_HEADROOM, HEADROOM_VARIANCE, now)
        mean = baseline.mean
        change = self.cycles.forecast_change(key, baseline.at, now)
        added_variance = HEADROOM_VARIANCE_PER_SECOND
        if change is not None:
            added_variance = RESIDUAL_VARIANCE_PER_SECOND
            mean += change
        variance = baseline.variance + added_variance * (now - baseline.at)
        if variance > HEADROOM_VARIANCE:
            variance = HEADROOM_VARIANCE
        expected = mean
        predicted_variance = variance
        for estimate, share in effect_shares:
            expected -= share * estimate.mean
            predicted_variance += share * share * estimate.variance
        noise = (REPORT_RELATIVE_ERROR * (headroom if headroom > 1.0 else 1.0)) ** 2
        innovation = headroom - expected
        divisor = predicted_variance + noise
        gain = variance / divisor
        mean += gain * innovation
        baseline.mean, baseline.variance, baseline.at = mean, variance * (1.0 - gain), now
        effect_sum = 0.0
        for estimate, share in effect_shares:
            gain = -share * estimate.variance / divisor
            effect = estimate.mean + gain * innovation
            estimate.mean = effect = effect if effect > 0.0 else 0.0
            effect_variance = estimate.variance * (1.0 + gain * share)
            if effect_variance < MIN_EFFECT_VARIANCE:
                effect_variance = MIN_EFFECT_VARIANCE
            estimate.variance = effect_variance
            effect_sum += share * effect
        self.cycles.observe(key, headroom + effect_sum, now)
        trough = self.troughs.get(image)
        if trough is None:
            _make_room(self.troughs, MAX_TROUGHS)
            trough = self.troughs[image] = _ImageTrough()
        trough.at = now
        if mean < trough.trough:
            trough.trough -= TROUGH_FALL
        else:
            trough.trough += TROUGH_RISE

    def remove_task(self, key: TaskKey) -> None:
        """Remove a serving task that has ended."""
        self.baselines.pop(key, None)

    def to_record(self, max_bytes: int) -> bytes:
        """Return the stored form of effects, troughs and period for a later leader.

        Baseline headrooms are left out because they are soon out of date. Estimates that were not
        used for longest are left out where the others fill the record.

        :param max_bytes: largest size of the record; at most half of it is used for troughs
        """
        troughs = {}
        left = max_bytes // 2 - STORED_HEADER_BYTES
        for image, trough in _newest_first(self.troughs):
            left -= len(image.encode()) + STORED_TROUGH_BYTES
            if left < 0:
                break
            troughs[image] = trough.trough
        effects = []
        left = max_bytes // 2 + max(0, left)
        for pair, effect in _newest_first(self.effects):
            left -= len(pair[0].encode()) + len(pair[1].encode()) + STORED_EFFECT_BYTES
            if left < 0:
                break
            effects.append((*pair, effect.mean, effect.variance))
        return msgspec.msgpack.encode(_StoredModel(effects, troughs, self.cycles.period_seconds))

    def load_record(self, data: bytes, now: float) -> None:
        """Load the estimates that an earlier leader stored.

        :raises msgspec.ValidationError: when the record does not hold a model
        """
        stored = _MODEL_DECODER.decode(data)
        for serving, filler, mean, variance in stored.effects:
            self.effects[serving, filler] = Estimate(mean, variance, now)
        for name, trough in stored.troughs.items():
            self.troughs[name] = _ImageTrough(trough, now)
        if stored.period_seconds is not None:
            self.cycles.assume_period(stored.period_seconds)

    def _effect_estimate(self, image: str, filler: str, now: float) -> Estimate:
        """Return the estimate for a pair of images with its variance brought up to ``now``."""
        estimate = self.effects.get((image, filler))
        if estimate is None:
            _make_room(self.effects, MAX_EFFECTS)
            estimate = Estimate(INITIAL_EFFECT, INITIAL_EFFECT_VARIANCE, now)
            self.effects[image, filler] = estimate
            return estimate
        added_variance = EFFECT_VARIANCE_PER_SECOND * (now - estimate.at)
        estimate.variance = min(INITIAL_EFFECT_VARIANCE, estimate.variance + added_variance)
        estimate.at = now
        return estimate
