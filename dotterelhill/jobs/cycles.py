"""Swing of the load of serving steps, with the period that they share.

Explanation
===========

The load of a service follows its users, and all tasks of one serving step carry an equal share of
it. The headroom that a step has without fillers is modelled as a level and one wave. The period of
the wave is common to all steps; their phases and swings are their own. Each step is fitted by least
squares to the means of its reports in bins of half a second. A prior keeps a step that was seen for
a part of a period close to the level.

The period is the one with which the steps that were seen longest fit best, of a geometric series of
candidates. None is assumed while none fits clearly better than a constant.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import cos, log, pi, sin

from dotterelhill.jobs.model import TaskKey

# Tails cover half a second, so reports within it say the same.
BIN_SECONDS = 0.5
# Two of the longest periods; older bins are dropped, since the load of a service may change.
KEPT_BINS = 96
SHORTEST_PERIOD_SECONDS = 6.0
LONGEST_PERIOD_SECONDS = 40.0
PERIOD_RATIO = 1.04
# A candidate is scored on steps seen for half of its period, so that shorter ones do not win by
# default, and chosen once they have been seen for all of it.
LEAST_SCORED_SPAN = 0.5
LEAST_CHOSEN_SPAN = 1.0
LEAST_BINS = 12
SEARCHED_STEPS = 8
SEARCH_SECONDS = 1.0
# The wave has to leave no more than this share of the variance around a constant.
LARGEST_REMAINDER = 0.5
# Variance of a step's level around that of all steps, and of each part of the wave; that of one
# report, which is rough by an eighth of a headroom of two, and what the wave leaves in a bin.
LEVEL_VARIANCE = 0.25
WAVE_VARIANCE = 0.4
REPORT_VARIANCE = 0.07
BIN_VARIANCE = 0.02
FIT_SECONDS = 1.0
# A step without reports for this time has ended.
SILENT_SECONDS = 20.0

StepKey = tuple[str, int]
Vector = tuple[float, float, float]


@dataclass(frozen=True, slots=True)
class _Wave:
    """Sine and cosine parts of one step's headroom around its level.

    :param origin: time of the phase 0
    :param rate: radians a second
    """

    origin: float
    rate: float
    sine: float
    cosine: float

    def at(self, time: float) -> float:
        angle = self.rate * (time - self.origin)
        return self.sine * sin(angle) + self.cosine * cos(angle)


@dataclass(slots=True)
class _Series:
    """Means of one step's reports by bin.

    :param first_bin: number of the first bin since time 0
    """

    first_bin: int
    sums: list[float] = field(default_factory=list)
    counts: list[int] = field(default_factory=list)
    wave: _Wave | None = None
    fitted_at: float = float("-inf")

    def add(self, value: float, now: float) -> None:
        index = int(now / BIN_SECONDS) - self.first_bin
        while len(self.sums) <= index:
            self.sums.append(0.0)
            self.counts.append(0)
        self.sums[index] += value
        self.counts[index] += 1
        excess = len(self.sums) - KEPT_BINS
        if excess > 0:
            del self.sums[:excess], self.counts[:excess]
            self.first_bin += excess

    @property
    def span_seconds(self) -> float:
        return len(self.sums) * BIN_SECONDS

    @property
    def last_at(self) -> float:
        return (self.first_bin + len(self.sums)) * BIN_SECONDS


class LoadCycles:
    """Waves in the own headroom of serving steps."""

    def __init__(self) -> None:
        self._period_seconds: float | None = None
        self._series: dict[StepKey, _Series] = {}
        self._scores: dict[StepKey, list[float]] = {}
        self._searched_at = float("-inf")
        self._level = 0.0
        self._level_count = 0
        self._candidates: list[float] = []
        period = SHORTEST_PERIOD_SECONDS
        while period <= LONGEST_PERIOD_SECONDS:
            self._candidates.append(period)
            period *= PERIOD_RATIO

    @property
    def period_seconds(self) -> float | None:
        """Return the common period; None while none is known."""
        return self._period_seconds

    def assume_period(self, seconds: float) -> None:
        """Take over the period that an earlier leader has found."""
        self._period_seconds = seconds

    def observe(self, key: TaskKey, headroom: float, now: float) -> None:
        """Take over one report of a serving task.

        :param headroom: reported headroom, with the effects of fillers added back
        """
        step = (key.job_id, key.step)
        series = self._series.get(step)
        if series is None:
            series = self._series[step] = _Series(int(now / BIN_SECONDS))
        series.add(headroom, now)
        if now - series.fitted_at > FIT_SECONDS:
            series.wave, series.fitted_at = None, now
        self._level_count = min(self._level_count + 1, 1000)
        self._level += (headroom - self._level) / self._level_count
        if now - self._searched_at >= SEARCH_SECONDS:
            self._searched_at = now
            self._forget_silent(now)
            self._search()

    def change(self, key: TaskKey, start: float, *ends: float) -> float | None:
        """Return the expected change of a task's own headroom, the lowest of several ends.

        :returns: None while no wave is known
        """
        series = self._series.get((key.job_id, key.step))
        if series is None or self._period_seconds is None:
            return None
        if series.wave is None:
            series.wave = _fitted(series, 2.0 * pi / self._period_seconds, self._level)
        wave = series.wave
        lowest = wave.at(ends[0])
        for end in ends[1:]:
            lowest = min(lowest, wave.at(end))
        return lowest - wave.at(start)

    def _forget_silent(self, now: float) -> None:
        for step, series in list(self._series.items()):
            if now - series.last_at > SILENT_SECONDS:
                del self._series[step]
                self._scores.pop(step, None)

    def _search(self) -> None:
        """Score the candidates on the step that was scored longest ago, and choose one."""
        seen = [step for step, series in self._series.items() if len(series.sums) >= LEAST_BINS]
        if not seen:
            return
        longest = sorted(seen, key=lambda step: -len(self._series[step].sums))
        searched = longest[:SEARCHED_STEPS]
        scores = {step: row for step, row in self._scores.items() if step in searched}
        unscored = [step for step in searched if step not in scores]
        step = unscored[0] if unscored else next(iter(scores))
        # The newest score stands last, so that the first one is the oldest.
        scores.pop(step, None)
        scores[step] = [_score(self._series[step], period) for period in self._candidates]
        self._scores = scores
        totals = [sum(column) for column in zip(*scores.values(), strict=True)]
        best = min(range(len(totals)), key=totals.__getitem__)
        bins = sum(len(self._series[scored].sums) for scored in scores)
        span = max(self._series[scored].span_seconds for scored in scores)
        is_seen = span >= LEAST_CHOSEN_SPAN * self._candidates[best]
        if is_seen and totals[best] < bins * log(LARGEST_REMAINDER):
            self._period_seconds = self._refined(totals, best)

    def _refined(self, totals: list[float], best: int) -> float:
        """Return the period at the minimum of a parabola through three neighbours."""
        if not 0 < best < len(totals) - 1:
            return self._candidates[best]
        before, here, after = totals[best - 1 : best + 2]
        curvature = before - 2.0 * here + after
        offset = 0.5 * (before - after) / curvature if curvature > 0 else 0.0
        return float(self._candidates[best] * PERIOD_RATIO**offset)


@dataclass(slots=True)
class _Equations:
    """Normal equations of a level, a sine and a cosine: a symmetric matrix and a vector.

    :param square: sum of the squares of the values
    """

    ones: float = 0.0
    sines: float = 0.0
    cosines: float = 0.0
    sine_squares: float = 0.0
    products: float = 0.0
    cosine_squares: float = 0.0
    value: float = 0.0
    sine_value: float = 0.0
    cosine_value: float = 0.0
    square: float = 0.0

    def add(self, weight: float, sine: float, cosine: float, value: float) -> None:
        self.ones += weight
        self.sines += weight * sine
        self.cosines += weight * cosine
        self.sine_squares += weight * sine * sine
        self.products += weight * sine * cosine
        self.cosine_squares += weight * cosine * cosine
        self.value += weight * value
        self.sine_value += weight * sine * value
        self.cosine_value += weight * cosine * value
        self.square += weight * value * value

    def solution(self) -> Vector:
        """Return level, sine and cosine by Cramer's rule."""
        c00 = self.sine_squares * self.cosine_squares - self.products * self.products
        c01 = self.cosines * self.products - self.sines * self.cosine_squares
        c02 = self.sines * self.products - self.cosines * self.sine_squares
        c11 = self.ones * self.cosine_squares - self.cosines * self.cosines
        c12 = self.sines * self.cosines - self.ones * self.products
        c22 = self.ones * self.sine_squares - self.sines * self.sines
        determinant = self.ones * c00 + self.sines * c01 + self.cosines * c02
        a, b, c = self.value, self.sine_value, self.cosine_value
        return (
            (c00 * a + c01 * b + c02 * c) / determinant,
            (c01 * a + c11 * b + c12 * c) / determinant,
            (c02 * a + c12 * b + c22 * c) / determinant,
        )


