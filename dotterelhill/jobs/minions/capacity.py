"""Checks of starts against capacities that change while minions run."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from dotterelhill.jobs.changes import Decision
from dotterelhill.jobs.fleet import Minion, Run
from dotterelhill.jobs.resources import ResourceVector


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


class StartHold:
    """Hold of starts while minions may have shrunk without the scheduler's knowledge.

    :param valid_seconds: age of the list of minions from which its capacities may be out of date
    """

    def __init__(self, valid_seconds: float) -> None:
        self._valid_seconds = valid_seconds
        self._list_read_at = float("-inf")
        self._began_at: float | None = None

    def record_list(self, read_at: float) -> None:
        """Record the loop time at which the whole list of minions was last known to be read."""
        self._list_read_at = read_at

    def is_active(self, now: float) -> bool:
        """Return whether nothing may start on minions that don't guard their capacity."""
        return now - self._list_read_at > self._valid_seconds

    def changed(self, now: float, minion_count: int) -> Decision | None:
        """Return the decision that the hold begins or ends, once for each.

        :param minion_count: number of minions on which starts are held back
        """
        if not self.is_active(now):
            if self._began_at is None:
                return None
            held_seconds = round(now - self._began_at, 2)
            self._began_at = None
            return Decision("starts no longer held back", "", {"held_seconds": held_seconds})
        if self._began_at is not None or not minion_count:
            return None
        self._began_at = now
        fields = {"list_age_seconds": round(now - self._list_read_at, 2), "minions": minion_count}
        return Decision("starts held back: the list of minions is out of date", "", fields)
