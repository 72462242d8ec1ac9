"""Steps for calls to the store over a congested link.

They guard against answers that are dropped while they arrive and asked for again, which keeps a link full.
"""

from unittest import mock

import msgspec
from behave import given, then, when
from returns.result import Success
from tests.loopback import Loopback, Results, free_address
from tests.router_stubs import SETTINGS
from tools.standins.rows_store import HISTORY_SECONDS, Faults, LinkAnswer, Restoration, RowsStore
from tools.standins.scripted_peer import ScriptedPeer

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.clock import ManualClock
from hibiscusdrum.internal.platform.table import Transaction, era_of, make_version
from hibiscusdrum.internal.router.metrics import render_traffic
from hibiscusdrum.internal.router.traffic import STORE, Traffic
from hibiscusdrum.internal.transport.http_client import HttpClient
from hibiscusdrum.internal.transport.http_connection import FailureKind
from hibiscusdrum.platform.store import MEMBERS_TABLE, StoreClient, encode_value

PARTIAL_ANSWER = b'HTTP/1.1 200 OK\r\nstore-era: 1\r\ncontent-length: 900\r\n\r\n{"records":['


@given("a store that closes the connection within its answer")
def store_that_closes(context):
    peer = ScriptedPeer([[PARTIAL_ANSWER, "wait", "close"]], free_address())
    context.client = StoreClient(peer.address)
    context.client.era = 1
    context.traffic = Traffic(SETTINGS)
    services = HttpClient(), peer, context.client, context.traffic
    context.loopback = Loopback(*services)
    context.add_cleanup(context.loopback.stop)


@when("the store is polled for changes")
def poll(context):
    context.results = Results()
    with mock.patch.object(log_events, "emit") as emit:
        context.client.poll_changes(MEMBERS_TABLE, make_version(1, 5), context.results.append)
        context.results.one(context.loopback)
    context.logged = [entry.args[0] for entry in emit.call_args_list]


@then("the call has failed, and the received bytes of its answer are counted and logged")
def dropped_bytes(context):
    assert context.results[0].failure().reason == "unknown"
    count = len(PARTIAL_ANSWER)
    failed = next(event for event in context.logged if event.event_name() == "store_call_failed")
    assert (failed.received_bytes, failed.connected) == (count, True), failed
    assert context.traffic.received_bytes == {(STORE, "changes_dropped"): count}
    with mock.patch.object(log_events, "emit") as emit:
        context.traffic.log_summary()
    assert emit.call_args.args[0].bytes == {"received_store.changes_dropped": count}
    line = f'hibiscusdrum_received_bytes_total{{place="store",kind="changes_dropped"}} {count}'
    assert line in render_traffic(context.traffic)


@given("a stand-in of the store")
def stand_in(context):
    context.store = RowsStore(free_address())
    context.client = StoreClient(context.store.address)
    context.loopback = Loopback(HttpClient(), context.store, context.client)
    context.add_cleanup(context.loopback.stop)


@when("a row is written {count:d} times and then deleted")
def written_and_deleted(context, count):
    context.values = [*(encode_value(number) for number in range(count)), None]
    for value in context.values:
        context.store.write_rows({(MEMBERS_TABLE, "node/a"): value, (MEMBERS_TABLE, "node/b"): value})


def poll_after(context, version):
    results = Results()
    context.client.era = 1
    context.client.poll_changes(MEMBERS_TABLE, make_version(1, version), results.append)
    return results.one(context.loopback).unwrap()


@then("a poll for changes returns {count:d} versions of it in order")
def versions_in_order(context, count):
    rows = [row for row in poll_after(context, 0).rows if row.key == "node/a"]
    assert [row.ver for row in rows] == [make_version(1, number + 1) for number in range(count)]
    assert [row.value or None for row in rows] == context.values and rows[-1].deleted


@then("a poll after a version that the stand-in has dropped reads the whole table")
def dropped_version(context):
    for row in context.store.history:
        row.at -= HISTORY_SECONDS
    context.store.write_rows({(MEMBERS_TABLE, "node/c"): encode_value(1)})
    answer = poll_after(context, 1)
    assert answer.complete and [row.key for row in answer.rows] == ["node/c"], answer


@given("a table of {count:d} rows of {size:d} bytes")
def table(context, count, size):
    value = encode_value("x" * size)
    context.store.write_rows({(MEMBERS_TABLE, f"node/{number:05d}"): value for number in range(count)})


def read_table(context, faults, callers):
    context.store.faults = faults
    context.read_results = [Results() for _ in range(callers)]
    for results in context.read_results:
        context.client.read_range(MEMBERS_TABLE, "", "", results.append)


@when("{callers:d} callers read it over a link of {rate:d} bytes per second")
def read_over_link(context, callers, rate):
    read_table(context, Faults(link_bytes_per_second=rate), callers)
    size = sum(len(row.value) + len(row.key) for row in context.store.history)
    context.link_seconds = callers * size / rate


