"""Steps with odd entries in the store, in heartbeats and between nodes.

They guard against an entry of another writer that ends a process, stops it from following the store, or names
a target to use.
"""

import base64
import contextlib
import io
import json
import random

import msgspec
import zmq
from behave import given, then, when
from returns.result import Success
from tests.loopback import Loopback, free_address
from tests.odd_entries import (
    CONFIG,
    HEARTBEAT,
    MISSING,
    NESTED,
    NODE,
    SOUND,
    encode,
    packed,
    variants,
    with_field,
)  # fmt: skip
from tests.router_stubs import FREE, SETTINGS, Stub, application, forward, lone_hop
from tests.router_world import PROBED_KEYS, World
from tools.standins.rows_store import RowsStore

from hibiscusdrum.errors import HibiscusdrumError, InvalidArgument, InvalidFrame
from hibiscusdrum.internal import codec, log_events
from hibiscusdrum.internal.messages import Answered, ConfigAck, Declined, Ping, Pong
from hibiscusdrum.internal.platform.table import Row
from hibiscusdrum.internal.router.config_gossip import ConfigGossip
from hibiscusdrum.internal.router.hop import Forwarder
from hibiscusdrum.internal.router.lease_keeper import LeaseKeeper
from hibiscusdrum.internal.router.local_target import LocalTarget
from hibiscusdrum.internal.router.members import Members
from hibiscusdrum.internal.router.metrics import RouterMetrics
from hibiscusdrum.internal.router.quarantine import Quarantine
from hibiscusdrum.internal.router.range_owner import RangeOwner
from hibiscusdrum.internal.router.ring import Range
from hibiscusdrum.internal.router.rings import Rings
from hibiscusdrum.internal.router.routes import EMPTY_TABLE
from hibiscusdrum.internal.router.selection import NodeSelector
from hibiscusdrum.internal.router.shared_clock import SharedClock
from hibiscusdrum.internal.router.store_era import StoreEra
from hibiscusdrum.internal.router.traffic import Traffic
from hibiscusdrum.internal.transport.http_client import HttpClient
from hibiscusdrum.internal.transport.http_entry import HttpEntry
from hibiscusdrum.internal.transport.peers import PeerTransport
from hibiscusdrum.platform.configuration import decode_config
from hibiscusdrum.platform.operator import OperatorRows
from hibiscusdrum.platform.reports import ReportEndpoint, decode_heartbeat, decode_leave
from hibiscusdrum.platform.store import StoreAnswer, StoreClient, WireRow, decode_row

STORE_TIME = 100.0
ROW_KEYS = {"a node row": "node/n2", "a lease row": "lease/keyed/n2", "a ring row": "ring/keyed"}


def stored_row(kind, body, version=5):
    """Return a row of the store as its client decodes it."""
    value = msgspec.json.encode(packed(body)) if kind == "a ring row" else body
    return decode_row(WireRow(ROW_KEYS[kind], version, base64.b64encode(value).decode()))


def uses_node_row(body):
    app = application()
    app.add(Stub("table"))
    members = app.add(Members(SETTINGS))
    members.apply_row(stored_row("a node row", body))
    members.notify_rows_changed()
    return bool(members.nodes)


def uses_lease_row(body):
    app = application()
    owner = app.add(RangeOwner(SETTINGS))
    owner.table = Stub("table", store_time=STORE_TIME)
    keeper = app.add(LeaseKeeper(SETTINGS))
    row = stored_row("a lease row", body)
    keeper.table = Stub("table", store_time=STORE_TIME, era=0)
    keeper.table.read = lambda keys, callback: callback(Success({keys[0]: row}))
    keeper.row_key = row.key
    keeper.resolve_write()
    owner.expired_nodes({"n2": row})
    return "n2" in owner.owner_loads


def uses_ring_row(body):
    rings = application().add(Rings(SETTINGS))
    rings.apply_row(stored_row("a ring row", body))
    return bool(rings.by_service)


