"""Steps for callers, hot keys and the link: guard against amplified failures and unbounded use of memory."""

import random
from itertools import pairwise

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.clock import ManualClock
from hibiscusdrum.internal.load.balancer import Balancer
from hibiscusdrum.internal.load.client_policy import ClientPolicy
from hibiscusdrum.internal.load.ejection import EJECTED, OutlierEjector
from hibiscusdrum.internal.load.fair_queue import FairQueue
from hibiscusdrum.internal.load.hedging import HedgePolicy
from hibiscusdrum.internal.load.hot_keys import HotKeyDetector
from hibiscusdrum.internal.load.limiter import ColdStart, ConcurrencyLimiter
from hibiscusdrum.internal.load.link_budget import CONTROL, DATA, LinkBudget
from hibiscusdrum.internal.load.retry_budget import RetryBudget

NODES = [f"n{i}" for i in range(5)]
repeatable = settings(derandomize=True, database=None, deadline=None, max_examples=60)

REFUSED = {
    "slots": lambda value: ConcurrencyLimiter(value),
    "completions_per_slot": lambda value: ConcurrencyLimiter(9, ColdStart(completions_per_slot=value)),
    "first_limit": lambda value: ConcurrencyLimiter(9, ColdStart(first_limit=value)),
    "capacity": lambda value: FairQueue(value),
    "queue_slots": lambda value: FairQueue(9, slots=value),
    "tenant_weight": lambda value: FairQueue(9, tenant_weights={"amt": value}),
    "retry_ratio": lambda value: RetryBudget(value),
    "hedge_budget": lambda value: HedgePolicy(value),
    "max_share": lambda value: OutlierEjector(value),
    "bytes_per_second": lambda value: LinkBudget(value),
    "control_share": lambda value: LinkBudget(control_share=value),
    "half_life": lambda value: HotKeyDetector(half_life=value),
    "exit_share": lambda value: HotKeyDetector(exit_share=value),
    "link_kind": lambda value: LinkBudget().try_spend_bytes(value, 1, 0.0),
}


@then("the load policy refuses {argument} of {value:g}")
def check_refused(context, argument, value):
    try:
        REFUSED[argument](value)
    except InvalidArgument as error:
        assert error.value == value, error
    else:
        raise AssertionError(f"{argument}={value} was accepted")


@then("the ejected share stays under the cap for any results")
def check_ejection_cap(context):
    result = st.tuples(st.sampled_from(NODES), st.floats(0.0, 1.0), st.booleans(), st.floats(0.0, 1.0))

    @repeatable
    @for_all(st.integers(1, 5), st.lists(result, max_size=200))
    def holds(count, results):
        ejector, now = OutlierEjector(0.34), 0.0
        ejector.set_nodes(NODES[:count], now)
        for node, latency, ok, pause in results:
            if node not in NODES[:count]:
                ejector.on_overdue(NODES[0], now)
                continue
            for _ in range(6):
                now += pause / 6
                ejector.on_sent(node, now)
                ejector.on_result(node, latency, ok, now + latency)
            ejector.next_probe(NODES, (), now)
            assert len(ejector.excluded(now, 0.5)) <= 0.34 * count
            assert sum(ejector.is_ejected(name, now) for name in NODES) <= 0.34 * count

    holds()


@given("an ejector with 5 model nodes")
def make_ejector(context):
    context.ejector, context.now = OutlierEjector(), 0.0
    context.ejector.set_nodes(NODES, 0.0)
    for i in range(1000):
        answer(context, NODES[i % 5], 0.002)


def answer(context, node, latency, ok=True):
    context.now += 0.001
    context.ejector.on_sent(node, context.now)
    context.now += latency
    return context.ejector.on_result(node, latency, ok, context.now)


@when('node "{node}" is ten times slower for {count:d} requests')
def node_is_slow(context, node, count):
    for _ in range(count):
        answer(context, node, 0.02)


@when('node "{node}" fails for {count:d} requests')
def node_fails(context, node, count):
    for _ in range(count):
        answer(context, node, 0.001, ok=False)


@when('node "{node}" leaves hedged requests unanswered for {count:d} requests')
def node_hangs(context, node, count):
    for _ in range(count):
        context.ejector.on_overdue(node, context.now)


@when("all nodes are ten times slower for {count:d} requests each in turn")
def all_slow(context, count):
    for _ in range(count):
        for node in NODES:
            answer(context, node, 0.02)


