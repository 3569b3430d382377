from __future__ import annotations

from behave import given, then, use_step_matcher, when

from dotterelhill.jobs.headroom import Estimate
from dotterelhill.jobs.model import Room, Step, TaskKey

use_step_matcher("re")

TURN_SECONDS = 0.1


def serving(count: int, image: str, target: int = 50, **more) -> Step:
    room = Room(2000, 100)
    return Step(count, room, 1.0, is_lasting=True, image=image, target_tail_ms=target, **more)


def fillers_of(context):
    for minion in context.fleet.scheduler.minions.values():
        for run in minion.runs.values():
            if run.step.is_filler:
                yield minion, run


def places_of(context, job: str) -> set[str]:
    places = set()
    for name, runs in context.fleet.running.items():
        if any(key.job_id == job for key in runs):
            places.add(name)
    return places


@given(
    r'serving job "(?P<job>\w+)" of image "(?P<image>\w+)" with target (?P<target>\d+) ms '
    r'on "(?P<names>[^"]*)"'
)
def submit_serving(context, job, image, target, names):
    step = serving(len(names.split()), image, int(target), anti_affinity=1)
    if names == "m1":
        step = serving(1, image, int(target), required_label="first")
        context.fleet.list_minion("m1", 32000, labels=("first", "r1"))
    context.fleet.submit(job, (step,))
    for _ in range(2):
        context.fleet.turn()
    assert places_of(context, job) == set(names.split())


@given(r'the tails of job "(?P<job>\w+)" are (?P<tail>\d+) ms for (?P<seconds>\d+) seconds')
def tails_of(context, job, tail, seconds):
    for index in range(4):
        context.fleet.tails[TaskKey(job, 0, 0, index)] = float(tail)
    for _ in range(round(int(seconds) / TURN_SECONDS)):
        context.fleet.turn()


@when(r"the tails beside fillers are (?P<tail>\d+) ms for (?P<seconds>\d+) seconds")
def tails_beside_fillers(context, tail, seconds):
    for _ in range(round(int(seconds) / TURN_SECONDS)):
        for minion in {minion for minion, _ in fillers_of(context)}:
            for run in minion.runs.values():
                if run.step.is_lasting:
                    context.fleet.tails[run.key] = float(tail)
                if run.step.is_filler:
                    context.fleet.tails[run.key] = run.step.room.cpu * run.pace / 100
        context.fleet.turn()


@given(r'the effect of "(?P<filler>\w+)" on "(?P<image>\w+)" is known to be (?P<value>\d+)')
def known_effect(context, filler, image, value):
    model = context.fleet.scheduler.sharing.model
    model.effects[image, filler] = Estimate(float(value), 0.01, context.fleet.now)


@when(r'job "(?P<job>\w+)" of (?P<count>\d+) fillers of image "(?P<image>\w+)" is submitted')
def submit_fillers(context, job, count, image):
    step = Step(
        int(count), Room(3000, 100), 60.0, is_filler=True, image=image, is_checkpointing=False
    )
    context.fleet.submit(job, (step,), "long")


@when(r'job "(?P<job>\w+)" of (?P<count>\d+) serving tasks of image "(?P<image>\w+)" is submitted')
def submit_more_serving(context, job, count, image):
    context.fleet.submit(job, (serving(int(count), image),))


@when(r"a new leader takes over with the stored estimates")
def take_over_with_estimates(context):
    record = context.fleet.scheduler.sharing.model.to_record()
    context.fleet.take_over()
    context.fleet.scheduler.sharing.model.load_record(record, context.fleet.now)


@when(r"(?P<seconds>\d+) seconds pass without a report")
def time_passes(context, seconds):
    context.fleet.now += int(seconds)


@then(r"(?P<count>\d+) fillers run")
def fillers_run(context, count):
    running = [str(run.key) for _, run in fillers_of(context)]
    assert len(running) == int(count), running


@then(r'no filler of job "(?P<job>\w+)" runs on "(?P<name>\w+)"')
def no_filler_on(context, job, name):
    assert name not in places_of(context, job), context.fleet.running


@then(
    r'every filler beside job "(?P<job>\w+)" is paced (?P<side>below|above) (?P<limit>\d+) percent'
)
def paced(context, job, side, limit):
    paces = [run.pace for _, run in fillers_of(context)]
    assert paces
    for pace in paces:
        assert (pace < int(limit)) if side == "below" else (pace > int(limit)), paces


@then(r'job "(?P<job>\w+)" runs on "(?P<name>\w+)" only')
def runs_only_on(context, job, name):
    assert places_of(context, job) == {name}, places_of(context, job)


@then(r'the effect of "(?P<filler>\w+)" on "(?P<image>\w+)" is (?P<value>\d+)')
def effect_is(context, filler, image, value):
    effect = context.fleet.scheduler.sharing.model.effect(image, filler)
    assert abs(effect - float(value)) < 1e-9, effect
