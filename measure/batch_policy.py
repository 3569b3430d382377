"""Placement policy against first fit and against strict separation, for both members.

Run with ``python -m measure.batch_policy [seed]``. Each line: name, target, baseline in the same
run, measured, met or short.

Stated beforehand: half of the workers host two minions of the service each and leave three
quarters of their processors to batch tasks; the other half host none. Batch work always waits. A
task's effect on the service is stated for each job; an evicted task resumes from its checkpoint
after 20 s. Strict separation runs batch tasks only on workers without minions. First fit takes the
first worker with room, knows nothing of interference, and evicts the newest task of a worker whose
reported slow-down is above 1.10, at most one in 10 s. Reports come every 5 s, 3 s late, with 5%
noise.
"""

from __future__ import annotations

import math
import random
import sys
from dataclasses import dataclass, field
from typing import Protocol

from dotterelhill.batch.events import Append, StopWanted
from dotterelhill.batch.interface import Assignment, PendingTask, WorkerFacts
from dotterelhill.batch.placement import MeasuredWorker, Placement, job_of
from dotterelhill.batch.throttling import HIGH_SLOW_DOWN, Throttling
from dotterelhill.ledger import Assign, StopOutcome
from dotterelhill.manifest import FailureDomain, Job, Limits, Manifest, Member, Priority, Resources

SECONDS = 3600
REPORT_SECONDS = 5
LAG_SECONDS = 3
NOISE = 0.05
RESTART_SECONDS = 20.0
URGENT_EVERY_SECONDS = 240
REQUESTS_PER_SECOND = 4


@dataclass(frozen=True, slots=True)
class Deployment:
    """A member's sizes and the stated slow-down by each job's task at full service load."""

    member: str
    service: str
    workers: int
    cpu: float
    slow_downs: dict[str, float]


BONSAI = Deployment(
    "Associacao Gaucha de Bancadas de Bonsai",
    "bancada",
    30,
    32.0,
    {"labels": 1.0, "scans": 1.005, "rankings": 1.02, "prints": 1.08, "videos": 1.25},
)
LICENS = Deployment(
    "Gadespil Licens",
    "renewal-desk",
    25,
    64.0,
    {"sync-a": 1.0, "sync-b": 1.005, "sync-c": 1.01, "sync-d": 1.05, "rebuild": 1.3},
)


@dataclass(slots=True)
class Running:
    """One task on a fake worker."""

    task: str
    worker: str
    cpu: float
    left_seconds: float
    is_urgent: bool
    speed: float = 1.0
    idle_until: float = 0.0


@dataclass(slots=True)
class Totals:
    """What a policy reached."""

    done_cpu_seconds: float = 0.0
    evictions: int = 0
    latencies: list[float] = field(default_factory=list)
    urgent_waits: list[float] = field(default_factory=list)

    def percentile(self, part: float) -> float:
        """Return a quantile of the service's latencies."""
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, math.ceil(part * len(ordered)) - 1)]


