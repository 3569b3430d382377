"""Entry process: starts all slices, connects them and stops them in order."""

from __future__ import annotations

import asyncio
import signal
from random import Random
from typing import Any

import aiohttp
import mode

from dotterelhill.batch import Batch, HttpWorker
from dotterelhill.commands.status import ExitStatus
from dotterelhill.core import new_incarnation_id
from dotterelhill.entry.admin import AdminServer
from dotterelhill.entry.inspection import admin_sources, connect_metrics
from dotterelhill.entry.logs import logger_of, start_logging
from dotterelhill.entry.metrics import LocalMetrics, MetricsFlusher, create_metrics
from dotterelhill.entry.relaying import RelayingAppender
from dotterelhill.entry.settings import EntrySettings
from dotterelhill.entry.slices import Slices
from dotterelhill.entry.wiring import CurrentHolders, FeedWiring, preferred_scheduler
from dotterelhill.holdings import Holdings
from dotterelhill.ledger import ControlFeed, FeedUpdate, SnapshotWriter
from dotterelhill.log import BatchedAppender, HttpLog
from dotterelhill.manifest.feed import ConfigFeed
from dotterelhill.membership import Peer
from dotterelhill.membership.heartbeats import PeerMessage
from dotterelhill.membership.service import Membership, MembershipHooks, MembershipSettings
from dotterelhill.membership.transport import CurveKeys, ZmqTransport
from dotterelhill.membership.view import OwnState
from dotterelhill.membership.vm_list import HttpVmList, Vm, VmRole
from dotterelhill.replay.execution_slice import ExecutionArguments
from dotterelhill.replay.holdings_slice import HoldingsArguments
from dotterelhill.replay.membership_slice import MembershipArguments
from dotterelhill.replay.recorder import open_recorder
from dotterelhill.replay.slices import registered_slice
from dotterelhill.requests import Requests, RequestsSettings

CONTROL_STREAM = "control"
# Limits each process to 4 appends per second, see docs/design.md, section 4.
CONTROL_SPACING_SECONDS = 0.25
LEAVE_TIMEOUT_SECONDS = 5.0
USAGE_INTERVAL_SECONDS = 5.0
# Longer than it takes to restore the ledger from a reachable log (about 0.3 s at the target size).
STATE_REQUEST_INTERVAL_SECONDS = 2.0
# Largest age of the evidence of the control stream with which a process acts as the scheduler.
SCHEDULER_EVIDENCE_SECONDS = 3.0

_log = logger_of("entry")


class _DeferredPeers:
    """View of the peers that slices can get before membership exists; it is empty until then."""

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self.membership: Membership | None = None

    @property
    def incarnation(self) -> str:
        return self._incarnation

    def live_peers(self, now: float) -> tuple[Peer, ...]:
        return self.membership.live_peers(now) if self.membership else ()

    def leaving_vms(self) -> frozenset[str]:
        return self.membership.leaving_vms() if self.membership else frozenset()


