"""Steps for the operators' API: guards against two confirms on one revision and false "not run" answers."""

import copy
import itertools
import json
from collections import deque

import msgspec
from behave import given, then, when
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from hibiscusdrum.errors import StoreConflict, StoreUnavailable
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.clock import ManualClock
from hibiscusdrum.internal.config import document as documents
from hibiscusdrum.internal.config import intents, operators, revisions
from hibiscusdrum.internal.ownership.rows import CONFIG_KEY, OwnerRow
from hibiscusdrum.internal.platform.table import Changes, Row, Transaction

NODES = ("n1", "n2")
START = (
    intents.CreateRoute("archiv", ("ost", "west"), True, 16),
    intents.CreateTenant("amt", home_regions=("ost",)),
    intents.CreateTenant("buerger"),
)


class FakeTable:
    """Table whose operations wait in ``queue`` until a test runs them, in any order and with faults.

    ``unavailable`` refuses operations; ``lose_reply`` lets the next write take effect without its reply.
    """

    def __init__(self):
        self.rows, self.seq, self.queue = {}, 0, deque()
        self.unavailable = self.lose_reply = False

    def read(self, keys, callback):
        """Queue a read."""

        def run():
            found = {key: copy.deepcopy(self.rows[key]) for key in keys if key in self.rows}
            return Success(found)

        self.queue.append(("read", run, callback))

    def changes(self, since, callback):
        """Queue a read of changed rows."""

        def run():
            return Success(Changes(self.seq, tuple(r for r in self.rows.values() if r.version > since)))

        self.queue.append(("changes", run, callback))

    def commit(self, transaction, callback):
        """Queue a write."""
        json.dumps(transaction.puts)
        self.queue.append(("commit", lambda: self.write(transaction), callback))

    def write(self, transaction):
        """Apply a write if its checks hold."""
        versions = {key: self.version(key) for key in transaction.checks}
        if versions != transaction.checks:
            return Failure(StoreConflict(keys=tuple(sorted(transaction.checks))))
        self.seq += 1
        for key, value in transaction.puts.items():
            self.rows[key] = Row(key, self.seq, copy.deepcopy(value))
        for key in transaction.deletes:
            self.rows[key] = Row(key, self.seq)
        return Success(self.seq)

    def version(self, key):
        """Return the version to check; 0 for an absent or deleted row."""
        row = self.rows.get(key)
        return 0 if row is None or row.value is None else row.version

    def run_one(self, index=0):
        """Run one queued operation and its callback, with the faults that are set."""
        self.queue.rotate(-index)
        name, run, callback = self.queue.popleft()
        self.queue.rotate(index)
        if self.unavailable:
            callback(Failure(StoreUnavailable(operation=name, reason="refused")))
            return
        result = run()
        if name == "commit" and self.lose_reply:
            self.lose_reply = False
            result = Failure(StoreUnavailable(operation=name, reason="unknown"))
        callback(result)

    def run_all(self):
        """Run queued operations until none is left."""
        while self.queue:
            self.run_one()

    def document(self):
        """Return the stored document."""
        row = self.rows.get(CONFIG_KEY)
        return documents.decode_config_row(row.value if row else None)


