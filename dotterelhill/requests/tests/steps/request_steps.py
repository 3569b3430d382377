import asyncio
import gzip
import hashlib
import json
import os
import sys
import time
from base64 import b64decode
from dataclasses import replace
from random import Random

import msgspec
from behave import given, then, when

from dotterelhill.holdings import NO_PERMIT
from dotterelhill.requests.claims import Claim
from dotterelhill.requests.forwarding import ForwardAuthenticator, Purpose
from dotterelhill.requests.idempotency import digest_of, request_digest
from dotterelhill.requests.messages import RequestHead
from dotterelhill.requests.service import KEYS_PATH
from dotterelhill.requests.tests.harness import DEPLOYMENT_KEY
from standins.minion import StandInMinion

BODY = b"entry of a juniper"


def run_calls(context, *calls):
    """Run calls concurrently; store their answers and the duration in seconds of the loop."""

    async def gather():
        loop = asyncio.get_running_loop()
        started = loop.time()
        answers = await asyncio.gather(*calls)
        context.seconds = loop.time() - started
        return list(answers)

    context.answers = context.run(gather())
    context.answer = context.answers[-1]


def parse_echo(answer):
    assert answer.status == 200, (answer.status, answer.kind, answer.error)
    return json.loads(answer.body)


def runs_of(context, run_id):
    return sum(minion.runs[run_id] for minion in context.world.minions.values())


async def raw_exchange(address, data, wait=2.0):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    answer = b""
    try:
        async with asyncio.timeout(wait):
            while chunk := await reader.read(65536):
                answer += chunk
    except (TimeoutError, ConnectionError):
        pass
    writer.close()
    return answer


class RawAnswer:
    def __init__(self, data):
        head, _, self.body = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        self.status = int(lines[0].split(" ")[1]) if lines[0] else 0
        self.headers = [tuple(line.split(": ", 1)) for line in lines[1:]]
        named = {name.lower(): value for name, value in self.headers}
        self.kind = named.get("dotterelhill-error", "")
        self.outcome = named.get("dotterelhill-outcome", "")
        self.error = ""


def send_raw(context, data, entry="e1", wait=2.0):
    address = context.world.entries[entry].requests.caller_address
    context.answer = RawAnswer(context.run(raw_exchange(address, data, wait)))


# Setup


@given('minion "{name}" in "{domain}"')
def add_minion(context, name, domain):
    context.run(context.world.add_minion(name, domain))


def add_entry(context, name, domain, minions, slots=8, **settings):
    context.run(context.world.add_entry(name, domain, **settings))
    for minion in filter(None, minions.split(", ")):
        context.world.grant(name, minion, slots)
    context.world.publish()


@given('entry "{name}" in "{domain}" using "{minions}"')
def add_entry_using(context, name, domain, minions):
    add_entry(context, name, domain, minions)


@given('entry "{name}" in "{domain}" using ""')
def add_entry_without_minion(context, name, domain):
    add_entry(context, name, domain, "")


@given('entry "{name}" in "{domain}" using "{minions}" with {slots:d} slots')
def add_entry_with_slots(context, name, domain, minions, slots):
    add_entry(context, name, domain, minions, slots)


@given('entry "{name}" in "{domain}" using "{minions}" and {seconds:g} seconds for a head')
def add_entry_with_head_timeout(context, name, domain, minions, seconds):
    add_entry(context, name, domain, minions, head_timeout_seconds=seconds)


@given('entry "{name}" in "{domain}" using "{minions}" and a balancer delay of {seconds:g} seconds')
def add_entry_with_balancer_delay(context, name, domain, minions, seconds):
    add_entry(context, name, domain, minions, balancer_seconds=seconds)


@given('entry "{name}" in "{domain}" using "{minions}" and {count:d} connections for each caller')
def add_entry_with_connection_limit(context, name, domain, minions, count):
    add_entry(context, name, domain, minions, connections_per_caller=count)


@given('every minion is in mode "{mode}"')
def set_every_minion_mode(context, mode):
    for minion in context.world.minions.values():
        minion.set_faults(mode)


@given('minion "{name}" is in mode "{mode}"')
def set_minion_mode(context, name, mode):
    context.world.minions[name].set_faults(mode)


@given("every minion drops connections that were used before")
def drop_reused_connections(context):
    for minion in context.world.minions.values():
        minion.is_dropping_reused = True


