"""Changes that operators publish, as manifest documents derived from the one in force.

A change selects its subject by a number, modulo the number of candidates.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from copy import deepcopy
from typing import Any

import msgspec

REGIONS = {"d0": "r0", "d1": "r0", "d2": "r1"}
MINION_SLOTS = 8
MAX_JOBS = 6
AUTONOMY_SECONDS = 60
RUN_SECONDS = (8.0, 40.0, 120.0)

Document = dict[str, Any]


def minion_names(failure_domain: str) -> tuple[str, ...]:
    """Return the names of the minions in a failure domain."""
    return (f"m-{failure_domain}",)


def initial_document(domains: Sequence[str]) -> Document:
    """Return the document of the first manifest for the given failure domains."""
    amounts = {"cpu": 100, "memory_gb": 100}
    limits = {"requests_per_second": 1000, "in_flight": 1000, **amounts}
    minions = {
        name: {"address": f"{name}:80", "failure_domain": domain, "slots": MINION_SLOTS}
        for domain in domains
        for name in minion_names(domain)
    }
    return {
        "members": {"m": {"limits": limits, "teams": {"t": amounts}}},
        "limits": limits,
        "failure_domains": {name: {"region": REGIONS[name]} for name in domains},
        "services": {"s": {"member": "m", "path_prefix": "/", "minions": minions}},
        "jobs": {"j0": _job(0), "j1": _job(1)},
        "autonomy_seconds": AUTONOMY_SECONDS,
    }


def encode_publication(number: int, base: int, document: Document) -> bytes:
    """Return a publication encoded for the ``config`` stream.

    :param number: number from which the publication id is made
    :param base: manifest version from which the document was derived
    """
    return msgspec.json.encode({"id": f"p{number}", "base": base, "document": document})


def take_domain_out(document: Document, number: int) -> None:
    """Set the state of a failure domain to ``out``."""
    _domain(document, number)["state"] = "out"


def bring_domain_back(document: Document, number: int) -> None:
    """Set the state of all failure domains to ``in``."""
    for domain in document["failure_domains"].values():
        domain["state"] = "in"


def cancel_job(document: Document, number: int) -> None:
    """Cancel a job, if there is one."""
    jobs = document["jobs"]
    if jobs:
        jobs[sorted(jobs)[number % len(jobs)]]["cancelled"] = True


def remove_job(document: Document, number: int) -> None:
    """Remove a job, which cancels it, if there is one."""
    jobs = document["jobs"]
    if jobs:
        del jobs[sorted(jobs)[number % len(jobs)]]


def declare_job(document: Document, number: int) -> None:
    """Declare a job; one is removed first if there are ``MAX_JOBS`` or more."""
    if len(document["jobs"]) >= MAX_JOBS:
        remove_job(document, number)
    document["jobs"][f"j{number % 16}"] = _job(number)


def mark_minion_leaving(document: Document, number: int) -> None:
    """Set the state of a minion to ``leaving``."""
    minions = document["services"]["s"]["minions"]
    minions[sorted(minions)[number % len(minions)]]["state"] = "leaving"


def clear_minions_leaving(document: Document, number: int) -> None:
    """Set the state of all minions to ``in``."""
    for minion in document["services"]["s"]["minions"].values():
        minion["state"] = "in"


def change_autonomy(document: Document, number: int) -> None:
    """Set the autonomy, the time for which a domain operates without the log, in seconds."""
    document["autonomy_seconds"] = AUTONOMY_SECONDS * (1 + number % 2)


CHANGES: dict[str, Callable[[Document, int], None]] = {
    "out": take_domain_out,
    "back": bring_domain_back,
    "cancel": cancel_job,
    "remove": remove_job,
    "declare": declare_job,
    "leaving": mark_minion_leaving,
    "keep": clear_minions_leaving,
    "autonomy": change_autonomy,
}


def changed_document(document: Document, change: str, number: int) -> Document:
    """Return a copy of a document with one change applied.

    :param change: key of ``CHANGES``
    :param number: selects the subject of the change
    """
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
