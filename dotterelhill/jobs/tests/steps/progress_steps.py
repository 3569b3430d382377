from __future__ import annotations

import random

from behave import then, when

from dotterelhill.jobs.model import Job, JobState, Schedule, Step, Submission, Task, TaskKey
from dotterelhill.jobs.progress import apply_progress, encode_progress
from dotterelhill.jobs.queues import Queue
from dotterelhill.jobs.resources import ResourceVector

QUEUE = Queue("q", "h", "/q/", "pool")
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
            if source.random() < 0.01:
                job.state = JobState.CANCELLED
            restored = Job(job.submission)
            apply_progress(restored, encode_progress(job))
            found, expected = needed_tasks(restored), needed_tasks(job)
            context.comparisons += 1
            assert restored.state is job.state
            for key in found.keys() | expected.keys():
                if found.get(key) != expected.get(key):
                    context.differences.append((found.get(key), expected.get(key)))


@then("the progress that is stored after each change restores the same tasks")
def check_restored(context):
    assert context.comparisons and not context.differences, context.differences[0]
