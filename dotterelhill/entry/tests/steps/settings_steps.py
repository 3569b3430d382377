from __future__ import annotations

import zmq
from behave import given, then, when

from dotterelhill.entry.settings import (
    SettingsError,
    accepted_values,
    flag_of,
    list_settings,
    read_settings,
    variable_of,
)

DEPLOYMENT_KEY = "k" * 40


@given("the environment of a complete entry process")
def set_environment(context):
    public, secret = zmq.curve_keypair()
    values = {
        "entry_name": "caxias-1",
        "failure_domain": "caxias",
        "region": "serra",
        "listen_host": "10.0.0.5",
        "log_url": "http://10.0.0.9:7000",
        "vm_list_url": "http://10.0.0.9:7001/vms",
        "peer_secret_key": secret.decode(),
        "peer_public_key": public.decode(),
        "deployment_key": DEPLOYMENT_KEY,
    }
    context.secrets = (secret.decode(), DEPLOYMENT_KEY)
    context.variables = {variable_of(name): value for name, value in values.items()}


@given('the variable {name} is "{value}"')
def set_variable(context, name, value):
    context.variables["DOTTERELHILL_" + name] = value


@given("the variable {name} is absent")
def remove_variable(context, name):
    del context.variables["DOTTERELHILL_" + name]


@given("the public key of another deployment")
def replace_public_key(context):
    context.variables[variable_of("peer_public_key")] = zmq.curve_keypair()[0].decode()


def read_into_context(context, flags):
    context.flags, context.faults = flags, ()
    try:
        context.settings = read_settings(flags, context.variables)
    except SettingsError as error:
        context.faults = error.faults


@when("the settings are read")
def read_without_flags(context):
    read_into_context(context, {})


@when('the settings are read with flag {name} "{value}"')
def read_with_flag(context, name, value):
    read_into_context(context, {name: value})


@then("exactly these settings are reported: {names}")
def check_reported(context, names):
    reported = [fault.name for fault in context.faults]
    assert sorted(reported) == sorted(names.split(", ")), context.faults


@then("each report names the flag, the variable and the accepted range")
def check_report_texts(context):
    for fault in context.faults:
        for part in (flag_of(fault.name), variable_of(fault.name), accepted_values(fault.name)):
            assert part in str(fault), str(fault)


@then('no report holds "{text}"')
def check_report_without(context, text):
    assert not any(text in str(fault) for fault in context.faults), context.faults


@then("no shown setting holds a secret")
def check_no_secret(context):
    texts = [repr(context.settings)]
    texts += [repr(item) for item in list_settings(context.settings, {}, context.variables)]
    assert not any(secret in text for secret in context.secrets for text in texts)


@then("{name} is shown as {value} from {source}")
def check_shown(context, name, value, source):
    shown = {item.name: item for item in list_settings(*arguments_of(context))}
    assert (str(shown[name].value), shown[name].source) == (value, source), shown[name]


def arguments_of(context):
    return context.settings, context.flags, context.variables
