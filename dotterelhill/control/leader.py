"""Leader of the fleet: loads the stored state, polls the minions and runs the scheduler."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

import msgspec

from dotterelhill.control.feeds import ConfigurationFeed, Follower, RecordDecoder
from dotterelhill.control.interface import (
    FencedByMinionError,
    MinionError,
    Minions,
    OtherIncarnationError,
    PartialRead,
    Record,
    RelayError,
    StartAnswer,
    Store,
    StoreError,
    StoreFencedError,
    StoreLimits,
    Stream,
)
from dotterelhill.control.leadership import FENCES_PER_TERM, Leadership
from dotterelhill.control.loop_lag import LoopLag
from dotterelhill.control.poll_window import FirstPollWindow
from dotterelhill.control.progress_store import APPEND_RETRY_SECONDS, ProgressStore
from dotterelhill.control.relay_pool import RelayPool
from dotterelhill.control.removal import SubmissionRemoval
from dotterelhill.control.start_window import SentOrder, StartWindow
from dotterelhill.control.submissions import cancellation_key, is_cancellation, owner_of
from dotterelhill.control.work_slices import WorkSlices
from dotterelhill.entry.logs import logger_of
from dotterelhill.entry.metrics import Metrics
from dotterelhill.jobs.changes import Changes, SchedulerSettings
from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.memory import JobMemory
from dotterelhill.jobs.model import Job, JobState, Submission
from dotterelhill.jobs.orders import Order, PaceOrder, StartOrder, StartOutcome, StopOrder
from dotterelhill.jobs.progress import decode_submission, stored_tenant
from dotterelhill.jobs.progress_parts import StoredProgress, apply_stored_progress
from dotterelhill.jobs.scheduler import Scheduler
from dotterelhill.jobs.shortage.control import shortage_gauges
from dotterelhill.jobs.shortage.refusal import QueueVerdict
from dotterelhill.jobs.tenants.admission import AdmissionPolicy, AdmittedRate
from dotterelhill.jobs.tenants.loads import TenantLoad

# Key of the interference estimates in the progress stream.
MODEL_KEY = "@interference"
MODEL_STORE_INTERVAL_SECONDS = 4.0
# Changes within this time are batched into one write; the store handles several hundred writes a
# second.
MIN_WRITE_INTERVAL_SECONDS = 0.02
# Longest interval between scheduling rounds, which also check leases and retries.
TICK_SECONDS = 0.1
# Shortest interval between polls of one minion; a poll reports all runs that ended meanwhile.
MIN_POLL_INTERVAL_SECONDS = 0.05
WITHHELD_POLL_INTERVAL_SECONDS = 0.3
POLL_RETRY_SECONDS = (0.05, 0.3)
MINION_LIST_INTERVAL_SECONDS = 0.5
# Reads of the store that a loading leader has in progress. Their answers share the processor with
# renewals, and a slow processor would read all of them too late.
MAX_LOADING_READS = 4
# A delay of the event loop from which an unanswered poll may be due to this process itself. Then a
# minion counts as silent only after several such polls.
SUSPICIOUS_LAG_SECONDS = 0.25
POLLS_TO_SILENCE_WHEN_LATE = 3
# The rates of tenants are part of every message to a relay, and are computed this often.
RATES_INTERVAL_SECONDS = 0.4
# Whether the fleet is full is part of every message to a relay, too.
FULLNESS_INTERVAL_SECONDS = 0.4
# Fences that are left when a term ends, since calls of one round raise them further.
MIN_FENCES_LEFT = 4096
# The leader reads a stored submission within this time unless the store is failing.
MAX_SUBMISSIONS_AGE_SECONDS = 3.0

_log = logger_of("leader")


class _OutdatedPollError(MinionError):
    """Raised when a call of this leader with a higher fencing token has overtaken a poll."""


class NotReadyError(Exception):
    """Raised when the process can't report the state of the fleet at present."""


@dataclass(frozen=True, slots=True)
class LeaderParts:
    """Dependencies of the leader.

    :param minions: sends orders to minions
    :param relays: processes that call minions for this one
    :param lag: delay of this process's event loop
    :param configuration: current fleet configuration
    :param leadership: lease of this process
    :param clock: returns seconds
    :param unix_ms: returns Unix time in milliseconds
    :param slices: slices of long work, between which the event loop runs
    :param tenant_loads: returns the load of each tenant with jobs, given the time
    :param limits: sizes that the store accepts
    :param memory_mb: memory that this process may use; 0 if it is not limited
    """

    store: Store
    minions: Minions
    relays: RelayPool
    lag: LoopLag
    decoder: RecordDecoder
    configuration: ConfigurationFeed
    leadership: Leadership
    settings: SchedulerSettings
    clock: Callable[[], float]
    unix_ms: Callable[[], int]
    random: Random
    metrics: Metrics
    slices: WorkSlices
    tenant_loads: Callable[[Scheduler, float], Mapping[str, TenantLoad]] = Scheduler.tenant_loads
    limits: StoreLimits = field(default_factory=StoreLimits)
    memory_mb: float = 0.0