@given('minion "{name}" has stopped')
def stop_minion(context, name):
    context.run(context.world.minions[name].stop())


@given('the log is in mode "{mode}"')
def set_log_mode(context, mode):
    context.world.log.mode = mode


@given('the permits of "{name}" end after they were looked up {count:d} times')
def end_permits_after_lookups(context, name, count):
    holdings = context.world.entries[name].holdings
    permit_for, asked = holdings.permit_for, []

    def ending(minion, now):
        asked.append(minion)
        return permit_for(minion, now) if len(asked) <= count else NO_PERMIT

    holdings.permit_for = ending


@given('the permits of "{name}" are withdrawn')
def withdraw_permits(context, name):
    context.world.entries[name].holdings.permits.clear()


@given("every entry reports 8 free slots regardless of its permits")
def report_free_slots(context):
    for entry in context.world.entries.values():
        entry.requests.free_slots = lambda: {"bancada": 8}


@given('the manifest marks minion "{name}" as leaving')
def mark_leaving_in_manifest(context, name):
    context.world.states[name] = "leaving"
    context.world.publish()


@given('the VM list marks "{name}" as leaving')
def mark_leaving_in_vm_list(context, name):
    for entry in context.world.entries.values():
        entry.peers.leaving = frozenset({name})


@given('the manifest takes domain "{domain}" out')
def take_domain_out(context, domain):
    context.world.domain_states[domain] = "out"
    context.world.publish()


@given("the manifest allows {count:d} bytes between regions")
def set_cross_region_cap(context, count):
    context.world.cross_region = count
    context.world.publish()


@given("the member may send {rate:d} requests a second")
def set_member_rate(context, rate):
    context.world.limits["requests_per_second"] = rate
    context.world.publish()


@given('"{name}" no longer sees its peers')
def clear_peers(context, name):
    context.world.entries[name].peers.live = []


# Passing requests and answers on


@when('a raw request asks for "{target}" with repeated headers')
def send_raw_request(context, target):
    context.target = target
    context.sent = [["X-Rep", "one"], ["x-rep", "two"], ["X-Name", "Gaúcha"], ["Cookie", "a=1; b"]]
    lines = [f"PATCH {target} HTTP/1.1", "Host: bancada.example", "Connection: close, X-Hop"]
    lines += [f"{name}: {value}" for name, value in context.sent] + ["X-Hop: 1", "", ""]
    send_raw(context, "\r\n".join(lines).encode())


@then("the minion saw that target and those headers")
def check_target_and_headers(context):
    seen = parse_echo(context.answer)
    assert seen["raw_path"] == context.target and seen["method"] == "PATCH", seen["raw_path"]
    headers = [
        [name, value.encode("latin-1").decode()]
        for name, value in seen["headers"]
        if not name.startswith("Dotterelhill-") and [name, value] != ["Content-Length", "0"]
    ]
    expected = [["Host", "bancada.example"], *context.sent]
    lowered = [[[name.lower(), value] for name, value in item] for item in (headers, expected)]
    assert lowered[0] == lowered[1], headers


@then("the repeated headers of its answer arrived")
def check_repeated_headers(context):
    values = [value for name, value in context.answer.headers if name == "X-Repeated"]
    assert values == ["first", "second"]


