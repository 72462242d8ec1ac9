"""Steps on real routers that inherit low limits of file descriptors.

They guard against callers that leave a router without descriptors for others.
"""

import http.client
import os
import resource
import shutil
import socket
import tempfile
import time
import urllib.request
from pathlib import Path
from unittest.mock import patch

from behave import given, then, when
from tools.processes import request, wait_until
from tools.router_system import HEADER_PREFIX, RouterSystem

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.transport.descriptor_limits import (
    caller_connection_limit,
    descriptor_limit,
    raise_descriptor_limit,
)

PLACES = [("east", "east-1", "keyed"), ("east", "east-2", "shared"), ("west", "west-1", "shared")]
# Seconds between the requests of two callers, which leaves the targets of these routers below their limits.
PACE_SECONDS = 0.02
HALF_REQUEST = b"GET /r/x HTTP/1.1\r\nhost: grants.example\r\n"
OTHER_HALF = f"{HEADER_PREFIX}attempt-id: %s\r\n{HEADER_PREFIX}deadline-ms: 2000\r\n\r\n"
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@given("routers with a soft limit of {soft:d} descriptors and a hard limit of {hard:d}")
def routers_with_limits(context, soft, hard):
    folder = Path(tempfile.mkdtemp(prefix="router-"))
    context.system = RouterSystem(folder, PLACES, descriptor_limits=(soft, hard))
    context.callers = []

    def end():
        for caller in context.callers:
            caller.close()
        context.system.stop()
        if context.scenario.status.name == "failed":
            print(f"logs are kept in {folder}")
        else:
            shutil.rmtree(folder, ignore_errors=True)

    context.add_cleanup(end)
    context.system.start()
    context.vm = context.system.vms["vm0"]


def metric(context, name):
    """Return a metric without labels of the router that the callers use."""
    with urllib.request.urlopen(f"http://{context.vm.address(5)}/metrics", timeout=2.0) as response:
        lines = response.read().decode().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith(f"hibiscusdrum_{name} "))


def answer_status(caller):
    """Return the status of the answer on a connection, or the error with which it ended."""
    try:
        response = http.client.HTTPResponse(caller)
        response.begin()
        response.read()
    except (OSError, http.client.HTTPException) as error:
        return type(error).__name__
    return response.status


def connect(context):
    host, _, port = context.vm.address(1).rpartition(":")
    caller = socket.create_connection((host, int(port)), timeout=2.5)
    context.callers.append(caller)
    return caller


def other_half(number):
    return (OTHER_HALF % f"d{number}").encode()


@when("{count:d} callers of one router send a request each and keep their connections")
def callers_keep(context, count):
    context.statuses = []
    for number in range(count):
        caller = connect(context)
        caller.sendall(HALF_REQUEST + other_half(number))
        context.statuses.append(answer_status(caller))
        time.sleep(PACE_SECONDS)


@when("{count:d} callers of one router have each sent half a request")
def callers_send_half(context, count):
    for _ in range(count):
        connect(context).sendall(HALF_REQUEST)
    time.sleep(0.2)


@when("the callers that the router has accepted send the other half, and all leave after that")
def callers_send_other_half(context):
    context.statuses = []
    # The connections of the readiness check and of the scrape itself may still be open.
    accepted = metric(context, "caller_connections")
    assert accepted >= 20, accepted
    for number, caller in enumerate(context.callers[:accepted]):
        caller.sendall(other_half(number))
    for caller in context.callers[:accepted]:
        context.statuses.append(answer_status(caller))
    for caller in context.callers:
        caller.close()


@then("each caller is answered with {status:d}")
def callers_answered(context, status):
    others = [answer for answer in context.statuses if answer != status]
    assert not others, f"{len(others)} of {len(context.statuses)}: {others[:10]}"


@then("all of these connections are open")
def all_open(context):
    open_count = metric(context, "connections")
    assert open_count >= len(context.callers), open_count


@then("the router has failed to accept connections {count:d} times")
def failed_to_accept(context, count):
    failures = metric(context, "accept_failures_total")
    assert failures == count, failures


@then("the router counts as ready, and has failed to accept connections {count:d} times")
def ready_without_failures(context, count):
    assert request(context.vm.address(2), "GET", "/")[0] == 200, "the router does not count as ready"
    failed_to_accept(context, count)


@then("the router counts as ready, and each service is served on every VM")
def ready_and_served(context):
    assert request(context.vm.address(2), "GET", "/")[0] == 200, "the router does not count as ready"
    wait_until(context.system.all_services_answer, 2.5, "all services are served on every VM")


@then("the router uses at most {seconds:g} s of the processor in the second after that")
def little_processor_time(context, seconds):
    stat = Path(f"/proc/{context.vm.router.process.pid}/stat")

    def used_seconds():
        fields = stat.read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND

    before = used_seconds()
    time.sleep(1.0)
    used = used_seconds() - before
    assert used <= seconds, used


@when(
    "a process that may open {limit:d} descriptors, and is not allowed to raise that, "
    "has {given:d} in its settings"
)
def has_limits(context, limit, given):
    with (
        patch.object(resource, "getrlimit", return_value=(limit, 65_536)),
        patch.object(resource, "setrlimit", side_effect=ValueError("not allowed")),
        patch.object(log_events, "emit") as emit,
    ):
        raise_descriptor_limit()
        context.connection_limit = caller_connection_limit(descriptor_limit(given))
    (context.event,) = emit.call_args.args


@then("it starts, and its callers may take {count:d} connections")
def may_take(context, count):
    assert isinstance(context.event, log_events.DescriptorLimitKept), context.event
    assert context.connection_limit == count, context.connection_limit
