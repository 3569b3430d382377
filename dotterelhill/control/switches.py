"""Switches of the scheduler, read from environment variables."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import fields
from typing import Literal

import msgspec

from dotterelhill.jobs.changes import Switches

VARIABLE_PREFIX = "DOTTERELHILL_"


class SwitchError(ValueError):
    """Raised when a switch has an invalid value; the message names its variable."""


def load_switches(environment: Mapping[str, str]) -> Switches:
    """Return the switches; one whose variable is missing or empty has its default.

    >>> load_switches({"DOTTERELHILL_LOOK_AHEAD": "on"}).look_ahead
    True

    :param environment: environment variables by name
    :raises SwitchError: when a value is neither ``on`` nor ``off``
    """
    values = {}
    for field in fields(Switches):
        variable = VARIABLE_PREFIX + field.name.upper()
        text = environment.get(variable, "")
        if not text:
            continue
        try:
            values[field.name] = msgspec.convert(text, Literal["off", "on"]) == "on"
        except msgspec.ValidationError as error:
            raise SwitchError(f"{variable}: expected on or off, got {text!r}") from error
    return Switches(**values)
