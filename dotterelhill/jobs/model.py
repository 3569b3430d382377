"""Data model of client jobs: steps, tasks, resource requests and progress."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from functools import lru_cache

import msgspec

from dotterelhill.jobs.queues import Queue
from dotterelhill.jobs.resources import ResourceVector

# A job that ends later than this factor times its objective has no value for its client.
TOO_LATE_FACTOR = 3.0
# Python refuses to convert numbers of more than 4,300 digits.
MAX_NUMBER_DIGITS = 18
# Several times the number of tasks that run at once on a fleet of hundreds of minions.
MAX_PARSED_NAMES = 32768


@dataclass(frozen=True, slots=True)
class Step:
    """One step of a job: a set of tasks with the same requirements.

    :param count: number of tasks
    :param room: resources that each task requests
    :param estimate_seconds: estimated duration of a task
    :param after: indices of the steps whose tasks must all be done before this step starts
    :param is_checkpointing: tasks report checkpoints from which they can resume
    :param is_gang: tasks can work only if all of them run
    :param is_same_rack: client asks for all tasks in one rack
    :param required_label: label that the minion must have; empty for none
    :param data_rack: rack that holds the input data; tasks in other racks run slower
    :param anti_affinity: maximum number of tasks of the step on one minion; 0 for no limit
    :param is_lasting: tasks run until they are stopped, as serving tasks do
    :param image: program that the tasks run; tasks of one image interfere alike
    :param target_tail_ms: target for the tail latency of a serving task in ms; 0 for none
    :param is_filler: tasks use idle processors and reserve none
    :param may_miss: number of tasks that may be unavailable at once because of the scheduler; None
        for any number
    """

    count: int
    room: ResourceVector
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
    def kind(self) -> str:
        """Return the kind of the tasks for the log: lasting, filler or short."""
        if self.is_lasting:
            return "lasting"
        return "filler" if self.is_filler else "short"

    @property
    def reserved_resources(self) -> ResourceVector:
        """Return the share of a minion's capacity that a task reserves."""
        if self.is_filler:
            return ResourceVector(0, self.room.memory_mb, self.room.gpu)
        return self.room


@dataclass(frozen=True, slots=True)
class Schedule:
    """Schedule of a job that runs more than once.

    :param count: number of occurrences
    :param first_ms: Unix millisecond at which occurrence 0 is due
    :param interval_ms: milliseconds between two occurrences
    """

    count: int
    first_ms: int
    interval_ms: int


@dataclass(frozen=True, slots=True)
class Submission:
    """A job as submitted by a client.

    :param queue: queue configuration at the time the job was accepted; the queue may be removed
        later
    :param accepted_ms: Unix millisecond at which the entry process stored it
    :param payload: text that every start order passes to the minion
    :param tenant: tenant that owns the job; empty for a job of an anonymous queue
    :param domain: failure domain of the entry process that accepted it; empty if not known
    """

    job_id: str
    queue: Queue
    accepted_ms: int
    payload: str
    steps: tuple[Step, ...]
    schedule: Schedule | None = None
    tenant: str = ""
    domain: str = ""

    @property
    def occurrence_count(self) -> int:
        """Return the number of occurrences; each runs all steps once."""
        return self.schedule.count if self.schedule else 1

    def due_ms(self, occurrence: int) -> int:
        """Return the earliest start of an occurrence in Unix ms; 0 when it may start at once."""
        if self.schedule is None:
            return 0
        return self.schedule.first_ms + occurrence * self.schedule.interval_ms


def critical_path_seconds(steps: tuple[Step, ...]) -> float:
    """Return the estimated duration of the critical path through the steps in seconds.

    >>> steps = (
    ...     Step(1, ResourceVector(), 1.0),
    ...     Step(1, ResourceVector(), 2.0, after=(0,)),
    ...     Step(1, ResourceVector(), 2.5),
    ... )
    >>> critical_path_seconds(steps)
    3.0
    """
    ends: list[float] = []
    for step in steps:
        start = max((ends[index] for index in step.after), default=0.0)
        ends.append(start + step.estimate_seconds)
    return max(ends, default=0.0)


class Timeliness(IntEnum):
    """Expected end of a job relative to its objective; jobs are ranked in this order."""

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


