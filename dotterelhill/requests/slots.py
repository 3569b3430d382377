"""Requests in progress at each minion, with the slots of abandoned requests."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from dotterelhill.holdings import Permit

# Largest request deadline: after it the holder no longer counts an abandoned request.
RESERVED_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class Slot:
    """One taken slot of a minion."""

    number: int
    minion: str


class SlotTable:
    """Counts of one process for the minions that it holds.

    An abandoned request keeps its slot, since the minion may still work on it, until it is released
    or ``RESERVED_SECONDS`` have passed.
    """

    def __init__(self) -> None:
        self._taken: Counter[str] = Counter()
        self._slots: dict[int, Slot] = {}
        self._reserved_until: dict[int, float] = {}
        self._next_number = 1

    @property
    def in_flight(self) -> Mapping[str, int]:
        """Return the taken slots by minion, reserved ones included."""
        return self._taken

    @property
    def reserved(self) -> int:
        """Return how many slots belong to abandoned requests."""
        return len(self._reserved_until)

    def free(self, minion: str, permit: Permit) -> int:
        """Return how many more requests the minion may get; each needs a connection too."""
        return max(0, min(permit.slots, permit.connections) - self._taken[minion])

    def take(self, minion: str) -> Slot:
        """Return a newly taken slot of a minion."""
        slot = Slot(self._next_number, minion)
        self._next_number += 1
        self._slots[slot.number] = slot
        self._taken[minion] += 1
        return slot

    def abandon(self, slot: Slot, now: float) -> None:
        """Keep a slot reserved although nobody waits for its answer any more."""
        if slot.number in self._slots:
            self._reserved_until.setdefault(slot.number, now + RESERVED_SECONDS)

    def release(self, slot: Slot) -> bool:
        """Return whether the slot was still taken; it is free now."""
        if self._slots.pop(slot.number, None) is None:
            return False
        self._reserved_until.pop(slot.number, None)
        self._taken[slot.minion] -= 1
        if not self._taken[slot.minion]:
            del self._taken[slot.minion]
        return True

    def expire(self, now: float) -> list[Slot]:
        """Return the abandoned slots whose time is over; they are free now."""
        expired = [number for number, until in self._reserved_until.items() if until <= now]
        slots = [self._slots[number] for number in expired]
        for slot in slots:
            self.release(slot)
        return slots
