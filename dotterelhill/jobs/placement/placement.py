"""Placement: orders waiting tasks and chooses a minion for each."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from functools import partial
from heapq import heapify, heappop, heapreplace
from math import inf

from dotterelhill.jobs.crashes.isolation import Isolation
from dotterelhill.jobs.crashes.suspicion import CrashSuspicion
from dotterelhill.jobs.durations.model import DurationModel
from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.interference.sharing import InterferenceControl
from dotterelhill.jobs.model import TOO_LATE_FACTOR, Job, Step, Task, TaskKey
from dotterelhill.jobs.placement.lasting_waits import WaitingStep
from dotterelhill.jobs.queues import Queue
from dotterelhill.jobs.resources import ResourceVector

UNLIMITED_STARTS = 1 << 30

# A filler is placed only on a minion with at least this share of its requested processors idle.
MIN_FILLER_CPU_SHARE = 0.75

# With thousands of waiting fillers, each attempt to place them takes milliseconds, while headroom
# changes within some tenths of a second.
FILLER_RETRY_SECONDS = 0.1
FILLER_CLASS = "filler"

# The processors that short tasks needed at their peak are reserved against lasting tasks, because a
# processor second of a short task is worth several of a lasting task. The reserve halves in this
# time.
RESERVE_HALF_LIFE_SECONDS = 15.0
# A lasting task that has not run for this time ignores the reserve. From then until it claims a
# minion, only the last slot for a task of its size stays reserved.
RESERVE_WAIT_SECONDS = 2.2
# Short tasks have to leave a minion to a lasting task that has not run for this time. The platform
# counts it from 6 s after its last run, which may be over when its run is known to be lost.
CLAIM_AFTER_SECONDS = 5.0
# Upper bound of the reserve on one minion, as a share of the size of the lasting task.
MAX_RESERVE_SHARE = 0.9

# A slow minion costs more than a rack without the data: it takes several times as long.
SLOW_MINION_COST = 2.0

QueueLookup = Callable[[Job], Queue]
OccurrenceStep = tuple[int, int]


class Timeliness(IntEnum):
    """Expected end of a job relative to its objective; jobs are ranked in this order."""

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


@dataclass(slots=True)
class _WaitingJob:
    """Waiting tasks of one job, by occurrence and step.

    :param pending: keys of the tasks that can start
    """

    job: Job
    pending: dict[OccurrenceStep, list[TaskKey]] = field(default_factory=dict)


class Placement:
    """Queue of the waiting tasks of all active jobs, and the choice of their minions.

    :param interference: control of the interference between fillers and serving tasks
    :param suspicion: tasks that are suspected of crashing minions
    :param durations: learned durations of tasks
    """

    def __init__(
        self,
        interference: InterferenceControl,
        suspicion: CrashSuspicion,
        durations: DurationModel,
    ) -> None:
        self._interference = interference
        self._suspicion = suspicion
        self._durations = durations
        self._isolation = Isolation(suspicion)
        self._waiting_jobs: dict[str, _WaitingJob] = {}
        self._short_peak_cpu = 0.0
        self._short_peak_at = 0.0
        self._unplaceable: dict[str, list[ResourceVector]] = {}
        self._unplaceable_since = float("-inf")
        self._remaining_starts = UNLIMITED_STARTS
        self._claimed_cpu: dict[Minion, int] = {}
        self._claimed_minions: dict[TaskKey, Minion] = {}

    @property
    def waiting_tasks(self) -> int:
        """Return the number of tasks that wait for a minion."""
        count = 0
        for waiting in self._waiting_jobs.values():
            count += sum(len(keys) for keys in waiting.pending.values())
        return count

    @property
    def isolation(self) -> Isolation:
        """Return the choice of minions for tasks that are suspected of crashing them."""
        return self._isolation

    def waiting_lasting_steps(self, queue_of: QueueLookup, unix_ms: int) -> Iterator[WaitingStep]:
        """Yield the steps of which lasting tasks wait for a minion.

        A step that is not due, or whose queue needs advice, does not wait: no minion can help it.

        :param queue_of: returns the current queue configuration of a job
        :param unix_ms: wall-clock time in Unix ms, for the schedules of jobs
        """
        for waiting in self._waiting_jobs.values():
            queue = queue_of(waiting.job)
            for step, keys in _startable_lasting_steps(waiting, queue, unix_ms):
                yield WaitingStep(waiting.job, step, queue.service, keys)

    def add_job(self, job: Job) -> None:
        """Add the ready steps of a job that became active."""
        waiting = self._waiting_jobs[job.job_id] = _WaitingJob(job)
        for occurrence in range(job.submission.occurrence_count):
            for step in range(len(job.submission.steps)):
                self._add_ready_step(waiting, occurrence, step)

    def remove_job(self, job: Job) -> None:
        """Remove a job that has ended."""
        self._waiting_jobs.pop(job.job_id, None)

    def requeue(self, job: Job, task: Task) -> None:
        """Add a task that has to run again; a task that is done or already waits is ignored."""
        waiting = self._waiting_jobs.get(job.job_id)
        if waiting is None or task.is_done:
            return
        keys = waiting.pending.setdefault((task.key.occurrence, task.key.step), [])
        if task.key not in keys:
            keys.append(task.key)

    def withdraw(self, job: Job, task: Task) -> None:
        """Remove a waiting task that needs no further run."""
        waiting = self._waiting_jobs.get(job.job_id)
        occurrence_step = (task.key.occurrence, task.key.step)
        if waiting is not None and task.key in waiting.pending.get(occurrence_step, ()):
            waiting.pending[occurrence_step].remove(task.key)

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

    def add_ready_dependents(self, job: Job, key: TaskKey) -> None:
        """Add the steps that depend on the step of ``key`` if that step is done."""
        waiting = self._waiting_jobs.get(job.job_id)
        if waiting is None or not job.is_step_done(key.occurrence, key.step):
            return
        waiting.pending.pop((key.occurrence, key.step), None)
        for step, dependent in enumerate(job.submission.steps):
            if key.step in dependent.after:
                self._add_ready_step(waiting, key.occurrence, step)

    def _add_ready_step(self, waiting: _WaitingJob, occurrence: int, step: int) -> None:
        """Add the unassigned tasks of a step whose dependencies are done."""
        job = waiting.job
        if not job.is_step_ready(occurrence, step) or job.is_step_done(occurrence, step):
            return
        keys = []
        for index in range(job.submission.steps[step].count):
            key = TaskKey(job.job_id, occurrence, step, index)
            task = job.tasks.get(key)
            if task is not None and (task.is_done or task.is_assigned):
                continue
            keys.append(key)
        if keys:
            waiting.pending[occurrence, step] = keys

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

        Lasting tasks that have not run for ``CLAIM_AFTER_SECONDS`` come first: a steady sequence of
        tasks that rank before them could use up ``max_starts`` in each round.

        The caller has to attach each run to its minion before it requests the next start.

        :param minions: minions on which tasks may start
        :param minions_for_trial: minions on which one lasting task each may start that gets none of
            ``minions``, because they have no room or it is reserved for short tasks
        :param queue_of: returns the current queue configuration of a job
        :param unix_ms: wall-clock time in Unix ms, for the objectives and schedules of jobs
        :param max_starts: number of starts to yield at most; a gang is not split
        """
        self._remaining_starts = max_starts
        by_service = _group_by_service(minions)
        for_trial_by_service = _group_by_service(minions_for_trial)
        ranked = []
        for waiting in self._waiting_jobs.values():
            if waiting.pending:
                queue = queue_of(waiting.job)
                key = _sort_key(waiting.job, queue, unix_ms, self._durations)
                ranked.append((key, queue, waiting))
        ranked.sort(key=lambda entry: entry[0])
        self._track_short_peak(minions, now)
        unplaceable = self._recently_unplaceable(now)
        self._claim_minions(ranked, by_service, now, unix_ms)
        if self._suspicion.has_suspects:
            yield from self._choose_isolated_starts(ranked, by_service, now, unix_ms)
            for service, pool in by_service.items():
                by_service[service] = self._isolation.open_minions(pool)
        turns = []
        for _, queue, waiting in ranked:
            if _has_overdue_task(waiting, now):
                turns.append((queue, waiting, True))
        for _, queue, waiting in ranked:
            turns.append((queue, waiting, False))
        for queue, waiting, is_overdue_only in turns:
            pool = by_service.get(queue.service, [])
            for_trial = for_trial_by_service.get(queue.service, [])
            if self._remaining_starts <= 0:
                return
            if not (pool or for_trial) or queue.needs_advice:
                continue
            yield from self._choose_job_starts(
                waiting, pool, for_trial, now, unix_ms, unplaceable, is_overdue_only=is_overdue_only
            )

    def _recently_unplaceable(self, now: float) -> dict[str, list[ResourceVector]]:
        """Return the sizes of fillers that recently found no minion, by placement class.

        Tasks of other classes are tried again in each round.
        """
        if now - self._unplaceable_since > FILLER_RETRY_SECONDS:
            self._unplaceable = {}
            self._unplaceable_since = now
            return self._unplaceable
        for name in [name for name in self._unplaceable if not name.startswith(FILLER_CLASS)]:
            del self._unplaceable[name]
        return self._unplaceable

    def _track_short_peak(self, minions: Sequence[Minion], now: float) -> None:
        """Update the peak of the processors that short tasks use or wait for."""
        cpu = float(sum(minion.short_cpu for minion in minions))
        for waiting in self._waiting_jobs.values():
            for (_, index), keys in waiting.pending.items():
                step = waiting.job.submission.steps[index]
                if not step.is_lasting:
                    cpu += len(keys) * step.reserved_resources.cpu
        decay = 0.5 ** ((now - self._short_peak_at) / RESERVE_HALF_LIFE_SECONDS)
        self._short_peak_cpu = max(cpu, self._short_peak_cpu * decay)
        self._short_peak_at = now

    def _claim_minions(
        self,
        ranked: Sequence[tuple[object, Queue, _WaitingJob]],
        by_service: Mapping[str, Sequence[Minion]],
        now: float,
        unix_ms: int,
    ) -> None:
        """Claim minions for lasting tasks that have waited longer than ``CLAIM_AFTER_SECONDS``.

        Without claims, a steady sequence of short tasks would fragment the free processors, so
        that a lasting task never fits.
        """
        earlier, self._claimed_minions = self._claimed_minions, {}
        self._claimed_cpu = {}
        for _, queue, waiting in ranked:
            for step, keys in _startable_lasting_steps(waiting, queue, unix_ms):
                if _idle_seconds(waiting.job, keys, now) < CLAIM_AFTER_SECONDS:
                    continue
                pool = by_service.get(queue.service, [])
                for key in keys:
                    minion = self._claimable_minion(key, step, pool, earlier.get(key))
                    if minion is None:
                        break
                    self._claimed_minions[key] = minion
                    self._claimed_cpu[minion] = self._claimed_cpu.get(minion, 0) + step.room.cpu

    def _claimable_minion(
        self, key: TaskKey, step: Step, pool: Sequence[Minion], earlier: Minion | None
    ) -> Minion | None:
        """Return the minion that needs the fewest short tasks to end before a lasting task fits.

        :param earlier: minion claimed in the previous round; stays claimed if it still qualifies
        """
        best: Minion | None = None
        smallest_shortfall = 0
        for minion in pool:
            claimed_cpu = self._claimed_cpu.get(minion, 0)
            available_cpu = minion.facts.capacity.cpu - minion.lasting_cpu - claimed_cpu
            available_memory_mb = minion.facts.capacity.memory_mb - minion.used.memory_mb
            available_gpu = minion.facts.capacity.gpu - minion.used.gpu
            if available_cpu < step.room.cpu or available_memory_mb < step.room.memory_mb:
                continue
            if available_gpu < step.room.gpu:
                continue
            if not _has_required_label(minion, step):
                continue
            count = minion.run_count(key.job_id, key.occurrence, key.step)
            if step.anti_affinity and count >= step.anti_affinity:
                continue
            if minion is earlier:
                return minion
            shortfall = step.room.cpu + claimed_cpu - minion.free_cpu
            if best is None or shortfall < smallest_shortfall:
                best, smallest_shortfall = minion, shortfall
        return best

    def _choose_isolated_starts(
        self,
        ranked: Sequence[tuple[object, Queue, _WaitingJob]],
        by_service: Mapping[str, Sequence[Minion]],
        now: float,
        unix_ms: int,
    ) -> Iterator[tuple[Job, TaskKey, Minion]]:
        """Yield starts of suspected tasks, on minions where nothing else starts meanwhile."""
        self._isolation.begin_round(by_service)
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
                elif self._suspicion.tasks_to_test(job, occurrence_step, keys):
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

        for key in self._suspicion.tasks_to_test(job, occurrence_step, keys):
            if self._remaining_starts <= 0:
                return
            minion = self._isolation.choose(key, pool, start_cost, now)
            if minion is not None:
                keys.remove(key)
                self._remaining_starts -= 1
                yield job, key, minion
                continue
            if step.is_filler:
                # Whether a filler fits changes with the load, so its claim is chosen anew.
                self._isolation.drop_claim(key)
                self._isolation.claim(key, pool, start_cost, lambda minions: None)
                continue
            self._isolation.claim(
                key, pool, start_cost, partial(self._claimable_minion, key, step, earlier=None)
            )

    def _choose_job_starts(
        self,
        waiting: _WaitingJob,
        pool: Sequence[Minion],
        for_trial: list[Minion],
        now: float,
        unix_ms: int,
        unplaceable: dict[str, list[ResourceVector]],
        *,
        is_overdue_only: bool,
    ) -> Iterator[tuple[Job, TaskKey, Minion]]:
        """Yield starts for the waiting tasks of one job that are due.

        :param for_trial: minions on which one lasting task each may start; those that got one are
            removed
        :param is_overdue_only: whether to leave out all but the lasting tasks that have not run for
            ``CLAIM_AFTER_SECONDS``
        """
        job = waiting.job
        for occurrence_step, keys in list(waiting.pending.items()):
            occurrence, index = occurrence_step
            if unix_ms < job.submission.due_ms(occurrence):
                continue
            step = job.submission.steps[index]
            if is_overdue_only and not step.is_lasting:
                continue
            open_keys = self._suspicion.open_tasks(job, occurrence_step, keys, now)
            if is_overdue_only:
                open_keys = [key for key in open_keys if _is_overdue(job, key, now)]
            if not open_keys:
                continue
            held_keys = []
            if open_keys is not keys:
                chosen = set(open_keys)
                held_keys = [key for key in keys if key not in chosen]
            if step.is_gang:
                yield from self._choose_gang_starts(job, step, open_keys, pool, now)
            elif pool:
                yield from self._choose_task_starts(job, step, open_keys, pool, now, unplaceable)
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
        unplaceable: dict[str, list[ResourceVector]],
    ) -> Iterator[tuple[Job, TaskKey, Minion]]:
        """Yield starts for the tasks of one step until one of them fits no minion.

        :param unplaceable: sizes that fit no minion in this round, by placement class; tasks of
            the class that are as large are not tried
        """
        placement_class = _placement_class(step, pool[0].facts.service)
        for resources in unplaceable.get(placement_class, []):
            if step.room.is_enough_for(resources):
                return
        idle_seconds = _idle_seconds(job, keys, now) if step.is_lasting else 0.0
        reserved_cpu = self._reserved_cpu(step, pool, idle_seconds)
        occurrence_step = (keys[0].occurrence, keys[0].step)
        heap: list[tuple[tuple[float, ...], int]] = []
        for number, minion in enumerate(pool):
            cost = self._start_cost(job, step, occurrence_step, minion, now, reserved_cpu)
            if cost is not None:
                heap.append((cost, number))
        heapify(heap)
        while keys and heap and self._remaining_starts > 0:
            is_slot_kept = (
                step.is_lasting and self._short_peak_cpu and idle_seconds < CLAIM_AFTER_SECONDS
            )
            if is_slot_kept and self._is_last_slot(step, pool):
                return
            minion = pool[heap[0][1]]
            if keys[0] in minion.runs:
                heappop(heap)
                continue
            self._remaining_starts -= 1
            yield job, keys.pop(0), minion
            # A start changes only the cost on its own minion.
            cost = self._start_cost(job, step, occurrence_step, minion, now, reserved_cpu)
            if cost is None:
                heappop(heap)
            else:
                heapreplace(heap, (cost, heap[0][1]))
        # A failure caused by a constraint of this step, or by the reserve, which depends on the
        # waiting time, does not imply that other steps of the class fail.
        is_limited = step.anti_affinity or step.required_label or step.data_rack or reserved_cpu
        if keys and not heap and not is_limited:
            unplaceable.setdefault(placement_class, []).append(step.room)

    def _choose_trials(
        self, job: Job, step: Step, keys: list[TaskKey], for_trial: list[Minion], now: float
    ) -> Iterator[tuple[Job, TaskKey, Minion]]:
        """Yield starts of lasting tasks on minions that are set aside, one for each."""
        occurrence_step = (keys[0].occurrence, keys[0].step)
        for minion in list(for_trial):
            if not keys or self._remaining_starts <= 0:
                return
            if keys[0] in minion.runs:
                continue
            if self._start_cost(job, step, occurrence_step, minion, now, 0.0) is None:
                continue
            for_trial.remove(minion)
            self._remaining_starts -= 1
            yield job, keys.pop(0), minion

    def _reserved_cpu(self, step: Step, pool: Sequence[Minion], idle_seconds: float) -> float:
        """Return the processors that a lasting task has to leave free on a minion.

        :param idle_seconds: time for which the task has not run
        :returns: thousandths of a processor
        """
        if not step.is_lasting or idle_seconds >= RESERVE_WAIT_SECONDS:
            return 0.0
        mean_peak_cpu = self._short_peak_cpu / len(pool)
        return min(mean_peak_cpu, MAX_RESERVE_SHARE * step.room.cpu)

    def _is_last_slot(self, step: Step, pool: Sequence[Minion]) -> bool:
        """Return whether the free capacity of all minions holds fewer than two tasks of a step."""
        slot_count = 0
        for minion in pool:
            if _has_required_label(minion, step) and minion.has_room_for(step):
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
        free = {id(minion): minion.free for minion in pool}
        chosen: list[tuple[TaskKey, Minion]] = []
        for key in keys:
            for minion in pool:
                if not _has_required_label(minion, step) or not free[id(minion)].is_enough_for(
                    step.reserved_resources
                ):
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
        if not minion.has_room_for(step) or not _has_required_label(minion, step):
            return None
        if (
            step.anti_affinity
            and minion.run_count(job.job_id, *occurrence_step) >= step.anti_affinity
        ):
            return None
        is_short = not step.is_lasting and not step.is_filler
        if is_short and minion.free_cpu - self._claimed_cpu.get(minion, 0) < step.room.cpu:
            return None
        if reserved_cpu and minion.free_cpu - step.room.cpu < reserved_cpu:
            return None
        return self._placement_cost(step, minion, now)

    def _placement_cost(self, step: Step, minion: Minion, now: float) -> tuple[float, ...] | None:
        """Return the cost of a start that fits; None when it would take too much headroom."""
        rack_distance = 1.0 if step.data_rack and step.data_rack != minion.facts.rack else 0.0
        if minion.speed.is_slow:
            rack_distance += SLOW_MINION_COST
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
                rack_distance,
                image_mismatch_cost,
                self._interference.serving_task_interference(minion, step),
                minion.free_cpu,
            )
        # Other tasks have no part in interference. They are kept off minions without serving tasks,
        # which are left to fillers.
        return (
            rack_distance,
            0.0 if self._interference.has_serving_tasks(minion) else 1.0,
            minion.free_cpu,
        )


