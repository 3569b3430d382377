from __future__ import annotations

import asyncio
from itertools import pairwise
from math import inf

import logbook
from behave import given, then, use_step_matcher, when

from dotterelhill.control.interface import Record, RelayError, StoreError, Stream
from dotterelhill.control.job_service import NotStoredError
from dotterelhill.control.leadership import (
    FENCES_PER_TERM,
    LEADER_KEY,
    RENEWAL_INTERVAL_SECONDS,
    LeaderCondition,
)
from dotterelhill.control.peers import PEER_TIMEOUT_SECONDS, PeerUnreachableError
from dotterelhill.control.relay_messages import SILENCE_SECONDS
from dotterelhill.control.submissions import partition_of
from dotterelhill.control.tests.cluster_world import QUEUE, SUBMISSION_PARTITIONS, Cluster
from dotterelhill.jobs.model import Step, Submission
from dotterelhill.jobs.progress import encode_submission
from dotterelhill.jobs.resources import ResourceVector

# Time after which a call to the store that gets no answer fails.
LOST_ANSWER_SECONDS = 1.2
WAIT_STEP_SECONDS = 0.01
MAX_WAIT_STEPS = 800
CRASH_WAIT_STEP_SECONDS = 0.05
MAX_CRASH_WAIT_STEPS = 400

use_step_matcher("re")


@given(r'processes "(?P<names>[^"]*)" that have run for (?P<seconds>\d+) seconds')
def new_cluster(context, names, seconds):
    context.cluster = Cluster(names.split())
    context.cluster.advance(int(seconds))
    context.first_leader = context.cluster.leaders[0]


@when(r'processes "(?P<names>[^"]*)" start')
def start_processes(context, names):
    for name in names.split():
        context.cluster.start(name)


def non_leader_name(context):
    for name, process in context.cluster.processes.items():
        if process.is_running and process.election.leader is None:
            return name
    raise AssertionError("no running process is without leadership")


@when(
    r'job "(?P<job>\w+)" of (?P<count>\d+) tasks(?: of (?P<seconds>\d+) seconds)? is submitted '
    r"at a process that does not lead"
)
def submit(context, job, count, seconds):
    for minion in context.cluster.minions.values():
        minion.run_seconds = float(seconds or 1)
    context.cluster.submit(non_leader_name(context), job, int(count))


@when(r'job "(?P<job>\w+)" of (?P<count>\d+) tasks is submitted there')
def submit_there(context, job, count):
    context.cluster.submit(context.chosen_name, job, int(count))


@when(r"(?P<seconds>[\d.]+) seconds pass")
def pass_time(context, seconds):
    context.cluster.advance(float(seconds))


@when(r"the leader is killed")
def kill_leader(context):
    context.cluster.kill(context.cluster.leaders[0])


@when(r"the minions refuse all starts")
def refuse_all_starts(context):
    for process in context.cluster.processes.values():
        process.minions.refused_starts = inf


@when(r"the minions take starts again")
def take_all_starts(context):
    for process in context.cluster.processes.values():
        process.minions.refused_starts = 0


@then(r"every process tells that (?P<count>\d+) jobs? waits?")
def check_waiting_jobs(context, count):
    cluster = context.cluster
    for name, process in cluster.processes.items():
        if process.is_running:
            told = cluster.run(process.job_service.waiting_job_count(QUEUE.name))
            assert told == int(count), (name, told)


@when(r'minion "(?P<name>\w+)" is no longer listed')
def remove_from_list(context, name):
    context.cluster.store.streams[Stream.MINIONS, 0].append(Record(name, None))


@given(r"the lines of leaders are kept")
@when(r"the lines of leaders are kept")
def keep_lines(context):
    context.leader_log = logbook.TestHandler()
    context.leader_log.push_application()
    context.add_cleanup(context.leader_log.pop_application)


