from __future__ import annotations

from itertools import pairwise
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when

from dotterelhill.jobs.fleet import Minion, MinionFacts
from dotterelhill.jobs.model import Step
from dotterelhill.jobs.placement.attempts import Attempts
from dotterelhill.jobs.placement.filler_claims import FillerClaims
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


@given("a filler that fits on none of {count:d} minions")
def given_filler(context, count):
    capacity = ResourceVector(4000, 4000)
    context.minions = [
        Minion(MinionFacts(f"m{i}", 1, "pool", f"m{i}:1", "d", (), capacity), lease_until=0.0)
        for i in range(count)
    ]
    context.step = Step(1, ResourceVector(8000, 100), is_filler=True, image="i")


@given("rounds of {search:g} s in which it is tried on all minions, and of {other:g} s else")
def given_rounds(context, search, other):
    context.search_seconds, context.other_seconds = search, other


@when("rounds are planned for {seconds:g} s, with pauses of {pause:g} s")
def when_planned(context, seconds, pause):
    attempts = Attempts(SimpleNamespace(claimed_cpu=lambda minion: 0))
    now = context.searching_seconds = 0.0
    context.searched_at = []
    context.seconds = seconds
    while now < seconds:
        attempts.begin_round({"pool": context.minions}, (), (), now)
        size = attempts.size_of(context.step, "pool")
        planning_seconds = context.other_seconds
        if attempts.candidates(size, context.minions):
            planning_seconds = context.search_seconds
            context.searched_at.append(now)
            context.searching_seconds += planning_seconds
            attempts.record_failure(size)
        attempts.record_planning(planning_seconds)
        now += planning_seconds + pause


@then("it was tried on all minions for {least:g} to {most:g} of the time")
def then_share(context, least, most):
    share = context.searching_seconds / context.seconds
    assert least <= share <= most + 1e-9, share


@then("it was tried at least each {seconds:g} s")
def then_interval(context, seconds):
    times = context.searched_at
    longest = max(later - earlier for earlier, later in pairwise(times))
    assert longest <= seconds, longest


@when("it runs for {rounds:d} rounds and searches for claimed minions are counted")
def when_counted(context, rounds):
    load = context.loads[0]
    context.searches = []
    with patch.object(
        FillerClaims, "_choose_minion", autospec=True, side_effect=FillerClaims._choose_minion
    ) as search:
        for _ in range(rounds):
            before = search.call_count
            load.run_round()
            context.searches.append(search.call_count - before)


@then("there was at most {most:d} search in each round, and more than {least:d} in all")
def then_searches(context, most, least):
    assert max(context.searches) <= most and sum(context.searches) > least, context.searches
