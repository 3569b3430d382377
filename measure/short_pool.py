"""Short tasks beside lasting tasks that ask for more than the fleet.

Run it with ``python -m measure.short_pool``. Minions of 32 processors and 125 GB are filled by
lasting jobs of 24 tasks of 3.2 to 9.6 processors, which ask for 110 % of them, before short jobs of
1 to 3 steps of 1 to 18 tasks of 10 processors and 1 s begin to arrive for 34 s.

Assumptions of the simulation: a start takes 0.2 s from its plan, a stopped run ends after 0.9 s.
A lasting task waits beside room for two if that much is free of runs, from 6 s after its last run.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from dataclasses import dataclass, replace
from random import Random

from dotterelhill.jobs.changes import SchedulerSettings
from dotterelhill.jobs.fleet import MinionFacts
from dotterelhill.jobs.model import Step, Submission, TaskKey
from dotterelhill.jobs.orders import StartOrder, StopOrder
from dotterelhill.jobs.placement.room_waits import slots_in
from dotterelhill.jobs.queues import Queue
from dotterelhill.jobs.resources import ResourceVector
from measure.report import Figure, figure_without_target, print_figures
from measure.simulation import START, FleetSimulation, RecordedJob

MINION_ROOM = ResourceVector(32000, 125000)
LASTING_TASKS = 24
LASTING_CPU = (3200, 9600)
LASTING_MEMORY_MB = (7000, 19000)
# Lasting jobs are cancelled after this time on average, and others take their places.
STAY_SECONDS = 70.0
SHORT_ROOM = ResourceVector(10000, 20000)
LASTING_SHARE = 1.1
FILLED_SECONDS = 4.0
SHORT_FROM_SECONDS = 12.0
SHORT_SECONDS = 34.0
END_SECONDS = 52.0
SHORT_JOBS_A_SECOND = 5.5
# Number of minions to which that rate belongs.
FULL_SIZE = 446
START_SECONDS = 0.2
STOP_SECONDS = 0.9
AWAY_SECONDS = 6.0
SETTINGS = SchedulerSettings()
QUEUES = (
    Queue("watch", "h", "/watch/", "pool", 0, 3, 1.5, 0.5),
    Queue("assign", "h", "/assign/", "pool", 0, 3, 1.5, 0.5),
)


@dataclass(slots=True)
class Outcome:
    """Results of one simulation.

    :param in_time: short jobs that ended within their objective
    :param late: those that ended within three times that
    :param lasting_share: lasting work as a share of the fleet, while short jobs arrived
    :param longest_room_wait: longest time in seconds of a wait beside room for two
    """

    jobs: int = 0
    in_time: int = 0
    late: int = 0
    lasting_share: float = 0.0
    longest_room_wait: float = 0.0


class ShortPoolSimulation(FleetSimulation):
    """Fleet full of lasting tasks, with short jobs."""

    def __init__(self, load: list[RecordedJob], minions: int) -> None:
        super().__init__(load, SETTINGS, QUEUES, minions, MINION_ROOM.cpu)
        self.outcome = Outcome(sum(job.submission.queue.name == "assign" for job in load))
        self._delayed: list[tuple[float, StartOrder | StopOrder]] = []
        self._lasting = [job for job in load if job.submission.queue.name == "watch"]
        self._cancelled: set[str] = set()
        self._last_run_at: dict[TaskKey, float] = {}
        self._room_since: float | None = None
        self._samples: list[float] = []

    def facts_of(self, number: int) -> MinionFacts:
        """Return a minion of the size of the measurement."""
        return replace(super().facts_of(number), capacity=MINION_ROOM)

    def run_seconds(self, order: StartOrder, usual_seconds: float) -> float:
        """Return the usual duration."""
        return 1e6 if order.run.step.is_lasting else usual_seconds

    def record_completion(self, job: RecordedJob) -> None:
        """Count a short job that was completed."""
        seconds = self.now - START - job.arrives_at
        self.outcome.in_time += seconds <= job.allowed_seconds
        self.outcome.late += job.allowed_seconds < seconds <= 3.0 * job.allowed_seconds

    def is_over(self) -> bool:
        """Return whether the time is over."""
        return self.now >= START + END_SECONDS

    def disturb(self) -> None:
        """Carry out the orders that are due, and judge the state."""
        due = [order for at, order in self._delayed if at <= self.now + 1e-6]
        self._delayed = [one for one in self._delayed if one[0] > self.now + 1e-6]
        for order in due:
            match order:
                case StartOrder():
                    super()._start(order)
                case StopOrder():
                    super()._stop(order)
        for job in self._lasting:
            job_id = job.submission.job_id
            is_over = START + job.arrives_at + job.usual_seconds[0] <= self.now
            if is_over and job_id not in self._cancelled:
                self._cancelled.add(job_id)
                self.scheduler.cancel(job_id, self.now)
        self._judge()

    def _start(self, order: StartOrder) -> None:
        self._delayed.append((self.now + START_SECONDS, order))

    def _stop(self, order: StopOrder) -> None:
        self._delayed.append((self.now + STOP_SECONDS, order))

    def _judge(self) -> None:
        """Track how long an overdue lasting task waits beside room for two, and the work done."""
        cpu = 0
        running = set()
        rooms = []
        for runs in self._runs.values():
            free = MINION_ROOM
            for key, run in runs.items():
                if run.ends_at is not None and run.ends_at <= self.now:
                    continue
                free = free.minus(run.step.room)
                if run.step.is_lasting:
                    running.add(key)
                    cpu += run.step.room.cpu
            rooms.append(free)
        if not self._has_room_beside_wait(running, rooms):
            self._room_since = None
        elif self._room_since is None:
            self._room_since = self.now
        else:
            wait = self.now - self._room_since
            self.outcome.longest_room_wait = max(self.outcome.longest_room_wait, wait)
        if SHORT_FROM_SECONDS <= self.now - START <= SHORT_FROM_SECONDS + SHORT_SECONDS:
            self._samples.append(cpu / (MINION_ROOM.cpu * len(self._runs)))
            self.outcome.lasting_share = sum(self._samples) / len(self._samples)

    def _has_room_beside_wait(self, running: set[TaskKey], rooms: list[ResourceVector]) -> bool:
        """Return whether there is room for two where a task has not run for ``AWAY_SECONDS``."""
        has_room = False
        for job in self._lasting:
            job_id, accepted_at = job.submission.job_id, START + job.arrives_at
            if accepted_at > self.now or job_id in self._cancelled:
                continue
            is_waiting = False
            for index in range(LASTING_TASKS):
                key = TaskKey(job_id, 0, 0, index)
                if key in running:
                    self._last_run_at[key] = self.now
                elif self.now - self._last_run_at.get(key, accepted_at) >= AWAY_SECONDS:
                    is_waiting = True
            if is_waiting and not has_room:
                room = job.submission.steps[0].room
                has_room = sum(slots_in(free, room) for free in rooms) >= 2
        return has_room


def record_load(seed: int, minions: int) -> list[RecordedJob]:
    """Return the lasting jobs, and the short jobs after them."""
    rng = Random(seed)
    load: list[RecordedJob] = []
    load += _lasting_jobs(rng, minions)
    at, number = SHORT_FROM_SECONDS, 0
    rate = SHORT_JOBS_A_SECOND * minions / FULL_SIZE
    while True:
        at += rng.expovariate(rate)
        if at >= SHORT_FROM_SECONDS + SHORT_SECONDS:
            return sorted(load, key=lambda job: job.arrives_at)
        number += 1
        step_count = rng.choice((1, 1, 1, 1, 2, 2, 3))
        steps = []
        for index in range(step_count):
            after = (index - 1,) if index else ()
            steps.append(Step(rng.randint(1, 18), SHORT_ROOM, 1.0, after))
        seconds = tuple(rng.uniform(0.8, 1.2) for _ in steps)
        load.append(_job(f"s{number}", 1, at, tuple(steps), seconds))


def _lasting_jobs(rng: Random, minions: int) -> Iterator[RecordedJob]:
    """Yield lasting jobs that ask for ``LASTING_SHARE`` of the fleet at any time."""
    mean_cpu = LASTING_TASKS * sum(LASTING_CPU) / 2
    count = int(LASTING_SHARE * minions * MINION_ROOM.cpu / mean_cpu)
    for place in range(count):
        at, number = FILLED_SECONDS * place / count, 0
        while at < END_SECONDS:
            room = ResourceVector(rng.randint(*LASTING_CPU), rng.randint(*LASTING_MEMORY_MB))
            step = Step(LASTING_TASKS, room, 1.0, is_lasting=True, image="watch")
            stay_seconds = rng.expovariate(1.0 / STAY_SECONDS)
            yield _job(f"l{place}-{number}", 0, at, (step,), (stay_seconds,))
            at, number = at + stay_seconds, number + 1


def _job(
    job_id: str, queue: int, arrives_at: float, steps: tuple[Step, ...], seconds: tuple[float, ...]
) -> RecordedJob:
    accepted_ms = int(1000 * (START + arrives_at))
    submission = Submission(job_id, QUEUES[queue], accepted_ms, "spec", steps)
    return RecordedJob(arrives_at, submission, seconds)


def figures(sizes: tuple[int, ...] = (FULL_SIZE,), seed: int = 1) -> Iterator[Figure]:
    """Yield the figures for each number of minions."""
    for minions in sizes:
        simulation = ShortPoolSimulation(record_load(seed, minions), minions)
        simulation.simulate()
        outcome, name = simulation.outcome, f"{minions} minions, "
        stops = simulation.work.decisions.get("lasting runs stopped for short tasks", 0)
        yield figure_without_target(name + "short jobs", "jobs", outcome.jobs)
        yield figure_without_target(name + "in time", "jobs", outcome.in_time)
        yield figure_without_target(name + "late", "jobs", outcome.late)
        share = 100.0 * outcome.lasting_share
        yield figure_without_target(name + "lasting work, of the fleet", "%", share)
        wait = outcome.longest_room_wait
        yield figure_without_target(name + "longest wait beside room for two", "s", wait)
        yield figure_without_target(name + "minions emptied", "times", stops)


if __name__ == "__main__":
    print_figures(figures(tuple(int(size) for size in sys.argv[1:]) or (FULL_SIZE,)))
