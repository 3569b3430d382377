from __future__ import annotations

import asyncio
import json
import random

import looptime
from behave import given, then, when

from dotterelhill.log.tests.memory_log import Link, MemoryLog
from dotterelhill.manifest.feed import CONFIG_STREAM, ConfigFeed

LIMITS = {"requests_per_second": 10, "in_flight": 10, "cpu": 1, "memory_gb": 1}


def publication(name, base, autonomy):
    document = {
        "members": {},
        "limits": LIMITS,
        "failure_domains": {},
        "autonomy_seconds": autonomy,
    }
    return json.dumps({"id": name, "base": base, "document": document}).encode()


@given("{count:d} processes that follow the config stream")
def start_processes(context, count):
    loop = looptime.new_event_loop()
    context.add_cleanup(loop.close)
    context.run = loop.run_until_complete
    context.now = loop.time
    context.log = MemoryLog()
    context.links, context.feeds, context.versions = {}, {}, {}
    for number in range(1, count + 1):
        context.links[number] = Link(context.log)
        context.run(start_feed(context, number))


async def start_feed(context, number):
    feed = ConfigFeed(context.links[number], rng=random.Random(number))
    context.feeds[number] = feed
    context.versions[number] = []
    feed.add_listener(lambda manifest: context.versions[number].append(manifest.version))
    await feed.start()
    await feed.start_following()
    context.add_cleanup(lambda: context.run(feed.stop()))


@given('publication "{name}" on base {base:d} with autonomy {autonomy:d} is appended')
@when('publication "{name}" on base {base:d} with autonomy {autonomy:d} is appended')
def publish(context, name, base, autonomy):
    context.log.put(CONFIG_STREAM, publication(name, base, autonomy))


@when('publication "{name}" on base {base:d} with 10**30 accelerators is appended')
def publish_large(context, name, base):
    record = publication(name, base, 200).replace(
        b'"cpu": 1,', b'"cpu": 1, "accelerators": %d,' % (10**30)
    )
    context.log.put(CONFIG_STREAM, record)


@when("truncated bytes are appended")
def append_truncated(context):
    context.log.put(CONFIG_STREAM, publication("torn", 1, 200)[:40])


@when("deeply nested bytes are appended")
def append_nested(context):
    nested = b'{"id": "n", "base": 1, "document": ' + b"[" * 100_000
    context.log.put(CONFIG_STREAM, nested)


@given("{seconds:g} seconds pass")
@when("{seconds:g} seconds pass")
def pass_time(context, seconds):
    context.run(asyncio.sleep(seconds))


@given("process {number:d} is cut off from the log")
def cut_link(context, number):
    context.links[number].is_cut = True
    context.run(asyncio.sleep(0.5))


@when("process {number:d} reaches the log again")
def restore_link(context, number):
    context.links[number].is_cut = False


@when("process {sender:d} relays its manifest to process {receiver:d}")
def relay(context, sender, receiver):
    manifest = context.feeds[sender].current
    context.feeds[receiver].accept_relayed(manifest.version, manifest.record)


@when("process {number:d} receives a truncated relayed record")
def relay_truncated(context, number):
    manifest = context.feeds[number].current
    assert not context.feeds[number].accept_relayed(9, manifest.record[:40])
    assert context.feeds[number].refused_relays == 1


@when("process {sender:d} relays its evidence to process {receiver:d}, asked {ago:g} seconds ago")
def relay_evidence(context, sender, receiver, ago):
    feed, now = context.feeds[sender], context.now()
    context.feeds[receiver].accept_evidence(feed.version, now - feed.evidence_at, now - ago)


@when("the state of process {number:d} is saved")
def save_state(context, number):
    context.state = context.feeds[number].config_state


@when("process {number:d} is restored from the saved state")
def restore(context, number):
    context.feeds[number].restore(context.state)


@then('version {version:d} with autonomy {autonomy:d} is in force in processes "{numbers}"')
def check_in_force(context, version, autonomy, numbers):
    for number in map(int, numbers.split()):
        current = context.feeds[number].current
        found = (current.version, current.manifest.autonomy_seconds)
        assert found == (version, autonomy), (number, found)


@then('the verdict on "{name}" is "{verdict}" in processes "{numbers}"')
def check_verdict(context, name, verdict, numbers):
    for number in map(int, numbers.split()):
        found = context.feeds[number].history.verdict_of(name)
        assert found.verdict == verdict, (number, found)


@then('the verdict on "{name}" contains a fault at "{path}"')
def check_fault(context, name, path):
    faults = context.feeds[1].history.verdict_of(name).faults
    assert [fault.path for fault in faults] == [path], faults


@then("the version in force in process {number:d} never decreased")
def check_never_decreased(context, number):
    versions = context.versions[number]
    assert versions == sorted(set(versions)), versions


@then('process {number:d} has the manifests of versions "{versions}"')
def check_known(context, number, versions):
    for version in map(int, versions.split()):
        assert context.feeds[number].manifest_at(version).version == version


@then("the evidence of process {number:d} is between {least:g} and {most:g} seconds old")
def check_evidence(context, number, least, most):
    age = context.now() - context.feeds[number].evidence_at
    assert least <= age <= most, age
