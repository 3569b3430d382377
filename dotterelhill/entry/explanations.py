"""Explanations of jobs, tasks and workers for operators, computed from the ledger."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Mapping

from dotterelhill.entry.admin import Explainer, Explanation
from dotterelhill.ledger import Holders, JobLedger, Placements, Task, TaskState, Worker
from dotterelhill.manifest import Resources

# An explanation of a job lists at most this many of its tasks one by one.
MAX_LISTED_TASKS = 20


def _format_resources(resources: Resources) -> str:
    text = f"{resources.cpu:g} processors, {resources.memory_gb:g} GB"
    return f"{text}, {resources.accelerators} accelerators" if resources.accelerators else text


def _quota_reason(placements: Placements, job: JobLedger) -> str | None:
    """Return a reason when the team's quota is too small for another task, or None."""
    manifest = placements.manifest
    member = manifest.members.get(job.job.member) if manifest else None
    quota = member.teams.get(job.job.team) if member else None
    if quota is None:
        return None
    used = placements.used(job.job.member, job.job.team).resources
    if (used + job.job.resources).is_within(quota):
        return None
    return (
        f"the quota of team {job.job.team} is used up: {_format_resources(used)} "
        f"of {_format_resources(quota)}"
    )


def _placement_obstacle(placements: Placements, job: JobLedger, worker: Worker) -> str:
    """Return why another task of a job can't start on a worker, or an empty string if it can."""
    allowed = job.job.constraints.failure_domains
    if allowed and worker.failure_domain not in allowed:
        return "in a failure domain that the job excludes"
    if placements.is_attested_lost(worker):
        return "attested as lost"
    if not placements.is_domain_in(worker.failure_domain):
        return "in a failure domain that is out"
    if worker.is_fenced:
        return "fenced"
    if not job.job.resources.is_within(worker.free):
        return "without enough free capacity"
    return ""


def _pending_reasons(
    placements: Placements, job: JobLedger, infeasible: Mapping[str, str]
) -> Iterator[str]:
    if job.name in infeasible:
        yield f"it can never run: {infeasible[job.name]}"
        return
    quota_reason = _quota_reason(placements, job)
    if quota_reason is not None:
        yield quota_reason
    obstacles = Counter(
        _placement_obstacle(placements, job, item) for item in placements.workers.values()
    )
    fitting_count = obstacles.pop("", 0)
    for obstacle, count in sorted(obstacles.items()):
        yield f"{count} of {len(placements.workers)} workers are {obstacle}"
    if not placements.workers:
        yield "no worker is known"
    if fitting_count and quota_reason is None:
        yield (
            f"{fitting_count} workers have room: it waits for its turn, for services on them that "
            "it would slow down, or for the log"
        )


def _job_condition(job: JobLedger) -> str:
    if not job.is_open:
        return "cancelled"
    counts = Counter(str(outcome) for outcome in job.ended.values())
    counts.update(pending=len(job.pending), running=len(job.runs))
    return ", ".join(f"{count} {state}" for state, count in sorted(counts.items()) if count)


def _task_facts(task: Task) -> dict[str, str]:
    text = f"{task.state}, attempt {task.attempt}"
    return {task.task: f"{text} on {task.worker}, token {task.token}" if task.worker else text}


def explain_job(
    placements: Placements, infeasible: Mapping[str, str], name: str
) -> Explanation | None:
    """Explain the current condition of a job, or of one task when ``name`` is a task id.

    :param infeasible: reasons why jobs can never run, by name of the job
    :returns: None when the ledger has no such job or task
    """
    task = placements.task(name)
    if task is not None:
        job = placements.jobs[task.job]
        is_pending = task.state is TaskState.PENDING
        reasons = tuple(_pending_reasons(placements, job, infeasible)) if is_pending else ()
        return Explanation("job", name, str(task.state), reasons, _task_facts(task))
    declared_job = placements.declared_jobs.get(name)
    if declared_job is None:
        return None
    reasons = ()
    if declared_job.is_open and declared_job.pending:
        reasons = tuple(_pending_reasons(placements, declared_job, infeasible))
    facts = {"declared in version": str(declared_job.declared_at)}
    for index in range(min(declared_job.job.tasks, MAX_LISTED_TASKS)):
        known_task = declared_job.task(index)
        facts |= _task_facts(known_task) if known_task is not None else {}
    return Explanation("job", name, _job_condition(declared_job), reasons, facts)


def explain_worker(placements: Placements, holders: Holders, name: str) -> Explanation | None:
    """Explain the current condition of a worker.

    :returns: None when the ledger has no such worker
    """
    worker = placements.workers.get(name)
    if worker is None:
        return None
    holding = holders.holding(f"worker:{name}")
    is_held = holding is not None and not holding.is_released
    reasons = []
    if placements.is_attested_lost(worker):
        reasons.append("operators attest that it is switched off")
    if not placements.is_domain_in(worker.failure_domain):
        reasons.append(f"failure domain {worker.failure_domain} is out: nothing starts here")
    if worker.is_fenced:
        reasons.append("its holder found it silent and fenced it: no lease is renewed")
    if not is_held:
        reasons.append("no entry process holds it: nothing starts here")
    facts = {
        "failure domain": worker.failure_domain,
        "rack": worker.rack,
        "holder": holding.holder if holding is not None and is_held else "none",
        "capacity": _format_resources(worker.capacity),
        "reserved": _format_resources(worker.reserved),
        "tasks": ", ".join(worker.runs) or "none",
    }
    condition = f"runs {len(worker.runs)} tasks" if worker.runs else "idle"
    return Explanation("worker", name, condition, tuple(reasons), facts)


def ledger_explainers(
    placements: Placements, holders: Holders, infeasible: Callable[[], Mapping[str, str]]
) -> dict[str, Explainer]:
    """Return the explainers of the admin port that need only the ledger, by kind.

    :param infeasible: returns ``Placement.infeasible_jobs``
    """
    return {
        "job": lambda name: explain_job(placements, infeasible(), name),
        "worker": lambda name: explain_worker(placements, holders, name),
    }
