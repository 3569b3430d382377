"""Leader leases on the leadership stream, and detection of leader failure.

Explanation
===========

A process claims leadership by a conditional append to the leadership stream. The epoch of the
claim fences the leader's writes to the store and its orders to minions. The leader renews its
lease by further conditional appends and acts only within ``LEASE_SECONDS`` of sending the last
successful renewal. Other processes claim when the stream has not grown for the time in
``CLAIM_DELAY_SECONDS``, which depends on the condition of the leader. Premature claims are safe,
since a fenced leader can neither store a start nor give orders to a minion that the new leader has
reached; they only cost a takeover.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum, auto
from math import ceil

import msgspec

from dotterelhill.control.interface import (
    Record,
    Store,
    StoreConflictError,
    StoreError,
    Stream,
)
from dotterelhill.entry.logs import logger_of

# Time after its last successful renewal was sent from which the leader issues no new orders.
LEASE_SECONDS = 2.0
# The leader renews the leases of running tasks for this additional time, so that an outage of the
# store for all processes ends no work: with a lease of 6 s, one of 9 s. It needs answers of its
# witness for that, since a later leader that reaches neither of them has to wait for this time
# before it starts the tasks of lost minions again.
RENEWAL_GRACE_SECONDS = 1.5
RENEWAL_INTERVAL_SECONDS = 0.5
# Largest share by which the clocks of two processes drift apart, as for minions.
MAX_CLOCK_DRIFT = 0.02
# A leader that has not renewed for this time, two missed renewals, reports itself as unable to
# renew, so that its peers take over.
UNABLE_SECONDS = 1.2
# Time after its last successful renewal was sent from which the leader renews leases only with
# answers of its witness. A later leader waits for it, and a minion that hangs while a poll waits is
# noticed up to 1.55 s later: with this time, a lease of 6 s and drift the sum is 8.8 s.
UNWITNESSED_SECONDS = 1.0
# Time for which a witness's answer that it knows of no later claim counts, from the question on.
WITNESS_SECONDS = 0.5
# Time before it needs an answer at which the leader first asks its witness. An answer may take
# 0.3 s, and questions are 0.15 s apart.
WITNESS_LEAD_SECONDS = 0.5

RESIGNATION_RETRY_SECONDS = 0.1

# Fencing tokens that a term has for its calls to minions, from its epoch on. The next claim begins
# above them.
FENCES_PER_TERM = 1 << 16

LEADER_KEY = "leader"
RENEWAL_KEY = "renewal"

Clock = Callable[[], float]

_log = logger_of("leadership")


class Claim(msgspec.Struct, frozen=True):
    """Record of a claim to leadership, or of a resignation.

    :param epoch: fencing epoch, which increases with each claim
    :param incarnation: incarnation id of the claiming process
    :param address: ``host:port`` at which the process answers its peers
    :param is_resigned: whether the process has resigned
    :param term_epoch: epoch of the term that a resignation ends; 0 if it is ``epoch``, which is
        raised to the highest fencing token of the term, since an earlier build claims the next one
    """

    epoch: int
    incarnation: str
    address: str
    is_resigned: bool = False
    term_epoch: int = 0

    @property
    def led_epoch(self) -> int:
        """Return the epoch of the term that the record begins or ends."""
        return self.term_epoch or self.epoch


class Witness(msgspec.Struct, frozen=True, array_like=True):
    """Process that tells whether it knows of a later claim than that of the leader.

    :param incarnation: incarnation id of the process
    :param address: ``host:port`` at which it answers its peers
    """

    incarnation: str
    address: str


class Renewal(msgspec.Struct, frozen=True, array_like=True):
    """Record of a renewed claim.

    :param epoch: epoch of the claim
    :param is_settled: whether no earlier leader can renew leases of running tasks any more
    :param sent_at: time of the leader in seconds at which the renewal was sent; None from builds
        that do not tell it
    :param settles_in: time in seconds after which no earlier leader can renew; None from builds
        that do not tell it
    :param witness: process without whose answers the leader renews no lease of running tasks after
        ``unwitnessed_seconds``; None when it needs none
    :param closed_ms: longest time in ms, from ``sent_at`` on, until the end of each lease that the
        leader extends only when a later renewal without it is stored, by ``minion_id@born_ms``
    :param unwitnessed_seconds: time in seconds, from ``sent_at`` on, for which the leader needs no
        answer of the witness; None from builds that need none while their own lease lasts

    >>> earlier = msgspec.msgpack.decode(msgspec.msgpack.encode([5, True]), type=Renewal)
    >>> earlier == Renewal(5, True, None, None, None, {}, None)
    True
    """

    epoch: int
    is_settled: bool
    sent_at: float | None = None
    settles_in: float | None = None
    witness: Witness | None = None
    closed_ms: dict[str, int] = {}
    unwitnessed_seconds: float | None = None


class Settlement(msgspec.Struct, frozen=True, array_like=True):
    """Information of a process about the leaders before its newest term.

    :param epoch: epoch of that term
    :param left_seconds: time of this process in seconds, from sending this information, after which
        none of them can renew leases of running tasks

    >>> msgspec.msgpack.decode(msgspec.msgpack.encode([5, 2.25, "later"]), type=Settlement)
    Settlement(epoch=5, left_seconds=2.25)
    """

    epoch: int
    left_seconds: float

    def latest_time(self, received_at: float) -> float:
        """Return the time of the receiver by which no leader before that term renews leases.

        The information was sent before it was received, so a delay only makes the result later.

        >>> Settlement(5, 0.0).latest_time(900.0), Settlement(5, 2.45).latest_time(900.0)
        (900.0, 902.5)
        """
        return received_at + self.left_seconds / (1.0 - MAX_CLOCK_DRIFT)


class WitnessAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer of a process to a claim that it was told of.

    :param incarnation: incarnation id of the process
    :param known_epoch: newest epoch that it knows of
    :param confirmed_ago: time of this process in seconds since it last answered to an earlier claim
        that it knew of no later one; None when it never did

    >>> msgspec.msgpack.decode(msgspec.msgpack.encode(["b/1", 5, 0.5, 0]), type=WitnessAnswer)
    WitnessAnswer(incarnation='b/1', known_epoch=5, confirmed_ago=0.5)
    """

    incarnation: str
    known_epoch: int
    confirmed_ago: float | None

    def latest_end(self, received_at: float) -> float:
        """Return the time of the receiver from which no answer to an earlier claim counts.

        An earlier leader counts an answer from its question on, which came before the answer.

        >>> round(WitnessAnswer("b/1", 5, 1.5).latest_end(900.0), 3)
        899.04
        >>> WitnessAnswer("b/1", 5, None).latest_end(900.0)
        -inf
        """
        if self.confirmed_ago is None:
            return float("-inf")
        confirmed_at = received_at - max(0.0, self.confirmed_ago) * (1.0 - MAX_CLOCK_DRIFT)
        return confirmed_at + WITNESS_SECONDS / (1.0 - MAX_CLOCK_DRIFT)