def _equations(series: _Series, rate: float, *, is_weighted: bool) -> _Equations:
    equations = _Equations()
    step_sine, step_cosine = sin(rate * BIN_SECONDS), cos(rate * BIN_SECONDS)
    sine, cosine = 0.0, 1.0
    for total, count in zip(series.sums, series.counts, strict=True):
        if count:
            weight = 1.0 / (BIN_VARIANCE + REPORT_VARIANCE / count) if is_weighted else 1.0
            equations.add(weight, sine, cosine, total / count)
        # Angle addition; a call of sin and cos for each bin would cost more.
        sine, cosine = (
            sine * step_cosine + cosine * step_sine,
            cosine * step_cosine - sine * step_sine,
        )
    return equations


def _score(series: _Series, period: float) -> float:
    """Return the log of the share of the variance that the wave leaves, summed over the bins."""
    count = sum(1 for reports in series.counts if reports)
    if count < LEAST_BINS or series.span_seconds < LEAST_SCORED_SPAN * period:
        return 0.0
    equations = _equations(series, 2.0 * pi / period, is_weighted=False)
    constant = equations.square - equations.value * equations.value / equations.ones
    equations.sine_squares += REPORT_VARIANCE / WAVE_VARIANCE
    equations.cosine_squares += REPORT_VARIANCE / WAVE_VARIANCE
    level, sine, cosine = equations.solution()
    explained = level * equations.value
    explained += sine * equations.sine_value + cosine * equations.cosine_value
    noise = count * BIN_VARIANCE
    left = max(0.0, equations.square - explained)
    return count * log((left + noise) / (max(0.0, constant) + noise))


def _fitted(series: _Series, rate: float, level: float) -> _Wave:
    equations = _equations(series, rate, is_weighted=True)
    equations.ones += 1.0 / LEVEL_VARIANCE
    equations.value += level / LEVEL_VARIANCE
    equations.sine_squares += 1.0 / WAVE_VARIANCE
    equations.cosine_squares += 1.0 / WAVE_VARIANCE
    _, sine, cosine = equations.solution()
    # The first term of the sums stands for the middle of the first bin.
    return _Wave((series.first_bin + 0.5) * BIN_SECONDS, rate, sine, cosine)
