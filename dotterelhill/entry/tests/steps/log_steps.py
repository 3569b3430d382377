from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from unittest import mock

import msgspec
from behave import given, then, when

from dotterelhill.entry import logs
from dotterelhill.entry.logs import BoundedStream, json_lines_handler, logger_of
from dotterelhill.jobs.model import TaskKey

PROGRAM = """
import asyncio, sys
from dotterelhill.entry.logs import BoundedStream, logger_of, start_logging

async def run():
    for number in range(20):
        logger_of("leader").info("start ordered", extra={"number": number})

start_logging("caxias-1", "info", BoundedStream(sys.stdout.fileno()))
asyncio.run(run())
"""
# Standard fields of a line, in their order.
STANDARD_FIELDS = ["time", "level", "channel", "message", "process"]


class LogOnPipe:
    """Log of one process whose lines go to a pipe, with a clock that tests advance."""

    def __init__(self, lines_per_second: float = 1e6) -> None:
        self._reader, self._writer = os.pipe()
        os.set_blocking(self._reader, False)
        self.now = 0.0
        self.stream = BoundedStream(self._writer, lines_per_second, lambda: self.now)
        self.handler = json_lines_handler("caxias-1", "info", self.stream)
        self.log = logger_of("leader")
        self.write_count = 0
        # Beginning of a line whose end has not arrived.
        self._unread = b""

    def run(self, coroutine) -> None:
        """Run a coroutine while the lines of all loggers go to the pipe and writes are counted."""
        write = os.write

        def counting_write(descriptor, data) -> int:
            self.write_count += 1
            return write(descriptor, data)

        with mock.patch.object(logs.os, "write", counting_write):
            with self.handler.applicationbound():
                asyncio.run(coroutine)

    def read(self) -> list[dict]:
        """Return the lines that have arrived since the last call."""
        while True:
            try:
                self._unread += os.read(self._reader, 1 << 20)
            except BlockingIOError:
                break
        *lines, self._unread = self._unread.split(b"\n")
        return [msgspec.json.decode(line) for line in lines]

    def close(self) -> None:
        os.close(self._reader)
        os.close(self._writer)


def open_log(context, lines_per_second: float = 1e6) -> None:
    context.log_on_pipe = LogOnPipe(lines_per_second)
    context.add_cleanup(context.log_on_pipe.close)


@given("a log on a pipe")
def new_log(context):
    open_log(context)


@given("a log on a pipe that carries {rate:d} lines a second")
def new_slow_log(context, rate):
    open_log(context, rate)


@when("{count:d} lines are logged in one turn of the event loop and {seconds:g} seconds pass")
def log_burst(context, count, seconds):
    world = context.log_on_pipe

    async def run() -> None:
        for number in range(count):
            world.log.info("start ordered", extra={"number": number})
        await asyncio.sleep(seconds)

    world.run(run())


@when("its reader stalls, and {count:d} warnings come {seconds:g} seconds apart")
def log_while_stalled(context, count, seconds):
    world = context.log_on_pipe

    async def run() -> None:
        for _ in range(3000):
            world.log.info("start ordered", extra={"text": "x" * 100})
        world.write_count = 0
        for _ in range(count):
            world.log.warning("store does not answer")
            await asyncio.sleep(seconds)

    world.run(run())
    context.warning_count = count


@then("each warning and each {seconds:g} seconds have led to at most one attempt to write")
def check_attempts(context, seconds):
    # The warnings come as far apart as timers do. Either may be one more at both ends.
    most = 2 * context.warning_count + 2
    assert context.log_on_pipe.write_count <= most, context.log_on_pipe.write_count


@then("all {count:d} lines arrive in order, with at most {writes:d} writes")
def check_burst(context, count, writes):
    world = context.log_on_pipe
    assert [line["number"] for line in world.read()] == list(range(count))
    assert world.write_count <= writes, world.write_count


