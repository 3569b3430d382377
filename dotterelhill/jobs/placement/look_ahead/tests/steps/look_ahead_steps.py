from __future__ import annotations

from dataclasses import replace

from behave import given, then, use_step_matcher, when

from dotterelhill.jobs.fleet import EndKind
from dotterelhill.jobs.model import TaskKey
from dotterelhill.jobs.placement.look_ahead.tests.load_world import LoadWorld, Stream, step_of

use_step_matcher("re")

JOB = (
    r'job "(?P<job>\w+)" of (?P<count>\d+) (?P<kind>gang |spread |lasting )?tasks? of '
    r"(?P<cpu>[\d.]+) processors for (?P<seconds>[\d.]+) s"
    r" ?(?:estimated at (?P<estimate>[\d.]+) s)?(?P<is_low> ?of low priority)?"
)
KINDS = {
    "gang": {"is_gang": True},
    "spread": {"anti_affinity": 1},
    "lasting": {"is_lasting": True},
    "": {},
}


def reservations(context):
    return context.fleet.scheduler.reservations


@given(r"(?P<count>\d+) minions of (?P<cpu>\d+) processors with look-ahead (?P<switch>on|off)")
def new_fleet(context, count, cpu, switch):
    context.fleet = LoadWorld(is_look_ahead=switch == "on")
    for number in range(int(count)):
        context.fleet.list_minion(f"m{number}", 1000 * int(cpu))
    context.fleet.run_for(0.2)


@given(JOB)
@when(JOB + " is submitted")
def submit(context, job, count, kind, cpu, seconds, estimate, is_low):
    step = step_of(
        float(cpu), float(estimate or seconds), int(count), **KINDS[(kind or "").strip()]
    )
    queue = "long" if is_low else "short"
    context.fleet.add_job(job, step, float(seconds), queue)


@given(
    r'a stream "(?P<name>\w+)" of (?P<waiting>\d+) waiting tasks of (?P<cpu>[\d.]+) processors '
    r"for (?P<seconds>[\d.]+) s(?: estimated at (?P<estimate>[\d.]+) s)?"
    r"(?:, or (?P<factor>\d+) times more or less)?"
)
def add_stream(context, name, waiting, cpu, seconds, estimate, factor):
    step = step_of(float(cpu), float(seconds if estimate is None else estimate))
    stream = Stream(name, step, float(seconds), "short", int(waiting), int(factor or 1))
    context.fleet.streams.append(stream)


@given(r"at most (?P<count>\d+) starts are planned in a round")
def limit_starts(context, count):
    context.fleet.max_starts = int(count)


@given(r"(?P<seconds>[\d.]+) s have passed")
@when(r"(?P<seconds>[\d.]+) s pass")
def run_for(context, seconds):
    context.fleet.run_for(float(seconds))


@when(r"the reserved minion (?P<event>.+)")
def change_reserved_minion(context, event):
    fleet = context.fleet
    (minion,) = reservations(context)
    context.minion_id = name = minion.minion_id
    match event:
        case "falls silent":
            fleet.silent.add(name)
            fleet.scheduler.mark_minion_silent(minion, "no answer", fleet.now)
        case "drains":
            fleet.list_minion(name, minion.facts.capacity.cpu, is_draining=True)
        case "is no longer listed":
            fleet.scheduler.mark_minion_unlisted(name)
        case "shrinks":
            fleet.list_minion(name, 2000)
        case "turns slow":
            for _ in range(30):
                minion.speed.record(8.0, 1.0, fleet.now)
        case _:
            raise AssertionError(event)


@when(r"a new leader takes over")
def take_over(context):
    context.fleet.take_over()


@then(r'job "(?P<job>[\w-]+)" has waited (?P<bound>less|more) than (?P<seconds>[\d.]+) s')
def check_wait(context, job, bound, seconds):
    wait = context.fleet.wait_of(job)
    assert (wait < float(seconds)) == (bound == "less"), (wait, context.fleet.now)


@then(r'every "(?P<name>\w+)" task has waited less than (?P<seconds>[\d.]+) s')
def check_waits(context, name, seconds):
    fleet = context.fleet
    jobs = [job for job in fleet.submitted_at if job.startswith(f"{name}-")]
    old = [job for job in jobs if fleet.now - fleet.submitted_at[job] >= float(seconds)]
    assert len(old) > 10, jobs
    waits = [fleet.wait_of(job) for job in old]
    assert max(waits) < float(seconds), (max(waits), len(old))


@then(r"(?P<count>\d+) minions? (?:is|are) reserved")
def check_reserved(context, count):
    names = [minion.minion_id for minion in reservations(context)]
    assert len(names) == int(count), names


@then(r"a minion is reserved, but not the same one")
def check_moved(context):
    (minion,) = reservations(context)
    assert minion.minion_id != context.minion_id, minion.minion_id


@then(r'job "(?P<job>[\w-]+)" has started on "(?P<name>\w+)"')
def check_minion(context, job, name):
    starts = [order for _, order in context.fleet.starts if order.run.key.job_id == job]
    assert [order.minion.minion_id for order in starts] == [name], starts


@then(r'between (?P<low>\d+) and (?P<high>\d+) tasks of "(?P<name>\w+)" have started')
def check_count(context, low, high, name):
    jobs = [order.run.key.job_id for _, order in context.fleet.starts]
    count = sum(job.startswith(f"{name}-") for job in jobs)
    assert int(low) <= count <= int(high), count


@then(r"the starts are those of the same load with look-ahead off")
def check_same_starts(context):
    fleet = context.fleet
    other = LoadWorld(is_look_ahead=False)
    for name, facts in fleet.facts.items():
        other.list_minion(name, facts.capacity.cpu)
    other.run_for(0.2)
    other.streams = [replace(stream, submitted=0) for stream in fleet.streams]
    other.run_for(round(fleet.now - other.now, 1))
    made = [
        [(at, str(order.run.key), order.minion.minion_id) for at, order in one.starts]
        for one in (fleet, other)
    ]
    different = [pair for pair in zip(*made, strict=False) if pair[0] != pair[1]]
    assert len(made[0]) == len(made[1]) > 0 and not different, different[:3]


@then(r"it was logged that look-ahead is suspended")
def check_suspended(context):
    messages = [decision.message for decision in context.fleet.decisions]
    assert messages.count("look-ahead suspended") == 1, set(messages)


@when(r'the run of job "(?P<job>\w+)" fails')
def fail_run(context, job):
    key = TaskKey(job, 0, 0, 0)
    context.fleet.end(context.fleet.minion_running(key), key, EndKind.FAILED)


@then(r'job "(?P<job>\w+)" has started (?P<count>\d+) times')
def check_starts(context, job, count):
    starts = [at for at, order in context.fleet.starts if order.run.key.job_id == job]
    assert len(starts) == int(count), (starts, context.fleet.now)


@when(r'job "(?P<job>\w+)" is cancelled')
def cancel(context, job):
    context.fleet.scheduler.cancel(job, context.fleet.now)


@when(r'the minion of job "(?P<job>\w+)" falls silent')
def silence(context, job):
    fleet = context.fleet
    name = fleet.minion_running(TaskKey(job, 0, 0, 0))
    fleet.silent.add(name)
    fleet.scheduler.mark_minion_silent(fleet.scheduler.minions[name], "no answer", fleet.now)
