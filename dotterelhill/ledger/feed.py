"""Follows the ``control`` stream and keeps the ledger."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import logbook
import mode

from dotterelhill.core import waited_seconds
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
# Spreads the processes' Adopt records, so that usually the first one is read before the next is
# sent; most of the 1 s is never waited, since the first of several random delays counts.
ADOPT_JITTER_SECONDS = 1.0
# An Adopt that did not come back by then is appended again.
ADOPT_RETRY_SECONDS = 10.0
# Only a process that has just read the log adopts, not one that is catching up.
ADOPT_EVIDENCE_SECONDS = 3.0
# Bundles records at the scheduler's 10 appends a second into one read.
CONTROL_SPACING_SECONDS = 0.1
RECENT_RECORDS = 4096
RELAY_RECORDS = 500

_logger = logbook.Logger("ledger")


@dataclass(frozen=True, slots=True)
class FeedUpdate:
    """What listeners are told after records were folded or the evidence became newer.

    :param verdicts: verdicts on the records, in order
    :param evidence_at: loop time up to which every control record is folded
    :param is_restored: whether the ledger was replaced by that of a snapshot; holdings and tasks
        may then have changed without a verdict
    """

    verdicts: tuple[RecordVerdict, ...]
    evidence_at: float
    is_restored: bool = False


@dataclass(frozen=True, slots=True)
class ControlRelay:
    """Control records for a peer that can't read the log.

    :param after: the records are all those after this offset and up to the last one
    """

    after: int
    records: tuple[LogRecord, ...]


class ControlFeed(mode.Service):
    """Reader of ``control``; restores from a snapshot first and starts the feed of ``config``.

    The ledger is replaced when the state is restored again, so callers take it from
    :attr:`ledger` each time.

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
        self._state_wanted = asyncio.Event()
        self._adopt_wanted = asyncio.Event()
        self._adopt_sent_version = 0
        self._adopt_sent_at = float("-inf")
        # Received records that are not folded, because one waits for its manifest.
        self._waiting: deque[LogRecord] = deque()
        self._received = 0
        self._next_offset = 1
        self._recent: deque[LogRecord] = deque()
        self._recent_after = 0
        self._read_evidence = float("-inf")
        self._evidence_at = float("-inf")
        self._listeners: list[Callable[[FeedUpdate], None]] = []
        config.add_progress_listener(self._on_config_progress)
        self.add_dependency(config)

    @property
    def ledger(self) -> Ledger:
        """Return the present ledger."""
        return self._ledger

    @property
    def evidence_at(self) -> float:
        """Return the loop time up to which every control record is folded."""
        return self._evidence_at

    @property
    def read_evidence_at(self) -> float:
        """Return the loop time before the newest read that this process itself sent."""
        return self._read_evidence

    @property
    def is_restored(self) -> bool:
        """Return whether there is a state to serve from; it may be older than the log."""
        return self._is_restored

    @property
    def is_deciding(self) -> bool:
        """Return whether the verdict of every received record is known."""
        return self._is_restored and not self._ledger.is_stopped and not self._waiting

    @property
    def problem(self) -> str:
        """Return why the ledger is missing or does not follow the log; empty when it does."""
        if self._ledger.is_stopped:
            return f"a control record has the newer version {self._ledger.newer_version}"
        if self._waiting:
            return "a control record waits for its manifest"
        return self._problem

    def add_listener(self, listener: Callable[[FeedUpdate], None]) -> None:
        """Call ``listener`` after each fold."""
        self._listeners.append(listener)

    def encoded_state(self) -> bytes | None:
        """Return the state as a snapshot, for a peer or the log; None when it is not whole."""
        if not self.is_deciding:
            return None
        return encode_snapshot(self._ledger, self._next_offset, self._config.config_state)

    def accept_state(self, data: bytes) -> bool:
        """Return whether the state of a peer was taken over.

        It is taken when this process has none, or when the log no longer keeps what is missing.
        """
        if not self._needs_state():
            return False
        try:
            content = decode_snapshot(data)
        except SnapshotError as error:
            self._note_problem(f"the state of a peer can't be used: {error}")
            return False
        return self._is_taken(content)

    def relay_after(self, offset: int) -> ControlRelay | None:
        """Return records after ``offset`` for a peer; None when they are no longer kept here."""
        if offset < self._recent_after:
            return None
        records = [record for record in self._recent if record.offset > offset]
        return ControlRelay(offset, tuple(records[:RELAY_RECORDS]))

    def accept_relay(self, relay: ControlRelay) -> bool:
        """Return whether records that a peer relayed were new and had no gap before them."""
        if not self._is_restored or relay.after > self._received:
            return False
        received = self._received
        self._receive(relay.records)
        if self._trimmed_to and self._next_offset >= self._trimmed_to and self._tail is not None:
            self._trimmed_to = 0
            self._problem = ""
            self._tail.seek(self._next_offset)
        self._drain()
        return self._received > received

    def accept_evidence(self, read_offset: int, age_seconds: float, asked_at: float) -> None:
        """Take over evidence that a peer relayed.

        :param read_offset: the peer's ``ledger.read_offset`` when it answered
        :param age_seconds: age of the peer's evidence when it answered
        :param asked_at: loop time here before the message was sent that the peer answered; a
            message that was under way for long then counts as old
        """
        if not self._is_restored or self._ledger.read_offset < read_offset:
            return
        evidence_at = asked_at - waited_seconds(age_seconds)
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
            # Frees the chunks and the content; a later restore reads the stream again.
            self._snapshots = SnapshotReader(self._log)
            await self._follow()
            self._state_wanted.clear()
            await self._state_wanted.wait()

    @mode.Service.task
    async def _adopt(self) -> None:
        while not self.should_stop:
            await self._adopt_wanted.wait()
            await self.sleep(self._rng.uniform(0, ADOPT_JITTER_SECONDS))
            self._adopt_wanted.clear()
            self._append_adopts()

    async def _try_restore(self) -> None:
        try:
            await self._restore()
        except LogError as error:
            self._note_problem(f"the log can't be read: {error}")

    async def _restore(self) -> None:
        content = await self._snapshots.newest()
        if content is not None and self._needs_state() and self._is_taken(content):
            return
        if self._is_restored or not self._needs_state():
            return
        for stream in (CONTROL_STREAM, CONFIG_STREAM):
            if await is_beginning_trimmed(self._log, stream):
                self._note_problem(f"{stream} is past retention and no snapshot reaches it")
                return
        if self._needs_state():
            self._start_from(Ledger(self._manifest_at), ConfigState(), 1)

    def _needs_state(self) -> bool:
        return not self._is_restored or self._trimmed_to > 0 or self._config.trimmed_to > 0

    def _is_taken(self, content: SnapshotContent) -> bool:
        is_short = (
            content.control_next < self._trimmed_to
            or content.config.next_offset < self._config.trimmed_to
        )
        if is_short:
            self._note_problem(f"snapshot at {content.control_offset} is older than the log keeps")
            return False
        try:
            config = restored_config(content)
            if self._is_restored and not self._trimmed_to:
                self._take_config(config)
                return True
            ledger = restored_ledger(content, config, self._manifest_at)
        except SnapshotError as error:
            self._note_problem(f"snapshot can't be used: {error}")
            return False
        self._start_from(ledger, config, content.control_next)
        return True

    def _take_config(self, config: ConfigState) -> None:
        # Only config was trimmed: the ledger follows control and may be ahead of the snapshot.
        self._config.restore(config)
        self._config.forget_before(self._ledger.adopted_version)
        self._problem = ""
        self._drain()

    def _start_from(self, ledger: Ledger, config: ConfigState, control_next: int) -> None:
        self._ledger = ledger
        self._is_restored = True
        self._trimmed_to = 0
        self._problem = ""
        self._waiting.clear()
        self._recent.clear()
        self._recent_after = self._received = ledger.read_offset
        self._next_offset = control_next
        self._read_evidence = self._evidence_at = float("-inf")
        _logger.info("state restored: control_offset={}", ledger.read_offset)
        if self._tail is not None:
            self._tail.seek(control_next)
        self._config.restore(config)
        self._state_wanted.set()
        self._notify((), is_restored=True)

    async def _follow(self) -> None:
        await self._config.begin()
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
            self._read_evidence = read.evidence_at
        self._drain()

    def _on_trimmed(self, earliest: int) -> None:
        self._trimmed_to = earliest
        self._note_problem(f"control is past retention before offset {earliest}")
        self._state_wanted.set()

    def _on_config_progress(self) -> None:
        if self._config.trimmed_to:
            self._note_problem(f"config is past retention before {self._config.trimmed_to}")
            self._state_wanted.set()
        if self._waiting:
            self._drain()
        if self._is_adopt_due():
            self._adopt_wanted.set()

    def _receive(self, records: tuple[LogRecord, ...]) -> None:
        for record in records:
            if record.offset <= self._received:
                continue
            self._waiting.append(record)
            self._received = record.offset
            self._next_offset = max(self._next_offset, record.offset + 1)

    def _drain(self) -> None:
        verdicts = []
        adopted = self._ledger.adopted_version
        was_stopped = self._ledger.is_stopped
        while self._waiting:
            verdict = self._ledger.apply(self._waiting[0].offset, self._waiting[0].data)
            if verdict.kind in (VerdictKind.WAITS_FOR_MANIFEST, VerdictKind.NEWER_VERSION):
                break
            self._remember(self._waiting.popleft())
            verdicts.append(verdict)
        if self._ledger.is_stopped and not was_stopped:
            _logger.error("ledger stopped: newer_version={}", self._ledger.newer_version)
        if self._ledger.adopted_version != adopted:
            self._config.forget_before(self._ledger.adopted_version)
        is_newer = not self._waiting and self._read_evidence > self._evidence_at
        if is_newer:
            self._evidence_at = self._read_evidence
        if verdicts or is_newer:
            self._notify(tuple(verdicts))

    def _remember(self, record: LogRecord) -> None:
        self._recent.append(record)
        if len(self._recent) > RECENT_RECORDS:
            self._recent_after = self._recent.popleft().offset

    def _is_adopt_due(self) -> bool:
        missing = self._config.accepted_after(self._ledger.adopted_version)
        now = self.loop.time()
        if not missing or not self.is_deciding or now - self._evidence_at > ADOPT_EVIDENCE_SECONDS:
            return False
        is_new = missing[-1].version > self._adopt_sent_version
        return is_new or now - self._adopt_sent_at >= ADOPT_RETRY_SECONDS

    def _append_adopts(self) -> None:
        if not self._is_adopt_due():
            return
        # Every version is adopted in order, also those that were replaced meanwhile: a job that
        # one of them left out is a different job when it is declared again.
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
