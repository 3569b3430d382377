"""Order of work for one request: admission, idempotency, choice of a minion, dispatch, answer."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Protocol

from dotterelhill.core import ErrorKind, RequestError
from dotterelhill.holdings import HoldingsView, Permit
from dotterelhill.manifest import Manifest, ManifestView, Priority
from dotterelhill.membership import Peer, PeerView
from dotterelhill.requests.admission import MemberLimits, TokenBucket, Waiter, WaitQueue
from dotterelhill.requests.deadlines import DEADLINE_HEADER, Deadline
from dotterelhill.requests.forwarding import ForwardGuard, Hop, Purpose
from dotterelhill.requests.messages import (
    CHUNK_BYTES,
    ERROR_HEADER,
    OUTCOME_HEADER,
    AnswerHead,
    RequestHead,
    end_to_end_headers,
)
from dotterelhill.requests.metrics import NoMetrics, RequestMetrics
from dotterelhill.requests.minion import Body, Exchange, MinionClient, OutgoingRequest
from dotterelhill.requests.retries import RetryBudget, is_repeatable
from dotterelhill.requests.routing import (
    Candidate,
    ForwardingOrder,
    Routing,
    UsableMinions,
)
from dotterelhill.requests.slots import Slot, SlotTable

# Free slots are looked for at least this often while requests wait, since permits and the slots of
# peers change without an event here.
RECHECK_SECONDS = 0.05
PEER_CONNECTIONS = 256
# Requests that may wait in the queue of a peer beyond the slots that it reported.
WAITING_AT_PEER = 32


class Sink(Protocol):
    """Where the answer of a request goes."""

    @property
    def is_answer_started(self) -> bool:
        """Return whether the head of an answer was passed on."""
        ...

    async def send_head(self, head: AnswerHead) -> None:
        """Pass on the head of an answer."""
        ...

    async def send(self, data: bytes) -> None:
        """Pass on a part of an answer."""
        ...

    async def finish(self) -> None:
        """End a complete answer."""
        ...

    def abort(self) -> None:
        """Cut off an answer that was started and can't be completed."""
        ...


@dataclass(frozen=True, slots=True)
class Work:
    """One admitted request.

    :param service: name of its service
    :param start: first bytes of the body, read before any dispatch
    :param rest: the body after ``start``; None when that is all of it
    :param hop: where it was forwarded from, or None when a caller sent it
    """

    head: RequestHead
    service: str
    deadline: Deadline
    is_idempotent: bool
    start: bytes
    rest: Body | None
    hop: Hop | None


@dataclass(frozen=True, slots=True)
class _MinionTarget:
    minion: str
    address: str
    group: tuple[str, ...]
    slot: Slot


@dataclass(frozen=True, slots=True)
class _PeerTarget:
    peer: Peer


