"""Reader of the ``control`` stream that maintains the ledger."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import logbook
import mode

from dotterelhill.core import safe_wait_seconds
from dotterelhill.ledger.fold import Ledger, VersionNotAcceptedError
from dotterelhill.ledger.records import Adopt, encode_record
from dotterelhill.ledger.restoring import SnapshotReader, is_beginning_trimmed
from dotterelhill.ledger.snapshot import (
    SnapshotContent,
    SnapshotError,
    decode_snapshot,
    encode_snapshot,
    restored_config,
    restored_ledger,
)
from dotterelhill.ledger.verdict import RecordVerdict, VerdictKind
from dotterelhill.log import (
    AppendQueueFullError,
    Log,
    LogError,
    LogRecord,
    LogTail,
    TailRead,
)
from dotterelhill.log.backoff import Backoff
from dotterelhill.manifest import Manifest
from dotterelhill.manifest.feed import CONFIG_STREAM, ConfigFeed, ConfigState

CONTROL_STREAM = "control"
# Spreads the Adopt records of the processes, so that usually the first one is read before the next
# is sent. Adoption rarely takes the whole 1 s, because the shortest of the random delays decides.
ADOPT_JITTER_SECONDS = 1.0
# An Adopt that was not read back within this time is appended again.
ADOPT_RETRY_SECONDS = 10.0
# A process appends Adopt records only while its evidence is at most this old, so not while it
# catches up with the log.
ADOPT_EVIDENCE_SECONDS = 3.0
# Minimum time between reads; combines the records of the scheduler's 10 appends a second.
CONTROL_SPACING_SECONDS = 0.1
RECENT_RECORDS = 4096
RELAY_RECORDS = 500

_logger = logbook.Logger("ledger")


@dataclass(frozen=True, slots=True)
class FeedUpdate:
    """Notification to listeners that records were folded or that the evidence is newer.

    :param verdicts: verdicts on the folded records, in order
    :param evidence_at: loop time up to which every control record is folded
    :param is_restored: whether the ledger was replaced by that of a snapshot; holdings and tasks
        may then have changed without a verdict
    """

    verdicts: tuple[RecordVerdict, ...]
    evidence_at: float
    is_restored: bool = False


@dataclass(frozen=True, slots=True)
class ControlRelay:
    """Control records for a peer that cannot read the log.

    :param after: offset before the first record
    :param records: consecutive records of the stream after that offset
    """

    after: int
    records: tuple[LogRecord, ...]


class ControlFeed(mode.Service):
    """Reader of ``control`` that first restores a snapshot and then starts the feed of ``config``.

    A later restore replaces the ledger object, so callers must read :attr:`ledger` on each use.

    :param append: queues a record for ``control``, usually ``BatchedAppender.submit``
    """

    def __init__(
        self,
        log: Log,
        config: ConfigFeed,
        *,
        append: Callable[[bytes], None],
        rng: random.Random | None = None,
    ) -> None:
        super().__init__()
        self._log = log
        self._config = config
        self._append = append
        self._rng = rng or random.Random()
        self._backoff = Backoff(self._rng)
        self._ledger = Ledger(self._manifest_at)
        self._snapshots = SnapshotReader(log)
        self._tail: LogTail | None = None
        self._is_restored = False
        self._trimmed_to = 0
        self._problem = "no state was read yet"
        self._state_needed = asyncio.Event()
        self._adopt_needed = asyncio.Event()
        self._adopt_sent_version = 0
        self._adopt_sent_at = float("-inf")
        # Received records that are not folded yet, because the first one waits for its manifest.
        self._pending: deque[LogRecord] = deque()
        self._received_offset = 0
        self._next_offset = 1
        self._recent_records: deque[LogRecord] = deque()
        self._recent_after_offset = 0
        self._read_evidence_at = float("-inf")
        self._evidence_at = float("-inf")
        self._listeners: list[Callable[[FeedUpdate], None]] = []
        config.add_progress_listener(self._on_config_progress)
        self.add_dependency(config)

    @property
    def ledger(self) -> Ledger:
        """Return the current ledger."""
        return self._ledger

    @property
    def evidence_at(self) -> float:
        """Return the loop time up to which every control record is folded."""
        return self._evidence_at

    @property
    def read_evidence_at(self) -> float:
        """Return the loop time before this process sent its newest complete read of the log."""
        return self._read_evidence_at

    @property
    def is_restored(self) -> bool:
        """Return whether a state was restored; it may be behind the log."""
        return self._is_restored

    @property
    def is_deciding(self) -> bool:
        """Return whether the verdict of every received record is known."""
        return self._is_restored and not self._ledger.is_stopped and not self._pending

    @property
    def problem(self) -> str:
        """Return why the ledger is missing or does not follow the log; empty if it does."""
        if self._ledger.is_stopped:
            return f"a control record has the newer version {self._ledger.newer_version}"
        if self._pending:
            return "a control record waits for its manifest"
        return self._problem

    def add_listener(self, listener: Callable[[FeedUpdate], None]) -> None:
        """Register a listener for each :class:`FeedUpdate`."""
        self._listeners.append(listener)

    def encoded_state(self) -> bytes | None:
        """Return the state as a snapshot for a peer or the log; None if it is incomplete."""
        if not self.is_deciding:
            return None
        return encode_snapshot(self._ledger, self._next_offset, self._config.config_state)

    def accept_state(self, data: bytes) -> bool:
        """Restore the state of a peer and return whether it was used.

        It is used if this process has no state, or if the log no longer has the records that this
        process lacks.
        """
        if not self._needs_state():
            return False
        try:
            content = decode_snapshot(data)
        except SnapshotError as error:
            self._note_problem(f"the state of a peer can't be used: {error}")
            return False
        return self._restore_from(content)

    def relay_after(self, offset: int) -> ControlRelay | None:
        """Return the records after ``offset`` for a peer; None if some are no longer kept here."""
        if offset < self._recent_after_offset:
            return None
        records = [record for record in self._recent_records if record.offset > offset]
        return ControlRelay(offset, tuple(records[:RELAY_RECORDS]))

    def accept_relay(self, relay: ControlRelay) -> bool:
        """Fold records relayed by a peer; return whether any was new.

        Records that leave a gap after those already received are rejected.
        """
        if not self._is_restored or relay.after > self._received_offset:
            return False
        received_before = self._received_offset
        self._receive(relay.records)
        if self._trimmed_to and self._next_offset >= self._trimmed_to and self._tail is not None:
            self._trimmed_to = 0
            self._problem = ""
            self._tail.seek(self._next_offset)
        self._fold_pending()
        return self._received_offset > received_before

    def accept_evidence(self, read_offset: int, age_seconds: float, asked_at: float) -> None:
        """Use evidence relayed by a peer.

        :param read_offset: the peer's ``ledger.read_offset`` when it answered
        :param age_seconds: age of the peer's evidence when it answered
        :param asked_at: loop time of this process before it sent the message that the peer
            answered; the time in transit then adds to the age of the evidence
        """
        if not self._is_restored or self._ledger.read_offset < read_offset:
            return
        evidence_at = asked_at - safe_wait_seconds(age_seconds)
        if evidence_at > self._evidence_at:
            self._evidence_at = evidence_at
            self._notify(())

    @mode.Service.task
    async def _keep_state(self) -> None:
        while not self.should_stop:
            if self._needs_state():
                await self._try_restore()
            if self._needs_state():
                await self.sleep(self._backoff.next_seconds())
                continue
            self._backoff.reset()
            # Frees the memory of the snapshot; a later restore reads the stream again.
            self._snapshots = SnapshotReader(self._log)
            await self._follow()
            self._state_needed.clear()
            await self._state_needed.wait()

    @mode.Service.task
    async def _adopt(self) -> None:
        while not self.should_stop:
            await self._adopt_needed.wait()
            await self.sleep(self._rng.uniform(0, ADOPT_JITTER_SECONDS))
            self._adopt_needed.clear()
            self._append_adopts()

    async def _try_restore(self) -> None:
        try:
            await self._restore()
        except LogError as error:
            self._note_problem(f"the log can't be read: {error}")

    async def _restore(self) -> None:
        content = await self._snapshots.newest()
        if content is not None and self._needs_state() and self._restore_from(content):
            return
        if self._is_restored or not self._needs_state():
            return
        for stream in (CONTROL_STREAM, CONFIG_STREAM):
            if await is_beginning_trimmed(self._log, stream):
                self._note_problem(f"{stream} is past retention and no snapshot reaches it")
                return
        if self._needs_state():
            self._replace_state(Ledger(self._manifest_at), ConfigState(), 1)

    def _needs_state(self) -> bool:
        return not self._is_restored or self._trimmed_to > 0 or self._config.trimmed_to > 0

    def _restore_from(self, content: SnapshotContent) -> bool:
        is_outdated = (
            content.control_next < self._trimmed_to
            or content.config.next_offset < self._config.trimmed_to
        )
        if is_outdated:
            self._note_problem(f"snapshot at {content.control_offset} is older than the log keeps")
            return False
        try:
            config = restored_config(content)
            if self._is_restored and not self._trimmed_to:
                self._restore_config(config)
                return True
            ledger = restored_ledger(content, config, self._manifest_at)
        except SnapshotError as error:
            self._note_problem(f"snapshot can't be used: {error}")
            return False
        self._replace_state(ledger, config, content.control_next)
        return True

    def _restore_config(self, config: ConfigState) -> None:
        # Only config was trimmed: the ledger follows control and may be ahead of the snapshot.
        self._config.restore(config)
        self._config.forget_before(self._ledger.adopted_version)
        self._problem = ""
        self._fold_pending()

    def _replace_state(self, ledger: Ledger, config: ConfigState, control_next: int) -> None:
        self._ledger = ledger
        self._is_restored = True
        self._trimmed_to = 0
        self._problem = ""
        self._pending.clear()
        self._recent_records.clear()
        self._recent_after_offset = self._received_offset = ledger.read_offset
        self._next_offset = control_next
        self._read_evidence_at = self._evidence_at = float("-inf")
        _logger.info("ledger state restored: control_offset={}", ledger.read_offset)
        if self._tail is not None:
            self._tail.seek(control_next)
        self._config.restore(config)
        self._state_needed.set()
        self._notify((), is_restored=True)

    async def _follow(self) -> None:
        await self._config.start_following()
        if self._tail is not None:
            return
        self._tail = LogTail(
            self._log,
            CONTROL_STREAM,
            self._next_offset,
            on_read=self._on_read,
            on_trimmed=self._on_trimmed,
            spacing_seconds=CONTROL_SPACING_SECONDS,
            rng=self._rng,
        )
        await self.add_runtime_dependency(self._tail)

    def _manifest_at(self, version: int) -> Manifest | None:
        try:
            accepted = self._config.manifest_at(version)
        except LookupError as error:
            raise VersionNotAcceptedError(str(error)) from None
        return accepted.manifest if accepted else None

    def _on_read(self, read: TailRead) -> None:
        self._receive(read.records)
        if read.is_complete:
            self._next_offset = max(self._next_offset, read.next_offset)
            self._read_evidence_at = read.evidence_at
        self._fold_pending()

    def _on_trimmed(self, earliest: int) -> None:
        self._trimmed_to = earliest
        self._note_problem(f"control is past retention before offset {earliest}")
        self._state_needed.set()

    def _on_config_progress(self) -> None:
        if self._config.trimmed_to:
            self._note_problem(f"config is past retention before {self._config.trimmed_to}")
            self._state_needed.set()
        if self._pending:
            self._fold_pending()
        if self._is_adopt_due():
            self._adopt_needed.set()

    def _receive(self, records: tuple[LogRecord, ...]) -> None:
        for record in records:
            if record.offset <= self._received_offset:
                continue
            self._pending.append(record)
            self._received_offset = record.offset
            self._next_offset = max(self._next_offset, record.offset + 1)

    def _fold_pending(self) -> None:
        verdicts = []
        adopted_before = self._ledger.adopted_version
        was_stopped = self._ledger.is_stopped
        while self._pending:
            verdict = self._ledger.apply(self._pending[0].offset, self._pending[0].data)
            if verdict.kind in (VerdictKind.WAITS_FOR_MANIFEST, VerdictKind.NEWER_VERSION):
                break
            self._keep_recent(self._pending.popleft())
            verdicts.append(verdict)
        if self._ledger.is_stopped and not was_stopped:
            _logger.error(
                "ledger stopped at a control record of a newer version: newer_version={}",
                self._ledger.newer_version,
            )
        if self._ledger.adopted_version != adopted_before:
            self._config.forget_before(self._ledger.adopted_version)
        is_newer = not self._pending and self._read_evidence_at > self._evidence_at
        if is_newer:
            self._evidence_at = self._read_evidence_at
        if verdicts or is_newer:
            self._notify(tuple(verdicts))

    def _keep_recent(self, record: LogRecord) -> None:
        self._recent_records.append(record)
        if len(self._recent_records) > RECENT_RECORDS:
            self._recent_after_offset = self._recent_records.popleft().offset

    def _is_adopt_due(self) -> bool:
        unadopted = self._config.accepted_after(self._ledger.adopted_version)
        now = self.loop.time()
        if (
            not unadopted
            or not self.is_deciding
            or now - self._evidence_at > ADOPT_EVIDENCE_SECONDS
        ):
            return False
        is_new = unadopted[-1].version > self._adopt_sent_version
        return is_new or now - self._adopt_sent_at >= ADOPT_RETRY_SECONDS

    def _append_adopts(self) -> None:
        if not self._is_adopt_due():
            return
        # Every version is adopted in order, including those replaced meanwhile: a job that one of
        # them does not declare is a different job when a later version declares it again.
        for manifest in self._config.accepted_after(self._ledger.adopted_version):
            record = Adopt(manifest_version=manifest.version, digest=manifest.digest)
            try:
                self._append(encode_record(record))
            except AppendQueueFullError:
                return
            self._adopt_sent_version = manifest.version
            self._adopt_sent_at = self.loop.time()

    def _note_problem(self, problem: str) -> None:
        if problem != self._problem:
            _logger.warning("ledger does not follow the log: {}", problem)
        self._problem = problem

    def _notify(self, verdicts: tuple[RecordVerdict, ...], *, is_restored: bool = False) -> None:
        update = FeedUpdate(verdicts, self._evidence_at, is_restored)
        for listener in self._listeners:
            listener(update)
