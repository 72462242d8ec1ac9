"""Steps on congestion, on placing among many nodes, and on rows that were deleted unseen.

They guard against nodes that stay the first choice although nothing reaches them in time.
"""

import contextlib
import random
from unittest import mock

import msgspec
from behave import given, then, when
from returns.result import Failure, Success
from tests.router_stubs import (
    FREE,
    SETTINGS,
    Request,
    SentHop,
    Stub,
    application,
    forward,
    lone_gossip,
    receiver_application,
)

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.load.body_gate import BodyGate
from hibiscusdrum.internal.messages import Answered, Body, Declined, Ping, Pong, SendBody
from hibiscusdrum.internal.platform.table import Changes, make_version
from hibiscusdrum.internal.router.admission import QueueEntry
from hibiscusdrum.internal.router.events import RequestEnded
from hibiscusdrum.internal.router.gateway import DEFAULT_TIMEOUT_SECONDS, Gateway
from hibiscusdrum.internal.router.hop import Forwarder, PeerState
from hibiscusdrum.internal.router.local_target import LocalTarget, TargetHeartbeat
from hibiscusdrum.internal.router.members import Members, NodeRow
from hibiscusdrum.internal.router.metrics import render_traffic
from hibiscusdrum.internal.router.quarantine import Quarantine
from hibiscusdrum.internal.router.receiver import (
    BUSY_REASON,
    LATE_REASON,
    NOT_OWNER_REASON,
    TOO_LATE_REASON,
    Receiver,
)
from hibiscusdrum.internal.router.routes import HeaderNames, RequestKind, Route, RouteTable, ServiceSpec
from hibiscusdrum.internal.router.selection import Candidate, LoadReport, NodeSelector
from hibiscusdrum.internal.router.traffic import Traffic
from hibiscusdrum.internal.transport.http_connection import FailureKind, HttpFailure, HttpResponse
from hibiscusdrum.platform.operator import EVACUATE_PREFIX, OperatorRows
from hibiscusdrum.platform.store import RowChanges, StoreClient, WireRow


@given("a router that knows a peer in the {region} region")
def router_with_peer(context, region):
    app = application()
    app.add(Stub("peers", reply=lambda *_: 100, try_send_request=lambda *_: 100))
    app.add(Stub("table"))
    context.traffic = app.add(Traffic(SETTINGS))
    members = app.add(Members(SETTINGS))
    row = NodeRow("peer", "east" if region == "same" else "west", "d", "keys", "127.0.0.1:9")
    members.nodes["peer"] = row
    context.hop = app.add(Forwarder(SETTINGS, NodeSelector("east", "east-1", random.Random(1))))
    context.hop.peers, context.hop.members = app.find("peers"), members
    context.hop.traffic = context.traffic
    context.app = app


@when("the peer's messages take 5 ms, and then {delay:d} ms more")
def messages_held_up(context, delay):
    for held_up in (0.0, 0.0, delay / 1000.0):
        context.app.clock.advance(0.3)
        sent_at = context.app.clock.monotonic() - 0.005 - held_up + 1000.0
        context.hop.on_request(b"", Ping("peer", sent_at), b"")


def rendered(context):
    """Return the metrics of the links by their names with labels."""
    lines = (line.rpartition(" ") for line in render_traffic(context.traffic) if not line.startswith("#"))
    return {name: int(value) for name, _, value in lines}


@then('the metrics count 1 message of "{place}" that was delayed by 0.2 to 0.4 s, and none of "{other}"')
def check_delays(context, place, other):
    found = rendered(context)
    bucket = 'hibiscusdrum_delay_seconds_bucket{{place="{}",le="{}"}}'
    assert found[bucket.format(place, 0.4)] - found[bucket.format(place, 0.2)] == 1, found
    assert found[bucket.format(other, "+Inf")] == 0, found


@then('the bytes sent to "{place}" are counted, and none to "{other}"')
def check_bytes(context, place, other):
    found = {name: value for name, value in rendered(context).items() if "sent_bytes" in name}
    assert found and all(f'place="{place}"' in name and value > 0 for name, value in found.items()), found


