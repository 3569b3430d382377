"""Stand-in of a platform worker: runs tasks under a lease and reports usage with a lag."""

from __future__ import annotations

import argparse
import asyncio
import random
import secrets
from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import asdict, dataclass, field
from typing import Any

from aiohttp import web

from standins.faults import add_faults, run_stand_in

TICK_SECONDS = 0.05
USAGE_LAG_SECONDS = 2.0
# Rate of failing starts: a task fails this long after its start on a worker that fails everything.
FAILURE_DELAY_SECONDS = 0.1


@dataclass(slots=True)
class Run:
    """One run of a task on this worker.

    :param state: running, finished, failed, stopped, refused or never_started
    :param done_seconds: work done, including that of the checkpoint it resumed from
    """

    task: str
    token: int
    state: str
    resources: dict[str, float] = field(default_factory=dict)
    run_seconds: float = 0.0
    done_seconds: float = 0.0
    speed: float = 1.0
    checkpoint: str = ""
    reason: str = ""

    @property
    def job(self) -> str:
        """Return the job's name within the task id."""
        return self.task.partition("@")[0]

    @property
    def is_running(self) -> bool:
        """Return whether the run uses resources."""
        return self.state == "running"

    def answer(self) -> dict[str, Any]:
        """Return the run as reported to holders."""
        return asdict(self)


@dataclass(slots=True)
class Behaviour:
    """What tests change about the worker.

    :param is_failing: whether every task fails soon after its start
    :param failing_jobs: jobs that fail on this worker
    :param services: load from 0 to 1 of each service with minions on this machine
    :param slow_downs: factor on a service's latency by ``service|job``
    :param use: part of the declared resources that a job's tasks really use
    :param noise: relative standard deviation of reported slow-downs
    """

    is_failing: bool = False
    failing_jobs: list[str] = field(default_factory=list)
    services: dict[str, float] = field(default_factory=dict)
    slow_downs: dict[str, float] = field(default_factory=dict)
    use: dict[str, float] = field(default_factory=dict)
    noise: float = 0.0
    usage_lag_seconds: float = USAGE_LAG_SECONDS


