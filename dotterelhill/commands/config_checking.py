"""Command ``config check``."""

from __future__ import annotations

from pathlib import Path

from dotterelhill.commands.output import print_json, print_table
from dotterelhill.commands.status import CommandError, ExitStatus
from dotterelhill.platform.config_check import UnreadableConfigError, check_config


def check(file: Path, against: Path | None, json: bool) -> int:
    """Run ``config check`` and return its exit status.

    :param against: file with the configuration in force; None for none
    """
    data = _read(file)
    earlier = None if against is None else _read(against)
    try:
        report = check_config(data, earlier)
    except UnreadableConfigError as error:
        raise CommandError(ExitStatus.WRONG_USE, f"configuration: {error}") from None
    if json:
        print_json(report)
    else:
        print(f"{len(report.findings)} findings" if report.findings else "no findings")
        print_table([(f"  {finding.location}", finding.reason) for finding in report.findings])
        if against is not None:
            print(f"{len(report.differences)} differences")
            print_table(
                [
                    (f"  {item.subject}", item.change, item.takes_effect)
                    for item in report.differences
                ]
            )
    return ExitStatus.REFUSED if report.findings else ExitStatus.DONE


def _read(file: Path) -> bytes:
    try:
        return file.read_bytes()
    except OSError as error:
        raise CommandError(ExitStatus.WRONG_USE, f"{file}: {error.strerror}") from None
