"""Full recomputation of what is kept between rounds, as the program did before."""

from __future__ import annotations

from collections.abc import Sequence

from dotterelhill.jobs.durations.model import DurationModel
from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.model import TOO_LATE_FACTOR, Step, Timeliness
from dotterelhill.jobs.placement.attempts import FILLER_RETRY_SECONDS
from dotterelhill.jobs.placement.ranking import PATH_VALID_SECONDS, QueueLookup, _path_seconds
from dotterelhill.jobs.placement.waiting import RankedJob, WaitingJob
from dotterelhill.jobs.resources import ResourceVector


class FormerRanking:
    """Ranking that looks at every job in each round."""

    def __init__(self, durations: DurationModel) -> None:
        self._durations = durations
        self._jobs: dict[str, WaitingJob] = {}
        self.ranked: list[RankedJob] = []

    @property
    def ranked_lasting(self) -> list[RankedJob]:
        return self.ranked

    @property
    def ranked_fillers(self) -> list[RankedJob]:
        return self.ranked

    @property
    def lasting_jobs(self) -> list[WaitingJob]:
        return list(self._jobs.values())

    @property
    def needed_cpu(self) -> dict[str, int]:
        needed: dict[str, int] = {}
        for waiting in self._jobs.values():
            submission = waiting.job.submission
            for (_, index), keys in waiting.pending.items():
                step = submission.steps[index]
                if not step.is_lasting:
                    cpu = len(keys) * step.reserved_resources.cpu
                    needed[submission.tenant] = needed.get(submission.tenant, 0) + cpu
        return needed

    def newest_accepted_ms(self) -> int:
        return max((one.job.submission.accepted_ms for one in self._jobs.values()), default=0)

    def add(self, waiting: WaitingJob) -> None:
        self._jobs[waiting.job.job_id] = waiting

    def remove(self, waiting: WaitingJob) -> None:
        self._jobs.pop(waiting.job.job_id, None)

    def touch(self, waiting: WaitingJob) -> None:
        """Nothing is kept."""

    def touch_all(self) -> None:
        """Nothing is kept."""

    def update(self, queue_of: QueueLookup, now: float, unix_ms: int) -> None:
        self.ranked = []
        for waiting in self._jobs.values():
            waiting.entry = None
            if not waiting.pending:
                continue
            job, queue = waiting.job, queue_of(waiting.job)
            if now - waiting.path_at >= PATH_VALID_SECONDS:
                waiting.path_at = now
                path = _path_seconds(job, self._durations)
                waiting.path_seconds, waiting.remaining_seconds = path
            remaining = waiting.remaining_seconds
            age_seconds = (unix_ms - job.submission.accepted_ms) / 1000.0
            objective = queue.stretch * waiting.path_seconds + queue.target_seconds
            timeliness = Timeliness.IN_TIME
            if age_seconds + remaining > TOO_LATE_FACTOR * objective:
                timeliness = Timeliness.TOO_LATE
            elif age_seconds + remaining > objective:
                timeliness = Timeliness.LATE
            key = (queue.priority, timeliness, objective - age_seconds - remaining, 0)
            waiting.entry = (key, queue, waiting)
            self.ranked.append(waiting.entry)
        self.ranked.sort(key=lambda entry: entry[0])


class FormerAttempts:
    """Attempts that remember sizes for one round only, and those of fillers for an interval."""

    def __init__(self) -> None:
        self._unplaceable: dict[tuple[str, str, str], list[ResourceVector]] = {}
        self._since = float("-inf")

    def begin_round(self, by_service, restricted, reclaimed, now: float) -> None:
        if now - self._since > FILLER_RETRY_SECONDS:
            self._unplaceable, self._since = {}, now
        for name in [name for name in self._unplaceable if name[0] != "filler"]:
            del self._unplaceable[name]

    def size_of(self, step: Step, service: str) -> tuple[tuple[str, str, str], ResourceVector]:
        return (step.kind, "" if step.kind == "short" else step.image, service), step.room

    def candidates(self, size, pool: Sequence[Minion]) -> Sequence[int]:
        name, room = size
        for resources in self._unplaceable.get(name, []):
            if room.is_enough_for(resources):
                return []
        return range(len(pool))

    def record_failure(self, size, tenant: str = "") -> None:
        self._unplaceable.setdefault(size[0], []).append(size[1])

    def record_start(self, minion: Minion) -> None:
        """All minions are tried in the next round."""

    def record_change(self, minion: Minion) -> None:
        """All minions are tried in the next round."""

    def is_futile(self, entry: RankedJob) -> bool:
        return False

    def startable(self, ranked: list[RankedJob], may_backfill) -> list[RankedJob]:
        return ranked


class FormerOrder:
    """No order: the cost of a start is computed for all minions."""

    def begin_round(self) -> None:
        """Nothing is kept."""

    def record_start(self, minion: Minion) -> None:
        """Nothing is kept."""

    def options(self, minions: Sequence[Minion], *, is_filler: bool):
        return range(len(minions)), ()


class FormerCosts:
    """Costs that are computed for each step anew."""

    def begin_round(self, claimed) -> None:
        """Nothing is kept."""

    def shared(self, kind, start_cost):
        return start_cost
