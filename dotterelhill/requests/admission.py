"""Limits of a member and the bounded queue of requests that wait for a slot."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from dotterelhill.core import ErrorKind, RequestError
from dotterelhill.manifest import Limits, Priority

DEFAULT_QUEUE_LENGTH = 1000
# Seconds of a member's rate that may come at once.
BURST_SECONDS = 1.0

_PRIORITY_RANK = {Priority.URGENT: 0, Priority.NORMAL: 1, Priority.LOW: 2}


class TokenBucket:
    """Amount that refills at a steady rate up to one burst."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._refilled_at = now

    def set_rate(self, rate: float, burst: float) -> None:
        """Change the rate, for instance after a new manifest."""
        self._rate = rate
        self._burst = burst

    def level(self, now: float) -> float:
        """Return what may be taken now; negative after a debt."""
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._level = min(self._burst, self._level + elapsed * self._rate)
        return self._level

    def take(self, amount: float, now: float) -> bool:
        """Return whether ``amount`` was there and is taken."""
        if self.level(now) < amount:
            return False
        self._level -= amount
        return True

    def charge(self, amount: float, now: float) -> None:
        """Take ``amount`` that was already used, down to a debt."""
        self.level(now)
        self._level -= amount


class MemberLimits:
    """Rate and requests in progress of each member at this process.

    Each process grants an equal share of the voted limit, so that all together stay within it.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}
        self._in_flight: Counter[str] = Counter()

    @property
    def in_flight(self) -> dict[str, int]:
        """Return the admitted requests in progress by member."""
        return dict(self._in_flight)

    def admit(self, member: str, limits: Limits, processes: int, now: float) -> None:
        """Count one request of a member.

        :param processes: how many entry processes share the limit, this one included
        :raises RequestError: when the member's share is used up
        """
        rate = limits.requests_per_second / processes
        burst = max(1.0, rate * BURST_SECONDS)
        bucket = self._buckets.get(member)
        if bucket is None:
            bucket = self._buckets[member] = TokenBucket(rate, burst, now)
        bucket.set_rate(rate, burst)
        if self._in_flight[member] >= max(1, limits.in_flight // processes):
            raise RequestError(ErrorKind.MEMBER_LIMIT, "requests in progress of this member")
        if not bucket.take(1.0, now):
            raise RequestError(ErrorKind.MEMBER_LIMIT, "request rate of this member")
        self._in_flight[member] += 1

    def release(self, member: str) -> None:
        """End one admitted request."""
        self._in_flight[member] -= 1
        if self._in_flight[member] <= 0:
            del self._in_flight[member]


@dataclass(frozen=True, slots=True)
class Waiter:
    """A request that waits for a slot.

    :param refuse_at: loop time at which half of its deadline is over
    """

    number: int
    service: str
    priority: Priority
    refuse_at: float


class WaitQueue:
    """Bounded queue by priority; the least valuable request is shed first.

    Within one priority the newest is the least valuable, since it has waited least. All requests
    of a service have the same priority, so each service has a queue in order of arrival.
    """

    def __init__(self, length: int = DEFAULT_QUEUE_LENGTH) -> None:
        self._length = length
        self._waiting: dict[str, dict[int, Waiter]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def has_waiters(self, service: str) -> bool:
        """Return whether a request of the service waits already."""
        return service in self._waiting

    def offer(self, waiter: Waiter) -> Waiter | None:
        """Add a request and return the one that is shed for it, which may be itself."""
        self._waiting.setdefault(waiter.service, {})[waiter.number] = waiter
        self._size += 1
        if self._size <= self._length:
            return None
        newest = [next(reversed(waiters.values())) for waiters in self._waiting.values()]
        shed = max(newest, key=lambda item: (_PRIORITY_RANK[item.priority], item.number))
        self.remove(shed)
        return shed

    def remove(self, waiter: Waiter) -> None:
        """Take a request out; it has a slot, was refused, or its caller has gone."""
        waiters = self._waiting.get(waiter.service, {})
        if waiters.pop(waiter.number, None) is not None:
            self._size -= 1
        if not waiters:
            self._waiting.pop(waiter.service, None)

    def first_waiter(self, service: str) -> Waiter | None:
        """Return the request of a service that has waited longest."""
        return next(iter(self._waiting.get(service, {}).values()), None)

    def services(self) -> list[str]:
        """Return the services that requests wait for."""
        return list(self._waiting)

    def remove_overdue(self, now: float) -> list[Waiter]:
        """Return the requests that have waited half their deadline; they are out now."""
        queues = self._waiting.values()
        overdue_waiters = [
            item for waiters in queues for item in waiters.values() if item.refuse_at <= now
        ]
        for waiter in overdue_waiters:
            self.remove(waiter)
        return overdue_waiters
