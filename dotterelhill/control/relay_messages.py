"""Messages between the leader and its relays, the processes that call minions on its behalf."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress
from enum import IntEnum

import aiohttp
import msgspec

from dotterelhill.jobs.shortage.refusal import QueueVerdict
from dotterelhill.jobs.tenants.admission import AdmittedRate

# Each side sends a message at least this often, so that the other one notices a lost connection.
HEARTBEAT_SECONDS = 0.5
# A connection without a message for this time is lost: two heartbeats are missing.
SILENCE_SECONDS = 1.3
MAX_MESSAGE_BYTES = 1 << 24


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """First message of a relay.

    :param incarnation: incarnation id of the process
    :param failure_domain: failure domain of its VM
    :param processors: number of processors that it may use
    :param keeps_prefixes: whether it keeps the prefixes of call bodies
    :param address: ``host:port`` at which it answers as a witness of the leader; empty from builds
        that can't
    :param memory_mb: memory that it may use, in MB; 0 from builds that do not tell it
    """

    incarnation: str
    failure_domain: str
    processors: float
    keeps_prefixes: bool = False
    address: str = ""
    memory_mb: float = 0.0


class RelayedCall(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Call to a minion that the relay has to send.

    :param number: number of the call on this connection
    :param body: body without its prefix
    :param prefix: number of the prefix of the body; 0 for none
    """

    number: int
    address: str
    minion_id: str
    path: str
    body: bytes
    wait_seconds: float
    prefix: int = 0


class CallFailure(IntEnum):
    """Reason for which a relayed call has no answer.

    NOT_REACHED: the call certainly did not reach the minion. NO_ANSWER: its effect is unknown.
    """

    NOT_REACHED = 1
    NO_ANSWER = 2


class RelayedAnswer(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Outcome of a relayed call.

    :param status: HTTP status; 0 when the call failed
    :param failure: reason of the failure; None when there is an answer
    """

    number: int
    status: int
    body: bytes
    failure: CallFailure | None = None
    reason: str = ""


class EntryNotice(msgspec.Struct, frozen=True, array_like=True):
    """What the leader tells entry processes about the configuration, tenants and queues.

    :param config_version: version that the leader holds; 0 when it has none, and from builds that
        do not tell that of a configuration without tenants
    :param config_age_seconds: time since the leader was last known to hold the newest version
    :param rates: rates of the tenants that are over their share; None when the leader can't tell
    :param process_count: number of processes among which the rates are divided
    :param queues: verdicts about the queues whose submissions are refused in part; None when the
        leader can't tell, and from builds that do not tell them
    :param config_holder: ``host:port`` of a process in the failure domain of the receiver that has
        read this version; empty if there is none, or if the receiver has read it
    :param is_full: whether no further job may be accepted, for want of memory
    """

    config_version: int = 0
    config_age_seconds: float = 0.0
    rates: dict[str, AdmittedRate] | None = None
    process_count: int = 1
    queues: dict[str, QueueVerdict] | None = None
    config_holder: str = ""
    is_full: bool = False


class LeaderMessage(msgspec.Struct, frozen=True, array_like=True):
    """Message of the leader to a relay.

    :param incarnation: incarnation id of the leader's process
    :param sent_at: loop time of the leader in seconds
    :param has_claim: whether the leader holds the newest claim that it knows of
    :param is_able: whether the leader can renew that claim
    :param ended_epoch: newest epoch that the process has led and ended; 0 for none
    :param loading_progress: steps of loading done in this term; None when it has loaded, and from
        builds that do not tell it
    :param entry: information for the entry processes
    :param prefixes: prefixes of call bodies that the relay keeps from now on, by number
    :param witness_address: ``host:port`` of the process that will know of the next leader; empty if
        there is none or this relay was told before, and from builds that do not tell it
    """

    incarnation: str
    sent_at: float
    has_claim: bool
    is_able: bool
    calls: list[RelayedCall]
    ended_epoch: int = 0
    loading_progress: int | None = None
    entry: EntryNotice = EntryNotice()
    prefixes: dict[int, bytes] = {}
    witness_address: str = ""


class RelayMessage(msgspec.Struct, frozen=True, array_like=True):
    """Message of a relay to the leader.

    :param is_leaving: whether the process is about to stop and takes no further calls
    :param config_version: version of the configuration that it holds; 0 for none, and from builds
        that do not tell it
    """

    is_leaving: bool
    answers: list[RelayedAnswer]
    config_version: int = 0


ENCODER = msgspec.msgpack.Encoder()
HELLO_DECODER = msgspec.msgpack.Decoder(Hello)
LEADER_DECODER = msgspec.msgpack.Decoder(LeaderMessage)
RELAY_DECODER = msgspec.msgpack.Decoder(RelayMessage)


async def send_until_failure(send: Callable[[], Awaitable[None]]) -> None:
    """Send messages until the connection fails, which its receiving side notices and reports.

    :param send: sends messages until it raises
    """
    with suppress(aiohttp.ClientError, OSError):
        await send()
