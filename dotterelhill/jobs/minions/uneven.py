"""Uneven minions: what the scheduler and placement ask and tell about speeds and failures.

Everything here is state of the leader's memory, behind the switch ``speed_placement``.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence

from dotterelhill.jobs.changes import Decision
from dotterelhill.jobs.durations.model import DurationModel, run_seconds
from dotterelhill.jobs.durations.speed import SLOW_RATIO
from dotterelhill.jobs.fleet import Minion, Run, RunState
from dotterelhill.jobs.minions.expected_finish import SLOW_MINION_COST, ExpectedFinish
from dotterelhill.jobs.minions.probation import (
    GangStarts,
    OpenTasks,
    Start,
    TaskStarts,
    choose_overdue_starts,
    choose_probation_starts,
)
from dotterelhill.jobs.minions.replacement import RollingReplacement
from dotterelhill.jobs.minions.standing import MinionStanding
from dotterelhill.jobs.minions.standings import Standings
from dotterelhill.jobs.model import Job, Step
from dotterelhill.jobs.placement.waiting import RankedJob

# Learned durations below this confidence say nothing about the speed of a minion.
MIN_CONFIDENCE = 0.5
# A run that has taken this many times its expected duration is overdue. A minion of which so many
# runs, and at least half, are overdue is slow: runs that end show that only after that long time.
OVERDUE_FACTOR = 3.0
MIN_OVERDUE_RUNS = 3
# Looking at all runs takes some ms, so each update looks at one part of the minions.
CHECK_PARTS = 5
# Rounds follow each other within milliseconds, and the records change with the ends of runs.
UPDATE_SECONDS = 0.1
# Costs less than a rack without the data.
REPLACEMENT_COST = 0.5


class UnevenMinions:
    """Records of machines, and what follows from them for placement.

    :param is_enabled: whether the switch is on; otherwise slow minions have a fixed cost
    :param durations: learned durations of tasks
    :param jobs: jobs by id
    """

    def __init__(
        self, durations: DurationModel, jobs: Mapping[str, Job], *, is_enabled: bool
    ) -> None:
        self._is_enabled = is_enabled
        self._durations = durations
        self._jobs = jobs
        self._replacement = RollingReplacement()
        self._standings = Standings(self._replacement)
        self._finish = ExpectedFinish(durations)
        self._on_probation: dict[str, list[tuple[Minion, MinionStanding]]] = {}
        self._pools: dict[str, list[Minion]] = {}
        self._update_number = 0
        self._updated_at = float("-inf")

    @property
    def probation_count(self) -> int:
        """Return the number of minions on probation."""
        return len(self._standings.on_probation)

    @property
    def is_replacing(self) -> bool:
        """Return whether the minions of a service are replaced one after the other."""
        return self._replacement.is_active

    def standing_of(self, minion: Minion) -> MinionStanding | None:
        """Return the record of a minion's machine; None before its first round."""
        return self._standings.of(minion)

    # Told by the scheduler

    def record_done(self, job: Job, run: Run | None, minion: Minion, now: float) -> None:
        """Record a run that ended done."""
        standing = self._standings.of(minion) if self._is_enabled else None
        if standing is None or run is None:
            return
        seconds = run_seconds(run, minion)
        expected_seconds = self._certain_seconds(job, run.step)
        is_slow = False
        if seconds is not None and expected_seconds is not None and not run.is_partial:
            is_slow = seconds > SLOW_RATIO * expected_seconds
        standing.record_done(run.planned_at, now, is_slow=is_slow)

    def record_failure(self, minion: Minion, now: float) -> None:
        """Record a failed run that is not held against its task."""
        standing = self._standings.of(minion) if self._is_enabled else None
        if standing is not None:
            standing.record_failure(now)

    def begin_round(
        self,
        minions: Iterable[Minion],
        usable: list[Minion],
        for_trial: list[Minion],
        now: float,
    ) -> list[Decision]:
        """Update all records, and keep minions on probation out of the usual placement.

        Lasting tasks that find no other minion may still use them.

        :param minions: all minions
        :param usable: minions on which tasks may start; those on probation are removed
        :param for_trial: minions on which lasting tasks may be tried; those on probation are added
        :returns: decisions for the log
        """
        if not self._is_enabled:
            return []
        decisions: list[Decision] = []
        if now - self._updated_at >= UPDATE_SECONDS - 1e-6:
            self._updated_at = now
            decisions = self._update(list(minions), now)
        self._split(usable, for_trial)
        return decisions

    def _update(self, minions: Sequence[Minion], now: float) -> list[Decision]:
        """Update all records, and return the decisions for the log."""
        self._update_number += 1
        self._finish.begin_round(now)
        self._check_runs(minions[self._update_number % CHECK_PARTS :: CHECK_PARTS], now)
        decisions = self._standings.update(minions, now)
        for service, has_begun in self._replacement.update(now):
            message = "rolling replacement begins" if has_begun else "rolling replacement ends"
            decisions.append(Decision(message, "", {"service": service}))
        return decisions

    def _split(self, usable: list[Minion], for_trial: list[Minion]) -> None:
        """Move the minions on probation from the usable ones to those for trials."""
        self._on_probation, self._pools = {}, {}
        standings = self._standings.on_probation
        moved = [minion for minion in usable if minion in standings]
        if not moved:
            return
        for minion in moved:
            members = self._on_probation.setdefault(minion.facts.service, [])
            members.append((minion, standings[minion]))
        for minion in usable:
            if minion.facts.service in self._on_probation:
                self._pools.setdefault(minion.facts.service, []).append(minion)
        usable[:] = [minion for minion in usable if minion not in standings]
        for_trial.extend(moved)

    def _check_runs(self, minions: Iterable[Minion], now: float) -> None:
        """Find minions on which most of the present runs are overdue."""
        for minion in minions:
            standing = self._standings.of(minion)
            if standing is None:
                continue
            count = overdue = 0
            for run in minion.runs.values():
                if run.state is not RunState.PRESENT or run.is_partial or run.step.is_lasting:
                    continue
                count += 1
                job = self._jobs.get(run.key.job_id)
                seconds = run_seconds(run, minion)
                expected = self._certain_seconds(job, run.step) if job is not None else None
                if seconds is not None and expected is not None:
                    overdue += seconds > OVERDUE_FACTOR * expected
            if overdue >= MIN_OVERDUE_RUNS and 2 * overdue >= count:
                standing.record_running_slow(now)
            else:
                standing.is_running_slow = False

    def _certain_seconds(self, job: Job, step: Step) -> float | None:
        """Return the expected duration of a task; None while it is not certain."""
        queue = job.submission.queue.name
        if self._durations.confidence(queue, step) < MIN_CONFIDENCE:
            return None
        return self._durations.expected(queue, step)

    # Asked by placement

    def cost(self, job: Job, step: Step, minion: Minion) -> float:
        """Return the cost of a start on a minion for its speed and its expected departure."""
        if not self._is_enabled:
            return SLOW_MINION_COST if minion.speed.is_slow else 0.0
        queue = job.submission.queue.name
        cost = self._finish.cost(queue, step, minion)
        is_kept = step.is_lasting or step.is_checkpointing or not self._replacement.is_active
        if not is_kept and self._replacement.is_avoided(
            minion, self._durations.expected(queue, step)
        ):
            cost += REPLACEMENT_COST
        return cost

    def choose_starts(
        self,
        ranked: Sequence[RankedJob],
        open_tasks: OpenTasks,
        start_tasks: TaskStarts,
        start_gang: GangStarts,
        now: float,
        unix_ms: int,
    ) -> Iterator[Start]:
        """Yield starts on minions on probation, after all others were chosen."""
        if not self._on_probation:
            return
        yield from choose_probation_starts(
            ranked, self._on_probation, open_tasks, start_tasks, now, unix_ms
        )
        yield from choose_overdue_starts(
            ranked, self._pools, self._on_probation, open_tasks, start_tasks, start_gang, unix_ms
        )
