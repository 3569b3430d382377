from __future__ import annotations

from dataclasses import replace

from behave import given, then, use_step_matcher, when

from dotterelhill.jobs.fleet import EndKind
from dotterelhill.jobs.model import JobState, Step, TaskKey
from dotterelhill.jobs.orders import StartOutcome
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tests.fleet_world import START, FleetWorld, schedule

use_step_matcher("re")

ROUND_SECONDS = 0.1


def tasks(count: int, cpu: float, **more) -> Step:
    return Step(count, ResourceVector(int(1000 * cpu), 100), 1.0, **more)


def only_task(job: str) -> TaskKey:
    return TaskKey(job, 0, 0, 0)


@given(r'a fleet with minions "(?P<names>[^"]*)" of (?P<cpu>\d+) processors')
def new_fleet(context, names, cpu):
    context.fleet = FleetWorld()
    for name in names.split():
        context.fleet.list_minion(name, 1000 * int(cpu))


@given(
    r'a fleet with minions "(?P<names>[^"]*)" of (?P<cpu>\d+) processors on a platform that allows '
    r"leases of (?P<seconds>\d+) seconds"
)
def new_fleet_with_leases(context, names, cpu, seconds):
    context.fleet = FleetWorld(float(seconds))
    for name in names.split():
        context.fleet.list_minion(name, 1000 * int(cpu))


@given(
    r'job "(?P<job>\w+)" of (?P<count>\d+) tasks? of (?P<cpu>\d+) processors'
    r'(?: of tenant "(?P<tenant>\w+)")?'
)
@when(
    r'job "(?P<job>\w+)" of (?P<count>\d+) tasks? of (?P<cpu>\d+) processors'
    r'(?: of tenant "(?P<tenant>\w+)")? is submitted'
)
def submit(context, job, count, cpu, tenant):
    context.fleet.submit(job, (tasks(int(count), int(cpu)),), tenant=tenant or "")


@given(
    r'job "(?P<job>\w+)" of (?P<count>\d+) lasting tasks? of (?P<cpu>\d+) processors'
    r'(?: of tenant "(?P<tenant>\w+)")?'
)
@when(
    r'job "(?P<job>\w+)" of (?P<count>\d+) lasting tasks? of (?P<cpu>\d+) processors'
    r'(?: of tenant "(?P<tenant>\w+)")? is submitted'
)
def submit_lasting(context, job, count, cpu, tenant):
    step = tasks(int(count), int(cpu), is_lasting=True)
    context.fleet.submit(job, (step,), tenant=tenant or "")


@given(
    r'job "(?P<job>\w+)" of (?P<count>\d+) tasks of (?P<cpu>\d+) processors, '
    r"at most (?P<maximum>\d+) on a minion"
)
@when(
    r'job "(?P<job>\w+)" of (?P<count>\d+) tasks of (?P<cpu>\d+) processors, '
    r"at most (?P<maximum>\d+) on a minion is submitted"
)
def submit_with_anti_affinity(context, job, count, cpu, maximum):
    context.fleet.submit(job, (tasks(int(count), int(cpu), anti_affinity=int(maximum)),))


@given(r'job "(?P<job>\w+)" of 1 task of 1 processors that requires label "(?P<label>\w+)"')
@when(
    r'job "(?P<job>\w+)" of 1 task of 1 processors that requires label "(?P<label>\w+)" '
    r"is submitted"
)
def submit_labelled(context, job, label):
    context.fleet.submit(job, (tasks(1, 1, required_label=label),))


@given(
    r'job "(?P<job>\w+)" of a gang of (?P<count>\d+) (?P<lasting>lasting )?tasks '
    r"of (?P<cpu>\d+) processors"
)
@when(
    r'job "(?P<job>\w+)" of a gang of (?P<count>\d+) (?P<lasting>lasting )?tasks '
    r"of (?P<cpu>\d+) processors is submitted"
)
def submit_gang(context, job, count, lasting, cpu):
    step = tasks(int(count), int(cpu), is_gang=True, is_lasting=bool(lasting))
    context.fleet.submit(job, (step,))


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


