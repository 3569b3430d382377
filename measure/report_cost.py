"""Processor time of a leader for reports and starts, apart from the choice of minions.

Run it with ``python -m measure.report_cost``. Minions report twice a second; each has lasting tasks
with latency targets, fillers, and short tasks, which end and are replaced at a steady rate.
"""

from __future__ import annotations

import asyncio
import gc
import os
import random
import time
from collections.abc import Callable, Iterator
from types import SimpleNamespace
from typing import Any

from dotterelhill.control.leader import Leader
from dotterelhill.control.loop_lag import LoopLag
from dotterelhill.entry.logs import BoundedStream, start_logging
from dotterelhill.entry.metrics import LocalMetrics
from dotterelhill.jobs.changes import SchedulerSettings
from dotterelhill.jobs.fleet import EndKind, EndReport, MinionFacts, MinionReport, Run, RunReport
from dotterelhill.jobs.model import Step, Submission
from dotterelhill.jobs.orders import StartOrder, StartOutcome
from dotterelhill.jobs.progress import encode_progress
from dotterelhill.jobs.queues import FleetConfig, Queue
from dotterelhill.jobs.resources import ResourceVector
from measure.report import Figure, figure_without_target, print_figures

SEED = 20262
MINIONS = 246
LASTING_RUNS, FILLER_RUNS, SHORT_RUNS = 3, 2, 3
TASKS_OF_A_JOB = 20
REPORT_SECONDS = 0.5
STARTS_PER_SECOND = 600
WARM_UP_STEPS = 8
STEPS = 60
UNIX_START_MS = 1_700_000_000_000
IMAGES = ("a", "b", "c", "d")


class _Minions:
    """Client whose minions carry out each start at once."""

    async def start(
        self, order: StartOrder, epoch: int, deadline_ms: int
    ) -> tuple[StartOutcome, int | None]:
        """Return that the run has started."""
        return StartOutcome.STARTED, 1000


