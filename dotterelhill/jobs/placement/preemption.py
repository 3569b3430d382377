"""Stops of lasting runs that make room for short tasks that wait.

Explanation
===========

A search runs when short tasks have waited for ``MIN_WAIT_SECONDS`` and fit nowhere. It counts the
slots that are free or will be free soon, and empties as few minions as the other tasks need: first
the one with the least lasting work to stop for each slot. Tasks of jobs that are too late do not
count: they have no value for their clients any more. Jobs of tenants are left out: their limits and
shares decide whose work is stopped.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from dotterelhill.jobs.durations.model import DurationModel
from dotterelhill.jobs.fleet import Minion, Run, RunState
from dotterelhill.jobs.model import Job, Task, TaskKey, Timeliness
from dotterelhill.jobs.placement.room_waits import slots_in
from dotterelhill.jobs.placement.short_pool import ShortPool
from dotterelhill.jobs.placement.waiting import (
    OccurrenceStep,
    RankedJob,
    WaitingJob,
    startable_steps,
)
from dotterelhill.jobs.queues import Queue
from dotterelhill.jobs.resources import ResourceVector

# A search looks at the runs of tens of minions, and a round has 25 ms.
SEARCH_SECONDS = 0.1
MIN_WAIT_SECONDS = 0.1
# Short runs that are expected to end within this time leave their slots to tasks that wait.
ENDING_SECONDS = 0.3
# Upper bound of the pool, as a part of the minions of a service.
POOL_DIVISOR = 4
MAX_MINIONS_A_SEARCH = 4
MAX_TIMELINESS = Timeliness.LATE
MAX_MINIONS_COMPARED = 48
# A lasting task is not stopped again within this time, and not soon after its start.
MIN_STOP_INTERVAL_SECONDS = 30.0
MIN_RUN_SECONDS = 3.0
# A minion stops a run within 1 s, and reports it at the next poll.
MAX_STOP_SECONDS = 1.5
# Least share of the processors of stopped runs that the short tasks have to use.
MIN_USED_SHARE = 0.5
# Speed in percent from which a lasting task counts as at work.
AT_WORK_PERCENT = 100


OpenTasks = Callable[[Job, list[TaskKey], float], Sequence[TaskKey]]


@dataclass(frozen=True, slots=True)
class EmptiedMinion:
    """Lasting runs that are stopped on one minion.

    :param slots: number of short tasks that fit afterwards and did not before
    :param waiting: number of short tasks of the service that waited for a slot
    """

    minion: Minion
    runs: tuple[Run, ...]
    slots: int
    waiting: int


@dataclass(frozen=True, slots=True)
class _Stop:
    """Stop of a lasting run.

    :param at: loop time of the stop
    """

    minion: Minion
    run: Run
    at: float


@dataclass(slots=True)
class _Demand:
    """Short tasks of one size that wait in a service.

    :param priority: priority of their queue
    """

    room: ResourceVector
    priority: int
    count: int


@dataclass(slots=True)
class _Plan:
    """Lasting runs to stop on a minion, and the slots that this gains."""

    minion: Minion
    runs: list[Run] = field(default_factory=list)
    slots: int = 0

    @property
    def cost(self) -> tuple[float, float]:
        """Return the processors stopped for each slot, then how recently the runs started."""
        stopped_cpu = sum(run.step.room.cpu for run in self.runs)
        newest_start = max((run.planned_at for run in self.runs), default=0.0)
        return (stopped_cpu / self.slots, newest_start)


class Preemption:
    """Choice of the lasting runs to stop for short tasks.

    :param pool: minions that are kept for short tasks; emptied ones are added
    :param waiting_jobs: active jobs by id
    :param open_tasks: returns those of a step's waiting tasks that may start now
    :param is_reserved: returns whether room on a minion is kept for other tasks
    """

    def __init__(
        self,
        durations: DurationModel,
        pool: ShortPool,
        waiting_jobs: Mapping[str, WaitingJob],
        open_tasks: OpenTasks,
        is_reserved: Callable[[Minion], bool],
    ) -> None:
        self._durations = durations
        self._pool = pool
        self._waiting_jobs = waiting_jobs
        self._open_tasks = open_tasks
        self._is_reserved = is_reserved
        self._searched_at = float("-inf")
        self._first_compared = 0
        self._waiting_since: dict[tuple[str, OccurrenceStep], float] = {}
        self._stops: dict[TaskKey, _Stop] = {}

    def choose(
        self,
        ranked: Sequence[RankedJob],
        by_service: Mapping[str, Sequence[Minion]],
        minions: Mapping[str, Minion],
        queue_of: Callable[[Job], Queue],
        now: float,
        unix_ms: int,
    ) -> list[EmptiedMinion]:
        """Return the runs to stop, after the starts of a round that has tried all tasks.

        :param by_service: minions on which tasks may start
        :param minions: all minions by id
        :param unix_ms: wall-clock time in Unix ms, for the schedules of jobs
        """
        if self._pool.is_slow or now - self._searched_at < SEARCH_SECONDS - 1e-6:
            return []
        self._searched_at = now
        for key, stop in list(self._stops.items()):
            if now - stop.at >= MIN_STOP_INTERVAL_SECONDS:
                del self._stops[key]
        emptied: list[EmptiedMinion] = []
        for service, demands in self._demands(ranked, now, unix_ms).items():
            usable = by_service.get(service, ())
            if self._pool.is_pressed(service) or self._has_overdue_stops(service, now):
                continue
            search = _Search(usable, self._pool, minions, self._waiting_jobs, queue_of)
            search.count_ends(_end_check(self._durations, self._waiting_jobs, now))
            emptied += self._empty_minions(search, demands, now)
        return emptied

    def _has_overdue_stops(self, service: str, now: float) -> bool:
        """Return whether stops in a service are not carried out, so that others may not be."""
        for key, stop in self._stops.items():
            if stop.minion.facts.service != service or now - stop.at <= MAX_STOP_SECONDS:
                continue
            if stop.minion.runs.get(key) is stop.run and stop.run.state is RunState.STOPPING:
                return True
        return False

    def _demands(
        self, ranked: Sequence[RankedJob], now: float, unix_ms: int
    ) -> dict[str, list[_Demand]]:
        """Return the short tasks that have waited for ``MIN_WAIT_SECONDS``, by service."""
        demands: dict[str, list[_Demand]] = {}
        earlier, self._waiting_since = self._waiting_since, {}
        for rank, queue, waiting in ranked:
            if rank[1] > MAX_TIMELINESS or waiting.job.submission.tenant:
                continue
            for step, keys in startable_steps(waiting, queue, unix_ms):
                if step.kind != "short" or step.is_gang:
                    continue
                if step.required_label or step.anti_affinity:
                    continue
                identity = (waiting.job.job_id, (keys[0].occurrence, keys[0].step))
                since = self._waiting_since[identity] = earlier.get(identity, now)
                count = len(self._open_tasks(waiting.job, keys, now))
                if count and now - since >= MIN_WAIT_SECONDS - 1e-6:
                    demand = _Demand(step.room, queue.priority, count)
                    demands.setdefault(queue.service, []).append(demand)
        return demands

    def _empty_minions(
        self, search: _Search, demands: Sequence[_Demand], now: float
    ) -> list[EmptiedMinion]:
        """Return the runs to stop in one service."""
        emptied: list[EmptiedMinion] = []
        waiting = sum(demand.count for demand in demands)
        compared: list[Minion] | None = None
        # Sizes and priorities for which no minion can be emptied.
        futile: set[tuple[ResourceVector, int]] = set()
        for demand in demands:
            if (demand.room, demand.priority) in futile:
                continue
            search.use_room(demand)
            if not demand.count:
                continue
            if compared is None:
                compared = self._compared(search, now)
            if not compared or len(emptied) >= MAX_MINIONS_A_SEARCH:
                break
            for minion in self._best_minions(search, demand, compared, now):
                # Stops on other minions may have changed what fits and what may be stopped.
                plan = self._plan(search, minion, demand, now)
                if plan is None or self._is_full(search, minion):
                    continue
                for run in plan.runs:
                    self._stops[run.key] = _Stop(minion, run, now)
                search.record_stops(minion, plan.runs)
                self._pool.add(minion, now)
                emptied.append(EmptiedMinion(minion, tuple(plan.runs), plan.slots, waiting))
                search.use_room(demand)
                if not demand.count or len(emptied) >= MAX_MINIONS_A_SEARCH:
                    break
            if demand.count:
                futile.add((demand.room, demand.priority))
        return emptied

    def _compared(self, search: _Search, now: float) -> list[Minion]:
        """Return the minions to compare: those of the pool, and some others in turn."""
        members = [one for one in search.usable if self._pool.holds(one)]
        others = [one for one in search.usable if not self._pool.holds(one)]
        first = self._first_compared % max(1, len(others))
        self._first_compared = first + MAX_MINIONS_COMPARED
        others = (others[first:] + others[:first])[:MAX_MINIONS_COMPARED]
        return [
            minion
            for minion in members + others
            if not (
                search.has_stops(minion)
                or self._is_full(search, minion)
                or self._is_reserved(minion)
                or minion.health.has_failed_lately(now)
            )
        ]

    def _best_minions(
        self, search: _Search, demand: _Demand, compared: Iterable[Minion], now: float
    ) -> list[Minion]:
        """Return minions to empty, first the one with the least lasting work for each slot."""
        plans = []
        for minion in compared:
            if search.has_stops(minion):
                continue
            plan = self._plan(search, minion, demand, now)
            if plan is not None:
                plans.append(plan)
        plans.sort(key=lambda plan: plan.cost)
        return [plan.minion for plan in plans]

    def _plan(self, search: _Search, minion: Minion, demand: _Demand, now: float) -> _Plan | None:
        """Return the stops on a minion for as many waiting tasks as fit; None if none would fit."""
        return search.plan(minion, demand, lambda run: self._is_stoppable(run, now))

    def _is_full(self, search: _Search, minion: Minion) -> bool:
        """Return whether a minion can't join the pool, which has its largest size."""
        if self._pool.holds(minion):
            return False
        return self._pool.count_of(minion.facts.service) >= len(search.usable) // POOL_DIVISOR

    def _is_stoppable(self, run: Run, now: float) -> bool:
        """Return whether a run has worked for long enough since its start and its last stop."""
        if run.percent < AT_WORK_PERCENT or run.key in self._stops:
            return False
        # An earlier leader may have stopped a task that has run before.
        least_seconds = MIN_STOP_INTERVAL_SECONDS if run.run_id > 1 else MIN_RUN_SECONDS
        return now - run.planned_at >= least_seconds