def uses_store_answer(body):
    client = application().add(StoreClient("127.0.0.1:1"))
    client.observe_body(0.0, body)
    return isinstance(client.decode_rows("read", Success(StoreAnswer(200, body, 0))), Success)


def decodes(decode, *arguments):
    """Return whether a decoder accepts an entry; only the typed error counts as a refusal."""
    try:
        decode(*arguments)
    except InvalidArgument as error:
        assert error.name and len(str(error)) < 1000, str(error)[:2000]
        return False
    return True


USES = {
    "a heartbeat": lambda body: decodes(decode_heartbeat, "i-2", body),
    "a notice of departure": lambda body: decodes(decode_leave, body),
    "a node row": uses_node_row,
    "a lease row": uses_lease_row,
    "a ring row": uses_ring_row,
    "a configuration": lambda body: decodes(decode_config, body),
    "an answer of the store": uses_store_answer,
}


@then('each odd variant of "{kind}" is refused, and a sound one is accepted')
def odd_variants_refused(_context, kind):
    uses = USES[kind]
    assert uses(encode(SOUND[kind])), "the sound entry was refused"
    faults = []
    for name, body in variants(kind):
        try:
            if uses(body):
                faults.append(f"{name}: accepted")
        except Exception as error:
            faults.append(f"{name}: {type(error).__name__}")
    assert not faults, f"{len(faults)} of {len(list(variants(kind)))}:\n" + "\n".join(faults)


@then("a message with a value nested {depth:d} deep is refused as an invalid frame")
def message_nested(_context, depth):
    nested = b"\x91" * depth + b"\x90"
    refusal = b"\x95\xa7Refusal\xc4\x01a\xa1a\x81\xa1a" + nested + b"\xa1n"
    rows = b"\x94\xa8MapReply\x01\x01\x91\x93\xa1k\x01" + nested
    ignored = msgspec.msgpack.encode(["Cancel", b"a"])[1:]
    cancel = b"\x93" + ignored + nested
    for frame in (refusal, rows, cancel):
        try:
            codec.decode_request(frame)
        except HibiscusdrumError as error:
            assert isinstance(error, InvalidFrame), error
        else:
            raise AssertionError("the frame was accepted")


NAN, INFINITE = float("nan"), float("inf")
FORWARD = forward(1)
PONG = Pong("n2", "0123456789ab", 5.0, FREE, 1.0, 0.0)
ANSWERED = Answered(b"1", 200, (), FREE, 0.1, 0.0)
DECLINED = Declined(b"1", "busy", False, False, 0.1, FREE, "", 0.0)
ODD_MESSAGES = [
    *((FORWARD, {"key": key}) for key in (-2, 65_536, 10**15)),
    *((FORWARD, {name: odd}) for name in ("remaining_seconds", "goal_remaining_seconds") for odd in (NAN,)),
    (FORWARD, {"offered_bytes": -1}),
    *(
        (message, {"load": load})
        for message in (PONG, ANSWERED, DECLINED)
        for load in ((-1, 0, 6, 0.1, True), (0, -1, 6, 0.1, True), (0, 0, -1, 0.1, True))
    ),
    *(
        (message, {"load": (0, 0, 6, seconds, True)})
        for message in (PONG, ANSWERED, DECLINED)
        for seconds in (NAN, -1.0, INFINITE)
    ),
    *(
        (message, {"rate_limit": rate})
        for message in (PONG, ANSWERED, DECLINED)
        for rate in (NAN, -1.0, INFINITE)
    ),
    (DECLINED, {"retry_after": NAN}),
    (ANSWERED, {"held_seconds": NAN}),
    (ANSWERED, {"status": -1}),
]


@then("messages with keys, loads or rates out of range are refused as invalid frames")
def odd_messages(_context):
    accepted = []
    for message, changes in ODD_MESSAGES:
        assert codec.decode_request(codec.encode(message)) == message
        try:
            codec.decode_request(codec.encode(msgspec.structs.replace(message, **changes)))
        except InvalidFrame:
            continue
        accepted.append((type(message).__name__, changes))
    assert not accepted, f"{len(accepted)} of {len(ODD_MESSAGES)}: {accepted}"


