from __future__ import annotations

from random import Random

import msgspec
from behave import given, then, use_step_matcher, when

from dotterelhill.control.relay_messages import EntryNotice
from dotterelhill.jobs.model import Schedule, Step, Submission
from dotterelhill.jobs.progress import decode_submission, encode_submission
from dotterelhill.jobs.queues import Queue
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.shortage.entry import QueueAdmission
from dotterelhill.jobs.shortage.finish import QueueOutlook
from dotterelhill.jobs.shortage.refusal import QueueVerdict, RefusalPolicy

use_step_matcher("re")

QUEUE = Queue("q", "h", "/q/", "pool")
UPDATE_SECONDS = 0.25
WINDOW_SECONDS = 5.0


@given(r"a queue whose useful time is (?P<seconds>\d+) s")
def new_policy(context, seconds):
    context.policy, context.now, context.useful = RefusalPolicy(), 100.0, float(seconds)


@when(r"the leader expects (?P<expected>\S+) s for (?P<seconds>[\d.]+) s")
def expect(context, expected, seconds):
    outlook = QueueOutlook(next_end_seconds=float(expected), useful_seconds=context.useful)
    until = context.now + float(seconds)
    while context.now <= until:
        context.policy.update({"q": outlook}, context.now)
        context.now += UPDATE_SECONDS


@then(r"the share of its submissions to admit is (?P<share>\S+)")
def check_share(context, share):
    verdict = context.policy.verdicts.get("q")
    found = "none" if verdict is None else f"{verdict.admitted_share:g}"
    assert found == share, verdict


@given(
    r"each (?P<interval>[\d.]+) s a job of queue \"long\" of (?P<count>\d+) tasks of "
    r"(?P<seconds>[\d.]+) s arrives for (?P<until>\d+) s"
)
def plan_long_jobs(context, interval, count, seconds, until):
    room = ResourceVector(1000, 100)
    tasks = Step(int(count), room, float(seconds))
    context.fleet.plans.append((float(interval), float(until), "long", tasks))


@then(r'submissions of queue "(?P<queue>\w+)" are refused never')
def check_not_refused(context, queue):
    assert queue not in context.fleet.refused_queues, context.fleet.scheduler.shortage.verdicts


@given(
    r"an entry process that knows a verdict of share (?P<share>[\d.]+) and (?P<room>[\d.]+) s, "
    r"(?P<age>[\d.]+) s old"
)
def new_process(context, share, room, age):
    context.admission, context.now = QueueAdmission(Random(1)), 100.0
    context.verdict = QueueVerdict(float(share), float(room))
    context.admission.receive({"q": context.verdict}, context.now - float(age))
    context.answers = []


def submission(queue: Queue = QUEUE, **more) -> Submission:
    lasting = more.pop("is_lasting", False)
    step = Step(1, ResourceVector(1000, 100), 1.0, is_lasting=lasting)
    return Submission("a", queue, 0, "spec", (step,), **more)


@when(r"(?P<count>\d+) jobs arrive at (?P<rate>\d+) per second")
def arrive(context, count, rate):
    for _ in range(int(count)):
        context.answers.append((context.now, context.admission.admit(submission(), context.now)))
        context.now += 1.0 / int(rate)


@then(r"(?P<low>\d+) to (?P<high>\d+) of them are admitted")
def check_admitted(context, low, high):
    admitted = sum(refused is None for _, refused in context.answers)
    assert int(low) <= admitted <= int(high), admitted


@then(r"in each 5 s at least 40 % are admitted")
def check_windows(context):
    for end, _ in context.answers:
        window = [refused for at, refused in context.answers if end - WINDOW_SECONDS < at <= end]
        assert sum(refused is None for refused in window) >= 0.4 * len(window), (end, window)


@when(r"an? (?P<kind>\w+) job arrives again and again")
def arrive_again(context, kind):
    more = {"lasting": {"is_lasting": True}, "scheduled": {"schedule": Schedule(2, 0, 1000)}}
    queue = Queue("other", "h", "/o/", "pool") if kind == "unrelated" else QUEUE
    one = submission(queue, **more.get(kind, {}))
    context.answers = [(0.0, context.admission.admit(one, context.now)) for _ in range(50)]


@then(r"none is refused")
def check_none(context):
    assert all(refused is None for _, refused in context.answers), context.answers


@when(r"it learns of a room in (?P<room>\d+) s instead")
def learn(context, room):
    verdict = QueueVerdict(context.verdict.admitted_share, float(room))
    context.admission.receive({"q": verdict}, context.now)


@then(r"callers are asked to wait 1 to 10 whole seconds")
def check_waits(context):
    waits = [refused.retry_seconds for _, refused in context.answers if refused is not None]
    assert len(set(waits)) > 1 and all(wait in range(1, 11) for wait in waits), waits


@then(r"the mean time of return of the first half is no later than that of the second")
def check_returns(context):
    returns = [at + one.retry_seconds for at, one in context.answers if one is not None]
    half = len(returns) // 2
    assert sum(returns[:half]) / half <= sum(returns[half:]) / (len(returns) - half), returns


@given(r'a notice with a verdict about queue "q"')
def new_notice(context):
    context.notice = EntryNotice(7, 0.5, None, 3, {"q": QueueVerdict(0.5, 2.0)})


class EarlierNotice(msgspec.Struct, frozen=True, array_like=True):
    config_version: int = 0
    config_age_seconds: float = 0.0
    rates: dict | None = None
    process_count: int = 1


@then(r"the build before reads the notice, and this one reads the notice of the build before")
def check_notices(context):
    data = msgspec.msgpack.encode(context.notice)
    assert msgspec.msgpack.decode(data, type=EarlierNotice).process_count == 3
    assert msgspec.msgpack.decode(data, type=EntryNotice) == context.notice
    earlier = msgspec.msgpack.encode(EarlierNotice(7))
    assert msgspec.msgpack.decode(earlier, type=EntryNotice).queues is None


@then(r'the build before reads a submission from domain "d", and this one that of the build before')
def check_submissions(context):
    record = msgspec.msgpack.decode(encode_submission(submission(domain="d")))
    assert decode_submission(msgspec.msgpack.encode(record)).domain == "d"
    fields = {name: value for name, value in record.items() if name != "domain"}
    assert decode_submission(msgspec.msgpack.encode(fields)).domain == ""
    earlier = msgspec.defstruct("Earlier", [(name, object) for name in fields])
    assert msgspec.convert(record, earlier).job_id == "a"
