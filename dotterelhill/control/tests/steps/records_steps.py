from __future__ import annotations

from behave import then, use_step_matcher, when

from dotterelhill.control.interface import StoreLimits, Stream
from dotterelhill.control.tests.steps.cluster_steps import non_leader_name
from dotterelhill.jobs.interference.headroom import Estimate

use_step_matcher("re")


def leader_of(context):
    return context.cluster.processes[context.cluster.leaders[0]].election.leader


@when(
    r"(?P<count>\d+) pairs of images with names of (?P<length>\d+) bytes have run beside each other"
)
def add_estimates(context, count, length):
    effects = leader_of(context).scheduler.sharing.model.effects
    for number in range(int(count)):
        context.newest_pair = tuple(f"{name}{number}".ljust(int(length), "x") for name in "sf")
        effects[context.newest_pair] = Estimate(1.5, 0.1, float(number))


@when(
    r"the store takes records of at most (?P<record>\d+) bytes and calls of at most "
    r"(?P<call>\d+) bytes"
)
def limit_sizes(context, record, call):
    cluster = context.cluster
    cluster.store.limits = StoreLimits(int(record), int(call))
    # The processes read the limits when they start.
    for name in list(cluster.processes):
        cluster.kill(name)
    for name in list(cluster.processes):
        cluster.start(name)
    cluster.advance(5.0)


@when(r'job "(?P<job>\w+)" of (?P<count>\d+) tasks is submitted there as well')
def submit_more(context, job, count):
    context.cluster.submit(non_leader_name(context), job, int(count))


@when(r'the store refuses each record of job "(?P<job>\w+)"')
def refuse_records(context, job):
    for process in context.cluster.processes.values():
        process.store.refused_progress.add(job)


@when(r"the store accepts all records again")
def accept_records(context):
    for process in context.cluster.processes.values():
        process.store.refused_progress.clear()


@then(
    r"a leader tells at most (?P<most>\d+) times that progress of job \"(?P<job>\w+)\" is refused, "
    r"and counts 1 such job"
)
def check_refusals(context, most, job):
    message = "progress is refused by the store; its job is held"
    lines = [one.extra for one in context.leader_log.records if one.message == message]
    assert 1 <= len(lines) <= int(most) and {one["job"] for one in lines} == {job}, lines
    assert leader_of(context).gauges()["jobs.unstored"] == 1


@then(r"the store holds no progress")
def check_no_progress(context):
    left = context.cluster.store.newest((Stream.PROGRESS, 0)).records
    assert not [one.key for one in left if not one.key.startswith("@")], left


@then(r"the store has refused no append for its size")
def check_sizes(context):
    assert not context.cluster.store.oversized, context.cluster.store.oversized[:3]


@then(r"the next leader knows estimates of the newest images")
def check_next_estimates(context):
    assert context.newest_pair in leader_of(context).scheduler.sharing.model.effects
