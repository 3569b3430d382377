"""Slots in use at each minion, including those reserved for abandoned requests."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from dotterelhill.holdings import Permit

# Equals the largest request deadline, after which an abandoned request no longer needs its slot.
RESERVED_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class Slot:
    """Slot in use at a minion."""

    number: int
    minion: str


class SlotTable:
    """Slots that this process uses at the minions it holds.

    An abandoned request keeps its slot until the slot is released or ``RESERVED_SECONDS`` have
    passed, since the minion may still work on the request.
    """

    def __init__(self) -> None:
        self._taken: Counter[str] = Counter()
        self._slots: dict[int, Slot] = {}
        self._reserved_until: dict[int, float] = {}
        self._next_number = 1

    @property
    def in_flight(self) -> Mapping[str, int]:
        """Return the number of slots in use by minion, reserved ones included."""
        return self._taken

    @property
    def reserved(self) -> int:
        """Return the number of slots reserved for abandoned requests."""
        return len(self._reserved_until)

    def free_count(self, minion: str, permit: Permit) -> int:
        """Return how many more requests the permit allows; each needs a slot and a connection."""
        return max(0, min(permit.slots, permit.connections) - self._taken[minion])

    def take(self, minion: str) -> Slot:
        """Take a slot of a minion and return it."""
        slot = Slot(self._next_number, minion)
        self._next_number += 1
        self._slots[slot.number] = slot
        self._taken[minion] += 1
        return slot

    def abandon(self, slot: Slot, now: float) -> None:
        """Reserve the slot of an abandoned request for ``RESERVED_SECONDS`` from ``now``."""
        if slot.number in self._slots:
            self._reserved_until.setdefault(slot.number, now + RESERVED_SECONDS)

    def release(self, slot: Slot) -> bool:
        """Free a slot and return whether it was in use."""
        if self._slots.pop(slot.number, None) is None:
            return False
        self._reserved_until.pop(slot.number, None)
        self._taken[slot.minion] -= 1
        if not self._taken[slot.minion]:
            del self._taken[slot.minion]
        return True

    def expire(self, now: float) -> list[Slot]:
        """Free and return the reserved slots whose time has passed."""
        expired = [number for number, until in self._reserved_until.items() if until <= now]
        slots = [self._slots[number] for number in expired]
        for slot in slots:
            self.release(slot)
        return slots
