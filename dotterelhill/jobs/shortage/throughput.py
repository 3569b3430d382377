"""Throughput of a service, learned from the runs that ended done."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import exp
from typing import NamedTuple

from dotterelhill.jobs.durations.model import run_seconds
from dotterelhill.jobs.fleet import Minion, Run

THROUGHPUT_SECONDS = 5.0
# Before as many runs have ended, the free capacity counts alone.
MIN_DONE_RUNS = 8


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

    count: int = 0
    _sum: float = 0.0
    _since: float = 0.0
    _at: float = float("-inf")

    def add(self, processor_seconds: float, now: float) -> None:
        """Count the work of one run or job."""
        if not self.count:
            self._since = now
        self._sum = self._sum * exp((self._at - now) / THROUGHPUT_SECONDS) + processor_seconds
        self._at = now
        self.count += 1

    def rate(self, now: float) -> float:
        """Return the processor seconds per second; 0 before anything is counted."""
        if not self.count:
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

    def measure_free_capacity(self, minions: Iterable[Minion]) -> None:
        """Replace the free capacity by that of the listed minions."""
        self._free = {}
        for minion in minions:
            if not minion.is_listed or minion.facts.is_draining:
                continue
            service = minion.facts.service
            free = max(0, minion.free_cpu) / 1000.0
            idle = max(0.0, minion.free_cpu - minion.filler_cpu) / 1000.0
            for supply, cpu in ((Supply(service, False), free), (Supply(service, True), idle)):
                self._free[supply] = self._free.get(supply, 0.0) + cpu

    def has_minions(self, service: str) -> bool:
        """Return whether the service has minions on which runs may start."""
        return Supply(service, False) in self._free

    def rate(self, supply: Supply, now: float) -> float:
        """Return the processor seconds per second that a service works off.

        While part of the capacity is free, the ends of runs tell the load. So it is added.
        """
        free = self._free.get(supply, 0.0)
        done = self._done.get(supply)
        if done is None or done.count < MIN_DONE_RUNS:
            return free
        return done.rate(now) + free
