"""Steps on the time that messages between two nodes take, on clocks that differ.

They guard against requests that are sent to a target after their callers have left.
"""

import random
from unittest import mock

from behave import given, then, when
from tests.router_stubs import SETTINGS, Stub, application, forward

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.messages import Cancel, Declined, Forward
from hibiscusdrum.internal.router.events import RequestCancelled
from hibiscusdrum.internal.router.hop import Forwarder, PeerState
from hibiscusdrum.internal.router.local_target import LocalTarget, TargetHeartbeat
from hibiscusdrum.internal.router.members import Members, NodeRow
from hibiscusdrum.internal.router.quarantine import Quarantine
from hibiscusdrum.internal.router.receiver import LATE_REASON, Receiver
from hibiscusdrum.internal.router.routes import HeaderNames
from hibiscusdrum.internal.router.selection import NodeSelector
from hibiscusdrum.internal.router.shared_clock import MAX_DRIFT, ClockBounds, SharedClock
from hibiscusdrum.internal.router.traffic import Traffic

STORE_OFFSET_SECONDS = 7_000_000.0
EXCHANGE_SECONDS = 0.02


class Node:
    """A node with its own clock, its messages to others, and a clock shared through the store."""

    def __init__(self, offset):
        app = self.app = application()
        app.clock.advance(offset + 100_000.0)
        self.sent, self.replies = [], []
        peers = app.add(Stub("peers", try_send_request=self.send, reply=self.reply))
        self.table = app.add(Stub("table", on_store_time=[], era=1))
        self.clock = app.add(SharedClock())
        self.clock.on_start()
        members = app.add(Members(SETTINGS))
        members.nodes["peer"] = NodeRow("peer", "west", "d", "other", "127.0.0.1:9")
        self.hop = app.add(Forwarder(SETTINGS, NodeSelector("east", "east-1", random.Random(1))))
        self.hop.peers, self.hop.members, self.hop.traffic = peers, members, app.add(Traffic(SETTINGS))
        self.hop.shared_clock = self.clock
        self.hop.peer_states["peer"] = PeerState("127.0.0.1:9", app.clock.monotonic())

    def send(self, _address, message, _body=b""):
        """Note a message to another node."""
        self.sent.append(message)
        return 100

    def reply(self, _identity, answer, _content=b""):
        """Note a reply to another node."""
        self.replies.append(answer)
        return 100

    def ask_store(self, true_now, store_offset=STORE_OFFSET_SECONDS, seconds=EXCHANGE_SECONDS):
        """Exchange a request and its answer with the store, which stamps it halfway."""
        sent_at = self.app.clock.monotonic()
        self.app.clock.advance(seconds)
        for listener in self.table.on_store_time:
            listener(sent_at, true_now + seconds / 2.0 + store_offset)

    def add_receiver(self):
        """Add the services that send requests to a target, whose requests are noted."""
        app = self.app
        self.target_requests = []
        target = app.add(LocalTarget(SETTINGS))
        app.add(Stub("rings"))
        app.add(Stub("metrics", count_declined=lambda *_: None, count_run=lambda *_: None))
        app.add(Stub("range_owner", on_granted=[]))
        app.add(Stub("crash_detector"))
        app.add(Quarantine(SETTINGS))
        app.add(Stub("http_client", request=self.note_target_request))
        self.receiver = app.add(Receiver(SETTINGS, HeaderNames()))
        self.receiver.on_start()
        heartbeat = TargetHeartbeat("i-1", SETTINGS.service, "127.0.0.1:8", 6, False, 1)
        target.on_heartbeat(heartbeat, lambda _grant: None)
        self.receiver.on_first_answer()

    def note_target_request(self, *arguments):
        """Note the headers of a request to the target."""
        self.target_requests.append(arguments[3])
        return Stub("exchange", cancel=lambda: None)


@given("two nodes whose clocks differ by {offset:g} s and that have asked the store")
def two_nodes(context, offset):
    context.sender, context.receiving = Node(offset), Node(0.0)
    context.true_now = 50.0
    for node in (context.sender, context.receiving):
        node.ask_store(context.true_now)
    context.true_now += EXCHANGE_SECONDS
    context.receiving.add_receiver()


def pass_time(context, seconds):
    context.true_now += seconds
    for node in (context.sender, context.receiving):
        node.app.clock.advance(seconds)


@when("the receiver has not asked the store since the store was restored")
def sender_in_new_era(context):
    context.sender.table.era = 2
    context.sender.ask_store(context.true_now, 0.0)


@when("the receiver knows the store since it was restored with other times")
def receiver_in_new_era(context):
    context.receiving.table.era = 2
    context.receiving.ask_store(context.true_now, STORE_OFFSET_SECONDS + 500.0)


@when("the receiver has seen that the store's clock was set back")
def store_set_back(context):
    context.receiving.ask_store(context.true_now, STORE_OFFSET_SECONDS - 500.0)


@when("the receiver has just been started")
def receiver_unknowing(context):
    context.receiving.clock.bounds = ClockBounds()


