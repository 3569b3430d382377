from __future__ import annotations

import itertools
import json
import random
import zlib

import msgspec
from behave import then, when

from dotterelhill.ledger import (
    Assign,
    Capacity,
    Fence,
    Hold,
    Join,
    Leave,
    Release,
    StopOutcome,
    Stopped,
    Unfence,
)
from dotterelhill.ledger.snapshot import (
    SNAPSHOT_VERSION,
    SnapshotAssembler,
    decode_snapshot,
    encode_snapshot,
    restored_config,
    restored_ledger,
    snapshot_chunks,
)
from dotterelhill.ledger.tests.bench import LedgerBench, document, job
from dotterelhill.manifest import AcceptedManifest, PublicationVerdict, Verdict
from dotterelhill.manifest.feed import ConfigState


def config_state(bench, verdicts=()):
    adopted = bench.ledger.adopted_version
    if not adopted:
        return ConfigState()
    manifest = bench.manifests[adopted]
    jobs = {name: json.loads(msgspec.json.encode(item)) for name, item in manifest.jobs.items()}
    states = {name: domain.state.value for name, domain in manifest.failure_domains.items()}
    content = document(jobs, states, lost_workers=list(manifest.lost_workers))
    record = json.dumps({"id": f"p{adopted}", "base": 0, "document": content}).encode()
    accepted = AcceptedManifest(adopted, manifest, record)
    return ConfigState(adopted + 1, adopted, (accepted,), tuple(verdicts))


def encoded_snapshot(bench, verdicts=()):
    next_offset = bench.ledger.read_offset + 1
    return encode_snapshot(bench.ledger, next_offset, config_state(bench, verdicts))


def restored_reader(bench, data):
    content = decode_snapshot(data)
    return restored_ledger(content, restored_config(content), bench.manifests.get)


@when("the ledger is restored from its snapshot")
def restore(context):
    bench = context.bench
    data = encoded_snapshot(bench)
    bench.ledger = restored_reader(bench, data)
    assert encoded_snapshot(bench) == data


@when('a snapshot is taken as "{name}"')
def take_snapshot(context, name):
    take_padded_snapshot(context, name, 0)


