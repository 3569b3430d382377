"""Time for which overdue lasting tasks have waited beside room for them.

Explanation
===========

An overdue lasting task must not wait for 3 s while there is room for it twice over. Room counts as
taken only by runs that are known to be present: a slot between two short tasks is room as well. It
comes and goes with each short task, and the leader learns of an end later than it happens. So a
wait goes on until there was no room for ``MAX_GAP_SECONDS`` on end. Each step has a wait of its
own, since room for small tasks says nothing about large ones.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from dotterelhill.jobs.fleet import Minion, RunState
from dotterelhill.jobs.model import Step, TaskKey
from dotterelhill.jobs.placement.filler_claims import StepId, step_id
from dotterelhill.jobs.placement.waiting import (
    LASTING_OVERDUE_SECONDS,
    RankedJob,
    has_required_label,
    longest_idle_seconds,
    startable_lasting_steps,
)
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tenants.limits import TenantLimits

# The platform may look at the fleet only twice a second, and the leader sees a gap of 0.5 s as a
# longer one: it learns of an end later than it happens, and of the next start at once.
MAX_GAP_SECONDS = 0.8
# Of the 3 s, the rest is left for the end of short runs and the start of the task.
DUE_AFTER_SECONDS = 1.0
# Room for a second task of the same size has to be left before a wait counts.
COUNTED_SLOTS = 2
# A planned start is present after this time at the latest, or has failed.
STARTING_SECONDS = 1.0
# With rounds further apart, the wait counts as longer by two rounds beyond this time.
USUAL_ROUND_SECONDS = 0.1
PRESENT_STATES = (RunState.PRESENT, RunState.STOPPING)


@dataclass(slots=True)
class _Wait:
    """Wait of one step beside room.

    :param service: pool of the step
    :param since: loop time from which there has been room
    :param room_at: loop time at which there was room last
    :param slots: number of tasks for which there is room now
    :param seconds: time of the wait as of this round
    """

    service: str
    since: float
    room_at: float
    slots: int = 0
    seconds: float = 0.0

    @property
    def is_due(self) -> bool:
        """Return whether the wait has to end."""
        return self.seconds >= DUE_AFTER_SECONDS


class RoomWaits:
    """Waits of overdue lasting steps beside room, of all services.

    Steps are identified by job, occurrence and number of the step.

    :param limits: limits of tenants, beyond which lasting tasks wait beside any room
    """

    def __init__(self, limits: TenantLimits) -> None:
        self._limits = limits
        self._waits: dict[StepId, _Wait] = {}
        self._started_at: dict[Minion, float] = {}
        self._services: set[str] = set()

    @property
    def longest_seconds(self) -> float:
        """Return the longest wait beside room, in seconds."""
        return max((wait.seconds for wait in self._waits.values()), default=0.0)

    def longest_of(self, service: str) -> float:
        """Return the longest wait beside room in a service, in seconds."""
        waits = (wait.seconds for wait in self._waits.values() if wait.service == service)
        return max(waits, default=0.0)

    def seconds_of(self, identity: StepId) -> float:
        """Return the wait of a step beside room, in seconds."""
        wait = self._waits.get(identity)
        return wait.seconds if wait is not None else 0.0

    def is_due(self, identity: StepId) -> bool:
        """Return whether a step has waited beside room for ``DUE_AFTER_SECONDS``."""
        wait = self._waits.get(identity)
        return wait is not None and wait.is_due

    def has_waiting_tasks(self, service: str) -> bool:
        """Return whether lasting tasks of a service wait, those of gangs apart.

        A gang starts only where all its tasks fit, which one minion rarely decides.
        """
        return service in self._services

    def in_turn(self, ranked_lasting: Sequence[RankedJob]) -> Sequence[RankedJob]:
        """Return ranked jobs in the order in which their lasting tasks start.

        Jobs with due steps come first, among them the one that has waited longest beside room.
        """
        waits: dict[str, float] = {}
        for (job_id, _, _), wait in self._waits.items():
            if wait.is_due:
                waits[job_id] = max(waits.get(job_id, 0.0), wait.seconds)
        if not waits:
            return ranked_lasting
        return sorted(ranked_lasting, key=lambda entry: -waits.get(entry[2].job.job_id, 0.0))

    def claim_limit(self, identity: StepId) -> int:
        """Return how many tasks of a due step have to start before the others lack room."""
        return max(1, self._waits[identity].slots - COUNTED_SLOTS + 1)

    def record_start(self, minion: Minion, now: float) -> None:
        """Record that a start was planned on a minion."""
        self._started_at[minion] = now

    def update(
        self,
        by_service: Mapping[str, Sequence[Minion]],
        ranked_lasting: Iterable[RankedJob],
        round_seconds: float,
        now: float,
        unix_ms: int,
    ) -> None:
        """Update the waits at the begin of a round.

        :param by_service: minions on which tasks may start
        :param ranked_lasting: jobs with lasting steps of which tasks wait
        :param round_seconds: time between rounds
        :param unix_ms: wall-clock time in Unix ms, for the schedules of jobs
        """
        for minion, started_at in list(self._started_at.items()):
            if now - started_at > STARTING_SECONDS:
                del self._started_at[minion]
        earlier, self._waits, self._services = self._waits, {}, set()
        lost_seconds = 2.0 * max(0.0, round_seconds - USUAL_ROUND_SECONDS)
        rooms: dict[str, _Room] = {}
        for _, queue, waiting in ranked_lasting:
            service, tenant = queue.service, waiting.job.submission.tenant
            for step, keys in startable_lasting_steps(waiting, queue, unix_ms):
                if not self._limits.allowed_count(tenant, step, 1):
                    continue
                if not step.is_gang:
                    self._services.add(service)
                if longest_idle_seconds(waiting.job, keys, now) < LASTING_OVERDUE_SECONDS:
                    continue
                if service not in rooms:
                    rooms[service] = _Room(by_service.get(service, ()), self._started_at)
                slots = rooms[service].slots_of(step, keys[0])
                has_room = slots >= COUNTED_SLOTS * (step.count if step.is_gang else 1)
                identity = step_id(keys[0])
                wait = earlier.get(identity)
                if wait is None or now - wait.room_at >= MAX_GAP_SECONDS:
                    wait = _Wait(service, since=now, room_at=now)
                    if not has_room:
                        continue
                if has_room:
                    wait.room_at = now
                wait.slots = slots
                wait.seconds = now - wait.since + lost_seconds
                self._waits[identity] = wait


class _Room:
    """Free capacity of the minions of a service, as far as runs are known to be present.

    :param pool: minions of the service on which tasks may start
    :param starting: minions with starts of which the runs may not be present yet
    """

    def __init__(self, pool: Sequence[Minion], starting: Mapping[Minion, float]) -> None:
        free = [
            (minion, present_free(minion) if minion in starting else minion.free) for minion in pool
        ]
        free.sort(key=lambda one: -one[1].cpu)
        self._free = free
        self._slots: dict[tuple[ResourceVector, str, str, int], int] = {}

    def slots_of(self, step: Step, key: TaskKey) -> int:
        """Return how many tasks of a step fit.

        :param key: any task of the step
        """
        job_id = key.job_id if step.anti_affinity else ""
        identity = (step.room, step.required_label, job_id, step.anti_affinity)
        if identity not in self._slots:
            slots = 0
            for minion, free in self._free:
                if free.cpu < step.room.cpu:
                    break
                slots += _slots(minion, free, step, key)
            self._slots[identity] = slots
        return self._slots[identity]


def slots_in(free: ResourceVector, room: ResourceVector) -> int:
    """Return how many tasks that reserve ``room`` fit into free capacity.

    >>> slots_in(ResourceVector(32000, 50000), ResourceVector(10000, 20000))
    2
    """
    slots: int | None = None
    pairs = ((free.cpu, room.cpu), (free.memory_mb, room.memory_mb), (free.gpu, room.gpu))
    for have, need in pairs:
        if need:
            slots = max(0, have) // need if slots is None else min(slots, max(0, have) // need)
    return slots or 0


def present_free(minion: Minion) -> ResourceVector:
    """Return the capacity that no run reserves which is known to be present."""
    free = minion.free
    for run in minion.runs.values():
        if run.state not in PRESENT_STATES:
            free = free.plus(run.step.reserved_resources)
    return free


def _slots(minion: Minion, free: ResourceVector, step: Step, key: TaskKey) -> int:
    """Return how many tasks of a step fit into the free capacity of a minion."""
    slots = slots_in(free, step.reserved_resources)
    if not slots or not has_required_label(minion, step):
        return 0
    if step.anti_affinity:
        count = minion.run_count(key.job_id, key.occurrence, key.step)
        slots = min(slots, max(0, step.anti_affinity - count))
    return slots
