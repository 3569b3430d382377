"""Placement policy compared with first fit and with strict separation, for both members.

Run it with ``python -m measure.batch_policy``. It prints one line for each figure: name, target,
baseline in the same run, measured, met or short.

Assumptions of the simulation: half of the workers host two minions of the service each and leave
three quarters of their processors to batch tasks; the other half host none. There is always batch
work in the queue. Each job has a fixed effect on the service's latency. An evicted task resumes
from its checkpoint after 20 s. Strict separation runs batch tasks only on workers without minions.
First fit takes the first worker with enough free processors, ignores interference, and evicts the
newest task of a worker whose reported slow-down is above 1.10, at most one task in 10 s for each
worker. Workers report every 5 s, 3 s late, with 5% noise.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Protocol

from dotterelhill.batch.events import Append, StopWanted
from dotterelhill.batch.interface import Assignment, PendingTask, WorkerFacts
from dotterelhill.batch.placement import MeasuredWorker, Placement, job_of
from dotterelhill.batch.throttling import HIGH_SLOW_DOWN, Throttling
from dotterelhill.ledger import Assign, StopOutcome
from dotterelhill.manifest import FailureDomain, Job, Limits, Manifest, Member, Priority, Resources
from measure.report import Figure, figure_with_target, print_figures

SEEDS = (1, 2, 3)
SECONDS = 3600
REPORT_SECONDS = 5
LAG_SECONDS = 3
NOISE = 0.05
RESTART_SECONDS = 20.0
URGENT_INTERVAL_SECONDS = 240
REQUESTS_PER_SECOND = 4


@dataclass(frozen=True, slots=True)
class Deployment:
    """Workers and jobs of one member.

    :param cpu: processors of each worker
    :param slow_downs: factor by which a task of each job slows down the service at full load
    """

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
class RunningTask:
    """Task on a simulated worker."""

    task: str
    worker: str
    cpu: float
    remaining_seconds: float
    is_urgent: bool
    speed: float = 1.0
    idle_until: float = 0.0


@dataclass(slots=True)
class Totals:
    """Results of one policy; ``latencies`` are relative to the median without interference."""

    done_cpu_seconds: float = 0.0
    evictions: int = 0
    latencies: list[float] = field(default_factory=list)
    urgent_waits: list[float] = field(default_factory=list)

    def latency_quantile(self, quantile: float) -> float:
        """Return a quantile of the service's latencies.

        :param quantile: 0 to 1
        """
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, math.ceil(quantile * len(ordered)) - 1)]


class FakeWorkers:
    """Simulated workers, on which each batch task slows down the service by its job's factor."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.names = [f"w{number}" for number in range(deployment.workers)]
        self.service_hosts = set(self.names[::2])
        self.running: dict[str, RunningTask] = {}
        self.runs_by_worker: dict[str, dict[str, RunningTask]] = {name: {} for name in self.names}
        self.totals = Totals()
        self._history: dict[str, list[MeasuredWorker]] = {name: [] for name in self.service_hosts}

    def capacity(self, worker: str) -> float:
        """Return the processors of a worker that batch tasks may use."""
        return self.deployment.cpu * (0.75 if worker in self.service_hosts else 1.0)

    def free_cpu(self, worker: str) -> float:
        """Return the processors of a worker that are left for further batch tasks."""
        return self.capacity(worker) - sum(run.cpu for run in self.runs_by_worker[worker].values())

    def load(self, worker: str, now: float) -> float:
        """Return the service's load on a worker, which varies over an hour and between workers."""
        phase = self.names.index(worker) / len(self.names)
        return 0.45 + 0.3 * math.sin(2 * math.pi * (now / 3600.0 + phase))

    def slow_down(self, worker: str, now: float) -> float:
        """Return the slow-down of the service on a worker, without noise."""
        load = self.load(worker, now)
        total = sum(
            run.speed * math.log(self.deployment.slow_downs[job_of(run.task)])
            for run in self.runs_by_worker[worker].values()
        )
        return math.exp(load * total)

    def start(self, run: RunningTask) -> None:
        """Start a task.

        :raises RuntimeError: if the worker has too few free processors
        """
        if run.cpu > self.free_cpu(run.worker) + 1e-6:
            raise RuntimeError(f"worker {run.worker} has too few free processors for {run.task}")
        self.running[run.task] = run
        self.runs_by_worker[run.worker][run.task] = run

    def stop(self, task: str) -> RunningTask:
        """Stop a task with a checkpoint and return it."""
        run = self.running.pop(task)
        del self.runs_by_worker[run.worker][task]
        return run

    def advance(self, now: float) -> list[RunningTask]:
        """Run the tasks for the second before ``now`` and return those that finish in it."""
        finished = []
        for run in self.running.values():
            if now <= run.idle_until:
                continue
            worked = min(run.speed, run.remaining_seconds)
            run.remaining_seconds -= worked
            self.totals.done_cpu_seconds += worked * run.cpu
            if run.remaining_seconds <= 1e-9:
                finished.append(run)
        for run in finished:
            self.stop(run.task)
        self._record_sample(now)
        return finished

    def _record_sample(self, now: float) -> None:
        for worker in sorted(self.service_hosts):
            factor = self.slow_down(worker, now)
            for _ in range(REQUESTS_PER_SECOND):
                self.totals.latencies.append(factor * self.rng.lognormvariate(0.0, 0.5))
            jobs: dict[str, float] = {}
            for run in self.runs_by_worker[worker].values():
                jobs[job_of(run.task)] = jobs.get(job_of(run.task), 0.0) + run.speed
            service = self.deployment.service
            reported = factor * max(0.1, 1.0 + self.rng.gauss(0.0, NOISE))
            measured = MeasuredWorker(
                worker, {service: self.load(worker, now)}, {service: reported}, jobs
            )
            self._history[worker] = [*self._history[worker][-LAG_SECONDS:], measured]

    def report(self, worker: str) -> MeasuredWorker:
        """Return the delayed measurement of a worker that hosts the service."""
        return self._history[worker][0]


