"""Snapshots of the ledger and of the manifest's state; docs/design.md, section 3.3."""

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
LARGEST_CHUNK_BYTES = 64 * 1024
# Leaves room for the other fields of a chunk, which take under 100 bytes.
CHUNK_DATA_BYTES = LARGEST_CHUNK_BYTES - 256
# Bounds the memory that a reader needs for chunks: 256 MB would be far above any real ledger.
LARGEST_PARTS = 4096
# Verdicts of about 17 h at 730 publications a day; older ones are of no use to operators.
SNAPSHOT_VERDICTS = 512
_COMPRESSION_LEVEL = 1


class SnapshotError(ValueError):
    """A snapshot can't be used: torn, or of a newer version."""


class _ConfigRow(msgspec.Struct, frozen=True, array_like=True):
    next_offset: int
    read_offset: int
    manifests: list[tuple[int, bytes]]
    verdicts: list[tuple[int, str, str, list[tuple[str, str]]]]


class _RunRow(msgspec.Struct, frozen=True, array_like=True):
    """A run; ``reserved`` is None when it equals what the job's declaration gives."""

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
    resumes: list[tuple[int, int, str]]
    runs: list[_RunRow]


class SnapshotContent(msgspec.Struct, frozen=True, array_like=True):
    """Everything that a reader needs to go on after ``control_offset``.

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
    """Record of the ``snapshots`` stream.

    :param covers: control offset that the snapshot reaches
    :param digest: SHA-256 of the whole snapshot
    """

    version: int
    covers: int
    part: int
    parts: int
    digest: bytes
    data: bytes


_CONTENT_DECODER = msgspec.msgpack.Decoder(SnapshotContent)
_CHUNK_DECODER = msgspec.msgpack.Decoder(SnapshotChunk)


def encode_snapshot(ledger: Ledger, control_next: int, config: ConfigState) -> bytes:
    """Return the bytes of a snapshot; equal states give equal bytes.

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
            (i.incarnation, i.entry, i.failure_domain, i.joined_at) for i in holders.joined.values()
        ),
        ended=[(item.incarnation, item.reason, item.ended_at) for item in holders.ended.values()],
        holdings=sorted(_holding_row(item) for item in holders.holdings.values()),
        workers=[(w.name, w.rack, w.failure_domain, w.amounts, w.fence) for w in workers],
        jobs=[_job_row(placements.jobs[key], numbers) for key in sorted(placements.jobs)],
    )
    return zlib.compress(msgspec.msgpack.encode(content), _COMPRESSION_LEVEL)


def decode_snapshot(data: bytes) -> SnapshotContent:
    """Return the content of a snapshot.

    :raises SnapshotError: when it is torn or of another version
    """
    try:
        content = _CONTENT_DECODER.decode(zlib.decompress(data))
    except (zlib.error, msgspec.DecodeError, RecursionError) as error:
        raise SnapshotError(f"not a snapshot of version {SNAPSHOT_VERSION}: {error}") from error
    if content.version != SNAPSHOT_VERSION:
        raise SnapshotError(f"version {content.version}, this program knows {SNAPSHOT_VERSION}")
    return content


def restored_config(content: SnapshotContent) -> ConfigState:
    """Return the manifest's state of a snapshot.

    :raises SnapshotError: when a manifest in it is not valid here
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

    :raises SnapshotError: when the adopted manifest is not in it
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


def snapshot_chunks(covers: int, data: bytes) -> list[bytes]:
    """Return the records that carry a snapshot, each at most 64 KB.

    :param covers: control offset that the snapshot reaches
    """
    digest = hashlib.sha256(data).digest()
    parts = max(1, -(-len(data) // CHUNK_DATA_BYTES))
    return [
        msgspec.msgpack.encode(
            SnapshotChunk(
                SNAPSHOT_VERSION,
                covers,
                part,
                parts,
                digest,
                data[part * CHUNK_DATA_BYTES : (part + 1) * CHUNK_DATA_BYTES],
            )
        )
        for part in range(parts)
    ]


class SnapshotAssembler:
    """Finds the complete, valid snapshot with the highest ``covers`` among chunks."""

    def __init__(self) -> None:
        self._best: SnapshotContent | None = None
        self._covers = -1
        self._partial: dict[tuple[int, bytes, int], dict[int, bytes]] = {}
        self._unusable = 0

    @property
    def best(self) -> SnapshotContent | None:
        """Return the best snapshot of the chunks so far."""
        return self._best

    @property
    def unusable(self) -> int:
        """Return the number of torn chunks and of snapshots that can't be used."""
        return self._unusable

    def add(self, data: bytes) -> None:
        """Take the record of one chunk, in any order."""
        try:
            chunk = _CHUNK_DECODER.decode(data)
        except (msgspec.DecodeError, RecursionError):
            self._unusable += 1
            return
        if not 0 <= chunk.part < chunk.parts <= LARGEST_PARTS:
            self._unusable += 1
            return
        if chunk.covers <= self._covers:
            return
        key = (chunk.covers, chunk.digest, chunk.parts)
        parts = self._partial.setdefault(key, {})
        parts[chunk.part] = chunk.data
        if len(parts) == chunk.parts:
            del self._partial[key]
            self._finish(chunk, b"".join(parts[number] for number in range(chunk.parts)))

    def _finish(self, chunk: SnapshotChunk, data: bytes) -> None:
        if hashlib.sha256(data).digest() != chunk.digest:
            self._unusable += 1
            return
        try:
            content = decode_snapshot(data)
        except SnapshotError:
            self._unusable += 1
            return
        self._best = content
        self._covers = chunk.covers
        self._partial = {
            key: parts for key, parts in self._partial.items() if key[0] > self._covers
        }


def _config_row(config: ConfigState) -> _ConfigRow:
    verdicts = config.verdicts[-SNAPSHOT_VERDICTS:]
    return _ConfigRow(
        config.next_offset,
        config.read_offset,
        [(manifest.version, manifest.record) for manifest in config.manifests],
        [
            (v.offset, v.publication_id, v.verdict, [(f.path, f.reason) for f in v.faults])
            for v in verdicts
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
        [(index, *job.resumes[index]) for index in sorted(job.resumes)],
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
        ended = {i: StopOutcome(outcome) for outcome, items in row.ended.items() for i in items}
        job.restore(ended, {index: (attempt, name) for index, attempt, name in row.resumes})
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
