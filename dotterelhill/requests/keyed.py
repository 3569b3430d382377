"""Requests with an idempotency key: choice of the process that runs them, stored answers."""

from __future__ import annotations

import asyncio

from dotterelhill.core import ErrorKind, RequestError
from dotterelhill.membership import Peer, PeerView
from dotterelhill.requests.claim_log import ClaimLog
from dotterelhill.requests.claims import Holder, short_digest
from dotterelhill.requests.idempotency import (
    ISSUED_KEY_PREFIX,
    MAX_ANSWER_BYTES,
    MAX_KEY_CHARACTERS,
    Answered,
    IssuedKey,
    KeyIssuer,
    KeyState,
    KeyTable,
    Runnable,
    StoredAnswer,
    Unsettled,
    digest_of,
    request_digest,
)
from dotterelhill.requests.messages import AnswerHead
from dotterelhill.requests.proxy import AdmittedRequest, Proxy, Sink


class _AnswerRecorder:
    """Sink that stores a small answer and goes on after the caller has disconnected."""

    def __init__(self, sink: Sink) -> None:
        self._sink = sink
        self._head: AnswerHead | None = None
        self._parts: list[bytes] = []
        self._size = 0
        self._is_caller_connected = True
        self._is_complete = False

    @property
    def is_answer_started(self) -> bool:
        return self._head is not None

    @property
    def is_complete(self) -> bool:
        """Return whether the complete answer has arrived from the minion."""
        return self._is_complete

    @property
    def answer(self) -> StoredAnswer | None:
        """Return the stored answer, or None when none was started or it was too large to store."""
        if self._head is None or self._size > MAX_ANSWER_BYTES:
            return None
        return StoredAnswer(self._head, b"".join(self._parts))

    def drop_caller(self) -> None:
        """Stop passing the answer on, since the caller's connection has ended."""
        self._is_caller_connected = False

    async def send_head(self, head: AnswerHead) -> None:
        self._head = head
        if self._is_caller_connected:
            await self._send_to_caller(self._sink.send_head(head))

    async def send(self, data: bytes) -> None:
        self._size += len(data)
        if self._size <= MAX_ANSWER_BYTES:
            self._parts.append(data)
        else:
            self._parts.clear()
        if self._is_caller_connected:
            await self._send_to_caller(self._sink.send(data))

    async def finish(self) -> None:
        self._is_complete = True
        if self._is_caller_connected:
            await self._send_to_caller(self._sink.finish())

    def abort(self) -> None:
        if self._is_caller_connected:
            self._sink.abort()

    async def _send_to_caller(self, sending: object) -> None:
        try:
            await sending  # type: ignore[misc]
        except (ConnectionError, RuntimeError):
            self._is_caller_connected = False


