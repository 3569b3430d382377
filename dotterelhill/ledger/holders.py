"""Incarnations that have joined, and who holds which minion and worker."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Set
from dataclasses import replace

from dotterelhill.ledger.records import Hold, Join, Leave, Release
from dotterelhill.ledger.state import MINION_PREFIX, Ended, EndReason, Holding, Incarnation
from dotterelhill.ledger.verdict import Refusal

# Ended incarnations are remembered so that a late repeat of their Join doesn't revive them.
REMEMBERED_ENDED = 1024

_NO_RESOURCES: frozenset[str] = frozenset()


class Holders:
    """Fold of ``Join``, ``Leave``, ``Hold`` and ``Release``."""

    def __init__(self) -> None:
        self._joined: dict[str, Incarnation] = {}
        self._by_entry: dict[str, str] = {}
        self._by_domain: dict[str, set[str]] = {}
        self._ended: OrderedDict[str, Ended] = OrderedDict()
        self._holdings: dict[str, Holding] = {}
        self._held: dict[str, set[str]] = {}

    @property
    def joined(self) -> Mapping[str, Incarnation]:
        """Return the incarnations that may hold things."""
        return self._joined

    @property
    def ended(self) -> Mapping[str, Ended]:
        """Return the newest ended incarnations, oldest first."""
        return self._ended

    @property
    def holdings(self) -> Mapping[str, Holding]:
        """Return the newest holding of each resource, released ones included."""
        return self._holdings

    def is_joined(self, incarnation: str) -> bool:
        """Return whether an incarnation may hold things."""
        return incarnation in self._joined

    def joined_in(self, failure_domain: str) -> Set[str]:
        """Return the joined incarnations of a failure domain."""
        return self._by_domain.get(failure_domain, _NO_RESOURCES)

    def holding(self, resource: str) -> Holding | None:
        """Return the newest holding of a resource, or None when it was never held."""
        return self._holdings.get(resource)

    def previous_token(self, resource: str) -> int:
        """Return the ``previous`` that the next ``Hold`` of a resource must name."""
        holding = self._holdings.get(resource)
        return holding.token if holding else 0

    def held_by(self, incarnation: str) -> Set[str]:
        """Return the resources that an incarnation holds."""
        return self._held.get(incarnation, _NO_RESOURCES)

    def is_current(self, resource: str, token: int) -> bool:
        """Return whether ``token`` is the one of the present, unreleased holding."""
        holding = self._holdings.get(resource)
        return holding is not None and holding.token == token and not holding.is_released

    def join(self, offset: int, record: Join) -> Refusal | None:
        """Fold a ``Join``."""
        if record.incarnation in self._joined or record.incarnation in self._ended:
            return Refusal.INCARNATION_KNOWN
        earlier = self._by_entry.get(record.entry)
        if earlier is not None:
            # Its holdings stay in place, so that a successor waits for requests in flight.
            self._end(Ended(earlier, EndReason.REPLACED, offset))
        self._add(Incarnation(record.incarnation, record.entry, record.failure_domain, offset))
        return None

    def leave(self, offset: int, record: Leave) -> Refusal | None:
        """Fold a ``Leave``, which releases all that the incarnation held."""
        if record.incarnation not in self._joined:
            return Refusal.NOT_JOINED
        for resource in self._held.get(record.incarnation, _NO_RESOURCES):
            self._holdings[resource] = replace(self._holdings[resource], is_released=True)
        self._end(Ended(record.incarnation, EndReason.LEFT, offset))
        return None

    def hold(self, offset: int, record: Hold) -> Refusal | None:
        """Fold a ``Hold``."""
        if record.holder not in self._joined:
            return Refusal.NOT_JOINED
        before = self._holdings.get(record.resource)
        if record.previous != (before.token if before else 0):
            return Refusal.TOKEN_OUTDATED
        self._take(
            Holding(
                resource=record.resource,
                holder=record.holder,
                token=offset,
                is_released=False,
                follows_release=before is None or before.is_released,
                previous_holder=before.holder if before else "",
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
        self._held.get(holding.holder, set()).discard(record.resource)
        return None

    def forget_minions(self, minions: Set[str]) -> None:
        """Drop released holdings of minions that are not in ``minions``."""
        gone = [
            holding.resource
            for holding in self._holdings.values()
            if holding.is_released
            and holding.resource.startswith(MINION_PREFIX)
            and holding.resource.removeprefix(MINION_PREFIX) not in minions
        ]
        for resource in gone:
            del self._holdings[resource]

    def restore(
        self,
        joined: Iterable[Incarnation],
        ended: Iterable[Ended],
        holdings: Iterable[Holding],
    ) -> None:
        """Take the state of a snapshot."""
        for incarnation in joined:
            self._add(incarnation)
        self._ended = OrderedDict((item.incarnation, item) for item in ended)
        for holding in holdings:
            self._holdings[holding.resource] = holding
            if not holding.is_released and holding.holder in self._joined:
                self._held.setdefault(holding.holder, set()).add(holding.resource)

    def _add(self, incarnation: Incarnation) -> None:
        self._joined[incarnation.incarnation] = incarnation
        self._by_entry[incarnation.entry] = incarnation.incarnation
        self._by_domain.setdefault(incarnation.failure_domain, set()).add(incarnation.incarnation)

    def _end(self, ended: Ended) -> None:
        incarnation = self._joined.pop(ended.incarnation)
        self._by_entry.pop(incarnation.entry, None)
        self._by_domain[incarnation.failure_domain].discard(ended.incarnation)
        self._held.pop(ended.incarnation, None)
        self._ended[ended.incarnation] = ended
        while len(self._ended) > REMEMBERED_ENDED:
            self._ended.popitem(last=False)

    def _take(self, holding: Holding) -> None:
        before = self._holdings.get(holding.resource)
        if before is not None:
            self._held.get(before.holder, set()).discard(holding.resource)
        self._holdings[holding.resource] = holding
        self._held.setdefault(holding.holder, set()).add(holding.resource)
