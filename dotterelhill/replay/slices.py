"""Table of the slices whose traces can be replayed."""

from __future__ import annotations

from dotterelhill.replay.registration import ReplayableSlice


def replayable_slices() -> dict[str, ReplayableSlice]:
    """Return the registrations by name; the slices are imported only when this is called."""
    registrations: tuple[ReplayableSlice, ...] = ()
    return {item.name: item for item in registrations}