@then(
    r"a leader tells once that it has restored the runs of (?P<jobs>\d+) jobs, "
    r'of which those on "(?P<name>\w+)" are unlisted'
)
def check_restored_runs(context, jobs, name):
    records = context.leader_log.records
    restored = [one.extra for one in records if one.message == "stored runs restored"]
    assert len(restored) == 1, restored
    started = {minion: len(one.starts) for minion, one in context.cluster.minions.items()}
    unlisted = started.pop(name)
    assert unlisted and sum(started.values()), started
    expected = {"jobs": int(jobs), "attached": sum(started.values()), "unlisted": unlisted}
    expected |= {"incarnations": 1, "queued": 0, "waiting_jobs": 0}
    assert {field: restored[0][field] for field in expected} == expected, restored
    assert 0 < restored[0]["released_within_ms"] <= 10000, restored


@then(r'all gauges of the leader can be read, with "(?P<names>[^"]*)" at 0')
def check_gauges(context, names):
    process = context.cluster.processes[context.first_leader]
    process.metrics.add_gauges(process.election.leader.gauges)
    gauges = process.metrics.state.gauges
    assert [gauges[name] for name in names.split()] == [0.0] * len(names.split()), gauges


@when(r"the leader plans for (?P<seconds>[\d.]+) seconds in each round")
def slow_rounds(context, seconds):
    context.cluster.seconds_per_plan = float(seconds)


@then(r'the longest tenth of "(?P<name>[\w.]+)" is about (?P<seconds>[\d.]+) seconds')
def check_longest_tenth(context, name, seconds):
    distributions = context.cluster.processes[context.first_leader].metrics.state.distributions
    found = distributions[name]
    assert abs(found.quantiles["p90"] / float(seconds) - 1.0) < 0.05 and found.count > 5, found


@when(r"the leader is killed and starts again")
def restart_leader(context):
    name = context.cluster.leaders[0]
    context.cluster.kill(name)
    context.cluster.start(name)


@when(r"the present leader resigns")
def resign_present_leader(context):
    context.cluster.run(context.cluster.processes[context.cluster.leaders[0]].election.resign())


@when(r"the killed process starts again")
def restart_killed(context):
    context.cluster.start(context.first_leader)


def minions_with_tasks(context, job):
    found = []
    for name, minion in context.cluster.minions.items():
        if any(key.job_id == job for key in minion.running):
            found.append(name)
    return found


@when(
    r'the leader and the minions with tasks of job "(?P<job>\w+)" are cut off from the store and '
    r"from all others"
)
def cut_leader_off_with_minions(context, job):
    cluster = context.cluster
    with_leader = set(minions_with_tasks(context, job))
    assert with_leader and len(with_leader) < len(cluster.minions), with_leader
    for process in cluster.processes.values():
        process.minions.unreachable.update(with_leader)
    leader = cluster.processes[context.first_leader]
    leader.store.is_down = leader.is_cut_off = True
    leader.is_running = False
    leader.gone_at = cluster.loop.time()
    leader.minions.unreachable = set(cluster.minions) - with_leader


@when(
    r"the leader can't reach the minions with tasks of job \"(?P<job>\w+)\" for "
    r"(?P<seconds>[\d.]+) seconds, and then (?P<fault>can't store progress|can't store renewals|"
    r"learns nothing of what it has stored since before)"
)
def lose_minions_then_store(context, job, seconds, fault):
    leader = context.cluster.processes[context.first_leader]
    leader.minions.unreachable = set(minions_with_tasks(context, job))
    if fault.startswith("learns"):
        leader.store.lost_answers = 1000
    context.cluster.advance(float(seconds))
    if fault == "can't store progress":
        leader.store.silent_streams.add(Stream.PROGRESS)
    elif fault == "can't store renewals":
        leader.store.silent_streams.add(Stream.LEADERSHIP)
    leader.minions.unreachable = set()


@when(
    r"the next leader "
    r"(?P<end>resigns|is killed and starts again|is killed for 1 second|falls silent) "
    r"as soon as it leads"
)
def end_next_leader(context, end):
    cluster = context.cluster
    for _ in range(MAX_WAIT_STEPS):
        cluster.advance(WAIT_STEP_SECONDS)
        names = [name for name in cluster.leaders if name != context.first_leader]
        if not names:
            continue
        if end == "resigns":
            cluster.run(cluster.processes[names[0]].election.resign())
        elif end == "falls silent":
            cluster.advance(RENEWAL_INTERVAL_SECONDS + WAIT_STEP_SECONDS)
            silent = cluster.processes[names[0]]
            silent.store.is_down = silent.minions.is_cut_off = True
            silent.is_running, silent.gone_at = False, cluster.loop.time()
        else:
            unreachable = cluster.processes[names[0]].minions.unreachable
            cluster.kill(names[0])
            if end == "is killed for 1 second":
                cluster.advance(1.0)
            cluster.start(names[0])
            cluster.processes[names[0]].minions.unreachable = unreachable
        return
    raise AssertionError("no next leader")


