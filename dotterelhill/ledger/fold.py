"""Ledger: deterministic fold of the records of the ``control`` stream."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from dotterelhill.ledger.holders import Holders
from dotterelhill.ledger.placements import Placements
from dotterelhill.ledger.records import (
    Adopt,
    Assign,
    Capacity,
    ControlRecord,
    Fence,
    Hold,
    Join,
    Leave,
    NewerVersionError,
    Release,
    Stopped,
    Unfence,
    decode_record,
)
from dotterelhill.ledger.state import WORKER_PREFIX
from dotterelhill.ledger.verdict import RecordVerdict, Refusal, VerdictKind
from dotterelhill.manifest.document import Manifest

ManifestAt = Callable[[int], Manifest | None]


class VersionNotAcceptedError(LookupError):
    """Raised by ``manifest_at`` for a version that is not accepted according to ``config``."""


class Ledger:
    """Replicated state that is the same for all readers of ``control`` at the same offset.

    :param manifest_at: returns the accepted manifest of a version, or None while ``config`` has
        not been read that far; raises :class:`VersionNotAcceptedError` for a version that is not
        accepted
    """

    def __init__(self, manifest_at: ManifestAt) -> None:
        self._manifest_at = manifest_at
        self._holders = Holders()
        self._placements = Placements()
        self._read_offset = 0
        self._adopted_version = 0
        self._adopted_digest = ""
        self._newer_version = 0
        self._counts: Counter[str] = Counter()

    @property
    def holders(self) -> Holders:
        """Return the state of incarnations and holdings."""
        return self._holders

    @property
    def placements(self) -> Placements:
        """Return the state of workers, jobs and tasks."""
        return self._placements

    @property
    def read_offset(self) -> int:
        """Return the offset of the last folded record."""
        return self._read_offset

    @property
    def adopted_version(self) -> int:
        """Return the version of the adopted manifest; 0 before the first."""
        return self._adopted_version

    @property
    def adopted_digest(self) -> str:
        """Return the digest in the newest accepted ``Adopt``; empty before the first."""
        return self._adopted_digest

    @property
    def is_stopped(self) -> bool:
        """Return whether the fold has stopped at a record of a newer version."""
        return self._newer_version != 0

    @property
    def newer_version(self) -> int:
        """Return the version of the record that stopped the fold; 0 for none."""
        return self._newer_version

    @property
    def counts(self) -> dict[str, int]:
        """Return the number of records per verdict or refusal since this process started."""
        return dict(self._counts)

    def apply(self, offset: int, data: bytes) -> RecordVerdict:
        """Fold the record at ``offset`` and return its verdict.

        With the verdict ``waits_for_manifest`` or ``newer_version`` the record is not folded; the
        caller must apply it again before any later record.
        """
        if offset <= self._read_offset:
            return RecordVerdict(offset, VerdictKind.ALREADY_FOLDED)
        if self._newer_version:
            return RecordVerdict(offset, VerdictKind.NEWER_VERSION)
        try:
            record = decode_record(data)
        except NewerVersionError as error:
            self._newer_version = error.version
            return RecordVerdict(offset, VerdictKind.NEWER_VERSION)
        if record is None:
            return self._record_verdict(offset, VerdictKind.UNREADABLE, None, None)
        if isinstance(record, Adopt) and record.manifest_version > self._adopted_version:
            return self._fold_adopt(offset, record)
        refusal = self._fold(offset, record)
        kind = VerdictKind.ACCEPTED if refusal is None else VerdictKind.REFUSED
        return self._record_verdict(offset, kind, record, refusal)

    def restore_position(self, offset: int, version: int, digest: str) -> None:
        """Restore the read offset and the adopted manifest's version and digest of a snapshot."""
        self._read_offset = offset
        self._adopted_version = version
        self._adopted_digest = digest

    def _fold(self, offset: int, record: ControlRecord) -> Refusal | None:
        match record:
            case Assign():
                return self._placements.assign(offset, record)
            case Stopped():
                return self._placements.stopped(record)
            case Hold():
                return self._holders.hold(offset, record)
            case Release():
                return self._holders.release(record)
            case Join():
                return self._holders.join(offset, record)
            case Leave():
                return self._holders.leave(offset, record)
            case Capacity():
                return self._placements.set_capacity(record)
            case Fence() | Unfence():
                return self._fold_fence(record)
            case Adopt():
                return Refusal.VERSION_NOT_ABOVE

    def _fold_fence(self, record: Fence | Unfence) -> Refusal | None:
        if not self._holders.is_current(WORKER_PREFIX + record.worker, record.token):
            return Refusal.TOKEN_OUTDATED
        if isinstance(record, Fence):
            return self._placements.fence(record.worker, record.token)
        return self._placements.unfence(record.worker)

    def _fold_adopt(self, offset: int, record: Adopt) -> RecordVerdict:
        try:
            manifest = self._manifest_at(record.manifest_version)
        except VersionNotAcceptedError:
            refusal = Refusal.VERSION_UNKNOWN
            return self._record_verdict(offset, VerdictKind.REFUSED, record, refusal)
        if manifest is None:
            return RecordVerdict(offset, VerdictKind.WAITS_FOR_MANIFEST, record)
        self._adopted_version = record.manifest_version
        self._adopted_digest = record.digest
        self._placements.adopt(record.manifest_version, manifest)
        services = manifest.services.values()
        self._holders.remove_released_minions(
            {name for service in services for name in service.minions}
        )
        return self._record_verdict(offset, VerdictKind.ACCEPTED, record, None)

    def _record_verdict(
        self, offset: int, kind: VerdictKind, record: ControlRecord | None, refusal: Refusal | None
    ) -> RecordVerdict:
        self._read_offset = offset
        self._counts[refusal or kind] += 1
        return RecordVerdict(offset, kind, record, refusal)
