"""Output of commands as aligned text or JSON."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec


def print_json(value: object) -> None:
    """Print ``value`` as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value, enc_hook=str), indent=2).decode())


def table_lines(rows: Sequence[Sequence[str]]) -> list[str]:
    """Return one line for each row, with aligned columns.

    >>> table_lines([("a", "b"), ("long", "c")])
    ['a     b', 'long  c']
    """
    if not rows:
        return []
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]


def print_table(rows: Sequence[Sequence[str]]) -> None:
    """Print rows with aligned columns."""
    for line in table_lines(rows):
        print(line)
