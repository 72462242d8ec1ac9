"""Steps on the router's HTTP entry over real sockets.

They guard against smuggled requests, answers to the wrong request, and callers that hold a daemon up.
"""

import contextlib
import errno
import os
import socket
import struct
import threading
import time
from types import SimpleNamespace
from unittest.mock import patch

import httptools
import msgspec
from behave import given, then, when
from tests.loopback import Loopback, free_address
from tests.router_stubs import SETTINGS, Stub

from hibiscusdrum.internal.router.metrics import RouterMetrics
from hibiscusdrum.internal.router.readiness import Readiness
from hibiscusdrum.internal.router.routes import EntryLimits
from hibiscusdrum.internal.transport.entry_connection import INTERIM_RESPONSE, MAX_UNPARSED_BYTES
from hibiscusdrum.internal.transport.http_entry import RECEIVE_BUFFER_BYTES, HttpEntry
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
    "a held request": [GET % b"/held"],
    "half a head": [b"GET /a HTTP/1.1\r\nho"],
    "a post of HTTP/1.0 that expects 100-continue": [
        POST.replace(b"HTTP/1.1", b"HTTP/1.0") + b"expect: 100-continue\r\n\r\nhello"
    ],
    "a request that offers an upgrade": [
        b"GET /a HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\nupgrade: h2c\r\n\r\n"
    ],
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


def start_entry(context, handle, max_connections=None):
    context.entry = HttpEntry()
    context.loopback = Loopback(context.entry)
    context.add_cleanup(context.loopback.stop)
    context.address = free_address()
    context.entry.limits = LIMITS
    context.entry.listen(context.address, handle, max_connections=max_connections)


def echo(request):
    text = f"{request.target} {request.body.decode()}".strip()
    request.respond(200, [("x-echo", "1")], text.encode())


@given("an entry that echoes path and body")
def echoing(context):
    start_entry(context, echo)


@given("an entry that serves reports, readiness and metrics besides its callers")
def several_addresses(context):
    settable = ("target_control_address", "ready_address", "metrics_address")
    addresses = {name: free_address() for name in settable}
    context.addresses = dict(zip(("reports", "readiness", "metrics"), addresses.values(), strict=True))
    settings = msgspec.structs.replace(SETTINGS, **addresses)
    context.entry = HttpEntry()
    names = "local_target range_owner gateway members receiver traffic quarantine config_gossip"
    stubs = [Stub(name) for name in names.split()]
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


@when("a caller sends a request, and another whose body it sends after an interim response")
def expects_interim(context):
    host, _, port = context.address.rpartition(":")
    context.caller = SimpleNamespace(received=b"")

    def received_end(end):
        with contextlib.suppress(BlockingIOError):
            context.caller.received += sock.recv(65_536)
        return context.caller.received.endswith(end)

    with socket.create_connection((host, int(port))) as sock:
        sock.setblocking(False)
        sock.sendall(GET % b"/a" + POST + b"expect: 100-continue\r\n\r\n")
        context.loopback.run_until(lambda: received_end(INTERIM_RESPONSE), 2.0)
        sock.sendall(b"hello")
        context.loopback.run_until(lambda: received_end(b"hello"), 2.0)


@then("the interim response came between them")
def interim_between(context):
    statuses = [head[:3] for head in context.caller.received.split(b"HTTP/1.1 ")[1:]]
    assert statuses == [b"200", b"100", b"200"], statuses


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


def connect(context):
    host, _, port = context.address.rpartition(":")
    caller = socket.create_connection((host, int(port)))
    context.add_cleanup(caller.close)
    return caller


@given("an entry that answers the first request after {seconds:g} s and the others at once")
def answers_first_late(context, seconds):
    def handle(request):
        if request.target == "/0":
            context.loopback.app.scheduler.call_later(seconds, lambda: echo(request))
        else:
            echo(request)

    start_entry(context, handle)


def send_padded_requests(context, count, size, half_closes):
    head = b"GET /%d HTTP/1.1\r\nhost: h\r\nx: "
    data = b"".join((head % number).ljust(size - 4, b"y") + b"\r\n\r\n" for number in range(count))
    caller = context.caller = Caller(context.address, [data], 3.0, half_closes)
    context.loopback.run_until(lambda: not caller.is_alive(), 8.0)


