"""Steps for what targets state about themselves in their answers: a rate limit, and that they leave.

They guard against a statement that passes through the router and changes nothing.
"""

from unittest import mock

import msgspec
from behave import given, then, when
from returns.result import Success
from tests.overload_world import NAMES, OverloadWorld, ServiceModel
from tests.router_stubs import FREE, SETTINGS, Request, Stub, application, forward
from tests.router_world import PROBED_KEYS, Loop

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.messages import Answered, Declined, SendBody
from hibiscusdrum.internal.router.events import RowUnreadable
from hibiscusdrum.internal.router.local_target import LocalTarget, TargetHeartbeat
from hibiscusdrum.internal.router.members import NODE_PREFIX
from hibiscusdrum.internal.router.quarantine import Quarantine
from hibiscusdrum.internal.router.range_owner import KeyState
from hibiscusdrum.internal.router.receiver import Receiver
from hibiscusdrum.internal.router.stopping import RouterStopping
from hibiscusdrum.internal.transport.http_connection import HttpExchange, HttpResponse

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
        most = max(
            (sum(at <= other < at + WINDOW_SECONDS for other in arrivals) for at in arrivals), default=0
        )
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


def announce_departure(world, way):
    target = world.nodes["n1"].target
    if way == "a notice":
        target.on_leave("i-n1", world.targets["n1"].started_ms, lambda _stored: None)
    else:
        target.mark_leaving(target.incarnation)
    world.run(3.0)


def stop_as_planned(world):
    """Play a planned stop of the router without requests in flight."""
    app = world.nodes["n1"].app
    for name in ("gateway", "receiver", "readiness", "entry", "peers", "hop"):
        idle = dict.fromkeys(
            ("has_pending", "has_jobs", "has_incoming", "has_queued", "has_unread_messages"), False
        )
        app.add(
            Stub(
                name,
                pending_requests=(),
                jobs=(),
                closed=True,
                unanswered_count=0,
                connections_of=lambda _address: [],
                announce_end=lambda: None,
                fit_queue=lambda _seconds: None,
                **idle,
            )
        )
    stopping = app.add(RouterStopping(SETTINGS))
    stopping.on_start()
    app.shutdown = lambda _code: world.kill_daemon("n1")
    stopping.begin_stop()
    world.run(4.0)
    assert "n1" not in world.nodes


@when("a target announces that it leaves in {way}, and its router {ends} and is started again")
def leaves_and_restarts(context, way, ends):
    world = context.world
    announce_departure(world, way)
    if ends == "is killed":
        world.kill_daemon("n1")
    else:
        stop_as_planned(world)
    if "once more" in ends:
        world.start_daemon("n1")
        world.run(0.1)
        stop_as_planned(world)
    world.run(0.5)
    world.start_daemon("n1")
    world.run(6.0)


@when("a target announces that it leaves in {way} and ends, and its router stops as planned")
def leaves_and_ends(context, way):
    announce_departure(context.world, way)
    context.world.targets["n1"].up = False
    context.world.run(0.5)
    stop_as_planned(context.world)


@then("the store has no row of the node")
def no_row(context):
    row = context.world.store.rows[NODE_PREFIX + "n1"]
    assert row.value is None, row


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


# One router and its target


STEP_SECONDS = 0.01
ANSWER_SECONDS = 0.2
HELD_KEY = 7


class AnsweringTarget(Service):
    """Answers each request after a fixed time, in the place of the HTTP client.

    Attributes
    ----------
    signals : dict of str to str
        Headers in which its answers state something about it.
    arrivals : list of float
        Times in seconds at which requests arrived.
    waiting : list of callable or None
        When a list, requests are answered only by a call of these, with the headers of the answer.
    """

    service_name = "http_client"

    def __init__(self):
        super().__init__()
        self.signals = {}
        self.arrivals = []
        self.waiting = None

    def request(self, _address, _method, _target, _headers, _body, _timeout, callback, *_more):
        """Take a request, and return its exchange."""
        self.arrivals.append(self.app.clock.monotonic())

        def answer(signals=None, status=200):
            headers = self.signals if signals is None else signals
            callback(Success(HttpResponse(status, {NAMES.signature: "s", **headers}, b"")))

        if self.waiting is None:
            self.app.scheduler.call_later(ANSWER_SECONDS, answer)
        else:
            self.waiting.append(answer)
        return mock.Mock(spec=HttpExchange)


