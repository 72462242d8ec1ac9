"""Steps on the adapter to the platform.

They guard against settings, configurations and reports that are read as something else than they say.
"""

import io
import tempfile
import time
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path

import msgspec
from behave import given, then, when
from returns.result import Success
from tests.loopback import Loopback, Results, free_address
from tools.router_system import LIMITS, ROUTE_COLUMNS, SERVICE_COLUMNS, Vm
from tools.standins.rows_store import Faults, Restoration, RowsStore

from hibiscusdrum.errors import InvalidArgument, InvalidSettings, StoreConflict
from hibiscusdrum.internal.clock import ManualClock
from hibiscusdrum.internal.kernel import Application
from hibiscusdrum.internal.platform.table import Transaction
from hibiscusdrum.internal.router.local_target import LocalTarget
from hibiscusdrum.internal.router.routes import RequestKind, Route, RouteTable, WeightedRoundRobin
from hibiscusdrum.internal.transport.http_client import HttpClient
from hibiscusdrum.platform.boot import router_settings
from hibiscusdrum.platform.configuration import decode_config
from hibiscusdrum.platform.main import main
from hibiscusdrum.platform.reports import decode_heartbeat
from hibiscusdrum.platform.store import StoreClient


def boot_values():
    vm = Vm("n1", "east", "east-1", "keyed", list(range(7001, 7008)))
    lines = vm.boot_lines("127.0.0.1:9000")
    return dict(line.partition("=")[::2] for line in lines)


@then("a settings file of the platform gives the addresses, names and bounds of the router")
def settings_file(_context):
    settings = router_settings({**boot_values(), "a.new.field": "1"})
    assert settings.node == "n1" and settings.failure_domain == "east-1" and settings.service == "keyed"
    assert settings.target_address == "127.0.0.1:7001" and settings.caller_address == "127.0.0.1:7002"
    assert settings.peer_address == "127.0.0.1:7005" and settings.metrics_address == "127.0.0.1:7006"
    assert settings.longest_hold == 10.0 and settings.heartbeat == 0.5 and settings.retry_ratio == 0.2
    assert settings.evacuation_period == 5.0
    bounds = {"bounds": "holdMaxS=9,evacuateS=4.5"}
    assert router_settings({**boot_values(), **bounds}).evacuation_period == 4.5
    assert not settings.cost_aware and router_settings({**boot_values(), "costAware": "true"}).cost_aware


FAULTY_SETTINGS = {
    "no service": {"service": ""},
    "a bad address": {"appAddr": "nowhere"},
    "a bad port range": {"portRange": "a,b"},
    "a bad bound": {"bounds": "holdMaxS=soon"},
    "a bad switch": {"costAware": "maybe"},
}


@then('a settings file with "{fault}" is refused because of "{name}"')
def settings_refused(_context, fault, name):
    try:
        router_settings({**boot_values(), **FAULTY_SETTINGS[fault]})
    except InvalidSettings as error:
        assert name in {problem.name for problem in error.problems}, error
        return
    raise AssertionError("the settings were accepted")


def config(**changes):
    route = {
        "name": "r", "host": "h.example", "prefix": "/a/", "kind": "non_idempotent", "timeoutS": 2,
        "goalS": 1, "priority": 3, "service": "s", "attempts": 2, "allowedRegions": ["east"],
        "backends": None,
    }  # fmt: skip
    split = {**route, "name": "split", "prefix": "/b/", "kind": "idempotent", "service": None}
    split["backends"] = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]
    route.update(changes)
    records = [[entry.get(name) for name in ROUTE_COLUMNS] for entry in (route, split)]
    return {
        "version": "r12",
        "routes": {"columns": ROUTE_COLUMNS, "records": records},
        "services": {"columns": SERVICE_COLUMNS, "records": [["s", "/health", 74, 3.0, 8.8, True]]},
        "limits": LIMITS,
        "baseRev": "r10",
    }


