"""Cost of control for each node: processor time, memory and bytes of idle entry processes.

Real processes on loopback, without requests and jobs, at rising numbers of entry VMs and workers.
The slopes carry the figures over to the target size, see docs/CAPACITY.md.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import tempfile
from collections.abc import Sequence
from contextlib import aclosing
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from dotterelhill.commands.publication import publish
from dotterelhill.log import HttpLog
from measure.report import Figure, figure_of
from tools.fleet import Fleet
from tools.sample_fleet import FleetSize, SampleFleet

SETTLE_SECONDS = 8.0
MEASURED_SECONDS = 20.0
CPU_PERCENT_TARGET = 1.4
MEMORY_MB_TARGET = 128.0
BYTES_PER_SECOND_TARGET = 7000.0
ENTRY_COUNTS = (1, 3, 6)
WORKER_COUNTS = (2, 8)


@dataclass(frozen=True, slots=True)
class NodeCost:
    """Cost of one entry process.

    :param cpu_percent: of one core
    :param memory_mb: resident memory
    :param platform_bytes: bytes a second between it and log and VM list, both directions
    :param peer_messages: messages a second that it sends to peers
    """

    cpu_percent: float
    memory_mb: float
    platform_bytes: float
    peer_messages: float


def _cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _memory_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024.0
    raise LookupError(f"process {pid} has no VmRSS")


async def _sent_messages(sample: SampleFleet) -> dict[str, int]:
    sent = {}
    async with aiohttp.ClientSession() as session:
        for name, address in sample.addresses("entry", "admin").items():
            async with session.get(f"http://{address}/state") as answer:
                sent[name] = (await answer.json())["peers"]["counts"]["sent"]
    return sent


def _passed_bytes(sample: SampleFleet, name: str) -> int:
    return sample.relay(name, "log").bytes_passed + sample.relay(name, "vms").bytes_passed


async def _costs(sample: SampleFleet) -> list[NodeCost]:
    names = sample.names("entry")
    pids = {name: sample.fleet[name].process.pid for name in names}
    messages = await _sent_messages(sample)
    cpu = {name: _cpu_seconds(pids[name]) for name in names}
    passed = {name: _passed_bytes(sample, name) for name in names}
    await asyncio.sleep(MEASURED_SECONDS)
    costs = []
    cpu_after = {name: _cpu_seconds(pids[name]) for name in names}
    passed_after = {name: _passed_bytes(sample, name) for name in names}
    messages_after = await _sent_messages(sample)
    for name in names:
        costs.append(
            NodeCost(
                100.0 * (cpu_after[name] - cpu[name]) / MEASURED_SECONDS,
                _memory_mb(pids[name]),
                (passed_after[name] - passed[name]) / MEASURED_SECONDS,
                (messages_after[name] - messages[name]) / MEASURED_SECONDS,
            )
        )
    return costs


async def node_costs(size: FleetSize) -> list[NodeCost]:
    """Return the cost of every entry process of an idle fleet."""
    with tempfile.TemporaryDirectory(prefix="dotterelhill-measure-") as directory:
        async with Fleet(Path(directory)) as fleet, aclosing(SampleFleet(fleet, size)) as sample:
            await sample.start()
            log = HttpLog(sample.log_url)
            await publish(log, sample.manifest(), "measure", base=0)
            await log.close()
            await sample.until_ready()
            await asyncio.sleep(SETTLE_SECONDS)
            return await _costs(sample)


def _figures(label: str, costs: Sequence[NodeCost]) -> list[Figure]:
    return [
        figure_of(
            f"{label}: processor time of a node, % of a core",
            [cost.cpu_percent for cost in costs],
            target=CPU_PERCENT_TARGET,
        ),
        figure_of(
            f"{label}: resident memory of a node, MB",
            [cost.memory_mb for cost in costs],
            target=MEMORY_MB_TARGET,
        ),
        figure_of(
            f"{label}: bytes a second to and from log and VM list",
            [cost.platform_bytes for cost in costs],
            target=BYTES_PER_SECOND_TARGET,
        ),
        figure_of(f"{label}: messages a second to peers", [cost.peer_messages for cost in costs]),
    ]


def _slope(low: Sequence[NodeCost], high: Sequence[NodeCost], added: int, name: str) -> float:
    medians = [statistics.median(getattr(cost, name) for cost in costs) for costs in (low, high)]
    return (medians[1] - medians[0]) / added


async def measured() -> list[Figure]:
    """Return the figures at each size and the slopes between them."""
    figures = []
    by_entries = {}
    for count in ENTRY_COUNTS:
        size = FleetSize(entries=count, minions=2, workers=2)
        by_entries[count] = await node_costs(size)
        figures += _figures(f"{3 * count} entry VMs, 6 workers", by_entries[count])
    most, fewest = ENTRY_COUNTS[-1], ENTRY_COUNTS[0]
    added = 3 * (most - fewest)
    for name in ("cpu_percent", "memory_mb", "platform_bytes", "peer_messages"):
        slope = _slope(by_entries[fewest], by_entries[most], added, name)
        figures.append(Figure(f"slope for each entry VM: {name}", slope))
    size = FleetSize(entries=1, minions=2, workers=WORKER_COUNTS[1])
    many_workers = await node_costs(size)
    figures += _figures(f"3 entry VMs, {3 * WORKER_COUNTS[1]} workers", many_workers)
    added = WORKER_COUNTS[1] - WORKER_COUNTS[0]
    for name in ("cpu_percent", "memory_mb"):
        slope = _slope(by_entries[fewest], many_workers, added, name)
        figures.append(Figure(f"slope for each held worker: {name}", slope))
    return figures
