"""Job operations of clients: submission, cancellation, job states and queue lengths."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from random import Random

from dotterelhill.control.election import Election
from dotterelhill.control.health import ObservedStore
from dotterelhill.control.interface import Record, StoreError, StoreRefusedError
from dotterelhill.control.leader import NotReadyError
from dotterelhill.control.peers import PeerClient, PeerUnreachableError
from dotterelhill.control.submissions import append_submissions, cancellation_key, submission_key
from dotterelhill.entry.logs import logger_of
from dotterelhill.jobs.model import JobState, Submission
from dotterelhill.jobs.progress import encode_submission
from dotterelhill.jobs.tenants.access import AccessRefusedError

RETRY_SECONDS = (0.05, 0.15)
# The leader reads a stored submission within this time. Until then, the process that stored it
# reports the job as queued.
RECENT_SUBMISSION_SECONDS = 5.0
MAX_RECENT_SUBMISSIONS = 5000
QUEUE_CACHE_SECONDS = 0.5

_log = logger_of("jobs")


class NotStoredError(Exception):
    """Raised when a record is not stored and will not be."""


class RecordRefusedError(NotStoredError):
    """Raised when the store will never accept a record."""


class OutcomeUnknownError(Exception):
    """Raised when a record may or may not be stored."""


def _always_permitted() -> None:
    """Permit a request that needs no permission."""


def _check_again(check: Callable[[], None], *, may_be_stored: bool) -> None:
    """Check a request before an attempt to store its record.

    :param may_be_stored: whether an earlier attempt may have stored it, so that a refusal would be
        untrue
    """
    try:
        check()
    except AccessRefusedError as error:
        if may_be_stored:
            raise OutcomeUnknownError(str(error)) from error
        raise


class JobService:
    """Submits and cancels jobs and looks up their states.

    :param store: store to which submissions are appended
    :param election: source of the current leader
    :param peers: client for calls to the leader
    :param clock: returns seconds; see :class:`~dotterelhill.control.leadership.Leadership`
    """

    def __init__(
        self,
        store: ObservedStore,
        election: Election,
        peers: PeerClient,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        self._store = store
        self._election = election
        self._peers = peers
        self._clock = clock
        self._random = random
        self._recent_submissions: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._queue_lengths: dict[str, int] = {}
        self._queue_lengths_at = float("-inf")

    async def submit(
        self,
        submission: Submission,
        timeout_seconds: float,
        check: Callable[[], None] = _always_permitted,
    ) -> None:
        """Store a job.

        :param timeout_seconds: time until the client's request times out
        :param check: called before each attempt to store the job
        :raises AccessRefusedError: when ``check`` raises it before the first attempt
        :raises NotStoredError: when the job is not stored and will not be; as a
            :class:`RecordRefusedError` where the store will never accept it
        :raises OutcomeUnknownError: when the job may or may not be stored
        """
        job_id, tenant = submission.job_id, submission.tenant
        record = Record(submission_key(job_id, tenant), encode_submission(submission))
        await self._append(record, timeout_seconds, check)
        self._recent_submissions[job_id, tenant] = self._clock()
        while len(self._recent_submissions) > MAX_RECENT_SUBMISSIONS:
            self._recent_submissions.popitem(last=False)

    def has_accepted(self, job_id: str, tenant: str) -> bool:
        """Return whether this process has stored a job recently, so that a request repeats it."""
        return (job_id, tenant) in self._recent_submissions

    async def cancel(
        self,
        job_id: str,
        timeout_seconds: float,
        check: Callable[[], None] = _always_permitted,
        tenant: str = "",
    ) -> None:
        """Store the cancellation of a job.

        :param timeout_seconds: time until the client's request times out
        :param check: called before each attempt to store the cancellation
        :param tenant: tenant that cancels; the job of another one is not affected
        :raises AccessRefusedError: when ``check`` raises it before the first attempt
        :raises NotStoredError: when the cancellation is not stored and will not be
        :raises OutcomeUnknownError: when the cancellation may or may not be stored
        """
        await self._append(Record(cancellation_key(job_id, tenant), b"1"), timeout_seconds, check)

    async def _append(
        self, record: Record, timeout_seconds: float, check: Callable[[], None]
    ) -> None:
        """Append a record, retrying until the outcome is known or the time has passed.

        Appending a record of the same key and value twice is harmless. Nothing is sent to a store
        that is unavailable, so that a record reported as not stored is certainly not stored.
        """
        deadline = self._clock() + timeout_seconds
        may_be_stored = False
        reason = ""
        while self._clock() < deadline:
            _check_again(check, may_be_stored=may_be_stored)
            if self._store.is_unavailable:
                reason = "store is away"
            else:
                try:
                    await append_submissions(self._store, [record])
                    return
                except StoreRefusedError as error:
                    raise RecordRefusedError(str(error)) from error
                except StoreError as error:
                    may_be_stored = may_be_stored or error.is_effect_unknown
                    reason = str(error)
            # The attempt before this one may have taken longer than a configuration is valid.
            _check_again(check, may_be_stored=may_be_stored)
            try:
                if await self._append_via_leader(record):
                    return
            except PeerUnreachableError as error:
                may_be_stored = may_be_stored or error.is_effect_unknown
                reason = f"{reason}; by leader: {error}"
            if not may_be_stored:
                raise NotStoredError(reason)
            await asyncio.sleep(self._random.uniform(*RETRY_SECONDS))
        raise OutcomeUnknownError(reason)

    async def _append_via_leader(self, record: Record) -> bool:
        """Append a record through the leader when this process can't store the record itself.

        :returns: whether the leader has stored the record; False when no other process leads
        """
        address = self._election.leader_address
        if self._election.has_claim or not address:
            return False
        await self._peers.store_submission(address, record)
        return True

    async def state_of(self, job_id: str, tenant: str = "") -> JobState | None:
        """Return the state of a job; None when no such job was accepted.

        :param tenant: tenant that asks; for it, jobs of other tenants do not exist
        :raises NotReadyError: when the state can't be determined at present
        """
        state = await self._leader_state_of(job_id, tenant)
        if state is None:
            stored_at = self._recent_submissions.get((job_id, tenant))
            if stored_at is not None and self._clock() - stored_at < RECENT_SUBMISSION_SECONDS:
                return JobState.QUEUED
        return state

    async def _leader_state_of(self, job_id: str, tenant: str) -> JobState | None:
        leader = self._election.leader
        if leader is not None:
            return leader.state_of(job_id, tenant)
        address = self._election.leader_address
        if not address:
            raise NotReadyError("no leader is known")
        try:
            state = await self._peers.state_of(address, job_id, tenant)
        except PeerUnreachableError as error:
            raise NotReadyError(f"leader {address}: {error}") from error
        try:
            return JobState(state) if state else None
        except ValueError as error:
            raise NotReadyError(f"leader {address}: unknown state {state!r}") from error

    async def waiting_job_count(self, queue: str) -> int:
        """Return the number of accepted jobs of a queue that have not started.

        :raises NotReadyError: when the number can't be determined at present
        """
        leader = self._election.leader
        if leader is not None:
            return leader.waiting_by_queue().get(queue, 0)
        if self._clock() - self._queue_lengths_at > QUEUE_CACHE_SECONDS:
            address = self._election.leader_address
            if not address:
                raise NotReadyError("no leader is known")
            asked_at = self._clock()
            try:
                self._queue_lengths = await self._peers.waiting_by_queue(address)
            except PeerUnreachableError as error:
                raise NotReadyError(f"leader {address}: {error}") from error
            self._queue_lengths_at = asked_at
        return self._queue_lengths.get(queue, 0)
