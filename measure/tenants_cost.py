"""Time of choosing starts with tenants, compared with the same load without tenants.

Run it with ``python -m measure.tenants_cost``. Rounds of both kinds alternate in one process, each
on a fleet of its own with the same minions, jobs and ends of runs.
"""

from __future__ import annotations

import gc
import random
import statistics
import time
from collections.abc import Iterator

from dotterelhill.jobs.changes import SchedulerSettings
from dotterelhill.jobs.fleet import EndKind, EndReport, MinionFacts, MinionReport, RunReport
from dotterelhill.jobs.model import Step, Submission, TaskKey
from dotterelhill.jobs.orders import StartOutcome
from dotterelhill.jobs.queues import FleetConfig, Queue, Tenant
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.scheduler import Scheduler
from measure.report import Figure, figure_with_target, figure_without_target, print_figures

SEED = 20261
MINIONS = 246
TENANTS = 20
WAITING_TASKS = 10_000
TASKS_OF_A_JOB = (1, 2, 5, 15)
ENDS_OF_A_ROUND = 60
WARM_UP_ROUNDS = 10
ROUNDS = 150
ROUND_SECONDS = 0.05
UNIX_START_MS = 1_700_000_000_000
MAX_RATIO = 1.15
MAX_ROUND_MS = 25.0


class LoadedFleet:
    """Scheduler with minions that carry out every start, and a constant number of waiting tasks."""

    def __init__(self, tenants: int) -> None:
        self._random = random.Random(SEED)
        self._now = 1000.0
        self._scheduler = Scheduler(SchedulerSettings(), self._now)
        self._queues = [Queue(f"q{n}", "h", f"/{n}/", "pool", priority=n) for n in range(3)]
        self._tenants = [f"t{number}" for number in range(tenants)] or [""]
        config = FleetConfig(
            1,
            {queue.name: queue for queue in self._queues},
            # Every fourth tenant has a limit, which it reaches.
            tenants={
                name: Tenant(name, 1.0 + number % 3, ResourceVector(60_000 * (number % 4 == 0)))
                for number, name in enumerate(self._tenants)
                if name
            },
        )
        self._scheduler.configure(config)
        self._running: dict[str, dict[TaskKey, int]] = {}
        self._end_numbers: dict[str, int] = {}
        self._submitted = 0
        for number in range(MINIONS):
            facts = MinionFacts(
                f"m{number}", 1, "pool", f"m{number}:1", "d", ("a", "r"),
                ResourceVector(16_000, 64_000),
            )  # fmt: skip
            self._scheduler.update_minion(facts, self._now)
            self._running[facts.minion_id] = {}
        self._report({})

    @property
    def scheduler(self) -> Scheduler:
        """Return the scheduler."""
        return self._scheduler

    def run_round(self, ends: int = ENDS_OF_A_ROUND) -> float:
        """End some runs, submit jobs, and return the processor seconds of the planning.

        :param ends: number of runs that end
        """
        self._now += ROUND_SECONDS
        self._report(self._end_runs(ends))
        while self._scheduler.waiting_tasks < WAITING_TASKS:
            self._submit()
        unix_ms = UNIX_START_MS + int(1000 * self._now)
        began = time.process_time()
        self._scheduler.plan(self._now, unix_ms)
        seconds = time.process_time() - began
        self._scheduler.take_decisions()
        for order in self._scheduler.commit(self._scheduler.take_changes(), self._now):
            run = order.run
            self._running[run.minion_id][run.key] = run.run_id
            self._scheduler.start_answered(run, StartOutcome.STARTED, self._now, self._now, 0)
        return seconds

    def _submit(self) -> None:
        number, self._submitted = self._submitted, self._submitted + 1
        choose = self._random
        step = Step(
            choose.choice(TASKS_OF_A_JOB),
            ResourceVector(choose.choice((500, 1000, 2000, 3500)), choose.choice((256, 1024))),
            choose.uniform(0.3, 4.0),
        )
        queue, tenant = choose.choice(self._queues), choose.choice(TENANT_DRAWS)
        submission = Submission(
            f"j{number}", queue, UNIX_START_MS + int(1000 * self._now), "", (step,),
            tenant=self._tenants[tenant % len(self._tenants)],
        )  # fmt: skip
        self._scheduler.submit(submission, self._now)

    def _end_runs(self, count: int) -> dict[str, list[EndReport]]:
        running = [(name, key) for name, runs in self._running.items() for key in runs]
        ends: dict[str, list[EndReport]] = {}
        for name, key in self._random.sample(running, min(count, len(running))):
            run_id = self._running[name].pop(key)
            number = self._end_numbers[name] = self._end_numbers.get(name, 0) + 1
            end = EndReport(number, key, run_id, EndKind.DONE, "")
            ends.setdefault(name, []).append(end)
        return ends

    def _report(self, ends: dict[str, list[EndReport]]) -> None:
        for name, minion in self._scheduler.minions.items():
            rows = tuple(
                RunReport(key, run_id, "", 100, None) for key, run_id in self._running[name].items()
            )
            minion.extend_lease(self._now, 6.0)
            report = MinionReport(1, int(1000 * self._now), rows, tuple(ends.get(name, ())))
            self._scheduler.report(minion, report, self._now, self._now)


TENANT_DRAWS = range(TENANTS)


def figures() -> Iterator[Figure]:
    """Measure both fleets in alternating rounds."""
    fleets = {0: LoadedFleet(0), TENANTS: LoadedFleet(TENANTS)}
    times: dict[int, list[float]] = {0: [], TENANTS: []}
    # A collection would count for the round in which it happens to begin.
    gc.collect()
    gc.disable()
    for number in range(WARM_UP_ROUNDS + ROUNDS):
        for tenants in sorted(fleets, reverse=bool(number % 2)):
            seconds = fleets[tenants].run_round()
            if number >= WARM_UP_ROUNDS:
                times[tenants].append(1000.0 * seconds)
    loads_ms = []
    for _ in range(20):
        began = time.process_time()
        fleets[TENANTS].scheduler.tenant_loads(2000.0)
        loads_ms.append(1000.0 * (time.process_time() - began))
    gc.enable()
    without, with_tenants = statistics.median(times[0]), statistics.median(times[TENANTS])
    yield figure_with_target(
        f"median round, {MINIONS} minions, {TENANTS} tenants, {WAITING_TASKS} waiting tasks",
        f"at most {MAX_RATIO} times without tenants",
        f"{without:.2f} ms without tenants",
        f"{with_tenants:.2f} ms, {with_tenants / without:.3f} times",
        is_met=with_tenants <= MAX_RATIO * without,
    )
    for tenants, values in times.items():
        high = statistics.quantiles(values, n=100)[98]
        yield figure_with_target(
            f"99th percentile of a round with {tenants} tenants", f"under {MAX_ROUND_MS} ms", "",
            f"{high:.2f} ms", is_met=high < MAX_ROUND_MS,
        )  # fmt: skip
    yield figure_without_target("tenant_loads", "ms", statistics.median(loads_ms))


if __name__ == "__main__":
    print_figures(figures())
