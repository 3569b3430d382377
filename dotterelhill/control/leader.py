"""The fleet's leader: loads the stored state, polls every minion, and runs the scheduler."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec

from dotterelhill.control.feeds import ConfigurationFeed, Follower, RecordDecoder
from dotterelhill.control.interface import (
    Fence,
    FencedByMinionError,
    MinionError,
    Minions,
    OtherIncarnationError,
    Record,
    Store,
    StoreError,
    StoreFencedError,
    StoreSequenceError,
    Stream,
)
from dotterelhill.control.leadership import Leadership
from dotterelhill.control.submissions import (
    append_submissions,
    cancellation_key,
    cancelled_job_of,
    is_cancellation,
)
from dotterelhill.entry.logs import logger_of
from dotterelhill.entry.metrics import Metrics
from dotterelhill.jobs.changes import Changes, SchedulerSettings
from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.model import Job, JobState, Submission
from dotterelhill.jobs.orders import Order, PaceOrder, StartOrder, StartOutcome, StopOrder
from dotterelhill.jobs.progress import apply_progress, decode_submission, encode_progress
from dotterelhill.jobs.scheduler import Scheduler

# Key of the interference estimates beside the progress of jobs, whose ids have no such character.
MODEL_KEY = "@interference"
MODEL_STORE_SECONDS = 4.0
FENCED_WRITER = "leader"
# Changes within this time share one write; the store takes several hundred writes a second.
WRITE_SPACING_SECONDS = 0.02
# Leases and retries are looked at this often when nothing else happens.
TICK_SECONDS = 0.1
APPEND_RETRY_SECONDS = 0.1
# Polls of one minion are at least this far apart; ends within it share a poll.
POLL_SPACING_SECONDS = 0.05
POLL_RETRY_SECONDS = (0.2, 0.5)
MINION_LIST_PAUSE_SECONDS = 0.5
# A stored submission is known to the leader within this time unless the store is in trouble.
FRESH_SECONDS = 3.0

_log = logger_of("leader")


class NotReadyError(Exception):
    """The process can't answer for the fleet now."""


@dataclass(frozen=True, slots=True)
class LeaderParts:
    """What the leader works with.

    :param unix_ms: time of day in milliseconds
    """

    store: Store
    minions: Minions
    decoder: RecordDecoder
    configuration: ConfigurationFeed
    leadership: Leadership
    settings: SchedulerSettings
    clock: Callable[[], float]
    unix_ms: Callable[[], int]
    random: Random
    metrics: Metrics


