"""Steps for histories of whole systems: processes, faults, and the check of what was recorded."""

import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from tests.history import checker
from tests.history.model import History, RevisionAccepted
from tests.history.systems import (
    KEYS,
    MINIMUM_ANSWERS,
    WAIT_SECONDS,
    complete_history,
    create_plan,
    loaded_cluster,
    plan_state,
)
from tools.processes import ROOT, request, wait_until

# Stated goal of the design page for a handover.
HANDOVER_SECONDS = 0.2
FIGURES = ROOT / "out" / "system_histories.txt"
# Systems in use, by their regions; starting one takes several seconds.
SYSTEMS = {}


def start(context, regions, relayed=False):
    """Use the system of the former scenario again when it kept its guarantees, or start one under load."""
    cluster = SYSTEMS.get(regions)
    if cluster is None or not cluster.intact:
        if cluster is not None:
            cluster.close()
        cluster = SYSTEMS[regions] = loaded_cluster(regions, relayed=relayed)
        context.add_cleanup(close, regions, layer="feature")
    else:
        cluster.restart()
    cluster.intact = False
    context.cluster, context.owner, context.history = cluster, cluster.main_owner(), None


def close(regions):
    cluster = SYSTEMS.pop(regions, None)
    if cluster is not None:
        cluster.close()


@given("a loaded system of four nodes in two failure domains")
def start_region(context):
    start(context, ("ost",))


@given("a loaded system of two regions")
def start_regions(context):
    start(context, ("ost", "west"), relayed=True)


# Losses


@when("the system loses {loss}")
def lose(context, loss):
    cluster, owner = context.cluster, context.owner
    domain = [node.name for node in cluster.spec.nodes if node.failure_domain == "ost-a"]
    nodes, parts = {
        "the owner": ([owner], {}),
        "the daemon of the owner": ([owner], {"target": False}),
        "the target of the owner": ([owner], {"daemon": False}),
        "the owner and its guard": ([owner, cluster.guard_of(owner)], {}),
        "the failure domain of the owner": (domain, {}),
    }[loss]
    context.loss = cluster.kill(*nodes, **parts)


@then("each key is answered again within 5 s of the loss")
def check_recovery(context):
    cluster, loss = context.cluster, context.loss

    def recovered():
        seconds = checker.recovery_seconds(History(operations=tuple(cluster.operations())), loss)
        return seconds if len(seconds) == KEYS and max(seconds.values()) < float("inf") else None

    seconds = max(wait_until(recovered, WAIT_SECONDS, "every key is answered again").values())
    figure(context, f"served again after {seconds:.2f} s")
    assert seconds <= checker.RECOVERY_SECONDS, seconds


def figure(context, text):
    """Note a measured figure under the name of the scenario."""
    FIGURES.parent.mkdir(exist_ok=True)
    with FIGURES.open("a") as file:
        file.write(f"{context.scenario.name}: {text}\n")


@when("{frozen} of the owner is paused for {seconds:d} s and resumed")
def pause(context, frozen, seconds):
    cluster = context.cluster
    event = cluster.pause(context.owner, target=frozen.endswith("target"))
    time.sleep(seconds)
    assert f"owner/{context.owner}" not in cluster.rows(), "the paused owner was not taken over"
    cluster.resume(event)
    time.sleep(1.0)


@when("the target of the owner runs {count:d} requests without an answer, and {lost}")
def lose_answers(context, count, lost):
    cluster = context.cluster
    cluster.inject_target_faults(context.owner, hang=count)
    context.began = time.monotonic()
    target = cluster.nodes[context.owner].target_address

    def executed():
        effects = request(target, "GET", "/record")[1]["effects"]
        return any(e["method"] == "POST" and e["start_ns"] > context.began * 1e9 for e in effects)

    wait_until(executed, WAIT_SECONDS, "a non-idempotent request ran without an answer")
    if lost == "the daemon is killed":
        cluster.kill(context.owner, target=False)
    # A caller waits for both attempts, each with its own timeout.
    time.sleep(2.1 * cluster.loads[0].timeout)


@then("retries of unanswered requests were refused as unknown")
def check_retries(context):
    context.history = complete_history(context.cluster)
    executed = {effect.request_id for effect in context.history.effects}
    refused = [
        o
        for o in context.history.operations
        if o.completed >= context.began and not o.idempotent and o.outcome == "unknown"
    ]
    assert any(operation.request_id in executed for operation in refused), refused


# Store and partitions


@when("the store is down for {seconds:d} s")
def fail_store(context, seconds):
    context.cluster.inject_store_fault("down", seconds)
    context.event = context.cluster.events[-1]
    time.sleep(seconds)


