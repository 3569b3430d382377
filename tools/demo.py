"""End-to-end demonstration on loopback, in less than a minute.

Starts the sample fleet, publishes a manifest, sends requests, runs a batch job, takes one failure
domain out and back in, and prints a summary.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp

from dotterelhill.commands.publication import publish
from dotterelhill.log.http import HttpLog
from dotterelhill.manifest import Verdict
from tools.fleet import Fleet
from tools.load import LoadGenerator, LoadReport
from tools.sample_fleet import SERVICE, SampleFleet

REQUESTS_PER_SECOND = 60.0
JOB = "register-sync"
JOB_TASKS = 8
JOB_RUN_SECONDS = 8.0
DOMAIN = "gramado"
WAIT_TIMEOUT_SECONDS = 45.0


def _job_document() -> dict[str, Any]:
    return {
        JOB: {
            "member": "bonsai",
            "team": "registers",
            "tasks": JOB_TASKS,
            "cpu": 4,
            "memory_gb": 4,
            "run_seconds": JOB_RUN_SECONDS,
        }
    }


class Demo:
    """One run of the demonstration."""

    def __init__(self, sample: SampleFleet) -> None:
        self._sample = sample
        self._version = 0
        self._domain_changes: list[str] = []

    async def run(self) -> int:
        """Run the demonstration; return 0 if all requests were answered and all tasks finished."""
        await self._sample.start()
        await self._publish(self._sample.manifest())
        await self._sample.wait_until_ready()
        await self._wait_until("minions are held", self._is_every_minion_held)
        # Tasks are placed within 0.1 s; without this wait, all may run before a slow domain has a
        # worker.
        await self._wait_until("workers are held", self._is_every_worker_held)
        finished = asyncio.Event()
        load = LoadGenerator(
            self._caller_addresses, REQUESTS_PER_SECOND, seed=1, path=f"/{SERVICE}/entries"
        )
        callers = asyncio.create_task(load.run(finished))
        await self._publish(self._sample.manifest(_job_document()))
        await self._wait_until(f"{DOMAIN} runs a task", self._has_open_run_in_domain)
        await self._publish(self._sample.manifest(_job_document(), out=[DOMAIN]))
        self._domain_changes.append(f"{DOMAIN} out")
        await self._wait_until(f"{DOMAIN} is empty", self._is_domain_empty)
        await self._publish(self._sample.manifest(_job_document()))
        self._domain_changes.append(f"{DOMAIN} back in")
        await self._wait_until("the job has finished", self._has_job_finished)
        finished.set()
        report = await callers
        journals = await self._get_journals()
        self._print_summary(report, journals)
        return self._exit_status(report, journals)

    def _caller_addresses(self) -> list[str]:
        return list(self._sample.addresses("entry", "caller").values())

    async def _publish(self, document: dict[str, Any]) -> None:
        log = HttpLog(self._sample.log_url)
        try:
            report = await publish(log, document, secrets.token_hex(8), base=self._version)
        finally:
            await log.close()
        if report.verdict is None or report.verdict.verdict is not Verdict.ACCEPTED:
            raise RuntimeError(f"the manifest was refused: {report}")
        self._version = report.version

    async def _wait_until(
        self, description: str, is_reached: Callable[[], Awaitable[bool]]
    ) -> None:
        deadline = asyncio.get_running_loop().time() + WAIT_TIMEOUT_SECONDS
        while not await is_reached():
            if asyncio.get_running_loop().time() > deadline:
                raise TimeoutError(
                    f"timed out after {WAIT_TIMEOUT_SECONDS:g} s, waiting until {description}"
                )
            await asyncio.sleep(0.2)
        print(f"{description}", flush=True)

    async def _get_json(self, kind: str, path: str, purpose: str = "main") -> dict[str, Any]:
        answers = {}
        async with aiohttp.ClientSession() as session:
            for name, address in self._sample.addresses(kind, purpose).items():
                async with session.get(f"http://{address}{path}") as answer:
                    answers[name] = await answer.json()
        return answers

    async def _is_every_minion_held(self) -> bool:
        states = await self._get_json("entry", "/state", "admin")
        usable = sum(len(state["holdings"]["usable_minions"]) for state in states.values())
        return usable == len(self._sample.names("minion"))

    async def _is_every_worker_held(self) -> bool:
        states = await self._get_json("entry", "/state", "admin")
        held = {name for state in states.values() for name in state["holdings"]["workers"]}
        return held == set(self._sample.names("worker"))

    async def _get_journals(self) -> dict[str, list[dict[str, Any]]]:
        return await self._get_json("worker", "/journal")

    async def _count_open_runs_in_domain(self) -> int:
        journals = await self._get_journals()
        return sum(
            run["end"] is None
            for worker, journal in journals.items()
            if self._sample.domain_of(worker) == DOMAIN
            for run in journal
        )

    async def _has_open_run_in_domain(self) -> bool:
        return await self._count_open_runs_in_domain() > 0

    async def _is_domain_empty(self) -> bool:
        return await self._count_open_runs_in_domain() == 0

    async def _has_job_finished(self) -> bool:
        outcomes = self._count_outcomes(await self._get_journals())
        return outcomes["finished"] >= JOB_TASKS

    def _count_outcomes(self, journals: dict[str, list[dict[str, Any]]]) -> Counter[str]:
        return Counter(run["state"] for journal in journals.values() for run in journal)

    def _exit_status(self, report: LoadReport, journals: dict[str, list[dict[str, Any]]]) -> int:
        is_job_done = self._count_outcomes(journals)["finished"] == JOB_TASKS
        return 0 if is_job_done and report.outcomes["answered"] == report.total else 1

    def _print_summary(self, report: LoadReport, journals: dict[str, list[dict[str, Any]]]) -> None:
        outcomes = self._count_outcomes(journals)
        rows = {
            "requests": report.total,
            "  answered": report.outcomes["answered"],
            "  other": dict(report.outcomes - Counter(answered=report.outcomes["answered"])) or 0,
            "latency p50 / p99 / p99.9": " / ".join(
                f"{report.quantile_milliseconds(q):.1f} ms" for q in (0.5, 0.99, 0.999)
            ),
            "tasks finished": f"{outcomes['finished']} of {JOB_TASKS}",
            "evictions": outcomes["stopped"],
            "domain changes": ", ".join(self._domain_changes),
            "processes": len(self._sample.fleet.names),
        }
        print()
        for name, value in rows.items():
            print(f"  {name:<28}{value}")


def _print_logs(directory: Path) -> None:
    for log in sorted(directory.glob("*.log")):
        print(f"--- {log.name}", log.read_text()[-2000:], sep="\n", file=sys.stderr)


async def run_demo(log_directory: Path) -> int:
    """Run the demonstration on a new fleet and return its exit status.

    :param log_directory: directory for the standard error of each process
    """
    async with Fleet(log_directory) as fleet:
        sample = SampleFleet(fleet)
        async with contextlib.aclosing(sample):
            return await Demo(sample).run()


def main() -> int:
    """Run the demonstration and return the exit status; on an exception, print all process logs."""
    with tempfile.TemporaryDirectory(prefix="dotterelhill-demo-") as directory:
        try:
            return asyncio.run(run_demo(Path(directory)))
        except Exception:
            _print_logs(Path(directory))
            raise


if __name__ == "__main__":
    sys.exit(main())
