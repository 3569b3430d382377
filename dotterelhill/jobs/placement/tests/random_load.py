"""Random load that two schedulers of the same seed see alike while they choose the same starts."""

from __future__ import annotations

import random
from dataclasses import replace

from dotterelhill.jobs.changes import SchedulerSettings
from dotterelhill.jobs.fleet import EndKind, EndReport, MinionFacts, MinionReport, Run, RunReport
from dotterelhill.jobs.model import Schedule, Step, Submission, TaskKey
from dotterelhill.jobs.orders import StartOutcome
from dotterelhill.jobs.queues import FleetConfig, Queue, Tenant
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.scheduler import Scheduler

START = 1000.0
UNIX_START_MS = 1_700_000_000_000
MINIONS = 10


class RandomLoad:
    """Fleet whose jobs, runs, minions, queues and wall clock change at random.

    :param lasting_share: share of the steps that are lasting; as many are fillers
    """

    def __init__(self, seed: int, tenants: int, lasting_share: float) -> None:
        self._random = random.Random(seed)
        self._now, self._clock_skew_ms, self._version = START, 0, 0
        self._lasting_share = lasting_share
        self._tenants = ["", *(f"t{number}" for number in range(tenants))]
        self.scheduler = Scheduler(SchedulerSettings(), self._now)
        self._runs: dict[str, dict[TaskKey, Run]] = {}
        self._end_numbers: dict[str, int] = {}
        self._submitted: list[Submission] = []
        self._queues: list[Queue] = []
        self._configure()
        for number in range(MINIONS):
            capacity = ResourceVector(self._random.choice((4000, 8000, 16000)), 16000, number % 2)
            labels = ("a", f"r{number % 3}", *(["big"] if number % 4 == 0 else []))
            self._list(MinionFacts(f"m{number}", 1, "pool", f"m{number}:1", "d", labels, capacity))

    @property
    def _unix_ms(self) -> int:
        return UNIX_START_MS + int(1000 * self._now) + self._clock_skew_ms

    def run_round(self) -> list[tuple[TaskKey, int, str]]:
        """Change the fleet and return the chosen starts, in their order."""
        choose = self._random
        self._now += choose.choice((0.02, 0.05, 0.1, 0.2))
        if choose.random() < 0.02:
            self._clock_skew_ms += choose.choice((-3000, 5000))
        if choose.random() < 0.04:
            self._configure()
        if choose.random() < 0.06:
            self._change_minion(choose.choice(list(self.scheduler.minions)))
        for _ in range(choose.choice((0, 0, 1, 4, 12))):
            self._submit()
        if self._submitted and choose.random() < 0.05:
            cancelled = choose.choice(self._submitted)
            self.scheduler.cancel(cancelled.job_id, self._now, cancelled.tenant)
        for minion_id in list(self.scheduler.minions):
            if choose.random() < 0.6:
                self._report(minion_id)
        self.scheduler.plan(self._now, self._unix_ms, choose.choice((1 << 30, 1 << 30, 5)))
        changes = self.scheduler.take_changes()
        starts = [(run.key, run.run_id, run.minion_id) for run in changes.starts]
        for order in self.scheduler.commit(changes, self._now):
            outcome = StartOutcome.NO_ROOM if choose.random() < 0.02 else StartOutcome.STARTED
            if outcome is StartOutcome.STARTED:
                self._runs[order.run.minion_id][order.run.key] = order.run
            clock_ms = int(1000 * self._now)
            self.scheduler.start_answered(order.run, outcome, self._now, self._now, clock_ms)
        return starts

    def _configure(self) -> None:
        choose, self._version = self._random, self._version + 1
        self._queues = [
            Queue(f"q{number}", "h", f"/{number}/", "pool", choose.randrange(2),
                  stretch=choose.uniform(1.1, 3.0), target_seconds=choose.uniform(0.5, 8.0))
            for number in range(3)
        ]  # fmt: skip
        tenants = {
            name: Tenant(name, 1.0 + number, ResourceVector(choose.choice((0, 16_000))))
            for number, name in enumerate(self._tenants)
            if name
        }
        # A queue that the configuration lacks keeps the values that its jobs were accepted with.
        configured = {queue.name: queue for queue in self._queues[choose.randrange(2) :]}
        self.scheduler.configure(FleetConfig(self._version, configured, tenants=tenants))

    def _list(self, facts: MinionFacts) -> None:
        known = self.scheduler.minions.get(facts.minion_id)
        self.scheduler.update_minion(facts, self._now)
        if known is None or known.facts.born_ms != facts.born_ms:
            self._runs[facts.minion_id], self._end_numbers[facts.minion_id] = {}, 0

    def _change_minion(self, minion_id: str) -> None:
        facts, choose = self.scheduler.minions[minion_id].facts, self._random
        match choose.randrange(3):
            case 0:
                capacity = replace(facts.capacity, cpu=choose.choice((2000, 8000, 12000)))
                self._list(replace(facts, capacity=capacity))
            case 1:
                self._list(replace(facts, is_draining=not facts.is_draining))
            case _:
                self._list(replace(facts, born_ms=facts.born_ms + 1, is_draining=False))

    def _step(self, after: tuple[int, ...] = ()) -> Step:
        choose = self._random
        room = ResourceVector(choose.randrange(100, 4000), choose.choice((64, 256, 2048)))
        step = Step(choose.choice((1, 2, 5, 15)), room, choose.uniform(0.3, 4.0), after)
        if choose.random() < 0.1:
            step = replace(step, required_label="big", anti_affinity=2, data_rack="r1")
        kind = choose.random() / max(0.001, self._lasting_share)
        if kind < 1.0:
            return replace(step, is_lasting=True, image=choose.choice("ab"), target_tail_ms=100)
        if kind < 2.0:
            return replace(step, is_filler=True, is_checkpointing=True, image=choose.choice("xy"))
        return replace(step, is_gang=choose.random() < 0.05)

    def _submit(self) -> None:
        choose = self._random
        steps = (self._step(), self._step((0,)))[: choose.choice((1, 1, 2))]
        schedule = Schedule(2, self._unix_ms, 1500) if choose.random() < 0.05 else None
        submission = Submission(
            f"j{len(self._submitted)}", choose.choice(self._queues),
            self._unix_ms - choose.randrange(500), "", steps, schedule,
            tenant=choose.choice(self._tenants),
        )  # fmt: skip
        self._submitted.append(submission)
        self.scheduler.submit(submission, self._now)

    def _report(self, minion_id: str) -> None:
        choose, minion = self._random, self.scheduler.minions[minion_id]
        ends, runs = [], self._runs[minion_id]
        for key, run in list(runs.items()):
            if choose.random() < (0.01 if run.step.is_lasting else 0.2):
                del runs[key]
                self._end_numbers[minion_id] += 1
                is_failed = run.step.is_lasting or choose.random() < 0.05
                kind = EndKind.FAILED if is_failed else EndKind.DONE
                ends.append(EndReport(self._end_numbers[minion_id], key, run.run_id, kind, ""))
        rows = [
            RunReport(key, run.run_id, "", 100, choose.uniform(10.0, 130.0))
            for key, run in runs.items()
        ]
        minion.extend_lease(self._now, 6.0)
        clock_ms = int(1000 * self._now)
        report = MinionReport(minion.facts.born_ms, clock_ms, tuple(rows), tuple(ends))
        self.scheduler.report(minion, report, self._now, self._now)