def ended_line(context, act):
    """Return the log event of the request that ends while ``act`` runs."""
    with mock.patch.object(log_events, "emit") as emit:
        act()
    return next(call.args[0] for call in emit.call_args_list if type(call.args[0]) is RequestEnded)


@when(
    "a node declines a request {first:d} ms after it was sent, and the next answers {second:d} ms later "
    "after {held:d} ms of work"
)
def declined_then_answered(context, first, second, held):
    context.gateway.on_request(Request())
    context.app.clock.advance(first / 1000.0)
    decline(context, BUSY_REASON)
    context.app.clock.advance(second / 1000.0)
    _, sent, _, reply = context.hop.sent[-1]
    answer = Answered(sent.id, 200, (), FREE, held / 1000.0)
    context.ended = ended_line(context, lambda: reply(answer, b"ok"))


@then("the log says that the last try began after {before:d} ms and was on its way for {path:d} ms")
def check_path(context, before, path):
    assert (context.ended.before_ms, context.ended.path_ms) == (before, path), context.ended


@when("{what} and a request asks to start at once")
def asks_to_start(context, what):
    receiver = context.receiver
    if what == "the target has no free slot":
        receiver.admission.running = receiver.admission.slots
    elif what == "only the link of the VM is congested":
        for request_id in list(receiver.body_gate.transfers):
            receiver.body_gate.forget(request_id)
        receiver.forwarder.link_congested = True
    size = 60_000 if what == "bodies of others are awaited and one of its own" else 0
    asking = msgspec.structs.replace(forward(100, size, 1.0), only_if_free=True)
    with mock.patch.object(log_events, "emit") as emit:
        receiver.on_forward(asking, b"", 0.0, lambda answer, _body: context.replies.append(answer))
    context.declined = emit.call_args.args[0] if emit.call_args is not None else None


@then('it is declined as busy because of "{full}"')
def check_full(context, full):
    assert (context.declined.reason, context.declined.full) == (BUSY_REASON, full), context.declined
    assert context.replies[-1].reason == BUSY_REASON


@then("it is sent to the target")
def check_sent(context):
    assert context.declined is None and context.receiver.admission.running == 1, context.declined


def requests_arrive(context, count):
    for number in range(100, 100 + count):
        context.receiver.on_forward(
            forward(number), b"", 0.0, lambda answer, _body: context.replies.append(answer)
        )


@when("{count:d} requests arrive that cannot be encoded for the target")
def unencodable(context, count):
    def refuse(*_arguments):
        raise InvalidArgument(name="headers", value=[], expected="no line breaks")

    context.receiver.http_client.request = refuse
    for number in range(count):
        # The HTTP entry logs what escapes from a request, and goes on.
        with contextlib.suppress(InvalidArgument):
            context.receiver.on_forward(
                forward(number), b"", 0.0, lambda answer, _body: context.replies.append(answer)
            )


@when("{queued:d} requests are queued for its 6 slots, and the target turns one away that it did not run")
def target_turns_away(context, queued):
    receiver = context.receiver
    callbacks = []
    receiver.http_client.request = lambda *arguments, **_more: callbacks.append(arguments[6])
    requests_arrive(context, 1)
    now = receiver.now
    for _ in range(queued):
        receiver.admission.push(QueueEntry("queued", 1, now + 9.0, now + 9.0, "upload", now), now)
    receiver.admission.running = receiver.admission.slots if queued else 1
    receiver.send_queued = lambda: None
    answer = HttpResponse(503, {receiver.header_names.not_run: "1"}, b"")
    callbacks[0](Success(answer))


@then("that one is declined as not run, with a time to come back of {least:g} s to {most:g} s")
def check_comes_back(context, least, most):
    (answer,) = context.replies
    assert type(answer) is Declined and not answer.may_have_run
    assert least <= answer.retry_after <= most, answer.retry_after


@when("its target reports itself cold for {seconds:g} s, and {count:d} requests arrive before the routes")
def cold_without_routes(context, seconds, count):
    context.receiver.admission.slots = 20
    context.receiver.on_cold_start(seconds)
    requests_arrive(context, count)


