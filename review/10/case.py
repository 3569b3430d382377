"""A queue's `waiting` leaves out jobs whose starts were refused before the leader changed."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "world"))

from minions import Bounds, Minion  # noqa: E402
from net import Answer, Request, call  # noqa: E402
from system import HOST, Process, World, has_trouble, run_case  # noqa: E402

# From the sheet of bancada-sul.
BOUNDS = Bounds(
    max_hold_ms=6000, stop_grace_ms=200, gang_wait_ms=3000, checkpoint_s=2, restore_ms=600
)
VISIBLE_SECONDS = 3.0
MINIONS = 24
# Minions with an accelerator, which all jobs of the case need.
SPECIAL_MINIONS = 2
GREY_SECONDS = 6.5
# For so long the killed process is down.
DOWN_SECONDS = 3.5
# An unhealthy minion takes this long to refuse a start.
REFUSAL_SECONDS = 0.1
JOBS = 8
WORK_SECONDS = 60.0


def make_grey(world: World, minion: Minion, until: float) -> None:
    """Let a minion answer 503 to starts, as an unhealthy one does that has done nothing."""

    async def before(request: Request) -> Answer | None:
        life = minion.life
        if request.path != "/run-start" or life is None or world.now() >= until:
            return None
        await asyncio.sleep(REFUSAL_SECONDS)
        world.record("start refused", minion=minion.minion_id, task=request.json()["task"])
        return life.answer(503)

    minion.before = before


async def ask(world: World, process: Process, path: str, accepted: dict[str, float]) -> bool | None:
    """Return whether a process gives half of the waiting jobs or more; None without an answer."""
    asked_at = world.now()
    begun = {event["task"][:16] for event in world.events if event["what"] == "start"}
    due = 0
    for job_id, at in accepted.items():
        due += job_id not in begun and asked_at - at > VISIBLE_SECONDS + 2.0
    headers = {"Host": HOST, "Deadline-Ms": "3000"}
    status, body = await call(process.front, "GET", path, None, headers)
    waiting = body.get("waiting") if status == 200 else None
    world.record("waiting", at=process.name, status=status, told=waiting, not_begun=due)
    return None if waiting is None else waiting >= due / 2


async def submit_jobs(world: World, path: str) -> dict[str, float] | None:
    """Submit all jobs and return the time of each acceptance, or None if one is not accepted."""
    accepted: dict[str, float] = {}

    async def submit(job_id: str) -> int:
        step = {"count": 1, "cpu": 1000, "memMb": 500, "gpu": 1, "estimateMs": 60000}
        status = await world.submit(path, job_id, [step])
        accepted[job_id] = world.now()
        return status

    statuses = await asyncio.gather(*(submit(world.job_id()) for _ in range(JOBS)))
    return accepted if set(statuses) == {200} else None


def add_minions(world: World) -> list[Minion]:
    """Add all minions and return those with an accelerator."""
    special = []
    for number in range(MINIONS):
        zone = "north" if number % 2 else "south"
        capacity = {"cpu": 32000, "memMb": 125000, "gpu": 4 if number < SPECIAL_MINIONS else 0}
        minion = world.add_minion(f"i-{number:02}", zone, capacity, ["a", f"r1-{number // 8}"])
        if number < SPECIAL_MINIONS:
            special.append(minion)
    return special


async def play(world: World) -> int:
    """Play the case and return the exit status."""
    path = world.add_route("assign", maxAttempts=4)
    special = add_minions(world)
    world.fleet.duration = lambda task, run_id, step: WORK_SECONDS
    await world.start()
    await asyncio.sleep(2.0)
    if has_trouble():
        world.record("minions turn grey", minions=[minion.minion_id for minion in special])
        for minion in special:
            make_grey(world, minion, world.now() + GREY_SECONDS)
    accepted = await submit_jobs(world, path)
    if accepted is None:
        return 2
    await asyncio.sleep(1.0)
    killed = world.leader() if has_trouble() else None
    if killed is not None:
        world.record("leader is killed", process=killed.name)
        killed.kill()
    elif has_trouble():
        return 2
    if killed is not None:
        await asyncio.sleep(DOWN_SECONDS)
        killed.start()
    due_at = max(accepted.values()) + VISIBLE_SECONDS + 2.0
    await asyncio.sleep(max(0.0, due_at - world.now()) + 0.05)
    broken = answers = 0
    for _ in range(8):
        for process in world.processes:
            if process is not killed:
                is_right = await ask(world, process, path, accepted)
                answers += is_right is not None
                broken += is_right is False
        await asyncio.sleep(0.1)
    print(f"{broken} of {answers} answers gave under half of the jobs that have not begun")
    if not answers:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER, BOUNDS))
