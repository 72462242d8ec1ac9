"""Steps on the last moments of a router's planned stop, over real sockets.

They guard against requests that are reset without an answer because nobody read them before the end.
"""

import contextlib
import random
import socket
import threading
import time

import msgspec
import zmq
from behave import given, then, when
from tests.loopback import Loopback, free_address
from tests.router_stubs import FREE, SETTINGS, SentHop, Stub, forward
from tests.router_world import Loop

from hibiscusdrum.internal import codec
from hibiscusdrum.internal.messages import Answered, Declined
from hibiscusdrum.internal.router.gateway import Gateway
from hibiscusdrum.internal.router.hop import Forwarder
from hibiscusdrum.internal.router.local_target import TargetState
from hibiscusdrum.internal.router.members import NodeRow
from hibiscusdrum.internal.router.range_owner import KeyState
from hibiscusdrum.internal.router.routes import HeaderNames, RequestKind, Route, RouteTable, ServiceSpec
from hibiscusdrum.internal.router.selection import Candidate, NodeSelector
from hibiscusdrum.internal.router.stopping import REQUEST_REFUSAL_DELAY_SECONDS, RouterStopping
from hibiscusdrum.internal.transport.http_entry import HttpEntry
from hibiscusdrum.internal.transport.peer import REQUEST_KIND
from hibiscusdrum.internal.transport.peers import PeerTransport

REQUEST = b"GET /a/x HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: a1\r\n\r\n"
# Time in which bytes that were sent on loopback reach the other socket.
DELIVERY_SECONDS = 0.05
SMALL_BUFFER_BYTES = 16_384


@given("a router at the end of its planned stop")
def stopping_router(context):
    start_router(
        context,
        *(Stub(name) for name in ("range_owner", "rings", "metrics")),
        Stub("hop", announce_end=lambda: None, has_queued=False, fit_queue=lambda _: None),
        Stub("members", nodes={}),
        Stub("receiver", jobs={}, has_jobs=False, decline_unsent=lambda: None),
    )
    context.stopping.begin_stop()


def start_router(context, *stubs):
    """Start the entry, the gateway and the stop of a router on loopback, and connect a caller and a node."""
    settings = msgspec.structs.replace(SETTINGS, caller_address=free_address())
    context.settings, context.peer_address = settings, free_address()
    context.peers = PeerTransport(context.peer_address, b"key")
    context.peers.on_request = decline(context.peers)
    context.stopping = RouterStopping(settings)
    target = Stub(
        "local_target",
        state=TargetState.READY,
        last_incarnation="t@1",
        leaving_incarnations=set(),
        last_seen_at=float("inf"),
    )
    context.loopback = Loopback(
        HttpEntry(),
        context.peers,
        target,
        Stub("readiness"),
        Stub("quarantine", active=False, on_held=[]),
        *stubs,
        Gateway(settings, HeaderNames(), NodeSelector("east", "east-1", random.Random(1))),
        context.stopping,
    )
    context.add_cleanup(context.loopback.stop)
    context.caller = connect(settings)
    context.dealer = zmq.Context.instance().socket(zmq.DEALER)
    context.dealer.connect(f"tcp://{context.peer_address}")
    context.add_cleanup(context.dealer.close, 0)
    context.loopback.run_for(DELIVERY_SECONDS)


def decline(peers):
    """Return a handler that declines each request of another node."""

    def on_request(identity, message, _body):
        peers.reply(identity, Declined(message.id, "stopping", False, False, 0.0, FREE))

    return on_request


def connect(settings):
    host, _, port = settings.caller_address.rpartition(":")
    caller = socket.create_connection((host, int(port)))
    caller.setblocking(False)
    return caller


def end_stop(context):
    """Let the time of the stop be over, and decide what to do before anything more is read."""
    time.sleep(DELIVERY_SECONDS)
    context.stopping.stop_started_at -= REQUEST_REFUSAL_DELAY_SECONDS + 0.1
    context.stopping.advance_stop()


@when("a request arrives on {which} as the router is about to end")
def arrives(context, which):
    context.from_node = which == "the connection of another node"
    if context.from_node:
        context.dealer.send_multipart([REQUEST_KIND, codec.encode(forward(1))])
    else:
        if which == "a new connection of a caller":
            context.caller = connect(context.settings)
        context.caller.sendall(REQUEST)
    end_stop(context)


