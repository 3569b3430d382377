from __future__ import annotations

import asyncio

import aiohttp
from behave import given, then, when

from dotterelhill.batch import HttpWorker, WorkerError
from dotterelhill.batch.worker import Refusal, RunReport
from dotterelhill.manifest import Resources
from standins.faults import start_site
from standins.worker import StandInWorker, create_application


class WorkerFixture:
    """A stand-in worker on a loopback port and a client for it, in an event loop with real time."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.answer: object = None
        self.loop.run_until_complete(self._start())

    async def _start(self) -> None:
        capacity = {"cpu": 8, "memory_gb": 16, "accelerators": 0}
        self.worker = StandInWorker("w1", "r1", "kbh", capacity)
        application = create_application(self.worker)
        self.runner, port = await start_site(application, "127.0.0.1", 0)
        self.session = aiohttp.ClientSession()
        self.address = f"127.0.0.1:{port}"
        self.adapter = HttpWorker(self.session, self.address, timeout_seconds=0.5)

    def call(self, message) -> None:
        try:
            self.answer = self.loop.run_until_complete(message)
        except WorkerError as error:
            self.answer = error

    def renew(self, token: int, seconds: float) -> None:
        boot = self.worker.boot
        message = self.adapter.renew_lease(token, seconds, float("1e12"), boot, "kbh")
        self.call(message)

    def start(self, task, token, *, cpu=2.0, late=-60.0, boot=None) -> None:
        clock = self.loop.run_until_complete(self._clock())
        self.call(
            self.adapter.start(
                task, token, clock - late, boot or self.worker.boot, Resources(cpu=cpu), 60.0, ""
            )
        )

    async def _clock(self) -> float:
        return (await self.adapter.read_clock()).clock

    def close(self) -> None:
        async def stop() -> None:
            await self.session.close()
            await self.runner.cleanup()

        self.loop.run_until_complete(stop())
        self.loop.close()


@given("a stand-in worker on loopback")
def start_worker(context):
    context.worker_fixture = WorkerFixture()
    context.add_cleanup(context.worker_fixture.close)


@given(
    'its usage lags by {lag:g} s and service "{name}" has load {load:g}, slowed to {f:g} by "{j}"'
)
def set_behaviour(context, lag, name, load, f, j):
    behaviour = context.worker_fixture.worker.behaviour
    behaviour.usage_lag_seconds = lag
    behaviour.services = {name: load}
    behaviour.slow_downs = {f"{name}|{j}": f}


@when("its lease is renewed for {seconds:g} s with holder token {token:d}")
def renew(context, seconds, token):
    context.worker_fixture.renew(token, seconds)


@when('task "{task}" is started with token {token:d}')
def start(context, task, token):
    context.worker_fixture.start(task, token)


@when('task "{task}" is started {late:g} s too late with token {token:d}')
def start_late(context, task, late, token):
    context.worker_fixture.start(task, token, late=late)


@when('task "{task}" with {cpu:g} processors is started with token {token:d}')
def start_large(context, task, cpu, token):
    context.worker_fixture.start(task, token, cpu=cpu)


@when('task "{task}" is started for boot "{boot}" with token {token:d}')
def start_for_boot(context, task, boot, token):
    context.worker_fixture.start(task, token, boot=boot)


@when('task "{task}" is stopped with token {token:d}')
def stop(context, task, token):
    context.worker_fixture.call(context.worker_fixture.adapter.stop(task, token, keeps_work=True))


@when('task "{task}" is forgotten with token {token:d}')
def forget(context, task, token):
    context.worker_fixture.call(context.worker_fixture.adapter.forget(task, token))


@when("{seconds:g} s pass at the worker")
def pass_real_time(context, seconds):
    context.worker_fixture.loop.run_until_complete(asyncio.sleep(seconds))


@when('the worker\'s fault mode is "{mode}"')
def set_mode(context, mode):
    async def post() -> None:
        url = f"http://{context.worker_fixture.address}/faults"
        async with context.worker_fixture.session.post(url, json={"mode": mode}) as response:
            assert response.status == 200

    context.worker_fixture.loop.run_until_complete(post())


@then('the answer is a run that is "{state}"')
def check_run(context, state):
    answer = context.worker_fixture.answer
    assert isinstance(answer, RunReport) and answer.state == state, answer


@then('the answer is a run that is "{state}" with a checkpoint')
def check_run_with_checkpoint(context, state):
    check_run(context, state)
    assert context.worker_fixture.answer.checkpoint


@then('the answer is the refusal "{reason}"')
def check_refusal(context, reason):
    answer = context.worker_fixture.answer
    assert isinstance(answer, Refusal) and answer.refused == reason, answer


@then("the effect is unknown")
def check_unknown(context):
    assert isinstance(context.worker_fixture.answer, WorkerError), context.worker_fixture.answer


@then("the capacity that it reports is {cpu:g} processors")
def check_reported_capacity(context, cpu):
    context.worker_fixture.call(context.worker_fixture.adapter.read_clock())
    assert context.worker_fixture.answer.capacity.cpu == cpu


@then("the next report shows no run")
def check_no_run(context):
    context.worker_fixture.renew(3, 5)
    assert context.worker_fixture.answer.runs == []


@then('task "{task}" is reported as "{state}" with a checkpoint')
def check_reported(context, task, state):
    context.worker_fixture.renew(3, 5)
    run = next(run for run in context.worker_fixture.answer.runs if run.task == task)
    assert run.state == state and run.checkpoint, run


@then('the report shows no use of "{task}"')
def check_no_use(context, task):
    assert task not in context.worker_fixture.answer.usage.tasks


@then('the report shows use of "{task}" and a slow-down of "{service}" of {factor:g}')
def check_use(context, task, service, factor):
    usage = context.worker_fixture.answer.usage
    assert usage.tasks[task].cpu == 2.0
    assert abs(usage.services[service].slow_down - factor) < 1e-6, usage
