"""Member limits and the bounded queue of requests that wait for a slot."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from dotterelhill.core import ErrorKind, RequestError
from dotterelhill.manifest import Limits, Priority

DEFAULT_QUEUE_LENGTH = 1000
# Burst size of a member, in seconds of its rate.
BURST_SECONDS = 1.0

_PRIORITY_RANK = {Priority.URGENT: 0, Priority.NORMAL: 1, Priority.LOW: 2}


class TokenBucket:
    """Token bucket that refills at a constant rate and holds at most one burst.

    :param rate: tokens a second
    :param burst: capacity in tokens
    :param now: time in seconds at which the bucket is full
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._refilled_at = now

    def set_rate(self, rate: float, burst: float) -> None:
        """Set the rate and the capacity, for instance from a new manifest."""
        self._rate = rate
        self._burst = burst

    def level(self, now: float) -> float:
        """Return the available tokens; negative while ``charge`` has overdrawn the bucket."""
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._level = min(self._burst, self._level + elapsed * self._rate)
        return self._level

    def take(self, amount: float, now: float) -> bool:
        """Take ``amount`` tokens if they are available and return whether they were."""
        if self.level(now) < amount:
            return False
        self._level -= amount
        return True

    def charge(self, amount: float, now: float) -> None:
        """Subtract ``amount`` tokens that were already used; the level may become negative."""
        self.level(now)
        self._level -= amount


class MemberLimits:
    """Request rate and concurrency limits of each member at this process.

    Each process admits an equal share of the voted limit, so that all processes together stay
    within it.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}
        self._in_flight: Counter[str] = Counter()

    @property
    def in_flight(self) -> dict[str, int]:
        """Return the number of admitted requests in progress by member."""
        return dict(self._in_flight)

    def admit(self, member: str, limits: Limits, process_count: int, now: float) -> None:
        """Admit one request of a member and count it as in progress.

        :param process_count: number of entry processes that share the limit, this one included
        :param now: loop time in seconds
        :raises RequestError: ``member_limit`` when the member's share is used up
        """
        rate = limits.requests_per_second / process_count
        burst = max(1.0, rate * BURST_SECONDS)
        bucket = self._buckets.get(member)
        if bucket is None:
            bucket = self._buckets[member] = TokenBucket(rate, burst, now)
        bucket.set_rate(rate, burst)
        if self._in_flight[member] >= max(1, limits.in_flight // process_count):
            raise RequestError(ErrorKind.MEMBER_LIMIT, "requests in progress of this member")
        if not bucket.take(1.0, now):
            raise RequestError(ErrorKind.MEMBER_LIMIT, "request rate of this member")
        self._in_flight[member] += 1

    def release(self, member: str) -> None:
        """Count an admitted request of a member as finished."""
        self._in_flight[member] -= 1
        if self._in_flight[member] <= 0:
            del self._in_flight[member]


@dataclass(frozen=True, slots=True)
class Waiter:
    """A request that waits for a slot.

    :param number: sequence number of its arrival
    :param service: service that the request is for
    :param priority: of that service
    :param refuse_at: loop time at which it has waited for half of its deadline
    """

    number: int
    service: str
    priority: Priority
    refuse_at: float


class WaitQueue:
    """Bounded priority queue that sheds the request of the lowest priority when it is full.

    Within one priority the newest request is shed first, since it has waited least. All requests
    of a service have the same priority, so each service has its own queue in order of arrival.

    :param length: most requests that wait, over all services
    """

    def __init__(self, length: int = DEFAULT_QUEUE_LENGTH) -> None:
        self._length = length
        self._waiting: dict[str, dict[int, Waiter]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def has_waiters(self, service: str) -> bool:
        """Return whether a request of the service is waiting."""
        return service in self._waiting

    def offer(self, waiter: Waiter) -> Waiter | None:
        """Add a request; return the request that is shed, possibly the new one, or None."""
        self._waiting.setdefault(waiter.service, {})[waiter.number] = waiter
        self._size += 1
        if self._size <= self._length:
            return None
        newest = [next(reversed(waiters.values())) for waiters in self._waiting.values()]
        shed = max(newest, key=lambda item: (_PRIORITY_RANK[item.priority], item.number))
        self.remove(shed)
        return shed

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that got a slot, was refused or lost its caller."""
        waiters = self._waiting.get(waiter.service, {})
        if waiters.pop(waiter.number, None) is not None:
            self._size -= 1
        if not waiters:
            self._waiting.pop(waiter.service, None)

    def first_waiter(self, service: str) -> Waiter | None:
        """Return the request of a service that has waited longest, or None."""
        return next(iter(self._waiting.get(service, {}).values()), None)

    def services(self) -> list[str]:
        """Return the services that have waiting requests."""
        return list(self._waiting)

    def remove_overdue(self, now: float) -> list[Waiter]:
        """Remove and return the requests that have waited for half of their deadline."""
        queues = self._waiting.values()
        overdue_waiters = [
            item for waiters in queues for item in waiters.values() if item.refuse_at <= now
        ]
        for waiter in overdue_waiters:
            self.remove(waiter)
        return overdue_waiters
