"""Types that every slice uses: error kinds, ids, clock-drift bounds and decision protocol."""

from dotterelhill.core.clock import CLOCK_DRIFT, safe_wait_seconds, usable_seconds
from dotterelhill.core.decisions import DecisionCode
from dotterelhill.core.errors import (
    ERROR_ANSWERS,
    ErrorAnswer,
    ErrorKind,
    Outcome,
    RequestError,
)
from dotterelhill.core.identity import entry_name_of, new_incarnation_id, task_id

__all__ = [
    "CLOCK_DRIFT",
    "ERROR_ANSWERS",
    "DecisionCode",
    "ErrorAnswer",
    "ErrorKind",
    "Outcome",
    "RequestError",
    "entry_name_of",
    "new_incarnation_id",
    "safe_wait_seconds",
    "task_id",
    "usable_seconds",
]