@when("half of a request arrives as the router is about to end, and the other half {seconds:g} s later")
def arrives_in_halves(context, seconds):
    context.from_node = False
    half = len(REQUEST) // 2
    context.caller.sendall(REQUEST[:half])
    context.loopback.run_for(DELIVERY_SECONDS)
    end_stop(context)
    context.loopback.run_for(seconds)
    context.caller.sendall(REQUEST[half:])


def read_answer(context):
    """Return what the caller or the node has received by now."""
    try:
        if context.from_node:
            return context.dealer.recv_multipart(zmq.NOBLOCK)
        return context.caller.recv(65_536)
    except (zmq.Again, BlockingIOError):
        return None


@then("the request is refused as not run, and the router ends within {seconds:g} s")
def refused(context, seconds):
    answers = []
    context.loopback.run_until(lambda: answers.append(read_answer(context)) or answers[-1], seconds)
    if context.from_node:
        declined = codec.decode_request(answers[-1][1])
        assert type(declined) is Declined and not declined.may_have_run, declined
    else:
        assert answers[-1].startswith(b"HTTP/1.1 503 "), answers[-1]
    ends(context, seconds)


@then("the router ends within {seconds:g} s")
def ends(context, seconds):
    if not context.stopping.finished:
        context.stopping.stop_started_at -= REQUEST_REFUSAL_DELAY_SECONDS
    context.loopback.run_until(lambda: context.stopping.finished, seconds)


@when(
    "{count:d} answers of {size:d} MB are sent to another node, which reads nothing until {pause:g} s after "
    "nothing more arrives"
)
def node_reads_late(context, count, size, pause):
    context.node_answers = []
    dealer = zmq.Context.instance().socket(zmq.DEALER)
    dealer.rcvhwm = 1
    dealer.rcvbuf = SMALL_BUFFER_BYTES
    dealer.rcvtimeo = 1_000
    dealer.connect(f"tcp://{context.peer_address}")
    context.add_cleanup(dealer.close, 0)

    def answer(identity, message, _body):
        context.peers.reply(identity, Answered(message.id, 200, (), FREE), bytes(size * 1_000_000))

    def read():
        time.sleep(pause)
        with contextlib.suppress(zmq.Again):
            while len(context.node_answers) < count:
                context.node_answers.append(len(dealer.recv_multipart()[-1]))

    context.peers.on_request = answer
    for number in range(count):
        dealer.send_multipart([REQUEST_KIND, codec.encode(forward(number))])
    context.loopback.run_for(DELIVERY_SECONDS)
    context.reader = threading.Thread(target=read, daemon=True)
    context.reader.start()
    context.expected_answers = [size * 1_000_000] * count
    ends(context, 1.0)


@then("the node gets all of them")
def node_gets_all(context):
    context.reader.join(5.0)
    assert context.node_answers == context.expected_answers, context.node_answers


@given("a router in its planned stop that is connected to another node, which sends it nothing")
def stopping_router_with_peer(context):
    address = free_address()
    context.node = zmq.Context.instance().socket(zmq.ROUTER)
    context.node.bind(f"tcp://{address}")
    context.add_cleanup(context.node.close, 0)
    start_router(
        context,
        *(Stub(name) for name in ("range_owner", "rings", "metrics")),
        Stub("traffic", count_sent=lambda *_: None),
        Stub(
            "members",
            nodes={"n1": NodeRow("n1", "east", "east-1", "s", address)},
            on_change=[],
            region_of=lambda _: "east",
        ),
        Stub("receiver", jobs={}, has_jobs=False, decline_unsent=lambda: None),
        Forwarder(SETTINGS, NodeSelector("east", "east-1", random.Random(1))),
    )
    hop = context.loopback.app.find("hop")
    hop.connect_to_members()
    context.loopback.run_until(lambda: context.peers.is_connected(address))
    context.stopping.begin_stop()


@when("{seconds:g} s after the signal nothing is in flight")
def nothing_in_flight(context, seconds):
    skip_to(context, seconds)


@then("the other node is told that the router ends, at least {seconds:g} s before it does")
def told_before_end(context, seconds):
    told = []

    def receive_message():
        with contextlib.suppress(zmq.Again):
            message = codec.decode_request(context.node.recv_multipart(zmq.NOBLOCK)[2])
            told.append((type(message).__name__, time.monotonic()))
        return context.stopping.finished

    context.loopback.run_until(receive_message, 1.5)
    ended = time.monotonic()
    assert [name for name, _ in told] == ["Closing"] and ended - told[0][1] >= seconds, (told, ended)