_CLAIM_DECODER = msgspec.msgpack.Decoder(Claim)
_RENEWAL_DECODER = msgspec.msgpack.Decoder(Renewal)


@dataclass(frozen=True, slots=True)
class LeadershipState:
    """State of the leadership stream at one read.

    :param claim: newest claim; None when there is none
    :param end: end offset of the stream
    :param is_settled: whether no leader before that claim can renew leases of running tasks
    :param renewed_at: time of the claim's process at which it sent the newest stored renewal; None
        when there is none or it does not tell
    :param settles_in: longest time in seconds for which leaders before that claim can renew leases
        while ``is_settled`` is False
    :param witness: witness in the newest stored renewal of that claim
    :param closed_ms: leases that this renewal calls closed; see :class:`Renewal`
    :param unwitnessed_seconds: time in seconds from this renewal on for which the leader renews
        leases without answers of its witness
    """

    claim: Claim | None
    end: int
    is_settled: bool = True
    renewed_at: float | None = None
    settles_in: float = LEASE_SECONDS + RENEWAL_GRACE_SECONDS
    witness: Witness | None = None
    closed_ms: Mapping[str, int] = field(default_factory=dict)
    unwitnessed_seconds: float = LEASE_SECONDS

    def lease_ends(self, renewed_by: float) -> dict[str, float]:
        """Return the times of this process by which the closed leases have certainly ended.

        :param renewed_by: time of this process by which the newest stored renewal was sent

        >>> LeadershipState(None, 0, closed_ms={"m1@1": 4900}).lease_ends(912.0)
        {'m1@1': 917.0}
        """
        ends = {}
        for incarnation, milliseconds in self.closed_ms.items():
            ends[incarnation] = renewed_by + milliseconds / 1000.0 / (1.0 - MAX_CLOCK_DRIFT)
        return ends


