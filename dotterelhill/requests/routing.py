"""Load balancing over minions, ejection of unhealthy ones, and choice of a peer to forward to."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random
from statistics import median

from dotterelhill.manifest import DomainState, Manifest, MinionState, Service
from dotterelhill.membership import Peer

EJECT_AFTER_FAILURES = 5
EJECT_LATENCY_RATIO = 5.0
EJECT_SECONDS = 5.0
MAX_EJECT_SECONDS = 60.0
MAX_EJECTED_SHARE = 0.3
# Answers of a minion before its latency is compared with the median.
MIN_SAMPLES = 10
# Weight of the newest answer in the exponentially smoothed latency.
SMOOTHING_WEIGHT = 0.2
# A latency below this never ejects a minion, whatever its ratio to the median.
NOISE_SECONDS = 0.02
INITIAL_LATENCY_SECONDS = 0.01


@dataclass(frozen=True, slots=True)
class Candidate:
    """Minion that may get the request.

    :param minion: name of the minion
    :param in_flight: slots in use, those of abandoned requests included
    """

    minion: str
    in_flight: int


@dataclass(slots=True)
class _Health:
    latency_seconds: float = INITIAL_LATENCY_SECONDS
    sample_count: int = 0
    consecutive_failures: int = 0
    ejected_until: float = -math.inf
    eject_seconds: float = 0.0
    is_ejected: bool = False
    is_probed: bool = False


def usable_minions(manifest: Manifest, service: Service, leaving: frozenset[str]) -> list[str]:
    """Return the sorted names of a service's minions that may get new requests.

    :param leaving: names or hosts of minions that the VM list marks as leaving
    """
    usable = []
    for name, minion in sorted(service.minions.items()):
        if minion.state is MinionState.LEAVING or name in leaving:
            continue
        if minion.address.rpartition(":")[0] in leaving:
            continue
        if manifest.failure_domains[minion.failure_domain].state is not DomainState.IN:
            continue
        usable.append(name)
    return usable


class UsableMinionCache:
    """Cache of the usable minions of each service for one manifest and VM list."""

    def __init__(self) -> None:
        self._manifest: Manifest | None = None
        self._leaving: frozenset[str] = frozenset()
        self._names: dict[str, tuple[str, ...]] = {}

    def names_for(
        self, manifest: Manifest, service: str, leaving: frozenset[str]
    ) -> tuple[str, ...]:
        """Return the usable minions of a service; see ``usable_minions``."""
        if manifest is not self._manifest or leaving != self._leaving:
            self._manifest, self._leaving, self._names = manifest, leaving, {}
        names = self._names.get(service)
        if names is None:
            names = tuple(usable_minions(manifest, manifest.services[service], leaving))
            self._names[service] = names
        return names


class Routing:
    """Load balancer of one process: tracks the health of minions and chooses among them.

    :param random: seeded generator
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._health: dict[str, _Health] = {}

    def ejected(self) -> frozenset[str]:
        """Return the ejected minions, which get only probe requests."""
        return frozenset(name for name, health in self._health.items() if health.is_ejected)

    def dump(self) -> dict[str, dict[str, float]]:
        """Return the health of each minion, for the state dump."""
        return {
            name: {
                "smoothed_seconds": health.latency_seconds,
                "failures_in_a_row": health.consecutive_failures,
                "is_ejected": health.is_ejected,
                "ejected_until": health.ejected_until if health.is_ejected else 0.0,
            }
            for name, health in self._health.items()
        }

    def choose(self, candidates: Sequence[Candidate], now: float) -> str | None:
        """Return the minion for the next request, or None when none is available.

        Of two random candidates the one with the shorter expected wait is chosen. A minion whose
        ejection time is over gets a single probe request first.
        """
        healthy = []
        for candidate in candidates:
            health = self._health_of(candidate.minion)
            if not health.is_ejected:
                healthy.append(candidate)
                continue
            if health.ejected_until <= now and not health.is_probed:
                health.is_probed = True
                return candidate.minion
        if not healthy:
            return None
        pair = self._random.sample(healthy, min(2, len(healthy)))
        return min(pair, key=self._expected_wait).minion

    def record_answer(
        self, minion: str, latency_seconds: float, group: Sequence[str], now: float
    ) -> None:
        """Record the latency of an answer and eject the minion when it is too slow.

        :param latency_seconds: from dispatch to the head of the answer
        :param group: minions of the same service and failure domain, this one included
        """
        health = self._health_of(minion)
        health.consecutive_failures = 0
        health.sample_count += 1
        health.latency_seconds += SMOOTHING_WEIGHT * (latency_seconds - health.latency_seconds)
        if health.is_ejected and health.is_probed:
            self._restore(health)
            return
        if self._is_slow(minion, group):
            self._eject(minion, group, now)

    def record_failure(self, minion: str, group: Sequence[str], now: float) -> None:
        """Record a failed attempt and eject the minion after too many; see ``record_answer``."""
        health = self._health_of(minion)
        health.consecutive_failures += 1
        if health.is_ejected and health.is_probed:
            health.is_probed = False
            self._extend_ejection(health, now)
            return
        if health.consecutive_failures >= EJECT_AFTER_FAILURES:
            self._eject(minion, group, now)

    def record_unused(self, minion: str) -> None:
        """Undo a choice that led to no answer or failure, so that a probe can be sent again."""
        self._health_of(minion).is_probed = False

    def retain(self, minions: Iterable[str]) -> None:
        """Remove the health of all other minions."""
        kept = frozenset(minions)
        self._health = {name: item for name, item in self._health.items() if name in kept}

    def _health_of(self, minion: str) -> _Health:
        return self._health.setdefault(minion, _Health())

    def _expected_wait(self, candidate: Candidate) -> float:
        return (candidate.in_flight + 1) * self._health_of(candidate.minion).latency_seconds

    def _is_slow(self, minion: str, group: Sequence[str]) -> bool:
        health = self._health_of(minion)
        others = [self._health_of(name) for name in group if name != minion]
        known = [item.latency_seconds for item in others if item.sample_count >= MIN_SAMPLES]
        if health.sample_count < MIN_SAMPLES or len(known) < 2:
            return False
        bound = max(EJECT_LATENCY_RATIO * median([*known, health.latency_seconds]), NOISE_SECONDS)
        return health.latency_seconds > bound

    def _eject(self, minion: str, group: Sequence[str], now: float) -> None:
        health = self._health_of(minion)
        if health.is_ejected or len(group) < 2:
            return
        # The share alone would allow no ejection of two or three minions; one is allowed.
        max_ejected = max(1, math.floor(len(group) * MAX_EJECTED_SHARE))
        if sum(self._health_of(name).is_ejected for name in group) >= max_ejected:
            return
        health.is_ejected = True
        self._extend_ejection(health, now)

    def _extend_ejection(self, health: _Health, now: float) -> None:
        doubled = health.eject_seconds * 2 if health.eject_seconds else EJECT_SECONDS
        health.eject_seconds = min(MAX_EJECT_SECONDS, doubled)
        health.ejected_until = now + health.eject_seconds

    def _restore(self, health: _Health) -> None:
        health.is_ejected = health.is_probed = False
        health.eject_seconds = 0.0
        # The latency is measured anew from the answers after the return.
        health.sample_count = 0
        health.latency_seconds = INITIAL_LATENCY_SECONDS


