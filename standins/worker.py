"""Stand-in for a platform worker: runs tasks under a lease and reports usage with a lag."""

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
# A failing task fails this long after its start, which bounds the rate of failing starts.
FAILURE_DELAY_SECONDS = 0.1


@dataclass(slots=True)
class Run:
    """One run of a task on this worker.

    :param state: running, finished, failed, stopped, refused or never_started
    :param done_seconds: work done so far, including the work in the checkpoint that it resumed from
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
        """Return the name of the job, which is the first part of the task id."""
        return self.task.partition("@")[0]

    @property
    def is_running(self) -> bool:
        """Return whether the run occupies resources."""
        return self.state == "running"

    def answer(self) -> dict[str, Any]:
        """Return the run as it is reported to the holder of the worker's lease."""
        return asdict(self)


@dataclass(slots=True)
class Behaviour:
    """Simulation parameters, which tests and ``POST /behaviour`` change.

    :param is_failing: whether every task fails soon after its start
    :param failing_jobs: jobs that fail on this worker
    :param services: load from 0 to 1 of each service with minions on this machine
    :param slow_downs: factor on a service's latency at full load, by ``service|job``
    :param use: fraction of the declared resources that the tasks of a job use, by job
    :param noise: relative standard deviation of reported slow-downs
    :param usage_lag_seconds: minimum age of the reported usage
    """

    is_failing: bool = False
    failing_jobs: list[str] = field(default_factory=list)
    services: dict[str, float] = field(default_factory=dict)
    slow_downs: dict[str, float] = field(default_factory=dict)
    use: dict[str, float] = field(default_factory=dict)
    noise: float = 0.0
    usage_lag_seconds: float = USAGE_LAG_SECONDS


