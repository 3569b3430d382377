"""Orders to minions and the outcomes of start orders."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from dotterelhill.jobs.fleet import Minion, Run
from dotterelhill.jobs.model import TaskKey


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run; sent only after the plan is durable.

    :param payload: text from the submission
    :param checkpoint: checkpoint to resume from; empty for none
    """

    minion: Minion
    run: Run
    payload: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Order to stop a run, or to prevent a start order that is still on its way."""

    minion: Minion
    key: TaskKey
    run_id: int


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Order to throttle a filler to a share of its full speed.

    :param percent: 0 to 100
    """

    minion: Minion
    run: Run
    percent: int


Order = StopOrder | PaceOrder


class StartOutcome(StrEnum):
    """Outcome of a start order.

    UNKNOWN: the answer was lost, so the order may have been carried out or may be carried out
    later. Every outcome other than STARTED and UNKNOWN proves that the order has no effect.
    """

    STARTED = "started"
    UNKNOWN = "unknown"
    NOT_SENT = "not sent"
    UNHEALTHY = "unhealthy"
    NO_ROOM = "no room"
    OUTDATED = "outdated run"
    LATE = "late"
    FENCED = "fenced"
    OTHER_INCARNATION = "other incarnation"
    REFUSED = "refused"
