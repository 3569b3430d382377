"""Reservations of minions, and the choice of the minions that have room earliest."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from heapq import nsmallest

from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.model import Step
from dotterelhill.jobs.placement.filler_claims import FillerClaims
from dotterelhill.jobs.placement.lasting_claims import LastingClaims
from dotterelhill.jobs.placement.look_ahead.candidates import Candidate
from dotterelhill.jobs.placement.look_ahead.profile import CapacityProfiles
from dotterelhill.jobs.placement.waiting import has_required_label
from dotterelhill.jobs.resources import ResourceVector

# A reservation that can't be met within this time is dropped.
MAX_AHEAD_SECONDS = 30.0
# Profiles are computed for this many minions for each reservation: those that lack least.
MAX_EXAMINED_MINIONS = 8
# A reservation moves to another minion only if that one has room this much earlier. Each move gives
# up the processors that were left idle for it.
MIN_GAIN_SECONDS = 1.0


@dataclass(slots=True)
class Reservation:
    """Room that is kept on one minion for tasks of a step.

    :param count: number of tasks that are to start there
    :param room: resources that they need together
    :param starts_at: loop time from which they are expected to fit
    """

    candidate: Candidate
    minion: Minion
    count: int
    room: ResourceVector
    starts_at: float


@dataclass(slots=True)
class ReservedStep:
    """Reservations of one step.

    :param chosen_at: loop time at which its minions were chosen
    """

    candidate: Candidate
    reservations: list[Reservation]
    chosen_at: float

    @property
    def minions(self) -> list[Minion]:
        """Return its reserved minions."""
        return [reservation.minion for reservation in self.reservations]

    @property
    def is_due(self) -> bool:
        """Return whether its reserved tasks fit now: all of a gang, otherwise any."""
        step = self.candidate.step
        if step.is_gang:
            return all(one.minion.free.is_enough_for(one.room) for one in self.reservations)
        return any(one.minion.has_room_for(step) for one in self.reservations)

    @property
    def starts_at(self) -> float:
        """Return the loop time from which all its reserved tasks are expected to fit."""
        return max(reservation.starts_at for reservation in self.reservations)


@dataclass(slots=True)
class MinionChoice:
    """Choice of minions for reservations.

    :param lasting_claims: claims that take precedence over reservations
    :param filler_claims: claims that take precedence over reservations
    :param taken: minions that already have a reservation
    """

    profiles: CapacityProfiles
    lasting_claims: LastingClaims
    filler_claims: FillerClaims
    taken: set[Minion] = field(default_factory=set)

    def choose(
        self, candidate: Candidate, pool: Sequence[Minion], max_minions: int, now: float
    ) -> ReservedStep | None:
        """Return the reservations of a step where it fits earliest; None if there are none.

        :param max_minions: number of minions that it may reserve, unless it is reserved as a whole
        """
        step, is_whole = candidate.step, candidate.is_whole
        count = candidate.task_count if is_whole else min(candidate.task_count, max_minions)
        if count <= 0:
            return None
        examined = count if is_whole else 0
        slots: list[tuple[float, int]] = []
        shares = [
            (_lacking_share(minion, step), number)
            for number, minion in enumerate(pool)
            if minion not in self.taken and self.is_usable(minion, step)
        ]
        minions = [pool[number] for _, number in nsmallest(examined + MAX_EXAMINED_MINIONS, shares)]
        for number, minion in enumerate(minions):
            limit = min(count, step.anti_affinity or count) if is_whole else 1
            times = self.profiles.of(minion, now).fit_times(step.room, limit)
            slots += [(at, number) for at in times]
        slots = [slot for slot in sorted(slots)[:count] if slot[0] - now <= MAX_AHEAD_SECONDS]
        if not slots or (is_whole and len(slots) < count):
            return None
        reservations = []
        for number in sorted({number for _, number in slots}):
            times = [at for at, other in slots if other == number]
            starts_at = slots[-1][0] if is_whole else times[-1]
            room = times_room(step.room, len(times))
            reservations.append(
                Reservation(candidate, minions[number], len(times), room, starts_at)
            )
        return ReservedStep(candidate, reservations, now)

    def is_usable(self, minion: Minion, step: Step) -> bool:
        """Return whether a task of a step may reserve room on a minion."""
        capacity, room = minion.facts.capacity, step.room
        if minion.speed.is_slow:
            return False
        if capacity.cpu - minion.lasting_cpu < room.cpu or capacity.memory_mb < room.memory_mb:
            return False
        if capacity.gpu < room.gpu or not has_required_label(minion, step):
            return False
        return not (self.lasting_claims.claimed_cpu(minion) or minion in self.filler_claims.minions)

    def refresh(self, reserved: ReservedStep, now: float) -> bool:
        """Compute again when the tasks of a step fit; return whether that is soon enough."""
        step = reserved.candidate.step
        for reservation in reserved.reservations:
            profile = self.profiles.of(reservation.minion, now)
            times = profile.fit_times(step.room, reservation.count)
            if len(times) < reservation.count or times[-1] - now > MAX_AHEAD_SECONDS:
                return False
            reservation.starts_at = times[-1]
        if reserved.candidate.is_whole:
            starts_at = reserved.starts_at
            for reservation in reserved.reservations:
                reservation.starts_at = starts_at
        return True


def times_room(room: ResourceVector, count: int) -> ResourceVector:
    """Return the resources of several tasks."""
    return ResourceVector(count * room.cpu, count * room.memory_mb, count * room.gpu)


def _lacking_share(minion: Minion, step: Step) -> float:
    """Return the largest share of a task's room that is not free on a minion."""
    capacity, used, room = minion.facts.capacity, minion.used, step.room
    lacking = 0.0
    if room.cpu:
        lacking = (room.cpu - capacity.cpu + used.cpu) / room.cpu
    if room.memory_mb:
        lacking = max(
            lacking, (room.memory_mb - capacity.memory_mb + used.memory_mb) / room.memory_mb
        )
    if room.gpu:
        lacking = max(lacking, (room.gpu - capacity.gpu + used.gpu) / room.gpu)
    return max(0.0, lacking)
