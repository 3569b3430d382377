from __future__ import annotations

from unittest.mock import patch

import msgspec
from behave import given, then, use_step_matcher, when

from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.model import Job, Step, TaskKey
from dotterelhill.jobs.progress import apply_progress
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tests.crash_world import (
    MAX_STARTS_AFTER_CRASHES,
    MIN_CRASHES_TO_GIVE_UP,
    CrashWorld,
    random_crash_world,
)

use_step_matcher("re")


def crashing_step(count: int, cpu: int, kind: str) -> Step:
    return Step(
        int(count),
        ResourceVector(1000 * int(cpu), 100),
        1.0,
        is_lasting=kind.startswith("lasting"),
        is_gang=kind.startswith("gang"),
    )


@given(
    r'a fleet with minions "(?P<names>[^"]*)" of (?P<cpu>\d+) processors, '
    r"on which deadly tasks crash their minion"
)
def new_crash_world(context, names, cpu):
    context.fleet = CrashWorld()
    for name in names.split():
        context.fleet.list_minion(name, 1000 * int(cpu))


@given(
    r'(?P<sort>deadly|innocent) job "(?P<job>\w+)" of (?P<count>\d+) '
    r"(?P<kind>tasks?|lasting tasks?|gang members) of (?P<cpu>\d+) processors"
)
@when(
    r'(?P<sort>deadly|innocent) job "(?P<job>\w+)" of (?P<count>\d+) '
    r"(?P<kind>tasks?|lasting tasks?|gang members) of (?P<cpu>\d+) processors comes"
)
def submit_job(context, sort, job, count, kind, cpu):
    context.fleet.submit(job, (crashing_step(count, cpu, kind),))
    if sort == "deadly":
        context.fleet.deadly_jobs.add(job)


@given(r'task (?P<index>\d+) of job "(?P<job>\w+)" is deadly')
def make_task_deadly(context, index, job):
    context.fleet.deadly.add(TaskKey(job, 0, 0, int(index)))


@when(r"(?P<seconds>[\d.]+) seconds? pass(?:es)? with crashes")
def pass_seconds_with_crashes(context, seconds):
    context.fleet.run_seconds(float(seconds))


@then(r"no deadly task was started more than twice after 3 crashes")
def check_starts_after_crashes(context):
    excess = {
        str(key): count
        for key, count in context.fleet.starts_after_crashes.items()
        if count > MAX_STARTS_AFTER_CRASHES and context.fleet.is_deadly(key)
    }
    assert not excess, excess


@given(r"crashed minions are down for (?P<seconds>\d+) seconds")
def set_down_time(context, seconds):
    context.fleet.down_seconds = float(seconds)


@given(r"the answers to starts of deadly tasks are lost")
def lose_start_answers(context):
    context.fleet.is_start_answer_lost = True


@given(r"minions report between the start of a deadly task and the crash")
def report_before_crash(context):
    context.fleet.is_report_before_crash = True


@given(r"a new leader takes over as each crashed minion is back")
def take_over_at_return(context):
    context.fleet.is_takeover_at_return = True


@given(r"the entries of crashed minions are removed")
def remove_entries(context):
    context.fleet.is_entry_removed = True


@given(r"polls of the other minions get no answer for a moment at each crash")
def share_silence(context):
    context.fleet.is_silence_shared = True


@given(r"the silence of crashed minions is not noticed")
def hide_silence(context):
    context.fleet.is_silence_noticed = False


@when(r'the minion of job "(?P<job>\w+)" crashes')
def crash_minion_of(context, job):
    context.fleet.crash(context.fleet.minion_running(TaskKey(job, 0, 0, 0)))


@given(r"answers to starts carry no clock")
def omit_start_clocks(context):
    context.fleet.is_start_clock_missing = True


@when(r'minions "(?P<names>[^"]*)" crash')
def crash_minions(context, names):
    for name in names.split():
        context.fleet.crash(name)


@when(
    r"(?P<seconds>\d+) seconds pass with crashes and a new leader "
    r"(?:(?P<delay>\d+) seconds? )?after each crash"
)
def pass_seconds_with_takeovers(context, seconds, delay):
    fleet = context.fleet
    crash_count = 0
    take_over_at = None
    end = fleet.now + int(seconds)
    while fleet.now < end:
        fleet.run_crash_round()
        if fleet.crash_count > crash_count:
            crash_count = fleet.crash_count
            take_over_at = fleet.now + float(delay or 0)
        if take_over_at is not None and fleet.now >= take_over_at:
            take_over_at = None
            fleet.take_over()


@when(
    r'(?P<times>\d+) times, minions "(?P<names>[^"]*)" crash, a new leader takes over '
    r"and (?P<seconds>\d+) seconds pass"
)
def crash_with_takeovers(context, times, names, seconds):
    for _ in range(int(times)):
        crash_minions(context, names)
        context.fleet.take_over()
        context.fleet.run_seconds(float(seconds))


@when(
    r'minion "(?P<name>\w+)" crashes every (?P<interval>[\d.]+) seconds for (?P<seconds>\d+) '
    r"seconds while jobs of (?P<count>\d+) tasks come"
)
def crash_repeatedly(context, name, interval, seconds, count):
    for number in range(int(float(seconds) / float(interval))):
        context.fleet.submit(f"flap{number}", (crashing_step(count, 1, "tasks"),))
        context.fleet.run_seconds(float(interval))
        context.fleet.crash(name)


@when(
    r"jobs of (?P<count>\d+) tasks of (?:(?P<work>[\d.]+) seconds|staggered length) come every "
    r"(?P<interval>[\d.]+) seconds for (?P<seconds>\d+) seconds"
)
def submit_steadily(context, count, work, interval, seconds):
    context.fleet.is_work_staggered = work is None
    context.fleet.work_seconds = float(work or 1)
    for number in range(round(float(seconds) / float(interval))):
        context.fleet.submit(f"steady{number}", (crashing_step(count, 1, "tasks"),))
        context.fleet.run_seconds(float(interval))


