"""Leader election: monitors the leader and claims leadership when it fails."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine, Mapping
from random import Random
from typing import Any

import mode

from dotterelhill.control.interface import StoreError
from dotterelhill.control.leader import Leader
from dotterelhill.control.leadership import (
    MAX_CLOCK_DRIFT,
    RENEWAL_INTERVAL_SECONDS,
    Claim,
    ClaimSeries,
    FailureDetector,
    LeaderClock,
    LeaderCondition,
    Leadership,
    LeadershipState,
    LoadingWatch,
    Settlement,
    Witness,
    WitnessAnswer,
)
from dotterelhill.control.peers import (
    PEER_TIMEOUT_SECONDS,
    PeerClient,
    PeerUnreachableError,
    condition_in_term,
)
from dotterelhill.entry.logs import logger_of

CHECK_INTERVAL_SECONDS = 0.5
# After a loss of power, all processes start at once; their first reads of the store are spread.
MAX_START_DELAY_SECONDS = 0.3
# Interval between reads of the leadership stream while the leader is suspected to have failed.
DETECTION_INTERVAL_SECONDS = 0.25
# Interval between attempts to learn that the previous term has ended.
CONFIRMATION_INTERVAL_SECONDS = 0.3
# Interval between questions to a witness, so that two of three answers may be lost.
WITNESS_INTERVAL_SECONDS = 0.15
# A process waits for the time of its claim rather than checking the leader in between: checks of a
# silent leader take up to 0.8 s, which would decide which process claims. A claim depends on the
# state of the stream that was read, so it fails if the leader has renewed meanwhile.
MAX_PLANNED_WAIT_SECONDS = 1.5
UNREACHABLE_CONDITIONS = {LeaderCondition.SILENT, LeaderCondition.REFUSED}
# Every claim follows a second check. Without it, one lost answer is enough to replace a leader
# whose renewals take long to be stored, as the time of the claim may have passed by then.
MIN_LAST_CHECK_SECONDS = 0.1
# A process claims after a delay of this factor times its latency to the store, so that a process
# near the store leads.
LATENCY_DELAY_FACTOR = 8.0
MAX_LATENCY_DELAY_SECONDS = 1.5
MAX_JITTER_SECONDS = 0.1
# A process with less than FULL_PROCESSORS delays its claim in proportion to the missing share. With
# 176 minions, a leader needed 350 to 715 ms from a plan to its start on half a processor, and 31 to
# 128 ms on two. Other processes check the leader each 0.5 s, so a shorter delay would not determine
# which process claims first.
FULL_PROCESSORS = 1.0
DELAY_SECONDS_PER_PROCESSOR = 1.0

_log = logger_of("election")


class Election(mode.Service):
    """Service that tracks the leader and claims leadership when the leader has failed.

    :param leadership: lease of this process on the leadership stream
    :param incarnation: incarnation id of this process
    :param peers: client for calls to other processes
    :param new_leader: creates the term of leadership after a successful claim, given the time until
        which an earlier leader may renew leases, and the ends of leases, by incarnation, that the
        leader before this one did not renew until its end
    :param clock: returns seconds
    :param processors: number of processors that the process may use; fractions are allowed
    :param linked_condition: returns the condition of the leader at an address, given with its
        incarnation and epoch, as the open connection to it tells; None when there is no such
        connection
    :param leader_clock: returns the newest reading of the clock of an incarnation that led; None
        when there is none
    :param witness_address: returns the address of the witness of the leader that this process was
        connected to last; empty if none is known
    """

    def __init__(
        self,
        leadership: Leadership,
        incarnation: str,
        peers: PeerClient,
        new_leader: Callable[[float, Mapping[str, float]], Leader],
        clock: Callable[[], float],
        random: Random,
        processors: float = FULL_PROCESSORS,
        linked_condition: Callable[[str, str, int], LeaderCondition | None] = lambda *_: None,
        leader_clock: Callable[[str], LeaderClock | None] = lambda _: None,
        witness_address: Callable[[], str] = lambda: "",
    ) -> None:
        super().__init__()
        self._leadership = leadership
        self._incarnation = incarnation
        self._peers = peers
        self._new_leader = new_leader
        self._linked_condition = linked_condition
        self._leader_clock = leader_clock
        self._witness_address = witness_address
        self._clock = clock
        self._random = random
        missing_processors = max(0.0, FULL_PROCESSORS - processors)
        self._processor_delay_seconds = DELAY_SECONDS_PER_PROCESSOR * missing_processors
        self._detector = FailureDetector(clock)
        self._loading = LoadingWatch(clock)
        self._claims = ClaimSeries(clock)
        self._leader: Leader | None = None
        self._leader_address = ""
        self._leader_incarnation = ""
        self._leader_epoch = 0
        self._newest_remembered_epoch = 0
        # Times of the newest answers, by epoch, to claims after which no later one was known.
        self._confirmed_at: dict[int, float] = {}
        self._is_store_failing = False
        self._term_task: asyncio.Task[None] | None = None
        self._has_stopped_claiming = False
        self._store_latency_seconds = float("inf")

    @property
    def incarnation(self) -> str:
        """Return the incarnation id of this process."""
        return self._incarnation

    @property
    def has_claim(self) -> bool:
        """Return whether this process holds the newest claim that it knows of."""
        return self._leadership.has_claim

    @property
    def ended_epoch(self) -> int:
        """Return the newest epoch that this process has led and ended; 0 for none."""
        return self._leadership.ended_epoch

    @property
    def is_able(self) -> bool:
        """Return whether this process can renew its claim."""
        return self._leadership.is_able

    @property
    def loading_progress(self) -> int | None:
        """Return the steps of loading done in the current term; None when it is not loading."""
        return self._leadership.loading_progress

    @property
    def newest_claim(self) -> Claim | None:
        """Return the newest claim that this process knows of; None when it knows of none."""
        if self._leadership.own_claim is not None:
            return self._leadership.own_claim
        if not self._leader_epoch:
            return None
        return Claim(self._leader_epoch, self._leader_incarnation, self._leader_address)

    @property
    def settlement(self) -> Settlement | None:
        """Return until when leaders before the newest own term can renew leases."""
        return self._leadership.settlement

    @property
    def leader(self) -> Leader | None:
        """Return the current term of leadership; None unless this process leads."""
        return self._leader

    @property
    def leader_address(self) -> str:
        """Return the address of the last known leader; empty when none was known yet."""
        return self._leader_address

    @property
    def _newest_known_epoch(self) -> int:
        """Return the newest epoch of which this process knows that it was claimed."""
        leadership = self._leadership
        return max(self._newest_remembered_epoch, leadership.epoch, leadership.ended_epoch)

    def accept_claim(self, claim: Claim) -> None:
        """Accept the claim of another process and drop an own earlier one.

        Claims with an epoch that is not higher than that of the own claim are ignored.
        """
        if claim.epoch <= self._leadership.epoch or claim.incarnation == self._incarnation:
            return
        self._leadership.supersede(claim.epoch)
        self._remember(claim)

    def answer_as_witness(self, claim: Claim) -> WitnessAnswer:
        """Accept a claim if it is the newest, and tell what this process knows of claims.

        The process of that claim may renew leases for a time after an answer that names no later
        one, so a later leader is told when the newest such answer was given.
        """
        now = self._clock()
        known_epoch = self._newest_known_epoch
        if claim.epoch > known_epoch:
            self.accept_claim(claim)
            known_epoch = claim.epoch
        confirmed = [at for epoch, at in self._confirmed_at.items() if epoch < claim.epoch]
        if known_epoch == claim.epoch:
            self._confirmed_at[claim.epoch] = now
        confirmed_ago = now - max(confirmed) if confirmed else None
        return WitnessAnswer(self._incarnation, known_epoch, confirmed_ago)

    def _remember(self, claim: Claim) -> None:
        self._claims.record(claim)
        self._newest_remembered_epoch = max(self._newest_remembered_epoch, claim.epoch)
        self._leader_address = claim.address
        self._leader_incarnation = claim.incarnation
        self._leader_epoch = claim.epoch

    def _learn_claim(self, claim: Claim | None) -> None:
        """Follow a later leader that another process knows of.

        The store may turn this process away, so that it does not read the claim itself.
        """
        if claim is None or claim.epoch <= self._newest_known_epoch:
            return
        _log.notice("later leader is known to a peer", extra={"epoch": claim.epoch})
        self._remember(claim)

    def stop_claiming(self) -> None:
        """Make no further claims, because the process is about to stop."""
        self._has_stopped_claiming = True

    async def resign(self) -> None:
        """End an own term of leadership, so that other processes can claim immediately.

        The resignation is stored before the term is cleaned up: a busy leader needs seconds to stop
        the followers of its term, and a time limit does not end that. The term ends after this call
        has returned.
        """
        self.stop_claiming()
        try:
            if self._leader is None:
                await self._leadership.resign()
            else:
                fence = self._leader.scheduler.highest_fence
                await self._leadership.resign(self._leader.stop_calls, fence)
        finally:
            if self._term_task is not None:
                self._term_task.cancel()

    @mode.Service.task
    async def _renew(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(RENEWAL_INTERVAL_SECONDS)
            was_able = self._leadership.is_able
            try:
                if self._leader is None:
                    await self._leadership.renew()
                else:
                    await self._leader.renew_claim(self._leadership)
            except StoreError as error:
                if was_able and not self._leadership.is_able:
                    _log.warning("leadership can't be renewed", extra={"reason": str(error)})

    @mode.Service.task
    async def _ask_witnesses(self) -> None:
        """Ask witnesses of the own claim for later ones while it is not renewed."""
        while not self.should_stop:
            await asyncio.sleep(WITNESS_INTERVAL_SECONDS)
            own = self._leadership.own_claim
            if own is None:
                continue
            for witness in self._leadership.witnesses_to_ask:
                # A lost answer takes as long as an answer counts, so no question waits for it.
                self.add_future(self._extend_permission(witness, own))

    async def _extend_permission(self, witness: Witness, own: Claim) -> None:
        """Ask a witness once; an answer extends the permission to renew leases."""
        asked_at = self._clock()
        with contextlib.suppress(PeerUnreachableError):
            answer = await self._peers.ask_witness(witness.address, own)
            if self._leadership.own_claim == own:
                self._leadership.record_answer(witness, answer, asked_at)

    @mode.Service.task
    async def _check(self) -> None:
        await asyncio.sleep(self._random.uniform(0.0, MAX_START_DELAY_SECONDS))
        while not self.should_stop:
            try:
                await self._check_leader()
                self._set_store_failing(False, "")
            except StoreError as error:
                self._set_store_failing(True, str(error))
                await self._ask_for_later_claim()
            except Exception as error:
                # The process keeps serving clients, and the next check may succeed.
                _log.exception("leader can't be checked", extra={"reason": repr(error)})
            seconds = (
                DETECTION_INTERVAL_SECONDS if self._detector.is_watching else CHECK_INTERVAL_SECONDS
            )
            await asyncio.sleep(seconds * self._random.uniform(0.8, 1.2))

    async def _ask_for_later_claim(self) -> None:
        """Ask the witness of the last known leader for a later one, which informs the witness.

        Neither the store nor that leader has told of one; the leader may be dead.
        """
        address = self._witness_address()
        if not address:
            return
        with contextlib.suppress(PeerUnreachableError):
            status = await self._peers.status(address)
            self._learn_claim(status.newest_claim)

    def _set_store_failing(self, is_failing: bool, reason: str) -> None:
        if is_failing != self._is_store_failing:
            self._is_store_failing = is_failing
            message = "leadership can't be read" if is_failing else "leadership is readable again"
            _log.warning(message, extra={"reason": reason})

    async def _check_leader(self) -> None:
        if self._leadership.has_claim or self._has_stopped_claiming:
            return
        if self._term_task is not None and not self._term_task.done():
            # The previous term must have ended first, or its end would clear the next one.
            return
        known = (self._leader_address, self._leader_incarnation, self._leader_epoch)
        condition = LeaderCondition.GONE
        if self._leader_address:
            condition = await self._condition_of(*known)
        if self._leader_address and condition is LeaderCondition.PRESENT:
            self._detector.reset()
            return
        started_at = self._clock()
        state = await self._leadership.read()
        # The minimum latency, since a slow store would make the latencies of all processes similar.
        self._store_latency_seconds = min(self._store_latency_seconds, self._clock() - started_at)
        claim = state.claim
        if claim is None or claim.is_resigned:
            condition = LeaderCondition.GONE
        elif (claim.address, claim.incarnation, claim.epoch) != known:
            self._remember(claim)
            condition = await self._condition_of(claim.address, claim.incarnation, claim.epoch)
        clock = self._clock_of(claim)
        wait = self._detector.seconds_to_claim(state, condition, self._claims.delay_factor, clock)
        if wait is None or wait > _planned_wait_seconds(condition):
            return
        claims_at = self._clock() + wait + self._rank_delay_seconds()
        if not await self._is_still_failing(claim, condition, claims_at):
            return
        if self._has_stopped_claiming or not await self._leadership.claim(state):
            return
        if self._has_stopped_claiming:
            # The process has resigned while its claim was on its way.
            await self._leadership.resign()
            return
        if self._leadership.own_claim is not None:
            self._claims.record(self._leadership.own_claim)
        _log.notice("took over leadership", extra={"condition": condition.name.lower()})
        renewals_end = self._earlier_renewals_end(state, condition)
        self._leadership.settle_at(renewals_end)
        lease_ends = state.lease_ends(self._detector.newest_renewal_by(state, clock))
        leader = self._new_leader(renewals_end, lease_ends)
        confirmations = self._confirmations(state, condition, renewals_end, leader)
        self._begin_term(leader, confirmations)

    def _confirmations(
        self,
        state: LeadershipState,
        condition: LeaderCondition,
        renewals_end: float,
        leader: Leader,
    ) -> list[Coroutine[Any, Any, None]]:
        """Return calls that find out when earlier leaders end their renewals.

        :param state: state of the stream on which the claim of this process depended
        :param renewals_end: time from which they renew nothing in any case
        """
        claim = state.claim
        if claim is None or condition is LeaderCondition.GONE:
            return []
        calls = [
            self._confirm_end_of_term(claim, renewals_end, leader, is_settled=state.is_settled)
        ]
        if state.witness is not None:
            ends_at = self._unwitnessed_renewals_end(state)
            calls.append(self._inform_witness(state.witness, ends_at, renewals_end, leader))
        return calls

    def _earlier_renewals_end(self, state: LeadershipState, condition: LeaderCondition) -> float:
        """Return the time until which earlier leaders may renew leases after a claim made now."""
        if state.claim is not None and condition is not LeaderCondition.GONE:
            return self._detector.renewals_end(state, self._clock_of(state.claim))
        now = self._clock()
        if state.is_settled:
            return now
        # The leader that is gone was itself waiting for renewals of one before it, which were sent
        # before its own newest record.
        clock = None if state.claim is None else self._clock_of(state.claim)
        stored_by = self._detector.newest_renewal_by(state, clock)
        seconds = state.settles_in / (1.0 - MAX_CLOCK_DRIFT)
        return min(now + state.settles_in, stored_by + seconds)

    def _unwitnessed_renewals_end(self, state: LeadershipState) -> float:
        """Return until when earlier leaders may renew leases if no witness answers them."""
        clock = None if state.claim is None else self._clock_of(state.claim)
        seconds = state.unwitnessed_seconds / (1.0 - MAX_CLOCK_DRIFT)
        if not state.is_settled:
            seconds = max(seconds, state.settles_in)
        return self._detector.newest_renewal_by(state, clock) + seconds

    def _clock_of(self, claim: Claim | None) -> LeaderClock | None:
        """Return the newest reading of the clock of a claim's process; None when there is none."""
        return None if claim is None else self._leader_clock(claim.incarnation)

    def _rank_delay_seconds(self) -> float:
        """Return the delay that lets processes near the store with more processors claim first."""
        latency_delay = min(
            MAX_LATENCY_DELAY_SECONDS, LATENCY_DELAY_FACTOR * self._store_latency_seconds
        )
        jitter = self._random.uniform(0, MAX_JITTER_SECONDS)
        return latency_delay + self._processor_delay_seconds + jitter

    async def _is_still_failing(
        self, claim: Claim | None, condition: LeaderCondition, claims_at: float
    ) -> bool:
        """Wait until the time of the claim; return whether the leader is still failing.

        The last check ends by that time, or ``MIN_LAST_CHECK_SECONDS`` after it has begun, even if
        the leader does not answer.
        """
        if claim is not None and condition is not LeaderCondition.GONE:
            left = max(MIN_LAST_CHECK_SECONDS, claims_at - self._clock())
            check_seconds = min(PEER_TIMEOUT_SECONDS, left)
            await asyncio.sleep(max(0.0, claims_at - check_seconds - self._clock()))
            newest: LeaderCondition = condition
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(check_seconds):
                    newest = await self._condition_of(claim.address, claim.incarnation, claim.epoch)
            if newest is LeaderCondition.PRESENT:
                self._detector.reset()
            if newest is not condition and not {newest, condition} <= UNREACHABLE_CONDITIONS:
                return False
        await asyncio.sleep(max(0.0, claims_at - self._clock()))
        return True

    async def _confirm_end_of_term(
        self, claim: Claim, renewals_end: float, leader: Leader, *, is_settled: bool
    ) -> None:
        """Announce the own claim until the previous leader is known to have ended its term.

        :param claim: claim of the previous leader
        :param renewals_end: time from which that leader renews nothing, even if it is not reached
        :param is_settled: whether no leader before that one can renew leases
        """
        # The end of renewals may have passed already; the leader is still told once.
        while True:
            own = self._leadership.own_claim
            if own is None:
                return
            try:
                settlement = await self._peers.announce_claim(claim.address, own)
            except PeerUnreachableError as error:
                if self._clock() >= renewals_end:
                    fields = {"reason": str(error)}
                    _log.info("previous leader could not be informed", extra=fields)
                    return
                await asyncio.sleep(CONFIRMATION_INTERVAL_SECONDS)
                continue
            now = self._clock()
            # Without a stored record, or a time that concerns this very term, leaders before it are
            # waited for as if it had not answered.
            settled_at = renewals_end
            if is_settled:
                settled_at = now
            elif settlement is not None and settlement.epoch == claim.led_epoch:
                settled_at = settlement.latest_time(now)
            wait_ms = max(0, round(1000.0 * (min(settled_at, renewals_end) - now)))
            term = {"epoch": claim.epoch, "wait_for_earlier_ms": wait_ms}
            _log.info("previous leader has ended its term", extra=term)
            if self._leadership.own_claim == own:
                self._leadership.settle_at(settled_at)
                leader.end_earlier_renewals(settled_at)
            return

    async def _inform_witness(
        self, witness: Witness, ends_at: float, renewals_end: float, leader: Leader
    ) -> None:
        """Announce the own claim to the witness of the previous leader, which then ends sooner.

        :param ends_at: time until which earlier leaders may renew leases without its answers
        :param renewals_end: time until which they may renew leases with them
        """
        own = self._leadership.own_claim
        while own is not None and self._leadership.own_claim == own:
            try:
                answer = await self._ask_witness(witness, own)
            except PeerUnreachableError as error:
                if self._clock() >= renewals_end:
                    fields = {"witness": witness.incarnation, "reason": str(error)}
                    _log.info("witness of the previous leader did not answer", extra=fields)
                    return
                await asyncio.sleep(CONFIRMATION_INTERVAL_SECONDS)
                continue
            now = self._clock()
            settled_at = max(ends_at, answer.latest_end(now))
            # A process that has started anew at that address knows nothing of earlier answers.
            if answer.incarnation != witness.incarnation or answer.known_epoch != own.epoch:
                return
            if settled_at < renewals_end and self._leadership.own_claim == own:
                wait_ms = max(0, round(1000.0 * (settled_at - now)))
                told = {"witness": witness.incarnation, "wait_for_earlier_ms": wait_ms}
                _log.info("witness of the previous leader is informed", extra=told)
                self._leadership.settle_at(settled_at)
                leader.end_earlier_renewals(settled_at)
            return

    async def _ask_witness(self, witness: Witness, own: Claim) -> WitnessAnswer:
        if witness.incarnation == self._incarnation:
            return self.answer_as_witness(own)
        return await self._peers.ask_witness(witness.address, own)

    async def _condition_of(self, address: str, incarnation: str, epoch: int) -> LeaderCondition:
        condition = self._linked_condition(address, incarnation, epoch)
        if condition is not None:
            return condition
        try:
            status = await self._peers.status(address)
        except PeerUnreachableError as error:
            return LeaderCondition.REFUSED if error.is_refused else LeaderCondition.SILENT
        self._learn_claim(status.newest_claim)
        self._loading.record(status.incarnation, status.loading_progress)
        return self._loading.refine(condition_in_term(status, incarnation, epoch))

    def _begin_term(self, leader: Leader, confirmations: list[Coroutine[Any, Any, None]]) -> None:
        """Begin a term of leadership.

        :param leader: the new term
        :param confirmations: calls that find out when earlier leaders end their renewals
        """
        self._leader = leader
        tasks = [asyncio.create_task(confirmation) for confirmation in confirmations]
        self._term_task = asyncio.create_task(self._run_term(leader, tasks))

    async def _run_term(self, leader: Leader, confirmations: list[asyncio.Task[None]]) -> None:
        try:
            await leader.run()
        except Exception as error:
            _log.exception("term of leadership failed", extra={"reason": repr(error)})
            self._leadership.drop("internal error")
        finally:
            for confirmation in confirmations:
                confirmation.cancel()
            self._leader = None


def _planned_wait_seconds(condition: LeaderCondition) -> float:
    """Return how long before its time a claim is planned.

    A leader that answers is looked at again instead: one whose renewals take as long as its lease
    is able and unable by turns.
    """
    return MAX_PLANNED_WAIT_SECONDS if condition in UNREACHABLE_CONDITIONS else 0.0