_Target = _MinionTarget | _PeerTarget


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What the proxy is told by other slices, and who it is."""

    manifests: ManifestView
    holdings: HoldingsView
    peers: PeerView
    failure_domain: str
    region: str


def service_of(manifest: Manifest, raw_path: str) -> str:
    """Return the name of the service with the longest path prefix that fits.

    :raises RequestError: ``unknown_service``
    """
    path = raw_path.partition("?")[0]
    best, best_length = "", -1
    for name, service in manifest.services.items():
        prefix = service.path_prefix.rstrip("/")
        if (path == prefix or path.startswith(prefix + "/")) and len(prefix) > best_length:
            best, best_length = name, len(prefix)
    if best_length < 0:
        raise RequestError(ErrorKind.UNKNOWN_SERVICE, "no service has a prefix of this path")
    return best


class _SlowCallerError(RequestError):
    """The caller did not take its answer in time, which is no fault of the minion."""

    def __init__(self) -> None:
        detail = "the caller reads slowly"
        super().__init__(ErrorKind.DEADLINE_AFTER_DISPATCH, detail, is_dispatched=True)


class Proxy:
    """Carries admitted requests to minions and answers back.

    :param random: seeded generator for choices and jitter
    """

    def __init__(
        self,
        surroundings: Surroundings,
        client: MinionClient,
        guard: ForwardGuard,
        random: Random,
        queue: WaitQueue | None = None,
        metrics: RequestMetrics | None = None,
    ) -> None:
        self._around = surroundings
        self._client = client
        self._guard = guard
        self._random = random
        self._metrics = metrics or NoMetrics()
        self._slots = SlotTable()
        self._routing = Routing(random)
        self._usable = UsableMinions()
        self._order = ForwardingOrder(surroundings.failure_domain, surroundings.region, random)
        self._budget = RetryBudget(random)
        self._limits = MemberLimits()
        self._queue = WaitQueue() if queue is None else queue
        self._wakes: dict[int, asyncio.Future[None]] = {}
        self._refused: dict[int, str] = {}
        self._numbers = itertools.count(1)
        self._crossing: TokenBucket | None = None
        self._crossed_bytes = 0
        self._counters: Counter[str] = Counter()

    @property
    def counters(self) -> Counter[str]:
        """Return how often each thing happened."""
        return self._counters

    @property
    def slots(self) -> SlotTable:
        """Return the slots in use."""
        return self._slots

    @property
    def limits(self) -> MemberLimits:
        """Return the admission of members."""
        return self._limits

    @property
    def routing(self) -> Routing:
        """Return the health of the minions."""
        return self._routing

    @property
    def queue_length(self) -> int:
        """Return how many requests wait for a slot."""
        return len(self._queue)

    @property
    def retries_left(self) -> float:
        """Return how many retries the budget allows now."""
        return self._budget.left

    @property
    def crossed_bytes(self) -> int:
        """Return the bytes that forwarded requests moved between regions."""
        return self._crossed_bytes

    @property
    def processes(self) -> int:
        """Return how many entry processes are live, this one included."""
        return 1 + len(self._around.peers.live_peers(self._now()))

    def manifest(self) -> Manifest:
        """Return the manifest in force.

        :raises RequestError: ``not_ready`` before the first
        """
        accepted = self._around.manifests.current
        if accepted is None:
            raise RequestError(ErrorKind.NOT_READY, "no manifest is known yet")
        return accepted.manifest

    def free_slots(self) -> dict[str, int]:
        """Return the free slots by service, as heartbeats carry them."""
        accepted = self._around.manifests.current
        if accepted is None:
            return {}
        manifest, now = accepted.manifest, self._now()
        ejected = self._routing.ejected()
        free: dict[str, int] = {}
        for name in manifest.services:
            usable = self._usable_minions(manifest, name)
            free[name] = sum(
                self._slots.free(minion, self._around.holdings.permit_for(minion, now))
                for minion in usable
                if minion not in ejected
            )
        return free

    async def run(self, work: Work, sink: Sink) -> None:
        """Settle one admitted request on ``sink``.

        :raises RequestError: when it can't be answered; the answer has not been started
        """
        self._budget.count_request()
        attempts, was_dispatched, failed = 0, False, set[str]()
        first: RequestError | None = None
        while True:
            attempts += 1
            target: _Target | None = None
            try:
                target = await self._target(work, failed)
                await self._attempt(work, target, sink)
                return
            except RequestError as error:
                was_dispatched = was_dispatched or error.is_dispatched
                final = RequestError(error.kind, error.detail, is_dispatched=was_dispatched)
                if sink.is_answer_started:
                    sink.abort()
                    raise
                pause = self._retry_pause(work, final, attempts)
                if target is None and first is not None and error.kind is ErrorKind.NO_MINION:
                    raise first from error
                if target is None or pause is None:
                    raise final from error
                first = final
                failed.add(_name_of(target))
            self._counters["retries"] += 1
            self._metrics.count("requests.retried")
            await asyncio.sleep(pause)

    async def run_at_peer(self, work: Work, peer: Peer, sink: Sink) -> None:
        """Let the holder of the request's key settle it; see ``run``."""
        await self._forward(work, peer, Purpose.KEY, sink)

    def recheck(self) -> None:
        """Refuse overdue requests and wake the first of each service; called at intervals."""
        now = self._now()
        for waiter in self._queue.overdue(now):
            self._refuse(waiter, "half of the deadline passed in the queue")
        for slot in self._slots.expire(now):
            self._counters["reservations_expired"] += 1
            self._wake_all()
            del slot
        self._wake_all()

    def close_idle(self, minion: str) -> None:
        """Close the connections to a minion that this process no longer uses."""
        services = self.manifest().services.values()
        for service in services:
            if minion in service.minions:
                self._client.close_idle(service.minions[minion].address)

    def follow_manifest(self) -> None:
        """Forget minions and peers that no longer exist."""
        accepted = self._around.manifests.current
        if accepted is None:
            return
        services = accepted.manifest.services.values()
        minions = {name: item for service in services for name, item in service.minions.items()}
        peers = self._around.peers.live_peers(self._now())
        self._routing.retain(minions)
        self._order.retain(peer.incarnation for peer in peers)
        addresses = {item.address for item in minions.values()}
        self._client.retain(frozenset(addresses | {peer.forward_address for peer in peers}))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _usable_minions(self, manifest: Manifest, service: str) -> tuple[str, ...]:
        return self._usable.of(manifest, service, self._around.peers.leaving_vms())

    def _retry_pause(self, work: Work, error: RequestError, attempts: int) -> float | None:
        is_safe = is_repeatable(
            error.kind, is_dispatched=error.is_dispatched, is_idempotent=work.is_idempotent
        )
        if not is_safe or work.rest is not None or work.deadline.remaining(self._now()) <= 0:
            return None
        pause = self._budget.take(attempts)
        if pause is None and self._budget.left < 1.0:
            self._metrics.count("requests.retry_budget_spent")
        return pause

    async def _target(self, work: Work, failed: set[str]) -> _Target:
        manifest = self.manifest()
        service = manifest.services.get(work.service)
        if service is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, "the service was removed")
        if work.deadline.remaining(self._now()) <= 0:
            raise RequestError(ErrorKind.DEADLINE_BEFORE_DISPATCH, "no time is left")
        if not self._queue.has_waiters(work.service):
            target = self._free_target(work, failed)
            if target is not None:
                return target
        usable = self._usable_minions(manifest, work.service)
        if not usable:
            raise RequestError(ErrorKind.NO_MINION, "the service has no minion in service")
        if failed and not self._has_other_minion(usable, failed):
            raise RequestError(ErrorKind.NO_MINION, "no other minion is left to try")
        return await self._queued_target(work, service.priority, failed)

    def _has_other_minion(self, usable: tuple[str, ...], failed: set[str]) -> bool:
        now = self._now()
        permit_for = self._around.holdings.permit_for
        return any(permit_for(name, now).slots > 0 for name in usable if name not in failed)

    async def _queued_target(self, work: Work, priority: Priority, failed: set[str]) -> _Target:
        number = next(self._numbers)
        waiter = Waiter(number, work.service, priority, work.deadline.queue_until)
        if waiter.refuse_at <= self._now():
            raise RequestError(ErrorKind.OVERLOADED, "no slot is free")
        wake: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._wakes[number] = wake
        shed = self._queue.offer(waiter)
        if shed is not None:
            self._refuse(shed, "more valuable requests wait")
        try:
            while True:
                await wake
                if number in self._refused:
                    raise RequestError(ErrorKind.OVERLOADED, self._refused[number])
                target = self._free_target(work, failed)
                if target is not None:
                    return target
                wake = asyncio.get_running_loop().create_future()
                self._wakes[number] = wake
        finally:
            self._wakes.pop(number, None)
            self._refused.pop(number, None)
            self._queue.remove(waiter)
            self._wake_first(work.service)

    def _free_target(self, work: Work, failed: set[str]) -> _Target | None:
        manifest = self.manifest()
        service = manifest.services.get(work.service)
        if service is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, "the service was removed")
        target = self._free_minion(manifest, work.service, failed)
        if target is not None or work.hop is not None:
            return target
        peer = self._free_peer(manifest, work.service, failed)
        return None if peer is None else _PeerTarget(peer)

    def _free_peer(self, manifest: Manifest, service: str, failed: set[str]) -> Peer | None:
        peers = [
            peer
            for peer in self._around.peers.live_peers(self._now())
            if peer.incarnation not in failed
        ]
        may_cross = self._may_cross(manifest)
        peer = self._order.choose(peers, service, manifest, may_cross=may_cross)
        usable = self._usable_minions(manifest, service)
        if peer is not None or self._has_other_minion(usable, failed):
            return peer
        # Nothing becomes free here, so the request waits at a process that holds a minion; its
        # next heartbeat may be a second away.
        holder_of = self._around.holdings.holder_of
        holders = {holder_of(f"minion:{name}") for name in usable}
        holding = [peer for peer in peers if peer.incarnation in holders]
        return self._order.choose(
            holding, service, manifest, may_cross=may_cross, least_free=-WAITING_AT_PEER
        )

    def _free_minion(
        self, manifest: Manifest, service_name: str, failed: set[str]
    ) -> _MinionTarget | None:
        now = self._now()
        minions = manifest.services[service_name].minions
        permits: dict[str, Permit] = {}
        for name in self._usable_minions(manifest, service_name):
            if minions[name].failure_domain != self._around.failure_domain:
                continue
            permit = self._around.holdings.permit_for(name, now)
            if permit.slots > 0:
                permits[name] = permit
        group = tuple(permits)
        free = [name for name in group if self._slots.free(name, permits[name]) > 0]
        # A minion that failed this request is the last choice, not a forbidden one.
        fresh = [name for name in free if name not in failed] or free
        in_flight = self._slots.in_flight
        chosen = self._routing.choose([Candidate(name, in_flight[name]) for name in fresh], now)
        if chosen is None:
            return None
        address = minions[chosen].address
        return _MinionTarget(chosen, address, group, self._slots.take(chosen))

    async def _attempt(self, work: Work, target: _Target, sink: Sink) -> None:
        match target:
            case _MinionTarget():
                await self._dispatch(work, target, sink)
            case _PeerTarget(peer):
                await self._forward(work, peer, Purpose.DISPATCH, sink)

    async def _dispatch(self, work: Work, target: _MinionTarget, sink: Sink) -> None:
        started_at = self._now()
        if work.hop is None:
            waited = started_at - work.deadline.started_at
            self._metrics.observe("requests.wait_seconds", waited, work.service)
        left = work.deadline.remaining(started_at)
        headers = (*_passed_headers(work), (DEADLINE_HEADER, f"{left:.3f}"))
        permit = self._around.holdings.permit_for(target.minion, started_at)
        request = _outgoing(work, target.address, headers, max(1, permit.connections))
        exchange = self._client.exchange(
            request,
            lambda: self._may_dispatch(work.service, target.minion),
            lambda: self._release(target.slot, work.service),
        )
        is_recorded = False
        try:
            head = await exchange.head(left)
            self._routing.record_answer(
                target.minion, self._now() - started_at, target.group, self._now()
            )
            is_recorded = True
            await self._pass_on(work, exchange, head, sink)
            self._counters["answered"] += 1
            self._metrics.count("requests.answered", label=work.service)
        except _SlowCallerError:
            raise
        except RequestError as error:
            if error.kind is ErrorKind.MINION_SILENT:
                self._metrics.count("minions.silent", label=work.service)
            if error.kind not in (ErrorKind.UPLOAD_ABORTED, ErrorKind.DEADLINE_BEFORE_DISPATCH):
                self._routing.record_failure(target.minion, target.group, self._now())
                is_recorded = True
            raise
        finally:
            if not is_recorded:
                self._routing.record_unused(target.minion)
            exchange.abandon()
            self._slots.abandon(target.slot, self._now())

    async def _forward(self, work: Work, peer: Peer, purpose: Purpose, sink: Sink) -> None:
        left = work.deadline.remaining(self._now())
        if left <= 0:
            raise RequestError(ErrorKind.DEADLINE_BEFORE_DISPATCH, "no time is left")
        headers = _passed_headers(work)
        hop = self._guard.new_hop(peer.incarnation, left, purpose)
        signed = self._guard.signed_headers(replace(work.head, headers=headers), hop)
        request = _outgoing(work, peer.forward_address, (*headers, *signed), PEER_CONNECTIONS)
        request = replace(request, silence_seconds=work.deadline.peer_silence_seconds)
        self._order.record_sent(peer)
        self._counters["forwarded"] += 1
        self._metrics.count("requests.forwarded", label=peer.failure_domain)
        count = self._crossing_counter(peer)
        count(len(work.start) + sum(len(n) + len(v) + 4 for n, v in request.headers))
        if request.rest is not None:
            request = replace(request, rest=_CountedBody(request.rest, count))
        exchange = self._client.exchange(request, lambda: True, lambda: None)
        try:
            head = await exchange.head(left)
            kind = head.header(ERROR_HEADER)
            if kind is not None:
                raise await _peer_error(exchange, head, kind, left)
            await self._pass_on(work, exchange, head, sink, count)
        finally:
            self._order.record_settled(peer)
            exchange.abandon()

    async def _pass_on(
        self,
        work: Work,
        exchange: Exchange,
        head: AnswerHead,
        sink: Sink,
        count: Callable[[int], None] = lambda size: None,
    ) -> None:
        chunk = await exchange.read(work.deadline.remaining(self._now()))
        is_sending = True
        try:
            async with asyncio.timeout_at(work.deadline.expires_at):
                await sink.send_head(replace(head, headers=end_to_end_headers(head.headers)))
                while chunk:
                    count(len(chunk))
                    await sink.send(chunk)
                    is_sending = False
                    chunk = await exchange.read(work.deadline.remaining(self._now()))
                    is_sending = True
                await sink.finish()
        except TimeoutError as error:
            if is_sending:
                raise _SlowCallerError from error
            detail = "no complete answer in time"
            raise RequestError(
                ErrorKind.DEADLINE_AFTER_DISPATCH, detail, is_dispatched=True
            ) from error

    def _may_dispatch(self, service_name: str, minion: str) -> bool:
        """Return whether the minion may get the request at this moment.

        It is asked once more when the connection is there, since the process may have been paused.
        """
        accepted = self._around.manifests.current
        service = accepted.manifest.services.get(service_name) if accepted else None
        if accepted is None or service is None:
            return False
        usable = self._usable_minions(accepted.manifest, service_name)
        permit = self._around.holdings.permit_for(minion, self._now())
        used = self._slots.in_flight[minion]
        return minion in usable and used <= min(permit.slots, permit.connections)

    def _release(self, slot: Slot, service: str) -> None:
        if self._slots.release(slot):
            self._wake_first(service)

    def _wake_all(self) -> None:
        for service in self._queue.services():
            self._wake_first(service)

    def _wake_first(self, service: str) -> None:
        waiter = self._queue.first_of(service)
        wake = self._wakes.get(waiter.number) if waiter else None
        if wake is not None and not wake.done():
            wake.set_result(None)

    def _refuse(self, waiter: Waiter, detail: str) -> None:
        self._counters["shed"] += 1
        self._refused[waiter.number] = detail
        wake = self._wakes[waiter.number]
        if not wake.done():
            wake.set_result(None)

    def _may_cross(self, manifest: Manifest) -> bool:
        rate = manifest.cross_region_bytes_per_second / self.processes
        now = self._now()
        if self._crossing is None:
            self._crossing = TokenBucket(rate, max(rate, 1.0), now)
        self._crossing.set_rate(rate, max(rate, 1.0))
        return rate > 0 and self._crossing.level(now) > 0

    def _crossing_counter(self, peer: Peer) -> Callable[[int], None]:
        if not self._order.is_other_region(peer):
            return lambda size: None
        self._may_cross(self.manifest())

        def count(size: int) -> None:
            self._crossed_bytes += size
            if self._crossing is not None:
                self._crossing.charge(size, self._now())

        return count


