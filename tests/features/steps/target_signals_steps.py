"""Steps for what targets state about themselves in their answers: a rate limit, and that they leave.

They guard against a statement that passes through the router and changes nothing.
"""

from behave import given, then, when
from tests.overload_world import NAMES, OverloadWorld, ServiceModel
from tests.router_stubs import FREE, Request

from hibiscusdrum.internal.messages import Answered

# What a target tolerates in any ``WINDOW_SECONDS``: its rate times this factor, and some requests more.
WINDOW_SECONDS = 4.0
TOLERANCE_FACTOR = 1.5
TOLERANCE_REQUESTS = 5
# Requests within the window after a limit was first named may have been decided before.
REACTION_SECONDS = 4.0


@given("routers in one region and a service of {count:d} targets")
def one_region(context, count):
    context.grants = ServiceModel("grants", {"east": count}, 0.22, body=1200)
    callers = ServiceModel("lookups", {"east": 4}, 0.17)
    context.world = OverloadWorld([context.grants, callers], 3_750_000)
    context.add_cleanup(context.world.close)
    context.target_nodes = [node for node in context.world.nodes.values() if node.spec is context.grants]


def set_signals(nodes, signals):
    for node in nodes:
        node.http.signals = signals


@when(
    "the service gets {load:g} times what it can run for {seconds:d} s, and {count:d} targets "
    "name a limit of {rate:g} a second from {first:d} to {last:d} s"
)
def targets_limited(context, load, seconds, count, rate, first, last):
    world, nodes = context.world, context.target_nodes[:count]
    context.rate, context.limited_nodes = rate, nodes
    context.limited_from, context.limited_to = world.now + first, world.now + last
    world.after(first, lambda: set_signals(nodes, {NAMES.rate_limit: f"{rate:g}"}))
    world.after(last, lambda: set_signals(nodes, {}))
    world.load("grants", load * context.grants.capacity, seconds)
    world.run(seconds + 6.0)


def limited_arrivals(context, node):
    """Return the arrivals from the end of the reaction time to the end of the limit."""
    start = context.limited_from + REACTION_SECONDS
    return [at for at in node.http.arrivals if start <= at <= context.limited_to]


@then("from 4 s after the limit on no limited target gets more than it tolerates in any 4 s")
def check_limit(context):
    allowed = context.rate * WINDOW_SECONDS * TOLERANCE_FACTOR + TOLERANCE_REQUESTS
    for node in context.limited_nodes:
        arrivals = limited_arrivals(context, node)
        most = max(sum(at <= other < at + WINDOW_SECONDS for other in arrivals) for at in arrivals)
        assert most <= allowed, f"{node.name}: {most} in {WINDOW_SECONDS:g} s, {allowed:g} allowed"


@then("the limited targets get at least {share:g} of what their limits allow")
def check_limit_used(context, share):
    seconds = context.limited_to - context.limited_from - REACTION_SECONDS
    for node in context.limited_nodes:
        count = len(limited_arrivals(context, node))
        assert count >= int(share * context.rate * seconds), (node.name, count, context.rate * seconds)


@when(
    "the service gets {load:g} times what it can run for {seconds:d} s, and {count:d} target says "
    "from {first:d} s on that it leaves"
)
def target_leaves(context, load, seconds, count, first):
    world = context.world
    context.leaving_nodes, context.leaving_from = context.target_nodes[:count], world.now + first
    world.after(first, lambda: set_signals(context.leaving_nodes, {NAMES.leaving: "1"}))
    world.load("grants", load * context.grants.capacity, seconds)
    world.run(seconds + 6.0)


@then("the leaving target gets no request from {seconds:g} s after that on")
def check_left_alone(context, seconds):
    for node in context.leaving_nodes:
        late = [at for at in node.http.arrivals if at >= context.leaving_from + seconds]
        assert not late, (node.name, len(late), late[0] - context.leaving_from)


@then("every request is answered")
def all_answered(context):
    statuses = [caller.status for caller in context.world.callers]
    assert statuses and set(statuses) == {200}, {status: statuses.count(status) for status in set(statuses)}


@when("a target announces that it leaves in {way}, and its router is restarted")
def leaves_and_restarts(context, way):
    world = context.world
    target = world.nodes["n1"].target
    if way == "a notice":
        target.on_leave("i-n1", world.targets["n1"].started_ms)
    else:
        target.mark_leaving(target.incarnation)
    world.run(3.0)
    world.kill_daemon("n1")
    world.run(0.5)
    world.start_daemon("n1")
    world.run(6.0)


def is_candidate(context, at_node, node):
    candidates = context.world.nodes[at_node].members.candidates("keys", ())
    return node in {candidate.node for candidate in candidates}


@then("the target holds no keys, and is no candidate although it reports itself ready")
def not_used(context):
    assert not context.world.targets["n1"].draining
    assert not context.world.held_by("n1")
    assert not is_candidate(context, "n0", "n1") and not is_candidate(context, "n1", "n1")


@when("a new incarnation of the target starts")
def started_anew(context):
    context.world.restart_target("n1")
    context.world.run(12.0)


@then("the target holds keys again and is a candidate")
def used_again(context):
    assert context.world.held_by("n1")
    assert is_candidate(context, "n0", "n1") and is_candidate(context, "n1", "n1")


@when("a node gets an answer of another node's target that says that the target leaves")
def told_by_answer(context):
    context.world.nodes["n0"].members.mark_leaving("n1", "a1")


@then("that target is no candidate at this node, until it is started anew")
def no_candidate_until_restart(context):
    context.world.run(5.0)
    assert not is_candidate(context, "n0", "n1") and is_candidate(context, "n2", "n1")
    context.world.restart_target("n1")
    context.world.run(5.0)
    assert is_candidate(context, "n0", "n1")


@when("a request is answered, and the answer says that the target leaves")
def answer_says_leaving(context):
    gateway = context.gateway
    context.excluded = []
    gateway.members.mark_leaving = lambda node, _request_id: context.excluded.append(node)
    gateway.on_request(Request())
    _, forward, _, reply = context.hop.sent[-1]
    reply(Answered(forward.id, 200, ((NAMES.signature, "s"), (NAMES.leaving, "1")), FREE), b"")


@then("the gateway excludes the node that answered")
def node_excluded(context):
    assert context.excluded == [context.hop.sent[-1][0]]


@when(
    "an answer has said {seconds:g} s ago that the owner's target leaves, and a request for the key arrives"
)
def owner_has_left(context, seconds):
    gateway = context.gateway
    gateway.members.leaving_seconds = lambda _node: seconds
    context.sent_before = len(context.hop.sent)
    context.request = Request()
    context.request.headers.append((gateway.header_names.key, "7"))
    gateway.on_request(context.request)


@then("it is refused at once as not run")
def refused_not_run(context):
    status, headers, *_ = context.request.answer
    assert status == 503 and "retry-after" in dict(headers)
    assert len(context.hop.sent) == context.sent_before
