from __future__ import annotations

from math import pi, sin
from random import Random

from behave import given, then, use_step_matcher, when

from dotterelhill.jobs.interference.headroom import REPORT_RELATIVE_ERROR, Estimate, HeadroomModel
from dotterelhill.jobs.model import Step, TaskKey
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tests.fleet_world import FleetWorld

use_step_matcher("re")

START = 80_000.0
RECORD_BYTES = 262_144
REPORT_SECONDS = 0.4
TARGET_MS = 50
# Both loads are reported for two periods.
PERIOD_SECONDS = 14.0


class PeriodicLoads:
    """Serving steps whose headroom oscillates with one period, each with its own phase.

    :param count: number of steps
    :param amplitude: largest deviation of the headroom from its level
    :param level: mean headroom of all steps
    :param period: period in seconds
    """

    def __init__(self, count: int, amplitude: float, level: float, period: float) -> None:
        self.model = HeadroomModel()
        self.keys = [TaskKey(f"job{number}", 0, 0, 0) for number in range(count)]
        self.amplitude, self.level, self.angular_frequency = amplitude, level, 2 * pi / period
        self.now = START
        self.rng = Random(1)

    def headroom(self, number: int, at: float) -> float:
        return self.level + self.amplitude * sin(self.angular_frequency * at + number)

    def report(self, seconds: float, numbers: list[int]) -> None:
        ends_at = self.now + seconds
        while self.now < ends_at:
            for number in numbers:
                error_factor = 1.0 + self.rng.gauss(0.0, REPORT_RELATIVE_ERROR)
                headroom = self.headroom(number, self.now) * error_factor
                self.model.observe(self.keys[number], "web", headroom, [], self.now)
            self.now += REPORT_SECONDS


@given(
    r"(?P<count>\d+) serving steps whose headroom oscillates by (?P<amplitude>[\d.]+) around "
    r"(?P<level>[\d.]+) with a period of (?P<period>\d+) seconds"
)
def new_periodic_steps(context, count, amplitude, level, period):
    context.loads = PeriodicLoads(int(count), float(amplitude), float(level), float(period))


@when(r"they report for (?P<seconds>\d+) seconds")
def report_all_steps(context, seconds):
    context.loads.report(float(seconds), list(range(len(context.loads.keys))))


@when(
    r"they report for (?P<seconds>\d+) seconds "
    r"while a new step is added every (?P<interval>\d+) seconds"
)
def report_with_new_steps(context, seconds, interval):
    loads = context.loads
    old_steps = list(range(len(loads.keys)))
    for number in range(int(seconds) // int(interval)):
        loads.keys.append(TaskKey(f"new{number}", 0, 0, 0))
        loads.report(float(interval), [*old_steps, len(loads.keys) - 1])


@when(r"(?P<seconds>\d+) seconds pass in which only the first step reports")
def report_first_step(context, seconds):
    context.loads.report(float(seconds), [0])


@when(r"the estimates are stored and loaded again")
def reload_estimates(context):
    stored = context.loads.model.to_record(RECORD_BYTES)
    context.loads.model = HeadroomModel()
    context.loads.model.load_record(stored, context.loads.now)


@then(r"the period is known to be (?P<period>\d+) seconds within (?P<percent>\d+) percent")
def check_period(context, period, percent):
    found = context.loads.model.cycles.period_seconds
    assert found is not None
    assert abs(found / float(period) - 1.0) <= float(percent) / 100.0, found


@then(r"no period(?: below (?P<least>\d+) seconds)? is known")
def check_no_period(context, least):
    found = context.loads.model.cycles.period_seconds
    assert found is None or (least is not None and found >= float(least)), found


@then(
    r"the change of headroom over the next (?P<ahead>\d+) seconds "
    r"is forecast within (?P<maximum>.+)"
)
def check_forecast_change(context, ahead, maximum):
    loads = context.loads
    end = loads.now + float(ahead)
    for number, key in enumerate(loads.keys):
        true = loads.headroom(number, end) - loads.headroom(number, loads.now)
        forecast = loads.model.cycles.forecast_change(key, loads.now, end)
        assert abs(forecast - true) <= float(maximum), (number, true, forecast)


@then(r"no change of headroom is forecast for the other steps")
def check_no_forecast(context):
    loads = context.loads
    for key in loads.keys[1:]:
        assert loads.model.cycles.forecast_change(key, loads.now, loads.now + 1.0) is None


@given(r'serving tasks on "(?P<rising>\w+)" and "(?P<falling>\w+)" whose periodic loads .*')
def new_opposite_loads(context, rising, falling):
    world = context.fleet = FleetWorld()
    context.phases = {}
    for name, phase in ((rising, pi), (falling, 0.0)):
        world.list_minion(name, cpu=32000, labels=("a", name))
        room = ResourceVector(5000, 1000)
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


@when(r'both have the same headroom and that of "up" is falling')
def run_two_periods(context):
    world = context.fleet
    started_at = world.now
    while world.now < started_at + 2 * PERIOD_SECONDS:
        for key, phase in context.phases.items():
            angle = 2 * pi * (world.now - started_at) / PERIOD_SECONDS
            world.tails[key] = TARGET_MS / (2.2 + 0.8 * sin(angle + phase))
        world.run_round()


@when(r"a filler is submitted")
def submit_filler(context):
    step = Step(1, ResourceVector(4000, 1000), 2.0, image="print", is_filler=True)
    context.fleet.submit("filler", (step,), queue="long")
    context.fleet.run_round()
    context.fleet.run_round()


@then(r'the filler runs on "(?P<name>\w+)"')
def check_runs_on(context, name):
    place = context.fleet.minion_running(TaskKey("filler", 0, 0, 0))
    assert place == name, place
