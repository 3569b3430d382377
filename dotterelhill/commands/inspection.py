"""Commands ``state dump`` and ``explain``."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

import msgspec

from dotterelhill.commands.admin_client import fetch_body
from dotterelhill.commands.output import table_lines
from dotterelhill.commands.status import ExitStatus


class ExplanationAnswer(msgspec.Struct):
    """Answer of ``/explain``, an encoded :class:`dotterelhill.entry.admin.Explanation`."""

    kind: str
    name: str
    condition: str
    reasons: list[str]
    facts: dict[str, Any]


def dump_state(address: str, json: bool) -> int:
    """Run ``state dump`` and return its exit status."""
    body = fetch_body(address, "/state")
    print((body if json else msgspec.json.format(body, indent=2)).decode())
    return ExitStatus.DONE


def explanation_lines(answer: ExplanationAnswer) -> list[str]:
    """Return the text of an explanation as lines.

    >>> explanation_lines(ExplanationAnswer("job", "sync", "pending", ["no worker fits"], {}))
    ['job sync: pending', '  no worker fits']
    """
    lines = [f"{answer.kind} {answer.name}: {answer.condition}"]
    lines += [f"  {reason}" for reason in answer.reasons]
    facts = [(f"  {name}", str(value)) for name, value in answer.facts.items()]
    return lines + table_lines(facts)


def explain(kind: str, name: str, address: str, json: bool) -> int:
    """Run ``explain`` and return its exit status."""
    body = fetch_body(address, f"/explain/{kind}/{quote(name)}")
    if json:
        print(body.decode())
    else:
        print("\n".join(explanation_lines(msgspec.json.decode(body, type=ExplanationAnswer))))
    return ExitStatus.DONE
