from __future__ import annotations

from typing import get_args

import msgspec
from behave import given, then, when

from dotterelhill.ledger import (
    Assign,
    Capacity,
    ControlRecord,
    Fence,
    Hold,
    Join,
    Leave,
    Release,
    StopOutcome,
    Stopped,
    Unfence,
    encode_record,
)
from dotterelhill.ledger.tests.bench import LedgerBench, job


@given('a ledger whose manifest 3 declares job "{name}" with {tasks:d} tasks of {cpu:g} processors')
def start_ledger(context, name, tasks, cpu):
    context.bench = LedgerBench()
    context.bench.jobs[name] = job(tasks, cpu)
    context.bench.declare(3)
    assert context.bench.adopt(3).is_accepted


@given('worker "{name}" with {cpu} processors in "{domain}"')
@when('worker "{name}" reports {cpu} processors in "{domain}"')
def report_capacity(context, name, cpu, domain):
    context.bench.append(
        Capacity(
            worker=name,
            rack="rack-1",
            failure_domain=domain,
            cpu=float(cpu),
            memory_gb=100.0,
            accelerators=0,
        )
    )


@given('"{incarnation}" has joined "{domain}"')
@when('"{incarnation}" joins "{domain}"')
def join(context, incarnation, domain):
    entry = incarnation.partition("/")[0]
    context.bench.append(Join(incarnation=incarnation, entry=entry, failure_domain=domain))


@when('"{incarnation}" leaves')
def leave(context, incarnation):
    context.bench.append(Leave(incarnation=incarnation))


@given('"{holder}" holds "{resource}" after token {previous:d}')
@when('"{holder}" holds "{resource}" after token {previous:d}')
def hold(context, holder, resource, previous):
    context.bench.append(Hold(resource=resource, holder=holder, previous=previous))


@when('"{resource}" is released with token {token:d}')
def release(context, resource, token):
    context.bench.append(Release(resource=resource, token=token))


@given('task "{task}" attempt {attempt:d} runs on "{worker}"')
@when('task "{task}" attempt {attempt:d} is assigned to "{worker}"')
def assign(context, task, attempt, worker):
    assign_from(context, task, attempt, worker, "")


@when('task "{task}" attempt {attempt:d} is resumed from "{checkpoint}" on "{worker}"')
def assign_from(context, task, attempt, worker, checkpoint):
    record = Assign(task=task, worker=worker, attempt=attempt, checkpoint=checkpoint, writer="a/1")
    verdict = context.bench.append(record)
    if verdict.is_accepted:
        context.bench.tokens[task] = verdict.offset


@when('the run of "{task}" stops as "{outcome}"')
def stop(context, task, outcome):
    stop_with(context, task, outcome, "")


@when('the run of "{task}" leaves checkpoint "{checkpoint}" and stops as "{outcome}"')
def stop_with(context, task, outcome, checkpoint):
    token = context.bench.tokens[task]
    context.bench.append(
        Stopped(task=task, token=token, outcome=StopOutcome(outcome), checkpoint=checkpoint)
    )


@when('the run of "{task}" is lost under the fence of token {fence:d}')
def lose_run(context, task, fence):
    token = context.bench.tokens[task]
    context.bench.append(Stopped(task=task, token=token, outcome=StopOutcome.LOST, fence=fence))


@when('the run with token {token:d} of "{task}" stops as "{outcome}"')
def stop_by_token(context, token, task, outcome):
    context.bench.append(Stopped(task=task, token=token, outcome=StopOutcome(outcome)))


@when('worker "{worker}" is fenced with token {token:d}')
def fence(context, worker, token):
    context.bench.append(Fence(worker=worker, token=token))


@when('worker "{worker}" is unfenced with token {token:d}')
def unfence(context, worker, token):
    context.bench.append(Unfence(worker=worker, token=token))


@when("the same record is appended again")
def append_duplicate(context):
    context.bench.append_bytes(context.bench.stream[-1][1])


@when("a record is torn after {count:d} bytes")
def append_torn(context, count):
    data = encode_record(Leave(incarnation="kbh-1/a"))
    context.bench.append_bytes(data[:count])


@when("a record of version {version:d} arrives")
def append_newer(context, version):
    context.bench.append(Leave(version=version, incarnation="kbh-1/a"))


