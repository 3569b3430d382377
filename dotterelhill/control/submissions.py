"""Record keys and partitioning of the submission stream."""

from __future__ import annotations

from collections.abc import Sequence
from zlib import crc32

from dotterelhill.control.interface import Record, Store, Stream

_CANCELLATION_PREFIX = "cancel/"


def submission_key(job_id: str, tenant: str = "") -> str:
    """Return the record key of a tenant's submission of a job.

    Tenants choose ids independently, so that one must not be able to replace the job of another.

    >>> submission_key("5c0e7a21d94b36f8"), submission_key("5c0e7a21d94b36f8", "t")
    ('5c0e7a21d94b36f8', '5c0e7a21d94b36f8/t')
    """
    return f"{job_id}/{tenant}" if tenant else job_id


def cancellation_key(job_id: str, tenant: str = "") -> str:
    """Return the record key of a tenant's cancellation of a job.

    >>> cancellation_key("5c0e7a21d94b36f8"), cancellation_key("5c0e7a21d94b36f8", "t")
    ('cancel/5c0e7a21d94b36f8', 'cancel/5c0e7a21d94b36f8/t')
    """
    return _CANCELLATION_PREFIX + submission_key(job_id, tenant)


def is_cancellation(key: str) -> bool:
    """Return whether a record key belongs to a cancellation."""
    return key.startswith(_CANCELLATION_PREFIX)


def owner_of(key: str) -> tuple[str, str]:
    """Return the job id and the tenant of the record key of a submission or cancellation.

    >>> owner_of("cancel/5c0e7a21d94b36f8/t"), owner_of("5c0e7a21d94b36f8")
    (('5c0e7a21d94b36f8', 't'), ('5c0e7a21d94b36f8', ''))
    """
    job_id, _, tenant = key.removeprefix(_CANCELLATION_PREFIX).partition("/")
    return job_id, tenant


def partition_of(key: str, partitions: int) -> int:
    """Return the partition of a record; it is the same for all records of a job id.

    >>> partition_of("5c0e7a21d94b36f8", 12) == partition_of("cancel/5c0e7a21d94b36f8/t", 12)
    True
    """
    return crc32(owner_of(key)[0].encode()) % partitions


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
