from __future__ import annotations

from dataclasses import replace

from behave import then, use_step_matcher, when

from dotterelhill.control.config_exchange import entry_notice

use_step_matcher("re")


@when(r"the leader may use (?P<own>\d+) MB, and a connected process (?P<other>\d+) MB")
def limit_memory(context, own, other):
    leader = context.cluster.processes[context.first_leader].election.leader
    leader._parts = replace(leader._parts, memory_mb=float(own))
    context.cluster.memory_mb = float(other)


@then(r"the leader (?P<verdict>refuses|accepts) further jobs")
def check_verdict(context, verdict):
    process = context.cluster.processes[context.first_leader]
    notice = entry_notice(process.configuration, 0.0, process.election.leader)
    assert notice.is_full is (verdict == "refuses"), process.election.leader.gauges()