class FakeDaemon:
    """One daemon's operators' API with its view of acknowledgements."""

    def __init__(self, table):
        self.table, self.tracked = table, {}
        self.ids = (f"p{number}-{id(self)}" for number in itertools.count())
        self.api = operators.OperatorApi(
            table,
            current_config=lambda: (table.document(), table.version(CONFIG_KEY)),
            owners=lambda: [OwnerRow("n1", "archiv", "ost", "ost-wien", "", "", (1, 2))],
            on_committed=self.on_committed,
            acceptance=self.tracked.get,
            clock=ManualClock(),
            new_id=lambda: next(self.ids),
        )
        self.state = revisions.RevisionState(documents.empty_document())

    def on_committed(self, document, base_revision, content):
        """Track acknowledgements and check that the change gives the committed document."""
        self.tracked[document.revision] = revisions.Acceptance(document.revision, NODES)
        if isinstance(self.state.offer_change(document.revision, base_revision, content), revisions.Behind):
            self.state.offer_document(document)
        assert self.state.document == document, (self.state.document, document)

    def send(self, method, path, body=b""):
        """Start a request; the returned list receives (status, answer) exactly once."""
        answers = []
        self.api.handle(
            method, f"/v1/operator/{path}", body, lambda status, found: answers.append((status, found))
        )
        return answers

    def acknowledge(self, *nodes):
        """Acknowledge every tracked revision, as lease renewals do."""
        for acceptance in self.tracked.values():
            for node in nodes:
                acceptance.on_ack(node, acceptance.revision)
        self.api.advance()


@given('a table service and daemons "d1" and "d2" with a route and two tenants')
def make_service(context):
    log_events.configure("test", "ERROR")
    context.store_table, context.plans = FakeTable(), {}
    context.daemons = {name: FakeDaemon(context.store_table) for name in ("d1", "d2")}
    seed(context.store_table)


def seed(table):
    document = documents.empty_document()
    for intent in START:
        document = intents.apply(intent, document)
    table.seq = 1
    table.rows[CONFIG_KEY] = Row(CONFIG_KEY, 1, documents.encode_config_row(document, "seed"))


def ask(context, daemon, method, path, body=b""):
    answers = context.daemons[daemon].send(method, path, body)
    context.store_table.run_all()
    (context.answer,) = answers
    return context.answer


def make_plan(context, name, daemon, intent):
    status, answer = ask(context, daemon, "POST", "plan", msgspec.json.encode(intent))
    assert status == 201, answer
    context.plans[name] = answer["plan"]["id"]


@given('the plans A to drain "{first}" at "{one}" and B to drain "{second}" at "{other}"')
def make_two_plans(context, first, one, second, other):
    make_plan(context, "A", one, intents.DrainFailureDomain(first))
    make_plan(context, "B", other, intents.DrainFailureDomain(second))


@given('plan C at "{daemon}" to move tenant "{tenant}" to "{region}"')
def make_move(context, daemon, tenant, region):
    make_plan(context, "C", daemon, intents.SetHomeRegions(tenant, (region,)))


@when('{one} is confirmed at "{first}" and {two} at "{second}" while both reads precede both writes')
def confirm_both(context, one, first, two, second):
    started = [
        context.daemons[daemon].send("POST", f"confirm/{context.plans[plan]}")
        for plan, daemon in ((one, first), (two, second))
    ]
    assert [name for name, _run, _callback in context.store_table.queue] == ["read", "read"]
    context.store_table.run_all()
    context.answers = [answer for (answer,) in started]


@then(
    'one confirm answers 200 and the other 409 "revision_conflict" with its plan, base and current revision'
)
def check_one_wins(context):
    (won, _), (lost, error) = sorted(context.answers, key=lambda answer: answer[0])
    base = len(START)
    assert (won, lost, error["code"]) == (200, 409, "revision_conflict"), context.answers
    assert error["values"] == {"plan": context.plans["B"], "base": base, "current": base + 1}, error


@then("the table holds the document of the confirmed plan alone")
def check_winner(context):
    assert context.store_table.document().drained == ("ost-wien",)


@then("both confirms answer 200 with the same revision")
def check_both(context):
    assert [(status, found["revision"]) for status, found in context.answers] == [(200, len(START) + 1)] * 2


@then("the table's revision is one above the base")
def check_revision(context):
    assert context.store_table.document().revision == len(START) + 1


@when('{plan} is confirmed at "{daemon}"')
def confirm_plan(context, plan, daemon):
    ask(context, daemon, "POST", f"confirm/{context.plans[plan]}")


