"""Log client for claims of caller-chosen keys: appends batches and reads the stream."""

from __future__ import annotations

import asyncio
import secrets
from random import Random

import msgspec
from mode import Service

from dotterelhill.core import ErrorKind, RequestError
from dotterelhill.log import Log, LogError, LogTrimmedError
from dotterelhill.requests.claims import (
    CLAIM_STREAM,
    CLAIM_VERSION,
    Claim,
    ClaimBatches,
    ClaimTable,
    Holder,
)

POLL_SECONDS = 1.0
READ_LIMIT = 2000
APPEND_TIMEOUT_SECONDS = 5.0
MIN_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 5.0


class ClaimLog(Service):
    """Service that appends claims and reads the ``claims`` stream.

    :param log: the platform's log
    :param incarnation: incarnation of this process
    :param random: seeded generator for the jitter of the backoff
    """

    def __init__(self, log: Log, incarnation: str, random: Random) -> None:
        super().__init__()
        self._log = log
        self._incarnation = incarnation
        self._random = random
        self._table = ClaimTable()
        self._batches = ClaimBatches()
        self._waiters: dict[bytes, list[asyncio.Future[None]]] = {}
        self._pending_event = asyncio.Event()
        self._next_offset = 1
        self._is_caught_up = False
        self._failures = 0

    @property
    def table(self) -> ClaimTable:
        """Return the claims read so far."""
        return self._table

    @property
    def is_caught_up(self) -> bool:
        """Return whether the stream has been read up to its end at least once."""
        return self._is_caught_up

    async def claim(self, key: bytes, fingerprint: bytes, give_up_at: float) -> Holder:
        """Return the holder of a key; append a claim when the key has none.

        :param key: digest of service and key
        :param fingerprint: digest of the request
        :param give_up_at: loop time after which the request is refused
        :raises RequestError: ``log_unavailable`` when the claim can't be appended or isn't read
            back in time
        """
        holder = self._table.find(key)
        if holder is not None:
            return holder
        loop = asyncio.get_running_loop()
        claim_id = secrets.token_bytes(8)
        waiter: asyncio.Future[None] = loop.create_future()
        self._waiters.setdefault(key, []).append(waiter)
        claim = Claim(CLAIM_VERSION, key, fingerprint, self._incarnation, claim_id)
        self._batches.add(claim, give_up_at)
        self._pending_event.set()
        try:
            async with asyncio.timeout_at(give_up_at):
                await waiter
        except TimeoutError as error:
            detail = "the claim of the key was not read back in time"
            raise RequestError(ErrorKind.LOG_UNAVAILABLE, detail) from error
        finally:
            self._batches.settle(claim_id)
            self._remove_waiter(key, waiter)
        holder = self._table.find(key)
        assert holder is not None
        return holder

    @Service.task
    async def _append(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.should_stop:
            await self._pending_event.wait()
            await asyncio.sleep(self._batches.next_append_at(loop.time()) - loop.time())
            batch = self._batches.take(loop.time())
            if not batch:
                self._pending_event.clear()
                continue
            await self._append_batch(batch)

    @Service.task
    async def _read_stream(self) -> None:
        while not self.should_stop:
            try:
                await self._read_records()
            except LogTrimmedError as error:
                # The guarantee for caller-chosen keys doesn't cover claims older than the log's
                # retention.
                self._next_offset = error.earliest_offset
            except (LogError, TimeoutError, OSError):
                self._failures += 1
                await asyncio.sleep(self._backoff_seconds())

    async def _append_batch(self, batch: list[Claim]) -> None:
        records = [msgspec.msgpack.encode(claim) for claim in batch]
        try:
            async with asyncio.timeout(APPEND_TIMEOUT_SECONDS):
                await self._log.append(CLAIM_STREAM, records)
        except TimeoutError:
            is_effect_unknown = True
        except LogError as error:
            is_effect_unknown = error.is_effect_unknown
        else:
            for claim in batch:
                self._batches.settle(claim.claim_id)
            return
        self._failures += 1
        if is_effect_unknown:
            # The claims stay pending and are appended again; the first occurrence of each decides.
            await asyncio.sleep(self._backoff_seconds())
            return
        self._fail_batch(batch)

    async def _read_records(self) -> None:
        result = await self._log.read(
            CLAIM_STREAM, self._next_offset, limit=READ_LIMIT, wait_seconds=POLL_SECONDS
        )
        now = asyncio.get_running_loop().time()
        for record in result.records:
            self._next_offset = record.offset + 1
            claim = self._table.apply(record.data, now)
            if claim is not None:
                self._notify_waiters(claim.key)
        self._failures = 0
        if self._next_offset >= result.next_offset:
            self._is_caught_up = True

    def _fail_batch(self, batch: list[Claim]) -> None:
        error = RequestError(ErrorKind.LOG_UNAVAILABLE, "the log took no claim")
        for claim in batch:
            self._batches.settle(claim.claim_id)
            for waiter in self._waiters.get(claim.key, []):
                if not waiter.done():
                    waiter.set_exception(error)

    def _notify_waiters(self, key: bytes) -> None:
        for waiter in self._waiters.get(key, []):
            if not waiter.done():
                waiter.set_result(None)

    def _remove_waiter(self, key: bytes, waiter: asyncio.Future[None]) -> None:
        waiters = self._waiters.get(key, [])
        if waiter in waiters:
            waiters.remove(waiter)
        if not waiters:
            self._waiters.pop(key, None)

    def _backoff_seconds(self) -> float:
        max_seconds = min(MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS * 2**self._failures)
        return self._random.uniform(MIN_BACKOFF_SECONDS / 2, max_seconds)
