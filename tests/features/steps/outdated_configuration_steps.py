"""Steps on nodes whose configuration is outdated."""

from behave import given, then, when
from tests.configuration_world import FIRST_VERSION, ConfigurationWorld

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
