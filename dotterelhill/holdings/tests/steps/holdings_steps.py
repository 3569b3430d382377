from __future__ import annotations

from behave import given, then, when

from dotterelhill.holdings.decision import HoldingsDecision
from dotterelhill.holdings.events import (
    AppendHold,
    EvidenceSeen,
    Folded,
    HoldSeen,
    JoinSeen,
    LedgerLoaded,
    LiveSeen,
    LoadedHolding,
    MinionShare,
    PeerHeard,
    ResourcesSeen,
    StopRequested,
    Tick,
)
from dotterelhill.holdings.interface import Permit
from dotterelhill.holdings.tests.fleet import Domain
from dotterelhill.holdings.tests.machine import run_machine

SHARES = {"m0": MinionShare(Permit(8, 64))}


@given("a domain of {count:d} processes with an autonomy of {seconds:d} seconds")
def _(context, count, seconds):
    context.domain = Domain("abcdef"[:count], autonomy=float(seconds))
    context.domain.advance(8)


def holder_of(context, minion):
    name = context.domain.log.holder_of(f"minion:{minion}")
    (holder,) = [process for process in context.domain.processes if process.incarnation == name]
    return holder


@when('the holder of "{minion}" is not heard by one process for {seconds:d} seconds')
def _(context, minion, seconds):
    holder = context.holder = holder_of(context, minion)
    other = next(process for process in context.domain.processes if process is not holder)
    context.domain.cut_links.add((holder.incarnation, other.incarnation))
    context.domain.advance(seconds)


@when('the holder of "{minion}" is paused for {seconds:d} seconds')
def _(context, minion, seconds):
    holder = context.holder = holder_of(context, minion)
    holder.is_paused = True
    context.domain.advance(seconds)
    holder.is_paused = False


@when("the log is down for {seconds:d} seconds")
def _(context, seconds):
    holder = context.holder = holder_of(context, "m0")
    context.domain.is_log_down, context.min_slots = True, 8
    for _ in range(seconds):
        context.domain.advance(1)
        context.min_slots = min(context.min_slots, context.domain.permit(holder, "m0").slots)


@then('"{minion}" has one holder with {slots:d} slots at all times of the last 1800 seconds')
def _(context, minion, slots):
    assert context.min_slots == slots, context.min_slots


@when('the log is down and a process other than the holder of "m0" is lost for 16 seconds')
def _(context):
    holder = context.holder = holder_of(context, "m0")
    other = next(process for process in context.domain.processes if process is not holder)
    context.domain.is_log_down = other.is_dead = True
    context.domain.advance(16)


@when('the VM of the holder of "m0" is lost for {seconds:d} seconds')
def _(context, seconds):
    context.holder = holder_of(context, "m0")
    context.holder.is_dead = True
    context.domain.advance(seconds)


@when("it is replaced")
def _(context):
    context.domain.start(context.holder.incarnation.partition("/")[0])


@when("{seconds:d} more seconds pass")
def _(context, seconds):
    context.domain.advance(seconds)


@then('the former holder of "m0" may use {slots:d} slots and its successor {others:d}')
def _(context, slots, others):
    assert context.domain.permit(context.holder, "m0").slots == slots
    assert context.domain.permit(holder_of(context, "m0"), "m0").slots == others
    assert holder_of(context, "m0") is not context.holder


@then('the former holder of "m0" may use {slots:d} slots and {connections:d} connections')
def _(context, slots, connections):
    assert context.domain.permit(context.holder, "m0") == Permit(slots, connections)


@then('"{minion}" has one holder with {slots:d} slots after {seconds:d} more seconds')
def _(context, minion, slots, seconds):
    context.domain.advance(seconds)
    permits = [context.domain.permit(process, minion).slots for process in context.domain.processes]
    assert sorted(permits)[-2:] == [0, slots], permits


@when('the holder of "m0" is asked to stop')
def _(context):
    holder = context.holder = holder_of(context, "m0")
    assert holder.in_flight_count("m0", context.domain.now) == 8
    context.domain.send_event(holder, StopRequested())


@then('it releases "m0" only after its 8 requests are over and then leaves')
def _(context):
    domain, holder = context.domain, context.holder
    while not domain.log.holders.holding("minion:m0").is_released:
        is_busy = holder.in_flight_count("m0", domain.now) > 0
        assert domain.permit(holder, "m0").slots == 0
        domain.advance(0.5)
        assert not (is_busy and domain.log.holders.holding("minion:m0").is_released)
    domain.advance(3)
    assert holder.is_stopped and holder.incarnation in domain.log.holders.ended


def make_decision(name, *events):
    decision = HoldingsDecision(f"{name}/0", name, "caxias")
    for event in (ResourcesSeen(SHARES, frozenset(), 600.0), *events):
        decision.decide(event, 1000.0)
    return decision


