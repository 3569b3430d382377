from __future__ import annotations

import asyncio
import contextlib
import json
import os
import subprocess
import sys
import tempfile
from dataclasses import asdict
from hashlib import sha256
from pathlib import Path
from unittest import mock

from behave import given, then, use_step_matcher, when

from dotterelhill.control.feeds import ConfigurationFeed
from dotterelhill.control.interface import MinionError, Record
from dotterelhill.jobs.changes import SchedulerSettings
from dotterelhill.jobs.fleet import EndKind, EndReport, MinionFacts, MinionReport
from dotterelhill.jobs.queues import Queue
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.scheduler import Scheduler
from dotterelhill.platform.ingress import BadJobError, decode_job
from dotterelhill.platform.minions import PlatformMinions
from dotterelhill.platform.records import PlatformRecords
from dotterelhill.platform.settings import SettingsError, load_settings
from dotterelhill.platform.store import decode_records, encode_records

use_step_matcher("re")

QUEUE = Queue("q", "h", "/q/", "pool")
JOB_ID = "5c0e7a21d94b36f8"


def settings_fields() -> dict:
    return {
        "nodeName": "entry-1",
        "ip": "127.0.0.1",
        "zone": "caxias",
        "listen": {"front": "127.0.0.1:8161", "readiness": "127.0.0.1:8167"},
        "internalPorts": [7720, 7735],
        "platform": {"address": "127.0.0.1:8169"},
        "bounds": {"maxHoldMs": 6000},
    }


def set_field(fields: dict, name: str, value) -> None:
    *parents, last = name.split(".")
    for parent in parents:
        fields = fields[parent]
    if value is None:
        del fields[last]
    else:
        fields[last] = value


def write_settings(context, text: str) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = Path(folder.name) / "settings.json"
    context.path.write_text(text)


@given(r"a settings file with no text at all")
def empty_settings(context):
    write_settings(context, "nothing")


@given(r"a settings file with no (?P<field>[a-z]\S*[a-zA-Z])")
def settings_without(context, field):
    fields = settings_fields()
    set_field(fields, field, None)
    write_settings(context, json.dumps(fields))


@given(r"a settings file with (?P<field>\S+) of (?P<value>.+)")
def settings_with(context, field, value):
    fields = settings_fields()
    set_field(fields, field, json.loads(value))
    write_settings(context, json.dumps(fields))


@given(r"a settings file with unknown fields")
def settings_with_unknown(context):
    fields = {**settings_fields(), "later": {"deep": [1]}}
    fields["bounds"]["later"] = True
    write_settings(context, json.dumps(fields))


@given(r"its heartbeatMs is (?P<value>\d+)")
def set_heartbeat(context, value):
    fields = json.loads(context.path.read_text())
    context.path.write_text(json.dumps({**fields, "heartbeatMs": int(value)}))


@given(r'the variable (?P<name>[A-Z_]+) is "(?P<value>\w+)"')
def set_variable(context, name, value):
    patch = mock.patch.dict(os.environ, {name: value})
    patch.start()
    context.add_cleanup(patch.stop)


@then(r"(?P<first>\w+) and (?P<second>\w+) are the switches that are on")
def check_switches(context, first, second):
    assert context.error is None, context.error
    switches = asdict(context.settings.switches)
    assert {name for name, is_on in switches.items() if is_on} == {first, second}, switches


@then(r"the list of minions may be (?P<seconds>[\d.]+) seconds old")
def check_capacity_valid(context, seconds):
    assert context.error is None, context.error
    assert context.settings.capacity_valid_seconds == float(seconds)


@when(r"the settings are loaded")
def load(context):
    context.error = context.settings = None
    try:
        context.settings = load_settings(context.path)
    except SettingsError as error:
        context.error = str(error)


@then(r'loading fails with an error that names "(?P<field>[^"]+)"')
def check_load_failed(context, field):
    assert context.error is not None and field in context.error, context.error


