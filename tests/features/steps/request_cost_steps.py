"""Steps for the cost of requests and the work that targets still have to do."""

import math
import random

from behave import given, then, when

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.load.cost_model import CostModel
from hibiscusdrum.internal.router.admission import AdmissionQueue, QueueEntry
from hibiscusdrum.internal.router.outstanding_work import OutstandingWork
from hibiscusdrum.internal.router.routes import HeaderNames
from hibiscusdrum.internal.router.target_signals import parse_slowdown

KIND = "route"
TAIL_SHARE = 0.05


def draw_cost(rng, mean):
    """Draw a cost with some spread, of which one in 20 is 3 to 7 times as large."""
    cost = rng.lognormvariate(-0.125, 0.5) * (rng.uniform(3.0, 7.0) if rng.random() < TAIL_SHARE else 1.0)
    return mean * cost / (1.0 + TAIL_SHARE * 4.0)


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
