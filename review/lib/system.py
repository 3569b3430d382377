"""Starts the scheduler processes of the deploy file beside the stand-ins, and plays clients."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import aiohttp
from minions import Minion, TaskPlan, World
from store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST = "jobs.example"
PREFIX = "/jobs/"
SERVICE = "worker"
STARTED_SECONDS = 20.0
# Time after which a process that was killed is started again.
RESTART_SECONDS = 0.5


class Unrunnable(Exception):
    """Raised when the case could not be run, so that it shows nothing."""


class Record:
    """File that tells what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_at = time.monotonic()
        self.events: list[tuple[float, str, dict[str, Any]]] = []

    def __call__(self, event: str, **fields: Any) -> None:
        at = self.now
        self.events.append((at, event, fields))
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:8.3f} {event} {text}\n")
        self._file.flush()

    @property
    def now(self) -> float:
        """Return the time since the record began, in seconds."""
        return time.monotonic() - self._began_at

    def of(self, event: str) -> list[tuple[float, dict[str, Any]]]:
        """Return the times and fields of the events of one kind."""
        return [(at, fields) for at, name, fields in self.events if name == event]


def free_port(host: str) -> int:
    """Return a port that is free now."""
    with socket.socket() as one:
        one.bind((host, 0))
        return int(one.getsockname()[1])