@given(r'a minion "(?P<name>\w+)" of (?P<cpu>\d+) processors in pool "(?P<pool>\w+)"')
def list_minion_in_pool(context, name, cpu, pool):
    context.fleet.list_minion(name, 1000 * int(cpu), service=pool)


@given(
    r'job "(?P<job>\w+)" of 1 (?P<kind>task|lasting task|filler) of (?P<cpu>\d+) processors'
    r'(?: on a queue of pool "(?P<pool>\w+)")?'
)
def submit_kind(context, job, kind, cpu, pool):
    fleet = context.fleet
    if pool:
        fleet.queues[pool] = replace(fleet.queue(pool, 2), service=pool)
        fleet.configure()
    step = tasks(1, int(cpu), is_lasting=kind == "lasting task", is_filler=kind == "filler")
    fleet.submit(job, (step,), pool or "short")


@given(
    r'job "(?P<job>\w+)" of 1 lasting task of (?P<cpu>\d+) processors that runs 1 times, '
    r"first after (?P<first>\d+) seconds"
)
def submit_scheduled_lasting(context, job, cpu, first):
    first_ms = context.fleet.unix_ms + 1000 * int(first)
    step = tasks(1, int(cpu), is_lasting=True)
    context.fleet.submit(job, (step,), schedule=schedule(1, first_ms, 1000))


@given(r'queue "(?P<name>\w+)" needs advice')
@when(r'queue "(?P<name>\w+)" begins to need advice')
def need_advice(context, name):
    fleet = context.fleet
    queue = fleet.queues.get(name) or fleet.queue(name, 1)
    fleet.queues[name] = replace(queue, needs_advice=True)
    fleet.configure()


@given(
    r'job "(?P<job>\w+)" of (?P<count>\d+) lasting tasks? of (?P<cpu>\d+) processors '
    r'on queue "(?P<queue>\w+)"'
)
def submit_lasting_on_queue(context, job, count, cpu, queue):
    context.fleet.submit(job, (tasks(int(count), int(cpu), is_lasting=True),), queue)


@when(r'minion "(?P<name>\w+)" of (?P<cpu>\d+) processors is listed')
def list_another_minion(context, name, cpu):
    context.fleet.list_minion(name, 1000 * int(cpu))


@given(r'minion "(?P<name>\w+)" is draining')
def drain(context, name):
    context.fleet.list_minion(name, is_draining=True)


@when(r"the minions report")
def report(context):
    context.fleet.poll()


@when(r"the scheduler plans")
def plan(context):
    context.fleet.plan()


@when(r"at most (?P<count>\d+) starts are planned")
def plan_limited(context, count):
    context.fleet.plan(int(count))


@when(r"the plan is stored")
def store(context):
    orders = context.fleet.commit()
    context.fleet.deliver(orders, StartOutcome.STARTED)


@when(r"(?P<count>\d+) rounds pass")
def run_rounds(context, count):
    for _ in range(int(count)):
        context.fleet.run_round()


@when(r"a round passes in which starts get no answer")
def run_round_losing_starts(context):
    context.fleet.run_round(StartOutcome.UNKNOWN)


@when(r"a round passes in which starts are carried out without an answer")
def run_round_losing_answers(context):
    for order in context.fleet.run_round(StartOutcome.UNKNOWN):
        context.fleet.running[order.minion.minion_id][order.run.key] = order.run.run_id


@when(r"(?P<seconds>[\d.]+) seconds pass in rounds")
def run_rounds_for_seconds(context, seconds):
    for _ in range(round(float(seconds) / ROUND_SECONDS)):
        context.fleet.run_round()


@when(r"the stop is answered")
def stop_answered(context):
    stop = context.fleet.stops[-1]
    context.fleet.scheduler.stop_answered(stop.minion, stop.key, stop.run_id, context.fleet.now)
    context.fleet.now += ROUND_SECONDS


