"""Load of each tenant: arrivals, starts and backlog of its jobs, and lack of capacity."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from math import exp
from typing import NamedTuple

from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.model import Job, Step, TaskKey
from dotterelhill.jobs.placement.waiting import RankKey
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tenants.limits import TenantLimits

# Time constant of the rates of arrivals and starts.
RATE_SECONDS = 3.0
# Rates below this, about 14 s after the newest of ten events, are dropped.
MIN_RATE = 0.03
# Longest drain time that is told. Clients are asked to wait for 10 s at most.
MAX_DRAIN_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class TenantLoad:
    """Load of one tenant at one time.

    :param waiting_jobs: accepted jobs of which no task has started yet
    :param arrivals_per_second: new jobs per second, decayed over ``RATE_SECONDS``
    :param starts_per_second: first starts of jobs per second, decayed likewise
    :param waits_for_capacity: whether a task waits that the tenant's limit would allow
    :param drain_seconds: expected time until all its waiting jobs have started
    :param is_short: whether a service of its jobs lacks capacity for tasks that wait, of any tenant
    """

    waiting_jobs: int
    arrivals_per_second: float
    starts_per_second: float
    waits_for_capacity: bool
    drain_seconds: float
    is_short: bool


@dataclass(slots=True)
class DecayedRate:
    """Events per second, as an exponentially decayed mean over about ``RATE_SECONDS``."""

    _value: float = 0.0
    _at: float = float("-inf")

    def add(self, now: float) -> None:
        """Count one event."""
        self._value = self.at(now) + 1.0 / RATE_SECONDS
        self._at = now

    def at(self, now: float) -> float:
        """Return the rate at a time.

        >>> rate = DecayedRate()
        >>> rate.add(0.0)
        >>> rate.add(0.0)
        >>> round(rate.at(0.0), 3), round(rate.at(3.0), 3)
        (0.667, 0.245)
        """
        return self._value * exp((self._at - now) / RATE_SECONDS) if self._value else 0.0


class WaitingTasks(NamedTuple):
    """Tasks of one step that waited in the newest round and still wait.

    A tuple, since thousands are created at a time.

    :param service: pool whose minions run the tasks
    :param keys: the tasks, in the order in which they start
    :param priority: priority of their queue
    :param is_too_late: whether their job can no longer end in useful time
    :param rank: rank of their job, which decides the order of lasting tasks that are overdue
    """

    job: Job
    step: Step
    service: str
    keys: list[TaskKey]
    priority: int
    is_too_late: bool
    rank: RankKey


@dataclass(slots=True)
class CapacityWaits:
    """What waits for capacity, found in one pass over the waiting tasks.

    :param services: services that lack capacity
    :param tenants: tenants with tasks that wait for capacity and not only for their limit
    """

    services: set[str] = field(default_factory=set)
    tenants: set[str] = field(default_factory=set)


class CapacityCheck:
    """Distinguishes tasks that wait for capacity from those that wait for something else.

    :param minions: listed minions
    :param had_starts_left: whether the newest round tried every waiting task; otherwise tasks may
        wait because the number of starts in flight is limited
    """

    def __init__(self, minions: Iterable[Minion], *, had_starts_left: bool) -> None:
        self._had_starts_left = had_starts_left
        self._pools: dict[str, list[Minion]] = {}
        for minion in minions:
            self._pools.setdefault(minion.facts.service, []).append(minion)
        self._known: dict[tuple[str, ResourceVector, str, int, bool, bool], bool] = {}

    def find(self, waiting: Iterable[WaitingTasks], limits: TenantLimits) -> CapacityWaits:
        """Return the services and tenants of the waiting tasks that lack capacity."""
        found = CapacityWaits()
        for tasks in waiting:
            tenant = tasks.job.submission.tenant
            if tasks.service in found.services and (not tenant or tenant in found.tenants):
                continue
            unit = tasks.step.count if tasks.step.is_gang else 1
            if limits.allowed_count(tenant, tasks.step, unit) < unit:
                continue
            if self._lacks_capacity(tasks.step, tasks.service, unit):
                found.services.add(tasks.service)
                if tenant:
                    found.tenants.add(tenant)
        return found

    def _lacks_capacity(self, step: Step, service: str, unit: int) -> bool:
        is_spread = bool(step.anti_affinity)
        key = (service, step.room, step.required_label, unit, is_spread, step.is_filler)
        if key not in self._known:
            self._known[key] = self._check(step, self._pools.get(service, []), unit)
        return self._known[key]

    def _check(self, step: Step, pool: Sequence[Minion], unit: int) -> bool:
        """Return whether more capacity would let tasks of a step start that fit the service."""
        if not pool:
            return True
        suitable = [
            minion
            for minion in pool
            if not step.required_label or step.required_label in minion.facts.labels
        ]
        if not _could_run(step.room, unit, suitable):
            return False
        if self._had_starts_left and not step.anti_affinity:
            return True
        return not any(minion.has_room_for(step) for minion in suitable)


class TenantLoads:
    """Rates of arrivals and starts of the jobs of each tenant."""

    def __init__(self) -> None:
        self._arrivals: dict[str, DecayedRate] = {}
        self._starts: dict[str, DecayedRate] = {}
        self._waiting_since: dict[str, float] = {}

    def record_arrival(self, tenant: str, now: float) -> None:
        """Count a new job of a tenant."""
        if tenant:
            self._arrivals.setdefault(tenant, DecayedRate()).add(now)

    def record_start(self, tenant: str, now: float) -> None:
        """Count the first start of a job of a tenant."""
        if tenant:
            self._starts.setdefault(tenant, DecayedRate()).add(now)

    def loads(
        self,
        active_jobs: Iterable[tuple[Job, str]],
        waits: CapacityWaits,
        limits: TenantLimits,
        now: float,
    ) -> dict[str, TenantLoad]:
        """Return the load of each tenant with active jobs, or with arrivals or starts lately.

        :param active_jobs: jobs that have not ended, each with its service
        """
        waiting_jobs: dict[str, int] = {}
        short: set[str] = set()
        for job, service in active_jobs:
            tenant = job.submission.tenant
            if not tenant:
                continue
            waiting_jobs[tenant] = waiting_jobs.get(tenant, 0) + (not job.has_begun)
            if service in waits.services:
                short.add(tenant)
        self._drop_old_rates(now)
        for rates in (self._arrivals, self._starts):
            for tenant in rates:
                waiting_jobs.setdefault(tenant, 0)
        loads = {}
        self._waiting_since = {
            tenant: self._waiting_since.get(tenant, now)
            for tenant, count in waiting_jobs.items()
            if count
        }
        for tenant, count in waiting_jobs.items():
            starts = _rate_at(self._starts, tenant, now)
            loads[tenant] = TenantLoad(
                count,
                _rate_at(self._arrivals, tenant, now),
                starts,
                tenant in waits.tenants,
                self._drain_seconds(tenant, count, starts, limits.tenant(tenant).weight, now),
                tenant in short,
            )
        return loads

    def _drain_seconds(
        self, tenant: str, waiting_jobs: int, starts: float, weight: float, now: float
    ) -> float:
        """Return the expected time until all waiting jobs of a tenant have started.

        A backlog that has just begun has no history of starts, so the rate to which the tenant is
        entitled counts at first and fades within the time that the measured rate needs.
        """
        if not waiting_jobs:
            return 0.0
        waited = now - self._waiting_since[tenant]
        rate = max(starts, weight * exp(-waited / RATE_SECONDS))
        if rate * MAX_DRAIN_SECONDS <= waiting_jobs:
            return MAX_DRAIN_SECONDS
        return waiting_jobs / rate

    def _drop_old_rates(self, now: float) -> None:
        for rates in (self._arrivals, self._starts):
            for tenant in [name for name, rate in rates.items() if rate.at(now) < MIN_RATE]:
                del rates[tenant]


def _rate_at(rates: Mapping[str, DecayedRate], tenant: str, now: float) -> float:
    """Return the rate of a tenant, 0 for one without events."""
    rate = rates.get(tenant)
    return rate.at(now) if rate is not None else 0.0


def _could_run(room: ResourceVector, count: int, minions: Iterable[Minion]) -> bool:
    """Return whether minions without any runs could run ``count`` tasks of one size."""
    slots = 0
    for minion in minions:
        slots += _slots(minion.facts.capacity, room)
        if slots >= count:
            return True
    return False


def _slots(capacity: ResourceVector, room: ResourceVector) -> int:
    """Return how many tasks an empty minion could run at once.

    >>> _slots(ResourceVector(4000, 100), ResourceVector(1000, 30)), _slots(
    ...     ResourceVector(4000, 100), ResourceVector(1000, 30, 1))
    (3, 0)
    """
    counts = [
        offered // asked
        for offered, asked in zip(capacity.as_list(), room.as_list(), strict=True)
        if asked
    ]
    return min(counts, default=1)
