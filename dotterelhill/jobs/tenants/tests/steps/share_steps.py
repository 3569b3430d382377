from __future__ import annotations

from collections import Counter
from dataclasses import replace

from behave import given, then, use_step_matcher, when

from dotterelhill.jobs.fleet import EndKind
from dotterelhill.jobs.model import Step
from dotterelhill.jobs.queues import Tenant
from dotterelhill.jobs.resources import ResourceVector

use_step_matcher("re")


def starts_by_tenant(fleet):
    tenants = {submission.job_id: submission.tenant for submission in fleet.submitted}
    return Counter(tenants[order.run.key.job_id] for order in fleet.sent)


@given(r'minion "(?P<name>\w+)" has (?P<cpu>\d+) processors and (?P<memory>\d+) MB')
def set_size(context, name, cpu, memory):
    context.fleet.list_minion(name, 1000 * int(cpu), memory_mb=int(memory))


@given(
    r'tenant "(?P<tenant>\w+)" submits (?P<jobs>\d+) jobs of (?P<cpu>\d+) processors '
    r'and (?P<memory>\d+) MB(?: to pool "(?P<pool>\w+)")?'
)
def submit_sized(context, tenant, jobs, cpu, memory, pool):
    fleet = context.fleet
    if pool:
        fleet.queues[pool] = replace(fleet.queue(pool, 0), service=pool)
        fleet.configure()
    step = Step(1, ResourceVector(1000 * int(cpu), int(memory)), 1.0)
    for number in range(int(jobs)):
        fleet.submit(f"{tenant}{pool or ''}s{number}", (step,), pool or "short", tenant=tenant)


@given(r"(?P<count>\d+) tenants of which (?P<active>\d+) submit (?P<jobs>\d+) jobs of 1 tasks")
def submit_for_many(context, count, active, jobs):
    fleet = context.fleet
    for number in range(int(count)):
        fleet.tenants[f"t{number}"] = Tenant(f"t{number}")
    fleet.configure()
    step = Step(1, ResourceVector(1000, 100), 1.0)
    for number in range(int(active)):
        for job in range(int(jobs)):
            fleet.submit(f"t{number}j{job}", (step,), tenant=f"t{number}")


@when(r"(?P<seconds>\d+) seconds pass")
def pass_time(context, seconds):
    fleet = context.fleet
    for _ in range(round(int(seconds) / 0.1)):
        fleet.poll()
        fleet.now += 0.1


@when(r"(?P<count>\d+) runs end and (?P<rounds>\d+) rounds pass")
def end_runs(context, count, rounds):
    fleet = context.fleet
    running = [(name, key) for name, runs in fleet.running.items() for key in runs]
    for name, key in running[: int(count)]:
        fleet.end(name, key, EndKind.DONE)
    for _ in range(int(rounds)):
        fleet.run_round()


@then(r'the starts of tenants were "(?P<expected>[^"]*)"')
def check_starts(context, expected):
    words = expected.split()
    counts = dict(zip(words[::2], map(int, words[1::2]), strict=True))
    assert starts_by_tenant(context.fleet) == counts, starts_by_tenant(context.fleet)


@then(r"each of the (?P<count>\d+) tenants has (?P<low>\d+) or (?P<high>\d+) starts")
def check_each(context, count, low, high):
    starts = starts_by_tenant(context.fleet)
    assert len(starts) == int(count), starts
    assert set(starts.values()) == {int(low), int(high)}, starts