class Process:
    """One scheduler process, started with the command of the deploy file."""

    def __init__(self, system: System, name: str, host: str, zone: str) -> None:
        self.name, self.host, self.zone = name, host, zone
        self.front = f"{host}:{free_port(host)}"
        self._readiness = f"{host}:{free_port(host)}"
        self._system = system
        self._popen: subprocess.Popen[bytes] | None = None
        settings = {
            "nodeName": name,
            "role": "scheduler",
            "machineClass": "front",
            "serves": ["front"],
            "ip": host,
            "zone": zone,
            "region": "serra",
            "zones": {"caxias": "serra", "gramado": "serra"},
            "listen": {"front": self.front, "readiness": self._readiness},
            "internalPorts": [free_port(host), free_port(host)],
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100},
            "heartbeatMs": 1100,
            "bounds": system.bounds,
            "orders": "call",
            "platform": {
                "address": system.store.address,
                "form": "log",
                "parts": 12,
                "recordBytes": 262144,
                "callBytes": 2097152,
                "keep_s": 300,
            },
        }
        self._settings = Path(system.folder) / f"{name}.json"
        self._settings.write_text(json.dumps(settings))
        self._log = Path(system.folder) / f"{name}.log"

    def start(self) -> None:
        """Start the process."""
        deps = ROOT / "target" / "deps"
        environment = {
            **os.environ,
            "DOTTERELHILL_BOOT": str(self._settings),
            "PYTHONPATH": str(deps),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self._popen = subprocess.Popen(
            ["python3", "-m", "dotterelhill.platform"],
            cwd=ROOT,
            env=environment,
            stdout=self._log.open("ab"),
            stderr=subprocess.STDOUT,
        )
        self._system.record("process started", name=self.name)

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self._popen is not None
        self._system.record("signal", name=self.name, signal=signal.Signals(number).name)
        self._popen.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process has ended and return its status."""
        assert self._popen is not None
        while self._popen.poll() is None:
            await asyncio.sleep(0.05)
        return int(self._popen.returncode)

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def memory_mb(self) -> float:
        """Return the resident memory of the process; 0 when it does not run."""
        if self._popen is None or self._popen.poll() is not None:
            return 0.0
        try:
            status = Path(f"/proc/{self._popen.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return float(line.split()[1]) / 1024.0
        return 0.0

    def end(self) -> None:
        """End the process at once."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.kill()
            self._popen.wait()

    @property
    def log(self) -> str:
        """Return what the process has written."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""


class System:
    """Store, minions, scheduler processes and clients of one case."""

    def __init__(self, folder: Path, **bounds: Any) -> None:
        self.record = Record(folder / "record.txt")
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = self._temporary.name
        self.store = Store()
        self.plans: dict[str, TaskPlan] = {}
        self.world = World(self.store, self._plan_of, self.record)
        network = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}."
        self._network = network
        self._hosts = iter(range(1, 250))
        self.processes: list[Process] = []
        self.bounds: dict[str, Any] = {
            "stabilityMs": 4000,
            "ackMs": 5000,
            "drainMs": 2500,
            "graceS": 6,
            "configApplyMs": 2500,
            "maxHoldMs": 6000,
            "stopGraceMs": 200,
            "gangWaitMs": 3000,
            "cancel_ms": 3000,
            "visible_ms": 3000,
            "finish_s": 14,
            "status_s": 120,
            "checkpointS": 2,
            "restoreMs": 600,
            "harmMs": 4000,
            **bounds,
        }
        self._session: aiohttp.ClientSession | None = None
        self._watch: asyncio.Task[None] | None = None

    def _plan_of(self, task: str) -> TaskPlan:
        job, _, step, _ = task.split(".")
        return self.plans[f"{job}.{step}"]

    def next_host(self) -> str:
        """Return a loopback address that no other part of this case uses."""
        return f"{self._network}{next(self._hosts)}"

    async def start(self, processes: int, minions: int, **minion_options: Any) -> None:
        """Start the store, the minions and the processes, and wait until jobs are accepted."""
        await self.store.start(self.next_host())
        await self.configure(1)
        zones = ("caxias", "gramado")
        host = self.next_host()
        for number in range(minions):
            minion = Minion(
                self.world, f"i-{number:08x}", host, zones[number % 2], SERVICE,
                f"r{number // 8}", **minion_options,
            )  # fmt: skip
            await minion.start()
        for number in range(processes):
            process = Process(self, f"front-{number}", self.next_host(), zones[number % 2])
            self.processes.append(process)
            process.start()
        self._session = aiohttp.ClientSession()
        until = time.monotonic() + STARTED_SECONDS
        while time.monotonic() < until:
            await asyncio.sleep(0.3)
            answers = [await self.get("", process) for process in self.processes]
            if all(status == 200 for status, _ in answers):
                return
        raise Unrunnable("the processes did not become ready")

    def begin_watch(self, limit_mb: float) -> None:
        """Begin to watch the memory of the processes."""
        self._watch = asyncio.create_task(self._watch_memory(limit_mb))

    async def _watch_memory(self, limit_mb: float) -> None:
        """Kill processes that exceed their memory and start them again, as the platform does."""
        while True:
            for process in self.processes:
                memory_mb = process.memory_mb
                if memory_mb <= limit_mb:
                    continue
                self.record("over memory", name=process.name, mb=round(memory_mb))
                process.send_signal(signal.SIGKILL)
                await process.wait()
                await asyncio.sleep(RESTART_SECONDS)
                process.start()
            await asyncio.sleep(0.1)

    async def configure(self, version: int, max_attempts: int = 4) -> None:
        """Write a configuration as the operator."""
        config = {
            "version": version,
            "routes": [
                {
                    "name": "jobs", "host": HOST, "pathPrefix": PREFIX, "kind": "unsafe",
                    "timeoutMs": 3000, "targetLatencyMs": 1000, "priority": 0, "service": SERVICE,
                    "maxAttempts": max_attempts, "stretch": 2.0, "allowedRegions": [],
                }
            ],
            "services": [
                {
                    "name": SERVICE, "healthPath": "/health", "maxConns": 64, "protocol": "h1",
                    "tls": False, "coldStartS": 0.0, "coldPerS": 0.0, "admissionCheck": False,
                    "standby": False,
                }
            ],
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }  # fmt: skip
        await self.store.put("keyed.op", "config", json.dumps(config).encode())

    async def _call(
        self, method: str, job: str, process: Process, body: object = None
    ) -> tuple[int, dict[str, Any]]:
        assert self._session is not None
        data = None if body is None else json.dumps(body).encode()
        try:
            async with self._session.request(
                method,
                f"http://{process.front}{PREFIX}{job}",
                data=data,
                headers={
                    "Host": HOST, "Deadline-Ms": "3000", "Content-Type": "application/json",
                },
                timeout=aiohttp.ClientTimeout(total=3.0),
            ) as answer:  # fmt: skip
                text = await answer.read()
                try:
                    return answer.status, json.loads(text or b"{}")
                except ValueError:
                    return answer.status, {}
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, {}

    async def get(self, job: str, process: Process) -> tuple[int, dict[str, Any]]:
        """Ask for the state of a job, or of the queue if it is empty."""
        return await self._call("GET", job, process)

    async def state(self, job: str) -> str:
        """Ask the processes in turn until one answers; return the state or ``410``."""
        for _ in range(20):
            for process in self.processes:
                if not process.is_running:
                    continue
                status, body = await self.get(job, process)
                if status == 200:
                    self.record("state", job=job, state=body.get("state"), asked=process.name)
                    return str(body.get("state"))
                if status == 410:
                    self.record("state", job=job, state=410, asked=process.name)
                    return "410"
            await asyncio.sleep(0.3)
        self.record("state", job=job, state="no answer")
        return ""

    async def try_submit(
        self, job: str, spec: dict[str, Any], process: Process, tries: int = 5
    ) -> bool:
        """Submit a job; repeat the request after an answer that leaves the outcome open.

        :returns: whether the job was accepted
        """
        for _ in range(tries):
            status, _ = await self._call("POST", job, process, spec)
            self.record("submitted", job=job, status=status, to=process.name)
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def submit(self, job: str, spec: dict[str, Any], process: Process) -> None:
        """Submit a job, which has to be accepted for the case to run."""
        if not await self.try_submit(job, spec, process):
            raise Unrunnable(f"job {job} was not accepted")

    async def find_idle(self, jobs: list[str], cpu: int, seconds: float) -> list[str]:
        """Return the jobs with nothing running for a time while there is room for them.

        There is room when a minion has twice the processors that a task takes, and when under half
        of all processors are in use.

        :param cpu: thousandths of a processor that a task of these jobs takes
        """
        idle = set(jobs)
        until = time.monotonic() + seconds
        while time.monotonic() < until and idle:
            minions = self.world.minions.values()
            used = sum(minion.used_cpu for minion in minions)
            has_room = 2 * used < sum(minion.capacity[0] for minion in minions) and any(
                minion.capacity[0] - minion.used_cpu >= 2 * cpu for minion in minions
            )
            if not has_room:
                return []
            idle -= {task[:16] for minion in minions for task in minion.runs}
            await asyncio.sleep(0.05)
        return sorted(idle)

    async def wait_for(self, check: Any, seconds: float) -> bool:
        """Wait until a check holds; return whether it did in time."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if check():
                return True
            await asyncio.sleep(0.05)
        return False

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        if self._watch is not None:
            # First, since it starts processes again.
            self._watch.cancel()
            await asyncio.gather(self._watch, return_exceptions=True)
        for process in self.processes:
            process.end()
        for minion in list(self.world.minions.values()):
            await minion.crash()
        if self._session is not None:
            await self._session.close()
        await self.store.stop()
        if os.environ.get("KEEP_LOGS"):
            for process in self.processes:
                Path(os.environ["KEEP_LOGS"], f"{process.name}.log").write_text(process.log)
        self._temporary.cleanup()


def run(folder: Path, case: Any, **bounds: Any) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 if it could not run.

    :param case: coroutine function that is given the system and whether to cause the disruption,
        and returns the breaks that it has seen
    """

    async def play() -> int:
        task = asyncio.current_task()
        assert task is not None
        # An interrupted case ends its processes as well.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        # The stand-ins reset connections on purpose.
        logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
        system = System(folder, **bounds)
        is_troubled = os.environ.get("TROUBLE", "1") != "0"
        try:
            async with asyncio.timeout(112):
                breaks = await case(system, is_troubled)
        except (Exception, asyncio.CancelledError) as error:
            # Whatever goes wrong here says nothing about the rule.
            system.record("could not run", reason=repr(error))
            print("could not run:", repr(error))
            return 2
        finally:
            await system.stop()
        print(f"{system.store.beyond_rate} calls to the store were beyond its rate")
        for text in breaks:
            system.record("BROKEN", text=text)
            print("broken:", text)
        print("rule broken" if breaks else "rule held")
        return 1 if breaks else 0

    try:
        status = asyncio.run(play())
    except Exception as error:
        print("could not run:", repr(error))
        status = 2
    sys.exit(status)