@then(r"the lease of a run is (?P<seconds>[\d.]+) seconds")
def check_lease(context, seconds):
    assert context.error is None, context.error
    assert context.settings.hold_seconds == float(seconds)


def run_without_settings(*arguments):
    environment = {key: value for key, value in os.environ.items() if key != "DOTTERELHILL_BOOT"}
    return subprocess.run(
        [sys.executable, *arguments], env=environment, capture_output=True, text=True, timeout=60
    )


@when(r"the scheduler command runs as (?P<module>\S+) without its variable")
def run_command(context, module):
    arguments = ["scheduler"] if module == "dotterelhill" else []
    context.result = run_without_settings("-m", module, *arguments)


@when(r"the entry point of the scheduler process has loaded")
def load_entry_point(context):
    program = (
        "import gc, json, runpy, sys\n"
        "try:\n"
        "    runpy.run_module('dotterelhill.platform', run_name='__main__')\n"
        "except SystemExit:\n"
        "    from aiohttp import connector\n"
        "    authorities = connector._SSL_CONTEXT_VERIFIED.cert_store_stats()['x509']\n"
        "    frozen = gc.get_freeze_count() if gc.isenabled() else 0\n"
        "    print(json.dumps([sorted(sys.modules), authorities, frozen]))\n"
    )
    result = run_without_settings("-c", program)
    assert result.returncode == 0, result
    context.modules, context.authorities, context.frozen = json.loads(result.stdout)


@then(r"it has loaded neither defopt nor docutils, and no certificates")
def check_loaded(context):
    assert not {"defopt", "docutils"} & set(context.modules)
    assert context.authorities == 0, context.authorities


@then(r"later collections of garbage leave out what it has loaded")
def check_frozen(context):
    assert context.frozen > 10_000, context.frozen


@then(r'it ends with status (?P<status>\d+) and an error that names "(?P<name>[^"]+)"')
def check_command_failed(context, status, name):
    assert context.result.returncode == int(status), context.result
    assert name in context.result.stderr, context.result.stderr
    assert "Traceback" not in context.result.stderr, context.result.stderr


@when(r"a job is submitted as (?P<body>.+)")
def submit_body(context, body):
    if body == "deep nesting":
        body = '{"spec":"x","steps":[{"count":1}],"more":' + "[" * 100_000 + "]" * 100_000 + "}"
    elif body == "a spec of 5000 bytes":
        body = json.dumps({"spec": "x" * 5000, "steps": [{"count": 1}]})
    context.error = None
    try:
        decode_job(body.encode(), JOB_ID, QUEUE, 0)
    except BadJobError as error:
        context.error = str(error)


@then(r'it is refused with an error that names "(?P<field>[^"]+)"')
def check_refused(context, field):
    assert context.error is not None and field in context.error, context.error


@when(r"a job is submitted with every field")
def submit_all(context):
    step = {
        "count": 2,
        "cpu": 500,
        "memMb": 256,
        "gpu": 1,
        "estimateMs": 900,
        "checkpointing": True,
        "gang": True,
        "sameRack": True,
        "requires": "a",
        "dataRack": "r1-3",
        "antiAffinity": 3,
        "speculative": True,
        "perpetual": True,
        "image": "i",
        "targetMs": 50,
        "fills": True,
        "mayMiss": 0,
    }
    job = {"spec": "x", "steps": [{"count": 1}, {**step, "after": [0]}]}
    job.update(repeatCount=3, firstRunMs=1000, intervalMs=500)
    context.submission = decode_job(json.dumps(job).encode(), JOB_ID, QUEUE, 5)


