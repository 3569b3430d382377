from __future__ import annotations

from collections import Counter
from dataclasses import replace
from unittest import mock

from behave import given, then, use_step_matcher, when

from dotterelhill.jobs.fleet import EndKind
from dotterelhill.jobs.model import JobState, Step, TaskKey
from dotterelhill.jobs.orders import StartOutcome
from dotterelhill.jobs.placement import start_bound
from dotterelhill.jobs.queues import Tenant
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tests.fleet_world import FleetWorld, schedule

use_step_matcher("re")

ROUND_SECONDS = 0.1
KIND = r"(?P<kind>task|lasting task|filler)s?"


def tasks(count: int, cpu: int, kind: str = "task", **more) -> Step:
    is_lasting, is_filler = kind == "lasting task", kind == "filler"
    room = ResourceVector(1000 * cpu, 100)
    return Step(count, room, 1.0, is_lasting=is_lasting, is_filler=is_filler, **more)


def run_seconds(fleet: FleetWorld, seconds: float, *, max_starts: int | None = None) -> None:
    for _ in range(round(seconds / ROUND_SECONDS)):
        if max_starts is None:
            fleet.run_round()
            continue
        fleet.poll()
        fleet.plan(max_starts)
        fleet.deliver(fleet.commit(), StartOutcome.STARTED)
        fleet.now += ROUND_SECONDS


def logged(fleet: FleetWorld, message: str = "task waits") -> list:
    return [one for one in fleet.decisions if one.message == message]


def check_fields(decision, expected: str) -> None:
    for pair in expected.split(", "):
        name, value = pair.split()
        assert str(decision.fields.get(name)) == value, (pair, decision.fields)


@given(r"a fleet with (?P<count>\d+) minions of (?P<cpu>\d+) processors")
def given_fleet(context, count, cpu):
    context.fleet = FleetWorld()
    for number in range(int(count)):
        context.fleet.list_minion(f"m{number + 1}", 1000 * int(cpu))


@given(r'minion "(?P<name>\w+)" of 1 processor')
def given_small_minion(context, name):
    context.fleet.list_minion(name, 1000)


@given(r"a minion of another service on which nothing runs")
def given_minion_of_other_service(context):
    context.fleet.list_minion("other", 16000, service="other")


@given(r'minion "(?P<name>\w+)" drains')
def given_draining_minion(context, name):
    context.fleet.list_minion(name, 16000, is_draining=True)


@given(r'tenant "(?P<tenant>\w+)" with a limit of (?P<cpu>\d+) processor')
def given_tenant(context, tenant, cpu):
    context.fleet.tenants[tenant] = Tenant(tenant, 1.0, ResourceVector(1000 * int(cpu)))
    context.fleet.config_version += 1
    context.fleet.configure()


@given(
    rf'job "(?P<job>\w+)" of (?P<count>\d+) {KIND} of (?P<cpu>\d+) processors'
    r'(?: of tenant "(?P<tenant>\w+)")? that (?P<state>runs|waits)'
)
def given_job(context, job, count, kind, cpu, tenant, state):
    step = tasks(int(count), int(cpu), kind)
    context.fleet.submit(job, (step,), tenant=tenant or "")
    if state == "runs":
        run_seconds(context.fleet, 0.5)
        assert context.fleet.minion_running(TaskKey(job, 0, 0, 0))


@given(r'job "(?P<job>\w+)" of 1 task of 2 processors that is due after (?P<seconds>\d+) seconds')
def given_scheduled_job(context, job, seconds):
    due_ms = context.fleet.unix_ms + 1000 * int(seconds)
    context.fleet.submit(job, (tasks(1, 2),), schedule=schedule(1, due_ms, 1000))


@given(r"(?P<count>\d+) jobs that wait")
def given_many_jobs(context, count):
    for number in range(int(count)):
        context.fleet.submit(f"j{number}", (tasks(1, 2),))


@given(r'lasting tasks have claimed (?P<cpu>\d+) processors of minion "(?P<name>\w+)"')
def given_lasting_claim(context, cpu, name):
    scheduler = context.fleet.scheduler
    claims, minion = scheduler._placement._lasting_claims, scheduler.minions[name]
    claims.update = lambda *arguments: None
    claims._claimed_cpu[minion] = 1000 * int(cpu)


