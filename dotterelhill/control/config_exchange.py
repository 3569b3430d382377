"""Versions of the configuration that pass between processes.

Explanation
===========

Each process follows the configuration in the store by itself. The store may turn a process away
while it serves the operators and all others, and a connection may be dead without a sign. So the
leader names the version that it holds to all processes, and they name theirs to the leader. One
that is behind reads the stream anew, and then asks another process for the version. No process
decides by this way whether a version exists: all of them were read from the store.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Protocol

import mode

from dotterelhill.control.currency import ConfigurationCurrency
from dotterelhill.control.feeds import ConfigurationFeed
from dotterelhill.control.interface import Record
from dotterelhill.control.leader import Leader
from dotterelhill.control.peers import PeerUnreachableError
from dotterelhill.control.relay_messages import EntryNotice
from dotterelhill.entry.logs import logger_of

# A process in the same failure domain is asked once the own read and its repetition over another
# connection have had time.
ASK_HOLDER_SECONDS = 0.8
# All processes of a region share the link to the store, and may read a large version over it.
ASK_LEADER_SECONDS = 1.5
STEP_SECONDS = 0.2
RETRY_SECONDS = (0.2, 0.5)

_log = logger_of("config")


class ConfigurationPeers(Protocol):
    """Client that asks other processes for their configuration."""

    async def configuration(self, address: str, held: int) -> Record:
        """Return the record of a configuration that is newer than one.

        :param held: version that this process holds
        :raises PeerUnreachableError: when the peer has no newer one or gives no usable answer
        """
        ...


class ConfigurationExchange(mode.Service):
    """Service that gets versions from other processes that this one can't read in time.

    :param currency: tells which versions other processes have read
    :param feed: configuration of this process
    :param leader_address: returns the address of the leader; empty while none is known
    :param clock: returns seconds; keeps counting while the process is suspended
    """

    def __init__(
        self,
        currency: ConfigurationCurrency,
        feed: ConfigurationFeed,
        peers: ConfigurationPeers,
        leader_address: Callable[[], str],
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        super().__init__()
        self._currency = currency
        self._feed = feed
        self._peers = peers
        self._leader_address = leader_address
        self._clock = clock
        self._random = random

    @mode.Service.task
    async def _catch_up(self) -> None:
        while not self.should_stop:
            await self._currency.is_behind.wait()
            pending = self._currency.pending
            if pending is None:
                continue
            self._currency.refresh_if_due()
            wait_seconds = ASK_HOLDER_SECONDS if pending.holder else ASK_LEADER_SECONDS
            left_seconds = pending.behind_since + wait_seconds - self._clock()
            address = pending.holder or self._leader_address()
            is_arriving = not pending.holder and self._currency.is_receiving
            if left_seconds > 0.0 or not address or is_arriving:
                # A holder may become known meanwhile.
                await asyncio.sleep(STEP_SECONDS)
                continue
            await self._ask(address)
            await asyncio.sleep(self._random.uniform(*RETRY_SECONDS))

    async def _ask(self, address: str) -> None:
        """Get the newest configuration of another process and apply it."""
        held = self._feed.config.version
        try:
            record = await self._peers.configuration(address, held)
        except PeerUnreachableError as error:
            _log.debug("no configuration from a peer", extra={"reason": str(error)})
            return
        self._feed.apply_record_of_peer(record)


def entry_notice(feed: ConfigurationFeed, age_seconds: float, leader: Leader | None) -> EntryNotice:
    """Return what a leader tells the entry processes.

    :param age_seconds: time since the configuration was known to be the newest one
    :param leader: term of leadership of this process; None while it does not lead
    """
    config = feed.config
    queues = None if leader is None else leader.queue_verdicts()
    is_full = leader is not None and leader.is_full
    rates = None
    if leader is not None and config.tenants:
        rates = leader.admitted_rates()
    if leader is None or rates is None:
        return EntryNotice(config.version, age_seconds, queues=queues, is_full=is_full)
    process_count = leader.relays.link_count + 1
    return EntryNotice(config.version, age_seconds, rates, process_count, queues, is_full=is_full)
