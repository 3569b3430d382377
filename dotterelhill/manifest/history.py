"""Fold of the ``config`` stream: which publication is accepted at which offset."""

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

# Verdicts that are remembered to answer operators and to recognise repeated publications.
REMEMBERED_PUBLICATIONS = 4096


class Publication(msgspec.Struct, frozen=True):
    """Record of the ``config`` stream.

    :param id: random publication id; a repeat after a lost acknowledgement has the same
    :param base: version that the document was made from; 0 for the first
    """

    id: str
    base: int
    document: Any


class Verdict(StrEnum):
    """What became of a publication."""

    ACCEPTED = "accepted"
    INVALID = "invalid"
    BASE_OUTDATED = "base_outdated"
    REPEATED = "repeated"


@dataclass(frozen=True, slots=True)
class PublicationVerdict:
    """Verdict for the publication at one offset, the same for every reader."""

    offset: int
    publication_id: str
    verdict: Verdict
    faults: tuple[Fault, ...] = ()


@dataclass(frozen=True, slots=True)
class AcceptedManifest:
    """A manifest in force.

    :param version: offset of its record in the ``config`` stream; 0 means none
    :param record: bytes of the record, as relayed to peers that can't read the log
    """

    version: int
    manifest: Manifest
    record: bytes

    @property
    def digest(self) -> str:
        """Return the hex SHA-256 of the record, as an ``Adopt`` names it."""
        return hashlib.sha256(self.record).hexdigest()


def manifest_from_record(version: int, record: bytes) -> AcceptedManifest:
    """Return an accepted manifest from the bytes of its record.

    :raises ValueError: when the record is not a publication of a valid document
    """
    publication = msgspec.json.decode(record, type=Publication)
    return AcceptedManifest(version, manifest_from_document(publication.document), record)


class ManifestHistory:
    """Fold of the ``config`` stream; the verdict depends only on the records before."""

    def __init__(self) -> None:
        self._current: AcceptedManifest | None = None
        self._read_offset = 0
        self._verdicts: OrderedDict[str, PublicationVerdict] = OrderedDict()

    @property
    def current(self) -> AcceptedManifest | None:
        """Return the manifest in force, or None before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first."""
        return self._current.version if self._current else 0

    @property
    def read_offset(self) -> int:
        """Return the offset of the last record that was folded."""
        return self._read_offset

    def verdict_of(self, publication_id: str) -> PublicationVerdict | None:
        """Return the verdict for a publication id, if it is still remembered."""
        return self._verdicts.get(publication_id)

    @property
    def verdicts(self) -> tuple[PublicationVerdict, ...]:
        """Return the remembered verdicts, oldest first."""
        return tuple(self._verdicts.values())

    def apply(self, offset: int, data: bytes) -> PublicationVerdict | None:
        """Return the verdict for the record at ``offset``.

        :returns: None when the record was folded before or can't be decoded
        """
        if offset <= self._read_offset:
            return None
        self._read_offset = offset
        try:
            publication = msgspec.json.decode(data, type=Publication)
        except (msgspec.DecodeError, RecursionError):
            # Nesting deep enough for RecursionError is in no valid document.
            return None
        verdict = self._judge(offset, publication, data)
        if verdict.verdict is not Verdict.REPEATED:
            self._remember(verdict)
        return verdict

    def apply_relayed(self, version: int, record: bytes) -> bool:
        """Return whether a manifest relayed by a peer is now in force.

        The peer has judged it; a lower version than the one in force is ignored. Reading of the
        stream goes on after the relayed record.
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
        """Take the state of a snapshot; reading goes on after ``read_offset``."""
        self._current = current
        self._read_offset = read_offset
        self._verdicts = OrderedDict((verdict.publication_id, verdict) for verdict in verdicts)

    def _judge(self, offset: int, publication: Publication, data: bytes) -> PublicationVerdict:
        if publication.base != self.version:
            # Only names the reason: every reader rejects on the base, also one that has forgotten
            # the earlier record.
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
        while len(self._verdicts) > REMEMBERED_PUBLICATIONS:
            self._verdicts.popitem(last=False)