@when("a caller sends {count:d} requests of {size:d} bytes at once, and closes its sending direction")
def sends_padded_requests_and_half_closes(context, count, size):
    send_padded_requests(context, count, size, half_closes=True)


@when("a caller sends {count:d} requests of {size:d} bytes at once")
def sends_padded_requests(context, count, size):
    send_padded_requests(context, count, size, half_closes=False)


@then("each of the {count:d} requests was answered")
def all_answered(context, count):
    answers = Answers()
    answers.parser.feed_data(context.caller.received.replace(b"connection: close\r\n", b""))
    assert answers.found == [f"200 /{number}" for number in range(count)], len(answers.found)


@when("a caller sends a read, and behind it 3 MB of an upload that is too large")
def sends_read_and_upload(context):
    upload = b"POST /b HTTP/1.1\r\nhost: h\r\ncontent-length: 3000000\r\n\r\n"
    caller = connect(context)
    caller.setblocking(False)
    left = memoryview(GET % b"/a" + upload + bytes(3_000_000))
    context.received = b""

    def answered_or_ended():
        nonlocal left
        try:
            with contextlib.suppress(BlockingIOError):
                left = left[caller.send(left) :] if left else left
            with contextlib.suppress(BlockingIOError):
                context.received += caller.recv(65_536)
        except OSError:
            return True
        return bool(context.received)

    context.loopback.run_until(answered_or_ended)


@then("the read is answered with 200")
def read_answered(context):
    assert context.received.startswith(b"HTTP/1.1 200 "), context.received[:100]


@then("it gets {count:d} answers")
def gets_count(context, count):
    answers = Answers()
    answers.parser.feed_data(context.caller.received)
    assert answers.found == [f"200 /{number}" for number in range(count)], len(answers.found)


@when("a caller sends requests until reading from it pauses, and leaves")
def pauses_and_leaves(context):
    caller = connect(context)
    caller.setblocking(False)
    requests = memoryview(b"".join(GET % b"/%d" % number for number in range(12_000)))

    def paused():
        nonlocal requests
        with contextlib.suppress(BlockingIOError):
            requests = requests[caller.send(requests) :] if requests else requests
        return any(connection.reading_paused for connection in context.entry.connections.values())

    context.loopback.run_until(paused)
    caller.close()


@when('a caller sends "{name}", closes its sending direction, and resets its connection')
def half_closes_and_resets(context, name):
    caller = connect(context)
    caller.sendall(b"".join(INPUTS[name]))
    caller.shutdown(socket.SHUT_WR)
    context.loopback.run_for(0.2)
    assert context.handed and not context.left
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()


@when("a caller sends small requests for {seconds:g} s without a pause, and reads the answers")
def sends_without_pause(context, seconds):
    caller = connect(context)
    caller.setblocking(False)
    # One request has the same length as any other, so that a part of the data can be repeated.
    requests = b"".join(GET % b"/%04d" % number for number in range(2000))
    offset = context.most_waiting = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        with contextlib.suppress(BlockingIOError):
            offset = (offset + caller.send(requests[offset:])) % len(requests)
        with contextlib.suppress(BlockingIOError):
            caller.recv(65_536)
        context.loopback.app.tick(0)
        for connection in context.entry.connections.values():
            context.most_waiting = max(context.most_waiting, len(connection.unparsed))


@then("at most one read beyond the limit of waiting input was held")
def waiting_limited(context):
    assert context.most_waiting <= MAX_UNPARSED_BYTES + RECEIVE_BUFFER_BYTES, context.most_waiting


@given("an entry that answers 1 MB, closes the connection, and allows {seconds:g} s without progress")
def answers_and_closes_large(context, seconds):
    start_entry(context, lambda request: request.respond(200, [], bytes(1_000_000), close=True))
    context.entry.limits = EntryLimits(idle_timeout=seconds)


@when('a caller sends "{name}", sends it again {seconds:g} s later, and only then reads')
def sends_again_late(context, name, seconds):
    caller = connect(context)
    data = b"".join(INPUTS[name])
    caller.sendall(data)
    context.loopback.run_for(seconds)
    with contextlib.suppress(OSError):
        caller.sendall(data)
    context.loopback.run_for(0.2)
    context.received = b""
    caller.setblocking(False)

    def ended():
        try:
            received = caller.recv(1_000_000)
        except BlockingIOError:
            return False
        except OSError:
            return True
        context.received += received
        return not received

    context.loopback.run_until(ended)