class EntryProcess(mode.Service):
    """Service that runs all slices of one entry process.

    :param settings: validated settings
    :param random: generator for jitter and random choices
    """

    def __init__(self, settings: EntrySettings, random: Random | None = None) -> None:
        super().__init__()
        self._settings = settings
        self._random = random or Random()
        self._incarnation = new_incarnation_id(settings.entry_name)
        self._peers = _DeferredPeers(self._incarnation)
        self._log_adapter = HttpLog(settings.log_url)
        self._metrics: LocalMetrics = create_metrics(settings.statsd_host, settings.statsd_port)
        self._appender = BatchedAppender(
            self._log_adapter,
            CONTROL_STREAM,
            spacing_seconds=CONTROL_SPACING_SECONDS,
            rng=self._random,
        )
        self._relaying = RelayingAppender(self._appender, self._random)
        self._config = ConfigFeed(self._log_adapter, rng=self._random)
        self._control = ControlFeed(
            self._log_adapter, self._config, append=self._appender.submit, rng=self._random
        )
        self._snapshots = SnapshotWriter(
            self._log_adapter,
            self._control,
            retention_seconds=settings.log_retention_seconds,
            rng=self._random,
        )
        self._holdings = Holdings(
            settings.entry_name,
            settings.failure_domain,
            CurrentHolders(self._control),
            self._appender,
            self._peers,
            self._in_flight_at,
            self._close_idle,
            decision=self._build_decision(
                "holdings",
                HoldingsArguments(self._incarnation, settings.entry_name, settings.failure_domain),
            ),
        )
        self._requests = Requests(
            self._requests_settings(),
            self._config,
            self._holdings,
            self._peers,
            self._log_adapter,
            self._random,
            self._metrics,
        )
        self._batch = Batch(
            incarnation=self._incarnation,
            failure_domain=settings.failure_domain,
            ledger=self._control,
            manifests=self._config,
            holdings=self._holdings,
            appender=self._relaying,
            worker_names=self._worker_names,
            worker_of=self._worker_client,
            is_scheduler=self._is_scheduler,
            execution=self._build_decision("execution", ExecutionArguments()),
        )
        self._wiring = FeedWiring(
            self._config, self._control, self._holdings, self._batch, self._relaying
        )
        self._transport = ZmqTransport(
            f"{settings.listen_host}:{settings.peer_port}",
            CurveKeys(settings.peer_public_key, settings.peer_secret_key.get_secret_value()),
            self._receive,
        )
        self._worker_clients: dict[str, HttpWorker] = {}
        self._worker_addresses: dict[str, str] = {}
        self._own_domain_workers: tuple[str, ...] = ()
        self._is_stopping = False

    @property
    def incarnation(self) -> str:
        """Return the incarnation id, which is new at every start."""
        return self._incarnation

    @property
    def ready_line(self) -> str:
        """Return the line that reports every bound address."""
        addresses = {
            "caller": self._requests.caller_address,
            "forward": self._requests.forward_address,
            "peer": self._transport.address,
            "admin": f"{self._settings.admin_host}:{self._admin.bound_port}",
        }
        return "listening " + " ".join(f"{name}={value}" for name, value in addresses.items())

    async def on_start(self) -> None:
        """Start the slices, those that others depend on first."""
        self._session = aiohttp.ClientSession()
        self._wiring.connect()
        self._control.add_listener(self._update_snapshot_writer)
        base_services: tuple[mode.Service, ...] = (
            self._transport,
            self._appender,
            self._requests,
        )
        for service in base_services:
            await self.add_runtime_dependency(service)
        self._membership = self._create_membership()
        self._peers.membership = self._membership
        self._relaying.connect(self._membership)
        slices = self._create_slices()
        connect_metrics(slices, self._unready_reasons)
        self._admin = AdminServer(
            self._settings.admin_host,
            self._settings.admin_port,
            admin_sources(slices, self._unready_reasons),
        )
        other_services: tuple[mode.Service, ...] = (
            self._membership,
            self._control,
            self._snapshots,
            self._holdings,
            self._batch,
            self._admin,
            MetricsFlusher(self._metrics),
        )
        for service in other_services:
            await self.add_runtime_dependency(service)
        _log.info("entry process started", extra={"incarnation": self._incarnation})

    async def leave(self) -> None:
        """Finish the requests in flight and release all holdings; the slices keep running."""
        self._is_stopping = True
        await self._requests.drain()
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_SECONDS):
                await self._holdings.leave()
        except TimeoutError:
            _log.warning("Leave not acknowledged by the log in time; successors wait for the lease")

    async def on_shutdown(self) -> None:
        """Close the connections that the slices share."""
        await self._session.close()
        await self._log_adapter.close()

    def _create_slices(self) -> Slices:
        return Slices(
            incarnation=self._incarnation,
            appender=self._appender,
            relaying=self._relaying,
            config=self._config,
            control=self._control,
            snapshots=self._snapshots,
            holdings=self._holdings,
            requests=self._requests,
            batch=self._batch,
            membership=self._membership,
            transport=self._transport,
            metrics=self._metrics,
        )

    def _requests_settings(self) -> RequestsSettings:
        settings = self._settings
        return RequestsSettings(
            failure_domain=settings.failure_domain,
            region=settings.region,
            caller_address=f"{settings.listen_host}:{settings.caller_port}",
            forward_address=f"{settings.listen_host}:{settings.forward_port}",
            deployment_key=settings.deployment_key.get_secret_value().encode(),
            balancer_seconds=settings.balancer_delay_seconds,
        )

    def _create_membership(self) -> Membership:
        settings = self._settings
        membership_settings = MembershipSettings(
            incarnation=self._incarnation,
            entry=settings.entry_name,
            failure_domain=settings.failure_domain,
            region=settings.region,
            peer_address=self._transport.address,
            forward_address=self._requests.forward_address,
        )
        hooks = MembershipHooks(
            own_state=self._own_state,
            promise_to=self._holdings.promise_to,
            manifest_record=self._wiring.manifest_record,
            control_records=self._wiring.control_records,
            on_heartbeat=self._wiring.handle_heartbeat,
            on_live_changed=self._holdings.on_live_changed,
            on_manifest=self._config.accept_relayed,
            on_records=self._wiring.handle_relayed_records,
            encoded_state=self._control.encoded_state,
            on_state=self._control.accept_state,
            on_usage_summary=self._batch.merge_usage_summary,
            on_append_wanted=self._relaying.append_for_peer,
            on_vms=self._on_vms,
        )
        vm_list = HttpVmList(settings.vm_list_url, self._session)
        arguments = MembershipArguments(
            membership_settings.incarnation,
            membership_settings.failure_domain,
            membership_settings.region,
            membership_settings.peer_address,
            membership_settings.forward_address,
            membership_settings.seeds,
        )
        decision = self._build_decision("membership", arguments)
        return Membership(membership_settings, self._transport, vm_list, hooks, decision)

    def _update_snapshot_writer(self, update: FeedUpdate) -> None:
        self._snapshots.set_active(self._is_scheduler())

    def _receive(self, message: PeerMessage) -> None:
        if self._peers.membership is not None:
            self._peers.membership.receive(message)

    def _on_vms(self, vms: tuple[Vm, ...]) -> None:
        workers = [vm for vm in vms if vm.role is VmRole.WORKER]
        own_domain = self._settings.failure_domain
        # The scheduler evicts tasks for urgent work on workers of any domain; this process renews
        # leases only for workers of its own domain.
        self._worker_addresses = {vm.name: vm.address for vm in workers}
        self._own_domain_workers = tuple(
            vm.name for vm in workers if vm.failure_domain == own_domain
        )
        self._holdings.on_workers(self._own_domain_workers)

    def _worker_names(self) -> tuple[str, ...]:
        return self._own_domain_workers

    def _worker_client(self, name: str) -> HttpWorker:
        address = self._worker_addresses[name]
        client = self._worker_clients.get(address)
        if client is None:
            client = self._worker_clients[address] = HttpWorker(self._session, address)
        return client

    def _in_flight_at(self, minion: str) -> int:
        return self._requests.in_flight_at(minion)

    def _close_idle(self, minion: str) -> None:
        self._requests.close_idle(minion)

    def _is_scheduler(self) -> bool:
        now = self.loop.time()
        if now - self._control.evidence_at > SCHEDULER_EVIDENCE_SECONDS or self._is_stopping:
            return False
        return self._preferred_scheduler() == self._incarnation

    def _preferred_scheduler(self) -> str:
        return preferred_scheduler(self._incarnation, self._peers.live_peers(self.loop.time()))

    @mode.Service.timer(STATE_REQUEST_INTERVAL_SECONDS)
    async def _request_state(self) -> None:
        """Ask a ready peer for the ledger until it is restored."""
        if self._control.is_restored:
            return
        peers = [peer for peer in self._peers.live_peers(self.loop.time()) if peer.is_ready]
        if peers:
            self._membership.ask_for_state(self._random.choice(peers).incarnation)

    @mode.Service.timer(USAGE_INTERVAL_SECONDS)
    async def _send_usage(self) -> None:
        scheduler = self._preferred_scheduler()
        if scheduler != self._incarnation:
            self._membership.send_usage_summary(scheduler, self._batch.usage_summary())

    def _own_state(self) -> OwnState:
        now = self.loop.time()
        return OwnState(
            is_ready=not self._unready_reasons(),
            manifest_version=self._config.version,
            control_offset=self._holdings.folded_control_offset,
            control_through=self._holdings.folded_control_offset,
            config_age=now - self._config.evidence_at,
            control_age=now - self._control.evidence_at,
            free_slots=self._requests.free_slots(),
        )

    def _unready_reasons(self) -> tuple[str, ...]:
        reasons = []
        if self._is_stopping:
            reasons.append("this process stops")
        if self._config.current is None:
            reasons.append("no manifest is known")
        if not self._control.is_restored:
            reasons.append(self._control.problem)
        return tuple(reasons)

    def _build_decision(self, name: str, arguments: Any) -> Any:
        """Return the decision code of a slice, recorded if the settings name a trace file."""
        replayable = registered_slice(name)
        assert replayable is not None
        settings = self._settings
        if not settings.trace_file:
            return replayable.build(arguments)
        return open_recorder(
            replayable,
            arguments,
            settings.trace_file,
            settings.trace_bytes,
            incarnation=self._incarnation,
            on_count=lambda counter: self._metrics.count(counter, label=name),
        )


async def _run_until_stopped(settings: EntrySettings) -> ExitStatus:
    process = EntryProcess(settings)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for stop_signal in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(stop_signal, stop_requested.set)
    await process.start()
    print(process.ready_line, flush=True)
    try:
        await process.wait(stop_requested.wait())
    except Exception:
        _log.exception("a slice crashed; the process exits and must be restarted")
    if not process.crashed:
        await process.leave()
    await process.stop()
    return ExitStatus.INTERNAL if process.crashed else ExitStatus.DONE


def run_entry(settings: EntrySettings) -> int:
    """Run one entry process until SIGTERM or SIGINT and return its exit status.

    A crash of any slice ends the whole process: with only some of its slices left, it would still
    answer health checks but renew no lease.
    """
    handler = start_logging(settings.entry_name, settings.log_level)
    try:
        return asyncio.run(_run_until_stopped(settings))
    finally:
        handler.pop_application()
