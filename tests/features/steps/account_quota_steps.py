"""Steps with quotas of client accounts that many nodes share, and failures of these nodes."""

from behave import given, then, when
from tests.features.steps.client_accounts_steps import KEYS, NAMES, activate, ask, gateway_with_accounts
from tests.quota_world import Loop, QuotaWorld, fleet_accounts
from tests.router_stubs import SETTINGS, Request

from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.messages import Declined
from hibiscusdrum.internal.router.accounts import Account
from hibiscusdrum.internal.router.quota_service import QuotaService

ACCOUNTS = [
    Account("large", rate=100.0, burst=50.0),
    Account("small", rate=5.0, burst=5.0),
    Account("plain", rate=40.0, burst=0.0),
]
# Time after the start until the buckets are filled.
START_SECONDS = 8.0


def start(context, count, accounts):
    log_events.configure("test", "ERROR")
    context.world = QuotaWorld(count, accounts)
    context.world.run(START_SECONDS)
    context.since = context.world.now


@given("{count:d} nodes with {accounts:d} accounts whose quotas are 1.6 times their demand")
def fleet(context, count, accounts):
    found, context.demand = fleet_accounts(accounts)
    start(context, count, found)


@given("{count:d} nodes with a large account, a small one and one without a burst")
def three_accounts(context, count):
    start(context, count, ACCOUNTS)


@when("their demand comes for {seconds:g} s")
def fleet_demand(context, seconds):
    world = context.world
    for name, rate in context.demand.items():
        world.demand(name, rate, list(world.nodes))
    context.messages = world.messages
    world.run(seconds)


@then("at most {limit:g} messages a request were sent")
def few_messages(context, limit):
    world = context.world
    assert world.messages - context.messages <= limit * world.sent, (world.messages, world.sent)


def demand(world, times, places, come_back=0):
    return [
        world.demand(name, account.rate * times, places, come_back)
        for name, account in world.accounts.items()
    ]


def demand_within(world, places):
    """Use half of each quota; random arrivals exceed one without a burst now and then, whatever its rate."""
    bursting = [(name, account) for name, account in world.accounts.items() if account.burst]
    return [world.demand(name, account.rate * 0.5, places) for name, account in bursting]


@when("requests of {times:g} times each quota come to {places:d} nodes for {seconds:g} s, and callers {what}")
def over_quota(context, times, places, seconds, what):
    world = context.world
    demand(world, times, list(world.nodes)[:places], 3 if what.startswith("come") else 0)
    world.run(seconds)


@then("each account ran at least {share:d} in 100 of its rate")
def ran_its_rate(context, share):
    world = context.world
    seconds = world.now - context.since
    ran = {name: len(times) / (world.accounts[name].rate * seconds) for name, times in world.runs.items()}
    assert min(ran.values()) >= share / 100, ran


@then("no caller who came back was refused again")
def not_again(context):
    again = [refusal for refusal in context.world.refusals if refusal[3]]
    assert context.world.refusals and not again, (len(context.world.refusals), again[:5])


@when(
    'half of each quota with a burst is used in region "{one}" for {first:g} s, '
    'and then in region "{other}" for {rest:g} s'
)
def jumping(context, one, first, other, rest):
    world = context.world
    for region, seconds in ((one, first), (other, rest)):
        stops = demand_within(world, [name for name in world.nodes if world.regions[name] == region])
        world.run(seconds)
        for stop in stops:
            stop()


@then("no account ran more than its quota allows")
def within_quota(context):
    assert not context.world.excess(), context.world.excess()


@then("at most {part:d} in {whole:d} requests were refused")
def few_refused(context, part, whole):
    world = context.world
    assert world.sent > 500
    assert len(world.refusals) <= world.sent * part / whole, (len(world.refusals), world.sent)


def fail(context, failure):
    """Let a failure happen, and time pass until its effects are over."""
    world, keeper = context.world, context.world.keeper_of("large")
    busy = next(
        name for name in world.nodes if name not in {world.keeper_of(name) for name in world.accounts}
    )
    context.failed_at, context.away = world.now, set()
    if failure.startswith("a node with a high demand"):
        demand(world, 2.0, [busy])
        world.run(2.0)
    if failure in ("a node with a high demand is cut off", "a node that is no keeper is cut off"):
        context.away = {busy}
    elif failure == "the keeper is cut off":
        context.away = {keeper}
    elif failure == "the regions are cut off from each other":
        world.cut = lambda one, other: world.regions[one] != world.regions[other]
    elif failure == "all nodes are cut off from each other":
        world.cut = lambda _one, _other: True
    elif failure == "the keeper stops as planned":
        world.stop(keeper)
    elif failure == "the keeper is lost":
        world.stopped.add(keeper)
    elif failure.startswith("all nodes restart"):
        for again in range(1 + ("again" in failure)):
            world.run(3.0 * again)
            for name in list(world.nodes):
                world.restart(name)
        context.failed_at = world.now
    elif failure == "the keeper restarts every second":
        for _ in range(10):
            for name in world.accounts:
                world.restart(world.keeper_of(name))
            world.run(1.0)
    elif "paused for 6 s" in failure:
        world.paused.add(keeper if "keeper" in failure else busy)
        world.run(6.0)
        world.paused.clear()
    elif failure == "messages are held up for 2 s":
        former, world.reaches = world.later, lambda _one, _other: True
        world.later = lambda delay, node, action: former(delay + 2.0, node, action)
        world.run(5.0)
        world.later = former
    else:
        raise AssertionError(failure)
    if context.away:
        world.cut = lambda one, other: one != other and bool({one, other} & context.away)
    world.run(8.0)
    # After the failure is over.
    world.cut = lambda _one, _other: False
    if not context.away:
        world.run(6.0)


