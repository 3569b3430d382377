"""Run the measurements that pages and commits quote: ``python -m measure [PART] [--json FILE]``.

A missed target is reported as ``short`` and never fails the command.
"""

from __future__ import annotations

import argparse
import asyncio
import importlib
from pathlib import Path

from measure.report import Figure, encoded_figures, print_figures

# Modules by part; each has ``async def measured() -> list[Figure]``.
PARTS: dict[str, tuple[str, ...]] = {
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
    figures: list[Figure] = []
    for modules in parts.values():
        for name in modules:
            measured = asyncio.run(importlib.import_module(name).measured())
            print_figures(measured)
            figures += measured
    options.json.parent.mkdir(parents=True, exist_ok=True)
    options.json.write_bytes(encoded_figures(figures))


if __name__ == "__main__":
    main()
