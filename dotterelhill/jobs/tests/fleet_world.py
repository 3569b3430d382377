from __future__ import annotations

from dotterelhill.jobs.changes import Decision, SchedulerSettings
from dotterelhill.jobs.fleet import EndKind, EndReport, MinionFacts, MinionReport, RunReport
from dotterelhill.jobs.model import Job, Schedule, Step, Submission, TaskKey
from dotterelhill.jobs.orders import PaceOrder, StartOrder, StartOutcome, StopOrder
from dotterelhill.jobs.placement.placement import UNLIMITED_STARTS
from dotterelhill.jobs.progress import apply_progress, encode_progress
from dotterelhill.jobs.queues import FleetConfig, Queue, Tenant
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.scheduler import Scheduler

HOLD_SECONDS = 6.0
START = 1000.0
CAPACITY_VALID_SECONDS = 2.9
UNIX_START_MS = 1_700_000_000_000


class FleetWorld:
    """Scheduler with in-memory minions, storage and clock, whose outcomes a test controls."""

    def __init__(self, hold_seconds: float = HOLD_SECONDS) -> None:
        self.settings = SchedulerSettings(hold_seconds, 120.0, 4.0, CAPACITY_VALID_SECONDS)
        self.now = START
        self.scheduler = self._new_scheduler()
        self.queues = {"short": self.queue("short", 0), "long": self.queue("long", 2)}
        self.tenants: dict[str, Tenant] = {}
        self.config_version = 1
        self.running: dict[str, dict[TaskKey, int]] = {}
        self.tails: dict[TaskKey, float] = {}
        self.checkpoints: dict[TaskKey, str] = {}
        self.end_numbers: dict[str, int] = {}
        self.ends: dict[str, list[EndReport]] = {}
        self.facts: dict[str, MinionFacts] = {}
        self.sent: list[StartOrder] = []
        self.stops: list[StopOrder] = []
        self.paces: list[tuple[TaskKey, int]] = []
        self.pace_orders: list[PaceOrder] = []
        self.decisions: list[Decision] = []
        self.silent: set[str] = set()
        self.stored: dict[str, bytes] = {}
        self.submitted: list[Submission] = []
        self.changes = None
        # Whether the list of minions can't be read, so that its newest state stays unknown.
        self.is_list_silent = False
        self.is_start_clock_missing = False
        # Whether polls carry the fences of their minions, as those of the leader do.
        self.are_polls_fenced = False
        self.configure()

    def _new_scheduler(self) -> Scheduler:
        return Scheduler(self.settings, self.now)

    @staticmethod
    def queue(name: str, priority: int, attempts: int = 2) -> Queue:
        return Queue(name, "h", f"/{name}/", "pool", priority, attempts, 2.0, 1.0)

    def configure(self) -> None:
        config = FleetConfig(self.config_version, dict(self.queues), tenants=dict(self.tenants))
        self.scheduler.configure(config)

    @property
    def unix_ms(self) -> int:
        return UNIX_START_MS + int(1000 * (self.now - START))

    def list_minion(self, name: str, cpu: int = 4000, **changes) -> None:
        known = self.facts.get(name)
        born = changes.pop("born_ms", known.born_ms if known else 1)
        domain = changes.pop("domain", "caxias")
        labels = changes.pop("labels", ("a", "r1"))
        service = changes.pop("service", "pool")
        capacity = ResourceVector(cpu, changes.pop("memory_mb", 64000), changes.pop("gpu", 0))
        facts = MinionFacts(name, born, service, f"{name}:1", domain, labels, capacity, **changes)
        if known and known.born_ms != born:
            self.running[name] = {}
            self.ends[name] = []
            self.end_numbers[name] = 0
        self.facts[name] = facts
        self.running.setdefault(name, {})
        self.ends.setdefault(name, [])
        self.scheduler.update_minion(facts, self.now)

    def submit(self, name: str, steps: tuple[Step, ...], queue: str = "short", **more) -> None:
        submission = Submission(name, self.queues[queue], self.unix_ms, "spec", steps, **more)
        self.submitted.append(submission)
        self.scheduler.submit(submission, self.now)

    def poll(self, *, sent_at: float | None = None) -> None:
        """Report the running and ended tasks of every minion that is not silent."""
        for name, minion in list(self.scheduler.minions.items()):
            if name in self.silent:
                continue
            rows = []
            for key, run in self.running[name].items():
                checkpoint = self.checkpoints.get(key, "")
                rows.append(RunReport(key, run, checkpoint, 100, self.tails.get(key)))
            acked = minion.durable_end
            ends = tuple(end for end in self.ends[name] if end.number > acked)
            born = self.facts[name].born_ms
            report = MinionReport(born, int(1000 * self.now), tuple(rows), ends)
            sent = self.now if sent_at is None else sent_at
            minion.extend_lease(sent, self.settings.lease_seconds)
            fence = minion.fence if self.are_polls_fenced else 0
            self.scheduler.report(minion, report, sent, self.now, fence)

    def read_list(self) -> None:
        """Tell the scheduler that the list of minions was read, unless it can't be read."""
        if not self.is_list_silent:
            self.scheduler.record_minion_list(self.now)

    def plan(self, max_starts: int = UNLIMITED_STARTS) -> None:
        self.read_list()
        self.scheduler.plan(self.now, self.unix_ms, max_starts)
        self.take_orders()
        self.decisions.extend(self.scheduler.take_decisions())
        self.changes = self.scheduler.take_changes()

    def commit(self) -> list[StartOrder]:
        for job in self.changes.jobs:
            self.stored[job.job_id] = encode_progress(job)
        self.read_list()
        orders = self.scheduler.commit(self.changes, self.now)
        self.sent.extend(orders)
        return orders

    def take_orders(self) -> None:
        for order in self.scheduler.take_orders():
            if isinstance(order, StopOrder):
                self.stops.append(order)
            else:
                self.paces.append((order.run.key, order.percent))
                self.pace_orders.append(order)

    def deliver(self, orders: list[StartOrder], outcome: StartOutcome) -> None:
        for order in orders:
            if outcome is StartOutcome.STARTED:
                self.running[order.minion.minion_id][order.run.key] = order.run.run_id
            has_clock = outcome is StartOutcome.STARTED and not self.is_start_clock_missing
            clock_ms = int(1000 * self.now) if has_clock else None
            self.scheduler.start_answered(order.run, outcome, self.now, self.now, clock_ms)

    def run_round(self, outcome: StartOutcome = StartOutcome.STARTED) -> list[StartOrder]:
        """Run one scheduling round: poll, plan, store and deliver the start orders."""
        self.poll()
        self.plan()
        orders = self.commit()
        self.deliver(orders, outcome)
        self.now += 0.1
        return orders

    def end(self, name: str, key: TaskKey, kind: EndKind, checkpoint: str = "") -> None:
        number = self.end_numbers.get(name, 0) + 1
        self.end_numbers[name] = number
        run = self.running[name].pop(key)
        self.ends[name].append(EndReport(number, key, run, kind, checkpoint))

    def minion_running(self, key: TaskKey) -> str | None:
        for name, runs in self.running.items():
            if key in runs:
                return name
        return None

    def take_over(self, cancelled_first: str = "") -> None:
        """Replace the scheduler by that of a new leader, loaded from the stored state.

        :param cancelled_first: job whose cancellation is read before the jobs
        """
        self.scheduler = self._new_scheduler()
        self.configure()
        if cancelled_first:
            self.scheduler.cancel(cancelled_first, self.now)
        for facts in self.facts.values():
            self.scheduler.update_minion(facts, self.now)
        for submission in self.submitted:
            job = Job(submission)
            if submission.job_id in self.stored:
                apply_progress(job, self.stored[submission.job_id])
                self.scheduler.restore(job, self.now)
            else:
                self.scheduler.submit(submission, self.now)


def schedule(count: int, first_ms: int, interval_ms: int) -> Schedule:
    return Schedule(count, first_ms, interval_ms)
