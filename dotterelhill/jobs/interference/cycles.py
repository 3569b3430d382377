"""Periodic model of the load of serving steps, with one period common to all steps.

Explanation
===========

The load of a service follows its users, and all tasks of one serving step receive an equal share
of it. The baseline headroom of a step is its headroom without fillers. It is modelled as a level
plus one sinusoid. All steps have the same period, and each has its own phase and amplitude. A step
is fitted by regularized least squares to the means of its reports in bins of half a second. A prior
keeps the fit close to the level while only a part of a period has been observed.

Candidate periods form a geometric series. The chosen period is the one that fits the steps with the
longest observation best. No period is chosen while none fits clearly better than a constant.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cache
from itertools import accumulate, compress
from math import cos, inf, log, pi, sin
from operator import mul

from dotterelhill.jobs.model import TaskKey

# A reported tail covers half a second, so reports within one bin carry the same information.
BIN_SECONDS = 0.5
# Covers more than the longest period. Older bins are dropped because the load pattern may change.
MAX_BINS = 96
MIN_PERIOD_SECONDS = 6.0
MAX_PERIOD_SECONDS = 40.0
PERIOD_RATIO = 1.04
# A step counts in the score of a period once it was observed for half of that period, so that
# shorter periods are not preferred for lack of data. A period is chosen only after at least
# one step was observed for the whole of it.
MIN_SCORED_PERIODS = 0.5
MIN_CHOSEN_PERIODS = 1.0
MIN_BINS = 12
MAX_SCORED_STEPS = 8
SCORE_INTERVAL_SECONDS = 1.0
# Largest share of the variance around a constant that the sinusoid may leave unexplained.
MAX_RESIDUAL_SHARE = 0.5
# Prior variances of a step's level around the level of all steps, and of the sine and the cosine
# coefficient. The variance of one report follows from a relative error of an eighth at a headroom
# of two; the variance of a bin is what the sinusoid leaves unexplained.
LEVEL_VARIANCE = 0.25
AMPLITUDE_VARIANCE = 0.4
REPORT_VARIANCE = 0.07
BIN_VARIANCE = 0.02
FIT_INTERVAL_SECONDS = 1.0
# The level of all steps is a mean of about this many of the newest reports.
MAX_LEVEL_COUNT = 1000
# A step without reports for this time is taken to have ended.
STEP_TIMEOUT_SECONDS = 20.0

StepKey = tuple[str, int]
Vector = tuple[float, float, float]


@dataclass(frozen=True, slots=True)
class _Sinusoid:
    """Sinusoidal component of one step's headroom around its level.

    :param origin: loop time at which the phase is 0
    :param angular_frequency: in radians per second
    :param sine: coefficient of the sine
    :param cosine: coefficient of the cosine
    """

    origin: float
    angular_frequency: float
    sine: float
    cosine: float


@dataclass(slots=True)
class _Series:
    """Binned reports of one step and the sinusoid fitted to them.

    :param first_bin: index of the oldest bin; bin 0 begins at loop time 0
    :param sums: sum of the reported headrooms in each bin
    :param counts: number of reports in each bin
    :param sinusoid: current fit; None when it has to be computed again
    """

    first_bin: int
    sums: list[float] = field(default_factory=list)
    counts: list[int] = field(default_factory=list)
    sinusoid: _Sinusoid | None = None
    fitted_at: float = float("-inf")

    def add(self, value: float, now: float) -> None:
        """Add one reported headroom to its bin and drop bins beyond ``MAX_BINS``."""
        index = int(now / BIN_SECONDS) - self.first_bin
        if index < len(self.sums):
            self.sums[index] += value
            self.counts[index] += 1
            return
        while len(self.sums) < index:
            self.sums.append(0.0)
            self.counts.append(0)
        self.sums.append(value)
        self.counts.append(1)
        excess = len(self.sums) - MAX_BINS
        if excess > 0:
            del self.sums[:excess], self.counts[:excess]
            self.first_bin += excess

    @property
    def span_seconds(self) -> float:
        """Return the duration of the observation in seconds."""
        return len(self.sums) * BIN_SECONDS

    @property
    def last_bin_end(self) -> float:
        """Return the loop time at which the newest bin ends."""
        return (self.first_bin + len(self.sums)) * BIN_SECONDS


class LoadCycles:
    """Sinusoidal model of the baseline headroom of all serving steps."""

    def __init__(self) -> None:
        self._period_seconds: float | None = None
        self._series: dict[StepKey, _Series] = {}
        self._scores: dict[StepKey, list[float]] = {}
        self._scored_at = float("-inf")
        self._level = 0.0
        self._level_count = 0
        self._candidates: list[float] = []
        period = MIN_PERIOD_SECONDS
        while period <= MAX_PERIOD_SECONDS:
            self._candidates.append(period)
            period *= PERIOD_RATIO

    @property
    def period_seconds(self) -> float | None:
        """Return the common period in seconds, or None while none is known."""
        return self._period_seconds

    def assume_period(self, seconds: float) -> None:
        """Set the period that an earlier leader has estimated."""
        self._period_seconds = seconds

    def observe(self, key: TaskKey, headroom: float, now: float) -> None:
        """Add one report of a serving task and update the period.

        :param headroom: baseline headroom: the reported one plus the estimated effects of fillers
        """
        step = (key.job_id, key.step)
        series = self._series.get(step)
        if series is None:
            series = self._series[step] = _Series(int(now / BIN_SECONDS))
        series.add(headroom, now)
        if now - series.fitted_at > FIT_INTERVAL_SECONDS:
            series.sinusoid, series.fitted_at = None, now
        if self._level_count < MAX_LEVEL_COUNT:
            self._level_count += 1
        self._level += (headroom - self._level) / self._level_count
        if now - self._scored_at >= SCORE_INTERVAL_SECONDS:
            self._scored_at = now
            self._remove_silent_steps(now)
            self._update_period()

    def forecast_change(self, key: TaskKey, start: float, *ends: float) -> float | None:
        """Return the forecast change of a task's baseline headroom since a start time.

        :param start: loop time from which the change is counted
        :param ends: loop times; the lowest of the changes until them is returned
        :returns: None while no period is known or the step has no reports
        """
        if self._period_seconds is None:
            return None
        series = self._series.get((key.job_id, key.step))
        if series is None:
            return None
        sinusoid = series.sinusoid
        if sinusoid is None:
            sinusoid = _fitted_sinusoid(series, 2.0 * pi / self._period_seconds, self._level)
            series.sinusoid = sinusoid
        # Written out, since this runs twice for each serving task in each report.
        origin, frequency = sinusoid.origin, sinusoid.angular_frequency
        sine, cosine = sinusoid.sine, sinusoid.cosine
        lowest = inf
        for end in ends:
            angle = frequency * (end - origin)
            value = sine * sin(angle) + cosine * cos(angle)
            if value < lowest:
                lowest = value
        angle = frequency * (start - origin)
        return lowest - (sine * sin(angle) + cosine * cos(angle))

    def _remove_silent_steps(self, now: float) -> None:
        """Remove the steps that have not reported for ``STEP_TIMEOUT_SECONDS``."""
        for step, series in list(self._series.items()):
            if now - series.last_bin_end > STEP_TIMEOUT_SECONDS:
                del self._series[step]
                self._scores.pop(step, None)

    def _update_period(self) -> None:
        """Score all candidate periods on one step and update the common period.

        Each call scores one step only, the one with the oldest score, to bound its cost.
        """
        fittable = [step for step, series in self._series.items() if len(series.sums) >= MIN_BINS]
        if not fittable:
            return
        longest_first = sorted(fittable, key=lambda step: -len(self._series[step].sums))
        scored_steps = longest_first[:MAX_SCORED_STEPS]
        scores = {step: row for step, row in self._scores.items() if step in scored_steps}
        unscored = [step for step in scored_steps if step not in scores]
        step = unscored[0] if unscored else next(iter(scores))
        # Scores stay in the order in which they were computed, oldest first.
        scores.pop(step, None)
        scores[step] = _log_residual_shares(self._series[step], self._candidates)
        self._scores = scores
        totals = [sum(column) for column in zip(*scores.values(), strict=True)]
        best = min(range(len(totals)), key=totals.__getitem__)
        bins = sum(len(self._series[scored].sums) for scored in scores)
        span = max(self._series[scored].span_seconds for scored in scores)
        is_period_covered = span >= MIN_CHOSEN_PERIODS * self._candidates[best]
        if is_period_covered and totals[best] < bins * log(MAX_RESIDUAL_SHARE):
            self._period_seconds = self._interpolated_period(totals, best)

    def _interpolated_period(self, totals: list[float], best: int) -> float:
        """Return the period at the vertex of a parabola through the best score and its neighbours.

        :param totals: score of each candidate period
        :param best: index of the lowest score
        """
        if not 0 < best < len(totals) - 1:
            return self._candidates[best]
        left, centre, after = totals[best - 1 : best + 2]
        curvature = left - 2.0 * centre + after
        offset = 0.5 * (left - after) / curvature if curvature > 0 else 0.0
        return float(self._candidates[best] * PERIOD_RATIO**offset)


@dataclass(slots=True)
class _NormalEquations:
    """Normal equations of the least-squares fit of a level, a sine and a cosine.

    :param ones: sum of the weights; the six fields from here on are the symmetric matrix
    :param value: weighted sum of the values; three fields from here on are the right-hand side
    :param square: weighted sum of the squares of the values
    """

    ones: float
    sines: float
    cosines: float
    sine_squares: float
    products: float
    cosine_squares: float
    value: float
    sine_value: float
    cosine_value: float
    square: float

    def solution(self) -> Vector:
        """Return the level and the coefficients of sine and cosine, by Cramer's rule."""
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