@dataclass(frozen=True, slots=True)
class LeaderClock:
    """Reading of a leader's clock that this process received with a message.

    :param incarnation: incarnation id of the leader's process
    :param sent_at: time of the leader before it sent the message, in seconds
    :param received_at: time of this process after it received the message, in seconds
    """

    incarnation: str
    sent_at: float
    received_at: float

    def latest_time_of(self, leader_time: float) -> float:
        """Return the time of this process by which the leader's clock has certainly shown a time.

        The message was sent before it was received, so a delay only makes the result later. For the
        drift of the clocks, times before the message count as shorter and times after it as longer.

        >>> clock = LeaderClock("gramado-entry1/5", 100.0, 900.0)
        >>> round(clock.latest_time_of(99.0), 3), round(clock.latest_time_of(104.9), 3)
        (899.02, 905.0)
        """
        seconds = leader_time - self.sent_at
        if seconds < 0.0:
            return self.received_at + seconds * (1.0 - MAX_CLOCK_DRIFT)
        return self.received_at + seconds / (1.0 - MAX_CLOCK_DRIFT)


class Leadership:
    """Claims, renews and resigns leadership on behalf of one process.

    :param store: store that holds the leadership stream
    :param incarnation: incarnation id of this process
    :param address: ``host:port`` at which this process answers its peers
    :param clock: returns seconds; keeps counting while the process is suspended
    """

    def __init__(self, store: Store, incarnation: str, address: str, clock: Clock) -> None:
        self._store = store
        self._incarnation = incarnation
        self._address = address
        self._clock = clock
        self._claim: Claim | None = None
        self._end = 0
        self._valid_until = float("-inf")
        self._ended_epoch = 0
        self._superseding_epoch = 0
        self._claim_lost = asyncio.Event()
        self._loading_progress: int | None = None
        self._term_epoch = 0
        self._settled_at = float("inf")
        # Time at which the first renewal since the last answer was sent; None if all are answered.
        self._unanswered_at: float | None = None
        # Witness in the newest renewal that was sent, and all that the newest stored one may name.
        self._witness: Witness | None = None
        self._witnesses: frozenset[Witness] = frozenset()
        # Times until which answers of witnesses count.
        self._witnessed_until: dict[Witness, float] = {}

    @property
    def incarnation(self) -> str:
        """Return the incarnation id of this process."""
        return self._incarnation

    @property
    def epoch(self) -> int:
        """Return the epoch of this process's claim; 0 when it has none."""
        return self._claim.epoch if self._claim else 0

    @property
    def ended_epoch(self) -> int:
        """Return the newest epoch that this process has led and ended; 0 for none."""
        return self._ended_epoch

    @property
    def own_claim(self) -> Claim | None:
        """Return this process's claim; None when it has none or a later claim is known."""
        return self._claim

    @property
    def has_claim(self) -> bool:
        """Return whether this process has a claim and no later claim is known."""
        return self._claim is not None

    @property
    def is_leading(self) -> bool:
        """Return whether this process holds a valid lease and may act as the leader."""
        return self._claim is not None and self._clock() < self._valid_until

    @property
    def is_lease_renewal_allowed(self) -> bool:
        """Return whether this process may renew the leases of running tasks.

        It may lack the answer of a witness while it still holds its own lease.
        """
        return self._claim is not None and self._clock() < self.renewals_end

    @property
    def renewals_end(self) -> float:
        """Return until when the claim permits to renew leases, as far as it is known now."""
        end = self._valid_until + RENEWAL_GRACE_SECONDS
        for witness in self._witnesses:
            witnessed_until = self._witnessed_until.get(witness, float("-inf"))
            end = min(end, max(self._unwitnessed_until, witnessed_until))
        return end

    @property
    def has_unanswered_renewal(self) -> bool:
        """Return whether a renewal without an answer may be stored."""
        return self._unanswered_at is not None

    @property
    def witness(self) -> Witness | None:
        """Return the witness in the newest renewal that was sent; None when it had none."""
        return self._witness

    @property
    def witnesses_to_ask(self) -> frozenset[Witness]:
        """Return the witnesses without whose answers leases can't be renewed for much longer."""
        now = self._clock()
        is_due = now >= self._unwitnessed_until - WITNESS_LEAD_SECONDS
        if self._claim is None or not is_due or now >= self._valid_until + RENEWAL_GRACE_SECONDS:
            return frozenset()
        return self._witnesses

    @property
    def _unwitnessed_until(self) -> float:
        return self._valid_until - LEASE_SECONDS + UNWITNESSED_SECONDS

    @property
    def is_able(self) -> bool:
        """Return whether this process has a claim and its renewals have succeeded recently."""
        unable_at = self._valid_until - LEASE_SECONDS + UNABLE_SECONDS
        return self._claim is not None and self._clock() < unable_at

    @property
    def loading_progress(self) -> int | None:
        """Return the steps of loading done in the current term; None when it is not loading."""
        return self._loading_progress

    @property
    def settlement(self) -> Settlement | None:
        """Return until when leaders before the newest term can renew leases; None if unknown.

        It holds also after that term, since it concerns earlier ones only.
        """
        if self._settled_at == float("inf"):
            return None
        return Settlement(self._term_epoch, max(0.0, self._settled_at - self._clock()))

    def record_loading_step(self) -> None:
        """Count one step of loading, which shows peers that this process makes progress."""
        if self._loading_progress is not None:
            self._loading_progress += 1

    def end_loading(self) -> None:
        """Report that the stored state is loaded."""
        self._loading_progress = None

    async def wait_until_lost(self) -> None:
        """Wait until this process holds no claim."""
        if self._claim is not None:
            await self._claim_lost.wait()

    def settle_at(self, renewals_end: float) -> None:
        """Accept that no earlier leader can renew leases from a time on.

        Renewals and the answer to the claim of a later leader tell it.
        """
        self._settled_at = min(self._settled_at, renewals_end)

    def supersede(self, epoch: int) -> None:
        """End the own term because another process has claimed ``epoch``.

        A claim of this process with a lower epoch whose answer is still on its way ends as well.
        """
        self._superseding_epoch = max(self._superseding_epoch, epoch)
        self.drop("another process has claimed leadership")

    async def read(self) -> LeadershipState:
        """Read the current state of the leadership stream.

        :raises StoreError: when the store can't be reached
        """
        batch = await self._store.newest(Stream.LEADERSHIP)
        claim: Claim | None = None
        renewal: Renewal | None = None
        for record in batch.records:
            if record.value is None:
                continue
            if record.key == RENEWAL_KEY:
                renewal = _decode_renewal(record.value)
                continue
            if record.key != LEADER_KEY:
                continue
            try:
                claim = _CLAIM_DECODER.decode(record.value)
            except msgspec.MsgspecError as error:
                # Claiming without the newest epoch could reuse an epoch that is already fenced.
                raise StoreError(f"the newest claim can't be decoded: {error}") from error
        if claim is None:
            return LeadershipState(None, batch.next_offset)
        if renewal is None:
            return LeadershipState(claim, batch.next_offset, is_settled=False)
        if renewal.epoch != claim.led_epoch:
            return LeadershipState(claim, batch.next_offset, is_settled=False)
        state = LeadershipState(
            claim,
            batch.next_offset,
            renewal.is_settled,
            renewal.sent_at,
            witness=renewal.witness,
            closed_ms=renewal.closed_ms,
        )
        if renewal.unwitnessed_seconds is not None:
            state = replace(state, unwitnessed_seconds=renewal.unwitnessed_seconds)
        if renewal.settles_in is None:
            return state
        settles_in = renewal.settles_in / (1.0 - MAX_CLOCK_DRIFT)
        return replace(state, settles_in=min(state.settles_in, settles_in))

    async def claim(self, state: LeadershipState) -> bool:
        """Claim leadership.

        :param state: state of the stream on which the claim depends
        :returns: whether the claim succeeded
        :raises StoreError: when the append failed or its outcome can't be determined
        """
        sent_at = self._clock()
        epoch = state.claim.epoch + FENCES_PER_TERM if state.claim else 1
        claim = Claim(epoch, self._incarnation, self._address)
        record = Record(LEADER_KEY, msgspec.msgpack.encode(claim))
        try:
            end = await self._store.append(Stream.LEADERSHIP, [record], at=state.end)
        except StoreConflictError:
            return False
        except StoreError as error:
            if not error.is_effect_unknown:
                raise
            newest = await self.read()
            if newest.claim != claim:
                return False
            end = newest.end
        if epoch <= self._superseding_epoch:
            self._ended_epoch = epoch
            _log.notice("leadership lost", extra={"epoch": epoch, "reason": "claim superseded"})
            return False
        self._claim, self._end = claim, end
        self._loading_progress = 0
        self._claim_lost = asyncio.Event()
        self._valid_until = sent_at + LEASE_SECONDS
        self._term_epoch, self._settled_at = epoch, float("inf")
        self._unanswered_at = None
        self._witness, self._witnesses, self._witnessed_until = None, frozenset(), {}
        _log.notice("leadership claimed", extra={"epoch": epoch, "end": end})
        return True

    def record_answer(self, witness: Witness, answer: WitnessAnswer, asked_at: float) -> None:
        """Record the answer of a witness; drop the claim when it knows of a later one.

        :param asked_at: time before the question was sent
        """
        if self._claim is None or answer.incarnation != witness.incarnation:
            return
        if answer.known_epoch > self._claim.epoch:
            self.supersede(answer.known_epoch)
            return
        # Questions overlap, so an answer may come after that to a later question.
        earlier = self._witnessed_until.get(witness, float("-inf"))
        self._witnessed_until[witness] = max(earlier, asked_at + WITNESS_SECONDS)

    async def renew(
        self, witness: Witness | None = None, closed_until: Mapping[str, float] | None = None
    ) -> bool:
        """Extend the lease by a conditional append; drop the claim when a later one exists.

        :param witness: process to ask from then on when the lease is over; None for none
        :param closed_until: ends of leases of minions that are not extended before a renewal
            without them is stored, by incarnation
        :returns: whether this renewal is stored
        :raises StoreError: when the renewal failed or its outcome can't be determined
        """
        if self._claim is None:
            return False
        sent_at = self._clock()
        settles_in = self._settled_at - sent_at
        stored_witnesses = self._witnesses
        if self._unanswered_at is None:
            self._witness = witness
        named = frozenset() if self._witness is None else frozenset([self._witness])
        self._witnesses = stored_witnesses | named
        closed_ms = {}
        for incarnation, end in (closed_until or {}).items():
            closed_ms[incarnation] = ceil(1000.0 * max(0.0, end - sent_at))
        renewal = Renewal(
            self._claim.epoch,
            settles_in <= 0.0,
            sent_at,
            max(0.0, settles_in),
            self._witness,
            closed_ms,
            UNWITNESSED_SECONDS,
        )
        record = Record(RENEWAL_KEY, msgspec.msgpack.encode(renewal))
        try:
            self._end = await self._store.append(Stream.LEADERSHIP, [record], at=self._end)
        except StoreConflictError:
            await self._resolve_conflict(sent_at)
            return False
        except StoreError as error:
            if error.is_effect_unknown:
                if self._unanswered_at is None:
                    self._unanswered_at = sent_at
            else:
                self._witnesses = stored_witnesses
            raise
        self._unanswered_at = None
        self._witnesses = named
        self._valid_until = sent_at + LEASE_SECONDS
        return True

    async def _resolve_conflict(self, sent_at: float) -> None:
        """Distinguish a claim by another process from an own renewal whose response was lost."""
        state = await self.read()
        if state.claim != self._claim:
            self.drop("another process has claimed leadership")
            return
        self._end = state.end
        # Other processes count from the growth of the stream or from the time in the renewal, so
        # the renewal that has grown it counts, not the attempt that found it.
        renewed_at = state.renewed_at
        if renewed_at is None:
            renewed_at = sent_at if self._unanswered_at is None else self._unanswered_at
        self._unanswered_at = None
        self._valid_until = max(self._valid_until, renewed_at + LEASE_SECONDS)

    async def resign(
        self, stop_calls: Callable[[], None] = lambda: None, highest_fence: int = 0
    ) -> None:
        """Give up the claim and record this, so that other processes can claim immediately.

        It is recorded at the latest ``LEASE_SECONDS`` later, or not at all: other processes claim
        by then since the stream does not grow.

        :param stop_calls: called once the claim is given up, before that is recorded
        :param highest_fence: highest difference of a fencing token of the term from its epoch
        """
        claim = self._claim
        if claim is None:
            return
        self.drop("resigned")
        stop_calls()
        resigned = Claim(
            claim.epoch + highest_fence,
            claim.incarnation,
            claim.address,
            is_resigned=True,
            term_epoch=claim.epoch if highest_fence else 0,
        )
        record = Record(LEADER_KEY, msgspec.msgpack.encode(resigned))
        end, tries_until = self._end, self._clock() + LEASE_SECONDS
        reason = ""
        while self._clock() < tries_until:
            try:
                await self._store.append(Stream.LEADERSHIP, [record], at=end)
                return
            except StoreConflictError:
                # A renewal that was on its way may have grown the stream, or this record itself.
                pass
            except StoreError as error:
                reason = str(error)
                await asyncio.sleep(RESIGNATION_RETRY_SECONDS)
                continue
            try:
                state = await self.read()
            except StoreError as error:
                reason = str(error)
                await asyncio.sleep(RESIGNATION_RETRY_SECONDS)
                continue
            if state.claim != claim:
                return
            end = state.end
        _log.warning("resignation could not be stored", extra={"reason": reason})

    def drop(self, reason: str) -> None:
        """Drop the claim locally, so that this process stops acting as the leader.

        :param reason: reason for the log
        """
        if self._claim is not None:
            _log.notice("leadership lost", extra={"epoch": self._claim.epoch, "reason": reason})
            self._ended_epoch = max(self._ended_epoch, self._claim.epoch)
        self._claim = None
        self._loading_progress = None
        self._claim_lost.set()
        self._valid_until = float("-inf")


