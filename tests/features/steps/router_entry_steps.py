"""Steps on the router's HTTP entry over real sockets.

They guard against smuggled requests, answers to the wrong request, and callers that hold a daemon up.
"""

import contextlib
import socket
import threading
import time

import httptools
import msgspec
from behave import given, then, when
from tests.loopback import Loopback, free_address
from tests.router_stubs import SETTINGS, Stub

from hibiscusdrum.internal.router.metrics import RouterMetrics
from hibiscusdrum.internal.router.readiness import Readiness
from hibiscusdrum.internal.router.routes import EntryLimits
from hibiscusdrum.internal.transport.http_entry import HttpEntry
from hibiscusdrum.platform.reports import ReportEndpoint

LIMITS = EntryLimits(max_head_bytes=2000, max_body_bytes=5000, head_timeout=0.4, idle_timeout=0.6)
GET = b"GET %s HTTP/1.1\r\nhost: h\r\n\r\n"
CHUNKED = b"POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n"
INPUTS = {
    "one request": [GET % b"/a"],
    "one request byte by byte": [bytes([byte]) for byte in GET % b"/a"],
    "a body in chunks": [CHUNKED, b"3\r\nhel\r\n", b"2\r\nlo\r\n0\r\n\r\n"],
    "a body with a length": [POST + b"\r\nhe", b"llo"],
    "three requests at once": [GET % b"/a" + GET % b"/b" + GET % b"/c"],
    "40 requests at once": [b"".join(GET % b"/%d" % number for number in range(40))],
    "a request of HTTP/1.0": [b"GET /a HTTP/1.0\r\nhost: h\r\n\r\n"],
    "two requests and a part of a third": [GET % b"/a" + GET % b"/b" + GET[:9] % b"/c", GET[9:] % ()],
    "a request and a part of another": [GET % b"/a" + GET[:9] % b"/b"],
    "a request and no protocol": [GET % b"/a", b"\x16\x03\x01 tls\r\n\r\n"],
    "a read, a post and a read": [GET % b"/r" + POST + b"\r\nhello" + GET % b"/c"],
    "a length and chunks": [POST + b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n"],
    "two lengths": [POST + b"content-length: 6\r\n\r\nhello"],
    "a bad chunk": [CHUNKED, b"zz\r\nhel\r\n"],
    "no protocol": [b"\x16\x03\x01 tls\r\n\r\n"],
    "a head that is too large": [b"GET /a HTTP/1.1\r\nhost: h\r\nx: " + b"y" * 3000 + b"\r\n\r\n"],
    "a body that is declared too large": [
        b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 9000\r\n\r\nhello"
    ],
    "chunks that are too many": [CHUNKED] + [b"800\r\n" + b"x" * 2048 + b"\r\n"] * 4,
    "a HEAD request": [b"HEAD /a HTTP/1.1\r\nhost: h\r\n\r\n"],
    "a request that asks to close": [b"GET /a HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"],
    "half a head": [b"GET /a HTTP/1.1\r\nho"],
}

LARGE_ANSWER_BYTES = 16_000_000


class Answers:
    """Collects the answers that a parser finds."""

    def __init__(self):
        self.found = []
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""

    def on_body(self, data):
        """Collect a part of the body."""
        self.body += data

    def on_message_complete(self):
        """Note an answer, unless it is interim."""
        if self.parser.get_status_code() == 100:
            return
        self.found.append(f"{self.parser.get_status_code()} {self.body.decode()}".strip())
        self.body = b""


class Caller(threading.Thread):
    """Sends parts, with the pauses in seconds that are among them, and reads until nothing more comes.

    With ``half_closes``, it closes its sending direction after the parts, and begins to read
    ``read_delay`` seconds later.
    """

    def __init__(self, address, parts, patience, half_closes=False, read_delay=0.0):
        super().__init__(daemon=True)
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.parts, self.patience = parts, patience
        self.half_closes, self.read_delay = half_closes, read_delay
        self.received = b""
        self.ended = False
        self.start()

    def run(self):
        """Do the work of the thread."""
        self.sock.settimeout(self.patience)
        try:
            for part in self.parts:
                if isinstance(part, float):
                    time.sleep(part)
                    continue
                self.sock.sendall(part)
                time.sleep(0.002)
            if self.half_closes:
                self.sock.shutdown(socket.SHUT_WR)
                time.sleep(self.read_delay)
            while data := self.sock.recv(65_536):
                self.received += data
            self.ended = True
        except OSError:
            return


def start_entry(context, handle):
    context.entry = HttpEntry()
    context.loopback = Loopback(context.entry)
    context.add_cleanup(context.loopback.stop)
    context.address = free_address()
    context.entry.limits = LIMITS
    context.entry.listen(context.address, handle)


def echo(request):
    text = f"{request.target} {request.body.decode()}".strip()
    request.respond(200, [("x-echo", "1")], text.encode())


@given("an entry that echoes path and body")
def echoing(context):
    start_entry(context, echo)


@given("an entry that serves reports, readiness and metrics besides its callers")
def several_addresses(context):
    names = ("target_control_address", "ready_address", "metrics_address")
    addresses = {name: free_address() for name in names}
    context.addresses = dict(zip(("reports", "readiness", "metrics"), addresses.values(), strict=True))
    settings = msgspec.structs.replace(SETTINGS, **addresses)
    context.entry = HttpEntry()
    stubs = [
        Stub(name) for name in ("local_target", "range_owner", "gateway", "members", "receiver", "traffic")
    ]
    services = (ReportEndpoint(settings), Readiness(settings), RouterMetrics(settings))
    context.loopback = Loopback(*stubs, context.entry, *services)
    context.add_cleanup(context.loopback.stop)
    context.entry.limits = LIMITS
    context.entry.request_handlers = dict.fromkeys(addresses.values(), echo)


@when("a request beyond the limits on callers is sent slowly for {use}, and another one after a pause")
def sends_beyond_limits(context, use):
    head = b"POST /a HTTP/1.1\r\nx-long: " + b"x" * LIMITS.max_head_bytes
    body = b"x" * (LIMITS.max_body_bytes + 1)
    rest = b"\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)
    parts = [head, 2.0 * LIMITS.head_timeout, rest, 2.0 * LIMITS.idle_timeout, GET % b"/b"]
    caller = context.caller = Caller(context.addresses[use], parts, 0.4)
    context.loopback.run_until(lambda: not caller.is_alive(), 5.0)


@then("both requests are answered")
def both_answered(context):
    assert context.caller.received.count(b"HTTP/1.1 200 OK\r\n") == 2, context.caller.received[:200]


@given("an entry that answers the first of three requests last")
def answers_backwards(context):
    held = []

    def handle(request):
        held.append(request)
        if len(held) == 3:
            for entry in reversed(held):
                echo(entry)

    start_entry(context, handle)


@given("an entry that answers each request after {seconds:g} s")
def answers_slowly(context, seconds):
    def handle(request):
        context.loopback.app.scheduler.call_later(seconds, lambda: echo(request))

    start_entry(context, handle)


@given("an entry that closes the connection with each answer")
def answers_and_closes(context):
    start_entry(context, lambda request: request.respond(200, [], request.target.encode(), close=True))


@then("only the last answer announces the close")
def closes_last(context):
    heads = context.caller.received.split(b"HTTP/1.1 ")[1:]
    assert [b"connection: close" in head for head in heads] == [False, False, True], heads
    assert context.caller.ended


@given("an entry that answers nothing yet")
def answers_nothing(context):
    context.handed = []
    context.left = []

    def handle(request):
        context.handed.append(request)
        request.on_closed = lambda _reason: context.left.append(request)

    start_entry(context, handle)


def send(context, name, patience=0.4):
    context.caller = Caller(context.address, INPUTS[name], patience)
    return context.caller


@when('a caller sends "{name}"')
def sends_input(context, name):
    caller = send(context, name)
    context.loopback.run_until(lambda: not caller.is_alive(), 5.0)


@when('a caller sends "{name}" and waits for {seconds:g} s')
def sends_and_waits(context, name, seconds):
    caller = send(context, name, seconds)
    context.loopback.run_until(lambda: not caller.is_alive(), 5.0)


@when('a caller sends "{name}", closes its sending direction, and waits for {seconds:g} s')
def sends_and_half_closes(context, name, seconds):
    caller = context.caller = Caller(context.address, INPUTS[name], seconds, half_closes=True)
    context.loopback.run_until(lambda: not caller.is_alive(), 8.0)


@then("its connection is closed after them")
def closed_after(context):
    assert context.caller.ended
    context.loopback.run_until(lambda: not context.entry.connections, 0.5)


@given("an entry that answers 16 MB")
def answers_much(context):
    start_entry(context, lambda request: request.respond(200, [], bytes(LARGE_ANSWER_BYTES)))


@when('a caller sends "{name}", closes its sending direction, and reads from {seconds:g} s later on')
def half_closes_and_reads(context, name, seconds):
    caller = context.caller = Caller(context.address, INPUTS[name], 2.0, True, seconds)
    context.loopback.run_until(lambda: not caller.is_alive(), 8.0)


@then("it gets the whole answer")
def whole_answer(context):
    head, _, body = context.caller.received.rpartition(b"\r\n\r\n")
    assert b"HTTP/1.1 200" in head and len(body) == LARGE_ANSWER_BYTES, len(body)


@when('a caller sends "{name}", closes its sending direction, and leaves {seconds:g} s later')
def half_closes_and_leaves(context, name, seconds):
    host, _, port = context.address.rpartition(":")
    with socket.create_connection((host, int(port))) as caller:
        caller.sendall(b"".join(INPUTS[name]))
        caller.shutdown(socket.SHUT_WR)
        context.loopback.run_for(seconds)
        context.left_early = bool(context.left)


@then("the departure is reported within {seconds:g} s, and not before")
def departure_in_time(context, seconds):
    assert context.handed and not context.left_early
    context.loopback.run_until(lambda: bool(context.left), seconds)


@then("it got no interim response")
def no_interim(context):
    assert b"HTTP/1.1 100" not in context.caller.received


@then('the caller gets the answers "{answers}"')
def gets_answers(context, answers):
    found = Answers()
    data = context.caller.received
    if answers == "200 for each of the 40":
        answers = "; ".join(f"200 /{number}" for number in range(40))
    if answers == "200":
        assert data.startswith(b"HTTP/1.1 200 OK") and data.endswith(b"\r\n\r\n"), data
        return
    found.parser.feed_data(data)
    assert "; ".join(found.found) == answers, found.found


@then("only the read before the post was handed over")
def only_read(context):
    assert [request.target for request in context.handed] == ["/r"]


@when("the first request is answered")
def first_answered(context):
    echo(context.handed[0])
    context.loopback.settle()


@then("only the post was handed over after that")
def only_post(context):
    assert [request.target for request in context.handed] == ["/r", "/a"]


@when(
    "a caller sends {count:d} requests, then half of another, and the other half as the first request is "
    "answered"
)
def sends_past_pipeline(context, count):
    host, _, port = context.address.rpartition(":")
    caller = socket.create_connection((host, int(port)))
    context.add_cleanup(caller.close)
    loopback = context.loopback
    context.sent = [f"/{number}" for number in range(count + 1)]
    *requests, last = [GET % target.encode() for target in context.sent]
    caller.sendall(b"".join(requests))
    loopback.run_until(lambda: len(context.handed) == count)
    caller.sendall(last[:9])
    loopback.run_until(lambda: any(entry.unparsed for entry in context.entry.connections.values()))
    caller.sendall(last[9:])
    time.sleep(0.02)
    echo(context.handed[0])
    # In the same turn of the loop, the poller reports the input.
    (sock,) = context.entry.connections
    context.entry.on_readable(sock)
    loopback.run_for(0.05)
    for request in context.handed[1:]:
        echo(request)
    loopback.run_for(0.05)
    context.received = caller.recv(65_536)


@then("the requests were handed over as they were sent, and none was rejected")
def handed_as_sent(context):
    assert [request.target for request in context.handed] == context.sent, context.handed[-1].target
    assert b"HTTP/1.1 400" not in context.received


@when('a caller sends "{name}" and leaves')
def sends_and_leaves(context, name):
    caller = send(context, name, 0.1)
    context.loopback.run_until(lambda: bool(context.handed))
    caller.sock.close()


@then("the departure is reported within {seconds:g} s")
def departure(context, seconds):
    context.loopback.run_until(lambda: bool(context.left), seconds)


@when("a caller is idle for longer than the limit")
def idle(context):
    context.caller = Caller(context.address, [], 2.0)
    context.loopback.run_until(lambda: not context.caller.is_alive(), 4.0)


@when(
    "a request arrives on a connection that was idle for longer than the limit, just before that is checked"
)
def arrives_idle(context):
    context.caller = Caller(context.address, [], 0.5)
    context.loopback.run_until(lambda: bool(context.entry.connections))
    (connection,) = context.entry.connections.values()
    connection.last_active_at -= LIMITS.idle_timeout + 0.1
    context.caller.sock.sendall(GET % b"/a")
    time.sleep(0.02)
    context.entry.enforce_timeouts()
    context.loopback.run_until(lambda: not context.caller.is_alive())


@then("its connection is closed without an answer")
def closed_idle(context):
    assert context.caller.ended and not context.caller.received


@given("an entry that serves each third request later and refuses the others at once")
def mixed_entry(context):
    context.held = 0

    def handle(request):
        number = int(request.target.rpartition("/")[2])
        connection = request.connection
        context.held = max(context.held, len(connection.pending))
        if number % 3:
            request.respond(404 if number % 3 == 1 else 503, [], b"%d" % number)
        else:
            context.loopback.app.scheduler.call_later(0.0, lambda: request.respond(200, [], b"%d" % number))

    context.entry = HttpEntry()
    context.loopback = Loopback(context.entry)
    context.add_cleanup(context.loopback.stop)
    context.address = free_address()
    context.entry.listen(context.address, handle)


class OtherCaller(threading.Thread):
    """Sends one request after the other on a connection of its own; notes the longest wait in seconds."""

    def __init__(self, address):
        super().__init__(daemon=True)
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), timeout=5.0)
        self.longest, self.count, self.ending = 0.0, 0, False
        self.start()

    def run(self):
        """Do the work of the thread."""
        while not self.ending:
            began = time.monotonic()
            self.sock.sendall(GET % b"/1")
            if not self.sock.recv(4_096):
                raise AssertionError("the connection was closed")
            self.longest, self.count = max(self.longest, time.monotonic() - began), self.count + 1
            time.sleep(0.002)


