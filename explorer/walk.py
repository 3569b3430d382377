"""One walk: steps applied to a new world until an invariant is broken."""

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
    """Steps and the seed of the world that they are applied to."""

    seed: int
    steps: tuple[Step, ...]


@dataclass(frozen=True, slots=True)
class Finding:
    """A walk that breaks an invariant with its last step."""

    walk: Walk
    invariant: str
    detail: str
    at_seconds: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a walk came to.

    :param counts: how much has happened
    """

    finding: Finding | None
    counts: Counter[str]
    seconds: float


def random_walk(seed: int, count: int) -> Walk:
    """Return the walk of a seed."""
    return Walk(seed, tuple(random_steps(Random(f"walk {seed}"), count)))


def outcome_of(walk: Walk) -> Outcome:
    """Return what the walk came to."""
    world = World(walk.seed)
    finding = _finding(world, walk.seed, walk.steps)
    return Outcome(finding, Counter(world.observer.counts), world.now)


def _finding(world: World, seed: int, steps: Sequence[Step]) -> Finding | None:
    for number, step in enumerate(steps, start=1):
        try:
            world.apply(step)
        except InvariantBrokenError as error:
            walk = Walk(seed, tuple(steps[:number]))
            return Finding(walk, error.invariant, error.detail, world.now)
    return None
