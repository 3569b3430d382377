"""Fleet on which runs take given times, and streams of tasks that keep it full."""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random

from dotterelhill.jobs.changes import Switches
from dotterelhill.jobs.fleet import EndKind
from dotterelhill.jobs.model import Step, TaskKey
from dotterelhill.jobs.orders import StartOrder, StartOutcome
from dotterelhill.jobs.placement.placement import UNLIMITED_STARTS
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tests.fleet_world import FleetWorld

# Otherwise tasks that fill a minion end all at once.
SPREAD = 0.4


@dataclass(slots=True)
class Stream:
    """Jobs of one task each, of which some always wait.

    :param seconds: mean duration of a task
    :param factor: factor by which a task takes more or less
    """

    name: str
    step: Step
    seconds: float
    queue: str
    waiting: int
    factor: int = 1
    submitted: int = 0


class LoadWorld(FleetWorld):
    """Fleet whose runs end by themselves.

    :param is_look_ahead: whether look-ahead placement is on
    """

    def __init__(self, *, is_look_ahead: bool) -> None:
        super().__init__()
        switches = Switches(look_ahead=is_look_ahead)
        self.settings = replace(self.settings, switches=switches)
        self.scheduler = self._new_scheduler()
        self.configure()
        self.seconds: dict[str, float] = {}
        self.ends_at: dict[TaskKey, float] = {}
        self.streams: list[Stream] = []
        self.max_starts = UNLIMITED_STARTS
        self.submitted_at: dict[str, float] = {}
        self.starts: list[tuple[float, StartOrder]] = []

    def add_job(self, name: str, step: Step, seconds: float, queue: str) -> None:
        self.seconds[name] = seconds
        self.submitted_at[name] = self.now
        self.submit(name, (step,), queue)

    def run_for(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until - 0.01:
            self._end_runs()
            for stream in self.streams:
                self._refill(stream)
            self._record(self.run_round())

    def plan(self, max_starts: int = UNLIMITED_STARTS) -> None:
        super().plan(min(max_starts, self.max_starts))

    def _end_runs(self) -> None:
        for name, runs in self.running.items():
            for key in [key for key in runs if self.ends_at.get(key, 0.0) <= self.now]:
                self.end(name, key, EndKind.DONE)

    def _refill(self, stream: Stream) -> None:
        started = {order.run.key.job_id for _, order in self.starts}
        prefix = f"{stream.name}-"
        waiting = stream.submitted - sum(job.startswith(prefix) for job in started)
        for _ in range(stream.waiting - waiting):
            name = f"{prefix}{stream.submitted}"
            stream.submitted += 1
            rng = Random(name)
            seconds = stream.seconds * rng.uniform(1 - SPREAD, 1 + SPREAD)
            seconds *= stream.factor ** rng.choice((-1, 1))
            self.add_job(name, stream.step, seconds, stream.queue)

    def _record(self, orders: list[StartOrder]) -> None:
        for order in orders:
            self.starts.append((self.now, order))
            self.ends_at[order.run.key] = self.now + self.seconds[order.run.key.job_id] - 0.05

    def deliver(self, orders: list[StartOrder], outcome: StartOutcome) -> None:
        sent = [order for order in orders if order.minion.minion_id not in self.silent]
        super().deliver(sent, outcome)

    def wait_of(self, job: str) -> float:
        """Return the time from the submission of a job to its first start; infinity for none."""
        for at, order in self.starts:
            if order.run.key.job_id == job:
                return at - self.submitted_at[job]
        return float("inf")


def step_of(cpu: float, estimate_seconds: float, count: int = 1, **changes: object) -> Step:
    room = ResourceVector(int(1000 * cpu), 100)
    return replace(Step(count, room, estimate_seconds, image=f"image{cpu}"), **changes)
