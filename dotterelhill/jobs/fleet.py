"""Scheduler state of minions: reported facts, runs, reserved resources and leases."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, StrEnum, auto

import msgspec

from dotterelhill.jobs.durations.speed import MinionSpeed
from dotterelhill.jobs.minions.clock import MINION_CLOCK_DRIFT, MinionClock
from dotterelhill.jobs.minions.health import MinionHealth
from dotterelhill.jobs.model import Step, TaskKey
from dotterelhill.jobs.resources import ResourceVector

# Covers the time between reading the clock here and sending the order that extends the lease.
LEASE_SLACK_SECONDS = 0.1
# A list of ends with this length may be truncated, so a run missing from it may be listed later.
END_LIST_LIMIT = 500


@dataclass(frozen=True, slots=True)
class MinionFacts:
    """Properties that a minion reports about itself.

    :param born_ms: Unix millisecond of the start of this incarnation
    :param labels: labels of the machine; the second one names its rack
    :param leaves_in_seconds: minimum time until a draining minion leaves
    """

    minion_id: str
    born_ms: int
    service: str
    address: str
    failure_domain: str
    labels: tuple[str, ...]
    capacity: ResourceVector
    is_draining: bool = False
    leaves_in_seconds: float = 0.0

    @property
    def rack(self) -> str:
        """Return the rack of the machine; empty when its labels name none."""
        return self.labels[1] if len(self.labels) > 1 else ""


class RunState(Enum):
    """State of a run.

    PLANNED: the plan is not durable yet, and no order was sent. SENT: the start order is sent but
    not answered. UNKNOWN: the answer to the start order was lost. PRESENT: the run is on the
    minion. STOPPING: the run has to be stopped.
    """

    PLANNED = auto()
    SENT = auto()
    UNKNOWN = auto()
    PRESENT = auto()
    STOPPING = auto()


@dataclass(slots=True, eq=False)
class Run:
    """One attempt to run a task on a minion.

    :param settled_at: loop time from which a newly requested report that lacks the run proves its
        absence; None while no report can prove it
    :param stop_sent_at: loop time of the newest stop order; None before the first
    :param percent: reported speed in percent of the pace
    :param tail_ms: reported tail latency of a serving task; None before the first report
    :param cpu_used: reported processor use in thousandths of a processor, for other tasks
    :param pace: share of its full speed at which a filler may work, in percent
    :param paced_at: loop time of the newest order of the pace
    :param pace_repeated_until: loop time until which the pace is ordered again, because an order
        without an answer may be carried out after newer ones
    :param present_clock_ms: clock of the minion when the run was first known to be present; None
        before
    :param is_reported: whether a report of this incarnation has listed the run
    :param is_proven: whether the run has lived long enough to not have crashed its minion
    :param is_inherited: whether an earlier leader planned the run
    :param is_partial: whether its duration is not that of a whole run at full pace
    :param is_extra: whether the run was started because another run of its task took too long
    :param saved_at: loop time of the first report of its newest checkpoint; None before the first
    :param fence: fence that its start order carried; see :class:`Minion`
    :param is_on_later_life: whether a later incarnation has answered its start, and may run it
    :param late_until: loop time until which its start order may be carried out late; -inf unless
        its answer is overdue
    """

    key: TaskKey
    run_id: int
    step: Step
    minion_id: str
    state: RunState
    planned_at: float
    settled_at: float | None = None
    stop_sent_at: float | None = None
    percent: int = 0
    tail_ms: float | None = None
    cpu_used: float | None = None
    pace: int = 100
    paced_at: float = 0.0
    pace_repeated_until: float = float("-inf")
    present_clock_ms: int | None = None
    is_reported: bool = False
    is_proven: bool = False
    is_inherited: bool = False
    is_partial: bool = False
    is_extra: bool = False
    saved_at: float | None = None
    fence: int = -1
    is_on_later_life: bool = False
    late_until: float = float("-inf")

    @property
    def may_start_late(self) -> bool:
        """Return whether its start order may still be carried out, as far as is known."""
        is_known_present = self.is_proven or self.present_clock_ms is not None
        return self.state is not RunState.PLANNED and not is_known_present


class EndKind(StrEnum):
    """Way in which a run ended, as reported by its minion."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunReport(msgspec.Struct, frozen=True, gc=False):
    """One running task in the report of a minion.

    A report has many rows, and a struct is created in native code.

    :param percent: speed of the task in percent of its pace
    :param measure: tail latency in ms of a serving task; for other tasks, processor use in
        thousandths of a processor
    """

    key: TaskKey
    run_id: int
    checkpoint: str
    percent: int
    measure: float | None