@then("a configuration with columns gives routes, weights, homes, services and limits")
def configuration(_context):
    table = decode_config(msgspec.json.encode(config())).table
    route = table.find("h.example", "/a/x")
    assert table.version == 12 and route.kind is RequestKind.NON_IDEMPOTENT and not route.repeatable
    assert route.regions == ("east",) and route.priority == 3 and route.timeout == 2.0
    assert table.find("h.example", "/b/x").services == (("s", 90.0), ("t", 10.0))
    assert table.find("h.example", "/c/x") is None and table.partitioned == ("s",)
    assert table.services["s"].cold_rate == 8.8 and table.limits.idle_timeout == 10.0


def faulty_config(fault):
    data = msgspec.json.encode(config())
    if fault == "cut short":
        return data[: len(data) // 2]
    if fault == "without routes":
        return msgspec.json.encode({**config(), "routes": None})
    if fault == "with services of another form":
        return msgspec.json.encode({**config(), "services": ["s"]})
    return msgspec.json.encode({**config(), "version": "twelve"})


@then('a configuration that is "{fault}" cannot be read')
def configuration_refused(_context, fault):
    try:
        decode_config(faulty_config(fault))
    except InvalidArgument as error:
        assert error.name == "configuration"
        return
    raise AssertionError("the configuration was accepted")


def route(name, prefix, services=(("s", 1.0),)):
    return Route(name, "keys.example", prefix, RequestKind.IDEMPOTENT, services)


@then('"{host}" and "{path}" lead to the route "{name}"')
def longest_prefix(_context, host, path, name):
    table = RouteTable.build(1, [route("short", "/"), route("deep", "/a/b/"), route("mid", "/a/")], [])
    assert table.find(host, path).name == name


@then("{count:d} requests on a route with weights 90 and 10 go {one:d} and {other:d} to its services")
def by_weight(_context, count, one, other):
    split = route("split", "/", (("s", 90.0), ("t", 10.0)))
    choice = WeightedRoundRobin()
    chosen = [choice.choose(split) for _ in range(count)]
    assert (chosen.count("s"), chosen.count("t")) == (one, other)


def report_body(**changes):
    info = {"service": "keyed", "version": "v1", "zone": "z", "slots": 9} | changes.pop("info", {})
    status = {"state": "ready", "seq": 5, "warmupS_time": 0} | changes.pop("status", {})
    return msgspec.json.encode(
        {"addr": "127.0.0.1:1", "born": 2000, "info": info, "status": status} | changes
    )


REPORTS = {
    "is in order": report_body(),
    "names another service": report_body(info={"service": "other"}),
    "has an unknown state": report_body(status={"state": "asleep"}),
    "has a text as its number of slots": report_body(info={"slots": "nine"}),
    "is no JSON": b"\xff\x00",
    "is older than the last one": report_body(status={"seq": 4, "state": "draining"}),
    "is from an earlier start": report_body(born=1000, status={"seq": 99, "state": "draining"}),
    "is from a later start": report_body(born=3000, status={"seq": 1}),
    "comes after the target's notice": report_body(status={"seq": 6}),
}


@then('a report that "{fault}" leads to "{outcome}"')
def report_outcome(_context, fault, outcome):
    app = Application(ManualClock())
    target = app.add(LocalTarget(router_settings(boot_values())))
    replies = []
    if fault != "is in order":
        target.on_heartbeat(decode_heartbeat("i-1", report_body()), replies.append)
    if fault == "comes after the target's notice":
        target.on_leave("i-1", 2000, lambda _stored: None)
    before = target.state, target.last_heartbeat
    try:
        target.on_heartbeat(decode_heartbeat("i-1", REPORTS[fault]), replies.append)
    except InvalidArgument:
        assert outcome == "refused"
        assert (target.state, target.last_heartbeat) == before
        return
    if outcome == "ignored":
        assert (target.state, target.last_heartbeat) == before
    else:
        assert target.state.value == outcome, target.state


@given("a client of the platform's store and its stand-in")
def store_and_client(context):
    context.store = RowsStore(free_address())
    context.client = StoreClient(context.store.address)
    context.loopback = Loopback(HttpClient(), context.store, context.client)
    context.add_cleanup(context.loopback.stop)


def call(context, function, *arguments, limit=4.0):
    results = Results()
    function(*arguments, results.append)
    return results.one(context.loopback, limit)


@then("a row that is written is read back with its version")
def written_and_read(context):
    version = call(
        context, context.client.commit, Transaction("1", {"node/a": 0}, {"node/a": {"x": 1}})
    ).unwrap()
    row = call(context, context.client.read, ("node/a",)).unwrap()["node/a"]
    assert (row.version, row.value) == (version, {"x": 1})
    context.version = version


@then("a write under an old version is a conflict, and reports the current row")
def conflict(context):
    reported = []
    context.client.on_current_row = reported.append
    result = call(context, context.client.commit, Transaction("2", {"node/a": 0}, {"node/a": {"x": 2}}))
    assert isinstance(result.failure(), StoreConflict)
    assert [(row.key, row.version, row.value) for row in reported] == [("node/a", context.version, {"x": 1})]


@then("a write without an answer is reported as unknown, and one that was refused as not done")
def unknown_and_refused(context):
    context.store.faults = Faults(lost=1.0)
    result = call(context, context.client.commit, Transaction("3", {"node/b": 0}, {"node/b": 1}))
    assert result.failure().reason == "unknown"
    context.store.faults = Faults(down=True)
    result = call(context, context.client.commit, Transaction("4", {"node/c": 0}, {"node/c": 1}))
    assert result.failure().reason == "status_503"
    context.store.faults = Faults()


@then("a wait for changes ends with the row that changed")
def wait_for_changes(context):
    changes = call(context, context.client.changes, 0).unwrap()
    assert {row.key for row in changes.rows} == {"node/a", "node/b"}
    results = Results()
    context.client.changes(changes.seq, results.append)
    context.loopback.run_for(0.1)
    assert not results
    puts = {"ring/s": [3], "ring-version/s": [1], "lease/s/n": 2}
    written = call(context, context.client.commit, Transaction("5", {}, puts))
    assert isinstance(written, Success)
    rows = results.one(context.loopback).unwrap().rows
    assert [(row.key, row.value) for row in rows] == [("ring-version/s", [1])]


@when("a row is written three times, and the stand-in is restored to before that")
def written_and_restored(context):
    kept = call(context, context.client.commit, Transaction("1", {}, {"node/kept": 0})).unwrap()
    context.loopback.run_for(0.2)
    copied_at = time.monotonic()
    context.loopback.run_for(0.05)
    context.version = 0
    for value in range(3):
        transaction = Transaction("2", {"node/a": context.version}, {"node/a": value})
        context.version = call(context, context.client.commit, transaction).unwrap()
    context.changes = call(context, context.client.changes, 0).unwrap()
    assert kept < context.version == context.changes.seq
    context.store.restore(Restoration(age_s=time.monotonic() - copied_at))
    context.loopback.settle()


@then("a wait for changes returns all rows of the restored stand-in")
def all_rows_restored(context):
    changes = call(context, context.client.changes, context.changes.seq).unwrap()
    assert changes.complete and [row.key for row in changes.rows] == ["node/kept"], changes
    assert changes.seq > context.changes.seq


@then("the row is written anew with a newer version")
def written_anew(context):
    transaction = Transaction("3", {"node/a": 0}, {"node/a": "new"})
    context.new_version = call(context, context.client.commit, transaction).unwrap()
    assert context.new_version > context.version


@then("a write under its version from before the restore is a conflict")
def old_basis(context):
    transaction = Transaction("4", {"node/a": context.version}, {"node/a": "old"})
    result = call(context, context.client.commit, transaction)
    assert isinstance(result.failure(), StoreConflict), result
    assert call(context, context.client.read, ("node/a",)).unwrap()["node/a"].value == "new"


@then('the command line "{words}" with a settings file "{file}" ends with {code:d} and names "{text}"')
def command_line(_context, words, file, code, text):
    values = boot_values() | ({"appAddr": "nowhere"} if file == "with fault" else {})
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "local.conf"
        path.write_text("".join(f"{name}={value}\n" for name, value in values.items()))
        arguments = words.split() + ([] if file == "missing" else [str(path)])
        output = io.StringIO()
        with redirect_stdout(output), redirect_stderr(output):
            assert main(arguments) == code
    assert text in output.getvalue(), output.getvalue()
