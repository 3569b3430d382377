from __future__ import annotations

import json

import msgspec
from behave import then, use_step_matcher, when

from dotterelhill.control.interface import Record
from dotterelhill.jobs.queues import Pool, RequestLimits
from dotterelhill.jobs.tenants.access import (
    AccessSettings,
    Freshness,
    Granted,
    Refusal,
    check_access,
)
from dotterelhill.platform.records import PlatformRecords
from dotterelhill.platform.tests.earlier_config import (
    EarlierConfig,
    EarlierLimits,
    EarlierRoute,
    EarlierService,
)

use_step_matcher("re")


EARLIER = EarlierConfig(
    7,
    [
        EarlierRoute("q", "h", "/q/", "pool", 1, 3, 1.5, 500, 2000),
        EarlierRoute("open", "h", "/open/", "other"),
    ],
    [EarlierService("pool", True), EarlierService("other")],
    EarlierLimits(8192, 1024, 2000, 9000),
)


def read(data):
    config = PlatformRecords().operator_record(Record("config", data))
    assert config is not None
    return config


def access_without_key(config):
    return check_access(config, "h", "/q/1", "", Freshness(), AccessSettings())


@when(r"a configuration of the earlier build is read")
def read_earlier(context):
    context.fleet_config = read(msgspec.json.encode(EARLIER))


@then(r"it has the queues, pools and limits that it names, and no tenants")
def check_config(context):
    config = context.fleet_config
    assert (config.version, list(config.queues)) == (7, ["q", "open"]), config
    queue = config.queues["q"]
    assert (queue.service, queue.priority, queue.max_attempts) == ("pool", 1, 3), queue
    assert (queue.stretch, queue.target_seconds, queue.timeout_seconds) == (1.5, 0.5, 2.0), queue
    assert not queue.is_anonymous and not queue.needs_advice, queue
    assert config.pools == {"pool": Pool("pool", True), "other": Pool("other")}, config.pools
    assert config.limits == RequestLimits(8192, 1024, 2.0, 9.0), config.limits
    assert not config.tenants


@then(r"a request without a key is handled under it")
def check_handled(context):
    assert access_without_key(context.fleet_config) == Granted(context.fleet_config.queues["q"])


@when(r"a configuration with tenants is read by the earlier build")
def encode_tenants(context):
    fields = msgspec.to_builtins(EARLIER)
    fields["routes"][1]["anonymous"] = True
    limit = {"cpu": 4000, "memMb": 0, "gpu": 0}
    fields["tenants"] = [
        {"name": "t", "apiKeys": ["k"], "priority": 0, "weight": 2.0, "maxCount": limit}
    ]
    context.data = json.dumps(fields).encode()
    context.earlier = msgspec.json.decode(context.data, type=EarlierConfig)


@then(r"it finds the queues, pools and limits, and nothing of the tenants")
def check_earlier(context):
    # So it handles requests without keys: tenants may be published when all processes know them.
    assert context.earlier == EARLIER, context.earlier


@when(r"the same configuration is read")
def read_tenants(context):
    context.fleet_config = read(context.data)
    assert (
        list(context.fleet_config.tenants) == ["t"]
        and context.fleet_config.queues["open"].is_anonymous
    )


@then(r"a request without a key is refused under it")
def check_refused_without_key(context):
    assert access_without_key(context.fleet_config) is Refusal.NO_KEY
