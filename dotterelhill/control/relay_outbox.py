"""Calls that wait for the connection to a relay, and the order in which they are written."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from dotterelhill.control.call_prefixes import SentPrefixes
from dotterelhill.control.interface import MinionCall
from dotterelhill.control.relay_messages import RelayedCall

# Deferrable calls whose arrival at a relay is not known yet. A relay on a twentieth of a processor
# needs 10 ms for each, and other calls wait behind them for at most half a second.
MAX_UNCONFIRMED_CALLS = 48


@dataclass(slots=True)
class _Message:
    number: int
    deferrable_calls: int
    deferrable_bytes: int


class RelayOutbox:
    """Calls to one relay that are not written yet, and what was written but has not arrived.

    Explanation
    ===========

    What is written to a connection arrives in order, so a poll that renews a lease waits behind
    all start orders that were written before it, on a slow link for seconds. Start orders are
    therefore written after all other calls, and only while few bytes of earlier ones may still be
    on their way. The relay tells how many messages
    have arrived. One of an earlier build does not, but its answer to a call proves that the message
    of the call has arrived.

    :param keeps_prefixes: whether the relay keeps the prefixes of call bodies
    """

    def __init__(self, *, keeps_prefixes: bool) -> None:
        self._prefixes = SentPrefixes()
        self._keeps_prefixes = keeps_prefixes
        self._urgent: dict[int, MinionCall] = {}
        self._deferrable: dict[int, MinionCall] = {}
        self._max_bytes = 0
        # Messages with deferrable calls that may not have arrived.
        self._unconfirmed: deque[_Message] = deque()
        self._unconfirmed_calls = 0
        self._unconfirmed_bytes = 0
        self._message_count = 0
        self._message_of: dict[int, int] = {}

    @property
    def is_due(self) -> bool:
        """Return whether a call can be written now."""
        if self._urgent:
            return True
        first = next(iter(self._deferrable.values()), None)
        return first is not None and self._has_room(self._size(first))

    def limit_deferrable(self, max_bytes: int) -> None:
        """Set how many bytes of deferrable calls may be written while none has arrived."""
        self._max_bytes = max_bytes

    def add(self, number: int, call: MinionCall) -> None:
        """Add a call.

        :param number: number of the call on the connection
        """
        (self._deferrable if call.is_deferrable else self._urgent)[number] = call

    def is_unsent(self, number: int) -> bool:
        """Return whether a call has not been written yet."""
        return number in self._urgent or number in self._deferrable

    def end(self, number: int) -> None:
        """Forget a call that is answered or given up; an unwritten one is not sent any more."""
        self._urgent.pop(number, None)
        self._deferrable.pop(number, None)
        self.confirm(self._message_of.pop(number, 0))

    def confirm(self, message_number: int) -> None:
        """Record that a message, and all messages before it, have arrived."""
        while self._unconfirmed and self._unconfirmed[0].number <= message_number:
            message = self._unconfirmed.popleft()
            self._unconfirmed_calls -= message.deferrable_calls
            self._unconfirmed_bytes -= message.deferrable_bytes

    def take(self) -> tuple[list[RelayedCall], dict[int, bytes]]:
        """Return the calls of the next message, and the prefixes that it has to tell."""
        self._message_count += 1
        calls = [self._relayed(number, call) for number, call in self._urgent.items()]
        self._urgent.clear()
        message = _Message(self._message_count, 0, 0)
        for number, call in list(self._deferrable.items()):
            size = self._size(call)
            if not self._has_room(size):
                break
            del self._deferrable[number]
            calls.append(self._relayed(number, call))
            message.deferrable_calls += 1
            message.deferrable_bytes += size
            self._unconfirmed_calls += 1
            self._unconfirmed_bytes += size
        if message.deferrable_calls:
            self._unconfirmed.append(message)
        for relayed in calls:
            self._message_of[relayed.number] = message.number
        return calls, self._prefixes.take_new()

    def _has_room(self, size: int) -> bool:
        """Return whether a deferrable call of a size can be written; a large one can by itself."""
        if not self._unconfirmed_calls:
            return True
        has_bytes = self._unconfirmed_bytes + size <= self._max_bytes
        return has_bytes and self._unconfirmed_calls < MAX_UNCONFIRMED_CALLS

    def _size(self, call: MinionCall) -> int:
        """Return the number of bytes that a call adds to the next message."""
        prefix = call.body[: call.prefix_bytes]
        if self._keeps_prefixes and self._prefixes.knows(prefix):
            return len(call.body) - len(prefix)
        return len(call.body)

    def _relayed(self, number: int, call: MinionCall) -> RelayedCall:
        prefix = 0
        if call.prefix_bytes and self._keeps_prefixes:
            prefix = self._prefixes.number_of(call.body[: call.prefix_bytes])
        body = call.body[call.prefix_bytes :] if prefix else call.body
        return RelayedCall(
            number, call.address, call.minion_id, call.path, body, call.wait_seconds, prefix
        )
