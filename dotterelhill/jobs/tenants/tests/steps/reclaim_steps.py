from __future__ import annotations

import random
from dataclasses import replace
from functools import partial

from behave import given, step, then, use_step_matcher, when

from dotterelhill.jobs.changes import Switches
from dotterelhill.jobs.fleet import EndKind, RunState
from dotterelhill.jobs.model import Job, Step
from dotterelhill.jobs.progress import apply_progress
from dotterelhill.jobs.resources import ResourceVector

use_step_matcher("re")

ROUND_SECONDS = 0.1


class Platform:
    """Minions that carry out stops and changes of pace, and checkpoint what is not paused."""

    def __init__(self, fleet, interval_seconds):
        self.fleet = fleet
        self.interval_seconds = interval_seconds
        self.is_checkpointing = True
        self.round_seconds = ROUND_SECONDS
        self.pace = {}
        self.paused_at = {}
        self.stopped = []
        self._orders_seen = self._stops_seen = 0

    def run_round(self):
        fleet = self.fleet
        for runs in fleet.running.values():
            for key, run_id in runs.items():
                checkpoint = f"{run_id}/{int((fleet.now + 1e-6) / self.interval_seconds)}"
                if self.is_checkpointing and self.pace.get((key, run_id), 100):
                    fleet.checkpoints[key] = checkpoint
        before = fleet.now
        fleet.run_round()
        fleet.now = before + self.round_seconds
        for order in fleet.pace_orders[self._orders_seen :]:
            identity = (order.run.key, order.run.run_id)
            if order.percent == 0 and self.pace.get(identity) != 0:
                self.paused_at[identity] = before
            self.pace[identity] = order.percent
        self._orders_seen = len(fleet.pace_orders)
        for order in fleet.stops[self._stops_seen :]:
            name = order.minion.minion_id
            if fleet.running[name].get(order.key) == order.run_id:
                self.stopped.append((before, name, order.key, order.run_id))
                fleet.end(name, order.key, EndKind.STOPPED, fleet.checkpoints.get(order.key, ""))
        self._stops_seen = len(fleet.stops)

    def running_of(self, job):
        return [key for runs in self.fleet.running.values() for key in runs if key.job_id == job]

    def paused(self):
        found = []
        for name, runs in self.fleet.running.items():
            for key, run_id in runs.items():
                if self.pace.get((key, run_id), 100) == 0:
                    found.append((name, key, run_id))
        return found


def pass_rounds(context, seconds):
    for _ in range(round(float(seconds) / context.platform.round_seconds)):
        context.platform.run_round()


def renew(context, **settings):
    """Replace the scheduler, to which nothing was submitted, by one with other settings."""
    fleet = context.fleet
    fleet.settings = replace(fleet.settings, **settings)
    fleet.take_over()


@step(r"checkpoints are reported every (?P<seconds>[\d.]+) s")
def new_platform(context, seconds):
    context.platform = Platform(context.fleet, float(seconds))


@given(r"a round follows another one after (?P<seconds>[\d.]+) s")
def change_rounds(context, seconds):
    context.platform.round_seconds = float(seconds)


@given(r"where there are no tenants")
def leave_without_tenants(context):
    assert not context.fleet.tenants


@given(r"where the switch is off")
def switch_off(context):
    renew(context, switches=Switches(reclaim=False))


@given(r"where checkpoints are older than a restore costs")
def checkpoint_rarely(context):
    context.platform.interval_seconds = 1e9


@step(r"(?P<seconds>[\d.]+) seconds pass with orders carried out")
def pass_seconds(context, seconds):
    pass_rounds(context, seconds)


@when(r"seconds pass until a run is ordered to stop")
def pass_until_stop(context):
    for _ in range(100):
        if context.platform.stopped:
            return
        context.platform.run_round()
    raise AssertionError("no run was ordered to stop")


@when(r'tenant "(?P<tenant>\w+)" cancels job "(?P<job>\w+)"')
def cancel_job(context, tenant, job):
    context.fleet.scheduler.cancel(job, context.fleet.now, tenant)


@when(r"nothing happens")
def do_nothing(context):
    pass


