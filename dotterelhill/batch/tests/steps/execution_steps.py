from __future__ import annotations

from behave import given, step, then, when

from dotterelhill.batch.tests.world import World
from dotterelhill.ledger import Assign, Stopped, decode_record


def get_or_create_world(context) -> World:
    if getattr(context, "world", None) is None:
        context.world = World()
    return context.world


def running_worker(world: World, job: str, index: int):
    tasks = [task for task in world.ledger().placements.runs if task.startswith(f"{job}@")]
    task = next(task for task in tasks if task.endswith(f"/{index}"))
    return world.workers[world.ledger().placements.runs[task].worker], task


@given('worker "{name}" with {cpu:g} processors in "{domain}"')
def add_worker(context, name, cpu, domain):
    world = get_or_create_world(context)
    world.add_worker(name, domain, cpu)


@given('processes "{first}" and "{second}" in "{domain}", "{scheduler}" is the scheduler')
def add_processes(context, first, second, domain, scheduler):
    context.pending_processes = [(first, domain), (second, domain)]
    context.scheduler = scheduler


def start_processes(context):
    world = get_or_create_world(context)
    world.publish()
    for name, domain in context.pending_processes:
        world.add_process(name, domain)
    world.processes[context.scheduler].is_scheduler = True


@given('"{first}" holds "{one}" and "{second}" holds "{other}"')
def hold_one_worker_each(context, first, one, second, other):
    start_processes(context)
    world = context.world
    world.hold(first, one)
    world.hold(second, other)
    world.run(3)


@given('process "{name}" holds "{one}" and "{other}"')
def hold_two_workers(context, name, one, other):
    # A process connects at its start to the workers that exist then; later ones must be added.
    add_connections(context.world)
    context.world.hold(name, one)
    context.world.hold(name, other)
    context.world.run(3)


def add_connections(world):
    for process in world.processes.values():
        process.connect()


@given('process "{name}" in "{domain}" holds "{worker}"')
def add_holder(context, name, domain, worker):
    world = context.world
    world.publish()
    world.add_process(name, domain)
    add_connections(world)
    world.hold(name, worker)
    world.run(3)


@step('"{name}" holds "{worker}"')
def hold(context, name, worker):
    context.world.hold(name, worker)


@given('"{name}" is a scheduler as well')
def add_scheduler(context, name):
    context.world.processes[name].is_scheduler = True


@when("the VM list names no worker")
def empty_vm_list(context):
    for process in context.world.processes.values():
        process.is_vm_list_empty = True


@then("the log holds at most {count:d} records of tasks")
def check_records(context, count):
    records = [decode_record(data) for data in context.world.log]
    found = [record for record in records if isinstance(record, Assign | Stopped)]
    assert len(found) <= count, found


@given('service "{service}" with load {load:g} on "{worker}" is slowed to {factor:g} by "{job}"')
def run_service_on(context, service, load, worker, factor, job):
    behaviour = context.world.workers[worker].behaviour
    behaviour.services = {service: load}
    behaviour.slow_downs = {f"{service}|{job}": factor}


@when('"{sender}" sends its usage summary to "{receiver}"')
def send_usage_summary(context, sender, receiver):
    async def send() -> None:
        summary = context.world.processes[sender].batch.usage_summary()
        assert len(summary) < 1000
        context.world.processes[receiver].batch.merge_usage_summary(summary)

    context.world.loop.run_until_complete(send())


@when('"{receiver}" gets an unreadable usage summary')
def send_unreadable_summary(context, receiver):
    context.world.processes[receiver].batch.merge_usage_summary(b"\x93garbage")


@then(
    '"{name}" plans with load {load:g} of "{service}" on "{worker}" and an effect of "{job}" on it'
)
def check_planned_usage(context, name, load, service, worker, job):
    placement = context.world.processes[name].batch.placement
    assert placement.nodes.get(worker).service_loads == {service: load}
    effect = placement.interference.effect(service, job, context.world.loop.time())
    assert effect.mean > 0.2, effect


@given("each append takes {seconds:g} s")
def slow_appends(context, seconds):
    context.world.append_seconds = seconds


@when('"{name}" is no longer a scheduler')
def end_scheduler(context, name):
    context.world.processes[name].is_scheduler = False


@given("messages to a worker that is cut off arrive {seconds:g} s late")
def deliver_late(context, seconds):
    context.world.late_delivery_seconds = seconds


