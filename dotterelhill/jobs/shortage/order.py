"""Order of the jobs of one priority in a shortage, and when a shortage begins and ends."""

from __future__ import annotations

from collections.abc import Mapping
from math import floor, log

from dotterelhill.jobs.model import Timeliness
from dotterelhill.jobs.placement.waiting import RankKey
from dotterelhill.jobs.shortage.demand import TrackedJob
from dotterelhill.jobs.shortage.finish import QueueOutlook

# A queue enters shortage above the first share of late jobs and leaves it below the second.
ENTER_SHARE, LEAVE_SHARE = 0.25, 0.125
# The share of fewer jobs says little.
MIN_WAITING_JOBS = 4
BASE_VALUE, WORK_VALUE, MAX_VALUE = 0.3, 0.7, 4.0
# Ratios within this factor count as equal.
EQUAL_RATIO = 1.2
MIN_WORK = 0.001
BELOW_FLOOR = -1
# Slack counts from the origin of the ranking; it has to stay a fraction of a step for years.
SLACK_WEIGHT = 1e-9


class ShortageState:
    """Queues in shortage."""

    def __init__(self) -> None:
        self.queues: frozenset[str] = frozenset()

    def update(self, outlooks: Mapping[str, QueueOutlook]) -> frozenset[str]:
        """Find the queues in shortage anew and return those that entered or left it."""
        found = set()
        for name, outlook in outlooks.items():
            if not outlook.waiting:
                continue
            share = outlook.late / outlook.waiting
            if name in self.queues:
                is_short = share >= LEAVE_SHARE
            else:
                is_short = share > ENTER_SHARE and outlook.waiting >= MIN_WAITING_JOBS
            if is_short:
                found.add(name)
        changed = self.queues ^ found
        self.queues = frozenset(found)
        return changed


def value_of(work: float, mean_work: float) -> float:
    """Return the value of a job relative to one with the mean work of its queue.

    >>> value_of(2.0, 2.0), value_of(1000.0, 2.0)
    (1.0, 4.0)
    """
    if mean_work <= 0.0:
        return BASE_VALUE + WORK_VALUE
    return min(MAX_VALUE, BASE_VALUE + WORK_VALUE * work / mean_work)


def shortage_key(job: TrackedJob, key: RankKey, mean_work: float, *, is_below: bool) -> RankKey:
    """Return the rank of a job whose priority is in shortage.

    :param key: rank outside a shortage
    :param is_below: whether the job belongs to a group below its floor
    """
    priority, timeliness, slack, sequence = key
    if timeliness != Timeliness.IN_TIME:
        return key
    ratio = value_of(job.total_work, mean_work) / max(MIN_WORK, job.left_work)
    # Jobs that have begun, or whose first start is on its way, come first within one step of the
    # ratio. Among the others, the least slack first would let each job make the next one late.
    step = 2.0 * floor(log(ratio, EQUAL_RATIO))
    begun = job.job.has_begun or job.job.has_assigned_task
    tie = SLACK_WEIGHT * slack
    number = -step - begun - tie
    return (priority, BELOW_FLOOR if is_below else timeliness, number, sequence)
