"""Command ``manifest check``; it neither uses nor imports the log client."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import msgspec

from dotterelhill.commands.output import print_json, print_table
from dotterelhill.commands.status import CommandError, ExitStatus
from dotterelhill.manifest.validation import Fault, ManifestError, manifest_from_document


@dataclass(frozen=True, slots=True)
class CheckReport:
    """Result of ``manifest check``.

    :param valid: whether the document may be published
    """

    valid: bool
    faults: tuple[Fault, ...]


def read_document(file: Path) -> object:
    """Return the parsed content of a manifest file.

    :raises CommandError: when the file can't be read or is not JSON
    """
    try:
        return msgspec.json.decode(file.read_bytes())
    except OSError as error:
        raise CommandError(ExitStatus.WRONG_USE, f"{file}: {error.strerror}") from None
    except msgspec.DecodeError as error:
        raise CommandError(ExitStatus.REFUSED, f"{file}: not JSON: {error}") from None


def find_faults(document: object) -> tuple[Fault, ...]:
    """Return every fault of a manifest document."""
    try:
        manifest_from_document(document)
    except ManifestError as error:
        return error.faults
    return ()


def print_check_result(faults: tuple[Fault, ...], json: bool) -> int:
    """Print whether a document with these faults may be published and return the exit status."""
    if json:
        print_json(CheckReport(not faults, faults))
    elif faults:
        print(f"refused: {len(faults)} faults")
        print_table([(f"  {fault.path}", fault.reason) for fault in faults])
    else:
        print("valid")
    return ExitStatus.REFUSED if faults else ExitStatus.DONE


def check(file: Path, json: bool) -> int:
    """Run ``manifest check`` and return its exit status."""
    return print_check_result(find_faults(read_document(file)), json)
