"""Steps on a store that is restored from a copy.

They guard against what was known before the copy outliving it, and against what was lost being forgotten.
"""

import itertools
import random
from unittest import mock

import msgspec
from behave import given, then, when
from returns.result import Failure, Success
from tests.restorable_store import RestorableStore
from tests.router_stubs import SETTINGS, Stub, application, lone_gossip
from tools.router_system import LIMITS, ROUTE_COLUMNS, SERVICE_COLUMNS

from hibiscusdrum.errors import StoreConflict
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.platform.table import Transaction, number_of
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.gateway import Gateway
from hibiscusdrum.internal.router.local_target import LocalTarget, TargetHeartbeat
from hibiscusdrum.internal.router.members import Members
from hibiscusdrum.internal.router.routes import HeaderNames
from hibiscusdrum.internal.router.selection import NodeSelector
from hibiscusdrum.platform.operator import EVACUATE_PREFIX, OperatorRows
from hibiscusdrum.platform.store import MEMBERS_TABLE, OPERATOR_TABLE, StoreClient

STEP_SECONDS = 0.01
LOOP_EVENT = Stub("loop", reduce_time_left=lambda _seconds: None)
SERVICE = SETTINGS.service
LOCAL_KEY = f"node/{SETTINGS.node}"


def run(context, seconds, check=lambda: None):
    """Let time pass, with a check after each step."""
    end = context.app.clock.monotonic() + seconds
    while context.app.clock.monotonic() < end:
        context.app.clock.advance(STEP_SECONDS)
        context.app.scheduler.run_due(LOOP_EVENT)
        check()


def run_until(context, condition, limit):
    """Let time pass until a condition holds; fails when it does not within the limit."""
    end = context.app.clock.monotonic() + limit
    while not condition():
        assert context.app.clock.monotonic() < end, f"the condition did not hold within {limit} s"
        run(context, STEP_SECONDS)


def configuration(version):
    route = ["r", "h.example", "/a/", "idempotent", 2, 1, 1, SERVICE, 2, [], None]
    return {
        "version": f"r{version}",
        "routes": {"columns": ROUTE_COLUMNS, "records": [route]},
        "services": {"columns": SERVICE_COLUMNS, "records": [[SERVICE, "/health", 9, 1.0, 9.0, False]]},
        "limits": LIMITS,
    }


def node_row(name, **changes):
    row = {
        "node": name, "region": "east", "failure_domain": "east-2", "service": SERVICE,
        "peer_address": "127.0.0.1:9", "life": f"i-{name}@1", "accepting": True, "leaving": False,
        "draining_since": 0,
    }  # fmt: skip
    return row | changes


def put_node(context, name, **changes):
    context.store.put(MEMBERS_TABLE, f"node/{name}", node_row(name, **changes))


def beat(context):
    """Send a heartbeat of the target of this node."""
    context.beats += 1
    context.target.on_heartbeat(
        TargetHeartbeat(
            target="i-1",
            draining=False,
            service=SERVICE,
            address="127.0.0.1:1",
            slots=9,
            sequence=context.beats,
            started_ms=5,
        ),
        lambda _grant: None,
    )


@given("a node that follows a store")
def node_and_store(context, names_era=True):
    context.app = app = application()
    app.add(Stub("entry", limits=None))
    app.add(Stub("receiver", set_route_table=lambda _: None))
    app.add(Stub("range_owner", set_partitioned=lambda _: None))
    context.store = app.add(RestorableStore())
    context.store.names_era = names_era
    context.client = app.add(StoreClient("127.0.0.1:1"))
    context.target = app.add(LocalTarget(SETTINGS))
    context.members = app.add(Members(SETTINGS))
    context.gateway = app.add(
        Gateway(SETTINGS, HeaderNames(), NodeSelector("east", "east-1", random.Random(1)))
    )
    for name in ("entry", "receiver", "range_owner"):
        setattr(context.gateway, name, app.find(name))
    lone_gossip(app)
    context.operator_rows = app.add(OperatorRows())
    context.beats = 0
    context.store.put(OPERATOR_TABLE, "config", configuration(10))
    for service in (context.store, context.client, context.target, context.members, context.operator_rows):
        service.on_start()
    app.scheduler.every(1.0, lambda: beat(context))
    beat(context)
    put_node(context, "n1")
    run(context, 1.0)
    assert context.store.value(MEMBERS_TABLE, LOCAL_KEY)["accepting"]
    assert context.gateway.route_table.version == 10


