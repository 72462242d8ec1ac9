"""Steps with real routers as separate processes, against stand-ins of the store and the targets.

They guard against doubled or lost requests, wrong answers and false refusals that only processes show.
"""

import itertools
import re
import shutil
import signal
import socket
import tempfile
import threading
import time
import urllib.request
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec
from behave import given, then, when
from soak.checks import hold_violations
from tests.odd_entries import NESTED, variants
from tools.processes import request, wait_until
from tools.router_system import HEADER_PREFIX, MEMORY_MB, ROUTES, START_LIMIT_SECONDS, RouterSystem
from tools.standins.holding_target import LARGE_BODY

PLACES = [
    ("east", "east-1", "keyed"),
    ("west", "west-1", "keyed"),
    ("east", "east-2", "keyed"),
    ("east", "east-1", "shared"),
    ("east", "east-2", "shared"),
    ("west", "west-1", "shared"),
]
KEYS = range(0, 65_536, 4_099)
FLOODS = ("endless", "endless-chunks", "tiny-chunks")
STORE_AWAY_SECONDS = 2.0
REWRITE_DELAY_SECONDS = 0.3
# Time in which a change reaches all routers.
SETTLING_SECONDS = 3.0
INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


@given("a system of routers")
@given("a system of routers whose targets take {seconds:g} s")
def a_system(context, seconds=0.01):
    folder = Path(tempfile.mkdtemp(prefix="router-"))
    context.system = RouterSystem(folder, PLACES)

    def end():
        context.system.stop()
        if context.scenario.status.name == "failed":
            print(f"logs are kept in {folder}")
        else:
            shutil.rmtree(folder, ignore_errors=True)

    context.add_cleanup(end)
    context.system.start(seconds)
    context.vm = context.system.vms["vm0"]


@when('a caller posts {size:d} bytes to "{path}" of "{host}"')
def posts(context, size, path, host):
    context.size = size
    context.answer = context.system.send_request(
        context.vm, host, path, "POST", body=b"x" * size, attempt="posted"
    )


@then("the answer is 200 with the target's signature and whole body")
def whole_answer(context):
    status, headers, body = context.answer
    name = headers[HEADER_PREFIX + "response-sig"].removeprefix("sig-")
    assert status == 200 and body == f"{name} /g/x?y=1 {context.size}".encode(), context.answer


@then("the target ran it once with the caller's service and a deadline of at most {most:d} ms")
def ran_once(context, most):
    (run,) = context.system.runs_of_attempt("posted")
    assert run["caller"] == "keyed" and 0 < int(run["deadline"]) <= most, run
    assert run["body"] == context.size and run["method"] == "POST", run


@when('a caller sends a {method} request to "{path}" of "{host}"')
def sends(context, method, path, host):
    context.answer = context.system.send_request(
        context.vm, host, path, method, attempt="sent", deadline_ms=3000
    )


@when('a caller reads "{path}" of "{host}" with a key')
def reads_with_key(context, path, host):
    context.answer = context.system.send_request(
        context.vm, host, path, key=77, attempt="sent", deadline_ms=3000
    )


@then("the status is {status:d} and it has run {runs:d} times")
def status_and_runs(context, status, runs):
    time.sleep(0.2)
    assert context.answer[0] == status, context.answer
    assert len(context.system.runs_of_attempt("sent")) == runs, context.system.runs_of_attempt("sent")


@then("the answer has a time to come back of at most {most:g} s")
def comes_back(context, most):
    assert 0.0 < float(context.answer[1]["retry-after"]) <= most, context.answer


@when('the operator adds the route "{prefix}"')
def adds_route(context, prefix):
    context.changed_at = time.monotonic()
    route = ["added", "grants.example", prefix, "idempotent", 2.0, 0.5, 1, "shared", 2, [], None]
    context.system.configure([*ROUTES, route])


@then('the route "{prefix}" is served on every VM within {seconds:g} s')
def route_served(context, prefix, seconds):
    system = context.system

    def served():
        return all(
            system.send_request(vm, "grants.example", prefix + "x")[0] == 200 for vm in system.vms.values()
        )

    wait_until(served, seconds, f"{prefix} is served everywhere")


