"""Steps on the order and the pacing of what a node sends over the link of its VM, without a network.

They guard against small answers that are late because large ones were sent before them, and against answers
in parts that are lost, mixed up, or kept in memory.
"""

import contextlib
import heapq
import itertools
import random
import socket
import struct
import time
from collections import Counter

import msgspec
from behave import given, then, when
from returns.result import Failure, Success
from tests.loopback import Loopback, free_address
from tests.overload_world import OverloadWorld, ServiceModel
from tests.router_stubs import FREE, SETTINGS, Stub, application, forward, receiver_application
from tests.router_world import Loop

from hibiscusdrum.internal import codec
from hibiscusdrum.internal.load.body_room import BodyRoom
from hibiscusdrum.internal.load.egress import PART_SECONDS, EgressQueue, Lane, Outgoing
from hibiscusdrum.internal.messages import Answered, AnswerPart, Body, Declined, Forward, Ping, SendBody
from hibiscusdrum.internal.router.answer_sizes import LinkForecast
from hibiscusdrum.internal.router.hop import UNSENT_REASON, Forwarder
from hibiscusdrum.internal.router.local_target import LocalTarget, TargetHeartbeat, TargetState
from hibiscusdrum.internal.router.members import Members, NodeRow
from hibiscusdrum.internal.router.quarantine import Quarantine
from hibiscusdrum.internal.router.receiver import LINK_FULL_REASON, Receiver
from hibiscusdrum.internal.router.routes import HeaderNames
from hibiscusdrum.internal.router.selection import Candidate, LoadReport, NodeSelector
from hibiscusdrum.internal.router.stopping import EXIT_MARGIN_SECONDS, RouterStopping
from hibiscusdrum.internal.router.traffic import Traffic
from hibiscusdrum.internal.transport.http_connection import FailureKind, HttpFailure, HttpResponse
from hibiscusdrum.internal.transport.http_entry import HttpEntry

LARGE_BYTES, SMALL_BYTES = 90_000, 400
STEP_SECONDS = 0.001
# Segments of an Ethernet in place of those of the loopback interface, and a receive buffer of a few of them.
SEGMENT_BYTES, WINDOW_BYTES = 1_460, 32_768
# Time limit of answers that are due before the responses to the caller, which have 5 s.
EARLIER_SECONDS = 4.0
# What a planned stop calls of the gateway, the receiver and the readiness check.
STOP_CALLS = ("close", "refuse_unsent", "decline_unsent", "end_unanswered")


class LinkModel:
    """A link behind an egress queue; bytes leave it in the order in which they were handed over.

    Attributes
    ----------
    sent : list of (bytes, Lane, float)
        Id and lane of each complete answer, and the seconds until its last byte had left the link.
    """

    def __init__(self, rate, overhead, late, seed=7):
        self.egress = EgressQueue(rate)
        self.rate, self.overhead, self.late = rate, overhead, late
        self.rng = random.Random(seed)
        self.free_at = 0.0
        self.due_at = float("inf")
        self.queued_at = {}
        self.sent = []
        self.calls = []
        self.counter = itertools.count()

    def hand_over(self, key, lane, size, last, now):
        """Put bytes on the link."""
        self.egress.charge(size, now)
        self.free_at = max(self.free_at, now) + size * (1.0 + self.overhead) / self.rate
        if last:
            self.sent.append((key, lane, self.free_at - self.queued_at[key]))

    def send(self, lane, size, now, deadline=60.0):
        """Answer a request."""
        key = next(self.counter).to_bytes(4, "big")
        self.queued_at[key] = now
        if self.egress.passes(lane, size, now):
            self.hand_over(key, lane, size, True, now)
            return
        self.egress.push(Outgoing(key, lane, size, now + deadline, None), now)
        self.send_due(now)

    def send_due(self, now):
        """Send what is due, and set a timer for the rest."""
        while (part := self.egress.next_part(now)) is not None:
            entry, first, count = part
            self.hand_over(entry.key, entry.lane, count, first + count == entry.size, now)
        due = self.egress.next_due_seconds(now)
        self.due_at = float("inf")
        if due is not None:
            self.due_at = now + due + self.rng.uniform(0.0, self.late)
            self.at(self.due_at, self.send_if_due)

    def send_if_due(self, now):
        """Send what is due, unless the timer was set anew."""
        if now >= self.due_at:
            self.send_due(now)

    def at(self, time, call):
        """Call a function at a time, which it is given."""
        heapq.heappush(self.calls, (time, next(self.counter), call))

    def arrivals(self, lane, size, rate, end):
        """Let answers of a size be sent at a mean rate until a time."""

        def arrive(now):
            if now < end:
                self.send(lane, size(), now)
                self.at(now + self.rng.expovariate(rate), arrive)

        self.at(self.rng.expovariate(rate), arrive)

    def run(self):
        """Run until nothing is left to do."""
        while self.calls:
            now, _, call = heapq.heappop(self.calls)
            call(now)


