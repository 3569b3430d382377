from __future__ import annotations

from dataclasses import replace

from behave import given, step, then, use_step_matcher, when

from dotterelhill.jobs.changes import Switches
from dotterelhill.jobs.fleet import EndKind
from dotterelhill.jobs.minions.standing import MinionStanding
from dotterelhill.jobs.model import Step
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tests.fleet_world import FleetWorld

use_step_matcher("re")

ROUND_SECONDS = 0.1
SHORT = Step(1, ResourceVector(1000, 100), 1.0, image="learned")
TASKS = {
    "a short task": SHORT,
    "a task with one attempt left": SHORT,
    "a speculative task": replace(SHORT, is_speculative=True),
    "a lasting task": replace(SHORT, is_lasting=True),
    "a gang of 2 tasks": replace(SHORT, count=2, is_gang=True),
    "a gang of 30 tasks": replace(SHORT, count=30, is_gang=True),
    "a task of 10 seconds": replace(SHORT, image="", estimate_seconds=10.0),
    "a checkpointing task": replace(SHORT, image="", estimate_seconds=10.0, is_checkpointing=True),
}


def learn(fleet, low=0.9, high=1.1, count=40):
    for number in range(count):
        seconds = low + (high - low) * number / count
        fleet.scheduler.durations.record("short", SHORT, seconds)


def run_rounds(fleet, seconds):
    for _ in range(round(float(seconds) / ROUND_SECONDS)):
        fleet.run_round()


def run_on(fleet, names, count, queue="short"):
    """Run a job of ``count`` tasks on each of some minions, and return the keys of its runs."""
    job = f"x{len(fleet.submitted)}"
    steps = tuple(replace(SHORT, count=count, required_label=name) for name in names)
    fleet.submit(job, steps, queue)
    fleet.run_round()
    return [key for name in names for key in fleet.running[name] if key.job_id == job]


def end_all(fleet, keys, kinds):
    for key, kind in zip(keys, kinds, strict=True):
        fleet.end(fleet.minion_running(key), key, EndKind(kind))


def slow_down(fleet, names):
    keys = run_on(fleet, names, 4)
    run_rounds(fleet, 4.0)
    for key in keys:
        if fleet.minion_running(key):
            end_all(fleet, [key], ["done"])
    run_rounds(fleet, 0.2)


def on_probation(fleet):
    minions = fleet.scheduler.minions.values()
    standings = [fleet.scheduler.uneven.standing_of(minion) for minion in minions]
    return sum(one is not None and one.is_on_probation for one in standings)


@given(r"8 minions of 4 processors with speed placement")
def new_fleet(context):
    fleet = context.fleet = FleetWorld()
    switches = Switches(speed_placement=True)
    fleet.settings = replace(fleet.settings, switches=switches, are_restarts_enabled=False)
    fleet.queues["short"] = replace(fleet.queues["short"], max_attempts=9)
    fleet.take_over()
    for number in range(8):
        fleet.list_minion(f"m{number}", labels=(f"m{number}", "r1"))
    fleet.run_round()
    learn(fleet)


@given(r"a new leader without speed placement")
def switch_off(context):
    context.fleet.settings = replace(context.fleet.settings, switches=Switches())
    take_over(context)


@given(r'a machine with "(?P<events>[^"]+)", where (?P<usual>[\d.]+) of the runs elsewhere fail')
def new_standing(context, events, usual):
    now = 1000.0
    standing = MinionStanding("m:1", ResourceVector(4000, 100))
    words = events.split()
    for count, event in zip(words[::2], words[1::2], strict=True):
        for _ in range(int(count)):
            now += 1.0
            match event:
                case "done":
                    standing.record_done(now, now, is_slow=False)
                case "failed":
                    standing.record_failure(now)
                case "left":
                    standing.record_departure(now)
                case "slow":
                    standing.speed.record(8.0, 1.0, now)
    standing.speed.expire(now)
    context.fault = standing.fault(float(usual), now)


@then(r'its fault is "(?P<fault>[^"]+)"')
def check_fault(context, fault):
    assert str(context.fault or "none") == fault, context.fault


@given(r'minion "(?P<name>\w+)" fails half of its runs')
def fail_runs(context, name):
    fleet = context.fleet
    fleet.queues["long"] = replace(fleet.queues["long"], max_attempts=1)
    fleet.configure()
    for _ in range(3):
        end_all(fleet, run_on(fleet, [name], 2, "long"), ["done", "failed"])
        run_rounds(fleet, 2.0)


@given(r'minion "(?P<name>\w+)" restarts each 3 seconds')
def restart(context, name):
    for _ in range(3):
        context.fleet.list_minion(
            name, labels=(name, "r1"), born_ms=context.fleet.facts[name].born_ms + 1
        )
        run_rounds(context.fleet, 3.0)


