"""Msgpack records of submissions and job progress for durable storage."""

from __future__ import annotations

import msgspec

from dotterelhill.jobs.model import Job, JobState, Submission, Task, TaskKey

_STATES = tuple(JobState)


class TaskRecord(msgspec.Struct, array_like=True):
    """Stored state of a task that is not done or whose run may still be present."""

    occurrence: int
    step: int
    index: int
    run_id: int
    failures: int
    minion_id: str = ""
    minion_born_ms: int = 0
    checkpoint: str = ""
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


class _DoneRecord(msgspec.Struct, array_like=True):
    """Bitmap of the done tasks of one step: little-endian, bit ``i`` for task index ``i``."""

    occurrence: int
    step: int
    bits: bytes


class _ProgressRecord(msgspec.Struct, array_like=True):
    """Stored progress of a job.

    :param state: index of the job state in ``JobState``
    :param tenant: tenant that owns the job; the field may be absent in the record of other jobs
    :param has_begun: whether a run has begun; earlier builds neither write nor read it
    """

    state: int
    tasks: list[TaskRecord]
    done: list[_DoneRecord]
    tenant: str = ""
    has_begun: bool = False


_PROGRESS_DECODER = msgspec.msgpack.Decoder(_ProgressRecord)
_ENCODER = msgspec.msgpack.Encoder()


def encode_submission(submission: Submission) -> bytes:
    """Return the stored form of a submission."""
    return _ENCODER.encode(submission)


_SUBMISSION_DECODER = msgspec.msgpack.Decoder(Submission)


def decode_submission(data: bytes) -> Submission:
    """Return the submission that a stored record holds.

    :raises msgspec.ValidationError: when the record is not a submission
    """
    return _SUBMISSION_DECODER.decode(data)


def encode_progress(job: Job, *, has_tasks: bool = True) -> bytes:
    """Return the stored form of a job's progress.

    Progress is written at every start and end of a run, so each done task takes only one bit of
    the record. The record of a job in a final state holds only that state and the runs that may
    still be present and have to be stopped.

    :param has_tasks: whether the record holds the progress of the tasks
    """
    is_ended = job.is_ended
    rows, done_records = [], []
    if has_tasks:
        for task in job.tasks.values():
            if task.minion_id or not (task.is_done or is_ended):
                rows.append(task_row(task, task.checkpoint))
        if not is_ended:
            for (occurrence, step), bits in job.done_tasks():
                data = bits.to_bytes((bits.bit_length() + 7) // 8, "little")
                done_records.append((occurrence, step, data))
    fields: list[object] = [_STATES.index(job.state), rows, done_records]
    has_begun = job.has_begun and not is_ended
    if job.submission.tenant or has_begun:
        fields.append(job.submission.tenant)
    if has_begun:
        fields.append(has_begun)
    return _ENCODER.encode(fields)


def task_row(task: Task, checkpoint: str) -> tuple[object, ...]:
    """Return the fields of a :class:`TaskRecord` up to the last one that is not its default."""
    key = task.key
    row = (
        key.occurrence,
        key.step,
        key.index,
        task.run_id,
        task.failures,
        task.minion_id,
        task.minion_born_ms,
        checkpoint,
    )
    has_copy = task.copy_run_id or task.copy_minion_id or task.is_copy_proven
    if has_copy or task.is_restarted or task.open_doubts or task.late_starts:
        return (
            *row,
            task.crashes,
            task.doubtful_crashes,
            task.is_proven,
            task.copy_run_id,
            task.copy_minion_id,
            task.copy_born_ms,
            task.is_copy_proven,
            task.is_restarted,
            task.open_doubts,
            task.late_starts,
        )
    if task.crashes or task.doubtful_crashes or task.is_proven:
        return (*row, task.crashes, task.doubtful_crashes, task.is_proven)
    return row


def stored_tenant(data: bytes) -> str | None:
    """Return the tenant whose job's progress a record holds; None when it can't be decoded."""
    try:
        return _PROGRESS_DECODER.decode(data).tenant
    except msgspec.MsgspecError:
        return None


def stored_task(job_id: str, row: TaskRecord) -> Task:
    """Return the task that a stored record describes."""
    return Task(
        TaskKey(job_id, row.occurrence, row.step, row.index),
        run_id=row.run_id,
        minion_id=row.minion_id,
        minion_born_ms=row.minion_born_ms,
        failures=row.failures,
        checkpoint=row.checkpoint,
        crashes=row.crashes,
        doubtful_crashes=row.doubtful_crashes,
        is_proven=row.is_proven,
        copy_run_id=row.copy_run_id,
        copy_minion_id=row.copy_minion_id,
        copy_born_ms=row.copy_born_ms,
        is_copy_proven=row.is_copy_proven,
        is_restarted=row.is_restarted,
        open_doubts=row.open_doubts,
        late_starts=row.late_starts,
    )


def apply_progress(job: Job, data: bytes) -> None:
    """Restore the progress of a newly loaded job from its stored record.

    :raises msgspec.ValidationError: when the record does not hold progress
    """
    record = _PROGRESS_DECODER.decode(data)
    job.state = job.stored_state = _STATES[record.state]
    job.has_begun = record.has_begun
    for row in record.tasks:
        task = stored_task(job.job_id, row)
        job.tasks[task.key] = task
    for step in record.done:
        bits = int.from_bytes(step.bits, "little")
        for index in range(bits.bit_length()):
            if bits >> index & 1:
                job.mark_done(job.task(TaskKey(job.job_id, step.occurrence, step.step, index)))