@given(
    "a link of {rate:d} bytes a second, {overhead:g} of which headers take, and timers up to {late:g} s late"
)
def link_model(context, rate, overhead, late):
    context.link = LinkModel(rate, overhead, late)


@when(
    "answers of 90 kB use {share:d} in 100 of it for {seconds:d} s, "
    "and {small:d} small ones a second are sent too"
)
def link_used(context, share, seconds, small):
    link = context.link
    rate = link.rate * share / 100 / LARGE_BYTES
    link.arrivals(Lane.BULK, lambda: int(link.rng.uniform(0.5, 1.5) * LARGE_BYTES), rate, seconds)
    link.arrivals(Lane.SMALL, lambda: SMALL_BYTES, small, seconds)
    link.run()


@then("each small answer has left the link after {most:g} s, and all large ones in the end")
def small_in_time(context, most):
    link = context.link
    small = [seconds for _, lane, seconds in link.sent if lane is Lane.SMALL]
    assert len(small) > 1000 and max(small) <= most, (len(small), max(small))
    assert len(link.sent) == len(link.queued_at) and not link.egress.entries


@given("a queue for a link of {rate:d} bytes a second")
def egress_queue(context, rate):
    context.egress = EgressQueue(rate)


def push(egress, key, lane, size, deadline, now=0.0):
    egress.push(Outgoing(key, lane, size, deadline, b"answer"), now)


def send_all(egress, now, end=10.0):
    """Send all that is queued as the link permits; return the ids in the order of their last parts."""
    done = []
    while now < end:
        while (part := egress.next_part(now)) is not None:
            entry, first, count = part
            egress.charge(count, now)
            if first + count == entry.size:
                done.append(entry.key)
        now += STEP_SECONDS
    return done


@when("large answers, a large answer to a nested request and many small ones wait")
def several_wait(context):
    push(context.egress, b"late", Lane.BULK, LARGE_BYTES, 9.0)
    push(context.egress, b"soon", Lane.BULK, LARGE_BYTES, 5.0)
    push(context.egress, b"nested", Lane.NESTED, LARGE_BYTES, 7.0)
    for number in range(50):
        push(context.egress, b"%d" % number, Lane.SMALL, 1_000, 8.0)


@then("the small ones are sent first, then the nested one, and then those with the earliest deadlines")
def in_order(context):
    small = [b"%d" % number for number in range(50)]
    assert send_all(context.egress, 0.0) == [*small, b"nested", b"soon", b"late"]


@when("one of three large answers is cancelled after its first part, and the deadline of another passes")
def one_cancelled(context):
    egress = context.egress
    for key, deadline in ((b"cancelled", 1.0), (b"expired", 0.001), (b"third", 5.0)):
        push(egress, key, Lane.BULK, LARGE_BYTES, deadline)
    egress.free_at = 0.002
    entry, _, count = egress.next_part(0.002)
    assert entry.key == b"cancelled" and count < LARGE_BYTES
    assert egress.remove(b"cancelled") is entry and egress.remove(b"cancelled") is None
    assert entry.item is None, "a cancelled answer stays in memory until its deadline"


@then("only the third one is sent completely, and nothing is counted as waiting")
def third_sent(context):
    assert send_all(context.egress, 0.003) == [b"third"]
    assert not context.egress.queued_bytes and not context.egress.entries
    assert context.egress.next_due_seconds(10.0) is None


@when("a large answer waits while the process is paused for {seconds:g} s")
def paused(context, seconds):
    push(context.egress, b"large", Lane.BULK, 10 * LARGE_BYTES, 60.0)
    context.sent = 0
    while (part := context.egress.next_part(seconds)) is not None:
        context.egress.charge(part[2], seconds)
        context.sent += part[2]


@then("at most {seconds:g} s of the link are sent at once")
def not_flooded(context, seconds):
    assert 0 < context.sent <= seconds * context.egress.rate, context.sent


