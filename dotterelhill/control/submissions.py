"""Record keys and partitioning of the submission stream."""

from __future__ import annotations

from collections.abc import Sequence
from zlib import crc32

from dotterelhill.control.interface import Record, Store, Stream

_CANCELLATION_PREFIX = "cancel/"


def cancellation_key(job_id: str) -> str:
    """Return the record key of a job's cancellation.

    >>> cancellation_key("5c0e7a21d94b36f8")
    'cancel/5c0e7a21d94b36f8'
    """
    return _CANCELLATION_PREFIX + job_id


def is_cancellation(key: str) -> bool:
    """Return whether a record key belongs to a cancellation."""
    return key.startswith(_CANCELLATION_PREFIX)


def cancelled_job_of(key: str) -> str:
    """Return the job id of a cancellation's record key; other keys are returned unchanged."""
    return key.removeprefix(_CANCELLATION_PREFIX)


def partition_of(key: str, partitions: int) -> int:
    """Return the partition of a record; it is the same for a job and its cancellation.

    >>> partition_of("5c0e7a21d94b36f8", 12) == partition_of("cancel/5c0e7a21d94b36f8", 12)
    True
    """
    return crc32(cancelled_job_of(key).encode()) % partitions


async def append_submissions(store: Store, records: Sequence[Record]) -> None:
    """Append submissions and cancellations, grouped by partition.

    :raises StoreError: when an append fails; earlier appends have taken effect
    """
    partitions = store.partitions(Stream.SUBMISSIONS)
    by_partition: dict[int, list[Record]] = {}
    for record in records:
        by_partition.setdefault(partition_of(record.key, partitions), []).append(record)
    for partition, group in by_partition.items():
        await store.append(Stream.SUBMISSIONS, group, partition=partition)