@then("no caller is answered after half of the time that the link needs for all of them")
def none_answered(context):
    context.loopback.run_for(context.link_seconds / 2)
    assert not any(context.read_results)
    assert len(context.store.link) == len(context.read_results)


@then("all of them are answered soon after that time")
def all_answered(context):
    for results in context.read_results:
        assert isinstance(results.one(context.loopback, context.link_seconds), Success)


@when("{callers:d} callers read it while it turns {share:g} of the connections away")
def read_turned_away(context, callers, share):
    read_table(context, Faults(turned_away=share), callers)


@then("between {least:d} and {most:d} of them are turned away")
def turned_away(context, least, most):
    context.loopback.run_until(lambda: all(context.read_results))
    answers = [results[0] for results in context.read_results]
    reasons = [answer.failure().reason for answer in answers if not isinstance(answer, Success)]
    assert set(reasons) == {"status_503"} and least <= len(reasons) <= most, reasons


# The store answers byte by byte, on a manual clock

ROW_ANSWER = b"HTTP/1.1 200 OK\r\nstore-era: 1\r\ncontent-length: %d\r\n\r\n%b" % (
    len(ROW_BODY := b'{"records":[{"key":"node/a","ver":7,"value":"MQ=="}],"ver":7}'),
    ROW_BODY,
)
STEP_SECONDS = 0.1


@given("a store whose answers a test sends byte by byte")
def paced_store(context):
    context.store = ScriptedPeer([["hold"]], free_address())
    context.client = StoreClient(context.store.address)
    context.client.era = 1
    context.http = HttpClient()
    context.clock = ManualClock()
    context.loopback = Loopback(context.http, context.store, context.client, clock=context.clock)
    context.add_cleanup(context.loopback.stop)


def advance(context, seconds):
    """Let time pass in steps, in which the process runs."""
    for _ in range(round(seconds / STEP_SECONDS)):
        context.clock.advance(STEP_SECONDS)
        context.loopback.settle()


def begin(context, call):
    context.results = Results()
    client, callback = context.client, context.results.append
    if call == "poll for changes":
        client.poll_changes(MEMBERS_TABLE, make_version(1, 5), callback)
    elif call == "read of a table":
        client.poll_changes(MEMBERS_TABLE, None, callback)
    elif call == "read of a row":
        client.read(("node/a",), callback)
    else:
        client.commit(Transaction("1", {"node/a": 0}, {"node/a": 1}), callback)


def request_arrived(context):
    count = len(context.store.requests)
    context.loopback.run_until(lambda: len(context.store.requests) > count)


def answer(context, data):
    """Send bytes to the client, unless it has closed the connection."""
    if context.store.receive_buffers:
        list(context.store.receive_buffers)[-1].send(data)


