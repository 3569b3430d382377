"""Floors: groups of jobs of which too few were served in time lately go first.

Queues of a service and failure domains of callers are compared with the mean over their kind, the
large jobs of a queue with the whole queue.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from math import exp
from typing import NamedTuple

from dotterelhill.jobs.shortage.demand import TrackedJob

SHARE_DECAY_SECONDS = 20.0
FLOOR_OF_MEAN = 0.5
# A share over fewer jobs says little.
MIN_DECIDED = 3.0
# Largest tenth of the jobs of a queue by work, and the fifth below it.
TENTH_QUANTILE, FIFTH_QUANTILE = 0.9, 0.7
SIZE_SAMPLE = 200


class Group(NamedTuple):
    """Group of jobs.

    :param scope: what it is compared within: a service and kind, or a queue
    :param name: queue, failure domain, or size class
    """

    scope: str
    name: str


@dataclass(slots=True)
class ServedShare:
    """Decayed share of jobs that were served in time."""

    decided: float = 0.0
    served: float = 0.0
    _at: float = 0.0

    def add(self, now: float, *, is_served: bool) -> None:
        """Count a job of which it is decided whether it is in time."""
        self.advance(now)
        self.decided += 1.0
        self.served += is_served

    def advance(self, now: float) -> None:
        """Let the counts decay until a time."""
        factor = exp((self._at - now) / SHARE_DECAY_SECONDS)
        self.decided *= factor
        self.served *= factor
        self._at = now

    @property
    def share(self) -> float:
        """Return the share; 1 while too few jobs are decided."""
        return self.served / self.decided if self.decided >= MIN_DECIDED else 1.0


@dataclass(slots=True)
class _Sizes:
    """Work of the newest jobs of a queue, and the bounds of its size classes."""

    works: deque[float] = field(default_factory=lambda: deque(maxlen=SIZE_SAMPLE))
    tenth: float = float("inf")
    fifth: float = float("inf")

    def set_bounds(self) -> None:
        ordered = sorted(self.works)
        if ordered and ordered[0] < ordered[-1]:
            self.tenth = ordered[int(TENTH_QUANTILE * len(ordered))]
            self.fifth = ordered[int(FIFTH_QUANTILE * len(ordered))]

    def class_of(self, work: float) -> str:
        if work < self.fifth:
            return ""
        return "tenth" if work >= self.tenth else "fifth"


class Floors:
    """Shares of jobs served in time, and the groups that are below their floor."""

    def __init__(self) -> None:
        self._shares: dict[Group, ServedShare] = {}
        self._sizes: dict[str, _Sizes] = {}
        self._below: frozenset[Group] = frozenset()

    @property
    def below(self) -> frozenset[Group]:
        """Return the groups that were below their floor at the newest update."""
        return self._below

    def learn(self, job: TrackedJob) -> None:
        """Take in the size of a job that has just arrived."""
        self._sizes.setdefault(job.queue.name, _Sizes()).works.append(job.total_work)

    def record(self, job: TrackedJob, now: float, *, is_served: bool) -> None:
        """Count a job of which it is decided whether it is in time."""
        for group in self._groups_of(job):
            self._shares.setdefault(group, ServedShare()).add(now, is_served=is_served)

    def is_below(self, job: TrackedJob) -> bool:
        """Return whether a job belongs to a group below its floor."""
        return bool(self._below) and any(group in self._below for group in self._groups_of(job))

    def update(self, now: float) -> None:
        """Find the groups below their floor anew."""
        for sizes in self._sizes.values():
            sizes.set_bounds()
        scopes: dict[str, dict[Group, ServedShare]] = {}
        for group, served in list(self._shares.items()):
            served.advance(now)
            if served.decided < MIN_DECIDED / SIZE_SAMPLE:
                del self._shares[group]
            elif served.decided >= MIN_DECIDED:
                scopes.setdefault(group.scope, {})[group] = served
        below = set()
        for groups in scopes.values():
            whole = next((served for group, served in groups.items() if not group.name), None)
            if whole is None:
                reference = sum(served.share for served in groups.values()) / len(groups)
            else:
                reference = whole.share
            for group, served in groups.items():
                if served.share < FLOOR_OF_MEAN * reference:
                    below.add(group)
        self._below = frozenset(below)

    def _groups_of(self, job: TrackedJob) -> Iterator[Group]:
        """Yield the groups of a job; the whole queue is the group without a name."""
        service, queue = job.queue.service, job.queue.name
        yield Group(f"queues of {service}", queue)
        if job.job.submission.domain:
            yield Group(f"domains of {service}", job.job.submission.domain)
        yield Group(f"sizes of {queue}", "")
        sizes = self._sizes.get(queue)
        size = sizes.class_of(job.total_work) if sizes is not None else ""
        if size:
            yield Group(f"sizes of {queue}", size)