class PeerSelector:
    """Chooses the peer for a request that this process has no free slot for.

    :param failure_domain: of this process
    :param region: of this process
    :param random: seeded generator
    """

    def __init__(self, failure_domain: str, region: str, random: Random) -> None:
        self._failure_domain = failure_domain
        self._region = region
        self._random = random
        self._sent_counts: dict[str, tuple[float, int]] = {}

    def choose(
        self,
        peers: Sequence[Peer],
        service: str,
        manifest: Manifest,
        *,
        may_cross_regions: bool,
        min_free_slots: int = 1,
    ) -> Peer | None:
        """Return a peer with free slots in the own domain, else own region, else other regions.

        :param may_cross_regions: whether the cap on bytes between regions allows another region
        :param min_free_slots: fewest free slots of the peer; a number below 0 lets requests
            wait in the peer's queue
        :returns: None when no peer qualifies
        """
        tiers: list[list[Peer]] = [[], [], []]
        for peer in peers:
            domain = manifest.failure_domains.get(peer.failure_domain)
            if domain is None or domain.state is not DomainState.IN or not peer.is_ready:
                continue
            if self.free_slots(peer, service) < min_free_slots:
                continue
            tiers[self._distance(peer)].append(peer)
        for distance, tier in enumerate(tiers):
            if not tier or (distance == 2 and not may_cross_regions):
                continue
            pair = self._random.sample(tier, min(2, len(tier)))
            return max(pair, key=lambda peer: self.free_slots(peer, service))
        return None

    def is_other_region(self, peer: Peer) -> bool:
        """Return whether the peer is in another region."""
        return peer.region != self._region

    def record_sent(self, peer: Peer) -> None:
        """Subtract a forwarded request from the free slots of the peer's newest heartbeat."""
        self._sent_counts[peer.incarnation] = (peer.heard_at, self._net_sent_count(peer) + 1)

    def record_settled(self, peer: Peer) -> None:
        """Add the slot of a finished request to the free slots until the next heartbeat."""
        heard_at, count = self._sent_counts.get(peer.incarnation, (peer.heard_at, 0))
        self._sent_counts[peer.incarnation] = (heard_at, count - 1)

    def retain(self, incarnations: Iterable[str]) -> None:
        """Remove the counts of all other peers."""
        kept = frozenset(incarnations)
        self._sent_counts = {name: item for name, item in self._sent_counts.items() if name in kept}

    def free_slots(self, peer: Peer, service: str) -> int:
        """Return the free slots of the last heartbeat, less requests sent and not settled since."""
        return peer.free_slots.get(service, 0) - self._net_sent_count(peer)

    def _net_sent_count(self, peer: Peer) -> int:
        heard_at, count = self._sent_counts.get(peer.incarnation, (peer.heard_at, 0))
        return count if heard_at == peer.heard_at else 0

    def _distance(self, peer: Peer) -> int:
        if peer.failure_domain == self._failure_domain:
            return 0
        return 1 if peer.region == self._region else 2