@when('{count:d} requests with the home region "{home}" are sent in the region "{region}"')
def home_requests(context, count, home, region):
    senders = [vm for vm in context.system.vms.values() if vm.region == region]
    context.attempts = []
    for index in range(count):
        attempt = f"home{index}"
        status, _, _ = context.system.send_request(
            senders[index % len(senders)], "home.example", "/h/x", attempt=attempt
        )
        assert status == 200, status
        context.attempts.append(attempt)


@then('all of them ran in the region "{region}"')
def ran_in(context, region):
    names = {f"i-{vm.name}" for vm in context.system.vms.values() if vm.region == region}
    for attempt in context.attempts:
        assert {run["target"] for run in context.system.runs_of_attempt(attempt)} <= names, attempt


@when('a caller leaves {seconds:g} s after a GET request to "{path}" of "{host}"')
def leaves(context, seconds, path, host):
    address = context.vm.address(1).rpartition(":")
    with socket.create_connection((address[0], int(address[2]))) as connection:
        head = f"GET {path} HTTP/1.1\r\nhost: {host}\r\n{HEADER_PREFIX}attempt-id: left\r\n\r\n"
        connection.sendall(head.encode())
        time.sleep(seconds)


@when("a caller on each VM sends a request to each kind of route and closes its sending direction")
def half_closes(context):
    def call(vm, head):
        host, _, port = vm.address(1).rpartition(":")
        with socket.create_connection((host, int(port)), timeout=3.0) as connection:
            connection.sendall(head)
            connection.shutdown(socket.SHUT_WR)
            return b"".join(iter(lambda: connection.recv(65_536), b""))

    heads = [
        f"GET /k/x HTTP/1.1\r\nhost: keys.example\r\n{HEADER_PREFIX}shard-key: 4100\r\n",
        "POST /g/x HTTP/1.1\r\nhost: grants.example\r\ncontent-length: 0\r\n",
        "GET /r/x HTTP/1.1\r\nhost: grants.example\r\n",
    ]
    requests = [
        (vm, f"{head}{HEADER_PREFIX}attempt-id: {vm.name}-{index}\r\n\r\n".encode())
        for vm in context.system.vms.values()
        for index, head in enumerate(heads)
    ]
    with ThreadPoolExecutor(len(requests)) as pool:
        context.answers = list(pool.map(lambda request: call(*request), requests))


@then("each of them is answered with status {status:d}")
def each_answered(context, status):
    found = [answer.replace(INTERIM_RESPONSE, b"").split(b"\r\n")[0] for answer in context.answers]
    assert all(line.startswith(b"HTTP/1.1 %d" % status) for line in found), found


@then('the log of its VM shows the end of the request with reason "{reason}"')
def log_shows(context, reason):
    def found():
        return [
            line
            for line in context.system.router_log(context.vm)
            if line["name"] == "request_ended" and line["fields"]["id"] == "left"
        ]

    (line,) = wait_until(found, 2.0, "the end of the request is logged")
    assert line["fields"]["reason"] == reason, line


class Callers(threading.Thread):
    """Sends requests one after the other; notes status and times of each, and the sizes of whole answers."""

    def __init__(self, system, vm, make):
        super().__init__(daemon=True)
        self.system, self.vm, self.make = system, vm, make
        self.results, self.sizes = [], set()
        self.ending = False
        self.start()

    def run(self):
        """Do the work of the thread."""
        index = 0
        while not self.ending:
            host, path, method, key = self.make(index)
            index += 1
            began = time.monotonic()
            status, _, body = self.system.send_request(self.vm, host, path, method, key=key)
            self.results.append((began, time.monotonic(), status))
            if status == 200:
                self.sizes.add(len(body))
            if status != 200:
                time.sleep(0.02)

    def end(self):
        """End it and note the outcome."""
        self.ending = True
        self.join(10.0)


def keyed(index):
    return "keys.example", "/k/x", "GET", (index * 977) % 65_536


def shared(index):
    return ("grants.example", "/g/x", "POST", None) if index % 2 else ("grants.example", "/r/x", "GET", None)


