"""Relay: calls minions on behalf of the leader, over a connection that this process keeps open."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from random import Random

import aiohttp
import mode
import msgspec

from dotterelhill.control.call_prefixes import ReceivedPrefixes
from dotterelhill.control.interface import (
    MinionCall,
    MinionCaller,
    MinionError,
    MinionNotReachedError,
)
from dotterelhill.control.leadership import LeaderClock, LeaderCondition, LoadingWatch
from dotterelhill.control.peers import LINK_PATH, condition_in_term
from dotterelhill.control.relay_messages import (
    ENCODER,
    HEARTBEAT_SECONDS,
    LEADER_DECODER,
    MAX_MESSAGE_BYTES,
    SILENCE_SECONDS,
    CallFailure,
    EntryNotice,
    Hello,
    LeaderMessage,
    RelayedAnswer,
    RelayedCall,
    RelayMessage,
    send_until_failure,
)
from dotterelhill.control.relay_pool import MessageSocket
from dotterelhill.entry.logs import logger_of

CONNECT_TIMEOUT_SECONDS = 0.7
IDLE_SECONDS = 0.1
RECONNECT_SECONDS = (0.2, 0.6)
# Answers that arrive within this time share one message.
BATCH_SECONDS = 0.003
# A message that took this much longer than the fastest one is too old to act on, because this
# process, the leader or the path between them was paused.
MAX_EXTRA_TRANSIT_SECONDS = 1.0
TRANSIT_WINDOW_SECONDS = 60.0

NoticeHandler = Callable[[EntryNotice, float], None]

_log = logger_of("relays")


def _no_version() -> int:
    """Return 0, the version of a process that reads no configuration."""
    return 0


def _ignore_notice(notice: EntryNotice, transit_seconds: float) -> None:
    """Ignore the leader's information in a process that serves no clients."""


class TransitTime:
    """Estimates how much longer than the fastest message a message was on its way.

    The clocks of two VMs have no common origin, so only differences of transit times are known. The
    first message may have been on its way since the connection was opened. The clocks also drift
    apart, by a second within hours, so the fastest message of the last one to two windows counts.

    :param opened_at: time of the receiver in seconds
    """

    def __init__(self, opened_at: float) -> None:
        self._opened_at = opened_at
        self._window_started_at = opened_at
        self._smallest_difference: float | None = None
        self._smallest_earlier_difference = float("inf")

    def extra_seconds(self, sent_at: float, received_at: float) -> float:
        """Return the extra transit time of a message.

        :param sent_at: time of the sender in seconds
        :param received_at: time of the receiver in seconds
        """
        difference = received_at - sent_at
        if self._smallest_difference is None:
            self._smallest_difference = difference
            return received_at - self._opened_at
        if received_at - self._window_started_at >= TRANSIT_WINDOW_SECONDS:
            self._window_started_at = received_at
            self._smallest_earlier_difference = self._smallest_difference
            self._smallest_difference = difference
        self._smallest_difference = min(self._smallest_difference, difference)
        return difference - min(self._smallest_difference, self._smallest_earlier_difference)


