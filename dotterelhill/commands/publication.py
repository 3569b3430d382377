"""Publishing of a manifest: append, read the verdict back, retry after a lost acknowledgement."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import msgspec

from dotterelhill.commands.admin_client import InitialManifest
from dotterelhill.commands.status import CommandError, ExitStatus
from dotterelhill.log.interface import Log, LogError, LogTrimmedError
from dotterelhill.manifest.history import ManifestHistory, Publication, PublicationVerdict, Verdict

CONFIG_STREAM = "config"
FIRST_OFFSET = 1
READ_LIMIT = 1000
RETRY_INTERVAL_SECONDS = 1.0
# Longer than the 5 s of a slow log and a few lost answers; an operator waits for the command.
DEFAULT_WAIT_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class PublishReport:
    """Outcome of one publication.

    :param base: version that the document was made from
    :param verdict: verdict that every reader of the log reaches; None when no verdict was read
    :param version: version in force when the outcome was read
    :param winner: first publication accepted after ``base``, unless this one was accepted
    :param attempts: number of appends; 0 when the id had a verdict or the base was outdated before
    """

    publication_id: str
    base: int
    verdict: PublicationVerdict | None
    version: int
    winner: PublicationVerdict | None
    attempts: int


class ConfigReader:
    """Reader that folds the ``config`` stream into a history.

    :param log: log that has the stream
    :param initial_manifest: manifest with which the history starts; needed when the log has
        trimmed the stream
    """

    def __init__(self, log: Log, initial_manifest: InitialManifest | None = None) -> None:
        self._log = log
        self._next_offset = FIRST_OFFSET
        self.history = ManifestHistory()
        if initial_manifest is not None:
            self.history.apply_relayed(initial_manifest.version, initial_manifest.record)
            self._next_offset = initial_manifest.read_offset + 1

    async def read_to_end(self) -> None:
        """Read all records up to the end of the stream.

        :raises LogTrimmedError: when records that decide the verdicts are past retention
        :raises LogError: when the log can't be reached
        """
        while True:
            result = await self._log.read(CONFIG_STREAM, self._next_offset, limit=READ_LIMIT)
            for record in result.records:
                self.history.apply(record.offset, record.data)
                self._next_offset = record.offset + 1
            if not result.records or self._next_offset >= result.next_offset:
                return

    def accepted_after(self, base: int) -> PublicationVerdict | None:
        """Return the first publication accepted after version ``base``, or None."""
        for verdict in self.history.verdicts:
            if verdict.verdict is Verdict.ACCEPTED and verdict.offset > base:
                return verdict
        return None


def trimmed_error(error: LogTrimmedError) -> CommandError:
    """Return the error of a command that needs older records than the log keeps."""
    return CommandError(
        ExitStatus.UNREACHABLE,
        f"the config stream begins at offset {error.earliest_offset}, earlier records are past "
        "retention; give --entry HOST:PORT, the admin port of a ready entry process",
    )


def _create_report(reader: ConfigReader, publication: Publication, attempts: int) -> PublishReport:
    verdict = reader.history.verdict_of(publication.id)
    is_accepted = verdict is not None and verdict.verdict is Verdict.ACCEPTED
    winner = None if is_accepted else reader.accepted_after(publication.base)
    return PublishReport(
        publication.id, publication.base, verdict, reader.history.version, winner, attempts
    )


async def _append_until_decided(
    log: Log, reader: ConfigReader, publication: Publication, deadline: float
) -> PublishReport:
    """Append a publication until it has a verdict or its base is outdated.

    A second append of the same id is safe: its base is outdated once the first was accepted.

    :param deadline: loop time after which no further attempt is made
    :raises CommandError: when no verdict could be read by the deadline
    """
    loop = asyncio.get_running_loop()
    data = msgspec.json.encode(publication)
    attempts, is_effect_possible = 0, False
    while True:
        try:
            attempts += 1
            await log.append(CONFIG_STREAM, [data])
            is_effect_possible = True
        except LogError as error:
            is_effect_possible |= error.is_effect_unknown
            failure = error
        else:
            failure = LogError("the publication was appended but could not be read back")
        try:
            await reader.read_to_end()
        except LogError as error:
            failure = error
        else:
            has_verdict = reader.history.verdict_of(publication.id) is not None
            if has_verdict or reader.history.version != publication.base:
                return _create_report(reader, publication, attempts)
        if loop.time() + RETRY_INTERVAL_SECONDS > deadline:
            raise _unconfirmed_error(publication, is_effect_possible, failure)
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)


def _unconfirmed_error(
    publication: Publication, is_effect_possible: bool, failure: LogError
) -> CommandError:
    if not is_effect_possible:
        return CommandError(ExitStatus.UNREACHABLE, f"not published: {failure}")
    return CommandError(
        ExitStatus.UNKNOWN,
        f"publication {publication.id} may have taken effect: {failure}; repeat the command with "
        f"--base {publication.base} --id {publication.id}",
    )


def _check_id_reuse(reader: ConfigReader, publication: Publication) -> None:
    current = reader.history.current
    if current is None:
        return
    earlier = msgspec.json.decode(current.record, type=Publication)
    if earlier.id == publication.id and earlier.document != publication.document:
        message = (
            f"publication id {earlier.id} belongs to version {current.version}, whose document"
        )
        raise CommandError(ExitStatus.REFUSED, f"{message} differs from the file")


async def publish(
    log: Log,
    document: object,
    publication_id: str,
    *,
    base: int | None = None,
    initial_manifest: InitialManifest | None = None,
    wait_seconds: float = DEFAULT_WAIT_SECONDS,
) -> PublishReport:
    """Publish a valid document and return its outcome as read back from the log.

    :param publication_id: random id; that of the earlier command when it is repeated
    :param base: version that the document was made from; the version in force when None
    :param initial_manifest: manifest with which the history starts when the stream is trimmed
    :param wait_seconds: seconds for which appends and reads are repeated
    :raises CommandError: when the log can't be reached, the outcome stays unknown, or the id
        belongs to another document
    """
    deadline = asyncio.get_running_loop().time() + wait_seconds
    reader = ConfigReader(log, initial_manifest)
    await _read_existing_history(reader)
    base = reader.history.version if base is None else base
    publication = Publication(publication_id, base, document)
    is_already_decided = reader.history.verdict_of(publication_id) is not None
    _check_id_reuse(reader, publication)
    if is_already_decided or base != reader.history.version:
        return _create_report(reader, publication, attempts=0)
    return await _append_until_decided(log, reader, publication, deadline)


async def _read_existing_history(reader: ConfigReader) -> None:
    try:
        await reader.read_to_end()
    except LogTrimmedError as error:
        raise trimmed_error(error) from None
    except LogError as error:
        raise CommandError(ExitStatus.UNREACHABLE, f"not published: {error}") from None
