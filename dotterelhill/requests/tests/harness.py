"""Test harness: entry processes, minion stand-ins and fake views in one event loop."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Sequence
from random import Random

import aiohttp

from dotterelhill.holdings import NO_PERMIT, Permit
from dotterelhill.log import LogError, LogRecord, ReadResult
from dotterelhill.manifest import AcceptedManifest, Manifest, manifest_from_document
from dotterelhill.membership import Peer
from dotterelhill.requests import Requests, RequestsSettings
from standins.minion import StandInMinion

DEPLOYMENT_KEY = b"deployment key of the tests"
REGIONS = {"caxias": "serra", "gramado": "serra", "pelotas": "litoral"}


class WaitingSelector(selectors.DefaultSelector):
    """Selector that adds up how long it was asked to wait and did wait."""

    def __init__(self) -> None:
        super().__init__()
        self.waited_seconds = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        started = time.monotonic()
        events = super().select(timeout)
        elapsed = time.monotonic() - started
        self.waited_seconds += elapsed if timeout is None else min(elapsed, max(timeout, 0.0))
        return events


class WaitedTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock stands still while callbacks run or the processor is taken away.

    Callers, entry processes and minions of a scenario share the loop, so deadlines, faults and
    work keep their order on a slow or busy machine, while the sockets stay real.
    """

    def __init__(self) -> None:
        self._waiting_selector = WaitingSelector()
        super().__init__(self._waiting_selector)

    def time(self) -> float:
        return self._waiting_selector.waited_seconds


class FakeManifests:
    def __init__(self) -> None:
        self.current: AcceptedManifest | None = None
        self.evidence_at = 0.0


class FakeHoldings:
    def __init__(self) -> None:
        self.permits: dict[str, Permit] = {}
        self.holders: dict[str, str] = {}

    def permit_for(self, minion: str, now: float) -> Permit:
        return self.permits.get(minion, NO_PERMIT)

    def holder_of(self, resource: str) -> str | None:
        return self.holders.get(resource)

    def worker_token(self, worker: str) -> int | None:
        return None


class FakePeers:
    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.live: list[Entry] = []
        self.leaving: frozenset[str] = frozenset()
        self.last_heard: tuple[Peer, ...] | None = None

    def live_peers(self, now: float) -> tuple[Peer, ...]:
        if self.last_heard is not None:
            return self.last_heard
        return tuple(entry.as_peer(now) for entry in self.live)

    def leaving_vms(self) -> frozenset[str]:
        return self.leaving


