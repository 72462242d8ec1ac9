"""Steps for the cost of requests and the work that targets still have to do."""

import itertools
import math
import random

from behave import given, then, when
from tests.cost_world import CLASSES, CostWorld, Outcome, draw_cost
from tests.overload_world import NAMES, OverloadWorld, ServiceModel

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.load.cost_model import CostModel
from hibiscusdrum.internal.router.admission import AdmissionQueue, QueueEntry
from hibiscusdrum.internal.router.outstanding_work import OutstandingWork
from hibiscusdrum.internal.router.returns import ReturnSchedule
from hibiscusdrum.internal.router.routes import HeaderNames
from hibiscusdrum.internal.router.selection import Candidate, LoadReport, NodeSelector
from hibiscusdrum.internal.router.target_signals import parse_slowdown

KIND = "route"


def learn(model, costs, start=0.0, cost_class=KIND):
    """Let requests of a class end, ten a second."""
    for index, cost in enumerate(costs):
        model.record(cost_class, cost, start + index / 10.0)


@given("a class with a mean cost of {mean:g} s of which one request in 20 takes several times that")
def tailed_class(context, mean):
    context.rng, context.model, context.mean = random.Random(3), CostModel(), mean


@when("{count:d} requests of it have ended")
def tailed_requests(context, count):
    learn(context.model, (draw_cost(context.rng, context.mean) for _ in range(count)))


@when("its mean cost rises to {mean:g} s for {count:d} requests")
def abrupt_change(context, mean, count):
    learn(context.model, (draw_cost(context.rng, mean) for _ in range(count)), 100.0)


@then("its expected cost is between {low:g} and {high:g} s")
def expected_cost(context, low, high):
    model = context.model if "model" in context else context.work.costs
    assert low <= model.expected(KIND) <= high, model.expected(KIND)


@then("a class never seen is expected to cost as much as all requests")
def unseen_class(context):
    assert context.model.expected("other") == context.model.overall.mean


@when("requests of {count:d} classes have ended after {seconds:g} s each")
def many_classes(context, count, seconds):
    context.model = CostModel()
    for index in range(count):
        context.model.record(f"route-{index}", seconds, 0.0)


@then("costs are kept for {count:d} classes")
def kept_classes(context, count):
    assert len(context.model.classes) == count, len(context.model.classes)


@given("a class whose requests cost exactly {seconds:g} s")
def constant_class(context, seconds):
    context.work, context.now = OutstandingWork(), 100.0
    learn(context.work.costs, [seconds] * 200)


@given("a class whose requests cost exponential with a mean of {seconds:g} s")
def exponential_class(context, seconds):
    rng = random.Random(5)
    context.work, context.now = OutstandingWork(), 100.0
    learn(context.work.costs, [rng.expovariate(1.0 / seconds) for _ in range(400)])


@when("one of them has run for {seconds:g} s")
def has_run(context, seconds):
    context.work.start("request", KIND, context.now)
    context.now += seconds


@then("{low:g} to {high:g} s of work are outstanding")
def outstanding(context, low, high):
    assert low <= context.work.running_seconds(context.now) <= high, context.work.running_seconds(context.now)


@when("the target states {percent:g} percent and a request of the class ends after {seconds:g} s")
def stated_slow(context, percent, seconds):
    work = context.work
    work.state_slowdown(percent / 100.0, context.now)
    work.start("request", KIND, context.now)
    context.now += seconds
    work.end("request", context.now, learn=True)


@then("the slowdown is {slowdown:g}, and {later:g} as usual {seconds:g} s later")
def slowdown_is(context, slowdown, later, seconds):
    assert context.work.slowdown(context.now) == slowdown
    assert math.isclose(context.work.slowdown(context.now + seconds), later, rel_tol=0.05)


@when("{count:d} requests end after {seconds:g} s each within {within:g} s")
def silently_slow(context, count, seconds, within):
    work, ends = context.work, [context.now + index * within / count for index in range(count)]
    events = [(end - seconds, True, index) for index, end in enumerate(ends)]
    events += [(end, False, index) for index, end in enumerate(ends)]
    for now, begins, index in sorted(events):
        if begins:
            work.start(index, KIND, now)
        else:
            work.end(index, now, learn=True)
    context.now += within


@then("a further request is expected to take {low:g} to {high:g} s")
def expected_duration(context, low, high):
    # The model may take the same evidence for a change of the class or of the target's speed.
    duration = context.work.costs.expected(KIND) * context.work.slowdown(context.now)
    assert low <= duration <= high, duration