@given("a node that follows a store that does not name its era")
def node_and_store_without_era(context):
    node_and_store(context, names_era=False)


def write_rows(context, count):
    for index in range(count):
        context.store.put(MEMBERS_TABLE, f"ring/other{index % 2}", {"index": index})
        run(context, 2 * STEP_SECONDS)


def copy_then(context, action, seconds=1.0):
    """Copy the store, do something to it, and let the node learn it."""
    context.copy = context.store.copy()
    action()
    run(context, seconds)


@given("the store was copied, and {count:d} rows were written since")
def copied_before_rows(context, count):
    # Long enough for the polls of both tables to return the newest version.
    copy_then(context, lambda: write_rows(context, count), 4.0)


@given("the store was copied, and configuration {version:d} was written since")
def copied_before_configuration(context, version):
    copy_then(context, lambda: context.store.put(OPERATOR_TABLE, "config", configuration(version)))
    assert context.gateway.route_table.version == version


@given('the store was copied, and the row of node "{name}" was written since')
def copied_before_node(context, name):
    copy_then(context, lambda: put_node(context, name))
    assert name in candidates(context)


@given('the store was copied when it had node "{name}", whose row was removed since')
def copied_before_removal(context, name):
    put_node(context, name)
    run(context, 1.0)
    assert name in candidates(context)
    copy_then(context, lambda: context.store.put(MEMBERS_TABLE, f"node/{name}", None))
    assert name not in candidates(context)


@given('the store was copied before node "{name}" drained and was removed')
def copied_before_drain(context, name):
    put_node(context, name)
    run(context, 1.0)
    copy_then(context, lambda: put_node(context, name, accepting=False))
    context.store.put(MEMBERS_TABLE, f"node/{name}", None)
    run(context, 1.0)
    assert name not in context.members.nodes


@when("{count:d} nodes join and are removed")
def nodes_come_and_go(context, count):
    for index in range(count):
        put_node(context, f"m{index}")
    run(context, 2.0)
    assert len(context.members.nodes) > count
    for index in range(count):
        context.store.put(MEMBERS_TABLE, f"node/m{index}", None)
    run(context, 2.0)


@then("the rows of at most {count:d} other nodes are remembered")
def bounded_histories(context, count):
    assert set(context.members.nodes) == {SETTINGS.node, "n1"}
    assert 0 < len(context.members.histories) <= count, len(context.members.histories)


@given('the store was copied before node "{name}" announced that it leaves')
def copied_before_departure(context, name):
    put_node(context, name)
    run(context, 1.0)
    copy_then(context, lambda: put_node(context, name, accepting=False, leaving=True))


@given("the store was copied when it had no row of it")
def copied_before_own_row(context):
    rows, version = context.store.copy()
    context.copy = {key: row for key, row in rows.items() if key[1] != LOCAL_KEY}, version - 1


@given("the store was copied when it had a row that does not say that it leaves")
def copied_before_own_departure(context):
    copy_then(context, lambda: context.target.on_leave("i-1", 5, lambda _stored: None))
    assert context.store.value(MEMBERS_TABLE, LOCAL_KEY)["leaving"]


@given('the store was copied, and failure domain "{name}" was evacuated since')
def copied_before_evacuation(context, name):
    copy_then(context, lambda: evacuate(context, name))
    assert name in context.members.evacuated_domains


