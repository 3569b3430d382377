from __future__ import annotations

import asyncio
import random
from itertools import pairwise

import looptime
from behave import given, then, when

from dotterelhill.log import AppendQueueFullError, BatchedAppender, LogTail
from dotterelhill.log.tests.memory_log import MemoryLog


def start_loop(context):
    loop = looptime.new_event_loop()
    context.run = loop.run_until_complete
    context.now = loop.time
    context.add_cleanup(loop.close)
    context.log = MemoryLog()
    context.submitted = 0


def start_service(context, service):
    context.run(service.start())
    context.add_cleanup(lambda: context.run(service.stop()))


@given("a tail")
def start_tail(context):
    start_slow_tail(context, 0.0)


@given("a tail whose log answers after {seconds:g} seconds")
def start_slow_tail(context, seconds):
    start_loop(context)
    context.log.delay_seconds = seconds
    context.reads, context.trimmed = [], []

    async def make():
        return LogTail(
            context.log,
            "control",
            1,
            on_read=context.reads.append,
            on_trimmed=context.trimmed.append,
            rng=random.Random(7),
        )

    context.tail = context.run(make())
    start_service(context, context.tail)


@given("an appender with a spacing of {seconds:g} seconds")
def start_appender(context, seconds):
    start_loop(context)

    async def make():
        return BatchedAppender(
            context.log, "control", spacing_seconds=seconds, rng=random.Random(7)
        )

    context.appender = context.run(make())
    start_service(context, context.appender)


@given("the log loses {count:d} answers")
def lose_answers(context, count):
    context.log.lost_answers = count


@given("the log answers after {seconds:g} seconds")
def slow_down(context, seconds):
    context.log.delay_seconds = seconds


@when("the log becomes unavailable")
def make_unavailable(context):
    context.log.is_down = True
    context.log.reads = 0


@when("the log is available again")
def make_available(context):
    context.log.is_down = False


@when("{seconds:g} seconds pass")
def pass_time(context, seconds):
    context.run(asyncio.sleep(seconds))


@when('record "{data}" is in the stream')
def put(context, data):
    context.log.put("control", data.encode())


@when("{count:d} records are in the stream")
def put_many(context, count):
    context.log.put("control", *(str(number).encode() for number in range(count)))


@when("only the last {count:d} records are retained")
def trim(context, count):
    context.log.keep_last("control", count)


@when("the tail seeks to offset {offset:d}")
def seek(context, offset):
    context.tail.seek(offset)


@when("the stream loses its last records and restarts at {offset:d}")
def lose_last_records(context, offset):
    stream = context.log.stream("control")
    stream.next_offset = offset
    for items in (stream.offsets, stream.times, stream.data):
        del items[offset - 1 :]


@when("{count:d} records are submitted")
def submit(context, count):
    submit_until(context, count, float("inf"))


@when("{count:d} records are submitted that expire after {seconds:g} seconds")
def submit_until(context, count, seconds):
    for _ in range(count):
        data = str(context.submitted).encode()
        context.appender.submit(data, not_after=context.now() + seconds)
        context.submitted += 1


@then("the newest evidence is between {least:g} and {most:g} seconds old")
def check_evidence(context, least, most):
    age = context.now() - context.reads[-1].evidence_at
    assert least <= age <= most, age


@then("there was no evidence for at least {seconds:g} seconds")
def check_no_evidence(context, seconds):
    newest = context.reads[-1].evidence_at if context.reads else 0.0
    assert context.now() - newest >= seconds, newest


@then("between {least:d} and {most:d} reads were sent")
def check_reads(context, least, most):
    assert least <= context.log.reads <= most, context.log.reads


@then('{count:d} reads were delivered, complete as "{words}"')
def check_complete(context, count, words):
    with_records = [read for read in context.reads if read.records]
    assert len(with_records) == count
    found = ["yes" if read.is_complete else "no" for read in with_records]
    assert found == words.split(), found


@then("{count:d} records were delivered in order")
def check_delivered(context, count):
    offsets = [record.offset for read in context.reads for record in read.records]
    assert len(offsets) == count and offsets == sorted(set(offsets)), len(offsets)


@then("the tail reported {offset:d} as the earliest offset, once")
def check_trimmed(context, offset):
    assert context.trimmed == [offset] and context.tail.is_trimmed, context.trimmed


@then('the stream holds records "{words}"')
def check_stream(context, words):
    found = [data.decode() for data in context.log.stream("control").data]
    assert found == words.split(), found


@then("nothing is pending")
def check_drained(context):
    assert context.appender.pending == 0 and context.run(context.appender.drain(0.1))


@then('the appends contained "{counts}" records, at least {seconds:g} seconds apart')
def check_batches(context, counts, seconds):
    assert " ".join(str(count) for _, count in context.log.appends) == counts, context.log.appends
    times = [time for time, _ in context.log.appends]
    gaps = [later - earlier for earlier, later in pairwise(times)]
    assert min(gaps) >= seconds - 1e-6, gaps


@then("at most {count:d} append was in flight")
def check_in_flight(context, count):
    assert context.log.most_in_flight <= count


@then('one more record is refused with "{text}"')
def check_full(context, text):
    try:
        context.appender.submit(b"x")
    except AppendQueueFullError as error:
        assert str(error) == text, error
        return
    raise AssertionError("the record was queued")
