"""Time of a scheduling round by what has changed since the one before.

Run it with ``python -m measure.round_cost``. To compare two versions, run it alternately in two
checkouts. The load is that of ``measure.tenants_cost``.
"""

from __future__ import annotations

import gc
import statistics
from collections.abc import Iterator

from measure.report import Figure, figure_with_target, figure_without_target, print_figures
from measure.tenants_cost import MINIONS, TENANTS, WAITING_TASKS, LoadedFleet

WARM_UP_ROUNDS = 20
ROUNDS = 120
MAX_ROUND_MS = 25.0
# A leader runs ten rounds in a second while nothing happens.
MAX_IDLE_ROUND_MS = 1.0
ENDS = {"after 50 ends": 50, "after one end": 1, "idle": 0}


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
            mean, high = statistics.mean(values), statistics.quantiles(values, n=100)[98]
            yield figure_without_target(f"mean {kind}", "ms", mean)
            limit = MAX_ROUND_MS if ENDS[name] else MAX_IDLE_ROUND_MS
            yield figure_with_target(
                f"99th percentile of a {kind}", f"under {limit} ms", "", f"{high:.2f} ms",
                is_met=high < limit,
            )  # fmt: skip


if __name__ == "__main__":
    print_figures(figures())
