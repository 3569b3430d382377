"""A minion: requests in flight, nothing else."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from explorer.timeline import Timeline
from explorer.violation import InvariantBrokenError


@dataclass(frozen=True, slots=True, eq=False)
class _Request:
    number: int
    sender: str
    on_end: Callable[[], None]


class MinionModel:
    """Requests that one minion works on.

    :param slots: most requests that it may be given at once
    """

    def __init__(self, name: str, slots: int, timeline: Timeline) -> None:
        self.name = name
        self._slots = slots
        self._timeline = timeline
        self._numbers = count()
        self._requests: dict[int, _Request] = {}

    def take(self, sender: str, seconds: float, on_end: Callable[[], None]) -> None:
        """Work on a request for ``seconds``."""
        request = _Request(next(self._numbers), sender, on_end)
        self._requests[request.number] = request
        if len(self._requests) > self._slots:
            senders = sorted(item.sender for item in self._requests.values())
            detail = f"{self.name} has {len(senders)} requests for {self._slots} slots: {senders}"
            raise InvariantBrokenError("slots", detail)
        self._timeline.after(seconds, lambda: self._end(request))

    def end_oldest(self) -> None:
        """End the request that has been worked on for the longest time."""
        if self._requests:
            self._end(next(iter(self._requests.values())))

    def _end(self, request: _Request) -> None:
        if self._requests.pop(request.number, None) is not None:
            request.on_end()
