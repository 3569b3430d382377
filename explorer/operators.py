"""What operators publish: documents made from the manifest in force."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from copy import deepcopy
from typing import Any

import msgspec

REGIONS = {"d0": "r0", "d1": "r0", "d2": "r1"}
SLOTS = 8
LARGEST_JOBS = 6
AUTONOMY_SECONDS = 60
RUN_SECONDS = (8.0, 40.0, 120.0)

Document = dict[str, Any]


def minions_of(failure_domain: str) -> tuple[str, ...]:
    """Return the names of a failure domain's minions."""
    return (f"m-{failure_domain}",)


def first_document(domains: Sequence[str]) -> Document:
    """Return the first manifest's document."""
    amounts = {"cpu": 100, "memory_gb": 100}
    limits = {"requests_per_second": 1000, "in_flight": 1000, **amounts}
    minions = {
        name: {"address": f"{name}:80", "failure_domain": domain, "slots": SLOTS}
        for domain in domains
        for name in minions_of(domain)
    }
    return {
        "members": {"m": {"limits": limits, "teams": {"t": amounts}}},
        "limits": limits,
        "failure_domains": {name: {"region": REGIONS[name]} for name in domains},
        "services": {"s": {"member": "m", "path_prefix": "/", "minions": minions}},
        "jobs": {"j0": _job(0), "j1": _job(1)},
        "autonomy_seconds": AUTONOMY_SECONDS,
    }


def publication(number: int, base: int, document: Document) -> bytes:
    """Return the bytes of a publication for the ``config`` stream."""
    return msgspec.json.encode({"id": f"p{number}", "base": base, "document": document})


def take_domain_out(document: Document, number: int) -> None:
    """Take a failure domain out."""
    _domain(document, number)["state"] = "out"


def bring_domain_back(document: Document, number: int) -> None:
    """Bring the failure domains back that are out."""
    for domain in document["failure_domains"].values():
        domain["state"] = "in"


def cancel_job(document: Document, number: int) -> None:
    """Cancel a job."""
    jobs = document["jobs"]
    if jobs:
        jobs[sorted(jobs)[number % len(jobs)]]["cancelled"] = True


def remove_job(document: Document, number: int) -> None:
    """Remove a job, which cancels it."""
    jobs = document["jobs"]
    if jobs:
        del jobs[sorted(jobs)[number % len(jobs)]]


def declare_job(document: Document, number: int) -> None:
    """Declare a job, in place of another one when there are many."""
    if len(document["jobs"]) >= LARGEST_JOBS:
        remove_job(document, number)
    document["jobs"][f"j{number % 16}"] = _job(number)


def mark_minion_leaving(document: Document, number: int) -> None:
    """Mark a minion as leaving."""
    minions = document["services"]["s"]["minions"]
    minions[sorted(minions)[number % len(minions)]]["state"] = "leaving"


def keep_minions(document: Document, number: int) -> None:
    """Mark no minion as leaving any more."""
    for minion in document["services"]["s"]["minions"].values():
        minion["state"] = "in"


def change_autonomy(document: Document, number: int) -> None:
    """Change how long a domain goes on without the log."""
    document["autonomy_seconds"] = AUTONOMY_SECONDS * (1 + number % 2)


CHANGES: dict[str, Callable[[Document, int], None]] = {
    "out": take_domain_out,
    "back": bring_domain_back,
    "cancel": cancel_job,
    "remove": remove_job,
    "declare": declare_job,
    "leaving": mark_minion_leaving,
    "keep": keep_minions,
    "autonomy": change_autonomy,
}


def changed_document(document: Document, change: str, number: int) -> Document:
    """Return a copy of a document with one change."""
    copy: Document = deepcopy(document)
    CHANGES[change](copy, number)
    return copy


def _job(number: int) -> Document:
    return {
        "member": "m",
        "team": "t",
        "tasks": 1 + number % 4,
        "cpu": 1 + number % 2,
        "memory_gb": 1,
        "run_seconds": RUN_SECONDS[number % len(RUN_SECONDS)],
    }


def _domain(document: Document, number: int) -> Document:
    domains = document["failure_domains"]
    domain: Document = domains[sorted(domains)[number % len(domains)]]
    return domain
