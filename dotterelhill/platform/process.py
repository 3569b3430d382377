"""Scheduler process on the platform: creates, starts and stops all of its services."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from collections.abc import Mapping
from contextlib import suppress
from math import inf
from pathlib import Path
from random import Random

import aiohttp
import mode

from dotterelhill.control.config_exchange import ConfigurationExchange, entry_notice
from dotterelhill.control.currency import ConfigurationCurrency
from dotterelhill.control.election import MAX_START_DELAY_SECONDS, Election
from dotterelhill.control.feeds import (
    CONFIGURATION_WAIT_SECONDS,
    ConfigurationFeed,
    Follower,
)
from dotterelhill.control.health import ObservedStore
from dotterelhill.control.interface import StoreLimits, Stream
from dotterelhill.control.job_service import JobService
from dotterelhill.control.leader import Leader, LeaderParts
from dotterelhill.control.leadership import Leadership
from dotterelhill.control.loop_lag import LoopLag
from dotterelhill.control.metrics_server import MetricsServer
from dotterelhill.control.peers import PeerClient, PeerServer
from dotterelhill.control.relay_client import RelayClient
from dotterelhill.control.relay_messages import EntryNotice, Hello
from dotterelhill.control.relay_pool import RelayPool
from dotterelhill.control.work_slices import WorkSlices
from dotterelhill.core import new_incarnation_id
from dotterelhill.entry.logs import BoundedStream, logger_of, start_logging
from dotterelhill.entry.metrics import LocalMetrics
from dotterelhill.jobs.changes import SchedulerSettings
from dotterelhill.jobs.shortage.entry import QueueAdmission
from dotterelhill.jobs.shortage.refusal import QueueVerdict
from dotterelhill.jobs.tenants.admission import EntryAdmission
from dotterelhill.platform.ingress import Ingress
from dotterelhill.platform.minions import HttpMinionCaller, PlatformMinions
from dotterelhill.platform.records import PlatformRecords
from dotterelhill.platform.settings import (
    SETTINGS_VARIABLE,
    ProcessSettings,
    SettingsError,
    load_settings,
)
from dotterelhill.platform.store import PlatformStore

# The load balancer checks readiness every second and stops sending clients after two failures.
BALANCER_REMOVAL_SECONDS = 2.5
# Part of the time to stop that is reserved for closing connections and exiting.
CLOSING_RESERVE_SECONDS = 1.5
# Also stated in deploy/system.toml, which takes no port from the settings.
METRICS_PORT = 9464
KEEPALIVE_SECONDS = 60.0
CLOSE_TIMEOUT_SECONDS = 0.8
RESIGN_TIMEOUT_SECONDS = 1.0
# Polls and orders share the connections to a minion; a poll occupies one while it waits.
MAX_MINION_CONNECTIONS = 8
# The configuration is read over a connection of its own. When that stops responding, the next
# attempt opens a new one; otherwise it might take another dead connection from the pool.
MAX_CONFIG_CONNECTIONS = 1
# The leader has a long poll open on each partition; its appends and renewals must not queue
# behind them.
MAX_STORE_CONNECTIONS = 64
# Largest value of the gauge; the age is infinite before the first read.
LARGEST_AGE_SECONDS = 3600.0

_log = logger_of("process")


def boot_seconds() -> float:
    """Return the seconds since the VM booted, including the time in which it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return the current Unix time in milliseconds."""
    return int(time.time() * 1000)


class SchedulerProcess(mode.Service):
    """Service that consists of all parts of one scheduler process.

    :param settings: checked settings of the process
    :param random: random source; a new one if None
    """

    def __init__(self, settings: ProcessSettings, random: Random | None = None) -> None:
        super().__init__()
        self._settings = settings
        self._random = random or Random()
        self._store_limits = StoreLimits(settings.record_bytes, settings.call_bytes)
        self._incarnation = new_incarnation_id(settings.vm_name)
        self._metrics = LocalMetrics()
        self._metrics.add_gauges(self._gauges)
        self._metrics.add_labelled_gauges(self._tenant_gauges)
        self._sessions: dict[int, aiohttp.ClientSession] = {}
        self._store = ObservedStore(
            PlatformStore(
                self._store_session,
                settings.store_address,
                settings.partitions,
                self._config_session,
                lambda: self._config_follower.record_progress(),
                self._store_limits,
            ),
            boot_seconds,
        )
        self._records = PlatformRecords()
        self._leadership = Leadership(
            self._store, self._incarnation, str(settings.peer_address), boot_seconds
        )
        self._configuration = ConfigurationFeed(self._records, self._configuration_changed)
        self._config_follower = Follower(
            self._store,
            Stream.CONFIGURATION,
            self._configuration.apply_records,
            boot_seconds,
            self._random,
            wait_seconds=CONFIGURATION_WAIT_SECONDS,
            start_delay_seconds=MAX_START_DELAY_SECONDS,
        )
        self._currency = ConfigurationCurrency(
            boot_seconds,
            self._config_age_seconds,
            lambda: self._configuration.config.version,
            self._config_follower.refresh,
            lambda: self._store.is_unavailable,
            lambda: self._config_follower.is_receiving,
        )
        self._admission = EntryAdmission(self._random)
        self._queue_admission = QueueAdmission(self._random)
        self._minion_caller = HttpMinionCaller(self._open_session)
        self._relay_client = RelayClient(
            Hello(
                self._incarnation,
                settings.failure_domain,
                settings.processors,
                keeps_prefixes=True,
                address=str(settings.peer_address),
                memory_mb=settings.memory_mb,
            ),
            self._remote_leader_address,
            self._minion_caller,
            self._open_session,
            boot_seconds,
            self._random,
            self._receive_notice,
            lambda: self._configuration.config.version,
        )
        peers = PeerClient(self._open_session)
        self._election = Election(
            self._leadership,
            self._incarnation,
            peers,
            self._new_leader,
            boot_seconds,
            self._random,
            settings.processors,
            self._relay_client.condition,
            self._relay_client.leader_clock,
            lambda: self._relay_client.witness_address,
        )
        self._peer_server = PeerServer(
            self._election,
            self._store,
            settings.peer_address.host,
            settings.peer_address.port,
            self._configuration,
        )
        self._config_exchange = ConfigurationExchange(
            self._currency,
            self._configuration,
            peers,
            self._remote_leader_address,
            boot_seconds,
            self._random,
        )
        job_service = JobService(self._store, self._election, peers, boot_seconds, self._random)
        self._ingress = Ingress(
            job_service,
            lambda: self._configuration.config,
            settings.client_address,
            settings.readiness_address,
            self._metrics,
            self._currency,
            settings.access,
            self._current_admission,
            boot_seconds,
            self._current_queue_admission,
            settings.failure_domain,
        )
        self._metrics_server = MetricsServer(
            self._metrics, settings.peer_address.host, METRICS_PORT
        )

    def _open_session(self) -> aiohttp.ClientSession:
        return self._session_for_limit(MAX_MINION_CONNECTIONS)

    def _store_session(self) -> aiohttp.ClientSession:
        return self._session_for_limit(MAX_STORE_CONNECTIONS)

    def _config_session(self) -> aiohttp.ClientSession:
        return self._session_for_limit(MAX_CONFIG_CONNECTIONS)

    def _session_for_limit(self, limit_per_host: int) -> aiohttp.ClientSession:
        """Return the session that opens at most ``limit_per_host`` connections to one host."""
        session = self._sessions.get(limit_per_host)
        if session is None:
            connector = aiohttp.TCPConnector(
                limit=0, limit_per_host=limit_per_host, keepalive_timeout=KEEPALIVE_SECONDS
            )
            session = self._sessions[limit_per_host] = aiohttp.ClientSession(
                connector=connector, cookie_jar=aiohttp.DummyCookieJar()
            )
        return session

    def _configuration_changed(self) -> None:
        if self._election.leader is not None:
            self._election.leader.apply_configuration()

    def _entry_notice(self) -> EntryNotice:
        """Return what entry processes have to know, while this process leads."""
        return entry_notice(self._configuration, self._config_age_seconds(), self._election.leader)

    def _config_age_seconds(self) -> float:
        """Return the time since the configuration was last read as the newest one."""
        return inf if self._configuration.is_outdated else self._config_follower.age_seconds

    def _current_admission(self) -> EntryAdmission:
        """Return the admission of this process, which gets no messages while it leads."""
        if self._election.leader is not None:
            self._apply_rates(self._entry_notice())
        return self._admission

    def _current_queue_admission(self) -> QueueAdmission:
        """Return the admission by queue of this process, which gets no messages while it leads."""
        if self._election.leader is not None:
            self._apply_verdicts(self._election.leader.queue_verdicts())
            self._queue_admission.receive_fullness(self._election.leader.is_full, boot_seconds())
        return self._queue_admission

    def _apply_verdicts(self, verdicts: Mapping[str, QueueVerdict] | None) -> None:
        if verdicts is not None:
            self._queue_admission.receive(verdicts, boot_seconds())

    def _apply_rates(self, notice: EntryNotice) -> None:
        if notice.rates is None:
            return
        self._admission.receive(notice.rates, notice.process_count, boot_seconds())

    def _receive_notice(self, notice: EntryNotice, transit_seconds: float) -> None:
        self._apply_rates(notice)
        self._apply_verdicts(notice.queues)
        self._queue_admission.receive_fullness(notice.is_full, boot_seconds())
        age_seconds = notice.config_age_seconds + transit_seconds
        self._currency.record(notice.config_version, age_seconds, notice.config_holder)

    def _remote_leader_address(self) -> str:
        """Return the address of the leader; empty while this process leads or knows none."""
        return "" if self._election.has_claim else self._election.leader_address

    def _new_leader(self, renewals_end: float, lease_ends: Mapping[str, float]) -> Leader:
        settings = self._settings
        lag = LoopLag(boot_seconds)
        relays = RelayPool(
            self._minion_caller,
            self._leadership,
            boot_seconds,
            lag,
            self._entry_notice,
            settings.failure_domain,
            self._currency.record_version,
        )
        return Leader(
            LeaderParts(
                store=self._store,
                minions=PlatformMinions(relays, relays.submit),
                relays=relays,
                lag=lag,
                decoder=self._records,
                configuration=self._configuration,
                leadership=self._leadership,
                settings=SchedulerSettings(
                    settings.hold_seconds,
                    settings.retention_seconds,
                    settings.harm_seconds,
                    settings.capacity_valid_seconds,
                    switches=settings.switches,
                ),
                clock=boot_seconds,
                unix_ms=unix_ms,
                random=self._random,
                metrics=self._metrics,
                slices=WorkSlices(boot_seconds),
                limits=self._store_limits,
                memory_mb=settings.memory_mb,
            ),
            renewals_end,
            lease_ends,
        )

    def _gauges(self) -> dict[str, float]:
        leader = self._election.leader
        freshness = self._currency.freshness
        gauges = {
            "jobs.is_leading": float(self._leadership.is_leading),
            "config.version": float(self._configuration.config.version),
            "config.age_seconds": min(freshness.age_seconds, LARGEST_AGE_SECONDS),
            "config.behind_seconds": freshness.behind_seconds,
        }
        return gauges if leader is None else {**gauges, **leader.gauges()}

    def _tenant_gauges(self) -> dict[tuple[str, str], float]:
        leader = self._election.leader
        return {} if leader is None else leader.tenant_gauges()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down without interrupting requests."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGINT, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        services: list[mode.Service] = [
            self._metrics_server,
            self._config_follower,
            self._peer_server,
            self._election,
            self._relay_client,
            self._config_exchange,
            self._ingress,
        ]
        for service in services:
            await service.start()
        _log.notice("started", extra={"incarnation": self._incarnation})
        await stop.wait()
        await self._shut_down()
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS):
                for service in reversed(services):
                    await service.stop()
                for session in self._sessions.values():
                    await session.close()
        except TimeoutError:
            _log.warning("closing services and connections timed out; exiting anyway")
        _log.notice("stopped", extra={"incarnation": self._incarnation})

    async def _shut_down(self) -> None:
        _log.notice("stopping", extra={"in_flight": self._ingress.in_flight})
        closes_at = boot_seconds() + self._settings.grace_seconds - CLOSING_RESERVE_SECONDS
        resignation = asyncio.create_task(self._election.resign())
        self._ingress.drain()
        self._relay_client.leave()
        # A late event loop may read the store's answer only after this time, or send the record
        # only then, so the resignation goes on meanwhile.
        await asyncio.wait({resignation}, timeout=RESIGN_TIMEOUT_SECONDS)
        if not resignation.done():
            _log.warning("resignation is not stored in time; other processes may have to wait")
        await asyncio.sleep(min(BALANCER_REMOVAL_SECONDS, self._settings.grace_seconds / 2))
        with suppress(TimeoutError):
            await asyncio.wait_for(self._ingress.idle.wait(), max(0.0, closes_at - boot_seconds()))

    def _reload(self) -> None:
        try:
            settings = load_settings(settings_path())
        except SettingsError as error:
            _log.error(
                "settings file is invalid; keeping the current settings",
                extra={"reason": str(error)},
            )
            return
        changed = settings != self._settings
        _log.notice(
            "settings file read again; its changes are not applied", extra={"changed": changed}
        )


def settings_path() -> Path:
    """Return the path of the settings file from the environment.

    :raises SettingsError: when the variable is not set
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(f"{SETTINGS_VARIABLE}: missing; expected the path of a settings file")
    return Path(path)


def run_scheduler(log_level: str) -> int:
    """Run one scheduler process and return its exit status.

    :param log_level: lowest level of log lines that are written
    :raises SettingsError: when the settings are missing or invalid
    """
    settings = load_settings(settings_path())
    start_logging(settings.vm_name, log_level, BoundedStream(sys.stdout.fileno()))
    asyncio.run(SchedulerProcess(settings).run())
    return 0
