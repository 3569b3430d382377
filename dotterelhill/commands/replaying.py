"""Command ``replay``."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import msgspec

from dotterelhill.commands.output import print_json
from dotterelhill.commands.status import CommandError, ExitStatus
from dotterelhill.replay.player import Player, ReplayReport
from dotterelhill.replay.slices import registered_slice
from dotterelhill.replay.trace import TraceError


def report_lines(report: ReplayReport) -> list[str]:
    """Return the result of a replay as lines of text."""
    lines = [f"slice {report.slice}: {report.events} events, {report.actions} actions"]
    if report.is_full:
        lines.append("the recording had stopped at its bound of bytes (trace_bytes)")
    if report.is_torn:
        lines.append("the last line was incomplete and was left out")
    breaks_by_outcome = {item.outcome: item for item in report.breaks}
    for name in report.checked:
        if name not in breaks_by_outcome:
            lines.append(f"kept    {name}")
            continue
        item = breaks_by_outcome[name]
        event = msgspec.json.encode(item.event).decode()
        lines.append(f"broken  {name}: {item.reason}")
        lines.append(f"  first at event {item.number}, {item.at:g} s: {item.event_type} {event}")
    return lines


def replay_file(trace: Path, expected: Sequence[str] | None, json: bool) -> int:
    """Run ``replay`` and return its exit status."""
    try:
        report = Player(trace.read_bytes(), registered_slice).play(expected)
    except OSError as error:
        raise CommandError(ExitStatus.WRONG_USE, f"{trace}: {error.strerror}") from None
    except TraceError as error:
        raise CommandError(ExitStatus.WRONG_USE, f"{trace}: {error}") from None
    if json:
        print_json(report)
    else:
        print("\n".join(report_lines(report)))
    return ExitStatus.REFUSED if report.breaks else ExitStatus.DONE
