from __future__ import annotations

from behave import then, use_step_matcher, when

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


@then(r"the store has refused no append for its size")
def check_sizes(context):
    assert not context.cluster.store.oversized, context.cluster.store.oversized[:3]


@then(r"the next leader knows estimates of the newest images")
def check_next_estimates(context):
    assert context.newest_pair in leader_of(context).scheduler.sharing.model.effects