@then("HEAD and 100-continue requests get the expected answers")
def check_head_and_continue(context):
    send_raw(context, b"HEAD /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
    lengths = [value for name, value in context.answer.headers if name == "Content-Length"]
    assert context.answer.status == 200 and int(lengths[0]) > 200 and not context.answer.body
    wanted = b"Content-Length: 3\r\nExpect: 100-continue\r\nConnection: close\r\n\r\nabc"
    send_raw(context, b"POST /x HTTP/1.1\r\nHost: a\r\n" + wanted)
    assert context.answer.status == 100
    assert parse_echo(RawAnswer(context.answer.body))["body_bytes"] == 3


@when('"{entry}" gets {up:d} bytes and returns {down:d} bytes')
def send_large_bodies(context, entry, up, down):
    data = Random(1).randbytes(up)
    context.digest, context.down = hashlib.sha256(data).hexdigest(), down
    world = context.world
    bulk = {"X-Answer-Bytes": str(down)}
    run_calls(
        context,
        world.call(entry, "POST", data=data),
        world.call(entry, "POST", data=data, headers=bulk),
    )


@then("both bodies arrived complete")
def check_bodies(context):
    seen, bulk = context.answers
    assert parse_echo(seen)["body_sha256"] == context.digest
    assert bulk.body == b"x" * context.down, (bulk.status, bulk.kind, len(bulk.body))


@when('"{entry}" gets a body that is marked as gzip')
def send_gzip_body(context, entry):
    context.packed = gzip.compress(BODY)
    headers = {"Content-Encoding": "gzip"}
    run_calls(context, context.world.call(entry, "POST", data=context.packed, headers=headers))


@then("the minion saw exactly those bytes")
def check_gzip_bytes(context):
    assert b64decode(parse_echo(context.answer)["body"]) == context.packed


def resident_bytes():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


@when("a caller asks for {count:d} bytes and reads none")
def read_no_answer(context, count):
    async def read_nothing():
        before = resident_bytes()
        address = context.world.entries["e1"].requests.caller_address
        host, _, port = address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port), limit=1024)
        writer.write(f"GET / HTTP/1.1\r\nHost: a\r\nX-Answer-Bytes: {count}\r\n\r\n".encode())
        await asyncio.sleep(1.0)
        context.grown = resident_bytes() - before
        writer.transport.abort()

    context.run(read_nothing())


@then("the process has grown by less than {megabytes:d} MB")
def check_memory_growth(context, megabytes):
    assert context.grown < megabytes * 1_000_000, context.grown


@when('"{entry}" returns {count:d} bytes {framing}')
def request_answer_bytes(context, entry, count, framing):
    headers = {"X-Answer-Bytes": str(count)}
    if framing == "in chunks":
        headers["X-Answer-Chunked"] = "1"
    run_calls(context, context.world.call(entry, "POST", data=BODY, headers=headers))


@then("the caller's connection broke")
def check_connection_broke(context):
    assert context.answer.error, (context.answer.status, len(context.answer.body))


@when("{count:d} callers send requests at once, a third of them with too short a deadline")
def send_with_short_deadlines(context, count):
    random = Random(5)
    calls = []
    for number in range(count):
        seconds = random.choice([0.0, 0.02, 0.15])
        headers = {"X-Mark": str(number), "X-Work-Seconds": str(seconds)}
        if number % 3 == 0:
            headers["Dotterelhill-Deadline"] = "0.05"
        calls.append(context.world.call("e1", "GET", headers=headers))
    run_calls(context, *calls)


@then('each answer is the caller\'s own or an error with outcome "unknown"')
def check_own_answers(context):
    whole = 0
    for number, answer in enumerate(context.answers):
        if answer.status == 200:
            whole += 1
            assert ["X-Mark", str(number)] in parse_echo(answer)["headers"]
            continue
        assert number % 3 == 0, (number, answer.status, answer.kind)
        assert answer.outcome == "unknown" or answer.kind in (
            "overloaded",
            "deadline_before_dispatch",
        )
    assert whole >= 200, whole


@then("no minion had more requests than slots")
def check_slot_limits(context):
    for name, minion in context.world.minions.items():
        assert minion.load.over_slots == 0, (name, minion.load)
        assert minion.load.over_connections == 0, (name, minion.load)


@when('"{entry}" gets PUT twice on one minion connection')
def send_put_twice(context, entry):
    world = context.world
    world.grant(entry, "m2", 0, 0)
    for run_id in ("first", "second"):
        run_calls(context, world.call(entry, "PUT", data=BODY, headers={"X-Run-Id": run_id}))


@then("no run id ran more than once")
def check_ran_once(context):
    for minion in context.world.minions.values():
        assert all(count == 1 for count in minion.runs.values()), minion.runs
    assert runs_of(context, "first") == 1


@then('the second answer is error "{kind}" with outcome "{outcome}"')
@then('the answer is error "{kind}" with outcome "{outcome}"')
def check_error_answer(context, kind, outcome):
    answer = context.answer
    assert (answer.kind, answer.outcome) == (kind, outcome), (answer.status, answer.kind)
    assert json.loads(answer.body)["error"] == kind


@then("it took between {low:g} and {high:g} seconds")
def check_duration(context, low, high):
    assert low <= context.seconds <= high, context.seconds


