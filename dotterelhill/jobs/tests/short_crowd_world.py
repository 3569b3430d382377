"""Random histories of a fleet full of lasting tasks, beside which short jobs arrive.

Rounds, writes, orders and reports take some hundredths of a second each, as between processes. So
the room that a run leaves is free for some tenths of a second, and the scheduler sees that later.
To play histories by hand, give a first seed and a number of seeds::

    python -m dotterelhill.jobs.tests.short_crowd_world 0 20
"""

from __future__ import annotations

import sys
from dataclasses import replace
from functools import partial
from heapq import heappop
from itertools import count
from random import Random

from dotterelhill.jobs.changes import SchedulerSettings
from dotterelhill.jobs.fleet import Minion, MinionFacts
from dotterelhill.jobs.model import Step, TaskKey
from dotterelhill.jobs.orders import PaceOrder, StartOrder, StartOutcome, StopOrder
from dotterelhill.jobs.placement.room_waits import slots_in
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.scheduler import Scheduler
from dotterelhill.jobs.tests.start_promise_world import (
    LASTING_AWAY_SECONDS,
    PREEMPTION,
    STABILITY_SECONDS,
    WAIT_SECONDS,
    StartPromiseWorld,
    TrueMinion,
)

MINION_COUNT = 33
MINION_ROOM = ResourceVector(32000, 125000)
DOMAINS = ("north", "south", "west")
LOST_MINIONS = 4
LOST_AT_SECONDS = 8.0
FILLED_SECONDS = 4.0
SHORT_FROM_SECONDS = 10.0
SHORT_SECONDS = 34.0
END_SECONDS = 48.0
LASTING_JOBS_A_SECOND = 0.14
SHORT_JOBS_A_SECOND = 3.6
# The platform may look at the fleet only this often, so that room which comes and goes in between
# counts as lasting. When it looks is not known, so a series of looks is judged from each tick on.
LOOK_TICKS = 25
FILLER_STEP = Step(6, ResourceVector(3500, 4800), 3.0, is_filler=True, image="scan")


