from __future__ import annotations

from behave import given, then, use_step_matcher, when

from dotterelhill.jobs.model import ResourceVector, Step

use_step_matcher("re")


@given(r'minions? "(?P<names>[^"]*)" (?:has|have) (?P<cpu>\d+) processors')
@when(r'minions? "(?P<names>[^"]*)" (?:has|have) (?P<cpu>\d+) processors')
def resize_processors(context, names, cpu):
    for name in names.split():
        context.fleet.list_minion(name, 1000 * int(cpu))


@given(r'minion "(?P<name>\w+)" is in failure domain "(?P<domain>\w+)"')
def move_minion(context, name, domain):
    context.fleet.list_minion(name, domain=domain)


@given(r'job "(?P<job>\w+)" of (?P<count>\d+) fillers? of (?P<cpu>\d+) thousandths .* submitted')
@when(r'job "(?P<job>\w+)" of (?P<count>\d+) fillers? of (?P<cpu>\d+) thousandths .* submitted')
def submit_small_fillers(context, job, count, cpu):
    room = ResourceVector(int(cpu), 100)
    step = Step(int(count), room, 1.0, is_filler=True, image="print")
    context.fleet.submit(job, (step,), "long")


@then(r'the known effect of "(?P<filler>\w+)" on "(?P<image>\w+)" is still at least (?P<least>\d+)')
def check_effect(context, filler, image, least):
    effect = context.fleet.scheduler.sharing.model.effect(image, filler)
    assert effect >= float(least), effect


@then(r"no plan was withheld")
def check_no_withheld_plan(context):
    decisions = context.fleet.scheduler.take_decisions()
    assert not [decision for decision in decisions if decision.kind == "run lost"], decisions


@when(r"the list of minions can(?P<negation>'t)? be read(?: again)?")
def silence_list(context, negation):
    context.fleet.is_list_silent = bool(negation)


@when(r"the writing of the plan takes (?P<seconds>[\d.]+) seconds")
def pass_time(context, seconds):
    context.fleet.now += float(seconds)