@dataclass(frozen=True, slots=True)
class Arrival:
    """Task that waits to be started, for the first time or after an eviction."""

    task: str
    cpu: float
    remaining_seconds: float
    is_urgent: bool
    arrived_at: float


class Policy(Protocol):
    """Interface of a policy to the simulation."""

    def enqueue(self, arrival: Arrival, now: float) -> None:
        """Queue a task."""
        ...

    def handle_finished(self, run: RunningTask, now: float) -> None:
        """Handle the end of a task."""
        ...

    def step(self, now: float) -> None:
        """Start and stop tasks."""
        ...


class FirstFitPolicy:
    """First fit over the allowed workers, with eviction from workers with a slow service."""

    def __init__(self, fake: FakeWorkers, allowed: list[str]) -> None:
        self._fake = fake
        self._allowed = allowed
        self._waiting: list[Arrival] = []
        self._last_eviction_at: dict[str, float] = {}

    def enqueue(self, arrival: Arrival, now: float) -> None:
        """Queue a task, urgent ones first."""
        position = 0
        if not arrival.is_urgent:
            position = len(self._waiting)
        self._waiting.insert(position, arrival)

    def handle_finished(self, run: RunningTask, now: float) -> None:
        """Do nothing, since first fit keeps no state of running tasks."""

    def step(self, now: float) -> None:
        """Start the tasks that fit, preempt for urgent ones and evict from slow workers."""
        free_cpu = {worker: self._fake.free_cpu(worker) for worker in self._allowed}
        still_waiting: list[Arrival] = []
        for arrival in self._waiting:
            worker = next((name for name in self._allowed if free_cpu[name] >= arrival.cpu), None)
            if worker is None and arrival.is_urgent:
                worker = self._preempt(arrival, free_cpu, still_waiting, now)
            if worker is None:
                still_waiting.append(arrival)
                continue
            free_cpu[worker] -= arrival.cpu
            start_task(self._fake, arrival, worker, now)
        self._waiting = still_waiting
        if now % REPORT_SECONDS == 0:
            self._evict_from_slow_workers(now)

    def _preempt(
        self, arrival: Arrival, free_cpu: dict[str, float], still_waiting: list[Arrival], now: float
    ) -> str | None:
        for worker in self._allowed:
            runs = [run for run in self._fake.runs_by_worker[worker].values() if not run.is_urgent]
            if free_cpu[worker] + sum(run.cpu for run in runs) < arrival.cpu:
                continue
            while free_cpu[worker] < arrival.cpu:
                run = runs.pop()
                free_cpu[worker] += run.cpu
                still_waiting.append(self._evict_to_queue(run, now))
            return worker
        return None

    def _evict_to_queue(self, run: RunningTask, now: float) -> Arrival:
        self._fake.stop(run.task)
        self._fake.totals.evictions += 1
        return Arrival(run.task, run.cpu, run.remaining_seconds, run.is_urgent, now)

    def _evict_from_slow_workers(self, now: float) -> None:
        for worker in self._allowed:
            if worker not in self._fake.service_hosts or not self._fake.runs_by_worker[worker]:
                continue
            slow_down = self._fake.report(worker).slow_downs[self._fake.deployment.service]
            if slow_down <= HIGH_SLOW_DOWN or now - self._last_eviction_at.get(worker, -99.0) < 10:
                continue
            self._last_eviction_at[worker] = now
            newest = list(self._fake.runs_by_worker[worker].values())[-1]
            self._waiting.append(self._evict_to_queue(newest, now))


