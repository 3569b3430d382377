"""Settings file of a process, as rendered from ``deploy/settings.json``."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

import msgspec

from dotterelhill.control.switches import SwitchError, load_switches
from dotterelhill.jobs.changes import Switches
from dotterelhill.jobs.tenants.access import AccessSettings

SETTINGS_VARIABLE = "DOTTERELHILL_BOOT"


class _Listen(msgspec.Struct, frozen=True):
    front: str
    readiness: str


class _Limits(msgspec.Struct, frozen=True):
    cpuShare: float = 1.0
    cores: float = 1.0
    memoryMb: float = 0.0


class _Platform(msgspec.Struct, frozen=True):
    address: str
    recordBytes: int = 262144
    callBytes: int = 2097152
    # Number of partitions of each topic that belongs to the system.
    parts: int = 1


class _Bounds(msgspec.Struct, frozen=True):
    # Longest lease of a run in ms.
    maxHoldMs: float = 6000
    # Time in seconds for which clients can query the state of an ended job.
    status_s: float = 120
    # Longest time in ms for which fillers may keep a serving task over its target.
    harmMs: float = 4000
    # Time between SIGTERM and SIGKILL in seconds.
    graceS: float = 6
    # Time in ms, without one heartbeat, for which a room that has shrunk still counts as it was.
    stabilityMs: float = 4000
    # Whether known keys are refused while the configuration is older than revokeMs.
    strictRevoke: bool = False
    revokeMs: float = 5000
    # Time in ms after which a stored configuration must be in force.
    configApplyMs: float = 4000


class _File(msgspec.Struct, frozen=True):
    nodeName: str
    ip: str
    zone: str
    listen: _Listen
    internalPorts: list[int]
    platform: _Platform
    # Interval in ms in which a minion writes its entry.
    heartbeatMs: float = 1000
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()


class SettingsError(Exception):
    """Raised when the settings file can't be used; the message names the field."""


@dataclass(frozen=True, slots=True)
class Address:
    """Host and port of a TCP endpoint."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Checked settings of one process.

    :param vm_name: name of the VM
    :param failure_domain: failure domain of the VM
    :param client_address: address on which clients are served
    :param readiness_address: address on which the platform checks readiness
    :param peer_address: address for other processes of the system
    :param store_address: ``host:port`` of the platform's store
    :param record_bytes: maximum size of a record in the store
    :param call_bytes: maximum size of one append
    :param partitions: number of partitions of each topic that belongs to the system
    :param hold_seconds: longest lease of a run
    :param retention_seconds: time for which the state of an ended job can be queried
    :param harm_seconds: longest time for which fillers may keep a serving task over its target
    :param grace_seconds: time between SIGTERM and SIGKILL
    :param capacity_valid_seconds: longest age of the list of minions with which tasks start on
        minions that don't guard their capacity
    :param processors: number of processors that the process may use
    :param memory_mb: memory that it may use, in MB; 0 if it is not limited
    :param access: time limits for the use of a configuration that may be outdated
    :param switches: parts of the scheduler that are turned on
    """

    vm_name: str
    failure_domain: str
    client_address: Address
    readiness_address: Address
    peer_address: Address
    store_address: str
    record_bytes: int
    call_bytes: int
    partitions: int
    hold_seconds: float
    retention_seconds: float
    harm_seconds: float
    grace_seconds: float
    capacity_valid_seconds: float
    processors: float
    memory_mb: float
    access: AccessSettings
    switches: Switches


def load_settings(path: Path) -> ProcessSettings:
    """Load and check a settings file and the switches in the environment.

    :raises SettingsError: when the file can't be read, or a field or switch is missing or invalid
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise SettingsError(f"{SETTINGS_VARIABLE}: {path}: {error.strerror}") from error
    try:
        file = msgspec.json.decode(data, type=_File, strict=False)
    except msgspec.MsgspecError as error:
        raise SettingsError(f"{path}: {error}") from error
    try:
        switches = load_switches(os.environ)
    except SwitchError as error:
        raise SettingsError(str(error)) from error
    if not file.internalPorts:
        raise SettingsError(f"{path}: internalPorts: expected at least one port, got none")
    return ProcessSettings(
        vm_name=file.nodeName,
        failure_domain=file.zone,
        client_address=_parse_address("listen.front", file.listen.front),
        readiness_address=_parse_address("listen.readiness", file.listen.readiness),
        peer_address=Address(file.ip, file.internalPorts[0]),
        store_address=str(_parse_address("platform.address", file.platform.address)),
        record_bytes=file.platform.recordBytes,
        call_bytes=file.platform.callBytes,
        partitions=int(_require_positive("platform.parts", file.platform.parts)),
        hold_seconds=_require_positive("bounds.maxHoldMs", file.bounds.maxHoldMs) / 1000.0,
        retention_seconds=_require_positive("bounds.status_s", file.bounds.status_s),
        harm_seconds=_require_positive("bounds.harmMs", file.bounds.harmMs) / 1000.0,
        grace_seconds=_require_positive("bounds.graceS", file.bounds.graceS),
        capacity_valid_seconds=_capacity_valid_seconds(file),
        processors=file.limits.cpuShare * file.limits.cores,
        memory_mb=max(0.0, file.limits.memoryMb),
        access=_access_settings(file.bounds),
        switches=switches,
    )


def _access_settings(bounds: _Bounds) -> AccessSettings:
    return AccessSettings(
        bounds.strictRevoke,
        _require_positive("bounds.revokeMs", bounds.revokeMs) / 1000.0,
        _require_positive("bounds.configApplyMs", bounds.configApplyMs) / 1000.0,
    )


def _capacity_valid_seconds(file: _File) -> float:
    """Return the longest age of the list of minions with which tasks may start.

    A smaller room counts one heartbeat and ``stabilityMs`` after it has shrunk. Its entry may be
    written up to one heartbeat late, and a start may take as long to arrive.
    """
    stability_ms = _require_positive("bounds.stabilityMs", file.bounds.stabilityMs)
    heartbeat_ms = _require_positive("heartbeatMs", file.heartbeatMs)
    return max(stability_ms - heartbeat_ms, stability_ms / 2) / 1000.0


def _parse_address(field: str, text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise SettingsError(f"{field}: expected HOST:PORT, got {text!r}")
    return Address(host, int(port))


def _require_positive(field: str, value: float) -> float:
    if value <= 0:
        raise SettingsError(f"{field}: expected a positive number, got {value}")
    return value
