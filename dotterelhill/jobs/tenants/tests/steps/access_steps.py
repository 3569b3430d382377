from __future__ import annotations

from dataclasses import replace

from behave import given, then, use_step_matcher, when

from dotterelhill.jobs.queues import FleetConfig, Queue, Tenant
from dotterelhill.jobs.tenants.access import AccessSettings, Freshness, Granted, check_access
from dotterelhill.jobs.tenants.keys import ApiKeys

use_step_matcher("re")

QUEUES = {
    "q": Queue("q", "h", "/q/", "pool"),
    "open": Queue("open", "h", "/open/", "pool", is_anonymous=True),
}


@given(
    r'a configuration with tenant "(?P<tenant>\w+)", whose key is "(?P<key>\w+)", confirmed '
    r"(?P<age>[\d.]+) seconds ago"
)
def configure_tenant(context, tenant, key, age):
    keys = ApiKeys.from_tenants([(tenant, [key])])
    context.fleet = FleetConfig(1, QUEUES, tenants={tenant: Tenant(tenant)}, keys=keys)
    context.freshness, context.settings = Freshness(float(age)), AccessSettings()


@given(r"a configuration without tenants, confirmed (?P<age>[\d.]+) seconds ago")
def configure_no_tenants(context, age):
    context.fleet = FleetConfig(1, QUEUES)
    context.freshness, context.settings = Freshness(float(age)), AccessSettings(True)


@given(r"strict revocation is (?P<state>on|off)")
def set_strict(context, state):
    context.settings = AccessSettings(state == "on")


@given(r"a newer version has been known for (?P<seconds>[\d.]+) seconds")
def set_behind(context, seconds):
    context.freshness = replace(context.freshness, behind_seconds=float(seconds))


@when(r'a request for "(?P<path>[^"]+)" arrives with key "(?P<key>\w*)"')
def request(context, path, key):
    context.decision = check_access(
        context.fleet, "h", path, key, context.freshness, context.settings
    )


@then(r'the decision is "(?P<text>[^"]+)"')
def check_decision(context, text):
    match context.decision:
        case Granted(_, tenant):
            found = f"tenant {tenant}" if tenant else "no tenant"
        case refusal:
            found = str(refusal)
    assert found == text, found