@when('{plan} is confirmed at "{daemon}" while another daemon deletes its row between the read and the write')
def confirm_deleted(context, plan, daemon):
    answers = context.daemons[daemon].send("POST", f"confirm/{context.plans[plan]}")
    context.store_table.run_one()
    context.store_table.write(Transaction("delete", {}, {}, (f"plan/{context.plans[plan]}",)))
    context.store_table.run_all()
    (context.answer,) = answers


@then("the table's revision is the base")
def check_base(context):
    assert context.store_table.document().revision == len(START)


@when('{plan} is confirmed at "{daemon}" and the write\'s reply is lost')
def confirm_with_lost_reply(context, plan, daemon):
    context.store_table.lose_reply = True
    confirm_plan(context, plan, daemon)


@when('the operator sends "{request}" at "{daemon}"')
def send_request(context, request, daemon):
    method, path, *body = request.split(" ", 2)
    path = "/".join(context.plans.get(part, part) for part in path.split("/"))
    ask(context, daemon, method, path, "".join(body).encode())


@when('the store is unavailable and the operator sends "{request}" at "{daemon}"')
def send_in_outage(context, request, daemon):
    context.before = (context.store_table.seq, copy.deepcopy(context.store_table.rows))
    context.store_table.unavailable = True
    send_request(context, request, daemon)


@then("the table is as before the outage")
def check_unchanged(context):
    assert (context.store_table.seq, context.store_table.rows) == context.before


@then('the operator\'s answer is {status:d} "{code}"')
def check_answer(context, status, code):
    found, answer = context.answer
    assert (found, answer.get("code", answer.get("state"))) == (status, code), context.answer


@then('the operator reads {status:d} "{code}" and that "{nodes}" are missing')
def check_answer_missing(context, status, code, nodes):
    check_answer(context, status, code)
    assert context.answer[1]["missing"] == nodes.split(","), context.answer


@when('all nodes have acknowledged at "{daemon}"')
def acknowledge_all(context, daemon):
    context.daemons[daemon].acknowledge(*NODES)
    context.store_table.run_all()


@when('all nodes have acknowledged at "{daemon}" while the store is unavailable')
def acknowledge_in_outage(context, daemon):
    context.store_table.unavailable = True
    acknowledge_all(context, daemon)
    context.store_table.unavailable = False


@when('all nodes have acknowledged at "{daemon}", which then advances its plans {count:d} times')
def advance_repeatedly(context, daemon, count):
    context.daemons[daemon].acknowledge(*NODES)
    for _ in range(count):
        context.daemons[daemon].api.advance()


@then("{count:d} store operation waits")
def check_waiting(context, count):
    assert len(context.store_table.queue) == count, context.store_table.queue


@when('"{node}" alone has acknowledged at "{daemon}"')
def acknowledge_one(context, node, daemon):
    context.daemons[daemon].acknowledge(node)
    context.store_table.run_all()


@when('"{daemon}" advances its plans')
def advance_plans(context, daemon):
    context.daemons[daemon].api.advance()
    context.store_table.run_all()


@then('plan {plan} is "{state}" when asked at "{daemon}"')
def check_state(context, plan, state, daemon):
    status, answer = ask(context, daemon, "GET", f"plan/{context.plans[plan]}")
    assert (status, answer["state"]) == (200, state), answer


@then('tenant "{tenant}" is suspended with home regions "{regions}"')
def check_suspended(context, tenant, regions):
    found = context.store_table.document().tenants[tenant]
    assert (found.suspended, found.home_regions) == (True, tuple(regions.split(","))), found


@then('tenant "{tenant}" is not suspended with home regions "{regions}"')
def check_active(context, tenant, regions):
    found = context.store_table.document().tenants[tenant]
    assert (found.suspended, found.home_regions) == (False, tuple(regions.split(","))), found


@then('"{daemon}" follows no plan')
def check_pending(context, daemon):
    api = context.daemons[daemon].api
    assert not api.pending_revisions and not api.advancing, (api.pending_revisions, api.advancing)


