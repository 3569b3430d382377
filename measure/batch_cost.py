"""Processor time of placement and execution, from today's size to the target size.

Run it with ``python -m measure.batch_cost``. It prints one line for each figure: name, target,
baseline in the same run, measured, met or short. Times are processor seconds of this process.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import aiohttp

from dotterelhill.batch import Batch, HttpWorker
from dotterelhill.batch.events import (
    Append,
    AssignmentEnded,
    AssignmentRead,
    ClockRead,
    EvidenceRead,
    LeaseRenewed,
    RunAnswered,
    RunObserved,
    Tick,
    WorkerHeld,
)
from dotterelhill.batch.execution import Execution
from dotterelhill.batch.interface import Assignment, PendingTask, WorkerFacts
from dotterelhill.batch.placement import MeasuredWorker, Placement, job_of
from dotterelhill.holdings import NO_PERMIT, Permit
from dotterelhill.ledger import (
    Adopt,
    Assign,
    Capacity,
    ControlRecord,
    Ledger,
    RecordVerdict,
    StopOutcome,
    encode_record,
)
from dotterelhill.manifest import (
    AcceptedManifest,
    FailureDomain,
    Job,
    Limits,
    Manifest,
    Member,
    Priority,
    Resources,
)
from measure.report import Figure, figure_with_target, print_figures
from tools.fleet import Fleet

SEED = 20260
# Processor time for each start: 1.4% of a core at 180 starts a second.
BUDGET_MICROSECONDS = 78.0
STARTS_PER_TICK = 18
TICKS = 150
TASK_CPU = (0.5, 1.0, 2.0)


@dataclass(frozen=True, slots=True)
class Size:
    """Numbers of workers, running tasks and teams in one measurement."""

    workers: int
    running: int
    teams: int


TODAY = Size(30, 300, 4)
HALF = Size(215, 4200, 45)
TARGET = Size(430, 8400, 89)


@dataclass(slots=True)
class SteadyLoad:
    """Scheduler in a steady state, in which as many tasks end as start."""

    placement: Placement
    jobs: list[str]
    rng: random.Random
    running: list[Assignment]
    resources: dict[str, Resources]
    next_index: int = 0
    token: int = 0
    now: float = 1000.0


def build_manifest(size: Size, rng: random.Random) -> Manifest:
    """Return a manifest with two jobs for each team."""
    limits = Limits(requests_per_second=9, in_flight=9, cpu=1e6, memory_gb=1e6, accelerators=940)
    members: dict[str, Member] = {}
    jobs: dict[str, Job] = {}
    for member in ("a", "b"):
        names = [f"{member}{number}" for number in range((size.teams + 1) // 2)]
        teams = {name: Resources(cpu=5000.0, memory_gb=9000.0) for name in names}
        members[member] = Member(limits=limits, teams=teams)
        for name in names:
            for suffix in "xy":
                cpu = rng.choice(TASK_CPU)
                jobs[f"{name}{suffix}"] = Job(
                    member=member, team=name, tasks=10_000, cpu=cpu, memory_gb=2 * cpu
                )
    domains = {f"d{number}": FailureDomain(region="r") for number in range(7)}
    return Manifest(members=members, limits=limits, failure_domains=domains, jobs=jobs)


def build_load(size: Size) -> SteadyLoad:
    """Return a scheduler with ``size.running`` running tasks.

    :raises RuntimeError: if the workers have too few resources for them
    """
    rng = random.Random(SEED)
    manifest = build_manifest(size, rng)
    placement = Placement("measure/00")
    placement.set_manifest(manifest, manifest, 1000.0)
    jobs = list(manifest.jobs)
    for number in range(size.workers):
        capacity = Resources(cpu=48.0, memory_gb=250.0, accelerators=4 * (number % 4 == 0))
        facts = WorkerFacts(f"w{number}", f"r{number // 8}", f"d{number % 7}", capacity)
        placement.set_worker(facts, 1000.0)
        services = {f"s{number % 5}": 0.3}
        measured = MeasuredWorker(facts.name, services, dict.fromkeys(services, 1.0), {})
        placement.measure(measured, 1000.0)
    for job in jobs:
        for service in range(5):
            for _ in range(60):
                placement.interference.observe(f"s{service}", 0.8, 1.0, {job: 1.0}, 1000.0)
    resources = {name: job.resources for name, job in manifest.jobs.items()}
    load = SteadyLoad(placement, jobs, rng, [], resources)
    while len(load.running) < size.running:
        before = len(load.running)
        add_pending(load, min(200, size.running - before))
        confirm(load, decide(load))
        load.now += 0.1
        if len(load.running) == before:
            raise RuntimeError(f"only {before} of {size.running} tasks fit on the workers")
    return load


def add_pending(load: SteadyLoad, count: int) -> None:
    """Queue new tasks of random jobs."""
    for _ in range(count):
        job = load.rng.choice(load.jobs)
        load.next_index += 1
        load.placement.add_pending(PendingTask(f"{job}@1/{load.next_index}", job), load.now)


def decide(load: SteadyLoad) -> list[Assign]:
    """Run one scheduler tick and return its assignments."""
    actions = load.placement.tick(load.now, load.now)
    records = [action.record for action in actions if isinstance(action, Append)]
    return [record for record in records if isinstance(record, Assign)]


def confirm(load: SteadyLoad, records: list[Assign]) -> None:
    """Add the assignments to the running tasks, as if the ledger had recorded them."""
    for record in records:
        load.token += 1
        task_resources = load.resources[job_of(record.task)]
        assignment = Assignment(
            record.task, record.worker, load.token, 1, "", task_resources, 600.0
        )
        load.placement.add_running(assignment, load.now)
        load.running.append(assignment)


def finish_tasks(load: SteadyLoad, count: int) -> None:
    """Finish random running tasks."""
    for _ in range(count):
        position = load.rng.randrange(len(load.running))
        load.running[position], load.running[-1] = load.running[-1], load.running[position]
        ended = load.running.pop()
        load.placement.end_running(ended.task, ended.token, StopOutcome.FINISHED, "", load.now)


def placement_seconds(size: Size) -> tuple[float, float]:
    """Return processor seconds for each start: of the decision, and of the task's whole lifecycle.

    Each is the minimum of three runs, since other work on the machine only adds to it.
    """
    runs = [placement_run_seconds(size) for _ in range(3)]
    return min(run[0] for run in runs), min(run[1] for run in runs)


def placement_run_seconds(size: Size) -> tuple[float, float]:
    """Return the same as ``placement_seconds``, but of a single run."""
    load = build_load(size)
    decision_seconds = lifecycle_seconds = 0.0
    starts = 0
    for _ in range(TICKS):
        load.now += 0.1
        started_at = time.process_time()
        finish_tasks(load, STARTS_PER_TICK)
        add_pending(load, STARTS_PER_TICK)
        before = time.process_time()
        records = decide(load)
        decision_seconds += time.process_time() - before
        confirm(load, records)
        lifecycle_seconds += time.process_time() - started_at
        starts += len(records)
    return decision_seconds / starts, lifecycle_seconds / starts


def full_scan_seconds(size: Size) -> float:
    """Return processor seconds for each start of a placement that scans all workers.

    It scores every worker with enough free resources, as a placement without indices would.
    """
    load = build_load(size)
    nodes = list(load.placement.nodes)
    started_at = time.process_time()
    starts = 2000
    for _ in range(starts):
        needed = load.resources[load.rng.choice(load.jobs)]
        fitting = [node for node in nodes if node.has_room(needed)]
        min(fitting, key=lambda node: (sum(node.planned_effects.values()), node.cpu))
    return (time.process_time() - started_at) / starts


def holder_seconds(workers: int, tasks_each: int) -> tuple[float, float]:
    """Return processor seconds of one holder's decisions: for each start and each lease renewal."""
    execution = Execution()
    now = 1000.0
    task_resources = Resources(cpu=1.0)
    names = [f"w{number}" for number in range(workers)]
    evidence = EvidenceRead(10**9, now, now, frozenset(["d"]), 3600.0)
    execution.decide(evidence, now)
    runs: dict[str, tuple[RunObserved, ...]] = {}
    for name in names:
        execution.decide(WorkerHeld(name, "d", 1, False), now)
        execution.decide(ClockRead(name, 1, "b", 5.0, now), now)
        for number in range(tasks_each):
            task = f"job@1/{name}-{number}"
            execution.decide(
                AssignmentRead(Assignment(task, name, number + 1, 1, "", task_resources, 600.0)),
                now,
            )
        runs[name] = tuple(
            RunObserved(f"job@1/{name}-{number}", number + 1, "running")
            for number in range(tasks_each)
        )

    def renew_all() -> None:
        for name in names:
            execution.decide(LeaseRenewed(name, 1, now, now, "b", 5.0, runs[name]), now)

    execution.decide(Tick(), now)
    renew_all()
    renewal = processor_seconds(renew_all) / workers
    starts_began_at = time.process_time()
    starts = 2000
    for number in range(starts):
        task, name, token = f"new@1/{number}", names[number % workers], 10_000 + number
        execution.decide(
            AssignmentRead(Assignment(task, name, token, 1, "", task_resources, 9.0)), now
        )
        if number % 10 == 0:
            execution.decide(Tick(), now)
        execution.decide(RunAnswered(name, RunObserved(task, token, "running")), now)
        execution.decide(RunAnswered(name, RunObserved(task, token, "finished")), now)
        execution.decide(AssignmentEnded(name, task, token), now)
    return (time.process_time() - starts_began_at) / starts, renewal


