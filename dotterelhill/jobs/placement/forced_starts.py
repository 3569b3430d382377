"""Starts of fillers that the interference control admits on no minion."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.interference.sharing import MIN_FILLER_CPU_SHARE, InterferenceControl
from dotterelhill.jobs.model import Job, Step, TaskKey
from dotterelhill.jobs.placement.attempt_limit import AttemptLimit
from dotterelhill.jobs.placement.filler_claims import FillerClaim, StepId

# Serving tasks whose load falls usually admit a filler within some seconds.
FORCE_AFTER_SECONDS = 6.0
FORCE_WHILE_IDLE_AFTER_SECONDS = 2.0
# The platform counts a job as lost that has not run for 3 s while lasting and short tasks reserve
# less than half of a service, from 14 s after the end of all traffic. So once no job was submitted
# for this time, the jobs that are left share the minions, whether processors are idle or not.
DRAIN_AFTER_SECONDS = 8.0
# A service counts as idle while less than this share of its processors is in use.
IDLE_SHARE = 0.5
# Share of the minions of a busy service that may have such a filler. Its fillers wait because the
# service is overloaded, and starting them all would throttle every filler.
MAX_SHARE_WHILE_BUSY = 1 / 16

# Looking for a minion takes a pass over all runs of a service, in each round.
MAX_ATTEMPTS = 8

StartCheck = Callable[[Minion], bool]


class ForcedStarts:
    """Choice of the minion where a filler of a job that has nothing running interferes least.

    Each minion has at most one such filler, unless the service drains. Their pace is controlled as
    that of the others.
    """

    def __init__(self, interference: InterferenceControl) -> None:
        self._interference = interference
        self._limit = AttemptLimit(MAX_ATTEMPTS)
        self._alone_limit = AttemptLimit(MAX_ATTEMPTS)
        self._is_draining = False

    @property
    def is_draining(self) -> bool:
        """Return whether no job was submitted for ``DRAIN_AFTER_SECONDS``."""
        return self._is_draining

    def may_try(self, job: Job, step_id: StepId) -> bool:
        """Return whether a minion may be chosen for a filler of a step in this round."""
        return self._limit.allows(step_id) and not job.has_assigned_task

    def begin_round(self, since_submission_seconds: float) -> None:
        """Allow ``MAX_ATTEMPTS`` choices of a minion in the round that begins.

        :param since_submission_seconds: time since the newest job was accepted
        """
        self._limit.begin_round()
        self._alone_limit.begin_round()
        self._is_draining = since_submission_seconds >= DRAIN_AFTER_SECONDS

    def choose(
        self, claim: FillerClaim, pool: Sequence[Minion], is_allowed: StartCheck, now: float
    ) -> Minion | None:
        """Return the minion on which a filler starts; None while it has to wait.

        :param is_allowed: returns whether the filler fits on a minion, apart from interference and
            idle processors
        """
        waited_seconds = now - claim.since
        if waited_seconds < FORCE_WHILE_IDLE_AFTER_SECONDS:
            return None
        if not self.may_try(claim.job, claim.step_id):
            return None
        self._limit.record(claim.step_id)
        if not self._is_force_due(pool, waited_seconds):
            return None
        best: Minion | None = None
        lowest: tuple[bool, bool, float, float] = (True, True, 0.0, 0.0)
        for minion in pool:
            is_crowded = self._is_crowded(minion, claim.step)
            if (is_crowded and not self._is_draining) or not is_allowed(minion):
                continue
            rank = (
                is_crowded,
                self._interference.is_over_target(minion),
                -self._interference.headroom_beside(minion, claim.step, now),
                -self._interference.idle_cpu(minion),
            )
            if best is None or rank < lowest:
                best, lowest = minion, rank
        if best is not None:
            self._interference.record_forced_start(claim.key)
        return best

    def is_due_alone(
        self,
        job: Job,
        key: TaskKey,
        pool: Sequence[Minion],
        waited_seconds: float,
        *,
        is_awaited: bool,
    ) -> bool:
        """Return whether a filler that starts alone only may do so without headroom.

        :param waited_seconds: time since the newest crash under the task
        :param is_awaited: whether a minion is claimed for this start already
        """
        if waited_seconds < FORCE_WHILE_IDLE_AFTER_SECONDS:
            return False
        if job.has_assigned_task:
            return False
        if not is_awaited:
            if not self._alone_limit.allows(key):
                return False
            self._alone_limit.record(key)
        return self._is_force_due(pool, waited_seconds)

    def cost_alone(
        self, step: Step, is_allowed: StartCheck, minion: Minion
    ) -> tuple[float, ...] | None:
        """Return the cost of a start of a filler that may crash a minion; None if not allowed.

        A crash costs least where the fewest serving tasks run.

        :param is_allowed: returns whether the filler fits on a minion, apart from interference and
            idle processors
        """
        is_crowded = self._is_crowded(minion, step)
        if (is_crowded and not self._is_draining) or not is_allowed(minion):
            return None
        return (float(minion.lasting_cpu + is_crowded * minion.facts.capacity.cpu),)

    def _is_crowded(self, minion: Minion, step: Step) -> bool:
        """Return whether a minion has a forced filler or too few idle processors for another."""
        if self._interference.has_forced_filler(minion):
            return True
        return self._interference.idle_cpu(minion) < MIN_FILLER_CPU_SHARE * step.room.cpu

    def _is_force_due(self, pool: Sequence[Minion], waited_seconds: float) -> bool:
        """Return whether a filler has waited long enough for how busy its service is."""
        if self._is_draining:
            return True
        forced_count = capacity_cpu = 0
        used_cpu = 0.0
        for minion in pool:
            capacity_cpu += minion.facts.capacity.cpu
            used_cpu += minion.used.cpu + minion.filler_cpu
            forced_count += self._interference.has_forced_filler(minion)
        if used_cpu < IDLE_SHARE * capacity_cpu:
            return True
        if waited_seconds < FORCE_AFTER_SECONDS:
            return False
        return forced_count < max(1, int(MAX_SHARE_WHILE_BUSY * len(pool)))
