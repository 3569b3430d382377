from __future__ import annotations

import asyncio
import contextlib
import io
import os
import shlex
import subprocess
import sys
import threading
from unittest import mock

import zmq
from behave import given, then, when

from dotterelhill.commands import main
from dotterelhill.entry.admin import AdminServer, AdminSources, Explanation

DEPLOYMENT_KEY = "a-deployment-key-that-nobody-may-see"
LIST_MODULES_SCRIPT = """
import sys
from dotterelhill.commands.main import run
run(sys.argv[1:])
print(*sys.modules)
"""


@given("the environment of an entry process with {number:d} wrong settings")
def set_environment(context, number):
    public, secret = zmq.curve_keypair()
    values = {
        "ENTRY_NAME": "caxias-1",
        "FAILURE_DOMAIN": "caxias",
        "REGION": "serra",
        "LISTEN_HOST": "10.0.0.5",
        "VM_LIST_URL": "http://10.0.0.9:7001/vms",
        "PEER_PUBLIC_KEY": public.decode(),
        "PEER_SECRET_KEY": secret.decode(),
        "DEPLOYMENT_KEY": DEPLOYMENT_KEY,
        "LOG_URL": "ftp://10.0.0.9" if number else "http://10.0.0.9:7000",
        "CALLER_PORT": "many" if number else "8090",
    }
    context.secrets = (secret.decode(), DEPLOYMENT_KEY)
    variables = {f"DOTTERELHILL_{name}": value for name, value in values.items()}
    patch = mock.patch.dict(os.environ, variables)
    patch.start()
    context.add_cleanup(patch.stop)


@when('the command line is "{line}"')
def run_line(context, line):
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        context.status = main.run(shlex.split(line))
    context.output = output.getvalue()


@when('the command line is "{line}" with its address')
def run_line_with_address(context, line):
    run_line(context, f"{line} --address 127.0.0.1:{context.server.bound_port}")


@then("the exit status is {status:d} and these words are printed: {words}")
def check_words(context, status, words):
    assert context.status == status, (context.status, context.output)
    for word in words.split(", "):
        assert word in context.output, (word, context.output)


@then("no secret is printed")
def check_secrets(context):
    assert not any(secret in context.output for secret in context.secrets), context.output


@when('the modules that "{line}" imports are listed')
def list_modules(context, line):
    command = [sys.executable, "-c", LIST_MODULES_SCRIPT, *shlex.split(line)]
    result = subprocess.run(command, capture_output=True, text=True, check=True, timeout=60)
    context.modules = set(result.stdout.split())


@then("they hold none of: {names}")
def check_modules(context, names):
    assert "dotterelhill.commands.inspection" in context.modules, context.modules
    assert not context.modules.intersection(names.split(", "))


@given('an entry process that explains job "{name}"')
def start_admin(context, name):
    def explain(requested_name):
        return (
            Explanation("job", name, "pending", ("no worker fits",))
            if requested_name == name
            else None
        )

    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()

    async def start():
        context.server = AdminServer(
            "127.0.0.1", 0, AdminSources(unready_reasons=tuple, explainers={"job": explain})
        )
        await context.server.start()

    def stop():
        asyncio.run_coroutine_threadsafe(context.server.stop(), loop).result()
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()

    asyncio.run_coroutine_threadsafe(start(), loop).result()
    context.add_cleanup(stop)
