"""Observed sizes and run times of jobs, with a margin that follows the observed error."""

from __future__ import annotations

from dataclasses import dataclass

from dotterelhill.manifest import Resources

SMOOTHING = 0.1
# Margin in mean absolute errors; 4 of them cover about 99.9% of a normal distribution.
MARGIN_ERRORS = 4.0
# Fewest measurements before an estimate replaces the declaration.
FEWEST_MEASUREMENTS = 5


@dataclass(slots=True)
class _Average:
    """Smoothed mean and mean absolute error."""

    mean: float = 0.0
    error: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        self.count += 1
        if self.count == 1:
            self.mean = value
            return
        weight = max(SMOOTHING, 1.0 / self.count)
        self.error += weight * (abs(value - self.mean) - self.error)
        self.mean += weight * (value - self.mean)

    @property
    def upper(self) -> float:
        return self.mean + MARGIN_ERRORS * self.error


class Sizes:
    """What the tasks of each job really use and how long they run."""

    def __init__(self) -> None:
        self._cpu: dict[str, _Average] = {}
        self._memory: dict[str, _Average] = {}
        self._seconds: dict[str, _Average] = {}

    def observe_use(self, job: str, cpu: float, memory_gb: float) -> None:
        """Take over a measurement of one task."""
        self._cpu.setdefault(job, _Average()).add(cpu)
        self._memory.setdefault(job, _Average()).add(memory_gb)

    def observe_run(self, job: str, seconds: float) -> None:
        """Take over the run time of a finished task."""
        self._seconds.setdefault(job, _Average()).add(seconds)

    def planned(self, job: str, declared: Resources) -> Resources:
        """Return what placement counts for a task: never less than the ledger reserves.

        A task that uses more than it declared is counted with its observed use and margin. One
        that uses less keeps its declaration, because the ledger reserves that much.
        """
        cpu, memory = self._cpu.get(job), self._memory.get(job)
        if cpu is None or memory is None or cpu.count < FEWEST_MEASUREMENTS:
            return declared
        if cpu.upper <= declared.cpu and memory.upper <= declared.memory_gb:
            return declared
        return Resources(
            cpu=max(declared.cpu, cpu.upper),
            memory_gb=max(declared.memory_gb, memory.upper),
            accelerators=declared.accelerators,
        )

    def run_seconds(self, job: str, declared: float) -> float:
        """Return the expected run time of a task in seconds."""
        average = self._seconds.get(job)
        return declared if average is None else average.mean
