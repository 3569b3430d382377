"""Random histories of troubled fleets, judged by whether accepted tasks start within their bounds.

The judgement uses only what the minions themselves run, and what clients submitted and cancelled.
To play and trace histories by hand, give a first seed and a number of seeds::

    python -m dotterelhill.jobs.tests.start_promise_world 0 300
    python -m dotterelhill.jobs.tests.start_promise_world 17 1 trace
"""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random

from dotterelhill.jobs.changes import Changes, SchedulerSettings, Switches
from dotterelhill.jobs.fleet import EndKind, EndReport, Minion, MinionFacts, MinionReport, RunReport
from dotterelhill.jobs.model import FINAL_STATES, Job, JobState, Schedule, Step, Submission, TaskKey
from dotterelhill.jobs.orders import PaceOrder, StartOrder, StartOutcome, StopOrder
from dotterelhill.jobs.progress import (
    apply_progress,
    decode_submission,
    encode_progress,
    encode_submission,
)
from dotterelhill.jobs.queues import FleetConfig, Pool, Queue
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.scheduler import Scheduler

TICK_SECONDS = 0.1
UNIX_START_MS = 1_700_000_000_000
TROUBLE_SECONDS = 35.0
# Clients cancel all lasting jobs this long after the last trouble, so that finite jobs find room.
SERVING_SECONDS = 24.0
# Without a start for this time, the jobs that are left will never end. No run takes 10 s.
STUCK_SECONDS = 20.0
HEARTBEAT_SECONDS = 1.1
ENTRY_SECONDS = 3 * HEARTBEAT_SECONDS
ANSWER_TIMEOUT_SECONDS = 1.0
MAX_LATE_SECONDS = 2.5
# Bounds of the promise, as the platform states them.
LASTING_AWAY_SECONDS = 6.0
WAIT_SECONDS = 3.0
STABILITY_SECONDS = 4.0
FINISH_SECONDS = 14.0
MAX_ATTEMPTS = 3
# Kind of the decisions on stops of lasting runs for short tasks.
PREEMPTION = "lasting runs stopped for short tasks"
# Share of the histories in which lasting tasks ask for more than the fleet.
CROWDED_SHARE = 0.4
CAPACITY = ResourceVector(8000, 8000, 1)


def _room(cpu: int, memory_mb: int = 200, gpu: int = 0) -> ResourceVector:
    return ResourceVector(cpu, memory_mb, gpu)


SHORT_STEPS = (
    Step(4, _room(1000), 0.6),
    Step(2, _room(2000, 500, 1), 1.0),
    Step(6, _room(500), 0.3),
    Step(3, _room(4000, 2000), 1.5),
    Step(2, _room(7500, 1000), 1.0),
    Step(3, _room(1500), 1.0, anti_affinity=1),
    Step(2, _room(2000), 3.0, is_checkpointing=True),
    Step(2, _room(3000), 2.0, is_speculative=True),
)
FILLER_STEPS = (
    Step(3, _room(1000, 300), 1.0, is_filler=True, image="print", is_checkpointing=True),
    Step(2, _room(3200, 3000), 2.0, is_filler=True, image="scan"),
    Step(4, _room(7000, 4800), 2.0, is_filler=True, image="print"),
    Step(2, _room(500, 7000), 1.0, is_filler=True, image="scan"),
)
LASTING_STEPS = (
    Step(3, _room(1500, 500), 1.0, is_lasting=True, image="web", target_tail_ms=50),
    Step(2, _room(4000, 1000), 1.0, is_lasting=True, image="map", target_tail_ms=40),
    Step(2, _room(2000, 1000), 1.0, is_lasting=True, image="web", anti_affinity=1, may_miss=1),
    Step(1, _room(7000, 5000), 1.0, is_lasting=True, image="map", target_tail_ms=60),
)


def done_tasks(job: Job) -> list[TaskKey]:
    """Return the tasks that the progress of a job notes as done."""
    keys = []
    for (occurrence, step), bits in job.done_tasks():
        for index in range(bits.bit_length()):
            if bits >> index & 1:
                keys.append(TaskKey(job.job_id, occurrence, step, index))
    return keys


@dataclass(slots=True)
class TrueRun:
    """Run on a minion; ``left_seconds`` of work remain at full pace."""

    run_id: int
    step: Step
    left_seconds: float
    started_at: float
    pace: int = 100
    stops_at: float | None = None
    is_failing: bool = False
    checkpoint: str = ""


