from __future__ import annotations

from collections import Counter

from behave import given, then, use_step_matcher, when

from dotterelhill.jobs.interference.headroom import Estimate, HeadroomModel
from dotterelhill.jobs.model import Step, TaskKey
from dotterelhill.jobs.resources import ResourceVector

use_step_matcher("re")

ROUND_SECONDS = 0.1
RECORD_BYTES = 262_144
PAIR_SECONDS = 0.1


def serving(count: int, image: str, target: int = 50, **more) -> Step:
    room = ResourceVector(2000, 100)
    return Step(count, room, 1.0, is_lasting=True, image=image, target_tail_ms=target, **more)


def fillers_of(context):
    for minion in context.fleet.scheduler.minions.values():
        for run in minion.runs.values():
            if run.step.is_filler:
                yield minion, run


def minions_running(context, job: str) -> set[str]:
    minion_names = set()
    for name, runs in context.fleet.running.items():
        if any(key.job_id == job for key in runs):
            minion_names.add(name)
    return minion_names


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
        context.fleet.run_round()
    assert minions_running(context, job) == set(names.split())


@given(r'the tails of job "(?P<job>\w+)" are (?P<tail>\d+) ms for (?P<seconds>\d+) seconds')
def run_with_tails(context, job, tail, seconds):
    for index in range(4):
        context.fleet.tails[TaskKey(job, 0, 0, index)] = float(tail)
    for _ in range(round(int(seconds) / ROUND_SECONDS)):
        context.fleet.run_round()


@when(r"the tails beside fillers are (?P<tail>\d+) ms for (?P<seconds>\d+) seconds")
def run_with_tails_beside_fillers(context, tail, seconds):
    for _ in range(round(int(seconds) / ROUND_SECONDS)):
        for minion in {minion for minion, _ in fillers_of(context)}:
            for run in minion.runs.values():
                if run.step.is_lasting:
                    context.fleet.tails[run.key] = float(tail)
                if run.step.is_filler:
                    context.fleet.tails[run.key] = run.step.room.cpu * run.pace / 100
        context.fleet.run_round()


@given(r'the effect of "(?P<filler>\w+)" on "(?P<image>\w+)" is known to be (?P<value>\d+)')
def set_effect(context, filler, image, value):
    model = context.fleet.scheduler.sharing.model
    model.effects[image, filler] = Estimate(float(value), 0.01, context.fleet.now)


@when(r"the answers to the newest pace orders are lost")
def lose_pace_answers(context):
    newest = {order.run.key: order for order in context.fleet.pace_orders}
    for order in newest.values():
        context.fleet.scheduler.pace_unanswered(order, context.fleet.now)
    context.noted_paces = len(context.fleet.paces)


@then(r"the pace of each filler was ordered at (?P<side>least|most) (?P<limit>\d+) times more")
def check_pace_orders(context, side, limit):
    counts = Counter(key for key, _ in context.fleet.paces[context.noted_paces :])
    for _, run in fillers_of(context):
        count = counts[run.key]
        assert (count >= int(limit)) if side == "least" else (count <= int(limit)), counts


@given(r'the tails on "(?P<name>\w+)" are (?P<tail>\d+) ms for (?P<seconds>\d+) seconds')
def run_with_tails_on(context, name, tail, seconds):
    for key in context.fleet.running[name]:
        context.fleet.tails[key] = float(tail)
    for _ in range(round(int(seconds) / ROUND_SECONDS)):
        context.fleet.run_round()


@when(
    r'job "(?P<job>\w+)" of (?P<count>\d+) (?P<checkpointing>checkpointing )?fillers '
    r'of image "(?P<image>\w+)" is submitted'
)
def submit_fillers(context, job, count, checkpointing, image):
    step = Step(
        int(count),
        ResourceVector(3000, 100),
        60.0,
        is_filler=True,
        image=image,
        is_checkpointing=bool(checkpointing),
    )
    context.fleet.submit(job, (step,), "long")


@when(r'job "(?P<job>\w+)" of (?P<count>\d+) serving tasks of image "(?P<image>\w+)" is submitted')
def submit_more_serving(context, job, count, image):
    context.fleet.submit(job, (serving(int(count), image),))


@when(r"a new leader takes over with the stored estimates")
def take_over_with_estimates(context):
    record = context.fleet.scheduler.sharing.model.to_record(RECORD_BYTES)
    context.fleet.take_over()
    context.fleet.scheduler.sharing.model.load_record(record, context.fleet.now)


@when(r"(?P<count>\d+) pairs of images with names of (?P<length>\d+) bytes run beside each other")
def observe_pairs(context, count, length):
    model, now = context.fleet.scheduler.sharing.model, context.fleet.now
    context.pairs = []
    for number in range(int(count)):
        serving_image, filler_image = (f"{name}{number}".ljust(int(length), "x") for name in "sf")
        now += PAIR_SECONDS
        shares = model.effect_shares(serving_image, {filler_image: 0.5}, now)
        model.observe(TaskKey("j", 0, 0, number), serving_image, 2.0, shares, now)
        context.pairs.append((serving_image, filler_image))


@then(
    r"the stored estimates take at most (?P<size>\d+) bytes, with the newest (?P<count>\d+) pairs"
)
def check_stored_estimates(context, size, count):
    model = context.fleet.scheduler.sharing.model
    record = model.to_record(int(size))
    assert len(record) <= int(size), len(record)
    restored = HeadroomModel()
    restored.load_record(record, context.fleet.now)
    kept = context.pairs[-int(count) :]
    assert all(pair in restored.effects for pair in kept), len(restored.effects)
    assert all(pair[0] in restored.troughs for pair in kept), len(restored.troughs)


@then(r"the leader knows at most (?P<effects>\d+) effects and (?P<troughs>\d+) troughs")
def check_known_estimates(context, effects, troughs):
    model = context.fleet.scheduler.sharing.model
    assert len(model.effects) <= int(effects), len(model.effects)
    assert len(model.troughs) <= int(troughs), len(model.troughs)


@when(r"(?P<seconds>\d+) seconds pass without a scheduling round")
def advance_clock(context, seconds):
    context.fleet.now += int(seconds)


@then(r"(?P<count>\d+) fillers run")
def check_filler_count(context, count):
    running = [str(run.key) for _, run in fillers_of(context)]
    assert len(running) == int(count), running


@then(r'no filler of job "(?P<job>\w+)" runs on "(?P<name>\w+)"')
def check_no_filler_on(context, job, name):
    assert name not in minions_running(context, job), context.fleet.running


@then(
    r'every filler beside job "(?P<job>\w+)" is paced (?P<side>below|above) (?P<limit>\d+) percent'
)
def check_pace(context, job, side, limit):
    paces = [run.pace for _, run in fillers_of(context)]
    assert paces
    for pace in paces:
        assert (pace < int(limit)) if side == "below" else (pace > int(limit)), paces


@then(r'job "(?P<job>\w+)" runs on "(?P<name>\w+)" only')
def check_job_only_on(context, job, name):
    assert minions_running(context, job) == {name}, minions_running(context, job)


@then(r'the effect of "(?P<filler>\w+)" on "(?P<image>\w+)" is (?P<value>\d+)')
def check_effect(context, filler, image, value):
    effect = context.fleet.scheduler.sharing.model.effect(image, filler)
    assert abs(effect - float(value)) < 1e-9, effect