def _decode_renewal(data: bytes) -> Renewal | None:
    """Return the renewal that a record holds; None for one in another form."""
    try:
        return _RENEWAL_DECODER.decode(data)
    except msgspec.MsgspecError as error:
        _log.info("renewal can't be decoded", extra={"reason": str(error)})
        return None


class LeaderCondition(Enum):
    """Condition of the leader as observed by another process.

    PRESENT: it answers and renews. LOADING: it answers, loads the stored state and has not renewed
    lately. UNABLE: it answers but can't renew. SILENT: it does not answer.
    REFUSED: connections are refused, because nothing listens at its address or because of a
    network fault. GONE: it has ended or resigned.
    """

    PRESENT = auto()
    LOADING = auto()
    UNABLE = auto()
    SILENT = auto()
    REFUSED = auto()
    GONE = auto()


# Time without growth of the leadership stream after which other processes claim. By then a silent
# leader has missed three renewals, even when the store is slow, and a leader that refuses
# connections has missed two. A leader that is unable to renew has reported that itself. A leader
# that makes progress in loading is slow; its successor would have to load everything again.
CLAIM_DELAY_SECONDS = {
    LeaderCondition.LOADING: 6.0,
    LeaderCondition.UNABLE: 0.4,
    LeaderCondition.SILENT: 1.5,
    LeaderCondition.REFUSED: 1.2,
    LeaderCondition.GONE: 0.0,
}


