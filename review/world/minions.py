"""Stand-in of the minions, after the section "Running tasks" of PROTOCOL.md."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from net import Answer, Request, Server
from store import Store

STEP_SECONDS = 0.02
HEARTBEAT_SECONDS = 1.0
MAX_LISTED_ENDS = 500


@dataclass
class Bounds:
    """Bounds of the site."""

    max_hold_ms: int = 6000
    stop_grace_ms: int = 200
    gang_wait_ms: int = 3000
    checkpoint_s: float = 1.0
    restore_ms: int = 600
    # Other bounds in the settings, where they differ from those of bancada-sul.
    others: dict[str, int] = field(default_factory=dict)


@dataclass
class Run:
    """One run of a task on a minion."""

    task: str
    run_id: int
    began_at: float
    step: dict[str, Any]
    duration: float
    checkpoint: str
    # Work done in seconds, and the time from which it is done; None while a gang is incomplete.
    done: float = 0.0
    works_from: float | None = None
    saved: str = ""
    # Checkpoint that the newest list has told.
    told: str = ""
    stopping_at: float | None = None
    pace: int = 100


@dataclass
class Fleet:
    """What all minions share: jobs, gangs, bounds, and the record of what was run."""

    store: Store
    bounds: Bounds
    record: Callable[..., None]
    jobs: dict[str, dict[str, Any]] = field(default_factory=dict)
    # Running members of a gang by (job, occurrence, step, run).
    gangs: dict[tuple[str, int, int, int], dict[str, tuple[Life, Run]]] = field(
        default_factory=dict
    )
    # Seconds that a task works, by its name and the number of the run.
    duration: Callable[[str, int, dict[str, Any]], float] = lambda task, run, step: 1.0
    # How a run ends: done or failed.
    outcome: Callable[[str, int], str] = lambda task, run: "done"

    def step_of(self, task: str) -> dict[str, Any] | None:
        """Return the step of a task; None for a task that nobody submitted."""
        job_id, _, step, _ = task.split(".")
        job = self.jobs.get(job_id)
        if job is None or int(step) >= len(job["steps"]):
            return None
        found: dict[str, Any] = job["steps"][int(step)]
        return found


def saved_value(seconds: float, task: str) -> str:
    """Return the checkpoint of a task after some seconds of work."""
    return f"{int(seconds * 1000):08x}{task[:16][-8:]}"


def saved_seconds(value: str) -> float:
    """Return the seconds of work that a checkpoint stands for."""
    return int(value[:8], 16) / 1000.0 if value else 0.0


class Life:
    """One incarnation of a minion."""

    def __init__(self, minion: Minion, born_ms: int, clock_base_ms: int) -> None:
        self.minion, self.born_ms = minion, born_ms
        self.fleet = minion.fleet
        self._base_ms, self._born_at = clock_base_ms, time.monotonic()
        self.runs: dict[str, Run] = {}
        self.ended: list[list[Any]] = []
        self.next_end = 1
        self.acked = 0
        self.fence = 0
        self.deadline_ms: int | None = None
        self.refused: dict[str, int] = {}
        self.changed = asyncio.Event()
        self.is_over = False

    @property
    def name(self) -> str:
        """Return id and birth of this life."""
        return f"{self.minion.minion_id}@{self.born_ms}"

    def clock_ms(self) -> int:
        """Return the steady clock."""
        return self._base_ms + int((time.monotonic() - self._born_at) * 1000)

    def answer(self, status: int, **more: object) -> Answer:
        """Return an answer, which tells the clock and the birth."""
        return Answer.of(status, {"clockMs": self.clock_ms(), "born": self.born_ms, **more})

    def hold(self, deadline_ms: int | None) -> None:
        """Extend the lease of all that runs."""
        if deadline_ms is None:
            return
        deadline_ms = min(deadline_ms, self.clock_ms() + self.fleet.bounds.max_hold_ms)
        self.deadline_ms = max(self.deadline_ms or 0, deadline_ms)

    def start(self, body: dict[str, Any]) -> Answer:
        """Carry out a start order."""
        task, run_id = str(body["task"]), int(body["runId"])
        fence, checkpoint = int(body.get("fenceToken", 0)), str(body.get("checkpoint", ""))
        if fence < self.fence:
            return self.answer(409, reason="fence")
        self.fence = fence
        if int(body["deadlineMs"]) <= self.clock_ms():
            return self.answer(409, reason="late")
        running = self.runs.get(task)
        if running is not None and running.run_id == run_id:
            self.hold(int(body["deadlineMs"]))
            return self.answer(200)
        if run_id <= self.refused.get(task, 0) or running is not None:
            self.hold(int(body["deadlineMs"]))
            return self.answer(409, reason="old")
        step = self.fleet.step_of(task)
        self.fleet.record(
            "start",
            life=self.name,
            task=task,
            run=run_id,
            checkpoint=checkpoint,
            fence=fence,
            labels=list(self.minion.labels),
        )
        if step is None:
            return self.answer(400)
        self.hold(int(body["deadlineMs"]))
        duration = self.fleet.duration(task, run_id, step)
        run = Run(task, run_id, time.monotonic(), step, duration, checkpoint)
        run.done, run.saved = saved_seconds(checkpoint), checkpoint
        self.runs[task] = run
        if step.get("gang"):
            self._join(run)
        else:
            restore = self.fleet.bounds.restore_ms / 1000.0 if checkpoint else 0.0
            run.works_from = run.began_at + restore
        return self.answer(200)

    def _gang_key(self, run: Run) -> tuple[str, int, int, int]:
        job_id, occurrence, step, _ = run.task.split(".")
        return job_id, int(occurrence), int(step), run.run_id

    def _join(self, run: Run) -> None:
        """Add a member of a gang, which works once all members of its run are present."""
        members = self.fleet.gangs.setdefault(self._gang_key(run), {})
        members[run.task] = (self, run)
        if len(members) < run.step["count"]:
            return
        values = sorted({one.checkpoint for _, one in members.values()})
        if len(values) > 1:
            # All members must carry the same value, so this run can't resume from one.
            self.fleet.record("gang differs", gang=run.task, run=run.run_id, checkpoints=values)
            return
        restore = self.fleet.bounds.restore_ms / 1000.0 if run.checkpoint else 0.0
        for _, one in members.values():
            one.works_from = time.monotonic() + restore

    def stop(self, body: dict[str, Any]) -> Answer:
        """Carry out a stop order."""
        task, run_id = str(body["task"]), int(body["runId"])
        if int(body.get("fenceToken", 0)) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = int(body.get("fenceToken", 0))
        run = self.runs.get(task)
        if run is not None and run.run_id <= run_id:
            if run.stopping_at is None:
                run.stopping_at = time.monotonic() + self.fleet.bounds.stop_grace_ms / 2000.0
        self.refused[task] = max(self.refused.get(task, 0), run_id)
        return self.answer(200)

    def pace(self, body: dict[str, Any]) -> Answer:
        """Carry out a change of pace."""
        if int(body.get("fenceToken", 0)) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = int(body.get("fenceToken", 0))
        run = self.runs.get(str(body["task"]))
        if run is not None and run.run_id == int(body["runId"]):
            run.pace = int(body["percent"])
        return self.answer(200)

    async def look(self, body: dict[str, Any]) -> Answer:
        """Renew the lease, take note of ends, and list runs and ends."""
        if int(body.get("fenceToken", 0)) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = int(body.get("fenceToken", 0))
        self.hold(body.get("deadlineMs"))
        upto = int(body.get("ackedUpto", 0))
        if upto > self.acked:
            for end in self.ended:
                if end[0] <= upto:
                    self.fleet.record("acked", life=self.name, task=end[1], run=end[2], how=end[3])
            self.acked = upto
            self.ended = [end for end in self.ended if end[0] > upto]
        wait_seconds = min(2000, int(body.get("waitMs", 0))) / 1000.0
        if wait_seconds and not self.ended:
            self.changed.clear()
            try:
                async with asyncio.timeout(wait_seconds):
                    await self.changed.wait()
            except TimeoutError:
                pass
        running = []
        for run in self.runs.values():
            is_working = run.works_from is not None and time.monotonic() >= run.works_from
            measure = 1 if run.step.get("perpetual") else int(run.step.get("cpu", 0))
            percent = 100 if is_working else 0
            if run.saved != run.told:
                run.told = run.saved
                self.fleet.record(
                    "listed",
                    life=self.name,
                    task=run.task,
                    run=run.run_id,
                    checkpoint=run.saved,
                )
            running.append([run.task, run.run_id, run.saved, percent, measure])
        return self.answer(200, running=running, ended=self.ended[:MAX_LISTED_ENDS])

    def end(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        if how == "done":
            run.saved = ""
        elif how == "stopped" and run.step.get("checkpointing"):
            run.saved = saved_value(run.done, run.task)
        self.refused[run.task] = max(self.refused.get(run.task, 0), run.run_id)
        self.ended.append([self.next_end, run.task, run.run_id, how, run.saved])
        self.next_end += 1
        self.fleet.record("end", life=self.name, task=run.task, run=run.run_id, how=how)
        self.changed.set()
        if run.step.get("gang"):
            self._leave(run, how)

    def _leave(self, run: Run, how: str) -> None:
        """End the other members of a gang."""
        members = self.fleet.gangs.get(self._gang_key(run), {})
        members.pop(run.task, None)
        for life, other in list(members.values()):
            if how == "done" or other.works_from is not None:
                life.end(other, "done" if how == "done" else "broken")

    def crash(self) -> None:
        """End all that runs without a word."""
        self.is_over = True
        for run in list(self.runs.values()):
            if self.runs.pop(run.task, None) is None:
                continue
            self.fleet.record("gone", life=self.name, task=run.task, run=run.run_id)
            if run.step.get("gang"):
                self._leave(run, "gone")

    def advance(self, now: float, seconds: float) -> None:
        """Let work pass."""
        if self.deadline_ms is not None and self.clock_ms() >= self.deadline_ms and self.runs:
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
            return
        for run in list(self.runs.values()):
            if self.runs.get(run.task) is run:
                self._advance_run(run, now, seconds)

    def _advance_run(self, run: Run, now: float, seconds: float) -> None:
        bounds = self.fleet.bounds
        if run.stopping_at is not None:
            if now >= run.stopping_at:
                self.end(run, "stopped")
            return
        if run.works_from is None:
            if now - run.began_at >= bounds.gang_wait_ms / 1000.0:
                self.end(run, "alone")
            return
        if now < run.works_from or run.step.get("perpetual"):
            return
        run.done += seconds * run.pace / 100.0
        if run.step.get("checkpointing"):
            kept = int(run.done / bounds.checkpoint_s) * bounds.checkpoint_s
            if kept > saved_seconds(run.saved):
                run.saved = saved_value(kept, run.task)
        if run.done >= run.duration:
            self.end(run, self.fleet.outcome(run.task, run.run_id))


class Minion:
    """A minion, which may have several lives under one id."""

    def __init__(
        self,
        fleet: Fleet,
        minion_id: str,
        host: str,
        service: str,
        zone: str,
        capacity: dict[str, int],
        labels: list[str],
        clock_base_ms: int,
    ) -> None:
        self.fleet, self.minion_id = fleet, minion_id
        self.service, self.zone = service, zone
        self.capacity, self.labels = capacity, labels
        self._clock_base_ms = clock_base_ms
        self.server = Server(host, 0, self._answer)
        self.state = "ready"
        self.life: Life | None = None
        self._tasks: list[asyncio.Task[None]] = []
        # Called before each call is carried out; may return an answer in its place.
        self.before: Callable[[Request], Awaitable[Answer | None]] | None = None
        # Called with each call and its answer; returns the answer to send.
        self.after: Callable[[Request, Answer], Awaitable[Answer]] | None = None

    async def begin(self) -> None:
        """Begin a life."""
        # The clock of a later life starts anew.
        self.life = Life(self, int(time.time() * 1000), self._clock_base_ms)
        self._clock_base_ms = 0
        await self.server.start()
        self._tasks = [
            asyncio.create_task(self._heartbeats(self.life)),
            asyncio.create_task(self._work(self.life)),
        ]

    def end_life(self) -> None:
        """End the present life without a word; connections stay open."""
        life, self.life = self.life, None
        for task in self._tasks:
            task.cancel()
        if life is not None:
            life.crash()

    async def crash(self) -> None:
        """End the present life without a word and reset all connections."""
        self.end_life()
        await self.server.kill()

    async def _heartbeats(self, life: Life) -> None:
        sequence = 0
        while not life.is_over:
            sequence += 1
            self.fleet.store.put("keyed.servers", self.minion_id, self.entry(life, sequence))
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def entry(self, life: Life, sequence: int) -> dict[str, Any]:
        """Return what the minion says of itself in the store."""
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clockMs": life.clock_ms(),
            "sequence": sequence,
            "born": life.born_ms,
        }

    async def _work(self, life: Life) -> None:
        last = time.monotonic()
        while not life.is_over:
            await asyncio.sleep(STEP_SECONDS)
            now = time.monotonic()
            life.advance(now, now - last)
            last = now

    async def _answer(self, request: Request) -> Answer:
        if self.before is not None:
            early = await self.before(request)
            if early is not None:
                return early
        answer = await self.carry_out(request)
        if self.after is not None:
            return await self.after(request, answer)
        return answer

    async def carry_out(self, request: Request) -> Answer:
        """Carry out a call as a sound minion does."""
        life = self.life
        if life is None:
            return Answer(0)
        if request.path == "/health":
            return life.answer(200)
        if request.headers.get("expect-instance", self.minion_id) != self.minion_id:
            return life.answer(421)
        match request.path:
            case "/run-start":
                return life.start(request.json())
            case "/run-stop":
                return life.stop(request.json())
            case "/pace":
                return life.pace(request.json())
            case "/hold":
                return await life.look(request.json())
        return life.answer(404)
