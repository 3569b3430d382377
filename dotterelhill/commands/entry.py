"""Commands ``entry`` and ``settings show``; their flags are the fields of ``EntrySettings``."""

from __future__ import annotations

import inspect
from collections.abc import Callable
from typing import Any

from dotterelhill.commands.output import print_json, print_table
from dotterelhill.commands.status import CommandError, ExitStatus
from dotterelhill.entry.settings import (
    EntrySettings,
    SettingsError,
    accepted_values,
    list_settings,
    read_settings,
    variable_of,
)


def _given_flags(values: dict[str, Any]) -> dict[str, str]:
    return {name: value for name, value in values.items() if value is not None}


def _read_settings(flags: dict[str, str]) -> EntrySettings:
    try:
        return read_settings(flags)
    except SettingsError as error:
        lines = "\n  ".join(str(fault) for fault in error.faults)
        message = f"{len(error.faults)} wrong settings:\n  {lines}"
        raise CommandError(ExitStatus.WRONG_USE, message) from None


def _run_entry(**values: Any) -> int:
    settings = _read_settings(_given_flags(values))
    # This module imports every slice; reading the settings must not wait for that.
    from dotterelhill.entry.process import run_entry

    return int(run_entry(settings) or ExitStatus.DONE)


def _show_settings(*, json: bool = False, **values: Any) -> int:
    flags = _given_flags(values)
    shown = list_settings(_read_settings(flags), flags)
    if json:
        print_json(shown)
    else:
        print_table([(item.name, str(item.value), item.source) for item in shown])
    return ExitStatus.DONE


def _with_setting_flags(function: Callable[..., int], name: str, doc: str) -> Callable[..., int]:
    """Return a command that calls ``function`` and has one flag for each setting.

    defopt derives the flags from the keyword-only parameters and the docstring.
    """
    keyword = inspect.Parameter.KEYWORD_ONLY
    command_flags = {"json": bool} if "json" in inspect.signature(function).parameters else {}
    parameters = [
        inspect.Parameter(key, keyword, default=False, annotation=bool) for key in command_flags
    ]
    lines = [doc, ""] + [":param json: print JSON" for _ in command_flags]
    for setting, info in EntrySettings.model_fields.items():
        parameters.append(inspect.Parameter(setting, keyword, default=None, annotation=str | None))
        # defopt parses this text as reST, in which '*' and '|' are markup.
        text = f"{info.description} ({accepted_values(setting)}) [{variable_of(setting)}]"
        if not info.is_required():
            text += f" default {info.default!r}"
        lines.append(f":param {setting}: {text}")

    def command(**values: Any) -> int:
        return function(**values)

    command.__name__ = name
    command.__doc__ = "\n".join(lines)
    command.__annotations__ = {item.name: item.annotation for item in parameters}
    command.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    return command


def entry_command(doc: str) -> Callable[..., int]:
    """Return the command that runs one entry process."""
    return _with_setting_flags(_run_entry, "entry", doc)


def settings_command(doc: str) -> Callable[..., int]:
    """Return the command that shows the settings in force."""
    return _with_setting_flags(_show_settings, "show", doc)
