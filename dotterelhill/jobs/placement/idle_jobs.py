"""Jobs that have nothing running while their tasks wait."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from dotterelhill.jobs.model import Step, TaskKey
from dotterelhill.jobs.placement.waiting import RankedJob, startable_steps


def idle_job_tasks(
    ranked: Sequence[RankedJob], unix_ms: int
) -> Iterator[tuple[RankedJob, Step, list[TaskKey]]]:
    """Yield the first startable step of each job that has nothing running, with its waiting tasks.

    Lasting tasks are left out: they have claims of their own. So are gangs, which can't start in
    part.

    :param ranked: waiting jobs in the order in which they are considered
    :param unix_ms: wall-clock time in Unix ms, for the schedules of jobs
    """
    for entry in ranked:
        _, queue, waiting = entry
        if waiting.job.has_assigned_task:
            continue
        for step, keys in startable_steps(waiting, queue, unix_ms):
            if step.is_lasting or step.is_gang:
                continue
            yield entry, step, keys
            break
