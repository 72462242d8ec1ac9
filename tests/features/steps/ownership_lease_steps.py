# ruff: noqa: D102 - methods of the state machine are named after what they do.
"""Steps for leases: guard against two owners of a slice, lost slices and slices that stay unserved."""

from behave import then, when
from bench import lease_liveness, lease_scenarios, lease_schedules
from bench.lease_model import RULES, Cluster, hand_over_some
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule, run_state_machine_as_test

from hibiscusdrum.internal.ownership.guard import LeaseGuard
from hibiscusdrum.internal.ownership.lease import LeaseHolder
from hibiscusdrum.internal.ownership.rows import LeaseRow

LIVENESS_SEEDS = range(3)


@when('the dangerous schedule of lease rule "{name}" runs with and without the rule')
def run_dangerous_schedule(context, name):
    context.with_rule = lease_scenarios.run(name, frozenset()).violations
    context.without_rule = lease_scenarios.run(name, frozenset([name])).violations


@then("only the run without the lease rule has two owners")
def check_dangerous_schedule(context):
    assert not context.with_rule, context.with_rule[0]
    assert any("served by" in text for text in context.without_rule), "the schedule is not dangerous"


@then("each lease rule that can be left out has a dangerous schedule")
def check_all_rules_covered(context):
    assert set(lease_scenarios.SCENARIOS) == set(RULES)


@when("{count:d} random lease schedules run")
def run_random_schedules(context, count):
    context.lease_result = lease_schedules.count(range(count), frozenset(), limit_seconds=30.0)
    assert context.lease_result[0] == count, "the schedules did not end in time"


@when(
    "{count:d} random lease schedules run in which senders are killed before or after their writes take "
    "effect"
)
def run_schedules_with_kills(context, count):
    context.lease_result = lease_schedules.count(range(count), frozenset(), 30.0, kill_senders=True)
    assert context.lease_result[0] == count, "the schedules did not end in time"


@then("no lease schedule has two owners or lost slices")
def check_random_schedules(context):
    assert context.lease_result[1] == 0, context.lease_result[2]


class LeaseMachine(RuleBasedStateMachine):
    """Drives the model by faults and operations that Hypothesis chooses."""

    nodes = st.integers(0, 3)
    parties = st.sampled_from(["n0", "n1", "n2", "n3", "table"])

    @initialize(seed=st.integers(0, 1000), noisy=st.booleans())
    def form(self, seed, noisy):
        self.cluster = Cluster(seed, count=4, noisy=noisy, drift=0.0049)
        self.cluster.form()
        self.cluster.run_until(2.0)

    @rule(seconds=st.sampled_from([0.02, 0.1, 0.5, 1.5, 2.0]))
    def let_time_pass(self, seconds):
        self.cluster.run_until(self.cluster.time + seconds)

    @rule(node=nodes, seconds=st.sampled_from([0.3, 1.4, 1.6, 4.0]))
    def pause(self, node, seconds):
        self.cluster.nodes[f"n{node}"].pause(seconds)

    @rule(node=nodes)
    def crash_or_start(self, node):
        target = self.cluster.nodes[f"n{node}"]
        target.crash() if target.process else target.start()

    @rule(sender=parties, receiver=parties)
    def cut_or_heal(self, sender, receiver):
        self.cluster.faults.cuts ^= {(sender, receiver)}

    @rule(sender=parties, receiver=parties, seconds=st.sampled_from([0.5, 1.5, 2.5]))
    def delay(self, sender, receiver, seconds):
        late = self.cluster.faults.late
        if late.pop((sender, receiver), None) is None:
            late[sender, receiver] = seconds

    @rule()
    def table_outage(self):
        self.cluster.faults.table_down = not self.cluster.faults.table_down

    @rule(node=nodes, count=st.integers(1, 3), hot=st.booleans())
    def hand_over(self, node, count, hot):
        hand_over_some(self.cluster, self.cluster.nodes[f"n{node}"], count, hot)

    @rule(node=nodes, kind=st.sampled_from(["guard", "leave"]))
    def act_as_member(self, node, kind):
        lease_schedules.act_as_member(self.cluster, self.cluster.nodes[f"n{node}"], kind)

    @invariant()
    def one_owner_and_no_lost_slice(self):
        cluster = getattr(self, "cluster", None)
        assert cluster is None or not cluster.violations, cluster.violations[0]