@then("heartbeats of targets with odd names are refused")
def odd_names(_context):
    body = encode(HEARTBEAT)
    assert decodes(decode_heartbeat, "i-2", body)
    accepted = [
        name
        for name in ("", "a b", "a\r\nb: c", "\x00", "é", "a" * 1000)
        if decodes(decode_heartbeat, name, body)
    ]
    assert not accepted, accepted


@given("{count:d} nodes whose targets report")
@given("{count:d} nodes that hold all keys")
def nodes_that_hold(context, count):
    context.world = World(nodes=count)
    context.add_cleanup(context.world.close)
    context.world.run(8.0)
    assert context.world.held() == len(PROBED_KEYS), context.world.held()


@when("a target reports that it has released the keys {first:d} to {last:d}")
def large_release(context, first, last):
    context.world.targets["n0"].released = [Range(first, last, 0, "token")]
    context.world.run(1.5)


@then("no node keeps handover tokens for stripes that do not exist")
def bounded_tokens(context):
    for node in context.world.nodes.values():
        stripes = len(node.owner.local_ring.stripes)
        assert len(node.owner.handover_tokens) <= stripes, len(node.owner.handover_tokens)


class ScriptedStore(RowsStore):
    """The stand-in of the store, which can answer one poll of a table with given bytes."""

    def __init__(self, address):
        super().__init__(address)
        self.next_feed = {}

    def write_row(self, table, key, body):
        """Write a row unconditionally, as another writer does."""
        self.write_rows({(table, key): base64.b64encode(body).decode()})

    def handle_call(self, request, path, query):
        """Answer a poll with the scripted bytes, if there are any for its table."""
        for table, body in list(self.next_feed.items()):
            if path == "/rows-feed" and f"table={table}&" in query + "&":
                del self.next_feed[table]
                request.respond(200, [("content-type", "application/json")], body)
                return
        super().handle_call(request, path, query)


class Configured(Stub):
    """Stands in for the gateway, and keeps the newest configuration."""

    def __init__(self):
        super().__init__("gateway")
        self.table = None
        self.fail_next = False

    @property
    def route_table(self):
        """The configuration in force."""
        return self.table or EMPTY_TABLE

    def set_route_table(self, table):
        """Keep a configuration."""
        if self.fail_next:
            self.fail_next = False
            raise RuntimeError("scripted fault")
        self.table = table


@given("a node that follows the rows of the store")
def following_node(context):
    store = context.store = ScriptedStore(free_address())
    settings = msgspec.structs.replace(SETTINGS, service="keyed", peer_address=free_address())
    context.target = LocalTarget(settings)
    context.members = Members(settings)
    context.gateway = Configured()
    context.client = StoreClient(store.address)
    context.operator = OperatorRows()
    context.peers = PeerTransport(None, b"")
    context.loopback = Loopback(
        HttpClient(), store, context.client, context.peers, context.target, context.members,
        StoreEra(), Rings(settings), LeaseKeeper(settings), context.gateway,
        lone_hop(), SharedClock(), ConfigGossip(settings, random.Random(1)),
        context.operator,
    )  # fmt: skip
    context.add_cleanup(context.loopback.stop)

    def connect():
        for row in context.members.nodes.values():
            context.peers.peer(row.peer_address)

    context.members.on_change.append(connect)
    store.write_row("op", "config", encode(CONFIG))
    context.target.on_heartbeat(decode_heartbeat("i-own", encode(HEARTBEAT)), lambda _grant: None)
    context.loopback.run_until(lambda: "own" in context.members.nodes and context.gateway.table is not None)


def write_node(context, name, **changes):
    """Write a sound row of a node, with changes, and return it."""
    row = {**NODE, "node": name, "life": f"i-{name}@1"} | changes
    context.store.write_row("hibiscusdrum-members", f"node/{name}", encode(row))


def joins(context, name, limit):
    """Write the row of a node, and wait until it is known."""
    write_node(context, name)
    context.loopback.run_until(lambda: name in context.members.nodes, limit)


