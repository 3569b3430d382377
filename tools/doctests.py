"""Run the docstring examples of the shipped package."""

from __future__ import annotations

import doctest
import importlib
import pkgutil
import sys

import dotterelhill

OPTIONS = doctest.ELLIPSIS | doctest.NORMALIZE_WHITESPACE


def module_names() -> list[str]:
    """Return the names of all modules of the package, without its tests."""
    found = pkgutil.walk_packages(dotterelhill.__path__, "dotterelhill.")
    return [item.name for item in found if ".tests" not in item.name]


def main() -> int:
    """Run all examples and return the exit status: 0 if every example passes."""
    attempted = failed = 0
    for name in module_names():
        result = doctest.testmod(importlib.import_module(name), optionflags=OPTIONS)
        attempted += result.attempted
        failed += result.failed
    print(f"{attempted} examples, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
