"""Encoding and restoring of snapshots of the ledger and of the manifest's state.

Section 3.3 of docs/design.md describes them.
"""

from __future__ import annotations

import hashlib
import zlib

import msgspec

from dotterelhill.ledger.amounts import Amounts
from dotterelhill.ledger.fold import Ledger, ManifestAt
from dotterelhill.ledger.records import StopOutcome
from dotterelhill.ledger.state import (
    Ended,
    EndReason,
    Holding,
    Incarnation,
    JobLedger,
    Run,
    Worker,
)
from dotterelhill.manifest import (
    AcceptedManifest,
    Fault,
    Job,
    PublicationVerdict,
    Verdict,
    manifest_from_record,
)
from dotterelhill.manifest.feed import ConfigState

SNAPSHOT_VERSION = 1
SNAPSHOT_STREAM = "snapshots"
MAX_CHUNK_BYTES = 64 * 1024
# The other fields of a chunk take less than 100 bytes.
CHUNK_DATA_BYTES = MAX_CHUNK_BYTES - 256
# Bounds the memory of a reader to 256 MB of chunks, which is far above any real ledger.
MAX_PARTS = 4096
# Covers about 17 h at 730 publications a day; operators do not need older verdicts.
MAX_VERDICTS = 512
_COMPRESSION_LEVEL = 1


class SnapshotError(ValueError):
    """Raised for a snapshot that is torn, of another version or otherwise not valid."""


class _ConfigRow(msgspec.Struct, frozen=True, array_like=True):
    next_offset: int
    read_offset: int
    manifests: list[tuple[int, bytes]]
    verdicts: list[tuple[int, str, str, list[tuple[str, str]]]]


class _RunRow(msgspec.Struct, frozen=True, array_like=True):
    """Encoded run.

    :param worker: index of its worker in ``SnapshotContent.workers``
    :param reserved: amounts, member and team; None if they equal those of the job's declaration
    """

    index: int
    worker: int
    token: int
    attempt: int
    checkpoint: str
    reserved: tuple[tuple[int, int, int], str, str] | None


class _JobRow(msgspec.Struct, frozen=True, array_like=True):
    name: str
    declared_at: int
    is_declared: bool
    job: Job
    ended: dict[str, list[int]]
    resume_points: list[tuple[int, int, str]]
    runs: list[_RunRow]


class SnapshotContent(msgspec.Struct, frozen=True, array_like=True):
    """State that a reader needs to continue after ``control_offset``.

    :param control_offset: offset of the last folded control record
    :param control_next: offset of the first control record that was not read
    """

    version: int
    control_offset: int
    control_next: int
    adopted_version: int
    adopted_digest: str
    config: _ConfigRow
    joined: list[tuple[str, str, str, int]]
    ended: list[tuple[str, str, int]]
    holdings: list[tuple[str, str, int, bool, bool, str, int]]
    workers: list[tuple[str, str, str, tuple[int, int, int], int]]
    jobs: list[_JobRow]


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True):
    """Record of the ``snapshots`` stream that carries one part of a snapshot.

    :param control_offset: offset of the last control record that the snapshot covers
    :param part: index of this part, from 0
    :param parts: number of parts of the snapshot
    :param digest: SHA-256 of the whole snapshot
    """

    version: int
    control_offset: int
    part: int
    parts: int
    digest: bytes
    data: bytes


_CONTENT_DECODER = msgspec.msgpack.Decoder(SnapshotContent)
_CHUNK_DECODER = msgspec.msgpack.Decoder(SnapshotChunk)


