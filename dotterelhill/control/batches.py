"""Division of records into appends that the store accepts."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from dotterelhill.control.interface import Record

# Bytes of the length of a record, which precedes it in an append.
LENGTH_BYTES = 4


def batches(records: Iterable[Record], call_bytes: int) -> Iterator[list[Record]]:
    """Yield consecutive records, as many at once as an append takes.

    :param call_bytes: largest size of an append; a larger record is a batch of its own

    >>> [len(batch) for batch in batches([Record("key", b"value")] * 5, 30)]
    [2, 2, 1]
    """
    batch: list[Record] = []
    size = 0
    for record in records:
        added = LENGTH_BYTES + record.content_bytes
        if batch and size + added > call_bytes:
            yield batch
            batch, size = [], 0
        batch.append(record)
        size += added
    if batch:
        yield batch