@given('the store was copied when it had the evacuation of "{name}", which was withdrawn since')
def copied_before_withdrawal(context, name):
    evacuate(context, name)
    run(context, 1.0)
    copy_then(context, lambda: context.store.put(OPERATOR_TABLE, EVACUATE_PREFIX + name, None))
    assert name not in context.members.evacuated_domains


def evacuate(context, name):
    context.store.put(OPERATOR_TABLE, EVACUATE_PREFIX + name, {})


def candidates(context):
    return {candidate.node for candidate in context.members.candidates(SERVICE, ())}


@when("the store is restored from the copy")
def restore(context):
    context.store.calls.clear()
    context.store.restore(context.copy)


@when("the store is restored from the copy, and its rows are read")
def restore_and_read(context):
    with mock.patch.object(log_events, "emit") as emit:
        restore(context)
        run(context, 4.0)
    context.logged = [entry.args[0] for entry in emit.call_args_list]


@then("{count:d} rows are logged as older than known, once")
def rolled_back(context, count):
    (event,) = [event for event in context.logged if isinstance(event, events.RowsRolledBack)]
    assert (event.era, event.older) == (2, count), event
    assert event.version == context.copy[1] < event.former_version, event


@when("the store is restored from the copy while the node cannot reach it")
def restore_unreachable(context):
    context.store.down = True
    restore(context)


@when("configuration {version:d} and {count:d} more rows are written before the node asks again")
def written_meanwhile(context, version, count):
    before = context.client.newest_number
    context.store.put(OPERATOR_TABLE, "config", configuration(version))
    for index in range(count):
        context.store.put(MEMBERS_TABLE, "ring/other", {"index": index})
    assert context.store.version > before
    context.store.down = False


@when('the row of node "{name}" is written')
def node_written(context, name):
    put_node(context, name)


@when('the row of node "{name}" is written, which accepts no requests')
def node_written_refusing(context, name):
    put_node(context, name, accepting=False)
    assert number_of(context.members.row_versions[f"node/{name}"]) >= context.store.version


@when('after {seconds:g} s the row of node "{name}" is written')
def node_written_later(context, seconds, name):
    run(context, seconds)
    put_node(context, name)


@when('after {seconds:g} s the operator writes the evacuation of "{name}"')
def evacuated_later(context, seconds, name):
    run(context, seconds)
    evacuate(context, name)


@when('after {seconds:g} s the operator writes the evacuation of "{name}" and withdraws it')
def withdrawn_later(context, seconds, name):
    run(context, seconds)
    evacuate(context, name)
    context.store.put(OPERATOR_TABLE, EVACUATE_PREFIX + name, None)


@when("the store has no history any more")
def without_history(context):
    context.store.calls.clear()
    context.store.history_from = 1_000_000


@then("configuration {version:d} is in force within {seconds:g} s")
def in_force_within(context, version, seconds):
    run_until(context, lambda: context.gateway.route_table.version == version, seconds)


@then("configuration {version:d} is in force after {seconds:g} s")
def in_force_after(context, version, seconds):
    run(context, seconds)
    assert context.gateway.route_table.version == version


@then('node "{name}" is a candidate within {seconds:g} s')
def candidate_within(context, name, seconds):
    run_until(context, lambda: name in candidates(context), seconds)


@then('node "{name}" is no candidate within {seconds:g} s')
def no_candidate_within(context, name, seconds):
    run_until(context, lambda: name not in candidates(context), seconds)
    assert "n1" in candidates(context)


@then('node "{name}" is no candidate for {seconds:g} s')
def no_candidate_for(context, name, seconds):
    def check():
        assert name not in candidates(context)

    run(context, seconds, check)
    assert "n1" in candidates(context)


@then('the row of node "{name}" is deleted again')
def deleted_again(context, name):
    run_until(context, lambda: context.store.value(MEMBERS_TABLE, f"node/{name}") is None, 4.0)


