"""Follows the ``config`` stream and keeps the manifest in force."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import logbook
import mode

from dotterelhill.core import waited_seconds
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
    """State of the feed, as snapshots carry it.

    :param next_offset: offset of the first record that was not read
    :param read_offset: offset of the last record that was read
    :param manifests: accepted manifests by rising version, from the adopted one on
    :param verdicts: remembered verdicts, oldest first
    """

    next_offset: int = 1
    read_offset: int = 0
    manifests: tuple[AcceptedManifest, ...] = ()
    verdicts: tuple[PublicationVerdict, ...] = ()


class ConfigFeed(mode.Service):
    """Reader of ``config``; implements ``ManifestView``.

    The manifest in force is the highest version that was read here or relayed by a peer. The
    history is read from the log only and in order, so that its verdicts are those of every reader.
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
        """Return the manifest in force, or None before the first."""
        return self._in_force

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first."""
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
        """Return the earliest offset that the log keeps when the wanted one is gone; else 0."""
        return self._trimmed_to

    @property
    def refused_relays(self) -> int:
        """Return the number of relayed records that are not valid manifests."""
        return self._refused_relays

    @property
    def config_state(self) -> ConfigState:
        """Return what a snapshot must carry."""
        manifests = tuple(self._accepted[version] for version in sorted(self._accepted))
        return ConfigState(
            self._next_offset, self._history.read_offset, manifests, self._history.verdicts
        )

    def add_listener(self, listener: Callable[[AcceptedManifest], None]) -> None:
        """Call ``listener`` with each manifest that comes into force."""
        self._listeners.append(listener)

    def add_progress_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever more of ``config`` is known or it was found trimmed."""
        self._progress_listeners.append(listener)

    def manifest_at(self, version: int) -> AcceptedManifest | None:
        """Return the accepted manifest of a version, or None while it is not known here.

        :raises LookupError: when the stream was read that far and shows no such version
        """
        known = self._accepted.get(version) or self._relayed.get(version)
        if known is None and version <= self._history.read_offset:
            raise LookupError(f"no accepted manifest has version {version}")
        return known

    def accepted_after(self, version: int) -> list[AcceptedManifest]:
        """Return the manifests read from the log that are above ``version``, in order."""
        return [self._accepted[key] for key in sorted(self._accepted) if key > version]

    def forget_before(self, version: int) -> None:
        """Drop the manifests that are below ``version``, after it was adopted."""
        for manifests in (self._accepted, self._relayed):
            for key in [key for key in manifests if key < version]:
                del manifests[key]

    def restore(self, state: ConfigState) -> None:
        """Take the state of a snapshot; the manifest in force never gets an older version."""
        newest = state.manifests[-1] if state.manifests else None
        self._history.restore(newest, state.read_offset, state.verdicts)
        self._accepted = {manifest.version: manifest for manifest in state.manifests}
        self._next_offset = state.next_offset
        self._trimmed_to = 0
        if self._tail is not None:
            self._tail.seek(state.next_offset)
        if newest is not None:
            self._put_in_force(newest)

    async def begin(self) -> None:
        """Start to follow the stream, after the state was restored."""
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
        """Return whether a manifest that a peer relayed came into force.

        :param record: the whole record of the publication, which the peer found accepted
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
        """Take over evidence that a peer relayed.

        :param version: the peer's version in force when it answered
        :param age_seconds: age of the peer's evidence when it answered
        :param asked_at: loop time here before the message was sent that the peer answered; a
            message that was under way for long then counts as old
        """
        if self.version < version:
            return
        self._evidence_at = max(self._evidence_at, asked_at - waited_seconds(age_seconds))

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
        _call_all(self._listeners, manifest)

    def _notify_progress(self) -> None:
        for listener in self._progress_listeners:
            listener()


def _call_all(
    listeners: Iterable[Callable[[AcceptedManifest], None]], manifest: AcceptedManifest
) -> None:
    for listener in listeners:
        listener(manifest)
