"""Free capacity of workers for placement, indexed by free processors."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, field

from dotterelhill.batch.interface import WorkerFacts
from dotterelhill.manifest import Resources

# Tolerance for rounding errors in sums of processors and of memory.
TOLERANCE = 1e-6
# Time constant with which a peak of a service's load decays.
LOAD_DECAY_SECONDS = 300.0


@dataclass(frozen=True, slots=True)
class PlacedTask:
    """A task that is assigned to a worker, or proposed for it.

    :param counted_resources: amounts that placement subtracts from the worker's capacity, at
        least those that the ledger reserves
    :param token: 0 until the ledger shows the assignment
    :param placed_at: loop time in seconds
    """

    task: str
    job: str
    counted_resources: Resources
    is_urgent: bool
    token: int
    placed_at: float


@dataclass(slots=True)
class Node:
    """A worker with its free resources, tasks and services.

    :param cpu: free processors, negative if tasks use more than the capacity
    :param memory_gb: free memory
    :param accelerators: free accelerators
    :param is_usable: whether the worker may get tasks
    :param is_indexed: whether the worker is in an index of :class:`NodeIndex`
    :param preemptable_cpu: processors counted for tasks that are not urgent
    :param reserved_for: urgent job for which tasks are being evicted; empty for none
    :param reserved_until: loop time in seconds
    :param measured_at: loop time of the last usage report in seconds
    :param placed_tasks: tasks by id
    :param jobs: number of placed tasks by job
    :param service_loads: planned load of each service on its machine, 0 to 1
    :param planned_effects: planned logarithmic slow-down of each service by the placed tasks
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
    placed_tasks: dict[str, PlacedTask] = field(default_factory=dict)
    jobs: dict[str, int] = field(default_factory=dict)
    service_loads: dict[str, float] = field(default_factory=dict)
    planned_effects: dict[str, float] = field(default_factory=dict)

    def has_room(self, needed: Resources) -> bool:
        """Return whether ``needed`` fits into the free resources."""
        return (
            needed.cpu <= self.cpu + TOLERANCE
            and needed.memory_gb <= self.memory_gb + TOLERANCE
            and needed.accelerators <= self.accelerators
        )

    def is_reserved_for_other(self, job: str, now: float) -> bool:
        """Return whether the worker is reserved for another job."""
        return self.reserved_for not in ("", job) and now < self.reserved_until

    @property
    def free(self) -> Resources:
        """Return the free resources, with 0 for negative amounts."""
        return Resources(
            cpu=max(0.0, self.cpu),
            memory_gb=max(0.0, self.memory_gb),
            accelerators=max(0, self.accelerators),
        )


class NodeIndex:
    """Workers by name, with indices of the usable ones sorted by free processors.

    Workers with accelerators have an index of their own.
    """

    def __init__(self) -> None:
        self._nodes: dict[str, Node] = {}
        self._unaccelerated_index: list[tuple[float, str]] = []
        self._accelerated_index: list[tuple[float, str]] = []

    def get(self, name: str) -> Node | None:
        """Return a worker by name, or None if it is unknown."""
        return self._nodes.get(name)

    def __iter__(self) -> Iterator[Node]:
        return iter(self._nodes.values())

    def __len__(self) -> int:
        return len(self._nodes)

    def set_facts(self, facts: WorkerFacts, *, is_usable: bool) -> None:
        """Add a worker, or update it from its entry in the ledger."""
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
        for placed_task in node.placed_tasks.values():
            self._change_use(node, placed_task, 1)
        self._index(node)

    def set_usable(self, node: Node, is_usable: bool) -> None:
        """Set whether a worker may get tasks."""
        if node.is_usable is is_usable:
            return
        self._unindex(node)
        node.is_usable = is_usable
        self._index(node)

    def place(self, node: Node, placed_task: PlacedTask) -> None:
        """Add a task to a worker and subtract its resources."""
        self._unindex(node)
        self._change_use(node, placed_task, 1)
        node.placed_tasks[placed_task.task] = placed_task
        node.jobs[placed_task.job] = node.jobs.get(placed_task.job, 0) + 1
        self._index(node)

    def remove(self, node: Node, task: str) -> PlacedTask | None:
        """Remove a task from a worker and return it, or None if it was not there."""
        placed_task = node.placed_tasks.pop(task, None)
        if placed_task is None:
            return None
        self._unindex(node)
        self._change_use(node, placed_task, -1)
        node.jobs[placed_task.job] -= 1
        if not node.jobs[placed_task.job]:
            del node.jobs[placed_task.job]
        self._index(node)
        return placed_task

    def fitting_nodes(self, needed: Resources) -> Iterator[Node]:
        """Yield the usable workers with room, in the order of rising free processors.

        For a task without accelerators, workers that have accelerators come last.
        """
        if not needed.accelerators:
            yield from self._fitting_in(self._unaccelerated_index, needed)
        yield from self._fitting_in(self._accelerated_index, needed)

    def _fitting_in(self, index: list[tuple[float, str]], needed: Resources) -> Iterator[Node]:
        for position in range(bisect_left(index, (needed.cpu - TOLERANCE, "")), len(index)):
            node = self._nodes[index[position][1]]
            if node.has_room(needed):
                yield node

    def _change_use(self, node: Node, placed_task: PlacedTask, sign: int) -> None:
        amount = placed_task.counted_resources
        node.cpu -= sign * amount.cpu
        node.memory_gb -= sign * amount.memory_gb
        node.accelerators -= sign * amount.accelerators
        if not placed_task.is_urgent:
            node.preemptable_cpu += sign * amount.cpu

    def _index_of(self, node: Node) -> list[tuple[float, str]]:
        return (
            self._accelerated_index
            if node.facts.capacity.accelerators
            else self._unaccelerated_index
        )

    def _index(self, node: Node) -> None:
        if node.is_usable:
            insort(self._index_of(node), (node.cpu, node.facts.name))
            node.is_indexed = True

    def _unindex(self, node: Node) -> None:
        if not node.is_indexed:
            return
        index = self._index_of(node)
        del index[bisect_left(index, (node.cpu, node.facts.name))]
        node.is_indexed = False
