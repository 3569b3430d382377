"""Leader's connections to its relays, and the choice of the relay for each minion.

Explanation
===========

A call over HTTP costs the leader about 0.4 ms of processor time, so that a thousand calls a second
would occupy most of its only thread. Other processes hold the connections to the minions instead
and exchange batches of calls and answers with the leader. Relays decide nothing: every call carries
the epoch of the leader and its lease deadline, and minions check both. The failure of a relayed
call is no evidence against the minion, and the next call to that minion is sent directly.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from functools import partial
from math import ceil
from typing import Protocol
from zlib import crc32

import aiohttp
import msgspec

from dotterelhill.control.call_prefixes import SentPrefixes
from dotterelhill.control.interface import (
    MinionAnswer,
    MinionCall,
    MinionCaller,
    RelayError,
    RelayNotReachedError,
)
from dotterelhill.control.leadership import Leadership, Witness
from dotterelhill.control.loop_lag import LoopLag
from dotterelhill.control.relay_messages import (
    ENCODER,
    HEARTBEAT_SECONDS,
    RELAY_DECODER,
    SILENCE_SECONDS,
    CallFailure,
    EntryNotice,
    Hello,
    LeaderMessage,
    RelayedAnswer,
    RelayedCall,
)
from dotterelhill.entry.logs import logger_of

# At 5 calls a second for each minion, a relay then uses about 5% of a processor.
MINIONS_PER_RELAY = 24
# Several times the number of minions, whose ids change when they start again.
MAX_CHOSEN_RELAYS = 4096
# Time that a relayed call may take beyond the wait of the minion. It exceeds the time after which
# the relay itself gives up the call.
RELAYED_CALL_SECONDS = 1.6
CHECK_INTERVAL_SECONDS = 0.1
# Time for which calls to a minion are sent directly after a relayed call to it failed; it doubles
# with each failure until a relayed call is answered.
DIRECT_SECONDS = 3.0
MAX_DIRECT_SECONDS = 24.0
# Answers may wait unread for as long as the event loop was late, up to this time.
MAX_LAG_ALLOWANCE_SECONDS = 2.0

_log = logger_of("relays")


class MessageSocket(Protocol):
    """Connection that carries whole messages."""

    async def send_bytes(self, data: bytes) -> None:
        """Send one message; wait while the peer reads too slowly."""
        ...

    async def close(self) -> object:
        """Close the connection."""
        ...


AnswerHandler = Callable[[MinionAnswer | RelayError], None]


class _PendingCall(msgspec.Struct, frozen=True):
    """Call without an answer.

    :param on_answer: called once with the answer or the error
    """

    on_answer: AnswerHandler
    expires_at: float


class ConfigurationHolders:
    """Relays that hold the newest configuration, one of each failure domain.

    :param on_version: called with a version that a relay has read and with the relay's address
    """

    def __init__(self, on_version: Callable[[int, str], None] | None = None) -> None:
        self._on_version = on_version
        # Version and address of the first process of each failure domain that held it.
        self._by_domain: dict[str, tuple[int, str]] = {}

    def address_in(self, failure_domain: str, version: int) -> str:
        """Return the address of a process that holds a version; empty if none is known."""
        known, address = self._by_domain.get(failure_domain, (0, ""))
        return address if known >= version else ""

    def record(self, hello: Hello, version: int) -> None:
        """Record that a relay holds a version."""
        if not hello.address:
            return
        known, _ = self._by_domain.get(hello.failure_domain, (0, ""))
        if version > known:
            self._by_domain[hello.failure_domain] = (version, hello.address)
        if self._on_version is not None:
            self._on_version(version, hello.address)

    def remove(self, hello: Hello) -> None:
        """Forget a relay whose connection was lost."""
        known = self._by_domain.get(hello.failure_domain)
        if known is not None and known[1] == hello.address:
            del self._by_domain[hello.failure_domain]


class RelayLink:
    """Connection of the leader to one relay.

    :param hello: first message of the relay
    :param leadership: lease of this process, whose state every message tells
    :param clock: returns seconds; keeps counting while the process is suspended
    :param entry_notice: returns the information for entry processes
    :param holders: processes that hold the newest configuration
    """

    def __init__(
        self,
        hello: Hello,
        socket: MessageSocket,
        leadership: Leadership,
        clock: Callable[[], float],
        entry_notice: Callable[[], EntryNotice] = EntryNotice,
        holders: ConfigurationHolders | None = None,
    ) -> None:
        self._entry_notice = entry_notice
        self._holders = holders or ConfigurationHolders()
        self._config_version = 0
        self._hello = hello
        self._socket = socket
        self._leadership = leadership
        self._clock = clock
        self._heard_at = self._sent_at = clock()
        self._next_number = 0
        self._pending: dict[int, _PendingCall] = {}
        self._outbox: list[RelayedCall] = []
        self._prefixes = SentPrefixes()
        # Address of the witness, until the relay is told of it.
        self._untold_witness = ""
        self._has_calls = asyncio.Event()
        # The relay compares the transit times of later messages with that of the first one.
        self._has_calls.set()
        self._is_leaving = False
        self._is_closed = False

    @property
    def hello(self) -> Hello:
        """Return the first message of the relay."""
        return self._hello

    @property
    def is_usable(self) -> bool:
        """Return whether the relay takes calls."""
        return not self._is_leaving and not self._is_closed

    @property
    def silent_seconds(self) -> float:
        """Return the time since the newest message of the relay."""
        return self._clock() - self._heard_at

    async def call(self, call: MinionCall) -> MinionAnswer:
        """Send a call through the relay and return the answer of the minion.

        :raises RelayNotReachedError: when the call certainly did not reach the minion
        :raises RelayError: when there is no answer, so that the effect is unknown
        """
        if not self.is_usable:
            raise RelayNotReachedError(f"{call.path}: the relay has left")
        future: asyncio.Future[MinionAnswer] = asyncio.get_running_loop().create_future()
        number = self.submit(call, partial(_resolve, future))
        try:
            return await future
        finally:
            self._pending.pop(number, None)

    def submit(self, call: MinionCall, on_answer: AnswerHandler) -> int:
        """Send a call with the next message, and return its number.

        :param on_answer: called once with the answer of the minion or the error
        """
        self._next_number += 1
        number = self._next_number
        expires_at = self._clock() + RELAYED_CALL_SECONDS + call.wait_seconds
        self._pending[number] = _PendingCall(on_answer, expires_at)
        prefix, body = 0, call.body
        if call.prefix:
            if self._hello.keeps_prefixes:
                prefix = self._prefixes.number_of(call.prefix)
            if not prefix:
                body = call.prefix + body
        self._outbox.append(
            RelayedCall(
                number, call.address, call.minion_id, call.path, body, call.wait_seconds, prefix
            )
        )
        self._has_calls.set()
        return number

    async def send(self) -> None:
        """Send the calls, and heartbeats when they are due, until the connection fails."""
        while True:
            await self._has_calls.wait()
            if self._is_closed:
                return
            self._has_calls.clear()
            self._sent_at = self._clock()
            calls, self._outbox = self._outbox, []
            leadership = self._leadership
            notice = self._entry_notice()
            if self._config_version < notice.config_version:
                notice = self._with_holder(notice)
            message = LeaderMessage(
                leadership.incarnation,
                self._clock(),
                leadership.has_claim,
                leadership.is_able,
                calls,
                leadership.ended_epoch,
                leadership.loading_progress,
                notice,
                self._prefixes.take_new(),
                self._untold_witness,
            )
            self._untold_witness = ""
            await self._socket.send_bytes(ENCODER.encode(message))

    def _with_holder(self, notice: EntryNotice) -> EntryNotice:
        """Return the information for a relay that lacks a version, with a process that holds it."""
        holder = self._holders.address_in(self._hello.failure_domain, notice.config_version)
        return msgspec.structs.replace(notice, config_holder=holder) if holder else notice

    def tell_witness(self, address: str) -> None:
        """Tell the relay the address of the leader's witness with the next message."""
        self._untold_witness = address

    def keep_alive(self) -> None:
        """Send a heartbeat if the last message was sent about ``HEARTBEAT_SECONDS`` ago.

        A timer for each message would cost more than the message.
        """
        if self._clock() - self._sent_at >= HEARTBEAT_SECONDS - CHECK_INTERVAL_SECONDS / 2:
            self._has_calls.set()

    def receive(self, data: bytes) -> None:
        """Process one message of the relay.

        :raises msgspec.MsgspecError: when the message is malformed
        """
        message = RELAY_DECODER.decode(data)
        self._heard_at = self._clock()
        self._is_leaving = self._is_leaving or message.is_leaving
        if message.config_version > self._config_version:
            self._config_version = message.config_version
            self._holders.record(self._hello, message.config_version)
        for answer in message.answers:
            pending = self._pending.pop(answer.number, None)
            if pending is not None:
                _report(pending, _answer_of(answer))

    def discard_calls(self) -> None:
        """Fail the calls that are not sent yet, and tell the relay of the leader's state."""
        calls, self._outbox = self._outbox, []
        for call in calls:
            pending = self._pending.pop(call.number, None)
            if pending is not None:
                _report(pending, RelayNotReachedError("the leader has resigned"))
        self._has_calls.set()

    def expire(self, allowance_seconds: float) -> None:
        """Fail the calls that have waited too long.

        :param allowance_seconds: time for which answers may have waited here unread
        """
        limit = self._clock() - allowance_seconds
        expired = [number for number, call in self._pending.items() if call.expires_at < limit]
        for number in expired:
            pending = self._pending.pop(number, None)
            if pending is not None:
                _report(pending, RelayError("the relay gave no answer"))

    def fail(self, reason: str) -> None:
        """Take no further calls and fail those without an answer."""
        if self._is_closed:
            return
        self._is_closed = True
        self._has_calls.set()
        unsent = {call.number for call in self._outbox}
        failed, self._pending = self._pending, {}
        for number, pending in failed.items():
            error = RelayNotReachedError if number in unsent else RelayError
            _report(pending, error(reason))

    async def close(self) -> None:
        """Close the connection."""
        try:
            await self._socket.close()
        except (aiohttp.ClientError, OSError) as error:
            fields = {"relay": self._hello.incarnation, "reason": repr(error)}
            _log.debug("connection of a relay could not be closed cleanly", extra=fields)


