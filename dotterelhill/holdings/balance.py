"""Preferred holder of each resource: rendezvous hash with a bound on each holder's part."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from hashlib import blake2b


def _score(resource: str, incarnation: str) -> bytes:
    return blake2b(f"{resource}\0{incarnation}".encode(), digest_size=8).digest()


def preferred_holders(resources: Collection[str], incarnations: Collection[str]) -> dict[str, str]:
    """Return the preferred holder of each resource; empty without incarnations.

    Explanation
    ===========

    Pairs are taken by descending score, and a holder that has ceil(resources / incarnations) gets
    no more. Processes with the same two collections get the same answer, and the loss of one
    incarnation moves few resources of the others.

    Examples
    ========

    >>> holders = preferred_holders(["a", "b", "c"], ["x/1", "y/1"])
    >>> sorted(Counter(holders.values()).values())
    [1, 2]
    """
    if not incarnations:
        return {}
    largest_part = -(-len(resources) // len(incarnations))
    pairs = sorted(
        ((resource, one) for resource in resources for one in incarnations),
        key=lambda pair: (_score(*pair), pair),
        reverse=True,
    )
    holders: dict[str, str] = {}
    parts: Counter[str] = Counter()
    for resource, incarnation in pairs:
        if resource in holders or parts[incarnation] >= largest_part:
            continue
        holders[resource] = incarnation
        parts[incarnation] += 1
    return holders
