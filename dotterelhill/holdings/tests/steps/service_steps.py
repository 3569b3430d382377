from __future__ import annotations

import asyncio

import looptime
import msgspec
from behave import given, then, when

from dotterelhill.holdings import Holdings
from dotterelhill.ledger import ControlRecord, Hold, Join, Leave, Release
from dotterelhill.manifest import manifest_from_document


class World:
    """Fake ledger, appender and peer view of one process; every append is accepted at once."""

    incarnation = "a/0"

    def __init__(self):
        self.joined, self.ended, self.holdings = {}, {}, {}
        self.records, self.leaving, self.busy, self.tokens = [], frozenset(), 0, {}

    def previous_token(self, resource):
        return self.tokens.get(resource, 0)

    def leaving_vms(self):
        return self.leaving

    def live_peers(self, now):
        return ()

    def submit(self, data):
        record = msgspec.msgpack.decode(data, type=ControlRecord)
        self.records.append(record)
        offset = len(self.records)
        if isinstance(record, Hold):
            self.tokens[record.resource] = offset
        asyncio.get_running_loop().call_soon(self.fold, offset, record)

    def fold(self, offset, record):
        self.holdings_service.on_accepted(offset, record)
        self.holdings_service.on_folded(offset)


def manifest():
    minion = {"failure_domain": "caxias", "slots": 8, "connections": 64}
    limits = {"requests_per_second": 9, "in_flight": 9, "cpu": 1, "memory_gb": 1}
    minions = {f"m{n}": {**minion, "address": f"127.0.0.1:{n + 1}"} for n in (0, 1)}
    return manifest_from_document(
        {
            "members": {"bancadas": {"limits": limits}},
            "limits": limits,
            "failure_domains": {"caxias": {"region": "serra"}},
            "services": {"bancada": {"member": "bancadas", "path_prefix": "/", "minions": minions}},
        }
    )


def run_for(context, seconds):
    async def run():
        for _ in range(int(seconds * 2)):
            now = context.loop.time()
            context.service.on_evidence(now, len(context.world.records))
            await asyncio.sleep(0.5)

    context.loop.run_until_complete(run())


def permit(context, minion):
    return context.service.permit_for(minion, context.loop.time())


@given('a holdings service that uses "m0" and "m1"')
def _(context):
    context.loop, context.world = looptime.new_event_loop(), World()
    world = context.world
    context.service = world.holdings_service = Holdings(
        "a", "caxias", world, world, world, lambda minion: world.busy
    )

    async def start():
        context.service.on_manifest(manifest())
        await context.service.start()

    context.loop.run_until_complete(start())
    context.add_cleanup(context.loop.close)
    context.add_cleanup(lambda: context.loop.run_until_complete(context.service.stop()))
    run_for(context, 8)
    assert permit(context, "m0").slots == permit(context, "m1").slots == 8
    assert [type(record) for record in world.records] == [Join, Hold, Hold]


@when('the VM list marks "m0" as leaving')
def _(context):
    context.world.busy, context.world.leaving = 1, frozenset({"m0"})


@then('within {seconds:d} seconds "m0" has no permit and "m1" has one')
def _(context, seconds):
    run_for(context, seconds)
    assert (permit(context, "m0").slots, permit(context, "m1").slots) == (0, 8)


@then('"m0" is released once it is not busy')
def _(context):
    run_for(context, 10)
    assert not any(isinstance(record, Release) for record in context.world.records)
    context.world.busy = 0
    run_for(context, 2)
    assert context.world.records[-1] == Release(
        resource="minion:m0", token=context.world.tokens["minion:m0"]
    )


@when("it leaves")
def _(context):
    async def leave():
        leaving = asyncio.create_task(context.service.leave())
        while not leaving.done():
            context.service.on_evidence(context.loop.time(), len(context.world.records))
            await asyncio.sleep(0.5)

    context.loop.run_until_complete(leave())


@then("its last records are two releases and a Leave")
def _(context):
    assert [type(record) for record in context.world.records[-3:]] == [Release, Release, Leave]
