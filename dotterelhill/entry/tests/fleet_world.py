"""Sample fleet under test: real processes on loopback, driven by operators and callers."""

from __future__ import annotations

import asyncio
import secrets
import signal
import tempfile
from collections import defaultdict
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, TypeVar

import aiohttp

from dotterelhill.commands.publication import publish
from dotterelhill.log.http import HttpLog
from dotterelhill.replay.player import Player
from dotterelhill.replay.slices import SLICE_NAMES, registered_slice
from tools.fleet import Fleet
from tools.load import LoadGenerator, LoadReport
from tools.relay import RelayMode
from tools.sample_fleet import SERVICE, FleetSize, SampleFleet

ResultT = TypeVar("ResultT")

JOB = "register-sync"


class FleetWorld:
    """Fleet of one scenario, run by an event loop of its own."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.directory = tempfile.TemporaryDirectory(prefix="dotterelhill-test-")
        self.fleet = Fleet(Path(self.directory.name))
        self.sample = SampleFleet(self.fleet)
        self.document: dict[str, Any] = {}
        self.version = 0
        self.published_at = 0.0
        self.balanced_entries: set[str] = set()
        self._load: asyncio.Task[LoadReport] | None = None
        self._load_end = asyncio.Event()
        self._jobs: dict[str, Any] = {}

    def run(self, work: Coroutine[Any, Any, ResultT]) -> ResultT:
        """Return the result of a coroutine on the scenario's loop."""
        return self.loop.run_until_complete(work)

    def close(self) -> None:
        """Stop every process."""
        try:
            self.run(self.fleet.stop_all())
            self.run(self.sample.aclose())
        finally:
            self.loop.close()
            self.directory.cleanup()

    async def start(self, size: FleetSize, service_milliseconds: float = 5.0) -> None:
        """Start the fleet and wait until it serves requests."""
        self.sample = SampleFleet(
            self.fleet,
            size,
            service_milliseconds=service_milliseconds,
            trace_directory=Path(self.directory.name),
        )
        await self.sample.start()
        await self.publish()
        await self.sample.wait_until_ready()
        self.balanced_entries = set(self.sample.names("entry"))
        await self.wait_until(self.is_every_minion_usable, 60.0)

    async def publish(self, **changes: Any) -> None:
        """Publish the manifest with further jobs and changes, based on the version in force."""
        self._jobs |= changes.pop("jobs", {})
        self.document = self.sample.manifest(self._jobs, **changes)
        self.published_at = self.loop.time()
        log = HttpLog(self.sample.log_url)
        try:
            report = await publish(log, self.document, secrets.token_hex(8), base=self.version)
        finally:
            await log.close()
        assert report.verdict is not None and report.verdict.verdict == "accepted", report
        self.version = report.version

    async def publish_job(self, tasks: int, seconds: float) -> None:
        """Publish a batch job of equal tasks."""
        job = {"member": "bonsai", "team": "registers", "cpu": 2, "memory_gb": 1}
        await self.publish(jobs={JOB: {**job, "tasks": tasks, "run_seconds": seconds}})

    async def wait_until(
        self, is_reached: Callable[[], Coroutine[Any, Any, bool]], seconds: float
    ) -> None:
        """Wait for a condition.

        :raises AssertionError: when it does not hold after ``seconds``
        """
        deadline = self.loop.time() + seconds
        while not await is_reached():
            assert self.loop.time() < deadline, f"not reached in {seconds:g} s: {is_reached}"
            await asyncio.sleep(0.2)

    async def fetch_json(self, kind: str, path: str, purpose: str = "main") -> dict[str, Any]:
        """Return the JSON answers of all running processes of a kind, by name."""
        answers_by_name = {}
        timeout = aiohttp.ClientTimeout(total=5.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for name, address in self.sample.addresses(kind, purpose).items():
                async with session.get(f"http://{address}{path}") as answer:
                    answers_by_name[name] = await answer.json()
        return answers_by_name

    async def is_every_minion_usable(self) -> bool:
        """Return whether each minion can be used by at least one running entry process."""
        states = await self.fetch_json("entry", "/state", "admin")
        usable = {name for state in states.values() for name in state["holdings"]["usable_minions"]}
        return usable == set(self.sample.names("minion"))

    async def ready_entries(self) -> set[str]:
        """Return the names of the running entry processes that report that they are ready."""
        answers = await self.fetch_json("entry", "/readyz", "admin")
        return {name for name, answer in answers.items() if answer["ready"]}

    async def manifest_versions(self) -> dict[str, int]:
        """Return the manifest version in force in each running entry process."""
        states = await self.fetch_json("entry", "/state", "admin")
        return {name: state["manifest"]["version"] for name, state in states.items()}

    async def runs(self) -> dict[str, list[dict[str, Any]]]:
        """Return the runs of each task in the order of their start."""
        by_task = defaultdict(list)
        for worker, journal in (await self.fetch_json("worker", "/journal")).items():
            for run in journal:
                by_task[run["task"]].append({**run, "worker": worker})
        return {task: sorted(runs, key=lambda run: run["start"]) for task, runs in by_task.items()}

    async def is_job_finished(self, tasks: int) -> bool:
        """Return whether at least this many tasks have finished."""
        runs = await self.runs()
        return (
            sum(any(run["state"] == "finished" for run in task_runs) for task_runs in runs.values())
            >= tasks
        )

    def start_load(self, rate: float, seed: int = 1) -> None:
        """Start callers that send requests to the entry processes in the balancer."""
        self._load_end = asyncio.Event()
        load = LoadGenerator(self._balanced_addresses, rate, seed=seed, path=f"/{SERVICE}/entries")
        self._load = self.loop.create_task(load.run(self._load_end))

    async def end_load(self) -> LoadReport:
        """Stop the callers and return the outcomes of their requests."""
        assert self._load is not None
        self._load_end.set()
        return await self._load

    def pause(self, name: str) -> None:
        """Suspend an entry process, as a paused VM does."""
        self.fleet.send_signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused entry process."""
        self.fleet.send_signal(name, signal.SIGCONT)

    def set_log_relays(self, domain: str, mode: RelayMode) -> None:
        """Set the mode of the relays from the entry processes of a failure domain to the log."""
        for name in self.sample.names("entry"):
            if self.sample.domain_of(name) == domain:
                self.sample.relay(name, "log").set_mode(mode)

    async def set_log_fault(self, mode: str) -> None:
        """Set the fault mode of the log stand-in."""
        async with aiohttp.ClientSession() as session:
            await session.post(f"{self.sample.log_url}/faults", json={"mode": mode})

    def broken_outcomes(self) -> list[str]:
        """Replay the recorded traces and return the stated outcomes that they break."""
        broken = []
        for name in self.sample.names("entry"):
            for slice_name in SLICE_NAMES:
                path = Path(self.directory.name) / f"{name}.{slice_name}"
                report = Player(path.read_bytes(), registered_slice).play()
                assert report.events > 0, f"{path.name} is empty"
                broken.extend(f"{path.name}: {outcome_break}" for outcome_break in report.breaks)
        return broken

    def _balanced_addresses(self) -> list[str]:
        addresses = self.sample.addresses("entry", "caller")
        return [address for name, address in addresses.items() if name in self.balanced_entries]
