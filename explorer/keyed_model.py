"""Model of the keyed requests of one process.

A claim is appended for each key, in batches, and its request is dispatched once the claim has been
read back. The code follows ``requests/keyed.py`` and ``requests/claim_log.py``, whose futures need
a real event loop; the tables and the batches of claims are the shipped ones.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import msgspec

from dotterelhill.core import ErrorKind, RequestError
from dotterelhill.log.interface import LogError
from dotterelhill.log.tail import LogTail, TailRead
from dotterelhill.requests.claims import (
    CLAIM_STREAM,
    CLAIM_VERSION,
    Claim,
    ClaimBatches,
    ClaimTable,
)
from dotterelhill.requests.idempotency import Answered, KeyTable, Runnable, Unsettled
from explorer.calls import Sleep
from explorer.log_model import LogAdapter

CLAIM_TIMEOUT_SECONDS = 5.0
APPEND_RETRY_SECONDS = 1.0
QUEUE_POLL_SECONDS = 0.5
REQUEST_DIGEST = bytes(16)


class KeyedModel:
    """Runs each keyed request of one process at most once.

    :param log: log to which claims are appended
    :param incarnation: incarnation of the process
    :param random: source of claim ids and of the outcomes of requests
    :param clock: returns the time of the process's clock in seconds
    :param on_dispatch: called with the key of each request that is dispatched
    """

    def __init__(
        self,
        log: LogAdapter,
        incarnation: str,
        random: Random,
        clock: Callable[[], float],
        on_dispatch: Callable[[bytes], None],
    ) -> None:
        self._log = log
        self._incarnation = incarnation
        self._random = random
        self._clock = clock
        self._on_dispatch = on_dispatch
        self._claims = ClaimTable()
        self._batches = ClaimBatches()
        self._keys = KeyTable()
        # Claim id and deadline by key.
        self._pending_claims: dict[bytes, tuple[bytes, float]] = {}
        self.tail = LogTail(
            log, CLAIM_STREAM, 1, on_read=self._on_read, on_trimmed=lambda offset: None, rng=random
        )

    def request(self, key: bytes) -> None:
        """Accept a request, unless its key is claimed by another process or was used before."""
        holder = self._claims.find(key)
        if holder is not None:
            is_forgotten = self._keys.state_of(key) is None
            if holder.incarnation != self._incarnation or is_forgotten:
                return
        try:
            answer = self._keys.begin(key, REQUEST_DIGEST)
        except RequestError:
            return
        if answer is not None:
            return
        if holder is not None:
            self._settle_claim(key)
            return
        claim_id = self._random.randbytes(8)
        give_up_at = self._clock() + CLAIM_TIMEOUT_SECONDS
        self._pending_claims[key] = (claim_id, give_up_at)
        claim = Claim(CLAIM_VERSION, key, REQUEST_DIGEST, self._incarnation, claim_id)
        self._batches.add(claim, give_up_at)

    async def append_claims(self) -> None:
        """Append claims in batches, and withdraw expired ones, until the process ends."""
        while True:
            now = self._clock()
            self._withdraw_expired_claims(now)
            batch = self._batches.take(now)
            if batch:
                await self._append_batch(batch)
            await Sleep(max(QUEUE_POLL_SECONDS, self._batches.next_append_at(now) - self._clock()))

    async def _append_batch(self, batch: list[Claim]) -> None:
        try:
            await self._log.append(CLAIM_STREAM, [msgspec.msgpack.encode(claim) for claim in batch])
        except LogError as error:
            if error.is_effect_unknown:
                self._on_lost_answer(batch)
                await Sleep(APPEND_RETRY_SECONDS)
                return
            for claim in batch:
                self._withdraw_claim(claim.key)
            return
        for claim in batch:
            self._batches.settle(claim.claim_id)

    def _on_lost_answer(self, batch: list[Claim]) -> None:
        """Leave the claims of a batch pending, so they are appended again and read back."""

    def _on_read(self, read: TailRead) -> None:
        for record in read.records:
            claim = self._claims.apply(record.data, self._clock())
            if claim is not None:
                self._settle_claim(claim.key)

    def _settle_claim(self, key: bytes) -> None:
        """Dispatch the request that waits for its claim, if this process has the first claim."""
        pending = self._pending_claims.pop(key, None)
        if pending is not None:
            self._batches.settle(pending[0])
        if not self._is_running(key):
            return
        holder = self._claims.find(key)
        if holder is None or holder.incarnation != self._incarnation:
            self._keys.withdraw(key)
            return
        self._dispatch(key)

    def _dispatch(self, key: bytes) -> None:
        self._on_dispatch(key)
        is_known = self._random.random() < 0.5
        state = Answered(None) if is_known else Unsettled(ErrorKind.MINION_SILENT)
        self._keys.settle(key, state)

    def _is_running(self, key: bytes) -> bool:
        state = self._keys.state_of(key)
        return state is not None and not isinstance(state, (Answered, Unsettled, Runnable))

    def _withdraw_expired_claims(self, now: float) -> None:
        for key in [
            key for key, (_, give_up_at) in self._pending_claims.items() if give_up_at <= now
        ]:
            self._withdraw_claim(key)

    def _withdraw_claim(self, key: bytes) -> None:
        pending = self._pending_claims.pop(key, None)
        if pending is None:
            return
        self._batches.settle(pending[0])
        if self._is_running(key):
            self._keys.settle(key, Runnable())
