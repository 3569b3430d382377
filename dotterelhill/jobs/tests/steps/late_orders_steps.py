from __future__ import annotations

from dataclasses import replace

from behave import given, then, use_step_matcher, when

from dotterelhill.jobs.fleet import EndKind, MinionReport, RunReport
from dotterelhill.jobs.orders import StartOutcome
from dotterelhill.jobs.scheduler import Scheduler
from dotterelhill.jobs.tests.fleet_world import HOLD_SECONDS, FleetWorld
from dotterelhill.jobs.tests.late_order_world import run_late_orders
from dotterelhill.jobs.tests.steps.scheduler_steps import only_task, tasks

use_step_matcher("re")

ROUND_SECONDS = 0.1
HISTORY_SECONDS = 30.0
CALM_SECONDS = 16.0
# Of each minion in each step of 0.1 s.
REBIRTH_CHANCE = 0.005


def answer_start(context, job, outcome, clock_ms=None):
    fleet = context.fleet
    (order,) = [one for one in fleet.sent if one.run.key.job_id == job]
    fleet.now += 1.0
    fleet.scheduler.start_answered(order.run, outcome, fleet.now - 1.0, fleet.now, clock_ms)
    fleet.now += 0.1


@when(r"the plan is stored, and its starts are on their way")
def send_starts(context):
    context.fleet.commit()


@when(r'the start of job "(?P<job>\w+)" gets no answer')
def lose_answer(context, job):
    answer_start(context, job, StartOutcome.UNKNOWN)


@when(r'the start of job "(?P<job>\w+)" is answered after it was stopped')
def answer_after_stop(context, job):
    answer_start(context, job, StartOutcome.STARTED, int(1000 * context.fleet.now))


@when(r'the start of job "(?P<job>\w+)" is answered by a later life')
def answer_from_later_life(context, job):
    answer_start(context, job, StartOutcome.STARTED, 100)


@when(
    r'the start of job "(?P<job>\w+)" is answered by a later life (?P<seconds>[\d.]+) seconds after'
)
def answer_later_from_later_life(context, job, seconds):
    fleet = context.fleet
    (order,) = [one for one in fleet.sent if one.run.key.job_id == job]
    # The time of the newest answer.
    fleet.now += float(seconds) - 0.1
    clock_ms = 100 + int(1000 * float(seconds))
    fleet.scheduler.start_answered(
        order.run, StartOutcome.STARTED, fleet.now - 1.0, fleet.now, clock_ms
    )
    fleet.now += 0.1


@when(r"the minions report with clocks of (?P<clock_ms>\d+) ms")
def report_young_clocks(context, clock_ms):
    fleet = context.fleet
    for name, minion in fleet.scheduler.minions.items():
        report = MinionReport(fleet.facts[name].born_ms, int(clock_ms), (), ())
        fleet.scheduler.report(minion, report, fleet.now, fleet.now)
        minion.extend_lease(fleet.now + 8.0, fleet.settings.lease_seconds)


@when(r"(?P<seconds>\d+) seconds pass without reports")
def pass_time(context, seconds):
    context.fleet.now += float(seconds)
    # Minions that were silent for so long would get no starts.
    for minion in context.fleet.scheduler.minions.values():
        minion.last_report_at = context.fleet.now


@when(r'the start of job "(?P<job>\w+)" is answered with a clock of (?P<clock_ms>\d+) ms')
def answer_with_clock(context, job, clock_ms):
    answer_start(context, job, StartOutcome.STARTED, int(clock_ms))


@when(
    r'the start of job "(?P<job>\w+)" is answered as "(?P<outcome>\w+)" '
    r"with a clock of (?P<clock_ms>\d+) ms"
)
def answer_outcome_with_clock(context, job, outcome, clock_ms):
    answer_start(context, job, StartOutcome(outcome), int(clock_ms))


@then(r'the minion of job "(?P<job>\w+)" is not used and keeps its clock')
def check_minion_unused(context, job):
    (order,) = [one for one in context.fleet.sent if one.run.key.job_id == job]
    minion = context.fleet.scheduler.minions[order.minion.minion_id]
    assert minion.clock_ms == 100, minion.clock_ms
    assert not minion.is_answering


@then(r'the run of job "(?P<job>\w+)" is not known to have begun')
def check_not_begun(context, job):
    (order,) = [one for one in context.fleet.sent if one.run.key.job_id == job]
    assert order.run.may_start_late, order.run