@then('the row of node "{name}" is not deleted')
def not_deleted(context, name):
    run(context, 8.0)
    assert context.store.value(MEMBERS_TABLE, f"node/{name}") is not None
    assert name in candidates(context)


@then("the store has the row of this node as it is now within {seconds:g} s")
def own_row_written(context, seconds):
    now = msgspec.to_builtins(context.members.local_row())
    run_until(context, lambda: context.store.value(MEMBERS_TABLE, LOCAL_KEY) == now, seconds)
    run(context, 1.0)
    assert context.members.published_row == context.members.local_row()


@when("the node ends, and the store is restored {moment}")
def restored_at_end(context, moment):
    copy = context.store.copy()
    if moment == "before it removes it":
        context.store.restore(copy, drops_feeds=False)
        call(context, context.client.read, (LOCAL_KEY,))
    context.members.remove_local_row(lambda: None)
    run(context, 0.1)
    if moment == "after it has removed it":
        assert context.store.value(MEMBERS_TABLE, LOCAL_KEY) is None
        context.store.restore(copy)


@then("the store has no row of this node within {seconds:g} s")
def own_row_removed(context, seconds):
    run_until(context, lambda: context.store.value(MEMBERS_TABLE, LOCAL_KEY) is None, seconds)
    run(context, 1.0)
    assert context.store.value(MEMBERS_TABLE, LOCAL_KEY) is None


@then("each table is read completely at most {count:d} times within {seconds:g} s")
def complete_reads(context, count, seconds):
    run(context, seconds)
    for table in (MEMBERS_TABLE, OPERATOR_TABLE):
        reads = [
            call
            for call in context.store.calls
            if call.path == "/rows-get" and call.query["table"] == table and "to" not in call.query
        ]
        assert 0 < len(reads) <= count, (table, len(reads))


@then('"{name}" counts as evacuated for {seconds:g} s')
def evacuated_for(context, name, seconds):
    def check():
        assert name in context.members.evacuated_domains

    run(context, seconds, check)


@then("after the operator has written it again it counts as evacuated for {seconds:g} s")
def evacuated_again(context, seconds):
    evacuate(context, "east-2")
    evacuated_for(context, "east-2", seconds)


@then('"{name}" counts as evacuated within {seconds:g} s')
def evacuated_within(context, name, seconds):
    run_until(context, lambda: name in context.members.evacuated_domains, seconds)


@then('"{name}" does not count as evacuated within {seconds:g} s')
def evacuation_ends(context, name, seconds):
    run_until(context, lambda: name not in context.members.evacuated_domains, seconds)


@then('"{name}" does not count as evacuated for {seconds:g} s')
def not_evacuated_for(context, name, seconds):
    def check():
        assert name not in context.members.evacuated_domains

    run(context, seconds, check)


