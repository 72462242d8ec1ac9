"""Steps for calls to the store over a congested link.

They guard against answers that are dropped while they arrive and asked for again, which keeps a link full.
"""

from unittest import mock

from behave import given, then, when
from tests.loopback import Loopback, Results, free_address
from tests.router_stubs import SETTINGS
from tools.standins.scripted_peer import ScriptedPeer

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.platform.table import make_version
from hibiscusdrum.internal.router.metrics import render_traffic
from hibiscusdrum.internal.router.traffic import STORE, Traffic
from hibiscusdrum.internal.transport.http_client import HttpClient
from hibiscusdrum.platform.store import ROUTER_TABLE, StoreClient

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
