from __future__ import annotations

from dataclasses import replace
from random import Random

import msgspec
from behave import given, then, use_step_matcher, when

from dotterelhill.jobs.durations.tests.copy_world import CopyWorld
from dotterelhill.jobs.fleet import EndKind
from dotterelhill.jobs.model import Job, Step, TaskKey
from dotterelhill.jobs.orders import StartOutcome
from dotterelhill.jobs.progress import apply_progress
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tests.fleet_world import FleetWorld

use_step_matcher("re")

ROUND_SECONDS = 0.1
COPIED = Step(1, ResourceVector(1000, 100), 1.0, image="copied", is_speculative=True)
USUAL = replace(COPIED, is_speculative=False)
KINDS = {
    "speculative": COPIED,
    "usual": USUAL,
    "lasting": replace(USUAL, is_lasting=True),
}


def learn(fleet, low=0.9, high=1.1, count=40):
    for number in range(count):
        seconds = low + (high - low) * number / count
        fleet.scheduler.durations.record("short", COPIED, seconds)


def run_rounds(fleet, seconds):
    for _ in range(round(float(seconds) / ROUND_SECONDS)):
        fleet.run_round()


def key_of(context):
    return TaskKey("a", 0, 0, context.index)


def minion_of(context, run_id):
    for name, runs in context.fleet.running.items():
        if runs.get(key_of(context)) == run_id:
            return name
    raise AssertionError((run_id, context.fleet.running))


def end_run(context, run_id, kind):
    context.fleet.end(minion_of(context, int(run_id)), key_of(context), EndKind(kind))


@given(r"20 minions of 4 processors on which tasks took 1 second")
def new_fleet(context):
    context.fleet, context.index = FleetWorld(), 0
    context.fleet.queues["short"] = replace(context.fleet.queues["short"], max_attempts=3)
    context.fleet.configure()
    for number in range(20):
        context.fleet.list_minion(f"m{number}")
    context.fleet.run_round()
    learn(context.fleet)


@given(r'job "(?P<job>\w+)" of (?P<count>\d+) (?P<kind>speculative |lasting |usual )?tasks?')
def submit(context, job, count, kind):
    context.fleet.submit(job, (replace(KINDS[(kind or "usual").strip()], count=int(count)),))


@given(r'job "a" of 1 speculative task with a copy')
def submit_with_copy(context):
    submit(context, "a", 1, "speculative")
    run_rounds(context.fleet, 4.0)
    assert len(context.fleet.sent) == 2, context.fleet.sent


@given(r'job "a" of 2 speculative tasks, the second one with a copy')
def submit_two_with_copy(context):
    submit(context, "a", 2, "speculative")
    context.index = 1
    run_rounds(context.fleet, 1.0)
    first = TaskKey("a", 0, 0, 0)
    for minion in context.fleet.scheduler.minions.values():
        if first in minion.runs:
            # A run that was throttled has no copy.
            minion.runs[first].is_partial = True
        if key_of(context) in minion.runs:
            for _ in range(10):
                minion.speed.record(8.0, 1.0, context.fleet.now)
    run_rounds(context.fleet, 3.0)
    assert len(context.fleet.sent) == 3, context.fleet.sent


@given(r'job "a" of 1 speculative task with a planned copy')
def submit_with_planned_copy(context):
    fleet = context.fleet
    submit(context, "a", 1, "speculative")
    for _ in range(40):
        fleet.poll()
        fleet.plan()
        if fleet.changes.starts and fleet.sent:
            return
        fleet.deliver(fleet.commit(), StartOutcome.STARTED)
        fleet.now += ROUND_SECONDS
    raise AssertionError("no copy was planned")


@given(r'job "a" of 2 tasks whose minion is cut off until its lease is over and others are full')
def submit_cut_off(context):
    fleet = context.fleet
    submit(context, "a", 2, "usual")
    run_rounds(fleet, 1.0)
    context.cut_off = minion_of(context, 1)
    fleet.silent.add(context.cut_off)
    minion = fleet.scheduler.minions[context.cut_off]
    fleet.scheduler.mark_minion_silent(minion, "no answer", fleet.now)
    fleet.submit("full", (replace(USUAL, count=76),))
    run_rounds(fleet, 7.5)
    assert not fleet.scheduler.jobs["a"].task(key_of(context)).is_assigned
    fleet.sent.clear()


@when(r"the minion reports the first of them as done")
def report_done(context):
    end_run(context, 1, "done")
    context.fleet.running[context.cut_off].clear()
    context.fleet.silent.clear()
    context.fleet.poll()