@step(r"checkpoints are (?P<what>no longer reported|reported again)")
def change_interval(context, what):
    context.platform.is_checkpointing = what == "reported again"


@step(r'(?P<count>\d+) runs of minion "(?P<name>\w+)" fail')
def fail_runs(context, count, name):
    for key in list(context.fleet.running[name])[: int(count)]:
        context.fleet.end(name, key, EndKind.FAILED)


@step(r"all minions fall silent")
def silence_minions(context):
    fleet = context.fleet
    for minion in fleet.scheduler.minions.values():
        fleet.silent.add(minion.minion_id)
        fleet.scheduler.mark_minion_silent(minion, "no answer", fleet.now)


@step(r"the minions answer again")
def end_silence(context):
    context.fleet.silent.clear()


@when(r"no start order can be sent any more")
def send_no_starts(context):
    fleet = context.fleet
    fleet.plan = partial(fleet.plan, 0)


@when(r"short tasks of no tenant use the only start of each round for (?P<seconds>\d+) seconds")
def use_starts(context, seconds):
    fleet, plan = context.fleet, context.fleet.plan
    fleet.plan = partial(plan, 1)
    for number in range(round(int(seconds) / ROUND_SECONDS)):
        fleet.submit(f"n{number}", (Step(2, ResourceVector(1000, 100), 1.0),))
        context.platform.run_round()
        for name, runs in fleet.running.items():
            for key in [key for key in runs if key.job_id.startswith("n")]:
                fleet.end(name, key, EndKind.DONE)
    fleet.plan = plan


@when(r"the paused runs end by themselves")
def end_paused(context):
    for name, key, _ in context.platform.paused():
        context.fleet.end(name, key, EndKind.DONE)


@when(r"the minions of the paused runs drain")
def drain_minions(context):
    for name, facts in list(context.fleet.facts.items()):
        context.fleet.list_minion(
            name, facts.capacity.cpu, gpu=facts.capacity.gpu, is_draining=True
        )


@when(
    r'tenant "(?P<tenant>\w+)" submits short jobs with 1 accelerators for (?P<seconds>\d+) seconds'
    r" under (?P<leaders>one leader|several leaders)"
)
def submit_short_jobs(context, tenant, seconds, leaders):
    fleet = context.fleet
    one = Step(1, ResourceVector(1000, 100, 1), 1.0)
    for number in range(round(int(seconds) / ROUND_SECONDS)):
        if number % 25 == 0:
            fleet.submit(f"{tenant}{number}", (one,), tenant=tenant)
        if leaders == "several leaders" and number % 70 == 69:
            fleet.take_over()
        context.platform.run_round()
        for name, runs in fleet.running.items():
            for key in [key for key in runs if key.job_id.startswith(tenant)]:
                if random.Random(number).random() < 0.2:
                    fleet.end(name, key, EndKind.DONE)


@then(r'(?P<count>\d+) runs were ordered to stop, all of job "(?P<job>\w+)"')
def check_stops(context, count, job):
    stopped = context.platform.stopped
    assert len(stopped) == int(count), stopped
    assert all(key.job_id == job for _, _, key, _ in stopped), stopped


@then(r'(?P<count>\d+) tasks of job "(?P<job>\w+)" run')
def check_running(context, count, job):
    running = context.platform.running_of(job)
    assert len(running) == int(count), running


@then(r"(?P<count>\d+) runs are paused")
def check_paused(context, count):
    paused = context.platform.paused()
    assert len(paused) == int(count), paused


@then(r"no run is paused")
def check_none_paused(context):
    assert not context.platform.paused(), context.platform.paused()


@then(r"the paused runs are stored with their newest checkpoints")
def check_stored(context):
    fleet, paused = context.fleet, context.platform.paused()
    assert paused
    for _, key, run_id in paused:
        job = Job(next(one for one in fleet.submitted if one.job_id == key.job_id))
        apply_progress(job, fleet.stored[key.job_id])
        assert (job.task(key).run_id, job.task(key).checkpoint) == (
            run_id,
            fleet.checkpoints[key],
        ), job.task(key)


