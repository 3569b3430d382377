"""Walks from consecutive seeds until one breaks an invariant."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass

from explorer.walk import Finding, outcome_of, random_walk


@dataclass(frozen=True, slots=True)
class SearchResult:
    """What a search came to.

    :param walks: walks made, the one that broke an invariant included
    :param steps: steps applied in all walks
    :param real_seconds: time that the search took
    :param passed_seconds: time that passed inside the walks
    """

    finding: Finding | None
    walks: int
    steps: int
    real_seconds: float
    passed_seconds: float
    counts: Counter[str]


def search(seed: int, steps: int, walks: int, seconds: float) -> SearchResult:
    """Return what walks from ``seed`` on came to.

    :param steps: steps of each walk
    :param seconds: real time after which no further walk begins
    """
    began_at = time.monotonic()
    counts: Counter[str] = Counter()
    applied, passed, made, finding = 0, 0.0, 0, None
    while made < walks and finding is None and time.monotonic() - began_at < seconds:
        outcome = outcome_of(random_walk(seed + made, steps))
        finding = outcome.finding
        applied += len(finding.walk.steps) if finding is not None else steps
        counts.update(outcome.counts)
        passed += outcome.seconds
        made += 1
    real_seconds = time.monotonic() - began_at
    return SearchResult(finding, made, applied, real_seconds, passed, counts)
