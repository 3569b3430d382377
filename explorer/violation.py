"""The error that ends a walk."""

from __future__ import annotations


class InvariantBrokenError(Exception):
    """An invariant of docs/design.md, section 1.3, does not hold.

    :param invariant: its behave tag, or a name of the same kind
    :param detail: what was seen
    """

    def __init__(self, invariant: str, detail: str) -> None:
        super().__init__(f"{invariant}: {detail}")
        self.invariant = invariant
        self.detail = detail