class RelaySession:
    """One connection of this process to the leader.

    :param caller: sends calls to minions
    :param socket: connection to the leader
    :param clock: returns seconds; keeps counting while the process is suspended
    :param on_notice: called with the leader's information for entry processes, and with the time
        in seconds for which its message was on its way
    :param config_version: returns the version of the configuration that this process holds
    """

    def __init__(
        self,
        caller: MinionCaller,
        socket: MessageSocket,
        clock: Callable[[], float],
        on_notice: NoticeHandler = _ignore_notice,
        config_version: Callable[[], int] = _no_version,
    ) -> None:
        self._on_notice = on_notice
        self._config_version = config_version
        self._caller = caller
        self._socket = socket
        self._clock = clock
        self._transit = TransitTime(clock())
        self._answers: list[RelayedAnswer] = []
        self._has_answers = asyncio.Event()
        self._calls: set[asyncio.Task[None]] = set()
        self._prefixes = ReceivedPrefixes()
        self._is_leaving = False
        self._heard_at = float("-inf")
        self._newest: LeaderMessage | None = None
        self._leader_clock: LeaderClock | None = None
        self._loading = LoadingWatch(clock)
        self._witness_address = ""

    @property
    def witness_address(self) -> str:
        """Return the address of the leader's witness; empty if the leader has told none."""
        return self._witness_address

    @property
    def leader_clock(self) -> LeaderClock | None:
        """Return the most precise reading of the leader's clock; None before the first message."""
        return self._leader_clock

    def leave(self) -> None:
        """Announce that this process takes no further calls; calls in progress are finished."""
        self._is_leaving = True
        self._has_answers.set()

    def condition(self, incarnation: str, epoch: int) -> LeaderCondition | None:
        """Return the condition of the leader; None when its newest message is too old to tell.

        :param incarnation: incarnation that has made the newest known claim
        :param epoch: epoch of that claim
        """
        message = self._newest
        if message is None or self._clock() - self._heard_at > SILENCE_SECONDS:
            return None
        return self._loading.refine(condition_in_term(message, incarnation, epoch))

    def receive(self, data: bytes) -> None:
        """Process one message of the leader and begin its calls.

        :raises msgspec.MsgspecError: when the message is malformed
        """
        message = LEADER_DECODER.decode(data)
        # Later messages name the prefixes, also when the calls of this one are too late.
        self._prefixes.update(message.prefixes)
        self._witness_address = message.witness_address or self._witness_address
        now = self._clock()
        self._record_clock(LeaderClock(message.incarnation, message.sent_at, now))
        extra_seconds = self._transit.extra_seconds(message.sent_at, now)
        if extra_seconds <= SILENCE_SECONDS:
            self._newest, self._heard_at = message, now
            self._loading.record(message.incarnation, message.loading_progress)
            if message.has_claim:
                self._on_notice(message.entry, max(0.0, extra_seconds))
        if message.calls and extra_seconds > MAX_EXTRA_TRANSIT_SECONDS:
            fields = {"calls": len(message.calls), "late_ms": round(1000 * extra_seconds)}
            _log.warning("calls of the leader arrived too late and are not sent", extra=fields)
            for call in message.calls:
                self._fail(call, CallFailure.NOT_REACHED, "the call arrived too late at the relay")
            return
        for call in message.calls:
            try:
                body = self._prefixes.complete(call.prefix, call.body)
            except KeyError:
                _log.error("relayed call names an unknown prefix", extra={"path": call.path})
                self._fail(call, CallFailure.NOT_REACHED, "unknown prefix")
                continue
            task = asyncio.create_task(self._execute(call, body))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    def _record_clock(self, clock: LeaderClock) -> None:
        """Keep the newer reading of the leader's clock, unless its message was delayed."""
        known = self._leader_clock
        if known is None or known.incarnation != clock.incarnation:
            self._leader_clock = clock
        elif clock.received_at < known.latest_time_of(clock.sent_at):
            self._leader_clock = clock

    async def _execute(self, call: RelayedCall, body: bytes) -> None:
        request = MinionCall(call.address, call.minion_id, "", call.path, body, call.wait_seconds)
        try:
            answer = await self._caller.call(request)
        except MinionNotReachedError as error:
            self._fail(call, CallFailure.NOT_REACHED, str(error))
            return
        except MinionError as error:
            self._fail(call, CallFailure.NO_ANSWER, str(error))
            return
        except Exception as error:
            # An unexpected error of one call must not end the connection that other calls share.
            _log.error("relayed call failed", extra={"path": call.path, "reason": repr(error)})
            self._fail(call, CallFailure.NO_ANSWER, repr(error))
            return
        self._answers.append(RelayedAnswer(call.number, answer.status, answer.body))
        self._has_answers.set()

    def _fail(self, call: RelayedCall, failure: CallFailure, reason: str) -> None:
        self._answers.append(RelayedAnswer(call.number, 0, b"", failure, reason))
        self._has_answers.set()

    async def send(self) -> None:
        """Send the answers, and heartbeats between them, until the connection fails."""
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_SECONDS):
                    await self._has_answers.wait()
            if self._answers:
                await asyncio.sleep(BATCH_SECONDS)
            self._has_answers.clear()
            answers, self._answers = self._answers, []
            message = RelayMessage(self._is_leaving, answers, self._config_version())
            await self._socket.send_bytes(ENCODER.encode(message))

    def cancel_calls(self) -> None:
        """Cancel the calls in progress, whose answers nobody would receive."""
        for task in self._calls:
            task.cancel()


