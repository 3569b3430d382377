"""Coroutines of the shipped services, run without an event loop.

A fake adapter awaits a :class:`Call`; the process model sends it, and goes on with the coroutine
when the answer has arrived or the time-out has passed.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any

Reply = Callable[[Any, Exception | None], None]


@dataclass(frozen=True, slots=True, eq=False)
class Call:
    """Request to another end, and what the caller sees without an answer.

    :param perform: runs at the target when the request arrives; may reply later
    """

    kind: str
    target: str
    perform: Callable[[Reply], None]
    timeout_seconds: float
    on_timeout: Callable[[], Exception]

    def __await__(self) -> Generator[Call, Any, Any]:
        """Yield the call and return its answer."""
        return (yield self)


@dataclass(frozen=True, slots=True, eq=False)
class Sleep:
    """Pause of a coroutine, by the clock of its process."""

    seconds: float

    def __await__(self) -> Generator[Sleep, Any, None]:
        """Yield the pause."""
        yield self
