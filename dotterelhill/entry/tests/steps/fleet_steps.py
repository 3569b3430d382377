"""Steps for a fleet of separate processes under failure."""

from __future__ import annotations

import asyncio
import itertools
import signal
from typing import Any

from behave import given, then, when

from dotterelhill.entry.tests.fleet_world import FleetWorld
from tools.relay import RelayMode
from tools.sample_fleet import FleetSize

# The stand-ins and the test read the clock of the same machine.
CLOCK_TOLERANCE_SECONDS = 0.1


@given("a fleet whose minions work {milliseconds:d} ms on each request")
def start_fleet(context: Any, milliseconds: int) -> None:
    world = FleetWorld()
    context.add_cleanup(world.close)
    context.world = world
    context.tasks = 0
    world.run(world.start(FleetSize(), service_milliseconds=milliseconds))


@given("a job of {tasks:d} tasks of {seconds:d} s")
def publish_job(context: Any, tasks: int, seconds: int) -> None:
    context.tasks = tasks
    context.world.run(context.world.publish_job(tasks, seconds))


@given("callers that send {rate:d} requests a second")
def start_callers(context: Any, rate: int) -> None:
    context.world.start_load(rate)


@when("{seconds:d} s pass")
def pass_time(context: Any, seconds: int) -> None:
    context.world.run(asyncio.sleep(seconds))


@when("an entry process gets SIGTERM after {seconds:d} s and is removed from the balancer")
def stop_entry(context: Any, seconds: int) -> None:
    world: FleetWorld = context.world
    name = world.sample.names("entry")[0]

    async def stop() -> None:
        await asyncio.sleep(seconds)
        world.balanced_entries.discard(name)
        status = await world.fleet.stop(name, signal.SIGTERM)
        assert status == 0, f"exit status {status}"

    world.run(stop())


@when("the entry processes of {domain} are cut off from the log")
def cut_log_connections(context: Any, domain: str) -> None:
    context.world.set_log_relays(domain, RelayMode.CUT)


@when("the log no longer answers the entry processes of {domain}")
def silence_log_connections(context: Any, domain: str) -> None:
    context.world.set_log_relays(domain, RelayMode.SILENT)


@when("a manifest is published")
def publish(context: Any) -> None:
    context.world.run(context.world.publish())


@when("a manifest takes {domain} out")
def take_domain_out(context: Any, domain: str) -> None:
    context.world.run(context.world.publish(out=[domain]))


@when("the log is down for {seconds:d} s")
def run_log_outage(context: Any, seconds: int) -> None:
    world: FleetWorld = context.world

    async def outage() -> None:
        await asyncio.sleep(2.0)
        await world.set_log_fault("down")
        await asyncio.sleep(seconds)
        await world.set_log_fault("ok")

    world.run(outage())


@when("the job has finished within {seconds:d} s")
def wait_for_job(context: Any, seconds: int) -> None:
    world: FleetWorld = context.world
    world.run(world.wait_until(lambda: world.is_job_finished(context.tasks), seconds))


@when("{count:d} tasks have finished")
def wait_for_tasks(context: Any, count: int) -> None:
    world: FleetWorld = context.world
    world.run(world.wait_until(lambda: world.is_job_finished(count), 60.0))


@when("an entry process is removed from the balancer and paused for {seconds:d} s")
def pause_entry(context: Any, seconds: int) -> None:
    world: FleetWorld = context.world
    context.paused_entry = world.sample.names("entry")[0]

    async def pause() -> None:
        await asyncio.sleep(2.0)
        world.balanced_entries.discard(context.paused_entry)
        # A paused process answers nothing, so the requests that it has accepted must end first.
        await asyncio.sleep(2.0)
        world.pause(context.paused_entry)
        await asyncio.sleep(seconds)

    world.run(pause())


@when("it resumes, returns to the balancer and {seconds:d} s pass")
def resume_entry(context: Any, seconds: int) -> None:
    world: FleetWorld = context.world
    world.resume(context.paused_entry)
    world.balanced_entries.add(context.paused_entry)
    world.run(asyncio.sleep(seconds))


