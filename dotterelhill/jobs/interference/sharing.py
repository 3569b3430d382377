"""Control of the interference between fillers and serving tasks on one minion.

Explanation
===========

Fillers use the processors that other tasks leave idle and reduce the headroom of serving tasks on
the same minion, by an amount that depends on the pair of images. A filler is placed where every
serving task keeps enough headroom, throttled while the tail of a serving task is near its target,
and moved to another minion when it has been throttled for long.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dotterelhill.jobs.fleet import Minion, Run, RunState
from dotterelhill.jobs.interference.headroom import EffectShare, HeadroomModel
from dotterelhill.jobs.model import Step, TaskKey
from dotterelhill.jobs.orders import PaceOrder

# A filler is placed only on a minion with at least this share of its requested processors idle.
MIN_FILLER_CPU_SHARE = 0.75
# Share of its reserved processors that a lasting task is assumed to use; fillers may use the rest.
SERVING_CPU_SHARE = 0.5
# Headroom that placement keeps for each serving task, and headroom that pacing keeps for it.
MIN_PLANNED_HEADROOM = 1.25
PACING_HEADROOM = 1.3
# Lower bound of the spare headroom in the cost of a filler whose effect is negligible.
MIN_SPARE_HEADROOM = 0.1
# A pace applies from its order until the answer to the next report.
PACE_DELAY_SECONDS = 0.5
# Placement uses the estimated effects plus this many standard deviations.
PLANNING_DEVIATIONS = 0.3
# A smaller effect of a filler on a serving task neither prevents a placement nor throttles it.
NEGLIGIBLE_EFFECT = 0.04
# Smaller changes of the pace are not ordered, except to 0 or 100. A pace below the minimum
# becomes 0.
MIN_PACE_CHANGE_PERCENT = 12
MIN_PACE_PERCENT = 5
# A delayed order may still be carried out some seconds after newer ones.
PACE_REPEAT_SECONDS = 5.0
PACE_REPEAT_INTERVAL_SECONDS = 0.7
# A filler with a lower pace for longer than this time is moved to another minion.
MOVE_PACE_PERCENT = 40
MOVE_AFTER_SECONDS = 1.2
# A filler that no minion admitted has waited for long and would wait again, so it is moved later.
MOVE_FORCED_AFTER_SECONDS = 10.0
# All fillers of a minion are paused once a serving task has been over its target for this share of
# the time that the platform allows.
STOP_TIME_SHARE = 0.35


# Ranks a minion without serving tasks after one with the same image and before one with others.
EMPTY_MINION_COST = 0.5


@dataclass(slots=True)
class _MinionState:
    """State of the fillers and the headroom on one minion.

    :param over_target_since: loop time since which a serving task has been over its target
    :param remaining_headroom: serving image, lowest headroom that its tasks keep beside the present
        fillers, and number of its tasks
    :param cached_change_count: ``change_count`` of the minion when ``remaining_headroom`` was
        computed
    :param slow_since: loop time since which the pace of a filler is below ``MOVE_PACE_PERCENT``, by
        run
    :param present_baselines: serving image, and lowest headroom of its tasks without fillers
    :param present_shares: shares of the processors that fillers use at full pace, by image
    :param present_key: ``change_count`` of the minion and loop time to which these two belong
    :param serving: runs of serving tasks with a target for their tail latency
    :param fillers: runs of fillers
    :param runs_change_count: ``change_count`` of the minion when these two were listed
    """

    over_target_since: float | None = None
    slow_since: dict[Run, float] = field(default_factory=dict)
    remaining_headroom: list[tuple[str, float, int]] = field(default_factory=list)
    cached_change_count: int = -1
    present_baselines: dict[str, float] = field(default_factory=dict)
    present_shares: dict[str, float] = field(default_factory=dict)
    present_key: tuple[int, float] = (-1, 0.0)
    serving: list[Run] = field(default_factory=list)
    fillers: list[Run] = field(default_factory=list)
    runs_change_count: int = -1


class InterferenceControl:
    """Controller of the placement costs and the pace of fillers beside serving tasks.

    :param harm_seconds: longest time for which fillers may keep a serving task over its target
    """

    def __init__(self, harm_seconds: float) -> None:
        self._stop_after_seconds = STOP_TIME_SHARE * harm_seconds
        self._model = HeadroomModel()
        self._minions: dict[Minion, _MinionState] = {}
        self._forced: set[TaskKey] = set()
        self._paused: set[Run] = set()

    @property
    def model(self) -> HeadroomModel:
        """Return the model of headroom and interference."""
        return self._model

    def remove_minion(self, minion: Minion) -> None:
        """Remove the state of a minion incarnation that is gone."""
        self._minions.pop(minion, None)

    def remove_run(self, run: Run) -> None:
        """Remove the state of a run that has ended."""
        self._forced.discard(run.key)
        self._paused.discard(run)
        if run.step.is_lasting:
            self._model.remove_task(run.key)

    def has_serving_tasks(self, minion: Minion) -> bool:
        """Return whether a serving task runs on the minion."""
        return bool(minion.lasting_images)

    def image_mismatch_cost(self, minion: Minion, step: Step) -> float:
        """Return the cost, 0 to 1, of placing a serving task beside the images on a minion."""
        if not minion.lasting_images:
            return EMPTY_MINION_COST
        other_image_count = len(minion.lasting_images) - (step.image in minion.lasting_images)
        return float(bool(other_image_count))

    def idle_cpu(self, minion: Minion) -> float:
        """Return the idle processor capacity of the minion in thousandths of a processor."""
        return self.idle_cpu_of_lasting(minion) - minion.short_cpu - minion.filler_cpu

    def idle_cpu_of_lasting(self, minion: Minion) -> float:
        """Return the thousandths of a processor that are idle when only lasting tasks are left."""
        return minion.facts.capacity.cpu - SERVING_CPU_SHARE * minion.lasting_cpu

    def filler_interference(self, minion: Minion, step: Step, now: float) -> float | None:
        """Return the share of spare headroom that a new filler takes, summed over serving tasks.

        :returns: None when a serving task would keep too little headroom
        """
        added_share = step.room.cpu / _processors(minion)
        interference = 0.0
        for image, remaining, count in self._remaining_headroom_by_image(minion, now):
            effect_sum = added_share * self._model.effect(image, step.image, PLANNING_DEVIATIONS)
            spare_headroom = remaining - MIN_PLANNED_HEADROOM
            if effect_sum > spare_headroom and effect_sum > NEGLIGIBLE_EFFECT:
                return None
            interference += count * effect_sum / max(MIN_SPARE_HEADROOM, spare_headroom)
        return interference

    def lacking_headroom(self, minion: Minion, step: Step, now: float) -> float:
        """Return how much headroom a new filler would take too much from a serving task.

        :returns: the largest lack of all serving tasks; 0 where the filler may start
        """
        added_share = step.room.cpu / _processors(minion)
        lack = 0.0
        for image, remaining, _ in self._remaining_headroom_by_image(minion, now):
            effect_sum = added_share * self._model.effect(image, step.image, PLANNING_DEVIATIONS)
            if effect_sum > NEGLIGIBLE_EFFECT:
                lack = max(lack, effect_sum - (remaining - MIN_PLANNED_HEADROOM))
        return lack

    def headroom_beside(self, minion: Minion, step: Step, now: float) -> float:
        """Return the lowest present headroom of a serving task beside a new filler.

        Unlike ``lacking_headroom`` it does not allow for a rise of the load. Serving tasks on which
        the filler has a negligible effect don't count.
        """
        state = self._state_of(minion)
        if state.present_key != (minion.change_count, now):
            self._update_present(state, minion, now)
        added_share = step.room.cpu / _processors(minion)
        lowest = float("inf")
        for image, baseline in state.present_baselines.items():
            added = added_share * self._model.effect(image, step.image)
            if added < NEGLIGIBLE_EFFECT:
                continue
            headroom = baseline - added
            for filler, share in state.present_shares.items():
                headroom -= share * self._model.effect(image, filler)
            lowest = min(lowest, headroom)
        return lowest

    def _update_present(self, state: _MinionState, minion: Minion, now: float) -> None:
        """Compute what all fillers that are tried on a minion in one round have in common."""
        state.present_key = (minion.change_count, now)
        state.present_shares = self._planned_filler_shares(minion)
        baselines = state.present_baselines = {}
        for run in state.serving:
            baseline = self._model.baseline_headroom(run.key, now)
            image = run.step.image
            baselines[image] = min(baseline, baselines.get(image, baseline))

    def is_over_target(self, minion: Minion) -> bool:
        """Return whether a serving task on a minion is over its target."""
        state = self._minions.get(minion)
        return state is not None and state.over_target_since is not None

    def record_forced_start(self, key: TaskKey) -> None:
        """Record that a filler starts although it takes too much headroom."""
        self._forced.add(key)

    def has_forced_filler(self, minion: Minion) -> bool:
        """Return whether a filler runs on a minion that takes too much headroom there."""
        return not minion.runs.keys().isdisjoint(self._forced)

    def discard_cached_headroom(self, minion: Minion) -> None:
        """Compute the remaining headroom on a minion anew, since its capacity has changed."""
        state = self._minions.get(minion)
        if state is not None:
            state.cached_change_count = -1

    def _state_of(self, minion: Minion) -> _MinionState:
        """Return the state of a minion and create it on first use."""
        state = self._minions.get(minion)
        if state is None:
            state = self._minions[minion] = _MinionState()
        return state

    def _listed_state(self, minion: Minion) -> _MinionState:
        """Return the state of a minion with the present lists of its runs.

        They are listed anew only when a run was attached or detached, since a report concerns a
        few runs of many.
        """
        state = self._state_of(minion)
        if state.runs_change_count != minion.change_count:
            state.runs_change_count = minion.change_count
            state.serving, state.fillers = [], []
            for run in minion.runs.values():
                step = run.step
                if step.is_filler:
                    state.fillers.append(run)
                if step.is_lasting and step.target_tail_ms > 0:
                    state.serving.append(run)
        return state

    def _remaining_headroom_by_image(
        self, minion: Minion, now: float
    ) -> list[tuple[str, float, int]]:
        """Return each serving image with the lowest remaining headroom and number of its tasks.

        The result is cached until a run is added or removed, the minion reports or its capacity
        changes, because it is needed for every waiting filler.
        """
        state = self._state_of(minion)
        if state.cached_change_count == minion.change_count:
            return state.remaining_headroom
        filler_shares = self._planned_filler_shares(minion)
        lowest: dict[str, tuple[float, int]] = {}
        for run in state.serving:
            image = run.step.image
            baseline = self._model.min_baseline_headroom(run.key, image, now)
            lowest_headroom, count = lowest.get(image, (baseline, 0))
            lowest[image] = (min(lowest_headroom, baseline), count + 1)
        state.remaining_headroom = []
        for image, (lowest_headroom, count) in lowest.items():
            effect_sum = 0.0
            for filler, share in filler_shares.items():
                effect_sum += share * self._model.effect(image, filler)
            state.remaining_headroom.append((image, lowest_headroom - effect_sum, count))
        state.cached_change_count = minion.change_count
        return state.remaining_headroom

    def serving_task_interference(self, minion: Minion, step: Step) -> float:
        """Return the headroom that present fillers would take from a new serving task."""
        interference = 0.0
        for image, share in self._planned_filler_shares(minion).items():
            interference += share * self._model.effect(step.image, image)
        return interference

    def _planned_filler_shares(self, minion: Minion) -> dict[str, float]:
        """Return the share of the processors that fillers use at full pace, by image."""
        filler_shares: dict[str, float] = {}
        processors = _processors(minion)
        for run in self._listed_state(minion).fillers:
            if run.state is not RunState.STOPPING:
                image = run.step.image
                share = run.step.room.cpu / processors
                filler_shares[image] = filler_shares.get(image, 0.0) + share
        return filler_shares

    @staticmethod
    def _reported_filler_shares(minion: Minion, fillers: list[Run]) -> dict[str, float]:
        """Return the share of the processors used by fillers in the newest report, by image.

        The shares add up to at most 1. On a minion that has shrunk, its fillers may use more than
        its capacity; larger shares would make the estimated effects of their images too small.
        """
        used: dict[str, float] = {}
        for run in fillers:
            if run.cpu_used:
                image = run.step.image
                used[image] = used.get(image, 0.0) + run.cpu_used
        processors = max(_processors(minion), sum(used.values()))
        return {image: cpu / processors for image, cpu in used.items()}

    def observe(self, minion: Minion, now: float) -> None:
        """Update the estimates with the tails in the newest report of a minion."""
        state = self._listed_state(minion)
        state.cached_change_count = -1
        state.present_key = (-1, now)
        filler_shares: dict[str, float] | None = None
        effect_shares: dict[str, list[EffectShare]] = {}
        is_over_target = False
        for run in state.serving:
            tail_ms = run.tail_ms
            if not tail_ms or run.percent < 100:
                continue
            step = run.step
            headroom = step.target_tail_ms / tail_ms
            is_over_target = is_over_target or headroom < 1.0
            image = step.image
            shares = effect_shares.get(image)
            if shares is None:
                if filler_shares is None:
                    filler_shares = self._reported_filler_shares(minion, state.fillers)
                shares = self._model.effect_shares(image, filler_shares, now)
                effect_shares[image] = shares
            self._model.observe(run.key, image, headroom, shares, now)
        if not is_over_target:
            state.over_target_since = None
        elif state.over_target_since is None:
            state.over_target_since = now

    def pace_orders(self, minion: Minion, now: float) -> list[PaceOrder]:
        """Return pace orders for the fillers of a minion according to its newest report."""
        state = self._listed_state(minion)
        fillers = [run for run in state.fillers if run.state is RunState.PRESENT]
        if not fillers:
            return []
        is_stop_due = (
            state.over_target_since is not None
            and now - state.over_target_since > self._stop_after_seconds
        )
        limits = [] if is_stop_due else self._pace_limits(minion, state.serving, fillers, now)
        orders = []
        slow_since, paused = state.slow_since, self._paused
        for run in fillers:
            pace = 100
            if is_stop_due or run in paused:
                pace = 0
            elif limits:
                pace = self._allowed_pace(run, minion, limits)
            if pace != run.pace or run.is_inherited or now < run.pace_repeated_until:
                order = self._pace_order(minion, run, pace, now)
                if order is not None:
                    orders.append(order)
            if run.pace < MOVE_PACE_PERCENT and run not in paused:
                slow_since.setdefault(run, now)
            elif slow_since:
                slow_since.pop(run, None)
        return orders

    def _pace_limits(
        self, minion: Minion, serving_runs: list[Run], fillers: list[Run], now: float
    ) -> list[tuple[str, float, float]]:
        """Return what limits the pace of the fillers on a minion, by image of serving tasks.

        :param serving_runs: runs of serving tasks with a target for their tail latency
        :returns: image, lowest spare headroom of its tasks, and headroom that all fillers together
            would take from them at full pace; without images for which that is little enough
        """
        at = now + PACE_DELAY_SECONDS
        spare_headroom: dict[str, float] = {}
        for serving in serving_runs:
            image = serving.step.image
            spare = self._model.baseline_headroom(serving.key, at) - PACING_HEADROOM
            known = spare_headroom.get(image)
            if known is None or spare < known:
                spare_headroom[image] = spare
        shares: dict[str, float] = {}
        for filler in fillers:
            image = filler.step.image
            shares[image] = shares.get(image, 0.0) + filler.step.room.cpu
        processors = _processors(minion)
        limits = []
        for image, spare in spare_headroom.items():
            effect_sum = 0.0
            for filler_image, cpu in shares.items():
                effect_sum += cpu * self._model.effect(image, filler_image)
            effect_sum /= processors
            if effect_sum > spare:
                limits.append((image, spare, effect_sum))
        return limits

    def _allowed_pace(
        self, run: Run, minion: Minion, limits: list[tuple[str, float, float]]
    ) -> int:
        """Return the highest pace in percent at which every serving task keeps enough headroom."""
        share = 1.0
        cpu_share = run.step.room.cpu / _processors(minion)
        for image, spare_headroom, effect_sum in limits:
            if self._model.effect(image, run.step.image) * cpu_share < NEGLIGIBLE_EFFECT:
                continue
            share = min(share, max(0.0, spare_headroom) / effect_sum)
        return int(100 * share)

    def _pace_order(self, minion: Minion, run: Run, pace: int, now: float) -> PaceOrder | None:
        """Set the pace of a filler and return the order, or None for a change that is too small."""
        if pace < MIN_PACE_PERCENT:
            pace = 0
        is_limit = pace in (0, 100) and pace != run.pace
        is_repeat_due = (
            now < run.pace_repeated_until and now - run.paced_at >= PACE_REPEAT_INTERVAL_SECONDS
        )
        # An earlier leader may have left a run at another pace.
        is_unknown = run.is_inherited and run.paced_at == 0.0
        if is_repeat_due or is_unknown:
            minion.set_pace(run, pace, now)
            return PaceOrder(minion, run, pace)
        if abs(pace - run.pace) < MIN_PACE_CHANGE_PERCENT and not is_limit:
            return None
        minion.set_pace(run, pace, now)
        return PaceOrder(minion, run, pace)

    def pause(self, minion: Minion, run: Run, now: float) -> list[PaceOrder]:
        """Keep the pace of a filler at 0 until it is resumed; return the orders for its minion.

        Meanwhile it is not moved because of its pace.
        """
        self._paused.add(run)
        return self.pace_orders(minion, now)

    def resume(self, minion: Minion, run: Run, now: float) -> list[PaceOrder]:
        """End the pause of a filler and return the pace orders for its minion."""
        self._paused.discard(run)
        return self.pace_orders(minion, now)

    @staticmethod
    def repeat_pace(run: Run, now: float) -> None:
        """Order the pace of a run again for some time, because an order had no answer."""
        run.pace_repeated_until = now + PACE_REPEAT_SECONDS

    def runs_to_move(self, minion: Minion, now: float) -> list[Run]:
        """Return the checkpointing fillers that were throttled for longer than the limit."""
        state = self._minions.get(minion)
        if state is None:
            return []
        runs = []
        for run, since in list(state.slow_since.items()):
            if minion.runs.get(run.key) is not run:
                del state.slow_since[run]
                continue
            is_forced = run.key in self._forced
            limit = MOVE_FORCED_AFTER_SECONDS if is_forced else MOVE_AFTER_SECONDS
            if run.step.is_checkpointing and now - since > limit:
                runs.append(run)
        return runs


def _processors(minion: Minion) -> int:
    """Return the capacity of a minion in thousandths of a processor, at least 1 for divisions."""
    return max(1, minion.facts.capacity.cpu)
