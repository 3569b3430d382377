"""Order of waiting tasks and the choice of a minion for each."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from heapq import heapify, heappop, heapreplace

from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.model import (
    LATE_FACTOR,
    Job,
    Room,
    Step,
    Task,
    TaskKey,
    chain_seconds,
)
from dotterelhill.jobs.queues import Queue
from dotterelhill.jobs.sharing import Sharing

# A filler is placed only where it gets at least this share of the processors that it asks for.
LEAST_FILLER_SHARE = 0.75

# Headroom changes within some tenths of a second; with thousands of waiting fillers each attempt to
# place them costs milliseconds.
FILLER_RETRY_SECONDS = 0.1
FILLER_KIND = "filler"

# Room that short tasks needed at their peak is kept from lasting tasks, and halved in this time.
# A short task's processor second is worth several of a lasting task's.
RESERVE_HALF_LIFE_SECONDS = 15.0
# A lasting task waits for that for this time at the most; then the last place for one is kept.
RESERVE_PATIENCE_SECONDS = 2.2
# Short tasks make room for a lasting one that has waited for this time; the platform allows 6 s.
CLAIM_SECONDS = 5.0
# No more than this share of a lasting task's own size is kept on a minion.
LARGEST_RESERVE_SHARE = 0.9

QueueOf = Callable[[Job], Queue]
Place = tuple[int, int]


class Worth(IntEnum):
    """What finishing a job from now on is still worth to its client."""

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


@dataclass(slots=True)
class _Waiting:
    """Tasks of one job that could start, by occurrence and step.

    :param since: time from which some task of the place has waited
    """

    job: Job
    pending: dict[Place, list[TaskKey]] = field(default_factory=dict)
    since: dict[Place, float] = field(default_factory=dict)


class Placement:
    """Waiting tasks of all active jobs.

    :param sharing: estimates of interference between fillers and serving tasks
    """

    def __init__(self, sharing: Sharing) -> None:
        self._sharing = sharing
        self._waiting: dict[str, _Waiting] = {}
        self._short_peak_cpu = 0.0
        self._short_peak_at = 0.0
        self._refused: dict[str, list[Room]] = {}
        self._refused_at = float("-inf")
        self._claims: dict[Minion, int] = {}
        self._claimed: dict[TaskKey, Minion] = {}

    @property
    def waiting_tasks(self) -> int:
        """Return the number of tasks that could start."""
        count = 0
        for waiting in self._waiting.values():
            count += sum(len(keys) for keys in waiting.pending.values())
        return count

    def add_job(self, job: Job) -> None:
        """Take over the tasks of a job whose turn has come."""
        waiting = self._waiting[job.job_id] = _Waiting(job)
        for occurrence in range(job.submission.occurrences):
            for step in range(len(job.submission.steps)):
                self._open_step(waiting, occurrence, step)

    def remove_job(self, job: Job) -> None:
        """Drop a job that has ended."""
        self._waiting.pop(job.job_id, None)

    def requeue(self, job: Job, task: Task) -> None:
        """Let a task wait for another run."""
        waiting = self._waiting.get(job.job_id)
        if waiting is None or task.is_done:
            return
        keys = waiting.pending.setdefault((task.key.occurrence, task.key.step), [])
        if task.key not in keys:
            keys.append(task.key)

    def step_progressed(self, job: Job, key: TaskKey) -> None:
        """Take over the steps that waited for the step of ``key``, if that is done now."""
        waiting = self._waiting.get(job.job_id)
        if waiting is None or not job.is_step_done(key.occurrence, key.step):
            return
        waiting.pending.pop((key.occurrence, key.step), None)
        for step, later in enumerate(job.submission.steps):
            if key.step in later.after:
                self._open_step(waiting, key.occurrence, step)

    def _open_step(self, waiting: _Waiting, occurrence: int, step: int) -> None:
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

    def choose(
        self, minions: Sequence[Minion], queue_of: QueueOf, now: float, unix_ms: int
    ) -> Iterator[tuple[Job, TaskKey, Minion]]:
        """Yield starts in order of worth; the caller reserves room before it asks for the next.

        :param minions: minions on which something may start
        :param unix_ms: time of day, for jobs with set times
        """
        by_service: dict[str, list[Minion]] = {}
        for minion in minions:
            by_service.setdefault(minion.facts.service, []).append(minion)
        ranked = []
        for waiting in self._waiting.values():
            if waiting.pending:
                queue = queue_of(waiting.job)
                ranked.append((_rank(waiting.job, queue, unix_ms), queue, waiting))
        ranked.sort(key=lambda entry: entry[0])
        self._track_short_peak(minions, now)
        refused = self._recently_refused(now)
        self._claim_room(ranked, by_service, now)
        for _, queue, waiting in ranked:
            pool = by_service.get(queue.service, [])
            if not pool or queue.needs_advice:
                continue
            yield from self._choose_for(waiting, pool, now, unix_ms, refused)

    def _recently_refused(self, now: float) -> dict[str, list[Room]]:
        """Return needs of fillers that found no place just before; others are tried each round."""
        if now - self._refused_at > FILLER_RETRY_SECONDS:
            self._refused = {}
            self._refused_at = now
            return self._refused
        for kind in [kind for kind in self._refused if not kind.startswith(FILLER_KIND)]:
            del self._refused[kind]
        return self._refused

    def _track_short_peak(self, minions: Sequence[Minion], now: float) -> None:
        """Note the processors that short tasks use or wait for."""
        cpu = float(sum(minion.short_cpu for minion in minions))
        for waiting in self._waiting.values():
            for (_, index), keys in waiting.pending.items():
                step = waiting.job.submission.steps[index]
                if not step.is_lasting:
                    cpu += len(keys) * step.reserved.cpu
        decay = 0.5 ** ((now - self._short_peak_at) / RESERVE_HALF_LIFE_SECONDS)
        self._short_peak_cpu = max(cpu, self._short_peak_cpu * decay)
        self._short_peak_at = now

    def _claim_room(
        self,
        ranked: Sequence[tuple[object, Queue, _Waiting]],
        by_service: Mapping[str, Sequence[Minion]],
        now: float,
    ) -> None:
        """Choose minions on which short tasks make room for lasting ones that have waited long.

        Short tasks that follow each other would keep the processors of a lasting task apart for
        good.
        """
        earlier, self._claimed = self._claimed, {}
        self._claims = {}
        for _, queue, waiting in ranked:
            for place, keys in waiting.pending.items():
                step = waiting.job.submission.steps[place[1]]
                waited = now - waiting.since.get(place, now)
                if not step.is_lasting or waited < CLAIM_SECONDS:
                    continue
                pool = by_service.get(queue.service, [])
                for key in keys:
                    minion = self._minion_to_claim(key, step, pool, earlier.get(key))
                    if minion is None:
                        break
                    self._claimed[key] = minion
                    self._claims[minion] = self._claims.get(minion, 0) + step.room.cpu

    def _minion_to_claim(
        self, key: TaskKey, step: Step, pool: Sequence[Minion], earlier: Minion | None
    ) -> Minion | None:
        """Return the minion that lacks least for a lasting task once short tasks have ended.

        :param earlier: minion claimed in the round before, which stays claimed if it can
        """
        best: Minion | None = None
        best_missing = 0
        for minion in pool:
            claimed = self._claims.get(minion, 0)
            room = minion.facts.capacity.cpu - minion.lasting_cpu - claimed
            memory = minion.facts.capacity.memory_mb - minion.used.memory_mb
            if room < step.room.cpu or memory < step.room.memory_mb:
                continue
            if not _is_allowed(minion, step):
                continue
            count = minion.count_on(key.job_id, key.occurrence, key.step)
            if step.anti_affinity and count >= step.anti_affinity:
                continue
            if minion is earlier:
                return minion
            missing = step.room.cpu + claimed - minion.free_cpu
            if best is None or missing < best_missing:
                best, best_missing = minion, missing
        return best

    def _choose_for(
        self,
        waiting: _Waiting,
        pool: Sequence[Minion],
        now: float,
        unix_ms: int,
        refused: dict[str, list[Room]],
    ) -> Iterator[tuple[Job, TaskKey, Minion]]:
        job = waiting.job
        for place, keys in list(waiting.pending.items()):
            occurrence, index = place
            if unix_ms < job.submission.due_ms(occurrence):
                continue
            step = job.submission.steps[index]
            since = waiting.since.setdefault(place, now)
            if step.is_gang:
                yield from self._choose_gang(job, step, keys, pool, now)
            else:
                yield from self._choose_tasks(job, step, keys, pool, now, since, refused)
            if not keys:
                waiting.pending.pop(place, None)
                waiting.since.pop(place, None)

    def _choose_tasks(
        self,
        job: Job,
        step: Step,
        keys: list[TaskKey],
        pool: Sequence[Minion],
        now: float,
        since: float,
        refused: dict[str, list[Room]],
    ) -> Iterator[tuple[Job, TaskKey, Minion]]:
        """Yield starts for tasks of one step until one finds no place.

        :param refused: needs that found no place in this round, by kind; greater ones find none
        """
        kind = _kind_of(step)
        for room in refused.get(kind, []):
            if step.room.has(room):
                return
        reserve = self._reserve(step, pool, now - since)
        place = (keys[0].occurrence, keys[0].step)
        heap: list[tuple[tuple[float, ...], int]] = []
        for number, minion in enumerate(pool):
            cost = self._start_cost(job, step, place, minion, now, reserve)
            if cost is not None:
                heap.append((cost, number))
        heapify(heap)
        while keys and heap:
            is_kept = step.is_lasting and self._short_peak_cpu and now - since < CLAIM_SECONDS
            if is_kept and self._is_last_place(step, pool):
                return
            minion = pool[heap[0][1]]
            if keys[0] in minion.runs:
                heappop(heap)
                continue
            yield job, keys.pop(0), minion
            # The start changes the cost on its minion only.
            cost = self._start_cost(job, step, place, minion, now, reserve)
            if cost is None:
                heappop(heap)
            else:
                heapreplace(heap, (cost, heap[0][1]))
        # A limit of this step alone, or of a task that has just come, says nothing of others.
        is_limited = step.anti_affinity or step.required_label or step.data_rack or reserve
        if keys and not is_limited:
            refused.setdefault(kind, []).append(step.room)

    def _reserve(self, step: Step, pool: Sequence[Minion], waited: float) -> float:
        """Return the thousandths of a processor that a lasting task has to leave on a minion."""
        if not step.is_lasting or waited >= RESERVE_PATIENCE_SECONDS:
            return 0.0
        kept = self._short_peak_cpu / len(pool)
        return min(kept, LARGEST_RESERVE_SHARE * step.room.cpu)

    def _is_last_place(self, step: Step, pool: Sequence[Minion]) -> bool:
        """Return whether fewer than two tasks of a step would find room."""
        places = 0
        for minion in pool:
            if _is_allowed(minion, step) and minion.has_room_for(step):
                places += minion.free_cpu // max(1, step.room.cpu)
                if places >= 2:
                    return False
        return True

    def _choose_gang(
        self, job: Job, step: Step, keys: list[TaskKey], pool: Sequence[Minion], now: float
    ) -> Iterator[tuple[Job, TaskKey, Minion]]:
        """Yield starts for all members of a gang, or none: members work only together."""
        if len(keys) < step.count:
            return
        free = {id(minion): minion.free for minion in pool}
        chosen: list[tuple[TaskKey, Minion]] = []
        for key in keys:
            for minion in pool:
                if not _is_allowed(minion, step) or not free[id(minion)].has(step.reserved):
                    continue
                free[id(minion)] = free[id(minion)].minus(step.reserved)
                chosen.append((key, minion))
                break
            else:
                return
        # Members share the number of their run.
        newest = max(job.task(key).run_id for key in keys)
        for key in keys:
            job.task(key).run_id = newest
        keys.clear()
        for key, minion in chosen:
            yield job, key, minion

    def _start_cost(
        self, job: Job, step: Step, place: Place, minion: Minion, now: float, reserve: float
    ) -> tuple[float, ...] | None:
        """Return what a start there costs, lower is better; None when it must not be."""
        if not minion.has_room_for(step) or not _is_allowed(minion, step):
            return None
        if step.anti_affinity and minion.count_on(job.job_id, *place) >= step.anti_affinity:
            return None
        is_short = not step.is_lasting and not step.is_filler
        if is_short and minion.free_cpu - self._claims.get(minion, 0) < step.room.cpu:
            return None
        if reserve and minion.free_cpu - step.room.cpu < reserve:
            return None
        return self._cost(step, minion, now)

    def _cost(self, step: Step, minion: Minion, now: float) -> tuple[float, ...] | None:
        """Return what a start costs that fits; None when it would harm."""
        distance = 1.0 if step.data_rack and step.data_rack != minion.facts.rack else 0.0
        if step.is_filler:
            idle = self._sharing.idle_cpu(minion)
            if idle < LEAST_FILLER_SHARE * step.room.cpu:
                return None
            harm = self._sharing.harm_of(minion, step, now)
            if harm is None:
                return None
            return (distance, harm, -idle)
        if step.is_lasting:
            # Serving tasks of one image share minions, so that more fillers harm none of them, and
            # leave others without any.
            image_mismatch = self._sharing.image_mismatch(minion, step)
            return (distance, image_mismatch, self._sharing.harm_for(minion, step), minion.free_cpu)
        # Other tasks neither disturb nor suffer; they leave minions without serving tasks free.
        return (distance, 0.0 if self._sharing.has_serving(minion) else 1.0, minion.free_cpu)


def _kind_of(step: Step) -> str:
    """Return what steps have in common that find the same places by their size alone."""
    if step.is_filler:
        return f"{FILLER_KIND} {step.image}"
    return f"lasting {step.image}" if step.is_lasting else "short"


def _is_allowed(minion: Minion, step: Step) -> bool:
    return not step.required_label or step.required_label in minion.facts.labels


def _rank(job: Job, queue: Queue, unix_ms: int) -> tuple[int, int, float]:
    """Return the place of a job in the order: priority, worth, time by which it has to end."""
    age_seconds = (unix_ms - job.submission.accepted_ms) / 1000.0
    steps = job.submission.steps
    objective = queue.stretch * chain_seconds(steps) + queue.target_seconds
    left = _remaining_seconds(job)
    worth = Worth.IN_TIME
    if age_seconds + left > LATE_FACTOR * objective:
        worth = Worth.TOO_LATE
    elif age_seconds + left > objective:
        worth = Worth.LATE
    return (queue.priority, worth, objective - age_seconds - left)


def _remaining_seconds(job: Job) -> float:
    """Return the estimate of the longest chain of steps that are not done."""
    ends: list[float] = []
    for number, step in enumerate(job.submission.steps):
        start = max((ends[index] for index in step.after), default=0.0)
        is_left = not job.is_step_done(0, number)
        ends.append(start + (step.estimate_seconds if is_left else 0.0))
    return max(ends, default=0.0)
