"""Processor time of one leader for each task, from its submission to its end.

Run it with ``python -m measure.leader_cost``. A leader with the platform's encoder and decoder, the
relay pool and its links, and logging schedules a fleet in virtual time. The other ends of the
links answer as relays and minions; their work and that of the store do not count, and neither do
HTTP calls to the store or answers to clients. The load is that of a site of 446 minions that was
shrunk to 70: rates of jobs, their tasks, and what runs on a minion.
"""

from __future__ import annotations

import asyncio
import gc
import os
import random
import sys
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field, replace
from functools import partial
from types import CodeType, FrameType
from typing import Any, cast
from unittest.mock import patch

import looptime
import msgspec

from dotterelhill.control.call_prefixes import ReceivedPrefixes
from dotterelhill.control.feeds import ConfigurationFeed
from dotterelhill.control.interface import (
    Batch,
    Fence,
    MinionAnswer,
    MinionCall,
    MinionNotReachedError,
    PartialRead,
    Record,
    Stream,
)
from dotterelhill.control.leader import Leader, LeaderParts
from dotterelhill.control.leadership import Leadership
from dotterelhill.control.loop_lag import LoopLag
from dotterelhill.control.relay_messages import (
    ENCODER,
    HEARTBEAT_SECONDS,
    LEADER_DECODER,
    Hello,
    RelayedAnswer,
    RelayedCall,
    RelayMessage,
)
from dotterelhill.control.relay_pool import RelayLink, RelayPool
from dotterelhill.control.submissions import partition_of
from dotterelhill.control.work_slices import WorkSlices
from dotterelhill.entry.logs import BoundedStream, start_logging
from dotterelhill.entry.metrics import LocalMetrics
from dotterelhill.jobs.changes import Changes, SchedulerSettings
from dotterelhill.jobs.model import Step, Submission
from dotterelhill.jobs.progress import encode_submission
from dotterelhill.jobs.queues import FleetConfig, Pool, Queue
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.scheduler import Scheduler
from dotterelhill.platform.minions import PlatformMinions
from dotterelhill.platform.records import PlatformRecords
from measure.report import Figure, figure_with_target, figure_without_target, print_figures

SEED = 42
MINIONS = 70
DOMAINS = ("caxias", "pelotas", "gramado", "torres", "bento", "tramandai")
RELAYS_OF_A_DOMAIN = 3
CAPACITY = {"cpu": 48_000, "memMb": 192_000}
UNIX_START_MS = 1_700_000_000_000
SUBMISSION_PARTITIONS = 12
STORE_SECONDS = 0.004
# Loop passes that a call to the store takes: to connect, to write, and to read head and body.
STORE_PASSES = 4
# Virtual time for which callbacks occupy the loop. A process of the small twin, with 0.12 of a
# processor, needed as long in a profiled play, and how late its loop is decides how many polls and
# rounds it has time for. These are not the measured figures, and stay when the code gets faster.
OCCUPIED_SECONDS = {
    "Leader._poll_minion": 0.0011,
    "Leader._send_order": 0.0004,
    "Leader.run": 0.006,
    "Follower.read_once": 0.0015,
    "LeaderFleet._tick": 0.0015,
    "RelayLink.send": 0.0006,
}
OTHER_OCCUPIED_SECONDS = 0.00005
PLAN_OCCUPIED_SECONDS, PLANNED_START_OCCUPIED_SECONDS = 0.01, 0.0006
# Time in which what happens at the far ends of the links is collected; relays collect answers for
# 3 ms, and a call takes a few milliseconds.
TICK_SECONDS = 0.01

LOOP_OPTIONS: dict[str, Any] = {"noop_cycles": 1}