def processor_seconds(action: Callable[[], None], repeats: int = 20) -> float:
    """Return the mean processor seconds of a call of ``action``."""
    started_at = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - started_at) / repeats


async def start_message_seconds(address: str, count: int = 1000) -> float:
    """Return processor seconds of this process for each start message that it sends over HTTP."""
    async with aiohttp.ClientSession() as session:
        worker = HttpWorker(session, address)
        clock = await worker.read_clock()
        await worker.renew_lease(1, 20.0, clock.clock + 1e6, clock.boot, "d")
        started_at = time.process_time()
        for number in range(count):
            await worker.start(
                f"job@1/{number}", 1, clock.clock + 1e6, clock.boot, Resources(cpu=1.0), 9.0, ""
            )
        return (time.process_time() - started_at) / count


async def remote_start_message_seconds() -> float:
    """Return ``start_message_seconds`` for a stand-in worker that runs in another process."""
    async with Fleet() as fleet:
        worker = await fleet.start("w1", "standins.worker", "--name=w1", "--cpu=100000")
        return await start_message_seconds(worker.address)


def longest_tick_seconds() -> float:
    """Return processor seconds of a holder's longest tick while 6,200 tasks are being stopped."""
    execution = Execution()
    now = 1000.0
    execution.decide(EvidenceRead(10**9, now, now, frozenset(["d"]), 3600.0), now)
    execution.decide(WorkerHeld("w", "d", 1, False), now)
    execution.decide(ClockRead("w", 1, "b", 5.0, now), now)
    execution.decide(Tick(), now)
    execution.decide(LeaseRenewed("w", 1, now, now, "b", 5.0, ()), now)
    for number in range(6200):
        assignment = Assignment(
            f"job@1/{number}", "w", number + 1, 1, "", Resources(cpu=1.0), 9.0, is_cancelled=True
        )
        execution.decide(AssignmentRead(assignment), now)
    longest = 0.0
    for _ in range(100):
        now += 0.1
        started_at = time.process_time()
        execution.decide(Tick(), now)
        longest = max(longest, time.process_time() - started_at)
    return longest


