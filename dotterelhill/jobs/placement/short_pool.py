"""Minions on which no lasting task starts, so that short tasks find whole slots there.

Explanation
===========

Lasting tasks that ask for more than the fleet take each piece of room that a short task leaves.
A short task that needs a larger piece then never fits. Where short tasks have waited without room,
lasting runs are stopped on a few minions (``Preemption``), and these minions join the pool of their
service: a slot there goes from short task to short task.

A lasting task must not wait for 3 s while there is room for it twice over. So once this has held
for ``OPEN_AFTER_SECONDS`` beside an overdue lasting task, minions of the pool are open to lasting
tasks until there was no such room at one moment; after ``MAX_ROOM_SECONDS`` those with the fewest
short tasks leave the pool. Room counts as taken only by runs that are known to be present: the time
between two short tasks in a slot is room as well.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from dotterelhill.jobs.fleet import Minion, RunState
from dotterelhill.jobs.model import Step, TaskKey
from dotterelhill.jobs.placement.waiting import (
    LASTING_OVERDUE_SECONDS,
    RankedJob,
    has_required_label,
    longest_idle_seconds,
    startable_lasting_steps,
)
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tenants.limits import TenantLimits

# Of the 3 s for which an overdue lasting task may wait beside room for two, the rest is left for
# the start of the task.
MAX_ROOM_SECONDS = 1.6
PAUSE_AFTER_SECONDS = 0.6
# Lasting tasks that take the free slots are present some tenths of a second later.
OPEN_AFTER_SECONDS = 1.2
# A minion that no short task has used for this time leaves the pool while lasting tasks wait.
MAX_IDLE_SECONDS = 2.0
# Without short tasks and without lasting tasks that wait, the pool ends after this time.
MAX_UNUSED_SECONDS = 10.0
# A planned start is present after this time at the latest, or has failed.
STARTING_SECONDS = 1.0
# With rounds further apart, room that becomes free could stand idle for too long before it is given
# back, so no minions are kept.
MAX_ROUND_SECONDS = 0.25
# The limits above hold for rounds this far apart, and shrink by two rounds beyond.
USUAL_ROUND_SECONDS = 0.1
# Share of the longest time between two rounds that still counts at the next one.
ROUND_DECAY = 0.8
# Room for a second task of the same size has to be left before a wait counts.
COUNTED_SLOTS = 2


@dataclass(slots=True)
class _Member:
    """Minion of the pool.

    :param used_at: loop time at which a short task was last there, or the minion joined
    """

    used_at: float


class ShortPool:
    """Minions that are kept for short tasks, in all services.

    :param limits: limits of tenants, beyond which lasting tasks wait beside any room
    """

    def __init__(self, limits: TenantLimits) -> None:
        self._limits = limits
        self._members: dict[Minion, _Member] = {}
        self._counts: Counter[str] = Counter()
        self._started_at: dict[Minion, float] = {}
        # Members on which lasting tasks may start in this round.
        self._open: set[Minion] = set()
        # Loop time from which an overdue lasting task has had room for two, by service.
        self._room_since: dict[str, float] = {}
        self._round_at: float | None = None
        # Time between rounds; a long one counts for some rounds.
        self._round_seconds = 0.0

    @property
    def is_slow(self) -> bool:
        """Return whether rounds are too far apart to keep minions for short tasks."""
        return self._round_seconds > MAX_ROUND_SECONDS

    @property
    def minion_count(self) -> int:
        """Return the number of minions that are kept for short tasks."""
        return len(self._members)

    def holds(self, minion: Minion) -> bool:
        """Return whether a minion is kept for short tasks."""
        return minion in self._members

    def is_closed(self, minion: Minion) -> bool:
        """Return whether a minion is kept for short tasks and no lasting task may start there."""
        return minion in self._members and minion not in self._open

    def has_minions_of(self, service: str) -> bool:
        """Return whether minions of a service are kept for short tasks."""
        return self._counts[service] > 0

    def count_of(self, service: str) -> int:
        """Return the number of minions of a service that are kept for short tasks."""
        return self._counts[service]

    def add(self, minion: Minion, now: float) -> None:
        """Keep a minion for short tasks."""
        if minion not in self._members:
            self._counts[minion.facts.service] += 1
        self._members[minion] = _Member(now)

    def _remove(self, minion: Minion) -> None:
        """Let a minion leave the pool."""
        del self._members[minion]
        self._counts[minion.facts.service] -= 1

    def record_start(self, minion: Minion, now: float) -> None:
        """Record that a start was planned on a minion."""
        if self._members:
            self._started_at[minion] = now

    def is_pressed(self, service: str, now: float) -> bool:
        """Return whether an overdue lasting task has waited beside room for two for long.

        Stopping more lasting runs would add room that is free until others start.
        """
        return now - self._room_since.get(service, now) >= PAUSE_AFTER_SECONDS

    def begin_round(
        self,
        by_service: Mapping[str, Sequence[Minion]],
        ranked_lasting: Sequence[RankedJob],
        now: float,
        unix_ms: int,
    ) -> list[Minion]:
        """Return the minions on which lasting tasks may start now, but not in the last round.

        :param by_service: minions on which tasks may start
        :param ranked_lasting: jobs with lasting steps of which tasks wait
        :param unix_ms: wall-clock time in Unix ms, for the schedules of jobs
        """
        if self._round_at is not None:
            decayed = ROUND_DECAY * self._round_seconds
            self._round_seconds = max(now - self._round_at, decayed)
        self._round_at = now
        if not self._members:
            self._room_since.clear()
            self._started_at.clear()
            return []
        self._open.clear()
        if self.is_slow:
            return self._drop_all()
        released = self._drop_unusable(by_service, now)
        for minion, started_at in list(self._started_at.items()):
            if now - started_at > STARTING_SECONDS:
                del self._started_at[minion]
        for service in {minion.facts.service for minion in self._members}:
            pool = by_service[service]
            waits = [
                wait
                for wait in _waiting_steps(service, ranked_lasting, now, unix_ms)
                if self._limits.allowed_count(wait.tenant, wait.step, 1)
            ]
            overdue = [one for one in waits if one.idle_seconds >= LASTING_OVERDUE_SECONDS]
            # A gang starts only where all its tasks fit, which one minion rarely decides.
            has_waits = any(not wait.step.is_gang for wait in waits)
            released += self._release_unused(service, now, has_waits=has_waits)
            released += self._release_room(service, pool, overdue, now)
        return [*released, *self._open]

    def _drop_all(self) -> list[Minion]:
        """Remove and return all minions."""
        dropped = list(self._members)
        for minion in dropped:
            self._remove(minion)
        return dropped

    def _drop_unusable(
        self, by_service: Mapping[str, Sequence[Minion]], now: float
    ) -> list[Minion]:
        """Remove and return the minions on which no task may start, or may soon not start.

        While a minion is set aside after failures, its room still counts for lasting tasks that
        wait, and so does the time before.
        """
        usable: set[Minion] = set()
        for service in {minion.facts.service for minion in self._members}:
            usable.update(by_service.get(service, ()))
        dropped = [
            minion
            for minion in self._members
            if minion not in usable or minion.health.has_failed_lately(now)
        ]
        for minion in dropped:
            self._remove(minion)
        return dropped

    def _release_unused(self, service: str, now: float, *, has_waits: bool) -> list[Minion]:
        """Remove and return the minions that no short task has used for long.

        :param has_waits: whether lasting tasks wait in the service
        """
        limit_seconds = MAX_IDLE_SECONDS if has_waits else MAX_UNUSED_SECONDS
        released = []
        for minion, member in list(self._members.items()):
            if minion.facts.service != service:
                continue
            if minion.short_cpu:
                member.used_at = now
            elif now - member.used_at >= limit_seconds:
                self._remove(minion)
                released.append(minion)
        return released

    def _release_room(
        self, service: str, pool: Sequence[Minion], overdue: Sequence[_Wait], now: float
    ) -> list[Minion]:
        """Remove and return the minions whose room an overdue lasting task has waited beside."""
        members = [minion for minion in self._members if minion.facts.service == service]
        present_free = {minion: _present_free(minion) for minion in members}
        room = _Room(pool, present_free, self._started_at)
        if not room.is_for_two_of(overdue, is_any=True):
            self._room_since.pop(service, None)
            return []
        lost_seconds = 2.0 * max(0.0, self._round_seconds - USUAL_ROUND_SECONDS)
        room_seconds = now - self._room_since.setdefault(service, now) + lost_seconds
        if room_seconds >= OPEN_AFTER_SECONDS:
            self._open_members(pool, members, overdue)
        if room_seconds < MAX_ROOM_SECONDS:
            return []
        released: list[Minion] = []
        members.sort(key=lambda minion: minion.short_cpu)
        for minion in members:
            if not room.is_for_two_of(overdue):
                break
            room.remove(minion)
            self._remove(minion)
            released.append(minion)
        return released

    def _open_members(
        self, pool: Sequence[Minion], members: Sequence[Minion], overdue: Sequence[_Wait]
    ) -> None:
        """Open the members with most room, until the others have no room for two."""
        room = _Room(pool, {minion: minion.free for minion in members}, {})
        for minion in sorted(members, key=lambda minion: -minion.free_cpu):
            if not room.is_for_two_of(overdue):
                return
            room.remove(minion)
            self._open.add(minion)


@dataclass(frozen=True, slots=True)
class _Wait:
    """Step with lasting tasks that wait.

    :param idle_seconds: longest time for which one of them has not run
    """

    step: Step
    key: TaskKey
    tenant: str
    idle_seconds: float


class _Room:
    """Free capacity of the minions of a service, those of the pool apart.

    :param pool: minions of the service on which tasks may start
    :param kept: free capacity of those that are kept for short tasks
    :param starting: minions with starts of which the runs may not be present yet
    """

    def __init__(
        self,
        pool: Sequence[Minion],
        kept: Mapping[Minion, ResourceVector],
        starting: Mapping[Minion, float],
    ) -> None:
        self._kept = dict(kept)
        self._others = [minion for minion in pool if minion not in self._kept]
        self._starting = starting

    def remove(self, minion: Minion) -> None:
        """Leave out a minion of the pool, which will be filled by lasting tasks."""
        del self._kept[minion]

    def is_for_two_of(self, waits: Sequence[_Wait], *, is_any: bool = False) -> bool:
        """Return whether two tasks of one of the steps fit.

        :param is_any: whether it counts if none of them fits in the pool
        """
        seen = set()
        for wait in waits:
            step = wait.step
            job_id = wait.key.job_id if step.anti_affinity or step.is_gang else ""
            identity = (step.room, step.required_label, job_id)
            if identity in seen:
                continue
            seen.add(identity)
            slots = sum(_slots(minion, free, step, wait.key) for minion, free in self._kept.items())
            if (slots or is_any) and self._is_met(slots, step, wait.key):
                return True
        return False

    def _is_met(self, slots: int, step: Step, key: TaskKey) -> bool:
        """Return whether the slots in the pool and outside it are enough."""
        needed = COUNTED_SLOTS * (step.count if step.is_gang else 1)
        for minion in self._others:
            if slots >= needed:
                return True
            if minion in self._starting:
                slots += _slots(minion, _present_free(minion), step, key)
            elif minion.has_room_for(step):
                slots += _slots(minion, minion.free, step, key)
        return slots >= needed


def slots_in(free: ResourceVector, room: ResourceVector) -> int:
    """Return how many tasks that reserve ``room`` fit into free capacity.

    >>> slots_in(ResourceVector(32000, 50000), ResourceVector(10000, 20000))
    2
    """
    slots: int | None = None
    pairs = ((free.cpu, room.cpu), (free.memory_mb, room.memory_mb), (free.gpu, room.gpu))
    for have, need in pairs:
        if need:
            slots = max(0, have) // need if slots is None else min(slots, max(0, have) // need)
    return slots or 0


def _slots(minion: Minion, free: ResourceVector, step: Step, key: TaskKey) -> int:
    """Return how many tasks of a step fit into the free capacity of a minion."""
    slots = slots_in(free, step.reserved_resources)
    if not slots or not has_required_label(minion, step):
        return 0
    if step.anti_affinity:
        count = minion.run_count(key.job_id, key.occurrence, key.step)
        slots = min(slots, max(0, step.anti_affinity - count))
    return slots


def _present_free(minion: Minion) -> ResourceVector:
    """Return the capacity that no run reserves which is known to be present."""
    free = minion.facts.capacity
    for run in minion.runs.values():
        if run.state in (RunState.PRESENT, RunState.STOPPING):
            free = free.minus(run.step.reserved_resources)
    return free


def _waiting_steps(
    service: str, ranked_lasting: Sequence[RankedJob], now: float, unix_ms: int
) -> list[_Wait]:
    """Return the steps of a service with lasting tasks that wait."""
    return list(_iterate_waits(service, ranked_lasting, now, unix_ms))


def _iterate_waits(
    service: str, ranked_lasting: Sequence[RankedJob], now: float, unix_ms: int
) -> Iterator[_Wait]:
    """Yield the steps of a service with lasting tasks that wait."""
    for _, queue, waiting in ranked_lasting:
        if queue.service != service:
            continue
        for step, keys in startable_lasting_steps(waiting, queue, unix_ms):
            idle_seconds = longest_idle_seconds(waiting.job, keys, now)
            yield _Wait(step, keys[0], waiting.job.submission.tenant, idle_seconds)
