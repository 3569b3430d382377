"""Runs that take much longer than expected, and whether another run of their task should start.

Explanation
===========

A task of a speculative step gets a copy: a second run on another minion. A run of another step is
stopped and started again. Both cost processors, so both share a budget, and both wait while tasks
of the same or higher priority wait. Each task gets at most one of either.

A run is a straggler when it has run longer than a learned quantile of its family and its expected
remaining time exceeds a whole run elsewhere. If a large part of a family's runs are stragglers, the
family has become slow as a whole, and another run would be as slow.

The tasks of a step take about as long as each other, whether that is usual for their family or
several times as long, and a second run of a slow step is as slow as the first. So a run of a step
with several tasks is a straggler only compared with those that have ended, or on a slow minion.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from math import inf

from dotterelhill.jobs.durations.model import DurationModel, run_seconds
from dotterelhill.jobs.fleet import Minion, Run, RunState
from dotterelhill.jobs.model import FINAL_STATES, Job, Step
from dotterelhill.jobs.queues import Queue

# All runs are checked at this interval; stragglers run for seconds.
CHECK_INTERVAL_SECONDS = 0.5
# A run may be a straggler from these quantiles on. A restart loses the work of the run.
COPY_QUANTILE = 0.95
RESTART_QUANTILE = 0.99
# Confidence of the model below which nothing is copied or restarted.
MIN_CONFIDENCE = 0.5
# Largest share of a service's processors for copies and restarted runs.
BUDGET_SHARE = 0.05
# Time from the stop order for a run to the start of the next one, with one stored write between.
RESTORE_SECONDS = 0.5
# More stragglers than this share of a family's runs, and than this number, are not stragglers. When
# 3 % of the runs take seven times as long, they are 15 % of those that run at any time.
MAX_STRAGGLER_SHARE = 0.4
MIN_STRAGGLERS = 3
# A straggler has run for more than this multiple of the mean of its step. The durations of the
# tasks of one step differ by 15 % (standard deviation of the logarithm).
SIBLING_FACTOR = 2.0

QueueLookup = Callable[[Job], Queue]


@dataclass(frozen=True, slots=True)
class Straggler:
    """Run that takes much longer than expected.

    :param elapsed_seconds: time for which it has run
    :param excess_seconds: time by which its expected end is later than that of another run
    """

    job: Job
    queue: Queue
    minion: Minion
    run: Run
    elapsed_seconds: float
    excess_seconds: float

    @property
    def log_fields(self) -> dict[str, object]:
        """Return the fields of log lines about the run."""
        return {
            "task": str(self.run.key),
            "run": self.run.run_id,
            "minion": self.minion.minion_id,
            "kind": self.run.step.kind,
            "elapsed_ms": round(1000 * self.elapsed_seconds),
            "excess_ms": round(1000 * self.excess_seconds),
        }


@dataclass(slots=True)
class Budget:
    """Processors of a service, in thousandths, and those that extra runs use."""

    total_cpu: int = 0
    used_cpu: int = 0

    def allows(self, run: Run) -> bool:
        """Return whether another run of the same task stays within the budget."""
        return self.used_cpu + run.step.room.cpu <= BUDGET_SHARE * self.total_cpu


@dataclass(slots=True)
class _Family:
    """Runs of one queue and image.

    :param run_count: number of runs
    :param late: runs beyond the quantile, each with its minion and elapsed seconds
    """

    run_count: int = 0
    late: list[tuple[Minion, Run, float]] = field(default_factory=list)


@dataclass(slots=True)
class _DoneRuns:
    """Runs of one step that ended done: their number, and the sum of their durations in seconds."""

    count: int = 0
    seconds: float = 0.0


class StragglerSearch:
    """Search for stragglers among all runs, and the budget of each service.

    :param durations: learned durations
    :param are_copies_enabled: whether runs of speculative steps are searched
    :param are_restarts_enabled: whether runs of other steps are searched
    """

    def __init__(
        self, durations: DurationModel, *, are_copies_enabled: bool, are_restarts_enabled: bool
    ) -> None:
        self._durations = durations
        self._are_copies_enabled = are_copies_enabled
        self._are_restarts_enabled = are_restarts_enabled
        self._checked_at = float("-inf")
        self._done_runs: dict[str, dict[tuple[int, int], _DoneRuns]] = {}
        self._budgets: dict[str, Budget] = {}
        self._extra_run_count = 0

    @property
    def extra_run_count(self) -> int:
        """Return the number of copies and restarted runs at the newest check."""
        return self._extra_run_count

    def budget_of(self, service: str) -> Budget:
        """Return the budget of a service as of the newest check."""
        return self._budgets.setdefault(service, Budget())

    def record_done(self, run: Run, minion: Minion) -> None:
        """Record the duration of a run that ended done, to compare the others of its step with."""
        seconds = run_seconds(run, minion)
        if seconds is None or run.is_partial or run.step.count < 2:
            return
        steps = self._done_runs.setdefault(run.key.job_id, {})
        done = steps.setdefault((run.key.occurrence, run.key.step), _DoneRuns())
        done.count += 1
        done.seconds += seconds

    def forget_job(self, job_id: str) -> None:
        """Forget the runs of a job that has ended."""
        self._done_runs.pop(job_id, None)

    def find(
        self,
        minions: Iterable[Minion],
        jobs: Mapping[str, Job],
        queue_of: QueueLookup,
        now: float,
    ) -> list[Straggler]:
        """Return the stragglers whose tasks may run again, those with the largest excess first.

        :returns: an empty list within ``CHECK_INTERVAL_SECONDS`` of the newest check
        """
        if now - self._checked_at < CHECK_INTERVAL_SECONDS:
            return []
        self._checked_at = now
        self._budgets = {}
        self._extra_run_count = 0
        found = []
        for family in self._families(minions, jobs, now):
            if len(family.late) > max(MIN_STRAGGLERS, MAX_STRAGGLER_SHARE * family.run_count):
                continue
            for minion, run, elapsed_seconds in family.late:
                job = jobs[run.key.job_id]
                straggler = self._straggler(job, queue_of(job), minion, run, elapsed_seconds)
                if straggler.excess_seconds > 0.0 and self._may_run_again(straggler):
                    found.append(straggler)
        found.sort(key=lambda one: -one.excess_seconds)
        return found

    def _families(
        self, minions: Iterable[Minion], jobs: Mapping[str, Job], now: float
    ) -> Iterable[_Family]:
        """Return all runs by family, and update the budgets."""
        families: dict[tuple[str, str], _Family] = {}
        # Looking up the family and the limit for each of thousands of runs would take milliseconds.
        steps: dict[tuple[str, int], tuple[_Family, float] | None] = {}
        for minion in minions:
            minion.speed.expire(now)
            budget = self.budget_of(minion.facts.service)
            if minion.is_listed:
                budget.total_cpu += minion.facts.capacity.cpu
            clock_ms = minion.clock_ms or 0
            report_age_seconds = max(0.0, now - minion.clock_at)
            for run in minion.runs.values():
                step_key = (run.key.job_id, run.key.step)
                if step_key not in steps:
                    steps[step_key] = self._family_of(run, jobs, families)
                known = steps[step_key]
                if known is None:
                    continue
                if run.is_extra:
                    budget.used_cpu += run.step.room.cpu
                    self._extra_run_count += 1
                family, limit_seconds = known
                family.run_count += 1
                if run.state is not RunState.PRESENT or run.is_partial:
                    continue
                if run.is_inherited:
                    elapsed_seconds = now - run.planned_at
                elif run.present_clock_ms is not None:
                    present_seconds = (clock_ms - run.present_clock_ms) / 1000.0
                    elapsed_seconds = present_seconds + report_age_seconds
                else:
                    continue
                if elapsed_seconds > limit_seconds:
                    family.late.append((minion, run, elapsed_seconds))
        return families.values()

    def _family_of(
        self, run: Run, jobs: Mapping[str, Job], families: dict[tuple[str, str], _Family]
    ) -> tuple[_Family, float] | None:
        """Return the family of a run, and the time from which the run may be a straggler.

        :returns: None for a run that is never copied or restarted
        """
        job = jobs.get(run.key.job_id)
        if job is None or run.step.is_lasting or run.step.is_gang:
            return None
        is_speculative = run.step.is_speculative
        if not (self._are_copies_enabled if is_speculative else self._are_restarts_enabled):
            return None
        queue = job.submission.queue.name
        family = families.setdefault((queue, run.step.image or run.step.kind), _Family())
        return family, self._limit_seconds(queue, run.step)

    def _limit_seconds(self, queue: str, step: Step) -> float:
        """Return the time from which a run may be a straggler; infinite while none is known."""
        if self._durations.confidence(queue, step) < MIN_CONFIDENCE:
            return inf
        quantile = COPY_QUANTILE if step.is_speculative else RESTART_QUANTILE
        expected_seconds = self._durations.expected(queue, step)
        return max(expected_seconds, self._durations.quantile(queue, step, quantile))

    def _straggler(
        self, job: Job, queue: Queue, minion: Minion, run: Run, elapsed_seconds: float
    ) -> Straggler:
        """Return a run as straggler, with its excess over another run."""
        name, step = job.submission.queue.name, run.step
        expected_seconds = self._durations.expected(name, step)
        remaining = self._durations.remaining(name, step, elapsed_seconds)
        if minion.speed.is_slow:
            remaining = max(remaining, expected_seconds * minion.speed.ratio - elapsed_seconds)
        excess_seconds = remaining - expected_seconds
        if not step.is_speculative:
            excess_seconds -= RESTORE_SECONDS
        return Straggler(job, queue, minion, run, elapsed_seconds, excess_seconds)

    def _is_slower_than_siblings(self, run: Run, elapsed_seconds: float) -> bool:
        """Return whether a run has taken much longer than those of its step that ended done."""
        if run.step.count < 2:
            return True
        steps = self._done_runs.get(run.key.job_id, {})
        done = steps.get((run.key.occurrence, run.key.step))
        return done is not None and elapsed_seconds > SIBLING_FACTOR * done.seconds / done.count

    def _may_run_again(self, straggler: Straggler) -> bool:
        """Return whether the task of a straggler may get another run at all."""
        job, run, queue = straggler.job, straggler.run, straggler.queue
        task = job.tasks.get(run.key)
        if task is None or task.is_done or job.state in FINAL_STATES or queue.needs_advice:
            return False
        # A run that may crash its minion must not do so on a second one.
        if task.run_id != run.run_id or task.crashes or not straggler.minion.is_answering:
            return False
        is_minion_slow = straggler.minion.speed.is_slow
        if not is_minion_slow and not self._is_slower_than_siblings(run, straggler.elapsed_seconds):
            return False
        if not run.step.is_speculative:
            return not task.is_restarted
        # If the copy failed as well, the task would have used up its attempts.
        has_spare_attempt = task.failures + 1 < queue.max_attempts
        return not task.copy_run_id and has_spare_attempt
