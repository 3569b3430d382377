"""Requests of clients about jobs: submit, ask for a state, cancel, ask for a queue's length."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from random import Random

from dotterelhill.control.election import Election
from dotterelhill.control.health import ObservedStore
from dotterelhill.control.interface import Record, StoreError
from dotterelhill.control.leader import NotReadyError
from dotterelhill.control.peers import PeerClient, PeerUnreachableError
from dotterelhill.control.submissions import append_submissions, cancellation_key
from dotterelhill.entry.logs import logger_of
from dotterelhill.jobs.model import JobState, Submission
from dotterelhill.jobs.progress import encode_submission

RETRY_SECONDS = (0.05, 0.15)
# The leader reads a stored submission within this time; until then the job counts as queued.
OWN_KNOWLEDGE_SECONDS = 5.0
LARGEST_OWN_COUNT = 5000
QUEUE_CACHE_SECONDS = 0.5

_log = logger_of("jobs")


class NotStoredError(Exception):
    """A record is certain not to be stored."""


class OutcomeUnknownError(Exception):
    """A record may have been stored."""


class JobService:
    """Answers requests about jobs.

    :param clock: seconds; as of :class:`~dotterelhill.control.leadership.Leadership`
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
        self._own: OrderedDict[str, float] = OrderedDict()
        self._counts: dict[str, int] = {}
        self._counts_at = float("-inf")

    async def submit(self, submission: Submission, seconds: float) -> None:
        """Return once a job is stored.

        :param seconds: time until the client gives up
        :raises NotStoredError: when the job is not stored and will not be
        :raises OutcomeUnknownError: when it may be
        """
        record = Record(submission.job_id, encode_submission(submission))
        await self._append(record, seconds)
        self._own[submission.job_id] = self._clock()
        while len(self._own) > LARGEST_OWN_COUNT:
            self._own.popitem(last=False)

    async def cancel(self, job_id: str, seconds: float) -> None:
        """Return once the cancellation of a job is stored.

        :raises NotStoredError: when it is not stored
        :raises OutcomeUnknownError: when it may be
        """
        await self._append(Record(cancellation_key(job_id), b"1"), seconds)

    async def _append(self, record: Record, seconds: float) -> None:
        """Append until the outcome is known or the time is over.

        A record of the same key and value may be appended twice without harm. Nothing is sent to a
        store that is away, so that the refusal is known to be true.
        """
        give_up_at = self._clock() + seconds
        may_be_stored = False
        reason = ""
        while self._clock() < give_up_at:
            if self._store.is_away:
                reason = "store is away"
            else:
                try:
                    await append_submissions(self._store, [record])
                    return
                except StoreError as error:
                    may_be_stored = may_be_stored or error.is_effect_unknown
                    reason = str(error)
            try:
                if await self._append_by_leader(record):
                    return
            except PeerUnreachableError as error:
                may_be_stored = may_be_stored or error.is_effect_unknown
                reason = f"{reason}; by leader: {error}"
            if not may_be_stored:
                raise NotStoredError(reason)
            await asyncio.sleep(self._random.uniform(*RETRY_SECONDS))
        raise OutcomeUnknownError(reason)

    async def _append_by_leader(self, record: Record) -> bool:
        """Return whether the leader has stored a record that this process could not store."""
        address = self._election.leader_address
        if self._election.has_claim or not address:
            return False
        await self._peers.store_submission(address, record)
        return True

    async def state_of(self, job_id: str) -> JobState | None:
        """Return the state of a job, or None when no such job was accepted.

        :raises NotReadyError: when this can't be known now
        """
        state = await self._leader_state_of(job_id)
        if state is None:
            stored_at = self._own.get(job_id)
            if stored_at is not None and self._clock() - stored_at < OWN_KNOWLEDGE_SECONDS:
                return JobState.QUEUED
        return state

    async def _leader_state_of(self, job_id: str) -> JobState | None:
        leader = self._election.leader
        if leader is not None:
            return leader.state_of(job_id)
        address = self._election.leader_address
        if not address:
            raise NotReadyError("no leader is known")
        try:
            state = await self._peers.state_of(address, job_id)
        except PeerUnreachableError as error:
            raise NotReadyError(f"leader {address}: {error}") from error
        return JobState(state) if state else None

    async def waiting_in(self, queue: str) -> int:
        """Return the number of accepted jobs of a queue that have not begun.

        :raises NotReadyError: when this can't be known now
        """
        leader = self._election.leader
        if leader is not None:
            return leader.waiting_by_queue().get(queue, 0)
        if self._clock() - self._counts_at > QUEUE_CACHE_SECONDS:
            address = self._election.leader_address
            if not address:
                raise NotReadyError("no leader is known")
            asked_at = self._clock()
            try:
                self._counts = await self._peers.waiting_by_queue(address)
            except PeerUnreachableError as error:
                raise NotReadyError(f"leader {address}: {error}") from error
            self._counts_at = asked_at
        return self._counts.get(queue, 0)
