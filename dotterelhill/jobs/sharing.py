"""Sharing of a minion between serving tasks and fillers.

Explanation
===========

Fillers use the processors that other tasks leave idle and take headroom from serving tasks, by
amounts that differ by pair of images. A filler is placed where every serving task keeps enough of
its headroom, paced down while one comes near its target, and moved when it would be paced down
for long.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dotterelhill.jobs.fleet import Minion, Run, RunState
from dotterelhill.jobs.headroom import HeadroomModel
from dotterelhill.jobs.model import Step
from dotterelhill.jobs.orders import PaceOrder

# Share of its processors that a serving task is taken to use; the rest is left to fillers.
SERVING_USE = 0.5
# Headroom that each serving task is planned to keep, and below which fillers are paced down.
PLANNED_HEADROOM = 1.25
PACED_HEADROOM = 1.3
# Spare headroom below this counts as this much, for fillers that take hardly any.
LEAST_SPARE = 0.1
# A pace holds from the order until the next report is answered.
PACE_LAG_SECONDS = 0.5
# Planned effects are this many standard deviations above their estimates.
PLANNING_CAUTION = 0.3
# A filler that takes less headroom than this from a serving task is not paced for it.
LEAST_EFFECT = 0.04
# Pace changes below this many percent are not worth an order.
LEAST_PACE_CHANGE = 12
LEAST_PACE = 5
# A filler that is paced below this for so long is better off on another minion.
MOVE_PACE = 40
MOVE_SECONDS = 1.2
# Serving tasks over target for this share of the time that the platform allows stop all fillers.
STOP_SHARE = 0.35


# A minion without serving tasks is taken before one with other images, after one with the same.
EMPTY_MINION_COST = 0.5


@dataclass(slots=True)
class _Sharing:
    """Fillers of one minion.

    :param over_since: time since which a serving task is reported over its target
    :param planned: serving images, the least headroom planned for their tasks, number of tasks
    :param planned_change: ``change_count`` of the minion for which that holds
    :param slow_since: time since which a filler is paced below ``MOVE_PACE``, by run
    """

    over_since: float | None = None
    slow_since: dict[Run, float] = field(default_factory=dict)
    planned: list[tuple[str, float, int]] = field(default_factory=list)
    planned_change: int = -1


class Sharing:
    """Placement and pace of fillers beside serving tasks.

    :param harm_seconds: time for which a serving task may be over its target because of fillers
    """

    def __init__(self, harm_seconds: float) -> None:
        self._stop_seconds = STOP_SHARE * harm_seconds
        self._model = HeadroomModel()
        self._minions: dict[Minion, _Sharing] = {}

    @property
    def model(self) -> HeadroomModel:
        """Return the estimates."""
        return self._model

    def forget(self, minion: Minion) -> None:
        """Drop what is known of an incarnation that is gone."""
        self._minions.pop(minion, None)

    def forget_run(self, run: Run) -> None:
        """Drop what is known of a run that has ended."""
        if run.step.is_lasting:
            self._model.forget(run.key)

    def has_serving(self, minion: Minion) -> bool:
        """Return whether a serving task is on the minion."""
        return bool(minion.lasting_images)

    def image_mismatch(self, minion: Minion, step: Step) -> float:
        """Return how badly a serving task's image fits those on the minion, 0 to 1."""
        if not minion.lasting_images:
            return EMPTY_MINION_COST
        others = len(minion.lasting_images) - (step.image in minion.lasting_images)
        return float(bool(others))

    def idle_cpu(self, minion: Minion) -> float:
        """Return the thousandths of a processor that nothing on the minion uses."""
        used = SERVING_USE * minion.lasting_cpu + minion.short_cpu + minion.filler_cpu
        return minion.facts.capacity.cpu - used

    def harm_of(self, minion: Minion, step: Step, now: float) -> float | None:
        """Return the share that one more filler takes of what serving tasks can spare, summed.

        :returns: None when one of them would keep too little headroom
        """
        added = step.room.cpu / minion.facts.capacity.cpu
        harm = 0.0
        for image, left, count in self._left_by_image(minion, now):
            taken = added * self._model.effect(image, step.image, PLANNING_CAUTION)
            spare = left - PLANNED_HEADROOM
            if taken > spare and taken > LEAST_EFFECT:
                return None
            harm += count * taken / max(LEAST_SPARE, spare)
        return harm

    def _left_by_image(self, minion: Minion, now: float) -> list[tuple[str, float, int]]:
        """Return serving images with the least headroom planned and their number of tasks.

        Kept until a run comes or goes or the minion reports: every waiting filler asks for it.
        """
        state = self._minions.setdefault(minion, _Sharing())
        if state.planned_change == minion.change_count:
            return state.planned
        use = self._planned_use(minion)
        lowest: dict[str, tuple[float, int]] = {}
        for run in minion.runs.values():
            if not _is_measured(run):
                continue
            image = run.step.image
            own = self._model.lowest_headroom(run.key, image, now)
            least, count = lowest.get(image, (own, 0))
            lowest[image] = (min(least, own), count + 1)
        state.planned = []
        for image, (least, count) in lowest.items():
            taken = 0.0
            for filler, share in use.items():
                taken += share * self._model.effect(image, filler)
            state.planned.append((image, least - taken, count))
        state.planned_change = minion.change_count
        return state.planned

    def harm_for(self, minion: Minion, step: Step) -> float:
        """Return the headroom that the minion's fillers would take from a new serving task."""
        harm = 0.0
        for image, share in self._planned_use(minion).items():
            harm += share * self._model.effect(step.image, image)
        return harm

    def _planned_use(self, minion: Minion) -> dict[str, float]:
        """Return the share of the processors that fillers use at full pace, by image."""
        use: dict[str, float] = {}
        capacity = minion.facts.capacity.cpu
        for run in minion.runs.values():
            if run.step.is_filler and run.state is not RunState.STOPPING:
                image = run.step.image
                use[image] = use.get(image, 0.0) + run.step.room.cpu / capacity
        return use

    def _reported_use(self, minion: Minion) -> dict[str, float]:
        """Return the share of the processors that fillers used in the time of the report."""
        use: dict[str, float] = {}
        for run in minion.runs.values():
            if run.step.is_filler and run.cpu_used:
                image = run.step.image
                use[image] = use.get(image, 0.0) + run.cpu_used / minion.facts.capacity.cpu
        return use

    def observe(self, minion: Minion, now: float) -> None:
        """Learn from the tails that a minion has just reported."""
        use = self._reported_use(minion)
        is_over = False
        for run in minion.runs.values():
            if not _is_measured(run) or not run.tail_ms or run.percent < 100:
                continue
            headroom = run.step.target_tail_ms / run.tail_ms
            is_over = is_over or headroom < 1.0
            self._model.observe(run.key, run.step.image, headroom, use, now)
        state = self._minions.setdefault(minion, _Sharing())
        state.planned_change = -1
        if not is_over:
            state.over_since = None
        elif state.over_since is None:
            state.over_since = now

    def pace_orders(self, minion: Minion, now: float) -> list[PaceOrder]:
        """Return the changes of pace that the minion's newest report calls for."""
        fillers = []
        for run in minion.runs.values():
            if run.step.is_filler and run.state is RunState.PRESENT:
                fillers.append(run)
        if not fillers:
            return []
        state = self._minions.setdefault(minion, _Sharing())
        is_over_long = state.over_since is not None and now - state.over_since > self._stop_seconds
        orders = []
        for run in fillers:
            pace = 0 if is_over_long else self._pace_of(run, minion, fillers, now)
            order = self._changed_pace(minion, run, pace, now)
            if order is not None:
                orders.append(order)
            if run.pace >= MOVE_PACE:
                state.slow_since.pop(run, None)
            else:
                state.slow_since.setdefault(run, now)
        return orders

    def _pace_of(self, run: Run, minion: Minion, fillers: list[Run], now: float) -> int:
        """Return the highest pace at which every serving task keeps enough headroom."""
        share = 1.0
        capacity = minion.facts.capacity.cpu
        for serving in minion.runs.values():
            if not _is_measured(serving):
                continue
            image = serving.step.image
            effect = self._model.effect(image, run.step.image)
            if effect * run.step.room.cpu / capacity < LEAST_EFFECT:
                continue
            taken = 0.0
            for filler in fillers:
                part = filler.step.room.cpu / capacity
                taken += part * self._model.effect(image, filler.step.image)
            spare = self._model.own_headroom(serving.key, now + PACE_LAG_SECONDS) - PACED_HEADROOM
            if taken > spare:
                share = min(share, max(0.0, spare) / taken)
        return int(100 * share)

    def _changed_pace(self, minion: Minion, run: Run, pace: int, now: float) -> PaceOrder | None:
        if pace < LEAST_PACE:
            pace = 0
        is_edge = pace in (0, 100) and pace != run.pace
        if abs(pace - run.pace) < LEAST_PACE_CHANGE and not is_edge:
            return None
        minion.set_pace(run, pace, now)
        return PaceOrder(minion, run, pace)

    def movable(self, minion: Minion, now: float) -> list[Run]:
        """Return the fillers that have been slow for long and keep their progress when stopped."""
        state = self._minions.get(minion)
        if state is None:
            return []
        runs = []
        for run, since in list(state.slow_since.items()):
            if minion.runs.get(run.key) is not run:
                del state.slow_since[run]
                continue
            if run.step.is_checkpointing and now - since > MOVE_SECONDS:
                runs.append(run)
        return runs


def _is_measured(run: Run) -> bool:
    return run.step.is_lasting and run.step.target_tail_ms > 0
