"""Placement: orders waiting tasks and chooses a minion for each."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from functools import partial
from itertools import chain
from math import inf

from dotterelhill.jobs.crashes.isolation import Isolation, StartCost
from dotterelhill.jobs.crashes.suspicion import CrashSuspicion
from dotterelhill.jobs.durations.model import DurationModel
from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.interference.sharing import MIN_FILLER_CPU_SHARE, InterferenceControl
from dotterelhill.jobs.minions.uneven import UnevenMinions
from dotterelhill.jobs.model import Job, Step, Task, TaskKey, Timeliness
from dotterelhill.jobs.placement.attempts import Attempts
from dotterelhill.jobs.placement.failing_tasks import FailingTasks
from dotterelhill.jobs.placement.filler_claims import FillerClaims
from dotterelhill.jobs.placement.forced_starts import ForcedStarts
from dotterelhill.jobs.placement.idle_jobs import idle_job_tasks
from dotterelhill.jobs.placement.lasting_claims import (
    LastingClaims,
    has_overdue_task,
    is_overdue,
)
from dotterelhill.jobs.placement.lasting_waits import WaitingStep
from dotterelhill.jobs.placement.look_ahead.look_ahead import LookAhead
from dotterelhill.jobs.placement.minion_order import MinionOrder
from dotterelhill.jobs.placement.most_room import MostRoom
from dotterelhill.jobs.placement.opening import TaskOpening
from dotterelhill.jobs.placement.preemption import EmptiedMinion, Preemption
from dotterelhill.jobs.placement.ranking import QueueLookup, Ranking
from dotterelhill.jobs.placement.room_waits import RoomWaits
from dotterelhill.jobs.placement.round_costs import RoundCosts
from dotterelhill.jobs.placement.short_pool import ShortPool
from dotterelhill.jobs.placement.start_options import Option, StartOptions
from dotterelhill.jobs.placement.start_refusals import StartRefusals
from dotterelhill.jobs.placement.task_size import TaskSize
from dotterelhill.jobs.placement.waiting import (
    LASTING_OVERDUE_SECONDS,
    JobOrder,
    OccurrenceStep,
    RankedJob,
    WaitingJob,
    has_required_label,
    longest_idle_seconds,
    startable_lasting_steps,
    startable_steps,
)
from dotterelhill.jobs.tenants.limits import TenantLimits
from dotterelhill.jobs.tenants.loads import WaitingTasks
from dotterelhill.jobs.tenants.shares import TenantShares

UNLIMITED_STARTS = 1 << 30

# The processors that short tasks needed at their peak are reserved against lasting tasks, because a
# processor second of a short task is worth several of a lasting task. The reserve halves in this
# time.
RESERVE_HALF_LIFE_SECONDS = 15.0
# A lasting task that has not run for this time ignores the reserve. From then until it claims a
# minion, only the last slot for a task of its size stays reserved.
RESERVE_WAIT_SECONDS = 2.2
# Upper bound of the reserve on one minion, as a share of the size of the lasting task.
MAX_RESERVE_SHARE = 0.9


class Placement:
    """Queue of the waiting tasks of all active jobs, and the choice of their minions.

    :param interference: control of the interference between fillers and serving tasks
    :param suspicion: tasks that are suspected of crashing minions
    :param durations: learned durations of tasks
    :param limits: limits of tenants
    :param failing: lasting tasks that fail on every minion
    :param shares: order among tenants
    :param uneven: speeds and failures of minions
    :param job_order: order of jobs that replaces the usual one; None for the usual one
    :param is_look_ahead_enabled: whether waiting tasks hold reservations of future capacity
    """

    def __init__(
        self,
        interference: InterferenceControl,
        suspicion: CrashSuspicion,
        durations: DurationModel,
        limits: TenantLimits,
        failing: FailingTasks,
        shares: TenantShares,
        uneven: UnevenMinions,
        job_order: JobOrder | None = None,
        *,
        is_look_ahead_enabled: bool = False,
    ) -> None:
        self._interference = interference
        self._uneven = uneven
        self._limits = limits
        self._shares = shares
        self._has_tenants = False
        self._suspicion = suspicion
        self._failing = failing
        self._isolation = Isolation(suspicion)
        self._waiting_jobs: dict[str, WaitingJob] = {}
        self._opening = TaskOpening()
        self._ranking = Ranking(durations, job_order)
        self._short_peak_cpu = 0.0
        self._short_peak_at = 0.0
        self._remaining_starts = UNLIMITED_STARTS
        self._room_waits = RoomWaits(limits)
        self._short_pool = ShortPool(self._room_waits)
        self._lasting_claims = LastingClaims(limits, self._room_waits, self._short_pool.is_closed)
        self._attempts = Attempts(self._lasting_claims)
        self._minion_order = MinionOrder(interference, self._short_task_rank)
        self._round_costs = RoundCosts()
        self._filler_claims = FillerClaims(interference)
        self._forced_starts = ForcedStarts(interference)
        self._most_room = MostRoom(interference)
        self._look_ahead = LookAhead(
            durations,
            self._lasting_claims,
            self._filler_claims,
            self._waiting_jobs,
            self._attempts.record_change,
            is_enabled=is_look_ahead_enabled,
        )
        self._start_refusals = StartRefusals(
            interference,
            suspicion,
            self._isolation,
            limits,
            self._lasting_claims,
            self._filler_claims,
            self._look_ahead,
            self._short_pool,
        )
        self._preemption = Preemption(
            durations, self._short_pool, self._waiting_jobs, self._open_tasks, self._is_reserved
        )
        # Minions of the newest round on which tasks might start, by service.
        self._by_service: dict[str, list[Minion]] = {}

    @property
    def waiting_tasks(self) -> int:
        """Return the number of tasks that wait for a minion."""
        count = 0
        for waiting in self._waiting_jobs.values():
            count += sum(len(keys) for keys in waiting.pending.values())
        return count

    @property
    def ranked(self) -> Sequence[RankedJob]:
        """Return the jobs whose tasks waited in the newest round, the first to start first."""
        return self._ranking.ranked

    @property
    def had_starts_left(self) -> bool:
        """Return whether the newest round tried every waiting task."""
        return self._remaining_starts > 0

    @property
    def isolation(self) -> Isolation:
        """Return the choice of minions for tasks that are suspected of crashing them."""
        return self._isolation

    @property
    def _are_costs_shared(self) -> bool:
        """Return whether the cost of a short task or filler does not depend on its job."""
        if self._look_ahead.by_minion or self._uneven.is_replacing:
            return False
        return not self._shares.withheld_minions

    @property
    def look_ahead(self) -> LookAhead:
        """Return the reservations of large tasks."""
        return self._look_ahead

    @property
    def short_pool(self) -> ShortPool:
        """Return the minions that are kept for short tasks."""
        return self._short_pool

    @property
    def room_waits(self) -> RoomWaits:
        """Return the waits of overdue lasting steps beside room."""
        return self._room_waits

    @property
    def start_refusals(self) -> StartRefusals:
        """Return the reasons why tasks do not start on minions with room for them."""
        return self._start_refusals

    @property
    def lasting_jobs(self) -> Iterator[Job]:
        """Yield the active jobs that have lasting steps."""
        for waiting in self._ranking.lasting_jobs:
            yield waiting.job

    def queued_tasks(self, key: TaskKey) -> Sequence[TaskKey]:
        """Return the tasks of the step of ``key`` that wait for a minion."""
        waiting = self._waiting_jobs.get(key.job_id)
        return [] if waiting is None else waiting.pending.get((key.occurrence, key.step), [])

    def waiting_lasting_steps(self, queue_of: QueueLookup, unix_ms: int) -> Iterator[WaitingStep]:
        """Yield the steps of which lasting tasks wait for a minion.

        A step that is not due, or whose queue needs advice, does not wait: no minion can help it.

        :param queue_of: returns the current queue configuration of a job
        :param unix_ms: wall-clock time in Unix ms, for the schedules of jobs
        """
        for waiting in self._ranking.lasting_jobs:
            queue = queue_of(waiting.job)
            for step, keys in startable_lasting_steps(waiting, queue, unix_ms):
                yield WaitingStep(waiting.job, step, queue.service, keys)

    def waiting_tasks_by_tenant(self) -> dict[str, int]:
        """Return the number of tasks that wait for a minion, by the tenant of their job."""
        counts: dict[str, int] = {}
        for waiting in self._waiting_jobs.values() if self._has_tenants else ():
            tenant = waiting.job.submission.tenant
            if tenant:
                count = sum(len(keys) for keys in waiting.pending.values())
                counts[tenant] = counts.get(tenant, 0) + count
        return counts

    def waiting_tenants(self) -> set[str]:
        """Return the tenants with jobs of which tasks wait for a minion."""
        return {
            waiting.job.submission.tenant
            for waiting in self._waiting_jobs.values()
            if waiting.pending
        }

    def waiting_tasks_of_round(self, unix_ms: int) -> Iterator[WaitingTasks]:
        """Yield the steps with due tasks that waited in the newest round and still wait.

        :param unix_ms: wall-clock time of that round in Unix ms
        """
        for waiting in self._waiting_jobs.values():
            if not waiting.pending or waiting.entry is None:
                continue
            rank, queue, _ = waiting.entry
            if queue.needs_advice:
                continue
            submission, is_too_late = waiting.job.submission, rank[1] == Timeliness.TOO_LATE
            for (occurrence, index), keys in waiting.pending.items():
                if keys and (
                    submission.schedule is None or unix_ms >= submission.due_ms(occurrence)
                ):
                    yield WaitingTasks(
                        waiting.job, submission.steps[index], queue.service, keys, rank[0],
                        is_too_late, rank,
                    )  # fmt: skip

    def add_job(self, job: Job) -> None:
        """Add a job that became active."""
        waiting = self._waiting_jobs[job.job_id] = WaitingJob.of(job)
        self._has_tenants = self._has_tenants or bool(job.submission.tenant)
        self._opening.add(waiting)
        self._ranking.add(waiting)

    def rank_anew(self) -> None:
        """Rank all jobs again after a change of the queues, or of what ``JobOrder`` knows."""
        self._ranking.touch_all()

    def remove_job(self, job: Job) -> None:
        """Remove a job that has ended."""
        waiting = self._waiting_jobs.pop(job.job_id, None)
        if waiting is not None:
            self._opening.remove(waiting)
            self._ranking.remove(waiting)

    def requeue(self, job: Job, task: Task) -> None:
        """Add a task that has to run again; a task that is done or already waits is ignored."""
        waiting = self._waiting_jobs.get(job.job_id)
        if waiting is None or task.is_done:
            return
        keys = waiting.pending.setdefault((task.key.occurrence, task.key.step), [])
        if task.key not in keys:
            keys.append(task.key)
            self._ranking.touch(waiting)

    def withdraw(self, job: Job, task: Task) -> None:
        """Remove a waiting task that needs no further run."""
        waiting = self._waiting_jobs.get(job.job_id)
        occurrence_step = (task.key.occurrence, task.key.step)
        if waiting is not None and task.key in waiting.pending.get(occurrence_step, ()):
            waiting.pending[occurrence_step].remove(task.key)
            self._ranking.touch(waiting)

    def highest_waiting_priorities(self, queue_of: QueueLookup, unix_ms: int) -> dict[str, int]:
        """Return the highest priority of tasks that wait for capacity, by service.

        The highest priority is the lowest number.
        """
        highest: dict[str, int] = {}
        for waiting in self._waiting_jobs.values():
            if not waiting.pending:
                continue
            queue = queue_of(waiting.job)
            if queue.needs_advice or queue.priority >= highest.get(queue.service, inf):
                continue
            for (occurrence, _), keys in waiting.pending.items():
                if keys and unix_ms >= waiting.job.submission.due_ms(occurrence):
                    highest[queue.service] = queue.priority
        return highest

    def choose_copy_minion(
        self, job: Job, key: TaskKey, pool: Sequence[Minion], now: float
    ) -> Minion | None:
        """Return the minion on which a copy of a run may start; None if there is none.

        :param pool: minions on which tasks may start
        """
        step = job.submission.steps[key.step]
        if self._suspicion.has_suspects:
            pool = self._isolation.open_minions(pool)
        best: Minion | None = None
        best_cost: tuple[float, ...] = ()
        for minion in pool:
            if key in minion.runs or minion.speed.is_slow:
                continue
            cost = self._start_cost(job, step, (key.occurrence, key.step), minion, now, 0.0)
            if cost is not None and (best is None or cost < best_cost):
                best, best_cost = minion, cost
        return best

    def record_planning(self, seconds: float) -> None:
        """Record how long it took to plan the newest round, in seconds."""
        self._attempts.record_planning(seconds)

    def choose_stops(
        self, minions: Mapping[str, Minion], queue_of: QueueLookup, now: float, unix_ms: int
    ) -> list[EmptiedMinion]:
        """Return the lasting runs to stop for short tasks that the newest round left waiting.

        :param minions: all minions by id
        :param queue_of: returns the current queue configuration of a job
        :param unix_ms: wall-clock time in Unix ms, for the schedules of jobs
        """
        if not self._ranking.needed_cpu.get("") or not self.had_starts_left:
            return []
        return self._preemption.choose(
            self._ranking.ranked, self._by_service, minions, queue_of, now, unix_ms
        )

    def _is_reserved(self, minion: Minion) -> bool:
        """Return whether room on a minion is claimed or reserved for certain tasks."""
        return (
            minion in self._filler_claims.minions
            or minion in self._look_ahead.by_minion
            or self._lasting_claims.claimed_cpu(minion) > 0
        )

    def idle_cpu(self, minion: Minion) -> float:
        """Return the thousandths of a processor of a minion that fillers may use."""
        return self._interference.idle_cpu(minion)

    def could_start(
        self,
        tasks: WaitingTasks,
        minion: Minion,
        pool: Sequence[Minion],
        now: float,
        *,
        yielding: str,
    ) -> bool:
        """Return whether a waiting task could be the next one to start on a minion.

        False for members of gangs, and where a filler of another step has claimed the minion.
        Claims do not hold up lasting tasks that have not run for ``LASTING_OVERDUE_SECONDS``.

        :param pool: minions of the service on which tasks may start
        :param yielding: tenant whose fillers have no claim on the minion
        """
        job, step = tasks.job, tasks.step
        if step.is_gang or (
            self._suspicion.has_suspects and not self._isolation.open_minions([minion])
        ):
            return False
        keys = self._open_tasks(job, tasks.keys, now)
        if not keys or keys[0] in minion.runs:
            return False
        idle_seconds = longest_idle_seconds(job, keys, now) if step.is_lasting else 0.0
        if self._keeps_slot(step, idle_seconds) and self._is_last_slot(step, pool):
            return False
        is_before_claims = idle_seconds >= LASTING_OVERDUE_SECONDS
        reserved_cpu = self._reserved_cpu(step, pool, idle_seconds)
        identity = (job.job_id, keys[0].occurrence, keys[0].step)
        with self._filler_claims.without_claim_of(yielding, minion):
            if not is_before_claims and not self._filler_claims.is_next(minion, identity):
                return False
            cost = self._start_cost(job, step, identity[1:], minion, now, reserved_cpu)
            return cost is not None

    def add_ready_dependents(self, job: Job, key: TaskKey) -> None:
        """Add the steps that depend on the step of ``key`` if that step is done."""
        waiting = self._waiting_jobs.get(job.job_id)
        if waiting is None or not job.is_step_done(key.occurrence, key.step):
            return
        self._opening.close_step(waiting, (key.occurrence, key.step))
        waiting.path_at = float("-inf")
        self._ranking.touch(waiting)
        for step, dependent in enumerate(job.submission.steps):
            if key.step in dependent.after:
                self._opening.open_step(waiting, key.occurrence, step)

    def choose_starts(
        self,
        minions: Sequence[Minion],
        minions_for_trial: Sequence[Minion],
        queue_of: QueueLookup,
        now: float,
        unix_ms: int,
        max_starts: int = UNLIMITED_STARTS,
    ) -> Iterator[tuple[Job, TaskKey, Minion]]:
        """Yield starts by priority, timeliness and slack of their jobs.

        Lasting tasks that have not run for ``LASTING_OVERDUE_SECONDS`` come first, then fillers
        that have claimed a minion: a steady sequence of tasks that rank before them could use up
        ``max_starts`` in each round.

        The caller has to attach each run to its minion before it requests the next start.

        :param minions: minions on which tasks may start
        :param minions_for_trial: minions on which one lasting task each may start that gets none of
            ``minions``, because they have no room or it is reserved for short tasks
        :param queue_of: returns the current queue configuration of a job
        :param unix_ms: wall-clock time in Unix ms, for the objectives and schedules of jobs
        :param max_starts: number of starts to yield at most; a gang is not split
        """
        self._remaining_starts = max_starts
        for waiting in self._opening.open_due(unix_ms):
            self._ranking.touch(waiting)
        self._ranking.update(queue_of, now, unix_ms)
        for job, key, minion in self._choose_starts(minions, minions_for_trial, now, unix_ms):
            waiting = self._waiting_jobs[job.job_id]
            self._ranking.touch(waiting)
            yield job, key, minion
            # The tasks may still change after the start.
            self._ranking.touch(waiting)
            self._attempts.record_start(minion)
            self._minion_order.record_start(minion)
            self._room_waits.record_start(minion, now)

    def _choose_starts(
        self,
        minions: Sequence[Minion],
        minions_for_trial: Sequence[Minion],
        now: float,
        unix_ms: int,
    ) -> Iterator[tuple[Job, TaskKey, Minion]]:
        """Yield starts of the ranked jobs as ``choose_starts`` does."""
        by_service = _group_by_service(minions)
        for_trial_by_service = _group_by_service(minions_for_trial)
        ranked = self._ranking.ranked
        ranked_lasting, ranked_fillers = self._ranking.ranked_lasting, self._ranking.ranked_fillers
        self._track_short_peak(minions, now)
        for minion in self._short_pool.begin_round(by_service, ranked_lasting, now, unix_ms):
            self._attempts.record_change(minion)
        ranked_lasting = self._room_waits.in_turn(ranked_lasting)
        self._lasting_claims.update(ranked_lasting, by_service, self._failing, now, unix_ms)
        self._shares.begin_round(by_service if self._has_tenants else {})
        newest_accepted_ms = self._ranking.newest_accepted_ms()
        self._forced_starts.begin_round((unix_ms - newest_accepted_ms) / 1000.0)
        if self._suspicion.has_suspects:
            overdue = [entry for entry in ranked_lasting if has_overdue_task(entry[2], now)]
            self._drop_isolation_claims(overdue, now, unix_ms, is_suspected=True)
            yield from self._choose_isolated_starts([*overdue, *ranked], by_service, now, unix_ms)
            self._drop_isolation_claims(overdue, now, unix_ms, is_suspected=False)
            for service, pool in by_service.items():
                by_service[service] = self._isolation.open_minions(pool)
        self._by_service = by_service
        claiming_tasks = partial(self._claiming_tasks, now=now)
        reclaimed = self._shares.reclaimed_minions
        self._filler_claims.update(
            ranked_fillers, by_service, claiming_tasks, reclaimed, now, unix_ms
        )
        open_tasks = partial(self._open_tasks, now=now)
        self._look_ahead.update(ranked, by_service, open_tasks, now, unix_ms)
        self._attempts.begin_round(by_service, self._filler_claims.minions, reclaimed, now)
        self._minion_order.begin_round()
        self._round_costs.begin_round(self._filler_claims.minions)

        def choose_turn_starts(
            entry: RankedJob, *, is_overdue_only: bool
        ) -> Iterator[tuple[Job, TaskKey, Minion]]:
            _, queue, waiting = entry
            pool = by_service.get(queue.service, [])
            for_trial = for_trial_by_service.get(queue.service, [])
            if not (pool or for_trial) or queue.needs_advice:
                return
            yield from self._choose_job_starts(
                waiting, pool, for_trial, now, unix_ms, is_overdue_only=is_overdue_only
            )

        for entry in ranked_lasting:
            if self._remaining_starts > 0 and has_overdue_task(entry[2], now):
                yield from choose_turn_starts(entry, is_overdue_only=True)
        if self._forced_starts.is_draining:
            yield from self._choose_first_starts(ranked, by_service, now, unix_ms)
        yield from self._choose_claimed_starts(by_service, now)
        yield from self._choose_reserved_starts(now)
        ordered: Iterable[RankedJob]
        if self._has_tenants:
            ordered = self._shares.order(ranked, partial(self._next_startable, unix_ms=unix_ms))
        else:
            ordered = self._attempts.startable(ranked, self._look_ahead.may_backfill)
        for entry in ordered:
            if self._remaining_starts <= 0:
                return
            yield from choose_turn_starts(entry, is_overdue_only=False)
        yield from self._choose_probation_starts(ranked, now, unix_ms)

    def _choose_probation_starts(
        self, ranked: Sequence[RankedJob], now: float, unix_ms: int
    ) -> Iterator[tuple[Job, TaskKey, Minion]]:
        """Yield starts on minions on probation."""
        starts = self._uneven.choose_starts(
            ranked,
            partial(self._open_tasks, now=now),
            partial(self._choose_trials, now=now),
            partial(self._choose_gang_starts, now=now),
            now,
            unix_ms,
        )
        for job, key, minion in starts:
            self._filler_claims.record_start(key)
            yield job, key, minion

    def _next_startable(self, entries: Sequence[RankedJob], position: int, unix_ms: int) -> int:
        """Return the first position of a job that may start tasks, or the number of entries.

        :param entries: jobs of one tenant in one service, or jobs without a tenant
        :param position: first position to return
        :param unix_ms: wall-clock time in Unix ms, for the schedules of jobs
        """
        futile = set()
        while position < len(entries):
            entry = entries[position]
            waiting = entry[2]
            if waiting.sizes not in futile:
                if not self._is_tenant_futile(entry, unix_ms):
                    break
                if not self._limits.is_watched(waiting.job.submission.tenant):
                    futile.add(waiting.sizes)
            position += 1
        return position

    def _is_tenant_futile(self, entry: RankedJob, unix_ms: int) -> bool:
        """Return whether no waiting task of a job can start, and note if its tenant is at a limit.

        :param unix_ms: wall-clock time in Unix ms, for the schedules of jobs
        """
        _, queue, waiting = entry
        tenant = waiting.job.submission.tenant
        if not self._attempts.is_futile(entry) or self._look_ahead.may_backfill(queue.service):
            if not (tenant and waiting.sizes):
                return False
            if not self._limits.refuses_all(tenant, [size.room for size in waiting.sizes]):
                return False
        if self._limits.is_watched(tenant):
            for step, _ in startable_steps(waiting, queue, unix_ms):
                self._limits.allows(tenant, step)
        return True

    def _track_short_peak(self, minions: Sequence[Minion], now: float) -> None:
        """Update the peak of the processors that short tasks use or wait for."""
        cpu = float(sum(minion.short_cpu for minion in minions))
        for tenant, needed_cpu in self._ranking.needed_cpu.items():
            cpu += self._limits.allowed_cpu(tenant, float(needed_cpu))
        decay = 0.5 ** ((now - self._short_peak_at) / RESERVE_HALF_LIFE_SECONDS)
        self._short_peak_cpu = max(cpu, self._short_peak_cpu * decay)
        self._short_peak_at = now

    def _choose_isolated_starts(
        self,
        ranked: Sequence[RankedJob],
        by_service: Mapping[str, Sequence[Minion]],
        now: float,
        unix_ms: int,
    ) -> Iterator[tuple[Job, TaskKey, Minion]]:
        """Yield starts of suspected tasks, on minions where nothing else starts meanwhile."""
        self._isolation.begin_round(by_service)
        self._most_room.begin_round()
        for _, queue, waiting in ranked:
            job = waiting.job
            pool = by_service.get(queue.service, [])
            if not pool or queue.needs_advice or not self._suspicion.has_suspects_of(job):
                continue
            self._isolation.begin_pool(pool)
            for occurrence_step, keys in list(waiting.pending.items()):
                if unix_ms < job.submission.due_ms(occurrence_step[0]):
                    continue
                step = job.submission.steps[occurrence_step[1]]
                if not step.is_gang:
                    yield from self._choose_isolated_step_starts(job, step, keys, pool, now)
                elif self._suspicion.tasks_to_test(job, occurrence_step, keys, now):
                    quiet = self._isolation.quiet_minions(pool, now)
                    for start in self._choose_gang_starts(job, step, keys, quiet, now):
                        self._isolation.isolate(start[2])
                        yield start
                if not keys:
                    waiting.pending.pop(occurrence_step, None)

    def _choose_isolated_step_starts(
        self, job: Job, step: Step, keys: list[TaskKey], pool: Sequence[Minion], now: float
    ) -> Iterator[tuple[Job, TaskKey, Minion]]:
        """Yield starts of the suspected tasks of one step, and claim minions for the others."""
        if not keys:
            return
        occurrence_step = (keys[0].occurrence, keys[0].step)

        def start_cost(minion: Minion) -> tuple[float, ...] | None:
            return self._start_cost(job, step, occurrence_step, minion, now, 0.0)

        candidates = pool if self._most_room.may_start(step, pool, now) else ()
        overdue = set(self._suspicion.overdue_tasks(job, occurrence_step, keys, now))
        for key in self._suspicion.tasks_to_test(job, occurrence_step, keys, now):
            if not self._limits.allows(job.submission.tenant, step):
                self._isolation.drop_claim(key)
                continue
            if self._remaining_starts <= 0:
                return
            minion = self._isolation.choose(key, candidates, start_cost, now)
            if minion is None and key in overdue:
                minion = self._isolation.choose_shared(key, candidates, start_cost, now)
            is_forced = minion is None and self._is_forced_alone(job, step, key, pool, now)
            cost = start_cost
            if is_forced:
                is_allowed = partial(self._is_start_allowed, job, step, occurrence_step)
                cost = partial(self._forced_starts.cost_alone, step, is_allowed)
                minion = self._isolation.choose(key, pool, cost, now, is_forced=True)
                if minion is not None:
                    self._interference.record_forced_start(key)
            if minion is not None:
                keys.remove(key)
                self._remaining_starts -= 1
                yield job, key, minion
                continue
            self._claim_alone(key, step, pool, cost, now, is_forced=is_forced)

    def _claim_alone(
        self,
        key: TaskKey,
        step: Step,
        pool: Sequence[Minion],
        start_cost: StartCost,
        now: float,
        *,
        is_forced: bool,
    ) -> None:
        """Claim a minion for a suspected task that found none of its own.

        :param start_cost: as for ``Isolation.choose``
        """
        may_start = is_forced or self._most_room.may_start(step, pool, now)
        if not step.is_filler:
            if may_start or self._most_room.may_claim(step, pool):
                claimable = partial(self._lasting_claims.claimable_minion, key, step, earlier=None)
                self._isolation.claim(key, pool, start_cost, claimable)
            return
        # Whether a filler fits changes with the load, so its claim is chosen anew.
        self._isolation.drop_claim(key)
        if may_start:
            self._isolation.claim(key, pool, start_cost, lambda minions: None, is_forced=is_forced)

    def _is_forced_alone(
        self, job: Job, step: Step, key: TaskKey, pool: Sequence[Minion], now: float
    ) -> bool:
        """Return whether a suspected filler starts alone now where it takes too much headroom.

        Serving tasks may leave no headroom on any minion for as long as they run, and a task that
        was lost with several minions is not forced to start beside others.
        """
        forced_key = self._isolation.forced_key
        if not step.is_filler or forced_key not in (None, key):
            return False
        waited_seconds = self._suspicion.alone_wait_seconds(key, now)
        return self._forced_starts.is_due_alone(
            job, key, pool, waited_seconds, is_awaited=forced_key == key
        )

    def _drop_isolation_claims(
        self, overdue: Sequence[RankedJob], now: float, unix_ms: int, *, is_suspected: bool
    ) -> None:
        """Drop the claims of suspected tasks on minions where an overdue lasting task could start.

        A claim lasts until runs on its minion end, which has no bound.

        :param overdue: jobs with overdue lasting tasks
        :param is_suspected: whether to look at suspected lasting tasks, which may keep their own
            claims, or at the others
        """
        for key, minion in list(self._isolation.claims.items()):
            owner = self._waiting_jobs.get(key.job_id)
            if owner is None or (is_suspected and owner.job.submission.steps[key.step].is_lasting):
                continue
            if self._fits_overdue(overdue, minion, now, unix_ms, is_suspected=is_suspected):
                self._isolation.drop_claim(key)

    def _fits_overdue(
        self,
        overdue: Sequence[RankedJob],
        minion: Minion,
        now: float,
        unix_ms: int,
        *,
        is_suspected: bool,
    ) -> bool:
        """Return whether an overdue lasting task could start on a minion."""
        for _, queue, waiting in overdue:
            if queue.service != minion.facts.service:
                continue
            job = waiting.job
            for step, keys in startable_lasting_steps(waiting, queue, unix_ms):
                identity = (keys[0].occurrence, keys[0].step)
                if step.is_gang or not self._has_room(job, step, identity, minion):
                    continue
                if is_suspected:
                    candidates = [key for key in keys if self._suspicion.is_suspected(key)]
                else:
                    candidates = self._open_tasks(job, keys, now)
                if any(is_overdue(job, key, now) for key in candidates):
                    return True
        return False

    def _open_tasks(self, job: Job, keys: list[TaskKey], now: float) -> list[TaskKey]:
        """Return those of a step's waiting tasks that may start beside other tasks.

        A tenant at its limit could not use a claim.
        """
        step = job.submission.steps[keys[0].step]
        if not self._limits.allows(job.submission.tenant, step):
            return []
        open_keys = self._suspicion.open_tasks(job, (keys[0].occurrence, keys[0].step), keys, now)
        if step.is_lasting and not step.is_gang:
            return self._failing.due_tasks(open_keys, now)
        return open_keys

    def _claiming_tasks(self, job: Job, keys: list[TaskKey], now: float) -> list[TaskKey]:
        """Return those of a step's waiting tasks that may claim a minion.

        A claim of a tenant from which capacity is reclaimed would take that capacity again.
        """
        if job.submission.tenant in self._shares.yielding:
            return []
        return self._open_tasks(job, keys, now)

    def _choose_first_starts(
        self,
        ranked: Sequence[RankedJob],
        by_service: Mapping[str, Sequence[Minion]],
        now: float,
        unix_ms: int,
    ) -> Iterator[tuple[Job, TaskKey, Minion]]:
        """Yield one start for each job that has few runs, first where nothing is running.

        A leader on a slow processor may send fewer start orders than the tasks that wait have room
        for. Without these starts it would start all tasks of one job after the other, and jobs at
        the end of the order would count as lost.
        """
        for (_, queue, waiting), step, keys in idle_job_tasks(ranked, unix_ms):
            if self._remaining_starts <= 0:
                return
            pool = by_service.get(queue.service, [])
            first = self._open_tasks(waiting.job, keys, now)[:1]
            if not pool or not first:
                continue
            for start in self._choose_task_starts(waiting.job, step, list(first), pool, now):
                keys.remove(first[0])
                yield start

    def _choose_claimed_starts(
        self, by_service: Mapping[str, Sequence[Minion]], now: float
    ) -> Iterator[tuple[Job, TaskKey, Minion]]:
        """Yield the starts of fillers on the minions that they have claimed.

        A filler that has waited for long starts where it interferes least, with or without a claim.
        """
        unclaimed = self._filler_claims.unclaimed(self._forced_starts.may_try)
        for claim in chain(self._filler_claims, unclaimed):
            if self._remaining_starts <= 0:
                return
            key, minion = claim.key, claim.minion
            if not self._limits.allows(claim.job.submission.tenant, claim.step):
                continue
            occurrence_step = (key.occurrence, key.step)
            check = self._has_room if self._forced_starts.is_draining else self._is_start_allowed
            is_allowed = partial(check, claim.job, claim.step, occurrence_step)
            if minion is None or (
                self._start_cost(claim.job, claim.step, occurrence_step, minion, now, 0.0) is None
            ):
                # Forced starts come before the order by shares, which a run was stopped for.
                pool = self._shares.open_minions(by_service.get(claim.service, []))
                minion = self._forced_starts.choose(claim, pool, is_allowed, now)
            if minion is None or key in minion.runs:
                continue
            pending = self._waiting_jobs[key.job_id].pending
            pending[occurrence_step].remove(key)
            if not pending[occurrence_step]:
                del pending[occurrence_step]
            self._filler_claims.record_start(key)
            self._remaining_starts -= 1
            yield claim.job, key, minion

    def _choose_reserved_starts(self, now: float) -> Iterator[tuple[Job, TaskKey, Minion]]:
        """Yield the starts of the tasks that have waited longest on the minions they reserved."""
        for waiting, occurrence_step, minions in self._look_ahead.overdue_steps():
            job, step = waiting.job, waiting.job.submission.steps[occurrence_step[1]]
            keys = waiting.pending[occurrence_step]
            if self._remaining_starts <= 0 or self._open_tasks(job, keys, now) is not keys:
                continue
            if step.is_gang:
                yield from self._choose_gang_starts(job, step, keys, minions, now)
            else:
                yield from self._choose_task_starts(job, step, keys, minions, now, is_reserved=True)
            if not keys:
                waiting.pending.pop(occurrence_step, None)

    def _choose_job_starts(
        self,
        waiting: WaitingJob,
        pool: Sequence[Minion],
        for_trial: list[Minion],
        now: float,
        unix_ms: int,
        *,
        is_overdue_only: bool,
    ) -> Iterator[tuple[Job, TaskKey, Minion]]:
        """Yield starts for the waiting tasks of one job that are due.

        :param for_trial: minions on which one lasting task each may start; those that got one are
            removed
        :param is_overdue_only: whether to leave out all but the lasting tasks that have not run for
            ``LASTING_OVERDUE_SECONDS``
        """
        job, tenant = waiting.job, waiting.job.submission.tenant
        for occurrence_step, keys in list(waiting.pending.items()):
            occurrence, index = occurrence_step
            if not keys or unix_ms < job.submission.due_ms(occurrence):
                continue
            step = job.submission.steps[index]
            is_beyond_limit = bool(tenant) and not self._limits.allows(tenant, step)
            if is_beyond_limit or (is_overdue_only and not step.is_lasting):
                continue
            open_keys = self._open_tasks(job, keys, now)
            if is_overdue_only:
                open_keys = [key for key in open_keys if is_overdue(job, key, now)]
            if not open_keys:
                continue
            held_keys = []
            if open_keys is not keys:
                chosen = set(open_keys)
                held_keys = [key for key in keys if key not in chosen]
            if step.is_gang:
                yield from self._choose_gang_starts(job, step, open_keys, pool, now)
            elif pool:
                yield from self._choose_task_starts(job, step, open_keys, pool, now)
            if step.is_lasting and not step.is_gang and open_keys:
                yield from self._choose_trials(job, step, open_keys, for_trial, now)
            if open_keys is not keys:
                keys[:] = [*open_keys, *held_keys]
            if not keys:
                waiting.pending.pop(occurrence_step, None)

    def _choose_task_starts(
        self,
        job: Job,
        step: Step,
        keys: list[TaskKey],
        pool: Sequence[Minion],
        now: float,
        *,
        is_reserved: bool = False,
    ) -> Iterator[tuple[Job, TaskKey, Minion]]:
        """Yield starts for the tasks of one step until one of them fits no minion.

        :param is_reserved: whether ``pool`` is not that of the service, but reserved minions
        """
        if not self._shares.may_continue():
            return
        size = self._attempts.size_of(step, pool[0].facts.service)
        numbers, ordered = self._candidates(job, step, keys[0], size, pool, is_reserved=is_reserved)
        if not numbers and not ordered:
            return
        idle_seconds = longest_idle_seconds(job, keys, now) if step.is_lasting else 0.0
        reserved_cpu = self._reserved_cpu(step, pool, idle_seconds)
        start_cost: StartCost = partial(self._avoiding_cost, job, step, keys[0], now, reserved_cpu)
        if not (step.is_lasting or step.anti_affinity) and self._are_costs_shared:
            kind = (size, step.required_label, step.data_rack)
            start_cost = self._round_costs.shared(kind, start_cost)
        highest_bound = None
        if step.is_filler and ordered:
            highest_bound = (0.0, 0.0, -MIN_FILLER_CPU_SHARE * step.room.cpu)
        options = StartOptions(pool, start_cost, numbers, ordered, highest_bound)
        while keys and self._remaining_starts > 0 and (minion := options.first) is not None:
            if not (
                self._limits.allows(job.submission.tenant, step) and self._shares.may_continue()
            ):
                return
            if self._keeps_slot(step, idle_seconds) and self._is_last_slot(step, pool):
                return
            if keys[0] in minion.runs:
                # Other tasks may fit there.
                self._attempts.record_change(minion)
                options.drop_first()
                continue
            self._remaining_starts -= 1
            key = keys.pop(0)
            self._filler_claims.record_start(key)
            yield job, key, minion
            self._shares.record_start()
            options.update_first()
        # A failure caused by a constraint of this step, or by the reserve, which depends on the
        # waiting time, does not imply that other steps of the class fail.
        is_limited = step.anti_affinity or step.required_label or step.data_rack or reserved_cpu
        if keys and not is_limited and not is_reserved and options.first is None:
            tenant = job.submission.tenant
            is_withheld = tenant in self._shares.withheld_minions
            self._attempts.record_failure(size, tenant if is_withheld else "")

    def _candidates(
        self,
        job: Job,
        step: Step,
        key: TaskKey,
        size: TaskSize,
        pool: Sequence[Minion],
        *,
        is_reserved: bool,
    ) -> tuple[Sequence[int], Sequence[Option]]:
        """Return the minions of a pool to try a task on, for ``StartOptions``."""
        if is_reserved:
            return range(len(pool)), ()
        if step.is_lasting and self._room_waits.is_due((key.job_id, key.occurrence, key.step)):
            # Tasks of its size were tried without the minions that are closed to their steps.
            return range(len(pool)), ()
        numbers = self._attempts.candidates(size, pool)
        if self._are_costs_shared and not step.is_lasting and len(numbers) == len(pool):
            return self._minion_order.options(pool, is_filler=step.is_filler)
        return numbers or self._look_ahead.gaps(job, step, key, pool), ()

    def _choose_trials(
        self, job: Job, step: Step, keys: list[TaskKey], for_trial: list[Minion], now: float
    ) -> Iterator[tuple[Job, TaskKey, Minion]]:
        """Yield starts of lasting tasks on minions that are set aside, one for each."""
        occurrence_step = (keys[0].occurrence, keys[0].step)
        for minion in list(for_trial):
            if not keys or self._remaining_starts <= 0:
                return
            if not self._limits.allows(job.submission.tenant, step):
                return
            if keys[0] in minion.runs:
                continue
            if self._start_cost(job, step, occurrence_step, minion, now, 0.0) is None:
                continue
            for_trial.remove(minion)
            self._remaining_starts -= 1
            yield job, keys.pop(0), minion
            self._shares.record_start()

    def _reserved_cpu(self, step: Step, pool: Sequence[Minion], idle_seconds: float) -> float:
        """Return the processors that a lasting task has to leave free on a minion.

        :param idle_seconds: time for which the task has not run
        :returns: thousandths of a processor
        """
        if not step.is_lasting or idle_seconds >= RESERVE_WAIT_SECONDS:
            return 0.0
        if self._short_pool.has_minions_of(pool[0].facts.service):
            return 0.0
        mean_peak_cpu = self._short_peak_cpu / len(pool)
        return min(mean_peak_cpu, MAX_RESERVE_SHARE * step.room.cpu)

    def _keeps_slot(self, step: Step, idle_seconds: float) -> bool:
        """Return whether a lasting task has to leave the last slot of its size to short tasks."""
        return (
            step.is_lasting
            and self._short_peak_cpu > 0.0
            and idle_seconds < LASTING_OVERDUE_SECONDS
        )

    def _is_last_slot(self, step: Step, pool: Sequence[Minion]) -> bool:
        """Return whether the free capacity of all minions holds fewer than two tasks of a step."""
        slot_count = 0
        for minion in pool:
            if has_required_label(minion, step) and minion.has_room_for(step):
                slot_count += minion.free_cpu // max(1, step.room.cpu)
                if slot_count >= 2:
                    return False
        return True

    def _choose_gang_starts(
        self, job: Job, step: Step, keys: list[TaskKey], pool: Sequence[Minion], now: float
    ) -> Iterator[tuple[Job, TaskKey, Minion]]:
        """Yield starts for all tasks of a gang, or none: its tasks can work only together."""
        if len(keys) < step.count:
            return
        if not self._limits.allows(job.submission.tenant, step, len(keys)):
            return
        if not self._shares.may_continue():
            return
        identity = (keys[0].occurrence, keys[0].step)
        if step.is_lasting:
            step_identity = (job.job_id, *identity)
            pool = [one for one in pool if not self._short_pool.is_closed(one, step_identity)]
        pool = self._look_ahead.open_minions(job, step, identity, pool)
        free = {id(minion): minion.free for minion in pool}
        chosen: list[tuple[TaskKey, Minion]] = []
        for key in keys:
            for minion in pool:
                if not has_required_label(minion, step) or not free[id(minion)].is_enough_for(
                    step.reserved_resources
                ):
                    continue
                if self._shares.is_withheld(minion, job.submission.tenant):
                    continue
                free[id(minion)] = free[id(minion)].minus(step.reserved_resources)
                chosen.append((key, minion))
                break
            else:
                return
        # All tasks of a gang use the same run number.
        newest_run_id = max(job.task(key).run_id for key in keys)
        for key in keys:
            job.task(key).run_id = newest_run_id
        keys.clear()
        self._remaining_starts -= len(chosen)
        for key, minion in chosen:
            yield job, key, minion
        self._shares.record_start()

    def _start_cost(
        self,
        job: Job,
        step: Step,
        occurrence_step: OccurrenceStep,
        minion: Minion,
        now: float,
        reserved_cpu: float,
    ) -> tuple[float, ...] | None:
        """Return the cost of a start on a minion, lower is better; None when it is not allowed."""
        if not self._is_start_allowed(job, step, occurrence_step, minion):
            return None
        if step.is_lasting and self._short_pool.is_closed(minion, (job.job_id, *occurrence_step)):
            return None
        is_short = not step.is_lasting and not step.is_filler
        if is_short and minion.free_cpu - self._lasting_claims.claimed_cpu(minion) < step.room.cpu:
            return None
        if reserved_cpu and minion.free_cpu - step.room.cpu < reserved_cpu:
            return None
        cost = self._placement_cost(job, step, minion, now)
        if cost is None or minion not in self._look_ahead.by_minion:
            return cost
        return self._look_ahead.start_cost(cost, job, step, occurrence_step, minion)

    def _avoiding_cost(
        self, job: Job, step: Step, key: TaskKey, now: float, reserved_cpu: float, minion: Minion
    ) -> tuple[float, ...] | None:
        """Return the cost of a start, higher where the task has failed lately."""
        cost = self._start_cost(job, step, (key.occurrence, key.step), minion, now, reserved_cpu)
        if cost is None or not step.is_lasting:
            return cost
        avoidance = self._failing.avoidance(key, minion, now)
        return (cost[0] + avoidance, *cost[1:]) if avoidance else cost

    def _is_start_allowed(
        self, job: Job, step: Step, occurrence_step: OccurrenceStep, minion: Minion
    ) -> bool:
        """Return whether a task fits on a minion, beside the claims of fillers."""
        if not self._has_room(job, step, occurrence_step, minion):
            return False
        return self._filler_claims.is_start_allowed(minion, step, (job.job_id, *occurrence_step))

    def _has_room(
        self, job: Job, step: Step, occurrence_step: OccurrenceStep, minion: Minion
    ) -> bool:
        """Return whether a task fits on a minion that is not left to other tenants."""
        if not minion.has_room_for(step) or not has_required_label(minion, step):
            return False
        if self._shares.is_withheld(minion, job.submission.tenant):
            return False
        if (
            step.anti_affinity
            and minion.run_count(job.job_id, *occurrence_step) >= step.anti_affinity
        ):
            return False
        return True

    def _placement_cost(
        self, job: Job, step: Step, minion: Minion, now: float
    ) -> tuple[float, ...] | None:
        """Return the cost of a start that fits; None when it would take too much headroom."""
        rack_distance = 1.0 if step.data_rack and step.data_rack != minion.facts.rack else 0.0
        if minion.speed.ratio != 1.0 or self._uneven.is_replacing:
            rack_distance += self._uneven.cost(job, step, minion)
        if step.is_filler:
            idle_cpu = self._interference.idle_cpu(minion)
            if idle_cpu < MIN_FILLER_CPU_SHARE * step.room.cpu:
                return None
            interference = self._interference.filler_interference(minion, step, now)
            if interference is None:
                return None
            return (rack_distance, interference, -idle_cpu)
        if step.is_lasting:
            # Serving tasks of one image are packed on the same minions. So other minions have no
            # serving tasks, and more fillers run without interference.
            image_mismatch_cost = self._interference.image_mismatch_cost(minion, step)
            return (
                rack_distance + self._short_pool.holds(minion),
                image_mismatch_cost,
                self._interference.serving_task_interference(minion, step),
                minion.free_cpu,
            )
        return (rack_distance, self._short_task_rank(minion), minion.free_cpu)

    def _short_task_rank(self, minion: Minion) -> float:
        """Return the rank of a minion among those on which a short task may start; lower is better.

        Short tasks have no part in interference. They go to the minions that are kept for them, and
        are kept off others without serving tasks, which are left to fillers.
        """
        if self._short_pool.holds(minion):
            return -1.0
        return 0.0 if self._interference.has_serving_tasks(minion) else 1.0


def _group_by_service(minions: Sequence[Minion]) -> dict[str, list[Minion]]:
    """Return minions by service."""
    by_service: dict[str, list[Minion]] = {}
    for minion in minions:
        by_service.setdefault(minion.facts.service, []).append(minion)
    return by_service