class LinkNode:
    """One of two nodes, whose messages to the other are kept until they are delivered."""

    def __init__(self, name, other, rate):
        settings = msgspec.structs.replace(SETTINGS, node=name, link_bytes_per_second=float(rate))
        self.name, self.other = name, None
        self.outbox = []
        self.messages = []
        self.connected = True
        self.app = app = application()
        peers = Stub("peers", try_send_request=self.send, reply=self.reply)
        peers.is_connected = lambda _: self.connected
        peers.peer = lambda *_arguments, **_options: None
        peers.disconnect_peer = lambda _: None
        app.add(peers)
        app.add(Stub("table"))
        app.add(Traffic(settings))
        members = app.add(Members(settings))
        members.nodes[other] = NodeRow(other, "east", "d", "other", "127.0.0.1:9")
        self.hop = app.add(Forwarder(settings, NodeSelector("east", "east-1", random.Random(1))))
        self.hop.on_start()
        self.hop.connect_to_members()
        self.requests = []
        self.hop.on_forward = lambda message, _body, _transit, reply: self.requests.append((message, reply))
        self.hop.on_cancel = lambda *_: None
        self.body = b""
        self.hop.on_body_part = self.on_body

    def on_body(self, _request_id, first, part):
        """Take a part of a body."""
        assert first == len(self.body)
        self.body += part

    def send(self, _address, message, body=b""):
        """Send a message to the other node."""
        self.messages.append(message)
        self.outbox.append((True, message, body))
        return len(body) + 100 if self.connected else 0

    def reply(self, _identity, message, body=b""):
        """Reply to the other node."""
        self.messages.append(message)
        self.outbox.append((False, message, body))
        return len(body) + 100

    def deliver(self, keep=lambda _message: True):
        """Bring the messages so far to the other node."""
        outbox, self.outbox = self.outbox, []
        for is_request, message, body in outbox:
            if not keep(message):
                continue
            message = codec.decode_request(codec.encode(message))
            if is_request:
                self.other.hop.on_request(self.name.encode(), message, body)
            else:
                self.other.hop.on_reply(message, body)


@given("two nodes, one of them on a link of {rate:d} bytes a second")
def two_nodes(context, rate):
    context.node, context.entry = LinkNode("far", "near", rate), LinkNode("near", "far", 0)
    context.node.other, context.entry.other = context.entry, context.node
    context.outcomes = []
    context.elapsed = 0.0
    context.keep = lambda _message: True


def run(context, seconds, until=lambda: False):
    """Let time pass on both nodes; return the seconds until a condition held."""
    for step in range(round(seconds / STEP_SECONDS)):
        if until():
            return step * STEP_SECONDS
        for node in (context.node, context.entry):
            node.app.clock.advance(STEP_SECONDS)
            node.app.scheduler.run_due(Loop())
            node.deliver(context.keep)
    return seconds


def ask(context, number, takes_parts=True, deadline=5.0):
    """Send a request from the entry node, and return the reply function of the other one."""

    def outcome(answer, body):
        context.outcomes.append((number, answer, body))

    request = msgspec.structs.replace(forward(number, deadline=deadline), repeatable=True)
    assert context.entry.hop.send("far", request, b"", outcome)
    if not takes_parts:
        _, message, body = context.entry.outbox[-1]
        context.entry.outbox[-1] = True, msgspec.structs.replace(message, takes_parts=False), body
    context.entry.deliver()
    context.node.messages.clear()
    return context.node.requests[-1][1]


def answer(number, size, reply):
    body = random.Random(number).randbytes(size)
    reply(Answered(bytes([number]), 200, (), FREE), body)
    return body


@when("it answers a request of the other with {size:d} bytes")
def answers(context, size):
    context.body = answer(1, size, ask(context, 1))


@when("it answers a request of the other, which knows no parts, with {size:d} bytes")
def answers_earlier_release(context, size):
    context.body = answer(1, size, ask(context, 1, takes_parts=False))


@when("it answers a request of the other with {large:d} bytes, and another one with {small:d} bytes")
def answers_both(context, large, small):
    reply = ask(context, 2)
    context.body = answer(1, large, ask(context, 1))
    run(context, 0.03)
    context.elapsed = 0.03
    answer(2, small, reply)


@when("it answers a request of the other with {size:d} bytes, and no ping is answered")
def answers_without_pong(context, size):
    context.keep = lambda message: type(message) is not Ping
    context.body = answer(1, size, ask(context, 1))


@then("{count:d} message was sent at once, and the other node has the answer")
def sent_at_once(context, count):
    assert len(context.node.messages) == count
    has_answer(context)


@then("the other node has the answer")
def has_answer(context):
    context.node.deliver()
    assert [(number, body) for number, _, body in context.outcomes] == [(1, context.body)]
    assert not context.entry.hop.outstanding and not context.entry.hop.held_bytes()


@then("the small answer arrives first, and the large one is complete after {least:g} to {most:g} s")
def small_first(context, least, most):
    large_complete(context, least, most)
    assert [number for number, *_ in context.outcomes] == [2, 1]


@then("the large answer is complete after {least:g} to {most:g} s")
def large_complete(context, least, most):
    seconds = run(context, 2.0 * most, lambda: any(number == 1 for number, *_ in context.outcomes))
    seconds += context.elapsed
    assert least <= seconds <= most, seconds
    assert context.outcomes[-1][2] == context.body
    assert not context.node.hop.egress.entries and not context.entry.hop.held_bytes()


@when("{event} between two parts")
def event_between_parts(context, event):
    run(context, 0.05)
    entry = context.entry
    assert entry.hop.held_bytes() and not context.outcomes
    if event == "a part is lost":
        context.node.outbox.clear()
        seen = []
        context.keep = lambda message: type(message) is not AnswerPart or seen.append(1) or len(seen) != 2
    elif event == "the peer falls silent":
        context.keep = lambda _message: False
    elif event == "the connection is lost":
        entry.connected = False
        context.keep = lambda _message: False
    else:
        entry.hop.memory.held_limit = 1
    run(context, 2.0)


