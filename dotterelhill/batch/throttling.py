"""Reaction to interference: throttles batch tasks that slow down a service, then moves them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from dotterelhill.batch.events import StopWanted
from dotterelhill.batch.interface import Assignment
from dotterelhill.batch.interference import InterferenceModel
from dotterelhill.batch.placement import MeasuredWorker, job_of

HIGH_SLOW_DOWN = 1.10
LOW_SLOW_DOWN = 1.04
# Weight of the newest measurement in the exponential smoothing of noisy slow-downs.
SMOOTHING = 0.4
# Time until a change is visible in the measurements, which lag; no other change is made before.
SETTLE_SECONDS = 10.0
HYSTERESIS_SECONDS = 60.0
MIN_SPEED = 0.25


@dataclass(frozen=True, slots=True)
class ThrottleTask:
    """Set the speed of a running task.

    :param speed: part of the full speed, 0 to 1
    """

    worker: str
    task: str
    token: int
    speed: float


@dataclass(slots=True)
class _WorkerState:
    """Smoothed slow-downs and throttled tasks of one worker.

    :param speeds: speeds of tasks that have been set, 0 to 1
    :param changed_at: loop time of the last change in seconds
    :param tolerable_since: loop time in seconds since which no service is slowed down by more than
        ``LOW_SLOW_DOWN``; None while one is
    """

    slow_downs: dict[str, float] = field(default_factory=dict)
    speeds: dict[str, float] = field(default_factory=dict)
    changed_at: float = float("-inf")
    tolerable_since: float | None = None


class Throttling:
    """Decisions about the speeds of the tasks on held workers."""

    def __init__(self, interference: InterferenceModel) -> None:
        self._interference = interference
        self._workers: dict[str, _WorkerState] = {}

    def speed_of(self, worker: str, task: str) -> float:
        """Return the speed that was set for a task, or 1 if none was."""
        state = self._workers.get(worker)
        return state.speeds.get(task, 1.0) if state else 1.0

    def adopt_speeds(self, worker: str, speeds: Mapping[str, float]) -> None:
        """Adopt speeds below 1 that the worker reports and that an earlier holder has set."""
        state = self._workers.setdefault(worker, _WorkerState())
        for task, speed in speeds.items():
            if speed < 1.0:
                state.speeds.setdefault(task, speed)

    def forget_worker(self, worker: str) -> None:
        """Delete the state of a worker that is no longer held."""
        self._workers.pop(worker, None)

    def decide(
        self, report: MeasuredWorker, running: Mapping[str, Assignment], now: float
    ) -> list[ThrottleTask | StopWanted]:
        """Return the changes of speed and moves that follow from a usage report.

        :param running: running tasks of the worker by task id
        :param now: loop time in seconds
        """
        state = self._workers.setdefault(report.worker, _WorkerState())
        state.speeds = {task: speed for task, speed in state.speeds.items() if task in running}
        for service, slow_down in report.slow_downs.items():
            previous = state.slow_downs.get(service, slow_down)
            state.slow_downs[service] = previous + SMOOTHING * (slow_down - previous)
        slow_services = {
            name: value for name, value in state.slow_downs.items() if value > HIGH_SLOW_DOWN
        }
        if slow_services:
            state.tolerable_since = None
            if now - state.changed_at < SETTLE_SECONDS:
                return []
            return self._reduce_interference(
                state,
                report,
                max(slow_services, key=lambda name: slow_services[name]),
                running,
                now,
            )
        return self._restore_speed(state, report.worker, running, now)

    def _reduce_interference(
        self,
        state: _WorkerState,
        report: MeasuredWorker,
        service: str,
        running: Mapping[str, Assignment],
        now: float,
    ) -> list[ThrottleTask | StopWanted]:
        load = report.loads.get(service, 0.0)
        contributions = {}
        for task, assignment in running.items():
            effect = self._interference.effect(service, job_of(task), now).mean
            weight = 0.1 if assignment.is_urgent else 1.0
            contributions[task] = weight * load * effect * state.speeds.get(task, 1.0)
        by_contribution = sorted(contributions, key=lambda task: (-contributions[task], task))
        for task in by_contribution:
            speed = state.speeds.get(task, 1.0)
            if contributions[task] <= 0.0 or speed <= MIN_SPEED:
                continue
            state.speeds[task] = speed / 2
            state.changed_at = now
            return [ThrottleTask(report.worker, task, running[task].token, speed / 2)]
        if not by_contribution or now - state.changed_at < HYSTERESIS_SECONDS:
            return []
        if contributions[by_contribution[0]] <= 0.0:
            return []
        state.changed_at = now
        return [StopWanted(report.worker, by_contribution[0], running[by_contribution[0]].token)]

    def _restore_speed(
        self, state: _WorkerState, worker: str, running: Mapping[str, Assignment], now: float
    ) -> list[ThrottleTask | StopWanted]:
        if any(value > LOW_SLOW_DOWN for value in state.slow_downs.values()):
            state.tolerable_since = None
            return []
        if state.tolerable_since is None:
            state.tolerable_since = now
        is_settled = now - max(state.tolerable_since, state.changed_at) >= HYSTERESIS_SECONDS
        throttled = [task for task, speed in state.speeds.items() if speed < 1.0]
        if not is_settled or not throttled:
            return []
        task = throttled[0]
        speed = min(1.0, 2 * state.speeds[task])
        state.speeds[task] = speed
        state.changed_at = now
        return [ThrottleTask(worker, task, running[task].token, speed)]
