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
PACE_SECONDS = 0.1
# Tail of a task that lasts, in ms. No task disturbs another one.
TAIL_MS = 10


@dataclass
class TaskPlan:
    """What a task does once it runs.

    :param work_ms: work until it is done; infinite for a task that lasts
    :param gang: number of members of its gang; 0 for a task that works alone
    :param is_checkpointing: whether it saves its progress
    :param cpu: thousandths of a processor that it takes
    """

    work_ms: float
    cpu: int = 0
    gang: int = 0
    is_checkpointing: bool = False


@dataclass
class Run:
    """One run of a task on a minion."""

    task: str
    run_id: int
    checkpoint: str
    begun_at: float
    minion: Minion
    plan: TaskPlan
    # Work that was done before this run, and until the newest change of pace.
    base_ms: float = 0.0
    done_ms: float = 0.0
    # Time of that change, from which it works; None while a gang is incomplete.
    working_since: float | None = None
    pace: int = 100

    @property
    def progress_ms(self) -> float:
        """Return the work that is done."""
        if self.working_since is None:
            return self.base_ms
        worked_ms = max(0.0, 1000.0 * (time.monotonic() - self.working_since))
        return self.base_ms + self.done_ms + worked_ms * self.pace / 100.0

    @property
    def saved(self) -> str:
        """Return the newest checkpoint; empty for none."""
        return self.checkpoint_at(int(self.progress_ms // CHECKPOINT_MS) * CHECKPOINT_MS)

    def checkpoint_at(self, work_ms: int) -> str:
        """Return the checkpoint of an amount of work; that of the start if there is none newer."""
        if not self.plan.is_checkpointing or work_ms <= self.base_ms:
            return self.checkpoint
        return f"{work_ms:08x}{self.task[:8]}"

    def begin_work(self) -> None:
        """Begin to work, after the time that it takes to resume."""
        restore_seconds = RESTORE_MS / 1000.0 if self.checkpoint else 0.0
        self.working_since = time.monotonic() + restore_seconds

    def set_pace(self, percent: int) -> None:
        """Change the share of its speed at which it works."""
        if self.working_since is not None and self.working_since < time.monotonic():
            self.done_ms = self.progress_ms - self.base_ms
            self.working_since = time.monotonic()
        self.pace = percent


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
        # Number of times that the lease has run out, now and when each end was listed.
        self._lapses = 0
        self._lapses_at_end: dict[int, int] = {}
        self._is_held = False
        self._transports: set[asyncio.BaseTransport] = set()
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
        for transport in self._transports:
            transport.abort()  # type: ignore[attr-defined]
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
            if self._is_held and self.clock_ms > self._lease_ms:
                self._is_held = False
                self._lapses += 1
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
                    member.begin_work()
            elif 1000 * (time.monotonic() - run.begun_at) > GANG_WAIT_MS:
                self._end(run, "alone")
            return
        if gang and len(members) < gang:
            self._end(run, "broken")
            return
        if run.progress_ms >= run.plan.work_ms:
            for member in members:
                member.minion._end(member, "done")

    def _end(self, run: Run, how: str) -> None:
        if self.runs.pop(run.task, None) is None:
            return
        # A stop produces a new checkpoint.
        saved = run.checkpoint_at(int(run.progress_ms)) if how == "stopped" else run.saved
        saved = "" if how == "done" else saved
        self._end_count += 1
        self._ended.append((self._end_count, run.task, run.run_id, how, saved))
        self._lapses_at_end[self._end_count] = self._lapses
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.run_id)
        self.world.record(
            "ended", task=run.task, run=run.run_id, how=how, minion=self.minion_id, saved=saved
        )
        self._has_ended.set()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.transport is not None:
            self._transports.add(request.transport)
        answer = await self._serve(request)
        if not self.is_up:
            if request.transport is not None:
                request.transport.abort()
            raise ConnectionResetError("the minion has crashed")
        return answer

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        body = json.loads(await request.read() or b"{}")
        if request.headers.get("Expect-Instance", self.minion_id) != self.minion_id:
            return self._reply(421)
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
                run = self.runs.get(str(body["task"]))
                if run is not None and run.run_id == int(body["runId"]):
                    self.world.record("paced", task=run.task, percent=body["percent"])
                    loop = asyncio.get_running_loop()
                    loop.call_later(PACE_SECONDS, run.set_pace, int(body["percent"]))
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
            self._is_held = self._is_held or self._lease_ms > self.clock_ms

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
                has_lapsed = self._lapses_at_end[end[0]] != self._lapses
                self.world.record("acked", task=end[1], run=end[2], how=end[3], lapsed=has_lapsed)
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
            is_lasting = run.plan.work_ms == float("inf")
            measure = TAIL_MS if is_lasting else run.plan.cpu * run.pace // 100
            is_working = run.working_since is not None and run.working_since <= time.monotonic()
            percent = 100 if is_working else 0
            running.append([run.task, run.run_id, run.saved, percent, measure])
            self.reported[run.task] = run.saved
        return self._reply(
            200,
            born=self._born_ms,
            running=running,
            ended=[list(e) for e in self._ended[:END_LIST]],
        )
