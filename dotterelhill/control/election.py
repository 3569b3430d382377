"""Finds the leader, and makes this process the leader when there is none."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import mode

from dotterelhill.control.interface import StoreError
from dotterelhill.control.leader import Leader
from dotterelhill.control.leadership import (
    RENEW_SECONDS,
    Claim,
    FailureDetector,
    LeaderCondition,
    Leadership,
)
from dotterelhill.control.peers import PeerClient, PeerUnreachableError
from dotterelhill.entry.logs import logger_of

CHECK_SECONDS = 0.5
# While the leader does not answer, the stream is looked at this often.
DETECTOR_SECONDS = 0.25
# A process far from the store or with a slow processor waits longer, so that a nearer one leads.
DISTANCE_FACTOR = 8.0
LONGEST_PREFERENCE_SECONDS = 1.5
JITTER_SECONDS = 0.1
# A process with fewer processors waits longer, by this for each that it lacks. From a plan to its
# start a leader of 176 minions took 350 to 715 ms on half a processor, 31 to 128 ms on two. Others
# look at the leader each 0.5 s, so a shorter time would leave the choice to chance.
FULL_PROCESSORS = 1.0
SECONDS_FOR_A_PROCESSOR = 1.0

_log = logger_of("election")


class Election(mode.Service):
    """Keeps this process informed of the leader and lets it lead when no other does.

    :param new_leader: makes a term of leadership after a claim
    :param processors: processors that the process may use
    """

    def __init__(
        self,
        leadership: Leadership,
        incarnation: str,
        peers: PeerClient,
        new_leader: Callable[[], Leader],
        clock: Callable[[], float],
        random: Random,
        processors: float = FULL_PROCESSORS,
    ) -> None:
        super().__init__()
        self._leadership = leadership
        self._incarnation = incarnation
        self._peers = peers
        self._new_leader = new_leader
        self._clock = clock
        self._random = random
        lacking = max(0.0, FULL_PROCESSORS - processors)
        self._handicap_seconds = SECONDS_FOR_A_PROCESSOR * lacking
        self._detector = FailureDetector(clock)
        self._leader: Leader | None = None
        self._leader_address = ""
        self._leader_incarnation = ""
        self._is_store_failing = False
        self._term: asyncio.Task[None] | None = None
        self._is_leaving = False
        self._distance_seconds = float("inf")

    @property
    def incarnation(self) -> str:
        """Return the id of this process."""
        return self._incarnation

    @property
    def has_claim(self) -> bool:
        """Return whether this process has the newest claim that it knows."""
        return self._leadership.has_claim

    @property
    def is_able(self) -> bool:
        """Return whether this process can renew its claim."""
        return self._leadership.is_able

    @property
    def leader(self) -> Leader | None:
        """Return the present term, if this process leads."""
        return self._leader

    @property
    def leader_address(self) -> str:
        """Return the address of the last known leader; empty before the first."""
        return self._leader_address

    def superseded(self, claim: Claim) -> None:
        """Take over that another process has claimed."""
        if claim.epoch <= self._leadership.epoch or claim.incarnation == self._incarnation:
            return
        self._leadership.drop("another process has claimed")
        self._leader_address = claim.address
        self._leader_incarnation = claim.incarnation

    def leave(self) -> None:
        """Claim no more; the process is about to stop."""
        self._is_leaving = True

    async def resign(self) -> None:
        """End an own term, so that others may claim at once."""
        self.leave()
        if self._term is not None:
            self._term.cancel()
            await asyncio.gather(self._term, return_exceptions=True)
        await self._leadership.resign()

    @mode.Service.task
    async def _renew(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(RENEW_SECONDS)
            was_able = self._leadership.is_able
            try:
                await self._leadership.renew()
            except StoreError as error:
                if was_able and not self._leadership.is_able:
                    _log.warning("claim can't be renewed", extra={"reason": str(error)})

    @mode.Service.task
    async def _check(self) -> None:
        while not self.should_stop:
            try:
                await self._check_once()
                self._set_store_failing(False, "")
            except StoreError as error:
                self._set_store_failing(True, str(error))
            seconds = DETECTOR_SECONDS if self._detector.is_watching else CHECK_SECONDS
            await asyncio.sleep(seconds * self._random.uniform(0.8, 1.2))

    def _set_store_failing(self, is_failing: bool, reason: str) -> None:
        if is_failing != self._is_store_failing:
            self._is_store_failing = is_failing
            what = "leadership can't be read" if is_failing else "leadership is read again"
            _log.warning(what, extra={"reason": reason})

    async def _check_once(self) -> None:
        if self._leadership.has_claim or self._is_leaving:
            return
        if self._term is not None and not self._term.done():
            # An earlier term of this process must not end the next one.
            return
        known = self._leader_address
        condition = LeaderCondition.GONE
        if known:
            condition = await self._condition_of(known, self._leader_incarnation)
        if known and condition is LeaderCondition.PRESENT:
            self._detector.clear()
            return
        started_at = self._clock()
        standing = await self._leadership.read()
        # The shortest answer, since a slow store would make all processes look equally far.
        self._distance_seconds = min(self._distance_seconds, self._clock() - started_at)
        claim = standing.claim
        if claim is None or claim.is_resigned:
            condition = LeaderCondition.GONE
        elif (claim.address, claim.incarnation) != (known, self._leader_incarnation):
            self._leader_address = claim.address
            self._leader_incarnation = claim.incarnation
            condition = await self._condition_of(claim.address, claim.incarnation)
        if not self._detector.may_claim(standing, condition):
            return
        preference = min(LONGEST_PREFERENCE_SECONDS, DISTANCE_FACTOR * self._distance_seconds)
        jitter = self._random.uniform(0, JITTER_SECONDS)
        await asyncio.sleep(preference + self._handicap_seconds + jitter)
        if self._is_leaving or not await self._leadership.claim(standing):
            return
        _log.notice("leader replaced", extra={"condition": condition.name.lower()})
        self._begin_term()
        own = self._leadership.own_claim
        if own is None or claim is None or condition is LeaderCondition.GONE:
            return
        try:
            await self._peers.supersede(claim.address, own)
        except PeerUnreachableError as error:
            _log.info("earlier leader was not told", extra={"reason": str(error)})

    async def _condition_of(self, address: str, incarnation: str) -> LeaderCondition:
        try:
            status = await self._peers.status(address)
        except PeerUnreachableError as error:
            return LeaderCondition.REFUSED if error.is_refused else LeaderCondition.SILENT
        if status.incarnation != incarnation or not status.has_claim:
            # Another process has its address, or it has given up.
            return LeaderCondition.GONE
        return LeaderCondition.PRESENT if status.is_able else LeaderCondition.UNABLE

    def _begin_term(self) -> None:
        leader = self._new_leader()
        self._leader = leader
        self._term = asyncio.create_task(self._lead(leader))

    async def _lead(self, leader: Leader) -> None:
        try:
            await leader.run()
        except Exception as error:
            _log.exception("term of leadership failed", extra={"reason": repr(error)})
            self._leadership.drop("internal error")
        finally:
            self._leader = None