class FakeWorkers:
    """Answers with stated slow-downs for what runs beside a service."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.names = [f"w{number}" for number in range(deployment.workers)]
        self.hosts = set(self.names[::2])
        self.running: dict[str, Running] = {}
        self.on_worker: dict[str, dict[str, Running]] = {name: {} for name in self.names}
        self.totals = Totals()
        self._history: dict[str, list[MeasuredWorker]] = {name: [] for name in self.hosts}

    def capacity(self, worker: str) -> float:
        """Return the processors for batch tasks."""
        return self.deployment.cpu * (0.75 if worker in self.hosts else 1.0)

    def free(self, worker: str) -> float:
        """Return the processors that no task uses."""
        return self.capacity(worker) - sum(run.cpu for run in self.on_worker[worker].values())

    def load(self, worker: str, now: float) -> float:
        """Return the service's load, which shifts over an hour and differs between workers."""
        phase = self.names.index(worker) / len(self.names)
        return 0.45 + 0.3 * math.sin(2 * math.pi * (now / 3600.0 + phase))

    def slow_down(self, worker: str, now: float) -> float:
        """Return the true slow-down of the service on a worker."""
        load = self.load(worker, now)
        total = sum(
            run.speed * math.log(self.deployment.slow_downs[job_of(run.task)])
            for run in self.on_worker[worker].values()
        )
        return math.exp(load * total)

    def start(self, run: Running) -> None:
        """Run a task."""
        if run.cpu > self.free(run.worker) + 1e-6:
            raise RuntimeError(f"{run.worker} has no room for {run.task}")
        self.running[run.task] = run
        self.on_worker[run.worker][run.task] = run

    def stop(self, task: str) -> Running:
        """Return the task after stopping it with a checkpoint."""
        run = self.running.pop(task)
        del self.on_worker[run.worker][task]
        return run

    def advance(self, now: float) -> list[Running]:
        """Return the tasks that finish in the second before ``now``."""
        finished = []
        for run in self.running.values():
            if now <= run.idle_until:
                continue
            worked = min(run.speed, run.left_seconds)
            run.left_seconds -= worked
            self.totals.done_cpu_seconds += worked * run.cpu
            if run.left_seconds <= 1e-9:
                finished.append(run)
        for run in finished:
            self.stop(run.task)
        self._sample(now)
        return finished

    def _sample(self, now: float) -> None:
        for worker in sorted(self.hosts):
            factor = self.slow_down(worker, now)
            for _ in range(REQUESTS_PER_SECOND):
                self.totals.latencies.append(factor * self.rng.lognormvariate(0.0, 0.5))
            jobs: dict[str, float] = {}
            for run in self.on_worker[worker].values():
                jobs[job_of(run.task)] = jobs.get(job_of(run.task), 0.0) + run.speed
            service = self.deployment.service
            seen = factor * max(0.1, 1.0 + self.rng.gauss(0.0, NOISE))
            measured = MeasuredWorker(
                worker, {service: self.load(worker, now)}, {service: seen}, jobs
            )
            self._history[worker] = [*self._history[worker][-LAG_SECONDS:], measured]

    def report(self, worker: str) -> MeasuredWorker:
        """Return the lagging measurement of a worker that hosts the service."""
        return self._history[worker][0]


@dataclass(frozen=True, slots=True)
class Arrival:
    """A task that waits."""

    task: str
    cpu: float
    left_seconds: float
    is_urgent: bool
    arrived_at: float


class Policy(Protocol):
    """What the driver asks of a policy."""

    def add(self, arrival: Arrival, now: float) -> None:
        """Queue a task."""
        ...

    def finished(self, run: Running, now: float) -> None:
        """Note the end of a task."""
        ...

    def step(self, now: float) -> None:
        """Start and stop tasks."""
        ...


class SimplePolicy:
    """First fit over the allowed workers, with reactive eviction."""

    def __init__(self, fake: FakeWorkers, allowed: list[str]) -> None:
        self._fake = fake
        self._allowed = allowed
        self._waiting: list[Arrival] = []
        self._evicted_at: dict[str, float] = {}

    def add(self, arrival: Arrival, now: float) -> None:
        """Queue a task, urgent ones first."""
        position = 0
        if not arrival.is_urgent:
            position = len(self._waiting)
        self._waiting.insert(position, arrival)

    def finished(self, run: Running, now: float) -> None:
        """Note the end of a task; first fit keeps no state of it."""

    def step(self, now: float) -> None:
        """Start what fits, preempt for urgent work and react to slow services."""
        free = {worker: self._fake.free(worker) for worker in self._allowed}
        kept: list[Arrival] = []
        for arrival in self._waiting:
            worker = next((name for name in self._allowed if free[name] >= arrival.cpu), None)
            if worker is None and arrival.is_urgent:
                worker = self._preempted(arrival, free, kept, now)
            if worker is None:
                kept.append(arrival)
                continue
            free[worker] -= arrival.cpu
            start(self._fake, arrival, worker, now)
        self._waiting = kept
        if now % REPORT_SECONDS == 0:
            self._react(now)

    def _preempted(
        self, arrival: Arrival, free: dict[str, float], kept: list[Arrival], now: float
    ) -> str | None:
        for worker in self._allowed:
            runs = [run for run in self._fake.on_worker[worker].values() if not run.is_urgent]
            if free[worker] + sum(run.cpu for run in runs) < arrival.cpu:
                continue
            while free[worker] < arrival.cpu:
                run = runs.pop()
                free[worker] += run.cpu
                kept.append(self._evicted(run, now))
            return worker
        return None

    def _evicted(self, run: Running, now: float) -> Arrival:
        self._fake.stop(run.task)
        self._fake.totals.evictions += 1
        return Arrival(run.task, run.cpu, run.left_seconds, run.is_urgent, now)

    def _react(self, now: float) -> None:
        for worker in self._allowed:
            if worker not in self._fake.hosts or not self._fake.on_worker[worker]:
                continue
            slow_down = self._fake.report(worker).slow_downs[self._fake.deployment.service]
            if slow_down <= HIGH_SLOW_DOWN or now - self._evicted_at.get(worker, -99.0) < 10:
                continue
            self._evicted_at[worker] = now
            newest = list(self._fake.on_worker[worker].values())[-1]
            self._waiting.append(self._evicted(newest, now))