@then(r"the decoded step has every field")
def check_every_field(context):
    submission = context.submission
    step = submission.steps[1]
    assert step.room == ResourceVector(500, 256, 1)
    assert step.reserved_resources == ResourceVector(0, 256, 1)
    assert step.estimate_seconds == 0.9 and step.after == (0,)
    assert step.is_checkpointing and step.is_gang and step.is_same_rack and step.is_speculative
    assert step.is_lasting and step.is_filler
    assert (step.required_label, step.data_rack, step.image) == ("a", "r1-3", "i")
    assert (step.anti_affinity, step.target_tail_ms, step.may_miss) == (3, 50, 0)
    assert submission.occurrence_count == 3 and submission.due_ms(2) == 2000


def minion_entry() -> dict:
    return {
        "service": "pool",
        "address": "127.0.0.1:9000",
        "zone": "caxias",
        "state": "ready",
        "capacity": {"cpu": 4000, "memMb": 1000},
        "labels": ["a", "r1"],
        "born": 17,
    }


@when(r"a minion entry is decoded with (?P<change>.+)")
def read_entry(context, change):
    entry = minion_entry()
    data = None
    if change.startswith("no "):
        del entry[change.removeprefix("no ")]
    elif change == "a numeric zone":
        entry["zone"] = 5
    elif change == 'state of "resting"':
        entry["state"] = "resting"
    elif change == "bytes":
        data = b"\xff\x00\x17"
    elif change == "an empty object":
        data = b"{}"
    elif change.endswith(" digits"):
        entry["capacity"]["cpu"] = 10 ** (int(change.split()[2]) - 1)
    elif change.startswith(("cpu of ", "memMb of ", "gpu of ")):
        field, value = change.split(" of ")
        entry["capacity"][field] = json.loads(value)
    elif change.startswith("draining"):
        entry.update(state="draining", remainingMs=4000)
    else:
        raise AssertionError(change)
    data = json.dumps(entry).encode() if data is None else data
    context.minion = PlatformRecords().minion_record(Record("i-1", data))


@then(r"no minion is decoded")
def check_no_minion(context):
    assert context.minion is None, context.minion


@then(r"a minion is decoded that leaves in (?P<seconds>\d+) seconds")
def check_leaving_minion(context, seconds):
    assert context.minion.is_draining and context.minion.leaves_in_seconds == float(seconds)


def config_record(version: int) -> Record:
    route = {"name": "q", "host": "h", "pathPrefix": "/q/", "service": "pool"}
    config = {"version": version, "routes": [route], "services": [{"name": "pool"}]}
    return Record("config", json.dumps(config).encode())


def apply_operator_records(context, records: list[Record]) -> None:
    context.feed = ConfigurationFeed(PlatformRecords(), lambda: None)
    for record in records:
        context.feed.apply_records((record,), False)


@when(r"a configuration with a tenant with (?P<entry>.+) is read")
def read_tenant(context, entry):
    tenant = {**json.loads(entry), "apiKeys": ["secret-key", ""]}
    tenant["name"] = tenant["name"].replace("300 letters", "x" * 300)
    record = config_record(7)
    config = {**json.loads(record.value), "tenants": [tenant]}
    apply_operator_records(context, [Record("config", json.dumps(config).encode())])


@then(r"its key belongs to a tenant of weight (?P<weight>\S+) and a limit of (?P<limit>.+)")
def check_tenant(context, weight, limit):
    config = context.feed.config
    name = config.keys.tenant_of("secret-key")
    assert name and len(name) <= 200 and config.keys.tenant_of("") is None, name
    tenant = config.tenants[name]
    assert (tenant.weight, tenant.limit.as_list()) == (
        float(weight),
        [int(amount) for amount in limit.split()],
    ), tenant


@then(r"the text form of the configuration holds no key")
def check_no_key_in_text(context):
    assert "secret" not in repr(context.feed.config), context.feed.config
    assert sha256(b"secret-key").hexdigest() not in repr(context.feed.config)


@when(r"configurations 7, 9 and 8 are read")
def read_configurations(context):
    apply_operator_records(context, [config_record(7), config_record(9), config_record(8)])


