from __future__ import annotations

import logging

from behave import given, then, use_step_matcher, when

from measure.leader_cost import (
    BURST_FACTOR,
    SETTLE_SECONDS,
    WARM_UP_SECONDS,
    LeaderFleet,
    WorkMeter,
    discarded_log,
)

use_step_matcher("re")


@given(r"a leader with relays under the load of the small twin of a large site")
def new_fleet(context):
    # The log is a part of the work.
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    log = discarded_log()
    log.__enter__()

    def restore_log():
        log.__exit__(None, None, None)
        root.handlers[:] = handlers
        root.setLevel(level)

    context.add_cleanup(restore_log)
    context.fleet = LeaderFleet(WorkMeter(is_counting_calls=True))
    context.add_cleanup(context.fleet.close)
    context.fleet.advance(SETTLE_SECONDS, 0.0)
    context.fleet.advance(WARM_UP_SECONDS, 1.0)


@when(r"its burst lasts for (?P<seconds>\d+) seconds")
def measure_burst(context, seconds):
    context.work = context.fleet.measure("burst", float(seconds), BURST_FACTOR)


@then(r"each task has cost it at most (?P<functions>\d+) executed functions")
def check_functions(context, functions):
    work = context.work
    # Otherwise the leader would have saved work by not starting tasks.
    assert work.starts >= 150 * work.seconds, work.starts
    count = work.work / work.ended_tasks
    assert count <= int(functions), f"{count:.0f} functions a task"
