from __future__ import annotations

from collections import Counter

from dotterelhill.jobs.fleet import EndKind
from dotterelhill.jobs.model import JobState, TaskKey
from dotterelhill.jobs.orders import StartOrder, StartOutcome
from dotterelhill.jobs.tests.fleet_world import FleetWorld

CRASH_AFTER_SECONDS = 0.01
ROUND_SECONDS = 0.1
# The rule on crashing tasks: no third start once this many minions have crashed under a task.
MAX_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 2


class CrashWorld(FleetWorld):
    """Fleet in which some tasks crash each minion that starts them, and the platform some others.

    A crashed minion answers nothing, and is back under its id as a new incarnation.
    """

    def __init__(self) -> None:
        super().__init__()
        self.deadly: set[TaskKey] = set()
        self.deadly_jobs: set[str] = set()
        self.work_seconds = 1.0
        self.down_seconds = 2.0
        self.is_start_answer_lost = False
        self.is_report_before_crash = False
        self.back_at: dict[str, float] = {}
        self.started_at: dict[TaskKey, float] = {}
        self.first_started_at: dict[TaskKey, float] = {}
        self.start_counts: Counter[TaskKey] = Counter()
        self.crashes_under: Counter[TaskKey] = Counter()
        self.starts_after_crashes: Counter[TaskKey] = Counter()
        self.crash_count = 0
        self.deadly_crash_count = 0

    def is_deadly(self, key: TaskKey) -> bool:
        return key in self.deadly or key.job_id in self.deadly_jobs

    def crash(self, name: str) -> None:
        """End a minion with all that runs on it."""
        if name in self.back_at:
            return
        self.crash_count += 1
        for key in self.running[name]:
            self.crashes_under[key] += 1
            self.started_at.pop(key, None)
        self.running[name] = {}
        self.ends[name] = []
        self.silent.add(name)
        self.back_at[name] = self.now + self.down_seconds
        minion = self.scheduler.minions.get(name)
        if minion is not None:
            self.scheduler.mark_minion_silent(minion, "connection reset", self.now)

    def return_crashed_minions(self) -> None:
        for name, back_at in list(self.back_at.items()):
            if self.now < back_at:
                continue
            del self.back_at[name]
            self.silent.discard(name)
            facts = self.facts[name]
            self.list_minion(
                name, facts.capacity.cpu, born_ms=facts.born_ms + 1, domain=facts.failure_domain
            )

    def end_finished_work(self) -> None:
        for name, runs in self.running.items():
            for key in list(runs):
                job = self.scheduler.jobs.get(key.job_id)
                if job is None or job.submission.steps[key.step].is_lasting:
                    continue
                if self.now - self.started_at[key] >= self.work_seconds:
                    self.end(name, key, EndKind.DONE)

    def carry_out_stops(self) -> None:
        for order in self.stops:
            name = order.minion.minion_id
            if name in self.back_at or self.running[name].get(order.key) != order.run_id:
                continue
            self.end(name, order.key, EndKind.STOPPED)
        self.stops.clear()

    def break_gangs(self) -> None:
        """End the remaining members of gangs that have lost one."""
        present = Counter(
            (key.job_id, key.occurrence, key.step)
            for name, runs in self.running.items()
            for key in runs
        )
        for name, runs in self.running.items():
            for key in list(runs):
                job = self.scheduler.jobs.get(key.job_id)
                if job is None or not job.submission.steps[key.step].is_gang:
                    continue
                count = job.submission.steps[key.step].count
                if present[key.job_id, key.occurrence, key.step] < count:
                    self.end(name, key, EndKind.BROKEN)

    def deliver(self, orders: list[StartOrder], outcome: StartOutcome) -> None:
        crashing = []
        for order in orders:
            key, name = order.run.key, order.minion.minion_id
            if name in self.back_at:
                super().deliver([order], StartOutcome.UNKNOWN)
                continue
            self.start_counts[key] += 1
            if self.crashes_under[key] >= MAX_CRASHES:
                self.starts_after_crashes[key] += 1
            self.running[name][key] = order.run.run_id
            self.started_at[key] = self.now
            self.first_started_at.setdefault(key, self.now)
            is_deadly = self.is_deadly(key)
            if is_deadly:
                crashing.append(name)
            is_lost = is_deadly and self.is_start_answer_lost
            super().deliver([order], StartOutcome.UNKNOWN if is_lost else outcome)
        if not crashing:
            return
        if self.is_report_before_crash:
            self.now += CRASH_AFTER_SECONDS / 2
            self.poll()
        for name in crashing:
            self.deadly_crash_count += name not in self.back_at
            self.crash(name)

    def run_crash_round(self) -> list[StartOrder]:
        self.return_crashed_minions()
        self.end_finished_work()
        self.break_gangs()
        orders = self.run_round()
        self.carry_out_stops()
        return orders

    def run_seconds(self, seconds: float) -> None:
        for _ in range(round(seconds / ROUND_SECONDS)):
            self.run_crash_round()

    def shown_states(self) -> dict[str, JobState | None]:
        return {
            submission.job_id: self.scheduler.state_of(submission.job_id)
            for submission in self.submitted
        }
