"""Steps for limiter and fair queue: guard against a daemon overloading or blocking its own target."""

import heapq
import random

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from hibiscusdrum.internal.load.fair_queue import MAX_CLASSES, FairQueue
from hibiscusdrum.internal.load.limiter import ColdStart, ConcurrencyLimiter

SERVICE_SECONDS = 0.002
SLOTS = 9
repeatable = settings(derandomize=True, database=None, deadline=None, max_examples=60)


class ModelTarget:
    """Target whose service times grow in proportion to what is in flight beyond what it bears."""

    def __init__(self, bears, warm_up=100):
        self.bears, self.warm_up = float(bears), warm_up
        self.limiter = ConcurrencyLimiter(SLOTS)
        self.rng = random.Random(1)
        self.now = 0.0
        self.ends = []
        self.slowness, self.slow_until = 1.0, 0.0
        self.stall_share = 0.0
        self.failure_share, self.shed_above = 0.0, SLOTS
        self.peak = 0.0
        self.loads = []
        self.lowest_limit = SLOTS

    def run(self, seconds):
        """Send as much as the limiter allows for a time."""
        until = self.now + seconds
        while True:
            while self.limiter.try_acquire(self.now):
                self.send()
            if not self.ends or self.ends[0][0] > until:
                self.now = until
                return
            end, sent, ok = heapq.heappop(self.ends)
            self.now = max(self.now, end)
            self.bears = min(SLOTS, self.bears + 1.0 / self.warm_up)
            self.limiter.on_complete(self.now - sent, ok, self.now)
            self.lowest_limit = min(self.lowest_limit, self.limiter.limit)

    def send(self):
        """Start one request."""
        running = len(self.ends) + 1
        load = running / int(self.bears)
        self.peak = max(self.peak, load)
        self.loads.append((self.now, load))
        slow = self.slowness if self.now < self.slow_until else 1.0
        shed = running > self.shed_above
        service = SERVICE_SECONDS * (0.5 + 0.5 * self.rng.expovariate(1.0)) * max(1.0, load) * slow
        if self.rng.random() < self.stall_share:
            service = 0.2
        ok = not shed and self.rng.random() >= self.failure_share
        heapq.heappush(self.ends, (self.now + (0.0005 if shed else service), self.now, ok))


@then("a limiter with {slots:d} slots keeps its limit and its count in range for any calls")
def check_limiter_range(context, slots):
    calls = st.sampled_from(["acquire", "ok", "failed", "release", "reset"])
    step = st.tuples(calls, st.floats(0.0, 10.0), st.floats(0.0, 0.1))

    @repeatable
    @for_all(st.lists(step, max_size=400))
    def holds(steps):
        limiter = ConcurrencyLimiter(slots, ColdStart(completions_per_slot=3))
        now, expected = 0.0, 0
        for call, latency, pause in steps:
            now += pause
            if call == "acquire":
                expected += limiter.try_acquire(now)
            elif call == "reset":
                limiter.restart_ramp(now)
            else:
                expected = max(0, expected - 1)
                if call == "release":
                    limiter.release()
                else:
                    limiter.on_complete(latency, call == "ok", now)
            assert 1.0 <= limiter.limit <= slots
            assert limiter.in_flight == expected <= slots
            assert limiter.can_acquire(now) == (expected < int(limiter.limit))

    holds()


@given("a model target that bears one more request for each {warm_up:d} completions")
def make_cold_target(context, warm_up):
    context.target = ModelTarget(1, warm_up)


@given("a warm model target")
def make_warm_target(context):
    context.target = ModelTarget(SLOTS)


@when("the limiter sends as much as it allows for {seconds:g} seconds")
def run_target(context, seconds):
    context.target.run(seconds)


@when("the model target {event}")
def change_target(context, event):
    target = context.target
    target.lowest_limit = target.limiter.limit
    if event == "stalls for 30 ms":
        target.now += 0.03
    elif event == "is slowed ten times for 1 s":
        target.slowness, target.slow_until = 10.0, target.now + 1.0
    elif event == "is three times slower for good":
        target.slowness, target.slow_until = 3.0, float("inf")
    elif event == "stalls 1% of requests for 0.2 s":
        target.stall_share = 0.01
    elif event == "bears only 3 requests for good":
        target.bears, target.warm_up = 3.0, float("inf")
    elif event == "becomes cold":
        target.bears = 1.0
    elif event == "answers 1% with failures":
        target.failure_share = 0.01
    elif event == "sheds what exceeds 3 requests":
        target.shed_above = 3
    else:
        assert event == "stays as it is", event


@then("the load stayed within what the model target bears")
def check_peak(context):
    assert context.target.peak <= 1.0, context.target.peak


