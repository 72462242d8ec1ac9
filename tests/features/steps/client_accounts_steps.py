"""Steps on keys of client accounts: who is admitted, for which account, and until when."""

import contextlib
import io
import json

import msgspec
from behave import given, then, when
from tests.configuration_world import ConfigurationWorld, configuration
from tests.features.steps.router_fleet_steps import gateway_with_nodes
from tests.router_stubs import SETTINGS, Request, forward

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.messages import Answered, Declined, Withdraw
from hibiscusdrum.internal.router.job import Job
from hibiscusdrum.internal.router.receiver import Receiver
from hibiscusdrum.internal.router.routes import EMPTY_TABLE, HeaderNames
from hibiscusdrum.platform.configuration import decode_config
from hibiscusdrum.platform.store import OPERATOR_TABLE

NAMES = HeaderNames()
KEYS = {"alice": ["alice-key-1", "alice-key-2"], "bob": ["bob-key"], "carol": ["carol-key"]}
COLUMNS = ["name", "apiKeys", "priority", "ratePerS", "burst", "allowedRegions"]
RECORDS = [
    ["alice", KEYS["alice"], 0, 0, 0, ["east"]],
    ["bob", KEYS["bob"], None, None, None, None],
    ["carol", KEYS["carol"], None, 5, 5, ["north"]],
]
ROUTE_COLUMNS = [
    "name",
    "host",
    "prefix",
    "kind",
    "service",
    "priority",
    "attempts",
    "allowedRegions",
    "public",
]
ROUTES = [
    ["r", "h.example", "/a/", "idempotent", "s", 3, 2, ["east", "west"], None],
    ["p", "h.example", "/public/", "idempotent", "s", 1, 2, None, True],
    ["k", "h.example", "/keyed/", "idempotent", "t", 1, 2, None, False],
]
FREE = (0, 0, 6, 0.1, True)


def encoded(version, tenants, routes=ROUTES):
    """Return an encoded configuration with a table of accounts."""
    services = {"columns": ["name", "partitioned"], "records": [["s", False], ["t", True]]}
    return json.dumps(
        {
            "version": f"r{version}",
            "tenants": tenants,
            "routes": {"columns": ROUTE_COLUMNS, "records": routes},
            "services": services,
        }
    ).encode()


def accounts(records):
    return {"columns": COLUMNS, "records": records}


def activate(context, version, records):
    decoded = decode_config(encoded(version, accounts(records)), context.gateway.route_table)
    context.gateway.set_route_table(decoded.table)


@given('a gateway with the accounts "alice" and "bob"')
def gateway_with_accounts(context):
    gateway_with_nodes(context, 3)
    context.hop.send_message = lambda node, message: context.hop.sent.append((node, message))
    gateway = context.gateway
    gateway.settings = msgspec.structs.replace(SETTINGS, nested_id_separator=".")
    gateway.receiver.is_running = lambda _: False
    gateway.receiver.account_of_run = lambda _: None
    gateway.metrics.count_account = lambda *_: None
    gateway.started_at = -1000.0
    gateway.rings.owner_node = lambda *_: "n0"
    activate(context, 2, RECORDS)


def keys_of(words):
    """Return the key headers that a step describes."""
    described = {
        "no key": [],
        "an empty key": [""],
        "an unknown key": ["mallory"],
        "a key in other letters": ["ALICE-KEY-1"],
        "two keys": ["alice-key-1", "bob-key"],
        "a list of keys": ["alice-key-1, bob-key"],
        "the key of alice": KEYS["alice"][:1],
        "the other key of alice": KEYS["alice"][1:],
        "the key of bob": KEYS["bob"],
    }
    return [(NAMES.account_key, value) for value in described[words]]


def ask(context, headers, path="/a/x", body=b""):
    """Send a request; return it and the message to another node, or None."""
    request = Request(body)
    request.target = path
    request.headers += headers
    count = len(context.hop.sent)
    context.gateway.on_request(request)
    sent = context.hop.sent[count:]
    return request, sent[0][1] if sent else None


def expect(request, sent, outcome):
    if outcome == "a node":
        assert request.answer is None and sent is not None, request.answer
        return
    assert sent is None
    status, headers, *_ = request.answer
    assert status == int(outcome), (status, headers)
    assert (status == 503) == ("retry-after" in dict(headers)), headers