@given('minion "{name}" sends one more answer {seconds:g} seconds after its first')
def send_extra_answer(context, name, seconds):
    count = [0]

    async def serve(reader, writer):
        while not reader.at_eof():
            try:
                await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            count[0] += 1
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nown-%d" % count[0])
            if count[0] == 1:
                late = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nLATE!"
                asyncio.get_running_loop().call_later(seconds, writer.write, late)
        writer.close()

    server = context.run(asyncio.start_server(serve, "127.0.0.1", 0))
    context.server = server
    port = server.sockets[0].getsockname()[1]
    context.world.minions[name].address = f"127.0.0.1:{port}"
    context.world.grant("e1", "m2", 0, 0)
    context.world.publish()


@when('"{entry}" gets GET {count:d} times, {seconds:g} seconds apart')
def send_spaced_gets(context, entry, count, seconds):
    async def get():
        answers = []
        for _ in range(count):
            answers.append(await context.world.call(entry))
            await asyncio.sleep(seconds)
        context.server.close()
        return answers

    context.answers = context.run(get())


@then("the answers are those to its {count:d} requests")
def check_own_bodies(context, count):
    bodies = [answer.body for answer in context.answers]
    assert bodies == [b"own-%d" % number for number in range(1, count + 1)], bodies


# Safety


@when('"{entry}" gets {method} with run id "{run_id}"')
def send_one_request(context, entry, method, run_id):
    headers = {"X-Run-Id": run_id}
    run_calls(context, context.world.call(entry, method, data=BODY, headers=headers))


@when('"{entry}" gets GET {count:d} times')
def send_gets(context, entry, count):
    run_calls(context, *[context.world.call(entry) for _ in range(count)])


@then('run id "{run_id}" ran {count:d} times')
def check_run_count(context, run_id, count):
    assert runs_of(context, run_id) == count, runs_of(context, run_id)


@then("every answer has status {status:d}")
def check_every_status(context, status):
    seen = [(item.status, item.kind, item.error) for item in context.answers]
    assert all(item[0] == status for item in seen), seen


@then('minion "{name}" got {count:d} requests')
def check_minion_requests(context, name, count):
    assert context.world.minions[name].load.requests == count, context.world.minions[name].load


@when("{count:d} callers send work while minions fail at random, seed {seed:d}")
def send_during_minion_failures(context, count, seed):
    random, world = Random(seed), context.world

    async def one(number):
        await asyncio.sleep(random.uniform(0, 3.0))
        method = random.choice(["POST", "POST", "PUT"])
        headers = {"X-Run-Id": f"run-{number}", "X-Work-Seconds": "0.02"}
        headers["Dotterelhill-Deadline"] = random.choice(["0.1", "0.5", "2"])
        return await world.call(f"e{1 + number % 3}", method, data=BODY, headers=headers)

    async def fail():
        while True:
            await asyncio.sleep(0.1)
            minion = random.choice(list(world.minions.values()))
            mode = random.choice(["ok", "ok", "lose_answers", "slow", "silent", "down", "truncate"])
            minion.set_faults(mode, 0.3)

    async def both():
        failing = asyncio.get_running_loop().create_task(fail())
        answers = await asyncio.gather(*[one(number) for number in range(count)])
        failing.cancel()
        await asyncio.sleep(0.5)
        return answers

    context.answers = context.run(both())


@then('no request that was reported as "not-run" has run, and none ran twice')
def check_outcomes(context):
    not_run_count = 0
    for number, answer in enumerate(context.answers):
        runs = runs_of(context, f"run-{number}")
        assert runs <= 1, (number, runs)
        if answer.outcome == "not-run":
            not_run_count += 1
            assert runs == 0, (number, answer.kind)
        if answer.status == 200:
            assert runs == 1
    statuses = [answer.status for answer in context.answers]
    assert not_run_count > 0 and statuses.count(200) > 100, (not_run_count, statuses.count(200))


@when("{count:d} callers disconnect while the minion works for {seconds:g} seconds")
def disconnect_callers(context, count, seconds):
    async def go():
        headers = {"X-Work-Seconds": str(seconds)}
        calls = [context.world.call("e1", "POST", headers=headers) for _ in range(count)]
        tasks = [asyncio.get_running_loop().create_task(call) for call in calls]
        await asyncio.sleep(0.2)
        for task in tasks:
            task.cancel()
        await asyncio.sleep(0.05)
        assert context.world.minions["m1"].load.in_flight == count

    context.run(go())