@when('a target states the load "{figures}"')
def states_load(context, figures):
    names = HeaderNames()
    try:
        context.stated = parse_slowdown({names.load_report: figures}, names)
    except InvalidArgument as error:
        context.stated = error


@then("its slowdown is {slowdown:g}")
def stated_slowdown(context, slowdown):
    assert context.stated == slowdown, context.stated


@then("it states no slowdown")
def no_slowdown(context):
    assert context.stated is None, context.stated


@then("its answer is malformed")
def malformed(context):
    assert isinstance(context.stated, InvalidArgument), context.stated


def entry_of(cost_class, now, priority=1, goal=5.0, deadline=10.0):
    """Return a queue entry without an item."""
    return QueueEntry(None, priority, now + goal, now + deadline, cost_class, now)


@given("a queue for {slots:d} slots and classes that cost {short:g} and {long:g} s")
def cost_queue(context, slots, short, long):
    context.queue, context.now = AdmissionQueue(slots), 100.0
    learn(context.queue.work.costs, [short] * 100, cost_class="short")
    learn(context.queue.work.costs, [long] * 100, cost_class="long")


@when("{short:d} short requests and {long:d} long one arrive")
def requests_arrive(context, short, long):
    for cost_class in ["short"] * short + ["long"] * long:
        context.queue.push(entry_of(cost_class, context.now), context.now)
    context.taken = [context.queue.pop(context.now) for _ in range(2)]


@then("{seconds:g} s of work are outstanding")
def queue_outstanding(context, seconds):
    found = context.queue.outstanding_seconds(context.now)
    assert math.isclose(found, seconds, rel_tol=0.02), found


@then("after {seconds:g} s and the end of one short request, {low:g} to {high:g} s are")
def queue_outstanding_later(context, seconds, low, high):
    context.now += seconds
    context.queue.finish("short", None, context.taken[0], context.now)
    assert low <= context.queue.outstanding_seconds(context.now) <= high


SHORT, LONG = ("work", "short"), ("work", "long")
PLACES = {name: Candidate(name, "east", "d0") for name in ("fast", "slow")}


def report_of(requests, work=0.0, slots=4, mean=0.1, slowdown=1.0):
    """Return a report of a target with some requests."""
    running = min(requests, slots)
    return LoadReport(running, requests - running, slots, mean, True, 0.0, work, 0.0, slowdown)


@given("a fast target with {fast:d} short requests and one half as fast with {slow:d}")
def two_speeds(context, fast, slow):
    selector = context.selector = NodeSelector("east", "d0", random.Random(1), cost_aware=True)
    for name, factor, requests in (("fast", 1.0, fast), ("slow", 2.0, slow)):
        selector.on_class_cost(name, SHORT, 0.1 * factor)
        selector.on_class_cost(name, LONG, 0.8 * factor)
        selector.on_report(name, report_of(requests, requests * 0.06 * factor), 10.0)


@then("a {kind} request is sent to the {name} target")
def sent_to(context, kind, name):
    cost_class = SHORT if kind == "short" else LONG
    chosen = context.selector.choose(PLACES.values(), 0, 10.0, cost_class=cost_class)
    assert chosen.node == name, chosen


@given("two equal targets with {count:d} requests each, those at one of them long")
def unequal_work(context, count):
    selector = context.selector = NodeSelector("east", "d0", random.Random(1), cost_aware=True)
    for name, work in (("fast", count * 0.1), ("slow", count * 0.8)):
        selector.on_class_cost(name, SHORT, 0.1)
        selector.on_report(name, report_of(count, work), 10.0)


@given("a target that reports work {work:g} and slowdown {slowdown:g}")
def odd_report(context, work, slowdown):
    selector = context.selector = NodeSelector("east", "d0", random.Random(1), cost_aware=True)
    for name in PLACES:
        selector.on_class_cost(name, SHORT, 0.1)
    selector.on_report("slow", report_of(8, 0.8), 10.0)
    selector.on_report("fast", report_of(8, 0.8), 10.0)
    selector.on_report("fast", report_of(4, work, slowdown=slowdown), 10.0)


@then("its expected end is finite, and what it would be if it reported nothing")
def as_unknown(context):
    seconds = context.selector.expected_end_seconds("fast", SHORT, 10.0)
    context.selector.on_report("fast", report_of(4), 10.0)
    unknown = context.selector.expected_end_seconds("fast", SHORT, 10.0)
    assert math.isfinite(seconds) and math.isclose(seconds, unknown, rel_tol=0.1), (seconds, unknown)