@given("a router in its planned stop, which knows a node to serve requests")
def stopping_router_with_node(context):
    context.hop = SentHop()
    context.local_receiver = Stub(
        "receiver",
        jobs={},
        has_jobs=False,
        decline_unsent=lambda: None,
        set_route_table=lambda _: None,
        reported_rate=lambda: 0.0,
    )
    start_router(
        context,
        context.hop,
        context.local_receiver,
        Stub("range_owner", set_partitioned=lambda _: None),
        Stub("rings"),
        Stub("metrics", count_ended=lambda *_: None, count_client_error=lambda *_: None),
        Stub(
            "members",
            nodes={"n1": None},
            candidates=lambda *_: [Candidate("n1", "east", "east-1")],
            region_of=lambda _: "east",
        ),
    )
    route = Route("r", "h.example", "/a/", RequestKind.IDEMPOTENT, (("s", 1.0),))
    context.loopback.app.find("gateway").set_route_table(RouteTable.build(1, [route], [ServiceSpec("s")]))
    context.stopping.begin_stop()


def skip_to(context, seconds):
    """Let the stop have begun some seconds ago, and advance it."""
    context.stopping.stop_started_at = time.monotonic() - seconds
    context.stopping.advance_stop()


def send_request(context, seconds=2.0, caller=None):
    deadline = b"x-deadline-ms: %d\r\n\r\n" % round(seconds * 1000)
    (caller or context.caller).sendall(REQUEST.removesuffix(b"\r\n") + deadline)


def wait_for_forward(context, count=1):
    context.loopback.run_until(lambda: len(context.hop.sent) >= count, 1.0)
    return context.hop.sent[-1]


def answer_forward(context, body=b"done"):
    _, sent, _, reply = context.hop.sent[-1]
    reply(Answered(sent.id, 200, (), FREE), body)


def receive(caller):
    """Return what a socket has received, None without anything."""
    try:
        return caller.recv(65_536)
    except BlockingIOError:
        return None


@when("{seconds:g} s after the signal {state}, and a request with {limit:g} s arrives on an open connection")
def arrives_in_stop(context, seconds, state, limit):
    context.local_receiver.has_jobs = state == "the local target still runs a request"
    send_request(context, limit)
    time.sleep(DELIVERY_SECONDS)
    skip_to(context, seconds)


@then("the request is sent to the node, and the router does not end before it has answered")
def served_before_end(context):
    wait_for_forward(context)
    context.loopback.run_for(0.3)
    assert not context.stopping.finished
    context.local_receiver.has_jobs = False
    answer_forward(context)
    answers = []
    context.loopback.run_until(lambda: answers.append(receive(context.caller)) or answers[-1], 1.0)
    assert answers[-1].startswith(b"HTTP/1.1 200 ") and b"connection: close" in answers[-1], answers[-1]
    context.caller.close()
    context.loopback.run_until(lambda: context.stopping.finished, 1.5)


@when(
    "{seconds:g} s after the signal a request on an open connection is answered each {gap:g} s, "
    "{times:d} times"
)
def used_in_stop(context, seconds, gap, times):
    callers = [connect(context.settings) for _ in range(times)]
    context.loopback.run_for(DELIVERY_SECONDS)
    skip_to(context, seconds)
    for count, caller in enumerate(callers, start=1):
        send_request(context, caller=caller)
        wait_for_forward(context, count)
        answer_forward(context)
        context.loopback.run_for(gap)
        assert receive(caller).startswith(b"HTTP/1.1 200 "), count
        caller.close()
        assert not context.stopping.finished or count == times, count


@then("the router ends only after the last of them, within {seconds:g} s")
def ends_after_last(context, seconds):
    context.loopback.run_until(lambda: context.stopping.finished, seconds)


@when("a request is answered just before the router ends, and its caller sends another one meanwhile")
def sends_behind_close(context):
    send_request(context)
    wait_for_forward(context)
    answer_forward(context, b"x" * 50_000)
    send_request(context)
    time.sleep(DELIVERY_SECONDS)
    skip_to(context, 2.4)
    context.loopback.run_until(lambda: context.stopping.finished, 3.0)


