"""Minions on which no lasting task starts, so that short tasks find whole slots there.

Explanation
===========

Lasting tasks that ask for more than the fleet take each piece of room that a short task leaves.
A short task that needs a larger piece then never fits. Where short tasks have waited without room,
lasting runs are stopped on a few minions (``Preemption``), and these minions join the pool of their
service: a slot there goes from short task to short task.

The minions are open to lasting steps that have waited beside room for long (``RoomWaits``).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.placement.filler_claims import StepId
from dotterelhill.jobs.placement.room_waits import RoomWaits
from dotterelhill.jobs.placement.waiting import RankedJob

PAUSE_AFTER_SECONDS = 1.0
# A minion that no short task has used for this time leaves the pool while lasting tasks wait.
MAX_IDLE_SECONDS = 2.0
# Without short tasks and without lasting tasks that wait, the pool ends after this time.
MAX_UNUSED_SECONDS = 10.0
# With rounds further apart, room that becomes free could stand idle for too long before it is given
# back, so no minions are kept.
MAX_ROUND_SECONDS = 0.25
# Share of the longest time between two rounds that still counts at the next one.
ROUND_DECAY = 0.8


@dataclass(slots=True)
class _Member:
    """Minion of the pool.

    :param used_at: loop time at which a short task was last there, or the minion joined
    """

    used_at: float


class ShortPool:
    """Minions that are kept for short tasks, in all services.

    :param room_waits: waits of lasting steps beside room
    """

    def __init__(self, room_waits: RoomWaits) -> None:
        self._room_waits = room_waits
        self._members: dict[Minion, _Member] = {}
        self._counts: Counter[str] = Counter()
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

    def is_closed(self, minion: Minion, identity: StepId) -> bool:
        """Return whether a minion is kept for short tasks and no task of a step may start there.

        :param identity: job, occurrence and step of lasting tasks
        """
        return minion in self._members and not self._room_waits.is_due(identity)

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

    def is_pressed(self, service: str) -> bool:
        """Return whether an overdue lasting task has waited beside room for long.

        Stopping more lasting runs would add room that is free until others start.
        """
        return self._room_waits.longest_of(service) >= PAUSE_AFTER_SECONDS

    def begin_round(
        self,
        by_service: Mapping[str, Sequence[Minion]],
        ranked_lasting: Sequence[RankedJob],
        now: float,
        unix_ms: int,
    ) -> list[Minion]:
        """Update the waits beside room, and return the minions that are not kept any more.

        :param by_service: minions on which tasks may start
        :param ranked_lasting: jobs with lasting steps of which tasks wait
        :param unix_ms: wall-clock time in Unix ms, for the schedules of jobs
        """
        if self._round_at is not None:
            decayed = ROUND_DECAY * self._round_seconds
            self._round_seconds = max(now - self._round_at, decayed)
        self._round_at = now
        self._room_waits.update(by_service, ranked_lasting, self._round_seconds, now, unix_ms)
        if self.is_slow:
            return self._drop_all()
        return self._drop_unusable(by_service, now) + self._release_unused(now)

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

    def _release_unused(self, now: float) -> list[Minion]:
        """Remove and return the minions that no short task has used for long."""
        released = []
        for minion, member in list(self._members.items()):
            has_waits = self._room_waits.has_waiting_tasks(minion.facts.service)
            limit_seconds = MAX_IDLE_SECONDS if has_waits else MAX_UNUSED_SECONDS
            if minion.short_cpu:
                member.used_at = now
            elif now - member.used_at >= limit_seconds:
                self._remove(minion)
                released.append(minion)
        return released