@then("{count:d} lines have arrived, and the next one reports {dropped:d} as dropped")
def check_rate(context, count, dropped):
    world = context.log_on_pipe
    assert [line["number"] for line in world.read()] == list(range(count))
    assert world.stream.dropped_count == dropped, world.stream.dropped_count
    world.now += 1.0
    with world.handler.applicationbound():
        world.log.info("run lost")
    report, line = world.read()
    assert report == {"message": "log lines dropped", "lines": dropped}, report
    assert line["message"] == "run lost", line


@when("a line is logged, and another one {seconds:g} seconds later before the event loop has run")
def log_late(context, seconds):
    world = context.log_on_pipe

    async def run() -> None:
        world.log.info("start ordered")
        assert not world.read()
        world.now += seconds
        world.log.info("run lost")
        context.lines = world.read()

    world.run(run())


@then("both lines have arrived")
def check_late(context):
    assert [line["message"] for line in context.lines] == ["start ordered", "run lost"]


@when("a warning is logged while an event loop runs")
def log_warning(context):
    world = context.log_on_pipe

    async def run() -> None:
        world.log.warning("store is unavailable")
        context.lines = world.read()

    world.run(run())


@then("its line has arrived at once")
def check_warning(context):
    (line,) = context.lines
    assert (line["level"], line["message"]) == ("warning", "store is unavailable"), line


@when("a process logs 20 lines on an event loop and ends")
def run_process(context):
    context.output = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, check=True, timeout=60
    ).stdout


@then("its standard output has all 20 lines")
def check_output(context):
    lines = [msgspec.json.decode(line) for line in context.output.splitlines()]
    assert [line["number"] for line in lines] == list(range(20)), lines


@when(
    "{count:d} lines are logged while the reader of the pipe stalls, and {later:d} after it has "
    "read"
)
def log_to_stalled(context, count, later):
    world = context.log_on_pipe
    context.lines = []
    context.logged = count + later

    async def run() -> None:
        for number in range(count):
            world.log.info("start ordered", extra={"number": number})
        await asyncio.sleep(0.2)
        context.lines += world.read()
        # What the process still holds follows within a flush.
        await asyncio.sleep(0.2)
        context.lines += world.read()
        for number in range(later):
            world.log.info("start ordered", extra={"number": count + number})
        await asyncio.sleep(0.2)
        context.lines += world.read()

    world.run(run())


@then("each line that arrives is whole, and the others are reported as dropped")
def check_stalled(context):
    arrived = [line["number"] for line in context.lines if "number" in line]
    dropped = sum(line["lines"] for line in context.lines if "lines" in line)
    assert dropped > 0 and len(arrived) + dropped == context.logged, (len(arrived), dropped)
    assert arrived == sorted(arrived) and arrived[-3:] == [3000, 3001, 3002], arrived[-5:]


@when('lines with the fields "time" and "job", with none, and with one that is no JSON are logged')
def log_fields(context):
    world = context.log_on_pipe

    async def run() -> None:
        world.log.info("start ordered", extra={"time": 1, "job": "j"})
        world.log.notice("leading")
        world.log.info("run lost", extra={"task": TaskKey("j", 0, 1, 2).__str__, "epoch": {1, 2}})
        world.log.info("start {}", "ordered")
        try:
            raise ValueError("unexpected")
        except ValueError:
            world.log.exception("a slice crashed")

    world.run(run())
    world.stream.flush()
    context.lines = world.read()


@then("the lines have these fields, and the fields of every line in the documented order")
def check_fields(context):
    first, second, third, fourth, fifth = context.lines
    for line in context.lines:
        assert list(line)[:5] == STANDARD_FIELDS, line
        assert (line["channel"], line["process"]) == ("leader", "caxias-1"), line
        assert len(line["time"]) == len("2026-12-06T05:16:42.123"), line
    assert (first["time_"], first["job"], first["level"]) == (1, "j", "info"), first
    assert list(second) == STANDARD_FIELDS and second["level"] == "notice", second
    assert isinstance(third["task"], str) and third["epoch"] == [1, 2], third
    assert fourth["message"] == "start ordered", fourth
    assert "ValueError: unexpected" in fifth["exception"] and fifth["level"] == "error", fifth