@when(r'the minion of job "(?P<job>\w+)" falls silent')
def silence_minion(context, job):
    context.fleet.silent.add(context.fleet.minion_running(only_task(job)))


@when(r"the minion of the planned run stops answering")
def stop_planned_minion(context):
    fleet = context.fleet
    minion = fleet.scheduler.minions[fleet.changes.starts[0].minion_id]
    fleet.silent.add(minion.minion_id)
    fleet.scheduler.mark_minion_silent(minion, "no answer", fleet.now)


@when(
    r'the minion of job "(?P<job>\w+)" starts again under its id'
    r"(?P<is_set_back> after its clock was set back)?"
)
def restart_minion(context, job, is_set_back):
    name = context.fleet.minion_running(only_task(job))
    context.fleet.list_minion(name, born_ms=-1000 if is_set_back else 2)


@then(r"the scheduler knows the newest incarnation of each minion")
def check_incarnations(context):
    fleet = context.fleet
    known = {name: minion.facts for name, minion in fleet.scheduler.minions.items()}
    assert known == fleet.facts, (known, fleet.facts)


@when(r'the minion of job "(?P<job>\w+)" is no longer listed')
def unlist_minion(context, job):
    name = context.fleet.minion_running(only_task(job))
    context.fleet.scheduler.mark_minion_unlisted(name)
    del context.fleet.facts[name]


@when(r'a new leader takes over that reads the cancellation of job "(?P<job>\w+)" first')
def take_over_after_cancellation(context, job):
    context.fleet.take_over(job)


@then(r'job "(?P<job>\w+)" is cancelled, none of its tasks waits and each run is ordered to stop')
def check_cancelled(context, job):
    scheduler = context.fleet.scheduler
    assert scheduler.jobs[job].state is JobState.CANCELLED, scheduler.jobs[job].state
    assert scheduler.waiting_tasks == 0, scheduler.waiting_tasks
    stopped = {stop.key for stop in context.fleet.stops}
    assert stopped == set(scheduler.jobs[job].tasks), stopped


@when(r"a new leader takes over")
def take_over(context):
    context.fleet.take_over()


@when(r'the task of job "(?P<job>\w+)" ends as "(?P<kind>\w+)"')
def end(context, job, kind):
    key = only_task(job)
    context.fleet.end(context.fleet.minion_running(key), key, EndKind(kind))


@when(r'the task of job "(?P<job>\w+)" ends as "(?P<kind>\w+)" with checkpoint "(?P<value>\w+)"')
def end_with_checkpoint(context, job, kind, value):
    key = only_task(job)
    context.fleet.end(context.fleet.minion_running(key), key, EndKind(kind), value)


@when(r'one task of job "(?P<job>\w+)" ends as "(?P<kind>\w+)"')
def end_one_task(context, job, kind):
    for name, runs in context.fleet.running.items():
        for key in runs:
            if key.job_id == job:
                context.fleet.end(name, key, EndKind(kind))
                return


@when(r'all tasks on "(?P<name>\w+)" end as "(?P<kind>\w+)"')
def end_all_tasks_on(context, name, kind):
    for key in list(context.fleet.running[name]):
        context.fleet.end(name, key, EndKind(kind))
    context.fleet.sent.clear()


@when(r"every run fails as soon as it has started for (?P<seconds>\d+) seconds")
def fail_every_run(context, seconds):
    for _ in range(round(int(seconds) / ROUND_SECONDS)):
        context.fleet.run_round()
        for name, runs in context.fleet.running.items():
            for key in list(runs):
                context.fleet.end(name, key, EndKind.FAILED)


@when(
    r'every run of job "(?P<job>\w+)" fails as soon as it has started for (?P<seconds>\d+) seconds'
)
def fail_every_run_of(context, job, seconds):
    for _ in range(round(int(seconds) / ROUND_SECONDS)):
        context.fleet.run_round()
        for name, runs in context.fleet.running.items():
            for key in [key for key in runs if key.job_id == job]:
                context.fleet.end(name, key, EndKind.FAILED)


