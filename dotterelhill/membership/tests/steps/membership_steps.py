from __future__ import annotations

import looptime
from behave import given, then, when

from dotterelhill.membership.tests.fleet import Fleet, heartbeat, listed_vm
from dotterelhill.membership.view import HeartbeatHeard, MembershipDecision


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def start(context):
    if not getattr(context, "is_started", False):
        context.is_started = True
        for node in context.fleet.nodes.values():
            run(context, node.service.start())


@given('a fleet with "{first}" of {count:d} and "{second}" of {others:d} processes')
def _(context, first, count, second, others):
    context.loop = looptime.new_event_loop()
    context.fleet = Fleet()
    for domain, size in ((first, count), (second, others)):
        for number in range(1, size + 1):
            context.fleet.add(f"{domain}-{number}", domain)

    def stop():
        for node in context.fleet.nodes.values():
            run(context, node.service.stop())
        context.loop.close()

    context.add_cleanup(stop)


@given('the VM list also names "{name}" in "{domain}"')
def _(context, name, domain):
    context.fleet.vms.append(listed_vm(name, domain))


@given('the VM list lacks "{name}"')
def _(context, name):
    context.fleet.vms = [vm for vm in context.fleet.vms if vm.name != name]


@when("{seconds:d} seconds pass")
def _(context, seconds):
    start(context)

    async def wait():
        import asyncio

        await asyncio.sleep(seconds)

    run(context, wait())


@when("{seconds:d} seconds are observed")
def _(context, seconds):
    context.fleet.sent.clear()
    context.execute_steps(f"When {seconds} seconds pass")


@when('"{name}" stops sending and receiving')
def _(context, name):
    context.fleet.silent.add(name)


@when("the VM list becomes unreachable")
def _(context):
    context.fleet.is_list_down = True


@when('only "{name}" reads manifest version {version:d} from the log')
def _(context, name, version):
    context.fleet.nodes[name].manifest = (version, b"record")


@when('"{name}" can exchange messages with "{peer}" only')
def _(context, name, peer):
    context.lagging = name
    context.fleet.cut_links = {
        frozenset({name, other}) for other in context.fleet.nodes if other != peer
    }


@when("all others read manifest version {version:d} from the log")
def _(context, version):
    for name, node in context.fleet.nodes.items():
        if name != context.lagging:
            node.manifest = (version, b"record")


@when('"{name}" has folded {count:d} control records and the others are cut off at 0')
def _(context, name, count):
    for node in context.fleet.nodes.values():
        node.is_cut_off = True
    context.fleet.nodes[name].is_cut_off = False
    context.fleet.nodes[name].control = count


def names_seen(context, node):
    return {peer.incarnation[:-2] for peer in node.service.live_peers(context.loop.time())}


@then("every process sees the {count:d} others as alive")
def _(context, count):
    for name, node in context.fleet.nodes.items():
        assert names_seen(context, node) == set(context.fleet.nodes) - {name}, name
    assert len(context.fleet.nodes) == count + 1


@then('"{name}" has sent heartbeats to the address of "{other}"')
def _(context, name, other):
    assert (name, f"{other}:1") in context.fleet.sent


@then('"{name}" sees only "{other}" of its own domain')
def _(context, name, other):
    node = context.fleet.nodes[name]
    seen = {peer for peer in names_seen(context, node) if peer.startswith(node.domain)}
    assert seen == {other}, seen


@then('"{name}" sees {count:d} processes of "{domain}"')
def _(context, name, count, domain):
    seen = names_seen(context, context.fleet.nodes[name])
    assert len([peer for peer in seen if peer.startswith(domain)]) == count, seen


@then("at most {count:d} messages were sent between domains in the observed time")
def _(context, count):
    assert 0 < context.fleet.cross_domain_sends() <= count, context.fleet.cross_domain_sends()


@then("every process has manifest version {version:d}")
def _(context, version):
    assert {node.manifest[0] for node in context.fleet.nodes.values()} == {version}


@then("every process has control offset {offset:d}")
def _(context, offset):
    assert {node.control for node in context.fleet.nodes.values()} == {offset}


@then("no batch has more than {count:d} records")
def _(context, count):
    assert context.fleet.batch_sizes and max(context.fleet.batch_sizes) <= count


@given('a process "{name}" without peers')
def _(context, name):
    context.decision = MembershipDecision(f"{name}/0", "kbh-nord", "east", f"{name}:1", "")


@when('it receives a heartbeat of "{name}" with stamp {stamp:f} and {readiness}')
def _(context, name, stamp, readiness):
    message = heartbeat(name, stamp=stamp, is_ready=readiness == "ready")
    context.decision.decide(HeartbeatHeard(message), 1.0)


@then('it sees "{name}" as ready')
def _(context, name):
    (peer,) = context.decision.live_peers(1.0)
    assert peer.incarnation == f"{name}/0" and peer.is_ready
