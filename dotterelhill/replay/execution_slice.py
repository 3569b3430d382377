"""Registration of the decision code of worker holders, in the batch slice, for replays.

The checks build their own state from the events and actions, so that they do not depend on the
state that they check.
"""

from __future__ import annotations

from dataclasses import dataclass

from dotterelhill.batch.events import (
    Append,
    AssignmentEnded,
    AssignmentRead,
    ClockRead,
    EvidenceRead,
    LeaseFailed,
    LeaseRefused,
    LeaseRenewed,
    RenewLease,
    RunAnswered,
    RunUnanswered,
    StartTask,
    StopTask,
    StopWanted,
    Tick,
    WorkerHeld,
    WorkerUnheld,
)
from dotterelhill.batch.execution import Execution
from dotterelhill.ledger import Stopped
from dotterelhill.replay.registration import Check, Outcome, ReplayableSlice, Step

# Limit of docs/design.md, section 3.4; repeated here so that a change of the code is detected.
START_EVIDENCE_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class ExecutionArguments:
    """Construction arguments of ``Execution``, of which there are none."""


def _new_domain_check() -> Check:
    domains: dict[str, str] = {}
    evidence: list[EvidenceRead] = []

    def check(step: Step) -> str | None:
        match step.event:
            case EvidenceRead():
                evidence[:] = [step.event]
            case WorkerHeld(worker=worker, failure_domain=domain):
                domains[worker] = domain
        for action in step.actions:
            if not isinstance(action, StartTask):
                continue
            if not evidence or step.at - evidence[0].config_at > START_EVIDENCE_SECONDS:
                return f"{action.task} was started on outdated evidence"
            if domains.get(action.worker) not in evidence[0].domains_in:
                return f"{action.task} was started in a failure domain that is out"
        return None

    return check


def _new_stop_check() -> Check:
    stopped: set[tuple[str, int]] = set()

    def check(step: Step) -> str | None:
        for action in step.actions:
            match action:
                case StopTask(task=task, token=token):
                    stopped.add((task, token))
                case StartTask(task=task, token=token) if (task, token) in stopped:
                    return f"{task} was started after a stop order"
        return None

    return check


def _new_result_check() -> Check:
    results: dict[tuple[str, int], str] = {}

    def check(step: Step) -> str | None:
        for action in step.actions:
            match action:
                case Append(record=Stopped(task=task, token=token, outcome=outcome)):
                    first = results.setdefault((task, token), str(outcome))
                    if first != str(outcome):
                        return f"{task} was reported as {first} and as {outcome}"
        return None

    return check


def _new_fence_check() -> Check:
    fenced: dict[str, int] = {}

    def check(step: Step) -> str | None:
        match step.event:
            case WorkerHeld(worker=worker, token=token, is_fenced=is_fenced):
                fenced.pop(worker, None)
                if is_fenced:
                    fenced[worker] = token
            case WorkerUnheld(worker=worker):
                fenced.pop(worker, None)
        for action in step.actions:
            if isinstance(action, RenewLease) and fenced.get(action.worker) == action.token:
                return f"the lease of fenced worker {action.worker} was renewed"
        return None

    return check


REGISTRATION = ReplayableSlice(
    name="execution",
    arguments_type=ExecutionArguments,
    build=lambda arguments: Execution(),
    event_types=(
        Tick,
        EvidenceRead,
        WorkerHeld,
        WorkerUnheld,
        AssignmentRead,
        AssignmentEnded,
        StopWanted,
        ClockRead,
        LeaseRenewed,
        LeaseRefused,
        LeaseFailed,
        RunAnswered,
        RunUnanswered,
    ),
    outcomes=(
        Outcome(
            "start-in-domain",
            "a task starts only on fresh evidence that its domain is in (@domain-out)",
            _new_domain_check,
        ),
        Outcome(
            "no-start-after-stop",
            "a task is not started with the token of an earlier stop order (@single-place)",
            _new_stop_check,
        ),
        Outcome(
            "one-result",
            "one result is reported for each run of a task (@resume-once)",
            _new_result_check,
        ),
        Outcome(
            "no-renewal-when-fenced",
            "the lease of a fenced worker is not renewed (@single-place)",
            _new_fence_check,
        ),
    ),
)
