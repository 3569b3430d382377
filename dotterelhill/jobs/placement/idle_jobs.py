"""Jobs of which few tasks run while others wait."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import chain

from dotterelhill.jobs.model import Step, TaskKey
from dotterelhill.jobs.placement.waiting import RankedJob, startable_steps

# On a slow leader, the start of a task takes about as long as a short run. With fewer runs, a job
# would have nothing running between the end of one task and the start of the next.
RUNS_OF_IDLE_JOB = 3


def idle_job_tasks(
    ranked: Sequence[RankedJob], unix_ms: int
) -> Iterator[tuple[RankedJob, Step, list[TaskKey]]]:
    """Yield the first startable step of each job with few runs, with its waiting tasks.

    Jobs that have nothing running come first, then those with one run, and so on.

    Lasting tasks are left out: they have claims of their own. So are gangs, which can't start in
    part.

    :param ranked: waiting jobs in the order in which they are considered
    :param unix_ms: wall-clock time in Unix ms, for the schedules of jobs
    """
    by_run_count: list[list[RankedJob]] = [[] for _ in range(RUNS_OF_IDLE_JOB)]
    for entry in ranked:
        count = entry[2].job.assigned_count(RUNS_OF_IDLE_JOB)
        if count < RUNS_OF_IDLE_JOB:
            by_run_count[count].append(entry)
    for entry in chain.from_iterable(by_run_count):
        _, queue, waiting = entry
        for step, keys in startable_steps(waiting, queue, unix_ms):
            if step.is_lasting or step.is_gang:
                continue
            yield entry, step, keys
            break