@given("a router that was just started beside a target with {slots:d} slots")
def just_started(context, slots):
    app = context.app = application()
    context.key_state = KeyState.GRANTED
    app.add(Stub("members", evacuated_domains=frozenset(), on_change=[], region_of=lambda _: SETTINGS.region))
    app.add(
        Stub(
            "range_owner",
            on_granted=[],
            key_state=lambda _key: context.key_state,
            record_request=lambda _key: None,
            key_load=mock.Mock(),
        )
    )
    app.add(Stub("hop", link_congested=False, announce_end=lambda: None, fit_queue=lambda _: None))
    app.add(Stub("rings", owner_node=lambda *_: None))
    app.add(Stub("metrics", count_declined=lambda *_: None, count_run=lambda *_: None))
    context.target = app.add(AnsweringTarget())
    local_target = app.add(LocalTarget(SETTINGS))
    app.add(Stub("crash_detector"))
    app.add(Quarantine(SETTINGS))
    context.receiver = app.add(Receiver(SETTINGS, NAMES))
    local_target.on_start()
    context.receiver.on_start()
    context.slots, context.numbers = slots, iter(range(200))
    report(context, 1)


def report(context, sequence):
    heartbeat = TargetHeartbeat("i-1", "other", "127.0.0.1:1", context.slots, False, sequence)
    context.app.find("local_target").on_heartbeat(heartbeat, lambda _grant: None)


def arrive(context, count=1, key=-1, size=0):
    """Let requests arrive whose callers wait long, and send the bodies that are asked for."""
    receiver = context.receiver

    def reply(answer, _body):
        context.reply = answer
        if type(answer) is SendBody:
            part = b"x" * answer.count
            context.app.scheduler.call_later(
                0.0, lambda: receiver.on_body_part(answer.id, answer.first, part)
            )

    for _ in range(count):
        request = msgspec.structs.replace(
            forward(next(context.numbers), size, 20.0), key=key, goal_remaining_seconds=20.0
        )
        receiver.on_forward(request, b"", 0.0, reply)


def run(context, seconds):
    """Let time pass."""
    for step in range(round(seconds / STEP_SECONDS)):
        context.app.clock.advance(STEP_SECONDS)
        context.app.scheduler.run_due(Loop())
        if step % 100 == 0:
            report(context, round(context.app.clock.monotonic() * 1000))


@given("a router beside a target with {slots:d} slots and a limit of {rate:g} a second")
@given("a router beside a target with {slots:d} slots and no limit")
def router_beside(context, slots, rate=None):
    just_started(context, slots)
    context.target.signals = {} if rate is None else {NAMES.rate_limit: f"{rate:g}"}
    arrive(context)
    run(context, 3.0)
    context.target.arrivals.clear()


@when(
    "{count:d} requests arrive at once, and the target answers each after 0.2 s with a limit of {rate:g} "
    "a second"
)
@when("{count:d} requests arrive at once, and the target answers each after 0.2 s without a limit")
def arrive_after_start(context, count, rate=None):
    context.target.signals = {} if rate is None else {NAMES.rate_limit: f"{rate:g}"}
    context.began = context.app.clock.monotonic()
    arrive(context, count)
    run(context, 4.0)


def got_within(context, seconds):
    return sum(at < context.began + seconds for at in context.target.arrivals)


@then("the target has got {count:d} request before its first answer")
def before_first_answer(context, count):
    assert got_within(context, ANSWER_SECONDS) == count, context.target.arrivals


@then("it gets at most {most:d} requests in the first {seconds:d} s")
def first_seconds(context, most, seconds):
    assert got_within(context, seconds) <= most, context.target.arrivals


@then("the target has got {count:d} requests by its second answer")
def by_second_answer(context, count):
    assert got_within(context, 2 * ANSWER_SECONDS) == count, context.target.arrivals


@when("{count:d} requests {come} within 3 s")
def requests_come(context, count, come):
    receiver = context.receiver
    receiver.stopping = "stopping" in come
    key = HELD_KEY if "keys" in come else -1
    if come.startswith("wait"):
        context.key_state = KeyState.GRANT_PENDING
    arrive(context, count, key, 40_000 if "bodies" in come else 0)
    run(context, 0.1)
    context.key_state = KeyState.GRANTED
    receiver.on_keys_granted()
    run(context, 2.9)