class RandomDay:
    """Nodes and an operator that write at random, while the store is restored from copies.

    Running nodes and the operator write again what the store lacks. Each change leaves the node under test
    time to see it, so that it can tell what was true before a restore.
    """

    def __init__(self, context, seed):
        self.context, self.store, self.members = context, context.store, context.members
        self.rng = random.Random(seed)
        self.running = {}
        self.seen_gone = set()
        self.evacuated = set()
        self.seen_evacuations = {}
        self.version = 10
        self.copies = []
        self.names = itertools.count()
        self.running["n1"] = node_row("n1")
        context.app.scheduler.every(0.7, lambda: [self.write_node(name) for name in self.running])

    def now(self):
        """Return the time in seconds."""
        return self.context.app.clock.monotonic()

    def later(self, least, most, call):
        """Call something after a random delay."""
        self.context.app.scheduler.call_later(self.rng.uniform(least, most), call)

    def stored_nodes(self):
        """Return the names of the nodes that have a row."""
        names = {key[len("node/") :] for table, key in self.store.rows if key.startswith("node/")}
        return {name for name in names if self.store.value(MEMBERS_TABLE, f"node/{name}") is not None}

    def change(self):
        """Make one random change."""
        kind = self.rng.choice(("join", "join", "drain", "restart", "end", "lose", "evacuate", "configure"))
        name = self.rng.choice(sorted(self.running))
        if kind == "join":
            name = f"m{next(self.names)}"
            self.running[name] = node_row(name)
        elif kind == "drain":
            self.running[name] = {**self.running[name], "accepting": False, "leaving": True}
        elif kind == "restart":
            self.running[name] = node_row(name, life=f"i-{name}@{self.now():.2f}")
        elif kind == "end" and len(self.running) > 1:
            del self.running[name]
            self.store.put(MEMBERS_TABLE, f"node/{name}", None)
            return
        elif kind == "lose":
            self.store.put(MEMBERS_TABLE, f"node/{name}", None)
            return
        elif kind == "evacuate":
            self.evacuated ^= {self.rng.choice(("east-3", "east-4"))}
            self.operate()
            return
        elif kind == "configure":
            self.version += self.rng.randint(1, 3)
            self.operate()
            return
        self.write_node(name)

    def write_node(self, name):
        """Write the row of a running node unless the store has it."""
        row = self.running.get(name)
        if row is not None and not self.store.down and self.store.value(MEMBERS_TABLE, f"node/{name}") != row:
            self.store.put(MEMBERS_TABLE, f"node/{name}", row)

    def operate(self):
        """Write the operator's rows that the store lacks or has in another form."""
        if self.store.value(OPERATOR_TABLE, "config") != configuration(self.version):
            self.store.put(OPERATOR_TABLE, "config", configuration(self.version))
        for name in ("east-3", "east-4"):
            stored = self.store.value(OPERATOR_TABLE, EVACUATE_PREFIX + name) is not None
            if stored != (name in self.evacuated):
                self.store.put(OPERATOR_TABLE, EVACUATE_PREFIX + name, None if stored else {})

    def restore(self):
        """Restore the store from a copy of a random age after a random outage."""
        usable = [copy for at, copy in self.copies if at > self.now() - 9.0] or [self.copies[-1][1]]
        self.store.down = True
        self.run(self.rng.uniform(0.02, 2.0))
        self.store.restore(self.rng.choice(usable))
        self.store.down = False
        self.later(0.1, 4.0, self.operate)

    def check(self):
        """Check that nothing that was seen comes back."""
        present = set(self.members.nodes) - {SETTINGS.node}
        assert not present & self.seen_gone, present & self.seen_gone
        if not self.store.down:
            ended = {f"m{index}" for index in range(100)} - self.running.keys()
            self.seen_gone |= {name for name in ended & self.members.histories.keys() if name not in present}
        in_force = self.members.evacuated_domains
        for name, seen in self.seen_evacuations.items():
            assert seen == (name in in_force), (name, seen, in_force)
        version = self.context.gateway.route_table.version
        assert version >= self.seen_version
        self.seen_version = version

    def run(self, seconds):
        """Let time pass, with the checks after each step."""
        run(self.context, seconds, self.check)

    def play(self):
        """Play the day, and check at its end that all that is true is known."""
        self.seen_version = 0
        for index in range(40):
            if index % 8 == 7:
                self.seen_evacuations = {name: name in self.evacuated for name in ("east-3", "east-4")}
                self.restore()
                self.run(self.rng.choice((0.3, 6.0)))
                if self.rng.random() < 0.3:
                    self.restore()
                self.run(6.0)
                self.seen_evacuations = {}
            self.copies.append((self.now(), self.store.copy()))
            self.change()
            self.run(self.rng.uniform(0.6, 1.2))
        self.run(12.0)
        assert set(self.members.nodes) == self.running.keys() | {SETTINGS.node}
        assert self.stored_nodes() == self.running.keys() | {SETTINGS.node}
        for name, row in self.running.items():
            assert msgspec.to_builtins(self.members.nodes[name]) == row
        assert self.members.evacuated_domains == self.evacuated
        assert self.context.gateway.route_table.version == self.version


