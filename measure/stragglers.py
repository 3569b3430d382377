"""Jobs in time with and without copies and restarts, under a load with heavy-tailed durations.

Run it with ``python -m measure.stragglers``. The same recorded load is scheduled four times in
virtual time: without copies and restarts, with either, and with both.

Assumptions of the simulation: a job has two steps, of up to 15 and up to 5 tasks; half of the jobs
allow copies. Clients' estimates are off by 20 to 90 %. 3 % of the runs take seven times as long as
usual; in a second load the factor belongs to the task, so that another run is as slow. 3 of 60
minions at a time work at an eighth of their speed, each for 20 s. A job is in time if it ends
within twice its longest chain of usual durations and 1 s. Work is processor time; the work of runs
that ended without success is wasted.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from dotterelhill.jobs.changes import SchedulerSettings, Switches
from dotterelhill.jobs.fleet import EndKind, EndReport, Minion, MinionFacts, MinionReport, RunReport
from dotterelhill.jobs.model import FINAL_STATES, JobState, Step, Submission, TaskKey
from dotterelhill.jobs.orders import StartOrder, StartOutcome, StopOrder
from dotterelhill.jobs.queues import FleetConfig, Queue
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.scheduler import Scheduler
from measure.report import Figure, figure_with_target

SEEDS = (1, 2)
SECONDS = 90.0
# Jobs that end before are not counted, since every leader has to learn first.
WARM_UP_SECONDS = 30.0
TICK_SECONDS = 0.1
START = 1000.0
MINIONS, CPU = 60, 8000
SLOW_MINIONS, SLOW_FACTOR, SLOW_SECONDS = 3, 8.0, 20.0
TAIL_SHARE, TAIL_FACTOR = 0.03, 7.0
LOAD_SHARE = 0.6
IMAGES = 12
STRETCH, TARGET_SECONDS = 2.0, 1.0
DEFAULT_SWITCHES = Switches()
QUEUE = Queue("load", "h", "/load/", "pool", 1, 4, STRETCH, TARGET_SECONDS)


@dataclass(frozen=True, slots=True)
class RecordedJob:
    """Job of the load.

    :param usual_seconds: usual duration of a task, by step
    """

    arrives_at: float
    submission: Submission
    usual_seconds: tuple[float, ...]

    @property
    def allowed_seconds(self) -> float:
        """Return the time within which the job has to end."""
        return STRETCH * sum(self.usual_seconds) + TARGET_SECONDS


def record_load(seed: int) -> list[RecordedJob]:
    """Return jobs that arrive at random times and use a share of the processors on average."""
    rng = Random(seed)
    usual = [rng.uniform(0.5, 3.0) for _ in range(IMAGES)]
    jobs: list[RecordedJob] = []
    work = 0.0
    while work < LOAD_SHARE * MINIONS * CPU / 1000.0 * SECONDS:
        images = [rng.randrange(IMAGES) for _ in range(2)]
        counts = (rng.randint(1, 15), rng.randint(1, 5))
        is_speculative = rng.random() < 0.5
        steps = []
        for number, image in enumerate(images):
            factor = 1.0 + rng.choice((-1.0, 1.0)) * rng.uniform(0.2, 0.9)
            step = Step(
                counts[number],
                ResourceVector(1000, 100),
                factor * usual[image],
                after=(0,) if number else (),
                image=f"image{image}",
                is_speculative=is_speculative,
            )
            steps.append(step)
            work += counts[number] * usual[image]
        at = rng.uniform(0.0, SECONDS)
        name = f"job{len(jobs)}"
        submission = Submission(name, QUEUE, int(1000 * (START + at)), "", tuple(steps))
        jobs.append(RecordedJob(at, submission, tuple(usual[image] for image in images)))
    jobs.sort(key=lambda job: job.arrives_at)
    return jobs


@dataclass(slots=True)
class SimulatedRun:
    """Run on a simulated minion.

    :param kind: how it ends if it is not stopped
    """

    run_id: int
    began_at: float
    ends_at: float
    kind: EndKind = EndKind.DONE


@dataclass(slots=True)
class Totals:
    """Results of one simulation; work in processor seconds."""

    counted: int = 0
    in_time: int = 0
    done_work: float = 0.0
    wasted_work: float = 0.0
    decisions: dict[str, int] = field(default_factory=dict)

    @property
    def in_time_share(self) -> float:
        """Return the share of the jobs that ended in time."""
        return self.in_time / self.counted

    @property
    def wasted_share(self) -> float:
        """Return the share of the work that was wasted."""
        return self.wasted_work / (self.done_work + self.wasted_work)


class Simulation:
    """Fleet in virtual time, on which a load is scheduled.

    :param is_tail_of_task: whether the factor of a straggler belongs to the task, not to the run
    :param switches: parts of the scheduler that are on
    """

    def __init__(
        self,
        load: list[RecordedJob],
        seed: int,
        *,
        are_copies_enabled: bool,
        are_restarts_enabled: bool,
        is_tail_of_task: bool,
        switches: Switches = DEFAULT_SWITCHES,
    ) -> None:
        self._load = load
        self._seed = seed
        self._is_tail_of_task = is_tail_of_task
        settings = SchedulerSettings(
            are_copies_enabled=are_copies_enabled,
            are_restarts_enabled=are_restarts_enabled,
            switches=switches,
        )
        self._scheduler = Scheduler(settings, START)
        self._scheduler.configure(FleetConfig(1, {QUEUE.name: QUEUE}))
        self._now = START
        self._by_id = {job.submission.job_id: job for job in load}
        self._runs: dict[str, dict[TaskKey, SimulatedRun]] = {}
        self._ends: dict[str, list[EndReport]] = {}
        self._totals = Totals()
        for number in range(MINIONS):
            self._list_minion(self._facts_of(number))

    def _facts_of(self, number: int) -> MinionFacts:
        """Return the properties of a minion."""
        name, room = f"minion{number}", ResourceVector(CPU, 64000)
        return MinionFacts(name, 1, QUEUE.service, f"{name}:1", "domain", (), room)

    def _list_minion(self, facts: MinionFacts) -> None:
        """Begin an incarnation of a minion, without runs."""
        self._runs[facts.minion_id] = {}
        self._ends[facts.minion_id] = []
        self._scheduler.update_minion(facts, self._now)

    def run(self) -> Totals:
        """Run the load to its end and return the results."""
        waiting = list(reversed(self._load))
        open_jobs: set[str] = set()
        while waiting or open_jobs:
            while waiting and START + waiting[-1].arrives_at <= self._now:
                job = waiting.pop()
                open_jobs.add(job.submission.job_id)
                self._scheduler.submit(job.submission, self._now)
            self._disturb()
            for minion in list(self._scheduler.minions.values()):
                self._report(minion)
            self._scheduler.plan(self._now, int(1000 * self._now))
            changes = self._scheduler.take_changes()
            for start in self._scheduler.commit(changes, self._now):
                self._start(start)
            for order in self._scheduler.take_orders():
                if isinstance(order, StopOrder):
                    self._stop(order)
            for decision in self._scheduler.take_decisions():
                counts = self._totals.decisions
                counts[decision.kind] = counts.get(decision.kind, 0) + 1
            for job_id in list(open_jobs):
                state = self._scheduler.state_of(job_id)
                if state in FINAL_STATES:
                    open_jobs.discard(job_id)
                    self._count(self._by_id[job_id], is_completed=state is JobState.COMPLETED)
            self._now += TICK_SECONDS
        return self._totals

    def _disturb(self) -> None:
        """Change the minions before a round."""

    def _count(self, job: RecordedJob, *, is_completed: bool) -> None:
        if job.arrives_at < WARM_UP_SECONDS:
            return
        is_in_time = self._now - START - job.arrives_at <= job.allowed_seconds
        self._totals.counted += 1
        self._totals.in_time += is_completed and is_in_time

    def _report(self, minion: Minion) -> None:
        runs, ends = self._runs[minion.minion_id], self._ends[minion.minion_id]
        for key, run in list(runs.items()):
            if run.ends_at <= self._now:
                self._end(minion, key, run.kind)
        rows = [RunReport(key, run.run_id, "", 100, None) for key, run in runs.items()]
        unread = [end for end in ends if end.number > minion.durable_end]
        minion.extend_lease(self._now, 6.0)
        report = MinionReport(
            minion.facts.born_ms, int(1000 * self._now), tuple(rows), tuple(unread)
        )
        self._scheduler.report(minion, report, self._now, self._now)

    def _start(self, order: StartOrder) -> None:
        name, key, run_id = order.minion.minion_id, order.run.key, order.run.run_id
        usual = self._by_id[key.job_id].usual_seconds[key.step]
        identity = str(key) if self._is_tail_of_task else f"{key}/{run_id}"
        rng = Random(f"{self._seed}/{identity}")
        seconds = usual * rng.uniform(0.85, 1.15)
        if rng.random() < TAIL_SHARE:
            seconds *= TAIL_FACTOR
        seconds *= self._slowness(name)
        self._runs[name][key] = SimulatedRun(run_id, self._now, self._now + seconds)
        clock_ms = int(1000 * self._now)
        outcome = StartOutcome.STARTED
        self._scheduler.start_answered(order.run, outcome, self._now, self._now, clock_ms)

    def _slowness(self, name: str) -> float:
        """Return the factor by which runs take longer on a minion that start now."""
        turn = int((self._now - START) / SLOW_SECONDS)
        slow = Random(f"{self._seed}/{turn}").sample(range(MINIONS), SLOW_MINIONS)
        return SLOW_FACTOR if name in {f"minion{number}" for number in slow} else 1.0

    def _stop(self, order: StopOrder) -> None:
        run = self._runs[order.minion.minion_id].get(order.key)
        if run is not None and run.run_id == order.run_id:
            self._end(order.minion, order.key, EndKind.STOPPED)

    def _end(self, minion: Minion, key: TaskKey, kind: EndKind) -> None:
        run = self._runs[minion.minion_id].pop(key)
        ends = self._ends[minion.minion_id]
        ends.append(EndReport(len(ends) + 1, key, run.run_id, kind, ""))
        if kind is EndKind.DONE:
            self._totals.done_work += self._now - run.began_at
        else:
            self._totals.wasted_work += self._now - run.began_at


def figures() -> Iterator[Figure]:
    """Yield the figures of each seed and kind of tail."""
    for seed in SEEDS:
        load = record_load(seed)
        for is_tail_of_task in (False, True):
            tail = "task" if is_tail_of_task else "run"
            results = {}
            for name, copies, restarts in (
                ("neither", False, False),
                ("copies", True, False),
                ("restarts", False, True),
                ("both", True, True),
            ):
                results[name] = Simulation(
                    load,
                    seed,
                    are_copies_enabled=copies,
                    are_restarts_enabled=restarts,
                    is_tail_of_task=is_tail_of_task,
                ).run()
            base = results["neither"]
            for name in ("copies", "restarts", "both"):
                result = results[name]
                copied = result.decisions.get("copy planned", 0)
                restarted = result.decisions.get("restart planned", 0)
                yield figure_with_target(
                    f"seed {seed}, factor of the {tail}, {name}: jobs in time of {base.counted}",
                    "no fewer than without",
                    f"without {100 * base.in_time_share:.1f} %",
                    f"{100 * result.in_time_share:.1f} % ({copied} copies, {restarted} restarts)",
                    is_met=result.in_time >= base.in_time,
                )
                yield figure_with_target(
                    f"seed {seed}, factor of the {tail}, {name}: work wasted",
                    "at most 5 %",
                    f"without {100 * base.wasted_share:.2f} %",
                    f"{100 * result.wasted_share:.2f} %",
                    is_met=result.wasted_share <= 0.05,
                )


if __name__ == "__main__":
    from measure.report import print_figures

    print_figures(figures())
