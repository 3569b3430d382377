"""Proxying of admitted requests: choice of a minion or peer, queueing, dispatch and retries."""

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
from dotterelhill.requests.forwarding import ForwardAuthenticator, Hop, Purpose
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
    PeerSelector,
    Routing,
    UsableMinionCache,
)
from dotterelhill.requests.slots import Slot, SlotTable

# Interval at which waiting requests look for a free slot, since changes of permits and of the slots
# of peers cause no event in this module.
RECHECK_SECONDS = 0.05
MAX_PEER_CONNECTIONS = 256
# Requests that may wait in a peer's queue beyond the free slots that it reported.
MAX_WAITING_AT_PEER = 32


class Sink(Protocol):
    """Receiver of the answer to a request."""

    @property
    def is_answer_started(self) -> bool:
        """Return whether the head of an answer was sent."""
        ...

    async def send_head(self, head: AnswerHead) -> None:
        """Send the head of an answer."""
        ...

    async def send(self, data: bytes) -> None:
        """Send a part of the body of an answer."""
        ...

    async def finish(self) -> None:
        """Complete the answer."""
        ...

    def abort(self) -> None:
        """Abort an answer that was started and can't be completed."""
        ...


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """Request that passed admission, with the start of its body.

    :param head: head as the caller sent it
    :param service: name of its service
    :param deadline: of the request, in loop time
    :param is_idempotent: whether the service declares its method idempotent
    :param body_start: first bytes of the body, read before any dispatch
    :param body_rest: body after ``body_start``; None when that is the whole body
    :param hop: forwarding step from a peer, or None when a caller sent the request
    """

    head: RequestHead
    service: str
    deadline: Deadline
    is_idempotent: bool
    body_start: bytes
    body_rest: Body | None
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
class ProxyContext:
    """Views of other slices that the proxy reads, and the location of this process."""

    manifests: ManifestView
    holdings: HoldingsView
    peers: PeerView
    failure_domain: str
    region: str


