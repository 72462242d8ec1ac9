"""Steps for the stand-in targets.

They guard against a stand-in that is more lenient than a target, which would hide a daemon's fault: a
request that runs after its deadline or under an old epoch, or a "not run" that is not true.
"""

import subprocess
import sys
import time

import msgspec
from behave import given, then, when
from returns.result import Success
from tests.loopback import Loopback, Results, free_address, invalid_argument
from tools.standins import target as target_module
from tools.standins.scripted_peer import ScriptedPeer
from tools.standins.target import COLD_FACTOR, Announcer, TargetOptions, TargetStandIn

from hibiscusdrum.internal.transport.http_client import HttpClient

SLOTS = 9
SERVICE_MS = 30.0
LAG_SECONDS = 0.2
COLD_COMPLETIONS = 2
PREFIX = "x-hibiscusdrum-"
ANNOUNCED = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"


def ask(context, key="61", epoch="5", deadline_ms=0, request_id="r1", timeout=2.0):
    """Send a request with the headers of the contract."""
    headers = {PREFIX + "request-id": request_id, PREFIX + "tenant": "amt", PREFIX + "key": key}
    headers[PREFIX + "epoch"] = str(epoch)
    if deadline_ms:
        headers[PREFIX + "deadline-ns"] = str(time.monotonic_ns() + int(deadline_ms * 1e6))
    results = Results()
    context.client.request(
        context.options.address, "POST", "/crests", headers, b"{}", timeout, results.append
    )
    return results


def post(context, path, value=None):
    """Use a control; without a value, ask for a report."""
    results = Results()
    method, body = ("GET", b"") if value is None else ("POST", msgspec.json.encode(value))
    context.client.request(context.options.address, method, path, {}, body, 2.0, results.append)
    return results


def control(context, path, value=None):
    """Use a control and return the status and the JSON value."""
    response = post(context, path, value).one(context.loopback).unwrap()
    return response.status, msgspec.json.decode(response.body)


def fill(context, count):
    return [ask(context, key="00", request_id=f"f{number}") for number in range(count)]


@given("a stand-in target that {checks} epochs")
def start_target(context, checks):
    context.options = TargetOptions(
        free_address(), "127.0.0.1:9", "lista", SLOTS, 120, checks == "checks", SERVICE_MS, 0, LAG_SECONDS
    )
    context.client, context.target = HttpClient(), TargetStandIn(context.options)
    context.loopback = Loopback(context.client, context.target)
    context.add_cleanup(context.loopback.stop)


def queued(context, **arguments):
    """Send a request that waits for a slot, since all are taken."""
    fill(context, SLOTS)
    context.loopback.run_until(lambda: len(context.target.running_requests) == SLOTS)
    results = ask(context, request_id="queued", **arguments)
    context.loopback.run_until(lambda: context.target.queued_requests)
    return results


def served_below(context):
    ask(context, key="62", epoch=6).one(context.loopback)
    return ask(context)


def after_control(context, path, value):
    assert control(context, path, value)[0] == 200
    return ask(context)


def granted_twice(context):
    assert control(context, "/control/grant", {"epoch": 5})[0] == 200
    return post(context, "/control/grant", {"epoch": 4})


def control_during(context, path, value):
    results = ask(context)
    context.loopback.run_until(lambda: context.target.running_requests)
    control(context, path, value)
    return results


def queued_then(context, path, deadline_ms=0, **value):
    results = queued(context, deadline_ms=deadline_ms)
    assert control(context, path, {"request_id": "queued", **value})[0] == 200
    return results


def shed(context):
    others = fill(context, 2 * SLOTS)
    context.loopback.run_until(lambda: len(context.target.queued_requests) == SLOTS)
    results = ask(context)
    context.loopback.run_until(lambda: all(others))
    assert control(context, "/record")[1]["peak_in_flight"] == 2 * SLOTS
    return results


def with_fault(context, **fault):
    assert control(context, "/faults", fault)[0] == 200
    return ask(context, timeout=0.2)


SITUATIONS = {
    "gets a request": ask,
    "gets a request past its deadline": lambda context: ask(context, deadline_ms=-1000),
    "holds a request in service past its deadline": lambda context: ask(context, deadline_ms=SERVICE_MS / 2),
    "holds a queued request past its deadline": lambda context: queued(context, deadline_ms=SERVICE_MS),
    "extends the deadline of a queued request": lambda c: queued_then(
        c, "/control/extend", 10, deadline_ns=2**62
    ),
    "cancels a queued request": lambda c: queued_then(c, "/control/cancel"),
    "gets an epoch below one it served": served_below,
    "gets an epoch below one it was granted": lambda c: after_control(c, "/control/grant", {"epoch": 6}),
    "is granted an epoch during a request": lambda c: control_during(c, "/control/grant", {"epoch": 6}),
    "is granted an epoch below another": granted_twice,
    "drains": lambda c: after_control(c, "/control/drain", {}),
    "drains during a request": lambda context: control_during(context, "/control/drain", {}),
    "gets more than its slots and queue hold": shed,
    "gets an epoch that is no number": lambda context: ask(context, epoch="-1"),
    "answers short": lambda context: with_fault(context, short_answer=1),
    "hangs": lambda context: with_fault(context, hang=1),
}


@when("the target {situation}")
def bring_about(context, situation):
    context.result = SITUATIONS[situation](context).one(context.loopback)


def describe(result) -> str:
    if not isinstance(result, Success):
        return result.failure().kind.value
    response = result.unwrap()
    value = msgspec.json.decode(response.body)
    if response.status == 503 and response.headers.get("x-not-run") == "1":
        return f"not run: {value['reason']}"
    return f"ran, count {value['count']}" if "count" in value else f"status {response.status}"