@then("none of them is sent to the target, and all are declined as not run")
def none_sent(context):
    assert context.receiver.admission.running == 0
    assert len(context.replies) == 20
    assert all(type(answer) is Declined and not answer.may_have_run for answer in context.replies)


@when(
    "the routes arrive with a rate of {rate:g} requests a second for cold targets, "
    "and {count:d} requests more"
)
def routes_and_requests(context, rate, count):
    spec = ServiceSpec(SETTINGS.service, cold_rate=rate)
    context.receiver.set_route_table(RouteTable.build(1, [], [spec]))
    requests_arrive(context, count)


@then("{count:d} of them are sent to the target")
def some_sent(context, count):
    assert context.receiver.admission.running == count, context.receiver.admission.running


@when("the peer's messages take 5 ms, and its VM is started anew with a clock that is {seconds:g} s behind")
def started_anew(context, seconds):
    hop, clock = context.hop, context.app.clock
    context.accepted = []
    hop.on_forward = lambda message, _body, delay, _reply: context.accepted.append((message.id, delay))
    for number in range(3):
        clock.advance(0.3)
        sent_at = clock.monotonic() - 0.005 + 100_000.0
        message = msgspec.structs.replace(forward(0), id=b"first-%d" % number, sent_at=sent_at)
        hop.on_request(b"", message, b"")
    context.behind = 100_000.0 - seconds


def of_new_process(context, number, held_up):
    sent_at = context.app.clock.monotonic() - 0.005 - held_up + context.behind
    message = msgspec.structs.replace(forward(0), id=b"second%d" % number, sent_at=sent_at)
    context.hop.on_request(b"", message, b"")


@then("its next request is accepted, and the router does not ask others to send elsewhere")
def next_accepted(context):
    context.app.clock.advance(0.3)
    of_new_process(context, 1, 0.0)
    assert context.accepted[-1] == (b"second1", None), context.accepted
    assert not context.hop.link_congested


@when("a request of the new process is held up for {seconds:g} s")
def new_held_up(context, seconds):
    context.app.clock.advance(0.3)
    of_new_process(context, 2, seconds)


@then("that one is refused as late")
def refused_late(context):
    request_id, delay = context.accepted[-1]
    assert request_id == b"second2" and delay > 1.9, context.accepted


@when("no message is held up for {seconds:g} s")
def time_passes(context, seconds):
    context.app.clock.advance(seconds)


@then("the router {asks} others to send elsewhere")
def asks_others(context, asks):
    assert context.hop.link_congested == (asks == "asks")


@given("a gateway with {count:d} nodes in the other region to choose from")
def gateway_with_far_nodes(context, count):
    gateway_with_nodes(context, count, "west")


@given("a gateway with {count:d} nodes to choose from")
def gateway_with_nodes(context, count, region="east"):
    app = application()
    candidates = [Candidate(f"n{index}", region, "d") for index in range(count)]
    app.add(
        Stub(
            "members",
            nodes=dict.fromkeys(range(count)),
            candidates=lambda *_: candidates,
            region_of=lambda _: region,
            leaving_seconds=lambda _: 0.0,
        )
    )
    app.add(Stub("range_owner", set_partitioned=lambda _: None))
    app.add(Stub("rings"))
    app.add(Stub("receiver", set_route_table=lambda _: None, reported_rate=lambda: 0.0))
    app.add(Stub("metrics", count_ended=lambda *_: None, count_client_error=lambda *_: None))
    app.add(Stub("entry", listen=lambda *_, **_options: None, limits=None))
    app.add(Quarantine(SETTINGS))
    context.hop = app.add(SentHop())
    selection = NodeSelector("east", "east-1", random.Random(1))
    context.gateway = app.add(Gateway(SETTINGS, HeaderNames(), selection))
    context.gateway.on_start()
    route = Route("r", "h.example", "/a/", RequestKind.NON_IDEMPOTENT, (("s", 1.0),), attempts=2)
    context.gateway.set_route_table(RouteTable.build(1, [route], [ServiceSpec("s")]))
    context.app = app


