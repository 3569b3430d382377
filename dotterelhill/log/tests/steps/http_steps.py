from __future__ import annotations

import asyncio
import time

import aiohttp
from aiohttp import web
from behave import given, then, when

from dotterelhill.log import HttpLog, LogError, LogTrimmedError
from standins.faults import start_site
from standins.log import LogService, Retention, log_app


def start_server(context, app):
    context.runner, port = context.run(start_site(app, "127.0.0.1", 0))
    context.add_cleanup(lambda: context.run(context.runner.cleanup()))
    context.url = f"http://127.0.0.1:{port}"
    context.http_log = HttpLog(context.url, append_timeout_seconds=1.0, read_timeout_seconds=1.0)
    context.add_cleanup(lambda: context.run(context.http_log.close()))


@given("a log service over loopback that retains {count:d} records")
def start_log(context, count):
    loop = asyncio.new_event_loop()
    context.add_cleanup(loop.close)
    context.run = loop.run_until_complete
    start_server(context, log_app(LogService(Retention(records=count))))


@given('the log is in mode "{mode}"')
def set_mode(context, mode):
    set_mode_for(context, mode, 0.0)


@given('the log is in mode "{mode}" by {seconds:g} seconds')
def set_mode_for(context, mode, seconds):
    async def post():
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                f"{context.url}/faults", json={"mode": mode, "seconds": seconds}
            ) as answer,
        ):
            assert answer.status == 200

    context.run(post())


@given("the log's port is closed")
def close_port(context):
    context.run(context.runner.cleanup())


@given("the log's answers are not msgpack")
def break_answers(context):
    async def answer(request):
        return web.Response(text="<html>")

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", answer)
    start_server(context, app)


@when('"{data}" is appended')
def append(context, data):
    context.first = context.error = None
    started_at = time.monotonic()
    try:
        context.first = context.run(context.http_log.append("control", [data.encode()]))
    except LogError as error:
        context.error = error
    context.seconds = time.monotonic() - started_at


@when('"{data}" is appended {seconds:g} seconds after a long poll from offset {start:d} began')
def append_during_poll(context, data, seconds, start):
    async def poll_and_append():
        read = asyncio.ensure_future(context.http_log.read("control", start, wait_seconds=3.0))
        await asyncio.sleep(seconds)
        await context.http_log.append("control", [data.encode()])
        return await read

    started_at = time.monotonic()
    context.result = context.run(poll_and_append())
    context.seconds = time.monotonic() - started_at


@then("it took less than {seconds:g} seconds")
def check_seconds(context, seconds):
    assert context.seconds < seconds, context.seconds


@then("the append failed with a known effect")
def check_known(context):
    assert context.error is not None and not context.error.is_effect_unknown, context.error


@then("the append failed with an unknown effect")
def check_unknown(context):
    assert context.error is not None and context.error.is_effect_unknown, context.error


@then("the record was appended at offset {offset:d}")
def check_offset(context, offset):
    assert (context.first, context.error) == (offset, None), context.error


@then('the stream holds ""')
def check_empty(context):
    set_mode(context, "ok")
    assert not context.run(context.http_log.read("control", 1)).records


@then('the stream holds "{data}"')
def check_content(context, data):
    check_read(context, 1, data)


@then('the long poll returned "{data}"')
def check_poll(context, data):
    assert [record.data.decode() for record in context.result.records] == [data]


@then("a read from offset {start:d} reports {earliest:d} as the earliest offset")
def check_trimmed(context, start, earliest):
    try:
        context.run(context.http_log.read("control", start))
    except LogTrimmedError as error:
        assert error.earliest_offset == earliest
        return
    raise AssertionError("the read succeeded")


@then('a read from offset {start:d} returns "{data}"')
def check_read(context, start, data):
    set_mode(context, "ok")
    records = context.run(context.http_log.read("control", start)).records
    assert [record.data.decode() for record in records] == data.split(), records
