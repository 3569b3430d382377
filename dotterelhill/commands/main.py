"""Command line of dotterelhill.

The functions here only declare the arguments of the commands. Each imports its module when it
runs, so that short commands do not wait for the libraries of the entry process to load.
"""

from __future__ import annotations

import os
import sys
import traceback
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any, Literal

import defopt

from dotterelhill import __version__
from dotterelhill.commands.status import EXIT_MEANINGS, CommandError, ExitStatus

LOG_URL_VARIABLE = "DOTTERELHILL_LOG_URL"
DEFAULT_ADMIN_ADDRESS = "127.0.0.1:8083"

GROUPS = """groups of commands:
  config {check}                 check a configuration of the prepared platform
  manifest {check,publish,show}  check, publish and show what operators decide
  state {dump}                   state of one entry process
  settings {show}                settings of an entry process and their sources"""

EXAMPLES = """examples:
  dotterelhill manifest check fleet.json
  dotterelhill manifest show --document --log-url http://10.0.0.9:7000 > fleet.json
  dotterelhill manifest publish fleet.json --base 41 --log-url http://10.0.0.9:7000
  dotterelhill explain job register-sync --address 10.0.0.5:8083
  dotterelhill state dump 10.0.0.5:8083
  dotterelhill replay /run/dotterelhill/trace.holdings --expect single-holder
  dotterelhill settings show --caller-port 8090"""

ENTRY_DOC = "Run one entry process until it is told to stop (SIGTERM)."
SETTINGS_DOC = "Show the settings in force and where each value came from; secrets are masked."

_Commands = Mapping[str, Any]


def _help_stub(name: str, doc: str) -> Callable[..., Any]:
    """Return a command without flags, for a help text that only lists the command."""

    def stub() -> None:
        pass

    stub.__name__ = name
    stub.__doc__ = doc
    return stub


def _entry_command(is_chosen: bool) -> Callable[..., Any]:
    if not is_chosen:
        return _help_stub("entry", ENTRY_DOC)
    from dotterelhill.commands.entry import entry_command

    return entry_command(ENTRY_DOC)


def _settings_command(is_chosen: bool) -> Callable[..., Any]:
    if not is_chosen:
        return _help_stub("show", SETTINGS_DOC)
    from dotterelhill.commands.entry import settings_command

    return settings_command(SETTINGS_DOC)


def check_manifest(file: Path, *, json: bool = False) -> int:
    """Check a manifest file and print every fault with its path in the document.

    :param file: JSON document
    :param json: print JSON
    """
    from dotterelhill.commands.checking import check

    return check(file, json)


def check_config(file: Path, *, against: Path | None = None, json: bool = False) -> int:
    """Check a configuration of the prepared platform and print every finding with its place.

    :param file: JSON document
    :param against: configuration in force; the differences from it are printed too
    :param json: print JSON
    """
    from dotterelhill.commands.config_checking import check

    return check(file, against, json)


def publish_manifest(
    file: Path,
    *,
    log_url: str = "",
    base: int | None = None,
    id: str = "",
    entry: str = "",
    json: bool = False,
) -> int:
    """Publish a manifest file and print the verdict that every reader of the log reaches.

    :param file: JSON document
    :param log_url: base URL of the log service; DOTTERELHILL_LOG_URL when not given
    :param base: version that the document was made from; the version in force when not given
    :param id: publication id of an earlier command whose outcome stayed unknown
    :param entry: HOST:PORT of an admin port, needed when the log no longer keeps the first version
    :param json: print JSON
    """
    from dotterelhill.commands.manifest import publish_file

    return publish_file(file, _log_url(log_url), base, id, entry, json)


def show_manifest(
    *, log_url: str = "", entry: str = "", document: bool = False, json: bool = False
) -> int:
    """Show the manifest in force and the newest refused publications.

    :param log_url: base URL of the log service; DOTTERELHILL_LOG_URL when not given
    :param entry: HOST:PORT of an admin port, needed when the log no longer keeps the first version
    :param document: print only the document, to edit and publish it
    :param json: print JSON
    """
    from dotterelhill.commands.manifest import show

    return show(_log_url(log_url), entry, document, json)


def dump_state(address: str, *, json: bool = False) -> int:
    """Print the whole state of an entry process.

    :param address: HOST:PORT of its admin port
    :param json: print JSON on one line
    """
    from dotterelhill.commands.inspection import dump_state

    return dump_state(address, json)


def explain(
    kind: Literal["job", "request", "worker"],
    name: str,
    *,
    address: str = DEFAULT_ADMIN_ADDRESS,
    json: bool = False,
) -> int:
    """Explain why a job, request or worker is in its present condition.

    :param kind: what the name names
    :param name: name of the job or worker, id of the request
    :param address: HOST:PORT of an admin port
    :param json: print JSON
    """
    from dotterelhill.commands.inspection import explain

    return explain(kind, name, address, json)


def replay(trace: Path, *, expect: list[str] | None = None, json: bool = False) -> int:
    """Feed a recorded trace to its slice and check stated outcomes after each event.

    :param trace: file that an entry process wrote, see the setting trace_file
    :param expect: names of outcomes; all outcomes of the slice when not given
    :param json: print JSON
    """
    from dotterelhill.commands.replaying import replay_file

    return replay_file(trace, expect, json)


def scheduler(*, log_level: Literal["debug", "info", "notice", "warning", "error"] = "info") -> int:
    """Run one scheduler process on the prepared platform until it is told to stop (SIGTERM).

    The variable DOTTERELHILL_BOOT holds the path of its settings file.

    :param log_level: least level of the log lines on standard output
    """
    from dotterelhill.platform.process import run_scheduler
    from dotterelhill.platform.settings import SettingsError

    try:
        return run_scheduler(log_level)
    except SettingsError as error:
        raise CommandError(ExitStatus.WRONG_USE, str(error)) from None


def _log_url(flag: str) -> str:
    url = flag or os.environ.get(LOG_URL_VARIABLE, "")
    if not url:
        message = f"--log-url ({LOG_URL_VARIABLE}): missing; accepted: http://HOST:PORT"
        raise CommandError(ExitStatus.WRONG_USE, message)
    return url


def _commands(chosen: str) -> _Commands:
    return {
        "entry": _entry_command(chosen == "entry"),
        "scheduler": scheduler,
        "manifest": {"check": check_manifest, "publish": publish_manifest, "show": show_manifest},
        "config": {"check": check_config},
        "state": {"dump": dump_state},
        "explain": explain,
        "replay": replay,
        "settings": {"show": _settings_command(chosen == "settings")},
    }


def _epilogue() -> str:
    statuses = "\n".join(f"  {status.value}  {text}" for status, text in EXIT_MEANINGS.items())
    return f"{GROUPS}\n\n{EXAMPLES}\n\nexit statuses:\n{statuses}"


def run(arguments: Sequence[str]) -> int:
    """Run one command line and return its exit status.

    :param arguments: command-line arguments without the name of the program
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
    except Exception:
        traceback.print_exc()
        return ExitStatus.INTERNAL
    return int(result or 0)


def main() -> None:
    """Run the command line of this process and exit with its status."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
