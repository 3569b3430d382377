from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

from dotterelhill.jobs.fleet import EndKind
from dotterelhill.jobs.model import JobState, Step, TaskKey
from dotterelhill.jobs.orders import StartOrder, StartOutcome
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tests.fleet_world import FleetWorld

CRASH_AFTER_SECONDS = 0.01
ROUND_SECONDS = 0.1
UNPROVEN_SECONDS = 0.25
ROUNDING_SECONDS = 0.001
# The rule on crashing tasks: no third start once this many minions have crashed under a task.
MAX_CRASHES = 3
# A job may be given up once this many minions have crashed under one of its tasks.
MIN_CRASHES_TO_GIVE_UP = 2
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
        self.is_silence_noticed = True
        # Whether polls of the other minions get no answer at the moment of a crash.
        self.is_silence_shared = False
        # Whether the entry of a crashed minion is removed at once.
        self.is_entry_removed = False
        # Whether a new leader takes over that first hears of the next incarnation.
        self.is_takeover_at_return = False
        # Tasks of each job take 0.1 to 0.3 s, so no minion is without new runs.
        self.is_work_staggered = False
        self.back_at: dict[str, float] = {}
        self.started_at: dict[TaskKey, float] = {}
        self.first_started_at: dict[TaskKey, float] = {}
        self.newest_started_at: dict[TaskKey, float] = {}
        # For each crash that a task caused, the number of other runs lost that had just started.
        self.unproven_losses: list[int] = []
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
        if minion is not None and self.is_entry_removed:
            self.scheduler.mark_minion_unlisted(name)
        if minion is not None and self.is_silence_noticed:
            self.scheduler.mark_minion_silent(minion, "connection reset", self.now)
        if self.is_silence_shared:
            self._silence_others()

    def _silence_others(self) -> None:
        for minion in self.scheduler.minions.values():
            if minion.minion_id not in self.back_at:
                self.scheduler.mark_minion_silent(minion, "time-out", self.now)

    def return_crashed_minions(self) -> None:
        for name, back_at in list(self.back_at.items()):
            if self.now < back_at:
                continue
            del self.back_at[name]
            self.silent.discard(name)
            facts = self.facts[name]
            if self.is_takeover_at_return:
                self.facts[name] = replace(facts, born_ms=self.unix_ms)
                self.end_numbers[name] = 0
                self.take_over()
                continue
            self.list_minion(
                name, facts.capacity.cpu, born_ms=self.unix_ms, domain=facts.failure_domain
            )

    def take_over(self) -> None:
        known, self.facts = self.facts, dict(self.facts)
        if self.is_entry_removed:
            for name in self.back_at:
                del self.facts[name]
        super().take_over()
        self.facts = known

    def work_of(self, key: TaskKey) -> float:
        """Return how long a task runs, in seconds."""
        if self.is_work_staggered and key.job_id.startswith("steady"):
            return ROUND_SECONDS * (1 + key.index % 3)
        return self.work_seconds

    def end_finished_work(self) -> None:
        for name, runs in self.running.items():
            for key in list(runs):
                job = self.scheduler.jobs.get(key.job_id)
                if job is None or job.submission.steps[key.step].is_lasting:
                    continue
                if self.now - self.started_at[key] >= self.work_of(key) - ROUNDING_SECONDS:
                    self.end(name, key, EndKind.DONE)

    def carry_out_stops(self) -> None:
        for order in self.stops:
            name = order.minion.minion_id
            if name in self.back_at:
                continue
            if self.running[name].get(order.key) == order.run_id:
                self.end(name, order.key, EndKind.STOPPED)
            self.scheduler.stop_answered(order.minion, order.key, order.run_id, self.now)
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
            self.newest_started_at[key] = self.now
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
            if name in self.back_at:
                continue
            self.deadly_crash_count += 1
            count = 0
            for key in self.running[name]:
                is_new = self.now - self.started_at[key] < UNPROVEN_SECONDS
                count += is_new and not self.is_deadly(key)
            self.unproven_losses.append(count)
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

    def most_crashes_under(self, job: str) -> int:
        """Return the largest number of minions that crashed under one task of a job."""
        counts = [count for key, count in self.crashes_under.items() if key.job_id == job]
        return max(counts, default=0)

    def shown_states(self) -> dict[str, JobState | None]:
        return {
            submission.job_id: self.scheduler.state_of(submission.job_id)
            for submission in self.submitted
        }


def random_crash_world(seed: int) -> CrashWorld:
    """Play a fleet in which tasks and the platform crash minions while leaders change."""
    random = Random(seed)
    world = CrashWorld()
    names = [f"m{number}" for number in range(random.randint(4, 10))]
    for number, name in enumerate(names):
        world.list_minion(name, 1000 * random.choice((4, 8)), domain=f"d{number % 3}")
    world.down_seconds = random.uniform(0.5, 8.0)
    world.is_report_before_crash = random.random() < 0.5
    for number in range(random.randint(6, 20)):
        _submit_random_job(world, random, f"j{number}")
        world.run_seconds(random.uniform(0.0, 0.6))
        world.is_start_answer_lost = random.random() < 0.3
        if random.random() < 0.15:
            world.take_over()
        if random.random() < 0.15:
            for name in random.sample(names, random.choice((1, 1, 3))):
                world.crash(name)
    # Afterwards no minion crashes but for tasks, so what can be done has to be done.
    for _ in range(24):
        if all(state in ("completed", "failed") for state in world.shown_states().values()):
            break
        world.run_seconds(5.0)
    return world


def _submit_random_job(world: CrashWorld, random: Random, name: str) -> None:
    count = random.randint(1, 6)
    is_gang = random.random() < 0.15
    cpu = 1000 if is_gang else random.choice((1000, 2000, 3000))
    first = Step(count, ResourceVector(cpu, 100), 1.0, is_gang=is_gang)
    world.submit(name, (first, Step(1, ResourceVector(1000, 100), 1.0, after=(0,))))
    kind = random.random()
    if kind < 0.15:
        world.deadly.add(TaskKey(name, 0, 0, random.randrange(count)))
    elif kind < 0.25:
        world.deadly_jobs.add(name)
