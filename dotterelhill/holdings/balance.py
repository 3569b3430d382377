"""Preferred holder of each resource: rendezvous hashing with a bound on each holder's load."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from hashlib import blake2b


def _score(resource: str, incarnation: str) -> bytes:
    return blake2b(f"{resource}\0{incarnation}".encode(), digest_size=8).digest()


def preferred_holders(resources: Collection[str], incarnations: Collection[str]) -> dict[str, str]:
    """Return the preferred holder of each resource; empty if there are no incarnations.

    Explanation
    ===========

    Pairs of resource and incarnation are assigned by descending score; an incarnation that has
    ceil(resources / incarnations) resources gets no more. All processes compute the same result
    from the same two collections, and the loss of one incarnation moves few resources of the
    others.

    Examples
    ========

    >>> holders = preferred_holders(["a", "b", "c"], ["x/1", "y/1"])
    >>> sorted(Counter(holders.values()).values())
    [1, 2]
    """
    if not incarnations:
        return {}
    max_per_holder = -(-len(resources) // len(incarnations))
    pairs = sorted(
        ((resource, incarnation) for resource in resources for incarnation in incarnations),
        key=lambda pair: (_score(*pair), pair),
        reverse=True,
    )
    holders: dict[str, str] = {}
    counts: Counter[str] = Counter()
    for resource, incarnation in pairs:
        if resource in holders or counts[incarnation] >= max_per_holder:
            continue
        holders[resource] = incarnation
        counts[incarnation] += 1
    return holders