@given(r'a filler of another job has claimed minion "(?P<name>\w+)" from short tasks')
def given_filler_claim(context, name):
    fleet = context.fleet
    claims, minion = fleet.scheduler._placement._filler_claims, fleet.scheduler.minions[name]
    claims.update = lambda *arguments: None
    claim = mock.Mock(step_id=("other", 0, 0), step=tasks(1, 20, "filler"))
    claims._by_minion[minion] = claim


@given(r'serving tasks without headroom on minion "(?P<name>\w+)"')
def given_no_headroom(context, name):
    interference = context.fleet.scheduler._placement._interference
    admitted = interference.filler_interference

    def refuse(minion, step, now):
        return None if minion.minion_id == name else admitted(minion, step, now)

    interference.filler_interference = refuse


@given(r'minion "(?P<name>\w+)" is isolated for a suspected task')
def given_isolated_minion(context, name):
    fleet = context.fleet
    placement, minion = fleet.scheduler._placement, fleet.scheduler.minions[name]
    placement._suspicion._by_job["other"] = {}
    placement._isolation.begin_round = lambda pools: None
    placement._isolation.isolate(minion)


@given(r'job "(?P<job>\w+)" is suspected of crashing minions')
def given_suspect(context, job):
    fleet = context.fleet
    restored = fleet.scheduler.jobs[job]
    fleet.scheduler._suspicion.count_crash(
        restored, restored.task(TaskKey(job, 0, 0, 0)), "gone", fleet.now,
        is_doubtful=False, is_inherited=False,
    )  # fmt: skip


@given(r'minion "(?P<name>\w+)" is reserved for a large task')
def given_reserved_minion(context, name):
    scheduler = context.fleet.scheduler
    reserved = mock.Mock(by_minion={scheduler.minions[name]: None})
    reserved.start_cost.return_value = None
    scheduler._placement.start_refusals._look_ahead = reserved


@given(r"a lasting task of (?P<cpu>\d+) processors on each minion")
def given_lasting_tasks(context, cpu):
    fleet = context.fleet
    step = tasks(len(fleet.facts), int(cpu), "lasting task", anti_affinity=1)
    fleet.submit("serving", (step,))
    run_seconds(fleet, 0.5)


@given(r'job "(?P<job>\w+)" of two steps of which one depends on the other')
def given_dependent_steps(context, job):
    context.fleet.submit(job, (tasks(1, 2), tasks(1, 2, after=(0,))))


@given(r'job "a" waits because (?P<reason>[\w -]+)')
def given_waiting_job(context, reason):
    fleet, step, more = context.fleet, tasks(1, 2), {}
    match reason:
        case "no minion has room":
            step = tasks(1, 17)
        case "only one task of its size fits":
            fleet.list_minion("big", 24000)
            step = tasks(1, 17)
        case "only one gang of its size fits":
            step = tasks(4, 10, is_gang=True)
        case "one minion only has the label":
            fleet.list_minion("m1", 16000, labels=("a", "r1", "ssd"))
            step = tasks(1, 10, required_label="ssd")
        case "anti-affinity leaves one place":
            fleet.list_minion("m1", 16000, labels=("a", "r1", "ssd"))
            step = tasks(1, 2, required_label="ssd", anti_affinity=1)
        case "half of the processors are reserved":
            fleet.submit("busy", (tasks(4, 8),))
            run_seconds(fleet, 0.5)
        case "its occurrence is not due":
            more["schedule"] = schedule(1, fleet.unix_ms + 20000, 1000)
        case "its queue needs advice":
            fleet.queues["short"] = replace(fleet.queues["short"], needs_advice=True)
            fleet.configure()
        case "the step before it runs":
            fleet.submit("a", (tasks(1, 2), tasks(1, 2, after=(0,))))
            run_seconds(fleet, 0.5)
            return
        case "another task of its job runs":
            fleet.submit("a", (tasks(2, 2),))
            run_seconds(fleet, 0.1)
            run_seconds(fleet, 0.2, max_starts=1)
            fleet.plan(0)
            _lose_run(fleet, "a")
            return
    fleet.submit("a", (step,), **more)


