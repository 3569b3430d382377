"""Claims of caller-chosen keys: the first claim of a key in the log wins."""

from __future__ import annotations

import math
from array import array
from bisect import bisect_left
from dataclasses import dataclass

import msgspec

CLAIM_STREAM = "claims"
CLAIM_VERSION = 1
CLAIM_RETENTION_SECONDS = 24 * 3600.0
# A claim takes 23 bytes, so that half a million, 5.7 a second for 24 h, take 11 MB.
SEGMENT_CLAIMS = 16_384
MAX_SEGMENTS = 30


class Claim(msgspec.Struct, frozen=True, array_like=True, tag=False):
    """Record of the ``claims`` stream.

    :param key: digest of service and key
    :param request: digest of the request
    :param incarnation: process that will dispatch it
    :param claim_id: the same in a repeated append
    """

    version: int
    key: bytes
    fingerprint: bytes
    incarnation: str
    claim_id: bytes


@dataclass(frozen=True, slots=True)
class Holder:
    """Whose the first claim of a key is.

    :param request: first 8 bytes of the request's digest
    """

    incarnation: str
    fingerprint: int


def short_digest(digest: bytes) -> int:
    """Return the first 8 bytes of a digest as a number."""
    return int.from_bytes(digest[:8], "big")


class _Segment:
    """Claims of one stretch of the stream, sorted by key."""

    __slots__ = ("holders", "keys", "newest_at", "requests")

    def __init__(self, claims: dict[int, tuple[int, int]], newest_at: float) -> None:
        ordered = sorted(claims)
        self.keys = array("Q", ordered)
        self.holders = array("I", [claims[key][0] for key in ordered])
        self.fingerprints = array("Q", [claims[key][1] for key in ordered])
        self.newest_at = newest_at

    def find(self, key: int) -> tuple[int, int] | None:
        index = bisect_left(self.keys, key)
        if index == len(self.keys) or self.keys[index] != key:
            return None
        return self.holders[index], self.fingerprints[index]


class ClaimTable:
    """Fold of the ``claims`` stream, bounded in time and number.

    Keys are told apart by 64 bits of their digest. A collision makes a request fail as a mismatch;
    it never runs one twice.
    """

    def __init__(self) -> None:
        self._recent: dict[int, tuple[int, int]] = {}
        self._segments: list[_Segment] = []
        self._incarnations: list[str] = []
        self._incarnation_numbers: dict[str, int] = {}
        self._ignored = 0

    def __len__(self) -> int:
        return len(self._recent) + sum(len(segment.keys) for segment in self._segments)

    @property
    def ignored(self) -> int:
        """Return how many records could not be understood."""
        return self._ignored

    def apply(self, data: bytes, now: float) -> Claim | None:
        """Return the claim of a record, or None when it can't be understood.

        :param now: loop time of reading, from which the claim is remembered
        """
        try:
            claim = msgspec.msgpack.decode(data, type=Claim)
        except msgspec.DecodeError:
            self._ignored += 1
            return None
        if claim.version != CLAIM_VERSION:
            self._ignored += 1
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
        """Return whose claim of a key was first, or None when none is known."""
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
    """A claim that is not read back yet.

    :param give_up_at: loop time after which nobody waits for it
    """

    claim: Claim
    give_up_at: float


class ClaimBatches:
    """Which claims are appended next: one append in flight, a short pause between two."""

    def __init__(self, interval_seconds: float = 0.09, max_batch: int = 500) -> None:
        self._interval_seconds = interval_seconds
        self._max_batch = max_batch
        self._pending: dict[bytes, PendingClaim] = {}
        self._last_append_at = -math.inf

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, claim: Claim, give_up_at: float) -> None:
        """Wait with a claim for the next append."""
        self._pending[claim.claim_id] = PendingClaim(claim, give_up_at)

    def settle(self, claim_id: bytes) -> None:
        """Forget a claim that was read back, or whose request is settled."""
        self._pending.pop(claim_id, None)

    def next_at(self, now: float) -> float:
        """Return the loop time of the next append."""
        return max(now, self._last_append_at + self._interval_seconds)

    def take(self, now: float) -> list[Claim]:
        """Return the claims of the next append; they stay pending until they are read back."""
        for claim_id in [i for i, item in self._pending.items() if item.give_up_at <= now]:
            del self._pending[claim_id]
        batch = [item.claim for item in self._pending.values()][: self._max_batch]
        if batch:
            self._last_append_at = now
        return batch