@given(
    "a gateway with {count:d} busy nodes in the own region and {other:d} idle ones in the other, "
    "whose link holds up for {seconds:g} s"
)
def gateway_with_full_link(context, count, other, seconds):
    gateway_with_nodes(context, count)
    near = [Candidate(f"n{index}", "east", "d") for index in range(count)]
    far = [Candidate(f"far{index}", "west", "d") for index in range(other)]
    members, selection = context.gateway.members, context.gateway.selector
    members.candidates = lambda *_: near + far
    members.region_of = lambda node: "west" if node.startswith("far") else "east"
    now = context.app.clock.monotonic()
    for taken in (0.06, 0.06 + seconds):
        selection.path_delay("west").record(taken, now)
        context.app.clock.advance(1.1)
        now = context.app.clock.monotonic()
    selection.path_delay("west").record(0.06 + seconds, now)
    for entry in near:
        selection.on_report(entry.node, LoadReport(6, 200, 6, 0.5, True), now)


@given("a gateway that knows an old owner of a key")
def gateway_with_keys(context):
    gateway_with_nodes(context, 3)
    gateway = context.gateway
    context.refreshed = []
    gateway.rings.owner_node = lambda *_: "n0"
    gateway.rings.refresh_ring = lambda service, _done: context.refreshed.append(service)
    gateway.members.store_reachable = True
    route = Route("r", "h.example", "/a/", RequestKind.IDEMPOTENT, (("s", 1.0),), attempts=2)
    gateway.set_route_table(RouteTable.build(2, [route], [ServiceSpec("s", partitioned=True)]))
    request = Request()
    request.headers.append((gateway.header_names.key, "7"))
    gateway.on_request(request)


SIGNATURE = "x-signature"
REPEAT_REASONS = {
    "is refused as the node stops": ("stopping", False),
    "is refused as the node has no time": (TOO_LATE_REASON, False),
    "loses its connection": ("peer_disconnected", True),
}


@when("the target answers a request for the key with 500, and the repeat {ends}")
def fails_and_repeat_ends(context, ends):
    context.request = Request()
    context.request.headers.append((context.gateway.header_names.key, "7"))
    context.gateway.on_request(context.request)
    _, forward, _, reply = context.hop.sent[-1]
    reply(Answered(forward.id, 500, ((SIGNATURE, "s"),), FREE), b"failed")
    _, repeat, _, reply = context.hop.sent[-1]
    assert repeat.id != forward.id, "the request was not repeated"
    if ends in REPEAT_REASONS:
        reason, may_have_run = REPEAT_REASONS[ends]
        reply(Declined(repeat.id, reason, may_have_run, may_have_run, 0.0, FREE), b"")
    else:
        context.app.clock.advance(DEFAULT_TIMEOUT_SECONDS + 0.1)
        context.app.scheduler.run_due(Stub("loop", reduce_time_left=lambda _: None))


@then("the caller gets the target's answer 500 with its signature and body")
def gets_target_failure(context):
    status, headers, body, _close = context.request.answer
    assert (status, body) == (500, b"failed") and dict(headers)[SIGNATURE] == "s", context.request.answer


@when('a caller sends a request with the key "{key}" or one of {digits:d} digits')
def odd_keys(context, key, digits):
    context.requests = []
    for value in (key, "9" * digits):
        request = Request()
        request.headers.append((context.gateway.header_names.key, value))
        context.requests.append(request)
        context.gateway.on_request(request)


@then("each of them is refused with status {status:d}")
def each_refused(context, status):
    assert [request.answer[0] for request in context.requests] == [status, status]


def decline_moved(context, owner):
    _, forward, _, reply = context.hop.sent[-1]
    reply(Declined(forward.id, NOT_OWNER_REASON, False, False, 0.0, FREE, owner), b"")


@given('the route allows only the region "{region}", and "{owner}" is in the region "{other}"')
def allowed_regions(context, region, owner, other):
    gateway, table = context.gateway, context.gateway.route_table
    (route,) = table.by_host["h.example"]
    route = msgspec.structs.replace(route, regions=(region,))
    gateway.set_route_table(RouteTable.build(3, [route], list(table.services.values())))
    gateway.members.region_of = lambda node: other if node == owner else region
    context.hop.sent.clear()