@then("in the last second at most {share:d}% of requests exceeded what the model target bears")
def check_share_above(context, share):
    target = context.target
    loads = [load for at, load in target.loads if at > target.now - 1.0]
    above = sum(load > 1.0 for load in loads) / len(loads)
    assert above <= share / 100, above


@then("the limiter has reached all slots")
def check_all_slots(context):
    assert context.target.limiter.limit == SLOTS, context.target.limiter.limit


@then("the ramp started again {resets:d} times")
def check_resets(context, resets):
    assert context.target.limiter.ramp_restarts == resets, context.target.limiter.ramp_restarts


@then("the limit never fell below {limit:d} afterwards")
def check_lowest_limit(context, limit):
    assert context.target.lowest_limit >= limit, context.target.lowest_limit


@then("the limit is {limit:d}")
def check_limit(context, limit):
    assert int(context.target.limiter.limit) == limit, context.target.limiter.limit


@then("the limit is at most {limit:d}")
def check_limit_at_most(context, limit):
    assert int(context.target.limiter.limit) <= limit, context.target.limiter.limit


@then("a limiter that is reset ignores answers to earlier requests")
def check_reset_ignores_earlier(context):
    limiter = ConcurrencyLimiter(SLOTS, ColdStart(completions_per_slot=4))
    limiter.restart_ramp(10.0)
    for _ in range(20):
        limiter.on_complete(0.5, True, 10.1)
    assert limiter.baseline == 0.0 and limiter.limit == 1.0
    for _ in range(4):
        limiter.on_complete(0.01, True, 10.2)
    assert abs(limiter.baseline - 0.01) < 1e-9, limiter.baseline


@given("{slots:d} model slots behind a fair queue")
@given("a fair queue with {slots:d} slots")
def make_queue(context, slots):
    context.queue = FairQueue(capacity=600, slots=slots)


@when("lineage checks stall while grants arrive")
def run_stalled_lineage(context):
    queue, now, free = context.queue, 0.0, SLOTS
    ends, context.waits = [], []
    for step in range(4000):
        now = step * 0.0005
        while ends and ends[0][0] <= now:
            queue.on_finished(heapq.heappop(ends)[1])
            free += 1
        request_class = "grant" if step % 2 else "lineage"
        queue.push((request_class, now), "amt", request_class, now + 1.0, now)
        queue.expire(now)
        while free and (item := queue.pop(now)):
            free -= 1
            queue.on_started(item[0])
            service = 1e9 if item[0] == "lineage" else SERVICE_SECONDS
            heapq.heappush(ends, (now + service, item[0]))
            if item[0] == "grant":
                context.waits.append(now - item[1])


@then("each grant waited at most one service time")
def check_grant_waits(context):
    assert len(context.waits) == 2000, len(context.waits)
    assert max(context.waits) <= SERVICE_SECONDS, max(context.waits)


@when("a grant and a lineage check are queued")
def queue_one_of_each(context):
    context.queue.push("lineage", "amt", "lineage", 100.0, 0.0)
    context.queue.push("grant", "amt", "grant", 100.0, 0.0)


@then("only the grant may run")
def check_only_grant(context):
    assert not context.queue.may_run("lineage")
    assert context.queue.pop(0.0) == "grant"
    assert context.queue.pop(0.0) is None


@then("the lineage check may run after a second without grants")
def check_lineage_later(context):
    assert context.queue.pop(1.1) == "lineage"


@then("backlogged flows get shares within one item of their weights")
def check_shares(context):
    weights = st.lists(st.sampled_from([0.5, 1.0, 2.0, 3.0]), min_size=2, max_size=4)

    @repeatable
    @for_all(weights, st.booleans(), st.integers(1, 60))
    def holds(values, by_class, pops):
        names = {f"x{i}": weight for i, weight in enumerate(values)}
        shares = {"class_weights": names} if by_class else {"tenant_weights": names}
        queue = FairQueue(10_000, **shares)
        for name in names:
            for _ in range(200):
                assert queue.push(name, "t" if by_class else name, name if by_class else "c", 1e9, 0.0)
        served = [queue.pop(0.0) for _ in range(pops)]
        normal = {name: served.count(name) / weight for name, weight in names.items()}
        # Bound of start-time fair queueing: services per weight differ by one item of each flow at most.
        for one, w in names.items():
            for other, v in names.items():
                assert abs(normal[one] - normal[other]) <= 1 / w + 1 / v + 1e-9

    holds()


