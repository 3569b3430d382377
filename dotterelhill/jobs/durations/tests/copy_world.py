"""Random histories with copies and restarts, judged by what the minions themselves run."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from dotterelhill.jobs.fleet import EndKind
from dotterelhill.jobs.model import Step, TaskKey
from dotterelhill.jobs.orders import StartOrder
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.scheduler import Scheduler
from dotterelhill.jobs.tests.capacity_world import CapacityWorld, TrueMinion

MINIONS = 40
SIZE = ResourceVector(8000, 8000, 0)
USUAL_SECONDS, STRAGGLER_SECONDS = 0.6, 6.0
STRAGGLER_SHARE = 0.1
# Observations that each leader begins with, as these histories are short.
LEARNED_RUNS = 40
STEPS = (
    Step(6, ResourceVector(1000, 100), 1.0, image="copied", is_speculative=True),
    Step(4, ResourceVector(1000, 100), 1.0, image="restarted"),
)


class CopyWorld(CapacityWorld):
    """Fleet with room for copies, on which some runs take ten times as long.

    Answers are lost, orders are carried out late, minions are cut off and leaders are replaced. The
    capacities stay.
    """

    def __init__(self, rng: Random) -> None:
        super().__init__(rng)
        for number in range(MINIONS):
            name = f"w{number}"
            self.true[name] = TrueMinion([(self.now, SIZE)], SIZE, self.now)
            self.list_size(name, SIZE)
        self.copy_count = self.restart_count = 0
        self.done_at: dict[TaskKey, float] = {}
        self.newest_run: dict[TaskKey, int] = {}

    def resize(self, name: str, minion: TrueMinion) -> None:
        pass

    def submit_random_job(self) -> None:
        self.job_count += 1
        for step in STEPS:
            self.submit(f"j{self.job_count}-{step.image}", (step,), "short")

    def _new_scheduler(self) -> Scheduler:
        scheduler = super()._new_scheduler()
        scheduler.durations.advance(self.now)
        for number in range(LEARNED_RUNS):
            for step in STEPS:
                scheduler.durations.record("short", step, USUAL_SECONDS + 0.01 * number)
        return scheduler

    def commit(self) -> list[StartOrder]:
        orders = super().commit()
        for job in self.changes.jobs:
            for key, task in job.tasks.items():
                if task.is_done:
                    self.done_at.setdefault(key, self.now)
        for order in orders:
            key, run_id = order.run.key, order.run.run_id
            assert run_id > self.newest_run.get(key, 0), order.run
            self.newest_run[key] = run_id
        return orders

    def carry_out(
        self, order: StartOrder, minion: TrueMinion, sent_at: float, *, is_late: bool = False
    ) -> None:
        key = order.run.key
        before = minion.runs.get(key)
        super().carry_out(order, minion, sent_at, is_late=is_late)
        run = minion.runs.get(key)
        if run is None or run is before:
            return
        others = [one for one in self.true.values() if key in one.runs and one is not minion]
        assert len(others) <= order.run.step.is_speculative, (order.run, self.now)
        done_at = self.done_at.get(key, self.now)
        assert self.now - done_at <= (1.0 if order.run.step.is_speculative else 0.0), order.run
        self.copy_count += len(others)
        is_straggler = self.rng.random() < STRAGGLER_SHARE
        seconds = STRAGGLER_SECONDS if is_straggler else USUAL_SECONDS
        kind = EndKind.FAILED if self.has_chance(0.05) else EndKind.DONE
        minion.runs[key] = replace(run, ends_at=self.now + seconds, kind=kind)