@when(r'all tasks of job "(?P<job>\w+)" end as "(?P<kind>\w+)"')
def end_all_tasks_of(context, job, kind):
    for name, runs in context.fleet.running.items():
        for key in [key for key in runs if key.job_id == job]:
            context.fleet.end(name, key, EndKind(kind))


@when(r"(?P<seconds>[\d.]+) seconds pass in rounds in which starts are refused")
def run_rounds_refusing_starts(context, seconds):
    for _ in range(round(float(seconds) / ROUND_SECONDS)):
        for order in context.fleet.run_round(StartOutcome.REFUSED):
            context.fleet.sent.remove(order)


@when(r'job "(?P<job>\w+)" is cancelled')
def cancel(context, job):
    context.fleet.scheduler.cancel(job, context.fleet.now)


@when(r'failure domain "(?P<domain>\w+)" is evacuated')
def evacuate_domain(context, domain):
    context.fleet.scheduler.evacuate([domain])


@when(r'minion "(?P<name>\w+)" reports a run of an unknown job')
def report_unknown_run(context, name):
    context.fleet.running[name][only_task("gone")] = 1


@then(r"nothing was sent")
def check_nothing_sent(context):
    assert not context.fleet.sent, context.fleet.sent


@then(r"(?P<count>\d+) starts were sent(?: in total)?")
def check_start_count(context, count):
    sent = [str(order.run.key) for order in context.fleet.sent]
    assert len(sent) == int(count), sent


@then(r'(?P<count>\d+) starts of job "(?P<job>\w+)" were sent')
def check_start_count_of_job(context, count, job):
    sent = [str(order.run.key) for order in context.fleet.sent if order.run.key.job_id == job]
    assert len(sent) == int(count), sent


@then(r"between (?P<minimum>\d+) and (?P<maximum>\d+) starts were sent in total")
def check_start_count_between(context, minimum, maximum):
    assert int(minimum) <= len(context.fleet.sent) <= int(maximum), len(context.fleet.sent)


@then(r'none was sent to "(?P<name>\w+)"')
@then(r'nothing new was sent to "(?P<name>\w+)"')
def check_none_sent_to(context, name):
    sent = [str(order.run.key) for order in context.fleet.sent if order.minion.minion_id == name]
    assert not sent, sent


@then(r"no stop was sent")
def check_no_stop(context):
    assert not context.fleet.stops, context.fleet.stops


@then(r"a stop of run (?P<run>\d+) was sent")
def check_stop_sent(context, run):
    assert [stop.run_id for stop in context.fleet.stops][:1] == [int(run)], context.fleet.stops


@then(r"no end is acknowledged")
def check_no_end_acknowledged(context):
    ends = [minion.durable_end for minion in context.fleet.scheduler.minions.values()]
    assert not any(ends), ends


@then(r"the end is acknowledged")
def check_end_acknowledged(context):
    ends = [minion.durable_end for minion in context.fleet.scheduler.minions.values()]
    assert sum(ends) == 1, ends


@then(r'job "(?P<job>\w+)" is shown as "(?P<state>\w+)"')
def check_shown_state(context, job, state):
    shown = context.fleet.scheduler.state_of(job)
    assert shown == state, shown


@then(r'job "(?P<job>\w+)" is never started in (?P<count>\d+) rounds')
def check_never_started(context, job, count):
    for _ in range(int(count)):
        context.fleet.run_round()
    assert not context.fleet.sent, context.fleet.sent


@then(r'the newest start carries checkpoint "(?P<value>\w+)"')
def check_newest_checkpoint(context, value):
    assert context.fleet.sent[-1].checkpoint == value, context.fleet.sent[-1]


