"""Prefixes of call bodies that a relay keeps, so that the leader sends each of them only once.

Explanation
===========

The start orders of all tasks of a job carry the job's payload of up to 4,000 bytes. A job of 80
tasks starts through several relays, so that without this the payload would pass the leader's link
80 times. Both ends of a connection keep the same numbered prefixes: the leader decides which one a
number names, and tells the relay in the message whose calls use it first.
"""

from __future__ import annotations

from collections import OrderedDict

# A relay serves a few dozen minions, on which fewer jobs than this start tasks at a time. With
# payloads of 4,000 bytes, each end then keeps 256 KB for a connection.
MAX_PREFIXES = 64
# The reference to a prefix takes a few bytes itself.
MIN_PREFIX_BYTES = 64


class SentPrefixes:
    """Prefixes that the relay of one connection knows."""

    def __init__(self) -> None:
        self._numbers: OrderedDict[bytes, int] = OrderedDict()
        self._numbers_in_message: set[int] = set()
        self._new: dict[int, bytes] = {}

    def number_of(self, prefix: bytes) -> int:
        """Return the number that names a prefix in the next message; 0 to send it in the call.

        A number that the next message uses already is not given to another prefix.
        """
        if len(prefix) < MIN_PREFIX_BYTES:
            return 0
        number = self._numbers.get(prefix)
        if number is None:
            number = self._assign(prefix)
        if number:
            self._numbers.move_to_end(prefix)
            self._numbers_in_message.add(number)
        return number

    def _assign(self, prefix: bytes) -> int:
        """Assign the number of the least recently used prefix, or a free one; 0 for none."""
        if len(self._numbers) < MAX_PREFIXES:
            number = len(self._numbers) + 1
        else:
            oldest, number = next(iter(self._numbers.items()))
            if number in self._numbers_in_message:
                return 0
            del self._numbers[oldest]
        self._numbers[prefix] = number
        self._new[number] = prefix
        return number

    def take_new(self) -> dict[int, bytes]:
        """Return the prefixes that the next message has to tell, and begin another message."""
        new, self._new = self._new, {}
        self._numbers_in_message.clear()
        return new


class ReceivedPrefixes:
    """Prefixes that the leader of one connection has told."""

    def __init__(self) -> None:
        self._prefixes: dict[int, bytes] = {}

    def update(self, new: dict[int, bytes]) -> None:
        """Add the prefixes of a message, before its calls are read."""
        self._prefixes.update(new)

    def complete(self, number: int, rest: bytes) -> bytes:
        """Return the body whose prefix has a number; 0 stands for none.

        :raises KeyError: when no prefix has that number
        """
        return self._prefixes[number] + rest if number else rest
