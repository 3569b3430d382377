"""``Requests`` service: HTTP servers for callers and peers."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec
from mode import Service

from dotterelhill.core import ErrorKind, RequestError
from dotterelhill.holdings import HoldingsView
from dotterelhill.log import Log
from dotterelhill.manifest import ManifestView
from dotterelhill.membership import PeerView
from dotterelhill.requests.caller import (
    DEFAULT_CONNECTIONS_PER_CALLER,
    HEAD_TIMEOUT_SECONDS,
    Call,
    CallerServer,
)
from dotterelhill.requests.claim_log import ClaimLog
from dotterelhill.requests.deadlines import DEADLINE_HEADER, parse_deadline
from dotterelhill.requests.forwarding import ForwardAuthenticator, Hop, Purpose
from dotterelhill.requests.keyed import KeyedRequests
from dotterelhill.requests.messages import (
    EXTRA_FORWARD_HEADERS,
    KEY_HEADER,
    MAX_HEADERS,
    AnswerHead,
    RequestHead,
    check_head,
)
from dotterelhill.requests.metrics import NoMetrics, RequestMetrics
from dotterelhill.requests.minion import MinionClient
from dotterelhill.requests.proxy import (
    RECHECK_SECONDS,
    AdmittedRequest,
    Proxy,
    ProxyContext,
    find_service,
    read_body_start,
)

# Requests under this path are never routed to a service, whatever its path prefix.
OWN_PATH_PREFIX = "/_dotterelhill/"
KEYS_PATH = OWN_PATH_PREFIX + "keys"
MANIFEST_CHECK_SECONDS = 1.0
# Equals the largest request deadline; no request in flight lasts longer.
DRAIN_SECONDS = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestsSettings:
    """Settings of one entry process for its requests.

    :param failure_domain: of this process
    :param region: of this process
    :param caller_address: ``host:port`` to listen on for callers; port 0 picks a free one
    :param forward_address: ``host:port`` to listen on for other entry processes
    :param deployment_key: secret that all entry processes of a deployment share
    :param connections_per_caller: most open connections from one address; the balancer counts as
        one caller when it hides the addresses behind it
    :param balancer_seconds: how long the balancer still sends requests after ``/readyz`` fails
    :param head_timeout_seconds: timeout for the first request head of a connection
    """

    failure_domain: str
    region: str
    caller_address: str
    forward_address: str
    deployment_key: bytes
    connections_per_caller: int = DEFAULT_CONNECTIONS_PER_CALLER
    balancer_seconds: float = 5.0
    head_timeout_seconds: float = HEAD_TIMEOUT_SECONDS


class Requests(Service):
    """Service that answers the requests of callers and peers.

    :param settings: addresses and the deployment key
    :param manifests: view of the manifest in force
    :param holdings: view of the permits for minions
    :param peers: view of the live entry processes
    :param log: log that stores the claims of caller-chosen keys
    :param random: seeded generator
    :param metrics: receiver of counters and latencies by service; none by default
    """

    def __init__(
        self,
        settings: RequestsSettings,
        manifests: ManifestView,
        holdings: HoldingsView,
        peers: PeerView,
        log: Log,
        random: Random,
        metrics: RequestMetrics | None = None,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._proxy_context = ProxyContext(
            manifests, holdings, peers, settings.failure_domain, settings.region
        )
        self._log = log
        self._random = random
        self._metrics = metrics or NoMetrics()
        self._authenticator = ForwardAuthenticator(settings.deployment_key, peers.incarnation)
        self._claims = ClaimLog(log, peers.incarnation, random)
        self._counters: Counter[str] = Counter()
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._is_draining = False
        self._is_closing = False
        self._caller_address = ""
        self._forward_address = ""

    @property
    def caller_address(self) -> str:
        """Return the bound ``host:port`` for callers."""
        return self._caller_address

    @property
    def forward_address(self) -> str:
        """Return the bound ``host:port`` for other entry processes."""
        return self._forward_address

    @property
    def in_flight(self) -> int:
        """Return the number of requests in progress."""
        return self._in_flight

    @property
    def is_ready(self) -> bool:
        """Return whether new requests are accepted; ``/readyz`` reports it."""
        return not self._is_draining and self._proxy_context.manifests.current is not None

    def free_slots(self) -> dict[str, int]:
        """Return the free slots by service for heartbeats; empty while draining."""
        return {} if self._is_draining else self._proxy.free_slots()

    def in_flight_at(self, minion: str) -> int:
        """Return the slots in use at a minion, those of abandoned requests included."""
        return self._proxy.slots.in_flight.get(minion, 0)

    def close_idle(self, minion: str) -> None:
        """Close the connections to a minion that this process no longer uses."""
        self._proxy.close_idle(minion)

    def dump(self) -> dict[str, Any]:
        """Return the state of this slice for the state dump of the process."""
        proxy = self._proxy
        return {
            "caller_address": self._caller_address,
            "forward_address": self._forward_address,
            "in_flight": self._in_flight,
            "is_draining": self._is_draining,
            "open_connections": self._caller_server.open_connections,
            "counters": dict(
                self._counters
                + proxy.counters
                + self._caller_server.counters
                + self._forward_server.counters
            ),
            "slots": dict(proxy.slots.in_flight),
            "reserved_slots": proxy.slots.reserved,
            "queue": proxy.queue_length,
            "minions": proxy.routing.dump(),
            "retries_left": proxy.retries_left,
            "member_in_flight": proxy.limits.in_flight,
            "crossed_bytes": proxy.crossed_bytes,
            "keys": self._keyed.key_count,
            "claims": len(self._claims.table),
            "claims_ignored": self._claims.table.ignored_count,
            "is_claim_stream_read": self._claims.is_caught_up,
        }

    async def on_start(self) -> None:
        """Start the claim log and bind both ports."""
        settings = self._settings
        self._client = MinionClient()
        self._proxy = Proxy(
            self._proxy_context,
            self._client,
            self._authenticator,
            self._random,
            metrics=self._metrics,
        )
        self._keyed = KeyedRequests(
            self._proxy, self._proxy_context.peers, self._claims, settings.deployment_key
        )
        self._caller_server = CallerServer(
            self._answer_caller,
            lambda: not self._is_draining,
            connections_per_caller=settings.connections_per_caller,
            head_timeout_seconds=settings.head_timeout_seconds,
        )
        self._forward_server = CallerServer(
            self._answer_peer,
            lambda: not self._is_closing,
            connections_per_caller=settings.connections_per_caller,
            head_timeout_seconds=settings.head_timeout_seconds,
            max_headers=MAX_HEADERS + EXTRA_FORWARD_HEADERS,
        )
        await self.add_runtime_dependency(self._claims)
        self._caller_address = await _listen(self._caller_server, settings.caller_address)
        self._forward_address = await _listen(self._forward_server, settings.forward_address)

    async def drain(self) -> None:
        """Begin a planned stop and return once no request is in flight.

        The listeners stay open for ``balancer_seconds``. Requests that arrive in that time are
        answered, and each answer closes its connection. The wait for requests in flight ends after
        ``DRAIN_SECONDS``.
        """
        if self._is_draining:
            return
        self._is_draining = True
        await asyncio.sleep(self._settings.balancer_seconds)
        self._is_closing = True
        await self._caller_server.stop_listening()
        await self._forward_server.stop_listening()
        ends_at = self._now() + DRAIN_SECONDS
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(ends_at):
                await self._idle.wait()
        await self._keyed.wait_for_attempts(ends_at - self._now())

    async def on_stop(self) -> None:
        """Drain, then close every connection."""
        await self.drain()
        await self._caller_server.close()
        await self._forward_server.close()
        await self._keyed.close()
        await self._client.close()

    @Service.task
    async def _recheck(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(RECHECK_SECONDS)
            self._proxy.recheck_queue()

    @Service.task
    async def _follow_manifest(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(MANIFEST_CHECK_SECONDS)
            self._proxy.follow_manifest()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _answer_caller(self, call: Call) -> None:
        await self._answer_call(call, is_forwarded=False)

    async def _answer_peer(self, call: Call) -> None:
        await self._answer_call(call, is_forwarded=True)

    async def _answer_call(self, call: Call, *, is_forwarded: bool) -> None:
        self._in_flight += 1
        self._idle.clear()
        try:
            check_head(call.head, is_forwarded=is_forwarded)
            hop = self._authenticator.authenticate(call.head) if is_forwarded else None
            await self._process_request(call, hop)
        except RequestError as error:
            self._counters[str(error.kind)] += 1
            self._metrics.count("requests.errors", label=str(error.kind))
            await self._send_error(call, error)
        except (ConnectionError, asyncio.CancelledError):
            self._counters["callers_gone"] += 1
            raise
        except Exception:
            self._counters["internal"] += 1
            self.log.exception("unhandled exception while answering a request")
            await self._send_error(call, RequestError(ErrorKind.INTERNAL, is_dispatched=True))
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()

    async def _send_error(self, call: Call, error: RequestError) -> None:
        if call.is_answer_started:
            call.abort()
        else:
            await call.send_error(error)

    async def _process_request(self, call: Call, hop: Hop | None) -> None:
        if self._is_closing:
            raise RequestError(ErrorKind.SHUTTING_DOWN, "this process stops")
        head = call.head
        if hop is None and head.raw_path.startswith(OWN_PATH_PREFIX):
            await self._answer_own_path(call)
            return
        manifest = self._proxy.manifest()
        service_name = find_service(manifest, head.raw_path)
        if hop is None:
            self._metrics.count("requests.received", label=service_name)
        service = manifest.services[service_name]
        stated = repr(hop.seconds_left) if hop else head.header(DEADLINE_HEADER)
        deadline = parse_deadline(stated, service.deadline_seconds, self._now())
        if hop is None:
            limits = manifest.members[service.member].limits
            self._proxy.limits.admit(service.member, limits, self._proxy.process_count, self._now())
        try:
            body_start, body_rest = await self._read_start(call, head, deadline.expires_at)
            is_idempotent = head.method in service.idempotent_methods
            request = AdmittedRequest(
                head, service_name, deadline, is_idempotent, body_start, body_rest, hop
            )
            await self._run(request, call)
            if hop is None:
                seconds = self._now() - deadline.started_at
                self._metrics.observe("requests.seconds", seconds, service_name)
        finally:
            if hop is None:
                self._proxy.limits.release(service.member)

    async def _read_start(
        self, call: Call, head: RequestHead, expires_at: float
    ) -> tuple[bytes, Any]:
        if head.body_length == 0:
            return b"", None
        try:
            async with asyncio.timeout_at(expires_at):
                return await read_body_start(call, head.body_length)
        except TimeoutError as error:
            raise RequestError(
                ErrorKind.DEADLINE_BEFORE_DISPATCH, "the body arrived too slowly"
            ) from error

    async def _run(self, request: AdmittedRequest, call: Call) -> None:
        key = request.head.header(KEY_HEADER)
        is_settled_by_sender = request.hop is not None and request.hop.purpose is Purpose.DISPATCH
        if key is None or is_settled_by_sender:
            await self._proxy.run(request, call)
            return
        await self._keyed.run(request, key, call)

    async def _answer_own_path(self, call: Call) -> None:
        if call.head.raw_path != KEYS_PATH:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, f"only {KEYS_PATH} is there")
        if call.head.method != "POST":
            raise RequestError(ErrorKind.BAD_REQUEST, "keys are issued by POST")
        body = msgspec.json.encode({"key": self._keyed.issue()})
        headers = (("Content-Type", "application/json"), ("Content-Length", str(len(body))))
        await call.send_head(AnswerHead(201, "Created", headers))
        await call.send(body)
        await call.finish()


async def _listen(server: CallerServer, address: str) -> str:
    host, _, port = address.rpartition(":")
    return await server.listen(host, int(port))
