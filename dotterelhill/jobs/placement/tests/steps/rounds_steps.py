from __future__ import annotations

from behave import given, then, when

from dotterelhill.jobs.placement.tests.former_ranking import (
    FormerAttempts,
    FormerOrder,
    FormerRanking,
)
from dotterelhill.jobs.placement.tests.random_load import RandomLoad


@given("a random load with seed {seed:d}, {tenants:d} tenants and {percent:d} % lasting tasks")
def given_load(context, seed, tenants, percent):
    context.loads = [RandomLoad(seed, tenants, percent / 100.0) for _ in range(2)]


@given("the same load with all that is kept between rounds computed anew")
def given_former(context):
    scheduler = context.loads[1].scheduler
    scheduler._placement._ranking = FormerRanking(scheduler.durations)
    scheduler._placement._attempts = FormerAttempts()
    scheduler._placement._minion_order = FormerOrder()


@when("both run for {rounds:d} rounds")
def when_run(context, rounds):
    context.starts = [[load.run_round() for _ in range(rounds)] for load in context.loads]


@then("they choose the same starts in the same order")
def then_same(context):
    starts, expected = context.starts
    assert sum(map(len, expected)) > 100, sum(map(len, expected))
    for number, (chosen, former) in enumerate(zip(starts, expected, strict=True)):
        assert chosen == former, f"round {number}: {chosen} instead of {former}"
