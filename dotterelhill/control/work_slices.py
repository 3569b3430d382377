"""Slices of long work, between which the event loop sends renewals and answers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

# On a processor of 0.12 core, a slice of this length takes up to 0.2 s; renewals are due every
# 0.5 s, and peers wait for an answer as long.
SLICE_SECONDS = 0.02


async def yield_to_loop() -> None:
    """Let the event loop run everything that is due."""
    await asyncio.sleep(0)


class WorkSlices:
    """Tells long work when to yield to the event loop.

    One instance serves all long work of a process, so that several pieces of it share a slice.

    :param clock: returns seconds; keeps counting while the process is suspended
    :param pause: lets everything else run that is due
    """

    def __init__(
        self,
        clock: Callable[[], float],
        pause: Callable[[], Awaitable[None]] = yield_to_loop,
    ) -> None:
        self._clock = clock
        self._pause = pause
        self._ends_at = float("-inf")

    def begin(self) -> None:
        """Begin a slice after other work or a wait."""
        self._ends_at = self._clock() + SLICE_SECONDS

    async def pause_if_due(self) -> None:
        """Yield to the event loop when the slice is over; call it after each small piece."""
        if self._clock() < self._ends_at:
            return
        await self._pause()
        self.begin()
