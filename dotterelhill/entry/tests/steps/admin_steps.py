from __future__ import annotations

import asyncio
import io
import math
import socket

import aiohttp
import msgspec
from behave import given, then, when

from dotterelhill.entry.admin import AdminServer, AdminSources, Explanation
from dotterelhill.entry.logs import json_lines_handler, logger_of
from dotterelhill.entry.metrics import LocalMetrics, create_metrics


@given('an admin server whose part "batch" raises and part "log" holds 3 reads')
def make_broken_part(context):
    parts = {"batch": lambda: {}["gone"], "log": lambda: {"reads": 3}}
    context.sources = AdminSources(unready_reasons=tuple, state_parts=parts)


@given('an admin server that is not ready because "{reason}"')
def make_unready(context, reason):
    context.sources = AdminSources(unready_reasons=lambda: (reason,))


@given('an admin server that explains job "{name}"')
def make_explaining(context, name):
    def explain(requested_name):
        return Explanation("job", name, "pending") if requested_name == name else None

    context.sources = AdminSources(unready_reasons=tuple, explainers={"job": explain})


async def fetch_from_server(sources, path):
    server = AdminServer("127.0.0.1", 0, sources)
    await server.start()
    try:
        async with aiohttp.ClientSession() as session:
            async with session.get(f"http://127.0.0.1:{server.bound_port}{path}") as answer:
                return answer.status, await answer.text()
    finally:
        await server.stop()


@when('"{path}" is fetched')
def fetch(context, path):
    context.status, context.body = asyncio.run(fetch_from_server(context.sources, path))


@then('the answer has status {status:d} and part "log" holds 3 reads')
def check_part(context, status):
    context.parts = msgspec.json.decode(context.body)
    assert (context.status, context.parts["log"]) == (status, {"reads": 3}), context.body


@then('part "batch" names the exception')
def check_exception(context):
    assert "KeyError" in context.parts["batch"]["error"]


@then('the answer has status {status:d} and names "{text}"')
def check_answer(context, status, text):
    assert context.status == status and text in context.body, (context.status, context.body)


@given("local metrics")
def make_metrics(context):
    context.metrics = LocalMetrics()


@then('counting "{name}" is refused')
def check_refused(context, name):
    try:
        context.metrics.count(name)
    except ValueError as error:
        assert name in str(error)
    else:
        raise AssertionError("accepted")


@then('counting "{name}" is accepted')
def check_accepted(context, name):
    context.metrics.count(name)
    assert context.metrics.state.counters == {name: 1}


@when('{number:d} labels of "{name}" are counted')
def count_labels(context, number, name):
    for index in range(number):
        context.metrics.count(name, label=f"service-{index}")


@then("at most {bound:d} counters exist and the total is {total:d}")
def check_counters(context, bound, total):
    counters = context.metrics.state.counters
    assert len(counters) <= bound and sum(counters.values()) == total, len(counters)


@when('the values 1 to 1000 ms of "{name}" are observed')
def observe(context, name):
    for index in range(1, 1001):
        context.metrics.observe(name, index / 1000, label="desk")


@then("its p99 is within 2 percent of {value:g}")
def check_quantile(context, value):
    (state,) = context.metrics.state.distributions.values()
    assert abs(state.quantiles["p99"] / value - 1) < 0.02 and state.count == 1000, state


@when("the metrics are flushed")
def flush_metrics(context):
    context.metrics.flush()


@then("the state has {count:d} values with a mean of {mean:g}")
def check_total(context, count, mean):
    (state,) = context.metrics.state.distributions.values()
    assert state.count == count and abs(state.mean / mean - 1) < 0.001, state
    assert abs(state.quantiles["p50"] / 0.5 - 1) < 0.02, state
    assert context.metrics.state.distributions == {"requests.seconds.desk": state}


@when('a line with the text "first\\nsecond" and field peer "{peer}" is logged')
def log_line(context, peer):
    stream = io.StringIO()
    with json_lines_handler("caxias-1", "info", stream).applicationbound():
        logger_of("membership").info("first\nsecond", extra={"peer": peer})
    context.lines = stream.getvalue().splitlines()


@then("one JSON line has both and names the process")
def check_line(context):
    (line,) = context.lines
    line_fields = msgspec.json.decode(line)
    assert (
        line_fields["message"] == "first\nsecond" and line_fields["peer"] == "caxias-2"
    ), line_fields
    assert line_fields["process"] == "caxias-1"


@given('a slice whose counter "{key}" is {value:d}')
def add_slice(context, key, value):
    context.metrics = LocalMetrics()
    context.slice_counts = {key: value}
    context.metrics.add_counters("requests", lambda: context.slice_counts)
    context.metrics.add_counters("invented", lambda: context.slice_counts)


@when("a statsd server gets two flushes")
def flush_twice(context):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        client = create_metrics("127.0.0.1", server.getsockname()[1])
        client.add_counters("requests", lambda: context.slice_counts)
        client.add_gauges(lambda: {"process.ready": True, "manifest.version": math.inf})
        client.add_labelled_gauges(lambda: {("tenants.share", "acme.org"): 0.25})
        client.flush()
        context.datagrams = [server.recv(1024).decode()]
        client.observe("requests.seconds", 0.25, label="desk")
        client.flush()
        context.datagrams.append(server.recv(1024).decode())


@then('the first holds "{text}" and the second does not')
def check_datagrams(context, text):
    first, second = context.datagrams
    assert text in first.splitlines() and text not in second.splitlines(), context.datagrams
    assert "inf" not in first


@then('the second holds "{text}"')
def check_second_datagram(context, text):
    lines = context.datagrams[1].splitlines()
    assert any(line.startswith(text) for line in lines), lines


@then('the counters are "{names}"')
def check_counter_names(context, names):
    assert sorted(context.metrics.state.counters) == names.split(", ")