@then("the request is declined once, as one that may have run")
def declined_once(context):
    assert [type(outcome) for _, outcome, _ in context.outcomes] == [Declined], context.outcomes
    assert context.outcomes[0][1].may_have_run


@then("nothing is kept of the answer")
def nothing_kept(context):
    assert not context.entry.hop.held_bytes() and not context.node.hop.held_bytes()


@when("the other node cancels the request after {seconds:g} s")
def cancels(context, seconds):
    run(context, seconds)
    context.entry.hop.cancel(bytes([1]))
    context.entry.deliver()
    context.node.messages.clear()


@then("no more parts are sent, and neither node keeps anything")
def no_more_parts(context):
    run(context, 0.5)
    assert not context.node.messages and not context.outcomes
    nothing_kept(context)


@then("it does not count as idle")
def not_idle(context):
    assert context.node.hop.has_queued


@when("its process stops")
def process_stops(context):
    context.node.hop.on_stop()
    assert not context.node.hop.has_queued


@when("it sends a request with a body of {size:d} bytes, which the other node requests whole")
def sends_body(context, size):
    reply = ask(context, 2)
    node, entry = context.node, context.entry
    context.body = random.Random(1).randbytes(size)
    assert node.hop.send("near", forward(1), context.body, lambda *_: None)
    node.deliver()
    node.messages.clear()
    entry.hop.on_body_part = entry.on_body
    entry.requests[-1][1](SendBody(bytes([1]), 0, size), b"")
    entry.deliver()
    run(context, 0.03)
    context.reply = reply


@then("a small answer that it sends meanwhile has at most {seconds:g} s of the link ahead")
def small_beside_body(context, seconds):
    node = context.node
    assert node.hop.egress.backlog_seconds(node.hop.now) <= seconds + PART_SECONDS / 10
    answer(2, SMALL_BYTES, context.reply)
    assert type(node.messages[-1]) is Answered


@then("the request cannot have run until the other node has the whole body")
def body_unsent_until_last(context):
    node, entry = context.node, context.entry
    run(context, 0.5, lambda: not node.hop.has_unsent_body(bytes([1])))
    assert entry.body == context.body and sum(type(message) is Body for message in node.messages) > 1
    assert type(node.requests[0][0]) is Forward


class TargetModel(LinkModel):
    """A target with free slots whose answers cross a link, and the admission of its requests by their bytes.

    Attributes
    ----------
    refused : list of (Lane, float, float, float)
        Lane, time, goal and retry-after in seconds of each refusal.
    late : int
        Admitted answers that did not leave the link before their deadline.
    """

    service_seconds = 0.04

    def __init__(self, rate, spread, seed):
        super().__init__(rate, 0.0, 0.001, seed)
        self.forecast = LinkForecast(self.egress)
        self.spread = spread
        self.refused, self.deadlines = [], {}
        self.bytes = 0
        for _ in range(50):
            self.forecast.sizes.observe("large", self.size("large"))
            self.forecast.sizes.observe("small", SMALL_BYTES)

    def size(self, cost_class):
        """Return the size of an answer."""
        if cost_class == "small":
            return SMALL_BYTES
        return int(LARGE_BYTES * self.rng.uniform(1.0 - self.spread, 1.0 + self.spread))

    def late_seconds(self, cost_class, goal, limit, now):
        """Return by how much an answer would be late."""
        ready_at, nested = now + self.service_seconds, cost_class == "small"
        return self.forecast.late_seconds(cost_class, nested, ready_at, now + goal, now + limit, now)

    def ask(self, cost_class, goal, limit, now):
        """Let a request arrive."""
        late = self.late_seconds(cost_class, goal, limit, now)
        if late:
            self.refused.append((cost_class, now, late))
            return
        key = next(self.counter).to_bytes(4, "big")
        self.forecast.add(key, cost_class, cost_class == "small")
        self.deadlines[key] = now + limit

        def answer_request(answered_at):
            size = self.size(cost_class)
            self.forecast.remove(key)
            self.forecast.sizes.observe(cost_class, size)
            self.bytes += size
            self.queued_at[key] = answered_at
            lane = Lane.SMALL if cost_class == "small" else Lane.BULK
            if self.egress.passes(lane, size, answered_at):
                self.hand_over(key, lane, size, True, answered_at)
            else:
                self.egress.push(Outgoing(key, lane, size, self.deadlines[key], None), answered_at)
                self.send_due(answered_at)

        self.at(now + self.rng.gammavariate(4.0, self.service_seconds / 4.0), answer_request)

    def requests(self, cost_class, rate, goal, limit, end):
        """Let requests arrive at a mean rate until a time."""

        def arrive(now):
            if now < end:
                self.ask(cost_class, goal, limit, now)
                self.at(now + self.rng.expovariate(rate), arrive)

        self.at(self.rng.expovariate(rate), arrive)


