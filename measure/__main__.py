"""Run the performance measurements: ``python -m measure [PART] [--json FILE]``.

Documentation and commits quote their figures. A missed target is reported as ``short`` and does not
change the exit status.
"""

from __future__ import annotations

import argparse
import importlib
from pathlib import Path

from measure.report import Figure, encode_figures, print_figures

# Modules of each part; each module has ``figures()``, which returns or yields ``Figure``.
PARTS: dict[str, tuple[str, ...]] = {
    "requests": ("measure.requests_cost", "measure.requests_policy"),
    "batch": ("measure.batch_cost", "measure.batch_policy"),
    "tenants": ("measure.tenants_cost",),
    "agreement": ("measure.agreement",),
    "failover": ("measure.failover_cost",),
    "jobs": ("measure.stragglers", "measure.round_cost", "measure.report_cost"),
    "leader": ("measure.leader_cost",),
    "shortage": ("measure.shortage",),
    "short-pool": ("measure.short_pool",),
    "look-ahead": ("measure.look_ahead",),
    "uneven": ("measure.uneven_minions",),
    "cost": ("measure.fold_cost", "measure.node_cost"),
    "accepted": ("measure.accepted_cost",),
    "keys": ("measure.keys_cost",),
}


def main() -> None:
    """Run one part or all parts, print each figure and write the JSON file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", nargs="?", choices=[*PARTS, "all"], default="all")
    parser.add_argument("--json", type=Path, default=Path("build/measured.json"))
    options = parser.parse_args()
    parts = PARTS if options.part == "all" else {options.part: PARTS[options.part]}
    all_figures: list[Figure] = []
    for modules in parts.values():
        for name in modules:
            all_figures += print_figures(importlib.import_module(name).figures())
    options.json.parent.mkdir(parents=True, exist_ok=True)
    options.json.write_bytes(encode_figures(all_figures))


if __name__ == "__main__":
    main()
