"""Table of the slices whose traces can be replayed, by name."""

from __future__ import annotations

from dotterelhill.replay.registration import ReplayableSlice

SLICE_NAMES = ("execution", "holdings", "membership")


def registered_slice(name: str) -> ReplayableSlice | None:
    """Return the registration of a slice, or None if it is unknown; import only this slice.

    >>> registered_slice("membership").name
    'membership'
    """
    match name:
        case "execution":
            from dotterelhill.replay import execution_slice

            return execution_slice.REGISTRATION
        case "holdings":
            from dotterelhill.replay import holdings_slice

            return holdings_slice.REGISTRATION
        case "membership":
            from dotterelhill.replay import membership_slice

            return membership_slice.REGISTRATION
    return None