def _lose_run(fleet: FleetWorld, job: str) -> None:
    """Detach the first run of a job from its minion without a release of its task."""
    task = next(task for task in fleet.scheduler.jobs[job].tasks.values() if task.is_assigned)
    minion = fleet.scheduler.minions[task.minion_id]
    minion.detach(minion.runs[task.key])
    del fleet.running[minion.minion_id][task.key]


@when(r'the books lose the run of job "(?P<job>\w+)" but not its assignment')
def when_run_is_lost(context, job):
    _lose_run(context.fleet, job)


@when(r'the tasks of job "(?P<job>\w+)" end')
def when_tasks_end(context, job):
    for name, runs in context.fleet.running.items():
        for key in [key for key in runs if key.job_id == job]:
            context.fleet.end(name, key, EndKind.DONE)


@when(r"a fleet like that lists a minion of 32 processors in each of the 15 rounds from second 5")
def when_minion_is_listed(context):
    decisions = []
    for number in range(15):
        fleet = FleetWorld()
        fleet.list_minion("m1", 16000)
        fleet.submit("serving", (tasks(1, 7, "lasting task"),))
        run_seconds(fleet, 0.5)
        fleet.submit("a", (tasks(1, 10),))
        run_seconds(fleet, 5.0 + number * ROUND_SECONDS)
        fleet.list_minion("m2", 32000)
        run_seconds(fleet, 2.0)
        assert fleet.minion_running(TaskKey("a", 0, 0, 0)) == "m2"
        decisions += fleet.decisions
    context.fleet.decisions = decisions


@when(r"the books lose the ends of the leases of unlisted minions")
def when_lease_ends_are_lost(context):
    context.fleet.scheduler._unlisted_lease_ends.clear()


@when(r'the queue loses job "(?P<job>\w+)"')
def when_queue_loses_job(context, job):
    waiting = context.fleet.scheduler._placement._waiting_jobs[job]
    waiting.pending.clear()


@when(r'the minion of job "(?P<job>\w+)" vanishes and a new leader takes over')
def when_minion_vanishes(context, job):
    fleet = context.fleet
    name = fleet.minion_running(TaskKey(job, 0, 0, 0))
    del fleet.facts[name]
    fleet.take_over()
    fleet.scheduler.record_restored_runs(fleet.now)


@when(r'the minion of job "(?P<job>\w+)" dies unnoticed and a new leader takes over')
def when_minion_dies(context, job):
    fleet = context.fleet
    fleet.silent.add(fleet.minion_running(TaskKey(job, 0, 0, 0)))
    fleet.take_over()


@when(r"(?P<seconds>[\d.]+) seconds pass")
def when_time_passes(context, seconds):
    run_seconds(context.fleet, float(seconds))


@when(r"(?P<seconds>[\d.]+) seconds pass in which no start is allowed")
def when_no_start_is_allowed(context, seconds):
    fleet, bound = context.fleet, context.fleet.scheduler.start_bound
    context.checks = []
    check, has_room = bound.check, start_bound.has_room

    def count_check(*arguments):
        context.checks.append(0)
        return check(*arguments)

    def count_steps(*arguments):
        context.checks[-1] += 1
        return has_room(*arguments)

    with (
        mock.patch.object(bound, "check", count_check),
        mock.patch.object(start_bound, "has_room", count_steps),
    ):
        run_seconds(fleet, float(seconds), max_starts=0)


@when(r"(?P<seconds>[\d.]+) seconds pass in which minions refuse every start")
def when_starts_are_refused(context, seconds):
    for _ in range(round(float(seconds) / ROUND_SECONDS)):
        context.fleet.run_round(StartOutcome.NO_ROOM)


@when(
    r'each second one task of job "a" runs for less than half a second, '
    r"for (?P<seconds>\d+) seconds, and its (?P<event>[\w ]+)"
)
def when_short_runs(context, seconds, event):
    fleet = context.fleet
    for _ in range(int(seconds)):
        run_seconds(fleet, 0.4, max_starts=0)
        fleet.poll()
        fleet.plan(1)
        for order in fleet.commit():
            if event == "start order has no answer":
                name, key = order.minion.minion_id, order.run.key
                fleet.running[name][key] = order.run.run_id
                fleet.deliver([order], StartOutcome.UNKNOWN)
                fleet.end(name, key, EndKind.DONE)
            else:
                fleet.deliver([order], StartOutcome.STARTED)
        fleet.now += ROUND_SECONDS
        if event == "minion restarts":
            # Until then, the run is not proven and the crash would be held against its task.
            run_seconds(fleet, 0.3, max_starts=0)
            for name in [name for name, runs in fleet.running.items() if runs]:
                fleet.list_minion(name, 16000, born_ms=fleet.facts[name].born_ms + 1)
            run_seconds(fleet, 0.2, max_starts=0)
            continue
        for name, runs in fleet.running.items():
            for key in list(runs):
                fleet.end(name, key, EndKind.DONE)
        run_seconds(fleet, 0.5, max_starts=0)
    assert fleet.scheduler.jobs["a"].state is JobState.RUNNING


