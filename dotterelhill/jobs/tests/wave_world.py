"""Random histories in which waves of crashes and new leaders meet fillers without headroom."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from dotterelhill.jobs.model import Job, Step, TaskKey
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tests.crash_world import CrashWorld

WARM_UP_SECONDS = 3.0
SUBMISSION_SECONDS = 14.0
WAVES_SECONDS = 25.0
CALM_SECONDS = 18.0
# Leases of silent minions have ended, and nothing was submitted for long enough.
SETTLED_SECONDS = 7.0
MAX_USED_SHARE = 0.5
NO_HEADROOM_TAIL_MS = 46.0


@dataclass
class WaveHistory:
    """Outcome of one history.

    :param crash_count: number of crashes of minions
    :param longest_waits: longest time by job for which a task of it could start in vain, once all
        is calm
    :param inconsistent: what was found wrong with the state of tasks, by time
    """

    crash_count: int = 0
    longest_waits: dict[str, float] = field(default_factory=dict)
    inconsistent: list[str] = field(default_factory=list)


def play_waves(seed: int) -> WaveHistory:
    """Play a random history and return its outcome."""
    random = Random(seed)
    world = CrashWorld()
    world.work_seconds = random.choice((0.3, 1.0, 3.0))
    names = [f"m{number}" for number in range(random.randint(6, 14))]
    for number, name in enumerate(names):
        world.list_minion(name, 32000, domain=f"d{number % 3}")
    if random.random() < 0.7:
        submit_serving_tasks(world, len(names), random.choice((NO_HEADROOM_TAIL_MS, 30.0, 15.0)))
    world.run_seconds(WARM_UP_SECONDS)
    world.down_seconds = random.choice((1.0, 2.0, 7.0))
    world.is_entry_removed = random.random() < 0.5
    world.is_report_before_crash = random.random() < 0.5
    history = WaveHistory()
    _play_waves(world, random, names, history)
    _measure_waits(world, history)
    history.crash_count = world.crash_count
    return history


def submit_serving_tasks(world: CrashWorld, count: int, tail_ms: float) -> None:
    """Submit a job with one serving task for each minion, all with the same tail."""
    step = Step(
        count,
        ResourceVector(2000, 100),
        1.0,
        is_lasting=True,
        image="web",
        target_tail_ms=50,
        anti_affinity=1,
    )
    world.submit("serving", (step,))
    for index in range(count):
        world.tails[TaskKey("serving", 0, 0, index)] = tail_ms


def _play_waves(world: CrashWorld, random: Random, names: list[str], history: WaveHistory) -> None:
    start = world.now
    wave_at = start + random.uniform(1.0, 6.0)
    leader_at = start + random.uniform(2.0, 20.0)
    number = 0
    while world.now < start + WAVES_SECONDS:
        if world.now < start + SUBMISSION_SECONDS and random.random() < 0.5:
            _submit_random_job(world, random, f"j{number}")
            number += 1
        if world.now >= wave_at:
            wave_at = world.now + random.choice((2.1, 6.0, 6.0))
            for name in random.sample(names, len(names) // random.choice((2, 3))):
                world.crash(name)
        if world.now >= leader_at:
            leader_at = world.now + random.uniform(3.0, 20.0)
            world.take_over()
        world.run_crash_round()
        history.inconsistent += _inconsistent_tasks(world)


def _submit_random_job(world: CrashWorld, random: Random, name: str) -> None:
    kind = random.choice(("short", "filler", "filler", "checkpointing", "lasting", "steps"))
    count = random.choice((1, 1, 2, 4))
    step = Step(
        count,
        ResourceVector(random.choice((1000, 2000, 3000, 7000)), 100),
        1.0,
        is_lasting=kind == "lasting",
        is_filler=kind in ("filler", "checkpointing", "steps"),
        is_checkpointing=kind == "checkpointing",
        image=random.choice(("print", "scan")),
        # No minion has the label, so some jobs can never start.
        required_label="missing" if kind != "steps" and random.random() < 0.25 else "",
    )
    if kind == "steps":
        steps = (Step(2, ResourceVector(1000, 100), 1.0), _following(step))
    else:
        steps = (step,)
    world.submit(name, steps, random.choice(("short", "long")))


def _following(step: Step) -> Step:
    return Step(step.count, step.room, 1.0, after=(0,), is_filler=True, image=step.image)


def _measure_waits(world: CrashWorld, history: WaveHistory) -> None:
    """Measure the waits of jobs that have nothing running, and of lasting tasks."""
    calm_at = world.now
    since: dict[str, float] = {}
    while world.now < calm_at + CALM_SECONDS:
        world.run_crash_round()
        history.inconsistent += _inconsistent_tasks(world)
        if world.now < calm_at + SETTLED_SECONDS:
            continue
        running = {key for runs in world.running.values() for key in runs}
        running_jobs = {key.job_id for key in running}
        is_idle = _used_share(world) < MAX_USED_SHARE
        for job_id, job in world.scheduler.jobs.items():
            has_turn = any(
                (step.is_lasting or job_id not in running_jobs) and _has_room_twice(world, step)
                for step, key in _startable_tasks(job)
                if key not in running
            )
            if not has_turn or not is_idle:
                since.pop(job_id, None)
                continue
            waited = world.now - since.setdefault(job_id, world.now)
            history.longest_waits[job_id] = max(waited, history.longest_waits.get(job_id, 0.0))


def _startable_tasks(job: Job) -> Iterator[tuple[Step, TaskKey]]:
    """Yield the tasks of a job that are not done and whose steps are ready."""
    if job.is_ended:
        return
    for number, step in enumerate(job.submission.steps):
        if not job.is_step_ready(0, number):
            continue
        for index in range(step.count):
            key = TaskKey(job.job_id, 0, number, index)
            task = job.tasks.get(key)
            if task is None or not task.is_done:
                yield step, key


def _used_share(world: CrashWorld) -> float:
    capacity = used = 0.0
    for minion in world.scheduler.minions.values():
        if minion.is_listed and minion.is_answering:
            capacity += minion.facts.capacity.cpu
            used += minion.used.cpu + minion.filler_cpu
    return used / capacity if capacity else 1.0


def _has_room_twice(world: CrashWorld, step: Step) -> bool:
    """Return whether two tasks of a step fit on the minions, beside the fillers that run there."""
    count = 0
    for minion in world.scheduler.minions.values():
        if not (minion.is_listed and minion.is_answering):
            continue
        if step.required_label and step.required_label not in minion.facts.labels:
            continue
        idle_cpu = minion.free_cpu - minion.filler_cpu
        count += max(0, int(idle_cpu // step.room.cpu))
    return count >= 2


def _inconsistent_tasks(world: CrashWorld) -> list[str]:
    """Return the tasks that are assigned to no run, and the runs to which no task is assigned."""
    scheduler = world.scheduler
    listed = {(one.minion_id, one.facts.born_ms): one for one in scheduler.minions.values()}
    found = []
    for job in scheduler.jobs.values():
        for task in job.tasks.values():
            for assignment in task.assignments:
                minion = listed.get((assignment.minion_id, assignment.born_ms))
                run = minion.runs.get(task.key) if minion is not None else None
                # A run of an incarnation that is not listed ends with the lease under a new leader.
                if minion is not None and (run is None or run.run_id != assignment.run_id):
                    found.append(f"{world.now:.1f}: {task.key} is assigned to no run")
    for minion in scheduler.minions.values():
        for key, run in minion.runs.items():
            job = scheduler.jobs.get(key.job_id)
            if job is not None and not job.task(key).assignment_of(minion.minion_id, run.run_id):
                found.append(f"{world.now:.1f}: {key} has a run but is not assigned to it")
    return found
