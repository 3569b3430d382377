from __future__ import annotations

import os

from behave import then, when

from dotterelhill.jobs.tests.short_crowd_world import play_crowd
from dotterelhill.jobs.tests.start_promise_world import play_history


@when("{count:d} random histories with troubles, new leaders and a calm end are played")
def play_histories(context, count):
    first_seed = int(os.environ.get("START_PROMISE_SEED", "0"))
    count = int(os.environ.get("START_PROMISE_COUNT", count))
    context.histories = {seed: play_history(seed) for seed in range(first_seed, first_seed + count)}


@when("the history of a fleet full of lasting tasks with short jobs is played, seed {seed:d}")
def play_crowd_history(context, seed):
    context.histories = {seed: play_crowd(seed)}


@then("in none of them a start was overdue, a finite job did not end or a task ran twice")
def check_promises(context):
    broken = {
        seed: world.violations for seed, world in context.histories.items() if world.violations
    }
    assert not broken, broken


@then("together they had at least {leaders:d} new leaders, {starts:d} starts and {stops:d} stops")
def check_history_sizes(context, leaders, starts, stops):
    worlds = context.histories.values()
    new_leaders = sum(world.leader_count - 1 for world in worlds)
    start_count = sum(world.start_count for world in worlds)
    stop_count = sum(world.stop_count for world in worlds)
    counts = (new_leaders, start_count, stop_count)
    assert new_leaders >= leaders and start_count >= starts and stop_count >= stops, counts


@then("lasting runs were stopped for short tasks {times:d} times")
def check_preemptions(context, times):
    counts = [world.preemption_count for world in context.histories.values()]
    assert sum(counts) >= times, counts