@then('the target\'s answer is "{answer}" and it ran {effects:d} requests')
def check_answer(context, answer, effects):
    assert describe(context.result) == answer, describe(context.result)
    record = control(context, "/record")[1]
    assert len(record["effects"]) == effects, record
    reasons = [refused["reason"] for refused in record["not_run"]]
    assert reasons == ([answer.removeprefix("not run: ")] if answer.startswith("not run") else []), record


@then("the target's record names each request, and its answers count the effects of a key")
def check_record(context):
    before = time.monotonic_ns()
    sent = [("r1", "61", 1), ("r2", "62", 1), ("r3", "61", 2)]
    for request_id, key, count in sent:
        response = ask(context, key=key, request_id=request_id).one(context.loopback).unwrap()
        expected = {"service": "lista", "key": key, "request_id": request_id, "count": count}
        assert msgspec.json.decode(response.body) == expected
        assert response.headers[PREFIX + "request-id"] == request_id
    effects = control(context, "/record")[1]["effects"]
    assert [(effect["request_id"], effect["key"]) for effect in effects] == [(r, k) for r, k, _ in sent]
    for effect in effects:
        assert (effect["tenant"], effect["epoch"], effect["method"]) == ("amt", 5, "POST")
        assert before < effect["start_ns"] <= effect["end_ns"] < time.monotonic_ns()


@then("the target's service time follows its warmth and its faults")
def check_service_time(context):
    target, warm = context.target, SERVICE_MS / 1000
    target.options = msgspec.structs.replace(context.options, cold_completions=COLD_COMPLETIONS)
    assert target.service_seconds() == warm * COLD_FACTOR
    started = time.monotonic()
    fill(context, COLD_COMPLETIONS)
    context.loopback.run_until(lambda: target.completions == COLD_COMPLETIONS)
    assert time.monotonic() - started >= warm * COLD_FACTOR
    assert target.service_seconds() == warm
    control(context, "/faults", {"slow_factor": 3, "seconds": 0.05})
    assert target.service_seconds() == warm * 3
    context.loopback.run_for(0.06)
    assert target.service_seconds() == warm
    control(context, "/faults", {"cold": True})
    assert target.service_seconds() == warm * COLD_FACTOR


@then("the target's reports show a drain only after the lag")
def check_lag(context):
    context.loopback.run_for(LAG_SECONDS)
    control(context, "/control/drain", {})
    drained_at = time.monotonic()
    context.loopback.run_for(LAG_SECONDS / 2)
    states = [control(context, path)[1]["state"] for path in ("/health", "/load")]
    assert states == ["ready", "ready"] or time.monotonic() > drained_at + LAG_SECONDS, states
    context.loopback.run_until(lambda: control(context, "/load")[1]["state"] == "draining")
    assert time.monotonic() >= drained_at + LAG_SECONDS
    assert control(context, "/health")[1]["state"] == "draining"


@then("a target's announcements go on after a refusal and after an answer")
def check_announcements(context):
    daemon = ScriptedPeer([["close"], ["hold"], [ANNOUNCED]], free_address())
    options = TargetOptions("127.0.0.1:7101", daemon.address, "lista", checks_epoch=False)
    announcer = Announcer(options, interval_seconds=0.03)
    context.loopback = Loopback(daemon, HttpClient(), announcer)
    context.add_cleanup(context.loopback.stop)
    context.loopback.run_until(lambda: announcer.accepted_announcements == 3)
    assert b"POST /v1/target/announce HTTP/1.1" in daemon.requests[0]
    # The peer splits at the blank line, so each body is found before the next head.
    body = daemon.requests[1].partition(b"POST")[0] or daemon.requests[-1].partition(b"POST")[0]
    expected = {"service": "lista", "address": "127.0.0.1:7101", "slots": 9, "connections": 120}
    assert msgspec.json.decode(body) == {**expected, "checks_epoch": False}, daemon.requests


@when('the stand-in "{module}" runs as a process with "{options}"')
@when('the stand-in "{module}" runs as a process with ""')
def run_process(context, module, options=""):
    context.address = free_address()
    command = [sys.executable, "-W", "ignore", "-m", f"tools.standins.{module}", "--address", context.address]
    process = subprocess.Popen([*command, *options.split()], stderr=subprocess.DEVNULL)
    context.client = HttpClient()
    context.loopback = Loopback(context.client)
    context.add_cleanup(context.loopback.stop)
    context.add_cleanup(end_process, process)


def end_process(process):
    process.terminate()
    assert process.wait(5) == 0, f"exit code {process.returncode}"


def ask_process(context, method, path, headers, limit=10.0):
    """Send a request, again while nothing listens yet."""
    end = time.monotonic() + limit
    while True:
        results = Results()
        context.client.request(context.address, method, path, headers, b"", 2.0, results.append)
        result = results.one(context.loopback)
        if isinstance(result, Success) or time.monotonic() > end:
            return result.unwrap()


@then('the stand-in process answers "{method}" "{path}" with "{headers}" by {status:d} "{body}"')
@then('the stand-in process answers "{method}" "{path}" with "" by {status:d} "{body}"')
def check_process(context, method, path, status, body, headers=""):
    name, _, values = headers.partition("=")
    for value in values.split(" then "):
        response = ask_process(context, method, path, {PREFIX + name: value} if name else {})
    assert (response.status, body in response.body.decode()) == (status, True), response.body


@then('a stand-in target with {name} "{value}" is refused')
def check_options_refused(context, name, value):
    options = {name: int(value) if value.isdecimal() else value}
    assert invalid_argument(target_module.main, address=free_address(), **options) == name
