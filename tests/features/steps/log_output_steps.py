"""Steps on processes whose output is a pipe.

They guard against a process that waits for the reader of its log lines, or is ended by it.
"""

import fcntl
import os
import shutil
import tempfile
import time
from pathlib import Path

from behave import given, then, when
from tests.history.cluster import Cluster, ClusterSpec, NodeSpec
from tools.processes import request
from tools.router_system import RouterSystem

SMALLEST_PIPE_BYTES = 4096
SERVICE = "wappensuche"


def create_pipe(path, full):
    """Create a named pipe, fill it if asked to, and return its end for the reader."""
    os.mkfifo(path)
    reader = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
    fcntl.fcntl(reader, fcntl.F_SETPIPE_SZ, SMALLEST_PIPE_BYTES)
    if full:
        writer = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        os.write(writer, b"x" * SMALLEST_PIPE_BYTES)
        os.close(writer)
    return reader


@given("a router whose output goes to a pipe with a reader that {manner}")
def router_with_pipe(context, manner):
    folder = Path(tempfile.mkdtemp(prefix="router-"))
    context.system = RouterSystem(folder, [("east", "east-1", "keyed"), ("east", "east-2", "shared")])
    context.add_cleanup(lambda: (context.system.stop(), shutil.rmtree(folder, ignore_errors=True)))
    context.vm = context.system.vms["vm0"]
    reader = create_pipe(folder / "router-vm0.log", manner == "never reads")
    start_router = context.system.start_router

    def start_and_close(vm):
        start_router(vm)
        if vm is context.vm and manner == "closed it at the start":
            os.close(reader)

    context.system.start_router = start_and_close
    context.system.start()
    if manner == "has closed the pipe":
        os.close(reader)
    elif manner == "never reads":
        context.add_cleanup(os.close, reader)


@when("{count:d} requests are sent to the router, of which each ends with a log line")
def sends_requests(context, count):
    context.waits = []
    for number in range(count):
        began = time.monotonic()
        status = context.system.send_request(context.vm, "grants.example", f"/r/{number}")[0]
        assert status == 200, f"request {number} got {status}"
        context.waits.append(time.monotonic() - began)
        time.sleep(0.01)


@then("each of them is answered within {seconds:g} s, and the router still runs")
def answered_and_runs(context, seconds):
    assert max(context.waits) <= seconds, max(context.waits)
    assert context.vm.router.running


@given("a daemon whose output goes to a pipe with a reader that never reads")
def daemon_with_pipe(context):
    route = {"name": SERVICE, "regions": ["ost"], "divided": True, "slices": 64}
    tenants = {"amt": {"name": "amt", "home_regions": ["ost"]}}
    nodes = tuple(NodeSpec(name, "ost", f"ost-{name}", SERVICE) for name in ("n1", "n2"))
    context.cluster = Cluster(ClusterSpec(nodes, {SERVICE: route}, tenants))
    context.add_cleanup(context.cluster.close)
    context.add_cleanup(os.close, create_pipe(context.cluster.path / "n1-daemon.log", full=True))


@then("the daemon joins and serves HTTP requests")
def daemon_serves(context):
    context.cluster.start()
    headers = {"x-hibiscusdrum-tenant": "amt", "x-hibiscusdrum-key": "adler"}
    address = context.cluster.nodes["n1"].http
    status, _body = request(address, "POST", f"/v1/services/{SERVICE}/x", {}, headers)
    assert status == 200, status
