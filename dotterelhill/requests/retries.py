"""Whether and when a failed attempt is repeated on another minion."""

from __future__ import annotations

from random import Random

from dotterelhill.core import ErrorKind

# Retries as a part of all requests, so that a failing service is not loaded further.
RETRIES_PER_REQUEST = 0.1
# Retries that a quiet process may do before requests have earned any.
MAX_BUDGET_RETRIES = 10.0
MAX_ATTEMPTS = 3
JITTER_SECONDS = 0.05

# Faults of one attempt; another minion may do better.
_REPEATABLE = frozenset(
    {
        ErrorKind.CONNECT_FAILED,
        ErrorKind.MINION_CONNECTION_LOST,
        ErrorKind.MINION_SILENT,
        ErrorKind.ANSWER_TRUNCATED,
        # Of a peer; another one may do better.
        ErrorKind.SHUTTING_DOWN,
        ErrorKind.NOT_READY,
        ErrorKind.NO_MINION,
    }
)


def is_repeatable(kind: ErrorKind, *, is_dispatched: bool, is_idempotent: bool) -> bool:
    """Return whether a request may be tried again after an attempt that failed with ``kind``.

    :param is_dispatched: whether a byte of the request may have reached a minion

    >>> is_repeatable(ErrorKind.MINION_SILENT, is_dispatched=True, is_idempotent=False)
    False
    >>> is_repeatable(ErrorKind.CONNECT_FAILED, is_dispatched=False, is_idempotent=False)
    True
    """
    return kind in _REPEATABLE and (is_idempotent or not is_dispatched)


class RetryBudget:
    """Retries allowed at this moment: each request earns a tenth of one."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._remaining_retries = MAX_BUDGET_RETRIES

    @property
    def remaining_retries(self) -> float:
        """Return how many retries may be done now."""
        return self._remaining_retries

    def count_request(self) -> None:
        """Earn a part of a retry for one new request."""
        self._remaining_retries = min(
            MAX_BUDGET_RETRIES, self._remaining_retries + RETRIES_PER_REQUEST
        )

    def take(self, attempt: int) -> float | None:
        """Return the seconds to wait before the retry, or None when there is no budget.

        :param attempt: number of attempts done, from 1
        """
        if attempt >= MAX_ATTEMPTS or self._remaining_retries < 1.0:
            return None
        self._remaining_retries -= 1.0
        return self._random.uniform(0.0, JITTER_SECONDS * 2 ** (attempt - 1))
