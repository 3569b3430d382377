from __future__ import annotations

import asyncio
from collections import Counter
from itertools import pairwise

import msgspec
from behave import given, then, use_step_matcher, when

from dotterelhill.control.interface import Stream
from dotterelhill.control.leadership import LEADER_KEY, RENEWAL_KEY, Renewal
from dotterelhill.control.start_window import StartWindow
from dotterelhill.control.tests.cluster_world import Cluster
from dotterelhill.jobs.orders import StartOutcome

use_step_matcher("re")

JOB_TASKS = 20


@given(
    r"a leader of (?P<minions>\d+) minions with processor time of (?P<ms>\d+) ms for each message"
)
def new_cluster(context, minions, ms):
    names = tuple(f"m{number}" for number in range(int(minions)))
    context.cluster = Cluster(["a"], minion_names=names)
    context.cluster.advance(3.0)
    context.cluster.seconds_per_message = int(ms) / 1000.0
    context.cluster.is_polling_long = True
    context.cluster.advance(1.0)
    context.job_count = 0


@when(r"the processor takes (?P<ms>\d+) ms for each message")
def set_processor(context, ms):
    context.cluster.seconds_per_message = int(ms) / 1000.0


@when(r"each scheduling round takes (?P<seconds>[\d.]+) s of processor")
def slow_rounds(context, seconds):
    process = context.cluster.processes["a"]
    scheduler = process.election.leader.scheduler
    plan = scheduler.plan

    def plan_slowly(*arguments) -> None:
        plan(*arguments)
        process.minions.processor.charge(float(seconds))

    scheduler.plan = plan_slowly


@when(r"answers of (?P<count>\d+) minions take (?P<seconds>[\d.]+) s")
def slow_answers(context, count, seconds):
    for number in range(int(count)):
        context.cluster.minions[f"m{number}"].answer_seconds = float(seconds)


@when(r"(?P<name>\w+) is not reached, answers of others take (?P<seconds>[\d.]+) s")
def fail_at_once(context, name, seconds):
    for minion in context.cluster.minions.values():
        minion.answer_seconds = float(seconds)
    client = context.cluster.processes["a"].minions
    start = client.start

    async def start_unless_gone(order, epoch, deadline_ms):
        if order.minion.minion_id == name:
            return StartOutcome.NOT_SENT, None
        return await start(order, epoch, deadline_ms)

    client.start = start_unless_gone


