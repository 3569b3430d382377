"""Cost of looking up the key of a request among the keys of all tenants."""

from __future__ import annotations

import statistics
import time
from collections.abc import Iterator, Sequence

from dotterelhill.jobs.tenants.keys import ApiKeys
from measure.report import Figure, figure_with_target, median_figure, print_figures

KEY_COUNT = 10_000
TENANT_COUNT = 200
ROUNDS = 25
LOOKUP_TARGET_US = 20.0
# Largest ratio between lookups of known and unknown keys at which their times count as equal.
RATIO_TARGET = 1.2


def _seconds_per_lookup(keys: ApiKeys, names: Sequence[str]) -> float:
    begin = time.perf_counter()
    for name in names:
        keys.tenant_of(name)
    return (time.perf_counter() - begin) / len(names)


def figures() -> Iterator[Figure]:
    """Measure lookups of known and unknown keys in turn."""
    known = [f"key-{number:032x}" for number in range(KEY_COUNT)]
    unknown = [f"key-{number:032x}" for number in range(KEY_COUNT, 2 * KEY_COUNT)]
    by_tenant = [(f"t{index}", known[index::TENANT_COUNT]) for index in range(TENANT_COUNT)]
    keys = ApiKeys.from_tenants(by_tenant)
    known_us, unknown_us = [], []
    for _ in range(ROUNDS):
        known_us.append(1e6 * _seconds_per_lookup(keys, known))
        unknown_us.append(1e6 * _seconds_per_lookup(keys, unknown))
    yield median_figure("lookup of a known key", "us", known_us, at_most=LOOKUP_TARGET_US)
    yield median_figure("lookup of an unknown key", "us", unknown_us, at_most=LOOKUP_TARGET_US)
    ratio = statistics.median(known_us) / statistics.median(unknown_us)
    yield figure_with_target(
        "known to unknown key",
        f"{1 / RATIO_TARGET:.2f} to {RATIO_TARGET:g}",
        "",
        f"{ratio:.3f}",
        is_met=1 / RATIO_TARGET <= ratio <= RATIO_TARGET,
    )


if __name__ == "__main__":
    print_figures(figures())
