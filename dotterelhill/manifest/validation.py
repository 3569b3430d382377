"""Validation of manifest documents, which reports every fault with its path."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from pydantic import TypeAdapter, ValidationError

from dotterelhill.manifest.document import Job, Limits, Manifest, Resources, Service

_LIMIT_NAMES = ("requests_per_second", "in_flight", "cpu", "memory_gb", "accelerators")
_RESOURCE_NAMES = ("cpu", "memory_gb", "accelerators")

_ADAPTER = TypeAdapter(Manifest)


@dataclass(frozen=True, slots=True)
class Fault:
    """One reason to reject a manifest.

    :param path: dotted path of the value in the document
    :param reason: description of the fault
    """

    path: str
    reason: str


class ManifestError(ValueError):
    """Raised when a document is not a valid manifest; ``faults`` holds every reason."""

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__("; ".join(f"{fault.path}: {fault.reason}" for fault in faults))
        self.faults = faults


def _limit_faults(path: str, sums: dict[str, float], bound: Limits | Resources) -> Iterator[Fault]:
    for name, total in sums.items():
        allowed = getattr(bound, name)
        if total <= allowed + 1e-9:
            continue
        yield Fault(path, f"sum of {name} is {total:g}, above the limit of {allowed:g}")


def _member_faults(manifest: Manifest) -> Iterator[Fault]:
    members = manifest.members.values()
    sums = {name: sum(getattr(m.limits, name) for m in members) for name in _LIMIT_NAMES}
    yield from _limit_faults("members", sums, manifest.limits)
    for name, member in manifest.members.items():
        teams = member.teams.values()
        sums = {key: sum(getattr(team, key) for team in teams) for key in _RESOURCE_NAMES}
        yield from _limit_faults(f"members.{name}.teams", sums, member.limits)


def _service_faults(manifest: Manifest, name: str, service: Service) -> Iterator[Fault]:
    path = f"services.{name}"
    if service.member not in manifest.members:
        yield Fault(f"{path}.member", f"unknown member {service.member!r}")
    for minion_name, minion in service.minions.items():
        if minion.failure_domain in manifest.failure_domains:
            continue
        yield Fault(
            f"{path}.minions.{minion_name}.failure_domain",
            f"unknown failure domain {minion.failure_domain!r}",
        )


def _duplicate_faults(manifest: Manifest) -> Iterator[Fault]:
    prefixes: dict[str, str] = {}
    addresses: dict[str, str] = {}
    for name, service in manifest.services.items():
        first_user = prefixes.setdefault(service.path_prefix, name)
        if first_user != name:
            yield Fault(f"services.{name}.path_prefix", f"already used by service {first_user!r}")
        for minion_name, minion in service.minions.items():
            path = f"services.{name}.minions.{minion_name}"
            first_user = addresses.setdefault(minion.address, path)
            if first_user != path:
                yield Fault(f"{path}.address", f"already used by {first_user}")


def _job_faults(manifest: Manifest, name: str, job: Job) -> Iterator[Fault]:
    path = f"jobs.{name}"
    member = manifest.members.get(job.member)
    if member is None:
        yield Fault(f"{path}.member", f"unknown member {job.member!r}")
    elif job.team not in member.teams:
        yield Fault(f"{path}.team", f"unknown team {job.team!r} of member {job.member!r}")
    elif not job.resources.is_within(member.teams[job.team]):
        yield Fault(path, f"one task needs more than the quota of team {job.team!r}")
    for index, domain in enumerate(job.constraints.failure_domains):
        if domain in manifest.failure_domains:
            continue
        yield Fault(
            f"{path}.constraints.failure_domains.{index}", f"unknown failure domain {domain!r}"
        )


def _consistency_faults(manifest: Manifest) -> Iterator[Fault]:
    yield from _member_faults(manifest)
    for name, service in manifest.services.items():
        yield from _service_faults(manifest, name, service)
    yield from _duplicate_faults(manifest)
    for name, job in manifest.jobs.items():
        yield from _job_faults(manifest, name, job)


def _schema_faults(error: ValidationError) -> Iterator[Fault]:
    for item in error.errors(include_url=False, include_context=False, include_input=False):
        yield Fault(".".join(str(part) for part in item["loc"]) or "(document)", item["msg"])


def manifest_from_document(document: Any) -> Manifest:
    """Validate a parsed JSON document and return its manifest.

    :raises ManifestError: with every fault of the document

    >>> try:
    ...     manifest_from_document({"members": {}, "colour": 1})
    ... except ManifestError as error:
    ...     [fault.path for fault in error.faults]
    ['limits', 'failure_domains', 'colour']
    """
    try:
        manifest = _ADAPTER.validate_python(document)
    except ValidationError as error:
        raise ManifestError(tuple(_schema_faults(error))) from None
    faults = tuple(_consistency_faults(manifest))
    if faults:
        raise ManifestError(faults)
    return manifest