ODD_NODE_CHANGES = {
    "a value nested too deeply": {"life": NESTED},
    "an empty peer address": {"peer_address": ""},
    "port 99999": {"peer_address": "127.0.0.1:99999"},
    "a name of another node": {"node": "n9"},
}


@when("another writer writes a node row with {fault}, and then a node joins")
def odd_node_row(context, fault):
    write_node(context, "odd", **ODD_NODE_CHANGES[fault])
    context.loopback.run_for(0.3)
    write_node(context, "joined")


@then("the node that joined is known within {limit:g} s, and the odd one is not")
def joined_known(context, limit):
    context.loopback.run_until(lambda: "joined" in context.members.nodes, limit)
    assert sorted(context.members.nodes) == ["joined", "own"], context.members.nodes


TABLES = {"the node rows": "hibiscusdrum-members", "the operator's rows": "op"}


@when("the store once answers a poll of {rows} with {fault}")
def odd_answer(context, rows, fault):
    if fault == "a row that has no key":
        record = msgspec.json.encode({"ver": context.store.version, "value": "e30="})
    else:
        record = NESTED
    body = b'{"records":[%s],"ver":%d,"serverTimeS":1.0}' % (record, context.store.version)
    context.store.next_feed[TABLES[rows]] = body
    # Ends the poll in progress, so that the next one gets the scripted answer.
    context.store.write_row(TABLES[rows], "evacuate/nowhere", b"")
    context.loopback.run_until(lambda: not context.store.next_feed)
    context.loopback.run_for(0.1)


@when("applying one change of {rows} raises an exception")
def exception_applied(context, rows):
    if rows == "the node rows":
        failing = [True]

        def fail():
            if failing.pop() if failing else False:
                raise RuntimeError("scripted fault")

        context.members.on_change.append(fail)
        write_node(context, "first")
        context.loopback.run_until(lambda: not failing)
    else:
        context.gateway.fail_next = True
        context.store.write_row("op", "config", encode({**CONFIG, "version": "r13"}))
        context.loopback.run_until(lambda: not context.gateway.fail_next)


@then("changes of {rows} are followed within {limit:g} s")
def followed(context, rows, limit):
    if rows == "the node rows":
        joins(context, "joined", limit)
        return
    context.store.write_row("op", "evacuate/east-9", b"")
    context.loopback.run_until(lambda: "east-9" in context.members.evacuated_domains, limit)
    context.store.write_row("op", "config", encode({**CONFIG, "version": "r20"}))
    context.loopback.run_until(lambda: context.gateway.table.version == 20, limit)


@given("another node that is known to it")
def other_known(context):
    joins(context, "other", 3.0)
    assert "other" in {entry.node for entry in context.members.candidates("keyed", ())}


@when("another writer replaces the row of the other node by one that cannot be decoded")
def other_replaced(context):
    context.store.write_row("hibiscusdrum-members", "node/other", NESTED)


@then("the other node gets no requests within {limit:g} s")
def other_unused(context, limit):
    context.loopback.run_until(
        lambda: "other" not in {entry.node for entry in context.members.candidates("keyed", ())}, limit
    )


OWN_ROW_VALUES = {
    "null": b"null",
    "a value nested too deeply": NESTED,
    "a row of another type": b'{"node":5}',
}


@when("another writer replaces its own row by {value}")
def own_replaced(context, value):
    context.store.write_row("hibiscusdrum-members", "node/own", OWN_ROW_VALUES[value])


@then("its own row names its target again within {limit:g} s")
def own_written_again(context, limit):
    def written():
        _version, value = context.store.rows["hibiscusdrum-members", "node/own"]
        return b"i-own@" in base64.b64decode(value)

    context.loopback.run_until(written, limit)


@when("the operator's configuration is replaced by each odd variant in turn")
def odd_configurations(context):
    context.former = context.gateway.table
    bodies = [body for _name, body in variants("a configuration") if len(body) < 300_000]
    for body in bodies[::5]:
        context.store.write_row("op", "config", body)
        context.loopback.run_for(0.02)