@when(r"the store answers the next leader no more as soon as it leads")
def silence_store_of_next_leader(context):
    cluster = context.cluster
    # Processes whose store is silent stay the leader until another one claims.
    earlier = {context.first_leader}
    earlier.update(name for name, process in cluster.processes.items() if process.store.is_silent)
    for _ in range(MAX_WAIT_STEPS):
        cluster.advance(WAIT_STEP_SECONDS)
        names = [name for name in cluster.leaders if name not in earlier]
        if names:
            context.silenced_leader = names[0]
            cluster.processes[names[0]].store.is_silent = True
            return
    raise AssertionError("no next leader")


@when(r"the VM of the leader is gone without a word")
def lose_leader_silently(context):
    cluster = context.cluster
    gone = context.first_leader
    gone_at = cluster.loop.time()
    cluster.kill(gone)

    def wrap(reach):
        async def reach_or_time_out(address):
            if address != gone:
                return await reach(address)
            await asyncio.sleep(PEER_TIMEOUT_SECONDS)
            raise PeerUnreachableError("no answer")

        return reach_or_time_out

    def linked_condition(address, incarnation, epoch):
        # The newest message of the leader counts until the connection is silent for too long.
        if address == gone and cluster.loop.time() - gone_at <= SILENCE_SECONDS:
            return LeaderCondition.PRESENT
        return None

    for name, process in cluster.processes.items():
        if name != gone:
            process.election._peers._reach = wrap(process.election._peers._reach)
            process.election._linked_condition = linked_condition


@when(r"the answer to the next claim takes (?P<seconds>[\d.]+) seconds")
def delay_claim(context, seconds):
    context.claims = []

    def wrap(append):
        async def delayed(stream, records, **more):
            end = await append(stream, records, **more)
            if stream is Stream.LEADERSHIP and records[0].key == LEADER_KEY:
                context.claims.append(end)
                if len(context.claims) == 1:
                    await asyncio.sleep(float(seconds))
            return end

        return delayed

    for process in context.cluster.processes.values():
        process.store.append = wrap(process.store.append)


@then(r"(?P<count>\d+) claims were made after that of the first leader")
def check_claims(context, count):
    assert len(context.claims) == int(count), context.claims


@when(
    r"the answer to a renewal is lost, and the leader is cut off with its minions "
    r"(?P<seconds>[\d.]+) seconds later"
)
def lose_renewal_answer(context, seconds):
    cluster = context.cluster
    leader = cluster.processes[context.first_leader]
    append, resolve = leader.store.append, leader.leadership._resolve_conflict
    lost = []

    async def append_without_answer(stream, records, **more):
        end = await append(stream, records, **more)
        if stream is Stream.LEADERSHIP and not lost:
            lost.append(end)
            await asyncio.sleep(LOST_ANSWER_SECONDS)
            raise StoreError("no answer", is_effect_unknown=True)
        return end

    async def resolve_and_cut_off(sent_at):
        await resolve(sent_at)
        leader.store.is_down = True

    leader.store.append = append_without_answer
    leader.leadership._resolve_conflict = resolve_and_cut_off
    for _ in range(MAX_WAIT_STEPS):
        cluster.advance(WAIT_STEP_SECONDS)
        if lost:
            break
    cluster.advance(float(seconds))
    cut_leader_off_with_minions(context, "j")
    # The store answers the leader until it knows that the renewal was stored.
    leader.store.is_down = False


@then(r"no task ran on two minions at a time")
def check_no_overlap(context):
    cluster = context.cluster
    now = cluster.loop.time()
    spans = []
    for minion in cluster.minions.values():
        minion.advance(now)
        spans.extend(minion.spans)
        for key, (_, ends_at) in minion.running.items():
            spans.append((key, ends_at - minion.run_seconds, now))
    spans.sort(key=lambda span: (str(span[0]), span[1]))
    assert len(spans) > len({span[0] for span in spans}), "no task ran a second time"
    for earlier, later in pairwise(spans):
        assert earlier[0] != later[0] or earlier[2] <= later[1], (earlier, later)


