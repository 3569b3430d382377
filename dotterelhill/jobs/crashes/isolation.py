"""Choice of minions for tasks that are suspected of crashing them."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from dotterelhill.jobs.crashes.suspicion import CrashSuspicion, has_unproven_runs
from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.model import TaskKey
from dotterelhill.jobs.placement.attempt_limit import AttemptLimit

# At most this share of the minions of a service is kept for suspected tasks at a time.
MAX_ISOLATED_SHARE = 0.25
# Each choice of a minion for a task that starts beside others takes a pass over all runs of a
# service, and a round has 25 ms.
MAX_SHARED_ATTEMPTS = 16

StartCost = Callable[[Minion], tuple[float, ...] | None]


class Isolation:
    """Minions on which a suspected task starts while nothing else does.

    A minion is isolated while a suspected run on it is not proven. If every minion has runs that
    are not proven, one is claimed: nothing starts on it until the suspected task can.
    """

    def __init__(self, suspicion: CrashSuspicion) -> None:
        self._suspicion = suspicion
        self._claims: dict[TaskKey, Minion] = {}
        self._isolated: set[Minion] = set()
        self._allowance = 0
        # Minions that the platform has crashed lately, by failure domain.
        self._risks: Mapping[str, int] = {}
        self._shared_limit = AttemptLimit(MAX_SHARED_ATTEMPTS)
        # Task that starts, or waits to start, on a minion that does not admit it. There is one at a
        # time until it is proven, since each may crash serving tasks.
        self._forced_key: TaskKey | None = None

    @property
    def forced_key(self) -> TaskKey | None:
        """Return the task that is forced to start alone, if any."""
        return self._forced_key

    @property
    def claims(self) -> Mapping[TaskKey, Minion]:
        """Return the claimed minions by suspected task."""
        return self._claims

    def is_claimed(self, minion: Minion) -> bool:
        """Return whether a minion is claimed for a suspected task."""
        return minion in self._claims.values()

    def begin_round(self, pools: Mapping[str, Sequence[Minion]]) -> None:
        """Find the minions that are isolated, and drop claims that are no longer needed.

        :param pools: minions on which tasks may start, by service
        """
        self._shared_limit.begin_round()
        self._risks = self._suspicion.platform_crashes.risks()
        tested_incarnations = set()
        waiting_keys = set()
        is_forced_tested = False
        for suspect in self._suspicion.suspects:
            task = suspect.task
            if suspect.is_tested:
                tested_incarnations.add((task.minion_id, task.minion_born_ms))
                is_forced_tested = is_forced_tested or task.key == self._forced_key
            elif not task.is_assigned:
                waiting_keys.add(task.key)
        usable = {minion for pool in pools.values() for minion in pool}
        self._isolated = set()
        for minion in usable:
            if (minion.minion_id, minion.facts.born_ms) in tested_incarnations:
                self._isolated.add(minion)
        for key, minion in list(self._claims.items()):
            if key in waiting_keys and minion in usable and minion not in self._isolated:
                continue
            del self._claims[key]
        self._isolated.update(self._claims.values())
        if not is_forced_tested and self._forced_key not in self._claims:
            self._forced_key = None

    def begin_pool(self, pool: Sequence[Minion]) -> None:
        """Set how many more minions of a service may be isolated.

        :param pool: all minions of a service on which tasks may start; not empty
        """
        service = pool[0].facts.service
        isolated_count = sum(minion.facts.service == service for minion in self._isolated)
        self._allowance = max(1, int(MAX_ISOLATED_SHARE * len(pool))) - isolated_count

    def open_minions(self, pool: Sequence[Minion]) -> list[Minion]:
        """Return the minions of a pool on which other tasks may start."""
        return [minion for minion in pool if minion not in self._isolated]

    def quiet_minions(self, pool: Sequence[Minion], now: float) -> list[Minion]:
        """Return the open minions on which all runs are proven, the least occupied first."""
        quiet = []
        for minion in self.open_minions(pool):
            if minion.is_answering and not has_unproven_runs(minion):
                quiet.append(minion)
        quiet.sort(
            key=lambda minion: (
                self._risk(minion),
                _work_at_risk(minion, now),
                minion.facts.born_ms,
            )
        )
        return quiet

    def _risk(self, minion: Minion) -> float:
        """Return how likely the platform crashes a minion during a test, to compare minions."""
        return float(self._risks.get(minion.facts.failure_domain, 0))

    def isolate(self, minion: Minion) -> None:
        """Isolate a minion on which a suspected task is about to start."""
        self._isolated.add(minion)

    def choose(
        self,
        key: TaskKey,
        pool: Sequence[Minion],
        start_cost: StartCost,
        now: float,
        *,
        is_forced: bool = False,
    ) -> Minion | None:
        """Return the minion on which a suspected task starts, and isolate it; None if it waits.

        :param start_cost: returns the cost of the start on a minion, None where it is not allowed;
            the first value is the distance to the task's data, or the serving work of the minion
        :param is_forced: whether the task is forced to start; the number of isolated minions does
            not limit it, since claims of other tasks may last
        """
        claimed = self._claims.get(key)
        if claimed is None and self._allowance <= 0 and not is_forced:
            return None
        best: Minion | None = None
        best_rank: tuple[float, ...] = ()
        for minion in pool:
            if minion is not claimed and minion in self._isolated:
                continue
            # A start on a silent minion may count a crash against a task that never ran.
            if not minion.is_answering or key in minion.runs or has_unproven_runs(minion):
                continue
            cost = start_cost(minion)
            if cost is None:
                continue
            # Freshly started minions come last: the platform may crash one again.
            rank = (
                self._risk(minion), cost[0], _work_at_risk(minion, now), minion.facts.born_ms
            )  # fmt: skip
            if best is None or rank < best_rank:
                best, best_rank = minion, rank
        if best is None:
            return None
        if claimed is None:
            self._allowance -= 1
        else:
            del self._claims[key]
            self._isolated.discard(claimed)
        self._isolated.add(best)
        if is_forced:
            self._forced_key = key
        return best

    def choose_shared(
        self, key: TaskKey, pool: Sequence[Minion], start_cost: StartCost, now: float
    ) -> Minion | None:
        """Return the minion on which a suspected task starts beside others, and isolate it.

        Such tasks are spread over all minions, so that a crash is held against few of them.

        :param start_cost: returns the cost of the start on a minion, None where it is not allowed
        """
        if not self._shared_limit.allows(key):
            return None
        self._shared_limit.record(key)
        best: Minion | None = None
        best_rank: tuple[float, ...] = ()
        for minion in pool:
            if not minion.is_answering or key in minion.runs or start_cost(minion) is None:
                continue
            suspect_count = sum(
                not run.is_proven and self._suspicion.is_suspected(run.key)
                for run in minion.runs.values()
            )
            rank = (
                float(suspect_count),
                self._risk(minion),
                _work_at_risk(minion, now),
                minion.facts.born_ms,
            )
            if best is None or rank < best_rank:
                best, best_rank = minion, rank
        if best is not None:
            # A minion that the task had claimed stays isolated until the round ends, since another
            # one may have started there.
            self._claims.pop(key, None)
            self._isolated.add(best)
        return best

    def drop_claim(self, key: TaskKey) -> None:
        """Drop the claim of a task, if any."""
        minion = self._claims.pop(key, None)
        if minion is not None:
            self._isolated.discard(minion)
            self._allowance += 1

    def claim(
        self,
        key: TaskKey,
        pool: Sequence[Minion],
        start_cost: StartCost,
        with_shortfall: Callable[[Sequence[Minion]], Minion | None],
        *,
        is_forced: bool = False,
    ) -> None:
        """Claim a minion for a suspected task that found none, if more may be isolated.

        A minion that lacks only the proof of its runs goes before one that lacks room as well.

        :param with_shortfall: returns the minion of a pool on which room comes first
        :param is_forced: as for ``choose``
        """
        if key in self._claims or (self._allowance <= 0 and not is_forced):
            return
        candidates = self.open_minions(pool)
        best: Minion | None = None
        best_count = 0
        for minion in candidates:
            if key in minion.runs or start_cost(minion) is None:
                continue
            count = sum(not run.is_proven for run in minion.runs.values())
            if best is None or count < best_count:
                best, best_count = minion, count
        if best is None:
            best = with_shortfall(candidates)
        if best is None:
            return
        self._claims[key] = best
        self._isolated.add(best)
        self._allowance -= 1
        if is_forced:
            self._forced_key = key


def _work_at_risk(minion: Minion, now: float) -> float:
    """Return the work that a crash of a minion would lose, in processor seconds."""
    work = 0.0
    for run in minion.runs.values():
        work += run.step.room.cpu / 1000.0 * (now - run.planned_at)
    return work