@when('the suspension of "{tenant}" is ended and made again at "{daemon}"')
def suspend_again(context, tenant, daemon):
    make_plan(context, "end", daemon, intents.SetHomeRegions(tenant, ("ost",)))
    confirm_plan(context, "end", daemon)
    assert not context.store_table.document().tenants[tenant].suspended, context.answer
    make_plan(context, "again", daemon, intents.SetHomeRegions(tenant, ("ost", "west")))
    confirm_plan(context, "again", daemon)


@then("every generated schedule of confirms keeps one plan for each revision")
def check_schedules(context):
    repeatable = settings(derandomize=True, database=None, deadline=None, max_examples=200)
    action = st.one_of(
        st.tuples(st.just("plan"), st.integers(0, 1), st.sampled_from("abcdef")),
        st.tuples(st.just("confirm"), st.integers(0, 1), st.integers(0, 9)),
        st.tuples(st.just("run"), st.integers(0, 9), st.sampled_from(("", "", "lost", "refused"))),
    )

    @repeatable
    @generated(st.lists(action, max_size=60))
    def check(actions):
        table = FakeTable()
        seed(table)
        daemons, plans, answers = [FakeDaemon(table), FakeDaemon(table)], [], []
        for name, number, detail in actions:
            if name == "plan":
                body = msgspec.json.encode(intents.DrainFailureDomain(detail))
                plans.append(daemons[number].send("POST", "plan", body))
            elif name == "confirm" and plans and plans[detail % len(plans)]:
                status, answer = plans[detail % len(plans)][0]
                if status == 201:
                    answers.append(daemons[number].send("POST", f"confirm/{answer['plan']['id']}"))
            elif name == "run" and table.queue:
                table.lose_reply, table.unavailable = detail == "lost", detail == "refused"
                table.run_one(number % len(table.queue))
        table.lose_reply = table.unavailable = False
        table.run_all()
        check_history(table, answers)

    check()


def check_history(table, answers):
    """Check that the table's revision is explained by exactly the plans that the table says are committed."""
    assert all(len(found) == 1 for found in answers), "an answer is missing or was given twice"
    rows = [
        operators.decode_plan_row(row.value) for key, row in table.rows.items() if key.startswith("plan/")
    ]
    done = sorted((row for row in rows if row.steps_done), key=lambda row: row.revision)
    first = len(START) + 1
    assert [row.revision for row in done] == list(range(first, first + len(done)))
    assert table.document().revision == len(START) + len(done)
    drained = sorted(row.plan.intent["failure_domain"] for row in done)
    assert list(table.document().drained) == drained
    committed = {row.plan.id for row in done}
    assert {a["plan"]["id"] for ((status, a),) in answers if status == 200} <= committed
    refused = [a["values"]["plan"] for ((_, a),) in answers if a.get("code") == "revision_conflict"]
    assert not committed & set(refused), "a confirmed plan was reported as a conflict"


class FakeNode:
    """A node with a lease that applies what is delivered to it, in any order."""

    def __init__(self, table):
        self.table, self.state, self.inbox = table, revisions.RevisionState(table.document()), []

    def deliver(self, index):
        """Apply one waiting change; a node that is behind reads the table."""
        result = self.state.offer_change(*self.inbox.pop(index % len(self.inbox)))
        if isinstance(result, revisions.Behind):
            self.state.offer_document(self.table.document())


class MovingDaemon(FakeDaemon):
    """A daemon that sends its commits to nodes and learns their revisions late."""

    def __init__(self, table, nodes):
        super().__init__(table)
        self.nodes = nodes

    def on_committed(self, document, base_revision, content):
        """Track acknowledgements and send the change."""
        self.tracked[document.revision] = revisions.Acceptance(
            document.revision, map(str, range(len(self.nodes)))
        )
        for node in self.nodes:
            node.inbox.append((document.revision, base_revision, content))

    def acknowledge_from(self, number):
        """Learn one node's revision and continue the plans."""
        for acceptance in self.tracked.values():
            acceptance.on_ack(str(number), self.nodes[number].state.revision)
        self.api.advance()


