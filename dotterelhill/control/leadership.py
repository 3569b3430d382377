"""Which process leads the fleet.

Explanation
===========

A claim is a conditional append to the leadership stream; its epoch fences the leader's writes to
the store and its orders to minions. The leader renews by further conditional appends and acts only
within ``LEASE_SECONDS`` of the last renewal that it sent. Others claim when the stream has not
grown for longer than that, or sooner when the leader is known to be gone or unable. Early claims
are safe, since a fenced leader can neither store a start nor reach a minion that the new leader
has reached; they only cost a takeover.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

import msgspec

from dotterelhill.control.interface import (
    Record,
    Store,
    StoreConflictError,
    StoreError,
    Stream,
)
from dotterelhill.entry.logs import logger_of

# The leader orders nothing new this long after it sent its last successful renewal.
LEASE_SECONDS = 2.0
# It keeps the leases of present runs for this time longer, so that an outage of the store for all
# processes ends no work. A later leader adds it to the time in which runs may be present on a
# minion that it can't reach.
RENEWAL_GRACE_SECONDS = 6.0
RENEW_SECONDS = 0.5
# A leader that has not renewed for this time asks its peers to take over: two renewals missed.
UNABLE_SECONDS = 1.2

LEADER_KEY = "leader"
RENEWAL_KEY = "renewal"

Clock = Callable[[], float]

_log = logger_of("leadership")


class Claim(msgspec.Struct, frozen=True):
    """Record of a process that leads, or of one that has resigned.

    :param epoch: rises with each claim
    :param incarnation: id of the process
    :param address: HOST:PORT at which the process answers its peers
    :param is_resigned: whether the process has given up leadership
    """

    epoch: int
    incarnation: str
    address: str
    is_resigned: bool = False


_CLAIM_DECODER = msgspec.msgpack.Decoder(Claim)


@dataclass(frozen=True, slots=True)
class Standing:
    """Newest state of the leadership stream.

    :param claim: newest claim; None before the first
    :param end: offset at which the stream ends
    """

    claim: Claim | None
    end: int


class Leadership:
    """Claims, renews and resigns leadership for one process.

    :param clock: time that also passes while the process is suspended, in seconds
    """

    def __init__(self, store: Store, incarnation: str, address: str, clock: Clock) -> None:
        self._store = store
        self._incarnation = incarnation
        self._address = address
        self._clock = clock
        self._claim: Claim | None = None
        self._end = 0
        self._valid_until = float("-inf")

    @property
    def epoch(self) -> int:
        """Return the epoch of this process's claim; 0 without one."""
        return self._claim.epoch if self._claim else 0

    @property
    def own_claim(self) -> Claim | None:
        """Return this process's claim, if no later one is known."""
        return self._claim

    @property
    def has_claim(self) -> bool:
        """Return whether no later claim is known."""
        return self._claim is not None

    @property
    def is_leading(self) -> bool:
        """Return whether this process may act as the leader now."""
        return self._claim is not None and self._clock() < self._valid_until

    @property
    def may_renew_leases(self) -> bool:
        """Return whether this process may keep the leases of present runs."""
        return self._claim is not None and self._clock() < self._valid_until + RENEWAL_GRACE_SECONDS

    @property
    def is_able(self) -> bool:
        """Return whether renewals succeed."""
        unable_at = self._valid_until - LEASE_SECONDS + UNABLE_SECONDS
        return self._claim is not None and self._clock() < unable_at

    async def read(self) -> Standing:
        """Return the newest state of the stream.

        :raises StoreError: when the store can't be used
        """
        batch = await self._store.newest(Stream.LEADERSHIP)
        claim: Claim | None = None
        for record in batch.records:
            if record.key == LEADER_KEY and record.value is not None:
                claim = _CLAIM_DECODER.decode(record.value)
        return Standing(claim, batch.next_offset)

    async def claim(self, standing: Standing) -> bool:
        """Return whether this process leads now.

        :param standing: state of the stream that justifies the claim
        :raises StoreError: when the outcome can't be known
        """
        sent_at = self._clock()
        epoch = standing.claim.epoch + 1 if standing.claim else 1
        claim = Claim(epoch, self._incarnation, self._address)
        record = Record(LEADER_KEY, msgspec.msgpack.encode(claim))
        try:
            end = await self._store.append(Stream.LEADERSHIP, [record], at=standing.end)
        except StoreConflictError:
            return False
        except StoreError as error:
            if not error.is_effect_unknown:
                raise
            newest = await self.read()
            if newest.claim != claim:
                return False
            end = newest.end
        self._claim, self._end = claim, end
        self._valid_until = sent_at + LEASE_SECONDS
        _log.notice("leadership claimed", extra={"epoch": epoch, "end": end})
        return True

    async def renew(self) -> None:
        """Extend the lease by a conditional append; drop the claim when another one was made."""
        if self._claim is None:
            return
        sent_at = self._clock()
        try:
            record = Record(RENEWAL_KEY, b"1")
            self._end = await self._store.append(Stream.LEADERSHIP, [record], at=self._end)
        except StoreConflictError:
            await self._resolve_conflict(sent_at)
            return
        self._valid_until = sent_at + LEASE_SECONDS

    async def _resolve_conflict(self, sent_at: float) -> None:
        """Tell another process's claim from an own renewal whose answer was lost."""
        standing = await self.read()
        if standing.claim != self._claim:
            self.drop("another process has claimed")
            return
        self._end = standing.end
        self._valid_until = sent_at + LEASE_SECONDS

    async def resign(self) -> None:
        """Let others claim at once."""
        claim = self._claim
        if claim is None:
            return
        self.drop("resigned")
        resigned = Claim(claim.epoch, claim.incarnation, claim.address, is_resigned=True)
        record = Record(LEADER_KEY, msgspec.msgpack.encode(resigned))
        try:
            await self._store.append(Stream.LEADERSHIP, [record], at=self._end)
        except StoreError as error:
            _log.warning("resignation was not stored", extra={"reason": str(error)})

    def drop(self, reason: str) -> None:
        """Stop acting as the leader."""
        if self._claim is not None:
            _log.notice("leadership lost", extra={"epoch": self._claim.epoch, "reason": reason})
        self._claim = None
        self._valid_until = float("-inf")


