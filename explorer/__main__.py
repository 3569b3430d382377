"""Command line of the interleaving search."""

from __future__ import annotations

import argparse
import math
import os
import sys
from contextlib import nullcontext

from explorer.faults import FAULTS
from explorer.search import SearchResult, search
from explorer.shrink import shorten_finding
from explorer.walk import Finding

# A set of strings is iterated in the order of their hashes; a fixed hash seed makes this order, and
# so the walk of a seed, the same in every run.
HASH_SEED = "0"
FOUND_STATUS = 1


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="python -m explorer", description="Search interleavings for a broken invariant."
    )
    parser.add_argument("--seed", type=int, default=1, help="seed of the first walk")
    parser.add_argument("--steps", type=int, default=2000, help="steps of each walk")
    parser.add_argument("--walks", type=int, default=50, help="most walks")
    parser.add_argument("--seconds", type=float, default=math.inf, help="begin no walk after this")
    parser.add_argument(
        "--shrink-seconds", type=float, default=60.0, help="0 leaves the trace long"
    )
    parser.add_argument("--fault", choices=sorted(FAULTS), help="put one fault into the code")
    parser.add_argument("--list-faults", action="store_true", help="print the faults and exit")
    parser.add_argument("--row", action="store_true", help="print the result as a table row")
    return parser.parse_args()


def _print_result(result: SearchResult) -> None:
    print(
        f"{result.walks} walks, {result.steps} steps, {result.real_seconds:.1f} s "
        f"({result.simulated_seconds:.0f} s of simulated time)"
    )
    print(", ".join(f"{name} {count}" for name, count in sorted(result.counts.items())))


def _print_finding(title: str, finding: Finding) -> None:
    steps = finding.walk.steps
    print(f"{title}: seed {finding.walk.seed}, {len(steps)} steps, at {finding.at_seconds:.2f} s")
    print(f"broken: {finding.invariant}: {finding.detail}", flush=True)


def _table_row(fault: str, result: SearchResult) -> str:
    rule = FAULTS[fault].rule if fault else "none"
    if result.finding is None:
        found = "not found"
    else:
        found = f"`{result.finding.invariant}`, seed {result.finding.walk.seed}"
    seconds = f"{result.real_seconds:.0f}"
    cells = (fault or "-", rule, found, str(result.walks), str(result.steps), seconds)
    return f"| {' | '.join(cells)} |"


def _run_search(arguments: argparse.Namespace) -> int:
    with FAULTS[arguments.fault].inject() if arguments.fault else nullcontext():
        result = search(arguments.seed, arguments.steps, arguments.walks, arguments.seconds)
        if arguments.row:
            print(_table_row(arguments.fault, result))
            return 0 if result.finding is None else FOUND_STATUS
        _print_result(result)
        if result.finding is None:
            print("no invariant was broken")
            return 0
        _print_finding("found", result.finding)
        if arguments.shrink_seconds > 0:
            shorter = shorten_finding(result.finding, arguments.shrink_seconds)
            _print_finding("shortened", shorter)
            for step in shorter.walk.steps:
                print(f"  {step}")
    return FOUND_STATUS


def main() -> int:
    """Run the command and return its exit status: 1 if an invariant was broken, else 0."""
    arguments = _arguments()
    if arguments.list_faults:
        for fault in FAULTS.values():
            print(f"{fault.name}: {fault.rule}")
        return 0
    return _run_search(arguments)


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        environment = {**os.environ, "PYTHONHASHSEED": HASH_SEED}
        os.execve(sys.executable, [sys.executable, "-m", "explorer", *sys.argv[1:]], environment)
    sys.exit(main())