class ShippedPolicy:
    """Decision code of the shipped scheduler and holder."""

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

    def enqueue(self, arrival: Arrival, now: float) -> None:
        """Queue a task."""
        self._waiting[arrival.task] = arrival
        self._placement.add_pending(PendingTask(arrival.task, job_of(arrival.task)), now)

    def handle_finished(self, run: RunningTask, now: float) -> None:
        """Remove a finished task from the placement."""
        token = self._assignments.pop(run.task).token
        self._placement.end_running(run.task, token, StopOutcome.FINISHED, "", now)

    def step(self, now: float) -> None:
        """Apply the workers' reports, then start and stop tasks."""
        if now % REPORT_SECONDS == 0:
            self._apply_reports(now)
        for action in self._placement.tick(now, now):
            match action:
                case Append(record=Assign() as record):
                    self._start(record, now)
                case Append():
                    continue
                case eviction:
                    self._evict(eviction.task, now)

    def _apply_reports(self, now: float) -> None:
        for worker in sorted(self._fake.service_hosts):
            report = self._fake.report(worker)
            self._placement.measure(report, now)
            running = {task: self._assignments[task] for task in self._fake.runs_by_worker[worker]}
            for action in self._throttling.decide(report, running, now):
                if isinstance(action, StopWanted):
                    self._evict(action.task, now)
                    continue
                self._fake.running[action.task].speed = action.speed

    def _start(self, record: Assign, now: float) -> None:
        self._token += 1
        arrival = self._waiting.pop(record.task)
        resources = Resources(cpu=arrival.cpu)
        assignment = Assignment(
            record.task,
            record.worker,
            self._token,
            record.attempt,
            "",
            resources,
            600.0,
            is_urgent=arrival.is_urgent,
        )
        self._assignments[record.task] = assignment
        self._placement.add_running(assignment, now)
        start_task(self._fake, arrival, record.worker, now)

    def _evict(self, task: str, now: float) -> None:
        run = self._fake.stop(task)
        self._fake.totals.evictions += 1
        token = self._assignments.pop(task).token
        self._placement.end_running(task, token, StopOutcome.EVICTED, "", now)
        self.enqueue(Arrival(task, run.cpu, run.remaining_seconds, run.is_urgent, now), now)


def start_task(fake: FakeWorkers, arrival: Arrival, worker: str, now: float) -> None:
    """Start a waiting task on a simulated worker."""
    if arrival.is_urgent:
        fake.totals.urgent_waits.append(now - arrival.arrived_at)
    fake.start(
        RunningTask(
            arrival.task,
            worker,
            arrival.cpu,
            arrival.remaining_seconds,
            arrival.is_urgent,
            idle_until=now + RESTART_SECONDS,
        )
    )


def build_jobs(deployment: Deployment) -> dict[str, Job]:
    """Return the jobs of a deployment, and an urgent job that does not slow down the service."""
    jobs = {}
    for number, name in enumerate(deployment.slow_downs):
        cpu = (2.0, 4.0)[number % 2]
        jobs[name] = Job(member="m", team="t", tasks=10_000, cpu=cpu)
    jobs["urgent"] = Job(member="m", team="t", tasks=1000, cpu=8.0, priority=Priority.URGENT)
    return jobs


def build_manifest(jobs: dict[str, Job]) -> Manifest:
    """Return a manifest with these jobs and quotas that never limit them."""
    limits = Limits(requests_per_second=1, in_flight=1, cpu=1e5, memory_gb=1e5)
    teams = {"t": Resources(cpu=1e5, memory_gb=1e5)}
    return Manifest(
        members={"m": Member(limits=limits, teams=teams)},
        limits=limits,
        failure_domains={"d": FailureDomain(region="r")},
        jobs=jobs,
    )


