"""Division of records into appends that the store accepts."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from dotterelhill.control.interface import Record

# Bytes of the lengths of a record and of its key, and the most that a character of a key takes.
HEADER_BYTES = 5
UTF8_BYTES = 4


def batches(records: Iterable[Record], call_bytes: int) -> Iterator[list[Record]]:
    """Yield consecutive records, as many at once as an append takes.

    :param call_bytes: largest size of an append; a larger record is a batch of its own

    >>> [len(batch) for batch in batches([Record("key", b"value")] * 5, 50)]
    [2, 2, 1]
    """
    batch: list[Record] = []
    size = 0
    for record in records:
        # Not its exact size, which would cost a call for each record of each round.
        added = HEADER_BYTES + UTF8_BYTES * len(record.key) + len(record.value or b"")
        if batch and size + added > call_bytes:
            yield batch
            batch, size = [], 0
        batch.append(record)
        size += added
    if batch:
        yield batch
