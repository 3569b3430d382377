"""Bound within which an accepted task starts, and the steps whose tasks exceed it.

Explanation
===========

The turn of a task has come when the steps on which its step depends are done, its occurrence is due
and its job has not ended. From then on it starts within its bound, whichever process leads, while
usable minions have room for it twice over. The bound of a lasting task holds at any time and counts
from ``LASTING_IDLE_SECONDS`` after its last run. The bound of other tasks holds for jobs that have
nothing running, while less than ``MAX_USED_SHARE`` of the processors of their service are reserved.

The check starts from the jobs and from what minions report, not from the queue of waiting tasks: a
task that waits without being queued, or counts as assigned without running, exceeds its bound as
well.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from dotterelhill.jobs.fleet import Minion, RunState
from dotterelhill.jobs.minions.health import Exclusion
from dotterelhill.jobs.model import Assignment, Job, Step, TaskKey
from dotterelhill.jobs.placement.waiting import has_required_label, misfit
from dotterelhill.jobs.queues import Queue

START_BOUND_SECONDS = 3.0
LASTING_IDLE_SECONDS = 6.0
MAX_USED_SHARE = 0.5
# Room for one task may be reserved for another one that starts at the same moment.
ROOM_FACTOR = 2

CHECK_INTERVAL_SECONDS = 1.0
REPORT_INTERVAL_SECONDS = 3.0
# A leader may have a tenth of a processor. So one check looks for room for at most this number of
# lasting steps and as many others, which it seeks in this number of jobs. The next one goes on from
# there.
MAX_CHECKED_STEPS = 10
MAX_CHECKED_JOBS = 200
# A report looks for the reasons on all minions, which takes as long as the check itself.
MAX_REPORTED_STEPS = 3
# Times of ended jobs are removed when there are this many times for each active job.
MAX_IDLE_RATIO = 4
# A start order that was planned less than this time ago may still be on its way.
START_ORDER_SECONDS = 1.0

RUN_STATE_FIELDS = {
    RunState.PLANNED: "assigned_planned",
    RunState.SENT: "assigned_sent",
    RunState.UNKNOWN: "assigned_unknown",
    RunState.PRESENT: "assigned_present",
    RunState.STOPPING: "assigned_stopping",
}

QueueLookup = Callable[[Job], Queue]
StepId = tuple[str, int, int]
Item = TypeVar("Item")


@dataclass(frozen=True, slots=True)
class OverdueStep:
    """Tasks of one step that have exceeded their bound.

    :param service: pool whose minions run the tasks
    :param keys: keys of the tasks; not empty
    :param waited_seconds: longest time for which one of them could have started
    """

    job: Job
    step: Step
    service: str
    keys: Sequence[TaskKey]
    waited_seconds: float

    @property
    def step_id(self) -> StepId:
        """Return the job, occurrence and step of the tasks."""
        first = self.keys[0]
        return (first.job_id, first.occurrence, first.step)


@dataclass(slots=True)
class _Pool:
    """Usable minions of a service.

    :param largest_cpu: largest free thousandths of a processor on any of them; so are
        ``largest_memory_mb`` and ``largest_gpu`` for the other resources
    :param is_calm: whether less than ``MAX_USED_SHARE`` of the processors are reserved
    :param calm_seconds: time for which that has been so
    """

    minions: list[Minion] = field(default_factory=list)
    capacity_cpu: int = 0
    used_cpu: int = 0
    largest_cpu: int = 0
    largest_memory_mb: int = 0
    largest_gpu: int = 0
    is_calm: bool = False
    calm_seconds: float = 0.0

    def add(self, minion: Minion) -> None:
        """Add a minion; called for all minions of the fleet, so it creates no objects."""
        capacity, used = minion.facts.capacity, minion.used
        self.minions.append(minion)
        self.capacity_cpu += capacity.cpu
        self.used_cpu += used.cpu
        self.largest_cpu = max(self.largest_cpu, capacity.cpu - used.cpu)
        self.largest_memory_mb = max(self.largest_memory_mb, capacity.memory_mb - used.memory_mb)
        self.largest_gpu = max(self.largest_gpu, capacity.gpu - used.gpu)

    def may_have_room(self, step: Step) -> bool:
        """Return false if no minion has room for a task of a step."""
        room = step.reserved_resources
        return (
            self.largest_cpu >= room.cpu
            and self.largest_memory_mb >= room.memory_mb
            and self.largest_gpu >= room.gpu
        )


@dataclass(slots=True)
class _Runs:
    """Runs that minions have confirmed, and those whose start orders may be on their way.

    :param jobs: jobs with a confirmed run
    :param starting_jobs: jobs with a start order on its way
    :param lasting: lasting tasks that run or are about to start, by step
    """

    jobs: set[str] = field(default_factory=set)
    starting_jobs: set[str] = field(default_factory=set)
    lasting: dict[StepId, set[TaskKey]] = field(default_factory=dict)


class StartBound:
    """Check of the bound within which accepted tasks start.

    :param lease_seconds: time after which a run counts as ended whose minion has not reported it
    """

    def __init__(self, lease_seconds: float) -> None:
        self._lease_seconds = lease_seconds
        # Loop time from which a job has had nothing running, as far as this leader knows.
        self._idle_since: dict[str, float] = {}
        # The same for lasting tasks that count as assigned.
        self._absent_since: dict[TaskKey, float] = {}
        self._starting_jobs: set[str] = set()
        # Loop time from which less than ``MAX_USED_SHARE`` of a service has been reserved.
        self._calm_since: dict[str, float] = {}
        self._reported_at: dict[StepId, float] = {}
        self._checked_at = float("-inf")
        self._job_position = 0
        self._step_position = 0
        self._task_counts: Counter[str] = Counter()
        self._longest_seconds = 0.0

    @property
    def task_counts(self) -> Counter[str]:
        """Return the number of overdue tasks that the newest check has found, by kind."""
        return self._task_counts

    @property
    def longest_seconds(self) -> float:
        """Return the longest wait of an overdue task at the newest check, in seconds."""
        return self._longest_seconds

    def is_check_due(self, now: float) -> bool:
        """Return whether ``CHECK_INTERVAL_SECONDS`` have passed since the newest check."""
        return now - self._checked_at >= CHECK_INTERVAL_SECONDS

    def record_run(self, job_id: str, now: float) -> None:
        """Record that a run of a job has begun or ended, so that its bound begins anew."""
        self._idle_since[job_id] = now

    def check(
        self,
        jobs: Mapping[str, Job],
        lasting_jobs: Iterable[Job],
        exclusions: Mapping[Minion, Exclusion | None],
        queue_of: QueueLookup,
        now: float,
        unix_ms: int,
    ) -> list[OverdueStep]:
        """Return the overdue steps that have to be reported.

        :param jobs: jobs that have not ended, by id
        :param lasting_jobs: those with lasting steps
        :param exclusions: all minions, each with the reason why no run may start on it
        :param queue_of: returns the current queue configuration of a job
        :param unix_ms: wall-clock time in Unix ms, for the schedules of jobs
        """
        self._checked_at = now
        if len(self._idle_since) > MAX_IDLE_RATIO * len(jobs):
            # Runs of jobs that have ended since the newest check of idle jobs.
            self._idle_since = {key: at for key, at in self._idle_since.items() if key in jobs}
        pools = self._usable_pools(exclusions, now)
        is_any_calm = any(pool.is_calm for pool in pools.values())
        runs = self._observed_runs(exclusions, now, is_lasting_only=not is_any_calm)
        late_jobs = self._late_jobs(jobs, runs, now) if is_any_calm else []
        self._task_counts = Counter()
        self._longest_seconds = 0.0
        late_steps = [
            *self._late_lasting_steps(lasting_jobs, pools, runs, queue_of, now, unix_ms),
            *self._late_steps(late_jobs, pools, queue_of, now, unix_ms),
        ]
        overdue = []
        for late in late_steps:
            if not has_room(pools[late.service].minions, late.step, late.keys[0]):
                continue
            self._task_counts[late.step.kind] += len(late.keys)
            self._longest_seconds = max(self._longest_seconds, late.waited_seconds)
            overdue.append(late)
        return self._unreported(overdue, now)

    def _usable_pools(
        self, exclusions: Mapping[Minion, Exclusion | None], now: float
    ) -> dict[str, _Pool]:
        """Return the minions on which runs may start, by service."""
        pools: dict[str, _Pool] = {}
        for minion, exclusion in exclusions.items():
            if exclusion is None:
                service = minion.facts.service
                pool = pools.get(service)
                if pool is None:
                    pool = pools[service] = _Pool()
                pool.add(minion)
        earlier, self._calm_since = self._calm_since, {}
        for service, pool in pools.items():
            pool.is_calm = pool.used_cpu < MAX_USED_SHARE * pool.capacity_cpu
            if pool.is_calm:
                since = self._calm_since[service] = earlier.get(service, now)
                pool.calm_seconds = now - since
        return pools

    def _observed_runs(
        self, minions: Iterable[Minion], now: float, *, is_lasting_only: bool
    ) -> _Runs:
        """Return the runs that minions have confirmed or are about to start.

        :param is_lasting_only: whether minions without lasting tasks may be left out
        """
        runs = _Runs()
        for minion in minions:
            if is_lasting_only and not minion.lasting_images:
                continue
            is_current = minion.is_synced and now - minion.last_report_at < self._lease_seconds
            for key, run in minion.runs.items():
                state = run.state
                if state is RunState.PRESENT and is_current:
                    runs.jobs.add(key.job_id)
                elif (
                    state in (RunState.PLANNED, RunState.SENT)
                    and now - run.planned_at < START_ORDER_SECONDS
                ):
                    runs.starting_jobs.add(key.job_id)
                else:
                    continue
                if run.step.is_lasting:
                    step_id = (key.job_id, key.occurrence, key.step)
                    runs.lasting.setdefault(step_id, set()).add(key)
        return runs

    def _late_jobs(self, jobs: Mapping[str, Job], runs: _Runs, now: float) -> list[Job]:
        """Return the jobs that have had nothing running for their bound."""
        earlier, self._idle_since = self._idle_since, {}
        # An order that is on its way at two checks without a run in between has not started.
        newly_starting = runs.starting_jobs - self._starting_jobs
        self._starting_jobs = runs.starting_jobs
        late = []
        for job_id, job in jobs.items():
            if job_id in runs.jobs:
                continue
            since = self._idle_since[job_id] = earlier.get(job_id, now)
            if now - since >= START_BOUND_SECONDS and job_id not in newly_starting:
                late.append(job)
        return late

    def _late_steps(
        self,
        late_jobs: list[Job],
        pools: Mapping[str, _Pool],
        queue_of: QueueLookup,
        now: float,
        unix_ms: int,
    ) -> list[OverdueStep]:
        """Return steps of late jobs whose turn has come, in services that are not busy."""
        found: list[OverdueStep] = []
        job_count = 0
        for job in _rotated(late_jobs, self._job_position)[:MAX_CHECKED_JOBS]:
            if len(found) >= MAX_CHECKED_STEPS:
                break
            job_count += 1
            queue = queue_of(job)
            pool = pools.get(queue.service)
            if queue.needs_advice or pool is None or pool.calm_seconds < START_BOUND_SECONDS:
                continue
            idle_seconds = min(now - self._idle_since[job.job_id], pool.calm_seconds)
            for step, occurrence, index, due_seconds in _due_steps(job, unix_ms):
                if step.is_lasting or due_seconds < START_BOUND_SECONDS:
                    continue
                if not pool.may_have_room(step):
                    continue
                keys = _unfinished_tasks(job, step, occurrence, index)
                waited_seconds = min(idle_seconds, due_seconds)
                found.append(OverdueStep(job, step, queue.service, keys, waited_seconds))
        self._job_position += job_count
        return found[:MAX_CHECKED_STEPS]

    def _late_lasting_steps(
        self,
        lasting_jobs: Iterable[Job],
        pools: Mapping[str, _Pool],
        runs: _Runs,
        queue_of: QueueLookup,
        now: float,
        unix_ms: int,
    ) -> list[OverdueStep]:
        """Return steps with lasting tasks that have not run for their bound."""
        earlier, self._absent_since = self._absent_since, {}
        found: list[OverdueStep] = []
        for job in lasting_jobs:
            queue = queue_of(job)
            pool = pools.get(queue.service)
            if queue.needs_advice or pool is None:
                continue
            for step, occurrence, index, due_seconds in _due_steps(job, unix_ms):
                running = runs.lasting.get((job.job_id, occurrence, index), set())
                if not step.is_lasting or len(running) >= step.count:
                    continue
                late_keys = []
                longest_seconds = 0.0
                for key in _unfinished_tasks(job, step, occurrence, index):
                    if key in running:
                        continue
                    task = job.tasks.get(key)
                    since = task.idle_since if task is not None else None
                    if since is None:
                        since = self._absent_since[key] = earlier.get(key, now)
                    has_run = task is not None and task.run_id > 0
                    waited_seconds = min(now - since, due_seconds)
                    if waited_seconds >= bound_seconds(step, has_run=has_run):
                        late_keys.append(key)
                        longest_seconds = max(longest_seconds, waited_seconds)
                if late_keys and pool.may_have_room(step):
                    found.append(OverdueStep(job, step, queue.service, late_keys, longest_seconds))
        if len(found) > MAX_CHECKED_STEPS:
            found = _rotated(found, self._step_position)[:MAX_CHECKED_STEPS]
            self._step_position += MAX_CHECKED_STEPS
        return found

    def _unreported(self, overdue: Iterable[OverdueStep], now: float) -> list[OverdueStep]:
        """Return steps not reported within ``REPORT_INTERVAL_SECONDS``, the longest ago first."""
        unreported = []
        earlier, self._reported_at = self._reported_at, {}
        for step_id, at in earlier.items():
            if now - at < REPORT_INTERVAL_SECONDS:
                self._reported_at[step_id] = at
        for late in overdue:
            if late.step_id not in self._reported_at:
                at = earlier.get(late.step_id, float("-inf"))
                unreported.append((at, -late.waited_seconds, late.step_id, late))
        reported = [late for *_, late in sorted(unreported)[:MAX_REPORTED_STEPS]]
        for late in reported:
            self._reported_at[late.step_id] = now
        for at, _, step_id, _ in unreported:
            if at >= 0.0:
                self._reported_at.setdefault(step_id, at)
        return reported


def bound_seconds(step: Step, *, has_run: bool) -> float:
    """Return the time within which a task of a step starts, in seconds.

    :param has_run: whether the task has run before; then the time counts from its last run
    """
    if step.is_lasting and has_run:
        return LASTING_IDLE_SECONDS + START_BOUND_SECONDS
    return START_BOUND_SECONDS


def has_room(minions: Iterable[Minion], step: Step, key: TaskKey) -> bool:
    """Return whether minions have room for a task twice over; for a gang, for all its tasks.

    Fillers reserve no processors, so only memory and accelerators count for them.

    :param minions: minions on which runs may start
    :param key: any task of the step
    """
    needed = ROOM_FACTOR * (step.count if step.is_gang else 1)
    for minion in minions:
        if has_required_label(minion, step):
            needed -= _slot_count(minion, step, key, needed)
            if needed <= 0:
                return True
    return False


def _slot_count(minion: Minion, step: Step, key: TaskKey, most: int) -> int:
    """Return how many more tasks of a step fit on a minion, at most ``most``."""
    free, room = minion.free, step.reserved_resources
    if not free.is_enough_for(room):
        return 0
    count = most
    for amount, each in zip(free.as_list(), room.as_list(), strict=True):
        if each:
            count = min(count, amount // each)
    if step.anti_affinity:
        run_count = minion.run_count(key.job_id, key.occurrence, key.step)
        count = min(count, max(0, step.anti_affinity - run_count))
    return count


def explain(
    late: OverdueStep,
    queued: Collection[TaskKey],
    minions: Mapping[str, Minion],
    unlisted: Collection[str],
    exclusions: Mapping[Minion, Exclusion | None],
    refusal: Callable[[Minion], str],
) -> dict[str, object]:
    """Return why the tasks of an overdue step don't start, for the log.

    A minion counts for the first reason that keeps the tasks from starting there; ``fits`` counts
    those without any. A task that is neither queued nor assigned is lost from the queue.

    :param queued: keys of the tasks of the step that are queued for placement
    :param minions: minions by id
    :param unlisted: unlisted incarnations of which the end of the lease is awaited, each as
        ``minion_id@born_ms``
    :param exclusions: all minions, each with the reason why no run may start on it
    :param refusal: returns why placement does not start the tasks on a usable minion with room;
        empty when it does
    """
    step, first = late.step, late.keys[0]
    reasons: Counter[str] = Counter()
    for minion, exclusion in exclusions.items():
        if minion.facts.service == late.service:
            reason = misfit(minion, step, first) or exclusion or refusal(minion)
            reasons[reason or "fits"] += 1
    assigned: Counter[str] = Counter()
    for key in late.keys:
        task = late.job.tasks.get(key)
        if task is not None and task.is_assigned:
            assigned[_assignment_field(key, task.assignments[0], minions, unlisted)] += 1
    queued_count = sum(key in queued for key in late.keys)
    fields: dict[str, object] = {
        "task": str(first),
        "step": first.step,
        "kind": step.kind,
        "tasks": len(late.keys),
        "queued": queued_count,
        "assigned": sum(assigned.values()),
        **dict(sorted(assigned.items())),
        "waited_ms": round(1000 * late.waited_seconds),
        "cpu": step.room.cpu,
        "memory_mb": step.room.memory_mb,
        "gpu": step.room.gpu,
        "minions": sum(reasons.values()),
    }
    for reason, count in sorted(reasons.items()):
        fields[reason] = count
    return fields


def _assignment_field(
    key: TaskKey,
    assignment: Assignment,
    minions: Mapping[str, Minion],
    unlisted: Collection[str],
) -> str:
    """Return the field of the log line that counts tasks by the state of their runs.

    :param minions: minions by id
    :param unlisted: unlisted incarnations of which the end of the lease is awaited
    :returns: that of unlisted runs on one of those, of untracked ones on any other incarnation that
        is not known, of detached ones when the minion has no run of the task, otherwise that of
        the state of the run
    """
    minion = minions.get(assignment.minion_id)
    if minion is None or minion.facts.born_ms != assignment.born_ms:
        is_awaited = assignment.incarnation in unlisted
        return "assigned_unlisted" if is_awaited else "assigned_untracked"
    run = minion.runs.get(key)
    return "assigned_detached" if run is None else RUN_STATE_FIELDS[run.state]


def _due_steps(job: Job, unix_ms: int) -> Iterator[tuple[Step, int, int, float]]:
    """Yield the unfinished steps whose turn has come.

    :returns: step, its occurrence and index, and for how long its occurrence has been due, in
        seconds
    """
    submission = job.submission
    for occurrence in range(job.first_unfinished, submission.occurrence_count):
        due_ms = submission.due_ms(occurrence)
        if due_ms > unix_ms:
            return
        for index, step in enumerate(submission.steps):
            if not job.is_step_done(occurrence, index) and job.is_step_ready(occurrence, index):
                yield step, occurrence, index, (unix_ms - due_ms) / 1000.0


def _unfinished_tasks(job: Job, step: Step, occurrence: int, index: int) -> list[TaskKey]:
    """Return the keys of the tasks of a step that are not done."""
    keys = [TaskKey(job.job_id, occurrence, index, number) for number in range(step.count)]
    return [key for key in keys if not job.is_task_done(key)]


def _rotated(items: list[Item], position: int) -> list[Item]:
    """Return a list that begins at a position, which may be beyond its end, and wraps around.

    >>> _rotated([1, 2, 3], 4)
    [2, 3, 1]
    """
    begin = position % len(items) if items else 0
    return items[begin:] + items[:begin]
