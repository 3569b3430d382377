"""Decisions for the log about the reclaim of capacity, and the number of runs that it stopped."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from dotterelhill.jobs.changes import Decision
from dotterelhill.jobs.tenants.exchanges import Exchange, ExchangeSearch
from dotterelhill.jobs.tenants.usage import RunOwner

# Reclaim for a tenant has ended when no run was paused or stopped for this time. Runs report
# checkpoints at intervals, between which there may be none to pause.
END_SECONDS = 2.0


@dataclass(slots=True)
class _Episode:
    """Time in which capacity is reclaimed for one tenant in one service.

    :param newest_at: loop time of the newest pause or stop
    """

    newest_at: float
    stopped_runs: int = 0


class ReclaimLog:
    """Begin and end of the reclaim for each tenant, and stopped runs by tenant."""

    def __init__(self) -> None:
        self._episodes: dict[RunOwner, _Episode] = {}
        self._stopped_runs: dict[str, int] = {}

    @property
    def is_idle(self) -> bool:
        """Return whether no end of a reclaim is left to be noted."""
        return not self._episodes

    @property
    def stopped_runs(self) -> Mapping[str, int]:
        """Return the number of runs that were stopped, by the tenant that gave them up."""
        return self._stopped_runs

    def record_pause(
        self, exchange: Exchange, search: ExchangeSearch, now: float
    ) -> list[Decision]:
        """Return the decision that capacity is reclaimed for a tenant, at its first pause.

        :param search: search that has found the exchange, before it counts as done
        """
        taker, giver = exchange.taker, exchange.candidate.owner
        episode = self._episodes.get(taker)
        if episode is not None:
            episode.newest_at = now
            return []
        self._episodes[taker] = _Episode(now)
        fields = {
            "tenant": taker.tenant,
            "service": taker.service,
            "weighted_share": round(search.share(taker), 4),
            "from_tenant": giver.tenant,
            "from_weighted_share": round(search.share(giver), 4),
        }
        return [Decision("capacity is reclaimed for a tenant below its share", "", fields)]

    def record_stop(self, exchange: Exchange, now: float) -> None:
        """Count a stopped run."""
        giver = exchange.candidate.owner.tenant
        self._stopped_runs[giver] = self._stopped_runs.get(giver, 0) + 1
        episode = self._episodes.get(exchange.taker)
        if episode is not None:
            episode.newest_at = now
            episode.stopped_runs += 1

    def end_episodes(self, now: float) -> list[Decision]:
        """Return a decision for each tenant for which no capacity is reclaimed any more."""
        decisions = []
        for taker, episode in list(self._episodes.items()):
            if now - episode.newest_at < END_SECONDS:
                continue
            del self._episodes[taker]
            fields = {
                "tenant": taker.tenant,
                "service": taker.service,
                "stopped_runs": episode.stopped_runs,
            }
            decisions.append(Decision("capacity is no longer reclaimed for a tenant", "", fields))
        return decisions
