"""Stand-ins of minions, as the section "Running tasks" of PROTOCOL.md describes them."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from aiohttp import web
from store import Store

MAX_HOLD_MS = 6000
STOP_GRACE_MS = 50
GANG_WAIT_MS = 3000
CHECKPOINT_MS = 2000
RESTORE_MS = 600
HEARTBEAT_SECONDS = 1.1
TICK_SECONDS = 0.05
END_LIST = 500
# Rough figures of the last half second: the tail of a task that lasts in ms, and the processor use
# of any other one in thousandths.
TAIL_MS = 10
CPU_USED = 100


@dataclass
class TaskPlan:
    """What a task does once it runs.

    :param work_ms: work until it is done; infinite for a task that lasts
    :param gang: number of members of its gang; 0 for a task that works alone
    :param is_checkpointing: whether it saves its progress
    :param spread_ms: extra work, by the number of the task: none for the first one of a thousand
    :param cpu: thousandths of a processor that it takes
    """

    work_ms: float
    cpu: int = 0
    gang: int = 0
    is_checkpointing: bool = False
    spread_ms: float = 0.0

    def work_of(self, task: str) -> float:
        """Return the work of one task until it is done."""
        return self.work_ms + self.spread_ms * (int(task.rsplit(".", 1)[1]) % 1000) / 1000.0


@dataclass
class Run:
    """One run of a task on a minion."""

    task: str
    run_id: int
    checkpoint: str
    begun_at: float
    minion: Minion
    plan: TaskPlan
    # Work that was done before this run, and since when it works; None while a gang is incomplete.
    base_ms: float = 0.0
    working_since: float | None = None

    @property
    def progress_ms(self) -> float:
        """Return the work that is done."""
        if self.working_since is None:
            return self.base_ms
        done_ms = 1000.0 * (time.monotonic() - self.working_since)
        return self.base_ms + max(0.0, done_ms - (RESTORE_MS if self.base_ms else 0.0))

    @property
    def saved(self) -> str:
        """Return the newest checkpoint; empty for none."""
        if not self.plan.is_checkpointing:
            return ""
        saved_ms = int(self.progress_ms // CHECKPOINT_MS) * CHECKPOINT_MS
        if saved_ms <= self.base_ms:
            return self.checkpoint
        return f"{saved_ms:08x}{self.task[:8]}"


@dataclass
class World:
    """What all minions share: the plans of tasks, their gangs and the record of what ran.

    :param plan_of: returns what a task does, given its name
    :param record: called with each event
    """

    store: Store
    plan_of: Callable[[str], TaskPlan]
    record: Callable[..., None]
    minions: dict[str, Minion] = field(default_factory=dict)

    def gang_of(self, run: Run) -> list[Run]:
        """Return the present members of a run's gang that can work together.

        They share the run number and the checkpoint.
        """
        step, members = run.task.rsplit(".", 1)[0], []
        for minion in self.minions.values():
            for other in minion.runs.values():
                if (
                    other.task.rsplit(".", 1)[0] == step
                    and other.run_id == run.run_id
                    and other.checkpoint == run.checkpoint
                ):
                    members.append(other)
        return members


class Minion:
    """One life of a minion.

    :param capacity: processors in thousandths and memory in MB
    """

    def __init__(
        self,
        world: World,
        minion_id: str,
        host: str,
        zone: str,
        service: str,
        rack: str,
        capacity: tuple[int, int] = (32000, 128000),
    ) -> None:
        self.world = world
        self.minion_id = minion_id
        self.host = host
        self.zone = zone
        self.service = service
        self.rack = rack
        self.capacity = capacity
        self.runs: dict[str, Run] = {}
        # Checkpoints in the newest list of runs, by task.
        self.reported: dict[str, str] = {}
        self.is_up = False
        self.address = ""
        self._born_ms = 0
        self._born_at = 0.0
        self._ended: list[tuple[int, str, int, str, str]] = []
        self._end_count = 0
        self._highest: dict[str, int] = {}
        self._fence = 0
        self._lease_ms = 0.0
        self._has_ended = asyncio.Event()
        self._runner: web.ServerRunner | None = None
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def used_cpu(self) -> int:
        """Return the thousandths of a processor that runs take, also those that fill."""
        return sum(run.plan.cpu for run in self.runs.values())

    @property
    def clock_ms(self) -> int:
        """Return the steady clock, which begins at the start of this life."""
        return int(1000 * (time.monotonic() - self._born_at))

    async def start(self) -> None:
        """Begin to serve and to write the entry."""
        self._born_ms, self._born_at = int(1000 * time.time()), time.monotonic() - 1.0
        self._runner = web.ServerRunner(
            web.Server(self._answer, access_log=None), shutdown_timeout=0.01
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.host, 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]  # type: ignore[union-attr]
        self.address = f"{self.host}:{port}"
        self.is_up = True
        self.world.minions[self.minion_id] = self
        self._tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._work())]

    async def crash(self) -> None:
        """End at once: connections close, and everything that runs is gone."""
        self.is_up = False
        self.world.minions.pop(self.minion_id, None)
        for run in self.runs.values():
            self.world.record("lost", task=run.task, run=run.run_id, minion=self.minion_id)
        self.runs = {}
        for task in self._tasks:
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def forget_entry(self) -> None:
        """Remove the entry, as the platform does after three missing heartbeats."""
        await self.world.store.put("keyed.servers", self.minion_id, b"")

    async def _beat(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            entry = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "1",
                "slots": 8,
                "state": "ready",
                "coldLeftMs": 0,
                "sequence": sequence,
                "born": self._born_ms,
                "capacity": {"cpu": self.capacity[0], "memMb": self.capacity[1], "gpu": 0},
                "labels": ["a", self.rack],
            }
            await self.world.store.put("keyed.servers", self.minion_id, json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            if self.runs and self.clock_ms > self._lease_ms:
                for run in list(self.runs.values()):
                    self._end(run, "lapsed")
            for run in list(self.runs.values()):
                self._advance(run)

    def _advance(self, run: Run) -> None:
        if run.task not in self.runs:
            return
        gang = run.plan.gang
        members = self.world.gang_of(run) if gang else [run]
        if run.working_since is None:
            if len(members) >= max(1, gang):
                for member in members:
                    member.working_since = time.monotonic()
            elif 1000 * (time.monotonic() - run.begun_at) > GANG_WAIT_MS:
                self._end(run, "alone")
            return
        if gang and len(members) < gang:
            self._end(run, "broken")
            return
        if run.progress_ms >= run.plan.work_of(run.task):
            for member in members:
                member.minion._end(member, "done")

    def _end(self, run: Run, how: str) -> None:
        if self.runs.pop(run.task, None) is None:
            return
        saved = "" if how == "done" else run.saved
        self._end_count += 1
        self._ended.append((self._end_count, run.task, run.run_id, how, saved))
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.run_id)
        self.world.record(
            "ended", task=run.task, run=run.run_id, how=how, minion=self.minion_id, saved=saved
        )
        self._has_ended.set()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        body = json.loads(await request.read() or b"{}")
        if request.headers.get("Expect-Instance", self.minion_id) != self.minion_id:
            return web.json_response({"reason": "instance"}, status=421)
        token = int(body.get("fenceToken", 0))
        if token < self._fence:
            return self._reply(409, reason="fence")
        self._fence = token
        match request.path:
            case "/run-start":
                return self._start_run(body)
            case "/run-stop":
                return self._stop_run(body)
            case "/pace":
                return self._reply(200)
            case "/hold":
                return await self._hold(body)
        return web.Response(status=404)

    def _reply(self, status: int, **fields: object) -> web.Response:
        return web.json_response({"clockMs": self.clock_ms, **fields}, status=status)

    def _extend_lease(self, body: dict[str, int]) -> None:
        if "deadlineMs" in body:
            deadline = min(int(body["deadlineMs"]), self.clock_ms + MAX_HOLD_MS)
            self._lease_ms = max(self._lease_ms, deadline)

    def _start_run(self, body: dict[str, object]) -> web.Response:
        task, run_id = str(body["task"]), int(body["runId"])  # type: ignore[call-overload]
        if int(body["deadlineMs"]) <= self.clock_ms:  # type: ignore[call-overload]
            return self._reply(409, reason="late")
        self._extend_lease(body)  # type: ignore[arg-type]
        present = self.runs.get(task)
        if present is not None and present.run_id == run_id:
            return self._reply(200)
        if run_id <= self._highest.get(task, 0) or present is not None:
            return self._reply(409, reason="old")
        checkpoint = str(body.get("checkpoint", ""))
        plan = self.world.plan_of(task)
        base_ms = float(int(checkpoint[:8], 16)) if checkpoint else 0.0
        run = Run(task, run_id, checkpoint, time.monotonic(), self, plan, base_ms)
        self.runs[task] = run
        self.world.record(
            "started", task=task, run=run_id, minion=self.minion_id, checkpoint=checkpoint,
            fence=body.get("fenceToken"),
        )  # fmt: skip
        return self._reply(200)

    def _stop_run(self, body: dict[str, object]) -> web.Response:
        task, run_id = str(body["task"]), int(body["runId"])  # type: ignore[call-overload]
        self._highest[task] = max(self._highest.get(task, 0), run_id)
        run = self.runs.get(task)
        if run is not None and run.run_id <= run_id:
            asyncio.get_running_loop().call_later(STOP_GRACE_MS / 1000.0, self._end, run, "stopped")
        return self._reply(200)

    async def _hold(self, body: dict[str, int]) -> web.Response:
        self._extend_lease(body)
        acked = int(body.get("ackedUpto", 0))
        for end in self._ended:
            if end[0] <= acked:
                self.world.record("acked", task=end[1], run=end[2], how=end[3])
        self._ended = [end for end in self._ended if end[0] > acked]
        if not self._ended:
            self._has_ended.clear()
            try:
                async with asyncio.timeout(int(body.get("waitMs", 0)) / 1000.0):
                    await self._has_ended.wait()
            except TimeoutError:
                pass
        running = []
        for run in self.runs.values():
            measure = TAIL_MS if run.plan.work_ms == float("inf") else CPU_USED
            running.append([run.task, run.run_id, run.saved, 100, measure])
            self.reported[run.task] = run.saved
        return self._reply(
            200,
            born=self._born_ms,
            running=running,
            ended=[list(e) for e in self._ended[:END_LIST]],
        )
