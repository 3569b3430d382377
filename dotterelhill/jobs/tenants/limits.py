"""Limits of the resources that the runs of a tenant may use at once."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from dotterelhill.jobs.changes import Decision
from dotterelhill.jobs.fleet import Run
from dotterelhill.jobs.model import Job, Step
from dotterelhill.jobs.queues import FleetConfig, Tenant
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tenants.usage import TenantUsage, Usage

# A run that ends while tasks wait is followed by a start in the next round, so a tenant counts as
# below its limit only after no start was refused for this time. Otherwise each end would be logged.
BELOW_LIMIT_SECONDS = 1.0

_NO_USAGE = Usage()


class TenantLimits:
    """Checks of starts against the limits of tenants.

    :param usage: resources that the runs of each tenant use
    """

    def __init__(self, usage: TenantUsage) -> None:
        self._usage = usage
        self._version = 0
        self._configured: Mapping[str, Tenant] = {}
        self._known: dict[str, Tenant] = {}
        # Of the tenants that have a limit; looked up for each waiting job in each round.
        self._limits: dict[str, ResourceVector] = {}
        self._refused: set[str] = set()
        self._limited_at: dict[str, float] = {}

    @property
    def at_limit(self) -> Iterable[str]:
        """Return the tenants of which starts were refused lately."""
        return self._limited_at.keys()

    def configure(self, config: FleetConfig) -> bool:
        """Apply the tenants of a configuration; an older version has no effect.

        A tenant that the configuration lacks keeps its weight and limit, since its jobs go on.

        :returns: whether tenants were added or changed
        """
        if config.version < self._version:
            return False
        self._version = config.version
        if config.tenants == self._configured:
            return False
        self._configured = config.tenants
        self._known.update(config.tenants)
        self._limits = {
            name: tenant.limit
            for name, tenant in self._known.items()
            if tenant.limit != ResourceVector()
        }
        return True

    def tenant(self, name: str) -> Tenant:
        """Return the newest configuration of a tenant, or weight 1 and no limit."""
        return self._known.get(name) or Tenant(name)

    def is_watched(self, tenant: str) -> bool:
        """Return whether ``allows`` may have something to note about a tenant in this round."""
        return tenant in self._limits and tenant not in self._refused

    def allows(self, tenant: str, step: Step, count: int = 1) -> bool:
        """Return whether ``count`` tasks of a step may start, and note for the log if they may not.

        Nothing starts while one resource is above the limit, even for a task that needs none of it.
        Nothing of a tenant starts before a configuration is known: limits could be violated.

        :param tenant: owner of the job; empty for none
        """
        if not tenant:
            return True
        if not self._version:
            return False
        limit = self._limits.get(tenant)
        if limit is None:
            return True
        used, room = self._usage.by_tenant.get(tenant, _NO_USAGE), step.room
        if (
            (limit.cpu and used.cpu + count * room.cpu > limit.cpu)
            or (limit.memory_mb and used.memory_mb + count * room.memory_mb > limit.memory_mb)
            or (limit.gpu and used.gpu + count * room.gpu > limit.gpu)
        ):
            if tenant not in self._refused and not self.exceeds(tenant, step):
                self._refused.add(tenant)
            return False
        return True

    def refuses_all(self, tenant: str, rooms: Iterable[ResourceVector]) -> bool:
        """Return whether the limit of a tenant allows no task of any of the given sizes."""
        limit = self._limits.get(tenant)
        if limit is None:
            return False
        used = self._usage.by_tenant.get(tenant, _NO_USAGE)
        for room in rooms:
            if not (
                (limit.cpu and used.cpu + room.cpu > limit.cpu)
                or (limit.memory_mb and used.memory_mb + room.memory_mb > limit.memory_mb)
                or (limit.gpu and used.gpu + room.gpu > limit.gpu)
            ):
                return False
        return True

    def has_room(self, tenant: str, more: ResourceVector) -> bool:
        """Return whether a tenant may use more resources, without a note for the log."""
        if not tenant:
            return True
        if not self._version:
            return False
        limit = self._limits.get(tenant)
        return limit is None or not _is_beyond(self._usage.of(tenant).plus(more), limit)

    def allowed_count(self, tenant: str, step: Step, count: int) -> int:
        """Return how many of ``count`` tasks of a step may start at present."""
        limit = self._limits.get(tenant)
        if limit is None:
            return count
        used, room = self._usage.by_tenant.get(tenant, _NO_USAGE), step.room
        count = _fitting_count(count, limit.cpu, used.cpu, room.cpu)
        count = _fitting_count(count, limit.memory_mb, used.memory_mb, room.memory_mb)
        return _fitting_count(count, limit.gpu, used.gpu, room.gpu)

    def allowed_cpu(self, tenant: str, cpu: float) -> float:
        """Return how much of the processors that tasks wait for the limit allows at present."""
        limit = self._limits.get(tenant)
        if limit is None:
            return cpu
        used = self._usage.by_tenant.get(tenant, _NO_USAGE)
        is_full = limit.memory_mb and used.memory_mb >= limit.memory_mb
        if is_full or (limit.gpu and used.gpu > limit.gpu):
            return 0.0
        return max(0.0, min(cpu, limit.cpu - used.cpu)) if limit.cpu else cpu

    def exceeds(self, tenant: str, step: Step) -> bool:
        """Return whether a task, or a whole gang, is larger than the limit of its tenant."""
        configured = self._known.get(tenant)
        return configured is not None and _is_beyond(_unit(step), configured.limit)

    def runs_beyond(
        self, planned: Sequence[tuple[str, Run]], withheld: Iterable[tuple[str, Run]]
    ) -> set[Run]:
        """Return the planned runs without which no tenant is above its present limit.

        :param planned: counted runs with their tenants, in the order of their plan; later ones are
            returned first
        :param withheld: counted runs that will not start for another reason
        """
        remaining_use: dict[str, ResourceVector] = {}
        for tenant, run in withheld:
            used = remaining_use.get(tenant) or self._usage.of(tenant)
            remaining_use[tenant] = used.minus(run.step.room)
        beyond: set[Run] = set()
        for tenant, run in reversed(planned):
            configured = self._known.get(tenant)
            if configured is None:
                continue
            used = remaining_use.get(tenant) or self._usage.of(tenant)
            if _is_beyond(used, configured.limit):
                beyond.add(run)
                remaining_use[tenant] = used.minus(run.step.room)
        return beyond

    def oversize_decisions(self, jobs: Iterable[Job]) -> list[Decision]:
        """Return a decision for each tenant with jobs of which a task can never start.

        :param jobs: jobs that have not ended
        """
        found: dict[str, list[Job]] = {}
        for job in jobs:
            tenant = job.submission.tenant
            if tenant in self._known and any(
                self.exceeds(tenant, step) for step in job.submission.steps
            ):
                found.setdefault(tenant, []).append(job)
        decisions = []
        for tenant, oversize in found.items():
            fields = {
                "tenant": tenant,
                "jobs": len(oversize),
                "limit": self.tenant(tenant).limit.as_list(),
            }
            message = "task exceeds the limit of its tenant and waits"
            decisions.append(Decision(message, oversize[0].job_id, fields))
        return decisions

    def end_round(self, now: float) -> list[Decision]:
        """Return the decisions that tenants have reached their limit or have dropped below it."""
        decisions = []
        for tenant in sorted(self._refused):
            if tenant not in self._limited_at:
                decisions.append(self._decision("tenant is at its limit", tenant))
            self._limited_at[tenant] = now
        self._refused.clear()
        for tenant, limited_at in list(self._limited_at.items()):
            if now - limited_at >= BELOW_LIMIT_SECONDS:
                del self._limited_at[tenant]
                decisions.append(self._decision("tenant is below its limit", tenant))
        return decisions

    def _decision(self, message: str, tenant: str) -> Decision:
        """Return a decision about a tenant for the log."""
        fields = {
            "tenant": tenant,
            "used": self._usage.of(tenant).as_list(),
            "limit": self.tenant(tenant).limit.as_list(),
        }
        return Decision(message, "", fields)


def _fitting_count(count: int, limit: int, used: int, each: int) -> int:
    """Return how many of ``count`` equal amounts fit below a limit of one resource; 0: no limit.

    >>> _fitting_count(5, 10, 4, 2), _fitting_count(5, 0, 4, 2), _fitting_count(5, 3, 4, 0)
    (3, 5, 0)
    """
    if not limit:
        return count
    if used > limit:
        return 0
    return count if not each else min(count, (limit - used) // each)


def _unit(step: Step) -> ResourceVector:
    """Return the resources of the smallest set of tasks of a step that can start."""
    if not step.is_gang:
        return step.room
    room = step.room
    return ResourceVector(step.count * room.cpu, step.count * room.memory_mb, step.count * room.gpu)


def _is_beyond(used: ResourceVector, limit: ResourceVector) -> bool:
    """Return whether an amount is above a limit in any resource; 0 in the limit: no limit.

    >>> _is_beyond(ResourceVector(2000, 10, 1), ResourceVector(2000, 0, 0))
    False
    >>> _is_beyond(ResourceVector(2000, 10, 1), ResourceVector(0, 9, 0))
    True
    """
    for amount, most in zip(used.as_list(), limit.as_list(), strict=True):
        if most and amount > most:
            return True
    return False
