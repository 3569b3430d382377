"""Scheduled jobs with many occurrences bring down each process that leads."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from pathlib import Path

from minions import TaskPlan
from system import System, run

SCHEDULED_JOBS = 60
# One occurrence a minute for two weeks, less than the 20,000 tasks that the processes accept.
OCCURRENCES = 19_900
INTERVAL_MS = 60_000
# The first occurrence is due tomorrow, so nothing of these jobs runs.
FIRST_MS = 24 * 3600 * 1000
MEMORY_MB = 300.0
CPU = 1000
FINISH_SECONDS = 14.0
IDLE_SECONDS = 4.0


async def submit_scheduled(system: System, occurrences: int) -> None:
    """Submit the scheduled jobs, which have one small task for each occurrence."""
    first_ms = int(time.time() * 1000) + FIRST_MS
    step = {"count": 1, "cpu": CPU, "memMb": 100, "estimateMs": 400}
    for number in range(SCHEDULED_JOBS):
        job = f"00000000000000{number:02x}"
        spec = {
            "spec": "report",
            "steps": [step],
            "repeatCount": occurrences,
            "firstRunMs": first_ms,
            "intervalMs": INTERVAL_MS,
        }
        await system.submit(job, spec, system.processes[number % len(system.processes)])
        await asyncio.sleep(0.3)


async def case(system: System, is_troubled: bool) -> list[str]:
    """Run the case and return the breaks that were seen."""
    await system.start(processes=3, minions=8)
    watch = asyncio.create_task(system.watch_memory(MEMORY_MB))
    await submit_scheduled(system, OCCURRENCES if is_troubled else 20)
    await asyncio.sleep(5)
    jobs = [f"5c0e7a21d94b{number:04x}" for number in range(6)]
    step = {"count": 1, "cpu": CPU, "memMb": 100, "estimateMs": 400}
    for job in jobs:
        system.plans[f"{job}.0"] = TaskPlan(400, CPU)
        await system.submit(job, {"spec": "card", "steps": [step]}, system.processes[1])
    await asyncio.sleep(FINISH_SECONDS)
    idle = await system.find_idle(jobs, CPU, IDLE_SECONDS)
    breaks = []
    for job in jobs:
        state = await system.state(job)
        if job in idle and state not in ("completed", "failed"):
            breaks.append(
                f"LOST: {job} was accepted, is {state or 'without an answer'}, and has had nothing "
                f"running for {IDLE_SECONDS:.0f} s, {FINISH_SECONDS:.0f} s after the traffic"
            )
    watch.cancel()
    kills = Counter(fields["name"] for _, fields in system.record.of("over memory"))
    print(f"processes over {MEMORY_MB:.0f} MB: {dict(kills)}")
    return breaks


run(Path(__file__).parent, case)