@given(
    "a peer of an earlier release that takes {seconds:g} s for a request, beside one that takes {other:g} s"
)
def earlier_release(context, seconds, other):
    selector = context.selector = NodeSelector("east", "d0", random.Random(1), cost_aware=True)
    selector.on_class_cost("fast", SHORT, other)
    selector.on_class_cost("slow", SHORT, 0.0)
    selector.on_report("fast", report_of(0, mean=other), 10.0)
    selector.on_report("slow", report_of(0, mean=seconds), 10.0)


@given("reports of a target that usually has {usual:d} requests, and has {now:d} in the last one")
def usual_load(context, usual, now):
    selector = context.selector = NodeSelector("east", "d0", random.Random(1), cost_aware=True)
    for index in range(60):
        selector.on_report("fast", report_of(usual, usual * 0.1), index * 0.2)
    selector.on_report("fast", report_of(now, now * 0.1), 12.0)


@then("{low:g} to {high:g} requests are expected there {seconds:g} s later")
def expected_there(context, low, high, seconds):
    requests, work = context.selector.node_state("fast").expected_load(12.0 + seconds)
    assert low <= requests <= high, requests
    assert math.isclose(work, requests * 0.1, rel_tol=0.01, abs_tol=0.01), (requests, work)


def play(load, cost_aware, seeds, seconds, burst=False):
    """Return the outcome of calls at a load, after a time at 0.6 in which the nodes learn."""
    calls = []
    for seed in range(seeds):
        world = CostWorld(cost_aware, seed)
        world.load(0.6, 10.0)
        first = len(world.calls)
        world.load(load, seconds)
        last = len(world.calls)
        world.load(0.6 if burst else 0.3, 10.0)
        calls += world.calls[first:last]
    return Outcome(calls)


@when("requests of unequal cost come at {load:g} of the capacity for {seconds:g} s, with {seeds:d} seeds")
def compare(context, load, seconds, seeds):
    burst = load > 1.0
    context.off, context.on = (play(load, setting, seeds, seconds, burst) for setting in (False, True))


@then("with costs the mean and the 99th percentile are shorter, and fewer goals are missed")
def better(context):
    off, on = context.off, context.on
    assert on.mean < off.mean and on.p99 < off.p99 and on.missed < off.missed, (off, on)


@given("a full target with {slots:d} slots and classes that cost {short:g} and {long:g} s")
def full_target(context, slots, short, long):
    cost_queue(context, slots, short, long)
    context.queue.cost_aware = True
    for _ in range(slots):
        context.queue.push(entry_of("long", context.now), context.now)
    context.taken = [context.queue.pop(context.now) for _ in range(slots)]


def wait_behind(context, cost_class, count):
    """Return the expected wait of a request behind others, without what the running ones take."""
    queue, now = context.queue, context.now
    last = entry_of("short", now, goal=9.0)
    alone = queue.expected_wait_seconds(last.order, now)
    ahead = [entry_of(cost_class, now) for _ in range(count)]
    for entry in ahead:
        queue.push(entry, now)
    wait = queue.expected_wait_seconds(last.order, now) - alone
    for entry in ahead:
        queue.remove(entry)
    return wait


@then("{count:d} long ones ahead delay a request {low:g} to {high:g} times as long as short ones")
def wait_by_cost(context, count, low, high):
    ratio = wait_behind(context, "long", count) / wait_behind(context, "short", count)
    assert low <= ratio <= high, ratio


@when(
    "a short request of priority {low:d} with {deadline:g} s left waits, "
    "and {count:d} long ones of priority {high:d} arrive"
)
def displaced(context, low, deadline, count, high):
    queue, now = context.queue, context.now
    context.short = entry_of("short", now, low, deadline, deadline)
    assert queue.is_servable(context.short, now)
    queue.push(context.short, now)
    for _ in range(count):
        entry = entry_of("long", now, high)
        assert queue.is_servable(entry, now)
        queue.push(entry, now)


@then("only the short one is refused within {seconds:g} s")
def refused_soon(context, seconds):
    assert context.queue.remove_unservable(context.now + seconds) == [context.short]


@when("a short request has {seconds:g} s left for its goal, and a long one that precedes it arrives")
def both_wait(context, seconds):
    queue = context.queue
    context.short = entry_of("short", context.now, goal=1.6)
    queue.push(context.short, context.now)
    context.now += 1.6 - seconds
    long = entry_of("long", context.now, goal=0.95)
    queue.push(long, context.now)
    assert long.order < context.short.order and not queue.misses_goal(long, context.now)


