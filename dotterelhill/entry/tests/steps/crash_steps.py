"""Steps for program errors inside an entry process."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

import logbook
import looptime
import zmq
from behave import given, then, when

from dotterelhill.batch import Batch
from dotterelhill.entry.metrics import FLUSH_SECONDS, LocalMetrics, MetricsFlusher
from dotterelhill.entry.process import run_entry
from dotterelhill.entry.settings import read_settings

UNREACHABLE = "http://127.0.0.1:9"


def _settings() -> Any:
    public, secret = zmq.curve_keypair()
    ports = {f"{name}_port": "0" for name in ("caller", "forward", "peer", "admin")}
    return read_settings(
        {
            "entry_name": "caxias-1",
            "failure_domain": "caxias",
            "region": "serra",
            "listen_host": "127.0.0.1",
            "log_url": UNREACHABLE,
            "vm_list_url": UNREACHABLE,
            "peer_public_key": public.decode(),
            "peer_secret_key": secret.decode(),
            "deployment_key": "k" * 32,
            "balancer_delay_seconds": "0",
            "log_level": "error",
            **ports,
        },
        {},
    )


@given("an entry process whose batch slice raises an error after its start")
def break_batch(context: Any) -> None:
    patch = mock.patch.object(Batch, "step", side_effect=RuntimeError("injected fault"))
    patch.start()
    context.add_cleanup(patch.stop)
    context.settings = _settings()


@when("it runs for at most {seconds:d} s")
def run_process(context: Any, seconds: int) -> None:
    original = asyncio.run

    def run_with_timeout(coroutine: Any) -> Any:
        return original(asyncio.wait_for(coroutine, seconds))

    with mock.patch.object(asyncio, "run", run_with_timeout):
        context.status = run_entry(context.settings)


@then("it has ended with exit status {status:d}")
def check_status(context: Any, status: int) -> None:
    assert context.status == status, context.status


@given("metrics with a gauge that is not in the table")
def wrong_gauge(context: Any) -> None:
    context.metrics = LocalMetrics()
    context.metrics.add_gauges(lambda: {"no.such_gauge": 1.0})


@when("they are flushed by their service twice")
def flush_twice(context: Any) -> None:
    async def run() -> bool:
        service = MetricsFlusher(context.metrics)
        await service.start()
        await asyncio.sleep(2.5 * FLUSH_SECONDS)
        return bool(service.crashed)

    with logbook.TestHandler() as handler:
        context.is_crashed = looptime.new_event_loop().run_until_complete(run())
        context.errors = [record for record in handler.records if record.level_name == "ERROR"]


@then("the service has not crashed and the error was logged once")
def check_service(context: Any) -> None:
    assert not context.is_crashed
    assert len(context.errors) == 1, context.errors