@when("the receiver has just been started, and a {kind} of a node that is in touch with the store arrives")
def told_by_neighbour(context, kind):
    context.receiving.clock.bounds = ClockBounds()
    neighbour = Node(-3_000.0)
    neighbour.ask_store(context.true_now)
    pass_time(context, EXCHANGE_SECONDS)
    neighbour.hop.send("peer", forward(2), b"", lambda *_: None)
    if kind == "ping":
        neighbour.hop.ping()
    context.receiving.hop.on_request(b"neighbour", neighbour.sent[-1], b"")
    assert type(neighbour.sent[-1]).__name__.lower() == kind
    context.receiving.target_requests.clear()
    context.receiving.replies.clear()


@when("the receiver is told a time on the store's clock that is {seconds:g} s ahead")
def told_wrong_time(context, seconds):
    context.receiving.clock.on_message(context.true_now + STORE_OFFSET_SECONDS + seconds, 1)


@when("the {name} has only one exchange with the store, of {seconds:g} s")
def slow_exchange(context, name, seconds):
    nodes = {"sender": context.sender, "receiver": context.receiving}
    slow = nodes.pop(name)
    slow.clock.bounds = ClockBounds()
    slow.ask_store(context.true_now, seconds=seconds)
    for other in nodes.values():
        other.app.clock.advance(seconds)
    context.true_now += seconds


def receive_after(context, seconds):
    """Let the receiver get the newest message of the sender."""
    pass_time(context, seconds)
    context.receiving.hop.on_request(b"peer", context.sender.sent[-1], b"")


@when("the first request of one of them, with {left:g} s left, takes {transit:g} s to the other")
def first_request(context, left, transit):
    request = forward(1, deadline=left)
    context.sender.hop.send("peer", request, b"", lambda *_: None)
    assert type(context.sender.sent[-1]) is Forward
    receive_after(context, transit)


@then("it is declined as late and not run, and its target gets nothing")
def declined_as_late(context):
    replies = context.receiving.replies
    assert not context.receiving.target_requests, context.receiving.target_requests
    assert [type(reply) for reply in replies] == [Declined] and replies[0].reason == LATE_REASON, replies
    assert not replies[0].may_have_run and not replies[0].arrived


@then("its target is given at most {most:g} s, and at least {slack:g} s less than that")
def target_given(context, most, slack):
    headers = context.receiving.target_requests
    assert len(headers) == 1, (headers, context.receiving.replies)
    given_seconds = int(headers[0][context.receiving.receiver.header_names.deadline_ms]) / 1000.0
    assert most - slack <= given_seconds <= most, given_seconds


def random_schedule(rng):
    """Play exchanges of two nodes with the store and messages between them; return the worst excess."""
    now, worst = 0.0, float("-inf")
    rates = [1.0 + rng.uniform(-0.4, 0.4) * MAX_DRIFT for _ in range(2)]
    starts = [rng.uniform(0.0, 1e6) for _ in range(2)]
    bounds = [ClockBounds(), ClockBounds()]
    store = rng.uniform(0.0, 1e6)

    def local(node, at):
        return starts[node] + at * rates[node]

    for _ in range(60):
        now += rng.choice((0.1, 1.0, 20.0)) * rng.random()
        node = rng.randrange(2)
        if rng.random() < 0.5:
            there, back = rng.random() ** 4 * 2.0, rng.random() ** 4 * 2.0
            sent, stamped, received = now, now + there, now + there + back
            bounds[node].observe(local(node, sent), local(node, received), stamped + store)
            now = received
        else:
            stamp, transit = bounds[node].latest(local(node, now)), rng.random() * 3.0
            earliest = bounds[node].earliest(local(node, now))
            now += transit
            bounds[1 - node].observe_earliest(local(1 - node, now), earliest)
            worst = max(worst, bounds[1 - node].earliest(local(1 - node, now)) - stamp - transit)
    return worst


@then("{count:d} random schedules of exchanges and drifting clocks never give more than the true time")
def schedules(context, count):
    excesses = [random_schedule(random.Random(seed)) for seed in range(count)]
    assert any(excess > -0.1 for excess in excesses), max(excesses)
    # Times of a million seconds are exact to about a nanosecond.
    assert max(excesses) < 1e-6, [seed for seed, excess in enumerate(excesses) if excess >= 1e-6]


@when("its cancellation takes {seconds:g} s")
def cancelled(context, seconds):
    context.sender.hop.cancel(context.sender.sent[-1].id)
    assert type(context.sender.sent[-1]) is Cancel
    with mock.patch.object(log_events, "emit") as emit:
        receive_after(context, seconds)
    context.events = [call.args[0] for call in emit.call_args_list]


@then("the log has a cancelled request that was sent, and a cancellation that took {least:g} to {most:g} s")
def check_cancelled(context, least, most):
    (line,) = [event for event in context.events if type(event) is RequestCancelled]
    assert line.sent and least * 1000 <= line.transit_ms <= most * 1000, line