class LeaderCondition(Enum):
    """What a process has found out about the leader.

    PRESENT: it answers and renews. UNABLE: it answers and can't renew. SILENT: it does not answer.
    REFUSED: nothing listens at its address, or a cut looks like that. GONE: it has ended or
    resigned.
    """

    PRESENT = auto()
    UNABLE = auto()
    SILENT = auto()
    REFUSED = auto()
    GONE = auto()


# Time without a renewal after which others claim. A leader that answers nobody has missed three
# renewals by then, also when the store is slow; one that is refused has missed two; one that is
# unable has asked for it.
CLAIM_PATIENCE_SECONDS = {
    LeaderCondition.UNABLE: 0.4,
    LeaderCondition.SILENT: 1.5,
    LeaderCondition.REFUSED: 1.2,
    LeaderCondition.GONE: 0.0,
}


class FailureDetector:
    """Decides when a process may claim after the leader has stopped answering.

    :param clock: as of :class:`Leadership`
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._end: int | None = None
        self._since = 0.0

    @property
    def is_watching(self) -> bool:
        """Return whether the stream is being watched for growth."""
        return self._end is not None

    def clear(self) -> None:
        """Note that the leader answers."""
        self._end = None

    def may_claim(self, standing: Standing, condition: LeaderCondition) -> bool:
        """Return whether the newest state of the stream allows a claim now."""
        if condition is LeaderCondition.GONE:
            return True
        if condition is LeaderCondition.PRESENT:
            self.clear()
            return False
        if self._end != standing.end:
            self._end = standing.end
            self._since = self._clock()
            return False
        return self._clock() - self._since >= CLAIM_PATIENCE_SECONDS[condition]