LASTING_RUNS = 5
LASTING_ROOM = ResourceVector(3000, 10_000)
LASTING_TASKS_OF_A_JOB = 25
TARGET_TAIL_MS = 50
TAIL_MS = (8.0, 20.0)
LASTING_IMAGES, FILLER_IMAGES = 16, 30
# A filler does not get a whole processor beside lasting tasks, and takes longer than estimated.
FILLER_ESTIMATE_SECONDS, FILLER_SLOWDOWN = 2.2, 1.5
FILLER_ROOM = ResourceVector(3500, 6400)
FILLER_TASKS, FILLER_STEPS = 39, 2
SHORT_SECONDS = 1.0
SHORT_ROOM = ResourceVector(10_000, 20_000)
SHORT_TASKS = 9
CHECKPOINT_SECONDS = 2.0
FILLER_PAYLOAD, SHORT_PAYLOAD = "f" * 500, "s" * 1200
# Jobs a second of the whole site, and the number by which the small twin divides them. Short jobs
# of 1.6 steps on average count as more jobs of one step.
SHRINK = 6.4
SHORT_JOBS_PER_SECOND = 5.51 * 1.6 / SHRINK
FILLER_JOBS_PER_SECOND = 9.41 / SHRINK
BURST_FACTOR = 2.0
SETTLE_SECONDS, IDLE_SECONDS = 8.0, 6.0
WARM_UP_SECONDS, LOAD_SECONDS = 8.0, 10.0
# A process of the small twin has 0.12 of a processor. Its site asks for 128 starts a second at the
# mean load, and a burst doubles them (docs/CAPACITY.md).
PROCESSOR_SHARE = 0.12
BURST_STARTS_PER_SECOND = 256.0
SHOWN_CALLBACKS = 8
MAX_TASK_MICROSECONDS = 1e6 * PROCESSOR_SHARE / BURST_STARTS_PER_SECOND


class WorkMeter:
    """Counts the work of the leader, without that of the other ends of its connections.

    :param is_counting_calls: whether to count executed functions instead of processor time
    """

    def __init__(self, *, is_counting_calls: bool = False) -> None:
        self._is_counting_calls = is_counting_calls
        self._calls: Counter[CodeType] = Counter()
        self._excluded_seconds = 0.0
        self._seconds_by_callback: defaultdict[str, float] = defaultdict(float)

    @property
    def calls(self) -> Counter[CodeType]:
        """Return the executed functions; those that fake the time and the load do not count."""
        return Counter({code: count for code, count in self._calls.items() if _is_counted(code)})

    @property
    def seconds_by_callback(self) -> dict[str, float]:
        """Return the processor seconds by callback of the event loop."""
        return dict(self._seconds_by_callback)

    def reset(self) -> None:
        """Begin to count anew."""
        self._calls.clear()
        self._seconds_by_callback.clear()

    @contextmanager
    def running(self, occupy: Callable[[str], None]) -> Iterator[None]:
        """Count while the event loop runs.

        :param occupy: lets virtual time pass after a callback, given its name
        """
        run_handle = cast(Any, asyncio.Handle)._run

        def run_measured(handle: asyncio.Handle) -> None:
            name = _callback_name(handle)
            excluded_before = self._excluded_seconds
            began = time.process_time()
            if self._is_counting_calls:
                sys.setprofile(self._count_call)
            run_handle(handle)
            if self._is_counting_calls:
                sys.setprofile(None)
            seconds = time.process_time() - began
            self._seconds_by_callback[name] += seconds - self._excluded_seconds + excluded_before
            occupy(name)

        with patch.object(asyncio.Handle, "_run", run_measured):
            yield

    @contextmanager
    def excluded(self) -> Iterator[None]:
        """Leave out the work of the caller, which is not the leader's."""
        began = time.process_time()
        counter = sys.getprofile()
        sys.setprofile(None)
        try:
            yield
        finally:
            self._excluded_seconds += time.process_time() - began
            sys.setprofile(counter)

    def _count_call(self, frame: FrameType, event: str, argument: object) -> None:
        if event == "call":
            self._calls[frame.f_code] += 1


def _is_counted(code: CodeType) -> bool:
    name = code.co_filename
    return name != __file__ and "looptime" not in name and not name.endswith("contextlib.py")