@when("a record of {depth:d} nested arrays arrives")
def append_nested(context, depth):
    context.bench.append_bytes(b"\x91" * depth)


@when("a record with {depth:d} nested arrays at its end arrives")
def append_nested_end(context, depth):
    context.bench.append_bytes(b"\x94\xa5Leave\x01\xa1x" + b"\x91" * depth + b"\x90")


@when("an unknown record type of version {version:d} arrives")
def append_unknown(context, version):
    context.bench.append_bytes(msgspec.msgpack.encode(["Merge", version, "x"]))


@when('manifest {version:d} removes job "{name}"')
def remove_job(context, version, name):
    del context.bench.jobs[name]
    change_manifest(context, version)


@when('manifest {version:d} declares job "{name}" with {tasks:d} tasks of {cpu:g} processors')
def declare_job(context, version, name, tasks, cpu):
    context.bench.jobs[name] = job(tasks, cpu)
    change_manifest(context, version)


@when('manifest {version:d} cancels job "{name}"')
def cancel_job(context, version, name):
    context.bench.jobs[name]["cancelled"] = True
    change_manifest(context, version)


@when('manifest {version:d} puts "{domain}" in state "{state}"')
def set_domain(context, version, domain, state):
    context.bench.states[domain] = state
    change_manifest(context, version)


@when('manifest {version:d} attests worker "{worker}" as lost')
def attest_lost(context, version, worker):
    context.bench.lost_workers.append(worker)
    change_manifest(context, version)


def change_manifest(context, version):
    context.bench.declare(version)
    context.bench.adopt(version)


@when("manifest {version:d} is adopted")
def adopt(context, version):
    context.bench.adopt(version)


@when("manifest {version:d} becomes known and the record is offered again")
def provide_manifest(context, version):
    context.bench.declare(version)
    context.bench.verdict = context.bench.ledger.apply(*context.bench.stream[-1])


@then("every record type has its version in the second place")
def check_version_place(context):
    record_types = get_args(ControlRecord)
    assert len(record_types) == 10
    for record_type in record_types:
        assert record_type.__struct_encode_fields__[0] == "version", record_type


@then("the record is accepted")
def check_accepted(context):
    assert context.bench.verdict.is_accepted, context.bench.verdict


@then('the record is refused as "{refusal}"')
def check_refused(context, refusal):
    assert context.bench.verdict.refusal == refusal, context.bench.verdict


@then('the record is "{kind}"')
def check_kind(context, kind):
    assert context.bench.verdict.kind == kind, context.bench.verdict


@then('task "{task}" is "{state}" with attempt {attempt:d}')
def check_task(context, task, state, attempt):
    found = context.bench.ledger.placements.task(task)
    assert found is not None and (found.state, found.attempt) == (state, attempt), found


@then('the ledger has no state of job "{key}"')
def check_job_absent(context, key):
    placements = context.bench.ledger.placements
    assert key not in placements.jobs
    assert not any(run.job == key for run in placements.runs.values())


@then('worker "{worker}" has {cpu:g} processors free')
def check_free(context, worker, cpu):
    found = context.bench.ledger.placements.workers[worker].free.cpu
    assert found == cpu, found


@then('"{resource}" is held by "{holder}" and follows a release')
def check_follows_release(context, resource, holder):
    check_holding(context, resource, holder, True)


@then('"{resource}" is held by "{holder}" without a release before')
def check_follows_no_release(context, resource, holder):
    check_holding(context, resource, holder, False)


def check_holding(context, resource, holder, follows_release):
    found = context.bench.ledger.holders.holding(resource)
    assert (found.holder, found.follows_release) == (holder, follows_release), found
    assert resource in context.bench.ledger.holders.held_by(holder)


@then('"{incarnation}" is no longer joined')
def check_ended(context, incarnation):
    holders = context.bench.ledger.holders
    assert not holders.is_joined(incarnation) and not holders.held_by(incarnation)


@then('the unwanted runs are "{tasks}"')
def check_unwanted(context, tasks):
    found = context.bench.ledger.placements.unwanted_runs
    assert found == set(tasks.split()), found


@then("{count:d} record is counted as unreadable")
def check_unreadable(context, count):
    assert context.bench.ledger.counts["unreadable"] == count
