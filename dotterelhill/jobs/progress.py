"""Durable form of jobs: submissions, cancellations and progress as msgpack records."""

from __future__ import annotations

import msgspec

from dotterelhill.jobs.model import Job, JobState, Submission, Task, TaskKey

_STATES = tuple(JobState)


class _TaskRecord(msgspec.Struct, array_like=True):
    occurrence: int
    step: int
    index: int
    run_id: int
    failures: int
    minion_id: str = ""
    minion_born_ms: int = 0
    checkpoint: str = ""


class _DoneRecord(msgspec.Struct, array_like=True):
    """Tasks of one step that are done, a bit for each from the lowest index on."""

    occurrence: int
    step: int
    bits: bytes


class _ProgressRecord(msgspec.Struct, array_like=True):
    state: int
    tasks: list[_TaskRecord]
    done: list[_DoneRecord]


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

    A job is stored at each of its starts and ends, so a task that is done takes one bit only. The
    record of a job in a final state holds the state and the runs that still have to be stopped.
    """
    tasks = []
    done: dict[tuple[int, int], int] = {}
    for task in job.tasks.values():
        key = task.key
        if task.is_done and not job.is_ended:
            place = (key.occurrence, key.step)
            done[place] = done.get(place, 0) | 1 << key.index
        if (job.is_ended or task.is_done) and not task.is_assigned:
            continue
        tasks.append(
            _TaskRecord(
                key.occurrence,
                key.step,
                key.index,
                task.run_id,
                task.failures,
                task.minion_id,
                task.minion_born_ms,
                task.checkpoint,
            )
        )
    done_records = []
    for (occurrence, step), bits in done.items():
        data = bits.to_bytes((bits.bit_length() + 7) // 8, "little")
        done_records.append(_DoneRecord(occurrence, step, data))
    return _ENCODER.encode(_ProgressRecord(_STATES.index(job.state), tasks, done_records))


def apply_progress(job: Job, data: bytes) -> None:
    """Set a newly loaded job to the progress of its record.

    :raises msgspec.ValidationError: when the record is not one of progress
    """
    record = _PROGRESS_DECODER.decode(data)
    job.state = job.shown_state = _STATES[record.state]
    for row in record.tasks:
        key = TaskKey(job.job_id, row.occurrence, row.step, row.index)
        job.tasks[key] = Task(
            key,
            run_id=row.run_id,
            minion_id=row.minion_id,
            minion_born_ms=row.minion_born_ms,
            failures=row.failures,
            checkpoint=row.checkpoint,
        )
    for step in record.done:
        bits = int.from_bytes(step.bits, "little")
        for index in range(bits.bit_length()):
            if bits >> index & 1:
                job.mark_done(job.task(TaskKey(job.job_id, step.occurrence, step.step, index)))
