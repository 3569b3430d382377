from __future__ import annotations

import random

from behave import then, when

from dotterelhill.jobs.model import Job, JobState, Schedule, Step, Submission, Task, TaskKey
from dotterelhill.jobs.progress import apply_progress, encode_progress
from dotterelhill.jobs.progress_parts import (
    StoredProgress,
    apply_stored_progress,
    encode_parts,
    write_order,
)
from dotterelhill.jobs.queues import Queue
from dotterelhill.jobs.resources import ResourceVector

QUEUE = Queue("q", "h", "/q/", "pool")
CHANGES_PER_ROUND = 400
# Fields of a task that the next leader needs while the task is not done or has a run.
STORED_FIELDS = (
    "is_done",
    "run_id",
    "minion_id",
    "minion_born_ms",
    "failures",
    "checkpoint",
    "crashes",
    "doubtful_crashes",
    "is_proven",
    "copy_run_id",
    "copy_minion_id",
    "copy_born_ms",
    "is_copy_proven",
    "is_restarted",
    "open_doubts",
)


def new_job(source: random.Random) -> Job:
    """Return a job of one or two steps, some of them with a schedule or a tenant."""
    steps = tuple(Step(source.randint(1, 70), ResourceVector(1, 1)) for _ in range(2))
    schedule = Schedule(3, 0, 1) if source.random() < 0.3 else None
    tenant = source.choice(("", "t"))
    return Job(Submission("5c0e7a21d94b36f8", QUEUE, 1, "x", steps, schedule, tenant))


def change_task(job: Job, task: Task, source: random.Random) -> None:
    """Make one change of the kinds that the scheduler makes."""
    minion_id, born_ms = f"m{source.randint(0, 9)}", source.randint(1, 9)
    match source.randint(0, 9):
        case 0 | 1:
            if not task.is_done:
                task.assign(minion_id, born_ms)
        case 2:
            if task.minion_id:
                task.assign_copy(minion_id, born_ms)
        case 3 | 4:
            if task.assignments:
                task.release(source.choice(task.assignments))
        case 5:
            task.mark_proven(source.choice((task.run_id, task.copy_run_id)))
        case 6 | 7:
            job.mark_done(task)
        case 8:
            task.checkpoint = source.choice(("", "c1", "c2"))
            task.failures += source.randint(0, 1)
        case _:
            task.crashes += 1
            task.doubtful_crashes += source.randint(0, 1)
            task.open_doubts = (f"{minion_id}@{born_ms}",) * source.randint(0, 2)
            task.is_restarted = task.is_restarted or source.random() < 0.3


def state_of(task: Task) -> dict[str, object]:
    """Return the stored fields of a task; of a done one without a run, only that it is done."""
    names = STORED_FIELDS if task.minion_id or not task.is_done else ("is_done",)
    return {name: getattr(task, name) for name in names}


def needed_tasks(job: Job) -> dict[TaskKey, dict[str, object]]:
    """Return the state of the tasks that the record of a job has to hold."""
    needed = {}
    for task in job.tasks.values():
        if job.is_ended and not task.minion_id:
            continue
        needed[task.key] = state_of(task)
        if job.is_ended:
            # Whether a task of an ended job is done no longer matters.
            needed[task.key].pop("is_done")
    return needed


@when("{count:d} jobs go through {changes:d} random changes each with seed {seed:d}")
def change_jobs(context, count, changes, seed):
    source = random.Random(seed)
    context.differences = []
    context.comparisons = 0
    for _ in range(count):
        job = new_job(source)
        for _ in range(changes):
            step = source.randrange(2)
            index = source.randrange(job.submission.steps[step].count)
            occurrence = source.randrange(job.submission.occurrence_count)
            task = job.task(TaskKey(job.job_id, occurrence, step, index))
            change_task(job, task, source)
            job.has_begun = job.has_begun or source.random() < 0.02
            if source.random() < 0.01:
                job.state = JobState.CANCELLED
            restored = Job(job.submission)
            apply_progress(restored, encode_progress(job))
            found, expected = needed_tasks(restored), needed_tasks(job)
            context.comparisons += 1
            assert restored.state is job.state
            assert restored.has_begun is (job.has_begun and not job.is_ended)
            for key in found.keys() | expected.keys():
                if found.get(key) != expected.get(key):
                    context.differences.append((found.get(key), expected.get(key)))


@then("the progress that is stored after each change restores the same tasks")
def check_restored(context):
    assert context.comparisons and not context.differences, context.differences[0]


@when(
    "a job of {count:d} tasks goes through {rounds:d} rounds of changes in records of {size:d} "
    "bytes, and writes end early, with seed {seed:d}"
)
def change_large_job(context, count, rounds, size, seed):
    source = random.Random(seed)
    steps = (Step(count, ResourceVector(1, 1)), Step(3, ResourceVector(1, 1)))
    job = Job(Submission("5c0e7a21d94b36f8", QUEUE, 1, "x", steps))
    stored = StoredProgress(encode_progress(job))
    # States of each task that the store may hold: that of the last whole write, and later ones.
    possible = {}
    context.differences, context.part_counts = [], set()
    for _ in range(rounds):
        for _ in range(CHANGES_PER_ROUND):
            step = source.choice((0, 0, 0, 1))
            index = source.randrange(steps[step].count)
            change_task(job, job.task(TaskKey(job.job_id, 0, step, index)), source)
        job.has_begun = job.has_begun or source.random() < 0.2
        for key, state in needed_tasks(job).items():
            possible.setdefault(key, [None]).append(state)
        records = write_order(encode_parts(job, size), stored.parts)
        context.part_counts.add(job.progress_parts)
        assert all(len(value) <= size for _, value in records)
        written = source.choice((len(records), source.randrange(len(records) + 1)))
        for part, value in records[:written]:
            if part is None:
                stored.whole = value
            else:
                stored.parts[part] = value
        if written == len(records):
            for part in list(stored.parts):
                if part not in dict(records):
                    del stored.parts[part]
            possible = {key: states[-1:] for key, states in possible.items()}
        restored = Job(job.submission)
        apply_stored_progress(restored, stored)
        if written == len(records):
            assert restored.has_begun is job.has_begun
        found = needed_tasks(restored)
        for key, states in possible.items():
            if found.get(key) not in states:
                context.differences.append((key, found.get(key), states))


@then("each task is restored as it was stored by the newest write of its part")
def check_parts(context):
    assert not context.differences, context.differences[0]


@then("the progress took several parts")
def check_part_counts(context):
    assert max(context.part_counts) > 1, context.part_counts
