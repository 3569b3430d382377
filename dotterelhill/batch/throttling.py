"""Response to a service that batch tasks on its machine slow down: throttle first, then move."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from dotterelhill.batch.events import StopWanted
from dotterelhill.batch.interface import Assignment
from dotterelhill.batch.interference import Interference
from dotterelhill.batch.placement import MeasuredWorker, job_of

HIGH_SLOW_DOWN = 1.10
LOW_SLOW_DOWN = 1.04
# Weight of the newest measurement; measurements are noisy.
SMOOTHING = 0.4
# A change shows in the measurements after the usage lag; nothing else is changed before.
SETTLE_SECONDS = 10.0
HYSTERESIS_SECONDS = 60.0
LEAST_SPEED = 0.25


@dataclass(frozen=True, slots=True)
class ThrottleTask:
    """Set the speed of a running task, 0 to 1."""

    worker: str
    task: str
    token: int
    speed: float


@dataclass(slots=True)
class _Worker:
    """Smoothed slow-downs and throttled tasks of one worker.

    :param calm_since: loop time since which every service is fast; None while one is slow
    """

    slow_downs: dict[str, float] = field(default_factory=dict)
    speeds: dict[str, float] = field(default_factory=dict)
    changed_at: float = float("-inf")
    calm_since: float | None = None


class Throttling:
    """Speeds of the tasks on held workers."""

    def __init__(self, interference: Interference) -> None:
        self._interference = interference
        self._workers: dict[str, _Worker] = {}

    def speed_of(self, worker: str, task: str) -> float:
        """Return the speed that was set for a task."""
        state = self._workers.get(worker)
        return state.speeds.get(task, 1.0) if state else 1.0

    def learn_speeds(self, worker: str, speeds: Mapping[str, float]) -> None:
        """Take over speeds below 1 that an earlier holder has set."""
        state = self._workers.setdefault(worker, _Worker())
        for task, speed in speeds.items():
            if speed < 1.0:
                state.speeds.setdefault(task, speed)

    def forget_worker(self, worker: str) -> None:
        """Drop what is known of a worker that is not held any more."""
        self._workers.pop(worker, None)

    def decide(
        self, report: MeasuredWorker, running: Mapping[str, Assignment], now: float
    ) -> list[ThrottleTask | StopWanted]:
        """Return the changes that a usage report calls for.

        :param running: running tasks of the worker by name
        """
        state = self._workers.setdefault(report.worker, _Worker())
        state.speeds = {task: speed for task, speed in state.speeds.items() if task in running}
        for service, slow_down in report.slow_downs.items():
            before = state.slow_downs.get(service, slow_down)
            state.slow_downs[service] = before + SMOOTHING * (slow_down - before)
        slow = {name: value for name, value in state.slow_downs.items() if value > HIGH_SLOW_DOWN}
        if slow:
            state.calm_since = None
            if now - state.changed_at < SETTLE_SECONDS:
                return []
            return self._relieve(
                state, report, max(slow, key=lambda name: slow[name]), running, now
            )
        return self._relax(state, report.worker, running, now)

    def _relieve(
        self,
        state: _Worker,
        report: MeasuredWorker,
        service: str,
        running: Mapping[str, Assignment],
        now: float,
    ) -> list[ThrottleTask | StopWanted]:
        load = report.loads.get(service, 0.0)
        burdens = {}
        for task, assignment in running.items():
            effect = self._interference.effect(service, job_of(task), now).mean
            weight = 0.1 if assignment.is_urgent else 1.0
            burdens[task] = weight * load * effect * state.speeds.get(task, 1.0)
        by_burden = sorted(burdens, key=lambda task: (-burdens[task], task))
        for task in by_burden:
            speed = state.speeds.get(task, 1.0)
            if burdens[task] <= 0.0 or speed <= LEAST_SPEED:
                continue
            state.speeds[task] = speed / 2
            state.changed_at = now
            return [ThrottleTask(report.worker, task, running[task].token, speed / 2)]
        if not by_burden or now - state.changed_at < HYSTERESIS_SECONDS:
            return []
        if burdens[by_burden[0]] <= 0.0:
            return []
        state.changed_at = now
        return [StopWanted(report.worker, by_burden[0], running[by_burden[0]].token)]

    def _relax(
        self, state: _Worker, worker: str, running: Mapping[str, Assignment], now: float
    ) -> list[ThrottleTask | StopWanted]:
        if any(value > LOW_SLOW_DOWN for value in state.slow_downs.values()):
            state.calm_since = None
            return []
        if state.calm_since is None:
            state.calm_since = now
        is_settled = now - max(state.calm_since, state.changed_at) >= HYSTERESIS_SECONDS
        throttled = [task for task, speed in state.speeds.items() if speed < 1.0]
        if not is_settled or not throttled:
            return []
        task = throttled[0]
        speed = min(1.0, 2 * state.speeds[task])
        state.speeds[task] = speed
        state.changed_at = now
        return [ThrottleTask(worker, task, running[task].token, speed)]