class FullDeploymentView:
    """Ledger, manifests, holdings and log of a process that holds all workers of a deployment."""

    def __init__(self) -> None:
        self._versions = {1: self._manifest(is_cancelled=False)}
        self.ledger = Ledger(self._versions.get)
        self.evidence_at = 0.0
        self._offset = 0
        self.verdicts: list[RecordVerdict] = []
        self.append(Adopt(manifest_version=1, digest=""))

    def _manifest(self, *, is_cancelled: bool) -> Manifest:
        limits = Limits(requests_per_second=9, in_flight=9, cpu=1e6, memory_gb=1e6)
        team = Resources(cpu=1e5, memory_gb=1e5)
        return Manifest(
            members={"m": Member(limits=limits, teams={"t": team})},
            limits=limits,
            failure_domains={"d": FailureDomain(region="r")},
            jobs={
                "wave": Job(member="m", team="t", tasks=6200, cpu=1.0, cancelled=is_cancelled),
                "kept": Job(member="m", team="t", tasks=2200, cpu=1.0),
                "now": Job(member="m", team="t", cpu=1.0, priority=Priority.URGENT),
            },
        )

    def append(self, record: ControlRecord) -> None:
        """Apply a record to the ledger.

        :raises RuntimeError: if the ledger refuses it
        """
        self._offset += 1
        verdict = self.ledger.apply(self._offset, encode_record(record))
        if not verdict.is_accepted:
            raise RuntimeError(f"the ledger refused a record: {verdict}")
        self.verdicts.append(verdict)

    def cancel(self) -> None:
        """Adopt a manifest that cancels the job ``wave``."""
        self._versions[2] = self._manifest(is_cancelled=True)
        self.append(Adopt(manifest_version=2, digest=""))

    @property
    def current(self) -> AcceptedManifest:
        """Return the adopted manifest."""
        version = self.ledger.adopted_version
        return AcceptedManifest(version, self._versions[version], b"")

    def worker_token(self, worker: str) -> int | None:
        """Return the same token for every worker."""
        return 1

    def permit_for(self, minion: str, now: float) -> Permit:
        """Return a permit under which no minion may be used."""
        return NO_PERMIT

    def holder_of(self, resource: str) -> str | None:
        """Return the incarnation of this process, the holder of every resource."""
        return "measure/00"

    def submit(self, data: bytes, *, not_after: float = float("inf")) -> None:
        """Discard a record."""

    def worker_of(self, name: str) -> HttpWorker:
        """Raise an error, as for an unreachable worker.

        :raises LookupError: always
        """
        raise LookupError(name)


