"""Runs that may give up their place to a tenant below its share."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass

from dotterelhill.jobs.fleet import Minion, Run, RunState
from dotterelhill.jobs.model import Job, TaskKey
from dotterelhill.jobs.queues import Queue
from dotterelhill.jobs.tenants.usage import RunOwner

MINION_INTERVAL_SECONDS = 0.5
TASK_INTERVAL_SECONDS = 10.0
# A stop costs this much work at most, which is as much as the restore of a checkpoint may take.
RECENT_CHECKPOINT_SECONDS = 0.6


@dataclass(frozen=True, slots=True)
class Candidate:
    """Run that may be stopped.

    :param priority: priority of the queue of its job
    """

    owner: RunOwner
    minion: Minion
    run: Run
    priority: int


class Candidates:
    """Checkpointing fillers with a recent checkpoint, and the intervals between their stops."""

    def __init__(self) -> None:
        self._began_at: float | None = None
        self._minion_stopped_at: dict[Minion, float] = {}
        self._task_stopped_at: dict[TaskKey, float] = {}

    def advance(self, now: float) -> None:
        """Forget stops after the time within which none may follow."""
        if self._began_at is None:
            self._began_at = now
        for minion, stopped_at in list(self._minion_stopped_at.items()):
            if now - stopped_at >= MINION_INTERVAL_SECONDS:
                del self._minion_stopped_at[minion]
        for key, stopped_at in list(self._task_stopped_at.items()):
            if now - stopped_at >= TASK_INTERVAL_SECONDS:
                del self._task_stopped_at[key]

    def record_stop(self, minion: Minion, run: Run, now: float) -> None:
        """Record that a run is stopped."""
        self._minion_stopped_at[minion] = now
        self._task_stopped_at[run.key] = now

    def find(
        self,
        minions: Iterable[Minion],
        excluded: Collection[Minion],
        jobs: Mapping[str, Job],
        queue_of: Callable[[Job], Queue],
        now: float,
    ) -> list[Candidate]:
        """Return the runs that may be stopped, those with the least work to lose first.

        :param excluded: minions without candidates
        """
        found: list[tuple[float, int, Candidate]] = []
        for minion in minions:
            if minion in self._minion_stopped_at or minion in excluded:
                continue
            for run in minion.runs.values():
                saved_at = run.saved_at
                if saved_at is None or now - saved_at > RECENT_CHECKPOINT_SECONDS:
                    continue
                job = jobs.get(run.key.job_id)
                if job is None or not job.submission.tenant or not self._may_stop(run, job, now):
                    continue
                owner = RunOwner(job.submission.tenant, minion.facts.service)
                cpu = run.step.room.cpu
                candidate = Candidate(owner, minion, run, queue_of(job).priority)
                found.append(((now - saved_at) * cpu, cpu, candidate))
        # Checkpoints of one report seem equally old, so larger runs count as losing more.
        found.sort(key=lambda entry: entry[:2])
        return [candidate for _, _, candidate in found]

    def _may_stop(self, run: Run, job: Job, now: float) -> bool:
        """Return whether a run is of the kind that may be stopped, and its task may be again."""
        step = run.step
        if not step.is_filler or not step.is_checkpointing or step.is_lasting or step.is_gang:
            return False
        if run.state is not RunState.PRESENT or run.key in self._task_stopped_at:
            return False
        # An earlier leader may have stopped an earlier run of the task.
        began_at = now if self._began_at is None else self._began_at
        if run.run_id > 1 and now - began_at < TASK_INTERVAL_SECONDS:
            return False
        return len(job.task(run.key).assignments) == 1
