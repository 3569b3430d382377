"""State machine of random histories of a domain: pauses, cut links, delays and lost VMs."""

from __future__ import annotations

import os

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule, run_state_machine_as_test

from dotterelhill.holdings.events import StopRequested
from dotterelhill.holdings.tests.fleet import Domain

NAMES = ("a", "b", "c")
SEED = int(os.environ.get("HOLDINGS_SEED", "20261204"))
EXAMPLES = int(os.environ.get("HOLDINGS_EXAMPLES", "120"))
PICK = st.integers(0, 5)
PAUSES = st.sampled_from((1, 3, 6, 8, 11, 20, 42, 45, 75, 130))
RATES = st.sampled_from((0.999, 1.0, 1.001))


class DomainMachine(RuleBasedStateMachine):
    @initialize(rates=st.lists(RATES, min_size=3, max_size=3))
    def start(self, rates):
        self.domain = Domain(())
        for name, rate in zip(NAMES, rates, strict=True):
            self.domain.start(name, rate)
        self.domain.advance(8)

    def picked_process(self, number):
        candidates = [
            process
            for process in self.domain.processes
            if not (process.is_dead or process.is_stopped)
        ]
        return candidates[number % len(candidates)] if candidates else self.domain.start("a")

    def holder(self, number):
        """Return the holder of a minion, where faults have most effect; else any process."""
        minion = self.domain.minions[number % len(self.domain.minions)]
        name = self.domain.log.holder_of(f"minion:{minion}")
        candidates = [process for process in self.domain.processes if process.incarnation == name]
        return (
            candidates[0]
            if candidates and not candidates[0].is_dead
            else self.picked_process(number)
        )

    @rule(seconds=PAUSES)
    def advance(self, seconds):
        self.domain.advance(seconds)

    @rule(number=PICK, seconds=PAUSES)
    def pause_or_wake(self, number, seconds):
        process = self.holder(number)
        process.is_paused = not process.is_paused
        self.domain.advance(seconds)

    @rule(number=PICK, seconds=PAUSES)
    def cut_or_join_log(self, number, seconds):
        process = self.holder(number)
        process.is_log_cut = not process.is_log_cut
        self.domain.advance(seconds)

    @rule(seconds=PAUSES)
    def toggle_log(self, seconds):
        self.domain.is_log_down = not self.domain.is_log_down
        self.domain.advance(seconds)

    @rule(number=PICK, other=PICK, seconds=PAUSES)
    def toggle_link(self, number, other, seconds):
        link = (self.picked_process(number).incarnation, self.picked_process(other).incarnation)
        self.domain.cut_links ^= {link}
        self.domain.advance(seconds)

    @rule(number=PICK, hears=st.booleans(), is_log_cut=st.booleans(), seconds=PAUSES)
    def isolate(self, number, hears, is_log_cut, seconds):
        process = self.holder(number)
        process.is_log_cut = process.is_log_cut or is_log_cut
        for other in self.domain.processes:
            self.domain.cut_links.add((process.incarnation, other.incarnation))
            if not hears:
                self.domain.cut_links.add((other.incarnation, process.incarnation))
        self.domain.advance(seconds)

    @rule(seconds=PAUSES)
    def heal(self, seconds):
        self.domain.cut_links.clear()
        self.domain.is_log_down = False
        for process in self.domain.processes:
            process.is_log_cut = process.is_paused = False
        self.domain.advance(seconds)

    @rule(delay=st.sampled_from((0.01, 2.0, 9.0, 15.0)))
    def set_delay(self, delay):
        self.domain.delay = delay

    @rule(number=PICK, seconds=st.sampled_from((0.0, 1.0, 5.0, 15.0)))
    def set_log_latency(self, number, seconds):
        self.picked_process(number).read_latency_seconds = seconds

    @rule(number=PICK, rate=RATES, seconds=PAUSES)
    def replace_vm(self, number, rate, seconds):
        if len(self.domain.processes) >= 8:
            return
        process = self.holder(number)
        process.is_dead = True
        self.domain.start(process.incarnation.partition("/")[0], rate)
        self.domain.advance(seconds)

    @rule(number=PICK)
    def lose_vm(self, number):
        if len(self.domain.processes) < 8:
            self.holder(number).is_dead = True

    @rule(rate=RATES, seconds=PAUSES)
    def add_vm(self, rate, seconds):
        if len(self.domain.processes) < 8:
            self.domain.start(f"n{len(self.domain.processes)}", rate)
        self.domain.advance(seconds)

    @rule(number=PICK, seconds=PAUSES)
    def request_stop(self, number, seconds):
        process = self.holder(number)
        if process.is_running:
            self.domain.send_event(process, StopRequested())
        self.domain.advance(seconds)


def run_machine():
    run_state_machine_as_test(
        seed(SEED)(DomainMachine),
        settings=settings(
            max_examples=EXAMPLES,
            stateful_step_count=30,
            deadline=None,
            phases=(Phase.generate,),
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
