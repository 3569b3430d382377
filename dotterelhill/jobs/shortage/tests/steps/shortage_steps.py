from __future__ import annotations

from dataclasses import replace

from behave import given, step, then, use_step_matcher, when

from dotterelhill.jobs.changes import Switches
from dotterelhill.jobs.fleet import EndKind
from dotterelhill.jobs.model import Job, JobState, Step, Submission, TaskKey, Timeliness
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.scheduler import Scheduler
from dotterelhill.jobs.shortage.demand import TrackedJob
from dotterelhill.jobs.shortage.finish import QueueOutlook
from dotterelhill.jobs.shortage.order import ShortageState, shortage_key
from dotterelhill.jobs.tests.fleet_world import FleetWorld

use_step_matcher("re")

TICK_SECONDS = 0.1
OBJECTIVE_SECONDS = 3.0


class ShortageWorld(FleetWorld):
    """Fleet on which jobs arrive at fixed intervals and runs take the time that a test sets."""

    def __init__(self, *, is_controlled: bool) -> None:
        self.is_controlled = is_controlled
        super().__init__()
        self.begun_at = self.now
        self.plans: list[tuple[float, float, str, Step]] = []
        self.ends_at = {}
        self.seconds: dict[str, float] = {}
        self.arrived: dict[str, float] = {}
        self.completed: dict[str, float] = {}
        self.started: list[str] = []
        self.expected: dict[int, float] = {}
        self.refused_queues: set[str] = set()

    def _new_scheduler(self) -> Scheduler:
        switches = Switches(shortage_control=self.is_controlled)
        return Scheduler(replace(self.settings, switches=switches), self.now)

    @property
    def elapsed(self) -> float:
        return self.now - self.begun_at

    def run_for(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_SECONDS)):
            for interval, until, kind, tasks in self.plans:
                count = sum(job.split("-")[0] == kind for job in self.arrived)
                if self.elapsed < until and count * interval <= self.elapsed:
                    self.arrive(f"{kind}-{count}", tasks, kind)
            for (name, key), at in list(self.ends_at.items()):
                if at <= self.now + 0.01:
                    del self.ends_at[name, key]
                    self.end(name, key, EndKind.DONE)
            for order in self.run_round():
                key = order.run.key
                self.started.append(key.job_id)
                seconds = self.seconds.get(key.job_id, order.run.step.estimate_seconds)
                self.ends_at[order.minion.minion_id, key] = self.now + seconds - TICK_SECONDS
            for job_id in self.arrived:
                if job_id not in self.completed:
                    if self.scheduler.state_of(job_id) is JobState.COMPLETED:
                        self.completed[job_id] = self.now
            shortage = self.scheduler.shortage
            if shortage is not None:
                self.refused_queues |= shortage.verdicts.keys()
            if shortage is not None and "long" in shortage.estimate.outlooks:
                outlook = shortage.estimate.outlooks["long"]
                self.expected.setdefault(round(self.elapsed), outlook.next_end_seconds - 1.0)

    def arrive(self, job_id: str, tasks: Step, kind: str) -> None:
        self.arrived[job_id] = self.now
        self.submit(job_id, (tasks,), "long" if kind == "long" else "short", domain=kind[0])

    def in_time_percent(self, kind: str) -> float:
        jobs = [job for job in self.arrived if job.split("-")[0] == kind]
        in_time = [
            job
            for job in jobs
            if self.completed.get(job, float("inf")) - self.arrived[job] <= OBJECTIVE_SECONDS + 0.15
        ]
        return 100.0 * len(in_time) / max(1, len(jobs))


@given(
    r"a fleet (?P<has>with|without) shortage control and (?P<count>\d+) minions of "
    r"(?P<cpu>\d+) processors"
)
def new_fleet(context, has, count, cpu):
    context.fleet = ShortageWorld(is_controlled=has == "with")
    for number in range(int(count)):
        context.fleet.list_minion(f"m{number}", 1000 * int(cpu))


@given(
    r'each (?P<interval>[\d.]+) s a job "(?P<kind>\w+)" of (?P<count>\d+) tasks of '
    r"(?P<seconds>[\d.]+) s(?:, estimated as (?P<estimate>[\d.]+) s,)? arrives for "
    r"(?P<until>\d+) s"
)
def plan_arrivals(context, interval, kind, count, seconds, estimate, until):
    fleet = context.fleet
    tasks = Step(int(count), ResourceVector(1000, 100), float(estimate or seconds))
    fleet.plans.append((float(interval), float(until), kind, tasks))
    if estimate:
        fleet.seconds = {f"{kind}-{number}": float(seconds) for number in range(1000)}


@given(r'every second job "(?P<kind>\w+)" takes (?P<low>\S+) s and the others (?P<high>\S+) s')
def vary_durations(context, kind, low, high):
    for number in range(1000):
        context.fleet.seconds[f"{kind}-{number}"] = float(high if number % 2 else low)


