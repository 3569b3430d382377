"""Stored bounds of the leases of minions that the leader can't reach.

Explanation
===========

A leader that takes over must wait until the leases of minions that it can't reach have ended, and
an earlier leader may have renewed them until the end of its term. Without a record, each takeover
in a row would begin this wait anew. So the leader stores how long the lease of such a minion lasts
at most, and renews it again only when a later record without the minion is durable.
"""

from __future__ import annotations

import msgspec

from dotterelhill.control.leadership import MAX_CLOCK_DRIFT, LeaderClock

# Key of the record in the progress stream. Job ids contain no "@".
LEASES_KEY = "@leases"


class LeaseRecord(msgspec.Struct, frozen=True, array_like=True):
    """Record of leases that are not renewed.

    :param epoch: epoch of the leader that stored it
    :param sent_at: time of that leader in seconds before it sent the record
    :param remaining_ms: longest time until the end of the lease from then on, by
        ``minion_id@born_ms``
    """

    epoch: int
    sent_at: float
    remaining_ms: dict[str, int]

    def lease_ends(self, fenced_at: float, clock: LeaderClock | None) -> dict[str, float]:
        """Return the times of this process by which the leases have certainly ended.

        :param fenced_at: time of this process after which the record can't have been sent
        :param clock: reading of the clock of the leader that stored it; None when there is none

        >>> record = LeaseRecord(4, 100.0, {"m1@1": 4900})
        >>> record.lease_ends(912.0, None)
        {'m1@1': 917.0}
        >>> record.lease_ends(912.0, LeaderClock("a/1", 100.0, 910.0))
        {'m1@1': 915.0}
        """
        sent_at = fenced_at
        if clock is not None:
            sent_at = min(sent_at, clock.latest_time_of(self.sent_at))
        ends = {}
        for incarnation, milliseconds in self.remaining_ms.items():
            ends[incarnation] = sent_at + milliseconds / 1000.0 / (1.0 - MAX_CLOCK_DRIFT)
        return ends


_DECODER = msgspec.msgpack.Decoder(LeaseRecord)


def encode_leases(record: LeaseRecord) -> bytes:
    """Return the stored form of a record."""
    return msgspec.msgpack.encode(record)


def decode_leases(data: bytes) -> LeaseRecord:
    """Return the record that its stored form holds.

    :raises msgspec.MsgspecError: when it is in another form
    """
    return _DECODER.decode(data)
