"""Steps on nodes whose configuration is outdated."""

from behave import given, then, when
from tests.configuration_world import FIRST_VERSION, ConfigurationWorld

from hibiscusdrum.internal.messages import ConfigSnapshot
from hibiscusdrum.platform.store import OPERATOR_TABLE

NEW_PREFIX = "/new/"
NEW_VERSION = FIRST_VERSION + 1


def start_world(context, names):
    context.world = ConfigurationWorld(names)
    assert {node.version for node in context.world.nodes.values()} == {FIRST_VERSION}


@given("a node that follows the operator's rows alone")
def lone_node(context):
    start_world(context, ["east-a"])
    context.node = context.world.nodes["east-a"]


@when("the store turns it away, and a route is added")
def route_added(context):
    context.node.access.turned_away = True
    context.world.run(0.1)
    context.world.write_configuration(NEW_VERSION, NEW_PREFIX)


@then("{seconds:g} s later the new route is refused with 503 and a Retry-After")
def refused_with_retry(context, seconds):
    context.world.run(seconds)
    status, headers, *_ = context.node.ask(f"{NEW_PREFIX}x")
    assert status == 503 and float(dict(headers)["retry-after"]) > 0.0, (status, headers)


@then("the known routes are still served")
def known_routes_served(context):
    assert context.node.gateway.route_table.find("h.example", "/a/x") is not None


@when("the store answers it again")
def store_answers(context):
    context.node.access.turned_away = False


@then("the new route is known within {seconds:g} s, and an unknown route is answered with 404")
def new_route_known(context, seconds):
    context.world.run_until(lambda: context.node.version == NEW_VERSION, seconds)
    assert context.node.gateway.route_table.find("h.example", f"{NEW_PREFIX}x") is not None
    assert context.node.ask("/unknown/x")[0] == 404


@given('{near:d} nodes in region "east" and {far:d} in region "west"')
def two_regions(context, near, far):
    start_world(context, [f"east-{n}" for n in range(near)] + [f"west-{n}" for n in range(far)])
    context.reverted = False


@when('the store turns "{names}" away')
def turn_away(context, names):
    for name in names.replace('"', "").split(" and "):
        context.world.nodes[name].access.turned_away = True
    context.world.run(0.1)


@when('the store turns all nodes of "{region}" away')
def turn_region_away(context, region):
    turn_away(context, " and ".join(name for name in context.world.nodes if name.startswith(region)))


@when("configuration 11 adds a route")
def add_route(context):
    context.world.write_configuration(NEW_VERSION, NEW_PREFIX)


@when('"{domain}" is evacuated')
def evacuate(context, domain):
    context.domain = domain
    context.world.store.put(OPERATOR_TABLE, f"evacuate/{domain}", {})


@when('configuration 11 adds a route, and "{domain}" is evacuated')
def add_and_evacuate(context, domain):
    add_route(context)
    evacuate(context, domain)


@when("the evacuation ends")
def evacuation_ends(context):
    context.world.store.put(OPERATOR_TABLE, f"evacuate/{context.domain}", None)


@when("after {seconds:g} s the evacuation ends and configuration 11 adds a route")
def end_and_add(context, seconds):
    context.world.run(seconds)
    evacuation_ends(context)
    add_route(context)


def state(node):
    return node.version, set(node.members.evacuated_domains)


def await_state(context, names, expected, seconds):
    nodes = [context.world.nodes[name] for name in names]
    context.world.run_until(lambda: all(state(node) == expected for node in nodes), seconds)


@then("all nodes know both within {seconds:g} s")
def all_know_both(context, seconds):
    await_state(context, context.world.nodes, (NEW_VERSION, {context.domain}), seconds)


@then("all nodes know that it has ended within {seconds:g} s")
@then("all nodes have configuration 11 within {seconds:g} s")
def all_know(context, seconds):
    await_state(context, context.world.nodes, (NEW_VERSION, set()), seconds)


@then("at most {limit:d} copies of the rows came from another region")
def few_copies(context, limit):
    crossed = [
        receiver
        for name, node in context.world.nodes.items()
        for receiver, message in node.hop.sent
        if isinstance(message, ConfigSnapshot)
        and context.world.regions[receiver] != context.world.regions[name]
    ]
    assert 1 <= len(crossed) <= limit, crossed


@then('{seconds:g} s later "{name}" answers a request for an unknown route with 404')
def unknown_route(context, seconds, name):
    context.world.run(seconds)
    assert context.world.nodes[name].ask("/unknown/x")[0] == 404


@given('answers of the store reach "{name}" {seconds:g} s late')
def late_answers(context, name, seconds):
    context.world.nodes[name].access.answer_delay = seconds


@then('"{name}" knows both within {seconds:g} s')
def one_knows(context, name, seconds):
    context.name = name
    await_state(context, [name], (NEW_VERSION, set()), seconds)


@then("for {seconds:g} s it never goes back")
def never_back(context, seconds):
    for _ in range(round(seconds / 0.1)):
        context.world.run(0.1)
        assert state(context.world.nodes[context.name]) == (NEW_VERSION, set())


@given('the store was restored from a copy, which "{name}" does not know since the store turns it away')
def restored_unknown(context, name):
    turn_away(context, name)
    context.world.store.restore(context.world.store.copy())
    context.world.run(5.0)


@then('"{name}" has configuration 10 after {seconds:g} s, and refuses the new route with 503')
def keeps_former(context, name, seconds):
    context.world.run(seconds)
    node = context.world.nodes[name]
    assert node.version == FIRST_VERSION and node.ask(f"{NEW_PREFIX}x")[0] == 503


@when('the store answers "{name}" again')
def store_answers_node(context, name):
    context.world.nodes[name].access.turned_away = False


@then("in {seconds:g} s each node sends at most {limit:d} messages, and no rows")
def few_messages(context, seconds, limit):
    for node in context.world.nodes.values():
        node.hop.sent.clear()
    context.world.run(seconds)
    sent = [node.hop.sent for node in context.world.nodes.values()]
    assert max(map(len, sent)) <= limit, max(map(len, sent))
    assert not any(isinstance(message, ConfigSnapshot) for messages in sent for _, message in messages)