@when("{count:d} more callers send requests at once")
def send_more_requests(context, count):
    run_calls(context, *[context.world.call("e1") for _ in range(count)])


@when('the manifest marks "{name}" as leaving while a request waits for its slot')
def mark_leaving_while_waiting(context, name):
    world = context.world

    async def both():
        loop = asyncio.get_running_loop()
        busy = {"X-Work-Seconds": "0.4"}
        first = loop.create_task(world.call("e1", "POST", headers=busy))
        await asyncio.sleep(0.1)
        waiting = {"X-Run-Id": "waiting"}
        second = loop.create_task(world.call("e1", "POST", headers=waiting))
        await asyncio.sleep(0.1)
        mark_leaving_in_manifest(context, name)
        return [await first, await second]

    context.answers = context.run(both())
    assert [answer.status for answer in context.answers] == [200, 503]


@when('"{entry}" stops while {count:d} requests take {seconds:g} seconds')
def stop_with_requests_in_flight(context, entry, count, seconds):
    world = context.world

    async def stop():
        headers = {"X-Work-Seconds": str(seconds)}
        loop = asyncio.get_running_loop()
        calls = [world.call(entry, "POST", headers=headers) for _ in range(count)]
        tasks = [loop.create_task(call) for call in calls]
        await asyncio.sleep(0.2)
        await world.entries[entry].requests.stop()
        return await asyncio.gather(*tasks)

    context.answers = context.run(stop())


@then('"{entry}" refuses new connections')
def check_connections_refused(context, entry):
    answer = context.run(context.world.call(entry))
    assert answer.error == "ClientConnectorError", answer.error


@when('"{entry}" stops and gets GET {count:d} times {seconds:g} seconds later')
def stop_and_send_gets(context, entry, count, seconds):
    world = context.world

    async def stop():
        stopping = asyncio.get_running_loop().create_task(world.entries[entry].requests.stop())
        await asyncio.sleep(seconds)
        assert not world.entries[entry].requests.is_ready
        answers = await asyncio.gather(*[world.call(entry) for _ in range(count)])
        await stopping
        return answers

    context.answers = context.run(stop())


@given('minion process "{name}" in "{domain}"')
def start_minion_process(context, name, domain):
    async def start():
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "standins.minion", "--port", "0"),
            stdout=asyncio.subprocess.PIPE,
        )
        line = await process.stdout.readline()
        return process, line.decode().split()[1]

    context.process, address = context.run(start())
    standin = StandInMinion()
    standin.address = address
    context.world.minions[name] = standin
    context.world.domains[name] = domain


@when("the minion process is killed while one request works and one answer streams")
def kill_minion_process(context):
    world = context.world

    async def kill():
        loop = asyncio.get_running_loop()
        works = loop.create_task(world.call("e1", "POST", headers={"X-Work-Seconds": "9"}))
        bulk = {"X-Answer-Bytes": "300000000", "X-Answer-Chunked": "1"}
        streams = loop.create_task(world.call("e1", "POST", headers=bulk))
        await asyncio.sleep(0.15)
        context.process.kill()
        await context.process.wait()
        return [await works, await streams]

    context.answers = context.run(kill())


@then('one caller is told "{kind}" with outcome "{outcome}" and one connection broke')
def check_answers_after_kill(context, kind, outcome):
    works, streams = context.answers
    assert (works.kind, works.outcome) == (kind, outcome), works.kind
    assert streams.status == 200 and streams.error, (streams.status, len(streams.body))


# Keys


@given('a key issued by "{entry}"')
def issue_key(context, entry):
    answer = context.run(context.world.call(entry, "POST", "/_dotterelhill/keys"))
    context.key, context.earlier = json.loads(answer.body)["key"], []


@given('a key issued by "{entry}" with one digit changed')
def issue_key_and_change_digit(context, entry):
    issue_key(context, entry)
    context.key = context.key[:-1] + ("0" if context.key[-1] != "0" else "1")


@given('a chosen key "{key}"')
def choose_key(context, key):
    context.key, context.earlier = key, []


@given("the key was claimed by a process that has ended")
def append_claim_of_ended_process(context, incarnation="e9/00"):
    head = RequestHead("POST", "/bench", (("Content-Type", "application/octet-stream"),), len(BODY))
    digest = digest_of(b"bancada", context.key.encode())
    claim = Claim(1, digest, request_digest(head, BODY), incarnation, b"87654321")
    context.run(context.world.log.append("claims", [msgspec.msgpack.encode(claim)]))