@then("the stateful lease model finds no violation")
def run_stateful_model(context):
    run_state_machine_as_test(
        LeaseMachine,
        settings=settings(
            max_examples=60,
            stateful_step_count=30,
            derandomize=True,
            database=None,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


@when('the lease model loses "{loss}"')
def run_loss(context, loss):
    context.losses = [lease_liveness.CASES[loss](seed) for seed in LIVENESS_SEEDS]


@then("all slices are served again within 5 s by one owner each")
def check_loss(context):
    for seconds, cluster in context.losses:
        assert seconds <= lease_liveness.LIMIT_SECONDS, seconds
        assert not cluster.violations, cluster.violations[0]


@then("no slice was unserved during the store outage")
def check_outage(context):
    for seconds, cluster in context.losses:
        assert seconds == 0.0, seconds
        assert not cluster.violations, cluster.violations[0]


@when("a node with a valid lease receives slices")
def receive_slices(context):
    context.cluster = cluster = lease_liveness.formed(0)
    context.lease_version = cluster.table.rows["lease/n1"][0]
    source = cluster.nodes["n0"]
    source.hand_over(source.process, "n1", [0], [])
    cluster.run_until(cluster.time + 3.0)


@then("its lease row has the same version and its grants still count")
def check_lease_version(context):
    cluster = context.cluster
    assert 0 in cluster.table.rows["owner/n1"][1]["slices"], "the handover did not take place"
    assert cluster.table.rows["lease/n1"][0] == context.lease_version
    assert cluster.nodes["n1"].process.holder.seconds_since_grant(cluster.nodes["n1"].now()) < 0.5
    assert cluster.unserved() == 0


class HolderScript:
    """Carries out events on a lease holder."""

    def __init__(self):
        self.holder, self.now, self.version, self.nonce = LeaseHolder("x", "i"), 100.0, 0, 1

    def adopt(self, guard):
        if guard != "old":
            self.version += 1
        incarnation = "other" if guard == "other" else "i"
        row = LeaseRow("x", incarnation, "x" if guard == "self" else guard)
        self.holder.apply_row(row, self.version, self.now)

    def ask(self):
        self.nonce = self.holder.start_renewal(self.now).nonce

    def grant(self, kind=""):
        self.holder.on_granted(self.nonce, self.version + (kind == "other version"), self.now)

    def refuse(self):
        self.holder.on_refused(self.nonce, self.now)

    def wait(self, seconds):
        self.now += float(seconds)

    def change(self):
        self.holder.begin_guard_change(self.now)

    def unknown(self):
        self.holder.guard_change_unknown(self.now)

    def failed(self):
        self.holder.guard_change_failed(self.now)

    def lost(self):
        self.holder.revoke(self.now)

    def delete(self, kind=""):
        self.holder.apply_row_deletion(self.version + (kind != "old"), self.now)


@then("a renewal is due at once after a change of its row and soon after a refusal")
def check_renewal_due(context):
    script = HolderScript()
    script.adopt("g")
    script.ask()
    assert not script.holder.renewal_due(script.now + 0.3)
    script.refuse()
    assert script.holder.renewal_due(script.now + 0.11)
    script.ask()
    script.adopt("h")
    assert script.holder.renewal_due(script.now)


@when('a lease holder meets "{events}"')
def run_holder_events(context, events):
    context.script = HolderScript()
    for event in events.split(", "):
        name, _, argument = event.partition(" ")
        getattr(context.script, name)(*([argument] if argument else []))


@then("its lease is {state}")
def check_holder(context, state):
    assert context.script.holder.valid(context.script.now) == (state == "valid")


class GuardScript:
    """Carries out events on the guard table of g, whose owner in question is x."""

    def __init__(self):
        self.guard, self.now, self.outcome = LeaseGuard("g"), 100.0, None

    def read(self, version, guard):
        self.guard.apply_row(LeaseRow("x", "i", guard), "x", int(version), self.now)

    def deleted(self, version):
        self.guard.apply_row(None, "x", int(version), self.now)

    def own(self, *words):
        row = None if words[0] == "deleted" else LeaseRow("g", words[0], "h")
        self.guard.apply_row(row, "g", int(words[-1]), self.now)

    def renew(self, version, kind=""):
        incarnation = "other" if kind == "other" else "i"
        decision = self.guard.decide_renewal("x", incarnation, int(version), kind != "lapsed", self.now)
        self.outcome = "granted" if decision.granted else str(decision.refusal)

    def wait(self, seconds):
        self.now += float(seconds)

    def due(self, kind=""):
        self.outcome = "due" if self.guard.expired_leases(self.now, kind != "lapsed") else "not due"

    def take(self):
        self.outcome = "started" if self.guard.begin_takeover("x") else "not started"

    def end(self, outcome):
        self.guard.end_takeover("x", {"yes": True, "no": False, "unknown": None}[outcome], self.now)


@when('a guard table meets "{events}"')
def run_guard_events(context, events):
    context.script = GuardScript()
    for event in events.split(", "):
        name, *arguments = event.split()
        getattr(context.script, name)(*arguments)


@then('the last guard event gave "{outcome}"')
def check_guard_outcome(context, outcome):
    assert context.script.outcome == outcome, context.script.outcome
