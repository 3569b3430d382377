"""Reduction of a walk to a shorter one that breaks the same invariant."""

from __future__ import annotations

import time
from collections.abc import Callable

from explorer.steps import Advance, Step
from explorer.walk import Finding, Walk, run_walk


def shorten_finding(finding: Finding, seconds: float) -> Finding:
    """Return the shortest finding with the same invariant that is found within the time limit.

    Explanation
    ===========

    Blocks of steps are removed, from half of the walk down to single steps, as long as the same
    invariant is broken. Each block is first removed together with the simulated time that passes
    in it; if the walk then no longer breaks the invariant, the block is replaced with a single
    advance by that time.

    :param finding: finding whose walk is shortened
    :param seconds: approximate limit of real time in seconds
    :returns: the shortened finding, or the given one if no shorter one was found
    """
    deadline = time.monotonic() + seconds
    size = max(1, len(finding.walk.steps) // 2)
    while time.monotonic() < deadline:
        previous_count = len(finding.walk.steps)
        finding = _remove_blocks(finding, size, lambda: time.monotonic() < deadline)
        if size == 1 and len(finding.walk.steps) == previous_count:
            break
        size = max(1, size // 2)
    return finding


def _remove_blocks(finding: Finding, size: int, has_time: Callable[[], bool]) -> Finding:
    start = len(finding.walk.steps) - size
    while start > -size and has_time():
        first = max(0, start)
        steps = finding.walk.steps
        removed = steps[first : first + size]
        with_advance = (*steps[:first], *_merged_advance(removed), *steps[first + size :])
        for candidate in ((*steps[:first], *steps[first + size :]), with_advance):
            shorter = (
                _reproduce_finding(finding, candidate) if len(candidate) < len(steps) else None
            )
            if shorter is not None:
                finding = shorter
                break
        start -= size
    return finding


def _merged_advance(steps: tuple[Step, ...]) -> tuple[Step, ...]:
    seconds = sum(step.seconds for step in steps if isinstance(step, Advance))
    return (Advance(round(seconds, 3)),) if seconds else ()


def _reproduce_finding(finding: Finding, steps: tuple[Step, ...]) -> Finding | None:
    reproduced = run_walk(Walk(finding.walk.seed, steps)).finding
    return (
        reproduced if reproduced is not None and reproduced.invariant == finding.invariant else None
    )
