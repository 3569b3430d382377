"""Fold of the ``config`` stream: which publication is accepted at which offset."""

from __future__ import annotations

from collections import OrderedDict
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


class ManifestHistory:
    """Fold of the ``config`` stream; the verdict depends only on the records before.

    A relayed manifest may be in force before the stream is read up to it. It takes no part in the
    fold, so that every reader still learns each accepted version in between.
    """

    def __init__(self) -> None:
        self._folded: AcceptedManifest | None = None
        self._relayed: AcceptedManifest | None = None
        self._read_offset = 0
        self._verdicts: OrderedDict[str, PublicationVerdict] = OrderedDict()

    @property
    def current(self) -> AcceptedManifest | None:
        """Return the manifest in force, or None before the first."""
        if self._relayed is not None and self._relayed.version > self._folded_version:
            return self._relayed
        return self._folded

    @property
    def folded(self) -> AcceptedManifest | None:
        """Return the newest manifest that the fold has accepted, or None before the first."""
        return self._folded

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first."""
        current = self.current
        return current.version if current else 0

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
        self._skip_trimmed(offset)
        try:
            publication = msgspec.json.decode(data, type=Publication)
        except msgspec.DecodeError:
            return None
        verdict = self._judge(offset, publication, data)
        if verdict.verdict is not Verdict.REPEATED:
            self._remember(verdict)
        return verdict

    def apply_relayed(self, version: int, record: bytes) -> bool:
        """Return whether a manifest relayed by a peer is now in force.

        The peer has judged it; a lower version than the one in force is ignored. The stream is
        still read from where the fold is.
        """
        if version <= self.version:
            return False
        publication = msgspec.json.decode(record, type=Publication)
        manifest = manifest_from_document(publication.document)
        self._relayed = AcceptedManifest(version, manifest, record)
        return True

    @property
    def _folded_version(self) -> int:
        return self._folded.version if self._folded else 0

    def _skip_trimmed(self, offset: int) -> None:
        # A record beyond the relayed one without the relayed one before it: the stream is trimmed,
        # and what the peer judged takes the place of the records that are gone.
        if self._relayed is not None and offset > self._relayed.version > self._folded_version:
            self._folded = self._relayed

    def _judge(self, offset: int, publication: Publication, data: bytes) -> PublicationVerdict:
        if publication.base != self._folded_version:
            # Only names the reason: every reader rejects on the base, also one that has forgotten
            # the earlier record.
            is_repeated = publication.id in self._verdicts
            verdict = Verdict.REPEATED if is_repeated else Verdict.BASE_OUTDATED
            return PublicationVerdict(offset, publication.id, verdict)
        try:
            manifest = manifest_from_document(publication.document)
        except ManifestError as error:
            return PublicationVerdict(offset, publication.id, Verdict.INVALID, error.faults)
        self._folded = AcceptedManifest(offset, manifest, data)
        return PublicationVerdict(offset, publication.id, Verdict.ACCEPTED)

    def _remember(self, verdict: PublicationVerdict) -> None:
        self._verdicts[verdict.publication_id] = verdict
        while len(self._verdicts) > REMEMBERED_PUBLICATIONS:
            self._verdicts.popitem(last=False)
