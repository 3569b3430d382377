"""Quotas of members and teams, and dominant-resource fair share over processors, memory and
accelerators.
"""

from __future__ import annotations

from dataclasses import dataclass

from dotterelhill.manifest import Manifest, Resources


@dataclass(slots=True)
class _Account:
    """Used resources, limit and dominant share of one member or team."""

    limit: Resources
    cpu: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0
    share: float = 0.0

    def change_use(self, amount: Resources, sign: int) -> None:
        self.cpu += sign * amount.cpu
        self.memory_gb += sign * amount.memory_gb
        self.accelerators += sign * amount.accelerators
        self.update_share()

    def update_share(self) -> None:
        limit = self.limit
        share = self.cpu / limit.cpu if limit.cpu else 0.0
        if limit.memory_gb:
            share = max(share, self.memory_gb / limit.memory_gb)
        if limit.accelerators:
            share = max(share, self.accelerators / limit.accelerators)
        self.share = share

    def has_room(self, amount: Resources) -> bool:
        limit = self.limit
        return (
            self.cpu + amount.cpu <= limit.cpu + 1e-9
            and self.memory_gb + amount.memory_gb <= limit.memory_gb + 1e-9
            and self.accelerators + amount.accelerators <= limit.accelerators
        )


_NO_RESOURCES = Resources()


class Quotas:
    """Resources used by the running tasks of members and teams, and their quotas.

    Running tasks stay counted when a quota shrinks below their sum; no task starts above the quota.
    """

    def __init__(self) -> None:
        self._members: dict[str, _Account] = {}
        self._teams: dict[tuple[str, str], _Account] = {}

    def set_limits(self, manifest: Manifest) -> None:
        """Set the limits of a manifest; the use does not change."""
        for account in (*self._members.values(), *self._teams.values()):
            account.limit = _NO_RESOURCES
        for name, member in manifest.members.items():
            self._member(name).limit = member.limits.resources
            for team, quota in member.teams.items():
                self._team(name, team).limit = quota
        for account in (*self._members.values(), *self._teams.values()):
            account.update_share()

    def add(self, member: str, team: str, amount: Resources) -> None:
        """Add the resources of a started task."""
        self._member(member).change_use(amount, 1)
        self._team(member, team).change_use(amount, 1)

    def remove(self, member: str, team: str, amount: Resources) -> None:
        """Subtract the resources of an ended task."""
        self._member(member).change_use(amount, -1)
        self._team(member, team).change_use(amount, -1)

    def has_room(self, member: str, team: str, amount: Resources) -> bool:
        """Return whether one more task fits into the quotas of member and team."""
        return self._member(member).has_room(amount) and self._team(member, team).has_room(amount)

    def shares(self, member: str, team: str) -> tuple[float, float]:
        """Return the dominant shares of the member and of the team, 0 to 1 within the quota."""
        return self._member(member).share, self._team(member, team).share

    def _member(self, name: str) -> _Account:
        account = self._members.get(name)
        if account is None:
            account = self._members[name] = _Account(_NO_RESOURCES)
        return account

    def _team(self, member: str, team: str) -> _Account:
        account = self._teams.get((member, team))
        if account is None:
            account = self._teams[member, team] = _Account(_NO_RESOURCES)
        return account