@given('the key was claimed and evicted by "{entry}"')
def append_claim_of_evicted_key(context, entry):
    append_claim_of_ended_process(context, context.world.entries[entry].peers.incarnation)


def send_keyed(context, entry, run_id, body=BODY, seconds="0"):
    headers = {"Idempotency-Key": context.key, "X-Run-Id": run_id, "X-Work-Seconds": seconds}
    return context.world.call(entry, "POST", data=body, headers=headers)


@when('"{entry}" gets POST with the key and run id "{run_id}"')
def send_with_key(context, entry, run_id):
    run_calls(context, send_keyed(context, entry, run_id))
    context.earlier.append(context.answer)


@when('"{entry}" gets POST with the key, run id "{run_id}" and another body')
def send_other_body_with_key(context, entry, run_id):
    run_calls(context, send_keyed(context, entry, run_id, b"another entry"))


@then("both answers are the same complete answer")
def check_same_answers(context):
    first, second = context.earlier
    assert first.body == second.body and parse_echo(first), (second.status, second.kind)


@when(
    '"{entry}" gets POST with the key and run id "{run_id}" during a first attempt of 0.5 seconds'
)
def send_during_first_attempt(context, entry, run_id):
    async def both():
        first = asyncio.get_running_loop().create_task(
            send_keyed(context, entry, run_id, seconds="0.5")
        )
        await asyncio.sleep(0.2)
        second = await send_keyed(context, entry, run_id)
        assert (await first).status == 200
        return second

    context.answer = context.run(both())


@when('a caller with the key and run id "{run_id}" disconnects during 0.4 seconds of work')
def disconnect_keyed_caller(context, run_id):
    async def go():
        call = send_keyed(context, "e1", run_id, seconds="0.4")
        task = asyncio.get_running_loop().create_task(call)
        await asyncio.sleep(0.3)
        task.cancel()
        await asyncio.sleep(0.5)

    context.run(go())


@when("both entries get POST with each of {count:d} chosen keys at once")
def send_same_keys_concurrently(context, count):
    calls = []
    for number in range(count):
        headers = {"Idempotency-Key": f"race-{number}", "X-Run-Id": f"race-{number}"}
        calls += [
            context.world.call(entry, "POST", data=BODY, headers=headers) for entry in ("e1", "e2")
        ]
    run_calls(context, *calls)


@then("each of the {count:d} keys ran exactly once")
def check_keys_ran_once(context, count):
    assert [runs_of(context, f"race-{number}") for number in range(count)] == [1] * count
    for answer in context.answers:
        assert answer.status == 200 or answer.kind == "key_in_progress", answer.kind


@given('a third entry "{name}" in "{domain}" that uses no minion')
def add_third_entry(context, name, domain):
    add_entry(context, name, domain, "")


@when(
    "{count:d} keyed requests are tried up to 4 times while minions and the log fail at random,"
    " seed {seed:d}"
)
def send_keyed_during_failures(context, count, seed):
    random, world = Random(seed), context.world
    context.calls = {}

    async def one(number):
        await asyncio.sleep(random.uniform(0, 2.0))
        key = f"chaos-{number}"
        if number % 2:
            issued = await world.call(random.choice(["e1", "e2", "e3"]), "POST", KEYS_PATH)
            key = json.loads(issued.body)["key"]
        headers = {"Idempotency-Key": key, "X-Run-Id": f"chaos-{number}"}
        headers |= {"X-Work-Seconds": "0.02", "Dotterelhill-Deadline": "1"}
        context.calls[number] = []
        for _ in range(4):
            entry = random.choice(["e1", "e2", "e3"])
            answer = await world.call(entry, "POST", data=BODY, headers=headers)
            context.calls[number].append(answer)
            await asyncio.sleep(random.uniform(0, 0.3))

    async def fail():
        while True:
            await asyncio.sleep(0.1)
            world.log.mode = random.choice(["ok", "ok", "down", "lose_answers"])
            minion = random.choice(list(world.minions.values()))
            mode = random.choice(["ok", "ok", "lose_answers", "slow", "silent", "down", "truncate"])
            minion.set_faults(mode, 0.3)

    async def both():
        failing = asyncio.get_running_loop().create_task(fail())
        await asyncio.gather(*[one(number) for number in range(count)])
        failing.cancel()

    context.run(both())