class JobState(StrEnum):
    """State of a job as reported to clients."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class TaskKey(msgspec.Struct, frozen=True, order=True, cache_hash=True, gc=False):
    """Unique key of a task.

    Keys are hashed and compared for each row of each report, which a struct does in native code.

    >>> str(TaskKey("5c0e7a21d94b36f8", 0, 1, 17))
    '5c0e7a21d94b36f8.0.1.17'
    """

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        """Return the task name used in messages to minions."""
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @staticmethod
    @lru_cache(MAX_PARSED_NAMES)
    def parse(name: str) -> TaskKey | None:
        """Return the key that a task name encodes, or None when the name is malformed.

        >>> TaskKey.parse("5c0e7a21d94b36f8.0.1.17").index
        17
        >>> TaskKey.parse("x") is None
        True
        """
        parts = name.split(".")
        if len(parts) != 4:
            return None
        for part in parts[1:]:
            if not part.isdecimal() or len(part) > MAX_NUMBER_DIGITS:
                return None
        return TaskKey(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


@dataclass(frozen=True, slots=True)
class Assignment:
    """A run of a task that may be present on a minion.

    :param born_ms: incarnation of the minion, as Unix ms of its start
    :param is_proven: whether the run has lived long enough to not have crashed its minion
    :param is_copy: whether another run of the task may be present
    """

    minion_id: str
    born_ms: int
    run_id: int
    is_proven: bool = False
    is_copy: bool = False

    @property
    def incarnation(self) -> str:
        """Return the incarnation of the minion as ``minion_id@born_ms``."""
        return f"{self.minion_id}@{self.born_ms}"


@dataclass(slots=True)
class Task:
    """Execution state of one task.

    A task of a speculative step may have a copy: a second run on another minion. There is a copy
    only beside a first run. When the first run ends without success, the copy takes its place.

    :param run_id: number of the newest run that is no copy; 0 before the first
    :param minion_id: minion of that run while the run may be present; empty otherwise
    :param minion_born_ms: incarnation of that minion, as Unix ms of its start
    :param failures: number of runs that failed
    :param checkpoint: newest checkpoint; empty for none
    :param idle_since: loop time from which the task has not run, as far as this leader knows; None
        while it runs, or before it waits
    :param crashes: number of minions that crashed while a run might have caused it
    :param doubtful_crashes: number of those crashes under which the task may not have run, or that
        a suspected task of another job may have caused
    :param is_proven: whether the newest run has lived long enough to not have crashed its minion
    :param copy_run_id: number of the newest copy; 0 before the first
    :param copy_minion_id: minion of the copy while it may be present; empty otherwise
    :param copy_born_ms: incarnation of that minion, as Unix ms of its start
    :param is_copy_proven: as ``is_proven``, for the copy
    :param is_restarted: whether a run was stopped to start the task again elsewhere
    :param open_doubts: incarnations that may only have been cut off when their crash was counted,
        as ``minion_id@born_ms``
    :param late_starts: starts without an answer that may be carried out late, each as the id of the
        minion, the number of the run and the Unix ms at which the answer was overdue
    """

    key: TaskKey
    is_done: bool = False
    run_id: int = 0
    minion_id: str = ""
    minion_born_ms: int = 0
    failures: int = 0
    checkpoint: str = ""
    idle_since: float | None = None
    crashes: int = 0
    doubtful_crashes: int = 0
    is_proven: bool = False
    copy_run_id: int = 0
    copy_minion_id: str = ""
    copy_born_ms: int = 0
    is_copy_proven: bool = False
    is_restarted: bool = False
    open_doubts: tuple[str, ...] = ()
    late_starts: tuple[tuple[str, int, int], ...] = ()

    @property
    def is_assigned(self) -> bool:
        """Return whether a run of this task may be present on a minion."""
        return bool(self.minion_id)

    @property
    def assignments(self) -> tuple[Assignment, ...]:
        """Return the runs that may be present: none, the first run, or that and its copy."""
        if not self.minion_id:
            return ()
        first = Assignment(self.minion_id, self.minion_born_ms, self.run_id, self.is_proven)
        if not self.copy_minion_id:
            return (first,)
        return (
            first,
            Assignment(
                self.copy_minion_id,
                self.copy_born_ms,
                self.copy_run_id,
                self.is_copy_proven,
                is_copy=True,
            ),
        )

    def assign(self, minion_id: str, born_ms: int) -> int:
        """Assign a new first run to a minion and return its number."""
        self.run_id = max(self.run_id, self.copy_run_id) + 1
        self.minion_id, self.minion_born_ms, self.is_proven = minion_id, born_ms, False
        return self.run_id

    def assign_copy(self, minion_id: str, born_ms: int) -> int:
        """Assign a copy of the first run to a minion and return its number."""
        self.copy_run_id = max(self.run_id, self.copy_run_id) + 1
        self.copy_minion_id, self.copy_born_ms, self.is_copy_proven = minion_id, born_ms, False
        return self.copy_run_id

    def assignment_of(self, minion_id: str, run_id: int) -> Assignment | None:
        """Return the assignment of a run on a minion; None if the run is not a current one."""
        for assignment in self.assignments:
            if assignment.minion_id == minion_id and assignment.run_id == run_id:
                return assignment
        return None

    def release(self, assignment: Assignment) -> None:
        """Remove a run that is no longer present; a copy takes the place of the first run."""
        # The copy may have taken the place of the first run since the assignment was read.
        if self.minion_id == assignment.minion_id and self.run_id == assignment.run_id:
            self.minion_id, self.minion_born_ms = self.copy_minion_id, self.copy_born_ms
            if self.copy_minion_id:
                self.run_id, self.is_proven = self.copy_run_id, self.is_copy_proven
        self.copy_minion_id, self.copy_born_ms = "", 0

    def move(self, assignment: Assignment, born_ms: int) -> None:
        """Record that a run may begin on a later incarnation of its minion instead.

        :param born_ms: that incarnation, as Unix ms of its start
        """
        if assignment.is_copy:
            self.copy_born_ms = born_ms
        else:
            self.minion_born_ms = born_ms

    def mark_proven(self, run_id: int) -> None:
        """Mark a run as not having crashed its minion."""
        if run_id == self.run_id:
            self.is_proven = True
        elif run_id == self.copy_run_id:
            self.is_copy_proven = True


@dataclass(slots=True)
class Job:
    """A submitted job and its progress.

    :param progress_parts: number of parts in which the progress is stored
    :ivar job_id: job id, which the client chose
    :param state: current state, which may not be stored yet
    :param stored_state: state in the store; clients see this one, but a job that has not begun as
        ``QUEUED``
    :param tasks: tasks with execution state, by key
    :param done_counts: number of tasks done, by occurrence and step, from the first unfinished
        occurrence on
    :param done_bits: likewise the bitmap of the tasks done; bit ``i`` for task index ``i``
    :param done_steps: number of steps of all occurrences of which all tasks are done
    :param first_unfinished: first occurrence of which not all tasks are done
    :param ended_at: loop time in seconds at which the job reached a final state
    :param has_begun: whether a run is known to have begun on a minion; the state is ``RUNNING`` as
        soon as one is planned
    """

    submission: Submission
    state: JobState = JobState.QUEUED
    stored_state: JobState = JobState.QUEUED
    tasks: dict[TaskKey, Task] = field(default_factory=dict)
    done_counts: dict[tuple[int, int], int] = field(default_factory=dict)
    done_bits: dict[tuple[int, int], int] = field(default_factory=dict)
    done_steps: int = 0
    first_unfinished: int = 0
    is_cancellation_requested: bool = False
    ended_at: float = 0.0
    has_begun: bool = False
    progress_parts: int = 1
    job_id: str = field(init=False)

    def __post_init__(self) -> None:
        self.job_id = self.submission.job_id

    @property
    def is_ended(self) -> bool:
        """Return whether the job is in a final state."""
        return self.state in FINAL_STATES

    @property
    def has_proven_beginning(self) -> bool:
        """Return whether the state of the tasks proves that a run has begun.

        A run that was lost with its minion soon after its start leaves no proof.
        """
        if self.done_counts or self.first_unfinished:
            return True
        for task in self.tasks.values():
            if task.failures or task.checkpoint or task.is_proven or task.is_copy_proven:
                return True
        return False

    @property
    def has_assigned_task(self) -> bool:
        """Return whether a run of a task may be present on a minion."""
        return self.assigned_count(1) > 0

    def assigned_count(self, most: int) -> int:
        """Return the number of tasks with a run that may be present; ``most`` at most."""
        count = 0
        # The tasks that started last are the first to be found running.
        for task in reversed(self.tasks.values()):
            if count >= most:
                break
            if task.minion_id:
                count += 1
        return count

    def is_visible_to(self, tenant: str) -> bool:
        """Return whether a tenant may read and cancel the job.

        A job without a tenant may have been accepted before its queue asked for keys.
        """
        return self.submission.tenant in ("", tenant)

    def task(self, key: TaskKey) -> Task:
        """Return the execution state of a task and create it on first use."""
        task = self.tasks.get(key)
        if task is None:
            is_done = bool(self.done_bits or self.first_unfinished) and self.is_task_done(key)
            task = self.tasks[key] = Task(key, is_done=is_done)
        return task

    def is_task_done(self, key: TaskKey) -> bool:
        """Return whether a task is done, whose execution state may have been forgotten."""
        if key.occurrence < self.first_unfinished:
            return True
        bits = self.done_bits.get((key.occurrence, key.step), 0)
        return bool(bits >> key.index & 1)

    def done_tasks(self) -> Iterator[tuple[tuple[int, int], int]]:
        """Yield the bitmap of the done tasks of each occurrence and step with any."""
        for occurrence in range(self.first_unfinished):
            for number, step in enumerate(self.submission.steps):
                if (occurrence, number) not in self.done_bits:
                    yield (occurrence, number), (1 << step.count) - 1
        yield from self.done_bits.items()

    def forget_tasks(self, occurrence: int | None = None) -> None:
        """Forget the execution state of tasks without a run that need no further one.

        :param occurrence: occurrence whose tasks are all done; None for all that are done, and for
            all tasks of a job that has ended
        """
        if occurrence is None:
            keys = [key for key, task in self.tasks.items() if self.is_ended or task.is_done]
        else:
            keys = [
                TaskKey(self.job_id, occurrence, number, index)
                for number, step in enumerate(self.submission.steps)
                for index in range(step.count)
            ]
        for key in keys:
            task = self.tasks.get(key)
            if task is not None and not task.is_assigned:
                del self.tasks[key]

    def mark_done(self, task: Task) -> None:
        """Mark a task as done; a repeated call has no effect."""
        if task.is_done:
            return
        task.is_done = True
        occurrence_step = (task.key.occurrence, task.key.step)
        if task.key.occurrence < self.first_unfinished:
            return
        self.done_counts[occurrence_step] = self.done_counts.get(occurrence_step, 0) + 1
        self.done_bits[occurrence_step] = (
            self.done_bits.get(occurrence_step, 0) | 1 << task.key.index
        )
        step = self.submission.steps[task.key.step]
        if self.done_counts[occurrence_step] == step.count:
            self.done_steps += 1
            while self.first_unfinished < self.submission.occurrence_count:
                if not self.is_occurrence_done(self.first_unfinished):
                    break
                self._forget_occurrence(self.first_unfinished)
                self.first_unfinished += 1

    def _forget_occurrence(self, occurrence: int) -> None:
        """Forget which tasks of an occurrence are done, since all of them are."""
        if self.submission.schedule is None:
            return
        for step in range(len(self.submission.steps)):
            del self.done_counts[occurrence, step], self.done_bits[occurrence, step]

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step are done."""
        if occurrence < self.first_unfinished:
            return True
        return self.done_counts.get((occurrence, step), 0) >= self.submission.steps[step].count

    def is_occurrence_done(self, occurrence: int) -> bool:
        """Return whether all tasks of an occurrence are done."""
        for step in range(len(self.submission.steps)):
            if not self.is_step_done(occurrence, step):
                return False
        return True

    def is_step_ready(self, occurrence: int, step: int) -> bool:
        """Return whether all steps on which this one depends are done."""
        for earlier in self.submission.steps[step].after:
            if not self.is_step_done(occurrence, earlier):
                return False
        return True

    def is_complete(self) -> bool:
        """Return whether every task of every occurrence is done."""
        return self.done_steps == self.submission.occurrence_count * len(self.submission.steps)
