"""Message transport between entry processes over ZeroMQ with CURVE encryption.

Each process receives on one ROUTER socket and sends on one DEALER socket per peer address. All
processes of a deployment share one CURVE key pair; the server accepts no other client key.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import mode
import zmq
import zmq.asyncio
from logbook import Logger
from zmq.auth.asyncio import AsyncioAuthenticator
from zmq.utils.monitor import recv_monitor_message

from dotterelhill.membership.heartbeats import (
    MalformedMessage,
    PeerMessage,
    UnknownMessage,
    decode_message,
    encode_message,
)

ZAP_DOMAIN = "dotterelhill"
# A queue holds a few seconds of heartbeats; older heartbeats are of no use to the receiver.
MAX_QUEUED_MESSAGES = 64
# Larger than any relayed manifest and any batch of records.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
# A connection that does not answer ZMTP pings is closed and reopened, since a connection can stop
# responding permanently while new ones work. It is replaced within 4 s, before peers take over
# after 5 s of silence.
PING_INTERVAL_MS = 1000
PING_TIMEOUT_MS = 2000
HANDSHAKE_TIMEOUT_MS = 3000
RECONNECT_MS = 100
MAX_RECONNECT_MS = 2000
# Idle connections are closed, so that sockets to addresses of replaced VMs don't accumulate.
IDLE_CONNECTION_SECONDS = 60.0

log = Logger("membership.transport")


@dataclass(frozen=True, slots=True)
class CurveKeys:
    """CURVE key pair of the deployment.

    :param public: public key, 40 characters of Z85
    :param secret: secret key, 40 characters of Z85
    """

    public: str
    secret: str


class PeerTransport(Protocol):
    """Transport that sends messages to peer addresses without blocking or delivery guarantee."""

    def send(self, address: str, message: PeerMessage) -> bool:
        """Queue a message for ``address``.

        :returns: whether the message was queued
        """
        ...


@dataclass(slots=True)
class _Connection:
    socket: zmq.Socket
    last_used_at: float


class ZmqTransport(mode.Service):
    """Peer transport over ZeroMQ with CURVE encryption.

    Counters in ``counts``: ``sent``, ``queue_full``, ``received``, ``unknown_type``, ``malformed``,
    ``wrong_key`` (handshakes with the right server key and another client key),
    ``failed_handshake`` (other failed handshakes), ``failed`` (messages whose handler raised an
    exception), ``bytes_sent`` (without the overhead of ZeroMQ).

    :param bind_address: ``host:port`` to listen on; port 0 selects a free port
    :param keys: key pair of the deployment
    :param on_message: called in the event loop with each valid message
    """

    def __init__(
        self,
        bind_address: str,
        keys: CurveKeys,
        on_message: Callable[[PeerMessage], None],
    ) -> None:
        super().__init__()
        self._bind_address = bind_address
        self._bound_address = ""
        self._keys = keys
        self._on_message = on_message
        self._counts: Counter[str] = Counter()
        self._connections: dict[str, _Connection] = {}
        self._context: zmq.asyncio.Context | None = None
        self._router: zmq.asyncio.Socket | None = None
        self._monitor: zmq.asyncio.Socket | None = None
        self._authenticator: AsyncioAuthenticator | None = None

    @property
    def address(self) -> str:
        """Return the bound ``host:port``; empty before the service starts."""
        return self._bound_address

    @property
    def counts(self) -> Counter[str]:
        """Return the counters, which the class docstring lists."""
        return self._counts

    @property
    def connected_addresses(self) -> tuple[str, ...]:
        """Return the peer addresses with an open sending socket."""
        return tuple(self._connections)

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client's public key is accepted; pyzmq's authenticator calls this."""
        if key.decode() == self._keys.public:
            return True
        self._count_refusal("wrong_key")
        return False

    def send(self, address: str, message: PeerMessage) -> bool:
        """Queue a message for ``address`` without blocking.

        :returns: whether the message was queued
        """
        connection = self._connections.get(address)
        if connection is None:
            connection = self._connections[address] = self._connect(address)
        connection.last_used_at = asyncio.get_running_loop().time()
        data = encode_message(message)
        try:
            connection.socket.send(data, flags=zmq.NOBLOCK)
        except zmq.Again:
            self._counts["queue_full"] += 1
            return False
        self._counts["sent"] += 1
        self._counts["bytes_sent"] += len(data)
        return True

    async def on_start(self) -> None:
        """Start the authenticator and bind the peer port."""
        self._context = zmq.asyncio.Context()
        self._authenticator = AsyncioAuthenticator(self._context)
        self._authenticator.start()
        self._authenticator.configure_curve_callback(ZAP_DOMAIN, credentials_provider=self)
        router = self._context.socket(zmq.ROUTER)
        _set_common_options(router)
        router.curve_server = True
        router.curve_publickey = self._keys.public.encode()
        router.curve_secretkey = self._keys.secret.encode()
        router.zap_domain = ZAP_DOMAIN.encode()
        self._monitor = router.get_monitor_socket(
            zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL | zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
        )
        host, _, port = self._bind_address.rpartition(":")
        router.bind(f"tcp://{host}:{'*' if port == '0' else port}")
        endpoint = router.getsockopt_string(zmq.LAST_ENDPOINT)
        self._bound_address = endpoint.removeprefix("tcp://")
        self._router = router

    async def on_stop(self) -> None:
        """Close all sockets and stop the authenticator."""
        for connection in self._connections.values():
            connection.socket.close(linger=0)
        self._connections.clear()
        if self._router is not None:
            self._router.disable_monitor()
            self._router.close(linger=0)
        if self._authenticator is not None:
            self._authenticator.stop()
        if self._context is not None:
            self._context.destroy(linger=0)

    @mode.Service.task
    async def _receive(self) -> None:
        assert self._router is not None
        while not self.should_stop:
            frames = await self._router.recv_multipart()
            match decode_message(frames[-1]):
                case UnknownMessage():
                    self._counts["unknown_type"] += 1
                case MalformedMessage():
                    self._counts["malformed"] += 1
                case message:
                    self._counts["received"] += 1
                    self._handle(message)

    @mode.Service.task
    async def _count_failed_handshakes(self) -> None:
        assert self._monitor is not None
        while not self.should_stop:
            await recv_monitor_message(self._monitor)
            self._count_refusal("failed_handshake")

    @mode.Service.timer(10.0)
    async def _close_idle_connections(self) -> None:
        oldest = asyncio.get_running_loop().time() - IDLE_CONNECTION_SECONDS
        for address, connection in list(self._connections.items()):
            if connection.last_used_at > oldest:
                continue
            connection.socket.close(linger=0)
            del self._connections[address]

    def _handle(self, message: PeerMessage) -> None:
        try:
            self._on_message(message)
        except Exception:
            # A message that this version can't handle, for example a manifest that requires a
            # newer version, must not end this process.
            self._counts["failed"] += 1
            if self._counts["failed"] == 1:
                log.exception("message from {} failed; later ones are only counted", message.sender)

    def _count_refusal(self, reason: str) -> None:
        self._counts[reason] += 1
        if self._counts[reason] == 1:
            log.warning("peer connection refused: {}; later refusals are only counted", reason)

    def _connect(self, address: str) -> _Connection:
        assert self._context is not None
        # Non-blocking sends need no futures, so a plain socket is sufficient.
        socket = zmq.Context(shadow=self._context.underlying).socket(zmq.DEALER)
        _set_common_options(socket)
        # Queues messages only on established connections, so that a peer that comes back receives
        # no stale messages.
        socket.immediate = True
        # Only the sending side pings; the receiving side has no connection to reopen.
        socket.heartbeat_ivl = PING_INTERVAL_MS
        socket.heartbeat_timeout = PING_TIMEOUT_MS
        socket.curve_serverkey = self._keys.public.encode()
        socket.curve_publickey = self._keys.public.encode()
        socket.curve_secretkey = self._keys.secret.encode()
        socket.connect(f"tcp://{address}")
        return _Connection(socket, asyncio.get_running_loop().time())


def _set_common_options(socket: zmq.Socket) -> None:
    socket.linger = 0
    socket.sndhwm = MAX_QUEUED_MESSAGES
    socket.rcvhwm = MAX_QUEUED_MESSAGES
    socket.maxmsgsize = MAX_MESSAGE_BYTES
    socket.tcp_keepalive = 1
    socket.handshake_ivl = HANDSHAKE_TIMEOUT_MS
    socket.reconnect_ivl = RECONNECT_MS
    socket.reconnect_ivl_max = MAX_RECONNECT_MS
