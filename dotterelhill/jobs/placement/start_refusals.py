"""Reasons why placement starts no task of a step on a minion that has room for it."""

from __future__ import annotations

from dotterelhill.jobs.crashes.isolation import Isolation
from dotterelhill.jobs.crashes.suspicion import CrashSuspicion
from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.interference.sharing import MIN_FILLER_CPU_SHARE, InterferenceControl
from dotterelhill.jobs.model import Job, Step, TaskKey
from dotterelhill.jobs.placement.filler_claims import FillerClaims, step_id
from dotterelhill.jobs.placement.lasting_claims import LastingClaims
from dotterelhill.jobs.placement.look_ahead.look_ahead import LookAhead
from dotterelhill.jobs.placement.short_pool import ShortPool
from dotterelhill.jobs.tenants.limits import TenantLimits


class StartRefusals:
    """Reasons of the newest round, for the log. Nothing is changed by asking for them."""

    def __init__(
        self,
        interference: InterferenceControl,
        suspicion: CrashSuspicion,
        isolation: Isolation,
        limits: TenantLimits,
        lasting_claims: LastingClaims,
        filler_claims: FillerClaims,
        look_ahead: LookAhead,
        short_pool: ShortPool,
    ) -> None:
        self._interference = interference
        self._suspicion = suspicion
        self._isolation = isolation
        self._limits = limits
        self._lasting_claims = lasting_claims
        self._filler_claims = filler_claims
        self._look_ahead = look_ahead
        self._short_pool = short_pool

    def reason_on(self, minion: Minion, job: Job, step: Step, key: TaskKey, now: float) -> str:
        """Return why no task of a step starts on a minion with room; empty without a reason."""
        identity = step_id(key)
        if self._suspicion.has_suspects and not self._isolation.open_minions([minion]):
            return "isolated"
        if step.kind == "short":
            if minion.free_cpu - self._lasting_claims.claimed_cpu(minion) < step.room.cpu:
                return "claimed_by_lasting"
        if step.is_lasting and self._short_pool.is_closed(minion, identity):
            return "kept_for_short"
        if not self._filler_claims.is_start_allowed(minion, step, identity):
            return "claimed_by_filler"
        if minion in self._look_ahead.by_minion:
            if self._look_ahead.start_cost((0.0,), job, step, identity[1:], minion) is None:
                return "reserved"
        if step.is_filler:
            if self._interference.idle_cpu(minion) < MIN_FILLER_CPU_SHARE * step.room.cpu:
                return "no_idle_cpu"
            if self._interference.filler_interference(minion, step, now) is None:
                return "no_headroom"
        return ""

    def reason_everywhere(self, job: Job, step: Step, key: TaskKey, now: float) -> str:
        """Return why no task of a step starts on any minion; empty without a reason."""
        identity = step_id(key)
        if not self._suspicion.open_tasks(job, identity[1:], [key], now):
            return "suspected"
        if not self._limits.has_room(job.submission.tenant, step.room):
            return "tenant_limit"
        return ""