class ShippedPolicy:
    """The scheduler's and holder's decision code of the shipped package."""

    def __init__(self, fake: FakeWorkers, manifest: Manifest) -> None:
        self._fake = fake
        self._placement = Placement("measure/00")
        self._placement.set_manifest(manifest, manifest, 0.0)
        self._throttling = Throttling(self._placement.interference)
        self._waiting: dict[str, Arrival] = {}
        self._assignments: dict[str, Assignment] = {}
        self._token = 0
        for number, name in enumerate(fake.names):
            capacity = Resources(cpu=fake.capacity(name), memory_gb=100.0)
            facts = WorkerFacts(name, f"r{number // 8}", "d", capacity)
            self._placement.set_worker(facts, 0.0)

    def add(self, arrival: Arrival, now: float) -> None:
        """Queue a task."""
        self._waiting[arrival.task] = arrival
        self._placement.add_pending(PendingTask(arrival.task, job_of(arrival.task)), now)

    def finished(self, run: Running, now: float) -> None:
        """Note the end of a task."""
        token = self._assignments.pop(run.task).token
        self._placement.end_running(run.task, token, StopOutcome.FINISHED, "", now)

    def step(self, now: float) -> None:
        """Take reports, then start and stop tasks."""
        if now % REPORT_SECONDS == 0:
            self._take_reports(now)
        for action in self._placement.tick(now, now):
            match action:
                case Append(record=Assign() as record):
                    self._start(record, now)
                case Append():
                    continue
                case evict:
                    self._evict(evict.task, now)

    def _take_reports(self, now: float) -> None:
        for worker in sorted(self._fake.hosts):
            report = self._fake.report(worker)
            self._placement.measure(report, now)
            running = {task: self._assignments[task] for task in self._fake.on_worker[worker]}
            for action in self._throttling.decide(report, running, now):
                if isinstance(action, StopWanted):
                    self._evict(action.task, now)
                    continue
                self._fake.running[action.task].speed = action.speed

    def _start(self, record: Assign, now: float) -> None:
        self._token += 1
        arrival = self._waiting.pop(record.task)
        amount = Resources(cpu=arrival.cpu)
        assignment = Assignment(
            record.task,
            record.worker,
            self._token,
            record.attempt,
            "",
            amount,
            600.0,
            is_urgent=arrival.is_urgent,
        )
        self._assignments[record.task] = assignment
        self._placement.add_running(assignment, now)
        start(self._fake, arrival, record.worker, now)

    def _evict(self, task: str, now: float) -> None:
        run = self._fake.stop(task)
        self._fake.totals.evictions += 1
        token = self._assignments.pop(task).token
        self._placement.end_running(task, token, StopOutcome.EVICTED, "", now)
        self.add(Arrival(task, run.cpu, run.left_seconds, run.is_urgent, now), now)


def start(fake: FakeWorkers, arrival: Arrival, worker: str, now: float) -> None:
    """Start a waiting task on a fake worker."""
    if arrival.is_urgent:
        fake.totals.urgent_waits.append(now - arrival.arrived_at)
    fake.start(
        Running(
            arrival.task,
            worker,
            arrival.cpu,
            arrival.left_seconds,
            arrival.is_urgent,
            idle_until=now + RESTART_SECONDS,
        )
    )


def jobs_of(deployment: Deployment) -> dict[str, Job]:
    """Return one job of each kind, and one urgent job that does not disturb the service."""
    jobs = {}
    for number, name in enumerate(deployment.slow_downs):
        cpu = (2.0, 4.0)[number % 2]
        jobs[name] = Job(member="m", team="t", tasks=10_000, cpu=cpu)
    jobs["urgent"] = Job(member="m", team="t", tasks=1000, cpu=8.0, priority=Priority.URGENT)
    return jobs


def manifest_of(jobs: dict[str, Job]) -> Manifest:
    """Return a manifest with these jobs and wide quotas."""
    limits = Limits(requests_per_second=1, in_flight=1, cpu=1e5, memory_gb=1e5)
    teams = {"t": Resources(cpu=1e5, memory_gb=1e5)}
    return Manifest(
        members={"m": Member(limits=limits, teams=teams)},
        limits=limits,
        failure_domains={"d": FailureDomain(region="r")},
        jobs=jobs,
    )