@dataclass(slots=True)
class TrueMinion:
    """One incarnation of a minion as it is, which the scheduler learns late or never.

    :param rate: speed of its clock
    :param lease_ms: end of its lease on its clock
    :param refused: highest run that was stopped or ended, by task
    :param cut_until: loop time until which the leader can't reach it
    :param is_cut_from_store: whether the store can't be reached meanwhile either
    :param sick_until: loop time until which it refuses starts and its runs fail
    """

    facts: MinionFacts
    born_at: float
    rate: float
    lease_ms: int = 0
    epoch: int = 0
    runs: dict[TaskKey, TrueRun] = field(default_factory=dict)
    ends: list[EndReport] = field(default_factory=list)
    end_number: int = 0
    refused: dict[TaskKey, int] = field(default_factory=dict)
    is_up: bool = True
    leaves_at: float = float("inf")
    cut_until: float = 0.0
    is_cut_from_store: bool = False
    sick_until: float = 0.0
    entry_at: float = 0.0
    next_poll_at: float = 0.0
    is_polled: bool = False
    reported_end: int = 0

    def clock_ms(self, now: float) -> int:
        return 1 + int(1000.0 * self.rate * (now - self.born_at))

    def free(self) -> ResourceVector:
        free = self.facts.capacity
        for run in self.runs.values():
            free = free.minus(run.step.reserved_resources)
        return free