@then("the target gets at most {most:d} requests in any second, and at least {least:d} in 3 s")
def rate_kept(context, most, least):
    arrivals = context.target.arrivals
    assert len(arrivals) >= least, arrivals
    assert max(sum(at <= other < at + 1.0 - STEP_SECONDS for other in arrivals) for at in arrivals) <= most


@when(
    "{count:d} requests run, the first is answered with a limit of {rate:g} a second and the others without"
)
def answers_cross(context, count, rate):
    target = context.target
    target.waiting = []
    arrive(context, count)
    run(context, 0.1)
    first, *others = target.waiting
    first({NAMES.rate_limit: f"{rate:g}"})
    for answer in others:
        answer({})


@then("the limit of {rate:g} a second is in force")
@then("no limit is in force")
def limit_in_force(context, rate=None):
    assert context.app.find("local_target").rate_limit.rate == rate
    assert (context.receiver.admission.rate_limiter.stated is None) == (rate is None)


@when("a request that was sent after that is answered without a limit")
def answered_after(context):
    context.target.waiting.clear()
    run(context, 2.0)
    arrive(context)
    context.target.waiting[-1]({})


@when('a request is answered with a limit of "{value}"')
def unreadable_limit(context, value):
    context.target.waiting = []
    arrive(context)
    with mock.patch.object(log_events, "emit") as emit:
        context.target.waiting[-1]({NAMES.rate_limit: value})
    context.value = value
    context.logged = [call.args[0] for call in emit.call_args_list]


@when('a request is refused by the target, to come back after "{value}" s')
def refused_by_target(context, value):
    context.target.waiting = []
    arrive(context)
    with mock.patch.object(log_events, "emit") as emit:
        context.target.waiting[-1]({NAMES.not_run: "1", "retry-after": value}, 503)
    context.value = value
    context.logged = [call.args[0] for call in emit.call_args_list]


@then("it is declined as not run, to come back after {seconds:g} s")
def told_to_come_back(context, seconds):
    declined = context.reply
    assert type(declined) is Declined and not declined.may_have_run, declined
    assert declined.retry_after == seconds, declined


@then("the log does not say what could not be read")
def log_names_nothing(context):
    assert not [entry for entry in context.logged if type(entry) is RowUnreadable], context.logged


@then("the log says what could not be read")
def log_names_value(context):
    (event,) = (entry for entry in context.logged if type(entry) is RowUnreadable)
    assert repr(context.value) in event.reason or context.value in event.reason, event


# Capacity that a limit leaves


@when(
    "the service gets {load:g} times what its targets without a limit can run for {seconds:d} s, and "
    "{count:d} targets name a limit of {rate:g} a second"
)
def some_limited(context, load, seconds, count, rate):
    world = context.world
    set_signals(context.target_nodes[:count], {NAMES.rate_limit: f"{rate:g}"})
    free = len(context.target_nodes) - count
    context.began = world.now
    world.load("grants", load * free * context.grants.slots / context.grants.work, seconds)
    world.run(seconds + 6.0)


def callers_from(context, spec, seconds):
    since = context.began + seconds
    return [caller for caller in context.world.callers if caller.spec is spec and caller.began >= since]


@then("at least {share:g} of the requests that arrive from {seconds:g} s on are answered on time")
def answered_on_time(context, share, seconds):
    callers = callers_from(context, context.grants, seconds)
    on_time = sum(
        caller.status == 200 and caller.ended_at - caller.began <= context.grants.goal for caller in callers
    )
    assert on_time >= share * len(callers) > 0, (on_time, len(callers))


@given("routers in one region and a service of {count:d} targets for urgent and for other requests")
def urgent_and_other(context, count):
    one_region(context, count)
    context.world.close()
    urgent = ServiceModel("urgent", {}, 0.22, service="grants")
    urgent.route = msgspec.structs.replace(urgent.route, priority=0)
    callers = ServiceModel("lookups", {"east": 4}, 0.17)
    context.urgent = urgent
    context.world = OverloadWorld([context.grants, urgent, callers], 3_750_000)
    context.add_cleanup(context.world.close)
    context.target_nodes = [node for node in context.world.nodes.values() if node.spec is context.grants]


