from __future__ import annotations

import msgspec
from behave import then, use_step_matcher, when

from dotterelhill.jobs.progress import encode_progress
from dotterelhill.jobs.tests.capacity_world import run_history
from dotterelhill.jobs.tests.late_order_world import run_late_orders

use_step_matcher("re")

HISTORY_SECONDS = 30.0
CALM_SECONDS = 16.0
# Probability with which a minion starts again under its id in a step.
REBIRTH_CHANCE = 0.005

# Fields of the record of a job's progress before ``has_begun``.
EARLIER_FIELDS = 4


@when(r'a leader of an earlier build has stored the progress of job "(?P<job>\w+)"')
def store_in_earlier_form(context, job):
    record = msgspec.msgpack.decode(encode_progress(context.fleet.scheduler.jobs[job]))
    context.fleet.stored[job] = msgspec.msgpack.encode(record[:EARLIER_FIELDS])


@when(r'one task of job "(?P<job>\w+)" has saved its state')
def save_state(context, job):
    (key, *_), *_ = [list(runs) for runs in context.fleet.running.values() if runs]
    assert key.job_id == job, key
    context.fleet.checkpoints[key] = "c1"


@when(r"a round passes without starts")
def run_round_without_starts(context):
    context.fleet.poll()
    context.fleet.plan(0)
    context.fleet.commit()


@when(r"histories (?P<first>\d+) to (?P<last>\d+) of each kind are played with new leaders")
def play_histories(context, first, last):
    context.worlds = []
    for seed in range(int(first), int(last) + 1):
        context.worlds.append(run_history(seed, HISTORY_SECONDS))
        for chance in (0.0, REBIRTH_CHANCE):
            world = run_late_orders(seed, HISTORY_SECONDS, CALM_SECONDS, chance)
            context.worlds.append(world)


@then(r"no job counted as begun before a task had started")
def check_begun_jobs(context):
    wrong = [(number, world.wrongly_begun_jobs) for number, world in enumerate(context.worlds)]
    assert not any(jobs for _, jobs in wrong), wrong


@then(r"at the end of a calm no job counted as waiting although a task had started")
def check_jobs_that_wait(context):
    wrong = [(number, world.begun_jobs_that_wait()) for number, world in enumerate(context.worlds)]
    assert not any(jobs for _, jobs in wrong), wrong


@then(r"the newest round has stored the progress of (?P<count>\d+) jobs?")
def check_stored_jobs(context, count):
    jobs = [job.job_id for job in context.fleet.changes.jobs]
    assert len(jobs) == int(count), jobs
