from __future__ import annotations

from collections import Counter

from behave import then, use_step_matcher, when

from dotterelhill.control.tests.takeover_world import play

use_step_matcher("re")


@when(r'days with changes of the leader are played with seeds "(?P<seeds>[^"]*)"')
def play_days(context, seeds):
    context.faults, context.counts = [], Counter()
    for seed in seeds.split():
        faults, counts = play(int(seed))
        context.faults.extend((int(seed), text) for text in faults.values())
        context.counts += counts


@then(r"no work was forgotten, doubled or left waiting")
def check_faults(context):
    assert not context.faults, context.faults


@then(r"leaders were killed at least (?P<count>\d+) times and calls to minions were lost")
def check_coverage(context, count):
    assert context.counts["kills"] >= int(count), context.counts
    assert context.counts["late calls without effect"] > 0, context.counts
