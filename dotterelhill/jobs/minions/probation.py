"""Choice of the few runs that minions on probation get."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence

from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.minions.standing import MinionStanding
from dotterelhill.jobs.model import Job, Step, TaskKey
from dotterelhill.jobs.placement.waiting import (
    OccurrenceStep,
    RankedJob,
    WaitingJob,
    has_required_label,
)
from dotterelhill.jobs.queues import Queue

# Jobs that are looked at in one round for each service, so that a long queue of jobs that may not
# run on probation does not slow the round down.
MAX_JOBS_TRIED = 100
# A job that has waited for this time may use minions on probation as any others, if less than half
# of its service is in use: nobody understands that it waits beside free capacity.
MAX_WAIT_SECONDS = 1.5
MAX_USED_SHARE = 0.5

Start = tuple[Job, TaskKey, Minion]
OpenTasks = Callable[[Job, list[TaskKey]], list[TaskKey]]
# Starts one task on each minion of the list, and removes tasks and minions from both lists.
TaskStarts = Callable[[Job, Step, list[TaskKey], list[Minion]], Iterator[Start]]
GangStarts = Callable[[Job, Step, list[TaskKey], Sequence[Minion]], Iterator[Start]]


def choose_probation_starts(
    ranked: Sequence[RankedJob],
    on_probation: Mapping[str, Sequence[tuple[Minion, MinionStanding]]],
    open_tasks: OpenTasks,
    start_tasks: TaskStarts,
    now: float,
    unix_ms: int,
) -> Iterator[Start]:
    """Yield starts on minions on probation, of the least urgent tasks that found no other minion.

    :param ranked: jobs in the order of their urgency
    :param on_probation: usable minions on probation by service
    :param open_tasks: returns those of a step's waiting tasks that may start now
    :param start_tasks: yields starts of a step's tasks, one on each minion given
    """
    rooms: dict[str, list[tuple[Minion, int]]] = {}
    for service, members in on_probation.items():
        for minion, standing in members:
            room = standing.allowance(now) - _runs_since(minion, standing.probation_since)
            if room > 0:
                rooms.setdefault(service, []).append((minion, room))
    tried = dict.fromkeys(rooms, 0)
    for _, queue, waiting in reversed(ranked):
        if not rooms:
            return
        service = queue.service
        if service not in rooms or queue.needs_advice or not waiting.pending:
            continue
        yield from _choose_job_starts(
            waiting, queue, rooms[service], open_tasks, start_tasks, unix_ms
        )
        tried[service] += 1
        if not rooms[service] or tried[service] >= MAX_JOBS_TRIED:
            del rooms[service]


def choose_overdue_starts(
    ranked: Sequence[RankedJob],
    pools: Mapping[str, Sequence[Minion]],
    on_probation: Mapping[str, Sequence[tuple[Minion, MinionStanding]]],
    open_tasks: OpenTasks,
    start_tasks: TaskStarts,
    start_gang: GangStarts,
    unix_ms: int,
) -> Iterator[Start]:
    """Yield starts of jobs that wait for long although most of their service is idle.

    :param ranked: jobs in the order of their urgency
    :param pools: all usable minions of each service with minions on probation
    :param on_probation: those of them that are on probation
    :param open_tasks: returns those of a step's waiting tasks that may start now
    :param start_tasks: yields starts of a step's tasks, one on each minion given
    :param start_gang: yields the starts of all tasks of a gang, or none
    """
    idle_pools = {name: pool for name, pool in pools.items() if _is_mostly_idle(pool)}
    if not idle_pools:
        return
    for _, queue, waiting in ranked:
        age_seconds = (unix_ms - waiting.job.submission.accepted_ms) / 1000.0
        if age_seconds < MAX_WAIT_SECONDS or queue.needs_advice or not waiting.pending:
            continue
        pool = idle_pools.get(queue.service)
        if pool is None:
            continue
        job = waiting.job
        for occurrence_step, step, keys in _due_steps(waiting, unix_ms):
            allowed = list(open_tasks(job, keys))
            if not allowed:
                continue
            offered = set(allowed)
            if step.is_gang:
                yield from start_gang(job, step, allowed, pool)
            else:
                for minion, _ in on_probation[queue.service]:
                    if allowed:
                        yield from start_tasks(job, step, allowed, [minion] * len(allowed))
            _remove_started(waiting, occurrence_step, offered.difference(allowed))


def _choose_job_starts(
    waiting: WaitingJob,
    queue: Queue,
    rooms: list[tuple[Minion, int]],
    open_tasks: OpenTasks,
    start_tasks: TaskStarts,
    unix_ms: int,
) -> Iterator[Start]:
    """Yield starts of one job's tasks that have attempts left, and update the rooms."""
    job = waiting.job
    for occurrence_step, step, keys in _due_steps(waiting, unix_ms):
        if step.is_gang or step.is_lasting:
            continue
        for number in reversed(range(len(rooms))):
            minion, room = rooms[number]
            if not keys:
                break
            if not minion.has_room_for(step) or not has_required_label(minion, step):
                continue
            allowed = _with_attempts_left(job, open_tasks(job, keys), queue)[:room]
            if not allowed:
                break
            offered = set(allowed)
            yield from start_tasks(job, step, allowed, [minion] * len(allowed))
            started = offered.difference(allowed)
            _remove_started(waiting, occurrence_step, started)
            rooms[number] = (minion, room - len(started))
            if room <= len(started):
                del rooms[number]


def _due_steps(
    waiting: WaitingJob, unix_ms: int
) -> Iterator[tuple[OccurrenceStep, Step, list[TaskKey]]]:
    """Yield the steps of a job of which tasks wait that are due."""
    submission = waiting.job.submission
    for occurrence_step, keys in list(waiting.pending.items()):
        if keys and unix_ms >= submission.due_ms(occurrence_step[0]):
            yield occurrence_step, submission.steps[occurrence_step[1]], keys


def _remove_started(
    waiting: WaitingJob, occurrence_step: OccurrenceStep, started: set[TaskKey]
) -> None:
    """Remove tasks that were started from those that wait."""
    if not started:
        return
    keys = waiting.pending[occurrence_step]
    keys[:] = [key for key in keys if key not in started]
    if not keys:
        del waiting.pending[occurrence_step]


def _with_attempts_left(job: Job, keys: Sequence[TaskKey], queue: Queue) -> list[TaskKey]:
    """Return the tasks that may fail once more, and have not been started again for their time."""
    chosen = []
    for key in keys:
        task = job.tasks.get(key)
        failures = task.failures if task is not None else 0
        if failures + 1 < queue.max_attempts and not (task is not None and task.is_restarted):
            chosen.append(key)
    return chosen


def _runs_since(minion: Minion, since: float) -> int:
    """Return the number of runs on a minion that were planned after a time, lasting ones aside."""
    return sum(run.planned_at >= since and not run.step.is_lasting for run in minion.runs.values())


def _is_mostly_idle(pool: Sequence[Minion]) -> bool:
    """Return whether less than half of the processors and of the memory are reserved."""
    cpu = sum(minion.facts.capacity.cpu for minion in pool)
    memory_mb = sum(minion.facts.capacity.memory_mb for minion in pool)
    used_cpu = sum(minion.used.cpu for minion in pool)
    used_memory_mb = sum(minion.used.memory_mb for minion in pool)
    return used_cpu < MAX_USED_SHARE * cpu and used_memory_mb < MAX_USED_SHARE * memory_mb
