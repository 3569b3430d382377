"""Minions in the order in which short tasks and fillers prefer them.

Explanation
===========

The lowest possible cost of a start on a minion often depends on the minion alone, so that all tasks
of a round have the same order of minions. A short task costs the less the fewer processors are
free, and less beside lasting tasks. A filler costs the less the more processors are idle, on
minions without lasting tasks; on others, its cost depends on its image and size.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Sequence

from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.interference.sharing import InterferenceControl
from dotterelhill.jobs.placement.start_options import Cost, Option

ShortTaskRank = Callable[[Minion], float]


class _PoolOrder:
    """Order of the minions of one service for short tasks, or for fillers.

    :param interference: control of the interference between fillers and serving tasks
    :param short_task_rank: returns the rank of a minion among those for a short task
    :param minions: all minions of the service on which tasks may start
    """

    def __init__(
        self,
        interference: InterferenceControl,
        short_task_rank: ShortTaskRank,
        minions: Sequence[Minion],
        *,
        is_filler: bool,
    ) -> None:
        self._interference = interference
        self._short_task_rank = short_task_rank
        self._is_filler = is_filler
        self._places: dict[Minion, Option] = {}
        # Indices of the minions without a place in the order.
        self.others: list[int] = []
        self.ordered: list[Option] = []
        for number, minion in enumerate(minions):
            bound = self._bound(minion)
            if bound is None:
                self.others.append(number)
            else:
                self._places[minion] = (bound, number)
        self.ordered = sorted(self._places.values())

    def record_start(self, minion: Minion) -> None:
        """Move a minion on which a task has started to its new place."""
        place = self._places.pop(minion, None)
        if place is None:
            return
        del self.ordered[bisect_left(self.ordered, place)]
        bound = self._bound(minion)
        if bound is None:
            self.others.append(place[1])
            return
        self._places[minion] = (bound, place[1])
        insort(self.ordered, self._places[minion])

    def _bound(self, minion: Minion) -> Cost | None:
        """Return the lowest possible cost of a start; None if it depends on the task."""
        if minion.speed.ratio != 1.0:
            return None
        if not self._is_filler:
            return (0.0, self._short_task_rank(minion), minion.free_cpu)
        if minion.lasting_images:
            return None
        return (0.0, 0.0, -self._interference.idle_cpu(minion))


class MinionOrder:
    """Orders of the minions of one round, kept up to date while tasks start.

    :param interference: control of the interference between fillers and serving tasks
    :param short_task_rank: returns the rank of a minion among those for a short task, the lowest
        first; it stays the same during a round but for the starts of the round
    """

    def __init__(self, interference: InterferenceControl, short_task_rank: ShortTaskRank) -> None:
        self._interference = interference
        self._short_task_rank = short_task_rank
        self._orders: dict[tuple[str, bool], _PoolOrder] = {}

    def begin_round(self) -> None:
        """Forget the orders of the previous round."""
        self._orders.clear()

    def record_start(self, minion: Minion) -> None:
        """Move a minion on which a task has started to its new places."""
        for is_filler in (False, True):
            order = self._orders.get((minion.facts.service, is_filler))
            if order is not None:
                order.record_start(minion)

    def options(
        self, minions: Sequence[Minion], *, is_filler: bool
    ) -> tuple[list[int], list[Option]]:
        """Return where short tasks or fillers may start, for ``StartOptions``.

        :param minions: all minions of a service on which tasks may start; not empty
        :returns: indices of the minions that have no place in the order, and the order
        """
        key = (minions[0].facts.service, is_filler)
        order = self._orders.get(key)
        if order is None:
            order = _PoolOrder(
                self._interference, self._short_task_rank, minions, is_filler=is_filler
            )
            self._orders[key] = order
        return list(order.others), list(order.ordered)