class RelayClient(mode.Service):
    """Service that keeps a connection to the leader and serves as its relay.

    :param hello: description of this process
    :param leader_address: returns the address of the leader; empty while this process leads or
        knows none
    :param caller: sends calls to minions
    :param session: returns the HTTP session to use
    :param clock: returns seconds; keeps counting while the process is suspended
    :param on_notice: see :class:`RelaySession`
    :param config_version: see :class:`RelaySession`
    """

    def __init__(
        self,
        hello: Hello,
        leader_address: Callable[[], str],
        caller: MinionCaller,
        session: Callable[[], aiohttp.ClientSession],
        clock: Callable[[], float],
        random: Random,
        on_notice: NoticeHandler = _ignore_notice,
        config_version: Callable[[], int] = _no_version,
    ) -> None:
        super().__init__()
        self._on_notice = on_notice
        self._config_version = config_version
        self._hello = hello
        self._leader_address = leader_address
        self._caller = caller
        self._http_session = session
        self._clock = clock
        self._random = random
        self._relay_session: RelaySession | None = None
        self._address = ""
        self._is_leaving = False
        self._earlier_clock: LeaderClock | None = None
        self._earlier_witness = ""

    @property
    def witness_address(self) -> str:
        """Return the address of the witness of the leader that this process was connected to last.

        That process is informed of the next leader, and so can name it. Empty if none is known.
        """
        session = self._relay_session
        return (session.witness_address if session is not None else "") or self._earlier_witness

    def leader_clock(self, incarnation: str) -> LeaderClock | None:
        """Return a reading of the clock of a leader; None when its messages gave none.

        The reading is kept after the connection to that leader was lost.
        """
        clock = self._earlier_clock
        if self._relay_session is not None and self._relay_session.leader_clock is not None:
            clock = self._relay_session.leader_clock
        return clock if clock is not None and clock.incarnation == incarnation else None

    def condition(self, address: str, incarnation: str, epoch: int) -> LeaderCondition | None:
        """Return the condition of the leader as its messages tell it.

        :returns: None when this process has no current connection to that address
        """
        if self._relay_session is None or self._address != address:
            return None
        return self._relay_session.condition(incarnation, epoch)

    def leave(self) -> None:
        """Take no further calls, because the process is about to stop."""
        self._is_leaving = True
        if self._relay_session is not None:
            self._relay_session.leave()

    @mode.Service.task
    async def _connect(self) -> None:
        while not self.should_stop:
            address = self._leader_address()
            if not address or self._is_leaving:
                await asyncio.sleep(IDLE_SECONDS)
                continue
            try:
                await self._serve_leader(address)
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                _log.debug("no connection to the leader", extra={"reason": repr(error)})
            except msgspec.MsgspecError as error:
                fields = {"leader": address, "reason": str(error)}
                _log.error("message of the leader can't be decoded; reconnecting", extra=fields)
            await asyncio.sleep(self._random.uniform(*RECONNECT_SECONDS))

    async def _serve_leader(self, address: str) -> None:
        """Serve one connection until it fails, falls silent or another process leads."""
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            socket = await self._http_session().ws_connect(
                f"http://{address}{LINK_PATH}",
                max_msg_size=MAX_MESSAGE_BYTES,
                timeout=aiohttp.ClientWSTimeout(ws_close=0.3),
            )
        session = RelaySession(
            self._caller, socket, self._clock, self._on_notice, self._config_version
        )
        sender = None
        try:
            await socket.send_bytes(ENCODER.encode(self._hello))
            self._relay_session, self._address = session, address
            sender = asyncio.create_task(send_until_failure(session.send))
            while self._leader_address() == address:
                async with asyncio.timeout(SILENCE_SECONDS):
                    message = await socket.receive()
                if message.type is not aiohttp.WSMsgType.BINARY:
                    break
                session.receive(message.data)
        finally:
            self._relay_session = None
            self._earlier_clock = session.leader_clock or self._earlier_clock
            self._earlier_witness = session.witness_address or self._earlier_witness
            session.cancel_calls()
            if sender is not None:
                sender.cancel()
            await socket.close()
