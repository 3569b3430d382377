"""Verdicts on control records; all readers reach the same verdict on a record."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from dotterelhill.ledger.records import ControlRecord


class VerdictKind(StrEnum):
    """Kind of verdict on a record."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNREADABLE = "unreadable"
    ALREADY_FOLDED = "already_folded"
    WAITS_FOR_MANIFEST = "waits_for_manifest"
    NEWER_VERSION = "newer_version"


class Refusal(StrEnum):
    """Reason for which a record was refused; a refused record has no effect."""

    INCARNATION_KNOWN = "incarnation_known"
    NOT_JOINED = "not_joined"
    TOKEN_OUTDATED = "token_outdated"
    VERSION_NOT_ABOVE = "version_not_above"
    VERSION_UNKNOWN = "version_unknown"
    WORKER_UNKNOWN = "worker_unknown"
    WORKER_FENCED = "worker_fenced"
    WORKER_NOT_FENCED = "worker_not_fenced"
    WORKER_ATTESTED_LOST = "worker_attested_lost"
    DOMAIN_NOT_IN = "domain_not_in"
    JOB_NOT_OPEN = "job_not_open"
    TASK_NOT_PENDING = "task_not_pending"
    ATTEMPT_OUTDATED = "attempt_outdated"
    CHECKPOINT_DIFFERS = "checkpoint_differs"
    CAPACITY_INVALID = "capacity_invalid"
    CAPACITY_EXCEEDED = "capacity_exceeded"
    QUOTA_EXCEEDED = "quota_exceeded"
    LOSS_NOT_CERTAIN = "loss_not_certain"


@dataclass(frozen=True, slots=True)
class RecordVerdict:
    """Verdict on the record at one offset.

    :param record: the record; None if it could not be decoded or was folded before
    :param refusal: reason if ``kind`` is ``refused``; else None
    """

    offset: int
    kind: VerdictKind
    record: ControlRecord | None = None
    refusal: Refusal | None = None

    @property
    def is_accepted(self) -> bool:
        """Return whether the record took effect."""
        return self.kind is VerdictKind.ACCEPTED