@then(r"deadly tasks have crashed at most (?P<maximum>\d+) minions")
def check_deadly_crashes(context, maximum):
    count = context.fleet.deadly_crash_count
    assert 0 < count <= int(maximum), count


@then(r'each crash by job "(?P<job>\w+)" was counted against its task')
def check_counted_crashes(context, job):
    fleet = context.fleet
    counted = [
        one.fields["crashes"]
        for one in fleet.decisions
        if one.job_id == job and one.message == "task suspected of crashing minions"
    ]
    assert counted == [*range(1, fleet.deadly_crash_count + 1)] != [], counted


@then(r"a round looks at the room of minions at most (?P<count>\d+) times")
def check_room_checks(context, count):
    with patch.object(Minion, "has_room_for", autospec=True, return_value=False) as checks:
        context.fleet.plan()
    assert checks.call_count <= int(count), checks.call_count


@then(r'no task of job "(?P<job>\w+)" was lost more than once')
def check_losses(context, job):
    lost = {
        str(key): count
        for key, count in context.fleet.crashes_under.items()
        if key.job_id == job and count > 1
    }
    assert not lost, lost


@then(r'no task of job "(?P<job>\w+)" was lost only once')
def check_lost_repeatedly(context, job):
    counts = [count for key, count in context.fleet.crashes_under.items() if key.job_id == job]
    assert counts and min(counts) > 1, counts


@then(r'no task of job "(?P<job>\w+)" has been suspected')
def check_never_suspected(context, job):
    fleet = context.fleet
    decisions = [*fleet.decisions, *fleet.scheduler.take_decisions()]
    assert any(decision.kind == "minion crashed under runs" for decision in decisions)
    for decision in decisions:
        is_suspicion = decision.kind == "task suspected of crashing minions"
        assert not (is_suspicion and decision.job_id == job), decision


@then(r'the minion of job "(?P<job>\w+)" is polled again within (?P<seconds>[\d.]+) seconds')
def check_poll_wait(context, job, seconds):
    name = context.fleet.minion_running(TaskKey(job, 0, 0, 0))
    scheduler = context.fleet.scheduler
    wait_seconds = scheduler.poll_wait_seconds(scheduler.minions[name])
    assert wait_seconds <= float(seconds), wait_seconds


@then(r'all jobs but "(?P<job>\w+)" are shown as "(?P<state>\w+)"')
def check_other_states(context, job, state):
    others = {
        name: shown
        for name, shown in context.fleet.shown_states().items()
        if name != job and shown != state
    }
    assert not others, others


@then(r'job "(?P<job>\w+)" runs in full')
def check_runs_in_full(context, job):
    running = [key for runs in context.fleet.running.values() for key in runs if key.job_id == job]
    count = context.fleet.scheduler.jobs[job].submission.steps[0].count
    assert len(running) == count, running


@then(r"no task is suspected")
def check_not_suspected(context):
    suspected = [
        str(task.key)
        for job in context.fleet.scheduler.jobs.values()
        for task in job.tasks.values()
        if task.crashes
    ]
    assert not suspected, suspected


@then(r'all tasks of job "(?P<job>\w+)" started again within (?P<seconds>[\d.]+) seconds')
def check_restarted(context, job, seconds):
    fleet = context.fleet
    for key, first_started_at in fleet.first_started_at.items():
        if key.job_id != job:
            continue
        assert fleet.start_counts[key] > 1, key
        waited = fleet.newest_started_at[key] - first_started_at
        assert waited <= float(seconds), (key, waited)


@then(r"only the first crash has lost runs that were not proven")
def check_lost_unproven_runs(context):
    counts = context.fleet.unproven_losses
    assert len(counts) > 1 and not any(counts[1:]), counts


@then(r"progress stored without crashes is restored")
def check_earlier_progress(context):
    fleet = context.fleet
    state, tasks, done, *_ = msgspec.msgpack.decode(fleet.stored["a"])
    # The fields that an earlier version did not have are the last three.
    earlier = msgspec.msgpack.encode([state, [row[:-3] for row in tasks], done])
    job = Job(fleet.submitted[0])
    apply_progress(job, earlier)
    assert [task.run_id for task in job.tasks.values()] == [1, 1], job.tasks
    assert [task.crashes for task in job.tasks.values()] == [0, 0], job.tasks


@when(r"fleets with crashes are played with seeds (?P<first>\d+) to (?P<last>\d+)")
def play_random_fleets(context, first, last):
    context.played = {seed: random_crash_world(seed) for seed in range(int(first), int(last) + 1)}


@then(r"in none of them a deadly task was started more than twice after 3 crashes")
def check_played_starts(context):
    for seed, world in context.played.items():
        for key, count in world.starts_after_crashes.items():
            is_allowed = count <= MAX_STARTS_AFTER_CRASHES or not world.is_deadly(key)
            assert is_allowed, (seed, str(key), count)


@then(r"in none of them a job was given up with fewer than 2 crashes, or left unfinished")
def check_played_states(context):
    for seed, world in context.played.items():
        deadly_jobs = world.deadly_jobs | {key.job_id for key in world.deadly}
        for job, state in world.shown_states().items():
            if job in deadly_jobs:
                assert state == "failed", (seed, job, state)
            elif world.most_crashes_under(job) < MIN_CRASHES_TO_GIVE_UP:
                assert state == "completed", (seed, job, state)
            else:
                assert state in ("completed", "failed"), (seed, job, state)