@then("{count:d} runs were started")
def check_run_count(context, count):
    assert len(context.world.journal()) == count, context.world.journal()


@given("each {kind} is delayed by {seconds:g} s")
def delay_messages(context, kind, seconds):
    context.world.delays[kind] = seconds


@when("the log is read but no task can be sent")
def cut_starts(context):
    context.world.delays["start"] = 0.0
    context.world.blocked_kinds.add("start")


@given("each answer to a start is {seconds:g} s late")
def late_answers(context, seconds):
    context.world.late_answers["start"] = seconds


@step("the next {count:d} answers to an {kind} are lost")
@step("the next {count:d} answers to a {kind} are lost")
def lose_answers(context, count, kind):
    context.world.lost_answers[kind] = count


@given("each start is delivered twice")
def duplicate_starts(context):
    context.world.duplicated.add("start")


@given("the autonomy time is {seconds:d} s")
def set_autonomy(context, seconds):
    context.world.document["autonomy_seconds"] = seconds


@given('worker "{name}" fails everything it starts')
def fail_everything(context, name):
    context.world.workers[name].behaviour.is_failing = True


@given("every job fails on every worker")
def fail_everywhere(context):
    for worker in context.world.workers.values():
        worker.behaviour.is_failing = True


def publish_job(world, name, tasks, cpu, seconds, priority="normal"):
    world.document["jobs"][name] = {
        "member": "m",
        "team": "t",
        "tasks": tasks,
        "cpu": cpu,
        "run_seconds": seconds,
        "priority": priority,
    }
    world.publish()


@when('job "{name}" with {tasks:d} tasks of {cpu:g} processors for {seconds:g} s is published')
def publish(context, name, tasks, cpu, seconds):
    publish_job(context.world, name, tasks, cpu, seconds)


@when(
    'urgent job "{name}" with {tasks:d} tasks of {cpu:g} processors for {seconds:g} s is published'
)
def publish_urgent(context, name, tasks, cpu, seconds):
    publish_job(context.world, name, tasks, cpu, seconds, "urgent")


@when("{jobs:d} jobs with {tasks:d} tasks of {cpu:g} processors for {seconds:g} s are published")
def publish_many(context, jobs, tasks, cpu, seconds):
    context.published = {f"job-{number}": tasks for number in range(jobs)}
    for name in context.published:
        publish_job(context.world, name, tasks, cpu, seconds)


@when('job "{name}" is cancelled')
def cancel(context, name):
    context.world.document["jobs"][name]["cancelled"] = True
    context.world.publish()


@when("{seconds:g} s pass")
def pass_time(context, seconds):
    context.world.run(seconds)


@when('failure domain "{domain}" is taken out')
def take_out(context, domain):
    world = context.world
    world.document["failure_domains"][domain]["state"] = "out"
    world.publish()
    context.out_at = world.loop.time()


@when('failure domain "{domain}" is put back in')
def put_in(context, domain):
    context.world.document["failure_domains"][domain]["state"] = "in"
    context.world.publish()


@when("the process that sends a start is paused before it is delivered")
def pause_sender(context):
    world = context.world
    for _ in range(200):
        world.run(0.05)
        for process in world.processes.values():
            if process.batch.counts["starts"]:
                process.running_event.clear()
                return
    raise AssertionError("no start was sent")


@when('process "{name}" is paused')
def pause(context, name):
    context.world.processes[name].running_event.clear()


@when("every process resumes")
def resume_all(context):
    for process in context.world.processes.values():
        process.running_event.set()


@when('the worker of task {index:d} of "{job}" is cut off')
def cut_worker(context, index, job):
    worker, _ = running_worker(context.world, job, index)
    context.world.partitions.add(("*", worker.name))


@when('the worker of task {index:d} of "{job}" and its holder are cut off together')
def cut_pair(context, index, job):
    world = context.world
    worker, _ = running_worker(world, job, index)
    holding = world.ledger().holders.holding(f"worker:{worker.name}")
    holder = next(p for p in world.processes.values() if p.incarnation == holding.holder)
    holder.is_cut_from_log = True
    context.cut_worker = worker.name
    context.other_process = next(p for p in world.processes.values() if p is not holder)
    context.other_process.is_scheduler = True
    world.partitions.add((context.other_process.name, worker.name))


