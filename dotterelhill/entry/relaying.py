"""Appends to ``control`` through a peer while this process can't reach the log."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence
from random import Random

from dotterelhill.log import AppendQueueFullError, BatchedAppender
from dotterelhill.membership.service import Membership

# Age of the newest successful read from which on the log counts as unreachable.
LOG_UNREACHABLE_SECONDS = 3.0
# A record that is appended for a peer is dropped when the log does not accept it within this time,
# since the peer then decides again.
RELAYED_RECORD_TIMEOUT_SECONDS = 2.0


class RelayingAppender:
    """Appender that relays through a peer of another failure domain while the log is unreachable.

    It is only for records whose verdict does not depend on who appends them or when. Records of
    holdings are never relayed, since a promise to append no ``Hold`` would not bind a peer's queue.

    :param appender: appender of this process to the log
    :param random: generator for the choice of a peer
    """

    def __init__(self, appender: BatchedAppender, random: Random) -> None:
        self._appender = appender
        self._random = random
        self._membership: Membership | None = None
        self._last_read_at = float("-inf")
        self._counts: Counter[str] = Counter()

    @property
    def counts(self) -> Counter[str]:
        """Return the counters ``relayed``, ``appended_for_peers`` and ``refused_for_peers``."""
        return self._counts

    @property
    def is_log_unreachable(self) -> bool:
        """Return whether this process has not read the log for 3 s."""
        return asyncio.get_running_loop().time() - self._last_read_at > LOG_UNREACHABLE_SECONDS

    def connect(self, membership: Membership) -> None:
        """Set the membership through which peers are reached."""
        self._membership = membership

    def note_read(self, read_at: float) -> None:
        """Record the loop time of a successful read of the log by this process."""
        self._last_read_at = max(self._last_read_at, read_at)

    def submit(self, data: bytes, *, not_after: float = float("inf")) -> None:
        """Queue a record at this process or at a peer; its verdict is read back from the ledger.

        :param not_after: loop time after which this process no longer sends the record
        :raises AppendQueueFullError: when too many records wait
        """
        addresses = self._relay_addresses()
        if not addresses or self._membership is None:
            self._appender.submit(data, not_after=not_after)
            return
        if self._membership.ask_to_append(self._random.choice(addresses), [data]):
            self._counts["relayed"] += 1

    def append_for_peer(self, records: Sequence[bytes]) -> None:
        """Append records of a peer, unless this process can't reach the log either."""
        if self.is_log_unreachable:
            self._counts["refused_for_peers"] += len(records)
            return
        not_after = asyncio.get_running_loop().time() + RELAYED_RECORD_TIMEOUT_SECONDS
        for record in records:
            try:
                self._appender.submit(record, not_after=not_after)
            except AppendQueueFullError:
                self._counts["refused_for_peers"] += 1
                continue
            self._counts["appended_for_peers"] += 1

    def _relay_addresses(self) -> tuple[str, ...]:
        if self._membership is None or not self.is_log_unreachable:
            return ()
        return self._membership.addresses_in_other_domains(asyncio.get_running_loop().time())
