"""Decoder of the records that operators and minions write to the store."""

from __future__ import annotations

from hashlib import sha256
from typing import Annotated

import msgspec

from dotterelhill.control.feeds import Evacuation, UnreadableConfiguration
from dotterelhill.control.interface import Record
from dotterelhill.entry.logs import logger_of
from dotterelhill.jobs.fleet import MinionFacts
from dotterelhill.jobs.queues import FleetConfig, Pool, Queue, RequestLimits, Tenant
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tenants.keys import ApiKeys

CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
READY = "ready"
DRAINING = "draining"
# Larger amounts can't be converted to floating-point numbers without a loss.
MAX_AMOUNT = 2**53
# The store takes keys of up to 255 bytes; that of a cancellation holds a job id and a tenant.
MAX_TENANT_NAME_BYTES = 200

_log = logger_of("records")


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    pathPrefix: str
    service: str
    priority: int = 0
    maxAttempts: int = 1
    stretch: float = 2.0
    # Allowance in ms, added to the stretched duration of a job.
    targetLatencyMs: float = 1000
    timeoutMs: float = 3000
    advice: msgspec.Raw | None = None
    # Whether requests need no key.
    anonymous: bool = False


class _Service(msgspec.Struct, frozen=True):
    name: str
    # Whether its minions refuse starts that exceed their capacity.
    admissionCheck: bool = False


class _Limits(msgspec.Struct, frozen=True):
    maxHeaderBytes: int = 16384
    maxBodyBytes: int = 262144
    headerTimeoutMs: float = 3000
    idleTimeoutMs: float = 15000


class _MaxCount(msgspec.Struct, frozen=True):
    cpu: int = 0
    memMb: int = 0
    gpu: int = 0


class TenantEntry(msgspec.Struct, frozen=True):
    """Entry of a tenant."""

    name: str
    apiKeys: list[str] = []
    weight: float = 1.0
    # Resources that its runs may use at once; 0 for no limit.
    maxCount: _MaxCount | None = None

    def __repr__(self) -> str:
        """Return a text without the keys."""
        return f"TenantEntry({self.name!r})"


class ConfigRecord(msgspec.Struct, frozen=True):
    """Configuration as operators write it."""

    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    # Without tenants, keys are not checked.
    tenants: list[TenantEntry] | None = None


_Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]


class _Capacity(msgspec.Struct, frozen=True):
    cpu: _Amount
    memMb: _Amount
    gpu: _Amount = 0


class _Entry(msgspec.Struct, frozen=True):
    """Entry in which a minion describes itself."""

    service: str
    address: str
    zone: str
    state: str
    capacity: _Capacity
    # Kind and rack of the machine.
    labels: list[str] = []
    # Start of the incarnation in Unix ms.
    born: int = 0
    # Minimum time in ms until a draining minion leaves.
    remainingMs: float = 0


_CONFIG_DECODER = msgspec.json.Decoder(ConfigRecord)
_ENTRY_DECODER = msgspec.json.Decoder(_Entry)


class PlatformRecords:
    """Decoder of the records of the configuration and minion streams."""

    def operator_record(
        self, record: Record
    ) -> FleetConfig | Evacuation | UnreadableConfiguration | None:
        """Decode an operator's record; return None if it is of another kind."""
        if record.key.startswith(EVACUATE_PREFIX):
            domain = record.key.removeprefix(EVACUATE_PREFIX)
            return Evacuation(domain, record.value is not None)
        if record.key != CONFIG_KEY or record.value is None:
            return None
        try:
            return fleet_config(decode_config(record.value))
        except msgspec.MsgspecError as error:
            _log.error("configuration record can't be decoded", extra={"reason": str(error)})
            return UnreadableConfiguration()

    def minion_record(self, record: Record) -> MinionFacts | None:
        """Decode a minion's entry; return None if it is removed, invalid or has another state."""
        if record.value is None:
            return None
        try:
            entry = _ENTRY_DECODER.decode(record.value)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            _log.debug("minion entry ignored", extra={"key": record.key, "reason": str(error)})
            return None
        if entry.state not in (READY, DRAINING):
            return None
        return MinionFacts(
            minion_id=record.key,
            born_ms=entry.born,
            service=entry.service,
            address=entry.address,
            failure_domain=entry.zone,
            labels=tuple(entry.labels),
            capacity=ResourceVector(entry.capacity.cpu, entry.capacity.memMb, entry.capacity.gpu),
            is_draining=entry.state == DRAINING,
            leaves_in_seconds=entry.remainingMs / 1000.0,
        )


def decode_config(data: bytes) -> ConfigRecord:
    """Decode a configuration.

    :raises msgspec.MsgspecError: when it is invalid
    """
    return _CONFIG_DECODER.decode(data)


def fleet_config(config: ConfigRecord) -> FleetConfig:
    """Return the fleet configuration that a record holds."""
    queues: dict[str, Queue] = {}
    for route in config.routes:
        name = route.name if route.name not in queues else _unique_name(route)
        queues[name] = Queue(
            name=name,
            host=route.host,
            path_prefix=route.pathPrefix,
            service=route.service,
            priority=route.priority,
            max_attempts=route.maxAttempts,
            stretch=route.stretch,
            target_seconds=route.targetLatencyMs / 1000.0,
            timeout_seconds=route.timeoutMs / 1000.0,
            needs_advice=route.advice is not None,
            is_anonymous=route.anonymous,
        )
    pools = {
        service.name: Pool(service.name, service.admissionCheck) for service in config.services
    }
    limits = RequestLimits(
        config.limits.maxHeaderBytes,
        config.limits.maxBodyBytes,
        config.limits.headerTimeoutMs / 1000.0,
        config.limits.idleTimeoutMs / 1000.0,
    )
    tenants: dict[str, Tenant] = {}
    keys: list[tuple[str, list[str]]] = []
    for entry in config.tenants or ():
        name = _tenant_name(entry.name)
        tenants.setdefault(name, _tenant(name, entry))
        keys.append((name, entry.apiKeys))
    return FleetConfig(config.version, queues, pools, limits, tenants, ApiKeys.from_tenants(keys))


def _unique_name(route: _Route) -> str:
    """Return a name for the queue of a route whose own name belongs to an earlier one.

    The platform selects a route by host and path, and states no more of its name.
    """
    return f"{route.name}@{route.host}{route.pathPrefix}"


def _tenant_name(name: str) -> str:
    """Return a name that fits into record keys and that differs from that of no tenant.

    A tenant can't be skipped because of its name: without any, keys would not be checked.
    """
    if name and len(name.encode()) <= MAX_TENANT_NAME_BYTES:
        return name
    return "tenant-" + sha256(name.encode()).hexdigest()[:32]


def _tenant(name: str, entry: TenantEntry) -> Tenant:
    """Return the tenant of an entry; a weight or limit without a meaning becomes the default."""
    weight = entry.weight
    if not 0.0 < weight <= MAX_AMOUNT:
        _log.error("weight of a tenant is not usable", extra={"tenant": name, "weight": weight})
        weight = 1.0
    limit = entry.maxCount or _MaxCount()
    return Tenant(
        name, weight, ResourceVector(max(0, limit.cpu), max(0, limit.memMb), max(0, limit.gpu))
    )
