"""Minions on which tasks of one step may start, the one with the lowest cost first."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from heapq import heapify, heappop, heappush, heapreplace

from dotterelhill.jobs.fleet import Minion

Cost = tuple[float, ...]
# Cost of a start on a minion, and the index of the minion in its pool.
Option = tuple[Cost, int]


class StartOptions:
    """Minions by the cost of a start there, which is computed as late as possible.

    The cost on a minion may change only by a start there.

    :param pool: minions of a service
    :param start_cost: returns the cost of a start on a minion; None when it is not allowed
    :param numbers: indices of the minions of which the cost is computed at once
    :param ordered: other minions in the order of lower bounds of their costs; a cost that equals
        its bound is the lowest when no earlier bound is left
    :param highest_bound: bound above which no start is allowed; None for none
    """

    def __init__(
        self,
        pool: Sequence[Minion],
        start_cost: Callable[[Minion], Cost | None],
        numbers: Iterable[int],
        ordered: Sequence[Option] = (),
        highest_bound: Cost | None = None,
    ) -> None:
        self._pool = pool
        self._start_cost = start_cost
        self._ordered = ordered
        self._highest_bound = highest_bound
        self._position = 0
        self._heap: list[Option] = []
        for number in numbers:
            cost = start_cost(pool[number])
            if cost is not None:
                self._heap.append((cost, number))
        heapify(self._heap)

    @property
    def first(self) -> Minion | None:
        """Return the minion with the lowest cost, the first of the pool among equals."""
        heap = self._heap
        while self._position < len(self._ordered):
            option = self._ordered[self._position]
            if heap and heap[0] < option:
                break
            if self._highest_bound is not None and option[0] > self._highest_bound:
                self._position = len(self._ordered)
                break
            self._position += 1
            cost = self._start_cost(self._pool[option[1]])
            if cost is not None:
                heappush(heap, (cost, option[1]))
        return self._pool[heap[0][1]] if heap else None

    def drop_first(self) -> None:
        """Remove the minion with the lowest cost."""
        heappop(self._heap)

    def update_first(self) -> None:
        """Compute the cost on that minion anew after a start there."""
        number = self._heap[0][1]
        cost = self._start_cost(self._pool[number])
        if cost is None:
            heappop(self._heap)
        else:
            heapreplace(self._heap, (cost, number))