def find_service(manifest: Manifest, raw_path: str) -> str:
    """Return the name of the service with the longest matching path prefix.

    :raises RequestError: ``unknown_service`` when no prefix matches
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
    """The caller read its answer too slowly; not counted as a failure of the minion."""

    def __init__(self) -> None:
        detail = "the caller reads slowly"
        super().__init__(ErrorKind.DEADLINE_AFTER_DISPATCH, detail, is_dispatched=True)


class Proxy:
    """Sends admitted requests to minions or peers and their answers to sinks.

    :param context: views of other slices and the location of this process
    :param client: connections to minions and peers
    :param authenticator: signs forwarded requests
    :param random: seeded generator for choices and jitter
    :param queue: queue for requests without a slot; a new one by default
    :param metrics: receiver of counters and latencies; none by default
    """

    def __init__(
        self,
        context: ProxyContext,
        client: MinionClient,
        authenticator: ForwardAuthenticator,
        random: Random,
        queue: WaitQueue | None = None,
        metrics: RequestMetrics | None = None,
    ) -> None:
        self._context = context
        self._client = client
        self._authenticator = authenticator
        self._random = random
        self._metrics = metrics or NoMetrics()
        self._slots = SlotTable()
        self._routing = Routing(random)
        self._usable_cache = UsableMinionCache()
        self._peer_selector = PeerSelector(context.failure_domain, context.region, random)
        self._budget = RetryBudget(random)
        self._limits = MemberLimits()
        self._queue = WaitQueue() if queue is None else queue
        self._wake_futures: dict[int, asyncio.Future[None]] = {}
        self._refusal_details: dict[int, str] = {}
        self._waiter_numbers = itertools.count(1)
        self._cross_region_bucket: TokenBucket | None = None
        self._crossed_bytes = 0
        self._counters: Counter[str] = Counter()

    @property
    def counters(self) -> Counter[str]:
        """Return the counts of events such as retries, by name."""
        return self._counters

    @property
    def slots(self) -> SlotTable:
        """Return the slots in use."""
        return self._slots

    @property
    def limits(self) -> MemberLimits:
        """Return the limits of members."""
        return self._limits

    @property
    def routing(self) -> Routing:
        """Return the load balancer with the health of the minions."""
        return self._routing

    @property
    def queue_length(self) -> int:
        """Return the number of requests that wait for a slot."""
        return len(self._queue)

    @property
    def retries_left(self) -> float:
        """Return the number of retries that the budget allows now."""
        return self._budget.remaining_retries

    @property
    def crossed_bytes(self) -> int:
        """Return the bytes that forwarded requests sent and received between regions."""
        return self._crossed_bytes

    @property
    def process_count(self) -> int:
        """Return the number of live entry processes, this one included."""
        return 1 + len(self._context.peers.live_peers(self._now()))

    def manifest(self) -> Manifest:
        """Return the manifest in force.

        :raises RequestError: ``not_ready`` before the first manifest
        """
        accepted = self._context.manifests.current
        if accepted is None:
            raise RequestError(ErrorKind.NOT_READY, "no manifest is known yet")
        return accepted.manifest

    def free_slots(self) -> dict[str, int]:
        """Return the free slots by service, for heartbeats."""
        accepted = self._context.manifests.current
        if accepted is None:
            return {}
        manifest, now = accepted.manifest, self._now()
        ejected = self._routing.ejected()
        free_by_service: dict[str, int] = {}
        for name in manifest.services:
            usable = self._usable_minions(manifest, name)
            free_by_service[name] = sum(
                self._slots.free_count(minion, self._context.holdings.permit_for(minion, now))
                for minion in usable
                if minion not in ejected
            )
        return free_by_service

    async def run(self, request: AdmittedRequest, sink: Sink) -> None:
        """Run one admitted request, with retries, and send its answer to ``sink``.

        :raises RequestError: when the request can't be answered; an answer that was started has
            then been aborted
        """
        self._budget.count_request()
        attempts, was_dispatched, failed = 0, False, set[str]()
        first_error: RequestError | None = None
        while True:
            attempts += 1
            target: _Target | None = None
            try:
                target = await self._choose_target(request, failed)
                await self._attempt(request, target, sink)
                return
            except RequestError as error:
                was_dispatched = was_dispatched or error.is_dispatched
                reported_error = RequestError(
                    error.kind, error.detail, is_dispatched=was_dispatched
                )
                if sink.is_answer_started:
                    sink.abort()
                    raise
                pause = self._retry_pause(request, reported_error, attempts)
                if target is None and first_error is not None and error.kind is ErrorKind.NO_MINION:
                    raise first_error from error
                if target is None or pause is None:
                    raise reported_error from error
                first_error = reported_error
                failed.add(_target_name(target))
            self._counters["retries"] += 1
            self._metrics.count("requests.retried")
            await asyncio.sleep(pause)

    async def run_at_peer(self, request: AdmittedRequest, peer: Peer, sink: Sink) -> None:
        """Forward a request to ``peer``, the holder of its key; see ``run``."""
        await self._forward(request, peer, Purpose.KEY, sink)

    def recheck_queue(self) -> None:
        """Refuse overdue requests and wake the first one of each service; called periodically."""
        now = self._now()
        for waiter in self._queue.remove_overdue(now):
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
        """Drop the state and connections of minions and peers that no longer exist."""
        accepted = self._context.manifests.current
        if accepted is None:
            return
        services = accepted.manifest.services.values()
        minions = {name: item for service in services for name, item in service.minions.items()}
        peers = self._context.peers.live_peers(self._now())
        self._routing.retain(minions)
        self._peer_selector.retain(peer.incarnation for peer in peers)
        addresses = {item.address for item in minions.values()}
        self._client.retain(frozenset(addresses | {peer.forward_address for peer in peers}))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _usable_minions(self, manifest: Manifest, service: str) -> tuple[str, ...]:
        return self._usable_cache.names_for(manifest, service, self._context.peers.leaving_vms())

    def _retry_pause(
        self, request: AdmittedRequest, error: RequestError, attempts: int
    ) -> float | None:
        is_safe = is_repeatable(
            error.kind, is_dispatched=error.is_dispatched, is_idempotent=request.is_idempotent
        )
        if (
            not is_safe
            or request.body_rest is not None
            or request.deadline.remaining_seconds(self._now()) <= 0
        ):
            return None
        pause = self._budget.take(attempts)
        if pause is None and self._budget.remaining_retries < 1.0:
            self._metrics.count("requests.retry_budget_spent")
        return pause

    async def _choose_target(self, request: AdmittedRequest, failed: set[str]) -> _Target:
        manifest = self.manifest()
        service = manifest.services.get(request.service)
        if service is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, "the service was removed")
        if request.deadline.remaining_seconds(self._now()) <= 0:
            raise RequestError(ErrorKind.DEADLINE_BEFORE_DISPATCH, "no time is left")
        if not self._queue.has_waiters(request.service):
            target = self._find_free_target(request, failed)
            if target is not None:
                return target
        usable = self._usable_minions(manifest, request.service)
        if not usable:
            raise RequestError(ErrorKind.NO_MINION, "the service has no minion in service")
        if failed and not self._has_other_minion(usable, failed):
            raise RequestError(ErrorKind.NO_MINION, "no other minion is left to try")
        return await self._wait_for_target(request, service.priority, failed)

    def _has_other_minion(self, usable: tuple[str, ...], failed: set[str]) -> bool:
        now = self._now()
        permit_for = self._context.holdings.permit_for
        return any(permit_for(name, now).slots > 0 for name in usable if name not in failed)

    async def _wait_for_target(
        self, request: AdmittedRequest, priority: Priority, failed: set[str]
    ) -> _Target:
        number = next(self._waiter_numbers)
        waiter = Waiter(number, request.service, priority, request.deadline.queue_expires_at)
        if waiter.refuse_at <= self._now():
            raise RequestError(ErrorKind.OVERLOADED, "no slot is free")
        wake: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._wake_futures[number] = wake
        shed = self._queue.offer(waiter)
        if shed is not None:
            self._refuse(shed, "more valuable requests wait")
        try:
            while True:
                await wake
                if number in self._refusal_details:
                    raise RequestError(ErrorKind.OVERLOADED, self._refusal_details[number])
                target = self._find_free_target(request, failed)
                if target is not None:
                    return target
                wake = asyncio.get_running_loop().create_future()
                self._wake_futures[number] = wake
        finally:
            self._wake_futures.pop(number, None)
            self._refusal_details.pop(number, None)
            self._queue.remove(waiter)
            self._wake_first(request.service)

    def _find_free_target(self, request: AdmittedRequest, failed: set[str]) -> _Target | None:
        manifest = self.manifest()
        service = manifest.services.get(request.service)
        if service is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, "the service was removed")
        target = self._take_minion_slot(manifest, request.service, failed)
        if target is not None or request.hop is not None:
            return target
        peer = self._choose_peer(manifest, request.service, failed)
        return None if peer is None else _PeerTarget(peer)

    def _choose_peer(self, manifest: Manifest, service: str, failed: set[str]) -> Peer | None:
        peers = [
            peer
            for peer in self._context.peers.live_peers(self._now())
            if peer.incarnation not in failed
        ]
        may_cross_regions = self._may_cross_regions(manifest)
        peer = self._peer_selector.choose(
            peers, service, manifest, may_cross_regions=may_cross_regions
        )
        usable = self._usable_minions(manifest, service)
        if peer is not None or self._has_other_minion(usable, failed):
            return peer
        # This process holds no other minion, so no slot becomes free here and the request waits at
        # a process that holds one. The next heartbeat of that process may be a second away.
        holder_of = self._context.holdings.holder_of
        holders = {holder_of(f"minion:{name}") for name in usable}
        holding = [peer for peer in peers if peer.incarnation in holders]
        return self._peer_selector.choose(
            holding,
            service,
            manifest,
            may_cross_regions=may_cross_regions,
            min_free_slots=-MAX_WAITING_AT_PEER,
        )

    def _take_minion_slot(
        self, manifest: Manifest, service_name: str, failed: set[str]
    ) -> _MinionTarget | None:
        now = self._now()
        minions = manifest.services[service_name].minions
        permits: dict[str, Permit] = {}
        for name in self._usable_minions(manifest, service_name):
            if minions[name].failure_domain != self._context.failure_domain:
                continue
            permit = self._context.holdings.permit_for(name, now)
            if permit.slots > 0:
                permits[name] = permit
        group = tuple(permits)
        free_minions = [name for name in group if self._slots.free_count(name, permits[name]) > 0]
        # A minion that failed this request is used again only when no other one is free.
        preferred = [name for name in free_minions if name not in failed] or free_minions
        in_flight = self._slots.in_flight
        chosen = self._routing.choose([Candidate(name, in_flight[name]) for name in preferred], now)
        if chosen is None:
            return None
        address = minions[chosen].address
        return _MinionTarget(chosen, address, group, self._slots.take(chosen))

    async def _attempt(self, request: AdmittedRequest, target: _Target, sink: Sink) -> None:
        match target:
            case _MinionTarget():
                await self._dispatch(request, target, sink)
            case _PeerTarget(peer):
                await self._forward(request, peer, Purpose.DISPATCH, sink)

    async def _dispatch(self, request: AdmittedRequest, target: _MinionTarget, sink: Sink) -> None:
        started_at = self._now()
        if request.hop is None:
            waited_seconds = started_at - request.deadline.started_at
            self._metrics.observe("requests.wait_seconds", waited_seconds, request.service)
        seconds_left = request.deadline.remaining_seconds(started_at)
        headers = (*_outgoing_headers(request), (DEADLINE_HEADER, f"{seconds_left:.3f}"))
        permit = self._context.holdings.permit_for(target.minion, started_at)
        outgoing = _outgoing_request(request, target.address, headers, max(1, permit.connections))
        exchange = self._client.exchange(
            outgoing,
            lambda: self._may_dispatch(request.service, target.minion),
            lambda: self._release(target.slot, request.service),
        )
        is_recorded = False
        try:
            head = await exchange.head(seconds_left)
            self._routing.record_answer(
                target.minion, self._now() - started_at, target.group, self._now()
            )
            is_recorded = True
            await self._stream_answer(request, exchange, head, sink)
            self._counters["answered"] += 1
            self._metrics.count("requests.answered", label=request.service)
        except _SlowCallerError:
            raise
        except RequestError as error:
            if error.kind is ErrorKind.MINION_SILENT:
                self._metrics.count("minions.silent", label=request.service)
            if error.kind not in (ErrorKind.UPLOAD_ABORTED, ErrorKind.DEADLINE_BEFORE_DISPATCH):
                self._routing.record_failure(target.minion, target.group, self._now())
                is_recorded = True
            raise
        finally:
            if not is_recorded:
                self._routing.record_unused(target.minion)
            exchange.abandon()
            self._slots.abandon(target.slot, self._now())

    async def _forward(
        self, request: AdmittedRequest, peer: Peer, purpose: Purpose, sink: Sink
    ) -> None:
        seconds_left = request.deadline.remaining_seconds(self._now())
        if seconds_left <= 0:
            raise RequestError(ErrorKind.DEADLINE_BEFORE_DISPATCH, "no time is left")
        headers = _outgoing_headers(request)
        hop = self._authenticator.new_hop(peer.incarnation, seconds_left, purpose)
        signature_headers = self._authenticator.signed_headers(
            replace(request.head, headers=headers), hop
        )
        outgoing = _outgoing_request(
            request, peer.forward_address, (*headers, *signature_headers), MAX_PEER_CONNECTIONS
        )
        outgoing = replace(outgoing, silence_seconds=request.deadline.peer_silence_seconds)
        self._peer_selector.record_sent(peer)
        self._counters["forwarded"] += 1
        self._metrics.count("requests.forwarded", label=peer.failure_domain)
        count = self._cross_region_counter(peer)
        count(len(request.body_start) + sum(len(n) + len(v) + 4 for n, v in outgoing.headers))
        if outgoing.body_rest is not None:
            outgoing = replace(outgoing, body_rest=_CountedBody(outgoing.body_rest, count))
        exchange = self._client.exchange(outgoing, lambda: True, lambda: None)
        try:
            head = await exchange.head(seconds_left)
            kind = head.header(ERROR_HEADER)
            if kind is not None:
                raise await _peer_error(exchange, head, kind, seconds_left)
            await self._stream_answer(request, exchange, head, sink, count)
        finally:
            self._peer_selector.record_settled(peer)
            exchange.abandon()

    async def _stream_answer(
        self,
        request: AdmittedRequest,
        exchange: Exchange,
        head: AnswerHead,
        sink: Sink,
        count: Callable[[int], None] = lambda size: None,
    ) -> None:
        chunk = await exchange.read(request.deadline.remaining_seconds(self._now()))
        is_sending = True
        try:
            async with asyncio.timeout_at(request.deadline.expires_at):
                await sink.send_head(replace(head, headers=end_to_end_headers(head.headers)))
                while chunk:
                    count(len(chunk))
                    await sink.send(chunk)
                    is_sending = False
                    chunk = await exchange.read(request.deadline.remaining_seconds(self._now()))
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
        """Return whether the minion may get the request now.

        This is checked again once the connection is open, since the process may have been paused
        since the choice of the minion.
        """
        accepted = self._context.manifests.current
        service = accepted.manifest.services.get(service_name) if accepted else None
        if accepted is None or service is None:
            return False
        usable = self._usable_minions(accepted.manifest, service_name)
        permit = self._context.holdings.permit_for(minion, self._now())
        used = self._slots.in_flight[minion]
        return minion in usable and used <= min(permit.slots, permit.connections)

    def _release(self, slot: Slot, service: str) -> None:
        if self._slots.release(slot):
            self._wake_first(service)

    def _wake_all(self) -> None:
        for service in self._queue.services():
            self._wake_first(service)

    def _wake_first(self, service: str) -> None:
        waiter = self._queue.first_waiter(service)
        wake = self._wake_futures.get(waiter.number) if waiter else None
        if wake is not None and not wake.done():
            wake.set_result(None)

    def _refuse(self, waiter: Waiter, detail: str) -> None:
        self._counters["shed"] += 1
        self._refusal_details[waiter.number] = detail
        wake = self._wake_futures[waiter.number]
        if not wake.done():
            wake.set_result(None)

    def _may_cross_regions(self, manifest: Manifest) -> bool:
        rate = manifest.cross_region_bytes_per_second / self.process_count
        now = self._now()
        if self._cross_region_bucket is None:
            self._cross_region_bucket = TokenBucket(rate, max(rate, 1.0), now)
        self._cross_region_bucket.set_rate(rate, max(rate, 1.0))
        return rate > 0 and self._cross_region_bucket.level(now) > 0

    def _cross_region_counter(self, peer: Peer) -> Callable[[int], None]:
        if not self._peer_selector.is_other_region(peer):
            return lambda size: None
        self._may_cross_regions(self.manifest())

        def count(size: int) -> None:
            self._crossed_bytes += size
            if self._cross_region_bucket is not None:
                self._cross_region_bucket.charge(size, self._now())

        return count


def _target_name(target: _Target) -> str:
    match target:
        case _MinionTarget():
            return target.minion
        case _PeerTarget(peer):
            return peer.incarnation


class _CountedBody:
    """Body that reports the size of each chunk read."""

    def __init__(self, body: Body, count: Callable[[int], None]) -> None:
        self._body = body
        self._count = count

    async def read(self) -> bytes:
        chunk = await self._body.read()
        self._count(len(chunk))
        return chunk


def _outgoing_headers(request: AdmittedRequest) -> tuple[tuple[str, str], ...]:
    headers = tuple(
        (name, value)
        for name, value in end_to_end_headers(request.head.headers)
        if name.lower() not in ("expect", "content-length")
    )
    if request.body_rest is None and request.head.body_length is None:
        return (*headers, ("Content-Length", str(len(request.body_start))))
    if any(name.lower() == "content-length" for name, _ in request.head.headers):
        return (*headers, ("Content-Length", str(request.head.body_length)))
    return headers


def _outgoing_request(
    request: AdmittedRequest, address: str, headers: tuple[tuple[str, str], ...], connections: int
) -> OutgoingRequest:
    return OutgoingRequest(
        address=address,
        method=request.head.method,
        raw_path=request.head.raw_path,
        headers=headers,
        body_start=request.body_start,
        body_rest=request.body_rest,
        connections=connections,
        silence_seconds=request.deadline.silence_seconds,
    )


async def _peer_error(
    exchange: Exchange, head: AnswerHead, kind_text: str, seconds_left: float
) -> RequestError:
    """Return the error that a peer reported, so that "not-run" stays correct when forwarded."""
    while await exchange.read(seconds_left):
        pass
    is_not_run = head.header(OUTCOME_HEADER) == "not-run"
    try:
        kind = ErrorKind(kind_text)
    except ValueError:
        kind = ErrorKind.INTERNAL
    if kind is ErrorKind.UNAUTHORIZED:
        # The caller did nothing wrong: the peer has restarted or has another deployment key.
        return RequestError(ErrorKind.CONNECT_FAILED, "a peer refused to take it")
    return RequestError(kind, "reported by a peer", is_dispatched=not is_not_run)


async def read_body_start(body: Body, body_length: int | None) -> tuple[bytes, Body | None]:
    """Return the first bytes of a body and the rest of it, None when there is no rest.

    A short body is read completely before the dispatch, so that a slow caller occupies no slot and
    a request whose upload is cut short is not run.
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
