"""Steps on bytes without end, over real sockets.

They guard against memory and time that grow with what a faulty peer sends.
"""

import select
import socket
import threading
import time

from behave import given, then, when
from returns.result import Success
from tests.loopback import Loopback, Results, free_address

from hibiscusdrum.internal.router.routes import EntryLimits
from hibiscusdrum.internal.transport.body_memory import HELD_SHARE_OF_MEMORY, BodyMemory
from hibiscusdrum.internal.transport.http_client import HttpClient
from hibiscusdrum.internal.transport.http_connection import FailureKind
from hibiscusdrum.internal.transport.http_entry import HttpEntry

MEGABYTE = 1_000_000
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
OTHER = OK + b"x-hibiscusdrum-request-id: other\r\ncontent-length: 60000\r\n\r\n" + b"o" * 60_000
# What is sent once, and what is repeated for as long as the other side takes it.
PARTS = {
    "a header value": (b"x: ", b"a" * 16_384),
    "a header name": (b"", b"a" * 16_384),
    "headers": (b"", b"x: a\r\n" * 2_000),
    "a chunk extension": (CHUNKED + b"5;", b"a" * 16_384),
    "the size of a chunk": (CHUNKED, b"0" * 16_384),
    "a trailer value": (CHUNKED + b"0\r\nx: ", b"a" * 16_384),
    "trailers": (CHUNKED + b"0\r\n", b"x: a\r\n" * 2_000),
    "a body in chunks": (CHUNKED, (b"1000\r\n" + b"b" * 4_096 + b"\r\n") * 64),
    "a body without a length": (b"\r\n", b"b" * 262_144),
}
ANSWERS = {name: (OK + first, more) for name, (first, more) in PARTS.items()} | {
    "a reason phrase": (b"HTTP/1.1 200 ", b"a" * 16_384),
    "blank lines": (b"", b"\r\n" * 8_192),
    "informational answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
    "answers to other requests": (b"", OTHER * 4),
}
PUT = b"PUT /instances/i-1 HTTP/1.1\r\nhost: h\r\n"
REPORTS = {name: (PUT + first, more) for name, (first, more) in PARTS.items()} | {
    "a request line": (b"PUT /", b"a" * 16_384),
    "blank lines": (b"", b"\r\n" * 8_192),
}
LIMITS = EntryLimits(max_head_bytes=2000, max_body_bytes=5000, head_timeout=5.0, idle_timeout=5.0)


class Flood(threading.Thread):
    """Sends a beginning once and then the same bytes until the other side closes or the time is over."""

    def __init__(self, sock, first, more, pause=0.0, seconds=30.0):
        super().__init__(daemon=True)
        self.sock, self.first, self.more = sock, first, more
        self.pause, self.until = pause, time.monotonic() + seconds
        self.sent, self.closed_at, self.received = 0, None, b""
        self.sock.settimeout(0.2)
        # What the kernel holds counts as sent.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 131_072)
        self.start()

    def run(self):
        """Send, and read what is answered meanwhile."""
        data = self.first or self.more
        while time.monotonic() < self.until:
            try:
                count = self.sock.send(data)
                self.sent += count
                data = data[count:] or self.more
                time.sleep(self.pause)
            except TimeoutError:
                pass
            except OSError:
                self.closed_at = time.monotonic()
                break
            self.read()
        self.read()
        self.sock.close()

    def read(self):
        """Take what has arrived; a receive with a time limit would wait."""
        try:
            # Unlike select, poll takes any descriptor.
            poll = select.poll()
            poll.register(self.sock, select.POLLIN)
            if poll.poll(0):
                self.received += self.sock.recv(65_536)
        except OSError:
            return


class EndlessTarget:
    """Reads one request on each connection, then sends an answer without end."""

    def __init__(self, first, more, pause=0.0):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.floods = []
        self.part = (first, more, pause)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        """Answer each connection on a thread of its own."""
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.recv(65_536)
            self.floods.append(Flood(sock, *self.part))


@given("a target whose answers hold {part} without end")
def endless_target(context, part, pause=0.0):
    context.target = EndlessTarget(*ANSWERS[part], pause)
    context.client = HttpClient(skips_unmatched_responses=True, accepts_close_delimited=True)
    context.loopback = Loopback(context.client)
    context.add_cleanup(context.loopback.stop)
    context.add_cleanup(context.target.listener.close)


@given("a target whose answers hold {part} without end, at a slow pace")
def slow_endless_target(context, part):
    endless_target(context, part, pause=0.02)


def send(context, timeout=5.0):
    results = Results()
    headers = {"x-hibiscusdrum-request-id": "own"}
    exchange = context.client.request(
        context.target.address, "GET", "/", headers, b"", timeout, results.append
    )
    return exchange, results


@when("a request with a timeout of {timeout:g} s is sent to it")
def send_one(context, timeout):
    context.began = time.monotonic()
    context.results = [send(context, timeout)[1]]


@when("{count:d} requests with a timeout of {timeout:g} s are sent to it at once")
def send_many(context, count, timeout):
    context.began = time.monotonic()
    context.most = 0
    context.results = [send(context, timeout)[1] for _ in range(count)]


@then("the result is malformed within {seconds:g} s")
@then("all results are malformed within {seconds:g} s")
def check_malformed(context, seconds):
    def held():
        context.most = max(
            getattr(context, "most", 0), sum(c.received for c in context.client.connections.values())
        )
        return all(context.results)

    context.loopback.run_until(held, seconds)
    for results in context.results:
        (result,) = results
        assert not isinstance(result, Success), result.unwrap().status
        assert result.failure().kind is FailureKind.MALFORMED, result.failure()


