"""HTTP calls between control processes: leader status, job states and relayed submissions."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from typing import Protocol, TypeVar
from urllib.parse import urlencode

import aiohttp
import mode
import msgspec
from aiohttp import web

from dotterelhill.control.feeds import ConfigurationFeed
from dotterelhill.control.health import ObservedStore
from dotterelhill.control.interface import Record, StoreError
from dotterelhill.control.leader import Leader, NotReadyError
from dotterelhill.control.leadership import (
    Claim,
    LeaderCondition,
    Settlement,
    WitnessAnswer,
)
from dotterelhill.control.relay_messages import (
    HELLO_DECODER,
    MAX_MESSAGE_BYTES,
    LeaderMessage,
    send_until_failure,
)
from dotterelhill.control.relay_pool import RelayLink, RelayPool
from dotterelhill.control.submissions import append_submissions
from dotterelhill.entry.logs import logger_of

STATUS_PATH = "/leader/status"
JOBS_PATH = "/leader/jobs/"
# Earlier builds ignore it.
TENANT_PARAMETER = "tenant"
QUEUES_PATH = "/leader/queues"
SUPERSEDED_PATH = "/leader/superseded"
SUBMISSIONS_PATH = "/leader/submissions"
WITNESS_PATH = "/leader/witness"
CONFIGURATION_PATH = "/leader/configuration"
LINK_PATH = "/leader/relays"
HELLO_TIMEOUT_SECONDS = 1.0
# The round trip between two regions takes 40 ms; a peer that needs much longer is failing.
PEER_TIMEOUT_SECONDS = 0.5
# A configuration of many routes has hundreds of kilobytes and may pass a narrow link, which copies
# for others share.
CONFIGURATION_TIMEOUT_SECONDS = 3.0
MAX_CONFIGURATION_COPIES = 4
HELD_PARAMETER = "held"

_log = logger_of("peers")


class PeerStatus(msgspec.Struct, frozen=True):
    """Leadership status that a process reports about itself.

    :param incarnation: incarnation id of the process
    :param has_claim: whether the process holds the newest claim that it knows of
    :param is_able: whether the process can renew that claim
    :param ended_epoch: newest epoch that the process has led and ended; 0 for none
    :param loading_progress: steps of loading done in this term; None when it is not loading, and
        from builds that do not tell it
    :param newest_claim: newest claim that the process knows of; None when it knows of none, and
        from builds that do not tell it
    """

    incarnation: str
    has_claim: bool
    is_able: bool
    ended_epoch: int = 0
    loading_progress: int | None = None
    newest_claim: Claim | None = None


def condition_in_term(
    status: PeerStatus | LeaderMessage, incarnation: str, epoch: int
) -> LeaderCondition:
    """Return the condition of a leader in one of its terms, as its process reports it.

    A process without a claim may not have learned yet that its claim was stored. So only an epoch
    that it has ended, or another incarnation, proves that the term is over.

    :param incarnation: incarnation that has made the claim
    :param epoch: epoch of the claim
    """
    if status.incarnation != incarnation or status.ended_epoch >= epoch:
        return LeaderCondition.GONE
    if status.is_able:
        return LeaderCondition.PRESENT
    is_loading = status.has_claim and status.loading_progress is not None
    return LeaderCondition.LOADING if is_loading else LeaderCondition.UNABLE


class _StoredRecord(msgspec.Struct, frozen=True, array_like=True):
    key: str
    value: bytes | None


AnswerT = TypeVar("AnswerT")

_STATUS_DECODER = msgspec.json.Decoder(PeerStatus)
_COUNTS_DECODER = msgspec.json.Decoder(dict[str, int])
_CLAIM_DECODER = msgspec.msgpack.Decoder(Claim)
_SETTLEMENT_DECODER = msgspec.msgpack.Decoder(Settlement)
_WITNESS_DECODER = msgspec.msgpack.Decoder(WitnessAnswer)
_RECORD_DECODER = msgspec.msgpack.Decoder(_StoredRecord)


class PeerUnreachableError(Exception):
    """Raised when a call to a peer got no usable answer.

    :param is_refused: whether the connection was refused
    :param is_effect_unknown: whether the call may have taken effect
    """

    def __init__(
        self, message: str, *, is_refused: bool = False, is_effect_unknown: bool = True
    ) -> None:
        super().__init__(message)
        self.is_refused = is_refused
        self.is_effect_unknown = is_effect_unknown


class LeaderSource(Protocol):
    """Leadership state of this process, as the peer server needs it."""

    @property
    def incarnation(self) -> str:
        """Return the incarnation id of this process."""
        ...

    @property
    def has_claim(self) -> bool:
        """Return whether this process holds the newest claim that it knows of."""
        ...

    @property
    def is_able(self) -> bool:
        """Return whether this process can renew its claim."""
        ...

    @property
    def ended_epoch(self) -> int:
        """Return the newest epoch that this process has led and ended; 0 for none."""
        ...

    @property
    def loading_progress(self) -> int | None:
        """Return the steps of loading done in the current term; None when it is not loading."""
        ...

    @property
    def newest_claim(self) -> Claim | None:
        """Return the newest claim that this process knows of; None when it knows of none."""
        ...

    @property
    def settlement(self) -> Settlement | None:
        """Return until when leaders before the newest own term can renew leases."""
        ...

    @property
    def leader(self) -> Leader | None:
        """Return the current term of leadership; None unless this process leads."""
        ...

    def accept_claim(self, claim: Claim) -> None:
        """Accept the claim of another process and drop an own earlier one."""
        ...

    def answer_as_witness(self, claim: Claim) -> WitnessAnswer:
        """Accept a claim if it is the newest, and tell what this process knows of claims."""
        ...


class PeerServer(mode.Service):
    """HTTP server that answers calls of other control processes.

    :param source: leadership state of this process
    :param store: store to which submissions of peers are appended
    :param host: address to listen on
    :param port: port to listen on
    :param configuration: configuration of this process; None if it hands on none
    """

    def __init__(
        self,
        source: LeaderSource,
        store: ObservedStore,
        host: str,
        port: int,
        configuration: ConfigurationFeed | None = None,
    ) -> None:
        super().__init__()
        self._configuration = configuration
        self._copies = 0
        self._source = source
        self._store = store
        self._host = host
        self._port = port
        self._runner: web.ServerRunner | None = None

    async def on_start(self) -> None:
        """Open the port."""
        self._runner = web.ServerRunner(web.Server(self._answer_caller, access_log=None))
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._port, reuse_address=True).start()

    async def on_stop(self) -> None:
        """Close the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _answer_caller(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request; a caller that has closed its connection gets no answer."""
        try:
            return await self._answer(request)
        except (aiohttp.ClientError, ConnectionError) as error:
            _log.debug("caller has gone", extra={"path": request.path, "reason": repr(error)})
            return web.Response(status=400, text="the connection is closed")

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.path
        if path == STATUS_PATH:
            source = self._source
            status = PeerStatus(
                source.incarnation,
                source.has_claim,
                source.is_able,
                source.ended_epoch,
                source.loading_progress,
                source.newest_claim,
            )
            return web.Response(body=msgspec.json.encode(status))
        if path == SUPERSEDED_PATH:
            return await self._receive_claim(request)
        if path == WITNESS_PATH:
            return await self._answer_as_witness(request)
        if path == SUBMISSIONS_PATH:
            return await self._append_for_peer(request)
        if path == CONFIGURATION_PATH:
            return await self._send_configuration(request)
        leader = self._source.leader
        if leader is None:
            return web.Response(status=503, text="not leading")
        if path == LINK_PATH:
            return await self._serve_relay(request, leader.relays)
        try:
            if path == QUEUES_PATH:
                return web.Response(body=msgspec.json.encode(leader.waiting_by_queue()))
            if path.startswith(JOBS_PATH):
                tenant = request.query.get(TENANT_PARAMETER, "")
                state = leader.state_of(path.removeprefix(JOBS_PATH), tenant)
                return web.Response(text=str(state) if state else "", status=200 if state else 404)
        except NotReadyError as error:
            return web.Response(status=503, text=str(error))
        return web.Response(status=400)

    async def _serve_relay(self, request: web.BaseRequest, pool: RelayPool) -> web.StreamResponse:
        """Serve the connection of a relay until it closes or fails."""
        socket = web.WebSocketResponse(compress=False, max_msg_size=MAX_MESSAGE_BYTES, timeout=0.3)
        await socket.prepare(request)
        link: RelayLink | None = None
        reason = "the relay has closed the connection"
        try:
            hello = HELLO_DECODER.decode(await socket.receive_bytes(timeout=HELLO_TIMEOUT_SECONDS))
            link = pool.serve(hello, socket)
            if link is None:
                return socket
            sender = asyncio.create_task(send_until_failure(link.send))
            try:
                async for message in socket:
                    if message.type is web.WSMsgType.BINARY:
                        link.receive(message.data)
            finally:
                sender.cancel()
        except (msgspec.MsgspecError, TypeError, TimeoutError, OSError) as error:
            reason = f"{type(error).__name__}: {error}"
            _log.warning("connection of a relay failed", extra={"reason": reason})
        finally:
            if link is not None:
                pool.remove(link, reason)
            await socket.close()
        return socket

    async def _receive_claim(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            self._source.accept_claim(_CLAIM_DECODER.decode(await request.read()))
        except msgspec.MsgspecError as error:
            return web.Response(status=400, text=str(error))
        settlement = self._source.settlement
        return web.Response(body=msgspec.msgpack.encode(settlement) if settlement else b"")

    async def _answer_as_witness(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            answer = self._source.answer_as_witness(_CLAIM_DECODER.decode(await request.read()))
        except msgspec.MsgspecError as error:
            return web.Response(status=400, text=str(error))
        return web.Response(body=msgspec.msgpack.encode(answer))

    async def _send_configuration(self, request: web.BaseRequest) -> web.StreamResponse:
        """Hand on the newest configuration, unless the caller holds it or too many ask at once."""
        held = request.query.get(HELD_PARAMETER, "")
        feed = self._configuration
        if feed is None or not held.isdecimal():
            return web.Response(status=400)
        record = feed.record
        if record is None or feed.config.version <= int(held):
            return web.Response(status=404)
        if self._copies >= MAX_CONFIGURATION_COPIES:
            return web.Response(status=503)
        answer = web.Response(body=msgspec.msgpack.encode(_StoredRecord(record.key, record.value)))
        self._copies += 1
        try:
            await answer.prepare(request)
            await answer.write_eof()
        finally:
            self._copies -= 1
        return answer

    async def _append_for_peer(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            record = _RECORD_DECODER.decode(await request.read())
        except msgspec.MsgspecError as error:
            return web.Response(status=400, text=str(error))
        if self._store.is_unavailable:
            return web.Response(status=503, text="store is away")
        try:
            await append_submissions(self._store, [Record(record.key, record.value)])
        except StoreError as error:
            # 504 means that the record may be stored, 503 that it is not stored.
            return web.Response(status=504 if error.is_effect_unknown else 503, text=str(error))
        return web.Response()


class PeerClient:
    """HTTP client for calls to other control processes.

    :param session: returns the HTTP session that all calls of this process to peers share
    """

    def __init__(self, session: Callable[[], aiohttp.ClientSession]) -> None:
        self._session = session

    async def status(self, address: str) -> PeerStatus:
        """Return the leadership status of the process at ``address``.

        :raises PeerUnreachableError: when the peer gives no usable answer
        """
        status, body = await self._call("GET", address, STATUS_PATH)
        if status != 200:
            raise PeerUnreachableError(f"status {status}")
        return _decode(_STATUS_DECODER, body)

    async def announce_claim(self, address: str, claim: Claim) -> Settlement | None:
        """Inform an earlier leader, which may be unable to reach the store, of a newer claim.

        :returns: until when leaders before the newest term of that process can renew leases; None
            when it does not tell, as earlier builds do not
        :raises PeerUnreachableError: when the peer gives no answer, or does not accept the claim
        """
        data = msgspec.msgpack.encode(claim)
        status, body = await self._call("POST", address, SUPERSEDED_PATH, data)
        if status != 200:
            raise PeerUnreachableError(f"status {status}: {body.decode(errors='replace')}")
        if not body:
            return None
        try:
            settlement = _SETTLEMENT_DECODER.decode(body)
        except msgspec.MsgspecError as error:
            # The claim is accepted nevertheless.
            _log.info("answer to a claim can't be decoded", extra={"reason": str(error)})
            return None
        # Neither a negative number nor NaN is a time to wait.
        return settlement if settlement.left_seconds >= 0.0 else None

    async def ask_witness(self, address: str, claim: Claim) -> WitnessAnswer:
        """Tell a process of the claim of this one, and ask what it knows of claims.

        :raises PeerUnreachableError: when the peer gives no usable answer, as earlier builds do not
        """
        data = msgspec.msgpack.encode(claim)
        status, body = await self._call("POST", address, WITNESS_PATH, data)
        if status != 200:
            raise PeerUnreachableError(f"status {status}")
        try:
            return _WITNESS_DECODER.decode(body)
        except msgspec.MsgspecError as error:
            raise PeerUnreachableError(f"the answer can't be decoded: {error}") from error

    async def state_of(self, address: str, job_id: str, tenant: str = "") -> str | None:
        """Return the state of a job; None when the leader has no such job.

        :param tenant: tenant that asks; empty for none
        :raises PeerUnreachableError: when the peer can't determine the state
        """
        query = f"?{urlencode({TENANT_PARAMETER: tenant})}" if tenant else ""
        status, body = await self._call("GET", address, JOBS_PATH + job_id + query)
        if status == 404:
            return None
        if status != 200:
            raise PeerUnreachableError(f"status {status}: {body.decode(errors='replace')}")
        return body.decode(errors="replace")

    async def waiting_by_queue(self, address: str) -> dict[str, int]:
        """Return the number of waiting jobs by queue.

        :raises PeerUnreachableError: when the peer can't determine the numbers
        """
        status, body = await self._call("GET", address, QUEUES_PATH)
        if status != 200:
            raise PeerUnreachableError(f"status {status}: {body.decode(errors='replace')}")
        return _decode(_COUNTS_DECODER, body)

    async def store_submission(self, address: str, record: Record) -> None:
        """Request that a peer append a record to the submission stream.

        :raises PeerUnreachableError: when the peer did not confirm that the record is stored
        """
        body = msgspec.msgpack.encode(_StoredRecord(record.key, record.value))
        status, _ = await self._call("POST", address, SUBMISSIONS_PATH, body)
        if status != 200:
            raise PeerUnreachableError(f"status {status}", is_effect_unknown=status != 503)

    async def configuration(self, address: str, held: int) -> Record:
        """Return the record of a configuration that is newer than one.

        :param held: version that this process holds
        :raises PeerUnreachableError: when the peer has no newer one or gives no usable answer
        """
        path = f"{CONFIGURATION_PATH}?{urlencode({HELD_PARAMETER: held})}"
        status, body = await self._call(
            "GET", address, path, timeout_seconds=CONFIGURATION_TIMEOUT_SECONDS
        )
        if status != 200:
            raise PeerUnreachableError(f"status {status}")
        try:
            stored = _RECORD_DECODER.decode(body)
        except msgspec.MsgspecError as error:
            raise PeerUnreachableError(f"the answer can't be decoded: {error}") from error
        return Record(stored.key, stored.value)

    async def _call(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        timeout_seconds: float = PEER_TIMEOUT_SECONDS,
    ) -> tuple[int, bytes]:
        timeout = aiohttp.ClientTimeout(total=timeout_seconds, sock_connect=PEER_TIMEOUT_SECONDS)
        url = f"http://{address}{path}"
        try:
            async with self._session().request(method, url, data=body, timeout=timeout) as answer:
                return answer.status, await answer.read()
        except aiohttp.ClientConnectorError as error:
            is_refused = error.os_error.errno == errno.ECONNREFUSED
            raise PeerUnreachableError(
                str(error), is_refused=is_refused, is_effect_unknown=False
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PeerUnreachableError(f"{type(error).__name__}: {error}") from error


def _decode(decoder: msgspec.json.Decoder[AnswerT], body: bytes) -> AnswerT:
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise PeerUnreachableError(f"the peer's answer can't be decoded: {error}") from error