@then("the former configuration holds, and a new one is in force within {limit:g} s")
def former_holds(context, limit):
    assert context.gateway.table is context.former, context.gateway.table
    context.store.write_row("op", "config", encode({**CONFIG, "version": "r13"}))
    context.loopback.run_until(lambda: context.gateway.table.version == 13, limit)


@when("the store reports a sound node row of another part")
def other_part(context):
    record = {
        "table": "hibiscusdrum-members", "part": "elsewhere", "key": "node/elsewhere",
        "ver": context.store.version,
        "value": base64.b64encode(encode({**NODE, "node": "elsewhere"})).decode(),
    }  # fmt: skip
    context.store.next_feed["hibiscusdrum-members"] = msgspec.json.encode(
        {"records": [record], "ver": context.store.version, "serverTimeS": 1.0}
    )
    write_node(context, "first")
    context.loopback.run_until(lambda: not context.store.next_feed)
    context.loopback.run_for(0.1)


@then("that row is not known, and changes of {rows} are followed within {limit:g} s")
def part_ignored(context, rows, limit):
    followed(context, rows, limit)
    assert "elsewhere" not in context.members.nodes


WORLD_ROWS = {"a lease row": "lease/keys/n1", "a node row": "node/n1", "a ring row": "ring/keys"}
WORLD_VALUES = {
    "a list": [1],
    "an object without an end": {"node": "n1", "incarnation": "x"},
    "an object without names": {"life": 5},
    # The client of the store has not been able to decode them.
    "bytes of another kind": None,
    "an end a year away": {"node": "n1", "incarnation": "x", "ends": 31_536_000.0},
}


def replace_row(world, row, value):
    store = world.store
    store.version += 1
    value = WORLD_VALUES[value]
    store.rows[WORLD_ROWS[row]] = Row(WORLD_ROWS[row], store.version, value, unreadable=value is None)


@when("all claim rows are {change}, and a target is restarted")
def claims_changed(context, change):
    store = context.world.store
    for name in context.world.nodes:
        key = f"claim/keys/{name}"
        assert store.rows[key].value, key
        store.version += 1
        store.rows[key] = Row(key, store.version, [1] if change == "replaced" else None)
    context.world.restart_target("n1")


@when("a VM ends, and its lease row is replaced by {value}")
def vm_ends(context, value):
    context.world.kill_daemon("n1")
    context.world.targets["n1"].up = False
    replace_row(context.world, "a lease row", value)


@when("all VMs end, the ring row is replaced by bytes of another kind, and all VMs start again")
def all_start_again(context):
    world = context.world
    for name in list(world.nodes):
        world.kill_daemon(name)
        world.restart_target(name)
    replace_row(world, "a ring row", "bytes of another kind")
    for name in world.targets:
        world.start_daemon(name)


@then("no key is held, and the ring is written at most {most:d} times in {limit:g} s")
def ring_not_created(context, most, limit):
    store, writes = context.world.store, []
    write = store.write

    def counting(transaction):
        if "ring/keys" in transaction.puts:
            writes.append(transaction)
        return write(transaction)

    store.write = counting
    context.world.run(limit)
    assert context.world.held() == 0 and len(writes) <= most, (context.world.held(), len(writes))


@when("{row} is replaced by {value}")
def row_replaced(context, row, value):
    replace_row(context.world, row, value)


@then("within {limit:g} s all keys are held, each by one target, and leases are renewed")
def held_again(context, limit):
    world = context.world
    world.run(limit)
    assert world.held() == len(PROBED_KEYS), world.held()
    for name, node in world.nodes.items():
        keeper = node.app.find("lease_keeper")
        assert keeper.remaining_seconds > 0.0, name
        assert not node.owner.reading_leases or world.run(1.0) or not node.owner.reading_leases, name
        assert world.held_by(name) > 0, name