@then('no keyed request ran twice, and none ran whose calls were all "not-run"')
def check_keyed_outcomes(context):
    ran = 0
    for number, answers in context.calls.items():
        runs = runs_of(context, f"chaos-{number}")
        ran += runs
        assert runs <= 1, (number, runs)
        if all(answer.outcome == "not-run" for answer in answers):
            assert runs == 0, (number, [answer.kind for answer in answers])
    assert ran > len(context.calls) / 2, ran


@then("stored answers are those of the only run")
def check_stored_answers(context):
    whole = 0
    for answers in context.calls.values():
        bodies = {answer.body for answer in answers if answer.status == 200 and not answer.error}
        whole += len(bodies)
        assert len(bodies) <= 1
    assert whole > 10, whole


# Forwarding


@then('"{entry}" used minion "{minion}" once')
def check_minion_used(context, entry, minion):
    assert context.world.minions[minion].load.requests == 2
    dump = context.world.entries[entry].requests.dump()
    assert dump["counters"]["answered"] == 2, dump


@then("{count:d} requests were forwarded")
def check_forwarded_count(context, count):
    dumps = [entry.requests.dump() for entry in context.world.entries.values()]
    assert sum(dump["counters"].get("forwarded", 0) for dump in dumps) == count


@given('the last heartbeat of "{name}" reported {slots:d} free slots')
def freeze_last_heartbeat(context, name, slots):
    async def freeze():
        peer = context.world.entries[name].as_peer(asyncio.get_running_loop().time())
        return replace(peer, free_slots={"bancada": slots})

    context.world.entries["e1"].peers.last_heard = (context.run(freeze()),)


@when('{count:d} callers ask "{entry}" at once for {seconds:g} seconds of work')
def send_concurrent_requests(context, count, entry, seconds):
    headers = {"X-Work-Seconds": str(seconds)}
    run_calls(context, *[context.world.call(entry, headers=headers) for _ in range(count)])


@when('the forward port of "{entry}" gets a request {fault}')
def send_to_forward_port(context, entry, fault):
    target = context.world.entries[entry]
    key = DEPLOYMENT_KEY[::-1] if fault == "signed with another key" else DEPLOYMENT_KEY
    addressee = "e2/ffff" if "incarnation" in fault else target.peers.incarnation
    authenticator = ForwardAuthenticator(key, "e1/0123456789abcdef")
    headers = (("Host", "a"), ("X-Run-Id", "good"))
    head = RequestHead("POST", "/bench", headers, 0)
    hop = authenticator.new_hop(addressee, 2.0, Purpose.DISPATCH)
    signed = () if fault == "without a signature" else authenticator.signed_headers(head, hop)
    path = "/other" if "was changed" in fault else "/bench"

    def request(run_id):
        own = (("Host", "a"), ("X-Run-Id", run_id), ("Connection", "close"))
        lines = [f"POST {path} HTTP/1.1"] + [f"{n}: {v}" for n, v in (*own, *signed)]
        return "\r\n".join([*lines, "", ""]).encode()

    run_id = "good" if signed else "forged"
    address = target.requests.forward_address
    first = RawAnswer(context.run(raw_exchange(address, request(run_id))))
    if fault == "that it got before":
        assert first.status == 200
        first = RawAnswer(context.run(raw_exchange(address, request(run_id))))
    expected = 1 if fault == "that it got before" else 0
    assert runs_of(context, "good") == expected
    context.answer = first


@then('"{entry}" counted at least {count:d} bytes between regions')
def check_cross_region_bytes(context, entry, count):
    assert context.answer.status == 200, context.answer.kind
    assert context.world.entries[entry].requests.dump()["crossed_bytes"] >= count


# Input


@when("a raw connection sends {what}")
def send_invalid_request(context, what):
    extra = {
        "both Content-Length and Transfer-Encoding": "Content-Length: 3\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "two different Content-Lengths": "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "a target without a slash": "\r\n",
        "a path of this system": "\r\n",
        "two Host headers": "Host: b\r\n\r\n",
        "a header of 20000 bytes": f"X-Large: {'a' * 20000}\r\n\r\n",
        "90 headers of 500 bytes": "".join(f"X-{n}: {'a' * 500}\r\n" for n in range(90)) + "\r\n",
        "a header that is not UTF-8": "X-Name: Ga\xfacha\r\n\r\n",
        "a bad chunk": "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nZZ\r\n",
        "a deadline that is no number": "Dotterelhill-Deadline: soon\r\n\r\n",
    }[what]
    targets = {
        "a target without a slash": "http://a/bench",
        "a path of this system": "/_dotterelhill/keys?x",
    }
    target = targets.get(what, "/bench")
    send_raw(context, f"POST {target} HTTP/1.1\r\nHost: a\r\n{extra}".encode("latin-1"), wait=0.5)


