"""Memory of a leader, and time of a round, for each accepted job that has nothing to start.

Run it with ``python -m measure.accepted_cost``. The jobs are decoded from stored submissions, as a
leader does, and wait on a fleet without room, or have ended.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator

from dotterelhill.jobs.changes import SchedulerSettings
from dotterelhill.jobs.model import Schedule, Step, Submission
from dotterelhill.jobs.progress import decode_submission, encode_submission
from dotterelhill.jobs.queues import FleetConfig, Queue
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.scheduler import Scheduler
from measure.report import Figure, figure_without_target, print_figures

QUEUE = Queue("q", "h", "/q/", "pool", 0, 3, 2.0, 1.0)
JOBS = 400
ROUNDS = 20
UNIX_MS = 1_700_000_000_000
DAY_MS = 24 * 3600 * 1000
MINUTE_MS = 60_000
# Occurrences of a job that runs once a minute for two weeks.
OCCURRENCES = 19_900


def _step(number: int, count: int, image: str = "") -> Step:
    return Step(count, ResourceVector(1000, 100 + number), 1.0, image=image)


def _submission(number: int, steps: tuple[Step, ...], schedule: Schedule | None) -> Submission:
    return Submission(f"{number:016x}", QUEUE, UNIX_MS, "spec", steps, schedule)


def _waiting(number: int) -> Submission:
    return _submission(number, (_step(0, 1),), None)


def _many_steps(number: int) -> Submission:
    steps = tuple(_step(index, 1, f"image-{number}-{index}") for index in range(200))
    return _submission(number, steps, None)


def _large(number: int) -> Submission:
    return _submission(number, (_step(0, 20_000),), None)


def _scheduled(number: int) -> Submission:
    plan = Schedule(OCCURRENCES, UNIX_MS + DAY_MS, MINUTE_MS)
    return _submission(number, (_step(0, 1),), plan)


KINDS: dict[str, tuple[Callable[[int], Submission], bool]] = {
    "one waiting task": (_waiting, False),
    "200 steps of one task": (_many_steps, False),
    "one step of 20,000 tasks": (_large, False),
    "19,900 occurrences from tomorrow on": (_scheduled, False),
    "one task, ended": (_waiting, True),
}


def cost(new_submission: Callable[[int], Submission], *, is_ended: bool) -> tuple[float, float]:
    """Return the bytes and the seconds of a round of one accepted job.

    :param is_ended: whether the jobs have ended and are kept for their clients
    """
    scheduler = Scheduler(SchedulerSettings(), 0.0)
    scheduler.configure(FleetConfig(1, {"q": QUEUE}))
    stored = [encode_submission(new_submission(number)) for number in range(JOBS)]
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for data in stored:
        submission = decode_submission(data)
        scheduler.submit(submission, 0.0)
        if is_ended:
            scheduler.cancel(submission.job_id, 0.0)
    scheduler.plan(0.1, UNIX_MS)
    scheduler.take_decisions()
    scheduler.commit(scheduler.take_changes(), 0.1)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started = time.process_time()
    for number in range(ROUNDS):
        scheduler.plan(0.2 + 0.1 * number, UNIX_MS + 100 * number)
    seconds = (time.process_time() - started) / ROUNDS
    return (after - before) / JOBS, seconds / JOBS


def figures() -> Iterator[Figure]:
    """Yield the cost of each kind of accepted job."""
    for name, (new_submission, is_ended) in KINDS.items():
        size, seconds = cost(new_submission, is_ended=is_ended)
        yield figure_without_target(f"memory of a job with {name}", "KB", size / 1024.0)
        yield figure_without_target(f"round for a job with {name}", "us", 1e6 * seconds)


if __name__ == "__main__":
    print_figures(figures())