@given("a router's heartbeat endpoint")
def heartbeat_endpoint(context):
    app = context.app = application()
    context.endpoint = ReportEndpoint(SETTINGS)
    app.add(context.endpoint)
    context.endpoint.target = app.add(LocalTarget(SETTINGS))


class Heartbeat:
    """A call of the heartbeat endpoint."""

    target = "/instances/i-2"

    def __init__(self, body, method=b"PUT"):
        self.body, self.method = body, method
        self.status, self.answer = None, b""

    def respond(self, status, _headers, body=b""):
        """Take the answer."""
        self.status, self.answer = status, body


@given("a router's heartbeat endpoint, and a target that holds keys")
def endpoint_with_target(context):
    settings = msgspec.structs.replace(SETTINGS, service="keyed")
    context.app = application()
    context.endpoint = ReportEndpoint(settings)
    context.app.add(context.endpoint)
    context.endpoint.target = context.app.add(LocalTarget(settings))
    context.endpoint.is_partitioned = lambda: True
    call = Heartbeat(encode(HEARTBEAT))
    context.endpoint.on_request(call)
    assert call.status == 200 and context.endpoint.target.ready, call.status
    context.before = context.endpoint.target.last_heartbeat


@when("each odd variant of a heartbeat and of a notice of departure arrives")
def odd_reports(context):
    reports = [(b"PUT", name, body) for name, body in variants("a heartbeat")]
    for field in ("holdCount", "released"):
        body = encode(with_field(HEARTBEAT, (field,), MISSING))
        reports.append((b"PUT", f"{field}: missing", body))
    reports += [(b"DELETE", name, body) for name, body in variants("a notice of departure")]
    context.odd_calls = []
    for method, name, body in reports:
        call = Heartbeat(body, method)
        context.endpoint.on_request(call)
        context.odd_calls.append((name, call))


@then("each is refused, and the answer names the field")
def refused_by_name(context):
    wrong = []
    for name, call in context.odd_calls:
        field = name.partition(":")[0].rpartition(".")[2] if ": " in name else ""
        # Nothing can be said of a field where the body is no JSON, or one that is nested too deeply.
        unnamed = "nested" in name or "400 digits" in name or "infinite" in name
        if call.status != 400 or (not unnamed and field.encode() not in call.answer):
            wrong.append((name, call.status, call.answer))
    assert not wrong, f"{len(wrong)} of {len(context.odd_calls)}: {wrong[:12]}"


@then("the target is as it was")
def target_as_before(context):
    target = context.endpoint.target
    assert target.ready and target.last_heartbeat is context.before
    assert not target.leaving_incarnations


@when("the same odd heartbeat arrives {count:d} times, a second apart")
def odd_heartbeats(context, count):
    output = io.StringIO()
    context.counted = count_unreadable()
    with contextlib.redirect_stderr(output):
        log_events.configure("own", "INFO", context.app.clock)
        for number in range(count):
            status = {**HEARTBEAT["status"], "seq": number}
            call = Heartbeat(encode({**HEARTBEAT, "status": status, "addr": "127.0.0.1:99999"}))
            context.endpoint.on_request(call)
            assert call.status == 400, call.status
            context.app.clock.advance(1.5)
    context.counted = count_unreadable() - context.counted
    context.lines = [json.loads(line) for line in output.getvalue().splitlines()]


def count_unreadable():
    """Return the counter of unreadable entries in the metrics."""
    stub = Stub("any", admission=Stub("admission", running=0, queued=0, mean_service_seconds=0.1))
    stub.reported_rate = lambda: 0.0
    stub.granted_stripes, stub.keeper = (), Stub("keeper", remaining_seconds=0.0)
    stub.nodes, stub.store_reachable = {}, True
    stub.table = Stub("table", era=1)
    stub.sent_bytes = stub.received_bytes = stub.store_calls = stub.delay_counts = {}
    metrics = RouterMetrics(SETTINGS)
    metrics.entry, metrics.quarantine = HttpEntry(), Quarantine(SETTINGS)
    metrics.receiver = metrics.range_owner = metrics.members = metrics.traffic = stub
    metrics.config_gossip = Stub("config_gossip", pull_count=0, confirmed_age=0.0)
    for line in metrics.render().decode().splitlines():
        if line.startswith("hibiscusdrum_unreadable_total "):
            return int(line.split()[1])
    return 0


