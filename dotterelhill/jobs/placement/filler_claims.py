"""Claims of minions by fillers that have waited for long."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from operator import itemgetter
from typing import NamedTuple

from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.interference.sharing import MIN_FILLER_CPU_SHARE, InterferenceControl
from dotterelhill.jobs.model import Job, Step, TaskKey
from dotterelhill.jobs.placement.waiting import (
    RankedJob,
    has_required_label,
    is_anti_affinity_met,
    startable_steps,
)

# A step whose fillers have waited for this time claims a minion, so that smaller fillers that start
# there leave room for it.
CLAIM_AFTER_SECONDS = 2.0
# From this time on, short tasks have to leave room as well. The platform counts a job as lost that
# has not run for 3 s, from 14 s after the end of all traffic.
CLAIM_FROM_SHORT_AFTER_SECONDS = 5.0
# Claims keep processors idle until enough runs have ended, so only this share of the minions of a
# service is claimed at a time, and no more than the maximum.
MAX_CLAIMED_SHARE = 0.25
MAX_CLAIMS = 4
# A new leader knows the headroom of minions only after their first reports, and starts fillers on
# those that have some first.
FIRST_ROUNDS_SECONDS = 0.5
# Looking for a minion costs a pass over all runs of a service.
CHOICE_INTERVAL_SECONDS = 0.5
MAX_CHOICES_OF_ROUND = 1

OpenTasks = Callable[[Job, list[TaskKey]], list[TaskKey]]
StepId = tuple[str, int, int]


@dataclass(slots=True)
class FillerClaim:
    """Claim of a minion by one filler of a step.

    :param key: task that starts there
    :param service: pool whose minions run the task
    :param since: loop time from which no filler of the step has started
    :param minion: claimed minion; None while no minion could ever run the task
    :param chosen_at: loop time at which a minion was last looked for
    """

    job: Job
    step: Step
    key: TaskKey
    service: str
    since: float
    minion: Minion | None = None
    chosen_at: float = float("-inf")

    @property
    def step_id(self) -> StepId:
        """Return the job, occurrence and step of the task."""
        return step_id(self.key)

    def is_before_short(self, now: float) -> bool:
        """Return whether short tasks have to leave room for the task."""
        return now - self.since >= CLAIM_FROM_SHORT_AFTER_SECONDS


class _OverdueStep(NamedTuple):
    """A step whose fillers have waited for long, before its tasks are looked at.

    A tuple, since hundreds are created in a round.
    """

    since: float
    step_id: StepId
    job: Job
    step: Step
    keys: list[TaskKey]
    service: str


class FillerClaims:
    """Waiting times of fillers, and the minions that the longest waiting ones have claimed.

    A minion has at most one claim. Claims go to the steps that have waited longest, whether other
    tasks of their jobs run or not. The wait of a step begins anew with each of its starts.
    """

    def __init__(self, interference: InterferenceControl) -> None:
        self._interference = interference
        self._since: dict[StepId, float] = {}
        self._claims: dict[StepId, FillerClaim] = {}
        self._by_minion: dict[Minion, FillerClaim] = {}
        self._unclaimed: list[_OverdueStep] = []
        self._open_tasks: OpenTasks = lambda job, keys: keys
        self._now = 0.0
        # Loop time of the first round of this leader; None before it.
        self._first_round_at: float | None = None

    def __iter__(self) -> Iterator[FillerClaim]:
        """Return the claims, the longest waiting first."""
        return iter(list(self._claims.values()))

    @property
    def minions(self) -> Collection[Minion]:
        """Return the claimed minions."""
        return self._by_minion.keys()

    def unclaimed(self, may_try: Callable[[Job, StepId], bool]) -> Iterator[FillerClaim]:
        """Yield the steps that have waited as long without a claim, the longest waiting first.

        :param may_try: returns whether a step is of interest, before its tasks are looked at
        """
        for overdue in self._unclaimed:
            if may_try(overdue.job, overdue.step_id):
                claim = self._new_claim(overdue)
                if claim is not None:
                    yield claim

    def update(
        self,
        ranked: Sequence[RankedJob],
        by_service: Mapping[str, Sequence[Minion]],
        open_tasks: OpenTasks,
        reclaimed: Collection[Minion],
        now: float,
        unix_ms: int,
    ) -> None:
        """Update the waiting times, and claim minions for the longest waiting fillers.

        :param by_service: minions on which tasks may start
        :param open_tasks: returns those of a step's tasks that may start beside other tasks
        :param reclaimed: minions on which a place becomes free for another tenant; a new claim
            would keep the task of that tenant from starting there
        """
        self._now, self._open_tasks = now, open_tasks
        is_first_round = self._first_round_at is None
        if self._first_round_at is None:
            self._first_round_at = now
        is_settled = now - self._first_round_at >= FIRST_ROUNDS_SECONDS
        since, self._since = self._since, {}
        overdue: dict[str, list[_OverdueStep]] = {}
        for _, queue, waiting in ranked:
            for step, keys in startable_steps(waiting, queue, unix_ms):
                if not step.is_filler or step.is_gang:
                    continue
                first = keys[0]
                identity = (first.job_id, first.occurrence, first.step)
                began = since.get(identity, now)
                if is_first_round:
                    began -= _stored_wait_seconds(waiting.job, first.occurrence, unix_ms)
                self._since[identity] = began
                if is_settled and now - began >= CLAIM_AFTER_SECONDS:
                    overdue.setdefault(queue.service, []).append(
                        _OverdueStep(began, identity, waiting.job, step, keys, queue.service)
                    )
        self._choose_claims(overdue, by_service, reclaimed)

    def record_start(self, key: TaskKey) -> None:
        """Record that a filler starts, so that the wait of its step begins anew."""
        identity = step_id(key)
        if identity in self._since:
            self._since[identity] = self._now
        claim = self._claims.pop(identity, None)
        if claim is not None and claim.minion is not None:
            self._by_minion.pop(claim.minion, None)

    def is_next(self, minion: Minion, identity: StepId) -> bool:
        """Return whether no claim lets a filler of another step start first on a minion.

        :param identity: job, occurrence and step of the task
        """
        claim = self._by_minion.get(minion)
        return claim is None or claim.step_id == identity

    @contextmanager
    def without_claim_of(self, tenant: str, minion: Minion) -> Iterator[None]:
        """Leave out the claim on a minion meanwhile if it is of a tenant."""
        claim = self._by_minion.get(minion)
        if claim is None or claim.job.submission.tenant != tenant:
            yield
            return
        del self._by_minion[minion]
        try:
            yield
        finally:
            self._by_minion[minion] = claim

    def is_start_allowed(self, minion: Minion, step: Step, identity: StepId) -> bool:
        """Return whether a task may start on a minion without delaying the claim on it.

        :param identity: job, occurrence and step of the task
        """
        claim = self._by_minion.get(minion)
        if claim is None or step.is_lasting or claim.step_id == identity:
            return True
        if not step.is_filler and not claim.is_before_short(self._now):
            return True
        room, claimed = step.room, claim.step.room
        idle_cpu = self._interference.idle_cpu(minion)
        if room.cpu and idle_cpu - room.cpu < MIN_FILLER_CPU_SHARE * claimed.cpu:
            return False
        capacity, used = minion.facts.capacity, minion.used
        if room.memory_mb and capacity.memory_mb - used.memory_mb - room.memory_mb < (
            claimed.memory_mb
        ):
            return False
        return not room.gpu or capacity.gpu - used.gpu - room.gpu >= claimed.gpu

    def _choose_claims(
        self,
        overdue: Mapping[str, list[_OverdueStep]],
        by_service: Mapping[str, Sequence[Minion]],
        reclaimed: Collection[Minion],
    ) -> None:
        """Claim minions for the longest waiting steps of each service."""
        earlier, self._claims = self._claims, {}
        self._by_minion = {}
        self._unclaimed = []
        choices_left = MAX_CHOICES_OF_ROUND
        for service, steps in overdue.items():
            pool = by_service.get(service, [])
            usable = set(pool)
            steps.sort(key=itemgetter(0))
            claims_left = max(1, min(MAX_CLAIMS, int(MAX_CLAIMED_SHARE * len(pool))))
            for number, overdue_step in enumerate(steps):
                if claims_left <= 0:
                    self._unclaimed += steps[number:]
                    break
                claim = self._new_claim(overdue_step)
                if claim is None:
                    continue
                claims_left -= 1
                self._claims[claim.step_id] = claim
                known = earlier.get(claim.step_id)
                if known is not None:
                    claim.chosen_at = known.chosen_at
                    if known.minion in usable and self._shortfall(known.minion, claim) is not None:
                        claim.minion = known.minion
                is_choice_due = self._now - claim.chosen_at >= CHOICE_INTERVAL_SECONDS
                if claim.minion is None and is_choice_due and choices_left > 0:
                    choices_left -= 1
                    claim.chosen_at = self._now
                    open_minions = [minion for minion in pool if minion not in reclaimed]
                    claim.minion = self._choose_minion(claim, open_minions)
                if claim.minion is not None:
                    self._by_minion[claim.minion] = claim

    def _new_claim(self, overdue: _OverdueStep) -> FillerClaim | None:
        """Return a claim of the first task of a step that may start; None if there is none."""
        open_keys = self._open_tasks(overdue.job, overdue.keys) if overdue.keys else []
        if not open_keys:
            return None
        return FillerClaim(overdue.job, overdue.step, open_keys[0], overdue.service, overdue.since)

    def _choose_minion(self, claim: FillerClaim, pool: Sequence[Minion]) -> Minion | None:
        """Return the minion on which the smallest part of a filler's room has to become free."""
        best: Minion | None = None
        smallest: tuple[float, float] = (0.0, 0.0)
        for minion in pool:
            # Nothing is better. Headroom beside serving tasks is estimated when it is first asked
            # for after a report, and later starts depend on that time.
            if best is not None and smallest == (0.0, 0.0) and not minion.lasting_images:
                continue
            shortfall = self._shortfall(minion, claim)
            if shortfall is None or (best is not None and shortfall > smallest[0]):
                continue
            lack = self._interference.lacking_headroom(minion, claim.step, self._now)
            if best is None or (shortfall, lack) < smallest:
                best, smallest = minion, (shortfall, lack)
        return best

    def _shortfall(self, minion: Minion | None, claim: FillerClaim) -> float | None:
        """Return the largest share of a filler's room that is not free on a minion.

        :returns: None if the filler does not fit even when all runs that end have ended, or if
            another claim is on the minion
        """
        step, room = claim.step, claim.step.room
        if minion is None or minion in self._by_minion:
            return None
        if not has_required_label(minion, step):
            return None
        if not is_anti_affinity_met(minion, step, claim.key):
            return None
        capacity = minion.facts.capacity
        needed_cpu = MIN_FILLER_CPU_SHARE * room.cpu
        lasting_memory_mb = lasting_gpu = 0
        for run in minion.runs.values() if minion.lasting_images else ():
            if run.step.is_lasting:
                lasting_memory_mb += run.step.room.memory_mb
                lasting_gpu += run.step.room.gpu
        if self._interference.idle_cpu_of_lasting(minion) < needed_cpu:
            return None
        if capacity.memory_mb - lasting_memory_mb < room.memory_mb:
            return None
        if capacity.gpu - lasting_gpu < room.gpu:
            return None
        used = minion.used
        return max(
            0.0,
            (needed_cpu - self._interference.idle_cpu(minion)) / max(1.0, needed_cpu),
            (room.memory_mb - capacity.memory_mb + used.memory_mb) / max(1, room.memory_mb),
            (room.gpu - capacity.gpu + used.gpu) / max(1, room.gpu),
        )


def _stored_wait_seconds(job: Job, occurrence: int, unix_ms: int) -> float:
    """Return for how long tasks waited under earlier leaders; 0 if that is not stored.

    Where nothing of a job has started, its tasks wait since it was accepted and due.
    """
    if job.has_begun:
        return 0.0
    began_ms = max(job.submission.accepted_ms, job.submission.due_ms(occurrence))
    return max(0, unix_ms - began_ms) / 1000.0


def step_id(key: TaskKey) -> StepId:
    """Return the job, occurrence and step of a task."""
    return (key.job_id, key.occurrence, key.step)
