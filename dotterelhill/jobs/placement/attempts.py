"""Sizes of tasks that recently fitted no minion, so that they are not tried in vain again.

Explanation
===========

Tasks that differ only in their size form a class. Where a task does not fit, no larger one of its
class fits, and neither does one later while the minion stays as it is. So a class remembers the
sizes that fitted no minion, each with the round of the attempt. A task that is as large as one of
them is tried only on minions that have changed since, and not at all where none has.

Whether a filler fits depends on the load of serving tasks, which changes all the time. So fillers
are tried again on all minions, at an interval.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from math import inf

from dotterelhill.jobs.fleet import Minion, MinionFacts
from dotterelhill.jobs.model import Step
from dotterelhill.jobs.placement.lasting_claims import LastingClaims
from dotterelhill.jobs.placement.task_size import TaskClass, TaskSize
from dotterelhill.jobs.placement.waiting import RankedJob, WaitingJob

# With thousands of waiting fillers, each attempt to place them takes milliseconds, while headroom
# changes within some tenths of a second.
FILLER_RETRY_SECONDS = 0.1
# Rounds in which they are tried take at most this share of the time, so that short tasks, which any
# round may start, do not wait for them. They are tried at the latest after the longer interval.
MAX_FILLER_RETRY_SHARE = 0.2
MAX_FILLER_RETRY_SECONDS = 2.0
# Clients choose the sizes of tasks; the limit bounds the memory that they use.
MAX_SIZES = 16_384


@dataclass(slots=True)
class _SeenMinion:
    """A minion as it was when tasks were last tried on it.

    :param round_number: newest round in which tasks might start on it
    :param changed_round: newest round before which it may have gained room
    """

    facts: MinionFacts
    change_count: int
    claimed_cpu: int
    is_restricted: bool
    round_number: int
    changed_round: int


@dataclass(slots=True)
class _Pool:
    """Minions of a service.

    :param changed_rounds: newest round before which each minion may have gained room
    :param newest_change: the largest of them
    """

    changed_rounds: list[int] = field(default_factory=list)
    newest_change: int = 0


class Attempts:
    """Memory of attempts to start tasks that found no minion.

    :param lasting_claims: claims of lasting tasks, which short tasks have to leave free
    """

    def __init__(self, lasting_claims: LastingClaims) -> None:
        self._lasting_claims = lasting_claims
        self._round_number = 0
        self._seen: dict[Minion, _SeenMinion] = {}
        self._pools: dict[str, _Pool] = {}
        self._classes: dict[tuple[str, str, str], TaskClass] = {}
        self._size_count = 0
        # Changes when all sizes are forgotten, so that jobs look up theirs again.
        self._generation = 0
        self._fillers_since = -inf
        # Duration of the newest round in which fillers were tried on all minions.
        self._retry_round_seconds = 0.0
        self._is_retry_round = False
        self._tenant_failures: set[tuple[str, TaskSize]] = set()

    @property
    def _retry_seconds(self) -> float:
        """Return the interval in which fillers are tried again on all minions."""
        longer_seconds = self._retry_round_seconds / MAX_FILLER_RETRY_SHARE
        return max(FILLER_RETRY_SECONDS, min(MAX_FILLER_RETRY_SECONDS, longer_seconds))

    def begin_round(
        self,
        by_service: Mapping[str, Sequence[Minion]],
        restricted: Collection[Minion],
        reclaimed: Collection[Minion],
        now: float,
    ) -> None:
        """Find the minions that have changed since the previous round.

        :param by_service: minions on which tasks may start
        :param restricted: minions on which something else than free capacity and the claims of
            lasting tasks keeps tasks from starting; they count as changed for as long
        :param reclaimed: minions on which a run was stopped for a task, which may be a filler and
            has to be tried in the round in which the place is free
        """
        self._round_number += 1
        self._tenant_failures = set()
        if self._size_count > MAX_SIZES:
            self._classes, self._size_count = {}, 0
            self._generation += 1
        self._pools = {}
        earlier, self._seen = self._seen, {}
        for service, minions in by_service.items():
            pool = self._pools[service] = _Pool()
            for minion in minions:
                seen = self._seen[minion] = self._see(
                    minion, earlier.get(minion), minion in restricted
                )
                pool.changed_rounds.append(seen.changed_round)
            pool.newest_change = max(pool.changed_rounds, default=0)
        has_place = any(
            minion in self._seen and self._seen[minion].changed_round == self._round_number
            for minion in reclaimed
        )
        self._is_retry_round = has_place or now - self._fillers_since > self._retry_seconds
        if self._is_retry_round:
            self._fillers_since = now
            for task_class in self._classes.values():
                if task_class.is_filler:
                    task_class.forget()

    def _see(self, minion: Minion, seen: _SeenMinion | None, is_restricted: bool) -> _SeenMinion:
        """Return a minion as it is now, and whether it has changed."""
        claimed_cpu, number = self._lasting_claims.claimed_cpu(minion), self._round_number
        if seen is None:
            return _SeenMinion(
                minion.facts, minion.change_count, claimed_cpu, is_restricted, number, number
            )
        if (
            seen.change_count != minion.change_count
            or seen.facts is not minion.facts
            or seen.claimed_cpu != claimed_cpu
            or seen.is_restricted
            or is_restricted
        ):
            seen.facts, seen.change_count = minion.facts, minion.change_count
            seen.claimed_cpu, seen.is_restricted = claimed_cpu, is_restricted
            seen.changed_round = number
        seen.round_number = number
        return seen

    def record_planning(self, seconds: float) -> None:
        """Record how long it took to plan the newest round, in seconds."""
        if self._is_retry_round:
            self._retry_round_seconds = seconds

    def record_start(self, minion: Minion) -> None:
        """Record that a task was started, which leaves less room than before."""
        seen = self._seen.get(minion)
        if seen is not None and minion.change_count == seen.change_count + 1:
            seen.change_count = minion.change_count

    def record_change(self, minion: Minion) -> None:
        """Let a minion count as changed in the next round."""
        seen = self._seen.get(minion)
        if seen is not None:
            seen.change_count = -1

    def record_failure(self, size: TaskSize, tenant: str = "") -> None:
        """Record that a size fits no minion in this round.

        :param tenant: the only tenant of which that is known; empty if it holds for all
        """
        if tenant:
            self._tenant_failures.add((tenant, size))
            return
        if size.task_class.is_filler:
            size.task_class.record_failure(size.room, inf)
        else:
            size.task_class.record_failure(size.room, self._round_number)

    def size_of(self, step: Step, service: str) -> TaskSize:
        """Return the size and class of the tasks of a step."""
        # Within a class, only the size decides which minions fit.
        key = (step.kind, "" if step.kind == "short" else step.image, service)
        task_class = self._classes.get(key)
        if task_class is None:
            task_class = self._classes[key] = TaskClass(service, step.is_filler)
        size = task_class.sizes.get(step.room)
        if size is None:
            size = task_class.sizes[step.room] = TaskSize(task_class, step.room)
            self._size_count += 1
        return size

    def candidates(self, size: TaskSize, minions: Sequence[Minion]) -> Sequence[int]:
        """Return the indices of the minions of the pool on which a task may fit.

        :param minions: the pool of the service as given for the round
        """
        failed_round = size.failed_round
        if failed_round < 0:
            return range(len(minions))
        pool = self._pools[size.task_class.service]
        if failed_round >= pool.newest_change:
            return []
        return [
            number
            for number, changed_round in enumerate(pool.changed_rounds)
            if changed_round > failed_round
        ]

    def startable(
        self, ranked: Iterable[RankedJob], may_backfill: Callable[[str], bool]
    ) -> Iterator[RankedJob]:
        """Yield the jobs of which a task may start, each as it is when it is requested.

        :param may_backfill: returns whether to try tasks of a service although others of their size
            fit nowhere; once it returns false, it does so until the round ends
        """
        futile = set()
        for entry in ranked:
            # Sizes that found no minion find none until the round ends.
            if entry[2].sizes in futile:
                continue
            if self.is_futile(entry) and not may_backfill(entry[1].service):
                futile.add(entry[2].sizes)
                continue
            yield entry

    def is_futile(self, entry: RankedJob) -> bool:
        """Return whether no waiting task of a job can start in this round."""
        _, queue, waiting = entry
        sizes = waiting.sizes
        if sizes is None or waiting.sizes_generation != self._generation:
            sizes = waiting.sizes = self._sizes_of(waiting, queue.service)
            waiting.sizes_generation = self._generation
        if not sizes:
            return False
        pool = self._pools.get(queue.service)
        if pool is None:
            return True
        newest_change = pool.newest_change
        tenant = waiting.job.submission.tenant
        for size in sizes:
            if size.failed_round < newest_change and (tenant, size) not in self._tenant_failures:
                return False
        return True

    def _sizes_of(self, waiting: WaitingJob, service: str) -> tuple[TaskSize, ...]:
        """Return the sizes of the waiting tasks of a job.

        :returns: an empty tuple if it has tasks for which the size alone decides nothing: lasting
            tasks may start on minions that are set aside, and gangs start as a whole
        """
        sizes = []
        for (_, index), keys in waiting.pending.items():
            step = waiting.job.submission.steps[index]
            if step.is_lasting or step.is_gang:
                return ()
            if keys:
                sizes.append(self.size_of(step, service))
        return tuple(sizes)
