"""Command line of dotterelhill.

Functions here only name their arguments; each imports its module when it runs, so that short
commands do not wait for libraries of the entry process.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import defopt

from dotterelhill import __version__
from dotterelhill.commands.status import EXIT_MEANINGS, CommandError

ENTRY_DOC = "Run one entry process until it is told to stop (SIGTERM)."
SETTINGS_DOC = "Show the settings in force and where each value came from; secrets are masked."

_Commands = Mapping[str, Any]


def _stub(name: str, doc: str) -> Callable[..., Any]:
    """Return a command without flags, for help texts that only name it."""

    def stub() -> None:
        pass

    stub.__name__ = name
    stub.__doc__ = doc
    return stub


def _entry_command(is_chosen: bool) -> Callable[..., Any]:
    if not is_chosen:
        return _stub("entry", ENTRY_DOC)
    from dotterelhill.commands.entry import entry_command

    return entry_command(ENTRY_DOC)


def _settings_command(is_chosen: bool) -> Callable[..., Any]:
    if not is_chosen:
        return _stub("show", SETTINGS_DOC)
    from dotterelhill.commands.entry import settings_command

    return settings_command(SETTINGS_DOC)


def _commands(chosen: str) -> _Commands:
    return {
        "entry": _entry_command(chosen == "entry"),
        "settings": {"show": _settings_command(chosen == "settings")},
    }


def _epilogue() -> str:
    statuses = "\n".join(f"  {status.value}  {text}" for status, text in EXIT_MEANINGS.items())
    return f"exit statuses:\n{statuses}"


def run(arguments: Sequence[str]) -> int:
    """Return the exit status of one command line.

    :param arguments: words after the program's name
    """
    chosen = arguments[0] if arguments else ""
    try:
        result = defopt.run(
            _commands(chosen),
            argv=list(arguments) or ["--help"],
            version=f"dotterelhill {__version__}",
            short={},
            show_defaults=False,
            no_negated_flags=True,
            argparse_kwargs={"prog": "dotterelhill", "epilog": _epilogue()},
        )
    except CommandError as error:
        print(f"dotterelhill: {error}", file=sys.stderr)
        return error.status
    return int(result or 0)


def main() -> None:
    """Run the command line of this process and exit with its status."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