@then('a request with {words} to "{path}" gets {outcome}')
def request_gets(context, words, path, outcome):
    expect(*ask(context, keys_of(words), path), outcome)


@then('a request with {words} to "{path}" is forwarded for the account "{name}"')
@then('a request with {words} to "{path}" is forwarded for the account ""')
def forwarded_for(context, words, path, name=""):
    _request, sent = ask(context, keys_of(words), path)
    assert sent.account == name and not {NAMES.account_key, NAMES.account} & dict(sent.headers).keys(), sent


@when("its configuration has not been confirmed for {seconds:g} s")
def unconfirmed(context, seconds):
    context.gateway.confirmed_age = lambda: seconds


@when('a request with the key of alice also names the account "bob"')
def forged(context):
    forged_headers = [(NAMES.account, "bob"), ("x-other", "1")]
    output = io.StringIO()
    with contextlib.redirect_stderr(output):
        log_events.configure("own", "DEBUG")
        context.sent = ask(context, keys_of("the key of alice") + forged_headers)[1]
        ask(context, keys_of("an unknown key"))
        context.hop.sent[-1][3](Answered(context.sent.id, 200, ((NAMES.signature, "s"),), FREE), b"")
    context.log = output.getvalue()


@then('what is sent to the other node has neither the key nor the name "bob" among its headers')
def no_secret(context):
    assert dict(context.sent.headers) == {"host": "h.example", "x-other": "1"}
    encoded_message = msgspec.msgpack.encode(context.sent)
    secrets = ["mallory", *KEYS["alice"]]
    assert not any(secret.encode() in encoded_message for secret in secrets)
    assert "unknown_account_key" in context.log and '"account":"alice"' in context.log, context.log
    assert not any(secret in context.log for secret in secrets), context.log


class Heartbeat:
    """Stands in for the last report of a target."""

    target = "i-1"


def target_headers(message, table=None):
    """Return the headers that a receiver sends to its target for a message."""
    receiver = Receiver(SETTINGS, NAMES)
    receiver.route_table = table
    receiver.target = type("Target", (), {"last_heartbeat": Heartbeat})

    class Job:
        forward = message

    return receiver.target_headers(Job, 1.0)[1]


@then('the target is told the account "{name}"')
def target_told(context, name):
    table = context.gateway.route_table
    forged_message = msgspec.structs.replace(
        context.sent, headers=(*context.sent.headers, (NAMES.account, "bob"), (NAMES.account_key, "k"))
    )
    for message in (context.sent, forged_message):
        headers = target_headers(message, table)
        assert headers[NAMES.account] == name and NAMES.account_key not in headers, headers
    nameless = msgspec.structs.replace(forged_message, account="")
    assert not {NAMES.account, NAMES.account_key} & target_headers(nameless, table).keys()


@then("headers with a key and an account pass to the target")
def headers_pass(context):
    given_headers = [(NAMES.account_key, "anything"), (NAMES.account, "somebody")]
    _request, sent = ask(context, given_headers)
    headers = target_headers(sent, context.gateway.route_table)
    assert headers[NAMES.account_key] == "anything" and headers[NAMES.account] == "somebody", headers


@then('a request of "{name}" has priority {priority:d} and the regions "{regions}"')
def priority_and_regions(context, name, priority, regions):
    seen = []
    members = context.gateway.members
    former, members.candidates = (
        members.candidates,
        lambda _service, allowed: seen.append(allowed) or former(),
    )
    _request, sent = ask(context, [(NAMES.account_key, KEYS[name][0])])
    members.candidates = former
    assert sent.priority == priority and seen == [tuple(regions.split())], (sent.priority, seen)


@then('a request of "{name}" is refused because no region is allowed')
def no_region(context, name):
    expect(*ask(context, [(NAMES.account_key, KEYS[name][0])]), "503")


@given('a gateway with the accounts "alice" and "bob", whose target runs a request of "alice"')
def gateway_with_run(context):
    gateway_with_accounts(context)
    receiver = context.receiver = Receiver(SETTINGS, NAMES)
    receiver.app = context.app
    receiver.set_route_table(context.gateway.route_table)
    context.gateway.receiver.account_of_run = receiver.account_of_run
    message = msgspec.structs.replace(forward(1), attempt_id="run", account="alice", repeatable=True)
    context.job = Job(message, b"", receiver.now, lambda *_: None)
    context.job.incarnation = "i-1@1"
    context.job.exchange = type("Exchange", (), {"cancel": lambda _self: None})()
    receiver.jobs[message.id] = context.job


