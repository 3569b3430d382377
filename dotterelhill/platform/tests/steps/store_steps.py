from __future__ import annotations

import asyncio
import base64
import json
import time

import aiohttp
from behave import given, then, use_step_matcher, when

from dotterelhill.control.interface import PartialRead, Record, StoreError, Stream
from dotterelhill.platform.store import PlatformStore, encode_records

use_step_matcher("re")


def answer(status: int, body: bytes) -> bytes:
    head = f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
    return head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


def newest_answer() -> bytes:
    value = base64.b64encode(b"x" * 1000).decode()
    items = [{"key": "config", "value": value, "offset": 1}]
    return answer(200, json.dumps({"items": items, "hasMore": False, "end": 2}).encode())


def set_answer(context, parts: list[bytes], pause_seconds: float = 0.0):
    context.parts, context.pause_seconds, context.calls = parts, pause_seconds, 0


@given(
    r"a store on loopback that sends an answer in (?P<count>\d+) parts, "
    r"(?P<seconds>[\d.]+) seconds apart"
)
def slow_store(context, count, seconds):
    data = newest_answer()
    size = -(-len(data) // int(count))
    parts = [data[start : start + size] for start in range(0, len(data), size)]
    set_answer(context, parts, float(seconds))


@given(r"a store on loopback that closes connections without an answer")
def closing_store(context):
    set_answer(context, [])


@given(r"a store on loopback that answers (?P<status>\d+)(?: with (?P<body>.+))?")
def refusing_store(context, status, body):
    set_answer(context, [answer(int(status), (body or "{}").encode())])


@given(
    r"a store on loopback that answers a read with (?P<count>\d+) records of (?P<size>\d+) bytes"
)
def long_store(context, count, size):
    records = encode_records([Record("k", b"x" * int(size))] * int(count))
    set_answer(context, [answer(200, bytes(16) + records)])


@when(r"records are read")
def read(context):
    asyncio.run(call_store(context, lambda store: store.read(Stream.MINIONS, 0, 0.0)))


@then(r"(?P<count>\d+) records are read, and it is (?P<known>possible|excluded) that others follow")
def check_end(context, count, known):
    assert len(context.result.records) == int(count), context.error
    assert context.result.is_at_end is (known == "excluded")


async def call_store(context, call):
    async def handle(reader, writer):
        context.calls += 1
        request = await reader.readuntil(b"\r\n\r\n")
        parts = context.parts(request) if callable(context.parts) else context.parts
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(context.pause_seconds)
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with aiohttp.ClientSession() as session:
        store = PlatformStore(lambda: session, f"127.0.0.1:{port}", 12)
        started_at = time.monotonic()
        try:
            context.result, context.error = await call(store), None
        except StoreError as error:
            context.result, context.error = None, error
        context.seconds = time.monotonic() - started_at
    server.close()


@when(r"the newest configuration is read")
def read_newest(context):
    asyncio.run(call_store(context, lambda store: store.newest(Stream.CONFIGURATION)))


@when(r"a record is appended")
def append(context):
    record = Record("k", b"v")
    asyncio.run(call_store(context, lambda store: store.append(Stream.PROGRESS, [record])))


@when(r"a record of (?P<size>\d+) bytes is appended")
def append_sized(context, size):
    record = Record("k", b"v" * int(size))
    asyncio.run(call_store(context, lambda store: store.append(Stream.PROGRESS, [record])))


@then(r"(?P<count>\d+) calls were made")
def check_calls(context, count):
    assert context.calls == int(count), context.calls


@then(r"the complete configuration is read with (?P<count>\d+) call")
def check_read(context, count):
    assert context.error is None, context.error
    assert context.result.records == (Record("config", b"x" * 1000),)
    assert context.calls == int(count), context.calls


@then(r"the read fails within (?P<seconds>\d+) seconds")
def check_read_failed(context, seconds):
    assert context.error is not None and context.seconds < float(seconds), context.seconds


@then(r"the append fails with an unknown effect")
def check_unknown_effect(context):
    assert context.error is not None and context.error.is_effect_unknown, context.error


@then(r"the append fails with no effect")
def check_no_effect(context):
    assert context.error is not None and not context.error.is_effect_unknown, context.error


@then(r"the append fails as (?P<kind>\w+)")
def check_error_type(context, kind):
    assert type(context.error).__name__ == kind, context.error


@given(
    r"a store on loopback that gives (?P<pages>\d+) pages of newest records and answers 503 "
    r"to each second call"
)
def paged_store(context, pages):
    context.pages_served = []

    def next_parts(request: bytes) -> list[bytes]:
        if context.calls % 2 == 0:
            return [answer(503, b"{}")]
        after = int(request.partition(b"after=")[2][:1] or 0)
        context.pages_served.append(after)
        items = [{"key": str(after + 1), "value": "eHk=", "offset": 1}]
        page = {"items": items, "hasMore": after + 1 < int(pages), "end": 9}
        return [answer(200, json.dumps(page).encode())]

    set_answer(context, next_parts)


@when(r"the newest configuration is read again until it succeeds")
def read_in_attempts(context):
    pages = PartialRead()

    async def read_newest(store):
        for _ in range(9):
            try:
                return await store.newest(Stream.CONFIGURATION, partial=pages)
            except StoreError:
                continue
        raise AssertionError("no attempt succeeded")

    asyncio.run(call_store(context, read_newest))


@then(r"each page was read once")
def check_pages(context):
    assert context.pages_served == sorted(set(context.pages_served)), context.pages_served
