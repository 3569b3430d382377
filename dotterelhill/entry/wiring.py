"""Connections between the feeds, membership and the slices that decide."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from hashlib import blake2b

from dotterelhill.batch import Batch
from dotterelhill.entry.relaying import RelayingAppender
from dotterelhill.holdings import Holdings
from dotterelhill.ledger import ControlFeed, ControlRelay, FeedUpdate, Holders
from dotterelhill.ledger.state import Ended, Holding, Incarnation
from dotterelhill.log import LogRecord
from dotterelhill.manifest.feed import ConfigFeed
from dotterelhill.membership import Peer
from dotterelhill.membership.heartbeats import Heartbeat


class PresentHolders:
    """Holders of the present ledger, which is replaced when a snapshot is restored."""

    def __init__(self, feed: ControlFeed) -> None:
        self._feed = feed

    @property
    def joined(self) -> Mapping[str, Incarnation]:
        """Return the joined incarnations."""
        return self._holders.joined

    @property
    def ended(self) -> Mapping[str, Ended]:
        """Return the newest ended incarnations."""
        return self._holders.ended

    @property
    def holdings(self) -> Mapping[str, Holding]:
        """Return the newest holding of each resource."""
        return self._holders.holdings

    @property
    def _holders(self) -> Holders:
        return self._feed.ledger.holders

    def previous_token(self, resource: str) -> int:
        """Return the ``previous`` that the next ``Hold`` of a resource must name."""
        return self._holders.previous_token(resource)


def _scheduler_score(incarnation: str) -> bytes:
    return blake2b(incarnation.encode(), digest_size=8).digest()


def preferred_scheduler(incarnation: str, peers: Iterable[Peer]) -> str:
    """Return the first of the live and ready incarnations by rendezvous hash.

    :param incarnation: this process, which counts as ready
    :param peers: the live peers
    """
    ready = [peer.incarnation for peer in peers if peer.is_ready]
    return max([*ready, incarnation], key=_scheduler_score)


class FeedWiring:
    """Passes what the feeds and peers bring on to holdings, batch and back to the feeds."""

    def __init__(
        self,
        config: ConfigFeed,
        control: ControlFeed,
        holdings: Holdings,
        batch: Batch,
        relaying: RelayingAppender,
    ) -> None:
        self._config = config
        self._control = control
        self._holdings = holdings
        self._batch = batch
        self._relaying = relaying

    def connect(self) -> None:
        """Listen to both feeds."""
        self._config.add_listener(lambda accepted: self._holdings.on_manifest(accepted.manifest))
        self._control.add_listener(self._take_update)

    def take_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take the holdings' part and the relayed evidence of a heartbeat."""
        self._holdings.on_heartbeat(heartbeat)
        if not heartbeat.echo:
            return
        self._config.accept_evidence(
            heartbeat.manifest_version, heartbeat.config_age, heartbeat.echo
        )
        self._control.accept_evidence(
            heartbeat.control_through, heartbeat.control_age, heartbeat.echo
        )

    def control_records(self, start: int, limit: int) -> tuple[LogRecord, ...]:
        """Return the ``control`` records from ``start`` on for a peer."""
        relay = self._control.relay_after(start - 1)
        return relay.records[:limit] if relay else ()

    def take_records(self, start: int, through: int, records: Sequence[LogRecord]) -> None:
        """Take the ``control`` records from ``start`` through an offset that a peer relayed."""
        self._control.accept_relay(ControlRelay(start - 1, tuple(records)))

    def manifest_record(self) -> tuple[int, bytes] | None:
        """Return version and record of the manifest in force, for a peer."""
        current = self._config.current
        return (current.version, current.record) if current else None

    def _take_update(self, update: FeedUpdate) -> None:
        through = self._control.ledger.read_offset
        if update.is_restored:
            self._holdings.on_loaded(through)
            self._batch.note_snapshot_restored()
        for verdict in update.verdicts:
            if verdict.is_accepted and verdict.record is not None:
                self._holdings.on_accepted(verdict.offset, verdict.record)
            self._batch.note_verdict(verdict)
        self._holdings.on_folded(through)
        if update.evidence_at > float("-inf"):
            self._holdings.on_evidence(update.evidence_at, through)
        self._relaying.note_read(self._control.read_evidence_at)
