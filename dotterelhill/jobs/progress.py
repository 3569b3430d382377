"""Durable form of jobs: submissions, cancellations and progress as msgpack records."""

from __future__ import annotations

import msgspec

from dotterelhill.jobs.model import Job, JobState, Submission, Task, TaskKey

_STATES = tuple(JobState)


class _TaskRecord(msgspec.Struct, array_like=True):
    occurrence: int
    step: int
    index: int
    is_done: bool
    run_id: int
    failures: int
    minion_id: str = ""
    minion_born_ms: int = 0
    checkpoint: str = ""


class _ProgressRecord(msgspec.Struct, array_like=True):
    state: int
    tasks: list[_TaskRecord]


_PROGRESS_DECODER = msgspec.msgpack.Decoder(_ProgressRecord)
_ENCODER = msgspec.msgpack.Encoder()


def encode_submission(submission: Submission) -> bytes:
    """Return the record of a submission."""
    return _ENCODER.encode(submission)


_SUBMISSION_DECODER = msgspec.msgpack.Decoder(Submission)


def decode_submission(data: bytes) -> Submission:
    """Return the submission of a record.

    :raises msgspec.ValidationError: when the record is not a submission
    """
    return _SUBMISSION_DECODER.decode(data)


def encode_progress(job: Job) -> bytes:
    """Return the record of a job's progress.

    The record of a job in a final state holds the state and the runs that still have to be
    stopped.
    """
    tasks = []
    for task in job.tasks.values():
        if job.is_ended and not task.is_assigned:
            continue
        key = task.key
        tasks.append(
            _TaskRecord(
                key.occurrence,
                key.step,
                key.index,
                task.is_done,
                task.run_id,
                task.failures,
                task.minion_id,
                task.minion_born_ms,
                task.checkpoint,
            )
        )
    return _ENCODER.encode(_ProgressRecord(_STATES.index(job.state), tasks))


def apply_progress(job: Job, data: bytes) -> None:
    """Set a newly loaded job to the progress of its record.

    :raises msgspec.ValidationError: when the record is not one of progress
    """
    record = _PROGRESS_DECODER.decode(data)
    job.state = job.shown_state = _STATES[record.state]
    for row in record.tasks:
        key = TaskKey(job.job_id, row.occurrence, row.step, row.index)
        task = Task(
            key,
            run_id=row.run_id,
            minion_id=row.minion_id,
            minion_born_ms=row.minion_born_ms,
            failures=row.failures,
            checkpoint=row.checkpoint,
        )
        job.tasks[key] = task
        if row.is_done:
            job.mark_done(task)
