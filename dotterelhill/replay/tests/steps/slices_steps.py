from __future__ import annotations

import dataclasses
import io
import math

from behave import given, then, when

from dotterelhill.batch.events import (
    AssignmentRead,
    ClockRead,
    EvidenceRead,
    LeaseRenewed,
    RunObserved,
    RunUnanswered,
    StartTask,
    Tick,
    WorkerHeld,
)
from dotterelhill.batch.execution import Execution
from dotterelhill.batch.interface import Assignment
from dotterelhill.holdings import Permit
from dotterelhill.holdings.decision import HoldingsDecision
from dotterelhill.holdings.events import (
    AppendHold,
    EvidenceSeen,
    Folded,
    HoldSeen,
    JoinSeen,
    LiveSeen,
    MinionDrained,
    MinionShare,
    PeerHeard,
    ResourcesSeen,
    StopRequested,
)
from dotterelhill.holdings.events import Tick as HoldingsTick
from dotterelhill.manifest import Resources
from dotterelhill.membership.heartbeats import Heartbeat
from dotterelhill.membership.view import HeartbeatHeard, OwnState
from dotterelhill.membership.view import Tick as MembershipTick
from dotterelhill.replay import Player, Recorder, registered_slice
from dotterelhill.replay.execution_slice import ExecutionArguments
from dotterelhill.replay.holdings_slice import HoldingsArguments, PromiseAsked
from dotterelhill.replay.membership_slice import MembershipArguments

TASK, TOKEN = "sync@3/0", 9


def apply(decision, event, at):
    match event:
        case PromiseAsked(incarnation):
            return [decision.promise_to(incarnation, at)]
    return decision.decide(event, at)


def record(context, name, arguments, events):
    context.replayable = registered_slice(name)
    output = io.BytesIO()
    decision = context.replayable.build(arguments)
    recorder = Recorder(context.replayable, decision, arguments, output, 100_000)
    context.actions = [apply(recorder, event, at) for at, event in events]
    assert recorder.stop_reason == "", recorder.stop_reason
    context.trace = output.getvalue()


@given("a recorded execution slice that started a task, lost an answer and finished the task")
def record_execution(context):
    assignment = Assignment(TASK, "w1", TOKEN, 1, "", Resources(cpu=2.0), 60.0)
    running = RunObserved(TASK, TOKEN, "running", 1.0)
    finished = RunObserved(TASK, TOKEN, "finished", 60.0)
    evidence = [EvidenceRead(9, at, at, frozenset({"caxias"}), 3600.0) for at in (9.9, 13.0, 17.0)]
    events = [
        (9.0, EvidenceRead(9, -math.inf, -math.inf, frozenset(), 3600.0)),
        (9.5, WorkerHeld("w1", "caxias", 5, False)),
        (10.0, evidence[0]),
        (10.0, AssignmentRead(assignment)),
        (10.0, ClockRead("w1", 5, "boot", 100.0, 10.0)),
        (10.1, Tick()),
        (10.2, LeaseRenewed("w1", 5, 10.1, 10.2, "boot", 100.2, ())),
        (10.3, Tick()),
        (11.0, RunUnanswered("w1", TASK, TOKEN)),
        (13.1, evidence[1]),
        (13.2, Tick()),
        (14.0, LeaseRenewed("w1", 5, 13.9, 14.0, "boot", 104.0, (running,))),
        (17.1, evidence[2]),
        (17.2, LeaseRenewed("w1", 5, 17.1, 17.2, "boot", 107.2, (finished,))),
        (17.3, Tick()),
    ]
    record(context, "execution", ExecutionArguments(), events)
    assert any(isinstance(item, StartTask) for step in context.actions for item in step)


@given("a recorded membership slice that received a heartbeat of a peer without evidence")
def record_membership(context):
    peer = Heartbeat(
        sender="caxias-2/00ff",
        entry="caxias-2",
        failure_domain="caxias",
        region="serra",
        peer_address="10.0.0.6:8082",
        forward_address="10.0.0.6:8081",
        is_ready=False,
        manifest_version=0,
        control_offset=0,
        control_through=0,
        config_age=math.inf,
        control_age=math.inf,
        stamp=4.0,
    )
    events = [
        (1.0, MembershipTick(OwnState())),
        (1.5, HeartbeatHeard(peer)),
        (2.0, MembershipTick(OwnState(control_age=0.5, free_slots={"desk": 3}))),
        (9.0, MembershipTick(OwnState())),
    ]
    arguments = MembershipArguments(
        "caxias-1/01", "caxias", "serra", "10.0.0.5:8082", "10.0.0.5:8081"
    )
    record(context, "membership", arguments, events)