@given(r"2 minions restart (?P<count>\d) times")
def restart_two(context, count):
    fleet = context.fleet
    for _ in range(int(count)):
        for name in ("m0", "m1"):
            fleet.list_minion(name, labels=(name, "r1"), born_ms=fleet.facts[name].born_ms + 1)
            run_rounds(fleet, 1.0)


@given(r'4 tasks have run on "(?P<name>\w+)" for 4 seconds that others end within 1')
def run_slowly(context, name):
    run_on(context.fleet, [name], 4)
    run_rounds(context.fleet, 4.0)


@given(r'minion "(?P<name>\w+)" is slow')
def make_slow(context, name):
    slow_down(context.fleet, [name])


@given(r"(?P<count>\d+) minions are slow at once")
def make_many_slow(context, count):
    slow_down(context.fleet, [f"m{number}" for number in range(int(count))])


@step(r"all other minions are full")
def fill(context):
    fleet = context.fleet
    names = [f"m{number}" for number in range(1, 8)]
    steps = [
        replace(SHORT, count=4 - len(fleet.running[name]), required_label=name) for name in names
    ]
    fleet.submit("full", tuple(steps))
    fleet.run_round()
    for minion in fleet.scheduler.minions.values():
        for run in minion.runs.values():
            # Runs that were throttled say nothing about the minion, and get no copies.
            run.is_partial = run.is_partial or run.key.job_id == "full"


@given(r'the waiting jobs "old" and later "new" of 40 tasks each')
def submit_both(context):
    context.fleet.submit("old", (replace(SHORT, count=40),))
    context.fleet.now += 0.1
    context.fleet.submit("new", (replace(SHORT, count=40),))


@given(r"tasks that take (?P<low>[\d.]+) to (?P<high>[\d.]+) seconds")
def learn_range(context, low, high):
    take_over(context)
    learn(context.fleet, float(low), float(high))


@given(r'"(?P<name>\w+)" has a run and takes (?P<ratio>[\d.]+) times as long as others')
def occupy(context, name, ratio):
    run_on(context.fleet, [name], 1)
    speed = context.fleet.scheduler.minions[name].speed
    for _ in range(60):
        speed.record(float(ratio), 1.0, context.fleet.now)


@given(r"(?P<count>\d+) minions (?P<when>are replaced|were replaced long ago)")
def replace_minions(context, count, when):
    fleet = context.fleet
    for number in range(int(count)):
        name = f"m{number}"
        fleet.list_minion(name, labels=(name, "r1"), is_draining=True)
        run_rounds(fleet, 2.0)
        fleet.scheduler.mark_minion_unlisted(name)
        del fleet.facts[name]
        fleet.silent.add(name)
        fleet.list_minion(f"n{number}")
        run_rounds(fleet, 1.0)
    if when == "were replaced long ago":
        run_rounds(fleet, 21.0)


@when(r'job "a" of (?P<task>.+) arrives')
def submit(context, task):
    fleet = context.fleet
    if task == "a task with one attempt left":
        fleet.queues["short"] = replace(fleet.queues["short"], max_attempts=1)
        fleet.configure()
    fleet.submit("a", (TASKS[task],))


@when(r"(?P<seconds>[\d.]+) seconds pass in rounds")
def pass_rounds(context, seconds):
    run_rounds(context.fleet, seconds)


@when(r'a run on "(?P<name>\w+)" ends "(?P<kind>\w+)"')
def end_one(context, name, kind):
    key = next(iter(context.fleet.running[name]))
    context.fleet.end(name, key, EndKind(kind))


@when(r'"(?P<name>\w+)" comes back with (?P<processors>\d) processors')
def come_back(context, name, processors):
    born_ms = context.fleet.facts[name].born_ms + 1
    context.fleet.list_minion(name, 1000 * int(processors), born_ms=born_ms)


@when(r"a new leader takes over")
def take_over(context):
    context.fleet.take_over()
    context.fleet.run_round()
    learn(context.fleet)


@then(r'"(?P<name>\w+)" has (?P<count>\d+) runs?(?:, of job "(?P<job>\w+)")?')
def check_runs(context, name, count, job):
    jobs = [key.job_id for key in context.fleet.running[name]]
    assert len(jobs) == int(count), context.fleet.running
    assert job is None or set(jobs) == {job}, jobs


@then(r'job "a" runs (?P<where>not on|on) (?:"(?P<name>\w+)"|a new one)')
def check_where(context, where, name):
    found = [
        one for one, runs in context.fleet.running.items() for key in runs if key.job_id == "a"
    ]
    assert len(found) == 1, context.fleet.running
    is_there = found[0] == name if name else found[0].startswith("n")
    assert is_there == (where == "on"), found


@then(r"(?P<count>\d+) minions are on probation")
def check_probations(context, count):
    assert on_probation(context.fleet) == int(count), on_probation(context.fleet)


@then(r'"(?P<message>[^"]+)" was logged once')
def check_logged(context, message):
    found = [one for one in context.fleet.decisions if one.message == message]
    assert len(found) == 1, found