@then('node "{node}" is ejected')
def check_ejected(context, node):
    assert context.ejector.is_ejected(node, context.now)
    assert node in context.ejector.excluded(context.now, 0.5)


@then('node "{node}" is not ejected')
def check_not_ejected(context, node):
    assert not context.ejector.is_ejected(node, context.now)


@then("no node is ejected")
def check_none_ejected(context):
    assert not context.ejector.unhealthy


@when("the time of ejection is over")
def pass_ejection(context):
    context.now += 1.1


@then('node "{node}" gets one probe at a time')
def check_one_probe(context, node):
    ejector = context.ejector
    assert ejector.next_probe(NODES, (node,), context.now) is None
    assert ejector.next_probe(NODES, (), context.now) == node
    ejector.on_sent(node, context.now)
    assert ejector.next_probe(NODES, (), context.now) is None
    context.now += 0.002
    assert not ejector.on_result(node, 0.002, True, context.now)


@then("after 3 good probes it is excluded in fewer and fewer draws")
def check_ramp(context):
    answer(context, "n0", 0.002)
    assert answer(context, "n0", 0.002)
    start, shares = context.now, []
    for tenth in range(11):
        draws = [context.ejector.excluded(start + tenth / 10, i / 100) for i in range(100)]
        shares.append(sum("n0" in excluded for excluded in draws))
    assert shares[0] >= 95 and shares[-1] == 0, shares
    assert all(later < earlier for earlier, later in pairwise(shares)), shares


@when('node "{node}" answers its probes well')
def probes_succeed(context, node):
    assert context.ejector.next_probe(NODES, (), context.now) == node
    assert [answer(context, node, 0.002) for _ in range(3)] == [False, False, True]


@then('each failed probe of node "{node}" doubles its time of ejection')
def check_growing_ejection(context, node):
    times = []
    for _ in range(8):
        health = context.ejector.nodes[node]
        assert health.state == EJECTED
        times.append(health.state_ends_at - health.ejected_at)
        context.now = health.state_ends_at + 0.01
        assert context.ejector.next_probe(NODES, (), context.now) == node
        answer(context, node, 0.02)
    assert [round(seconds) for seconds in times] == [1, 2, 4, 8, 16, 30, 30, 30], times


@when('only nodes "{one}" and "{other}" are left')
def shrink_nodes(context, one, other):
    context.ejector.set_nodes([one, other], context.now)


@then("hedges never exceed the budget for any calls")
def check_hedge_budget(context):
    @repeatable
    @for_all(st.lists(st.tuples(st.integers(0, 100), st.integers(0, 10)), max_size=50))
    def holds(calls):
        hedge, requests, hedges = HedgePolicy(0.05, burst=5.0), 0, 0
        for more_requests, attempts in calls:
            for _ in range(more_requests):
                hedge.on_request()
            requests += more_requests
            granted = sum(hedge.try_spend_hedge(True, 0.0) for _ in range(attempts))
            hedges += granted
            assert hedges <= 0.05 * requests + 1e-9
            assert granted <= 5

    holds()


@then("a request that must run at most once is never hedged")
def check_no_hedge(context):
    hedge = HedgePolicy()
    for _ in range(1000):
        hedge.on_request()
    assert not hedge.try_spend_hedge(False, 0.0)
    assert hedge.try_spend_hedge(True, 0.0)


@then("the hedge delay comes within 20% of the 95th percentile")
def check_hedge_delay(context):
    hedge, rng = HedgePolicy(), random.Random(1)
    for _ in range(5000):
        hedge.observe("s", rng.expovariate(500.0))
    delays = []
    for _ in range(2000):
        hedge.observe("s", rng.expovariate(500.0))
        delays.append(hedge.delay("s"))
    # The 95th percentile of exponential latencies of 2 ms is 5.99 ms.
    assert abs(sum(delays) / len(delays) - 0.00599) <= 0.2 * 0.00599, sum(delays) / len(delays)


@then("retries never exceed the budget for any calls")
def check_retry_budget(context):
    @repeatable
    @for_all(st.lists(st.tuples(st.booleans(), st.floats(0.0, 0.5)), max_size=500))
    def holds(calls):
        budget, now, requests, retries = RetryBudget(0.1, burst=10.0, min_tokens_per_second=0.2), 0.0, 0, 0
        for is_request, pause in calls:
            now += pause
            if is_request:
                budget.on_request()
                requests += 1
            else:
                retries += budget.try_spend_retry(now)
            assert retries <= 10.0 + 0.1 * requests + 0.2 * now + 1e-9

    holds()


