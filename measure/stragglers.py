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
from random import Random

from dotterelhill.jobs.changes import SchedulerSettings, Switches
from dotterelhill.jobs.model import Step, Submission
from dotterelhill.jobs.orders import StartOrder
from dotterelhill.jobs.queues import Queue
from dotterelhill.jobs.resources import ResourceVector
from measure.report import Figure, figure_with_target
from measure.simulation import START, FleetSimulation, RecordedJob

SEEDS = (1, 2)
SECONDS = 90.0
# Jobs that end before are not counted, since every leader has to learn first.
WARM_UP_SECONDS = 30.0
MINIONS, CPU = 60, 8000
SLOW_MINIONS, SLOW_FACTOR, SLOW_SECONDS = 3, 8.0, 20.0
TAIL_SHARE, TAIL_FACTOR = 0.03, 7.0
LOAD_SHARE = 0.6
IMAGES = 12
STRETCH, TARGET_SECONDS = 2.0, 1.0
DEFAULT_SWITCHES = Switches()
QUEUE = Queue("load", "h", "/load/", "pool", 1, 4, STRETCH, TARGET_SECONDS)


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


class Simulation(FleetSimulation):
    """Fleet with stragglers and slow minions.

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
        settings = SchedulerSettings(
            are_copies_enabled=are_copies_enabled,
            are_restarts_enabled=are_restarts_enabled,
            switches=switches,
        )
        super().__init__(load, settings, [QUEUE], MINIONS, CPU)
        self._seed = seed
        self._is_tail_of_task = is_tail_of_task
        self.counted = 0
        self.in_time = 0

    @property
    def in_time_share(self) -> float:
        """Return the share of the jobs that ended in time."""
        return self.in_time / self.counted

    def record_completion(self, job: RecordedJob) -> None:
        """Count a job that arrived after the warm-up, and whether it is in time."""
        if job.arrives_at < WARM_UP_SECONDS:
            return
        self.counted += 1
        self.in_time += self.now - START - job.arrives_at <= job.allowed_seconds

    def run_seconds(self, order: StartOrder, usual_seconds: float) -> float:
        """Return the usual duration with noise, longer for stragglers and on slow minions."""
        key = order.run.key
        identity = str(key) if self._is_tail_of_task else f"{key}/{order.run.run_id}"
        rng = Random(f"{self._seed}/{identity}")
        seconds = usual_seconds * rng.uniform(0.85, 1.15)
        if rng.random() < TAIL_SHARE:
            seconds *= TAIL_FACTOR
        return seconds * self.slowness(order.minion.minion_id)

    def slowness(self, name: str) -> float:
        """Return the factor by which runs take longer that now start on a minion."""
        turn = int((self.now - START) / SLOW_SECONDS)
        slow = Random(f"{self._seed}/{turn}").sample(range(MINIONS), SLOW_MINIONS)
        return SLOW_FACTOR if name in {f"minion{number}" for number in slow} else 1.0


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
                )
                results[name].simulate()
            base = results["neither"]
            for name in ("copies", "restarts", "both"):
                result = results[name]
                copied = result.work.decisions.get("copy planned", 0)
                restarted = result.work.decisions.get("restart planned", 0)
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
                    f"without {100 * base.work.wasted_share:.2f} %",
                    f"{100 * result.work.wasted_share:.2f} %",
                    is_met=result.work.wasted_share <= 0.05,
                )


if __name__ == "__main__":
    from measure.report import print_figures

    print_figures(figures())
