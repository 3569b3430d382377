"""Exception that ends a walk when an invariant is broken."""

from __future__ import annotations


class InvariantBrokenError(Exception):
    """Raised when an invariant of docs/design.md, section 1.3, does not hold.

    :param invariant: behave tag of the invariant, or a similar name if it has no tag
    :param detail: description of the event that broke it
    """

    def __init__(self, invariant: str, detail: str) -> None:
        super().__init__(f"{invariant}: {detail}")
        self.invariant = invariant
        self.detail = detail
