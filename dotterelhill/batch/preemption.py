"""Choice of the tasks to evict for an urgent task."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from dotterelhill.manifest import Resources

# Cost of stopping, checkpointing and restarting a task, in addition to the lost work.
RESTART_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class Victim:
    """A running task that can be evicted.

    :param lost_seconds: work since the last checkpoint, in seconds
    """

    task: str
    token: int
    resources: Resources
    lost_seconds: float

    @property
    def cost(self) -> float:
        """Return the cost of the eviction: lost work plus restart, times the task's size.

        The size is in processors; 4 GB of memory count as one, an accelerator as eight.
        """
        size = max(self.resources.cpu, self.resources.memory_gb / 4, 8.0 * self.accelerators)
        return (self.lost_seconds + RESTART_SECONDS) * max(size, 0.1)

    @property
    def accelerators(self) -> int:
        """Return the number of accelerators that the task uses."""
        return self.resources.accelerators


@dataclass(frozen=True, slots=True)
class Preemption:
    """Tasks to evict from one worker, and their total cost."""

    victims: tuple[Victim, ...]
    cost: float


def cheapest_preemption(
    candidates: Iterable[Victim], free: Resources, needed: Resources
) -> Preemption | None:
    """Return a cheap set of tasks on one worker whose eviction makes room, or None.

    Candidates are added in the order of rising cost until there is room. Then those without which
    there is still room are removed, in the order of falling cost.

    :param free: free resources of the worker
    :param needed: resources of the urgent task

    >>> small = Victim("a@1/0", 1, Resources(cpu=2.0), 10.0)
    >>> large = Victim("b@1/0", 2, Resources(cpu=8.0), 10.0)
    >>> found = cheapest_preemption([large, small], Resources(cpu=1.0), Resources(cpu=3.0))
    >>> [victim.task for victim in found.victims]
    ['a@1/0']
    """
    chosen: list[Victim] = []
    room = free
    for victim in sorted(candidates, key=_cost_of):
        if needed.is_within(room):
            break
        if not _frees_needed_resource(victim, room, needed):
            continue
        chosen.append(victim)
        room = room + victim.resources
    if not needed.is_within(room):
        return None
    for victim in sorted(chosen, key=_cost_of, reverse=True):
        remaining = room - victim.resources
        if needed.is_within(remaining):
            chosen.remove(victim)
            room = remaining
    return Preemption(tuple(chosen), sum(victim.cost for victim in chosen))


def _cost_of(victim: Victim) -> tuple[float, str]:
    return victim.cost, victim.task


def _frees_needed_resource(victim: Victim, room: Resources, needed: Resources) -> bool:
    amount = victim.resources
    return (
        (needed.cpu > room.cpu and amount.cpu > 0)
        or (needed.memory_gb > room.memory_gb and amount.memory_gb > 0)
        or (needed.accelerators > room.accelerators and amount.accelerators > 0)
    )