@when("a router is stopped while callers on {where} send requests")
def router_stopped(context, where):
    system = context.system
    stopped = system.vms["vm3"]
    vm = stopped if where == "its VM" else system.vms["vm4"]
    callers = [Callers(system, vm, keyed), Callers(system, vm, shared), Callers(system, vm, shared)]
    time.sleep(0.5)
    context.began = time.monotonic()
    context.exit_code = stopped.router.stop(10.0)
    context.ended = time.monotonic()
    for caller in callers:
        caller.end()
    context.cut = cut_requests(callers, context.began)


def cut_requests(callers, since):
    """Return begin and duration of the requests whose connection ended without an answer, in seconds."""
    # A refused connection has read nothing; it is noted within a millisecond or two.
    return [
        (began - since, ended - began)
        for caller in callers
        for began, ended, status in caller.results
        if status == 0 and ended - began > 0.05
    ]


RELOAD_SIGNALS = 5
RELOAD_INTERVAL_SECONDS = 0.15


@when("a router gets SIGHUP 5 times {when}")
def router_reloaded(context, when):
    system = context.system
    vm = context.reloaded = system.vms["vm3"]
    if when == "from 0.1 s after its start on":
        vm.router.kill()
        system.start_router(vm)
        time.sleep(0.1)
    caller = Callers(system, vm, shared)
    context.began = time.monotonic()
    if when == "during its planned stop":
        vm.router.send(signal.SIGTERM)
    for _ in range(RELOAD_SIGNALS):
        time.sleep(RELOAD_INTERVAL_SECONDS)
        vm.router.send(signal.SIGHUP)
    time.sleep(RELOAD_INTERVAL_SECONDS)
    caller.end()
    context.cut = cut_requests([caller], context.began)


@then("the router still serves all services")
def still_serves(context):
    vm = context.reloaded
    assert vm.router.running
    wait_until(context.system.all_services_answer, START_LIMIT_SECONDS, "all routers serve all services")
    assert vm.router.running


@then("the router ended with exit code {code:d}")
def ended_with(context, code):
    assert context.reloaded.router.process.wait(10.0) == code


@then("no connection ended without an answer after its request was read")
def none_cut(context):
    assert not context.cut, context.cut


@then("the router ended within {seconds:g} s with exit code {code:d}")
def router_ended(context, seconds, code):
    assert context.exit_code == code and context.ended - context.began < seconds


@when("{count:d} requests for a key are sent with a header value beyond ASCII")
def beyond_ascii(context, count):
    send = context.system.send_request
    context.statuses = [
        send(context.vm, "keys.example", "/k/x", key=77, deadline_ms=300, headers={"x-name": "caf\xe9"})[0]
        for _ in range(count)
    ]


@then("each of them is answered with 200, and so is one for the same key without it")
def all_served(context):
    plain = context.system.send_request(context.vm, "keys.example", "/k/x", key=77, deadline_ms=1000)[0]
    assert {plain, *context.statuses} == {200}, (context.statuses, plain)


@when("all routers are killed and restarted")
def all_killed(context):
    for vm in context.system.vms.values():
        vm.router.kill()
    time.sleep(0.8)
    for vm in context.system.vms.values():
        context.system.start_router(vm)


@when("a target is killed while callers ask for its keys")
def target_killed(context):
    start_callers(context, keyed)
    time.sleep(0.5)
    context.system.vms["vm1"].target.kill()


class LeavingCallers(threading.Thread):
    """Sends requests for answers without end; each leaves after a short time without reading."""

    def __init__(self, vm, stay_seconds):
        super().__init__(daemon=True)
        self.vm, self.stay_seconds = vm, stay_seconds
        self.ending = False
        self.start()

    def run(self):
        """Do the work of the thread."""
        host, _, port = self.vm.address(1).rpartition(":")
        for index in itertools.count():
            if self.ending:
                return
            request = (
                f"GET /r/{FLOODS[index % len(FLOODS)]} HTTP/1.1\r\nhost: grants.example\r\n"
                f"x-hibiscusdrum-attempt-id: left-{self.vm.name}-{index}\r\n"
                "x-hibiscusdrum-deadline-ms: 2000\r\n\r\n"
            )
            with socket.create_connection((host, int(port))) as connection:
                connection.sendall(request.encode())
                time.sleep(self.stay_seconds)

    def end(self):
        """End it."""
        self.ending = True
        self.join(5.0)


