"""Age of the evidence of the log and of the promises made by peers of the same domain."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass

EVIDENCE_SECONDS = 10.0
PROMISE_SECONDS = 10.0
# Limit on evidence and promises kept until their records are folded; the oldest are dropped first.
MAX_PENDING_ITEMS = 256


@dataclass(frozen=True, slots=True)
class _PendingItem:
    """Evidence or a promise that takes effect once ``through`` is folded.

    :param at: loop time from which its age is counted
    :param sender: incarnation that made the promise; empty for evidence
    """

    through: int
    at: float
    sender: str


class Authority:
    """Newest evidence and promises, timestamped with this process's own clock.

    Evidence or a promise takes effect only after this process has folded every record that its
    source had folded. Otherwise this process could miss a superseding ``Hold`` that the source has
    folded.
    """

    def __init__(self) -> None:
        self._folded_offset = 0
        self._evidence_at = float("-inf")
        self._promised_at: dict[str, float] = {}
        self._pending: deque[_PendingItem] = deque(maxlen=MAX_PENDING_ITEMS)

    @property
    def folded_offset(self) -> int:
        """Return the offset up to which ``control`` is folded."""
        return self._folded_offset

    @property
    def evidence_at(self) -> float:
        """Return the loop time of the newest usable evidence; minus infinity for none."""
        return self._evidence_at

    def set_folded_offset(self, through: int) -> None:
        """Record that ``control`` is folded up to an offset and apply what was pending on it."""
        self._folded_offset = max(self._folded_offset, through)
        still_pending = [item for item in self._pending if item.through > self._folded_offset]
        for item in self._pending:
            if item.through <= self._folded_offset:
                self._apply(item)
        self._pending = deque(still_pending, maxlen=MAX_PENDING_ITEMS)

    def add_evidence(self, at: float, through: int) -> None:
        """Add evidence of loop time ``at`` that shows the log up to offset ``through``."""
        self._add(_PendingItem(through, at, ""))

    def add_promise(self, sender: str, at: float, through: int) -> None:
        """Add a promise that ``sender`` made at loop time ``at`` or later."""
        self._add(_PendingItem(through, at, sender))

    def has_evidence(self, now: float, seconds: float = EVIDENCE_SECONDS) -> bool:
        """Return whether the newest evidence is at most ``seconds`` old."""
        return now - self._evidence_at <= seconds

    def has_promises_of(self, incarnations: Collection[str], now: float) -> bool:
        """Return whether each incarnation has made a promise that has not expired."""
        oldest = now - PROMISE_SECONDS
        return all(self._promised_at.get(name, float("-inf")) >= oldest for name in incarnations)

    def remove_promise(self, incarnation: str) -> None:
        """Remove the promise of an incarnation that has ended."""
        self._promised_at.pop(incarnation, None)

    def _add(self, item: _PendingItem) -> None:
        if item.through <= self._folded_offset:
            self._apply(item)
            return
        self._pending.append(item)

    def _apply(self, item: _PendingItem) -> None:
        if not item.sender:
            self._evidence_at = max(self._evidence_at, item.at)
            return
        previous_at = self._promised_at.get(item.sender, float("-inf"))
        self._promised_at[item.sender] = max(previous_at, item.at)