@when(r"all minions become free and (?P<seconds>[\d.]+) seconds pass in rounds")
def free_all(context, seconds):
    for name, runs in context.fleet.running.items():
        for key in list(runs):
            context.fleet.end(name, key, EndKind.DONE)
    run_rounds(context.fleet, seconds)


@given(r"nothing more")
def change_nothing(context):
    pass


@given(r"the (?P<what>copies|restarts) are switched off")
def switch_off(context, what):
    fleet = context.fleet
    fleet.settings = replace(fleet.settings, **{f"are_{what}_enabled": False})
    fleet.take_over()
    fleet.run_round()
    learn(fleet)


@given(r"few observations")
def forget(context):
    context.fleet.take_over()
    context.fleet.run_round()
    learn(context.fleet, count=10)


@given(r"only one attempt")
def allow_one_attempt(context):
    queue = replace(context.fleet.queues["short"], max_attempts=1)
    context.fleet.queues["short"] = queue
    context.fleet.configure()


@given(r"a task of (?P<which>the same|a lower) priority waits")
def let_task_wait(context, which):
    queue = "short" if which == "the same" else "long"
    context.fleet.submit("big", (Step(1, ResourceVector(16000, 100), 1.0),), queue)


@given(r"all other minions are slow")
@given(r'all minions but "(?P<fast>\w+)" are slow')
def slow_minions(context, fast="m0"):
    for name, minion in context.fleet.scheduler.minions.items():
        for _ in range(10 if name != fast else 0):
            minion.speed.record(8.0, 1.0, context.fleet.now)
    context.fleet.scheduler.durations.advance(context.fleet.now)


@given(r"30 other runs of the image that do not take too long")
def run_many(context):
    context.fleet.submit("rest", (replace(USUAL, count=30),))
    context.fleet.run_round()
    for minion in context.fleet.scheduler.minions.values():
        for run in minion.runs.values():
            run.is_partial = True


@given(r"one of ten runs took 4 to 7 seconds")
def learn_long_durations(context):
    learn(context.fleet, 0.9, 1.1, 320)
    learn(context.fleet, 4.0, 7.0, 40)


@when(r"(?P<seconds>[\d.]+) seconds pass in rounds")
def pass_rounds(context, seconds):
    run_rounds(context.fleet, seconds)


@when(r"run (?P<run>\d) (?:of the second task )?ends as \"(?P<kind>\w+)\"")
def end_one(context, run, kind):
    end_run(context, run, kind)


@when(r'runs 1 and 2 end as "(?P<kind>\w+)"')
def end_both(context, kind):
    end_run(context, 1, kind)
    end_run(context, 2, kind)


@when(
    r'run (?P<first>\d) ends as "(?P<kind>\w+)" and later run (?P<second>\d) "(?P<second_kind>\w+)"'
)
def end_one_after_another(context, first, kind, second, second_kind):
    end_run(context, first, kind)
    run_rounds(context.fleet, 0.3)
    end_run(context, second, second_kind)


@when(r"the minion of run (?P<run>\d) restarts")
def restart_minion(context, run):
    context.fleet.list_minion(minion_of(context, int(run)), born_ms=2)


@when(r"the minions of runs 1 and 2 are no longer listed")
def unlist_minions(context):
    for name in (minion_of(context, 1), minion_of(context, 2)):
        context.fleet.scheduler.mark_minion_unlisted(name)
        del context.fleet.facts[name]


@when(r'job "a" is cancelled')
def cancel(context):
    context.fleet.scheduler.cancel("a", context.fleet.now)


@when(r"a new leader takes over")
def take_over(context):
    context.fleet.take_over()


@when(r'run 1 ends as "stopped" with checkpoint "(?P<checkpoint>\w+)"')
def end_with_checkpoint(context, checkpoint):
    context.fleet.end(minion_of(context, 1), key_of(context), EndKind.STOPPED, checkpoint)


@when(r"a restart is planned")
def plan_restart(context):
    for _ in range(60):
        context.fleet.poll()
        context.fleet.plan()
        if any(one.kind == "restart planned" for one in context.fleet.decisions):
            return
        context.fleet.deliver(context.fleet.commit(), StartOutcome.STARTED)
        context.fleet.now += ROUND_SECONDS
    raise AssertionError("no restart was planned")