def answer_in_parts(context, count, seconds):
    size = -(-len(ROW_ANSWER) // count)
    for start in range(0, len(ROW_ANSWER), size):
        advance(context, seconds)
        answer(context, ROW_ANSWER[start : start + size])
    context.loopback.settle()


@when("a {call} is sent, and its answer arrives in {count:d} parts {seconds:g} s apart")
def slow_answer(context, call, count, seconds):
    begin(context, call)
    request_arrived(context)
    answer_in_parts(context, count, seconds)


@then("its answer is used, and the store has received {count:d} request")
@then("its answer is used, and the store has received {count:d} requests")
def answer_used(context, count):
    assert len(context.results) == 1 and isinstance(context.results[0], Success), context.results
    assert len(context.store.requests) == count, context.store.requests


@when("a {call} is sent, and its connection is opened after {seconds:g} s")
def late_connection(context, call, seconds):
    with mock.patch.object(HttpClient, "finish_connect"):
        begin(context, call)
        advance(context, seconds)
    context.loopback.settle()


@when("the whole answer arrives {seconds:g} s later")
def whole_answer(context, seconds):
    advance(context, seconds)
    answer(context, ROW_ANSWER)
    context.loopback.settle()


@when("a {call} is sent, and its answer arrives while the process pauses for {seconds:g} s")
def answer_in_pause(context, call, seconds):
    begin(context, call)
    request_arrived(context)
    answer(context, ROW_ANSWER)
    context.clock.advance(seconds)
    context.loopback.settle()


@when("a {call} is sent, and {part} of its answer arrives")
def part_of_answer(context, call, part):
    begin(context, call)
    request_arrived(context)
    context.trickle = b""
    if part == "a part":
        advance(context, 1.0)
        answer(context, ROW_ANSWER[:40])
        context.loopback.settle()


@when("a {call} is sent, and a byte of its answer arrives every {seconds:g} s")
def trickling_answer(context, call, seconds):
    begin(context, call)
    request_arrived(context)
    context.trickle, context.trickle_seconds = ROW_ANSWER, seconds


def trickle(context, seconds):
    for _ in range(round(seconds / STEP_SECONDS)):
        context.clock.advance(STEP_SECONDS)
        context.trickled = getattr(context, "trickled", 0) + 1
        if context.trickle and context.trickled % round(context.trickle_seconds / STEP_SECONDS) == 0:
            answer(context, context.trickle[:1])
            context.trickle = context.trickle[1:]
        context.loopback.settle()


@then("it ends {seconds:g} s later, and not {margin:g} s earlier")
def ended_after(context, seconds, margin):
    trickle(context, seconds - margin)
    assert not context.results, context.results[0].failure().reason
    # A step more, since the sums of steps are not exact.
    trickle(context, margin + STEP_SECONDS)
    assert context.results[0].failure().reason == "unknown"


@when(
    "a target is asked with a deadline of {limit:g} s, and its answer comes in {count:d} parts "
    "{seconds:g} s apart"
)
def target_request(context, limit, count, seconds):
    context.results = Results()
    context.http.request(context.store.address, "GET", "/", {}, b"", limit, context.results.append)
    request_arrived(context)
    answer_in_parts(context, count, seconds)


@then("it has ended with a timeout")
def ended_with_timeout(context):
    assert context.results[0].failure().kind is FailureKind.TIMEOUT


@when("the connection is lost, and a {call} is sent on another one")
def on_another_connection(context, call):
    context.store.close_all()
    context.loopback.settle()
    begin(context, call)
    request_arrived(context)


@then("the store is asked to wait for {milliseconds:d} ms")
def asked_to_wait(context, milliseconds):
    request = context.store.requests[-1]
    assert f"blockMs={milliseconds} ".encode() in request, request


# Several pages, and many nodes, over loopback


def count_requests(context, act):
    """Call ``act`` with the number of each read that the store receives, before it is answered."""
    context.requests = 0
    handle_call = context.store.handle_call

    def counted(request, path, query):
        context.requests += 1
        act(context.requests, request)
        if not request.connection.closed:
            handle_call(request, path, query)

    context.store.handle_call = counted


def read_pages(context, act):
    count_requests(context, act)
    context.results = Results()
    context.client.read_range(MEMBERS_TABLE, "", "", context.results.append)
    context.results.one(context.loopback)


@when("a caller reads it, and the connection of the second page is lost")
def page_lost(context):
    read_pages(context, lambda number, request: number == 2 and context.store.close(request.connection))


@when("a caller reads it, and the store is restored while it loses the connection of the second page")
def page_lost_in_restore(context):
    def lose(number, request):
        if number == 2:
            context.store.close(request.connection)
            context.store.restore(Restoration(age_s=0.0))

    read_pages(context, lose)


@then("they are of era {era:d}")
def of_era(context, era):
    answer = context.results[0].unwrap()
    assert {era_of(version) for version in (answer.ver, *(row.ver for row in answer.records))} == {era}


@then("it has read {rows:d} rows with {requests:d} requests")
def pages_read(context, rows, requests):
    keys = [row.key for row in context.results[0].unwrap().records]
    assert len(keys) == len(set(keys)) == rows and context.requests == requests, context.requests


@when("a caller reads it, and the store refuses all calls after the first page")
def pages_refused(context):
    def refuse(number, _request):
        context.store.faults = Faults(down=number > 1)

    read_pages(context, refuse)


@then("the read has failed after at most {requests:d} requests")
def read_failed(context, requests):
    assert context.results[0].failure().reason == "status_503" and context.requests <= requests


@when("{count:d} nodes read it over a link of {rate:d} bytes per second until each of them has it")
def nodes_read(context, count, rate):
    context.store.faults = Faults(link_bytes_per_second=rate)
    context.carried, context.complete = 0, 0
    send = LinkAnswer.send

    def counted(answer, limit):
        sent = send(answer, limit)
        context.carried += sent
        return sent

    def read(result=None):
        if isinstance(result, Success):
            context.complete += 1
        else:
            context.client.read_range(MEMBERS_TABLE, "", "", read)

    patched = mock.patch.object(LinkAnswer, "send", counted)
    patched.start()
    context.add_cleanup(patched.stop)
    for _ in range(count):
        read()
    context.node_count = count


@then(
    "all of them have it within {seconds:g} s, and the link has carried it at most {times:g} times for each"
)
def nodes_have_it(context, seconds, times):
    context.loopback.run_until(lambda: context.complete == context.node_count, seconds)
    rows = [{"key": row.key, "ver": 1, "value": row.value} for row in context.store.history]
    size = len(msgspec.json.encode(rows))
    assert context.carried <= times * context.node_count * size, (context.carried, size)
