"""What other slices may ask about the manifest in force."""

from __future__ import annotations

from typing import Protocol

from dotterelhill.manifest.history import AcceptedManifest


class ManifestView(Protocol):
    """The manifest in force and how fresh the knowledge of it is."""

    @property
    def current(self) -> AcceptedManifest | None:
        """Return the manifest in force, or None before the first."""
        ...

    @property
    def evidence_at(self) -> float:
        """Return the loop time up to which every accepted manifest is known.

        It is the time before the newest successful read of the ``config`` stream was sent, here
        or at a peer that relayed it; minus infinity when there was none.
        """
        ...
