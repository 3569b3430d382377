"""Tail latency and goodput of requests, compared with round robin and least outstanding.

Runs real processes on loopback: 3 entry VMs in 3 failure domains, and 9 minions that each process 8
requests at once, 300 ms a request, and queue the others. Callers start requests at a fixed mean
rate.
"""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Iterator, Sequence
from contextlib import aclosing
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from dotterelhill.commands.publication import publish
from dotterelhill.log import HttpLog
from measure.report import Figure, figure_with_target, print_figures
from tools.fleet import Fleet
from tools.load import LoadGenerator, LoadReport
from tools.sample_fleet import SERVICE, FleetSize, SampleFleet

SEED = 1
WORK_MILLISECONDS = 300.0
FLEET_SIZE = FleetSize(entries=1, minions=3, workers=1)
CAPACITY_PER_SECOND = 3 * FLEET_SIZE.minions * FLEET_SIZE.slots / (WORK_MILLISECONDS / 1000.0)
WARM_UP_SECONDS = 5.0
MEASURED_SECONDS = 20.0
FAULT_P99_RATIO = 1.5
OVERLOAD_GOODPUT = 0.95
OVERLOAD_P99_RATIO = 2.0
POLICIES = ("dotterelhill", "round_robin", "least_outstanding")


@dataclass(frozen=True, slots=True)
class Result:
    """Latency and goodput of one phase, measured by the callers.

    :param goodput: answered requests a second
    :param errors: fraction of requests that were not answered
    """

    p50_ms: float
    p99_ms: float
    p999_ms: float
    goodput: float
    errors: float

    def __str__(self) -> str:
        quantiles = f"{self.p50_ms:.0f} / {self.p99_ms:.0f} / {self.p999_ms:.0f} ms"
        return f"{quantiles}, {self.goodput:.0f}/s, {100 * self.errors:.1f}% not answered"


def _phase_result(report: LoadReport, seconds: float) -> Result:
    answered = report.outcomes["answered"]
    return Result(
        p50_ms=report.quantile_milliseconds(0.5),
        p99_ms=report.quantile_milliseconds(0.99),
        p999_ms=report.quantile_milliseconds(0.999),
        goodput=answered / seconds,
        errors=1.0 - answered / max(1, report.total),
    )


async def _measure_load(addresses: Sequence[str], share: float, seconds: float) -> Result:
    path = f"/{SERVICE}/entries"
    load = LoadGenerator(lambda: addresses, share * CAPACITY_PER_SECOND, seed=SEED, path=path)
    stop_event = asyncio.Event()
    load_task = asyncio.create_task(load.run(stop_event))
    await asyncio.sleep(seconds)
    stop_event.set()
    return _phase_result(await load_task, seconds)


async def _set_fault(address: str, mode: str, seconds: float) -> None:
    async with aiohttp.ClientSession() as session:
        await session.post(f"http://{address}/faults", json={"mode": mode, "seconds": seconds})


async def _measure_phases(sample: SampleFleet, addresses: Sequence[str]) -> dict[str, Result]:
    minions = list(sample.addresses("minion").values())
    results = {}
    await _measure_load(addresses, 0.5, WARM_UP_SECONDS)
    for share in (0.5, 0.8, 0.95):
        results[f"{share:.0%}"] = await _measure_load(addresses, share, MEASURED_SECONDS)
    results["130%"] = await _measure_load(addresses, 1.3, MEASURED_SECONDS)
    # One minion takes ten times as long as the others, and one accepts requests without answering.
    await _set_fault(minions[0], "slow", 9 * WORK_MILLISECONDS / 1000.0)
    await _set_fault(minions[4], "silent", 60.0)
    results["80%, one slow, one silent"] = await _measure_load(addresses, 0.8, MEASURED_SECONDS)
    return results


async def _measure_policy(policy: str) -> dict[str, Result]:
    with tempfile.TemporaryDirectory(prefix="dotterelhill-measure-") as directory:
        async with Fleet(Path(directory)) as fleet:
            sample = SampleFleet(fleet, FLEET_SIZE, service_milliseconds=WORK_MILLISECONDS)
            async with aclosing(sample):
                await sample.start()
                if policy == "dotterelhill":
                    log = HttpLog(sample.log_url)
                    await publish(log, sample.manifest(), "measure", base=0)
                    await log.close()
                    await sample.wait_until_ready()
                    await asyncio.sleep(WARM_UP_SECONDS)
                    addresses = list(sample.addresses("entry", "caller").values())
                    return await _measure_phases(sample, addresses)
                minions = ",".join(sample.addresses("minion").values())
                for number in range(len(sample.names("entry"))):
                    arguments = ("--policy", policy, "--minions", minions)
                    await fleet.start(f"proxy{number}", "measure.baseline_proxy", *arguments)
                proxies = [fleet[name] for name in fleet.names if name.startswith("proxy")]
                return await _measure_phases(
                    sample, [proxy.addresses["caller"] for proxy in proxies]
                )


def figures() -> Iterator[Figure]:
    """Yield the figures of dotterelhill, with those of both baselines."""
    results = {policy: asyncio.run(_measure_policy(policy)) for policy in POLICIES}
    dotterelhill_results = results["dotterelhill"]
    baselines = POLICIES[1:]
    normal, degraded, overload = (
        dotterelhill_results["80%"],
        dotterelhill_results["80%, one slow, one silent"],
        dotterelhill_results["130%"],
    )
    is_met = {
        "80%, one slow, one silent": degraded.p99_ms <= FAULT_P99_RATIO * normal.p99_ms,
        "130%": overload.goodput >= OVERLOAD_GOODPUT * CAPACITY_PER_SECOND
        and overload.p99_ms <= OVERLOAD_P99_RATIO * normal.p99_ms,
    }
    targets = {
        "80%, one slow, one silent": f"p99 at most {FAULT_P99_RATIO * normal.p99_ms:.0f} ms",
        "130%": f"goodput at least {OVERLOAD_GOODPUT * CAPACITY_PER_SECOND:.0f}/s and p99 at most "
        f"{OVERLOAD_P99_RATIO * normal.p99_ms:.0f} ms",
    }
    for phase, result in dotterelhill_results.items():
        baseline = "; ".join(f"{policy} {results[policy][phase]}" for policy in baselines)
        name = f"p50 / p99 / p99.9 and goodput at {phase} of {CAPACITY_PER_SECOND:.0f}/s"
        if phase in is_met:
            yield figure_with_target(
                name, targets[phase], baseline, str(result), is_met=is_met[phase]
            )
            continue
        yield Figure(name, "", baseline, str(result), "-")


if __name__ == "__main__":
    print_figures(figures())
