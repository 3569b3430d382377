from __future__ import annotations

from unittest.mock import patch

from behave import given, then, use_step_matcher, when

from dotterelhill.jobs.fleet import EndKind
from dotterelhill.jobs.model import Step, TaskKey
from dotterelhill.jobs.orders import StartOutcome
from dotterelhill.jobs.progress import encode_progress
from dotterelhill.jobs.queues import Tenant
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tests.crash_world import ROUND_SECONDS, CrashWorld
from dotterelhill.jobs.tests.wave_world import play_waves, submit_serving_tasks

use_step_matcher("re")


def filler(cpu: float, **more) -> Step:
    return Step(1, ResourceVector(int(1000 * cpu), 100), 1.0, is_filler=True, image="print", **more)


def run_and_measure_waits(fleet: CrashWorld, seconds: float) -> None:
    """Run rounds and record for how long each job with a task to start had none assigned."""
    for _ in range(round(seconds / ROUND_SECONDS)):
        fleet.run_crash_round()
        for job_id, job in fleet.scheduler.jobs.items():
            is_idle = not any(task.is_assigned for task in job.tasks.values())
            if job.is_ended or not is_idle:
                fleet.idle_since.pop(job_id, None)
                continue
            since = fleet.idle_since.setdefault(job_id, fleet.now)
            waited = fleet.now - since
            fleet.longest_waits[job_id] = max(waited, fleet.longest_waits.get(job_id, 0.0))


@given(r"a fleet of (?P<count>\d+) minions of (?P<cpu>\d+) processors that may crash")
def new_large_crash_world(context, count, cpu):
    fleet = context.fleet = CrashWorld()
    fleet.idle_since, fleet.longest_waits = {}, {}
    for number in range(int(count)):
        fleet.list_minion(f"m{number}", 1000 * int(cpu))


@given(r"a serving task on each minion that leaves no headroom for fillers of unknown effect")
def submit_serving_on_each(context):
    fleet = context.fleet
    submit_serving_tasks(fleet, len(fleet.facts), 46.0)
    fleet.run_seconds(6.0)


@when(
    r'a serving task starts on each minion, while starts of job "(?P<job>\w+)" are refused for '
    r"(?P<seconds>\d+) seconds"
)
def refuse_starts_of_job(context, job, seconds):
    fleet = context.fleet
    submit_serving_tasks(fleet, len(fleet.facts), 46.0)
    refused = 0
    for _ in range(round(float(seconds) / ROUND_SECONDS)):
        fleet.poll()
        fleet.plan()
        for order in fleet.commit():
            if order.run.key.job_id == job:
                refused += 1
                fleet.sent.remove(order)
                outcome = StartOutcome.REFUSED
                fleet.scheduler.start_answered(order.run, outcome, fleet.now, fleet.now)
            else:
                fleet.deliver([order], StartOutcome.STARTED)
        fleet.now += ROUND_SECONDS
    assert refused, "no start was refused"


@given(r'job "(?P<job>\w+)" of 1 filler of (?P<cpu>\d+) processors that takes headroom')
@when(r'job "(?P<job>\w+)" of 1 filler of (?P<cpu>\d+) processors that takes headroom is submitted')
def submit_one_filler(context, job, cpu):
    context.fleet.submit(job, (filler(int(cpu)),), "long")


@given(r"(?P<count>\d+) jobs of 1 filler of (?P<cpu>\d+) processors that require a missing label")
def submit_fillers_without_minion(context, count, cpu):
    for number in range(int(count)):
        context.fleet.submit(
            f"stuck{number}", (filler(int(cpu), required_label="missing"),), "long"
        )


@given(r"(?P<count>\d+) jobs of 1 filler of (?P<cpu>\d+) processors that take headroom")
def submit_fillers_that_take_headroom(context, count, cpu):
    for number in range(int(count)):
        context.fleet.submit(f"filler{number}", (filler(int(cpu)),), "long")


@given(r"tasks of (?P<seconds>\d+) seconds of work")
def set_work_seconds(context, seconds):
    context.fleet.work_seconds = float(seconds)


@when(r"(?P<count>\d+) minions that run fillers crash")
def crash_filler_minions(context, count):
    fleet = context.fleet
    names = [
        minion.minion_id
        for minion in fleet.scheduler.minions.values()
        if any(run.step.is_filler for run in minion.runs.values())
    ]
    assert len(names) >= int(count), names
    for name in names[: int(count)]:
        fleet.crash(name)


