"""Awaitables through which coroutines of the shipped services run without an event loop.

A simulated adapter awaits a :class:`Call`; the process model sends the request and resumes the
coroutine when the answer arrives or the timeout expires.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any

Reply = Callable[[Any, Exception | None], None]


@dataclass(frozen=True, slots=True, eq=False)
class Call:
    """Request to an endpoint, with the error that the caller gets if no answer arrives in time.

    :param kind: kind of the message, by which steps select messages to disturb
    :param target: name of the endpoint
    :param perform: called at the target when the request arrives; may call its ``Reply`` later
    :param timeout_seconds: timeout by the clock of the calling process
    :param on_timeout: returns the error that the caller gets after the timeout
    """

    kind: str
    target: str
    perform: Callable[[Reply], None]
    timeout_seconds: float
    on_timeout: Callable[[], Exception]

    def __await__(self) -> Generator[Call, Any, Any]:
        """Yield the call to the process model and return its answer."""
        return (yield self)


@dataclass(frozen=True, slots=True, eq=False)
class Sleep:
    """Pause of a coroutine in seconds, by the clock of its process."""

    seconds: float

    def __await__(self) -> Generator[Sleep, Any, None]:
        """Yield the pause to the process model."""
        yield self
