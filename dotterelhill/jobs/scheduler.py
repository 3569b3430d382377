"""Scheduler: lifecycle of jobs and runs, and the resulting orders to minions.

Explanation
===========

Every start is planned first, stored as part of the progress of its job, and sent only after that
write is durable. So a later leader can find every minion on which a task may run. An end is
acknowledged to its minion only after its effect is durable. A run whose start order got no answer
keeps its resources reserved until a report of the minion, or the end of its lease, proves that the
run is absent.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence, Set
from math import inf

from dotterelhill.jobs.changes import Changes, Decision, SchedulerSettings
from dotterelhill.jobs.crashes.counting import CrashCounting
from dotterelhill.jobs.crashes.doubts import Doubts
from dotterelhill.jobs.crashes.isolation import has_unproven_runs
from dotterelhill.jobs.crashes.suspicion import (
    CrashSuspicion,
    Presence,
    Suspect,
    observed_presence,
)
from dotterelhill.jobs.durations.model import DurationModel
from dotterelhill.jobs.durations.stragglers import Straggler, StragglerSearch
from dotterelhill.jobs.fleet import (
    END_LIST_LIMIT,
    EndKind,
    EndReport,
    Minion,
    MinionFacts,
    MinionReport,
    Run,
    RunState,
    lease_end,
)
from dotterelhill.jobs.interference.sharing import InterferenceControl
from dotterelhill.jobs.memory import job_bytes
from dotterelhill.jobs.minions.capacity import StartHold, runs_beyond_capacity
from dotterelhill.jobs.minions.health import Exclusion
from dotterelhill.jobs.minions.late_starts import LATE_SECONDS, LateStarts
from dotterelhill.jobs.minions.uneven import UnevenMinions
from dotterelhill.jobs.model import (
    FINAL_STATES,
    Assignment,
    Job,
    JobState,
    Submission,
    Task,
    TaskKey,
)
from dotterelhill.jobs.orders import (
    Order,
    PaceOrder,
    StartOrder,
    StartOutcome,
    StopOrder,
)
from dotterelhill.jobs.placement.failing_tasks import FailingTasks
from dotterelhill.jobs.placement.filler_claims import step_id
from dotterelhill.jobs.placement.lasting_waits import LastingWaits, explain_wait
from dotterelhill.jobs.placement.look_ahead.reservations import Reservation
from dotterelhill.jobs.placement.placement import UNLIMITED_STARTS, Placement
from dotterelhill.jobs.placement.start_bound import OverdueStep, StartBound, explain
from dotterelhill.jobs.placement.waiting import JobOrder
from dotterelhill.jobs.queues import FleetConfig, Queue
from dotterelhill.jobs.retention import EndedJobs, RemovedSubmissions
from dotterelhill.jobs.shortage.control import ShortageControl
from dotterelhill.jobs.tenants.gauges import TenantGauges
from dotterelhill.jobs.tenants.limits import TenantLimits
from dotterelhill.jobs.tenants.loads import CapacityCheck, TenantLoad, TenantLoads
from dotterelhill.jobs.tenants.reclaim import Reclaim
from dotterelhill.jobs.tenants.shares import TenantShares
from dotterelhill.jobs.tenants.usage import TenantUsage
from dotterelhill.jobs.unstored import UnstoredJobs

# An unanswered stop order is sent again after this time. A delayed order may still be carried out
# after 2 s or more.
STOP_RETRY_SECONDS = 0.7
# A poll of a minion returns when a run ends, or after this time. The platform allows at most 2 s.
MAX_POLL_SECONDS = 2.0
# With a shorter wait, two polls in a row can be lost before the lease of 6 s ends.
MAX_POLL_SECONDS_WITH_RUNS = 1.2
UNRESOLVED_POLL_SECONDS = 0.3
# The reported tail of a serving task beside fillers covers half a second.
SHARING_POLL_SECONDS = 0.4
# A poll that is lost alone is repeated and answered within this time on a prompt event loop.
SILENT_SECONDS_TO_CLOSE_LEASE = 0.35
# A task starts again on the minion that has left up to as many of its starts without an answer.
MAX_UNANSWERED_STARTS = 3
# The clock of a later incarnation may agree by chance with that of the one that was called, with a
# probability that grows with the time of the call. A later answer doesn't tell which one it is of.
PROMPT_ANSWER_SECONDS = 0.1
# Time after which the proof that a run has lived is stored, unless its job is stored anyway.
PROOF_STORE_SECONDS = 2.0
# The search for a minion takes up to 0.3 ms for each straggler, and a round has 25 ms.
MAX_STRAGGLERS_PLACED = 8


class Scheduler:
    """Scheduler state of all jobs and minions of the fleet, owned by the leader.

    :param settings: time limits of the scheduler
    :param renewals_end: loop time in seconds until which an earlier leader may renew leases
    :param job_order: order of jobs that replaces the usual one, for measurements
    """

    def __init__(
        self, settings: SchedulerSettings, renewals_end: float, job_order: JobOrder | None = None
    ) -> None:
        self._settings = settings
        # A minion without a report for this time gets no starts.
        self._silent_seconds = settings.lease_seconds / 2
        # A run that an earlier leader started may continue until this loop time on a minion that
        # does not answer.
        self._earlier_lease_end = lease_end(renewals_end, settings.lease_seconds)
        self._jobs: dict[str, Job] = {}
        self._active_jobs: dict[str, Job] = {}
        self._ended_jobs = EndedJobs(settings.retention_seconds)
        self._minions: dict[str, Minion] = {}
        self._config = FleetConfig()
        self._evacuated_domains: frozenset[str] = frozenset()
        self._interference = InterferenceControl(settings.harm_seconds)
        self._suspicion = CrashSuspicion()
        self._doubts = Doubts()
        self._crashes = CrashCounting(
            self._active_jobs,
            self._minions,
            self._suspicion,
            self._doubts,
            self._mark_dirty,
            self._append_decision,
        )
        self._failing = FailingTasks()
        self._durations = DurationModel()
        self._tenant_usage = TenantUsage()
        self._tenant_limits = TenantLimits(self._tenant_usage)
        self._tenant_loads = TenantLoads()
        # Unix ms of the newest round; None before the first.
        self._planned_unix_ms: int | None = None
        self._tenant_shares = TenantShares(self._tenant_usage, self._tenant_limits)
        self._tenant_gauges = TenantGauges()
        self._reclaim = Reclaim(
            self._tenant_usage, self._tenant_limits, self._tenant_shares, self._interference
        )
        self._stragglers = StragglerSearch(
            self._durations,
            are_copies_enabled=settings.are_copies_enabled,
            are_restarts_enabled=settings.are_restarts_enabled,
        )
        self._shortage: ShortageControl | None = None
        if settings.switches.shortage_control:
            self._shortage = ShortageControl(self._durations)
        self._uneven = UnevenMinions(
            self._durations, self._jobs, is_enabled=settings.switches.speed_placement
        )
        self._placement = Placement(
            self._interference,
            self._suspicion,
            self._durations,
            self._tenant_limits,
            self._failing,
            self._tenant_shares,
            self._uneven,
            job_order or self._shortage,
            is_look_ahead_enabled=settings.switches.look_ahead,
        )
        self._lasting_waits = LastingWaits()
        self._start_bound = StartBound(settings.lease_seconds)
        self._hold = StartHold(settings.capacity_valid_seconds)
        self._planned_restarts: list[tuple[Minion, Run]] = []
        self._dirty_jobs: dict[str, Job] = {}
        # Loop time of the oldest proof of a run that is not stored, by job id, the oldest first.
        self._unstored_proofs: dict[str, float] = {}
        # Number of changes of jobs that have to be stored.
        self._dirty_count = 0
        self._planned_runs: list[Run] = []
        self._unstored_jobs = UnstoredJobs()
        self._known_bytes = 0
        # Ends of runs since the newest durable write, as in ``Changes.job_ends``.
        self._job_ends: dict[str, dict[Minion, int]] = {}
        self._orders: list[Order] = []
        self._decisions: list[Decision] = []
        # Ids of jobs whose progress has to be deleted, in order.
        self._removed_job_ids: dict[str, None] = {}
        self._expired_job_ids: list[str] = []
        self._removed_submissions = RemovedSubmissions(settings.retention_seconds)
        self._early_cancellations: dict[tuple[str, str], float] = {}
        self._expired_cancellations: list[tuple[str, str]] = []
        # Time until which an incarnation that is not listed may have runs, by incarnation.
        self._unlisted_lease_ends: dict[str, float] = {}
        # Those of them whose end has been counted against the runs that may have caused it.
        self._counted_incarnations: set[str] = set()
        self._late_starts = LateStarts()
        # Those of earlier leaders until the first round: time in Unix ms, minion id, task and run.
        self._restored_late_starts: list[tuple[int, str, TaskKey, int]] = []
        # Time until which a start of an earlier leader may be carried out late.
        self._earlier_starts_until = -inf
        # Jobs of tasks, by task, that wait since a later life may begin them.
        self._pinned: dict[TaskKey, Job] = {}
        # Fence of a minion that is not known, higher than those of minions that were removed.
        self._first_fence = 0
        self._highest_fence = 0
        # Ends of leases by incarnation that an earlier leader stored, where they are earlier.
        self._stored_lease_ends: dict[str, float] = {}
        # Incarnations whose leases a stored record may call closed.
        self._closed_leases: set[str] = set()

    @property
    def minions(self) -> Mapping[str, Minion]:
        """Return the current incarnations of minions by minion id."""
        return self._minions

    @property
    def jobs(self) -> Mapping[str, Job]:
        """Return the jobs by id."""
        return self._jobs

    @property
    def sharing(self) -> InterferenceControl:
        """Return the control of the interference between fillers and serving tasks."""
        return self._interference

    @property
    def durations(self) -> DurationModel:
        """Return the learned durations of tasks."""
        return self._durations

    @property
    def stragglers(self) -> StragglerSearch:
        """Return the search for runs that take much longer than expected."""
        return self._stragglers

    @property
    def shortage(self) -> ShortageControl | None:
        """Return the control of shortages; None where it is turned off."""
        return self._shortage

    @property
    def uneven(self) -> UnevenMinions:
        """Return the records of minions that are slow, fail or go away."""
        return self._uneven

    @property
    def lasting_waits(self) -> LastingWaits:
        """Return the waiting times of lasting tasks that do not run."""
        return self._lasting_waits

    @property
    def start_bound(self) -> StartBound:
        """Return the check of the bound within which accepted tasks start."""
        return self._start_bound

    @property
    def highest_fence(self) -> int:
        """Return the highest fence that a call to a minion has carried in this term."""
        return self._highest_fence

    @property
    def waiting_job_count(self) -> int:
        """Return the number of accepted jobs without a start yet."""
        return sum(self.waiting_by_queue().values())

    @property
    def waiting_tasks(self) -> int:
        """Return the number of tasks that wait for a minion."""
        return self._placement.waiting_tasks

    @property
    def known_bytes(self) -> int:
        """Return the estimated memory that all known jobs take, in bytes."""
        return self._known_bytes

    @property
    def unstored_job_count(self) -> int:
        """Return the number of jobs that are held because their progress can't be stored."""
        return self._unstored_jobs.count

    @property
    def had_starts_left(self) -> bool:
        """Return whether the newest round tried every waiting task."""
        return self._placement.had_starts_left

    @property
    def reservations(self) -> Mapping[Minion, Reservation]:
        """Return the minions on which room is reserved for large tasks."""
        return self._placement.look_ahead.by_minion

    @property
    def room_wait_seconds(self) -> float:
        """Return the longest wait of an overdue lasting task beside room for two, in seconds."""
        return self._placement.room_waits.longest_seconds

    @property
    def short_pool_minion_count(self) -> int:
        """Return the number of minions that are kept for short tasks."""
        return self._placement.short_pool.minion_count

    @property
    def longest_reserved_wait_seconds(self) -> float:
        """Return the longest wait of a task for which room is reserved, in seconds."""
        return self._placement.look_ahead.longest_wait_seconds

    @property
    def tenant_usage(self) -> TenantUsage:
        """Return the resources that the runs of each tenant use."""
        return self._tenant_usage

    @property
    def tenant_limits(self) -> TenantLimits:
        """Return the limits of tenants."""
        return self._tenant_limits

    # Jobs

    def submit(self, submission: Submission, now: float) -> None:
        """Add a job from a stored submission; a repeated submission has no effect.

        The first tenant that submits an id owns it. Its name is stored with the progress when
        another one submits the same id, so that later leaders decide alike.
        """
        job_id = submission.job_id
        known = self._jobs.get(job_id)
        if known is not None:
            if known.submission.tenant != submission.tenant:
                self._record_decision(
                    "submission ignored: its id is taken", job_id, tenant=submission.tenant
                )
                if not known.tasks:
                    self._mark_dirty(known)
            return
        if self._removed_submissions.has(submission):
            return
        job = self._jobs[job_id] = Job(submission)
        self._known_bytes += job_bytes(submission, is_ended=False)
        if job_id in self._removed_job_ids:
            # The progress of an earlier job with this id must not become that of this one.
            del self._removed_job_ids[job_id]
            self._mark_dirty(job)
        if self._planned_unix_ms is not None:
            # Jobs that are loaded before the first round arrived at an earlier leader.
            self._tenant_loads.record_arrival(submission.tenant, now)
        if self._early_cancellations.pop((job_id, submission.tenant), None) is not None:
            self._end_job(job, JobState.CANCELLED, now)
            return
        self._activate(job)

    def cancel(self, job_id: str, now: float, tenant: str = "") -> None:
        """Cancel a job after its cancellation was stored, which may precede the submission.

        :param tenant: tenant that cancels; the job of another one is not affected
        """
        job = self._jobs.get(job_id)
        if job is None:
            self._early_cancellations[job_id, tenant] = now
            return
        if not job.is_visible_to(tenant):
            return
        if job.state not in FINAL_STATES:
            self._end_job(job, JobState.CANCELLED, now)

    def restore(self, job: Job, now: float) -> None:
        """Add a job with the progress that an earlier leader stored."""
        if self._earlier_starts_until == -inf:
            self._earlier_starts_until = now + LATE_SECONDS
        self._jobs[job.job_id] = job
        # A record of an earlier build doesn't tell whether a run has begun.
        job.has_begun = job.has_begun or job.has_proven_beginning
        self._known_bytes += job_bytes(job.submission, is_ended=job.is_ended)
        if job.state in FINAL_STATES:
            job.ended_at = now
            self._ended_jobs.add(job)
        else:
            self._activate(job)
            self._crashes.restore(job, now)
        for task in job.tasks.values():
            for assignment in task.assignments:
                # Counted even if its minion is not listed: the run may exist until its lease ends.
                self._count_run(job, task, assignment.minion_id, assignment.run_id)
                self._attach_stored_run(job, task, assignment, now)
            if task.run_id and not task.is_assigned:
                task.idle_since = self._unknown_run_end(now)
            if task.late_starts:
                self._restore_late_starts(job, task)
        if job.submission.schedule is not None or job.is_ended:
            job.forget_tasks()
        identity = (job.job_id, job.submission.tenant)
        is_cancelled = self._early_cancellations.pop(identity, None) is not None
        if is_cancelled and job.state not in FINAL_STATES:
            self._end_job(job, JobState.CANCELLED, now)

    def remove_jobs(self, job_ids: Iterable[str], now: float) -> None:
        """Remove ended jobs whose submissions are no longer stored; unknown ids are ignored."""
        for job_id in job_ids:
            job = self._jobs.pop(job_id, None)
            if job is None:
                continue
            self._known_bytes -= job_bytes(job.submission, is_ended=True)
            self._unstored_jobs.release(job_id)
            self._removed_submissions.add(job.submission, now)
            self._removed_job_ids[job_id] = None

    def remove_orphans(self, job_ids: Iterable[str]) -> None:
        """Delete stored progress of jobs whose submissions are no longer stored."""
        self._removed_job_ids.update(dict.fromkeys(job_ids))

    def record_restored_runs(self, now: float) -> None:
        """Record for the log what became of the stored runs when this leader has loaded them.

        Runs on an incarnation that is not listed keep their tasks waiting until it is listed or the
        leases of the earlier leader have ended.
        """
        attached = unlisted = 0
        for job in self._active_jobs.values():
            for task in job.tasks.values():
                for assignment in task.assignments:
                    minion = self._minions.get(assignment.minion_id)
                    if minion is not None and minion.facts.born_ms == assignment.born_ms:
                        attached += 1
                    else:
                        unlisted += 1
        until = max(self._unlisted_lease_ends.values(), default=now)
        fields: dict[str, object] = {
            "jobs": len(self._active_jobs),
            "attached": attached,
            "unlisted": unlisted,
            "incarnations": len(self._unlisted_lease_ends),
            "released_within_ms": round(1000 * max(0.0, until - now)),
            "queued": self._placement.waiting_tasks,
            "waiting_jobs": self.waiting_job_count,
        }
        self._decisions.append(Decision("stored runs restored", "", fields))

    def _unknown_run_end(self, now: float) -> float:
        """Return the time at which a run counts as ended that an earlier leader saw last.

        A task may have waited under that leader already, which is not stored.
        """
        return now - self._settings.lease_seconds

    def _activate(self, job: Job) -> None:
        """Add a job that has not ended to the active jobs and to placement."""
        self._active_jobs[job.job_id] = job
        self._placement.add_job(job)
        if job.submission.tenant:
            self._decisions.extend(self._tenant_limits.oversize_decisions([job]))

    def _count_run(self, job: Job, task: Task, minion_id: str, run_id: int) -> None:
        """Count a run of a task for the tenant of its job."""
        tenant = job.submission.tenant
        if not tenant:
            return
        minion = self._minions.get(minion_id)
        service = job.submission.queue.service if minion is None else minion.facts.service
        step = job.submission.steps[task.key.step]
        self._tenant_usage.add(tenant, service, task.key, run_id, step)

    def _attach_stored_run(self, job: Job, task: Task, assignment: Assignment, now: float) -> None:
        """Attach a run that an earlier leader may have started to its minion."""
        minion = self._minions.get(assignment.minion_id)
        if minion is None or minion.facts.born_ms != assignment.born_ms:
            is_counted = assignment.incarnation in self._counted_incarnations
            if minion is not None and (is_counted or minion.facts.born_ms > assignment.born_ms):
                # Of an incarnation that this leader has counted, only late starts are left.
                if assignment.is_proven and not is_counted:
                    reason = "minion restarted as another incarnation"
                    self._release_stored_run(job, task, assignment, now, reason)
                else:
                    self._fence_late_start(job, task, assignment, minion, now)
                return
            # The minion is not listed, but its lease may not have expired yet.
            lease_until = self._inherited_lease_end(assignment.incarnation)
            self._unlisted_lease_ends.setdefault(assignment.incarnation, lease_until)
            return
        step = job.submission.steps[task.key.step]
        run = Run(
            task.key,
            assignment.run_id,
            step,
            minion.minion_id,
            RunState.PRESENT,
            now,
            settled_at=now,
        )
        run.is_proven, run.is_inherited = assignment.is_proven, True
        run.is_extra = assignment.is_copy or task.is_restarted
        minion.attach(run)
        if job.state in FINAL_STATES or task.is_done:
            self._stop(minion, run, now)

    def _fence_late_start(
        self, job: Job, task: Task, assignment: Assignment, minion: Minion, now: float
    ) -> None:
        """Prevent a start that was ordered on an earlier incarnation of a minion.

        The present one takes calls that were meant for the earlier one. The task waits until a
        report proves the absence of the run: one that was asked for after the answer to a stop or,
        for the order of an earlier leader, with the fencing token of this one.
        """
        is_own = assignment.incarnation in self._counted_incarnations
        self._count_stored_run(job, task, assignment, now)
        task.move(assignment, minion.facts.born_ms)
        self._mark_dirty(job)
        step = job.submission.steps[task.key.step]
        run = Run(
            task.key, assignment.run_id, step, minion.minion_id, RunState.STOPPING, now,
            settled_at=None if is_own else now, is_proven=True, is_inherited=not is_own,
        )  # fmt: skip
        if is_own:
            run.late_until, run.fence = now + LATE_SECONDS, minion.fence - 1
        else:
            run.late_until = self._earlier_starts_until
            taken_over_at = self._earlier_starts_until - LATE_SECONDS
            self._add_late_start(minion.minion_id, run.key, run.run_id, taken_over_at)
        minion.attach(run)
        minion.extend_lease(now, self._settings.lease_seconds)
        if is_own:
            self._stop(minion, run, now)

    def state_of(self, job_id: str, tenant: str = "") -> JobState | None:
        """Return the state of a job for clients, or None for a job that the tenant does not know.

        A job is queued until a task has started, although its state is stored with the first plan.
        """
        job = self._jobs.get(job_id)
        if job is None or not job.is_visible_to(tenant):
            return None
        if job.stored_state is JobState.RUNNING and not job.has_begun:
            return JobState.QUEUED
        return job.stored_state

    def waiting_by_queue(self) -> dict[str, int]:
        """Return the number of accepted jobs without a start yet, by queue name."""
        counts: dict[str, int] = {}
        for job in self._active_jobs.values():
            if not job.has_begun:
                queue = job.submission.queue.name
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def tenant_gauges(self) -> dict[tuple[str, str], float]:
        """Return the gauges of tenants for the metrics, by metric name and label."""
        usage, shares = self._tenant_usage, self._tenant_shares
        return self._tenant_gauges.read(
            usage.by_tenant,
            self._placement.waiting_tasks_by_tenant(),
            [(owner.tenant, shares.dominant_share(owner)) for owner in usage.by_owner],
            self._reclaim.stopped_runs,
        )

    def tenant_loads(self, now: float) -> dict[str, TenantLoad]:
        """Return the load of each tenant that has jobs, by tenant name."""
        if self._planned_unix_ms is None:
            return {}
        active = [(job, self._queue_of(job).service) for job in self._active_jobs.values()]
        listed = [minion for minion in self._minions.values() if minion.is_listed]
        check = CapacityCheck(listed, had_starts_left=self._placement.had_starts_left)
        waiting = self._placement.waiting_tasks_of_round(self._planned_unix_ms)
        waits = check.find(waiting, self._tenant_limits)
        return self._tenant_loads.loads(active, waits, self._tenant_limits, now)

    def _end_job(self, job: Job, state: JobState, now: float, **fields: object) -> None:
        """Set the final state of a job and stop its runs.

        :param fields: extra fields of the log line
        """
        job.state = state
        job.ended_at = now
        self._known_bytes -= job_bytes(job.submission, is_ended=False)
        self._known_bytes += job_bytes(job.submission, is_ended=True)
        self._ended_jobs.add(job)
        self._active_jobs.pop(job.job_id, None)
        self._placement.remove_job(job)
        if self._shortage is not None:
            self._shortage.record_end(job, now)
        self._suspicion.remove_job(job)
        self._stragglers.forget_job(job.job_id)
        self._mark_dirty(job)
        failures = sum(task.failures for task in job.tasks.values())
        self._record_decision(
            "job ended", job.job_id, state=str(state), failures=failures, **fields
        )
        for task in job.tasks.values():
            self._failing.forget(task.key)
            self._stop_task(task, now)

    # Configuration

    def configure(self, config: FleetConfig) -> None:
        """Replace the configuration by a newer one."""
        self._config = config
        self._placement.rank_anew()
        if self._tenant_limits.configure(config):
            oversize = self._tenant_limits.oversize_decisions(self._active_jobs.values())
            self._decisions.extend(oversize)

    def evacuate(self, failure_domains: Iterable[str]) -> None:
        """Set the failure domains in which no task may start."""
        self._evacuated_domains = frozenset(failure_domains)

    # Minions

    def end_earlier_renewals(self, renewals_end: float) -> None:
        """Shorten the leases of earlier leaders, whose terms end earlier than assumed.

        :param renewals_end: time from which none of them renews leases; it may be in the future
        """
        until = lease_end(renewals_end, self._settings.lease_seconds)
        known_until = self._earlier_lease_end
        if until >= known_until:
            return
        self._limit_inherited_leases(until, self._stored_lease_ends)

    def apply_stored_leases(self, ends: Mapping[str, float]) -> None:
        """Shorten the leases of minions that the earlier leader did not renew until its end.

        :param ends: loop times by which the leases have certainly ended, by incarnation
        """
        self._limit_inherited_leases(self._earlier_lease_end, ends)

    def _inherited_lease_end(self, incarnation: str) -> float:
        """Return the time by which leases that earlier leaders granted have certainly ended."""
        return min(self._earlier_lease_end, self._stored_lease_ends.get(incarnation, inf))

    def _limit_inherited_leases(self, until: float, stored_ends: Mapping[str, float]) -> None:
        """Set new bounds for the leases of earlier leaders."""
        self._earlier_lease_end, self._stored_lease_ends = until, dict(stored_ends)
        for minion in self._minions.values():
            earlier_until = self._inherited_lease_end(minion.incarnation)
            minion.lease_until = min(minion.lease_until, max(minion.own_lease_until, earlier_until))
        for key, unlisted_until in self._unlisted_lease_ends.items():
            if key in self._counted_incarnations:
                # This leader has ordered starts there itself.
                continue
            self._unlisted_lease_ends[key] = min(unlisted_until, self._inherited_lease_end(key))

    def close_leases(self, now: float, unread_seconds: float) -> dict[str, float]:
        """Cease to extend the leases of minions with runs that are not reached.

        :param unread_seconds: time for which an answer may wait unread
        :returns: ends of their leases as loop times, by incarnation, which may be stored
        """
        ends = dict(self._unlisted_lease_ends)
        for minion in self._minions.values():
            if not minion.runs or not self._is_unreached(minion, now - unread_seconds):
                continue
            later_end = lease_end(minion.later_life_at, self._settings.lease_seconds)
            ends[minion.incarnation] = max(minion.lease_until, later_end)
            minion.is_lease_closed = True
        self._closed_leases.update(ends)
        return ends

    def _is_unreached(self, minion: Minion, read_until: float) -> bool:
        """Return whether neither this leader nor, before its first answer, the one before did.

        :param read_until: loop time up to which answers have been read
        """
        if minion.clock_ms is None:
            # This leader has not extended its lease either.
            is_failing = not minion.is_answering
            return is_failing or minion.incarnation in self._stored_lease_ends
        if minion.silent_at is None or minion.is_answering:
            return False
        return read_until - minion.silent_at >= SILENT_SECONDS_TO_CLOSE_LEASE

    @property
    def closed_leases(self) -> frozenset[str]:
        """Return the incarnations whose leases are not extended."""
        return frozenset(self._closed_leases)

    def reopen_leases(self, closed: Iterable[str]) -> None:
        """Extend leases again that no stored record calls closed.

        :param closed: incarnations whose leases remain closed
        """
        self._closed_leases = set(closed)
        for minion in self._minions.values():
            minion.is_lease_closed = minion.incarnation in self._closed_leases

    def update_minion(self, facts: MinionFacts, now: float) -> None:
        """Add or update a minion that the platform lists."""
        known = self._minions.get(facts.minion_id)
        if known is not None and known.facts.born_ms > facts.born_ms:
            # An entry read again, or that of a later incarnation whose clock was set back.
            known.doubtful_facts = facts
            return
        if known is not None and known.facts.born_ms == facts.born_ms:
            known.is_listed = True
            if facts.is_draining and not known.facts.is_draining:
                self._record_minion_decision("minion drains", known)
            if facts.capacity != known.facts.capacity:
                self._record_minion_decision(
                    "minion capacity changed",
                    known,
                    old_capacity=known.facts.capacity.as_list(),
                    capacity=facts.capacity.as_list(),
                    reserved=known.used.as_list(),
                )
                self._interference.discard_cached_headroom(known)
            known.facts = facts
            return
        if known is not None:
            self._release_replaced(known, now)
        self._crashes.confirm_doubts(facts.minion_id, facts.born_ms, now)
        minion = Minion(facts, lease_until=now)
        if known is None:
            minion.fence = self._first_fence
            self._highest_fence = max(self._highest_fence, minion.fence)
        else:
            minion.fence = known.fence
            self._raise_fence(minion)
        minion.lease_until = max(now, self._inherited_lease_end(minion.incarnation))
        minion.is_lease_closed = minion.incarnation in self._closed_leases
        self._minions[facts.minion_id] = minion
        self._record_minion_decision("minion listed", minion)
        self._attach_stored_runs(minion, now)
        for key, run_id in self._late_starts.on_minion(minion.minion_id, now):
            if key not in minion.runs:
                self._orders.append(StopOrder(minion, key, run_id))

    def _attach_stored_runs(self, minion: Minion, now: float) -> None:
        """Attach the stored runs that waited for this minion to be listed."""
        incarnation = minion.incarnation
        unlisted = [
            key for key in self._unlisted_lease_ends if key.startswith(f"{minion.minion_id}@")
        ]
        if not unlisted:
            return
        for key in unlisted:
            del self._unlisted_lease_ends[key]
        for job in list(self._jobs.values()):
            for task in job.tasks.values():
                for assignment in task.assignments:
                    if assignment.minion_id != minion.minion_id:
                        continue
                    if assignment.incarnation in (incarnation, *unlisted):
                        self._attach_stored_run(job, task, assignment, now)
        self._counted_incarnations.difference_update(unlisted)

    def record_minion_list(self, read_at: float) -> None:
        """Record the loop time at which the list of minions was last read to its end."""
        self._hold.record_list(read_at)

    def mark_minion_unlisted(self, minion_id: str) -> None:
        """Mark a minion as no longer listed by the platform; its runs may continue."""
        minion = self._minions.get(minion_id)
        if minion is not None and minion.is_listed:
            minion.is_listed, minion.doubtful_facts = False, None
            self._record_minion_decision("minion not listed", minion)

    def report(
        self, minion: Minion, report: MinionReport, sent_at: float, now: float, fence: int = 0
    ) -> bool:
        """Process the report of a minion about its running and ended tasks.

        :param sent_at: loop time at which the poll was sent
        :param fence: fence that the poll carried
        :returns: whether it changes what may start or has to be stored
        """
        if self._minions.get(minion.minion_id) is not minion:
            return False
        changes, processed_end = minion.change_count, minion.processed_end
        dirty, exclusion = self._dirty_count, self._exclusion(minion, now)
        self._process_report(minion, report, sent_at, now, fence)
        return (
            minion.change_count != changes
            or minion.processed_end != processed_end
            or self._dirty_count != dirty
            or self._minions.get(minion.minion_id) is not minion
            or self._exclusion(minion, now) is not exclusion
        )

    def _process_report(
        self, minion: Minion, report: MinionReport, sent_at: float, now: float, fence: int
    ) -> None:
        """Process the report of a current minion as ``report`` does."""
        if report.born_ms and report.born_ms != minion.facts.born_ms:
            # This incarnation was listed before the poll was sent, so a later one has answered.
            self._release_replaced(minion, now, report, fence)
            self._crashes.confirm_doubts(minion.minion_id, report.born_ms, now)
            self._remove_minion(minion)
            facts = minion.doubtful_facts
            if facts is not None and facts.born_ms == report.born_ms:
                self.update_minion(facts, now)
            return
        if self._doubts.by_incarnation:
            self._crashes.withdraw_doubts(minion.incarnation)
        if minion.clock_ms is None:
            # Calls to an earlier incarnation, which this one refuses from now on, may have extended
            # its lease by a full one until it answered.
            minion.extend_lease(now, self._settings.lease_seconds)
        if not minion.clock.accepts(report.clock_ms, sent_at, now):
            minion.clock.reset(report.clock_ms, sent_at, now)
        minion.clock_ms, minion.clock_at = report.clock_ms, now
        minion.last_report_at, minion.has_lapsed = now, False
        if not minion.is_answering:
            minion.is_answering, minion.silent_at = True, None
            self._record_minion_decision("minion answers again", minion)
        minion.has_listed_ends, minion.has_withheld_end = bool(report.ended), False
        if report.ended:
            self._process_ends(minion, report, now)
        present = self._process_running(minion, report, now)
        is_complete_list = len(report.ended) < END_LIST_LIMIT
        if is_complete_list and not minion.runs.keys() <= present:
            for run in list(minion.runs.values()):
                if run.key not in present:
                    self._process_absence(minion, run, sent_at, now, fence)
        minion.is_synced = minion.is_synced or is_complete_list
        self._orders.extend(self._interference.pace_orders(minion, now))

    def mark_minion_silent(self, minion: Minion, reason: str, now: float) -> None:
        """Mark a minion as not answering; its runs are kept until its lease has expired."""
        if minion.is_answering:
            minion.is_answering, minion.silent_at = False, now
            # A later incarnation refuses the calls of before once it has carried out one of after.
            self._raise_fence(minion)
            self._suspicion.record_silence(minion, now)
            self._record_minion_decision(f"minion does not answer: {reason}", minion)

    def remove_replaced_minion(self, minion: Minion, now: float) -> None:
        """Remove a minion that is proven gone because another one answers at its address."""
        if self._minions.get(minion.minion_id) is minion:
            self._release_minion(minion, now, "another minion answers at its address")
            self._remove_minion(minion)
            # Their header names an id that is gone.
            for key in self._late_starts.withdraw_minion(minion.minion_id):
                self._note_late_starts(key)

    def poll_wait_seconds(self, minion: Minion) -> float:
        """Return how long the next poll of a minion may wait for the end of a run, in seconds."""
        if not minion.is_synced:
            return 0.0
        has_suspects = self._suspicion.has_suspects
        unknown, stopping = RunState.UNKNOWN, RunState.STOPPING
        has_filler = has_serving = False
        for run in minion.runs.values():
            if run.state is unknown or run.state is stopping:
                return UNRESOLVED_POLL_SECONDS
            if has_suspects and not run.is_proven and self._suspicion.is_suspected(run.key):
                return UNRESOLVED_POLL_SECONDS
            step = run.step
            if step.is_filler:
                has_filler = True
            if step.is_lasting:
                has_serving = True
        if self._placement.isolation.is_claimed(minion):
            return UNRESOLVED_POLL_SECONDS
        if has_filler and has_serving:
            return SHARING_POLL_SECONDS
        return MAX_POLL_SECONDS_WITH_RUNS if minion.runs else MAX_POLL_SECONDS

    def _process_running(self, minion: Minion, report: MinionReport, now: float) -> set[TaskKey]:
        """Update the runs that a report lists as running.

        :returns: keys of those attached runs
        """
        present: set[TaskKey] = set()
        runs, jobs, is_synced = minion.runs, self._jobs, minion.is_synced
        counted_crashes = self._suspicion.counted_tasks
        sent, unknown, stopping = RunState.SENT, RunState.UNKNOWN, RunState.STOPPING
        # Time at which the newest lasting run was planned that works at full speed.
        working_planned_at = -inf
        for row in report.running:
            key = row.key
            run = runs.get(key)
            if run is None or run.run_id != row.run_id:
                # While an earlier run of the task is here, the task may start nowhere else.
                present.add(key)
                # No stored progress names this run: its job is removed or the run was released.
                self._orders.append(StopOrder(minion, key, row.run_id))
                self._record_unassigned_run(minion, key, row.run_id)
                continue
            present.add(key)
            state = run.state
            if state is sent or state is unknown or run.late_until > now:
                self._process_beginning(run)
            run.is_confirmed = True
            if run.settled_at is None:
                run.settled_at = now
            run.percent = row.percent
            is_lasting, checkpoint = run.step.is_lasting, row.checkpoint
            if is_lasting:
                run.tail_ms = row.measure
                if row.percent >= 100:
                    self._failing.forget(key)
                    working_planned_at = max(working_planned_at, run.planned_at)
            else:
                run.cpu_used = row.measure
            job = jobs.get(key.job_id) if is_lasting or checkpoint else None
            if job is not None:
                task = job.tasks.get(key) or job.task(key)
                if is_lasting:
                    task.idle_since = None
                # The checkpoints of a copy may be older than those of the first run.
                if checkpoint and checkpoint != task.checkpoint and task.run_id == run.run_id:
                    task.checkpoint = checkpoint
                    run.saved_at = now if is_synced else run.saved_at
            if not run.is_proven or key in counted_crashes:
                self._process_presence(run, report.clock_ms, now)
            if state is stopping:
                self._stop(minion, run, now)
        minion.health.record_work(working_planned_at, now)
        self._interference.observe(minion, now)
        return present

    def _record_beginning(self, job: Job, now: float) -> None:
        """Record that a run of a job has begun, so that the job no longer counts as waiting.

        It is stored once for each job: a later leader can't tell it from the plan of the run.
        """
        job.has_begun = True
        if self._planned_unix_ms is not None:
            # Runs that are found before the first round began under an earlier leader.
            self._tenant_loads.record_start(job.submission.tenant, now)
        if not job.is_ended:
            self._mark_dirty(job)

    def _process_beginning(self, run: Run) -> None:
        """Process that a run is known to have begun, so that its start does not come late."""
        if run.late_until > -inf:
            self._withdraw_late_start(run.minion_id, run.key, run.run_id)
            run.late_until = -inf
        if run.state is not RunState.STOPPING:
            run.state = RunState.PRESENT

    def _record_unassigned_run(self, minion: Minion, key: TaskKey, run_id: int) -> None:
        """Record for the log that a minion runs what is not assigned to it."""
        job = self._jobs.get(key.job_id)
        task = job.tasks.get(key) if job is not None else None
        assigned = [] if task is None else [one.minion_id for one in task.assignments]
        self._record_decision(
            "run that is not assigned is stopped", key.job_id, task=str(key), run=run_id,
            minion=minion.minion_id, born_ms=minion.facts.born_ms, assigned=assigned,
            is_done=task is not None and task.is_done,
        )  # fmt: skip

    def _process_presence(self, run: Run, clock_ms: int, now: float) -> None:
        """Process a report that lists a run, which may clear its task of crashing minions.

        The proof that it has lived is stored soon, if not with something else: a later leader holds
        the other tasks for starts that may come late.
        """
        presence = observed_presence(run, clock_ms)
        job = self._jobs.get(run.key.job_id)
        task = job.tasks.get(run.key) if job is not None else None
        if job is None or task is None or not task.assignment_of(run.minion_id, run.run_id):
            return
        if not job.has_begun:
            self._record_beginning(job, now)
        match presence:
            case Presence.PROVEN:
                task.mark_proven(run.run_id)
                if task.crashes or run.step.is_lasting:
                    # Otherwise a later leader would hold a crash of the platform against the task.
                    self._mark_dirty(job)
                else:
                    self._unstored_proofs.setdefault(job.job_id, now)
            case Presence.SURVIVING if task.crashes:
                self._clear_suspicion(job, task)

    def _clear_suspicion(self, job: Job, task: Task) -> None:
        """Lift the suspicion that a task crashes minions, if there is one."""
        crashes = task.crashes
        if not self._suspicion.record_survival(task):
            return
        self._mark_dirty(job)
        self._record_decision(
            "task no longer suspected", job.job_id, task=str(task.key), crashes=crashes
        )

    def _process_absence(
        self, minion: Minion, run: Run, sent_at: float, now: float, fence: int
    ) -> None:
        """Process a report that lacks a run.

        :param sent_at: loop time at which the poll was sent
        :param fence: fence that the poll carried
        """
        # The minion refuses the start order from now on.
        is_fenced = run.fence < fence
        match run.state:
            case RunState.PLANNED | RunState.SENT:
                return
            case RunState.UNKNOWN | RunState.STOPPING if is_fenced:
                self._release_run(minion, run, now, "not in the minion's report after its fence")
            case RunState.UNKNOWN:
                # The start order may still be carried out later, unless a stop order precedes it.
                if run.settled_at is not None and run.settled_at < sent_at:
                    self._stop(minion, run, now)
            case RunState.STOPPING:
                if run.settled_at is not None and run.settled_at < sent_at:
                    self._release_run(minion, run, now, "not in the minion's report after stop")
                else:
                    self._stop(minion, run, now)
            case RunState.PRESENT:
                if run.settled_at is not None and run.settled_at < sent_at:
                    if run.is_inherited and run.may_start_late:
                        # Whether the earlier leader's order was answered is not known.
                        at = self._earlier_starts_until - LATE_SECONDS
                        self._add_late_start(minion.minion_id, run.key, run.run_id, at)
                    self._release_run(minion, run, now, "not in the minion's report")

    def _process_ends(self, minion: Minion, report: MinionReport, now: float) -> None:
        """Process the ends in a report that were not processed before.

        They are acknowledged in order, up to the first one that must not be acknowledged yet.
        """
        is_withheld = False
        for end in report.ended:
            if end.number <= minion.processed_end:
                continue
            if end.number not in minion.unacknowledged:
                withheld_until = self._withheld_until(minion, end)
                # An end that could not be processed to the end is in the next report again.
                self._process_end(minion, end, now)
                minion.unacknowledged[end.number] = withheld_until
            is_withheld = is_withheld or now < minion.unacknowledged[end.number]
            if not is_withheld:
                minion.processed_end = end.number
                del minion.unacknowledged[end.number]
        minion.has_withheld_end = is_withheld

    def _withheld_until(self, minion: Minion, end: EndReport) -> float:
        """Return the loop time from which an end may be acknowledged; -inf for at once.

        An earlier start of a task that is done may still be carried out, by the next incarnation of
        its minion. Such a start must not follow an acknowledged end.
        """
        if end.kind is not EndKind.DONE or end.key is None or not self._late_starts:
            return -inf
        run = minion.runs.get(end.key)
        if run is None or run.run_id != end.run_id:
            return -inf
        self._withdraw_late_start(minion.minion_id, end.key, end.run_id)
        job = self._jobs.get(end.key.job_id)
        if job is None or job.state in FINAL_STATES:
            return -inf
        return -inf if run.step.is_lasting else self._late_starts.last_until(end.key)

    def _process_end(self, minion: Minion, end: EndReport, now: float) -> None:
        """Process a reported end of a run; a repeated call has no effect."""
        if end.key is None:
            return
        run = self._detach_ended_run(minion, end.key, end)
        job = self._jobs.get(end.key.job_id)
        if job is None or not 0 <= end.key.step < len(job.submission.steps):
            return
        job_ends = self._job_ends
        if job.job_id not in job_ends:
            job_ends[job.job_id] = {minion: end.number}
        elif minion not in job_ends[job.job_id]:
            job_ends[job.job_id][minion] = end.number
        if not job.has_begun:
            self._record_beginning(job, now)
        self._process_task_end(job, run, minion, end, now)
        if run is not None and end.kind is EndKind.DONE:
            # Last, since an error here must not leave the task assigned to a run that is gone.
            self._learn_duration(job, run, minion, now)

    def _process_task_end(
        self, job: Job, run: Run | None, minion: Minion, end: EndReport, now: float
    ) -> None:
        """Release the task of a run that has ended, and let it run again unless it is done.

        :param run: the run; None if it was not attached to the minion
        """
        assert end.key is not None
        planned_at = run.planned_at if run is not None else None
        task = job.task(end.key)
        assignment = task.assignment_of(minion.minion_id, end.run_id)
        is_current = run is not None or assignment is not None
        if is_current:
            self._start_bound.record_run(end.key.job_id, now)
        if assignment is not None:
            task.release(assignment)
            self._tenant_usage.remove(end.key, end.run_id)
            self._mark_dirty(job)
        if job.state in FINAL_STATES:
            return
        if task.is_done:
            # An error may have interrupted this when an earlier report listed the end.
            self._advance_job(job, task, now)
            return
        if assignment is not None and assignment.is_proven:
            self._clear_suspicion(job, task)
        if end.checkpoint and (assignment is None or not assignment.is_copy):
            task.checkpoint = end.checkpoint
        step = job.submission.steps[end.key.step]
        if end.kind is EndKind.DONE and not step.is_lasting:
            self._process_success(job, task, now)
            return
        if not is_current:
            return
        if task.idle_since is None:
            task.idle_since = now
        self._requeue(job, task)
        if end.kind is EndKind.FAILED:
            self._process_failure(job, task, minion, planned_at, now)
        if job.state not in FINAL_STATES:
            self._record_decision(
                "run ended", job.job_id, task=str(end.key), run=end.run_id, how=str(end.kind),
                minion=minion.minion_id, kind=step.kind,
            )  # fmt: skip

    def _detach_ended_run(self, minion: Minion, key: TaskKey, end: EndReport) -> Run | None:
        """Detach the run that ended; return None if it is not attached."""
        if self._late_starts:
            self._withdraw_late_start(minion.minion_id, key, end.run_id)
        run = minion.runs.get(key)
        if run is None or run.run_id != end.run_id:
            return None
        minion.detach(run)
        self._interference.remove_run(run)
        return run

    def _learn_duration(self, job: Job, run: Run, minion: Minion, now: float) -> None:
        """Learn from the duration of a run that ended done."""
        queue = job.submission.queue.name
        self._durations.record_end(queue, run, minion)
        if not job.is_ended:
            self._stragglers.record_done(run, minion)
        if self._shortage is not None:
            self._shortage.record_done(queue, run, minion)
        if not run.step.is_lasting:
            self._uneven.record_done(job, run, minion, now)

    def _process_success(self, job: Job, task: Task, now: float) -> None:
        """Mark a task as done; for a gang, mark all its tasks and stop the others."""
        step = job.submission.steps[task.key.step]
        members = [task]
        if step.is_gang:
            members = [
                job.task(TaskKey(job.job_id, task.key.occurrence, task.key.step, index))
                for index in range(step.count)
            ]
        for member in members:
            job.mark_done(member)
            member.checkpoint = ""
            self._placement.withdraw(job, member)
            self._clear_suspicion(job, member)
            self._stop_task(member, now)
        self._mark_dirty(job)
        self._advance_job(job, task, now)

    def _advance_job(self, job: Job, task: Task, now: float) -> None:
        """Add the steps that a done task makes ready, and end the job if it is complete.

        A repeated call has no effect.
        """
        self._placement.add_ready_dependents(job, task.key)
        if job.is_complete():
            self._end_job(job, JobState.COMPLETED, now)
        elif job.submission.schedule is not None and job.is_occurrence_done(task.key.occurrence):
            job.forget_tasks(task.key.occurrence)

    def _process_failure(
        self, job: Job, task: Task, minion: Minion, planned_at: float | None, now: float
    ) -> None:
        """Count a failed run for its task and its minion, and fail the job at its limit.

        :param planned_at: time at which the run was planned; None when it is not known
        """
        task.failures += 1
        self._mark_dirty(job)
        step = job.submission.steps[task.key.step]
        is_at_limit = not step.is_lasting and task.failures >= self._queue_of(job).max_attempts
        # The other run of a task with a copy may still end done.
        if is_at_limit and not task.is_assigned:
            # First, since an error below must not let the task start again.
            self._end_job(job, JobState.FAILED, now)
        is_blamed = step.is_lasting and self._failing.record_failure(task.key, minion, now)
        if not is_blamed:
            self._uneven.record_failure(minion, now)
            if minion.health.record_failure(planned_at, now):
                self._record_minion_decision("minion set aside after failures", minion)

    def _release_minion(
        self, minion: Minion, now: float, reason: str, *, is_certain: bool = True
    ) -> None:
        """Release all runs of a minion incarnation that is gone.

        :param is_certain: whether the incarnation has certainly ended, and was not only cut off
        """
        self._count_lost_minion(minion, now, is_certain=is_certain)
        for run in list(minion.runs.values()):
            self._release_run(minion, run, now, reason)

    def _give_up(self, suspect: Suspect, now: float) -> None:
        """Fail the job of a task that has crashed several minions."""
        job, task = suspect.job, suspect.task
        if job.state in FINAL_STATES:
            return
        self._record_decision(
            "task given up after it crashed minions", job.job_id, task=str(task.key),
            crashes=task.crashes, minions=suspect.minion_ids,
        )  # fmt: skip
        self._end_job(job, JobState.FAILED, now, reason="a task crashed its minions")

    def _raise_fence(self, minion: Minion) -> None:
        """Let the next calls to a minion exclude those of before, once one is carried out."""
        minion.fence += 1
        self._highest_fence = max(self._highest_fence, minion.fence)

    def _remove_minion(self, minion: Minion) -> None:
        """Remove a minion; the calls to later incarnations under its id get a higher fence."""
        del self._minions[minion.minion_id]
        self._first_fence = max(self._first_fence, minion.fence + 1)

    def _release_replaced(
        self,
        minion: Minion,
        now: float,
        report: MinionReport | None = None,
        fence: int = 0,
    ) -> None:
        """Release the runs of an incarnation after which another one has begun under its id.

        That one takes start orders which were meant for the earlier one, so tasks whose start may
        still be carried out stay assigned until it is listed.

        :param report: report of the later incarnation; None without one
        :param fence: fence of the poll that it answers, from which on it refuses lower ones
        """
        late, listed = [], set[TaskKey]()
        if report is not None:
            listed.update(row.key for row in report.running)
            listed.update(end.key for end in report.ended if end.key is not None)
        for run in minion.runs.values():
            earlier_until = self._late_starts.until(minion.minion_id, run.key)
            if run.may_start_late:
                self._add_late_start(minion.minion_id, run.key, run.run_id, now)
            is_known_here = run.is_confirmed or run.is_proven or run.state is RunState.PLANNED
            may_come = not is_known_here or now < earlier_until
            is_fenced = report is not None and run.fence < fence
            if run.key not in listed and (is_fenced or not may_come):
                continue
            late.append(run)
        earlier_starts = sum(1 for _ in self._late_starts.on_minion(minion.minion_id, now))
        self._record_minion_decision(
            "minion began again under its id", minion, late_runs=len(late),
            earlier_starts=earlier_starts, lease_left_ms=round(1000 * (minion.lease_until - now)),
        )  # fmt: skip
        if not minion.has_lapsed:
            self._count_lost_minion(minion, now, is_certain=True)
        for run in late:
            minion.detach(run)
            job = self._jobs.get(run.key.job_id)
            task = job.tasks.get(run.key) if job is not None else None
            if task is None or task.assignment_of(minion.minion_id, run.run_id) is None:
                continue
            lease_seconds = self._settings.lease_seconds
            self._unlisted_lease_ends[minion.incarnation] = lease_end(now, lease_seconds)
            self._counted_incarnations.add(minion.incarnation)
        for run in list(minion.runs.values()):
            self._release_run(minion, run, now, "minion restarted as another incarnation")
        if minion.has_lapsed:
            # Its runs were counted when the lease had ended, so that none counts now.
            self._count_lost_minion(minion, now, is_certain=True)

    def _count_lost_minion(self, minion: Minion, now: float, *, is_certain: bool) -> None:
        """Record the end of an incarnation, and count it against the runs that may have caused it.

        :param is_certain: whether the incarnation has certainly ended, and was not only cut off
        """
        self._interference.remove_minion(minion)
        if not minion.facts.is_draining:
            self._crashes.count_lost_minion(minion, now, is_certain=is_certain)

    def _release_stored_run(
        self, job: Job, task: Task, assignment: Assignment, now: float, reason: str
    ) -> None:
        """Release a run that an earlier leader assigned to an incarnation that is gone."""
        self._count_stored_run(job, task, assignment, now)
        self._release_task(job, task, assignment, self._unknown_run_end(now), reason)

    def _count_stored_run(self, job: Job, task: Task, assignment: Assignment, now: float) -> None:
        """Count the end of the incarnation of a stored run, unless it was counted before."""
        is_counted = assignment.incarnation in self._counted_incarnations
        if not is_counted and job.state not in FINAL_STATES and not task.is_done:
            self._crashes.count_stored_run(job, task, assignment, now)

    def _release_run(self, minion: Minion, run: Run, now: float, reason: str) -> None:
        """Detach a run that can't be present on its minion and release its task."""
        minion.detach(run)
        self._interference.remove_run(run)
        job = self._jobs.get(run.key.job_id)
        if job is None:
            return
        task = job.task(run.key)
        assignment = task.assignment_of(minion.minion_id, run.run_id)
        if assignment is not None:
            ended_at = max(minion.last_report_at, self._unknown_run_end(now))
            self._release_task(job, task, assignment, ended_at, reason)

    def _release_task(
        self, job: Job, task: Task, assignment: Assignment, ended_at: float, reason: str
    ) -> None:
        """Remove a run that is present nowhere and queue its task again if it has no other.

        :param ended_at: loop time at which the run was last known to be present
        """
        if task.idle_since is None:
            task.idle_since = ended_at
        task.release(assignment)
        self._tenant_usage.remove(task.key, assignment.run_id)
        self._mark_dirty(job)
        if job.state in FINAL_STATES or task.is_done:
            return
        self._record_decision(
            "run lost", job.job_id, task=str(task.key), run=assignment.run_id,
            minion=assignment.minion_id, born_ms=assignment.born_ms, reason=reason,
            kind=job.submission.steps[task.key.step].kind,
        )  # fmt: skip
        self._requeue(job, task)

    def _requeue(self, job: Job, task: Task) -> None:
        """Let a task wait for another run unless one may be present."""
        if task.is_assigned:
            return
        step = job.submission.steps[task.key.step]
        # Several runs of a speculative task may be present at once.
        if self._late_starts.has_any(task.key) and not step.is_speculative:
            self._pinned[task.key] = job
        else:
            self._placement.requeue(job, task)

    def _add_late_start(self, minion_id: str, key: TaskKey, run_id: int, at: float) -> None:
        """Record a start order that may be carried out late.

        :param at: loop time at which its answer was overdue
        """
        self._late_starts.add(minion_id, key, run_id, at)
        self._note_late_starts(key)

    def _withdraw_late_start(self, minion_id: str, key: TaskKey, run_id: int) -> None:
        """Forget a start order that has been carried out."""
        self._late_starts.withdraw(minion_id, key, run_id)
        self._note_late_starts(key)

    def _note_late_starts(self, key: TaskKey) -> None:
        """Include the late starts of a task in its progress, for later leaders."""
        job = self._jobs.get(key.job_id)
        task = job.tasks.get(key) if job is not None else None
        if task is None:
            return
        stored = {(minion_id, run_id): unix_ms for minion_id, run_id, unix_ms in task.late_starts}
        task.late_starts = tuple(
            (*start, stored.get(start, self._planned_unix_ms or 0))
            for start in self._late_starts.known(key)
        )

    def _store_late_starts(self, key: TaskKey) -> None:
        """Include the job of a task with late starts in the next durable write."""
        job = self._active_jobs.get(key.job_id)
        if job is not None:
            self._mark_dirty(job)

    def _restore_late_starts(self, job: Job, task: Task) -> None:
        """Hold a task for the late starts that an earlier leader has stored."""
        if job.submission.steps[task.key.step].is_speculative:
            return
        for minion_id, run_id, unix_ms in task.late_starts:
            self._restored_late_starts.append((unix_ms, minion_id, task.key, run_id))
        if not task.is_assigned and not task.is_done and job.state not in FINAL_STATES:
            self._placement.withdraw(job, task)
            self._pinned[task.key] = job

    def _add_restored_late_starts(self, now: float) -> None:
        """Add the late starts of earlier leaders, with their ages by the wall clock."""
        restored, self._restored_late_starts = self._restored_late_starts, []
        for late_ms, minion_id, key, run_id in sorted(restored):
            age_seconds = ((self._planned_unix_ms or 0) - late_ms) / 1000.0
            age_seconds = min(max(0.0, age_seconds), LATE_SECONDS)
            self._late_starts.add(minion_id, key, run_id, now - age_seconds)

    def _place_pinned(self, now: float) -> None:
        """Plan runs of tasks of which a later life of a minion may carry out an earlier start.

        Such a task starts again on the same minion, where its run does not survive that life. It
        waits rather than start elsewhere, unless it lasts or two crashes are counted against it.
        """
        for key, job in list(self._pinned.items()):
            task = job.task(key)
            if job.state in FINAL_STATES or task.is_done or task.is_assigned:
                del self._pinned[key]
                continue
            # Reports of ends may have opened its step to placement meanwhile.
            self._placement.withdraw(job, task)
            if self._unstored_jobs.has(job.job_id):
                continue
            minion_ids = self._late_starts.of_task(key, now)
            minion = self._minions.get(minion_ids[0]) if minion_ids else None
            if minion is not None and self._may_start_again(job, task, minion, minion_ids, now):
                del self._pinned[key]
                self._plan_run(job, key, minion, now)
                minion.health.record_start(now)
                continue
            has_to_wait = not job.submission.steps[key.step].is_lasting
            if self._suspicion.is_suspected(key) and task.crashes > 1:
                # Only a test elsewhere tells whether it crashes minions.
                has_to_wait = False
            if not minion_ids or not has_to_wait:
                del self._pinned[key]
                self._placement.requeue(job, task)

    def _may_start_again(
        self, job: Job, task: Task, minion: Minion, late_on: Sequence[str], now: float
    ) -> bool:
        """Return whether a task may start again on the minion that did not answer its start.

        :param late_on: minion id of each start of the task that may still be carried out
        """
        step, queue = job.submission.steps[task.key.step], self._queue_of(job)
        if (
            step.is_gang
            or len(late_on) > MAX_UNANSWERED_STARTS
            or set(late_on) != {minion.minion_id}
        ):
            return False
        if queue.service != minion.facts.service or queue.needs_advice:
            return False
        if task.key in minion.runs:
            return False
        isolation, occurrence_step = self._placement.isolation, (task.key.occurrence, task.key.step)
        if self._suspicion.is_suspected(task.key):
            # It may crash the minion, which must not be held against other tasks. A minion that
            # begins again and again must not be held against this one.
            tested = self._suspicion.tasks_to_test(job, occurrence_step, [task.key], now)
            if not tested or task.crashes > 1:
                return False
            if has_unproven_runs(minion) or isolation.is_claimed(minion):
                return False
        elif not self._suspicion.open_tasks(job, occurrence_step, [task.key], now):
            return False
        elif any(
            not run.is_proven and self._suspicion.is_suspected(run.key)
            for run in minion.runs.values()
        ):
            return False
        if self._exclusion(minion, now) is not None or not minion.has_room_for(step):
            return False
        return self._tenant_limits.allows(job.submission.tenant, step)

    # Answers to orders

    def start_answered(
        self,
        run: Run,
        outcome: StartOutcome,
        sent_at: float,
        now: float,
        clock_ms: int | None = None,
    ) -> None:
        """Process the outcome of a start order.

        :param clock_ms: clock of the minion in its answer; None without an answer
        """
        minion = self._minions.get(run.minion_id)
        if minion is None or minion.runs.get(run.key) is not run:
            return
        if clock_ms is not None:
            if minion.clock.accepts(clock_ms, sent_at, now):
                minion.clock_ms, minion.clock_at = clock_ms, now
            else:
                outcome = self._process_later_life(minion, run, outcome, clock_ms, now)
                clock_ms = None
        match outcome:
            case StartOutcome.STARTED:
                if run.state in (RunState.SENT, RunState.UNKNOWN):
                    run.state = RunState.PRESENT
                run.settled_at = now
                job = self._jobs.get(run.key.job_id)
                if job is not None and not job.has_begun:
                    self._record_beginning(job, now)
                self._start_bound.record_run(run.key.job_id, now)
                if run.present_clock_ms is None:
                    run.present_clock_ms = clock_ms
                run.is_confirmed = run.is_confirmed or now - sent_at <= PROMPT_ANSWER_SECONDS
            case StartOutcome.UNKNOWN:
                if run.state is RunState.SENT:
                    run.state = RunState.UNKNOWN
                self._add_late_start(minion.minion_id, run.key, run.run_id, now)
                # A later leader has to know which starts may come late.
                self._store_late_starts(run.key)
                run.late_until = now + LATE_SECONDS
                self._raise_fence(minion)
                # Only the answer to a stop proves that a late start has no effect.
                if run.state is not RunState.STOPPING:
                    run.settled_at = now
                self._record_decision(
                    "start unanswered", run.key.job_id, task=str(run.key), run=run.run_id,
                    minion=minion.minion_id,
                )  # fmt: skip
            case StartOutcome.UNHEALTHY | StartOutcome.NOT_SENT | StartOutcome.NO_ROOM:
                minion.health.record_refusal(now)
                self._release_run(minion, run, now, f"start refused: {outcome}")
            case _:
                self._release_run(minion, run, now, f"start refused: {outcome}")

    def _process_later_life(
        self, minion: Minion, run: Run, outcome: StartOutcome, clock_ms: int, now: float
    ) -> StartOutcome:
        """Process that a later incarnation has answered a start; return the outcome on this one.

        :param clock_ms: clock of the later incarnation
        """
        expected_ms = None
        if minion.clock_ms is not None:
            expected_ms = minion.clock_ms + round(1000 * (now - minion.clock_at))
        self._record_minion_decision(
            "start answered by a later incarnation", minion, task=str(run.key), run=run.run_id,
            outcome=str(outcome), clock_ms=clock_ms, expected_clock_ms=expected_ms,
        )  # fmt: skip
        minion.later_life_at = now
        # Further starts would run on the later incarnation, too.
        self.mark_minion_silent(minion, "a later incarnation has answered", now)
        if outcome is not StartOutcome.STARTED:
            return outcome
        run.is_on_later_life = True
        return StartOutcome.UNKNOWN

    def stop_answered(self, minion: Minion, key: TaskKey, run_id: int, now: float) -> None:
        """Process the answer to a stop order; a later report without the run proves its absence."""
        run = minion.runs.get(key)
        if run is not None and run.run_id == run_id and run.state is RunState.STOPPING:
            run.settled_at = now

    def pace_unanswered(self, order: PaceOrder, now: float) -> None:
        """Process a lost answer to a change of pace, which may take effect late or never."""
        if order.minion.runs.get(order.run.key) is order.run:
            self._interference.repeat_pace(order.run, now)

    def _stop(self, minion: Minion, run: Run, now: float) -> None:
        """Stop a run; repeated calls order the stop at most once per ``STOP_RETRY_SECONDS``."""
        if run.state is RunState.PLANNED:
            # The start order was never sent; ``commit`` skips a run that is no longer attached.
            self._release_run(minion, run, now, "stopped before its start order was sent")
            return
        if run.state is not RunState.STOPPING:
            # No late start order can follow a run that was present, so a report without it proves
            # its absence whether or not the stop is answered.
            if run.state is not RunState.PRESENT:
                run.settled_at = None
            run.state = RunState.STOPPING
        if run.stop_sent_at is not None and now - run.stop_sent_at < STOP_RETRY_SECONDS:
            return
        run.stop_sent_at = now
        self._orders.append(StopOrder(minion, run.key, run.run_id))

    def _stop_task(self, task: Task, now: float) -> None:
        """Stop the runs of a task that are attached to current minions."""
        for assignment in task.assignments:
            minion = self._minions.get(assignment.minion_id)
            if minion is None or minion.facts.born_ms != assignment.born_ms:
                continue
            run = minion.runs.get(task.key)
            if run is not None:
                self._stop(minion, run, now)

    # Time and planning

    def plan(self, now: float, unix_ms: int, max_starts: int = UNLIMITED_STARTS) -> None:
        """Expire leases and ended jobs, plan starts, and stop runs that have to move.

        :param unix_ms: wall-clock time in Unix ms, for the objectives and schedules of jobs
        :param max_starts: number of starts to plan at most; a gang is not split
        """
        self._durations.advance(now)
        self._planned_unix_ms = unix_ms
        self._stop_stragglers(now)
        self._expire_state(now)
        if self._suspicion.has_suspects or self._doubts.by_incarnation:
            self._decide_verdicts(now)
        self._record_hold(now)
        self._report_waits(now, unix_ms)
        if self._shortage is not None:
            ranked, minions = self._placement.ranked, self._minions.values()
            if self._shortage.update(ranked, minions, now, unix_ms):
                self._placement.rank_anew()
            self._decisions.extend(self._shortage.take_decisions())
        self._shorten_common_set_asides(now)
        usable = []
        for_trial = []
        for minion in self._minions.values():
            match self._exclusion(minion, now):
                case None:
                    usable.append(minion)
                case Exclusion.SET_ASIDE if minion.health.is_trial_due(now):
                    for_trial.append(minion)
        self._decisions += self._uneven.begin_round(self._minions.values(), usable, for_trial, now)
        self._place_pinned(now)
        for job, key, minion in self._placement.choose_starts(
            usable, for_trial, self._queue_of, now, unix_ms, max_starts
        ):
            self._plan_run(job, key, minion, now)
            minion.health.record_start(now)
            max_starts -= 1
        self._stop_for_short_tasks(now, unix_ms)
        # Tasks that found room just now are about to start.
        self._report_overdue_steps(now, unix_ms)
        if self._settings.switches.reclaim:
            self._reclaim_capacity(usable, now, unix_ms)
        self._decisions.extend(self._tenant_limits.end_round(now))
        self._decisions.extend(self._placement.look_ahead.take_decisions())
        self._run_stragglers_again(usable, now, unix_ms, max_starts)
        for minion in self._minions.values():
            if minion.facts.is_draining:
                self._drain_minion(minion, now)
            for run in self._interference.runs_to_move(minion, now):
                self._stop(minion, run, now)

    def record_planning(self, seconds: float) -> None:
        """Record how long the newest call of ``plan`` took, in seconds."""
        self._placement.record_planning(seconds)

    def _stop_for_short_tasks(self, now: float, unix_ms: int) -> None:
        """Stop lasting runs where short tasks have waited and fit nowhere."""
        for emptied in self._placement.choose_stops(self._minions, self._queue_of, now, unix_ms):
            self._record_minion_decision(
                "lasting runs stopped for short tasks", emptied.minion,
                stopped=len(emptied.runs), slots=emptied.slots, waiting=emptied.waiting,
            )  # fmt: skip
            for run in emptied.runs:
                self._stop(emptied.minion, run, now)

    def _shorten_common_set_asides(self, now: float) -> None:
        """End sooner the time for which several minions, half of a service or more, get no runs."""
        sizes: dict[str, int] = {}
        set_aside: dict[str, list[Minion]] = {}
        for minion in self._minions.values():
            service = minion.facts.service
            sizes[service] = sizes.get(service, 0) + minion.is_listed
            if minion.is_listed and minion.health.exclusion(now) is Exclusion.SET_ASIDE:
                set_aside.setdefault(service, []).append(minion)
        for service, members in set_aside.items():
            # The failures of a single minion say nothing about others.
            if len(members) > 1 and 2 * len(members) >= sizes[service]:
                for minion in members:
                    minion.health.shorten_set_aside()

    def _reclaim_capacity(self, usable: Sequence[Minion], now: float, unix_ms: int) -> None:
        """Pause and stop fillers of tenants above their share for tenants below theirs."""
        actions = self._reclaim.update(
            usable,
            lambda at: self._usable_from(at, now),
            self._jobs,
            self._queue_of,
            lambda: self._placement.waiting_tasks_of_round(unix_ms),
            self._placement,
            now,
        )
        for minion, run in actions.stops:
            self._stop(minion, run, now)
        self._orders.extend(actions.paces)
        for job in actions.jobs:
            self._mark_dirty(job)
        self._decisions.extend(actions.decisions)

    def _run_stragglers_again(
        self, usable: Sequence[Minion], now: float, unix_ms: int, max_starts: int
    ) -> None:
        """Plan copies of the runs that take too long, or their restarts where copies may not be."""
        stragglers = self._stragglers.find(self._minions.values(), self._jobs, self._queue_of, now)
        if not stragglers:
            return
        waiting = self._placement.highest_waiting_priorities(self._queue_of, unix_ms)
        attempts = min(max_starts, MAX_STRAGGLERS_PLACED)
        for straggler in stragglers:
            run, queue = straggler.run, straggler.queue
            if not self._tenant_limits.allows(straggler.job.submission.tenant, run.step):
                continue
            budget = self._stragglers.budget_of(straggler.minion.facts.service)
            if not budget.allows(run) or waiting.get(queue.service, inf) <= queue.priority:
                continue
            if attempts <= 0:
                return
            attempts -= 1
            pool = [one for one in usable if one.facts.service == queue.service]
            minion = self._placement.choose_copy_minion(straggler.job, run.key, pool, now)
            if minion is None:
                continue
            if run.step.is_speculative:
                self._plan_copy(straggler, minion, now)
            else:
                self._plan_restart(straggler)
            budget.used_cpu += run.step.room.cpu

    def _plan_restart(self, straggler: Straggler) -> None:
        """Plan to stop a run, so that its task starts elsewhere.

        The stop is ordered in the next round, when it is durable that the task was restarted: it
        may be restarted once only, also by later leaders.
        """
        straggler.job.task(straggler.run.key).is_restarted = True
        self._mark_dirty(straggler.job)
        self._planned_restarts.append((straggler.minion, straggler.run))
        self._record_decision("restart planned", straggler.job.job_id, **straggler.log_fields)

    def _stop_stragglers(self, now: float) -> None:
        """Stop the runs whose restarts were planned in the previous round and are durable."""
        restarts, self._planned_restarts = self._planned_restarts, []
        for minion, run in restarts:
            is_attached = self._minions.get(minion.minion_id) is minion
            if is_attached and minion.runs.get(run.key) is run and run.state is RunState.PRESENT:
                self._stop(minion, run, now)

    def _plan_copy(self, straggler: Straggler, minion: Minion, now: float) -> None:
        """Plan a copy of a run on another minion."""
        job = straggler.job
        task = job.task(straggler.run.key)
        run_id = task.assign_copy(minion.minion_id, minion.facts.born_ms)
        self._attach_planned_run(job, task, run_id, minion, now, is_extra=True)
        self._record_decision(
            "copy planned", job.job_id, **straggler.log_fields, copy=run_id,
            copy_minion=minion.minion_id,
        )  # fmt: skip

    def _report_waits(self, now: float, unix_ms: int) -> None:
        """Record a decision for each step whose lasting tasks have waited for long."""
        overdue = self._lasting_waits.update(
            self._placement.waiting_lasting_steps(self._queue_of, unix_ms), now
        )
        if not overdue:
            return
        minions = [(minion, self._exclusion(minion, now)) for minion in self._minions.values()]
        for waiting in overdue:
            room_seconds = self._placement.room_waits.seconds_of(step_id(waiting.keys[0]))
            report = explain_wait(waiting, minions, room_seconds, now)
            fields, tenant = dict(report.fields), waiting.job.submission.tenant
            if tenant:
                is_allowed = self._tenant_limits.allowed_count(tenant, waiting.step, 1) > 0
                fields |= {"tenant": tenant, "tenant_allows": is_allowed}
            self._record_decision("lasting task waits", report.job_id, **fields)

    def _report_overdue_steps(self, now: float, unix_ms: int) -> None:
        """Record a decision for each step whose tasks have exceeded the bound of their start.

        Lasting tasks that are queued are left to ``_report_waits``.
        """
        if not self._start_bound.is_check_due(now):
            return
        exclusions = {minion: self._exclusion(minion, now) for minion in self._minions.values()}
        for late in self._start_bound.check(
            self._active_jobs,
            self._placement.lasting_jobs,
            exclusions,
            self._queue_of,
            now,
            unix_ms,
        ):
            queued = set(self._placement.queued_tasks(late.keys[0]))
            if late.step.is_lasting and queued.issuperset(late.keys):
                continue
            refusal = self._refusal_of(late, now)
            unlisted = self._unlisted_lease_ends.keys()
            fields = explain(late, queued, self._minions, unlisted, exclusions, refusal)
            if late.job.submission.tenant:
                fields["tenant"] = late.job.submission.tenant
            self._record_decision("task waits", late.job.job_id, **fields)

    def _refusal_of(self, late: OverdueStep, now: float) -> Callable[[Minion], str]:
        """Return a function that tells why no task of a step starts on a minion with room."""
        refusals, job, step, key = self._placement.start_refusals, late.job, late.step, late.keys[0]
        everywhere = refusals.reason_everywhere(job, step, key, now)
        if not everywhere and not self._placement.had_starts_left:
            everywhere = "start_limit"
        return lambda minion: refusals.reason_on(minion, job, step, key, now) or everywhere

    def _drain_minion(self, minion: Minion, now: float) -> None:
        """Stop lasting and checkpointing runs on a draining minion, to start them elsewhere."""
        for run in list(minion.runs.values()):
            if run.state is not RunState.PRESENT:
                continue
            if run.step.is_lasting or run.step.is_checkpointing:
                self._stop(minion, run, now)

    def _queue_of(self, job: Job) -> Queue:
        """Return the queue of a job as configured now, or as at acceptance if it was removed."""
        return self._config.queues.get(job.submission.queue.name, job.submission.queue)

    def _exclusion(self, minion: Minion, now: float) -> Exclusion | None:
        """Return why no run may start on a minion; None when runs may start."""
        facts = minion.facts
        if not minion.is_listed:
            return Exclusion.UNLISTED
        if facts.is_draining:
            return Exclusion.DRAINING
        if facts.failure_domain in self._evacuated_domains:
            return Exclusion.EVACUATED
        is_silent = now - minion.last_report_at >= self._silent_seconds
        is_silent = is_silent or not minion.is_answering or minion.is_lease_closed
        if not minion.is_synced or now >= minion.lease_until or is_silent:
            return Exclusion.SILENT
        if self._hold.is_active(now) and not self._is_guarded(minion):
            return Exclusion.HELD_BACK
        return minion.health.exclusion(now)

    def _usable_from(self, at: float, now: float) -> list[Minion]:
        """Return the minions that are set aside now, but probably not at a later time.

        Those that refused a start lately are left out: they may refuse each start again.
        """
        return [
            minion
            for minion in self._minions.values()
            if self._exclusion(minion, now) is Exclusion.SET_ASIDE
            and (minion.health.exclusion(at) is None or _is_tried(minion))
        ]

    def _may_start(self, run: Run, minion: Minion, now: float) -> bool:
        """Return whether a planned run may still start on its minion."""
        match self._exclusion(minion, now):
            case None:
                return True
            case Exclusion.SET_ASIDE:
                return run.step.is_lasting
        return False

    def _is_guarded(self, minion: Minion) -> bool:
        """Return whether a minion refuses starts that exceed its capacity."""
        pool = self._config.pools.get(minion.facts.service)
        return pool is not None and pool.is_guarded

    def _record_hold(self, now: float) -> None:
        """Record for the log when starts begin or cease to be held back."""
        unguarded = [minion for minion in self._minions.values() if not self._is_guarded(minion)]
        decision = self._hold.changed(now, len(unguarded))
        if decision is not None:
            self._decisions.append(decision)

    def _plan_run(self, job: Job, key: TaskKey, minion: Minion, now: float) -> None:
        """Assign a task to a minion with a new run, to be sent when the plan is durable."""
        task = job.task(key)
        run_id = task.assign(minion.minion_id, minion.facts.born_ms)
        self._attach_planned_run(job, task, run_id, minion, now, is_extra=task.is_restarted)

    def _attach_planned_run(
        self, job: Job, task: Task, run_id: int, minion: Minion, now: float, *, is_extra: bool
    ) -> None:
        """Attach a run that is to be sent when the plan is durable.

        :param is_extra: whether it is started because another run of the task took too long
        """
        step = job.submission.steps[task.key.step]
        run = Run(task.key, run_id, step, minion.minion_id, RunState.PLANNED, now)
        run.is_partial, run.is_extra = bool(task.checkpoint), is_extra
        minion.attach(run)
        self._count_run(job, task, minion.minion_id, run_id)
        job.state = JobState.RUNNING
        self._mark_dirty(job)
        self._planned_runs.append(run)

    def _expire_state(self, now: float) -> None:
        """Release runs whose leases have expired and find jobs past their retention time."""
        self._add_restored_late_starts(now)
        for minion in list(self._minions.values()):
            if now < minion.lease_until:
                continue
            self._release_lapsed(minion, now)
            minion.is_synced = False
            if not minion.is_listed and not minion.runs:
                self._remove_minion(minion)
        self._expire_unlisted(now)
        for owner, cancelled_at in list(self._early_cancellations.items()):
            if now - cancelled_at >= self._settings.retention_seconds:
                del self._early_cancellations[owner]
                self._expired_cancellations.append(owner)
        for job in self._ended_jobs.take_expired(now):
            self._expired_job_ids.append(job.job_id)
        self._removed_submissions.expire(now)
        for late_key in self._late_starts.expire(now):
            self._note_late_starts(late_key)
        for job_id in self._unstored_jobs.take_due(now):
            self._mark_dirty(self._jobs[job_id])
        self._store_proofs(now)

    def _store_proofs(self, now: float) -> None:
        """Include the jobs in the next write whose proofs have waited for long enough."""
        while self._unstored_proofs:
            job_id, proven_at = next(iter(self._unstored_proofs.items()))
            if now - proven_at < PROOF_STORE_SECONDS:
                return
            del self._unstored_proofs[job_id]
            if job_id in self._active_jobs:
                self._mark_dirty(self._active_jobs[job_id])

    def _release_lapsed(self, minion: Minion, now: float) -> None:
        """Release the runs of a minion whose lease has ended.

        A start that a later incarnation may still carry out, behind a cut, keeps its task until the
        lease of that run has ended as well. Lasting tasks have to run again earlier: they are only
        kept for a start that a later incarnation has answered.
        """
        lease_seconds, lapsed = self._settings.lease_seconds, []
        for run in minion.runs.values():
            late_until = self._late_starts.until(minion.minion_id, run.key)
            late_until = max(late_until, run.late_until)
            if run.step.is_lasting:
                late_until = minion.later_life_at if run.is_on_later_life else -inf
            elif run.step.is_speculative:
                late_until = -inf
            if now >= lease_end(late_until, lease_seconds):
                lapsed.append(run)
        if not lapsed:
            return
        if not minion.has_lapsed:
            minion.has_lapsed = True
            silent_ms = round(1000 * (now - minion.last_report_at))
            self._record_minion_decision(
                "lease of unreachable minion has ended", minion, silent_ms=silent_ms
            )
            self._count_lost_minion(minion, now, is_certain=False)
        for run in lapsed:
            self._release_run(minion, run, now, "lease expired")

    def _decide_verdicts(self, now: float) -> None:
        """Give up the jobs of tasks that have crashed too many minions."""
        for suspect in self._crashes.take_verdicts(now):
            self._give_up(suspect, now)

    def _expire_unlisted(self, now: float) -> None:
        """Release the tasks of unlisted incarnations whose leases have ended.

        Tasks stay assigned for longer that a later incarnation may have begun without an answer,
        except lasting ones, which have to run again earlier, and speculative ones.
        """
        expired = {key for key, until in self._unlisted_lease_ends.items() if now >= until}
        if not expired:
            return
        kept_until: dict[str, float] = {}
        for job in list(self._jobs.values()):
            for task in job.tasks.values():
                for assignment in task.assignments:
                    key = assignment.incarnation
                    if key not in expired:
                        continue
                    until = self._late_end(job, task, assignment)
                    if now < until:
                        kept_until[key] = min(until, kept_until.get(key, until))
                        continue
                    reason = "lease of unlisted minion expired"
                    self._release_stored_run(job, task, assignment, now, reason)
        for key in expired:
            if key in kept_until:
                self._unlisted_lease_ends[key] = kept_until[key]
                continue
            del self._unlisted_lease_ends[key]
            self._counted_incarnations.discard(key)

    def _late_end(self, job: Job, task: Task, assignment: Assignment) -> float:
        """Return until when a later incarnation may have a run; -inf if it is not waited for."""
        step = job.submission.steps[task.key.step]
        if step.is_lasting or step.is_speculative:
            return -inf
        late_until = self._late_starts.until(assignment.minion_id, task.key)
        return lease_end(late_until, self._settings.lease_seconds)

    # Durable writes

    def take_changes(self) -> Changes:
        """Return the changes that the next durable write has to cover, and reset them."""
        changes = Changes(
            jobs=list(self._dirty_jobs.values()),
            starts=self._planned_runs,
            job_ends=self._job_ends,
            removed=list(self._removed_job_ids),
            expired=self._expired_job_ids,
            expired_cancellations=self._expired_cancellations,
        )
        for changed in changes.jobs:
            changes.states[changed.job_id] = changed.state
            self._unstored_proofs.pop(changed.job_id, None)
        for minion in self._minions.values():
            if minion.processed_end > minion.durable_end:
                changes.ends.append((minion, minion.processed_end))
        self._job_ends = {}
        self._dirty_jobs = {}
        self._planned_runs = []
        self._removed_job_ids = {}
        self._expired_job_ids, self._expired_cancellations = [], []
        return changes

    def commit(
        self, changes: Changes, now: float, unstored: Set[str] = frozenset()
    ) -> list[StartOrder]:
        """Mark ``changes`` as durable and return the start orders that may be sent now.

        :param unstored: ids of the jobs whose progress the store refuses for good
        """
        has_unstored = bool(unstored) or self._unstored_jobs.count > 0
        for changed in changes.jobs:
            if changed.job_id in unstored:
                self._hold_unstored(changed, changes.job_ends.get(changed.job_id, {}), now)
                continue
            changed.stored_state = changes.states[changed.job_id]
            is_released = has_unstored and self._unstored_jobs.release(changed.job_id)
            if changed.ended_at:
                changed.forget_tasks()
            elif is_released:
                self._placement.add_job(changed)
        for minion, number in changes.ends:
            if has_unstored:
                number = self._unstored_jobs.acknowledgeable_end(minion, number)
            minion.durable_end = max(minion.durable_end, number)
        orders = []
        withheld = self._withheld_starts(changes.starts, now)
        for run in changes.starts:
            if run.key.job_id in unstored:
                withheld[run] = "progress of its job can't be stored"
        for run in changes.starts:
            target = self._minions.get(run.minion_id)
            job = self._jobs.get(run.key.job_id)
            if target is None or job is None or target.runs.get(run.key) is not run:
                continue
            if run in withheld:
                self._release_run(target, run, now, withheld[run])
                continue
            run.state, run.fence = RunState.SENT, target.fence
            checkpoint = job.task(run.key).checkpoint
            orders.append(StartOrder(target, run, job.submission.payload, checkpoint))
        return orders

    def _hold_unstored(self, job: Job, ends: Mapping[Minion, int], now: float) -> None:
        """Hold a job whose progress was refused, until a later attempt succeeds."""
        if self._jobs.get(job.job_id) is job:
            self._unstored_jobs.hold(job.job_id, ends, now)
            self._placement.remove_job(job)

    def _withheld_starts(self, planned: Sequence[Run], now: float) -> dict[Run, str]:
        """Return the planned runs that may no longer start, each with the reason for the log."""
        reasons = {}
        for run in runs_beyond_capacity(planned, self._minions):
            reasons[run] = "minion has shrunk"
        for run in planned:
            minion = self._minions.get(run.minion_id)
            is_attached = minion is not None and minion.runs.get(run.key) is run
            if minion is None or not is_attached or not self._may_start(run, minion, now):
                reasons[run] = "minion became unusable"
        for run in self._runs_beyond_tenant_limits(planned, reasons):
            reasons[run] = "limit of its tenant was lowered"
        incomplete_gangs = {_step_of(run) for run in reasons if run.step.is_gang}
        for run in planned:
            if run.step.is_gang and _step_of(run) in incomplete_gangs:
                reasons.setdefault(run, "another member of the gang can't start")
        return reasons

    def _runs_beyond_tenant_limits(
        self, planned: Sequence[Run], withheld: Mapping[Run, str]
    ) -> set[Run]:
        """Return the planned runs that a limit no longer allows that was lowered since the plan."""
        counted: tuple[list[tuple[str, Run]], list[tuple[str, Run]]] = ([], [])
        for run in planned:
            job = self._jobs.get(run.key.job_id)
            minion = self._minions.get(run.minion_id)
            is_attached = minion is not None and minion.runs.get(run.key) is run
            if job is not None and job.submission.tenant and is_attached:
                counted[run in withheld].append((job.submission.tenant, run))
        return self._tenant_limits.runs_beyond(*counted)

    def take_orders(self) -> list[Order]:
        """Return the pending stop and pace orders, which need no durable write."""
        orders, self._orders = self._orders, []
        return orders

    def take_decisions(self) -> list[Decision]:
        """Return the decisions since the last call, for the log and the metrics."""
        decisions, self._decisions = self._decisions, []
        return decisions

    def _mark_dirty(self, job: Job) -> None:
        """Include the progress of a job in the next durable write."""
        self._dirty_jobs[job.job_id] = job
        self._dirty_count += 1

    def _record_decision(self, message: str, job_id: str, **fields: object) -> None:
        """Record a decision about a job for the log."""
        self._decisions.append(Decision(message, job_id, fields))

    def _append_decision(self, decision: Decision) -> None:
        self._decisions.append(decision)

    def _record_minion_decision(self, message: str, minion: Minion, **more: object) -> None:
        """Record a decision about a minion for the log."""
        fields: dict[str, object] = {
            **more,
            "minion": minion.minion_id,
            "born_ms": minion.facts.born_ms,
            "runs": len(minion.runs),
            "domain": minion.facts.failure_domain,
            **more,
        }
        self._decisions.append(Decision(message, "", fields))


def _step_of(run: Run) -> tuple[str, int, int]:
    """Return the job, occurrence and step of a run, which all members of a gang share."""
    return (run.key.job_id, run.key.occurrence, run.key.step)


def _is_tried(minion: Minion) -> bool:
    """Return whether a lasting task on a minion that is set aside may end that time."""
    return any(
        run.step.is_lasting and minion.health.is_trial(run.planned_at)
        for run in minion.runs.values()
    )
