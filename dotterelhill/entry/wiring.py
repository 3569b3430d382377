"""Connections between the feeds, membership, holdings and batch."""

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


class CurrentHolders:
    """View of the holders in the current ledger, which is replaced when a snapshot is restored."""

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
        """Return the token that the next ``Hold`` of a resource must give as ``previous``."""
        return self._holders.previous_token(resource)


def _scheduler_score(incarnation: str) -> bytes:
    return blake2b(incarnation.encode(), digest_size=8).digest()


def preferred_scheduler(incarnation: str, peers: Iterable[Peer]) -> str:
    """Return the live and ready incarnation with the highest rendezvous hash.

    :param incarnation: incarnation of this process, which counts as ready
    :param peers: the live peers
    """
    ready = [peer.incarnation for peer in peers if peer.is_ready]
    return max([*ready, incarnation], key=_scheduler_score)


class FeedWiring:
    """Passes updates of the feeds and messages of peers on to holdings, batch and the feeds."""

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
        """Register the listeners of both feeds."""
        self._config.add_listener(lambda accepted: self._holdings.on_manifest(accepted.manifest))
        self._control.add_listener(self._apply_update)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Pass a heartbeat to holdings and its relayed evidence to the feeds."""
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
        """Return up to ``limit`` ``control`` records from offset ``start`` on, for a peer."""
        relay = self._control.relay_after(start - 1)
        return relay.records[:limit] if relay else ()

    def handle_relayed_records(
        self, start: int, through: int, records: Sequence[LogRecord]
    ) -> None:
        """Pass the relayed ``control`` records from ``start`` through an offset to the feed."""
        self._control.accept_relay(ControlRelay(start - 1, tuple(records)))

    def manifest_record(self) -> tuple[int, bytes] | None:
        """Return the version and record of the manifest in force, for a peer."""
        current = self._config.current
        return (current.version, current.record) if current else None

    def _apply_update(self, update: FeedUpdate) -> None:
        folded_offset = self._control.ledger.read_offset
        if update.is_restored:
            self._holdings.on_loaded(folded_offset)
            self._batch.note_snapshot_restored()
        for verdict in update.verdicts:
            if verdict.is_accepted and verdict.record is not None:
                self._holdings.on_accepted(verdict.offset, verdict.record)
            self._batch.note_verdict(verdict)
        self._holdings.on_folded(folded_offset)
        if update.evidence_at > float("-inf"):
            self._holdings.on_evidence(update.evidence_at, folded_offset)
        self._relaying.note_read(self._control.read_evidence_at)
