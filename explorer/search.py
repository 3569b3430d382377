"""Search that makes walks from consecutive seeds until one breaks an invariant."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass

from explorer.walk import Finding, random_walk, run_walk


@dataclass(frozen=True, slots=True)
class SearchResult:
    """Result of a search.

    :param finding: the broken invariant, or None if no walk broke one
    :param walks: number of walks made, including the one that broke an invariant
    :param steps: number of steps applied in all walks
    :param real_seconds: real duration of the search in seconds
    :param simulated_seconds: simulated time of all walks in seconds
    :param counts: number of events in all walks, by kind
    """

    finding: Finding | None
    walks: int
    steps: int
    real_seconds: float
    simulated_seconds: float
    counts: Counter[str]


def search(seed: int, steps: int, walks: int, seconds: float) -> SearchResult:
    """Return the result of walks with consecutive seeds, up to the first that breaks an invariant.

    :param seed: seed of the first walk
    :param steps: number of steps of each walk
    :param walks: largest number of walks
    :param seconds: real time in seconds after which no further walk begins
    :returns: the result of the walks made
    """
    started_at = time.monotonic()
    counts: Counter[str] = Counter()
    step_count, walk_seconds, walk_count, finding = 0, 0.0, 0, None
    while walk_count < walks and finding is None and time.monotonic() - started_at < seconds:
        outcome = run_walk(random_walk(seed + walk_count, steps))
        finding = outcome.finding
        step_count += len(finding.walk.steps) if finding is not None else steps
        counts.update(outcome.counts)
        walk_seconds += outcome.seconds
        walk_count += 1
    real_seconds = time.monotonic() - started_at
    return SearchResult(finding, walk_count, step_count, real_seconds, walk_seconds, counts)