@given(
    "a link of {rate:d} bytes a second behind a target with free slots, "
    "whose answers vary by {spread:g}, with seed {seed:d}"
)
def target_model(context, rate, spread, seed):
    context.target = TargetModel(rate, spread, seed)


@when(
    "large answers are asked for at {load:g} times its rate for {seconds:d} s, "
    "with a goal of {goal:g} s and {limit:g} s to wait"
)
def large_asked(context, load, seconds, goal, limit):
    target = context.target
    context.seconds, context.goal, context.limit = seconds, goal, limit
    target.requests("large", target.rate * load / LARGE_BYTES, goal, limit, seconds)


@when("{rate:d} small answers to nested requests a second")
def nested_asked(context, rate):
    context.target.requests("small", rate, 0.865, 0.865, context.seconds)


@then("no admitted answer arrives after its deadline, and the nested ones are not refused")
def none_late(context):
    target = context.target
    target.run()
    times = {key: target.queued_at[key] + seconds for key, _, seconds in target.sent}
    late = [times.get(key, 0.0) - at for key, at in target.deadlines.items() if not times.get(key, 1e9) <= at]
    assert not late, (len(late), max(late), len(target.deadlines))
    assert not [entry for entry in target.refused if entry[0] == "small"]
    assert target.refused


@then("the link is used to at least {share:d} in 100")
def link_is_used(context, share):
    assert context.target.bytes >= share / 100 * context.target.rate * context.seconds


@then("who comes back when told is admitted, with {seconds:g} s of the link filled at the end of the load")
def admitted_again(context, seconds):
    target, now = context.target, context.seconds + context.limit
    push(target.egress, b"w", Lane.BULK, int(seconds * target.rate), 1e9, now)
    late = target.late_seconds("large", context.goal, context.limit, now)
    assert 0.0 < late < seconds
    # A part may have been sent just before.
    send_all(target.egress, now, now + late + PART_SECONDS)
    again = target.late_seconds("large", context.goal, context.limit, now + late + PART_SECONDS)
    assert again == 0.0, (late, again, target.egress.queued_bytes, target.egress.free_at - now - late)


@given("a link of {rate:d} bytes a second that has been full for {seconds:g} s")
def full_link(context, rate, seconds):
    context.rate, context.now = rate, seconds
    context.forecasts = {}
    for waiting in (0.6, 0.05):
        forecast = context.forecasts[waiting] = LinkForecast(EgressQueue(rate))
        for _ in range(50):
            forecast.sizes.observe("large", LARGE_BYTES)
        push(forecast.egress, b"w", Lane.BULK, int(waiting * rate), 1e9, 0.0)


@then(
    "an answer with {left:g} s left for its goal is refused while {long:g} s of bytes wait, "
    "and not while {short:g} s wait"
)
def late_answer(context, left, long, short):
    now = context.now
    late = {
        wait: forecast.late_seconds("large", False, now + 0.2, now + left, now + 6.0, now)
        for wait, forecast in context.forecasts.items()
    }
    assert late[long] > 0.0 and late[short] == 0.0, late


@then("one with {left:g} s left for its goal is admitted in both cases")
def answer_in_time(context, left):
    now = context.now
    for forecast in context.forecasts.values():
        assert forecast.late_seconds("large", False, now + 0.2, now + left, now + 6.0, now) == 0.0


@then("nothing is refused")
def nothing_refused(context):
    context.target.run()
    assert len(context.target.sent) > 100 and not context.target.refused, len(context.target.refused)


@given("a receiver behind a link of {rate:d} bytes a second whose answers have {size:d} bytes")
def receiver_behind_link(context, rate, size):
    app = context.app = receiver_application()
    context.ran = []
    exchange = Stub("exchange", cancel=lambda: None, is_unanswered=False)
    app.add(Stub("http_client", request=lambda *_arguments: context.ran.append(1) or exchange))
    target = app.add(LocalTarget(SETTINGS))
    app.add(Stub("crash_detector"))
    app.add(Quarantine(SETTINGS))
    settings = msgspec.structs.replace(SETTINGS, link_bytes_per_second=float(rate))
    receiver = context.receiver = app.add(Receiver(settings, HeaderNames()))
    receiver.link_forecast = LinkForecast(EgressQueue(float(rate)))
    receiver.on_start()
    target.on_heartbeat(TargetHeartbeat("i-1", "other", "127.0.0.1:1", 100, False, 1), lambda _grant: None)
    receiver.on_first_answer()
    receiver.link_forecast.sizes.observe("large", size)
    receiver.link_forecast.sizes.observe("small", SMALL_BYTES)
    context.replies = []


