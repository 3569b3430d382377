"""Runs the scheduler's processes with stand-ins of the platform, and records what happens."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from minions import Bounds, Fleet, Minion
from net import call, free_host
from store import Store

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("north", "south")
SERVICE = "svc"
HOST = "jobs.example"


class Process:
    """One process of the scheduler, started with the command of the deploy file."""

    def __init__(self, world: World, name: str, zone: str) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.host = free_host(world.hosts)
        self.front = f"{self.host}:8161"
        self.boot = world.folder / f"{name}.json"
        self.output = world.folder / f"{name}.log"
        self.popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        self.boot.write_text(json.dumps(self.world.settings(self)))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.world.folder),
            "LANG": "C.UTF-8",
            "DOTTERELHILL_BOOT": str(self.boot),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.output.open("ab") as output:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", "dotterelhill.platform"],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.popen is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.popen.wait()

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the log lines that the process has written."""
        lines = []
        for line in self.output.read_text(errors="replace").splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                continue
        return lines


class World:
    """A small deployment: store, minions, processes and clients."""

    def __init__(self, seed: int, process_count: int = 3, bounds: Bounds | None = None) -> None:
        self.random = random.Random(seed)
        self.hosts: set[str] = set()
        self.bounds = bounds or Bounds()
        self.folder = Path(tempfile.mkdtemp(prefix="dotterelhill-"))
        self.began_at = time.monotonic()
        self.events: list[dict[str, Any]] = []
        self.store = Store(free_host(self.hosts))
        self.fleet = Fleet(self.store, self.bounds, self.record)
        self.minions: dict[str, Minion] = {}
        self.processes = [
            Process(self, f"front-{number}", ZONES[number % 2]) for number in range(process_count)
        ]
        self.routes: list[dict[str, Any]] = []
        self.version = 0

    def record(self, what: str, **fields: Any) -> None:
        """Record an event with its time."""
        self.events.append({"t": round(self.now(), 3), "what": what, **fields})

    def now(self) -> float:
        """Return the time since the beginning, as in the record."""
        return time.monotonic() - self.began_at

    def write_record(self, path: Path) -> None:
        """Write what was recorded, one event a line."""
        with path.open("w") as file:
            for event in self.events:
                file.write(json.dumps(event) + "\n")

    def settings(self, process: Process) -> dict[str, Any]:
        """Return the settings of a process, as DEPLOY.md lists them."""
        bounds = self.bounds
        host = process.host
        return {
            "nodeName": process.name,
            "role": "scheduler",
            "machineClass": "front",
            "serves": ["front"],
            "ip": host,
            "zone": process.zone,
            "region": "land",
            "zones": dict.fromkeys(ZONES, "land"),
            "listen": {"front": process.front, "readiness": f"{host}:8167"},
            "internalPorts": [7720, 7735],
            "seeds": [],
            "bootstrap": True,
            "countsAsLoss": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1000,
            "contracts": "base,drain,config,cost,recover,sched,places,platform".split(","),
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {
                "stabilityMs": 4000,
                "ackMs": 5000,
                "drainMs": 2500,
                "graceS": 6,
                "configApplyMs": 2500,
                "evacuateMs": 5000,
                "maxHoldMs": bounds.max_hold_ms,
                "stopGraceMs": bounds.stop_grace_ms,
                "gangWaitMs": bounds.gang_wait_ms,
                "cancel_ms": 3000,
                "visible_ms": 3000,
                "early_ms": 250,
                "finish_s": 14,
                "status_s": 120,
                "checkpointS": bounds.checkpoint_s,
                "restoreMs": bounds.restore_ms,
                "harmMs": 4000,
                **bounds.others,
            },
            "orders": "call",
            "platform": {
                "address": self.store.server.address,
                "form": "log",
                "writesPerS": 800,
                "readsPerS": 2000,
                "parts": 4,
                "appendMs": 2.0,
                "recordBytes": 262144,
                "callBytes": 2097152,
                "keep_s": 300,
                "partMb": 200,
                "minTtlMs": 1000,
            },
        }

    def add_minion(
        self, minion_id: str, zone: str, capacity: dict[str, int], labels: list[str]
    ) -> Minion:
        """Add a minion, which has not begun yet."""
        host = free_host(self.hosts)
        base_ms = self.random.randint(1, 9) * 100_000
        minion = Minion(self.fleet, minion_id, host, SERVICE, zone, capacity, labels, base_ms)
        self.minions[minion_id] = minion
        return minion

    def add_route(self, name: str, **fields: Any) -> str:
        """Add a queue and return its path."""
        route = {
            "name": name,
            "host": HOST,
            "pathPrefix": f"/{name}/",
            "kind": "unsafe",
            "timeoutMs": 3000,
            "targetLatencyMs": 1000,
            "priority": 0,
            "service": SERVICE,
            "maxAttempts": 4,
            "stretch": 2.0,
            "allowedRegions": [],
            **fields,
        }
        self.routes.append(route)
        return str(route["pathPrefix"])

    def put_config(self) -> None:
        """Write the configuration as the operator does."""
        self.version += 3
        service = {
            "name": SERVICE,
            "healthPath": "/health",
            "maxConns": 64,
            "protocol": "h1",
            "tls": False,
            "coldStartS": 0.0,
            "coldPerS": 0.0,
            "admissionCheck": False,
            "standby": False,
        }
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        config = {
            "version": self.version,
            "routes": self.routes,
            "services": [service],
            "limits": limits,
        }
        self.store.put("keyed.op", "config", config)

    async def start(self) -> None:
        """Start store, minions and processes, and wait until the processes are ready."""
        await self.store.server.start()
        self.put_config()
        for minion in self.minions.values():
            await minion.begin()
        for process in self.processes:
            process.start()
        for process in self.processes:
            await self.wait_ready(process)
        await self.wait_for_leader()

    async def wait_ready(self, process: Process, seconds: float = 30.0) -> None:
        """Wait until a process reports itself ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            status, _ = await call(f"{process.host}:8167", "GET", "/ready")
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{process.name} is not ready")

    async def wait_for_leader(self, seconds: float = 30.0) -> Process:
        """Wait until a process leads and return it."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            process = self.leader()
            if process is not None:
                return process
            await asyncio.sleep(0.1)
        raise TimeoutError("nobody leads")

    def leader(self) -> Process | None:
        """Return the process that has logged last that it leads."""
        newest: tuple[int, Process] | None = None
        for process in self.processes:
            if process.popen is None or process.popen.poll() is not None:
                continue
            for line in process.log_lines():
                text = str(line.get("message") or line.get("event") or line.get("msg") or "")
                if text == "leading" and (newest is None or line["epoch"] > newest[0]):
                    newest = (line["epoch"], process)
        return newest[1] if newest else None

    def job_id(self) -> str:
        """Return a new id of a job."""
        return f"{self.random.getrandbits(64):016x}"

    async def submit(self, path: str, job_id: str, steps: list[dict[str, Any]], **more: Any) -> int:
        """Submit a job as a client does, which tries again where it got no definite answer."""
        job = {"spec": f"spec of {job_id}", "steps": steps, **more}
        self.fleet.jobs[job_id] = job
        status = 0
        for _ in range(8):
            process = self.random.choice(self.processes)
            headers = {"Host": HOST, "Deadline-Ms": "3000"}
            status, _ = await call(process.front, "POST", path + job_id, job, headers)
            self.record("submit", job=job_id, at=process.name, status=status)
            if 200 <= status < 300 or status in (400, 404, 413):
                return status
            await asyncio.sleep(0.3)
        return status

    async def state(self, path: str, job_id: str) -> str:
        """Return the state of a job, or the status of another answer."""
        process = self.random.choice(self.processes)
        headers = {"Host": HOST, "Deadline-Ms": "3000"}
        status, body = await call(process.front, "GET", path + job_id, None, headers)
        return str(body["state"]) if status == 200 else str(status)

    async def cancel(self, path: str, job_id: str) -> int:
        """Cancel a job and return the status of the answer."""
        process = self.random.choice(self.processes)
        headers = {"Host": HOST, "Deadline-Ms": "3000"}
        status, _ = await call(process.front, "DELETE", path + job_id, None, headers)
        self.record("cancel", job=job_id, status=status)
        return status

    async def wait_state(self, path: str, job_id: str, wanted: set[str], seconds: float) -> str:
        """Wait until a job is in one of several states and return its last one."""
        until = time.monotonic() + seconds
        state = ""
        while time.monotonic() < until:
            newest = await self.state(path, job_id)
            if newest != state:
                self.record("state", job=job_id, state=newest)
            state = newest
            if state in wanted:
                break
            await asyncio.sleep(0.2)
        return state

    async def end(self) -> None:
        """End all that was started."""
        for process in self.processes:
            process.kill()
        for minion in self.minions.values():
            await minion.crash()
        await self.store.server.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(play: Callable[[World], Awaitable[int]], folder: Path, bounds: Bounds) -> int:
    """Play a case and return its exit status: 1 if the rule was broken, 0 if not, 2 if it failed.

    All that was started ends, also when this process is told to end.
    """

    async def main() -> int:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        world = World(int(os.environ.get("SEED", "1")), bounds=bounds)
        try:
            return await play(world)
        finally:
            await world.end()
            world.write_record(folder / "record.txt")

    try:
        return asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}")
        return 2


def has_trouble() -> bool:
    """Return whether the disruption is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"
