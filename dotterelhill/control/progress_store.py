"""Progress stream as the leader of one term reads and writes it.

Explanation
===========

One write covers the changes of a round, and its records are divided into appends that the store
accepts. A record that the store refuses for good is
found by bisection and left out, so that it holds up no other job; it is tried again later.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence
from itertools import chain
from random import Random
from zlib import crc32

from dotterelhill.control.batches import batches
from dotterelhill.control.interface import (
    Fence,
    Record,
    Store,
    StoreError,
    StoreFencedError,
    StoreLimits,
    StoreRefusedError,
    StoreSequenceError,
    Stream,
)
from dotterelhill.control.leadership import Leadership
from dotterelhill.entry.logs import logger_of
from dotterelhill.entry.metrics import Metrics
from dotterelhill.jobs.model import Job
from dotterelhill.jobs.progress import encode_progress
from dotterelhill.jobs.progress_parts import (
    MAX_PARTS,
    PART_SEPARATOR,
    PartKey,
    ProgressTooLargeError,
    StoredProgress,
    encode_parts,
    parse_record_key,
    write_order,
)

FENCED_WRITER = "leader"
APPEND_RETRY_SECONDS = 0.1
# A record that was refused is not sent again within this time.
REFUSED_RETRY_SECONDS = 5.0
# The store takes keys of up to 255 bytes.
MAX_KEY_BYTES = 256
# Keys with this prefix belong to no job. Earlier builds store the ends of leases as "@leases".
RESERVED_PREFIX = "@"

_log = logger_of("leader")


class ProgressStore:
    """Fenced writer of the progress stream.

    :param clock: returns seconds
    :param limits: sizes that the store accepts
    """

    def __init__(
        self,
        store: Store,
        leadership: Leadership,
        clock: Callable[[], float],
        random: Random,
        metrics: Metrics,
        limits: StoreLimits,
    ) -> None:
        self._store = store
        self._leadership = leadership
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._limits = limits
        self._epoch = leadership.epoch
        self._sequence = 0
        self._is_store_failing = False
        # Checksum of each stored part of the jobs that have several, by part and job id.
        self._parts: dict[str, dict[PartKey, int]] = {}
        # Time of the newest refusal of a record by job id, or by the key of a record of no job.
        self._refused_at: dict[str, float] = {}
        # Smaller progress fits into one record, whatever the id of the job is.
        self._max_whole_bytes = limits.record_bytes - MAX_KEY_BYTES

    async def fence(self) -> None:
        """Make the store refuse the writes of earlier leaders.

        :raises StoreFencedError: when a later leader has written or the claim is lost
        """
        await self._append([])

    def group(self, records: Iterable[Record]) -> dict[str, StoredProgress]:
        """Return the stored progress by job id, and note the parts of each job."""
        stored: dict[str, StoredProgress] = {}
        for record in records:
            if record.value is None or record.key.startswith(RESERVED_PREFIX):
                continue
            job_id, part = parse_record_key(record.key)
            progress = stored.setdefault(job_id, StoredProgress())
            if part is None:
                progress.whole = record.value
                continue
            progress.parts[part] = record.value
            self._parts.setdefault(job_id, {})[part] = crc32(record.value)
        return stored

    async def write(
        self, jobs: Sequence[Job], removed: Sequence[str], others: Sequence[Record] = ()
    ) -> frozenset[str]:
        """Store the progress of jobs, delete that of others, and return once that is durable.

        :param removed: ids of the jobs whose progress is deleted
        :param others: records of no job
        :returns: ids of the jobs whose progress is not stored, since the store refuses it for good
        :raises StoreFencedError: when a later leader has written or the claim is lost
        """
        groups: list[list[Record]] = []
        refused: set[str] = set()
        for job in jobs:
            if job.progress_parts == 1 and job.job_id not in self._refused_at:
                value = encode_progress(job)
                if len(value) <= self._max_whole_bytes:
                    groups.append([Record(job.job_id, value)])
                    continue
            records = self._records_of(job)
            if records is None:
                refused.add(job.job_id)
            else:
                groups.append(records)
        for job_id in removed:
            parts = self._parts.get(job_id, {})
            keys = [job_id, *(part.record_key(job_id) for part in parts)]
            groups.append([Record(key, None) for key in keys])
        groups.extend([one] for one in others if not self._is_refused(one.key))
        refused.update(await self._append_all(groups))
        for job_id in removed:
            if job_id not in refused:
                self._parts.pop(job_id, None)
                self._refused_at.pop(job_id, None)
        return frozenset(refused)

    def _is_refused(self, owner: str) -> bool:
        """Return whether a record of a job was refused lately."""
        refused_at = self._refused_at.get(owner)
        return refused_at is not None and self._clock() - refused_at < REFUSED_RETRY_SECONDS

    def _records_of(self, job: Job) -> list[Record] | None:
        """Return the records that the store lacks of a job; None where it would refuse them."""
        if self._is_refused(job.job_id):
            return None
        longest_key = PartKey(MAX_PARTS, MAX_PARTS).record_key(job.job_id)
        try:
            encoded = encode_parts(job, self._limits.value_bytes(longest_key))
        except ProgressTooLargeError as error:
            self._record_refusal(job.job_id, str(error))
            return None
        known = self._parts.get(job.job_id, {})
        records = []
        for part, value in write_order(encoded, known):
            if part is None:
                records.append(Record(job.job_id, value))
            elif known.get(part) != crc32(value):
                records.append(Record(part.record_key(job.job_id), value))
        records.extend(
            Record(part.record_key(job.job_id), None) for part in known if part not in encoded
        )
        return records

    async def _append_all(self, groups: Iterable[Sequence[Record]]) -> set[str]:
        """Append groups of records, as many at once as an append takes.

        :returns: ids of the jobs, or keys of other records, that were refused
        """
        refused: set[str] = set()
        for batch in batches(chain.from_iterable(groups), self._limits.call_bytes):
            refused.update(await self._append_or_split(batch))
        return refused

    async def _append_or_split(self, records: list[Record]) -> set[str]:
        """Append records, without those that the store refuses for good."""
        try:
            await self._append(records)
        except StoreRefusedError as error:
            if len(records) == 1:
                owner, _ = parse_record_key(records[0].key)
                self._record_refusal(owner, str(error), records[0].content_bytes)
                return {owner}
            middle = len(records) // 2
            refused = await self._append_or_split(records[:middle])
            return refused | await self._append_or_split(records[middle:])
        for record in records:
            if not self._refused_at and PART_SEPARATOR not in record.key:
                continue
            owner, part = parse_record_key(record.key)
            self._refused_at.pop(owner, None)
            if part is None:
                continue
            parts = self._parts.setdefault(owner, {})
            if record.value is None:
                parts.pop(part, None)
            else:
                parts[part] = crc32(record.value)
        return set()

    def _record_refusal(self, owner: str, reason: str, size: int = 0) -> None:
        self._metrics.count("jobs.refused_records")
        self._refused_at[owner] = self._clock()
        fields: dict[str, object] = {"job": owner, "bytes": size, "reason": reason}
        _log.error("progress is refused by the store; its job is held", extra=fields)

    async def _append(self, records: Sequence[Record]) -> None:
        """Append to the progress stream, retrying until the append has succeeded.

        :raises StoreFencedError: when a later leader has appended or the claim is lost
        :raises StoreRefusedError: when the store will never accept the records
        """
        while True:
            fence = Fence(FENCED_WRITER, self._epoch, self._sequence)
            try:
                await self._store.append(Stream.PROGRESS, records, fence=fence)
            except StoreFencedError:
                raise
            except StoreSequenceError as error:
                _log.warning(
                    "append to the progress stream was out of sequence",
                    extra={"sequence": self._sequence, "expected": error.expected},
                )
                self._sequence = error.expected
                continue
            except StoreError as error:
                if not self._leadership.has_claim:
                    raise StoreFencedError("claim lost during a write") from error
                if records and isinstance(error, StoreRefusedError):
                    raise
                if not self._is_store_failing:
                    self._is_store_failing = True
                    _log.warning("progress can't be stored; retrying", extra={"reason": str(error)})
                await asyncio.sleep(self._random.uniform(0.5, 1.5) * APPEND_RETRY_SECONDS)
                continue
            if self._is_store_failing:
                self._is_store_failing = False
                _log.notice("progress is stored again", extra={"records": len(records)})
            if records:
                self._sequence += 1
            return