def _weighted_equations(series: _Series, angular_frequency: float) -> _NormalEquations:
    """Return the normal equations of the fit of one step.

    Each bin is weighted by the inverse variance of its mean.

    :param angular_frequency: in radians per second
    """
    # Fits visit thousands of bins a second, so the sums are local variables.
    ones = sines = cosines = sine_squares = products = cosine_squares = 0.0
    value_sum = sine_values = cosine_values = squares = 0.0
    step_sine = sin(angular_frequency * BIN_SECONDS)
    step_cosine = cos(angular_frequency * BIN_SECONDS)
    sine, cosine = 0.0, 1.0
    for total, count in zip(series.sums, series.counts, strict=True):
        if count:
            weight = 1.0 / (BIN_VARIANCE + REPORT_VARIANCE / count)
            value = total / count
            weighted_sine, weighted_cosine = weight * sine, weight * cosine
            ones += weight
            sines += weighted_sine
            cosines += weighted_cosine
            sine_squares += weighted_sine * sine
            products += weighted_sine * cosine
            cosine_squares += weighted_cosine * cosine
            value_sum += weight * value
            sine_values += weighted_sine * value
            cosine_values += weighted_cosine * value
            squares += weight * value * value
        # Angle addition is cheaper than a call of sin and cos for each bin.
        sine, cosine = (
            sine * step_cosine + cosine * step_sine,
            cosine * step_cosine - sine * step_sine,
        )
    return _NormalEquations(
        ones, sines, cosines, sine_squares, products, cosine_squares,
        value_sum, sine_values, cosine_values, squares,
    )  # fmt: skip


