"""Simulation of entry processes, workers and a log in virtual time."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Sequence
from typing import Any

import looptime
import msgspec

from dotterelhill.batch import Batch, WorkerError
from dotterelhill.batch.worker import Refusal, RunReport, WorkerClock, WorkerReport
from dotterelhill.ledger import Adopt, Hold, Join, Ledger, encode_record
from dotterelhill.log.appender import BatchedAppender
from dotterelhill.log.interface import LogError
from dotterelhill.manifest import AcceptedManifest, manifest_from_document
from standins.worker import StandInWorker

LIMITS = {"requests_per_second": 9, "in_flight": 9, "cpu": 999, "memory_gb": 999, "accelerators": 9}
TIMEOUT_SECONDS = 4.0
POLL_SECONDS = 0.05


class WorkerConnection:
    """Connection of one process to one worker, with the network faults that a scenario sets.

    It implements :class:`~dotterelhill.batch.worker.Worker`.
    """

    def __init__(self, process: Process, worker: StandInWorker) -> None:
        self._process = process
        self._worker = worker

    async def read_clock(self) -> WorkerClock:
        worker = self._worker
        return await self._call("clock", lambda: (200, self._identity(worker)), WorkerClock)

    async def renew_lease(self, holder_token, seconds, not_after, boot, failure_domain):
        body = {
            "holder_token": holder_token,
            "seconds": seconds,
            "not_after": not_after,
            "boot": boot,
            "failure_domain": failure_domain,
        }
        return await self._call("lease", lambda: self._worker.renew(body), WorkerReport)

    async def start(self, task, token, not_after, boot, resources, run_seconds, checkpoint):
        body = {
            "token": token,
            "not_after": not_after,
            "boot": boot,
            "resources": {"cpu": resources.cpu, "memory_gb": resources.memory_gb},
            "run_seconds": run_seconds,
            "checkpoint": checkpoint,
        }
        return await self._call("start", lambda: self._worker.start(task, body), RunReport)

    async def stop(self, task, token, *, keeps_work):
        body = {"token": token, "checkpoint": keeps_work}
        return await self._call("stop", lambda: self._worker.stop(task, body), RunReport)

    async def throttle(self, task, token, speed):
        body = {"token": token, "speed": speed}
        return await self._call("throttle", lambda: self._worker.throttle(task, body), RunReport)

    async def forget(self, task, token):
        body = {"token": token}
        await self._call("forget", lambda: self._worker.forget(task, body), dict)

    def _identity(self, worker: StandInWorker) -> dict[str, Any]:
        return {
            "name": worker.name,
            "rack": worker.rack,
            "failure_domain": worker.failure_domain,
            **worker.capacity,
            "clock": worker.now(),
            "boot": worker.boot,
        }

    async def _call(self, kind: str, operation, answer_type) -> Any:
        world, name = self._process.world, self._worker.name
        if kind in world.delays:
            await asyncio.sleep(world.delays[kind])
        await self._process.running_event.wait()
        if world.is_partitioned(self._process.name, name) or kind in world.blocked_kinds:
            if world.late_delivery_seconds:
                world.loop.call_later(world.late_delivery_seconds, operation)
            await asyncio.sleep(TIMEOUT_SECONDS)
            raise WorkerError("no answer")
        status, answer = operation()
        world.messages[kind] += 1
        if kind in world.duplicated:
            operation()
        if kind in world.late_answers:
            # The answer arrives after the caller's timeout.
            await asyncio.sleep(min(TIMEOUT_SECONDS, world.late_answers[kind]))
            raise WorkerError("no answer in time")
        if world.lost_answers[kind] > 0:
            world.lost_answers[kind] -= 1
            await asyncio.sleep(TIMEOUT_SECONDS)
            raise WorkerError("answer lost")
        await self._process.running_event.wait()
        return msgspec.convert(answer, Refusal if status == 409 else answer_type)


class PausableBatch(Batch):
    """Batch that runs no tick while its process is paused."""

    process: Process

    def step(self, now: float) -> None:
        if self.process.running_event.is_set():
            super().step(now)


class Process:
    """One entry process that reads and folds the log on its own."""

    def __init__(self, world: World, name: str, failure_domain: str) -> None:
        self.world = world
        self.name = name
        self.failure_domain = failure_domain
        self.incarnation = f"{name}/00"
        self.running_event = asyncio.Event()
        self.running_event.set()
        self.is_scheduler = False
        self.is_cut_from_log = False
        self.is_vm_list_empty = False
        self.ledger = Ledger(world.manifests.get)
        self.evidence_at = float("-inf")
        self.config_evidence_at = float("-inf")
        self.manifest: AcceptedManifest | None = None
        self._read = 0
        self._connections: dict[str, WorkerConnection] = {}
        self.connect()
        self.appender = BatchedAppender(self, "control", spacing_seconds=0.1)
        self.batch = PausableBatch(
            incarnation=self.incarnation,
            failure_domain=failure_domain,
            ledger=self,
            manifests=Manifests(self),
            holdings=self,
            appender=self.appender,
            worker_names=lambda: () if self.is_vm_list_empty else self._connections,
            worker_of=self._connection_to,
            is_scheduler=lambda: self.is_scheduler,
        )
        self.batch.process = self

    def _connection_to(self, worker: str) -> WorkerConnection:
        return {}[worker] if self.is_vm_list_empty else self._connections[worker]

    def connect(self) -> None:
        for name, worker in self.world.workers.items():
            self._connections.setdefault(name, WorkerConnection(self, worker))

    def worker_token(self, worker: str) -> int | None:
        holding = self.ledger.holders.holding(f"worker:{worker}")
        is_own = holding is not None and holding.holder == self.incarnation
        return holding.token if holding and is_own and not holding.is_released else None

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append records for ``BatchedAppender``, which has one append in flight at a time."""
        if self.is_cut_from_log:
            raise LogError("log is down")
        await asyncio.sleep(self.world.append_seconds)
        self.world.log.extend(records)
        if self.world.lost_answers["append"] > 0:
            self.world.lost_answers["append"] -= 1
            raise LogError("answer lost", is_effect_unknown=True)
        return len(self.world.log)

    async def poll_log(self) -> None:
        while True:
            await self.running_event.wait()
            if not self.is_cut_from_log:
                self._read_log()
            await asyncio.sleep(POLL_SECONDS)

    def _read_log(self) -> None:
        now = asyncio.get_running_loop().time()
        if self.world.manifests:
            version = max(self.world.manifests)
            self.manifest = AcceptedManifest(version, self.world.manifests[version], b"")
        self.config_evidence_at = now
        for data in self.world.log[self._read :]:
            self._read += 1
            verdict = self.ledger.apply(self._read, data)
            self.batch.note_verdict(verdict)
        self.evidence_at = now


