"""Steps for what targets state about themselves in their answers: a rate limit, and that they leave.

They guard against a statement that passes through the router and changes nothing.
"""

from behave import given, then, when
from tests.overload_world import NAMES, OverloadWorld, ServiceModel

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