@then("the caller reads the whole answer, and then the end of the connection")
def reads_whole_answer(context):
    context.caller.settimeout(1.0)
    received = b""
    while data := context.caller.recv(65_536):
        received += data
    assert received.endswith(b"x" * 50_000), len(received)


class SlowCaller(threading.Thread):
    """Sends a request, reads the answer at a constant rate, and sends the request again meanwhile."""

    def __init__(self, address, bytes_per_second, repeat_after):
        super().__init__(daemon=True)
        host, _, port = address.rpartition(":")
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        self.sock.settimeout(5.0)
        self.sock.connect((host, int(port)))
        self.bytes_per_second, self.repeat_after = bytes_per_second, repeat_after
        self.received = 0
        self.start()

    def run(self):
        """Do the work of the thread."""
        self.sock.sendall(REQUEST)
        started_at, repeated = time.monotonic(), False
        with contextlib.suppress(OSError):
            while data := self.sock.recv(SMALL_BUFFER_BYTES):
                self.received += len(data)
                time.sleep(max(0.0, started_at + self.received / self.bytes_per_second - time.monotonic()))
                if not repeated and time.monotonic() - started_at > self.repeat_after:
                    self.sock.sendall(REQUEST)
                    repeated = True


@when(
    "a caller reads an answer of {size:g} MB, given {when}, in {seconds:g} s, and sends another request "
    "after {pause:g} s"
)
def reads_slowly(context, size, when, seconds, pause):
    gateway = context.loopback.app.find("gateway")
    gateway.stopping = when == "in the stop"
    context.answer_bytes = round(size * 1e6)
    context.slow_caller = SlowCaller(context.settings.caller_address, context.answer_bytes / seconds, pause)
    wait_for_forward(context)
    answer_forward(context, b"x" * context.answer_bytes)
    gateway.stopping = True
    skip_to(context, 2.4)
    caller = context.slow_caller
    context.loopback.run_until(lambda: not caller.is_alive() or len(context.hop.sent) > 1, 4.0)
    if len(context.hop.sent) > 1:
        answer_forward(context)
    context.loopback.run_until(lambda: not caller.is_alive(), 4.0)


@when("{late:g} s after the signal a caller begins to read an answer of {size:g} MB in {seconds:g} s")
def reads_at_end(context, late, size, seconds):
    context.loopback.app.find("gateway").stopping = True
    context.answer_bytes = round(size * 1e6)
    context.slow_caller = SlowCaller(context.settings.caller_address, context.answer_bytes / seconds, 60.0)
    wait_for_forward(context)
    answer_forward(context, b"x" * context.answer_bytes)
    skip_to(context, late)
    context.loopback.run_until(lambda: not context.slow_caller.is_alive(), 4.0)


@when("its route's answers have {size:d} bytes, and the link needs {seconds:g} s for one and those that wait")
def link_needs(context, size, seconds):
    context.loopback.app.find("gateway").answer_sizes.observe("r", size)
    context.hop.link_seconds = seconds


@then("the caller has read the whole answer, and the router ends within {seconds:g} s")
def slow_caller_served(context, seconds):
    assert context.slow_caller.received > context.answer_bytes, context.slow_caller.received
    ends_after_last(context, seconds)


@when("{late:g} s after the signal a request with {limit:g} s arrives while the local target runs a request")
def arrives_late(context, late, limit):
    context.local_receiver.has_jobs = True
    skip_to(context, late)
    send_request(context, limit)
    context.loopback.run_for(0.1)


@then("the request is sent with at most {seconds:g} s")
def sent_with(context, seconds):
    _, sent, *_ = wait_for_forward(context)
    assert seconds - 0.3 <= sent.remaining_seconds <= seconds, sent.remaining_seconds


@then("the request is refused at once as not run")
def refused_at_once(context):
    answer = receive(context.caller)
    assert answer and answer.startswith(b"HTTP/1.1 503 ") and b"retry-after" in answer, answer
    assert not context.hop.sent


@then("the caller gets the status {status:d} within {seconds:g} s, before the router ends")
def answered_before_end(context, status, seconds):
    answers = []
    context.loopback.run_until(lambda: answers.append(receive(context.caller)) or answers[-1], seconds)
    assert answers[-1].startswith(b"HTTP/1.1 %d " % status), answers[-1]
    assert not context.stopping.finished