@when("the run is still going on")
def going_on(context):
    assert context.job.forward.id in context.receiver.jobs


@when("the run ended {seconds:g} s ago")
def run_ended(context, seconds):
    assert context.receiver.end_job(context.job)
    context.app.clock.advance(seconds)


@when("the run was cancelled {seconds:g} s ago")
def run_cancelled(context, seconds):
    context.receiver.cancel(context.job.forward.id)
    assert not context.receiver.jobs
    context.app.clock.advance(seconds)


def nested(context, parent, headers=()):
    return ask(context, [(NAMES.attempt_id, f"{parent}.n1"), *headers])


@then('a nested request of it is forwarded for the account "{name}"')
def nested_forwarded(context, name):
    _request, sent = nested(context, "run")
    assert sent.account == name and sent.priority == 0, sent


@then("a nested request of an unknown run gets {status}")
def nested_unknown(context, status):
    expect(*nested(context, "other"), status)


@then("a nested request of it gets {status}")
def nested_refused(context, status):
    expect(*nested(context, "run"), status)


@then("a nested request of it with an unknown key gets {status}")
def nested_with_key(context, status):
    expect(*nested(context, "run", keys_of("an unknown key")), status)


@given('a gateway with the accounts "alice" and "bob", which was started {seconds:g} s ago')
def gateway_restarted(context, seconds):
    gateway_with_accounts(context)
    context.gateway.started_at = context.app.clock.monotonic() - seconds


@given('a request of "alice" that is {state}')
def request_in_state(context, state):
    context.state = state
    headers = keys_of("the key of alice")
    if state == "about to be sent to another owner":
        headers.append((NAMES.key, "7"))
        context.gateway.rings.refresh_ring = lambda _service, _done: None
        context.gateway.members.store_reachable = False
        context.request, context.message = ask(context, headers, "/keyed/x")
        context.hop.sent[-1][3](Declined(context.message.id, "not_owner", False, False, 0.0, FREE), b"")
    else:
        context.request, context.message = ask(context, headers)
    context.reply = context.hop.sent[-1][3]
    if state == "offered with a large body":
        context.hop.unsent.add(context.message.id)
    context.other, context.other_message = ask(context, keys_of("the key of bob"))
    context.other_reply = context.hop.sent[-1][3]


def after_change(context):
    """Play what follows at the other node."""
    withdrawn = [message for _node, message, *_ in context.hop.sent if isinstance(message, Withdraw)]
    message = context.message
    if context.state in ("queued at another node", "sent to its target", "running, and fails with 500"):
        assert withdrawn == [Withdraw(message.id)], withdrawn
        assert context.request.answer is None
    if context.state == "queued at another node":
        context.reply(Declined(message.id, "withdrawn", False, False, 0.0, FREE), b"")
    elif context.state == "sent to its target":
        context.reply(Answered(message.id, 200, ((NAMES.signature, "s"),), FREE), b"done")
    elif context.state == "running, and fails with 500":
        context.reply(Answered(message.id, 500, (), FREE), b"")
    elif context.state == "about to be sent to another owner":
        sent = len(context.hop.sent)
        context.gateway.rings.owner_node = lambda *_: "n1"
        context.app.clock.advance(0.3)
        context.app.scheduler.run_due(type("Loop", (), {"reduce_time_left": lambda *_: None})())
        assert len(context.hop.sent) == sent


@when('the key of "alice" is removed')
def key_removed(context):
    activate(context, 3, [["alice", KEYS["alice"][1:]], *RECORDS[1:]])
    after_change(context)


@when('the key of "alice" is given to "bob"')
def key_moved(context):
    activate(context, 3, [["alice", KEYS["alice"][1:]], ["bob", [*KEYS["bob"], KEYS["alice"][0]]]])
    after_change(context)


@then("the request is refused with {status:d}")
def refused_with(context, status):
    assert context.request.answer[0] == status, context.request.answer


@then("the request is answered")
def is_answered(context):
    assert context.request.answer[0] == 200, context.request.answer


