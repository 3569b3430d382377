"""Publishing of a manifest: append, read the verdict back, settle a lost acknowledgement."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import msgspec

from dotterelhill.commands.admin_client import KnownManifest
from dotterelhill.commands.status import CommandError, ExitStatus
from dotterelhill.log.interface import Log, LogError, LogTrimmedError
from dotterelhill.manifest.history import ManifestHistory, Publication, PublicationVerdict, Verdict

CONFIG_STREAM = "config"
FIRST_OFFSET = 1
READ_LIMIT = 1000
RETRY_SECONDS = 1.0
# Above the 5 s of a slow log and a few lost answers; an operator waits for the command.
DEFAULT_WAIT_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class PublishReport:
    """What became of one publication.

    :param base: version that the document was made from
    :param version: version in force after the publication was judged
    :param winner: accepted publication that was made from the same base, if not this one
    :param attempts: appends that were sent; 0 when the base was outdated before
    """

    publication_id: str
    base: int
    verdict: PublicationVerdict | None
    version: int
    winner: PublicationVerdict | None
    attempts: int


class ConfigReader:
    """Reads the ``config`` stream into a history.

    :param known: start of the history where the stream is trimmed
    """

    def __init__(self, log: Log, known: KnownManifest | None = None) -> None:
        self._log = log
        self._next = FIRST_OFFSET
        self.history = ManifestHistory()
        if known is not None:
            self.history.apply_relayed(known.version, known.record)
            self._next = known.read_offset + 1

    async def read_to_end(self) -> None:
        """Read all records that the stream had when this was called.

        :raises LogTrimmedError: when records that decide the verdicts are past retention
        :raises LogError: when the log can't be reached
        """
        while True:
            result = await self._log.read(CONFIG_STREAM, self._next, limit=READ_LIMIT)
            for record in result.records:
                self.history.apply(record.offset, record.data)
                self._next = record.offset + 1
            if not result.records or self._next >= result.next_offset:
                return

    def winner_over(self, base: int) -> PublicationVerdict | None:
        """Return the publication that was accepted on ``base``."""
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


def _report(reader: ConfigReader, publication: Publication, attempts: int) -> PublishReport:
    verdict = reader.history.verdict_of(publication.id)
    is_accepted = verdict is not None and verdict.verdict is Verdict.ACCEPTED
    winner = None if is_accepted else reader.winner_over(publication.base)
    return PublishReport(
        publication.id, publication.base, verdict, reader.history.version, winner, attempts
    )


async def _append_until_judged(
    log: Log, reader: ConfigReader, publication: Publication, deadline: float
) -> PublishReport:
    """Append until the stream holds the publication or its base is outdated.

    A second append of the same id is harmless: its base is outdated once the first was accepted.
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
            is_judged = reader.history.verdict_of(publication.id) is not None
            if is_judged or reader.history.version != publication.base:
                return _report(reader, publication, attempts)
        if loop.time() + RETRY_SECONDS > deadline:
            raise _unsettled_error(publication, is_effect_possible, failure)
        await asyncio.sleep(RETRY_SECONDS)


def _unsettled_error(
    publication: Publication, is_effect_possible: bool, failure: LogError
) -> CommandError:
    if not is_effect_possible:
        return CommandError(ExitStatus.UNREACHABLE, f"not published: {failure}")
    return CommandError(
        ExitStatus.UNKNOWN,
        f"publication {publication.id} may have taken effect: {failure}; repeat the command with "
        f"--base {publication.base} --id {publication.id}",
    )


def _check_document_of_id(reader: ConfigReader, publication: Publication) -> None:
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
    known: KnownManifest | None = None,
    wait_seconds: float = DEFAULT_WAIT_SECONDS,
) -> PublishReport:
    """Return what became of a valid document, read back from the log.

    :param publication_id: random id; that of the earlier command when it is repeated
    :param base: version that the document was made from; the version in force when None
    :param wait_seconds: how long appends and reads are repeated
    :raises CommandError: when the log can't be reached or the outcome stays unknown
    """
    deadline = asyncio.get_running_loop().time() + wait_seconds
    reader = ConfigReader(log, known)
    await _read_before(reader)
    base = reader.history.version if base is None else base
    publication = Publication(publication_id, base, document)
    is_settled = reader.history.verdict_of(publication_id) is not None
    _check_document_of_id(reader, publication)
    if is_settled or base != reader.history.version:
        return _report(reader, publication, attempts=0)
    return await _append_until_judged(log, reader, publication, deadline)


async def _read_before(reader: ConfigReader) -> None:
    try:
        await reader.read_to_end()
    except LogTrimmedError as error:
        raise trimmed_error(error) from None
    except LogError as error:
        raise CommandError(ExitStatus.UNREACHABLE, f"not published: {error}") from None
