"""Minions as the scheduler sees them: facts, present runs, room and leases."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, StrEnum, auto

from dotterelhill.jobs.model import Room, Step, TaskKey

# A minion's steady clock may be this much slower than true time (platform pages, running tasks).
MINION_CLOCK_DRIFT = 0.02
# Added to a lease's end for the time between reading the clock here and sending the order.
LEASE_SLACK_SECONDS = 0.1
# An end list of this length may be cut; a run that it lacks may still be listed later.
END_LIST_LIMIT = 500


@dataclass(frozen=True, slots=True)
class MinionFacts:
    """What a minion says of itself.

    :param born_ms: Unix millisecond of the start of this incarnation
    :param rack: rack of the machine; empty when its labels name none
    :param leaves_in_seconds: least time until a draining minion leaves
    """

    minion_id: str
    born_ms: int
    service: str
    address: str
    failure_domain: str
    labels: tuple[str, ...]
    capacity: Room
    is_draining: bool = False
    leaves_in_seconds: float = 0.0

    @property
    def rack(self) -> str:
        """Return the label that names the rack."""
        return self.labels[1] if len(self.labels) > 1 else ""


class RunState(Enum):
    """How far the order for a run has come.

    PLANNED: to be made durable before it is sent. SENT: no answer yet. UNKNOWN: the answer was
    lost. PRESENT: the minion has it. STOPPING: it is to end.
    """

    PLANNED = auto()
    SENT = auto()
    UNKNOWN = auto()
    PRESENT = auto()
    STOPPING = auto()


@dataclass(slots=True, eq=False)
class Run:
    """One start of a task on a minion.

    :param settled_at: time from which a list of the minion that lacks the run proves its absence
    :param stop_sent_at: time of the newest stop order; None before the first
    :param tail_ms: tail of response times of a serving task; None before the first report
    :param pace: share at which a filler may work, in percent
    :param paced_at: time at which the pace was last changed
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


class EndKind(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class RunReport:
    """One running task in a minion's report.

    :param percent: share of the pace at which it works
    :param measure: tail in ms of a serving task, thousandths of a processor in use otherwise
    """

    key: TaskKey
    run_id: int
    checkpoint: str
    percent: int
    measure: float | None


@dataclass(frozen=True, slots=True)
class EndReport:
    """One ended run in a minion's report.

    :param number: position in the minion's list of ends, from 1
    """

    number: int
    key: TaskKey | None
    run_id: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class MinionReport:
    """Answer of a minion to a renewal of its lease."""

    born_ms: int
    clock_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]


@dataclass(slots=True, eq=False)
class Minion:
    """One incarnation of a minion.

    :param is_listed: whether the platform lists it now
    :param is_synced: whether this holder of the fleet has its list of runs
    :param is_answering: whether its newest call was answered
    :param lease_until: time at which the last lease has ended for certain
    :param clock_ms: minion's clock when it last answered
    :param clock_at: time at which that answer was read
    :param processed_end: highest end taken over
    :param durable_end: highest end whose effect is stored
    :param avoid_until: no starts before this time
    :param lasting_cpu: thousandths of a processor that lasting tasks have reserved
    :param short_cpu: the same for other tasks but fillers
    :param filler_cpu: what fillers use at their pace
    :param lasting_images: number of lasting tasks by image
    :param change_count: rises when a run comes or goes
    """

    facts: MinionFacts
    lease_until: float
    is_listed: bool = True
    is_synced: bool = False
    is_answering: bool = True
    runs: dict[TaskKey, Run] = field(default_factory=dict)
    clock_ms: int | None = None
    clock_at: float = 0.0
    last_report_at: float = 0.0
    processed_end: int = 0
    durable_end: int = 0
    avoid_until: float = 0.0
    recent_failures: list[float] = field(default_factory=list)
    used: Room = field(default_factory=Room)
    lasting_cpu: int = 0
    short_cpu: int = 0
    filler_cpu: float = 0.0
    lasting_images: Counter[str] = field(default_factory=Counter)
    change_count: int = 0

    @property
    def minion_id(self) -> str:
        """Return the id under which the platform lists it."""
        return self.facts.minion_id

    @property
    def free(self) -> Room:
        """Return the capacity that no run has reserved."""
        return self.facts.capacity.minus(self.used)

    @property
    def free_cpu(self) -> int:
        """Return the thousandths of a processor that no run has reserved."""
        return self.facts.capacity.cpu - self.used.cpu

    def has_room_for(self, step: Step) -> bool:
        """Return whether a task of the step fits; asked for every minion at every placement."""
        capacity, used, room = self.facts.capacity, self.used, step.room
        if capacity.memory_mb - used.memory_mb < room.memory_mb:
            return False
        if capacity.gpu - used.gpu < room.gpu:
            return False
        return step.is_filler or capacity.cpu - used.cpu >= room.cpu

    def attach(self, run: Run) -> None:
        """Reserve room for a run."""
        self.runs[run.key] = run
        self.used = self.used.plus(run.step.reserved)
        self._count(run, 1)

    def detach(self, run: Run) -> None:
        """Give back the room of a run that has ended."""
        if self.runs.get(run.key) is run:
            del self.runs[run.key]
            self.used = self.used.minus(run.step.reserved)
            self._count(run, -1)

    def set_pace(self, run: Run, pace: int, now: float) -> None:
        """Note the share at which a filler works from now on."""
        self.filler_cpu += run.step.room.cpu * (pace - run.pace) / 100.0
        run.pace, run.paced_at = pace, now

    def _count(self, run: Run, sign: int) -> None:
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

    def lease_deadline_ms(self, now: float, hold_seconds: float) -> int | None:
        """Return a deadline on the minion's clock ``hold_seconds`` ahead; None when unknown."""
        if self.clock_ms is None:
            return None
        elapsed = (now - self.clock_at) * (1.0 - MINION_CLOCK_DRIFT)
        return int(self.clock_ms + 1000.0 * (elapsed + hold_seconds))

    def extend_lease(self, now: float, hold_seconds: float) -> None:
        """Note that an order sent now may keep its runs for ``hold_seconds``."""
        self.lease_until = max(self.lease_until, lease_end(now, hold_seconds))

    def count_on(self, job_id: str, occurrence: int, step: int) -> int:
        """Return the number of runs of one step on this minion."""
        count = 0
        for key in self.runs:
            if key.job_id == job_id and key.occurrence == occurrence and key.step == step:
                count += 1
        return count


def lease_end(sent_at: float, hold_seconds: float) -> float:
    """Return the time by which a lease granted by an order sent at ``sent_at`` has ended.

    >>> round(lease_end(0.0, 9.8), 6)
    10.1
    """
    return sent_at + hold_seconds / (1.0 - MINION_CLOCK_DRIFT) + LEASE_SLACK_SECONDS
