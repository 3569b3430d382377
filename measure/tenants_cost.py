"""Time of choosing starts with tenants, compared with the same load without tenants.

Run it with ``python -m measure.tenants_cost``. Rounds of all kinds alternate in one process, each
on a fleet of its own with the same minions, jobs and ends of runs. A second load has checkpointing
fillers of half of the tenants, which hold accelerators that tasks of the others wait for, so that
these are reclaimed.
"""

from __future__ import annotations

import gc
import random
import statistics
import time
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import replace

from dotterelhill.jobs.changes import SchedulerSettings, Switches
from dotterelhill.jobs.fleet import EndKind, EndReport, MinionFacts, MinionReport, RunReport
from dotterelhill.jobs.model import Step, Submission, TaskKey
from dotterelhill.jobs.orders import StartOutcome, StopOrder
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
ACCELERATORS = 4
FILLER_JOBS_SHARE = ACCELERATED_JOBS_SHARE = 0.25
# Runs with accelerators last longer than others, so fewer of the ends of a round are theirs.
ACCELERATED_ENDS_SHARE = 0.1
ROUNDS_OF_A_CHECKPOINT = 8


class LoadedFleet:
    """Scheduler with minions that carry out every order, and a constant number of waiting tasks.

    :param tenants: number of tenants
    :param is_looking_ahead: whether large tasks hold reservations
    :param task_cpus: sizes of tasks in thousandths of a processor; minions have 16,000
    """

    def __init__(
        self,
        tenants: int,
        *,
        has_fillers: bool = False,
        is_reclaiming: bool = True,
        is_looking_ahead: bool = False,
        task_cpus: Sequence[int] = (500, 1000, 2000, 3500),
    ) -> None:
        self._task_cpus = task_cpus
        self._random = random.Random(SEED)
        self._has_fillers = has_fillers
        self._now = 1000.0
        self._rounds = 0
        self._fillers: set[TaskKey] = set()
        self._accelerated: set[TaskKey] = set()
        self.stopped_runs = 0
        switches = Switches(look_ahead=is_looking_ahead, reclaim=is_reclaiming)
        settings = SchedulerSettings(switches=switches)
        self._scheduler = Scheduler(settings, self._now)
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
        self._stop_ends: dict[str, list[EndReport]] = {}
        self._submitted = 0
        for number in range(MINIONS):
            facts = MinionFacts(
                f"m{number}", 1, "pool", f"m{number}:1", "d", ("a", "r"),
                ResourceVector(16_000, 64_000, ACCELERATORS),
            )  # fmt: skip
            self._scheduler.update_minion(facts, self._now)
            self._running[facts.minion_id] = {}
        self._report({})
        while has_fillers and self._scheduler.waiting_tasks < MINIONS * ACCELERATORS:
            self._submit()

    @property
    def scheduler(self) -> Scheduler:
        """Return the scheduler."""
        return self._scheduler

    def run_round(self, ends: int = ENDS_OF_A_ROUND) -> float:
        """End some runs, submit jobs, and return the processor seconds of the planning.

        :param ends: number of runs that end
        """
        self._now += ROUND_SECONDS
        self._rounds += 1
        self._report(self._end_runs(ends))
        while self._scheduler.waiting_tasks < WAITING_TASKS:
            self._submit()
        unix_ms = UNIX_START_MS + int(1000 * self._now)
        began = time.process_time()
        self._scheduler.plan(self._now, unix_ms)
        seconds = time.process_time() - began
        self._scheduler.take_decisions()
        self._carry_out_stops()
        for order in self._scheduler.commit(self._scheduler.take_changes(), self._now):
            run = order.run
            self._running[run.minion_id][run.key] = run.run_id
            if run.step.is_filler:
                self._fillers.add(run.key)
            if run.step.room.gpu:
                self._accelerated.add(run.key)
            self._scheduler.start_answered(run, StartOutcome.STARTED, self._now, self._now, 0)
        return seconds

    def _submit(self) -> None:
        number, self._submitted = self._submitted, self._submitted + 1
        choose = self._random
        step = Step(
            choose.choice(TASKS_OF_A_JOB),
            ResourceVector(choose.choice(self._task_cpus), choose.choice((256, 1024))),
            choose.uniform(0.3, 4.0),
        )
        queue, tenant = choose.choice(self._queues), choose.choice(TENANT_DRAWS)
        if self._has_fillers:
            kind, accelerated = choose.random(), replace(step, room=ResourceVector(100, 256, 1))
            # At first, fillers take all accelerators.
            if not self._rounds or kind < FILLER_JOBS_SHARE:
                step = replace(accelerated, is_filler=True, is_checkpointing=True, image="filler")
                queue, tenant = self._queues[-1], 2 * (tenant // 2)
            elif kind < FILLER_JOBS_SHARE + ACCELERATED_JOBS_SHARE:
                step, tenant = accelerated, 2 * (tenant // 2) + 1
        submission = Submission(
            f"j{number}", queue, UNIX_START_MS + int(1000 * self._now), "", (step,),
            tenant=self._tenants[tenant % len(self._tenants)],
        )  # fmt: skip
        self._scheduler.submit(submission, self._now)

    def _end_runs(self, count: int) -> dict[str, list[EndReport]]:
        running = [(name, key) for name, runs in self._running.items() for key in runs]
        ends, self._stop_ends = self._stop_ends, {}
        for name, key in self._random.sample(running, min(count, len(running))):
            if key in self._accelerated and self._random.random() > ACCELERATED_ENDS_SHARE:
                continue
            self._end(ends, name, key, EndKind.DONE)
        return ends

    def _end(
        self, ends: dict[str, list[EndReport]], name: str, key: TaskKey, kind: EndKind
    ) -> None:
        run_id = self._running[name].pop(key)
        number = self._end_numbers[name] = self._end_numbers.get(name, 0) + 1
        ends.setdefault(name, []).append(EndReport(number, key, run_id, kind, ""))

    def _carry_out_stops(self) -> None:
        for order in self._scheduler.take_orders():
            name = order.minion.minion_id
            if isinstance(order, StopOrder) and order.key in self._running[name]:
                self.stopped_runs += 1
                self._end(self._stop_ends, name, order.key, EndKind.STOPPED)

    def _checkpoint(self, key: TaskKey) -> str:
        """Return the checkpoint of a run: a new one after some rounds, for each task another."""
        if key not in self._fillers:
            return ""
        return str((self._rounds + key.index) // ROUNDS_OF_A_CHECKPOINT)

    def _report(self, ends: dict[str, list[EndReport]]) -> None:
        for name, minion in self._scheduler.minions.items():
            rows = tuple(
                RunReport(key, run_id, self._checkpoint(key), 100, None)
                for key, run_id in self._running[name].items()
            )
            minion.extend_lease(self._now, 6.0)
            report = MinionReport(1, int(1000 * self._now), rows, tuple(ends.get(name, ())))
            self._scheduler.report(minion, report, self._now, self._now)


TENANT_DRAWS = range(TENANTS)


def _measure(fleets: Mapping[str, LoadedFleet]) -> dict[str, list[float]]:
    """Return the times of the rounds of each fleet in ms, from alternating rounds."""
    times: dict[str, list[float]] = {name: [] for name in fleets}
    # A collection would count for the round in which it happens to begin.
    gc.collect()
    gc.disable()
    for number in range(WARM_UP_ROUNDS + ROUNDS):
        for name in sorted(fleets, reverse=bool(number % 2)):
            seconds = fleets[name].run_round()
            if number >= WARM_UP_ROUNDS:
                times[name].append(1000.0 * seconds)
    gc.enable()
    return times


def _percentile_figures(times: Mapping[str, list[float]]) -> Iterator[Figure]:
    for name, values in times.items():
        high = statistics.quantiles(values, n=100)[98]
        yield figure_with_target(
            f"99th percentile of a round {name}", f"under {MAX_ROUND_MS} ms", "",
            f"{high:.2f} ms", is_met=high < MAX_ROUND_MS,
        )  # fmt: skip


def figures() -> Iterator[Figure]:
    """Measure the load without fillers, then the one with fillers."""
    tenants, base = f"with {TENANTS} tenants", "without tenants"
    fleets = {base: LoadedFleet(0), tenants: LoadedFleet(TENANTS)}
    times = _measure(fleets)
    without, with_tenants = statistics.median(times[base]), statistics.median(times[tenants])
    yield figure_with_target(
        f"median round, {MINIONS} minions, {TENANTS} tenants, {WAITING_TASKS} waiting tasks",
        f"at most {MAX_RATIO} times without tenants",
        f"{without:.2f} ms without tenants",
        f"{with_tenants:.2f} ms, {with_tenants / without:.3f} times",
        is_met=with_tenants <= MAX_RATIO * without,
    )
    yield from _percentile_figures(times)
    loads_ms = []
    for _ in range(20):
        began = time.process_time()
        fleets[tenants].scheduler.tenant_loads(2000.0)
        loads_ms.append(1000.0 * (time.process_time() - began))
    yield figure_without_target("tenant_loads", "ms", statistics.median(loads_ms))
    yield from _reclaim_figures()


def _reclaim_figures() -> Iterator[Figure]:
    """Measure the load with checkpointing fillers, with reclaim and without it.

    The mean counts, since capacity is searched for in some of the rounds only.
    """
    base, off, on = "with fillers", "with fillers and tenants", "with fillers and reclaim"
    fleets = {
        base: LoadedFleet(0, has_fillers=True),
        off: LoadedFleet(TENANTS, has_fillers=True, is_reclaiming=False),
        on: LoadedFleet(TENANTS, has_fillers=True),
    }
    times = _measure(fleets)
    without = statistics.fmean(times[base])
    for name in (off, on):
        mean = statistics.fmean(times[name])
        yield figure_with_target(
            f"mean round {name}", f"at most {MAX_RATIO} times without tenants",
            f"{without:.2f} ms without tenants", f"{mean:.2f} ms, {mean / without:.3f} times",
            is_met=mean <= MAX_RATIO * without,
        )  # fmt: skip
    yield from _percentile_figures(times)
    yield figure_without_target("runs stopped by reclaim", "runs", fleets[on].stopped_runs)


if __name__ == "__main__":
    print_figures(figures())
