"""Removal of stored submissions and cancellations that are past their retention.

Explanation
===========

The record of a job's progress says that the job has ended. It is removed only after the submission:
a submission without progress is a job that has not started. A removal that fails is repeated until
it has succeeded, and one that is repeated has no further effect.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from itertools import islice
from random import Random

from dotterelhill.control.batches import batches
from dotterelhill.control.interface import Record, Store, StoreError, Stream
from dotterelhill.control.submissions import partition_of
from dotterelhill.entry.logs import logger_of
from dotterelhill.entry.metrics import Metrics

# Jobs whose time is over within this time are removed together.
REMOVAL_INTERVAL_SECONDS = 0.5
RETRY_SECONDS = (1.0, 2.0)
MAX_JOBS_AT_ONCE = 500

_log = logger_of("leader")


class SubmissionRemoval:
    """Removes the records of jobs from the submission stream, one partition after the other.

    :param on_removed: called with the ids of the jobs whose records are certainly removed
    :param call_bytes: largest size of an append
    """

    def __init__(
        self,
        store: Store,
        on_removed: Callable[[Sequence[str]], None],
        random: Random,
        metrics: Metrics,
        call_bytes: int,
    ) -> None:
        self._store = store
        self._on_removed = on_removed
        self._random = random
        self._metrics = metrics
        self._call_bytes = call_bytes
        # Keys to remove by job id, by partition.
        self._pending: dict[int, dict[str, set[str]]] = {}
        self._is_failing = False

    @property
    def pending_count(self) -> int:
        """Return the number of jobs whose records are not removed yet."""
        return sum(len(jobs) for jobs in self._pending.values())

    def add(self, job_id: str, keys: Sequence[str]) -> None:
        """Add the keys of all records of a job."""
        partition = partition_of(job_id, self._store.partitions(Stream.SUBMISSIONS))
        self._pending.setdefault(partition, {}).setdefault(job_id, set()).update(keys)

    async def run(self) -> None:
        """Remove what is pending until the task is cancelled."""
        while True:
            delay_seconds = REMOVAL_INTERVAL_SECONDS
            for partition in list(self._pending):
                if not await self._remove_from(partition):
                    delay_seconds = self._random.uniform(*RETRY_SECONDS)
            self._record_outcome()
            await asyncio.sleep(delay_seconds)

    async def _remove_from(self, partition: int) -> bool:
        """Remove pending records from one partition; return False when the append failed."""
        pending = self._pending[partition]
        while pending:
            group = dict(islice(pending.items(), MAX_JOBS_AT_ONCE))
            records = [Record(key, None) for keys in group.values() for key in sorted(keys)]
            try:
                for batch in batches(records, self._call_bytes):
                    await self._store.append(Stream.SUBMISSIONS, batch, partition=partition)
            except StoreError as error:
                self._record_failure(partition, error)
                return False
            self._metrics.count("jobs.removals", label="done")
            for job_id in group:
                del pending[job_id]
            self._on_removed(list(group))
        del self._pending[partition]
        return True

    def _record_failure(self, partition: int, error: StoreError) -> None:
        self._metrics.count("jobs.removals", label="failed")
        if self._is_failing:
            return
        self._is_failing = True
        fields = {"partition": partition, "jobs": self.pending_count, "reason": str(error)}
        _log.warning("ended jobs can't be removed; retrying", extra=fields)

    def _record_outcome(self) -> None:
        if self._is_failing and not self._pending:
            self._is_failing = False
            _log.notice("ended jobs are removed again")