@then("every generated schedule of home-region moves keeps the regions of serving nodes equal")
def check_moves(context):
    repeatable = settings(derandomize=True, database=None, deadline=None, max_examples=250)
    number = st.integers(0, 5)
    regions = st.sampled_from((("ost",), ("west",), ("ost", "west")))
    action = st.one_of(
        st.tuples(st.just("move"), number, regions),
        st.tuples(st.just("confirm"), number, number),
        st.tuples(st.just("deliver"), number, number),
        st.tuples(st.just("acknowledge"), number, number),
        st.tuples(st.just("run"), number, st.sampled_from(("", "", "lost", "refused"))),
        st.tuples(st.just("run all"), number, number),
        st.tuples(st.just("deliver all"), number, number),
    )

    @repeatable
    @generated(st.lists(action, min_size=20, max_size=80))
    def check(actions):
        table, plans, moved = FakeTable(), [], 0
        seed(table)
        nodes = [FakeNode(table), FakeNode(table)]
        daemons = [MovingDaemon(table, nodes), MovingDaemon(table, nodes)]
        for name, one, other in actions:
            daemon, node = daemons[one % 2], nodes[one % 2]
            if name == "move":
                plans.append(
                    daemon.send("POST", "plan", msgspec.json.encode(intents.SetHomeRegions("amt", other)))
                )
            elif name == "confirm" and plans and plans[-1 - other % len(plans)]:
                status, answer = plans[-1 - other % len(plans)][0]
                if status == 201:
                    daemon.send("POST", f"confirm/{answer['plan']['id']}")
            elif name == "deliver" and node.inbox:
                node.deliver(other)
            elif name == "deliver all":
                while node.inbox:
                    node.deliver(0)
            elif name == "acknowledge":
                daemon.acknowledge_from(other % 2)
            elif name == "run" and table.queue:
                table.lose_reply, table.unavailable = other == "lost", other == "refused"
                table.run_one(one % len(table.queue))
            elif name == "run all":
                table.lose_reply = table.unavailable = False
                table.run_all()
            found = [node.state.document.tenants["amt"] for node in nodes]
            serving = {tenant.home_regions for tenant in found if not tenant.suspended}
            assert len(serving) <= 1, (serving, table.document().revision)
            moved = max(moved, sum(tenant.home_regions != ("ost",) for tenant in found))
        context.moved = [*context.moved, moved]

    context.moved = []
    check()
    # A schedule generator that never completes a move would prove nothing.
    assert any(context.moved), "no schedule completed a move"


@given("{count:d} accepted plans in the table")
def fill_plans(context, count):
    make_plan(context, "A", "d1", intents.DrainFailureDomain("ost-wien"))
    value = context.store_table.rows[f"plan/{context.plans['A']}"].value
    for number in range(count - 1):
        context.store_table.seq += 1
        row = Row(f"plan/old{number}", context.store_table.seq, {**value, "state": "accepted"})
        context.store_table.rows[row.key] = row


@when('a further plan is made and confirmed at "{daemon}"')
def confirm_further(context, daemon):
    make_plan(context, "Z", daemon, intents.DrainFailureDomain("ost-graz"))
    confirm_plan(context, "Z", daemon)


@then("the table holds {count:d} plans and the confirmed one is among them")
def check_pruned(context, count):
    kept = [key for key, row in context.store_table.rows.items() if key.startswith("plan/") and row.value]
    assert len(kept) == count and f"plan/{context.plans['Z']}" in kept, len(kept)


@then("only the exact shared key is authorized")
def check_authorized(context):
    assert operators.authorized("a-shared-key", b"a-shared-key")
    for wrong in ("", "a-shared-ke", "a-shared-key ", "A-shared-key", "ä"):
        assert not operators.authorized(wrong, b"a-shared-key"), wrong
