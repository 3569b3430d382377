from __future__ import annotations

import msgspec
from behave import then, use_step_matcher, when

from dotterelhill.jobs.progress import encode_progress

use_step_matcher("re")

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


@when(r"1 rounds pass without starts")
def run_round_without_starts(context):
    context.fleet.poll()
    context.fleet.plan(0)
    context.fleet.commit()


@then(r"the newest round has stored the progress of (?P<count>\d+) jobs?")
def check_stored_jobs(context, count):
    jobs = [job.job_id for job in context.fleet.changes.jobs]
    assert len(jobs) == int(count), jobs
