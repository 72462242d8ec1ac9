"""Steps that play overloads of a service through real gateways and receivers.

They guard against a loss of service that grows with the requests that are refused.
"""

from unittest import mock

import msgspec
from behave import given, then, when
from tests.overload_world import OverloadWorld, ServiceModel

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.router.events import RequestEnded


@given(
    "routers in two regions whose link carries {rate:d} bytes a second, and a service of {count:d} targets "
    "in one of them"
)
def two_regions(context, rate, count):
    context.grants = ServiceModel("grants", {"east": count}, 0.22, regions=("east",), body=1200)
    callers = ServiceModel("lookups", {"east": 6, "west": 14}, 0.17)
    context.world = OverloadWorld([context.grants, callers], rate)
    context.add_cleanup(context.world.close)


@when("the service gets {load:g} times what it can run for {seconds:d} s, half of it from the other region")
@when("then {load:g} times what it can run for {seconds:d} s")
def overload(context, load, seconds):
    context.seconds, context.phase_began = seconds, context.world.now
    context.world.load("grants", context.grants.capacity * load, seconds)
    context.world.run(seconds)


def finish(context):
    """Let the last requests end; returns all callers."""
    context.world.run(6.0)
    return context.world.callers


def on_time(context, caller):
    return caller.status == 200 and caller.ended_at - caller.began <= context.grants.goal


@then("every request is answered or refused as not run")
def all_ended(context):
    statuses = {caller.status for caller in finish(context)}
    assert statuses == {200, 503}, statuses


@then("at least {share:g} of what the targets can run is answered")
def check_served(context, share):
    served = sum(caller.status == 200 for caller in context.world.callers)
    assert served >= share * context.grants.capacity * context.seconds, served


@then("{share:g} of the refusals take at most {part:g} of the latency goal")
def check_refusals(context, share, part):
    taken = sorted(wait for caller in context.world.callers for wait in caller.refused_after)
    wait = taken[int(len(taken) * share)]
    assert wait <= part * context.grants.goal, wait


@then("a request crosses the link at most {most:g} times on average")
def check_link(context, most):
    attempts = sum(caller.attempts for caller in context.world.callers if caller.node.region == "west")
    crossed = context.world.far_forwards / attempts
    assert crossed <= most, crossed


@then("at least {share:g} of what the targets can run is answered on time")
def check_on_time(context, share):
    count = sum(on_time(context, caller) for caller in finish(context))
    assert count >= share * context.grants.capacity * context.seconds, count


@then("every request is answered and {share:g} of them on time")
def check_room(context, share):
    callers = finish(context)
    assert all(caller.status == 200 for caller in callers)
    assert sum(on_time(context, caller) for caller in callers) >= share * len(callers)


@then("{share:g} of the requests that arrive from {seconds:g} s after the overload on are answered on time")
def check_recovery(context, share, seconds):
    since = context.phase_began + seconds
    callers = [caller for caller in finish(context) if caller.began >= since]
    served = sum(on_time(context, caller) for caller in callers)
    assert served >= share * len(callers) > 0, (served, len(callers))


# Work with and without homes


@given(
    "routers in two regions, and a service with {count:d} targets in each, "
    "of which those in the east are kept busy"
)
def two_kinds(context, count):
    nodes = {"east": count, "west": count}
    context.grants = ServiceModel("grants", nodes, 0.22, regions=("east",), body=1200)
    context.calls = ServiceModel("calls", {}, 0.031, service="grants", goal=0.194, timeout=0.646)
    callers = ServiceModel("lookups", {"east": 8, "west": 8}, 0.17)
    context.world = OverloadWorld([context.grants, context.calls, callers], 3_750_000)
    context.add_cleanup(context.world.close)


@when(
    "calls that may run anywhere come in the east at {load:g} times what the targets in the west can run "
    "for {seconds:d} s"
)
def calls_come(context, load, seconds):
    world = context.world
    slots = context.grants.nodes["west"] * context.grants.slots
    world.load("grants", 1.5 * slots / context.grants.work, seconds, regions=("east",))
    world.load("calls", load * slots / context.calls.work, seconds, regions=("east",), deadline=0.646)
    world.run(seconds + 6.0)


@then("at least {share:g} of the calls are answered")
def check_calls(context, share):
    calls = [caller for caller in context.world.callers if caller.spec is context.calls]
    served = sum(caller.status == 200 for caller in calls)
    assert served >= share * len(calls), (served, len(calls))


@given("routers in two regions, and a route whose requests go by halves to a full and to an idle service")
def two_parts(context):
    full = ServiceModel("full", {"east": 4}, 0.2)
    idle = ServiceModel("idle", {"east": 24}, 0.2)
    full.route = msgspec.structs.replace(full.route, services=(("full", 1.0), ("idle", 1.0)))
    context.full = full
    context.world = OverloadWorld([full, idle], 3_750_000)
    context.add_cleanup(context.world.close)


@when("the route gets {load:g} times what the full service can run for {seconds:d} s")
def load_both(context, load, seconds):
    context.world.load("full", load * context.full.capacity, seconds)
    with mock.patch.object(log_events, "emit") as emit:
        context.world.run(seconds + 6.0)
    events = [call.args[0] for call in emit.call_args_list]
    context.ended = [event for event in events if type(event) is RequestEnded]


@then("at least {share:g} of the requests for the idle service are answered")
def check_idle(context, share):
    statuses = [event.status for event in context.ended if event.service == "idle"]
    assert statuses.count(200) >= share * len(statuses) > 0, (statuses.count(200), len(statuses))


@then("at least {share:g} of the refusals of the full service are made without asking it")
def check_full(context, share):
    reasons = [event.reason for event in context.ended if event.service == "full" and event.status == 503]
    assert reasons.count("throttled") >= share * len(reasons) > 0, (reasons.count("throttled"), len(reasons))


# Large bodies


@given("{count:d} targets of a service with links of {rate:d} bytes a second in {place} of two regions")
def narrow_links(context, count, rate, place):
    nodes = {"east": count, "west": count} if place == "each" else {"east": count}
    context.uploads = ServiceModel("uploads", nodes, 0.15, body=60_000, goal=1.017, timeout=7.5)
    context.reads = ServiceModel("reads", {}, 0.031, service="uploads", goal=0.194, timeout=0.646)
    callers = ServiceModel("callers", {"east": 15, "west": 15}, 0.1)
    context.world = OverloadWorld([context.uploads, context.reads, callers], 3_750_000, rate)
    context.add_cleanup(context.world.close)
    context.targets, context.rate = sum(nodes.values()), rate


@when(
    "bodies of {size:d} bytes take {share:g} of these links for {seconds:d} s, "
    "and small requests a fifth of the slots"
)
def bodies_and_reads(context, size, share, seconds):
    world = context.world
    world.load("uploads", share * context.targets * context.rate / size, seconds, deadline=7.6)
    world.load("reads", 0.2 * context.targets * 3 / context.reads.work, seconds, deadline=0.646)
    world.run(seconds + 8.0)


@then("{share:g} of the small requests are answered within {seconds:g} s")
def check_reads(context, share, seconds):
    reads = [caller for caller in context.world.callers if caller.spec is context.reads]
    quick = sum(caller.status == 200 and caller.ended_at - caller.began <= seconds for caller in reads)
    assert quick >= share * len(reads), (quick, len(reads))


@then("{share:g} of the requests with large bodies are answered")
def check_uploads(context, share):
    uploads = [caller for caller in context.world.callers if caller.spec is context.uploads]
    served = sum(caller.status == 200 for caller in uploads)
    assert served >= share * len(uploads), (served, len(uploads))
