from __future__ import annotations

import random

from behave import given, step, then, use_step_matcher, when

import dotterelhill.jobs.tests.steps.scheduler_steps  # noqa: F401
from dotterelhill.jobs.fleet import EndKind
from dotterelhill.jobs.model import Step
from dotterelhill.jobs.orders import StartOutcome
from dotterelhill.jobs.queues import Tenant
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tenants.usage import TenantUsage

use_step_matcher("re")

MEMORY_MB = 100


def configure(fleet, version=None, **tenants):
    fleet.tenants.update(tenants)
    fleet.config_version = fleet.config_version + 1 if version is None else version
    fleet.configure()


@step(r'the limit of tenant "(?P<name>\w+)" (?:is|becomes) "(?P<limit>[\d ]+)"')
def set_limit(context, name, limit):
    cpu, memory_mb, gpu = [int(part) for part in limit.split()]
    vector = ResourceVector(1000 * cpu, memory_mb, gpu)
    configure(context.fleet, **{name: Tenant(name, limit=vector)})


@given(r'the weight of tenant "(?P<name>\w+)" is (?P<weight>[\d.]+)')
def set_weight(context, name, weight):
    configure(context.fleet, **{name: Tenant(name, float(weight))})


@when(r'version (?P<version>\d+) with limit "(?P<cpu>\d+)" of tenant "(?P<name>\w+)" arrives')
def configure_version(context, version, cpu, name):
    tenant = Tenant(name, limit=ResourceVector(1000 * int(cpu)))
    configure(context.fleet, int(version), **{name: tenant})


@when(r'tenant "(?P<name>\w+)" is removed from the configuration')
def remove_tenant(context, name):
    del context.fleet.tenants[name]
    configure(context.fleet)


@given(r"the minions have (?P<count>\d+) accelerators")
def set_accelerators(context, count):
    for name, facts in list(context.fleet.facts.items()):
        context.fleet.list_minion(name, facts.capacity.cpu, gpu=int(count))


@step(
    r'tenant "(?P<tenant>\w*)" submits job "(?P<job>\w+)" of (?P<count>\d+) '
    r"(?P<kind>task|lasting task|filler|gang task|checkpointing filler)s? of "
    r'(?P<cpu>\d+) processors(?: and (?P<gpu>\d+) accelerators)?(?: on queue "(?P<queue>\w+)")?'
)
def submit_for_tenant(context, tenant, job, count, kind, cpu, gpu, queue):
    tasks = Step(
        int(count),
        ResourceVector(1000 * int(cpu), MEMORY_MB, int(gpu or 0)),
        1.0,
        is_lasting=kind == "lasting task",
        is_filler="filler" in kind,
        is_gang=kind == "gang task",
        is_checkpointing="checkpointing" in kind,
    )
    context.fleet.submit(job, (tasks,), queue or "short", tenant=tenant)


@step(r'each of "(?P<names>[^"]*)" submits (?P<jobs>\d+) jobs of (?P<count>\d+) tasks')
def submit_for_each(context, names, jobs, count):
    tasks = Step(int(count), ResourceVector(1000, MEMORY_MB), 1.0)
    for number in range(int(jobs)):
        for name in names.split():
            context.fleet.submit(f"{name}j{number}", (tasks,), tenant=name)


@when(r"a new leader that lists no minion takes over")
def take_over_without_minions(context):
    fleet = context.fleet
    facts, fleet.facts = fleet.facts, {}
    fleet.take_over()
    fleet.facts = facts


@when(r'minion "(?P<name>\w+)" is listed again')
def list_again(context, name):
    context.fleet.scheduler.update_minion(context.fleet.facts[name], context.fleet.now)


@when(r"the unanswered starts are carried out late")
def carry_out_late(context):
    for order in context.fleet.sent:
        context.fleet.running[order.minion.minion_id][order.run.key] = order.run.run_id