@then(r'a wait of job "(?P<job>\w+)" is logged(?: with "(?P<expected>[^"]+)")?')
def then_wait_is_logged(context, job, expected):
    waits = logged(context.fleet)
    assert waits, context.fleet.decisions
    assert {wait.job_id for wait in waits} == {job}, waits
    assert waits[-1].fields["waited_ms"] >= 3000, waits[-1]
    if expected:
        check_fields(waits[-1], expected)


@then(r"(?P<count>\d+) waits are logged")
def then_waits_are_logged(context, count):
    assert len(logged(context.fleet)) == int(count), logged(context.fleet)


@then(r"at most (?P<count>\d+) waits are logged")
def then_waits_are_bounded(context, count):
    assert 0 < len(logged(context.fleet)) <= int(count), len(logged(context.fleet))


@then(r"waits of (?P<jobs>\d+) jobs are logged, of each at least (?P<least>\d+)")
def then_waits_of_all_are_logged(context, jobs, least):
    counts = Counter(wait.job_id for wait in logged(context.fleet))
    assert len(counts) == int(jobs), counts
    assert min(counts.values()) >= int(least), counts


@then(r'no wait is logged(?P<beside> beside "lasting task waits")?')
def then_no_wait_is_logged(context, beside):
    assert not logged(context.fleet), logged(context.fleet)
    if beside:
        assert logged(context.fleet, "lasting task waits")


@then(
    r"(?P<count>\d+) (?P<kind>\w+) tasks are counted as overdue, "
    r"for (?P<least>[\d.]+) to (?P<most>[\d.]+) seconds"
)
def then_tasks_are_counted(context, count, kind, least, most):
    bound = context.fleet.scheduler.start_bound
    assert bound.task_counts == {kind: int(count)}, bound.task_counts
    assert float(least) <= bound.longest_seconds <= float(most), bound.longest_seconds


@then(r"no task is counted as overdue")
def then_no_task_is_counted(context):
    bound = context.fleet.scheduler.start_bound
    assert not bound.task_counts, bound.task_counts


@then(r"at most (?P<checks>\d+) checks were made, each of (?P<steps>\d+) steps")
def then_checks_are_bounded(context, checks, steps):
    assert 0 < len(context.checks) <= int(checks), context.checks
    assert max(context.checks) == int(steps), context.checks


@then(r"each of the (?P<count>\d+) jobs is checked after (?P<checks>\d+) more checks")
def then_each_job_is_checked(context, count, checks):
    fleet, checked = context.fleet, set()
    bound, has_room = fleet.scheduler.start_bound, start_bound.has_room

    def record(minions, step, key):
        checked.add(key.job_id)
        return has_room(minions, step, key)

    with mock.patch.object(start_bound, "has_room", record):
        for number in range(int(checks)):
            exclusions = dict.fromkeys(fleet.scheduler.minions.values())
            bound.check(
                fleet.scheduler.jobs,
                [],
                exclusions,
                lambda job: job.submission.queue,
                fleet.now + number,
                fleet.unix_ms + 1000 * number,
            )
    assert len(checked) == int(count), len(checked)


@then(
    r'the stored runs are logged with "(?P<expected>[^"]+)" and released within '
    r"(?P<least>\d+) to (?P<most>\d+) ms"
)
def then_stored_runs_are_logged(context, expected, least, most):
    decisions = context.fleet.scheduler.take_decisions()
    restored = [one for one in decisions if one.message == "stored runs restored"]
    assert len(restored) == 1, decisions
    check_fields(restored[0], expected)
    assert int(least) <= restored[0].fields["released_within_ms"] <= int(most), restored