@when("every entry process is killed and restarted")
def restart_all_entries(context: Any) -> None:
    world: FleetWorld = context.world

    async def restart() -> None:
        names = world.sample.names("entry")
        for name in names:
            await world.fleet.stop(name, signal.SIGKILL)
        await asyncio.gather(*(world.sample.start_entry(name) for name in names))
        await world.sample.wait_until_ready()

    world.run(restart())


@then("every request was answered")
def check_requests(context: Any) -> None:
    report = context.world.run(context.world.end_load())
    assert report.total > 0, "no request was sent"
    assert dict(report.outcomes) == {"answered": report.total}, report.outcomes


@then("every entry process has it in force within {seconds:d} s")
def check_versions(context: Any, seconds: int) -> None:
    world: FleetWorld = context.world

    async def is_in_force() -> bool:
        return set((await world.manifest_versions()).values()) == {world.version}

    remaining_seconds = world.published_at + seconds - world.loop.time()
    world.run(world.wait_until(is_in_force, remaining_seconds))


@then("no run started in {domain} more than {seconds:d} s after the manifest")
def check_starts(context: Any, domain: str, seconds: int) -> None:
    world: FleetWorld = context.world
    latest = world.published_at + seconds + CLOCK_TOLERANCE_SECONDS
    late_runs = [
        run
        for runs in world.run(world.runs()).values()
        for run in runs
        if world.sample.domain_of(run["worker"]) == domain and run["start"] > latest
    ]
    assert not late_runs, late_runs


@then("no minion had more requests or connections than its limits")
def check_minions(context: Any) -> None:
    stats = context.world.run(context.world.fetch_json("minion", "/stats"))
    minions_over_limits = {
        name: minion_stats
        for name, minion_stats in stats.items()
        if minion_stats["over_slots"] or minion_stats["over_connections"]
    }
    assert not minions_over_limits, minions_over_limits


@then("each task ran in one place at a time and finished once")
def check_runs(context: Any) -> None:
    world: FleetWorld = context.world
    by_task = world.run(world.runs())
    assert len(by_task) == context.tasks, sorted(by_task)
    for task, runs in by_task.items():
        finished = [run for run in runs if run["state"] == "finished"]
        assert len(finished) == 1, (task, runs)
        assert finished[0] is runs[-1], (task, runs)
        for earlier, later in itertools.pairwise(runs):
            assert earlier["end"] is not None, (task, runs)
            assert earlier["end"] <= later["start"] + CLOCK_TOLERANCE_SECONDS, (task, runs)


@then("a replay of the recorded traces breaks no stated outcome")
def check_traces(context: Any) -> None:
    broken = context.world.broken_outcomes()
    assert not broken, broken


@when("the log goes down")
def start_log_outage(context: Any) -> None:
    context.world.run(context.world.set_log_fault("down"))


@when("an entry process is killed and restarted")
def restart_entry(context: Any) -> None:
    world: FleetWorld = context.world
    context.restarted_entry = world.sample.names("entry")[0]

    async def restart() -> None:
        await world.fleet.stop(context.restarted_entry, signal.SIGKILL)
        await world.sample.start_entry(context.restarted_entry)

    world.run(restart())


@then("the new process is ready within {seconds:d} s with the manifest in force")
def check_restarted_entry(context: Any, seconds: int) -> None:
    world: FleetWorld = context.world

    async def is_ready() -> bool:
        return context.restarted_entry in await world.ready_entries()

    world.run(world.wait_until(is_ready, seconds))
    assert world.run(world.manifest_versions())[context.restarted_entry] == world.version


@then("it answers a request through its peers")
def check_answer(context: Any) -> None:
    world: FleetWorld = context.world
    world.balanced_entries = {context.restarted_entry}
    world.start_load(20.0)
    world.run(asyncio.sleep(3.0))
    report = world.run(world.end_load())
    assert report.total > 0 and report.outcomes["answered"] == report.total, report.outcomes
