"""Minions without lasting tasks in the order in which fillers prefer them.

Explanation
===========

On a minion without lasting tasks, a filler interferes with none, and costs the less the more
processors are idle there, whatever its image and size. So these minions have the same order for all
fillers of a round. On other minions the cost depends on the filler.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Sequence
from dataclasses import dataclass, field

from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.interference.sharing import InterferenceControl
from dotterelhill.jobs.placement.start_options import Option


@dataclass(slots=True)
class _Pool:
    """Minions of one service.

    :param ordered: lowest possible cost of a filler on each minion without lasting tasks, sorted
    :param others: indices of the other minions
    """

    ordered: list[Option] = field(default_factory=list)
    others: list[int] = field(default_factory=list)


class IdleOrder:
    """Order of the minions of each service in one round, kept up to date while tasks start.

    :param interference: control of the interference between fillers and serving tasks
    """

    def __init__(self, interference: InterferenceControl) -> None:
        self._interference = interference
        self._pools: dict[str, _Pool] = {}
        self._options: dict[Minion, Option] = {}

    def begin_round(self) -> None:
        """Forget the order of the previous round."""
        self._pools.clear()
        self._options.clear()

    def record_start(self, minion: Minion) -> None:
        """Move a minion on which a task has started to its new place."""
        earlier = self._options.pop(minion, None)
        if earlier is None:
            return
        pool = self._pools[minion.facts.service]
        del pool.ordered[bisect_left(pool.ordered, earlier)]
        option = self._option(minion, earlier[1])
        if option is None:
            pool.others.append(earlier[1])
        else:
            insort(pool.ordered, option)

    def options(self, minions: Sequence[Minion]) -> tuple[list[int], list[Option]]:
        """Return where fillers may start, for ``StartOptions``.

        :param minions: all minions of a service on which tasks may start; not empty
        :returns: indices of the minions that have no place in the order, and the order
        """
        service = minions[0].facts.service
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = _Pool()
            for number, minion in enumerate(minions):
                option = self._option(minion, number)
                if option is None:
                    pool.others.append(number)
                else:
                    pool.ordered.append(option)
            pool.ordered.sort()
        return list(pool.others), list(pool.ordered)

    def _option(self, minion: Minion, number: int) -> Option | None:
        """Return the lowest cost of a filler on a minion; None if it depends on the filler."""
        if minion.lasting_images or minion.speed.ratio != 1.0:
            return None
        option = self._options[minion] = ((0.0, 0.0, -self._interference.idle_cpu(minion)), number)
        return option
