"""Random histories of minions that shrink and grow, judged by what the minions themselves run."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from dotterelhill.jobs.fleet import EndKind, MinionReport, RunReport
from dotterelhill.jobs.model import FINAL_STATES, Step, TaskKey
from dotterelhill.jobs.orders import StartOrder, StartOutcome, StopOrder
from dotterelhill.jobs.progress import encode_progress
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tests.fleet_world import CAPACITY_VALID_SECONDS, HOLD_SECONDS, FleetWorld

STABILITY_SECONDS = 4.0
HEARTBEAT_SECONDS = 1.1
LIST_INTERVAL_SECONDS = 0.5
STOP_SECONDS = 0.2
TICK_SECONDS = 0.1
CALM_SECONDS = 13.0
MINIONS = ("m1", "m2", "m3")
SIZES = (
    ResourceVector(0, 1000, 0),
    ResourceVector(1000, 1000, 0),
    ResourceVector(2000, 500, 1),
    ResourceVector(4000, 1000, 1),
    ResourceVector(4000, 300, 2),
    ResourceVector(8000, 2000, 2),
)
STEPS = (
    Step(3, ResourceVector(1000, 100), 1.0),
    Step(2, ResourceVector(2000, 200, 1), 1.0),
    Step(2, ResourceVector(2000, 100), 1.0, is_lasting=True, image="web", target_tail_ms=50),
    Step(1, ResourceVector(1000, 100, 1), 1.0, is_lasting=True, image="web", target_tail_ms=50),
    Step(3, ResourceVector(1000, 200), 1.0, is_filler=True, image="print", is_checkpointing=True),
    Step(2, ResourceVector(500, 100, 1), 1.0, is_filler=True, image="print"),
    Step(3, ResourceVector(2000, 200), 1.0, is_gang=True),
)


@dataclass(slots=True)
class PresentRun:
    """Run on a minion; ``ends_at`` and ``kind`` say when and how it ends."""

    run_id: int
    step: Step
    ends_at: float
    kind: EndKind


@dataclass(slots=True)
class TrueMinion:
    """State of a minion as it is, which the scheduler learns late or never.

    :param sizes: loop time and value of each capacity, the newest last
    :param entry: capacity in its entry
    :param next_entry_at: loop time at which it writes its entry again
    :param refused: highest run that was stopped or ended, by task
    :param late_starts: loop times and orders of starts that are still under way
    """

    sizes: list[tuple[float, ResourceVector]]
    entry: ResourceVector
    next_entry_at: float
    runs: dict[TaskKey, PresentRun] = field(default_factory=dict)
    refused: dict[TaskKey, int] = field(default_factory=dict)
    late_starts: list[tuple[float, StartOrder]] = field(default_factory=list)

    def room(self, since: float) -> ResourceVector:
        """Return the largest amount of each resource that the minion had from ``since`` on."""
        room = self.sizes[-1][1]
        ends_at = float("inf")
        for at, size in reversed(self.sizes):
            if ends_at <= since:
                break
            room = ResourceVector(
                max(room.cpu, size.cpu),
                max(room.memory_mb, size.memory_mb),
                max(room.gpu, size.gpu),
            )
            ends_at = at
        return room

    def reserved(self) -> ResourceVector:
        """Return what all present runs reserve, also those that are being stopped."""
        total = ResourceVector()
        for run in self.runs.values():
            total = total.plus(run.step.reserved_resources)
        return total


class CapacityWorld(FleetWorld):
    """Fleet whose minions change their capacity, lose answers and carry orders out late.

    :param rng: source of all random choices
    """

    # Times that a write of a plan takes, one of which is chosen for each.
    WRITE_SECONDS = (0.0, 0.0, 0.1, 0.4, 3.0)

    def __init__(self, rng: Random) -> None:
        super().__init__()
        self.rng = rng
        self.true: dict[str, TrueMinion] = {}
        self.list_read_at = self.now
        self.list_silent_until = 0.0
        self.commit_at: float | None = None
        self.job_count = self.start_count = self.shrink_count = 0
        self.is_calm = False
        self.away_since: dict[TaskKey, float] = {}
        self.room_since: dict[Step, float] = {}
        self.longest_wait_seconds = 0.0
        # Jobs of which a minion has begun a task, and those that counted as begun before.
        self.begun_jobs: set[str] = set()
        self.wrongly_begun_jobs: set[str] = set()
        for name in MINIONS:
            next_entry_at = self.now + rng.uniform(0.0, HEARTBEAT_SECONDS)
            self.true[name] = TrueMinion([(self.now, SIZES[5])], SIZES[5], next_entry_at)
            self.list_size(name, SIZES[5])

    def list_size(self, name: str, size: ResourceVector) -> None:
        self.list_minion(name, size.cpu, memory_mb=size.memory_mb, gpu=size.gpu)

    def read_list(self) -> None:
        if hasattr(self, "list_read_at"):
            self.scheduler.record_minion_list(self.list_read_at)

    def run(self, seconds: float) -> None:
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.step()

    def calm_down(self) -> None:
        """End all disturbances and give each minion its full capacity again.

        No run fails any more either, since a minion on which runs fail is set aside for a while.
        """
        self.is_calm = True
        self.list_silent_until = 0.0
        for minion in self.true.values():
            minion.sizes.append((self.now, SIZES[-1]))
            for run in minion.runs.values():
                run.kind = EndKind.DONE

    def has_chance(self, probability: float) -> bool:
        """Return whether a disturbance happens, which it does only before the calm."""
        return not self.is_calm and self.rng.random() < probability

    def step(self) -> None:
        rng = self.rng
        self.now += TICK_SECONDS
        for name, minion in self.true.items():
            self.advance_minion(name, minion)
            if self.has_chance(0.06):
                self.resize(name, minion)
            if self.now >= minion.next_entry_at:
                minion.entry = minion.sizes[-1][1]
                minion.next_entry_at += HEARTBEAT_SECONDS
        if rng.random() < 0.3 and self.job_count < 60:
            self.submit_random_job()
        if self.has_chance(0.02):
            self.list_silent_until = self.now + rng.choice((0.5, 2.0, 8.0))
        if rng.random() < 0.03 and self.submitted:
            self.scheduler.cancel(rng.choice(self.submitted).job_id, self.now)
        if self.now >= max(self.list_silent_until, self.list_read_at + LIST_INTERVAL_SECONDS):
            self.read_entries()
        self.report_minions()
        if self.has_chance(0.01):
            self.replace_leader()
        self.plan_or_commit()
        self.deliver_stops()
        self.watch_lasting_tasks()
        self.watch_waiting_jobs()

    def watch_waiting_jobs(self) -> None:
        """Record the jobs that don't count as waiting although no task has begun."""
        for job_id, job in self.scheduler.jobs.items():
            if job.has_begun and job_id not in self.begun_jobs:
                self.wrongly_begun_jobs.add(job_id)

    def begun_jobs_that_wait(self) -> list[str]:
        """Return the jobs that count as waiting although a task has begun."""
        return [
            job_id
            for job_id, job in self.scheduler.jobs.items()
            if job_id in self.begun_jobs and not job.is_ended and not job.has_begun
        ]

    def watch_lasting_tasks(self) -> None:
        """Measure how long lasting tasks are away while two of their size would fit."""
        if not self.is_calm:
            return
        for step in STEPS:
            room = step.room.plus(step.room)
            if any(
                minion.sizes[-1][1].is_enough_for(minion.reserved().plus(room))
                for minion in self.true.values()
            ):
                self.room_since.setdefault(step, self.now)
            else:
                self.room_since.pop(step, None)
        for submission in self.submitted:
            step = submission.steps[0]
            job = self.scheduler.jobs.get(submission.job_id)
            is_wanted = step.is_lasting and job is not None and job.state not in FINAL_STATES
            for index in range(step.count):
                key = TaskKey(submission.job_id, 0, 0, index)
                is_running = any(key in minion.runs for minion in self.true.values())
                if not is_wanted or is_running:
                    self.away_since.pop(key, None)
                    continue
                away_since = self.away_since.setdefault(key, self.now)
                waited = self.now - max(away_since, self.room_since.get(step, self.now))
                self.longest_wait_seconds = max(self.longest_wait_seconds, waited)

    def resize(self, name: str, minion: TrueMinion) -> None:
        size = self.rng.choice(SIZES)
        self.shrink_count += not size.is_enough_for(minion.sizes[-1][1])
        minion.sizes.append((self.now, size))
        if self.rng.random() < 0.5:
            minion.entry = size

    def read_entries(self) -> None:
        self.list_read_at = self.now
        for name, minion in self.true.items():
            self.list_size(name, minion.entry)

    def submit_random_job(self) -> None:
        self.job_count += 1
        queue = self.rng.choice(("short", "long"))
        self.submit(f"j{self.job_count}", (self.rng.choice(STEPS),), queue)

    def advance_minion(self, name: str, minion: TrueMinion) -> None:
        for at, order in list(minion.late_starts):
            if at <= self.now:
                minion.late_starts.remove((at, order))
                self.carry_out(order, minion, order.run.planned_at, is_late=True)
        for key, run in list(minion.runs.items()):
            if run.ends_at > self.now:
                continue
            self.running[name][key] = run.run_id
            self.end(name, key, run.kind)
            minion.refused[key] = max(run.run_id, minion.refused.get(key, 0))
            del minion.runs[key]

    def report_minions(self) -> None:
        for name, state in list(self.scheduler.minions.items()):
            if self.has_chance(0.4):
                continue
            true = self.true[name]
            if not state.is_synced:
                # The fencing token of this leader makes the orders of earlier ones void.
                true.late_starts.clear()
            rows = []
            for key, run in true.runs.items():
                measure = 30.0 if run.step.is_lasting else float(run.step.room.cpu)
                rows.append(RunReport(key, run.run_id, "", 100, measure))
            ends = tuple(end for end in self.ends[name] if end.number > state.durable_end)
            state.extend_lease(self.now, HOLD_SECONDS)
            report = MinionReport(1, int(1000 * self.now), tuple(rows), ends)
            self.scheduler.report(state, report, self.now, self.now)

    def plan_or_commit(self) -> None:
        if self.commit_at is None:
            self.plan()
            write_seconds = self.rng.choice(self.WRITE_SECONDS)
            self.commit_at = self.now + (0.0 if self.is_calm else write_seconds)
        if self.now < self.commit_at:
            return
        self.commit_at = None
        for order in self.commit():
            self.check_known_capacity(order)
            self.send(order)

    def check_known_capacity(self, order: StartOrder) -> None:
        minion = order.minion
        assert minion.facts.capacity.is_enough_for(minion.used), (order.run, minion)
        assert self.now - self.list_read_at <= CAPACITY_VALID_SECONDS, (order.run, self.now)

    def send(self, order: StartOrder) -> None:
        minion = self.true[order.minion.minion_id]
        fate = 0.0 if self.is_calm else self.rng.random()
        if fate < 0.8:
            self.carry_out(order, minion, self.now)
            self.scheduler.start_answered(order.run, StartOutcome.STARTED, self.now, self.now)
            return
        if fate < 0.87:
            self.carry_out(order, minion, self.now)
        elif fate < 0.94:
            minion.late_starts.append((self.now + self.rng.uniform(0.2, 2.0), order))
        self.scheduler.start_answered(order.run, StartOutcome.UNKNOWN, self.now, self.now)

    def carry_out(
        self, order: StartOrder, minion: TrueMinion, sent_at: float, *, is_late: bool = False
    ) -> None:
        run = order.run
        if run.run_id <= minion.refused.get(run.key, 0) or run.key in minion.runs:
            return
        self.start_count += 1
        self.begun_jobs.add(run.key.job_id)
        kind = EndKind.FAILED if self.has_chance(0.33) else EndKind.DONE
        ends_at = self.now + self.rng.choice((0.3, 1.0, 4.0, 15.0))
        minion.runs[run.key] = PresentRun(run.run_id, run.step, ends_at, kind)
        judged_at = sent_at if is_late else self.now
        room = minion.room(judged_at - STABILITY_SECONDS - HEARTBEAT_SECONDS)
        reserved = minion.reserved()
        assert room.is_enough_for(reserved), (run, self.now, reserved, room)

    def deliver_stops(self) -> None:
        self.take_orders()
        stops, self.stops = self.stops, []
        for order in stops:
            if not self.has_chance(0.2):
                self.stop(order)

    def stop(self, order: StopOrder) -> None:
        minion = self.true[order.minion.minion_id]
        run = minion.runs.get(order.key)
        if run is not None and run.run_id == order.run_id:
            run.ends_at = min(run.ends_at, self.now + STOP_SECONDS)
            run.kind = EndKind.STOPPED
        minion.refused[order.key] = max(order.run_id, minion.refused.get(order.key, 0))
        if not self.has_chance(0.2):
            self.scheduler.stop_answered(order.minion, order.key, order.run_id, self.now)

    def replace_leader(self) -> None:
        """Let a new leader load the stored state, with or without the newest plan."""
        if self.now < self.list_silent_until:
            return
        if self.commit_at is not None and self.rng.random() < 0.5:
            for job in self.changes.jobs:
                self.stored[job.job_id] = encode_progress(job)
        self.commit_at = None
        self.read_entries()
        self.take_over()


def run_history(seed: int, seconds: float) -> CapacityWorld:
    """Return the world after a random history and a calm, in which nothing disturbs it.

    :raises AssertionError: at a start beyond the room of its minion
    """
    world = CapacityWorld(Random(seed))
    world.run(seconds)
    world.calm_down()
    world.run(CALM_SECONDS)
    return world
