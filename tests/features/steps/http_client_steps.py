"""Steps for the HTTP client.

They guard against a truncated answer taken as whole, an answer given to another request, a request sent
twice, and a "nothing was sent" that is not true.
"""

import errno
import socket
import struct
import threading
import time
from functools import partial
from unittest import mock

from behave import given, then, when
from circuits import BaseComponent, handler
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st
from loguru import logger
from returns.result import Success
from tests.loopback import Loopback, Results, free_address, invalid_argument
from tools.standins.scripted_peer import ScriptedPeer

from hibiscusdrum.internal.transport import http_client
from hibiscusdrum.internal.transport.http_client import HttpClient

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ncrest"
CHUNKS = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\ncre\r\n2\r\nst\r\n"
SHORT = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\ncre"


def echo(request: bytes) -> bytes:
    """Answer with the path, which is also the request id."""
    path = request.split(b" ")[1]
    head = b"HTTP/1.1 200 OK\r\nx-hibiscusdrum-request-id: %b\r\ncontent-length: %d\r\n\r\n"
    return head % (path, len(path)) + path


SCRIPTS = {
    "answers": [[ANSWER]],
    "answers byte by byte": [[part for byte in ANSWER for part in (bytes([byte]), "wait")]],
    "answers in chunks": [[CHUNKS + b"0\r\n\r\n"]],
    "answers 100 before 200": [[b"HTTP/1.1 100 Continue\r\n\r\n", "wait", ANSWER]],
    "answers 204": [[b"HTTP/1.1 204 No Content\r\n\r\n"]],
    "answers 503 not run": [[b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\ncontent-length: 0\r\n\r\n"]],
    "ends the body early": [[SHORT, "wait", "close"]],
    "ends the chunks early": [[CHUNKS, "wait", "close"]],
    "ends within the head": [[ANSWER[:30], "wait", "close"]],
    "ends without a declared length": [[b"HTTP/1.1 200 OK\r\n\r\ncrest", "wait", "close"]],
    "closes without an answer": [["close"]],
    "answers in another protocol": [[b"220 smtp ready\r\n"]],
    "declares two lengths": [[ANSWER.replace(b"\r\n\r\n", b"\r\ncontent-length: 7\r\n\r\n")]],
    "declares too long a body": [[b"HTTP/1.1 200 OK\r\ncontent-length: 999999999\r\n\r\n"]],
    "sends headers without end": [[b"HTTP/1.1 200 OK\r\n", *([b"a: " + b"b" * 9000 + b"\r\n", "wait"] * 20)]],
    "holds the answer": [["hold"]],
    "holds half of the answer": [[SHORT, "hold"]],
    "answers a HEAD request": [[b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n"]],
    "answers and asks to close": [[ANSWER.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n")]],
    "answers in HTTP 1.0": [[ANSWER.replace(b"1.1", b"1.0")]],
    "answers twice": [[ANSWER + ANSWER]],
    "answers and closes": [[ANSWER, "close"]],
    "answers, then closes without an answer": [[ANSWER], ["close"]],
    "echoes the path": [[echo]],
    "answers for another request": [[lambda request: echo(b"GET /other HTTP/1.1")]],
    "answers late, then echoes the path": [["wait"] * 20 + [echo], [echo]],
}


def describe(result) -> str:
    """Return a result in the words of the feature file."""
    if not isinstance(result, Success):
        failure = result.failure()
        sent = "sent" if failure.bytes_sent else "not sent"
        return f"{failure.kind.value} {sent} {failure.received} of {failure.declared}"
    response = result.unwrap()
    not_run = response.headers.get("x-not-run")
    note = f"x-not-run={not_run}" if not_run else response.body.decode()
    return f"{response.status} {note}".strip()


def send(context, path="/crests", timeout=2.0, method="GET", body=b"", limit=64):
    results = Results()
    headers = {"x-hibiscusdrum-request-id": path}
    arguments = (context.peer.address, method, path, headers, body, timeout, results.append, limit)
    context.exchanges.append(context.client.request(*arguments))
    context.results.append(results)
    return results


@given('an HTTP peer that "{behaviour}"')
def start_peer(context, behaviour):
    context.client = HttpClient()
    context.peer = ScriptedPeer(SCRIPTS.get(behaviour, []), free_address())
    services = [context.client] if behaviour == "does not listen" else [context.client, context.peer]
    context.loopback = Loopback(*services)
    context.add_cleanup(context.loopback.stop)
    context.results, context.exchanges = [], []


@given("one HTTP answer was received")
@when("the client sends one HTTP {method} with a timeout of {timeout:g} s")
def send_one(context, method="GET", timeout=2.0):
    send(context, timeout=timeout, method=method).one(context.loopback)


@when("the client sends {count:d} HTTP requests one after the other")
def send_in_turn(context, count):
    for _ in range(count):
        send(context).one(context.loopback)


@when("the peer closes its HTTP connections and the client sends before it notices")
def send_on_stale(context):
    context.peer.close_all()
    send(context).one(context.loopback)


@when("the client sends {count:d} HTTP requests at once over at most {limit:d} connections")
def send_at_once(context, count, limit):
    for number in range(count):
        send(context, path=f"/{number}", limit=limit)
    for results in context.results:
        results.one(context.loopback)


@when(
    "the client sends one HTTP request that holds the only connection and {count:d} that wait {timeout:g} s"
)
def send_behind_held(context, count, timeout):
    send(context, limit=1)
    for _ in range(count):
        send(context, timeout=timeout, limit=1).one(context.loopback)


class Pause(BaseComponent):
    """Stops the process for a while between the timers and the poll, as a paused VM does."""

    seconds = 0.0
    act = None

    @handler("generate_events", channel="*")
    def pause(self, event):
        """Sleep once, then let the outside act."""
        if self.seconds:
            time.sleep(self.seconds)
            self.seconds = 0.0
            if self.act:
                self.act()


@when('the process pauses beside one HTTP request in flight and one that waits, and the peer "{acts}"')
def pause_with_waiting(context, acts):
    pause = Pause().register(context.loopback.app)
    context.loopback.run_for(0.01)
    send(context, timeout=5.0 if acts == "answers" else 0.05, limit=1)
    send(context, timeout=0.05, limit=1)
    context.loopback.run_until(lambda: context.peer.requests)
    if acts == "answers":
        pause.act = lambda: context.peer.accepted_sockets[0].send(ANSWER)
    pause.seconds = 0.1
    context.loopback.run_until(lambda: all(context.results))
    context.loopback.run_for(0.02)


@when("the process pauses while one HTTP request opens its connection")
def pause_while_connecting(context):
    pause = Pause().register(context.loopback.app)
    context.loopback.run_for(0.01)
    results = send(context, timeout=0.05)
    pause.seconds = 0.1
    results.one(context.loopback)


@when("the peer resets its HTTP connections after the client checked them")
def reset_connections(context):
    context.client.is_stale = lambda connection: False
    for sock in context.peer.receive_buffers:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    context.peer.close_all()
    send(context).one(context.loopback)


@when("the peer resets an HTTP connection before the client has seen it open")
def reset_while_opening(context):
    results = send(context)
    connection, _ = context.peer.listener.accept()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()
    results.one(context.loopback)


@when("the client can open no socket for 2 HTTP requests and one is cancelled")
def send_without_socket(context):
    start_peer(context, "does not listen")
    with mock.patch.object(http_client.socket, "socket", side_effect=OSError(errno.EMFILE, "too many files")):
        for _ in range(2):
            send(context)
    context.exchanges[0].cancel()
    context.loopback.run_for(0.02)


@when("the client cancels an HTTP request in flight and one that waits, and sends another")
def cancel_two(context):
    for number in range(2):
        send(context, path=f"/{number}", limit=1)
    context.loopback.run_until(lambda: context.peer.requests)
    for exchange in reversed(context.exchanges):
        exchange.cancel()
        exchange.cancel()
    send(context, path="/2", limit=1).one(context.loopback)
    context.loopback.run_for(0.05)


@when("the client sends an HTTP body of {size:d} bytes")
def send_large(context, size):
    context.body = bytes(range(1, 251)).replace(b"\r\n", b"") * (size // 250) + ScriptedPeer.HEADER_END
    context.peer.requests = []
    context.peer.script = [["hold"], [ANSWER]]
    send(context, method="POST", body=context.body).one(context.loopback)


@when("two HTTP requests time out together and the callback of each raises")
def raise_in_callbacks(context):
    context.results = [Results(), Results()]

    def fail(results, result):
        results.append(result)
        raise RuntimeError("callback failed")

    for results in context.results:
        callback = partial(fail, results)
        context.client.request(context.peer.address, "GET", "/", {}, b"", 0.05, callback)
    # The expected log of the failing callbacks would hide real failures in the output of the run.
    logger.disable("hibiscusdrum")
    context.loopback.run_for(0.2)
    logger.enable("hibiscusdrum")


@then('the HTTP result is "{expected}"')
def check_result(context, expected):
    assert describe(context.results[-1][0]) == expected, describe(context.results[-1][0])


@then('the HTTP results are "{expected}"')
def check_results(context, expected):
    """Compare the results of each callback, so that a second call of one shows."""
    found = "; ".join(" and ".join(map(describe, results)) for results in context.results)
    assert found == expected, found


@then("each HTTP answer carries the path of its own request")
def check_paths(context):
    check_results(context, "; ".join(f"200 /{number}" for number in range(len(context.results))))


@then("the peer received {count:d} HTTP requests")
def check_received(context, count):
    assert len(context.peer.requests) == count, context.peer.requests


@then("the peer received the whole HTTP body")
def check_body(context):
    assert context.peer.requests[1] + ScriptedPeer.HEADER_END == context.body


@then("the peer accepted {count:d} HTTP connections")
def check_connections(context, count):
    assert len(context.peer.accepted_sockets) == count, len(context.peer.accepted_sockets)


@then('an HTTP request with {argument} "{value}" is refused by "{name}"')
def check_invalid(context, argument, value, name):
    value = value.replace("\\r", "\r").replace("\\n", "\n")
    headers = {"header value": {"x-tenant": value}, "header name": {value.lower(): "1"}}.get(argument, {})
    address = value if argument == "address" else free_address()
    path = value if argument == "path" else "/"
    timeout = float(value) if argument == "timeout" else 1.0
    limit = int(value) if argument == "max_connections" else 1
    arguments = (address, "GET", path, headers, b"", timeout, print, limit)
    assert invalid_argument(context.client.request, *arguments) == name


STEPS = [[echo], [echo, "close"], ["wait", "wait", echo], ["close"], ["hold"], [echo, "wait", echo]]
STEPS.append([SHORT, "close"])


def open_at_most(context, limit):
    found = context.client.pools[context.peer.address].open_count
    assert found <= limit, f"{found} connections, the limit is {limit}"
    return True


@then("any order of faults and cancellations keeps the HTTP answers apart")
def check_any_order(context):
    @settings(max_examples=30, derandomize=True, database=None, deadline=None)
    @given_any(
        st.lists(st.sampled_from(STEPS), min_size=1, max_size=8),
        st.lists(st.sampled_from(["wait", "cancel", "stay"]), min_size=1, max_size=8),
        st.integers(1, 3),
    )
    def check(script, plan, limit):
        context.client, context.peer = HttpClient(), ScriptedPeer(script, free_address())
        context.loopback = Loopback(context.client, context.peer)
        context.results, context.exchanges = [], []
        for number, action in enumerate(plan):
            send(context, path=f"/{number}", timeout=0.05, limit=limit)
            if action == "wait":
                context.loopback.run_for(0.003)
            elif action == "cancel":
                context.exchanges[number // 2].cancel()
        context.loopback.run_until(lambda: open_at_most(context, limit) and all(context.results))
        context.loopback.stop()
        paths = [request.split(b" ")[1] for request in context.peer.requests]
        assert len(paths) == len(set(paths)), f"sent twice: {paths}"
        for number, results in enumerate(context.results):
            assert len(results) == 1
            if isinstance(results[0], Success) and results[0].unwrap().status == 200:
                assert describe(results[0]) == f"200 /{number}"
            elif not results[0].failure().bytes_sent:
                assert b"/%d" % number not in paths

    check()


class ForgetfulPeer(threading.Thread):
    """Answers each request, and resets a connection when one comes after too long a rest."""

    def __init__(self, address, longest_rest, every=0, after=0.0):
        super().__init__(daemon=True)
        self.longest_rest, self.every, self.after = longest_rest, every, after
        self.requests = 0
        self.connections = 0
        host, _, port = address.rpartition(":")
        self.listener = socket.create_server((host, int(port)))
        self.start()

    def run(self):
        """Accept until the listener is closed."""
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        """Answer on one connection."""
        answered_at = time.monotonic()
        while sock.recv(65_536):
            self.requests += 1
            reset = self.every and self.requests % self.every == 0
            if reset:
                time.sleep(self.after)
            if reset or time.monotonic() - answered_at > self.longest_rest:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                break
            sock.sendall(ANSWER)
            answered_at = time.monotonic()
        sock.close()


@given("a peer that resets every third request after {seconds:g} s")
def late_reset(context, seconds):
    forgetful_peer(context, 60.0, 3, seconds)


@given("a peer that resets a connection on which nothing came for {seconds:g} s")
def forgetful_peer(context, seconds, every=0, after=0.0):
    context.address = free_address()
    context.peer = ForgetfulPeer(context.address, seconds, every, after)
    context.add_cleanup(context.peer.listener.close)
    context.client = HttpClient()
    context.loopback = Loopback(context.client)
    context.add_cleanup(context.loopback.stop)
    context.lost = 0


@when("{count:d} requests are sent {seconds:g} s apart")
def requests_apart(context, count, seconds):
    context.connections_before = context.peer.connections
    for _ in range(count):
        results = Results()
        context.client.request(context.address, "GET", "/", {}, b"", 2.0, results.append)
        context.lost += not isinstance(results.one(context.loopback), Success)
        context.loopback.run_for(seconds)


@then("at most {most:d} of them is lost")
def few_lost(context, most):
    assert context.lost <= most, context.lost


@then("the last 10 of them took at most {most:d} connections")
def few_connections(context, most):
    assert context.peer.connections - context.connections_before <= most


@then("at most {most:d} connections were used")
def connections_used(context, most):
    assert context.peer.connections <= most, context.peer.connections
