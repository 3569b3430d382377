from __future__ import annotations

import itertools
import random
from collections import Counter

from behave import given, then, when

from dotterelhill.batch.events import (
    Append,
    AssignmentRead,
    EvidenceRead,
    LeaseRenewed,
    StopWanted,
    Tick,
    WorkerHeld,
)
from dotterelhill.batch.execution import Execution
from dotterelhill.batch.interface import Assignment, PendingTask, WorkerFacts
from dotterelhill.batch.interference import InterferenceModel, slow_down_factor
from dotterelhill.batch.placement import MeasuredWorker, Placement, job_of
from dotterelhill.batch.preemption import Victim, cheapest_preemption
from dotterelhill.batch.sizes import TaskSizes
from dotterelhill.batch.throttling import ThrottleTask, Throttling
from dotterelhill.ledger import Assign, Stopped
from dotterelhill.manifest import (
    Constraints,
    FailureDomain,
    Job,
    Limits,
    Manifest,
    Member,
    Priority,
    Resources,
)

NOW = 1000.0


def task_name(index: int) -> str:
    return f"first@1/{index}"


class SchedulerFixture:
    """Builds a scheduler's placement state with workers and jobs, without I/O."""

    def __init__(self) -> None:
        self.placement = Placement("p/00")
        self.quotas = {
            "t": Resources(cpu=100.0, memory_gb=200.0),
            "u": Resources(cpu=100.0, memory_gb=200.0),
        }
        self.jobs: dict[str, Job] = {}
        self.racks: dict[str, str] = {}
        self.now = NOW

    def publish(self) -> None:
        limits = Limits(requests_per_second=1, in_flight=1, cpu=500, memory_gb=500)
        manifest = Manifest(
            members={"m": Member(limits=limits, teams=self.quotas)},
            limits=limits,
            failure_domains={"d0": FailureDomain(region="r"), "d1": FailureDomain(region="r")},
            jobs=dict(self.jobs),
        )
        self.placement.set_manifest(manifest, manifest, self.now)

    def add_workers(self, count: int, cpu: float, racks: int = 1) -> None:
        for number in range(count):
            name = f"w{number}"
            self.racks[name] = f"r{number % racks}"
            capacity = Resources(cpu=cpu, memory_gb=100.0)
            facts = WorkerFacts(name, self.racks[name], f"d{number % 2}", capacity)
            self.placement.set_worker(facts, self.now)

    def add_job(self, team: str, name: str, tasks: int, cpu: float, **other) -> None:
        self.jobs[name] = Job(member="m", team=team, tasks=tasks, cpu=cpu, **other)
        self.publish()
        for index in range(tasks):
            self.placement.add_pending(PendingTask(f"{name}@1/{index}", name), self.now)

    def decide(self) -> list[Assign]:
        actions = self.placement.tick(self.now, self.now)
        return [action.record for action in actions if isinstance(action, Append)]


@given("a scheduler with {count:d} workers of {cpu:g} processors")
def start_scheduler(context, count, cpu):
    start_scheduler_in_racks(context, count, cpu, 1)


@given("a scheduler with {count:d} workers of {cpu:g} processors in {racks:d} racks")
def start_scheduler_in_racks(context, count, cpu, racks):
    context.scheduler_fixture = SchedulerFixture()
    context.scheduler_fixture.publish()
    context.scheduler_fixture.add_workers(count, cpu, racks)


@given('the quota of team "{team}" is {cpu:g} processors')
def set_quota(context, team, cpu):
    context.scheduler_fixture.quotas[team] = Resources(cpu=cpu)


@given('team "{team}" has {tasks:d} pending tasks of {cpu:g} processors in job "{name}"')
def add_job(context, team, tasks, cpu, name):
    context.scheduler_fixture.add_job(team, name, tasks, cpu)


@given('team "{team}" has {tasks:d} urgent pending tasks of {cpu:g} processors in job "{name}"')
def add_urgent_job(context, team, tasks, cpu, name):
    context.scheduler_fixture.add_job(team, name, tasks, cpu, priority=Priority.URGENT)


@given(
    'team "{team}" has {tasks:d} pending tasks of {cpu:g} processors and {gb:g} GB in job "{name}"'
)
def add_large_job(context, team, tasks, cpu, gb, name):
    context.scheduler_fixture.add_job(team, name, tasks, cpu, memory_gb=gb)


@given(
    'team "{team}" has {tasks:d} pending tasks of {cpu:g} processors in job "{name}" for one rack'
)
def add_rack_job(context, team, tasks, cpu, name):
    context.scheduler_fixture.add_job(
        team, name, tasks, cpu, constraints=Constraints(same_rack=True)
    )