# A loading leader without progress for this time counts as unable. One read of a slow store takes
# up to 1.2 s before it fails.
STALLED_LOADING_SECONDS = 2.0
# Claims of different processes within this time show that leaders do not finish loading.
CLAIM_SERIES_SECONDS = 10.0
MAX_CLAIM_DELAY_SECONDS = 6.0


class LoadingWatch:
    """Observes whether a leader that is loading makes progress.

    :param clock: returns seconds; see :class:`Leadership`
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._incarnation = ""
        self._progress: int | None = None
        self._changed_at = float("-inf")

    def record(self, incarnation: str, progress: int | None) -> None:
        """Record the progress that a leader reports."""
        if (incarnation, progress) != (self._incarnation, self._progress):
            self._incarnation, self._progress = incarnation, progress
            self._changed_at = self._clock()

    def refine(self, condition: LeaderCondition) -> LeaderCondition:
        """Return a condition, or UNABLE for a loading leader without progress."""
        is_stalled = self._clock() - self._changed_at > STALLED_LOADING_SECONDS
        if condition is LeaderCondition.LOADING and is_stalled:
            return LeaderCondition.UNABLE
        return condition


class ClaimSeries:
    """Doubles the delay before a claim while processes claim leadership in short succession.

    Each claim makes the claiming process load the stored state from its beginning. Without the
    delay, a fleet of slow processes that take each other for failed would never finish.

    :param clock: returns seconds; see :class:`Leadership`
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._epoch = 0
        self._incarnation = ""
        self._seen_at = float("-inf")
        self._count = 0

    @property
    def delay_factor(self) -> float:
        """Return the factor of the delay before the next claim."""
        if self._clock() - self._seen_at >= CLAIM_SERIES_SECONDS:
            return 1.0
        return 2.0**self._count

    def record(self, claim: Claim) -> None:
        """Record a claim of any process when it is first seen."""
        if claim.epoch <= self._epoch:
            return
        now = self._clock()
        if now - self._seen_at >= CLAIM_SERIES_SECONDS:
            self._count = 0
        elif claim.incarnation != self._incarnation:
            # Claims that this process did not see count too. Those of earlier builds differ by 1.
            claims = max(1, (claim.epoch - self._epoch) // FENCES_PER_TERM)
            self._count = min(self._count + claims, 4)
        self._epoch, self._incarnation, self._seen_at = claim.epoch, claim.incarnation, now


class FailureDetector:
    """Decides when a process may claim leadership after the leader has failed.

    :param clock: returns seconds; see :class:`Leadership`
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._end: int | None = None
        self._unchanged_since = 0.0

    @property
    def is_watching(self) -> bool:
        """Return whether a leader is suspected and the stream is watched for growth."""
        return self._end is not None

    def reset(self) -> None:
        """Stop watching the stream, because the leader answers."""
        self._end = None

    def seconds_to_claim(
        self,
        state: LeadershipState,
        condition: LeaderCondition,
        delay_factor: float = 1.0,
        clock: LeaderClock | None = None,
    ) -> float | None:
        """Return the time in seconds until leadership may be claimed, if the stream does not grow.

        Processes see that the stream does not grow at different times. A reading of the leader's
        clock tells when the newest renewal was sent, which is the same time for all of them, so
        that their delays by rank decide which of them claims.

        :param state: current state of the leadership stream
        :param condition: observed condition of the leader
        :param delay_factor: factor of the delay; see :class:`ClaimSeries`
        :param clock: reading of the clock of that leader; None when there is none
        :returns: None while the leader answers and renews
        """
        if condition is LeaderCondition.GONE:
            return 0.0
        if condition is LeaderCondition.PRESENT:
            self.reset()
            return None
        if self._end != state.end:
            self._end = state.end
            self._unchanged_since = self._clock()
        since = self._unchanged_since
        if condition in (LeaderCondition.SILENT, LeaderCondition.REFUSED):
            since = min(since, self._newest_renewal_time(state, clock))
        delay = min(MAX_CLAIM_DELAY_SECONDS, delay_factor * CLAIM_DELAY_SECONDS[condition])
        return max(0.0, since + delay - self._clock())

    def newest_renewal_by(self, state: LeadershipState, clock: LeaderClock | None) -> float:
        """Return the time by which the leader had sent its newest stored renewal.

        :param state: state of the stream on which the claim of this process depended
        :param clock: reading of the clock of that leader; None when there is none
        """
        # A leader that is gone was not watched, but its renewals were stored before the read.
        seen_at = self._unchanged_since if self._end == state.end else self._clock()
        return min(seen_at, self._newest_renewal_time(state, clock))

    def _newest_renewal_time(self, state: LeadershipState, clock: LeaderClock | None) -> float:
        """Return the time by which the newest stored renewal was certainly sent, or infinity."""
        if clock is None or state.claim is None or state.renewed_at is None:
            return float("inf")
        if clock.incarnation != state.claim.incarnation:
            return float("inf")
        return clock.latest_time_of(state.renewed_at)

    def renewals_end(self, state: LeadershipState, clock: LeaderClock | None) -> float:
        """Return the time until which the watched leader may renew the leases of running tasks.

        Its newest stored renewal was sent before this process saw it. A reading of the leader's
        clock can prove that it was sent earlier. Leaders before it sent their last renewals even
        earlier, so the bound holds for them as well; it allows for the drift of their clocks.

        :param state: state of the stream on which the claim of this process depended
        :param clock: reading of the clock of that leader; None when there is none
        """
        renewing_seconds = LEASE_SECONDS + RENEWAL_GRACE_SECONDS
        end = self._unchanged_since + renewing_seconds
        sent_at = self._newest_renewal_time(state, clock)
        return min(end, sent_at + renewing_seconds / (1.0 - MAX_CLOCK_DRIFT))