async def cancellation_step_seconds() -> float:
    """Return processor seconds of the batch service's step that reads 6,200 cancellations."""
    view = FullDeploymentView()
    names = [f"w{number}" for number in range(TARGET.workers)]
    batch = Batch(
        incarnation="measure/00",
        failure_domain="d",
        ledger=view,
        manifests=view,
        holdings=view,
        appender=view,
        worker_names=lambda: names,
        worker_of=view.worker_of,
        is_scheduler=lambda: True,
    )
    for name in names:
        view.append(
            Capacity(
                worker=name,
                rack="r",
                failure_domain="d",
                cpu=48.0,
                memory_gb=250.0,
                accelerators=0,
            )
        )
    for number in range(8400):
        job, index = ("wave", number) if number < 6200 else ("kept", number - 6200)
        view.append(
            Assign(
                task=f"{job}@1/{index}",
                worker=names[number % len(names)],
                attempt=1,
                checkpoint="",
                writer="measure/00",
            )
        )
    for verdict in view.verdicts:
        batch.note_verdict(verdict)
    batch.step(asyncio.get_running_loop().time())
    view.verdicts.clear()
    view.cancel()
    batch.note_verdict(view.verdicts[0])
    started_at = time.process_time()
    batch.step(asyncio.get_running_loop().time())
    return time.process_time() - started_at


def figures() -> Iterator[Figure]:
    """Yield the figures of placement, execution and cancellation."""
    small_decision, small_lifecycle = placement_seconds(TODAY)
    half_decision, _ = placement_seconds(HALF)
    decision, lifecycle = placement_seconds(TARGET)
    small_scan, scan = full_scan_seconds(TODAY), full_scan_seconds(TARGET)
    for name, size, seconds, baseline in (
        ("placement decision, 30 workers", TODAY, small_decision, small_scan),
        ("placement decision, 215 workers", HALF, half_decision, None),
        ("placement decision, 430 workers", TARGET, decision, scan),
    ):
        compared = f"full scan {baseline * 1e6:.1f} us" if baseline is not None else "none"
        yield figure_with_target(
            f"{name} and {size.running} tasks",
            f"at most {BUDGET_MICROSECONDS:g} us a start",
            compared,
            f"{seconds * 1e6:.1f} us",
            is_met=seconds * 1e6 <= BUDGET_MICROSECONDS,
        )
    yield figure_with_target(
        "slope of the decision from 30 to 430 workers",
        "at most 2 times",
        f"full scan {scan / small_scan:.1f} times",
        f"{decision / small_decision:.2f} times",
        is_met=decision <= 2 * small_decision,
    )
    yield figure_with_target(
        "placement with queue, confirmation and end, 430 workers",
        f"at most {BUDGET_MICROSECONDS:g} us a start",
        f"30 workers {small_lifecycle * 1e6:.1f} us",
        f"{lifecycle * 1e6:.1f} us",
        is_met=lifecycle * 1e6 <= BUDGET_MICROSECONDS,
    )
    start, renewal = holder_seconds(50, 20)
    yield figure_with_target(
        "holder's decisions for a task's life, 50 workers",
        f"at most {BUDGET_MICROSECONDS:g} us a start",
        "none",
        f"{start * 1e6:.1f} us",
        is_met=start * 1e6 <= BUDGET_MICROSECONDS,
    )
    yield figure_with_target(
        "holder's decision for a renewal with 20 tasks",
        "at most 1000 us",
        "none",
        f"{renewal * 1e6:.1f} us",
        is_met=renewal <= 0.001,
    )
    message = asyncio.run(remote_start_message_seconds())
    yield figure_with_target(
        "start message over HTTP, client side",
        f"at most {BUDGET_MICROSECONDS:g} us a start",
        "none",
        f"{message * 1e6:.1f} us",
        is_met=message * 1e6 <= BUDGET_MICROSECONDS,
    )
    longest = longest_tick_seconds()
    yield figure_with_target(
        "longest tick in a burst of 6200 cancellations",
        "at most 1000 ms",
        "none",
        f"{longest * 1e3:.1f} ms",
        is_met=longest <= 1.0,
    )
    step = asyncio.run(cancellation_step_seconds())
    yield figure_with_target(
        "step that reads 6200 cancellations among 8400 tasks at one holder of all",
        "at most 1000 ms",
        "none",
        f"{step * 1e3:.1f} ms",
        is_met=step <= 1.0,
    )


if __name__ == "__main__":
    print_figures(figures())
