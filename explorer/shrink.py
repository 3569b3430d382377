"""Shorter walks that break the same invariant."""

from __future__ import annotations

import time
from collections.abc import Callable

from explorer.steps import Advance, Step
from explorer.walk import Finding, Walk, outcome_of


def shortened(finding: Finding, seconds: float) -> Finding:
    """Return the shortest finding got within about ``seconds`` of real time.

    Explanation
    ===========

    Blocks of steps are left out, from half of the walk down to single steps, as long as the same
    invariant is broken. The time of the steps left out passes all the same in a first round, and
    is cut in the last one.
    """
    until = time.monotonic() + seconds
    size = max(1, len(finding.walk.steps) // 2)
    while time.monotonic() < until:
        before = len(finding.walk.steps)
        finding = _without_blocks(finding, size, lambda: time.monotonic() < until)
        if size == 1 and len(finding.walk.steps) == before:
            break
        size = max(1, size // 2)
    return finding


def _without_blocks(finding: Finding, size: int, has_time: Callable[[], bool]) -> Finding:
    start = len(finding.walk.steps) - size
    while start > -size and has_time():
        first = max(0, start)
        steps = finding.walk.steps
        left_out = steps[first : first + size]
        kept = (*steps[:first], *_passed_time(left_out), *steps[first + size :])
        for candidate in ((*steps[:first], *steps[first + size :]), kept):
            shorter = _same_finding(finding, candidate) if len(candidate) < len(steps) else None
            if shorter is not None:
                finding = shorter
                break
        start -= size
    return finding


def _passed_time(steps: tuple[Step, ...]) -> tuple[Step, ...]:
    seconds = sum(step.seconds for step in steps if isinstance(step, Advance))
    return (Advance(round(seconds, 3)),) if seconds else ()


def _same_finding(finding: Finding, steps: tuple[Step, ...]) -> Finding | None:
    found = outcome_of(Walk(finding.walk.seed, steps)).finding
    return found if found is not None and found.invariant == finding.invariant else None
