"""Faults that are injected at run time to check that the search detects them.

Each fault replaces one rule of the shipped code or of the simulated endpoints with a wrong one, by
patching methods and constants in memory.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, replace
from typing import Any
from unittest.mock import patch

import msgspec

from dotterelhill.batch import execution
from dotterelhill.batch.events import Append, RenewLease, StartTask
from dotterelhill.batch.execution import Execution
from dotterelhill.holdings.authority import Authority
from dotterelhill.holdings.decision import HoldingsDecision
from dotterelhill.holdings.events import ResourcesSeen
from dotterelhill.holdings.reservation import Predecessor
from dotterelhill.ledger import ControlFeed, Refusal, StopOutcome
from dotterelhill.ledger.placements import Placements
from dotterelhill.ledger.state import JobLedger, Run
from dotterelhill.log.tail import TailRead
from dotterelhill.manifest.feed import ConfigFeed
from dotterelhill.manifest.history import manifest_from_record
from explorer.keyed_model import KeyedModel
from explorer.worker_model import WorkerModel

# A first read with fewer records than this is not truncated, as its tail would be too short.
SHORTEST_TAIL_RECORDS = 20
UNBOUNDED_SECONDS = 1e6

Patches = list[Any]


@dataclass(frozen=True, slots=True)
class Fault:
    """Wrong rule that replaces a right one while it is injected.

    :param name: name for ``--fault``
    :param rule: description of the wrong behaviour
    :param patches: returns the context managers that apply the fault
    """

    name: str
    rule: str
    patches: Callable[[], Patches]

    @contextmanager
    def inject(self) -> Iterator[None]:
        """Apply the fault until the end of the ``with`` block."""
        with ExitStack() as stack:
            for item in self.patches():
                stack.enter_context(item)
            yield


def _start_token_unchecked() -> Patches:
    return [patch.object(WorkerModel, "_is_start_token_new", lambda worker, task, token: True)]


def _lapsed_lease_ignored() -> Patches:
    return [patch.object(WorkerModel, "_has_lease_ended", lambda worker, now: False)]


def _not_after_ignored() -> Patches:
    original = WorkerModel._start_refusal
    return [
        patch.object(
            WorkerModel, "_start_refusal", lambda self, end, boot: original(self, math.inf, boot)
        )
    ]


def _lease_from_answer() -> Patches:
    original = Execution._lease_actions

    def without_not_after(self: Execution, worker: Any, now: float) -> Iterator[Any]:
        for action in original(self, worker, now):
            if isinstance(action, RenewLease):
                action = replace(action, not_after=math.inf)
            yield action

    return [patch.object(Execution, "_lease_actions", without_not_after)]


def _start_evidence_unchecked() -> Patches:
    return [patch.object(execution, "START_EVIDENCE_SECONDS", UNBOUNDED_SECONDS)]


def _fence_skipped() -> Patches:
    original = Execution._lease_actions

    def declare_silent_lost(self: Execution, worker: Any, now: float) -> Iterator[Any]:
        last_heard_at = max(worker.heard_at, worker.held_at)
        if now - last_heard_at < execution.SILENCE_SECONDS or worker.is_superseded:
            yield from original(self, worker, now)
            return
        for task in worker.tasks.values():
            if self._may_append(task.appended_at, now):
                task.appended_at = now
                yield Append(execution._stopped_as_lost(task, worker.token))

    return [
        patch.object(Execution, "_lease_actions", declare_silent_lost),
        patch.object(Placements, "_is_loss_certain", lambda self, worker, fence: True),
    ]


def _checkpoint_from_message() -> Patches:
    original_observe, original_start = Execution._observe, Execution._start_actions

    def reported_checkpoints(holder: Execution) -> dict[str, str]:
        reported: dict[str, str] = holder.__dict__.setdefault("_reported_checkpoints", {})
        return reported

    def observe(self: Execution, worker: Any, known: Any, run: Any, sent_at: float) -> None:
        if run.checkpoint:
            reported_checkpoints(self)[run.task] = run.checkpoint
        original_observe(self, worker, known, run, sent_at)

    def start(self: Execution, worker: Any, task: Any, now: float) -> Iterator[Any]:
        for action in original_start(self, worker, task, now):
            if isinstance(action, StartTask):
                checkpoint = reported_checkpoints(self).get(action.task, action.checkpoint)
                action = replace(action, checkpoint=checkpoint)
            yield action

    return [
        patch.object(Execution, "_observe", observe),
        patch.object(Execution, "_start_actions", start),
    ]


def _stopped_token_unchecked() -> Patches:
    original = Placements.stopped

    def stopped(self: Placements, record: Any) -> Refusal | None:
        run = self.runs.get(record.task)
        token = run.token if run is not None else record.token
        return original(self, msgspec.structs.replace(record, token=token))

    return [patch.object(Placements, "stopped", stopped)]


def _capacity_unchecked() -> Patches:
    original = Placements._place_refusal

    def refusal(self: Placements, job: Any, worker: str) -> Refusal | None:
        result = original(self, job, worker)
        return None if result is Refusal.CAPACITY_EXCEEDED else result

    return [patch.object(Placements, "_place_refusal", refusal)]


def _finished_task_pending_again() -> Patches:
    original = JobLedger.stop

    def stop(self: JobLedger, run: Run, outcome: StopOutcome, checkpoint: str) -> None:
        is_finished = outcome is StopOutcome.FINISHED
        original(self, run, StopOutcome.EVICTED if is_finished else outcome, checkpoint)

    return [patch.object(JobLedger, "stop", stop)]


def _restart_without_tail() -> Patches:
    original = ControlFeed._on_read

    def on_read(self: ControlFeed, read: TailRead) -> None:
        is_first = self.read_evidence_at == float("-inf")
        if not is_first or len(read.records) < SHORTEST_TAIL_RECORDS:
            original(self, read)
            return
        original(self, replace(read, records=read.records[: len(read.records) // 2]))
        version, digest = self.ledger.adopted_version, self.ledger.adopted_digest
        self.ledger.restore_position(read.records[-1].offset, version, digest)

    return [patch.object(ControlFeed, "_on_read", on_read)]


def _manifest_by_arrival() -> Patches:
    def accept_relayed(self: ConfigFeed, version: int, record: bytes) -> bool:
        if version == self.version:
            return False
        self._in_force = manifest_from_record(version, record)
        self._relayed[version] = self._in_force
        for listener in self._listeners:
            listener(self._in_force)
        return True

    return [patch.object(ConfigFeed, "accept_relayed", accept_relayed)]


def _promise_ignored() -> Patches:
    return [patch.object(Authority, "has_promises_of", lambda *arguments: True)]


def _evidence_ignored() -> Patches:
    return [patch.object(HoldingsDecision, "_has_full_authority", lambda *arguments: True)]


def _takeover_without_wait() -> Patches:
    return [patch.object(Predecessor, "is_on_base_share", lambda *arguments: True)]


def _leaving_ignored() -> Patches:
    original = HoldingsDecision._on_resources

    def on_resources(self: HoldingsDecision, event: ResourcesSeen, now: float) -> None:
        minions = {name: replace(share, is_leaving=False) for name, share in event.minions.items()}
        original(self, replace(event, minions=minions), now)

    return [patch.object(HoldingsDecision, "_on_resources", on_resources)]


def _claim_not_read_back() -> Patches:
    def dispatch_at_once(self: KeyedModel, batch: list[Any]) -> None:
        for claim in batch:
            pending = self._pending_claims.pop(claim.key, None)
            if pending is not None:
                self._batches.settle(pending[0])
                self._dispatch(claim.key)

    return [patch.object(KeyedModel, "_on_lost_answer", dispatch_at_once)]


_FAULTS = (
    Fault(
        "start-token-unchecked",
        "a worker accepts a start with an outdated token",
        _start_token_unchecked,
    ),
    Fault(
        "lapsed-lease-ignored",
        "a worker runs tasks on after its lease has lapsed",
        _lapsed_lease_ignored,
    ),
    Fault(
        "not-after-ignored",
        "a worker accepts a start after its not_after",
        _not_after_ignored,
    ),
    Fault(
        "lease-from-answer",
        "a lease is counted from its arrival instead of from before it was sent",
        _lease_from_answer,
    ),
    Fault(
        "start-evidence-unchecked",
        "a holder starts tasks whatever the age of its evidence",
        _start_evidence_unchecked,
    ),
    Fault(
        "fence-skipped",
        "a silent worker's tasks are declared lost without fence and wait",
        _fence_skipped,
    ),
    Fault(
        "checkpoint-from-message",
        "a holder resumes a task from a checkpoint it has heard, not from the ledger's",
        _checkpoint_from_message,
    ),
    Fault(
        "stopped-token-unchecked",
        "the ledger accepts a Stopped with an outdated token",
        _stopped_token_unchecked,
    ),
    Fault(
        "capacity-unchecked",
        "the ledger accepts an Assign beyond a worker's capacity",
        _capacity_unchecked,
    ),
    Fault(
        "finished-task-pending-again",
        "the ledger takes a finished task for an evicted one",
        _finished_task_pending_again,
    ),
    Fault(
        "restart-without-tail",
        "a new incarnation leaves out the records between its state and the end of the log",
        _restart_without_tail,
    ),
    Fault(
        "manifest-by-arrival",
        "the manifest that arrives last is in force, whatever its version",
        _manifest_by_arrival,
    ),
    Fault(
        "promise-ignored",
        "a holder without evidence uses its whole share without its peers' promises",
        _promise_ignored,
    ),
    Fault(
        "evidence-ignored",
        "a holder uses its whole share whatever the age of its evidence",
        _evidence_ignored,
    ),
    Fault(
        "takeover-without-wait",
        "a new holder does not wait for the requests of the one before",
        _takeover_without_wait,
    ),
    Fault(
        "leaving-ignored",
        "a holder goes on dispatching to a minion that is leaving",
        _leaving_ignored,
    ),
    Fault(
        "claim-not-read-back",
        "a request is dispatched after a lost acknowledgement without reading its claim back",
        _claim_not_read_back,
    ),
)

FAULTS = {fault.name: fault for fault in _FAULTS}