@when('a caller sends a request for the key, which moves to "{owner}" if the old owner is asked')
def keyed_request(context, owner):
    context.request = Request()
    context.request.headers.append((context.gateway.header_names.key, "7"))
    with mock.patch.object(log_events, "emit") as emit:
        context.gateway.on_request(context.request)
        if context.hop.sent:
            decline_moved(context, owner)
    context.events = [call.args[0] for call in emit.call_args_list]


@then('the caller gets 503 with reason "{reason}" and a Retry-After of {seconds:g} s')
def gets_refusal(context, reason, seconds):
    status, headers, _body, _close = context.request.answer
    assert status == 503 and float(dict(headers)["retry-after"]) == seconds, context.request.answer
    (ended,) = context.events
    assert isinstance(ended, RequestEnded) and ended.reason == reason, ended


@then('nothing of it was sent to the region "{region}"')
def nothing_sent(context, region):
    assert region not in [context.gateway.members.region_of(node) for node, *_ in context.hop.sent]


@when("the old owner declines a request and names the new one")
def old_owner_declines(context):
    decline_moved(context, "n1")


@then("the request goes to the new owner at once")
def goes_to_new_owner(context):
    assert [node for node, *_ in context.hop.sent] == ["n0", "n1"] and not context.refreshed


@when("the new owner declines it too and names the old one")
def new_owner_declines(context):
    decline_moved(context, "n0")
    context.app.clock.advance(0.3)
    # The key's owner as known here has been asked before.
    context.gateway.rings.owner_node = lambda *_: "n1"
    context.app.scheduler.run_due(Stub("loop", reduce_time_left=lambda _: None))


@then("the ring is read")
def ring_is_read(context):
    assert context.refreshed == ["s"] and len(context.hop.sent) == 2


@when("{count:d} requests arrive")
def many_requests(context, count):
    context.count = count
    for _ in range(count):
        context.gateway.on_request(Request())


@then("all of them are sent, and at least {share:g} to the own region")
def all_near(context, share):
    nodes = [node for node, *_ in context.hop.sent]
    assert len(nodes) == context.count, len(nodes)
    assert sum(node.startswith("n") for node in nodes) >= share * context.count, nodes


def decline(context, reason, load=FREE):
    node, forward, _, reply = context.hop.sent[-1]
    context.gateway.selector.on_report(node, context.gateway.selector.node_state(node).report, 100.0)
    reply(Declined(forward.id, reason, False, False, 0.0, load), b"")
    return node


@when("a node declines a request because it was held up on its way")
def held_up(context):
    context.gateway.on_request(Request())
    context.first = decline(context, LATE_REASON)


@then("the request goes to another node, and the next {count:d} requests too")
def passed_over(context, count):
    for _ in range(count):
        context.gateway.on_request(Request())
    nodes = [node for node, *_ in context.hop.sent[1:]]
    assert len(nodes) == count + 1 and context.first not in nodes


@when("two nodes turn a request away because they have no free slot")
def turned_away(context):
    context.gateway.on_request(Request())
    context.turned_away = [decline(context, BUSY_REASON) for _ in range(2)]


@when("a node turns a request away because it has no free slot")
def turned_away_once(context):
    context.gateway.on_request(Request())
    context.turned_away = [decline(context, BUSY_REASON)]


@then("another node gets it and may queue it")
def another_node(context):
    assert [forward.only_if_free for _, forward, *_ in context.hop.sent] == [True, False]


@then("a third node gets it and may queue it")
def third_node(context):
    assert [forward.only_if_free for _, forward, *_ in context.hop.sent] == [True, True, False]
    assert len(set(context.turned_away)) == 2


@when("it sends the peer a request with a body of {size:d} bytes")
def sends_large_body(context, size):
    hop = context.hop
    context.frames, context.outcomes = [], []
    hop.peer_states["peer"] = PeerState("127.0.0.1:9", 0.0)
    hop.peers.try_send_request = lambda _address, message, body=b"": (
        context.frames.append((message, body)) or True
    )
    context.body = b"x" * size
    for number in (1, 2):
        hop.send("peer", forward(number), context.body, lambda answer, _body: context.outcomes.append(answer))


