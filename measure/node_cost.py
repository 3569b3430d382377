"""Control-plane cost per node: processor time, memory and traffic of idle entry processes.

Runs real processes on loopback, without requests and jobs, at rising numbers of entry VMs and
workers. docs/CAPACITY.md extrapolates the slopes to the target size.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import tempfile
from collections.abc import Iterator, Sequence
from contextlib import aclosing
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from dotterelhill.commands.publication import publish
from dotterelhill.log import HttpLog
from measure.report import Figure, figure_without_target, median_figure, print_figures
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

    :param cpu_percent: processor time as a percentage of one core
    :param memory_mb: resident memory in MB
    :param platform_bytes: bytes a second to and from the log and the VM list
    :param peer_messages: messages a second to peers
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


async def _sent_message_counts(sample: SampleFleet) -> dict[str, int]:
    sent = {}
    async with aiohttp.ClientSession() as session:
        for name, address in sample.addresses("entry", "admin").items():
            async with session.get(f"http://{address}/state") as answer:
                sent[name] = (await answer.json())["peers"]["counts"]["sent"]
    return sent


def _relayed_bytes(sample: SampleFleet, name: str) -> int:
    return sample.relay(name, "log").bytes_passed + sample.relay(name, "vms").bytes_passed


async def _measure_costs(sample: SampleFleet) -> list[NodeCost]:
    names = sample.names("entry")
    pids = {name: sample.fleet[name].process.pid for name in names}
    messages = await _sent_message_counts(sample)
    cpu = {name: _cpu_seconds(pids[name]) for name in names}
    relayed = {name: _relayed_bytes(sample, name) for name in names}
    await asyncio.sleep(MEASURED_SECONDS)
    costs = []
    cpu_after = {name: _cpu_seconds(pids[name]) for name in names}
    relayed_after = {name: _relayed_bytes(sample, name) for name in names}
    messages_after = await _sent_message_counts(sample)
    for name in names:
        costs.append(
            NodeCost(
                100.0 * (cpu_after[name] - cpu[name]) / MEASURED_SECONDS,
                _memory_mb(pids[name]),
                (relayed_after[name] - relayed[name]) / MEASURED_SECONDS,
                (messages_after[name] - messages[name]) / MEASURED_SECONDS,
            )
        )
    return costs


async def measure_fleet(size: FleetSize) -> list[NodeCost]:
    """Return the cost of every entry process in an idle fleet of the given size."""
    with tempfile.TemporaryDirectory(prefix="dotterelhill-measure-") as directory:
        async with Fleet(Path(directory)) as fleet, aclosing(SampleFleet(fleet, size)) as sample:
            await sample.start()
            log = HttpLog(sample.log_url)
            await publish(log, sample.manifest(), "measure", base=0)
            await log.close()
            await sample.wait_until_ready()
            await asyncio.sleep(SETTLE_SECONDS)
            return await _measure_costs(sample)


def _size_figures(label: str, costs: Sequence[NodeCost]) -> Iterator[Figure]:
    cpu = [cost.cpu_percent for cost in costs]
    yield median_figure(f"{label}: processor time", "% of a core", cpu, at_most=CPU_PERCENT_TARGET)
    memory = [cost.memory_mb for cost in costs]
    yield median_figure(f"{label}: resident memory", "MB", memory, at_most=MEMORY_MB_TARGET)
    relayed = [cost.platform_bytes for cost in costs]
    yield median_figure(
        f"{label}: to and from log and VM list", "B/s", relayed, at_most=BYTES_PER_SECOND_TARGET
    )
    yield median_figure(f"{label}: messages to peers", "a second", [c.peer_messages for c in costs])


def _slope_figures(
    subject: str, low: Sequence[NodeCost], high: Sequence[NodeCost], added: int
) -> Iterator[Figure]:
    units = {"cpu_percent": "% of a core", "memory_mb": "MB", "platform_bytes": "B/s"}
    for name, unit in units.items():
        medians = [statistics.median(getattr(c, name) for c in costs) for costs in (low, high)]
        yield figure_without_target(f"slope for {subject}", unit, (medians[1] - medians[0]) / added)


def figures() -> Iterator[Figure]:
    """Yield the figures at each size, and the slopes between the sizes."""
    by_entries = {}
    for count in ENTRY_COUNTS:
        by_entries[count] = asyncio.run(measure_fleet(FleetSize(entries=count)))
        yield from _size_figures(f"{3 * count} entry VMs, 6 workers", by_entries[count])
    min_entries, max_entries = ENTRY_COUNTS[0], ENTRY_COUNTS[-1]
    added = 3 * (max_entries - min_entries)
    yield from _slope_figures(
        "each entry VM", by_entries[min_entries], by_entries[max_entries], added
    )
    workers_per_domain = WORKER_COUNTS[1]
    many_workers = asyncio.run(measure_fleet(FleetSize(entries=1, workers=workers_per_domain)))
    yield from _size_figures(f"3 entry VMs, {3 * workers_per_domain} workers", many_workers)
    yield from _slope_figures(
        "each held worker",
        by_entries[min_entries],
        many_workers,
        workers_per_domain - WORKER_COUNTS[0],
    )


if __name__ == "__main__":
    print_figures(figures())
