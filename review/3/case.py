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
STEP = {"count": 1, "cpu": CPU, "memMb": 100, "estimateMs": 400}


async def submit_scheduled(system: System, occurrences: int) -> list[str]:
    """Submit the scheduled jobs, which have one small task for each occurrence.

    :returns: the jobs that were accepted
    """
    first_ms = int(time.time() * 1000) + FIRST_MS
    accepted = []
    for number in range(SCHEDULED_JOBS):
        job = f"00000000000000{number:02x}"
        spec = {
            "spec": "report",
            "steps": [STEP],
            "repeatCount": occurrences,
            "firstRunMs": first_ms,
            "intervalMs": INTERVAL_MS,
        }
        process = system.processes[number % len(system.processes)]
        if await system.try_submit(job, spec, process, tries=1):
            accepted.append(job)
        await asyncio.sleep(0.3)
    return accepted


async def case(system: System, is_troubled: bool) -> list[str]:
    """Run the case and return the breaks that were seen."""
    await system.start(processes=3, minions=8)
    system.begin_watch(MEMORY_MB)
    scheduled = await submit_scheduled(system, OCCURRENCES if is_troubled else 20)
    await asyncio.sleep(5)
    small = []
    for number in range(6):
        job = f"5c0e7a21d94b{number:04x}"
        system.plans[f"{job}.0"] = TaskPlan(400, CPU)
        process = system.processes[number % len(system.processes)]
        if await system.try_submit(job, {"spec": "card", "steps": [STEP]}, process):
            small.append(job)
    await asyncio.sleep(FINISH_SECONDS)
    idle = await system.find_idle(small, CPU, IDLE_SECONDS)
    asked = [*scheduled[:4], *small]
    states = await asyncio.gather(*(system.state(job) for job in asked))
    breaks = []
    for job, state in zip(asked, states, strict=True):
        if not state:
            breaks.append(f"LOST: {job} was accepted, and no process tells its state")
        if job in idle and state not in ("completed", "failed"):
            breaks.append(
                f"LOST: {job} was accepted and has had nothing running for {IDLE_SECONDS:.0f} s, "
                f"{FINISH_SECONDS:.0f} s after the traffic"
            )
    kills = Counter(fields["name"] for _, fields in system.record.of("over memory"))
    print(f"{len(scheduled)} scheduled and {len(small)} small jobs were accepted")
    print(f"processes over {MEMORY_MB:.0f} MB: {dict(kills)}")
    return breaks


run(Path(__file__).parent, case)