@when("it sends requests before and after a restart of the peer, and learns of the restart after that")
def restarted_peer(context):
    hop, clock = context.hop, context.app.clock
    context.outcomes = []
    hop.peer_states["peer"] = PeerState("127.0.0.1:9", 0.0)
    hop.peers.try_send_request = lambda *_arguments: True
    hop.on_reply(Pong("peer", "first", clock.monotonic(), FREE, 50.0), b"")
    hop.send("peer", forward(1), b"", lambda answer, _body: context.outcomes.append(answer))
    clock.advance(2.0)
    hop.send("peer", forward(2), b"", lambda answer, _body: context.outcomes.append(answer))
    clock.advance(0.2)
    pinged_at = clock.monotonic()
    clock.advance(0.01)
    hop.on_reply(Pong("peer", "second", pinged_at, FREE, 1.0), b"")


@then("only the request from before the restart is given up")
def only_earlier(context):
    assert [answer.id for answer in context.outcomes] == [b"\x01"]
    assert context.outcomes[0].may_have_run


@when("the peer's row is removed")
def row_removed(context):
    context.forgotten = []
    context.hop.peers.disconnect_peer = context.forgotten.append
    del context.hop.members.nodes["peer"]
    context.hop.connect_to_members()
    context.hop.ping()


@then("the peer's answer is passed on, and the connection is closed after that")
def answer_passed_on(context):
    assert not context.outcomes and not context.forgotten
    for number in (1, 2):
        context.hop.on_reply(Answered(bytes([number]), 200, (), FREE), b"ok")
    assert [answer.status for answer in context.outcomes] == [200, 200]
    context.hop.ping()
    assert context.forgotten == ["127.0.0.1:9"]


@then("the body is offered, and its parts are sent once when the peer asks for them")
def body_offered(context):
    assert [(message.offered_bytes, body) for message, body in context.frames] == [(60_000, b"")] * 2
    for first, count in ((0, 40_000), (40_000, 20_000), (40_000, 20_000)):
        context.hop.on_reply(SendBody(bytes([1]), first, count), b"")
    sent = [(Body(bytes([1]), 0), b"x" * 40_000), (Body(bytes([1]), 40_000), b"x" * 20_000)]
    assert context.frames[2:] == sent


@then(
    'the loss of the peer means "not run" before the end of the body was sent, and "may have run" after that'
)
def loss_of_peer(context):
    context.hop.on_reply(SendBody(bytes([1]), 0, 60_000), b"")
    context.hop.on_reply(SendBody(bytes([2]), 0, 59_999), b"")
    context.hop.decline_outstanding("peer", "silent")
    assert {answer.id: answer.may_have_run for answer in context.outcomes} == {b"\x01": True, b"\x02": False}


@given("a link of {rate:d} bytes a second")
def narrow_link(context, rate):
    context.rate, context.gate = rate, BodyGate(rate)


@when("{count:d} bodies of {size:d} bytes are offered at once, every fourth of them urgent")
def bodies_offered(context, count, size):
    gate, context.asked, context.most, context.count = context.gate, [], 0.0, count
    for number in range(count):
        gate.offer(bytes([number]), size, 0 if number % 4 == 0 else 1, 9.0)
    on_the_way, arrived = [], []
    while gate.transfers:
        while (part := gate.next_chunk()) is not None:
            on_the_way.append(part)
        context.most = max(context.most, sum(count for *_, count in on_the_way) / context.rate)
        request_id, first, count = on_the_way.pop(0)
        assert gate.on_chunk_received(request_id, first, count) and not gate.on_chunk_received(
            request_id, first, count
        )
        arrived.append((request_id[0], first, count))
        if first + count == size:
            gate.forget(request_id)
            context.asked.append(request_id[0])
    assert sum(count for *_, count in arrived) == size * context.count
    assert gate.in_flight == 0


