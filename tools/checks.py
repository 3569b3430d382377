"""Run every check of the repository and print one verdict line.

Each check is a command of its own; a behave slice is one command, because behave finds ``steps/``
only beside its first path.
"""

from __future__ import annotations

import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
CHECK_TIMEOUT_SECONDS = 900
LONGEST_SLICE = "dotterelhill/entry/tests"
TREES = ("dotterelhill", "standins", "measure", "tools", "explorer")


@dataclass(frozen=True, slots=True)
class Check:
    """One command with a name for the report."""

    name: str
    command: tuple[str, ...]


def _present_trees() -> tuple[str, ...]:
    return tuple(tree for tree in TREES if (ROOT / tree).is_dir())


def _known_red_tag() -> str:
    return "--tags=not @known-red"


def behave_checks() -> list[Check]:
    """Return one check for each slice that has feature files."""
    checks = []
    for tests in sorted(ROOT.glob("*/**/tests")):
        if not any(tests.glob("*.feature")):
            continue
        path = str(tests.relative_to(ROOT))
        command = (
            sys.executable,
            "-m",
            "behave",
            "--format=plain",
            "--no-capture",
            _known_red_tag(),
            path,
        )
        checks.append(Check(f"behave {path}", command))
    return checks


def doctest_checks() -> list[Check]:
    """Return one check that runs every docstring example."""
    return [Check("doctest", (sys.executable, "-m", "tools.doctests"))]


def all_checks() -> list[Check]:
    """Return the checks in the order in which they run."""
    python = sys.executable
    trees = _present_trees()
    checks = [
        Check("black", (python, "-m", "black", "--check", "--quiet", *trees)),
        Check("ruff", (python, "-m", "ruff", "check", "--quiet", *trees)),
        Check("mypy", (python, "-m", "mypy", "--no-error-summary", *trees)),
    ]
    demo = Check("demo", (python, "-m", "tools.demo"))
    return [*checks, *doctest_checks(), *behave_checks(), demo]


def is_passed(check: Check) -> bool:
    """Return whether the check's command exits with 0; print its output when it does not."""
    started = time.monotonic()
    try:
        result = subprocess.run(
            check.command,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=CHECK_TIMEOUT_SECONDS,
        )
    except subprocess.TimeoutExpired:
        print(f"FAILED {check.name}: still running after {CHECK_TIMEOUT_SECONDS} s", flush=True)
        return False
    seconds = time.monotonic() - started
    if result.returncode == 0:
        print(f"passed {check.name} ({seconds:.1f} s)", flush=True)
        return True
    print(f"FAILED {check.name} ({seconds:.1f} s)", flush=True)
    print(result.stdout[-8000:], result.stderr[-8000:], flush=True)
    return False


def _is_after_longest(check: Check) -> bool:
    return check.name != f"behave {LONGEST_SLICE}"


def known_red_names() -> set[str]:
    """Return the checks of KNOWN-RED.txt, by its lines ``check: NAME``."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.is_file():
        return set()
    names = set()
    for line in path.read_text().splitlines():
        if line.startswith("check: "):
            names.add(line.removeprefix("check: ").strip())
    return names


def main(arguments: list[str]) -> int:
    """Return the exit status: 0 when every check whose name holds an argument passed.

    A check of KNOWN-RED.txt runs and is printed like others, but does not fail the run.
    """
    checks = all_checks()
    if arguments:
        checks = [check for check in checks if any(word in check.name for word in arguments)]
    # Most of the time of the longest check is waiting, so the others run beside it.
    with ThreadPoolExecutor(max_workers=2) as pool:
        verdicts = list(pool.map(is_passed, sorted(checks, key=_is_after_longest)))
    ordered = sorted(checks, key=_is_after_longest)
    red = {check.name for check, verdict in zip(ordered, verdicts, strict=True) if not verdict}
    known = red & known_red_names()
    for name in sorted(known):
        print(f"known red, passed over: {name}")
    failed = len(red - known)
    print(f"{len(verdicts) - len(red)} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
