from __future__ import annotations

from math import pi, sin
from random import Random

from behave import given, then, use_step_matcher, when

from dotterelhill.jobs.headroom import REPORT_RELATIVE_ERROR, Estimate, HeadroomModel
from dotterelhill.jobs.model import Room, Step, TaskKey
from dotterelhill.jobs.tests.fleet_world import FleetWorld

use_step_matcher("re")

START = 80_000.0
REPORT_SECONDS = 0.4
TARGET_MS = 50
# Both loads are followed for two periods.
PERIOD_SECONDS = 14.0


class Swings:
    """Serving steps with waves of one period, each with its own phase."""

    def __init__(self, count: int, swing: float, level: float, period: float) -> None:
        self.model = HeadroomModel()
        self.keys = [TaskKey(f"job{number}", 0, 0, 0) for number in range(count)]
        self.swing, self.level, self.rate = swing, level, 2 * pi / period
        self.now = START
        self.rng = Random(1)

    def headroom(self, number: int, at: float) -> float:
        return self.level + self.swing * sin(self.rate * at + number)

    def report(self, seconds: float, numbers: list[int]) -> None:
        ends_at = self.now + seconds
        while self.now < ends_at:
            for number in numbers:
                rough = 1.0 + self.rng.gauss(0.0, REPORT_RELATIVE_ERROR)
                headroom = self.headroom(number, self.now) * rough
                self.model.observe(self.keys[number], "web", headroom, {}, self.now)
            self.now += REPORT_SECONDS


@given(
    r"(?P<count>\d+) serving steps whose headroom swings by (?P<swing>[\d.]+) around "
    r"(?P<level>[\d.]+) with a period of (?P<period>\d+) seconds"
)
def swinging_steps(context, count, swing, level, period):
    context.swings = Swings(int(count), float(swing), float(level), float(period))


@when(r"they report for (?P<seconds>\d+) seconds")
def report_all(context, seconds):
    context.swings.report(float(seconds), list(range(len(context.swings.keys))))


@when(
    r"they report for (?P<seconds>\d+) seconds while a new step comes every (?P<pause>\d+) seconds"
)
def report_with_new_steps(context, seconds, pause):
    swings = context.swings
    lasting = list(range(len(swings.keys)))
    for turn in range(int(seconds) // int(pause)):
        swings.keys.append(TaskKey(f"new{turn}", 0, 0, 0))
        swings.report(float(pause), [*lasting, len(swings.keys) - 1])


@when(r"(?P<seconds>\d+) seconds pass in which only the first step reports")
def report_first(context, seconds):
    context.swings.report(float(seconds), [0])


@when(r"the estimates are stored and loaded again")
def reload_estimates(context):
    stored = context.swings.model.to_record()
    context.swings.model = HeadroomModel()
    context.swings.model.load_record(stored, context.swings.now)


@then(r"the period is known to be (?P<period>\d+) seconds within (?P<percent>\d+) percent")
def period_known(context, period, percent):
    found = context.swings.model.cycles.period_seconds
    assert found is not None
    assert abs(found / float(period) - 1.0) <= float(percent) / 100.0, found


@then(r"no period(?: below (?P<least>\d+) seconds)? is known")
def no_period(context, least):
    found = context.swings.model.cycles.period_seconds
    assert found is None or (least is not None and found >= float(least)), found


@then(
    r"the change of headroom over the next (?P<ahead>\d+) seconds is forecast within (?P<most>.+)"
)
def change_forecast(context, ahead, most):
    swings = context.swings
    end = swings.now + float(ahead)
    for number, key in enumerate(swings.keys):
        true = swings.headroom(number, end) - swings.headroom(number, swings.now)
        forecast = swings.model.cycles.forecast_change(key, swings.now, end)
        assert abs(forecast - true) <= float(most), (number, true, forecast)


@then(r"nothing is forecast for the others")
def nothing_forecast(context):
    swings = context.swings
    for key in swings.keys[1:]:
        assert swings.model.cycles.forecast_change(key, swings.now, swings.now + 1.0) is None


@given(r'serving tasks on "(?P<rising>\w+)" and "(?P<falling>\w+)" whose loads swing .*')
def opposite_loads(context, rising, falling):
    world = context.fleet = FleetWorld()
    context.phases = {}
    for name, phase in ((rising, pi), (falling, 0.0)):
        world.list_minion(name, cpu=32000, labels=("a", name))
        room = Room(5000, 1000)
        step = Step(
            1,
            room,
            1.0,
            is_lasting=True,
            image="web",
            target_tail_ms=TARGET_MS,
            required_label=name,
        )
        world.submit(f"on-{name}", (step,))
        context.phases[TaskKey(f"on-{name}", 0, 0, 0)] = phase
    world.scheduler.sharing.model.effects["web", "print"] = Estimate(4.0, 0.1, world.now)


@when(r'both have the same headroom, that of "up" falling')
def follow_loads(context):
    world = context.fleet
    started_at = world.now
    while world.now < started_at + 2 * PERIOD_SECONDS:
        for key, phase in context.phases.items():
            angle = 2 * pi * (world.now - started_at) / PERIOD_SECONDS
            world.tails[key] = TARGET_MS / (2.2 + 0.8 * sin(angle + phase))
        world.turn()


@when(r"a filler is submitted")
def submit_filler(context):
    step = Step(1, Room(4000, 1000), 2.0, image="print", is_filler=True)
    context.fleet.submit("filler", (step,), queue="long")
    context.fleet.turn()
    context.fleet.turn()


@then(r'it runs on "(?P<name>\w+)"')
def runs_on(context, name):
    place = context.fleet.place_of(TaskKey("filler", 0, 0, 0))
    assert place == name, place
