"""Costs of starts on minions that equal tasks share during one round."""

from __future__ import annotations

from collections.abc import Callable, Collection, Hashable

from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.placement.start_options import Cost

StartCost = Callable[[Minion], Cost | None]


class RoundCosts:
    """Costs that depend on the size, image and constraints of a task, and not on its job.

    A cost is valid until a run starts on its minion. It is not kept where it depends on the job:
    on a claimed minion, and on one whose speed differs from that of others.
    """

    def __init__(self) -> None:
        # Number of changes of the minion, and the cost then, by minion.
        self._costs: dict[Hashable, dict[Minion, tuple[int, Cost | None]]] = {}
        self._claimed: Collection[Minion] = ()

    def begin_round(self, claimed: Collection[Minion]) -> None:
        """Forget the costs of the previous round.

        :param claimed: minions that fillers have claimed
        """
        self._costs.clear()
        self._claimed = frozenset(claimed)

    def shared(self, kind: Hashable, start_cost: StartCost) -> StartCost:
        """Return a function that computes each cost once for all tasks of a kind.

        :param kind: all properties of a task that its costs depend on
        :param start_cost: computes the cost on a minion; None when a start is not allowed
        """
        costs = self._costs.setdefault(kind, {})

        def cost_on(minion: Minion) -> Cost | None:
            known = costs.get(minion)
            if known is not None and known[0] == minion.change_count:
                return known[1]
            cost = start_cost(minion)
            if minion.speed.ratio == 1.0 and minion not in self._claimed:
                costs[minion] = (minion.change_count, cost)
            return cost

        return cost_on
