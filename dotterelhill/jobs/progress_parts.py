"""Stored progress of a job whose tasks do not fit into one record.

Explanation
===========

The tasks of a job are divided into blocks, and the blocks are spread over the parts by their
number. All that is stored of a task is in one part. So parts that are written in several appends,
the last ones of which may be missing, never contradict each other. The number of parts of a job
doubles until each part fits into a record, and never decreases. When it doubles, parts of the
earlier number remain until the new ones are stored; those of the larger number go first.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

import msgspec

from dotterelhill.jobs.model import Job, Task, TaskKey
from dotterelhill.jobs.progress import (
    TaskRecord,
    apply_progress,
    encode_progress,
    stored_task,
    task_row,
)

# Bits of the index of a task that number it within its block.
BLOCK_BITS = 8
BLOCK_TASKS = 1 << BLOCK_BITS
MAX_PARTS = 4096
# Separates the id of a job from the number of parts and the number of the part, in record keys.
PART_SEPARATOR = "#"


class _DoneBlock(msgspec.Struct, array_like=True):
    """Bitmap of the done tasks of one block: little-endian, bit ``i`` for its ``i``-th task."""

    occurrence: int
    step: int
    block: int
    bits: bytes


class _PartRecord(msgspec.Struct, array_like=True):
    """Stored form of one part."""

    tasks: list[TaskRecord]
    done: list[_DoneBlock]


_DECODER = msgspec.msgpack.Decoder(_PartRecord)
_ENCODER = msgspec.msgpack.Encoder()


class ProgressTooLargeError(Exception):
    """Raised when the progress of a job does not fit into any number of records."""


@dataclass(frozen=True, slots=True, order=True)
class PartKey:
    """Number of the parts of a job's progress, and number of one of them."""

    count: int
    number: int

    def record_key(self, job_id: str) -> str:
        """Return the key of the record of this part.

        >>> PartKey(4, 1).record_key("5c0e7a21d94b36f8")
        '5c0e7a21d94b36f8#4.1'
        """
        return f"{job_id}{PART_SEPARATOR}{self.count}.{self.number}"


def parse_record_key(key: str) -> tuple[str, PartKey | None]:
    """Return the job id of a record of progress, and its part; None for the whole.

    >>> parse_record_key("5c0e7a21d94b36f8#4.1"), parse_record_key("5c0e7a21d94b36f8")
    (('5c0e7a21d94b36f8', PartKey(count=4, number=1)), ('5c0e7a21d94b36f8', None))
    """
    job_id, separator, numbers = key.partition(PART_SEPARATOR)
    count, _, number = numbers.partition(".")
    if not separator or not (count.isdecimal() and number.isdecimal()):
        return key, None
    return job_id, PartKey(int(count), int(number))


@dataclass(slots=True)
class StoredProgress:
    """Stored progress of one job.

    :param whole: record of the state, and of all tasks where there are no parts; None if missing
    :param parts: further records
    """

    whole: bytes | None = None
    parts: dict[PartKey, bytes] = field(default_factory=dict)


def part_number(occurrence: int, step: int, index: int, parts: int) -> int:
    """Return the part that holds a task."""
    return (occurrence + step + (index >> BLOCK_BITS)) % parts


def write_order(
    records: Mapping[PartKey | None, bytes], stored: Collection[PartKey]
) -> list[tuple[PartKey | None, bytes]]:
    """Return the records of a job in the order in which they are written.

    The state goes first, unless its record still holds tasks of which a part is not stored.

    :param stored: parts that are stored
    """
    ordered = list(records.items())
    if any(part is not None and part not in stored for part in records):
        ordered.sort(key=lambda record: record[0] is None)
    return ordered


def encode_parts(job: Job, max_bytes: int) -> dict[PartKey | None, bytes]:
    """Return the records of a job's progress, that of its state with the key None.

    The number of parts is kept with the job.

    :param max_bytes: largest size of a record
    :raises ProgressTooLargeError: when the progress does not fit
    """
    max_checkpoint_bytes = max_bytes // BLOCK_TASKS
    while job.progress_parts <= MAX_PARTS:
        if job.progress_parts == 1:
            whole = encode_progress(job)
            if len(whole) <= max_bytes:
                return {None: whole}
        else:
            records: dict[PartKey | None, bytes] = {None: encode_progress(job, has_tasks=False)}
            records |= _encoded_parts(job, max_checkpoint_bytes)
            if all(len(record) <= max_bytes for record in records.values()):
                return records
        job.progress_parts *= 2
    job.progress_parts = MAX_PARTS
    raise ProgressTooLargeError(job.job_id)


def _encoded_parts(job: Job, max_checkpoint_bytes: int) -> dict[PartKey | None, bytes]:
    """Return the parts of a job's progress.

    :param max_checkpoint_bytes: largest checkpoint; a later leader does not know a longer one
    """
    count = job.progress_parts
    rows: list[list[tuple[object, ...]]] = [[] for _ in range(count)]
    done: list[list[tuple[object, ...]]] = [[] for _ in range(count)]
    for task in job.tasks.values():
        if not (task.minion_id or not (task.is_done or job.is_ended)):
            continue
        key, is_kept = task.key, len(task.checkpoint.encode()) <= max_checkpoint_bytes
        row = task_row(task, task.checkpoint if is_kept else "")
        rows[part_number(key.occurrence, key.step, key.index, count)].append(row)
    if not job.is_ended:
        for (occurrence, step), bits in job.done_tasks():
            data = bits.to_bytes((bits.bit_length() + 7) // 8, "little")
            for block in range((len(data) * 8 + BLOCK_TASKS - 1) >> BLOCK_BITS):
                begin = block * BLOCK_TASKS // 8
                part = part_number(occurrence, step, block << BLOCK_BITS, count)
                block_bits = data[begin : begin + BLOCK_TASKS // 8]
                done[part].append((occurrence, step, block, block_bits))
    encoded: dict[PartKey | None, bytes] = {}
    for number in range(count):
        encoded[PartKey(count, number)] = _ENCODER.encode((rows[number], done[number]))
    return encoded


def apply_stored_progress(job: Job, stored: StoredProgress) -> None:
    """Restore the progress of a newly loaded job from its records.

    :raises msgspec.MsgspecError: when a record does not hold progress
    """
    if stored.whole is not None:
        apply_progress(job, stored.whole)
    for part in sorted(stored.parts):
        _apply_part(job, part, _DECODER.decode(stored.parts[part]))
        job.progress_parts = part.count


def _apply_part(job: Job, part: PartKey, record: _PartRecord) -> None:
    """Replace what is known of the tasks of a part."""
    for key in list(job.tasks):
        if part_number(key.occurrence, key.step, key.index, part.count) == part.number:
            task = job.tasks[key]
            if not task.is_done:
                del job.tasks[key]
            else:
                job.tasks[key] = Task(key, is_done=True)
    for row in record.tasks:
        task = stored_task(job.job_id, row)
        known = job.tasks.get(task.key)
        task.is_done = known is not None and known.is_done
        job.tasks[task.key] = task
    for done in record.done:
        bits = int.from_bytes(done.bits, "little")
        for index in range(bits.bit_length()):
            if bits >> index & 1:
                number = (done.block << BLOCK_BITS) + index
                job.mark_done(job.task(TaskKey(job.job_id, done.occurrence, done.step, number)))