def joins(*names):
    return [JoinSeen(offset, f"{name}/0", name, "caxias") for offset, name in enumerate(names, 1)]


@given('a holder of "m0" without evidence for 11 seconds, with everything folded through 4')
def _(context):
    hold = HoldSeen(4, "minion:m0", "a/0")
    context.decision = make_decision(
        "a", *joins("a", "b", "c"), hold, Folded(4), EvidenceSeen(1000.0, 4)
    )
    context.now = 1011.0
    assert context.decision.permit_for("m0", context.now).slots == 2


@when("heartbeats of {senders} carry {content}, a stamp {stamp:f} s old and offset {offset:d}")
def _(context, senders, content, stamp, offset):
    is_promise = content == "a promise"
    age = 900.0 if is_promise else 1.0
    for name in senders.split(", "):
        echo = context.now - stamp
        heard = PeerHeard(f"{name}/0", offset, offset, age, echo, is_promise)
        context.decision.decide(heard, context.now)


@when("records are folded through {offset:d}")
def _(context, offset):
    context.decision.decide(Folded(offset), context.now)


@given('a process that has taken "m0" over at offset 5 from {holder}')
def _(context, holder):
    first, own, taken = JoinSeen(1, "a/0", "a", "caxias"), "b/0", HoldSeen(5, "minion:m0", "b/0")
    match holder:
        case "a holder that knows it":
            before = [first, JoinSeen(2, own, "b", "caxias"), HoldSeen(3, "minion:m0", "a/0")]
        case "a holder unaware of it":
            before = [first, HoldSeen(2, "minion:m0", "a/0"), JoinSeen(3, own, "b", "caxias")]
        case "a snapshot's first holder":
            second = JoinSeen(2, "c/0", "c", "caxias")
            held = LoadedHolding("minion:m0", "c/0", 3, True, "a/0", 1)
            loaded = LedgerLoaded(3, (first, second), (), (held,))
            before = [loaded, JoinSeen(4, own, "b", "caxias")]
    context.decision = make_decision("b", *before, taken, Folded(5))
    context.now = 1000.0


@when("a heartbeat of the former holder shows offset {offset:d}")
def _(context, offset):
    heard = PeerHeard("a/0", offset, offset, 900.0, 0.0, False)
    context.decision.decide(heard, context.now)


@when("{seconds:f} seconds pass with fresh evidence")
def _(context, seconds):
    context.now += seconds
    context.decision.decide(EvidenceSeen(context.now, 5), context.now)


def is_hold_appended(decision, start, end, offset):
    """Return whether a tick between two times, with fresh evidence, appends a Hold of m0."""
    for step in range(int((end - start) * 100)):
        now = start + step / 100
        decision.decide(EvidenceSeen(now, offset), now)
        if AppendHold("minion:m0") in decision.decide(Tick(), now):
            return True
    return False


@given('a process that has promised a silent holder of "m0"')
def _(context):
    context.decision = make_decision(
        "b", *joins("a", "b"), HoldSeen(3, "minion:m0", "a/0"), Folded(3)
    )
    context.decision.decide(LiveSeen(frozenset({"a/0", "b/0"})), 1000.0)
    context.decision.decide(PeerHeard("a/0", 3, 3, 5.0, 0.0, False), 1010.0)
    assert context.decision.promise_to("a/0", 1010.0)
    context.decision.decide(LiveSeen(frozenset({"b/0"})), 1010.0)


@then('it appends no Hold on "m0" for 10.02 seconds and one afterwards')
def _(context):
    assert not is_hold_appended(context.decision, 1010.0, 1020.02, 3)
    assert is_hold_appended(context.decision, 1020.03, 1020.1, 3)
    assert not context.decision.promise_to("a/0", 1021.0)


@given('a process whose Join the silent holder of "m0" has not read')
def _(context):
    first, hold = JoinSeen(1, "a/0", "a", "caxias"), HoldSeen(2, "minion:m0", "a/0")
    context.decision = make_decision("b", first, hold, JoinSeen(3, "b/0", "b", "caxias"), Folded(3))


@then('it appends no Hold on "m0" for 60 seconds and one afterwards when the holder is replaced')
def _(context):
    assert not is_hold_appended(context.decision, 1000.0, 1060.0, 3)
    context.decision.decide(JoinSeen(4, "a/1", "a", "caxias"), 1060.0)
    context.decision.decide(Folded(4), 1060.0)
    assert is_hold_appended(context.decision, 1060.0, 1070.0, 4)


@then("it may use {slots:d} slots")
def _(context, slots):
    permit = context.decision.permit_for("m0", context.now)
    assert permit.slots == slots, permit


@when("random histories of a domain are run")
def _(context):
    run_machine()


@then("no minion was used beyond its slots and connections")
def _(context):
    """``Domain.check_minion_use`` asserts this after each half second."""
