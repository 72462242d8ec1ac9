"""Steps on peers and targets that are silent, or seem so to a process that was paused itself.

They guard against running work that is given up although its machine is well.
"""

import random
from types import SimpleNamespace

import msgspec
import zmq
from behave import given, then, when
from tests.loopback import Loopback, free_address
from tests.router_stubs import FREE, SETTINGS, Stub, application, forward
from tests.router_world import Loop

from hibiscusdrum.internal.daemon.target import Announcement, Target
from hibiscusdrum.internal.messages import Answered, Cancel, Closing, Declined, Pong
from hibiscusdrum.internal.router.hop import CLOSING_REASON, Forwarder
from hibiscusdrum.internal.router.local_target import LocalTarget, TargetHeartbeat
from hibiscusdrum.internal.router.members import Members, NodeRow
from hibiscusdrum.internal.router.selection import NodeSelector
from hibiscusdrum.internal.router.traffic import Traffic
from hibiscusdrum.internal.transport.peers import PeerTransport

ORDER, READ = 1, 2
STEP_SECONDS = 0.05
PEER_ADDRESS = "127.0.0.1:9"
TARGET_ADDRESS = "127.0.0.1:7101"


def run_for(app, seconds):
    """Let a process run for a time in which nothing arrives."""
    for _ in range(round(seconds / STEP_SECONDS)):
        app.clock.advance(STEP_SECONDS)
        app.scheduler.run_due(Loop())


def pause(app, seconds):
    """Let time pass while a process is paused; its timers are due when it goes on."""
    app.clock.advance(seconds)
    app.scheduler.run_due(Loop())


@given("a router that sends an order and a read to a peer")
def router_with_requests(context):
    context.app = app = application()
    context.connected = True
    context.replies = []
    app.add(
        Stub(
            "peers",
            reply=lambda _identity, answer, _body: context.replies.append(answer) or 100,
            is_connected=lambda _address: context.connected,
            try_send_request=lambda *_: 100 if context.connected else 0,
            peer=lambda *_arguments, **_options: None,
            disconnect_peer=lambda _address: None,
        )
    )
    app.add(Stub("table"))
    app.add(Traffic(SETTINGS))
    members = app.add(Members(SETTINGS))
    members.nodes["peer"] = NodeRow("peer", "east", "d", "keys", PEER_ADDRESS)
    context.hop = app.add(Forwarder(SETTINGS, NodeSelector("east", "east-1", random.Random(1))))
    context.hop.on_start()
    context.hop.connect_to_members()
    context.outcomes = {}
    context.sent_at = app.clock.monotonic()
    context.hop.on_reply(Pong("peer", "first", context.sent_at, FREE, 50.0), b"")
    for number in (ORDER, READ):
        request = msgspec.structs.replace(forward(number), repeatable=number == READ)
        assert context.hop.send(
            "peer", request, b"", lambda answer, _body, n=number: note(context, n, answer)
        )


def note(context, number, answer):
    """Note the only outcome of a request, with the seconds that it took."""
    assert number not in context.outcomes, answer
    context.outcomes[number] = (answer, context.app.clock.monotonic() - context.sent_at)


def answer_request(context, number):
    context.hop.on_reply(Answered(bytes([number]), 200, (), FREE), b"done")


@when("the router is paused for {seconds:g} s, in which the peer answers both")
def router_paused(context, seconds):
    run_for(context.app, 0.1)
    pause(context.app, seconds)
    answer_request(context, ORDER)
    answer_request(context, READ)


@then("both are answered, and nothing was given up")
def both_answered(context):
    assert [type(context.outcomes[number][0]) for number in (ORDER, READ)] == [Answered, Answered]


@when("the peer is silent for {seconds:g} s, and then answers the order")
def silent_then_answers(context, seconds):
    run_for(context.app, seconds)
    answer_request(context, ORDER)


@then(
    "the read was given up after {least:g} to {most:g} s as one that may have run, and the order is answered"
)
def read_given_up(context, least, most):
    declined, seconds = context.outcomes[READ]
    assert declined.may_have_run and least <= seconds <= most, (declined, seconds)
    assert type(context.outcomes[ORDER][0]) is Answered, context.outcomes[ORDER]


@when("the peer is silent for {seconds:g} s, and then a new process of it answers a ping")
def silent_then_new(context, seconds):
    run_for(context.app, seconds)
    assert ORDER not in context.outcomes, context.outcomes
    context.hop.on_reply(Pong("peer", "second", context.app.clock.monotonic(), FREE, 0.2), b"")


