"""Feed of the ``config`` stream, which maintains the manifest in force."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import logbook
import mode

from dotterelhill.core import safe_wait_seconds
from dotterelhill.log import Log, LogTail, TailRead
from dotterelhill.manifest.history import (
    AcceptedManifest,
    ManifestHistory,
    PublicationVerdict,
    Verdict,
    manifest_from_record,
)

CONFIG_STREAM = "config"

_logger = logbook.Logger("manifest")


@dataclass(frozen=True, slots=True)
class ConfigState:
    """State of the feed that snapshots contain.

    :param next_offset: offset of the next record to read
    :param read_offset: offset of the last record that was read
    :param manifests: accepted manifests in ascending order of version, from the adopted one on
    :param verdicts: kept verdicts, oldest first
    """

    next_offset: int = 1
    read_offset: int = 0
    manifests: tuple[AcceptedManifest, ...] = ()
    verdicts: tuple[PublicationVerdict, ...] = ()


class ConfigFeed(mode.Service):
    """Service that follows the ``config`` stream; implements ``ManifestView``.

    The manifest in force is the one with the highest version that was read here or relayed by a
    peer. The history is built only from records read in order from the log, so that its verdicts
    are the same as those of every other reader.
    """

    def __init__(self, log: Log, *, rng: random.Random | None = None) -> None:
        super().__init__()
        self._log = log
        self._rng = rng
        self._history = ManifestHistory()
        self._accepted: dict[int, AcceptedManifest] = {}
        self._relayed: dict[int, AcceptedManifest] = {}
        self._in_force: AcceptedManifest | None = None
        self._next_offset = 1
        self._trimmed_to = 0
        self._evidence_at = float("-inf")
        self._tail: LogTail | None = None
        self._listeners: list[Callable[[AcceptedManifest], None]] = []
        self._progress_listeners: list[Callable[[], None]] = []
        self._refused_relays = 0

    @property
    def current(self) -> AcceptedManifest | None:
        """Return the manifest in force, or None before the first one."""
        return self._in_force

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first one."""
        return self._in_force.version if self._in_force else 0

    @property
    def evidence_at(self) -> float:
        """Return the loop time up to which every accepted manifest is known."""
        return self._evidence_at

    @property
    def history(self) -> ManifestHistory:
        """Return the verdicts on the publications read from the log."""
        return self._history

    @property
    def trimmed_to(self) -> int:
        """Return the earliest retained offset if the next record was trimmed; otherwise 0."""
        return self._trimmed_to

    @property
    def refused_relays(self) -> int:
        """Return the number of relayed records that were no valid manifests."""
        return self._refused_relays

    @property
    def config_state(self) -> ConfigState:
        """Return the state that a snapshot must contain."""
        manifests = tuple(self._accepted[version] for version in sorted(self._accepted))
        return ConfigState(
            self._next_offset, self._history.read_offset, manifests, self._history.verdicts
        )

    def add_listener(self, listener: Callable[[AcceptedManifest], None]) -> None:
        """Register a callback that receives each manifest that comes into force."""
        self._listeners.append(listener)

    def add_progress_listener(self, listener: Callable[[], None]) -> None:
        """Register a callback for new records, new evidence and trimming of ``config``."""
        self._progress_listeners.append(listener)

    def manifest_at(self, version: int) -> AcceptedManifest | None:
        """Return the accepted manifest of a version, or None while it is not known here.

        :raises LookupError: when the stream was read up to this version and does not contain it
        """
        known = self._accepted.get(version) or self._relayed.get(version)
        if known is None and version <= self._history.read_offset:
            raise LookupError(f"no accepted manifest has version {version}")
        return known

    def accepted_after(self, version: int) -> list[AcceptedManifest]:
        """Return the manifests read from the log with versions above ``version``, in order."""
        return [self._accepted[key] for key in sorted(self._accepted) if key > version]

    def forget_before(self, version: int) -> None:
        """Drop the manifests below ``version``, once this version was adopted."""
        for manifests in (self._accepted, self._relayed):
            for key in [key for key in manifests if key < version]:
                del manifests[key]

    def restore(self, state: ConfigState) -> None:
        """Restore the state of a snapshot, but never an older version of the manifest in force."""
        newest = state.manifests[-1] if state.manifests else None
        self._history.restore(newest, state.read_offset, state.verdicts)
        self._accepted = {manifest.version: manifest for manifest in state.manifests}
        self._next_offset = state.next_offset
        self._trimmed_to = 0
        if self._tail is not None:
            self._tail.seek(state.next_offset)
        if newest is not None:
            self._put_in_force(newest)

    async def start_following(self) -> None:
        """Start following the stream, after the state was restored."""
        if self._tail is not None:
            return
        self._tail = LogTail(
            self._log,
            CONFIG_STREAM,
            self._next_offset,
            on_read=self._on_read,
            on_trimmed=self._on_trimmed,
            rng=self._rng,
        )
        await self.add_runtime_dependency(self._tail)

    def accept_relayed(self, version: int, record: bytes) -> bool:
        """Process a manifest relayed by a peer and return whether it came into force.

        :param record: complete record of the publication, which the peer accepted
        """
        if version <= self.version:
            return False
        try:
            manifest = manifest_from_record(version, record)
        except ValueError:
            self._refused_relays += 1
            return False
        self._relayed[version] = manifest
        self._put_in_force(manifest)
        self._notify_progress()
        return True

    def accept_evidence(self, version: int, age_seconds: float, asked_at: float) -> None:
        """Adopt the evidence of a peer, unless the peer has a newer manifest.

        :param version: the peer's version in force when it answered
        :param age_seconds: age of the peer's evidence when it answered
        :param asked_at: local loop time just before sending the message that the peer answered,
            so that the time in transit adds to the age of the evidence
        """
        if self.version < version:
            return
        self._evidence_at = max(self._evidence_at, asked_at - safe_wait_seconds(age_seconds))

    def _on_read(self, read: TailRead) -> None:
        for record in read.records:
            verdict = self._history.apply(record.offset, record.data)
            current = self._history.current
            if verdict is None or verdict.verdict is not Verdict.ACCEPTED or current is None:
                continue
            self._accepted[current.version] = current
            self._put_in_force(current)
        if read.records:
            self._next_offset = read.records[-1].offset + 1
        if read.is_complete:
            self._next_offset = read.next_offset
            self._evidence_at = max(self._evidence_at, read.evidence_at)
        self._notify_progress()

    def _on_trimmed(self, earliest: int) -> None:
        self._trimmed_to = earliest
        self._notify_progress()

    def _put_in_force(self, manifest: AcceptedManifest) -> None:
        if manifest.version <= self.version:
            return
        self._in_force = manifest
        _logger.info("manifest in force: version={}", manifest.version)
        _notify_listeners(self._listeners, manifest)

    def _notify_progress(self) -> None:
        for listener in self._progress_listeners:
            listener()


def _notify_listeners(
    listeners: Iterable[Callable[[AcceptedManifest], None]], manifest: AcceptedManifest
) -> None:
    for listener in listeners:
        listener(manifest)
