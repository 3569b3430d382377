"""Ramp of the minions of a failure domain that was evacuated and is taken back."""

from __future__ import annotations

from collections.abc import Iterable

from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.model import Step

STAGE_SECONDS = 0.5
STAGE_SHARE = 0.25


class DomainRamp:
    """Bound of the processors in use on minions of failure domains that were taken back.

    Lasting tasks and tasks of a gang are not bounded: they have waited for longer than a stage.
    """

    def __init__(self) -> None:
        self._evacuated: frozenset[str] = frozenset()
        self._shares: dict[str, float] = {}
        self._began_at: dict[str, float] = {}

    @property
    def is_active(self) -> bool:
        """Return whether the minions of a failure domain are bounded."""
        return bool(self._shares)

    def update(self, evacuated: Iterable[str], now: float) -> list[str]:
        """Return the failure domains that were taken back since the previous round.

        :param evacuated: failure domains in which no task may start
        """
        earlier, self._evacuated = self._evacuated, frozenset(evacuated)
        taken_back = sorted(earlier - self._evacuated)
        for domain in taken_back:
            self._began_at[domain] = now
        for domain, began_at in list(self._began_at.items()):
            share = STAGE_SHARE * (1 + int((now - began_at + 1e-6) / STAGE_SECONDS))
            if share >= 1.0 or domain in self._evacuated:
                del self._began_at[domain]
                self._shares.pop(domain, None)
            else:
                self._shares[domain] = share
        return taken_back

    def is_ramping(self, domain: str) -> bool:
        """Return whether the minions of a failure domain are bounded."""
        return domain in self._shares

    def has_room(self, minion: Minion, step: Step) -> bool:
        """Return whether a task may start on a minion now; one may start on an idle minion."""
        share = self._shares.get(minion.facts.failure_domain)
        if share is None or step.is_lasting:
            return True
        used_cpu = minion.used.cpu + minion.filler_cpu
        bound = share * minion.facts.capacity.cpu
        return used_cpu == 0 or used_cpu + step.room.cpu <= bound