@given("no slices have moved for {seconds:d} s")
def wait_for_balance(context, seconds):
    cluster = context.cluster
    state = {"owners": None, "since": 0.0}

    def unchanged():
        owners = {key: row["slices"] for key, row in cluster.rows().items() if key.startswith("owner/")}
        if owners != state["owners"]:
            state.update(owners=owners, since=time.monotonic())
        return time.monotonic() - state["since"] > seconds

    wait_until(unchanged, WAIT_SECONDS, "slices stay where they are")


@when("a node is replaced and the store is down for {seconds:d} s as soon as it has joined")
def fail_store_after_join(context, seconds):
    cluster = context.cluster
    replaced = next(node.name for node in cluster.spec.nodes if node.name != context.owner)
    former = cluster.incarnations()[replaced]
    cluster.stop(replaced)
    cluster.start_node(replaced)
    joined = lambda: cluster.incarnations().get(replaced, former) != former  # noqa: E731
    wait_until(joined, WAIT_SECONDS, "the node joins")
    fail_store(context, seconds)


@then("every request during the {event} was answered")
def check_answered(context, event):
    context.history = complete_history(context.cluster)
    inside = [o for o in context.history.operations if context.event.at <= o.invoked <= context.event.until]
    failed = [o for o in inside if o.outcome != "ok"]
    assert len(inside) >= MINIMUM_ANSWERS, len(inside)
    assert not failed, failed[:3]


@when("every target is slowed {factor:d} times for {seconds:d} s after running {hung:d} requests unanswered")
def slow_targets(context, factor, seconds, hung):
    began = time.monotonic()
    # A target runs nothing past its deadline, so only answers that are lost show a false "not run".
    for name in context.cluster.nodes:
        context.cluster.inject_target_faults(name, hang=hung)
    time.sleep(1.0)
    for name in context.cluster.nodes:
        context.cluster.inject_target_faults(name, slow_factor=float(factor), seconds=float(seconds))
    time.sleep(seconds)
    context.overload = began, time.monotonic()


@then("some requests of that time were refused as not run")
def check_refusals(context):
    context.history = complete_history(context.cluster)
    began, ended = context.overload
    refused = [
        o for o in context.history.operations if began <= o.invoked <= ended and o.outcome == "not_run"
    ]
    figure(context, f"{len(refused)} requests refused as not run")
    assert len(refused) >= 10, len(refused)


@when("the node of the owner is retired by an operator")
def retire_owner(context):
    cluster, owner = context.cluster, context.owner
    other = next(name for name in cluster.nodes if name != owner)
    status, answer = cluster.operator_request(other, "POST", "plan", {"kind": "retire_target", "node": owner})
    assert status == 201, answer
    plan = answer["plan"]["id"]
    status, answer = cluster.operator_request(other, "POST", f"confirm/{plan}")
    assert status == 200, answer
    context.retired_at = time.monotonic()
    accept(context, other, plan)
    time.sleep(checker.DRAIN_SECONDS + 1.0)


@then("the retired node owns nothing and its target runs nothing after 5 s")
def check_retired(context):
    context.history = complete_history(context.cluster)
    assert not context.cluster.rows()[f"owner/{context.owner}"]["slices"]
    limit = context.retired_at + checker.DRAIN_SECONDS
    late = [e for e in context.history.effects if e.target == context.owner and e.started > limit]
    assert not late, late[:3]
    # A retired node stays retired, so the system is not used again.
    context.used_up = True


@when("a node joins and a plan is confirmed while the store loses its replies")
def lose_replies(context):
    cluster = context.cluster
    joining = next(node.name for node in cluster.spec.nodes if node.name != context.owner)
    cluster.stop(joining)
    plan = create_plan(cluster, context.owner, kind="create_tenant", name="new-tenant")
    cluster.inject_store_fault("lose_reply", 2.0)
    cluster.start_node(joining)
    context.joining = joining
    # A confirm whose outcome is unknown is repeated until it is known, as operators do.
    path = f"confirm/{plan}"
    wait_until(
        lambda: cluster.operator_request(context.owner, "POST", path)[0] == 200,
        WAIT_SECONDS,
        "the plan is confirmed",
    )
    context.plan = plan


@then("the node has joined and the plan is accepted as one revision")
def check_joined(context):
    cluster = context.cluster
    accept(context, context.owner, context.plan)
    joined = lambda: cluster.status(context.joining).get("lease_valid")  # noqa: E731
    wait_until(joined, WAIT_SECONDS, "the node has a lease")
    assert cluster.rows()["config/current"]["revision"] == 2


