"""Whether smaller tasks may start on minions where room is reserved."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from dotterelhill.jobs.changes import Decision
from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.model import Job, Step
from dotterelhill.jobs.placement.look_ahead.candidates import Candidate, Candidates, StepId
from dotterelhill.jobs.placement.look_ahead.profile import CapacityProfiles
from dotterelhill.jobs.placement.look_ahead.reservations import Reservation

# Such a long wait is bounded also under a steady stream of tasks of higher priorities.
KEEP_OUT_ALL_SECONDS = 12.0
# Mean absolute logarithm of observed to predicted durations above which predictions are useless.
MAX_DURATION_ERROR = 1.0
ERROR_INTERVAL_SECONDS = 1.0


class Backfill:
    """Rules by which tasks may start on minions where room is reserved for others."""

    def __init__(self, profiles: CapacityProfiles, candidates: Candidates) -> None:
        self._profiles = profiles
        self._candidates = candidates
        self._overdue: Collection[StepId] = ()
        self._is_reliable = True
        self._decisions: list[Decision] = []
        self._errors_at = float("-inf")
        self._now = 0.0

    @property
    def is_reliable(self) -> bool:
        """Return whether durations can be predicted well enough."""
        return self._is_reliable

    def begin_round(self, now: float) -> None:
        """Set the loop time of the round."""
        self._now = now

    def set_overdue(self, overdue: Collection[StepId]) -> None:
        """Set the longest waiting steps, whose reservations keep out others."""
        self._overdue = overdue

    def is_harmless(self, reservation: Reservation, job: Job, step: Step, step_id: StepId) -> bool:
        """Return whether a start on a reserved minion does not delay the reserved tasks."""
        if reservation.candidate.step_id == step_id:
            return True
        if step.is_filler and step.is_checkpointing:
            return True
        minion, starts_at = reservation.minion, reservation.starts_at
        free = self._profiles.of(minion, self._now).free_at(max(starts_at, self._now))
        if free.minus(step.reserved_resources).is_enough_for(reservation.room):
            return True
        if step.is_lasting or not self._is_reliable:
            return False
        seconds = self._profiles.seconds(job.submission.queue.name, step, minion)
        return self._now + seconds <= starts_at

    def is_kept_out(self, reservation: Reservation, job: Job, step: Step) -> bool:
        """Return whether a task that is not harmless may not start at all.

        Otherwise it starts if no other minion has room. Large tasks are kept out of the
        reservations of gangs, small ones only of overdue ones: where all reservations kept out
        small tasks, these waited much longer. Lasting tasks are never kept out, since they have to
        run again within seconds.
        """
        candidate = reservation.candidate
        is_overdue = candidate.step_id in self._overdue
        if step.is_lasting or not (is_overdue or self._is_rival(candidate, step)):
            return False
        if job.submission.queue.priority >= candidate.queue.priority:
            return True
        return is_overdue and self._now - candidate.since >= KEEP_OUT_ALL_SECONDS

    def _is_rival(self, candidate: Candidate, step: Step) -> bool:
        """Return whether a large task could take the room of a gang while it gathers."""
        if not candidate.step.is_gang or not self._is_reliable:
            return False
        return self._candidates.is_large(step, candidate.queue.service)

    def check_durations(self, reserved: Iterable[Minion]) -> None:
        """Check whether the durations of the runs on reserved minions can be predicted."""
        if self._now - self._errors_at < ERROR_INTERVAL_SECONDS:
            return
        errors = [error for minion in reserved for error in self._profiles.errors(minion)]
        if errors:
            self._errors_at = self._now
            error = sum(errors) / len(errors)
            if self._is_reliable == (error > MAX_DURATION_ERROR):
                self._is_reliable = not self._is_reliable
                message = "look-ahead resumed" if self._is_reliable else "look-ahead suspended"
                self._decisions.append(Decision(message, "", {"duration_error": round(error, 2)}))

    def take_decisions(self) -> list[Decision]:
        """Return the decisions since the last call, for the log and the metrics."""
        decisions, self._decisions = self._decisions, []
        return decisions