@given(
    'team "{team}" has {tasks:d} pending tasks of {cpu:g} processors in job "{name}"'
    ' for failure domain "{domain}" only'
)
def add_domain_job(context, team, tasks, cpu, name, domain):
    constraints = Constraints(failure_domains=(domain,))
    context.scheduler_fixture.add_job(team, name, tasks, cpu, constraints=constraints)


@given('tasks of "{job}" were measured with {cpu:g} processors')
def measure_size(context, job, cpu):
    for _ in range(10):
        context.scheduler_fixture.placement.sizes.observe_use(job, cpu, 1.0)


@given('service "{service}" runs on every worker with load {load:g}')
def run_service(context, service, load):
    for name in context.scheduler_fixture.racks:
        report = MeasuredWorker(name, {service: load}, {service: 1.0}, {})
        context.scheduler_fixture.placement.measure(report, context.scheduler_fixture.now)


@given('"{job}" was measured to slow "{service}" by {factor:g} with noise')
def measure_pair(context, job, service, factor):
    rng = random.Random(7)
    interference = context.scheduler_fixture.placement.interference
    for number in range(200):
        measured_slow_down = factor**0.8 * (1.0 + rng.gauss(0.0, 0.03))
        interference.observe(service, 0.8, measured_slow_down, {job: 1.0}, NOW - 200 + number)


@when("the scheduler decides")
def decide(context):
    context.assigned = context.scheduler_fixture.decide()


@when("the scheduler decides {seconds:g} s later")
def decide_later(context, seconds):
    context.scheduler_fixture.now += seconds
    context.assigned = context.scheduler_fixture.decide()


@then('it assigns {first:d} tasks of "first" and {second:d} of "second"')
def check_assigned(context, first, second):
    counts = Counter(job_of(record.task) for record in context.assigned)
    assert (counts["first"], counts["second"]) == (first, second), counts


@then('it assigns fewer tasks of "first" than of "second"')
def check_fewer(context):
    counts = Counter(job_of(record.task) for record in context.assigned)
    assert 0 < counts["first"] < counts["second"], counts


@then('it assigns at least {count:d} tasks of "first"')
def check_at_least(context, count):
    assert len(context.assigned) >= count, len(context.assigned)


@then('the tasks of "first" are in {count:d} rack')
def check_racks(context, count):
    assert (
        len({context.scheduler_fixture.racks[record.worker] for record in context.assigned})
        == count
    )


@when("a steady and a varying job of the same mean use are measured")
def measure_jobs(context):
    context.sizes = TaskSizes()
    for number in range(200):
        context.sizes.observe_use("steady", 4.0, 1.0)
        context.sizes.observe_use("varying", 3.0 if number % 2 else 5.0, 1.0)


@then("the varying job is planned larger")
def check_planned(context):
    declared = Resources(cpu=1.0, memory_gb=2.0)
    steady = context.sizes.planned_resources("steady", declared)
    varying = context.sizes.planned_resources("varying", declared)
    assert abs(steady.cpu - 4.0) < 0.1 and varying.cpu > 6.0, (steady, varying)


@when("room for 4 processors is made among tasks that lose 10, 600 and 20 s")
def preempt_three(context):
    victims = [
        Victim(task_name(index), 1, Resources(cpu=2.0), lost)
        for index, lost in enumerate((10.0, 600.0, 20.0))
    ]
    context.preemption = cheapest_preemption(victims, Resources(), Resources(cpu=4.0))


@then("the tasks that lose 10 and 20 s are evicted")
def check_two_evicted(context):
    assert {victim.lost_seconds for victim in context.preemption.victims} == {10.0, 20.0}


@when("room for 4 processors is made among a cheap task of 1 and a costly one of 4 processors")
def preempt_two(context):
    victims = [
        Victim(task_name(0), 1, Resources(cpu=1.0), 1.0),
        Victim(task_name(1), 1, Resources(cpu=4.0), 100.0),
    ]
    context.preemption = cheapest_preemption(victims, Resources(), Resources(cpu=4.0))


@then("only the costly one is evicted")
def check_one_evicted(context):
    assert [victim.task for victim in context.preemption.victims] == [task_name(1)]


@when("workers with different mixes of a harmful and a harmless job are measured with noise")
def measure_mixes(context):
    rng = random.Random(11)
    context.interference = InterferenceModel()
    for number in range(600):
        load = rng.uniform(0.3, 1.0)
        harmful, harmless = rng.randint(0, 2), rng.randint(0, 3)
        measured_slow_down = 1.3 ** (load * harmful) * (1.0 + rng.gauss(0.0, 0.1))
        jobs = {"harmful": float(harmful), "harmless": float(harmless)}
        jobs = {job: count for job, count in jobs.items() if count}
        context.interference.observe("desk", load, measured_slow_down, jobs, NOW + number)


