"""Look-ahead placement: large tasks hold reservations, and smaller ones are backfilled."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence

from dotterelhill.jobs.changes import Decision
from dotterelhill.jobs.durations.model import DurationModel
from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.model import Job, Step, TaskKey
from dotterelhill.jobs.placement.filler_claims import FillerClaims
from dotterelhill.jobs.placement.lasting_claims import LastingClaims
from dotterelhill.jobs.placement.look_ahead.backfill import Backfill
from dotterelhill.jobs.placement.look_ahead.candidates import Candidates, OpenTasks
from dotterelhill.jobs.placement.look_ahead.profile import CapacityProfiles
from dotterelhill.jobs.placement.look_ahead.reservation_book import ReservationBook
from dotterelhill.jobs.placement.look_ahead.reservations import MinionChoice, Reservation
from dotterelhill.jobs.placement.waiting import OccurrenceStep, RankedJob, WaitingJob

# Large tasks are looked for in this interval. It grows with the number of waiting large steps,
# since a search looks at all of them.
SEARCH_INTERVAL_SECONDS = 0.25
SEARCH_SECONDS_PER_STEP = 0.001
# More than a rack without the data, less than a slow minion.
AVOIDANCE_COST = 1.5
# Smaller tasks that are tried in the gaps of reserved minions in one round.
MAX_BACKFILL_ATTEMPTS = 32


class LookAhead:
    """Reservations of the large tasks that have waited longest or rank highest.

    A reservation keeps the room of one minion for tasks of one step. Smaller tasks may start there
    if they leave that room free when the reserved tasks are expected to start.

    :param is_enabled: whether tasks hold reservations
    :param waiting_jobs: active jobs by id
    :param record_change: called for a minion from which reservations no longer keep out tasks
    """

    def __init__(
        self,
        durations: DurationModel,
        lasting_claims: LastingClaims,
        filler_claims: FillerClaims,
        waiting_jobs: Mapping[str, WaitingJob],
        record_change: Callable[[Minion], None],
        *,
        is_enabled: bool,
    ) -> None:
        self._is_enabled = is_enabled
        self._waiting_jobs = waiting_jobs
        self._record_change = record_change
        self._profiles = CapacityProfiles(durations, self._queue_name_of)
        self._candidates = Candidates()
        self._backfill = Backfill(self._profiles, self._candidates)
        choice = MinionChoice(self._profiles, lasting_claims, filler_claims)
        self._book = ReservationBook(choice, waiting_jobs)
        self._reserved: set[Minion] = set()
        self._closed: set[Minion] = set()
        self._gap_services: set[str] = set()
        self._searched_at = float("-inf")
        self._attempts_left = 0
        self._now = 0.0

    @property
    def by_minion(self) -> Mapping[Minion, Reservation]:
        """Return the reservations by minion."""
        return self._book.by_minion

    @property
    def longest_wait_seconds(self) -> float:
        """Return the longest wait of a step with reservations in seconds; 0 without one."""
        waits = [self._now - reserved.candidate.since for reserved in self._book.steps.values()]
        return max(waits, default=0.0)

    def take_decisions(self) -> list[Decision]:
        """Return the decisions since the last call, for the log and the metrics."""
        return self._backfill.take_decisions()

    def update(
        self,
        ranked: Sequence[RankedJob],
        by_service: Mapping[str, Sequence[Minion]],
        open_tasks: OpenTasks,
        now: float,
        unix_ms: int,
    ) -> None:
        """Update the reservations for the round that begins.

        :param by_service: minions on which tasks may start
        :param open_tasks: returns those of a step's tasks that may start beside other tasks
        """
        if not self._is_enabled:
            return
        self._now = now
        self._backfill.begin_round(now)
        self._attempts_left = MAX_BACKFILL_ATTEMPTS
        interval = SEARCH_INTERVAL_SECONDS + SEARCH_SECONDS_PER_STEP * self._candidates.step_count
        is_search_due = now - self._searched_at >= interval
        if not is_search_due and not self._book.steps:
            self._update_closed()
            return
        usable = {minion for pool in by_service.values() for minion in pool}
        self._book.validate(usable, now)
        if is_search_due:
            self._searched_at = now
            found = self._candidates.find(
                ranked, by_service, self._book.steps, open_tasks, now, unix_ms
            )
            self._book.assign(found, by_service, now)
            self._backfill.set_overdue(self._book.overdue)
            self._profiles.keep_only(usable)
            self._backfill.check_durations(self._book.by_minion)
        self._update_closed()

    def overdue_steps(self) -> Iterator[tuple[WaitingJob, OccurrenceStep, list[Minion]]]:
        """Yield the longest waiting steps of which reserved tasks fit now, with their minions.

        They don't wait for their turn: tasks that rank before them could use up all starts of each
        round.
        """
        for reserved in self._book.overdue_steps():
            step_id = reserved.candidate.step_id
            if reserved.is_due and self._book.is_waiting(reserved.candidate):
                yield reserved.candidate.waiting, step_id[1:], reserved.minions

    def start_cost(
        self,
        cost: tuple[float, ...],
        job: Job,
        step: Step,
        occurrence_step: OccurrenceStep,
        minion: Minion,
    ) -> tuple[float, ...] | None:
        """Return the cost of a start on a minion; None if its reservation does not allow it.

        :param cost: cost without reservations
        """
        reservation = self._book.by_minion.get(minion)
        step_id = (job.job_id, *occurrence_step)
        if reservation is None or self._backfill.is_harmless(reservation, job, step, step_id):
            return cost
        if self._backfill.is_kept_out(reservation, job, step):
            return None
        if not self._backfill.is_reliable:
            return cost
        return (cost[0] + AVOIDANCE_COST, *cost[1:])

    def open_minions(
        self, job: Job, step: Step, occurrence_step: OccurrenceStep, pool: Sequence[Minion]
    ) -> Sequence[Minion]:
        """Return the minions on which a gang does not delay the reservations of other steps."""
        if not self._book.by_minion:
            return pool
        return [
            minion
            for minion in pool
            if minion not in self._book.by_minion
            or self.start_cost((0.0,), job, step, occurrence_step, minion) is not None
        ]

    def may_backfill(self, service: str) -> bool:
        """Return whether to try tasks in this round although others of their size fit nowhere.

        A task that is kept out says nothing about those that end sooner.
        """
        return service in self._gap_services and self._attempts_left > 0

    def gaps(self, job: Job, step: Step, key: TaskKey, pool: Sequence[Minion]) -> list[int]:
        """Return the indices of the closed minions on which a task may be backfilled.

        :param pool: minions of the service, on which other tasks of its size fit nowhere
        """
        if not self._closed or step.is_lasting or not self.may_backfill(pool[0].facts.service):
            return []
        self._attempts_left -= 1
        step_id = (key.job_id, key.occurrence, key.step)
        return [
            number
            for number, minion in enumerate(pool)
            if minion in self._closed
            and minion.has_room_for(step)
            and self._backfill.is_harmless(self._book.by_minion[minion], job, step, step_id)
        ]

    def _update_closed(self) -> None:
        """Update the minions from which reservations keep out tasks.

        Tasks of any size may be tried again on a minion that is no longer reserved.
        """
        for minion in self._reserved - self._book.by_minion.keys():
            self._record_change(minion)
        self._reserved = set(self._book.by_minion)
        self._closed = {
            reservation.minion
            for reserved in self._book.overdue_steps()
            for reservation in reserved.reservations
        }
        self._gap_services = {one.facts.service for one in self._closed if one.free_cpu > 0}

    def _queue_name_of(self, job_id: str) -> str:
        waiting = self._waiting_jobs.get(job_id)
        return waiting.job.submission.queue.name if waiting is not None else ""