@then("after 30 s of failures at 100 requests/s at most 11% of the attempts were retries")
def check_no_storm(context):
    budget, retries = RetryBudget(0.1), 0
    for i in range(3000):
        budget.on_request()
        for _ in range(4):
            retries += budget.try_spend_retry(i / 100)
    assert retries <= 0.11 * 3000, retries


@then("back-off delays are spread evenly up to a bound that grows to a cap")
def check_backoff(context):
    budget, rng = RetryBudget(base_delay_seconds=0.1, max_delay_seconds=2.0), random.Random(1)
    for attempt, bound in ((1, 0.2), (2, 0.4), (4, 1.6), (5, 2.0), (500, 2.0)):
        delays = [budget.backoff(attempt, rng) for _ in range(2000)]
        assert min(delays) >= 0.0 and max(delays) <= bound
        for quarter in range(4):
            count = sum(quarter * bound / 4 <= delay < (quarter + 1) * bound / 4 for delay in delays)
            assert 400 <= count <= 600, (attempt, quarter, count)


@then("of two nodes the one with fewer requests in flight is chosen")
def check_power_of_two(context):
    balancer = Balancer(random.Random(1))
    for _ in range(300):
        balancer.on_sent(balancer.choose(["a", "b", "c"], 0.0), 0.0)
    counts = [balancer.nodes[node].in_flight for node in ("a", "b", "c")]
    assert max(counts) - min(counts) <= 4, f"nodes without samples get uneven numbers: {counts}"
    balancer = Balancer(random.Random(1))
    for node in ("a", "b"):
        balancer.on_sent(node, 0.0)
        balancer.on_done(node, 0.002, True, 0.0)
    for _ in range(3):
        balancer.on_sent("a", 0.0)
    assert {balancer.choose(["a", "b"], 0.0) for _ in range(50)} == {"b"}
    assert balancer.choose(["a", "b"], 0.0, exclude=("b",)) == "a"
    assert balancer.choose(["a", "b"], 0.0, exclude=("a", "b")) is None
    for _ in range(5):
        balancer.on_done("a", 0.002, True, 0.0)
    assert balancer.nodes["a"].in_flight == 0


@then("a report of 3 seconds ago has no effect and a fresh one has")
def check_report_age(context):
    balancer = Balancer(random.Random(1))
    for node in ("a", "b"):
        balancer.on_sent(node, 0.0)
        balancer.on_done(node, 0.002, True, 10.0)
    balancer.on_report("a", 9, 2.0, 3000.0, 10.0)
    assert balancer.cost("a", 10.0) == balancer.cost("b", 10.0)
    balancer.on_report("a", 9, 2.0, 1000.0, 10.0)
    assert balancer.cost("a", 10.0) < 3 * balancer.cost("b", 10.0), "a report of 1 second ago counts fully"
    balancer.on_report("a", 9, 2.0, 100.0, 10.0)
    assert balancer.cost("a", 10.0) > 5 * balancer.cost("b", 10.0)
    balancer.on_report("a", 0, 2.0, 5000.0, 10.0)
    assert balancer.cost("a", 10.0) > 5 * balancer.cost("b", 10.0), "an older report replaced a newer one"


@then("a node that was slow long ago costs like the others")
def check_slow_node_forgotten(context):
    balancer = Balancer(random.Random(1))
    for i in range(2000):
        for node in ("a", "b"):
            balancer.on_sent(node, i / 1000)
            balancer.on_done(node, 0.02 if node == "a" and i > 1900 else 0.002, True, i / 1000)
    assert balancer.cost("a", 2.0) > 5 * balancer.cost("b", 2.0)
    for i in range(3000):
        balancer.on_sent("b", 2.0 + i / 100)
        balancer.on_done("b", 0.002, True, 2.0 + i / 100)
    assert balancer.cost("a", 32.0) < 2 * balancer.cost("b", 32.0)


