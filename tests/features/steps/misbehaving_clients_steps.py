"""Steps with a router as a process of its own, and crowds of clients that misbehave.

They guard against clients that end a router, fill its VM, or keep it from serving others.
"""

import http.client
import itertools
import re
import shutil
import socket
import tempfile
import time
from pathlib import Path

from behave import given, then, when
from tests.misbehaving_crowd import (
    FIELDS,
    FRAMES_KIND,
    KINDS,
    PIECE,
    SMALL_PIECE,
    Client,
    body_of,
    head,
    run_crowd,
)
from tools.processes import wait_until
from tools.router_system import HEADER_PREFIX, START_LIMIT_SECONDS, RouterSystem

PLACES = [("east", "east-1", "shared"), ("east", "east-2", "keyed")]
# As published for callers; bodies are limited by the router's memory.
LIMITS = {"maxHeaderBytes": 16_384, "maxBodyBytes": 67_108_864, "headerTimeoutS": 3, "idleTimeoutS": 15}
ROUTES = [
    ["keys", "keys.example", "/k/", "idempotent", 10.0, 5.0, 2, "keyed", 2, [], None],
    ["reads", "grants.example", "/r/", "idempotent", 10.0, 5.0, 1, "shared", 2, [], None],
    ["grants", "grants.example", "/g/", "non_idempotent", 10.0, 5.0, 1, "shared", 2, [], None],
]
# Seconds for which a crowd lasts.
CROWD_SECONDS = 1.2
# An ordinary caller gives up after this time; it repeats a refused request after its Retry-After.
CALLER_PATIENCE_SECONDS = 10.0
CALLERS, READINESS, REPORTS, PEERS, METRICS = range(1, 6)
# Index of the port, and what is asked for there.
TARGETS = {
    "a routed path": [(CALLERS, "/r/x@grants.example")],
    "a path without a route": [(CALLERS, "/none/x@grants.example")],
    "the readiness port": [(READINESS, "/@ready")],
    "the port for reports": [(REPORTS, "/instances/i-vm0@reports")],
    "the port for metrics": [(METRICS, "/metrics@metrics")],
    "the port for peers": [(PEERS, "/@peers")],
}
TARGETS["all of these ports"] = [place for places in TARGETS.values() for place in places]
ATTEMPTS = itertools.count(1)
PORTIONS = {
    "one piece": (PIECE, b"%b"),
    "small pieces": (SMALL_PIECE, b"%b"),
    "big chunks": (b"c" * 65_536, b"%x\r\n%b\r\n"),
    "chunks of one byte": (b"t", b"%x\r\n%b\r\n"),
}


def end_system(context):
    """Stop the system that the scenarios of this feature share."""
    context.feature.system.stop()
    shutil.rmtree(context.feature.system.folder, ignore_errors=True)


def start_system(context, memory, descriptors):
    """Start the system that all scenarios share unless it runs; return whether it was started."""
    started = not hasattr(context.feature, "system")
    if started:
        folder = Path(tempfile.mkdtemp(prefix="crowd-"))
        boot = {"limits.memoryMb": str(memory), "limits.maxFds": str(descriptors)}
        context.feature.system = RouterSystem(folder, PLACES, limits=LIMITS, boot_settings=boot)
        context.add_cleanup(end_system, context, layer="feature")
        context.feature.system.start()
        context.feature.system.configure(ROUTES)
    context.system = context.feature.system
    context.vm = context.system.vms["vm0"]
    return started


@given("a router of {memory:d} MB and {descriptors:d} descriptors")
def a_router(context, memory, descriptors):
    if not start_system(context, memory, descriptors):
        # Each crowd meets a new process, since the peak of the memory is that of its whole life.
        context.vm.router.kill()
        context.system.start_router(context.vm)
    wait_until(context.system.all_services_answer, START_LIMIT_SECONDS, "all routers serve all services")


