"""Resources that the runs of each tenant use, summed over all minions."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from dotterelhill.jobs.model import Step, TaskKey
from dotterelhill.jobs.resources import ResourceVector


class RunOwner(NamedTuple):
    """Where a run is counted.

    :param service: pool of the minion on which the run was planned
    """

    tenant: str
    service: str


@dataclass(slots=True)
class Usage:
    """Sum of the resources of a set of runs, with the units of ``ResourceVector``.

    The sums change in place, since they are read for each start that is considered.
    """

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0
    runs: int = 0

    def add(self, room: ResourceVector, sign: int) -> None:
        """Add (``sign`` 1) or remove (-1) the resources of one run."""
        self.cpu += sign * room.cpu
        self.memory_mb += sign * room.memory_mb
        self.gpu += sign * room.gpu
        self.runs += sign

    def as_vector(self) -> ResourceVector:
        """Return the sum as a resource vector."""
        return ResourceVector(self.cpu, self.memory_mb, self.gpu)


@dataclass(slots=True)
class _CountedRun:
    """A counted run; its resources stay those of the time at which it was added."""

    owner: RunOwner
    room: ResourceVector


@dataclass(slots=True)
class TenantUsage:
    """Resources used by every run of a tenant that may exist.

    A run counts from its plan until it is proven absent, whatever its state and whether or not its
    minion answers. A filler counts with the processors that it requests. Runs of jobs without a
    tenant are not counted.
    """

    _runs: dict[tuple[TaskKey, int], _CountedRun] = field(default_factory=dict)
    _by_tenant: dict[str, Usage] = field(default_factory=dict)
    _by_owner: dict[RunOwner, Usage] = field(default_factory=dict)

    @property
    def by_tenant(self) -> Mapping[str, Usage]:
        """Return the usage of each tenant that has runs."""
        return self._by_tenant

    @property
    def by_owner(self) -> Mapping[RunOwner, Usage]:
        """Return the usage of each tenant that has runs, separately for each service."""
        return self._by_owner

    def of(self, tenant: str) -> ResourceVector:
        """Return the resources that the runs of a tenant use.

        >>> TenantUsage().of("nobody")
        ResourceVector(cpu=0, memory_mb=0, gpu=0)
        """
        usage = self._by_tenant.get(tenant)
        return usage.as_vector() if usage is not None else ResourceVector()

    def add(self, tenant: str, service: str, key: TaskKey, run_id: int, step: Step) -> None:
        """Count a run; a repeated call has no effect.

        :param tenant: owner of the job; empty for none
        :param service: pool of the minion of the run
        """
        identity = (key, run_id)
        if not tenant or identity in self._runs:
            return
        owner = RunOwner(tenant, service)
        self._runs[identity] = _CountedRun(owner, step.room)
        self._by_tenant.setdefault(tenant, Usage()).add(step.room, 1)
        self._by_owner.setdefault(owner, Usage()).add(step.room, 1)

    def remove(self, key: TaskKey, run_id: int) -> None:
        """Stop counting a run that is proven absent; a repeated call has no effect."""
        if not self._runs:
            return
        counted = self._runs.pop((key, run_id), None)
        if counted is None:
            return
        owner = counted.owner
        total, part = self._by_tenant[owner.tenant], self._by_owner[owner]
        total.add(counted.room, -1)
        part.add(counted.room, -1)
        if not total.runs:
            del self._by_tenant[owner.tenant]
        if not part.runs:
            del self._by_owner[owner]