@when('a snapshot of {size:d} bytes is taken as "{name}"')
def take_padded_snapshot(context, name, size):
    # Random names do not compress, so the snapshot needs several chunks.
    noise = random.Random(size)
    verdicts = [
        PublicationVerdict(n, f"{n}{noise.randbytes(250).hex()}", Verdict.BASE_OUTDATED)
        for n in range(size // 250)
    ]
    data = encoded_snapshot(context.bench, verdicts)
    assert len(data) >= size
    chunks = snapshot_chunks(context.bench.ledger.read_offset, data)
    context.snapshots = {**getattr(context, "snapshots", {}), name: (data, chunks)}


@when('the last chunk is missing of "{name}"')
def drop_chunk(context, name):
    del context.snapshots[name][1][-1]


@when('the last chunk is torn of "{name}"')
def tear_chunk(context, name):
    chunks = context.snapshots[name][1]
    chunks[-1] = chunks[-1][:-100]


@when('a byte of the last chunk differs of "{name}"')
def change_chunk(context, name):
    chunks = context.snapshots[name][1]
    chunks[-1] = chunks[-1][:-1] + bytes([chunks[-1][-1] ^ 1])


@when('the digest is that of other data of "{name}"')
def change_digest(context, name):
    chunks = [msgspec.msgpack.decode(chunk) for chunk in context.snapshots[name][1]]
    for chunk in chunks:
        chunk[4] = bytes(32)
    context.snapshots[name][1][:] = [msgspec.msgpack.encode(chunk) for chunk in chunks]


@when('the format is a newer version of "{name}"')
def raise_version(context, name):
    data, chunks = context.snapshots[name]
    content = msgspec.msgpack.decode(zlib.decompress(data))
    content[0] = SNAPSHOT_VERSION + 1
    chunks[:] = snapshot_chunks(99, zlib.compress(msgspec.msgpack.encode(content)))


def check_best(context, chunks, name):
    assembler = SnapshotAssembler()
    for chunk in chunks:
        assembler.add(chunk)
    assert assembler.best == decode_snapshot(context.snapshots[name][0])


@then('a reader of the chunks of "{names}" selects "{name}"')
def check_in_order(context, names, name):
    chunks = [chunk for item in names.split() for chunk in context.snapshots[item][1]]
    check_best(context, chunks, name)


@then('a reader of the mixed chunks of "{names}" selects "{name}"')
def check_mixed(context, names, name):
    groups = [context.snapshots[item][1] for item in names.split()]
    assert all(len(group) > 1 for group in groups)
    mixed = [chunk for group in itertools.zip_longest(*groups) for chunk in group if chunk]
    check_best(context, mixed, name)


@then('each chunk of "{name}" has at most {size:d} bytes')
def check_size(context, name, size):
    chunks = context.snapshots[name][1]
    assert max(map(len, chunks)) <= size and len(chunks) > 1


def random_record(rng, bench):
    """Return a random record that is often accepted, often outdated and sometimes a duplicate."""
    if rng.random() < 0.1:
        return None
    offsets = range(max(0, len(bench.stream) - 12), len(bench.stream) + 1)
    token = rng.choice(offsets)
    runs = list(bench.ledger.placements.runs.values())
    worker = f"w{rng.randint(1, 3)}"
    entry = f"kbh-{rng.randint(1, 2)}"
    incarnation = f"{entry}/{rng.randint(1, 4)}"
    resource = rng.choice([f"worker:{worker}", "minion:m1"])
    holding = bench.ledger.holders.holding(resource)
    previous = holding.token if holding and rng.random() < 0.8 else 0
    key = rng.choice([*bench.ledger.placements.jobs, "sync@1"])
    pending = [
        f"{known.key}/{index}"
        for known in bench.ledger.placements.declared_jobs.values()
        for index in known.pending
    ]
    if pending and rng.random() < 0.8:
        task = rng.choice(pending)
    else:
        task = f"{key}/{rng.randint(0, 3)}"
    known = bench.ledger.placements.task(task)
    run = rng.choice(runs) if runs else None
    kinds = ["join", "leave", "hold", "release", "fence", "unfence", "capacity"]
    match rng.choice([*kinds, *["assign", "stop"] * 5]):
        case "join":
            return Join(incarnation=incarnation, entry=entry, failure_domain="kbh-nord")
        case "leave":
            return Leave(incarnation=incarnation)
        case "hold":
            return Hold(resource=resource, holder=incarnation, previous=previous)
        case "release":
            return Release(resource=resource, token=previous or token)
        case "fence":
            held = bench.ledger.holders.previous_token(f"worker:{worker}")
            return Fence(worker=worker, token=held)
        case "unfence":
            held = bench.ledger.holders.previous_token(f"worker:{worker}")
            return Unfence(worker=worker, token=held)
        case "capacity":
            return Capacity(
                worker=worker,
                rack="r",
                failure_domain="roskilde",
                cpu=float(rng.randint(4, 12)),
                memory_gb=10.0,
                accelerators=0,
            )
        case "assign":
            attempt = known.attempt if known else 1
            checkpoint = known.checkpoint if known else ""
            return Assign(
                task=task, worker=worker, attempt=attempt, checkpoint=checkpoint, writer="a"
            )
    outcome = rng.choice(list(StopOutcome))
    if run is None or rng.random() < 0.2:
        return Stopped(task=task, token=token, outcome=outcome)
    return Stopped(
        task=run.task, token=run.token, outcome=outcome, checkpoint=rng.choice(["", f"c{token}"])
    )


def change_manifest(rng, bench):
    if rng.random() < 0.3:
        bench.jobs.pop("sync", None)
    else:
        cancelled = rng.random() < 0.2
        bench.jobs["sync"] = job(rng.randint(1, 4), float(rng.randint(1, 4)), cancelled=cancelled)
    bench.states["roskilde"] = rng.choice(["in", "in", "in", "out", "lost"])
    bench.lost_workers[:] = rng.choice([[], [], ["w3"]])
    version = max(bench.manifests, default=0) + 1
    bench.declare(version)
    bench.adopt(version)


def check_invariants(bench, capacities):
    placements = bench.ledger.placements
    for worker in placements.workers.values():
        reserved = [run.amounts for run in worker.runs.values()]
        for amount in range(3):
            total = sum(item[amount] for item in reserved)
            assert total == worker.reserved_amounts[amount], worker
    assert sum(len(w.runs) for w in placements.workers.values()) == len(placements.runs)
    verdict = bench.verdict
    if verdict.is_accepted and isinstance(verdict.record, Assign):
        assert verdict.record.task not in capacities["running"]
        free = placements.workers[verdict.record.worker].free_amounts
        assert min(free) >= 0, free
    capacities["running"] = set(placements.runs)


@then("restored readers agree in {count:d} random histories of {length:d} records")
def check_random(context, count, length):
    accepted = 0
    for seed in range(count):
        rng = random.Random(seed)
        bench = LedgerBench()
        state = {"running": set()}
        split = rng.randint(0, length)
        reader = bench.new_reader()
        for number in range(length):
            if number == split:
                reader = restored_reader(bench, encoded_snapshot(bench))
            record = random_record(rng, bench)
            if record is None:
                change_manifest(rng, bench)
            else:
                bench.append(record)
            check_invariants(bench, state)
            accepted += bench.verdict.is_accepted
            if number >= split:
                found = reader.apply(*bench.stream[-1])
                assert found == bench.verdict, (seed, number, found, bench.verdict)
        if split < length:
            content = encode_snapshot(reader, 1, config_state(bench))
            assert content == encode_snapshot(bench.ledger, 1, config_state(bench)), seed
    # Histories in which few records are accepted would not exercise the ledger.
    assert accepted > count * length / 4, accepted
