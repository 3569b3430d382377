"""Orders to minions and their outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from dotterelhill.jobs.fleet import Minion, Run
from dotterelhill.jobs.model import TaskKey


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Start a run, once the plan is durable.

    :param payload: text of the submission
    :param checkpoint: progress to resume from; empty for none
    """

    minion: Minion
    run: Run
    payload: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class StopOrder:
    """End a run, or keep it from starting."""

    minion: Minion
    key: TaskKey
    run_id: int


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Let a filler work at a share of its speed.

    :param percent: 0 to 100
    """

    minion: Minion
    run: Run
    percent: int


Order = StopOrder | PaceOrder


class StartOutcome(StrEnum):
    """What became of a start order.

    UNKNOWN: the answer was lost, so the order may be carried out, also later. All others but
    STARTED are proof that this order does nothing.
    """

    STARTED = "started"
    UNKNOWN = "unknown"
    NOT_SENT = "not sent"
    UNHEALTHY = "unhealthy"
    NO_ROOM = "no room"
    OUTDATED = "outdated run"
    LATE = "late"
    OTHER_INCARNATION = "other incarnation"
    REFUSED = "refused"