def _startable_lasting_steps(
    waiting: _WaitingJob, queue: Queue, unix_ms: int
) -> Iterator[tuple[Step, list[TaskKey]]]:
    """Yield the steps of a job with lasting tasks that may start, with the keys of the tasks."""
    if queue.needs_advice:
        return
    submission = waiting.job.submission
    for (occurrence, index), keys in waiting.pending.items():
        step = submission.steps[index]
        if step.is_lasting and keys and unix_ms >= submission.due_ms(occurrence):
            yield step, keys


def _has_overdue_task(waiting: _WaitingJob, now: float) -> bool:
    """Return whether a lasting task of a job has not run for ``CLAIM_AFTER_SECONDS``."""
    for (_, index), keys in waiting.pending.items():
        if waiting.job.submission.steps[index].is_lasting:
            if _idle_seconds(waiting.job, keys, now) >= CLAIM_AFTER_SECONDS:
                return True
    return False


def _is_overdue(job: Job, key: TaskKey, now: float) -> bool:
    """Return whether a waiting lasting task has not run for ``CLAIM_AFTER_SECONDS``."""
    return _idle_seconds(job, [key], now) >= CLAIM_AFTER_SECONDS


def _idle_seconds(job: Job, keys: Sequence[TaskKey], now: float) -> float:
    """Return the longest time in seconds for which one of the waiting tasks has not run."""
    idle_seconds = 0.0
    for key in keys:
        idle_since = job.task(key).idle_since
        if idle_since is not None:
            idle_seconds = max(idle_seconds, now - idle_since)
    return idle_seconds


