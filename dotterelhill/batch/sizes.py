"""Measured resource use and run times of jobs' tasks, with a margin for their variation."""

from __future__ import annotations

from dataclasses import dataclass

from dotterelhill.manifest import Resources

SMOOTHING = 0.1
# Margin in mean absolute errors; 4 of them cover about 99.9% of a normal distribution.
MARGIN_MEAN_ERRORS = 4.0
# Below this number of measurements the declared size is used.
MIN_MEASUREMENTS = 5


@dataclass(slots=True)
class _Average:
    """Exponentially smoothed mean and mean absolute error."""

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
    def upper_bound(self) -> float:
        return self.mean + MARGIN_MEAN_ERRORS * self.error


class TaskSizes:
    """Measured resources and run times of the tasks of each job."""

    def __init__(self) -> None:
        self._cpu: dict[str, _Average] = {}
        self._memory: dict[str, _Average] = {}
        self._run_seconds: dict[str, _Average] = {}

    def observe_use(self, job: str, cpu: float, memory_gb: float) -> None:
        """Add a measurement of one task, in processors and GB."""
        self._cpu.setdefault(job, _Average()).add(cpu)
        self._memory.setdefault(job, _Average()).add(memory_gb)

    def observe_run(self, job: str, seconds: float) -> None:
        """Add the run time of a finished task."""
        self._run_seconds.setdefault(job, _Average()).add(seconds)

    def planned_resources(self, job: str, declared: Resources) -> Resources:
        """Return the resources that placement counts for a task.

        A task that uses more than its job declares counts with its measured use plus margin. One
        that uses less counts with the declaration, because the ledger reserves that amount.
        """
        cpu, memory = self._cpu.get(job), self._memory.get(job)
        if cpu is None or memory is None or cpu.count < MIN_MEASUREMENTS:
            return declared
        if cpu.upper_bound <= declared.cpu and memory.upper_bound <= declared.memory_gb:
            return declared
        return Resources(
            cpu=max(declared.cpu, cpu.upper_bound),
            memory_gb=max(declared.memory_gb, memory.upper_bound),
            accelerators=declared.accelerators,
        )

    def run_seconds(self, job: str, declared: float) -> float:
        """Return the mean run time of the job's tasks in seconds, or ``declared`` if unmeasured."""
        average = self._run_seconds.get(job)
        return declared if average is None else average.mean
