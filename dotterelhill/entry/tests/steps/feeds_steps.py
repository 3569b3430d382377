from random import Random

import msgspec
from behave import given, then, when

from dotterelhill.entry.feeds import ConfigFeed
from dotterelhill.ledger import Adopt, Ledger, encode_record
from dotterelhill.log.interface import LogRecord
from dotterelhill.log.tail import TailRead


def _document(version):
    amounts = {"cpu": 10, "memory_gb": 10}
    limits = {"requests_per_second": 10 + version, "in_flight": 10, **amounts}
    return {
        "members": {"m": {"limits": limits}},
        "limits": limits,
        "failure_domains": {"d": {"region": "r"}},
    }


@given("a config stream with {count:d} accepted versions")
def step_stream(context, count):
    context.records = [
        msgspec.json.encode({"id": f"p{v}", "base": v - 1, "document": _document(v)})
        for v in range(1, count + 1)
    ]


@given("a follower that has read nothing")
def step_follower(context):
    context.feed = ConfigFeed(None, Random(1))
    context.ledger = Ledger(context.feed.manifest_at)


@when("a peer relays version {version:d} to the follower")
def step_relay(context, version):
    context.feed.apply_relayed(version, context.records[version - 1])


@when("the follower reads the config stream from offset {start:d}")
def step_read(context, start):
    records = tuple(LogRecord(n, data) for n, data in enumerate(context.records, 1) if n >= start)
    context.feed._take(TailRead(records, 1.0, len(context.records) + 1, True))


@then("version {version:d} is in force")
def step_in_force(context, version):
    assert context.feed.current.version == version, context.feed.current.version


@then('the Adopt of each version gets the verdict "{kind}"')
def step_adopt_each(context, kind):
    for version in range(1, len(context.records) + 1):
        step_adopt(context, version, kind)


@then('the Adopt of version {version:d} gets the verdict "{kind}"')
def step_adopt(context, version, kind):
    data = encode_record(Adopt(manifest_version=version, digest=""))
    verdict = context.ledger.apply(version, data)
    assert verdict.kind == kind, verdict
