"""Claims of caller-chosen keys: the first claim of a key in the log decides its holder."""

from __future__ import annotations

import math
from array import array
from bisect import bisect_left
from dataclasses import dataclass

import msgspec

CLAIM_STREAM = "claims"
CLAIM_VERSION = 1
CLAIM_RETENTION_SECONDS = 24 * 3600.0
# A claim takes 23 bytes. Half a million claims (5.7 a second for 24 h) take 11 MB.
SEGMENT_CLAIMS = 16_384
MAX_SEGMENTS = 30


class Claim(msgspec.Struct, frozen=True, array_like=True, tag=False):
    """Record of the ``claims`` stream: a process claims the right to run a key's request.

    :param version: format of the record, ``CLAIM_VERSION``
    :param key: digest of service and key
    :param fingerprint: digest of the request
    :param incarnation: process that dispatches the request if this claim is the first
    :param claim_id: random id, unchanged when the append is repeated
    """

    version: int
    key: bytes
    fingerprint: bytes
    incarnation: str
    claim_id: bytes


@dataclass(frozen=True, slots=True)
class Holder:
    """Process that made the first claim of a key.

    :param incarnation: of that process
    :param fingerprint: first 8 bytes of the request's digest, as a number
    """

    incarnation: str
    fingerprint: int


def short_digest(digest: bytes) -> int:
    """Return the first 8 bytes of a digest as a big-endian number."""
    return int.from_bytes(digest[:8], "big")


class _Segment:
    """Immutable arrays of consecutive claims of the stream, sorted by key.

    :param claims: incarnation number and short request digest by short key digest
    :param newest_at: loop time at which the newest claim was read
    """

    __slots__ = ("holders", "keys", "newest_at", "requests")

    def __init__(self, claims: dict[int, tuple[int, int]], newest_at: float) -> None:
        ordered = sorted(claims)
        self.keys = array("Q", ordered)
        self.holders = array("I", [claims[key][0] for key in ordered])
        self.requests = array("Q", [claims[key][1] for key in ordered])
        self.newest_at = newest_at

    def find(self, key: int) -> tuple[int, int] | None:
        index = bisect_left(self.keys, key)
        if index == len(self.keys) or self.keys[index] != key:
            return None
        return self.holders[index], self.requests[index]


class ClaimTable:
    """First claims of the ``claims`` stream, bounded in age and number.

    Keys are compared by 64 bits of their digest. After a collision a request fails with
    ``key_mismatch``; no request runs twice.
    """

    def __init__(self) -> None:
        self._recent: dict[int, tuple[int, int]] = {}
        self._segments: list[_Segment] = []
        self._incarnations: list[str] = []
        self._incarnation_numbers: dict[str, int] = {}
        self._ignored_count = 0

    def __len__(self) -> int:
        return len(self._recent) + sum(len(segment.keys) for segment in self._segments)

    @property
    def ignored_count(self) -> int:
        """Return the number of records that couldn't be decoded or have an unknown version."""
        return self._ignored_count

    def apply(self, data: bytes, now: float) -> Claim | None:
        """Add a record's claim and return it, or None when it can't be decoded.

        :param data: payload of the log record
        :param now: loop time at which the record was read; the claim's retention starts here
        """
        try:
            claim = msgspec.msgpack.decode(data, type=Claim)
        except msgspec.DecodeError:
            self._ignored_count += 1
            return None
        if claim.version != CLAIM_VERSION:
            self._ignored_count += 1
            return None
        if self.find(claim.key) is None:
            row = (self._incarnation_number(claim.incarnation), short_digest(claim.fingerprint))
            self._recent[short_digest(claim.key)] = row
            if len(self._recent) >= SEGMENT_CLAIMS:
                self._segments.append(_Segment(self._recent, now))
                self._recent = {}
                self._drop_expired(now)
        return claim

    def find(self, key: bytes) -> Holder | None:
        """Return the holder of a key, or None when no claim of it is known."""
        number = short_digest(key)
        row = self._recent.get(number)
        for segment in self._segments:
            if row is not None:
                break
            row = segment.find(number)
        if row is None:
            return None
        return Holder(self._incarnations[row[0]], row[1])

    def _incarnation_number(self, incarnation: str) -> int:
        number = self._incarnation_numbers.get(incarnation)
        if number is None:
            number = self._incarnation_numbers[incarnation] = len(self._incarnations)
            self._incarnations.append(incarnation)
        return number

    def _drop_expired(self, now: float) -> None:
        oldest = now - CLAIM_RETENTION_SECONDS
        kept = [segment for segment in self._segments if segment.newest_at >= oldest]
        self._segments = kept[-MAX_SEGMENTS:]


@dataclass(slots=True)
class PendingClaim:
    """A claim that has not been read back from the log.

    :param claim: claim as it was or will be appended
    :param give_up_at: loop time after which no request waits for it
    """

    claim: Claim
    give_up_at: float


class ClaimBatches:
    """Pending claims, grouped into batches with one append in flight.

    :param interval_seconds: shortest time between two appends
    :param max_batch: most claims of one append
    """

    def __init__(self, interval_seconds: float = 0.09, max_batch: int = 500) -> None:
        self._interval_seconds = interval_seconds
        self._max_batch = max_batch
        self._pending: dict[bytes, PendingClaim] = {}
        self._last_append_at = -math.inf

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, claim: Claim, give_up_at: float) -> None:
        """Add a claim to the pending ones, until loop time ``give_up_at``."""
        self._pending[claim.claim_id] = PendingClaim(claim, give_up_at)

    def settle(self, claim_id: bytes) -> None:
        """Remove a claim that was read back or whose request no longer needs it."""
        self._pending.pop(claim_id, None)

    def next_append_at(self, now: float) -> float:
        """Return the earliest loop time of the next append."""
        return max(now, self._last_append_at + self._interval_seconds)

    def take(self, now: float) -> list[Claim]:
        """Return the batch for the next append; its claims stay pending until ``settle``."""
        for claim_id in [i for i, item in self._pending.items() if item.give_up_at <= now]:
            del self._pending[claim_id]
        batch = [item.claim for item in self._pending.values()][: self._max_batch]
        if batch:
            self._last_append_at = now
        return batch