@when("a body of {size:d} bytes is offered from another region and its parts do not come")
def far_body(context, size):
    context.gate.offer(b"far", size, 0, 1.0, cross_region=True)
    while context.gate.next_chunk() is not None:
        pass


@then("a body of {size:d} bytes from the own region arrives")
def near_body_arrives(context, size):
    context.gate.offer(b"near", size, 1, 9.0)
    arrived = 0
    while (part := context.gate.next_chunk()) is not None:
        request_id, first, count = part
        assert request_id == b"near"
        assert context.gate.on_chunk_received(request_id, first, count)
        arrived += count
    assert arrived == size


@then("at most {seconds:g} s of the link is asked for at any time, urgent bodies first, and all in the end")
def link_bounded(context, seconds):
    assert 0.0 < context.most <= seconds, context.most
    assert context.asked == sorted(range(context.count), key=lambda number: (number % 4 != 0, number))


def deliver(receiver, request_id):
    """Let a body arrive in the parts that are asked for, as far as it is wanted."""
    while (transfer := receiver.body_gate.transfers.get(request_id)) is not None:
        part = b"x" * (transfer.requested - transfer.received)
        if not part:
            return
        receiver.on_body_part(request_id, transfer.received, part)


def asked_for(receiver):
    """Return the requests of whose bodies a part was asked for."""
    return {request_id for request_id, transfer in receiver.body_gate.transfers.items() if transfer.requested}


@given("a receiver on a link of {rate:d} bytes a second with {count:d} offered bodies")
def receiver_with_bodies(context, rate, count):
    app = context.app = receiver_application()
    app.add(Stub("http_client", request=lambda *_arguments, **_more: None))
    target = app.add(LocalTarget(SETTINGS))
    settings = msgspec.structs.replace(SETTINGS, link_bytes_per_second=float(rate))
    app.add(Stub("crash_detector"))
    app.add(Quarantine(SETTINGS))
    receiver = context.receiver = app.add(Receiver(settings, HeaderNames()))
    receiver.on_start()
    target.on_heartbeat(TargetHeartbeat("i-1", "other", "127.0.0.1:1", 6, False, 1), lambda _grant: None)
    # The receiver runs for a while already.
    receiver.on_first_answer()
    context.replies = []
    for number in range(count):
        receiver.on_forward(
            forward(number, 60_000, 1.0 if number < 4 else 5.0),
            b"",
            0.0,
            lambda answer, _body: context.replies.append(answer),
        )
    context.asked = asked_for(receiver)
    assert bool(count) <= len(context.asked) < 4


@when("callers of the bodies that were asked for leave")
def callers_leave(context):
    for request_id in context.asked:
        context.receiver.cancel(request_id)


@when("deadlines of the bodies that were asked for pass")
def deadlines_pass(context):
    context.app.clock.advance(1.2)
    context.receiver.decline_expired()


@when("bodies that were asked for arrive")
def bodies_arrive(context):
    for request_id in context.asked:
        deliver(context.receiver, request_id)


@then("the other bodies are asked for")
def others_asked(context):
    receiver = context.receiver
    for _ in range(8):
        for request_id in asked_for(receiver):
            deliver(receiver, request_id)
    asked = {answer.id for answer in context.replies if type(answer) is SendBody}
    declined = {answer.id for answer in context.replies if type(answer) is Declined}
    assert {bytes([number]) for number in range(4, 8)} <= asked
    assert asked | declined >= {bytes([number]) for number in range(8)} - context.asked
    assert not receiver.body_gate.transfers and not receiver.body_gate.in_flight


@given("the operator's rows with an evacuated failure domain")
def evacuated_domain(context):
    app = application()
    context.evacuated = []
    app.add(Stub("gateway"))
    app.add(Stub("members", set_evacuated_domains=context.evacuated.append, nodes={}, store_reachable=True))
    context.follows = []
    app.add(
        Stub("table", poll_changes=lambda table, since, callback: context.follows.append((since, callback)))
    )
    lone_gossip(app)
    app.add(OperatorRows()).on_start()
    rows = (WireRow(EVACUATE_PREFIX + "east-2", 5, ""),)
    context.follows[-1][1](Success(RowChanges(rows, 5, True)))
    assert context.evacuated[-1] == {"east-2"}