@dataclass(frozen=True, slots=True)
class _Waves:
    """Sine and cosine of one period in each bin, from phase 0 in the first one.

    :param sine_sums: sums of the sines of all bins up to each one; likewise the four below
    """

    sines: list[float]
    cosines: list[float]
    sine_sums: list[float]
    cosine_sums: list[float]
    sine_square_sums: list[float]
    product_sums: list[float]
    cosine_square_sums: list[float]


@cache
def _waves(period: float) -> _Waves:
    """Return the waves of a candidate period, which all scores have in common."""
    angular_frequency = 2.0 * pi / period
    step_sine = sin(angular_frequency * BIN_SECONDS)
    step_cosine = cos(angular_frequency * BIN_SECONDS)
    sines, cosines = [0.0], [1.0]
    while len(sines) < MAX_BINS:
        sine, cosine = sines[-1], cosines[-1]
        sines.append(sine * step_cosine + cosine * step_sine)
        cosines.append(cosine * step_cosine - sine * step_sine)
    return _Waves(
        sines,
        cosines,
        list(accumulate(sines)),
        list(accumulate(cosines)),
        list(accumulate(map(mul, sines, sines))),
        list(accumulate(map(mul, sines, cosines))),
        list(accumulate(map(mul, cosines, cosines))),
    )