def _name_of(target: _Target) -> str:
    match target:
        case _MinionTarget():
            return target.minion
        case _PeerTarget(peer):
            return peer.incarnation


class _CountedBody:
    """Body whose bytes are counted while they are read."""

    def __init__(self, body: Body, count: Callable[[int], None]) -> None:
        self._body = body
        self._count = count

    async def read(self) -> bytes:
        chunk = await self._body.read()
        self._count(len(chunk))
        return chunk


def _passed_headers(work: Work) -> tuple[tuple[str, str], ...]:
    headers = tuple(
        (name, value)
        for name, value in end_to_end_headers(work.head.headers)
        if name.lower() not in ("expect", "content-length")
    )
    if work.rest is None and work.head.body_length is None:
        return (*headers, ("Content-Length", str(len(work.start))))
    if any(name.lower() == "content-length" for name, _ in work.head.headers):
        return (*headers, ("Content-Length", str(work.head.body_length)))
    return headers


def _outgoing(
    work: Work, address: str, headers: tuple[tuple[str, str], ...], connections: int
) -> OutgoingRequest:
    return OutgoingRequest(
        address=address,
        method=work.head.method,
        raw_path=work.head.raw_path,
        headers=headers,
        start=work.start,
        rest=work.rest,
        connections=connections,
        silence_seconds=work.deadline.silence_seconds,
    )