@when(r'the start of job "(?P<job>\w+)" is carried out late')
def carry_out_late(context, job):
    (order,) = [one for one in context.fleet.sent if one.run.key.job_id == job]
    context.fleet.running[order.minion.minion_id][order.run.key] = order.run.run_id


@when(
    r"the minion of the newest start begins again under its id"
    r"(?P<how>, and its clock was set back|, before it is listed)?"
)
def restart_minion(context, how):
    fleet = context.fleet
    name = fleet.sent[-1].minion.minion_id
    is_set_back = how is not None and "clock" in how
    facts = replace(fleet.facts[name], born_ms=-1000 if is_set_back else fleet.unix_ms)
    fleet.facts[name] = facts
    fleet.running[name], fleet.ends[name], fleet.end_numbers[name] = {}, [], 0
    fleet.silent.discard(name)
    if how is None or is_set_back:
        fleet.scheduler.update_minion(facts, fleet.now)


@when(r"the minion of the newest start is born again, earlier by its clock")
def restart_minion_with_earlier_clock(context):
    fleet = context.fleet
    name = fleet.sent[-1].minion.minion_id
    fleet.list_minion(name, born_ms=fleet.facts[name].born_ms - 1000)


@when(r"its entry is read")
def list_restarted_minion(context):
    fleet = context.fleet
    fleet.scheduler.update_minion(fleet.facts[fleet.sent[-1].minion.minion_id], fleet.now)


def newest_minion(context):
    return context.fleet.scheduler.minions[context.fleet.sent[-1].minion.minion_id]


@given(r'job "(?P<job>\w+)" of 1 speculative task of 1 processors')
def submit_speculative(context, job):
    context.fleet.submit(job, (tasks(1, 1, is_speculative=True),))


@given(r"polls carry the fences of their minions")
def fence_polls(context):
    context.fleet.are_polls_fenced = True


@given(r"no minion has begun again under its id")
def keep_minions(context):
    pass


@given(r"a minion has begun again under its id")
def restart_some_minion(context):
    context.fleet.list_minion("m1", born_ms=2)


@when(r"(?P<seconds>[\d.]+) seconds pass in rounds in which starts get no answer")
def run_rounds_losing_starts(context, seconds):
    for _ in range(round(float(seconds) / ROUND_SECONDS)):
        context.fleet.run_round(StartOutcome.UNKNOWN)


@when(r"the minion of the newest start stops answering")
def stop_newest_minion(context):
    context.fleet.silent.add(newest_minion(context).minion_id)
    silence_newest_minion(context)


@when(r'the minion of job "(?P<job>\w+)" stops answering')
def stop_minion_of_job(context, job):
    (order,) = [one for one in context.fleet.sent if one.run.key.job_id == job]
    minion = context.fleet.scheduler.minions[order.minion.minion_id]
    context.fleet.silent.add(minion.minion_id)
    context.fleet.scheduler.mark_minion_silent(minion, "", context.fleet.now)


@when(
    r"(?P<times>\d+) times, the minion of the first start begins again under its id "
    r"and (?P<count>\d+) rounds pass"
)
def restart_first_minion(context, times, count):
    fleet = context.fleet
    for _ in range(int(times)):
        fleet.list_minion(fleet.sent[0].minion.minion_id, born_ms=fleet.unix_ms)
        for _ in range(int(count)):
            fleet.run_round()


@when(
    r"(?P<seconds>\d+) seconds pass in rounds in which the minion of the first start neither "
    r"answers nor carries out starts"
)
def run_rounds_beside_deaf_minion(context, seconds):
    fleet, unanswered = context.fleet, []
    until = fleet.now + float(seconds)
    while fleet.now < until:
        for order in [one for at, one in unanswered if at + 1.0 <= fleet.now]:
            sent_at = fleet.now - 1.0
            fleet.scheduler.start_answered(order.run, StartOutcome.UNKNOWN, sent_at, fleet.now)
        unanswered = [(at, one) for at, one in unanswered if at + 1.0 > fleet.now]
        fleet.poll()
        fleet.plan()
        for order in fleet.commit():
            if order.minion.minion_id == fleet.sent[0].minion.minion_id:
                unanswered.append((fleet.now, order))
            else:
                fleet.deliver([order], StartOutcome.STARTED)
        fleet.now += ROUND_SECONDS


