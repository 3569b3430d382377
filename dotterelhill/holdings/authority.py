"""What a holder may rely on: evidence of the log, and promises of the peers of its domain."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass

EVIDENCE_SECONDS = 10.0
PROMISE_SECONDS = 10.0
# Evidence and promises that wait for records to be folded; older ones are replaced by newer.
WAITING_LIMIT = 256


@dataclass(frozen=True, slots=True)
class _Waiting:
    """Evidence (no sender) or a promise that is used once ``through`` is folded."""

    through: int
    at: float
    sender: str


class Authority:
    """Evidence and promises, both counted from times of this process's own clock.

    Evidence or a promise counts only when everything its source had folded is folded here too:
    otherwise a superseding ``Hold`` that the source knows could be missed.
    """

    def __init__(self) -> None:
        self._through = 0
        self._evidence_at = float("-inf")
        self._promised_at: dict[str, float] = {}
        self._waiting: deque[_Waiting] = deque(maxlen=WAITING_LIMIT)

    @property
    def through(self) -> int:
        """Return the offset up to which ``control`` is folded."""
        return self._through

    @property
    def evidence_at(self) -> float:
        """Return the loop time of the newest evidence; minus infinity for none."""
        return self._evidence_at

    def fold(self, through: int) -> None:
        """Note that ``control`` is folded up to an offset."""
        self._through = max(self._through, through)
        still_waiting = [item for item in self._waiting if item.through > self._through]
        for item in self._waiting:
            if item.through <= self._through:
                self._use(item)
        self._waiting = deque(still_waiting, maxlen=WAITING_LIMIT)

    def add_evidence(self, at: float, through: int) -> None:
        """Add evidence of loop time ``at`` that showed the log up to ``through``."""
        self._add(_Waiting(through, at, ""))

    def add_promise(self, sender: str, at: float, through: int) -> None:
        """Add a promise that was made at loop time ``at`` or later."""
        self._add(_Waiting(through, at, sender))

    def has_evidence(self, now: float, seconds: float = EVIDENCE_SECONDS) -> bool:
        """Return whether the newest evidence is at most ``seconds`` old."""
        return now - self._evidence_at <= seconds

    def has_promises_of(self, incarnations: Collection[str], now: float) -> bool:
        """Return whether each incarnation has made a promise that still holds."""
        oldest = now - PROMISE_SECONDS
        return all(self._promised_at.get(one, float("-inf")) >= oldest for one in incarnations)

    def forget(self, incarnation: str) -> None:
        """Drop the promise of an incarnation that has ended."""
        self._promised_at.pop(incarnation, None)

    def _add(self, item: _Waiting) -> None:
        if item.through <= self._through:
            self._use(item)
            return
        self._waiting.append(item)

    def _use(self, item: _Waiting) -> None:
        if not item.sender:
            self._evidence_at = max(self._evidence_at, item.at)
            return
        before = self._promised_at.get(item.sender, float("-inf"))
        self._promised_at[item.sender] = max(before, item.at)