def encode_snapshot(ledger: Ledger, control_next: int, config: ConfigState) -> bytes:
    """Return an encoded snapshot; equal states give equal bytes.

    :param control_next: offset of the first control record that was not read
    """
    holders, placements = ledger.holders, ledger.placements
    workers = [placements.workers[name] for name in sorted(placements.workers)]
    numbers = {worker.name: number for number, worker in enumerate(workers)}
    content = SnapshotContent(
        version=SNAPSHOT_VERSION,
        control_offset=ledger.read_offset,
        control_next=control_next,
        adopted_version=ledger.adopted_version,
        adopted_digest=ledger.adopted_digest,
        config=_config_row(config),
        joined=sorted(
            (item.incarnation, item.entry, item.failure_domain, item.joined_at)
            for item in holders.joined.values()
        ),
        ended=[(item.incarnation, item.reason, item.ended_at) for item in holders.ended.values()],
        holdings=sorted(_holding_row(item) for item in holders.holdings.values()),
        workers=[
            (worker.name, worker.rack, worker.failure_domain, worker.amounts, worker.fence)
            for worker in workers
        ],
        jobs=[_job_row(placements.jobs[key], numbers) for key in sorted(placements.jobs)],
    )
    return zlib.compress(msgspec.msgpack.encode(content), _COMPRESSION_LEVEL)


def decode_snapshot(data: bytes) -> SnapshotContent:
    """Return the content of a snapshot.

    :raises SnapshotError: if it is torn or of another version
    """
    try:
        content = _CONTENT_DECODER.decode(zlib.decompress(data))
    except (zlib.error, msgspec.DecodeError, RecursionError) as error:
        raise SnapshotError(f"not a snapshot of version {SNAPSHOT_VERSION}: {error}") from error
    if content.version != SNAPSHOT_VERSION:
        raise SnapshotError(f"version {content.version}, this program knows {SNAPSHOT_VERSION}")
    return content


def restored_config(content: SnapshotContent) -> ConfigState:
    """Return the manifest state of a snapshot.

    :raises SnapshotError: if this program rejects a manifest in it
    """
    row = content.config
    try:
        manifests = tuple(
            manifest_from_record(version, record) for version, record in row.manifests
        )
    except ValueError as error:
        raise SnapshotError(f"manifest: {error}") from error
    verdicts = tuple(
        PublicationVerdict(offset, name, Verdict(verdict), tuple(Fault(*item) for item in faults))
        for offset, name, verdict, faults in row.verdicts
    )
    return ConfigState(row.next_offset, row.read_offset, manifests, verdicts)


def restored_ledger(
    content: SnapshotContent, config: ConfigState, manifest_at: ManifestAt
) -> Ledger:
    """Return the ledger of a snapshot.

    :raises SnapshotError: if the adopted manifest is not in ``config``
    """
    ledger = Ledger(manifest_at)
    ledger.restore_position(content.control_offset, content.adopted_version, content.adopted_digest)
    ledger.holders.restore(
        (Incarnation(*row) for row in content.joined),
        (Ended(name, EndReason(reason), offset) for name, reason, offset in content.ended),
        (Holding(*row) for row in content.holdings),
    )
    if content.adopted_version:
        ledger.placements.restore_manifest(
            _adopted_manifest(content.adopted_version, config).manifest
        )
    for name, rack, failure_domain, amounts, fence in content.workers:
        worker = Worker(name, rack, failure_domain, Amounts(*amounts), fence=fence)
        ledger.placements.add_worker(worker)
    for row in content.jobs:
        _restore_job(ledger, row, content)
    return ledger