@then("the request is answered with {status:d}")
def is_answered_with(context, status):
    assert context.request.answer[0] == status, context.request.answer


@then('a request of "bob" that waits meanwhile is still served')
def other_served(context):
    assert context.other.answer is None
    context.other_reply(Answered(context.other_message.id, 200, ((NAMES.signature, "s"),), FREE), b"")
    assert context.other.answer[0] == 200


@when("one request runs at its target and one is queued, and both are withdrawn")
def both_withdrawn(context):
    receiver = context.receiver
    receiver.admission.slots = 1
    for number in (80, 81):
        receiver.on_forward(forward(number), b"", 0.0, lambda answer, _body: context.replies.append(answer))
    for number in (80, 81):
        receiver.withdraw(bytes([number]))


@then("only the queued one is declined")
def queued_declined(context):
    assert [(answer.id, answer.may_have_run) for answer in context.replies] == [(bytes([81]), False)]
    assert context.receiver.admission.queued == 0 and context.receiver.admission.running == 1


def with_accounts(version, records):
    return {**configuration(version, ["/a/"]), "tenants": accounts(records)}


@given('{near:d} nodes in region "east" and {far:d} in region "west" with the account "alice"')
def nodes_with_accounts(context, near, far):
    names = [f"east-{n}" for n in range(near)] + [f"west-{n}" for n in range(far)]
    world = context.world = ConfigurationWorld(names)
    world.store.put(OPERATOR_TABLE, "config", with_accounts(20, RECORDS))
    world.run_until(lambda: all(node.version == 20 for node in world.nodes.values()), 3.0)


@when('the key of "alice" is removed in the store')
def removed_in_store(context):
    context.world.store.put(OPERATOR_TABLE, "config", with_accounts(21, RECORDS[1:]))


@then("within {seconds:g} s no node admits the key")
def none_admits(context, seconds):
    def admits(node):
        return node.gateway.route_table.accounts.find(KEYS["alice"][0]) is not None

    assert all(admits(node) for node in context.world.nodes.values())
    context.world.run_until(lambda: not any(map(admits, context.world.nodes.values())), seconds)


