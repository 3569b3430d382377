"""Once enough different images have run beside each other, nothing starts any more."""

from __future__ import annotations

import asyncio
from hashlib import sha256
from pathlib import Path

from minions import TaskPlan
from system import System, run

SERVING_IMAGES = 8
JOBS = 60
STEPS = 5
CPU = 500
WORK_MS = 2200
FINISH_SECONDS = 14.0
IDLE_SECONDS = 4.0
FOREVER_MS = float("inf")


def image(name: str) -> str:
    """Return an image reference by digest, as container registries use them."""
    return f"registry.example/shows/{name}@sha256:{sha256(name.encode()).hexdigest()}"


async def submit_serving(system: System) -> None:
    """Submit the jobs that last; each has a task on each of the two minions."""
    for number in range(SERVING_IMAGES):
        job = f"00000000000000{number:02x}"
        system.plans[f"{job}.0"] = TaskPlan(FOREVER_MS, CPU)
        step = {
            "count": 2, "cpu": CPU, "memMb": 100, "perpetual": True, "targetMs": 50,
            "antiAffinity": 1, "image": image(f"serving{number}"),
        }  # fmt: skip
        await system.submit(job, {"spec": "watch", "steps": [step]}, system.processes[0])


async def submit_batch(system: System, *, is_varied: bool) -> None:
    """Submit jobs whose tasks fill beside the others.

    :param is_varied: whether each job runs images of its own, such as those of a new build
    """
    for number in range(JOBS):
        job, steps = f"5c0e7a21d94c{number:04x}", []
        for index in range(STEPS):
            name = f"render{number}-{index}" if is_varied else f"render{index}"
            step = {
                "count": 1, "cpu": CPU, "memMb": 10, "estimateMs": WORK_MS, "fills": True,
                "image": image(name),
            }  # fmt: skip
            steps.append(step)
            system.plans[f"{job}.{index}"] = TaskPlan(WORK_MS, CPU)
        await system.submit(job, {"spec": "print", "steps": steps}, system.processes[0])
        await asyncio.sleep(0.4)


async def case(system: System, is_troubled: bool) -> list[str]:
    """Run the case and return the breaks that were seen."""
    await system.start(processes=2, minions=2)
    await submit_serving(system)
    await asyncio.sleep(3)
    await submit_batch(system, is_varied=is_troubled)
    await asyncio.sleep(5)
    late = [f"5c0e7a21d94d{number:04x}" for number in range(4)]
    step = {"count": 1, "cpu": CPU, "memMb": 10, "estimateMs": 300}
    for job in late:
        system.plans[f"{job}.0"] = TaskPlan(300, CPU)
        await system.submit(job, {"spec": "card", "steps": [step]}, system.processes[1])
    await asyncio.sleep(FINISH_SECONDS)
    idle = await system.find_idle(late, CPU, IDLE_SECONDS)
    breaks = []
    for job in late:
        state = await system.state(job)
        if job in idle and state not in ("completed", "failed"):
            breaks.append(
                f"LOST: {job} was accepted, is {state}, and has had nothing running for "
                f"{IDLE_SECONDS:.0f} s, {FINISH_SECONDS:.0f} s after the traffic"
            )
    for topic, size in system.store.oversized[:1]:
        calls = len(system.store.oversized)
        print(f"the store refused a record of {size} bytes for {topic}, {calls} times")
    print(f"{len(system.record.of('paced'))} orders of pace")
    return breaks


run(Path(__file__).parent, case)