@then(r"no planned run was withheld")
def check_none_withheld(context):
    context.fleet.plan()
    lost = [one for one in context.fleet.decisions if one.message == "run lost"]
    assert not lost, lost


def used(fleet, tenant):
    vector = fleet.scheduler.tenant_usage.of(tenant)
    return f"{vector.cpu // 1000} {vector.memory_mb} {vector.gpu}"


@then(r'tenant "(?P<tenant>\w+)" uses "(?P<expected>[\d ]+)"')
def check_usage(context, tenant, expected):
    assert used(context.fleet, tenant) == expected, used(context.fleet, tenant)


@then(r'the decisions about tenants are "(?P<expected>[^"]*)"')
def check_decisions(context, expected):
    found = [one.message for one in context.fleet.decisions if "tenant" in one.message]
    assert found == ([text.strip() for text in expected.split(",")] if expected else []), found


@then(r'the wait of job "(?P<job>\w+)" is explained by the limit of its tenant')
def check_explained_wait(context, job):
    waits = [one for one in context.fleet.decisions if one.message == "lasting task waits"]
    assert waits, context.fleet.decisions
    for wait in waits:
        assert (wait.job_id, wait.fields["tenant_allows"]) == (job, False), wait


def recomputed(fleet):
    usage = TenantUsage()
    for job in fleet.scheduler.jobs.values():
        for task in job.tasks.values():
            if task.is_assigned:
                room = job.submission.steps[task.key.step]
                usage.add(job.submission.tenant, "pool", task.key, task.run_id, room)
    return usage


@then(
    r"usage equals its recomputation in (?P<rounds>\d+) rounds of random events, seed (?P<seed>\d+)"
)
def check_random_events(context, rounds, seed):
    fleet, choose = context.fleet, random.Random(int(seed))
    for number in range(int(rounds)):
        tenant = choose.choice(["", "t", "u"])
        run_random_event(fleet, choose, number, tenant)
        fleet.run_round(choose.choice(list(StartOutcome)))
        expected = recomputed(fleet)
        usage = fleet.scheduler.tenant_usage
        assert usage.by_tenant == expected.by_tenant, (number, usage, expected)
        assert usage.by_owner == expected.by_owner, (number, usage, expected)
        tenants = {one.job_id: one for one in fleet.submitted if one.tenant == "t"}
        actual_cpu = 0
        for runs in fleet.running.values():
            owned = [key for key in runs if key.job_id in tenants]
            actual_cpu += sum(tenants[key.job_id].steps[key.step].room.cpu for key in owned)
        assert fleet.tenants["t"].limit.cpu >= actual_cpu, (number, actual_cpu)


def run_random_event(fleet, choose, number, tenant):
    running = [(name, key) for name, runs in fleet.running.items() for key in runs]
    names = sorted(fleet.facts)
    match choose.randrange(8):
        case 0 | 1 | 2:
            tasks = Step(
                choose.randint(1, 3), ResourceVector(1000, MEMORY_MB), 1.0,
                is_lasting=choose.random() < 0.2, is_gang=choose.random() < 0.2,
            )  # fmt: skip
            fleet.submit(f"r{number}", (tasks,), tenant=tenant)
        case 3 if running:
            name, key = choose.choice(running)
            if name not in fleet.silent:
                fleet.end(name, key, choose.choice([EndKind.DONE, EndKind.FAILED, EndKind.LAPSED]))
        case 4 if fleet.submitted:
            fleet.scheduler.cancel(choose.choice(fleet.submitted).job_id, fleet.now)
        case 5:
            name = choose.choice(names)
            fleet.silent ^= {name}
            minion = fleet.scheduler.minions.get(name)
            if minion is not None and name in fleet.silent:
                fleet.scheduler.mark_minion_silent(minion, "test", fleet.now)
        case 6:
            name = choose.choice(names)
            fleet.list_minion(name, born_ms=fleet.facts[name].born_ms + 1)
        case 7 if choose.random() < 0.3:
            fleet.take_over()
