from __future__ import annotations

import asyncio
import time

import aiohttp
import msgspec
import zmq
from aiohttp import web
from behave import given, then, when

from dotterelhill.membership.heartbeats import Heartbeat, encode_message
from dotterelhill.membership.tests.fleet import heartbeat
from dotterelhill.membership.transport import CurveKeys, ZmqTransport
from dotterelhill.membership.vm_list import HttpVmList, VmListError, VmState
from standins.vm_list import make_app

VM = {
    "role": "entry",
    "failure_domain": "caxias",
    "region": "serra",
    "state": "live",
    "addresses": {"peer": "127.0.0.1:1", "forward": "127.0.0.1:2", "admin": "127.0.0.1:3"},
}


def new_keys():
    public, secret = zmq.curve_keypair()
    return CurveKeys(public.decode(), secret.decode())


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


async def wait_until(condition, seconds=5.0):
    for _ in range(int(seconds / 0.02)):
        if condition():
            return
        await asyncio.sleep(0.02)
    raise AssertionError(f"condition not met after {seconds} s")


@given("a peer port on loopback with the deployment's key")
def _(context):
    context.loop = asyncio.new_event_loop()
    context.keys, context.received = new_keys(), []
    context.transport = ZmqTransport("127.0.0.1:0", context.keys, context.received.append)
    run(context, context.transport.start())
    context.add_cleanup(context.loop.close)
    context.add_cleanup(lambda: run(context, context.transport.stop()))


def send_raw(context, data, client=None, server=None):
    """Send one message and wait until the port counts its outcome."""
    client, counts = client or context.keys, context.transport.counts
    before = counts.total()

    async def send():
        socket = zmq.Context.instance().socket(zmq.DEALER)
        socket.linger = 0
        socket.curve_serverkey = (server or context.keys).public.encode()
        socket.curve_publickey = client.public.encode()
        socket.curve_secretkey = client.secret.encode()
        socket.connect(f"tcp://{context.transport.address}")
        socket.send(data)
        await wait_until(lambda: counts.total() > before)
        socket.close()

    run(context, send())


@when("a process with {key_owner} key sends a heartbeat")
def _(context, key_owner):
    client = new_keys() if key_owner == "another client" else None
    server = new_keys() if key_owner == "another server" else None
    send_raw(context, encode_message(heartbeat(key_owner)), client, server)


@then("only the heartbeat of the deployment's key arrives")
def _(context):
    assert [message.entry for message in context.received] == ["the deployment's"]


@then("the refusals are counted")
def _(context):
    counts = context.transport.counts
    assert counts["wrong_key"] >= 1 and counts["failed_handshake"] >= 1, counts


@when("a peer sends {message_kind}")
def _(context, message_kind):
    newer = msgspec.to_builtins(heartbeat("newer", version=9))
    match message_kind:
        case "a message of an unknown type":
            data = msgspec.msgpack.encode(["Later", 9, "later/0"])
        case "a heartbeat with an unknown field and a higher version":
            data = msgspec.msgpack.encode([*newer, "new field"])
        case "bytes that are not a message":
            data = b"\xc1\x00"
    send_raw(context, data)


@then("the heartbeat arrives and the others are counted and dropped")
def _(context):
    (message,) = context.received
    assert isinstance(message, Heartbeat) and message.version == 9
    counts = context.transport.counts
    assert (counts["unknown_type"], counts["malformed"]) == (1, 1), counts


@given("a handler that fails on the first message")
def _(context):
    def receive(message):
        if message.entry == "broken":
            raise ValueError(message.entry)
        context.received.append(message)

    context.transport._on_message = receive


@when("two messages arrive and the handler fails on the first")
def _(context):
    send_raw(context, encode_message(heartbeat("broken")))
    send_raw(context, encode_message(heartbeat("friend")))


@then("the second message is received and the failure is counted")
def _(context):
    assert [message.entry for message in context.received] == ["friend"]
    assert context.transport.counts["failed"] == 1


@when("{count:d} messages are sent to an address without a listener")
def _(context, count):
    async def send():
        started = time.monotonic()
        results = [context.transport.send("127.0.0.1:9", heartbeat("a")) for _ in range(count)]
        return results, time.monotonic() - started

    context.results, context.seconds = run(context, send())


@then("every send returns without blocking and no message is queued")
def _(context):
    assert not any(context.results) and context.seconds < 2.0
    assert context.transport.counts["queue_full"] == len(context.results)


async def start_vm_list(context, lag, entries):
    runner = web.AppRunner(
        make_app(), access_log=None, shutdown_timeout=0.1, handler_cancellation=True
    )
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    context.url, context.runner = f"http://{host}:{port}", runner
    context.session = aiohttp.ClientSession()
    context.vm_list = HttpVmList(context.url, context.session)
    for name, entry in entries.items():
        await send_change(context, f"/vms/{name}", entry)
    await send_change(context, "/lag", {"seconds": lag})


async def send_change(context, path, body, method="PUT"):
    async with context.session.request(method, context.url + path, json=body) as answer:
        assert answer.status < 300, await answer.text()


def start(context, lag, entries):
    context.loop = asyncio.new_event_loop()
    run(context, start_vm_list(context, lag, entries))

    async def stop():
        await context.session.close()
        await context.runner.cleanup()

    context.add_cleanup(context.loop.close)
    context.add_cleanup(lambda: run(context, stop()))


@given('the VM list stand-in with "{name}" and an entry without a state')
def _(context, name):
    start(context, 0.0, {name: VM, "broken": {"role": "entry"}})


@given('the VM list stand-in with "{name}" and a lag of {lag:f} seconds')
def _(context, name, lag):
    start(context, lag, {name: VM})


@when("the list is read")
def _(context):
    context.vms = run(context, context.vm_list.read())


@then('it contains "{name}" and {count:d} entry is counted as invalid')
def _(context, name, count):
    assert [vm.name for vm in context.vms] == [name]
    assert context.vm_list.invalid_entries == count


@then("a second read reports no change")
def _(context):
    assert run(context, context.vm_list.read()) is None


@then("reads fail while the stand-in is down and while it does not answer")
def _(context):
    async def check_failures():
        for fault in ("down", "silent"):
            await send_change(context, "/faults", {"mode": fault}, "POST")
            try:
                await context.vm_list.read()
            except VmListError:
                continue
            raise AssertionError(fault)
        await send_change(context, "/faults", {"mode": "ok"}, "POST")

    run(context, check_failures())


@when('the state of "{name}" is set to leaving')
def _(context, name):
    run(context, send_change(context, f"/vms/{name}", {**VM, "state": "leaving"}))


@then("the list shows it as live at first and as leaving after the lag")
def _(context):
    async def read_states():
        first = await context.vm_list.read()
        await asyncio.sleep(0.4)
        return first[0].state, (await context.vm_list.read())[0].state

    assert run(context, read_states()) == (VmState.LIVE, VmState.LEAVING)