async def _peer_error(
    exchange: Exchange, head: AnswerHead, kind_text: str, seconds_left: float
) -> RequestError:
    """Return the error that a peer reported, so that "not-run" stays true over the hop."""
    while await exchange.read(seconds_left):
        pass
    is_not_run = head.header(OUTCOME_HEADER) == "not-run"
    try:
        kind = ErrorKind(kind_text)
    except ValueError:
        kind = ErrorKind.INTERNAL
    if kind is ErrorKind.UNAUTHORIZED:
        # No fault of the caller: the peer has restarted, or has another deployment key.
        return RequestError(ErrorKind.CONNECT_FAILED, "a peer refused to take it")
    return RequestError(kind, "reported by a peer", is_dispatched=not is_not_run)


async def body_start(body: Body, body_length: int | None) -> tuple[bytes, Body | None]:
    """Return the first bytes of a body and what follows, None when there is nothing more.

    A short body is read whole before a minion gets the request, so that a slow caller takes no
    slot and an upload that stops half-way has not run.
    """
    if body_length == 0:
        return b"", None
    parts: list[bytes] = []
    size = 0
    while size < CHUNK_BYTES:
        chunk = await body.read()
        if not chunk:
            return b"".join(parts), None
        parts.append(chunk)
        size += len(chunk)
        if size == body_length:
            return b"".join(parts), None
    return b"".join(parts), body
