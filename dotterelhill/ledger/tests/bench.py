"""Test fixture: a ledger with a manifest, and helpers that append records to its stream."""

from __future__ import annotations

from typing import Any

from dotterelhill.ledger import Adopt, Ledger, RecordVerdict, encode_record
from dotterelhill.manifest import manifest_from_document

LIMITS = {"requests_per_second": 100, "in_flight": 100, "cpu": 64, "memory_gb": 640}


def document(jobs: dict[str, Any], states: dict[str, str], **other: Any) -> dict[str, Any]:
    team = {"cpu": 20, "memory_gb": 200}
    return {
        "members": {"gadespil": {"limits": LIMITS, "teams": {"registers": team}}},
        "limits": LIMITS,
        "failure_domains": {
            name: {"region": "sjaelland", "state": state} for name, state in states.items()
        },
        "jobs": jobs,
        **other,
    }


def job(tasks: int = 1, cpu: float = 4.0, **other: Any) -> dict[str, Any]:
    return {"member": "gadespil", "team": "registers", "tasks": tasks, "cpu": cpu, **other}


class LedgerBench:
    """A ledger that reads a control stream kept in a list."""

    def __init__(self) -> None:
        self.manifests: dict[int, Any] = {}
        self.stream: list[tuple[int, bytes]] = []
        self.jobs: dict[str, Any] = {}
        self.states = {"kbh-nord": "in", "roskilde": "in"}
        self.lost_workers: list[str] = []
        self.ledger = self.new_reader()
        self.verdict: RecordVerdict | None = None
        self.tokens: dict[str, int] = {}

    def new_reader(self) -> Ledger:
        return Ledger(self.manifests.get)

    def append_bytes(self, data: bytes) -> RecordVerdict:
        offset = len(self.stream) + 1
        self.stream.append((offset, data))
        self.verdict = self.ledger.apply(offset, data)
        return self.verdict

    def append(self, record: Any) -> RecordVerdict:
        return self.append_bytes(encode_record(record))

    def declare(self, version: int) -> None:
        content = document(self.jobs, self.states, lost_workers=self.lost_workers)
        self.manifests[version] = manifest_from_document(content)

    def adopt(self, version: int) -> RecordVerdict:
        return self.append(Adopt(manifest_version=version, digest=""))