@given(
    r"a(?: mean work of (?P<mean>\d+) and a)? waiting job with work (?P<work>\d+), "
    r"left (?P<left>\d+), slack (?P<slack>\S+), (?P<state>.+)"
)
def rank_job(context, mean, work, left, slack, state):
    if mean:
        context.mean_work, context.ranks = float(mean), []
    submission = Submission("a", FleetWorld.queue("q", 0), 0, "spec", ())
    has_plan = state in ("begun", "planned", "refused")
    job = Job(submission, JobState.RUNNING if has_plan else JobState.QUEUED)
    job.has_begun = state == "begun"
    if state == "planned":
        job.task(TaskKey("a", 0, 0, 0)).assign("m1", 1)
    tracked = TrackedJob(job, submission.queue, float(work), left_work=float(left))
    key = (0, Timeliness.LATE if state == "late" else Timeliness.IN_TIME, float(slack), 1)
    context.ranks.append(shortage_key(tracked, key, context.mean_work, is_below=False))


@then(r"the first one ranks before the second")
def check_ranks(context):
    assert context.ranks[0] < context.ranks[1], context.ranks


@given(
    r'(?P<higher>\d+) jobs of queue "short" and (?P<same>\d+) of queue "long" with '
    r"(?P<count>\d+) tasks of (?P<seconds>[\d.]+) s"
)
def submit_jobs(context, higher, same, count, seconds):
    tasks = Step(int(count), ResourceVector(1000, 100), float(seconds))
    for queue, jobs in (("short", int(higher)), ("long", int(same))):
        for number in range(jobs):
            context.fleet.submit(f"{queue}{number}", (tasks,), queue)


@when(r"(?P<seconds>[\d.]+) s pass")
def pass_time(context, seconds):
    context.fleet.run_for(float(seconds))


@when(r"(?P<count>\d+) rounds pass")
def pass_rounds(context, count):
    fleet = context.fleet
    for _ in range(int(count)):
        fleet.poll()
        fleet.plan()
        fleet.now += 0.3


@when(r"a new leader takes over")
def take_over(context):
    context.fleet.take_over()


@then(
    r'at least (?P<percent>\d+) % of the jobs "(?P<small>\w+)" and (?P<least>\d+) % of the jobs '
    r'"(?P<large>\w+)" are in time'
)
def check_in_time(context, percent, small, least, large):
    found = [context.fleet.in_time_percent(kind) for kind in (small, large)]
    assert found[0] >= int(percent) and found[1] >= int(least), found


@given(
    r"a queue of which (?P<before>\d+) of 100 waiting jobs are expected to be late, and then "
    r"(?P<after>\d+)"
)
def set_outlooks(context, before, after):
    context.outlooks = [QueueOutlook(100, int(before)), QueueOutlook(100, int(after))]


@then(r"it is in shortage first (?P<first>\w+) and then (?P<second>\w+)")
def check_states(context, first, second):
    state, found = ShortageState(), []
    for outlook in context.outlooks:
        state.update({"q": outlook})
        found.append(str("q" in state.queues))
    assert found == [first, second], found


@then(r'a job of queue "(?P<queue>\w+)" is expected to end within (?P<low>\S+) to (?P<high>\S+) s')
def check_end(context, queue, low, high):
    outlook = context.fleet.scheduler.shortage.estimate.outlooks[queue]
    assert float(low) <= outlook.end_seconds <= float(high), outlook


@step(r'submissions of queue "(?P<queue>\w+)" are refused in part')
def check_refused(context, queue):
    verdict = context.fleet.scheduler.shortage.verdicts[queue]
    assert 0.4 <= verdict.admitted_share < 1.0 and verdict.room_seconds > 0.0, verdict


@then(r"no group is below its floor and no submissions are refused")
def check_fresh(context):
    shortage = context.fleet.scheduler.shortage
    assert not shortage.groups_below_floor and not shortage.verdicts, shortage.verdicts


@then(
    r'the wait that was expected at second (?P<second>\d+) for a job "(?P<kind>\w+)" is off by at '
    r"most (?P<percent>\d+) %"
)
def check_wait(context, second, kind, percent):
    fleet = context.fleet
    expected = fleet.expected[int(second)]
    # Work is worked off at 8 processors, and 10 arrive.
    waiting = [job for job in fleet.arrived if fleet.arrived[job] - fleet.begun_at <= int(second)]
    done = [
        job for job in waiting if fleet.completed.get(job, 1e9) - fleet.begun_at <= int(second) + 1
    ]
    actual = 2.0 * (len(waiting) - len(done)) / 8.0
    assert abs(expected - actual) <= int(percent) / 100.0 * actual, (expected, actual)


@then(r"the jobs started in the order of their arrival")
def check_order(context):
    fleet = context.fleet
    assert fleet.scheduler.shortage is None
    assert (
        fleet.started
        == [job for job in sorted(fleet.arrived) for _ in range(4)][: len(fleet.started)]
    ), fleet.started
