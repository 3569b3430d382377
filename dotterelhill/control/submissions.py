"""Keys of the submission stream."""

from __future__ import annotations

_CANCELLATION_PREFIX = "cancel/"


def cancellation_key(job_id: str) -> str:
    """Return the key of a job's cancellation.

    >>> cancellation_key("5c0e7a21d94b36f8")
    'cancel/5c0e7a21d94b36f8'
    """
    return _CANCELLATION_PREFIX + job_id


def is_cancellation(key: str) -> bool:
    """Return whether a key names a cancellation."""
    return key.startswith(_CANCELLATION_PREFIX)


def cancelled_job_of(key: str) -> str:
    """Return the job that a cancellation names."""
    return key.removeprefix(_CANCELLATION_PREFIX)