class _BegunStart(msgspec.Struct, frozen=True):
    """Start order in flight.

    :param sent_at: time at which it was sent, in seconds
    :param deadline_ms: end of the lease on the minion's clock
    :param token: fencing token that it carries
    :param window_order: what the start window has to know of it
    """

    order: StartOrder
    sent_at: float
    deadline_ms: int
    token: int
    window_order: SentOrder


class Leader:
    """One term of leadership, which schedules the fleet while this process holds its claim.

    :param parts: dependencies of the leader
    :param renewals_end: time until which an earlier leader may renew the leases of runs
    :param lease_ends: times by which leases have ended that the leader before this one did not
        renew until its end, by ``minion_id@born_ms``
    """

    def __init__(
        self,
        parts: LeaderParts,
        renewals_end: float,
        lease_ends: Mapping[str, float] | None = None,
    ) -> None:
        self._parts = parts
        self._clock = parts.clock
        self._epoch = parts.leadership.epoch
        self._scheduler = Scheduler(parts.settings, renewals_end)
        self._wake_event = asyncio.Event()
        self._is_loaded = False
        self._has_ended = False
        self._model_stored_at = self._clock()
        self._scheduler.apply_stored_leases(lease_ends or {})
        self._background: set[asyncio.Task[None]] = set()
        self._polled_minions: set[Minion] = set()
        self._first_polls = FirstPollWindow(parts.clock, parts.lag)
        self._loading_reads = asyncio.Semaphore(MAX_LOADING_READS)
        self._restoring = asyncio.Lock()
        self._start_window = StartWindow(parts.clock)
        self._submission_followers: list[Follower] = []
        for partition in range(parts.store.partitions(Stream.SUBMISSIONS)):
            follower = Follower(
                parts.store,
                Stream.SUBMISSIONS,
                self._apply_submissions,
                parts.clock,
                parts.random,
                partition=partition,
            )
            self._submission_followers.append(follower)
        self._minion_follower = Follower(
            parts.store,
            Stream.MINIONS,
            self._apply_minions,
            parts.clock,
            parts.random,
            wait_seconds=0.0,
            pause_seconds=MINION_LIST_INTERVAL_SECONDS,
        )
        self._stored_progress: dict[str, StoredProgress] = {}
        # Keys of the records of tenants by job id, which are removed together with the job.
        self._tenant_keys: dict[str, set[str]] = {}
        # Ids of jobs whose submissions this build can't decode; another one may run them.
        self._undecoded_job_ids: set[str] = set()
        self._removal = SubmissionRemoval(
            parts.store,
            self._remove_jobs,
            parts.random,
            parts.metrics,
            parts.limits.call_bytes,
        )
        self._progress = ProgressStore(
            parts.store, parts.leadership, parts.clock, parts.random, parts.metrics, parts.limits
        )
        self._job_memory = JobMemory()
        self._fullness_at = float("-inf")
        self._admission = AdmissionPolicy()
        self._rates: dict[str, AdmittedRate] = {}
        self._rates_at = float("-inf")

    @property
    def scheduler(self) -> Scheduler:
        """Return the scheduler, which holds the state of the fleet."""
        return self._scheduler

    @property
    def relays(self) -> RelayPool:
        """Return the relays of this term."""
        return self._parts.relays

    def state_of(self, job_id: str, tenant: str = "") -> JobState | None:
        """Return the stored state of a job; None when no such job was accepted.

        :param tenant: tenant that asks; for it, jobs of other tenants do not exist
        :raises NotReadyError: when this process can't determine the state
        """
        if not self._is_loaded:
            raise NotReadyError("stored jobs are being loaded")
        state = self._scheduler.state_of(job_id, tenant)
        if state is None:
            age_seconds = max(follower.age_seconds for follower in self._submission_followers)
            is_fresh = age_seconds < MAX_SUBMISSIONS_AGE_SECONDS
            if not is_fresh or not self._parts.leadership.is_leading:
                raise NotReadyError("submissions are not read up to their end")
        return state

    def waiting_by_queue(self) -> dict[str, int]:
        """Return the number of waiting jobs by queue.

        :raises NotReadyError: when this process can't determine the numbers
        """
        if not self._is_loaded or not self._parts.leadership.is_leading:
            raise NotReadyError("not leading")
        return self._scheduler.waiting_by_queue()

    def gauges(self) -> dict[str, float]:
        """Return the gauges of the fleet's size for the metrics, by metric name."""
        overdue = self._scheduler.start_bound.task_counts
        return {
            "jobs.known": len(self._scheduler.jobs),
            "jobs.waiting_jobs": self._scheduler.waiting_job_count,
            "jobs.waiting_tasks": self._scheduler.waiting_tasks,
            "jobs.waiting_lasting_tasks": self._scheduler.lasting_waits.task_count,
            "jobs.lasting_wait_seconds": self._scheduler.lasting_waits.longest_seconds,
            "jobs.room_wait_seconds": self._scheduler.room_wait_seconds,
            "jobs.overdue_lasting_tasks": overdue["lasting"],
            "jobs.overdue_short_tasks": overdue["short"],
            "jobs.overdue_filler_tasks": overdue["filler"],
            "jobs.overdue_wait_seconds": self._scheduler.start_bound.longest_seconds,
            "jobs.minions": len(self._scheduler.minions),
            "jobs.relays": self._parts.relays.link_count,
            "jobs.start_limit": self._start_window.limit,
            "jobs.starts_in_flight": self._start_window.in_flight,
            "jobs.extra_runs": self._scheduler.stragglers.extra_run_count,
            "jobs.reserved_minions": len(self._scheduler.reservations),
            "jobs.reserved_wait_seconds": self._scheduler.longest_reserved_wait_seconds,
            "jobs.minions_on_probation": self._scheduler.uneven.probation_count,
            "jobs.short_pool_minions": self._scheduler.short_pool_minion_count,
            "jobs.pending_removals": self._removal.pending_count,
            "jobs.known_bytes": self._scheduler.known_bytes,
            "jobs.unstored": self._scheduler.unstored_job_count,
            "jobs.loop_lag_seconds": self._parts.lag.seconds,
            **shortage_gauges(self._scheduler.shortage),
        }

    def admitted_rates(self) -> dict[str, AdmittedRate] | None:
        """Return the rates of the tenants that are over their share; None while loading."""
        if not self._is_loaded or not self._parts.leadership.is_leading:
            return None
        now = self._clock()
        if now - self._rates_at >= RATES_INTERVAL_SECONDS:
            loads = self._parts.tenant_loads(self._scheduler, now)
            self._rates_at = now
            self._rates = self._admission.rates(loads, self._parts.configuration.config.tenants)
        return self._rates

    @property
    def is_full(self) -> bool:
        """Return whether no further job may be accepted, for want of memory in some process."""
        now = self._clock()
        if now - self._fullness_at >= FULLNESS_INTERVAL_SECONDS:
            self._fullness_at = now
            sizes = [self._parts.memory_mb, *self._parts.relays.memory_mb]
            least_mb = min((size for size in sizes if size > 0.0), default=0.0)
            self._job_memory.update(self._scheduler.known_bytes, least_mb)
        return self._job_memory.is_full

    def queue_verdicts(self) -> dict[str, QueueVerdict] | None:
        """Return the verdicts about queues; None while loading, or without shortage control."""
        shortage = self._scheduler.shortage
        if shortage is None or not self._is_loaded or not self._parts.leadership.is_leading:
            return None
        return dict(shortage.verdicts)

    def tenant_gauges(self) -> dict[tuple[str, str], float]:
        """Return the gauges of tenants for the metrics, by metric name and label."""
        return self._scheduler.tenant_gauges()

    def apply_configuration(self) -> None:
        """Apply the newest configuration and evacuations to the scheduler."""
        self._scheduler.configure(self._parts.configuration.config)
        self._scheduler.evacuate(self._parts.configuration.evacuated)
        self._wake_event.set()

    def end_earlier_renewals(self, renewals_end: float) -> None:
        """Accept that no earlier leader renews leases from a time on.

        :param renewals_end: that time, which may be in the future
        """
        self._scheduler.end_earlier_renewals(renewals_end)

    def stop_calls(self) -> None:
        """Cancel the calls to minions that are in progress or wait to be sent."""
        for task in self._background:
            task.cancel()
        self._parts.relays.discard_calls()

    async def renew_claim(self, leadership: Leadership) -> None:
        """Renew the claim, and store with it until when leases last that are not extended.

        A lease remains closed until a renewal without it is stored. An attempt without an answer
        may be stored, so while there is one no further leases are closed.

        :raises StoreError: when the renewal failed or its outcome can't be determined
        """
        scheduler = self._scheduler
        closed = scheduler.closed_leases
        ends = scheduler.close_leases(self._clock(), self._parts.relays.unread_seconds)
        if leadership.has_unanswered_renewal:
            ends = {key: end for key, end in ends.items() if key in closed}
            scheduler.reopen_leases(closed)
        witness = self._parts.relays.choose_witness(leadership.witness)
        try:
            is_stored = await leadership.renew(witness, ends)
        except StoreError as error:
            if not error.is_effect_unknown:
                scheduler.reopen_leases(closed)
            raise
        if is_stored:
            scheduler.reopen_leases(ends)

    async def run(self) -> None:
        """Lead the fleet until the claim is lost or the task is cancelled."""
        watchers = [
            asyncio.create_task(self._parts.lag.measure()),
            asyncio.create_task(self._parts.relays.watch()),
        ]
        try:
            await self._load_while_claimed()
            self.apply_configuration()
            for follower in [*self._submission_followers, self._minion_follower]:
                await follower.start()
            self._is_loaded = True
            self._spawn(self._removal.run())
            self._scheduler.record_restored_runs(self._clock())
            self._parts.leadership.end_loading()
            await self._wait_for_lease()
            _log.notice("leading", extra={"epoch": self._epoch, "jobs": len(self._scheduler.jobs)})
            await self._run_scheduling_loop()
        except StoreFencedError as error:
            self._parts.leadership.drop(str(error))
        finally:
            # Closing the relays fails their calls, whose outcomes no longer matter.
            self._has_ended = True
            for task in [*self._background, *watchers]:
                task.cancel()
            self._parts.relays.close()
            # Each stop takes several passes of the event loop, which are slow in a busy process.
            followers = [*self._submission_followers, self._minion_follower]
            stops = (follower.stop() for follower in followers)
            # The term may be cancelled once more here; a follower that is not stopped reads on.
            await asyncio.shield(asyncio.gather(*stops, return_exceptions=True))

    async def _load_while_claimed(self) -> None:
        """Load the stored state; end at once when the claim is lost.

        :raises StoreFencedError: when the claim is lost
        """
        loading = asyncio.create_task(self._load())
        lost = asyncio.create_task(self._parts.leadership.wait_until_lost())
        try:
            await asyncio.wait({loading, lost}, return_when=asyncio.FIRST_COMPLETED)
            if lost.done():
                raise StoreFencedError("claim lost while loading")
            await loading
        finally:
            loading.cancel()
            lost.cancel()
            await asyncio.gather(loading, lost, return_exceptions=True)

    async def _wait_for_lease(self) -> None:
        """Wait until this process may act as the leader, which needs a recent renewal.

        :raises StoreFencedError: when the claim is lost
        """
        while not self._parts.leadership.is_leading:
            if not self._parts.leadership.has_claim:
                raise StoreFencedError("claim lost before leading")
            await asyncio.sleep(TICK_SECONDS)

    async def _load(self) -> None:
        """Fence earlier leaders, then load the state that they have stored."""
        await self._progress.fence()
        # A submission is stored before its progress. Reading the submissions after the progress
        # therefore finds the submission of each progress record.
        pages = PartialRead()
        progress, _ = await _gather_or_cancel(
            self._retry_on_store_error(
                lambda: self._parts.store.newest(Stream.PROGRESS, partial=pages)
            ),
            self._retry_on_store_error(self._minion_follower.read_once),
        )
        for record in progress.records:
            if record.key == MODEL_KEY and record.value is not None:
                self._load_model(record.value)
        self._stored_progress = self._progress.group(progress.records)
        await _gather_or_cancel(
            *(
                self._retry_on_store_error(partial(follower.load, self._restore_submissions))
                for follower in self._submission_followers
            )
        )
        # A submission is removed before the progress of its job.
        orphans = self._stored_progress.keys() - self._undecoded_job_ids
        if orphans:
            fields = {"jobs": len(orphans)}
            _log.notice("stored progress without a submission is removed", extra=fields)
            self._scheduler.remove_orphans(sorted(orphans))
        self._stored_progress.clear()

    def _load_model(self, data: bytes) -> None:
        try:
            self._scheduler.sharing.model.load_record(data, self._clock())
        except msgspec.MsgspecError as error:
            _log.warning("stored estimates can't be decoded", extra={"reason": str(error)})

    async def _retry_on_store_error(self, call: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
        while True:
            try:
                async with self._loading_reads:
                    result = await call()
                self._parts.leadership.record_loading_step()
                return result
            except StoreError as error:
                if not self._parts.leadership.has_claim:
                    raise StoreFencedError("claim lost while loading") from error
                _log.warning("loading stored state failed; retrying", extra={"reason": str(error)})
                await asyncio.sleep(self._parts.random.uniform(0.5, 1.5) * APPEND_RETRY_SECONDS)

    # Updates from the store

    async def _restore_submissions(self, records: tuple[Record, ...]) -> None:
        """Process the newest submissions in slices; the records of one job belong together."""
        by_job: dict[str, list[Record]] = {}
        for record in records:
            by_job.setdefault(owner_of(record.key)[0], []).append(record)
        async with self._restoring:
            self._parts.slices.begin()
            for group in by_job.values():
                self._apply_submissions(tuple(group), is_snapshot=True)
                self._parts.leadership.record_loading_step()
                await self._parts.slices.pause_if_due()

    def _apply_submissions(self, records: tuple[Record, ...], is_snapshot: bool) -> None:
        now = self._clock()
        cancelled = []
        first: dict[str, Submission] = {}
        ignored = []
        for record in records:
            if record.value is None:
                continue
            job_id, tenant = owner_of(record.key)
            if tenant:
                self._tenant_keys.setdefault(job_id, set()).add(record.key)
            if is_cancellation(record.key):
                cancelled.append((job_id, tenant))
                continue
            submission = _decode_record(record)
            if submission is None:
                self._undecoded_job_ids.add(job_id)
                continue
            known = first.setdefault(submission.job_id, submission)
            if known is submission:
                continue
            if is_snapshot and self._precedence(submission) < self._precedence(known):
                first[submission.job_id], submission = submission, known
            ignored.append(submission)
        for submission in [*first.values(), *ignored]:
            self._apply_submission(submission, now)
        for job_id, tenant in cancelled:
            self._scheduler.cancel(job_id, now, tenant)
        self._wake_event.set()

    def _precedence(self, submission: Submission) -> tuple[bool, int, str]:
        """Return the order in which submissions of several tenants get one id; the first does.

        An earlier leader may have decided otherwise, by the order of arrival.
        """
        stored = self._stored_progress.get(submission.job_id)
        is_other = False
        if stored is not None and stored.whole is not None:
            is_other = stored_tenant(stored.whole) != submission.tenant
        return is_other, submission.accepted_ms, submission.tenant

    def _apply_submission(self, submission: Submission, now: float) -> None:
        stored = self._stored_progress.pop(submission.job_id, None)
        if stored is None:
            self._scheduler.submit(submission, now)
            return
        job = Job(submission)
        try:
            apply_stored_progress(job, stored)
        except msgspec.MsgspecError as error:
            fields = {"job": job.job_id, "reason": str(error)}
            _log.error("stored progress can't be decoded; the job is not run", extra=fields)
            return
        self._scheduler.restore(job, now)

    def _apply_minions(self, records: tuple[Record, ...], is_snapshot: bool) -> None:
        now = self._clock()
        listed = set()
        for record in records:
            if record.value is None:
                self._scheduler.mark_minion_unlisted(record.key)
                continue
            facts = self._parts.decoder.minion_record(record)
            if facts is None:
                # What the minion said before, such as its capacity, may no longer hold.
                self._scheduler.mark_minion_unlisted(record.key)
                continue
            listed.add(facts.minion_id)
            self._scheduler.update_minion(facts, now)
        if is_snapshot:
            for minion_id in list(self._scheduler.minions):
                if minion_id not in listed:
                    self._scheduler.mark_minion_unlisted(minion_id)
        minions = self._scheduler.minions.values()
        self._parts.relays.set_minion_counts(
            Counter(minion.facts.failure_domain for minion in minions)
        )
        self._wake_event.set()

    # Scheduling

    async def _run_scheduling_loop(self) -> None:
        while self._parts.leadership.has_claim:
            # asyncio.wait_for of Python 3.11 loses a cancellation that comes when the event has
            # just been set, and the term would go on.
            with suppress(TimeoutError):
                async with asyncio.timeout(TICK_SECONDS):
                    await self._wake_event.wait()
            self._wake_event.clear()
            await self._log_decisions()
            self._send_orders()
            if not self._parts.leadership.is_leading:
                continue
            if self._scheduler.highest_fence >= FENCES_PER_TERM - MIN_FENCES_LEFT:
                self._parts.leadership.drop("fencing tokens of the term are used up")
                return
            self._start_polls()
            await self._run_scheduling_round()
            await asyncio.sleep(MIN_WRITE_INTERVAL_SECONDS)

    async def _run_scheduling_round(self) -> None:
        limit = self._start_window.available
        self._record_minion_list()
        began_at = self._clock()
        self._scheduler.plan(began_at, self._parts.unix_ms(), limit)
        planning_seconds = self._clock() - began_at
        self._scheduler.record_planning(planning_seconds)
        self._parts.metrics.observe("jobs.plan_seconds", planning_seconds)
        self._start_window.record_planning(planning_seconds)
        self._parts.lag.record_planning(planning_seconds)
        self._send_orders()
        changes = self._scheduler.take_changes()
        unstored = await self._store_changes(changes)
        if not self._parts.leadership.has_claim:
            return
        self._record_minion_list()
        for start in self._scheduler.commit(changes, self._clock(), unstored):
            self._begin_start(start)

    def _record_minion_list(self) -> None:
        """Tell the scheduler how recent its list of minions, and so their capacities, is."""
        self._scheduler.record_minion_list(self._clock() - self._minion_follower.age_seconds)

    def _send_orders(self) -> None:
        """Send stops and changes of pace, which need not be stored first."""
        for order in self._scheduler.take_orders():
            self._begin_order(order)

    async def _store_changes(self, changes: Changes) -> frozenset[str]:
        """Store changes and return the ids of the jobs whose progress is not stored."""
        unstored: frozenset[str] = frozenset()
        if changes.jobs or changes.removed:
            estimates = []
            if self._clock() - self._model_stored_at > MODEL_STORE_INTERVAL_SECONDS:
                self._model_stored_at = self._clock()
                model_bytes = self._parts.limits.value_bytes(MODEL_KEY)
                value = self._scheduler.sharing.model.to_record(model_bytes)
                estimates.append(Record(MODEL_KEY, value))
            unstored = await self._progress.write(changes.jobs, changes.removed, estimates)
        for job_id in changes.expired:
            keys = [job_id, cancellation_key(job_id), *self._tenant_keys.get(job_id, ())]
            self._removal.add(job_id, keys)
        for job_id, tenant in changes.expired_cancellations:
            self._removal.add(job_id, [cancellation_key(job_id, tenant)])
        return unstored

    def _remove_jobs(self, job_ids: Sequence[str]) -> None:
        """Remove jobs whose submissions are removed from the store."""
        for job_id in job_ids:
            self._tenant_keys.pop(job_id, None)
        self._scheduler.remove_jobs(job_ids, self._clock())

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._on_background_task_done)

    def _on_background_task_done(self, task: asyncio.Task[None]) -> None:
        self._background.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("background task failed", extra={"reason": repr(task.exception())})
            self._parts.leadership.drop("internal error")

    # Orders

    def _begin_start(self, order: StartOrder) -> None:
        """Send a start order through a relay, or in a task where none takes it."""
        started = self._prepare_start(order)
        if started is None:
            return
        on_answer = partial(self._process_start_answer, started)
        try:
            is_sent = self._parts.minions.submit_start(
                order, started.token, started.deadline_ms, on_answer
            )
        except Exception as error:
            # The failure of one order must not end the term; its effect is unknown.
            self._log_unexpected_error("start", order.minion, error)
            on_answer(StartAnswer(StartOutcome.UNKNOWN))
            return
        if not is_sent:
            self._spawn(self._send_start_directly(started))

    def _prepare_start(self, order: StartOrder) -> _BegunStart | None:
        """Count a start order as in flight; return None when it may not be sent."""
        sent_at = self._clock()
        deadline_ms = None
        leadership = self._parts.leadership
        if leadership.is_leading:
            deadline_ms = order.minion.start_lease(
                sent_at,
                self._parts.settings.lease_seconds,
                may_extend=leadership.is_lease_renewal_allowed,
            )
        if deadline_ms is None:
            self._scheduler.start_answered(order.run, StartOutcome.NOT_SENT, sent_at, sent_at)
            return None
        token = self._epoch + order.run.fence
        return _BegunStart(order, sent_at, deadline_ms, token, self._start_window.begin())

    async def _send_start_directly(self, started: _BegunStart) -> None:
        order = started.order
        answer: StartAnswer | FencedByMinionError = StartAnswer(StartOutcome.UNKNOWN)
        try:
            answer = StartAnswer(
                *await self._parts.minions.start(order, started.token, started.deadline_ms)
            )
        except FencedByMinionError as error:
            answer = error
        except Exception as error:
            # The failure of one order must not end the term; its effect is unknown.
            self._log_unexpected_error("start", order.minion, error)
        self._process_start_answer(started, answer)

    def _process_start_answer(
        self, started: _BegunStart, answer: StartAnswer | FencedByMinionError
    ) -> None:
        if self._has_ended:
            return
        try:
            self._record_start_answer(started, answer)
        except Exception as error:
            _log.error("background task failed", extra={"reason": repr(error)})
            self._parts.leadership.drop("internal error")

    def _record_start_answer(
        self, started: _BegunStart, answer: StartAnswer | FencedByMinionError
    ) -> None:
        if isinstance(answer, FencedByMinionError):
            if not self._is_outdated(started.order.minion, started.token):
                self._start_window.end(started.window_order)
                self._parts.leadership.drop(str(answer))
                return
            answer = StartAnswer(StartOutcome.FENCED)
        outcome, clock_ms = answer.outcome, answer.clock_ms
        is_sent = outcome is not StartOutcome.NOT_SENT
        self._start_window.end(started.window_order, is_sent=is_sent)
        run, minion = started.order.run, started.order.minion
        now = self._clock()
        _log.info(
            "start ordered",
            extra={
                "job": run.key.job_id,
                "task": str(run.key),
                "run": run.run_id,
                "minion": minion.minion_id,
                "born_ms": minion.facts.born_ms,
                "kind": run.step.kind,
                "outcome": str(outcome),
                "waited_ms": round(1000 * (now - run.planned_at)),
            },
        )
        self._parts.metrics.count("jobs.starts", label=str(outcome))
        self._parts.metrics.observe("jobs.start_wait_seconds", now - run.planned_at)
        self._scheduler.start_answered(run, outcome, started.sent_at, now, clock_ms)
        # Tasks may wait for this start to be answered, where the start window is full.
        if outcome is not StartOutcome.STARTED or not self._scheduler.had_starts_left:
            self._wake_event.set()

    def _begin_order(self, order: Order) -> None:
        """Send a stop or a change of pace through a relay, or in a task where none takes it."""
        leadership = self._parts.leadership
        # These orders extend no lease, so the leader's own lease is enough.
        if not (leadership.is_leading or leadership.is_lease_renewal_allowed):
            return
        token = self._token(order.minion)
        on_answer = partial(self._process_order_answer, order, token)
        try:
            is_sent = self._parts.minions.submit_order(order, token, on_answer)
        except Exception as error:
            self._log_unexpected_error(type(order).__name__, order.minion, error)
            return
        if not is_sent:
            self._spawn(self._send_order(order, token))

    async def _send_order(self, order: Order, token: int) -> None:
        answer: MinionError | None = None
        try:
            match order:
                case StopOrder():
                    await self._parts.minions.stop(order, token)
                case PaceOrder():
                    await self._parts.minions.set_pace(order, token)
        except MinionError as error:
            answer = error
        except Exception as error:
            self._log_unexpected_error(type(order).__name__, order.minion, error)
            return
        self._process_order_answer(order, token, answer)

    def _process_order_answer(self, order: Order, token: int, error: MinionError | None) -> None:
        if self._has_ended:
            return
        try:
            self._record_order_answer(order, token, error)
        except Exception as unexpected:
            self._log_unexpected_error(type(order).__name__, order.minion, unexpected)

    def _record_order_answer(self, order: Order, token: int, error: MinionError | None) -> None:
        is_fenced = isinstance(error, FencedByMinionError)
        if is_fenced and not self._is_outdated(order.minion, token):
            self._parts.leadership.drop(str(error))
        elif error is not None:
            fields = {"minion": order.minion.minion_id, "reason": str(error)}
            _log.warning(f"minion did not answer {type(order).__name__}", extra=fields)
            if isinstance(order, PaceOrder):
                self._scheduler.pace_unanswered(order, self._clock())
        elif isinstance(order, StopOrder):
            self._scheduler.stop_answered(order.minion, order.key, order.run_id, self._clock())

    def _token(self, minion: Minion) -> int:
        """Return the fencing token of a call to a minion that is sent now."""
        return self._epoch + minion.fence

    def _is_outdated(self, minion: Minion, token: int) -> bool:
        """Return whether this leader has sent calls with a higher token to a minion id."""
        is_current = self._scheduler.minions.get(minion.minion_id) is minion
        return not is_current or token < self._token(minion)

    def _log_unexpected_error(self, call: str, minion: Minion, error: Exception) -> None:
        fields = {"call": call, "minion": minion.minion_id, "reason": repr(error)}
        _log.error("call to a minion failed unexpectedly", extra=fields)

    def _start_polls(self) -> None:
        current = set(self._scheduler.minions.values())
        for minion in current - self._polled_minions:
            self._spawn(self._poll_minion(minion))
        self._polled_minions = current

    async def _poll_minion(self, minion: Minion) -> None:
        """Renew the lease of a minion's runs and process its reports until it leaves the fleet."""
        failed_polls = 0
        # The next poll only finds out whether the minion answers, and renews nothing.
        is_confirming = False
        while self._scheduler.minions.get(minion.minion_id) is minion:
            if not self._parts.leadership.is_lease_renewal_allowed:
                if not self._parts.leadership.has_claim:
                    return
                await asyncio.sleep(TICK_SECONDS)
                continue
            try:
                is_round_due = await self._poll_once(minion, is_renewing=not is_confirming)
            except _OutdatedPollError:
                continue
            except FencedByMinionError as error:
                self._parts.leadership.drop(str(error))
                return
            except OtherIncarnationError:
                self._scheduler.remove_replaced_minion(minion, self._clock())
                self._wake_event.set()
                await asyncio.sleep(POLL_RETRY_SECONDS[1])
                continue
            except RelayError as error:
                # The next poll of this minion is sent directly.
                self._parts.metrics.count("jobs.polls", label="relay_failed")
                _log.info(
                    "poll through a relay failed",
                    extra={"minion": minion.minion_id, "reason": str(error)},
                )
                is_confirming = True
                continue
            except MinionError as error:
                self._parts.metrics.count("jobs.polls", label="unanswered")
                failed_polls += 1
                is_late = self._parts.lag.seconds > SUSPICIOUS_LAG_SECONDS
                if not is_late or failed_polls >= POLLS_TO_SILENCE_WHEN_LATE:
                    self._scheduler.mark_minion_silent(minion, str(error), self._clock())
                await asyncio.sleep(self._parts.random.uniform(*POLL_RETRY_SECONDS))
                continue
            except Exception as error:
                # A report that can't be processed must not end the term, or it would end that of
                # each later leader as well. The tasks of its minion move when its lease is over.
                self._log_unexpected_error("poll", minion, error)
                self._scheduler.mark_minion_silent(minion, repr(error), self._clock())
                await asyncio.sleep(self._parts.random.uniform(*POLL_RETRY_SECONDS))
                continue
            failed_polls = 0
            is_confirming = False
            self._parts.metrics.count("jobs.polls", label="answered")
            self._send_orders()
            if is_round_due:
                self._wake_event.set()
            # A poll returns at once while an end is not acknowledged.
            is_waiting = minion.has_withheld_end
            seconds = WITHHELD_POLL_INTERVAL_SECONDS if is_waiting else MIN_POLL_INTERVAL_SECONDS
            await asyncio.sleep(seconds)

    async def _poll_once(self, minion: Minion, *, is_renewing: bool) -> bool:
        """Poll a minion and process its report.

        :param is_renewing: whether the poll may extend the lease of the minion's runs
        :returns: whether the report calls for a scheduling round before the next tick
        :raises MinionError: when the minion gave no usable answer
        """
        hold_seconds = self._parts.settings.lease_seconds
        if minion.clock_ms is None and minion.is_answering:
            await self._first_polls.enter()
        # The permission is checked for the time from which the lease counts, since the process may
        # be suspended in between.
        sent_at = self._clock()
        is_renewing = is_renewing and self._parts.leadership.is_lease_renewal_allowed
        deadline_ms = None
        if minion.is_answering and is_renewing:
            # The lease of a silent minion must expire, or its tasks would never be restarted.
            deadline_ms = minion.grant_lease(sent_at, hold_seconds)
        # A poll that renews nothing must be answered at once, or the lease ends meanwhile.
        wait_seconds = 0.0
        if deadline_ms is not None:
            wait_seconds = self._scheduler.poll_wait_seconds(minion)
        fence = minion.fence
        token = self._epoch + fence
        try:
            report = await self._parts.minions.renew(minion, token, deadline_ms, wait_seconds)
        except FencedByMinionError as error:
            if self._is_outdated(minion, token):
                raise _OutdatedPollError(str(error)) from error
            raise
        return self._scheduler.report(minion, report, sent_at, self._clock(), fence)

    async def _log_decisions(self) -> None:
        self._parts.slices.begin()
        for decision in self._scheduler.take_decisions():
            self._parts.metrics.count("jobs.decisions", label=decision.kind)
            extra: dict[str, object] = dict(decision.fields)
            if decision.job_id:
                extra["job"] = decision.job_id
            _log.info(decision.message, extra=extra)
            await self._parts.slices.pause_if_due()


async def _gather_or_cancel(*calls: Coroutine[Any, Any, Any]) -> list[Any]:
    """Return the results of concurrent calls; cancel the others when one fails."""
    tasks = [asyncio.create_task(call) for call in calls]
    try:
        return await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()


def _decode_record(record: Record) -> Submission | None:
    assert record.value is not None
    try:
        return decode_submission(record.value)
    except msgspec.MsgspecError as error:
        fields = {"job": record.key, "reason": str(error)}
        _log.error("stored submission can't be decoded", extra=fields)
        return None
