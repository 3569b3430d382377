from __future__ import annotations

from behave import given, then, when

from dotterelhill.entry.explanations import ledger_explainers
from dotterelhill.ledger import Assign, Capacity, Holders, Placements
from dotterelhill.manifest import manifest_from_document

LIMITS = {"requests_per_second": 1, "in_flight": 1, "cpu": 16, "memory_gb": 100}


def manifest(jobs):
    return manifest_from_document(
        {
            "members": {"m": {"limits": LIMITS, "teams": {"t": {"cpu": 16, "memory_gb": 100}}}},
            "limits": LIMITS,
            "failure_domains": {
                "caxias": {"region": "serra"},
                "gramado": {"region": "serra", "state": "out"},
            },
            "jobs": jobs,
        }
    )


@given("a ledger with workers w1 in domain caxias and w2 in domain gramado, which is out")
def make_ledger(context):
    context.placements = Placements()
    context.infeasible = {}
    context.placements.adopt(1, manifest({}))
    for name, domain in (("w1", "caxias"), ("w2", "gramado")):
        context.placements.set_capacity(
            Capacity(
                worker=name,
                rack="r1",
                failure_domain=domain,
                cpu=10.0,
                memory_gb=100.0,
                accelerators=0,
            )
        )


@given("job sync has 2 tasks of {cpu:g} processors, of which one runs on w1")
def declare_job(context, cpu):
    context.placements = Placements()
    make_ledger(context)
    job = {"member": "m", "team": "t", "tasks": 2, "cpu": cpu}
    context.placements.adopt(1, manifest({"sync": job}))
    record = Assign(task="sync@1/0", worker="w1", attempt=1, checkpoint="", writer="e/1")
    assert context.placements.assign(9, record) is None


@given('job sync can never run because "{reason}"')
def make_infeasible(context, reason):
    context.infeasible = {"sync": reason}


@when("{kind:w} {name} is explained")
def explain(context, kind, name):
    explainers = ledger_explainers(context.placements, Holders(), lambda: context.infeasible)
    context.explanation = explainers[kind](name)


@then('it is "{condition}"')
def check_condition(context, condition):
    assert context.explanation.condition == condition, context.explanation


@then('a reason is "{reason}"')
def check_reason(context, reason):
    assert reason in context.explanation.reasons, context.explanation


@then("there is no explanation")
def check_none(context):
    assert context.explanation is None
