"""Crashes of minions that no task has caused, and what they say about the others.

Explanation
===========

A task is given up once it has crashed so many minions that chance is ruled out. While the platform
crashes minions by itself at a rate ``r`` for each minion, it crashes one during a test of ``t``
seconds with probability ``r t``, and ``n`` tests in a row with ``(r t)**n``. The number of crashes
that is needed is the least ``n`` for which this is below ``FALSE_VERDICT_PROBABILITY``.

The platform may end several minions together. Where some of them ran nothing that could have
crashed them, the platform has ended all of them.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil, log

from dotterelhill.jobs.model import TaskKey

# Crashes without a cause are remembered for this time.
RATE_SECONDS = 60.0
# Their rate is computed over this time at least.
MIN_RATE_SECONDS = 5.0
# Time for which a run may have crashed its minion: until it is proven, with the next report.
TEST_SECONDS = 0.5
FALSE_VERDICT_PROBABILITY = 1e-6
# A fleet without such crashes counts as one with this rate, for each minion and second.
LEAST_RATE = 1e-4
# Fewer crashes under a task never make its job fail.
MIN_CRASHES = 2
# After three crashes of a deadly task, two more starts are allowed.
MAX_CRASHES = 4
# Minions that are born within this time of each other were restarted for a common cause.
COMMON_BIRTH_MS = 300
# Minions without a possible cause that have to crash along with one for a common cause.
MIN_INNOCENT_MINIONS = 2
# The time of a crash that is known less exactly shows no common cause.
MAX_INTERVAL_SECONDS = 3.0
MAX_EVENTS = 512


@dataclass(frozen=True, slots=True, eq=False)
class CrashEvent:
    """Certain end of an incarnation of a minion.

    :param began_at: loop time of its last report, after which it ended
    :param at: loop time by which it had ended
    :param suspects: tasks that count it as a crash
    """

    minion_id: str
    failure_domain: str
    began_at: float
    at: float
    suspects: tuple[TaskKey, ...] = ()

    def may_coincide(self, other: CrashEvent) -> bool:
        """Return whether two minions may have ended at the same time, as far as that is known."""
        for event in (self, other):
            if event.at - event.began_at > MAX_INTERVAL_SECONDS:
                return False
        return self.began_at <= other.at and other.began_at <= self.at


class PlatformCrashes:
    """Recent crashes of minions."""

    def __init__(self) -> None:
        self._events: deque[CrashEvent] = deque(maxlen=MAX_EVENTS)

    def record(self, event: CrashEvent) -> list[CrashEvent]:
        """Record a crash.

        :returns: crashes with suspects that turn out to be the platform's
        """
        while self._events and event.at - self._events[0].at > RATE_SECONDS:
            self._events.popleft()
        self._events.append(event)
        together = [other for other in self._events if other.may_coincide(event)]
        innocent_count = len({other.minion_id for other in together if not other.suspects})
        if innocent_count < MIN_INNOCENT_MINIONS:
            return []
        return [other for other in together if other.suspects]

    def risks(self) -> Counter[str]:
        """Return how many minions the platform has crashed lately, by failure domain."""
        return Counter(event.failure_domain for event in self._events if not event.suspects)

    def needed_crashes(self, minion_count: int, now: float) -> int:
        """Return how many certain crashes under a task rule out that the platform caused them all.

        :param minion_count: number of minions of the fleet
        """
        innocent = [event.at for event in self._events if not event.suspects]
        recent = [at for at in innocent if now - at <= RATE_SECONDS]
        rate = LEAST_RATE
        if recent:
            seconds = max(MIN_RATE_SECONDS, now - recent[0])
            rate = max(rate, len(recent) / (seconds * max(1, minion_count)))
        probability = min(0.5, rate * TEST_SECONDS)
        needed = ceil(log(FALSE_VERDICT_PROBABILITY) / log(probability))
        return min(max(needed, MIN_CRASHES), MAX_CRASHES - 1)


def has_common_birth(born_ms: int, births_ms: Iterable[int]) -> bool:
    """Return whether a minion was restarted together with others.

    :param births_ms: births of all listed minions as Unix ms, with its own

    >>> has_common_birth(5000, [1, 4900, 5000, 5100]), has_common_birth(5000, [1, 4900, 5000])
    (True, False)
    """
    together = sum(abs(other - born_ms) <= COMMON_BIRTH_MS for other in births_ms)
    return together > MIN_INNOCENT_MINIONS
