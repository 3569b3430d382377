"""Settings file of a process, as ``deploy/settings.json`` renders it."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import msgspec

SETTINGS_VARIABLE = "DOTTERELHILL_BOOT"


class _Listen(msgspec.Struct, frozen=True):
    front: str
    readiness: str


class _Limits(msgspec.Struct, frozen=True):
    cpuShare: float = 1.0
    cores: float = 1.0


class _Platform(msgspec.Struct, frozen=True):
    address: str
    recordBytes: int = 262144
    callBytes: int = 2097152
    # Partitions of each topic that the system keeps.
    parts: int = 1


class _Bounds(msgspec.Struct, frozen=True):
    # Longest lease of a run, in ms.
    maxHoldMs: float = 6000
    # Time for which the state of an ended job is asked for, in seconds.
    status_s: float = 120
    # Time for which a serving task may miss its target because of fillers, in ms.
    harmMs: float = 4000
    # Time between SIGTERM and SIGKILL, in seconds.
    graceS: float = 6


class _File(msgspec.Struct, frozen=True):
    nodeName: str
    ip: str
    zone: str
    listen: _Listen
    internalPorts: list[int]
    platform: _Platform
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()


class SettingsError(Exception):
    """The settings file can't be used; the message names the field."""


@dataclass(frozen=True, slots=True)
class Address:
    """Host and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Checked settings of one process.

    :param vm: name of the VM
    :param callers: address for clients
    :param readiness: address that the platform asks whether to send clients
    :param peers: address for other processes of the system
    :param store: ``host:port`` of the platform's store
    :param record_bytes: longest record of the store
    :param call_bytes: most bytes of one append
    :param partitions: partitions of each stream of the store
    :param hold_seconds: longest lease of a run
    :param retention_seconds: time for which the state of an ended job is known
    :param harm_seconds: time for which a serving task may miss its target because of fillers
    :param grace_seconds: time from the request to stop to the kill
    :param processors: processors that the process may use
    """

    vm: str
    failure_domain: str
    callers: Address
    readiness: Address
    peers: Address
    store: str
    record_bytes: int
    call_bytes: int
    partitions: int
    hold_seconds: float
    retention_seconds: float
    harm_seconds: float
    grace_seconds: float
    processors: float


def load_settings(path: Path) -> ProcessSettings:
    """Return the settings of a file.

    :raises SettingsError: when the file can't be read or a field is missing or wrong
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise SettingsError(f"{SETTINGS_VARIABLE}: {path}: {error.strerror}") from error
    try:
        file = msgspec.json.decode(data, type=_File, strict=False)
    except msgspec.MsgspecError as error:
        raise SettingsError(f"{path}: {error}") from error
    if not file.internalPorts:
        raise SettingsError(f"{path}: internalPorts: expected at least one port, got none")
    return ProcessSettings(
        vm=file.nodeName,
        failure_domain=file.zone,
        callers=_address("listen.front", file.listen.front),
        readiness=_address("listen.readiness", file.listen.readiness),
        peers=Address(file.ip, file.internalPorts[0]),
        store=str(_address("platform.address", file.platform.address)),
        record_bytes=file.platform.recordBytes,
        call_bytes=file.platform.callBytes,
        partitions=int(_positive("platform.parts", file.platform.parts)),
        hold_seconds=_positive("bounds.maxHoldMs", file.bounds.maxHoldMs) / 1000.0,
        retention_seconds=_positive("bounds.status_s", file.bounds.status_s),
        harm_seconds=_positive("bounds.harmMs", file.bounds.harmMs) / 1000.0,
        grace_seconds=_positive("bounds.graceS", file.bounds.graceS),
        processors=file.limits.cpuShare * file.limits.cores,
    )


def _address(field: str, text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise SettingsError(f"{field}: expected HOST:PORT, got {text!r}")
    return Address(host, int(port))


def _positive(field: str, value: float) -> float:
    if value <= 0:
        raise SettingsError(f"{field}: expected a positive number, got {value}")
    return value
