"""Pace of the first polls of minions after a takeover, which follows the event loop's delay."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from dotterelhill.control.loop_lag import LoopLag

# First polls that begin within one turn. At a takeover, those of hundreds of minions would occupy
# the event loop for longer than a call may take. A turn does not wait for answers, since many
# minions may be gone.
MAX_POLLS_PER_TURN = 64.0
MIN_POLLS_PER_TURN = 4.0
TURN_SECONDS = 0.1
# The limit shrinks while the event loop is later than this, and grows again below half of it. A
# status answer is due within 0.5 s.
TIMELY_LAG_SECONDS = 0.1
DECREASE_FACTOR = 0.5
INCREASE_FACTOR = 1.25


class FirstPollWindow:
    """Limits how many first polls begin in each turn.

    The time of plans does not count as a delay: fewer polls would not make that shorter, and
    without reports of its minions the leader lets their leases end.

    :param clock: returns seconds
    :param lag: delay of this process's event loop
    """

    def __init__(self, clock: Callable[[], float], lag: LoopLag) -> None:
        self._clock = clock
        self._lag = lag
        self._limit = MAX_POLLS_PER_TURN
        self._left = int(self._limit)
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._turn_due_at: float | None = None
        self._planned_before_turn = 0.0

    @property
    def limit(self) -> int:
        """Return the number of first polls that may begin in one turn."""
        return int(self._limit)

    async def enter(self) -> None:
        """Wait until a first poll may begin."""
        self._schedule_turn()
        if self._left > 0:
            self._left -= 1
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        await waiter

    def _schedule_turn(self) -> None:
        if self._turn_due_at is None:
            self._turn_due_at = self._clock() + TURN_SECONDS
            self._planned_before_turn = self._lag.planning_seconds
            asyncio.get_running_loop().call_later(TURN_SECONDS, self._begin_turn)

    def _begin_turn(self) -> None:
        assert self._turn_due_at is not None
        planning_seconds = self._lag.planning_seconds - self._planned_before_turn
        delay_seconds = self._clock() - self._turn_due_at - planning_seconds
        self._adapt(max(self._lag.newest_unplanned_seconds, delay_seconds))
        self._turn_due_at = None
        self._left = int(self._limit)
        while self._waiting and self._left > 0:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                self._left -= 1
        if self._waiting:
            self._schedule_turn()

    def _adapt(self, delay_seconds: float) -> None:
        if delay_seconds > TIMELY_LAG_SECONDS:
            self._limit = max(MIN_POLLS_PER_TURN, DECREASE_FACTOR * self._limit)
        elif delay_seconds < TIMELY_LAG_SECONDS / 2:
            self._limit = min(MAX_POLLS_PER_TURN, INCREASE_FACTOR * self._limit)