@when(r"all processes are killed")
def kill_all(context):
    for name in list(context.cluster.processes):
        context.cluster.kill(name)


@when(r"the store refuses all calls of the leader")
def refuse_leader(context):
    context.cluster.processes[context.first_leader].store.is_down = True


@when(r"the store refuses all calls of a process that does not lead")
def refuse_non_leader(context):
    context.chosen_name = non_leader_name(context)
    context.cluster.processes[context.chosen_name].store.is_down = True


@when(r"the store refuses all calls of (?P<count>\d+) processes, the leader among them")
def refuse_many(context, count):
    cluster = context.cluster
    others = [name for name in cluster.processes if name != context.first_leader]
    context.refused_names = others[: int(count) - 1]
    for name in [context.first_leader, *context.refused_names]:
        cluster.processes[name].store.is_down = True


@when(r"the store refuses all calls of (?P<count>\d+) processes, the leader not among them")
def refuse_others(context, count):
    others = [name for name in context.cluster.processes if name != context.first_leader]
    context.refused_names = others[: int(count)]
    for name in context.refused_names:
        context.cluster.processes[name].store.is_down = True


@then(r"each process that the store refuses knows the leader")
def check_known_leader(context):
    known = {
        name: context.cluster.processes[name].election.leader_address
        for name in context.refused_names
    }
    assert set(known.values()) == set(context.cluster.leaders), (known, context.cluster.leaders)


@when(r"a job of (?P<count>\d+) tasks is submitted at each process that the store refuses")
def submit_at_refused(context, count):
    for number, name in enumerate(context.refused_names):
        context.cluster.submit(name, f"j{number}", int(count))


def set_store_down(context, is_down):
    for process in context.cluster.processes.values():
        process.store.is_down = is_down


@when(r"the store is unavailable to all processes")
def make_store_unavailable(context):
    set_store_down(context, True)


@when(r"the store is available again")
def make_store_available(context):
    set_store_down(context, False)


@when(r"the store is unavailable for (?P<seconds>\d+) seconds")
def make_store_unavailable_for(context, seconds):
    set_store_down(context, True)
    context.cluster.advance(int(seconds))
    set_store_down(context, False)


@when(r"the leader is cut off from all other machines")
def isolate_leader(context):
    process = context.cluster.processes[context.first_leader]
    process.store.is_down = process.minions.is_cut_off = True
    process.is_running = False


@when(r"the former leader is reachable again")
def reconnect_leader(context):
    process = context.cluster.processes[context.first_leader]
    process.store.is_down = process.minions.is_cut_off = False
    process.is_running = True


@when(r"the store loses (?P<count>\d+) answers to a process that does not lead")
def lose_answers(context, count):
    context.chosen_name = non_leader_name(context)
    context.cluster.processes[context.chosen_name].store.lost_answers = int(count)


@when(r"(?P<count>\d+) calls of the leader to minions fail with an unexpected error")
def fail_calls(context, count):
    process = context.cluster.processes[context.first_leader]
    context.first_epoch = process.leadership.epoch
    process.minions.failures = [ValueError("a field of another type")] * int(count)


@when(r"(?P<count>\d+) calls of the leader to minions are lost with their relay")
def lose_relayed_calls(context, count):
    process = context.cluster.processes[context.first_leader]
    process.minions.failures = [RelayError("connection reset")] * int(count)


@when(
    r"(?:the fence of each minion rises|"
    r"(?P<later>each minion carries out a call of a later leader)) while calls are on their way"
)
def raise_fences(context, later):
    process = context.cluster.processes[context.first_leader]
    context.first_epoch = process.leadership.epoch
    for number in range(40):
        assert process.election.leader is not None, "its term has ended"
        for minion in process.election.leader.scheduler.minions.values():
            minion.fence += 0 if later else 1
            rise = FENCES_PER_TERM if later else minion.fence
            context.cluster.minions[minion.minion_id].fence = context.first_epoch + rise
        # Calls of different moments are on their way.
        context.cluster.advance(0.03 + 0.001 * number)
        if later:
            return


