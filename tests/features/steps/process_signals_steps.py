"""Steps on signals to processes that are about to start or to end, with real processes.

They guard against ends by the default action of a signal, and against replies that such an end loses.
"""

import contextlib
import os
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import zmq
from behave import given, then, when
from tests.loopback import free_address
from tests.router_stubs import forward
from tools.processes import ROOT, Process, wait_until

from hibiscusdrum.internal import codec
from hibiscusdrum.internal.transport.peer import REQUEST_KIND

SIGNAL_ITSELF = "import os, signal\nos.kill(os.getpid(), signal.SIGHUP)\n"
REACHED = 7
END_LIMIT_SECONDS = 10.0
SMALL_BUFFER_BYTES = 16_384
SIGNAL_INTERVAL_SECONDS = 0.1


def write_module(context, path, text):
    """Write a module that is found before those of the project."""
    if "modules" not in context:
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.modules = Path(folder.name)
    file = context.modules / path
    file.parent.mkdir(parents=True, exist_ok=True)
    file.write_text(text)


def start_with_modules(context, arguments, *folders):
    """Run a command with the written modules first on Python's path."""
    path = os.pathsep.join((str(context.modules), *folders))
    context.exit_code = subprocess.run(
        arguments, cwd=ROOT, env={**os.environ, "PYTHONPATH": path}, timeout=END_LIMIT_SECONDS
    ).returncode


@given("a program that gets SIGHUP while its first modules are imported")
def program_signalled(context):
    for path in ("sitecustomize.py", "hibiscusdrum/__init__.py", "hibiscusdrum/platform/__init__.py"):
        write_module(context, path, SIGNAL_ITSELF)
    write_module(context, "hibiscusdrum/platform/__main__.py", f"raise SystemExit({REACHED})\n")


@when("it is started by the command of the deployment")
def started_by_deployment(context):
    deployment = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    program, *arguments = shlex.split(deployment["roles"]["router"]["run"])
    assert program == "python3", program
    start_with_modules(context, [sys.executable, *arguments])


@given("a library of the daemon's command line that gets SIGHUP while it is imported")
def library_signalled(context):
    write_module(context, "defopt.py", f"{SIGNAL_ITSELF}raise SystemExit({REACHED})\n")


@when("the daemon is started by its command")
def started_by_command(context):
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    module, _, function = project["scripts"]["hibiscusdrumd"].partition(":")
    program = f"import sys; from {module} import {function}; sys.exit({function}())"
    start_with_modules(context, [sys.executable, "-c", program], str(ROOT / "src"))


@then("it goes on to its main function")
def reaches_main(context):
    assert context.exit_code == REACHED, context.exit_code


@given("a process that answers other nodes")
def process_not_signalled_last(context):
    # The default action of this signal is to go on.
    process_signalled_last(context, "SIGCONT")


@given("a process that answers other nodes, and gets {name} when its interpreter ends")
def process_signalled_last(context, name):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    log = context.log = Path(folder.name) / "log"
    context.address = free_address()
    arguments = ["-m", "tests.ending_process", context.address, name, "4000000"]
    context.process = Process(arguments, log, {})
    context.add_cleanup(context.process.kill)
    wait_until(lambda: b"started" in log.read_bytes(), END_LIMIT_SECONDS, "the process has started")


@when("it is told to stop")
def told_to_stop(context):
    context.process.send(signal.SIGTERM)


@then("its exit code is {code:d}")
def has_exit_code(context, code):
    assert context.process.process.wait(END_LIMIT_SECONDS) == code


@when(
    "another node asks it for {count:d} answers of 4 MB, it is told to stop, "
    "and it gets {name} {times:d} times meanwhile"
)
def signalled_while_answers_wait(context, count, name, times):
    node = context.node = zmq.Context.instance().socket(zmq.DEALER)
    context.add_cleanup(node.close, 0)
    node.rcvhwm, node.rcvbuf, node.rcvtimeo = 1, SMALL_BUFFER_BYTES, 1_000
    node.connect(f"tcp://{context.address}")
    for number in range(count):
        node.send_multipart([REQUEST_KIND, codec.encode(forward(number))])
    context.count = count
    # Most of the answers wait in the send queue by then.
    wait_until(
        lambda: context.log.read_bytes().count(b"answered") == count, END_LIMIT_SECONDS, "it has answered"
    )
    told_to_stop(context)
    for _ in range(times):
        time.sleep(SIGNAL_INTERVAL_SECONDS)
        context.process.send(signal.Signals[name])


@then("the other node gets all answers when it begins to read, and the exit code is {code:d}")
def gets_all_answers(context, code):
    sizes = []
    with contextlib.suppress(zmq.Again):
        while len(sizes) < context.count:
            sizes.append(len(context.node.recv_multipart()[-1]))
    assert sizes == [4_000_000] * context.count, sizes
    has_exit_code(context, code)