@then(
    "in {count:d} random days with restores, nothing that was seen comes back and all that is true is known"
)
def random_days(context, count):
    for seed in range(count):
        with mock.patch.object(log_events, "emit"):
            node_and_store(context)
            try:
                RandomDay(context, seed).play()
            except AssertionError as error:
                raise AssertionError(f"seed {seed}: {error}") from error
            context.app.poller._poller.close()


# The client of the store alone


def new_client(context):
    context.app = application()
    context.store = context.app.add(RestorableStore())
    context.client = context.app.add(StoreClient("127.0.0.1:1"))
    context.store.on_start()
    context.client.on_start()


def begin(function, *arguments):
    results = []
    function(*arguments, results.append)
    return results


def finish(context, results, limit=4.0):
    run_until(context, lambda: results, limit)
    assert len(results) == 1, results
    return results[0]


def call(context, function, *arguments):
    return finish(context, begin(function, *arguments))


def write(version, value):
    return Transaction("1", {"node/a": version}, {"node/a": value})


@given('a client of a store with a row "node/a"')
def client_and_row(context):
    new_client(context)
    for value in range(3):
        context.store.put(MEMBERS_TABLE, "node/a", value)
    context.row = call(context, context.client.read, ("node/a",)).unwrap()["node/a"]
    context.changes = call(context, context.client.changes, 0).unwrap()
    assert context.row.value == 2 and context.client.era == 1


@given('the store was copied, and "node/a" was written since')
def copied_before_write(context):
    context.copy = context.store.copy()
    context.store.put(MEMBERS_TABLE, "node/a", 3)
    context.row = call(context, context.client.read, ("node/a",)).unwrap()["node/a"]
    assert context.row.value == 3


@when('the store is restored from the copy, and "node/a" has the same version again')
def same_version(context):
    version = context.store.version
    context.store.restore(context.copy)
    assert context.store.put(MEMBERS_TABLE, "node/a", 4) == version
    call(context, context.client.read, ("node/b",))


@then('a write under the version that was read before is a conflict, and "node/a" is as it was')
def conflict(context):
    result = call(context, context.client.commit, write(context.row.version, 5))
    assert isinstance(result, Failure) and isinstance(result.failure(), StoreConflict), result
    assert context.store.value(MEMBERS_TABLE, "node/a") == 4


@then("a write under the version that is read now succeeds")
def success(context):
    row = call(context, context.client.read, ("node/a",)).unwrap()["node/a"]
    assert row.version > context.row.version
    version = call(context, context.client.commit, write(row.version, 5)).unwrap()
    written = call(context, context.client.read, ("node/a",)).unwrap()["node/a"]
    assert written.version == version > row.version and written.value == 5


@when("a write is on its way while the store is restored")
def write_on_its_way(context):
    context.store.hold = "before"
    context.results = begin(context.client.commit, write(context.row.version, 6))
    run(context, 0.1)
    context.store.restore(context.store.copy())
    context.store.release()


@then("the write is reported as unknown")
def write_unknown(context):
    result = finish(context, context.results)
    assert isinstance(result, Failure) and result.failure().reason == "unknown", result
    assert context.store.value(MEMBERS_TABLE, "node/a") == 6


CALLS = {
    "read": lambda client, row, _changes: begin(client.read, ("node/a",)),
    "write": lambda client, row, _changes: begin(client.commit, write(row.version, 6)),
    "poll": lambda client, _row, changes: begin(client.changes, changes.seq),
}


@when("the answer to a {name} is held up while the store is restored and read")
def answer_held_up(context, name):
    copy = context.store.copy()
    context.store.hold = "after"
    context.results = CALLS[name](context.client, context.row, context.changes)
    if name == "poll":
        context.store.put(MEMBERS_TABLE, "node/a", 7)
    run(context, 0.1)
    context.store.hold = ""
    context.store.restore(copy)
    assert call(context, context.client.read, ("node/a",)).unwrap()["node/a"].value == 2
    context.store.release()


