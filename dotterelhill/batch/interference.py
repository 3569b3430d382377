"""Slow-down of services by batch tasks, estimated for each (service, job) pair.

Explanation
===========

A worker reports the latency of each service on its machine relative to the latency without batch
tasks, late and with noise. Its logarithm is modelled as the sum over the tasks of the service's
load times the effect of the task's job. A scalar Kalman update assigns each measurement to the
pairs in proportion to their uncertainty, so that a new pair learns from a worker on which known
ones run as well. Uncertainty grows with time, because the effect shifts with the load.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp, log, sqrt

# Expected effect of an unknown pair and its variance: a slow-down of 5%, give or take 20%.
PRIOR_EFFECT = 0.05
PRIOR_VARIANCE = 0.04
# Growth of variance each second: certainty about a pair is gone after about half an hour.
VARIANCE_GROWTH = PRIOR_VARIANCE / 1800.0
FIRST_NOISE_VARIANCE = 0.01
LEAST_NOISE_VARIANCE = 0.0001
NOISE_SMOOTHING = 0.05
# Planned slow-downs are this many standard deviations above the estimate.
CAUTION_DEVIATIONS = 1.0
# Planned effects are kept this long; uncertainty grows by little in that time.
PLANNED_SECONDS = 5.0
# A service below this load tells nothing about the pairs.
LEAST_LOAD = 0.05

Pair = tuple[str, str]


@dataclass(slots=True)
class Effect:
    """Estimate for one pair at full load of the service.

    :param mean: logarithm of the slow-down by one task
    :param updated_at: loop time of the last measurement in seconds
    """

    mean: float
    variance: float
    updated_at: float


class Interference:
    """Estimates for all pairs."""

    def __init__(self) -> None:
        self._effects: dict[Pair, Effect] = {}
        self._noise: dict[str, float] = {}
        self._planned: dict[Pair, float] = {}
        self._planned_at = float("-inf")

    def effect(self, service: str, job: str, now: float) -> Effect:
        """Return the estimate of a pair at loop time ``now``."""
        known = self._effects.get((service, job))
        if known is None:
            return Effect(PRIOR_EFFECT, PRIOR_VARIANCE, now)
        grown = known.variance + VARIANCE_GROWTH * max(0.0, now - known.updated_at)
        return Effect(known.mean, min(PRIOR_VARIANCE, grown), known.updated_at)

    def is_known(self, service: str, job: str) -> bool:
        """Return whether the pair was ever measured."""
        return (service, job) in self._effects

    def planned_effect(self, service: str, job: str, now: float) -> float:
        """Return the logarithm of the slow-down to plan with: estimate plus caution."""
        if now - self._planned_at > PLANNED_SECONDS:
            self._planned.clear()
            self._planned_at = now
        planned = self._planned.get((service, job))
        if planned is None:
            effect = self.effect(service, job, now)
            planned = max(0.0, effect.mean + CAUTION_DEVIATIONS * sqrt(effect.variance))
            self._planned[service, job] = planned
        return planned

    def observe(
        self, service: str, load: float, slow_down: float, jobs: Mapping[str, float], now: float
    ) -> None:
        """Take over one measurement.

        :param load: load of the service at the time of the measurement, 0 to 1
        :param slow_down: measured latency relative to the latency without batch tasks
        :param jobs: number of running tasks by job, throttled ones counted by their speed
        """
        if load < LEAST_LOAD or not jobs or slow_down <= 0.0:
            return
        effects = {job: self.effect(service, job, now) for job in jobs}
        expected = load * sum(jobs[job] * effect.mean for job, effect in effects.items())
        spread = sum((load * jobs[job]) ** 2 * effect.variance for job, effect in effects.items())
        noise = self._noise.get(service, FIRST_NOISE_VARIANCE)
        surprise = log(slow_down) - expected
        for job, effect in effects.items():
            weight = load * jobs[job]
            gain = effect.variance * weight / (spread + noise)
            effect.mean += gain * surprise
            effect.variance *= 1.0 - gain * weight
            effect.updated_at = now
            self._effects[service, job] = effect
            self._planned.pop((service, job), None)
        seen = max(LEAST_NOISE_VARIANCE, surprise * surprise - spread)
        self._noise[service] = noise + NOISE_SMOOTHING * (seen - noise)

    def merge(self, effects: Mapping[Pair, Effect], now: float) -> None:
        """Take over estimates of a peer that are more certain now than those here."""
        for (service, job), effect in effects.items():
            grown = effect.variance + VARIANCE_GROWTH * max(0.0, now - effect.updated_at)
            if grown < self.effect(service, job, now).variance:
                self._effects[service, job] = effect
                self._planned.pop((service, job), None)

    @property
    def effects(self) -> Mapping[Pair, Effect]:
        """Return all measured pairs."""
        return self._effects

    def forget_job(self, job: str) -> None:
        """Drop the pairs of a job that was removed from the manifest."""
        for pair in [pair for pair in self._effects if pair[1] == job]:
            del self._effects[pair]
            self._planned.pop(pair, None)


def slow_down_of(effect: float) -> float:
    """Return the factor on latency for a logarithmic effect."""
    return exp(effect)
