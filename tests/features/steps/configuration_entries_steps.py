"""Steps with configurations in which single entries are odd.

They guard against one odd field that costs more than its own route or service.
"""

import contextlib
import copy
import io
import json

from behave import given, then, when
from tests.odd_entries import CONFIG, NOT_REPEATED, REFUSED, configuration_variants, encode
from tests.router_stubs import Request

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.router.events import ConfigurationFieldUnusable
from hibiscusdrum.internal.router.routes import EMPTY_TABLE
from hibiscusdrum.platform.configuration import decode_config

ROUTES, SERVICES = CONFIG["routes"]["columns"], CONFIG["services"]["columns"]


def ask(context, path):
    """Return the answer to a request with a key, or None if the request was sent to a node."""
    request = Request()
    request.target = path
    request.headers.append((context.gateway.header_names.key, "7"))
    context.gateway.on_request(request)
    return request.answer


def activate(context, table):
    """Replace the configuration of the gateway, whatever its version."""
    log_events.configure("own", "ERROR")
    context.gateway.route_table = EMPTY_TABLE
    context.gateway.rings.owner_node = lambda *_: "n0"
    context.gateway.set_route_table(table)


def edited(version, edits, **records):
    """Return the encoded configuration with fields of the first route and service replaced."""
    config = copy.deepcopy(CONFIG)
    config["version"] = version
    for name, value in edits.items():
        part, columns = ("routes", ROUTES) if name in ROUTES[1:] else ("services", SERVICES)
        config[part]["records"][0][columns.index(name)] = value
    for part, added in records.items():
        config[part]["records"] += added
    return encode(config)


@then('with each odd field after which requests "{outcome}", they do, and each fault is named')
def odd_fields(context, outcome):
    variants = [(name, body) for expected, name, body in configuration_variants() if expected == outcome]
    assert variants
    wrong = []
    for name, body in variants:
        decoded = decode_config(body)
        activate(context, decoded.table)
        refused = ask(context, "/a/x")
        route = decoded.table.find("h.example", "/a/x")
        if (refused is not None) != (outcome == REFUSED) or (refused and refused[0] != 503):
            wrong.append(f"{name}: {refused}")
        if outcome == NOT_REPEATED and route.repeatable:
            wrong.append(f"{name}: repeatable")
        if ask(context, "/b/x") is not None:
            wrong.append(f"{name}: another route is not served")
        if len({fault.entry for fault in decoded.faults}) != 1 or not all(f.reason for f in decoded.faults):
            wrong.append(f"{name}: {decoded.faults}")
    assert not wrong, f"{len(wrong)} of {len(variants)}:\n" + "\n".join(wrong)


@when("a configuration with a route for all paths of the host is in force")
def route_for_all(context):
    whole = ["all", "h.example", "/", "idempotent", 2, 1, 3, 2, [{"service": "t", "weight": 1}], None]
    context.records = {"routes": [whole]}
    activate(context, decode_config(edited("r12", {}, **context.records)).table)


@when("in a newer one the longer route has a prefix that cannot be decoded")
def odd_prefix(context):
    body = edited("r13", {"prefix": 5}, **context.records)
    context.gateway.set_route_table(decode_config(body, context.gateway.route_table).table)


@then("requests below the former prefix get 503 and a Retry-After of {seconds:d} s, and others are served")
def former_place(context, seconds):
    status, headers, _body, _close = ask(context, "/a/x")
    assert status == 503 and float(dict(headers)["retry-after"]) == seconds, (status, headers)
    assert ask(context, "/b/x") is None and ask(context, "/c/x") is None


@given("a configuration that is in force")
def in_force(context):
    context.active = decode_config(encode(CONFIG)).table


@when("in a newer one no number can be decoded")
def no_number(context):
    names = ("timeoutS", "goalS", "priority", "attempts", "maxConns", "warmupS", "warmupPerS")
    body = edited("r13", dict.fromkeys(names, "many"))
    context.former, context.active = context.active, decode_config(body, context.active).table


@then("the numbers of the former one hold, except that no request is repeated")
def numbers_hold(context):
    route, former = (table.find("h.example", "/a/x") for table in (context.active, context.former))
    for name in ("timeout", "latency_goal", "priority"):
        assert getattr(route, name) == getattr(former, name) > 0, name
    assert former.attempts == 2 and route.attempts == 1
    assert context.active.services == context.former.services


@when("in a newer one the flag of the partitioned service is a text")
def odd_flag(context):
    context.active = decode_config(edited("r13", {"partitioned": "yes"}), context.active).table


@then("the service is partitioned")
def still_partitioned(context):
    assert context.active.partitioned == ("s",) and not context.active.unusable_services


@when("a route is split in halves, and the entry of one of the services cannot be used")
def split_route(context):
    halves = [{"service": "s", "weight": 1}, {"service": "t", "weight": 1}]
    activate(context, decode_config(edited("r12", {"backends": halves, "partitioned": 5})).table)


@then("of {count:d} requests {sent:d} are sent and {refused:d} get 503")
def split_share(context, count, sent, refused):
    answers = [ask(context, "/a/x") for _ in range(count)]
    assert [answer and answer[0] for answer in answers].count(503) == refused
    assert answers.count(None) == sent


@when("a configuration with a route of an unknown kind is written")
def unknown_kind(context):
    context.output = io.StringIO()
    with contextlib.redirect_stderr(context.output):
        log_events.configure("own", "INFO")
        context.store.write_row("op", "config", edited("r13", {"kind": "stream"}))
        context.loopback.run_for(0.5)


@then("it is in force within 0.5 s, and one line names the route, the field and what follows from it")
def followed_and_logged(context):
    assert context.gateway.table.version == 13
    lines = [json.loads(line) for line in context.output.getvalue().splitlines()]
    name = ConfigurationFieldUnusable.event_name()
    (fields,) = [line["fields"] for line in lines if line["name"] == name]
    assert "stream" in fields.pop("reason")
    assert fields == {"version": 13, "entry": "route r", "field": "kind", "effect": "never_repeated"}