def arrive(context, number, cost_class="large", origin="peer", limit=2.0):
    request = msgspec.structs.replace(
        forward(number, deadline=limit),
        cost_class=cost_class,
        origin=origin,
        repeatable=True,
        goal_remaining_seconds=limit,
    )
    context.receiver.on_forward(request, b"", 0.0, lambda reply, _body: context.replies.append(reply))


@when("{count:d} requests of other nodes with {limit:g} s left arrive at once")
def arrive_at_once(context, count, limit):
    for number in range(count):
        arrive(context, number, limit=limit)
    context.count = count


@then(
    "between {least:d} and {most:d} of them run, "
    "and the others are told at once to come back within {soonest:g} to {latest:g} s"
)
def some_run(context, least, most, soonest, latest):
    assert least <= len(context.ran) <= most, len(context.ran)
    assert len(context.replies) == context.count - len(context.ran)
    for reply in context.replies:
        assert type(reply) is Declined and reply.reason == LINK_FULL_REASON and not reply.may_have_run
        assert soonest <= reply.retry_after <= latest, reply


@then("its outlook tells a wait of {least:g} to {most:g} s for the link")
def outlook_tells(context, least, most):
    assert least <= context.receiver.outlook()[1] <= most, context.receiver.outlook()


@then("a request of its own node and a small one are admitted")
def others_admitted(context):
    ran = len(context.ran)
    arrive(context, 200, origin=SETTINGS.node)
    arrive(context, 201, cost_class="small")
    assert len(context.ran) == ran + 2


@when("the running ones are cancelled")
def running_cancelled(context):
    for request_id in list(context.receiver.jobs):
        context.receiver.cancel(request_id)


@given("two targets, of which the faster one reports a wait of {seconds:g} s for its link")
def two_targets(context, seconds):
    context.selector = NodeSelector("east", "east-1", random.Random(1))
    context.selector.on_report("fast", LoadReport(0, 0, 4, 0.1, link_seconds=seconds), 0.0)
    context.selector.on_report("slow", LoadReport(0, 0, 4, 0.3), 0.0)


def chosen(context, now, bulk):
    candidates = [Candidate(node, "east", "east-1") for node in ("fast", "slow")]
    return context.selector.select(candidates, 0, now, (), (), bulk_answer=bulk)[0].node


@then("a request for a large answer goes to the other one, and one for a small answer to the faster one")
def chosen_by_link(context):
    assert (chosen(context, 0.0, True), chosen(context, 0.0, False)) == ("slow", "fast")


@then("{seconds:g} s later both go to the faster one")
def chosen_later(context, seconds):
    assert (chosen(context, seconds, True), chosen(context, seconds, False)) == ("fast", "fast")


def connect_with_small_window(address):
    """Return a socket whose peer can hand only a small part of a large response to the kernel at once."""
    caller = socket.socket()
    caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    caller.connect(address)
    return caller


@given(
    "a router on a link of {rate:d} bytes a second, "
    "with a caller that asks for {first:d} and then for {second:d} bytes"
)
@given(
    "a router on a link of {rate:d} bytes a second, "
    "with a caller of a {window} window that asks for {first:d} and then for {second:d} bytes"
)
def router_with_caller(context, rate, first, second, window="usual"):
    settings = msgspec.structs.replace(SETTINGS, link_bytes_per_second=float(rate))
    context.peer_replies = []
    peers = Stub("peers", reply=lambda _identity, message, _body: context.peer_replies.append(message) or 500)
    entry, hop = HttpEntry(), Forwarder(settings, NodeSelector("east", "east-1", random.Random(1)))
    members = Stub("members", nodes={}, on_change=[], region_of=lambda _: "east")
    context.loopback = Loopback(peers, Stub("table"), entry, Traffic(settings), members, hop)
    context.add_cleanup(context.loopback.stop)
    context.hop, entry.pacer = hop, hop
    context.bodies = [random.Random(size).randbytes(size) for size in (first, second)]

    def respond(request):
        unread = request.target == "/unread"
        request.link_deadline = time.monotonic() + (EARLIER_SECONDS if unread else 5.0)
        request.respond(200, [], context.unread if unread else context.bodies[int(request.target[1:])])

    address = context.caller_address = free_address()
    entry.listen(address, respond)
    host, _, port = address.rpartition(":")
    connect = connect_with_small_window if window == "small" else socket.create_connection
    context.caller = connect((host, int(port)))
    context.caller.setblocking(False)
    context.add_cleanup(context.caller.close)
    context.caller.sendall(b"".join(b"GET /%d HTTP/1.1\r\nhost: h\r\n\r\n" % number for number in range(2)))
    context.loopback.run_until(lambda: hop.has_queued)
    context.asked_at = time.monotonic()


@when("{seconds:g} s later an answer of {size:d} bytes to another node is ready")
def answer_to_node(context, seconds, size):
    context.loopback.run_for(seconds)
    answer = Answered(b"1", 200, (), FREE)
    context.hop.reply(b"node", forward(1), context.hop.now + 1.0, answer, bytes(size))