@when('"{entry}" gets POST with forged headers of this system')
def send_forged_headers(context, entry):
    headers = {
        "Dotterelhill-Forward": "1 a/1 b/2 7 1.5 dispatch",
        "dotterelhill-signature": "00",
        "Dotterelhill-Outcome": "not-run",
        "Connection": "Idempotency-Key, Host, Dotterelhill-X",
    }
    run_calls(context, context.world.call(entry, "POST", data=BODY, headers=headers))


@then("the minion got none of them")
def check_no_forged_headers(context):
    names = {name.lower() for name, _ in parse_echo(context.answer)["headers"]}
    own = {name for name in names if name.startswith("dotterelhill-")}
    assert own == {"dotterelhill-deadline"} and "host" in names, names


@when("a raw connection stops after half a head")
def send_half_head(context):
    async def send():
        started = time.monotonic()
        address = context.world.entries["e1"].requests.caller_address
        await raw_exchange(address, b"GET / HTTP/1.1\r\nHost: a\r\nX-", wait=5.0)
        return time.monotonic() - started

    context.seconds = context.run(send())


@then("it was closed within {seconds:g} seconds")
def check_closed_within(context, seconds):
    assert context.seconds < seconds, context.seconds


@when("an upload of {stated:d} bytes stops after {sent:d} bytes")
def stop_upload(context, stated, sent):
    async def send():
        address = context.world.entries["e1"].requests.caller_address
        host, _, port = address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        head = f"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {stated}\r\n\r\n"
        writer.write(head.encode() + b"x" * sent)
        await writer.drain()
        await asyncio.sleep(0.3)
        writer.close()
        await asyncio.sleep(0.5)

    context.run(send())


@then('"{entry}" has {count:d} slots in use')
def check_slots_in_use(context, entry, count):
    dump = context.world.entries[entry].requests.dump()
    assert sum(dump["slots"].values()) == count and dump["in_flight"] == 0, dump


@when("{count:d} raw connections are opened")
def open_raw_connections(context, count):
    async def connect():
        address = context.world.entries["e1"].requests.caller_address
        host, _, port = address.rpartition(":")
        pairs = [await asyncio.open_connection(host, int(port)) for _ in range(count)]
        await asyncio.sleep(0.2)
        context.open = sum(not reader.at_eof() and not reader.exception() for reader, _ in pairs)
        for _, writer in pairs:
            writer.close()

    context.run(connect())


@then("{count:d} of them are still open")
def check_open_connections(context, count):
    assert context.open == count, context.open


@then('between {low:d} and {high:d} answers have status 200 and the rest are "{kind}"')
def check_rate_limited(context, low, high, kind):
    passed = [answer for answer in context.answers if answer.status == 200]
    assert low <= len(passed) <= high, len(passed)
    assert all(a.status == 200 or (a.kind, a.outcome) == (kind, "not-run") for a in context.answers)


@when('"{entry}" gets POST while its only slot is taken for {seconds:g} seconds')
def send_while_slot_is_taken(context, entry, seconds):
    async def both():
        loop = asyncio.get_running_loop()
        busy = {"X-Work-Seconds": str(seconds)}
        first = loop.create_task(context.world.call(entry, "POST", headers=busy))
        await asyncio.sleep(0.1)
        started = loop.time()
        second = await context.world.call(entry, "POST")
        context.seconds = loop.time() - started
        await first
        return second

    context.answer = context.run(both())


@then("the answer says when to retry")
def check_retry_after(context):
    assert int(context.answer.headers["Retry-After"]) >= 1


@when("{count:d} callers at once send requests of {seconds:g} seconds of work")
def send_queued_requests(context, count, seconds):
    headers = {"X-Work-Seconds": str(seconds)}
    run_calls(context, *[context.world.call("e1", "POST", headers=headers) for _ in range(count)])