class KeyedRequests:
    """Runs each keyed request at most once.

    :param proxy: dispatches requests to minions and peers
    :param peers: live entry processes
    :param claims: claims of caller-chosen keys
    :param deployment_key: secret from which the key that signs issued keys is derived
    """

    def __init__(
        self, proxy: Proxy, peers: PeerView, claims: ClaimLog, deployment_key: bytes
    ) -> None:
        self._proxy = proxy
        self._peers = peers
        self._claims = claims
        self._table = KeyTable()
        self._issuer = KeyIssuer(deployment_key, peers.incarnation)
        self._running_tasks: set[asyncio.Task[None]] = set()

    @property
    def key_count(self) -> int:
        """Return the number of keys in the key table."""
        return len(self._table)

    def issue(self) -> str:
        """Return a new key whose request only this incarnation may dispatch."""
        return self._issuer.issue()

    async def run(self, request: AdmittedRequest, key: str, sink: Sink) -> None:
        """Run a keyed request, or send the stored answer of an earlier call, to ``sink``.

        :raises RequestError: when the request can't be answered
        """
        if not key or len(key) > MAX_KEY_CHARACTERS or not key.isprintable():
            raise RequestError(
                ErrorKind.BAD_REQUEST, f"a key has 1 to {MAX_KEY_CHARACTERS} characters"
            )
        if key.startswith(ISSUED_KEY_PREFIX):
            await self._run_issued(request, self._issuer.parse(key), sink)
        else:
            await self._run_claimed(request, key, sink)

    async def wait_for_attempts(self, seconds: float) -> None:
        """Wait up to ``seconds`` for attempts that still run after their callers disconnected."""
        if self._running_tasks:
            await asyncio.wait(self._running_tasks, timeout=max(0.0, seconds))

    async def close(self) -> None:
        """Cancel the attempts that still run."""
        for task in list(self._running_tasks):
            task.cancel()
        await asyncio.gather(*self._running_tasks, return_exceptions=True)

    async def _run_issued(self, request: AdmittedRequest, key: IssuedKey, sink: Sink) -> None:
        if key.incarnation != self._peers.incarnation:
            await self._run_at_holder(request, key.incarnation, sink)
            return
        is_known = self._table.state_of(key.digest) is not None
        if not is_known and not self._issuer.may_be_unused(key):
            raise RequestError(ErrorKind.KEY_HOLDER_GONE, "the key is no longer remembered")
        answer = self._table.begin(key.digest, request_digest(request.head, request.body_start))
        await self._run_or_send_stored(request, key.digest, answer, sink)

    async def _run_claimed(self, request: AdmittedRequest, key: str, sink: Sink) -> None:
        digest = digest_of(request.service.encode(), key.encode("utf-8", "surrogateescape"))
        fingerprint = request_digest(request.head, request.body_start)
        holder = self._claims.table.find(digest)
        if holder is not None:
            self._check_request(holder, fingerprint)
            if holder.incarnation != self._peers.incarnation:
                await self._run_at_holder(request, holder.incarnation, sink)
                return
            if self._table.state_of(digest) is None:
                raise RequestError(ErrorKind.KEY_HOLDER_GONE, "the key is no longer remembered")
        answer = self._table.begin(digest, fingerprint)
        if answer is None:
            await self._claim(request, digest, fingerprint, sink)
        else:
            await _send_stored_answer(answer, sink)

    async def _claim(
        self, request: AdmittedRequest, digest: bytes, fingerprint: bytes, sink: Sink
    ) -> None:
        """Claim the key in the log, then run the request here or at the key's holder."""
        try:
            holder = await self._claims.claim(
                digest, fingerprint, request.deadline.queue_expires_at
            )
        except BaseException:
            # Nothing was dispatched. The claim may still be in the log; then this process holds
            # the key and a later call may run the request.
            self._settle(digest, Runnable())
            raise
        if holder.incarnation == self._peers.incarnation:
            await self._run_or_send_stored(request, digest, None, sink)
            return
        self._table.withdraw(digest)
        self._check_request(holder, fingerprint)
        await self._run_at_holder(request, holder.incarnation, sink)

    def _check_request(self, holder: Holder, fingerprint: bytes) -> None:
        if holder.fingerprint != short_digest(fingerprint):
            raise RequestError(ErrorKind.KEY_MISMATCH, "the key was used for another request")

    async def _run_at_holder(self, request: AdmittedRequest, incarnation: str, sink: Sink) -> None:
        peer = self._live_peer(incarnation)
        if request.hop is not None or peer is None:
            # The holder may have dispatched the request before it ended, so no other process may
            # run it.
            raise RequestError(ErrorKind.KEY_HOLDER_GONE, "the process that may run it is gone")
        try:
            await self._proxy.run_at_peer(request, peer, sink)
        except RequestError as error:
            if error.kind is ErrorKind.CONNECT_FAILED and not error.is_dispatched:
                # The holder may have run the request for an earlier call with this key.
                detail = "the process that may run it can't be reached"
                raise RequestError(ErrorKind.KEY_HOLDER_GONE, detail) from error
            if sink.is_answer_started:
                sink.abort()
            raise

    def _live_peer(self, incarnation: str) -> Peer | None:
        now = asyncio.get_running_loop().time()
        peers = self._peers.live_peers(now)
        return next((peer for peer in peers if peer.incarnation == incarnation), None)

    async def _run_or_send_stored(
        self, request: AdmittedRequest, digest: bytes, answer: StoredAnswer | None, sink: Sink
    ) -> None:
        if answer is not None:
            await _send_stored_answer(answer, sink)
            return
        recorder = _AnswerRecorder(sink)
        task = asyncio.get_running_loop().create_task(self._attempt(request, digest, recorder))
        self._running_tasks.add(task)
        task.add_done_callback(self._running_tasks.discard)
        task.add_done_callback(_retrieve_exception)
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            # The caller disconnected; a later call with the key gets the answer.
            recorder.drop_caller()
            raise

    async def _attempt(
        self, request: AdmittedRequest, digest: bytes, recorder: _AnswerRecorder
    ) -> None:
        try:
            await self._proxy.run(request, recorder)
        except RequestError as error:
            if recorder.is_answer_started:
                self._settle(digest, Unsettled(ErrorKind.ANSWER_TRUNCATED))
            elif error.outcome == "not-run":
                self._settle(digest, Runnable())
            else:
                self._settle(digest, Unsettled(error.kind))
            raise
        except BaseException:
            self._settle(digest, Unsettled(ErrorKind.INTERNAL))
            raise
        self._settle(digest, Answered(recorder.answer))

    def _settle(self, digest: bytes, state: KeyState) -> None:
        self._issuer.record_evicted(self._table.settle(digest, state))


def _retrieve_exception(task: asyncio.Task[None]) -> None:
    if not task.cancelled():
        task.exception()


async def _send_stored_answer(answer: StoredAnswer, sink: Sink) -> None:
    await sink.send_head(answer.head)
    await sink.send(answer.body)
    await sink.finish()