class Leader:
    """One term of leadership.

    :param parts: what the leader works with
    """

    def __init__(self, parts: LeaderParts) -> None:
        self._parts = parts
        self._clock = parts.clock
        self._epoch = parts.leadership.epoch
        self._scheduler = Scheduler(parts.settings, parts.clock())
        self._wake = asyncio.Event()
        self._sequence = 0
        self._is_loaded = False
        self._is_store_failing = False
        self._model_stored_at = self._clock()
        self._background: set[asyncio.Task[None]] = set()
        self._watched: set[Minion] = set()
        self._submissions: list[Follower] = []
        for partition in range(parts.store.partitions(Stream.SUBMISSIONS)):
            follower = Follower(
                parts.store,
                Stream.SUBMISSIONS,
                self._take_submissions,
                parts.clock,
                parts.random,
                partition=partition,
            )
            self._submissions.append(follower)
        self._minion_list = Follower(
            parts.store,
            Stream.MINIONS,
            self._take_minions,
            parts.clock,
            parts.random,
            wait_seconds=0.0,
            pause_seconds=MINION_LIST_PAUSE_SECONDS,
        )
        self._stored_progress: dict[str, bytes] = {}

    @property
    def scheduler(self) -> Scheduler:
        """Return the state of the fleet."""
        return self._scheduler

    def state_of(self, job_id: str) -> JobState | None:
        """Return the stored state of a job; None when no such job was accepted.

        :raises NotReadyError: when this process can't tell
        """
        if not self._is_loaded:
            raise NotReadyError("stored jobs are being loaded")
        state = self._scheduler.state_of(job_id)
        if state is None:
            age_seconds = max(follower.age_seconds for follower in self._submissions)
            is_fresh = age_seconds < FRESH_SECONDS
            if not is_fresh or not self._parts.leadership.is_leading:
                raise NotReadyError("submissions are not read up to their end")
        return state

    def waiting_by_queue(self) -> dict[str, int]:
        """Return the number of jobs that wait, by queue.

        :raises NotReadyError: when this process can't tell
        """
        if not self._is_loaded or not self._parts.leadership.is_leading:
            raise NotReadyError("not leading")
        return self._scheduler.waiting_by_queue()

    def gauges(self) -> dict[str, float]:
        """Return the sizes of the fleet for the metrics."""
        return {
            "jobs.known": len(self._scheduler.jobs),
            "jobs.waiting_tasks": self._scheduler.waiting_tasks,
            "jobs.minions": len(self._scheduler.minions),
        }

    def configuration_changed(self) -> None:
        """Take over the newest configuration."""
        self._scheduler.configure(self._parts.configuration.config)
        self._scheduler.evacuate(self._parts.configuration.evacuated)
        self._wake.set()

    async def run(self) -> None:
        """Lead until the claim is lost or the caller cancels."""
        try:
            await self._load()
            self.configuration_changed()
            for follower in [*self._submissions, self._minion_list]:
                await follower.start()
            self._is_loaded = True
            _log.notice("leading", extra={"epoch": self._epoch, "jobs": len(self._scheduler.jobs)})
            await self._work()
        except StoreFencedError as error:
            self._parts.leadership.drop(str(error))
        finally:
            for follower in [*self._submissions, self._minion_list]:
                with suppress(Exception):
                    await follower.stop()
            for task in self._background:
                task.cancel()

    async def _load(self) -> None:
        """Fence earlier leaders, then read what they have stored."""
        await self._append([])
        # Submissions come before their progress, so reading them last finds each of them.
        progress, _ = await asyncio.gather(
            self._retried(lambda: self._parts.store.newest(Stream.PROGRESS)),
            self._retried(self._minion_list.step),
        )
        for record in progress.records:
            if record.key == MODEL_KEY and record.value is not None:
                self._load_model(record.value)
            elif record.value is not None:
                self._stored_progress[record.key] = record.value
        await asyncio.gather(*(self._retried(follower.step) for follower in self._submissions))
        orphans = len(self._stored_progress)
        if orphans:
            _log.warning("progress without a submission", extra={"jobs": orphans})
        self._stored_progress.clear()

    def _load_model(self, data: bytes) -> None:
        try:
            self._scheduler.sharing.model.load_record(data, self._clock())
        except msgspec.MsgspecError as error:
            _log.warning("stored estimates can't be read", extra={"reason": str(error)})

    async def _retried(self, call: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
        while True:
            try:
                return await call()
            except StoreError as error:
                if not self._parts.leadership.has_claim:
                    raise StoreFencedError("claim lost while loading") from error
                _log.warning("load failed; trying again", extra={"reason": str(error)})
                await asyncio.sleep(self._parts.random.uniform(0.5, 1.5) * APPEND_RETRY_SECONDS)

    # Streams

    def _take_submissions(self, records: tuple[Record, ...], is_whole: bool) -> None:
        now = self._clock()
        cancelled = []
        for record in records:
            if record.value is None:
                continue
            if is_cancellation(record.key):
                cancelled.append(cancelled_job_of(record.key))
                continue
            submission = _decoded(record)
            if submission is not None:
                self._take_submission(submission, now)
        for job_id in cancelled:
            self._scheduler.cancel(job_id, now)
        self._wake.set()

    def _take_submission(self, submission: Submission, now: float) -> None:
        stored = self._stored_progress.pop(submission.job_id, None)
        if stored is None:
            self._scheduler.submit(submission, now)
            return
        job = Job(submission)
        try:
            apply_progress(job, stored)
        except msgspec.MsgspecError as error:
            fields = {"job": job.job_id, "reason": str(error)}
            _log.error("stored progress can't be read; the job is not run", extra=fields)
            return
        self._scheduler.restore(job, now)

    def _take_minions(self, records: tuple[Record, ...], is_whole: bool) -> None:
        now = self._clock()
        listed = set()
        for record in records:
            if record.value is None:
                self._scheduler.lose_minion(record.key)
                continue
            facts = self._parts.decoder.minion_record(record)
            if facts is not None:
                listed.add(facts.minion_id)
                self._scheduler.see_minion(facts, now)
        if is_whole:
            for minion_id in list(self._scheduler.minions):
                if minion_id not in listed:
                    self._scheduler.lose_minion(minion_id)
        self._wake.set()

    # Work

    async def _work(self) -> None:
        while self._parts.leadership.has_claim:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), TICK_SECONDS)
            self._wake.clear()
            self._log_decisions()
            self._send_orders()
            if not self._parts.leadership.is_leading:
                continue
            self._watch_minions()
            await self._round()
            await asyncio.sleep(WRITE_SPACING_SECONDS)

    async def _round(self) -> None:
        self._scheduler.plan(self._clock(), self._parts.unix_ms())
        self._send_orders()
        changes = self._scheduler.take_changes()
        await self._store(changes)
        for start in self._scheduler.commit(changes, self._clock()):
            self._spawn(self._start(start))

    def _send_orders(self) -> None:
        """Send stops and changes of pace, which wait for no write."""
        for order in self._scheduler.take_orders():
            self._spawn(self._deliver(order))

    async def _store(self, changes: Changes) -> None:
        records = [Record(job.job_id, encode_progress(job)) for job in changes.jobs]
        records += [Record(job_id, None) for job_id in changes.removed]
        if records and self._clock() - self._model_stored_at > MODEL_STORE_SECONDS:
            self._model_stored_at = self._clock()
            records.append(Record(MODEL_KEY, self._scheduler.sharing.model.to_record()))
        if records:
            await self._append(records)
        if changes.removed:
            await self._remove_submissions(changes.removed)

    async def _remove_submissions(self, job_ids: list[str]) -> None:
        records = []
        for job_id in job_ids:
            records.append(Record(job_id, None))
            records.append(Record(cancellation_key(job_id), None))
        try:
            await append_submissions(self._parts.store, records)
        except StoreError as error:
            # The records stay; a later leader finds a job without progress and an old id.
            _log.warning("ended jobs were not removed", extra={"reason": str(error)})

    async def _append(self, records: list[Record]) -> None:
        """Append to the progress stream until the outcome is known.

        :raises StoreFencedError: when a later leader has written
        """
        while True:
            fence = Fence(FENCED_WRITER, self._epoch, self._sequence)
            try:
                await self._parts.store.append(Stream.PROGRESS, records, fence=fence)
            except StoreFencedError:
                raise
            except StoreSequenceError as error:
                _log.warning(
                    "append out of sequence",
                    extra={"sequence": self._sequence, "expected": error.expected},
                )
                self._sequence = error.expected
                continue
            except StoreError as error:
                if not self._parts.leadership.has_claim:
                    raise StoreFencedError("claim lost during a write") from error
                if not self._is_store_failing:
                    self._is_store_failing = True
                    _log.warning("progress can't be stored", extra={"reason": str(error)})
                await asyncio.sleep(self._parts.random.uniform(0.5, 1.5) * APPEND_RETRY_SECONDS)
                continue
            if self._is_store_failing:
                self._is_store_failing = False
                _log.notice("progress is stored again", extra={"records": len(records)})
            if records:
                self._sequence += 1
            return

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._background.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("background task failed", extra={"reason": repr(task.exception())})
            self._parts.leadership.drop("internal error")

    # Orders

    async def _start(self, order: StartOrder) -> None:
        run, minion = order.run, order.minion
        sent_at = self._clock()
        deadline_ms = minion.lease_deadline_ms(sent_at, self._parts.settings.hold_seconds)
        if deadline_ms is None or not self._parts.leadership.is_leading:
            self._scheduler.start_answered(run, StartOutcome.NOT_SENT, sent_at, sent_at)
            return
        minion.extend_lease(sent_at, self._parts.settings.hold_seconds)
        try:
            outcome, clock_ms = await self._parts.minions.start(order, self._epoch, deadline_ms)
        except FencedByMinionError as error:
            self._parts.leadership.drop(str(error))
            return
        now = self._clock()
        if clock_ms is not None:
            minion.clock_ms, minion.clock_at = clock_ms, now
        _log.info(
            "start ordered",
            extra={
                "job": run.key.job_id,
                "task": str(run.key),
                "run": run.run_id,
                "minion": minion.minion_id,
                "outcome": str(outcome),
                "waited_ms": round(1000 * (now - run.planned_at)),
            },
        )
        self._parts.metrics.count("jobs.starts", label=str(outcome))
        self._parts.metrics.observe("jobs.start_wait_seconds", now - run.planned_at)
        self._scheduler.start_answered(run, outcome, sent_at, now)
        if outcome is not StartOutcome.STARTED:
            self._wake.set()

    async def _deliver(self, order: Order) -> None:
        if not self._parts.leadership.may_renew_leases:
            return
        try:
            match order:
                case StopOrder():
                    await self._parts.minions.stop(order, self._epoch)
                    self._scheduler.stop_answered(
                        order.minion, order.key, order.run_id, self._clock()
                    )
                case PaceOrder():
                    await self._parts.minions.set_pace(order, self._epoch)
        except FencedByMinionError as error:
            self._parts.leadership.drop(str(error))
        except MinionError as error:
            fields = {"minion": order.minion.minion_id, "reason": str(error)}
            _log.warning(f"{type(order).__name__} unanswered", extra=fields)

    def _watch_minions(self) -> None:
        current = set(self._scheduler.minions.values())
        for minion in current - self._watched:
            self._spawn(self._watch(minion))
        self._watched = current

    async def _watch(self, minion: Minion) -> None:
        """Renew the lease of a minion's runs and read its lists, as long as it is known."""
        hold_seconds = self._parts.settings.hold_seconds
        while self._scheduler.minions.get(minion.minion_id) is minion:
            if not self._parts.leadership.may_renew_leases:
                if not self._parts.leadership.has_claim:
                    return
                await asyncio.sleep(TICK_SECONDS)
                continue
            sent_at = self._clock()
            deadline_ms = None
            if minion.is_answering:
                # A silent minion's lease must come to an end, or its tasks would wait for good.
                deadline_ms = minion.lease_deadline_ms(sent_at, hold_seconds)
            wait_seconds = self._scheduler.poll_wait_seconds(minion)
            if deadline_ms is not None:
                minion.extend_lease(sent_at, hold_seconds)
            try:
                report = await self._parts.minions.renew(
                    minion, self._epoch, deadline_ms, wait_seconds
                )
            except FencedByMinionError as error:
                self._parts.leadership.drop(str(error))
                return
            except OtherIncarnationError:
                self._scheduler.replaced(minion, self._clock())
                self._wake.set()
                await asyncio.sleep(POLL_RETRY_SECONDS[1])
                continue
            except MinionError as error:
                self._parts.metrics.count("jobs.polls", label="unanswered")
                self._scheduler.unanswered(minion, str(error), self._clock())
                await asyncio.sleep(self._parts.random.uniform(*POLL_RETRY_SECONDS))
                continue
            self._parts.metrics.count("jobs.polls", label="answered")
            self._scheduler.report(minion, report, sent_at, self._clock())
            self._send_orders()
            self._wake.set()
            await asyncio.sleep(POLL_SPACING_SECONDS)

    def _log_decisions(self) -> None:
        for decision in self._scheduler.take_decisions():
            self._parts.metrics.count("jobs.decisions", label=decision.kind)
            extra: dict[str, object] = dict(decision.fields)
            if decision.job_id:
                extra["job"] = decision.job_id
            _log.info(decision.what, extra=extra)


def _decoded(record: Record) -> Submission | None:
    assert record.value is not None
    try:
        return decode_submission(record.value)
    except msgspec.MsgspecError as error:
        fields = {"job": record.key, "reason": str(error)}
        _log.error("stored submission can't be read", extra=fields)
        return None