@given(r"(?P<count>\d+) jobs of 1 (?P<kind>task|lasting task) of (?P<cpu>\d+) processors each")
def submit_single_task_jobs(context, count, kind, cpu):
    step = Step(1, ResourceVector(1000 * int(cpu), 100), 1.0, is_lasting=kind == "lasting task")
    for number in range(int(count)):
        context.fleet.submit(f"single{number}", (step,))


@when(r'the minion of job "(?P<job>\w+)" crashes as soon as its task has started')
def crash_at_start(context, job):
    fleet = context.fleet
    key = TaskKey(job, 0, 0, 0)
    for _ in range(100):
        fleet.run_crash_round()
        name = fleet.minion_running(key)
        if name is not None:
            fleet.crash(name)
            return
    raise AssertionError(f"{job} has not started")


@when(r"every minion with runs that are not proven crashes")
def crash_loaded_minions(context):
    loaded = [name for name, runs in context.fleet.running.items() if runs]
    assert loaded
    for name in loaded:
        context.fleet.crash(name)


@when(
    r"(?P<times>\d+) times, every minion with runs that are not proven crashes "
    r"and (?P<seconds>[\d.]+) seconds pass"
)
def crash_in_waves(context, times, seconds):
    fleet = context.fleet
    for _ in range(int(times)):
        unproven = {
            minion.minion_id
            for minion in fleet.scheduler.minions.values()
            if any(not run.is_proven for run in minion.runs.values())
        }
        for name in unproven:
            fleet.crash(name)
        run_and_measure_waits(fleet, float(seconds))


@when(r"(?P<seconds>[\d.]+) seconds pass while the waits of jobs are measured")
def measure_waits(context, seconds):
    run_and_measure_waits(context.fleet, float(seconds))


@then(r"no job with a task to start had nothing assigned for more than (?P<seconds>[\d.]+) seconds")
def check_waits(context, seconds):
    waits = context.fleet.longest_waits
    assert waits
    too_long = {
        job_id: round(waited, 1)
        for job_id, waited in waits.items()
        if waited > float(seconds) + ROUND_SECONDS / 2 and not job_id.startswith("stuck")
    }
    assert not too_long, too_long


@when(
    r'the task of job "(?P<job>\w+)" ends as "(?P<kind>\w+)" and '
    r"its (?P<part>duration can't be learned|failure can't be counted|dependents can't be added)"
)
def end_with_error(context, job, kind, part):
    """End a task; the report of its end raises an error once, as the leader sees it."""
    fleet, key = context.fleet, TaskKey(job, 0, 0, 0)
    name = fleet.minion_running(key)
    fleet.end(name, key, EndKind(kind))
    scheduler = fleet.scheduler
    if part.startswith("duration"):
        patched = patch.object(scheduler.durations, "record_end", side_effect=ZeroDivisionError)
    elif part.startswith("dependents"):
        placement = scheduler._placement
        patched = patch.object(placement, "add_ready_dependents", side_effect=ZeroDivisionError)
    else:
        patched = patch.object(scheduler.uneven, "record_failure", side_effect=ZeroDivisionError)
    with patched:
        try:
            fleet.poll()
        except ZeroDivisionError as error:
            scheduler.mark_minion_silent(scheduler.minions[name], repr(error), fleet.now)
        else:
            raise AssertionError("no error was raised")


@given(r'job "(?P<job>\w+)" of 2 steps, the second after the first')
def submit_two_steps(context, job):
    room = ResourceVector(1000, 100)
    context.fleet.submit(job, (Step(1, room, 1.0), Step(1, room, 1.0, after=(0,))))


@given(r"stop orders are neither answered nor carried out")
def lose_stops(context):
    context.fleet.carry_out_stops = lambda: None


@when(r'the minion of job "(?P<job>\w+)" drains')
def drain_minion_of(context, job):
    fleet = context.fleet
    name = fleet.minion_running(TaskKey(job, 0, 0, 0))
    fleet.list_minion(name, fleet.facts[name].capacity.cpu, is_draining=True)


@when(r'the run of job "(?P<job>\w+)" is gone without a listed end')
def lose_run(context, job):
    fleet = context.fleet
    key = TaskKey(job, 0, 0, 0)
    del fleet.running[fleet.minion_running(key)][key]