@when(r"configurations 7 and an invalid one are read")
def read_invalid(context):
    apply_operator_records(context, [config_record(7), Record("config", b'{"version":8}')])


@when(r'a configuration is read in which routes to "/a/", "/b/" and "/c/" have one name')
def read_one_name(context):
    config = json.loads(config_record(7).value)
    (route,) = config["routes"]
    config["routes"] = [{**route, "pathPrefix": f"/{letter}/"} for letter in "abc"]
    apply_operator_records(context, [Record("config", json.dumps(config).encode())])


@then(r'a request to each of "(?P<paths>[^"]+)" selects the route of its path')
def check_routes(context, paths):
    for path in paths.split():
        queue = context.feed.config.queue_for("h", path)
        assert queue is not None and path.startswith(queue.path_prefix), (path, queue)


@then(r"no two queues have one name")
def check_names(context):
    queues = context.feed.config.queues
    assert {queue.name for queue in queues.values()} == set(queues) and len(queues) == 3, queues


@when(r"configuration (?P<version>\d+) is read")
def read_configuration(context, version):
    context.feed.apply_records((config_record(int(version)),), False)


@then(r"the configuration counts as (?P<state>outdated|current)")
def check_outdated(context, state):
    assert context.feed.is_outdated is (state == "outdated")


@when(r'the evacuation of failure domain "(?P<domain>\w+)" starts and ends')
def start_and_end_evacuation(context, domain):
    key = f"evacuate/{domain}"
    apply_operator_records(context, [Record(key, b"{}"), Record(key, None)])


@then(r"configuration (?P<version>\d+) is in force")
def check_in_force(context, version):
    assert context.feed.config.version == int(version)
    assert context.feed.config.queue_for("h", "/q/1") is not None


@then(r"no failure domain is evacuated")
def check_none_evacuated(context):
    assert not context.feed.evacuated, context.feed.evacuated


@when(r"records are decoded of which the last one is truncated")
def decode_truncated(context):
    data = encode_records([Record("a", b"1"), Record("b", None), Record("c", b"333")])
    context.records = decode_records(data[:-2])


@then(r"only the complete records are returned")
def check_complete_records(context):
    assert context.records == (Record("a", b"1"), Record("b", None)), context.records


class RecordingCaller:
    """Caller whose minion never answers."""

    def __init__(self) -> None:
        self.calls = []

    async def call(self, call):
        self.calls.append(call)
        raise MinionError("no answer")


@given(r"a minion that lists ends, which are stored up to number (?P<number>\d+)")
def new_minion(context, number):
    context.scheduler = Scheduler(SchedulerSettings(6.0, 120.0, 4.0, 2.9), 0.0)
    facts = MinionFacts("m1", 1, "pool", "h:1", "caxias", ("a", "r1"), ResourceVector(4000, 1000))
    context.scheduler.update_minion(facts, 0.0)
    minion = context.scheduler.minions["m1"]
    end = EndReport(1, None, 1, EndKind.FAILED, "")
    context.scheduler.report(minion, MinionReport(1, 1000, (), (end,)), 0.5, 0.5)
    minion.durable_end = int(number)


@when(r"it (?P<event>falls silent|lists no ends|answers) and is polled again")
def poll_minion_again(context, event):
    caller, minion = RecordingCaller(), context.scheduler.minions["m1"]
    match event:
        case "falls silent":
            context.scheduler.mark_minion_silent(minion, "no answer", 1.0)
        case "lists no ends":
            context.scheduler.report(minion, MinionReport(1, 1500, (), ()), 1.0, 1.0)
    with contextlib.suppress(MinionError):
        asyncio.run(PlatformMinions(caller).renew(minion, 1, None, 0.0))
    (context.call,) = caller.calls


@then(r"the poll acknowledges ends up to (?P<number>\d+)")
def check_acknowledged(context, number):
    body = json.loads(context.call.body)
    assert body["ackedUpto"] == int(number), body