@when("the evacuation ends while the store has dropped its history")
def history_dropped(context):
    since, callback = context.follows[-1]
    assert since == 5
    callback(Success(RowChanges((), 9, True)))


@then("no failure domain counts as evacuated")
def none_evacuated(context):
    assert context.evacuated[-1] == frozenset()


@when("a complete read of the rows lacks one of them")
def complete_read(context):
    context.members = context.world.nodes["n0"].members
    table = context.members.table
    rows = [row for key, row in context.world.store.rows.items() if key.startswith(("node/", "ring/"))]
    kept = tuple(table.known_row(row) for row in rows if row.key != "node/n2")
    version = make_version(table.era, context.world.store.version)
    context.members.on_changes(Success(Changes(version, kept, True)))


@then("that node is no candidate any more, and the others are")
def forgotten(context):
    nodes = {candidate.node for candidate in context.members.candidates("keys", ())}
    assert nodes == {"n0", "n1", "n3"}, nodes


@given("a client of the platform's store whose calls time out")
def store_times_out(context):
    app = application()
    context.limits = []

    def request(_address, _method, _path, _headers, _body, timeout, callback, *_, max_seconds):
        assert max_seconds > timeout
        context.limits.append(timeout)
        callback(Failure(HttpFailure(False, FailureKind.TIMEOUT, 0, 0)))

    app.add(Stub("http_client", request=request, connect_seconds=lambda _address: 0.0))
    context.client = app.add(StoreClient("127.0.0.1:1"))
    context.client.on_start()


@when("changes are read {count:d} times")
def read_changes(context, count):
    for _ in range(count):
        context.client.changes(7, lambda _result: None)


@then("the time limits grow from {least:g} s to {most:g} s after the first one")
def limits_grow(context, least, most):
    limits = context.limits[1:]
    assert limits[0] == least and limits[-1] == most and limits == sorted(limits), limits


@when("{count:d} more bodies are offered")
def more_bodies(context, count):
    for number in range(100, 100 + count):
        context.receiver.on_forward(
            forward(number, 60_000, 3.0), b"", 0.0, lambda answer, _body: context.replies.append(answer)
        )


@then("the last ones are declined with a time to come back of {least:g} s to {most:g} s")
def last_declined(context, least, most):
    declined = [answer for answer in context.replies if type(answer) is Declined]
    assert declined and declined[-1].id == bytes([119])
    assert all(least <= answer.retry_after <= most and not answer.may_have_run for answer in declined)


@then("the load report counts what waits for the link")
def load_counts_bodies(context):
    _running, queued, slots, service, _accepting = context.receiver.load_report()
    waits = context.receiver.body_gate.expected_wait()
    assert waits > 1.0 and queued * service / slots >= waits


@when("an upload waits at another node while the node must end")
def upload_waits(context):
    context.request = Request(b"x" * 60_000)
    context.gateway.on_request(context.request)
    context.hop.unsent = {context.hop.sent[0][1].id}
    context.gateway.refuse_unsent()


@then("its caller is told to come back, and that it has not run")
def told_not_run(context):
    status, headers, *_ = context.request.answer
    assert status == 503 and "retry-after" in dict(headers)
    assert not context.gateway.pending_requests


@when("a read that may be sent to {count:d} targets is not answered by the first one")
def first_target_silent(context, count):
    route = Route("r", "h.example", "/a/", RequestKind.IDEMPOTENT, (("s", 1.0),), attempts=count)
    context.gateway.set_route_table(RouteTable.build(2, [route], [ServiceSpec("s")]))
    context.gateway.on_request(Request())
    _, sent, _, reply = context.hop.sent[0]
    reply(Declined(sent.id, "target_unanswered", True, True, 0.0, FREE), b"")


@then("the first target was told that another one may get it, and the second one that none does")
def told_last_attempt(context):
    assert [sent.last_attempt for _, sent, _, _ in context.hop.sent] == [False, True], context.hop.sent
