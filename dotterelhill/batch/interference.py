"""Estimates of the slow-down of services by batch tasks, one for each (service, job) pair.

Explanation
===========

A worker reports the latency of each service on its machine divided by the latency without batch
tasks. The reports are delayed and noisy. The logarithm of this slow-down is modelled as a sum over
the running tasks, where each term is the service's load times the effect of the task's job. A
scalar Kalman update distributes the residual of each measurement over the pairs in proportion to
their variance. A new pair can therefore be estimated on a worker that also runs tasks of jobs whose
effect is well known. The variance grows with time, because the effect changes with the load.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp, log, sqrt

# Prior of a pair without measurements: a slow-down of 5% with a standard deviation of 20%.
PRIOR_EFFECT = 0.05
PRIOR_VARIANCE = 0.04
# Growth per second: after about half an hour without measurements the variance is the prior's.
VARIANCE_GROWTH = PRIOR_VARIANCE / 1800.0
INITIAL_NOISE_VARIANCE = 0.01
MIN_NOISE_VARIANCE = 0.0001
NOISE_SMOOTHING = 0.05
# Planned effects are the estimate plus this many standard deviations.
PLANNING_MARGIN_DEVIATIONS = 1.0
# Planned effects are cached this long, in which their variance grows only slightly.
PLANNED_EFFECT_CACHE_SECONDS = 5.0
# Measurements of a service below this load carry too little information about the pairs.
MIN_LOAD = 0.05

Pair = tuple[str, str]


@dataclass(slots=True)
class Effect:
    """Estimated effect of one task of a job on a service at full load.

    :param mean: logarithm of the slow-down
    :param variance: variance of ``mean``
    :param updated_at: loop time of the last measurement in seconds
    """

    mean: float
    variance: float
    updated_at: float


class InterferenceModel:
    """Estimated effects of all (service, job) pairs."""

    def __init__(self) -> None:
        self._effects: dict[Pair, Effect] = {}
        self._noise: dict[str, float] = {}
        self._planned_effects: dict[Pair, float] = {}
        self._planned_effects_at = float("-inf")

    def effect(self, service: str, job: str, now: float) -> Effect:
        """Return the estimate of a pair at loop time ``now``, or the prior without measurements."""
        measured = self._effects.get((service, job))
        if measured is None:
            return Effect(PRIOR_EFFECT, PRIOR_VARIANCE, now)
        grown_variance = measured.variance + VARIANCE_GROWTH * max(0.0, now - measured.updated_at)
        return Effect(measured.mean, min(PRIOR_VARIANCE, grown_variance), measured.updated_at)

    def is_measured(self, service: str, job: str) -> bool:
        """Return whether the pair has been measured."""
        return (service, job) in self._effects

    def planned_effect(self, service: str, job: str, now: float) -> float:
        """Return the logarithm of the slow-down that placement assumes: mean plus margin."""
        if now - self._planned_effects_at > PLANNED_EFFECT_CACHE_SECONDS:
            self._planned_effects.clear()
            self._planned_effects_at = now
        planned = self._planned_effects.get((service, job))
        if planned is None:
            effect = self.effect(service, job, now)
            planned = max(0.0, effect.mean + PLANNING_MARGIN_DEVIATIONS * sqrt(effect.variance))
            self._planned_effects[service, job] = planned
        return planned

    def observe(
        self, service: str, load: float, slow_down: float, jobs: Mapping[str, float], now: float
    ) -> None:
        """Update the estimates with one measurement.

        :param load: load of the service at the time of the measurement, 0 to 1
        :param slow_down: measured latency relative to the latency without batch tasks
        :param jobs: number of running tasks by job; a throttled task counts as its speed, 0 to 1
        :param now: loop time in seconds
        """
        if load < MIN_LOAD or not jobs or slow_down <= 0.0:
            return
        effects = {job: self.effect(service, job, now) for job in jobs}
        predicted = load * sum(jobs[job] * effect.mean for job, effect in effects.items())
        predicted_variance = sum(
            (load * jobs[job]) ** 2 * effect.variance for job, effect in effects.items()
        )
        noise = self._noise.get(service, INITIAL_NOISE_VARIANCE)
        residual = log(slow_down) - predicted
        for job, effect in effects.items():
            weight = load * jobs[job]
            gain = effect.variance * weight / (predicted_variance + noise)
            effect.mean += gain * residual
            effect.variance *= 1.0 - gain * weight
            effect.updated_at = now
            self._effects[service, job] = effect
            self._planned_effects.pop((service, job), None)
        noise_sample = max(MIN_NOISE_VARIANCE, residual * residual - predicted_variance)
        self._noise[service] = noise + NOISE_SMOOTHING * (noise_sample - noise)

    def merge(self, effects: Mapping[Pair, Effect], now: float) -> None:
        """Adopt those estimates of a peer whose variance is now below that of the local ones.

        :param now: loop time in seconds
        """
        for (service, job), effect in effects.items():
            grown_variance = effect.variance + VARIANCE_GROWTH * max(0.0, now - effect.updated_at)
            if grown_variance < self.effect(service, job, now).variance:
                self._effects[service, job] = effect
                self._planned_effects.pop((service, job), None)

    @property
    def effects(self) -> Mapping[Pair, Effect]:
        """Return the estimates of all measured pairs."""
        return self._effects

    def forget_job(self, job: str) -> None:
        """Delete the estimates of a job that was removed from the manifest."""
        for pair in [pair for pair in self._effects if pair[1] == job]:
            del self._effects[pair]
            self._planned_effects.pop(pair, None)


def slow_down_factor(effect: float) -> float:
    """Return the factor by which an effect, a logarithm, multiplies the latency."""
    return exp(effect)