@when("a caller sends {count:d} requests on one connection, while another sends one after the other")
def long_pipeline(context, count):
    other = context.other = OtherCaller(context.address)
    host, _, port = context.address.rpartition(":")
    sock = socket.create_connection((host, int(port)))
    sock.setblocking(False)
    left = memoryview(b"".join(GET % b"/%d" % number for number in range(count)))
    context.answers, context.asked = Answers(), count
    end = time.monotonic() + 60.0
    while len(context.answers.found) < count and time.monotonic() < end:
        context.loopback.app.tick(0)
        with contextlib.suppress(BlockingIOError):
            left = left[sock.send(left[:65_536]) :] if left else left
        with contextlib.suppress(BlockingIOError):
            context.answers.parser.feed_data(sock.recv(65_536))
    other.ending = True
    context.loopback.run_until(lambda: not other.is_alive(), 6.0)
    sock.close()
    other.sock.close()


@then("each of the {count:d} is answered, in order")
def answered_in_order(context, count):
    statuses = ("200", "404", "503")
    expected = [f"{statuses[number % 3]} {number}" for number in range(count)]
    assert context.answers.found == expected, len(context.answers.found)


@then("at most {most:d} of them were held at a time")
def few_held(context, most):
    assert context.held <= most, context.held


@then("the other caller waited at most {seconds:g} s for an answer")
def other_waited(context, seconds):
    assert context.other.count > 10 and context.other.longest <= seconds, (
        context.other.count, context.other.longest,
    )  # fmt: skip