@when("requests of 3 times each quota come to all nodes, and after {seconds:g} s {failure}")
def overload_and_failure(context, seconds, failure):
    world = context.world
    demand(world, 3.0, list(world.nodes))
    world.run(seconds)
    if failure == "the limits are lowered to a tenth":
        context.failed_at = world.now
        lowered = [Account(a.name, rate=a.rate / 10, burst=a.burst / 10) for a in ACCOUNTS]
        world.configure(lowered)
        world.run(12.0)
    else:
        fail(context, failure)


@when("half of each quota with a burst is used, and after {seconds:g} s {failure}")
def use_and_failure(context, seconds, failure):
    world = context.world
    demand_within(world, list(world.nodes))
    world.run(seconds)
    fail(context, failure)


@then("from {seconds:g} s after it on, no account ran more than its quota allows")
def within_quota_later(context, seconds):
    excess = context.world.excess(context.failed_at + seconds)
    assert not excess, excess


def refused_since(context, seconds, places):
    """Return how many requests were refused at some nodes in a time after the failure, and how many ran."""
    world, since = context.world, context.failed_at + seconds
    refused = [refusal for refusal in world.refusals if refusal[0] >= since and refusal[4] in places]
    return len(refused), sum(time >= since for times in world.runs.values() for time in times)


@then("from {seconds:g} s after it on, at most {part:d} in {whole:d} requests were refused")
def few_refused_later(context, seconds, part, whole):
    refused, ran = refused_since(context, seconds, set(context.world.nodes) - context.away)
    assert ran > 200 and refused <= (ran + refused) * part / whole, (refused, ran)


@then(
    "from {seconds:g} s after it on, at most {part:d} in {whole:d} requests at the other nodes were refused"
)
def few_refused_elsewhere(context, seconds, part, whole):
    few_refused_later(context, seconds, part, whole)


@given('a gateway whose account "alice" has a quota of 1 request and no rate to speak of')
def gateway_with_quota(context):
    gateway_with_accounts(context)
    app, gateway = context.app, context.gateway
    gateway.members.on_change = []
    gateway.members.nodes = {}
    context.hop.message_handlers, context.hop.before_end, context.hop.on_peer_closing = {}, [], []
    settings = SETTINGS
    quota = context.quota = app.add(QuotaService(settings))
    quota.on_start()
    # The tolerance allows no more than the quota.
    for keeper in quota.keepers:
        keeper.tolerance.slack = keeper.tolerance.over = 0.0
    activate(context, 3, [["alice", KEYS["alice"], None, 0.1, 1]])
    pass_time(context, 20.0)


def pass_time(context, seconds):
    """Let time pass for the services of the gateway's process."""
    for _ in range(int(seconds / 0.01)):
        context.app.clock.advance(0.01)
        context.app.scheduler.run_due(Loop())


def ask_alice(context, headers=()):
    """Send a request of the account; return it and what is sent to another node."""
    count = len(context.hop.sent)
    request, _ = ask(context, headers or [(NAMES.account_key, KEYS["alice"][0])])
    pass_time(context, 0.05)
    sent = context.hop.sent[count:]
    return request, sent[0] if sent else None


@then("a request of it is refused with 503 for another reason, and the next one is served")
def token_returned(context):
    request, sent = ask_alice(context)
    for _ in range(4):
        declined = Declined(sent[1].id, "other_service", False, False, 0.0, (0, 0, 6, 0.1, True))
        sent[3](declined, b"")
        sent = context.hop.sent[-1]
    assert request.answer[0] == 503, request.answer
    request, sent = ask_alice(context)
    assert request.answer is None and sent is not None, request.answer


@then("the one after that gets 429 with a Retry-After")
def over_its_quota(context):
    request, sent = ask_alice(context)
    assert sent is None and request.answer[0] == 429, request.answer
    assert 0.0 < float(dict(request.answer[1])["retry-after"]) <= 10.0, request.answer


@when("its token is used, and a caller is refused")
def one_refused(context):
    assert ask_alice(context)[0].answer is None
    context.request, _ = ask_alice(context)
    assert context.request.answer[0] == 429


@then(
    "the next request on the connection of that caller counts as coming back, and the one after it does not"
)
def known_by_connection(context):
    gateway, seen = context.gateway, []
    gateway.quota.acquire = lambda _account, returning, _decide: seen.append(returning)
    pass_time(context, 1.0)
    for connection in (object(), context.request.connection, context.request.connection):
        request = Request()
        request.headers += [(NAMES.account_key, KEYS["alice"][0]), (NAMES.deadline_ms, "70000")]
        request.connection = connection
        gateway.on_request(request)
    assert seen == [False, True, False], seen


@when("a request of it waits for a token while the account is removed")
def removed_while_waiting(context):
    count = len(context.hop.sent)
    context.request, _ = ask(context, [(NAMES.account_key, KEYS["alice"][0])])
    assert context.request.answer is None and len(context.hop.sent) == count
    activate(context, 4, [["bob", KEYS["bob"], None, 0.1, 1]])
    pass_time(context, 0.05)
    assert len(context.hop.sent) == count, "the request was sent"


@then("it is refused with {status:d} and was sent to no node")
def refused_unsent(context, status):
    assert context.request.answer[0] == status, context.request.answer


@then("a nested request of it is served")
def nested_without_token(context):
    context.gateway.receiver.account_of_run = lambda _: "alice"
    request, sent = ask_alice(context, [(NAMES.attempt_id, "run.n1")])
    assert request.answer is None and sent[1].account == "alice", request.answer
