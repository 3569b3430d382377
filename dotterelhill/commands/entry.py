"""Commands ``entry`` and ``settings show``; their flags come from ``EntrySettings``."""

from __future__ import annotations

import inspect
from collections.abc import Callable
from typing import Any

from dotterelhill.commands.output import print_json, print_table
from dotterelhill.commands.status import CommandError, ExitStatus
from dotterelhill.entry.settings import (
    EntrySettings,
    SettingsError,
    accepted_of,
    settings_from,
    shown_settings,
    variable_of,
)


def _flags_given(values: dict[str, Any]) -> dict[str, str]:
    return {name: value for name, value in values.items() if value is not None}


def _checked_settings(flags: dict[str, str]) -> EntrySettings:
    try:
        return settings_from(flags)
    except SettingsError as error:
        lines = "\n  ".join(str(fault) for fault in error.faults)
        message = f"{len(error.faults)} wrong settings:\n  {lines}"
        raise CommandError(ExitStatus.WRONG_USE, message) from None


def _run_entry(**values: Any) -> int:
    settings = _checked_settings(_flags_given(values))
    # The entry process imports every slice; checking its settings must not.
    from dotterelhill.entry.process import run_entry

    return int(run_entry(settings) or ExitStatus.DONE)


def _show_settings(*, json: bool = False, **values: Any) -> int:
    flags = _flags_given(values)
    shown = shown_settings(_checked_settings(flags), flags)
    if json:
        print_json(shown)
    else:
        print_table([(item.name, str(item.value), item.source) for item in shown])
    return ExitStatus.DONE


def _with_setting_flags(function: Callable[..., int], name: str, doc: str) -> Callable[..., int]:
    """Return the function with one keyword-only parameter for each setting, as defopt reads it."""
    keyword = inspect.Parameter.KEYWORD_ONLY
    own = {"json": bool} if "json" in inspect.signature(function).parameters else {}
    parameters = [inspect.Parameter(key, keyword, default=False, annotation=bool) for key in own]
    lines = [doc, ""] + [":param json: print JSON" for _ in own]
    for setting, info in EntrySettings.model_fields.items():
        parameters.append(inspect.Parameter(setting, keyword, default=None, annotation=str | None))
        # reST would read '*' and '|' in the ranges as markup.
        text = f"{info.description} ({accepted_of(setting)}) [{variable_of(setting)}]"
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