@then(r'the task of job "(?P<job>\w+)" runs')
def check_running(context, job):
    name = context.fleet.minion_running(only_task(job))
    assert name is not None, [str(order.run.run_id) for order in context.fleet.sent]


@when(r"the scheduler learns that the minion lacks the run")
def report_absence(context):
    context.fleet.poll()


@when(r'the step of job "(?P<job>\w+)" is opened again')
def reopen_step(context, job):
    scheduler = context.fleet.scheduler
    scheduler._placement.requeue(scheduler.jobs[job], scheduler.jobs[job].tasks[only_task(job)])


@then(r"all of them went to one minion")
def check_one_minion(context):
    minions = {order.minion.minion_id for order in context.fleet.sent}
    assert len(minions) == 1, minions


@when(r"the minion of the newest start begins to drain")
def drain_newest_minion(context):
    context.fleet.list_minion(newest_minion(context).minion_id, is_draining=True)


@when(r"the minion of the newest start falls silent")
def silence_newest_minion(context):
    context.fleet.scheduler.mark_minion_silent(newest_minion(context), "", context.fleet.now)


@when(r"the minion of the newest start is removed and begins again under its id")
def remove_and_restart_minion(context):
    fleet = context.fleet
    name = fleet.sent[-1].minion.minion_id
    fleet.scheduler.remove_replaced_minion(newest_minion(context), fleet.now)
    fleet.scheduler.update_minion(replace(fleet.facts[name], born_ms=fleet.unix_ms), fleet.now)


@when(r"another minion answers at the address of the minion of the newest start")
def replace_newest_minion(context):
    fleet, minion = context.fleet, newest_minion(context)
    fleet.scheduler.remove_replaced_minion(minion, fleet.now)
    del fleet.facts[minion.minion_id]


@when(r"the later life answers a poll that extends no lease")
def answer_without_lease(context):
    answer_later_life(context, ())


@when(r"the later life reports run (?P<run_id>\d+) of the task after its fence")
def report_earlier_run(context, run_id):
    key = context.fleet.sent[-1].run.key
    context.fleet.running[context.fleet.sent[-1].minion.minion_id][key] = int(run_id)
    answer_later_life(context, (RunReport(key, int(run_id), "", 100, None),))


def answer_later_life(context, rows):
    fleet, minion = context.fleet, newest_minion(context)
    report = MinionReport(minion.facts.born_ms, 100, rows, ())
    fleet.scheduler.report(minion, report, fleet.now, fleet.now, minion.fence)


@then(r"the fence of its minion is higher than that of the newest start")
def check_fence(context):
    fences = newest_minion(context).fence, context.fleet.sent[-1].run.fence
    assert fences[0] > fences[1], fences


@then(r"its lease is taken to last for (?P<seconds>[\d.]+) seconds")
def check_lease(context, seconds):
    minion = newest_minion(context) if context.fleet.sent else context.minion
    left = minion.lease_until - context.fleet.now
    assert left >= float(seconds), left


@when(r"leaders before this one turn out to have ended (?P<seconds>\d+) seconds ago")
def end_earlier_leaders(context, seconds):
    context.fleet.scheduler.end_earlier_renewals(context.fleet.now - float(seconds))


@then(r'the end of job "(?P<job>\w+)" is (?P<negation>not )?acknowledged')
def check_acknowledgement(context, job, negation):
    (name,) = {one.minion.minion_id for one in context.fleet.sent if one.run.key.job_id == job}
    assert bool(context.fleet.scheduler.minions[name].durable_end) is not bool(negation)


@then(r"(?P<count>\d+) stops were sent to the later life")
def check_later_stops(context, count):
    facts = context.fleet.facts[context.fleet.sent[-1].minion.minion_id]
    stops = [stop for stop in context.fleet.stops if stop.minion.facts == facts]
    assert len(stops) == int(count), stops