@then(r'all starts were of job "(?P<job>\w+)" with run (?P<run>\d+)')
def check_all_starts_of_job(context, job, run):
    sent = {(order.run.key.job_id, order.run.run_id) for order in context.fleet.sent}
    assert sent == {(job, int(run))}, sent


@when(r"short tasks of 2 processors end and new ones are submitted for (?P<seconds>\d+) seconds")
def run_short_task_sequence(context, seconds):
    fleet = context.fleet
    for number in range(int(seconds) * 5):
        # The minions alternate: one of them ends a task, and the next job is submitted at once.
        for name, runs in fleet.running.items():
            short = sorted(key for key in runs if key.job_id != "l")
            if short and number % 2 == int(name == "m1"):
                fleet.end(name, short[0], EndKind.DONE)
        fleet.submit(f"next{number}", (tasks(2, 2),))
        fleet.run_round()
        fleet.run_round()


@when(
    r"2 short tasks are submitted and end each round, with at most 2 starts a round, "
    r"for (?P<seconds>\d+) seconds"
)
def fill_start_window(context, seconds):
    fleet = context.fleet
    for number in range(round(int(seconds) / ROUND_SECONDS)):
        for name, runs in fleet.running.items():
            for key in [key for key in runs if key.job_id != "l"]:
                fleet.end(name, key, EndKind.DONE)
        fleet.submit(f"next{number}", (tasks(2, 1),))
        fleet.poll()
        fleet.plan(2)
        fleet.deliver(fleet.commit(), StartOutcome.STARTED)
        fleet.now += ROUND_SECONDS


@then(r'job "(?P<job>\w+)" has started')
def has_started(context, job):
    assert any(order.run.key.job_id == job for order in context.fleet.sent)


@when(r'(?P<count>\d+) tasks of job "(?P<job>\w+)" are done and one runs')
def finish_tasks(context, count, job):
    fleet = context.fleet
    left = int(count)
    while left:
        fleet.run_round()
        for name, runs in fleet.running.items():
            for key in list(runs)[:left]:
                fleet.end(name, key, EndKind.DONE)
                left -= 1
    fleet.run_round()
    fleet.run_round()


@then(r'the stored progress of job "(?P<job>\w+)" takes no more than (?P<maximum>\d+) bytes')
def check_stored_size(context, job, maximum):
    assert len(context.fleet.stored[job]) <= int(maximum), len(context.fleet.stored[job])


@then(r'a new leader restores (?P<done>\d+) tasks of job "(?P<job>\w+)" as done and one as running')
def check_restored_tasks(context, done, job):
    context.fleet.take_over()
    restored = context.fleet.scheduler.jobs[job]
    assert sum(task.is_done for task in restored.tasks.values()) == int(done)
    assert sum(task.is_assigned for task in restored.tasks.values()) == 1


def reported_waits(fleet):
    return [one for one in fleet.decisions if one.message == "lasting task waits"]


@then(r"no wait is reported")
def check_no_wait_reported(context):
    assert not reported_waits(context.fleet), reported_waits(context.fleet)


@then(
    r'(?P<count>\d+) waits of job "(?P<job>\w+)" are reported, of (?P<tasks>\d+) tasks, '
    r'with minions excluded as "(?P<reasons>[^"]+)"'
)
def check_reported_waits(context, count, job, tasks, reasons):
    waits = reported_waits(context.fleet)
    assert len(waits) == int(count), waits
    for wait in waits:
        assert (wait.job_id, wait.fields["tasks"]) == (job, int(tasks)), wait
        assert wait.fields["idle_ms"] >= 4000, wait
        for reason in reasons.split(", "):
            name, number = reason.split()
            assert wait.fields[name] == int(number), wait


@given(
    r'job "(?P<job>\w+)" of 1 filler of (?P<cpu>\d+) processors on queue "(?P<queue>\w+)" that '
    r"waits behind fillers of 2 processors"
)
def submit_filler_behind_others(context, job, cpu, queue):
    fleet = context.fleet
    fleet.submit("first", (tasks(4, 2, is_filler=True),), queue)
    fleet.run_round()
    fleet.run_round()
    fleet.submit(job, (tasks(1, int(cpu), is_filler=True),), queue)


