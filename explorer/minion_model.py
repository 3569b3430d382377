"""Model of a minion: the requests that it has in progress."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from explorer.timeline import Timeline
from explorer.violation import InvariantBrokenError


@dataclass(frozen=True, slots=True, eq=False)
class _Request:
    """Request in progress at a minion."""

    number: int
    sender: str
    on_end: Callable[[], None]


class MinionModel:
    """Minion with its requests in progress.

    :param slots: largest number of concurrent requests that processes may send
    :param timeline: event queue in which the ends of requests are scheduled
    """

    def __init__(self, name: str, slots: int, timeline: Timeline) -> None:
        self.name = name
        self._slots = slots
        self._timeline = timeline
        self._numbers = count()
        self._requests: dict[int, _Request] = {}

    def start_request(self, sender: str, seconds: float, on_end: Callable[[], None]) -> None:
        """Begin a request that ends after ``seconds``, or earlier by a step.

        :param sender: name of the process that sent the request
        :param seconds: duration in seconds of true time
        :param on_end: called when the request ends
        :raises InvariantBrokenError: if more requests are in progress than the minion has slots
        """
        request = _Request(next(self._numbers), sender, on_end)
        self._requests[request.number] = request
        if len(self._requests) > self._slots:
            senders = sorted(item.sender for item in self._requests.values())
            detail = f"{self.name} has {len(senders)} requests for {self._slots} slots: {senders}"
            raise InvariantBrokenError("slots", detail)
        self._timeline.schedule(seconds, lambda: self._end(request))

    def end_oldest(self) -> None:
        """End the request that has been in progress for the longest time, if there is one."""
        if self._requests:
            self._end(next(iter(self._requests.values())))

    def _end(self, request: _Request) -> None:
        if self._requests.pop(request.number, None) is not None:
            request.on_end()
