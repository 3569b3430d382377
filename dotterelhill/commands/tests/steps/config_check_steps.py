from __future__ import annotations

import json
import tempfile
from pathlib import Path

from behave import given, then, when

from dotterelhill.commands.tests.steps.command_line_steps import run_line

CONFIG = {
    "version": 3,
    "routes": [
        {"name": "a", "host": "h", "pathPrefix": "/a/", "service": "s"},
        {"name": "b", "host": "h", "pathPrefix": "/b/", "service": "s"},
    ],
    "services": [{"name": "s"}],
    "limits": {},
    "tenants": [
        {"name": "t", "apiKeys": ["k-secret"], "maxCount": {"cpu": 4000}},
        {"name": "u", "apiKeys": ["k-other"]},
    ],
}


def write_config(context, path: str, value: str) -> str:
    config = json.loads(json.dumps(CONFIG))
    inner = config
    *parents, last = path.split(".")
    for part in parents:
        inner = inner[int(part)] if part.isdecimal() else inner[part]
    inner[last] = json.loads(value)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    file = Path(folder.name) / "config.json"
    file.write_text(json.dumps(config))
    return str(file)


@given("a configuration file with {path} of {value}")
def new_file(context, path, value):
    context.file = write_config(context, path, value)


@given("a configuration in force with {path} of {value}")
def new_file_in_force(context, path, value):
    context.in_force = write_config(context, path, value)


@when("the configuration is checked")
def check(context):
    run_line(context, f"config check {context.file}")


@when("the configuration is checked against it")
def check_against(context):
    run_line(context, f"config check {context.file} --against {context.in_force}")


@when("the configuration is checked against it as JSON")
def check_against_as_json(context):
    run_line(context, f"config check {context.file} --against {context.in_force} --json")


@then("these words are printed: {words}")
def check_printed(context, words):
    for word in words.split(", "):
        assert word in context.output, (word, context.output)


@then("no key is printed")
def check_no_key(context):
    assert not any(key in context.output for key in ("k-secret", "k-other", "k-old", "kx"))