def holdings_events():
    own_incarnation, peer_incarnation = "caxias-1/01", "caxias-2/01"
    minions = {"b1": MinionShare(Permit(8, 64)), "b2": MinionShare(Permit(8, 64))}
    heard = PeerHeard(peer_incarnation, 4, 4, 6.0, 0.0, False)
    return [
        (1.0, ResourcesSeen(minions, frozenset({"w1"}), 3600.0)),
        (1.1, LiveSeen(frozenset({own_incarnation, peer_incarnation}))),
        (1.2, JoinSeen(1, own_incarnation, "caxias-1", "caxias")),
        (1.2, JoinSeen(2, peer_incarnation, "caxias-2", "caxias")),
        (1.3, Folded(2)),
        (1.4, EvidenceSeen(1.3, 2)),
        (5.0, HoldingsTick()),
        (5.1, HoldSeen(3, "minion:b1", own_incarnation)),
        (5.1, HoldSeen(4, "minion:b2", peer_incarnation)),
        (5.2, Folded(4)),
        (5.3, EvidenceSeen(5.2, 4)),
        (5.4, heard),
        (5.5, PromiseAsked(peer_incarnation)),
        (6.0, LiveSeen(frozenset({own_incarnation}))),
        (9.0, EvidenceSeen(8.9, 4)),
        (9.1, HoldingsTick()),
        (15.0, EvidenceSeen(14.9, 4)),
        (20.0, EvidenceSeen(19.9, 4)),
        (20.1, HoldingsTick()),
        (21.0, StopRequested()),
        (21.5, MinionDrained("b1")),
    ]


@given("a recorded holdings slice that promised a silent peer not to take over")
def record_holdings(context):
    arguments = HoldingsArguments("caxias-1/01", "caxias-1", "caxias")
    record(context, "holdings", arguments, holdings_events())
    assert AppendHold("minion:b2") in [item for step in context.actions for item in step]


class PromiseForgettingDecision:
    """Decision class that returns promises but does not keep them."""

    def __init__(self, arguments):
        self.inner_decision = HoldingsDecision(*dataclasses.astuple(arguments))
        self.permit_for = self.inner_decision.permit_for

    def promise_to(self, incarnation, now):
        return True

    def decide(self, event, now):
        return self.inner_decision.decide(event, now)


@when("the recorded slice is replayed by a decision class that forgets promises")
def replay_forgetting(context):
    changed = dataclasses.replace(context.replayable, build=PromiseForgettingDecision)
    context.report = Player(context.trace, lambda name: changed).play()


@then("outcome {name} is first violated at {at:g} s")
def check_violation_time(context, name, at):
    (found,) = context.report.breaks
    assert (found.outcome, found.at) == (name, at), found


class DomainIgnoringDecision:
    """Decision class that treats failure domain ``caxias`` as always in."""

    def __init__(self):
        self.execution = Execution()

    def decide(self, event, now):
        if isinstance(event, EvidenceRead):
            event = dataclasses.replace(event, domains_in=frozenset({"caxias"}))
        return self.execution.decide(event, now)


@when("the recorded slice is replayed")
def replay(context):
    context.replayed = []

    def build(arguments):
        decision = context.replayable.build(arguments)
        inner = decision.decide

        class ObservedDecision:
            def __getattr__(self, name):
                return getattr(decision, name)

            def promise_to(self, incarnation, now):
                context.replayed.append([decision.promise_to(incarnation, now)])
                return context.replayed[-1][0]

            def decide(self, event, now):
                context.replayed.append(inner(event, now))
                return context.replayed[-1]

        return ObservedDecision()

    observed = dataclasses.replace(context.replayable, build=build)
    context.report = Player(context.trace, lambda name: observed).play()


@when("the recorded slice is replayed by a decision class that ignores failure domains")
def replay_ignoring(context):
    trace = context.trace.replace(b'"domains_in":["caxias"]', b'"domains_in":[]')
    changed = dataclasses.replace(
        context.replayable, build=lambda arguments: DomainIgnoringDecision()
    )
    context.report = Player(trace, lambda name: changed).play()


@then("it produces the recorded actions and satisfies all outcomes")
def check_same(context):
    assert context.replayed == context.actions, (context.replayed, context.actions)
    assert context.report.breaks == () and context.report.checked, context.report


@then("outcome {name} is first violated by the event that causes the start")
def check_violation(context, name):
    starts = [any(isinstance(item, StartTask) for item in step) for step in context.actions]
    (found,) = context.report.breaks
    assert (found.outcome, found.number) == (name, starts.index(True) + 1), (found, starts)
