"""Verdicts about queues: how many of their submissions entry processes should admit."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import inf

from dotterelhill.jobs.shortage.finish import QueueOutlook

# Estimates are off by 20 to 90 %.
MARGIN = 1.5
HOLD_SECONDS = 1.0
# Customers were promised that at most 60 % of all requests are refused or fail.
LEAST_SHARE = 0.4


@dataclass(frozen=True, slots=True)
class QueueVerdict:
    """What entry processes need to know about a queue whose submissions are refused in part.

    :param admitted_share: share of the submissions to admit, 0.4 to 1.0
    :param room_seconds: expected time until all are admitted
    """

    admitted_share: float
    room_seconds: float


class RefusalPolicy:
    """Decides for which queues submissions are refused."""

    def __init__(self) -> None:
        self._since: dict[str, float] = {}
        self.verdicts: dict[str, QueueVerdict] = {}

    def update(self, outlooks: Mapping[str, QueueOutlook], now: float) -> set[str]:
        """Decide anew, and return the queues for which refusals began or ended."""
        earlier = set(self.verdicts)
        self.verdicts = {}
        since = {}
        for name, outlook in outlooks.items():
            bound = MARGIN * outlook.useful_seconds
            seconds = outlook.next_end_seconds
            if seconds <= bound:
                continue
            since[name] = self._since.get(name, now)
            if now - since[name] < HOLD_SECONDS:
                continue
            share = bound / seconds if seconds < inf else 0.0
            self.verdicts[name] = QueueVerdict(max(LEAST_SHARE, share), seconds - bound)
        self._since = since
        return earlier ^ set(self.verdicts)
