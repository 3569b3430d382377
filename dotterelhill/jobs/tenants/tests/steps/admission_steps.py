from __future__ import annotations

import math
from dataclasses import replace
from random import Random

from behave import given, then, use_step_matcher, when

from dotterelhill.jobs.queues import Tenant
from dotterelhill.jobs.tenants.admission import AdmissionPolicy, AdmittedRate, EntryAdmission
from dotterelhill.jobs.tenants.loads import TenantLoad

use_step_matcher("re")


@given(
    r"a tenant of weight (?P<weight>[\d.]+) with (?P<arrivals>[\d.]+) arrivals and "
    r"(?P<starts>[\d.]+) starts per second, (?P<drain>[\d.]+) s of work"
)
def set_load(context, weight, arrivals, starts, drain):
    context.policy = AdmissionPolicy()
    context.tenant = Tenant("t", float(weight))
    context.load = TenantLoad(9, float(arrivals), float(starts), True, float(drain), False)


@given(r"its service (?P<has>lacks|has) capacity")
def set_capacity(context, has):
    context.load = replace(context.load, is_short=has == "lacks")


@when(r"its arrivals fall to (?P<arrivals>[\d.]+) per second")
def lower_arrivals(context, arrivals):
    context.load = replace(context.load, arrivals_per_second=float(arrivals))


@when(r"its backlog is drained")
def drain(context):
    context.load = replace(context.load, drain_seconds=0.5, is_short=False)


@then(r"the leader names (?:no rate|a rate of (?P<rate>[\d.]+)) for it")
def check_rate(context, rate):
    rates = context.policy.rates({"t": context.load}, {"t": context.tenant})
    found = rates.get("t")
    if rate is None:
        assert found is None, found
    else:
        assert found is not None and abs(found.jobs_per_second - float(rate)) < 0.01, found


@given(r"(?P<count>\d+) processes and a tenant whose admitted rate is (?P<rate>[\d.]+) per second")
def new_processes(context, count, rate):
    context.processes = [EntryAdmission(Random(number)) for number in range(int(count))]
    context.rate = float(rate)


@when(
    r"it sends (?P<demand>\d+) jobs per second for (?P<seconds>\d+) s to (?P<targets>\d+) of them"
)
def send_jobs(context, demand, seconds, targets):
    tenant = Tenant("t", 1.0)
    arrivals = 0.0
    context.accepted = 0
    for number in range(int(demand) * int(seconds)):
        now = number / int(demand)
        arrivals *= math.exp(-1 / int(demand) / 3.0)
        if now >= 1.0:
            # The leader has noticed the load, and its newest message is known everywhere.
            rates = {"t": AdmittedRate(context.rate, arrivals, 8.0)}
        else:
            rates = {}
        for process in context.processes:
            process.receive(rates, len(context.processes), now)
        if context.processes[number % int(targets)].admit(tenant, now) is None:
            arrivals += 1 / 3.0
            context.accepted += now >= 1.0


@then(r"between (?P<least>\d+) and (?P<most>\d+) jobs are accepted after the first second")
def check_accepted(context, least, most):
    assert int(least) <= context.accepted <= int(most), context.accepted


@given(
    r"a process whose last message of the leader is (?P<age>\S+?)(?: s old)?, and which named no "
    r"rate"
)
def set_message(context, age):
    context.process = EntryAdmission(Random(1))
    context.begin = 100.0
    context.age = age
    if age != "never":
        context.process.receive({}, 10, context.begin - float(age))


@when(r"a tenant of weight 2 sends 100 jobs at once, and again 100 after 2 s")
def send_twice(context):
    tenant = Tenant("t", 2.0)
    context.counts = []
    for now in (context.begin, context.begin + 2.0):
        if context.age == "0.5":
            context.process.receive({}, 10, now)
        refusals = [context.process.admit(tenant, now) for _ in range(100)]
        context.counts.append(refusals.count(None))


@then(r"(?P<first>\d+) and (?P<second>\d+) of them are accepted")
def check_counts(context, first, second):
    assert context.counts == [int(first), int(second)], context.counts


@when(r"times to wait are chosen for backlogs of 0.2, 3 and 60 s")
def choose_times(context):
    admission = EntryAdmission(Random(5))
    context.times = {
        backlog: [admission.retry_seconds(backlog) for _ in range(200)] for backlog in (0.2, 3, 60)
    }


@then(r"all are between 1 and 10 s, and those of one backlog differ")
def check_times(context):
    for backlog, times in context.times.items():
        assert 1 <= min(times) and max(times) <= 10, (backlog, times)
        assert backlog < 1 or len(set(times)) > 1, (backlog, times)
    assert min(context.times[60]) >= 7 and max(context.times[3]) <= 4, context.times
