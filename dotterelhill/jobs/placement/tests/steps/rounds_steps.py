from __future__ import annotations

from behave import given, then, when

from dotterelhill.jobs.fleet import Minion, MinionFacts
from dotterelhill.jobs.placement.round_costs import RoundCosts
from dotterelhill.jobs.placement.tests.former_ranking import (
    FormerAttempts,
    FormerCosts,
    FormerOrder,
    FormerRanking,
)
from dotterelhill.jobs.placement.tests.random_load import RandomLoad
from dotterelhill.jobs.resources import ResourceVector


@given("a random load with seed {seed:d}, {tenants:d} tenants and {percent:d} % lasting tasks")
def given_load(context, seed, tenants, percent):
    context.loads = [RandomLoad(seed, tenants, percent / 100.0) for _ in range(2)]


@given("the same load with all that is kept between rounds computed anew")
def given_former(context):
    scheduler = context.loads[1].scheduler
    scheduler._placement._ranking = FormerRanking(scheduler.durations)
    scheduler._placement._attempts = FormerAttempts()
    scheduler._placement._minion_order = FormerOrder()
    scheduler._placement._round_costs = FormerCosts()


@when("both run for {rounds:d} rounds")
def when_run(context, rounds):
    context.starts = [[load.run_round() for _ in range(rounds)] for load in context.loads]


@then("they choose the same starts in the same order")
def then_same(context):
    starts, expected = context.starts
    assert sum(map(len, expected)) > 100, sum(map(len, expected))
    for number, (chosen, former) in enumerate(zip(starts, expected, strict=True)):
        assert chosen == former, f"round {number}: {chosen} instead of {former}"


@given("costs of a round in which the only minion is {condition}")
def given_costs(context, condition):
    facts = MinionFacts("m", 1, "pool", "m:1", "d", (), ResourceVector(4000, 4000))
    context.minion = Minion(facts, lease_until=0.0)
    if condition == "slow":
        context.minion.speed.ratio = 4.0
    context.costs = RoundCosts()
    context.costs.begin_round([context.minion] if condition == "claimed" else [])


@when("a task may start there, and then an equal one of another job may not")
def when_costs(context):
    for answer in ((1.0,), None):
        cost_on = context.costs.shared("kind", lambda minion, answer=answer: answer)
        context.answer = cost_on(context.minion)


@then("the second one gets {answer}")
def then_cost(context, answer):
    assert context.answer == (None if answer == "no cost" else (1.0,)), context.answer
