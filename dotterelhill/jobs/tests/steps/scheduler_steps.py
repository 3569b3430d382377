from __future__ import annotations

from behave import given, then, use_step_matcher, when

from dotterelhill.jobs.fleet import EndKind
from dotterelhill.jobs.model import Room, Step, TaskKey
from dotterelhill.jobs.orders import StartOutcome
from dotterelhill.jobs.tests.fleet_world import FleetWorld, schedule

use_step_matcher("re")

TURN_SECONDS = 0.1


def tasks(count: int, cpu: float, **more) -> Step:
    return Step(count, Room(int(1000 * cpu), 100), 1.0, **more)


def only_task(job: str) -> TaskKey:
    return TaskKey(job, 0, 0, 0)


@given(r'a fleet with minions "(?P<names>[^"]*)" of (?P<cpu>\d+) processors')
def new_fleet(context, names, cpu):
    context.fleet = FleetWorld()
    for name in names.split():
        context.fleet.list_minion(name, 1000 * int(cpu))


@given(r'job "(?P<job>\w+)" of (?P<count>\d+) tasks? of (?P<cpu>\d+) processors')
@when(r'job "(?P<job>\w+)" of (?P<count>\d+) tasks? of (?P<cpu>\d+) processors is submitted')
def submit(context, job, count, cpu):
    context.fleet.submit(job, (tasks(int(count), int(cpu)),))


@given(r'job "(?P<job>\w+)" of (?P<count>\d+) lasting tasks? of (?P<cpu>\d+) processors')
@when(
    r'job "(?P<job>\w+)" of (?P<count>\d+) lasting tasks? of (?P<cpu>\d+) processors is submitted'
)
def submit_lasting(context, job, count, cpu):
    context.fleet.submit(job, (tasks(int(count), int(cpu), is_lasting=True),))


@given(
    r'job "(?P<job>\w+)" of (?P<count>\d+) tasks of (?P<cpu>\d+) processors, '
    r"at most (?P<most>\d+) on a minion"
)
def submit_apart(context, job, count, cpu, most):
    context.fleet.submit(job, (tasks(int(count), int(cpu), anti_affinity=int(most)),))


@given(r'job "(?P<job>\w+)" of 1 task of 1 processors that needs label "(?P<label>\w+)"')
def submit_labelled(context, job, label):
    context.fleet.submit(job, (tasks(1, 1, required_label=label),))


@given(r'job "(?P<job>\w+)" of a gang of (?P<count>\d+) tasks of (?P<cpu>\d+) processors')
def submit_gang(context, job, count, cpu):
    context.fleet.submit(job, (tasks(int(count), int(cpu), is_gang=True),))


@given(r'job "(?P<job>\w+)" of steps of (?P<first>\d+) and (?P<second>\d+) tasks')
def submit_steps(context, job, first, second):
    steps = (tasks(int(first), 1), tasks(int(second), 1, after=(0,)))
    context.fleet.submit(job, steps)


@given(
    r'job "(?P<job>\w+)" of 1 task that runs (?P<count>\d+) times, '
    r"first after (?P<first>\d+) seconds, every (?P<interval>\d+) seconds"
)
def submit_scheduled(context, job, count, first, interval):
    first_ms = context.fleet.unix_ms + 1000 * int(first)
    times = schedule(int(count), first_ms, 1000 * int(interval))
    context.fleet.submit(job, (tasks(1, 1),), schedule=times)


@given(r'minion "(?P<name>\w+)" is draining')
def drain(context, name):
    context.fleet.list_minion(name, is_draining=True)


@when(r"the minions report")
def report(context):
    context.fleet.poll()


@when(r"the scheduler plans")
def plan(context):
    context.fleet.plan()


@when(r"the plan is stored")
def store(context):
    orders = context.fleet.commit()
    context.fleet.deliver(orders, StartOutcome.STARTED)


@when(r"(?P<count>\d+) turns pass")
def turns(context, count):
    for _ in range(int(count)):
        context.fleet.turn()


@when(r"a turn passes in which starts get no answer")
def lossy_turn(context):
    context.fleet.turn(StartOutcome.UNKNOWN)


@when(r"a turn passes in which starts are carried out without an answer")
def silent_turn(context):
    for order in context.fleet.turn(StartOutcome.UNKNOWN):
        context.fleet.running[order.minion.minion_id][order.run.key] = order.run.run_id


@when(r"(?P<seconds>[\d.]+) seconds pass in turns")
def seconds_pass(context, seconds):
    for _ in range(round(float(seconds) / TURN_SECONDS)):
        context.fleet.turn()


@when(r"the stop is answered")
def stop_answered(context):
    stop = context.fleet.stops[-1]
    context.fleet.scheduler.stop_answered(stop.minion, stop.key, stop.run_id, context.fleet.now)
    context.fleet.now += TURN_SECONDS


@when(r'the minion of job "(?P<job>\w+)" falls silent')
def fall_silent(context, job):
    context.fleet.silent.add(context.fleet.place_of(only_task(job)))


@when(r'the minion of job "(?P<job>\w+)" starts again under its id')
def reborn(context, job):
    context.fleet.list_minion(context.fleet.place_of(only_task(job)), born_ms=2)


@when(r'the minion of job "(?P<job>\w+)" is no longer listed')
def unlisted(context, job):
    name = context.fleet.place_of(only_task(job))
    context.fleet.scheduler.lose_minion(name)
    del context.fleet.facts[name]


@when(r"a new leader takes over")
def take_over(context):
    context.fleet.take_over()


