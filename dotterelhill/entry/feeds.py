"""Followers of the ``config`` and ``control`` streams."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from random import Random

import mode

from dotterelhill.ledger import (
    Adopt,
    Ledger,
    RecordVerdict,
    VerdictKind,
    VersionNotAcceptedError,
    encode_record,
)
from dotterelhill.log.appender import BatchedAppender
from dotterelhill.log.interface import Log, LogRecord
from dotterelhill.log.tail import LogTail, TailRead
from dotterelhill.manifest import AcceptedManifest, Manifest, ManifestHistory, Verdict

CONFIG_STREAM = "config"
CONTROL_STREAM = "control"
LARGEST_ADOPT_DELAY_SECONDS = 0.5


class ConfigFeed(mode.Service):
    """Follows ``config``; implements ``ManifestView``."""

    def __init__(self, log: Log, random: Random) -> None:
        super().__init__()
        self._history = ManifestHistory()
        self._accepted: dict[int, Manifest] = {}
        self._announced_version = 0
        self._evidence_at = float("-inf")
        self._listeners: list[Callable[[AcceptedManifest], None]] = []
        self._tail = LogTail(
            log, CONFIG_STREAM, 1, on_read=self._take, on_trimmed=self._skip, rng=random
        )

    @property
    def current(self) -> AcceptedManifest | None:
        """Return the manifest in force, or None before the first."""
        return self._history.current

    @property
    def evidence_at(self) -> float:
        """Return the loop time up to which every accepted manifest is known."""
        return self._evidence_at

    @property
    def history(self) -> ManifestHistory:
        """Return the fold of the stream."""
        return self._history

    def on_change(self, listener: Callable[[AcceptedManifest], None]) -> None:
        """Call ``listener`` with each manifest that comes into force."""
        self._listeners.append(listener)

    def manifest_at(self, version: int) -> Manifest | None:
        """Return the accepted manifest of a version, or None while it is not read.

        :raises VersionNotAcceptedError: when the stream shows that the version was refused
        """
        if version in self._accepted:
            return self._accepted[version]
        if version <= self._history.read_offset:
            raise VersionNotAcceptedError(version)
        return None

    def apply_relayed(self, version: int, record: bytes) -> None:
        """Take a manifest that a peer relayed."""
        if self._history.apply_relayed(version, record):
            self._announce()

    async def on_start(self) -> None:
        """Start to follow the stream."""
        await self.add_runtime_dependency(self._tail)

    def _skip(self, earliest_offset: int) -> None:
        self._tail.seek(earliest_offset)

    def _take(self, read: TailRead) -> None:
        for record in read.records:
            verdict = self._history.apply(record.offset, record.data)
            if verdict is not None and verdict.verdict is Verdict.ACCEPTED:
                self._take_accepted()
        if read.is_complete:
            self._evidence_at = read.evidence_at

    def _take_accepted(self) -> None:
        folded = self._history.folded
        assert folded is not None
        self._accepted[folded.version] = folded.manifest
        # A relayed manifest may be in force already.
        if folded.version > self._announced_version:
            self._announce()

    def _announce(self) -> None:
        current = self._history.current
        assert current is not None
        self._accepted[current.version] = current.manifest
        self._announced_version = current.version
        for listener in self._listeners:
            listener(current)


class ControlFeed(mode.Service):
    """Follows ``control`` and folds the ledger."""

    def __init__(
        self, log: Log, config: ConfigFeed, appender: BatchedAppender, random: Random
    ) -> None:
        super().__init__()
        self._config = config
        self._appender = appender
        self._random = random
        self._ledger = Ledger(config.manifest_at)
        self._evidence_at = float("-inf")
        self._waiting: list[LogRecord] = []
        self._on_verdict: list[Callable[[RecordVerdict], None]] = []
        self._on_evidence: list[Callable[[float, int], None]] = []
        self._tail = LogTail(
            log, CONTROL_STREAM, 1, on_read=self._take, on_trimmed=self._trimmed, rng=random
        )
        config.on_change(self._adopt_later)

    @property
    def ledger(self) -> Ledger:
        """Return the fold of the stream."""
        return self._ledger

    @property
    def evidence_at(self) -> float:
        """Return the loop time up to which every control record is known."""
        return self._evidence_at

    @property
    def is_caught_up(self) -> bool:
        """Return whether the whole stream has been read once."""
        return self._evidence_at > float("-inf")

    def on_verdict(self, listener: Callable[[RecordVerdict], None]) -> None:
        """Call ``listener`` with the verdict on each folded record."""
        self._on_verdict.append(listener)

    def on_evidence(self, listener: Callable[[float, int], None]) -> None:
        """Call ``listener`` after each read with its time and the stream's last offset."""
        self._on_evidence.append(listener)

    async def on_start(self) -> None:
        """Start to follow the stream."""
        await self.add_runtime_dependency(self._tail)

    def _trimmed(self, earliest_offset: int) -> None:
        self.log.error("control stream is trimmed before %d", earliest_offset)

    def _take(self, read: TailRead) -> None:
        self._waiting.extend(read.records)
        self._fold()
        if read.is_complete and not self._waiting:
            self._evidence_at = read.evidence_at
        for listener in self._on_evidence:
            listener(read.evidence_at, read.next_offset - 1)

    def _fold(self) -> None:
        while self._waiting:
            record = self._waiting[0]
            verdict = self._ledger.apply(record.offset, record.data)
            if verdict.kind in (VerdictKind.WAITS_FOR_MANIFEST, VerdictKind.NEWER_VERSION):
                return
            self._waiting.pop(0)
            for listener in self._on_verdict:
                listener(verdict)

    def _adopt_later(self, accepted: AcceptedManifest) -> None:
        self._fold()
        self.add_future(self._adopt(accepted))

    async def _adopt(self, accepted: AcceptedManifest) -> None:
        await self.sleep(self._random.uniform(0.0, LARGEST_ADOPT_DELAY_SECONDS))
        if self._ledger.adopted_version >= accepted.version:
            return
        digest = hashlib.sha256(accepted.record).hexdigest()
        record = Adopt(manifest_version=accepted.version, digest=digest)
        self._appender.submit(encode_record(record))