@when(r"the plan is stored and a new leader that knows the durations takes over")
def store_and_take_over(context):
    context.fleet.commit()
    context.fleet.take_over()
    context.fleet.run_round()
    learn(context.fleet)


@when(r"the minions report and the plan is stored")
def report_and_store(context):
    context.fleet.poll()
    context.fleet.deliver(context.fleet.commit(), StartOutcome.STARTED)


@then(r"(?P<count>\d+) starts were sent(?P<of_job> of job \"a\")?")
def check_start_count(context, count, of_job):
    sent = [str(order.run.key) for order in context.fleet.sent]
    if of_job:
        sent = [key for key in sent if key.startswith("a.")]
    assert len(sent) == int(count), sent


@then(r"the second of them was started, and not the first")
def check_second_started(context):
    sent = [str(order.run.key) for order in context.fleet.sent if order.run.key.job_id == "a"]
    assert sent == ["a.0.0.1"], sent


@then(r"runs 1, 2 are on different minions")
def check_minions(context):
    runs = {order.run.run_id: order.minion.minion_id for order in context.fleet.sent}
    assert sorted(runs) == [1, 2] and runs[1] != runs[2], runs


@then(r"no stop was sent")
def check_no_stop(context):
    assert not context.fleet.stops, len(context.fleet.stops)


@then(r"a copy was logged")
def check_copy_logged(context):
    copies = [one for one in context.fleet.decisions if one.kind == "copy planned"]
    assert len(copies) == 1 and copies[0].fields["copy"] == 2, copies


@then(r'the runs ordered to stop are "(?P<runs>[^"]*)"')
def check_stops(context, runs):
    stopped = sorted({stop.run_id for stop in context.fleet.stops})
    assert stopped == sorted({int(run) for run in runs.split()}), stopped
    # A stop is ordered again while nothing proves that the run has ended.
    for run_id in stopped:
        if any(run_id in runs.values() for runs in context.fleet.running.values()):
            count = sum(stop.run_id == run_id for stop in context.fleet.stops)
            assert count >= 2, (run_id, count)


@then(r'job "a" is "(?P<state>\w+)"')
def check_state(context, state):
    shown = context.fleet.scheduler.state_of("a")
    assert shown == state, shown


@then(r"the newest start has run (?P<run>\d+)")
def check_newest(context, run):
    assert context.fleet.sent[-1].run.run_id == int(run), context.fleet.sent[-1]


@then(r'the newest start has checkpoint "(?P<checkpoint>\w+)"')
def check_checkpoint(context, checkpoint):
    assert context.fleet.sent[-1].checkpoint == checkpoint, context.fleet.sent[-1]


@then(r'(?P<count>\d+) runs of job "a" were ordered to stop')
def check_stop_count(context, count):
    stopped = {stop.key for stop in context.fleet.stops if stop.key.job_id == "a"}
    assert len(stopped) == int(count), stopped


@then(r'all starts were sent to "(?P<name>\w+)"')
def check_all_sent_to(context, name):
    sent = {order.minion.minion_id for order in context.fleet.sent}
    assert sent == {name}, sent


class EarlierTask(msgspec.Struct, array_like=True):
    occurrence: int
    step: int
    index: int
    run_id: int
    failures: int
    minion_id: str = ""
    minion_born_ms: int = 0
    checkpoint: str = ""
    crashes: int = 0
    doubtful_crashes: int = 0
    is_proven: bool = False


@then(r"an earlier build finds run 1 of the stored task on its minion")
def check_earlier_build(context):
    _, tasks, *_ = msgspec.msgpack.decode(context.fleet.stored["a"])
    context.earlier = msgspec.convert(tasks[0], EarlierTask)
    assert context.earlier.run_id == 1, context.earlier
    assert context.earlier.minion_id == minion_of(context, 1), context.earlier


@then(r"a record of an earlier build is restored without a copy")
def check_earlier_record(context):
    job = Job(context.fleet.submitted[-1])
    apply_progress(job, msgspec.msgpack.encode([1, [context.earlier], []]))
    (assignment,) = job.task(key_of(context)).assignments
    assert (assignment.run_id, assignment.minion_id) == (1, context.earlier.minion_id)


@given(r"a random history of (?P<seconds>\d+) seconds with seed (?P<seed>\d+)")
def run_history(context, seconds, seed):
    context.world = CopyWorld(Random(int(seed)))
    context.world.run(float(seconds))


@then(r"copies were started and no rule was broken")
def check_history(context):
    assert context.world.copy_count > 0, context.world.copy_count