@when(r"(?P<rate>\d+) tasks of 1 second are submitted each second for (?P<seconds>\d+) seconds")
def submit_load(context, rate, seconds):
    cluster = context.cluster
    context.load_started_at = cluster.loop.time()
    context.load_seconds = int(seconds)

    async def submit_all() -> None:
        tasks = []
        for _ in range(int(rate) * int(seconds) // JOB_TASKS):
            context.job_count += 1
            job_id = f"{context.job_count:016x}"
            tasks.append(asyncio.create_task(cluster._submitted("a", job_id, JOB_TASKS)))
            await asyncio.sleep(JOB_TASKS / int(rate))
        await asyncio.gather(*tasks)

    cluster.run(submit_all())


@when(r"(?P<seconds>[\d.]+) seconds pass in the cluster")
def pass_time(context, seconds):
    context.cluster.advance(float(seconds))


def done_count(context) -> int:
    """Return the number of tasks that ended during the newest load."""
    since = context.load_started_at
    until = since + context.load_seconds
    count = 0
    for minion in context.cluster.minions.values():
        for started_at, _, _ in minion.starts:
            count += since <= started_at + minion.run_seconds < until
    return count


@then(r"the number of done tasks is noted")
def note_done(context):
    context.noted = done_count(context)
    assert context.noted > 0


@then(r"at least (?P<share>[\d.]+) times as many tasks are done as noted")
def check_done(context, share):
    done = done_count(context)
    assert done >= float(share) * context.noted, (done, context.noted)


@then(r"at least (?P<count>\d+) tasks are done meanwhile")
def check_done_count(context, count):
    assert done_count(context) >= int(count), done_count(context)


@then(r"no task that was done started again")
def check_started_once(context):
    counts = Counter(key for _, key, _ in context.cluster.starts)
    assert counts and max(counts.values()) == 1, counts.most_common(3)


@then(r"no task lapsed in the cluster")
def check_no_lapse(context):
    assert not sum(minion.lapses for minion in context.cluster.minions.values())


@then(r"no minion was taken for silent")
def check_not_silent(context):
    leader = context.cluster.processes["a"].election.leader
    assert all(minion.is_answering for minion in leader.scheduler.minions.values())
    renewals = [minion.renewals for minion in context.cluster.minions.values()]
    # The first poll of a term knows no clock of the minion yet, so it renews nothing.
    assert all(None not in deadlines[1:] for deadlines in renewals)


@then(r"a task that is submitted now starts within (?P<seconds>[\d.]+) seconds")
def check_recovery(context, seconds):
    cluster = context.cluster
    context.job_count += 1
    job_id = f"{context.job_count:016x}"
    started_at = cluster.loop.time()
    cluster.submit("a", job_id, 1)
    cluster.advance(float(seconds))
    starts = [at for at, key, _ in cluster.starts if key.job_id == job_id]
    assert starts, cluster.loop.time() - started_at


@then(
    r"a start waits at most (?P<limit>[\d.]+) second from its plan to its minion "
    r"in the last (?P<seconds>\d+) seconds"
)
def check_wait(context, limit, seconds):
    leader = context.cluster.processes["a"].election.leader
    now = context.cluster.loop.time()
    waits = []
    for minion in leader.scheduler.minions.values():
        for run in minion.runs.values():
            if run.settled_at is not None and now - run.planned_at < int(seconds):
                waits.append(run.settled_at - run.planned_at)
    assert waits and max(waits) <= float(limit), sorted(waits)[-5:]


@given(
    r"a leader of (?P<minions>\d+) minions, (?P<gone>\d+) of them gone, "
    r"with (?P<ms>[\d.]+) ms for each message"
)
def new_cluster_with_gone_minions(context, minions, gone, ms):
    context.cluster.close()
    names = tuple(f"m{number}" for number in range(int(minions)))
    context.cluster = Cluster(["a", "b"], minion_names=names)
    context.cluster.advance(3.0)
    context.cluster.seconds_per_message = float(ms) / 1000.0
    context.cluster.is_polling_long = True
    for number in range(int(gone)):
        context.cluster.minions[f"m{2 * number}"].is_dead = True


@given(r"each plan of a leader keeps its event loop for (?P<seconds>[\d.]+) s")
def slow_plans(context, seconds):
    context.cluster.seconds_per_plan = float(seconds)


@when(r"another process has taken over for (?P<seconds>[\d.]+) second")
def take_over(context, seconds):
    cluster = context.cluster
    cluster.kill(cluster.leaders[0])
    for _ in range(100):
        if cluster.leaders and cluster.processes[cluster.leaders[0]].election.leader._is_loaded:
            break
        cluster.advance(0.05)
    cluster.advance(float(seconds))


@then(r"it has a report of each minion that is not gone")
def check_synced(context):
    cluster = context.cluster
    leader = cluster.processes[cluster.leaders[0]].election.leader
    missing = [
        name
        for name, minion in leader.scheduler.minions.items()
        if not minion.is_synced and not cluster.minions[name].is_dead
    ]
    assert not missing and len(leader.scheduler.minions) == len(cluster.minions), len(missing)


@given(
    r"(?P<count>\d+) processes whose processors take (?P<message>\d+) ms for each message and "
    r"(?P<job>\d+) ms for each job, and (?P<jobs>\d+) jobs"
)
def new_slow_fleet(context, count, message, job, jobs):
    context.cluster.close()
    context.names = [f"p{number}" for number in range(int(count))]
    minions = tuple(f"m{number}" for number in range(20))
    context.cluster = cluster = Cluster(context.names, minion_names=minions)
    cluster.is_polling_long = True
    cluster.advance(3.0)
    for minion in cluster.minions.values():
        minion.run_seconds = 60.0
    cluster.submit_many(int(jobs), 0.002)
    cluster.seconds_per_message = int(message) / 1000.0
    cluster.seconds_per_job = int(job) / 1000.0


def leadership_records(cluster, key):
    """Return the records of a key in the leadership stream, from the first to the newest."""
    records = cluster.store.streams[Stream.LEADERSHIP, 0]
    return [record.value for record in records if record.key == key]


@when(r"all processes lose power and start again")
def lose_power(context):
    context.claims_before = len(leadership_records(context.cluster, LEADER_KEY))
    for name in context.names:
        context.cluster.kill(name)
    for name in context.names:
        context.cluster.start(name)


@then(r"one process has claimed leadership at most (?P<count>\d+) times and leads")
def check_claim_count(context, count):
    cluster = context.cluster
    claims = len(leadership_records(cluster, LEADER_KEY)) - context.claims_before
    assert claims <= int(count), claims
    leading = [name for name in cluster.leaders if cluster.processes[name].leadership.is_leading]
    assert len(leading) == 1, leading
    assert cluster.processes[leading[0]].election.leader._is_loaded


@then(r"it has renewed its claim at least each (?P<limit>[\d.]+) seconds")
def check_renewals(context, limit):
    cluster = context.cluster
    epoch = cluster.processes[cluster.leaders[0]].leadership.epoch
    renewals = [
        msgspec.msgpack.decode(value, type=Renewal)
        for value in leadership_records(cluster, RENEWAL_KEY)
    ]
    times = [renewal.sent_at for renewal in renewals if renewal.epoch == epoch]
    gaps = [later - earlier for earlier, later in pairwise([*times, cluster.loop.time()])]
    assert gaps and max(gaps) <= float(limit), gaps


@given(r"work is not divided into slices")
def stop_slices(context):
    context.cluster.has_slices = False


@given(
    r"a start window whose orders are answered after (?P<answer>[\d.]+) s "
    r"but read after plans of (?P<plan>[\d.]+) s"
)
def new_window(context, answer, plan):
    context.time = 0.0
    context.window = StartWindow(lambda: context.time)
    context.answer_seconds, context.plan_seconds = float(answer), float(plan)
    context.first_limit = context.window.limit


@when(r"it is used up for (?P<rounds>\d+) rounds")
def use_window(context, rounds):
    window = context.window
    for _ in range(int(rounds)):
        orders = [window.begin() for _ in range(window.available)]
        context.time += context.plan_seconds
        window.record_planning(context.plan_seconds)
        context.time += context.answer_seconds
        for order in orders:
            window.end(order)


@then(r"its limit has grown")
def check_limit(context):
    assert context.window.limit > context.first_limit, context.window.limit