@when("the connection to the peer is lost")
def connection_lost(context):
    context.connected = False
    run_for(context.app, 0.5)


@then("the order is given up as one that may have run")
def order_given_up(context):
    assert context.outcomes[ORDER][0].may_have_run, context.outcomes


@when("the peer declines the order as it is about to end")
def declines_closing(context):
    context.hop.on_reply(Declined(bytes([ORDER]), CLOSING_REASON, False, False, 1.0, FREE), b"")


@when("the peer announces its end")
def announces_end(context):
    context.hop.on_request(b"", Closing("peer"), b"")


def send_further(context):
    """Send a request, and return whether it was sent."""
    request = msgspec.structs.replace(forward(3), repeatable=False)
    return context.hop.send("peer", request, b"", lambda answer, _body: note(context, 3, answer))


@when("the peer answers the read")
def answers_read(context):
    answer_request(context, READ)


@then("a further request is not sent, and is known not to have run")
def not_sent(context):
    assert not send_further(context) and context.hop.is_closing("peer")


@when("the connection to the peer is lost, and made again")
def connected_again(context):
    context.connected = False
    run_for(context.app, 0.5)
    context.connected = True


@when("the router is paused for {paused:g} s, in which the peer is started anew, and {seconds:g} s pass")
def restarted_unseen(context, paused, seconds):
    pause(context.app, paused)
    answer_request(context, READ)
    run_for(context.app, seconds)


@then("a further request is sent")
def is_sent(context):
    assert not context.hop.is_closing("peer") and send_further(context)


def order_arrives(context):
    """Receive an order from the peer, and return the function that replies to it."""
    taken = []
    context.hop.on_forward = lambda _forward, _body, _delay, reply: taken.append(reply)
    context.hop.on_request(b"peer", forward(7), b"")
    return taken[0]


@when("an order of the peer is answered by the target as the router goes on after a pause of {seconds:g} s")
def answered_after_pause(context, seconds):
    reply = order_arrives(context)
    pause(context.app, seconds)
    reply(Answered(bytes([7]), 200, (), FREE), b"done")


@then("the answer is sent {least:g} to {most:g} s later, and one without a pause at once")
def sent_later(context, least, most):
    run_for(context.app, least)
    assert not context.replies
    run_for(context.app, most - least)
    assert len(context.replies) == 1
    run_for(context.app, 1.0)
    order_arrives(context)(Answered(bytes([7]), 200, (), FREE), b"done")
    assert len(context.replies) == 2


@given("a {process} whose target reports each second")
def process_with_target(context, process):
    context.app = app = application()
    if process == "router":
        target = app.add(LocalTarget(SETTINGS))
        heartbeat = TargetHeartbeat("t", "other", TARGET_ADDRESS, 6, False, 1)
        context.lost = lambda: not target.ready
        target.on_start()
        target.on_heartbeat(heartbeat, lambda _grant: None)
    else:
        target = app.add(Target(SimpleNamespace(service="other", target_address=TARGET_ADDRESS)))
        context.lost = lambda: not target.available
        target.on_start()
        target.announce(msgspec.json.encode(Announcement("other", TARGET_ADDRESS)))
    run_for(app, 0.5)


@when("the process is paused for {seconds:g} s")
def process_paused(context, seconds):
    pause(context.app, seconds)


@when("the target is silent for {seconds:g} s")
def target_silent(context, seconds):
    run_for(context.app, seconds)


@then("the target is not lost")
def not_lost(context):
    assert not context.lost()


@then("the target is lost")
def is_lost(context):
    assert context.lost()


@given("a transport that can open no further socket")
def transport_at_limit(context):
    context.transport = PeerTransport(free_address(), b"")
    context.transport.context.set(zmq.MAX_SOCKETS, 1)
    context.loopback = Loopback(context.transport)
    context.add_cleanup(context.loopback.stop)
    context.address = free_address()


@when("a request and a control message are sent to a new address")
def sent_without_socket(context):
    context.sent = context.transport.try_send_request(context.address, Cancel(b"1"))
    context.transport.send_control(context.address, Cancel(b"2"))


@then("both return, and nothing of the request was sent")
def nothing_sent(context):
    assert context.sent == 0 and not context.transport.peers


@when("sockets can be opened again, and a node listens at the address")
def sockets_again(context):
    context.transport.on_stop()
    context.transport.context = zmq.Context()
    context.transport.bind(context.address)


@then("a further request is sent to it")
def sent_again(context):
    context.transport.on_request = lambda *_message: None
    context.loopback.run_until(lambda: context.transport.try_send_request(context.address, Cancel(b"3")) > 0)