class EndReport(msgspec.Struct, frozen=True, gc=False):
    """One ended run in the report of a minion.

    :param number: sequence number of the end on its minion, from 1
    :param key: key of the task; None when its name is malformed
    """

    number: int
    key: TaskKey | None
    run_id: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class MinionReport:
    """Answer of a minion to a lease renewal.

    :param born_ms: incarnation of the minion, as Unix ms of its start
    :param clock_ms: monotonic clock of the minion in ms
    """

    born_ms: int
    clock_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]


@dataclass(slots=True, eq=False)
class Minion:
    """Scheduler state of one incarnation of a minion.

    :param is_listed: whether the platform currently lists the minion
    :param doubtful_facts: newest entry with an earlier birth, which may be of a later incarnation
        whose wall clock was set back; None without one
    :param is_synced: whether this leader has received a complete report of its runs
    :param is_answering: whether the newest poll was answered
    :param is_lease_closed: whether a stored record may tell later leaders that its lease is not
        extended
    :param own_lease_until: loop time by which the leases have expired that this leader or, before
        the first answer to it, calls to earlier incarnations have granted
    :param fence: part of the fencing token of calls to this minion that rises within a term: with
        each life of the minion and each loss of an answer. A minion that has carried out a call
        does nothing for calls with a lower fence, whatever life they were meant for.
    :param has_lapsed: whether its lease has ended since its newest report
    :param silent_at: loop time of the first poll without an answer; None while polls are answered
    :param later_life_at: loop time of the newest answer of a later incarnation, which may have
        extended the lease of all that runs there; -inf without one
    :param lease_until: loop time by which the last lease has certainly expired
    :param clock: bounds of its clock, which tell its answers from those of other incarnations
    :param clock_ms: clock of the minion in its newest answer; None before the first
    :param clock_at: loop time at which that answer arrived
    :param granted_until_ms: end of the newest lease on the minion's clock in ms; None before one
    :param last_report_at: loop time of the newest report
    :param processed_end: highest end number up to which all were processed and may be acknowledged
    :param unacknowledged: higher numbers of ends that were processed, each with the loop time from
        which it may be acknowledged
    :param has_listed_ends: whether its newest report lists ends, which can be acknowledged
    :param has_withheld_end: whether its newest report lists an end that must not be acknowledged
        yet
    :param durable_end: highest end number whose effect is durable, which acknowledges it
    :param health: failed and refused runs
    :param speed: ratio of observed to expected durations
    :param used: resources that runs reserve
    :param lasting_cpu: thousandths of a processor that lasting tasks reserve
    :param short_cpu: thousandths of a processor that tasks reserve that are neither lasting nor
        fillers
    :param filler_cpu: thousandths of a processor that fillers may use at their current pace
    :param lasting_images: number of lasting tasks by image
    :param change_count: number of times a run was attached or detached
    """

    facts: MinionFacts
    lease_until: float
    is_listed: bool = True
    doubtful_facts: MinionFacts | None = None
    is_synced: bool = False
    is_answering: bool = True
    is_lease_closed: bool = False
    own_lease_until: float = float("-inf")
    fence: int = 0
    has_lapsed: bool = False
    later_life_at: float = float("-inf")
    silent_at: float | None = None
    runs: dict[TaskKey, Run] = field(default_factory=dict)
    clock: MinionClock = field(default_factory=MinionClock)
    clock_ms: int | None = None
    clock_at: float = 0.0
    granted_until_ms: int | None = None
    last_report_at: float = 0.0
    processed_end: int = 0
    unacknowledged: dict[int, float] = field(default_factory=dict)
    has_listed_ends: bool = False
    has_withheld_end: bool = False
    durable_end: int = 0
    health: MinionHealth = field(default_factory=MinionHealth)
    speed: MinionSpeed = field(default_factory=MinionSpeed)
    used: ResourceVector = field(default_factory=ResourceVector)
    lasting_cpu: int = 0
    short_cpu: int = 0
    filler_cpu: float = 0.0
    lasting_images: Counter[str] = field(default_factory=Counter)
    change_count: int = 0

    @property
    def minion_id(self) -> str:
        """Return the id under which the platform lists the minion."""
        return self.facts.minion_id

    @property
    def incarnation(self) -> str:
        """Return the incarnation as ``minion_id@born_ms``."""
        return f"{self.facts.minion_id}@{self.facts.born_ms}"

    @property
    def acknowledged_end(self) -> int:
        """Return the number of the newest end that the next poll acknowledges; 0 for none.

        A later incarnation, whose ends are numbered anew, may carry out the poll, so nothing is
        acknowledged without need.
        """
        return self.durable_end if self.is_answering and self.has_listed_ends else 0

    @property
    def free(self) -> ResourceVector:
        """Return the capacity that no run reserves."""
        return self.facts.capacity.minus(self.used)

    @property
    def free_cpu(self) -> int:
        """Return the thousandths of a processor that no run reserves."""
        return self.facts.capacity.cpu - self.used.cpu

    def has_room_for(self, step: Step) -> bool:
        """Return whether a task of the step fits into the free capacity.

        Nothing fits while the runs of a minion that has shrunk reserve more than its capacity.
        Placement calls this for every minion and waiting step, so it creates no objects.
        """
        capacity, used, room = self.facts.capacity, self.used, step.room
        if capacity.memory_mb - used.memory_mb < room.memory_mb:
            return False
        if capacity.gpu - used.gpu < room.gpu:
            return False
        needed_cpu = 0 if step.is_filler else room.cpu
        return capacity.cpu - used.cpu >= needed_cpu

    def attach(self, run: Run) -> None:
        """Add a run and reserve its resources."""
        self.runs[run.key] = run
        self.used = self.used.plus(run.step.reserved_resources)
        self._update_counts(run, 1)

    def detach(self, run: Run) -> None:
        """Remove a run that has ended and free its resources."""
        if self.runs.get(run.key) is run:
            del self.runs[run.key]
            self.used = self.used.minus(run.step.reserved_resources)
            self._update_counts(run, -1)

    def set_pace(self, run: Run, pace: int, now: float) -> None:
        """Set the pace of a filler.

        :param pace: share of its full speed in percent
        """
        self.filler_cpu += run.step.room.cpu * (pace - run.pace) / 100.0
        run.pace, run.paced_at = pace, now
        run.is_partial = run.is_partial or pace < 100

    def _update_counts(self, run: Run, sign: int) -> None:
        """Update the processor sums for an attached (``sign`` 1) or detached (-1) run."""
        cpu = sign * run.step.room.cpu
        self.change_count += 1
        if run.step.is_filler:
            self.filler_cpu += cpu * run.pace / 100.0
        elif run.step.is_lasting:
            self.lasting_cpu += cpu
            self.lasting_images[run.step.image] += sign
            if not self.lasting_images[run.step.image]:
                del self.lasting_images[run.step.image]
        else:
            self.short_cpu += cpu

    def grant_lease(self, now: float, hold_seconds: float) -> int | None:
        """Extend the lease of all runs by an order sent now, and return its end for the order.

        :param hold_seconds: duration of the lease
        :returns: end of the lease on the minion's clock in ms; None when no lease can be granted:
            before its first answer, or while a stored record says that it is not extended
        """
        if self.clock_ms is None or self.is_lease_closed:
            return None
        self.extend_lease(now, hold_seconds)
        elapsed = (now - self.clock_at) * (1.0 - MINION_CLOCK_DRIFT)
        self.granted_until_ms = int(self.clock_ms + 1000.0 * (elapsed + hold_seconds))
        return self.granted_until_ms

    def start_lease(
        self, now: float, hold_seconds: float, *, may_extend: bool = True
    ) -> int | None:
        """Return the end of the lease for a start order sent now.

        The lease that the newest poll has granted is used while it is fresh, since a lease that an
        order extends delays the restart of all tasks of a minion that is lost.

        :param hold_seconds: duration of a full lease
        :param may_extend: whether the leader may renew leases at present
        :returns: end of the lease on the minion's clock in ms; None before its first answer, or
            when the lease would have to be extended and may not be
        """
        if self.granted_until_ms is not None and self.lease_until - now >= hold_seconds / 2:
            return self.granted_until_ms
        return self.grant_lease(now, hold_seconds) if may_extend else None

    def extend_lease(self, now: float, hold_seconds: float) -> None:
        """Extend the recorded lease for an order sent now that holds for ``hold_seconds``."""
        until = lease_end(now, hold_seconds)
        self.own_lease_until = max(self.own_lease_until, until)
        self.lease_until = max(self.lease_until, until)

    def run_count(self, job_id: str, occurrence: int, step: int) -> int:
        """Return the number of runs of one occurrence of a step on this minion."""
        count = 0
        for key in self.runs:
            if key.job_id == job_id and key.occurrence == occurrence and key.step == step:
                count += 1
        return count


def lease_end(sent_at: float, hold_seconds: float) -> float:
    """Return the time by which a lease that starts at ``sent_at`` has certainly expired.

    >>> round(lease_end(0.0, 9.8), 6)
    10.1
    """
    return sent_at + hold_seconds / (1.0 - MINION_CLOCK_DRIFT) + LEASE_SLACK_SECONDS