@when("{region} is parted for {seconds:d} s and a plan is confirmed in {other} meanwhile")
def part(context, region, seconds, other):
    cluster = context.cluster
    # The store stands in the other region; a node that cannot reach it can confirm nothing.
    node = cluster.main_owner(other)
    context.event = cluster.partition_region(region)
    time.sleep(seconds / 2)
    plan = create_plan(cluster, node, kind="create_tenant", name="new-tenant")
    status, answer = cluster.operator_request(node, "POST", f"confirm/{plan}")
    assert status == 200, answer
    assert answer["state"] == "committed", answer
    time.sleep(seconds / 2)
    # Held requests of the partition cannot exist, since each caller stays in its region.
    state = plan_state(cluster, node, plan)
    assert state == "committed", "accepted although the other region cannot have acknowledged"
    cluster.heal(context.event)
    context.event = cluster.events[-1]
    accept(context, node, plan)


@when("{region} is parted for {seconds:d} s and a node of {same} is asked for a plan")
def ask_parted(context, region, seconds, same):
    cluster = context.cluster
    context.event = cluster.partition_region(region)
    began = time.monotonic()
    intent = {"kind": "create_tenant", "name": "unreached-tenant"}
    context.answer = cluster.operator_request(cluster.main_owner(same), "POST", "plan", intent)
    time.sleep(max(0.0, began + seconds - time.monotonic()))
    cluster.heal(context.event)
    context.event = cluster.events[-1]


@then("the operator is told that the outcome is unknown")
def check_outcome_unknown(context):
    status, answer = context.answer
    assert (status, answer["code"]) == (502, "outcome_unknown"), context.answer


# Planned changes


def accept(context, node, plan):
    """Wait until a plan is accepted and record its revision."""
    cluster = context.cluster

    wait_until(lambda: plan_state(cluster, node, plan) == "accepted", WAIT_SECONDS, "the plan is accepted")
    revision = cluster.operator_request(node, "GET", f"plan/{plan}")[1]["revision"]
    cluster.accepted_revisions.append(RevisionAccepted(revision, time.monotonic()))


@when("the owner is stopped as planned")
def stop_owner(context):
    context.event = context.cluster.stop(context.owner)
    # Callers learn of the new owners after the stop.
    time.sleep(1.0)


@then("no request waited longer than 200 ms during the stop")
def check_waits(context):
    context.history = complete_history(context.cluster)
    stop = context.event
    operations = [o for o in context.history.operations if stop.at <= o.completed <= stop.until + 1.0]
    waits = [operation.completed - operation.invoked for operation in operations]
    figure(context, f"longest wait {max(waits) * 1000:.0f} ms of {len(waits)} requests")
    assert all(operation.outcome == "ok" for operation in operations)
    assert len(waits) >= MINIMUM_ANSWERS, len(waits)
    assert max(waits) <= HANDOVER_SECONDS, max(waits)


@when("the failure domain of the owner is drained by an operator")
def drain(context):
    cluster = context.cluster
    plan = create_plan(cluster, context.owner, kind="drain_failure_domain", failure_domain="ost-a")
    cluster.begin_event("drain", failure_domain="ost-a")
    status, answer = cluster.operator_request(context.owner, "POST", f"confirm/{plan}")
    assert status == 200, answer
    accept(context, context.owner, plan)
    time.sleep(checker.DRAIN_SECONDS + 1.0)


@then("the drained nodes own nothing and get no new work after 5 s")
def check_drained(context):
    rows = context.cluster.rows()
    drained = [
        row for key, row in rows.items() if key.startswith("owner/") and row["failure_domain"] == "ost-a"
    ]
    assert drained and not any(row["slices"] for row in drained), drained


@when("two operators confirm plans of one revision at once, {times:d} times")
def confirm_at_once(context, times):
    cluster = context.cluster
    nodes = [cluster.spec.nodes[0].name, cluster.spec.nodes[2].name]
    context.outcomes = []
    with ThreadPoolExecutor(2) as pool:
        for number in range(times):
            current = cluster.rows()["config/current"]["revision"]
            for node in nodes:
                wait_until(
                    lambda n=node, c=current: cluster.status(n).get("revision") == c, WAIT_SECONDS, "revision"
                )
            plans = [
                create_plan(cluster, node, kind="create_tenant", name=f"tenant-{number}-{node}")
                for node in nodes
            ]
            calls = [
                pool.submit(cluster.operator_request, node, "POST", f"confirm/{plan}")
                for node, plan in zip(nodes, plans, strict=True)
            ]
            outcomes = [call.result() for call in calls]
            context.outcomes.append(sorted((status, answer.get("code", "")) for status, answer in outcomes))
            winner = [status for status, _ in outcomes].index(200)
            accept(context, nodes[winner], plans[winner])


@then("one confirm of each pair succeeded and the other was a revision conflict")
def check_conflicts(context):
    assert all(pair == [(200, ""), (409, "revision_conflict")] for pair in context.outcomes), context.outcomes


# Check


@then("the system history keeps every guarantee")
def check_history(context):
    violations = checker.check(context.history or complete_history(context.cluster))
    assert not violations, "\n".join(map(str, violations[:5]))
    context.cluster.intact = not getattr(context, "used_up", False)