def _callback_name(handle: asyncio.Handle) -> str:
    callback = cast(Any, handle)._callback
    while isinstance(callback, partial):
        callback = callback.func
    owner = getattr(callback, "__self__", None)
    if isinstance(owner, asyncio.Task):
        return str(getattr(owner.get_coro(), "__qualname__", "task"))
    return str(getattr(callback, "__qualname__", type(callback).__name__))


class _Store:
    """Store in memory, whose answers take ``STORE_SECONDS``."""

    def __init__(self, meter: WorkMeter) -> None:
        self._meter = meter
        self._records: defaultdict[tuple[Stream, int], list[Record]] = defaultdict(list)
        self._waiting: defaultdict[tuple[Stream, int], list[asyncio.Future[None]]] = defaultdict(
            list
        )

    def partitions(self, stream: Stream) -> int:
        return SUBMISSION_PARTITIONS if stream is Stream.SUBMISSIONS else 1

    async def _reach(self) -> None:
        for _ in range(STORE_PASSES):
            await asyncio.sleep(STORE_SECONDS / STORE_PASSES)

    def add(self, stream: Stream, record: Record, partition: int = 0) -> int:
        stored = self._records[stream, partition]
        stored.append(record)
        for waiter in self._waiting.pop((stream, partition), ()):
            if not waiter.done():
                waiter.set_result(None)
        return len(stored)

    async def append(
        self,
        stream: Stream,
        records: Sequence[Record],
        *,
        partition: int = 0,
        at: int | None = None,
        fence: Fence | None = None,
    ) -> int:
        await self._reach()
        with self._meter.excluded():
            for record in records:
                self.add(stream, record, partition)
            return len(self._records[stream, partition])

    async def newest(
        self, stream: Stream, partition: int = 0, partial: PartialRead | None = None
    ) -> Batch:
        await self._reach()
        with self._meter.excluded():
            stored = self._records[stream, partition]
            by_key = {record.key: record for record in stored}
            return Batch(tuple(by_key.values()), len(stored))

    async def read(
        self, stream: Stream, start: int, wait_seconds: float, partition: int = 0
    ) -> Batch:
        stored = self._records[stream, partition]
        if start == len(stored) and wait_seconds > 0.0:
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiting[stream, partition].append(waiter)
            with suppress(TimeoutError):
                await asyncio.wait_for(waiter, wait_seconds)
        await self._reach()
        with self._meter.excluded():
            return Batch(tuple(stored[start:]), len(stored))


@dataclass(slots=True)
class _ActiveRun:
    run_id: int
    began_at: float
    ends_at: float
    is_lasting: bool


@dataclass(slots=True)
class _HeldPoll:
    link: _FarLink
    call: RelayedCall
    end_count: int
    answer_at: float


@dataclass(slots=True)
class _FarMinion:
    runs: dict[str, _ActiveRun] = field(default_factory=dict)
    ended: list[tuple[int, str, int, str, str]] = field(default_factory=list)
    end_count: int = 0
    polls: list[_HeldPoll] = field(default_factory=list)


class _FarLink:
    """Other end of the connection of a relay, which carries out calls as minions do."""

    def __init__(self, fleet: LeaderFleet) -> None:
        self._fleet = fleet
        self._prefixes = ReceivedPrefixes()
        self.link: RelayLink | None = None
        self.answers: list[RelayedAnswer] = []
        self.sent_at = 0.0

    async def send_bytes(self, data: bytes) -> None:
        """Carry out the calls of a message of the leader."""
        with self._fleet.meter.excluded():
            message = LEADER_DECODER.decode(data)
            self._prefixes.update(message.prefixes)
            for call in message.calls:
                body = self._prefixes.complete(call.prefix, call.body)
                self._fleet.carry_out(self, call, msgspec.json.decode(body))

    async def close(self) -> None:
        """Do nothing."""


