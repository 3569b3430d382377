"""Write the tables of the documentation pages from the code and the feature files.

A table stands between ``<!-- table NAME -->`` and ``<!-- end -->``. A test compares the pages with
the code.
"""

from __future__ import annotations

import re
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

from dotterelhill.commands.status import EXIT_MEANINGS
from dotterelhill.core import ERROR_ANSWERS, ErrorKind
from dotterelhill.entry.metrics import METRICS
from dotterelhill.entry.settings import (
    EntrySettings,
    accepted_values,
    flag_of,
    is_secret,
    variable_of,
)

ROOT = Path(__file__).resolve().parent.parent
OPERATORS_PAGE = ROOT / "docs" / "operators.md"
GUARANTEES_PAGE = ROOT / "docs" / "guarantees.md"
PAGES = (OPERATORS_PAGE, GUARANTEES_PAGE)
_SCENARIO = re.compile(
    r"^ +@(?P<tags>[^\n]+)\n +Scenario(?: Outline)?: (?P<name>[^\n]+)", re.MULTILINE
)
_TABLE = re.compile(r"(<!-- table (?P<name>[\w-]+) -->\n).*?(<!-- end -->)", re.DOTALL)

ERROR_MEANINGS: dict[ErrorKind, str] = {
    ErrorKind.BAD_REQUEST: "the request is not valid HTTP or is incomplete; correct the caller",
    ErrorKind.HEAD_TOO_LARGE: "shorten the headers",
    ErrorKind.BODY_TOO_LARGE: "the body is above the limit of the service",
    ErrorKind.UNKNOWN_SERVICE: "no service of the manifest has this path prefix",
    ErrorKind.UNAUTHORIZED: "a forwarded request without a valid signature; compare the keys",
    ErrorKind.MEMBER_LIMIT: "the member is at its voted rate or in-flight limit",
    ErrorKind.OVERLOADED: "the request would wait longer than half its deadline",
    ErrorKind.NO_MINION: "no minion of the service can be used from here; see `/state`",
    ErrorKind.DEADLINE_BEFORE_DISPATCH: "the deadline passed while the request waited",
    ErrorKind.CONNECT_FAILED: "no minion accepted a connection",
    ErrorKind.LOG_UNAVAILABLE: "a key chosen by the caller can't be claimed while the log is down",
    ErrorKind.SHUTTING_DOWN: "this process is stopping; the balancer should send no more requests",
    ErrorKind.NOT_READY: "this process has no manifest or has not read the ledger yet",
    ErrorKind.KEY_MISMATCH: "the key was used before for a different request",
    ErrorKind.KEY_IN_PROGRESS: "a request with this key is in progress; repeat the request later",
    ErrorKind.KEY_HOLDER_GONE: "the process that had the key is gone; the work may have run",
    ErrorKind.DEADLINE_AFTER_DISPATCH: "the minion had the request when the deadline passed",
    ErrorKind.MINION_CONNECTION_LOST: "the minion's connection broke during the request",
    ErrorKind.MINION_SILENT: "the minion sent nothing for a quarter of the deadline",
    ErrorKind.ANSWER_TRUNCATED: "the minion's answer ended early; the caller got a part",
    ErrorKind.UPLOAD_ABORTED: "the caller stopped sending the body",
    ErrorKind.INTERNAL: "an internal error of dotterelhill; see the log of this process",
}


def _table_lines(headings: Sequence[str], rows: Sequence[Sequence[str]]) -> Iterator[str]:
    yield "| " + " | ".join(headings) + " |"
    yield "|" + "---|" * len(headings)
    for row in rows:
        yield "| " + " | ".join(cell.replace("|", "\\|") for cell in row) + " |"


def _settings_rows() -> list[tuple[str, ...]]:
    rows: list[tuple[str, ...]] = []
    for name, info in EntrySettings.model_fields.items():
        default = "required" if info.is_required() else f"`{info.default}`" if info.default else ""
        meaning = f"{info.description}{' (secret)' if is_secret(name) else ''}"
        flag = f"`{flag_of(name)}`"
        rows.append((flag, f"`{variable_of(name)}`", meaning, accepted_values(name), default))
    return rows


def _error_rows() -> list[tuple[str, ...]]:
    rows: list[tuple[str, ...]] = []
    for kind, answer in ERROR_ANSWERS.items():
        wait = f"{answer.retry_after_seconds} s" if answer.retry_after_seconds else ""
        status = str(answer.status)
        rows.append((f"`{kind}`", status, str(answer.outcome), wait, ERROR_MEANINGS[kind]))
    return rows


def _scenario_rows(tag: str) -> list[tuple[str, ...]]:
    rows: list[tuple[str, ...]] = []
    for feature in sorted(ROOT.glob("[!.]*/**/tests/*.feature")):
        for found in _SCENARIO.finditer(feature.read_text()):
            if f"@{tag}" in f"@{found['tags']}".split():
                rows.append((found["name"], f"`{feature.relative_to(ROOT)}`"))
    return rows


def markdown_table(name: str) -> str:
    """Return one table in Markdown.

    :raises ValueError: if no table has this name
    """
    headings: tuple[str, ...]
    rows: list[tuple[str, ...]]
    match name:
        case "settings":
            headings = ("flag", "variable", "meaning", "accepted", "default")
            rows = _settings_rows()
        case "errors":
            headings = ("kind", "status", "outcome", "Retry-After", "meaning")
            rows = _error_rows()
        case "statuses":
            headings = ("status", "name", "meaning")
            rows = [(str(key.value), key.name, text) for key, text in EXIT_MEANINGS.items()]
        case "metrics":
            headings = ("name", "kind", "unit", "meaning", "label")
            rows = [
                (f"`{item.name}`", str(item.kind), item.unit, item.meaning, item.label)
                for item in METRICS
            ]
        case _ if name.startswith("scenarios-"):
            headings = ("failure that the scenario guards against", "feature")
            rows = _scenario_rows(name.removeprefix("scenarios-"))
        case _:
            raise ValueError(f"the documentation has no table {name!r}")
    return "\n".join(_table_lines(headings, rows)) + "\n"


def page_with_tables(text: str) -> str:
    """Return the text of a page with every table regenerated from the code."""
    return _TABLE.sub(lambda found: found[1] + markdown_table(found["name"]) + found[3], text)


def main() -> int:
    """Rewrite the tables of all pages and return the exit status."""
    for page in PAGES:
        page.write_text(page_with_tables(page.read_text()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
