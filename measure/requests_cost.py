"""Cost of the request path, compared with a bare aiohttp pass-through in the same run.

Prints one line for each figure: name, target, baseline, measured, met or short. Each server runs
in a separate process, so that its processor time and memory are measured alone.
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
from measure.report import Figure, figure_with_target, print_figures
from standins.minion import StandInMinion
from tools.fleet import Fleet, FleetProcess

REQUESTS = 4000
ROUNDS = 3
CONCURRENCY = 16
CONNECTIONS = 1000
SEED = 1
MAX_CPU_RATIO = 2.0
MAX_ADDED_MILLISECONDS = 1.0
MAX_MEMORY_RATIO = 1.5


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of one server.

    :param cpu_microseconds: processor time for each request
    :param median_ms: median latency of sequential requests
    :param p99_ms: 99th percentile of the same latencies
    :param memory_mb: resident memory for 1,000 open connections
    """

    cpu_microseconds: float
    median_ms: float
    p99_ms: float
    memory_mb: float


async def serve_pass_through(minion: str) -> str:
    """Start the baseline, which only copies requests and answers; return its address."""
    session = aiohttp.ClientSession(auto_decompress=False)

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        url = f"http://{minion}{request.raw_path}"
        async with session.request(
            request.method, url, headers=request.headers, data=body or None
        ) as minion_answer:
            response = web.StreamResponse(
                status=minion_answer.status, headers=minion_answer.headers
            )
            await response.prepare(request)
            async for chunk in minion_answer.content.iter_chunked(65536):
                await response.write(chunk)
            await response.write_eof()
            return response

    runner = web.ServerRunner(web.Server(answer, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0, backlog=1024).start()
    return "{}:{}".format(*runner.addresses[0][:2])


class _RemoteMinion(StandInMinion):
    """Minion that runs in another process; only its address is used."""

    def __init__(self, address: str) -> None:
        super().__init__(slots=64)
        self.address = address


async def serve_requests(minion: str) -> str:
    """Start the request path of an entry process with one minion; return its caller address."""
    world = World()
    world.limits = {"requests_per_second": 1e6, "in_flight": 100_000}
    world.minions["m1"] = _RemoteMinion(minion)
    world.domains["m1"] = "caxias"
    for number in range(29):
        # The other minions of a service of today's size, which other entry processes hold.
        world.minions[f"other{number}"] = _RemoteMinion(f"127.0.0.1:{number + 1}")
        world.domains[f"other{number}"] = ("caxias", "gramado", "pelotas")[number % 3]
    world.publish()
    entry = await world.add_entry("e1", "caxias", connections_per_caller=10 * CONNECTIONS)
    world.grant("e1", "m1", 64)
    return entry.requests.caller_address


async def serve_minion(unused: str) -> str:
    """Start a stand-in minion; return its address."""
    minion = StandInMinion(slots=64)
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


async def _send_sequentially(session: aiohttp.ClientSession, url: str, count: int) -> list[float]:
    seconds = []
    for _ in range(count):
        started = time.perf_counter()
        async with session.post(url, data=b"entry of a juniper") as answer:
            await answer.read()
            assert answer.status == 200, answer.status
        seconds.append(time.perf_counter() - started)
    return seconds


async def _measure_memory_mb(pid: int, address: str) -> float:
    host, _, port = address.rpartition(":")
    before = _resident_mb(pid)
    writers = []
    for _ in range(CONNECTIONS):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        writers.append(writer)
    added_mb = _resident_mb(pid) - before
    for writer in writers:
        writer.close()
    return added_mb * 1000 / CONNECTIONS


async def _measure_cost(pid: int, address: str) -> Cost:
    url = f"http://{address}/bench"
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        await _send_sequentially(session, url, 200)
        latencies = [item * 1000 for item in await _send_sequentially(session, url, REQUESTS // 4)]
        before = _cpu_seconds(pid)
        requests_each = REQUESTS // CONCURRENCY
        await asyncio.gather(
            *[_send_sequentially(session, url, requests_each) for _ in range(CONCURRENCY)]
        )
        cpu = (_cpu_seconds(pid) - before) / (requests_each * CONCURRENCY)
    memory = await _measure_memory_mb(pid, address)
    p99 = statistics.quantiles(latencies, n=100)[98]
    return Cost(cpu * 1e6, statistics.median(latencies), p99, memory)


async def _measure_round(
    fleet: Fleet, number: int, minion: str, order: list[str]
) -> dict[str, Cost]:
    costs = {}
    for role in order:
        name = f"{role}{number}"
        server = await _start(fleet, name, role, minion)
        costs[role] = await _measure_cost(server.process.pid, server.address)
        await fleet.stop(name)
    return costs


def _figure(name: str, unit: str, target: float, baseline: float, measured: float) -> Figure:
    return figure_with_target(
        name,
        f"at most {target:.2f} {unit}",
        f"bare pass-through {baseline:.2f} {unit}",
        f"{measured:.2f} {unit}",
        is_met=measured <= target,
    )


async def _measure(seed: int) -> list[Figure]:
    random = Random(seed)
    async with Fleet() as fleet:
        minion = await _start(fleet, "minion", "minion")
        rounds = [
            await _measure_round(
                fleet, number, minion.address, random.sample(["bare", "requests"], 2)
            )
            for number in range(ROUNDS)
        ]

    def median_over_rounds(role: str, field: str) -> float:
        return statistics.median(getattr(costs[role], field) for costs in rounds)

    cpu, memory = median_over_rounds("bare", "cpu_microseconds"), median_over_rounds(
        "bare", "memory_mb"
    )
    path_cost = median_over_rounds("requests", "cpu_microseconds")
    measured = [_figure("processor time of a request", "us", cpu * MAX_CPU_RATIO, cpu, path_cost)]
    for field, name in (("median_ms", "median latency"), ("p99_ms", "p99 latency")):
        bare = median_over_rounds("bare", field)
        target = bare + MAX_ADDED_MILLISECONDS
        measured.append(_figure(name, "ms", target, bare, median_over_rounds("requests", field)))
    path_cost, target = (
        median_over_rounds("requests", "memory_mb"),
        memory * MAX_MEMORY_RATIO,
    )
    measured.append(_figure("memory of 1,000 connections", "MB", target, memory, path_cost))
    return measured


def figures() -> list[Figure]:
    """Return the figures of the request path, compared with a bare pass-through."""
    return asyncio.run(_measure(SEED))


def main() -> None:
    """Print the figures, or run one of the measured servers (``--serve``)."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--serve", choices=sorted(SERVERS))
    parser.add_argument("--minion", default="")
    arguments = parser.parse_args()
    if arguments.serve:
        asyncio.run(_serve(arguments.serve, arguments.minion))
    else:
        print_figures(figures())


if __name__ == "__main__":
    main()
