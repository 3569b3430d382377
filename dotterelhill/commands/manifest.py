"""Commands ``manifest publish`` and ``manifest show``."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from dotterelhill.commands.admin_client import InitialManifest, fetch_manifest
from dotterelhill.commands.checking import find_faults, print_check_result, read_document
from dotterelhill.commands.output import print_json, print_table
from dotterelhill.commands.publication import (
    ConfigReader,
    PublishReport,
    publish,
    trimmed_error,
)
from dotterelhill.commands.status import CommandError, ExitStatus
from dotterelhill.log.interface import Log, LogError, LogTrimmedError
from dotterelhill.manifest.document import Manifest
from dotterelhill.manifest.history import Publication, PublicationVerdict, Verdict
from dotterelhill.manifest.validation import manifest_from_document

SHOWN_REJECTIONS = 10

ResultT = TypeVar("ResultT")


@dataclass(frozen=True, slots=True)
class ManifestReport:
    """Result of ``manifest show``.

    :param version: version in force
    :param publication_id: id of the publication that is in force
    :param document: manifest document in force
    :param rejections: newest refused publications, in the order of the log
    """

    version: int
    publication_id: str
    document: Any
    rejections: tuple[PublicationVerdict, ...]


async def _with_log(log_url: str, use: Callable[[Log], Awaitable[ResultT]]) -> ResultT:
    from dotterelhill.log.http import HttpLog

    log = HttpLog(log_url)
    try:
        return await use(log)
    finally:
        await log.close()


def _fetch_initial_manifest(entry: str) -> InitialManifest | None:
    return fetch_manifest(entry) if entry else None


def publish_file(
    file: Path, log_url: str, base: int | None, publication_id: str, entry: str, json: bool
) -> int:
    """Run ``manifest publish`` and return its exit status."""
    document = read_document(file)
    faults = find_faults(document)
    if faults:
        return print_check_result(faults, json)
    chosen_id = publication_id or secrets.token_hex(16)
    initial_manifest = _fetch_initial_manifest(entry)

    async def use(log: Log) -> PublishReport:
        return await publish(log, document, chosen_id, base=base, initial_manifest=initial_manifest)

    report = asyncio.run(_with_log(log_url, use))
    if json:
        print_json(report)
    else:
        print("\n".join(publish_lines(report)))
    is_accepted = report.verdict is not None and report.verdict.verdict is Verdict.ACCEPTED
    return ExitStatus.DONE if is_accepted else ExitStatus.REFUSED


def publish_lines(report: PublishReport) -> list[str]:
    """Return the outcome of a publication as lines of text."""
    verdict = report.verdict
    if verdict is not None and verdict.verdict is Verdict.ACCEPTED:
        lines = [f"accepted as version {verdict.offset} (publication {report.publication_id})"]
        if report.attempts > 1:
            lines.append(f"settled by reading the log back after {report.attempts} appends")
        if report.version != verdict.offset:
            lines.append(f"version {report.version} has replaced it since")
        return lines
    if verdict is not None and verdict.verdict is Verdict.INVALID:
        return ["refused by the readers of the log: invalid"] + [
            f"  {fault.path}: {fault.reason}" for fault in verdict.faults
        ]
    lines = [f"refused: made from version {report.base}, version {report.version} is in force"]
    if report.winner is not None:
        winner = report.winner
        lines.append(f"publication {winner.publication_id} won as version {winner.offset}")
    lines.append("compare with 'manifest show --document', then publish with the new --base")
    return lines


async def _read_history(log: Log, initial_manifest: InitialManifest | None) -> ConfigReader:
    reader = ConfigReader(log, initial_manifest)
    try:
        await reader.read_to_end()
    except LogTrimmedError as error:
        raise trimmed_error(error) from None
    except LogError as error:
        raise CommandError(ExitStatus.UNREACHABLE, str(error)) from None
    return reader


def manifest_report(reader: ConfigReader) -> ManifestReport | None:
    """Return the result of ``manifest show``, or None before the first manifest."""
    current = reader.history.current
    rejections = [v for v in reader.history.verdicts if v.verdict is not Verdict.ACCEPTED]
    if current is None:
        return None
    publication = msgspec.json.decode(current.record, type=Publication)
    return ManifestReport(
        current.version,
        publication.id,
        publication.document,
        tuple(rejections[-SHOWN_REJECTIONS:]),
    )


def _summary_rows(manifest: Manifest) -> list[tuple[str, str]]:
    domains = ", ".join(f"{name} {item.state}" for name, item in manifest.failure_domains.items())
    services = ", ".join(
        f"{name} ({len(item.minions)} minions)" for name, item in manifest.services.items()
    )
    return [
        ("members", ", ".join(manifest.members)),
        ("failure domains", domains),
        ("services", services),
        ("jobs", str(len(manifest.jobs))),
        ("lost workers", ", ".join(manifest.lost_workers) or "none"),
        ("autonomy", f"{manifest.autonomy_seconds:g} s"),
    ]


def _print_report(report: ManifestReport) -> None:
    rows = [("version", str(report.version)), ("publication", report.publication_id)]
    print_table(rows + _summary_rows(manifest_from_document(report.document)))
    for item in report.rejections:
        print(
            f"refused at offset {item.offset}: {item.verdict} (publication {item.publication_id})"
        )
        for fault in item.faults:
            print(f"  {fault.path}: {fault.reason}")


def show(log_url: str, entry: str, document: bool, json: bool) -> int:
    """Run ``manifest show`` and return its exit status."""
    initial_manifest = _fetch_initial_manifest(entry)

    async def use(log: Log) -> ConfigReader:
        return await _read_history(log, initial_manifest)

    report = manifest_report(asyncio.run(_with_log(log_url, use)))
    if report is None:
        raise CommandError(ExitStatus.REFUSED, "no manifest has been accepted yet")
    if document:
        print_json(report.document)
    elif json:
        print_json(report)
    else:
        _print_report(report)
    return ExitStatus.DONE
