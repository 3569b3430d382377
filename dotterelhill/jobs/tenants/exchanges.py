"""Search for a run of one tenant whose stop lets a waiting task of another one start."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import inf
from typing import Protocol

from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.interference.sharing import MIN_FILLER_CPU_SHARE
from dotterelhill.jobs.model import Step
from dotterelhill.jobs.placement.waiting import (
    LASTING_OVERDUE_SECONDS,
    RankKey,
    longest_idle_seconds,
)
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tenants.candidates import Candidate
from dotterelhill.jobs.tenants.limits import TenantLimits
from dotterelhill.jobs.tenants.loads import WaitingTasks
from dotterelhill.jobs.tenants.shares import TenantShares
from dotterelhill.jobs.tenants.usage import RunOwner, TenantUsage

# Shares, each divided by its weight, that differ by less than this part of the larger one count as
# equal. Without it, two tenants would take single runs from each other in turn.
SHARE_TOLERANCE = 0.1
# A search is part of a round, which has 25 ms, and checks all kinds of waiting tasks on each.
MAX_EXPECTED_MINIONS = 32

_NOTHING = ResourceVector()


class StartCheck(Protocol):
    """What placement tells about starts that it did not choose."""

    @property
    def had_starts_left(self) -> bool:
        """Return whether the newest round tried every waiting task."""

    def idle_cpu(self, minion: Minion) -> float:
        """Return the thousandths of a processor of a minion that fillers may use."""

    def waiting_tenants(self) -> set[str]:
        """Return the tenants with jobs of which tasks wait for a minion."""

    def could_start(
        self,
        tasks: WaitingTasks,
        minion: Minion,
        pool: Sequence[Minion],
        now: float,
        *,
        yielding: str,
    ) -> bool:
        """Return whether a waiting task could start on a minion, but for claims of a tenant."""


@dataclass(slots=True)
class _Group:
    """Waiting tasks of one tenant that need the same; ``count`` are not promised a place yet.

    :param is_first: whether they precede all others, as overdue lasting tasks do
    :param first_at: loop time from which one of them does so
    :param rank: the first rank of their jobs, which decides the order of those that precede
    """

    owner: RunOwner
    tasks: WaitingTasks
    is_first: bool
    first_at: float
    rank: RankKey
    count: int = 0

    def order(self, share: float) -> tuple[bool, tuple[float, ...], float]:
        """Return the order in which they start, given the share of their tenant."""
        if self.is_first:
            return (False, self.rank, 0.0)
        tasks = self.tasks
        return (True, (tasks.priority, tasks.is_too_late, bool(self.owner.tenant)), share)


@dataclass(frozen=True, slots=True)
class Exchange:
    """A run that gives up its place, and the kind of waiting task that takes it.

    :param taker: tenant of the waiting task
    :param step: step of that task
    :param is_free: whether the task could start even if the run was not stopped
    """

    candidate: Candidate
    taker: RunOwner
    step: Step
    is_free: bool
    group: tuple[object, ...]


class ExchangeSearch:
    """Search in one service, in which each exchange counts as done for the next ones.

    :param pool: minions of the service on which tasks may start
    :param waiting: tasks of the service that the round has left waiting
    """

    def __init__(
        self,
        service: str,
        pool: Sequence[Minion],
        waiting: Iterable[WaitingTasks],
        check: StartCheck,
        usage: TenantUsage,
        limits: TenantLimits,
        shares: TenantShares,
        now: float,
    ) -> None:
        self.service = service
        self._pool = pool
        self._minions = set(pool)
        self._expected: set[Minion] = set()
        self._check = check
        self._limits = limits
        self._shares = shares
        self._now = now
        self._changes: dict[RunOwner, ResourceVector] = {}
        # Resources by tenant of the tasks that are to take a place and have not started.
        self._promised: dict[str, ResourceVector] = {}
        self._groups: dict[tuple[object, ...], _Group] = {}
        for tasks in waiting:
            key = _group_key(tasks, now)
            group = self._groups.get(key)
            if group is None:
                group = self._groups[key] = _new_group(tasks, now)
            group.first_at = min(group.first_at, _first_at(tasks, now))
            group.rank = min(group.rank, tasks.rank)
            group.count += len(tasks.keys)
        self._users = {owner for owner in usage.by_owner if owner.service == service}
        self._fair_share = self._find_fair_share()
        self._order: list[tuple[tuple[object, ...], _Group]] = []
        self._sort_groups()

    @property
    def has_takers(self) -> bool:
        """Return whether a tenant below its share waits for capacity."""
        return any(
            self._is_below_share(group) and group.count > 0 and self._is_allowed(group)
            for group in self._groups.values()
        )

    def share(self, owner: RunOwner, change: ResourceVector = _NOTHING) -> float:
        """Return the dominant share of a tenant over its weight after all exchanges.

        :param change: further change of the resources that the tenant uses
        """
        weight = self._limits.tenant(owner.tenant).weight
        if weight <= 0:
            return float("inf")
        return self._dominant_share(owner, change) / weight

    def _dominant_share(self, owner: RunOwner, change: ResourceVector = _NOTHING) -> float:
        """Return the dominant share of a tenant after all exchanges and a further change."""
        change = self._changes.get(owner, _NOTHING).plus(change)
        return self._shares.dominant_share_after(owner, change)

    def is_above_share(self, owner: RunOwner) -> bool:
        """Return whether a tenant uses more than its share."""
        return self.share(owner) > self._fair_share

    def find(self, candidate: Candidate, free_in_seconds: float) -> Exchange | None:
        """Return the exchange that would follow the stop of a run; None if it should not be.

        The first waiting task that could start in its place decides, since it would take it.

        :param free_in_seconds: time after which the run would have ended
        """
        minion, run = candidate.minion, candidate.run
        if minion not in self._minions:
            return None
        minion.detach(run)
        try:
            found = self._first_to_start(candidate)
            if found is None or not self._is_fair(candidate, found[1]):
                return None
            if self._is_lost_soon(candidate, found[1], free_in_seconds):
                return None
        finally:
            minion.attach(run)
        key, group = found
        is_free = self._could_start(group, candidate)
        return Exchange(candidate, group.owner, group.tasks.step, is_free, key)

    def expect(self, minions: Iterable[Minion]) -> None:
        """Promise the room of further minions to the first waiting tasks that could start there.

        :param minions: those, of any service, that become usable before a stopped run would end
        """
        for minion in minions:
            if minion.facts.service != self.service or minion in self._expected:
                continue
            if len(self._expected) >= MAX_EXPECTED_MINIONS:
                break
            self._expected.add(minion)
            pool = [*self._pool, minion]
            idle_cpu = self._check.idle_cpu(minion)
            self._promise_room(minion, pool, minion.free, idle_cpu, yielding="")
        if self._expected:
            self._fair_share = self._find_fair_share()

    def add(self, exchange: Exchange, *, has_started: bool = False) -> None:
        """Count an exchange as done.

        :param has_started: whether the task that takes the place is among the counted runs
        """
        candidate = exchange.candidate
        giver, minion, run = candidate.owner, candidate.minion, candidate.run
        released = _NOTHING.minus(run.step.room)
        self._changes[giver] = self._changes.get(giver, _NOTHING).plus(released)
        if not has_started:
            self._promise(exchange.taker, exchange.step, exchange.group)
        self._sort_groups()
        # The minion of a stopped run may have become unusable.
        if minion in self._minions and minion.runs.get(run.key) is run:
            self._promise_rest(exchange, has_started=has_started)

    def _promise(self, owner: RunOwner, step: Step, key: tuple[object, ...]) -> None:
        """Count a task of a group as one that takes a place."""
        self._changes[owner] = self._changes.get(owner, _NOTHING).plus(step.room)
        promised = self._promised.get(owner.tenant, _NOTHING)
        self._promised[owner.tenant] = promised.plus(step.room)
        if key in self._groups:
            self._groups[key].count -= 1

    def _promise_rest(self, exchange: Exchange, *, has_started: bool) -> None:
        """Promise what the taker leaves of a place to the tasks that start there after it.

        Otherwise another run would be stopped for them.

        :param has_started: whether the taker is among the runs of the minion
        """
        candidate = exchange.candidate
        minion, run = candidate.minion, candidate.run
        minion.detach(run)
        try:
            free, idle_cpu = minion.free, self._check.idle_cpu(minion)
            if not has_started:
                free = free.minus(exchange.step.reserved_resources)
                idle_cpu -= exchange.step.room.cpu
            yielding = candidate.owner.tenant
            self._promise_room(minion, self._pool, free, idle_cpu, yielding=yielding)
        finally:
            minion.attach(run)

    def _promise_room(
        self,
        minion: Minion,
        pool: Sequence[Minion],
        free: ResourceVector,
        idle_cpu: float,
        *,
        yielding: str,
    ) -> None:
        """Promise room on a minion to the first waiting tasks that could start there.

        :param pool: minions of the service on which tasks may start then
        :param free: resources of the minion that are promised to no task yet
        :param idle_cpu: thousandths of a processor that fillers may use there
        :param yielding: tenant whose fillers have no claim on the minion
        """
        has_promised = False
        for key, group in self._order:
            step, is_startable = group.tasks.step, False
            while group.count > 0 and free.is_enough_for(step.reserved_resources):
                if step.is_filler and idle_cpu < MIN_FILLER_CPU_SHARE * step.room.cpu:
                    break
                is_startable = is_startable or self._check.could_start(
                    group.tasks, minion, pool, self._now, yielding=yielding
                )
                if not is_startable or not self._is_allowed(group):
                    break
                self._promise(group.owner, step, key)
                free = free.minus(step.reserved_resources)
                idle_cpu -= step.room.cpu
                has_promised = True
        if has_promised:
            self._sort_groups()

    def _find_fair_share(self) -> float:
        """Return the share over weight that tenants would have if what they use was divided fairly.

        A tenant that uses less and waits for nothing keeps what it uses.
        """
        waiting = {
            group.owner
            for group in self._groups.values()
            if group.owner.tenant and self._is_allowed(group)
        }
        owners = self._users | waiting
        while True:
            weights = sum(self._limits.tenant(owner.tenant).weight for owner in owners)
            if weights <= 0:
                return 0.0
            fair_share = sum(self._dominant_share(owner) for owner in owners) / weights
            satisfied = {owner for owner in owners - waiting if self.share(owner) < fair_share}
            if not satisfied:
                return fair_share
            owners -= satisfied

    def _could_start(self, group: _Group, candidate: Candidate, in_seconds: float = 0.0) -> bool:
        """Return whether a task of a group could start on the minion of a candidate as it is."""
        return self._check.could_start(
            group.tasks,
            candidate.minion,
            self._pool,
            self._now + in_seconds,
            yielding=candidate.owner.tenant,
        )

    def _first_to_start(self, candidate: Candidate) -> tuple[tuple[object, ...], _Group] | None:
        """Return the first group, in the order of starts, of which a task could start."""
        minion = candidate.minion
        free_memory_mb = minion.facts.capacity.memory_mb - minion.used.memory_mb
        free_gpu = minion.facts.capacity.gpu - minion.used.gpu
        for key, group in self._order:
            step = group.tasks.step
            if step.room.memory_mb > free_memory_mb or step.room.gpu > free_gpu:
                continue
            if not step.is_filler and step.room.cpu > minion.free_cpu:
                continue
            if group.count <= 0 or not self._is_allowed(group):
                continue
            if self._could_start(group, candidate):
                return key, group
        return None

    def _is_lost_soon(self, candidate: Candidate, taker: _Group, free_in_seconds: float) -> bool:
        """Return whether a task that should not have the place may start there before the taker.

        Lasting tasks that have waited for long precede all others, whatever the shares are, and
        ignore what is reserved for short tasks.
        """
        for group in self._groups.values():
            if group.is_first or group.first_at > self._now + free_in_seconds:
                continue
            if taker.is_first and taker.rank <= group.rank:
                continue
            if group.count <= 0 or not self._is_allowed(group):
                continue
            if self._is_fair(candidate, group):
                continue
            if self._could_start(group, candidate, free_in_seconds):
                return True
        return False

    def _is_fair(self, candidate: Candidate, group: _Group) -> bool:
        """Return whether an exchange makes the shares more equal, and no other undoes it."""
        # The task of the stopped run waits again, and would rank before the other one.
        if candidate.priority < group.tasks.priority:
            return False
        if not self._is_below_share(group):
            return False
        giver, taker = candidate.owner, group.owner
        if self.share(taker) >= (1.0 - SHARE_TOLERANCE) * self.share(giver):
            return False
        released = _NOTHING.minus(candidate.run.step.room)
        share_after = self.share(taker, group.tasks.step.room)
        return self.share(giver, released) >= (1.0 - SHARE_TOLERANCE) * share_after

    def _is_below_share(self, group: _Group) -> bool:
        """Return whether a group belongs to a tenant below its share and may be of use in time."""
        if not group.owner.tenant or group.tasks.is_too_late:
            return False
        return self.share(group.owner) < self._fair_share

    def _is_allowed(self, group: _Group) -> bool:
        """Return whether the limit of its tenant allows another task of a group."""
        tenant = group.owner.tenant
        promised = self._promised.get(tenant, _NOTHING)
        return self._limits.has_room(tenant, promised.plus(group.tasks.step.room))

    def _sort_groups(self) -> None:
        """Bring the groups in the order of their starts."""
        shares = {owner: self.share(owner) for owner in {g.owner for g in self._groups.values()}}
        self._order = sorted(
            self._groups.items(), key=lambda entry: entry[1].order(shares[entry[1].owner])
        )


def _group_key(tasks: WaitingTasks, now: float) -> tuple[object, ...]:
    """Return what waiting tasks have in common that start alike."""
    job, step = tasks.job, tasks.step
    submission, room = job.submission, step.room
    return (
        submission.tenant,
        tasks.priority,
        tasks.is_too_late,
        _first_at(tasks, now) <= now,
        room.cpu,
        room.memory_mb,
        room.gpu,
        step.is_lasting,
        step.is_filler,
        step.is_gang,
        step.image,
        step.required_label,
        submission.job_id if step.anti_affinity else "",
    )


def _new_group(tasks: WaitingTasks, now: float) -> _Group:
    owner = RunOwner(tasks.job.submission.tenant, tasks.service)
    first_at = _first_at(tasks, now)
    return _Group(owner, tasks, first_at <= now, first_at, tasks.rank)


def _first_at(tasks: WaitingTasks, now: float) -> float:
    """Return the loop time from which a waiting task precedes all others; infinite for never."""
    if not tasks.step.is_lasting:
        return inf
    return now + LASTING_OVERDUE_SECONDS - longest_idle_seconds(tasks.job, tasks.keys, now)