class _NoDirectCalls:
    async def call(self, call: MinionCall) -> MinionAnswer:
        raise MinionNotReachedError("no direct calls here")


@dataclass(frozen=True, slots=True)
class LoadWork:
    """Work of the leader during one kind of load.

    :param load: name of the load
    :param seconds: virtual duration
    :param work: processor seconds, or executed functions
    :param work_by_callback: processor seconds by callback of the event loop
    :param calls: executed functions
    """

    load: str
    seconds: float
    ended_tasks: int
    starts: int
    polls: int
    rounds: int
    waiting_tasks: int
    work: float
    work_by_callback: dict[str, float]
    calls: Counter[CodeType]


class LeaderFleet:
    """Leader with relays, minions, a store and clients that submit jobs.

    :param meter: meter of the leader's work
    :ivar ended_tasks: number of short tasks and fillers that are done
    :ivar starts: number of start orders that minions have carried out
    :ivar polls: number of polls that minions have answered
    :ivar rounds: number of scheduling rounds
    """

    def __init__(self, meter: WorkMeter) -> None:
        self.meter = meter
        self.ended_tasks = self.starts = self.polls = self.rounds = 0
        self._random = random.Random(SEED)
        self._loop = looptime.new_event_loop(**LOOP_OPTIONS)
        self._plan_seconds = 0.0
        self._store = _Store(meter)
        self._minions: dict[str, _FarMinion] = {}
        self._links: list[_FarLink] = []
        self._queues = {
            "lasting": Queue("lasting", "h", "/l/", "bancada", 0, 4, 2.2, 3.0),
            "short": Queue("short", "h", "/s/", "bancada", 0, 4, 1.5, 0.503),
            "filler": Queue("filler", "h", "/f/", "bancada", 2, 2, 2.0, 1.002),
        }
        self._submitted = 0
        self._load_factor = 0.0
        self._submitted_until = 0.0
        # Jobs that are due but not whole yet, by kind.
        self._due_jobs = {"short": 0.0, "filler": 0.0}
        for number in range(MINIONS):
            self._add_minion(number)
        step = Step(
            LASTING_TASKS_OF_A_JOB, LASTING_ROOM, 0.32, is_lasting=True,
            target_tail_ms=TARGET_TAIL_MS, may_miss=2,
        )  # fmt: skip
        for number in range(LASTING_RUNS * MINIONS // LASTING_TASKS_OF_A_JOB):
            image = f"serve{number % LASTING_IMAGES}"
            self._submit("lasting", "", (replace(step, image=image),))
        self._tasks: list[asyncio.Task[Any]] = []
        self._scheduler = self._loop.run_until_complete(self._begin())

    @property
    def waiting_tasks(self) -> int:
        """Return the number of tasks that wait for their start."""
        return self._scheduler.waiting_tasks

    def advance(self, seconds: float, load_factor: float) -> None:
        """Let virtual time pass.

        :param load_factor: rate of jobs as a multiple of the mean load
        """
        self._load_factor = load_factor
        with self.meter.running(self._occupy):
            self._loop.run_until_complete(asyncio.sleep(seconds))

    def measure(self, load: str, seconds: float, load_factor: float) -> LoadWork:
        """Let virtual time pass and return the work of the leader in it.

        :param load: name of the load
        :param load_factor: rate of jobs as a multiple of the mean load
        """
        gc.collect()
        self.meter.reset()
        tasks, starts, polls, rounds = self.ended_tasks, self.starts, self.polls, self.rounds
        self.advance(seconds, load_factor)
        calls = self.meter.calls
        by_callback = self.meter.seconds_by_callback
        return LoadWork(
            load,
            seconds,
            self.ended_tasks - tasks,
            self.starts - starts,
            self.polls - polls,
            self.rounds - rounds,
            self.waiting_tasks,
            float(calls.total()) if calls else sum(by_callback.values()),
            by_callback,
            calls,
        )

    def _occupy(self, callback: str) -> None:
        """Let virtual time pass in which the event loop runs nothing else."""
        seconds = OCCUPIED_SECONDS.get(callback, OTHER_OCCUPIED_SECONDS) + self._plan_seconds
        self._plan_seconds = 0.0
        self._loop.setup_looptime(start=self._loop.time() + seconds, **LOOP_OPTIONS)

    def close(self) -> None:
        """End the leader and close the event loop."""
        # Leaders of earlier commits may lose a cancellation, and end only without a claim.
        self._leadership.drop("the measurement has ended")
        for task in self._tasks:
            task.cancel()
        self._loop.run_until_complete(asyncio.gather(*self._tasks, return_exceptions=True))
        self._loop.close()

    def carry_out(self, link: _FarLink, call: RelayedCall, body: dict[str, Any]) -> None:
        """Carry out a call as the minion of its address does."""
        minion = self._minions[call.minion_id]
        now = self._loop.time()
        match call.path:
            case "/run-start":
                minion.runs[body["task"]] = self._new_run(body["task"], body["runId"], now)
                self.starts += 1
            case "/run-stop":
                run = minion.runs.pop(body["task"], None)
                if run is not None:
                    self._end(minion, body["task"], run, "stopped")
            case "/hold":
                minion.ended = [end for end in minion.ended if end[0] > body["ackedUpto"]]
                answer_at = now + body["waitMs"] / 1000.0
                minion.polls.append(_HeldPoll(link, call, minion.end_count, answer_at))
                return
        self._answer(link, call, {"clockMs": int(1000.0 * now)})

    async def _begin(self) -> Scheduler:
        clock = self._loop.time
        leadership = Leadership(cast(Any, self._store), "leader/1", "leader:1", clock)
        self._leadership = leadership
        assert await leadership.claim(await leadership.read())
        await leadership.renew()
        lag = LoopLag(clock)
        pool = RelayPool(_NoDirectCalls(), leadership, clock, lag)
        records = PlatformRecords()
        configuration = ConfigurationFeed(records, lambda: None)
        configuration._config = FleetConfig(1, self._queues, {"bancada": Pool("bancada")})
        leader = Leader(
            LeaderParts(
                store=cast(Any, self._store),
                minions=PlatformMinions(pool, pool.submit),
                relays=pool,
                lag=lag,
                decoder=records,
                configuration=configuration,
                leadership=leadership,
                settings=SchedulerSettings(),
                clock=clock,
                unix_ms=self._unix_ms,
                random=self._random,
                metrics=LocalMetrics(),
                slices=WorkSlices(clock),
            ),
            0.0,
        )
        take_changes = leader.scheduler.take_changes

        def end_round() -> Changes:
            changes = take_changes()
            self.rounds += 1
            self._plan_seconds = PLAN_OCCUPIED_SECONDS
            self._plan_seconds += PLANNED_START_OCCUPIED_SECONDS * len(changes.starts)
            return changes

        cast(Any, leader.scheduler).take_changes = end_round
        for domain in DOMAINS:
            for number in range(RELAYS_OF_A_DOMAIN):
                far = _FarLink(self)
                hello = Hello(f"{domain}-{number}", domain, 1.0, keeps_prefixes=True)
                far.link = pool.serve(hello, far)
                assert far.link is not None
                self._links.append(far)
                self._spawn(far.link.send())
        self._spawn(leader.run())
        self._spawn(self._renew(leader, leadership))
        self._spawn(self._tick())
        return leader.scheduler

    def _spawn(self, coroutine: Any) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    async def _renew(self, leader: Leader, leadership: Leadership) -> None:
        while True:
            await leader.renew_claim(leadership)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _tick(self) -> None:
        """Let clients submit jobs, runs end and relays send their answers."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self._loop.time()
            messages: list[tuple[RelayLink, bytes]] = []
            with self.meter.excluded():
                self._submit_due_jobs(now)
                for minion in self._minions.values():
                    self._advance_minion(minion, now)
                for far in self._links:
                    if not far.answers and now - far.sent_at < HEARTBEAT_SECONDS:
                        continue
                    assert far.link is not None
                    messages.append((far.link, ENCODER.encode(RelayMessage(False, far.answers))))
                    far.answers, far.sent_at = [], now
            for link, data in messages:
                link.receive(data)

    def _advance_minion(self, minion: _FarMinion, now: float) -> None:
        for task, run in list(minion.runs.items()):
            if run.ends_at <= now:
                del minion.runs[task]
                self._end(minion, task, run, "done")
                self.ended_tasks += 1
        due = []
        for poll in minion.polls:
            if poll.answer_at <= now or poll.end_count < minion.end_count:
                due.append(poll)
        if not due:
            return
        minion.polls = [poll for poll in minion.polls if poll not in due]
        running = [self._row(task, run, now) for task, run in minion.runs.items()]
        for poll in due:
            self.polls += 1
            answer = {"clockMs": int(1000.0 * now), "running": running, "ended": minion.ended}
            self._answer(poll.link, poll.call, {**answer, "born": UNIX_START_MS})

    def _row(self, task: str, run: _ActiveRun, now: float) -> list[object]:
        if run.is_lasting:
            return [task, run.run_id, "", 100, int(self._random.uniform(*TAIL_MS))]
        saved = int((now - run.began_at) / CHECKPOINT_SECONDS)
        checkpoint = f"{saved:016x}" if saved else ""
        return [task, run.run_id, checkpoint, 50, int(self._random.uniform(1000, 3500))]

    def _answer(self, link: _FarLink, call: RelayedCall, body: dict[str, Any]) -> None:
        link.answers.append(RelayedAnswer(call.number, 200, msgspec.json.encode(body)))

    def _end(self, minion: _FarMinion, task: str, run: _ActiveRun, how: str) -> None:
        minion.end_count += 1
        minion.ended.append((minion.end_count, task, run.run_id, how, ""))

    def _new_run(self, task: str, run_id: int, now: float) -> _ActiveRun:
        kind = task[0]
        if kind == "a":
            return _ActiveRun(run_id, now, float("inf"), is_lasting=True)
        seconds = SHORT_SECONDS
        if kind == "c":
            seconds = FILLER_SLOWDOWN * FILLER_ESTIMATE_SECONDS
        return _ActiveRun(run_id, now, now + seconds * self._random.uniform(0.7, 1.3), False)

    def _add_minion(self, number: int) -> None:
        domain = DOMAINS[number % len(DOMAINS)]
        entry = {
            "service": "bancada", "address": f"m{number}:1", "zone": domain, "state": "ready",
            "capacity": CAPACITY, "labels": ["a", f"{domain}-{number // 12}"],
            "born": UNIX_START_MS,
        }  # fmt: skip
        name = f"m{number}"
        self._minions[name] = _FarMinion()
        self._store.add(Stream.MINIONS, Record(name, msgspec.json.encode(entry)))

    def _submit_due_jobs(self, now: float) -> None:
        seconds, self._submitted_until = now - self._submitted_until, now
        for kind, rate in (("short", SHORT_JOBS_PER_SECOND), ("filler", FILLER_JOBS_PER_SECOND)):
            self._due_jobs[kind] += self._load_factor * rate * seconds
            while self._due_jobs[kind] >= 1.0:
                self._due_jobs[kind] -= 1.0
                self._submit_job(kind)

    def _submit_job(self, kind: str) -> None:
        if kind == "short":
            self._submit(kind, SHORT_PAYLOAD, (Step(SHORT_TASKS, SHORT_ROOM, SHORT_SECONDS),))
            return
        image = f"print{self._submitted % FILLER_IMAGES}"
        first = Step(
            FILLER_TASKS, FILLER_ROOM, FILLER_ESTIMATE_SECONDS, is_filler=True,
            is_checkpointing=True, image=image,
        )  # fmt: skip
        steps = [first]
        for number in range(1, FILLER_STEPS):
            steps.append(replace(first, after=(number - 1,)))
        self._submit(kind, FILLER_PAYLOAD, tuple(steps))

    def _submit(self, kind: str, payload: str, steps: tuple[Step, ...]) -> None:
        self._submitted += 1
        letter = {"lasting": "a", "short": "b", "filler": "c"}[kind]
        job_id = f"{letter}{self._submitted:015x}"
        submission = Submission(job_id, self._queues[kind], self._unix_ms(), payload, steps)
        record = Record(job_id, encode_submission(submission))
        partition = partition_of(job_id, SUBMISSION_PARTITIONS)
        self._store.add(Stream.SUBMISSIONS, record, partition)

    def _unix_ms(self) -> int:
        return UNIX_START_MS + int(1000.0 * self._loop.time())


@contextmanager
def discarded_log() -> Iterator[None]:
    """Write the log as a process of the platform does, to a descriptor that discards it."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    handler = start_logging("leader", "info", BoundedStream(descriptor))
    try:
        yield
    finally:
        handler.pop_application()
        os.close(descriptor)


def measure_loads(*, is_counting_calls: bool) -> list[LoadWork]:
    """Return the work of a leader that is idle, under the mean load, and in a burst.

    :param is_counting_calls: whether the work is a count of executed functions, which hardly
        depends on the machine, instead of processor seconds
    """
    with discarded_log():
        fleet = LeaderFleet(WorkMeter(is_counting_calls=is_counting_calls))
        try:
            fleet.advance(SETTLE_SECONDS, 0.0)
            measured = [fleet.measure("idle", IDLE_SECONDS, 0.0)]
            fleet.advance(WARM_UP_SECONDS, 1.0)
            measured.append(fleet.measure("mean load", LOAD_SECONDS, 1.0))
            measured.append(fleet.measure("burst", LOAD_SECONDS, BURST_FACTOR))
            return measured
        finally:
            fleet.close()


def figures() -> Iterator[Figure]:
    """Measure the processor time and count the executed functions for each kind of load."""
    for work in measure_loads(is_counting_calls=False):
        yield from _time_figures(work)
    for work in measure_loads(is_counting_calls=True):
        unit = "functions" if work.ended_tasks == 0 else "functions a task"
        count = work.work / (work.ended_tasks or work.seconds)
        yield figure_without_target(f"executed functions, {work.load}", unit, count)


def _time_figures(work: LoadWork) -> Iterator[Figure]:
    load = (
        f"{work.load}, {MINIONS} minions, {work.starts / work.seconds:.0f} starts, "
        f"{work.polls / work.seconds:.0f} polls and {work.rounds / work.seconds:.0f} rounds a "
        f"second, {work.waiting_tasks} waiting"
    )
    yield figure_without_target(load, "ms a second", 1e3 * work.work / work.seconds)
    if work.ended_tasks:
        microseconds = 1e6 * work.work / work.ended_tasks
        yield figure_with_target(
            f"each task, {work.load}", f"at most {MAX_TASK_MICROSECONDS:.0f} us", "",
            f"{microseconds:.0f} us", is_met=microseconds <= MAX_TASK_MICROSECONDS,
        )  # fmt: skip
    callbacks = {
        "poll": ("Leader._poll_minion", work.polls),
        "round": ("Leader.run", work.rounds),
    }
    for name, (callback, count) in callbacks.items():
        if count:
            microseconds = 1e6 * work.work_by_callback.get(callback, 0.0) / count
            yield figure_without_target(f"each {name}, {work.load}", "us", microseconds)
    rows = sorted(work.work_by_callback.items(), key=lambda row: -row[1])
    for callback, seconds in rows[:SHOWN_CALLBACKS]:
        share = 100.0 * seconds / work.work
        yield figure_without_target(f"share of {callback}, {work.load}", "%", share)


if __name__ == "__main__":
    print_figures(figures())