class StandInWorker:
    """State of one worker and its HTTP endpoints.

    :param clock: monotonic seconds; its zero is arbitrary and differs between workers
    """

    def __init__(
        self,
        name: str,
        rack: str,
        failure_domain: str,
        capacity: dict[str, float],
        clock: Callable[[], float] | None = None,
    ) -> None:
        self.name = name
        self.rack = rack
        self.failure_domain = failure_domain
        self.capacity = capacity
        self.behaviour = Behaviour()
        self.runs: dict[str, Run] = {}
        self.highest_tokens: dict[str, int] = {}
        self.journal: list[dict[str, Any]] = []
        self.holder_token = 0
        self.lease_until = float("-inf")
        self._clock = clock
        self._random = random.Random(name)
        self._clock_zero = self._random.uniform(0, 1e6)
        self.boot = secrets.token_hex(4)
        self._advanced_to = 0.0
        self._usage: deque[tuple[float, dict[str, Any]]] = deque()

    def now(self) -> float:
        """Return the worker's own monotonic clock in seconds."""
        if self._clock is not None:
            return self._clock()
        return asyncio.get_running_loop().time() + self._clock_zero

    def journal_time(self) -> float:
        """Return a time that is comparable between the stand-ins of one machine."""
        return asyncio.get_running_loop().time()

    def advance(self) -> None:
        """Apply the passing of time: work done, ends of tasks, end of the lease."""
        now = self.now()
        elapsed = max(0.0, min(now, self.lease_until) - self._advanced_to)
        self._advanced_to = now
        for run in self.runs.values():
            if run.is_running:
                self._advance_run(run, elapsed)
        if now >= self.lease_until:
            for run in self.runs.values():
                self._stop(run, keeps_work=True, reason="lease lapsed")
        self._record_usage(now)

    def _advance_run(self, run: Run, elapsed: float) -> None:
        run.done_seconds += elapsed * run.speed
        is_failing = self.behaviour.is_failing or run.job in self.behaviour.failing_jobs
        if is_failing and run.done_seconds >= FAILURE_DELAY_SECONDS:
            self._end(run, "failed", "exit status 1")
        elif run.done_seconds >= run.run_seconds:
            run.done_seconds = run.run_seconds
            self._end(run, "finished", "")

    def _end(self, run: Run, state: str, reason: str) -> None:
        run.state = state
        run.reason = reason
        entry = self.journal_entry(run)
        if entry is not None:
            entry.update(end=self.journal_time(), state=state, done_seconds=run.done_seconds)

    def _stop(self, run: Run, *, keeps_work: bool, reason: str) -> None:
        if not run.is_running:
            return
        if keeps_work:
            run.checkpoint = f"{run.task}#{run.token}:{run.done_seconds:.3f}"
        self._end(run, "stopped", reason)

    def journal_entry(self, run: Run) -> dict[str, Any] | None:
        """Return the journal's entry of the run, if it was ever started here."""
        for entry in reversed(self.journal):
            if entry["task"] == run.task and entry["token"] == run.token:
                return entry
        return None

    def used(self) -> dict[str, float]:
        """Return the resources reserved by running tasks."""
        running = [run for run in self.runs.values() if run.is_running]
        return {key: sum(run.resources.get(key, 0.0) for run in running) for key in self.capacity}

    def _record_usage(self, now: float) -> None:
        self._usage.append((now, self._measured()))
        limit = now - self.behaviour.usage_lag_seconds
        while len(self._usage) > 1 and self._usage[1][0] <= limit:
            self._usage.popleft()

    def _measured(self) -> dict[str, Any]:
        running = [run for run in self.runs.values() if run.is_running]
        tasks = {}
        for run in running:
            part = self.behaviour.use.get(run.job, 1.0)
            used = {key: value * part for key, value in run.resources.items()}
            tasks[run.task] = {"token": run.token, **used}
        services = {}
        for service, load in self.behaviour.services.items():
            factor = 1.0
            for run in running:
                pair = self.behaviour.slow_downs.get(f"{service}|{run.job}", 1.0)
                factor *= 1.0 + (pair - 1.0) * load * run.speed
            factor *= max(0.1, 1.0 + self._random.gauss(0.0, self.behaviour.noise))
            services[service] = {"load": load, "slow_down": factor}
        return {"tasks": tasks, "services": services}

    def usage(self) -> dict[str, Any]:
        """Return the newest measurement that is at least the lag old."""
        limit = self.now() - self.behaviour.usage_lag_seconds
        if not self._usage or self._usage[0][0] > limit:
            return {"tasks": {}, "services": {}}
        return self._usage[0][1]

    def report(self) -> dict[str, Any]:
        """Return the clock, all runs that are not forgotten and the lagging usage."""
        return {
            "clock": self.now(),
            "boot": self.boot,
            "holder_token": self.holder_token,
            "lease_left": max(0.0, self.lease_until - self.now()),
            "runs": [run.answer() for run in self.runs.values()],
            "usage": self.usage(),
        }

    def renew(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Return status and answer of a lease renewal.

        ``not_after`` (worker clock) bounds the lease, so a delayed renewal can't extend it.
        """
        self.advance()
        token = int(body["holder_token"])
        if token < self.holder_token:
            return 409, {"refused": "holder_token", "highest": self.holder_token}
        if body.get("boot", self.boot) != self.boot:
            return 409, {"refused": "boot", "highest": self.holder_token}
        self.holder_token = token
        if body.get("failure_domain", self.failure_domain) != self.failure_domain:
            return 409, {"refused": "failure_domain", "highest": self.holder_token}
        now = self.now()
        until = min(now + float(body["seconds"]), float(body.get("not_after", float("inf"))))
        if until > now:
            self.lease_until = max(self.lease_until, until)
        return 200, self.report()

    def start(self, task: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Return status and answer of a start; the same token gets the same answer."""
        self.advance()
        token = int(body["token"])
        known = self.runs.get(task)
        if known is not None and known.token == token:
            return self._start_answer(known)
        if token <= self.highest_tokens.get(task, 0):
            return 409, {"refused": "token", "highest": self.highest_tokens[task]}
        self.highest_tokens[task] = token
        if known is not None:
            self._stop(known, keeps_work=True, reason="superseded")
        run = Run(
            task,
            token,
            "running",
            resources={key: float(body["resources"].get(key, 0)) for key in self.capacity},
            run_seconds=float(body["run_seconds"]),
            checkpoint=body.get("checkpoint", ""),
        )
        if run.checkpoint:
            run.done_seconds = float(run.checkpoint.rpartition(":")[2])
        reason = "boot" if body.get("boot", self.boot) != self.boot else ""
        reason = reason or self._refusal(run, float(body["not_after"]))
        if reason:
            run.state, run.reason = "refused", reason
        else:
            self._add_journal_entry(run)
        self.runs[task] = run
        return self._start_answer(run)

    def _start_answer(self, run: Run) -> tuple[int, dict[str, Any]]:
        if run.state in ("refused", "never_started"):
            return 409, {"refused": run.reason or run.state, **run.answer()}
        return 200, run.answer()

    def _refusal(self, run: Run, not_after: float) -> str:
        now = self.now()
        if now > not_after:
            return "expired"
        if now >= self.lease_until:
            return "no_lease"
        used = self.used()
        if any(used[key] + run.resources[key] > self.capacity[key] + 1e-9 for key in used):
            return "capacity"
        return ""

    def _add_journal_entry(self, run: Run) -> None:
        self.journal.append(
            {
                "worker": self.name,
                "task": run.task,
                "token": run.token,
                "start": self.journal_time(),
                "end": None,
                "state": "running",
                "resumed_from": run.checkpoint,
                "resumed_seconds": run.done_seconds,
                "done_seconds": run.done_seconds,
            }
        )

    def stop(self, task: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Return status and answer of a stop, idempotent by token.

        A stop for a token that was never seen makes a delayed start of that token be refused.
        """
        self.advance()
        token = int(body["token"])
        known = self.runs.get(task)
        if known is not None and known.token == token:
            self._stop(known, keeps_work=bool(body.get("checkpoint", True)), reason="stop")
            return 200, known.answer()
        if token <= self.highest_tokens.get(task, 0):
            return 409, {"refused": "token", "highest": self.highest_tokens[task]}
        self.highest_tokens[task] = token
        if known is not None:
            self._stop(known, keeps_work=True, reason="superseded")
        self.runs[task] = Run(task, token, "never_started")
        return 200, self.runs[task].answer()

    def throttle(self, task: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Return status and answer of a change of a task's speed (0 to 1)."""
        self.advance()
        run = self.runs.get(task)
        if run is None or run.token != int(body["token"]):
            return 409, {"refused": "token", "highest": self.highest_tokens.get(task, 0)}
        run.speed = min(1.0, max(0.0, float(body["speed"])))
        return 200, run.answer()

    def forget(self, task: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Return status and answer of dropping an ended run; its token stays known."""
        self.advance()
        run = self.runs.get(task)
        if run is not None and run.token == int(body["token"]) and not run.is_running:
            del self.runs[task]
        return 200, {}


class Endpoints:
    """HTTP handlers of one worker."""

    def __init__(self, worker: StandInWorker) -> None:
        self._worker = worker

    async def capacity(self, request: web.Request) -> web.Response:
        """Answer ``GET /``."""
        worker = self._worker
        answer = {
            "name": worker.name,
            "rack": worker.rack,
            "failure_domain": worker.failure_domain,
            **worker.capacity,
            "clock": worker.now(),
            "boot": worker.boot,
            "holder_token": worker.holder_token,
        }
        return web.json_response(answer)

    async def lease(self, request: web.Request) -> web.Response:
        """Answer ``POST /lease``."""
        status, answer = self._worker.renew(await request.json())
        return web.json_response(answer, status=status)

    async def act(self, request: web.Request) -> web.Response:
        """Answer ``POST /tasks/{task}/{action}``."""
        worker = self._worker
        task, body = request.match_info["task"], await request.json()
        match request.match_info["action"]:
            case "start":
                status, answer = worker.start(task, body)
            case "stop":
                status, answer = worker.stop(task, body)
            case "throttle":
                status, answer = worker.throttle(task, body)
            case "forget":
                status, answer = worker.forget(task, body)
            case _:
                raise web.HTTPNotFound()
        return web.json_response(answer, status=status)

    async def tasks(self, request: web.Request) -> web.Response:
        """Answer ``GET /tasks``."""
        self._worker.advance()
        return web.json_response(self._worker.report())

    async def journal(self, request: web.Request) -> web.Response:
        """Answer ``GET /journal``."""
        self._worker.advance()
        return web.json_response(self._worker.journal)

    async def behaviour(self, request: web.Request) -> web.Response:
        """Answer ``POST /behaviour``, which changes fields of ``Behaviour``."""
        behaviour = self._worker.behaviour
        for key, value in (await request.json()).items():
            if not hasattr(behaviour, key):
                raise web.HTTPBadRequest(text=f"unknown behaviour {key!r}")
            setattr(behaviour, key, value)
        return web.json_response(asdict(behaviour))

    async def ticks(self, application: web.Application) -> AsyncIterator[None]:
        """Advance the worker while the application runs."""
        ticking = asyncio.create_task(self._tick())
        yield
        ticking.cancel()

    async def _tick(self) -> None:
        while True:
            self._worker.advance()
            await asyncio.sleep(TICK_SECONDS)


def create_application(worker: StandInWorker) -> web.Application:
    """Return the HTTP application of a worker."""
    application = web.Application()
    add_faults(application)
    endpoints = Endpoints(worker)
    application.cleanup_ctx.append(endpoints.ticks)
    application.router.add_get("/", endpoints.capacity)
    application.router.add_post("/lease", endpoints.lease)
    application.router.add_get("/tasks", endpoints.tasks)
    application.router.add_post(r"/tasks/{task:.+}/{action}", endpoints.act)
    application.router.add_get("/journal", endpoints.journal)
    application.router.add_post("/behaviour", endpoints.behaviour)
    return application


def worker_of(arguments: argparse.Namespace) -> StandInWorker:
    """Return the worker that the command line describes."""
    capacity = {
        "cpu": arguments.cpu,
        "memory_gb": arguments.memory_gb,
        "accelerators": arguments.accelerators,
    }
    return StandInWorker(arguments.name, arguments.rack, arguments.failure_domain, capacity)


def main() -> None:
    """Run the stand-in from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--name", required=True)
    parser.add_argument("--rack", default="r1")
    parser.add_argument("--failure-domain", default="d")
    parser.add_argument("--cpu", type=float, default=32)
    parser.add_argument("--memory-gb", type=float, default=125)
    parser.add_argument("--accelerators", type=int, default=0)
    arguments = parser.parse_args()
    run_stand_in(create_application(worker_of(arguments)), arguments.host, arguments.port)


if __name__ == "__main__":
    main()