@then('the {name} has failed with the reason "{reason}"')
def late_failure(context, name, reason):
    result = finish(context, context.results)
    assert isinstance(result, Failure) and result.failure().reason == reason, result


@given("a client of a store with {count:d} rows in pages of {size:d}")
def client_and_rows(context, count, size):
    new_client(context)
    context.store.page_rows = size
    context.copy = context.store.copy()
    for index in range(count):
        context.store.put(MEMBERS_TABLE, f"node/{index}", index)


@when("the store is restored between the pages of a read")
def restored_between_pages(context):
    context.results = begin(context.client.changes, 0)
    run_until(context, lambda: len(context.store.calls) == 2, 1.0)
    context.store.restore(context.copy)
    context.store.put(MEMBERS_TABLE, "node/2", "restored")


@then("the read returns the rows of the restored store")
def rows_of_restored(context):
    rows = finish(context, context.results).unwrap().rows
    assert [(row.key, row.value) for row in rows] == [("node/2", "restored")], rows


@when("the store is restored while a poll waits, and gives out the version of the poll again")
def restored_while_polling(context):
    context.store.put(MEMBERS_TABLE, "node/b", 1)
    changes = call(context, context.client.changes, context.changes.seq).unwrap()
    context.results = begin(context.client.changes, changes.seq)
    run(context, 0.1)
    assert not context.results
    rows, version = context.store.copy()
    context.store.restore(({key: row for key, row in rows.items() if key[1] != "node/b"}, version - 1), False)
    context.store.put(MEMBERS_TABLE, "node/a", "restored")
    assert context.store.version == version
    context.store.put(MEMBERS_TABLE, "node/c", "new")
    context.known = changes


@then("the poll returns all rows of the restored store")
def all_rows(context):
    changes = finish(context, context.results).unwrap()
    assert changes.complete and changes.seq > context.known.seq
    assert [(row.key, row.value) for row in changes.rows] == [("node/a", "restored"), ("node/c", "new")]


@when('the store answers a read with the era "{header}"')
def odd_era(context, header):
    context.store.era_header = header
    with mock.patch.object(log_events, "emit") as emit:
        context.result = call(context, context.client.read, ("node/a",))
    context.logged = [entry.args[0] for entry in emit.call_args_list]


@then('the row is read in the known era, and the header "{header}" is logged')
def known_era(context, header):
    assert isinstance(context.result, Success) and context.result.unwrap()["node/a"] == context.row
    assert context.client.era == 1
    (event,) = context.logged
    assert isinstance(event, events.RowUnreadable) and repr(header) in event.reason, event


@when("the store's version becomes {number:d}")
def odd_version(context, number):
    context.store.version = number


@then("a read fails as unreadable, and a write has an unknown outcome")
def odd_version_refused(context):
    result = call(context, context.client.read, ("node/a",))
    assert isinstance(result, Failure) and result.failure().reason == "unreadable", result
    result = call(context, context.client.commit, write(context.row.version, 1))
    assert isinstance(result, Failure) and result.failure().reason == "unknown", result


@when("the store is restored twice and read")
def restored_twice(context):
    context.newest = context.store.version
    for _ in range(2):
        context.store.restore(context.store.copy())
    context.client.on_era_change.append(lambda *eras: context.changes.append(eras))
    context.changes = []
    with mock.patch.object(log_events, "emit") as emit:
        for _ in range(2):
            call(context, context.client.read, ("node/a",))
    context.logged = [entry.args[0] for entry in emit.call_args_list]


@then("the change from era {former:d} to {era:d} is logged once, with the newest version of era 1")
def era_logged(context, former, era):
    assert context.logged == [events.StoreEraChanged(former=former, era=era, version=context.newest)]
    assert context.changes == [(former, era)]