class Manifests:
    """View of one process of the manifests."""

    def __init__(self, process: Process) -> None:
        self._process = process

    @property
    def current(self) -> AcceptedManifest | None:
        return self._process.manifest

    @property
    def evidence_at(self) -> float:
        return self._process.config_evidence_at


class World:
    """Processes, workers, log and manifests of a scenario, in an event loop with virtual time."""

    def __init__(self) -> None:
        self.loop = looptime.new_event_loop(start=1000.0)
        asyncio.set_event_loop(self.loop)
        self.log: list[bytes] = []
        self.manifests: dict[int, Any] = {}
        self.document: dict[str, Any] = {
            "members": {
                "m": {"limits": LIMITS, "teams": {"t": {"cpu": 500}, "u": {"cpu": 400}}},
            },
            "limits": LIMITS,
            "failure_domains": {},
            "jobs": {},
            "lost_workers": [],
        }
        self.workers: dict[str, StandInWorker] = {}
        self.processes: dict[str, Process] = {}
        self.partitions: set[tuple[str, str]] = set()
        self.append_seconds = 0.02
        self.late_delivery_seconds = 0.0
        self.blocked_kinds: set[str] = set()
        self.delays: dict[str, float] = {}
        self.late_answers: dict[str, float] = {}
        self.lost_answers: defaultdict[str, int] = defaultdict(int)
        self.duplicated: set[str] = set()
        self.messages: defaultdict[str, int] = defaultdict(int)
        self._tasks: list[asyncio.Task] = []

    def is_partitioned(self, process: str, worker: str) -> bool:
        return (process, worker) in self.partitions or ("*", worker) in self.partitions

    def add_worker(self, name: str, domain: str, cpu: float, rack: str = "r1") -> None:
        # Clock rates of two workers differ by as much as the design allows.
        rate = 1.0 + (0.002 if len(self.workers) % 2 else -0.002)
        clock_start = 5000.0 * (1 + len(self.workers))
        capacity = {"cpu": cpu, "memory_gb": 100.0, "accelerators": 0}
        clock = lambda: clock_start + self.loop.time() * rate  # noqa: E731
        self.workers[name] = StandInWorker(name, rack, domain, capacity, clock)
        self.document["failure_domains"].setdefault(domain, {"region": "r", "state": "in"})

    def add_process(self, name: str, domain: str) -> None:
        async def start() -> None:
            process = self.processes[name] = Process(self, name, domain)
            self.append(Join(incarnation=process.incarnation, entry=name, failure_domain=domain))
            self._tasks.append(self.loop.create_task(process.poll_log()))
            await process.appender.start()
            await process.batch.start()

        if not self._tasks:
            self._tasks.append(self.loop.create_task(self._advance_workers()))
        self.loop.run_until_complete(start())

    async def _advance_workers(self) -> None:
        while True:
            for worker in self.workers.values():
                worker.advance()
            await asyncio.sleep(POLL_SECONDS)

    def append(self, record: Any) -> int:
        self.log.append(encode_record(record))
        return len(self.log)

    def hold(self, process: str, worker: str) -> None:
        resource = f"worker:{worker}"
        reader = Ledger(self.manifests.get)
        for offset, data in enumerate(self.log, start=1):
            reader.apply(offset, data)
        previous = reader.holders.previous_token(resource)
        holder = self.processes[process].incarnation
        self.append(Hold(resource=resource, holder=holder, previous=previous))

    def publish(self, *, is_adopted: bool = True) -> None:
        version = len(self.manifests) + 1
        self.manifests[version] = manifest_from_document(
            msgspec.json.decode(msgspec.json.encode(self.document))
        )
        if is_adopted:
            self.append(Adopt(manifest_version=version, digest=""))

    def run(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def ledger(self) -> Ledger:
        reader = Ledger(self.manifests.get)
        for offset, data in enumerate(self.log, start=1):
            reader.apply(offset, data)
        return reader

    def journal(self, task_prefix: str = "") -> list[dict[str, Any]]:
        async def read() -> list[dict[str, Any]]:
            return [
                entry
                for worker in self.workers.values()
                for entry in worker.journal
                if entry["task"].startswith(task_prefix)
            ]

        return sorted(self.loop.run_until_complete(read()), key=lambda entry: entry["start"])

    def task_outcomes(self, job: str) -> list[str]:
        for item in self.ledger().placements.jobs.values():
            if item.name == job:
                return [str(outcome) for outcome in item.ended.values()]
        return []

    def restart(self, worker: StandInWorker) -> None:
        """Restart a worker, which deletes its runs, tokens and lease, like a replaced VM."""

        async def forget() -> None:
            for run in worker.runs.values():
                worker._stop(run, keeps_work=False, reason="restart")

        self.loop.run_until_complete(forget())
        worker.runs.clear()
        worker.highest_tokens.clear()
        worker.holder_token = 0
        worker.lease_until = float("-inf")
        worker.boot += "x"

    def close(self) -> None:
        async def stop() -> None:
            for process in self.processes.values():
                process.running_event.set()
                await process.batch.stop()
                await process.appender.stop()
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

        self.loop.run_until_complete(stop())
        self.loop.close()
        asyncio.set_event_loop(None)
