"""Workers as placement sees them, with indices that follow each change."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, field

from dotterelhill.batch.interface import WorkerFacts
from dotterelhill.manifest import Resources

# Absorbs rounding in sums of fractions of a processor.
TOLERANCE = 1e-6
# A service's highest load counts for about this long after it was seen.
LOAD_MEMORY_SECONDS = 300.0


@dataclass(frozen=True, slots=True)
class Placed:
    """A task that uses part of a worker.

    :param counted: what placement counts, at least what the ledger reserves
    :param token: 0 until the ledger shows the assignment
    :param placed_at: loop time in seconds
    """

    task: str
    job: str
    counted: Resources
    is_urgent: bool
    token: int
    placed_at: float


@dataclass(slots=True)
class Node:
    """One worker.

    :param services: planned load of each service on its machine
    :param planned: planned logarithmic slow-down of each service by the placed tasks
    :param reserved_for: urgent task that room is being made for; empty for none
    """

    facts: WorkerFacts
    cpu: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0
    is_usable: bool = False
    is_indexed: bool = False
    preemptable_cpu: float = 0.0
    reserved_for: str = ""
    reserved_until: float = 0.0
    measured_at: float = 0.0
    placed: dict[str, Placed] = field(default_factory=dict)
    jobs: dict[str, int] = field(default_factory=dict)
    services: dict[str, float] = field(default_factory=dict)
    planned: dict[str, float] = field(default_factory=dict)

    def has_room(self, needed: Resources) -> bool:
        """Return whether a task fits into what is free."""
        return (
            needed.cpu <= self.cpu + TOLERANCE
            and needed.memory_gb <= self.memory_gb + TOLERANCE
            and needed.accelerators <= self.accelerators
        )

    def is_kept_from(self, job: str, now: float) -> bool:
        """Return whether room is being made here for another job."""
        return self.reserved_for not in ("", job) and now < self.reserved_until

    @property
    def free(self) -> Resources:
        """Return what is free, at least 0."""
        return Resources(
            cpu=max(0.0, self.cpu),
            memory_gb=max(0.0, self.memory_gb),
            accelerators=max(0, self.accelerators),
        )


class Nodes:
    """All workers, those with accelerators apart, each list sorted by free processors."""

    def __init__(self) -> None:
        self._nodes: dict[str, Node] = {}
        self._plain: list[tuple[float, str]] = []
        self._accelerated: list[tuple[float, str]] = []

    def get(self, name: str) -> Node | None:
        """Return a worker by name."""
        return self._nodes.get(name)

    def __iter__(self) -> Iterator[Node]:
        return iter(self._nodes.values())

    def __len__(self) -> int:
        return len(self._nodes)

    def set_facts(self, facts: WorkerFacts, *, is_usable: bool) -> None:
        """Take over what the ledger knows of a worker."""
        node = self._nodes.get(facts.name)
        if node is None:
            node = self._nodes[facts.name] = Node(facts)
        self._unindex(node)
        node.facts = facts
        node.is_usable = is_usable
        capacity = facts.capacity
        node.cpu, node.memory_gb = capacity.cpu, capacity.memory_gb
        node.accelerators = capacity.accelerators
        node.preemptable_cpu = 0.0
        for placed in node.placed.values():
            self._use(node, placed, 1)
        self._index(node)

    def set_usable(self, node: Node, is_usable: bool) -> None:
        """Change whether a worker may get tasks."""
        if node.is_usable is is_usable:
            return
        self._unindex(node)
        node.is_usable = is_usable
        self._index(node)

    def place(self, node: Node, placed: Placed) -> None:
        """Count a task on a worker."""
        self._unindex(node)
        self._use(node, placed, 1)
        node.placed[placed.task] = placed
        node.jobs[placed.job] = node.jobs.get(placed.job, 0) + 1
        self._index(node)

    def remove(self, node: Node, task: str) -> Placed | None:
        """Return the task that is not counted on the worker any more."""
        placed = node.placed.pop(task, None)
        if placed is None:
            return None
        self._unindex(node)
        self._use(node, placed, -1)
        node.jobs[placed.job] -= 1
        if not node.jobs[placed.job]:
            del node.jobs[placed.job]
        self._index(node)
        return placed

    def fitting(self, needed: Resources) -> Iterator[Node]:
        """Yield usable workers with room, the tightest fit first.

        Workers with accelerators come last for tasks that need none.
        """
        if not needed.accelerators:
            yield from self._fitting_in(self._plain, needed)
        yield from self._fitting_in(self._accelerated, needed)

    def _fitting_in(self, index: list[tuple[float, str]], needed: Resources) -> Iterator[Node]:
        for position in range(bisect_left(index, (needed.cpu - TOLERANCE, "")), len(index)):
            node = self._nodes[index[position][1]]
            if node.has_room(needed):
                yield node

    def _use(self, node: Node, placed: Placed, sign: int) -> None:
        amount = placed.counted
        node.cpu -= sign * amount.cpu
        node.memory_gb -= sign * amount.memory_gb
        node.accelerators -= sign * amount.accelerators
        if not placed.is_urgent:
            node.preemptable_cpu += sign * amount.cpu

    def _list_of(self, node: Node) -> list[tuple[float, str]]:
        return self._accelerated if node.facts.capacity.accelerators else self._plain

    def _index(self, node: Node) -> None:
        if node.is_usable:
            insort(self._list_of(node), (node.cpu, node.facts.name))
            node.is_indexed = True

    def _unindex(self, node: Node) -> None:
        if not node.is_indexed:
            return
        index = self._list_of(node)
        del index[bisect_left(index, (node.cpu, node.facts.name))]
        node.is_indexed = False
