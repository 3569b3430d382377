"""Admission of submissions: rates that the leader sets, and buckets at each entry process.

Explanation
===========

The leader knows how many jobs of a tenant arrive and wait, but not what is refused. It names a rate
only for tenants that are over their share, and keeps naming one until their backlog is gone, since
the refusals themselves make the arrivals fall. Each entry process takes the part of that rate that
it had of the arrivals.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from dotterelhill.jobs.model import Step
from dotterelhill.jobs.queues import Tenant
from dotterelhill.jobs.tenants.loads import TenantLoad

# A tenant may have this much work waiting before its submissions are refused.
MAX_BACKLOG_SECONDS = 4.0
BURST_SECONDS = 4.0
LEAST_BURST_JOBS = 4.0
# The newest rates count for this time; then each process admits the weight of the tenant.
RATES_VALID_SECONDS = 3.0
ARRIVAL_DECAY_SECONDS = 3.0
MAX_RETRY_SECONDS = 10.0
JITTER = 0.3
MAX_WAITING_APPENDS = 8


@dataclass(frozen=True, slots=True)
class AdmittedRate:
    """Rate at which all processes together should accept the jobs of one tenant.

    :param arrivals_per_second: jobs that arrive at the leader, from all processes
    :param drain_seconds: expected time until the waiting jobs have started
    """

    jobs_per_second: float
    arrivals_per_second: float
    drain_seconds: float


class AdmissionPolicy:
    """Decides for which tenants the leader names a rate."""

    def __init__(self) -> None:
        self._limited: set[str] = set()

    def rates(
        self, loads: Mapping[str, TenantLoad], tenants: Mapping[str, Tenant]
    ) -> dict[str, AdmittedRate]:
        """Return the rates of the tenants that are over their share, by tenant name."""
        rates = {}
        for name, load in loads.items():
            tenant = tenants.get(name, Tenant(name))
            is_backlogged = load.is_short or load.drain_seconds > MAX_BACKLOG_SECONDS
            is_over_share = name in self._limited or load.arrivals_per_second > tenant.weight
            if not is_backlogged or not is_over_share or not load.waiting_jobs:
                continue
            # A longer backlog than allowed shrinks only if less is admitted than is started.
            fraction = min(1.0, MAX_BACKLOG_SECONDS / max(load.drain_seconds, 0.001))
            rate = max(tenant.weight, load.starts_per_second * fraction)
            rates[name] = AdmittedRate(rate, load.arrivals_per_second, load.drain_seconds)
        self._limited = set(rates)
        return rates


class RefusalReason(StrEnum):
    """Reason for which a submission of a tenant is refused."""

    RATE = "the tenant submits more than its share"
    APPENDS = "too many submissions of the tenant are being stored"
    BACKLOG = "the queue has more work than can end in useful time"
    TASK_SIZE = "a task needs more than the limit of the tenant"
    FULL = "the accepted jobs take all memory that is left to jobs"


@dataclass(frozen=True, slots=True)
class AdmissionRefused:
    """Refusal of a submission.

    :param retry_seconds: whole seconds after which the client should try again
    """

    reason: RefusalReason
    retry_seconds: int


@dataclass(slots=True)
class _Bucket:
    """Token bucket of one tenant; ``accepted_rate`` is in jobs per second."""

    tokens: float
    updated_at: float
    accepted_rate: float = 0.0
    appends: int = 0


class EntryAdmission:
    """Admission of one entry process.

    :param random: source of the jitter of retries
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._buckets: dict[str, _Bucket] = {}
        self._rates: Mapping[str, AdmittedRate] = {}
        self._rates_at = float("-inf")
        self._process_count = 1

    def receive(self, rates: Mapping[str, AdmittedRate], process_count: int, now: float) -> None:
        """Replace the rates by those of the leader.

        :param process_count: number of processes among which the rates are divided
        """
        self._rates, self._process_count, self._rates_at = rates, max(1, process_count), now

    def admit(self, tenant: Tenant, now: float) -> AdmissionRefused | None:
        """Take a token for one submission; return the refusal if there is none."""
        bucket = self._buckets.get(tenant.name)
        if bucket is None:
            bucket = self._buckets[tenant.name] = _Bucket(float("inf"), now)
        elapsed = max(0.0, now - bucket.updated_at)
        bucket.updated_at = now
        bucket.accepted_rate *= math.exp(-elapsed / ARRIVAL_DECAY_SECONDS)
        rate, drain_seconds = tenant.weight, 0.0
        is_unlimited = False
        if now - self._rates_at <= RATES_VALID_SECONDS:
            admitted = self._rates.get(tenant.name)
            is_unlimited = admitted is None
            if admitted is not None:
                rate = admitted.jobs_per_second * self._share(bucket, admitted)
                drain_seconds = admitted.drain_seconds
        burst = float("inf") if is_unlimited else max(LEAST_BURST_JOBS, BURST_SECONDS * rate)
        refilled = float("inf") if is_unlimited else bucket.tokens + rate * elapsed
        bucket.tokens = min(burst, refilled)
        if bucket.tokens < 1.0:
            wait_seconds = max(drain_seconds, (1.0 - bucket.tokens) / rate)
            return AdmissionRefused(RefusalReason.RATE, self.retry_seconds(wait_seconds))
        bucket.tokens -= 1.0
        bucket.accepted_rate += 1.0 / ARRIVAL_DECAY_SECONDS
        return None

    def _share(self, bucket: _Bucket, admitted: AdmittedRate) -> float:
        """Return the part of a tenant's rate that this process admits.

        At least half of an equal part, so that a tenant may move its traffic to this process.
        """
        least = 0.5 / self._process_count
        if admitted.arrivals_per_second <= 0.0:
            return 1.0
        return min(1.0, max(least, bucket.accepted_rate / admitted.arrivals_per_second))

    def refund(self, tenant: Tenant) -> None:
        """Give a token back, because the submission was not stored."""
        bucket = self._buckets.get(tenant.name)
        if bucket is not None:
            bucket.tokens += 1.0

    def begin_append(self, tenant: Tenant, now: float) -> AdmissionRefused | None:
        """Count an append of a tenant, or return the refusal if too many are waiting."""
        bucket = self._buckets.setdefault(tenant.name, _Bucket(float("inf"), now))
        if bucket.appends >= MAX_WAITING_APPENDS:
            return AdmissionRefused(RefusalReason.APPENDS, self.retry_seconds(1.0))
        bucket.appends += 1
        return None

    def end_append(self, tenant: Tenant) -> None:
        """Count the end of an append."""
        self._buckets[tenant.name].appends -= 1

    def retry_seconds(self, wait_seconds: float) -> int:
        """Return a time to wait in whole seconds, spread so that clients don't return together."""
        return spread_retry_seconds(wait_seconds, self._random)


def spread_retry_seconds(wait_seconds: float, random: Random) -> int:
    """Return a time to wait in whole seconds, 1 to 10, with jitter."""
    longest = min(MAX_RETRY_SECONDS, wait_seconds * (1.0 + JITTER))
    seconds = random.uniform(longest / (1.0 + JITTER), longest)
    # Rounding at random keeps short times spread as well.
    return max(1, min(int(MAX_RETRY_SECONDS), int(seconds + random.random())))


def oversized_step(tenant: Tenant, steps: tuple[Step, ...]) -> int | None:
    """Return the index of the first step with a task above the limit of the tenant, or None."""
    limit = tenant.limit
    for index, step in enumerate(steps):
        for needed, allowed in zip(step.room.as_list(), limit.as_list(), strict=True):
            if allowed and needed > allowed:
                return index
    return None