def generate_arrivals(
    deployment: Deployment, jobs: dict[str, Job], seed: int
) -> list[list[Arrival]]:
    """Return the tasks that arrive in each second.

    Tasks of all jobs arrive in waves, each with most work from a single job. Together they are more
    than the workers can run, which leaves a backlog. Urgent tasks arrive in groups of 4 in between.
    """
    rng = random.Random(seed)
    kinds = list(deployment.slow_downs)
    seconds: list[list[Arrival]] = [[] for _ in range(SECONDS)]
    total = deployment.workers * deployment.cpu
    for wave in range(0, SECONDS, 300):
        kind = kinds[(wave // 300) % len(kinds)]
        for name in kinds:
            load_share = 0.9 if name == kind else 0.25
            work = load_share * total * 300
            while work > 0:
                run_seconds = rng.uniform(60.0, 600.0)
                index = len(seconds[wave])
                cpu = jobs[name].cpu
                task = f"{name}@{wave}/{index}"
                seconds[wave].append(Arrival(task, cpu, run_seconds, False, wave))
                work -= cpu * run_seconds
        rng.shuffle(seconds[wave])
    for second in range(URGENT_INTERVAL_SECONDS, SECONDS, URGENT_INTERVAL_SECONDS):
        for index in range(4):
            task = f"urgent@{second}/{index}"
            seconds[second].append(Arrival(task, 8.0, 60.0, True, second))
    return seconds


def simulate(fake: FakeWorkers, policy: Policy, arrivals: list[list[Arrival]]) -> Totals:
    """Simulate an hour with a policy and return its results."""
    for second in range(SECONDS):
        now = float(second)
        for ended in fake.advance(now):
            policy.handle_finished(ended, now)
        for arrival in arrivals[second]:
            policy.enqueue(arrival, now)
        policy.step(now)
    return fake.totals


def comparison_figures(deployment: Deployment, seed: int) -> Iterator[Figure]:
    """Yield the figures of one member with one seed."""
    deployment.slow_downs.setdefault("urgent", 1.0)
    kinds = Deployment(
        deployment.member,
        deployment.service,
        deployment.workers,
        deployment.cpu,
        {name: value for name, value in deployment.slow_downs.items() if name != "urgent"},
    )
    jobs = build_jobs(kinds)
    arrivals = generate_arrivals(kinds, jobs, seed)
    fakes = [FakeWorkers(deployment, seed) for _ in range(3)]
    workers_without_minions = [
        name for name in fakes[0].names if name not in fakes[0].service_hosts
    ]
    strict = simulate(fakes[0], FirstFitPolicy(fakes[0], workers_without_minions), arrivals)
    first_fit = simulate(fakes[1], FirstFitPolicy(fakes[1], fakes[1].names), arrivals)
    shipped = simulate(fakes[2], ShippedPolicy(fakes[2], build_manifest(jobs)), arrivals)
    strict_p99 = strict.latency_quantile(0.99)
    p99_ratio, first_fit_p99_ratio = (
        shipped.latency_quantile(0.99) / strict_p99,
        first_fit.latency_quantile(0.99) / strict_p99,
    )
    yield figure_with_target(
        f"seed {seed}, {deployment.member}: p99 of {deployment.service} against strict separation",
        "at most 1.10 times",
        f"first fit {first_fit_p99_ratio:.3f} times",
        f"{p99_ratio:.3f} times",
        is_met=p99_ratio <= 1.10,
    )
    throughput_ratio = shipped.done_cpu_seconds / strict.done_cpu_seconds
    first_fit_throughput_ratio = first_fit.done_cpu_seconds / strict.done_cpu_seconds
    yield figure_with_target(
        f"seed {seed}, {deployment.member}: batch throughput against strict separation",
        "at least 1.5 times",
        f"first fit {first_fit_throughput_ratio:.2f} times",
        f"{throughput_ratio:.2f} times",
        is_met=throughput_ratio >= 1.5,
    )
    yield figure_with_target(
        f"seed {seed}, {deployment.member}: evictions in an hour",
        f"at most {first_fit.evictions / 4:g} (a quarter of first fit)",
        f"first fit {first_fit.evictions}, strict separation {strict.evictions}",
        str(shipped.evictions),
        is_met=shipped.evictions <= first_fit.evictions / 4,
    )
    longest = max(shipped.urgent_waits, default=float("inf"))
    yield figure_with_target(
        f"seed {seed}, {deployment.member}: longest wait of an urgent task for its decision",
        "at most 7 s",
        f"first fit {max(first_fit.urgent_waits):g} s",
        f"{longest:g} s",
        is_met=longest <= 7.0,
    )


def figures() -> Iterator[Figure]:
    """Yield the figures of both members for each seed."""
    for seed in SEEDS:
        for deployment in (BONSAI, LICENS):
            yield from comparison_figures(deployment, seed)


if __name__ == "__main__":
    print_figures(figures())
