"""Throughput of a service, learned from the runs that ended done."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import exp
from typing import NamedTuple

from dotterelhill.jobs.durations.model import run_seconds
from dotterelhill.jobs.fleet import Minion, Run

THROUGHPUT_SECONDS = 5.0
# With fewer runs that ended lately, the capacity counts that the service has for the kind of task.
MIN_DONE_RUNS = 8.0


class Supply(NamedTuple):
    """Capacity of a service for one kind of task: fillers use what other tasks leave idle."""

    service: str
    is_filler: bool


@dataclass(slots=True)
class DecayedWork:
    """Processor seconds per second, as an exponentially decayed mean.

    >>> work = DecayedWork()
    >>> for tenth in range(100):
    ...     work.add(0.4, tenth / 10)
    >>> 3.9 < work.rate(10.0) < 4.3
    True
    """

    _count: float = 0.0
    _sum: float = 0.0
    _since: float = 0.0
    _at: float = float("-inf")

    def add(self, processor_seconds: float, now: float) -> None:
        """Count the work of one run or job."""
        if not self._count:
            self._since = now
        factor = exp((self._at - now) / THROUGHPUT_SECONDS)
        self._count = self._count * factor + 1.0
        self._sum = self._sum * factor + processor_seconds
        self._at = now

    def count(self, now: float) -> float:
        """Return the decayed number of runs or jobs."""
        return self._count * exp((self._at - now) / THROUGHPUT_SECONDS)

    def rate(self, now: float) -> float:
        """Return the processor seconds per second; 0 before anything is counted."""
        if not self._count:
            return 0.0
        # The weights of the time before the first observation are left out of the mean.
        weight = THROUGHPUT_SECONDS * (1.0 - exp((self._since - now) / THROUGHPUT_SECONDS))
        decayed = self._sum * exp((self._at - now) / THROUGHPUT_SECONDS)
        return decayed / max(weight, 1.0)


class Throughput:
    """Learned throughput by service, separately for fillers and other tasks that end."""

    def __init__(self) -> None:
        self._done: dict[Supply, DecayedWork] = {}
        self._free: dict[Supply, float] = {}
        self._used: dict[Supply, float] = {}

    def record_done(self, run: Run, minion: Minion, expected_seconds: float) -> None:
        """Count a run that ended done, as the newest report of its minion tells.

        :param expected_seconds: its duration where the minion's clock does not tell it
        """
        if run.step.is_lasting:
            return
        seconds = run_seconds(run, minion)
        work = run.step.room.cpu / 1000.0 * (expected_seconds if seconds is None else seconds)
        supply = Supply(minion.facts.service, run.step.is_filler)
        self._done.setdefault(supply, DecayedWork()).add(work, minion.last_report_at)

    def measure_capacity(self, minions: Iterable[Minion]) -> None:
        """Replace the capacity by that of the listed minions."""
        self._free, self._used = {}, {}
        for minion in minions:
            if not minion.is_listed or minion.facts.is_draining:
                continue
            service = minion.facts.service
            free = max(0, minion.free_cpu) / 1000.0
            filler = min(free, minion.filler_cpu / 1000.0)
            for is_filler, free_cpu, used_cpu in (
                (False, free, minion.short_cpu / 1000.0),
                (True, free - filler, filler),
            ):
                supply = Supply(service, is_filler)
                self._free[supply] = self._free.get(supply, 0.0) + free_cpu
                self._used[supply] = self._used.get(supply, 0.0) + used_cpu

    def has_minions(self, service: str) -> bool:
        """Return whether the service has minions on which runs may start."""
        return Supply(service, False) in self._free

    def rate(self, supply: Supply, now: float) -> float:
        """Return the processor seconds per second that a service works off.

        While part of the capacity is free, the ends of runs tell the load. So it is added.
        """
        free = self._free.get(supply, 0.0)
        done = self._done.get(supply)
        if done is None or done.count(now) < MIN_DONE_RUNS:
            return free + self._used.get(supply, 0.0)
        return done.rate(now) + free