class ReportingFleet:
    """Leader and minions that report, end runs and start others.

    :ivar seconds: processor seconds by kind of work
    """

    def __init__(self) -> None:
        self._random = random.Random(SEED)
        self._now = 1000.0
        self.seconds = dict.fromkeys(("reports", "rounds", "progress records", "starts"), 0.0)
        clock: Callable[[], float] = lambda: self._now  # noqa: E731
        parts: Any = SimpleNamespace(
            store=SimpleNamespace(partitions=lambda stream: 1),
            minions=_Minions(),
            lag=LoopLag(clock),
            leadership=SimpleNamespace(epoch=1, is_leading=True, is_lease_renewal_allowed=True),
            settings=SchedulerSettings(),
            clock=clock,
            random=self._random,
            metrics=LocalMetrics(),
        )
        self._loop = asyncio.new_event_loop()
        self._leader = Leader(parts, 0.0)
        self._scheduler = self._leader.scheduler
        self._queue = Queue("q", "h", "/q/", "pool")
        self._scheduler.configure(FleetConfig(1, {"q": self._queue}))
        self._runs: dict[str, list[Run]] = {}
        self._end_numbers: dict[str, int] = {}
        self._submitted = 0
        for number in range(MINIONS):
            facts = MinionFacts(
                f"m{number}", 1, "pool", f"m{number}:1", "d", ("a", "r"),
                ResourceVector(16_000, 64_000),
            )  # fmt: skip
            self._scheduler.update_minion(facts, self._now)
            self._runs[facts.minion_id], self._end_numbers[facts.minion_id] = [], 0
        room = ResourceVector(1000, 256)
        for number in range(LASTING_RUNS * MINIONS):
            image = IMAGES[number % len(IMAGES)]
            self._submit(Step(1, room, 1.0, is_lasting=True, image=image, target_tail_ms=100))
        for number in range(FILLER_RUNS * MINIONS // TASKS_OF_A_JOB):
            self._submit(
                Step(TASKS_OF_A_JOB, room, 60.0, is_filler=True, is_checkpointing=True,
                     image="xyz"[number % 3])
            )  # fmt: skip
        for _ in range(SHORT_RUNS * MINIONS // TASKS_OF_A_JOB):
            self._submit(Step(TASKS_OF_A_JOB, room, 1.0))

    @property
    def run_count(self) -> int:
        """Return the number of runs of all minions."""
        return sum(map(len, self._runs.values()))

    def advance(self) -> None:
        """Let each minion report once, and replace the short tasks that have ended."""
        self._now += REPORT_SECONDS
        ends = self._end_runs()
        for name, minion in self._scheduler.minions.items():
            rows = tuple(self._row(run) for run in self._runs[name])
            report = MinionReport(1, int(1000 * self._now), rows, tuple(ends.get(name, ())))
            minion.extend_lease(self._now, 6.0)
            with_time(self.seconds, "reports", self._report, minion, report)
        for _ in range(sum(map(len, ends.values())) // TASKS_OF_A_JOB):
            self._submit(Step(TASKS_OF_A_JOB, ResourceVector(1000, 256), 1.0))
        unix_ms = UNIX_START_MS + int(1000 * self._now)
        with_time(self.seconds, "rounds", self._scheduler.plan, self._now, unix_ms)
        self._scheduler.take_decisions()
        self._scheduler.take_orders()
        changes = self._scheduler.take_changes()
        with_time(
            self.seconds, "progress records", lambda: [encode_progress(job) for job in changes.jobs]
        )
        orders = self._scheduler.commit(changes, self._now)
        with_time(self.seconds, "starts", self._start, orders)

    def close(self) -> None:
        """Close the event loop."""
        self._loop.close()

    def _report(self, minion: Any, report: MinionReport) -> None:
        self._scheduler.report(minion, report, self._now, self._now)

    def _start(self, orders: list[StartOrder]) -> None:
        async def send_all() -> None:
            for order in orders:
                started = self._leader._prepare_start(order)
                assert started is not None
                await self._leader._send_start_directly(started)

        self._loop.run_until_complete(send_all())
        for order in orders:
            self._runs[order.run.minion_id].append(order.run)

    def _row(self, run: Run) -> RunReport:
        measure = self._random.uniform(20.0, 90.0)
        if not run.step.is_lasting:
            measure *= 10.0
        checkpoint = "c" if run.step.is_filler else ""
        return RunReport(run.key, run.run_id, checkpoint, 100, measure)

    def _end_runs(self) -> dict[str, list[EndReport]]:
        short = [
            (name, run)
            for name, runs in self._runs.items()
            for run in runs
            if not (run.step.is_lasting or run.step.is_filler)
        ]
        count = min(int(STARTS_PER_SECOND * REPORT_SECONDS), len(short))
        ends: dict[str, list[EndReport]] = {}
        for name, run in self._random.sample(short, count):
            self._runs[name].remove(run)
            self._end_numbers[name] += 1
            end = EndReport(self._end_numbers[name], run.key, run.run_id, EndKind.DONE, "")
            ends.setdefault(name, []).append(end)
        return ends

    def _submit(self, step: Step) -> None:
        self._submitted += 1
        submission = Submission(
            f"{self._submitted:016x}", self._queue, UNIX_START_MS + int(1000 * self._now), "{}",
            (step,),
        )  # fmt: skip
        self._scheduler.submit(submission, self._now)


def with_time(seconds: dict[str, float], name: str, call: Callable[..., Any], *args: Any) -> None:
    """Call a function and add its processor seconds under a name."""
    began = time.process_time()
    call(*args)
    seconds[name] += time.process_time() - began


def figures() -> Iterator[Figure]:
    """Measure the processor time of each kind of work per second of load."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    handler = start_logging("leader", "info", BoundedStream(descriptor))
    fleet = ReportingFleet()
    for _ in range(WARM_UP_STEPS):
        fleet.advance()
    fleet.seconds = dict.fromkeys(fleet.seconds, 0.0)
    # A collection would count for the work in which it happens to begin.
    gc.collect()
    gc.disable()
    for _ in range(STEPS):
        fleet.advance()
    gc.enable()
    load = f"{MINIONS} minions, {fleet.run_count} runs, {STARTS_PER_SECOND} starts a second"
    fleet.close()
    handler.pop_application()
    os.close(descriptor)
    for name, seconds in fleet.seconds.items():
        yield figure_without_target(
            f"{name}, {load}", "ms a second", 1000.0 * seconds / (STEPS * REPORT_SECONDS)
        )


if __name__ == "__main__":
    print_figures(figures())