@given(
    r'a minion "(?P<name>\w+)" of (?P<cpu>\d+) processors with label "(?P<label>\w+)" '
    r"that may crash"
)
def list_labelled_minion(context, name, cpu, label):
    context.fleet.list_minion(name, 1000 * int(cpu), labels=(label, "r1"))


@given(
    r'job "(?P<job>\w+)" of a task that requires label "(?P<label>\w+)" and of '
    r"(?P<count>\d+) tasks that follow a task elsewhere"
)
def submit_job_with_label(context, job, label, count):
    room = ResourceVector(1000, 100)
    steps = (
        Step(1, room, 1.0, required_label=label),
        Step(1, room, 1.0, required_label="a"),
        Step(int(count), room, 1.0, after=(1,)),
    )
    context.fleet.submit(job, steps)


@when(r'the minion "(?P<name>\w+)" crashes as soon as a run starts there')
def crash_named_at_start(context, name):
    fleet = context.fleet
    for _ in range(100):
        fleet.run_crash_round()
        if fleet.running[name]:
            fleet.crash(name)
            return
    raise AssertionError(f"nothing has started on {name}")


@when(
    r"a new leader takes over that knows of (?P<count>\d+) certain crashes "
    r'under the tasks of jobs "(?P<jobs>[\w ]+)"'
)
def take_over_with_crashes(context, count, jobs):
    fleet = context.fleet
    for job in jobs.split():
        state = fleet.scheduler.jobs[job]
        state.task(TaskKey(job, 0, 0, 0)).crashes = int(count)
        fleet.stored[job] = encode_progress(state)
    fleet.take_over()


@when(r"(?P<times>\d+) times, a new leader takes over and (?P<seconds>[\d.]+) seconds pass")
def change_leaders(context, times, seconds):
    for _ in range(int(times)):
        context.fleet.take_over()
        context.fleet.run_seconds(float(seconds))


@given(
    r'job "(?P<job>\w+)" of (?P<count>\d+) tasks of (?P<cpu>\d+) processors '
    r"of a tenant whose limit they reach"
)
def submit_up_to_limit(context, job, count, cpu):
    fleet = context.fleet
    step = Step(int(count), ResourceVector(1000 * int(cpu), 100), 1.0)
    limit = ResourceVector(step.count * step.room.cpu, 0)
    fleet.tenants["one"] = Tenant("one", limit=limit)
    fleet.configure()
    fleet.submit(job, (step,), tenant="one")


@when(
    r'(?P<times>\d+) times, the minion of job "(?P<job>\w+)" crashes, a new leader takes over '
    r"and (?P<seconds>[\d.]+) seconds pass"
)
def crash_and_change_leaders(context, times, job, seconds):
    fleet = context.fleet
    for _ in range(int(times)):
        fleet.crash(fleet.minion_running(TaskKey(job, 0, 0, 0)))
        fleet.take_over()
        fleet.run_seconds(float(seconds))


@when(
    r"histories with waves of crashes and new leaders are played "
    r"with seeds (?P<first>\d+) to (?P<last>\d+)"
)
def play_histories(context, first, last):
    seeds = range(int(first), int(last) + 1)
    context.histories = {seed: play_waves(seed) for seed in seeds}


@then(r"in none of them a job waited for more than (?P<seconds>[\d.]+) seconds once all was calm")
def check_calm_waits(context, seconds):
    too_long = {}
    for seed, history in context.histories.items():
        waits = {
            job_id: round(waited, 1)
            for job_id, waited in history.longest_waits.items()
            if waited > float(seconds) + ROUND_SECONDS / 2
        }
        if waits:
            too_long[seed] = waits
    assert all(history.crash_count > 0 for history in context.histories.values())
    assert not too_long, too_long


@then(r"in none of them a task was assigned to a run that no minion has, or the reverse")
def check_consistency(context):
    found = {seed: one.inconsistent[:3] for seed, one in context.histories.items()}
    found = {seed: inconsistent for seed, inconsistent in found.items() if inconsistent}
    assert not found, found


@then(r'all jobs but the deadly ones are shown as "(?P<state>\w+)"')
def check_innocent_states(context, state):
    fleet = context.fleet
    deadly_jobs = fleet.deadly_jobs | {key.job_id for key in fleet.deadly}
    shown = fleet.shown_states()
    others = {job: one for job, one in shown.items() if job not in deadly_jobs and one != state}
    assert deadly_jobs and not others, others