@then(r"the first leader has ended its first term")
def check_ended_term(context):
    leadership = context.cluster.processes[context.first_leader].leadership
    assert leadership.ended_epoch >= context.first_epoch, leadership.ended_epoch


@then(r"the first leader still leads with its first epoch")
def check_same_term(context):
    leadership = context.cluster.processes[context.first_leader].leadership
    assert leadership.is_leading and leadership.epoch == context.first_epoch


@then(r"no minion counted as silent")
def check_no_silent_minion(context):
    metrics = context.cluster.processes[context.first_leader].metrics.state.counters
    assert not metrics.get("jobs.polls.unanswered"), metrics
    assert metrics["jobs.polls.relay_failed"] > 0


@when(r"the store loses (?P<count>\d+) answers to the leader")
def lose_leader_answers(context, count):
    context.cluster.processes[context.first_leader].store.lost_answers = int(count)


@when(r"the store drops the history of submissions before it is read")
def drop_history(context):
    store = context.cluster.store
    submission = Submission("late", QUEUE, 0, "spec", (Step(1, ResourceVector(1000, 100), 1.0),))
    stream_partition = (Stream.SUBMISSIONS, partition_of("late", SUBMISSION_PARTITIONS))
    store.streams[stream_partition].append(Record("late", encode_submission(submission)))
    store.first_offsets[stream_partition] = len(store.streams[stream_partition])


@when(r"the leader resigns")
def resign_leader(context):
    leader = context.cluster.processes[context.first_leader]
    context.cluster.run(leader.election.resign())


@then(r"one process leads")
def check_single_leader(context):
    assert len(context.cluster.leaders) == 1, context.cluster.leaders


@then(r"another process leads")
def check_other_leader(context):
    leaders = context.cluster.leaders
    assert len(leaders) == 1 and leaders[0] != context.first_leader, leaders


@then(r'every (?:reachable )?process shows job "(?P<job>\w+)" as "(?P<state>\w+)"')
def check_shown_state(context, job, state):
    for name, process in context.cluster.processes.items():
        if process.is_running:
            shown = context.cluster.run(process.job_service.state_of(job))
            assert shown == state, (name, shown)


@then(r"(?P<count>\d+) starts were carried out")
def check_start_count(context, count):
    assert len(context.cluster.starts) == int(count), context.cluster.starts


@then(r"no task lapsed")
def check_no_lapses(context):
    assert not any(minion.lapses for minion in context.cluster.minions.values())


@then(r'a submission of job "(?P<job>\w+)" is refused as not stored')
def check_refused(context, job):
    try:
        context.cluster.submit(non_leader_name(context), job, 1)
    except NotStoredError:
        return
    raise AssertionError("the submission was accepted")


@when(r'a minion with tasks of job "(?P<job>\w+)" stops answering')
def kill_minion(context, job):
    for minion in context.cluster.minions.values():
        if any(key.job_id == job for key in minion.running):
            minion.is_dead = True
            context.dead_minion = minion.name
            return
    raise AssertionError("no minion has tasks of the job")


@when(r"the entry of the minion that stopped answering is removed")
def remove_dead_entry(context):
    remove_entry(context, context.dead_minion)