@when("lineage is held at its cap while 100 grants are served")
def hold_lineage(context):
    queue = context.queue
    for _ in range(3):
        queue.on_started("lineage")
    for i in range(150):
        assert queue.push("lineage", "amt", "lineage", 1e9, 0.0)
        assert queue.push("grant", "amt", "grant", 1e9, 0.0) or i > 120
    assert [queue.pop(0.0) for _ in range(100)] == ["grant"] * 100
    for _ in range(3):
        queue.on_finished("lineage")


@then("the next 10 items served contain at least 4 grants")
def check_no_catch_up(context):
    served = [context.queue.pop(0.0) for _ in range(10)]
    assert served.count("grant") >= 4, served


@then("a tenant with one item at a time gets no more than its share")
def check_idle_flow(context):
    queue = FairQueue(1000, tenant_weights={"light": 0.25})
    for _ in range(200):
        queue.push("heavy", "heavy", "c", 1e9, 0.0)
    served = []
    for _ in range(100):
        if not queue.classes["c"].flows.get("light") or not queue.classes["c"].flows["light"].entries:
            queue.push("light", "light", "c", 1e9, 0.0)
        served.append(queue.pop(0.0))
    assert 18 <= served.count("light") <= 22, served.count("light")


@then("every item accepted by a fair queue comes out exactly once")
def check_conservation(context):
    push = st.tuples(
        st.just("push"), st.sampled_from("abc"), st.sampled_from(["grant", "lineage"]), st.floats(0, 3)
    )
    other = st.tuples(st.sampled_from(["pop", "expire", "finish"]), st.just(""), st.just(""), st.floats(0, 1))

    @repeatable
    @for_all(st.lists(st.one_of(push, other), max_size=150))
    def holds(steps):
        queue, now, accepted, out = FairQueue(20), 0.0, [], []
        for number, (call, tenant, request_class, seconds) in enumerate(steps):
            now += 0.05
            if call == "push" and queue.push(
                (number, request_class), tenant, request_class, now + seconds, now
            ):
                accepted.append((number, request_class))
            elif call == "pop" and (item := queue.pop(now)) is not None:
                queue.on_started(item[1])
                out.append(item)
            elif call == "expire":
                out.extend(queue.expire(now))
            elif call == "finish":
                queue.on_finished("lineage")
            assert len(queue) + len(queue.expired) + len(out) == len(accepted)
            assert len(queue) <= 20
        out.extend(queue.expire(1e9))
        assert sorted(out) == sorted(accepted)
        assert len(queue) == 0

    holds()


@when("one tenant offers {count:d} items")
def flood_queue(context, count):
    accepted = sum(context.queue.push(i, "flood", "grant", 1e9, 0.0) for i in range(count))
    assert accepted < 600, accepted


@then("another tenant's item is accepted")
def check_room(context):
    assert context.queue.push("modest", "modest", "grant", 1e9, 0.0)


@when("the queue drains one item each 10 ms with 50 waiting")
def drain_slowly(context):
    queue, now = context.queue, 0.0
    for _ in range(150):
        assert queue.push("item", "amt", "grant", 1e9, now)
    for _ in range(100):
        now += 0.01
        assert queue.pop(now) == "item"
    context.now = now


@then("an item with {left:d} ms left is shed")
def check_shed(context, left):
    assert not context.queue.push("late", "amt", "grant", context.now + left / 1000, context.now)


@then("an item with {left:d} ms left is accepted")
def check_accepted(context, left):
    assert context.queue.push("in time", "amt", "grant", context.now + left / 1000, context.now)


@when("lineage checks have waited {seconds:d} seconds for a slot")
def stall_class(context, seconds):
    for _ in range(3):
        context.queue.on_started("lineage")
    context.queue.push("lineage", "amt", "lineage", 100.0, 0.0)
    context.now = float(seconds)


@then("a lineage check with {left:d} ms left is shed")
def check_lineage_shed(context, left):
    assert not context.queue.push("late", "amt", "lineage", context.now + left / 1000, context.now)


@when("an item waits until its deadline is closer than the service time")
def wait_close_to_deadline(context):
    context.queue.service_time_seconds = 0.02
    assert context.queue.push("item", "amt", "grant", 0.1, 0.0)


@then("the item expires instead of being popped")
def check_expired(context):
    assert context.queue.expire(0.079) == []
    assert context.queue.pop(0.081) is None
    assert context.queue.expire(0.081) == ["item"]


@then("{count:d} class names use a bounded number of class queues")
def check_class_bound(context, count):
    queue = FairQueue(10)
    for i in range(count):
        queue.on_started(f"class{i}")
        queue.on_finished(f"class{i}")
        assert queue.may_run(f"class{i}")
    assert len(queue.classes) <= MAX_CLASSES + 1