def _group_by_service(minions: Sequence[Minion]) -> dict[str, list[Minion]]:
    """Return minions by service."""
    by_service: dict[str, list[Minion]] = {}
    for minion in minions:
        by_service.setdefault(minion.facts.service, []).append(minion)
    return by_service


def _placement_class(step: Step, service: str) -> str:
    """Return the class of a step: within a class, only the size decides which minions fit."""
    if step.is_filler:
        return f"{FILLER_CLASS} {step.image} {service}"
    return f"lasting {step.image} {service}" if step.is_lasting else f"short {service}"


def _has_required_label(minion: Minion, step: Step) -> bool:
    """Return whether a minion has the label that a step requires, if any."""
    return not step.required_label or step.required_label in minion.facts.labels


def _sort_key(
    job: Job, queue: Queue, unix_ms: int, durations: DurationModel
) -> tuple[int, int, float]:
    """Return the sort key of a job: priority, timeliness, and slack in seconds."""
    age_seconds = (unix_ms - job.submission.accepted_ms) / 1000.0
    path_seconds, remaining = _path_seconds(job, durations)
    objective = queue.stretch * path_seconds + queue.target_seconds
    timeliness = Timeliness.IN_TIME
    if age_seconds + remaining > TOO_LATE_FACTOR * objective:
        timeliness = Timeliness.TOO_LATE
    elif age_seconds + remaining > objective:
        timeliness = Timeliness.LATE
    return (queue.priority, timeliness, objective - age_seconds - remaining)


def _path_seconds(job: Job, durations: DurationModel) -> tuple[float, float]:
    """Return the expected durations in seconds of two critical paths of a job.

    :returns: path through all steps, and path through the unfinished steps
    """
    queue = job.submission.queue.name
    ends: list[float] = []
    remaining_ends: list[float] = []
    for number, step in enumerate(job.submission.steps):
        seconds = durations.expected(queue, step)
        is_done = job.is_step_done(0, number)
        start = max((ends[index] for index in step.after), default=0.0)
        ends.append(start + seconds)
        start = max((remaining_ends[index] for index in step.after), default=0.0)
        remaining_ends.append(start if is_done else start + seconds)
    return max(ends, default=0.0), max(remaining_ends, default=0.0)
