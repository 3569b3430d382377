"""Time of a scheduling round by what has changed since the one before.

Run it with ``python -m measure.round_cost``. To compare two versions, run it alternately in two
checkouts. The first load is that of ``measure.tenants_cost``, the second that of
``measure.draining_load``.
"""

from __future__ import annotations

import gc
import statistics
from collections.abc import Iterator

from measure.draining_load import DrainingFleet
from measure.report import Figure, figure_with_target, figure_without_target, print_figures
from measure.tenants_cost import MINIONS, TENANTS, WAITING_TASKS, LoadedFleet

WARM_UP_ROUNDS = 20
ROUNDS = 120
MAX_ROUND_MS = 25.0
# A leader runs ten rounds in a second while nothing happens.
MAX_IDLE_ROUND_MS = 1.0
ENDS = {"after 50 ends": 50, "after one end": 1, "idle": 0}
DRAINING_ROUNDS = 70
DRAINING_WARM_UP_ROUNDS = 30
# Numbers of minions, waiting fillers and their jobs.
DRAINING_FLEETS = ((112, 2000, 100), (446, 10_000, 200))
DRAINING_MAX_STARTS = (16, 100)


def figures() -> Iterator[Figure]:
    """Measure rounds of each kind in turns, without tenants and with them."""
    for tenants in (0, TENANTS):
        fleet = LoadedFleet(tenants)
        times: dict[str, list[float]] = {name: [] for name in ENDS}
        # A collection would count for the round in which it happens to begin.
        gc.collect()
        gc.disable()
        for number in range(WARM_UP_ROUNDS + ROUNDS):
            for name, ends in ENDS.items():
                seconds = fleet.run_round(ends)
                if number >= WARM_UP_ROUNDS:
                    times[name].append(1000.0 * seconds)
        gc.enable()
        for name, values in times.items():
            kind = (
                f"round {name}, {MINIONS} minions, {WAITING_TASKS} waiting tasks, {tenants} tenants"
            )
            mean, high = statistics.mean(values), _percentile(values)
            yield figure_without_target(f"mean {kind}", "ms", mean)
            limit = MAX_ROUND_MS if ENDS[name] else MAX_IDLE_ROUND_MS
            yield figure_with_target(
                f"99th percentile of a {kind}", f"under {limit} ms", "", f"{high:.2f} ms",
                is_met=high < limit,
            )  # fmt: skip
    for minions, tasks, jobs in DRAINING_FLEETS:
        for max_starts in DRAINING_MAX_STARTS:
            yield from _draining_figures(minions, tasks, jobs, max_starts)


def _draining_figures(minions: int, tasks: int, jobs: int, max_starts: int) -> Iterator[Figure]:
    """Measure rounds of a fleet that drains."""
    fleet = DrainingFleet(minions, tasks, jobs, max_starts)
    gc.collect()
    gc.disable()
    seconds = [fleet.run_round() for _ in range(DRAINING_WARM_UP_ROUNDS + DRAINING_ROUNDS)]
    gc.enable()
    times = [1000.0 * value for value in seconds[DRAINING_WARM_UP_ROUNDS:]]
    kind = (
        f"draining round, {minions} minions, {tasks} waiting fillers of {jobs} jobs, "
        f"at most {max_starts} starts"
    )
    yield figure_without_target(f"median {kind}", "ms", statistics.median(times))
    yield figure_without_target(f"99th percentile {kind}", "ms", _percentile(times))


def _percentile(values: list[float]) -> float:
    """Return the 99th percentile."""
    return statistics.quantiles(values, n=100)[98]


if __name__ == "__main__":
    print_figures(figures())
