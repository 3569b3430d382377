"""Load of a fleet that drains: nearly idle minions and thousands of fillers that are too late."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

from dotterelhill.jobs.changes import SchedulerSettings
from dotterelhill.jobs.fleet import EndKind, EndReport, MinionFacts, MinionReport, RunReport
from dotterelhill.jobs.model import Step, Submission, TaskKey
from dotterelhill.jobs.orders import StartOutcome, StopOrder
from dotterelhill.jobs.queues import FleetConfig, Queue
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.scheduler import Scheduler

SEED = 20263
ROUND_SECONDS = 0.2
RUN_SECONDS = (0.2, 1.2)
# All jobs are too late by then, and the newest of them is older than ``DRAIN_AFTER_SECONDS``.
AGE_SECONDS = 60.0
UNIX_START_MS = 1_700_000_000_000
CAPACITY = ResourceVector(16_000, 64_000)
FILLER_CPUS = (4000, 8000, 12_000)
IMAGES = ("print", "scan", "index")
MINIONS_OF_A_SERVING_TASK = 8
SHORT_JOBS_SHARE = 0.1
TAIL_MS = (10.0, 40.0)


@dataclass(slots=True)
class _ActiveRun:
    """A run on a minion, and the loop time at which it is stopped, so that its task waits again."""

    run_id: int
    ends_at: float
    is_lasting: bool


class DrainingFleet:
    """Scheduler with minions that carry out every order, and tasks that wait again after each run.

    :param minions: number of minions
    :param tasks: number of waiting fillers
    :param jobs: number of their jobs
    :param max_starts: number of starts that a round may plan
    """

    def __init__(self, minions: int, tasks: int, jobs: int, max_starts: int) -> None:
        self._random = random.Random(SEED)
        self._now = 1000.0
        self._max_starts = max_starts
        self._scheduler = Scheduler(SchedulerSettings(), self._now)
        self._queues = [Queue(f"q{n}", "h", f"/{n}/", "pool", priority=n) for n in range(3)]
        self._scheduler.configure(FleetConfig(1, {queue.name: queue for queue in self._queues}))
        self._running: dict[str, dict[TaskKey, _ActiveRun]] = {}
        self._end_numbers: dict[str, int] = {}
        self._submitted = 0
        for number in range(minions):
            facts = MinionFacts(
                f"m{number}", 1, "pool", f"m{number}:1", f"d{number % 4}", ("a", "r"), CAPACITY
            )
            self._scheduler.update_minion(facts, self._now)
            self._running[facts.minion_id] = {}
        self._submit_jobs(minions, tasks, jobs)
        self._now += AGE_SECONDS

    @property
    def scheduler(self) -> Scheduler:
        """Return the scheduler."""
        return self._scheduler

    def run_round(self) -> float:
        """End runs, report all minions, and return the processor seconds of the planning."""
        self._now += ROUND_SECONDS
        self._report()
        unix_ms = UNIX_START_MS + int(1000 * self._now)
        began = time.process_time()
        self._scheduler.plan(self._now, unix_ms, self._max_starts)
        seconds = time.process_time() - began
        self._scheduler.take_decisions()
        for order in self._scheduler.take_orders():
            if isinstance(order, StopOrder):
                run = self._running[order.minion.minion_id].get(order.key)
                if run is not None:
                    run.ends_at = self._now
        for start in self._scheduler.commit(self._scheduler.take_changes(), self._now):
            self._start(start.run.minion_id, start.run.key, start.run.run_id, start.run.step)
            self._scheduler.start_answered(start.run, StartOutcome.STARTED, self._now, self._now, 0)
        return seconds

    def _start(self, minion_id: str, key: TaskKey, run_id: int, step: Step) -> None:
        seconds = float("inf") if step.is_lasting else self._random.uniform(*RUN_SECONDS)
        self._running[minion_id][key] = _ActiveRun(run_id, self._now + seconds, step.is_lasting)

    def _submit_jobs(self, minions: int, tasks: int, jobs: int) -> None:
        """Submit lasting tasks, fillers of the lowest priority, and some short tasks."""
        choose = self._random
        lasting = Step(
            max(1, minions // MINIONS_OF_A_SERVING_TASK), ResourceVector(6000, 4000), 1.0,
            is_lasting=True, image="web", target_tail_ms=50,
        )  # fmt: skip
        self._submit(self._queues[0], lasting)
        for number in range(jobs):
            count = tasks * (number + 1) // jobs - tasks * number // jobs
            filler = Step(
                count, ResourceVector(choose.choice(FILLER_CPUS), choose.choice((2000, 8000))),
                choose.uniform(0.5, 3.0), is_filler=True, is_checkpointing=number % 2 == 0,
                image=choose.choice(IMAGES),
            )  # fmt: skip
            self._submit(self._queues[2], filler)
        for _ in range(int(SHORT_JOBS_SHARE * jobs)):
            room = ResourceVector(choose.choice((2000, 10_000)), 1000)
            self._submit(self._queues[1], Step(4, room, choose.uniform(0.3, 2.0)))

    def _submit(self, queue: Queue, step: Step) -> None:
        number, self._submitted = self._submitted, self._submitted + 1
        accepted_ms = UNIX_START_MS + int(1000 * self._now)
        self._scheduler.submit(Submission(f"j{number}", queue, accepted_ms, "", (step,)), self._now)

    def _report(self) -> None:
        """Report all minions, with the runs whose time is over as stopped."""
        for name, minion in self._scheduler.minions.items():
            runs, ends, rows = self._running[name], [], []
            for key, run in list(runs.items()):
                if run.ends_at <= self._now:
                    del runs[key]
                    number = self._end_numbers[name] = self._end_numbers.get(name, 0) + 1
                    ends.append(EndReport(number, key, run.run_id, EndKind.STOPPED, ""))
                    continue
                measure = self._random.uniform(*TAIL_MS) if run.is_lasting else None
                rows.append(RunReport(key, run.run_id, "", 100, measure))
            minion.extend_lease(self._now, 6.0)
            report = MinionReport(1, int(1000 * self._now), tuple(rows), tuple(ends))
            self._scheduler.report(minion, report, self._now, self._now)
