"""Seconds from the loss of a leader to the first start and to the last lasting task.

Run it with ``python -m measure.failover_cost``. Processes, store and minions run in virtual
time; the processor time of a restored job is measured first, that of a message is the figure in
docs/platform.md for a relayed call. A slow process needs ``SLOW_FACTOR`` times as long for both.
The leader's process ends together with a tenth of the minions.
"""

from __future__ import annotations

import asyncio
import importlib
import time
from collections.abc import Iterator
from typing import Any

from dotterelhill.jobs.changes import SchedulerSettings
from dotterelhill.jobs.model import Job, Step, Submission, TaskKey
from dotterelhill.jobs.progress import (
    apply_progress,
    decode_submission,
    encode_progress,
    encode_submission,
)
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.scheduler import Scheduler
from measure.report import Figure, figure_without_target, print_figures

# The simulation belongs to the scenarios, which are not typed.
_world: Any = importlib.import_module("dotterelhill.control.tests.cluster_world")

# A processor of 0.12 core is throttled for most of each period.
SLOW_FACTOR = 15.0
SECONDS_PER_MESSAGE = 0.000_04
SIZES = ((250, 24), (2500, 24), (250, 246), (2500, 246))
MINION_CPU = 8000
# Share of the processors that tasks use, so that those of lost minions fit elsewhere.
USED_SHARE = 0.6
LONG_RUN_SECONDS = 1e6
TIMEOUT_SECONDS = 60.0
STEP_SECONDS = 0.1
SETTLE_SECONDS = 6.0


def restore_seconds(jobs: int = 2000) -> float:
    """Return the processor seconds for one restored job of one task."""
    step = Step(1, ResourceVector(1000, 100), 1.0)
    stored = []
    for number in range(jobs):
        submission = Submission(f"{number:016x}", _world.QUEUE, 0, "spec", (step,))
        stored.append((encode_submission(submission), encode_progress(Job(submission))))
    scheduler = Scheduler(SchedulerSettings(_world.HOLD_SECONDS, 120.0, 4.0, 3.0), 0.0)
    started = time.process_time()
    for submission_data, progress_data in stored:
        job = Job(decode_submission(submission_data))
        apply_progress(job, progress_data)
        scheduler.restore(job, 0.0)
    return (time.process_time() - started) / jobs


class Failover:
    """One failover of a cluster in virtual time.

    :param tasks: number of jobs of one task; half of them are lasting
    :param minions: number of minions
    """

    def __init__(self, tasks: int, minions: int) -> None:
        names = tuple(f"m{number}" for number in range(minions))
        self._cluster = _world.Cluster(["a", "b", "c"], minion_names=names)
        self._cluster.is_polling_long = True
        self._tasks = tasks
        cpu = int(USED_SHARE * MINION_CPU * minions / tasks)
        self._room = ResourceVector(min(cpu, MINION_CPU // 4), 1)
        for minion in self._cluster.minions.values():
            minion.run_seconds = LONG_RUN_SECONDS
        self._cluster.advance(3.0)

    async def _submit(self, number: int, *, is_lasting: bool) -> None:
        step = Step(1, self._room, 1.0, is_lasting=is_lasting)
        submission = Submission(f"{number:016x}", _world.QUEUE, 0, "spec", (step,))
        names = [name for name, process in self._cluster.processes.items() if process.is_running]
        process = self._cluster.processes[names[number % len(names)]]
        await process.job_service.submit(submission, 30.0)

    async def _submit_all(self) -> None:
        await asyncio.gather(
            *(self._submit(number, is_lasting=number % 2 == 0) for number in range(self._tasks))
        )

    def run(self, factor: float, job_seconds: float) -> tuple[float, float, int]:
        """Return the seconds to the first start and to the last lasting task, and the claims.

        :param factor: by which each process is slower than the measured one
        :param job_seconds: processor seconds for a restored job
        """
        cluster = self._cluster
        cluster.run(self._submit_all())
        cluster.advance(SETTLE_SECONDS)
        while len(cluster.starts) < self._tasks:
            cluster.advance(STEP_SECONDS)
        cluster.seconds_per_message = factor * SECONDS_PER_MESSAGE
        cluster.seconds_per_job = factor * job_seconds
        epoch = max(process.leadership.epoch for process in cluster.processes.values())
        lost_at = cluster.loop.time()
        lost = [name for number, name in enumerate(cluster.minions) if number % 10 == 0]
        lasting: set[TaskKey] = set()
        for name in lost:
            minion = cluster.minions[name]
            minion.is_dead = True
            lasting.update(key for key in minion.running if int(key.job_id, 16) % 2 == 0)
        cluster.kill(cluster.leaders[0])
        cluster.run(self._submit(self._tasks + 1, is_lasting=False))
        first = last = float("nan")
        while cluster.loop.time() < lost_at + TIMEOUT_SECONDS:
            cluster.advance(STEP_SECONDS)
            starts = [(at, key) for at, key, _ in cluster.starts if at > lost_at]
            if lasting <= {key for _, key in starts}:
                first = starts[0][0] - lost_at
                last = max(at for at, key in starts if key in lasting) - lost_at
                break
        newest = max(process.leadership.epoch for process in cluster.processes.values())
        cluster.close()
        return first, last, newest - epoch


def figures() -> Iterator[Figure]:
    """Measure failovers of fast and of slow processes by number of tasks and minions."""
    job_seconds = restore_seconds()
    yield figure_without_target("restore a job", "us", 1e6 * job_seconds)
    for factor, speed in ((1.0, "fast"), (SLOW_FACTOR, "slow")):
        for tasks, minions in SIZES:
            first, last, claims = Failover(tasks, minions).run(factor, job_seconds)
            name = f"{speed} processes, {tasks} tasks, {minions} minions"
            yield figure_without_target(f"{name}: first start", "s", first)
            yield figure_without_target(f"{name}: last lasting task", "s", last)
            yield figure_without_target(f"{name}: claims", "", claims)


if __name__ == "__main__":
    print_figures(figures())