def _equations_of(
    waves: _Waves, counts: list[int], values: list[float], value_sum: float, square_sum: float
) -> _NormalEquations:
    """Return the normal equations of an unweighted fit.

    :param counts: number of reports in each bin
    :param values: means of the bins that have reports
    :param value_sum: sum of the values
    :param square_sum: sum of their squares
    """
    last, sines, cosines = len(counts) - 1, waves.sines, waves.cosines
    if len(values) == len(counts):
        sums = (
            waves.sine_sums[last], waves.cosine_sums[last], waves.sine_square_sums[last],
            waves.product_sums[last], waves.cosine_square_sums[last],
        )  # fmt: skip
    else:
        sines, cosines = list(compress(sines, counts)), list(compress(cosines, counts))
        sums = (
            sum(sines), sum(cosines), sum(map(mul, sines, sines)),
            sum(map(mul, sines, cosines)), sum(map(mul, cosines, cosines)),
        )  # fmt: skip
    return _NormalEquations(
        float(len(values)),
        *sums,
        value_sum,
        sum(map(mul, sines, values)),
        sum(map(mul, cosines, values)),
        square_sum,
    )


def _log_residual_shares(series: _Series, periods: list[float]) -> list[float]:
    """Return the log of the share of the variance that each sinusoid leaves, times the bins.

    :returns: for each period; 0 while the step was observed too briefly for it
    """
    values = [
        total / count for total, count in zip(series.sums, series.counts, strict=True) if count
    ]
    value_sum, square_sum = sum(values), sum(map(mul, values, values))
    shares = []
    for period in periods:
        if len(values) < MIN_BINS or series.span_seconds < MIN_SCORED_PERIODS * period:
            shares.append(0.0)
            continue
        equations = _equations_of(_waves(period), series.counts, values, value_sum, square_sum)
        constant = equations.square - equations.value * equations.value / equations.ones
        equations.sine_squares += REPORT_VARIANCE / AMPLITUDE_VARIANCE
        equations.cosine_squares += REPORT_VARIANCE / AMPLITUDE_VARIANCE
        level, sine, cosine = equations.solution()
        explained = level * equations.value
        explained += sine * equations.sine_value + cosine * equations.cosine_value
        noise = len(values) * BIN_VARIANCE
        residual = max(0.0, equations.square - explained)
        shares.append(len(values) * log((residual + noise) / (max(0.0, constant) + noise)))
    return shares


def _fitted_sinusoid(series: _Series, angular_frequency: float, level: float) -> _Sinusoid:
    """Return the sinusoid fitted to one step by regularized least squares.

    :param angular_frequency: in radians per second
    :param level: prior mean of the level of the step
    """
    equations = _weighted_equations(series, angular_frequency)
    equations.ones += 1.0 / LEVEL_VARIANCE
    equations.value += level / LEVEL_VARIANCE
    equations.sine_squares += 1.0 / AMPLITUDE_VARIANCE
    equations.cosine_squares += 1.0 / AMPLITUDE_VARIANCE
    _, sine, cosine = equations.solution()
    # The phase is 0 in the middle of the first bin.
    return _Sinusoid((series.first_bin + 0.5) * BIN_SECONDS, angular_frequency, sine, cosine)
