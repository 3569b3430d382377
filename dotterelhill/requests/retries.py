"""Retry policy: which failed attempts are repeated, and the retry budget."""

from __future__ import annotations

from random import Random

from dotterelhill.core import ErrorKind

# Retries that each request adds to the budget; bounds the extra load on a failing service.
RETRIES_PER_REQUEST = 0.1
# Capacity of the budget, which is full at the start.
MAX_BUDGET_RETRIES = 10.0
MAX_ATTEMPTS = 3
JITTER_SECONDS = 0.05

# Failures of one attempt that need not recur on another minion.
_REPEATABLE = frozenset(
    {
        ErrorKind.CONNECT_FAILED,
        ErrorKind.MINION_CONNECTION_LOST,
        ErrorKind.MINION_SILENT,
        ErrorKind.ANSWER_TRUNCATED,
        # Reported by a peer; another peer may accept the request.
        ErrorKind.SHUTTING_DOWN,
        ErrorKind.NOT_READY,
        ErrorKind.NO_MINION,
    }
)


def is_repeatable(kind: ErrorKind, *, is_dispatched: bool, is_idempotent: bool) -> bool:
    """Return whether a request may be tried again after an attempt that failed with ``kind``.

    :param is_dispatched: whether a byte of the request may have reached a minion
    :param is_idempotent: whether the service declares the request's method idempotent

    >>> is_repeatable(ErrorKind.MINION_SILENT, is_dispatched=True, is_idempotent=False)
    False
    >>> is_repeatable(ErrorKind.CONNECT_FAILED, is_dispatched=False, is_idempotent=False)
    True
    """
    return kind in _REPEATABLE and (is_idempotent or not is_dispatched)


class RetryBudget:
    """Retry budget to which each new request adds a tenth of a retry.

    :param random: seeded generator for the jitter
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._remaining_retries = MAX_BUDGET_RETRIES

    @property
    def remaining_retries(self) -> float:
        """Return the number of retries that the budget allows now."""
        return self._remaining_retries

    def count_request(self) -> None:
        """Add the share of one new request to the budget."""
        self._remaining_retries = min(
            MAX_BUDGET_RETRIES, self._remaining_retries + RETRIES_PER_REQUEST
        )

    def take(self, attempt: int) -> float | None:
        """Take one retry and return the seconds to wait before it, or None when none is allowed.

        :param attempt: number of attempts made so far, at least 1
        """
        if attempt >= MAX_ATTEMPTS or self._remaining_retries < 1.0:
            return None
        self._remaining_retries -= 1.0
        return self._random.uniform(0.0, JITTER_SECONDS * 2 ** (attempt - 1))
