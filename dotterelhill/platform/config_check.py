"""Check of a configuration before it is sent: findings, and differences from the one in force."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields
from typing import TypeVar

import msgspec

from dotterelhill.jobs.queues import FleetConfig, Pool, Queue, RequestLimits, Tenant
from dotterelhill.platform.records import (
    MAX_AMOUNT,
    MAX_TENANT_NAME_BYTES,
    ConfigRecord,
    TenantEntry,
    decode_config,
    fleet_config,
)

# A shorter time limit leaves no time to handle a request: part of it is reserved for the answer.
LEAST_TIMEOUT_MS = 50

AT_ONCE = "at once"
EntryT = TypeVar("EntryT", Queue, Pool, Tenant, RequestLimits)


class UnreadableConfigError(Exception):
    """Raised when a configuration can't be decoded."""


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault of a configuration.

    :param location: path in the document
    """

    location: str
    reason: str


@dataclass(frozen=True, slots=True)
class Difference:
    """One difference from the configuration in force.

    :param takes_effect: when it takes effect, and on what
    """

    subject: str
    change: str
    takes_effect: str


@dataclass(frozen=True, slots=True)
class ConfigReport:
    """Result of a check."""

    findings: tuple[Finding, ...]
    differences: tuple[Difference, ...] = ()


def check_config(data: bytes, earlier: bytes | None = None) -> ConfigReport:
    """Check a configuration record.

    :param earlier: record in force, from which differences are reported; None for none
    :raises UnreadableConfigError: when a record can't be decoded
    """
    record = _decode(data)
    findings = [*_check_routes(record), *_check_limits(record), *_check_tenants(record)]
    if record.version < 1:
        findings.append(Finding("version", f"expected 1 or more, got {record.version}"))
    if earlier is None:
        return ConfigReport(tuple(findings))
    earlier_record = _decode(earlier)
    if record.version <= earlier_record.version:
        reason = f"{record.version} is not above {earlier_record.version}, so that it is ignored"
        findings.append(Finding("version", reason))
    differences = [*_compare(fleet_config(earlier_record), fleet_config(record))]
    differences += _compare_keys(earlier_record, record)
    return ConfigReport(tuple(findings), tuple(differences))


def _decode(data: bytes) -> ConfigRecord:
    try:
        return decode_config(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise UnreadableConfigError(str(error)) from error


def _check_routes(record: ConfigRecord) -> Iterator[Finding]:
    services = {service.name for service in record.services}
    names: dict[str, int] = {}
    prefixes: dict[tuple[str, str], int] = {}
    for index, route in enumerate(record.routes):
        at = f"routes[{index}]"
        if route.name in names:
            yield Finding(f"{at}.name", f"replaces routes[{names[route.name]}] of the same name")
        names.setdefault(route.name, index)
        earlier = prefixes.setdefault((route.host, route.pathPrefix), index)
        if earlier != index:
            yield Finding(f"{at}.pathPrefix", f"never matches: routes[{earlier}] has the same")
        if not route.pathPrefix.startswith("/"):
            yield Finding(f"{at}.pathPrefix", "never matches: paths begin with /")
        if not route.host or ":" in route.host:
            yield Finding(f"{at}.host", "never matches: expected a host without a port")
        if route.service not in services:
            yield Finding(f"{at}.service", f"service {route.service!r} is not declared")
        if route.timeoutMs < LEAST_TIMEOUT_MS:
            yield Finding(f"{at}.timeoutMs", f"can't be met: below {LEAST_TIMEOUT_MS}")
        if route.maxAttempts < 1:
            yield Finding(f"{at}.maxAttempts", "expected 1 or more")
        if route.stretch <= 0.0 or route.targetLatencyMs < 0.0:
            yield Finding(at, "stretch and targetLatencyMs allow no time for a job")


def _check_limits(record: ConfigRecord) -> Iterator[Finding]:
    limits = record.limits
    for name in ("maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs"):
        if getattr(limits, name) <= 0:
            yield Finding(f"limits.{name}", "expected a positive number")
    if limits.headerTimeoutMs > limits.idleTimeoutMs:
        yield Finding("limits.headerTimeoutMs", "can't be met: above idleTimeoutMs")


def _check_tenants(record: ConfigRecord) -> Iterator[Finding]:
    owners: dict[str, int] = {}
    names: set[str] = set()
    for index, tenant in enumerate(record.tenants or ()):
        at = f"tenants[{index}]"
        if not 0 < len(tenant.name.encode()) <= MAX_TENANT_NAME_BYTES:
            yield Finding(f"{at}.name", f"expected 1 to {MAX_TENANT_NAME_BYTES} bytes")
        if tenant.name in names:
            yield Finding(f"{at}.name", "is the name of an earlier tenant")
        names.add(tenant.name)
        if not tenant.apiKeys:
            yield Finding(f"{at}.apiKeys", "no request can be made for the tenant")
        if not 0.0 < tenant.weight <= MAX_AMOUNT:
            yield Finding(f"{at}.weight", "expected a positive number")
        yield from _check_tenant_limit(at, tenant)
        for number, key in enumerate(tenant.apiKeys):
            place = f"{at}.apiKeys[{number}]"
            if key != key.strip() or not key.isascii() or not key.isprintable() or not key:
                yield Finding(place, "can't be sent in a header")
            owner = owners.setdefault(key, index)
            if owner != index:
                yield Finding(place, f"is a key of tenants[{owner}], which it remains")


def _check_tenant_limit(at: str, tenant: TenantEntry) -> Iterator[Finding]:
    limit = tenant.maxCount
    if limit is None:
        return
    for name, amount in (("cpu", limit.cpu), ("memMb", limit.memMb), ("gpu", limit.gpu)):
        if amount < 0:
            yield Finding(f"{at}.maxCount.{name}", "is negative, which counts as no limit")


def _compare(earlier: FleetConfig, later: FleetConfig) -> Iterator[Difference]:
    yield from _compare_named(
        "queue", earlier.queues, later.queues, "at once; jobs accepted before go on as accepted"
    )
    yield from _compare_named("service", earlier.pools, later.pools, AT_ONCE)
    yield from _compare_named(
        "tenant",
        earlier.tenants,
        later.tenants,
        "at once; what runs goes on, and its jobs keep the weight and limit known last",
    )
    for text in _changed_fields(earlier.limits, later.limits):
        yield Difference("limits", text, "at once, for later requests")
    if bool(earlier.tenants) != bool(later.tenants):
        text = "keys are checked" if later.tenants else "keys are no longer checked"
        yield Difference("requests", text, AT_ONCE)


def _compare_named(
    kind: str, earlier: Mapping[str, EntryT], later: Mapping[str, EntryT], on_removal: str
) -> Iterator[Difference]:
    for name in earlier.keys() - later.keys():
        yield Difference(f"{kind} {name}", "removed", on_removal)
    for name, entry in later.items():
        if name not in earlier:
            yield Difference(f"{kind} {name}", "added", AT_ONCE)
            continue
        for text in _changed_fields(earlier[name], entry):
            yield Difference(f"{kind} {name}", text, AT_ONCE)


def _changed_fields(earlier: EntryT, later: EntryT) -> Iterator[str]:
    for item in fields(later):
        old, new = getattr(earlier, item.name), getattr(later, item.name)
        if old != new:
            yield f"{item.name}: {old} -> {new}"


def _compare_keys(earlier: ConfigRecord, later: ConfigRecord) -> Iterator[Difference]:
    """Return how many keys of each tenant are added and revoked, without the keys."""
    before, after = _keys_by_tenant(earlier), _keys_by_tenant(later)
    for name in sorted(before.keys() | after.keys()):
        old, new = before.get(name, set()), after.get(name, set())
        if old != new:
            text = f"keys: {len(new - old)} added, {len(old - new)} revoked"
            yield Difference(f"tenant {name}", text, "within the time limit for configurations")


def _keys_by_tenant(record: ConfigRecord) -> dict[str, set[str]]:
    keys: dict[str, set[str]] = {}
    for tenant in record.tenants or ():
        keys.setdefault(tenant.name, set()).update(tenant.apiKeys)
    return keys