def peak_bytes(process):
    """Return the largest resident memory that a process has had."""
    status = Path(f"/proc/{process.process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1024


@when(
    "callers ask for answers without end and for large ones for {seconds:g} s, and some leave without reading"
)
def floods(context, seconds):
    system = context.system
    vms = list(system.vms.values())
    asking = [
        Callers(
            system, vm, lambda index: ("grants.example", f"/r/{FLOODS[index % len(FLOODS)]}", "GET", None)
        )
        for vm in vms
    ]
    leaving = [LeavingCallers(vm, 0.2) for vm in vms[:4]]
    context.large = [
        Callers(system, vm, lambda _index: ("grants.example", "/r/large", "GET", None))
        for vm in (vms[0], vms[4])
    ]
    caller = Callers(system, vms[1], keyed)
    time.sleep(seconds)
    context.peaks = {vm.name: peak_bytes(vm.router) for vm in vms}
    for thread in (*asking, *leaving, *context.large, caller):
        thread.end()
    context.results = caller.results


@then("no router ever held more memory than its VM has")
def within_memory(context):
    assert max(context.peaks.values()) < MEMORY_MB * 1024 * 1024, context.peaks


@then("each large answer is whole, and each request for a key was answered with 200")
def others_served(context):
    for caller in context.large:
        assert caller.sizes == {len(LARGE_BODY)}, caller.sizes
    assert {status for _, _, status in context.results} == {200}


@then("every key is served within {seconds:g} s")
def keys_served(context, seconds):
    system = context.system

    def served():
        return all(system.send_request(context.vm, "keys.example", "/k/x", key=key)[0] == 200 for key in KEYS)

    wait_until(served, seconds, "every key is served")


@when("the store is silent for {seconds:g} s while callers ask for keys")
def store_silent(context, seconds):
    system = context.system
    caller = Callers(system, context.vm, keyed)
    system.set_store_faults({"silent": True})
    time.sleep(seconds)
    system.set_store_faults({})
    caller.end()
    context.results = caller.results


@when("each kind of odd entry is written to the store and sent to each router while callers send requests")
def odd_entries(context):
    system = context.system
    callers = [Callers(system, context.vm, keyed), Callers(system, system.vms["vm4"], shared)]
    for kind, table, key in (
        ("a node row", "hibiscusdrum-members", "node/odd{}"),
        ("a ring row", "hibiscusdrum", "ring/odd{}"),
        ("a lease row", "hibiscusdrum-lease", "lease/keyed/odd{}"),
        ("a configuration", "op", "config"),
        ("a configuration", "op", "evacuate/odd{}"),
    ):
        for index, (_name, body) in enumerate(odd_variants(kind)):
            system.write_row(table, key.format(index), body)
            if kind == "a ring row":
                system.write_row("hibiscusdrum-members", f"ring-version/odd{index}", body)
    for vm in system.vms.values():
        for kind, method in (("a heartbeat", "PUT"), ("a notice of departure", "DELETE")):
            for _name, body in odd_variants(kind):
                status, _ = request(vm.control_address, method, "/instances/i-odd", msgspec.Raw(body))
                assert status == 400, (kind, body[:80], status)
    for caller in callers:
        caller.end()
    context.results = [result for caller in callers for result in caller.results]


def odd_variants(kind):
    """Return the odd variants of an entry that fit in a row of the store and in a request."""
    return [(name, body) for name, body in variants(kind) if 0 < len(body) < 200_000]


@when("another writer writes values nested too deeply over the rows of each router")
def own_rows_replaced(context):
    system = context.system
    for name, vm in system.vms.items():
        system.write_row("hibiscusdrum-members", f"node/{name}", NESTED)
        if vm.service == "keyed":
            system.write_row("hibiscusdrum-lease", f"lease/keyed/{name}", NESTED)
    time.sleep(1.0)


@when("a caller sends {count:d} requests with bytes beyond ASCII in a header")
def beyond_ascii(context, count):
    host, _, port = context.vm.address(1).rpartition(":")
    context.answers = []
    for number in range(count):
        head = (
            f"GET /r/x HTTP/1.1\r\nhost: grants.example\r\n{HEADER_PREFIX}attempt-id: beyond{number}\r\n"
            f"{HEADER_PREFIX}deadline-ms: 1000\r\nx-name: caf\xe9\r\nconnection: close\r\n\r\n"
        )
        with socket.create_connection((host, int(port)), timeout=3.0) as connection:
            connection.sendall(head.encode("latin-1"))
            context.answers.append(connection.recv(65_536).partition(b"\r\n")[0])


@then("each of them is answered with 200")
def each_answered(context):
    failed = [answer for answer in context.answers if b" 200 " not in answer]
    assert not failed, (len(failed), failed[:3])


@then("all services are served on every VM within {seconds:g} s")
def all_served(context, seconds):
    wait_until(context.system.all_services_answer, seconds, "all services are served on every VM")


@then("no router has ended or logged an internal error, and each has counted odd entries")
def none_ended(context):
    for vm in context.system.vms.values():
        assert vm.router.running, vm.name
        errors = [line for line in context.system.router_log(vm) if line["name"] == "internal_error"]
        assert not errors, (vm.name, errors[:2])
        with urllib.request.urlopen(f"http://{vm.address(5)}/metrics", timeout=2.0) as answer:
            lines = dict(line.rsplit(" ", 1) for line in answer.read().decode().splitlines())
        assert int(lines["hibiscusdrum_unreadable_total"]) > 0, vm.name


@then("each request was answered with 200")
@then("each request for a key was answered with 200")
def all_answered_200(context):
    failed = [result for result in context.results if result[2] != 200]
    assert context.results and not failed, failed


@when('the store is silent for {seconds:g} s and the operator adds the route "{prefix}" at its end')
def silent_then_route(context, seconds, prefix):
    context.system.set_store_faults({"silent": True})
    time.sleep(seconds)
    adds_route(context, prefix)
    context.system.set_store_faults({})


@when('the failure domain "{name}" is evacuated for {seconds:g} s while callers send requests')
def evacuated(context, name, seconds):
    system = context.system
    context.domain = name
    callers = [Callers(system, context.vm, keyed), Callers(system, system.vms["vm4"], shared)]
    context.began = time.monotonic()
    system.set_evacuation(name, True)
    time.sleep(seconds)
    context.ended = time.monotonic()
    for caller in callers:
        caller.end()
    system.set_evacuation(name, False)
    context.results = [result for caller in callers for result in caller.results]


@then("its targets ran nothing from {seconds:g} s after the request to its end")
def ran_nothing(context, seconds):
    names = {f"i-{vm.name}" for vm in context.system.vms.values() if vm.failure_domain == context.domain}
    late = [
        line
        for line in context.system.target_records()
        if line["event"] == "run"
        and line["target"] in names
        and context.began + seconds < line["at"] < context.ended
    ]
    assert not late, late[:3]


@then("no request was refused in that time after the first {seconds:g} s")
def none_refused(context, seconds):
    refused = [
        result for result in context.results if result[2] != 200 and result[0] > context.began + seconds
    ]
    assert context.results and not refused, refused[:3]


@when("an order runs, and the router {which} is paused for {seconds:g} s meanwhile")
def order_while_paused(context, which, seconds):
    system = context.system
    answers = []

    def send():
        answers.append(
            system.send_request(context.vm, "grants.example", "/g/x", "POST", body=b"x", attempt="sent")
        )

    caller = threading.Thread(target=send)
    caller.start()
    (run,) = wait_until(lambda: system.runs_of_attempt("sent"), 2.0, "the order runs")
    vm = context.vm if which == "that forwarded it" else system.vms[run["target"].removeprefix("i-")]
    vm.router.send(signal.SIGSTOP)
    time.sleep(seconds)
    vm.router.send(signal.SIGCONT)
    caller.join()
    context.answer = answers[0]


@then("the order is answered with 200, and has run once")
def order_answered(context):
    assert context.answer[0] == 200, context.answer
    assert len(context.system.runs_of_attempt("sent")) == 1


def restore(context, age):
    """Restore the store from a copy, and wait for its return."""
    context.system.restore_store(age, STORE_AWAY_SECONDS, REWRITE_DELAY_SECONDS)
    time.sleep(STORE_AWAY_SECONDS)
    context.returned_at = time.monotonic()


def start_callers(context, *makes):
    """Start callers on each VM for each kind of request; they end with the scenario at the latest."""
    callers = [Callers(context.system, vm, make) for vm in context.system.vms.values() for make in makes]

    def end():
        for caller in callers:
            caller.ending = True
        for caller in callers:
            caller.end()

    context.add_cleanup(end)
    context.end_callers = end
    context.callers = callers


@when('the target of "{name}" leaves')
def target_leaves(context, name):
    address = context.system.vms[name].address(0)
    assert request(address, "POST", "/leaving")[0] == 200


@when('the target of "{name}" restarts')
def target_restarts(context, name):
    context.system.restart_target(context.system.vms[name])


@when("{change}, and the store is restored from a copy of before while callers ask for keys")
def change_is_lost(context, change):
    start_callers(context, keyed)
    time.sleep(1.0)
    copied_at = time.monotonic()
    context.execute_steps(f"When {change}")
    time.sleep(SETTLING_SECONDS)
    restore(context, time.monotonic() - copied_at)


@then("no key had two holders at a time, and its tokens rose")
def one_holder(context):
    violations = hold_violations(context.system.target_records())
    assert not violations, violations[:6]


@when('the store is restored from a copy without the route while callers ask for "{path}"')
def route_is_lost(context, path):
    start_callers(context, lambda _index: ("grants.example", path, "GET", None))
    restore(context, age=time.monotonic() - context.changed_at)


@then("no caller was told that there is no such route")
def none_not_found(context):
    context.end_callers()
    results = [(caller.vm.name, *result) for caller in context.callers for result in caller.results]
    not_found = [
        (name, round(began - context.returned_at, 3)) for name, began, _, status in results if status == 404
    ]
    assert results and not not_found, f"VMs and times since the return: {not_found[:6]}"


@when('the operator adds the route "{prefix}" just before the store is restored from a copy without it')
def route_just_before(context, prefix):
    adds_route(context, prefix)
    restore(context, age=time.monotonic() - context.changed_at)


@when('the operator adds the route "{prefix}" before twice the store is restored from a copy without it')
def route_before_twice(context, prefix):
    adds_route(context, prefix)
    time.sleep(1.0)
    restore(context, age=time.monotonic() - context.changed_at)
    time.sleep(0.5)
    restore(context, age=time.monotonic() - context.changed_at)


@when('the operator adds the route "{prefix}" just after the store is restored from a copy without it')
def route_just_after(context, prefix):
    restore(context, age=SETTLING_SECONDS)
    adds_route(context, prefix)


@when('the failure domain "{name}" is evacuated, and the store is restored from a copy without that')
def evacuation_is_lost(context, name):
    context.domain = name
    start_callers(context, keyed, shared)
    began = time.monotonic()
    context.system.set_evacuation(name, True)
    time.sleep(6.0)
    restore(context, age=time.monotonic() - began)
    time.sleep(8.0)
    context.ended = time.monotonic()
    context.end_callers()


@then("its targets ran nothing from {seconds:g} s after the return of the store to the end")
def ran_nothing_after_return(context, seconds):
    context.began = context.returned_at
    ran_nothing(context, seconds)
    runs = [line["at"] for line in context.system.target_records() if line["event"] == "run"]
    assert any(context.began + seconds < at < context.ended for at in runs), "no target ran anything"


@when('the evacuation of "{name}" ends, and the store is restored from a copy with it')
def evacuation_comes_back(context, name):
    context.domain = name
    start_callers(context, shared)
    time.sleep(SETTLING_SECONDS)
    context.system.set_evacuation(name, True)
    time.sleep(SETTLING_SECONDS)
    copied_at = time.monotonic()
    context.system.set_evacuation(name, False)
    time.sleep(SETTLING_SECONDS)
    restore(context, age=time.monotonic() - copied_at)


@then('the targets of "{name}" run requests within {seconds:g} s of the return of the store')
def run_again(context, name, seconds):
    names = {f"i-{vm.name}" for vm in context.system.vms.values() if vm.failure_domain == name}

    def run_since():
        return any(
            line["event"] == "run" and line["target"] in names and line["at"] > context.returned_at + 2.0
            for line in context.system.target_records()
        )

    wait_until(run_since, seconds, f"the targets of {name} run requests")
