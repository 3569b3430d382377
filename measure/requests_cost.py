"""Cost of the request path against a bare aiohttp pass-through, in one run.

Prints one line for each figure: name, target, baseline, measured, met or short. Each server runs
as a process of its own, so that its processor time and memory are its own.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import time
from dataclasses import dataclass
from random import Random

import aiohttp
from aiohttp import web

from dotterelhill.requests.tests.harness import World
from measure.report import Figure, judged_figure, printed_figures
from standins.minion import MinionStandin
from tools.fleet import Fleet, FleetProcess

REQUESTS = 4000
ROUNDS = 3
CONCURRENCY = 16
CONNECTIONS = 1000
SEED = 1
LARGEST_CPU_RATIO = 2.0
LARGEST_ADDED_MILLISECONDS = 1.0
LARGEST_MEMORY_RATIO = 1.5


@dataclass(frozen=True, slots=True)
class Cost:
    """Figures of one server.

    :param cpu_microseconds: processor time for each request
    :param median_ms: latency of requests one after another
    :param p99_ms: the same, 99th percentile
    :param memory_mb: resident memory for 1,000 open connections
    """

    cpu_microseconds: float
    median_ms: float
    p99_ms: float
    memory_mb: float


async def serve_pass_through(minion: str) -> str:
    """Return the address of the baseline: it copies requests and answers, nothing else."""
    session = aiohttp.ClientSession(auto_decompress=False)

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        url = f"http://{minion}{request.raw_path}"
        async with session.request(
            request.method, url, headers=request.headers, data=body or None
        ) as got:
            response = web.StreamResponse(status=got.status, headers=got.headers)
            await response.prepare(request)
            async for chunk in got.content.iter_chunked(65536):
                await response.write(chunk)
            await response.write_eof()
            return response

    runner = web.ServerRunner(web.Server(answer, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0, backlog=1024).start()
    return "{}:{}".format(*runner.addresses[0][:2])


class _RemoteMinion(MinionStandin):
    """A minion of another process, of which only the address is known."""

    def __init__(self, address: str) -> None:
        super().__init__(slots=64)
        self.address = address


async def serve_requests(minion: str) -> str:
    """Return the address of an entry process's request path with one minion."""
    world = World()
    world.limits = {"requests_per_second": 1e6, "in_flight": 100_000}
    world.minions["m1"] = _RemoteMinion(minion)
    world.domains["m1"] = "caxias"
    for number in range(29):
        # The rest of a service of today's size, held by other entry processes.
        world.minions[f"other{number}"] = _RemoteMinion(f"127.0.0.1:{number + 1}")
        world.domains[f"other{number}"] = ("caxias", "gramado", "pelotas")[number % 3]
    world.publish()
    entry = await world.add_entry("e1", "caxias", connections_per_caller=10 * CONNECTIONS)
    world.grant("e1", "m1", 64)
    return entry.requests.caller_address


async def serve_minion(unused: str) -> str:
    """Return the address of a stand-in minion."""
    minion = MinionStandin(slots=64)
    await minion.start()
    return minion.address


SERVERS = {"minion": serve_minion, "bare": serve_pass_through, "requests": serve_requests}


async def _serve(role: str, minion: str) -> None:
    print(f"listening {await SERVERS[role](minion)}", flush=True)
    await asyncio.Event().wait()


async def _start(fleet: Fleet, name: str, role: str, minion: str = "") -> FleetProcess:
    arguments = ("--serve", role, "--minion", minion)
    return await fleet.start(name, "measure.requests_cost", *arguments)


def _cpu_seconds(pid: int) -> float:
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _resident_mb(pid: int) -> float:
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


async def _load(session: aiohttp.ClientSession, url: str, count: int) -> list[float]:
    seconds = []
    for _ in range(count):
        started = time.perf_counter()
        async with session.post(url, data=b"entry of a juniper") as answer:
            await answer.read()
            assert answer.status == 200, answer.status
        seconds.append(time.perf_counter() - started)
    return seconds


async def _memory_mb(pid: int, address: str) -> float:
    host, _, port = address.rpartition(":")
    before = _resident_mb(pid)
    writers = []
    for _ in range(CONNECTIONS):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        writers.append(writer)
    grown = _resident_mb(pid) - before
    for writer in writers:
        writer.close()
    return grown * 1000 / CONNECTIONS


async def _cost(pid: int, address: str) -> Cost:
    url = f"http://{address}/bench"
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        await _load(session, url, 200)
        latencies = [item * 1000 for item in await _load(session, url, REQUESTS // 4)]
        before = _cpu_seconds(pid)
        share = REQUESTS // CONCURRENCY
        await asyncio.gather(*[_load(session, url, share) for _ in range(CONCURRENCY)])
        cpu = (_cpu_seconds(pid) - before) / (share * CONCURRENCY)
    memory = await _memory_mb(pid, address)
    p99 = statistics.quantiles(latencies, n=100)[98]
    return Cost(cpu * 1e6, statistics.median(latencies), p99, memory)


async def _round(fleet: Fleet, number: int, minion: str, order: list[str]) -> dict[str, Cost]:
    costs = {}
    for role in order:
        name = f"{role}{number}"
        server = await _start(fleet, name, role, minion)
        costs[role] = await _cost(server.process.pid, server.address)
        await fleet.stop(name)
    return costs


def _figure(name: str, unit: str, target: float, baseline: float, measured: float) -> Figure:
    return judged_figure(
        name,
        f"at most {target:.2f} {unit}",
        f"bare pass-through {baseline:.2f} {unit}",
        f"{measured:.2f} {unit}",
        is_met=measured <= target,
    )


async def _measured(seed: int) -> list[Figure]:
    random = Random(seed)
    async with Fleet() as fleet:
        minion = await _start(fleet, "minion", "minion")
        rounds = [
            await _round(fleet, number, minion.address, random.sample(["bare", "requests"], 2))
            for number in range(ROUNDS)
        ]

    def middle(role: str, field: str) -> float:
        return statistics.median(getattr(costs[role], field) for costs in rounds)

    cpu, memory = middle("bare", "cpu_microseconds"), middle("bare", "memory_mb")
    mine = middle("requests", "cpu_microseconds")
    measured = [_figure("processor time of a request", "us", cpu * LARGEST_CPU_RATIO, cpu, mine)]
    for field, name in (("median_ms", "median latency"), ("p99_ms", "p99 latency")):
        bare = middle("bare", field)
        target = bare + LARGEST_ADDED_MILLISECONDS
        measured.append(_figure(name, "ms", target, bare, middle("requests", field)))
    mine, target = middle("requests", "memory_mb"), memory * LARGEST_MEMORY_RATIO
    measured.append(_figure("memory of 1,000 connections", "MB", target, memory, mine))
    return measured


def figures() -> list[Figure]:
    """Return the figures of the request path against a bare pass-through."""
    return asyncio.run(_measured(SEED))


def main() -> None:
    """Measure, or serve as one of the measured processes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--serve", choices=sorted(SERVERS))
    parser.add_argument("--minion", default="")
    arguments = parser.parse_args()
    if arguments.serve:
        asyncio.run(_serve(arguments.serve, arguments.minion))
    else:
        printed_figures(figures())


if __name__ == "__main__":
    main()
