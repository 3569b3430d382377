"""Reservations that steps hold at present."""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping, Sequence

from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.placement.look_ahead.candidates import (
    OVERDUE_SECONDS,
    Candidate,
    StepId,
    max_overdue_steps,
)
from dotterelhill.jobs.placement.look_ahead.reservations import (
    MIN_GAIN_SECONDS,
    MinionChoice,
    Reservation,
    ReservedStep,
)
from dotterelhill.jobs.placement.waiting import WaitingJob

# A step looks in this interval for minions that have room earlier.
CHOICE_INTERVAL_SECONDS = 0.5
# Each choice takes a pass over the minions of a service.
MAX_CHOICES = 4
# Only so many minions of a service hold reservations at a time, since their processors are idle
# until enough runs have ended. One step that is reserved as a whole may exceed it.
MAX_RESERVED_MINIONS = 8
MAX_RESERVED_SHARE = 1 / 8


class ReservationBook:
    """Reservations of steps, by step and by minion.

    :param choice: choice of minions
    :param waiting_jobs: active jobs by id
    """

    def __init__(self, choice: MinionChoice, waiting_jobs: Mapping[str, WaitingJob]) -> None:
        self._choice = choice
        self._waiting_jobs = waiting_jobs
        self._steps: dict[StepId, ReservedStep] = {}
        self._by_minion: dict[Minion, Reservation] = {}
        self._overdue: set[StepId] = set()
        self._choices_left = 0
        self._now = 0.0

    @property
    def steps(self) -> Mapping[StepId, ReservedStep]:
        """Return the steps that hold reservations."""
        return self._steps

    @property
    def by_minion(self) -> Mapping[Minion, Reservation]:
        """Return the reservations by minion."""
        return self._by_minion

    @property
    def overdue(self) -> Collection[StepId]:
        """Return the longest waiting steps, with and without reservations."""
        return self._overdue

    def overdue_steps(self) -> Iterator[ReservedStep]:
        """Yield the longest waiting steps that hold reservations."""
        for step_id in self._overdue:
            reserved = self._steps.get(step_id)
            if reserved is not None:
                yield reserved

    def validate(self, usable: Collection[Minion], now: float) -> None:
        """Remove the reservations that are no longer needed or can't be met soon enough.

        :param usable: minions on which tasks may start
        """
        self._now = now
        for step_id, reserved in list(self._steps.items()):
            if not self._is_valid(reserved, usable):
                self._remove(step_id)

    def _is_valid(self, reserved: ReservedStep, usable: Collection[Minion]) -> bool:
        """Return whether a step still waits and its minions are usable soon enough."""
        candidate = reserved.candidate
        if not self.is_waiting(candidate):
            return False
        for reservation in reserved.reservations:
            minion = reservation.minion
            if minion not in usable or not self._choice.is_usable(minion, candidate.step):
                return False
        return self._choice.refresh(reserved, self._now)

    def is_waiting(self, candidate: Candidate) -> bool:
        """Return whether a task of a step still waits, or all tasks of a gang."""
        job_id, occurrence, step = candidate.step_id
        if self._waiting_jobs.get(job_id) is not candidate.waiting:
            return False
        keys = candidate.waiting.pending.get((occurrence, step), ())
        return len(keys) >= (candidate.step.count if candidate.step.is_gang else 1)

    def assign(
        self,
        found: Mapping[str, list[Candidate]],
        by_service: Mapping[str, Sequence[Minion]],
        now: float,
    ) -> None:
        """Assign reservations to the candidates that come first, and remove those of others."""
        self._now = now
        earlier, self._steps, self._by_minion = self._steps, {}, {}
        self._overdue = set()
        self._choices_left = MAX_CHOICES
        taken = self._choice.taken = set()
        for service, candidates in found.items():
            pool = by_service.get(service, ())
            left = max(1, min(MAX_RESERVED_MINIONS, int(MAX_RESERVED_SHARE * len(pool))))
            for candidate in candidates[: max_overdue_steps(pool)]:
                if self._now - candidate.since >= OVERDUE_SECONDS:
                    self._overdue.add(candidate.step_id)
            for candidate in candidates:
                if left <= 0:
                    break
                reserved = self._reserve(candidate, earlier.get(candidate.step_id), pool, left)
                if reserved is None:
                    continue
                left -= len(reserved.reservations)
                self._steps[candidate.step_id] = reserved
                for reservation in reserved.reservations:
                    self._by_minion[reservation.minion] = reservation
                    taken.add(reservation.minion)

    def _reserve(
        self, candidate: Candidate, known: ReservedStep | None, pool: Sequence[Minion], left: int
    ) -> ReservedStep | None:
        """Return the reservations of a candidate, on other minions if it fits there earlier."""
        if known is not None:
            if any(one.minion in self._choice.taken for one in known.reservations):
                known = None
            elif sum(one.count for one in known.reservations) > candidate.task_count:
                known = None
        if known is not None:
            known.candidate = candidate
            for reservation in known.reservations:
                reservation.candidate = candidate
            if self._now - known.chosen_at < CHOICE_INTERVAL_SECONDS:
                return known
        if self._choices_left <= 0:
            return known
        self._choices_left -= 1
        if known is not None:
            known.chosen_at = self._now
        chosen = self._choice.choose(candidate, pool, left, self._now)
        if known is None or chosen is None:
            return chosen or known
        if len(chosen.reservations) > len(known.reservations):
            return chosen
        return chosen if chosen.starts_at < known.starts_at - MIN_GAIN_SECONDS else known

    def _remove(self, step_id: StepId) -> None:
        for reservation in self._steps.pop(step_id).reservations:
            if self._by_minion.get(reservation.minion) is reservation:
                del self._by_minion[reservation.minion]