# Table of accounts, key that is tried, status or account that follows, and whether there is a fault.
ALICE, BOB = RECORDS[0], RECORDS[1]
ODD_TABLES = [
    ("sound", accounts([ALICE, BOB]), "alice-key-1", "alice", False),
    ("null", None, "mallory", "", False),
    ("no entry", accounts([]), "alice-key-1", 401, False),
    ("a number", 5, "alice-key-1", 503, True),
    ("no records", {"columns": COLUMNS}, "alice-key-1", 503, True),
    ("an entry that is a number", accounts([5, ALICE]), "alice-key-1", "alice", True),
    ("an entry that is null", accounts([None, ALICE]), "alice-key-1", "alice", True),
    ("an empty entry", accounts([[], ALICE]), "alice-key-1", "alice", True),
    ("short entry", accounts([ALICE[:2]]), "alice-key-1", "alice", False),
    ("unknown column", {"columns": [*COLUMNS, "x"], "records": [[*ALICE, 5]]}, "alice-key-1", "alice", False),
    ("column no text", {"columns": [*COLUMNS, 5], "records": [[*ALICE, 5]]}, "alice-key-1", "alice", False),
    ("no name", accounts([[None, *ALICE[1:]], BOB]), "alice-key-1", 503, True),
    ("no name, other", accounts([[None, *ALICE[1:]], BOB]), "bob-key", "bob", True),
    ("name a number", accounts([[5, *ALICE[1:]]]), "alice-key-1", 503, True),
    ("name with a line end", accounts([["a\r\nx: y", *ALICE[1:]]]), "alice-key-1", 503, True),
    ("name no ascii", accounts([["żółw", *ALICE[1:]]]), "alice-key-1", 503, True),
    ("name too long", accounts([["x" * 5_000, *ALICE[1:]]]), "alice-key-1", 503, True),
    ("name twice", accounts([ALICE, ["alice", ["alice-key-3"]]]), "alice-key-1", "alice", True),
    ("name twice, other key", accounts([ALICE, ["alice", ["alice-key-3"]]]), "alice-key-3", 503, True),
    ("keys null", accounts([["alice", None], BOB]), "alice-key-1", 401, True),
    ("keys empty", accounts([["alice", []], BOB]), "alice-key-1", 401, True),
    ("keys a text", accounts([["alice", "alice-key-1"], BOB]), "alice-key-1", 401, True),
    ("keys an object", accounts([["alice", {"a": 1}], BOB]), "bob-key", "bob", True),
    ("keys with a number", accounts([["alice", [5, "alice-key-1"]]]), "alice-key-1", "alice", True),
    ("keys with an empty one", accounts([["alice", ["", "alice-key-1"]]]), "", 401, True),
    ("key with a line end", accounts([["alice", ["a\nb", "alice-key-1"]]]), "alice-key-1", "alice", True),
    ("key that is utf-8", accounts([["alice", ["ż"]]]), "\xc5\xbc", "alice", False),
    ("same key twice in one entry", accounts([["alice", ["k", "k"]]]), "k", "alice", False),
    ("same key of two", accounts([BOB, ["alice", ["bob-key", "alice-key-1"]]]), "bob-key", "bob", True),
    ("same key, first unusable", accounts([[5, ["bob-key"]], BOB]), "bob-key", "bob", True),
    ("priority negative", accounts([["alice", KEYS["alice"], -1]]), "alice-key-1", "alice", True),
    ("priority a text", accounts([["alice", KEYS["alice"], "0"]]), "alice-key-1", "alice", True),
    ("rate negative", accounts([["alice", KEYS["alice"], 0, -1]]), "alice-key-1", "alice", True),
    ("rate huge", accounts([["alice", KEYS["alice"], 0, 1e300]]), "alice-key-1", "alice", True),
    ("rate a text", accounts([["alice", KEYS["alice"], 0, "5"]]), "alice-key-1", "alice", True),
    ("burst a list", accounts([["alice", KEYS["alice"], 0, 5, [1]]]), "alice-key-1", "alice", True),
    ("regions a text", accounts([["alice", KEYS["alice"], 0, 5, 5, "east"]]), "alice-key-1", 503, True),
    ("regions of numbers", accounts([["alice", KEYS["alice"], 0, 5, 5, [5]], BOB]), "bob-key", "bob", True),
    ("regions empty", accounts([["alice", KEYS["alice"], 0, 5, 5, []]]), "alice-key-1", "alice", False),
]  # fmt: skip


@then("for each odd entry of the accounts the table of outcomes holds, and no fault contains a key")
def odd_tables(context):
    gateway_with_accounts(context)
    wrong = []
    secrets = [key for keys in KEYS.values() for key in keys]
    for name, table, key, outcome, has_fault in ODD_TABLES:
        decoded = decode_config(encoded(2, table))
        context.gateway.route_table = EMPTY_TABLE
        context.gateway.set_route_table(decoded.table)
        request, sent = ask(context, [(NAMES.account_key, key)])
        actual = sent.account if sent is not None else request.answer[0]
        if actual != outcome:
            wrong.append(f"{name}: {actual}, expected {outcome}")
        if bool(decoded.faults) != has_fault:
            wrong.append(f"{name}: faults {decoded.faults}")
        if any(secret in fault.reason for secret in secrets for fault in decoded.faults):
            wrong.append(f"{name}: a fault contains a key: {decoded.faults}")
    former = decode_config(encoded(2, accounts(RECORDS))).table
    kept = decode_config(encoded(3, "odd"), former)
    if kept.table.accounts is not former.accounts or not kept.faults:
        wrong.append("the former accounts are not kept")
    odd_rate = decode_config(encoded(3, accounts([["carol", KEYS["carol"], "x", "x", "x"]])), former).table
    if odd_rate.accounts.by_name["carol"].rate != 5:
        wrong.append("the former rate is not kept")
    odd_keys = decode_config(encoded(3, accounts([["alice", "alice-key-2"], BOB])), former).table
    if odd_keys.accounts.find("alice-key-1").usable:
        wrong.append("keys of a list that cannot be decoded are still admitted")
    odd_flag = [[*ROUTES[0][:8], "yes"], *ROUTES[1:]]
    decoded = decode_config(encoded(3, accounts(RECORDS), odd_flag))
    if decoded.table.find("h.example", "/a/x").public or not decoded.faults:
        wrong.append("a route is public because of an odd flag")
    assert not wrong, "\n".join(wrong)
