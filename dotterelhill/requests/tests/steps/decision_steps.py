import asyncio
import tracemalloc
from random import Random

import looptime
import msgspec
from behave import then

from dotterelhill.core import ErrorKind, RequestError
from dotterelhill.holdings import Permit
from dotterelhill.manifest import Priority
from dotterelhill.membership import Peer
from dotterelhill.requests.admission import Waiter, WaitQueue
from dotterelhill.requests.claims import Claim, ClaimBatches, ClaimTable
from dotterelhill.requests.forwarding import NONCE_WINDOW, ForwardAuthenticator, Purpose
from dotterelhill.requests.idempotency import Answered, KeyIssuer, KeyTable
from dotterelhill.requests.messages import RequestHead
from dotterelhill.requests.retries import RetryBudget, is_repeatable
from dotterelhill.requests.routing import Candidate, PeerSelector, Routing
from dotterelhill.requests.slots import SlotTable
from dotterelhill.requests.tests.harness import DEPLOYMENT_KEY, World

NAMES = tuple(f"m{number}" for number in range(10))


def candidates(names=NAMES):
    return [Candidate(name, 0) for name in names]


@then("a minion with 5 failures in a row is ejected for 5, 10, 20, 40, 60 and 60 seconds")
def check_ejection_doubles(context):
    routing, now = Routing(Random(1)), 0.0
    for _ in range(4):
        routing.record_failure("m0", NAMES, now)
    assert not routing.ejected()
    routing.record_failure("m0", NAMES, now)
    for seconds in (5, 10, 20, 40, 60, 60):
        just_before = now + seconds - 0.01
        assert all(routing.choose(candidates(), just_before) != "m0" for _ in range(50))
        now += seconds
        assert routing.choose(candidates(), now) == "m0"
        routing.record_failure("m0", NAMES, now)
    context.routing, context.now = routing, now


@then("it gets exactly one probe at a time and returns after an answer")
def check_one_probe(context):
    routing, now = context.routing, context.now + 60
    assert [routing.choose(candidates(), now) for _ in range(50)].count("m0") == 1
    routing.record_unused("m0")
    assert [routing.choose(candidates(), now) for _ in range(50)].count("m0") == 1
    routing.record_answer("m0", 0.01, NAMES, now)
    assert not routing.ejected()
    assert [routing.choose(candidates(), now) for _ in range(50)].count("m0") > 1


@then("a minion above 5 times the median latency is ejected")
def check_slow_minion_is_ejected(context):
    routing = Routing(Random(1))
    for _ in range(30):
        for name in NAMES:
            routing.record_answer(name, 0.3 if name == "m3" else 0.03, NAMES, 0.0)
    assert routing.ejected() == {"m3"}, routing.ejected()


@then("of 10 failing minions 3 are ejected")
def check_ejected_share(context):
    routing = Routing(Random(1))
    for name in NAMES * 10:
        routing.record_failure(name, NAMES, 0.0)
    assert len(routing.ejected()) == 3
    assert routing.choose(candidates(), 0.0) is not None


@then("peers are chosen by domain, then region, and a burst does not exceed reported slots")
def check_forwarding_order(context):
    world = World()
    manifest = world.manifest()

    def peer(name, domain, region, slots):
        return Peer(name, domain, region, "", True, 1.0, {"bancada": slots})

    near = peer("a/1", "caxias", "serra", 2)
    mid = peer("b/1", "gramado", "serra", 2)
    far = peer("c/1", "pelotas", "litoral", 9)
    selector = PeerSelector("caxias", "serra", Random(1))
    chosen = []
    for _ in range(6):
        peer = selector.choose(
            [far, mid, near], "bancada", manifest, may_cross_regions=len(chosen) < 5
        )
        chosen.append(peer and peer.incarnation)
        if peer:
            selector.record_sent(peer)
    assert chosen == ["a/1", "a/1", "b/1", "b/1", "c/1", None], chosen
    world.domain_states["caxias"] = "out"
    fresh = PeerSelector("caxias", "serra", Random(1))
    assert fresh.choose([near, mid], "bancada", world.manifest(), may_cross_regions=True) is mid


@then("1000 failing requests get at most 110 retries")
def check_retry_budget(context):
    budget, retries = RetryBudget(Random(1)), 0
    for _ in range(1000):
        budget.count_request()
        for attempt in (1, 2, 3):
            pause = budget.take(attempt)
            if pause is None:
                break
            assert 0 <= pause <= 0.1
            retries += 1
    assert 100 <= retries <= 110, retries


@then("only repeatable requests or ones that were not dispatched are retried")
def check_repeatable_kinds(context):
    for kind in ErrorKind:
        assert not is_repeatable(kind, is_dispatched=True, is_idempotent=False)
    assert is_repeatable(ErrorKind.CONNECT_FAILED, is_dispatched=False, is_idempotent=False)
    assert not is_repeatable(ErrorKind.OVERLOADED, is_dispatched=False, is_idempotent=True)