class StandInWorker:
    """Simulated worker with its lease, runs, journal and usage.

    :param capacity: resources by name
    :param clock: returns monotonic seconds, whose zero is arbitrary and differs between workers; by
        default the event loop's clock with an offset
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
        self._clock_offset = self._random.uniform(0, 1e6)
        self.boot = secrets.token_hex(4)
        self._last_advance_at = 0.0
        self._usage: deque[tuple[float, dict[str, Any]]] = deque()

    def now(self) -> float:
        """Return the worker's own monotonic clock in seconds."""
        if self._clock is not None:
            return self._clock()
        return asyncio.get_running_loop().time() + self._clock_offset

    def journal_time(self) -> float:
        """Return a time in seconds that is comparable between the stand-ins of one machine."""
        return asyncio.get_running_loop().time()

    def advance(self) -> None:
        """Advance tasks and lease to the current time, and end those that are done or expired."""
        now = self.now()
        elapsed = max(0.0, min(now, self.lease_until) - self._last_advance_at)
        self._last_advance_at = now
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
        """Return the run's journal entry, or None if the run never started on this worker."""
        for entry in reversed(self.journal):
            if entry["task"] == run.task and entry["token"] == run.token:
                return entry
        return None

    def used(self) -> dict[str, float]:
        """Return the resources reserved by running tasks."""
        running = [run for run in self.runs.values() if run.is_running]
        return {key: sum(run.resources.get(key, 0.0) for run in running) for key in self.capacity}

    def _record_usage(self, now: float) -> None:
        self._usage.append((now, self._measure_usage()))
        newest_reported_at = now - self.behaviour.usage_lag_seconds
        while len(self._usage) > 1 and self._usage[1][0] <= newest_reported_at:
            self._usage.popleft()

    def _measure_usage(self) -> dict[str, Any]:
        running = [run for run in self.runs.values() if run.is_running]
        tasks = {}
        for run in running:
            used_share = self.behaviour.use.get(run.job, 1.0)
            used = {key: value * used_share for key, value in run.resources.items()}
            tasks[run.task] = {"token": run.token, **used}
        services = {}
        for service, load in self.behaviour.services.items():
            factor = 1.0
            for run in running:
                full_load_factor = self.behaviour.slow_downs.get(f"{service}|{run.job}", 1.0)
                factor *= 1.0 + (full_load_factor - 1.0) * load * run.speed
            factor *= max(0.1, 1.0 + self._random.gauss(0.0, self.behaviour.noise))
            services[service] = {"load": load, "slow_down": factor}
        return {"tasks": tasks, "services": services}

    def usage(self) -> dict[str, Any]:
        """Return the newest usage measurement that is at least ``usage_lag_seconds`` old."""
        newest_reported_at = self.now() - self.behaviour.usage_lag_seconds
        if not self._usage or self._usage[0][0] > newest_reported_at:
            return {"tasks": {}, "services": {}}
        return self._usage[0][1]

    def report(self) -> dict[str, Any]:
        """Return the clock, the lease, all runs that are not forgotten, and the delayed usage."""
        return {
            "clock": self.now(),
            "boot": self.boot,
            "holder_token": self.holder_token,
            "lease_left": max(0.0, self.lease_until - self.now()),
            "runs": [run.answer() for run in self.runs.values()],
            "usage": self.usage(),
        }

    def renew(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Renew the lease and return the HTTP status and body.

        ``not_after`` (worker clock) bounds the lease, so that a delayed renewal can't extend it.
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
        expires_at = min(now + float(body["seconds"]), float(body.get("not_after", float("inf"))))
        if expires_at > now:
            self.lease_until = max(self.lease_until, expires_at)
        return 200, self.report()

    def start(self, task: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Start a task and return the HTTP status and body; idempotent by token."""
        self.advance()
        token = int(body["token"])
        previous = self.runs.get(task)
        if previous is not None and previous.token == token:
            return self._start_answer(previous)
        if token <= self.highest_tokens.get(task, 0):
            return 409, {"refused": "token", "highest": self.highest_tokens[task]}
        self.highest_tokens[task] = token
        if previous is not None:
            self._stop(previous, keeps_work=True, reason="superseded")
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
        """Stop a task and return the HTTP status and body; idempotent by token.

        After a stop with a token that was never seen, a delayed start with that token is refused.
        """
        self.advance()
        token = int(body["token"])
        previous = self.runs.get(task)
        if previous is not None and previous.token == token:
            self._stop(previous, keeps_work=bool(body.get("checkpoint", True)), reason="stop")
            return 200, previous.answer()
        if token <= self.highest_tokens.get(task, 0):
            return 409, {"refused": "token", "highest": self.highest_tokens[task]}
        self.highest_tokens[task] = token
        if previous is not None:
            self._stop(previous, keeps_work=True, reason="superseded")
        self.runs[task] = Run(task, token, "never_started")
        return 200, self.runs[task].answer()

    def throttle(self, task: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Set a task's speed (0 to 1) and return the HTTP status and body."""
        self.advance()
        run = self.runs.get(task)
        if run is None or run.token != int(body["token"]):
            return 409, {"refused": "token", "highest": self.highest_tokens.get(task, 0)}
        run.speed = min(1.0, max(0.0, float(body["speed"])))
        return 200, run.answer()

    def forget(self, task: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Delete an ended run, but not its token, and return the HTTP status and body."""
        self.advance()
        run = self.runs.get(task)
        if run is not None and run.token == int(body["token"]) and not run.is_running:
            del self.runs[task]
        return 200, {}


class Endpoints:
    """HTTP handlers of a simulated worker."""

    def __init__(self, worker: StandInWorker) -> None:
        self._worker = worker

    async def capacity(self, request: web.Request) -> web.Response:
        """Handle ``GET /``."""
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
        """Handle ``POST /lease``."""
        status, answer = self._worker.renew(await request.json())
        return web.json_response(answer, status=status)

    async def act_on_task(self, request: web.Request) -> web.Response:
        """Handle ``POST /tasks/{task}/{action}``."""
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
        """Handle ``GET /tasks``."""
        self._worker.advance()
        return web.json_response(self._worker.report())

    async def journal(self, request: web.Request) -> web.Response:
        """Handle ``GET /journal``."""
        self._worker.advance()
        return web.json_response(self._worker.journal)

    async def behaviour(self, request: web.Request) -> web.Response:
        """Handle ``POST /behaviour``, which sets fields of ``Behaviour``."""
        behaviour = self._worker.behaviour
        for key, value in (await request.json()).items():
            if not hasattr(behaviour, key):
                raise web.HTTPBadRequest(text=f"unknown behaviour {key!r}")
            setattr(behaviour, key, value)
        return web.json_response(asdict(behaviour))

    async def advance_while_running(self, application: web.Application) -> AsyncIterator[None]:
        """Advance the worker periodically while the application runs."""
        advance_task = asyncio.create_task(self._advance_periodically())
        yield
        advance_task.cancel()

    async def _advance_periodically(self) -> None:
        while True:
            self._worker.advance()
            await asyncio.sleep(TICK_SECONDS)


def create_application(worker: StandInWorker) -> web.Application:
    """Return the HTTP application of a worker, with fault injection."""
    application = web.Application()
    add_faults(application)
    endpoints = Endpoints(worker)
    application.cleanup_ctx.append(endpoints.advance_while_running)
    application.router.add_get("/", endpoints.capacity)
    application.router.add_post("/lease", endpoints.lease)
    application.router.add_get("/tasks", endpoints.tasks)
    application.router.add_post(r"/tasks/{task:.+}/{action}", endpoints.act_on_task)
    application.router.add_get("/journal", endpoints.journal)
    application.router.add_post("/behaviour", endpoints.behaviour)
    return application


def worker_from_arguments(arguments: argparse.Namespace) -> StandInWorker:
    """Return the worker that the command-line arguments describe."""
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
    run_stand_in(
        create_application(worker_from_arguments(arguments)), arguments.host, arguments.port
    )


if __name__ == "__main__":
    main()
