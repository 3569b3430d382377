"""Scheduler's decision code: pending tasks and free capacity in, records and evictions out."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from math import log, sqrt

from dotterelhill.batch.events import Append
from dotterelhill.batch.faulty_workers import FaultyWorkers
from dotterelhill.batch.feasibility import WorkerKind, infeasibility
from dotterelhill.batch.interface import Assignment, PendingTask, WorkerFacts
from dotterelhill.batch.interference import Interference
from dotterelhill.batch.nodes import LOAD_MEMORY_SECONDS, TOLERANCE, Node, Nodes, Placed
from dotterelhill.batch.preemption import Preemption, Victim, cheapest_preemption
from dotterelhill.batch.queue import PRIORITIES, JobQueue, PendingQueue
from dotterelhill.batch.quotas import Quotas
from dotterelhill.batch.resume import FAILED_WORKERS, decoded_resume_point
from dotterelhill.batch.sizes import Sizes
from dotterelhill.ledger import Assign, StopOutcome, Stopped
from dotterelhill.manifest import Constraints, DomainState, Job, Manifest, Priority, Resources

# Starts decided in one tick, which bounds the loop time of a tick.
ASSIGNS_PER_TICK = 200
# Jobs that may fail to find a worker in one round of a priority.
MISSES_PER_ROUND = 64
# An assignment that the ledger does not show is given up when the log was read this much later.
# It is above the time that a slow log takes for an append (5 s).
PROPOSAL_SECONDS = 8.0
REFUSED_SECONDS = 1.0
# Planned slow-down of a service on one machine by all batch tasks together.
TOLERATED_EFFECT = log(1.08)
# A pair is a trial while its estimate is this uncertain (standard deviation of the logarithm).
TRIAL_DEVIATION = 0.06
TRIALS_OF_A_JOB = 3
# A job kept back only by interference starts on the least disturbed worker after this time.
INTERFERENCE_PATIENCE_SECONDS = 120.0
# Workers compared for one task; the tightest fits come first.
CANDIDATES = 8
# What a worker with all processors free costs against one that the task fills exactly.
LOOSE_FIT_COST = 0.02
PREEMPTIONS_PER_TICK = 8
PREEMPTION_CANDIDATES = 24
EVICTION_SECONDS = 10.0
LOST_RETRY_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class EvictTask:
    """Stop a task with a checkpoint, to make room for an urgent one."""

    worker: str
    task: str
    token: int


@dataclass(frozen=True, slots=True)
class MeasuredWorker:
    """Services on a worker and jobs that ran there, from one lagging usage report.

    :param loads: load of each service, 0 to 1
    :param slow_downs: measured slow-down of each service
    :param jobs: weight of the running tasks by job when it was measured
    """

    worker: str
    loads: Mapping[str, float]
    slow_downs: Mapping[str, float]
    jobs: Mapping[str, float]


@dataclass(slots=True)
class _Proposal:
    """An assignment that the ledger has not shown yet.

    :param expires_at: evidence time at which it is given up
    """

    task: PendingTask
    worker: str
    member: str
    team: str
    reserved: Resources
    expires_at: float


@dataclass(frozen=True, slots=True)
class _Choice:
    """Worker for a task; without one, ``has_room`` tells whether only interference forbids it."""

    node: Node | None
    has_room: bool


@dataclass(frozen=True, slots=True)
class _Running:
    assignment: Assignment
    job: str
    member: str
    team: str


class Placement:
    """State and decisions of the scheduler.

    Every process keeps this state up to date, so that another one can take over at once; only
    the preferred scheduler calls :meth:`tick`.
    """

    def __init__(self, writer: str) -> None:
        self._writer = writer
        self._manifest: Manifest | None = None
        self._domains_in: frozenset[str] = frozenset()
        self._lost_workers: frozenset[str] = frozenset()
        self._lost_domains: frozenset[str] = frozenset()
        self._nodes = Nodes()
        self._quotas = Quotas()
        self._queue = PendingQueue(self._quotas)
        self._proposals: dict[str, _Proposal] = {}
        self._running: dict[str, _Running] = {}
        self._kinds: dict[WorkerKind, int] = {}
        self._infeasible: dict[str, str] = {}
        self._judged: set[str] = set()
        self._job_nodes: dict[str, dict[str, int]] = {}
        self._evicting: dict[str, float] = {}
        self._lost_appended: dict[str, float] = {}
        self._is_changed = True
        self._blocked_at = 0.0
        self.interference = Interference()
        self.sizes = Sizes()
        self.faulty_workers = FaultyWorkers()

    @property
    def infeasible_jobs(self) -> Mapping[str, str]:
        """Return the jobs that can never run, with the reason."""
        return self._infeasible

    @property
    def nodes(self) -> Nodes:
        """Return the workers as placement sees them."""
        return self._nodes

    @property
    def has_pending(self) -> bool:
        """Return whether a task waits for a place or for its assignment to be read."""
        return bool(self._proposals) or any(queue.pending for queue in self._queue.jobs())

    def state(self) -> dict[str, object]:
        """Return the whole state for a dump."""
        return {
            "pending": {queue.name: len(queue.pending) for queue in self._queue.jobs()},
            "proposed": {name: item.worker for name, item in self._proposals.items()},
            "running": len(self._running),
            "infeasible": dict(self._infeasible),
            "failed_jobs": sorted(self.faulty_workers.failed_jobs),
            "suspected_workers": sorted(self.faulty_workers.suspects),
            "pairs": {
                f"{service}|{job}": [round(effect.mean, 4), round(sqrt(effect.variance), 4)]
                for (service, job), effect in self.interference.effects.items()
            },
        }

    def set_manifest(self, manifest: Manifest, adopted: Manifest, now: float) -> None:
        """Take over the newest manifest for failure domains, the adopted one for jobs."""
        domains = manifest.failure_domains
        self._domains_in = frozenset(
            name for name, domain in domains.items() if domain.state is DomainState.IN
        )
        self._lost_domains = frozenset(
            name
            for name, domain in adopted.failure_domains.items()
            if domain.state is DomainState.LOST
        )
        self._lost_workers = frozenset(adopted.lost_workers)
        for job in set(self._manifest.jobs if self._manifest else ()) - adopted.jobs.keys():
            self.faulty_workers.forget_job(job)
            self.interference.forget_job(job)
        self._manifest = adopted
        self._quotas.set_limits(adopted)
        self._judge_all()
        for node in self._nodes:
            self._nodes.set_usable(node, self._is_usable(node.facts, now))
        self._is_changed = True

    def set_worker(self, facts: WorkerFacts, now: float) -> None:
        """Take over a worker's capacity or fence."""
        known = self._nodes.get(facts.name)
        if known is None or known.facts.capacity != facts.capacity:
            if known is not None:
                self._count_kind(known.facts, -1)
            self._count_kind(facts, 1)
        self._nodes.set_facts(facts, is_usable=self._is_usable(facts, now))
        self._is_changed = True

    def add_pending(self, task: PendingTask, now: float) -> None:
        """Queue a task that the ledger shows as pending."""
        job = self._manifest.jobs.get(task.job) if self._manifest else None
        if job is None or task.task in self._proposals or task.task in self._running:
            return
        if task.job not in self._judged:
            self._judge(task.job, job)
        self._queue.add(task, job, now)
        self._is_changed = True

    def drop_pending(self, task: str) -> None:
        """Forget a task that is not pending any more."""
        self._queue.remove(task, job_of(task))
        self._withdraw_proposal(task)

    def keep_pending(self, pending: Mapping[str, PendingTask], now: float) -> None:
        """Replace the pending tasks by those that the ledger shows."""
        gone = [
            task for queue in self._queue.jobs() for task in queue.pending if task not in pending
        ]
        gone.extend(task for task in self._proposals if task not in pending)
        for task in gone:
            self.drop_pending(task)
        for item in pending.values():
            self.add_pending(item, now)

    def running(self, task: str) -> Assignment | None:
        """Return the counted assignment of a task."""
        known = self._running.get(task)
        return known.assignment if known is not None else None

    def running_tasks(self) -> list[tuple[str, Assignment]]:
        """Return all counted assignments."""
        return [(task, known.assignment) for task, known in self._running.items()]

    def drop_running(self, task: str) -> None:
        """Stop counting an assignment of which the ledger shows nothing any more."""
        known = self._running.get(task)
        if known is not None:
            self._remove_running(known)
            self._is_changed = True

    def add_running(self, assignment: Assignment, now: float) -> None:
        """Count an assignment that the ledger shows."""
        job_name = job_of(assignment.task)
        if self._is_proposal_confirmed(assignment, job_name):
            return
        self._queue.remove(assignment.task, job_name)
        self._withdraw_proposal(assignment.task)
        known = self._running.get(assignment.task)
        if known is not None:
            if known.assignment.token >= assignment.token:
                return
            self._remove_running(known)
        job = self._manifest.jobs.get(job_name) if self._manifest else None
        member, team = (job.member, job.team) if job else ("", "")
        self._running[assignment.task] = _Running(assignment, job_name, member, team)
        self._quotas.add(member, team, assignment.resources)
        node = self._nodes.get(assignment.worker)
        if node is not None:
            counted = self.sizes.planned(job_name, assignment.resources)
            placed = Placed(
                assignment.task, job_name, counted, assignment.is_urgent, assignment.token, now
            )
            self._place(node, placed, now)
        self.faulty_workers.started(assignment.worker, assignment.task)

    def _is_proposal_confirmed(self, assignment: Assignment, job_name: str) -> bool:
        """Return whether the assignment is one's own proposal, which is counted already."""
        proposal = self._proposals.get(assignment.task)
        node = self._nodes.get(assignment.worker)
        if proposal is None or node is None or proposal.worker != assignment.worker:
            return False
        placed = node.placed.get(assignment.task)
        if placed is None or proposal.reserved != assignment.resources:
            return False
        del self._proposals[assignment.task]
        node.placed[assignment.task] = Placed(
            placed.task,
            placed.job,
            placed.counted,
            placed.is_urgent,
            assignment.token,
            placed.placed_at,
        )
        self._running[assignment.task] = _Running(
            assignment, job_name, proposal.member, proposal.team
        )
        return True

    def end_running(
        self, task: str, token: int, outcome: StopOutcome, resume: str, now: float
    ) -> None:
        """Stop counting an assignment that the ledger shows as ended.

        :param resume: ``checkpoint`` field of the ``Stopped``
        """
        known = self._running.get(task)
        if known is None or known.assignment.token != token:
            return
        self._remove_running(known)
        worker, job = known.assignment.worker, known.job
        self._is_changed = True
        was_suspected = self.faulty_workers.is_suspected(worker)
        if outcome is StopOutcome.FINISHED:
            self.faulty_workers.succeeded(worker, job)
        elif outcome is StopOutcome.FAILED or _has_failed(known.assignment.checkpoint, resume):
            self.faulty_workers.failed(worker, job, now)
        else:
            self.faulty_workers.withdrawn(worker, task)
        node = self._nodes.get(worker)
        if node is not None and (was_suspected or self.faulty_workers.is_suspected(worker)):
            self._nodes.set_usable(node, self._is_usable(node.facts, now))

    def measure(self, report: MeasuredWorker, now: float) -> None:
        """Take over a usage report."""
        for service, load in report.loads.items():
            slow_down = report.slow_downs.get(service, 1.0)
            self.interference.observe(service, load, slow_down, report.jobs, now)
        self.set_loads(report.worker, report.loads, now)

    def set_loads(self, worker: str, loads: Mapping[str, float], now: float) -> None:
        """Take over the loads of the services on a worker; a high load counts for a while."""
        node = self._nodes.get(worker)
        if node is None:
            return
        fading = max(0.0, 1.0 - (now - node.measured_at) / LOAD_MEMORY_SECONDS)
        node.services = {
            service: max(load, node.services.get(service, 0.0) * fading)
            for service, load in loads.items()
        }
        node.measured_at = now
        self._plan_effects(node, now)
        self._is_changed = True

    def refuse(self, task: str, worker: str, now: float) -> None:
        """Give up an assignment that the ledger has refused, after a second.

        A worker whose room the ledger counts differently is then not proposed at each tick.
        """
        proposal = self._proposals.get(task)
        if proposal is not None and proposal.worker == worker:
            proposal.expires_at = min(proposal.expires_at, now + REFUSED_SECONDS)

    def tick(self, now: float, evidence_at: float) -> list[Append | EvictTask]:
        """Return the records and evictions of this moment.

        :param evidence_at: loop time up to which control records are known
        """
        if self._manifest is None:
            return []
        self._expire_proposals(now, evidence_at)
        self._update_set_aside(now)
        actions: list[Append | EvictTask] = list(self._lost_records(now, evidence_at))
        if not self._is_changed and now - self._blocked_at < 5.0:
            return actions
        self._is_changed = False
        self._blocked_at = now
        budget = ASSIGNS_PER_TICK
        for priority in PRIORITIES:
            assigned, missed = self._place_round(priority, budget, now)
            actions.extend(assigned)
            budget -= len(assigned)
            if priority is Priority.URGENT:
                actions.extend(self._preempt(missed, now))
            if budget <= 0:
                self._is_changed = True
                break
        return actions

    def _place_round(
        self, priority: Priority, budget: int, now: float
    ) -> tuple[list[Append], list[JobQueue]]:
        """Return the assignments of one priority and the jobs that found no room."""
        order = self._queue.round_order(priority)
        assigned: list[Append] = []
        missed: list[JobQueue] = []
        unfit: set[tuple[Resources, Constraints]] = set()
        misses = 0
        while len(assigned) < budget and misses < MISSES_PER_ROUND:
            queue = order.pop()
            if queue is None:
                break
            is_unfit = bool(unfit) and (queue.needed, queue.job.constraints) in unfit
            if is_unfit or not self._may_run(queue):
                order.leave_out(queue)
                continue
            choice = self._choice(queue, now)
            if choice.node is None:
                misses += 1
                if not choice.has_room:
                    missed.append(queue)
                    if not queue.job.constraints.same_rack:
                        unfit.add((queue.needed, queue.job.constraints))
                order.leave_out(queue)
                continue
            assigned.append(self._assign(queue, choice.node, now))
            order.put_back(queue)
        return assigned, missed

    def _may_run(self, queue: JobQueue) -> bool:
        if queue.name in self._infeasible or self.faulty_workers.is_job_failed(queue.name):
            return False
        job = queue.job
        return self._quotas.has_room(job.member, job.team, queue.needed)

    def _choice(self, queue: JobQueue, now: float) -> _Choice:
        """Return the worker for the job's next task."""
        job = queue.job
        needed = self.sizes.planned(queue.name, queue.needed)
        barred = self._barred(queue.next_task())
        domains = job.constraints.failure_domains
        rack = self._rack_of(queue) if job.constraints.same_rack else None
        best: Node | None = None
        best_cost = float("inf")
        least: Node | None = None
        least_harm = float("inf")
        compared = 0
        for node in self._nodes.fitting(needed):
            facts = node.facts
            if (domains and facts.failure_domain not in domains) or facts.name in barred:
                continue
            if rack is not None and facts.rack != rack:
                continue
            if node.reserved_for and node.is_kept_from(queue.name, now):
                continue
            if not node.services:
                return _Choice(node, True)
            harm, is_tolerable = self._harm(node, queue.name, now)
            if harm < least_harm:
                least, least_harm = node, harm
            compared += 1
            if is_tolerable:
                cost = harm + LOOSE_FIT_COST * (node.cpu - needed.cpu) / node.facts.capacity.cpu
                if cost < best_cost:
                    best, best_cost = node, cost
            if compared >= CANDIDATES and best is not None:
                break
        is_urgent = job.priority is Priority.URGENT
        is_patient = now - queue.waiting_since < INTERFERENCE_PATIENCE_SECONDS
        if best is not None or least is None or (is_patient and not is_urgent):
            return _Choice(best, least is not None)
        # Batch work must finish; the holder throttles it when the service suffers.
        queue.waiting_since = now
        return _Choice(least, True)

    def _barred(self, task: PendingTask) -> tuple[str, ...]:
        if not task.checkpoint or len(self._nodes) <= FAILED_WORKERS:
            return ()
        return decoded_resume_point(task.checkpoint).failed_on

    def _rack_of(self, queue: JobQueue) -> str | None:
        """Return the rack of the job's tasks, or the one with most free processors."""
        for worker in self._job_nodes.get(queue.name, ()):
            node = self._nodes.get(worker)
            if node is not None:
                return node.facts.rack
        domains = queue.job.constraints.failure_domains
        free: dict[str, float] = {}
        for node in self._nodes:
            if not node.is_usable or not node.has_room(queue.needed):
                continue
            if not domains or node.facts.failure_domain in domains:
                free[node.facts.rack] = free.get(node.facts.rack, 0.0) + node.cpu
        return max(free, key=lambda rack: (free[rack], rack)) if free else None

    def _harm(self, node: Node, job: str, now: float) -> tuple[float, bool]:
        """Return the planned logarithmic slow-down and whether it is tolerable."""
        harm = 0.0
        is_tolerable = True
        for service, load in node.services.items():
            added = load * self.interference.planned_effect(service, job, now)
            harm += added
            present = node.planned.get(service, 0.0)
            if present + added <= TOLERATED_EFFECT:
                continue
            is_tolerable = is_tolerable and self._is_trial(node, service, job, present, now)
        return harm, is_tolerable

    def _is_trial(self, node: Node, service: str, job: str, present: float, now: float) -> bool:
        """Return whether the task may start here to learn its effect on the service."""
        workers = self._job_nodes.get(job, {})
        if len(workers) >= TRIALS_OF_A_JOB or node.facts.name in workers:
            return False
        effect = self.interference.effect(service, job, now)
        expected = present + node.services[service] * effect.mean
        return sqrt(effect.variance) > TRIAL_DEVIATION and expected <= TOLERATED_EFFECT

    def _assign(self, queue: JobQueue, node: Node, now: float) -> Append:
        task = queue.next_task()
        job, worker = queue.job, node.facts.name
        self._queue.remove(task.task, queue.name)
        self._proposals[task.task] = _Proposal(
            task, worker, job.member, job.team, queue.needed, now + PROPOSAL_SECONDS
        )
        self._quotas.add(job.member, job.team, queue.needed)
        is_urgent = job.priority is Priority.URGENT
        counted = self.sizes.planned(queue.name, queue.needed)
        self._place(node, Placed(task.task, queue.name, counted, is_urgent, 0, now), now)
        self.faulty_workers.started(worker, task.task)
        if not self.faulty_workers.is_usable(worker, now):
            self._nodes.set_usable(node, False)
        if node.reserved_for == queue.name:
            node.reserved_for = ""
        record = Assign(
            task=task.task,
            worker=worker,
            attempt=task.attempt,
            checkpoint=task.checkpoint,
            writer=self._writer,
        )
        return Append(record)

    def _place(self, node: Node, placed: Placed, now: float) -> None:
        self._nodes.place(node, placed)
        workers = self._job_nodes.setdefault(placed.job, {})
        workers[node.facts.name] = workers.get(node.facts.name, 0) + 1
        for service, load in node.services.items():
            effect = load * self.interference.planned_effect(service, placed.job, now)
            node.planned[service] = node.planned.get(service, 0.0) + effect

    def _unplace(self, worker: str, task: str) -> None:
        node = self._nodes.get(worker)
        placed = self._nodes.remove(node, task) if node is not None else None
        if node is None or placed is None:
            return
        workers = self._job_nodes[placed.job]
        workers[worker] -= 1
        if not workers[worker]:
            del workers[worker]
        if not workers:
            del self._job_nodes[placed.job]
        now = node.measured_at
        for service, load in node.services.items():
            effect = load * self.interference.planned_effect(service, placed.job, now)
            node.planned[service] = max(0.0, node.planned.get(service, 0.0) - effect)

    def _plan_effects(self, node: Node, now: float) -> None:
        node.planned = {
            service: load
            * sum(
                count * self.interference.planned_effect(service, job, now)
                for job, count in node.jobs.items()
            )
            for service, load in node.services.items()
        }

    def _withdraw_proposal(self, task: str) -> _Proposal | None:
        proposal = self._proposals.pop(task, None)
        if proposal is None:
            return None
        self._quotas.remove(proposal.member, proposal.team, proposal.reserved)
        self._unplace(proposal.worker, task)
        return proposal

    def _expire_proposals(self, now: float, evidence_at: float) -> None:
        expired = [
            proposal for proposal in self._proposals.values() if evidence_at >= proposal.expires_at
        ]
        for proposal in expired:
            self._withdraw_proposal(proposal.task.task)
            self.faulty_workers.withdrawn(proposal.worker, proposal.task.task)
            self.add_pending(proposal.task, now)

    def _remove_running(self, known: _Running) -> None:
        assignment = known.assignment
        del self._running[assignment.task]
        self._evicting.pop(assignment.task, None)
        self._lost_appended.pop(assignment.task, None)
        self._quotas.remove(known.member, known.team, assignment.resources)
        self._unplace(assignment.worker, assignment.task)

    def _is_usable(self, facts: WorkerFacts, now: float) -> bool:
        return (
            not facts.is_fenced
            and facts.failure_domain in self._domains_in
            and facts.name not in self._lost_workers
            and self.faulty_workers.is_usable(facts.name, now)
        )

    def _update_set_aside(self, now: float) -> None:
        for name in self.faulty_workers.suspects:
            node = self._nodes.get(name)
            if node is None:
                continue
            is_usable = self._is_usable(node.facts, now)
            if node.is_usable is not is_usable:
                self._nodes.set_usable(node, is_usable)
                self._is_changed = True

    def _count_kind(self, facts: WorkerFacts, sign: int) -> None:
        kind = (facts.capacity, facts.failure_domain)
        before = self._kinds.get(kind, 0)
        self._kinds[kind] = before + sign
        if not self._kinds[kind]:
            del self._kinds[kind]
        if (before == 0) is not (kind not in self._kinds):
            self._judge_all()

    def _judge_all(self) -> None:
        self._infeasible.clear()
        self._judged.clear()
        for queue in self._queue.jobs():
            self._judge(queue.name, queue.job)

    def _judge(self, name: str, job: Job) -> None:
        if self._manifest is None:
            return
        self._judged.add(name)
        reason = infeasibility(job, self._kinds, self._manifest)
        if reason is not None:
            self._infeasible[name] = reason

    def _lost_records(self, now: float, evidence_at: float) -> Iterator[Append]:
        if not self._lost_workers and not self._lost_domains:
            return
        for node in self._nodes:
            facts = node.facts
            if (
                facts.name not in self._lost_workers
                and facts.failure_domain not in self._lost_domains
            ):
                continue
            for placed in tuple(node.placed.values()):
                appended_at = self._lost_appended.get(placed.task, float("-inf"))
                if not placed.token or evidence_at < appended_at + LOST_RETRY_SECONDS:
                    continue
                self._lost_appended[placed.task] = now
                checkpoint = self._running[placed.task].assignment.checkpoint
                record = Stopped(
                    task=placed.task,
                    token=placed.token,
                    outcome=StopOutcome.LOST,
                    checkpoint=checkpoint,
                )
                yield Append(record)

    def _preempt(self, missed: list[JobQueue], now: float) -> Iterator[EvictTask]:
        """Yield evictions that make room for urgent tasks which found none."""
        left = PREEMPTIONS_PER_TICK
        for queue in missed:
            reserved = sum(
                1
                for node in self._nodes
                if node.reserved_for == queue.name and now < node.reserved_until
            )
            for _ in range(min(left, len(queue.pending) - reserved)):
                evictions = self._evictions_for(queue, now)
                if not evictions:
                    break
                left -= 1
                yield from evictions

    def _evictions_for(self, queue: JobQueue, now: float) -> list[EvictTask]:
        needed = self.sizes.planned(queue.name, queue.needed)
        best: tuple[Preemption, Node] | None = None
        for node in self._preemptable_nodes(queue, needed, now):
            victims = [
                Victim(placed.task, placed.token, placed.counted, now - placed.placed_at)
                for placed in node.placed.values()
                if placed.token and not placed.is_urgent and not self._is_evicting(placed.task, now)
            ]
            found = cheapest_preemption(victims, node.free, needed)
            if found is not None and (best is None or found.cost < best[0].cost):
                best = found, node
        if best is None:
            return []
        preemption, node = best
        node.reserved_for = queue.name
        node.reserved_until = now + EVICTION_SECONDS
        for victim in preemption.victims:
            self._evicting[victim.task] = now
        return [
            EvictTask(node.facts.name, victim.task, victim.token) for victim in preemption.victims
        ]

    def _is_evicting(self, task: str, now: float) -> bool:
        return now < self._evicting.get(task, float("-inf")) + EVICTION_SECONDS

    def _preemptable_nodes(self, queue: JobQueue, needed: Resources, now: float) -> list[Node]:
        constraints = queue.job.constraints
        rack = self._rack_of(queue) if constraints.same_rack else None
        found = []
        for node in self._nodes:
            if not node.is_usable or node.cpu + node.preemptable_cpu < needed.cpu - TOLERANCE:
                continue
            if node.reserved_for and now < node.reserved_until:
                continue
            if rack is not None and node.facts.rack != rack:
                continue
            domains = constraints.failure_domains
            if needed.is_within(node.facts.capacity) and (
                not domains or node.facts.failure_domain in domains
            ):
                found.append(node)
        found.sort(key=lambda node: -node.cpu)
        return found[:PREEMPTION_CANDIDATES]


def _has_failed(before: str, after: str) -> bool:
    """Return whether a run added a worker to the failures in its task's resume point."""
    failures = decoded_resume_point(after).failed_on
    return len(failures) > len(decoded_resume_point(before).failed_on)


def job_of(task: str) -> str:
    """Return the job's name within a task id.

    >>> job_of("register-sync@12/3")
    'register-sync'
    """
    return task.rpartition("@")[0]
