"""Jobs in time under shortages, with several orders and with admission.

Run it with ``python -m measure.shortage``. The same recorded loads are scheduled in virtual time:
first come first served, earliest deadline first, in the present order, in the order of shortage
control, and with its admission as well.

Assumptions of the simulation: 60 minions of 4 processors, 40 with a serving task of one processor.
Queue *search* has jobs of 1 to 4 short tasks, *plan* of 2 steps with up to 60 short tasks, both of
priority 0; *batch* has fillers in 2 steps of 20, of priority 2. Failure domain *a* sends five times
as much as *b* and *c*. Clients' estimates are off by 20 to 90 %. Refused callers return when they
were asked to, and give up after 30 s. A job is in time if it ends within its objective, from its
arrival; the time since its acceptance is reported separately.
"""

from __future__ import annotations

from collections.abc import Iterator

from measure.report import Figure, figure_with_target, figure_without_target
from measure.shortage_load import (
    DOMAINS,
    LOAD_KINDS,
    POLICIES,
    QUEUES,
    Outcome,
    ShortageSimulation,
    outcome_of,
    record_load,
)

SEEDS = (1, 2)
PRESENT = "present order"
GROUPS = (*QUEUES, *(f"domain {domain}" for domain in DOMAINS), "largest tenth")


def _worst_queue(outcome: Outcome) -> float:
    """Return the smallest share of jobs in time of a queue."""
    return min(outcome.share(name) for name in QUEUES)


def figures() -> Iterator[Figure]:
    """Yield the figures of each load, seed and policy."""
    for kind in LOAD_KINDS:
        for seed in SEEDS:
            load = record_load(seed, kind)
            results: dict[str, tuple[Outcome, ShortageSimulation]] = {}
            for policy in POLICIES:
                simulation = ShortageSimulation(load, seed, policy)
                simulation.simulate()
                results[policy.name] = (outcome_of(load, simulation), simulation)
            for name, (outcome, simulation) in results.items():
                label = f"{kind.name}, seed {seed}, {name}"
                yield from _figures_of(label, outcome, simulation, results[PRESENT][0])


def _figures_of(
    label: str, outcome: Outcome, simulation: ShortageSimulation, base: Outcome
) -> Iterator[Figure]:
    """Yield the figures of one policy beside those of the present order."""
    in_time, base_in_time = outcome.in_time["all"], base.in_time["all"]
    yield figure_with_target(
        f"{label}: jobs in time of {outcome.counted['all']}",
        "no fewer than in the present order",
        str(base_in_time),
        f"{in_time} ({100 * outcome.share('all'):.1f} %)",
        is_met=in_time >= base_in_time,
    )
    worst, base_worst = _worst_queue(outcome), _worst_queue(base)
    yield figure_with_target(
        f"{label}: worst queue",
        "no worse than in the present order",
        f"{100 * base_worst:.1f} %",
        f"{100 * worst:.1f} %",
        is_met=worst >= base_worst,
    )
    shares = ", ".join(f"{group} {100 * outcome.share(group):.1f}" for group in GROUPS)
    yield Figure(f"{label}: jobs in time in % by group", "", "", shares, "-")
    yield figure_without_target(f"{label}: value in time", "%", 100 * outcome.value_share)
    accepted_share = outcome.in_time_of_accepted / max(1, outcome.accepted)
    yield figure_without_target(
        f"{label}: in time since acceptance, of {outcome.accepted} accepted", "%",
        100 * accepted_share,
    )  # fmt: skip
    if simulation.refusals:
        yield figure_without_target(f"{label}: refused", "requests", simulation.refusals)
        waits = simulation.waits_of_refused
        mean_wait = sum(waits) / max(1, len(waits))
        yield figure_without_target(f"{label}: mean wait of refused callers", "s", mean_wait)


if __name__ == "__main__":
    from measure.report import print_figures

    print_figures(figures())
