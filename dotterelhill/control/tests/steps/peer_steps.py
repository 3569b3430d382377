from __future__ import annotations

import asyncio
import logging
from types import SimpleNamespace

import aiohttp
from behave import given, then, use_step_matcher, when

from dotterelhill.control.interface import Record
from dotterelhill.control.peers import (
    CONFIGURATION_PATH,
    HELD_PARAMETER,
    LINK_PATH,
    SUPERSEDED_PATH,
    PeerClient,
    PeerServer,
    PeerUnreachableError,
)

use_step_matcher("re")

UPGRADE = "Upgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13"
REQUESTS = {
    "the request of a relay": f"GET {LINK_PATH} HTTP/1.1\r\nHost: h\r\n{UPGRADE}\r\n"
    "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n",
    "a part of a claim": f"POST {SUPERSEDED_PATH} HTTP/1.1\r\nHost: h\r\n"
    "Content-Length: 100\r\n\r\nabc",
}


@when(r"a caller of the peer server closes its connection after sending (?P<name>.+)")
def close_early(context, name):
    context.errors = []
    handler = logging.Handler(logging.ERROR)
    handler.emit = context.errors.append
    logging.getLogger("aiohttp.server").addHandler(handler)
    context.add_cleanup(logging.getLogger("aiohttp.server").removeHandler, handler)
    relays = SimpleNamespace(relays=context.relay_world.pool)
    source = SimpleNamespace(leader=relays, accept_claim=None)

    async def call() -> None:
        server = PeerServer(source, None, "127.0.0.1", 0)
        await server.on_start()
        _, writer = await asyncio.open_connection(*server._runner.addresses[0])
        writer.write(REQUESTS[name].encode())
        writer.transport.abort()
        await asyncio.sleep(0.1)
        await server.on_stop()

    asyncio.run(call())


@then(r"the peer server has logged no unhandled error")
def check_no_errors(context):
    assert not context.errors, [record.getMessage() for record in context.errors]


@given(r"a peer server that holds a configuration of (?P<size>\d+) megabytes, version 3")
def hold_configuration(context, size):
    record = Record("config", b"x" * (int(size) * 1_000_000))
    context.feed = SimpleNamespace(record=record, config=SimpleNamespace(version=3))


@when(r"(?P<count>\d+) processes that hold version 2 ask for it at once and read slowly")
def ask_at_once(context, count):
    async def status_of(address) -> int:
        reader, writer = await asyncio.open_connection(*address, limit=1024)
        writer.write(
            f"GET {CONFIGURATION_PATH}?{HELD_PARAMETER}=2 HTTP/1.1\r\nHost: h\r\n\r\n".encode()
        )
        status = int((await reader.readline()).split()[1])
        # The rest of a large answer stays unread until all have asked.
        await asyncio.sleep(0.5)
        writer.transport.abort()
        return status

    async def ask(session, address, held):
        try:
            return await PeerClient(lambda: session).configuration(address, held)
        except PeerUnreachableError as error:
            return str(error)

    async def play() -> None:
        server = PeerServer(SimpleNamespace(), None, "127.0.0.1", 0, context.feed)
        await server.on_start()
        host, port = server._runner.addresses[0]
        context.statuses = await asyncio.gather(
            *(status_of((host, port)) for _ in range(int(count)))
        )
        async with aiohttp.ClientSession() as session:
            context.answers = {held: await ask(session, f"{host}:{port}", held) for held in (2, 3)}
        await server.on_stop()

    asyncio.run(play())


@then(r"at most (?P<count>\d+) get it at first, and the others are refused")
def check_statuses(context, count):
    assert sorted(set(context.statuses)) == [200, 503], context.statuses
    assert context.statuses.count(200) <= int(count), context.statuses


@then(r"a process that holds version 3 gets none")
def check_none(context):
    assert context.answers[3] == "status 404", context.answers[3]


@then(r"a process that holds version 2 gets the record of version 3")
def check_record(context):
    assert context.answers[2] == context.feed.record
