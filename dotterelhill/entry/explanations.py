"""Explanations of jobs, tasks and workers from the ledger, for operators."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Mapping

from dotterelhill.entry.admin import Explainer, Explanation
from dotterelhill.ledger import Holders, JobLedger, Placements, Task, TaskState, Worker
from dotterelhill.manifest import Resources

# Tasks of a job that are listed one by one.
LISTED_TASKS = 20


def _amounts_text(amounts: Resources) -> str:
    text = f"{amounts.cpu:g} processors, {amounts.memory_gb:g} GB"
    return f"{text}, {amounts.accelerators} accelerators" if amounts.accelerators else text


def _quota_reason(placements: Placements, job: JobLedger) -> str | None:
    manifest = placements.manifest
    member = manifest.members.get(job.job.member) if manifest else None
    quota = member.teams.get(job.job.team) if member else None
    if quota is None:
        return None
    used = placements.used(job.job.member, job.job.team).resources
    if (used + job.job.resources).is_within(quota):
        return None
    return (
        f"the quota of team {job.job.team} is used up: {_amounts_text(used)} "
        f"of {_amounts_text(quota)}"
    )


def _obstacle(placements: Placements, job: JobLedger, worker: Worker) -> str:
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
    obstacles = Counter(_obstacle(placements, job, item) for item in placements.workers.values())
    fitting = obstacles.pop("", 0)
    for obstacle, count in sorted(obstacles.items()):
        yield f"{count} of {len(placements.workers)} workers are {obstacle}"
    if not placements.workers:
        yield "no worker is known"
    if fitting and quota_reason is None:
        yield (
            f"{fitting} workers have room: it waits for its turn, for services on them that it "
            "would slow down, or for the log"
        )


def _condition_of(job: JobLedger) -> str:
    if not job.is_open:
        return "cancelled"
    counts = Counter(str(outcome) for outcome in job.ended.values())
    counts.update(pending=len(job.pending), running=len(job.runs))
    return ", ".join(f"{count} {state}" for state, count in sorted(counts.items()) if count)


def _task_facts(task: Task) -> dict[str, str]:
    text = f"{task.state}, attempt {task.attempt}"
    return {task.task: f"{text} on {task.worker}, token {task.token}" if task.worker else text}


def explained_job(
    placements: Placements, infeasible: Mapping[str, str], name: str
) -> Explanation | None:
    """Return why a job, or one of its tasks by its id, is in its present condition.

    :param infeasible: reasons of jobs that can never run, by job
    """
    task = placements.task(name)
    if task is not None:
        job = placements.jobs[task.job]
        is_pending = task.state is TaskState.PENDING
        reasons = tuple(_pending_reasons(placements, job, infeasible)) if is_pending else ()
        return Explanation("job", name, str(task.state), reasons, _task_facts(task))
    declared = placements.declared_jobs.get(name)
    if declared is None:
        return None
    reasons = ()
    if declared.is_open and declared.pending:
        reasons = tuple(_pending_reasons(placements, declared, infeasible))
    facts = {"declared in version": str(declared.declared_at)}
    for index in range(min(declared.job.tasks, LISTED_TASKS)):
        known = declared.task(index)
        facts |= _task_facts(known) if known is not None else {}
    return Explanation("job", name, _condition_of(declared), reasons, facts)


def explained_worker(placements: Placements, holders: Holders, name: str) -> Explanation | None:
    """Return what the ledger knows of a worker and who holds it."""
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
        "capacity": _amounts_text(worker.capacity),
        "reserved": _amounts_text(worker.reserved),
        "tasks": ", ".join(worker.runs) or "none",
    }
    condition = f"runs {len(worker.runs)} tasks" if worker.runs else "idle"
    return Explanation("worker", name, condition, tuple(reasons), facts)


def ledger_explainers(
    placements: Placements, holders: Holders, infeasible: Callable[[], Mapping[str, str]]
) -> dict[str, Explainer]:
    """Return the explainers of the admin port that the ledger can answer.

    :param infeasible: returns ``Placement.infeasible_jobs``
    """
    return {
        "job": lambda name: explained_job(placements, infeasible(), name),
        "worker": lambda name: explained_worker(placements, holders, name),
    }