def arrivals_of(deployment: Deployment, jobs: dict[str, Job], seed: int) -> list[list[Arrival]]:
    """Return the tasks that arrive in each second: waves of one kind at a time, and a backlog."""
    rng = random.Random(seed)
    kinds = list(deployment.slow_downs)
    seconds: list[list[Arrival]] = [[] for _ in range(SECONDS)]
    total = deployment.workers * deployment.cpu
    for wave in range(0, SECONDS, 300):
        kind = kinds[(wave // 300) % len(kinds)]
        for name in kinds:
            part = 0.9 if name == kind else 0.25
            work = part * total * 300
            while work > 0:
                left = rng.uniform(60.0, 600.0)
                index = len(seconds[wave])
                cpu = jobs[name].cpu
                task = f"{name}@{wave}/{index}"
                seconds[wave].append(Arrival(task, cpu, left, False, wave))
                work -= cpu * left
        rng.shuffle(seconds[wave])
    for second in range(URGENT_EVERY_SECONDS, SECONDS, URGENT_EVERY_SECONDS):
        for index in range(4):
            task = f"urgent@{second}/{index}"
            seconds[second].append(Arrival(task, 8.0, 60.0, True, second))
    return seconds


def run(fake: FakeWorkers, policy: Policy, arrivals: list[list[Arrival]]) -> Totals:
    """Return what a policy reaches in an hour."""
    for second in range(SECONDS):
        now = float(second)
        for ended in fake.advance(now):
            policy.finished(ended, now)
        for arrival in arrivals[second]:
            policy.add(arrival, now)
        policy.step(now)
    return fake.totals


def report(name: str, target: str, baseline: str, measured: str, *, is_met: bool) -> None:
    """Print one figure."""
    print(f"{name}, {target}, {baseline}, {measured}, {'met' if is_met else 'short'}", flush=True)


def compare(deployment: Deployment, seed: int) -> None:
    """Print the figures of one member."""
    deployment.slow_downs.setdefault("urgent", 1.0)
    kinds = Deployment(
        deployment.member,
        deployment.service,
        deployment.workers,
        deployment.cpu,
        {name: value for name, value in deployment.slow_downs.items() if name != "urgent"},
    )
    jobs = jobs_of(kinds)
    arrivals = arrivals_of(kinds, jobs, seed)
    fakes = [FakeWorkers(deployment, seed) for _ in range(3)]
    separate = [name for name in fakes[0].names if name not in fakes[0].hosts]
    strict = run(fakes[0], SimplePolicy(fakes[0], separate), arrivals)
    first_fit = run(fakes[1], SimplePolicy(fakes[1], fakes[1].names), arrivals)
    shipped = run(fakes[2], ShippedPolicy(fakes[2], manifest_of(jobs)), arrivals)
    base = strict.percentile(0.99)
    tail, other_tail = shipped.percentile(0.99) / base, first_fit.percentile(0.99) / base
    report(
        f"{deployment.member}: p99 of {deployment.service} against strict separation",
        "at most 1.10 times",
        f"first fit {other_tail:.3f} times",
        f"{tail:.3f} times",
        is_met=tail <= 1.10,
    )
    gain = shipped.done_cpu_seconds / strict.done_cpu_seconds
    other_gain = first_fit.done_cpu_seconds / strict.done_cpu_seconds
    report(
        f"{deployment.member}: batch throughput against strict separation",
        "at least 1.5 times",
        f"first fit {other_gain:.2f} times",
        f"{gain:.2f} times",
        is_met=gain >= 1.5,
    )
    report(
        f"{deployment.member}: evictions in an hour",
        f"at most {first_fit.evictions / 4:g} (a quarter of first fit)",
        f"first fit {first_fit.evictions}, strict separation {strict.evictions}",
        str(shipped.evictions),
        is_met=shipped.evictions <= first_fit.evictions / 4,
    )
    longest = max(shipped.urgent_waits, default=float("inf"))
    report(
        f"{deployment.member}: longest wait of an urgent task for its decision",
        "at most 7 s",
        f"first fit {max(first_fit.urgent_waits):g} s",
        f"{longest:g} s",
        is_met=longest <= 7.0,
    )


def main() -> None:
    """Print the figures of both members."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    for deployment in (BONSAI, LICENS):
        compare(deployment, seed)


if __name__ == "__main__":
    main()
