"""Cost of the ledger, its snapshots and heartbeats at rising sizes, within one process."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Iterator
from dataclasses import dataclass

from dotterelhill.core import task_id
from dotterelhill.ledger import (
    Adopt,
    Assign,
    Capacity,
    ControlRecord,
    Ledger,
    StopOutcome,
    Stopped,
    encode_record,
)
from dotterelhill.ledger.snapshot import decode_snapshot, encode_snapshot
from dotterelhill.manifest import Manifest, manifest_from_document
from dotterelhill.manifest.feed import ConfigState
from dotterelhill.membership.heartbeats import (
    Heartbeat,
    PeerSummary,
    decode_message,
    encode_message,
)
from measure.report import Figure, figure_without_target, print_figures

DOMAINS = 7
TASKS_PER_JOB = 100
STARTS_PER_SECOND = 180.0
MICROSECONDS = 1e6
HEARTBEATS = 20_000


@dataclass(frozen=True, slots=True)
class Size:
    """Size of a ledger: workers and running tasks."""

    workers: int
    tasks: int


SIZES = (Size(30, 300), Size(430, 2_200), Size(430, 8_400))


def _manifest(size: Size) -> Manifest:
    ample_resources = {"cpu": 1e6, "memory_gb": 1e6, "accelerators": 1000}
    limits = {"requests_per_second": 1e5, "in_flight": 100_000, **ample_resources}
    job = {"member": "m", "team": "t", "cpu": 0.5, "tasks": TASKS_PER_JOB}
    return manifest_from_document(
        {
            "members": {"m": {"limits": limits, "teams": {"t": ample_resources}}},
            "limits": limits,
            "failure_domains": {f"d{n}": {"region": f"r{n % 2}"} for n in range(DOMAINS)},
            "jobs": {f"job{n}": job for n in range(size.tasks // TASKS_PER_JOB)},
        }
    )


def _records(size: Size) -> list[ControlRecord]:
    records: list[ControlRecord] = [Adopt(manifest_version=1, digest="")]
    for n in range(size.workers):
        worker = f"worker-{n}"
        records.append(
            Capacity(
                worker=worker,
                rack=f"rack-{n // 8}",
                failure_domain=f"d{n % DOMAINS}",
                cpu=32.0,
                memory_gb=125.0,
                accelerators=2,
            )
        )
    for n in range(size.tasks):
        task = task_id(f"job{n // TASKS_PER_JOB}", 1, n % TASKS_PER_JOB)
        worker = f"worker-{n % size.workers}"
        records.append(Assign(task=task, worker=worker, attempt=1, checkpoint="", writer="e/0"))
    return records


def _new_ledger(manifest: Manifest) -> Ledger:
    return Ledger(lambda version: manifest)


def _fold_records(manifest: Manifest, records: list[bytes]) -> Ledger:
    ledger = _new_ledger(manifest)
    for offset, record in enumerate(records, start=1):
        ledger.apply(offset, record)
    return ledger


def _ledger_figures(size: Size) -> list[Figure]:
    manifest = _manifest(size)
    records = [encode_record(record) for record in _records(size)]
    started = time.process_time()
    ledger = _fold_records(manifest, records)
    fold_seconds = time.process_time() - started
    tracemalloc.start()
    traced_ledger = _fold_records(manifest, records)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del traced_ledger
    label = f"{size.workers} workers, {size.tasks} running tasks"
    figures = [
        figure_without_target(
            f"{label}: fold of a record", "us", fold_seconds / len(records) * MICROSECONDS
        ),
        figure_without_target(f"{label}: memory of the ledger", "MB", memory / 2**20),
        _evictions_figure(label, size, ledger, len(records)),
        *_snapshot_figures(label, ledger, manifest, len(records)),
    ]
    assign = encode_record(_records(size)[-1])
    figures.append(figure_without_target(f"{label}: an Assign record", "bytes", len(assign)))
    return figures


def _evictions_figure(label: str, size: Size, ledger: Ledger, folded_count: int) -> Figure:
    """Return the cost of folding a Stopped record for every running task."""
    first = folded_count - size.tasks + 1
    end_records = [
        Stopped(
            task=task_id(f"job{n // TASKS_PER_JOB}", 1, n % TASKS_PER_JOB),
            token=first + n,
            outcome=StopOutcome.EVICTED,
            checkpoint="c",
        )
        for n in range(size.tasks)
    ]
    records = [encode_record(end_record) for end_record in end_records]
    started = time.process_time()
    for offset, record in enumerate(records, start=folded_count + 1):
        ledger.apply(offset, record)
    seconds = time.process_time() - started
    return figure_without_target(
        f"{label}: fold of Stopped", "us", seconds / len(records) * MICROSECONDS
    )


def _snapshot_figures(
    label: str, ledger: Ledger, manifest: Manifest, folded_count: int
) -> list[Figure]:
    started = time.process_time()
    data = encode_snapshot(ledger, folded_count + 1, ConfigState())
    encode_seconds = time.process_time() - started
    started = time.process_time()
    decode_snapshot(data)
    decode_seconds = time.process_time() - started
    return [
        figure_without_target(f"{label}: snapshot", "bytes", len(data)),
        figure_without_target(f"{label}: snapshot written", "ms", encode_seconds * 1000.0),
        figure_without_target(f"{label}: snapshot decoded", "ms", decode_seconds * 1000.0),
    ]


def _heartbeat(peers_in_summary: int) -> Heartbeat:
    summary = [
        PeerSummary(
            incarnation=f"caxias-entry{n}/0123456789abcdef",
            failure_domain="caxias",
            region="serra",
            peer_address="10.0.0.1:8082",
            forward_address="10.0.0.1:8081",
            is_ready=True,
            manifest_version=12,
            control_offset=123456,
            age=1.5,
            free_slots={"bancada": 26},
        )
        for n in range(peers_in_summary)
    ]
    return Heartbeat(
        sender="caxias-entry1/0123456789abcdef",
        entry="caxias-entry1",
        failure_domain="caxias",
        region="serra",
        peer_address="10.0.0.1:8082",
        forward_address="10.0.0.1:8081",
        is_ready=True,
        manifest_version=12,
        control_offset=123456,
        control_through=123456,
        config_age=0.5,
        control_age=0.5,
        stamp=1000.5,
        echo=1000.25,
        is_promise=True,
        free_slots={"bancada": 26},
        summary=summary,
    )


def _heartbeat_figures() -> list[Figure]:
    figures = []
    for count in (0, 17):
        message = _heartbeat(count)
        data = encode_message(message)
        started = time.process_time()
        for _ in range(HEARTBEATS):
            decode_message(encode_message(message))
        microseconds = (time.process_time() - started) / HEARTBEATS * MICROSECONDS
        label = f"heartbeat with {count} processes in its summary"
        figures.append(figure_without_target(f"{label}: size", "bytes", len(data)))
        figures.append(figure_without_target(f"{label}: encode and decode", "us", microseconds))
    return figures


def figures() -> Iterator[Figure]:
    """Yield the figures for each size."""
    for size in SIZES:
        yield from _ledger_figures(size)
    yield from _heartbeat_figures()


if __name__ == "__main__":
    print_figures(figures())
