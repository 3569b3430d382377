from __future__ import annotations

import asyncio
import logging
from types import SimpleNamespace

from behave import then, use_step_matcher, when

from dotterelhill.control.peers import LINK_PATH, SUPERSEDED_PATH, PeerServer

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
