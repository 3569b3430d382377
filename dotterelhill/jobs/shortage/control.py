"""Shortage control of the leader: one estimate for the order of jobs and for admission."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence

from dotterelhill.jobs.changes import Decision
from dotterelhill.jobs.durations.model import DurationModel
from dotterelhill.jobs.fleet import Minion, Run
from dotterelhill.jobs.model import Job, JobState, Timeliness
from dotterelhill.jobs.placement.waiting import RankedJob, RankKey, WaitingJob
from dotterelhill.jobs.queues import Queue
from dotterelhill.jobs.shortage.demand import TrackedJob, track
from dotterelhill.jobs.shortage.finish import FinishEstimate, QueueOutlook
from dotterelhill.jobs.shortage.floors import Floors, Group
from dotterelhill.jobs.shortage.order import ShortageState, shortage_key
from dotterelhill.jobs.shortage.refusal import QueueVerdict, RefusalPolicy
from dotterelhill.jobs.shortage.throughput import Throughput

# Estimating thousands of jobs takes milliseconds, and a round comes after each report.
UPDATE_SECONDS = 0.25
# An estimate that covers more jobs is spread over several rounds.
MAX_JOBS_OF_ROUND = 400


def shortage_gauges(shortage: ShortageControl | None) -> dict[str, float]:
    """Return the gauges for the metrics; none where shortage control is turned off."""
    if shortage is None:
        return {}
    shares = [verdict.admitted_share for verdict in shortage.verdicts.values()]
    return {
        "jobs.short_queues": len(shortage.short_queues),
        "jobs.least_admitted_share": min(shares, default=1.0),
    }


class ShortageControl:
    """Estimates ends of jobs, and ranks jobs while their priority is in shortage.

    :param durations: learned durations of tasks
    """

    def __init__(self, durations: DurationModel) -> None:
        self._durations = durations
        self._throughput = Throughput()
        self._floors = Floors()
        self._state = ShortageState()
        self._refusal = RefusalPolicy()
        self._jobs: dict[str, TrackedJob] = {}
        self._short_priorities: frozenset[tuple[str, int]] = frozenset()
        self._updated_at = float("-inf")
        # Ranked jobs that the estimate in progress still has to cover.
        self._left: Sequence[RankedJob] = ()
        self._clock_offset = 0.0
        self._decisions: list[Decision] = []
        self.estimate = FinishEstimate(self._throughput)

    @property
    def short_queues(self) -> frozenset[str]:
        """Return the queues in shortage."""
        return self._state.queues

    @property
    def groups_below_floor(self) -> frozenset[Group]:
        """Return the groups of jobs that go first in a shortage."""
        return self._floors.below

    @property
    def verdicts(self) -> Mapping[str, QueueVerdict]:
        """Return the verdicts about the queues whose submissions are refused in part."""
        return self._refusal.verdicts

    def take_decisions(self) -> list[Decision]:
        """Return the changes of state since the last call, for the log and the metrics."""
        decisions, self._decisions = self._decisions, []
        return decisions

    def record_done(self, queue: str, run: Run, minion: Minion) -> None:
        """Learn from a run that ended done.

        :param queue: name of its queue
        """
        self._throughput.record_done(run, minion, self._durations.expected(queue, run.step))

    def record_end(self, job: Job, now: float) -> None:
        """Count an ended job as served in time or not."""
        tracked = self._jobs.pop(job.job_id, None)
        if tracked is None or tracked.is_decided or job.state is JobState.CANCELLED:
            return
        is_in_time = self._age_seconds(job, now) <= tracked.objective_seconds
        is_served = job.state is JobState.COMPLETED and is_in_time
        self._floors.record(tracked, now, is_served=is_served)

    def rank(self, waiting: WaitingJob, queue: Queue, key: RankKey) -> RankKey:
        """Return the rank of a job, which differs from ``key`` in a shortage only."""
        tracked = self._tracked(waiting, queue)
        if tracked is None:
            return key
        if (queue.service, queue.priority) in self._short_priorities:
            mean_work = self.estimate.mean_work(queue.name)
            is_below = key[1] == Timeliness.IN_TIME and self._floors.is_below(tracked)
            key = shortage_key(tracked, key, mean_work, is_below=is_below)
        return key

    def update(
        self, ranked: Sequence[RankedJob], minions: Collection[Minion], now: float, unix_ms: int
    ) -> bool:
        """Estimate anew, if the newest estimate is old.

        :param ranked: jobs whose tasks waited in the newest round
        :returns: whether jobs have to be ranked anew
        """
        self._clock_offset = unix_ms / 1000.0 - now
        if not self._left:
            if now - self._updated_at < UPDATE_SECONDS:
                return False
            self._updated_at = now
            self._throughput.measure_capacity(minions)
            self.estimate.begin()
            self._left = ranked
        part, self._left = self._left[:MAX_JOBS_OF_ROUND], self._left[MAX_JOBS_OF_ROUND:]
        self.estimate.add(self._waiting(part, now), now)
        if self._left:
            return False
        earlier = self._short_priorities
        self.estimate.finish(now)
        self._floors.update(now)
        changed = self._state.update(self.estimate.outlooks)
        self._record_changes(changed)
        self._record_refusals(self._refusal.update(self._outlooks_with_minions(), now))
        self._short_priorities = frozenset(
            (queue.service, queue.priority)
            for queue in self.estimate.queues
            if queue.name in self._state.queues
        )
        # A change of the floors takes effect when ranking renews the paths, within 0.5 s.
        return earlier != self._short_priorities

    def _waiting(
        self, ranked: Sequence[RankedJob], now: float
    ) -> Iterator[tuple[TrackedJob, float]]:
        """Yield the jobs with waiting tasks, each with its age, and count those that got late."""
        clock_seconds = now + self._clock_offset
        for _, _, waiting in ranked:
            job = waiting.job
            tracked = self._jobs.get(job.job_id)
            if tracked is None or not waiting.pending:
                continue
            age_seconds = clock_seconds - job.submission.accepted_ms / 1000.0
            if age_seconds > tracked.objective_seconds and not tracked.is_decided:
                tracked.is_decided = True
                self._floors.record(tracked, now, is_served=False)
            yield tracked, age_seconds

    def _tracked(self, waiting: WaitingJob, queue: Queue) -> TrackedJob | None:
        """Return the state of a job, brought up to date; it begins when the job is first ranked."""
        tracked = self._jobs.get(waiting.job.job_id)
        if tracked is not None:
            tracked.queue = queue
            tracked.refresh(waiting, self._durations)
            return tracked
        tracked = track(waiting, queue, self._durations)
        if tracked is not None:
            tracked.refresh(waiting, self._durations)
            self._jobs[waiting.job.job_id] = tracked
            self.estimate.learn(tracked)
            self._floors.learn(tracked)
        return tracked

    def _outlooks_with_minions(self) -> dict[str, QueueOutlook]:
        """Return the outlooks of the queues whose service has minions.

        Without minions nothing is known about the time in which jobs would end.
        """
        return {
            name: outlook
            for name, outlook in self.estimate.outlooks.items()
            if self._throughput.has_minions(outlook.service)
        }

    def _record_refusals(self, changed: Iterable[str]) -> None:
        """Record a decision for each queue for which refusals began or ended."""
        for name in sorted(changed):
            verdict = self._refusal.verdicts.get(name)
            fields: dict[str, object] = {"queue": name}
            if verdict is not None:
                fields |= {
                    "admitted_share": round(verdict.admitted_share, 3),
                    "room_seconds": round(verdict.room_seconds, 1),
                }
            is_refused = verdict is not None
            message = "queue refuses submissions" if is_refused else "queue admits all submissions"
            self._decisions.append(Decision(message, "", fields))

    def _age_seconds(self, job: Job, now: float) -> float:
        """Return the time since a job was accepted."""
        return now + self._clock_offset - job.submission.accepted_ms / 1000.0

    def _record_changes(self, changed: Iterable[str]) -> None:
        """Record a decision for each queue that entered or left shortage."""
        for name in sorted(changed):
            outlook = self.estimate.outlooks.get(name)
            fields: dict[str, object] = {"queue": name}
            if outlook is not None:
                fields |= {"waiting": outlook.waiting, "late": outlook.late}
            is_short = name in self._state.queues
            message = "queue entered shortage" if is_short else "queue left shortage"
            self._decisions.append(Decision(message, "", fields))