def snapshot_chunks(control_offset: int, data: bytes) -> list[bytes]:
    """Return the records that carry a snapshot, each at most 64 KB.

    :param control_offset: offset of the last control record that the snapshot covers
    """
    digest = hashlib.sha256(data).digest()
    parts = max(1, -(-len(data) // CHUNK_DATA_BYTES))
    return [
        msgspec.msgpack.encode(
            SnapshotChunk(
                SNAPSHOT_VERSION,
                control_offset,
                part,
                parts,
                digest,
                data[part * CHUNK_DATA_BYTES : (part + 1) * CHUNK_DATA_BYTES],
            )
        )
        for part in range(parts)
    ]


class SnapshotAssembler:
    """Assembles chunks and keeps the valid snapshot with the highest ``control_offset``."""

    def __init__(self) -> None:
        self._best: SnapshotContent | None = None
        self._best_offset = -1
        self._partial: dict[tuple[int, bytes, int], dict[int, bytes]] = {}
        self._unusable_count = 0

    @property
    def best(self) -> SnapshotContent | None:
        """Return the valid snapshot with the highest offset so far; None for none."""
        return self._best

    @property
    def unusable_count(self) -> int:
        """Return the number of torn chunks and invalid snapshots."""
        return self._unusable_count

    def add(self, data: bytes) -> None:
        """Add the record of one chunk; chunks may come in any order."""
        try:
            chunk = _CHUNK_DECODER.decode(data)
        except (msgspec.DecodeError, RecursionError):
            self._unusable_count += 1
            return
        if not 0 <= chunk.part < chunk.parts <= MAX_PARTS:
            self._unusable_count += 1
            return
        if chunk.control_offset <= self._best_offset:
            return
        key = (chunk.control_offset, chunk.digest, chunk.parts)
        parts = self._partial.setdefault(key, {})
        parts[chunk.part] = chunk.data
        if len(parts) == chunk.parts:
            del self._partial[key]
            self._assemble(chunk, b"".join(parts[number] for number in range(chunk.parts)))

    def _assemble(self, chunk: SnapshotChunk, data: bytes) -> None:
        if hashlib.sha256(data).digest() != chunk.digest:
            self._unusable_count += 1
            return
        try:
            content = decode_snapshot(data)
        except SnapshotError:
            self._unusable_count += 1
            return
        self._best = content
        self._best_offset = chunk.control_offset
        self._partial = {
            key: parts for key, parts in self._partial.items() if key[0] > self._best_offset
        }


def _config_row(config: ConfigState) -> _ConfigRow:
    verdicts = config.verdicts[-MAX_VERDICTS:]
    return _ConfigRow(
        config.next_offset,
        config.read_offset,
        [(manifest.version, manifest.record) for manifest in config.manifests],
        [
            (
                item.offset,
                item.publication_id,
                item.verdict,
                [(fault.path, fault.reason) for fault in item.faults],
            )
            for item in verdicts
        ],
    )


def _holding_row(holding: Holding) -> tuple[str, str, int, bool, bool, str, int]:
    return (
        holding.resource,
        holding.holder,
        holding.token,
        holding.is_released,
        holding.follows_release,
        holding.previous_holder,
        holding.previous_token,
    )


def _job_row(job: JobLedger, worker_numbers: dict[str, int]) -> _JobRow:
    ended: dict[str, list[int]] = {}
    for index in sorted(job.ended):
        ended.setdefault(job.ended[index].value, []).append(index)
    return _JobRow(
        job.name,
        job.declared_at,
        job.is_declared,
        job.job,
        dict(sorted(ended.items())),
        [(index, *job.resume_points[index]) for index in sorted(job.resume_points)],
        [_run_row(job, job.runs[index], worker_numbers) for index in sorted(job.runs)],
    )


def _run_row(job: JobLedger, run: Run, worker_numbers: dict[str, int]) -> _RunRow:
    reserved = None
    if (run.amounts, run.member, run.team) != (job.amounts, job.job.member, job.job.team):
        reserved = (run.amounts, run.member, run.team)
    return _RunRow(
        run.index, worker_numbers[run.worker], run.token, run.attempt, run.checkpoint, reserved
    )


def _adopted_manifest(version: int, config: ConfigState) -> AcceptedManifest:
    for manifest in config.manifests:
        if manifest.version == version:
            return manifest
    raise SnapshotError(f"the adopted manifest {version} is missing")


def _restore_job(ledger: Ledger, row: _JobRow, content: SnapshotContent) -> None:
    job = JobLedger(row.name, row.declared_at, row.job)
    if row.is_declared:
        ended = {
            index: StopOutcome(outcome)
            for outcome, indices in row.ended.items()
            for index in indices
        }
        job.restore(ended, {index: (attempt, name) for index, attempt, name in row.resume_points})
    else:
        job.withdraw()
    ledger.placements.add_job(job)
    for item in row.runs:
        reserved = item.reserved or (job.amounts, job.job.member, job.job.team)
        ledger.placements.add_run(
            Run(
                task=f"{job.key}/{item.index}",
                job=job.key,
                index=item.index,
                worker=content.workers[item.worker][0],
                token=item.token,
                attempt=item.attempt,
                checkpoint=item.checkpoint,
                amounts=Amounts(*reserved[0]),
                member=reserved[1],
                team=reserved[2],
            )
        )
