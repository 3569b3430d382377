"""Jobs that clients submit: steps of tasks, their needs and their durable progress."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from dotterelhill.jobs.queues import Queue

# A job whose chain of work takes longer than this factor times its objective is worth nothing.
LATE_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class Room:
    """Resources of a minion or a task.

    :param cpu: thousandths of a processor
    :param memory_mb: memory in MB
    :param gpu: accelerators
    """

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def plus(self, other: Room) -> Room:
        """Return the sum of both.

        >>> Room(1000, 10).plus(Room(500, 5))
        Room(cpu=1500, memory_mb=15, gpu=0)
        """
        return Room(self.cpu + other.cpu, self.memory_mb + other.memory_mb, self.gpu + other.gpu)

    def minus(self, other: Room) -> Room:
        """Return what is left after taking ``other`` away."""
        return Room(self.cpu - other.cpu, self.memory_mb - other.memory_mb, self.gpu - other.gpu)

    def has(self, other: Room) -> bool:
        """Return whether ``other`` fits."""
        return self.cpu >= other.cpu and self.memory_mb >= other.memory_mb and self.gpu >= other.gpu


@dataclass(frozen=True, slots=True)
class Step:
    """One step of a job: tasks that need the same.

    :param count: number of tasks
    :param room: what each task asks for
    :param estimate_seconds: rough duration of a task
    :param after: numbers of earlier steps whose tasks must all be done first
    :param required_label: label that the minion must have; empty for none
    :param data_rack: rack near the data; tasks elsewhere run slower
    :param anti_affinity: most tasks of the step on one minion; 0 for no limit
    :param image: what the tasks run; tasks of one image behave alike
    :param target_tail_ms: bound of the response times of a serving task; 0 for none
    :param is_filler: tasks use the processors that others leave unused
    :param may_miss: tasks that the scheduler may keep from work at once; None for any number
    """

    count: int
    room: Room
    estimate_seconds: float = 0.0
    after: tuple[int, ...] = ()
    is_checkpointing: bool = False
    is_gang: bool = False
    is_same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    anti_affinity: int = 0
    is_speculative: bool = False
    is_lasting: bool = False
    image: str = ""
    target_tail_ms: int = 0
    is_filler: bool = False
    may_miss: int | None = None

    @property
    def reserved(self) -> Room:
        """Return what a task takes of the minion's capacity."""
        if self.is_filler:
            return Room(0, self.room.memory_mb, self.room.gpu)
        return self.room


@dataclass(frozen=True, slots=True)
class Schedule:
    """Times of a job that runs more than once.

    :param count: number of occurrences
    :param first_ms: Unix millisecond at which occurrence 0 is due
    :param interval_ms: milliseconds between two occurrences
    """

    count: int
    first_ms: int
    interval_ms: int


@dataclass(frozen=True, slots=True)
class Submission:
    """A job as a client submitted it.

    :param queue: the queue as configured when the job was accepted; it may be removed later
    :param accepted_ms: Unix millisecond at which the entry process stored it
    :param payload: text that each start passes to the minion
    """

    job_id: str
    queue: Queue
    accepted_ms: int
    payload: str
    steps: tuple[Step, ...]
    schedule: Schedule | None = None

    @property
    def occurrences(self) -> int:
        """Return how often the steps run."""
        return self.schedule.count if self.schedule else 1

    def due_ms(self, occurrence: int) -> int:
        """Return the Unix millisecond before which an occurrence must not start."""
        if self.schedule is None:
            return 0
        return self.schedule.first_ms + occurrence * self.schedule.interval_ms


def chain_seconds(steps: tuple[Step, ...]) -> float:
    """Return the estimate of the longest chain of steps in seconds.

    >>> steps = (Step(1, Room(), 1.0), Step(1, Room(), 2.0, after=(0,)), Step(1, Room(), 2.5))
    >>> chain_seconds(steps)
    3.0
    """
    ends: list[float] = []
    for step in steps:
        start = max((ends[index] for index in step.after), default=0.0)
        ends.append(start + step.estimate_seconds)
    return max(ends, default=0.0)


class JobState(StrEnum):
    """What a client is told about a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


@dataclass(frozen=True, slots=True, order=True)
class TaskKey:
    """Name of a task.

    >>> str(TaskKey("5c0e7a21d94b36f8", 0, 1, 17))
    '5c0e7a21d94b36f8.0.1.17'
    """

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        """Return the name that minions use."""
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @staticmethod
    def parse(name: str) -> TaskKey | None:
        """Return the key of a name, or None when it names no task.

        >>> TaskKey.parse("5c0e7a21d94b36f8.0.1.17").index
        17
        >>> TaskKey.parse("x") is None
        True
        """
        parts = name.split(".")
        if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
            return None
        return TaskKey(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


@dataclass(slots=True)
class Task:
    """Progress of one task.

    :param run_id: number of the newest run that was ordered; 0 before the first
    :param minion_id: minion of that run while it may be running
    :param minion_born_ms: incarnation of that minion
    :param failures: runs that ended as failed
    :param checkpoint: newest saved progress; empty for none
    """

    key: TaskKey
    is_done: bool = False
    run_id: int = 0
    minion_id: str = ""
    minion_born_ms: int = 0
    failures: int = 0
    checkpoint: str = ""

    @property
    def is_assigned(self) -> bool:
        """Return whether a run of this task may be present on a minion."""
        return bool(self.minion_id)


@dataclass(slots=True)
class Job:
    """A submitted job and its progress.

    :param state: state as decided here
    :param shown_state: state as the store has it, which clients are told
    :param tasks: tasks that have been touched, by key
    :param ended_at: loop time at which a final state was decided
    """

    submission: Submission
    state: JobState = JobState.QUEUED
    shown_state: JobState = JobState.QUEUED
    tasks: dict[TaskKey, Task] = field(default_factory=dict)
    done_counts: dict[tuple[int, int], int] = field(default_factory=dict)
    is_cancel_wanted: bool = False
    ended_at: float = 0.0

    @property
    def job_id(self) -> str:
        """Return the id that the client chose."""
        return self.submission.job_id

    @property
    def is_ended(self) -> bool:
        """Return whether the job has reached a final state."""
        return self.state in FINAL_STATES

    def task(self, key: TaskKey) -> Task:
        """Return the progress of a task, made on first use."""
        task = self.tasks.get(key)
        if task is None:
            task = self.tasks[key] = Task(key)
        return task

    def mark_done(self, task: Task) -> None:
        """Count a task as done, once."""
        if task.is_done:
            return
        task.is_done = True
        place = (task.key.occurrence, task.key.step)
        self.done_counts[place] = self.done_counts.get(place, 0) + 1

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step have ended as done."""
        return self.done_counts.get((occurrence, step), 0) >= self.submission.steps[step].count

    def is_step_ready(self, occurrence: int, step: int) -> bool:
        """Return whether the steps that this one waits for are done."""
        for earlier in self.submission.steps[step].after:
            if not self.is_step_done(occurrence, earlier):
                return False
        return True

    def is_complete(self) -> bool:
        """Return whether every task of every occurrence has ended as done."""
        for occurrence in range(self.submission.occurrences):
            for step in range(len(self.submission.steps)):
                if not self.is_step_done(occurrence, step):
                    return False
        return True
