"""Rolling replacement of the minions of a service, and which of them have been replaced."""

from __future__ import annotations

from dataclasses import dataclass, field

from dotterelhill.jobs.fleet import Minion

# Minions that leave and come within this time belong to one replacement.
WINDOW_SECONDS = 20.0
MIN_REPLACED = 2


@dataclass(slots=True)
class _ServiceChanges:
    """Minions of one service that left and came lately.

    :param left: loop time by address at which a minion drained or left
    :param came: loop time by new minion at which it was listed
    :param repeated: loop time by address at which a minion left that had left before
    :param interval_seconds: mean time between two replacements; None outside a replacement
    """

    left: dict[str, float] = field(default_factory=dict)
    came: dict[Minion, float] = field(default_factory=dict)
    repeated: dict[str, float] = field(default_factory=dict)
    interval_seconds: float | None = None


class RollingReplacement:
    """Search for services whose minions are replaced one after the other."""

    def __init__(self) -> None:
        self._services: dict[str, _ServiceChanges] = {}
        self.is_active = False

    def record_left(self, minion: Minion, now: float) -> None:
        """Record that a minion drains or has left.

        One that leaves repeatedly is not being replaced.
        """
        changes = self._services.setdefault(minion.facts.service, _ServiceChanges())
        address = minion.facts.address
        if address not in changes.left and address not in changes.repeated:
            changes.left[address] = now
            return
        changes.repeated[address] = now
        changes.left.pop(address, None)
        for other in [one for one in changes.came if one.facts.address == address]:
            del changes.came[other]

    def record_came(self, minion: Minion, now: float) -> None:
        """Record that a new minion, or a new incarnation, is listed."""
        changes = self._services.setdefault(minion.facts.service, _ServiceChanges())
        if minion.facts.address not in changes.repeated:
            changes.came[minion] = now

    def update(self, now: float) -> list[tuple[str, bool]]:
        """Return the services whose replacement has begun (``True``) or ended."""
        changed = []
        for service, changes in list(self._services.items()):
            was_active = changes.interval_seconds is not None
            newest = max(changes.left.values(), default=float("-inf"))
            if was_active and now - newest > WINDOW_SECONDS:
                self._services[service] = _ServiceChanges(repeated=changes.repeated)
                changed.append((service, False))
                continue
            _forget_repeated_before(changes, now - WINDOW_SECONDS)
            if not was_active:
                _forget_before(changes, now - WINDOW_SECONDS)
            count = len(changes.left)
            if count >= MIN_REPLACED and len(changes.came) >= (1 if was_active else count):
                oldest = min(changes.left.values())
                changes.interval_seconds = (newest - oldest) / (count - 1)
                if not was_active:
                    changed.append((service, True))
            elif not (changes.left or changes.came or changes.repeated):
                del self._services[service]
        self.is_active = any(
            changes.interval_seconds is not None for changes in self._services.values()
        )
        return changed

    def is_avoided(self, minion: Minion, expected_seconds: float) -> bool:
        """Return whether a run of some duration should not start on a minion to be replaced."""
        changes = self._services.get(minion.facts.service)
        if changes is None or changes.interval_seconds is None or minion in changes.came:
            return False
        return expected_seconds > changes.interval_seconds


def _forget_repeated_before(changes: _ServiceChanges, oldest: float) -> None:
    """Forget the minions that left repeatedly, but not since a time."""
    for address in [address for address, at in changes.repeated.items() if at < oldest]:
        del changes.repeated[address]


def _forget_before(changes: _ServiceChanges, oldest: float) -> None:
    """Forget the minions that left or came before a time."""
    for address in [address for address, at in changes.left.items() if at < oldest]:
        del changes.left[address]
    for minion in [minion for minion, at in changes.came.items() if at < oldest]:
        del changes.came[minion]
