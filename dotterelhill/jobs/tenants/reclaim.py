"""Reclaim of capacity for tenants below their share, from checkpointing fillers of others.

Explanation
===========

A filler that may give up its place is paused first. Its job is stored in the same round, so that a
later leader resumes it from the newest checkpoint. If a waiting task still needs the place after
``PAUSE_SECONDS``, the filler is stopped, otherwise it resumes. A paused filler leaves its
processors to other fillers, so the waiting task may have started by then.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from math import inf

from dotterelhill.jobs.changes import Decision
from dotterelhill.jobs.fleet import Minion, Run, RunState
from dotterelhill.jobs.interference.sharing import MIN_FILLER_CPU_SHARE, InterferenceControl
from dotterelhill.jobs.model import Job
from dotterelhill.jobs.orders import PaceOrder
from dotterelhill.jobs.queues import Queue
from dotterelhill.jobs.tenants.candidates import Candidate, Candidates
from dotterelhill.jobs.tenants.exchanges import (
    SHARE_TOLERANCE,
    Exchange,
    ExchangeSearch,
    StartCheck,
)
from dotterelhill.jobs.tenants.limits import TenantLimits
from dotterelhill.jobs.tenants.loads import WaitingTasks
from dotterelhill.jobs.tenants.reclaim_log import ReclaimLog
from dotterelhill.jobs.tenants.shares import TenantShares
from dotterelhill.jobs.tenants.usage import RunOwner, TenantUsage

# A search looks at all runs and waiting jobs, and a round has 25 ms.
SEARCH_SECONDS = 0.25
MAX_NEW_PAUSES = 8
MAX_CHECKED_RUNS = 32
# A pace applies within 0.5 s of its order.
PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 1.0
# A run ends some tenths of a second after its stop was ordered.
STOP_SECONDS = 0.3
# A run that is paused now would have ended after this time if it was stopped.
PAUSE_TO_END_SECONDS = PAUSE_SECONDS + SEARCH_SECONDS + STOP_SECONDS
# Longest time for which the tenant of a stopped run leaves the minion to others. The next run there
# is stopped a second later at the earliest, so the tenant may start tasks there in between.
WITHHELD_SECONDS = 0.7


@dataclass(slots=True)
class _Pause:
    """A paused run.

    :param exchange: newest reason for its pause
    :param since: loop time at which it was paused
    :param place_due_since: loop time of its stop if the waiting task is to start in its place;
        infinite before, and if that has started with the processors of the paused run
    """

    exchange: Exchange
    since: float
    place_due_since: float = inf

    @property
    def run(self) -> Run:
        """Return the paused run."""
        return self.exchange.candidate.run

    @property
    def minion(self) -> Minion:
        """Return the minion of the run."""
        return self.exchange.candidate.minion


@dataclass(slots=True)
class ReclaimActions:
    """What a search has decided.

    :param jobs: jobs whose progress has to be stored
    """

    stops: list[tuple[Minion, Run]] = field(default_factory=list)
    paces: list[PaceOrder] = field(default_factory=list)
    jobs: list[Job] = field(default_factory=list)
    decisions: list[Decision] = field(default_factory=list)


class Reclaim:
    """Pauses and stops of checkpointing fillers for tenants below their share.

    :param usage: resources that the runs of each tenant use
    :param limits: limits and weights of tenants
    :param shares: shares of tenants, begun for the present round
    :param interference: control of the pace of fillers
    """

    def __init__(
        self,
        usage: TenantUsage,
        limits: TenantLimits,
        shares: TenantShares,
        interference: InterferenceControl,
    ) -> None:
        self._usage = usage
        self._limits = limits
        self._shares = shares
        self._interference = interference
        self._searched_at = float("-inf")
        self._pauses: dict[Run, _Pause] = {}
        self._candidates = Candidates()
        self._log = ReclaimLog()

    @property
    def stopped_runs(self) -> Mapping[str, int]:
        """Return the number of runs that were stopped, by the tenant that gave them up."""
        return self._log.stopped_runs

    def update(
        self,
        usable: Iterable[Minion],
        usable_from: Callable[[float], Iterable[Minion]],
        jobs: Mapping[str, Job],
        queue_of: Callable[[Job], Queue],
        waiting: Callable[[], Iterable[WaitingTasks]],
        check: StartCheck,
        now: float,
    ) -> ReclaimActions:
        """Return the pauses, resumptions and stops of this round.

        :param usable: minions on which tasks may start
        :param usable_from: returns the minions on which tasks may probably start from a loop time
            on, but not yet
        :param waiting: returns the tasks that this round has left waiting
        """
        actions = ReclaimActions()
        has_work = self._usage.by_owner or self._pauses or not self._log.is_idle
        if not has_work or now - self._searched_at < SEARCH_SECONDS:
            return actions
        self._searched_at = now
        self._candidates.advance(now)
        if check.had_starts_left:
            paused = {pause.minion for pause in self._pauses.values()}
            candidates = self._candidates.find(usable, paused, jobs, queue_of, now)
            services = self._uneven_services(candidates, check)
            services |= {pause.exchange.taker.service for pause in self._pauses.values()}
            for search in self._searches(services, usable, waiting, check, now):
                self._count_stopped(search, jobs)
                search.expect(usable_from(now + STOP_SECONDS))
                self._review(search, jobs, now, actions)
                search.expect(usable_from(now + PAUSE_TO_END_SECONDS))
                chosen = [one for one in candidates if one.owner.service == search.service]
                self._pause_new(chosen, search, jobs, now, actions)
        else:
            # Tasks may wait only because the number of starts in flight is limited.
            self._resume_overdue(now, actions)
        actions.decisions += self._log.end_episodes(now)
        self._shares.yielding = frozenset(
            pause.exchange.candidate.owner.tenant for pause in self._pauses.values()
        )
        # A pause is kept until a round has seen the place of a stopped run free.
        self._shares.reclaimed_minions = frozenset(pause.minion for pause in self._pauses.values())
        self._shares.withheld_minions = self._withheld_minions(now)
        return actions

    def _withheld_minions(self, now: float) -> dict[str, frozenset[Minion]]:
        """Return the minions that tenants leave to others, by tenant.

        Until the place of a stopped run is free, the waiting tasks may change their order, and a
        task of the tenant that gave up the run would start there again.
        """
        minions: dict[str, set[Minion]] = {}
        for pause in self._pauses.values():
            if pause.place_due_since <= now < pause.place_due_since + WITHHELD_SECONDS:
                giver = pause.exchange.candidate.owner.tenant
                minions.setdefault(giver, set()).add(pause.minion)
        return {tenant: frozenset(members) for tenant, members in minions.items()}

    def _uneven_services(self, candidates: Sequence[Candidate], check: StartCheck) -> set[str]:
        """Return the services in which a waiting tenant has less than one with candidates.

        All waiting tasks are looked at only there, which takes milliseconds with thousands.
        """
        largest: dict[str, float] = {}
        for owner in {candidate.owner for candidate in candidates}:
            largest[owner.service] = max(largest.get(owner.service, 0.0), self._shares.share(owner))
        waiting = check.waiting_tenants() - {""} if largest else ()
        return {
            service
            for service, share in largest.items()
            if any(
                self._shares.share(RunOwner(tenant, service)) < (1.0 - SHARE_TOLERANCE) * share
                for tenant in waiting
            )
        }

    def _searches(
        self,
        services: Iterable[str],
        usable: Iterable[Minion],
        waiting: Callable[[], Iterable[WaitingTasks]],
        check: StartCheck,
        now: float,
    ) -> list[ExchangeSearch]:
        """Return a search in each service."""
        pools: dict[str, list[Minion]] = {service: [] for service in services}
        if not pools:
            return []
        for minion in usable:
            if minion.facts.service in pools:
                pools[minion.facts.service].append(minion)
        by_service: dict[str, list[WaitingTasks]] = {service: [] for service in pools}
        for tasks in waiting():
            if tasks.service in by_service:
                by_service[tasks.service].append(tasks)
        return [
            ExchangeSearch(
                service, pool, by_service[service], check, self._usage, self._limits, self._shares,
                now,
            )
            for service, pool in pools.items()
        ]  # fmt: skip

    def _count_stopped(self, search: ExchangeSearch, jobs: Mapping[str, Job]) -> None:
        """Count the exchanges of the stopped runs of a service, and forget the runs that ended."""
        for run, pause in list(self._pauses.items()):
            if pause.exchange.taker.service != search.service:
                continue
            if pause.minion.runs.get(run.key) is not run:
                del self._pauses[run]
            elif run.state is not RunState.PRESENT:
                search.add(pause.exchange, has_started=self._has_started(pause, jobs))

    def _review(
        self,
        search: ExchangeSearch,
        jobs: Mapping[str, Job],
        now: float,
        actions: ReclaimActions,
    ) -> None:
        """Stop the paused runs of a service whose place is still needed, and resume the others."""
        for run, pause in list(self._pauses.items()):
            if pause.exchange.taker.service != search.service:
                continue
            if run.state is not RunState.PRESENT:
                continue
            paused_seconds = now - pause.since
            has_started = self._has_started(pause, jobs)
            is_needed = has_started
            if not has_started:
                free_in_seconds = max(0.0, PAUSE_SECONDS - paused_seconds) + STOP_SECONDS
                exchange = search.find(pause.exchange.candidate, free_in_seconds)
                if exchange is None or (exchange.is_free and paused_seconds > MAX_PAUSE_SECONDS):
                    del self._pauses[run]
                    actions.paces += self._interference.resume(pause.minion, run, now)
                    continue
                pause.exchange = exchange
                is_needed = not exchange.is_free
            search.add(pause.exchange, has_started=has_started)
            if is_needed and paused_seconds >= PAUSE_SECONDS:
                self._stop(pause, now, actions)
                if not has_started:
                    pause.place_due_since = now

    def _resume_overdue(self, now: float, actions: ReclaimActions) -> None:
        """Resume the runs paused for ``MAX_PAUSE_SECONDS``, and forget those that have ended."""
        for run, pause in list(self._pauses.items()):
            if now - pause.since <= MAX_PAUSE_SECONDS:
                continue
            if pause.minion.runs.get(run.key) is not run:
                del self._pauses[run]
                continue
            if run.state is RunState.PRESENT:
                del self._pauses[run]
                actions.paces += self._interference.resume(pause.minion, run, now)

    def _has_started(self, pause: _Pause, jobs: Mapping[str, Job]) -> bool:
        """Return whether the waiting task has started and needs the processors of the run."""
        minion, run = pause.minion, pause.run
        if self._interference.idle_cpu(minion) >= MIN_FILLER_CPU_SHARE * run.step.room.cpu:
            return False
        for other in minion.runs.values():
            job = jobs.get(other.key.job_id)
            if job is None or other.planned_at <= pause.since or not other.step.is_filler:
                continue
            if job.submission.tenant == pause.exchange.taker.tenant:
                return True
        return False

    def _stop(self, pause: _Pause, now: float, actions: ReclaimActions) -> None:
        """Stop a paused run."""
        actions.stops.append((pause.minion, pause.run))
        self._candidates.record_stop(pause.minion, pause.run, now)
        self._log.record_stop(pause.exchange, now)

    def _pause_new(
        self,
        candidates: Sequence[Candidate],
        search: ExchangeSearch,
        jobs: Mapping[str, Job],
        now: float,
        actions: ReclaimActions,
    ) -> None:
        """Pause further runs, first those of the tenant most above its share."""
        if not candidates or not search.has_takers:
            return
        by_owner: dict[RunOwner, list[Candidate]] = {}
        for candidate in reversed(candidates):
            by_owner.setdefault(candidate.owner, []).append(candidate)
        used: set[Minion] = set()
        checks_left, pauses_left = MAX_CHECKED_RUNS, MAX_NEW_PAUSES
        while by_owner and checks_left > 0 and pauses_left > 0:
            owner = max(by_owner, key=search.share)
            if not search.is_above_share(owner):
                return
            candidate = by_owner[owner].pop()
            if not by_owner[owner]:
                del by_owner[owner]
            if candidate.minion in used:
                continue
            checks_left -= 1
            exchange = search.find(candidate, PAUSE_TO_END_SECONDS)
            if exchange is None or exchange.is_free:
                continue
            pauses_left -= 1
            used.add(candidate.minion)
            actions.decisions += self._log.record_pause(exchange, search, now)
            search.add(exchange)
            self._pauses[candidate.run] = _Pause(exchange, now)
            actions.paces += self._interference.pause(candidate.minion, candidate.run, now)
            actions.jobs.append(jobs[candidate.run.key.job_id])