class ShortCrowdWorld(StartPromiseWorld):
    """Fleet that lasting tasks ask for more than once, with fillers and short jobs.

    :ivar longest_wait: longest time in seconds for which an overdue task has waited beside room
    """

    tick_seconds = 0.02

    def __init__(self, seed: int, *, is_traced: bool = False) -> None:
        self.round_at = self.longest_wait = 0.0
        self.free_now: list[tuple[TrueMinion, ResourceVector]] = []
        # Times of the first looks in a row at which a task waits beside room, by series.
        self.looks: list[dict[object, float]] = [{} for _ in range(LOOK_TICKS)]
        super().__init__(seed, is_traced=is_traced)
        self.settings = SchedulerSettings()

    # Load

    def plan_troubles(self) -> None:
        rng = self.rng
        self.failing_share = 0.0
        short, lasting = self.queues["first"], self.queues["second"]
        self.queues["second"] = replace(lasting, priority=short.priority)
        self.config = replace(self.config, queues=dict(self.queues))
        self.minions = [self.new_minion(number) for number in range(MINION_COUNT)]
        self.by_address = {minion.facts.address: minion for minion in self.minions}
        self.after(LOST_AT_SECONDS, self.lose_minions)
        numbers, cpu = count(), 0
        wanted_cpu = rng.choice((1.1, 1.3, 1.6, 2.0)) * MINION_COUNT * MINION_ROOM.cpu
        while cpu < wanted_cpu:
            cpu += self.plan_lasting(f"l{next(numbers)}", rng.uniform(0.0, FILLED_SECONDS))
        at = FILLED_SECONDS
        while (at := at + rng.expovariate(LASTING_JOBS_A_SECOND)) < END_SECONDS:
            self.plan_lasting(f"l{next(numbers)}", at)
        at = SHORT_FROM_SECONDS
        while (at := at + rng.expovariate(SHORT_JOBS_A_SECOND)) < (
            SHORT_FROM_SECONDS + SHORT_SECONDS
        ):
            self.plan_short(f"s{next(numbers)}", at)
        for number in range(10):
            at = rng.uniform(0.0, END_SECONDS)
            self.after(at, partial(self.accept, f"f{number}", "third", (FILLER_STEP,)))

    def plan_lasting(self, name: str, at: float) -> int:
        """Plan the arrival of a lasting job, and return the processors that it asks for."""
        rng = self.rng
        room = ResourceVector(rng.randint(4000, 10000), rng.randint(8000, 17000))
        step = Step(
            6, room, 1.0, is_lasting=True, image=rng.choice(("web", "map")), target_tail_ms=200,
            anti_affinity=rng.choice((0, 0, 1)),
        )  # fmt: skip
        self.after(at, partial(self.accept, name, "second", (step,)))
        if rng.random() < 0.15:
            self.after(rng.uniform(at + 1.0, END_SECONDS), partial(self.cancel, name))
        return step.count * room.cpu

    def plan_short(self, name: str, at: float) -> None:
        rng = self.rng
        steps: tuple[Step, ...] = ()
        for number in range(rng.choice((1, 1, 2, 2, 2))):
            room = ResourceVector(rng.randint(1500, 4100), rng.randint(2000, 6000))
            steps = (*steps, Step(rng.randint(1, 11), room, 0.64, (number - 1,) if number else ()))
        self.after(at, partial(self.accept, name, "first", steps))

    def plan_crowd(self, rng: Random) -> None:
        """Plan no other load."""

    def new_minion(self, number: int) -> TrueMinion:
        domain, labels = DOMAINS[number % len(DOMAINS)], ("a", f"r{number % 6}")
        facts = MinionFacts(
            f"m{number}", self.unix_ms, "pool", f"m{number}:1", domain, labels, MINION_ROOM
        )
        return TrueMinion(facts, self.now, 1.0, entry_at=self.now)

    def lose_minions(self) -> None:
        for minion in self.rng.sample(self.minions, LOST_MINIONS):
            self.log(f"minion {minion.facts.minion_id} is lost")
            self.remove_minion(minion, is_crash=True)
            minion.entry_at = 0.0
        self.disturb()

    # Minions

    def find(self, state: Minion) -> TrueMinion | None:
        minion = self.by_address[state.facts.address]
        return minion if minion.is_up else None

    def draw_work_seconds(self, step: Step) -> float:
        return step.estimate_seconds * self.rng.uniform(0.8, 1.2)

    def draw_stop_seconds(self) -> float:
        return self.rng.uniform(0.0, 0.2)

    def answer_poll(
        self, scheduler: Scheduler, state: Minion, minion: TrueMinion, *, is_answer_lost: bool
    ) -> None:
        sent_at = self.now
        minion.next_poll_at = self.now + 0.4
        deadline_ms = state.grant_lease(sent_at, self.settings.lease_seconds)
        minion.epoch = self.epoch
        minion.ends = [end for end in minion.ends if end.number > state.durable_end]
        minion.reported_end = minion.end_number
        minion.lease_ms = max(minion.lease_ms, deadline_ms or 0)
        minion.is_polled = True
        report = self.report_of(minion)

        def deliver() -> None:
            minion.is_polled = False
            scheduler.report(state, report, sent_at, self.now)

        self.after(self.rng.uniform(0.02, 0.05), deliver)

    # Leader

    def send_orders(self, scheduler: Scheduler) -> None:
        for order in scheduler.take_orders():
            seconds = self.rng.uniform(0.01, 0.04)
            match order:
                case StopOrder():
                    self.after(seconds, partial(self.carry_out_stop, scheduler, order))
                case PaceOrder():
                    self.after(seconds, partial(self.carry_out_pace, order))

    def carry_out_stop(self, scheduler: Scheduler, order: StopOrder) -> None:
        self.log(f"stop of {order.key} #{order.run_id} on {order.minion.minion_id}")
        if self.stop(order, self.epoch):
            scheduler.stop_answered(order.minion, order.key, order.run_id, self.now)

    def carry_out_pace(self, order: PaceOrder) -> None:
        minion = self.find(order.minion)
        run = minion.runs.get(order.run.key) if minion is not None else None
        if run is not None and run.run_id == order.run.run_id:
            run.pace = order.percent

    def send_start(self, scheduler: Scheduler, order: StartOrder) -> None:
        run, sent_at = order.run, self.now
        deadline_ms = order.minion.start_lease(self.now, self.settings.lease_seconds)
        if deadline_ms is None:
            scheduler.start_answered(run, StartOutcome.NOT_SENT, self.now, self.now)
            return

        def carry_out() -> None:
            outcome = self.start(order, self.epoch, deadline_ms)
            minion = self.find(order.minion)
            clock_ms = minion.clock_ms(self.now) if minion is not None else None
            if outcome is not None:
                self.after(self.rng.uniform(0.01, 0.03), partial(answer, outcome, clock_ms))

        def answer(outcome: StartOutcome, clock_ms: int | None) -> None:
            scheduler.start_answered(run, outcome, sent_at, self.now, clock_ms)

        self.after(self.rng.uniform(0.04, 0.16), carry_out)

    def lead(self) -> None:
        if self.scheduler is None:
            self.take_over()
        scheduler = self.scheduler
        assert scheduler is not None
        if self.now >= self.list_read_at + 0.5:
            self.read_list()
        for state in list(scheduler.minions.values()):
            self.poll(scheduler, state)
        self.send_orders(scheduler)
        if self.changes is None and self.now >= self.round_at:
            self.plan_round(scheduler)
        if self.changes is not None and self.now >= self.commit_at:
            changes, self.changes = self.changes, None
            self.store(changes)
            for order in scheduler.commit(changes, self.now):
                self.send_start(scheduler, order)
            self.round_at = self.now + self.rng.uniform(0.01, 0.05)

    def plan_round(self, scheduler: Scheduler) -> None:
        scheduler.record_minion_list(self.list_read_at)
        scheduler.plan(self.now, self.unix_ms)
        self.send_orders(scheduler)
        self.changes = scheduler.take_changes()
        write_seconds = self.rng.uniform(0.04, 0.06) if self.changes.jobs else 0.0
        self.commit_at = self.now + write_seconds
        decisions = scheduler.take_decisions()
        self.preemption_count += sum(one.kind == PREEMPTION for one in decisions)
        for decision in decisions if self.is_traced else ():
            self.log(f"  {decision.message} {decision.job_id} {dict(decision.fields)}")

    # Judgement

    def judge(self) -> None:
        running = {key for minion in self.minions if minion.is_up for key in minion.runs}
        self.free_now = [(one, one.free()) for one in self.minions if self.is_usable(one)]
        calm_at = self.disturbed_until + STABILITY_SECONDS
        waiting: dict[object, float] = {}
        for job_id, submission in self.known.items():
            step = submission.steps[0]
            if not step.is_lasting or job_id in self.cancelled:
                continue
            overdue = [
                key
                for index in range(step.count)
                if (key := TaskKey(job_id, 0, 0, index)) not in running
                and self.now - self.last_run_at.get(key, self.accepted_at[job_id])
                >= LASTING_AWAY_SECONDS
            ]
            if not overdue or not self.has_room_twice(overdue[0], step):
                continue
            for key in overdue:
                since = self.wait_since.get(key, self.now)
                if since >= 0.0:
                    wait = self.now - max(since, calm_at)
                    self.longest_wait = max(self.longest_wait, wait)
                waiting[key] = self.judge_wait(key, step, calm_at + WAIT_SECONDS)
        self.wait_since = waiting
        self.judge_looks(calm_at)

    def judge_looks(self, calm_at: float) -> None:
        """Judge the tasks that wait beside room as if nobody looked in between."""
        series = round((self.now - 1000.0) / self.tick_seconds) % LOOK_TICKS
        earlier = self.looks[series]
        looks = self.looks[series] = {key: earlier.get(key, self.now) for key in self.wait_since}
        for key, since in looks.items():
            if self.now - max(since, calm_at) > WAIT_SECONDS - 1e-6:
                self.violate(f"{key} waits beside room at each look")
                looks[key] = float("inf")

    def has_room_twice(self, key: TaskKey, step: Step) -> bool:
        slots = 0
        for minion, free in self.free_now:
            fitting = slots_in(free, step.room)
            if fitting and step.anti_affinity:
                siblings = sum(one.job_id == key.job_id for one in minion.runs)
                fitting = min(fitting, max(0, step.anti_affinity - siblings))
            slots += fitting
            if slots >= 2:
                return True
        return False

    def play(self) -> None:
        while self.now < 1000.0 + END_SECONDS:
            self.now += self.tick_seconds
            while self.events and self.events[0][0] <= self.now:
                heappop(self.events)[2]()
            for minion in self.minions:
                if minion.is_up:
                    self.advance_minion(minion)
            self.lead()
            self.judge()


def play_crowd(seed: int) -> ShortCrowdWorld:
    """Return the world after a random history, with the broken promises."""
    world = ShortCrowdWorld(seed)
    world.play()
    return world


def main(arguments: list[str]) -> None:
    """Play histories and print the broken promises and the longest wait of each seed."""
    first, number = int(arguments[0]), int(arguments[1])
    for seed in range(first, first + number):
        world = play_crowd(seed)
        print(
            f"seed {seed}: longest wait {world.longest_wait:.2f} s, "
            f"{world.preemption_count} times stops for short tasks, {world.stop_count} stops, "
            f"{len(world.violations)} broken: {world.violations[:2]}",
            flush=True,
        )


if __name__ == "__main__":
    main(sys.argv[1:])