@when(
    "urgent requests take {share:g} and others {others:g} of what all targets accept with a limit of "
    "{rate:g} a second for {seconds:d} s"
)
def all_limited(context, share, others, rate, seconds):
    world = context.world
    set_signals(context.target_nodes, {NAMES.rate_limit: f"{rate:g}"})
    context.began, context.seconds = world.now, seconds
    context.accepted_rate = rate * len(context.target_nodes)
    world.load("urgent", share * context.accepted_rate, seconds)
    world.load("grants", others * context.accepted_rate, seconds)
    world.run(seconds + 6.0)


@then(
    "from {first:g} s on at least {share:g} of the urgent ones are answered, and at least {used:g} of what "
    "the targets accept is used"
)
def urgent_first(context, first, share, used):
    urgent = callers_from(context, context.urgent, first)
    answered = sum(caller.status == 200 for caller in urgent)
    assert answered >= share * len(urgent) > 0, (answered, len(urgent))
    start, end = context.began + first, context.began + context.seconds
    arrivals = sum(start <= at <= end for node in context.target_nodes for at in node.http.arrivals)
    assert arrivals >= used * context.accepted_rate * (end - start), arrivals


@then("half of the refusals take at most {seconds:g} s")
def quick_refusals(context, seconds):
    taken = sorted(wait for caller in context.world.callers for wait in caller.refused_after)
    assert taken[len(taken) // 2] <= seconds, taken[len(taken) // 2]


KEYED_SERVICE_SECONDS = 0.2


def play_keyed(context, rate, seconds):
    """Let requests come for all keys alike, and tell each owner of those for its keys."""
    world = context.world
    for _ in range(seconds):
        owners = [node.owner for node in world.nodes.values()]
        stripes = len(owners[0].local_ring.stripes)
        for owner in owners:
            owner.key_load.record_service_time(KEYED_SERVICE_SECONDS)
            for index in owner.local_stripes():
                count = owner.key_load.request_counts.get(index, 0.0)
                owner.key_load.request_counts[index] = count + rate / stripes
        world.run(1.0)


def demand(context, node):
    owner = context.world.nodes[node].owner
    return context.rate * len(owner.local_stripes()) / len(owner.local_ring.stripes)


def owners_of_stripes(context):
    ring = context.world.nodes["n1"].owner.local_ring
    return [ring.owners[stripe.owner_index].node for stripe in ring.stripes]


@when(
    "{rate:d} requests a second come for all keys, and one target states a limit of {limit:g} a second for "
    "{seconds:d} s"
)
def keyed_limit(context, rate, limit, seconds):
    context.rate = rate
    play_keyed(context, rate, 5)
    context.owners_before = owners_of_stripes(context)
    state = context.world.nodes["n0"].target.rate_limit
    state.observe(limit, context.world.now, context.world.now)
    play_keyed(context, rate, seconds)


@when(
    "{rate:d} requests a second come for all keys, and all targets but one state a limit of {limit:g} a "
    "second for {seconds:d} s"
)
def all_but_one_limited(context, rate, limit, seconds):
    play_keyed(context, rate, 5)
    for name in list(context.world.nodes)[1:]:
        context.world.nodes[name].target.rate_limit.observe(limit, context.world.now, context.world.now)
    play_keyed(context, rate, seconds)


@then("every key has a holder, and the target without a limit holds at least {share:g} of them")
def all_held(context, share):
    world = context.world
    assert world.held() == len(PROBED_KEYS), world.held()
    assert world.held_by("n0") >= share * len(PROBED_KEYS), world.held_by("n0")


@then("the limited target is asked for at most {most:g} requests a second at the end")
def keyed_demand(context, most):
    assert demand(context, "n0") <= most, demand(context, "n0")


@then("at most {share:g} of all keys have moved")
def few_moved(context, share):
    pairs = zip(context.owners_before, owners_of_stripes(context), strict=True)
    moved = sum(before != after for before, after in pairs)
    assert moved <= share * len(context.owners_before), moved


@when("the limit has ended {seconds:d} s ago")
def keyed_limit_ends(context, seconds):
    state = context.world.nodes["n0"].target.rate_limit
    state.observe(None, context.world.now + 1.0, context.world.now + 1.0)
    play_keyed(context, context.rate, seconds)


@then("that target is asked for at least {least:g} requests a second at the end")
def keyed_demand_back(context, least):
    assert demand(context, "n0") >= least, demand(context, "n0")