@then(
    "the answer to the node is sent at once, "
    "and the caller gets both responses whole after {least:g} to {most:g} s"
)
def both_served(context, least, most):
    assert [type(message) for message in context.peer_replies] == [Answered] and context.hop.has_queued
    caller_gets_both(context, least, most)


@then("the caller gets both responses whole after {least:g} to {most:g} s")
def caller_gets_both(context, least, most):
    caller_is_answered(context, least, most)
    assert not context.hop.has_queued


@then("the caller gets both responses whole after {least:g} to {most:g} s, whatever else waits for the link")
def caller_is_answered(context, least, most):
    received = bytearray()

    def complete():
        with contextlib.suppress(BlockingIOError):
            received.extend(context.caller.recv(1_000_000))
        return received.endswith(context.bodies[1])

    context.loopback.run_until(complete, most)
    assert time.monotonic() - context.asked_at >= least
    heads = [b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) for body in context.bodies]
    assert received == b"".join(head + body for head, body in zip(heads, context.bodies, strict=True))


@given("another caller of a small window that asks for {size:d} bytes, due earlier, and does not read")
def caller_that_does_not_read(context, size):
    context.unread = random.Random(size).randbytes(size)
    host, _, port = context.caller_address.rpartition(":")
    context.other_caller = connect_with_small_window((host, int(port)))
    context.add_cleanup(context.other_caller.close)
    context.other_caller.sendall(b"GET /unread HTTP/1.1\r\nhost: h\r\n\r\n")


@then("the other caller gets its response whole, at the pace of the link, when it begins to read")
def read_late(context):
    context.other_caller.setblocking(False)
    received, began_at, rate = bytearray(), time.monotonic(), context.hop.egress.rate
    connections = context.loopback.app.find("entry").connections.values()
    unsent = sum(len(connection.output_buffer) for connection in connections)
    # Most of the response did not fit into the buffers of the kernel.
    assert unsent > 1_000_000, unsent

    def complete():
        with contextlib.suppress(BlockingIOError):
            received.extend(context.other_caller.recv(1_000_000))
        return received.endswith(context.unread)

    context.loopback.run_until(complete, unsent / rate + 1.0)
    assert time.monotonic() - began_at >= unsent / rate - 0.1


@given(
    "{count:d} answers of {size:d} bytes to other nodes, due earlier, "
    "of which {repeat} answer requests that may be repeated"
)
def answers_due_earlier(context, count, size, repeat):
    context.repeatable = {bytes([int(number)]) for number in repeat.split()}
    context.expected = {bytes([number]): size for number in range(1, count + 1)}
    context.received = dict.fromkeys(context.expected, 0)
    context.declined = {}

    def receive(_identity, message, body):
        if type(message) is Declined:
            assert message.may_have_run and message.arrived and message.reason == UNSENT_REASON, message
            context.declined[message.id] = time.monotonic()
        else:
            context.received[message.id] += len(body)
        return len(body) + 100

    context.loopback.app.find("peers").reply = receive
    for number in range(1, count + 1):
        repeatable = bytes([number]) in context.repeatable
        request = msgspec.structs.replace(forward(number), repeatable=repeatable, takes_parts=True)
        answer = Answered(request.id, 200, (), FREE)
        context.hop.reply(b"node", request, context.hop.now + EARLIER_SECONDS, answer, bytes(size))


@when("the router is told to stop, with {seconds:g} s before it ends")
def told_to_stop(context, seconds):
    settings = msgspec.structs.replace(
        SETTINGS, caller_address=context.caller_address, grace=seconds + EXIT_MARGIN_SECONDS
    )
    app, context.stopping = context.loopback.app, RouterStopping(settings)
    none_left = {"has_jobs": False, "jobs": {}, "pending_requests": set(), "has_pending": False}
    for name in ("gateway", "receiver", "readiness"):
        app.add(Stub(name, closed=True, **none_left, **dict.fromkeys(STOP_CALLS, lambda: None)))
    app.add(Stub("local_target", state=TargetState.READY, last_seen_at=float("inf"), leaving_incarnations=()))
    app.find("local_target").last_incarnation = "t@1"
    app.find("peers").has_unread_messages = False
    app.add(context.stopping)
    context.stopping.on_start()
    context.stopping.begin_stop()
    context.stopped_at = time.monotonic()


@then(
    "within {seconds:g} s other nodes are told that {count:d} answers to such requests will not come, "
    "and get the others"
)
def told_what_will_not_come(context, seconds, count):
    assert len(context.declined) == count and context.declined.keys() <= context.repeatable, context.declined
    assert all(told <= context.stopped_at + seconds for told in context.declined.values())
    context.loopback.run_until(lambda: context.stopping.finished, 3.0)
    others = {key: size for key, size in context.expected.items() if key not in context.declined}
    assert {key: context.received[key] for key in others} == others, context.received


