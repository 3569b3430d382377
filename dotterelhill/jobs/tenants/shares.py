"""Order of the waiting jobs of tenants: weighted dominant-resource fairness."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from heapq import heapify, heappop, heapreplace
from operator import itemgetter
from typing import Protocol, TypeVar

from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.model import Job, Timeliness
from dotterelhill.jobs.queues import Queue
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tenants.limits import TenantLimits
from dotterelhill.jobs.tenants.usage import RunOwner, TenantUsage, Usage

# A tenant may exceed the next one by this share of its service before the turn changes. Each turn
# of a step examines all minions, so one turn for each task would cost too much on a large fleet.
TURN_SHARE = 0.01


class _WithJob(Protocol):
    """What is ranked: anything that belongs to a job."""

    @property
    def job(self) -> Job:
        """Return the job."""


_Ranked = TypeVar("_Ranked", bound=_WithJob)
_Entry = tuple[tuple[int, int, float, int], Queue, _Ranked]
NextStartable = Callable[[Sequence[_Entry[_Ranked]], int], int]


class TenantShares:
    """Fair order among tenants for one scheduling round.

    A share is the largest part of any resource of the minions of a service that the tenant's runs
    use, divided by the tenant's weight. Fillers count with the processors that they request.

    :param usage: resources that the runs of each tenant use; has to include each start of the round
        before the next one is requested
    :param limits: limits and weights of tenants
    """

    def __init__(self, usage: TenantUsage, limits: TenantLimits) -> None:
        self._usage = usage
        self._limits = limits
        self._capacities: dict[str, ResourceVector] = {}
        self._owner: RunOwner | None = None
        self._turn_end_share = float("inf")
        self._has_started = False
        self._is_turn_over = False
        # Tenants from which capacity is reclaimed.
        self.yielding: frozenset[str] = frozenset()
        # Minions on which a place becomes free for a task of a tenant below its share.
        self.reclaimed_minions: frozenset[Minion] = frozenset()
        # Minions on which a run was stopped for another tenant, by the tenant of the run.
        self.withheld_minions: Mapping[str, frozenset[Minion]] = {}

    def is_withheld(self, minion: Minion, tenant: str) -> bool:
        """Return whether the tasks of a tenant leave a minion to others for the time of a stop."""
        return tenant in self.withheld_minions and minion in self.withheld_minions[tenant]

    def open_minions(self, pool: Sequence[Minion]) -> Sequence[Minion]:
        """Return the minions of a pool on which no run was stopped for a tenant below its share."""
        if not self.withheld_minions:
            return pool
        withheld = frozenset().union(*self.withheld_minions.values())
        return [minion for minion in pool if minion not in withheld]

    def share(self, owner: RunOwner) -> float:
        """Return the dominant share of a tenant in a service of this round, over its weight."""
        weight = self._limits.tenant(owner.tenant).weight
        return self.dominant_share(owner) / weight if weight > 0 else float("inf")

    def dominant_share(self, owner: RunOwner) -> float:
        """Return the largest part of any resource of a service that the runs of a tenant use."""
        used = self._usage.by_owner.get(owner)
        capacity = self._capacities.get(owner.service)
        if used is None or capacity is None:
            return 0.0
        return _dominant_part(used, capacity)

    def dominant_share_after(self, owner: RunOwner, change: ResourceVector) -> float:
        """Return the dominant share of a tenant after a change of the resources that it uses."""
        used = self._usage.by_owner.get(owner)
        capacity = self._capacities.get(owner.service)
        if capacity is None:
            return 0.0
        return _dominant_part(change if used is None else used.as_vector().plus(change), capacity)

    def begin_round(self, by_service: Mapping[str, Iterable[Minion]]) -> None:
        """Begin a round.

        :param by_service: minions on which runs may start, by service
        """
        self._capacities = {
            service: _total_capacity(minions) for service, minions in by_service.items()
        }
        self._end_turns()

    def order(
        self,
        ranked: Sequence[_Entry[_Ranked]],
        next_startable: NextStartable[_Ranked] = lambda entries, position: position,
    ) -> Iterator[_Entry[_Ranked]]:
        """Yield ranked jobs in the order in which they may start tasks.

        Jobs without a tenant come first among those with the same priority, and jobs that end too
        late come last. Then the tenant with the lowest share is next, with its jobs as ranked. A
        job whose turn ended early is yielded again.

        :param ranked: jobs in the order of priority, timeliness and slack, each with its queue
        :param next_startable: returns the first position, from a given one, of a job that may start
            a task; all entries that it gets have the same tenant and service, or no tenant. A job
            that can start nothing is not yielded, nor later in the round
        """
        begin = 0
        while begin < len(ranked):
            next_group = _next_group(ranked[begin])
            end = bisect_left(ranked, next_group, begin, key=itemgetter(0))
            yield from self._order_group(ranked[begin:end], next_startable)
            begin = end

    def record_start(self) -> None:
        """Record that the job whose turn it is has started a task."""
        self._has_started = True

    def may_continue(self) -> bool:
        """Return whether the job whose turn it is may start another task, or end its turn."""
        if self._owner is None or not self._has_started:
            return True
        if self.share(self._owner) <= self._turn_end_share:
            return True
        self._is_turn_over = True
        return False

    def _order_group(
        self, group: Sequence[_Entry[_Ranked]], next_startable: NextStartable[_Ranked]
    ) -> Iterator[_Entry[_Ranked]]:
        """Yield the jobs of one priority that all end in useful time, or all too late."""
        unowned: list[_Entry[_Ranked]] = []
        owned: dict[tuple[str, str], list[_Entry[_Ranked]]] = {}
        for entry in group:
            tenant = entry[2].job.submission.tenant
            if not tenant:
                unowned.append(entry)
                continue
            owner = (tenant, entry[1].service)
            entries = owned.get(owner)
            if entries is None:
                owned[owner] = [entry]
            else:
                entries.append(entry)
        position = next_startable(unowned, 0)
        while position < len(unowned):
            yield unowned[position]
            position = next_startable(unowned, position + 1)
        owners = [RunOwner(*owner) for owner in owned]
        queues = list(owned.values())
        positions = [next_startable(entries, 0) for entries in queues]
        # Among equal shares, the tenant with the first job comes first, futile or not.
        heap = [
            (self.share(owner), n)
            for n, owner in enumerate(owners)
            if positions[n] < len(queues[n])
        ]
        heapify(heap)
        while heap:
            number = heap[0][1]
            self._begin_turn(owners[number], heap)
            entries = queues[number]
            position = next_startable(entries, positions[number])
            # Shares change only by starts, so the tenant stays first until it has started a task.
            while position < len(entries) and not self._has_started:
                yield entries[position]
                position += not self._is_turn_over
                position = next_startable(entries, position)
            positions[number] = position
            if position < len(entries):
                heapreplace(heap, (self.share(owners[number]), number))
            else:
                heappop(heap)
        self._end_turns()

    def _begin_turn(self, owner: RunOwner, heap: Sequence[tuple[float, int]]) -> None:
        """Begin the turn of the tenant that is first in the heap of shares."""
        self._owner = owner
        self._has_started = self._is_turn_over = False
        self._turn_end_share = min((entry[0] for entry in heap[1:3]), default=float("inf"))
        self._turn_end_share += TURN_SHARE

    def _end_turns(self) -> None:
        """Let starts that follow no turn pass."""
        self._owner = None
        self._has_started = self._is_turn_over = False


def _next_group(entry: _Entry[_Ranked]) -> tuple[int, ...]:
    """Return the lowest rank after the jobs that precede or follow an entry whatever their shares.

    These are the jobs of the same priority that likewise end too late, or likewise don't.
    """
    priority, timeliness = entry[0][:2]
    if timeliness >= Timeliness.TOO_LATE:
        return (priority + 1,)
    return (priority, Timeliness.TOO_LATE)


def _dominant_part(used: Usage | ResourceVector, capacity: ResourceVector) -> float:
    """Return the largest part of any resource of a capacity."""
    return max(
        used.cpu / capacity.cpu if capacity.cpu else 0.0,
        used.memory_mb / capacity.memory_mb if capacity.memory_mb else 0.0,
        used.gpu / capacity.gpu if capacity.gpu else 0.0,
    )


def _total_capacity(minions: Iterable[Minion]) -> ResourceVector:
    """Return the sum of the capacities of minions."""
    cpu = memory_mb = gpu = 0
    for minion in minions:
        capacity = minion.facts.capacity
        cpu += capacity.cpu
        memory_mb += capacity.memory_mb
        gpu += capacity.gpu
    return ResourceVector(cpu, memory_mb, gpu)
