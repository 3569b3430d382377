"""Largest room on any minion, which tells that a task fits nowhere without a look at each minion.

Explanation
===========

Each suspected task looks for a minion of its own in each round. Within a round room only shrinks,
so a task that is larger than the largest room of a service need not look.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.interference.sharing import MIN_FILLER_CPU_SHARE, InterferenceControl
from dotterelhill.jobs.model import Step


@dataclass(slots=True)
class _Most:
    """Largest value on any minion of a service when a round first asked for it.

    :param claimable_cpu: thousandths of a processor that lasting tasks do not reserve
    :param idle_cpu: idle thousandths of a processor, for fillers
    :param admitted: whether some minion had headroom, by image and processors of a filler
    """

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0
    claimable_cpu: int = 0
    idle_cpu: float = 0.0
    admitted: dict[tuple[str, int], bool] = field(default_factory=dict)


class MostRoom:
    """Largest room of each service in one round, before tasks claim it.

    :param interference: control of the interference between fillers and serving tasks
    """

    def __init__(self, interference: InterferenceControl) -> None:
        self._interference = interference
        self._by_service: dict[str, _Most] = {}

    def begin_round(self) -> None:
        """Forget the room of the previous round."""
        self._by_service.clear()

    def may_start(self, step: Step, pool: Sequence[Minion], now: float) -> bool:
        """Return false if a task of a step can start on no minion now.

        :param pool: all minions of a service on which tasks may start; not empty
        """
        most, room = self._most(pool), step.reserved_resources
        if room.cpu > most.cpu or room.memory_mb > most.memory_mb or room.gpu > most.gpu:
            return False
        if not step.is_filler:
            return True
        if most.idle_cpu < MIN_FILLER_CPU_SHARE * step.room.cpu:
            return False
        effect_key = (step.image, step.room.cpu)
        is_admitted = most.admitted.get(effect_key)
        if is_admitted is None:
            is_admitted = most.admitted[effect_key] = any(
                self._interference.filler_interference(minion, step, now) is not None
                for minion in pool
            )
        return is_admitted

    def may_claim(self, step: Step, pool: Sequence[Minion]) -> bool:
        """Return false if no minion has room for a task once all its short tasks have ended.

        :param pool: as for ``may_start``
        """
        most, room = self._most(pool), step.room
        if room.memory_mb > most.memory_mb or room.gpu > most.gpu:
            return False
        return room.cpu <= most.claimable_cpu

    def _most(self, pool: Sequence[Minion]) -> _Most:
        """Return the largest room on any minion of a pool."""
        service = pool[0].facts.service
        most = self._by_service.get(service)
        if most is not None:
            return most
        most = self._by_service[service] = _Most(
            *(-1,) * 4, idle_cpu=max(self._interference.idle_cpu(minion) for minion in pool)
        )
        for minion in pool:
            capacity, used = minion.facts.capacity, minion.used
            most.cpu = max(most.cpu, capacity.cpu - used.cpu)
            most.memory_mb = max(most.memory_mb, capacity.memory_mb - used.memory_mb)
            most.gpu = max(most.gpu, capacity.gpu - used.gpu)
            most.claimable_cpu = max(most.claimable_cpu, capacity.cpu - minion.lasting_cpu)
        return most