def _report(pending: _PendingCall, answer: MinionAnswer | RelayError) -> None:
    """Report the outcome of a call; an error in its handler must not end the work on the others."""
    try:
        pending.on_answer(answer)
    except Exception as error:
        _log.error("answer to a call can't be processed", extra={"reason": repr(error)})


def _resolve(future: asyncio.Future[MinionAnswer], answer: MinionAnswer | RelayError) -> None:
    # The caller may have been cancelled while the answer was on its way.
    if future.done():
        return
    if isinstance(answer, RelayError):
        future.set_exception(answer)
    else:
        future.set_result(answer)


def _answer_of(answer: RelayedAnswer) -> MinionAnswer | RelayError:
    match answer.failure:
        case None:
            return MinionAnswer(answer.status, answer.body)
        case CallFailure.NOT_REACHED:
            return RelayNotReachedError(answer.reason)
        case CallFailure.NO_ANSWER:
            return RelayError(answer.reason)


class RelayPool:
    """Relays of one term of leadership, which sends calls to minions through them.

    :param direct: sends calls without a relay
    :param leadership: lease of this process
    :param clock: returns seconds; keeps counting while the process is suspended
    :param lag: delay of the event loop
    :param entry_notice: returns the information for entry processes
    :param failure_domain: failure domain of the VM of this process
    :param on_config_version: called with a version of the configuration that a relay has read and
        with the relay's address
    """

    def __init__(
        self,
        direct: MinionCaller,
        leadership: Leadership,
        clock: Callable[[], float],
        lag: LoopLag,
        entry_notice: Callable[[], EntryNotice] = EntryNotice,
        failure_domain: str = "",
        on_config_version: Callable[[int, str], None] | None = None,
    ) -> None:
        self._entry_notice = entry_notice
        self._holders = ConfigurationHolders(on_config_version)
        self._failure_domain = failure_domain
        self._direct = direct
        self._leadership = leadership
        self._clock = clock
        self._lag = lag
        self._links: dict[str, RelayLink] = {}
        self._minion_counts: Counter[str] = Counter()
        self._relays_by_domain: dict[str, list[RelayLink]] = {}
        # Relay of each minion that was called, by failure domain and id; a cache until the relays
        # change.
        self._chosen_relays: dict[tuple[str, str], RelayLink] = {}
        self._direct_until: dict[str, float] = {}
        self._direct_seconds: dict[str, float] = {}
        # Address of the witness that the relays were told of.
        self._witness_address = ""
        self._is_closed = False
        self._closing: set[asyncio.Task[None]] = set()

    @property
    def unread_seconds(self) -> float:
        """Return the time for which an answer may wait unread because the event loop is late."""
        return min(MAX_LAG_ALLOWANCE_SECONDS, 2.0 * self._lag.seconds)

    @property
    def memory_mb(self) -> Iterator[float]:
        """Yield the memory that each connected process may use, in MB; 0 where it is not known."""
        for link in self._links.values():
            yield link.hello.memory_mb

    @property
    def link_count(self) -> int:
        """Return the number of connected relays."""
        return len(self._links)

    def choose_witness(self, current: Witness | None) -> Witness | None:
        """Return a connected relay that can be the witness of this leader; None without one.

        One in another failure domain is not lost with the domain of the leader, and one with more
        processors answers sooner.

        :param current: witness up to now, which remains while it is connected and none is better
            placed
        """
        chosen: Witness | None = None
        best_rank = (False, False, 0.0)
        for link in self._links.values():
            hello = link.hello
            if not link.is_usable or not hello.address:
                continue
            witness = Witness(hello.incarnation, hello.address)
            is_elsewhere = hello.failure_domain != self._failure_domain
            rank = (is_elsewhere, witness == current, hello.processors)
            if chosen is None or rank > best_rank:
                chosen, best_rank = witness, rank
        address = chosen.address if chosen is not None else ""
        if address != self._witness_address:
            self._witness_address = address
            for link in self._links.values():
                link.tell_witness(address)
        return chosen

    def set_minion_counts(self, counts: Mapping[str, int]) -> None:
        """Set the number of minions by failure domain, which decides how many relays are used."""
        if counts != self._minion_counts:
            self._minion_counts = Counter(counts)
            self._choose_relays()

    def serve(self, hello: Hello, socket: MessageSocket) -> RelayLink | None:
        """Add the connection of a relay; the caller passes its messages to the link.

        :returns: None when this term has ended
        """
        if self._is_closed:
            return None
        earlier = self._links.pop(hello.incarnation, None)
        if earlier is not None:
            self._end(earlier, "the relay has connected again")
        link = RelayLink(
            hello, socket, self._leadership, self._clock, self._entry_notice, self._holders
        )
        self._links[hello.incarnation] = link
        link.tell_witness(self._witness_address)
        self._choose_relays()
        return link

    def remove(self, link: RelayLink, reason: str) -> None:
        """Remove a relay; its calls without an answer fail."""
        if self._links.get(link.hello.incarnation) is link:
            del self._links[link.hello.incarnation]
            self._holders.remove(link.hello)
            _log.info(
                "relay lost",
                extra={"relay": link.hello.incarnation, "reason": reason, "left": len(self._links)},
            )
            self._choose_relays()
        self._end(link, reason)

    def _end(self, link: RelayLink, reason: str) -> None:
        """Fail the calls of a link now and close its connection in the background.

        Closing waits for the peer, which may be silent, as may those of the next links.
        """
        link.fail(reason)
        task = asyncio.create_task(link.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def watch(self) -> None:
        """Check the relays until the task is cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self.check()

    def check(self) -> None:
        """Send heartbeats, expire calls and remove relays that are silent or leaving.

        What has arrived while the event loop was late is still unread, so neither is concluded from
        that time.
        """
        allowance = self.unread_seconds
        was_usable = {link for links in self._relays_by_domain.values() for link in links}
        for link in list(self._links.values()):
            link.keep_alive()
            link.expire(allowance)
            if link.silent_seconds > SILENCE_SECONDS + allowance:
                self.remove(link, "the relay is silent")
        if not all(link.is_usable for link in was_usable):
            self._choose_relays()
        now = self._clock()
        for minion_id, until in list(self._direct_until.items()):
            if now >= until:
                del self._direct_until[minion_id]

    def discard_calls(self) -> None:
        """Fail the calls that no relay was sent yet, and tell all relays of the leader's state."""
        for link in self._links.values():
            link.discard_calls()

    def close(self) -> None:
        """End the term of this pool and remove all relays."""
        self._is_closed = True
        for link in self._links.values():
            self._end(link, "the term has ended")
        self._links.clear()
        self._relays_by_domain.clear()
        self._chosen_relays.clear()

    async def call(self, call: MinionCall) -> MinionAnswer:
        """Send a call to a minion, through a relay where one is near the minion.

        :raises MinionNotReachedError: when the call certainly did not reach the minion
        :raises RelayError: when the relay gave no answer
        :raises MinionError: when a direct call has no answer
        """
        link = self._relay_for(call)
        if link is None:
            allowance = self.unread_seconds
            return await self._direct.call(
                msgspec.structs.replace(call, allowance_seconds=allowance)
            )
        try:
            answer = await link.call(call)
        except RelayError:
            self._avoid_relay(call.minion_id)
            raise
        if self._direct_seconds:
            self._direct_seconds.pop(call.minion_id, None)
        return answer

    def submit(self, call: MinionCall, on_answer: AnswerHandler) -> bool:
        """Send a call to a minion through a relay, without a task that waits for the answer.

        :param on_answer: called once with the answer of the minion or the error
        :returns: False when no relay takes the call, so that it has to be sent by ``call``
        """
        link = self._relay_for(call)
        if link is None:
            return False
        link.submit(call, partial(self._process_answer, call.minion_id, on_answer))
        return True

    def _process_answer(
        self, minion_id: str, on_answer: AnswerHandler, answer: MinionAnswer | RelayError
    ) -> None:
        if isinstance(answer, RelayError):
            self._avoid_relay(minion_id)
        elif self._direct_seconds:
            self._direct_seconds.pop(minion_id, None)
        on_answer(answer)

    def _avoid_relay(self, minion_id: str) -> None:
        """Send calls to a minion directly for some time, because a relayed call failed."""
        if minion_id in self._direct_until:
            # Calls that were under way at the same time fail together and count once.
            return
        seconds = self._direct_seconds.get(minion_id, DIRECT_SECONDS)
        self._direct_seconds[minion_id] = min(MAX_DIRECT_SECONDS, 2.0 * seconds)
        self._direct_until[minion_id] = self._clock() + seconds

    def _relay_for(self, call: MinionCall) -> RelayLink | None:
        """Return the relay of a minion; the choice is stable while the set of relays is."""
        if call.minion_id in self._direct_until:
            return None
        minion = (call.failure_domain, call.minion_id)
        chosen = self._chosen_relays.get(minion)
        if chosen is not None and chosen.is_usable:
            return chosen
        best: RelayLink | None = None
        best_rank = -1
        for link in self._relays_by_domain.get(call.failure_domain, ()):
            if not link.is_usable:
                continue
            rank = crc32(f"{link.hello.incarnation}/{call.minion_id}".encode())
            if rank > best_rank:
                best, best_rank = link, rank
        if best is not None:
            if len(self._chosen_relays) >= MAX_CHOSEN_RELAYS:
                self._chosen_relays.clear()
            self._chosen_relays[minion] = best
        return best

    def _choose_relays(self) -> None:
        """Choose the strongest processes of each failure domain, one for each group of minions."""
        by_domain: dict[str, list[RelayLink]] = {}
        for link in self._links.values():
            if link.is_usable:
                by_domain.setdefault(link.hello.failure_domain, []).append(link)
        self._relays_by_domain = {}
        self._chosen_relays.clear()
        for domain, links in by_domain.items():
            links.sort(key=lambda link: (-link.hello.processors, link.hello.incarnation))
            count = ceil(self._minion_counts[domain] / MINIONS_PER_RELAY)
            self._relays_by_domain[domain] = links[:count]