@when(r"fillers of 2 processors end and new ones are submitted for (?P<seconds>\d+) seconds")
def run_filler_sequence(context, seconds):
    fleet = context.fleet
    for number in range(round(int(seconds) / ROUND_SECONDS / 5)):
        oldest = next((key for key in fleet.running["m1"] if key.job_id != "a"), None)
        if oldest is not None:
            fleet.end("m1", oldest, EndKind.DONE)
        fleet.submit(f"next{number}", (tasks(1, 2, is_filler=True),), "long")
        for _ in range(5):
            fleet.run_round()


@when(
    r"short tasks of 3 processors and fillers of 2 processors come all the time "
    r"for (?P<seconds>\d+) seconds"
)
def run_mixed_sequence(context, seconds):
    fleet = context.fleet
    for number in range(round(int(seconds) / ROUND_SECONDS / 5)):
        for key in [key for key in fleet.running["m1"] if key.job_id != "a"][:2]:
            fleet.end("m1", key, EndKind.DONE)
        fleet.submit(f"short{number}", (tasks(1, 3),))
        fleet.submit(f"next{number}", (tasks(1, 2, is_filler=True),), "long")
        for _ in range(5):
            fleet.run_round()


@when(
    r'every run on "(?P<names>[^"]+)" fails as soon as it has started for (?P<seconds>\d+) seconds'
)
def fail_every_run_on(context, names, seconds):
    for _ in range(round(int(seconds) / ROUND_SECONDS)):
        context.fleet.run_round()
        for name in names.split():
            for key in list(context.fleet.running[name]):
                context.fleet.end(name, key, EndKind.FAILED)


@given(
    r"(?P<count>\d+) jobs of (?P<tasks_each>\d+) tasks of 1 processor each "
    r'on queue "(?P<queue>\w+)"'
)
def submit_many_jobs(context, count, tasks_each, queue):
    step = tasks(int(tasks_each), 1)
    for number in range(int(count)):
        context.fleet.submit(f"job{number}", (step,), queue)


@when(
    r"runs last (?P<duration>[\d.]+) seconds and at most (?P<starts>\d+) starts are planned "
    r"a round(?:, which arrive (?P<late>\d+) rounds later,)? for (?P<seconds>\d+) seconds"
)
def run_with_few_starts(context, duration, starts, late, seconds):
    fleet = context.fleet
    started_at = {}
    idle_since = {}
    context.idle_spans = []
    on_the_way = [[] for _ in range(int(late or 0))]
    for _ in range(round(int(seconds) / ROUND_SECONDS)):
        for name, runs in fleet.running.items():
            for key in [key for key in runs if fleet.now - started_at[key] >= float(duration)]:
                fleet.end(name, key, EndKind.DONE)
        fleet.poll()
        fleet.plan(int(starts))
        on_the_way.append(fleet.commit())
        orders = on_the_way.pop(0)
        fleet.deliver(orders, StartOutcome.STARTED)
        started_at |= {order.run.key: fleet.now for order in orders}
        running = {key.job_id for runs in fleet.running.values() for key in runs}
        for job_id, job in fleet.scheduler.jobs.items():
            if job.is_complete():
                continue
            since = idle_since.setdefault(job_id, fleet.now)
            if job_id in running:
                since = idle_since[job_id] = fleet.now
            context.idle_spans.append((fleet.now - START, fleet.now - since, job_id))
        fleet.now += ROUND_SECONDS


@then(
    r"no job had nothing running for more than (?P<seconds>[\d.]+) seconds "
    r"from second (?P<first>\d+)"
)
def check_idle_spans(context, seconds, first):
    late = [span for span in context.idle_spans if span[0] >= int(first) + float(seconds)]
    too_long = [span for span in late if span[1] > float(seconds)]
    assert late and not too_long, too_long[:5]
