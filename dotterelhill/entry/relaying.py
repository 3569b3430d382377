"""Appends to ``control`` through a peer while the log can't be reached from here."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence
from random import Random

from dotterelhill.log import AppendQueueFullError, BatchedAppender
from dotterelhill.membership.service import Membership

# Age of the newest successful read after which the log counts as out of reach.
CUT_OFF_SECONDS = 3.0
# A record that a peer appends for another is dropped when the log does not take it by then, as the
# one who asked then decides anew.
RELAYED_RECORD_SECONDS = 2.0


class RelayingAppender:
    """Appender that asks a peer of another failure domain when the own way to the log is cut.

    Only for records whose verdict does not depend on who appends them or when: holdings go through
    the own way alone, since a promise to append no ``Hold`` would not bind a peer's queue.
    """

    def __init__(self, appender: BatchedAppender, random: Random) -> None:
        self._appender = appender
        self._random = random
        self._membership: Membership | None = None
        self._read_at = float("-inf")
        self._counts: Counter[str] = Counter()

    @property
    def counts(self) -> Counter[str]:
        """Return the counters ``relayed``, ``appended_for_peers`` and ``refused_for_peers``."""
        return self._counts

    @property
    def is_cut_off(self) -> bool:
        """Return whether the log was not read from here for 3 s."""
        return asyncio.get_running_loop().time() - self._read_at > CUT_OFF_SECONDS

    def connect(self, membership: Membership) -> None:
        """Set the way to the peers."""
        self._membership = membership

    def note_read(self, read_at: float) -> None:
        """Note the loop time of a successful read of the log by this process."""
        self._read_at = max(self._read_at, read_at)

    def submit(self, data: bytes, *, not_after: float = float("inf")) -> None:
        """Queue a record here or at a peer; its verdict is read back from the ledger.

        :param not_after: loop time after which the record is not sent any more
        :raises AppendQueueFullError: when too many records wait
        """
        addresses = self._outside_addresses()
        if not addresses or self._membership is None:
            self._appender.submit(data, not_after=not_after)
            return
        if self._membership.ask_to_append(self._random.choice(addresses), [data]):
            self._counts["relayed"] += 1

    def append_for_peer(self, records: Sequence[bytes]) -> None:
        """Append records of a peer that can't reach the log, unless this process can't either."""
        if self.is_cut_off:
            self._counts["refused_for_peers"] += len(records)
            return
        not_after = asyncio.get_running_loop().time() + RELAYED_RECORD_SECONDS
        for record in records:
            try:
                self._appender.submit(record, not_after=not_after)
            except AppendQueueFullError:
                self._counts["refused_for_peers"] += 1
                continue
            self._counts["appended_for_peers"] += 1

    def _outside_addresses(self) -> tuple[str, ...]:
        if self._membership is None or not self.is_cut_off:
            return ()
        return self._membership.addresses_in_other_domains(asyncio.get_running_loop().time())