class FakeLog:
    """In-memory log with modes for failures: ``down`` and ``lose_answers``."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.appends = 0
        self.mode = "ok"
        self._grown = asyncio.Event()

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        self.appends += 1
        if self.mode == "down":
            raise LogError("connection refused")
        # With different delays one process reads a claim back before the other appends its own.
        await asyncio.sleep(0.004 * (self.appends % 3))
        first = len(self.records) + 1
        self.records += records
        self._grown.set()
        self._grown = asyncio.Event()
        if self.mode == "lose_answers":
            raise LogError("answer lost", is_effect_unknown=True)
        return first

    async def read(
        self, stream: str, start: int, *, limit: int = 1000, wait_seconds: float = 0.0
    ) -> ReadResult:
        if self.mode == "down":
            raise LogError("connection refused")
        if len(self.records) < start:
            try:
                await asyncio.wait_for(self._grown.wait(), wait_seconds)
            except TimeoutError:
                pass
        end = len(self.records) + 1
        found = [LogRecord(at, self.records[at - 1]) for at in range(start, end)][:limit]
        return ReadResult(tuple(found), end, 1)


class Entry:
    """One entry process with fake holdings and peers."""

    def __init__(self, world: World, name: str, domain: str, **settings: object) -> None:
        self.name = name
        self.domain = domain
        self.holdings = FakeHoldings()
        self.holdings.holders = world.holders
        self.peers = FakePeers(f"{name}/0123456789abcdef")
        options = {"balancer_seconds": 0.0, **settings}
        self.requests = Requests(
            RequestsSettings(
                failure_domain=domain,
                region=REGIONS[domain],
                caller_address="127.0.0.1:0",
                forward_address="127.0.0.1:0",
                deployment_key=DEPLOYMENT_KEY,
                **options,  # type: ignore[arg-type]
            ),
            world.manifests,
            self.holdings,
            self.peers,
            world.log,
            Random(7),
        )

    def as_peer(self, now: float) -> Peer:
        return Peer(
            self.peers.incarnation,
            self.domain,
            REGIONS[self.domain],
            self.requests.forward_address,
            True,
            now,
            self.requests.free_slots(),
        )


class Answer:
    """Answer that a caller got.

    :param error: name of the exception when the connection failed, or empty
    """

    def __init__(self, response: aiohttp.ClientResponse | None, body: bytes, error: str) -> None:
        self.status = response.status if response is not None else 0
        self.headers = response.headers if response is not None else {}
        self.body = body
        self.error = error

    @property
    def kind(self) -> str:
        return self.headers.get("Dotterelhill-Error", "")

    @property
    def outcome(self) -> str:
        return self.headers.get("Dotterelhill-Outcome", "")


class World:
    """Manifest, log, minions and entry processes of one scenario."""

    def __init__(self) -> None:
        self.manifests = FakeManifests()
        self.log = FakeLog()
        self.minions: dict[str, StandInMinion] = {}
        self.holders: dict[str, str] = {}
        self.entries: dict[str, Entry] = {}
        self.domains: dict[str, str] = {}
        self.states: dict[str, str] = {}
        self.service: dict[str, object] = {"deadline_seconds": 4.0}
        self.domain_states: dict[str, str] = {}
        self.cross_region = 500_000
        self.limits: dict[str, float] = {"requests_per_second": 5000, "in_flight": 5000}
        self.session: aiohttp.ClientSession | None = None

    async def add_minion(self, name: str, domain: str, slots: int = 8) -> StandInMinion:
        minion = StandInMinion(slots)
        await minion.start()
        self.minions[name] = minion
        self.domains[name] = domain
        self.publish()
        return minion

    async def add_entry(self, name: str, domain: str, **settings: object) -> Entry:
        entry = Entry(self, name, domain, **settings)
        await entry.requests.start()
        for other in self.entries.values():
            other.peers.live.append(entry)
            entry.peers.live.append(other)
        self.entries[name] = entry
        return entry

    def grant(self, entry: str, minion: str, slots: int = 8, connections: int = 64) -> None:
        self.entries[entry].holdings.permits[minion] = Permit(slots, connections)
        if slots:
            self.holders[f"minion:{minion}"] = self.entries[entry].peers.incarnation

    def manifest(self) -> Manifest:
        limits = {"cpu": 1, "memory_gb": 1, **self.limits}
        domains = {
            name: {"region": region, "state": self.domain_states.get(name, "in")}
            for name, region in REGIONS.items()
        }
        minions = {
            name: {
                "address": minion.address,
                "failure_domain": self.domains[name],
                "slots": minion.slots,
                "state": self.states.get(name, "in"),
            }
            for name, minion in self.minions.items()
        }
        common = {"member": "bonsai", **self.service}
        return manifest_from_document(
            {
                "members": {"bonsai": {"limits": limits}},
                "limits": limits,
                "failure_domains": domains,
                "services": {
                    "bancada": {"path_prefix": "/", "minions": minions, **common},
                },
                "cross_region_bytes_per_second": self.cross_region,
            }
        )

    def publish(self) -> None:
        self.manifests.current = AcceptedManifest(1, self.manifest(), b"")

    async def call(
        self, entry: str, method: str = "GET", path: str = "/bench", **options: object
    ) -> Answer:
        if self.session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self.session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
        url = f"http://{self.entries[entry].requests.caller_address}{path}"
        response = None
        try:
            async with self.session.request(method, url, **options) as response:  # type: ignore
                return Answer(response, await response.read(), "")
        except aiohttp.ClientError as error:
            return Answer(response, b"", type(error).__name__)

    async def close(self) -> None:
        if self.session is not None:
            await self.session.close()
        for entry in self.entries.values():
            await entry.requests.stop()
        for minion in self.minions.values():
            await minion.stop()
