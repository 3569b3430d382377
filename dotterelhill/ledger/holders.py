"""Joined incarnations and the holdings of minions and workers."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Set
from dataclasses import replace

from dotterelhill.ledger.records import Hold, Join, Leave, Release
from dotterelhill.ledger.state import MINION_PREFIX, Ended, EndReason, Holding, Incarnation
from dotterelhill.ledger.verdict import Refusal

# Ended incarnations are kept so that a late duplicate of their Join is refused.
MAX_ENDED_INCARNATIONS = 1024

_EMPTY_SET: frozenset[str] = frozenset()


class Holders:
    """Fold of ``Join``, ``Leave``, ``Hold`` and ``Release``."""

    def __init__(self) -> None:
        self._joined: dict[str, Incarnation] = {}
        self._incarnation_by_entry: dict[str, str] = {}
        self._incarnations_by_domain: dict[str, set[str]] = {}
        self._ended: OrderedDict[str, Ended] = OrderedDict()
        self._holdings: dict[str, Holding] = {}
        self._held_resources: dict[str, set[str]] = {}

    @property
    def joined(self) -> Mapping[str, Incarnation]:
        """Return the joined incarnations, which may hold resources."""
        return self._joined

    @property
    def ended(self) -> Mapping[str, Ended]:
        """Return the most recently ended incarnations, oldest first."""
        return self._ended

    @property
    def holdings(self) -> Mapping[str, Holding]:
        """Return the newest holding of each resource, including released ones."""
        return self._holdings

    def is_joined(self, incarnation: str) -> bool:
        """Return whether an incarnation has joined and not ended."""
        return incarnation in self._joined

    def joined_in(self, failure_domain: str) -> Set[str]:
        """Return the joined incarnations of a failure domain."""
        return self._incarnations_by_domain.get(failure_domain, _EMPTY_SET)

    def holding(self, resource: str) -> Holding | None:
        """Return the newest holding of a resource; None if it was never held."""
        return self._holdings.get(resource)

    def previous_token(self, resource: str) -> int:
        """Return the token that the next ``Hold`` of a resource must name as ``previous``."""
        holding = self._holdings.get(resource)
        return holding.token if holding else 0

    def held_by(self, incarnation: str) -> Set[str]:
        """Return the resources that an incarnation holds."""
        return self._held_resources.get(incarnation, _EMPTY_SET)

    def is_current(self, resource: str, token: int) -> bool:
        """Return whether ``token`` is that of the newest holding and it is not released."""
        holding = self._holdings.get(resource)
        return holding is not None and holding.token == token and not holding.is_released

    def join(self, offset: int, record: Join) -> Refusal | None:
        """Fold a ``Join``; it ends an earlier incarnation of the same entry VM."""
        if record.incarnation in self._joined or record.incarnation in self._ended:
            return Refusal.INCARNATION_KNOWN
        earlier = self._incarnation_by_entry.get(record.entry)
        if earlier is not None:
            # Its holdings stay unreleased, so that a successor waits for its requests in flight.
            self._end_incarnation(Ended(earlier, EndReason.REPLACED, offset))
        self._add_incarnation(
            Incarnation(record.incarnation, record.entry, record.failure_domain, offset)
        )
        return None

    def leave(self, offset: int, record: Leave) -> Refusal | None:
        """Fold a ``Leave``, which releases all holdings of the incarnation."""
        if record.incarnation not in self._joined:
            return Refusal.NOT_JOINED
        for resource in self._held_resources.get(record.incarnation, _EMPTY_SET):
            self._holdings[resource] = replace(self._holdings[resource], is_released=True)
        self._end_incarnation(Ended(record.incarnation, EndReason.LEFT, offset))
        return None

    def hold(self, offset: int, record: Hold) -> Refusal | None:
        """Fold a ``Hold``."""
        if record.holder not in self._joined:
            return Refusal.NOT_JOINED
        previous = self._holdings.get(record.resource)
        if record.previous != (previous.token if previous else 0):
            return Refusal.TOKEN_OUTDATED
        self._set_holding(
            Holding(
                resource=record.resource,
                holder=record.holder,
                token=offset,
                is_released=False,
                follows_release=previous is None or previous.is_released,
                previous_holder=previous.holder if previous else "",
                previous_token=record.previous,
            )
        )
        return None

    def release(self, record: Release) -> Refusal | None:
        """Fold a ``Release``."""
        if not self.is_current(record.resource, record.token):
            return Refusal.TOKEN_OUTDATED
        holding = self._holdings[record.resource]
        self._holdings[record.resource] = replace(holding, is_released=True)
        self._held_resources.get(holding.holder, set()).discard(record.resource)
        return None

    def remove_released_minions(self, minions: Set[str]) -> None:
        """Remove released holdings of minions that are not in ``minions``."""
        unlisted = [
            holding.resource
            for holding in self._holdings.values()
            if holding.is_released
            and holding.resource.startswith(MINION_PREFIX)
            and holding.resource.removeprefix(MINION_PREFIX) not in minions
        ]
        for resource in unlisted:
            del self._holdings[resource]

    def restore(
        self,
        joined: Iterable[Incarnation],
        ended: Iterable[Ended],
        holdings: Iterable[Holding],
    ) -> None:
        """Restore the state of a snapshot."""
        for incarnation in joined:
            self._add_incarnation(incarnation)
        self._ended = OrderedDict((item.incarnation, item) for item in ended)
        for holding in holdings:
            self._holdings[holding.resource] = holding
            if not holding.is_released and holding.holder in self._joined:
                self._held_resources.setdefault(holding.holder, set()).add(holding.resource)

    def _add_incarnation(self, incarnation: Incarnation) -> None:
        self._joined[incarnation.incarnation] = incarnation
        self._incarnation_by_entry[incarnation.entry] = incarnation.incarnation
        self._incarnations_by_domain.setdefault(incarnation.failure_domain, set()).add(
            incarnation.incarnation
        )

    def _end_incarnation(self, ended: Ended) -> None:
        incarnation = self._joined.pop(ended.incarnation)
        self._incarnation_by_entry.pop(incarnation.entry, None)
        self._incarnations_by_domain[incarnation.failure_domain].discard(ended.incarnation)
        self._held_resources.pop(ended.incarnation, None)
        self._ended[ended.incarnation] = ended
        while len(self._ended) > MAX_ENDED_INCARNATIONS:
            self._ended.popitem(last=False)

    def _set_holding(self, holding: Holding) -> None:
        previous = self._holdings.get(holding.resource)
        if previous is not None:
            self._held_resources.get(previous.holder, set()).discard(holding.resource)
        self._holdings[holding.resource] = holding
        self._held_resources.setdefault(holding.holder, set()).add(holding.resource)
