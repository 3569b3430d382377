from __future__ import annotations

import contextlib
import io
import math
import tempfile
from dataclasses import dataclass
from pathlib import Path
from unittest import mock

from behave import given, then, when

from dotterelhill.commands import main, replaying
from dotterelhill.commands.replaying import report_lines
from dotterelhill.replay import (
    Outcome,
    Player,
    Recorder,
    ReplayableSlice,
    TraceError,
    stateless_outcome,
)


@dataclass(frozen=True, slots=True)
class Arguments:
    most_holders: int


@dataclass(frozen=True, slots=True)
class Held:
    holder: str
    evidence_at: float = 0.0
    previous: str | None = None


@dataclass(frozen=True, slots=True)
class Released:
    holder: str


class Holders:
    """Example decision class, which grants a limited number of holders."""

    def __init__(self, most_holders):
        self.most_holders = most_holders
        self.holders = set()
        self.events = []

    def decide(self, event, now):
        self.events.append(event)
        match event:
            case Held(holder) if len(self.holders) < self.most_holders:
                self.holders.add(holder)
                return [("granted", holder, now)]
            case Released(holder):
                self.holders.discard(holder)
        return []


def new_single_holder_check():
    def check(step):
        holders = step.decision.holders
        return f"holders are {sorted(holders)}" if len(holders) > 1 else None

    return check


EXAMPLE = ReplayableSlice(
    name="example",
    arguments_type=Arguments,
    build=lambda arguments: Holders(arguments.most_holders),
    event_types=(Held, Released),
    outcomes=(
        Outcome("single-holder", "at most one holder", new_single_holder_check),
        stateless_outcome("few-actions", "at most 2 actions", lambda step: len(step.actions) <= 2),
    ),
)


class BrokenFile(io.BytesIO):
    def write(self, data):
        raise OSError(28, "No space left on device")


def start_recording(context, most_holders=1, largest_bytes=100_000, output=None):
    context.output = output or io.BytesIO()
    arguments = Arguments(most_holders)
    context.counts = []
    context.recorder = Recorder(
        EXAMPLE,
        EXAMPLE.build(arguments),
        arguments,
        context.output,
        largest_bytes,
        on_count=context.counts.append,
    )


def record(context, events, times=None):
    times = times or [1.5 * index for index in range(len(events))]
    context.actions = []
    for event, at in zip(events, times, strict=True):
        context.actions += context.recorder.decide(event, at)
    context.trace = context.output.getvalue()


@given("a recorded slice that held and released for 5 events")
def record_five(context):
    start_recording(context)
    record(context, [Held("a"), Held("b"), Released("a"), Held("b"), Released("b")])


@given("a recorded slice whose third event adds a second holder")
def record_second_holder(context):
    start_recording(context, most_holders=2)
    record(context, [Held("a"), Released("c"), Held("b"), Held("b")])


@given("a recorded slice whose event has the time minus infinity")
def record_infinity(context):
    start_recording(context)
    record(context, [Held("a", evidence_at=-math.inf)])


@given("a recorded slice whose times decrease")
def record_decreasing_times(context):
    start_recording(context)
    record(context, [Held("a"), Released("a")], [2.0, 1.0])


@given("a trace with the header {header}")
def make_trace(context, header):
    context.trace = header.encode() + b"\n"


@given("the last {number:d} bytes of the trace are missing")
def truncate(context, number):
    context.trace = context.trace[:-number]


@given("a recorder limited to {number:d} bytes")
def record_limited(context, number):
    start_recording(context, largest_bytes=number)


@given("a recorder whose file can't be written")
def record_to_broken_file(context):
    start_recording(context, output=BrokenFile())


@when("{number:d} events are recorded")
def record_many(context, number):
    record(context, [Held("a")] * number)


def replay(context, expected=None):
    context.report = context.error = None
    built = []

    def build(arguments):
        built.append(EXAMPLE.build(arguments))
        return built[-1]

    registered = ReplayableSlice(
        EXAMPLE.name, EXAMPLE.arguments_type, build, EXAMPLE.event_types, EXAMPLE.outcomes
    )
    try:
        context.report = Player(context.trace, {EXAMPLE.name: registered}.get).play(expected)
        context.replayed = built[-1]
    except TraceError as error:
        context.error = error


@when("the trace is replayed")
def replay_all(context):
    replay(context)


@when("the trace is replayed for outcomes {names}")
def replay_some(context, names):
    replay(context, names.split(", "))


@then("the replay produces the recorded actions")
def check_actions(context):
    assert context.report.actions == len(context.actions) == 2, context.report
    assert context.replayed.events == context.recorder.decision.events
    assert context.replayed.holders == context.recorder.holders


@then("all outcomes are kept")
def check_kept(context):
    assert context.report.breaks == () and context.report.checked, context.report


@then("outcome {name} is first violated by event {number:d}")
def check_violated(context, name, number):
    (found,) = context.report.breaks
    assert (found.outcome, found.number) == (name, number), found


@then("the report names the event and its time")
def check_report(context):
    text = "\n".join(report_lines(context.report))
    assert "first at event 3, 3 s: Held" in text and '"holder":"b"' in text, text
    assert "kept    few-actions" in text, text


@then('the replay fails with an error that names "{text}"')
def check_refused(context, text):
    assert context.error is not None and text in str(context.error), context.error


@then("the file has at most {number:d} bytes and the other events are counted as dropped")
def check_limited(context, number):
    recorder = context.recorder
    assert len(context.trace) <= number, len(context.trace)
    assert (
        recorder.dropped_events > 0
        and context.counts.count("trace.dropped") == recorder.dropped_events
    )
    assert context.counts.count("trace.events") == 20 - recorder.dropped_events


@then("the decision object received all {number:d} events")
def check_received(context, number):
    assert len(context.recorder.decision.events) == number


@then("the report says that the recording reached its size limit")
def check_full(context):
    assert context.report.is_full and context.report.events == 20 - context.recorder.dropped_events


@then("the report says that the last line was incomplete and {number:d} events were replayed")
def check_incomplete(context, number):
    assert context.report.is_torn and context.report.events == number, context.report


@then("the replayed event has the time minus infinity")
def check_infinity(context):
    assert context.replayed.events == [Held("a", evidence_at=-math.inf)], context.replayed.events


def run_command(context, *flags):
    output = io.StringIO()
    with (
        tempfile.NamedTemporaryFile() as file,
        mock.patch.object(replaying, "registered_slice", {"example": EXAMPLE}.get),
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(output),
    ):
        Path(file.name).write_bytes(context.trace)
        context.status = main.run(["replay", file.name, *flags])
    context.output = output.getvalue()


@when('the command "replay" runs on the trace')
def run_replay(context):
    run_command(context)


@when('the command "replay" runs on the trace for outcome {name}')
def run_replay_for(context, name):
    run_command(context, "--expect", name)


@then('it ends with status {status:d} and prints "{text}"')
def check_command(context, status, text):
    assert context.status == status and text in context.output, (context.status, context.output)