@then("the short one is started first")
def short_first(context):
    context.queue.finish("long", 0.65, context.taken[0], context.now)
    assert context.queue.pop(context.now) is context.short


@then("with costs each class is served at least {share:g} times as often as all")
def floor_kept(context, share):
    served = context.on.served
    overall = sum(call.took is not None for call in context.on.calls) / len(context.on.calls)
    assert min(served.values()) >= share * overall, (overall, context.on)


@then("classes of priority 0 are served at least as often as those of priority 1")
def urgent_served(context):
    served = {priority: [] for priority in (0, 1)}
    for kind in CLASSES:
        served[kind.priority].append(context.on.served[kind.name])
    assert min(served[0]) >= max(served[1]), context.on


@then("of the refused callers that come back, fewer than {share:g} are refused again")
def rarely_refused_again(context, share):
    assert context.on.refused_again < share, context.on


@given("a route of which {rate:g} requests a second are served")
def served_rate(context, rate):
    context.schedule, context.rate = ReturnSchedule(), rate


@when("{count:d} callers are refused who wait for up to {seconds:g} s")
def callers_refused(context, count, seconds):
    context.before = context.schedule.next_at
    context.waits = [context.schedule.reserve(0.2, context.rate, seconds, 10.0) for _ in range(count)]


@then("they come back so far apart that at most a tenth of the served requests is kept for them")
def come_back_apart(context):
    assert math.isclose(context.waits[0], 0.2)
    gaps = [later - earlier for earlier, later in itertools.pairwise(context.waits)]
    assert min(gaps) >= 10.0 / context.rate and max(gaps) - min(gaps) < 0.001, gaps


@then("no room is kept for them")
def no_room_kept(context):
    assert context.schedule.next_at == context.before and min(context.waits) > 0.5


@when("requests of priority {high:d} and {low:d} and one like the latter of a caller that came back wait")
def returned_waits(context, high, low):
    queue, now = context.queue, context.now
    context.entries = {name: entry_of("short", now, low) for name in ("other", "returned")}
    context.entries["urgent"] = entry_of("short", now, high)
    context.entries["returned"].returning = True
    for entry in context.entries.values():
        queue.push(entry, now)


@then("they start in the order: urgent, returned, other")
def start_order(context):
    queue = context.queue
    queue.finish("long", 0.6, context.taken[0], context.now)
    started = []
    for _ in range(3):
        started.append(queue.pop(context.now))
        queue.finish("short", 0.1, started[-1], context.now)
    assert started == [context.entries[name] for name in ("urgent", "returned", "other")]


@given("routers in two regions that know costs, and a service of {count:d} targets in one of them")
def cost_aware_routers(context, count):
    context.grants = ServiceModel("grants", {"east": count}, 0.22, regions=("east",), body=1200)
    callers = ServiceModel("lookups", {"east": 6, "west": 14}, 0.17)
    context.world = OverloadWorld([context.grants, callers], 300_000.0, cost_aware=True)
    context.add_cleanup(context.world.close)


@then("of the callers that come back to these routers, fewer than {share:g} are refused again")
def returns_served(context, share):
    returned = [caller for caller in context.world.callers if caller.attempts > 1]
    refused = sum(len(caller.refused_after) > 1 for caller in returned)
    assert returned and refused < share * len(returned), (refused, len(returned))


@when(
    "all targets state {percent:d} percent, "
    "and the service gets {load:g} times what it can run for {seconds:d} s"
)
def stated_in_world(context, percent, load, seconds):
    world = context.world
    for node in world.nodes.values():
        node.http.signals[NAMES.load_report] = f"1,0,3,{percent}"
    world.load("grants", context.grants.capacity * load, seconds)
    world.run(seconds)


@then("a node knows of a slowdown of {slowdown:g}, of outstanding work, and of the cost of the service")
def outlook_known(context, slowdown):
    selectors = [node.gateway.selector for node in context.world.nodes.values()]
    states = [state for selector in selectors for state in selector.node_states.values()]
    assert any(state.report.slowdown == slowdown and state.report.work_seconds > 0.0 for state in states)
    costs = [selector.class_costs.costs for selector in selectors if selector.class_costs.costs]
    assert costs and all(list(known) == [("grants", "grants")] for known in costs), costs
