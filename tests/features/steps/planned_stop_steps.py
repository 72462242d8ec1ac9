"""Steps on the last moments of a router's planned stop, over real sockets.

They guard against requests that are reset without an answer because nobody read them before the end.
"""

import random
import socket
import time

import msgspec
import zmq
from behave import given, then, when
from tests.loopback import Loopback, free_address
from tests.router_stubs import FREE, SETTINGS, Stub, forward

from hibiscusdrum.internal import codec
from hibiscusdrum.internal.messages import Declined
from hibiscusdrum.internal.router.gateway import Gateway
from hibiscusdrum.internal.router.local_target import TargetState
from hibiscusdrum.internal.router.routes import HeaderNames
from hibiscusdrum.internal.router.selection import NodeSelector
from hibiscusdrum.internal.router.stopping import REQUEST_REFUSAL_DELAY_SECONDS, RouterStopping
from hibiscusdrum.internal.transport.http_entry import HttpEntry
from hibiscusdrum.internal.transport.peer import REQUEST_KIND
from hibiscusdrum.internal.transport.peers import PeerTransport

REQUEST = b"GET /a/x HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: a1\r\n\r\n"
# Time in which bytes that were sent on loopback reach the other socket.
DELIVERY_SECONDS = 0.05


@given("a router at the end of its planned stop")
def stopping_router(context):
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
        *(Stub(name) for name in ("range_owner", "rings", "metrics", "hop", "readiness")),
        Stub("members", nodes={}),
        Stub("receiver", jobs={}, has_jobs=False),
        Gateway(settings, HeaderNames(), NodeSelector("east", "east-1", random.Random(1))),
        context.stopping,
    )
    context.add_cleanup(context.loopback.stop)
    context.caller = connect(settings)
    context.dealer = zmq.Context.instance().socket(zmq.DEALER)
    context.dealer.connect(f"tcp://{context.peer_address}")
    context.add_cleanup(context.dealer.close, 0)
    context.loopback.run_for(DELIVERY_SECONDS)
    context.stopping.begin_stop()


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
