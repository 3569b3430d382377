"""Interface through which other slices read the manifest in force."""

from __future__ import annotations

from typing import Protocol

from dotterelhill.manifest.history import AcceptedManifest


class ManifestView(Protocol):
    """The manifest in force and the age of the evidence for it."""

    @property
    def current(self) -> AcceptedManifest | None:
        """Return the manifest in force, or None before the first one."""
        ...

    @property
    def evidence_at(self) -> float:
        """Return the loop time up to which every accepted manifest is known.

        It is the time just before the latest successful read of the ``config`` stream was sent,
        here or at a peer that relayed its evidence; minus infinity when there was none.
        """
        ...