@then(r"(?P<count>\d+) more terms have begun")
def check_terms(context, count):
    leaders = context.cluster.leaders
    epochs = [context.cluster.processes[name].leadership.epoch for name in leaders]
    # The first leader has epoch 1. Each claim skips all fencing tokens of the term before, and a
    # resignation those that were used.
    assert [epoch // FENCES_PER_TERM for epoch in epochs] == [int(count)], epochs


@when(r"the event loop of the leading process is late by (?P<seconds>[\d.]+) seconds")
def record_leader_lag(context, seconds):
    cluster = context.cluster
    lag = cluster.processes[cluster.leaders[0]].election.leader._parts.lag

    def record():
        lag.record(float(seconds))
        cluster.loop.call_later(0.5, record)

    record()


@then(r"the leader extends all leases")
def check_open_leases(context):
    leader = context.cluster.processes[context.cluster.leaders[0]].election.leader
    assert leader._scheduler.closed_leases == frozenset(), leader._scheduler.closed_leases


@when(r'a minion with tasks of job "(?P<job>\w+)" is not reached for (?P<seconds>[\d.]+) seconds')
def lose_calls_for(context, job, seconds):
    cluster = context.cluster
    name = minions_with_tasks(context, job)[0]
    for process in cluster.processes.values():
        process.minions.unreachable.add(name)
    cluster.advance(float(seconds))
    for process in cluster.processes.values():
        process.minions.unreachable.discard(name)


@when(
    r"a job of 1 short task is submitted each (?P<interval>[\d.]+) seconds for "
    r"(?P<seconds>[\d.]+) seconds"
)
def submit_for_seconds(context, interval, seconds):
    cluster = context.cluster
    end = cluster.loop.time() + float(seconds)
    name = non_leader_name(context)
    for minion in cluster.minions.values():
        minion.run_seconds = 0.2
    while cluster.loop.time() < end:
        cluster.number += 1
        cluster.submit(name, f"{cluster.number:016x}", 1)
        cluster.advance(float(interval))


@then(r'each lost task of job "(?P<job>\w+)" has started elsewhere')
def check_started_elsewhere(context, job):
    lost = next(minion for minion in context.cluster.minions.values() if minion.is_dead)
    keys = {key for key in lost.running if key.job_id == job}
    started = set()
    for minion in context.cluster.minions.values():
        if minion is not lost:
            started.update(key for _, key, _ in minion.starts)
    assert keys and keys <= started, (keys, started)


@when(r"the store answers no process")
def silence_store(context):
    for process in context.cluster.processes.values():
        process.store.is_silent = True


@then(
    r'a submission of job "(?P<job>\w+)" is refused as not stored within (?P<limit>[\d.]+) seconds'
)
def check_refused_within(context, job, limit):
    started_at = context.cluster.loop.time()
    check_refused(context, job)
    seconds = context.cluster.loop.time() - started_at
    assert seconds <= float(limit), seconds


@then(r"no append was sent to the store")
def check_no_appends(context):
    assert not any(process.store.appends for process in context.cluster.processes.values())


@when(r"the store is slow")
def slow_store(context):
    context.cluster.store.is_slow = True


@when(r"(?P<count>\d+) jobs are submitted at all processes within (?P<seconds>\d+) seconds")
def submit_many(context, count, seconds):
    spacing_seconds = int(seconds) / int(count)
    context.submission_seconds = context.cluster.submit_many(int(count), spacing_seconds)


@then(r"each submission was acknowledged within (?P<limit>[\d.]+) seconds")
def check_acknowledged_within(context, limit):
    assert max(context.submission_seconds) <= float(limit), sorted(context.submission_seconds)


@given(
    r'processes "(?P<names>[^"]*)" far from the store and "(?P<near>[^"]*)" near it that have '
    r"run for (?P<seconds>\d+) seconds"
)
def new_cluster_with_distances(context, names, near, seconds):
    far_names = tuple(names.split())
    context.cluster = Cluster([*far_names, *near.split()], far_names)
    context.cluster.advance(int(seconds))
    context.first_leader = context.cluster.leaders[0]


@then(r"a process near the store leads")
def check_near_leader(context):
    leaders = context.cluster.leaders
    assert len(leaders) == 1 and leaders[0] not in context.cluster.far_names, leaders


@given(
    r'processes "(?P<names>[^"]*)" with half a processor and "(?P<full>[^"]*)" with a full one '
    r"that have run for (?P<seconds>[\d.]+) seconds"
)
def new_cluster_with_processors(context, names, full, seconds):
    slow_names = tuple(names.split())
    context.cluster = Cluster([*slow_names, *full.split()], slow_names=slow_names)
    context.cluster.advance(float(seconds))
    context.first_leader = context.cluster.leaders[0]


@when(r"the leader reaches the store (?P<seconds>[\d.]+) s later than the others")
def delay_leader_store(context, seconds):
    process = context.cluster.processes[context.first_leader]
    context.first_epoch = process.leadership.epoch
    process.store.latency_seconds = float(seconds)


@when(r"1 status answer of the leader is lost on the way to another process")
def lose_status_answer(context):
    peers = context.cluster.processes[non_leader_name(context)].election._peers
    answer = peers.status

    async def lose(address):
        peers.status = answer
        await asyncio.sleep(PEER_TIMEOUT_SECONDS)
        raise PeerUnreachableError("no answer")

    peers.status = lose


@then(r"a process with a full processor leads")
def check_full_processor_leader(context):
    leaders = context.cluster.leaders
    assert len(leaders) == 1 and leaders[0] not in context.cluster.slow_names, leaders


@when(r"a process meets a record of the configuration that it can't process")
def fail_on_record(context):
    cluster = context.cluster
    context.follower = cluster.processes[non_leader_name(context)].follower
    context.processed = []

    def process_records(records, is_snapshot):
        if not context.processed:
            context.processed.append("failed")
            raise KeyError("limits")
        context.processed.append("processed")

    context.follower._on_records = process_records
    cluster.store.streams[Stream.CONFIGURATION, 0].append(Record("config", b"{}"))


@then(r"that process follows the configuration again")
def check_follows(context):
    assert "processed" in context.processed, context.processed
    assert not context.follower.crashed


@when(r"the newest claim in the store is damaged")
def damage_claim(context):
    context.cluster.store.streams[Stream.LEADERSHIP, 0].append(Record(LEADER_KEY, b"\xc1"))


@then(r"every remaining process still checks the leader")
def check_elections_run(context):
    for process in context.cluster.processes.values():
        if process.is_running:
            assert not process.election.crashed


@given(r"minions hold polls back until a run ends")
def poll_long(context):
    context.cluster.is_polling_long = True


@when(r"(?P<count>\d+) polls of each minion in a row get no answer ?(?P<relay>from a relay)?")
def lose_polls(context, count, relay):
    minions = context.cluster.processes[context.first_leader].minions
    minions.lost_polls = dict.fromkeys(context.cluster.minions, int(count))
    if relay:
        minions.lost_poll_error = RelayError("no answer")


@when(r'minion "(?P<name>\w+)" leaves without a word')
def leave_silently(context, name):
    context.cluster.minions[name].is_dead = True


@when(r'the entry of minion "(?P<name>\w+)" is removed')
def remove_entry(context, name):
    context.cluster.store.streams[Stream.MINIONS, 0].append(Record(name, None))


@when(r'the entry of minion "(?P<name>\w+)" (?:becomes unreadable|gives (?P<cpu>\d+) processors)')
def write_entry(context, name, cpu):
    value = b"unreadable" if cpu is None else str(1000 * int(cpu)).encode()
    context.cluster.store.streams[Stream.MINIONS, 0].append(Record(name, value))


@then(r'no start was sent to minion "(?P<name>\w+)"')
def check_no_start_to(context, name):
    for process in context.cluster.processes.values():
        assert name not in process.minions.sent_starts


@when(
    r'deadly job "(?P<deadly>\w+)" of 1 task and job "(?P<job>\w+)" of (?P<count>\d+) tasks of '
    r"(?P<seconds>\d+) seconds are submitted"
)
def submit_deadly(context, deadly, job, count, seconds):
    context.cluster.deadly_jobs.add(deadly)
    submit(context, job, count, seconds)
    context.cluster.submit(non_leader_name(context), deadly, 1)


@when(r"the leader is killed after the next crash")
def kill_leader_after_crash(context):
    cluster = context.cluster
    count = cluster.crash_count
    for _ in range(MAX_CRASH_WAIT_STEPS):
        cluster.advance(CRASH_WAIT_STEP_SECONDS)
        if cluster.crash_count > count and cluster.leaders:
            cluster.kill(cluster.leaders[0])
            return
    raise AssertionError("no minion crashed")


@when(r'process "(?P<name>\w+)" starts')
def start_process(context, name):
    context.cluster.start(name)


@then(r"deadly tasks have crashed (?:(?P<bound>at most) )?(?P<count>\d+) minions")
def check_crash_count(context, bound, count):
    crash_count = context.cluster.crash_count
    if bound:
        assert 0 < crash_count <= int(count), crash_count
    else:
        assert crash_count == int(count), crash_count