@when(
    r"histories of late orders (?P<seeds>[\d ]+) are played(?:, each with a calm at its end|"
    r"(?P<rebirths> with rebirths(?P<cuts> and cuts soon after)?) ?)"
)
def play_histories(context, seeds, rebirths, cuts):
    context.failures, context.kept, context.late_starts = [], {}, 0
    rebirth_chance = REBIRTH_CHANCE if rebirths else 0.0
    for seed in map(int, seeds.split()):
        try:
            world = run_late_orders(
                seed, HISTORY_SECONDS, CALM_SECONDS, rebirth_chance, is_recut=cuts is not None
            )
        except AssertionError as error:
            context.failures.append((seed, str(error)))
            continue
        context.late_starts += world.late_start_count
        if world.kept_runs:
            context.kept[seed] = world.kept_runs


@then(r"no start went beyond the room of its minion, and no task ran twice")
def check_starts(context):
    assert not context.failures, context.failures


@then(r"no room was held in vain at the end of a calm")
def check_room(context):
    assert not context.kept, context.kept


@then(r"at least (?P<count>\d+) starts were carried out late")
def check_late_starts(context, count):
    assert context.late_starts >= int(count), context.late_starts


@then(r"(?P<count>\d+) jobs? waits?")
def check_waiting_jobs(context, count):
    waiting = context.fleet.scheduler.waiting_by_queue()
    assert sum(waiting.values()) == int(count), waiting


@given(r'job "(?P<job>\w+)" of 1 checkpointing task')
def submit_checkpointing(context, job):
    context.fleet.submit(job, (tasks(1, 1, is_checkpointing=True),))


@when(r'a round passes in which starts are answered as "(?P<outcome>[\w ]+)"')
def run_round_refusing_starts(context, outcome):
    context.fleet.run_round(StartOutcome(outcome))


@when(r"the minion of the newest start drains before its next start")
def drain_before_start(context):
    fleet = context.fleet
    fleet.poll()
    fleet.plan()
    drain_newest_minion(context)
    fleet.deliver(fleet.commit(), StartOutcome.STARTED)


@when(r'the run that replaced it ends as "(?P<kind>\w+)"')
def end_replacing_run(context, kind):
    fleet = context.fleet
    fleet.run_round()
    (key,) = fleet.running[fleet.sent[-1].minion.minion_id]
    fleet.end(fleet.sent[-1].minion.minion_id, key, EndKind(kind))
    # Other minions are preferred to one on which a run has failed.
    fleet.list_minion(fleet.sent[-1].minion.minion_id, is_draining=True)


@when(r"the run that replaced it is stopped as its minion drains")
def stop_replacing_run(context):
    fleet = context.fleet
    fleet.run_round()
    drain_newest_minion(context)
    fleet.run_round()
    (stop,) = fleet.stops
    fleet.end(stop.minion.minion_id, stop.key, EndKind.STOPPED)


@given(
    r'a minion "(?P<name>\w+)" of a new leader, '
    r"which takes earlier ones to renew leases for (?P<seconds>[\d.]+) seconds"
)
def lead_anew(context, name, seconds):
    fleet = context.fleet = FleetWorld()
    fleet.scheduler = Scheduler(fleet.settings, fleet.now + float(seconds))
    fleet.configure()
    fleet.list_minion(name)
    context.minion = fleet.scheduler.minions[name]


@when(r"it first answers after (?P<seconds>\d+) seconds")
def answer_first(context, seconds):
    fleet = context.fleet
    fleet.now += float(seconds)
    report = MinionReport(context.minion.facts.born_ms, 1000, (), ())
    fleet.scheduler.report(context.minion, report, fleet.now, fleet.now, context.minion.fence)


@when(r"its lease is not renewed")
def keep_lease(context):
    pass


@when(r"its lease is renewed")
def renew_lease(context):
    assert context.minion.grant_lease(context.fleet.now, HOLD_SECONDS) is not None


@when(r'queue "(?P<name>\w+)" moves to pool "(?P<pool>\w+)"')
def move_queue(context, name, pool):
    fleet = context.fleet
    fleet.queues[name] = replace(fleet.queues[name], service=pool)
    fleet.config_version += 1
    fleet.configure()


@then(r'at most (?P<count>\d+) crash is counted against the task of job "(?P<job>\w+)"')
def check_crashes(context, count, job):
    task = context.fleet.scheduler.jobs[job].task(only_task(job))
    assert task.crashes <= int(count), task.crashes


@then(r"the highest fence is at least that of its minion")
def check_highest_fence(context):
    fences = context.fleet.scheduler.highest_fence, newest_minion(context).fence
    assert fences[0] >= fences[1], fences
