"""Steps for faults that only the merged parts showed."""

from __future__ import annotations

import socket
from bisect import bisect_left
from types import SimpleNamespace

import msgspec
from behave import given, then, when
from tests.features.steps.link_steps import forward, receiver_behind_link
from tests.router_stubs import Stub

from hibiscusdrum.internal.load.body_room import BodyRoom
from hibiscusdrum.internal.load.egress import EgressQueue, Lane, Outgoing
from hibiscusdrum.internal.router.accounts import Account
from hibiscusdrum.internal.router.quota import GroupClient, Keeper, Tolerance
from hibiscusdrum.internal.router.range_owner import KeyState
from hibiscusdrum.internal.transport.entry_connection import EntryConnection
from hibiscusdrum.internal.transport.http_entry import HttpEntry

NOW = 100.0


@given("a node that has asked the keeper of an account for a token")
def asked(context):
    context.client = GroupClient(0, "n1", NOW - 10.0)
    context.client.set_candidates(("keeper", "n1"))
    context.decided = []
    context.client.acquire("a", False, context.decided.append, NOW)
    assert context.client.due_asks(NOW)


@when("the quota of the account is lifted")
def lifted(context):
    context.freed = context.client.forget({})


@then("the waiting request is sent without a token")
def sent_without_token(context):
    assert [wait for _, wait in context.freed] == [0.0], context.freed


@given("a link that was idle for {seconds:g} s and has just sent a small answer")
def idle_link(context, seconds):
    context.egress = EgressQueue(1_250_000.0)
    context.egress.charge(400, NOW + seconds)
    context.now = NOW + seconds


@when("a large answer is queued")
def large_queued(context):
    context.egress.push(Outgoing(b"1", Lane.BULK, 90_000, context.now + 9.0, None), context.now)


@then("the link has been busy for less than {seconds:g} s")
def busy_for(context, seconds):
    assert context.egress.busy_seconds(context.now) < seconds


@given("an upload for a key that waits for body room at its target")
def upload_waits(context):
    receiver_behind_link(context, 0, 90_000)
    receiver = context.receiver
    receiver.body_room = BodyRoom(30_000)
    receiver.body_room.take(b"first", 20_000)
    context.state, context.sent = KeyState.GRANTED, []
    receiver.range_owner.key_state = lambda _key: context.state
    receiver.range_owner.record_request = lambda _key: None
    receiver.http_client.request = lambda *arguments: context.sent.append(arguments) or Stub("exchange")
    request = msgspec.structs.replace(forward(7), key=5, goal_remaining_seconds=5.0)
    receiver.on_forward(request, bytes(20_000), 0.0, lambda reply, _body: context.replies.append(reply))
    assert receiver.body_room.waiting and not context.sent
    context.request = request


@when("the target loses its keys, the upload is withdrawn, and the keys are granted again")
def keys_lost_and_granted(context):
    receiver = context.receiver
    context.state = KeyState.GRANT_PENDING
    receiver.readmit(receiver.body_room.release(b"first"))
    assert receiver.awaiting_keys
    receiver.withdraw(context.request.id)
    context.state = KeyState.GRANTED
    receiver.on_keys_granted()


@then("the upload was declined as not run and never sent")
def declined_not_sent(context):
    outcomes = [(reply.reason, reply.may_have_run) for reply in context.replies]
    assert len(outcomes) == 1 and not outcomes[0][1], outcomes
    assert not context.sent


def entry_with_connection(context):
    """Create an entry with one connection to a caller, on a clock that the test moves."""
    context.now = NOW
    entry = HttpEntry()
    scheduler = SimpleNamespace(call_later=lambda _delay, call: context.calls.append(call))
    poller = SimpleNamespace(discard=lambda _sock: None, addWriter=lambda *_: None)
    clock = SimpleNamespace(monotonic=lambda: context.now)
    entry.app = SimpleNamespace(clock=clock, scheduler=scheduler, poller=poller)
    context.calls, context.dispatched = [], []
    entry.request_handlers["x"] = context.dispatched.append
    sock, context.caller = socket.socketpair()
    sock.setblocking(False)
    connection = EntryConnection(entry, sock, "x", NOW)
    entry.connections[sock] = connection
    entry.address_connections["x"] = {connection}
    context.entry, context.connection = entry, connection


@given("a connection with two pipelined orders and more input that waits")
def pipelined_orders(context):
    entry_with_connection(context)
    order = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n\r\nx"
    context.connection.feed(order + order)
    for call in context.calls:
        call()
    assert len(context.dispatched) == 1 and len(context.connection.pending) == 2
    context.connection.unparsed += order


@when("the first is answered, and memory is short in the next turn")
def answered_while_short(context):
    context.calls.clear()
    context.dispatched[0].respond(200, [], b"a")
    context.entry.memory_short, context.entry.short_above = True, -1
    for call in context.calls:
        call()


@then("the second order is dispatched")
def second_dispatched(context):
    assert len(context.dispatched) >= 2


@given(
    "a connection whose large answer has waited for the link for {seconds:g} s at the limit of connections"
)
def answer_waits_for_link(context, seconds):
    entry_with_connection(context)
    context.entry.max_connections["x"] = context.entry.open_counts["x"] = 1
    context.entry.pacer = SimpleNamespace(
        takes_output=lambda _size: True, queue_output=lambda *_: None, forget_output=lambda _connection: None
    )
    context.connection.write_over_link(bytes(90_000), NOW + 30.0)
    context.now += seconds


@then("the connection is not given up for another one")
def not_given_up(context):
    assert not context.entry.has_room("x") and not context.connection.closed


@given(
    "an account of {rate:d} requests a second and a burst of {burst:d} "
    "that sends {demand:d} a second to one node"
)
def busy_account(context, rate, burst, demand):
    """Record when its requests get their tokens, over 20 s."""
    client, keeper = GroupClient(0, "n1", 0.0), Keeper("n1", b"p", Tolerance(), 0.0)
    keeper.set_accounts({"a": Account("a", rate=float(rate), burst=float(burst))})
    context.given_at = []
    for number in range(20 * demand):
        now = number / demand

        def decide(wait, now=now):
            if not wait:
                context.given_at.append(now)

        if client.acquire("a", False, decide, now):
            context.given_at.append(now)
        for _, ask in client.due_asks(now):
            for waiter, wait in client.on_grant(keeper.on_ask(ask, 1, now), now):
                waiter.decide(wait)
        client.expire(now, float("-inf"))


@when("its requests with tokens wait for {stall:g} s at their targets, and then run at {rate:d} a second")
def stalled_targets(context, stall, rate):
    free, context.runs = 0.0, []
    for at in sorted(context.given_at):
        start = 12.0 + stall if 12.0 <= at < 12.0 + stall else at
        free = max(start, free + 1.0 / rate)
        context.runs.append(free)


@then("at most {count:d} of them run in any {seconds:g} s")
def runs_bounded(context, count, seconds):
    runs = context.runs
    most = max(bisect_left(runs, at + seconds) - first for first, at in enumerate(runs))
    assert len(runs) > 1_000 and most <= count, most
