"""Record of one machine over its incarnations, and the level at which it gets runs."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from math import exp

from dotterelhill.jobs.durations.speed import MinionSpeed
from dotterelhill.jobs.resources import ResourceVector

# An event of this age has 37 % of the weight of a new one. A machine on probation returns to normal
# when its newest bad event is older.
DECAY_SECONDS = 60.0
# Decayed number of failed runs, or of times that the machine went away, from which it looks bad:
# three within some ten seconds. One crash and one restart are usual.
BAD_EVENTS = 2.5
# Smallest share of the ended runs that failed on a machine that looks bad.
BAD_FAILED_SHARE = 0.25
# A machine is blamed for failures only if they are this many times as frequent as elsewhere.
FAILED_SHARE_FACTOR = 3.0
# A machine has returned to normal when this many runs at a time have been allowed to it.
FULL_ALLOWANCE = 16
# A run that fails on probation sets the machine aside, for twice as long each time in a row.
FIRST_SET_ASIDE_SECONDS, MAX_SET_ASIDE_SECONDS = 1.0, 4.0


class Level(StrEnum):
    """How far a machine may be used. SET_ASIDE: no run is tried there, except lasting tasks."""

    NORMAL = "normal"
    PROBATION = "probation"
    SET_ASIDE = "set aside"


class Fault(StrEnum):
    """Reason for which a machine looks bad."""

    SLOW = "slow"
    FAILING = "runs fail"
    LEAVING = "goes away"


@dataclass(slots=True)
class DecayedCount:
    """Number of events, each weighted by its age."""

    _value: float = 0.0
    _at: float = 0.0

    def add(self, now: float) -> None:
        """Count an event."""
        self._value, self._at = self.value(now) + 1.0, now

    def value(self, now: float) -> float:
        """Return the decayed number of events."""
        return self._value * exp((self._at - now) / DECAY_SECONDS) if self._value else 0.0

    def halve(self) -> None:
        """Give the events so far half of their weight."""
        self._value /= 2.0


@dataclass(slots=True)
class _Probation:
    """Time on probation.

    :param since: loop time at which it began; only runs that were planned later count
    :param allowance: largest number of runs at a time
    :param set_aside_until: loop time until which no run is tried
    :param failures: failed runs in a row
    """

    fault: Fault
    since: float
    allowance: int = 1
    set_aside_until: float = float("-inf")
    failures: int = 0


@dataclass(slots=True, eq=False)
class MinionStanding:
    """Record of the machine at one address, which outlives its incarnations. Times are loop times.

    :param capacity: size of the newest incarnation; one of another size is another machine
    :param speed: ratio of observed to expected durations, with its uncertainty
    :param is_running_slow: whether most of the present runs take much longer than expected
    """

    address: str
    capacity: ResourceVector
    speed: MinionSpeed = field(default_factory=lambda: MinionSpeed(decay_seconds=DECAY_SECONDS))
    is_running_slow: bool = False
    _ended: DecayedCount = field(default_factory=DecayedCount)
    _failed: DecayedCount = field(default_factory=DecayedCount)
    _departures: DecayedCount = field(default_factory=DecayedCount)
    _bad_at: float = float("-inf")
    _probation: _Probation | None = None

    @property
    def is_on_probation(self) -> bool:
        """Return whether the machine is on probation, or set aside during it."""
        return self._probation is not None

    @property
    def probation_since(self) -> float:
        """Return the loop time at which the probation began; infinite without one."""
        return self._probation.since if self._probation is not None else float("inf")

    @property
    def probation_fault(self) -> Fault | None:
        """Return the reason for the probation; None without one."""
        return self._probation.fault if self._probation is not None else None

    def level(self, now: float) -> Level:
        """Return how far the machine may be used."""
        if self._probation is None:
            return Level.NORMAL
        is_set_aside = now < self._probation.set_aside_until
        return Level.SET_ASIDE if is_set_aside else Level.PROBATION

    def allowance(self, now: float) -> int:
        """Return the number of runs that the machine may have at a time while on probation."""
        if self._probation is None or now < self._probation.set_aside_until:
            return 0
        return self._probation.allowance

    def failed_share(self, now: float) -> float:
        """Return the share of the ended runs that failed."""
        ended = self._ended.value(now)
        return self._failed.value(now) / ended if ended > 0.0 else 0.0

    def failed_and_ended(self, now: float) -> tuple[float, float]:
        """Return the decayed numbers of failed and of all ended runs."""
        return self._failed.value(now), self._ended.value(now)

    def departures(self, now: float) -> float:
        """Return the decayed number of times that the machine went away."""
        return self._departures.value(now)

    def fault(self, usual_failed_share: float, now: float) -> Fault | None:
        """Return why the machine looks bad; None if it does not.

        :param usual_failed_share: share of the runs that fail on the other machines of the service
        """
        if self.speed.is_slow or self.is_running_slow:
            return Fault.SLOW
        if self._departures.value(now) >= BAD_EVENTS:
            return Fault.LEAVING
        smallest_share = max(BAD_FAILED_SHARE, FAILED_SHARE_FACTOR * usual_failed_share)
        is_failing = self._failed.value(now) >= BAD_EVENTS
        return Fault.FAILING if is_failing and self.failed_share(now) >= smallest_share else None

    def record_done(self, planned_at: float, now: float, *, is_slow: bool) -> None:
        """Record a run that ended done.

        :param planned_at: time at which the run was planned
        :param is_slow: whether it took much longer than expected
        """
        self._ended.add(now)
        if is_slow:
            self._bad_at = now
        probation = self._probation
        if probation is None or planned_at < probation.since:
            return
        probation.failures = 0
        probation.allowance = 1 if is_slow else 2 * probation.allowance

    def record_failure(self, now: float) -> None:
        """Record a failed run."""
        self._ended.add(now)
        self._failed.add(now)
        self._bad_at = now
        probation = self._probation
        if probation is None:
            return
        probation.allowance = 1
        seconds = min(MAX_SET_ASIDE_SECONDS, FIRST_SET_ASIDE_SECONDS * 2**probation.failures)
        probation.set_aside_until = now + seconds
        probation.failures += 1

    def record_departure(self, now: float) -> None:
        """Record that the machine went away without notice."""
        self._departures.add(now)
        self._bad_at = now
        if self._probation is not None:
            self._probation.allowance = 1

    def record_running_slow(self, now: float) -> None:
        """Record that most of the present runs take much longer than expected."""
        self.is_running_slow = True
        self._bad_at = now

    def begin_probation(self, fault: Fault, now: float) -> None:
        """Put the machine on probation."""
        self._probation = _Probation(fault, now)
        self._bad_at = now

    def end_probation(self) -> None:
        """Let the machine get runs as others do."""
        self._probation = None

    def has_passed(self, now: float) -> bool:
        """Return whether the machine has shown on probation that it works, or long nothing bad."""
        if self._probation is None:
            return False
        is_full = self._probation.allowance >= FULL_ALLOWANCE
        return is_full or now - self._bad_at >= DECAY_SECONDS

    def forgive(self) -> None:
        """End the probation, so that one or two further bad events begin another one."""
        self._probation = None
        self.is_running_slow = False
        self.speed.forget()
        for count in (self._ended, self._failed, self._departures):
            count.halve()
