"""Admission by queue at an entry process, by the verdicts of the leader."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

from dotterelhill.jobs.model import Submission
from dotterelhill.jobs.shortage.refusal import LEAST_SHARE, QueueVerdict
from dotterelhill.jobs.tenants.admission import (
    MAX_RETRY_SECONDS,
    AdmissionRefused,
    RefusalReason,
    spread_retry_seconds,
)

VERDICTS_VALID_SECONDS = 3.0
# The least share is admitted in each window of this length that ends with an arrival.
WINDOW_SECONDS = 5.0


@dataclass(slots=True)
class _Bucket:
    """Token bucket of one queue, which each arrival fills by the admitted share.

    :param arrivals: time and outcome of the arrivals within ``WINDOW_SECONDS``
    :param return_at: latest time at which a refused caller is expected to return
    """

    tokens: float = 1.0
    arrivals: deque[tuple[float, bool]] = field(default_factory=deque)
    admitted: int = 0
    return_at: float = 0.0

    def take(self, share: float, now: float) -> bool:
        """Return whether an arrival is admitted."""
        while self.arrivals and now - self.arrivals[0][0] >= WINDOW_SECONDS:
            self.admitted -= self.arrivals.popleft()[1]
        self.tokens = min(1.0, self.tokens + share)
        is_least_due = self.admitted < LEAST_SHARE * (len(self.arrivals) + 1)
        is_admitted = self.tokens >= 1.0 or is_least_due
        if is_admitted:
            self.tokens = max(0.0, self.tokens - 1.0)
        self.arrivals.append((now, is_admitted))
        self.admitted += is_admitted
        return is_admitted


class QueueAdmission:
    """Admission by queue of one entry process.

    :param random: source of the jitter of retries
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._verdicts: Mapping[str, QueueVerdict] = {}
        self._verdicts_at = float("-inf")
        self._full_at = float("-inf")
        self._buckets: dict[str, _Bucket] = {}

    def receive(self, verdicts: Mapping[str, QueueVerdict], now: float) -> None:
        """Replace the verdicts by those of the leader, which hold for some seconds."""
        self._verdicts, self._verdicts_at = verdicts, now

    def receive_fullness(self, is_full: bool, now: float) -> None:
        """Note whether the leader accepts no further job, which holds for some seconds."""
        self._full_at = now if is_full else float("-inf")

    def admit(self, submission: Submission, now: float) -> AdmissionRefused | None:
        """Return the refusal of a submission; None if it is admitted."""
        if now - self._full_at <= VERDICTS_VALID_SECONDS:
            # Nobody knows when jobs end that wait for a minion or for their time.
            retry_seconds = spread_retry_seconds(MAX_RETRY_SECONDS, self._random)
            return AdmissionRefused(RefusalReason.FULL, retry_seconds)
        verdict = self._verdicts.get(submission.queue.name)
        if verdict is None or now - self._verdicts_at > VERDICTS_VALID_SECONDS:
            self._buckets.pop(submission.queue.name, None)
            return None
        if submission.schedule is not None or any(step.is_lasting for step in submission.steps):
            return None
        bucket = self._buckets.setdefault(submission.queue.name, _Bucket())
        if bucket.take(verdict.admitted_share, now):
            return None
        # Who was refused earlier is not asked to return later.
        wait_seconds = min(max(1.0, verdict.room_seconds), MAX_RETRY_SECONDS)
        bucket.return_at = max(bucket.return_at, now + wait_seconds)
        retry_seconds = spread_retry_seconds(bucket.return_at - now, self._random)
        return AdmissionRefused(RefusalReason.BACKLOG, retry_seconds)