@when(r'the task of job "(?P<job>\w+)" ends as "(?P<kind>\w+)"')
def end(context, job, kind):
    key = only_task(job)
    context.fleet.end(context.fleet.place_of(key), key, EndKind(kind))


@when(r'the task of job "(?P<job>\w+)" ends as "(?P<kind>\w+)" with checkpoint "(?P<value>\w+)"')
def end_with_checkpoint(context, job, kind, value):
    key = only_task(job)
    context.fleet.end(context.fleet.place_of(key), key, EndKind(kind), value)


@when(r'one task of job "(?P<job>\w+)" ends as "(?P<kind>\w+)"')
def end_one(context, job, kind):
    for name, runs in context.fleet.running.items():
        for key in runs:
            if key.job_id == job:
                context.fleet.end(name, key, EndKind(kind))
                return


@when(r'all tasks on "(?P<name>\w+)" end as "(?P<kind>\w+)"')
def end_all_on(context, name, kind):
    for key in list(context.fleet.running[name]):
        context.fleet.end(name, key, EndKind(kind))
    context.fleet.sent.clear()


@when(r'job "(?P<job>\w+)" is cancelled')
def cancel(context, job):
    context.fleet.scheduler.cancel(job, context.fleet.now)


@when(r'failure domain "(?P<domain>\w+)" is taken out')
def take_out(context, domain):
    context.fleet.scheduler.evacuate([domain])


@when(r'minion "(?P<name>\w+)" reports a run of an unknown job')
def unknown_run(context, name):
    context.fleet.running[name][only_task("gone")] = 1


@then(r"nothing was sent")
def nothing_sent(context):
    assert not context.fleet.sent, context.fleet.sent


@then(r"(?P<count>\d+) starts were sent(?: in all)?")
def starts_sent(context, count):
    sent = [str(order.run.key) for order in context.fleet.sent]
    assert len(sent) == int(count), sent


@then(r'none was sent to "(?P<name>\w+)"')
@then(r'nothing new was sent to "(?P<name>\w+)"')
def none_sent_to(context, name):
    sent = [str(order.run.key) for order in context.fleet.sent if order.minion.minion_id == name]
    assert not sent, sent


@then(r"no stop was sent")
def no_stop(context):
    assert not context.fleet.stops, context.fleet.stops


@then(r"a stop of run (?P<run>\d+) was sent")
def stop_sent(context, run):
    assert [stop.run_id for stop in context.fleet.stops][:1] == [int(run)], context.fleet.stops


@then(r"no end is acknowledged")
def no_end_acknowledged(context):
    ends = [minion.durable_end for minion in context.fleet.scheduler.minions.values()]
    assert not any(ends), ends


@then(r"the end is acknowledged")
def end_acknowledged(context):
    ends = [minion.durable_end for minion in context.fleet.scheduler.minions.values()]
    assert sum(ends) == 1, ends


@then(r'job "(?P<job>\w+)" is shown as "(?P<state>\w+)"')
def shown_as(context, job, state):
    shown = context.fleet.scheduler.state_of(job)
    assert shown == state, shown


@then(r'job "(?P<job>\w+)" is never started in (?P<count>\d+) turns')
def never_started(context, job, count):
    for _ in range(int(count)):
        context.fleet.turn()
    assert not context.fleet.sent, context.fleet.sent


@then(r'the newest start carries checkpoint "(?P<value>\w+)"')
def carries_checkpoint(context, value):
    assert context.fleet.sent[-1].checkpoint == value, context.fleet.sent[-1]


@then(r'all starts were of job "(?P<job>\w+)" with run (?P<run>\d+)')
def all_of_job(context, job, run):
    sent = {(order.run.key.job_id, order.run.run_id) for order in context.fleet.sent}
    assert sent == {(job, int(run))}, sent


@when(r"short tasks of 2 processors end and follow each other for (?P<seconds>\d+) seconds")
def short_tasks_follow(context, seconds):
    fleet = context.fleet
    for number in range(int(seconds) * 5):
        # One minion after the other ends a task, and the next job is there already.
        for name, runs in fleet.running.items():
            short = sorted(key for key in runs if key.job_id != "l")
            if short and number % 2 == int(name == "m1"):
                fleet.end(name, short[0], EndKind.DONE)
        fleet.submit(f"next{number}", (tasks(2, 2),))
        fleet.turn()
        fleet.turn()


@then(r'job "(?P<job>\w+)" has started')
def has_started(context, job):
    assert any(order.run.key.job_id == job for order in context.fleet.sent)


@when(r'(?P<count>\d+) tasks of job "(?P<job>\w+)" are done and one runs')
def finish_tasks(context, count, job):
    fleet = context.fleet
    left = int(count)
    while left:
        fleet.turn()
        for name, runs in fleet.running.items():
            for key in list(runs)[:left]:
                fleet.end(name, key, EndKind.DONE)
                left -= 1
    fleet.turn()
    fleet.turn()


@then(r'the stored progress of job "(?P<job>\w+)" takes no more than (?P<most>\d+) bytes')
def stored_size(context, job, most):
    assert len(context.fleet.stored[job]) <= int(most), len(context.fleet.stored[job])


@then(r'a new leader knows (?P<done>\d+) tasks of job "(?P<job>\w+)" as done and one as running')
def restored_tasks(context, done, job):
    context.fleet.take_over()
    restored = context.fleet.scheduler.jobs[job]
    assert sum(task.is_done for task in restored.tasks.values()) == int(done)
    assert sum(task.is_assigned for task in restored.tasks.values()) == 1