class StartPromiseWorld:
    """Scheduler, minions, store and clients in memory, with a seeded series of troubles."""

    tick_seconds = TICK_SECONDS

    def __init__(self, seed: int, *, is_traced: bool = False) -> None:
        self.rng = rng = Random(seed)
        self.now = 1000.0
        self.is_traced = is_traced
        self.trace: list[str] = []
        self.violations: list[str] = []
        self.events: list[tuple[float, int, Callable[[], object]]] = []
        self.numbers = count()
        self.settings = SchedulerSettings(
            capacity_valid_seconds=2.9,
            switches=Switches(look_ahead=rng.random() < 0.25, speed_placement=rng.random() < 0.25),
        )
        self.failing_share = rng.choice((0.02, 0.1, 0.35))
        self.max_starts = rng.choice((8, 128, 128))
        self.queues = {
            name: Queue(name, "h", f"/{name}/", "pool", priority, MAX_ATTEMPTS, 2.0, 1.0)
            for priority, name in enumerate(("first", "second", "third"))
        }
        self.config = FleetConfig(1, dict(self.queues), {"pool": Pool("pool", is_guarded=True)})
        self.evacuated: set[str] = set()
        self.minions: list[TrueMinion] = []
        self.machine_count = rng.choice((3, 4, 6, 10))
        self.submissions: dict[str, bytes] = {}
        self.known: dict[str, Submission] = {}
        self.progress: dict[str, bytes] = {}
        self.cancelled: set[str] = set()
        self.ended_done: set[TaskKey] = set()
        # Tasks of which the store notes that they have ended so.
        self.done: set[TaskKey] = set()
        # Finite jobs of which a task has used up its attempts.
        self.over_jobs: set[str] = set()
        self.failures: Counter[TaskKey] = Counter()
        self.crashes: Counter[TaskKey] = Counter()
        self.accepted_at: dict[str, float] = {}
        self.last_run_at: dict[TaskKey, float] = {}
        self.wait_since: dict[object, float] = {}
        self.disturbed_until = self.now
        self.orders_lost_until = self.writes_slow_until = self.list_lost_until = 0.0
        self.list_read_at = 0.0
        self.listed: set[str] = set()
        self.last_submitted_at = self.last_start_at = self.now
        self.is_serving_over = False
        self.start_count = self.stop_count = self.leader_count = self.preemption_count = 0
        for number in range(self.machine_count):
            self.add_minion(f"a{number}:1")
        self.epoch = 0
        self.leads_at = self.now
        self.scheduler: Scheduler | None = None
        self.changes: Changes | None = None
        self.commit_at = 0.0
        self.plan_troubles()
        # Drawn apart, so that the other histories of a seed stay as they are.
        crowd = Random(f"crowd {seed}")
        if crowd.random() < CROWDED_SHARE:
            self.plan_crowd(crowd)

    def log(self, text: str) -> None:
        if self.is_traced:
            self.trace.append(f"{self.now - 1000.0:7.2f} {text}")

    def after(self, seconds: float, call: Callable[[], object]) -> None:
        heappush(self.events, (self.now + seconds, next(self.numbers), call))

    def disturb(self, seconds: float = 0.0) -> None:
        """Record a trouble that is noticeable for a time."""
        self.disturbed_until = max(self.disturbed_until, self.now + seconds)

    # Troubles

    def plan_troubles(self) -> None:
        """Draw series of troubles, and the submissions and cancellations of clients."""
        rng = self.rng
        troubles = (
            self.crash_wave, self.crash_one, self.drain_one, self.cut_one, self.lose_orders,
            self.sicken_one, self.evacuate, self.shrink_one, self.reconfigure, self.kill_leader,
            self.kill_leader, self.slow_writes, self.lose_list,
        )  # fmt: skip
        # Where troubles end before the traffic does, the fleet is busy when it recovers.
        troubled_seconds = rng.choice((10.0, 20.0, TROUBLE_SECONDS))
        times = []
        if rng.random() < 0.5:
            # Volleys, each with time to recover: bounds hold only after a calm.
            for begin in (rng.uniform(4.0, 9.0), rng.uniform(20.0, 25.0)):
                volley = rng.sample(troubles, rng.randint(0, 2))
                for trouble in (*volley, self.kill_leader, rng.choice(troubles[:4])):
                    times.append((begin + rng.uniform(0.0, 2.0), trouble))
        else:
            begin = 0.0
            for _ in range(rng.randint(2, 6)):
                trouble = rng.choice(troubles)
                if rng.random() < 0.6:
                    begin = rng.uniform(0.0, troubled_seconds)
                period = rng.choice((0.5, 1.0, 2.0, 3.0, 6.0))
                if trouble == self.crash_wave:
                    period = 6.0
                for number in range(rng.randint(1, 8)):
                    at = begin + number * period + rng.uniform(0.0, 0.3)
                    if at < troubled_seconds:
                        times.append((at, trouble))
        for at, trouble in times:
            self.after(at, trouble)
        job_count = rng.choice((8, 20, 40, 80))
        for number in range(job_count):
            self.after(rng.uniform(0.0, TROUBLE_SECONDS), partial(self.submit, f"j{number}"))
        for _ in range(job_count // 5):
            self.after(rng.uniform(0.0, TROUBLE_SECONDS), self.cancel_any)
        self.after(TROUBLE_SECONDS + SERVING_SECONDS, self.cancel_lasting)

    def pick(self) -> TrueMinion | None:
        up = [minion for minion in self.minions if minion.is_up]
        return self.rng.choice(up) if up else None

    def add_minion(self, address: str, minion_id: str = "") -> None:
        rng = self.rng
        number = next(self.numbers)
        labels = ("a", f"r{number % 3}")
        domain = rng.choice(("north", "south"))
        facts = MinionFacts(
            minion_id or f"m{number}", self.unix_ms, "pool", address, domain, labels, CAPACITY
        )
        minion = TrueMinion(facts, self.now, rng.choice((0.98, 0.99, 1.0)), entry_at=self.now)
        self.minions.append(minion)
        self.log(f"minion {facts.minion_id} born {facts.born_ms} at {address}")

    def crash(self, minion: TrueMinion) -> None:
        """End a minion with all its runs; it returns, at times under a new id or address."""
        self.log(f"minion {minion.facts.minion_id} crashes with {list(map(str, minion.runs))}")
        self.remove_minion(minion, is_crash=True)
        down_seconds = self.rng.choice((0.3, 1.0, 1.0, 3.0))
        address, minion_id = minion.facts.address, ""
        kind = self.rng.random()
        if kind < 0.2:
            minion_id = minion.facts.minion_id
        elif kind < 0.7:
            address = f"c{next(self.numbers)}:1"
        self.after(down_seconds, lambda: self.add_minion(address, minion_id))
        self.disturb(down_seconds)

    def remove_minion(self, minion: TrueMinion, *, is_crash: bool) -> None:
        self.expire(minion)
        minion.is_up = False
        for key in minion.runs:
            self.last_run_at[key] = self.now
            self.crashes[key] += is_crash
        minion.runs.clear()

    def crash_wave(self) -> None:
        up = [minion for minion in self.minions if minion.is_up]
        for minion in self.rng.sample(up, len(up) // self.rng.choice((2, 2, 3))):
            self.crash(minion)

    def crash_one(self) -> None:
        minion = self.pick()
        if minion is not None:
            self.crash(minion)

    def drain_one(self) -> None:
        """Let a minion announce its leaving, and another one join."""
        minion = self.pick()
        if minion is None or minion.facts.is_draining:
            return
        seconds = self.rng.choice((3.0, 5.0, 8.0))
        minion.facts = replace(minion.facts, is_draining=True, leaves_in_seconds=seconds)
        minion.entry_at, minion.leaves_at = self.now, self.now + seconds
        self.log(f"minion {minion.facts.minion_id} drains with {list(map(str, minion.runs))}")
        address = f"b{next(self.numbers)}:1"
        self.after(self.rng.uniform(0.0, 3.0), lambda: self.add_minion(address))

    def cut_one(self) -> None:
        minion = self.pick()
        if minion is not None:
            seconds = self.rng.choice((0.5, 2.0, 4.0, 9.0))
            minion.cut_until = self.now + seconds
            minion.is_cut_from_store = self.rng.random() < 0.5
            self.log(f"minion {minion.facts.minion_id} is cut off for {seconds} s")
            self.disturb(seconds)

    def lose_orders(self) -> None:
        seconds = self.rng.choice((0.5, 3.0))
        self.orders_lost_until = self.now + seconds
        self.disturb(seconds + MAX_LATE_SECONDS)

    def sicken_one(self) -> None:
        minion = self.pick()
        if minion is not None:
            seconds = self.rng.choice((1.0, 4.0))
            minion.sick_until = self.now + seconds
            self.log(f"minion {minion.facts.minion_id} is unhealthy for {seconds} s")
            self.disturb(seconds)

    def evacuate(self) -> None:
        self.evacuated = {self.rng.choice(("north", "south"))}
        self.log(f"evacuated: {self.evacuated}")
        self.apply_configuration()
        self.after(self.rng.choice((1.0, 4.0, 8.0)), self.end_evacuation)

    def end_evacuation(self) -> None:
        self.evacuated = set()
        self.apply_configuration()

    def shrink_one(self) -> None:
        minion = self.pick()
        if minion is not None:
            cpu, memory_mb = self.rng.choice((0, 2000, 4000)), self.rng.choice((1000, 5000))
            minion.facts = replace(minion.facts, capacity=_room(cpu, memory_mb))
            self.log(f"minion {minion.facts.minion_id} shrinks to {cpu}, {memory_mb}")
            self.disturb(4.0)
            self.after(4.0, lambda: self.regrow(minion))

    def regrow(self, minion: TrueMinion) -> None:
        minion.facts = replace(minion.facts, capacity=CAPACITY)

    def reconfigure(self) -> None:
        """Publish a configuration, in which a queue may be absent or have another priority."""
        queues = dict(self.queues)
        name = self.rng.choice(list(queues))
        if self.rng.random() < 0.3:
            del queues[name]
        else:
            queues[name] = replace(queues[name], priority=self.rng.randint(0, 2))
        self.config = replace(self.config, version=self.config.version + 1, queues=queues)
        self.apply_configuration()

    def slow_writes(self) -> None:
        self.writes_slow_until = self.now + self.rng.choice((1.0, 3.0))
        self.disturb(self.writes_slow_until - self.now + 1.0)

    def lose_list(self) -> None:
        seconds = self.rng.choice((1.0, 4.0))
        self.list_lost_until = self.now + seconds
        self.disturb(seconds)

    def kill_leader(self) -> None:
        """End the leader, at times between its plan, the write of it and the sending of starts."""
        if self.scheduler is None:
            return
        if self.changes is not None and self.rng.random() < 0.5:
            self.store(self.changes)
            self.log("leader dies between its write and its starts")
        self.log("leader dies")
        self.scheduler = self.changes = None
        self.leads_at = self.now + self.rng.uniform(0.2, 2.0)
        self.disturb(self.leads_at - self.now + TICK_SECONDS)

    # Clients

    @property
    def unix_ms(self) -> int:
        return UNIX_START_MS + int(1000 * self.now)

    def submit(self, job_id: str) -> None:
        rng = self.rng
        kind = rng.random()
        schedule = None
        if kind < 0.25:
            steps: tuple[Step, ...] = (rng.choice(LASTING_STEPS),)
        elif kind < 0.5:
            steps = (rng.choice(FILLER_STEPS),)
        else:
            steps = (rng.choice(SHORT_STEPS),)
            while rng.random() < 0.35 and len(steps) < 3:
                more = rng.choice(SHORT_STEPS + FILLER_STEPS)
                steps = (*steps, replace(more, after=(rng.randrange(len(steps)),)))
            if rng.random() < 0.1:
                schedule = Schedule(2, self.unix_ms + 1500, 1000)
        queue = rng.choice(list(self.queues.values()))
        self.accept(job_id, queue.name, steps, schedule)

    def accept(
        self,
        job_id: str,
        queue_name: str,
        steps: tuple[Step, ...],
        schedule: Schedule | None = None,
    ) -> None:
        queue = self.queues[queue_name]
        submission = Submission(job_id, queue, self.unix_ms, "spec", steps, schedule)
        self.known[job_id] = submission
        self.submissions[job_id] = encode_submission(submission)
        self.accepted_at[job_id] = self.last_submitted_at = self.now
        self.log(f"job {job_id} submitted: {[(one.kind, one.count, one.room) for one in steps]}")
        if self.scheduler is not None:
            self.scheduler.submit(decode_submission(self.submissions[job_id]), self.now)

    def plan_crowd(self, rng: Random) -> None:
        """Draw lasting jobs that ask for more than the fleet, and short jobs of higher priority."""
        cpu = 0
        while cpu < 1.2 * self.machine_count * CAPACITY.cpu:
            step = rng.choice(LASTING_STEPS)
            cpu += step.count * step.room.cpu
            name = f"l{next(self.numbers)}"
            self.after(rng.uniform(0.0, 3.0), partial(self.accept, name, "second", (step,)))
        for number in range(rng.choice((10, 30, 60))):
            step = rng.choice(SHORT_STEPS)
            at = rng.uniform(6.0, TROUBLE_SECONDS)
            self.after(at, partial(self.accept, f"s{number}", "first", (step,)))

    def cancel(self, job_id: str) -> None:
        self.cancelled.add(job_id)
        self.log(f"job {job_id} cancelled")
        if self.scheduler is not None:
            self.scheduler.cancel(job_id, self.now)

    def cancel_any(self) -> None:
        if self.known:
            self.cancel(self.rng.choice(list(self.known)))

    def cancel_lasting(self) -> None:
        self.is_serving_over, self.last_start_at = True, self.now
        for job_id, submission in self.known.items():
            if submission.steps[0].is_lasting:
                self.cancel(job_id)

    # Minions

    def end_run(self, minion: TrueMinion, key: TaskKey, kind: EndKind) -> None:
        run = minion.runs.pop(key)
        self.last_run_at[key] = self.now
        minion.refused[key] = max(run.run_id, minion.refused.get(key, 0))
        minion.end_number += 1
        end = EndReport(minion.end_number, key, run.run_id, kind, run.checkpoint)
        minion.ends.append(end)
        if kind is EndKind.DONE:
            self.ended_done.add(key)
        self.failures[key] += kind is EndKind.FAILED
        if self.failures[key] >= MAX_ATTEMPTS and not run.step.is_lasting:
            self.over_jobs.add(key.job_id)
        self.log(f"run {key} #{run.run_id} on {minion.facts.minion_id} ended {kind}")

    def expire(self, minion: TrueMinion) -> None:
        if minion.runs and minion.clock_ms(self.now) >= minion.lease_ms:
            for key in list(minion.runs):
                self.end_run(minion, key, EndKind.LAPSED)

    def advance_minion(self, minion: TrueMinion) -> None:
        now = self.now
        if now >= minion.leaves_at:
            self.log(f"minion {minion.facts.minion_id} leaves")
            self.remove_minion(minion, is_crash=False)
            minion.entry_at = 0.0
            return
        self.expire(minion)
        for key, run in list(minion.runs.items()):
            if run.stops_at is not None and now >= run.stops_at:
                self.end_run(minion, key, EndKind.STOPPED)
                continue
            run.left_seconds -= self.tick_seconds * run.pace / 100.0
            if run.step.is_checkpointing:
                run.checkpoint = f"{run.left_seconds:.1f}"
            is_sick_end = now < minion.sick_until and now - run.started_at > 0.3
            if run.left_seconds <= 0.0 or is_sick_end:
                is_failed = run.is_failing or is_sick_end
                self.end_run(minion, key, EndKind.FAILED if is_failed else EndKind.DONE)
        is_heartbeat_due = now - minion.entry_at >= HEARTBEAT_SECONDS
        if is_heartbeat_due and not (now < minion.cut_until and minion.is_cut_from_store):
            minion.entry_at = now

    def find(self, state: Minion) -> TrueMinion | None:
        """Return the incarnation at the address of a minion that the scheduler knows."""
        for minion in self.minions:
            if minion.is_up and minion.facts.address == state.facts.address:
                return minion
        return None

    def is_other(self, minion: TrueMinion, state: Minion) -> bool:
        facts, known = minion.facts, state.facts
        return (facts.minion_id, facts.born_ms) != (known.minion_id, known.born_ms)

    def start(self, order: StartOrder, epoch: int, deadline_ms: int) -> StartOutcome | None:
        """Let a minion carry out a start order; return None if it was fenced."""
        run, minion = order.run, self.find(order.minion)
        if minion is None:
            return StartOutcome.NOT_SENT
        if self.is_other(minion, order.minion):
            return StartOutcome.OTHER_INCARNATION
        if epoch < minion.epoch:
            return None
        minion.epoch = epoch
        self.expire(minion)
        if self.now < minion.sick_until and self.rng.random() < 0.5:
            return StartOutcome.UNHEALTHY
        if deadline_ms <= minion.clock_ms(self.now):
            return StartOutcome.LATE
        minion.lease_ms = max(minion.lease_ms, deadline_ms)
        if run.key in minion.runs and minion.runs[run.key].run_id == run.run_id:
            return StartOutcome.STARTED
        if run.run_id <= minion.refused.get(run.key, 0) or run.key in minion.runs:
            return StartOutcome.OUTDATED
        if not minion.free().is_enough_for(run.step.reserved_resources):
            return StartOutcome.NO_ROOM
        self.check_single(run.key, run.step)
        work = self.draw_work_seconds(run.step)
        is_failing = self.is_before_calm and self.rng.random() < self.failing_share
        if run.step.is_lasting:
            work = self.rng.uniform(0.5, 20.0) if is_failing else float("inf")
        elif order.checkpoint:
            work = min(work, float(order.checkpoint))
        minion.runs[run.key] = TrueRun(
            run.run_id, run.step, work, self.now, is_failing=is_failing, checkpoint=order.checkpoint
        )
        self.start_count += 1
        self.last_start_at = self.now
        self.log(f"run {run.key} #{run.run_id} starts on {minion.facts.minion_id}")
        return StartOutcome.STARTED

    def stop(self, order: StopOrder, epoch: int) -> bool:
        minion = self.find(order.minion)
        if minion is None or self.is_other(minion, order.minion) or epoch < minion.epoch:
            return False
        minion.epoch = epoch
        run = minion.runs.get(order.key)
        if run is not None and run.run_id <= order.run_id and run.stops_at is None:
            run.stops_at = self.now + self.draw_stop_seconds()
            self.stop_count += 1
        minion.refused[order.key] = max(order.run_id, minion.refused.get(order.key, 0))
        return True

    def draw_work_seconds(self, step: Step) -> float:
        return step.estimate_seconds * self.rng.choice((0.5, 1.0, 1.0, 3.0))

    def draw_stop_seconds(self) -> float:
        return self.rng.choice((0.0, 0.2, 1.0))

    @property
    def is_before_calm(self) -> bool:
        return self.now < 1000.0 + TROUBLE_SECONDS

    def fate(self, state: Minion) -> str:
        """Return what becomes of a call of a minion: answered, unanswered, late or lost."""
        minion = self.find(state)
        if minion is not None and self.now < minion.cut_until:
            return "lost"
        if self.now < self.orders_lost_until and self.rng.random() < 0.4:
            return self.rng.choice(("unanswered", "late", "lost"))
        return "answered"

    # Leader

    def apply_configuration(self) -> None:
        if self.scheduler is not None:
            self.scheduler.configure(self.config)
            self.scheduler.evacuate(self.evacuated)

    def take_over(self) -> None:
        """Let a new leader load what was stored, in the order in which reads happen to end."""
        self.epoch += 1
        self.leader_count += 1
        self.log(f"leader {self.epoch} takes over")
        scheduler = self.scheduler = Scheduler(self.settings, self.now)
        self.listed = set()
        is_list_first = self.rng.random() < 0.5
        is_cancel_first = self.rng.random() < 0.3
        if is_cancel_first:
            for job_id in self.cancelled:
                scheduler.cancel(job_id, self.now)
        if is_list_first:
            self.read_list()
        for job_id, data in self.submissions.items():
            submission = decode_submission(data)
            if job_id not in self.progress:
                scheduler.submit(submission, self.now)
                continue
            job = Job(submission)
            apply_progress(job, self.progress[job_id])
            scheduler.restore(job, self.now)
        for job_id in self.cancelled:
            scheduler.cancel(job_id, self.now)
        if not is_list_first:
            self.read_list()
        self.apply_configuration()
        for minion in self.minions:
            minion.is_polled = False
            minion.next_poll_at = self.now

    def read_list(self) -> None:
        assert self.scheduler is not None
        self.list_read_at = self.now
        listed = set()
        for minion in self.minions:
            if self.now - minion.entry_at < ENTRY_SECONDS:
                listed.add(minion.facts.minion_id)
                self.scheduler.update_minion(minion.facts, self.now)
        for minion_id in self.listed - listed:
            self.scheduler.mark_minion_unlisted(minion_id)
        self.listed = listed

    def store(self, changes: Changes) -> None:
        """Store progress; a task that it notes as done needs no further run."""
        for job in changes.jobs:
            self.progress[job.job_id] = encode_progress(job)
            for key in done_tasks(job):
                if key not in self.ended_done:
                    self.violate(f"{key} counts as done and has not ended so")
                else:
                    self.done.add(key)
        for job_id in changes.removed:
            self.progress.pop(job_id, None)
            self.submissions.pop(job_id, None)

    def lead(self) -> None:
        if self.scheduler is None:
            if self.now < self.leads_at:
                return
            self.take_over()
        scheduler = self.scheduler
        assert scheduler is not None
        if self.now >= max(self.list_read_at + 0.5, self.list_lost_until):
            self.read_list()
        for state in list(scheduler.minions.values()):
            self.poll(scheduler, state)
        self.send_orders(scheduler)
        if self.changes is None:
            scheduler.record_minion_list(self.list_read_at)
            scheduler.plan(self.now, self.unix_ms, self.max_starts)
            self.send_orders(scheduler)
            self.changes = scheduler.take_changes()
            is_slow = self.now < self.writes_slow_until
            self.commit_at = self.now + (self.rng.uniform(0.0, 2.0) if is_slow else 0.0)
        if self.now >= self.commit_at and (not self.is_before_calm or self.rng.random() < 0.8):
            changes, self.changes = self.changes, None
            self.store(changes)
            scheduler.record_minion_list(self.list_read_at)
            for order in scheduler.commit(changes, self.now):
                self.send_start(scheduler, order)
        decisions = scheduler.take_decisions()
        self.preemption_count += sum(one.kind == PREEMPTION for one in decisions)
        if self.is_traced:
            for decision in decisions:
                self.log(f"  {decision.message} {decision.job_id} {dict(decision.fields)}")

    def poll(self, scheduler: Scheduler, state: Minion) -> None:
        minion, fate = self.find(state), self.fate(state)
        if minion is None:
            scheduler.mark_minion_silent(state, "refused", self.now)
        elif fate == "lost":
            if self.rng.random() < 0.2:
                scheduler.mark_minion_silent(state, "time-out", self.now)
            elif state.is_answering:
                state.grant_lease(self.now, self.settings.lease_seconds)
        elif self.is_other(minion, state):
            scheduler.remove_replaced_minion(state, self.now)
        elif not minion.is_polled:
            has_news = minion.end_number > minion.reported_end
            if has_news or self.now >= minion.next_poll_at:
                self.answer_poll(scheduler, state, minion, is_answer_lost=fate != "answered")

    def answer_poll(
        self, scheduler: Scheduler, state: Minion, minion: TrueMinion, *, is_answer_lost: bool
    ) -> None:
        sent_at = self.now
        minion.next_poll_at = self.now + 0.4
        deadline_ms = None
        if state.is_answering:
            deadline_ms = state.grant_lease(sent_at, self.settings.lease_seconds)
        minion.epoch = max(minion.epoch, self.epoch)
        self.expire(minion)
        minion.ends = [end for end in minion.ends if end.number > state.durable_end]
        minion.reported_end = minion.end_number
        minion.lease_ms = max(minion.lease_ms, deadline_ms or 0)
        if is_answer_lost:
            if self.rng.random() < 0.5:
                scheduler.mark_minion_silent(state, "answer lost", self.now)
            return
        report = self.report_of(minion)
        delay = self.rng.choice((0.0, 0.0, 0.1, 0.3)) if self.is_before_calm else 0.0
        minion.is_polled = True

        def deliver() -> None:
            minion.is_polled = False
            if self.scheduler is scheduler:
                scheduler.report(state, report, sent_at, self.now)

        self.after(delay, deliver) if delay else deliver()

    def report_of(self, minion: TrueMinion) -> MinionReport:
        filler_cpu = sum(
            run.step.room.cpu * run.pace / 100.0
            for run in minion.runs.values()
            if run.step.is_filler
        )
        rows = []
        for key, run in minion.runs.items():
            measure = float(run.step.room.cpu)
            if run.step.is_lasting:
                measure = 20.0 + 40.0 * filler_cpu / CAPACITY.cpu
            percent = 100 if self.now - run.started_at >= 0.5 else 0
            rows.append(RunReport(key, run.run_id, run.checkpoint, percent, measure))
        clock_ms = minion.clock_ms(self.now)
        return MinionReport(minion.facts.born_ms, clock_ms, tuple(rows), tuple(minion.ends))

    def send_start(self, scheduler: Scheduler, order: StartOrder) -> None:
        run, epoch, sent_at = order.run, self.epoch, self.now
        deadline_ms = order.minion.start_lease(self.now, self.settings.lease_seconds)
        if deadline_ms is None:
            scheduler.start_answered(run, StartOutcome.NOT_SENT, self.now, self.now)
            return
        fate = self.fate(order.minion)

        def answer(outcome: StartOutcome | None, clock_ms: int | None = None) -> None:
            if self.scheduler is scheduler and outcome is not None:
                self.log(f"start of {run.key} #{run.run_id} on {run.minion_id}: {outcome}")
                scheduler.start_answered(run, outcome, sent_at, self.now, clock_ms)

        if fate == "answered":
            outcome = self.start(order, epoch, deadline_ms)
            minion = self.find(order.minion)
            clock_ms = minion.clock_ms(self.now) if minion is not None else None
            if self.rng.random() < 0.5:
                answer(outcome, clock_ms)
            else:
                self.after(TICK_SECONDS, lambda: answer(outcome, clock_ms))
            return
        if fate == "late":
            late_seconds = self.rng.uniform(0.0, MAX_LATE_SECONDS)
            self.after(late_seconds, partial(self.start, order, epoch, deadline_ms))
        elif fate == "unanswered":
            self.start(order, epoch, deadline_ms)
        self.after(ANSWER_TIMEOUT_SECONDS, lambda: answer(StartOutcome.UNKNOWN))

    def send_orders(self, scheduler: Scheduler) -> None:
        epoch = self.epoch
        for order in scheduler.take_orders():
            fate = self.fate(order.minion)
            if isinstance(order, PaceOrder):
                minion = self.find(order.minion)
                run = minion.runs.get(order.run.key) if minion is not None else None
                if fate != "answered":
                    scheduler.pace_unanswered(order, self.now)
                elif run is not None and run.run_id == order.run.run_id:
                    run.pace = order.percent
                continue
            self.log(f"stop of {order.key} #{order.run_id} on {order.minion.minion_id}: {fate}")
            if fate == "late":
                late_seconds = self.rng.uniform(0.0, MAX_LATE_SECONDS)
                self.after(late_seconds, partial(self.stop, order, epoch))
            elif fate != "lost" and self.stop(order, epoch) and fate == "answered":
                scheduler.stop_answered(order.minion, order.key, order.run_id, self.now)

    # Judgement

    def violate(self, text: str) -> None:
        self.log(f"VIOLATION {text}")
        self.violations.append(f"{self.now - 1000.0:.1f} s: {text}")

    def check_single(self, key: TaskKey, step: Step) -> None:
        if step.is_speculative:
            return
        for minion in self.minions:
            if minion.is_up and key in minion.runs:
                self.expire(minion)
                if key in minion.runs:
                    self.violate(f"{key} runs twice")

    def is_usable(self, minion: TrueMinion) -> bool:
        facts = minion.facts
        is_reachable = self.now >= max(minion.cut_until, minion.sick_until)
        is_open = not facts.is_draining and facts.failure_domain not in self.evacuated
        return minion.is_up and is_reachable and is_open

    def has_room_twice(self, key: TaskKey, step: Step) -> bool:
        needed, slots = step.reserved_resources, 0
        for minion in self.minions:
            if not self.is_usable(minion):
                continue
            free = minion.free()
            fitting = [
                have // need
                for have, need in zip(free.as_list(), needed.as_list(), strict=True)
                if need
            ]
            if step.anti_affinity:
                siblings = sum(_step_of(one) == _step_of(key) for one in minion.runs)
                fitting.append(step.anti_affinity - siblings)
            slots += max(0, min(fitting))
        return slots >= 2

    def judge(self) -> None:
        running = {key for minion in self.minions if minion.is_up for key in minion.runs}
        ended = {
            end.key
            for minion in self.minions
            if minion.is_up
            for end in minion.ends
            if end.kind is EndKind.DONE
        }
        running_jobs = {key.job_id for key in running}
        is_end = self.now - max(self.last_submitted_at, self.disturbed_until) >= FINISH_SECONDS
        is_half_free = is_end and self.is_half_free()
        waiting: dict[object, float] = {}
        for job_id, submission in self.known.items():
            is_lasting = submission.steps[0].is_lasting
            if job_id in self.cancelled or job_id in self.over_jobs:
                continue
            if not is_lasting and (not is_half_free or job_id in running_jobs):
                continue
            if self.is_given_up(job_id):
                continue
            for key, step in self.due_tasks(submission):
                if key in running or key in ended or key in self.done:
                    continue
                if is_lasting:
                    last = self.last_run_at.get(key, self.accepted_at[job_id])
                    if self.now - last < LASTING_AWAY_SECONDS or not self.has_room_twice(key, step):
                        continue
                    bound = self.disturbed_until + STABILITY_SECONDS + WAIT_SECONDS
                elif self.has_room_twice(key, step):
                    bound = 0.0
                else:
                    continue
                waiting[key] = self.judge_wait(key, step, bound)
        self.wait_since = waiting

    def judge_wait(self, key: TaskKey, step: Step, bound: float) -> float:
        """Return the time from which a task has waited beside room, or a past one once too long.

        :param bound: time before which no wait is too long
        """
        since = self.wait_since.get(key, self.now)
        if self.now - since > WAIT_SECONDS and self.now > bound and since >= 0.0:
            self.violate(f"{key} does not start ({step.kind}, {step.room})")
            return float("-inf")
        return since

    def due_tasks(self, submission: Submission) -> list[tuple[TaskKey, Step]]:
        tasks = []
        for occurrence in range(submission.occurrence_count):
            if self.unix_ms < submission.due_ms(occurrence):
                continue
            for number, step in enumerate(submission.steps):
                if all(
                    TaskKey(submission.job_id, occurrence, earlier, index) in self.done
                    for earlier in step.after
                    for index in range(submission.steps[earlier].count)
                ):
                    for index in range(step.count):
                        tasks.append((TaskKey(submission.job_id, occurrence, number, index), step))
        return tasks

    def is_half_free(self) -> bool:
        used = total = 0
        for minion in self.minions:
            if self.is_usable(minion):
                total += minion.facts.capacity.cpu
                used += minion.facts.capacity.cpu - minion.free().cpu
        return 2 * used < total

    def have_all_ended(self) -> bool:
        states = [self.scheduler.state_of(name) for name in self.known] if self.scheduler else []
        return bool(states) and all(state in FINAL_STATES for state in states)

    def is_given_up(self, job_id: str) -> bool:
        """Return whether a job was given up that may have crashed several minions."""
        if self.scheduler is None or self.scheduler.state_of(job_id) is not JobState.FAILED:
            return False
        return any(key.job_id == job_id and number >= 2 for key, number in self.crashes.items())

    def judge_ends(self) -> None:
        """Check that each finite job has ended, and that none has failed without a cause."""
        assert self.scheduler is not None
        for job_id, submission in self.known.items():
            if submission.steps[0].is_lasting:
                continue
            state = self.scheduler.state_of(job_id)
            if state not in FINAL_STATES:
                self.violate(f"{job_id} has not ended but is {state}")
            if state is JobState.FAILED and job_id not in self.over_jobs:
                if not self.is_given_up(job_id):
                    self.violate(f"{job_id} has failed without a cause")
            if state is JobState.COMPLETED:
                for key, _ in self.due_tasks(submission):
                    if key not in self.ended_done:
                        self.violate(f"{job_id} is completed without {key}")

    def play(self) -> None:
        while not self.is_serving_over or not self.have_all_ended():
            if self.is_serving_over and self.now - self.last_start_at > STUCK_SECONDS:
                break
            self.now += TICK_SECONDS
            while self.events and self.events[0][0] <= self.now:
                heappop(self.events)[2]()
            for minion in self.minions:
                if minion.is_up:
                    self.advance_minion(minion)
            self.lead()
            self.judge()
        self.judge_ends()


def _step_of(key: TaskKey) -> tuple[str, int, int]:
    return key.job_id, key.occurrence, key.step


def play_history(seed: int, *, is_traced: bool = False) -> StartPromiseWorld:
    """Return the world after a random history, with the broken promises."""
    world = StartPromiseWorld(seed, is_traced=is_traced)
    world.play()
    return world


def main(arguments: list[str]) -> None:
    """Play histories and print the broken promises of each seed."""
    first, number = int(arguments[0]), int(arguments[1])
    broken = preemptions = 0
    for seed in range(first, first + number):
        world = play_history(seed, is_traced=len(arguments) > 2)
        if world.is_traced:
            print("\n".join(world.trace))
        broken += bool(world.violations)
        preemptions += world.preemption_count
        if world.violations:
            print(f"seed {seed}: {world.violations[:4]}", flush=True)
    print(f"{number} histories, {broken} broken, {preemptions} times stops for short tasks")


if __name__ == "__main__":
    main(sys.argv[1:])
