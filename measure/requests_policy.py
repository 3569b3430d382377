"""Tail latency and goodput of requests against round robin and least outstanding.

Real processes on loopback: 3 entry VMs in 3 failure domains, 9 minions that each work on 8 requests
at once and queue the others, 300 ms a request. Callers start requests at a fixed mean rate.
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
from measure.report import Figure, judged_figure, printed_figures
from tools.fleet import Fleet
from tools.load import Load, LoadReport
from tools.sample_fleet import SERVICE, FleetSize, SampleFleet

SEED = 1
WORK_MILLISECONDS = 300.0
SIZE = FleetSize(entries=1, minions=3, workers=1)
CAPACITY = 3 * SIZE.minions * SIZE.slots / (WORK_MILLISECONDS / 1000.0)
WARM_SECONDS = 5.0
MEASURED_SECONDS = 20.0
FAULT_P99_RATIO = 1.5
OVERLOAD_GOODPUT = 0.95
OVERLOAD_P99_RATIO = 2.0
POLICIES = ("dotterelhill", "round_robin", "least_outstanding")


@dataclass(frozen=True, slots=True)
class Result:
    """What callers saw in one phase.

    :param goodput: answered requests a second
    :param errors: share of requests without an answer
    """

    p50_ms: float
    p99_ms: float
    p999_ms: float
    goodput: float
    errors: float

    def __str__(self) -> str:
        quantiles = f"{self.p50_ms:.0f} / {self.p99_ms:.0f} / {self.p999_ms:.0f} ms"
        return f"{quantiles}, {self.goodput:.0f}/s, {100 * self.errors:.1f}% not answered"


def _result(report: LoadReport, seconds: float) -> Result:
    answered = report.outcomes["answered"]
    return Result(
        p50_ms=report.quantile_milliseconds(0.5),
        p99_ms=report.quantile_milliseconds(0.99),
        p999_ms=report.quantile_milliseconds(0.999),
        goodput=answered / seconds,
        errors=1.0 - answered / max(1, report.total),
    )


async def _load(addresses: Sequence[str], share: float, seconds: float) -> Result:
    path = f"/{SERVICE}/entries"
    load = Load(lambda: addresses, share * CAPACITY, seed=SEED, path=path)
    end = asyncio.Event()
    callers = asyncio.create_task(load.run(end))
    await asyncio.sleep(seconds)
    end.set()
    return _result(await callers, seconds)


async def _set_fault(address: str, mode: str, seconds: float) -> None:
    async with aiohttp.ClientSession() as session:
        await session.post(f"http://{address}/faults", json={"mode": mode, "seconds": seconds})


async def _phases(sample: SampleFleet, addresses: Sequence[str]) -> dict[str, Result]:
    minions = list(sample.addresses("minion").values())
    results = {}
    await _load(addresses, 0.5, WARM_SECONDS)
    for share in (0.5, 0.8, 0.95):
        results[f"{share:.0%}"] = await _load(addresses, share, MEASURED_SECONDS)
    results["130%"] = await _load(addresses, 1.3, MEASURED_SECONDS)
    # Ten times the work of the others, and one that keeps connections open and answers nothing.
    await _set_fault(minions[0], "slow", 9 * WORK_MILLISECONDS / 1000.0)
    await _set_fault(minions[4], "silent", 60.0)
    results["80%, one slow, one silent"] = await _load(addresses, 0.8, MEASURED_SECONDS)
    return results


async def _measured(policy: str) -> dict[str, Result]:
    with tempfile.TemporaryDirectory(prefix="dotterelhill-measure-") as directory:
        async with Fleet(Path(directory)) as fleet:
            sample = SampleFleet(fleet, SIZE, service_milliseconds=WORK_MILLISECONDS)
            async with aclosing(sample):
                await sample.start()
                if policy == "dotterelhill":
                    log = HttpLog(sample.log_url)
                    await publish(log, sample.manifest(), "measure", base=0)
                    await log.close()
                    await sample.until_ready()
                    await asyncio.sleep(WARM_SECONDS)
                    addresses = list(sample.addresses("entry", "caller").values())
                    return await _phases(sample, addresses)
                minions = ",".join(sample.addresses("minion").values())
                for number in range(len(sample.names("entry"))):
                    arguments = ("--policy", policy, "--minions", minions)
                    await fleet.start(f"proxy{number}", "measure.baseline_proxy", *arguments)
                proxies = [fleet[name] for name in fleet.names if name.startswith("proxy")]
                return await _phases(sample, [one.addresses["caller"] for one in proxies])


def figures() -> Iterator[Figure]:
    """Yield the figures of this design with both baselines beside them."""
    results = {policy: asyncio.run(_measured(policy)) for policy in POLICIES}
    own = results["dotterelhill"]
    others = POLICIES[1:]
    calm, faulty, overload = own["80%"], own["80%, one slow, one silent"], own["130%"]
    is_met = {
        "80%, one slow, one silent": faulty.p99_ms <= FAULT_P99_RATIO * calm.p99_ms,
        "130%": overload.goodput >= OVERLOAD_GOODPUT * CAPACITY
        and overload.p99_ms <= OVERLOAD_P99_RATIO * calm.p99_ms,
    }
    targets = {
        "80%, one slow, one silent": f"p99 at most {FAULT_P99_RATIO * calm.p99_ms:.0f} ms",
        "130%": f"goodput at least {OVERLOAD_GOODPUT * CAPACITY:.0f}/s and p99 at most "
        f"{OVERLOAD_P99_RATIO * calm.p99_ms:.0f} ms",
    }
    for phase, result in own.items():
        baseline = "; ".join(f"{policy} {results[policy][phase]}" for policy in others)
        name = f"p50 / p99 / p99.9 and goodput at {phase} of {CAPACITY:.0f}/s"
        if phase in is_met:
            yield judged_figure(name, targets[phase], baseline, str(result), is_met=is_met[phase])
            continue
        yield Figure(name, "", baseline, str(result), "-")


if __name__ == "__main__":
    printed_figures(figures())