@then("of 2000 requests to 5 nodes with one straggler at most 40 go to the straggler")
def check_straggler(context):
    clock = ManualClock()
    policy = ClientPolicy(random.Random(1), clock)
    policy.set_nodes(NODES)
    chosen = []
    for i in range(3000):
        clock.advance(0.001)
        policy.on_request("amt")
        node = policy.choose(NODES)
        policy.on_sent(node)
        policy.on_done(node, "s", 0.02 if i >= 1000 and node == "n0" else 0.002, True)
        chosen.append(node)
    assert chosen[1000:].count("n0") <= 40, chosen[1000:].count("n0")
    assert chosen[:1000].count("n0") >= 100


@then("the client policy chooses an ejected node when no other candidate is left")
def check_last_candidate(context):
    policy = ClientPolicy(random.Random(1), ManualClock())
    policy.set_nodes(NODES)
    for _ in range(10):
        policy.on_done("n0", "s", 0.001, False)
    assert policy.ejector.is_ejected("n0", policy.clock.monotonic())
    assert "n0" not in {policy.choose(NODES) for _ in range(100)}
    assert policy.choose(["n0"]) == "n0"
    assert policy.choose(["n0"], exclude=("n0",)) is None


@then("a hedge goes to another node only if that node is less loaded and the request may run twice")
def check_hedge_node(context):
    policy = ClientPolicy(random.Random(1), ManualClock())
    policy.set_nodes(["a", "b"])
    for node in ("a", "b"):
        policy.on_sent(node)
        policy.on_done(node, "s", 0.002, True)
    policy.on_sent("a")
    assert policy.hedge_node("a", ["a", "b"], True) is None, "a hedge without budget"
    for _ in range(100):
        policy.on_request("amt")
    assert policy.hedge_node("a", ["a", "b"], True) == "b"
    assert policy.hedge_node("a", ["a", "b"], False) is None
    assert policy.hedge_node("a", ["a"], True) is None
    for _ in range(3):
        policy.on_sent("b")
    tokens = policy.hedge_policy.tokens
    assert policy.hedge_node("a", ["a", "b"], True) is None
    assert policy.hedge_policy.tokens == tokens, "a hedge that was not sent cost a token"


@then("cancelled requests leave no trace in the client policy")
def check_cancelled(context):
    policy = ClientPolicy(random.Random(1), ManualClock())
    policy.set_nodes(NODES)
    for _ in range(20):
        policy.on_sent("n0")
        policy.on_cancelled("n0")
    policy.on_cancelled("n0")
    assert policy.balancer.nodes["n0"].in_flight == 0
    assert not policy.ejector.is_ejected("n0", policy.clock.monotonic())


@then('after a cancelled probe node "{node}" gets another one')
def check_cancelled_probe(context, node):
    ejector = context.ejector
    assert ejector.next_probe(NODES, (), context.now) == node
    ejector.on_sent(node, context.now)
    assert ejector.next_probe(NODES, (), context.now) is None
    ejector.on_cancelled(node)
    assert ejector.next_probe(NODES, (), context.now) == node


@given("a stream of {rate:d} requests/s with 10 hot keys of 1% and a tail of other keys")
def make_stream(context, rate):
    context.rate, context.rng, context.second = rate, random.Random(1), 0
    context.hot = set(range(10))
    context.detector = HotKeyDetector(rng=random.Random(2))


def observe_second(context):
    hot = sorted(context.hot)
    for i in range(context.rate):
        is_hot = context.rng.random() < 0.1
        key = context.rng.choice(hot) if is_hot else context.rng.getrandbits(64)
        context.detector.observe(key, context.second + i / context.rate)
    context.second += 1


@when("the hot keys change after 60 s")
def change_hot_keys(context):
    for _ in range(60):
        observe_second(context)
    assert {key for key, _ in context.detector.hottest(10, 60.0)} == context.hot
    context.hot = set(range(100, 110))


@then("the new hot keys are the 10 hottest within 60 s")
def check_found(context):
    for _ in range(60):
        observe_second(context)
    found = context.detector.hottest(10, 120.0)
    assert {key for key, _ in found} == context.hot, found
    assert all(0.005 <= share <= 0.015 for _, share in found), found


@then("the detector holds at most 64 counters")
def check_counters(context):
    assert len(context.detector.counts) == len(context.detector.overestimates) <= 64


def detector_with(shares):
    """Return a detector that has seen keys with shares in percent, 100 requests a second for 60 s."""
    detector = HotKeyDetector()
    for second in range(60):
        slots = [key for key, percent in shares.items() for _ in range(percent)]
        slots += [1_000_000 + second * 100 + i for i in range(100 - len(slots))]
        for i, key in enumerate(slots):
            detector.observe(key, second + i / 100)
    return detector


