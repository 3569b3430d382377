"""Random histories of orders that minions carry out late and whose answers are late or lost."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

from dotterelhill.jobs.fleet import EndKind, Minion, MinionReport, Run, RunReport
from dotterelhill.jobs.model import TaskKey
from dotterelhill.jobs.orders import StartOrder, StartOutcome, StopOrder
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tests.capacity_world import (
    MINIONS,
    SIZES,
    CapacityWorld,
    TrueMinion,
)
from dotterelhill.jobs.tests.fleet_world import HOLD_SECONDS

CALL_TIMEOUT_SECONDS = 0.6
PROMPT_SECONDS = 0.15
MIN_WAITING_TASKS = 8
MAX_LATE_SECONDS = 12.0
POLL_PAUSE_SECONDS = (0.05, 0.4)
# Time from the start of a later life until it is cut off, and how long it stays so.
RECUT_AFTER_SECONDS = (1.0, 3.0)
RECUT_SECONDS = 9.0
# Clocks of the first lives at the begin, in seconds.
FIRST_CLOCK_SECONDS = 500.0
MAX_WAIT_SECONDS = 2.0
# A run that no report lists any more is released within this time while nothing disturbs.
RELEASE_SECONDS = 2.0


class LateOrderWorld(CapacityWorld):
    """Fleet in which each order and each answer has a delay of its own, up to 12 s, or is lost.

    :param rebirth_chance: probability with which a minion starts again under its id in a step
    :param is_recut: whether each minion is cut off 1 to 3 s after it has started again
    :param clocks: draws the first readings of the clocks of later lives and how long polls wait for
        an end; None for clocks that begin at 0 and polls that don't wait
    """

    WRITE_SECONDS = (0.0, 0.0, 0.1)

    def __init__(
        self,
        rng: Random,
        rebirth_chance: float = 0.0,
        *,
        is_recut: bool = False,
        clocks: Random | None = None,
    ) -> None:
        self.clocks = clocks
        self.rebirth_chance = rebirth_chance
        self.is_recut = is_recut
        self.epoch = 1
        # Births of the present lives, and those in the entries of the minions.
        self.born = dict.fromkeys(MINIONS, 1)
        self.listed_born = dict.fromkeys(MINIONS, 1)
        super().__init__(rng)
        self.events: list[tuple[float, Callable[[], None]]] = []
        self.next_poll_at = dict.fromkeys(self.true, self.now)
        self.cut_until = dict.fromkeys(self.true, self.now)
        self.late_until = dict.fromkeys(self.true, self.now)
        self.lease_until = dict.fromkeys(self.true, self.now)
        # Highest fencing tokens that the present lives have seen: term, and fence within it.
        self.seen_token = dict.fromkeys(self.true, (0, 0))
        # Loop time at which the clock of a minion showed 0.
        self.clock_zero = dict.fromkeys(self.true, self.now - FIRST_CLOCK_SECONDS)
        self.late_start_count = 0
        # Tasks whose end as done was acknowledged to their minion; they must not start again.
        self.noted: set[TaskKey] = set()
        # Runs for which room was held in vain at the end of the history.
        self.kept_runs: set[Run] = set()

    def step(self) -> None:
        due = [event for event in self.events if event[0] <= self.now]
        self.events = [event for event in self.events if event[0] > self.now]
        # What falls into one step comes in any order.
        self.rng.shuffle(due)
        for _, event in due:
            event()
        if not self.is_calm and self.scheduler.waiting_tasks < MIN_WAITING_TASKS:
            self.submit_random_job()
        # Often while the answers to starts of the job are still on their way.
        if self.has_chance(0.3) and self.submitted:
            self.scheduler.cancel(self.rng.choice(self.submitted[-8:]).job_id, self.now)
        super().step()

    def resize(self, name: str, minion: TrueMinion) -> None:
        # Mostly full size, so that rooms fill up.
        if self.rng.random() < 0.1:
            super().resize(name, minion)
        elif minion.sizes[-1][1] != SIZES[-1]:
            minion.sizes.append((self.now, SIZES[-1]))

    def calm_down(self) -> None:
        super().calm_down()
        self.cut_until = dict.fromkeys(self.true, self.now)

    def replace_leader(self) -> None:
        if self.now >= self.list_silent_until:
            self.epoch += 1
            self.next_poll_at = dict.fromkeys(self.true, self.now)
        super().replace_leader()

    def advance_minion(self, name: str, minion: TrueMinion) -> None:
        if self.has_chance(0.002):
            self.cut_until[name] = self.now + self.rng.uniform(0.5, 9.0)
        if self.has_chance(0.01):
            self.late_until[name] = self.now + self.rng.uniform(0.5, 4.0)
        if self.now > self.lease_until[name]:
            for run in minion.runs.values():
                run.ends_at, run.kind = self.now, EndKind.LAPSED
        if self.has_chance(self.rebirth_chance):
            self.restart_minion(name, minion)
        super().advance_minion(name, minion)

    def list_size(self, name: str, size: ResourceVector) -> None:
        if name in self.facts:
            # The lists of what it runs begin anew with its life, not with its entry.
            self.facts[name] = replace(self.facts[name], born_ms=self.listed_born[name])
        super().list_size(name, size)

    def read_entries(self) -> None:
        self.listed_born = dict(self.born)
        super().read_entries()

    def restart_minion(self, name: str, minion: TrueMinion) -> None:
        """Let a minion start again under its id, with nothing of its former life.

        It takes calls that were meant for that life.
        """
        minion.runs.clear()
        minion.refused.clear()
        self.ends[name], self.end_numbers[name] = [], 0
        self.seen_token[name] = (0, 0)
        self.lease_until[name] = self.clock_zero[name] = self.now
        if self.clocks is not None:
            # About half of them are ahead of the clock of the former life.
            self.clock_zero[name] -= self.clocks.uniform(0.0, 2.0 * FIRST_CLOCK_SECONDS)
        self.born[name] = int(1000 * self.now)
        self.cut_until[name] = self.now + self.rng.uniform(0.0, 0.6)
        minion.next_entry_at = self.cut_until[name]
        if self.is_recut:
            cut_at = self.now + self.rng.uniform(*RECUT_AFTER_SECONDS)
            self.events.append((cut_at, lambda: self.cut_off(name)))

    def cut_off(self, name: str) -> None:
        """Cut a minion off for longer than its lease, unless the calm has begun."""
        if not self.is_calm:
            self.cut_until[name] = self.now + RECUT_SECONDS

    def clock_ms(self, name: str) -> int:
        """Return the clock of a minion."""
        return int(1000 * (self.now - self.clock_zero[name]))

    def extend_lease(self, name: str, deadline_ms: int) -> None:
        """Extend the lease of a minion to a time on its clock, at most by that of a poll."""
        until = self.clock_zero[name] + deadline_ms / 1000.0
        self.lease_until[name] = max(self.lease_until[name], min(until, self.now + HOLD_SECONDS))

    def call(
        self,
        name: str,
        fence: int,
        carry_out: Callable[[bool], bool],
        on_answer: Callable[[bool], None],
    ) -> None:
        """Send a call to a minion.

        :param fence: fence of the minion that the call carries
        :param carry_out: called when the minion gets it, with whether that is late; returns whether
            the minion accepts it
        :param on_answer: called with whether the minion has accepted it, unless the answer is lost;
            not called in a later term
        """
        sent_at, epoch = self.now, self.epoch
        delay = self.rng.uniform(0.0, PROMPT_SECONDS)
        if sent_at < self.late_until[name] and self.has_chance(0.6):
            delay = self.rng.choice((1.5, MAX_LATE_SECONDS)) * self.rng.random()
        is_answer_lost = self.has_chance(0.1)
        if sent_at + delay < self.cut_until[name]:
            delay = self.cut_until[name] - sent_at + self.rng.uniform(0.0, 0.3)
        is_lost = self.has_chance(0.03) or delay > MAX_LATE_SECONDS
        answered_at = sent_at + delay + self.rng.uniform(0.0, PROMPT_SECONDS)
        is_answered = not (is_lost or is_answer_lost)
        is_answered = is_answered and answered_at <= sent_at + CALL_TIMEOUT_SECONDS

        def answer(is_accepted: bool | None) -> None:
            if epoch == self.epoch:
                on_answer(is_accepted)

        def arrive() -> None:
            is_accepted = (epoch, fence) >= self.seen_token[name]
            if is_accepted:
                self.seen_token[name] = (epoch, fence)
                is_accepted = carry_out(delay > PROMPT_SECONDS)
            if is_answered:
                self.events.append((answered_at, lambda: answer(is_accepted)))

        if not is_lost:
            self.events.append((sent_at + delay, arrive))
        if not is_answered:
            self.events.append((sent_at + CALL_TIMEOUT_SECONDS, lambda: answer(None)))

    def send(self, order: StartOrder) -> None:
        run, name = order.run, order.minion.minion_id
        sent_at, minion = self.now, self.true[name]
        deadline_ms = order.minion.start_lease(sent_at, HOLD_SECONDS)
        if deadline_ms is None:
            self.answer_start(order, StartOutcome.NOT_SENT, sent_at)
            return

        def carry_out(is_late: bool) -> bool:
            if self.clock_ms(name) > deadline_ms:
                return False
            self.extend_lease(name, deadline_ms)
            if run.run_id <= minion.refused.get(run.key, 0):
                return False
            self.late_start_count += is_late
            self.check_single_place(order)
            self.carry_out(order, minion, sent_at, is_late=is_late)
            return True

        def on_answer(is_accepted: bool | None) -> None:
            match is_accepted:
                case None:
                    outcome = StartOutcome.UNKNOWN
                case True:
                    outcome = StartOutcome.STARTED
                case False:
                    outcome = StartOutcome.OUTDATED
            self.answer_start(order, outcome, sent_at)

        self.call(name, run.fence, carry_out, on_answer)

    def answer_start(self, order: StartOrder, outcome: StartOutcome, sent_at: float) -> None:
        is_started = outcome is StartOutcome.STARTED
        clock_ms = self.clock_ms(order.minion.minion_id) if is_started else None
        self.scheduler.start_answered(order.run, outcome, sent_at, self.now, clock_ms)

    def check_single_place(self, order: StartOrder) -> None:
        """Check that a task begins only once at a time, and not after an acknowledged end."""
        key = order.run.key
        others = [
            name
            for name, minion in self.true.items()
            if key in minion.runs and name != order.minion.minion_id
        ]
        assert not others, (key, order.run.run_id, others, self.now)
        is_over = key in self.noted and not order.run.step.is_lasting
        assert not is_over, (key, order.run.run_id, "its end was acknowledged", self.now)

    def stop(self, order: StopOrder) -> None:
        name = order.minion.minion_id
        minion = self.true[name]

        def carry_out(is_late: bool) -> bool:
            run = minion.runs.get(order.key)
            if run is not None and run.run_id == order.run_id:
                run.ends_at = min(run.ends_at, self.now + 0.2)
                run.kind = EndKind.STOPPED
            minion.refused[order.key] = max(order.run_id, minion.refused.get(order.key, 0))
            return True

        def on_answer(is_accepted: bool | None) -> None:
            if is_accepted:
                self.scheduler.stop_answered(order.minion, order.key, order.run_id, self.now)

        self.call(name, order.minion.fence, carry_out, on_answer)

    def deliver_stops(self) -> None:
        self.take_orders()
        stops, self.stops = self.stops, []
        for order in stops:
            self.stop(order)

    def report_minions(self) -> None:
        for name, state in list(self.scheduler.minions.items()):
            if self.now >= self.next_poll_at[name]:
                self.next_poll_at[name] = float("inf")
                self.wait_for_end(name, state)

    def wait_for_end(self, name: str, state: Minion) -> None:
        """Poll a minion, which answers after a time unless it starts again meanwhile."""
        if self.clocks is None or not state.is_answering:
            self.poll_minion(name, state)
            return
        born, epoch = self.born[name], self.epoch

        def answer() -> None:
            if epoch != self.epoch:
                return
            if self.born[name] == born:
                self.poll_minion(name, state)
                return
            self.next_poll_at[name] = self.now
            self.scheduler.mark_minion_silent(state, "time-out", self.now)

        self.events.append((self.now + self.clocks.uniform(0.0, MAX_WAIT_SECONDS), answer))

    def poll_minion(self, name: str, state: Minion) -> None:
        sent_at, true = self.now, self.true[name]
        deadline_ms = state.grant_lease(sent_at, HOLD_SECONDS) if state.is_answering else None
        acked = state.acknowledged_end
        fence, reports = state.fence, []

        def carry_out(is_late: bool) -> bool:
            if deadline_ms is not None:
                self.extend_lease(name, deadline_ms)
            rows = []
            for key, run in true.runs.items():
                measure = 30.0 if run.step.is_lasting else float(run.step.room.cpu)
                rows.append(RunReport(key, run.run_id, "", 100, measure))
            for end in self.ends[name]:
                if end.number <= acked and end.kind is EndKind.DONE:
                    self.noted.add(end.key)
            ends = tuple(end for end in self.ends[name] if end.number > acked)
            reports.append(MinionReport(self.born[name], self.clock_ms(name), tuple(rows), ends))
            return True

        def on_answer(is_accepted: bool | None) -> None:
            self.next_poll_at[name] = self.now + self.rng.uniform(*POLL_PAUSE_SECONDS)
            match is_accepted:
                case True:
                    self.scheduler.report(state, reports[0], sent_at, self.now, fence)
                case None:
                    self.scheduler.mark_minion_silent(state, "time-out", self.now)

        self.call(name, fence, carry_out, on_answer)

    def absent_runs(self) -> set[Run]:
        """Return the runs for which room is held although their minion does not have them."""
        return {
            run
            for name, state in self.scheduler.minions.items()
            for run in state.runs.values()
            if run.key not in self.true[name].runs
        }


def run_late_orders(
    seed: int,
    seconds: float,
    calm_seconds: float,
    rebirth_chance: float = 0.0,
    *,
    is_recut: bool = False,
    has_clock_bases: bool = False,
) -> LateOrderWorld:
    """Return the world after a random history and a calm, in which nothing is late or lost.

    :raises AssertionError: at a start beyond the room of its minion, or of a task that runs
    """
    clocks = Random(f"{seed}clocks") if has_clock_bases else None
    world = LateOrderWorld(Random(seed), rebirth_chance, is_recut=is_recut, clocks=clocks)
    world.run(seconds)
    world.calm_down()
    world.run(calm_seconds)
    world.kept_runs = world.absent_runs()
    for _ in range(2):
        world.run(RELEASE_SECONDS)
        world.kept_runs &= world.absent_runs()
    return world