@when("a request with {limit:g} s is sent to the target of a router that has {left:g} s left for requests")
def sent_by_ending_router(context, limit, left):
    context.receiver.service_seconds_left = lambda: left
    context.deadlines = []
    request = context.target.request

    def note_deadline(*arguments):
        context.deadlines.append(int(arguments[3][context.receiver.header_names.deadline_ms]) / 1000)
        return request(*arguments)

    context.target.request = note_deadline
    context.receiver.on_forward(forward(1, deadline=limit), b"", 0.0, lambda *_: None)


@when(
    "a request with {limit:g} s, of a class that takes {service:g} s, arrives at a router that has {left:g} "
    "s left for requests"
)
def longer_than_left(context, limit, service, left):
    context.receiver.service_seconds_left = lambda: left
    request = forward(1, deadline=limit)
    context.receiver.admission.class_service_seconds[request.cost_class] = service
    context.answers = []
    context.receiver.on_forward(request, b"", 0.0, lambda answer, _: context.answers.append(answer))


@then("the target is not sent it, and it is declined as not run, as the router stops")
def declined_stopping(context):
    assert not context.target.arrivals
    (declined,) = context.answers
    assert not declined.may_have_run and declined.reason == "stopping" and declined.retry_after > 0.0, (
        declined
    )


@then("the target is told to stop work at most {seconds:g} s later")
def told_to_stop(context, seconds):
    assert context.deadlines and seconds - 0.3 <= context.deadlines[0] <= seconds, context.deadlines


def stop_receiver(context, left):
    """Let the router of a receiver stop, with some seconds left for requests."""
    app = context.app
    app.add(Stub("gateway", has_pending=False, pending_requests=(), refuse_unsent=lambda: None, closed=True))
    app.add(Stub("readiness"))
    app.add(Stub("entry", unanswered_count=0, has_incoming=False, connections_of=lambda _: []))
    app.add(Stub("peers", has_unread_messages=False))
    context.stopping = app.add(RouterStopping(SETTINGS))
    context.stopping.on_start()
    context.stopping.begin_stop()
    context.stopping.row_removed = True
    context.stopping.stop_started_at -= context.stopping.service_seconds_left() - left


@when("the time of the stopping router is over while a request runs and another {waits}")
def time_over(context, waits):
    receiver = context.receiver
    context.target.waiting = []
    answers = context.answers = {1: [], 2: []}
    receiver.on_forward(forward(1, deadline=20.0), b"", 0.0, lambda answer, _: answers[1].append(answer))
    other = forward(2, deadline=20.0)
    if waits == "waits for its key":
        context.key_state = KeyState.GRANT_PENDING
        other = msgspec.structs.replace(other, key=7)
    elif waits == "waits for its body":
        other = msgspec.structs.replace(other, offered_bytes=40_000)
    receiver.on_forward(other, b"", 0.0, lambda answer, _: answers[2].append(answer))
    assert len(context.target.waiting) == 1 and len(receiver.jobs) == 2
    stop_receiver(context, 0.1)
    for _ in range(25):
        context.app.clock.advance(0.01)
        context.app.scheduler.run_due(Loop())


@then("the other is declined as not run before the router ends, and the first is still awaited")
def other_declined(context):
    assert not context.stopping.finished and not context.answers[1], context.answers
    declined = [answer for answer in context.answers[2] if type(answer) is Declined]
    assert len(declined) == 1 and not declined[0].may_have_run, context.answers[2]


@when("a request with {limit:g} s that was sent before the signal is unanswered {late:g} s after it")
def unanswered_at_end(context, limit, late):
    stopping = context.stopping
    stopping.stop_started_at = time.monotonic() + 60.0
    send_request(context, limit)
    wait_for_forward(context)
    skip_to(context, late)


@when("a request runs and another waits for its slot, the target begins to drain, and the other is cancelled")
def cancelled_while_draining(context):
    receiver = context.receiver
    context.target.waiting = []
    for number in (1, 2):
        request = msgspec.structs.replace(forward(number, deadline=20.0), key=7)
        receiver.on_forward(request, b"", 0.0, lambda *_: None)
    local_target = context.app.find("local_target")
    local_target.mark_leaving(local_target.incarnation)
    assert receiver.admission.queued == 1 and len(context.target.arrivals) == 1
    receiver.cancel(bytes([2]))


@then("the target is not sent the other when the first is answered")
def not_sent_after_cancel(context):
    (answer,) = context.target.waiting
    answer()
    assert len(context.target.arrivals) == 1