@then("a key of 2% is neither isolated nor merged")
def check_between(context):
    assert detector_with({1: 2}).changes((), 60.0).isolate == ()
    detector = detector_with({1: 2})
    detector.changes((1,), 30.0)
    assert detector.changes((1,), 60.0).merge == ()


@then("a key of 4% is isolated and a key of 1% is merged")
def check_outside(context):
    detector = detector_with({1: 4, 2: 1})
    assert detector.changes((), 60.0).isolate == (1,)
    detector.changes((2,), 30.0)
    assert detector.changes((2,), 60.0).merge == (2,)


@then("a held key without requests is merged only after two half-lives")
def check_hold(context):
    detector = detector_with({1: 4})
    assert detector.changes((7,), 60.0).merge == ()
    assert detector.changes((7,), 79.9).merge == ()
    assert detector.changes((7,), 80.0).merge == (7,)


@then("a forgotten key is not among the hottest")
def check_forget(context):
    detector = detector_with({1: 20, 2: 8})
    detector.forget(1)
    detector.forget(1)
    assert detector.changes((), 60.0).isolate == (2,)
    # The requests of the key that has left no longer count: 8 of the remaining 80.
    assert abs(dict(detector.hottest(1, 60.0))[2] - 0.1) < 0.01, detector.hottest(1, 60.0)


@then("shares are right in each hour of 3 days with new keys each hour")
def check_precision(context):
    detector = HotKeyDetector()
    for hour in range(72):
        for i in range(1000):
            detector.observe(4 * hour + i % 4, hour * 3600.0 + i / 100)
        shares = dict(detector.hottest(4, hour * 3600.0 + 10))
        assert all(abs(shares.get(4 * hour + key, 0.0) - 0.25) < 0.01 for key in range(4)), (hour, shares)


@then("bytes sent in any interval stay within the rate and the burst")
def check_link_rate(context):
    message = st.tuples(st.sampled_from([CONTROL, DATA]), st.integers(1, 2000), st.floats(0.0, 0.3))

    @repeatable
    @for_all(st.lists(message, max_size=300))
    def holds(messages):
        budget, now, taken = LinkBudget(10_000, 0.1, burst_seconds=1.0), 0.0, []
        for kind, size, pause in messages:
            now += pause
            # Larger control messages go into debt, which the last scenario covers.
            size = min(size, 1000) if kind == CONTROL else size
            if budget.try_spend_bytes(kind, size, now):
                taken.append((now, size))
                for start in range(0, len(taken), 7):
                    sent = sum(size for _, size in taken[start:])
                    assert sent <= 10_000 * (now - taken[start][0]) + 10_000 + 1e-6

    holds()


def run_link(budget, seconds, control_size):
    """Offer control each millisecond and data all the time; return bytes of both sent."""
    sent = {CONTROL: 0, DATA: 0}
    for step in range(int(seconds * 1000)):
        now = 10.0 + step / 1000
        for _ in range(100):
            sent[DATA] += 100 * budget.try_spend_bytes(DATA, 100, now)
        if control_size and budget.try_spend_bytes(CONTROL, control_size, now):
            sent[CONTROL] += control_size
    return sent


@then("control gets its share while data takes all it can")
def check_control_first(context):
    sent = run_link(LinkBudget(), 10.0, 370)
    assert sent[CONTROL] == 3_700_000, sent
    assert sent[CONTROL] + sent[DATA] <= 3_750_000 * 10.25


@then("data gets the whole rate while control is silent")
def check_data_gets_rest(context):
    sent = run_link(LinkBudget(), 10.0, 0)
    assert sent[DATA] >= 0.99 * 3_750_000 * 10, sent


@then("a message of 5 seconds of traffic passes and delays the next one")
def check_large_message(context):
    budget = LinkBudget()
    assert budget.try_spend_bytes(DATA, 5 * 3_750_000, 0.0)
    assert not budget.try_spend_bytes(DATA, 1, 4.5)
    assert budget.seconds_until_allowed(DATA, 1, 4.5) > 0.0
    assert budget.try_spend_bytes(CONTROL, 1000, 4.5), "control waits behind a body"
    assert budget.try_spend_bytes(DATA, 1, 6.0)
