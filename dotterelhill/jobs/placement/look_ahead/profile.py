"""Free capacity of a minion over time."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from math import inf

from dotterelhill.jobs.durations.model import DurationModel
from dotterelhill.jobs.fleet import Minion, Run, RunState
from dotterelhill.jobs.model import Step
from dotterelhill.jobs.resources import ResourceVector

# Quantile of the duration at which running tasks and backfilled ones are expected to end.
END_QUANTILE = 0.8
# Ends of runs that are overdue move with time, and learned quantiles change.
PROFILE_VALID_SECONDS = 0.5
# A stop is carried out and reported within this time.
STOP_SECONDS = 0.5
# A run that is over its expected end is not expected to end sooner.
MIN_REMAINING_SECONDS = 0.1

QueueNameLookup = Callable[[str], str]
# Loop time, thousandths of a processor, memory in MB and accelerators that become free.
Release = tuple[float, int, int, int]


class CapacityProfile:
    """Resources of a minion that are free now, and those that become free as its runs end.

    :param free: resources that no run reserves; negative on a minion that has shrunk
    :param releases: resources that become free, by time
    """

    __slots__ = ("_free", "_now", "_releases")

    def __init__(self, free: ResourceVector, releases: Sequence[Release], now: float) -> None:
        self._free = free
        self._releases = sorted(releases)
        self._now = now

    def free_at(self, at: float) -> ResourceVector:
        """Return the resources that are free at a loop time unless anything else starts."""
        cpu, memory_mb, gpu = self._free.cpu, self._free.memory_mb, self._free.gpu
        for release in self._releases:
            if release[0] > at:
                break
            cpu += release[1]
            memory_mb += release[2]
            gpu += release[3]
        return ResourceVector(cpu, memory_mb, gpu)

    def fit_times(self, room: ResourceVector, limit: int) -> list[float]:
        """Return the loop times from which one, two, ... tasks fit, at most ``limit``.

        >>> profile = CapacityProfile(ResourceVector(1000), [(7.0, 1000, 0, 0)], 5.0)
        >>> profile.fit_times(ResourceVector(1000), 3)
        [5.0, 7.0]
        """
        times: list[float] = []
        cpu, memory_mb, gpu = self._free.cpu, self._free.memory_mb, self._free.gpu
        at = self._now
        position = 0
        while True:
            fitting = limit
            if room.cpu:
                fitting = min(fitting, cpu // room.cpu)
            if room.memory_mb:
                fitting = min(fitting, memory_mb // room.memory_mb)
            if room.gpu:
                fitting = min(fitting, gpu // room.gpu)
            times.extend([at] * (fitting - len(times)))
            if len(times) >= limit or position >= len(self._releases):
                return times
            at, more_cpu, more_memory_mb, more_gpu = self._releases[position]
            position += 1
            cpu += more_cpu
            memory_mb += more_memory_mb
            gpu += more_gpu


class CapacityProfiles:
    """Profiles of minions, computed again only when their runs, size or age require it.

    :param durations: learned durations of tasks
    :param queue_name_of: returns the queue of a job by job id; empty for an unknown job
    """

    def __init__(self, durations: DurationModel, queue_name_of: QueueNameLookup) -> None:
        self._durations = durations
        self._queue_name_of = queue_name_of
        self._cached: dict[Minion, tuple[int, ResourceVector, float, CapacityProfile]] = {}

    def of(self, minion: Minion, now: float) -> CapacityProfile:
        """Return the profile of a minion."""
        cached = self._cached.get(minion)
        if cached is not None:
            change_count, capacity, computed_at, profile = cached
            is_same = change_count == minion.change_count and capacity == minion.facts.capacity
            if is_same and now - computed_at < PROFILE_VALID_SECONDS:
                return profile
        profile = self._compute(minion, now)
        self._cached[minion] = (minion.change_count, minion.facts.capacity, now, profile)
        return profile

    def keep_only(self, minions: set[Minion]) -> None:
        """Forget the profiles of other minions."""
        for minion in [minion for minion in self._cached if minion not in minions]:
            del self._cached[minion]

    def seconds(self, queue: str, step: Step, minion: Minion) -> float:
        """Return the time in seconds within which a new task is expected to end on a minion.

        :param queue: name of the queue
        :returns: infinity while neither an estimate nor learned durations are known
        """
        return self._durations.quantile(queue, step, END_QUANTILE) * minion.speed.ratio or inf

    def errors(self, minion: Minion) -> list[float]:
        """Return the errors of the durations of the runs on a minion, where they are known.

        An error is the mean absolute logarithm of observed to predicted durations.
        """
        errors = []
        for run in minion.runs.values():
            if run.step.is_lasting:
                continue
            error = self._durations.error(self._queue_name_of(run.key.job_id), run.step)
            if error is not None:
                errors.append(error)
        return errors

    def _compute(self, minion: Minion, now: float) -> CapacityProfile:
        releases: list[Release] = []
        for run in minion.runs.values():
            end = self._expected_end(run, minion, now)
            if end < inf:
                room = run.step.room
                cpu = 0 if run.step.is_filler else room.cpu
                releases.append((end, cpu, room.memory_mb, room.gpu))
        return CapacityProfile(minion.free, releases, now)

    def _expected_end(self, run: Run, minion: Minion, now: float) -> float:
        """Return the loop time at which a run is expected to have ended; infinity for never."""
        if run.state is RunState.STOPPING:
            return now + STOP_SECONDS
        if run.step.is_lasting or (run.step.is_filler and not run.pace):
            return inf
        queue, ratio = self._queue_name_of(run.key.job_id), minion.speed.ratio
        if run.step.is_filler:
            ratio *= 100.0 / run.pace
        seconds = ratio * self._durations.quantile(queue, run.step, END_QUANTILE)
        if run.planned_at + seconds > now:
            return run.planned_at + seconds
        elapsed = (now - run.planned_at) / ratio
        remaining = ratio * self._durations.remaining(queue, run.step, elapsed)
        return now + max(MIN_REMAINING_SECONDS, remaining)
