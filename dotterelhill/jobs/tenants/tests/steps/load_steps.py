from __future__ import annotations

from behave import then, use_step_matcher, when

from dotterelhill.jobs.fleet import EndKind
from dotterelhill.jobs.model import Step
from dotterelhill.jobs.orders import StartOutcome
from dotterelhill.jobs.resources import ResourceVector

use_step_matcher("re")

ROUND_SECONDS = 0.1


def load_of(fleet, tenant):
    return fleet.scheduler.tenant_loads(fleet.now)[tenant]


@when(r"a round with at most (?P<count>\d+) starts passes")
def run_limited_round(context, count):
    fleet = context.fleet
    fleet.plan(int(count))
    fleet.deliver(fleet.commit(), StartOutcome.STARTED)


@when(r'minions "(?P<names>[^"]*)" are no longer listed')
def unlist(context, names):
    for name in names.split():
        context.fleet.scheduler.mark_minion_unlisted(name)


@when(r'tenant "(?P<tenant>\w+)" submits (?P<rate>\d+) jobs a second for (?P<seconds>\d+) seconds')
def submit_at_rate(context, tenant, rate, seconds):
    fleet, count = context.fleet, 0
    step = Step(1, ResourceVector(1000, 100), 1.0)
    for number in range(round(int(seconds) / ROUND_SECONDS)):
        while count < number * ROUND_SECONDS * int(rate):
            fleet.submit(f"{tenant}late{count}", (step,), tenant=tenant)
            count += 1
        fleet.run_round()


@when(r"the oldest run ends every 0.2 seconds for (?P<seconds>\d+) seconds")
def end_runs(context, seconds):
    fleet = context.fleet
    for number in range(round(int(seconds) / ROUND_SECONDS)):
        fleet.run_round()
        running = [(name, key) for name, runs in fleet.running.items() for key in runs]
        if number % 2:
            name, key = min(running, key=lambda one: int(one[1].job_id[2:]))
            fleet.end(name, key, EndKind.DONE)


@then(
    r'the load of tenant "(?P<tenant>\w+)" has is_short (?P<short>\w+) '
    r"and waits_for_capacity (?P<waits>\w+)"
)
def check_capacity(context, tenant, short, waits):
    load = load_of(context.fleet, tenant)
    assert (str(load.is_short), str(load.waits_for_capacity)) == (short, waits), load


@then(r'tenant "(?P<tenant>\w+)" has (?P<count>\d+) waiting jobs')
def check_waiting_jobs(context, tenant, count):
    load = load_of(context.fleet, tenant)
    assert load.waiting_jobs == int(count), load


@then(
    r'tenant "(?P<tenant>\w+)" has arrivals of (?P<low>[\d.]+) to (?P<high>[\d.]+) '
    r"and starts of (?P<least>[\d.]+) to (?P<most>[\d.]+) a second"
)
def check_rates(context, tenant, low, high, least, most):
    load = load_of(context.fleet, tenant)
    assert float(low) <= load.arrivals_per_second <= float(high), load
    assert float(least) <= load.starts_per_second <= float(most), load


@then(
    r'the backlog of tenant "(?P<tenant>\w+)" is expected to drain '
    r"within (?P<low>\d+) to (?P<high>\d+) seconds"
)
def check_drain(context, tenant, low, high):
    load = load_of(context.fleet, tenant)
    assert float(low) <= load.drain_seconds <= float(high), load


@then(r"there are loads of (?P<count>\d+) tenants")
def check_load_count(context, count):
    loads = context.fleet.scheduler.tenant_loads(context.fleet.now)
    assert len(loads) == int(count), loads


@then(
    r"the gauges have (?P<labels>\d+) labels, (?P<running>\d+) running and (?P<waiting>\d+) "
    r"waiting tasks, and a share of (?P<used>\d+) of 16"
)
def check_gauges(context, labels, running, waiting, used):
    gauges = context.fleet.scheduler.tenant_gauges()
    assert len({label for _, label in gauges}) == int(labels), gauges
    for name, total in (("running_tasks", running), ("waiting_tasks", waiting)):
        found = [value for key, value in gauges.items() if key[0] == f"tenants.{name}"]
        assert sum(found) == int(total), found
    shares = [value for key, value in gauges.items() if key[0] == "tenants.share"]
    assert max(shares) == int(used) / 16, shares