class _Search:
    """Room of one service that is free or will be free, and what can be stopped there."""

    def __init__(
        self,
        usable: Sequence[Minion],
        pool: ShortPool,
        minions: Mapping[str, Minion],
        waiting_jobs: Mapping[str, WaitingJob],
        queue_of: Callable[[Job], Queue],
    ) -> None:
        self.usable = usable
        self._pool = pool
        self._minions = minions
        self._waiting_jobs = waiting_jobs
        self._queue_of = queue_of
        self._free = {minion: minion.free for minion in usable}
        self._stopping: set[Minion] = set()
        # Tasks of steps that are away, or chosen to be stopped, by job, occurrence and step.
        self._away: dict[tuple[str, int, int], int] = {}

    def has_stops(self, minion: Minion) -> bool:
        """Return whether runs of a minion are being stopped."""
        return minion in self._stopping

    def count_ends(self, ends_soon: Callable[[Run], bool]) -> None:
        """Count the room of runs of the pool that are being stopped or end soon."""
        for minion in self.usable:
            if not self._pool.holds(minion):
                continue
            for run in minion.runs.values():
                is_stopping = run.state is RunState.STOPPING
                if is_stopping:
                    self._stopping.add(minion)
                if is_stopping or ends_soon(run):
                    room = run.step.reserved_resources
                    self._free[minion] = self._free[minion].plus(room)

    def use_room(self, demand: _Demand) -> None:
        """Take away the tasks for which there is room, and that room."""
        room = demand.room
        for minion in self.usable:
            if not demand.count:
                return
            free = self._free[minion]
            if free.cpu < room.cpu or free.memory_mb < room.memory_mb:
                continue
            slots = min(demand.count, slots_in(free, room))
            demand.count -= slots
            for _ in range(slots):
                free = free.minus(room)
            self._free[minion] = free

    def record_stops(self, minion: Minion, runs: Iterable[Run]) -> None:
        """Count the room of runs that were chosen to be stopped."""
        self._stopping.add(minion)
        for run in runs:
            self._free[minion] = self._free[minion].plus(run.step.reserved_resources)
            step = _step_of(run)
            if step in self._away:
                self._away[step] += 1

    def plan(
        self, minion: Minion, demand: _Demand, is_stoppable: Callable[[Run], bool]
    ) -> _Plan | None:
        """Return the stops on a minion for as many tasks as fit; None where none would fit."""
        runs = [
            run
            for run in minion.runs.values()
            if is_stoppable(run) and self._may_stop(run, demand.priority)
        ]
        runs = self._within_may_miss(runs)
        free = self._free[minion]
        potential = free
        for run in runs:
            potential = potential.plus(run.step.reserved_resources)
        slots = min(demand.count, slots_in(potential, demand.room))
        if slots <= 0:
            return None
        runs.sort(key=lambda run: (run.step.room.cpu, run.planned_at))
        chosen: list[Run] = []
        for run in reversed(runs):
            if slots_in(free, demand.room) >= slots:
                break
            chosen.append(run)
            free = free.plus(run.step.reserved_resources)
        for run in sorted(chosen, key=lambda run: run.step.room.cpu):
            without = free.minus(run.step.reserved_resources)
            if slots_in(without, demand.room) >= slots:
                chosen.remove(run)
                free = without
        stopped_cpu = sum(run.step.room.cpu for run in chosen)
        if slots * demand.room.cpu < MIN_USED_SHARE * stopped_cpu:
            return None
        return _Plan(minion, chosen, slots)

    def _may_stop(self, run: Run, priority: int) -> bool:
        """Return whether the step of a lasting run allows to stop it for a short task.

        :param priority: priority of the short task
        """
        step = run.step
        if not step.is_lasting or step.is_gang or run.state is not RunState.PRESENT:
            return False
        waiting = self._waiting_jobs.get(run.key.job_id)
        if waiting is None or waiting.job.submission.tenant:
            return False
        return priority <= self._queue_of(waiting.job).priority

    def _within_may_miss(self, runs: Sequence[Run]) -> list[Run]:
        """Return those of the runs that may be stopped together by the ``may_miss`` of steps."""
        allowed = []
        counts: dict[tuple[str, int, int], int] = {}
        for run in runs:
            if run.step.may_miss is not None:
                step = _step_of(run)
                away = counts.get(step, self._away_count(run))
                if away >= run.step.may_miss:
                    continue
                counts[step] = away + 1
            allowed.append(run)
        return allowed

    def _away_count(self, run: Run) -> int:
        """Return how many tasks of the step of a run are not at work."""
        step = _step_of(run)
        if step not in self._away:
            job = self._waiting_jobs[run.key.job_id].job
            tasks = (job.tasks.get(TaskKey(*step, index)) for index in range(run.step.count))
            self._away[step] = sum(not self._is_at_work(task) for task in tasks)
        return self._away[step]

    def _is_at_work(self, task: Task | None) -> bool:
        """Return whether a task is known to be at work."""
        minion = self._minions.get(task.minion_id) if task is not None else None
        if task is None or minion is None or not minion.is_answering:
            return False
        run = minion.runs.get(task.key)
        is_present = run is not None and run.state is RunState.PRESENT
        return is_present and run is not None and run.percent >= AT_WORK_PERCENT


def _end_check(
    durations: DurationModel, waiting_jobs: Mapping[str, WaitingJob], now: float
) -> Callable[[Run], bool]:
    """Return a check whether a short run is expected to end within ``ENDING_SECONDS``."""

    def ends_soon(run: Run) -> bool:
        waiting = waiting_jobs.get(run.key.job_id)
        if waiting is None or run.step.kind != "short" or run.state is RunState.PLANNED:
            return False
        seconds = durations.expected(waiting.job.submission.queue.name, run.step)
        return run.planned_at + seconds - now <= ENDING_SECONDS

    return ends_soon


def _step_of(run: Run) -> tuple[str, int, int]:
    """Return the job, occurrence and step of a run."""
    return (run.key.job_id, run.key.occurrence, run.key.step)
