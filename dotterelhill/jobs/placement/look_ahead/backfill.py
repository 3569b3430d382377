"""Whether smaller tasks may start on minions where room is reserved."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from dotterelhill.jobs.changes import Decision
from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.model import Job, Step
from dotterelhill.jobs.placement.look_ahead.candidates import StepId
from dotterelhill.jobs.placement.look_ahead.delay_budget import DelayBudget
from dotterelhill.jobs.placement.look_ahead.profile import CapacityProfiles
from dotterelhill.jobs.placement.look_ahead.reservations import Reservation

# Until a step has waited for this time, its reservation only lets smaller tasks prefer other
# minions. The room of a gang is lost again unless all of it is kept at the same time.
FIRM_AFTER_SECONDS = 4.0
GANG_FIRM_AFTER_SECONDS = 1.5
# Such a long wait is bounded also under a steady stream of tasks of higher priorities.
KEEP_OUT_ALL_SECONDS = 10.0
# Mean absolute logarithm of observed to predicted durations above which predictions are useless.
MAX_DURATION_ERROR = 1.0
ERROR_INTERVAL_SECONDS = 1.0


class Backfill:
    """Rules by which tasks may start on minions where room is reserved for others."""

    def __init__(self, profiles: CapacityProfiles) -> None:
        self._profiles = profiles
        self._overdue: set[StepId] = set()
        self._budgets: dict[str, DelayBudget] = {}
        self._is_reliable = True
        self._decisions: list[Decision] = []
        self._errors_at = float("-inf")
        self._now = 0.0

    def begin_round(self, now: float) -> None:
        """Set the loop time of the round."""
        self._now = now

    def set_overdue(self, overdue: set[StepId]) -> None:
        """Set the longest waiting steps, which keep out others whatever the budget."""
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
        """Return whether a harmful task may not start, rather than only where no other fits.

        Lasting tasks may, since they have to run again within seconds.
        """
        if step.is_lasting:
            return False
        candidate = reservation.candidate
        is_overdue = candidate.step_id in self._overdue
        if job.submission.queue.priority < candidate.queue.priority:
            return is_overdue and self._now - candidate.since >= KEEP_OUT_ALL_SECONDS
        is_firm = self._is_firm(reservation) and self._has_budget(candidate.queue.service)
        return is_overdue or is_firm

    def record_delays(
        self,
        waiting_small_cpu: Mapping[str, int],
        reservations: Iterable[Reservation],
        by_service: Mapping[str, Sequence[Minion]],
    ) -> None:
        """Record which smaller tasks wait, and how much room reservations keep from them.

        :param waiting_small_cpu: thousandths of a processor that they need, by service
        """
        kept_cpu: dict[str, int] = {}
        for reservation in reservations:
            service, free_cpu = reservation.candidate.queue.service, reservation.minion.free_cpu
            is_kept = self._is_firm(reservation) and self._has_budget(service)
            if is_kept or reservation.candidate.step_id in self._overdue:
                kept = max(0, min(free_cpu, reservation.room.cpu))
                kept_cpu[service] = kept_cpu.get(service, 0) + kept
        for service, pool in by_service.items():
            budget = self._budgets.setdefault(service, DelayBudget())
            capacity_cpu = sum(minion.facts.capacity.cpu for minion in pool)
            waiting_cpu = waiting_small_cpu.get(service, 0)
            budget.record(waiting_cpu, kept_cpu.get(service, 0), capacity_cpu, self._now)

    def _is_firm(self, reservation: Reservation) -> bool:
        """Return whether a reservation may keep out tasks of the same or a lower priority."""
        candidate = reservation.candidate
        firm_after = GANG_FIRM_AFTER_SECONDS if candidate.step.is_gang else FIRM_AFTER_SECONDS
        return self._is_reliable and self._now - candidate.since >= firm_after

    def _has_budget(self, service: str) -> bool:
        budget = self._budgets.get(service)
        return budget is not None and budget.is_left

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
