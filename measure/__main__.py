"""Run the measurements that pages and commits quote: ``python -m measure [PART] [--json FILE]``.

A missed target is reported as ``short`` and never fails the command.
"""

from __future__ import annotations

import argparse
import importlib
from pathlib import Path

from measure.report import Figure, encoded_figures, printed_figures

# Modules by part; each has ``figures()``, which returns or yields ``Figure``.
PARTS: dict[str, tuple[str, ...]] = {
    "requests": ("measure.requests_cost", "measure.requests_policy"),
    "batch": ("measure.batch_cost", "measure.batch_policy"),
    "agreement": ("measure.agreement",),
    "cost": ("measure.fold_cost", "measure.node_cost"),
}


def main() -> None:
    """Run one part or all, print each figure and write the JSON file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", nargs="?", choices=[*PARTS, "all"], default="all")
    parser.add_argument("--json", type=Path, default=Path("build/measured.json"))
    options = parser.parse_args()
    parts = PARTS if options.part == "all" else {options.part: PARTS[options.part]}
    measured: list[Figure] = []
    for modules in parts.values():
        for name in modules:
            measured += printed_figures(importlib.import_module(name).figures())
    options.json.parent.mkdir(parents=True, exist_ok=True)
    options.json.write_bytes(encoded_figures(measured))


if __name__ == "__main__":
    main()
