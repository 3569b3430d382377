"""Durations of tasks, learned from runs that ended done.

Explanation
===========

Clients estimate the durations of their steps, and may be far off. Steps with the same queue and
image (kind for steps without an image) form a *family*, of which the model learns two things: the
durations, and their ratio to the client's estimate. So there are three predictors of the next
duration: the estimate, the learned mean, and the estimate times the learned ratio. Each run that
ends is predicted by all three before it is learned. The predictor with the smallest mean error is
used. Means and errors are those of the logarithm, so that one run that takes seven times as long as
usual moves them little.

Observations are weighted by an exponential of their time (forward decay), so that old ones lose
weight without being touched. The model is not stored: a new leader learns from scratch.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from math import exp, inf, log

from ddsketch import LogCollapsingLowestDenseDDSketch

from dotterelhill.jobs.fleet import Minion, Run
from dotterelhill.jobs.model import Step

# An observation of this age has 37 % of the weight of a new one.
DECAY_SECONDS = 60.0
# The client's estimate is used until as many runs of a family were seen.
MIN_OBSERVATIONS = 8.0
# Decayed number of observations at which the confidence is a half.
HALF_CONFIDENCE_OBSERVATIONS = 16.0
# A learned predictor replaces the estimate where its error is at most this share of the
# estimate's, so that families with good estimates are not disturbed by noise.
CLEARLY_SMALLER_SHARE = 0.7
# Relative error of estimates that clients may have; it spreads the quantiles while nothing is
# learned.
ESTIMATE_SPREAD = 0.9
# A 2 % accuracy of quantiles; 512 bins span a factor of 7e8.
SKETCH_ACCURACY = 0.02
SKETCH_BINS = 512
# Each running task asks for quantiles in each round, and a sketch takes about 0.1 ms to answer.
QUANTILE_VALID_SECONDS = 0.5
# Quantiles between which the position of a run that takes long is found.
TAIL_QUANTILES = (0.5, 0.8, 0.9, 0.95, 0.96, 0.97, 0.98, 0.99, 1.0)
# Clients choose the names of images; the limit bounds the memory that they use.
MAX_FAMILIES = 2048
# Shorter durations can't be told apart from the delay of reports.
MIN_SECONDS = 0.001
# Weights grow without bound; the statistics of a family begin anew at this one, after 7.6 h.
MAX_WEIGHT = 1e200


class Predictor(Enum):
    """Way in which a duration is predicted.

    ESTIMATE: the client's estimate. MEAN: the learned mean. RATIO: the client's estimate times the
    learned ratio.
    """

    ESTIMATE = auto()
    MEAN = auto()
    RATIO = auto()


def _new_sketch() -> LogCollapsingLowestDenseDDSketch:
    return LogCollapsingLowestDenseDDSketch(SKETCH_ACCURACY, SKETCH_BINS)


@dataclass(slots=True)
class _Mean:
    """Mean of weighted values."""

    weight: float = 0.0
    value: float = 0.0

    @property
    def known_value(self) -> float:
        """Return the mean; infinite without values."""
        return self.value if self.weight else inf

    def add(self, value: float, weight: float) -> None:
        self.weight += weight
        self.value += (value - self.value) * weight / self.weight


@dataclass(slots=True)
class _Family:
    """Statistics of the steps of one queue and image.

    :param origin: loop time at which an observation had the weight 1
    :param log_seconds: logarithm of the durations
    :param log_ratio: logarithm of duration to estimate
    :param estimate_error: absolute error of the logarithm of the client's estimate
    :param mean_error: the same of the learned mean
    :param ratio_error: the same of the estimate times the learned ratio
    :param predictor: predictor in use
    :param learned_until: loop time until which enough observations have enough weight
    :param mean_seconds: learned mean of the durations
    :param mean_ratio: learned mean of the ratio of duration to estimate
    :param quantiles: recent results of ``seconds`` or ``ratios``, by whether they are ratios and
        quantile: value and loop time at which it was computed
    """

    origin: float
    log_seconds: _Mean = field(default_factory=_Mean)
    log_ratio: _Mean = field(default_factory=_Mean)
    estimate_error: _Mean = field(default_factory=_Mean)
    mean_error: _Mean = field(default_factory=_Mean)
    ratio_error: _Mean = field(default_factory=_Mean)
    seconds: LogCollapsingLowestDenseDDSketch = field(default_factory=_new_sketch)
    ratios: LogCollapsingLowestDenseDDSketch = field(default_factory=_new_sketch)
    predictor: Predictor = Predictor.ESTIMATE
    learned_until: float = -inf
    mean_seconds: float = 0.0
    mean_ratio: float = 0.0
    quantiles: dict[tuple[bool, float], tuple[float, float]] = field(default_factory=dict)

    def observations(self, now: float) -> float:
        """Return the decayed number of observations."""
        return self.log_seconds.weight * exp((self.origin - now) / DECAY_SECONDS)

    def record(self, seconds: float, estimate_seconds: float, now: float) -> None:
        """Learn a duration, and the errors with which it would have been predicted."""
        weight = exp((now - self.origin) / DECAY_SECONDS)
        log_seconds = log(seconds)
        if self.log_seconds.weight:
            self.mean_error.add(abs(self.log_seconds.value - log_seconds), weight)
        self.log_seconds.add(log_seconds, weight)
        self.seconds.add(seconds, weight)
        if estimate_seconds > 0.0:
            log_ratio = log_seconds - log(estimate_seconds)
            self.estimate_error.add(abs(log_ratio), weight)
            if self.log_ratio.weight:
                self.ratio_error.add(abs(self.log_ratio.value - log_ratio), weight)
            self.log_ratio.add(log_ratio, weight)
            self.ratios.add(seconds / estimate_seconds, weight)
            self.mean_ratio = exp(self.log_ratio.value)
        self.mean_seconds = exp(self.log_seconds.value)
        excess = log(self.log_seconds.weight / MIN_OBSERVATIONS)
        self.learned_until = self.origin + DECAY_SECONDS * excess
        self.predictor = self._best_predictor()

    def _best_predictor(self) -> Predictor:
        """Return the predictor with the smallest error; a learned one has to be clearly better."""
        best, smallest = Predictor.ESTIMATE, CLEARLY_SMALLER_SHARE * self.estimate_error.known_value
        for predictor, error in (
            (Predictor.MEAN, self.mean_error.known_value),
            (Predictor.RATIO, self.ratio_error.known_value),
        ):
            if error < smallest:
                best, smallest = predictor, error
        return best

    def error(self, predictor: Predictor) -> float:
        """Return the mean absolute error of the logarithm; infinite while none is known."""
        match predictor:
            case Predictor.ESTIMATE:
                return self.estimate_error.known_value
            case Predictor.MEAN:
                return self.mean_error.known_value
            case Predictor.RATIO:
                return self.ratio_error.known_value

    def predict(self, predictor: Predictor, estimate_seconds: float) -> float:
        """Return the predicted duration in seconds; 0 while the predictor knows nothing."""
        if predictor is Predictor.ESTIMATE:
            return estimate_seconds
        if predictor is Predictor.MEAN:
            return self.mean_seconds
        return self.mean_ratio * estimate_seconds

    def quantile(self, quantile: float, now: float, *, is_ratio: bool) -> float | None:
        """Return a quantile of the ratios or durations; None while there are none."""
        cached = self.quantiles.get((is_ratio, quantile))
        if cached is not None and now - cached[1] < QUANTILE_VALID_SECONDS:
            return cached[0]
        sketch = self.ratios if is_ratio else self.seconds
        value: float | None = sketch.get_quantile_value(quantile)
        if value is not None:
            self.quantiles[is_ratio, quantile] = value, now
        return value


class DurationModel:
    """Learned durations by family, and the speeds of minions."""

    def __init__(self) -> None:
        self._families: dict[tuple[str, str, str], _Family] = {}
        self._now = 0.0

    def advance(self, now: float) -> None:
        """Set the loop time in seconds, at which observations are weighted by their age."""
        self._now = max(self._now, now)

    def record_end(self, queue: str, run: Run, minion: Minion) -> None:
        """Learn from a run that ended done, if its duration is known and that of a whole run."""
        seconds = run_seconds(run, minion)
        if seconds is None or run.is_partial or run.step.is_lasting:
            return
        seconds = max(seconds, MIN_SECONDS)
        expected_seconds = self.expected(queue, run.step)
        if expected_seconds > 0.0 and self.confidence(queue, run.step) >= 0.5:
            minion.speed.record(seconds, expected_seconds, self._now)
        self.record(queue, run.step, seconds)

    def record(self, queue: str, step: Step, seconds: float) -> None:
        """Learn the duration of a run that ended done."""
        key = _family_key(queue, step)
        family = self._families.pop(key, None)
        if family is None or exp((self._now - family.origin) / DECAY_SECONDS) > MAX_WEIGHT:
            family = _Family(self._now)
        self._families[key] = family
        family.record(max(seconds, MIN_SECONDS), step.estimate_seconds, self._now)
        if len(self._families) > MAX_FAMILIES:
            # Families are ordered by their newest observation.
            del self._families[next(iter(self._families))]

    def expected(self, queue: str, step: Step) -> float:
        """Return the expected duration of a task in seconds.

        :param queue: name of the queue
        """
        family = self._learned_family(queue, step)
        if family is None:
            return step.estimate_seconds
        return family.predict(family.predictor, step.estimate_seconds) or step.estimate_seconds

    def quantile(self, queue: str, step: Step, q: float) -> float:
        """Return a quantile of the duration of a task in seconds.

        While nothing is learned, durations are spread evenly around the client's estimate.

        :param queue: name of the queue
        :param q: 0 to 1
        """
        family = self._learned_family(queue, step)
        if family is not None:
            is_ratio = family.predictor is not Predictor.MEAN and step.estimate_seconds > 0.0
            value = family.quantile(q, self._now, is_ratio=is_ratio)
            if value is not None:
                return value * step.estimate_seconds if is_ratio else value
        return step.estimate_seconds * (1.0 + ESTIMATE_SPREAD * (2.0 * q - 1.0))

    def remaining(self, queue: str, step: Step, elapsed_seconds: float) -> float:
        """Return the expected remaining time in seconds of a run that has run for some time.

        It is the median of what longer runs took. Where none took longer, the time that the run is
        over its expected duration is expected once more.
        """
        reached = 0.0
        for q in TAIL_QUANTILES:
            if self.quantile(queue, step, q) > elapsed_seconds:
                median = self.quantile(queue, step, round((reached + 1.0) / 2.0, 4))
                return max(0.0, median - elapsed_seconds)
            reached = q
        return max(0.0, elapsed_seconds - self.expected(queue, step))

    def confidence(self, queue: str, step: Step) -> float:
        """Return how far a prediction rests on observations: 0 for none, 1 for very many."""
        family = self._families.get(_family_key(queue, step))
        if family is None:
            return 0.0
        count = family.observations(self._now)
        return count / (count + HALF_CONFIDENCE_OBSERVATIONS)

    def error(self, queue: str, step: Step) -> float | None:
        """Return the mean absolute error of the logarithm of the predictions in use.

        :returns: None while nothing is learned
        """
        family = self._learned_family(queue, step)
        return None if family is None else family.error(family.predictor)

    def estimate_error(self, queue: str, step: Step) -> float | None:
        """Return the mean absolute error of the logarithm of the client's estimates.

        :returns: None while nothing is learned
        """
        family = self._learned_family(queue, step)
        return None if family is None else family.error(Predictor.ESTIMATE)

    def is_better_than_estimate(self, queue: str, step: Step) -> bool:
        """Return whether learned durations replace the client's estimate.

        They do where their measured error is at most ``CLEARLY_SMALLER_SHARE`` of the estimate's.
        """
        family = self._learned_family(queue, step)
        return family is not None and family.predictor is not Predictor.ESTIMATE

    def speed_of(self, minion: Minion) -> float:
        """Return the ratio of observed to expected durations; 1.0 while it is not certain."""
        minion.speed.expire(self._now)
        return minion.speed.ratio

    def _learned_family(self, queue: str, step: Step) -> _Family | None:
        """Return the family of a step if enough of its runs were seen lately."""
        family = self._families.get(_family_key(queue, step))
        return family if family is not None and self._now <= family.learned_until else None


def run_seconds(run: Run, minion: Minion) -> float | None:
    """Return how long a run has been present, on its minion's clock at the newest report.

    :returns: seconds; None while the beginning is not known
    """
    if run.present_clock_ms is None or minion.clock_ms is None or run.is_inherited:
        return None
    return max(0, minion.clock_ms - run.present_clock_ms) / 1000.0


def _family_key(queue: str, step: Step) -> tuple[str, str, str]:
    """Return the queue, and the image or for steps without one the kind."""
    return (queue, step.image, "" if step.image else step.kind)
