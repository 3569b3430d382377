"""Services of one entry process, for code that inspects all of them."""

from __future__ import annotations

from dataclasses import dataclass

from dotterelhill.batch import Batch
from dotterelhill.entry.metrics import LocalMetrics
from dotterelhill.entry.relaying import RelayingAppender
from dotterelhill.holdings import Holdings
from dotterelhill.ledger import ControlFeed, SnapshotWriter
from dotterelhill.log import BatchedAppender
from dotterelhill.manifest.feed import ConfigFeed
from dotterelhill.membership.service import Membership
from dotterelhill.membership.transport import ZmqTransport
from dotterelhill.requests import Requests


@dataclass(frozen=True, slots=True)
class Slices:
    """Services of one entry process.

    :param incarnation: incarnation id, new at every start of the process
    """

    incarnation: str
    appender: BatchedAppender
    relaying: RelayingAppender
    config: ConfigFeed
    control: ControlFeed
    snapshots: SnapshotWriter
    holdings: Holdings
    requests: Requests
    batch: Batch
    membership: Membership
    transport: ZmqTransport
    metrics: LocalMetrics
