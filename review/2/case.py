"""Jobs that were completed run again after a part of the store was down for 4.5 s."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

from minions import TaskPlan
from system import System, Unrunnable, run

# The sheets have 120 s, as long as a case may take. Only the wait depends on it.
STATUS_SECONDS = 50.0
DOWN_SECONDS = 4.5
# 3 of 12 partitions, of each topic. Partition 0 alone holds the topics that have no other one.
DOWN_PARTITIONS = (1, 2, 3)
JOBS = 12
TASKS = 2


async def wait_until(at: float) -> None:
    """Wait until a time of the steady clock."""
    await asyncio.sleep(max(0.0, at - time.monotonic()))


async def case(system: System, is_troubled: bool) -> list[str]:
    """Run the case and return the breaks that were seen."""
    await system.start(processes=2, minions=4)
    jobs = [f"5c0e7a21d94b{number:04x}" for number in range(JOBS)]
    step = {"count": TASKS, "cpu": 1000, "memMb": 100, "estimateMs": 400}
    for job in jobs:
        system.plans[f"{job}.0"] = TaskPlan(400, 1000)
        await system.submit(job, {"spec": "card", "steps": [step]}, system.processes[0])
    ended_at = time.monotonic()
    await wait_until(ended_at + 4)
    states = [await system.state(job) for job in jobs]
    # A lease that lapses between an end and its acknowledgement is an excuse of the rule.
    acked = [fields for _, fields in system.record.of("acked") if not fields["lapsed"]]
    noted = {fields["task"] for fields in acked if fields["how"] == "done"}
    if states != ["completed"] * JOBS or len(noted) != JOBS * TASKS:
        raise Unrunnable(f"before the disruption: {states}, {len(noted)} ends taken note of")

    # The states are kept for the time of status_s, which ends while the partitions are down.
    await wait_until(ended_at + STATUS_SECONDS - 1)
    if is_troubled:
        system.record("store partly down", partitions=DOWN_PARTITIONS, seconds=DOWN_SECONDS)
        system.store.fault = lambda topic, part, call: "reset" if part in DOWN_PARTITIONS else None
        await asyncio.sleep(DOWN_SECONDS)
        system.store.fault = lambda topic, part, call: None
        system.record("store up")
    await wait_until(ended_at + STATUS_SECONDS + 8)
    for job in jobs:
        await system.state(job)

    # The processes are stopped and started in turn, as in an upgrade.
    starts = len(system.record.of("started"))
    for process in system.processes:
        process.send_signal(signal.SIGTERM)
        await process.wait()
        process.start()
        await asyncio.sleep(4)
    for job in jobs:
        await system.state(job)
    breaks = []
    for at, fields in system.record.of("started")[starts:]:
        if fields["task"] in noted:
            breaks.append(
                f"TWICE: {fields['task']} was started at {at:.1f} s as run {fields['run']}, after "
                "an end done had been taken note of and the job had been shown as completed"
            )
    return breaks


run(Path(__file__).parent, case, status_s=STATUS_SECONDS)
