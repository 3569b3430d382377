from __future__ import annotations

import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

import zmq
from behave import given, then, when

from tools.binary import build

TIMEOUT_SECONDS = 60
BUILD_DIRECTORIES = []


@given("the built file")
def build_once(context):
    if not BUILD_DIRECTORIES:
        BUILD_DIRECTORIES.append(tempfile.TemporaryDirectory())
        build(Path(BUILD_DIRECTORIES[0].name) / "dotterelhill")
    context.file = Path(BUILD_DIRECTORIES[0].name) / "dotterelhill"
    unpack_directory = tempfile.TemporaryDirectory()
    context.add_cleanup(unpack_directory.cleanup)
    context.unpacked = unpack_directory.name
    # -S excludes the packages of the virtual environment, -I also the checkout.
    context.command = [sys.executable, "-I", "-S", str(context.file)]
    context.environment = {"TMPDIR": unpack_directory.name, "PATH": os.environ["PATH"]}


def run(context, command):
    result = subprocess.run(
        command,
        env=context.environment,
        capture_output=True,
        text=True,
        cwd="/",
        timeout=TIMEOUT_SECONDS,
    )
    context.status, context.output = result.returncode, result.stdout + result.stderr


@when('it runs "{arguments}" without installed packages')
def run_without_packages(context, arguments):
    run(context, context.command + shlex.split(arguments))


@when('it runs "{arguments}" where no directory can be written')
def run_without_directory(context, arguments):
    script = Path(context.unpacked) / "script.py"
    # The tests may run as root, who can write to every directory, so statvfs fails instead.
    script.write_text(
        f"import os, sys, runpy\nsys.argv = ['x', *{shlex.split(arguments)!r}]\n"
        "def refuse(path): raise OSError(30, 'Read-only file system')\nos.statvfs = refuse\n"
        f"runpy.run_path({str(context.file)!r}, run_name='__main__')\n"
    )
    run(context, [sys.executable, "-I", "-S", str(script)])


@given("a log that accepts connections and never answers")
def listen_as_log(context):
    context.listener = socket.create_server(("127.0.0.1", 0))
    context.listener.settimeout(TIMEOUT_SECONDS)
    context.add_cleanup(context.listener.close)


@when('it runs "{arguments}" until it has connected')
def run_until_connected(context, arguments):
    port = context.listener.getsockname()[1]
    context.process = subprocess.Popen(
        [*context.command, *shlex.split(arguments), "--log-url", f"http://127.0.0.1:{port}"],
        env=context.environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    context.add_cleanup(context.process.kill)
    context.connection = context.listener.accept()[0]


@given("the settings of an entry process whose log can't be reached")
def set_entry_settings(context):
    public, secret = zmq.curve_keypair()
    values = {
        "ENTRY_NAME": "caxias-1",
        "FAILURE_DOMAIN": "caxias",
        "REGION": "serra",
        "LISTEN_HOST": "127.0.0.1",
        "LOG_URL": "http://127.0.0.1:1",
        "VM_LIST_URL": "http://127.0.0.1:1/vms",
        "PEER_PUBLIC_KEY": public.decode(),
        "PEER_SECRET_KEY": secret.decode(),
        "DEPLOYMENT_KEY": "k" * 40,
        "BALANCER_DELAY_SECONDS": "0",
    }
    values |= {f"{name}_PORT": "0" for name in ("CALLER", "FORWARD", "PEER", "ADMIN")}
    context.environment |= {f"DOTTERELHILL_{name}": value for name, value in values.items()}


@when('it runs "{arguments}" until it listens')
def run_until_listening(context, arguments):
    context.process = subprocess.Popen(
        [*context.command, *shlex.split(arguments)],
        env=context.environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(context.process.kill)
    line = context.process.stdout.readline()
    assert line.startswith("listening "), (line, context.process.communicate())


@then("its memory is below {megabytes:d} MB")
def check_memory(context, megabytes):
    status = Path(f"/proc/{context.process.pid}/status").read_text()
    peak = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    assert int(peak.split()[1]) / 1000 < megabytes, peak


@when("it receives SIGTERM")
def send_sigterm(context):
    context.process.send_signal(signal.SIGTERM)
    context.output = "".join(context.process.communicate(timeout=TIMEOUT_SECONDS))
    context.status = context.process.returncode


@when("the log closes the connection")
def close_connection(context):
    context.connection.close()
    context.listener.close()
    context.output = context.process.communicate(timeout=TIMEOUT_SECONDS)[0]
    context.status = context.process.returncode


@then('it ends with status {status:d} and prints "{text}"')
def check_end(context, status, text):
    assert context.status == status and text in context.output, (context.status, context.output)


@then("it is one process without children")
def check_one_process(context):
    process = Path(f"/proc/{context.process.pid}")
    children = [path.read_text() for path in process.glob("task/*/children")]
    assert children and not any(children), children
    # The process that was started is the one that holds the sockets.
    assert str(context.file) in (process / "cmdline").read_text()
    inodes = [os.readlink(path) for path in (process / "fd").iterdir()]
    assert any(item.startswith("socket:") for item in inodes), inodes


@then("its directory for unpacked modules is empty")
def check_unpacked(context):
    assert os.listdir(context.unpacked) == []