@then("one line names the entry, and the metrics count {count:d}")
def logged_once(context, count):
    lines = [line for line in context.lines if line["name"] == "row_unreadable"]
    assert len(lines) == 1, len(lines)
    assert "addr" in lines[0]["fields"]["reason"] and "i-2" in lines[0]["fields"]["what"], lines
    assert context.counted == count, context.counted


@given("a router's connection to its peers")
def peer_connection(context):
    settings = msgspec.structs.replace(SETTINGS, peer_address=free_address())
    table = Stub("table", changes=lambda *_arguments: None, era=1)
    context.peers = PeerTransport(settings.peer_address, b"")
    context.hop = Forwarder(settings, NodeSelector("east", "east-1", random.Random(1)))
    context.loopback = Loopback(
        table, context.peers, LocalTarget(settings), Members(settings), Traffic(settings), context.hop
    )
    context.add_cleanup(context.loopback.stop)
    context.replies = []
    context.hop.on_reply = context.replies.append


@when("frames of unknown kinds, nested frames and control messages arrive, and then a ping")
def odd_frames(context):
    nested = b"\x93\xa6Cancel\xc4\x01a" + b"\x91" * 5_000 + b"\x90"
    control = codec.sign(b"", ConfigAck("n2", 3))
    frames = [[b"?", b""], [b"R", b""], [b"R", nested], [b"C", b""], [b"C", b"x" * 40], [b"C", control]]
    errors = io.StringIO()
    with zmq.Context() as zmq_context, contextlib.redirect_stderr(errors):
        log_events.configure("own", "INFO", context.loopback.app.clock)
        with zmq_context.socket(zmq.DEALER) as socket:
            socket.connect(f"tcp://{context.peers.address}")
            for parts in frames:
                socket.send_multipart(parts)
            socket.send_multipart([b"R", codec.encode(Ping("n2", 1.0))])
            context.loopback.run_until(lambda: socket.poll(0) != 0, 3.0)
            context.pong = codec.decode_request(socket.recv_multipart()[1])
    context.lines = [json.loads(line) for line in errors.getvalue().splitlines()]


@then("the ping is answered, and a line names the invalid frames")
def ping_answered(context):
    assert isinstance(context.pong, Pong), context.pong
    names = {line["name"] for line in context.lines}
    assert "invalid_frame" in names and "internal_error" not in names, context.lines


class ScriptedFault(Exception):
    """Raised by a callback under test."""


def raising_once(callback=lambda *_arguments: None):
    """Return a callback that raises when it is first called, and from then on calls another."""
    pending = [True]

    def call(*arguments):
        if pending:
            pending.clear()
            raise ScriptedFault
        return callback(*arguments)

    return call


@when("{callback} raises once on each node, while a target restarts and a VM ends")
def callback_raises(context, callback):
    world = context.world
    after = world.after

    def after_suppressing(delay, call):
        def run():
            # As the HTTP client does for its callbacks.
            with contextlib.suppress(ScriptedFault):
                call()

        after(delay, run)

    world.after = after_suppressing
    for node in world.nodes.values():
        keeper, rings = node.app.find("lease_keeper"), node.app.find("rings")
        if callback == "the read after a lease is written":
            keeper.on_first_write = raising_once(keeper.on_first_write)
            keeper.ring_synced = False
        elif callback == "a listener of written rings":
            rings.on_written.insert(0, raising_once())
        elif callback == "the change after a ring is read":
            rings.on_reread = raising_once(rings.on_reread)
        elif callback == "a listener of changed nodes":
            node.members.on_change.insert(0, raising_once())
        else:
            node.owner.on_granted.insert(0, raising_once())
    world.restart_target("n2")
    world.kill_daemon("n1")
    world.targets["n1"].up = False