@then("a full queue sheds low before normal before urgent and newer before older")
def check_shedding_order(context):
    queue = WaitQueue(length=3)
    order = [
        Priority.LOW,
        Priority.NORMAL,
        Priority.LOW,
        Priority.URGENT,
        Priority.LOW,
        Priority.URGENT,
        Priority.URGENT,
    ]
    shed = []
    for number, priority in enumerate(order):
        item = queue.offer(Waiter(number, priority, priority, 5.0 + number))
        shed.append(item and item.number)
    assert shed == [None, None, None, 2, 4, 0, 1], shed
    assert queue.first_waiter("urgent").number == 3
    assert [item.number for item in queue.remove_overdue(10.0)] == [3, 5] and len(queue) == 1


@then("an abandoned slot stays taken for 30 seconds or until it is released")
def check_reserved_slots(context):
    table, permit = SlotTable(), Permit(2, 1)
    slot = table.take("m0")
    assert table.free_count("m0", permit) == 0, "a request needs a connection too"
    table.abandon(slot, 100.0)
    table.abandon(slot, 120.0)
    assert table.expire(129.9) == [] and table.in_flight["m0"] == 1
    assert table.expire(130.0) == [slot] and table.in_flight["m0"] == 0
    assert not table.release(slot)
    assert table.in_flight["m0"] == 0 and table.free_count("m0", Permit(0, 0)) == 0


@then("a request that waits in virtual time is refused at half of its deadline")
def check_half_deadline(context):
    loop = looptime.new_event_loop()

    async def wait():
        # The queue uses the virtual clock of the loop, so nothing here sleeps in real time.
        queue, started = WaitQueue(), loop.time()
        queue.offer(Waiter(1, "bancada", Priority.NORMAL, started + 15.0))
        for _ in range(1000):
            if queue.remove_overdue(loop.time()):
                break
            await asyncio.sleep(0.05)
        return loop.time() - started

    passed = loop.run_until_complete(wait())
    loop.close()
    assert 15.0 <= passed <= 15.1, passed


@then("nonces are accepted once, out of order, and never below the window")
def check_nonces(context):
    sender = ForwardAuthenticator(DEPLOYMENT_KEY, "a/1")
    target = ForwardAuthenticator(DEPLOYMENT_KEY, "b/1")
    bare = RequestHead("POST", "/x", (("Host", "h"),), 0)
    heads = []
    for _ in range(NONCE_WINDOW + 10):
        hop = sender.new_hop("b/1", 1.0, Purpose.DISPATCH)
        headers = bare.headers + sender.signed_headers(bare, hop)
        heads.append(RequestHead("POST", "/x", headers, 0))

    def is_accepted(head):
        try:
            return target.authenticate(head).sender == "a/1"
        except RequestError as error:
            assert error.kind is ErrorKind.UNAUTHORIZED
            return False

    assert [is_accepted(heads[at]) for at in (3, 1, 3, 1, 2)] == [True, True, False, False, True]
    assert is_accepted(heads[-1])
    assert not is_accepted(heads[4]) and not is_accepted(heads[3])
    assert is_accepted(heads[20]) and not is_accepted(heads[20])


@then("50000 claims take less than 4 MB and each first claim is found")
def check_claim_memory(context):
    def record(number, holder):
        key = number.to_bytes(2, "big") * 8
        return msgspec.msgpack.encode(Claim(1, key, bytes(16), holder, b"12345678"))

    tracemalloc.start()
    table = ClaimTable()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(50_000):
        table.apply(record(number, "first/1"), 0.0)
    for number in range(0, 50_000, 7):
        table.apply(record(number, "second/1"), 1.0)
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(table) == 50_000 and grown < 4_000_000, grown
    for number in range(0, 50_000, 7):
        holder = table.find(number.to_bytes(2, "big") * 8)
        assert holder is not None and holder.incarnation == "first/1"
    assert table.apply(b"\xc1torn", 0.0) is None and table.ignored_count == 1


@then("batches are 0.09 seconds apart and keep a claim until it was read back")
def check_claim_batches(context):
    batches = ClaimBatches()
    first = Claim(1, b"k" * 16, b"r" * 16, "a/1", b"00000001")
    batches.add(first, 9.0)
    assert batches.next_append_at(5.0) == 5.0 and batches.take(5.0) == [first]
    assert abs(batches.next_append_at(5.01) - 5.09) < 1e-9
    assert batches.take(6.0) == [first], "a lost append is repeated with the same claim id"
    batches.settle(first.claim_id)
    assert batches.take(7.0) == []
    batches.add(first, 9.0)
    assert batches.take(9.0) == [], "no request waits for the claim any more"


@then("a key table of 3 keys never runs an evicted issued key again")
def check_evicted_keys(context):
    table, issuer = KeyTable(max_keys=3), KeyIssuer(DEPLOYMENT_KEY, "a/1")
    keys = [issuer.parse(issuer.issue()) for _ in range(6)]
    for key in keys[:5]:
        assert issuer.may_be_unused(key) and table.begin(key.digest, b"request") is None
        issuer.record_evicted(table.settle(key.digest, Answered(None)))
    assert len(table) == 3
    evicted = [key for key in keys if table.state_of(key.digest) is None]
    assert [issuer.may_be_unused(key) for key in evicted] == [False, False, True]