@when("the other process holds that worker")
def take_over(context):
    context.world.hold(context.other_process.name, context.cut_worker)


@when("all workers are reachable")
def reconnect(context):
    context.world.partitions.clear()
    context.world.blocked_kinds.clear()


@when('the worker of task {index:d} of "{job}" is switched off and attested as lost')
def attest_lost(context, index, job):
    world = context.world
    worker, _ = running_worker(world, job, index)
    world.partitions.add(("*", worker.name))
    worker.lease_until = float("-inf")
    world.document["lost_workers"].append(worker.name)
    world.publish()


@when('the worker of task {index:d} of "{job}" restarts')
def restart(context, index, job):
    worker, _ = running_worker(context.world, job, index)
    context.world.restart(worker)


@when("the log is {state}")
def set_log(context, state):
    for process in context.world.processes.values():
        process.is_cut_from_log = state == "down"


@then('job "{name}" has {count:d} tasks {outcome}')
def check_ended(context, name, count, outcome):
    task_outcomes = context.world.task_outcomes(name)
    assert task_outcomes == [outcome] * count, task_outcomes


@then("every published task is {outcome}")
def check_all_ended(context, outcome):
    for name, tasks in context.published.items():
        assert context.world.task_outcomes(name) == [outcome] * tasks, (
            name,
            context.world.task_outcomes(name),
        )


@then("every published task ran on {count:d} workers")
def check_all_workers(context, count):
    for name in context.published:
        check_workers(context, 0, name, count)


@then('worker "{name}" started at most {count:d} tasks')
def check_started(context, name, count):
    started = [entry for entry in context.world.journal() if entry["worker"] == name]
    assert len(started) <= count, len(started)


@then("no worker keeps a record of a run")
def check_forgotten(context):
    assert not any(worker.runs for worker in context.world.workers.values())


@then("no worker runs a task")
def check_stopped(context):
    runs = [run for worker in context.world.workers.values() for run in worker.runs.values()]
    assert not any(run.is_running for run in runs), runs


@then('task {index:d} of "{job}" ran {count:d} times')
def check_runs(context, index, job, count):
    runs = [e for e in context.world.journal(f"{job}@") if e["task"].endswith(f"/{index}")]
    assert len(runs) == count, runs


def check_workers(context, index, job, count):
    runs = [e for e in context.world.journal(f"{job}@") if e["task"].endswith(f"/{index}")]
    assert len(runs) == count and len({entry["worker"] for entry in runs}) == count, runs


def check_no_overlap(world):
    ends: dict[str, float] = {}
    for entry in world.journal():
        assert entry["start"] >= ends.get(entry["task"], 0.0), entry
        ends[entry["task"]] = float("inf") if entry["end"] is None else entry["end"]


@then("every task ran in one place at a time")
def check_single_place(context):
    check_no_overlap(context.world)


@then("every task ran in one place at a time and lost no work")
def check_no_lost_work(context):
    check_no_overlap(context.world)
    done: dict[str, float] = {}
    for entry in context.world.journal():
        resumed = entry["resumed_seconds"]
        assert abs(resumed - done.get(entry["task"], 0.0)) < 0.01, entry
        done[entry["task"]] = entry["done_seconds"]


@then('no task started after failure domain "{domain}" was taken out')
def check_none_started(context, domain):
    world = context.world
    late = [
        entry
        for entry in world.journal()
        if world.workers[entry["worker"]].failure_domain == domain
        and entry["start"] > context.out_at + 3.0
    ]
    assert not late, late


@then("no worker ever ran more than {cpu:g} processors")
def check_capacity(context, cpu):
    for worker in context.world.workers.values():
        changes = []
        for entry in worker.journal:
            changes.append((entry["start"], 1, 3.0))
            changes.append((entry["end"], 0, -3.0))
        used = 0.0
        for _, _, amount in sorted(changes):
            used += amount
            assert used <= cpu, worker.name


@then("no worker is quarantined")
def check_none_quarantined(context):
    world = context.world
    for process in world.processes.values():
        quarantined = process.batch.placement.faulty_workers.quarantined_workers(world.loop.time())
        assert not quarantined, quarantined


@then('job "{name}" is reported as infeasible because of "{reason}"')
def check_infeasible(context, name, reason):
    for process in context.world.processes.values():
        reported = process.batch.placement.infeasible_jobs.get(name, "")
        assert reason in reported, reported
