"""State dump, explanations and metrics over all slices of one entry process."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import asdict

from dotterelhill.entry.admin import AdminSources, Explainer, Explanation, ManifestInForce
from dotterelhill.entry.explanations import ledger_explainers
from dotterelhill.entry.slices import Slices


def _now() -> float:
    return asyncio.get_running_loop().time()


def _minion_names(slices: Slices) -> list[str]:
    current = slices.config.current
    services = current.manifest.services.values() if current else ()
    return [name for service in services for name in service.minions]


def _usable_minions(slices: Slices) -> list[str]:
    now = _now()
    return [
        name for name in _minion_names(slices) if slices.holdings.permit_for(name, now).slots > 0
    ]


def _held_workers(slices: Slices) -> list[str]:
    workers = slices.control.ledger.placements.workers
    return [name for name in workers if slices.holdings.worker_token(name) is not None]


def _manifest_state(slices: Slices) -> dict[str, object]:
    return {
        "version": slices.config.version,
        "evidence_age_seconds": _now() - slices.config.evidence_at,
        "refused_relays": slices.config.refused_relays,
    }


def _ledger_state(slices: Slices) -> dict[str, object]:
    ledger = slices.control.ledger
    return {
        "counts": ledger.counts,
        "read_offset": ledger.read_offset,
        "adopted_version": ledger.adopted_version,
        "evidence_age_seconds": _now() - slices.control.evidence_at,
        "problem": slices.control.problem,
        "snapshots_written": slices.snapshots.written_count,
        "appends": slices.appender.counts,
        "append_error": slices.appender.last_error,
        "relayed": dict(slices.relaying.counts),
    }


def _holdings_state(slices: Slices) -> dict[str, object]:
    return {
        "is_joined": slices.holdings.is_joined,
        "through": slices.holdings.folded_control_offset,
        "usable_minions": _usable_minions(slices),
        "workers": _held_workers(slices),
    }


def _peers_state(slices: Slices) -> dict[str, object]:
    return {
        "live": [asdict(peer) for peer in slices.membership.live_peers(_now())],
        "counts": slices.membership.counts + slices.transport.counts,
    }


def _create_explainer(slices: Slices, kind: str) -> Explainer:
    def explain(name: str) -> Explanation | None:
        ledger = slices.control.ledger
        explainers = ledger_explainers(
            ledger.placements, ledger.holders, lambda: slices.batch.placement.infeasible_jobs
        )
        return explainers[kind](name)

    return explain


def _manifest_in_force(slices: Slices) -> ManifestInForce | None:
    current = slices.config.current
    if current is None:
        return None
    return ManifestInForce(current.version, current.record, slices.config.history.read_offset)


def admin_sources(slices: Slices, unready_reasons: Callable[[], tuple[str, ...]]) -> AdminSources:
    """Return the functions that the admin port calls for its answers.

    :param unready_reasons: returns why the process is not ready, empty when it is ready
    """
    return AdminSources(
        unready_reasons=unready_reasons,
        state_parts={
            "process": lambda: {"incarnation": slices.incarnation},
            "manifest": lambda: _manifest_state(slices),
            "ledger": lambda: _ledger_state(slices),
            "holdings": lambda: _holdings_state(slices),
            "requests": slices.requests.dump,
            "batch": slices.batch.dump,
            "peers": lambda: _peers_state(slices),
            "metrics": lambda: slices.metrics.state,
        },
        explainers={kind: _create_explainer(slices, kind) for kind in ("job", "worker")},
        manifest=lambda: _manifest_in_force(slices),
    )


def _gauges(slices: Slices, is_ready: bool) -> Mapping[str, float]:
    now = _now()
    requests = slices.requests.dump()
    return {
        "requests.in_flight": slices.requests.in_flight,
        "requests.queued": requests["queue"],
        "requests.ejected": sum(health["is_ejected"] for health in requests["minions"].values()),
        "log.pending": slices.appender.pending,
        "log.config_evidence_seconds": now - slices.config.evidence_at,
        "log.control_evidence_seconds": now - slices.control.evidence_at,
        "manifest.version": slices.config.version,
        "peers.live": len(slices.membership.live_peers(now)),
        "holdings.minions": len(_usable_minions(slices)),
        "holdings.workers": len(_held_workers(slices)),
        "process.ready": is_ready,
    }


def _peer_counts(slices: Slices) -> Counter[str]:
    return slices.membership.counts + slices.transport.counts


# The request path reports its other counters itself, with labels.
_REQUEST_COUNTERS = (
    "callers_gone",
    "connections_refused",
    "head_timeouts",
    "reservations_expired",
)


def _request_counts(slices: Slices) -> Mapping[str, int]:
    counters = slices.requests.dump()["counters"]
    return {name: counters.get(name, 0) for name in _REQUEST_COUNTERS}


def connect_metrics(slices: Slices, unready_reasons: Callable[[], tuple[str, ...]]) -> None:
    """Register the counters and gauges that the slices keep; they are read at each flush.

    :param unready_reasons: returns why the process is not ready, empty when it is ready
    """
    metrics = slices.metrics
    metrics.add_counters("requests", lambda: _request_counts(slices))
    metrics.add_counters("log", lambda: slices.appender.counts)
    metrics.add_counters("ledger", lambda: slices.control.ledger.counts)
    metrics.add_counters("peers", lambda: _peer_counts(slices))
    metrics.add_counters("tasks", lambda: slices.batch.counts)
    metrics.add_gauges(lambda: _gauges(slices, not unready_reasons()))
