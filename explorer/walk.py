"""Walks: sequences of steps that are applied to a new world until an invariant is broken."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from explorer.steps import Step, random_steps
from explorer.violation import InvariantBrokenError
from explorer.world import World


@dataclass(frozen=True, slots=True)
class Walk:
    """Sequence of steps, with the seed of the world to which they are applied."""

    seed: int
    steps: tuple[Step, ...]


@dataclass(frozen=True, slots=True)
class Finding:
    """Walk whose last step breaks an invariant.

    :param invariant: name of the invariant
    :param detail: description of the event that broke it
    :param at_seconds: simulated time of that event in seconds
    """

    walk: Walk
    invariant: str
    detail: str
    at_seconds: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a walk.

    :param finding: the broken invariant, or None if none was broken
    :param counts: number of events, by kind
    :param seconds: simulated duration of the walk in seconds
    """

    finding: Finding | None
    counts: Counter[str]
    seconds: float


def random_walk(seed: int, count: int) -> Walk:
    """Return the walk of a seed with ``count`` steps; the same seed always gives the same walk."""
    return Walk(seed, tuple(random_steps(Random(f"walk {seed}"), count)))


def run_walk(walk: Walk) -> Outcome:
    """Apply the steps of a walk to a new world and return the result."""
    world = World(walk.seed)
    finding = _find_violation(world, walk.seed, walk.steps)
    return Outcome(finding, Counter(world.observer.counts), world.now)


def _find_violation(world: World, seed: int, steps: Sequence[Step]) -> Finding | None:
    for number, step in enumerate(steps, start=1):
        try:
            world.apply(step)
        except InvariantBrokenError as error:
            walk = Walk(seed, tuple(steps[:number]))
            return Finding(walk, error.invariant, error.detail, world.now)
    return None