@then("the target could send at most {most:d} MB before the connection was closed")
def check_sent(context, most):
    (flood,) = context.target.floods
    flood.join(3.0)
    assert flood.closed_at is not None, "the connection was not closed"
    assert flood.sent <= most * MEGABYTE, flood.sent


@then("at most {most:d} MB of bodies were held at any time")
def check_held(context, most):
    assert 0 < context.most <= most * MEGABYTE, context.most


@when("a request is sent to it and its caller leaves after {seconds:g} s")
def caller_leaves(context, seconds):
    exchange, context.results = send(context)
    context.loopback.run_until(lambda: context.target.floods, 2.0)
    context.loopback.run_for(seconds)
    exchange.cancel()
    context.left = time.monotonic()


@then("the connection is closed within {seconds:g} s")
def check_closed(context, seconds):
    context.loopback.run_for(seconds)
    (flood,) = context.target.floods
    flood.join(1.0)
    assert flood.closed_at is not None and flood.closed_at - context.left <= seconds


# Reports to the entry


@given("an entry that bounds heads to 2000 bytes and bodies to 5000")
def bounded_entry(context):
    context.entry = HttpEntry()
    context.loopback = Loopback(context.entry)
    context.add_cleanup(context.loopback.stop)
    context.entry.limits = LIMITS
    context.address = free_address()
    context.requests = []
    context.entry.listen(context.address, context.requests.append)


@given("an entry that answers nothing and bounds heads to 2000 bytes")
def silent_entry(context):
    bounded_entry(context)


def flood(context, first, more):
    host, _, port = context.address.rpartition(":")
    context.flood = Flood(socket.create_connection((host, int(port))), first, more, seconds=3.0)


@when("a report arrives with {part} without end")
def endless_report(context, part):
    flood(context, *REPORTS[part])
    context.loopback.run_until(lambda: not context.flood.is_alive(), 4.0)


@then("it is answered with {status:d}, and the connection is closed before 2 MB were taken")
def check_refused(context, status):
    assert context.flood.received.startswith(b"HTTP/1.1 %d " % status), context.flood.received[:60]
    assert context.flood.closed_at is not None, "the connection was not closed"
    assert context.flood.sent <= 2 * MEGABYTE, context.flood.sent


@when("reads without end arrive on one connection")
def endless_reads(context):
    flood(context, b"", b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n" * 500)
    context.loopback.run_for(1.0)


@then("at most 1 MB of them is taken, and the departure of the caller is noticed after the answers")
def check_left_in_socket(context):
    (connection,) = context.entry.connections.values()
    held = len(connection.unparsed)
    assert held <= MEGABYTE, held
    context.loopback.run_until(lambda: not context.flood.is_alive(), 4.0)
    answered = 0

    def gone():
        nonlocal answered
        while answered < len(context.requests):
            context.requests[answered].respond(200, [])
            answered += 1
        return not context.entry.connections

    context.loopback.run_until(gone, 20.0)


@given("an entry that may hold {count:d} MB of bodies")
def entry_with_memory(context, count):
    context.memory = BodyMemory(count * MEGABYTE / HELD_SHARE_OF_MEMORY)
    context.entry = HttpEntry(context.memory)
    context.loopback = Loopback(context.entry)
    context.add_cleanup(context.loopback.stop)
    context.address = free_address()
    context.requests, context.most = [], 0
    context.entry.listen(context.address, context.requests.append)


def connect(context):
    host, _, port = context.address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
    sock.connect((host, int(port)))
    sock.setblocking(False)
    context.add_cleanup(sock.close)
    return sock


def turn(context):
    """Turn the loop once, and note the most that was held."""
    context.loopback.app.tick(0)
    context.most = max(context.most, context.memory.held)


def receive(sock):
    """Return what has arrived."""
    try:
        return sock.recv(262_144)
    except OSError:
        return b""


@when("{count:d} callers ask for answers of 1 MB without reading them, and one reads its own")
def unread_answers(context, count):
    callers = [connect(context) for _ in range(count + 1)]
    for sock in callers:
        sock.send(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n")
    context.loopback.run_until(lambda: len(context.requests) == len(callers))
    for sock in context.entry.connections:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
    context.received, context.reading = b"", callers[-1]
    for request in context.requests:
        request.respond(200, [], b"a" * MEGABYTE)
        end = time.monotonic() + 0.2
        while time.monotonic() < end:
            turn(context)
            context.received += receive(context.reading)


@then("the caller that reads has its whole answer")
def read_whole(context):
    end = time.monotonic() + 5.0
    while context.received.count(b"a") < MEGABYTE and time.monotonic() < end:
        turn(context)
        context.received += receive(context.reading)
    assert context.received.count(b"a") == MEGABYTE, len(context.received)


@when("{count:d} callers send 1 MB of a body of 1.2 MB each")
def request_bodies(context, count):
    context.callers = [connect(context) for _ in range(count)]
    context.answers = [b""] * count
    head = b"PUT /a HTTP/1.1\r\nhost: h\r\ncontent-length: 1200000\r\n\r\n"
    left = [memoryview(head + b"b" * MEGABYTE) for _ in context.callers]
    end = time.monotonic() + 5.0
    while any(left) and time.monotonic() < end:
        for index, sock in enumerate(context.callers):
            try:
                left[index] = left[index][sock.send(left[index][:65_536]) :]
            except BlockingIOError:
                pass
            except OSError:
                left[index] = left[index][:0]
            context.answers[index] += receive(sock)
            turn(context)


@then("at least {least:d} callers got 503, and none of their requests was handled")
def rejected(context, least):
    refused = [answer for answer in context.answers if answer.startswith(b"HTTP/1.1 503 ")]
    assert len(refused) >= least, context.answers
    assert not context.requests