@when("the caller resets its connection after {seconds:g} s")
def caller_resets(context, seconds):
    context.loopback.run_for(seconds)
    assert context.hop.has_queued
    context.caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    context.caller.close()


@then("nothing waits for the link after {seconds:g} s")
def nothing_waits(context, seconds):
    context.loopback.run_until(lambda: not context.hop.has_queued, seconds)
    assert not context.hop.egress.queued_bytes


@when("the router's services stop after {seconds:g} s")
def services_stop(context, seconds):
    context.loopback.run_for(seconds)
    assert context.hop.has_queued
    context.loopback.stop()


@given("a receiver whose target may hold {limit:d} bytes of bodies, with {slots:d} free slots")
def receiver_with_room(context, limit, slots):
    receiver_behind_link(context, 0, LARGE_BYTES)
    context.receiver.body_room = BodyRoom(limit)
    context.receiver.admission.slots = slots
    context.exchanges = {}

    def request(*arguments):
        body, callback = arguments[4], arguments[6]
        failure = Failure(HttpFailure(True, FailureKind.CANCELLED, 0, 0))
        context.exchanges[len(body)] = callback
        return Stub(
            "exchange",
            is_unanswered=False,
            cancel=lambda: context.exchanges.pop(len(body)) and callback(failure),
        )

    context.receiver.http_client.request = request
    context.receiver.metrics.count_run = lambda *_: None
    context.receiver.crash_detector.on_interrupted = lambda *_: None


@when("uploads of {sizes} bytes arrive")
def uploads_arrive(context, sizes):
    for number, size in enumerate(sizes.replace(" and", ",").split(", ")):
        request = msgspec.structs.replace(forward(number), repeatable=True, goal_remaining_seconds=5.0)
        context.receiver.on_forward(
            request, bytes(int(size)), 0.0, lambda reply, _body: context.replies.append(reply)
        )


@then("those of {sizes} bytes run")
def uploads_run(context, sizes):
    expected = sorted(int(size) for size in sizes.replace(" and", ",").split(", "))
    assert sorted(context.exchanges) == expected, sorted(context.exchanges)


@when("the one of {size:d} bytes is answered")
def upload_answered(context, size):
    context.exchanges.pop(size)(Success(HttpResponse(200, {HeaderNames().signature: "s"}, b"")))


@when("the upload of {size:d} bytes is cancelled")
def upload_cancelled(context, size):
    jobs = context.receiver.jobs.values()
    context.receiver.cancel(next(job.forward.id for job in jobs if len(job.body) == size))


@when("the uploads' deadline of {seconds:d} s comes near")
def uploads_late(context, seconds):
    context.app.clock.advance(seconds - 0.1)
    context.receiver.decline_expired()


@then("nothing waits for room, and {outcome}")
def none_wait(context, outcome):
    assert not context.receiver.body_room.waiting
    if outcome == "it runs":
        assert sorted(context.exchanges) == [60_000]
        return
    assert 60_000 not in context.exchanges
    declined = [reply for reply in context.replies if reply.id == bytes([1])]
    if outcome == "it gets no reply":
        assert not declined
    else:
        assert len(declined) == 1 and not declined[0].may_have_run


@given("{targets:d} targets on links of {rate:d} bytes a second, {others:d} other nodes, and seed {seed:d}")
def routers_with_links(context, targets, rate, others, seed):
    front = ServiceModel("front", {"east": others, "west": 0}, 0.05, slots=9)
    large = ServiceModel("big", {"east": targets}, 0.04, slots=9, answer=LARGE_BYTES, goal=2.0, timeout=3.0)
    small = ServiceModel("small", {}, 0.04, answer=SMALL_BYTES, service="big", timeout=0.865)
    context.world = OverloadWorld([front, large, small], 3.0 * rate, float(rate), seed=seed)
    context.add_cleanup(context.world.close)


@when(
    "callers ask for {large:d} downloads of 90 kB a second with {limit:g} s left, "
    "and {small:d} small answers with {small_limit:g} s, for {seconds:d} s"
)
def downloads_asked(context, large, limit, small, small_limit, seconds):
    context.world.load("big", large, seconds, ("east",), limit)
    context.world.load("small", small, seconds, ("east",), small_limit)
    context.seconds = seconds
    context.world.run(seconds + limit + 1.0)


def statuses(context, name):
    return [caller.status for caller in context.world.callers if caller.spec.name == name]


@then("fewer than 1 in 100 small requests fail, and no download ends otherwise than answered or refused")
def none_lost(context):
    small = statuses(context, "small")
    assert sum(status != 200 for status in small) < 0.01 * len(small), Counter(small)
    assert set(statuses(context, "big")) <= {200, 503}, Counter(statuses(context, "big"))


@then("at least {rate:d} downloads a second are answered")
def downloads_answered(context, rate):
    assert statuses(context, "big").count(200) >= rate * context.seconds, Counter(statuses(context, "big"))
