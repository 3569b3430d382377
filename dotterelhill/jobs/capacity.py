"""Checks of planned starts against capacities that change while minions run."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from dotterelhill.jobs.fleet import Minion, Run
from dotterelhill.jobs.model import ResourceVector


def runs_beyond_capacity(planned: Iterable[Run], minions: Mapping[str, Minion]) -> set[Run]:
    """Return the planned runs without which no minion exceeds its present capacity.

    :param planned: runs in the order of their plan; later ones are returned first
    :param minions: minions by id, on which the runs reserve their resources
    """
    beyond: set[Run] = set()
    remaining_use: dict[str, ResourceVector] = {}
    for run in reversed(list(planned)):
        minion = minions.get(run.minion_id)
        if minion is None or minion.runs.get(run.key) is not run:
            continue
        used = remaining_use.get(run.minion_id, minion.used)
        if minion.facts.capacity.is_enough_for(used):
            continue
        beyond.add(run)
        remaining_use[run.minion_id] = used.minus(run.step.reserved_resources)
    return beyond
