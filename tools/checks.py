"""Run all checks of the repository and print a line with the number of passed and failed ones.

Each check is a separate command. Each behave slice needs one, because behave finds ``steps/`` only
beside its first path.
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
SOURCE_FOLDERS = ("dotterelhill", "standins", "measure", "tools", "explorer")


@dataclass(frozen=True, slots=True)
class Check:
    """Command with its name in the report."""

    name: str
    command: tuple[str, ...]


def _existing_source_folders() -> tuple[str, ...]:
    return tuple(folder for folder in SOURCE_FOLDERS if (ROOT / folder).is_dir())


def _behave_check(name: str, path: str, tags: str) -> Check:
    options = ("--format=plain", "--no-capture", f"--tags={tags}")
    return Check(name, (sys.executable, "-m", "behave", *options, path))


def behave_checks() -> list[Check]:
    """Return one check for each ``tests`` folder that has feature files.

    Scenarios with the tag ``@known-red`` fail each time and are left out. Those with
    ``@known-flaky`` fail now and then without a known cause; they are a check of their own, so
    that KNOWN-RED.txt can list it without hiding failures of the other scenarios.
    """
    checks = []
    for tests in sorted(ROOT.glob("*/**/tests")):
        features = [feature.read_text() for feature in tests.glob("*.feature")]
        if not features:
            continue
        path = str(tests.relative_to(ROOT))
        name = f"behave {path}"
        checks.append(_behave_check(name, path, "not @known-red and not @known-flaky"))
        if any("@known-flaky" in feature for feature in features):
            checks.append(_behave_check(f"{name} known-flaky", path, "@known-flaky"))
    return checks


def doctest_checks() -> list[Check]:
    """Return one check that runs every docstring example."""
    return [Check("doctest", (sys.executable, "-m", "tools.doctests"))]


def all_checks() -> list[Check]:
    """Return all checks of the repository."""
    python = sys.executable
    folders = _existing_source_folders()
    checks = [
        Check("black", (python, "-m", "black", "--check", "--quiet", *folders)),
        Check("ruff", (python, "-m", "ruff", "check", "--quiet", *folders)),
        Check("mypy", (python, "-m", "mypy", "--no-error-summary", *folders)),
    ]
    demo = Check("demo", (python, "-m", "tools.demo"))
    return [*checks, *doctest_checks(), *behave_checks(), demo]


def run_check(check: Check) -> bool:
    """Run a check and return whether it exits with 0; print its output if it does not."""
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


def _is_not_longest_slice(check: Check) -> bool:
    return check.name != f"behave {LONGEST_SLICE}"


def known_failure_names() -> set[str]:
    """Return the names of the checks that KNOWN-RED.txt lists in lines ``check: NAME``."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.is_file():
        return set()
    names = set()
    for line in path.read_text().splitlines():
        if line.startswith("check: "):
            names.add(line.removeprefix("check: ").strip())
    return names


def main(arguments: list[str]) -> int:
    """Run the checks whose names contain an argument; return 0 if all passed, otherwise 1.

    Without arguments all checks run. A check that KNOWN-RED.txt lists runs and is printed like the
    others, but its failure does not change the exit status.
    """
    checks = all_checks()
    if arguments:
        checks = [check for check in checks if any(word in check.name for word in arguments)]
    # The longest check spends most of its time waiting, so the others run at the same time.
    with ThreadPoolExecutor(max_workers=2) as pool:
        verdicts = list(pool.map(run_check, sorted(checks, key=_is_not_longest_slice)))
    ordered_checks = sorted(checks, key=_is_not_longest_slice)
    failed_names = {
        check.name for check, verdict in zip(ordered_checks, verdicts, strict=True) if not verdict
    }
    known_failures = failed_names & known_failure_names()
    for name in sorted(known_failures):
        print(f"known failure in KNOWN-RED.txt, ignored: {name}")
    unexpected_count = len(failed_names - known_failures)
    print(f"{len(verdicts) - len(failed_names)} passed, {unexpected_count} failed")
    return 1 if unexpected_count else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