@given("a router of {memory:d} MB and {descriptors:d} descriptors without load")
def router_without_load(context, memory, descriptors):
    start_system(context, memory, descriptors)
    wait_until(context.system.all_services_answer, START_LIMIT_SECONDS, "all routers serve all services")


def process_folder(context):
    return Path(f"/proc/{context.vm.router.process.pid}")


@when("{count:d} clients send {kind} to {place}")
def crowd_acts(context, count, kind, place):
    kinds = list(KINDS) if kind == "all of these" else [kind]
    places = TARGETS[place]
    if kind == "all of these" and place.endswith(("peers", "ports")):
        kinds.append(FRAMES_KIND)
    clients = []
    for index in range(count):
        port, path = places[index // len(kinds) % len(places)]
        clients.append(Client(kinds[index % len(kinds)], context.vm.address(port), path))
    context.most_descriptors = 0

    def observe():
        if context.vm.router.running:
            open_now = len(list((process_folder(context) / "fd").iterdir()))
            context.most_descriptors = max(context.most_descriptors, open_now)

    run_crowd(clients, CROWD_SECONDS, observe)


def ordinary_answer(context):
    """Return the status that an ordinary caller ends with; 0 if it got no answer."""
    ends_at = time.monotonic() + CALLER_PATIENCE_SECONDS
    status = 0
    while (left := ends_at - time.monotonic()) > 0.0:
        caller = http.client.HTTPConnection(context.vm.address(CALLERS), timeout=left)
        headers = {"host": "grants.example", HEADER_PREFIX + "attempt-id": f"o{next(ATTEMPTS)}"}
        try:
            caller.request("GET", "/r/x", headers=headers)
            answer = caller.getresponse()
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            caller.close()
        status = answer.status
        if status not in (429, 503):
            return status
        time.sleep(min(left, float(answer.headers["retry-after"] or 0.5)))
    return status


@then("the router lives, and took at most {memory:d} MB and {descriptors:d} descriptors")
def within_limits(context, memory, descriptors):
    context.status = ordinary_answer(context)
    assert context.vm.router.running, "the router has ended"
    peak = int(re.search(r"VmHWM:\s+(\d+) kB", (process_folder(context) / "status").read_text())[1]) / 1024
    found = f"{peak:.0f} MB, {context.most_descriptors} descriptors, ordinary request {context.status}"
    print(found)
    assert peak <= memory and context.most_descriptors <= descriptors, found


@then("an ordinary request is answered")
def ordinary_answered(context):
    assert context.status == 200, context.status


@when("a single caller sends body of {size:d} bytes in {portion}")
def single_body(context, size, portion):
    block, form = PORTIONS[portion]
    chunked = form.count(b"%") > 1
    framing = b"transfer-encoding: chunked\r\n\r\n" if chunked else b"content-length: %d\r\n\r\n" % size
    parts = body_of(size, block)
    if chunked:
        parts = itertools.chain((form % (len(part), part) for part in parts if part), [b"0\r\n\r\n"])
    send_single(context, head("/r/x@grants.example") + framing, parts)


@when("a single caller sends head of many fields")
def single_head(context):
    send_single(context, head("/r/x@grants.example", "GET", FIELDS) + b"\r\n", ())


def send_single(context, first, parts):
    """Send a request as it can be sent, up to the answer."""
    host, _, port = context.vm.address(CALLERS).rpartition(":")
    with socket.create_connection((host, int(port)), timeout=CALLER_PATIENCE_SECONDS) as caller:
        try:
            caller.sendall(first)
            for batch in iter(lambda: b"".join(itertools.islice(parts, 1_000)), b"") if parts else ():
                caller.sendall(batch)
        except OSError:
            # The answer may have come before the end of the request.
            pass
        answer = http.client.HTTPResponse(caller)
        answer.begin()
        context.status = answer.status


@then("it is answered with {status:d}")
def answered_with(context, status):
    assert context.status == status, context.status