@then(r"each run had been paused for 0.5 s when it was stopped")
def check_pauses(context):
    platform = context.platform
    assert platform.stopped
    for at, _, key, run_id in platform.stopped:
        assert at - platform.paused_at[key, run_id] >= 0.5 - 1e-6, (at, key)


def check_minion_intervals(platform):
    newest = {}
    for at, name, key, _ in platform.stopped:
        assert at - newest.get(name, float("-inf")) >= 0.5 - 1e-6, (at, name, key)
        newest[name] = at


@then(r"at most one run was stopped on each minion in any 0.5 s")
def check_intervals(context):
    check_minion_intervals(context.platform)


def check_task_intervals(platform):
    newest = {}
    for at, _, key, _ in platform.stopped:
        assert at - newest.get(key, float("-inf")) >= 10.0 - 1e-6, (at, key)
        newest[key] = at


@then(r"no task was stopped twice within 10 s")
def check_not_twice(context):
    assert len(context.platform.stopped) >= 2, context.platform.stopped
    check_task_intervals(context.platform)


@then(r'the gauge of reclaimed runs of tenant "(?P<tenant>\w+)" is (?P<count>\d+)')
def check_gauge(context, tenant, count):
    gauges = context.fleet.scheduler.tenant_gauges()
    assert gauges["tenants.reclaimed_runs", tenant] == int(count), gauges


@then(r"the rules of reclaim hold in (?P<rounds>\d+) rounds of random events, seed (?P<seed>\d+)")
def check_random_history(context, rounds, seed):
    fleet, platform, choose = context.fleet, context.platform, random.Random(int(seed))
    kinds, reclaimed, ended_at = {}, [], []
    for number in range(int(rounds)):
        if choose.random() < 0.15:
            kind = choose.choice(["task", "lasting", "filler", "checkpointing", "checkpointing"])
            one = Step(
                choose.randint(1, 4), ResourceVector(1000, 100, choose.randint(0, 2)), 1.0,
                is_lasting=kind == "lasting", is_filler=kind in ("filler", "checkpointing"),
                is_checkpointing=kind in ("checkpointing", "task"),
            )  # fmt: skip
            kinds[f"r{number}"] = kind
            fleet.submit(f"r{number}", (one,), tenant=choose.choice(["", "t", "u", "v"]))
        running = [(name, key) for name, runs in fleet.running.items() for key in runs]
        if running and choose.random() < 0.15:
            name, key = choose.choice(running)
            ended_at.append(fleet.now)
            if kinds[key.job_id] == "lasting":
                job = fleet.scheduler.jobs[key.job_id]
                fleet.scheduler.cancel(key.job_id, fleet.now, job.submission.tenant)
            else:
                fleet.end(name, key, choose.choice([EndKind.DONE, EndKind.FAILED]))
        stopped_before = len(platform.stopped)
        platform.run_round()
        for entry in platform.stopped[stopped_before:]:
            key = entry[2]
            if not fleet.scheduler.jobs[key.job_id].is_ended:
                assert kinds[key.job_id] == "checkpointing", key
                reclaimed.append(entry)
    assert reclaimed
    tenants = {one.job_id: one.tenant for one in fleet.submitted}
    for at, name, key, run_id in reclaimed:
        followers = [
            order
            for order in fleet.sent
            if order.minion.minion_id == name
            and platform.paused_at[key, run_id] < order.run.planned_at <= at + 1.0
            and tenants[order.run.key.job_id] != tenants[key.job_id]
        ]
        # Another end in the round before the place is free changes shares or what has room, may set
        # the minion aside, or cancels the job that was to start.
        is_changed = any(at < then < at + 1.5 * ROUND_SECONDS for then in ended_at)
        assert followers or is_changed or at + 1.0 > fleet.now, (at, name, key)
    platform.stopped = reclaimed
    check_minion_intervals(platform)
    check_task_intervals(platform)
    for minion in fleet.scheduler.minions.values():
        for run in minion.runs.values():
            assert run.pace or run.state is RunState.STOPPING or fleet.now - run.paced_at < 2.0, run
