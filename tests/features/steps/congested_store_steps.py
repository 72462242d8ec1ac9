"""Steps for calls to the store over a congested link.

They guard against answers that are dropped while they arrive and asked for again, which keeps a link full.
"""

from unittest import mock

from behave import given, then, when
from returns.result import Success
from tests.loopback import Loopback, Results, free_address
from tests.router_stubs import SETTINGS
from tools.standins.rows_store import HISTORY_SECONDS, Faults, RowsStore
from tools.standins.scripted_peer import ScriptedPeer

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.platform.table import make_version
from hibiscusdrum.internal.router.metrics import render_traffic
from hibiscusdrum.internal.router.traffic import STORE, Traffic
from hibiscusdrum.internal.transport.http_client import HttpClient
from hibiscusdrum.platform.store import ROUTER_TABLE, StoreClient, encode_value

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
        context.client.poll_changes(ROUTER_TABLE, make_version(1, 5), context.results.append)
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
        context.store.write_rows({(ROUTER_TABLE, "node/a"): value, (ROUTER_TABLE, "node/b"): value})


def poll_after(context, version):
    results = Results()
    context.client.era = 1
    context.client.poll_changes(ROUTER_TABLE, make_version(1, version), results.append)
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
    context.store.write_rows({(ROUTER_TABLE, "node/c"): encode_value(1)})
    answer = poll_after(context, 1)
    assert answer.complete and [row.key for row in answer.rows] == ["node/c"], answer


@given("a table of {count:d} rows of {size:d} bytes")
def table(context, count, size):
    value = encode_value("x" * size)
    context.store.write_rows({(ROUTER_TABLE, f"node/{number:05d}"): value for number in range(count)})


def read_table(context, faults, callers):
    context.store.faults = faults
    context.read_results = [Results() for _ in range(callers)]
    for results in context.read_results:
        context.client.read_range(ROUTER_TABLE, "", "", results.append)


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