@then("the harmful job's effect is about 1.3 and the harmless one's about 1.0")
def check_effects(context):
    later = NOW + 600
    harmful = slow_down_factor(context.interference.effect("desk", "harmful", later).mean)
    harmless = slow_down_factor(context.interference.effect("desk", "harmless", later).mean)
    assert abs(harmful - 1.3) < 0.05 and abs(harmless - 1.0) < 0.04, (harmful, harmless)


@when("a pair is measured often and then not for an hour")
def measure_then_wait(context):
    context.interference = InterferenceModel()
    for number in range(100):
        context.interference.observe("desk", 1.0, 1.2, {"sync": 1.0}, NOW + number)


@then("its variance is that of a pair without measurements")
def check_variance(context):
    soon = context.interference.effect("desk", "sync", NOW + 100).variance
    later = context.interference.effect("desk", "sync", NOW + 3700).variance
    unknown = context.interference.effect("desk", "other", NOW).variance
    assert soon < unknown / 10 and later == unknown, (soon, later, unknown)


def running_tasks():
    return {
        task: Assignment(task, "w0", number + 1, 1, "", Resources(cpu=1.0), 600.0)
        for number, task in enumerate(("harmful@1/0", "harmless@1/0"))
    }


@when("a service stays slowed to 1.5 for 200 s beside a harmful and a harmless task")
def run_slowed_service(context):
    interference = InterferenceModel()
    for number in range(50):
        interference.observe("desk", 1.0, 1.5, {"harmful": 1.0}, NOW + number)
        interference.observe("desk", 1.0, 1.0, {"harmless": 1.0}, NOW + number)
    context.throttling = Throttling(interference)
    context.changes = run_throttling(context.throttling, 1.5, NOW + 50)


def run_throttling(throttling, slow_down, start):
    changes = []
    for second in range(0, 200, 5):
        report = MeasuredWorker("w0", {"desk": 1.0}, {"desk": slow_down}, {})
        for action in throttling.decide(report, running_tasks(), start + second):
            changes.append((second, action))
    return changes


@then(
    "the harmful task is throttled twice before it is moved, at least 60 s after the last throttle"
)
def check_throttled(context):
    changes = [item for item in context.changes if item[1].task == "harmful@1/0"]
    assert [type(action) for _, action in changes[:3]] == [ThrottleTask, ThrottleTask, StopWanted]
    last_throttle = max(s for s, action in context.changes if isinstance(action, ThrottleTask))
    assert changes[2][0] - last_throttle >= 60, context.changes


@when("the service is not slowed for 200 s beside a throttled task")
def run_unslowed_service(context):
    context.changes = run_throttling(context.throttling, 1.0, NOW + 250)


@then("the task is released once in 60 s")
def check_released(context):
    times = [second for second, _ in context.changes]
    assert times and all(b - a >= 60 for a, b in itertools.pairwise(times)), times


@when("a worker reports a task at a quarter of its speed and the service is not slowed for 200 s")
def adopt_speeds(context):
    throttling = Throttling(InterferenceModel())
    throttling.adopt_speeds("w0", {"harmful@1/0": 0.25, "harmless@1/0": 1.0})
    context.changes = run_throttling(throttling, 1.0, NOW)


def evidence_at(now):
    return EvidenceRead(99, now, now, frozenset(["d"]), 3600.0)


@given("a holder whose silent worker is fenced")
def fence_worker(context):
    execution = context.execution = Execution()
    execution.decide(evidence_at(NOW), NOW)
    execution.decide(WorkerHeld("w0", "d", 1, False), NOW)
    execution.decide(AssignmentRead(running_tasks()["harmful@1/0"]), NOW)
    execution.decide(LeaseRenewed("w0", 1, NOW, NOW, "b", 5.0, ()), NOW)
    execution.decide(WorkerHeld("w0", "d", 1, True), NOW + 11)


@when("it resumes 100 s later without having read the log")
def resume_late(context):
    context.actions = context.execution.decide(Tick(), NOW + 111)


@when("it reads the log and finds its fence in place")
def read_log(context):
    context.execution.decide(evidence_at(NOW + 112), NOW + 112)
    context.actions = context.execution.decide(Tick(), NOW + 112)


def lost_records(context):
    records = [action.record for action in context.actions if isinstance(action, Append)]
    return [record for record in records if isinstance(record, Stopped)]


@then("it declares no task lost")
def check_nothing_lost(context):
    assert lost_records(context) == []


@then("it declares the task lost")
def check_lost(context):
    assert [record.task for record in lost_records(context)] == ["harmful@1/0"]
