"""Fold of the ``config`` stream into verdicts on publications and the manifest in force."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec

from dotterelhill.manifest.document import Manifest
from dotterelhill.manifest.validation import Fault, ManifestError, manifest_from_document

# Verdicts are kept to answer operators and to recognise repeated publications.
MAX_REMEMBERED_VERDICTS = 4096


class Publication(msgspec.Struct, frozen=True):
    """Record of the ``config`` stream, which publishes a manifest document.

    :param id: random publication id; a repetition after a lost acknowledgement has the same id
    :param base: manifest version that the document was derived from; 0 for the first one
    """

    id: str
    base: int
    document: Any


class Verdict(StrEnum):
    """Decision on a publication."""

    ACCEPTED = "accepted"
    INVALID = "invalid"
    BASE_OUTDATED = "base_outdated"
    REPEATED = "repeated"


@dataclass(frozen=True, slots=True)
class PublicationVerdict:
    """Verdict on the publication at one offset; it is the same for every reader."""

    offset: int
    publication_id: str
    verdict: Verdict
    faults: tuple[Fault, ...] = ()


@dataclass(frozen=True, slots=True)
class AcceptedManifest:
    """Accepted manifest with its version.

    :param version: offset of its record in the ``config`` stream; 0 means none
    :param record: bytes of the record, which are relayed to peers that can't read the log
    """

    version: int
    manifest: Manifest
    record: bytes

    @property
    def digest(self) -> str:
        """Return the SHA-256 of the record in hexadecimal, as ``Adopt`` records contain it."""
        return hashlib.sha256(self.record).hexdigest()


def manifest_from_record(version: int, record: bytes) -> AcceptedManifest:
    """Return the accepted manifest that the bytes of its record contain.

    :raises ValueError: when the record is not a publication of a valid document
    """
    publication = msgspec.json.decode(record, type=Publication)
    return AcceptedManifest(version, manifest_from_document(publication.document), record)


class ManifestHistory:
    """Fold of the ``config`` stream; a verdict depends only on the preceding records."""

    def __init__(self) -> None:
        self._current: AcceptedManifest | None = None
        self._read_offset = 0
        self._verdicts: OrderedDict[str, PublicationVerdict] = OrderedDict()

    @property
    def current(self) -> AcceptedManifest | None:
        """Return the manifest in force, or None before the first one."""
        return self._current

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first one."""
        return self._current.version if self._current else 0

    @property
    def read_offset(self) -> int:
        """Return the offset of the last processed record."""
        return self._read_offset

    def verdict_of(self, publication_id: str) -> PublicationVerdict | None:
        """Return the verdict on a publication, or None if it is unknown or no longer kept."""
        return self._verdicts.get(publication_id)

    @property
    def verdicts(self) -> tuple[PublicationVerdict, ...]:
        """Return the kept verdicts, oldest first."""
        return tuple(self._verdicts.values())

    def apply(self, offset: int, data: bytes) -> PublicationVerdict | None:
        """Process the record at ``offset`` and return the verdict on it.

        :returns: verdict; None when the record was processed before or can't be decoded
        """
        if offset <= self._read_offset:
            return None
        self._read_offset = offset
        try:
            publication = msgspec.json.decode(data, type=Publication)
        except (msgspec.DecodeError, RecursionError):
            # No valid document is nested deeply enough to cause RecursionError.
            return None
        verdict = self._evaluate(offset, publication, data)
        if verdict.verdict is not Verdict.REPEATED:
            self._remember(verdict)
        return verdict

    def apply_relayed(self, version: int, record: bytes) -> bool:
        """Process a manifest relayed by a peer and return whether it came into force.

        The peer has already accepted it. A version that is not above the one in force is ignored.
        Reading of the stream continues after the relayed record.

        :raises ValueError: when the record is not a publication of a valid document
        """
        if version <= self.version:
            return False
        self._current = manifest_from_record(version, record)
        self._read_offset = max(self._read_offset, version)
        return True

    def restore(
        self,
        current: AcceptedManifest | None,
        read_offset: int,
        verdicts: Iterable[PublicationVerdict],
    ) -> None:
        """Restore the state of a snapshot; reading continues after ``read_offset``."""
        self._current = current
        self._read_offset = read_offset
        self._verdicts = OrderedDict((verdict.publication_id, verdict) for verdict in verdicts)

    def _evaluate(self, offset: int, publication: Publication, data: bytes) -> PublicationVerdict:
        if publication.base != self.version:
            # REPEATED only explains the rejection. Every reader rejects the publication because of
            # its base, even one that no longer keeps the verdict on the earlier record.
            is_repeated = publication.id in self._verdicts
            verdict = Verdict.REPEATED if is_repeated else Verdict.BASE_OUTDATED
            return PublicationVerdict(offset, publication.id, verdict)
        try:
            manifest = manifest_from_document(publication.document)
        except ManifestError as error:
            return PublicationVerdict(offset, publication.id, Verdict.INVALID, error.faults)
        self._current = AcceptedManifest(offset, manifest, data)
        return PublicationVerdict(offset, publication.id, Verdict.ACCEPTED)

    def _remember(self, verdict: PublicationVerdict) -> None:
        self._verdicts[verdict.publication_id] = verdict
        while len(self._verdicts) > MAX_REMEMBERED_VERDICTS:
            self._verdicts.popitem(last=False)
