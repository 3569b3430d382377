"""Decisions of the scheduler: assignments of pending tasks to workers, and evictions."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from math import log, sqrt

from dotterelhill.batch.events import Append
from dotterelhill.batch.faulty_workers import FaultyWorkers
from dotterelhill.batch.feasibility import WorkerKind, infeasibility_reason
from dotterelhill.batch.interface import Assignment, PendingTask, WorkerFacts
from dotterelhill.batch.interference import InterferenceModel
from dotterelhill.batch.nodes import LOAD_DECAY_SECONDS, TOLERANCE, Node, NodeIndex, PlacedTask
from dotterelhill.batch.preemption import Preemption, Victim, cheapest_preemption
from dotterelhill.batch.queue import PRIORITIES, JobQueue, PendingQueue
from dotterelhill.batch.quotas import Quotas
from dotterelhill.batch.resume import MAX_FAILED_WORKERS, decoded_resume_point
from dotterelhill.batch.sizes import TaskSizes
from dotterelhill.ledger import Assign, StopOutcome, Stopped
from dotterelhill.manifest import Constraints, DomainState, Job, Manifest, Priority, Resources

# Bounds the duration of one tick.
ASSIGNS_PER_TICK = 200
# A round of one priority ends after so many jobs for which no worker was found.
FAILED_SEARCHES_PER_ROUND = 64
# A proposed assignment that the ledger does not show is dropped once the log has been read up to
# this long after the append. The delay exceeds the duration of an append to a slow log (5 s).
PROPOSAL_TIMEOUT_SECONDS = 8.0
REFUSED_PROPOSAL_SECONDS = 1.0
# Highest planned slow-down of a service by all batch tasks on its machine, as a logarithm.
TOLERATED_EFFECT = log(1.08)
# A (service, job) pair may be tried while the standard deviation of its effect is above this.
TRIAL_DEVIATION = 0.06
TRIAL_WORKERS_PER_JOB = 3
# A job that only interference keeps waiting starts on the least disturbed worker after this time.
INTERFERENCE_WAIT_SECONDS = 120.0
# Workers compared for one task, in the order of rising free processors.
CANDIDATE_WORKERS = 8
# Cost of a worker whose processors are all free, relative to one that the task fills exactly.
LOOSE_FIT_COST = 0.02
PREEMPTIONS_PER_TICK = 8
PREEMPTION_CANDIDATES = 24
EVICTION_TIMEOUT_SECONDS = 10.0
LOST_RETRY_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class EvictTask:
    """Stop a task with a checkpoint to make room for an urgent one."""

    worker: str
    task: str
    token: int


@dataclass(frozen=True, slots=True)
class MeasuredWorker:
    """Measurements of one usage report, which lags behind the worker's state.

    :param loads: load of each service, 0 to 1
    :param slow_downs: measured slow-down of each service
    :param jobs: number of running tasks by job; a throttled task counts as its speed, 0 to 1
    """

    worker: str
    loads: Mapping[str, float]
    slow_downs: Mapping[str, float]
    jobs: Mapping[str, float]


@dataclass(slots=True)
class _Proposal:
    """An appended assignment that the ledger does not show yet.

    :param expires_at: loop time in seconds; dropped once the log has been read up to it
    """

    task: PendingTask
    worker: str
    member: str
    team: str
    reserved: Resources
    expires_at: float


@dataclass(frozen=True, slots=True)
class _WorkerChoice:
    """Result of the search for a worker.

    :param node: chosen worker, or None
    :param has_room: whether some allowed worker has room, so that only interference forbids a start
    """

    node: Node | None
    has_room: bool


@dataclass(frozen=True, slots=True)
class _RunningTask:
    """An assignment that the ledger shows, with the job, member and team whose quotas it uses."""

    assignment: Assignment
    job: str
    member: str
    team: str


class Placement:
    """State and decisions of the scheduler.

    Every process keeps this state up to date, so that any of them can become the scheduler without
    delay. Only the preferred scheduler calls :meth:`tick`.

    :param writer: incarnation of this process, written into each ``Assign``
    """

    def __init__(self, writer: str) -> None:
        self._writer = writer
        self._manifest: Manifest | None = None
        self._domains_in: frozenset[str] = frozenset()
        self._lost_workers: frozenset[str] = frozenset()
        self._lost_domains: frozenset[str] = frozenset()
        self._nodes = NodeIndex()
        self._quotas = Quotas()
        self._queue = PendingQueue(self._quotas)
        self._proposals: dict[str, _Proposal] = {}
        self._running: dict[str, _RunningTask] = {}
        self._worker_kinds: dict[WorkerKind, int] = {}
        self._infeasible: dict[str, str] = {}
        self._checked_jobs: set[str] = set()
        self._job_nodes: dict[str, dict[str, int]] = {}
        self._evicting_since: dict[str, float] = {}
        self._lost_appended_at: dict[str, float] = {}
        self._is_changed = True
        self._last_round_at = 0.0
        self.interference = InterferenceModel()
        self.sizes = TaskSizes()
        self.faulty_workers = FaultyWorkers()

    @property
    def infeasible_jobs(self) -> Mapping[str, str]:
        """Return the jobs that can never run, with the reason."""
        return self._infeasible

    @property
    def nodes(self) -> NodeIndex:
        """Return all workers with their free resources and tasks."""
        return self._nodes

    @property
    def has_pending(self) -> bool:
        """Return whether a task waits for a worker or for its assignment to be read."""
        return bool(self._proposals) or any(queue.pending for queue in self._queue.jobs())

    def state(self) -> dict[str, object]:
        """Return the state for a dump."""
        return {
            "pending": {queue.name: len(queue.pending) for queue in self._queue.jobs()},
            "proposed": {name: item.worker for name, item in self._proposals.items()},
            "running": len(self._running),
            "infeasible": dict(self._infeasible),
            "failed_jobs": sorted(self.faulty_workers.failed_jobs),
            "suspected_workers": sorted(self.faulty_workers.suspected_workers),
            "pairs": {
                f"{service}|{job}": [round(effect.mean, 4), round(sqrt(effect.variance), 4)]
                for (service, job), effect in self.interference.effects.items()
            },
        }

    def set_manifest(self, manifest: Manifest, adopted: Manifest, now: float) -> None:
        """Set the manifests.

        :param manifest: newest manifest, which defines the failure domains that are in
        :param adopted: manifest that the ledger has adopted, which defines jobs, quotas and losses
        """
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
        self._check_all_feasibility()
        for node in self._nodes:
            self._nodes.set_usable(node, self._is_usable(node.facts, now))
        self._is_changed = True

    def set_worker(self, facts: WorkerFacts, now: float) -> None:
        """Update a worker's capacity and fence."""
        node = self._nodes.get(facts.name)
        if node is None or node.facts.capacity != facts.capacity:
            if node is not None:
                self._count_kind(node.facts, -1)
            self._count_kind(facts, 1)
        self._nodes.set_facts(facts, is_usable=self._is_usable(facts, now))
        self._is_changed = True

    def add_pending(self, task: PendingTask, now: float) -> None:
        """Queue a task that the ledger shows as pending."""
        job = self._manifest.jobs.get(task.job) if self._manifest else None
        if job is None or task.task in self._proposals or task.task in self._running:
            return
        if task.job not in self._checked_jobs:
            self._check_feasibility(task.job, job)
        self._queue.add(task, job, now)
        self._is_changed = True

    def drop_pending(self, task: str) -> None:
        """Remove a task that is no longer pending, with its proposal."""
        self._queue.remove(task, job_of(task))
        self._withdraw_proposal(task)

    def replace_pending(self, pending: Mapping[str, PendingTask], now: float) -> None:
        """Replace the pending tasks with those that the ledger shows."""
        removed_tasks = [
            task for queue in self._queue.jobs() for task in queue.pending if task not in pending
        ]
        removed_tasks.extend(task for task in self._proposals if task not in pending)
        for task in removed_tasks:
            self.drop_pending(task)
        for item in pending.values():
            self.add_pending(item, now)

    def running(self, task: str) -> Assignment | None:
        """Return the assignment of a running task, or None if it does not run."""
        running_task = self._running.get(task)
        return running_task.assignment if running_task is not None else None

    def running_tasks(self) -> list[tuple[str, Assignment]]:
        """Return the assignments of all running tasks."""
        return [(task, running_task.assignment) for task, running_task in self._running.items()]

    def drop_running(self, task: str) -> None:
        """Remove the assignment of a task that the ledger no longer shows as running."""
        running_task = self._running.get(task)
        if running_task is not None:
            self._remove_running(running_task)
            self._is_changed = True

    def add_running(self, assignment: Assignment, now: float) -> None:
        """Add an assignment that the ledger shows."""
        job_name = job_of(assignment.task)
        if self._confirm_proposal(assignment, job_name):
            return
        self._queue.remove(assignment.task, job_name)
        self._withdraw_proposal(assignment.task)
        running_task = self._running.get(assignment.task)
        if running_task is not None:
            if running_task.assignment.token >= assignment.token:
                return
            self._remove_running(running_task)
        job = self._manifest.jobs.get(job_name) if self._manifest else None
        member, team = (job.member, job.team) if job else ("", "")
        self._running[assignment.task] = _RunningTask(assignment, job_name, member, team)
        self._quotas.add(member, team, assignment.resources)
        node = self._nodes.get(assignment.worker)
        if node is not None:
            counted_resources = self.sizes.planned_resources(job_name, assignment.resources)
            placed_task = PlacedTask(
                assignment.task,
                job_name,
                counted_resources,
                assignment.is_urgent,
                assignment.token,
                now,
            )
            self._place(node, placed_task, now)
        self.faulty_workers.record_start(assignment.worker, assignment.task)

    def _confirm_proposal(self, assignment: Assignment, job_name: str) -> bool:
        """Replace a matching proposal by its assignment, and return whether there was one.

        The resources of a proposal are counted already.
        """
        proposal = self._proposals.get(assignment.task)
        node = self._nodes.get(assignment.worker)
        if proposal is None or node is None or proposal.worker != assignment.worker:
            return False
        placed_task = node.placed_tasks.get(assignment.task)
        if placed_task is None or proposal.reserved != assignment.resources:
            return False
        del self._proposals[assignment.task]
        node.placed_tasks[assignment.task] = PlacedTask(
            placed_task.task,
            placed_task.job,
            placed_task.counted_resources,
            placed_task.is_urgent,
            assignment.token,
            placed_task.placed_at,
        )
        self._running[assignment.task] = _RunningTask(
            assignment, job_name, proposal.member, proposal.team
        )
        return True

    def end_running(
        self, task: str, token: int, outcome: StopOutcome, resume: str, now: float
    ) -> None:
        """Remove an assignment that the ledger shows as ended, and record its outcome.

        :param resume: ``checkpoint`` field of the ``Stopped`` record
        """
        running_task = self._running.get(task)
        if running_task is None or running_task.assignment.token != token:
            return
        self._remove_running(running_task)
        worker, job = running_task.assignment.worker, running_task.job
        self._is_changed = True
        was_suspected = self.faulty_workers.is_suspected(worker)
        if outcome is StopOutcome.FINISHED:
            self.faulty_workers.record_success(worker, job)
        elif outcome is StopOutcome.FAILED or _has_failed(
            running_task.assignment.checkpoint, resume
        ):
            self.faulty_workers.record_failure(worker, job, now)
        else:
            self.faulty_workers.record_inconclusive_end(worker, task)
        node = self._nodes.get(worker)
        if node is not None and (was_suspected or self.faulty_workers.is_suspected(worker)):
            self._nodes.set_usable(node, self._is_usable(node.facts, now))

    def measure(self, report: MeasuredWorker, now: float) -> None:
        """Update effects and loads with a usage report."""
        for service, load in report.loads.items():
            slow_down = report.slow_downs.get(service, 1.0)
            self.interference.observe(service, load, slow_down, report.jobs, now)
        self.set_loads(report.worker, report.loads, now)

    def set_loads(self, worker: str, loads: Mapping[str, float], now: float) -> None:
        """Update the loads of the services on a worker; a peak decays over time."""
        node = self._nodes.get(worker)
        if node is None:
            return
        decay = max(0.0, 1.0 - (now - node.measured_at) / LOAD_DECAY_SECONDS)
        node.service_loads = {
            service: max(load, node.service_loads.get(service, 0.0) * decay)
            for service, load in loads.items()
        }
        node.measured_at = now
        self._plan_effects(node, now)
        self._is_changed = True

    def expire_refused_proposal(self, task: str, worker: str, now: float) -> None:
        """Drop the proposal for an assignment that the ledger has refused, after a delay.

        The delay of ``REFUSED_PROPOSAL_SECONDS`` keeps the scheduler from proposing the same worker
        at each tick while the ledger counts its resources differently.
        """
        proposal = self._proposals.get(task)
        if proposal is not None and proposal.worker == worker:
            proposal.expires_at = min(proposal.expires_at, now + REFUSED_PROPOSAL_SECONDS)

    def tick(self, now: float, evidence_at: float) -> list[Append | EvictTask]:
        """Return the records to append and the tasks to evict at loop time ``now``.

        :param evidence_at: loop time up to which control records are known
        """
        if self._manifest is None:
            return []
        self._expire_proposals(now, evidence_at)
        self._update_quarantine(now)
        actions: list[Append | EvictTask] = list(self._lost_records(now, evidence_at))
        if not self._is_changed and now - self._last_round_at < 5.0:
            return actions
        self._is_changed = False
        self._last_round_at = now
        budget = ASSIGNS_PER_TICK
        for priority in PRIORITIES:
            assigned, unplaced_jobs = self._place_round(priority, budget, now)
            actions.extend(assigned)
            budget -= len(assigned)
            if priority is Priority.URGENT:
                actions.extend(self._preempt(unplaced_jobs, now))
            if budget <= 0:
                self._is_changed = True
                break
        return actions

    def _place_round(
        self, priority: Priority, budget: int, now: float
    ) -> tuple[list[Append], list[JobQueue]]:
        """Return assignments for one priority, and the jobs for which no worker has room."""
        order = self._queue.round_order(priority)
        assigned: list[Append] = []
        unplaced_jobs: list[JobQueue] = []
        unplaceable: set[tuple[Resources, Constraints]] = set()
        failed_searches = 0
        while len(assigned) < budget and failed_searches < FAILED_SEARCHES_PER_ROUND:
            queue = order.pop()
            if queue is None:
                break
            is_unplaceable = (
                bool(unplaceable) and (queue.needed, queue.job.constraints) in unplaceable
            )
            if is_unplaceable or not self._is_startable(queue):
                order.skip_job(queue)
                continue
            choice = self._choose_worker(queue, now)
            if choice.node is None:
                failed_searches += 1
                if not choice.has_room:
                    unplaced_jobs.append(queue)
                    if not queue.job.constraints.same_rack:
                        unplaceable.add((queue.needed, queue.job.constraints))
                order.skip_job(queue)
                continue
            assigned.append(self._assign(queue, choice.node, now))
            order.requeue_job(queue)
        return assigned, unplaced_jobs

    def _is_startable(self, queue: JobQueue) -> bool:
        if queue.name in self._infeasible or self.faulty_workers.is_job_failed(queue.name):
            return False
        job = queue.job
        return self._quotas.has_room(job.member, job.team, queue.needed)

    def _choose_worker(self, queue: JobQueue, now: float) -> _WorkerChoice:
        """Return the best worker for the job's first pending task."""
        job = queue.job
        needed = self.sizes.planned_resources(queue.name, queue.needed)
        excluded = self._excluded_workers(queue.next_task())
        domains = job.constraints.failure_domains
        rack = self._rack_of(queue) if job.constraints.same_rack else None
        best: Node | None = None
        best_cost = float("inf")
        least_disturbed: Node | None = None
        least_slow_down = float("inf")
        compared = 0
        for node in self._nodes.fitting_nodes(needed):
            facts = node.facts
            if (domains and facts.failure_domain not in domains) or facts.name in excluded:
                continue
            if rack is not None and facts.rack != rack:
                continue
            if node.reserved_for and node.is_reserved_for_other(queue.name, now):
                continue
            if not node.service_loads:
                return _WorkerChoice(node, True)
            slow_down, is_tolerable = self._planned_slow_down(node, queue.name, now)
            if slow_down < least_slow_down:
                least_disturbed, least_slow_down = node, slow_down
            compared += 1
            if is_tolerable:
                cost = (
                    slow_down + LOOSE_FIT_COST * (node.cpu - needed.cpu) / node.facts.capacity.cpu
                )
                if cost < best_cost:
                    best, best_cost = node, cost
            if compared >= CANDIDATE_WORKERS and best is not None:
                break
        is_urgent = job.priority is Priority.URGENT
        is_wait_allowed = now - queue.waiting_since < INTERFERENCE_WAIT_SECONDS
        if best is not None or least_disturbed is None or (is_wait_allowed and not is_urgent):
            return _WorkerChoice(best, least_disturbed is not None)
        # Batch work must finish. The holder throttles it if the service becomes too slow.
        queue.waiting_since = now
        return _WorkerChoice(least_disturbed, True)

    def _excluded_workers(self, task: PendingTask) -> tuple[str, ...]:
        if not task.checkpoint or len(self._nodes) <= MAX_FAILED_WORKERS:
            return ()
        return decoded_resume_point(task.checkpoint).failed_on

    def _rack_of(self, queue: JobQueue) -> str | None:
        """Return the rack of the job's tasks, or the one with the most free processors."""
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

    def _planned_slow_down(self, node: Node, job: str, now: float) -> tuple[float, bool]:
        """Return the slow-down that the task adds, as a logarithm, and whether it is tolerable."""
        slow_down = 0.0
        is_tolerable = True
        for service, load in node.service_loads.items():
            added = load * self.interference.planned_effect(service, job, now)
            slow_down += added
            current = node.planned_effects.get(service, 0.0)
            if current + added <= TOLERATED_EFFECT:
                continue
            is_tolerable = is_tolerable and self._is_trial(node, service, job, current, now)
        return slow_down, is_tolerable

    def _is_trial(self, node: Node, service: str, job: str, current: float, now: float) -> bool:
        """Return whether the task may start on ``node`` to measure its effect on the service."""
        workers = self._job_nodes.get(job, {})
        if len(workers) >= TRIAL_WORKERS_PER_JOB or node.facts.name in workers:
            return False
        effect = self.interference.effect(service, job, now)
        expected = current + node.service_loads[service] * effect.mean
        return sqrt(effect.variance) > TRIAL_DEVIATION and expected <= TOLERATED_EFFECT

    def _assign(self, queue: JobQueue, node: Node, now: float) -> Append:
        task = queue.next_task()
        job, worker = queue.job, node.facts.name
        self._queue.remove(task.task, queue.name)
        self._proposals[task.task] = _Proposal(
            task, worker, job.member, job.team, queue.needed, now + PROPOSAL_TIMEOUT_SECONDS
        )
        self._quotas.add(job.member, job.team, queue.needed)
        is_urgent = job.priority is Priority.URGENT
        counted_resources = self.sizes.planned_resources(queue.name, queue.needed)
        self._place(
            node, PlacedTask(task.task, queue.name, counted_resources, is_urgent, 0, now), now
        )
        self.faulty_workers.record_start(worker, task.task)
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

    def _place(self, node: Node, placed_task: PlacedTask, now: float) -> None:
        self._nodes.place(node, placed_task)
        workers = self._job_nodes.setdefault(placed_task.job, {})
        workers[node.facts.name] = workers.get(node.facts.name, 0) + 1
        for service, load in node.service_loads.items():
            effect = load * self.interference.planned_effect(service, placed_task.job, now)
            node.planned_effects[service] = node.planned_effects.get(service, 0.0) + effect

    def _unplace(self, worker: str, task: str) -> None:
        node = self._nodes.get(worker)
        placed_task = self._nodes.remove(node, task) if node is not None else None
        if node is None or placed_task is None:
            return
        workers = self._job_nodes[placed_task.job]
        workers[worker] -= 1
        if not workers[worker]:
            del workers[worker]
        if not workers:
            del self._job_nodes[placed_task.job]
        now = node.measured_at
        for service, load in node.service_loads.items():
            effect = load * self.interference.planned_effect(service, placed_task.job, now)
            node.planned_effects[service] = max(
                0.0, node.planned_effects.get(service, 0.0) - effect
            )

    def _plan_effects(self, node: Node, now: float) -> None:
        node.planned_effects = {
            service: load
            * sum(
                count * self.interference.planned_effect(service, job, now)
                for job, count in node.jobs.items()
            )
            for service, load in node.service_loads.items()
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
            self.faulty_workers.record_inconclusive_end(proposal.worker, proposal.task.task)
            self.add_pending(proposal.task, now)

    def _remove_running(self, running_task: _RunningTask) -> None:
        assignment = running_task.assignment
        del self._running[assignment.task]
        self._evicting_since.pop(assignment.task, None)
        self._lost_appended_at.pop(assignment.task, None)
        self._quotas.remove(running_task.member, running_task.team, assignment.resources)
        self._unplace(assignment.worker, assignment.task)

    def _is_usable(self, facts: WorkerFacts, now: float) -> bool:
        return (
            not facts.is_fenced
            and facts.failure_domain in self._domains_in
            and facts.name not in self._lost_workers
            and self.faulty_workers.is_usable(facts.name, now)
        )

    def _update_quarantine(self, now: float) -> None:
        for name in self.faulty_workers.suspected_workers:
            node = self._nodes.get(name)
            if node is None:
                continue
            is_usable = self._is_usable(node.facts, now)
            if node.is_usable is not is_usable:
                self._nodes.set_usable(node, is_usable)
                self._is_changed = True

    def _count_kind(self, facts: WorkerFacts, sign: int) -> None:
        kind = (facts.capacity, facts.failure_domain)
        count_before = self._worker_kinds.get(kind, 0)
        self._worker_kinds[kind] = count_before + sign
        if not self._worker_kinds[kind]:
            del self._worker_kinds[kind]
        if (count_before == 0) is not (kind not in self._worker_kinds):
            self._check_all_feasibility()

    def _check_all_feasibility(self) -> None:
        self._infeasible.clear()
        self._checked_jobs.clear()
        for queue in self._queue.jobs():
            self._check_feasibility(queue.name, queue.job)

    def _check_feasibility(self, name: str, job: Job) -> None:
        if self._manifest is None:
            return
        self._checked_jobs.add(name)
        reason = infeasibility_reason(job, self._worker_kinds, self._manifest)
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
            for placed_task in tuple(node.placed_tasks.values()):
                appended_at = self._lost_appended_at.get(placed_task.task, float("-inf"))
                if not placed_task.token or evidence_at < appended_at + LOST_RETRY_SECONDS:
                    continue
                self._lost_appended_at[placed_task.task] = now
                checkpoint = self._running[placed_task.task].assignment.checkpoint
                record = Stopped(
                    task=placed_task.task,
                    token=placed_task.token,
                    outcome=StopOutcome.LOST,
                    checkpoint=checkpoint,
                )
                yield Append(record)

    def _preempt(self, unplaced_jobs: list[JobQueue], now: float) -> Iterator[EvictTask]:
        """Yield evictions that make room for urgent tasks of ``unplaced_jobs``."""
        remaining_preemptions = PREEMPTIONS_PER_TICK
        for queue in unplaced_jobs:
            reserved = sum(
                1
                for node in self._nodes
                if node.reserved_for == queue.name and now < node.reserved_until
            )
            for _ in range(min(remaining_preemptions, len(queue.pending) - reserved)):
                evictions = self._evictions_for(queue, now)
                if not evictions:
                    break
                remaining_preemptions -= 1
                yield from evictions

    def _evictions_for(self, queue: JobQueue, now: float) -> list[EvictTask]:
        needed = self.sizes.planned_resources(queue.name, queue.needed)
        best: tuple[Preemption, Node] | None = None
        for node in self._preemptable_nodes(queue, needed, now):
            victims = [
                Victim(
                    placed_task.task,
                    placed_task.token,
                    placed_task.counted_resources,
                    now - placed_task.placed_at,
                )
                for placed_task in node.placed_tasks.values()
                if placed_task.token
                and not placed_task.is_urgent
                and not self._is_evicting(placed_task.task, now)
            ]
            found = cheapest_preemption(victims, node.free, needed)
            if found is not None and (best is None or found.cost < best[0].cost):
                best = found, node
        if best is None:
            return []
        preemption, node = best
        node.reserved_for = queue.name
        node.reserved_until = now + EVICTION_TIMEOUT_SECONDS
        for victim in preemption.victims:
            self._evicting_since[victim.task] = now
        return [
            EvictTask(node.facts.name, victim.task, victim.token) for victim in preemption.victims
        ]

    def _is_evicting(self, task: str, now: float) -> bool:
        return now < self._evicting_since.get(task, float("-inf")) + EVICTION_TIMEOUT_SECONDS

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
    """Return whether a run has added a failed worker to its task's resume point."""
    failures = decoded_resume_point(after).failed_on
    return len(failures) > len(decoded_resume_point(before).failed_on)


def job_of(task: str) -> str:
    """Return the job's name from a task id.

    >>> job_of("register-sync@12/3")
    'register-sync'
    """
    return task.rpartition("@")[0]