@then("it gets the whole answer of 1 MB")
def gets_megabyte(context):
    _, _, body = context.received.partition(b"\r\n\r\n")
    assert len(body) == 1_000_000, len(body)


@when('a caller sends "{name}", and reads nothing until its connection is closed')
def reads_nothing(context, name):
    connect(context).sendall(b"".join(INPUTS[name]))
    context.loopback.run_until(lambda: any(c.output_buffer for c in context.entry.connections.values()))
    context.loopback.run_until(lambda: not context.entry.connections)


@then("the connection is counted as lost")
def counted_as_lost(context):
    assert sum(context.entry.lost_counts.values()) == 1, context.entry.lost_counts


class ExhaustibleListener(socket.socket):
    """Cannot accept connections while ``exhausted``, as in a process without free descriptors."""

    exhausted = False

    def accept(self):
        """Accept a connection, or fail."""
        if ExhaustibleListener.exhausted:
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        return super().accept()


@given('an entry for at most {count:d} callers that answers all but "/held" at once')
def limited_entry(context, count):
    start_entry(context, lambda request: None if request.target == "/held" else echo(request), count)
    context.entry.limits = EntryLimits()


@when('callers connect that have "{answered}" answered, "{held}" unanswered and "{part}" sent')
def callers_of_all_states(context, answered, held, part):
    context.earlier = [Caller(context.address, INPUTS[name], 3.0) for name in (answered, held, part)]
    context.loopback.run_until(lambda: context.earlier[0].received)


@when('{count:d} more callers connect and send "{what}" {seconds:g} s after that')
def more_callers(context, count, what, seconds):
    context.callers = []
    for _ in range(count):
        context.loopback.run_for(seconds)
        caller = Caller(context.address, INPUTS[what], 3.0)
        context.callers.append(caller)
        context.loopback.run_until(lambda caller=caller: caller.received, 2.0)


@then("each of the {count:d} is answered, and only the first caller has lost its connection")
def only_first_lost(context, count):
    assert [caller.received[:12] for caller in context.callers] == [b"HTTP/1.1 200"] * count
    first, *others = context.earlier
    context.loopback.run_until(lambda: first.ended)
    assert not [caller for caller in others if caller.ended]


@then("the entry has closed {closed:d} idle connections and failed to accept {failed:d} times")
def closed_and_failed(context, closed, failed):
    assert (context.entry.idle_closed_count, context.entry.accept_failures) == (closed, failed)


@when('{count:d} callers each send "{what}"')
def callers_each_send(context, count, what):
    context.callers = [Caller(context.address, INPUTS[what], 3.0) for _ in range(count)]


@then("{count:d} of the requests are handed over in the next {seconds:g} s")
def handed_over_in_total(context, count, seconds):
    context.loopback.run_for(seconds)
    assert context.entry.accepted_count == count, context.entry.accepted_count
    held = sum(len(connection.pending) for connection in context.entry.connections.values())
    assert held == context.entry.open_counts[context.address] == 2, held


@when("the first of these callers leaves")
def first_leaves(context):
    connection = next(iter(context.entry.connections.values()))
    context.entry.connection_lost(connection, "reset")


@given("an entry that echoes path and body, and has no free descriptor for callers")
def exhausted_entry(context):
    with patch.object(socket, "socket", ExhaustibleListener):
        start_entry(context, echo)


@when('a caller sends "{what}" and waits for {patience:g} s while the entry has none for {seconds:g} s')
def sends_while_exhausted(context, what, patience, seconds):
    context.caller = Caller(context.address, INPUTS[what], patience)
    with patch.object(ExhaustibleListener, "exhausted", True):
        context.loopback.run_for(seconds)
    context.loopback.run_until(lambda: context.caller.received)
    assert context.entry.accept_failures, "the entry has not tried"


@then("the entry has tried at most {most:d} times to accept it")
def tried_at_most(context, most):
    assert context.entry.accept_failures <= most, context.entry.accept_failures
